#ifndef EXECUTOR_H
#define EXECUTOR_H

/**
 * @file executor.h
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
	bool refused; /* refused a connection; unused until it announces again
		       */
	bool gone; /* withdrawn or expired; freed once its calls have ended */
	uint64_t expires_us; /* when the last announcement expires */
};

/** Returns true if the upstream may get new requests. */
bool executor_is_open(const struct admit_upstream *upstream);

/** Returns how many more requests the upstream may run at the moment. */
uint32_t executor_room(const struct admit_upstream *upstream);

/** Updates the upstream from an announcement received at @a now_us. */
void executor_announced(struct admit_upstream *upstream,
			const struct platform_announce *announce,
			uint64_t now_us);

/** Returns the upstream with this id, NULL if there is none. */
struct admit_upstream *executors_find(const GPtrArray *upstreams,
				      const char *id);

/** Returns the upstream with the most free slots, NULL if none has any. */
struct admit_upstream *executors_roomiest(const GPtrArray *upstreams);

/** Returns true if any upstream may get new requests. */
bool executors_any_open(const GPtrArray *upstreams);

/**
 * Marks expired upstreams as gone, and frees those gone that have no calls in
 * flight.
 */
void executors_expire(GPtrArray *upstreams, uint64_t now_us);

/** Returns when the next upstream expires, TIMER_NEVER if there is none. */
uint64_t executors_next_expiry_us(const GPtrArray *upstreams);

#endif /* EXECUTOR_H */
