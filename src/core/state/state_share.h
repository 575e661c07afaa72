#ifndef STATE_SHARE_H
#define STATE_SHARE_H

/**
 * @file state_share.h
 * Weights and uses of queues in the replicated state, see plan/share.h. The
 * operators' weights stay until they are removed. The leader stores uses, so
 * that the next one goes on with them.
 */

#include "flow.h"
#include "result.h"

struct state;
struct state_outcome;

/** Returns the queue's record; NULL if it has neither a weight nor a use. */
const struct share_record *state_share_find(const struct state *state,
					    const char *host,
					    const char *prefix);

/**
 * Returns RESULT_OK if the weight may be set; RESULT_OUT_OF_RANGE,
 * RESULT_UNKNOWN_QUEUE or RESULT_OVERLOADED (SHARE_MAX_RECORDS) and a static
 * text in @a message if not. The weight of a queue that isn't in the bundle in
 * force can only be removed.
 */
enum result state_share_check(const struct state *state,
			      const struct cmd_share_weight *cmd,
			      const char **message);

/** Applies a struct cmd_share_weight. */
struct state_outcome state_share_set(struct state *state, const void *body);
/** Applies a struct cmd_share_uses. */
struct state_outcome state_share_use(struct state *state, const void *body);

void state_share_restore(struct state *state,
			 const struct share_record *record);

#endif /* STATE_SHARE_H */
