#ifndef CONTROL_CLAIM_H
#define CONTROL_CLAIM_H

/**
 * @file control_claim.h
 * The leader's handling of claims. A claim is a committed record that one entry
 * process dispatches the request with a given key, so that no other entry
 * process dispatches it, too.
 */

#include <stdint.h>

#include "msg_control.h"

struct control;

/** Replies with MSG_CLAIM_REPLY, for a new claim once it is committed. */
void control_claim_query(struct control *control, uint64_t from,
			 const struct claim_query *query);

/** Proposes to record the response of a claimed request. */
void control_claim_done(struct control *control, const struct claim_done *done);

#endif /* CONTROL_CLAIM_H */
