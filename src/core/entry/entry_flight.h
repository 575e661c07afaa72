#ifndef ENTRY_FLIGHT_H
#define ENTRY_FLIGHT_H

/**
 * @file entry_flight.h
 * Internal declarations of the entry role: exchanges (callers' requests in
 * progress), their attempts at upstreams, and their claims. Only the entry_*.c
 * files include this header.
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
	GHashTable *agents; /* uint64_t * (node_id) -> char * (address) */
	GHashTable *flights; /* uint64_t * (ticket) -> struct exchange * */
	/* Set of struct exchange *: answered, only the outcome is awaited. */
	GHashTable *lingering;
	GHashTable *attempts; /* uint64_t * (request_nr) -> struct attempt * */
	/* uint64_t * (request_nr) -> struct exchange * that awaits its claim */
	GHashTable *claims;
	uint32_t nr_waiting; /* exchanges that wait for a free slot */
	struct timer pump; /* dispatches waiting exchanges */
	GQueue done; /* struct claim_completion *, recently sent */
	uint64_t next_request_nr;
	uint64_t bytes; /* total size of the request bodies in progress */
};

enum claim_step {
	CLAIM_STEP_NONE, /* not requested */
	CLAIM_STEP_ASKED, /* requested, control hasn't replied */
	CLAIM_STEP_KNOWN, /* the record names the run of the request */
};

/** The claim of a request that isn't repeatable and has an idempotency key. */
struct flight_claim {
	enum claim_step step;
	uint32_t nr_asked; /* claims requested, not counting resends */
	bool shared; /* another dispatch of the request may exist */
	struct claim_record record; /* requested, or as control returned it */
	struct timer repeat; /* sends the query again if no reply came */
};

/** One caller's request, until it is answered and its outcome is recorded. */
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
	GPtrArray *attempts; /* struct attempt *, owned, only the open ones */
	GSequenceIter *waits_at; /* in service->waiting, NULL: not queued */
	GArray *tried; /* uint64_t node_ids of the agents it was sent to */
	uint32_t nr_sent; /* attempts so far */
	enum result last; /* why the last attempt ended, RESULT_OK: none did */
	bool may_have_run; /* no proof that every ended attempt didn't run */
	bool answered; /* no caller waits, only the outcome is awaited */
	struct flight_claim claim;
};

/**
 * One dispatch of a request to an agent, or a query for the outcome of another
 * dispatch of the same request.
 */
struct attempt {
	struct flight *flight;
	uint64_t request_nr;
	uint64_t agent_node;
	uint64_t sent_us;
	uint64_t origin_node; /* entry that sent the request */
	uint64_t origin_nr; /* request_nr at that entry */
	bool counted; /* in the upstream's own_open */
	bool asked; /* outcome was queried: its duration is no sample */
	bool patient; /* query doesn't refuse a request still on its way */
	struct timer lost; /* armed while the agent isn't connected */
	struct timer arrival; /* armed while another's request may arrive */
};

/* ---- entry_flight.c ---- */

struct flight *flight_new(struct entry *entry, struct service *service,
			  uint64_t ticket, const struct request *request);
/** Frees the exchange without a cancel message to its agents. */
void flight_free(void *flight);

/**
 * Answers the caller and cancels open attempts. Frees the exchange, unless an
 * open attempt may still yield a response to record.
 */
void flight_answer(struct flight *flight, const struct response *response);

/**
 * Answers the caller with @a result and without a response: RUN_NOT_RUN if no
 * attempt can have run, else RUN_UNKNOWN.
 */
void flight_fail(struct flight *flight, enum result result);

/** Called when the caller no longer waits for an answer. */
void flight_abandon(struct flight *flight);

/** Sends the request to an upstream, queues it, or fails the exchange. */
void flight_dispatch(struct flight *flight, const char *reason);

/**
 * Called when an attempt has ended without a response. Sends the request again
 * if that is allowed, else fails the exchange once no attempt is open.
 */
void flight_retry(struct flight *flight, enum result result);

/** Handles a response to one of the exchange's attempts. */
void flight_response(struct attempt *attempt, const struct response *response);

/* ---- entry_attempt.c ---- */

/** Returns a new request number of this entry. */
uint64_t entry_next_nr(struct entry *entry);

/**
 * Chooses an upstream for the exchange and logs the decision. Returns RESULT_OK
 * and fills @a chosen, or returns the reason why no upstream can take it.
 */
enum result attempt_pick(struct flight *flight, const char *reason,
			 struct route_candidate *chosen);

/** Current capacity of the upstreams of an exchange's service. */
struct attempt_room {
	uint32_t nr_free; /* upstreams below their limits */
	uint32_t nr_full; /* upstreams at their limits */
	uint32_t full_slots; /* sum of the limits of the full ones */
};

/** Returns the capacity without choosing an upstream. */
struct attempt_room attempt_room(const struct flight *flight);

/** Returns true if the agent can take new requests of the same service. */
bool attempt_may_send(const struct flight *flight, uint64_t agent_node);

/** Sends the exchange's request to an agent as number @a request_nr. */
void attempt_send(struct flight *flight, uint64_t agent_node,
		  uint64_t request_nr);

/** Queries the agent that holds the claim for the outcome of its dispatch. */
void attempt_query(struct flight *flight, const struct claim_record *claim);

/** Closes an attempt and updates the load and health of its upstream. */
void attempt_end(struct attempt *attempt, enum upstream_end end,
		 const struct response *response);

/** Sends a cancel message to the agent; the attempt stays open. */
void attempt_send_cancel(const struct attempt *attempt);

/** Queries the agent for the outcome of the attempt. */
void attempt_ask(struct attempt *attempt);

/** Waits for another entry's request that the agent has no record of yet. */
void attempt_not_arrived(struct attempt *attempt);

/** Called when the connection to the agent was lost; it may come back. */
void attempt_peer_lost(struct attempt *attempt);

/* ---- entry_wait.c ---- */

/**
 * Queues the exchange, in order of deadlines, until an upstream has a free
 * slot. Returns false if there is no upstream to wait for, or if the exchange
 * would be served too late.
 */
bool flight_wait(struct flight *flight);

/** Removes the exchange from the queue if it is queued. */
void flight_wait_end(struct flight *flight);

/** Called on any change after which waiting exchanges may be dispatched. */
void entry_room_changed(struct entry *entry);

/** Timer function: dispatches waiting exchanges while slots are free. */
void entry_pump(void *entry, uint64_t now_us);

/* ---- entry_claim.c ---- */

/** Returns true if the request must not be dispatched without a claim. */
bool flight_needs_claim(const struct flight *flight);

/** Requests a claim from control, with @a agent_node as the chosen agent. */
void flight_claim_ask(struct flight *flight, uint64_t agent_node);

/** Handles control's reply. */
void flight_claim_reply(struct flight *flight, const struct claim_reply *reply);

/** Sends the claim query again, after a lost reply or a leader change. */
void flight_claim_repeat(struct flight *flight);

/** Sends the response to control, which records it for resends. */
void flight_claim_done(struct flight *flight, const struct response *response);

/** Sends recent completions to a new leader; the old one may have lost them. */
void entry_claims_retell(struct entry *entry);
void entry_claims_free(struct entry *entry);

/** Stops waiting for a reply from control. */
void flight_claim_clear(struct flight *flight);

#endif /* ENTRY_FLIGHT_H */
