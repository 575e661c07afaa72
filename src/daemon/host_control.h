#ifndef HOST_CONTROL_H
#define HOST_CONTROL_H

/**
 * @file host_control.h
 * The host of the control role. Another protocol for operators may stand in
 * front of its own one on the same address.
 */

#include "control.h"
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
	/** As control_host_ops.advise(); NULL if there is no adviser. */
	void (*advise)(void *ctx, uint64_t call_nr, const char *step,
		       const char *const *workers, uint32_t nr_workers);
	/** The caller of a request has gone. */
	void (*gone)(void *ctx, uint64_t ticket);
};

/** Passes the adviser's answer on; see control_advised(). */
void host_control_advised(struct host_control *host, uint64_t call_nr,
			  enum result result, const struct advice *advice,
			  uint32_t nr_advice);

/** @a host is what host_control_ops.open() returned. */
void host_control_set_front(struct host_control *host,
			    const struct control_front_ops *ops, void *ctx);

/** Passes an operation to the core; its reply goes to control_front_ops. */
void host_control_submit(struct host_control *host, uint64_t ticket,
			 uint32_t type, const void *body);

#endif /* HOST_CONTROL_H */
