#include "control_flow.h"

#include <string.h>

#include "control_flow_impl.h"

#define WORKFLOW_STEPS_SHOWN 8 /* in a log line */

static void flow_vm_free(void *data)
{
	struct flow_vm *vm = data;

	g_hash_table_unref(vm->runs);
	g_array_unref(vm->orphans);
	g_array_unref(vm->ends);
	reliability_reset(&vm->reliability);
	control_flow_capacity_free(vm->capacity);
	g_free(vm);
}

struct flow_vm *control_flow_vm(struct control_flow *flows, const char *name)
{
	struct flow_vm *vm = g_hash_table_lookup(flows->vms, name);

	if (vm)
		return vm;
	vm = g_new0(struct flow_vm, 1);
	TEXT_SET(vm->name, name);
	vm->runs = g_hash_table_new(NULL, NULL);
	vm->orphans = g_array_new(FALSE, FALSE, sizeof(struct flow_orphan));
	vm->ends = g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	control_flow_worker_inherit(flows, vm);
	vm->reachable_us = flows->control->leader_since_us;
	g_hash_table_insert(flows->vms, vm->name, vm);
	return vm;
}

struct flow_placement *control_flow_placement(const struct control_flow *flows,
					      const struct state_flow *flow,
					      uint32_t task)
{
	char name[NAME_BYTES];

	state_flow_task_name(flow, task, name);
	return g_hash_table_lookup(flows->runs, name);
}

static void flow_vm_account(struct flow_vm *vm, const struct flow_step *step,
			    bool reserve)
{
	uint32_t *cpu = step->filler ? &vm->filler_cpu_millis : &vm->cpu_millis;
	uint32_t cpu_millis = step->cpu_millis;
	uint32_t lasting = step->lasting && !step->filler ? cpu_millis : 0;

	*cpu = reserve ? *cpu + cpu_millis : *cpu - cpu_millis;
	vm->lasting_cpu_millis = reserve ? vm->lasting_cpu_millis + lasting :
					   vm->lasting_cpu_millis - lasting;
	vm->memory_mib = reserve ? vm->memory_mib + step->memory_mib :
				   vm->memory_mib - step->memory_mib;
	vm->accelerators = reserve ? vm->accelerators + step->accelerators :
				     vm->accelerators - step->accelerators;
}

void control_flow_vm_changed(struct control_flow *flows, struct flow_vm *vm)
{
	vm->gains_stale = true;
	vm->changed_nr = ++flows->change_nr;
}

struct flow_placement *control_flow_reserve(struct control_flow *flows,
					    struct state_flow *flow,
					    uint32_t task, uint32_t run,
					    struct flow_vm *vm)
{
	struct flow_placement *placed = g_new0(struct flow_placement, 1);

	state_flow_task_name(flow, task, placed->name);
	placed->flow = flow;
	placed->task = task;
	placed->run = run;
	placed->step = &flow->record.steps[state_flow_step(flow, task)];
	placed->vm = vm;
	placed->image = pressure_image(flows->pressure, placed->step->image);
	placed->pace = 100;
	placed->progress_us = flows->control->node->now_us;
	placed->reserved_us = flows->control->node->now_us;
	flow_vm_account(vm, placed->step, true);
	vm->gains_stale = true;
	g_hash_table_add(vm->runs, placed);
	g_hash_table_replace(flows->runs, placed->name, placed);
	control_flow_share_run(flows, placed, true);
	return placed;
}

void control_flow_unreserve(struct control_flow *flows,
			    struct flow_placement *placed)
{
	flow_vm_account(placed->vm, placed->step, false);
	placed->vm->gains_stale = true;
	control_flow_share_run(flows, placed, false);
	control_flow_uncount_failure(flows, placed);
	g_hash_table_remove(placed->vm->runs, placed);
	g_hash_table_remove(flows->runs, placed->name);
}

void control_flow_release(struct control_flow *flows,
			  struct flow_placement *placed)
{
	control_flow_vm_changed(flows, placed->vm);
	control_flow_unreserve(flows, placed);
}

/* ---- proposals ---- */

/*
 * Undoes a change whose proposal failed. An end is proposed again after the
 * agent's next report.
 */
static void flow_change_dropped(struct control_flow *flows,
				const struct flow_change *change)
{
	struct state_flow *flow =
		state_flow_find(flows->control->state, change->id);
	struct flow_placement *placed;

	if (!flow || !flow->tasks_per_occurrence)
		return;
	placed = control_flow_placement(flows, flow, change->task);
	if (!placed || placed->run != change->run)
		return;
	placed->ending = false;
	control_flow_uncount_failure(flows, placed);
	if (!placed->committed)
		control_flow_release(flows, placed);
}

/* Releases the resources of a placement that the state machine refused. */
static void flow_change_check(struct control_flow *flows,
			      const struct flow_change *change)
{
	struct state_flow *flow =
		state_flow_find(flows->control->state, change->id);
	struct flow_placement *placed;

	if (!flow || !flow->tasks_per_occurrence ||
	    change->kind != FLOW_CHANGE_PLACE)
		return;
	placed = control_flow_placement(flows, flow, change->task);
	if (placed && placed->run == change->run && !placed->committed)
		control_flow_release(flows, placed);
}

/* Returns true if the end of any of the VM's runs is proposed. */
static bool flow_vm_ends_runs(const struct flow_vm *vm)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		if (placed->ending)
			return true;
	}
	return false;
}

static void flow_changes_done(struct control *control,
			      const struct control_proposal *proposal,
			      const struct state_outcome *outcome)
{
	const struct cmd_flow_change *cmd = proposal->command.body;
	struct control_flow *flows = control->flows;
	GHashTableIter iter;
	void *value;

	if (!flows)
		return;
	for (uint32_t i = 0; i < cmd->nr_changes; i++)
		if (outcome->result)
			flow_change_dropped(flows, &cmd->changes[i]);
		else
			flow_change_check(flows, &cmd->changes[i]);
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;

		vm->loss_pending = vm->loss_pending && flow_vm_ends_runs(vm);
		if (vm->grant_due)
			control_flow_grant(flows, vm);
	}
	control_flow_send_orders(flows, control->node->now_us);
	control_flow_place_soon(flows);
}

static void flow_propose_changes(void *data, uint64_t now_us)
{
	struct control_flow *flows = data;
	struct control *control = flows->control;
	struct control_proposal proposal = { .done = flow_changes_done };
	struct cmd_flow_change cmd = { 0 };
	GArray *changes = flows->changes;
	enum result result;

	if (!changes->len)
		return;
	flows->changes = g_array_new(FALSE, FALSE, sizeof(struct flow_change));
	cmd.now_ms = control_wall_ms(control);
	cmd.nr_changes = changes->len;
	cmd.changes = (struct flow_change *)(void *)changes->data;
	counter_add(control->node->counters, "flow_changes", changes->len);
	result = control_propose(control, CMD_FLOW_CHANGE, &cmd, &proposal);
	if (result)
		for (uint32_t i = 0; i < cmd.nr_changes; i++)
			flow_change_dropped(flows, &cmd.changes[i]);
	g_array_unref(changes);
}

void control_flow_propose(struct control_flow *flows,
			  const struct flow_change *change)
{
	g_array_append_vals(flows->changes, change, 1);
	if (!timer_armed(&flows->change_timer))
		node_timer_ms(flows->control->node, &flows->change_timer, 0);
}

void control_flow_propose_end(struct control_flow *flows,
			      struct flow_placement *placed, enum flow_end end,
			      const char *checkpoint)
{
	struct flow_change change = { .kind = FLOW_CHANGE_END };

	if (placed->ending || !placed->committed)
		return;
	placed->ending = true;
	TEXT_SET(change.id, placed->flow->record.id);
	change.task = placed->task;
	change.run = placed->run;
	change.end = control_flow_count_failure(flows, placed, end);
	TEXT_SET(change.checkpoint,
		 checkpoint[0] ? checkpoint : placed->checkpoint);
	control_flow_propose(flows, &change);
}

/* ---- committed changes ---- */

void control_flow_note_started(struct control_flow *flows,
			       const struct state_flow *flow)
{
	g_hash_table_add(flows->started, g_strdup(flow->record.id));
}

bool control_flow_has_started(const struct control_flow *flows,
			      const struct state_flow *flow)
{
	return flow->nr_done ||
	       g_hash_table_contains(flows->started, flow->record.id);
}

/* Logs the end of a run that had been revoked. */
static void flow_log_late_end(struct control_flow *flows,
			      const struct state_flow *flow, uint32_t task,
			      enum flow_end end)
{
	const struct flow_task *record = &flow->record.tasks[task];
	char name[NAME_BYTES];
	GString *line = logline_new("task-ended-late");

	state_flow_task_name(flow, task, name);
	logline_str(line, "task", name);
	logline_u64(line, "run", record->run);
	logline_str(line, "vm", record->vm);
	logline_str(line, "end", flow_end_name(end));
	counter_inc_label(flows->control->node->counters, "task_ends_late",
			  "end", flow_end_name(end));
	node_log(flows->control->node, line);
}

/*
 * Records the time since the workflow's submission or its planned first start,
 * whichever is later. The wall clock may jump back, in which case the time
 * counts as 0.
 */
static void flow_observe(struct control_flow *flows,
			 const struct state_flow *flow, const char *name)
{
	uint64_t now_ms = control_wall_ms(flows->control);
	uint64_t since_ms =
		MAX(flow->record.submitted_ms, flow->record.first_ms);

	counter_observe(flows->control->node->counters, name,
			now_ms > since_ms ? now_ms - since_ms : 0);
}

void control_flow_task_changed(struct control_flow *flows,
			       struct state_flow *flow, uint32_t task,
			       enum flow_end end)
{
	const struct flow_task *record = &flow->record.tasks[task];
	struct flow_placement *placed =
		control_flow_placement(flows, flow, task);
	struct flow_vm *vm;

	if (end == FLOW_END_NONE) {
		vm = control_flow_vm(flows, record->vm);
		if (!placed)
			placed = control_flow_reserve(flows, flow, task,
						      record->run, vm);
		placed->committed = true;
		if (record->run == 1 && flow->nr_placed == 1 && !flow->nr_done)
			flow_observe(flows, flow, "flow_first_start_ms");
		control_flow_order_start(flows, placed);
		return;
	}
	if (!placed || placed->run != record->run) {
		flow_log_late_end(flows, flow, task, end);
		control_flow_place_soon(flows);
		return;
	}
	counter_inc_label(flows->control->node->counters, "task_ends", "end",
			  flow_end_name(end));
	flow_account_end(flows->account, placed, end);
	control_flow_record_end(flows, placed, end);
	if (end == FLOW_END_DONE)
		control_flow_time_learn(flows, placed);
	control_flow_admit_ran(flows, placed);
	control_flow_note_end(flows, placed, end);
	control_flow_note_checkpoint(flows, placed, end);
	if (end != FLOW_END_LOST && end != FLOW_END_REFUSED)
		control_flow_note_started(flows, flow);
	if (end == FLOW_END_REFUSED)
		flow_advice_forget(flows, placed);
	if (end == FLOW_END_LOST)
		control_flow_orphan_lost_run(flows, placed);
	placed->vm->grant_due = true;
	if (end != FLOW_END_STOPPED)
		g_hash_table_remove(flows->left_vms, placed->name);
	control_flow_release(flows, placed);
	control_flow_place_soon(flows);
}

/* Stops the remaining runs of a workflow that has ended. */
static void flow_stop_all(struct control_flow *flows,
			  const struct state_flow *flow, const char *reason)
{
	for (uint32_t i = 0; i < flow->record.nr_tasks; i++) {
		struct flow_placement *placed;

		if (flow->record.tasks[i].state != FLOW_TASK_PLACED)
			continue;
		placed = control_flow_placement(flows, flow, i);
		if (placed)
			control_flow_order_stop(flows, placed, reason);
	}
}

/*
 * Appends the first WORKFLOW_STEPS_SHOWN steps to a log line, each as
 * COUNTxCPU_MILLIS, with the steps that it waits for after a "<".
 */
static void flow_log_steps(const struct flow_record *record, GString *line)
{
	uint32_t nr = MIN(record->nr_steps, WORKFLOW_STEPS_SHOWN);
	GString *steps = g_string_new(NULL);

	for (uint32_t i = 0; i < nr; i++) {
		const struct flow_step *step = &record->steps[i];

		g_string_append_printf(steps, "%s%ux%u", i ? "," : "",
				       step->count, step->cpu_millis);
		for (uint32_t j = 0;
		     j < MIN(step->nr_after, WORKFLOW_STEPS_SHOWN); j++)
			g_string_append_printf(steps, "%c%" G_GUINT64_FORMAT,
					       j ? '+' : '<', step->after[j]);
	}
	logline_str(line, "steps", steps->str);
	g_string_free(steps, TRUE);
}

void control_flow_changed(struct control_flow *flows,
			  const struct state_flow *flow)
{
	GString *line = logline_new("workflow");

	logline_str(line, "id", flow->record.id);
	logline_str(line, "state", flow_state_name(flow->record.state));
	logline_u64(line, "tasks", flow->record.nr_tasks);
	logline_u64(line, "done", flow->nr_done);
	logline_u64(line, "priority", flow->record.priority);
	if (state_flow_is_active(flow)) {
		logline_u64(line, "objective_ms",
			    control_flow_objective_ms(flow));
		logline_str(line, "lasting",
			    flow->record.steps[0].lasting ? "yes" : "no");
		flow_log_steps(&flow->record, line);
	}
	node_log(flows->control->node, line);
	control_flow_admit_changed(flows, flow);
	if (state_flow_is_active(flow)) {
		control_flow_rank_add(flows, (struct state_flow *)flow);
		control_flow_place_soon(flows);
		return;
	}
	if (flow->record.state == FLOW_COMPLETED)
		flow_observe(flows, flow, "flow_completed_ms");
	control_flow_rank_remove(flows, flow);
	control_flow_reserve_ended(flows, flow);
	g_hash_table_remove(flows->waits, flow->record.id);
	g_hash_table_remove(flows->started, flow->record.id);
	control_flow_forget_steps(flows, flow);
	control_flow_forget_checkpoints(flows, flow);
	pressure_forget(flows->pressure, flow->record.id);
	flow_stop_all(flows, flow, flow_state_name(flow->record.state));
}

void control_flow_queue_changed(struct control_flow *flows,
				const struct state_flow *flow)
{
	GString *line = logline_new("workflow-queue");

	logline_str(line, "id", flow->record.id);
	logline_str(line, "service", flow->record.service);
	logline_u64(line, "priority", flow->record.priority);
	logline_u64(line, "attempts", flow->record.attempts);
	logline_u64(line, "objective_ms", control_flow_objective_ms(flow));
	logline_u64(line, "ticket_ms", flow->record.ticket_ms);
	node_log(flows->control->node, line);
	control_flow_rank_change(flows, flow);
	control_flow_place_soon(flows);
}

void control_flow_zone_changed(struct control_flow *flows)
{
	control_flow_place_soon(flows);
}

/* ---- start and end of the leader's term ---- */

static void flow_take_over(struct control_flow *flows, struct state_flow *flow)
{
	bool active = state_flow_is_active(flow);

	if (active)
		control_flow_rank_add(flows, flow);
	for (uint32_t i = 0; i < flow->record.nr_tasks; i++) {
		const struct flow_task *task = &flow->record.tasks[i];
		struct flow_placement *placed;

		if (task->state != FLOW_TASK_PLACED)
			continue;
		placed = control_flow_reserve(flows, flow, i, task->run,
					      control_flow_vm(flows, task->vm));
		placed->committed = true;
		placed->inherited = true;
		control_flow_worker_inherit_run(flows, placed);
	}
}

static void flow_orders_free(void *data)
{
	GArray *orders = data;

	for (guint i = 0; i < orders->len; i++) {
		struct flow_order *order =
			&g_array_index(orders, struct flow_order, i);

		g_clear_pointer(&order->spec, g_bytes_unref);
	}
	g_array_unref(orders);
}

struct control_flow *control_flow_new(struct control *control)
{
	struct control_flow *flows = g_new0(struct control_flow, 1);

	flows->control = control;
	flows->policy = load_policy_choose(control->opts.load_choice,
					   &control->opts.load_limits);
	flows->had_bundle = control->state->bundles.in_force != NULL;
	flows->lease_ms = FLOW_LEASE_MAX_MS;
	flows->worker_lease_ms = FLOW_LEASE_MAX_MS;
	if (control->opts.worker_lease_ms) {
		flows->lease_ms = MIN(flows->lease_ms,
				      control->opts.worker_lease_ms * 9 / 10);
		flows->worker_lease_ms = control->opts.worker_lease_ms;
	}
	flows->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   flow_vm_free);
	flows->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	flows->left_vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	flows->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      flow_orders_free);
	flows->failed_steps = control_flow_failed_steps_new();
	flows->counting = g_hash_table_new(NULL, NULL);
	flows->gang_checkpoints = control_flow_checkpoints_new();
	flows->waits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	flows->started =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	flows->change_nr = 1; /* 0 means that no change number is known */
	if (flows->policy->admission_margin_permille)
		flows->admission = admission_new(control->node->now_us);
	flows->pressure = pressure_new();
	flows->advice = flow_advice_new();
	flows->run_times = run_times_new();
	flows->account = flow_account_new(control->node);
	if (flows->policy->max_reservations)
		flows->reserve = control_flow_reserve_new();
	flows->work_means =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	flows->ranks = g_array_new(FALSE, FALSE, sizeof(struct flow_rank));
	flows->changes = g_array_new(FALSE, FALSE, sizeof(struct flow_change));
	flows->change_timer = (struct timer){ flow_propose_changes, flows };
	flows->place_timer = (struct timer){ control_flow_place, flows };
	flows->order_timer = (struct timer){ control_flow_send_orders, flows };
	flows->check_timer = (struct timer){ control_flow_check, flows };
	flows->worker_timer =
		(struct timer){ control_flow_record_workers, flows };
	flows->shares = flow_shares_new();
	control_flow_load_weights(flows);
	control_flow_share_load(flows);
	for (GTreeNode *node = g_tree_node_first(control->state->flows); node;
	     node = g_tree_node_next(node))
		flow_take_over(flows, g_tree_node_value(node));
	node_timer_ms(control->node, &flows->check_timer, VM_CHECK_MS);
	return flows;
}

void control_flow_free(struct control_flow *flows)
{
	struct timers *timers;

	if (!flows)
		return;
	timers = flows->control->node->timers;
	timer_cancel(timers, &flows->change_timer);
	timer_cancel(timers, &flows->place_timer);
	timer_cancel(timers, &flows->order_timer);
	timer_cancel(timers, &flows->check_timer);
	timer_cancel(timers, &flows->worker_timer);
	flow_account_free(flows->account);
	g_hash_table_unref(flows->left_vms);
	g_hash_table_unref(flows->orders);
	g_hash_table_unref(flows->failed_steps);
	g_hash_table_unref(flows->counting);
	g_hash_table_unref(flows->gang_checkpoints);
	g_hash_table_unref(flows->waits);
	g_hash_table_unref(flows->started);
	g_hash_table_unref(flows->runs);
	g_hash_table_unref(flows->vms);
	g_array_unref(flows->ranks);
	g_hash_table_unref(flows->work_means);
	pressure_free(flows->pressure);
	admission_free(flows->admission);
	flow_advice_free(flows->advice);
	run_times_free(flows->run_times);
	flow_shares_free(flows->shares);
	control_flow_reserve_free(flows->reserve);
	g_array_unref(flows->changes);
	g_free(flows);
}
