#ifndef AGENT_H
#define AGENT_H

/**
 * @file agent.h
 * The agent role, beside the upstreams and the worker of one VM: admits
 * requests within slots and connections, and runs tasks under leases.
 */

#include "command.h"
#include "msg_request.h"
#include "node.h"
#include "platform.h"
#include "result.h"

struct agent;

/** What an agent's host provides besides host_ops. */
struct agent_host_ops {
	/**
	 * Sends a request to the upstream at @a address. The host answers
	 * once with agent_upstream_done(), never from within this call.
	 */
	void (*upstream_call)(void *ctx, uint64_t call_nr, const char *address,
			      const struct request *request);
	/** Gives up on a call; agent_upstream_done() still follows. */
	void (*upstream_cancel)(void *ctx, uint64_t call_nr);
	/**
	 * Calls the worker: a PLATFORM_* type and its body, borrowed. The host
	 * answers once with agent_platform_done(), never from within.
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
	bool refused; /* nobody listens at the address; nothing was sent */
	bool complete; /* the whole response was read */
	uint32_t status;
	char content_type[KEY_BYTES];
	GBytes *body; /* borrowed */
};

struct agent *agent_new(struct node *node, const struct agent_opts *opts);

/** An upstream announced itself; repeated before UPSTREAM_ANNOUNCE_TTL_MS. */
enum result agent_announce(struct agent *agent,
			   const struct platform_announce *announce);

/** An upstream took its announcement back: no new requests. */
void agent_withdraw(struct agent *agent, const char *upstream_id);

void agent_upstream_done(struct agent *agent, uint64_t call_nr,
			 const struct upstream_result *result);

/**
 * A worker's reply: PLATFORM_REPLY or PLATFORM_TASKS with its body, or
 * TYPE_NONE and NULL if the outcome of the call is unknown.
 */
void agent_platform_done(struct agent *agent, uint64_t call_nr, uint32_t type,
			 const void *body);

#endif /* AGENT_H */
