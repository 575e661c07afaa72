#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

/**
 * @file entry_exchange.h
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
	GHashTable *exchanges; /* uint64_t * -> struct flight *, by ticket */
	GHashTable
		*awaiting_outcome; /* struct flight *, answered but not over */
	GHashTable *attempts; /* uint64_t * -> struct attempt *, by number */
	GHashTable *claims; /* uint64_t * -> struct flight *, by number */
	uint32_t nr_waiting; /* flights that wait for room */
	struct timer wait_timer; /* sends waiting flights once there is room */
	GQueue done; /* struct claim_completion *, completions told lately */
	uint64_t next_request_nr;
	uint64_t bytes; /* of the bodies in flight */
};

enum claim_step {
	CLAIM_STEP_NONE, /* no claim is needed, or not yet */
	CLAIM_STEP_PENDING, /* control hasn't replied */
	CLAIM_STEP_RESOLVED, /* the record says who runs the request */
};

/** The claim of a request that isn't repeatable but has a key. */
struct exchange_claim {
	enum claim_step step;
	uint32_t nr_queries; /* claims asked for, without repeats */
	bool shared; /* another dispatch of the same request is about */
	struct claim_record record; /* asked for, or as control has it */
	struct timer repeat; /* asks again: the reply may have been lost */
};

/** One caller's request until it is answered. */
struct exchange {
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
	GSequenceIter *wait_iter; /* place in service.waiting, or NULL */
	GArray *tried; /* uint64_t, node_ids of agents it was sent to */
	uint32_t nr_sent;
	enum result last; /* why the latest attempt ended, RESULT_OK if none */
	bool may_have_run; /* an attempt ended without proof */
	bool answered; /* only waits for an outcome to record */
	struct exchange_claim claim;
};

/** One dispatch of a request to an agent. */
struct attempt {
	struct exchange *exchange;
	uint64_t request_nr;
	uint64_t agent_node;
	uint64_t sent_us;
	uint64_t origin_node; /* whose request it is: this entry's, or */
	uint64_t origin_nr; /* that of the claim's holder, only asked about */
	bool counted; /* among the upstream's open attempts */
	bool asked; /* its outcome was queried, so its times tell nothing */
	bool await_arrival; /* a request that has not arrived isn't refused yet
			     */
	struct timer lost; /* runs while the agent is away */
	struct timer arrival; /* runs while another's request may arrive */
};

/* ---- entry_flight.c ---- */

struct exchange *exchange_new(struct entry *entry, struct service *service,
			      uint64_t ticket, const struct request *request);
/** Frees the flight without a word to its agents. */
void exchange_free(void *exchange);

/** Answers the caller, cancels what is still open and frees the flight. */
void exchange_answer(struct exchange *exchange,
		     const struct response *response);

/** Answers without a response; "not run" only if no attempt may have run. */
void exchange_fail(struct exchange *exchange, enum result result);

/** The caller doesn't wait any more. */
void exchange_abandon(struct exchange *exchange);

/** Sends the flight to an upstream, or fails it if there is none. */
void exchange_dispatch(struct exchange *exchange, const char *reason);

/**
 * An attempt has ended without a response. Tries again where that is allowed,
 * else fails the flight once no attempt is open.
 */
void exchange_retry(struct exchange *exchange, enum result result);

/** Takes a response to one of the flight's attempts. */
void exchange_response(struct attempt *attempt,
		       const struct response *response);

/* ---- entry_attempt.c ---- */

/** Returns the number of the next request of this entry. */
uint64_t entry_next_nr(struct entry *entry);

/**
 * Picks an upstream for the flight. Returns RESULT_OK and fills @a chosen, or
 * the reason why none can take it. Writes the line of the decision.
 */
enum result attempt_pick(struct exchange *exchange, const char *reason,
			 struct route_candidate *chosen);

/** What the upstreams of a flight's service could take now. */
struct attempt_capacity {
	uint32_t nr_free; /* upstreams below their limits */
	uint32_t nr_full; /* upstreams at their limits */
	uint32_t full_slots; /* sum of the limits of the full ones */
};

/** Looks for room without a decision. */
struct attempt_capacity attempt_capacity(const struct exchange *exchange);

/** Returns true if the agent may get new work of the flight's service. */
bool attempt_may_send(const struct exchange *exchange, uint64_t agent_node);

/** Sends the flight's request to an agent under a new number. */
void attempt_send(struct exchange *exchange, uint64_t agent_node,
		  uint64_t request_nr);

/** Asks an agent what became of another dispatch of the same request. */
void attempt_query_claim(struct exchange *exchange,
			 const struct claim_record *claim);

/** Closes an attempt and tells the upstream's health how it ended. */
void attempt_end(struct attempt *attempt, enum upstream_end end,
		 const struct response *response);

/** Asks the agent to drop an attempt; its answer is still awaited. */
void attempt_send_cancel(const struct attempt *attempt);

/** Asks the agent what became of the attempt. */
void attempt_query_outcome(struct attempt *attempt);

/** The agent has no record of a request that it was asked about patiently. */
void attempt_not_arrived(struct attempt *attempt);

/** The agent's connection was lost; an answer may come after it is back. */
void attempt_peer_lost(struct attempt *attempt);

/* ---- entry_wait.c ---- */

/**
 * Lets the flight wait for room, in order of deadlines. Returns false if there
 * is no upstream to wait for, or if its turn would come too late.
 */
bool exchange_wait(struct exchange *exchange);

/** Takes the flight out of the queue if it is there. */
void exchange_wait_end(struct exchange *exchange);

/** Something changed that may let waiting flights go. */
void entry_capacity_changed(struct entry *entry);

/** Timer function: sends the waiting flights that have room now. */
void entry_send_waiting(void *entry, uint64_t now_us);

/* ---- entry_claim.c ---- */

/** Returns true if the request may be dispatched only under a claim. */
bool exchange_needs_claim(const struct exchange *exchange);

/** Asks control for the claim with @a agent_node as the chosen agent. */
void exchange_claim_ask(struct exchange *exchange, uint64_t agent_node);

/** Takes control's reply. */
void exchange_claim_reply(struct exchange *exchange,
			  const struct claim_reply *reply);

/** Asks again, after the leader changed or a reply was lost. */
void exchange_claim_repeat(struct exchange *exchange);

/** Records the response with control. */
void exchange_claim_done(struct exchange *exchange,
			 const struct response *response);

/** Tells a new leader of completions that the old one may have lost. */
void entry_claims_resend(struct entry *entry);
void entry_claims_free(struct entry *entry);

/** Forgets a reply that may still come. */
void exchange_claim_clear(struct exchange *exchange);

#endif /* ENTRY_EXCHANGE_H */
