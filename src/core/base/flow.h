#ifndef FLOW_H
#define FLOW_H

/**
 * @file flow.h
 * Workflows: jobs whose tasks are grouped in steps that depend on each other. A
 * workflow may be repeated; each repetition is an occurrence. An execution of a
 * task by a worker is a run; a task may need several. Tasks with a target for
 * their tail latency are serving tasks. Fillers are best-effort tasks that use
 * processors which others leave idle. An agent controls the worker on its VM
 * and reports to the leader, the control replica that decides. Contains the
 * records and commands of the replicated state, the messages about workflows
 * between control, entries and agents, and the calls of an agent to its worker.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

/* ---- records ---- */

/** A group of equal tasks. Steps are numbered from 0. */
struct flow_step {
	uint32_t count; /* tasks in each occurrence of the workflow */
	uint32_t cpu_millis; /* of one task, as the next two */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t estimate_ms; /* estimated run time of a task */
	uint32_t nr_after;
	uint64_t *after; /* indexes of the steps that have to be done first */
	bool checkpoints; /* the tasks save checkpoints */
	bool gang; /* all tasks run together or not at all */
	bool same_rack; /* the tasks are slower when spread over racks */
	bool copies; /* tasks may run twice at a time; the first end counts */
	bool lasting; /* long-running: until cancelled, restarted if it ends */
	bool filler; /* runs on idle processors, outside a VM's capacity */
	char image[NAME_BYTES]; /* tasks of one image cause a similar load */
	char label[NAME_BYTES]; /* that the worker must have, "": any */
	char data_rack[NAME_BYTES]; /* rack of the tasks' data, "": any */
	uint32_t max_per_vm; /* tasks of an occurrence on a VM, 0: no limit */
	uint32_t target_ms; /* limit of a serving task's tail latency, or 0 */
	/**
	 * How many running tasks of a long-running step the leader may make
	 * unavailable at a time, 0: no limit. The leader moves one at a time,
	 * whatever the number.
	 */
	uint32_t max_unavailable;
};

enum flow_state {
	FLOW_QUEUED = 1, /* no task has been placed */
	FLOW_RUNNING = 2,
	FLOW_COMPLETED = 3,
	FLOW_FAILED = 4,
	FLOW_CANCELLED = 5,
};

enum flow_task_state {
	FLOW_TASK_WAITING = 0,
	FLOW_TASK_PLACED = 1, /* its placement on a VM is committed */
	FLOW_TASK_DONE = 2,
};

/** A task; it is named "FLOW.OCCURRENCE.STEP.INDEX". */
struct flow_task {
	uint32_t state; /* enum flow_task_state */
	uint32_t run; /* number of the last run, 0: none */
	/*
	 * Runs that have failed. Of the tasks of a gang that fail in one run,
	 * one counts it, so the sum over a gang is the number of its failed
	 * runs.
	 */
	uint32_t nr_failures;
	char vm[NAME_BYTES]; /* FLOW_TASK_PLACED: VM of the run */
	char worker[NAME_BYTES]; /* FLOW_TASK_PLACED: id of the VM's worker */
	uint64_t born_ms; /* start time of the worker's incarnation */
	char checkpoint[NAME_BYTES]; /* to resume from, "": none */
	/* Task of a gang: its last run that has failed, 0: none. */
	uint32_t failed_run;
};

/** A workflow in the replicated state. */
struct flow_record {
	char id[NAME_BYTES]; /* chosen by the client */
	char host[NAME_BYTES]; /* host name of the queue */
	char prefix[NAME_BYTES]; /* path prefix of the queue */
	char service[NAME_BYTES]; /* whose workers may run the tasks */
	uint32_t priority; /* 0 is the highest */
	/** The workflow fails when a task or gang has failed this often. */
	uint32_t attempts;
	/** Objective: this share of the critical path's time, plus slo_ms. */
	uint32_t slack_permille;
	uint32_t slo_ms; /* constant part of the objective */
	uint32_t ticket_ms; /* validity of tickets for starts, 0: none needed */
	GBytes *spec; /* passed to the workers unchanged */
	uint32_t nr_steps;
	struct flow_step *steps;
	/** Number of scheduled occurrences, 0: one that starts at once. */
	uint32_t repeats;
	uint64_t first_ms; /* wall clock time of occurrence 0 */
	uint64_t interval_ms; /* between occurrences */
	uint64_t submitted_ms; /* leader's wall clock */
	uint64_t finished_ms; /* 0 while active */
	uint32_t state; /* enum flow_state */
	uint32_t nr_tasks;
	struct flow_task *tasks; /* sorted by occurrence, step and index */
};

/**
 * A queue to which clients submit workflows, by host and path prefix. Members
 * that struct flow_record has too are copied to the queue's workflows.
 */
struct bundle_queue {
	char name[NAME_BYTES];
	char host[NAME_BYTES];
	char prefix[NAME_BYTES];
	char service[NAME_BYTES];
	uint32_t priority;
	uint32_t attempts;
	uint32_t slack_permille;
	uint32_t slo_ms;
	uint32_t timeout_ms; /* of a call */
	/** Validity of the advice service's tickets, 0: none are needed. */
	uint32_t ticket_ms;
};

/** The pool of workers of a service. */
struct bundle_pool {
	char name[NAME_BYTES]; /* of the service */
	bool enforces_capacity; /* its workers refuse tasks that don't fit */
	bool standby; /* its VMs are powered off */
};

/* ---- commands ---- */

enum flow_change_kind {
	FLOW_CHANGE_PLACE = 1,
	FLOW_CHANGE_END = 2,
	FLOW_CHANGE_SAVE = 3, /* the current run has saved a checkpoint */
};

/** How a run ended. */
enum flow_end {
	FLOW_END_NONE = 0,
	FLOW_END_DONE = 1,
	FLOW_END_FAILED = 2, /* the task or its worker failed */
	FLOW_END_STOPPED = 3, /* by an order of the leader */
	FLOW_END_LAPSED = 4, /* the worker's lease expired */
	FLOW_END_BROKEN = 5, /* another task of its gang ended */
	FLOW_END_ALONE = 6, /* other tasks of its gang didn't start */
	FLOW_END_LOST = 7, /* the worker ended or was lost */
	FLOW_END_REFUSED = 8, /* the run never started */
	/*
	 * The task or its worker failed, in a run of its gang that another
	 * task's end counts as failed. Only in changes; workers report
	 * FLOW_END_FAILED.
	 */
	FLOW_END_ALSO_FAILED = 9,
};

/** A change of one task; ignored if it contradicts the task's state. */
struct flow_change {
	char id[NAME_BYTES]; /* of the workflow */
	uint32_t task; /* index in flow_record.tasks */
	uint32_t kind; /* enum flow_change_kind */
	uint32_t run;
	uint32_t end; /* FLOW_CHANGE_END: enum flow_end */
	/** Set for FLOW_CHANGE_PLACE, and for ends of revoked runs. */
	char vm[NAME_BYTES];
	char worker[NAME_BYTES]; /* id of the VM's worker */
	uint64_t born_ms; /* start time of the worker's incarnation */
	char checkpoint[NAME_BYTES]; /* "": the last one stays */
};

struct cmd_flow_change {
	uint64_t now_ms; /* leader's wall clock */
	uint32_t nr_changes;
	struct flow_change *changes;
};

/** Cancels a workflow. A later submission under the same id is refused. */
struct cmd_flow_cancel {
	char id[NAME_BYTES];
	char host[NAME_BYTES];
	char prefix[NAME_BYTES];
	uint64_t now_ms;
};

/** Drops workflows that finished before the given wall clock time. */
struct cmd_flow_expire {
	uint64_t before_ms;
};

/** Pressure of fillers of one image on serving tasks of another image. */
struct pressure_pair {
	char serving[NAME_BYTES]; /* image */
	char filler[NAME_BYTES]; /* image */
	/**
	 * Utilization in permille that a filler adds to the serving task if the
	 * filler uses the whole VM. The utilization determines the task's tail
	 * latency.
	 */
	uint32_t weight_permille;
	uint32_t doubt_permille; /* standard deviation of weight_permille */
};

/** Stores the weights of pairs of images for later leaders. */
struct cmd_pressure {
	uint32_t nr_pairs;
	struct pressure_pair *pairs;
};

/** A run whose start may still be executed, or may have been. */
struct flow_unconfirmed {
	char task[NAME_BYTES];
	uint32_t run;
	/*
	 * Another copy of the start may be executed though a list has shown the
	 * run.
	 */
	bool has_copy;
};

/**
 * The incarnation of a VM's worker that was reported last, in the replicated
 * state and its snapshots. Tells later leaders what the worker may still do.
 */
struct flow_worker {
	char vm[NAME_BYTES];
	char id[NAME_BYTES]; /* in a command, "": drops the VM's record */
	uint64_t born_ms; /* start time of the incarnation */
	/*
	 * It has the id of an earlier incarnation, a call to which may have
	 * given it a longer lease than any leader has granted.
	 */
	bool restarted;
	/* Starts without an answer or sent twice, by its agent's reports. */
	uint32_t nr_unconfirmed;
	struct flow_unconfirmed *unconfirmed;
};

/** Sets the records of some VMs' workers. */
struct cmd_flow_workers {
	uint32_t nr_workers;
	struct flow_worker *workers;
};

/**
 * A queue's weight and use in the replicated state and its snapshots, see
 * plan/share.h. There is a record while one of the two isn't 0.
 */
struct share_record {
	char host[NAME_BYTES]; /* of the queue, as prefix */
	char prefix[NAME_BYTES];
	char name[NAME_BYTES]; /* of the queue when its weight was set */
	uint32_t weight; /* 0: none set, the standard weight applies */
	uint64_t use_core_ms; /* 0: none */
};

/**
 * An operator's change of a queue's weight. The queue is given by its name, or
 * by its host followed by its prefix.
 */
struct cmd_share_weight {
	char queue[PATH_BYTES];
	uint32_t weight; /* up to SHARE_WEIGHT_MAX, 0: removes the weight */
};

/** Stores queues' uses for later leaders. */
struct cmd_share_uses {
	uint32_t nr_uses;
	struct share_record *uses; /* name and weight are not set */
};

/* ---- messages between entries and control ---- */

enum flow_call_kind {
	FLOW_CALL_SUBMIT = 1,
	FLOW_CALL_STATE = 2, /* of a workflow; without an id, of the queue */
	FLOW_CALL_CANCEL = 3,
};

/** A client's call, which an entry forwards to the leader. */
struct flow_call {
	uint64_t ticket; /* chosen by the entry, echoed in the reply */
	uint32_t kind; /* enum flow_call_kind */
	char host[NAME_BYTES];
	char path[PATH_BYTES]; /* queue's prefix and the workflow's id */
	uint32_t nr_flows; /* 1 for FLOW_CALL_SUBMIT, else 0 */
	struct flow_record *flows; /* as submitted: spec, steps, times */
};

struct flow_reply {
	uint64_t ticket;
	/**
	 * RESULT_OK, RESULT_UNKNOWN_QUEUE, RESULT_UNKNOWN_OBJECT (no such
	 * workflow), RESULT_MALFORMED or RESULT_OUTCOME_UNKNOWN. With any other
	 * result, a submitted workflow wasn't accepted and never runs.
	 */
	uint32_t result;
	uint32_t state; /* enum flow_state, 0 for a queue */
	uint64_t nr_pending; /* of a queue: workflows in FLOW_QUEUED */
	/**
	 * RESULT_NOT_IN_TIME: after this time the workflow may be submitted
	 * again. Otherwise 0.
	 */
	uint32_t retry_after_ms;
};

/* ---- messages between agents and control ---- */

/** One run of a worker's process from its start to its end, as reported. */
struct worker_incarnation {
	char id[NAME_BYTES]; /* "": the agent has no worker */
	uint64_t born_ms; /* start time by the worker's wall clock */
	char service[NAME_BYTES];
	char machine[NAME_BYTES]; /* "" if not reported */
	uint32_t cpu_millis; /* capacity, as the next two */
	uint32_t memory_mib;
	uint32_t accelerators;
	char kind[NAME_BYTES]; /* first label of the worker, "": none */
	char rack[NAME_BYTES]; /* second label of the worker, "": none */
	bool draining;
	bool ended; /* the worker has deregistered and has no runs */
	uint32_t remaining_ms; /* while draining: minimum time to its end */
	uint32_t warmup_ms; /* time for which the worker will still be slow */
};

/** A run that a worker has started or may still start. */
struct flow_run {
	char task[NAME_BYTES];
	uint32_t run;
	bool unconfirmed; /* the start call had no answer: it may start */
	bool unordered; /* listed by the worker, but the agent has no order */
	char checkpoint[NAME_BYTES]; /* last one saved, "": none */
	uint32_t percent; /* share of the task's work that is done */
	/** Serving task: tail latency in ms. Filler: CPU use in cpu_millis. */
	uint32_t figure;
	uint32_t pace; /* allowed speed in percent */
	/* Unconfirmed: its start isn't called yet or waits shortly for its
	 * answer. */
	bool starting;
	/**
	 * Time for which a later incarnation of the worker may execute another
	 * copy of its start, or a start of an earlier run of the task, although
	 * the present one has the run, 0: there is none.
	 */
	uint32_t late_ms;
};

/** The end of a run. */
struct flow_run_end {
	/**
	 * Ends are numbered from 1 in each incarnation of a worker. 0 for a run
	 * that never started, or whose worker's incarnation has ended.
	 */
	uint64_t nr;
	char task[NAME_BYTES];
	uint32_t run;
	uint32_t end; /* enum flow_end */
	uint32_t result; /* FLOW_END_REFUSED: enum result, the reason */
	char checkpoint[NAME_BYTES]; /* last one saved, "": none */
};

/** An agent's report about its worker; the reply is a flow_grant. */
struct flow_report {
	uint64_t seq;
	uint64_t sent_us; /* agent's clock; the lease starts at this time */
	char vm[NAME_BYTES];
	char zone[NAME_BYTES];
	struct worker_incarnation worker;
	bool reachable; /* the worker answers calls */
	bool looked; /* a poll has succeeded: runs has all the worker's runs */
	/**
	 * Time for which a start that is in flight, had no answer or was sent
	 * twice may still be carried out by a later incarnation of the worker,
	 * 0: no such start.
	 */
	uint32_t late_ms;
	uint32_t nr_runs;
	struct flow_run *runs;
	uint32_t nr_ends;
	struct flow_run_end *ends;
	/**
	 * Highest fencing token of a call that this incarnation of the worker
	 * has answered; it refuses calls with a lower one. 0: none.
	 */
	uint64_t answered_fence;
	/** False: an agent of an earlier version, without answered_fence. */
	bool reports_fence;
	/**
	 * An answer has shown that another incarnation with the worker's id is
	 * running, which isn't known yet. The worker's runs have ended, and the
	 * other one may have the longest lease that workers accept.
	 */
	bool restart_seen;
};

/** The leader's reply to a flow_report. */
struct flow_grant {
	uint64_t seq;
	uint64_t sent_us; /* echoed from the report */
	uint64_t term; /* of the leader; an agent ignores older terms */
	uint32_t lease_ms; /* of the worker from sent_us on, 0: no extension */
	char worker[NAME_BYTES]; /* id of the worker in the report */
	uint64_t born_ms; /* start time of its incarnation */
	uint64_t settled_nr; /* ends up to this number are committed */
	uint32_t nr_pairs;
	struct pressure_pair *pairs; /* changed weights that the agent needs */
	/**
	 * Fencing token for the agent's calls to the worker. The worker refuses
	 * a call with a lower token than the highest one it has received.
	 */
	uint64_t fence;
};

enum flow_action {
	FLOW_START = 1,
	FLOW_STOP = 2,
};

/** Order of the leader to start or stop a run. */
struct flow_order {
	uint32_t action; /* enum flow_action */
	char task[NAME_BYTES];
	uint32_t run;
	GBytes *spec; /* this and the rest for FLOW_START */
	char checkpoint[NAME_BYTES]; /* to resume from, "": none */
	bool filler;
	/** An earlier agent process may already have started this run. */
	bool repeated;
	char image[NAME_BYTES];
	uint32_t cpu_millis;
	uint32_t target_ms;
	/**
	 * For how long the start may wait at its agent in favour of calls that
	 * came later.
	 */
	uint32_t yield_ms;
	char ticket[NAME_BYTES]; /* of the advice service, "": none needed */
	/**
	 * The VM's fencing token at the time of the order. The leader raises
	 * the VM's token when it revokes the VM's runs, which makes orders with
	 * a lower token invalid.
	 */
	uint64_t fence;
};

struct flow_orders {
	uint64_t term; /* of the leader; an agent ignores older terms */
	char worker[NAME_BYTES]; /* id of the worker the orders are meant for */
	uint64_t born_ms; /* start time of its incarnation */
	uint32_t nr_orders;
	struct flow_order *orders;
};

/* ---- calls of an agent to its worker ---- */

enum exec_call_kind {
	EXEC_START = 1,
	EXEC_STOP = 2,
	EXEC_POLL = 3, /* long poll: renew the lease, list runs and ends */
	EXEC_PACE = 4, /* set the allowed speed of a filler */
};

struct exec_call {
	enum exec_call_kind kind;
	const char *address; /* of the worker */
	const char *worker_id; /* worker that the call is meant for */
	const char *task; /* not for EXEC_POLL, as the next member */
	uint32_t run;
	uint64_t fence; /* fencing token */
	GBytes *spec; /* EXEC_START, as the next two */
	const char *checkpoint; /* to resume from, "": none */
	const char *ticket; /* of the advice service, "": none needed */
	/** Lease end by the worker's clock, 0: unchanged. */
	uint64_t deadline_ms;
	/** EXEC_POLL: the worker may drop ends up to this number. */
	uint64_t settled_nr;
	uint32_t wait_ms; /* EXEC_POLL: time to wait for a run to end */
	uint32_t percent; /* EXEC_PACE: allowed speed in percent */
};

enum exec_verdict {
	EXEC_NO_ANSWER = 0, /* the call may have an effect, now or later */
	EXEC_NOT_SENT = 1, /* no connection was made */
	EXEC_DONE = 2, /* the worker has carried out the call */
	EXEC_REFUSED = 3, /* the call had no effect */
	EXEC_OTHER_INCARNATION = 4, /* another incarnation answered */
};

struct exec_reply {
	enum exec_verdict verdict;
	uint32_t result; /* EXEC_REFUSED: enum result, the reason */
	/** Worker's clock, 0 if not reported; its first millisecond is 1. */
	uint64_t clock_ms;
	uint64_t born_ms; /* worker's start time, 0 if not reported */
	struct flow_run *runs; /* EXEC_POLL: runs in progress */
	struct flow_run_end *ends; /* EXEC_POLL: ends not dropped yet */
	uint32_t nr_runs;
	uint32_t nr_ends;
	bool closed; /* EXEC_NOT_SENT: the connection was refused */
	/*
	 * The reply is to a second copy of the call, sent after the connection
	 * of the first one had failed. The worker may carry out both.
	 */
	bool resent;
	/*
	 * EXEC_POLL: rows of the worker's lists that couldn't be parsed. A run
	 * that is missing in runs and ends may be in one of these rows.
	 */
	uint32_t nr_unreadable_runs;
	uint32_t nr_unreadable_ends;
	/** Lowest number that an unreadable end may have, 0: none. */
	uint64_t first_unreadable_nr;
	const char *fault; /* static text: parsing error, or NULL */
};

/**
 * Returns after how many whole seconds, rounded up, a refused workflow may be
 * submitted again; 0 if the reply has no time.
 */
uint32_t flow_retry_after_s(const struct flow_reply *reply);
/** Returns true if the run failed, whether the end counts for its gang or not.
 */
bool flow_end_is_failure(uint32_t end);
/** Returns the name of an enum flow_end for logs. */
const char *flow_end_name(uint32_t end);
/** Returns the name of an enum flow_state for logs and callers. */
const char *flow_state_name(uint32_t state);

#endif /* FLOW_H */
