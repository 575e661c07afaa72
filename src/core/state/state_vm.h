#ifndef STATE_VM_H
#define STATE_VM_H

/**
 * @file state_vm.h
 * VMs and the capacity committed on them. The sum of the commitments never
 * exceeds a VM's processors, memory or accelerators.
 */

#include <glib.h>

#include "command.h"

struct state;
struct state_outcome;
struct state_task;

struct state_vm {
	struct vm_record record;
	uint32_t used_cpu_millis; /* sum over tasks */
	uint32_t used_memory_mib; /* sum over tasks */
	uint32_t used_accelerators; /* sum over tasks */
	GTree *tasks; /* tasks on the VM; task_id -> struct state_task * */
};

struct state_vm *state_vm_find(const struct state *state, const char *name);
void state_vm_free(void *vm);

/** Returns true if a task of the given size fits in the spare capacity. */
bool state_vm_can_hold(const struct state_vm *vm, uint32_t cpu_millis,
		       uint32_t memory_mib, uint32_t accelerators);

/** Commit or release the size in the task's record. */
void state_vm_add_task(struct state_vm *vm, struct state_task *task);
void state_vm_remove_task(struct state_vm *vm, struct state_task *task);

/** Records an agent's incarnation and the VM's capacity. */
struct state_outcome state_vm_set(struct state *state, const void *body);

/** Returns the result that state_vm_set() would have. */
struct state_outcome state_vm_check_set(const struct state *state,
					const struct vm_record *record);

/** Marks a VM as lost; its tasks become pending, or end with their jobs. */
struct state_outcome state_vm_lost(struct state *state, const void *body);

struct state_outcome state_vm_quarantine(struct state *state, const void *body);

void state_vm_restore(struct state *state, const struct vm_record *record);

#endif /* STATE_VM_H */
