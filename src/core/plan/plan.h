#ifndef PLAN_H
#define PLAN_H

/**
 * @file plan.h
 * The planner of the control leader: which task runs where, which is throttled,
 * moved or evicted. It is told of every committed change and of usage samples,
 * and is asked for decisions; it proposes nothing itself and may be thrown away
 * and filled anew at any time. Time is monotonic, in microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "platform.h"
#include "result.h"

struct plan;

enum plan_action {
	PLAN_PLACE = 1, /* commit the task to the VM, then start it */
	PLAN_EVICT = 2, /* checkpoint, stop and place anew */
	PLAN_THROTTLE = 3, /* limit the task to cpu_ppm of its processors */
	PLAN_FAIL_JOB = 4, /* the job can never run or failed too often */
	PLAN_QUARANTINE = 5, /* set or lift, by flag quarantined */
};

struct plan_decision {
	enum plan_action action;
	uint64_t task_id;
	uint64_t job_id;
	char vm[NAME_BYTES];
	uint32_t cpu_millis; /* PLAN_PLACE: size to commit */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t cpu_ppm; /* PLAN_THROTTLE: 1000000 lifts it */
	bool quarantined;
	enum result result; /* PLAN_FAIL_JOB: why */
	char reason[TEXT_BYTES]; /* key=value pairs for the decision log */
};

struct plan_opts {
	const char *place_policy; /* NULL: the default */
	const char *evict_policy;
	uint64_t seed; /* of tie-breaking */
};

struct plan *plan_new(const struct plan_opts *opts);
void plan_free(struct plan *plan);

/* Committed state. The records are copied; order doesn't matter. */
void plan_set_bundle(struct plan *plan, const struct bundle *bundle);
void plan_set_zone(struct plan *plan, const struct zone_record *zone,
		   uint64_t now_us);
void plan_set_vm(struct plan *plan, const struct vm_record *vm,
		 uint64_t now_us);
void plan_set_job(struct plan *plan, const struct job_record *job,
		  uint64_t now_us);
/** Any change of a task; it clears an outstanding decision on that task. */
void plan_set_task(struct plan *plan, const struct task_record *task,
		   uint64_t now_us);
/** Forgets a finished job and its tasks. */
void plan_drop_job(struct plan *plan, uint64_t job_id);

/** A task ended on a VM: learned run times and failures of jobs and VMs. */
void plan_task_ended(struct plan *plan, uint64_t task_id, const char *vm,
		     bool failed, uint64_t now_us);

/** Usage samples of one VM, each age_ms old. */
void plan_usage(struct plan *plan, const char *vm, uint32_t nr_tasks,
		const struct platform_task *tasks, uint64_t now_us);

/**
 * Returns the next decision, false if there is none now. The decision counts
 * as carried out (reserved) until the task changes or plan_undo() is called.
 */
bool plan_next(struct plan *plan, uint64_t now_us,
	       struct plan_decision *decision);

/** The decision was not carried out: the proposal was refused or dropped. */
void plan_undo(struct plan *plan, const struct plan_decision *decision);

/** Returns when plan_next() is to be asked again without a change,
 * UINT64_MAX: not before one. */
uint64_t plan_next_us(const struct plan *plan);

/** Returns RESULT_OK, RESULT_NEVER_FITS or RESULT_QUOTA for a new job. */
enum result plan_check_job(const struct plan *plan,
			   const struct job_record *job);

#endif /* PLAN_H */
