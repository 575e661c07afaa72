#ifndef ADMIT_SERVICE_H
#define ADMIT_SERVICE_H

/**
 * @file admit_service.h
 * One service at an agent: its announced upstreams, and the queue of requests
 * that wait for a free slot at one of them, ordered by deadline.
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
	GPtrArray *upstreams; /* struct admit_upstream *, owned */
	GSequence *queue; /* struct outcome *, not owned, by deadline */
	uint32_t service_time_us; /* moving average, 0: no request ended yet */
	struct timer expiry; /* due when the next upstream expires */
};

/** Returns a service without upstreams; the caller sets up its expiry timer. */
struct admit_service *admit_service_new(struct admit *admit, const char *name);
/** Frees the service; its expiry timer must not be armed. */
void admit_service_free(void *service);

/** Returns the number of queued requests. */
uint32_t admit_service_queued(const struct admit_service *service);

/** Returns how many requests the open upstreams together run at a time. */
uint32_t admit_service_slots(const struct admit_service *service);

/** Fills in @a load; @a closed is true if the agent refuses all requests. */
void admit_service_load(const struct admit_service *service, bool closed,
			struct load *load);

/** Updates the average service time with a request that took @a run_us. */
void admit_service_record_run(struct admit_service *service, uint32_t run_us);

/** Inserts a request into the queue, ordered by deadline. */
void admit_service_push(struct admit_service *service, struct outcome *outcome);

/**
 * Returns true if a queued request is expected to miss its deadline because of
 * the requests queued before it. Returns false if an upstream has a free slot:
 * the average service time is up to date only while all slots are in use.
 */
bool admit_service_is_too_late(const struct admit_service *service,
			       const struct outcome *outcome);

/** Returns the queued request with the earliest deadline, NULL if none. */
struct outcome *admit_service_first(const struct admit_service *service);

/** Returns the queued request with the latest deadline, NULL if none. */
struct outcome *admit_service_last(const struct admit_service *service);

#endif /* ADMIT_SERVICE_H */
