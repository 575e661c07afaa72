#include "task.h"

#include <string.h>

#include "schema.h"
#include "state.h"

static void task_change_state(struct task *task, uint32_t task_state)
{
	task->job->nr_in_state[task->record.state]--;
	task->record.state = task_state;
	task->job->nr_in_state[task_state]++;
}

static void task_release(struct task *task)
{
	if (!task->vm)
		return;
	vm_release(task->vm, task);
	TEXT_SET(task->record.vm, "");
	task->record.cpu_millis = 0;
	task->record.memory_mib = 0;
	task->record.accelerators = 0;
}

/* The state of a task that runs nowhere any more. */
static uint32_t task_state_off_vm(const struct task *task)
{
	const struct job *job = task->job;

	switch (job->record.state) {
	case JOB_ACTIVE:
		/* A service that was shrunk has tasks left over. */
		return job->record.job_class == JOB_SERVICE &&
				       job_live_tasks(job) >
					       job->record.nr_wanted ?
			       TASK_CANCELLED :
			       TASK_PENDING;
	case JOB_FAILED:
		return TASK_FAILED;
	default:
		return TASK_CANCELLED;
	}
}

static void task_finish_change(struct state *state, struct task *task,
			       const struct task_record *before)
{
	struct job *job = task->job;

	state_task_changed(state, task, before);
	if (task_has_ended(task->record.state) &&
	    job->record.state == JOB_ACTIVE &&
	    job->record.job_class == JOB_SERVICE) {
		/* The job of a service never ends; its old tasks must not pile
		 * up. */
		task_drop(state, task);
		return;
	}
	job_settle(state, job);
}

/* Returns true if a task may go from one state to another by CMD_TASK_SET. */
static bool task_may_become(uint32_t from, uint32_t to)
{
	if (!task_is_on_vm(from))
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

static void task_take_progress(struct task *task,
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

struct task *task_find(const struct state *state, uint64_t task_id)
{
	return g_tree_lookup(state->tasks, &task_id);
}

bool task_is_on_vm(uint32_t task_state)
{
	return task_state == TASK_PLACED || task_state == TASK_RUNNING ||
	       task_state == TASK_STOPPING;
}

bool task_has_ended(uint32_t task_state)
{
	return task_state == TASK_DONE || task_state == TASK_FAILED ||
	       task_state == TASK_CANCELLED;
}

void task_add(struct state *state, struct job *job)
{
	struct task *task = g_new0(struct task, 1);
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

struct state_outcome task_place(struct state *state, const void *body)
{
	const struct cmd_task_place *place = body;
	struct task *task = task_find(state, place->task_id);
	struct vm *vm = vm_find(state, place->vm);
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
		outcome.message = "the task has moved on";
		return outcome;
	}
	if (vm->record.node_id != place->vm_node ||
	    vm->record.state != VM_LIVE) {
		outcome.result = RESULT_STALE;
		outcome.message = "the VM's incarnation isn't live";
		return outcome;
	}
	if (!zone_is_in(state, vm->record.zone)) {
		outcome.result = RESULT_ZONE_OUT;
		return outcome;
	}
	if (!vm_can_hold(vm, place->cpu_millis, place->memory_mib,
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
	vm_take(vm, task);
	task_change_state(task, TASK_PLACED);
	state_task_changed(state, task, &before);
	return outcome;
}

struct state_outcome task_set(struct state *state, const void *body)
{
	const struct cmd_task_set *set = body;
	struct task *task = task_find(state, set->task_id);
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
	if (!task_may_become(task->record.state, to)) {
		/* A repeated event finds the task where it put it. */
		outcome.result = task->record.state == to ? RESULT_OK :
							    RESULT_STALE;
		return outcome;
	}
	before = task->record;
	task_take_progress(task, set);
	if (to == TASK_DONE && task->job->record.job_class != JOB_SERVICE) {
		task->record.progress_ppm = 1000000;
		task_release(task);
		task_change_state(task, TASK_DONE);
		task_finish_change(state, task, &before);
	} else if (to == TASK_PENDING || to == TASK_DONE) {
		/* A replica that ends is started again. */
		task_release(task);
		task_change_state(task, task_state_off_vm(task));
		task_finish_change(state, task, &before);
	} else {
		task_change_state(task, to);
		state_task_changed(state, task, &before);
	}
	return outcome;
}

void task_unplace(struct state *state, struct task *task)
{
	struct task_record before = task->record;

	task_release(task);
	task_change_state(task, task_state_off_vm(task));
	task_finish_change(state, task, &before);
}

void task_cancel(struct state *state, struct task *task)
{
	struct task_record before = task->record;

	if (task_has_ended(task->record.state) ||
	    task->record.state == TASK_STOPPING)
		return;
	if (task->vm) {
		task_change_state(task, TASK_STOPPING);
		state_task_changed(state, task, &before);
		return;
	}
	task_change_state(task, task->job->record.state == JOB_FAILED ?
					TASK_FAILED :
					TASK_CANCELLED);
	task_finish_change(state, task, &before);
}

void task_drop(struct state *state, struct task *task)
{
	struct job *job = task->job;

	g_assert(!task->vm);
	job->nr_in_state[task->record.state]--;
	g_tree_remove(job->tasks, &task->record.task_id);
	/* Frees the task. */
	g_tree_remove(state->tasks, &task->record.task_id);
}

void task_restore(struct state *state, const struct task_record *record)
{
	struct task *task = g_new0(struct task, 1);
	struct vm *vm = vm_find(state, record->vm);

	task->record = *record;
	task->job = job_find(state, record->job_id);
	g_assert(task->job);
	task->job->nr_in_state[record->state]++;
	task->job->nr_evictions += record->nr_evictions;
	g_tree_insert(state->tasks, &task->record.task_id, task);
	g_tree_insert(task->job->tasks, &task->record.task_id, task);
	if (task_is_on_vm(record->state)) {
		g_assert(vm);
		vm_take(vm, task);
	}
}
