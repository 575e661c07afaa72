#ifndef INTERFERENCE_H
#define INTERFERENCE_H

/**
 * @file interference.h
 * What tasks of one job kind cost tasks of another on the same VM, learned from
 * lagging samples, and the steps against it. The slowdown of a task is taken as
 * the sum over its neighbours, in ppm of its run time alone.
 */

#include <stdbool.h>
#include <stdint.h>

#include "platform.h"
#include "plan_state.h"

enum interference_step {
	STEP_NONE = 0,
	STEP_CLOSE = 1, /* no batch is added */
	STEP_THROTTLE = 2,
	STEP_MOVE = 3, /* checkpoint and move, if there is a better place */
	STEP_EVICT = 4,
};

struct interference *interference_new(void);
void interference_free(struct interference *interference);

/** Returns the slowdown of one task of kind @a victim by one of @a by. */
uint32_t interference_pair_ppm(const struct interference *interference,
			       const struct plan_kind *victim,
			       const struct plan_kind *by);

/** Takes a sample: credits its slowdown to what ran on the VM by then. */
void interference_sample(struct plan *plan, struct plan_vm *vm,
			 struct plan_task *task,
			 const struct platform_task *sample,
			 uint64_t sample_us);

/**
 * Predicts what placing a task on the VM costs, in ppm: to the services there
 * and to the batch tasks including the new one. @a worst is the largest
 * slowdown of a service there with the new task.
 */
uint64_t interference_cost(const struct plan *plan,
			   const struct plan_task *task,
			   const struct plan_vm *vm, uint64_t *worst);

/** Returns the slowdown of the services on the VM by the task alone. */
uint64_t interference_task_slowdown(const struct plan *plan,
				    const struct plan_task *task,
				    const struct plan_vm *vm);

/** All samples of the VM were taken: lists it when steps may be taken back. */
void interference_relax(struct plan *plan, struct plan_vm *vm);

/** Next step against interference on a VM with a slow service. */
bool interference_next(struct plan *plan, struct plan_decision *decision);

#endif /* INTERFERENCE_H */
