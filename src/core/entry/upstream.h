#ifndef UPSTREAM_H
#define UPSTREAM_H

/**
 * @file upstream.h
 * Load and health of the upstream of one service on one VM, as an entry knows
 * them from the load reports of the VM's agent and from the entry's own
 * attempts. An attempt is one dispatch of a request to the agent.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_request.h"

#define UPSTREAM_SEND_HISTORY 64

/** How one attempt at an upstream ended. */
enum upstream_end {
	UPSTREAM_END_OK,
	UPSTREAM_END_FAILED, /* status 500 and above, or no response */
	UPSTREAM_END_NO_CONNECTION, /* the upstream refused the connection */
	UPSTREAM_END_BUSY, /* refused: no free slot or too long a queue */
	UPSTREAM_END_NO_PERMIT, /* agent only takes repeatable requests now */
	UPSTREAM_END_NEUTRAL, /* no evidence about the upstream's health */
};

struct upstream {
	uint64_t agent_node;
	struct load load; /* as last reported */
	uint64_t reported_us; /* time of the last load report */
	uint32_t own_open; /* open attempts of this entry */
	/* open attempts that were sent too late for the last load report */
	uint32_t own_unreported;
	uint64_t sent_us[UPSTREAM_SEND_HISTORY]; /* ring of send times */
	uint32_t nr_sent; /* attempts sent so far */
	uint64_t sampled_us; /* time of the last completed run */
	uint32_t limit_milli; /* adaptive concurrency limit, 1/1000 */
	uint32_t recent_us; /* service time, average of about 16 runs */
	uint32_t baseline_us; /* service time, average of about 512 runs */
	uint32_t nr_runs; /* completed runs, counted up to 512 */
	uint32_t stall_ppm; /* share of attempts that packet loss delayed */
	uint32_t nr_failed; /* failed attempts in a row */
	/*
	 * How often the next ejection's time is doubled; 0 again once an
	 * attempt succeeds EJECT_MAX_MS after the last ejection ended.
	 */
	uint32_t nr_ejected;
	uint64_t ejected_until_us; /* gets no requests before this time */
	uint64_t no_permit_until_us; /* until then only repeatable requests */
	/* start of its slow start, in which the limit rises; 0: had none */
	uint64_t slow_start_us;
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

/** Stores a load report that the agent sent half of @a round_trip_us ago. */
void upstream_report(struct upstream *upstream, const struct load *load,
		     uint32_t round_trip_us, uint64_t now_us);

/** Counts an attempt sent at @a now_us. */
void upstream_sent(struct upstream *upstream, uint64_t now_us);

/** Counts the end of an attempt; updates the limit, times and health. */
void upstream_ended(struct upstream *upstream,
		    const struct upstream_sample *sample, uint64_t now_us);

/**
 * Returns the number of requests queued and running at the upstream: as last
 * reported, plus this entry's attempts that the report couldn't include.
 */
uint32_t upstream_load(const struct upstream *upstream);

/**
 * Returns how many attempts of this entry may be open: at least 1, at most the
 * upstream's slots and connections.
 */
uint32_t upstream_limit(const struct upstream *upstream, uint64_t now_us);

/**
 * Returns true if the upstream has slots, isn't leaving, and sent a load report
 * within LOAD_TTL_MS.
 */
bool upstream_is_open(const struct upstream *upstream, uint64_t now_us);

bool upstream_is_ejected(const struct upstream *upstream, uint64_t now_us);

/** Returns true if enough attempts failed in a row for an ejection. */
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

/**
 * Returns the share of attempts that packet loss delayed, in ppm. The share
 * decays to 0 without new samples.
 */
uint32_t upstream_stall_ppm(const struct upstream *upstream, uint64_t now_us);

#endif /* UPSTREAM_H */
