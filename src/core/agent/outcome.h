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

/** An entry that waits for the outcome, and the number its answer carries. */
struct outcome_waiter {
	uint64_t node_id;
	uint64_t request_nr;
};

/** The entry that sent a request, and the number that it gave the request. */
struct outcome_id {
	uint64_t origin_node;
	uint64_t request_nr;
};

/** A request that arrived, or that was refused before its arrival. */
struct outcome {
	struct outcome_id id;
	bool repeatable;
	char *key; /* service and Idempotency-Key, NULL without a key */
	enum run_state state;
	GArray *waiters; /* struct outcome_waiter */
	struct response response; /* complete once finished */
	bool response_kept; /* the response hasn't been dropped yet */
	uint64_t finished_us; /* 0 while queued or running */
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
	uint64_t call_nr; /* of the call to the upstream */
	bool overrun; /* runs on past its deadline, not cancelled yet */
	enum result cancelled; /* why the call was cancelled, or RESULT_OK */
	struct timer timer; /* the deadline, or the end of the overrun */
};

struct outcome_table;

struct outcome_table *outcome_table_new(void);
void outcome_table_free(struct outcome_table *table);

/** Adds the record of a queued request. @a id must be new, @a key may be "". */
struct outcome *outcome_table_add(struct outcome_table *table,
				  const struct outcome_id *id, bool repeatable,
				  const char *service, const char *key);
struct outcome *outcome_table_find(const struct outcome_table *table,
				   const struct outcome_id *id);
/** Returns the last record that was added with this key, NULL if none. */
struct outcome *outcome_table_find_key(const struct outcome_table *table,
				       const char *service, const char *key);

/**
 * Returns true if a record with this id may have been dropped: its absence
 * doesn't prove that the request never arrived.
 */
bool outcome_table_may_have_dropped(const struct outcome_table *table,
				    const struct outcome_id *id,
				    bool repeatable);

/** Marks a request as finished; its state and response are final. */
void outcome_table_finish(struct outcome_table *table, struct outcome *outcome,
			  uint64_t now_us);

/** Drops responses and records that are too old or too many. */
void outcome_table_expire(struct outcome_table *table, uint64_t now_us);

/** Cancels the timers of all records, as needed before the table is freed. */
void outcome_table_stop_timers(struct outcome_table *table,
			       struct timers *timers);

/** Returns the number of requests that are queued or running. */
uint32_t outcome_table_nr_active(const struct outcome_table *table);

/** Adds an entry that waits for the outcome, unless it is in the list. */
void outcome_add_waiter(struct outcome *outcome, uint64_t node_id,
			uint64_t request_nr);

#endif /* OUTCOME_H */
