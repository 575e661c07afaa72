#ifndef EVICT_H
#define EVICT_H

/**
 * @file evict.h
 * Eviction policies: which batch task has to go when one has to.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

struct evict_ops {
	const char *name;
	/** Returns what evicting the task costs; the lowest goes first. */
	uint64_t (*cost)(const struct plan_task *task, uint64_t now_us);
	/** Tries milder steps against interference first. */
	bool stepwise;
};

/** Returns true if the task may be evicted to help others. */
bool evict_allowed(const struct plan *plan, const struct plan_task *task);

/** Fills the allowances; evictions of one minute may come at once. */
void evict_init(struct plan *plan);

/** Takes evictions out of the allowance of a minute, false: it is used up. */
bool evict_budget_take(struct plan *plan, struct evict_budget *allowance,
		       uint32_t nr);

/**
 * Finds the VM where room for a task costs least, holds a place there and
 * lists the batch tasks that have to go. Returns false if there is none.
 */
bool evict_make_room(struct plan *plan, struct plan_task *task,
		     const struct task_size *size);

/**
 * Holds a place for a batch task on the VM whose tasks leave soonest. Evicts
 * nothing.
 */
bool evict_wait_for_room(struct plan *plan, struct plan_task *task,
			 const struct task_size *size);

/** Returns the policy of that name, NULL if there is none. */
const struct evict_ops *evict_find(const char *name);

extern const struct evict_ops evict_least_lost;
extern const struct evict_ops evict_newest;

#endif /* EVICT_H */
