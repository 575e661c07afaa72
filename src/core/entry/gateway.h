#ifndef GATEWAY_H
#define GATEWAY_H

/**
 * @file gateway.h
 * The entry's part in workflows: forwards clients' calls to the control leader
 * and returns its replies. The only state is the calls in progress. All calls
 * are idempotent, so a call without a reply is sent again, also to a new
 * leader.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct gateway;

struct gateway_host_ops {
	/** Answers the caller of @a ticket; @a reply is valid in the call. */
	void (*respond)(void *ctx, uint64_t ticket,
			const struct flow_reply *reply);
};

struct gateway_opts {
	const struct gateway_host_ops *host;
	void *host_ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
};

struct gateway *gateway_new(struct node *node, const struct gateway_opts *opts);

/**
 * Accepts a caller's request and copies it; call->ticket identifies it.
 * @a timeout_ms is how long the caller waits, 0 for the default. Without a
 * reply the answer is RESULT_NO_QUORUM if the call was sent to no leader, and
 * RESULT_OUTCOME_UNKNOWN if it was sent to one.
 */
void gateway_call(struct gateway *gateway, const struct flow_call *call,
		  uint32_t timeout_ms);

/** Called when the caller has disconnected; it gets no answer. */
void gateway_abandon(struct gateway *gateway, uint64_t ticket);

/** Returns true while a leader and a bundle are known. */
bool gateway_ready(const struct gateway *gateway);

/** Answers all calls within @a limit_ms, including those that come later. */
void gateway_stop_within(struct gateway *gateway, uint32_t limit_ms);

/** Dials more control addresses (NULL-terminated). */
void gateway_add_controls(struct gateway *gateway,
			  const char *const *addresses);

#endif /* GATEWAY_H */
