#include "upstream.h"

#include <glib.h>

#include "tunables.h"

#define MILLI 1000u
#define UPSTREAM_RECENT_RUNS 16
#define UPSTREAM_BASELINE_RUNS 512
#define UPSTREAM_STALL_SAMPLES 64

static uint32_t upstream_max(const struct upstream *upstream)
{
	return MIN(upstream->load.slots, upstream->load.connections);
}

/* Returns @a value moved by 1/@a nr of its distance towards @a sample. */
static uint32_t smooth(uint32_t value, uint32_t sample, uint32_t nr)
{
	int64_t step = ((int64_t)sample - value) / (int64_t)nr;

	return (uint32_t)(value + step);
}

/*
 * Returns an estimate that starts at @a measured and, from
 * SERVICE_TIME_FRESH_MS after the last completed run, moves linearly to @a rest
 * within SERVICE_TIME_DECAY_MS.
 */
static uint32_t upstream_decay(const struct upstream *upstream,
			       uint32_t measured, uint32_t rest,
			       uint64_t now_us)
{
	uint64_t idle_us = now_us - upstream->sampled_us;
	uint64_t fresh_us = SERVICE_TIME_FRESH_MS * 1000ull;
	int64_t span_us = SERVICE_TIME_DECAY_MS * 1000ll;
	int64_t decay_us;

	if (idle_us <= fresh_us)
		return measured;
	decay_us = MIN((int64_t)(idle_us - fresh_us), span_us);
	return (uint32_t)(measured +
			  ((int64_t)rest - measured) * decay_us / span_us);
}

static void upstream_record_run(struct upstream *upstream, uint32_t run_us,
				uint64_t now_us)
{
	uint32_t nr = MIN(upstream->nr_runs + 1, UPSTREAM_BASELINE_RUNS);

	upstream->nr_runs = nr;
	upstream->baseline_us = smooth(upstream->baseline_us, run_us, nr);
	upstream->recent_us = smooth(upstream->recent_us, run_us,
				     MIN(nr, UPSTREAM_RECENT_RUNS));
	upstream->sampled_us = now_us;
}

/*
 * A delay well above the round trip of pings means that the network lost a
 * packet. TCP hides the loss, so it is detected by the delay of attempts.
 */
static void upstream_record_path(struct upstream *upstream,
				 const struct upstream_sample *sample)
{
	uint32_t rtt_us = sample->path_rtt_us;
	bool stalled = sample->path_us > 2 * rtt_us + ROUTE_STALL_MIN_US;

	upstream->stall_ppm = smooth(upstream->stall_ppm, stalled ? 1000000 : 0,
				     UPSTREAM_STALL_SAMPLES);
}

/*
 * Adapts the concurrency limit by AIMD (additive increase, multiplicative
 * decrease). Each run that succeeds raises the limit, or lowers it if recent
 * runs are slow, by 1/limit: as many runs as the limit change it by one slot. A
 * refusal by a busy agent lowers it by 1/UPSTREAM_RECENT_RUNS.
 */
static void upstream_adapt_limit(struct upstream *upstream,
				 enum upstream_end end)
{
	uint32_t limit = upstream->limit_milli;
	bool slow = upstream->nr_runs >= UPSTREAM_RECENT_RUNS &&
		    upstream->recent_us / 2 > upstream->baseline_us;

	uint32_t max = upstream_max(upstream) * MILLI;
	uint32_t step = MILLI * MILLI / MAX(limit, MILLI);

	if (end == UPSTREAM_END_BUSY)
		limit -= limit / UPSTREAM_RECENT_RUNS;
	else if (end == UPSTREAM_END_OK && slow)
		limit -= MIN(limit, step);
	else if (end == UPSTREAM_END_OK)
		limit += step;
	limit = CLAMP(limit, max / LIMIT_FLOOR_DIVISOR, max);
	upstream->limit_milli = MAX(limit, MILLI);
}

static void upstream_record_health(struct upstream *upstream,
				   enum upstream_end end, uint64_t now_us)
{
	switch (end) {
	case UPSTREAM_END_OK:
		upstream->nr_failed = 0;
		if (now_us >
		    upstream->ejected_until_us + EJECT_MAX_MS * 1000ull)
			upstream->nr_ejected = 0;
		break;
	case UPSTREAM_END_FAILED:
		upstream->nr_failed++;
		break;
	case UPSTREAM_END_NO_CONNECTION:
		upstream->nr_failed = EJECT_FAILURES;
		break;
	case UPSTREAM_END_NO_PERMIT:
		upstream->no_permit_until_us =
			now_us + NO_PERMIT_PAUSE_MS * 1000ull;
		break;
	case UPSTREAM_END_BUSY:
	case UPSTREAM_END_NEUTRAL:
		break;
	}
}

struct upstream *upstream_new(uint64_t agent_node)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->agent_node = agent_node;
	return upstream;
}

void upstream_free(void *upstream)
{
	g_free(upstream);
}

void upstream_report(struct upstream *upstream, const struct load *load,
		     uint32_t round_trip_us, uint64_t now_us)
{
	uint32_t nr = MIN(upstream->nr_sent, UPSTREAM_SEND_HISTORY);
	uint32_t unseen = 0;

	/*
	 * An attempt sent less than a round trip ago had not arrived when the
	 * agent sent the report.
	 */
	for (uint32_t i = 1; i <= nr; i++) {
		uint32_t at = (upstream->nr_sent - i) % UPSTREAM_SEND_HISTORY;

		if (upstream->sent_us[at] + round_trip_us <= now_us)
			break;
		unseen++;
	}
	upstream->own_unreported = MIN(unseen, upstream->own_open);
	upstream->load = *load;
	upstream->reported_us = now_us;
	if (!upstream->limit_milli)
		upstream->limit_milli = upstream_max(upstream) * MILLI;
	upstream->limit_milli =
		MIN(upstream->limit_milli, upstream_max(upstream) * MILLI);
}

void upstream_sent(struct upstream *upstream, uint64_t now_us)
{
	uint32_t at = upstream->nr_sent % UPSTREAM_SEND_HISTORY;

	upstream->sent_us[at] = now_us;
	upstream->nr_sent++;
	upstream->own_open++;
	upstream->own_unreported++;
}

void upstream_ended(struct upstream *upstream,
		    const struct upstream_sample *sample, uint64_t now_us)
{
	g_assert(upstream->own_open > 0);
	upstream->own_open--;
	upstream->own_unreported =
		MIN(upstream->own_unreported, upstream->own_open);
	if (sample->end == UPSTREAM_END_OK) {
		upstream_record_run(upstream, sample->run_us, now_us);
		upstream_record_path(upstream, sample);
	}
	upstream_adapt_limit(upstream, sample->end);
	upstream_record_health(upstream, sample->end, now_us);
}

uint32_t upstream_load(const struct upstream *upstream)
{
	uint32_t reported = upstream->load.in_flight + upstream->load.queued;

	return MAX(reported + upstream->own_unreported, upstream->own_open);
}

uint32_t upstream_limit(const struct upstream *upstream, uint64_t now_us)
{
	uint64_t limit = upstream->limit_milli;
	uint64_t age_us = now_us - upstream->slow_start_us;

	if (upstream->slow_start_us && age_us < SLOW_START_MS * 1000ull)
		limit = limit * age_us / (SLOW_START_MS * 1000ull);
	return (uint32_t)MAX(limit / MILLI, 1);
}

bool upstream_is_open(const struct upstream *upstream, uint64_t now_us)
{
	return upstream_max(upstream) > 0 && !upstream->load.leaving &&
	       now_us < upstream->reported_us + LOAD_TTL_MS * 1000ull;
}

bool upstream_is_ejected(const struct upstream *upstream, uint64_t now_us)
{
	return now_us < upstream->ejected_until_us;
}

bool upstream_should_eject(const struct upstream *upstream)
{
	return upstream->nr_failed >= EJECT_FAILURES;
}

void upstream_eject(struct upstream *upstream, uint64_t now_us)
{
	uint64_t time_ms = (uint64_t)EJECT_BASE_MS << upstream->nr_ejected;

	time_ms = MIN(time_ms, EJECT_MAX_MS);
	if (upstream->nr_ejected < EJECT_MAX_DOUBLINGS)
		upstream->nr_ejected++;
	upstream->nr_failed = 0;
	upstream->ejected_until_us = now_us + time_ms * 1000;
	upstream->slow_start_us = upstream->ejected_until_us;
}

uint32_t upstream_service_time(const struct upstream *upstream,
			       uint32_t median_us, uint64_t now_us)
{
	uint32_t own_us = upstream->load.service_time_us;

	if (!own_us)
		return median_us;
	return median_us ? upstream_decay(upstream, own_us, median_us, now_us) :
			   own_us;
}

uint32_t upstream_stall_ppm(const struct upstream *upstream, uint64_t now_us)
{
	return upstream_decay(upstream, upstream->stall_ppm, 0, now_us);
}
