#ifndef ROUTE_H
#define ROUTE_H

/**
 * @file route.h
 * Routing policies as a table of functions: each one chooses the upstream, the
 * program on some VM that serves a service, to which a request is sent.
 */

#include <stdbool.h>
#include <stdint.h>

#include "upstream.h"

/** One upstream that can take the request, and the data to compare it by. */
struct route_candidate {
	struct upstream *upstream;
	uint32_t delay_us; /* one-way network delay plus its variance */
	uint32_t loss_ppm; /* share of lost pings or of stalled attempts */
	uint32_t cost_ppm; /* surcharge for traffic into the upstream's zone */
	uint32_t service_time_us;
	uint32_t load; /* requests queued and running */
	bool full; /* at its concurrency limit */
	uint64_t wait_us; /* expected time until the response arrives */
	uint64_t cost_us; /* expected time plus penalties; the lowest is best */
};

struct route_query {
	struct route_candidate *candidates;
	uint32_t nr_candidates; /* at least 1 */
	uint64_t random; /* 64 random bits */
	uint32_t *cursor; /* round robin position of the service */
};

struct route_ops {
	const char *name;
	/** Returns the index of the chosen candidate. */
	uint32_t (*pick)(const struct route_query *query);
};

/** Computes wait_us and cost_us from the other fields. */
void route_estimate(struct route_candidate *candidate);

/** Returns the policy of that name, or the default if there is none. */
const struct route_ops *route_find(const char *name);

#endif /* ROUTE_H */
