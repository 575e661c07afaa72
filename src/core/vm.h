#ifndef VM_H
#define VM_H

/**
 * @file vm.h
 * VMs and what is committed to them. The sum of the commitments never exceeds
 * a VM's processors, memory or accelerators.
 */

#include <glib.h>

#include "command.h"

struct state;
struct state_outcome;
struct task;

struct vm {
	struct vm_record record;
	uint32_t used_cpu_millis;
	uint32_t used_memory_mib;
	uint32_t used_accelerators;
	GTree *tasks; /* task_id -> struct task *: placed, running, stopping */
};

struct vm *vm_find(const struct state *state, const char *name);
void vm_free(void *vm);

/** Returns true if the commitments leave room for the given size. */
bool vm_can_hold(const struct vm *vm, uint32_t cpu_millis, uint32_t memory_mib,
		 uint32_t accelerators);

/** Counts the task, whose record holds the size committed. */
void vm_take(struct vm *vm, struct task *task);
void vm_release(struct vm *vm, struct task *task);

/** Records an agent's incarnation and the VM's capacity. */
struct state_outcome vm_set(struct state *state, const void *body);

/** Returns the result that vm_set() would have. */
struct state_outcome vm_check_set(const struct state *state,
				  const struct vm_record *record);

/** Declares a VM lost; its tasks wait for a new place. */
struct state_outcome vm_lost(struct state *state, const void *body);

struct state_outcome vm_quarantine(struct state *state, const void *body);

void vm_restore(struct state *state, const struct vm_record *record);

#endif /* VM_H */
