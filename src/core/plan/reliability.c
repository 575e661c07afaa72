#include "reliability.h"

#include <glib.h>

#include "tunables.h"

struct reliability_step *reliability_step_new(void)
{
	struct reliability_step *step = g_new0(struct reliability_step, 1);

	step->refs = 1;
	return step;
}

void reliability_step_unref(struct reliability_step *step)
{
	if (step && !--step->refs)
		g_free(step);
}

bool reliability_is_faulty(const struct reliability_step *step)
{
	return step->nr_failed_vms >= G_N_ELEMENTS(step->failed_vms);
}

static void add_end(struct reliability_vm *vm, struct reliability_step *step,
		    uint64_t gang_run)
{
	if (vm->nr_ends == RELIABILITY_ENDS) {
		reliability_step_unref(vm->ends[0].step);
		vm->nr_ends--;
		for (uint32_t i = 0; i < vm->nr_ends; i++)
			vm->ends[i] = vm->ends[i + 1];
	}
	if (step)
		step->refs++;
	vm->ends[vm->nr_ends++] = (struct reliability_end){ step, gang_run };
}

/* Returns true if a failure in this run of the gang has been counted. */
static bool has_failure(const struct reliability_vm *vm,
			const struct reliability_step *step, uint64_t gang_run)
{
	for (uint32_t i = 0; gang_run && i < vm->nr_ends; i++)
		if (vm->ends[i].step == step &&
		    vm->ends[i].gang_run == gang_run)
			return true;
	return false;
}

bool reliability_failed(struct reliability_vm *vm,
			struct reliability_step *step, uint64_t gang_run,
			uint64_t ran_ms)
{
	bool was_faulty = reliability_is_faulty(step);

	if (!has_failure(vm, step, gang_run))
		add_end(vm, step, gang_run);
	if (!gang_run || step->gang_run != gang_run)
		step->nr_failures++;
	step->gang_run = gang_run;
	step->failed_after_ms = MAX(step->failed_after_ms, ran_ms);
	if (!was_faulty && (!step->nr_failed_vms || step->failed_vms[0] != vm))
		step->failed_vms[step->nr_failed_vms++] = vm;
	return !was_faulty && reliability_is_faulty(step);
}

void reliability_succeeded(struct reliability_vm *vm,
			   struct reliability_step *step)
{
	add_end(vm, NULL, 0);
	if (!step)
		return;
	step->proven = true;
	step->nr_failed_vms = 0;
	step->nr_failures = 0;
	step->failed_after_ms = 0;
	step->nr_pauses = 0;
	step->paused_until_us = 0;
}

bool reliability_outlives(const struct reliability_step *step, uint64_t ran_ms)
{
	return step->nr_failures &&
	       ran_ms > MAX(step->failed_after_ms * RELIABILITY_OUTLIVES_FACTOR,
			    RELIABILITY_OUTLIVES_MIN_MS);
}

uint32_t reliability_fail_permille(const struct reliability_vm *vm)
{
	uint32_t permille = 0;

	for (uint32_t i = 0; i < vm->nr_ends; i++) {
		const struct reliability_step *step = vm->ends[i].step;

		if (step && reliability_is_faulty(step))
			continue;
		permille -= permille / FLOW_FAIL_WEIGHT;
		permille += step ? 1000 / FLOW_FAIL_WEIGHT : 0;
	}
	return permille;
}

/*
 * Returns true if the failures come from several steps, or from one that
 * succeeds elsewhere.
 */
static bool has_evidence(const struct reliability_vm *vm)
{
	const struct reliability_step *first = NULL;

	for (uint32_t i = 0; i < vm->nr_ends; i++) {
		const struct reliability_step *step = vm->ends[i].step;

		if (!step || reliability_is_faulty(step))
			continue;
		if (step->proven || (first && first != step))
			return true;
		first = step;
	}
	return false;
}

bool reliability_should_bar(const struct reliability_vm *vm,
			    const struct reliability_others *others)
{
	uint64_t permille = reliability_fail_permille(vm);
	uint32_t most = MAX((others->nr_vms + 1) / RELIABILITY_BARRED_PART, 1);

	return permille >= FLOW_BACKOFF_PERMILLE && others->nr_vms &&
	       others->nr_barred < most &&
	       permille * others->nr_vms >=
		       RELIABILITY_OUTLIER_FACTOR * others->sum_fail_permille &&
	       has_evidence(vm);
}

void reliability_barred(struct reliability_vm *vm)
{
	uint32_t keep = MIN(vm->nr_ends, RELIABILITY_KEPT_ENDS);
	uint32_t from = vm->nr_ends - keep;

	for (uint32_t i = 0; i < from; i++)
		reliability_step_unref(vm->ends[i].step);
	for (uint32_t i = 0; i < keep; i++)
		vm->ends[i] = vm->ends[from + i];
	vm->nr_ends = keep;
}

void reliability_reset(struct reliability_vm *vm)
{
	for (uint32_t i = 0; i < vm->nr_ends; i++)
		reliability_step_unref(vm->ends[i].step);
	vm->nr_ends = 0;
}

void reliability_delay_restart(struct reliability_step *step, uint64_t now_us)
{
	uint64_t pause_ms;

	if (step->nr_failures < RELIABILITY_PAUSE_FAILURES ||
	    reliability_is_paused(step, now_us))
		return;
	pause_ms = MIN((uint64_t)RELIABILITY_PAUSE_MIN_MS << step->nr_pauses,
		       RELIABILITY_PAUSE_MAX_MS);
	if (pause_ms < RELIABILITY_PAUSE_MAX_MS)
		step->nr_pauses++;
	step->paused_until_us = now_us + pause_ms * 1000;
}

void reliability_pause(struct reliability_step *step, uint64_t until_us)
{
	step->paused_until_us = MAX(step->paused_until_us, until_us);
}

bool reliability_is_paused(const struct reliability_step *step, uint64_t now_us)
{
	return now_us < step->paused_until_us;
}
