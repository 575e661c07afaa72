#ifndef FLOW_H
#define FLOW_H

/**
 * @file flow.h
 * Workflows: jobs whose tasks stand in steps that depend on each other. Records
 * and commands of the replicated state, and the messages between control,
 * entries and agents that concern them.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

/* ---- records ---- */

/** Tasks of one shape; indexes of steps count from 0. */
struct flow_step {
	uint32_t count; /* tasks in each occurrence */
	uint32_t cpu_millis; /* a task */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t estimate_ms; /* rough run time of a task */
	uint32_t nr_after;
	uint64_t *after; /* earlier steps that must be done first */
	bool checkpoints; /* the tasks save their progress */
	bool gang; /* all tasks run together or not at all */
	bool same_rack; /* slower when spread over racks */
	bool copies; /* a task may run twice at a time; the first end counts */
	bool lasting; /* runs until cancelled, restarted however it ends */
	bool filler; /* its processors don't count against a VM's capacity */
	char image[NAME_BYTES]; /* tasks of one image behave alike */
	char label[NAME_BYTES]; /* that the worker must have, "": any */
	char data_rack[NAME_BYTES]; /* slower on any other rack, "": any */
	uint32_t max_per_vm; /* tasks of an occurrence on one VM, 0: any */
	uint32_t target_ms; /* limit of the tail latency, 0: none */
	uint32_t max_unavailable; /* by our own doing, 0: no limit */
};

enum flow_state {
	FLOW_QUEUED = 1, /* no task was placed yet */
	FLOW_RUNNING = 2,
	FLOW_COMPLETED = 3,
	FLOW_FAILED = 4,
	FLOW_CANCELLED = 5,
};

enum flow_task_state {
	FLOW_TASK_WAITING = 0,
	FLOW_TASK_PLACED = 1, /* run number `run` belongs to one VM */
	FLOW_TASK_DONE = 2,
};

/** A task; its name is "FLOW.OCCURRENCE.STEP.INDEX". */
struct flow_task {
	uint32_t state; /* enum flow_task_state */
	uint32_t run; /* number of the last run, 0: none yet */
	uint32_t nr_failures;
	char vm[NAME_BYTES]; /* FLOW_TASK_PLACED: whose worker has the run */
	char worker[NAME_BYTES]; /* identity of that worker */
	uint64_t born_ms; /* start of that worker, tells its lives apart */
	char checkpoint[NAME_BYTES]; /* to resume from, "": none */
};

struct flow_record {
	char id[NAME_BYTES]; /* chosen by the client */
	char host[NAME_BYTES]; /* of the queue */
	char prefix[NAME_BYTES];
	char service[NAME_BYTES]; /* whose workers may run it */
	uint32_t priority; /* 0 goes first */
	uint32_t attempts; /* runs of a task that may fail */
	uint32_t slack_permille; /* of the chain of work, for the objective */
	uint32_t slo_ms; /* added to it */
	uint32_t ticket_ms; /* validity of tickets to start, 0: none needed */
	GBytes *spec; /* passed to the workers as it is */
	uint32_t nr_steps;
	struct flow_step *steps;
	uint32_t repeats; /* occurrences, 0 for a single one without a time */
	uint64_t first_ms; /* wall clock, of occurrence 0 */
	uint64_t interval_ms;
	uint64_t submitted_ms; /* leader's wall clock */
	uint64_t finished_ms; /* 0 while active */
	uint32_t state; /* enum flow_state */
	uint32_t nr_tasks; /* by occurrence, step, index */
	struct flow_task *tasks;
};

/** A queue of the bundle: where clients submit workflows. */
struct bundle_queue {
	char name[NAME_BYTES];
	char host[NAME_BYTES];
	char prefix[NAME_BYTES];
	char service[NAME_BYTES];
	uint32_t priority;
	uint32_t attempts;
	uint32_t slack_permille;
	uint32_t slo_ms;
	uint32_t timeout_ms;
	uint32_t
		ticket_ms; /* an adviser gives tickets valid so long, 0: none */
};

/** A service's pool of workers. */
struct bundle_pool {
	char name[NAME_BYTES];
	bool enforces_capacity; /* its workers refuse what doesn't fit */
	bool standby; /* its VMs are off */
};

/* ---- commands ---- */

enum flow_change_kind {
	FLOW_CHANGE_PLACE = 1,
	FLOW_CHANGE_END = 2,
	FLOW_CHANGE_SAVE = 3, /* a checkpoint of the run in progress */
};

enum flow_end {
	FLOW_END_NONE = 0,
	FLOW_END_DONE = 1,
	FLOW_END_FAILED = 2, /* by its own fault or its worker's */
	FLOW_END_STOPPED = 3, /* by an order */
	FLOW_END_LAPSED = 4, /* its lease ran out */
	FLOW_END_BROKEN = 5, /* another member of its gang ended */
	FLOW_END_ALONE = 6, /* the other members of its gang didn't come */
	FLOW_END_LOST = 7, /* with its worker */
	FLOW_END_REFUSED = 8, /* it never started */
};

/** One change of one task, applied only if it fits the task's state. */
struct flow_change {
	char id[NAME_BYTES]; /* of the workflow */
	uint32_t task; /* index in flow_record.tasks */
	uint32_t kind; /* enum flow_change_kind */
	uint32_t run;
	uint32_t end; /* enum flow_end, FLOW_CHANGE_END */
	char vm[NAME_BYTES]; /* FLOW_CHANGE_PLACE, and ends of runs taken back
			      */
	char worker[NAME_BYTES];
	uint64_t born_ms;
	char checkpoint[NAME_BYTES]; /* "" leaves the known one */
};

struct cmd_flow_change {
	uint64_t now_ms;
	uint32_t nr_changes;
	struct flow_change *changes;
};

/** Cancels a workflow; one that is unknown is never accepted afterwards. */
struct cmd_flow_cancel {
	char id[NAME_BYTES];
	char host[NAME_BYTES];
	char prefix[NAME_BYTES];
	uint64_t now_ms;
};

/** Drops workflows that finished before the given time. */
struct cmd_flow_expire {
	uint64_t before_ms;
};

/** How much a filler's image raises the tail of a serving image. */
struct pressure_pair {
	char serving[NAME_BYTES];
	char filler[NAME_BYTES];
	/** Added by a filler on a whole VM, of the tail alone. */
	uint32_t weight_permille;
	uint32_t doubt_permille; /* standard deviation of the weight */
};

/** Replaces the weights of these pairs, for the next leader. */
struct cmd_pressure {
	uint32_t nr_pairs;
	struct pressure_pair *pairs;
};

/* ---- messages between entries and control ---- */

enum flow_call_kind {
	FLOW_CALL_SUBMIT = 1,
	FLOW_CALL_STATE = 2, /* of a workflow, or of the queue without an id */
	FLOW_CALL_CANCEL = 3,
};

struct flow_call {
	uint64_t ticket; /* chosen by the entry, echoed */
	uint32_t kind; /* enum flow_call_kind */
	char host[NAME_BYTES];
	char path[PATH_BYTES]; /* the longest prefix selects the queue */
	uint32_t nr_flows; /* 1 for FLOW_CALL_SUBMIT, else 0 */
	struct flow_record *flows; /* spec, steps and times are set */
};

struct flow_reply {
	uint64_t ticket;
	/**
	 * RESULT_OK; RESULT_UNKNOWN_QUEUE; RESULT_UNKNOWN_OBJECT: no such
	 * workflow; RESULT_MALFORMED; RESULT_OUTCOME_UNKNOWN; anything else:
	 * not accepted, never runs.
	 */
	uint32_t result;
	uint32_t state; /* enum flow_state, 0 for a queue */
	uint64_t nr_pending; /* of a queue: accepted, no task has started */
};

/* ---- messages between agents and control ---- */

/** One life of a worker, as it describes itself. */
struct worker_incarnation {
	char id[NAME_BYTES]; /* "": no worker is known */
	uint64_t born_ms; /* worker's wall clock at its start */
	char service[NAME_BYTES];
	char machine[NAME_BYTES]; /* "" if not told */
	uint32_t cpu_millis; /* capacity */
	uint32_t memory_mib;
	uint32_t accelerators;
	char kind[NAME_BYTES]; /* first label */
	char rack[NAME_BYTES]; /* second label */
	bool draining;
	bool ended; /* it said that it ends: nothing runs there any more */
	uint32_t remaining_ms; /* least time left, while draining */
	uint32_t warmup_ms; /* how much longer it is slow after its start */
};

/** A run that the worker has, or may still start. */
struct flow_run {
	char task[NAME_BYTES];
	uint32_t run;
	bool unconfirmed; /* the outcome of its start is not known */
	bool unordered; /* the agent doesn't know the leader's order */
	char checkpoint[NAME_BYTES];
	uint32_t percent; /* of its work */
	uint32_t figure; /* tail latency in ms if it serves, else cpu_millis */
	uint32_t pace; /* percent that it may work at */
};

/** The end of a run; nr counts within one life of the worker. */
struct flow_run_end {
	uint64_t nr; /* 0: the run never started, or its life is over */
	char task[NAME_BYTES];
	uint32_t run;
	uint32_t end; /* enum flow_end */
	uint32_t result; /* enum result, FLOW_END_REFUSED: why */
	char checkpoint[NAME_BYTES];
};

struct flow_report {
	uint64_t seq;
	uint64_t sent_us; /* agent's clock; the lease counts from here */
	char vm[NAME_BYTES];
	char zone[NAME_BYTES];
	struct worker_incarnation worker;
	bool reachable; /* the worker answers calls */
	bool looked; /* runs is what the worker holds */
	/**
	 * How much longer a call without an answer may still extend the
	 * worker's lease.
	 */
	uint32_t late_ms;
	uint32_t nr_runs;
	struct flow_run *runs;
	uint32_t nr_ends;
	struct flow_run_end *ends;
};

struct flow_grant {
	uint64_t seq;
	uint64_t sent_us; /* echoed from the report */
	uint64_t term; /* of the leader; an agent ignores older terms */
	uint32_t lease_ms; /* of the worker; 0: no extension */
	char worker[NAME_BYTES];
	uint64_t born_ms;
	uint64_t settled_nr; /* ends up to this one are in the log */
	uint32_t nr_pairs; /* weights that are new to the agent */
	struct pressure_pair *pairs;
	/* Of calls to the worker, which does nothing for a lower one. */
	uint64_t fence;
};

enum flow_action {
	FLOW_START = 1,
	FLOW_STOP = 2,
};

struct flow_order {
	uint32_t action; /* enum flow_action */
	char task[NAME_BYTES];
	uint32_t run;
	GBytes *spec;
	char checkpoint[NAME_BYTES];
	bool filler;
	char image[NAME_BYTES];
	uint32_t cpu_millis;
	uint32_t target_ms;
	char ticket[NAME_BYTES]; /* permit of the advice service, "" if none */
	/** Another agent process may have called the worker for this run. */
	bool repeated;
	/**
	 * The VM's fence when the order was given. It rises when the leader
	 * gives up what the VM was told, so a start under a lower one is void.
	 */
	uint64_t fence;
};

struct flow_orders {
	uint64_t term;
	char worker[NAME_BYTES];
	uint64_t born_ms;
	uint32_t nr_orders;
	struct flow_order *orders;
};

/* ---- calls of an agent to its worker ---- */

enum exec_call_kind {
	EXEC_START = 1,
	EXEC_STOP = 2,
	EXEC_POLL = 3, /* renew the lease, list runs and ends */
	EXEC_PACE = 4,
};

struct exec_call {
	enum exec_call_kind kind;
	const char *address;
	const char *life; /* the worker's identity */
	const char *task; /* all but EXEC_POLL */
	uint32_t run;
	uint64_t fence; /* term of the leader that stands behind the call */
	GBytes *spec; /* EXEC_START */
	const char *checkpoint;
	const char *ticket;
	uint64_t deadline_ms; /* worker's clock, 0: leave the lease */
	uint64_t settled_nr; /* EXEC_POLL: ends up to it may be forgotten */
	uint32_t wait_ms; /* EXEC_POLL: how long to wait for an end */
	uint32_t percent; /* EXEC_PACE */
};

enum exec_verdict {
	EXEC_NO_ANSWER = 0, /* it may be carried out, now or later */
	EXEC_NOT_SENT = 1, /* no connection was made */
	EXEC_DONE = 2,
	EXEC_REFUSED = 3, /* nothing was done */
	EXEC_OTHER_INCARNATION = 4, /* another life of the worker answered */
};

struct exec_reply {
	enum exec_verdict verdict;
	uint32_t result; /* enum result, EXEC_REFUSED: why */
	uint64_t clock_ms; /* worker's clock, 0 if not told */
	uint64_t born_ms; /* 0 if not told */
	struct flow_run *runs; /* EXEC_POLL */
	struct flow_run_end *ends;
	uint32_t nr_runs;
	uint32_t nr_ends;
	bool closed; /* EXEC_NOT_SENT: nobody listens at the address */
	/*
	 * EXEC_POLL: rows that can't be read. A run that the lists lack may be
	 * in one of them.
	 */
	uint32_t nr_unreadable_runs;
	uint32_t nr_unreadable_ends;
	uint64_t first_unreadable_nr; /* lowest number that such an end may have
				       */
	const char *fault; /* why the body can't be read, static; or NULL */
};

/** Returns the name of an enum flow_end or flow_state, for logs. */
const char *flow_end_name(uint32_t end);
const char *flow_state_name(uint32_t state);

#endif /* FLOW_H */
