#ifndef CONTROL_OP_H
#define CONTROL_OP_H

/**
 * @file control_op.h
 * Operators' requests that change the state. control_list.h has those that only
 * read it.
 */

#include <stdint.h>

#include "op.h"
#include "result.h"

struct control;

/**
 * Answers the request @a ticket with an op_reply. A @a message of NULL stands
 * for the result's summary.
 */
void control_op_reply(struct control *control, uint64_t ticket,
		      enum result result, const char *message);

/** Handles an operator's request, an OP_* type. */
void control_op(struct control *control, uint64_t ticket, uint32_t type,
		const void *body);

#endif /* CONTROL_OP_H */
