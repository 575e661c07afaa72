#ifndef UPSTREAM_H
#define UPSTREAM_H

/**
 * @file upstream.h
 * Load and health of one service's upstreams on one VM, as an entry sees them.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_request.h"

#define UPSTREAM_SEND_HISTORY 64

/** How one attempt at an upstream ended. */
enum upstream_end {
	UPSTREAM_END_OK,
	UPSTREAM_END_FAILED, /* it ran and failed, or nothing came back */
	UPSTREAM_END_NO_CONNECTION, /* the upstream refused the connection */
	UPSTREAM_END_BUSY, /* the agent's queue or limit was full */
	UPSTREAM_END_NO_PERMIT, /* only repeatable requests are taken */
	UPSTREAM_END_NEUTRAL, /* says nothing of the upstream's health */
};

struct upstream {
	uint64_t agent_node;
	struct load load; /* as last reported */
	uint64_t reported_us;
	uint32_t own_open; /* this entry's attempts under way */
	uint32_t own_unreported; /* sends that the last report can't contain */
	uint64_t sent_us[UPSTREAM_SEND_HISTORY]; /* ring */
	uint32_t nr_sent;
	uint64_t sampled_us; /* time of the last completed run */
	uint32_t limit_milli; /* learned concurrency limit, 1/1000 */
	uint32_t recent_us; /* service time, smoothed over about 16 runs */
	uint32_t baseline_us; /* service time, smoothed over about 512 runs */
	uint32_t nr_runs; /* up to the 512 above */
	uint32_t stall_ppm; /* share of attempts that the path delayed */
	uint32_t nr_failed; /* in a row */
	uint32_t nr_ejected; /* ejections without a good spell in between */
	uint64_t ejected_until_us;
	uint64_t no_permit_until_us; /* gets repeatable requests only */
	uint64_t slow_start_us; /* when slow start began, 0 if it is over */
};

/** What one finished attempt tells. */
struct upstream_sample {
	enum upstream_end end;
	uint32_t run_us; /* time at the upstream, 0 if it didn't run */
	uint32_t path_us; /* time that was neither queued nor run */
	uint32_t path_rtt_us; /* round trip measured by pings */
};

struct upstream *upstream_new(uint64_t agent_node);
void upstream_free(void *upstream);

/** Takes a report that left the agent about half of @a round_trip_us ago. */
void upstream_report(struct upstream *upstream, const struct load *load,
		     uint32_t round_trip_us, uint64_t now_us);

/** Counts an attempt sent at @a now_us. */
void upstream_sent(struct upstream *upstream, uint64_t now_us);

/** Counts the end of an attempt. */
void upstream_ended(struct upstream *upstream,
		    const struct upstream_sample *sample, uint64_t now_us);

/** Returns requests queued and running, with own sends since the report. */
uint32_t upstream_load(const struct upstream *upstream);

/** Returns how many own attempts may be open, at most slots and connections. */
uint32_t upstream_limit(const struct upstream *upstream, uint64_t now_us);

/** Returns true if it may get new work: announced, reported, not leaving. */
bool upstream_is_open(const struct upstream *upstream, uint64_t now_us);

/** Returns true while it is ejected. */
bool upstream_is_ejected(const struct upstream *upstream, uint64_t now_us);

/** Returns true if its failures in a row call for ejection. */
bool upstream_should_eject(const struct upstream *upstream);

/** Ejects it for a time that grows with each ejection. */
void upstream_eject(struct upstream *upstream, uint64_t now_us);

/**
 * Returns the time one run is expected to take. Without a recent run the
 * learned value moves to @a baseline_us, that of the service's other upstreams,
 * so that an upstream that was once slow is tried again.
 */
uint32_t upstream_service_time(const struct upstream *upstream,
			       uint32_t baseline_us, uint64_t now_us);

/** Returns the share of attempts that the path stalled, fading with disuse. */
uint32_t upstream_stall_ppm(const struct upstream *upstream, uint64_t now_us);

#endif /* UPSTREAM_H */
