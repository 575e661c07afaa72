#ifndef AGENT_H
#define AGENT_H

/**
 * @file agent.h
 * The agent role. An agent runs on each VM, next to the VM's upstreams, which
 * serve requests, and its worker, which runs tasks. The agent admits requests
 * within the upstreams' slots and connections. It has the worker run tasks for
 * as long as the leader grants leases.
 */

#include "command.h"
#include "msg_request.h"
#include "node.h"
#include "platform.h"
#include "result.h"

struct agent;

/**
 * Functions that the host, the program that embeds the agent, provides in
 * addition to host_ops.
 */
struct agent_host_ops {
	/**
	 * Sends a request to the upstream at @a address. The host calls
	 * agent_upstream_done() exactly once, never from within this function.
	 */
	void (*upstream_call)(void *ctx, uint64_t call_nr, const char *address,
			      const struct request *request);
	/** Cancels a call; agent_upstream_done() is still called for it. */
	void (*upstream_cancel)(void *ctx, uint64_t call_nr);
	/**
	 * Calls the worker with a message of the PLATFORM_* type @a type; the
	 * body is borrowed. The host calls agent_platform_done() exactly once,
	 * never from within this function.
	 */
	void (*platform_call)(void *ctx, uint64_t call_nr, uint32_t type,
			      const void *body);
};

struct agent_opts {
	const struct agent_host_ops *host;
	void *host_ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
	struct vm_record vm; /* name, zone, rack and capacity of the VM */
};

/** How a call to an upstream ended. */
struct upstream_result {
	bool connected; /* false: the request was never sent */
	bool refused; /* no process listens there; the request wasn't sent */
	bool complete; /* the whole response was read */
	/**
	 * The request was sent again because the reused connection failed; the
	 * server may have received the first copy, too.
	 */
	bool resent;
	uint32_t status; /* HTTP status code */
	char content_type[KEY_BYTES];
	GBytes *body; /* borrowed */
};

/** The worker's answer to a call. */
struct platform_answer {
	uint32_t type; /* PLATFORM_REPLY, PLATFORM_TASKS or TYPE_NONE */
	const void *body; /* borrowed; NULL: the call's outcome is unknown */
	bool resent; /* see struct upstream_result */
};

struct agent *agent_new(struct node *node, const struct agent_opts *opts);

/**
 * Handles the announcement of an upstream. The announcement expires after
 * UPSTREAM_ANNOUNCE_TTL_MS unless it is repeated.
 */
enum result agent_announce(struct agent *agent,
			   const struct platform_announce *announce);

/** Handles the withdrawal of an upstream: it gets no new requests. */
void agent_withdraw(struct agent *agent, const char *upstream_id);

void agent_upstream_done(struct agent *agent, uint64_t call_nr,
			 const struct upstream_result *result);

/** Handles the worker's answer to a call. */
void agent_platform_done(struct agent *agent, uint64_t call_nr,
			 const struct platform_answer *answer);

#endif /* AGENT_H */
