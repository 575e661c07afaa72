#ifndef CONTROL_CLAIM_H
#define CONTROL_CLAIM_H

/**
 * @file control_claim.h
 * The leader's handling of claims, with which entries make sure that only one
 * of them dispatches a request.
 */

#include <stdint.h>

#include "msg_control.h"

struct control;

/** Replies with MSG_CLAIM_REPLY, for a new claim once it is committed. */
void control_claim_query(struct control *control, uint64_t from,
			 const struct claim_query *query);

void control_claim_done(struct control *control, const struct claim_done *done);

#endif /* CONTROL_CLAIM_H */
