#ifndef PERMIT_H
#define PERMIT_H

/**
 * @file permit.h
 * The right of an agent to start tasks and requests that are not repeatable.
 * Like a lease it counts from the sending of the report, but a newer grant may
 * take it back at once.
 */

#include <stdbool.h>
#include <stdint.h>

struct permit {
	uint64_t until_us; /* agent's clock, 0: none */
};

/** Replaces the permit; @a ttl_ms 0 takes it back. */
void permit_set(struct permit *permit, uint64_t sent_us, uint32_t ttl_ms);

bool permit_holds(const struct permit *permit, uint64_t now_us);

/**
 * Returns the milliseconds left for a start that also counts from the report
 * sent at @a order_sent_us.
 */
uint32_t permit_left_ms(const struct permit *permit, uint64_t order_sent_us,
			uint64_t now_us);

#endif /* PERMIT_H */
