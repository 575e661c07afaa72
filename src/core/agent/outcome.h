#ifndef OUTCOME_H
#define OUTCOME_H

/**
 * @file outcome.h
 * Records of the requests at one agent and of their outcomes. A record is kept
 * for some time after its request has ended, so that an entry can query the
 * outcome and a duplicate of the request doesn't run a second time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "msg_request.h"
#include "result.h"
#include "timer.h"

struct admit_service;
struct admit_upstream;

/**
 * An entry that waits for the outcome of a request, and the request number that
 * the answer to this entry must contain.
 */
struct outcome_waiter {
	uint64_t node_id;
	uint64_t request_nr;
};

/** The entry that sent a request, and the number that it gave the request. */
struct outcome_id {
	uint64_t origin_node;
	uint64_t request_nr;
};

/** A request that arrived, or that a query refused before it arrived. */
struct outcome {
	struct outcome_id id;
	bool repeatable;
	char *key; /* service and Idempotency-Key, NULL without a key */
	enum run_state state;
	GArray *waiters; /* struct outcome_waiter */
	struct response response; /* complete once the request is finished */
	bool response_kept; /* there is a response, not dropped yet */
	uint64_t finished_us; /* end of the request, 0: queued or running */
	GList *finished_link; /* link in the queue of finished requests */
	GList *kept_link; /* link in the queue of kept responses */

	/* Used by admission while the request is queued or running. */
	struct request *request;
	struct admit_service *service;
	struct admit_upstream *upstream; /* NULL while queued */
	GSequenceIter *queue_iter; /* NULL unless queued */
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t deadline_us;
	uint64_t call_nr; /* number of the call to the upstream */
	bool overrun; /* not cancelled although its deadline has passed */
	enum result cancelled; /* why cancelled, RESULT_OK: not cancelled */
	struct timer timer; /* due at the deadline or the overrun's end */
};

struct outcome_table;

struct outcome_table *outcome_table_new(void);
void outcome_table_free(struct outcome_table *table);

/**
 * Adds the record of a queued request. @a id must be new. @a key is its
 * Idempotency-Key, "" for none.
 */
struct outcome *outcome_table_add(struct outcome_table *table,
				  const struct outcome_id *id, bool repeatable,
				  const char *service, const char *key);
struct outcome *outcome_table_find(const struct outcome_table *table,
				   const struct outcome_id *id);
/**
 * Returns the record that was last added with this service and key, NULL if
 * there is none or the key is "".
 */
struct outcome *outcome_table_find_key(const struct outcome_table *table,
				       const char *service, const char *key);

/**
 * Returns true if a record with this id may have been dropped. If there is no
 * record, the request may then have arrived and run all the same.
 */
bool outcome_table_may_have_dropped(const struct outcome_table *table,
				    const struct outcome_id *id,
				    bool repeatable);

/** Marks a request as finished; the caller has set its state and response. */
void outcome_table_finish(struct outcome_table *table, struct outcome *outcome,
			  uint64_t now_us);

/** Drops the oldest responses and records beyond the age and size limits. */
void outcome_table_expire(struct outcome_table *table, uint64_t now_us);

/** Cancels the timers of all records; must precede outcome_table_free(). */
void outcome_table_stop_timers(struct outcome_table *table,
			       struct timers *timers);

/** Returns the number of requests that are queued or running. */
uint32_t outcome_table_nr_active(const struct outcome_table *table);

/** Adds an entry to the waiters, unless it waits with this number already. */
void outcome_add_waiter(struct outcome *outcome, uint64_t node_id,
			uint64_t request_nr);

#endif /* OUTCOME_H */
