#include "worker_clock.h"

#include "tunables.h"

/* Readings are rounded down to milliseconds. */
#define READING_ERROR_MS 2

static uint64_t slow_ms(uint64_t us)
{
	return us / 1000 * (1000 - WORKER_CLOCK_SLOW_PERMILLE) / 1000;
}

static uint64_t fast_ms(uint64_t us)
{
	return us / 1000 * (1000 + WORKER_CLOCK_SLOW_PERMILLE) / 1000;
}

uint64_t worker_clock_min_ms(const struct worker_clock *known, uint64_t sent_us)
{
	uint64_t before_ms;

	if (sent_us >= known->received_us)
		return known->read_ms + slow_ms(sent_us - known->received_us);
	/* The call may have been executed before the known reading. */
	before_ms = fast_ms(known->received_us - sent_us) + 1;
	return known->read_ms > before_ms ? known->read_ms - before_ms : 0;
}

enum worker_clock_origin worker_clock_origin(const struct worker_clock *known,
					     const struct worker_clock *next)
{
	uint64_t age_max_ms;

	if (!known->read_ms || !next->read_ms)
		return WORKER_CLOCK_UNKNOWN;
	if (next->read_ms + READING_ERROR_MS <
	    worker_clock_min_ms(known, next->sent_us))
		return WORKER_CLOCK_OTHER;
	/* A later incarnation has started after the known reading. */
	age_max_ms = next->received_us > known->sent_us ?
			     fast_ms(next->received_us - known->sent_us) :
			     0;
	return next->read_ms > age_max_ms + READING_ERROR_MS ?
		       WORKER_CLOCK_SAME :
		       WORKER_CLOCK_UNKNOWN;
}
