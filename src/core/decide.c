#include "decide.h"

#include <string.h>

#include "evict.h"
#include "place.h"
#include "schema.h"

/* Groups tried in one call, which bounds the time of a call in vain. */
#define TRIES_PER_CALL 8
/* The planner looks after lists and steps at least this often. */
#define TICK_US 100000ull
/* A task whose proposal was refused is tried again after this time. */
#define UNDO_RETRY_US 100000ull

bool decide_ever_fits(const struct plan *plan, const struct task_size *size)
{
	for (uint32_t i = 0; i < plan->plan_vm_list->len; i++) {
		const struct plan_vm *vm =
			g_ptr_array_index(plan->plan_vm_list, i);
		struct task_size capacity = plan_vm_capacity(vm);

		if (vm->known && size_within(size, &capacity))
			return true;
	}
	return false;
}

static void decision_init(struct plan_decision *decision,
			  enum plan_action action)
{
	memset(decision, 0, sizeof(*decision));
	decision->action = action;
}

void decide_place(struct plan *plan, struct plan_task *task, struct plan_vm *vm,
		  const struct task_size *size, struct plan_decision *decision)
{
	char reason[TEXT_BYTES];

	TEXT_SET(reason, decision->reason);
	decision_init(decision, PLAN_PLACE);
	TEXT_SET(decision->reason, reason);
	decision->task_id = task->task_id;
	decision->job_id = task->job->record.job_id;
	TEXT_SET(decision->vm, vm->record.name);
	decision->cpu_millis = size->cpu_millis;
	decision->memory_mib = size->memory_mib;
	decision->accelerators = size->accelerators;
	queue_remove_task(plan, task);
	task->outstanding = PLAN_PLACE;
	plan_account(task, vm, size, true);
}

void decide_evict(struct plan *plan, struct plan_task *task,
		  struct plan_decision *decision, const char *why)
{
	decision_init(decision, PLAN_EVICT);
	decision->task_id = task->task_id;
	decision->job_id = task->job->record.job_id;
	TEXT_SET(decision->vm, task->on_vm->record.name);
	g_snprintf(decision->reason, sizeof(decision->reason),
		   "why=%s policy=%s progress_ppm=%u", why, plan->evict->name,
		   task->progress_ppm);
	task->outstanding = PLAN_EVICT;
	task->evicted_us = plan->now_us;
}

static bool next_failed_job(struct plan *plan, struct plan_decision *decision)
{
	struct plan_job *job = g_queue_pop_head(&plan->failing_jobs);

	if (!job)
		return false;
	decision_init(decision, PLAN_FAIL_JOB);
	decision->job_id = job->record.job_id;
	decision->result = job->fail_result;
	g_snprintf(decision->reason, sizeof(decision->reason),
		   "why=%s failures=%u", result_name(job->fail_result),
		   job->nr_failures);
	return true;
}

/* The task doesn't fit now; decides what becomes of its group. */
static void task_does_not_fit(struct plan *plan, struct plan_task *task,
			      const struct task_size *size)
{
	struct plan_group *group = task->job->group;
	uint64_t known_us = MAX(plan->plan_vm_change_us, task->job->seen_us);
	bool settled = plan->now_us >= known_us + PLAN_NEVER_FITS_MS * 1000ull;

	if (settled && !decide_ever_fits(plan, size) &&
	    !decide_ever_fits(plan, &group->declared)) {
		plan_fail_job(plan, task->job, RESULT_NEVER_FITS);
		return;
	}
	queue_block(plan, group, size, false,
		    plan->now_us + PLAN_RETRY_MS * 1000ull);
}

static bool try_task(struct plan *plan, struct plan_task *task,
		     struct plan_decision *decision)
{
	struct plan_group *group = task->job->group;
	struct task_size size = plan->place->size(plan, group);
	struct plan_vm *vm;

	if (!team_allows(group->team, &size)) {
		if (!team_ever_allows(group->team, &size))
			plan_fail_job(plan, task->job, RESULT_QUOTA);
		else
			queue_block(plan, group, &size, true, UINT64_MAX);
		return false;
	}
	vm = plan->place->choose(plan, task, &size, decision->reason,
				 sizeof(decision->reason));
	if (!vm) {
		task_does_not_fit(plan, task, &size);
		return false;
	}
	group->blocked_since_us = 0;
	decide_place(plan, task, vm, &size, decision);
	return true;
}

static bool next_from_queue(struct plan *plan, struct plan_decision *decision)
{
	for (uint32_t i = 0; i < TRIES_PER_CALL; i++) {
		struct plan_task *task = queue_first(plan);

		if (!task)
			return false;
		if (try_task(plan, task, decision))
			return true;
	}
	return false;
}

bool plan_next(struct plan *plan, uint64_t now_us,
	       struct plan_decision *decision)
{
	plan->now_us = now_us;
	if (next_failed_job(plan, decision) || next_from_queue(plan, decision))
		return true;
	/* A job may have been found to fail only just now. */
	if (next_failed_job(plan, decision))
		return true;
	plan->next_us = MIN(queue_next_us(plan), now_us + TICK_US);
	return false;
}

uint64_t plan_next_us(const struct plan *plan)
{
	return plan->next_us;
}

static void undo_place(struct plan *plan, struct plan_task *task)
{
	plan_unaccount(plan, task);
	if (task->state != TASK_PENDING)
		return;
	queue_add_task(plan, task);
	queue_block(plan, task->job->group, &task->size, false,
		    plan->now_us + UNDO_RETRY_US);
}

void plan_undo(struct plan *plan, const struct plan_decision *decision)
{
	struct plan_task *task = plan_find_task(plan, decision->task_id);
	struct plan_job *job;

	if (decision->action == PLAN_FAIL_JOB) {
		job = g_hash_table_lookup(plan->jobs, &decision->job_id);
		if (job) {
			job->failing = false;
			queue_add_job(plan, job);
		}
		return;
	}
	if (!task || task->outstanding != decision->action)
		return;
	task->outstanding = 0;
	if (decision->action == PLAN_PLACE)
		undo_place(plan, task);
}
