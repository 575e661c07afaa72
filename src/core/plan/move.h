#ifndef MOVE_H
#define MOVE_H

/**
 * @file move.h
 * Moves of running tasks, by evicting them and placing them again: away from
 * VMs that are being drained, and into zones that are back in service, so that
 * replicas are spread evenly over zones.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

/**
 * Called for a VM that is to be drained: adds its tasks to plan.drain_services
 * and plan.drain_batch.
 */
void move_drain_vm(struct plan *plan, struct plan_vm *vm);
/**
 * Adds the task to plan.drain_services or plan.drain_batch if its VM is being
 * drained.
 */
void move_drain_task(struct plan *plan, struct plan_task *task);
/** Starts a period of rebalancing, after a zone or VM was added or returned. */
void move_start_rebalancing(struct plan *plan);

/** Decides the next eviction from a VM that is being drained. */
bool move_next_drained(struct plan *plan, struct plan_decision *decision);
/** Decides the next move of a replica to another zone. */
bool move_next_rebalanced(struct plan *plan, struct plan_decision *decision);

/** Returns when the next move may be due; UINT64_MAX if there is none. */
uint64_t move_next_us(const struct plan *plan);

/** Records that a replica that was moved runs again or has ended. */
void move_ended(struct plan_task *task);

#endif /* MOVE_H */
