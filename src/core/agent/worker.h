#ifndef WORKER_H
#define WORKER_H

/**
 * @file worker.h
 * The platform's worker on the agent's VM, and the runs of its tasks. A task's
 * runs are told apart by the epoch, which the leader raises with each placement
 * of the task. All calls to the worker are made here. Where the outcome of a
 * call is unknown, a list of the worker's tasks that was requested after the
 * call decides.
 */

#include <glib.h>

#include "agent.h"
#include "lease.h"
#include "platform.h"

enum run_phase {
	PHASE_STARTING = 1, /* the start call isn't confirmed yet */
	PHASE_RUNNING = 2,
	PHASE_CHECKPOINTING = 3, /* makes a checkpoint before it is stopped */
	PHASE_STOPPING = 4, /* stop called; no list has shown the end yet */
	PHASE_ENDED = 5,
};

/** The run of a task's latest epoch on this VM. */
struct worker_run {
	uint64_t task_id;
	uint64_t epoch;
	enum run_phase phase;
	bool call_pending; /* the call that the phase needs is in flight */
	bool stop_after_start; /* stop the run once its start is confirmed */
	uint64_t phase_call_nr; /* list calls up to this number are outdated */
	uint64_t start_until_us; /* the worker refuses a start after this */
	uint32_t checkpoint_calls; /* calls in PHASE_CHECKPOINTING so far */
	struct lease lease;
	struct platform_task seen; /* as last listed by the worker */
	uint64_t seen_us; /* when the list with seen arrived */
	uint32_t end; /* enum task_run_state, in PHASE_ENDED */
	uint32_t result; /* enum result, in PHASE_ENDED */
	uint64_t reported_seq; /* first report with this phase, 0: none yet */
	uint64_t end_acked_us; /* when the end was acknowledged, 0: not yet */
};

struct worker_ops {
	/** Called after a list of the worker's tasks has updated the runs. */
	void (*listed)(void *ctx);
	/** Called when a run has ended, with end, result and seen set. */
	void (*ended)(void *ctx, struct worker_run *run);
	/** Called when a running task has made the checkpoint named in seen. */
	void (*checkpointed)(void *ctx, struct worker_run *run);
};

struct worker_opts {
	const struct agent_host_ops *host; /* only platform_call is used */
	void *host_ctx;
	const struct worker_ops *ops;
	void *ctx;
};

struct worker {
	struct node *node;
	struct worker_opts opts;
	GTree *runs; /* task_id -> struct worker_run * */
	GHashTable *calls; /* call_nr -> struct worker_call * */
	uint64_t call_nr; /* number of the last call */
	uint32_t nr_calls; /* calls in flight other than list calls */
	bool listing; /* a list call is in flight */
	bool list_again; /* another list call must follow the current one */
	bool listed; /* at least one list was received */
	uint64_t listed_us; /* when the last received list was requested */
};

struct worker *worker_new(struct node *node, const struct worker_opts *opts);
void worker_free(struct worker *worker);

struct worker_run *worker_find(const struct worker *worker, uint64_t task_id);

/**
 * Requests a list of the worker's tasks. If a list call is in flight, the next
 * one is made when it has ended.
 */
void worker_list(struct worker *worker);

/** Starts a run; @a start must contain lease_ms and start_within_ms. */
void worker_start(struct worker *worker, const struct platform_start *start);

/** Stops a run, after a checkpoint if @a checkpoint is true. */
void worker_stop(struct worker *worker, struct worker_run *run,
		 bool checkpoint);

void worker_checkpoint(struct worker *worker, const struct worker_run *run);
void worker_throttle(struct worker *worker, const struct worker_run *run,
		     uint32_t cpu_ppm);

/** Extends the worker's leases of @a items to @a lease_ms from now. */
void worker_renew_leases(struct worker *worker, uint32_t lease_ms,
			 const struct platform_lease_item *items,
			 uint32_t nr_items);

/** Handles the answer to a call. */
void worker_call_done(struct worker *worker, uint64_t call_nr,
		      const struct platform_answer *answer);

#endif /* WORKER_H */
