#ifndef STATE_JOB_H
#define STATE_JOB_H

/**
 * @file state_job.h
 * Jobs and their tasks. The replicas of a service that is listed in the bundle
 * in force, the operators' versioned configuration, are the tasks of one
 * JOB_SERVICE job.
 */

#include <glib.h>

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;
struct state_task;

/** Prefix of the keys of service jobs; other jobs must not use it. */
#define JOB_SERVICE_KEY "service/"

struct state_job {
	struct job_record record;
	GTree *tasks; /* task_id -> struct state_task * */
	uint32_t nr_in_state[TASK_CANCELLED + 1]; /* by enum task_state */
	uint32_t nr_evictions; /* sum over all tasks */
};

struct state_job *state_job_find(const struct state *state, uint64_t job_id);
void state_job_free(void *job);

/** Returns the number of tasks that have not ended. */
uint32_t state_job_live_tasks(const struct state_job *job);

/** Checks a submitted job. Returns RESULT_OK or the reason for a refusal. */
enum result state_job_check(const struct job_record *record,
			    const char **message);

struct state_outcome state_job_submit(struct state *state, const void *body);
/** Cancels the given jobs that are active, or ends them as failed. */
struct state_outcome state_job_cancel(struct state *state, const void *body);
/** Drops jobs finished, and claims made, before the command's times. */
struct state_outcome state_job_expire(struct state *state, const void *body);

/** Creates, scales and ends the jobs of services according to the bundle. */
void state_job_apply_bundle(struct state *state, const struct bundle *bundle);

/** Marks the job as finished if all its tasks have ended. */
void state_job_finish_if_done(struct state *state, struct state_job *job);

void state_job_restore(struct state *state, const struct job_record *record);

#endif /* STATE_JOB_H */
