#ifndef GATEWAY_H
#define GATEWAY_H

/**
 * @file gateway.h
 * Forwards clients' calls about workflows (to submit, query or cancel one) to
 * the leading control replica and returns its replies. It keeps only the calls
 * in progress. All calls are idempotent, so a call without a reply is sent
 * again, also to a new leader. The caller is told that a change was refused
 * only if every copy of the call was refused.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct gateway;

struct gateway_host_ops {
	/** Answers call @a ticket; @a reply is only valid during respond(). */
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
 * Forwards a copy of the call; call->ticket identifies it in respond().
 * @a timeout_ms is how long the caller waits, 0 for the default. If no leader
 * replies in time, the result is RESULT_OUTCOME_UNKNOWN if a leader may have
 * carried out the call, else RESULT_NO_QUORUM.
 */
void gateway_call(struct gateway *gateway, const struct flow_call *call,
		  uint32_t timeout_ms);

/**
 * Called when the caller has disconnected; respond() isn't called. A submission
 * isn't sent to a leader again.
 */
void gateway_abandon(struct gateway *gateway, uint64_t ticket);

/**
 * Returns true while a leader and a bundle (the operators' versioned
 * configuration) are known and no shutdown has begun.
 */
bool gateway_ready(const struct gateway *gateway);

/**
 * Answers all calls by @a limit_ms from now, including those made from now on.
 */
void gateway_stop_within(struct gateway *gateway, uint32_t limit_ms);

/** Dials more control addresses (NULL-terminated). */
void gateway_add_controls(struct gateway *gateway,
			  const char *const *addresses);

#endif /* GATEWAY_H */
