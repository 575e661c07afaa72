#ifndef CONTROL_CLAIM_H
#define CONTROL_CLAIM_H

/**
 * @file control_claim.h
 * The leader's answers to entries that claim requests.
 */

#include <stdint.h>

#include "msg_control.h"

struct control;

/** Answers with MSG_CLAIM_REPLY, after a commit if the claim is new. */
void control_claim_query(struct control *control, uint64_t from,
			 const struct claim_query *query);

void control_claim_done(struct control *control, const struct claim_done *done);

#endif /* CONTROL_CLAIM_H */
