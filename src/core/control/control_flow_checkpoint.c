#include <string.h>

#include "control_flow_impl.h"

/*
 * The checkpoint from which a gang resumes. Each task of a gang saves values of
 * its own, any of which is valid for all of them, and all tasks of a run have
 * to start from the same one. The leader chooses the one with the most work
 * and stores it for all tasks with their placement, so that later leaders order
 * their starts with it, too.
 */

/** The checkpoint of a gang with the most work that this leader knows of. */
struct gang_checkpoint {
	uint32_t run; /* that has saved it */
	bool at_stop; /* saved by a stop, after all periodic ones of the run */
	uint32_t percent; /* of the gang's work that was done */
	char value[NAME_BYTES];
};

GHashTable *control_flow_checkpoints_new(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void control_flow_forget_checkpoints(struct control_flow *flows,
				     const struct state_flow *flow)
{
	for (uint32_t i = 0; i < flow->nr_stages; i++)
		g_hash_table_remove(flows->gang_checkpoints, &flow->stages[i]);
}

static bool has_more_work(const struct gang_checkpoint *a,
			  const struct gang_checkpoint *b)
{
	if (a->run != b->run)
		return a->run > b->run;
	if (a->at_stop != b->at_stop)
		return a->at_stop;
	return a->percent > b->percent;
}

void control_flow_note_checkpoint(struct control_flow *flows,
				  const struct flow_placement *placed,
				  enum flow_end end)
{
	const struct state_flow *flow = placed->flow;
	const struct state_flow_stage *stage =
		&flow->stages[state_flow_stage_of(flow, placed->task)];
	struct gang_checkpoint saved = { .run = placed->run,
					 .at_stop = end == FLOW_END_STOPPED,
					 .percent = placed->percent };
	struct gang_checkpoint *best;

	if (!placed->step->gang || !state_flow_is_active(flow))
		return;
	TEXT_SET(saved.value, flow->record.tasks[placed->task].checkpoint);
	best = g_hash_table_lookup(flows->gang_checkpoints, stage);
	/* The value that its run began from is no new one. */
	if (!saved.value[0] || !strcmp(saved.value, placed->start_checkpoint) ||
	    (best && !has_more_work(&saved, best)))
		return;
	g_hash_table_insert(flows->gang_checkpoints, (gpointer)stage,
			    g_memdup2(&saved, sizeof(saved)));
}

const char *control_flow_gang_checkpoint(const struct control_flow *flows,
					 const struct state_flow *flow,
					 uint32_t stage)
{
	const struct gang_checkpoint *best = g_hash_table_lookup(
		flows->gang_checkpoints, &flow->stages[stage]);
	uint32_t first = state_flow_first_task(flow, stage);
	uint32_t count = state_flow_stage_step(flow, stage)->count;

	if (best)
		return best->value;
	/* Earlier leaders have stored the ends; which has most isn't known. */
	for (uint32_t i = first; i < first + count; i++)
		if (flow->record.tasks[i].checkpoint[0])
			return flow->record.tasks[i].checkpoint;
	return "";
}

void control_flow_set_checkpoint(struct control_flow *flows,
				 struct flow_placement *placed,
				 const char *checkpoint)
{
	const struct state_flow *flow = placed->flow;
	struct flow_change change = { .kind = FLOW_CHANGE_SAVE };

	TEXT_SET(placed->start_checkpoint, checkpoint);
	if (!strcmp(flow->record.tasks[placed->task].checkpoint, checkpoint))
		return;
	TEXT_SET(change.id, flow->record.id);
	change.task = placed->task;
	change.run = placed->run;
	TEXT_SET(change.checkpoint, checkpoint);
	control_flow_propose(flows, &change);
}
