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

static void add_end(struct reliability_vm *vm, struct reliability_step *step)
{
	if (vm->nr_ends == RELIABILITY_ENDS) {
		reliability_step_unref(vm->failed[0]);
		vm->nr_ends--;
		for (uint32_t i = 0; i < vm->nr_ends; i++)
			vm->failed[i] = vm->failed[i + 1];
	}
	if (step)
		step->refs++;
	vm->failed[vm->nr_ends++] = step;
}

bool reliability_failed(struct reliability_vm *vm,
			struct reliability_step *step, uint64_t ran_ms)
{
	bool was_faulty = reliability_is_faulty(step);

	add_end(vm, step);
	step->nr_failures++;
	step->failed_after_ms = MAX(step->failed_after_ms, ran_ms);
	if (!was_faulty && (!step->nr_failed_vms || step->failed_vms[0] != vm))
		step->failed_vms[step->nr_failed_vms++] = vm;
	return !was_faulty && reliability_is_faulty(step);
}

void reliability_succeeded(struct reliability_vm *vm,
			   struct reliability_step *step)
{
	add_end(vm, NULL);
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
		const struct reliability_step *step = vm->failed[i];

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
		const struct reliability_step *step = vm->failed[i];

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
		reliability_step_unref(vm->failed[i]);
	for (uint32_t i = 0; i < keep; i++)
		vm->failed[i] = vm->failed[from + i];
	vm->nr_ends = keep;
}

void reliability_reset(struct reliability_vm *vm)
{
	for (uint32_t i = 0; i < vm->nr_ends; i++)
		reliability_step_unref(vm->failed[i]);
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
