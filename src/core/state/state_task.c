#include "state_task.h"

#include <string.h>

#include "schema.h"
#include "state.h"

static void state_task_change_state(struct state_task *task,
				    uint32_t task_state)
{
	task->job->nr_in_state[task->record.state]--;
	task->record.state = task_state;
	task->job->nr_in_state[task_state]++;
}

static void state_task_release(struct state_task *task)
{
	if (!task->vm)
		return;
	state_vm_remove_task(task->vm, task);
	TEXT_SET(task->record.vm, "");
	task->record.cpu_millis = 0;
	task->record.memory_mib = 0;
	task->record.accelerators = 0;
}

/* Returns the next state of a task that no longer runs on a VM. */
static uint32_t state_task_state_off_vm(const struct state_task *task)
{
	const struct state_job *job = task->job;

	switch (job->record.state) {
	case JOB_ACTIVE:
		/* A bundle may have reduced the number of replicas. */
		return job->record.job_class == JOB_SERVICE &&
				       state_job_live_tasks(job) >
					       job->record.nr_wanted ?
			       TASK_CANCELLED :
			       TASK_PENDING;
	case JOB_FAILED:
		return TASK_FAILED;
	default:
		return TASK_CANCELLED;
	}
}

static void state_task_finish_change(struct state *state,
				     struct state_task *task,
				     const struct task_record *before)
{
	struct state_job *job = task->job;

	state_task_changed(state, task, before);
	if (state_task_has_ended(task->record.state) &&
	    job->record.state == JOB_ACTIVE &&
	    job->record.job_class == JOB_SERVICE) {
		/*
		 * A service's job doesn't end, so its ended tasks would
		 * accumulate.
		 */
		state_task_drop(state, task);
		return;
	}
	state_job_finish_if_done(state, job);
}

/*
 * Returns true if a late report changes a task that is pending because its VM
 * was lost. A report of the latest epoch is valid, as no other run has begun.
 */
static bool state_task_accepts_late_result(const struct state_task *task,
					   const struct cmd_task_set *set)
{
	if (task->record.state != TASK_PENDING || !task->record.epoch)
		return false;
	return set->state == TASK_DONE ||
	       (set->state == TASK_PENDING && *set->checkpoint &&
		set->progress_ppm > task->record.progress_ppm);
}

/* Returns true if a task may go from one state to another by CMD_TASK_SET. */
static bool state_task_may_change_to(uint32_t from, uint32_t to)
{
	if (!state_task_is_on_vm(from))
		return false;
	switch (to) {
	case TASK_PENDING:
	case TASK_STOPPING:
	case TASK_DONE:
		return true;
	case TASK_RUNNING:
		return from != TASK_STOPPING;
	default:
		return false;
	}
}

static void state_task_record_progress(struct state_task *task,
				       const struct cmd_task_set *set)
{
	if (*set->checkpoint) {
		TEXT_SET(task->record.checkpoint, set->checkpoint);
		task->record.progress_ppm = set->progress_ppm;
	}
	if (set->result && set->result != RESULT_OK)
		task->record.nr_failures++;
	if (set->evicted) {
		task->record.nr_evictions++;
		task->job->nr_evictions++;
	}
}

struct state_task *state_task_find(const struct state *state, uint64_t task_id)
{
	return g_tree_lookup(state->tasks, &task_id);
}

bool state_task_is_on_vm(uint32_t task_state)
{
	return task_state == TASK_PLACED || task_state == TASK_RUNNING ||
	       task_state == TASK_STOPPING;
}

bool state_task_has_ended(uint32_t task_state)
{
	return task_state == TASK_DONE || task_state == TASK_FAILED ||
	       task_state == TASK_CANCELLED;
}

void state_task_add(struct state *state, struct state_job *job)
{
	struct state_task *task = g_new0(struct state_task, 1);
	struct task_record before = { 0 };

	task->job = job;
	task->record.task_id = ++state->counters.next_task_id;
	task->record.job_id = job->record.job_id;
	task->record.state = TASK_PENDING;
	job->nr_in_state[TASK_PENDING]++;
	g_tree_insert(state->tasks, &task->record.task_id, task);
	g_tree_insert(job->tasks, &task->record.task_id, task);
	state_task_changed(state, task, &before);
}

struct state_outcome state_task_place(struct state *state, const void *body)
{
	const struct cmd_task_place *place = body;
	struct state_task *task = state_task_find(state, place->task_id);
	struct state_vm *vm = state_vm_find(state, place->vm);
	struct state_outcome outcome = { 0 };
	struct task_record before;

	state_set_clock(state, place->now_ms);
	if (!task || !vm) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	if (task->record.state != TASK_PENDING ||
	    place->epoch != task->record.epoch + 1) {
		outcome.result = RESULT_STALE;
		outcome.message = "the task is not pending at this epoch";
		return outcome;
	}
	if (vm->record.node_id != place->vm_node ||
	    vm->record.state != VM_LIVE) {
		outcome.result = RESULT_STALE;
		outcome.message = "the VM's incarnation isn't live";
		return outcome;
	}
	if (!state_zone_is_in(state, vm->record.zone)) {
		outcome.result = RESULT_ZONE_OUT;
		return outcome;
	}
	if (!state_vm_can_hold(vm, place->cpu_millis, place->memory_mib,
			       place->accelerators)) {
		outcome.result = RESULT_NO_CAPACITY;
		return outcome;
	}
	before = task->record;
	task->record.epoch = place->epoch;
	TEXT_SET(task->record.vm, place->vm);
	task->record.cpu_millis = place->cpu_millis;
	task->record.memory_mib = place->memory_mib;
	task->record.accelerators = place->accelerators;
	task->record.started_ms = place->now_ms;
	state_vm_add_task(vm, task);
	state_task_change_state(task, TASK_PLACED);
	state_task_changed(state, task, &before);
	return outcome;
}

struct state_outcome state_task_set(struct state *state, const void *body)
{
	const struct cmd_task_set *set = body;
	struct state_task *task = state_task_find(state, set->task_id);
	struct state_outcome outcome = { 0 };
	struct task_record before;
	uint32_t to = set->state;

	state_set_clock(state, set->now_ms);
	if (!task) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	if (set->epoch != task->record.epoch) {
		outcome.result = RESULT_STALE;
		outcome.message = "the task has another epoch";
		return outcome;
	}
	if (!state_task_may_change_to(task->record.state, to) &&
	    !state_task_accepts_late_result(task, set)) {
		/*
		 * A report that is sent again finds the task in the state that
		 * the report led to.
		 */
		outcome.result = task->record.state == to ? RESULT_OK :
							    RESULT_STALE;
		return outcome;
	}
	before = task->record;
	state_task_record_progress(task, set);
	if (to == TASK_DONE && task->job->record.job_class != JOB_SERVICE) {
		task->record.progress_ppm = 1000000;
		state_task_release(task);
		state_task_change_state(task, TASK_DONE);
		state_task_finish_change(state, task, &before);
	} else if (to == TASK_PENDING || to == TASK_DONE) {
		/*
		 * A replica that ends is pending again, unless it is surplus.
		 */
		state_task_release(task);
		state_task_change_state(task, state_task_state_off_vm(task));
		state_task_finish_change(state, task, &before);
	} else {
		state_task_change_state(task, to);
		state_task_changed(state, task, &before);
	}
	return outcome;
}

void state_task_unplace(struct state *state, struct state_task *task)
{
	struct task_record before = task->record;

	state_task_release(task);
	state_task_change_state(task, state_task_state_off_vm(task));
	state_task_finish_change(state, task, &before);
}

void state_task_cancel(struct state *state, struct state_task *task)
{
	struct task_record before = task->record;

	if (state_task_has_ended(task->record.state) ||
	    task->record.state == TASK_STOPPING)
		return;
	if (task->vm) {
		state_task_change_state(task, TASK_STOPPING);
		state_task_changed(state, task, &before);
		return;
	}
	state_task_change_state(task, task->job->record.state == JOB_FAILED ?
					      TASK_FAILED :
					      TASK_CANCELLED);
	state_task_finish_change(state, task, &before);
}

void state_task_drop(struct state *state, struct state_task *task)
{
	struct state_job *job = task->job;

	g_assert(!task->vm);
	job->nr_in_state[task->record.state]--;
	g_tree_remove(job->tasks, &task->record.task_id);
	/* Frees the task. */
	g_tree_remove(state->tasks, &task->record.task_id);
}

void state_task_restore(struct state *state, const struct task_record *record)
{
	struct state_task *task = g_new0(struct state_task, 1);
	struct state_vm *vm = state_vm_find(state, record->vm);

	task->record = *record;
	task->job = state_job_find(state, record->job_id);
	g_assert(task->job);
	task->job->nr_in_state[record->state]++;
	task->job->nr_evictions += record->nr_evictions;
	g_tree_insert(state->tasks, &task->record.task_id, task);
	g_tree_insert(task->job->tasks, &task->record.task_id, task);
	if (state_task_is_on_vm(record->state)) {
		g_assert(vm);
		state_vm_add_task(vm, task);
	}
}
