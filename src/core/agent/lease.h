#ifndef LEASE_H
#define LEASE_H

/**
 * @file lease.h
 * The right of one VM to go on running a task. It counts from the time at
 * which the agent sent the report that the grant answers, so that a slow reply
 * never makes it longer than control assumes.
 */

#include <stdbool.h>
#include <stdint.h>

struct lease {
	uint64_t until_us; /* agent's clock, 0: none */
};

/** Extends the lease to @a ttl_ms after @a sent_us; it never gets shorter. */
void lease_renew(struct lease *lease, uint64_t sent_us, uint32_t ttl_ms);

bool lease_holds(const struct lease *lease, uint64_t now_us);

/** Returns the time left in milliseconds, rounded down. */
uint32_t lease_left_ms(const struct lease *lease, uint64_t now_us);

#endif /* LEASE_H */
