#ifndef PLAN_VM_H
#define PLAN_VM_H

/**
 * @file plan_vm.h
 * The planner's record of one VM: its capacity and the tasks that use it. A
 * task counts against the capacity from the decision to place it until its stop
 * is confirmed. A capacity hold keeps capacity for one task that isn't placed
 * yet. A kind is a set of jobs that are expected to behave alike, see learn.h.
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

#define VM_FAILED_JOBS 3 /* jobs that fail in a row before quarantine */

/** A run of a task of one kind on the VM, in the interval [from_us, to_us). */
struct plan_vm_run {
	uint32_t kind_nr;
	uint64_t task_id;
	uint32_t share_ppm; /* usable share of the task's processors */
	uint64_t from_us;
	uint64_t to_us; /* UINT64_MAX while it runs */
};

#define VM_MAX_KINDS 16 /* kinds counted on one VM; more are ignored */

/** Totals of the tasks of one kind on a VM, kept for fast predictions. */
struct plan_vm_kind {
	uint32_t kind_nr;
	uint32_t nr_tasks;
	uint32_t nr_services; /* replicas of services among them */
	uint32_t share_ppm; /* sum of plan_task.throttle_ppm */
};

struct plan_vm {
	struct vm_record record;
	bool known; /* false: only a task has named the VM, no record */
	uint32_t nr; /* index in plan.vm_list */
	uint32_t rack_nr; /* result of plan_rack_nr() */
	struct plan_zone *zone; /* NULL while known is false */
	struct task_size committed; /* sum over committed tasks */
	struct task_size reserved; /* sum over placements not committed */
	struct task_size held; /* sum over the capacity holds */
	GPtrArray *holders; /* struct plan_task with holds, oldest first */
	GPtrArray *tasks; /* struct plan_task, committed or reserved */
	uint32_t nr_kinds; /* entries used in kinds */
	uint32_t nr_services; /* replicas of services among the tasks */
	struct plan_vm_kind kinds[VM_MAX_KINDS];
	GArray *run_history; /* struct plan_vm_run, kept for PLAN_HISTORY_MS */

	/* Position in the zone's index, see plan_zone.h. */
	bool indexed; /* false: the VM accepts no tasks */
	uint32_t row;
	uint32_t column;
	uint32_t position;

	/*
	 * Quarantine and probation. failed_jobs has the ids of jobs that failed
	 * on the VM since a task last succeeded there.
	 */
	uint64_t failed_jobs[VM_FAILED_JOBS];
	uint32_t nr_failed_jobs;
	uint64_t probation_us; /* when the quarantine is to be lifted */
	/* Length of the last quarantine; 0: none, or probation was passed. */
	uint32_t quarantine_s;
	uint32_t probation_tasks_left; /* successes until probation ends */
	bool suspect; /* in plan.suspect_vms, or PLAN_QUARANTINE outstanding */

	/* Steps against interference. */
	uint32_t step; /* enum interference_step */
	bool slow; /* in plan.slow_vms */
	uint64_t last_step_us; /* time of the last step; 0: none */
	uint64_t lag_us; /* largest recent age of a sample */
	uint64_t batch_closed_until_us; /* when STEP_CLOSE ends */
};

struct plan_vm *plan_vm_new(const char *name, uint32_t nr);
void plan_vm_free(struct plan_vm *vm);

/**
 * Returns the spare capacity, which is neither committed nor reserved. It is 0
 * for a resource that is overcommitted.
 */
struct task_size plan_vm_spare(const struct plan_vm *vm);
struct task_size plan_vm_capacity(const struct plan_vm *vm);
/** Returns the spare capacity without the capacity holds. */
struct task_size plan_vm_available(const struct plan_vm *vm);
/** Returns true if @a size fits in the capacity of plan_vm_available(). */
bool plan_vm_fits(const struct plan_vm *vm, const struct task_size *size);

/** Commits capacity; the state machine has checked that @a size fits. */
void plan_vm_commit(struct plan_vm *vm, const struct task_size *size);
void plan_vm_release(struct plan_vm *vm, const struct task_size *size);
/** Reserves capacity for a decision; @a size must fit in the spare capacity. */
void plan_vm_reserve(struct plan_vm *vm, const struct task_size *size);
void plan_vm_unreserve(struct plan_vm *vm, const struct task_size *size);

/** Holds capacity for @a task; other tasks may still be using it. */
void plan_vm_hold(struct plan_vm *vm, struct plan_task *task,
		  const struct task_size *size);
void plan_vm_unhold(struct plan_task *task);

void plan_vm_add_task(struct plan_vm *vm, struct plan_task *task);
void plan_vm_remove_task(struct plan_vm *vm, struct plan_task *task);

/** Sets the share of its processors that a task may use; 1000000: all. */
void plan_vm_throttle_task(struct plan_vm *vm, struct plan_task *task,
			   uint32_t share_ppm);
/**
 * Add a task to the totals of its job's kind in vm->kinds, or subtract the task
 * from them.
 */
void plan_vm_count_task(struct plan_vm *vm, struct plan_task *task);
void plan_vm_uncount_task(struct plan_vm *vm, struct plan_task *task);

/** Returns the VM's totals for a kind; NULL if it has no task of the kind. */
struct plan_vm_kind *plan_vm_find_kind(struct plan_vm *vm, uint32_t kind_nr);

/** Record that a task of a kind started or stopped running on the VM. */
void plan_vm_run_begin(struct plan_vm *vm, uint32_t kind_nr, uint64_t task_id,
		       uint32_t share_ppm, uint64_t now_us);
void plan_vm_run_end(struct plan_vm *vm, uint64_t task_id, uint64_t now_us);

/** Returns true if @a part is at most @a whole in every resource. */
bool size_within(const struct task_size *part, const struct task_size *whole);
void size_add(struct task_size *sum, const struct task_size *part);
/** Subtracts @a part, which must be within @a sum. */
void size_sub(struct task_size *sum, const struct task_size *part);

#endif /* PLAN_VM_H */
