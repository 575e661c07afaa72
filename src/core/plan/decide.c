#include "decide.h"

#include <string.h>

#include "evict.h"
#include "interference.h"
#include "move.h"
#include "place.h"
#include "quarantine.h"
#include "schema.h"

/*
 * Tasks tried in one plan_next() call; limits the time of a call without a
 * decision.
 */
#define TRIES_PER_CALL 8
/*
 * Interval of plan_next() calls while one of the planner's lists isn't empty,
 * see next_check_us().
 */
#define TICK_US 100000ull

bool decide_ever_fits(const struct plan *plan, const struct task_size *size)
{
	for (uint32_t i = 0; i < plan->vm_list->len; i++) {
		const struct plan_vm *vm = g_ptr_array_index(plan->vm_list, i);
		struct task_size capacity = plan_vm_capacity(vm);

		if (vm->known && size_within(size, &capacity))
			return true;
	}
	return false;
}

void decide_init(struct plan_decision *decision, enum plan_action action)
{
	memset(decision, 0, sizeof(*decision));
	decision->action = action;
}

void decide_place(struct plan *plan, struct plan_task *task, struct plan_vm *vm,
		  const struct task_size *size, struct plan_decision *decision)
{
	char reason[TEXT_BYTES];

	TEXT_SET(reason, decision->reason);
	decide_init(decision, PLAN_PLACE);
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
	decide_init(decision, PLAN_EVICT);
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
	struct plan_job *job;

	if (plan->now_us < plan->last_undo_us + UNDO_RETRY_US)
		return false;
	do {
		job = g_queue_pop_head(&plan->failing_jobs);
		if (!job)
			return false;
	} while (job->record.state != JOB_ACTIVE);
	decide_init(decision, PLAN_FAIL_JOB);
	decision->job_id = job->record.job_id;
	decision->result = job->fail_result;
	g_snprintf(decision->reason, sizeof(decision->reason),
		   "why=%s failures=%u", result_name(job->fail_result),
		   job->nr_failures);
	return true;
}

/*
 * Handles a task that fits nowhere now: fails its job, frees or awaits capacity
 * on a VM, or blocks the task's group.
 */
static void handle_no_fit(struct plan *plan, struct plan_task *task,
			  const struct task_size *size)
{
	struct plan_group *group = task->job->group;
	uint64_t known_us = plan->vm_added_us;
	uint64_t waited_us = group->blocked_since_us ?
				     plan->now_us - group->blocked_since_us :
				     0;
	bool vms_known = known_us &&
			 plan->now_us >=
				 known_us + PLAN_NEVER_FITS_MS * 1000ull;

	if (vms_known && !decide_ever_fits(plan, size) &&
	    !decide_ever_fits(plan, &group->declared)) {
		plan_fail_job(plan, task->job, RESULT_NEVER_FITS);
		return;
	}
	if (!plan_is_batch(task->job)) {
		if (evict_free_capacity(plan, task, size))
			return;
	} else if (waited_us >= PLAN_BATCH_HOLD_AFTER_MS * 1000ull &&
		   plan->nr_batch_holds <= plan->vm_list->len / 64 &&
		   evict_await_capacity(plan, task, size)) {
		return;
	}
	queue_block(plan, group, size, false,
		    plan->now_us + (plan_is_batch(task->job) ?
					    PLAN_RETRY_MS :
					    PLAN_URGENT_RETRY_MS) *
					   1000ull);
}

/*
 * Records the size of an urgent task. For some time, placement keeps capacity
 * free for another task of the largest recorded size.
 */
static void record_urgent_demand(struct plan *plan,
				 const struct task_size *size)
{
	bool stale = plan->now_us >=
		     plan->urgent_us + PLAN_URGENT_RESERVE_MS * 1000ull;

	if (stale)
		plan->urgent_size = *size;
	plan->urgent_size.cpu_millis =
		MAX(plan->urgent_size.cpu_millis, size->cpu_millis);
	plan->urgent_size.memory_mib =
		MAX(plan->urgent_size.memory_mib, size->memory_mib);
	plan->urgent_us = plan->now_us;
}

/*
 * Limits the rate of batch starts in a zone that was put back into service. The
 * starts of up to one second may come at once.
 */
static void count_batch_start(const struct plan *plan, struct plan_vm *vm,
			      bool batch)
{
	struct plan_zone *zone = vm->zone;
	uint32_t per_s = MAX(PLAN_RETURN_STARTS_PER_S, zone->vms->len);

	if (batch)
		zone->start_us = MAX(zone->start_us, plan->now_us - 1000000) +
				 1000000 / per_s;
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
	if (task->job->record.job_class == JOB_URGENT)
		record_urgent_demand(plan, &size);
	vm = plan->place->choose(plan, task, &size, decision->reason,
				 sizeof(decision->reason));
	if (!vm) {
		handle_no_fit(plan, task, &size);
		return false;
	}
	group->blocked_since_us = 0;
	group->started_us = plan->now_us;
	count_batch_start(plan, vm, plan_is_batch(task->job));
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

/* Decides the next eviction that frees capacity for a waiting task. */
static bool next_eviction(struct plan *plan, struct plan_decision *decision)
{
	while (plan->evicting.head) {
		struct plan_task *task = plan->evicting.head->data;

		plan_set_list(task, NULL);
		if (!evict_allowed(plan, task) ||
		    task->outstanding == PLAN_PLACE) {
			move_drain_task(plan, task);
			continue;
		}
		decide_evict(plan, task, decision, "room");
		return true;
	}
	return false;
}

/* Places the next task whose held capacity is free. */
static bool next_ready(struct plan *plan, struct plan_decision *decision)
{
	if (plan->now_us < plan->last_undo_us + UNDO_RETRY_US)
		return false;
	while (plan->ready.head) {
		struct plan_task *task = plan->ready.head->data;
		struct plan_vm *vm = task->hold_vm;
		struct task_size size = task->hold_size;
		bool fits = plan_hold_is_free(task);

		plan_set_list(task, NULL);
		plan_unhold(plan, task);
		if (task->job->record.state != JOB_ACTIVE || task->job->failing)
			continue;
		if (!fits || !team_allows(task->job->team, &size)) {
			queue_add_task(plan, task);
			continue;
		}
		g_snprintf(decision->reason, sizeof(decision->reason),
			   "policy=%s held=1", plan->place->name);
		decide_place(plan, task, vm, &size, decision);
		return true;
	}
	return false;
}

/*
 * Releases holds that have expired. Each call checks only a few tasks of
 * plan.waiting and moves them to the end of that list, so that all are checked
 * in turn.
 */
static void expire_holds(struct plan *plan)
{
	uint32_t checks_left = MIN(plan->waiting.length, TRIES_PER_CALL);

	/* Releasing a hold may make tasks ready, which shortens the list. */
	while (checks_left-- && plan->waiting.head) {
		struct plan_task *task = plan->waiting.head->data;

		if (task->hold_until_us > plan->now_us) {
			plan_set_list(task, &plan->waiting);
			continue;
		}
		plan_set_list(task, NULL);
		plan_unhold(plan, task);
		queue_add_task(plan, task);
	}
}

static bool queue_has_batch_only(struct plan *plan)
{
	const struct plan_task *task = queue_first(plan);

	return !task || plan_is_batch(task->job);
}

/* Returns when to call plan_next() again if nothing changes before then. */
static uint64_t next_check_us(const struct plan *plan)
{
	const struct plan_vm *vm = quarantine_first(plan);
	uint64_t next_us = MIN(queue_next_us(plan), move_next_us(plan));

	if (plan->waiting.length || plan->ready.length ||
	    plan->evicting.length || plan->failing_jobs.length ||
	    plan->suspect_vms.length || plan->slow_vms.length)
		next_us = MIN(next_us, plan->now_us + TICK_US);
	if (vm)
		next_us = MIN(next_us,
			      MAX(vm->probation_us, plan->now_us + TICK_US));
	return next_us;
}

bool plan_next(struct plan *plan, uint64_t now_us,
	       struct plan_decision *decision)
{
	plan->now_us = now_us;
	expire_holds(plan);
	if (next_failed_job(plan, decision) ||
	    quarantine_next(plan, decision) || next_ready(plan, decision) ||
	    next_eviction(plan, decision))
		return true;
	if ((plan->drain_services.length || plan->drain_batch.length) &&
	    queue_has_batch_only(plan) && move_next_drained(plan, decision))
		return true;
	if (next_from_queue(plan, decision) ||
	    move_next_drained(plan, decision) ||
	    move_next_rebalanced(plan, decision) ||
	    interference_next(plan, decision))
		return true;
	/* The steps above may have added jobs or tasks to these lists. */
	if (next_failed_job(plan, decision) || next_ready(plan, decision) ||
	    next_eviction(plan, decision))
		return true;
	plan->next_us = next_check_us(plan);
	return false;
}

uint64_t plan_next_us(const struct plan *plan)
{
	return plan->next_us;
}

static void undo_place(struct plan *plan, struct plan_task *task)
{
	struct plan_vm *vm = task->on_vm;
	struct task_size size = task->size;

	plan_unaccount(plan, task);
	if (task->state != TASK_PENDING)
		return;
	/* Keeps batch tasks from using the capacity before the next attempt. */
	if (!plan_is_batch(task->job) && vm->indexed) {
		plan_hold(plan, task, vm, &size,
			  plan->now_us + PLAN_HOLD_MS * 1000ull);
		return;
	}
	queue_add_task(plan, task);
	queue_block(plan, task->job->group, &size, false,
		    plan->now_us + UNDO_RETRY_US);
}

static void undo_job(struct plan *plan, uint64_t job_id)
{
	struct plan_job *job = g_hash_table_lookup(plan->jobs, &job_id);

	/* The reason for the failure remains, so the decision is made again. */
	if (job && job->failing)
		g_queue_push_tail(&plan->failing_jobs, job);
}

static void undo_throttle(struct plan *plan, struct plan_task *task)
{
	if (!task->on_vm || !task->running_us)
		return;
	plan_vm_run_end(task->on_vm, task->task_id, plan->now_us);
	plan_vm_run_begin(task->on_vm, task->job->kind->nr, task->task_id,
			  1000000, plan->now_us);
	plan_vm_throttle_task(task->on_vm, task, 1000000);
}

void plan_undo(struct plan *plan, const struct plan_decision *decision)
{
	struct plan_task *task = plan_find_task(plan, decision->task_id);

	plan->last_undo_us = plan->now_us;
	if (decision->action == PLAN_QUARANTINE)
		quarantine_undo(plan, decision);
	else if (decision->action == PLAN_FAIL_JOB)
		undo_job(plan, decision->job_id);
	else if (task && decision->action == PLAN_THROTTLE)
		undo_throttle(plan, task);
	if (!task || task->outstanding != decision->action)
		return;
	task->outstanding = 0;
	if (decision->action == PLAN_PLACE) {
		undo_place(plan, task);
	} else {
		task->evicted_us = 0;
		move_ended(task);
		plan_unhold(plan, task);
		move_drain_task(plan, task);
	}
}
