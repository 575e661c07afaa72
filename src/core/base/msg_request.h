#ifndef MSG_REQUEST_H
#define MSG_REQUEST_H

/** @file msg_request.h Messages between an entry and an agent. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

/** What is known about the run of a request. */
enum run_state {
	RUN_UNKNOWN = 0, /* it may have run or may still run */
	RUN_NOT_RUN = 1, /* it did not run and never will */
	RUN_QUEUED = 2,
	RUN_RUNNING = 3,
	RUN_DONE = 4, /* the response is complete */
};

/** A caller's request on its way to an upstream. */
struct request {
	uint64_t request_nr; /* unique for the sending entry's node_id */
	uint64_t target_node; /* agent incarnation it is meant for */
	char service[NAME_BYTES];
	char method[16];
	char path[PATH_BYTES];
	char content_type[KEY_BYTES];
	GBytes *body;
	uint32_t deadline_ms; /* time left when it was sent */
	bool repeatable;
	char key[KEY_BYTES]; /* Idempotency-Key, "" if none */
	uint32_t attempt; /* 1 for the first dispatch */
};

/** Load of one service's upstreams on one VM. */
struct load {
	char service[NAME_BYTES];
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
	uint32_t queued;
	uint32_t service_time_us; /* smoothed time of one run */
	bool leaving; /* takes no new requests */
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
 * Asks what became of a request. Answered by a response to the asking entry
 * under its own reply_nr: RUN_DONE with the whole response, RUN_QUEUED or
 * RUN_RUNNING (the response follows when the run ends), RUN_NOT_RUN, or
 * RUN_UNKNOWN, with RESULT_UNKNOWN_OBJECT if it may still arrive.
 */
struct outcome_query {
	uint64_t origin_node; /* entry that sent the request */
	uint64_t request_nr;
	uint64_t reply_nr; /* number of the answer, unique for the asker */
	char service[NAME_BYTES];
	char key[KEY_BYTES]; /* if not empty, looked up when the number isn't */
	bool repeatable;
	bool refuse; /* refuse the request for good if it has not arrived */
};

#endif /* MSG_REQUEST_H */
