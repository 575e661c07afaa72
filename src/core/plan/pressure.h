#ifndef PRESSURE_H
#define PRESSURE_H

/**
 * @file pressure.h
 * How much a filler's image raises the tail latency of a serving image on the
 * same VM, learned from lagging figures. Pressure is tail latency in permille
 * of its target; each pair adds its weight for each core at which the filler
 * works.
 */

#include <glib.h>
#include <stdint.h>

#include "flow.h"

struct pressure;

/** A filler at work while a figure was taken. */
struct pressure_filler {
	const char *image;
	uint32_t cpu_millis; /* processors, less what its pace takes away */
};

struct pressure *pressure_new(void);
void pressure_free(struct pressure *pressure);

/** Takes one figure of a serving image beside these fillers. */
void pressure_sample(struct pressure *pressure, const char *serving,
		     uint32_t permille, const struct pressure_filler *fillers,
		     uint32_t nr_fillers);

/** Returns the permille of the target that a filler is expected to add. */
uint32_t pressure_predict(const struct pressure *pressure, const char *serving,
			  const struct pressure_filler *filler);

/** Sets a weight that was learned before. */
void pressure_restore(struct pressure *pressure,
		      const struct pressure_pair *pair);

/** Appends pairs whose weight has moved much since they were given last. */
void pressure_moved(struct pressure *pressure, GArray *pairs, uint32_t max);

#endif /* PRESSURE_H */
