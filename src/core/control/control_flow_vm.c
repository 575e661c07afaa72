#include "control_flow_impl.h"

#include <string.h>

/* Largest number of an end up to which all listed ones are in the log. */
static uint64_t flow_settled_nr(struct control_flow *flows,
				const struct flow_vm *vm)
{
	uint64_t open = UINT64_MAX;
	uint64_t last = vm->settled_nr;

	for (guint i = 0; i < vm->ends->len; i++) {
		const struct flow_run_end *end =
			&g_array_index(vm->ends, struct flow_run_end, i);
		const struct flow_task *task;
		struct state_flow *flow;
		uint32_t nr;

		last = MAX(last, end->nr);
		if (!end->nr || !state_flow_task_find(flows->control->state,
						      end->task, &flow, &nr))
			continue;
		task = &flow->record.tasks[nr];
		if ((task->state == FLOW_TASK_PLACED && task->run == end->run &&
		     !strcmp(task->vm, vm->name)) ||
		    (end->end == FLOW_END_DONE &&
		     state_flow_accepts_late_done(flow, nr, end->run,
						  vm->name)))
			open = MIN(open, end->nr);
	}
	return open == UINT64_MAX ? last : MAX(vm->settled_nr, open - 1);
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
	/* Without a lease the grant still tells the term, for the first look.
	 */
	if (!vm->loss_pending && vm->reachable && vm->looked &&
	    !vm->worker.ended) {
		grant.lease_ms = flows->lease_ms;
		vm->granted_us = control->node->now_us;
		vm->lapse_us = MAX(vm->lapse_us,
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
 * Voids starts that the agent has not called yet, and calls of earlier agents
 * and to earlier lives, which may be carried out late. The agent hears the new
 * fence with the next lease, the worker with the next call.
 */
static void flow_raise_fence(struct flow_vm *vm)
{
	if (vm->fence_nr < FLOW_FENCES_PER_TERM - 1)
		vm->fence_nr++;
}

/* Takes the runs that a report lists; returns the set of those it knows. */
static GHashTable *flow_handle_runs(struct control_flow *flows,
				    struct flow_vm *vm,
				    const struct flow_report *report)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);
	uint64_t now_us = flows->control->node->now_us;

	for (uint32_t i = 0; i < report->nr_runs; i++) {
		const struct flow_run *run = &report->runs[i];
		struct flow_placement *soft =
			g_hash_table_lookup(flows->runs, run->task);

		if (!soft || !soft->committed || soft->run != run->run ||
		    soft->vm != vm) {
			if (!run->unconfirmed)
				control_flow_order_kill(flows, vm, run);
			continue;
		}
		g_hash_table_add(listed, soft);
		if (run->unconfirmed)
			continue;
		if (!soft->on) {
			soft->on = true;
			control_flow_note_started(flows, soft->flow);
			if (soft->ordered_us)
				counter_observe(flows->control->node->counters,
						"order_ms",
						(now_us - soft->ordered_us) /
							1000);
			soft->listed_us = now_us;
			soft->progress_us = now_us;
		}
		if (soft->percent != run->percent)
			soft->progress_us = now_us;
		soft->percent = run->percent;
		soft->figure = run->figure;
		soft->pace = run->pace;
		control_flow_note_pace(flows, soft);
		if (run->checkpoint[0])
			TEXT_SET(soft->checkpoint, run->checkpoint);
		if (run->unordered && !soft->stopping)
			control_flow_order_start(flows, soft);
	}
	return listed;
}

/*
 * A run that was taken back with its VM had ended as done, and its task waits:
 * the end counts. A task that is placed again runs where it is.
 */
static void flow_accept_late_done(struct control_flow *flows,
				  const struct flow_vm *vm,
				  const struct flow_run_end *end)
{
	struct flow_change change = { .kind = FLOW_CHANGE_END };
	struct state_flow *flow;

	if (end->end != FLOW_END_DONE ||
	    !state_flow_task_find(flows->control->state, end->task, &flow,
				  &change.task) ||
	    !state_flow_accepts_late_done(flow, change.task, end->run,
					  vm->name))
		return;
	TEXT_SET(change.id, flow->record.id);
	change.run = end->run;
	change.end = end->end;
	TEXT_SET(change.vm, vm->name);
	control_flow_propose(flows, &change);
}

static void flow_handle_ends(struct control_flow *flows, struct flow_vm *vm,
			     const struct flow_report *report)
{
	g_array_set_size(vm->ends, 0);
	for (uint32_t i = 0; i < report->nr_ends; i++) {
		const struct flow_run_end *end = &report->ends[i];
		struct flow_placement *soft =
			g_hash_table_lookup(flows->runs, end->task);

		if (end->nr)
			g_array_append_vals(vm->ends, end, 1);
		if (soft && soft->run == end->run && soft->vm == vm)
			control_flow_propose_end(flows, soft, end->end,
						 end->checkpoint);
		else
			flow_accept_late_done(flows, vm, end);
	}
}

/* Returns true if a run should go on where it is. */
static bool flow_should_run(const struct flow_placement *soft)
{
	return state_flow_is_active(soft->flow) &&
	       soft->flow->record.tasks[soft->task].state == FLOW_TASK_PLACED;
}

/* A committed run that the agent doesn't know: the order was lost. */
static void flow_not_listed(struct control_flow *flows,
			    struct flow_placement *soft)
{
	uint64_t now_us = flows->control->node->now_us;
	struct flow_vm *vm = soft->vm;

	if (soft->ordered_node == vm->node_id &&
	    now_us - soft->ordered_us < FLOW_ORDER_REPEAT_MS * 1000ull)
		return;
	if (soft->stopping || !flow_should_run(soft) || vm->worker.draining ||
	    !state_zone_is_in(flows->control->state, vm->zone))
		control_flow_order_stop(flows, soft, "not listed");
	else
		control_flow_order_start(flows, soft);
}

/*
 * Returns true if the run's life is later than the one that is reported, and
 * may be there. Its agent may hear late heartbeats of an earlier life first; a
 * VM whose clock was set back reports a life that only seems to be earlier. The
 * grants of earlier leaders have run out by the time that is compared here;
 * grants to the life that is reported don't matter.
 */
static bool flow_life_is_later(const struct control_flow *flows,
			       const struct flow_placement *soft)
{
	const struct flow_task *task = &soft->flow->record.tasks[soft->task];
	uint64_t until_us = flows->control->leader_since_us +
			    (flows->lease_ms + FLOW_LEASE_MARGIN_MS) * 1000ull;

	return task->born_ms > soft->vm->worker.born_ms &&
	       flows->control->node->now_us <= until_us;
}

/*
 * Whatever ran in an earlier life has ended with it. Under the same identity, a
 * later life may still carry out a late start, so it is told to stop the run
 * first; its agent then lists the end or refuses the run.
 */
static void flow_end_earlier_incarnation(struct control_flow *flows,
					 struct flow_placement *soft)
{
	const struct flow_task *task = &soft->flow->record.tasks[soft->task];
	struct flow_vm *vm = soft->vm;
	uint64_t now_us = flows->control->node->now_us;
	struct flow_run run = { .run = soft->run };

	if (flow_life_is_later(flows, soft))
		return;
	if (vm->worker.ended || strcmp(task->worker, vm->worker.id) != 0) {
		control_flow_propose_end(flows, soft, FLOW_END_LOST, "");
		return;
	}
	if (!vm->looked ||
	    (soft->stopping &&
	     now_us - soft->ordered_us < FLOW_ORDER_REPEAT_MS * 1000ull))
		return;
	soft->stopping = true;
	soft->ordered_us = now_us;
	TEXT_SET(run.task, soft->name);
	control_flow_order_kill(flows, vm, &run);
}

/* Compares what is committed to the VM with what its agent knows. */
static void flow_reconcile(struct control_flow *flows, struct flow_vm *vm,
			   GHashTable *listed)
{
	GList *runs = g_hash_table_get_keys(vm->runs);
	uint64_t now_us = flows->control->node->now_us;

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *soft = item->data;
		bool known = g_hash_table_contains(listed, soft);

		if (!soft->committed || soft->ending)
			continue;
		if (!control_flow_is_current_incarnation(soft) ||
		    vm->worker.ended) {
			if (!known)
				flow_end_earlier_incarnation(flows, soft);
			continue;
		}
		if (!known && vm->looked)
			flow_not_listed(flows, soft);
		else if (known && soft->stopping &&
			 now_us - soft->ordered_us >
				 FLOW_ORDER_REPEAT_MS * 1000ull)
			control_flow_order_stop(flows, soft, "repeated");
		else if (known && !soft->stopping && !flow_should_run(soft))
			control_flow_order_stop(
				flows, soft,
				flow_state_name(soft->flow->record.state));
	}
	g_list_free(runs);
}

static void flow_log_life(struct control_flow *flows, const struct flow_vm *vm,
			  const char *why)
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
	logline_str(line, "change", why);
	node_log(flows->control->node, line);
}

/* Takes the description of the worker; logs what has changed. */
static void flow_update_worker(struct control_flow *flows, struct flow_vm *vm,
			       const struct flow_report *report)
{
	const struct worker_incarnation *worker = &report->worker;
	bool same = !strcmp(vm->worker.id, worker->id) &&
		    vm->worker.born_ms == worker->born_ms;
	bool draining = worker->draining && !vm->worker.draining;
	bool ended = worker->ended && !vm->worker.ended;

	/* An agent that has just started has not heard of its worker yet. */
	if (!worker->id[0])
		return;
	/* This leader may have taken back the runs before the first report. */
	if (!same && vm->worker.id[0])
		vm->lost_us = 0;
	vm->worker = *worker;
	if (!same) {
		flow_raise_fence(vm);
		vm->settled_nr = 0;
		vm->checked_end_nr = 0;
		vm->fail_permille = 0;
		vm->backoff_until_us = 0;
		vm->vm_backoff_ms = 0;
		g_hash_table_remove(flows->orders, vm->name);
	}
	if (!same || draining || ended)
		flow_log_life(flows, vm,
			      ended    ? "ended" :
			      draining ? "draining" :
					 "new life");
	control_flow_place_soon(flows);
}

/* Moves work off a worker that leaves. */
static void flow_drain(struct control_flow *flows, struct flow_vm *vm)
{
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *soft = item->data;

		if (!soft->on || soft->stopping || soft->ending)
			continue;
		if (soft->step->lasting ||
		    (soft->step->checkpoints &&
		     vm->worker.remaining_ms < FLOW_DRAIN_STOP_BEFORE_MS))
			control_flow_order_stop(flows, soft, "draining");
	}
	g_list_free(runs);
}

/* Stops runs that stand still on a worker that otherwise answers. */
static void flow_stop_stalled(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *soft = item->data;
		uint64_t ran_us = now_us - soft->listed_us;

		if (!soft->on || soft->stopping || soft->ending ||
		    soft->step->lasting || soft->pace < 100 ||
		    now_us - soft->progress_us < FLOW_STALL_MS * 1000ull ||
		    ran_us < (uint64_t)soft->step->estimate_ms *
				     FLOW_STALL_FACTOR * 1000)
			continue;
		counter_add(flows->control->node->counters, "runs_stalled", 1);
		control_flow_order_stop(flows, soft, "stalled");
	}
	g_list_free(runs);
}

/* A report that was held up in the network since before a restart is void. */
static bool flow_is_earlier_agent(const struct flow_vm *vm, uint64_t node_id)
{
	for (uint32_t i = 0; i < FLOW_EARLIER_IDS; i++)
		if (vm->earlier_node_ids[i] == node_id)
			return true;
	return false;
}

/*
 * Returns true if the report names a life before the known one. An agent that
 * has just started may hear a heartbeat that was held up. The clock by which
 * lives are told apart may have jumped back, so this holds no longer than the
 * known life's lease.
 */
static bool flow_is_earlier_life(const struct control_flow *flows,
				 const struct flow_vm *vm,
				 const struct worker_incarnation *worker)
{
	uint64_t now_us = flows->control->node->now_us;

	return worker->id[0] && vm->worker.id[0] &&
	       worker->born_ms < vm->worker.born_ms &&
	       now_us <= vm->lapse_us + FLOW_LEASE_MARGIN_MS * 1000ull;
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
	if (flow_is_earlier_life(flows, vm, &report->worker)) {
		counter_add(control->node->counters, "reports_earlier_life", 1);
		return;
	}
	if (vm->node_id && vm->node_id != from) {
		flow_raise_fence(vm);
		/* They don't say that the earlier agent may have had them. */
		g_hash_table_remove(flows->orders, vm->name);
		vm->earlier_node_ids[vm->nr_earlier++ % FLOW_EARLIER_IDS] =
			vm->node_id;
	}
	vm->node_id = from;
	vm->report_seq = report->seq;
	vm->report_sent_us = report->sent_us;
	vm->reported_us = control->node->now_us;
	vm->reported = true;
	vm->reachable = report->reachable;
	vm->looked = report->looked && report->worker.id[0];
	TEXT_SET(vm->zone, report->zone);
	if (report->late_ms)
		vm->lapse_us = MAX(vm->lapse_us,
				   vm->reported_us + report->late_ms * 1000ull);
	/* A worker that answers again was there when it left a call; one that
	 * doesn't may have crashed with it. */
	if (report->late_ms && report->reachable)
		flows->unanswered_until_us =
			MAX(flows->unanswered_until_us, vm->lapse_us);
	counter_add(control->node->counters, "flow_reports", 1);
	flow_update_worker(flows, vm, report);
	listed = flow_handle_runs(flows, vm, report);
	control_flow_log_ignored_ends(flows, vm, report);
	flow_handle_ends(flows, vm, report);
	if (report->worker.id[0])
		flow_reconcile(flows, vm, listed);
	g_hash_table_unref(listed);
	if (vm->worker.draining)
		flow_drain(flows, vm);
	flow_stop_stalled(flows, vm);
	control_flow_learn_weights(flows, vm);
	control_flow_move_fillers(flows, vm);
	control_flow_grant(flows, vm);
}

/*
 * Returns when the worker's lease has surely lapsed. While agents tell of calls
 * without an answer, a VM that went silent before its next report may have had
 * one, too, that extends its worker's lease late.
 */
static uint64_t flow_lapsed_us(const struct control_flow *flows,
			       const struct flow_vm *vm)
{
	uint64_t silent_us = vm->reported ? vm->reported_us :
					    flows->control->leader_since_us;
	uint64_t lapse_us = vm->lapse_us;

	if (silent_us <= flows->unanswered_until_us)
		lapse_us = MAX(lapse_us, silent_us + (WORKER_CALL_MAX_DELAY_MS +
						      FLOW_LEASE_MAX_MS) *
							     1000ull);
	return lapse_us + FLOW_LEASE_MARGIN_MS * 1000ull;
}

/* Takes back the tasks of a VM whose worker's lease has surely lapsed. */
static void flow_vm_lost(struct control_flow *flows, struct flow_vm *vm)
{
	GList *runs = g_hash_table_get_keys(vm->runs);

	control_flow_log_lost_vm(flows, vm);
	counter_add(flows->control->node->counters, "vms_lost", 1);
	flow_raise_fence(vm);
	vm->loss_pending = true;
	vm->lost_us = flows->control->node->now_us;
	for (GList *item = runs; item; item = item->next)
		control_flow_propose_end(flows, item->data, FLOW_END_LOST, "");
	g_list_free(runs);
}

/* Returns true if reports show what has become of the worker's runs. */
static bool flow_vm_is_reporting(const struct flow_vm *vm, uint64_t now_us)
{
	return vm->reported && vm->reachable && vm->looked &&
	       now_us - vm->reported_us < FLOW_REPORT_STALE_MS * 1000ull;
}

static bool flow_vm_has_runs(const struct flow_vm *vm)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		if (soft->committed && !soft->ending)
			return true;
	}
	return false;
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

		if (vm->grant_due)
			control_flow_grant(flows, vm);
		/* Runs may have ended as done before the lease lapsed. */
		if (now_us > flow_lapsed_us(flows, vm) &&
		    !flow_vm_is_reporting(vm, now_us) && flow_vm_has_runs(vm))
			flow_vm_lost(flows, vm);
	}
	control_flow_set_gauges(flows);
	control_flow_save_weights(flows);
	control_flow_group_serving(flows);
	control_flow_place_soon(flows);
}
