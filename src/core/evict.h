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

/** Returns the policy of that name, NULL if there is none. */
const struct evict_ops *evict_find(const char *name);

extern const struct evict_ops evict_least_lost;
extern const struct evict_ops evict_newest;

#endif /* EVICT_H */
