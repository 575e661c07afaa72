#ifndef DECIDE_H
#define DECIDE_H

/**
 * @file decide.h
 * Functions that fill in the planner's decisions, which plan.h describes.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

/* Wait before a refused decision is made again. */
#define UNDO_RETRY_US 100000ull

/** Clears the decision and sets its action. */
void decide_init(struct plan_decision *decision, enum plan_action action);
/** Fills in PLAN_PLACE and reserves the size on the VM. */
void decide_place(struct plan *plan, struct plan_task *task, struct plan_vm *vm,
		  const struct task_size *size, struct plan_decision *decision);
/** Fills in PLAN_EVICT; @a why is logged as the reason. */
void decide_evict(struct plan *plan, struct plan_task *task,
		  struct plan_decision *decision, const char *why);

/** Returns true if some VM is large enough for a task of this size. */
bool decide_ever_fits(const struct plan *plan, const struct task_size *size);

#endif /* DECIDE_H */
