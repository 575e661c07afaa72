#ifndef FLOW_RESTARTS_H
#define FLOW_RESTARTS_H

/**
 * @file flow_restarts.h
 * Series of faults around workers that are restarted under their identity, in
 * the simulation of flow_world.h. The processes that knew of calls to the
 * earlier incarnation end, are replaced, or can't report any more.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * Plays workflows beside several such series, which follow from the seed, and
 * asserts that all workflows complete afterwards. Prints logs and the faults if
 * @a verbose is set.
 */
void flow_restarts_play(uint32_t seed, bool verbose);

#endif /* FLOW_RESTARTS_H */
