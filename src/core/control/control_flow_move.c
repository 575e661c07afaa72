#include "control_flow_impl.h"

/*
 * Fillers, which use idle processors, are throttled so that the serving tasks
 * on their VM meet their targets. Fillers with a low pace are moved to VMs on
 * which they may run faster. The worker takes a checkpoint when it stops a run,
 * and a step without checkpoints is moved only early in its run, so that little
 * work is lost. A long-running filler whose step limits unavailable tasks is
 * moved only while all tasks of its step are running.
 */

/* Returns true if the run may be stopped to move it to another VM. */
static bool flow_is_movable(const struct control_flow *flows,
			    const struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;

	if (!placed->step->filler || !placed->listed || placed->stopping ||
	    placed->ending || placed->step->gang || !placed->committed)
		return false;
	if (!placed->step->checkpoints &&
	    placed->percent > FLOW_MOVE_LOSS_PERCENT)
		return false;
	if (!placed->throttled_since_us ||
	    now_us - placed->throttled_since_us < FLOW_MOVE_AFTER_MS * 1000ull)
		return false;
	if (placed->no_better_vm_us &&
	    now_us - placed->no_better_vm_us < FLOW_MOVE_RETRY_MS * 1000ull)
		return false;
	return !placed->step->lasting || !placed->step->max_unavailable ||
	       control_flow_step_is_settled(flows, placed);
}

void control_flow_note_pace(struct control_flow *flows,
			    struct flow_placement *placed)
{
	if (placed->pace > FLOW_MOVE_PACE_PERCENT)
		placed->throttled_since_us = 0;
	else if (!placed->throttled_since_us)
		placed->throttled_since_us = flows->control->node->now_us;
}

void control_flow_move_fillers(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *placed = item->data;
		struct flow_vm *to;

		if (!flow_is_movable(flows, placed))
			continue;
		to = control_flow_other_vm(flows, placed);
		/*
		 * Just after a move, the measurements of its target VM don't
		 * show the moved filler's effect yet.
		 */
		if (!to || now_us - to->filler_moved_us <
				   FLOW_MOVE_INTERVAL_MS * 1000ull) {
			placed->no_better_vm_us = now_us;
			continue;
		}
		to->filler_moved_us = now_us;
		counter_add(flows->control->node->counters, "runs_moved", 1);
		g_hash_table_replace(flows->left_vms, g_strdup(placed->name),
				     placed->vm);
		control_flow_order_stop(flows, placed, "held back");
	}
	g_list_free(runs);
}
