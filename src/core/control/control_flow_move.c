#include "control_flow_impl.h"

/*
 * Fillers that their neighbours hold back are moved to VMs on which they can
 * work. A stop takes a checkpoint, so that little work is lost.
 */

/* Returns true if the run may be stopped for a better place. */
static bool flow_is_movable(const struct control_flow *flows,
			    const struct flow_placement *soft)
{
	if (!soft->step->filler || !soft->on || soft->stopping ||
	    soft->ending || soft->step->gang || !soft->committed)
		return false;
	if (!soft->step->checkpoints && soft->percent > FLOW_MOVE_LOSS_PERCENT)
		return false;
	return soft->throttled_since_us &&
	       flows->control->node->now_us - soft->throttled_since_us >=
		       FLOW_MOVE_AFTER_MS * 1000ull;
}

void control_flow_note_pace(struct control_flow *flows,
			    struct flow_placement *soft)
{
	if (soft->pace > FLOW_MOVE_PACE_PERCENT)
		soft->throttled_since_us = 0;
	else if (!soft->throttled_since_us)
		soft->throttled_since_us = flows->control->node->now_us;
}

void control_flow_move_fillers(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *soft = item->data;
		struct flow_vm *to;

		if (!flow_is_movable(flows, soft))
			continue;
		to = control_flow_other_vm(flows, soft);
		/* What moves there now doesn't show in its figures yet. */
		if (!to || now_us - to->filler_moved_us <
				   FLOW_MOVE_INTERVAL_MS * 1000ull)
			continue;
		to->filler_moved_us = now_us;
		counter_add(flows->control->node->counters, "runs_moved", 1);
		g_hash_table_replace(flows->held, g_strdup(soft->name),
				     soft->vm);
		control_flow_order_stop(flows, soft, "held back");
	}
	g_list_free(runs);
}
