#ifndef HOST_CONTROL_H
#define HOST_CONTROL_H

/**
 * @file host_control.h
 * The host of the control role. Another protocol for operators may stand in
 * front of its own one on the same address.
 */

#include "op.h"
#include "role_host.h"

struct host_control;

/** A protocol of its own for operators' requests. */
struct control_front_ops {
	/** Takes a request; false leaves it to the own protocol. */
	bool (*request)(void *ctx, struct http_request *request);
	/** Answers a request that it took; false if it took it not. */
	bool (*respond)(void *ctx, struct http_request *request, uint32_t type,
			const void *body);
	/** The caller of a request has gone. */
	void (*gone)(void *ctx, uint64_t ticket);
};

/** @a host is what host_control_ops.open() returned. */
void host_control_set_front(struct host_control *host,
			    const struct control_front_ops *ops, void *ctx);

/** Passes an operation to the core; its reply goes to control_front_ops. */
void host_control_ask(struct host_control *host, uint64_t ticket, uint32_t type,
		      const void *body);

#endif /* HOST_CONTROL_H */
