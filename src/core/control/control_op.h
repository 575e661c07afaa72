#ifndef CONTROL_OP_H
#define CONTROL_OP_H

/**
 * @file control_op.h
 * Operators' requests that change something; lists are in control_list.h.
 */

#include <stdint.h>

#include "op.h"
#include "result.h"

struct control;

/** Answers @a ticket with an op_reply. */
void control_op_reply(struct control *control, uint64_t ticket,
		      enum result result, const char *message);

/** Handles one OP_* request. */
void control_op(struct control *control, uint64_t ticket, uint32_t type,
		const void *body);

#endif /* CONTROL_OP_H */
