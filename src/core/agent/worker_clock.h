#ifndef WORKER_CLOCK_H
#define WORKER_CLOCK_H

/**
 * @file worker_clock.h
 * Tells incarnations of a worker apart by the worker's clock. Answers to
 * starts, stops and changes of pace don't name the incarnation that answers,
 * but they have its clock, which begins at 0 with each incarnation.
 */

#include <stdint.h>

/** A reading of the worker's clock; times are on the agent's clock. */
struct worker_clock {
	uint64_t read_ms; /* the reading, 0: none */
	uint64_t sent_us; /* when the answered call was sent */
	uint64_t received_us; /* when the answer arrived */
};

enum worker_clock_origin {
	WORKER_CLOCK_UNKNOWN = 0, /* either is possible */
	/** The incarnation of the known reading. */
	WORKER_CLOCK_SAME = 1,
	/** A later incarnation, or the clock stood still meanwhile. */
	WORKER_CLOCK_OTHER = 2,
};

/**
 * Returns the lowest clock, in ms, that the incarnation of the reading
 * @a known can have in an answer to a call that was sent at @a sent_us.
 */
uint64_t worker_clock_min_ms(const struct worker_clock *known,
			     uint64_t sent_us);

/**
 * Returns which incarnation the reading @a next is of. Both clocks may run slow
 * or fast by WORKER_CLOCK_SLOW_PERMILLE.
 */
enum worker_clock_origin worker_clock_origin(const struct worker_clock *known,
					     const struct worker_clock *next);

#endif /* WORKER_CLOCK_H */
