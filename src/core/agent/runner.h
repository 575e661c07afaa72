#ifndef RUNNER_H
#define RUNNER_H

/**
 * @file runner.h
 * The agent's part in workflows: it has the worker on its VM run their tasks as
 * the leader orders. A run is one execution of a task; an incarnation is one
 * execution of the worker's process, from its start to its end. The runner
 * tracks the worker's current incarnation, renews the one lease that covers all
 * runs of the worker, carries out the leader's orders to start and stop runs,
 * and reports runs and their ends to the leader. It stores nothing on disk:
 * after a restart it gets the runs from the worker's lists.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct runner;

/**
 * Functions that the host, the program that embeds the runner, provides in
 * addition to host_ops.
 */
struct runner_host_ops {
	/**
	 * Calls the worker; @a call is borrowed. The host calls
	 * runner_call_done() exactly once, never from within this function.
	 */
	void (*call)(void *ctx, uint64_t call_nr, const struct exec_call *call);
};

struct runner_opts {
	const struct runner_host_ops *host;
	void *host_ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
};

struct runner *runner_new(struct node *node, const struct runner_opts *opts);

/**
 * Handles a heartbeat of a worker. @a seq orders the heartbeats of one
 * incarnation. Returns RESULT_OK, or RESULT_STALE if a heartbeat with a higher
 * @a seq or of a later incarnation was received before; of a stale heartbeat,
 * only the draining of the current incarnation is recorded. A new incarnation,
 * or a new address of the current one, becomes the current one after the worker
 * there has answered a probe, a poll that changes nothing at the worker.
 */
enum result runner_heartbeat(struct runner *runner,
			     const struct worker_incarnation *incarnation,
			     const char *address, uint64_t seq);

/**
 * Handles the deregistration of a worker; @a born_ms is 0 if unknown. The
 * worker counts as draining at once, and as ended when a probe shows that its
 * process has terminated.
 */
void runner_deregister(struct runner *runner, const char *id, uint64_t born_ms);

/**
 * Handles a call that the host is about to send again, as the connection has
 * failed after the first copy was sent. The worker may execute both copies.
 */
void runner_call_resent(struct runner *runner, uint64_t call_nr);

/** Handles the reply to a call; @a reply is borrowed. */
void runner_call_done(struct runner *runner, uint64_t call_nr,
		      const struct exec_reply *reply);

/** Returns the leader's address, "" if no leader is connected. */
const char *runner_leader_address(const struct runner *runner);
/** Dials further control replicas; @a addresses is NULL-terminated. */
void runner_add_controls(struct runner *runner, const char *const *addresses);

#endif /* RUNNER_H */
