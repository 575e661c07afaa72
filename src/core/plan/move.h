#ifndef MOVE_H
#define MOVE_H

/**
 * @file move.h
 * Moves of running tasks: off VMs that take no work any more, and back to zones
 * that returned where the spread of a service needs it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

/** Lists the tasks of a VM that is to be emptied. */
void move_drain_vm(struct plan *plan, struct plan_vm *vm);
/** Lists the task again if its VM is to be emptied. */
void move_drain_task(struct plan *plan, struct plan_task *task);
/** A zone or VM came back: watches the spread of the services for a while. */
void move_start_rebalancing(struct plan *plan);

/** Next replica or batch task to leave a VM that is being emptied. */
bool move_next_drained(struct plan *plan, struct plan_decision *decision);
/** Next replica to move for the spread of its service. */
bool move_next_rebalanced(struct plan *plan, struct plan_decision *decision);

/** Returns when the next move may be due, UINT64_MAX: none is. */
uint64_t move_next_us(const struct plan *plan);

/** A replica that was moved runs again, or ended. */
void move_ended(struct plan_task *task);

#endif /* MOVE_H */
