#include "place.h"

#include <string.h>

#include "interference.h"

#define PPM 1000000u

/*
 * Costs of placing a task on a VM, in ppm of a whole VM. An uneven spread of a
 * service costs more than any interference or packing.
 */
#define COST_SAME_ZONE_PPM 40000000u
#define COST_SAME_RACK_PPM 20000000u
#define COST_SAME_VM_PPM 10000000u
/* Up to one in this many of a service's replicas share a VM at no cost. */
#define SAME_VM_DIVISOR 4
/*
 * Cost of a replica on a VM without services. Replicas are spread over racks
 * but kept together within a rack, so that VMs without services are left for
 * noisy batch tasks, which slow services.
 */
#define COST_FIRST_SERVICE_PPM 5000000u
/* Keeps batch tasks that aren't noisy off the VMs without services. */
#define COST_NO_SERVICE_PPM 200000u
/* A task goes to a VM where its job has failed only if no other VM fits. */
#define COST_FAILED_HERE_PPM 1000000000ull

/* A noisy batch task starts beside a service only after a long wait. */
#define COST_NOISY_PPM 10000000u

/*
 * Most capacity holds checked for backfill, which runs a short task in held
 * capacity until the task that it is held for can start.
 */
#define BACKFILL_SCAN_MAX 8
/*
 * Capacity for urgent tasks is kept on at most one in this many VMs; a site
 * with fewer VMs can't spare any.
 */
#define URGENT_RESERVE_DIVISOR 4

#define ORDER_CLASS_SHIFT 62

/* Number of tasks of a job in each zone and rack. */
struct spread {
	GArray *zones; /* uint32_t by plan_zone.nr */
	GArray *racks; /* uint32_t by plan_vm.rack_nr */
};

static uint64_t class_rank(const struct plan_job *job)
{
	switch (job->record.job_class) {
	case JOB_SERVICE:
		return 0;
	case JOB_URGENT:
		return 1;
	default:
		return 2;
	}
}

/*
 * Orders services before urgent jobs before batch jobs, each by submission time
 * less PLAN_AGE_STEP_MS for each level of priority. All jobs age alike, so
 * their order never changes.
 */
static uint64_t default_order(const struct plan_job *job)
{
	uint64_t levels = PLAN_MAX_PRIORITY -
			  MIN(job->record.priority, PLAN_MAX_PRIORITY);

	return class_rank(job) << ORDER_CLASS_SHIFT |
	       (job->record.submitted_ms + levels * PLAN_AGE_STEP_MS);
}

static uint64_t arrival_order(const struct plan_job *job)
{
	return job->arrival_nr;
}

static struct task_size declared_size(const struct plan *plan,
				      const struct plan_group *group)
{
	return group->declared;
}

static uint32_t limit_raise(uint32_t learned, uint32_t declared,
			    uint32_t largest, uint32_t quota)
{
	uint32_t limit = quota ? MIN(largest, quota) : largest;

	return learned <= limit ? learned : MAX(declared, limit);
}

static struct task_size learned_size(const struct plan *plan,
				     const struct plan_group *group)
{
	const struct task_size *declared = &group->declared;
	const struct task_size *quota = &group->team->quota;
	struct task_size size = learn_size(group->kind, declared,
					   group->job_class == JOB_SERVICE);

	/* A job that fits as declared must not become too large to place. */
	size.cpu_millis = limit_raise(size.cpu_millis, declared->cpu_millis,
				      plan->largest.cpu_millis,
				      quota->cpu_millis);
	size.memory_mib = limit_raise(size.memory_mib, declared->memory_mib,
				      plan->largest.memory_mib,
				      quota->memory_mib);
	return size;
}

static uint32_t *count_at(GArray *counts, uint32_t nr)
{
	if (nr >= counts->len)
		g_array_set_size(counts, nr + 1);
	return &g_array_index(counts, uint32_t, nr);
}

static void spread_init(struct spread *spread, const struct plan_job *job)
{
	spread->zones = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	spread->racks = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	for (const GList *link = job->tasks.head; link; link = link->next) {
		const struct plan_task *task = link->data;
		const struct plan_vm *vm = task->hold_vm ? task->hold_vm :
							   task->on_vm;

		if (!vm || !vm->zone)
			continue;
		(*count_at(spread->zones, vm->zone->nr))++;
		(*count_at(spread->racks, vm->rack_nr))++;
	}
}

static void spread_clear(struct spread *spread)
{
	g_array_free(spread->zones, TRUE);
	g_array_free(spread->racks, TRUE);
}

static uint64_t spread_cost(const struct spread *spread,
			    const struct plan_vm *vm,
			    const struct plan_job *job)
{
	uint64_t same_vm = 0;
	uint64_t cost = 0;

	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		const struct plan_task *task = g_ptr_array_index(vm->tasks, i);

		same_vm += task->job == job;
	}
	if (!vm->nr_services)
		cost += COST_FIRST_SERVICE_PPM;
	if (same_vm >= MAX(job->tasks.length / SAME_VM_DIVISOR, 1))
		cost += COST_SAME_VM_PPM * same_vm;
	return cost +
	       (uint64_t)COST_SAME_ZONE_PPM *
		       *count_at(spread->zones, vm->zone->nr) +
	       (uint64_t)COST_SAME_RACK_PPM *
		       *count_at(spread->racks, vm->rack_nr);
}

/* Returns true if the task needs at most a quarter of the VM. */
static bool is_small(const struct task_size *size, const struct plan_vm *vm)
{
	return size->cpu_millis <= vm->record.cpu_millis / 4 &&
	       size->memory_mib <= vm->record.memory_mib / 4;
}

/*
 * Returns true if a batch task may start in the zone now. A zone that was put
 * back into service accepts batch tasks at a limited rate at first.
 */
static bool zone_is_open(const struct plan_zone *zone, uint64_t now_us)
{
	return !zone->returned || now_us > zone->start_us ||
	       now_us >= zone->changed_us + PLAN_RETURN_MS * 1000ull;
}

bool place_allowed(const struct plan_task *task, const struct plan_vm *vm,
		   const struct task_size *size, uint64_t now_us)
{
	bool batch = plan_is_batch(task->job);

	if (!vm->indexed || !plan_vm_fits(vm, size))
		return false;
	if (vm->probation_tasks_left &&
	    (!batch || vm->tasks->len || !is_small(size, vm)))
		return false;
	return !batch || zone_is_open(vm->zone, now_us);
}

static uint64_t share_ppm(uint64_t part, uint64_t whole)
{
	return whole ? part * PPM / whole : 0;
}

/*
 * Capacity that is left with much of one resource and little of the other is of
 * little use, so an uneven remainder adds cost. Batch tasks go to the fullest
 * VMs first, services to the emptiest.
 */
static uint64_t packing_cost(const struct plan_vm *vm,
			     const struct task_size *size, bool batch)
{
	struct task_size spare = plan_vm_spare(vm);
	uint64_t cpu = share_ppm(spare.cpu_millis - size->cpu_millis,
				 vm->record.cpu_millis);
	uint64_t memory = share_ppm(spare.memory_mib - size->memory_mib,
				    vm->record.memory_mib);
	uint64_t skew = cpu > memory ? cpu - memory : memory - cpu;
	uint64_t left = (cpu + memory) / 2;

	return skew / 2 + (batch ? left : PPM - left) / 4;
}

/*
 * Returns true if the task would use capacity of a VM that is kept free for one
 * more urgent task. A few VMs keep such capacity.
 */
static bool uses_urgent_reserve(const struct plan *plan,
				const struct plan_vm *vm,
				const struct task_size *size)
{
	struct task_size available = plan_vm_available(vm);
	uint32_t nr_vms = plan->vm_list->len;
	uint32_t wanted = MIN(nr_vms / URGENT_RESERVE_DIVISOR, 2 + nr_vms / 64);
	uint32_t others = 0;

	if (!wanted || !plan->urgent_us ||
	    plan->now_us >=
		    plan->urgent_us + PLAN_URGENT_RESERVE_MS * 1000ull ||
	    !size_within(&plan->urgent_size, &available))
		return false;
	size_sub(&available, size);
	if (size_within(&plan->urgent_size, &available))
		return false;
	for (uint32_t i = 0; i < plan->zone_list->len && others < wanted; i++)
		others += plan_zone_count(g_ptr_array_index(plan->zone_list, i),
					  &plan->urgent_size, wanted);
	return others < wanted;
}

/*
 * Returns true if the task would slow a service on the VM too much. @a worst is
 * the largest slowdown of a service there, in ppm, from interference_cost().
 */
static bool is_noisy(const struct plan *plan, const struct plan_task *task,
		     const struct plan_vm *vm, uint64_t worst)
{
	if (worst > PLAN_SLOWDOWN_PLACE_PPM)
		return true;
	return plan->now_us < vm->batch_closed_until_us &&
	       interference_task_slowdown(plan, task, vm) >
		       PLAN_NEGLIGIBLE_SLOWDOWN_PPM;
}

static bool too_noisy(const struct plan *plan, const struct plan_task *task,
		      const struct plan_vm *vm)
{
	uint64_t worst;

	interference_cost(plan, task, vm, &worst);
	return is_noisy(plan, task, vm, worst);
}

/*
 * Returns true if the task and its group have waited so long that one noisy
 * task may start beside services.
 */
static bool waited_long(const struct plan *plan, const struct plan_task *task)
{
	uint64_t since_us = MAX(task->pending_us, task->job->group->started_us);

	return plan->now_us >= since_us + PLAN_NOISY_WAIT_MS * 1000ull;
}

/* Returns the cost of the VM for the task; UINT64_MAX if it can't run there. */
static uint64_t vm_cost(const struct plan *plan, const struct plan_task *task,
			const struct plan_vm *vm, const struct task_size *size,
			const struct spread *spread)
{
	const struct plan_job *job = task->job;
	bool batch = plan_is_batch(job);
	uint64_t worst;
	uint64_t cost;

	if (!place_allowed(task, vm, size, plan->now_us))
		return UINT64_MAX;
	cost = interference_cost(plan, task, vm, &worst);
	if (batch && is_noisy(plan, task, vm, worst)) {
		if (worst > PLAN_SLOWDOWN_LIMIT_PPM || !waited_long(plan, task))
			return UINT64_MAX;
		cost += COST_NOISY_PPM;
	}
	if (batch && !vm->nr_services)
		cost += COST_NO_SERVICE_PPM;
	if (batch && uses_urgent_reserve(plan, vm, size))
		return UINT64_MAX;
	cost += packing_cost(vm, size, batch) + vm->zone->cost_ppm / 4;
	if (spread)
		cost += spread_cost(spread, vm, job);
	if (failed_vms_contains(&task->failed, vm) ||
	    failed_vms_contains(&job->failed, vm))
		cost += COST_FAILED_HERE_PPM;
	return cost;
}

/*
 * Returns true if the task is expected to end before the holder, for which the
 * VM holds capacity, can start there.
 */
static bool ends_in_time(const struct plan *plan, const struct plan_task *task,
			 const struct plan_task *holder)
{
	uint64_t run_us = task->job->kind->run_ms * 1000;

	return run_us &&
	       plan->now_us + run_us + run_us / 4 <= holder->hold_ready_us;
}

/*
 * Finds a VM that holds capacity for a large batch task and can run the given
 * short task until the large one can start.
 */
static struct plan_vm *backfill(const struct plan *plan,
				const struct plan_task *task,
				const struct task_size *size)
{
	const GList *link = plan->waiting.head;

	for (uint32_t i = 0; link && i < BACKFILL_SCAN_MAX; i++) {
		const struct plan_task *holder = link->data;
		struct plan_vm *vm = holder->hold_vm;
		struct task_size spare = plan_vm_spare(vm);

		link = link->next;
		if (holder->batch_hold && vm->holders->len == 1 &&
		    vm->indexed && !vm->probation_tasks_left &&
		    size_within(size, &spare) &&
		    ends_in_time(plan, task, holder) &&
		    !too_noisy(plan, task, vm) &&
		    zone_is_open(vm->zone, plan->now_us))
			return vm;
	}
	return NULL;
}

static struct plan_vm *default_choose(struct plan *plan,
				      const struct plan_task *task,
				      const struct task_size *size,
				      char *reason, size_t reason_bytes)
{
	struct plan_vm *candidates[PLAN_CANDIDATES];
	bool service = task->job->record.job_class == JOB_SERVICE;
	uint32_t nr_zones = plan->zone_list->len;
	uint32_t share = MAX(PLAN_CANDIDATES / MAX(nr_zones, 1), 1);
	uint32_t first = nr_zones ? (uint32_t)(plan_random(plan) % nr_zones) :
				    0;
	struct spread spread;
	struct plan_vm *best = NULL;
	uint64_t best_cost = UINT64_MAX;
	uint32_t nr = 0;

	for (uint32_t i = 0; i < nr_zones && nr < PLAN_CANDIDATES; i++)
		nr += plan_zone_candidates(
			g_ptr_array_index(plan->zone_list,
					  (first + i) % nr_zones),
			size, plan_random(plan), candidates + nr,
			MIN(share, PLAN_CANDIDATES - nr));
	if (service)
		spread_init(&spread, task->job);
	for (uint32_t i = 0; i < nr; i++) {
		uint64_t cost = vm_cost(plan, task, candidates[i], size,
					service ? &spread : NULL);

		if (cost < best_cost) {
			best = candidates[i];
			best_cost = cost;
		}
	}
	if (service)
		spread_clear(&spread);
	if (!best && plan_is_batch(task->job))
		best = backfill(plan, task, size);
	if (!best)
		return NULL;
	g_snprintf(
		reason, reason_bytes,
		"policy=default kind=%s candidates=%u cost_ppm=%" G_GUINT64_FORMAT,
		task->job->kind->name, nr, best_cost);
	return best;
}

static struct plan_vm *first_fit_choose(struct plan *plan,
					const struct plan_task *task,
					const struct task_size *size,
					char *reason, size_t reason_bytes)
{
	for (uint32_t i = 0; i < plan->vm_list->len; i++) {
		struct plan_vm *vm = g_ptr_array_index(plan->vm_list, i);

		if (!place_allowed(task, vm, size, plan->now_us))
			continue;
		g_snprintf(reason, reason_bytes, "policy=first-fit kind=%s",
			   task->job->kind->name);
		return vm;
	}
	return NULL;
}

const struct place_ops place_default = {
	.name = "default",
	.order = default_order,
	.size = learned_size,
	.choose = default_choose,
	.slows_services = too_noisy,
};

const struct place_ops place_first_fit = {
	.name = "first-fit",
	.order = arrival_order,
	.size = declared_size,
	.choose = first_fit_choose,
};

static const struct place_ops *const policies[] = {
	&place_default,
	&place_first_fit,
};

const struct place_ops *place_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	}
	return NULL;
}
