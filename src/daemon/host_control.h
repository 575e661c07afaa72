#ifndef HOST_CONTROL_H
#define HOST_CONTROL_H

/**
 * @file host_control.h
 * Host of the control role: connects the role to the main loop, the store and
 * the HTTP server for operators. A front end may serve another protocol for
 * operators on the same address; requests that the front end doesn't handle go
 * to the built-in protocol.
 */

#include "control.h"
#include "op.h"
#include "role_host.h"

struct host_control;

/** Callbacks of a front end with another protocol for operators. */
struct control_front_ops {
	/** Handles a request; false leaves it to the built-in protocol. */
	bool (*request)(void *ctx, struct http_request *request);
	/**
	 * Responds to a request that the front end handles; returns false for
	 * any other request.
	 */
	bool (*respond)(void *ctx, struct http_request *request, uint32_t type,
			const void *body);
	/**
	 * Like control_host_ops.advise(), which queries the adviser, an outside
	 * service; NULL if there is no adviser.
	 */
	void (*advise)(void *ctx, uint64_t call_nr, const char *step,
		       const char *const *workers, uint32_t nr_workers);
	/** The caller of an unanswered request has disconnected. */
	void (*gone)(void *ctx, uint64_t ticket);
};

/** Passes the adviser's answer to the core; see control_advised(). */
void host_control_advised(struct host_control *host, uint64_t call_nr,
			  enum result result, const struct advice *advice,
			  uint32_t nr_advice);

/** Sets the front end; @a host comes from host_control_ops.open(). */
void host_control_set_front(struct host_control *host,
			    const struct control_front_ops *ops, void *ctx);

/** Passes an operation to the core; the reply goes to the front end. */
void host_control_submit(struct host_control *host, uint64_t ticket,
			 uint32_t type, const void *body);

#endif /* HOST_CONTROL_H */
