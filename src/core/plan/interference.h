#ifndef INTERFERENCE_H
#define INTERFERENCE_H

/**
 * @file interference.h
 * Interference between job kinds on the same VM, learned from usage samples
 * that arrive late, and the steps that reduce it. A kind is a set of jobs that
 * are expected to behave alike, see learn.h. The model is additive: the
 * slowdown of a task is the sum of the slowdowns by its neighbours, the other
 * tasks on its VM. A slowdown is in ppm of the run time without neighbours.
 */

#include <stdbool.h>
#include <stdint.h>

#include "platform.h"
#include "plan_state.h"

enum interference_step {
	STEP_NONE = 0,
	STEP_CLOSE = 1, /* place no batch tasks that slow services */
	STEP_THROTTLE = 2, /* throttle a batch task */
	STEP_MOVE = 3, /* move a batch task to a better VM, if any */
	STEP_EVICT = 4, /* evict a batch task */
};

struct interference *interference_new(void);
void interference_free(struct interference *interference);

/** Returns the slowdown of a @a victim task by an @a aggressor task, in ppm. */
uint32_t interference_pair_ppm(const struct interference *interference,
			       const struct plan_kind *victim,
			       const struct plan_kind *aggressor);

/**
 * Updates the learned slowdowns from a usage sample of the task. Its slowdown
 * is attributed to the other tasks that ran on the VM at @a sample_us.
 */
void interference_sample(struct plan *plan, struct plan_vm *vm,
			 struct plan_task *task,
			 const struct platform_task *sample,
			 uint64_t sample_us);

/**
 * Predicts the total slowdown that placing a task on the VM causes, in ppm: the
 * sum over the tasks there and the new one, where replicas of services have
 * more weight than batch tasks. Sets @a worst to the largest slowdown of a
 * service there with the new task.
 */
uint64_t interference_cost(const struct plan *plan,
			   const struct plan_task *task,
			   const struct plan_vm *vm, uint64_t *worst);

/** Returns the largest slowdown of a service on the VM by the task, in ppm. */
uint64_t interference_task_slowdown(const struct plan *plan,
				    const struct plan_task *task,
				    const struct plan_vm *vm);

/**
 * Called after all samples of a report: adds the VM to plan.slow_vms if a step
 * that was taken there may be undone.
 */
void interference_relax(struct plan *plan, struct plan_vm *vm);

/**
 * Takes or undoes a step on the next VMs in plan.slow_vms. Returns true if it
 * filled in a decision.
 */
bool interference_next(struct plan *plan, struct plan_decision *decision);

#endif /* INTERFERENCE_H */
