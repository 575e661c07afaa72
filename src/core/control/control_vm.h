#ifndef CONTROL_VM_H
#define CONTROL_VM_H

/**
 * @file control_vm.h
 * The leader's handling of VMs: reports of agents, grants, which renew an
 * agent's lease and its permit to start tasks, and lost VMs.
 */

#include <stdint.h>

#include "msg_control.h"

struct control;
struct control_vm;

/** Returns the leader's record of a VM; creates it if there is none. */
struct control_vm *control_vm_track(struct control *control, const char *name);

/** Handles a report and answers it with a grant if the VM may have a lease. */
void control_vm_report(struct control *control, uint64_t from,
		       const struct report *report);

/** Timer function: declares VMs lost whose leases have expired. */
void control_vm_check(void *data, uint64_t now_us);

#endif /* CONTROL_VM_H */
