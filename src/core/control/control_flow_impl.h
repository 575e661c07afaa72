#ifndef CONTROL_FLOW_IMPL_H
#define CONTROL_FLOW_IMPL_H

/**
 * @file control_flow_impl.h
 * Types and functions that the control_flow*.c files share.
 *
 * A workflow has steps that may depend on each other; a step has a number of
 * equal tasks. A workflow may repeat. Each repetition is an occurrence, and a
 * stage is one step in one occurrence.
 *
 * Serving tasks are latency-critical and have a target for their tail latency.
 * Fillers are best-effort tasks that use processors which others leave idle. A
 * filler's pace is the percentage of its full speed at which it may run; it is
 * throttled so that serving tasks meet their targets. Pressure is utilization
 * that fillers add to serving tasks. A weight is the pressure of a filler of
 * one image on a serving task of another image if the filler used the whole VM.
 */

#include "admission.h"
#include "control_flow.h"
#include "control_flow_account.h"
#include "control_flow_share.h"
#include "control_impl.h"
#include "load_policy.h"
#include "pressure.h"
#include "reliability.h"
#include "run_time.h"
#include "timer.h"

/*
 * Number of earlier incarnations of an agent whose delayed reports are
 * recognized.
 */
#define FLOW_EARLIER_IDS 4

/** What the latest time at which a worker's lease can end follows from. */
enum flow_bound {
	/* Leases that an earlier leader may have granted. */
	FLOW_BOUND_LEADER = 0,
	FLOW_BOUND_GRANT = 1, /* this leader's last grant */
	/* The longest lease, which a restarted worker may have accepted. */
	FLOW_BOUND_RESTART = 2,
};

/** A VM whose worker runs tasks of workflows. */
struct flow_vm {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	uint64_t node_id; /* id of the agent's present incarnation */
	/* Ids of the agent's previous incarnations, a ring buffer. */
	uint64_t earlier_node_ids[FLOW_EARLIER_IDS];
	uint32_t nr_earlier;
	enum flow_bound bound; /* what lapse_us follows from */
	struct worker_incarnation worker;
	bool reported; /* the agent has sent a report to this leader */
	bool reachable; /* the worker responds to its agent */
	bool looked; /* the agent has fetched the list of the worker's runs */
	bool listed; /* a report to this leader had that list */
	/*
	 * The worker was restarted under its identity, and may still accept
	 * calls to the earlier incarnation, see flow_note_late_calls().
	 */
	bool restarted;
	bool restart_seen; /* as in the last struct flow_report */
	/* restart_lapse_us counts the restart that was reported last. */
	bool restart_counted;
	/*
	 * Once the worker has answered a call with this fencing token, it
	 * refuses calls to earlier incarnations.
	 */
	uint64_t incarnation_fence;
	bool reports_fence; /* as in the last struct flow_report */
	/*
	 * Latest time at which the lease of a restarted worker can end because
	 * of a call to the earlier incarnation, 0: not restarted.
	 */
	uint64_t restart_lapse_us;
	/*
	 * The end of the VM's runs as lost is proposed; the VM gets no grants
	 * until this is committed.
	 */
	bool loss_pending;
	bool grant_due; /* a grant is sent at the next commit or check */
	/* The lease was withheld, as the worker's record isn't committed. */
	bool lease_due;
	/* During a pass of placement: whether it takes tasks, and whether it
	 * would if it weren't barred because of failures. */
	bool takes_tasks;
	bool would_take_tasks;
	/* Runs or weights have changed since capacity was computed. */
	bool gains_stale;
	/*
	 * Value of control_flow.change_nr when free capacity on the VM last may
	 * have grown.
	 */
	uint64_t changed_nr;
	uint64_t reported_us; /* time of the last report */
	/*
	 * When a report last said that the worker responds; the start of the
	 * leader's term if none has.
	 */
	uint64_t reachable_us;
	/* When a report last said that the worker has stopped responding. */
	uint64_t unreachable_us;
	uint64_t report_seq;
	/* When the first report of the present agent process arrived. */
	uint64_t agent_since_us;
	/* Agent's clock when it sent the last report. */
	uint64_t report_sent_us;
	/**
	 * Latest time at which the worker's lease can end, by what is known of
	 * this VM.
	 */
	uint64_t lapse_us;
	/*
	 * Until this time a later incarnation of the worker may carry out
	 * starts of an earlier one (flow_report.late_ms), 0: there are none.
	 */
	uint64_t late_start_us;
	GArray *ends; /* struct flow_run_end, as listed in the last report */
	/* Added to the term's first fencing token for this VM. */
	uint32_t fence_nr;
	/* Ends up to this number are committed; the worker may drop them. */
	uint64_t settled_nr;
	uint64_t granted_us; /* time of the last grant of a lease, 0: none */
	/*
	 * When this leader revoked the runs because the worker's lease had
	 * expired, 0: not during this incarnation of the worker.
	 */
	uint64_t lost_us;
	/*
	 * Ends up to this number have been checked by
	 * control_flow_log_ignored_ends().
	 */
	uint64_t checked_end_nr;
	GHashTable *runs; /* set of struct flow_placement * */
	GArray *orphans; /* struct flow_orphan, by the agent's last report */
	/*
	 * resources reserved for runs whose placement is committed or proposed
	 */
	uint32_t cpu_millis;
	/* The part of cpu_millis that long-running tasks use. */
	uint32_t lasting_cpu_millis;
	uint32_t filler_cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t nr_reservations; /* see control_flow_reserve.c */
	/* Hash of the weights that were last sent to its agent. */
	uint64_t pairs_hash;
	uint64_t pairs_sent_us; /* when weights were last sent to its agent */
	/*
	 * What fillers can use on the VM, cached by control_flow_gain(); NULL:
	 * not computed yet.
	 */
	struct filler_capacity *capacity;
	/* When a filler was last moved here from another VM. */
	uint64_t filler_moved_us;
	struct reliability_vm reliability;
	/* reliability_fail_permille() when the last pass of placement began. */
	uint32_t fail_permille;
	/* After a refused start, no task is placed on the VM before this. */
	uint64_t backoff_until_us;
	/*
	 * Because of failures, no task is placed on the VM before this time, if
	 * other VMs suit it.
	 */
	uint64_t barred_until_us;
	/* Length of the last such time, 0: none since a run last succeeded. */
	uint32_t barred_ms;
};

/** A run at a worker, by its agent's report, that isn't placed there. */
struct flow_orphan {
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t born_ms; /* start time of the worker's incarnation */
	bool unconfirmed; /* it isn't certain that the worker has the run */
	uint64_t copy_late_us; /* as in struct flow_placement */
	uint64_t since_us; /* when a report first showed it */
};

/** The run of a task that is placed or whose placement is proposed. */
struct flow_placement {
	char name[NAME_BYTES]; /* of the task */
	struct state_flow *flow;
	uint32_t task;
	uint32_t run;
	const struct flow_step *step;
	struct flow_vm *vm;
	bool committed;
	bool ending; /* its end is proposed */
	bool stopping; /* an order to stop it was sent */
	bool listed; /* the worker runs it, by an agent's report */
	/* Its start had no answer, by the last report that shows it. */
	bool unconfirmed;
	/*
	 * By that report, its start isn't called yet or waits for its answer.
	 */
	bool starting;
	/*
	 * An earlier leader has recorded that its start may still be
	 * executed. Until this time it may be, 0: not recorded.
	 */
	uint64_t inherited_late_us;
	/*
	 * Until this time a later incarnation of the worker may execute another
	 * copy of its start, although a list has shown the run, 0: there is no
	 * such copy. Never decreases: an agent that has just started doesn't
	 * know which calls the one before has sent twice.
	 */
	uint64_t copy_late_us;
	/* A worker lists the end of an earlier run of the task as done. */
	bool done_earlier;
	bool sound; /* counted as a success by its age */
	/* Why its start was refused, RESULT_OK: it wasn't, or not known. */
	enum result refusal;
	uint64_t ordered_us; /* time of the last order, 0: none */
	/* Incarnation of the agent that got the last order. */
	uint64_t ordered_node;
	/* Placed under an earlier leader, which may have sent orders. */
	bool inherited;
	uint64_t listed_us; /* when a report first showed it at the worker */
	uint32_t percent; /* its progress */
	uint32_t pace; /* percent of its full speed at which it may run */
	/*
	 * Since when its pace has been at most FLOW_MOVE_PACE_PERCENT, 0: it is
	 * higher.
	 */
	uint64_t throttled_since_us;
	/* The same for STOP_HALTED_PERCENT. */
	uint64_t halted_since_us;
	uint64_t progress_us; /* when percent changed last */
	uint64_t reserved_us; /* when this leader reserved its resources */
	/*
	 * Time since listed_us as time at full pace: throttled time counts in
	 * proportion to the pace. Up to date as of timed_us.
	 */
	uint64_t full_us;
	uint64_t timed_us;
	uint64_t progress_full_us; /* full_us when percent changed last */
	/*
	 * Its progress at listed_us; above 0 if it began well before, or from a
	 * checkpoint.
	 */
	uint32_t from_percent;
	/*
	 * Set by control_flow_reserve.c: when the run is expected to end, and
	 * the value of progress_us from which that was computed.
	 */
	uint64_t end_us;
	uint64_t end_from_us;
	/*
	 * When a better VM was last searched for, for a serving task or for a
	 * throttled filler, 0: never.
	 */
	uint64_t no_better_vm_us;
	char checkpoint[NAME_BYTES];
	/* Of a gang: what its run starts from, placed by this leader. */
	char start_checkpoint[NAME_BYTES];
	/*
	 * Measured by the worker: tail latency in ms for serving tasks, used
	 * processor time in millis for fillers, 0: none.
	 */
	uint32_t figure;
	uint32_t image; /* number of the step's image, from pressure_image() */
	/* Hash of the values that weights were last learned from. */
	uint64_t sample_hash;
	/* Ticket that the order to start carries, "": the queue needs none. */
	char ticket[NAME_BYTES];
};

/**
 * Whether a workflow can still end within its service level objective if
 * nothing delays its tasks.
 */
enum flow_forecast {
	FLOW_ON_TIME = 0,
	FLOW_LATE = 1, /* its result has some value left */
	FLOW_ABANDONED = 2, /* its result has little value */
};

/**
 * Mean amount of work in a workflow of one queue, by estimates. Older workflows
 * count less.
 */
struct flow_work_mean {
	uint64_t sum_core_ms;
	uint32_t nr;
};

/** A workflow that has not ended, with what decides its priority. */
struct flow_rank {
	struct state_flow *flow;
	uint64_t due_us; /* when its service level objective ends */
	uint64_t abandoned_us; /* after this time its result has little value */
	enum flow_forecast forecast; /* as of the last sort */
	/* Value of its result divided by the work that remains. */
	uint64_t value_density;
	uint64_t work_core_ms; /* estimated work of all its tasks */
	struct flow_work_mean *mean; /* of its queue */
	/*
	 * When placement first found none of its tasks placed, or one of its
	 * long-running tasks waiting. 0: this isn't so, or placement hasn't
	 * come to this workflow yet.
	 */
	uint64_t idle_us;
	/*
	 * Value of control_flow.change_nr when no VM had free capacity for its
	 * next task, 0: not known.
	 */
	uint64_t evaluated_change_nr;
	uint64_t all_evaluated_us; /* when all VMs were last evaluated for it */
	/* As it was when no VM had free capacity for its next task. */
	bool starved; /* flow_demand.starved */
	uint32_t nr_placed; /* number of placed tasks */
	uint32_t nr_done; /* number of done tasks */
	struct flow_share *share; /* of its queue, NULL: has no share */
	/* Placed after workflows of queues that are within their shares. */
	bool deferred;
};

/** The first stage of a workflow for which there is no VM; for the log. */
struct flow_wait {
	uint32_t stage;
	uint64_t since_us;
	uint64_t next_log_us; /* when its wait is logged next */
};

/** A committed end of a run, kept for operators. */
struct flow_past_end {
	char task[NAME_BYTES];
	char vm[NAME_BYTES];
	uint32_t run;
	enum flow_end end;
	uint64_t at_us;
};

/** What a worker runs, or may run, as far as it bars more tasks. */
struct flow_load {
	uint32_t cpu_millis; /* not counting fillers */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t stage_orphans; /* orphans of the demanded stage */
};

/** What a stage requires of a VM. */
struct flow_demand {
	struct control_flow *flows;
	struct state_flow *flow;
	uint32_t stage;
	const struct flow_step *step;
	/*
	 * VM on which the task last failed or from which it was moved, NULL:
	 * none. Chosen only if all other VMs cost much more.
	 */
	const struct flow_vm *avoid;
	/* Gang: the same for several VMs, a set of struct flow_vm *, or NULL.
	 */
	GHashTable *avoid_vms;
	const struct flow_vm *except; /* VM that is never chosen, NULL: none */
	/*
	 * No task of the workflow is placed although processors are free, or
	 * its long-running tasks have waited, so a filler may slow down serving
	 * tasks.
	 */
	bool starved;
	/* Least share of its full speed at which a filler may start. */
	uint32_t min_gain_permille;
	uint64_t idle_us; /* time since flow_rank.idle_us, 0: none */
	bool resumes; /* the task has had a run before */
	bool ignores_bar; /* all VMs that suit the step are barred */
	/* Evaluate only VMs that have changed since this number, 0: all. */
	uint64_t evaluated_change_nr;
};

struct control_flow {
	struct control *control;
	uint32_t lease_ms; /* length of each lease that workers get */
	/* The longest lease that workers accept in a call. */
	uint32_t worker_lease_ms;
	const struct load_policy *policy;
	GHashTable *vms; /* name -> struct flow_vm * */
	GHashTable *runs; /* task name -> struct flow_placement * */
	struct pressure *pressure;
	/* NULL: the policy refuses no submission. */
	struct admission *admission;
	uint64_t admission_sampled_us; /* last sample without a submission */
	struct flow_advice *advice;
	struct flow_account *account;
	/* Reservations, NULL: the policy makes none. */
	struct flow_reserve *reserve;
	/* struct flow_rank, sorted by priority, value_density and due_us. */
	GArray *ranks;
	/* "HOST PREFIX" of the queue -> struct flow_work_mean * */
	GHashTable *work_means;
	struct run_times *run_times; /* learned by this leader */
	bool placing; /* a pass of placement is running */
	bool any_barred; /* during the pass: a VM is barred */
	uint64_t change_nr; /* counts changes that may free capacity on a VM */
	GArray *changes; /* struct flow_change to be proposed */
	/* Task name -> struct flow_vm * that it was moved from. */
	GHashTable *left_vms;
	uint32_t nr_orphans; /* at all VMs */
	/* VM name -> GArray of struct flow_order to be sent. */
	GHashTable *orders;
	/* when the oldest order in orders was queued */
	uint64_t orders_since_us;
	/*
	 * Steps of active workflows of which a run has failed: const struct
	 * flow_step * -> struct reliability_step *
	 */
	GHashTable *failed_steps;
	/*
	 * Gangs with a failed end that is proposed and counts: const struct
	 * state_flow_stage * -> the struct flow_placement * that ends
	 */
	GHashTable *counting;
	/* const struct state_flow_stage * -> struct gang_checkpoint * */
	GHashTable *gang_checkpoints;
	GHashTable *waits; /* workflow id -> struct flow_wait * */
	/* Set of ids of workflows of which a worker has, or had, a run. */
	GHashTable *started;
	/* the last ends, a ring buffer */
	struct flow_past_end past[FLOW_RECENT_ENDS_MAX];
	uint64_t nr_past; /* number of ends recorded in past so far */
	struct timer change_timer;
	struct timer place_timer;
	struct timer order_timer;
	struct timer check_timer;
	struct timer worker_timer;
	/* The site was in operation before this leader's term. */
	bool had_bundle;
	bool workers_proposed; /* a CMD_FLOW_WORKERS has no outcome yet */
	uint64_t workers_expired_us; /* last search for expired records */
	/* When learned weights were last proposed for saving. */
	uint64_t pressure_saved_us;
	/* When control_flow_group_serving() last searched for moves. */
	uint64_t group_checked_us;
	struct flow_shares *shares; /* of queues */
};

/* control_flow.c */
struct flow_vm *control_flow_vm(struct control_flow *flows, const char *name);
struct flow_placement *control_flow_placement(const struct control_flow *flows,
					      const struct state_flow *flow,
					      uint32_t task);
/** Reserves the step's resources on the VM for a run. */
struct flow_placement *control_flow_reserve(struct control_flow *flows,
					    struct state_flow *flow,
					    uint32_t task, uint32_t run,
					    struct flow_vm *vm);
/** Drops a run's placement and releases its resources. */
void control_flow_release(struct control_flow *flows,
			  struct flow_placement *placed);
/**
 * Like control_flow_release(), for resources that were reserved in the same
 * turn of the loop: the VM doesn't count as changed.
 */
void control_flow_unreserve(struct control_flow *flows,
			    struct flow_placement *placed);
/**
 * Notes that the VM may now have free capacity for tasks that found none
 * before.
 */
void control_flow_vm_changed(struct control_flow *flows, struct flow_vm *vm);

/* control_flow_attempt.c */
/**
 * Returns the end to propose for a run that has ended as @a end:
 * FLOW_END_ALSO_FAILED for a failed run of a gang that another end counts.
 */
enum flow_end control_flow_count_failure(struct control_flow *flows,
					 struct flow_placement *placed,
					 enum flow_end end);
/** Notes that the run's end isn't proposed any more, or is applied. */
void control_flow_uncount_failure(struct control_flow *flows,
				  const struct flow_placement *placed);

/* control_flow_checkpoint.c */
GHashTable *control_flow_checkpoints_new(void);
/** Forgets the checkpoints of the gangs of a workflow that has ended. */
void control_flow_forget_checkpoints(struct control_flow *flows,
				     const struct state_flow *flow);
/** Notes what the run, whose end is committed, has saved for its gang. */
void control_flow_note_checkpoint(struct control_flow *flows,
				  const struct flow_placement *placed,
				  enum flow_end end);
/** Returns the checkpoint for all tasks of the gang's next run, "": none. */
const char *control_flow_gang_checkpoint(const struct control_flow *flows,
					 const struct state_flow *flow,
					 uint32_t stage);
/**
 * Makes the run, whose placement was proposed last, start from the checkpoint,
 * and stores it.
 */
void control_flow_set_checkpoint(struct control_flow *flows,
				 struct flow_placement *placed,
				 const char *checkpoint);

/* control_flow_failure.c */
GHashTable *control_flow_failed_steps_new(void);
/** Forgets the failures of the steps of a workflow that has ended. */
void control_flow_forget_steps(struct control_flow *flows,
			       const struct state_flow *flow);
/** Counts the end of a run for its VM and its step. */
void control_flow_note_end(struct control_flow *flows,
			   struct flow_placement *placed, enum flow_end end);
/** Counts a run that is at its worker as a success once it is old enough. */
void control_flow_note_running(struct control_flow *flows,
			       struct flow_placement *placed);
/** Returns true if the VM gets no tasks for a while because of failures. */
bool control_flow_vm_is_barred(const struct control_flow *flows,
			       const struct flow_vm *vm);
/**
 * Updates flow_vm.fail_permille, and lifts the VM's bar if the failures that
 * led to it turned out not to be the VM's.
 */
void control_flow_update_bar(struct control_flow *flows, struct flow_vm *vm);
/** Returns true if no run of the step may start yet. */
bool control_flow_step_is_paused(const struct control_flow *flows,
				 const struct flow_step *step);

/** Notes that a worker has, or had, a run of the workflow. */
void control_flow_note_started(struct control_flow *flows,
			       const struct state_flow *flow);
/**
 * Returns true if a task of the workflow is known to have started. A new leader
 * finds this out from reports; until then it counts started workflows as
 * waiting, but never waiting ones as started.
 */
bool control_flow_has_started(const struct control_flow *flows,
			      const struct state_flow *flow);
/**
 * Queues a change. The changes of one turn of the loop are proposed together.
 */
void control_flow_propose(struct control_flow *flows,
			  const struct flow_change *change);
/** Proposes the end of a run, unless its end is proposed already. */
void control_flow_propose_end(struct control_flow *flows,
			      struct flow_placement *placed, enum flow_end end,
			      const char *checkpoint);

/* control_flow_lapse.c */
/**
 * Returns the time until which a later incarnation of the worker may execute
 * the run's start, 0 if the worker certainly has the run.
 */
uint64_t control_flow_late_start_us(const struct flow_placement *placed);
/** Returns the time at which the worker's lease has certainly expired. */
uint64_t control_flow_lapsed_us(const struct flow_vm *vm);
/**
 * Returns the time at which the worker has certainly no longer a run. A later
 * incarnation that executes its start, or that of an earlier run of the task,
 * until @a late_us may keep it for the longest lease that workers accept,
 * counted from the last late call with a deadline. @a late_us is 0 if no later
 * incarnation can execute such a start.
 */
uint64_t control_flow_run_lapsed_us(const struct control_flow *flows,
				    const struct flow_vm *vm, uint64_t late_us);
/**
 * Returns the committed runs of the VM that its worker can't have, or get, any
 * more. The caller frees the list.
 */
GList *control_flow_lost_runs(const struct control_flow *flows,
			      const struct flow_vm *vm);
/**
 * Returns true if a worker whose lease may hold runs, or may still start, an
 * earlier run of the task, by the last report about it.
 */
bool control_flow_has_orphan(const struct control_flow *flows,
			     const struct state_flow *flow, uint32_t task);

/* control_flow_vm.c */
/** Returns the fencing token for leases and orders that the VM gets now. */
uint64_t control_flow_fence(const struct control_flow *flows,
			    const struct flow_vm *vm);
void control_flow_grant(struct control_flow *flows, struct flow_vm *vm);
/** Returns true if reports still show how the worker's runs end. */
bool control_flow_vm_is_reporting(const struct control_flow *flows,
				  const struct flow_vm *vm);
void control_flow_check(void *data, uint64_t now_us);

/* control_flow_worker.c */
/**
 * Returns the time at which the lease that the VM's worker got from earlier
 * leaders has certainly expired.
 */
uint64_t control_flow_inherited_lapsed_us(const struct control_flow *flows,
					  const char *vm);
/** Sets what earlier leaders knew of the VM's worker. */
void control_flow_worker_inherit(struct control_flow *flows,
				 struct flow_vm *vm);
/**
 * Returns true if the worker, which isn't the incarnation that was last
 * reported to this leader, was restarted under its identity.
 */
bool control_flow_worker_is_restarted(const struct control_flow *flows,
				      const struct flow_vm *vm,
				      const struct worker_incarnation *worker);
/**
 * Returns true if the replicated state has the reported incarnation of the
 * VM's worker. It gets no lease before, as a later leader wouldn't know of its
 * restart.
 */
bool control_flow_worker_is_recorded(const struct control_flow *flows,
				     const struct flow_vm *vm);
/**
 * Returns true if tasks may be placed on the reported incarnation of the VM's
 * worker: it is recorded, and refuses calls to earlier incarnations, which
 * would lengthen its lease.
 */
bool control_flow_worker_takes_tasks(const struct control_flow *flows,
				     const struct flow_vm *vm);
/**
 * Sets what earlier leaders have recorded of a run that they have placed.
 */
void control_flow_worker_inherit_run(const struct control_flow *flows,
				     struct flow_placement *placed);
/** Timer function: proposes the records of workers that have changed. */
void control_flow_record_workers(void *data, uint64_t now_us);

/* control_flow_orphan.c */
/**
 * Returns the committed placement of the run at the VM, NULL if it isn't placed
 * there.
 */
struct flow_placement *control_flow_placed_run(const struct control_flow *flows,
					       const struct flow_vm *vm,
					       const struct flow_run *run);
/**
 * Returns true if the end, which the VM's agent reports, completes the task of
 * a placed run: an earlier run of the task, an orphan, has ended as done, and
 * no leader has ordered the placed run to start, or its worker has been
 * restarted since.
 */
bool control_flow_end_is_earlier(const struct flow_vm *vm,
				 const struct flow_placement *placed,
				 const struct flow_run_end *end);
/**
 * Returns the number of the revoked run as whose end the reported end completes
 * its task, which waits for a VM, 0 if it doesn't. An earlier run counts if the
 * revoked one was placed on an incarnation of the VM's worker that a later one
 * has replaced.
 */
uint32_t control_flow_late_done_run(const struct flow_vm *vm,
				    const struct state_flow *flow,
				    uint32_t task,
				    const struct flow_run_end *end);
/**
 * Returns an orphan of the task at the VM, NULL if there is none. An
 * unconfirmed one goes first, as it bars the task for longer.
 */
const struct flow_orphan *control_flow_vm_orphan(const struct flow_vm *vm,
						 const char *task);
/** Adds the VM's orphans to the load; @a demand has the stage to count. */
void control_flow_add_orphans(const struct flow_vm *vm,
			      const struct flow_demand *demand,
			      struct flow_load *load);
/** Adds what one task of the step uses. */
void control_flow_load_add(struct flow_load *load,
			   const struct flow_step *step);
/**
 * Returns true if the run must not be started yet: an earlier run of its task
 * may still run somewhere, or orphans of the VM use the room that was reserved
 * for it. The tasks of a gang are barred together.
 */
bool control_flow_start_is_barred(struct control_flow *flows,
				  const struct flow_placement *placed);
/**
 * Makes a run an orphan whose end as lost is committed although its VM reports:
 * the report may have come before the commit and have shown the run, which was
 * placed then.
 */
void control_flow_orphan_lost_run(struct control_flow *flows,
				  const struct flow_placement *placed);
/**
 * Replaces the VM's orphans by those in the report, and logs changes. Orphans
 * of an agent that hasn't listed its worker's runs yet stay.
 */
void control_flow_update_orphans(struct control_flow *flows, struct flow_vm *vm,
				 const struct flow_report *report);

/* control_flow_order.c */
/**
 * Returns for how long the longest lease that workers accept lasts on a clock
 * that is slow by WORKER_CLOCK_SLOW_PERMILLE.
 */
uint64_t control_flow_longest_lease_us(const struct control_flow *flows);
/** Returns true if the run belongs to the worker's present incarnation. */
bool control_flow_is_current_incarnation(const struct flow_placement *placed);
/** Returns true if the worker had the run, by the last report that shows it. */
bool control_flow_is_at_worker(const struct flow_placement *placed);
void control_flow_order_start(struct control_flow *flows,
			      struct flow_placement *placed);
void control_flow_order_stop(struct control_flow *flows,
			     struct flow_placement *placed, const char *reason);
/** As control_flow_order_stop(), for a stop that the leader has weighed. */
void control_flow_preempt(struct control_flow *flows,
			  struct flow_placement *placed, const char *reason,
			  const struct stop_verdict *verdict);
/** Orders the agent to stop a run that the committed state doesn't have. */
void control_flow_order_kill(struct control_flow *flows, struct flow_vm *vm,
			     const struct flow_run *run);
void control_flow_send_orders(void *data, uint64_t now_us);

/* control_flow_advice.c */
struct flow_advice *flow_advice_new(void);
void flow_advice_free(struct flow_advice *advice);
/**
 * Returns the ticket with which the VM's worker may run tasks of the stage, or
 * NULL if the adviser has given none. In that case flow_advice_request() asks
 * for one.
 */
const char *flow_advice_ticket(const struct control_flow *flows,
			       const struct state_flow *flow, uint32_t stage,
			       const struct flow_vm *vm);
/**
 * Queues a call to the adviser about the stage. The adviser takes one call at a
 * time.
 */
void flow_advice_request(struct control_flow *flows,
			 const struct state_flow *flow, uint32_t stage);
/** Drops the cached ticket of a run whose start the worker refused. */
void flow_advice_forget(struct control_flow *flows,
			const struct flow_placement *placed);

/* control_flow_pressure.c */
bool control_flow_is_serving(const struct flow_placement *placed);
/** Restores the weights that earlier leaders have learned and committed. */
void control_flow_load_weights(struct control_flow *flows);
/**
 * Proposes to commit changed weights, at most once per
 * FLOW_PRESSURE_SAVE_INTERVAL_MS.
 */
void control_flow_save_weights(struct control_flow *flows);
/** Learns weights from the measurements in the VM's last report. */
void control_flow_learn_weights(struct control_flow *flows, struct flow_vm *vm);
/**
 * Returns the weights to send to the VM's agent now; the array is empty if they
 * have not changed since they were last sent. The caller frees the array of
 * struct pressure_pair.
 */
GArray *control_flow_agent_weights(struct control_flow *flows,
				   struct flow_vm *vm);
/**
 * Returns how much of the utilization by which a serving task of the VM exceeds
 * PACE_SETPOINT_PERMILLE is due to the filler, by the last report; the highest
 * of all serving tasks.
 */
uint32_t control_flow_excess_permille(const struct control_flow *flows,
				      const struct flow_placement *filler);
/**
 * Returns how much more work fillers would do on the VM with one more filler of
 * this step, in permille of the processors that the step asks for. A result
 * below @a min_permille is only an upper bound.
 */
uint32_t control_flow_gain(struct control_flow *flows, struct flow_vm *vm,
			   const struct flow_step *step, uint32_t min_permille);
/**
 * Returns how many processors of the VM, in millis, fillers like the step's may
 * still use, 0 if none would start there.
 */
uint64_t control_flow_filler_room(struct control_flow *flows,
				  struct flow_vm *vm,
				  const struct flow_step *step);
void control_flow_capacity_free(struct filler_capacity *capacity);
/**
 * Fills @a images with the images of the VM's serving tasks; returns their
 * number.
 */
uint32_t control_flow_serving_images(const struct flow_vm *vm, uint32_t *images,
				     uint32_t max);
/**
 * Returns the number of different images of the VM's serving tasks, not
 * counting @a image.
 */
uint32_t control_flow_other_images(const struct flow_vm *vm, uint32_t image);

/* control_flow_time.c */
/** Begins to count the run's time; a report first shows it at the worker. */
void control_flow_time_begin(struct control_flow *flows,
			     struct flow_placement *placed, uint32_t percent);
/** Counts the time since the last call, at the pace that was noted there. */
void control_flow_time_update(struct control_flow *flows,
			      struct flow_placement *placed);
/** Learns the run time of a run that has ended as done. */
void control_flow_time_learn(struct control_flow *flows,
			     struct flow_placement *placed);
/**
 * Returns how long a task of the step is expected to run at full pace, in ms;
 * UINT64_MAX for a long-running one.
 */
uint64_t control_flow_run_ms(const struct control_flow *flows,
			     const struct state_flow *flow,
			     const struct flow_step *step);
/**
 * Returns the time within which most tasks of the step end at full pace, in ms;
 * UINT64_MAX for a long-running one. Sets @a unsure if that is the client's
 * estimate.
 */
uint64_t control_flow_high_run_ms(const struct control_flow *flows,
				  const struct state_flow *flow,
				  const struct flow_step *step, bool *unsure);
/**
 * Returns in how many ms the run would end at full pace; UINT64_MAX for a
 * long-running one. Sets @a unsure if that follows from the client's estimate
 * only.
 */
uint64_t control_flow_remaining_full_ms(const struct control_flow *flows,
					const struct flow_placement *placed,
					bool *unsure);
/**
 * Returns in how many ms the run is expected to end at its present speed;
 * UINT64_MAX for a long-running one.
 */
uint64_t control_flow_remaining_ms(const struct control_flow *flows,
				   const struct flow_placement *placed);

/* control_flow_move.c */
/** Records since when the run's pace has been low. */
void control_flow_note_pace(struct control_flow *flows,
			    struct flow_placement *placed);
/** Stops runs that make no progress although their worker responds. */
void control_flow_stop_stalled(struct control_flow *flows, struct flow_vm *vm);
/** Stops fillers of the VM that could run faster on another VM. */
void control_flow_move_fillers(struct control_flow *flows, struct flow_vm *vm);

/* control_flow_group.c */
/**
 * Returns true if all tasks of the run's step are running, and have been for
 * GROUP_SETTLE_MS at least, on VMs that keep their runs. Only then may the
 * leader stop one of them to move it.
 */
bool control_flow_step_is_settled(const struct control_flow *flows,
				  const struct flow_placement *placed);
/**
 * Returns how much processor capacity of the VM, in millis, fillers would lose
 * if another serving task of the image were placed on it.
 */
uint64_t control_flow_filler_loss(const struct control_flow *flows,
				  const struct flow_vm *vm, uint32_t image);
/** Returns true if a weight of any filler on the image is known. */
bool control_flow_knows_image(const struct control_flow *flows, uint32_t image);
/**
 * Moves one serving task to a VM whose serving tasks are sensitive to the same
 * fillers, if that makes much more capacity usable by fillers.
 */
void control_flow_group_serving(struct control_flow *flows);

/* control_flow_log.c */
/**
 * Logs each end `done` that doesn't count, because the task's run was replaced.
 */
void control_flow_log_ignored_ends(struct control_flow *flows,
				   struct flow_vm *vm,
				   const struct flow_report *report);
/** Logs that the VM's @a runs, struct flow_placement *, are given up. */
void control_flow_log_lost_vm(struct control_flow *flows,
			      const struct flow_vm *vm, GList *runs);
/** Notes that no VM can take a task of the stage; logs it from time to time. */
void control_flow_note_wait(const struct flow_demand *demand);
/** Notes that all tasks of a stage are placed. */
void control_flow_note_placed(const struct flow_demand *demand);
/** Returns the most frequent reason why no VM takes a task of the stage. */
const char *control_flow_wait_reason(const struct flow_demand *demand);
/** Adds the run's end to the ends that operators can list. */
void control_flow_record_end(struct control_flow *flows,
			     const struct flow_placement *placed,
			     enum flow_end end);
void control_flow_set_gauges(struct control_flow *flows);

/* control_flow_rank.c */
/**
 * Returns the time from the start of a workflow within which it should be
 * completed, by the estimates of the steps that aren't done.
 */
uint64_t control_flow_objective_ms(const struct state_flow *flow);
/**
 * Add a workflow that has not ended to control_flow.ranks, and remove a
 * workflow from there.
 */
void control_flow_rank_add(struct control_flow *flows, struct state_flow *flow);
/** Takes over changed values of the workflow's queue. */
void control_flow_rank_change(struct control_flow *flows,
			      const struct state_flow *flow);
void control_flow_rank_remove(struct control_flow *flows,
			      const struct state_flow *flow);
/** Updates and sorts control_flow.ranks. */
void control_flow_sort(struct control_flow *flows);
/**
 * Sorts control_flow.ranks; returns how many of them, from the first on, would
 * be placed before the workflow, which isn't among them.
 */
guint control_flow_ranks_before(struct control_flow *flows,
				struct state_flow *flow);

/* control_flow_admit.c */
/**
 * Decides about a submission without a record, whose queue lets calls take
 * @a timeout_ms. Returns 0 if it is admitted, otherwise the time in ms after
 * which it may be submitted again.
 */
uint32_t control_flow_admit(struct control_flow *flows,
			    const struct flow_record *record,
			    uint32_t timeout_ms);
/** Measures capacity from time to time while no submissions come. */
void control_flow_admit_sample(struct control_flow *flows);
/** Counts the run, which has ended, as capacity that was used. */
void control_flow_admit_ran(struct control_flow *flows,
			    const struct flow_placement *placed);
/** Checks estimates when a workflow is accepted or has ended. */
void control_flow_admit_changed(struct control_flow *flows,
				const struct state_flow *flow);

/* control_flow_reserve.c */
struct flow_reserve *control_flow_reserve_new(void);
void control_flow_reserve_free(struct flow_reserve *reserve);
/** A pass of placement begins. */
void control_flow_reserve_begin(struct control_flow *flows);
/**
 * The pass comes to the workflow: its reservations concern those of lower rank,
 * which follow.
 */
void control_flow_reserve_reach(struct control_flow *flows,
				const struct state_flow *flow);
/**
 * Returns true if the demanded task may use the VM as far as the VM's
 * reservations are concerned.
 */
bool control_flow_reserve_admits(const struct flow_vm *vm,
				 const struct flow_demand *demand);
/** Notes that a task of the stage is placed on the VM. */
void control_flow_reserve_placed(const struct flow_demand *demand,
				 struct flow_vm *vm);
/** Notes that a task of the stage found no VM in this pass. */
void control_flow_reserve_note(const struct flow_demand *demand);
/**
 * Ends the pass: makes and drops reservations, at most once per
 * FLOW_RESERVE_PLAN_MS.
 */
void control_flow_reserve_update(struct control_flow *flows);
/** Drops the reservations of a workflow that has ended. */
void control_flow_reserve_ended(struct control_flow *flows,
				const struct state_flow *flow);
uint32_t control_flow_reserve_count(const struct control_flow *flows);
/**
 * Returns the number of reservations of the stage; sets the VM and the
 * remaining time of the earliest one if there is one.
 */
uint32_t control_flow_reserve_show(const struct control_flow *flows,
				   const struct state_flow *flow,
				   uint32_t stage, const char **vm,
				   uint64_t *in_ms);

/* control_flow_place.c */
/** Returns true if the start time of the stage's occurrence has come. */
bool control_flow_stage_due(const struct control_flow *flows,
			    const struct state_flow *flow, uint32_t stage);
/**
 * Returns true if the VM's runs are expected to continue: its agent reports,
 * its worker responds, and neither drains nor has ended or been lost.
 */
bool control_flow_vm_keeps_runs(const struct control_flow *flows,
				const struct flow_vm *vm);
/**
 * Returns true if the VM may take tasks of the service now, whatever their
 * size.
 */
bool control_flow_vm_usable(const struct control_flow *flows,
			    const struct flow_vm *vm, const char *service);
/**
 * Returns true if the VM has the label and, without any load, the resources for
 * a task of the step.
 */
bool control_flow_vm_suits(const struct flow_vm *vm,
			   const struct flow_step *step);
/**
 * Returns true if the VM's placed runs and orphans leave too few resources for
 * a task of the stage.
 */
bool control_flow_vm_is_full(const struct flow_vm *vm,
			     const struct flow_demand *demand);
/**
 * Returns true if the VM's placed runs and orphans together use more than the
 * VM has, or are more tasks of the stage than may run there.
 */
bool control_flow_vm_is_over(const struct flow_vm *vm,
			     const struct flow_demand *demand);
/**
 * Returns true if the VM may take a task of the stage as soon as it has enough
 * free capacity.
 */
bool control_flow_vm_is_eligible(const struct flow_vm *vm,
				 const struct flow_demand *demand);
/**
 * Returns true if the VM has the resources, label and ticket that a task of the
 * stage requires, and doesn't hold them for another task.
 */
bool control_flow_vm_fits(struct flow_vm *vm, const struct flow_demand *demand);
/** Returns the best other VM for the run's task, NULL if none can take it. */
struct flow_vm *control_flow_other_vm(struct control_flow *flows,
				      const struct flow_placement *placed);
void control_flow_place_soon(struct control_flow *flows);
void control_flow_place(void *data, uint64_t now_us);

#endif /* CONTROL_FLOW_IMPL_H */
