#ifndef WORKER_H
#define WORKER_H

/**
 * @file worker.h
 * The platform's worker on the agent's VM and the runs of tasks it holds.
 * Every call to the worker goes through here. When the outcome of a call is
 * unknown, only a list that was asked for later decides what happened.
 */

#include <glib.h>

#include "agent.h"
#include "lease.h"
#include "platform.h"

enum run_phase {
	PHASE_STARTING = 1, /* start called, not confirmed */
	PHASE_RUNNING = 2,
	PHASE_CHECKPOINTING = 3, /* before a stop */
	PHASE_STOPPING = 4, /* ends when a list shows that it runs no more */
	PHASE_ENDED = 5,
};

/** One epoch of a task on this VM. */
struct worker_run {
	uint64_t task_id;
	uint64_t epoch;
	enum run_phase phase;
	bool calling; /* the call of this phase is under way */
	bool stop_after_start; /* stop as soon as the start is known */
	uint64_t phase_call_nr; /* lists with a lower number are too old */
	uint64_t start_until_us; /* the worker refuses a later start */
	uint32_t checkpoint_calls;
	struct lease lease;
	struct platform_task seen; /* as last listed */
	uint64_t seen_us;
	uint32_t end; /* enum task_run_state, in PHASE_ENDED */
	uint32_t result; /* enum result, in PHASE_ENDED */
	uint64_t reported_seq; /* first report of the present phase, or 0 */
	uint64_t end_acked_us; /* control knows the end since then, or 0 */
};

struct worker_ops {
	/** A list was taken; runs may have changed. */
	void (*listed)(void *ctx);
	/** The run ended; see end, result and seen. */
	void (*ended)(void *ctx, struct worker_run *run);
	/** A running task made a checkpoint, named in seen. */
	void (*checkpointed)(void *ctx, struct worker_run *run);
};

struct worker_opts {
	const struct agent_host_ops *host; /* platform_call only */
	void *host_ctx;
	const struct worker_ops *ops;
	void *ctx;
};

struct worker {
	struct node *node;
	struct worker_opts opts;
	GTree *runs; /* task_id -> struct worker_run * */
	GHashTable *calls; /* call_nr -> struct worker_call * */
	uint64_t call_nr;
	uint32_t nr_calls; /* under way, but for lists */
	bool listing;
	bool list_again; /* asked for while one was under way */
	bool listed; /* at least one list was taken */
};

struct worker *worker_new(struct node *node, const struct worker_opts *opts);
void worker_free(struct worker *worker);

struct worker_run *worker_find(const struct worker *worker, uint64_t task_id);

/** Asks for the worker's tasks; again if a list is under way. */
void worker_list(struct worker *worker);

/** Calls a start; @a start carries lease_ms and start_within_ms. */
void worker_start(struct worker *worker, const struct platform_start *start);

/** Stops a run, after a checkpoint if asked for. */
void worker_stop(struct worker *worker, struct worker_run *run,
		 bool checkpoint);

void worker_checkpoint(struct worker *worker, const struct worker_run *run);
void worker_throttle(struct worker *worker, const struct worker_run *run,
		     uint32_t cpu_ppm);

/** Passes leases on to the worker. */
void worker_renew_leases(struct worker *worker, uint32_t lease_ms,
			 const struct platform_lease_item *items,
			 uint32_t nr_items);

/** Takes a reply; see agent_platform_done(). */
void worker_call_done(struct worker *worker, uint64_t call_nr, uint32_t type,
		      const void *body);

#endif /* WORKER_H */
