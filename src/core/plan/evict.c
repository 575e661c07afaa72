#include "evict.h"

#include <stdlib.h>
#include <string.h>

#include "place.h"

/* What a checkpoint, a stop and a new start cost in run time. */
#define EVICT_OVERHEAD_US 2000000ull
#define MINUTE_US 60000000ull
/* Bounds of the search for room on short capacity. */
#define ROOM_MAX_VMS 16
#define ROOM_MAX_VICTIMS 64
/* Evicting more is better than two replicas of a service on one VM. */
#define ROOM_SAME_JOB_COST (1ull << 40)

/* Processor time that is lost; without a checkpoint all that was done. */
static uint64_t lost_work(const struct plan_task *task, uint64_t now_us)
{
	uint64_t lost_us = EVICT_OVERHEAD_US;

	if (task->job->kind->no_checkpoint && task->running_us)
		lost_us += now_us - task->running_us;
	return lost_us / 1000 * task->size.cpu_millis;
}

static uint64_t newest(const struct plan_task *task, uint64_t now_us)
{
	return task->running_us ? now_us - task->running_us : 0;
}

const struct evict_ops evict_least_lost = {
	.name = "least-lost",
	.cost = lost_work,
	.stepwise = true,
};

const struct evict_ops evict_newest = {
	.name = "newest",
	.cost = newest,
	.stepwise = false,
};

bool evict_allowed(const struct plan *plan, const struct plan_task *task)
{
	uint64_t again_us = task->evicted_us + PLAN_EVICT_AGAIN_MS * 1000ull;

	return task->job->known && plan_is_batch(task->job) && task->on_vm &&
	       !task->reserved && !plan_is_leaving(plan, task) &&
	       (!task->evicted_us || plan->now_us >= again_us);
}

void evict_init(struct plan *plan)
{
	plan->calm.per_minute = PLAN_EVICTIONS_PER_MINUTE;
	plan->calm.per_minute_vm = 1;
	plan->calm.credit_us = MINUTE_US;
	plan->room.per_minute = PLAN_ROOM_EVICTIONS_PER_MINUTE;
	plan->room.per_minute_vm = 10;
	plan->room.credit_us = MINUTE_US;
}

bool evict_budget_take(struct plan *plan, struct evict_budget *allowance,
		       uint32_t nr)
{
	uint64_t per_minute =
		allowance->per_minute +
		(uint64_t)allowance->per_minute_vm * plan->vm_list->len;
	uint64_t price_us = MINUTE_US / per_minute * nr;
	uint64_t idle_us = plan->now_us - allowance->refilled_us;

	allowance->refilled_us = plan->now_us;
	allowance->credit_us = MIN(allowance->credit_us + idle_us, MINUTE_US);
	if (allowance->credit_us < price_us)
		return false;
	allowance->credit_us -= price_us;
	return true;
}

/* What a VM would still lack for a task once those that leave are gone. */
static struct task_size shortfall_on(const struct plan *plan,
				     const struct plan_vm *vm,
				     const struct task_size *size)
{
	struct task_size lacking = *size;
	struct task_size soon = plan_vm_spare(vm);

	size_add(&lacking, &vm->held);
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		const struct plan_task *task = g_ptr_array_index(vm->tasks, i);

		if (plan_is_leaving(plan, task))
			size_add(&soon, &task->size);
	}
	lacking.cpu_millis -= MIN(lacking.cpu_millis, soon.cpu_millis);
	lacking.memory_mib -= MIN(lacking.memory_mib, soon.memory_mib);
	lacking.accelerators -= MIN(lacking.accelerators, soon.accelerators);
	return lacking;
}

struct victim {
	struct plan_task *task;
	uint64_t cost;
};

/* A set of tasks whose end makes room on a VM. */
struct room {
	struct plan_vm *vm;
	struct victim victims[ROOM_MAX_VICTIMS];
	uint32_t nr;
	uint64_t cost;
};

/* How the search for room judges: what a task costs, UINT64_MAX: it stays, and
 * whether the costs add up or the largest counts. */
struct victim_rule {
	uint64_t (*cost)(const struct plan *plan, const struct plan_task *task);
	bool sum_costs;
};

static gint compare_victims(const void *a, const void *b)
{
	const struct victim *left = a;
	const struct victim *right = b;

	return (left->cost > right->cost) - (left->cost < right->cost);
}

static bool helps(const struct task_size *size, const struct task_size *lacking)
{
	return (size->cpu_millis && lacking->cpu_millis) ||
	       (size->memory_mib && lacking->memory_mib) ||
	       (size->accelerators && lacking->accelerators);
}

static void reduce_shortfall(struct task_size *lacking,
			     const struct task_size *size)
{
	lacking->cpu_millis -= MIN(lacking->cpu_millis, size->cpu_millis);
	lacking->memory_mib -= MIN(lacking->memory_mib, size->memory_mib);
	lacking->accelerators -= MIN(lacking->accelerators, size->accelerators);
}

/* Picks the cheapest tasks until enough is free; false if it never is. */
static bool select_victims(const struct plan *plan, struct room *room,
			   const struct task_size *size,
			   const struct victim_rule *rule)
{
	const struct task_size none = { 0 };
	struct task_size lacking = shortfall_on(plan, room->vm, size);
	uint32_t nr = 0;

	for (uint32_t i = 0; i < room->vm->tasks->len && nr < ROOM_MAX_VICTIMS;
	     i++) {
		struct plan_task *task = g_ptr_array_index(room->vm->tasks, i);
		uint64_t task_cost = rule->cost(plan, task);

		if (task_cost == UINT64_MAX || !helps(&task->size, &lacking))
			continue;
		room->victims[nr].task = task;
		room->victims[nr++].cost = task_cost;
	}
	qsort(room->victims, nr, sizeof(room->victims[0]), compare_victims);
	room->nr = 0;
	room->cost = 0;
	while (room->nr < nr && !size_within(&lacking, &none)) {
		const struct victim *victim = &room->victims[room->nr++];

		reduce_shortfall(&lacking, &victim->task->size);
		room->cost = rule->sum_costs ? room->cost + victim->cost :
					       MAX(room->cost, victim->cost);
	}
	return size_within(&lacking, &none);
}

static uint64_t eviction_cost(const struct plan *plan,
			      const struct plan_task *task)
{
	if (!evict_allowed(plan, task))
		return UINT64_MAX;
	return plan->evict->cost(task, plan->now_us);
}

/* Time until the task ends by itself. */
static uint64_t remaining_cost(const struct plan *plan,
			       const struct plan_task *task)
{
	uint64_t run_us = plan_remaining_us(plan, task);

	if (!plan_is_batch(task->job) || plan_is_leaving(plan, task))
		return UINT64_MAX;
	return run_us;
}

static const struct victim_rule evict_rule = { eviction_cost, true };
/* Tasks end side by side, so the wait is that for the last one. */
static const struct victim_rule wait_rule = { remaining_cost, false };

/*
 * Compares a bounded number of VMs, from a random one on. Replicas of a service
 * avoid VMs that hold one already.
 */
static bool find_room(struct plan *plan, const struct plan_task *task,
		      const struct task_size *size,
		      const struct victim_rule *rule, struct room *best)
{
	uint32_t nr_vms = plan->vm_list->len;
	uint32_t first = nr_vms ? (uint32_t)(plan_random(plan) % nr_vms) : 0;
	uint32_t looks = ROOM_MAX_VMS;
	bool service = task->job->record.job_class == JOB_SERVICE;

	best->vm = NULL;
	best->cost = UINT64_MAX;
	for (uint32_t i = 0; i < nr_vms && looks; i++) {
		struct plan_vm *vm =
			g_ptr_array_index(plan->vm_list, (first + i) % nr_vms);
		struct task_size capacity = plan_vm_capacity(vm);
		struct room room = { .vm = vm };

		if (!vm->indexed || vm->probation ||
		    !size_within(size, &capacity))
			continue;
		if (plan_is_batch(task->job) && plan->place->slows_services &&
		    plan->place->slows_services(plan, task, vm))
			continue;
		looks--;
		if (!select_victims(plan, &room, size, rule))
			continue;
		for (uint32_t j = 0; j < vm->tasks->len; j++) {
			const struct plan_task *other =
				g_ptr_array_index(vm->tasks, j);

			if (service && other->job == task->job)
				room.cost += ROOM_SAME_JOB_COST;
		}
		if (room.cost < best->cost)
			*best = room;
	}
	return best->vm != NULL;
}

bool evict_make_room(struct plan *plan, struct plan_task *task,
		     const struct task_size *size)
{
	struct room room;

	if (!find_room(plan, task, size, &evict_rule, &room))
		return false;
	if (!evict_budget_take(plan, &plan->room, room.nr))
		return false;
	for (uint32_t i = 0; i < room.nr; i++)
		plan_set_list(room.victims[i].task, &plan->evicting);
	plan_hold(plan, task, room.vm, size,
		  plan->now_us + PLAN_HOLD_MS * 1000ull);
	return true;
}

bool evict_wait_for_room(struct plan *plan, struct plan_task *task,
			 const struct task_size *size)
{
	struct room room;

	if (!find_room(plan, task, size, &wait_rule, &room))
		return false;
	task->hold_ready_us = plan->now_us + room.cost;
	plan_hold(plan, task, room.vm, size,
		  plan->now_us + PLAN_BATCH_HOLD_MS * 1000ull);
	return true;
}

static const struct evict_ops *const policies[] = {
	&evict_least_lost,
	&evict_newest,
};

const struct evict_ops *evict_find(const char *name)
{
	if (!strcmp(name, "default"))
		return &evict_least_lost;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	}
	return NULL;
}
