#ifndef PRESSURE_H
#define PRESSURE_H

/**
 * @file pressure.h
 * How fillers raise the tail latency of the tasks that serve beside them,
 * learned from lagging figures. A tail grows with 1 / (1 - utilization), as in
 * a queue. The utilization is the load of the workflow, which swings, plus for
 * each filler the weight of the two images times the share of the VM's
 * processors that the filler uses.
 */

#include <glib.h>
#include <stdint.h>

#include "flow.h"

struct pressure;

/** A filler at work while a figure was taken. */
struct pressure_filler {
	uint32_t image; /* pressure_image() */
	uint32_t share_permille; /* of the VM's processors, in use */
};

/** One figure of a serving task. */
struct pressure_sample {
	const char *workflow; /* whose tasks share one load */
	uint32_t image; /* pressure_image() */
	uint32_t tail_ms;
	uint32_t target_ms; /* above 0 */
	const struct pressure_filler *fillers; /* at work meanwhile */
	uint32_t nr_fillers;
	uint64_t now_us;
};

struct pressure *pressure_new(void);
void pressure_free(struct pressure *pressure);

/** Returns the number of an image's name, the same for each call. */
uint32_t pressure_image(struct pressure *pressure, const char *name);

/** Returns the images that were seen as fillers, an array of uint32_t. */
const GArray *pressure_fillers(const struct pressure *pressure);

/** Returns the weight without the doubt, 0 for a pair that was never seen. */
uint32_t pressure_learned_weight(const struct pressure *pressure,
				 uint32_t serving, uint32_t filler);

/** Learns from one figure. */
void pressure_learn(struct pressure *pressure,
		    const struct pressure_sample *sample);

/**
 * Returns what a filler on all of a VM's processors would add to the
 * utilization of the serving image, in permille, and some more while that is in
 * doubt; 0 if it can't be told from nothing.
 */
uint32_t pressure_weight(const struct pressure *pressure, uint32_t serving,
			 uint32_t filler);

/** Returns what these fillers add to the utilization, in permille. */
uint32_t pressure_added(const struct pressure *pressure, uint32_t serving,
			const struct pressure_filler *fillers,
			uint32_t nr_fillers);

/** Returns the utilization that a tail tells of, in permille. */
uint32_t pressure_utilization(uint32_t tail_ms, uint32_t target_ms);

/**
 * Returns a load after @a elapsed_us if figures now say @a seen_permille. Loads
 * swing slowly; a tail that jumps tells of a filler's start, and figures go on
 * telling of it for a second.
 */
uint32_t pressure_limit_slew(uint32_t load_permille, uint32_t seen_permille,
			     uint64_t elapsed_us);

/** Returns the workflow's load, or a usual one if it isn't known; permille. */
uint32_t pressure_load(const struct pressure *pressure, const char *workflow);

/** Drops what is known of an ended workflow. */
void pressure_forget(struct pressure *pressure, const char *workflow);

/** Sets a weight that was learned before. */
void pressure_restore(struct pressure *pressure,
		      const struct pressure_pair *pair);

/** Fills @a pair with the weight of two images. */
void pressure_pair(const struct pressure *pressure, uint32_t serving,
		   uint32_t filler, struct pressure_pair *pair);

/** Appends pairs whose weight has moved much since they were given last. */
void pressure_collect_changed(struct pressure *pressure, GArray *pairs,
			      uint32_t max);

#endif /* PRESSURE_H */
