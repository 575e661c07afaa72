#ifndef QUARANTINE_H
#define QUARANTINE_H

/**
 * @file quarantine.h
 * Workers that fail one job after another: they are put aside, and come back on
 * probation with one small task at a time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

/**
 * Follows a quarantine that was set or lifted. One that operators set while
 * this planner was at work is theirs to lift; one found at the start may be an
 * earlier leader's, so it ends in probation after the longest time.
 */
void quarantine_changed(struct plan *plan, struct plan_vm *vm, bool found);

/** Counts a failed job against the worker. */
void quarantine_failed(struct plan *plan, struct plan_vm *vm,
		       const struct plan_job *job);
void quarantine_succeeded(struct plan_vm *vm);

/** Returns the quarantined VM whose time is up first, NULL if there is none. */
struct plan_vm *quarantine_first(const struct plan *plan);

/** Next PLAN_QUARANTINE that is due. */
bool quarantine_next(struct plan *plan, struct plan_decision *decision);
void quarantine_undo(struct plan *plan, const struct plan_decision *decision);

#endif /* QUARANTINE_H */
