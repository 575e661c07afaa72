#ifndef CONTROL_TASK_H
#define CONTROL_TASK_H

/**
 * @file control_task.h
 * The leader's handling of tasks on VMs: orders to agents, and the runs that
 * agents report. An epoch numbers the placements of a task. A permit is the
 * time within which a start may happen.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_control.h"
#include "state_task.h"
#include "state_vm.h"

struct control;
struct control_task;

/**
 * Returns the leader's record of a task on a VM; creates it if there is none.
 */
struct control_task *control_task_track(struct control *control,
					const struct state_task *task);

/** Sends the order that follows from the task's committed state. */
void control_task_order(struct control *control, const struct state_task *task);

/**
 * Sends an order to throttle the task; returns false if this replica isn't the
 * leader or no VM has the task.
 */
bool control_task_throttle(struct control *control,
			   const struct state_task *task, uint32_t cpu_ppm);

/**
 * Handles a run in the VM's report. Returns false if the task is committed to
 * another VM or under another epoch; the agent is then ordered to stop the run.
 */
bool control_task_reported(struct control *control, const struct state_vm *vm,
			   const struct platform_task *run);

/**
 * Handles a task that is committed to the VM but missing in its report. The
 * start may still be in flight. Once its permit has expired, the task becomes
 * pending again.
 */
void control_task_not_reported(struct control *control,
			       const struct state_task *task,
			       const struct report *report);

/** Handles MSG_TASK_EVENT. */
void control_task_event(struct control *control, uint64_t from,
			const struct task_event *event);

/** Drops the leader's record of a task that is no longer on a VM. */
void control_task_forget(struct control *control, uint64_t task_id);

#endif /* CONTROL_TASK_H */
