#include "state_vm.h"

#include <string.h>

#include "schema.h"
#include "state.h"

static struct state_vm *state_vm_insert(struct state *state,
					const struct vm_record *record)
{
	struct state_vm *vm = g_new0(struct state_vm, 1);

	vm->record = *record;
	vm->tasks = g_tree_new_full(state_compare_ids, NULL, NULL, NULL);
	g_tree_replace(state->vms, vm->record.name, vm);
	return vm;
}

static gboolean state_vm_append_task(gpointer key, gpointer value,
				     gpointer data)
{
	g_ptr_array_add(data, value);
	return FALSE;
}

struct state_vm *state_vm_find(const struct state *state, const char *name)
{
	return g_tree_lookup(state->vms, name);
}

void state_vm_free(void *data)
{
	struct state_vm *vm = data;

	g_tree_unref(vm->tasks);
	g_free(vm);
}

bool state_vm_can_hold(const struct state_vm *vm, uint32_t cpu_millis,
		       uint32_t memory_mib, uint32_t accelerators)
{
	return (uint64_t)vm->used_cpu_millis + cpu_millis <=
		       vm->record.cpu_millis &&
	       (uint64_t)vm->used_memory_mib + memory_mib <=
		       vm->record.memory_mib &&
	       (uint64_t)vm->used_accelerators + accelerators <=
		       vm->record.accelerators;
}

void state_vm_add_task(struct state_vm *vm, struct state_task *task)
{
	const struct task_record *record = &task->record;

	g_assert(!task->vm);
	g_assert(state_vm_can_hold(vm, record->cpu_millis, record->memory_mib,
				   record->accelerators));
	vm->used_cpu_millis += record->cpu_millis;
	vm->used_memory_mib += record->memory_mib;
	vm->used_accelerators += record->accelerators;
	g_tree_insert(vm->tasks, &task->record.task_id, task);
	task->vm = vm;
}

void state_vm_remove_task(struct state_vm *vm, struct state_task *task)
{
	const struct task_record *record = &task->record;

	g_assert(task->vm == vm);
	vm->used_cpu_millis -= record->cpu_millis;
	vm->used_memory_mib -= record->memory_mib;
	vm->used_accelerators -= record->accelerators;
	g_tree_remove(vm->tasks, &task->record.task_id);
	task->vm = NULL;
}

struct state_outcome state_vm_check_set(const struct state *state,
					const struct vm_record *record)
{
	const struct state_vm *vm = state_vm_find(state, record->name);
	struct state_outcome outcome = { 0 };

	if (!*record->name || !record->node_id ||
	    (record->state != VM_LIVE && record->state != VM_LEAVING)) {
		outcome.result = RESULT_MALFORMED;
	} else if (!state_zone_find(state, record->zone)) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		outcome.message = "the VM's zone is unknown";
	} else if (vm && (record->cpu_millis < vm->used_cpu_millis ||
			  record->memory_mib < vm->used_memory_mib ||
			  record->accelerators < vm->used_accelerators)) {
		outcome.result = RESULT_NO_CAPACITY;
		outcome.message = "the VM is smaller than its commitments";
	} else if (vm && strcmp(vm->record.zone, record->zone) != 0 &&
		   g_tree_nnodes(vm->tasks)) {
		outcome.result = RESULT_CONFLICT;
		outcome.message = "the VM changes its zone while it has tasks";
	}
	return outcome;
}

struct state_outcome state_vm_set(struct state *state, const void *body)
{
	const struct vm_record *record = body;
	struct state_outcome outcome = state_vm_check_set(state, record);
	struct state_vm *vm = state_vm_find(state, record->name);
	bool quarantined = vm && vm->record.quarantined;

	if (outcome.result)
		return outcome;
	if (vm)
		vm->record = *record;
	else
		vm = state_vm_insert(state, record);
	/* Only CMD_VM_QUARANTINE changes this flag. */
	vm->record.quarantined = quarantined;
	state_vm_changed(state, vm);
	return outcome;
}

struct state_outcome state_vm_lost(struct state *state, const void *body)
{
	const struct cmd_vm_lost *lost = body;
	struct state_vm *vm = state_vm_find(state, lost->name);
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
	g_tree_foreach(vm->tasks, state_vm_append_task, tasks);
	for (uint32_t i = 0; i < tasks->len; i++)
		state_task_unplace(state, g_ptr_array_index(tasks, i));
	g_ptr_array_unref(tasks);
	return outcome;
}

struct state_outcome state_vm_quarantine(struct state *state, const void *body)
{
	const struct cmd_vm_quarantine *set = body;
	struct state_vm *vm = state_vm_find(state, set->name);
	struct state_outcome outcome = { 0 };

	if (!vm) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	vm->record.quarantined = set->quarantined;
	state_vm_changed(state, vm);
	return outcome;
}

void state_vm_restore(struct state *state, const struct vm_record *record)
{
	state_vm_insert(state, record);
}
