#ifndef RUNNER_IMPL_H
#define RUNNER_IMPL_H

/**
 * @file runner_impl.h
 * Types and functions shared by the runner's files. The runner makes four kinds
 * of calls to the worker: start, stop, pace (sets the speed of a filler, a
 * best-effort task) and poll (lists runs and ends, renews the lease). A poll
 * that only asks whether a worker is there is called a probe.
 *
 * Each call carries a fencing token, in which the leader's token comes first
 * and the agent's count last. The leader raises its token when it revokes the
 * VM's runs, and with its term; grants and orders are compared by it. The agent
 * raises its count when it may have lost contact with the worker's incarnation,
 * so that the next call that is executed bars all earlier ones, also at an
 * incarnation that has been restarted with the same identity and has received
 * no token yet.
 *
 * Serving tasks have a target for their tail latency. Pressure is utilization
 * that fillers add to them. A weight is the pressure of a filler of one image
 * on a serving task of another image if the filler used the whole VM.
 */

#include "logline.h"
#include "pressure.h"
#include "runner.h"
#include "site.h"
#include "worker_clock.h"

enum runner_phase {
	RUNNER_NEW = 1, /* ordered; the start call isn't made yet */
	RUNNER_STARTING = 2, /* the start call is in flight */
	RUNNER_UNCONFIRMED = 3, /* unknown whether the worker has the run */
	RUNNER_RUNNING = 4, /* the worker has the run */
};

/** A run that the worker has or may still get. */
struct runner_run {
	char task[NAME_BYTES];
	uint32_t run;
	enum runner_phase phase;
	bool ordered; /* an order of the leader for this run was received */
	uint64_t order_fence; /* fencing token of the last start order */
	uint32_t yield_ms; /* of its start order, 0: no order was received */
	bool wait_logged; /* the wait of the start was logged */
	/*
	 * The worker may carry out another start call for the run: one of an
	 * earlier agent process, or the first copy of one that was sent twice.
	 */
	bool repeated;
	bool overdue; /* the start had no answer for RUNNER_START_OVERDUE_MS */
	/*
	 * The answer to the start may be of another incarnation; a list that
	 * names the incarnation shows whether this one has the run.
	 */
	bool unattributed;
	bool stop; /* the run is to be stopped */
	bool stop_call_pending;
	uint64_t added_us; /* when this record was added */
	uint64_t since_us; /* when the run entered its phase */
	uint64_t stop_due_us; /* when the next stop call is due */
	uint64_t stopped_us; /* when the worker confirmed a stop, 0: not yet */
	GBytes *spec;
	char checkpoint[NAME_BYTES];
	char ticket[NAME_BYTES];
	bool filler;
	uint32_t image; /* number of the image, see pressure_image() */
	uint32_t cpu_millis;
	uint32_t target_ms;
	uint32_t load_permille; /* estimated utilization without fillers */
	uint64_t load_updated_us; /* when load_permille was set, 0: never */
	/* Since when the tail latency is far over target, 0: it isn't. */
	uint64_t far_over_us;
	struct flow_run seen; /* as last listed by the worker */
	uint32_t pace; /* percent of full speed, in force at the worker */
	uint32_t previous_pace; /* percent, before the last change */
	uint64_t pace_changed_us; /* when the pace last changed, 0: never */
	bool pace_call_pending;
};

/** Why an EXEC_POLL call is made. */
enum runner_probe_kind {
	RUNNER_PROBE_NONE = 0, /* not a probe, but the regular poll */
	RUNNER_PROBE_CANDIDATE = 1, /* does the candidate answer? */
	RUNNER_PROBE_LEAVING = 2, /* has the worker terminated? */
};

/**
 * A new incarnation of the worker, or a new address of the current one, that a
 * heartbeat has named. The candidate replaces the current worker or address
 * once it has answered a probe.
 */
struct runner_candidate {
	uint64_t nr; /* 0: no candidate */
	struct worker_incarnation incarnation;
	char address[ADDRESS_BYTES];
	uint64_t seq; /* highest number of a heartbeat */
	uint64_t since_us; /* when the first heartbeat arrived */
	uint32_t missed_polls; /* probes without an answer */
};

struct runner_call {
	uint64_t call_nr;
	enum exec_call_kind kind;
	enum runner_probe_kind probe_kind;
	uint64_t candidate_nr; /* RUNNER_PROBE_CANDIDATE only */
	uint64_t sent_us;
	uint64_t fence;
	uint64_t leader_fence; /* the leader's token when it was sent */
	uint64_t incarnation_nr; /* runner.incarnation_nr when it was sent */
	bool extends_lease; /* the call has a new deadline for the lease */
	uint64_t lease_until_us; /* end of that lease by the agent's clock */
	uint64_t deadline_ms; /* the same by the worker's clock, 0: none */
	bool yields; /* a start or stop of a run with a yield_ms above 0 */
	char task[NAME_BYTES]; /* "" for EXEC_POLL */
	uint32_t run;
	uint32_t percent; /* EXEC_PACE: the new pace */
};

/**
 * A start call without an answer, or that was sent twice, so that a worker may
 * still carry it out.
 */
struct runner_late_start {
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t until_us; /* the call may be carried out until then */
	/*
	 * The call was sent twice, so it may be carried out although a list has
	 * shown the run.
	 */
	bool has_copy;
};

/** The highest run of a task that was reported as never started. */
struct runner_refusal {
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t at_us; /* time of the last report */
};

/** History of the worker's replies and of its lease, for log lines only. */
struct runner_trace {
	uint32_t unanswered_polls; /* in a row; kept by the next answer */
	bool poll_missed; /* the last poll had no answer */
	uint64_t answered_us; /* time of the last answer to a poll */
	uint64_t granted_us; /* time of the leader's last grant */
	/** From the answer before the last poll's end to that end. */
	uint64_t unanswered_ms;
	uint64_t renewed_us; /* when the worker last accepted a later lease */
	uint64_t accepted_until_us; /* end of the lease accepted last */
	uint64_t sent_until_us; /* latest end of the lease sent in any call */
	bool unrenewed_logged; /* "lease-unrenewed" logged since renewed_us */
	bool lapse_logged; /* "lease-lapsed" logged since renewed_us */
	uint64_t settled_nr; /* runner.settled_nr, as last logged */
	uint32_t unreadable_runs; /* unreadable runs in the last list */
	uint32_t unreadable_ends; /* unreadable ends in the last list */
	uint64_t first_unreadable_nr; /* lowest number of such an end or 0 */
	bool list_full; /* the last list couldn't hold more ends */
	uint64_t acks_logged_us; /* when settled_nr was last checked */
};

struct runner {
	struct node *node;
	struct runner_opts opts;
	struct site *site;
	struct worker_incarnation worker; /* the current one, id "": none */
	char address[ADDRESS_BYTES]; /* of the current worker */
	uint64_t worker_seq; /* number of the last accepted heartbeat */
	uint64_t stale_seq; /* number of the last stale heartbeat, 0: none */
	uint32_t stale_increases; /* stale heartbeats in a row, seq rising */
	bool reported_draining; /* by a heartbeat of this incarnation */
	/*
	 * The ended incarnation was restarted under its identity, and the new
	 * one isn't known yet; it may carry out the late starts.
	 */
	bool restarted;
	uint64_t deregistered_us; /* time of deregistration, 0: none */
	struct runner_candidate candidate;
	uint64_t candidate_nr; /* number of the newest candidate */
	uint32_t probes_in_flight;
	uint64_t heartbeat_us; /* time of the last accepted heartbeat */
	uint64_t incarnation_nr; /* raised when an incarnation starts or ends */
	uint64_t term; /* highest leader term seen in a message */
	uint64_t fence; /* the leader's fencing token; never decreases */
	/* Fencing token of calls, see runner_accept_fence(); the same. */
	uint64_t call_fence;
	/*
	 * Highest token of the leader in a call that this incarnation has
	 * answered, or 0.
	 */
	uint64_t answered_fence;
	/*
	 * The leader's token at the restart if the worker was restarted under
	 * its identity, else 0. The leader's next grant brings a higher one.
	 */
	uint64_t earlier_fence;
	uint64_t lease_until_us; /* end of the granted lease, 0: none yet */
	struct worker_clock clock; /* in the incarnation's last reply */
	bool reachable; /* the worker answered the last poll */
	/*
	 * Since the last poll without an answer, a call was sent and answered
	 * whose answer is surely of this incarnation. A refusal may be of a
	 * later one, and an earlier call's answer may have been sent before a
	 * restart.
	 */
	bool in_contact;
	uint32_t missed_polls; /* polls missed in a row */
	/*
	 * An answer has shown that another incarnation with the worker's id is
	 * running. Until a list that was requested after that names the current
	 * one, or a candidate takes its place, no call has a deadline, and
	 * answers that name no incarnation don't count.
	 */
	bool restart_seen;
	bool listed; /* this incarnation's runs were listed at least once */
	uint64_t restart_seen_nr; /* last call before restart_seen was set */
	uint64_t settled_nr; /* number of the last acknowledged end */
	uint64_t first_listed_nr; /* of the ends in the last list, 0: none */
	uint32_t nr_unreadable_ends; /* unreadable ends in the last list */
	/** Lowest number of an unreadable end, 0: none, or the list is full. */
	uint64_t first_unreadable_nr;
	GHashTable *runs; /* task -> struct runner_run * */
	/* struct flow_run in the last list that a later run has superseded. */
	GArray *superseded;
	GArray *ends; /* struct flow_run_end, listed but not acknowledged */
	GArray *unlisted_ends; /* struct flow_run_end, not listed, sent once */
	GHashTable *refusals; /* task -> struct runner_refusal * */
	GArray *late_starts; /* struct runner_late_start, one a task */
	GHashTable *calls; /* call_nr -> struct runner_call * */
	uint64_t call_nr; /* number of the last call */
	uint64_t contact_lost_nr; /* last call before in_contact was cleared */
	bool calls_deferred; /* starts or stops may wait for a free call */
	uint32_t yielding_calls; /* calls in flight with runner_call.yields */
	bool queue_running; /* in runner_queue_due() */
	bool poll_in_flight;
	uint64_t report_seq; /* sequence number of the last report */
	struct pressure *pressure; /* weights, as sent by the leader */
	uint64_t over_since_us; /* when last no task was over its target */
	struct runner_trace trace;
	struct timer report_timer;
	struct timer poll_timer; /* the next poll */
	struct timer run_timer; /* calls and repeats waiting stops and starts */
	struct timer start_timer; /* starts that wait for headroom */
	struct timer overdue_timer; /* reports starts without an answer */
	struct timer leaving_timer; /* probes of a deregistered worker */
};

/** Sends a report to the leader at once. */
void runner_report_now(struct runner *runner);
/** Sends a report to the leader within RUNNER_REPORT_DELAY_MS. */
void runner_report_soon(struct runner *runner);

/* runner_run.c */
void runner_run_free(void *run);
/** Returns the task's run if it has the number @a nr, else NULL. */
struct runner_run *runner_find(const struct runner *runner, const char *task,
			       uint32_t nr);
struct runner_run *runner_add(struct runner *runner, const char *task,
			      uint32_t nr, enum runner_phase phase);
void runner_set_phase(struct runner *runner, struct runner_run *run,
		      enum runner_phase phase);
void runner_log_run(struct runner *runner, const char *event, const char *task,
		    uint32_t run, const char *outcome, enum result result);
/**
 * Reports that a run has never started and never will, so that the leader may
 * place the task on another worker. @a result is the reason.
 */
void runner_refuse(struct runner *runner, const char *task, uint32_t run,
		   enum result result);
/** Returns true if this run or a later one was passed to runner_refuse(). */
bool runner_has_refused(const struct runner *runner, const char *task,
			uint32_t run);
/** Removes the run and reports it as never started. */
void runner_drop(struct runner *runner, struct runner_run *run,
		 enum result result);
/**
 * Handles a run whose start call may still be carried out. A stop prevents
 * this; after that a list shows whether the worker has the run.
 */
void runner_start_unconfirmed(struct runner *runner, struct runner_run *run,
			      const char *outcome, enum result result);
/**
 * Handles a run whose start can't be called or was refused by the worker. The
 * run is dropped; but if the worker may carry out another start call for it,
 * the run is stopped first.
 */
void runner_start_failed(struct runner *runner, struct runner_run *run,
			 enum result result);
/**
 * Calls the start of the run, defers it if too many calls are in flight, or
 * handles it as failed if the worker drains or the lease is too short.
 */
void runner_start(struct runner *runner, struct runner_run *run);
/** Marks the run to be stopped, and calls the stop or defers it. */
void runner_stop(struct runner *runner, struct runner_run *run);
/** Timer function: reports starts that wait long for their answers. */
void runner_overdue_due(void *data, uint64_t now_us);

/* runner_queue.c */
/**
 * Returns false if the run's start or stop must wait, because too many calls
 * are in flight or others wait that may be more urgent. It is then called in
 * its turn when a call has ended.
 */
bool runner_is_turn(struct runner *runner, const struct runner_run *run);
/** Timer function: calls the starts and stops that are due, in their order. */
void runner_queue_due(void *data, uint64_t now_us);
/** Has the waiting starts and stops called if a call is free. */
void runner_call_deferred(struct runner *runner);

/* runner_worker.c */
bool runner_has_worker(const struct runner *runner);
/**
 * Returns the deadline for the worker's lease on the worker's clock, 0 if there
 * is no lease. The deadline passes before the granted lease ends, even if the
 * worker's clock runs slow by WORKER_CLOCK_SLOW_PERMILLE.
 */
uint64_t runner_deadline_ms(const struct runner *runner);
/** Returns the milliseconds until the granted lease ends, 0: has ended. */
uint64_t runner_lease_left_ms(const struct runner *runner);
/**
 * Returns for how many more milliseconds a later incarnation of the worker may
 * carry out a start that is in flight, had no answer or was sent twice, 0 if
 * there is no such start.
 */
uint32_t runner_late_ms(const struct runner *runner);
/**
 * Returns for how many more milliseconds a later incarnation of the worker may
 * execute a start of the task, although this one has the run, 0: it can't.
 */
uint32_t runner_copy_late_ms(const struct runner *runner, const char *task);
/** Returns true if the worker may have more ends than this list shows. */
bool runner_list_is_full(const struct exec_reply *reply);
/**
 * Polls the worker, unless a poll is in flight: renews the worker's lease,
 * acknowledges ends, and requests the lists of runs and ends.
 */
void runner_poll(struct runner *runner);
/** Timer function: polls the worker. */
void runner_poll_due(void *data, uint64_t now_us);
/**
 * Ends the calls for which the host hasn't called runner_call_done() within
 * RUNNER_CALL_MAX_MS, as calls without an answer.
 */
void runner_expire_calls(struct runner *runner);
/**
 * Returns false if RUNNER_CALLS_MAX calls, besides polls, are in flight. Starts
 * and stops that have to wait take their turn with runner_is_turn().
 */
bool runner_may_call(const struct runner *runner);
/**
 * Applies a leader's token. If it raises the token of calls, the agent's count
 * begins at 0 again.
 */
void runner_accept_fence(struct runner *runner, uint64_t fence);
/**
 * Raises the token of calls by one, so that the worker refuses all earlier
 * calls once it has received a later one. Once the agent's count is used up,
 * the token stays as it is until the leader raises its own.
 */
void runner_bar_earlier_calls(struct runner *runner);
/** Calls the current worker. @a run is the run to start or stop, or NULL. */
void runner_call(struct runner *runner, const struct runner_run *run,
		 struct exec_call *call);
/**
 * Probes a worker without extending its lease or acknowledging ends.
 * @a candidate_nr is the number of the probed candidate, else 0.
 */
void runner_probe(struct runner *runner, enum runner_probe_kind kind,
		  uint64_t candidate_nr, const char *id, const char *address);

/* runner_incarnation.c */
/**
 * Handles an answer of another incarnation with the worker's id. @a born_ms is
 * 0 if the answer doesn't name it; otherwise it becomes the candidate.
 */
void runner_note_restart(struct runner *runner, uint64_t born_ms);
/** Handles a list, the reply to @a call, that names the current incarnation. */
void runner_clear_restart(struct runner *runner,
			  const struct runner_call *call);
/** Notes that the worker may have been restarted since its last answer. */
void runner_lose_contact(struct runner *runner);
/** Handles the reply to a probe. */
void runner_probe_done(struct runner *runner, const struct runner_call *call,
		       const struct exec_reply *reply);
/** Timer function: probes a deregistered worker. */
void runner_leaving_due(void *data, uint64_t now_us);
/** Logs an event of the current worker. */
void runner_log_worker(struct runner *runner, const char *event);
/**
 * Records a start call without an answer, or that was sent twice. A later
 * incarnation with the same id may still carry out the call, even if the
 * current one has stopped the run. @a has_copy: the call was sent twice.
 */
void runner_keep_late_start(struct runner *runner, const char *task,
			    uint32_t run, bool has_copy);
/**
 * Adds the starts that a successor of the ended incarnation may still carry out
 * to a report's runs.
 */
void runner_add_late_starts(const struct runner *runner, GArray *runs);

/* runner_log.c */
/** Resets the trace for a new incarnation of the worker. */
void runner_trace_incarnation(struct runner *runner);
void runner_trace_call(struct runner *runner, struct runner_call *call);
/** Counts a reply; logs missing and unreadable replies, and refusals. */
void runner_trace_reply(struct runner *runner, const struct runner_call *call,
			const struct exec_reply *reply);
/** Logs a call that another incarnation of the worker has answered. */
void runner_log_misdirected(struct runner *runner,
			    const struct runner_call *call,
			    const struct exec_reply *reply);
/** Appends the results of the last polls of the worker to a log line. */
void runner_log_polls(const struct runner *runner, GString *line);
/**
 * Sets the gauges; logs which ends were acknowledged, and whether the worker's
 * lease isn't renewed or has lapsed.
 */
void runner_trace_report(struct runner *runner);
/** Logs once per run that its start has to wait for @a reason. */
void runner_log_start_wait(struct runner *runner, struct runner_run *run,
			   const char *reason);
/** Logs a start that the worker has executed, with the clock in its answer. */
void runner_log_started(struct runner *runner, const struct runner_call *call,
			const struct runner_run *run,
			const struct exec_reply *reply);
/** Logs that the worker lists neither the run nor its end. */
void runner_log_absent(struct runner *runner, const struct runner_run *run);

/* runner_pace.c */
/**
 * Starts a new run. A worker starts fillers at their full pace. The start of a
 * filler therefore waits, up to PACE_START_WAIT_MS, until the serving tasks
 * (those with a target for their tail latency) have headroom for this pace.
 */
void runner_start_paced(struct runner *runner, struct runner_run *run);
/** Adjusts the fillers' pace to the measurements in the last list. */
void runner_pace(struct runner *runner);
void runner_pace_done(struct runner *runner, const struct runner_call *call,
		      const struct exec_reply *reply);
/** Returns true if both serving tasks and fillers run on the VM. */
bool runner_needs_pacing(const struct runner *runner);

#endif /* RUNNER_IMPL_H */
