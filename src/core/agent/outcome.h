#ifndef OUTCOME_H
#define OUTCOME_H

/**
 * @file outcome.h
 * What became of each request at one agent. A record outlives its outcome, so
 * that an entry can ask for the outcome and a request never runs a second time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "msg_request.h"
#include "result.h"
#include "timer.h"

struct admit_service;
struct executor;

/** An entry that waits for the outcome, and the number it expects. */
struct outcome_waiter {
	uint64_t node_id;
	uint64_t request_nr;
};

struct outcome_id {
	uint64_t origin_node;
	uint64_t request_nr;
};

/** One request that arrived here, or that was refused before it could. */
struct outcome {
	struct outcome_id id;
	bool repeatable;
	char *key; /* service and Idempotency-Key, NULL without one */
	enum run_state state;
	GArray *waiters; /* struct outcome_waiter */
	struct response response; /* once finished */
	bool response_kept;
	uint64_t finished_us; /* 0 while queued or running */
	GList *finished_link; /* place among the finished runs */
	GList *kept_link; /* place among the kept responses */

	/* Owned by admission while the run is queued or running. */
	struct request *request;
	struct admit_service *service;
	struct executor *executor; /* NULL while queued */
	GSequenceIter *queue_iter; /* NULL once out of the queue */
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t deadline_us;
	uint64_t call_nr;
	bool overrun; /* past its deadline, but not given up yet */
	enum result cancelled; /* why the call was cancelled, or RESULT_OK */
	struct timer timer;
};

struct outcome_table;

struct outcome_table *outcome_table_new(void);
void outcome_table_free(struct outcome_table *table);

/** Adds a queued outcome; its number must be new. @a key may be "". */
struct outcome *outcome_table_add(struct outcome_table *table,
				  const struct outcome_id *id, bool repeatable,
				  const char *service, const char *key);
struct outcome *outcome_table_find(const struct outcome_table *table,
				   const struct outcome_id *id);
/** Returns the last run that was added under the key, NULL if none. */
struct outcome *outcome_table_find_key(const struct outcome_table *table,
				       const char *service, const char *key);

/**
 * Returns true if a record of that number may have been dropped, so that
 * finding none doesn't prove that the request never arrived.
 */
bool outcome_table_may_have_dropped(const struct outcome_table *table,
				    const struct outcome_id *id,
				    bool repeatable);

/** Counts the run as finished; its state and response are final. */
void outcome_table_finish(struct outcome_table *table, struct outcome *outcome,
			  uint64_t now_us);

/** Drops old responses and records. */
void outcome_table_expire(struct outcome_table *table, uint64_t now_us);

/** Disarms the timers of all runs, before the table is freed. */
void outcome_table_stop_timers(struct outcome_table *table,
			       struct timers *timers);

/** Returns the number of runs that are queued or running. */
uint32_t outcome_table_nr_active(const struct outcome_table *table);

/** Adds an asker unless it is there already. */
void outcome_add_waiter(struct outcome *outcome, uint64_t node_id,
			uint64_t request_nr);

#endif /* OUTCOME_H */
