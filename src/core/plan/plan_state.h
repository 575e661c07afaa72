#ifndef PLAN_STATE_H
#define PLAN_STATE_H

/**
 * @file plan_state.h
 * Internal header of the planner: its jobs and tasks and the lists that contain
 * them. Code outside the planner uses plan.h only. A kind is a set of jobs that
 * are expected to behave alike, see learn.h. A capacity hold keeps capacity of
 * a VM for one task before the task is placed there.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "learn.h"
#include "plan.h"
#include "queue.h"
#include "team.h"
#include "tunables.h"
#include "plan_vm.h"
#include "plan_zone.h"

struct place_ops;
struct evict_ops;
struct interference;

/* A job fails after its tasks failed on this many different VMs. */
#define JOB_MAX_FAILED_VMS 3
/*
 * A job also fails after this many failures in a row on any VMs, because a
 * small site may have fewer VMs than JOB_MAX_FAILED_VMS. Runs that fail at the
 * same time are one failure.
 */
#define JOB_MAX_FAILURES 10

/** The VMs on which a task or a job has failed, each listed once. */
struct failed_vms {
	struct plan_vm *vms[JOB_MAX_FAILED_VMS];
	uint32_t nr;
};

struct plan_job {
	struct job_record record;
	bool known; /* false: only a task has named the job, no record */
	uint64_t arrival_nr; /* number of the job in order of arrival */
	struct team *team; /* NULL while known is false */
	struct plan_kind *kind; /* NULL while known is false */
	struct plan_group *group; /* NULL while known is false */
	GQueue tasks; /* all tasks, linked by plan_task.job_link */
	GQueue pending; /* tasks in the queue, by plan_task.pending_link */
	GSequenceIter *position; /* in group->jobs; NULL: no pending task */
	struct failed_vms failed; /* since a task last succeeded */
	/* Failures in a row since a task last succeeded, see count_failure().
	 */
	uint32_t nr_failures;
	uint64_t failed_us; /* time of the last one, if there are any */
	uint32_t nr_moving; /* replicas in a move, until they run again */
	bool failing; /* PLAN_FAIL_JOB is due or outstanding */
	enum result fail_result; /* result for PLAN_FAIL_JOB */
};

struct plan_task {
	uint64_t task_id;
	struct plan_job *job;
	uint32_t state; /* enum task_state, 0 before the first record */
	uint32_t progress_ppm; /* share of its work that is done */
	uint32_t nr_failures;
	uint32_t nr_evictions;
	bool has_checkpoint;
	bool pending; /* in the job's queue of pending tasks */
	bool whole_run; /* the run's start was seen and had no checkpoint */
	bool moving; /* counted in plan_job.nr_moving */
	enum plan_action outstanding; /* decision not committed yet; or 0 */
	struct task_size size; /* committed or reserved on on_vm */
	struct plan_vm *on_vm; /* NULL: on no VM */
	uint32_t vm_slot; /* index in on_vm->tasks */
	bool counted; /* included in on_vm->kinds */
	bool reserved; /* size is reserved, not committed */
	struct team *charged_team; /* team whose quota size counts against */

	struct plan_vm *hold_vm; /* VM with the capacity hold; or NULL */
	struct task_size hold_size; /* held capacity */
	uint64_t hold_until_us; /* when the capacity hold expires */
	/* When the capacity held for a batch task is expected to be free. */
	uint64_t hold_ready_us;
	/* When the task first had to leave its VM; 0: it may stay. */
	uint64_t drain_since_us;

	uint64_t pending_us; /* when it last became pending */
	uint64_t placed_us; /* when it was last placed; 0: not known */
	uint64_t running_us; /* start of its run; 0: it doesn't run */
	uint64_t evicted_us; /* last decision to evict it; 0: none */
	uint64_t sample_us; /* time of the newest usage sample; 0: none */
	uint32_t memory_used_mib; /* in the newest usage sample */
	uint32_t nr_slow; /* samples in a row above the slowdown limit */
	bool batch_hold; /* counted in plan.nr_batch_holds */
	uint32_t throttle_ppm; /* usable share of its cores; 1000000: all */
	struct failed_vms failed; /* VMs on which this task failed */

	GList job_link; /* in job->tasks */
	GList pending_link; /* in job->pending */
	GList list_link; /* in *list */
	GQueue *list; /* list in struct plan that has the task; or NULL */
};

/**
 * Token bucket that limits evictions. The site earns per_minute tokens a minute
 * plus per_minute_vm for each VM. The bucket holds the tokens of one minute.
 */
struct evict_budget {
	uint32_t per_minute; /* evictions for the site */
	uint32_t per_minute_vm; /* evictions for each VM */
	uint64_t credit_us; /* tokens left, as the time to earn them */
	uint64_t refilled_us; /* when credit_us was last updated */
};

struct plan {
	const struct place_ops *place;
	const struct evict_ops *evict;
	bool place_fixed; /* the options set place, bundles don't */
	bool evict_fixed; /* the options set evict, bundles don't */
	uint64_t random; /* state of plan_random() */
	uint64_t now_us; /* time of the last call */
	uint64_t next_us; /* result of plan_next_us() */
	uint64_t last_undo_us; /* time of the last plan_undo() */
	uint64_t arrival_nr; /* of the next job */

	GHashTable *vms; /* by name */
	GPtrArray *vm_list; /* struct plan_vm, by plan_vm.nr */
	GHashTable *zones; /* by name */
	GPtrArray *zone_list; /* struct plan_zone, by plan_zone.nr */
	GHashTable *racks; /* "zone/rack" -> number + 1 */
	GHashTable *teams; /* by name */
	GHashTable *jobs; /* by id */
	GHashTable *tasks; /* by id */
	struct learn *learn;
	struct interference *interference;
	struct queue *queue;

	GQueue failing_jobs; /* struct plan_job, PLAN_FAIL_JOB is due */
	GQueue suspect_vms; /* struct plan_vm, to be quarantined */
	GQueue quarantined_vms; /* struct plan_vm, to be put on probation */
	GQueue slow_vms; /* struct plan_vm, for interference_next() */

	GQueue evicting; /* tasks to be evicted, in order */
	GQueue ready; /* pending tasks whose held capacity is free */
	GQueue waiting; /* pending tasks whose held capacity is in use */
	uint32_t nr_batch_holds; /* batch tasks with a capacity hold */
	GQueue drain_services; /* replicas on VMs that are being drained */
	GQueue drain_batch; /* batch tasks on VMs that are being drained */
	/* When a task was last added while both drain lists were empty. */
	uint64_t drain_started_us;
	GPtrArray *services; /* struct plan_job of class JOB_SERVICE */
	uint32_t next_service; /* index of the service last rebalanced */
	uint64_t next_rebalance_us; /* when to rebalance the next service */
	uint64_t rebalance_until_us; /* when rebalancing ends */
	uint64_t vm_added_us; /* when a VM was last added; 0: never */
	struct task_size largest; /* most of each resource on any VM */
	struct task_size urgent_size; /* maximum of recent urgent tasks */
	uint64_t urgent_us; /* last attempt at an urgent task; 0: never */
	/* Limits evictions of tasks that slow services. */
	struct evict_budget interference_budget;
	/* Limits evictions that free capacity for services and urgent work. */
	struct evict_budget capacity_budget;
};

/** Returns the next pseudo-random number. */
uint64_t plan_random(struct plan *plan);

/* Return the object of that name or id, created if it doesn't exist yet. */
struct plan_vm *plan_vm(struct plan *plan, const char *name);
struct plan_zone *plan_zone(struct plan *plan, const char *name);
struct team *plan_team(struct plan *plan, const char *name);
/** Returns the number of the VM's rack, assigned at its first use. */
uint32_t plan_rack_nr(struct plan *plan, const struct vm_record *record);
struct plan_job *plan_job(struct plan *plan, uint64_t job_id);
struct plan_task *plan_task(struct plan *plan, uint64_t task_id,
			    uint64_t job_id);
/** Returns the task; NULL if it is unknown. */
struct plan_task *plan_find_task(const struct plan *plan, uint64_t task_id);
void plan_job_free(void *job);

/** Counts the task's size against the VM and the team's quota. */
void plan_account(struct plan_task *task, struct plan_vm *vm,
		  const struct task_size *size, bool reserved);
/** Removes the task from its VM; see plan_capacity_freed(). */
void plan_unaccount(struct plan *plan, struct plan_task *task);
/**
 * Holds capacity on the VM for the task until @a until_us. A pending task
 * leaves the queue until the capacity is free.
 */
void plan_hold(struct plan *plan, struct plan_task *task, struct plan_vm *vm,
	       const struct task_size *size, uint64_t until_us);
/** Releases the capacity held for the task. */
void plan_unhold(struct plan *plan, struct plan_task *task);
/**
 * Called when capacity may have become free on @a vm or in @a team's quota.
 * First, tasks with a capacity hold on @a vm become ready if they fit; then
 * groups in the queue are unblocked.
 */
void plan_capacity_freed(struct plan *plan, struct plan_vm *vm,
			 const struct team *team);

/**
 * Releases all capacity holds on a VM that accepts no work, and puts the
 * pending tasks that had them back into the queue.
 */
void plan_unhold_all(struct plan *plan, struct plan_vm *vm);
/** Returns true if the capacity held for the task is free. */
bool plan_hold_is_free(const struct plan_task *task);

/** Moves the task to the end of @a list; NULL removes it from its list. */
void plan_set_list(struct plan_task *task, GQueue *list);

/** Marks the job as failing, so that plan_next() decides PLAN_FAIL_JOB. */
void plan_fail_job(struct plan *plan, struct plan_job *job, enum result result);

/** Returns true for a job that is neither a service nor urgent. */
bool plan_is_batch(const struct plan_job *job);
/** Returns true if the task is being stopped or is to be evicted. */
bool plan_is_leaving(const struct plan *plan, const struct plan_task *task);
/** Estimates how much longer a batch task runs, in microseconds. */
uint64_t plan_remaining_us(const struct plan *plan,
			   const struct plan_task *task);
bool failed_vms_contains(const struct failed_vms *failed,
			 const struct plan_vm *vm);
/**
 * Adds a VM to the list, removes quarantined VMs from it and returns the number
 * of VMs in the list.
 */
uint32_t failed_vms_add(struct failed_vms *failed, struct plan_vm *vm);

#endif /* PLAN_STATE_H */
