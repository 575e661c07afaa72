#ifndef QUARANTINE_H
#define QUARANTINE_H

/**
 * @file quarantine.h
 * Quarantine of VMs on which one job after another fails. A VM in quarantine
 * gets no tasks. After some time it is put on probation, during which it runs
 * one small task at a time until enough of them have succeeded.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

/**
 * Handles a change of the VM's quarantined flag. A quarantine that operators
 * set is lifted only by operators. @a first_record is true if the planner had
 * no record of the VM before. If the flag is set in that first record, an
 * earlier leader may have set it, so the quarantine lasts the longest time and
 * then ends in probation.
 */
void quarantine_changed(struct plan *plan, struct plan_vm *vm,
			bool first_record);

/** Counts a failed job against the VM, which may lead to a quarantine. */
void quarantine_failed(struct plan *plan, struct plan_vm *vm,
		       const struct plan_job *job);
/** No longer counts a job against the VM, as it has failed elsewhere, too. */
void quarantine_withdraw(struct plan_vm *vm, const struct plan_job *job);
/** Clears the VM's failures after a task succeeded there. */
void quarantine_succeeded(struct plan_vm *vm);

/** Returns the VM whose quarantine ends first; NULL if there is none. */
struct plan_vm *quarantine_first(const struct plan *plan);

/** Fills in the next PLAN_QUARANTINE; returns false if none is due. */
bool quarantine_next(struct plan *plan, struct plan_decision *decision);
void quarantine_undo(struct plan *plan, const struct plan_decision *decision);

#endif /* QUARANTINE_H */
