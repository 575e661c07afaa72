#include "plan_vm.h"

#include "plan_state.h"
#include "schema.h"
#include "tunables.h"

bool size_within(const struct task_size *part, const struct task_size *whole)
{
	return part->cpu_millis <= whole->cpu_millis &&
	       part->memory_mib <= whole->memory_mib &&
	       part->accelerators <= whole->accelerators;
}

void size_add(struct task_size *sum, const struct task_size *part)
{
	sum->cpu_millis += part->cpu_millis;
	sum->memory_mib += part->memory_mib;
	sum->accelerators += part->accelerators;
}

void size_sub(struct task_size *sum, const struct task_size *part)
{
	g_assert(size_within(part, sum));
	sum->cpu_millis -= part->cpu_millis;
	sum->memory_mib -= part->memory_mib;
	sum->accelerators -= part->accelerators;
}

static uint32_t spare_of(uint32_t capacity, uint32_t committed,
			 uint32_t reserved)
{
	uint64_t used = (uint64_t)committed + reserved;

	return used >= capacity ? 0 : capacity - (uint32_t)used;
}

struct plan_vm *plan_vm_new(const char *name, uint32_t nr)
{
	struct plan_vm *vm = g_new0(struct plan_vm, 1);

	TEXT_SET(vm->record.name, name);
	vm->nr = nr;
	vm->tasks = g_ptr_array_new();
	vm->holders = g_ptr_array_new();
	vm->run_history = g_array_new(FALSE, FALSE, sizeof(struct plan_vm_run));
	return vm;
}

void plan_vm_free(struct plan_vm *vm)
{
	if (!vm)
		return;
	g_ptr_array_free(vm->tasks, TRUE);
	g_ptr_array_free(vm->holders, TRUE);
	g_array_free(vm->run_history, TRUE);
	g_free(vm);
}

struct task_size plan_vm_capacity(const struct plan_vm *vm)
{
	return (struct task_size){ vm->record.cpu_millis, vm->record.memory_mib,
				   vm->record.accelerators };
}

struct task_size plan_vm_spare(const struct plan_vm *vm)
{
	struct task_size spare;

	spare.cpu_millis = spare_of(vm->record.cpu_millis,
				    vm->committed.cpu_millis,
				    vm->reserved.cpu_millis);
	spare.memory_mib = spare_of(vm->record.memory_mib,
				    vm->committed.memory_mib,
				    vm->reserved.memory_mib);
	spare.accelerators = spare_of(vm->record.accelerators,
				      vm->committed.accelerators,
				      vm->reserved.accelerators);
	return spare;
}

struct task_size plan_vm_available(const struct plan_vm *vm)
{
	struct task_size available = plan_vm_spare(vm);

	available.cpu_millis =
		spare_of(available.cpu_millis, vm->held.cpu_millis, 0);
	available.memory_mib =
		spare_of(available.memory_mib, vm->held.memory_mib, 0);
	available.accelerators =
		spare_of(available.accelerators, vm->held.accelerators, 0);
	return available;
}

bool plan_vm_fits(const struct plan_vm *vm, const struct task_size *size)
{
	struct task_size available = plan_vm_available(vm);

	return size_within(size, &available);
}

void plan_vm_commit(struct plan_vm *vm, const struct task_size *size)
{
	size_add(&vm->committed, size);
	plan_zone_index_vm(vm);
}

void plan_vm_release(struct plan_vm *vm, const struct task_size *size)
{
	size_sub(&vm->committed, size);
	plan_zone_index_vm(vm);
}

void plan_vm_reserve(struct plan_vm *vm, const struct task_size *size)
{
	struct task_size spare = plan_vm_spare(vm);

	g_assert(size_within(size, &spare));
	size_add(&vm->reserved, size);
	plan_zone_index_vm(vm);
}

void plan_vm_unreserve(struct plan_vm *vm, const struct task_size *size)
{
	size_sub(&vm->reserved, size);
	plan_zone_index_vm(vm);
}

void plan_vm_hold(struct plan_vm *vm, struct plan_task *task,
		  const struct task_size *size)
{
	g_assert(!task->hold_vm);
	task->hold_vm = vm;
	task->hold_size = *size;
	g_ptr_array_add(vm->holders, task);
	size_add(&vm->held, size);
	plan_zone_index_vm(vm);
}

void plan_vm_unhold(struct plan_task *task)
{
	struct plan_vm *vm = task->hold_vm;

	if (!vm)
		return;
	task->hold_vm = NULL;
	g_ptr_array_remove(vm->holders, task);
	size_sub(&vm->held, &task->hold_size);
	plan_zone_index_vm(vm);
}

struct plan_vm_kind *plan_vm_find_kind(struct plan_vm *vm, uint32_t kind_nr)
{
	for (uint32_t i = 0; i < vm->nr_kinds; i++) {
		if (vm->kinds[i].kind_nr == kind_nr)
			return &vm->kinds[i];
	}
	return NULL;
}

/* Adds the task to vm->kinds, unless its job's kind isn't known yet. */
static void count_kind(struct plan_vm *vm, struct plan_task *task)
{
	const struct plan_job *job = task->job;
	struct plan_vm_kind *kind;

	task->counted = job->known;
	if (!job->known)
		return;
	vm->nr_services += job->record.job_class == JOB_SERVICE;
	kind = plan_vm_find_kind(vm, job->kind->nr);
	if (!kind && vm->nr_kinds == VM_MAX_KINDS)
		return;
	if (!kind) {
		kind = &vm->kinds[vm->nr_kinds++];
		*kind = (struct plan_vm_kind){ .kind_nr = job->kind->nr };
	}
	kind->nr_tasks++;
	kind->nr_services += job->record.job_class == JOB_SERVICE;
	kind->share_ppm += task->throttle_ppm;
}

static void uncount_kind(struct plan_vm *vm, struct plan_task *task)
{
	const struct plan_job *job = task->job;
	struct plan_vm_kind *kind;

	if (!task->counted)
		return;
	task->counted = false;
	vm->nr_services -= job->record.job_class == JOB_SERVICE;
	kind = plan_vm_find_kind(vm, job->kind->nr);
	if (!kind)
		return;
	kind->nr_services -=
		MIN(kind->nr_services, job->record.job_class == JOB_SERVICE);
	kind->share_ppm -= MIN(kind->share_ppm, task->throttle_ppm);
	if (!--kind->nr_tasks)
		*kind = vm->kinds[--vm->nr_kinds];
}

void plan_vm_add_task(struct plan_vm *vm, struct plan_task *task)
{
	g_assert(!task->on_vm);
	task->on_vm = vm;
	task->vm_slot = vm->tasks->len;
	g_ptr_array_add(vm->tasks, task);
	count_kind(vm, task);
}

void plan_vm_remove_task(struct plan_vm *vm, struct plan_task *task)
{
	struct plan_task *last;

	g_assert(task->on_vm == vm);
	uncount_kind(vm, task);
	g_ptr_array_remove_index_fast(vm->tasks, task->vm_slot);
	if (task->vm_slot < vm->tasks->len) {
		last = g_ptr_array_index(vm->tasks, task->vm_slot);
		last->vm_slot = task->vm_slot;
	}
	task->on_vm = NULL;
}

void plan_vm_throttle_task(struct plan_vm *vm, struct plan_task *task,
			   uint32_t share_ppm)
{
	uncount_kind(vm, task);
	task->throttle_ppm = share_ppm;
	count_kind(vm, task);
}

void plan_vm_count_task(struct plan_vm *vm, struct plan_task *task)
{
	count_kind(vm, task);
}

void plan_vm_uncount_task(struct plan_vm *vm, struct plan_task *task)
{
	uncount_kind(vm, task);
}

void plan_vm_run_begin(struct plan_vm *vm, uint32_t kind_nr, uint64_t task_id,
		       uint32_t share_ppm, uint64_t now_us)
{
	struct plan_vm_run run = { kind_nr, task_id, share_ppm, now_us,
				   UINT64_MAX };
	uint32_t i = 0;

	while (i < vm->run_history->len) {
		struct plan_vm_run *old =
			&g_array_index(vm->run_history, struct plan_vm_run, i);

		if (old->to_us != UINT64_MAX &&
		    old->to_us + PLAN_HISTORY_MS * 1000ull < now_us)
			g_array_remove_index_fast(vm->run_history, i);
		else
			i++;
	}
	g_array_append_val(vm->run_history, run);
}

void plan_vm_run_end(struct plan_vm *vm, uint64_t task_id, uint64_t now_us)
{
	for (uint32_t i = 0; i < vm->run_history->len; i++) {
		struct plan_vm_run *run =
			&g_array_index(vm->run_history, struct plan_vm_run, i);

		if (run->task_id == task_id && run->to_us == UINT64_MAX)
			run->to_us = now_us;
	}
}
