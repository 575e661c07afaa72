#include "control_plan.h"

#include <string.h>

#include "control_impl.h"

/*
 * Delay after a refused proposal: the log may be full or the leader without a
 * quorum.
 */
#define CONTROL_PLAN_RETRY_MS 100

static const char *const control_plan_events[] = {
	[PLAN_PLACE] = "place",		  [PLAN_EVICT] = "evict",
	[PLAN_THROTTLE] = "throttle",	  [PLAN_FAIL_JOB] = "fail-job",
	[PLAN_QUARANTINE] = "quarantine",
};

static void control_plan_log(struct control *control,
			     const struct plan_decision *decision,
			     const struct state_outcome *outcome)
{
	const char *event = control_plan_events[decision->action];
	GString *line = logline_new(event);
	char *name = g_strdup_printf("decisions_%s_%s", event,
				     outcome->result ? "refused" : "committed");

	if (decision->task_id)
		logline_u64(line, "task", decision->task_id);
	if (decision->job_id)
		logline_u64(line, "job", decision->job_id);
	if (*decision->vm)
		logline_str(line, "vm", decision->vm);
	if (decision->action == PLAN_PLACE) {
		logline_u64(line, "cpu_millis", decision->cpu_millis);
		logline_u64(line, "memory_mib", decision->memory_mib);
		logline_u64(line, "accelerators", decision->accelerators);
	}
	if (decision->action == PLAN_THROTTLE)
		logline_u64(line, "cpu_ppm", decision->cpu_ppm);
	if (decision->action == PLAN_QUARANTINE)
		logline_u64(line, "quarantined", decision->quarantined);
	if (decision->action == PLAN_FAIL_JOB)
		logline_str(line, "cause", result_name(decision->result));
	if (*decision->reason)
		g_string_append_printf(line, " %s", decision->reason);
	logline_str(line, "result", result_name(outcome->result));
	if (outcome->message)
		logline_str(line, "refusal", outcome->message);
	node_log(control->node, line);
	counter_add(control->node->counters, name, 1);
	g_free(name);
}

static void control_plan_done(struct control *control,
			      const struct control_proposal *proposal,
			      const struct state_outcome *outcome)
{
	control_plan_log(control, &proposal->decision, outcome);
	if (!outcome->result || !control->plan ||
	    proposal->plan_generation != control->plan_generation)
		return;
	plan_undo(control->plan, &proposal->decision);
	control_plan_soon(control);
}

/* Proposes the decision's command; its outcome goes to control_plan_done(). */
static enum result control_plan_propose(struct control *control,
					const struct plan_decision *decision,
					uint32_t type, const void *body)
{
	struct control_proposal proposal = { .done = control_plan_done };

	proposal.decision = *decision;
	proposal.plan_generation = control->plan_generation;
	proposal.task_id = decision->task_id;
	TEXT_SET(proposal.vm, decision->vm);
	return control_propose(control, type, body, &proposal);
}

static enum result control_plan_place(struct control *control,
				      const struct plan_decision *decision)
{
	const struct state_task *task =
		state_task_find(control->state, decision->task_id);
	const struct state_vm *vm = state_vm_find(control->state, decision->vm);
	struct cmd_task_place place = { 0 };

	if (!task || !vm)
		return RESULT_UNKNOWN_OBJECT;
	place.task_id = decision->task_id;
	place.epoch = task->record.epoch + 1;
	TEXT_SET(place.vm, decision->vm);
	place.vm_node = vm->record.node_id;
	place.cpu_millis = decision->cpu_millis;
	place.memory_mib = decision->memory_mib;
	place.accelerators = decision->accelerators;
	place.now_ms = control_wall_ms(control);
	return control_plan_propose(control, decision, CMD_TASK_PLACE, &place);
}

static enum result control_plan_evict(struct control *control,
				      const struct plan_decision *decision)
{
	const struct state_task *task =
		state_task_find(control->state, decision->task_id);
	struct cmd_task_set set = { .state = TASK_STOPPING, .evicted = true };

	if (!task || !task->vm)
		return RESULT_STALE;
	set.task_id = decision->task_id;
	set.epoch = task->record.epoch;
	set.now_ms = control_wall_ms(control);
	return control_plan_propose(control, decision, CMD_TASK_SET, &set);
}

static enum result control_plan_throttle(struct control *control,
					 const struct plan_decision *decision)
{
	const struct state_task *task =
		state_task_find(control->state, decision->task_id);
	struct state_outcome outcome = { 0 };

	if (!task || !control_task_throttle(control, task, decision->cpu_ppm))
		return RESULT_STALE;
	/* Nothing is committed, as a lost order to throttle does no harm. */
	control_plan_log(control, decision, &outcome);
	return RESULT_OK;
}

static enum result control_plan_fail_job(struct control *control,
					 const struct plan_decision *decision)
{
	uint64_t job_id = decision->job_id;
	struct cmd_job_cancel cancel = { 0 };

	cancel.nr_job_ids = 1;
	cancel.job_ids = &job_id;
	cancel.result = decision->result;
	cancel.now_ms = control_wall_ms(control);
	return control_plan_propose(control, decision, CMD_JOB_CANCEL, &cancel);
}

static enum result control_plan_quarantine(struct control *control,
					   const struct plan_decision *decision)
{
	struct cmd_vm_quarantine set = { 0 };

	TEXT_SET(set.name, decision->vm);
	set.quarantined = decision->quarantined;
	return control_plan_propose(control, decision, CMD_VM_QUARANTINE, &set);
}

typedef enum result (*control_plan_fn)(struct control *control,
				       const struct plan_decision *decision);

static const control_plan_fn control_plan_actions[] = {
	[PLAN_PLACE] = control_plan_place,
	[PLAN_EVICT] = control_plan_evict,
	[PLAN_THROTTLE] = control_plan_throttle,
	[PLAN_FAIL_JOB] = control_plan_fail_job,
	[PLAN_QUARANTINE] = control_plan_quarantine,
};

static void control_plan_rearm(struct control *control)
{
	uint64_t next_us = plan_next_us(control->plan);
	uint64_t now_us = control->node->now_us;

	/* Waits at least 1 ms, so that the planner can't keep the loop busy. */
	if (next_us != TIMER_NEVER)
		timer_set(control->node->timers, &control->plan_timer,
			  MAX(next_us, now_us + 1000));
}

void control_plan_run(void *data, uint64_t now_us)
{
	struct control *control = data;
	struct state_outcome outcome = { 0 };

	if (control->plan_stale)
		control_plan_build(control);
	for (uint32_t i = 0; i < PLAN_DECISIONS_PER_TURN; i++) {
		struct plan_decision decision = { 0 };

		if (control_check_leader(control))
			break;
		if (!plan_next(control->plan, now_us, &decision)) {
			control_plan_rearm(control);
			return;
		}
		outcome.result = control_plan_actions[decision.action](
			control, &decision);
		if (outcome.result) {
			control_plan_log(control, &decision, &outcome);
			plan_undo(control->plan, &decision);
			break;
		}
	}
	node_timer_ms(control->node, &control->plan_timer,
		      outcome.result || control_check_leader(control) ?
			      CONTROL_PLAN_RETRY_MS :
			      0);
}

static gboolean control_plan_add_zone(gpointer key, gpointer value,
				      gpointer data)
{
	struct control *control = data;

	plan_set_zone(control->plan, value, control->node->now_us);
	return FALSE;
}

static gboolean control_plan_add_vm(gpointer key, gpointer value, gpointer data)
{
	struct control *control = data;
	const struct state_vm *vm = value;

	plan_set_vm(control->plan, &vm->record, control->node->now_us);
	return FALSE;
}

static gboolean control_plan_add_job(gpointer key, gpointer value,
				     gpointer data)
{
	struct control *control = data;
	const struct state_job *job = value;

	plan_set_job(control->plan, &job->record, control->node->now_us);
	return FALSE;
}

static gboolean control_plan_add_task(gpointer key, gpointer value,
				      gpointer data)
{
	struct control *control = data;
	const struct state_task *task = value;

	plan_set_task(control->plan, &task->record, control->node->now_us);
	return FALSE;
}

void control_plan_build(struct control *control)
{
	const struct bundle *bundle = control->state->bundles.in_force;
	struct plan_opts opts = { 0 };

	TEXT_SET(control->place_policy, bundle ? bundle->place_policy : "");
	TEXT_SET(control->evict_policy, bundle ? bundle->evict_policy : "");
	if (*control->place_policy)
		opts.place_policy = control->place_policy;
	if (*control->evict_policy)
		opts.evict_policy = control->evict_policy;
	opts.seed = node_random(control->node);
	plan_free(control->plan);
	control->plan = plan_new(&opts);
	control->plan_generation++;
	control->plan_stale = false;
	if (bundle)
		plan_set_bundle(control->plan, bundle);
	g_tree_foreach(control->state->zones, control_plan_add_zone, control);
	g_tree_foreach(control->state->vms, control_plan_add_vm, control);
	g_tree_foreach(control->state->jobs, control_plan_add_job, control);
	g_tree_foreach(control->state->tasks, control_plan_add_task, control);
	control_plan_soon(control);
}

void control_plan_drop(struct control *control)
{
	g_clear_pointer(&control->plan, plan_free);
	control->plan_stale = false;
}

void control_plan_soon(struct control *control)
{
	node_timer_ms(control->node, &control->plan_timer, 0);
}

void control_plan_bundle(struct control *control, const struct bundle *bundle)
{
	if (strcmp(bundle->place_policy, control->place_policy) != 0 ||
	    strcmp(bundle->evict_policy, control->evict_policy) != 0)
		control->plan_stale = true;
	plan_set_bundle(control->plan, bundle);
	control_plan_soon(control);
}

void control_plan_task(struct control *control, const struct state_task *task,
		       const struct task_record *before)
{
	uint64_t now_us = control->node->now_us;
	bool failed = task->record.nr_failures > before->nr_failures;

	if (state_task_is_on_vm(before->state) &&
	    (failed || task->record.state == TASK_DONE))
		plan_task_ended(control->plan, task->record.task_id, before->vm,
				failed, now_us);
	plan_set_task(control->plan, &task->record, now_us);
	control_plan_soon(control);
}
