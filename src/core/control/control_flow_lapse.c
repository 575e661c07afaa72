#include "control_flow_impl.h"

/*
 * When a worker has certainly no run any more: its lease has expired, and so
 * has that of a later incarnation which may execute calls to the one before.
 * docs/decisions/0007-lost-workers.md weighs the times.
 */

uint64_t control_flow_lapsed_us(const struct flow_vm *vm)
{
	return vm->lapse_us + FLOW_LEASE_MARGIN_MS * 1000ull;
}

uint64_t control_flow_late_start_us(const struct flow_placement *placed)
{
	uint64_t late_us = control_flow_is_at_worker(placed) ?
				   0 :
				   MAX(placed->vm->late_start_us,
				       placed->inherited_late_us);

	return MAX(late_us, placed->copy_late_us);
}

/* The same for an orphan of the VM. */
static uint64_t flow_orphan_late_us(const struct flow_vm *vm,
				    const struct flow_orphan *orphan)
{
	return orphan->unconfirmed ?
		       MAX(vm->late_start_us, orphan->copy_late_us) :
		       orphan->copy_late_us;
}

/*
 * Returns until when a later incarnation of the worker may execute a poll of
 * its agent, which extends the lease. Polls have deadlines until the agent
 * reports that the worker doesn't respond. An agent that is silent may send
 * them until the granted lease has ended.
 */
static uint64_t flow_late_poll_us(const struct control_flow *flows,
				  const struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	bool silent = !vm->reported || vm->reachable ||
		      now_us - vm->reported_us >=
			      FLOW_REPORT_STALE_MS * 1000ull;

	/* The worker may not have responded since the agent's first report. */
	uint64_t last_us = silent ? vm->lapse_us :
				    MAX(vm->unreachable_us, vm->agent_since_us);

	return last_us + WORKER_CALL_MAX_DELAY_MS * 1000ull;
}

uint64_t control_flow_run_lapsed_us(const struct control_flow *flows,
				    const struct flow_vm *vm, uint64_t late_us)
{
	uint64_t lapsed_us = control_flow_lapsed_us(vm);

	if (!late_us)
		return lapsed_us;
	/* A later incarnation can have started since the last response only. */
	if (late_us + RUNNER_CALL_MAX_MS * 1000ull > vm->reachable_us)
		late_us = MAX(late_us, flow_late_poll_us(flows, vm));
	return MAX(lapsed_us, late_us + control_flow_longest_lease_us(flows) +
				      FLOW_LEASE_MARGIN_MS * 1000ull);
}

bool control_flow_has_orphan(const struct control_flow *flows,
			     const struct state_flow *flow, uint32_t task)
{
	uint64_t now_us = flows->control->node->now_us;
	char name[NAME_BYTES];
	GHashTableIter iter;
	void *value;

	if (!flows->nr_orphans)
		return false;
	state_flow_task_name(flow, task, name);
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;
		const struct flow_orphan *orphan =
			control_flow_vm_orphan(vm, name);

		if (orphan &&
		    now_us <=
			    control_flow_run_lapsed_us(
				    flows, vm, flow_orphan_late_us(vm, orphan)))
			return true;
	}
	return false;
}

GList *control_flow_lost_runs(const struct control_flow *flows,
			      const struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GList *lost = NULL;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		if (placed->committed && !placed->ending &&
		    now_us > control_flow_run_lapsed_us(
				     flows, vm,
				     control_flow_late_start_us(placed)))
			lost = g_list_prepend(lost, key);
	}
	return lost;
}
