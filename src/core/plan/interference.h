#ifndef INTERFERENCE_H
#define INTERFERENCE_H

/**
 * @file interference.h
 * Interference between job kinds on the same VM, learned from samples that
 * arrive late, and the steps that reduce it. The model is additive: the
 * slowdown of a task is the sum of the slowdowns by its neighbours. A slowdown
 * is in ppm of the run time without neighbours.
 */

#include <stdbool.h>
#include <stdint.h>

#include "platform.h"
#include "plan_state.h"

enum interference_step {
	STEP_NONE = 0,
	STEP_CLOSE = 1, /* add no batch that slows services */
	STEP_THROTTLE = 2, /* throttle a batch task */
	STEP_MOVE = 3, /* move a batch task if it fits on a better VM */
	STEP_EVICT = 4, /* evict a batch task */
};

struct interference *interference_new(void);
void interference_free(struct interference *interference);

/** Returns the slowdown of a task of kind @a victim by one of @a aggressor. */
uint32_t interference_pair_ppm(const struct interference *interference,
			       const struct plan_kind *victim,
			       const struct plan_kind *aggressor);

/**
 * Learns from a sample. Its slowdown is attributed to the tasks that ran on the
 * VM at @a sample_us.
 */
void interference_sample(struct plan *plan, struct plan_vm *vm,
			 struct plan_task *task,
			 const struct platform_task *sample,
			 uint64_t sample_us);

/**
 * Predicts the total slowdown that placing a task on the VM causes, in ppm: of
 * the services there, weighted, and of the batch tasks including the new one.
 * @a worst is the largest slowdown of a service there with the new task.
 */
uint64_t interference_cost(const struct plan *plan,
			   const struct plan_task *task,
			   const struct plan_vm *vm, uint64_t *worst);

/** Returns the largest slowdown of a service on the VM by the task alone. */
uint64_t interference_task_slowdown(const struct plan *plan,
				    const struct plan_task *task,
				    const struct plan_vm *vm);

/**
 * Called after all samples of a report: adds the VM to plan.slow_vms if its
 * steps may be undone.
 */
void interference_relax(struct plan *plan, struct plan_vm *vm);

/** Takes or undoes a step on the next VM in plan.slow_vms. */
bool interference_next(struct plan *plan, struct plan_decision *decision);

#endif /* INTERFERENCE_H */
