#ifndef STATE_WORKER_H
#define STATE_WORKER_H

/**
 * @file state_worker.h
 * Workers that run tasks of workflows. The replicated state has the last known
 * incarnation of each VM's worker, that is execution of its process, so that
 * each leader knows whether it was restarted under its identity, and which
 * starts it may still execute.
 */

#include "flow.h"

struct state;
struct state_outcome;

/** Returns the record of the VM's worker; NULL if there is none. */
const struct flow_worker *state_worker_find(const struct state *state,
					    const char *vm);

/** Applies a struct cmd_flow_workers. */
struct state_outcome state_worker_set(struct state *state, const void *body);

void state_worker_free(void *data);

void state_worker_restore(struct state *state,
			  const struct flow_worker *worker);

#endif /* STATE_WORKER_H */
