#ifndef CONTROL_VM_H
#define CONTROL_VM_H

/**
 * @file control_vm.h
 * The leader's dealings with VMs: reports, grants, lost VMs.
 */

#include <stdint.h>

#include "msg_control.h"

struct control;
struct control_vm;

/** Returns what the leader knows of a VM beyond the state, never NULL. */
struct control_vm *control_vm_track(struct control *control, const char *name);

/** Takes a report and answers it with a grant if that is allowed. */
void control_vm_report(struct control *control, uint64_t from,
		       const struct report *report);

/** Timer function: declares VMs lost whose leases have run out. */
void control_vm_check(void *data, uint64_t now_us);

#endif /* CONTROL_VM_H */
