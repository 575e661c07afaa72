#ifndef PLAN_STATE_H
#define PLAN_STATE_H

/**
 * @file plan_state.h
 * Internal header of the planner: its jobs, tasks and indexes. Callers use
 * plan.h only.
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
 * small site may have fewer than JOB_MAX_FAILED_VMS.
 */
#define JOB_MAX_FAILURES 10

/** The VMs on which a task or a job has failed, each listed once. */
struct failed_vms {
	struct plan_vm *vms[JOB_MAX_FAILED_VMS];
	uint32_t nr;
};

struct plan_job {
	struct job_record record;
	bool known; /* false: a task named the job, its record hasn't come */
	uint64_t arrival_nr; /* rises with the order in which jobs were added */
	struct team *team;
	struct plan_kind *kind;
	struct plan_group *group;
	GQueue tasks; /* all tasks, linked by plan_task.job_link */
	GQueue pending; /* tasks in the queue, by plan_task.pending_link */
	GSequenceIter *position; /* in group->jobs; NULL: no pending task */
	struct failed_vms failed; /* since the last success */
	uint32_t nr_failures; /* since the last success */
	uint32_t nr_moving; /* replicas being moved that don't run yet */
	bool failing; /* PLAN_FAIL_JOB is due or outstanding */
	enum result fail_result; /* result for PLAN_FAIL_JOB */
};

struct plan_task {
	uint64_t task_id;
	struct plan_job *job;
	uint32_t state; /* enum task_state, 0 before the first record */
	uint32_t progress_ppm;
	uint32_t nr_failures;
	uint32_t nr_evictions;
	bool has_checkpoint;
	bool pending; /* in the job's queue of pending tasks */
	bool whole_run; /* the run was seen to start, without a checkpoint */
	bool moving; /* counted in plan_job.nr_moving */
	enum plan_action outstanding; /* decision without an effect yet; or 0 */
	struct task_size size; /* committed or reserved on on_vm */
	struct plan_vm *on_vm; /* NULL: on no VM */
	uint32_t vm_slot; /* index in on_vm->tasks */
	bool counted; /* in on_vm->kinds */
	bool reserved; /* size is reserved, not committed */
	struct team *charged_team; /* team whose quota size counts against */

	struct plan_vm *hold_vm; /* VM that holds capacity for it; or NULL */
	struct task_size hold_size; /* held capacity */
	uint64_t hold_until_us; /* when the hold expires */
	uint64_t hold_ready_us; /* when a batch task's hold may be free */
	uint64_t
		drain_since_us; /* when it had to leave its VM; 0: it needn't */

	uint64_t pending_us; /* when it last became pending */
	uint64_t running_us; /* start of its run; 0: it doesn't run */
	uint64_t evicted_us; /* last decision to evict it; 0: none */
	uint64_t sample_us; /* time of the newest usage sample; 0: none */
	uint32_t memory_used_mib; /* in that sample */
	uint32_t nr_slow; /* samples in a row above the slowdown limit */
	bool batch_hold; /* counted in plan.nr_batch_holds */
	uint32_t
		throttle_ppm; /* usable share of its processors; 1000000: all */
	struct failed_vms failed; /* VMs on which this task failed */

	GList job_link; /* in job->tasks */
	GList pending_link; /* in job->pending */
	GList list_link; /* in list */
	GQueue *list; /* one of the lists in struct plan; NULL: none */
};

/**
 * Token bucket that limits evictions. The rate is a number for the site plus a
 * number for each VM. The bucket holds the evictions of one minute.
 */
struct evict_budget {
	uint32_t per_minute; /* evictions for the site */
	uint32_t per_minute_vm; /* evictions for each VM */
	uint64_t credit_us; /* tokens, as the time it takes to earn them */
	uint64_t refilled_us; /* when credit_us was last updated */
};

struct plan {
	const struct place_ops *place;
	const struct evict_ops *evict;
	bool place_fixed; /* the options set the policy; bundles don't */
	bool evict_fixed; /* the same for the eviction policy */
	uint64_t random; /* state of plan_random() */
	uint64_t now_us; /* time of the last call */
	uint64_t next_us; /* result of plan_next_us() */
	uint64_t last_undo_us; /* last plan_undo() */
	uint64_t arrival_nr; /* of the next job */

	GHashTable *vms; /* by name */
	GPtrArray *vm_list; /* in order of arrival */
	GHashTable *zones; /* by name */
	GPtrArray *zone_list;
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
	GQueue drain_batch; /* batch tasks on such VMs */
	uint64_t drain_started_us; /* when a drain began: lists were empty */
	GPtrArray *services; /* struct plan_job of class JOB_SERVICE */
	uint32_t next_service; /* index of the service last rebalanced */
	uint64_t next_rebalance_us; /* when to rebalance the next service */
	uint64_t rebalance_until_us; /* when rebalancing ends */
	uint64_t vm_added_us; /* when a VM's first record came last */
	struct task_size largest; /* largest VM, for each resource */
	struct task_size urgent_size; /* largest recent urgent task */
	uint64_t urgent_us; /* last demand for an urgent task; 0: never */
	struct evict_budget
		interference_budget; /* evictions against interference */
	struct evict_budget
		capacity_budget; /* evictions for services and urgent work */
};

/** Returns the next pseudo-random number. */
uint64_t plan_random(struct plan *plan);

/* Find an object by name or id, or create it if it doesn't exist yet. */
struct plan_vm *plan_vm(struct plan *plan, const char *name);
struct plan_zone *plan_zone(struct plan *plan, const char *name);
struct team *plan_team(struct plan *plan, const char *name);
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
/** Removes the task from its VM and lets others use the freed capacity. */
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
 * Tasks that hold capacity there become ready first, then the queue is updated.
 */
void plan_capacity_freed(struct plan *plan, struct plan_vm *vm,
			 const struct team *team);

/** Releases all holds on a VM that accepts no work; the tasks are queued. */
void plan_unhold_all(struct plan *plan, struct plan_vm *vm);
/** Returns true if the capacity held for the task is free. */
bool plan_hold_is_free(const struct plan_task *task);

/** Moves the task to the end of @a list; NULL removes it from its list. */
void plan_set_list(struct plan_task *task, GQueue *list);

/** Marks the job as failing, so that plan_next() decides PLAN_FAIL_JOB. */
void plan_fail_job(struct plan *plan, struct plan_job *job, enum result result);

bool plan_is_batch(const struct plan_job *job);
/** Returns true if the task is being stopped or is to be evicted. */
bool plan_is_leaving(const struct plan *plan, const struct plan_task *task);
/** Estimates how much longer a batch task runs, in microseconds. */
uint64_t plan_remaining_us(const struct plan *plan,
			   const struct plan_task *task);
bool failed_vms_contains(const struct failed_vms *failed,
			 const struct plan_vm *vm);
/** Adds a VM, drops quarantined ones and returns the number of VMs listed. */
uint32_t failed_vms_add(struct failed_vms *failed, struct plan_vm *vm);

#endif /* PLAN_STATE_H */
