#ifndef PERMIT_H
#define PERMIT_H

/**
 * @file permit.h
 * A permit allows an agent to start tasks, and requests that are not
 * repeatable. As with a lease, its duration counts from when the agent sent its
 * report, but a newer grant may revoke it at once.
 */

#include <stdbool.h>
#include <stdint.h>

struct permit {
	uint64_t until_us; /* end on the agent's clock, 0: no permit */
};

/** Replaces the permit; a @a ttl_ms of 0 revokes it. */
void permit_set(struct permit *permit, uint64_t sent_us, uint32_t ttl_ms);

bool permit_holds(const struct permit *permit, uint64_t now_us);

/**
 * Returns the milliseconds left for a start: the end of this permit or of the
 * order's, whichever is earlier. An order's permit ends PERMIT_TTL_MS after
 * @a order_sent_us, when the report that the order answers was sent.
 */
uint32_t permit_left_ms(const struct permit *permit, uint64_t order_sent_us,
			uint64_t now_us);

#endif /* PERMIT_H */
