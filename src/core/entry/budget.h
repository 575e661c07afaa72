#ifndef BUDGET_H
#define BUDGET_H

/**
 * @file budget.h
 * Token bucket that limits extra sends (retries and hedges) to a share of the
 * requests, so that entries don't add load to a failing service.
 */

#include <stdbool.h>
#include <stdint.h>

/** Each request earns share_ppm credits; an extra send costs 1,000,000. */
struct budget {
	uint32_t share_ppm; /* extra sends per million requests */
	uint32_t burst; /* most extra sends for which credit can be saved */
	uint64_t credit; /* saved credits, at most burst * 1,000,000 */
};

/** Initializes the budget with credit for a full burst. */
void budget_init(struct budget *budget, uint32_t share_ppm, uint32_t burst);

/** Adds the share_ppm credits that one request earns. */
void budget_earn(struct budget *budget);

/**
 * Subtracts the credits for one extra send and returns true, or returns false
 * if too few are saved.
 */
bool budget_spend(struct budget *budget);

#endif /* BUDGET_H */
