#ifndef RUNNER_FIXTURE_H
#define RUNNER_FIXTURE_H

/**
 * @file runner_fixture.h
 * One agent's runner, call by call: the test plays the leader and the worker.
 */

#include "msg_control.h"
#include "runner.h"

#define TASK "aa.0.0.0"
#define FIXTURE_FENCE (4 * FLOW_FENCES_PER_TERM + 3)

/* What the runner did last. */
struct bench {
	struct node *node;
	struct runner *runner;
	uint64_t now_us;
	GArray *calls; /* struct fixture_call not answered yet */
	struct flow_report report; /* the last one */
	uint64_t ends_nr; /* highest number of an end in it */
	GArray *refused; /* run numbers that reports said not to start */
	uint32_t nr_starts;
	uint32_t nr_stops;
	bool repeated; /* orders say that an earlier agent may have had them */
	uint64_t fence; /* of the leader's grants and orders */
};

struct fixture_call {
	uint64_t nr;
	enum exec_call_kind kind;
	uint32_t run;
	uint64_t deadline_ms;
	uint64_t fence;
	uint64_t settled_nr;
	uint32_t wait_ms;
	uint32_t percent;
	char life[NAME_BYTES];
	char address[ADDRESS_BYTES];
};

#define FIXTURE_ADDRESS "10.0.0.9:1"

extern const struct exec_reply fixture_done;
extern const struct exec_reply fixture_no_answer;

void fixture_run_ms(struct bench *bench, uint64_t ms);

void bench_message(struct bench *bench, uint32_t type, const void *body);

struct bench *fixture_new(void);

void fixture_free(struct bench *bench);

enum result fixture_heartbeat_of(struct bench *bench,
				 const struct worker_incarnation *life,
				 const char *address, uint64_t seq);

enum result fixture_heartbeat(struct bench *bench, uint64_t born_ms,
			      uint64_t seq, bool draining);

/** Answers the oldest call of a kind; false if there is none. */
bool fixture_answer(struct bench *bench, enum exec_call_kind kind,
		    const struct exec_reply *reply, struct fixture_call *taken);

/** Answers the last look; false if there is none. */
bool fixture_answer_last_poll(struct bench *bench,
			      const struct exec_reply *reply,
			      struct fixture_call *taken);

/** Number of looks without an answer so far. */
guint fixture_open_polls(const struct bench *bench);

/** A later life under the same identity reports and answers the look at it. */
void fixture_restart_worker(struct bench *bench, uint64_t born_ms);

void fixture_grant(struct bench *bench, uint64_t settled_nr);

void fixture_order(struct bench *bench, uint32_t action, uint32_t run,
		   bool filler, uint32_t target_ms);

/** A worker that has been looked at, with or without a lease. */
struct bench *fixture_ready(bool lease);

/** Sends @a nr orders in one message, each for a task of its own. */
void fixture_order_many(struct bench *bench, uint32_t action, uint32_t nr);

/** Answers calls of the kind until no more come; checks how many are open. */
uint32_t fixture_answer_all(struct bench *bench, enum exec_call_kind kind);

#endif /* RUNNER_FIXTURE_H */
