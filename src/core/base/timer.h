#ifndef TIMER_H
#define TIMER_H

/**
 * @file timer.h
 * Timers of one node (the core's part of a process), in a binary heap ordered
 * by due time. Times are microseconds of the monotonic clock of the program
 * that embeds the core.
 */

#include <stdbool.h>
#include <stdint.h>

#define TIMER_NEVER UINT64_MAX

/** A timer embedded in its owner. Zero-initialize it, then set fn and data. */
struct timer {
	void (*fn)(void *data, uint64_t now_us);
	void *data;
	uint64_t due_us;
	uint32_t slot; /* position in the heap + 1, 0 if not armed */
};

struct timers;

struct timers *timers_new(void);
void timers_free(struct timers *timers);

/** Arms @a timer for @a due_us. A timer that is already armed is moved. */
void timer_set(struct timers *timers, struct timer *timer, uint64_t due_us);

/** Disarms @a timer. Does nothing if it isn't armed. */
void timer_cancel(struct timers *timers, struct timer *timer);

bool timer_armed(const struct timer *timer);

/**
 * Disarms and calls every timer that is due at @a now_us. A called timer may
 * arm or cancel any timer, itself included.
 */
void timers_run(struct timers *timers, uint64_t now_us);

/** Returns the earliest due time, or TIMER_NEVER if no timer is armed. */
uint64_t timers_next_us(const struct timers *timers);

#endif /* TIMER_H */
