#include "plan_state.h"

#include "schema.h"

uint64_t plan_random(struct plan *plan)
{
	/* xorshift64 */
	plan->random ^= plan->random << 13;
	plan->random ^= plan->random >> 7;
	plan->random ^= plan->random << 17;
	return plan->random;
}

struct plan_vm *plan_vm(struct plan *plan, const char *name)
{
	struct plan_vm *vm = g_hash_table_lookup(plan->vms, name);

	if (vm)
		return vm;
	vm = plan_vm_new(name, plan->vm_list->len);
	g_hash_table_insert(plan->vms, vm->record.name, vm);
	g_ptr_array_add(plan->vm_list, vm);
	return vm;
}

struct plan_zone *plan_zone(struct plan *plan, const char *name)
{
	struct plan_zone *zone = g_hash_table_lookup(plan->zones, name);

	if (zone)
		return zone;
	zone = plan_zone_new(name, plan->zone_list->len);
	g_hash_table_insert(plan->zones, zone->name, zone);
	g_ptr_array_add(plan->zone_list, zone);
	return zone;
}

struct team *plan_team(struct plan *plan, const char *name)
{
	struct team *team = g_hash_table_lookup(plan->teams, name);

	if (team)
		return team;
	team = team_new(name);
	g_hash_table_insert(plan->teams, team->name, team);
	return team;
}

uint32_t plan_rack_nr(struct plan *plan, const struct vm_record *record)
{
	char *key = g_strdup_printf("%s/%s", record->zone, record->rack);
	uint32_t nr = GPOINTER_TO_UINT(g_hash_table_lookup(plan->racks, key));

	if (nr) {
		g_free(key);
		return nr - 1;
	}
	nr = g_hash_table_size(plan->racks);
	g_hash_table_insert(plan->racks, key, GUINT_TO_POINTER(nr + 1));
	return nr;
}

struct plan_job *plan_job(struct plan *plan, uint64_t job_id)
{
	struct plan_job *job = g_hash_table_lookup(plan->jobs, &job_id);

	if (job)
		return job;
	job = g_new0(struct plan_job, 1);
	job->record.job_id = job_id;
	job->arrival_nr = plan->arrival_nr++;
	g_queue_init(&job->tasks);
	g_queue_init(&job->pending);
	g_hash_table_insert(plan->jobs, &job->record.job_id, job);
	return job;
}

void plan_job_free(void *job)
{
	g_free(job);
}

struct plan_task *plan_find_task(const struct plan *plan, uint64_t task_id)
{
	return g_hash_table_lookup(plan->tasks, &task_id);
}

struct plan_task *plan_task(struct plan *plan, uint64_t task_id,
			    uint64_t job_id)
{
	struct plan_task *task = plan_find_task(plan, task_id);

	if (task)
		return task;
	task = g_new0(struct plan_task, 1);
	task->task_id = task_id;
	task->job = plan_job(plan, job_id);
	task->throttle_ppm = 1000000;
	task->job_link.data = task;
	task->pending_link.data = task;
	task->list_link.data = task;
	g_queue_push_tail_link(&task->job->tasks, &task->job_link);
	g_hash_table_insert(plan->tasks, &task->task_id, task);
	return task;
}

void plan_account(struct plan_task *task, struct plan_vm *vm,
		  const struct task_size *size, bool reserved)
{
	task->size = *size;
	task->reserved = reserved;
	if (reserved)
		plan_vm_reserve(vm, size);
	else
		plan_vm_commit(vm, size);
	plan_vm_add_task(vm, task);
	task->charged_team = task->job->team;
	if (task->charged_team)
		team_use(task->charged_team, size);
}

void plan_unaccount(struct plan *plan, struct plan_task *task)
{
	struct plan_vm *vm = task->on_vm;
	struct team *team = task->charged_team;

	if (!vm)
		return;
	plan_vm_remove_task(vm, task);
	if (task->reserved)
		plan_vm_unreserve(vm, &task->size);
	else
		plan_vm_release(vm, &task->size);
	if (team)
		team_return(team, &task->size);
	task->charged_team = NULL;
	task->reserved = false;
	plan_capacity_freed(plan, vm, team);
}

void plan_hold(struct plan *plan, struct plan_task *task, struct plan_vm *vm,
	       const struct task_size *size, uint64_t until_us)
{
	plan_vm_hold(vm, task, size);
	task->hold_until_us = until_us;
	task->batch_hold = plan_is_batch(task->job);
	plan->nr_batch_holds += task->batch_hold;
	if (task->state != TASK_PENDING)
		return;
	queue_remove_task(plan, task);
	plan_set_list(task, &plan->waiting);
	plan_capacity_freed(plan, vm, NULL);
}

void plan_unhold(struct plan *plan, struct plan_task *task)
{
	struct plan_vm *vm = task->hold_vm;

	if (!vm)
		return;
	plan_vm_unhold(task);
	plan->nr_batch_holds -= task->batch_hold;
	task->batch_hold = false;
	plan_capacity_freed(plan, vm, NULL);
}

void plan_unhold_all(struct plan *plan, struct plan_vm *vm)
{
	while (vm->holders->len) {
		struct plan_task *task = g_ptr_array_index(vm->holders, 0);

		plan_unhold(plan, task);
		if (task->state != TASK_PENDING)
			continue;
		plan_set_list(task, NULL);
		queue_add_task(plan, task);
	}
}

bool plan_hold_is_free(const struct plan_task *task)
{
	struct task_size spare;

	if (!task->hold_vm)
		return false;
	spare = plan_vm_spare(task->hold_vm);
	return size_within(&task->hold_size, &spare);
}

void plan_capacity_freed(struct plan *plan, struct plan_vm *vm,
			 const struct team *team)
{
	struct task_size spare = plan_vm_spare(vm);

	for (uint32_t i = 0; i < vm->holders->len; i++) {
		struct plan_task *task = g_ptr_array_index(vm->holders, i);

		if (!size_within(&task->hold_size, &spare))
			break;
		size_sub(&spare, &task->hold_size);
		if (task->list == &plan->waiting)
			plan_set_list(task, &plan->ready);
	}
	queue_capacity_freed(plan, vm, team);
}

void plan_set_list(struct plan_task *task, GQueue *list)
{
	if (task->list)
		g_queue_unlink(task->list, &task->list_link);
	task->list = list;
	if (list)
		g_queue_push_tail_link(list, &task->list_link);
}

void plan_fail_job(struct plan *plan, struct plan_job *job, enum result result)
{
	if (job->failing)
		return;
	job->failing = true;
	job->fail_result = result;
	queue_remove_job(plan, job);
	g_queue_push_tail(&plan->failing_jobs, job);
}

bool plan_is_batch(const struct plan_job *job)
{
	return job->record.job_class != JOB_SERVICE &&
	       job->record.job_class != JOB_URGENT;
}

bool plan_is_leaving(const struct plan *plan, const struct plan_task *task)
{
	return task->state == TASK_STOPPING ||
	       task->outstanding == PLAN_EVICT || task->list == &plan->evicting;
}

uint64_t plan_remaining_us(const struct plan *plan,
			   const struct plan_task *task)
{
	uint64_t run_us = task->running_us ? plan->now_us - task->running_us :
					     0;
	uint64_t whole_us;

	if (!task->job->known)
		return 0;
	if (task->progress_ppm > 100000 && run_us)
		return run_us / task->progress_ppm *
		       (1000000 - MIN(task->progress_ppm, 1000000));
	whole_us = task->job->kind->run_ms ?
			   task->job->kind->run_ms * 1000 :
			   task->job->record.declared_run_ms * 1000ull;
	return whole_us > run_us ? whole_us - run_us : whole_us / 4;
}

bool failed_vms_contains(const struct failed_vms *failed,
			 const struct plan_vm *vm)
{
	for (uint32_t i = 0; i < failed->nr; i++) {
		if (failed->vms[i] == vm)
			return true;
	}
	return false;
}

uint32_t failed_vms_add(struct failed_vms *failed, struct plan_vm *vm)
{
	uint32_t nr = 0;

	/* Failures on a quarantined VM are due to the VM, not to the job. */
	for (uint32_t i = 0; i < failed->nr; i++) {
		if (!failed->vms[i]->record.quarantined && failed->vms[i] != vm)
			failed->vms[nr++] = failed->vms[i];
	}
	if (nr < JOB_MAX_FAILED_VMS)
		failed->vms[nr++] = vm;
	failed->nr = nr;
	return nr;
}
