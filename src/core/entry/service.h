#ifndef SERVICE_H
#define SERVICE_H

/**
 * @file service.h
 * One service as an entry sees it: its upstreams, how long its requests take,
 * and its budgets of extra sends.
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
	GSequence *waiting; /* struct flight *, not owned, by deadline */
	struct budget retries;
	struct budget hedges;
	uint32_t cursor; /* of the round robin policy */
	uint32_t latency[SERVICE_LATENCY_BUCKETS]; /* counts, by log of time */
	uint32_t nr_latencies;
};

struct service *service_new(const char *name);
void service_free(void *service);

/** Returns the upstream beside an agent, NULL if there is none. */
struct upstream *service_find(const struct service *service,
			      uint64_t agent_node);

/** Returns the upstream beside an agent, adding it if it is new. */
struct upstream *service_add(struct service *service, uint64_t agent_node,
			     uint64_t now_us);

void service_remove(struct service *service, uint64_t agent_node);

/** Returns the median of the upstreams' service times, 0 if none is known. */
uint32_t service_median_time(const struct service *service);

/** Records the time from first send to response of a request. */
void service_record_latency(struct service *service, uint64_t latency_us);

/** Returns the learned p95 latency, 0 while too little is known. */
uint64_t service_p95(const struct service *service);

/**
 * Ejects @a upstream if its failures call for it and not too many are ejected
 * already. Returns true if it did.
 */
bool service_check_health(struct service *service, struct upstream *upstream,
			  uint64_t now_us);

#endif /* SERVICE_H */
