#ifndef ENTRY_H
#define ENTRY_H

/**
 * @file entry.h
 * The entry role: accepts callers' requests from its front end, sends each one
 * to the agent of a VM that has an upstream of the requested service, and
 * returns the upstream's complete response or a refusal.
 */

#include "msg_request.h"
#include "node.h"

struct entry;

/** Functions that an entry's front end provides besides host_ops. */
struct entry_host_ops {
	/**
	 * Sends the answer to the caller of request @a ticket, exactly once
	 * per request. response->run is RUN_DONE for a response of the
	 * upstream, with its status and body. Otherwise it is RUN_NOT_RUN or
	 * RUN_UNKNOWN, and response->result is the reason. The response is
	 * only valid during the call.
	 */
	void (*respond)(void *ctx, uint64_t ticket,
			const struct response *response);
};

struct entry_opts {
	const struct entry_host_ops *host;
	void *host_ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
};

/** Gives the node the entry role. The node owns the returned entry. */
struct entry *entry_new(struct node *node, const struct entry_opts *opts);

/**
 * Accepts a caller's request and copies it. Ignores its request_nr, target_node
 * and attempt; a deadline_ms of 0 selects the service's default. May call
 * respond() before it returns.
 */
void entry_submit(struct entry *entry, uint64_t ticket,
		  const struct request *request);

/**
 * Called when the caller has disconnected. Cancels the request, unless it
 * already runs and isn't repeatable.
 */
void entry_abandon(struct entry *entry, uint64_t ticket);

/**
 * Returns true once the entry has a bundle, the operators' versioned
 * configuration, and can serve requests.
 */
bool entry_ready(const struct entry *entry);

#endif /* ENTRY_H */
