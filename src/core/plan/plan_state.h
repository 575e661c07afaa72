#ifndef PLAN_STATE_H
#define PLAN_STATE_H

/**
 * @file plan_state.h
 * What the planner's files share: its jobs, tasks and indexes. Not for users of
 * plan.h.
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

/* Different workers on which a failing task or job is tried. */
#define JOB_MAX_FAILED_VMS 3
/* Failures in a row, on whatever workers, as a small site may have only two. */
#define JOB_MAX_FAILURES 10

struct failed_vms {
	struct plan_vm *vms[JOB_MAX_FAILED_VMS];
	uint32_t nr;
};

struct plan_job {
	struct job_record record;
	bool known; /* false: only named by a task so far */
	uint64_t arrival_nr;
	struct team *team;
	struct plan_kind *kind;
	struct plan_group *group;
	GQueue tasks; /* all, linked by plan_task.job_link */
	GQueue pending; /* waiting for a place, by plan_task.pending_link */
	GSequenceIter *position; /* in the group, NULL if nothing waits */
	struct failed_vms failed; /* since the last success */
	uint32_t nr_failures; /* since the last success */
	uint32_t nr_moving; /* replicas stopped for a move, not yet back */
	bool failing; /* PLAN_FAIL_JOB is due or outstanding */
	enum result fail_result;
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
	bool whole_run; /* seen from its start, without a checkpoint */
	bool moving; /* counted in plan_job.nr_moving */
	enum plan_action outstanding; /* decision not yet seen, 0: none */
	struct task_size size; /* committed or reserved on on_vm */
	struct plan_vm *on_vm;
	uint32_t vm_slot; /* in on_vm->tasks */
	bool counted; /* in on_vm->kinds */
	bool reserved; /* size is reserved, not committed */
	struct team *charged_team; /* team that size counts against */

	struct plan_vm *hold_vm; /* VM that keeps room for the task */
	struct task_size hold_size;
	uint64_t hold_until_us;
	uint64_t hold_ready_us; /* when the room is expected, batch */
	uint64_t drain_since_us; /* drained since, 0: not */

	uint64_t pending_us; /* waits since */
	uint64_t running_us; /* runs since, 0: it doesn't */
	uint64_t evicted_us; /* last decision to evict it, 0: none */
	uint64_t sample_us; /* time of the newest usage sample */
	uint32_t memory_used_mib; /* in that sample */
	uint32_t nr_slow; /* samples above the limit in a row */
	bool batch_hold; /* counted in plan.nr_batch_holds */
	uint32_t throttle_ppm; /* 1000000: not throttled */
	struct failed_vms failed;

	GList job_link;
	GList pending_link;
	GList list_link; /* in one of the planner's lists of tasks */
	GQueue *list; /* that list, NULL: none */
};

/** Token bucket of evictions: so many for a site and so many for each VM. */
struct evict_budget {
	uint32_t per_minute;
	uint32_t per_minute_vm;
	uint64_t credit_us;
	uint64_t refilled_us;
};

struct plan {
	const struct place_ops *place;
	const struct evict_ops *evict;
	bool place_fixed; /* chosen by the options, not by the bundle */
	bool evict_fixed;
	uint64_t random;
	uint64_t now_us; /* of the last call */
	uint64_t next_us;
	uint64_t last_undo_us; /* last refusal of a decision */
	uint64_t arrival_nr;

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
	GQueue suspect_vms; /* struct plan_vm, to quarantine */
	GQueue quarantined_vms; /* struct plan_vm, probation comes later */
	GQueue slow_vms; /* struct plan_vm, a service on it is slow */

	GQueue evicting; /* tasks to be evicted, in order */
	GQueue ready; /* pending tasks whose held place is free */
	GQueue waiting; /* pending tasks whose held place isn't free yet */
	uint32_t nr_batch_holds; /* batch tasks among the holders */
	GQueue drain_services; /* tasks on VMs that take no work any more */
	GQueue drain_batch;
	uint64_t drain_started_us; /* when the drain lists were last filled */
	GPtrArray *services; /* struct plan_job of class JOB_SERVICE */
	uint32_t next_service; /* cursor of the rebalancing */
	uint64_t next_rebalance_us; /* next time to look at the spread */
	uint64_t rebalance_until_us;
	uint64_t vm_added_us; /* last time a VM became known */
	struct task_size largest; /* of any VM, in each resource */
	struct task_size urgent; /* largest need of an urgent job lately */
	uint64_t urgent_us; /* when it was needed last, 0: never */
	struct evict_budget calm; /* evictions against interference */
	struct evict_budget room; /* for services and urgent work */
};

/** Returns the next pseudo-random number. */
uint64_t plan_random(struct plan *plan);

/* Objects by name or id, made when they are first named. */
struct plan_vm *plan_vm(struct plan *plan, const char *name);
struct plan_zone *plan_zone(struct plan *plan, const char *name);
struct team *plan_team(struct plan *plan, const char *name);
uint32_t plan_rack_nr(struct plan *plan, const struct vm_record *record);
struct plan_job *plan_job(struct plan *plan, uint64_t job_id);
struct plan_task *plan_task(struct plan *plan, uint64_t task_id,
			    uint64_t job_id);
/** Returns the task, NULL if it is unknown. */
struct plan_task *plan_find_task(const struct plan *plan, uint64_t task_id);
void plan_job_free(void *job);

/** Counts the task against a VM and its team, reserved or committed. */
void plan_account(struct plan_task *task, struct plan_vm *vm,
		  const struct task_size *size, bool reserved);
/** Takes the task off its VM and tells the queue what became free. */
void plan_unaccount(struct plan *plan, struct plan_task *task);
/** Holds a place for the task until @a until_us; a pending one waits for it.
 */
void plan_hold(struct plan *plan, struct plan_task *task, struct plan_vm *vm,
	       const struct task_size *size, uint64_t until_us);
/** Gives up the place held for the task. */
void plan_unhold(struct plan *plan, struct plan_task *task);
/** Room may have appeared on @a vm: for its holders, then for the queue. */
void plan_capacity_freed(struct plan *plan, struct plan_vm *vm,
			 const struct team *team);

/** The VM takes no work any more: its holders look for another place. */
void plan_unhold_all(struct plan *plan, struct plan_vm *vm);
/** Returns true if the place held for the task is free. */
bool plan_hold_is_free(const struct plan_task *task);

/** Moves the task to @a list, NULL: to none. */
void plan_set_list(struct plan_task *task, GQueue *list);

/** Marks the job as failed; PLAN_FAIL_JOB follows. */
void plan_fail_job(struct plan *plan, struct plan_job *job, enum result result);

bool plan_is_batch(const struct plan_job *job);
/** Returns true if the task is on its way off its VM. */
bool plan_is_leaving(const struct plan *plan, const struct plan_task *task);
/** Returns the time a batch task still runs, as far as it is known. */
uint64_t plan_remaining_us(const struct plan *plan,
			   const struct plan_task *task);
bool failed_vms_contains(const struct failed_vms *failed,
			 const struct plan_vm *vm);
/** Adds a VM; returns how many that aren't quarantined are listed. */
uint32_t failed_vms_add(struct failed_vms *failed, struct plan_vm *vm);

#endif /* PLAN_STATE_H */
