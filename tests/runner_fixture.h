#ifndef RUNNER_FIXTURE_H
#define RUNNER_FIXTURE_H

/**
 * @file runner_fixture.h
 * A fixture with the runner of one agent, its part in workflows. The test acts
 * as the leader and as the worker: it sends grants, orders and heartbeats, and
 * answers each call to the worker.
 */

#include "msg_control.h"
#include "runner.h"

#define TASK "aa.0.0.0"
#define FIXTURE_TERM 4ull
#define FIXTURE_COUNT 3ull
/* The leader's token, and the agent's first token under it. */
#define FIXTURE_FENCE (FIXTURE_TERM * FLOW_FENCES_PER_TERM + FIXTURE_COUNT)
#define FIXTURE_CALL_FENCE                                             \
	((FIXTURE_TERM * WORKER_FENCE_LEADER_COUNTS + FIXTURE_COUNT) * \
	 WORKER_FENCE_AGENT_COUNTS)

/** Time at which a fixture starts, and the worker's clock at that time. */
#define FIXTURE_START_US 1000000ull
#define FIXTURE_CLOCK_MS 100000ull

/** A runner, its open calls and its last report. */
struct fixture {
	struct node *node;
	struct runner *runner;
	uint64_t now_us;
	GArray *calls; /* struct fixture_call, not answered yet, oldest first */
	struct flow_report report; /* last report; its pointers aren't valid */
	struct flow_run first_run; /* in the last report that had one */
	uint64_t ends_nr; /* highest end number in the last report */
	GArray *refused; /* uint32_t, numbers of runs reported as refused */
	uint32_t nr_lost; /* ends so far that were reported as lost */
	uint32_t nr_starts; /* start calls so far */
	uint32_t nr_stops; /* stop calls so far */
	bool repeated; /* orders are marked as repeated */
	uint64_t fence; /* fencing token of the leader's grants and orders */
};

/** A call to the worker. */
struct fixture_call {
	uint64_t nr;
	enum exec_call_kind kind;
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t deadline_ms;
	uint64_t fence;
	uint64_t settled_nr;
	uint32_t wait_ms;
	uint32_t percent;
	char worker[NAME_BYTES]; /* id of the called worker */
	char address[ADDRESS_BYTES];
};

#define FIXTURE_ADDRESS "10.0.0.9:1"

extern const struct exec_reply fixture_done;
extern const struct exec_reply fixture_no_answer;

/** Runs the runner's timers for @a ms of virtual time. */
void fixture_run_ms(struct fixture *fixture, uint64_t ms);

/** Sends a message of the leader. */
void fixture_message(struct fixture *fixture, uint32_t type, const void *body);

/** Returns a runner that is connected to the leader and has no worker. */
struct fixture *fixture_new(void);

void fixture_free(struct fixture *fixture);

enum result fixture_heartbeat_of(struct fixture *fixture,
				 const struct worker_incarnation *incarnation,
				 const char *address, uint64_t seq);

/** Sends a heartbeat of the worker "w" from FIXTURE_ADDRESS. */
enum result fixture_heartbeat(struct fixture *fixture, uint64_t born_ms,
			      uint64_t seq, bool draining);

/**
 * Answers the oldest open call of a kind; returns false if there is none. Fills
 * in @a answered, unless it is NULL, with the call. A reply with the clock
 * FIXTURE_CLOCK_MS has the time since the start added to it.
 */
bool fixture_answer(struct fixture *fixture, enum exec_call_kind kind,
		    const struct exec_reply *reply,
		    struct fixture_call *answered);

/** Answers the newest open EXEC_POLL call; returns false if there is none. */
bool fixture_answer_last_poll(struct fixture *fixture,
			      const struct exec_reply *reply,
			      struct fixture_call *answered);

/** Returns the number of open EXEC_POLL calls. */
guint fixture_open_polls(const struct fixture *fixture);

/**
 * Sends the first heartbeat of a later incarnation with the same id, and
 * answers the probe of it.
 */
void fixture_restart_worker(struct fixture *fixture, uint64_t born_ms);

/** Grants a lease of 5 s and acknowledges ends up to @a settled_nr. */
void fixture_grant(struct fixture *fixture, uint64_t settled_nr);

/**
 * Sends an order for a run of TASK, or of the task "ss.0.0.0" if @a target_ms
 * isn't 0.
 */
void fixture_order(struct fixture *fixture, uint32_t action, uint32_t run,
		   bool filler, uint32_t target_ms);

/**
 * Returns a runner that has polled its worker once. The leader has granted it a
 * lease if @a lease is true.
 */
struct fixture *fixture_ready(bool lease);

/** Sends @a nr orders in one message, each for a different task. */
void fixture_order_many(struct fixture *fixture, uint32_t action, uint32_t nr);

/**
 * Answers the calls of a kind for 100 ms and returns their number. Fails if
 * more than RUNNER_CALLS_MAX calls and one poll are open at a time.
 */
uint32_t fixture_answer_all(struct fixture *fixture, enum exec_call_kind kind);

#endif /* RUNNER_FIXTURE_H */
