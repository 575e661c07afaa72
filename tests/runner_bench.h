#ifndef RUNNER_BENCH_H
#define RUNNER_BENCH_H

/**
 * @file runner_bench.h
 * A fixture with one agent's runner. The test takes the parts of the leader and
 * of the worker: it sends grants and orders, and answers each call.
 */

#include "msg_control.h"
#include "runner.h"

#define TASK "aa.0.0.0"
#define BENCH_FENCE (4 * FLOW_FENCES_PER_TERM + 3)

/* A runner, its open calls and its last report. */
struct fixture {
	struct node *node;
	struct runner *runner;
	uint64_t now_us;
	GArray *calls; /* struct bench_call, not answered yet, oldest first */
	struct flow_report report; /* the last report; its lists aren't valid */
	uint64_t ends_nr; /* highest end number in the last report */
	GArray *refused; /* uint32_t, runs reported as never started */
	uint32_t nr_starts; /* start calls so far */
	uint32_t nr_stops; /* stop calls so far */
	bool repeated; /* orders are marked as repeated */
	uint64_t fence; /* fencing token of the leader's grants and orders */
};

struct bench_call {
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

#define BENCH_ADDRESS "10.0.0.9:1"

extern const struct exec_reply bench_done;
extern const struct exec_reply bench_silence;

void bench_run_ms(struct fixture *fixture, uint64_t ms);

void fixture_message(struct fixture *fixture, uint32_t type, const void *body);

struct fixture *bench_new(void);

void bench_free(struct fixture *fixture);

enum result bench_beat_of(struct fixture *fixture,
			  const struct worker_life *life, const char *address,
			  uint64_t seq);

enum result bench_beat(struct fixture *fixture, uint64_t born_ms, uint64_t seq,
		       bool draining);

/** Answers the oldest open call of a kind; returns false if there is none. */
bool bench_answer(struct fixture *fixture, enum exec_call_kind kind,
		  const struct exec_reply *reply, struct bench_call *taken);

/** Answers the newest open EXEC_HOLD call; returns false if there is none. */
bool bench_answer_last(struct fixture *fixture, const struct exec_reply *reply,
		       struct bench_call *taken);

/** Returns the number of open EXEC_HOLD calls. */
guint bench_looks(const struct fixture *fixture);

/** A later incarnation with the same id sends a heartbeat, answers its probe.
 */
void bench_reborn(struct fixture *fixture, uint64_t born_ms);

/** Grants a lease of 5 s and acknowledges ends up to @a settled_nr. */
void bench_grant(struct fixture *fixture, uint64_t settled_nr);

void bench_order(struct fixture *fixture, uint32_t action, uint32_t run,
		 bool filler, uint32_t target_ms);

/** Returns a runner that has polled its worker, with or without a lease. */
struct fixture *bench_ready(bool lease);

/** Sends @a nr orders in one message, each for a task of its own. */
void bench_order_many(struct fixture *fixture, uint32_t action, uint32_t nr);

/**
 * Answers calls of a kind for 100 ms and returns their number. Fails if more
 * than RUNNER_CALLS_MAX calls and a poll are open at a time.
 */
uint32_t bench_answer_all(struct fixture *fixture, enum exec_call_kind kind);

#endif /* RUNNER_BENCH_H */
