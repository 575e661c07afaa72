#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

/**
 * @file entry_exchange.h
 * Internal declarations of the entry role: exchanges (callers' requests in
 * progress), their attempts at upstreams, and their claims (control's records
 * of which agent may run a request that isn't repeatable and has a key). Only
 * entry.c and the entry_*.c files include this header.
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
	const struct route_ops *policy; /* as set in the bundle */
	GPtrArray *services; /* struct service *, owned */
	GHashTable *agents; /* uint64_t * (node_id) -> char * (address) */
	GHashTable *exchanges; /* uint64_t * (ticket) -> struct exchange * */
	/*
	 * Set of struct exchange * without a waiting caller, kept until their
	 * outcomes are known.
	 */
	GHashTable *awaiting_outcome;
	GHashTable *attempts; /* uint64_t * (request_nr) -> struct attempt * */
	/* uint64_t * (request_nr) -> struct exchange * that awaits its claim */
	GHashTable *claims;
	uint32_t nr_waiting; /* exchanges that wait for a free slot */
	struct timer wait_timer; /* dispatches waiting exchanges */
	GQueue done; /* struct claim_completion *, oldest first */
	uint64_t next_request_nr; /* the last number used */
	uint64_t bytes; /* total size of the request bodies in progress */
};

enum claim_step {
	CLAIM_STEP_NONE, /* not requested */
	CLAIM_STEP_PENDING, /* requested, control hasn't decided yet */
	CLAIM_STEP_RESOLVED, /* control has sent its decision */
};

/** The claim of a request that isn't repeatable and has an idempotency key. */
struct exchange_claim {
	enum claim_step step;
	uint32_t nr_queries; /* claim queries, not counting repeats */
	bool shared; /* another dispatch of the request may exist */
	struct claim_record record; /* as requested or as control sent it */
	struct timer repeat; /* sends the query again until control replies */
};

/** One caller's request, until it is answered and its outcome is recorded. */
struct exchange {
	struct entry *entry;
	struct service *service;
	uint64_t ticket;
	struct request *request; /* owned copy */
	uint64_t submitted_us;
	uint64_t deadline_us;
	uint64_t first_sent_us; /* 0: not sent yet */
	struct timer deadline;
	/** Sends a second attempt once the service's p95 latency has passed. */
	struct timer hedge;
	GPtrArray *attempts; /* struct attempt *, owned, only the open ones */
	GSequenceIter *wait_iter; /* in service->waiting, NULL: not queued */
	GArray *tried; /* uint64_t node_ids of agents the request went to */
	uint32_t nr_sent; /* attempts so far */
	enum result last; /* of the last failed attempt, RESULT_OK: none */
	bool may_have_run; /* an ended attempt may have run the request */
	bool answered; /* no caller waits, only the outcome is awaited */
	struct exchange_claim claim;
};

/**
 * One dispatch of a request to an agent, or a query for the outcome of another
 * dispatch of the same request.
 */
struct attempt {
	struct exchange *exchange;
	uint64_t request_nr;
	uint64_t agent_node;
	uint64_t sent_us;
	uint64_t origin_node; /* entry that sent the request */
	uint64_t origin_nr; /* request_nr at that entry */
	bool counted; /* in the upstream's own_open */
	bool queried; /* outcome was queried: not used to measure delays */
	bool await_arrival; /* the query lets a late request run */
	struct timer lost; /* armed while the agent isn't connected */
	/** Armed while a request that another entry sent may still arrive. */
	struct timer arrival;
};

/* ---- entry_exchange.c ---- */

struct exchange *exchange_new(struct entry *entry, struct service *service,
			      uint64_t ticket, const struct request *request);
/** Frees the exchange without a cancel message to its agents. */
void exchange_free(void *exchange);

/**
 * Answers the caller and cancels open attempts. Frees the exchange, unless an
 * open attempt may still yield a response to record.
 */
void exchange_answer(struct exchange *exchange,
		     const struct response *response);

/**
 * Answers the caller with @a result and without a response: RUN_NOT_RUN if no
 * attempt can have run, else RUN_UNKNOWN.
 */
void exchange_fail(struct exchange *exchange, enum result result);

/** Called when the caller has disconnected. */
void exchange_abandon(struct exchange *exchange);

/** Sends the request to an upstream, queues it, or fails the exchange. */
void exchange_dispatch(struct exchange *exchange, const char *reason);

/**
 * Called when an attempt has ended without a response. Once no attempt is open,
 * sends the request again if a retry is allowed, else fails the exchange with
 * @a result.
 */
void exchange_retry(struct exchange *exchange, enum result result);

/** Handles a response to one of the exchange's attempts. */
void exchange_response(struct attempt *attempt,
		       const struct response *response);

/* ---- entry_attempt.c ---- */

/** Returns a new request number of this entry. */
uint64_t entry_next_nr(struct entry *entry);

/**
 * Chooses an upstream for the exchange and logs the decision. Returns RESULT_OK
 * and fills @a chosen, or returns why no upstream can take the request.
 */
enum result attempt_pick(struct exchange *exchange, const char *reason,
			 struct route_candidate *chosen);

/** Current capacity of the upstreams of an exchange's service. */
struct attempt_capacity {
	uint32_t nr_free; /* upstreams below their limits */
	uint32_t nr_full; /* upstreams at their limits */
	uint32_t full_slots; /* sum of the limits of full upstreams */
};

struct attempt_capacity attempt_capacity(const struct exchange *exchange);

/** Returns true if the exchange's request may be sent to the agent now. */
bool attempt_may_send(const struct exchange *exchange, uint64_t agent_node);

/** Sends the exchange's request to an agent as number @a request_nr. */
void attempt_send(struct exchange *exchange, uint64_t agent_node,
		  uint64_t request_nr);

/** Queries the claim's agent for the outcome of the dispatch it records. */
void attempt_query_claim(struct exchange *exchange,
			 const struct claim_record *claim);

/** Closes an attempt and updates the load and health of its upstream. */
void attempt_end(struct attempt *attempt, enum upstream_end end,
		 const struct response *response);

/** Sends a cancel message to the agent; the attempt stays open. */
void attempt_send_cancel(const struct attempt *attempt);

/** Queries the agent for the outcome of the attempt. */
void attempt_query_outcome(struct attempt *attempt);

/**
 * Called when the agent has no record of the queried request, which another
 * entry sent. Waits CLAIM_ARRIVAL_MS for its arrival, then queries again.
 */
void attempt_not_arrived(struct attempt *attempt);

/** Called when the connection to the agent was lost; it may reconnect. */
void attempt_peer_lost(struct attempt *attempt);

/* ---- entry_wait.c ---- */

/**
 * Queues the exchange, in order of deadlines, until an upstream has a free
 * slot. Returns false without queueing it if an attempt is open, if there is no
 * upstream to wait for, if the queue is full, or if the request would be served
 * after its deadline.
 */
bool exchange_wait(struct exchange *exchange);

/** Removes the exchange from the queue if it is queued. */
void exchange_wait_end(struct exchange *exchange);

/** Called when queued exchanges may have become dispatchable. */
void entry_capacity_changed(struct entry *entry);

/** Timer function: dispatches queued exchanges while slots are free. */
void entry_send_waiting(void *entry, uint64_t now_us);

/* ---- entry_claim.c ---- */

/** Returns true if the request must not be dispatched without a claim. */
bool exchange_needs_claim(const struct exchange *exchange);

/** Requests a claim from control, with @a agent_node as the chosen agent. */
void exchange_claim_request(struct exchange *exchange, uint64_t agent_node);

/** Handles control's reply to the claim query. */
void exchange_claim_reply(struct exchange *exchange,
			  const struct claim_reply *reply);

/** Sends the claim query again, after a lost reply or a leader change. */
void exchange_claim_repeat(struct exchange *exchange);

/** Sends the response to control, which records it in the claim. */
void exchange_claim_done(struct exchange *exchange,
			 const struct response *response);

/** Sends recent completions to a new leader; the old one may have lost them. */
void entry_claims_resend(struct entry *entry);
void entry_claims_free(struct entry *entry);

/** Stops waiting for control's reply to the claim query. */
void exchange_claim_clear(struct exchange *exchange);

#endif /* ENTRY_EXCHANGE_H */
