#ifndef RUNNER_H
#define RUNNER_H

/**
 * @file runner.h
 * The agent's part in workflows. The runner tracks the current incarnation of
 * the worker on its VM, renews the worker's only lease as the leader grants it,
 * carries out the leader's orders, and reports runs and their ends. It stores
 * nothing on disk: after a restart it learns from the worker's lists which
 * tasks run.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct runner;

/** Functions that a runner's host provides in addition to host_ops. */
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
 * incarnation. Returns RESULT_OK, or RESULT_STALE if a later heartbeat or a
 * later incarnation was seen before; then only "draining" is used. An
 * incarnation that isn't the current one, or a new address, is only used after
 * it has answered a probe.
 */
enum result runner_heartbeat(struct runner *runner,
			     const struct worker_incarnation *incarnation,
			     const char *address, uint64_t seq);

/**
 * Handles the deregistration of a worker; @a born_ms is 0 if unknown. The
 * worker counts as draining at once, and as ended when a probe shows that it
 * doesn't run any more.
 */
void runner_deregister(struct runner *runner, const char *id, uint64_t born_ms);

/** Handles the reply to a call; @a reply is borrowed. */
void runner_call_done(struct runner *runner, uint64_t call_nr,
		      const struct exec_reply *reply);

/** Returns the leader's address, "" if none is connected. */
const char *runner_leader_address(const struct runner *runner);
/** Adds control addresses to dial (NULL-terminated). */
void runner_add_controls(struct runner *runner, const char *const *addresses);

#endif /* RUNNER_H */
