#ifndef PACE_H
#define PACE_H

/**
 * @file pace.h
 * Computes the paces of the fillers on one VM, at which they don't raise the
 * tail latency of the serving tasks there too much; see pressure.h for the
 * terms. The agent uses it to set paces, the leader to predict them when it
 * chooses a VM.
 */

#include "pressure.h"

/** A serving task. */
struct pace_serving {
	uint32_t image; /* result of pressure_image() */
	uint32_t headroom_permille; /* utilization that fillers may add */
};

/** A filler, or several of one image. */
struct pace_filler {
	uint32_t image; /* result of pressure_image() */
	uint32_t share_permille; /* share of the VM's cores at full pace */
	uint32_t pace_permille; /* result; 1000: full pace */
};

/**
 * Returns the utilization that fillers may add to a serving task with this
 * load, in permille.
 */
uint32_t pace_headroom(uint32_t load_permille);

/**
 * Sets the pace of each filler. Fillers that add the least utilization for
 * their processors are served first; equal ones in the order given. Modifies
 * @a servings.
 */
void pace_allocate(const struct pressure *pressure,
		   struct pace_serving *servings, uint32_t nr_servings,
		   struct pace_filler *fillers, uint32_t nr_fillers);

#endif /* PACE_H */
