#ifndef ROUTE_H
#define ROUTE_H

/**
 * @file route.h
 * Policies that pick an upstream for a request, behind one function table.
 */

#include <stdbool.h>
#include <stdint.h>

#include "upstream.h"

/** What a policy knows of one upstream that may take the request. */
struct route_candidate {
	struct upstream *upstream;
	uint32_t delay_us; /* one way, with its variance */
	uint32_t loss_ppm;
	uint32_t cost_ppm; /* of traffic into the upstream's zone */
	uint32_t service_time_us;
	uint32_t load; /* queued and running */
	bool full; /* at its concurrency limit */
	uint64_t wait_us; /* until the response is back, without charges */
	uint64_t cost_us; /* the same with charges */
};

struct route_query {
	struct route_candidate *candidates;
	uint32_t nr_candidates; /* at least 1 */
	uint64_t random;
	uint32_t *cursor; /* of the service, kept between picks */
};

struct route_ops {
	const char *name;
	/** Returns the index of the chosen candidate. */
	uint32_t (*pick)(const struct route_query *query);
};

/** Fills wait_us and cost_us from the other fields. */
void route_estimate(struct route_candidate *candidate);

/** Returns the policy of that name, the default for "" or unknown names. */
const struct route_ops *route_find(const char *name);

#endif /* ROUTE_H */
