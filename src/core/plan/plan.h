#ifndef PLAN_H
#define PLAN_H

/**
 * @file plan.h
 * The planner of the control leader. It decides where each task runs and which
 * tasks are throttled, moved or evicted. The leader passes in every committed
 * change and all usage samples, requests decisions and proposes them as
 * commands. The planner proposes nothing itself and can be freed and rebuilt
 * from the committed state at any time. Times are monotonic, in microseconds.
 *
 * A job has one or more equal tasks and a class: a service, whose tasks are
 * called replicas, urgent work, or batch.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "platform.h"
#include "result.h"

struct plan;

enum plan_action {
	PLAN_PLACE = 1, /* commit the task to the VM, then start it */
	PLAN_EVICT = 2, /* checkpoint and stop the task, then place it again */
	PLAN_THROTTLE = 3, /* limit the task to cpu_ppm of its processors */
	PLAN_FAIL_JOB = 4, /* fail a job that can't run or failed too often */
	PLAN_QUARANTINE = 5, /* set or clear a VM's quarantined flag */
};

struct plan_decision {
	enum plan_action action;
	uint64_t task_id; /* 0: the decision concerns no single task */
	uint64_t job_id; /* 0: the decision concerns no job */
	char vm[NAME_BYTES]; /* "": the decision concerns no VM */
	uint32_t cpu_millis; /* PLAN_PLACE: size to commit */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t cpu_ppm; /* PLAN_THROTTLE: 1000000 removes the limit */
	bool quarantined; /* PLAN_QUARANTINE: new value of the VM's flag */
	enum result result; /* PLAN_FAIL_JOB: the job's result */
	char reason[TEXT_BYTES]; /* key=value pairs for the decision log */
};

struct plan_opts {
	/* Names of policies; NULL: that of the bundle, else the default. */
	const char *place_policy;
	const char *evict_policy;
	uint64_t seed; /* of the planner's random numbers */
};

struct plan *plan_new(const struct plan_opts *opts);
void plan_free(struct plan *plan);

/*
 * These functions record committed state. They copy the records, which may
 * come in any order, for example a task before its job or its VM.
 */
void plan_set_bundle(struct plan *plan, const struct bundle *bundle);
void plan_set_zone(struct plan *plan, const struct zone_record *zone,
		   uint64_t now_us);
void plan_set_vm(struct plan *plan, const struct vm_record *vm,
		 uint64_t now_us);
void plan_set_job(struct plan *plan, const struct job_record *job,
		  uint64_t now_us);
/** Records a change of a task and clears any outstanding decision on it. */
void plan_set_task(struct plan *plan, const struct task_record *task,
		   uint64_t now_us);
/** Removes a finished job and its tasks. */
void plan_drop_job(struct plan *plan, uint64_t job_id);

/**
 * Records that a run of a task ended on a VM. The planner learns run times from
 * successful runs and counts failures against jobs and VMs.
 */
void plan_task_ended(struct plan *plan, uint64_t task_id, const char *vm,
		     bool failed, uint64_t now_us);

/** Records usage samples of tasks on a VM. Each is age_ms old at @a now_us. */
void plan_usage(struct plan *plan, const char *vm, uint32_t nr_tasks,
		const struct platform_task *tasks, uint64_t now_us);

/**
 * Fills in the next decision; returns false if there is none now. The planner
 * treats the decision as carried out, with its capacity reserved, until the
 * task changes or plan_undo() is called.
 */
bool plan_next(struct plan *plan, uint64_t now_us,
	       struct plan_decision *decision);

/** Undoes a decision whose proposal was refused or dropped. */
void plan_undo(struct plan *plan, const struct plan_decision *decision);

/**
 * Returns the time at which to call plan_next() again if nothing changes before
 * then; UINT64_MAX if only a change can lead to another decision.
 */
uint64_t plan_next_us(const struct plan *plan);

/**
 * Checks a new job. Returns RESULT_NEVER_FITS if one of its tasks is larger
 * than any VM, RESULT_QUOTA if one exceeds the team's quota, else RESULT_OK.
 */
enum result plan_check_job(const struct plan *plan,
			   const struct job_record *job);

#endif /* PLAN_H */
