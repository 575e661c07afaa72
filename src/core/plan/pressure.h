#ifndef PRESSURE_H
#define PRESSURE_H

/**
 * @file pressure.h
 * How much fillers raise the tail latency of serving tasks on the same VM,
 * learned from measurements that arrive late. A filler is a best-effort task
 * that uses processors which others leave idle; a serving task is latency-
 * critical and has a target for its tail latency.
 *
 * The model is a queue, whose tail latency grows with 1 / (1 - utilization).
 * The utilization of a serving task is the load of its workflow, which varies
 * over time, plus the pressure of the fillers. A filler's pressure is the
 * weight of its image on the serving task's image times the share of the VM's
 * processors that the filler uses. The weight is the utilization that a filler
 * on all processors of the VM would add.
 */

#include <glib.h>
#include <stdint.h>

#include "flow.h"

struct pressure;

/** A filler that ran while a sample was taken. */
struct pressure_filler {
	uint32_t image; /* result of pressure_image() */
	uint32_t share_permille; /* used share of the VM's processors */
};

/** One measurement of a serving task. */
struct pressure_sample {
	const char *workflow; /* id; a workflow's tasks share one load */
	uint32_t image; /* result of pressure_image() */
	uint32_t tail_ms; /* tail latency */
	uint32_t target_ms; /* target of the tail latency, above 0 */
	const struct pressure_filler *fillers; /* fillers on the same VM */
	uint32_t nr_fillers;
	uint64_t now_us;
};

struct pressure *pressure_new(void);
void pressure_free(struct pressure *pressure);

/** Returns the number of an image, assigned when its name is first passed. */
uint32_t pressure_image(struct pressure *pressure, const char *name);

/** Returns the image numbers (uint32_t) of all fillers seen so far. */
const GArray *pressure_fillers(const struct pressure *pressure);

/**
 * Returns the learned weight of a filler's image on a serving task's image, in
 * permille, without a margin for uncertainty; 0 for a pair that was never
 * sampled.
 */
uint32_t pressure_learned_weight(const struct pressure *pressure,
				 uint32_t serving, uint32_t filler);

/** Updates the workflow's load and the fillers' weights from one sample. */
void pressure_learn(struct pressure *pressure,
		    const struct pressure_sample *sample);

/**
 * Returns the utilization that a filler on all of a VM's processors would add
 * to a task of the serving image, in permille, plus a margin that shrinks as
 * the weight becomes certain. Returns 0 if weight and margin together are below
 * the noise of the samples.
 */
uint32_t pressure_weight(const struct pressure *pressure, uint32_t serving,
			 uint32_t filler);

/** Returns the utilization that fillers add to a serving task, in permille. */
uint32_t pressure_added(const struct pressure *pressure, uint32_t serving,
			const struct pressure_filler *fillers,
			uint32_t nr_fillers);

/** Returns the utilization that a tail latency implies, in permille. */
uint32_t pressure_utilization(uint32_t tail_ms, uint32_t target_ms);

/**
 * Returns the new estimate of a load that was estimated as @a load_permille
 * @a elapsed_us ago and is now measured as @a measured_permille. The rate of
 * change is limited, because loads vary slowly: a sudden rise is due to a
 * filler that has started, which raises the measured tail latency for up to a
 * second.
 */
uint32_t pressure_limit_slew(uint32_t load_permille, uint32_t measured_permille,
			     uint64_t elapsed_us);

/**
 * Returns the workflow's load in permille; an average load if the workflow has
 * no sample yet.
 */
uint32_t pressure_load(const struct pressure *pressure, const char *workflow);

/**
 * Returns what pressure_load() is expected to be in @a ahead_ms if it is
 * rising by the latest samples, else pressure_load().
 */
uint32_t pressure_load_ahead(const struct pressure *pressure,
			     const char *workflow, uint32_t ahead_ms,
			     uint64_t now_us);

/** Drops the load of a workflow that has ended. */
void pressure_forget(struct pressure *pressure, const char *workflow);

/** Sets a weight that an earlier leader has learned. */
void pressure_restore(struct pressure *pressure,
		      const struct pressure_pair *pair);

/** Fills in @a pair with the weight of two images. */
void pressure_pair(const struct pressure *pressure, uint32_t serving,
		   uint32_t filler, struct pressure_pair *pair);

/**
 * Appends to @a pairs, up to a length of @a max, the pairs whose weight has
 * changed much since this function or pressure_restore() last handled them.
 */
void pressure_collect_changed(struct pressure *pressure, GArray *pairs,
			      uint32_t max);

#endif /* PRESSURE_H */
