#ifndef ADMIT_UPSTREAM_H
#define ADMIT_UPSTREAM_H

/**
 * @file admit_upstream.h
 * The upstreams of one service: processes on the VM that serve its requests and
 * have announced themselves to the VM's agent.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform.h"
#include "timer.h"

struct admit_upstream {
	char id[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t slots; /* requests that it runs at a time */
	uint32_t connections; /* connections that it accepts */
	uint32_t in_flight; /* requests sent to it that haven't ended */
	bool leaving; /* by its last announcement */
	bool refused; /* refused a connection since its last announcement */
	bool removed; /* withdrawn or expired; freed once in_flight is 0 */
	uint64_t expires_us; /* when the last announcement expires */
};

/** Returns true if the upstream may get new requests. */
bool admit_upstream_is_open(const struct admit_upstream *upstream);

/** Returns how many more requests may be sent to the upstream now. */
uint32_t admit_upstream_free_slots(const struct admit_upstream *upstream);

/** Updates the upstream from an announcement received at @a now_us. */
void admit_upstream_announced(struct admit_upstream *upstream,
			      const struct platform_announce *announce,
			      uint64_t now_us);

/** Returns the upstream with this id, NULL if there is none. */
struct admit_upstream *admit_upstreams_find(const GPtrArray *upstreams,
					    const char *id);

/**
 * Returns the removed upstream with this id and address that still has requests
 * in flight, NULL if there is none.
 */
struct admit_upstream *admit_upstreams_find_removed(const GPtrArray *upstreams,
						    const char *id,
						    const char *address);

/** Returns the upstream with the most free slots, NULL if none has any. */
struct admit_upstream *admit_upstreams_most_free(const GPtrArray *upstreams);

/** Returns true if any upstream may get new requests. */
bool admit_upstreams_any_open(const GPtrArray *upstreams);

/**
 * Marks expired upstreams as removed, and frees removed upstreams that have no
 * request in flight.
 */
void admit_upstreams_expire(GPtrArray *upstreams, uint64_t now_us);

/** Returns when the next upstream expires, TIMER_NEVER if there is none. */
uint64_t admit_upstreams_next_expiry_us(const GPtrArray *upstreams);

#endif /* ADMIT_UPSTREAM_H */
