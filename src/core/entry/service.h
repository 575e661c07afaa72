#ifndef SERVICE_H
#define SERVICE_H

/**
 * @file service.h
 * An entry's data of one service: its upstreams, the latency of its requests,
 * and its budgets for extra sends.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "budget.h"
#include "upstream.h"

#define SERVICE_LATENCY_BUCKETS 96

struct service {
	char name[NAME_BYTES];
	GPtrArray *upstreams; /* struct upstream *, owned */
	GSequence *waiting; /* struct exchange *, not owned, by deadline */
	struct budget retries;
	struct budget hedges; /* second attempts while the first one runs */
	uint32_t cursor; /* position of the round robin policy */
	uint32_t latency[SERVICE_LATENCY_BUCKETS]; /* logarithmic histogram */
	uint32_t nr_latencies; /* sum of the buckets */
};

struct service *service_new(const char *name);
void service_free(void *service);

/** Returns the upstream on the agent's VM, NULL if there is none. */
struct upstream *service_find(const struct service *service,
			      uint64_t agent_node);

/** Returns the upstream on the agent's VM; adds one if there is none. */
struct upstream *service_add(struct service *service, uint64_t agent_node,
			     uint64_t now_us);

void service_remove(struct service *service, uint64_t agent_node);

/** Returns the median service time of the upstreams in us, 0 if unknown. */
uint32_t service_median_time(const struct service *service);

/** Records a request's time from its first attempt to the response. */
void service_record_latency(struct service *service, uint64_t latency_us);

/** Returns the p95 latency in us, 0 while there are too few samples. */
uint64_t service_p95(const struct service *service);

/**
 * Ejects @a upstream, so that it gets no requests for some time, if enough
 * attempts at it failed in a row, unless too many upstreams of the service are
 * ejected already. Returns true if the upstream was ejected.
 */
bool service_check_health(struct service *service, struct upstream *upstream,
			  uint64_t now_us);

#endif /* SERVICE_H */
