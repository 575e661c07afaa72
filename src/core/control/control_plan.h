#ifndef CONTROL_PLAN_H
#define CONTROL_PLAN_H

/**
 * @file control_plan.h
 * Passes committed changes to the planner (plan.h), which decides where tasks
 * run and which are evicted or throttled, and carries out its decisions.
 */

#include <stdint.h>

#include "command.h"

struct control;
struct state_job;
struct state_task;

/** Builds a new planner from the committed state. */
void control_plan_build(struct control *control);
void control_plan_drop(struct control *control);

/** Makes the planner decide in the next turn of the loop. */
void control_plan_soon(struct control *control);

/** Timer function: carries out the planner's decisions. */
void control_plan_run(void *data, uint64_t now_us);

/* Pass a committed bundle or change of a task to the planner. */
void control_plan_bundle(struct control *control, const struct bundle *bundle);
void control_plan_task(struct control *control, const struct state_task *task,
		       const struct task_record *before);

#endif /* CONTROL_PLAN_H */
