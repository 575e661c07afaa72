#ifndef GATEWAY_H
#define GATEWAY_H

/**
 * @file gateway.h
 * The entry's part in workflows: passes clients' calls on to the control leader
 * and answers them. It keeps nothing but the calls in progress. All calls are
 * idempotent, so one without a reply is repeated, also to the next leader.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct gateway;

struct gateway_host_ops {
	/** Answers the caller behind @a ticket; @a reply is borrowed. */
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
 * Takes a caller's request; call->ticket identifies it, the rest is copied.
 * @a timeout_ms is how long the caller waits, 0 if it didn't say. The answer is
 * RESULT_NO_QUORUM if no leader was asked, and RESULT_OUTCOME_UNKNOWN if one
 * was and didn't reply.
 */
void gateway_call(struct gateway *gateway, const struct flow_call *call,
		  uint32_t timeout_ms);

/** The caller behind the ticket has gone: no answer is wanted. */
void gateway_abandon(struct gateway *gateway, uint64_t ticket);

/** Returns true while a leader with a bundle in force is known. */
bool gateway_ready(const struct gateway *gateway);

/** Answers each call within this time, also those that come until then. */
void gateway_stop_within(struct gateway *gateway, uint32_t limit_ms);

/** Dials these control addresses (NULL-terminated) as well. */
void gateway_add_controls(struct gateway *gateway,
			  const char *const *addresses);

#endif /* GATEWAY_H */
