#ifndef ENTRY_FLIGHT_H
#define ENTRY_FLIGHT_H

/**
 * @file entry_flight.h
 * Inside of the entry role: a caller's request in flight, its attempts at
 * upstreams, and its claim. Shared by the entry_*.c files only.
 */

#include "entry.h"
#include "result.h"
#include "route.h"
#include "service.h"
#include "site.h"

struct entry {
	struct node *node;
	const struct entry_host_ops *host;
	void *host_ctx;
	struct site *site;
	const struct route_ops *policy;
	GPtrArray *services; /* struct service *, owned */
	GHashTable *agents; /* uint64_t * -> char *, addresses dialled */
	GHashTable *flights; /* uint64_t * -> struct flight *, by ticket */
	GHashTable *attempts; /* uint64_t * -> struct attempt *, by number */
	uint64_t next_request_nr;
	uint64_t bytes; /* of the bodies in flight */
};

/** One caller's request until it is answered. */
struct flight {
	struct entry *entry;
	struct service *service;
	uint64_t ticket;
	struct request *request; /* owned copy */
	uint64_t submitted_us;
	uint64_t deadline_us;
	uint64_t first_sent_us;
	struct timer deadline;
	struct timer hedge;
	GPtrArray *attempts; /* struct attempt *, owned, open ones only */
	GArray *tried; /* uint64_t, node_ids of agents it was sent to */
	uint32_t nr_sent;
	bool may_have_run; /* an attempt ended without proof */
};

/** One dispatch of a request to an agent. */
struct attempt {
	struct flight *flight;
	uint64_t request_nr;
	uint64_t agent_node;
	uint64_t sent_us;
	bool asked; /* its outcome was queried, so its times tell nothing */
	struct timer lost; /* runs while the agent is away */
};

/* ---- entry_flight.c ---- */

struct flight *flight_new(struct entry *entry, struct service *service,
			  uint64_t ticket, const struct request *request);
/** Frees the flight without a word to its agents. */
void flight_free(void *flight);
/** Cancels the open attempts and frees the flight, unanswered. */
void flight_end(struct flight *flight);

/** Answers the caller and frees the flight. */
void flight_answer(struct flight *flight, const struct response *response);

/** Answers without a response; "not run" only if no attempt may have run. */
void flight_fail(struct flight *flight, enum result result);

/** Sends the flight to an upstream, or fails it if there is none. */
void flight_dispatch(struct flight *flight, const char *reason);

/**
 * An attempt has ended without a response. Tries again where that is allowed,
 * else fails the flight once no attempt is open.
 */
void flight_retry(struct flight *flight, enum result result);

/** Takes a response to one of the flight's attempts. */
void flight_response(struct attempt *attempt, const struct response *response);

/* ---- entry_attempt.c ---- */

/**
 * Picks an upstream for the flight. Returns RESULT_OK and fills @a chosen, or
 * the reason why none can take it. Writes the line of the decision.
 */
enum result attempt_pick(struct flight *flight, const char *reason,
			 struct route_candidate *chosen);

/** Sends the flight's request to an agent. */
void attempt_send(struct flight *flight, uint64_t agent_node);

/** Closes an attempt and tells the upstream's health how it ended. */
void attempt_end(struct attempt *attempt, enum upstream_end end,
		 const struct response *response);

/** Gives up on an attempt; its agent drops it where that is allowed. */
void attempt_cancel(struct attempt *attempt);

/** Asks the agent what became of the attempt. */
void attempt_ask(struct attempt *attempt);

/** The agent's connection was lost; an answer may come after it is back. */
void attempt_peer_lost(struct attempt *attempt);

#endif /* ENTRY_FLIGHT_H */
