#ifndef STATE_FLOW_H
#define STATE_FLOW_H

/**
 * @file state_flow.h
 * Workflows and their tasks. A task is waiting, placed under a run number, or
 * done; run numbers only rise.
 */

#include <glib.h>

#include "flow.h"
#include "result.h"

struct state;
struct state_outcome;

/** The tasks of one step in one occurrence. */
struct state_flow_stage {
	uint32_t nr_placed;
	uint32_t nr_done;
	uint32_t nr_failures; /* of all its tasks */
	uint32_t last_run; /* highest run number of its tasks */
};

struct state_flow {
	struct flow_record record;
	uint32_t tasks_per_occurrence; /* tasks of one occurrence */
	uint32_t *first_task; /* by step: index within its occurrence */
	struct state_flow_stage *stages; /* by occurrence and step */
	uint32_t nr_stages;
	uint32_t nr_placed;
	uint32_t nr_done;
	bool has_started; /* a task was placed at some time */
};

struct state_flow *state_flow_find(const struct state *state, const char *id);
void state_flow_free(void *flow);

/** Returns true while tasks may be placed. */
bool state_flow_is_active(const struct state_flow *flow);
/**
 * Returns true if an end `done` of this run settles the task: the run was its
 * last, on this VM, and was taken back.
 */
bool state_flow_accepts_late_done(const struct state_flow *flow, uint32_t task,
				  uint32_t run, const char *vm);

/** Returns the occurrence and step of a task. */
uint32_t state_flow_occurrence(const struct state_flow *flow, uint32_t task);
uint32_t state_flow_step(const struct state_flow *flow, uint32_t task);
/** Returns the index of the first task of a stage. */
uint32_t state_flow_first_task(const struct state_flow *flow, uint32_t stage);
/** Returns the step of a stage. */
const struct flow_step *state_flow_stage_step(const struct state_flow *flow,
					      uint32_t stage);

/** Returns true if all that the stage waits for is done. */
bool state_flow_stage_ready(const struct state_flow *flow, uint32_t stage);

/** Writes "FLOW.OCCURRENCE.STEP.INDEX" to @a name of NAME_BYTES. */
void state_flow_task_name(const struct state_flow *flow, uint32_t task,
			  char *name);

/** Finds a task by its name; returns false if there is none. */
bool state_flow_task_find(const struct state *state, const char *name,
			  struct state_flow **flow, uint32_t *task);

/** Checks a submission; RESULT_OK or RESULT_MALFORMED, _OUT_OF_RANGE. */
enum result state_flow_check(const struct flow_record *record,
			     const char **message);

struct state_outcome state_flow_submit(struct state *state, const void *body);
struct state_outcome state_flow_cancel(struct state *state, const void *body);
struct state_outcome state_flow_change(struct state *state, const void *body);
struct state_outcome state_flow_expire(struct state *state, const void *body);

/** Returns true if CMD_FLOW_EXPIRE with this time would drop anything. */
bool state_flow_has_expired(const struct state *state, uint64_t before_ms);

void state_flow_restore(struct state *state, const struct flow_record *record);

/** Keeps learned weights; beyond FLOW_MAX_PRESSURE_PAIRS pairs, new ones are
 * lost.
 */
struct state_outcome state_pressure_set(struct state *state, const void *body);
void state_pressure_restore(struct state *state,
			    const struct pressure_pair *pair);

/** Asserts that the sums agree with the tasks; for tests. */
void state_flow_verify(const struct state_flow *flow);

#endif /* STATE_FLOW_H */
