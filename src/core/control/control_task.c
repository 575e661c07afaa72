#include "control_task.h"

#include <string.h>

#include "control_impl.h"

/*
 * After this time the permit of an order has certainly expired, so a start that
 * hasn't been reported can't happen any more.
 */
#define CONTROL_START_LIMIT_US ((PERMIT_TTL_MS + LEASE_MARGIN_MS) * 1000ull)
/*
 * Maximum number of orders to start under one epoch; then the task is placed
 * again.
 */
#define CONTROL_MAX_STARTS 5

struct control_task *control_task_track(struct control *control,
					const struct state_task *task)
{
	struct control_task *tracked =
		g_hash_table_lookup(control->tasks, &task->record.task_id);
	const struct control_vm *vm;

	if (tracked && tracked->epoch == task->record.epoch)
		return tracked;
	vm = control_vm_track(control, task->vm->record.name);
	tracked = g_new0(struct control_task, 1);
	tracked->task_id = task->record.task_id;
	tracked->epoch = task->record.epoch;
	/*
	 * If an earlier leader ordered the start, its permit counts from a
	 * report before this one.
	 */
	tracked->permit_sent_us = vm->first_sent_us;
	g_hash_table_replace(control->tasks, &tracked->task_id, tracked);
	return tracked;
}

static void control_task_send_order(struct control *control,
				    struct task_order *order,
				    const char *vm_name)
{
	const struct state_vm *vm = state_vm_find(control->state, vm_name);

	order->term = raft_term(control->raft);
	order->vm_node = vm->record.node_id;
	node_send(control->node, order->vm_node, MSG_TASK_ORDER, order);
	counter_add(control->node->counters, "orders_sent", 1);
}

static void control_task_order_start(struct control *control,
				     const struct state_task *task)
{
	struct control_task *tracked = control_task_track(control, task);
	const struct control_vm *vm =
		control_vm_track(control, task->vm->record.name);
	const struct job_record *job = &task->job->record;
	struct task_order order = { .action = TASK_START };

	/*
	 * The permit counts from a report of the agent's present incarnation,
	 * so an order has to wait for one.
	 */
	if (vm->node_id != task->vm->record.node_id || !vm->report_seq ||
	    tracked->nr_starts >= CONTROL_MAX_STARTS ||
	    !state_zone_is_in(control->state, task->vm->record.zone))
		return;
	tracked->nr_starts++;
	tracked->ordered_us = control->node->now_us;
	tracked->permit_sent_us = vm->report_sent_us;
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
	control_task_send_order(control, &order, task->record.vm);
}

static void control_task_order_stop(struct control *control,
				    const struct state_task *task)
{
	struct control_task *tracked = control_task_track(control, task);
	const struct state_job *job = task->job;
	struct task_order order = { .action = TASK_CHECKPOINT_STOP };

	/* A cancelled job needs no checkpoint, as it is never resumed. */
	if (job->record.state != JOB_ACTIVE)
		order.action = TASK_STOP;
	tracked->ordered_us = control->node->now_us;
	order.start.task_id = task->record.task_id;
	order.start.epoch = task->record.epoch;
	control_task_send_order(control, &order, task->record.vm);
}

static void control_task_set_done(struct control *control,
				  const struct control_proposal *proposal,
				  const struct state_outcome *outcome)
{
	const struct cmd_task_set *set = proposal->command.body;
	struct control_task *tracked =
		g_hash_table_lookup(control->tasks, &proposal->task_id);

	if (tracked && tracked->epoch == set->epoch)
		tracked->proposing = false;
}

static void control_task_propose(struct control *control,
				 const struct state_task *task,
				 struct cmd_task_set *set)
{
	struct control_proposal proposal = { .done = control_task_set_done };
	struct control_task *tracked = control_task_track(control, task);

	if (tracked->proposing)
		return;
	set->task_id = task->record.task_id;
	set->epoch = task->record.epoch;
	set->now_ms = control_wall_ms(control);
	proposal.task_id = set->task_id;
	TEXT_SET(proposal.vm, task->record.vm);
	tracked->proposing =
		!control_propose(control, CMD_TASK_SET, set, &proposal);
}

/*
 * Proposes the change of the committed task that follows from its run's state.
 */
static void control_task_apply_run(struct control *control,
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
	control_task_propose(control, task, &set);
}

/*
 * Handles a report, from a VM that had been lost, of how a waiting task's last
 * run ended. Returns false if the end doesn't count.
 */
static bool control_task_late_end(struct control *control,
				  const struct task_event *event)
{
	const struct state_task *task =
		state_task_find(control->state, event->task_id);
	struct control_proposal proposal = { .task_id = event->task_id };
	struct cmd_task_set set = { 0 };
	bool done = event->run == TASK_RUN_DONE;

	if (!task || task->record.state != TASK_PENDING ||
	    task->record.epoch != event->epoch || !event->epoch)
		return false;
	if (!done && (event->run != TASK_RUN_STOPPED || !*event->checkpoint ||
		      event->progress_ppm <= task->record.progress_ppm))
		return false;
	set.task_id = event->task_id;
	set.epoch = event->epoch;
	set.state = done ? TASK_DONE : TASK_PENDING;
	TEXT_SET(set.checkpoint, event->checkpoint);
	set.progress_ppm = event->progress_ppm;
	set.now_ms = control_wall_ms(control);
	counter_add(control->node->counters, "late_ends", 1);
	control_propose(control, CMD_TASK_SET, &set, &proposal);
	return true;
}

static struct state_task *control_task_confirmed(const struct control *control,
						 const struct state_vm *vm,
						 uint64_t task_id,
						 uint64_t epoch)
{
	struct state_task *task = state_task_find(control->state, task_id);

	if (!task || task->vm != vm || task->record.epoch != epoch)
		return NULL;
	return task;
}

/* Orders the agent to stop a run that the committed state doesn't have. */
static void control_task_refuse_run(struct control *control,
				    const struct state_vm *vm,
				    const struct platform_task *seen)
{
	struct task_order order = { .action = TASK_STOP };

	if (seen->run != TASK_RUN_RUNNING && seen->run != TASK_RUN_NONE)
		return;
	counter_add(control->node->counters, "runs_refused", 1);
	order.start.task_id = seen->task_id;
	order.start.epoch = seen->epoch;
	control_task_send_order(control, &order, vm->record.name);
}

static bool control_task_order_due(struct control *control,
				   const struct state_task *task)
{
	const struct control_task *tracked = control_task_track(control, task);

	return control->node->now_us >=
	       tracked->ordered_us + ORDER_REPEAT_MS * 1000ull;
}

bool control_task_reported(struct control *control, const struct state_vm *vm,
			   const struct platform_task *run)
{
	struct task_event event = { 0 };
	struct state_task *task;

	task = control_task_confirmed(control, vm, run->task_id, run->epoch);
	if (!task) {
		control_task_refuse_run(control, vm, run);
		return false;
	}
	event.run = run->run;
	TEXT_SET(event.checkpoint, run->checkpoint);
	event.progress_ppm = run->progress_ppm;
	control_task_apply_run(control, task, &event);
	if (task->record.state == TASK_STOPPING &&
	    control_task_order_due(control, task))
		control_task_order_stop(control, task);
	return true;
}

void control_task_not_reported(struct control *control,
			       const struct state_task *task,
			       const struct report *report)
{
	const struct control_task *tracked = control_task_track(control, task);
	struct cmd_task_set set = { .state = TASK_PENDING };
	GString *line;

	if (report->sent_us >
	    tracked->permit_sent_us + CONTROL_START_LIMIT_US) {
		if (tracked->proposing)
			return;
		line = logline_new("task-missing");
		logline_u64(line, "task", task->record.task_id);
		logline_u64(line, "epoch", task->record.epoch);
		logline_str(line, "vm", task->record.vm);
		node_log(control->node, line);
		counter_add(control->node->counters, "tasks_missing", 1);
		control_task_propose(control, task, &set);
	} else if (task->record.state == TASK_PLACED &&
		   control_task_order_due(control, task)) {
		control_task_order_start(control, task);
	}
}

void control_task_event(struct control *control, uint64_t from,
			const struct task_event *event)
{
	struct state_task *task =
		state_task_find(control->state, event->task_id);

	if (control_check_leader(control))
		return;
	if (!task || !task->vm || task->vm->record.node_id != from ||
	    task->record.epoch != event->epoch) {
		if (control_task_late_end(control, event))
			return;
		counter_add(control->node->counters, "events_stale", 1);
		return;
	}
	control_task_apply_run(control, task, event);
}

void control_task_order(struct control *control, const struct state_task *task)
{
	if (control_check_leader(control))
		return;
	if (task->record.state == TASK_PLACED)
		control_task_order_start(control, task);
	else if (task->record.state == TASK_STOPPING)
		control_task_order_stop(control, task);
}

bool control_task_throttle(struct control *control,
			   const struct state_task *task, uint32_t cpu_ppm)
{
	struct task_order order = { .action = TASK_THROTTLE };

	if (control_check_leader(control) || !task->vm)
		return false;
	order.cpu_ppm = cpu_ppm;
	order.start.task_id = task->record.task_id;
	order.start.epoch = task->record.epoch;
	control_task_send_order(control, &order, task->record.vm);
	return true;
}

void control_task_forget(struct control *control, uint64_t task_id)
{
	g_hash_table_remove(control->tasks, &task_id);
}
