#ifndef UPSTREAM_H
#define UPSTREAM_H

/**
 * @file upstream.h
 * Load and health of one service's upstreams on one VM, from the agent's load
 * reports and from this entry's own attempts.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_request.h"

#define UPSTREAM_SEND_HISTORY 64

/** How one attempt at an upstream ended. */
enum upstream_end {
	UPSTREAM_END_OK,
	UPSTREAM_END_FAILED, /* it ran and failed, or no response came */
	UPSTREAM_END_NO_CONNECTION, /* the upstream refused the connection */
	UPSTREAM_END_BUSY, /* refused: no free slot or too long a queue */
	UPSTREAM_END_NO_PERMIT, /* agent only accepts repeatable requests */
	UPSTREAM_END_NEUTRAL, /* no evidence about the upstream's health */
};

struct upstream {
	uint64_t agent_node;
	struct load load; /* as last reported */
	uint64_t reported_us;
	uint32_t own_open; /* open attempts of this entry */
	uint32_t
		own_unreported; /* attempts sent too late for the last report */
	uint64_t sent_us[UPSTREAM_SEND_HISTORY]; /* ring buffer */
	uint32_t nr_sent; /* attempts sent so far */
	uint64_t sampled_us; /* time of the last completed run */
	uint32_t limit_milli; /* adaptive concurrency limit, 1/1000 */
	uint32_t recent_us; /* service time, average of about 16 runs */
	uint32_t baseline_us; /* service time, average of about 512 runs */
	uint32_t nr_runs; /* completed runs, counted up to 512 */
	uint32_t stall_ppm; /* share of attempts the network delayed */
	uint32_t nr_failed; /* failures in a row */
	uint32_t nr_ejected; /* 0 again after EJECT_MAX_MS without one */
	uint64_t ejected_until_us;
	uint64_t no_permit_until_us; /* gets only repeatable requests */
	uint64_t slow_start_us; /* start of its slow start, 0: had none */
};

/** Measurements of one finished attempt. */
struct upstream_sample {
	enum upstream_end end;
	uint32_t run_us; /* time at the upstream, 0 if it didn't run */
	uint32_t path_us; /* time neither in the agent's queue nor running */
	uint32_t path_rtt_us; /* round trip measured by pings */
};

struct upstream *upstream_new(uint64_t agent_node);
void upstream_free(void *upstream);

/** Stores a load report, sent by the agent half of @a round_trip_us ago. */
void upstream_report(struct upstream *upstream, const struct load *load,
		     uint32_t round_trip_us, uint64_t now_us);

/** Counts an attempt sent at @a now_us. */
void upstream_sent(struct upstream *upstream, uint64_t now_us);

/** Counts the end of an attempt and updates the statistics. */
void upstream_ended(struct upstream *upstream,
		    const struct upstream_sample *sample, uint64_t now_us);

/** Returns the requests queued and running, with own ones since the report. */
uint32_t upstream_load(const struct upstream *upstream);

/**
 * Returns how many attempts of this entry may be open: at least 1, at most the
 * upstream's slots and connections.
 */
uint32_t upstream_limit(const struct upstream *upstream, uint64_t now_us);

/** Returns true if it has slots, a recent load report and isn't leaving. */
bool upstream_is_open(const struct upstream *upstream, uint64_t now_us);

/** Returns true while the upstream is ejected. */
bool upstream_is_ejected(const struct upstream *upstream, uint64_t now_us);

/** Returns true if it failed often enough in a row to be ejected. */
bool upstream_should_eject(const struct upstream *upstream);

/** Ejects the upstream for a time that doubles with each ejection. */
void upstream_eject(struct upstream *upstream, uint64_t now_us);

/**
 * Returns the expected service time. Without a recent run, the reported value
 * decays to @a median_us, the median of the service's upstreams, so that an
 * upstream that was once slow is tried again.
 */
uint32_t upstream_service_time(const struct upstream *upstream,
			       uint32_t median_us, uint64_t now_us);

/** Returns the share of stalled attempts, which decays without new samples. */
uint32_t upstream_stall_ppm(const struct upstream *upstream, uint64_t now_us);

#endif /* UPSTREAM_H */
