#ifndef CONTROL_TASK_H
#define CONTROL_TASK_H

/**
 * @file control_task.h
 * The leader's dealings with tasks on VMs: orders to agents, and what agents
 * tell of runs.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_control.h"
#include "state_task.h"
#include "state_vm.h"

struct control;
struct control_task;

/** Returns what the leader knows of a task that is on a VM, never NULL. */
struct control_task *control_task_track(struct control *control,
					const struct state_task *task);

/** Sends the order that the task's committed state asks for. */
void control_task_order(struct control *control, const struct state_task *task);

/** Sends an order to throttle; returns false if it can't be sent now. */
bool control_task_throttle(struct control *control,
			   const struct state_task *task, uint32_t cpu_ppm);

/**
 * Takes a run that the VM's report shows. Returns false if the state has the
 * task elsewhere or under another epoch; the agent is then told to stop it.
 */
bool control_task_reported(struct control *control, const struct state_vm *vm,
			   const struct platform_task *run);

/**
 * Takes it that the VM's report doesn't show a task committed to it. A start
 * may still be under way; once it can't be any more, the task waits anew.
 */
void control_task_not_reported(struct control *control,
			       const struct state_task *task,
			       const struct report *report);

/** Takes MSG_TASK_EVENT. */
void control_task_event(struct control *control, uint64_t from,
			const struct task_event *event);

/** The task left its VM: forgets what the leader noted of it. */
void control_task_forget(struct control *control, uint64_t task_id);

#endif /* CONTROL_TASK_H */
