#ifndef JOB_H
#define JOB_H

/**
 * @file job.h
 * Jobs and their tasks. The replicas of a service of the bundle in force are
 * the tasks of one JOB_SERVICE job.
 */

#include <glib.h>

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;
struct task;

/** Keys with this prefix belong to the jobs of services. */
#define JOB_SERVICE_KEY "service/"

struct job {
	struct job_record record;
	GTree *tasks; /* task_id -> struct task * */
	uint32_t nr_in_state[TASK_CANCELLED + 1]; /* by enum task_state */
	uint32_t nr_evictions; /* of all tasks */
};

struct job *job_find(const struct state *state, uint64_t job_id);
void job_free(void *job);

/** Returns the number of tasks that have not ended. */
uint32_t job_live_tasks(const struct job *job);

/** Checks an operator's job; RESULT_OK or why it is refused. */
enum result job_check(const struct job_record *record, const char **message);

struct state_outcome job_submit(struct state *state, const void *body);
/** Cancels or fails all the given jobs that are active. */
struct state_outcome job_cancel(struct state *state, const void *body);
/** Drops jobs and claims that ended long ago. */
struct state_outcome job_expire(struct state *state, const void *body);

/** Makes, grows, shrinks and ends the jobs of the bundle's services. */
void job_follow_bundle(struct state *state, const struct bundle *bundle);

/** Ends the job if all its tasks have ended. */
void job_settle(struct state *state, struct job *job);

void job_restore(struct state *state, const struct job_record *record);

#endif /* JOB_H */
