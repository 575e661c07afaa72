#ifndef CONTROL_VM_H
#define CONTROL_VM_H

/**
 * @file control_vm.h
 * The leader's dealings with agents: reports, grants, orders, lost VMs.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_control.h"
#include "state_task.h"

struct control;

/** Takes a report and answers it with a grant if that is allowed. */
void control_vm_report(struct control *control, uint64_t from,
		       const struct report *report);

void control_vm_event(struct control *control, uint64_t from,
		      const struct task_event *event);

/** Timer function: declares VMs lost whose leases have run out. */
void control_vm_check(void *data, uint64_t now_us);

/** Sends the order that the task's committed state asks for. */
void control_vm_order(struct control *control, const struct state_task *task);

/** Sends an order to throttle; returns false if it can't be sent now. */
bool control_vm_throttle(struct control *control, const struct state_task *task,
			 uint32_t cpu_ppm);

/** The task left its VM: forgets what the leader noted of it. */
void control_vm_forget_task(struct control *control, uint64_t task_id);

#endif /* CONTROL_VM_H */
