#ifndef PERMIT_H
#define PERMIT_H

/**
 * @file permit.h
 * A permit allows an agent to start tasks, and requests that are not
 * repeatable, for a limited time. As with a lease, the time counts from when
 * the agent sent the report that the leader's grant answers. Unlike a lease, a
 * permit may be shortened or revoked by a later grant.
 */

#include <stdbool.h>
#include <stdint.h>

struct permit {
	uint64_t until_us; /* end on the agent's clock, 0: no permit */
};

/**
 * Replaces the permit by one until @a ttl_ms after @a sent_us, the time at
 * which the report was sent. A @a ttl_ms of 0 revokes the permit.
 */
void permit_set(struct permit *permit, uint64_t sent_us, uint32_t ttl_ms);

bool permit_holds(const struct permit *permit, uint64_t now_us);

/**
 * Returns the milliseconds until the agent's permit or the permit of an order
 * to start a task ends, whichever is earlier; 0 if one has ended. The order's
 * permit ends PERMIT_TTL_MS after @a order_sent_us, the time at which the agent
 * sent the report that the order is based on.
 */
uint32_t permit_left_ms(const struct permit *permit, uint64_t order_sent_us,
			uint64_t now_us);

#endif /* PERMIT_H */
