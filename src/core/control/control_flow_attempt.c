#include "control_flow_impl.h"

/*
 * Which failed ends count as attempts of a workflow. A gang has failed once for
 * each of its runs in which a task has failed, so one end of a run counts: the
 * first one that this leader proposes, unless the state has one of that run
 * already. The others are proposed as FLOW_END_ALSO_FAILED.
 *
 * The leader decides this, and not each replica, as replicas of earlier builds
 * count each FLOW_END_FAILED and no end of a kind that they don't know. So all
 * replicas come to the same number from one log. Ends that a leader of an
 * earlier build has proposed count as they did there.
 */

static const struct state_flow_stage *
stage_of(const struct flow_placement *placed)
{
	return &placed->flow->stages[state_flow_stage_of(placed->flow,
							 placed->task)];
}

enum flow_end control_flow_count_failure(struct control_flow *flows,
					 struct flow_placement *placed,
					 enum flow_end end)
{
	const struct state_flow_stage *stage;
	const struct flow_placement *counting;

	if (end != FLOW_END_FAILED || !placed->step->gang)
		return end;
	stage = stage_of(placed);
	counting = g_hash_table_lookup(flows->counting, stage);
	if (stage->failed_run == placed->run ||
	    (counting && counting->run == placed->run))
		return FLOW_END_ALSO_FAILED;
	g_hash_table_insert(flows->counting, (gpointer)stage, placed);
	return end;
}

void control_flow_uncount_failure(struct control_flow *flows,
				  const struct flow_placement *placed)
{
	const struct state_flow_stage *stage;

	if (!placed->step->gang || !g_hash_table_size(flows->counting))
		return;
	stage = stage_of(placed);
	if (g_hash_table_lookup(flows->counting, stage) == placed)
		g_hash_table_remove(flows->counting, stage);
}
