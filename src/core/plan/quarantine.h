#ifndef QUARANTINE_H
#define QUARANTINE_H

/**
 * @file quarantine.h
 * Quarantine of VMs on which one job after another fails. After some time a VM
 * gets out on probation, during which it runs one small task at a time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

/**
 * Handles a quarantine that was set or lifted. One that operators set is lifted
 * only by operators. @a found is true if the planner's first record of the VM
 * had it set. An earlier leader may have set it, so it ends in probation after
 * the longest time.
 */
void quarantine_changed(struct plan *plan, struct plan_vm *vm, bool found);

/** Counts a failed job against the VM, which may lead to a quarantine. */
void quarantine_failed(struct plan *plan, struct plan_vm *vm,
		       const struct plan_job *job);
/** Clears the VM's failures after a task succeeded there. */
void quarantine_succeeded(struct plan_vm *vm);

/** Returns the VM whose quarantine ends first; NULL if there is none. */
struct plan_vm *quarantine_first(const struct plan *plan);

/** Decides the next PLAN_QUARANTINE that is due. */
bool quarantine_next(struct plan *plan, struct plan_decision *decision);
void quarantine_undo(struct plan *plan, const struct plan_decision *decision);

#endif /* QUARANTINE_H */
