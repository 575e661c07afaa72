#ifndef EVICT_H
#define EVICT_H

/**
 * @file evict.h
 * Eviction policies, eviction rate limits and the search for a VM on which
 * evictions free enough capacity for a task. The VM then holds that capacity
 * for the task, see plan_state.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

struct evict_ops {
	const char *name;
	/** Returns the cost of evicting the task; the lowest cost wins. */
	uint64_t (*cost)(const struct plan_task *task, uint64_t now_us);
	/**
	 * True: against interference, the planner first closes the VM to batch
	 * tasks, then throttles and moves tasks before it evicts any.
	 */
	bool stepwise;
};

/** Returns true if the task may be evicted for the benefit of other tasks. */
bool evict_allowed(const struct plan *plan, const struct plan_task *task);

/** Initializes the token buckets, filled with one minute's evictions. */
void evict_init(struct plan *plan);

/** Takes @a nr tokens from the bucket; returns false if it has fewer. */
bool evict_budget_take(struct plan *plan, struct evict_budget *budget,
		       uint32_t nr);

/**
 * Finds the VM where freeing capacity for a task costs least, holds capacity
 * there and adds the batch tasks to evict to plan.evicting. Returns false if
 * there is no such VM or the eviction budget is used up.
 */
bool evict_free_capacity(struct plan *plan, struct plan_task *task,
			 const struct task_size *size);

/**
 * Holds capacity for a batch task on the VM where enough tasks are expected to
 * end soonest. Evicts nothing. Returns false if there is no such VM.
 */
bool evict_await_capacity(struct plan *plan, struct plan_task *task,
			  const struct task_size *size);

/** Returns the policy of that name; NULL if there is none. */
const struct evict_ops *evict_find(const char *name);

extern const struct evict_ops evict_least_lost;
extern const struct evict_ops evict_newest;

#endif /* EVICT_H */
