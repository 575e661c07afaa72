#include "move.h"

#include "decide.h"
#include "evict.h"
#include "place.h"

/* Replicas checked in one call of move_next_drained(). */
#define MOVE_SCAN_MAX 32
/* Wait after a refused decision before another move. */
#define MOVE_RETRY_US 100000ull

static bool must_leave(const struct plan_task *task)
{
	const struct plan_vm *vm = task->on_vm;

	return vm && vm->known && vm->zone &&
	       (vm->zone->out || vm->record.state == VM_LEAVING);
}

void move_drain_task(struct plan *plan, struct plan_task *task)
{
	if (!must_leave(task) || task->list || task->state == TASK_STOPPING)
		return;
	if (!plan->drain_services.length && !plan->drain_batch.length)
		plan->drain_started_us = plan->now_us;
	if (!task->drain_since_us)
		task->drain_since_us = plan->now_us;
	plan_set_list(task, plan_is_batch(task->job) ? &plan->drain_batch :
						       &plan->drain_services);
}

void move_drain_vm(struct plan *plan, struct plan_vm *vm)
{
	for (uint32_t i = 0; i < vm->tasks->len; i++)
		move_drain_task(plan, g_ptr_array_index(vm->tasks, i));
}

void move_start_rebalancing(struct plan *plan)
{
	plan->rebalance_until_us =
		plan->now_us + PLAN_REBALANCE_FOR_MS * 1000ull;
}

void move_ended(struct plan_task *task)
{
	if (!task->moving)
		return;
	task->moving = false;
	task->job->nr_moving--;
}

static void move_begin(struct plan *plan, struct plan_task *task,
		       struct plan_decision *decision, const char *why)
{
	if (!task->moving) {
		task->moving = true;
		task->job->nr_moving++;
	}
	decide_evict(plan, task, decision, why);
}

/*
 * Finds a VM for the replica and holds capacity there, so that the replica is
 * down only while it stops and starts. If no VM fits and @a evict is set,
 * evicts batch tasks for it. Returns true if the replica can be stopped now.
 */
static bool hold_place(struct plan *plan, struct plan_task *task, bool evict)
{
	struct task_size size;
	char reason[TEXT_BYTES];
	struct plan_vm *vm;

	if (task->hold_vm)
		return plan_hold_is_free(task);
	size = plan->place->size(plan, task->job->group);
	vm = plan->place->choose(plan, task, &size, reason, sizeof(reason));
	if (!vm && evict)
		evict_free_capacity(plan, task, &size);
	if (!vm)
		return false;
	plan_hold(plan, task, vm, &size, UINT64_MAX);
	return true;
}

static bool drain_service(struct plan *plan, struct plan_task *task,
			  struct plan_decision *decision)
{
	const struct plan_job *job = task->job;
	uint64_t waited_us = plan->now_us - task->drain_since_us;

	/* At most a third of a service's replicas move at a time. */
	if (job->nr_moving >= MAX(job->tasks.length / 3, 1))
		return false;
	if (!hold_place(plan, task, true) &&
	    waited_us < PLAN_DRAIN_FORCE_MS * 1000ull)
		return false;
	plan_set_list(task, NULL);
	move_begin(plan, task, decision, "drain-service");
	return true;
}

static bool next_drained_service(struct plan *plan,
				 struct plan_decision *decision)
{
	uint32_t checks_left = MIN(plan->drain_services.length, MOVE_SCAN_MAX);

	while (checks_left-- && plan->drain_services.head) {
		struct plan_task *task = plan->drain_services.head->data;

		if (!must_leave(task) || task->outstanding ||
		    task->state == TASK_STOPPING) {
			plan_set_list(task, NULL);
			continue;
		}
		if (drain_service(plan, task, decision))
			return true;
		plan_set_list(task, &plan->drain_services);
	}
	return false;
}

bool move_next_drained(struct plan *plan, struct plan_decision *decision)
{
	uint64_t batch_us =
		plan->drain_started_us + PLAN_DRAIN_BATCH_MS * 1000ull;

	if (plan->now_us < plan->last_undo_us + MOVE_RETRY_US)
		return false;
	if (next_drained_service(plan, decision))
		return true;
	if (plan->drain_services.length && plan->now_us < batch_us)
		return false;
	while (plan->drain_batch.head) {
		struct plan_task *task = plan->drain_batch.head->data;

		plan_set_list(task, NULL);
		if (!must_leave(task) || task->outstanding ||
		    task->state == TASK_STOPPING)
			continue;
		decide_evict(plan, task, decision, "drain-batch");
		return true;
	}
	return false;
}

/*
 * Counts replicas by zone number; a replica that is being moved counts in its
 * new zone.
 */
static void count_zones(const struct plan_job *job, uint32_t *counts,
			uint32_t nr_zones)
{
	for (const GList *link = job->tasks.head; link; link = link->next) {
		const struct plan_task *task = link->data;
		const struct plan_vm *vm = task->hold_vm ? task->hold_vm :
							   task->on_vm;

		if (vm && vm->zone && vm->zone->nr < nr_zones)
			counts[vm->zone->nr]++;
	}
}

static struct plan_task *replica_in(const struct plan_job *job,
				    uint32_t zone_nr)
{
	for (GList *link = job->tasks.head; link; link = link->next) {
		struct plan_task *task = link->data;

		if (task->state == TASK_RUNNING && !task->outstanding &&
		    !task->list && !task->hold_vm && task->on_vm &&
		    task->on_vm->zone && task->on_vm->zone->nr == zone_nr)
			return task;
	}
	return NULL;
}

static bool rebalance_service(struct plan *plan, struct plan_job *job,
			      struct plan_decision *decision)
{
	uint32_t nr_zones = plan->zone_list->len;
	uint32_t *counts;
	uint32_t fullest = 0;
	struct plan_task *task;
	bool more_even = false;

	if (job->nr_moving || !job->known || job->pending.length)
		return false;
	counts = g_new0(uint32_t, nr_zones);
	count_zones(job, counts, nr_zones);
	for (uint32_t i = 1; i < nr_zones; i++) {
		if (counts[i] > counts[fullest])
			fullest = i;
	}
	task = replica_in(job, fullest);
	if (!task || !hold_place(plan, task, false))
		goto out;
	/* If two counts differ by one, a move would only swap them. */
	more_even = counts[task->hold_vm->zone->nr] + 2 <= counts[fullest];
	if (more_even)
		move_begin(plan, task, decision, "spread");
	else
		plan_unhold(plan, task);
out:
	g_free(counts);
	return more_even;
}

bool move_next_rebalanced(struct plan *plan, struct plan_decision *decision)
{
	struct plan_job *job;

	if (plan->now_us < plan->next_rebalance_us ||
	    plan->now_us >= plan->rebalance_until_us || !plan->services->len ||
	    plan->drain_services.length)
		return false;
	plan->next_rebalance_us = plan->now_us + PLAN_REBALANCE_MS * 1000ull;
	plan->next_service = (plan->next_service + 1) % plan->services->len;
	job = g_ptr_array_index(plan->services, plan->next_service);
	return rebalance_service(plan, job, decision);
}

uint64_t move_next_us(const struct plan *plan)
{
	if (plan->drain_services.length || plan->drain_batch.length)
		return plan->now_us + MOVE_RETRY_US;
	if (plan->services->len && plan->now_us < plan->rebalance_until_us)
		return MAX(plan->next_rebalance_us,
			   plan->now_us + MOVE_RETRY_US);
	return UINT64_MAX;
}
