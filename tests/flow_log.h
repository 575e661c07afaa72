#ifndef FLOW_LOG_H
#define FLOW_LOG_H

/**
 * @file flow_log.h
 * Finds single runs in the leaders' lines `place` and `task-ended`, each of
 * which lists several.
 */

#include "sim.h"

/**
 * Returns the number of lines that list the run as placed, on the VM unless
 * @a vm is NULL. Tasks are named as FLOW.OCCURRENCE.STEP.INDEX.
 */
uint32_t flow_log_placed(const struct sim *sim, const char *task, uint32_t run,
			 const char *vm);
/** Returns the number of lines that list the run as ended, as @a end. */
uint32_t flow_log_ended(const struct sim *sim, const char *task, uint32_t run,
			const char *end);

#endif /* FLOW_LOG_H */
