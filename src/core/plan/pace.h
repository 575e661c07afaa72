#ifndef PACE_H
#define PACE_H

/**
 * @file pace.h
 * How fast the fillers of one VM may work: as fast as the tails of the serving
 * tasks beside them allow. The agent sets paces by it, the leader foresees them
 * when it chooses a VM.
 */

#include "pressure.h"

/** A serving task. */
struct pace_serving {
	uint32_t image; /* pressure_image() */
	uint32_t headroom_permille; /* of utilization, that fillers may add */
};

/** A filler, or several of one image. */
struct pace_filler {
	uint32_t image; /* pressure_image() */
	uint32_t share_permille; /* of the VM's processors at full pace */
	uint32_t pace_permille; /* result */
};

/** Returns what fillers may add to this load of a serving task, in permille. */
uint32_t pace_headroom(uint32_t load_permille);

/**
 * Sets the paces. Fillers that press least for their processors go first, of
 * equal ones the first; @a servings is used up.
 */
void pace_allocate(const struct pressure *pressure,
		   struct pace_serving *servings, uint32_t nr_servings,
		   struct pace_filler *fillers, uint32_t nr_fillers);

#endif /* PACE_H */
