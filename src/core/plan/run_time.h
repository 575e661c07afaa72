#ifndef RUN_TIME_H
#define RUN_TIME_H

/**
 * @file run_time.h
 * Run times of tasks, learned by queue and image from runs that have ended as
 * done. Times are at full pace: time during which a run was throttled counts in
 * proportion to its pace. Clients' estimates may be off by 90 %, and are used
 * only until enough runs have ended.
 */

#include <stdbool.h>
#include <stdint.h>

struct run_times;

/** The run time of tasks of one queue and image. */
struct run_time {
	uint64_t mean_ms; /* at full pace */
	uint64_t high_ms; /* RUN_TIME_HIGH_PERCENT of the runs are shorter */
};

struct run_times *run_times_new(void);
void run_times_free(struct run_times *times);

/**
 * Adds the time of a run that has ended as done. If RUN_TIME_PAIRS_MAX pairs of
 * a queue and an image are known, a new one replaces the least recently used.
 */
void run_times_add(struct run_times *times, const char *queue,
		   const char *image, uint64_t full_ms);

/**
 * Sets @a time to the learned run time. Returns false if too few runs of the
 * queue and image are known.
 */
bool run_times_get(struct run_times *times, const char *queue,
		   const char *image, struct run_time *time);

/** Returns the number of pairs of a queue and an image. */
uint32_t run_times_nr(const struct run_times *times);

#endif /* RUN_TIME_H */
