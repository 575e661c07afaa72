#ifndef TIMER_H
#define TIMER_H

/**
 * @file timer.h
 * Timers of one node in a binary heap. Time is in microseconds of the host's
 * monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#define TIMER_NEVER UINT64_MAX

/** One timer, embedded in its owner; zero-initialize, then set fn and data. */
struct timer {
	void (*fn)(void *data, uint64_t now_us);
	void *data;
	uint64_t due_us;
	uint32_t slot; /* heap position + 1, 0 while not armed */
};

struct timers;

struct timers *timers_new(void);
void timers_free(struct timers *timers);

/** Arms @a timer at @a due_us, moving it if it is armed already. */
void timer_set(struct timers *timers, struct timer *timer, uint64_t due_us);

/** Disarms @a timer; a timer that isn't armed is left alone. */
void timer_cancel(struct timers *timers, struct timer *timer);

bool timer_armed(const struct timer *timer);

/** Runs every timer due at @a now_us; a timer may rearm or cancel any other. */
void timers_run(struct timers *timers, uint64_t now_us);

/** Returns the earliest due time, TIMER_NEVER if no timer is armed. */
uint64_t timers_next_us(const struct timers *timers);

#endif /* TIMER_H */
