#ifndef ADMIT_UPSTREAM_H
#define ADMIT_UPSTREAM_H

/**
 * @file admit_upstream.h
 * The upstream processes of one service that announced themselves on a VM.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform.h"
#include "timer.h"

struct executor {
	char id[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
	bool leaving;
	bool refused; /* a connection; not used until it announces again */
	bool gone; /* withdrawn or expired; kept until its calls have ended */
	uint64_t expires_us;
};

/** Returns true if it may get new requests. */
bool admit_upstream_is_open(const struct executor *executor);

/** Returns how many more requests it may run now. */
uint32_t admit_upstream_free_slots(const struct executor *executor);

/** Takes over an announcement made at @a now_us. */
void admit_upstream_announced(struct executor *executor,
			      const struct platform_announce *announce,
			      uint64_t now_us);

/** Returns the executor with that id, NULL if there is none. */
struct executor *admit_upstreams_find(const GPtrArray *executors,
				      const char *id);

/** Returns the one with the most room, NULL if none has any. */
struct executor *admit_upstreams_most_free(const GPtrArray *executors);

bool admit_upstreams_any_open(const GPtrArray *executors);

/** Marks those that expired and frees those gone without calls. */
void admit_upstreams_expire(GPtrArray *executors, uint64_t now_us);

/** Returns when the next one expires, TIMER_NEVER if none does. */
uint64_t admit_upstreams_next_expiry_us(const GPtrArray *executors);

#endif /* ADMIT_UPSTREAM_H */
