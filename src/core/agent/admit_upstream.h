#ifndef ADMIT_UPSTREAM_H
#define ADMIT_UPSTREAM_H

/**
 * @file admit_upstream.h
 * The upstreams of one service: processes on the VM that announced themselves
 * to its agent.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform.h"
#include "timer.h"

struct admit_upstream {
	char id[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
	bool leaving;
	bool refused; /* refused a connection since its last announcement */
	bool removed; /* withdrawn or expired; freed when its calls end */
	uint64_t expires_us; /* when the last announcement expires */
};

/** Returns true if the upstream may get new requests. */
bool admit_upstream_is_open(const struct admit_upstream *upstream);

/** Returns how many more requests the upstream may run at the moment. */
uint32_t admit_upstream_free_slots(const struct admit_upstream *upstream);

/** Updates the upstream from an announcement received at @a now_us. */
void admit_upstream_announced(struct admit_upstream *upstream,
			      const struct platform_announce *announce,
			      uint64_t now_us);

/** Returns the upstream with this id, NULL if there is none. */
struct admit_upstream *admit_upstreams_find(const GPtrArray *upstreams,
					    const char *id);

/** Returns the upstream with the most free slots, NULL if none has any. */
struct admit_upstream *admit_upstreams_most_free(const GPtrArray *upstreams);

/** Returns true if any upstream may get new requests. */
bool admit_upstreams_any_open(const GPtrArray *upstreams);

/**
 * Marks expired upstreams as removed, and frees removed ones without calls in
 * flight.
 */
void admit_upstreams_expire(GPtrArray *upstreams, uint64_t now_us);

/** Returns when the next upstream expires, TIMER_NEVER if there is none. */
uint64_t admit_upstreams_next_expiry_us(const GPtrArray *upstreams);

#endif /* ADMIT_UPSTREAM_H */
