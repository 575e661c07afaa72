#include "interference.h"

#include <string.h>

#include "decide.h"
#include "evict.h"
#include "place.h"
#include "schema.h"

#define PPM 1000000ll
#define MAX_PAIR_PPM 4000000ll
/*
 * Slowdown assumed for a pair of kinds that was never sampled. Small enough
 * that tasks of the two kinds are placed together and their slowdown is
 * learned, large enough that a VM without the other kind is preferred.
 */
#define PRIOR_PPM 50000
#define MAX_NEIGHBOURS 32
/* Variances, in ppm of the variance of a pair that was never sampled. */
#define SAMPLE_VARIANCE_PPM 40000 /* noise of one sample */
#define VARIANCE_GROWTH_PPM 50 /* added with each sample, as loads change */
#define MIN_VARIANCE_PPM 500 /* least variance of a pair */
/*
 * Lowest rate of progress that the estimates are updated with. Lower rates are
 * raised to this one, because they point to a stalled VM and not to a slowdown
 * by a neighbour.
 */
#define MIN_RATE_PPM 20000u
/* A task that uses this share of its CPU limit is slowed by the limit. */
#define AT_LIMIT_PERCENT 98
/* Samples in a row above the slowdown limit before a step is taken. */
#define SLOW_SAMPLES 2
/* A step is undone after this many times the least wait between two steps. */
#define RELAX_WAITS 4
#define THROTTLE_PPM 400000u /* usable share of a throttled task's cores */
/* Weight of a replica's slowdown in a sum; a batch task's has weight 1. */
#define SERVICE_WEIGHT 8

/* Slowdown of a task of one kind by a task of another. */
struct pair {
	int32_t ppm; /* estimate */
	uint32_t variance_ppm; /* variance of ppm; 1000000: never sampled */
};

struct neighbours {
	uint32_t nr;
	uint32_t kinds[MAX_NEIGHBOURS];
	int64_t shares[MAX_NEIGHBOURS]; /* sum over the kind's tasks; ppm */
};

struct interference {
	uint32_t nr_kinds; /* rows and columns allocated */
	struct pair *pairs; /* at victim * nr_kinds + aggressor */
	struct neighbours last; /* cached for last_vm and the times below */
	const struct plan_vm *last_vm;
	uint64_t last_sample_us;
	uint64_t last_now_us;
};

struct interference *interference_new(void)
{
	return g_new0(struct interference, 1);
}

void interference_free(struct interference *interference)
{
	if (!interference)
		return;
	g_free(interference->pairs);
	g_free(interference);
}

static void table_grow(struct interference *interference, uint32_t kind_nr)
{
	uint32_t old = interference->nr_kinds;
	uint32_t nr = MAX(old, 16);
	struct pair *pairs;

	if (kind_nr < old || kind_nr >= PLAN_MAX_KINDS)
		return;
	while (nr <= kind_nr)
		nr *= 2;
	pairs = g_new(struct pair, (size_t)nr * nr);
	for (size_t i = 0; i < (size_t)nr * nr; i++)
		pairs[i] = (struct pair){ PRIOR_PPM, PPM };
	for (uint32_t i = 0; i < old; i++)
		memcpy(pairs + (size_t)i * nr,
		       interference->pairs + (size_t)i * old,
		       old * sizeof(*pairs));
	g_free(interference->pairs);
	interference->pairs = pairs;
	interference->nr_kinds = nr;
}

static struct pair *pair_at(const struct interference *interference,
			    uint32_t victim, uint32_t aggressor)
{
	uint32_t nr = interference->nr_kinds;

	if (victim >= nr || aggressor >= nr)
		return NULL;
	return &interference->pairs[(size_t)victim * nr + aggressor];
}

uint32_t interference_pair_ppm(const struct interference *interference,
			       const struct plan_kind *victim,
			       const struct plan_kind *aggressor)
{
	const struct pair *pair =
		pair_at(interference, victim->nr, aggressor->nr);

	return pair ? (uint32_t)pair->ppm : PRIOR_PPM;
}

static void neighbours_add(struct neighbours *neighbours, uint32_t kind_nr,
			   uint32_t share_ppm)
{
	uint32_t i = 0;

	while (i < neighbours->nr && neighbours->kinds[i] != kind_nr)
		i++;
	if (i == MAX_NEIGHBOURS)
		return;
	if (i == neighbours->nr) {
		neighbours->nr++;
		neighbours->kinds[i] = kind_nr;
		neighbours->shares[i] = 0;
	}
	neighbours->shares[i] += share_ppm;
}

/*
 * Returns the tasks that ran on the VM when the sample was taken, by kind. Most
 * samples of a report have the same time, so the last result is cached.
 */
static const struct neighbours *
neighbours_at(struct plan *plan, const struct plan_vm *vm, uint64_t sample_us)
{
	struct interference *interference = plan->interference;
	struct neighbours *neighbours = &interference->last;

	if (interference->last_vm == vm &&
	    interference->last_sample_us == sample_us &&
	    interference->last_now_us == plan->now_us)
		return neighbours;
	interference->last_vm = vm;
	interference->last_sample_us = sample_us;
	interference->last_now_us = plan->now_us;
	neighbours->nr = 0;
	for (uint32_t i = 0; i < vm->run_history->len; i++) {
		const struct plan_vm_run *run =
			&g_array_index(vm->run_history, struct plan_vm_run, i);

		if (run->from_us <= sample_us && sample_us < run->to_us)
			neighbours_add(neighbours, run->kind_nr,
				       run->share_ppm);
	}
	for (uint32_t i = 0; i < neighbours->nr; i++)
		table_grow(interference, neighbours->kinds[i]);
	return neighbours;
}

/* Removes the sampled task itself, one task of the kind. */
static void exclude_task(struct neighbours *neighbours, uint32_t kind_nr)
{
	for (uint32_t i = 0; i < neighbours->nr; i++) {
		if (neighbours->kinds[i] == kind_nr)
			neighbours->shares[i] -=
				MIN(neighbours->shares[i], PPM);
	}
}

/*
 * Returns the variance of a sample that is due to the pair's uncertainty, in
 * ppm of the variance of a pair that was never sampled.
 */
static uint64_t pair_variance(const struct pair *pair, int64_t share_ppm)
{
	uint64_t share = (uint64_t)share_ppm / 1000; /* in thousandths */

	return pair->variance_ppm * share / 1000 * share / 1000;
}

/*
 * Updates the estimates by a Kalman filter with a diagonal covariance matrix.
 * The error of the predicted slowdown is divided among the pairs in proportion
 * to their shares and their variances, so that many tasks of a well-known kind
 * don't hide a rare kind.
 */
static void learn_pairs(struct interference *interference, uint32_t victim,
			const struct neighbours *neighbours,
			int64_t slowdown_ppm)
{
	struct pair *pairs[MAX_NEIGHBOURS];
	uint64_t total = SAMPLE_VARIANCE_PPM;
	int64_t error = slowdown_ppm;

	for (uint32_t i = 0; i < neighbours->nr; i++) {
		pairs[i] = pair_at(interference, victim, neighbours->kinds[i]);
		if (!pairs[i])
			continue;
		error -= pairs[i]->ppm * (neighbours->shares[i] / 1000) / 1000;
		total += pair_variance(pairs[i], neighbours->shares[i]);
	}
	for (uint32_t i = 0; i < neighbours->nr; i++) {
		struct pair *pair = pairs[i];
		int64_t share = neighbours->shares[i] / 1000;
		uint64_t explained;

		if (!pair)
			continue;
		explained = pair_variance(pair, neighbours->shares[i]);
		pair->ppm = (int32_t)CLAMP(
			pair->ppm + error * pair->variance_ppm / 1000 * share /
					    (int64_t)total,
			0, MAX_PAIR_PPM);
		pair->variance_ppm -=
			(uint32_t)(pair->variance_ppm * explained / total);
		pair->variance_ppm =
			CLAMP(pair->variance_ppm + VARIANCE_GROWTH_PPM,
			      MIN_VARIANCE_PPM, PPM);
	}
}

static bool is_cpu_limited(const struct plan_task *task,
			   const struct platform_task *sample)
{
	uint64_t limit =
		(uint64_t)task->size.cpu_millis * task->throttle_ppm / PPM;

	return task->throttle_ppm < PPM ||
	       sample->cpu_used_millis * 100ull >= limit * AT_LIMIT_PERCENT;
}

static void record_slowdown(struct plan *plan, struct plan_vm *vm,
			    struct plan_task *task, int64_t slowdown_ppm,
			    uint64_t sample_us)
{
	if (slowdown_ppm < PLAN_SLOWDOWN_LIMIT_PPM) {
		task->nr_slow = 0;
		return;
	}
	/* A sample from before the last step doesn't show the step's effect. */
	if (sample_us <= vm->last_step_us)
		return;
	task->nr_slow++;
	if (task->nr_slow < SLOW_SAMPLES || vm->slow)
		return;
	vm->slow = true;
	g_queue_push_tail(&plan->slow_vms, vm);
}

void interference_sample(struct plan *plan, struct plan_vm *vm,
			 struct plan_task *task,
			 const struct platform_task *sample, uint64_t sample_us)
{
	struct plan_kind *kind = task->job->kind;
	uint32_t rate_ppm = MAX(sample->rate_ppm, MIN_RATE_PPM);
	int64_t slowdown_ppm = MAX(PPM * PPM / rate_ppm - PPM, 0);
	struct neighbours neighbours;

	/* A task at its CPU limit is slowed by the limit, not by neighbours. */
	if (is_cpu_limited(task, sample))
		return;
	table_grow(plan->interference, kind->nr);
	neighbours = *neighbours_at(plan, vm, sample_us);
	exclude_task(&neighbours, kind->nr);
	learn_pairs(plan->interference, kind->nr, &neighbours, slowdown_ppm);
	if (task->job->record.job_class == JOB_SERVICE)
		record_slowdown(plan, vm, task, slowdown_ppm, sample_us);
}

static uint64_t pair_ppm(const struct interference *interference,
			 uint32_t victim, uint32_t aggressor)
{
	const struct pair *pair = pair_at(interference, victim, aggressor);

	return pair ? (uint64_t)pair->ppm : PRIOR_PPM;
}

/*
 * Returns the predicted slowdown of a task of a kind by the tasks on the VM.
 * The share own_ppm is subtracted from its own kind, to leave out the slowed
 * task itself.
 */
static uint64_t predicted(const struct interference *interference,
			  uint32_t kind_nr, const struct plan_vm *vm,
			  uint32_t own_ppm)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < vm->nr_kinds; i++) {
		const struct plan_vm_kind *other = &vm->kinds[i];
		uint64_t share_ppm = other->share_ppm;

		if (other->kind_nr == kind_nr)
			share_ppm -= MIN(share_ppm, own_ppm);
		sum += pair_ppm(interference, kind_nr, other->kind_nr) *
		       share_ppm / PPM;
	}
	return sum;
}

uint64_t interference_cost(const struct plan *plan,
			   const struct plan_task *task,
			   const struct plan_vm *vm, uint64_t *worst)
{
	const struct interference *pairs = plan->interference;
	uint32_t kind_nr = task->job->kind->nr;
	bool batch = plan_is_batch(task->job);
	uint64_t own = predicted(pairs, kind_nr, vm, 0);
	uint64_t cost = batch ? own : own * SERVICE_WEIGHT;

	*worst = batch ? 0 : own;
	for (uint32_t i = 0; i < vm->nr_kinds; i++) {
		const struct plan_vm_kind *kind = &vm->kinds[i];
		uint64_t added = pair_ppm(pairs, kind->kind_nr, kind_nr);

		cost += added *
			(kind->nr_tasks + kind->nr_services * SERVICE_WEIGHT);
		if (added && kind->nr_services)
			*worst = MAX(*worst,
				     added + predicted(pairs, kind->kind_nr, vm,
						       PPM));
	}
	return cost;
}

uint64_t interference_task_slowdown(const struct plan *plan,
				    const struct plan_task *task,
				    const struct plan_vm *vm)
{
	uint64_t worst = 0;

	for (uint32_t i = 0; i < vm->nr_kinds; i++) {
		const struct plan_vm_kind *kind = &vm->kinds[i];

		if (kind->nr_services)
			worst = MAX(worst,
				    pair_ppm(plan->interference, kind->kind_nr,
					     task->job->kind->nr));
	}
	return worst;
}

/* Returns a replica on the VM that is too slow; NULL if there is none. */
static struct plan_task *slow_service(const struct plan_vm *vm)
{
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		struct plan_task *task = g_ptr_array_index(vm->tasks, i);

		if (task->nr_slow >= SLOW_SAMPLES)
			return task;
	}
	return NULL;
}

/*
 * Returns the batch task that slows the service most; among those that aren't
 * throttled if @a unthrottled is set. For an eviction policy that isn't
 * stepwise, returns the task that is cheapest to evict.
 */
static struct plan_task *worst_batch(const struct plan *plan,
				     const struct plan_vm *vm,
				     const struct plan_task *service,
				     bool unthrottled)
{
	struct plan_task *worst = NULL;
	uint64_t worst_score = 0;

	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		struct plan_task *task = g_ptr_array_index(vm->tasks, i);
		uint64_t score;

		if (!evict_allowed(plan, task) || task->outstanding ||
		    task->state != TASK_RUNNING ||
		    (unthrottled && task->throttle_ppm < PPM))
			continue;
		score = interference_pair_ppm(plan->interference,
					      service->job->kind,
					      task->job->kind);
		if (!plan->evict->stepwise)
			score = UINT64_MAX / 2 -
				MIN(plan->evict->cost(task, plan->now_us),
				    UINT64_MAX / 4);
		if (score > worst_score) {
			worst = task;
			worst_score = score;
		}
	}
	return worst;
}

static bool throttle(struct plan *plan, struct plan_task *task, uint32_t ppm,
		     struct plan_decision *decision)
{
	struct plan_vm *vm = task->on_vm;

	memset(decision, 0, sizeof(*decision));
	decision->action = PLAN_THROTTLE;
	decision->task_id = task->task_id;
	decision->job_id = task->job->record.job_id;
	decision->cpu_ppm = ppm;
	TEXT_SET(decision->vm, vm->record.name);
	g_snprintf(decision->reason, sizeof(decision->reason),
		   "why=interference kind=%s", task->job->kind->name);
	plan_vm_run_end(vm, task->task_id, plan->now_us);
	plan_vm_run_begin(vm, task->job->kind->nr, task->task_id, ppm,
			  plan->now_us);
	plan_vm_throttle_task(vm, task, ppm);
	return true;
}

/* Moves a batch task to another VM if the placement policy finds one. */
static bool move_batch(struct plan *plan, struct plan_task *task,
		       struct plan_decision *decision)
{
	struct task_size size = plan->place->size(plan, task->job->group);
	char reason[TEXT_BYTES];
	struct plan_vm *vm;

	if (!evict_allowed(plan, task) || task->hold_vm || task->list ||
	    task->job->kind->no_checkpoint)
		return false;
	vm = plan->place->choose(plan, task, &size, reason, sizeof(reason));
	if (!vm || vm == task->on_vm ||
	    !evict_budget_take(plan, &plan->interference_budget, 1))
		return false;
	plan_hold(plan, task, vm, &size, UINT64_MAX);
	decide_evict(plan, task, decision, "interference-move");
	return true;
}

/*
 * Takes the next step to speed up a service on the VM. Returns true if it
 * filled in a decision.
 */
static bool take_step(struct plan *plan, struct plan_vm *vm,
		      const struct plan_task *service,
		      struct plan_decision *decision)
{
	struct plan_task *task;

	vm->last_step_us = plan->now_us;
	vm->batch_closed_until_us = plan->now_us + PLAN_NO_BATCH_MS * 1000ull;
	if (plan->evict->stepwise && vm->step < STEP_CLOSE) {
		vm->step = STEP_CLOSE;
		return false;
	}
	if (plan->evict->stepwise) {
		task = worst_batch(plan, vm, service, true);
		if (task) {
			vm->step = STEP_THROTTLE;
			return throttle(plan, task, THROTTLE_PPM, decision);
		}
	}
	task = worst_batch(plan, vm, service, false);
	if (!task)
		return false;
	if (plan->evict->stepwise && vm->step < STEP_MOVE) {
		vm->step = STEP_MOVE;
		if (move_batch(plan, task, decision))
			return true;
	}
	if (!evict_budget_take(plan, &plan->interference_budget, 1))
		return false;
	vm->step = STEP_EVICT;
	decide_evict(plan, task, decision, "interference-evict");
	return true;
}

/*
 * Predicts the largest slowdown of a service on the task's VM if the task ran
 * unthrottled.
 */
static uint64_t slowdown_unthrottled(const struct plan *plan,
				     const struct plan_task *task)
{
	const struct interference *pairs = plan->interference;
	const struct plan_vm *vm = task->on_vm;
	uint64_t worst = 0;

	for (uint32_t i = 0; i < vm->nr_kinds; i++) {
		const struct plan_vm_kind *kind = &vm->kinds[i];
		uint64_t added =
			pair_ppm(pairs, kind->kind_nr, task->job->kind->nr) *
			(PPM - task->throttle_ppm) / PPM;

		if (kind->nr_services)
			worst = MAX(worst,
				    added + predicted(pairs, kind->kind_nr, vm,
						      PPM));
	}
	return worst;
}

/*
 * Undoes one step: lifts the throttle of a task, or moves the task if it is
 * predicted to slow a service too much again. Returns true if it filled in a
 * decision.
 */
static bool undo_step(struct plan *plan, struct plan_vm *vm,
		      struct plan_decision *decision)
{
	bool throttled = false;

	vm->last_step_us = plan->now_us;
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		struct plan_task *task = g_ptr_array_index(vm->tasks, i);

		if (task->throttle_ppm >= PPM || task->state != TASK_RUNNING ||
		    task->outstanding)
			continue;
		throttled = true;
		if (slowdown_unthrottled(plan, task) < PLAN_SLOWDOWN_LIMIT_PPM)
			return throttle(plan, task, PPM, decision);
		if (move_batch(plan, task, decision))
			return true;
	}
	vm->step = throttled ? STEP_THROTTLE : STEP_NONE;
	return false;
}

void interference_relax(struct plan *plan, struct plan_vm *vm)
{
	uint64_t wait_us = vm->lag_us + REPORT_INTERVAL_MS * 1000ull;

	if (vm->step == STEP_NONE || vm->slow ||
	    plan->now_us < vm->last_step_us + RELAX_WAITS * wait_us)
		return;
	vm->slow = true;
	g_queue_push_tail(&plan->slow_vms, vm);
}

bool interference_next(struct plan *plan, struct plan_decision *decision)
{
	uint32_t nr_vms = plan->slow_vms.length;

	while (nr_vms--) {
		struct plan_vm *vm = g_queue_pop_head(&plan->slow_vms);
		const struct plan_task *service = slow_service(vm);
		uint64_t wait_us = vm->lag_us + REPORT_INTERVAL_MS * 1000ull;

		vm->slow = false;
		if (!service && vm->step != STEP_NONE &&
		    plan->now_us >= vm->last_step_us + RELAX_WAITS * wait_us &&
		    undo_step(plan, vm, decision))
			return true;
		if (!service)
			continue;
		if (vm->last_step_us &&
		    plan->now_us < vm->last_step_us + wait_us)
			continue; /* the next slow sample adds the VM again */
		if (take_step(plan, vm, service, decision))
			return true;
	}
	return false;
}
