#ifndef CONTROL_H
#define CONTROL_H

/**
 * @file control.h
 * The control role: keeps the replicated state, grants leases and permits,
 * places tasks and answers operators.
 */

#include "node.h"
#include "op.h"
#include "raft.h"

struct control;

/** What a control host provides besides host_ops. */
struct control_host_ops {
	/** Answers the operator behind @a ticket; the body is borrowed. */
	void (*operator_respond)(void *ctx, uint64_t ticket, uint32_t type,
				 const void *body);
	/** Wall clock in milliseconds, for records that operators read. */
	uint64_t (*wall_ms)(void *ctx);
};

struct control_opts {
	const struct control_host_ops *host;
	void *host_ctx;
	const struct store_ops *store;
	void *store_ctx;
	const struct store_image *image;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
	uint32_t worker_lease_ms; /* longest that workers take, 0: unlimited */
	bool no_formation; /* a fresh replica waits to be added to a group */
	bool open; /* replicas outside the list may join */
	uint32_t losses; /* replicas that may be lost at a time, 0: by the list
			  */
};

struct control *control_new(struct node *node, const struct control_opts *opts);

/** Takes an operator's request, an OP_* type and its body, borrowed. */
void control_operate(struct control *control, uint64_t ticket, uint32_t type,
		     const void *body);

/** Replaces the list of control addresses of an open group. */
void control_set_addresses(struct control *control,
			   const char *const *addresses);

/** A sync of the store ended. */
void control_synced(struct control *control, uint64_t sync_nr,
		    enum result result);

#endif /* CONTROL_H */
