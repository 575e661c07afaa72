#ifndef FLOW_UNANNOUNCED_H
#define FLOW_UNANNOUNCED_H

/**
 * @file flow_unannounced.h
 * Series of faults around workers that are restarted under their identity and
 * whose agents learn of it late or never, in the simulation of flow_world.h:
 * the first heartbeat comes late, often after the worker was cut off; starts
 * wait for the new incarnation; several incarnations follow each other within
 * milliseconds; answers are lost or overtake each other; agents are killed or
 * frozen at once. Machines are also suspended without a restart.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * Plays workflows beside several such series, which follow from the seed, and
 * asserts that all workflows complete afterwards. Prints logs and the faults if
 * @a verbose is set.
 */
void flow_unannounced_play(uint32_t seed, bool verbose);

#endif /* FLOW_UNANNOUNCED_H */
