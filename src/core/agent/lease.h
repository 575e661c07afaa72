#ifndef LEASE_H
#define LEASE_H

/**
 * @file lease.h
 * A lease permits one VM to keep a task running for a limited time. The time
 * counts from when the agent sent the report that the leader's grant answers,
 * so that a slow grant never makes the lease end later than the leader assumes.
 */

#include <stdbool.h>
#include <stdint.h>

struct lease {
	uint64_t until_us; /* end on the agent's clock, 0: no lease */
};

/**
 * Extends the lease to @a ttl_ms after @a sent_us, the time at which the report
 * was sent. Never shortens the lease.
 */
void lease_renew(struct lease *lease, uint64_t sent_us, uint32_t ttl_ms);

bool lease_holds(const struct lease *lease, uint64_t now_us);

/** Returns the time left in milliseconds, rounded down; 0 without a lease. */
uint32_t lease_left_ms(const struct lease *lease, uint64_t now_us);

#endif /* LEASE_H */
