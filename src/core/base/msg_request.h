#ifndef MSG_REQUEST_H
#define MSG_REQUEST_H

/**
 * @file msg_request.h
 * Messages between an entry, which takes callers' requests, and an agent, which
 * passes them to the upstreams of services on its VM.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

/** State of a request's run at an upstream. */
enum run_state {
	RUN_UNKNOWN = 0, /* the request may have run or may still run */
	RUN_NOT_RUN = 1, /* the request did not run and never will */
	RUN_QUEUED = 2, /* the request waits in the agent */
	RUN_RUNNING = 3, /* an upstream has the request */
	RUN_DONE = 4, /* the response is complete */
};

/** A caller's request on its way to an upstream. */
struct request {
	uint64_t request_nr; /* unique for the entry's node_id */
	uint64_t target_node; /* incarnation of the agent it is meant for */
	char service[NAME_BYTES];
	char method[16];
	char path[PATH_BYTES];
	char content_type[KEY_BYTES];
	GBytes *body;
	uint32_t deadline_ms; /* time left when the request was sent */
	bool repeatable; /* may run more than once */
	char key[KEY_BYTES]; /* Idempotency-Key, "" if none */
	uint32_t attempt; /* 1 for the first dispatch */
};

/** Load of one service's upstreams on one VM. */
struct load {
	char service[NAME_BYTES];
	uint32_t slots; /* requests that may run at a time */
	uint32_t connections; /* as announced by the upstreams */
	uint32_t in_flight; /* requests that run */
	uint32_t queued; /* requests that wait in the agent */
	uint32_t service_time_us; /* moving average of one request's time */
	bool leaving; /* the upstreams accept no new requests */
};

struct load_report {
	uint64_t seq;
	uint32_t nr_loads;
	struct load *loads;
};

/** Outcome of a request, or answer to an outcome_query. */
struct response {
	uint64_t origin_node; /* node_id of the entry that sent the request */
	uint64_t request_nr;
	uint32_t run; /* enum run_state */
	uint32_t result; /* enum result */
	uint32_t status; /* HTTP status if run is RUN_DONE */
	char content_type[KEY_BYTES];
	GBytes *body;
	uint32_t run_us; /* time at the upstream */
	uint32_t wait_us; /* time in the agent's queue */
	struct load load; /* of the service on the agent's VM */
};

/** The entry needs no response to the request any more. */
struct cancel {
	uint64_t request_nr;
};

/**
 * Queries an agent for the outcome of a request. The agent answers with a
 * response whose request_nr is reply_nr, and whose run is RUN_DONE (it contains
 * the request's response), RUN_QUEUED or RUN_RUNNING (a second response follows
 * when the run ends), RUN_NOT_RUN, or RUN_UNKNOWN. RUN_UNKNOWN comes with
 * RESULT_UNKNOWN_OBJECT if the request may still arrive and run.
 */
struct outcome_query {
	uint64_t origin_node; /* node_id of the entry that sent the request */
	uint64_t request_nr;
	uint64_t reply_nr; /* request_nr of the answer, unique for the sender */
	char service[NAME_BYTES];
	char key[KEY_BYTES]; /* searched for if request_nr isn't found, or "" */
	bool repeatable;
	bool refuse; /* a request that hasn't arrived is refused for good */
};

#endif /* MSG_REQUEST_H */
