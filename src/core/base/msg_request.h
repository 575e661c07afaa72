#ifndef MSG_REQUEST_H
#define MSG_REQUEST_H

/** @file msg_request.h Messages between an entry and an agent. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

/** State of the run of a request. */
enum run_state {
	RUN_UNKNOWN = 0, /* the request may have run or may still run */
	RUN_NOT_RUN = 1, /* the request did not run and never will */
	RUN_QUEUED = 2,
	RUN_RUNNING = 3,
	RUN_DONE = 4, /* the response is complete */
};

/** A caller's request on its way to an upstream. */
struct request {
	uint64_t request_nr; /* unique for the sending entry's node_id */
	uint64_t target_node; /* agent incarnation the request is meant for */
	char service[NAME_BYTES];
	char method[16];
	char path[PATH_BYTES];
	char content_type[KEY_BYTES];
	GBytes *body;
	uint32_t deadline_ms; /* time left when the request was sent */
	bool repeatable;
	char key[KEY_BYTES]; /* Idempotency-Key, "" if none */
	uint32_t attempt; /* 1 for the first dispatch */
};

/** Load of one service's upstreams on one VM. */
struct load {
	char service[NAME_BYTES];
	uint32_t slots; /* requests that may run at a time */
	uint32_t connections;
	uint32_t in_flight; /* requests that run */
	uint32_t queued; /* requests that wait in the agent */
	uint32_t service_time_us; /* smoothed time of one run */
	bool leaving; /* accepts no new requests */
};

struct load_report {
	uint64_t seq;
	uint32_t nr_loads;
	struct load *loads;
};

struct response {
	uint64_t origin_node; /* entry that sent the request */
	uint64_t request_nr;
	uint32_t run; /* enum run_state */
	uint32_t result; /* enum result */
	uint32_t status; /* HTTP status if run is RUN_DONE */
	char content_type[KEY_BYTES];
	GBytes *body;
	uint32_t run_us; /* time at the upstream */
	uint32_t wait_us; /* time in the agent's queue */
	struct load load;
};

struct cancel {
	uint64_t request_nr;
};

/**
 * Asks an agent for the outcome of a request. The agent answers with a response
 * that has reply_nr as its number: RUN_DONE with the whole response, RUN_QUEUED
 * or RUN_RUNNING (the response follows when the run ends), RUN_NOT_RUN, or
 * RUN_UNKNOWN, with RESULT_UNKNOWN_OBJECT if the request may still arrive.
 */
struct outcome_query {
	uint64_t origin_node; /* entry that sent the request */
	uint64_t request_nr;
	uint64_t reply_nr; /* request_nr of the answer, unique for the sender */
	char service[NAME_BYTES];
	char key[KEY_BYTES]; /* used if the number isn't found, "": none */
	bool repeatable;
	bool refuse; /* if the request hasn't arrived, refuse it for good */
};

#endif /* MSG_REQUEST_H */
