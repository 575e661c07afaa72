#ifndef PLAN_VM_H
#define PLAN_VM_H

/**
 * @file plan_vm.h
 * One VM as the planner sees it: the ledger of its capacity and the tasks
 * that count against it. Every task counts from the decision to place it until
 * its stop is confirmed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "command.h"

struct plan_zone;
struct plan_task;

/** An amount of each resource of a VM. */
struct task_size {
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
};

#define VM_FAILED_JOBS 3 /* jobs failed in a row before quarantine */

/** A job kind that ran on the VM in [from_us, to_us). */
struct plan_vm_run {
	uint32_t kind_nr;
	uint64_t task_id;
	uint32_t share_ppm; /* of its processors that it may use */
	uint64_t from_us;
	uint64_t to_us; /* UINT64_MAX while it runs */
};

#define VM_MAX_KINDS 16 /* of tasks on one VM; more are ignored */

/** What the tasks of one kind on a VM weigh, kept together in memory. */
struct plan_vm_kind {
	uint32_t kind_nr;
	uint32_t nr_tasks;
	uint32_t nr_services; /* of these, replicas of services */
	uint32_t share_ppm; /* sum of the shares they may use */
};

struct plan_vm {
	struct vm_record record;
	bool known; /* false: only named by a task so far */
	uint32_t nr; /* in order of arrival */
	uint32_t rack_nr;
	struct plan_zone *zone;
	struct task_size committed; /* by committed tasks */
	struct task_size reserved; /* by decisions not yet committed */
	struct task_size held; /* kept for tasks that will be placed here */
	GPtrArray *holders; /* struct plan_task, in order of arrival */
	GPtrArray *tasks; /* struct plan_task, committed or decided */
	uint32_t nr_kinds;
	uint32_t nr_services; /* replicas of services */
	struct plan_vm_kind kinds[VM_MAX_KINDS];
	GArray *run_history; /* struct plan_vm_run, what ran lately */

	/* Position in the zone's index of spare capacity. */
	bool indexed;
	uint32_t row;
	uint32_t column;
	uint32_t position;

	/* Failures in a row and probation. */
	uint64_t failed_jobs[VM_FAILED_JOBS];
	uint32_t nr_failed_jobs;
	uint64_t probation_us; /* when a quarantine is to be lifted */
	uint32_t quarantine_s; /* length of the last one, 0: none lately */
	uint32_t probation; /* tasks still to succeed, one at a time */
	bool suspect; /* in plan.suspect_vms, or the decision is outstanding */

	/* Steps against interference. */
	uint32_t step; /* enum interference_step */
	bool slow; /* in plan.slow_vms */
	uint64_t last_step_us; /* last step, 0: none */
	uint64_t lag_us; /* age of the samples, the largest of late */
	uint64_t batch_closed_until_us; /* no batch is added before this time */
};

struct plan_vm *plan_vm_new(const char *name, uint32_t nr);
void plan_vm_free(struct plan_vm *vm);

/** Returns what is neither committed nor reserved, 0 where overdrawn. */
struct task_size plan_vm_spare(const struct plan_vm *vm);
struct task_size plan_vm_capacity(const struct plan_vm *vm);
/** Returns what is spare and not held for certain tasks. */
struct task_size plan_vm_available(const struct plan_vm *vm);
/** Returns true if @a size fits in what is open. */
bool plan_vm_fits(const struct plan_vm *vm, const struct task_size *size);

/** Counts a committed record. The state machine has checked that it fits. */
void plan_vm_commit(struct plan_vm *vm, const struct task_size *size);
void plan_vm_release(struct plan_vm *vm, const struct task_size *size);
/** Reserves for a decision; @a size must fit in what is spare. */
void plan_vm_reserve(struct plan_vm *vm, const struct task_size *size);
void plan_vm_unreserve(struct plan_vm *vm, const struct task_size *size);

/** Keeps room for @a task; it need not be spare yet. */
void plan_vm_hold(struct plan_vm *vm, struct plan_task *task,
		  const struct task_size *size);
void plan_vm_unhold(struct plan_task *task);

void plan_vm_add_task(struct plan_vm *vm, struct plan_task *task);
void plan_vm_remove_task(struct plan_vm *vm, struct plan_task *task);

/** Limits the task to a share of its processors; 1000000: no limit. */
void plan_vm_throttle_task(struct plan_vm *vm, struct plan_task *task,
			   uint32_t share_ppm);
/** Counts the task under the kind of its job, or no longer. */
void plan_vm_count_task(struct plan_vm *vm, struct plan_task *task);
void plan_vm_uncount_task(struct plan_vm *vm, struct plan_task *task);

/** Returns the entry of a kind among the VM's tasks, NULL if there is none. */
struct plan_vm_kind *plan_vm_find_kind(struct plan_vm *vm, uint32_t kind_nr);

/** Records that a task of a kind began or ceased to run. */
void plan_vm_run_begin(struct plan_vm *vm, uint32_t kind_nr, uint64_t task_id,
		       uint32_t share_ppm, uint64_t now_us);
void plan_vm_run_end(struct plan_vm *vm, uint64_t task_id, uint64_t now_us);

/** Returns true if @a part is at most @a whole in every resource. */
bool size_within(const struct task_size *part, const struct task_size *whole);
void size_add(struct task_size *sum, const struct task_size *part);
/** Subtracts; @a part must be contained in @a sum. */
void size_sub(struct task_size *sum, const struct task_size *part);

#endif /* PLAN_VM_H */
