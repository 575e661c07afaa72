#ifndef PACE_H
#define PACE_H

/**
 * @file pace.h
 * Computes the paces of the fillers on one VM, so that the fillers don't raise
 * the tail latency of the VM's serving tasks too much. A filler is a
 * best-effort task that uses processors which others leave idle; its pace is
 * the share of its full speed at which it may run. A serving task is
 * latency-critical. The agent sets the computed paces, the leader predicts them
 * when it chooses a VM.
 */

#include "pressure.h"

/** A serving task and the utilization that it can still take. */
struct pace_serving {
	uint32_t image; /* result of pressure_image() */
	uint32_t headroom_permille; /* utilization that fillers may add */
};

/** One filler, or several fillers of the same image. */
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
 * Sets the pace of each filler. Fillers that add the least utilization per
 * processor get headroom first, and fillers that add the same in the order of
 * the array. Reduces the headroom in @a servings by what the fillers add.
 */
void pace_allocate(const struct pressure *pressure,
		   struct pace_serving *servings, uint32_t nr_servings,
		   struct pace_filler *fillers, uint32_t nr_fillers);

#endif /* PACE_H */
