#ifndef ADMIT_SERVICE_H
#define ADMIT_SERVICE_H

/**
 * @file admit_service.h
 * One service at an agent: its announced upstreams, and the requests that wait
 * for room at one of them, by deadline.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "admit_upstream.h"
#include "msg_request.h"
#include "outcome.h"
#include "timer.h"

struct admit_service {
	struct admit *admit;
	char name[NAME_BYTES];
	GPtrArray *executors; /* struct executor *, owned */
	GSequence *queue; /* struct outcome *, not owned, by deadline */
	uint32_t service_time_us; /* smoothed */
	struct timer expiry; /* of the next announcement */
};

/** Returns a service without upstreams; the caller sets up its timer. */
struct admit_service *admit_service_new(struct admit *admit, const char *name);
/** Frees the service; its timer must not be armed. */
void admit_service_free(void *service);

/** Returns the number of queued requests. */
uint32_t admit_service_queued(const struct admit_service *service);

/** Returns how many requests its open upstreams may run at a time. */
uint32_t admit_service_slots(const struct admit_service *service);

/** Fills @a load; @a closed if the agent takes no requests for now. */
void admit_service_load(const struct admit_service *service, bool closed,
			struct load *load);

void admit_service_record_run(struct admit_service *service, uint32_t run_us);

/** Queues a request in order of its deadline. */
void admit_service_push(struct admit_service *service, struct outcome *outcome);

/**
 * Returns true if a queued request can't be back in time behind those with an
 * earlier deadline. Only a busy service is judged: its estimate is fresh.
 */
bool admit_service_is_too_late(const struct admit_service *service,
			       const struct outcome *outcome);

/** Returns the queued request with the earliest deadline, NULL if none. */
struct outcome *admit_service_first(const struct admit_service *service);

/** Returns the queued request with the latest deadline, NULL if none. */
struct outcome *admit_service_last(const struct admit_service *service);

#endif /* ADMIT_SERVICE_H */
