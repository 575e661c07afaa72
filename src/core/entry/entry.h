#ifndef ENTRY_H
#define ENTRY_H

/**
 * @file entry.h
 * The entry role: takes callers' requests from its front end, picks an agent
 * for each, and hands back the whole response or a refusal.
 */

#include "msg_request.h"
#include "node.h"

struct entry;

/** What an entry's front end provides besides host_ops. */
struct entry_host_ops {
	/**
	 * Answers the caller behind @a ticket, exactly once per request.
	 * run tells what is known of the work: RUN_DONE carries the upstream's
	 * status and body; else result says why there is none, and run is
	 * RUN_NOT_RUN or RUN_UNKNOWN. The response is borrowed for the call.
	 */
	void (*respond)(void *ctx, uint64_t ticket,
			const struct response *response);
};

struct entry_opts {
	const struct entry_host_ops *host;
	void *host_ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
};

/** Makes the node an entry; the node owns the role. */
struct entry *entry_new(struct node *node, const struct entry_opts *opts);

/**
 * Takes a caller's request. request_nr, target_node and attempt are ignored;
 * deadline_ms 0 takes the service's default. The request is copied. The answer
 * may come before this returns.
 */
void entry_submit(struct entry *entry, uint64_t ticket,
		  const struct request *request);

/** The caller has gone; the request is cancelled where that is allowed. */
void entry_abandon(struct entry *entry, uint64_t ticket);

/** Returns true once a bundle is known and requests can be served. */
bool entry_ready(const struct entry *entry);

#endif /* ENTRY_H */
