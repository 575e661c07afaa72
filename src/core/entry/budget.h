#ifndef BUDGET_H
#define BUDGET_H

/**
 * @file budget.h
 * Token bucket that limits extra sends (retries and hedges) to a share of the
 * requests, so that entries don't add load to a failing service.
 */

#include <stdbool.h>
#include <stdint.h>

/** Each request adds share_ppm credits; an extra send costs 1,000,000. */
struct budget {
	uint32_t share_ppm;
	uint32_t burst; /* most extra sends that can be saved up */
	uint64_t credit; /* saved up, at most burst * 1,000,000 */
};

/** Initializes the budget with credit for a full burst. */
void budget_init(struct budget *budget, uint32_t share_ppm, uint32_t burst);

/** Adds the credit of one request. */
void budget_earn(struct budget *budget);

/** Takes the credit for one extra send, or returns false if there is less. */
bool budget_spend(struct budget *budget);

#endif /* BUDGET_H */
