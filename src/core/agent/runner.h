#ifndef RUNNER_H
#define RUNNER_H

/**
 * @file runner.h
 * The agent's part in workflows: knows the present life of the worker on its
 * VM, renews the worker's one lease from what the leader grants, carries out
 * the leader's orders and reports runs and their ends. It keeps nothing over a
 * restart; the worker's list tells what runs.
 */

#include "flow.h"
#include "node.h"
#include "result.h"

struct runner;

/** What a host provides besides host_ops. */
struct runner_host_ops {
	/**
	 * Calls the worker; @a call is borrowed. The host answers once with
	 * runner_call_done(), never from within this call.
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
 * A worker described itself. @a seq orders the calls of one life. Returns
 * RESULT_OK, or RESULT_STALE for a call that was overtaken by a later one or
 * by a later life; nothing but "draining" counts then. A life that isn't the
 * present one, and an address that is new, are used once they have answered.
 */
enum result runner_heartbeat(struct runner *runner,
			     const struct worker_incarnation *life,
			     const char *address, uint64_t seq);

/**
 * The life of the worker ends; @a born_ms is 0 if it isn't told. It is draining
 * at once, and ended when it is seen to be gone.
 */
void runner_deregister(struct runner *runner, const char *id, uint64_t born_ms);

/** Answers a call; @a reply is borrowed. */
void runner_call_done(struct runner *runner, uint64_t call_nr,
		      const struct exec_reply *reply);

/** Returns the leader's address, "" if none is connected. */
const char *runner_leader_address(const struct runner *runner);
/** Dials these control addresses (NULL-terminated) as well. */
void runner_add_controls(struct runner *runner, const char *const *addresses);

#endif /* RUNNER_H */
