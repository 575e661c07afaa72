#ifndef RUNNER_IMPL_H
#define RUNNER_IMPL_H

/** @file runner_impl.h What the files of the runner share. */

#include "logline.h"
#include "pressure.h"
#include "runner.h"
#include "site.h"

enum runner_phase {
	RUNNER_NEW = 1, /* ordered, not called yet */
	RUNNER_STARTING = 2, /* the start is called */
	RUNNER_UNCONFIRMED = 3, /* the start has no answer */
	RUNNER_RUNNING = 4, /* the worker has it */
};

/** A run on the worker, or one that it may still get. */
struct runner_run {
	char task[NAME_BYTES];
	uint32_t run;
	enum runner_phase phase;
	bool ordered; /* the leader's order is known */
	uint64_t order_fence; /* of the last order to start it */
	bool waits; /* for room or a free call; it was logged */
	bool repeated; /* an earlier agent may have called its start */
	bool stop; /* to be stopped */
	bool stop_call_pending;
	uint64_t added_us;
	uint64_t since_us; /* of the phase */
	uint64_t stop_due_us; /* of the next call to stop */
	uint64_t stopped_us; /* the worker took the stop, 0: not yet */
	GBytes *spec;
	char checkpoint[NAME_BYTES];
	char ticket[NAME_BYTES];
	bool filler;
	uint32_t image; /* pressure_image() */
	uint32_t cpu_millis;
	uint32_t target_ms;
	uint32_t load_permille; /* utilization without fillers */
	uint64_t load_updated_us; /* 0: no figure yet */
	uint64_t far_over_us; /* its tail is far over its target since then */
	struct flow_run seen; /* as listed last */
	uint32_t pace; /* percent in force at the worker */
	uint32_t previous_pace; /* the one before */
	uint64_t pace_changed_us; /* when it changed */
	bool pace_call_pending; /* a call to pace is under way */
};

/** What a look is for. */
enum runner_probe_kind {
	RUNNER_PROBE_NONE = 0, /* it renews the lease of the present worker */
	RUNNER_PROBE_CANDIDATE = 1, /* is this life there? */
	RUNNER_PROBE_LEAVING = 2, /* is the worker gone that said so? */
};

/**
 * A life, or an address of the present one, that a report has named and that
 * hasn't answered yet. The present worker stays until it has.
 */
struct runner_candidate {
	uint64_t nr; /* 0: there is none */
	struct worker_incarnation life;
	char address[ADDRESS_BYTES];
	uint64_t seq;
	uint64_t since_us;
	uint32_t missed_polls;
};

struct runner_call {
	uint64_t call_nr;
	enum exec_call_kind kind;
	enum runner_probe_kind look;
	uint64_t candidate_nr; /* RUNNER_PROBE_CANDIDATE */
	uint64_t sent_us;
	uint64_t fence;
	uint64_t life; /* runner.incarnation_nr when it was sent */
	bool extends; /* carries a deadline */
	uint64_t lease_until_us; /* that the deadline stands for */
	char task[NAME_BYTES];
	uint32_t run;
	uint32_t percent;
};

/** A start without an answer, which may still be carried out. */
struct runner_late_start {
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t until_us;
};

/** The highest run of a task that was said not to start. */
struct runner_refusal {
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t at_us;
};

/** What was seen of the worker's answers and of its lease; for the log. */
struct runner_trace {
	uint32_t looks_unanswered; /* in a row, up to the last answer */
	bool silent; /* the last look had no answer */
	uint64_t answered_us; /* last answer to a look */
	uint64_t granted_us; /* last grant of the leader */
	uint64_t silent_ms; /* from an answer to the last missing one */
	uint64_t renewed_us; /* the worker took a later deadline */
	uint64_t taken_until_us; /* lease that the worker took last */
	uint64_t sent_until_us; /* no call extends the lease beyond this */
	bool unrenewed; /* told since renewed_us */
	bool lapsed; /* told since renewed_us */
	uint64_t settled_nr; /* told at told_us */
	uint32_t unread_runs; /* rows of the last list that couldn't be read */
	uint32_t unread_ends;
	uint64_t first_unreadable_nr;
	bool list_full;
	uint64_t told_us;
};

struct runner {
	struct node *node;
	struct runner_opts opts;
	struct site *site;
	struct worker_incarnation worker; /* id "": none */
	char address[ADDRESS_BYTES];
	uint64_t worker_seq; /* of the last report that was taken */
	uint64_t stale_seq; /* of the last one that wasn't */
	uint32_t stale_increases; /* in a row, with rising numbers */
	bool reported_draining; /* the worker did, in a report */
	uint64_t leaving_us; /* it was deregistered then, 0: no */
	struct runner_candidate candidate;
	uint64_t candidate_nr; /* of the last one */
	uint32_t probes_in_flight; /* looks but RUNNER_PROBE_NONE under way */
	uint64_t heartbeat_us; /* last heartbeat */
	uint64_t incarnation_nr; /* counts the lives seen here */
	uint64_t term; /* highest leader term heard */
	uint64_t fence; /* of calls; never falls */
	uint64_t lease_until_us;
	uint64_t clock_ms; /* worker's clock when it was heard, 0: unknown */
	uint64_t clock_us; /* our clock then */
	uint64_t unanswered_us; /* last call without answer that extends */
	bool reachable;
	uint32_t missed_polls; /* without an answer, since the last one */
	bool looked; /* the worker's runs were listed in this life */
	uint64_t settled_nr;
	uint32_t nr_unreadable_ends; /* rows of the last list */
	uint64_t first_unreadable_nr; /* such an end that isn't settled yet, 0:
					 none */
	GHashTable *runs; /* task -> struct runner_run * */
	GArray *ends; /* struct flow_run_end, listed and not settled */
	GArray *unlisted_ends; /* struct flow_run_end that no list has, sent
				  once */
	GHashTable *refusals; /* task -> struct runner_refusal * */
	GArray *unsure; /* struct runner_late_start */
	GHashTable *calls; /* call_nr -> struct runner_call * */
	uint64_t call_nr;
	bool calls_deferred; /* for others to end, see runner_may_call() */
	bool poll_in_flight;
	uint64_t report_seq;
	struct pressure *pressure; /* as learned by the leader */
	uint64_t over_since_us; /* a serving task is over its target */
	struct runner_trace trace;
	struct timer report_timer;
	struct timer poll_timer;
	struct timer run_timer; /* retries of stops */
	struct timer start_timer; /* starts that wait for room */
	struct timer leaving_timer; /* looks at a worker that leaves */
};

/** Reports within RUNNER_REPORT_DELAY_MS. */
void runner_report_soon(struct runner *runner);

/* runner_run.c */
void runner_run_free(void *run);
/** Returns the run of this number, NULL if there is none. */
struct runner_run *runner_find(const struct runner *runner, const char *task,
			       uint32_t nr);
struct runner_run *runner_add(struct runner *runner, const char *task,
			      uint32_t nr, enum runner_phase phase);
void runner_set_phase(struct runner *runner, struct runner_run *run,
		      enum runner_phase phase);
void runner_log_run(struct runner *runner, const char *event, const char *task,
		    uint32_t run, const char *outcome, enum result result);
/** The run never started and never will: the leader may place it anew. */
void runner_refuse(struct runner *runner, const char *task, uint32_t run,
		   enum result result);
bool runner_has_refused(const struct runner *runner, const char *task,
			uint32_t run);
/** Forgets the run and refuses it. */
void runner_drop(struct runner *runner, struct runner_run *run,
		 enum result result);
/**
 * The start isn't called, or is refused. A run that an earlier agent may have
 * started, or whose start may still come, is stopped before it is refused.
 */
void runner_start_failed(struct runner *runner, struct runner_run *run,
			 enum result result);
/** Calls the worker to start the run, now or later, or drops the run. */
void runner_start(struct runner *runner, struct runner_run *run);
void runner_stop(struct runner *runner, struct runner_run *run);
/** Timer function: repeats stops that had no answer. */
void runner_run_due(void *data, uint64_t now_us);

/* runner_worker.c */
bool runner_has_worker(const struct runner *runner);
/**
 * A deadline on the worker's clock that passes before our lease ends, though
 * that clock may run slow; 0 if there is none.
 */
uint64_t runner_deadline_ms(const struct runner *runner);
/** How long the worker's lease still runs by our grant. */
uint64_t runner_lease_left_ms(const struct runner *runner);
/** How long a call without an answer may still extend the worker's lease. */
uint32_t runner_late_ms(const struct runner *runner);
/** Returns true if the worker may have more ends than it lists. */
bool runner_list_is_full(const struct exec_reply *reply);
/** Looks at the worker, unless a look is under way. */
void runner_poll(struct runner *runner);
/** Timer function. */
void runner_poll_due(void *data, uint64_t now_us);
/** Ends calls that the host has not answered in time. */
void runner_expire_calls(struct runner *runner);
/** Returns false if the call has to wait for others to end. */
bool runner_may_call(struct runner *runner);
/** Calls the worker. */
void runner_call(struct runner *runner, struct exec_call *call);
/**
 * Looks at a life without extending its lease or settling ends. @a candidate_nr
 * is echoed in the call.
 */
void runner_probe(struct runner *runner, enum runner_probe_kind look,
		  uint64_t candidate_nr, const char *id, const char *address);

/* runner_life.c */
/** Takes the answer to a look that runner_probe() has made. */
void runner_probe_done(struct runner *runner, const struct runner_call *call,
		       const struct exec_reply *reply);
/** Timer function: looks again at a worker that leaves. */
void runner_leaving_due(void *data, uint64_t now_us);
void runner_log_worker(struct runner *runner, const char *event);
/**
 * A start without an answer may still be carried out by a later life under the
 * same identity, which knows of no stop.
 */
void runner_keep_late_start(struct runner *runner, const char *task,
			    uint32_t run);

/* runner_log.c */
/** Begins the trace of a new life of the worker. */
void runner_trace_incarnation(struct runner *runner);
void runner_trace_call(struct runner *runner, struct runner_call *call);
/** Counts a reply; logs one that is missing and a refusal. */
void runner_trace_reply(struct runner *runner, const struct runner_call *call,
			const struct exec_reply *reply);
/** Adds what the last looks at the worker brought. */
void runner_log_polls(const struct runner *runner, GString *line);
/**
 * Sets the gauges; logs which ends were settled, when the worker's lease isn't
 * renewed, and when it has lapsed.
 */
void runner_trace_report(struct runner *runner);
/** Logs once that the start of a run isn't called yet, and why. */
void runner_log_start_wait(struct runner *runner, struct runner_run *run,
			   const char *reason);
void runner_log_started(struct runner *runner, const struct runner_call *call,
			const struct runner_run *run);
/** The worker lists neither the run nor its end. */
void runner_log_absent(struct runner *runner, const struct runner_run *run);

/* runner_pace.c */
/**
 * Starts a new run, at once or as soon as the other fillers are slow enough: a
 * worker starts fillers at full pace.
 */
void runner_start_paced(struct runner *runner, struct runner_run *run);
/** Timer function: starts the runs that wait. */
void runner_start_due(void *data, uint64_t now_us);
/** Adapts the fillers' pace to the figures listed last. */
void runner_pace(struct runner *runner);
void runner_pace_done(struct runner *runner, const struct runner_call *call,
		      const struct exec_reply *reply);
/** Returns true if figures decide about the pace of a run here. */
bool runner_needs_pacing(const struct runner *runner);

#endif /* RUNNER_IMPL_H */
