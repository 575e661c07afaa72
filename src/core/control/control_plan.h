#ifndef CONTROL_PLAN_H
#define CONTROL_PLAN_H

/**
 * @file control_plan.h
 * Feeds the planner with committed changes and carries its decisions out.
 */

#include <stdint.h>

#include "command.h"

struct control;
struct state_job;
struct state_task;

/** Fills a new planner from the state. */
void control_plan_build(struct control *control);
void control_plan_drop(struct control *control);

/** Asks the planner for decisions in the next turn of the loop. */
void control_plan_soon(struct control *control);

/** Timer function: carries decisions out. */
void control_plan_run(void *data, uint64_t now_us);

void control_plan_bundle(struct control *control, const struct bundle *bundle);
void control_plan_task(struct control *control, const struct state_task *task,
		       const struct task_record *before);

#endif /* CONTROL_PLAN_H */
