#include "interference.h"

#include <string.h>

#include "decide.h"
#include "evict.h"
#include "place.h"
#include "schema.h"

#define PPM 1000000ll
#define MAX_PAIR_PPM 4000000ll
/* A pair that was never seen is neither harmless nor shut out. */
#define PRIOR_PPM 50000
#define MAX_NEIGHBOURS 32
/* Variance of a sample, growth of a pair's variance with each sample, as load
 * changes, and its least value; in ppm of the variance of an unknown pair. */
#define SAMPLE_VARIANCE_PPM 40000
#define VARIANCE_GROWTH_PPM 50
#define MIN_VARIANCE_PPM 500
/* Slower than this the sample says more of a stalled worker than of a
 * neighbour. */
#define MIN_RATE_PPM 20000u
#define AT_LIMIT_PERCENT 98
/* Samples in a row above the limit before a step. */
#define SLOW_SAMPLES 2
/* Steps are taken back after this many times the wait between two. */
#define RELAX_WAITS 4
#define THROTTLE_PPM 400000u
/* Tasks of a service count more than batch tasks beside them. */
#define SERVICE_WEIGHT 8

/* What one task of a kind costs a task of another. */
struct pair {
	int32_t ppm;
	uint32_t variance_ppm; /* variance of ppm; 1000000: never seen */
};

struct neighbours {
	uint32_t nr;
	uint32_t kinds[MAX_NEIGHBOURS];
	int64_t shares[MAX_NEIGHBOURS]; /* sum of their shares in ppm */
};

struct interference {
	uint32_t nr_kinds; /* rows and columns allocated */
	struct pair *pairs; /* victim * nr_kinds + by */
	struct neighbours last; /* of the VM and time below */
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
			    uint32_t victim, uint32_t by)
{
	uint32_t nr = interference->nr_kinds;

	if (victim >= nr || by >= nr)
		return NULL;
	return &interference->pairs[(size_t)victim * nr + by];
}

uint32_t interference_pair_ppm(const struct interference *interference,
			       const struct plan_kind *victim,
			       const struct plan_kind *by)
{
	const struct pair *pair = pair_at(interference, victim->nr, by->nr);

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

/* What ran on the VM when the sample was taken. The samples of a report are
 * mostly of one time, so the last answer is kept. */
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
		const struct plan_vm_run *stay =
			&g_array_index(vm->run_history, struct plan_vm_run, i);

		if (stay->from_us <= sample_us && sample_us < stay->to_us)
			neighbours_add(neighbours, stay->kind_nr,
				       stay->share_ppm);
	}
	for (uint32_t i = 0; i < neighbours->nr; i++)
		table_grow(interference, neighbours->kinds[i]);
	return neighbours;
}

/* Takes the task itself out of what ran. */
static void exclude_task(struct neighbours *neighbours, uint32_t kind_nr)
{
	for (uint32_t i = 0; i < neighbours->nr; i++) {
		if (neighbours->kinds[i] == kind_nr)
			neighbours->shares[i] -=
				MIN(neighbours->shares[i], PPM);
	}
}

/* Share of the variance of one sample that a pair explains, in ppm of the
 * variance of a pair that was never seen. */
static uint64_t pair_variance(const struct pair *pair, int64_t share_ppm)
{
	uint64_t share = (uint64_t)share_ppm / 1000; /* in thousandths */

	return pair->variance_ppm * share / 1000 * share / 1000;
}

/*
 * A Kalman filter without the correlations: the error of the predicted sum goes
 * to the pairs in proportion to their shares and to how little is known of
 * them, so a rare kind isn't hidden by many tasks of a well-known one.
 */
static void learn_pairs(struct interference *interference, uint32_t victim,
			const struct neighbours *neighbours,
			int64_t slowdown_ppm)
{
	struct pair *pairs[MAX_NEIGHBOURS];
	uint64_t power = SAMPLE_VARIANCE_PPM;
	int64_t error = slowdown_ppm;

	for (uint32_t i = 0; i < neighbours->nr; i++) {
		pairs[i] = pair_at(interference, victim, neighbours->kinds[i]);
		if (!pairs[i])
			continue;
		error -= pairs[i]->ppm * (neighbours->shares[i] / 1000) / 1000;
		power += pair_variance(pairs[i], neighbours->shares[i]);
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
					    (int64_t)power,
			0, MAX_PAIR_PPM);
		pair->variance_ppm -=
			(uint32_t)(pair->variance_ppm * explained / power);
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
	/* A sample from before the last step says nothing of its effect. */
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

	/* The guard holds the task back, not its neighbours. */
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
			 uint32_t victim, uint32_t by)
{
	const struct pair *pair = pair_at(interference, victim, by);

	return pair ? (uint64_t)pair->ppm : PRIOR_PPM;
}

/* Predicted slowdown of a task of a kind by all on the VM but @a own_ppm of its
 * own kind. */
static uint64_t predicted(const struct interference *interference,
			  uint32_t kind_nr, const struct plan_vm *vm,
			  uint32_t own_ppm)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < vm->nr_kinds; i++) {
		const struct plan_vm_kind *by = &vm->kinds[i];
		uint64_t share_ppm = by->share_ppm;

		if (by->kind_nr == kind_nr)
			share_ppm -= MIN(share_ppm, own_ppm);
		sum += pair_ppm(interference, kind_nr, by->kind_nr) *
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

/* The service on the VM that is slow. */
static struct plan_task *slow_service(const struct plan_vm *vm)
{
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		struct plan_task *task = g_ptr_array_index(vm->tasks, i);

		if (task->nr_slow >= SLOW_SAMPLES)
			return task;
	}
	return NULL;
}

/* The batch task that slows the service most, or the policy's choice. */
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

/* Moves a batch task to a VM where it does no harm, if there is one. */
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
	    !evict_budget_take(plan, &plan->calm, 1))
		return false;
	plan_hold(plan, task, vm, &size, UINT64_MAX);
	decide_evict(plan, task, decision, "interference-move");
	return true;
}

/* Takes the next step on the VM; returns true if it is a decision. */
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
	if (!evict_budget_take(plan, &plan->calm, 1))
		return false;
	vm->step = STEP_EVICT;
	decide_evict(plan, task, decision, "interference-evict");
	return true;
}

/* The largest slowdown predicted for a service if @a task ran unthrottled. */
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

/* Takes one step back; what is predicted to do harm again stays throttled. */
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
	uint32_t looks = plan->slow_vms.length;

	while (looks--) {
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
			continue; /* the next slow sample lists it again */
		if (take_step(plan, vm, service, decision))
			return true;
	}
	return false;
}
