#ifndef INTAKE_H
#define INTAKE_H

/**
 * @file intake.h
 * The entry's part in workflows: forwards clients' calls to the control leader
 * and returns its replies. The only state is the calls in progress. All calls
 * are idempotent, so a call without a reply is sent again, also to a new
 * leader.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct intake;

struct intake_host_ops {
	/** Answers the caller of @a ticket; @a reply is valid in the call. */
	void (*respond)(void *ctx, uint64_t ticket,
			const struct flow_reply *reply);
};

struct intake_opts {
	const struct intake_host_ops *host;
	void *host_ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
};

struct intake *intake_new(struct node *node, const struct intake_opts *opts);

/**
 * Accepts a caller's request and copies it; call->ticket identifies it.
 * @a timeout_ms is how long the caller waits, 0 for the default. Without a
 * reply the answer is RESULT_NO_QUORUM if the call was sent to no leader, and
 * RESULT_OUTCOME_UNKNOWN if it was sent to one.
 */
void intake_call(struct intake *intake, const struct flow_call *call,
		 uint32_t timeout_ms);

/** Called when the caller has disconnected; it gets no answer. */
void intake_abandon(struct intake *intake, uint64_t ticket);

/** Returns true while a leader and a bundle are known. */
bool intake_ready(const struct intake *intake);

/** Answers all calls within @a limit_ms, including those that come later. */
void intake_stop_within(struct intake *intake, uint32_t limit_ms);

/** Dials more control addresses (NULL-terminated). */
void intake_add_controls(struct intake *intake, const char *const *addresses);

#endif /* INTAKE_H */
