#ifndef STATE_FLOW_H
#define STATE_FLOW_H

/**
 * @file state_flow.h
 * Workflows and their tasks. A workflow has steps of one or more tasks, which
 * may depend on earlier steps, and runs once or several times; each time is an
 * occurrence. A stage is one step in one occurrence. A task is waiting, placed
 * with a run number, or done. Each run of a task has a higher number than the
 * one before. The tasks of a gang step form a unit: when one of them is done,
 * the others become done without another run.
 */

#include <glib.h>

#include "flow.h"
#include "result.h"

struct state;
struct state_outcome;

/** The tasks of one step in one occurrence of the workflow. */
struct state_flow_stage {
	uint32_t nr_placed; /* tasks in FLOW_TASK_PLACED */
	uint32_t nr_done; /* tasks in FLOW_TASK_DONE */
	/* Failed runs of its tasks, of a gang as a whole. */
	uint32_t nr_failures;
	uint32_t last_run; /* highest run number of its tasks */
	/* Gang: its last run that counts as failed, 0: none. */
	uint32_t failed_run;
};

struct state_flow {
	struct flow_record record;
	uint32_t tasks_per_occurrence;
	uint32_t *first_task; /* by step, index within an occurrence */
	struct state_flow_stage *stages; /* by occurrence, then by step */
	uint32_t nr_stages;
	uint32_t nr_placed; /* tasks in FLOW_TASK_PLACED */
	uint32_t nr_done; /* tasks in FLOW_TASK_DONE */
	bool has_started; /* a task has been placed before */
};

struct state_flow *state_flow_find(const struct state *state, const char *id);
void state_flow_free(void *flow);

/** Returns true if the workflow has not ended, so that tasks may be placed. */
bool state_flow_is_active(const struct state_flow *flow);
/**
 * Returns true if FLOW_END_DONE still completes a task after another end of the
 * same run was recorded: the run is the task's latest one and was on this VM,
 * and the task is waiting.
 */
bool state_flow_accepts_late_done(const struct state_flow *flow, uint32_t task,
				  uint32_t run, const char *vm);

/** Return the index of a task's occurrence and of its step. */
uint32_t state_flow_occurrence(const struct state_flow *flow, uint32_t task);
uint32_t state_flow_step(const struct state_flow *flow, uint32_t task);
/** Returns the index, in the whole workflow, of a stage's first task. */
uint32_t state_flow_first_task(const struct state_flow *flow, uint32_t stage);
const struct flow_step *state_flow_stage_step(const struct state_flow *flow,
					      uint32_t stage);

/** Returns the number of the task's stage. */
uint32_t state_flow_stage_of(const struct state_flow *flow, uint32_t task);
/** Returns true if all tasks that the stage depends on are done. */
bool state_flow_stage_ready(const struct state_flow *flow, uint32_t stage);

/** Writes "FLOW.OCCURRENCE.STEP.INDEX" to @a name, of NAME_BYTES bytes. */
void state_flow_task_name(const struct state_flow *flow, uint32_t task,
			  char *name);

/**
 * Finds the stage of a task by the task's name, also in a workflow that has
 * ended and has no tasks any more. Returns false if there is none.
 */
bool state_flow_stage_find(const struct state *state, const char *name,
			   struct state_flow **flow, uint32_t *stage);
/** Finds a task by its name; returns false if there is none. */
bool state_flow_task_find(const struct state *state, const char *name,
			  struct state_flow **flow, uint32_t *task);

/**
 * Checks a submission. Returns RESULT_OK, RESULT_MALFORMED or
 * RESULT_OUT_OF_RANGE and sets @a message to the reason, or NULL.
 */
enum result state_flow_check(const struct flow_record *record,
			     const char **message);

struct state_outcome state_flow_submit(struct state *state, const void *body);
struct state_outcome state_flow_cancel(struct state *state, const void *body);
struct state_outcome state_flow_change(struct state *state, const void *body);
struct state_outcome state_flow_expire(struct state *state, const void *body);

/** Returns true if CMD_FLOW_EXPIRE with this time would drop a workflow. */
bool state_flow_has_expired(const struct state *state, uint64_t before_ms);

void state_flow_restore(struct state *state, const struct flow_record *record);

/**
 * Stores learned weights: how much a filler (a best-effort task) of one image
 * raises the utilization of a serving task of another image, see pressure.h.
 * New pairs beyond FLOW_MAX_PRESSURE_PAIRS are dropped.
 */
struct state_outcome state_pressure_set(struct state *state, const void *body);
void state_pressure_restore(struct state *state,
			    const struct pressure_pair *pair);

/**
 * Ends the workflow as failed if a task, or a gang, has failed as often as its
 * queue allows. A failed run does this by itself; a change of the queue needs
 * it.
 */
void state_flow_check_attempts(struct state *state, struct state_flow *flow);

/** Asserts that the counts agree with the tasks; for tests. */
void state_flow_verify(const struct state_flow *flow);

#endif /* STATE_FLOW_H */
