#include "vm.h"

#include <string.h>

#include "schema.h"
#include "state.h"

static struct vm *vm_insert(struct state *state, const struct vm_record *record)
{
	struct vm *vm = g_new0(struct vm, 1);

	vm->record = *record;
	vm->tasks = g_tree_new_full(state_compare_ids, NULL, NULL, NULL);
	g_tree_replace(state->vms, vm->record.name, vm);
	return vm;
}

static gboolean vm_append_task(gpointer key, gpointer value, gpointer data)
{
	g_ptr_array_add(data, value);
	return FALSE;
}

struct vm *vm_find(const struct state *state, const char *name)
{
	return g_tree_lookup(state->vms, name);
}

void vm_free(void *data)
{
	struct vm *vm = data;

	g_tree_unref(vm->tasks);
	g_free(vm);
}

bool vm_can_hold(const struct vm *vm, uint32_t cpu_millis, uint32_t memory_mib,
		 uint32_t accelerators)
{
	return (uint64_t)vm->used_cpu_millis + cpu_millis <=
		       vm->record.cpu_millis &&
	       (uint64_t)vm->used_memory_mib + memory_mib <=
		       vm->record.memory_mib &&
	       (uint64_t)vm->used_accelerators + accelerators <=
		       vm->record.accelerators;
}

void vm_take(struct vm *vm, struct task *task)
{
	const struct task_record *record = &task->record;

	g_assert(!task->vm);
	g_assert(vm_can_hold(vm, record->cpu_millis, record->memory_mib,
			     record->accelerators));
	vm->used_cpu_millis += record->cpu_millis;
	vm->used_memory_mib += record->memory_mib;
	vm->used_accelerators += record->accelerators;
	g_tree_insert(vm->tasks, &task->record.task_id, task);
	task->vm = vm;
}

void vm_release(struct vm *vm, struct task *task)
{
	const struct task_record *record = &task->record;

	g_assert(task->vm == vm);
	vm->used_cpu_millis -= record->cpu_millis;
	vm->used_memory_mib -= record->memory_mib;
	vm->used_accelerators -= record->accelerators;
	g_tree_remove(vm->tasks, &task->record.task_id);
	task->vm = NULL;
}

struct state_outcome vm_check_set(const struct state *state,
				  const struct vm_record *record)
{
	const struct vm *vm = vm_find(state, record->name);
	struct state_outcome outcome = { 0 };

	if (!*record->name || !record->node_id ||
	    (record->state != VM_LIVE && record->state != VM_LEAVING)) {
		outcome.result = RESULT_MALFORMED;
	} else if (!zone_find(state, record->zone)) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		outcome.message = "the VM's zone is unknown";
	} else if (vm && (record->cpu_millis < vm->used_cpu_millis ||
			  record->memory_mib < vm->used_memory_mib ||
			  record->accelerators < vm->used_accelerators)) {
		outcome.result = RESULT_NO_CAPACITY;
		outcome.message = "the VM is smaller than its commitments";
	} else if (vm && strcmp(vm->record.zone, record->zone) &&
		   g_tree_nnodes(vm->tasks)) {
		outcome.result = RESULT_CONFLICT;
		outcome.message = "the VM changes its zone while it has tasks";
	}
	return outcome;
}

struct state_outcome vm_set(struct state *state, const void *body)
{
	const struct vm_record *record = body;
	struct state_outcome outcome = vm_check_set(state, record);
	struct vm *vm = vm_find(state, record->name);
	bool quarantined = vm && vm->record.quarantined;

	if (outcome.result)
		return outcome;
	if (vm)
		vm->record = *record;
	else
		vm = vm_insert(state, record);
	/* Only a quarantine command changes this. */
	vm->record.quarantined = quarantined;
	state_vm_changed(state, vm);
	return outcome;
}

struct state_outcome vm_lost(struct state *state, const void *body)
{
	const struct cmd_vm_lost *lost = body;
	struct vm *vm = vm_find(state, lost->name);
	struct state_outcome outcome = { 0 };
	GPtrArray *tasks;

	if (!vm) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	if (vm->record.node_id != lost->node_id) {
		outcome.result = RESULT_STALE;
		outcome.message = "another incarnation has reported";
		return outcome;
	}
	vm->record.state = VM_LOST;
	state_vm_changed(state, vm);
	tasks = g_ptr_array_new();
	g_tree_foreach(vm->tasks, vm_append_task, tasks);
	for (uint32_t i = 0; i < tasks->len; i++)
		task_unplace(state, g_ptr_array_index(tasks, i));
	g_ptr_array_unref(tasks);
	return outcome;
}

struct state_outcome vm_quarantine(struct state *state, const void *body)
{
	const struct cmd_vm_quarantine *set = body;
	struct vm *vm = vm_find(state, set->name);
	struct state_outcome outcome = { 0 };

	if (!vm) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	vm->record.quarantined = set->quarantined;
	state_vm_changed(state, vm);
	return outcome;
}

void vm_restore(struct state *state, const struct vm_record *record)
{
	vm_insert(state, record);
}
