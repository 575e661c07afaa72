#include "control_vm.h"

#include <string.h>

#include "control_impl.h"

/* Time after which a start that isn't reported can't happen any more. */
#define CONTROL_START_LIMIT_US ((PERMIT_TTL_MS + LEASE_MARGIN_MS) * 1000ull)
#define CONTROL_LOST_US ((LEASE_TTL_MS + LEASE_MARGIN_MS) * 1000ull)
#define CONTROL_MAX_STARTS 5 /* orders; then the task gets another place */

static struct control_vm *control_vm_soft(struct control *control,
					  const char *name)
{
	struct control_vm *soft = g_hash_table_lookup(control->vms, name);

	if (soft)
		return soft;
	soft = g_new0(struct control_vm, 1);
	TEXT_SET(soft->name, name);
	/* Unknown grants of an earlier leader end after this. */
	soft->heard_us = control->leader_since_us;
	g_hash_table_replace(control->vms, soft->name, soft);
	return soft;
}

static struct control_task *control_vm_soft_task(struct control *control,
						 const struct state_task *task)
{
	struct control_task *soft =
		g_hash_table_lookup(control->tasks, &task->record.task_id);
	const struct control_vm *vm;

	if (soft && soft->epoch == task->record.epoch)
		return soft;
	vm = control_vm_soft(control, task->vm->record.name);
	soft = g_new0(struct control_task, 1);
	soft->task_id = task->record.task_id;
	soft->epoch = task->record.epoch;
	/* An order of an earlier leader counts from an earlier report. */
	soft->permit_sent_us = vm->first_sent_us;
	g_hash_table_replace(control->tasks, &soft->task_id, soft);
	return soft;
}

static void control_vm_send_order(struct control *control,
				  struct task_order *order, const char *vm_name)
{
	const struct state_vm *vm = state_vm_find(control->state, vm_name);

	order->term = raft_term(control->raft);
	order->vm_node = vm->record.node_id;
	node_send(control->node, order->vm_node, MSG_TASK_ORDER, order);
	counter_add(control->node->counters, "orders_sent", 1);
}

static void control_vm_order_start(struct control *control,
				   const struct state_task *task)
{
	struct control_task *soft = control_vm_soft_task(control, task);
	const struct control_vm *vm =
		control_vm_soft(control, task->vm->record.name);
	const struct job_record *job = &task->job->record;
	struct task_order order = { .action = TASK_START };

	/* The order's permit counts from a report of this incarnation. */
	if (vm->node_id != task->vm->record.node_id || !vm->report_seq ||
	    soft->nr_starts >= CONTROL_MAX_STARTS ||
	    !state_zone_is_in(control->state, task->vm->record.zone))
		return;
	soft->nr_starts++;
	soft->ordered_us = control->node->now_us;
	soft->permit_sent_us = vm->report_sent_us;
	order.permit_sent_us = vm->report_sent_us;
	order.start.task_id = task->record.task_id;
	order.start.epoch = task->record.epoch;
	TEXT_SET(order.start.job, job->name);
	TEXT_SET(order.start.kind, job->kind);
	TEXT_SET(order.start.payload, job->payload);
	order.start.cpu_millis = task->record.cpu_millis;
	order.start.memory_mib = task->record.memory_mib;
	order.start.accelerators = task->record.accelerators;
	TEXT_SET(order.start.checkpoint, task->record.checkpoint);
	control_vm_send_order(control, &order, task->record.vm);
}

static void control_vm_order_stop(struct control *control,
				  const struct state_task *task)
{
	struct control_task *soft = control_vm_soft_task(control, task);
	const struct state_job *job = task->job;
	struct task_order order = { .action = TASK_CHECKPOINT_STOP };

	/* Nobody resumes what was cancelled. */
	if (job->record.state != JOB_ACTIVE)
		order.action = TASK_STOP;
	soft->ordered_us = control->node->now_us;
	order.start.task_id = task->record.task_id;
	order.start.epoch = task->record.epoch;
	control_vm_send_order(control, &order, task->record.vm);
}

static void control_vm_task_set_done(struct control *control,
				     const struct control_proposal *proposal,
				     const struct state_outcome *outcome)
{
	const struct cmd_task_set *set = proposal->command.body;
	struct control_task *soft =
		g_hash_table_lookup(control->tasks, &proposal->task_id);

	if (soft && soft->epoch == set->epoch)
		soft->proposing = false;
}

static void control_vm_propose_task(struct control *control,
				    const struct state_task *task,
				    struct cmd_task_set *set)
{
	struct control_proposal proposal = { .done = control_vm_task_set_done };
	struct control_task *soft = control_vm_soft_task(control, task);

	if (soft->proposing)
		return;
	set->task_id = task->record.task_id;
	set->epoch = task->record.epoch;
	set->now_ms = control_wall_ms(control);
	proposal.task_id = set->task_id;
	TEXT_SET(proposal.vm, task->record.vm);
	soft->proposing =
		!control_propose(control, CMD_TASK_SET, set, &proposal);
}

/* What the committed task becomes when its run is seen in the given state. */
static void control_vm_follow_run(struct control *control,
				  const struct state_task *task,
				  const struct task_event *event)
{
	struct cmd_task_set set = { 0 };

	TEXT_SET(set.checkpoint, event->checkpoint);
	set.progress_ppm = event->progress_ppm;
	switch (event->run) {
	case TASK_RUN_RUNNING:
		if (task->record.state == TASK_STOPPING ||
		    (task->record.state == TASK_RUNNING &&
		     (!*event->checkpoint ||
		      !strcmp(event->checkpoint, task->record.checkpoint))))
			return;
		set.state = TASK_RUNNING;
		break;
	case TASK_RUN_DONE:
		set.state = TASK_DONE;
		break;
	case TASK_RUN_FAILED:
		set.state = TASK_PENDING;
		set.result = event->result ? event->result :
					     RESULT_UPSTREAM_FAILED;
		break;
	case TASK_RUN_STOPPED:
		set.state = TASK_PENDING;
		break;
	default:
		return;
	}
	control_vm_propose_task(control, task, &set);
}

static struct state_task *
control_vm_confirmed_task(const struct control *control,
			  const struct state_vm *vm, uint64_t task_id,
			  uint64_t epoch)
{
	struct state_task *task = state_task_find(control->state, task_id);

	if (!task || task->vm != vm || task->record.epoch != epoch)
		return NULL;
	return task;
}

/* A run that the state doesn't know must not go on. */
static void control_vm_refuse_run(struct control *control,
				  const struct state_vm *vm,
				  const struct platform_task *seen)
{
	struct task_order order = { .action = TASK_STOP };

	if (seen->run != TASK_RUN_RUNNING && seen->run != TASK_RUN_NONE)
		return;
	counter_add(control->node->counters, "runs_refused", 1);
	order.start.task_id = seen->task_id;
	order.start.epoch = seen->epoch;
	control_vm_send_order(control, &order, vm->record.name);
}

static bool control_vm_order_due(struct control *control,
				 const struct state_task *task)
{
	const struct control_task *soft = control_vm_soft_task(control, task);

	return control->node->now_us >=
	       soft->ordered_us + ORDER_REPEAT_MS * 1000ull;
}

/* Appends the ids of confirmed tasks and fills @a seen with all of them. */
static void control_vm_take_runs(struct control *control,
				 const struct state_vm *vm,
				 const struct report *report, GArray *confirmed,
				 GHashTable *seen)
{
	for (uint32_t i = 0; i < report->nr_tasks; i++) {
		const struct platform_task *run = &report->tasks[i];
		struct state_task *task = control_vm_confirmed_task(
			control, vm, run->task_id, run->epoch);
		struct task_event event = { 0 };

		if (!task) {
			control_vm_refuse_run(control, vm, run);
			continue;
		}
		g_array_append_val(confirmed, run->task_id);
		g_hash_table_add(seen, task);
		event.run = run->run;
		TEXT_SET(event.checkpoint, run->checkpoint);
		event.progress_ppm = run->progress_ppm;
		control_vm_follow_run(control, task, &event);
		if (task->record.state == TASK_STOPPING &&
		    control_vm_order_due(control, task))
			control_vm_order_stop(control, task);
	}
}

static gboolean control_vm_append_task(gpointer key, gpointer value,
				       gpointer data)
{
	g_ptr_array_add(data, value);
	return FALSE;
}

static GPtrArray *control_vm_tasks(const struct state_vm *vm)
{
	GPtrArray *tasks = g_ptr_array_new();

	g_tree_foreach(vm->tasks, control_vm_append_task, tasks);
	return tasks;
}

/*
 * The worker doesn't hold a task that is committed to the VM. A start may
 * still be under way; once it can't be any more, the task waits anew.
 */
static void control_vm_not_reported(struct control *control,
				    const struct state_task *task,
				    const struct report *report)
{
	const struct control_task *soft = control_vm_soft_task(control, task);
	struct cmd_task_set set = { .state = TASK_PENDING };
	GString *line;

	if (report->sent_us > soft->permit_sent_us + CONTROL_START_LIMIT_US) {
		if (soft->proposing)
			return;
		line = logline_new("task-missing");
		logline_u64(line, "task", task->record.task_id);
		logline_u64(line, "epoch", task->record.epoch);
		logline_str(line, "vm", task->record.vm);
		node_log(control->node, line);
		counter_add(control->node->counters, "tasks_missing", 1);
		control_vm_propose_task(control, task, &set);
	} else if (task->record.state == TASK_PLACED &&
		   control_vm_order_due(control, task)) {
		control_vm_order_start(control, task);
	}
}

static void control_vm_send_grant(struct control *control, uint64_t from,
				  const struct state_vm *vm,
				  const struct report *report,
				  const GArray *confirmed)
{
	const struct bundle *bundle = control->state->bundles.in_force;
	bool in = state_zone_is_in(control->state, vm->record.zone);
	struct grant grant = { 0 };

	grant.seq = report->seq;
	grant.sent_us = report->sent_us;
	grant.term = raft_term(control->raft);
	grant.lease_ms = LEASE_TTL_MS;
	if (in && vm->record.state == VM_LIVE)
		grant.permit_ms = PERMIT_TTL_MS;
	grant.zone_out = !in;
	grant.bundle_version = bundle ? bundle->version : 0;
	grant.nr_confirmed = confirmed->len;
	grant.confirmed = (uint64_t *)(void *)confirmed->data;
	node_send(control->node, from, MSG_GRANT, &grant);
	counter_add(control->node->counters, "grants_sent", 1);
}

static void control_vm_set_done(struct control *control,
				const struct control_proposal *proposal,
				const struct state_outcome *outcome)
{
	struct control_vm *soft =
		g_hash_table_lookup(control->vms, proposal->vm);

	if (soft)
		soft->setting = false;
}

static bool control_vm_same(const struct vm_record *a,
			    const struct vm_record *b)
{
	return a->node_id == b->node_id && a->state == b->state &&
	       !strcmp(a->zone, b->zone) && !strcmp(a->rack, b->rack) &&
	       !strcmp(a->address, b->address) &&
	       a->cpu_millis == b->cpu_millis &&
	       a->memory_mib == b->memory_mib &&
	       a->accelerators == b->accelerators;
}

/* Records what a report says of the VM, if that has changed. */
static void control_vm_register(struct control *control,
				const struct report *report,
				const struct state_vm *vm)
{
	struct control_vm *soft = control_vm_soft(control, report->vm.name);
	struct control_proposal proposal = { .done = control_vm_set_done };
	struct vm_record record = report->vm;
	struct state_outcome check;

	record.state = report->leaving ? VM_LEAVING : VM_LIVE;
	record.quarantined = false;
	if (soft->setting || (vm && control_vm_same(&vm->record, &record)))
		return;
	check = state_vm_check_set(control->state, &record);
	if (check.result) {
		/* Without grants its tasks stop, then it can be recorded. */
		counter_add(control->node->counters, "vms_refused", 1);
		return;
	}
	TEXT_SET(proposal.vm, record.name);
	soft->setting =
		!control_propose(control, CMD_VM_SET, &record, &proposal);
}

/* Starts the bookkeeping of an incarnation that this leader hears first. */
static void control_vm_hear_first(struct control *control,
				  const struct state_vm *vm,
				  struct control_vm *soft,
				  const struct report *report)
{
	GPtrArray *tasks = control_vm_tasks(vm);

	soft->node_id = report->vm.node_id;
	soft->report_seq = 0;
	soft->first_sent_us = report->sent_us;
	for (uint32_t i = 0; i < tasks->len; i++) {
		struct control_task *task = control_vm_soft_task(
			control, g_ptr_array_index(tasks, i));

		/* Times of another incarnation's clock mean nothing here. */
		task->permit_sent_us = report->sent_us;
		task->nr_starts = 0;
	}
	g_ptr_array_unref(tasks);
}

/* Two processes under one VM's name: the first one stays while it reports. */
static bool control_vm_is_duplicate(const struct control *control,
				    const struct state_vm *vm,
				    const struct control_vm *soft,
				    const struct report *report)
{
	return vm && vm->record.state != VM_LOST &&
	       vm->record.node_id != report->vm.node_id &&
	       soft->node_id == vm->record.node_id && soft->report_seq &&
	       node_link(control->node, vm->record.node_id) &&
	       control->node->now_us <
		       soft->reported_us + REPORT_INTERVAL_MS * 2000ull;
}

void control_vm_report(struct control *control, uint64_t from,
		       const struct report *report)
{
	const struct state_vm *vm =
		state_vm_find(control->state, report->vm.name);
	struct control_peer *peer = g_hash_table_lookup(control->peers, &from);
	struct control_vm *soft;
	GPtrArray *tasks;
	GArray *confirmed;
	GHashTable *seen;

	if (peer)
		peer->bundle_version = report->bundle_version;
	if (control_check_leader(control) || report->vm.node_id != from)
		return;
	soft = control_vm_soft(control, report->vm.name);
	if (control_vm_is_duplicate(control, vm, soft, report)) {
		counter_add(control->node->counters, "vm_duplicates", 1);
		return;
	}
	control_vm_register(control, report, vm);
	/* A lost VM's tasks may be placed elsewhere: no leases until it is
	 * recorded as live. */
	if (!vm || vm->record.node_id != from || vm->record.state == VM_LOST ||
	    soft->losing || vm->record.cpu_millis > report->vm.cpu_millis ||
	    vm->record.memory_mib > report->vm.memory_mib ||
	    vm->record.accelerators > report->vm.accelerators)
		return;
	if (soft->node_id != from)
		control_vm_hear_first(control, vm, soft, report);
	if (report->seq <= soft->report_seq)
		return;
	soft->report_seq = report->seq;
	soft->report_sent_us = report->sent_us;
	soft->reported_us = control->node->now_us;
	soft->heard_us = control->node->now_us;
	confirmed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	seen = g_hash_table_new(NULL, NULL);
	control_vm_take_runs(control, vm, report, confirmed, seen);
	control_vm_send_grant(control, from, vm, report, confirmed);
	tasks = control_vm_tasks(vm);
	for (uint32_t i = 0; i < tasks->len; i++)
		if (!g_hash_table_contains(seen, g_ptr_array_index(tasks, i)))
			control_vm_not_reported(
				control, g_ptr_array_index(tasks, i), report);
	g_ptr_array_unref(tasks);
	g_hash_table_unref(seen);
	g_array_unref(confirmed);
	plan_usage(control->plan, vm->record.name, report->nr_tasks,
		   report->tasks, control->node->now_us);
	control_plan_soon(control);
}

void control_vm_event(struct control *control, uint64_t from,
		      const struct task_event *event)
{
	struct state_task *task =
		state_task_find(control->state, event->task_id);

	if (control_check_leader(control))
		return;
	if (!task || !task->vm || task->vm->record.node_id != from ||
	    task->record.epoch != event->epoch) {
		counter_add(control->node->counters, "events_stale", 1);
		return;
	}
	control_vm_follow_run(control, task, event);
}

static void control_vm_lost_done(struct control *control,
				 const struct control_proposal *proposal,
				 const struct state_outcome *outcome)
{
	struct control_vm *soft =
		g_hash_table_lookup(control->vms, proposal->vm);

	if (soft)
		soft->losing = false;
}

void control_vm_check(void *data, uint64_t now_us)
{
	struct control *control = data;

	node_timer_ms(control->node, &control->vm_timer, VM_CHECK_MS);
	for (GTreeNode *node = g_tree_node_first(control->state->vms); node;
	     node = g_tree_node_next(node)) {
		const struct state_vm *vm = g_tree_node_value(node);
		struct control_proposal proposal = { 0 };
		struct cmd_vm_lost lost = { 0 };
		struct control_vm *soft;
		GString *line;

		if (vm->record.state == VM_LOST)
			continue;
		soft = control_vm_soft(control, vm->record.name);
		if (soft->losing || now_us - soft->heard_us <= CONTROL_LOST_US)
			continue;
		TEXT_SET(lost.name, vm->record.name);
		lost.node_id = vm->record.node_id;
		proposal.done = control_vm_lost_done;
		TEXT_SET(proposal.vm, lost.name);
		soft->losing = !control_propose(control, CMD_VM_LOST, &lost,
						&proposal);
		line = logline_new("vm-silent");
		logline_str(line, "vm", lost.name);
		logline_u64(line, "silent_ms",
			    (now_us - soft->heard_us) / 1000);
		node_log(control->node, line);
		counter_add(control->node->counters, "vms_silent", 1);
	}
}

void control_vm_order(struct control *control, const struct state_task *task)
{
	if (control_check_leader(control))
		return;
	if (task->record.state == TASK_PLACED)
		control_vm_order_start(control, task);
	else if (task->record.state == TASK_STOPPING)
		control_vm_order_stop(control, task);
}

bool control_vm_throttle(struct control *control, const struct state_task *task,
			 uint32_t cpu_ppm)
{
	struct task_order order = { .action = TASK_THROTTLE };

	if (control_check_leader(control) || !task->vm)
		return false;
	order.cpu_ppm = cpu_ppm;
	order.start.task_id = task->record.task_id;
	order.start.epoch = task->record.epoch;
	control_vm_send_order(control, &order, task->record.vm);
	return true;
}

void control_vm_forget_task(struct control *control, uint64_t task_id)
{
	g_hash_table_remove(control->tasks, &task_id);
}
