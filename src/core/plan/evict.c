#include "evict.h"

#include <stdlib.h>
#include <string.h>

#include "place.h"

/*
 * Run time that a task loses while it is checkpointed, stopped and started
 * again.
 */
#define EVICT_OVERHEAD_US 2000000ull
#define MINUTE_US 60000000ull
/* Most VMs that a search for victims compares, and most victims on each VM. */
#define SEARCH_MAX_VMS 16
#define SEARCH_MAX_VICTIMS 64
/*
 * Added for each replica of the same service that the VM runs. Far above other
 * costs, because more evictions are better than two replicas of a service on
 * one VM.
 */
#define COST_SAME_JOB (1ull << 40)

/*
 * Returns the processor time lost by an eviction: the overhead and, for job
 * kinds without checkpoints, the whole run so far.
 */
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
	uint64_t earliest_us = task->evicted_us + PLAN_EVICT_AGAIN_MS * 1000ull;

	return task->job->known && plan_is_batch(task->job) && task->on_vm &&
	       !task->reserved && !plan_is_leaving(plan, task) &&
	       (!task->evicted_us || plan->now_us >= earliest_us);
}

void evict_init(struct plan *plan)
{
	plan->interference_budget.per_minute = PLAN_EVICTIONS_PER_MINUTE;
	plan->interference_budget.per_minute_vm = 1;
	plan->interference_budget.credit_us = MINUTE_US;
	plan->capacity_budget.per_minute = PLAN_ROOM_EVICTIONS_PER_MINUTE;
	plan->capacity_budget.per_minute_vm = 10;
	plan->capacity_budget.credit_us = MINUTE_US;
}

bool evict_budget_take(struct plan *plan, struct evict_budget *budget,
		       uint32_t nr)
{
	uint64_t per_minute =
		budget->per_minute +
		(uint64_t)budget->per_minute_vm * plan->vm_list->len;
	uint64_t cost_us = MINUTE_US / per_minute * nr;
	uint64_t elapsed_us = plan->now_us - budget->refilled_us;

	budget->refilled_us = plan->now_us;
	budget->credit_us = MIN(budget->credit_us + elapsed_us, MINUTE_US);
	if (budget->credit_us < cost_us)
		return false;
	budget->credit_us -= cost_us;
	return true;
}

/*
 * Returns the capacity that the VM lacks for @a size and the existing holds,
 * counting as free the capacity of all tasks that are being stopped or evicted.
 */
static struct task_size shortfall_on(const struct plan *plan,
				     const struct plan_vm *vm,
				     const struct task_size *size)
{
	struct task_size shortfall = *size;
	struct task_size soon_free = plan_vm_spare(vm);

	size_add(&shortfall, &vm->held);
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		const struct plan_task *task = g_ptr_array_index(vm->tasks, i);

		if (plan_is_leaving(plan, task))
			size_add(&soon_free, &task->size);
	}
	shortfall.cpu_millis -= MIN(shortfall.cpu_millis, soon_free.cpu_millis);
	shortfall.memory_mib -= MIN(shortfall.memory_mib, soon_free.memory_mib);
	shortfall.accelerators -=
		MIN(shortfall.accelerators, soon_free.accelerators);
	return shortfall;
}

struct victim {
	struct plan_task *task;
	uint64_t cost;
};

/* Tasks on one VM whose end frees enough capacity for another task. */
struct victim_set {
	struct plan_vm *vm;
	struct victim victims[SEARCH_MAX_VICTIMS];
	uint32_t nr;
	uint64_t cost; /* of the set, see victim_rule.sum_costs */
};

/* How the costs of victims and of victim sets are computed. */
struct victim_rule {
	/* Returns the task's cost as a victim; UINT64_MAX: it can't be one. */
	uint64_t (*cost)(const struct plan *plan, const struct plan_task *task);
	/* True: a set costs the sum of its victims' costs, else the maximum. */
	bool sum_costs;
};

static gint compare_victims(const void *a, const void *b)
{
	const struct victim *left = a;
	const struct victim *right = b;

	return (left->cost > right->cost) - (left->cost < right->cost);
}

static bool frees_missing(const struct task_size *size,
			  const struct task_size *shortfall)
{
	return (size->cpu_millis && shortfall->cpu_millis) ||
	       (size->memory_mib && shortfall->memory_mib) ||
	       (size->accelerators && shortfall->accelerators);
}

static void reduce_shortfall(struct task_size *shortfall,
			     const struct task_size *size)
{
	shortfall->cpu_millis -= MIN(shortfall->cpu_millis, size->cpu_millis);
	shortfall->memory_mib -= MIN(shortfall->memory_mib, size->memory_mib);
	shortfall->accelerators -=
		MIN(shortfall->accelerators, size->accelerators);
}

/*
 * Selects the cheapest tasks on set->vm until enough capacity is free. Returns
 * false if all of them together don't free enough.
 */
static bool select_victims(const struct plan *plan, struct victim_set *set,
			   const struct task_size *size,
			   const struct victim_rule *rule)
{
	const struct task_size none = { 0 };
	struct task_size shortfall = shortfall_on(plan, set->vm, size);
	uint32_t nr = 0;

	for (uint32_t i = 0; i < set->vm->tasks->len && nr < SEARCH_MAX_VICTIMS;
	     i++) {
		struct plan_task *task = g_ptr_array_index(set->vm->tasks, i);
		uint64_t task_cost = rule->cost(plan, task);

		if (task_cost == UINT64_MAX ||
		    !frees_missing(&task->size, &shortfall))
			continue;
		set->victims[nr].task = task;
		set->victims[nr++].cost = task_cost;
	}
	qsort(set->victims, nr, sizeof(set->victims[0]), compare_victims);
	set->nr = 0;
	set->cost = 0;
	while (set->nr < nr && !size_within(&shortfall, &none)) {
		const struct victim *victim = &set->victims[set->nr++];

		reduce_shortfall(&shortfall, &victim->task->size);
		set->cost = rule->sum_costs ? set->cost + victim->cost :
					      MAX(set->cost, victim->cost);
	}
	return size_within(&shortfall, &none);
}

static uint64_t eviction_cost(const struct plan *plan,
			      const struct plan_task *task)
{
	if (!evict_allowed(plan, task))
		return UINT64_MAX;
	return plan->evict->cost(task, plan->now_us);
}

/* Returns the expected time until a batch task ends by itself. */
static uint64_t remaining_cost(const struct plan *plan,
			       const struct plan_task *task)
{
	uint64_t run_us = plan_remaining_us(plan, task);

	if (!plan_is_batch(task->job) || plan_is_leaving(plan, task))
		return UINT64_MAX;
	return run_us;
}

static const struct victim_rule evict_rule = { eviction_cost, true };
/* The victims run at the same time, so the wait ends with the last of them. */
static const struct victim_rule wait_rule = { remaining_cost, false };

/*
 * Finds the VM with the cheapest set of victims. Compares a bounded number of
 * VMs, starting from a random one. For a replica of a service, VMs that already
 * run another replica of it cost more.
 */
static bool find_victims(struct plan *plan, const struct plan_task *task,
			 const struct task_size *size,
			 const struct victim_rule *rule,
			 struct victim_set *best)
{
	uint32_t nr_vms = plan->vm_list->len;
	uint32_t first = nr_vms ? (uint32_t)(plan_random(plan) % nr_vms) : 0;
	uint32_t vms_left = SEARCH_MAX_VMS;
	bool service = task->job->record.job_class == JOB_SERVICE;

	best->vm = NULL;
	best->cost = UINT64_MAX;
	for (uint32_t i = 0; i < nr_vms && vms_left; i++) {
		struct plan_vm *vm =
			g_ptr_array_index(plan->vm_list, (first + i) % nr_vms);
		struct task_size capacity = plan_vm_capacity(vm);
		struct victim_set set = { .vm = vm };

		if (!vm->indexed || vm->probation_tasks_left ||
		    !size_within(size, &capacity))
			continue;
		if (plan_is_batch(task->job) && plan->place->slows_services &&
		    plan->place->slows_services(plan, task, vm))
			continue;
		vms_left--;
		if (!select_victims(plan, &set, size, rule))
			continue;
		for (uint32_t j = 0; j < vm->tasks->len; j++) {
			const struct plan_task *other =
				g_ptr_array_index(vm->tasks, j);

			if (service && other->job == task->job)
				set.cost += COST_SAME_JOB;
		}
		if (set.cost < best->cost)
			*best = set;
	}
	return best->vm != NULL;
}

bool evict_free_capacity(struct plan *plan, struct plan_task *task,
			 const struct task_size *size)
{
	struct victim_set set;

	if (!find_victims(plan, task, size, &evict_rule, &set))
		return false;
	if (!evict_budget_take(plan, &plan->capacity_budget, set.nr))
		return false;
	for (uint32_t i = 0; i < set.nr; i++)
		plan_set_list(set.victims[i].task, &plan->evicting);
	plan_hold(plan, task, set.vm, size,
		  plan->now_us + PLAN_HOLD_MS * 1000ull);
	return true;
}

bool evict_await_capacity(struct plan *plan, struct plan_task *task,
			  const struct task_size *size)
{
	struct victim_set set;

	if (!find_victims(plan, task, size, &wait_rule, &set))
		return false;
	task->hold_ready_us = plan->now_us + set.cost;
	plan_hold(plan, task, set.vm, size,
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
