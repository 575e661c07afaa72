#ifndef CONTROL_H
#define CONTROL_H

/**
 * @file control.h
 * A control replica: one of the processes that keep the replicated state. Their
 * leader places tasks on VMs and answers operators. It grants leases, which let
 * a VM run tasks until a time, and permits, which let it start them.
 */

#include "load_policy.h"
#include "node.h"
#include "op.h"
#include "raft.h"

struct control;

/**
 * What the host, the program that runs a control replica, provides besides
 * host_ops.
 */
struct control_host_ops {
	/** Answers the operator's request @a ticket; the body is borrowed. */
	void (*operator_respond)(void *ctx, uint64_t ticket, uint32_t type,
				 const void *body);
	/**
	 * Asks the adviser, an outside service, which of the workers may run a
	 * step of a workflow, named "FLOW.OCCURRENCE.STEP"; an occurrence is
	 * one repetition of the workflow. The host answers once with
	 * control_advised(), but not before this function has returned. NULL:
	 * there is no adviser.
	 */
	void (*advise)(void *ctx, uint64_t call_nr, const char *step,
		       const char *const *workers, uint32_t nr_workers);
	/**
	 * Returns the wall clock in milliseconds, for records that operators
	 * read.
	 */
	uint64_t (*wall_ms)(void *ctx);
};

/**
 * A worker that may run a step, and the ticket that its start order carries.
 */
struct advice {
	char worker[NAME_BYTES];
	char ticket[NAME_BYTES];
};

struct control_opts {
	const struct control_host_ops *host;
	void *host_ctx;
	const struct store_ops *store;
	void *store_ctx;
	const struct store_image *image;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
	/* Longest lease that workers accept, 0: no limit. */
	uint32_t worker_lease_ms;
	/* A replica with an empty disk only joins an existing group. */
	bool no_formation;
	bool open; /* replicas outside control_addresses may join */
	/*
	 * Number of replicas that may fail at a time, 0: any minority of
	 * control_addresses.
	 */
	uint32_t losses;
	enum load_choice load_choice;
	struct load_limits load_limits;
};

struct control *control_new(struct node *node, const struct control_opts *opts);

/**
 * Handles an operator's request: an OP_* type and its body, which is borrowed.
 */
void control_operate(struct control *control, uint64_t ticket, uint32_t type,
		     const void *body);

/** Replaces the list of control addresses of an open group. */
void control_set_addresses(struct control *control,
			   const char *const *addresses);

/**
 * Reports the answer to control_host_ops.advise(): the workers that may run the
 * step. After an error the leader repeats the request later.
 */
void control_advised(struct control *control, uint64_t call_nr,
		     enum result result, const struct advice *advice,
		     uint32_t nr_advice);

/** Reports that a sync of the store has ended. */
void control_synced(struct control *control, uint64_t sync_nr,
		    enum result result);
/** Reports that the store's disk is full, or has space again. */
void control_store_full(struct control *control, bool full);

#endif /* CONTROL_H */
