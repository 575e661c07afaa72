#ifndef STATE_FLOW_QUEUE_H
#define STATE_FLOW_QUEUE_H

/**
 * @file state_flow_queue.h
 * The values of a queue that its workflows follow: service, priority, attempts,
 * objective and tickets. Those of the bundle in force apply, also to workflows
 * that were accepted before. The last ones apply if the queue was removed.
 */

#include "flow.h"

struct state;

/**
 * Copies the queue's values to the workflow's record; returns true if one of
 * them differs.
 */
bool state_flow_set_queue(struct flow_record *record,
			  const struct bundle_queue *queue);
/** Returns the workflow's queue in the bundle in force, NULL if it has none. */
const struct bundle_queue *state_flow_queue(const struct state *state,
					    const struct flow_record *record);
/**
 * Makes all workflows that have not ended follow the bundle in force. One with
 * a task that has failed as often as is allowed now fails.
 */
void state_flow_apply_bundle(struct state *state);

#endif /* STATE_FLOW_QUEUE_H */
