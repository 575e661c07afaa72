#include "control_flow_impl.h"

#include <string.h>

/*
 * VMs whose workers run tasks of workflows: reports of their agents, grants of
 * leases, and the loss of VMs. A worker may run tasks until its lease expires.
 * An incarnation is one execution of the worker's process. Each call to a
 * worker carries a fencing token; workers refuse calls with a lower token.
 */

/*
 * Returns the highest end number up to which all ends that the worker lists are
 * committed or need no commit.
 */
static uint64_t flow_settled_nr(struct control_flow *flows,
				const struct flow_vm *vm)
{
	uint64_t open = UINT64_MAX;
	uint64_t last = vm->settled_nr;

	for (guint i = 0; i < vm->ends->len; i++) {
		const struct flow_run_end *end =
			&g_array_index(vm->ends, struct flow_run_end, i);
		const struct flow_placement *placed;
		const struct flow_task *task;
		struct state_flow *flow;
		uint32_t nr;

		last = MAX(last, end->nr);
		if (!end->nr || !state_flow_task_find(flows->control->state,
						      end->task, &flow, &nr))
			continue;
		task = &flow->record.tasks[nr];
		placed = control_flow_placement(flows, flow, nr);
		if (control_flow_end_is_earlier(vm, placed, end) ||
		    (task->state == FLOW_TASK_PLACED && task->run == end->run &&
		     !strcmp(task->vm, vm->name)) ||
		    control_flow_late_done_run(vm, flow, nr, end))
			open = MIN(open, end->nr);
	}
	return open == UINT64_MAX ? last : MAX(vm->settled_nr, open - 1);
}

/* Notes that the worker's lease may last until @a until_us. */
static void flow_extend_lapse(struct flow_vm *vm, enum flow_bound bound,
			      uint64_t until_us)
{
	if (until_us <= vm->lapse_us)
		return;
	vm->lapse_us = until_us;
	vm->bound = bound;
}

uint64_t control_flow_fence(const struct control_flow *flows,
			    const struct flow_vm *vm)
{
	return raft_term(flows->control->raft) * FLOW_FENCES_PER_TERM +
	       vm->fence_nr;
}

void control_flow_grant(struct control_flow *flows, struct flow_vm *vm)
{
	struct control *control = flows->control;
	struct flow_grant grant = { 0 };
	GArray *pairs;

	vm->grant_due = vm->reported && !raft_may_grant(control->raft);
	if (!vm->reported || vm->grant_due)
		return;
	vm->settled_nr = flow_settled_nr(flows, vm);
	grant.seq = vm->report_seq;
	grant.sent_us = vm->report_sent_us;
	grant.term = raft_term(control->raft);
	TEXT_SET(grant.worker, vm->worker.id);
	grant.born_ms = vm->worker.born_ms;
	grant.settled_nr = vm->settled_nr;
	grant.fence = control_flow_fence(flows, vm);
	vm->lease_due = vm->worker.id[0] &&
			!control_flow_worker_is_recorded(flows, vm);
	/*
	 * A grant without a lease still carries the term, which the agent needs
	 * before it lists the worker's runs for the first time.
	 */
	if (!vm->lease_due && !vm->loss_pending && vm->reachable &&
	    vm->looked && !vm->worker.ended) {
		grant.lease_ms = flows->lease_ms;
		vm->granted_us = control->node->now_us;
		flow_extend_lapse(vm, FLOW_BOUND_GRANT,
				  vm->reported_us + flows->lease_ms * 1000ull);
	}
	counter_add(control->node->counters, "flow_grants", 1);
	pairs = control_flow_agent_weights(flows, vm);
	grant.nr_pairs = pairs->len;
	grant.pairs = (struct pressure_pair *)(void *)pairs->data;
	node_send(control->node, vm->node_id, MSG_FLOW_GRANT, &grant);
	g_array_unref(pairs);
}

/*
 * Raises the VM's fencing token. This invalidates starts that the agent has not
 * sent to the worker yet, and calls of earlier agents or to earlier
 * incarnations of the worker, which may arrive late. The agent receives the new
 * token with the next lease, the worker with the agent's next call.
 */
static void flow_raise_fence(struct flow_vm *vm)
{
	if (vm->fence_nr < FLOW_FENCES_PER_TERM - 1)
		vm->fence_nr++;
}

/*
 * Notes that another copy of the run's start may be executed for @a late_ms
 * from now.
 */
static void flow_note_copy(struct control_flow *flows,
			   struct flow_placement *placed, uint32_t late_ms)
{
	uint64_t now_us = flows->control->node->now_us;

	if (!late_ms)
		return;
	/* Later leaders have to know of the copy. */
	if (placed->copy_late_us <= now_us)
		node_timer_ms(flows->control->node, &flows->worker_timer, 0);
	placed->copy_late_us =
		MAX(placed->copy_late_us, now_us + late_ms * 1000ull);
}

/*
 * Handles the runs in a report; returns the set of the struct flow_placement *
 * of runs that are committed to the VM.
 */
static GHashTable *flow_handle_runs(struct control_flow *flows,
				    struct flow_vm *vm,
				    const struct flow_report *report)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);
	uint64_t now_us = flows->control->node->now_us;

	for (uint32_t i = 0; i < report->nr_runs; i++) {
		const struct flow_run *run = &report->runs[i];
		struct flow_placement *placed =
			control_flow_placed_run(flows, vm, run);

		if (!placed) {
			control_flow_order_kill(flows, vm, run);
			continue;
		}
		g_hash_table_add(listed, placed);
		/* Later leaders have to know of a start without an answer. */
		if (run->unconfirmed && !run->starting &&
		    (!placed->unconfirmed || placed->starting))
			node_timer_ms(flows->control->node,
				      &flows->worker_timer, 0);
		placed->unconfirmed = run->unconfirmed;
		placed->starting = run->starting;
		flow_note_copy(flows, placed, run->late_ms);
		if (run->unconfirmed)
			continue;
		if (!placed->listed) {
			placed->listed = true;
			/*
			 * An agent of an earlier version reports no fencing
			 * token, but a start of this incarnation has the raised
			 * one.
			 */
			if (!vm->reports_fence &&
			    control_flow_is_current_incarnation(placed))
				vm->restarted = false;
			control_flow_note_started(flows, placed->flow);
			if (placed->ordered_us)
				counter_observe(flows->control->node->counters,
						"order_ms",
						(now_us - placed->ordered_us) /
							1000);
			placed->listed_us = now_us;
			placed->progress_us = now_us;
			control_flow_time_begin(flows, placed, run->percent);
		}
		control_flow_time_update(flows, placed);
		control_flow_note_running(flows, placed);
		if (placed->percent != run->percent) {
			placed->progress_us = now_us;
			placed->progress_full_us = placed->full_us;
		}
		placed->percent = run->percent;
		placed->figure = run->figure;
		placed->pace = run->pace;
		control_flow_note_pace(flows, placed);
		if (run->checkpoint[0])
			TEXT_SET(placed->checkpoint, run->checkpoint);
		if (run->unordered && !placed->stopping)
			control_flow_order_start(flows, placed);
	}
	return listed;
}

/*
 * Proposes an end `done` of a run that was revoked because its VM was lost, if
 * the task still waits for a new placement. Once the task is placed again, only
 * its new run counts.
 */
static void flow_accept_late_done(struct control_flow *flows,
				  const struct flow_vm *vm,
				  const struct flow_run_end *end)
{
	struct flow_change change = { .kind = FLOW_CHANGE_END };
	struct state_flow *flow;

	if (!state_flow_task_find(flows->control->state, end->task, &flow,
				  &change.task))
		return;
	change.run = control_flow_late_done_run(vm, flow, change.task, end);
	if (!change.run)
		return;
	TEXT_SET(change.id, flow->record.id);
	change.end = end->end;
	TEXT_SET(change.vm, vm->name);
	control_flow_propose(flows, &change);
}

/*
 * Orders the present incarnation of the worker to stop a run that was placed on
 * an earlier one.
 */
static void flow_stop_earlier_incarnation(struct control_flow *flows,
					  struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	struct flow_run run = { .run = placed->run };

	if (placed->stopping &&
	    now_us - placed->ordered_us < FLOW_ORDER_REPEAT_MS * 1000ull)
		return;
	placed->stopping = true;
	placed->ordered_us = now_us;
	TEXT_SET(run.task, placed->name);
	control_flow_order_kill(flows, placed->vm, &run);
}

static void flow_handle_ends(struct control_flow *flows, struct flow_vm *vm,
			     const struct flow_report *report)
{
	g_array_set_size(vm->ends, 0);
	for (uint32_t i = 0; i < report->nr_ends; i++) {
		const struct flow_run_end *end = &report->ends[i];
		struct flow_placement *placed =
			g_hash_table_lookup(flows->runs, end->task);

		if (end->nr)
			g_array_append_vals(vm->ends, end, 1);
		if (placed && placed->run == end->run && placed->vm == vm) {
			placed->refusal = end->result;
			control_flow_propose_end(flows, placed, end->end,
						 end->checkpoint);
		} else if (placed &&
			   control_flow_end_is_earlier(vm, placed, end)) {
			placed->done_earlier = true;
			/* The worker may carry out the placed run's start. */
			if (placed->ordered_us || placed->inherited)
				flow_stop_earlier_incarnation(flows, placed);
			control_flow_propose_end(flows, placed, FLOW_END_DONE,
						 end->checkpoint);
		} else {
			flow_accept_late_done(flows, vm, end);
		}
	}
}

/* Returns true if a run should continue where it is. */
static bool flow_should_run(const struct flow_placement *placed)
{
	return state_flow_is_active(placed->flow) &&
	       placed->flow->record.tasks[placed->task].state ==
		       FLOW_TASK_PLACED;
}

/*
 * Handles a committed run that the agent doesn't list: the order to start or
 * stop it may have got lost.
 */
static void flow_not_listed(struct control_flow *flows,
			    struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	struct flow_vm *vm = placed->vm;

	if (placed->ordered_node == vm->node_id &&
	    now_us - placed->ordered_us < FLOW_ORDER_REPEAT_MS * 1000ull)
		return;
	if (placed->stopping || !flow_should_run(placed) ||
	    vm->worker.draining ||
	    !state_zone_is_in(flows->control->state, vm->zone))
		control_flow_order_stop(flows, placed, "not listed");
	else
		control_flow_order_start(flows, placed);
}

/*
 * Returns true if the run was placed on a later incarnation of the worker than
 * the reported one, and that incarnation may exist. The agent may receive
 * delayed heartbeats of an earlier incarnation first. If the VM's clock was set
 * back, the reported incarnation only seems to be the earlier one. So the
 * function returns true only until the leases that earlier leaders may have
 * granted to the later incarnation have expired. Leases of the reported
 * incarnation don't matter.
 */
static bool flow_is_later_incarnation(const struct control_flow *flows,
				      const struct flow_placement *placed)
{
	const struct flow_task *task =
		&placed->flow->record.tasks[placed->task];
	uint64_t until_us =
		control_flow_inherited_lapsed_us(flows, placed->vm->name);

	return task->born_ms > placed->vm->worker.born_ms &&
	       flows->control->node->now_us <= until_us;
}

/*
 * Ends a run of an earlier incarnation of the worker; the run ended with that
 * incarnation. If the present incarnation has the same identity, it may still
 * carry out a delayed start of the run. So it is ordered to stop the run first;
 * after that its agent lists the run's end or reports the run as never started.
 */
static void flow_end_earlier_incarnation(struct control_flow *flows,
					 struct flow_placement *placed)
{
	const struct flow_task *task =
		&placed->flow->record.tasks[placed->task];
	const struct flow_vm *vm = placed->vm;

	if (flow_is_later_incarnation(flows, placed))
		return;
	if (vm->worker.ended || strcmp(task->worker, vm->worker.id) != 0) {
		control_flow_propose_end(flows, placed, FLOW_END_LOST, "");
		return;
	}
	if (vm->looked)
		flow_stop_earlier_incarnation(flows, placed);
}

/*
 * Compares the runs that are committed to the VM with those that its agent
 * lists.
 */
static void flow_reconcile(struct control_flow *flows, struct flow_vm *vm,
			   GHashTable *listed)
{
	GList *runs = g_hash_table_get_keys(vm->runs);
	uint64_t now_us = flows->control->node->now_us;

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *placed = item->data;
		bool known = g_hash_table_contains(listed, placed);

		if (!placed->committed || placed->ending)
			continue;
		if (!control_flow_is_current_incarnation(placed) ||
		    vm->worker.ended) {
			if (!known)
				flow_end_earlier_incarnation(flows, placed);
			else if (placed->stopping || !flow_should_run(placed))
				flow_stop_earlier_incarnation(flows, placed);
			continue;
		}
		if (!known && vm->looked)
			flow_not_listed(flows, placed);
		else if (known && placed->stopping &&
			 now_us - placed->ordered_us >
				 FLOW_ORDER_REPEAT_MS * 1000ull)
			control_flow_order_stop(flows, placed, "repeated");
		else if (known && !placed->stopping && !flow_should_run(placed))
			control_flow_order_stop(
				flows, placed,
				flow_state_name(placed->flow->record.state));
	}
	g_list_free(runs);
}

static void flow_log_worker(struct control_flow *flows,
			    const struct flow_vm *vm, const char *change)
{
	GString *line = logline_new("worker");

	logline_str(line, "vm", vm->name);
	logline_str(line, "zone", vm->zone);
	logline_str(line, "worker", vm->worker.id);
	logline_u64(line, "born_ms", vm->worker.born_ms);
	logline_str(line, "service", vm->worker.service);
	logline_u64(line, "cpu_millis", vm->worker.cpu_millis);
	logline_u64(line, "memory_mib", vm->worker.memory_mib);
	logline_u64(line, "runs", g_hash_table_size(vm->runs));
	logline_str(line, "restarted", vm->restarted ? "yes" : "no");
	logline_str(line, "change", change);
	node_log(flows->control->node, line);
}

/*
 * Stores the reported description of the worker; logs a new, draining or ended
 * worker.
 */
static void flow_update_worker(struct control_flow *flows, struct flow_vm *vm,
			       const struct flow_report *report)
{
	const struct worker_incarnation *worker = &report->worker;
	bool same = !strcmp(vm->worker.id, worker->id) &&
		    vm->worker.born_ms == worker->born_ms;
	bool draining = worker->draining && !vm->worker.draining;
	bool ended = worker->ended && !vm->worker.ended;

	/* An agent that has just started has no heartbeat of its worker yet. */
	if (!worker->id[0])
		return;
	/*
	 * If no incarnation has been reported to this leader before, lost_us
	 * may be about the reported one and is kept.
	 */
	if (!same && vm->worker.id[0])
		vm->lost_us = 0;
	if (!same)
		vm->restarted =
			control_flow_worker_is_restarted(flows, vm, worker);
	vm->worker = *worker;
	if (!same) {
		vm->restart_counted = false;
		flow_raise_fence(vm);
		vm->incarnation_fence = control_flow_fence(flows, vm);
		node_timer_ms(flows->control->node, &flows->worker_timer, 0);
		vm->settled_nr = 0;
		vm->checked_end_nr = 0;
		reliability_reset(&vm->reliability);
		vm->backoff_until_us = 0;
		vm->barred_until_us = 0;
		vm->barred_ms = 0;
		g_hash_table_remove(flows->orders, vm->name);
	}
	if (!same || draining || ended)
		flow_log_worker(flows, vm,
				ended	 ? "ended" :
				draining ? "draining" :
					   "new life");
	control_flow_place_soon(flows);
}

/*
 * Stops runs of a draining worker that are long-running, and, just before the
 * worker ends, those that can continue elsewhere from a checkpoint.
 */
static void flow_drain(struct control_flow *flows, struct flow_vm *vm)
{
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *placed = item->data;

		if (!placed->listed || placed->stopping || placed->ending)
			continue;
		if (placed->step->lasting ||
		    (placed->step->checkpoints &&
		     vm->worker.remaining_ms < FLOW_DRAIN_STOP_BEFORE_MS))
			control_flow_order_stop(flows, placed, "draining");
	}
	g_list_free(runs);
}

/*
 * Returns true if the report comes from an agent process that was replaced.
 * Such a report was delayed in the network.
 */
static bool flow_is_earlier_agent(const struct flow_vm *vm, uint64_t node_id)
{
	for (uint32_t i = 0; i < FLOW_EARLIER_IDS; i++)
		if (vm->earlier_node_ids[i] == node_id)
			return true;
	return false;
}

/*
 * Returns true if the report names an incarnation of the worker that started
 * before the known one: an agent that has just started may receive a delayed
 * heartbeat. Start times come from a clock that may have been set back, so the
 * function returns true only until the known incarnation's lease has expired,
 * and not for the agent @a from that has reported that this one has ended.
 */
static bool flow_is_earlier_incarnation(const struct control_flow *flows,
					const struct flow_vm *vm, uint64_t from,
					const struct worker_incarnation *worker)
{
	uint64_t now_us = flows->control->node->now_us;

	if (vm->restart_seen && vm->node_id == from)
		return false;
	return worker->id[0] && vm->worker.id[0] &&
	       worker->born_ms < vm->worker.born_ms &&
	       now_us <= control_flow_lapsed_us(vm);
}

/*
 * Notes for how long the worker may still carry out late calls.
 *
 * The deadline in a call is a time on the worker's clock, so a late call gives
 * its incarnation no longer lease than its agent was granted. A worker that was
 * restarted under its identity may also carry out calls that were meant for the
 * earlier incarnation. Their deadlines are far ahead of its new clock, so they
 * give the lease its greatest length. Once it has answered a call with the
 * fencing token that was raised for the new incarnation, it refuses them.
 *
 * The agent may report the restart before it knows the new incarnation. The
 * longest lease is counted from each report in which the worker responds, and
 * from the first report of the restart in any case: the worker may be cut off
 * from then on.
 *
 * A start without an answer may be carried out by a later incarnation, too,
 * whatever its deadline.
 */
static void flow_note_late_calls(struct control_flow *flows, struct flow_vm *vm,
				 const struct flow_report *report)
{
	bool fenced = vm->incarnation_fence &&
		      report->answered_fence >= vm->incarnation_fence;

	vm->reports_fence = report->reports_fence;
	if (report->restart_seen && !vm->restart_seen) {
		vm->restarted = true;
		vm->restart_counted = false;
		node_timer_ms(flows->control->node, &flows->worker_timer, 0);
		flow_log_worker(flows, vm, "restart seen");
	}
	vm->restart_seen = report->restart_seen;
	/* An agent whose worker is gone may report the restart for ever. */
	if (vm->restarted &&
	    (report->reachable || fenced || !vm->restart_counted)) {
		vm->restart_counted = true;
		vm->restart_lapse_us =
			vm->reported_us + control_flow_longest_lease_us(flows);
		flow_extend_lapse(vm, FLOW_BOUND_RESTART, vm->restart_lapse_us);
	}
	if (fenced && !report->restart_seen)
		vm->restarted = false;
	if (report->late_ms)
		vm->late_start_us =
			MAX(vm->late_start_us,
			    vm->reported_us + report->late_ms * 1000ull);
}

void control_flow_report(struct control_flow *flows, uint64_t from,
			 const struct flow_report *report)
{
	struct control *control = flows->control;
	struct flow_vm *vm;
	GHashTable *listed;

	vm = control_flow_vm(flows, report->vm);
	if (vm->node_id == from ? report->seq <= vm->report_seq :
				  flow_is_earlier_agent(vm, from))
		return;
	if (flow_is_earlier_incarnation(flows, vm, from, &report->worker)) {
		counter_add(control->node->counters, "reports_earlier_life", 1);
		return;
	}
	if (vm->node_id && vm->node_id != from) {
		flow_raise_fence(vm);
		/*
		 * Queued orders aren't marked as repeated, although the earlier
		 * agent may have received them already.
		 */
		g_hash_table_remove(flows->orders, vm->name);
		vm->earlier_node_ids[vm->nr_earlier++ % FLOW_EARLIER_IDS] =
			vm->node_id;
	}
	if (vm->node_id != from)
		vm->agent_since_us = control->node->now_us;
	vm->node_id = from;
	vm->report_seq = report->seq;
	vm->report_sent_us = report->sent_us;
	vm->reported_us = control->node->now_us;
	vm->reported = true;
	if (vm->reachable && !report->reachable)
		vm->unreachable_us = vm->reported_us;
	vm->reachable = report->reachable;
	vm->looked = report->looked && report->worker.id[0];
	vm->listed = vm->listed || vm->looked;
	TEXT_SET(vm->zone, report->zone);
	if (report->reachable)
		vm->reachable_us = vm->reported_us;
	counter_add(control->node->counters, "flow_reports", 1);
	flow_update_worker(flows, vm, report);
	flow_note_late_calls(flows, vm, report);
	control_flow_update_orphans(flows, vm, report);
	listed = flow_handle_runs(flows, vm, report);
	control_flow_log_ignored_ends(flows, vm, report);
	flow_handle_ends(flows, vm, report);
	if (report->worker.id[0])
		flow_reconcile(flows, vm, listed);
	g_hash_table_unref(listed);
	if (vm->worker.draining)
		flow_drain(flows, vm);
	control_flow_stop_stalled(flows, vm);
	control_flow_learn_weights(flows, vm);
	control_flow_move_fillers(flows, vm);
	control_flow_grant(flows, vm);
}

/* Proposes the runs as lost, as the worker's lease has certainly expired. */
static void flow_vm_lost(struct control_flow *flows, struct flow_vm *vm,
			 GList *runs)
{
	struct counters *counters = flows->control->node->counters;
	uint64_t now_us = flows->control->node->now_us;

	control_flow_log_lost_vm(flows, vm, runs);
	counter_add(counters, "vms_lost", 1);
	counter_observe(counters, "vm_lost_ms",
			(now_us - vm->reachable_us) / 1000);
	flow_raise_fence(vm);
	vm->loss_pending = true;
	vm->lost_us = now_us;
	for (GList *item = runs; item; item = item->next)
		control_flow_propose_end(flows, item->data, FLOW_END_LOST, "");
}

bool control_flow_vm_is_reporting(const struct control_flow *flows,
				  const struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;

	return vm->reported && vm->reachable && vm->looked &&
	       now_us - vm->reported_us < FLOW_REPORT_STALE_MS * 1000ull;
}

void control_flow_check(void *data, uint64_t now_us)
{
	struct control_flow *flows = data;
	struct control *control = flows->control;
	GHashTableIter iter;
	void *value;

	node_timer_ms(control->node, &flows->check_timer, VM_CHECK_MS);
	if (!raft_may_grant(control->raft))
		return;
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;
		GList *lost;

		if (vm->grant_due)
			control_flow_grant(flows, vm);
		/*
		 * A run may have ended as done before the lease expired, so
		 * runs are revoked only on a VM whose reports don't show how
		 * its runs end.
		 */
		if (control_flow_vm_is_reporting(flows, vm))
			continue;
		lost = control_flow_lost_runs(flows, vm);
		if (lost)
			flow_vm_lost(flows, vm, lost);
		g_list_free(lost);
	}
	control_flow_set_gauges(flows);
	control_flow_admit_sample(flows);
	control_flow_save_weights(flows);
	control_flow_share_save(flows);
	control_flow_record_workers(flows, now_us);
	control_flow_group_serving(flows);
	control_flow_place_soon(flows);
}
