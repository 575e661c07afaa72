#ifndef BUDGET_H
#define BUDGET_H

/**
 * @file budget.h
 * Bounds extra sends (retries, hedges) to a share of the requests, so that a
 * failing service isn't loaded further by its callers' entries.
 */

#include <stdbool.h>
#include <stdint.h>

/** One extra send costs 1,000,000 credits; a request earns share_ppm. */
struct budget {
	uint32_t share_ppm;
	uint32_t burst; /* extra sends that may be saved up */
	uint64_t credit;
};

/** Starts with a full burst. */
void budget_init(struct budget *budget, uint32_t share_ppm, uint32_t burst);

/** Counts one request. */
void budget_earn(struct budget *budget);

/** Returns true and takes one extra send if the budget has it. */
bool budget_spend(struct budget *budget);

#endif /* BUDGET_H */
