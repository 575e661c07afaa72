#include "plan.h"

#include <string.h>

#include "decide.h"
#include "evict.h"
#include "interference.h"
#include "move.h"
#include "place.h"
#include "plan_state.h"
#include "quarantine.h"
#include "schema.h"

static void vm_destroy(void *vm)
{
	plan_vm_free(vm);
}

static void zone_destroy(void *zone)
{
	plan_zone_free(zone);
}

static void team_destroy(void *team)
{
	team_free(team);
}

struct plan *plan_new(const struct plan_opts *opts)
{
	struct plan *plan = g_new0(struct plan, 1);

	plan->place = opts->place_policy ? place_find(opts->place_policy) :
					   NULL;
	plan->evict = opts->evict_policy ? evict_find(opts->evict_policy) :
					   NULL;
	plan->place_fixed = plan->place != NULL;
	plan->evict_fixed = plan->evict != NULL;
	if (!plan->place)
		plan->place = &place_default;
	if (!plan->evict)
		plan->evict = &evict_least_lost;
	/* xorshift must not start from 0. */
	plan->random = opts->seed ? opts->seed : 1;
	plan->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  vm_destroy);
	plan->vm_list = g_ptr_array_new();
	plan->zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    zone_destroy);
	plan->zone_list = g_ptr_array_new();
	plan->racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	plan->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    team_destroy);
	plan->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   plan_job_free);
	plan->tasks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	plan->services = g_ptr_array_new();
	plan->learn = learn_new();
	plan->interference = interference_new();
	evict_init(plan);
	plan->queue = queue_new();
	return plan;
}

void plan_free(struct plan *plan)
{
	if (!plan)
		return;
	g_queue_clear(&plan->failing_jobs);
	g_queue_clear(&plan->suspect_vms);
	g_queue_clear(&plan->quarantined_vms);
	g_queue_clear(&plan->slow_vms);
	queue_free(plan->queue);
	learn_free(plan->learn);
	interference_free(plan->interference);
	g_ptr_array_free(plan->services, TRUE);
	g_hash_table_unref(plan->tasks);
	g_hash_table_unref(plan->jobs);
	g_hash_table_unref(plan->teams);
	g_hash_table_unref(plan->racks);
	g_ptr_array_free(plan->zone_list, TRUE);
	g_hash_table_unref(plan->zones);
	g_ptr_array_free(plan->vm_list, TRUE);
	g_hash_table_unref(plan->vms);
	g_free(plan);
}

static void set_policies(struct plan *plan, const struct bundle *bundle)
{
	const struct place_ops *place = place_find(bundle->place_policy);
	const struct evict_ops *evict = evict_find(bundle->evict_policy);

	if (evict && !plan->evict_fixed)
		plan->evict = evict;
	if (!place || plan->place_fixed || place == plan->place)
		return;
	plan->place = place;
	queue_sort(plan);
}

void plan_set_bundle(struct plan *plan, const struct bundle *bundle)
{
	GHashTableIter iter;
	void *value;

	for (uint32_t i = 0; i < bundle->nr_zones; i++)
		plan_zone(plan, bundle->zones[i].name)->cost_ppm =
			bundle->zones[i].cost_ppm;
	g_hash_table_iter_init(&iter, plan->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		team_set_quota(value, NULL);
	for (uint32_t i = 0; i < bundle->nr_teams; i++)
		team_set_quota(plan_team(plan, bundle->teams[i].name),
			       &bundle->teams[i]);
	set_policies(plan, bundle);
	queue_unblock_all(plan);
}

void plan_set_zone(struct plan *plan, const struct zone_record *record,
		   uint64_t now_us)
{
	struct plan_zone *zone = plan_zone(plan, record->name);

	plan->now_us = now_us;
	if (zone->out == record->out)
		return;
	zone->returned = zone->out;
	zone->out = record->out;
	zone->changed_us = now_us;
	for (uint32_t i = 0; i < zone->vms->len; i++) {
		struct plan_vm *vm = g_ptr_array_index(zone->vms, i);

		plan_zone_index_vm(vm);
		if (!zone->out)
			continue;
		plan_unhold_all(plan, vm);
		move_drain_vm(plan, vm);
	}
	if (zone->out)
		return;
	move_start_rebalancing(plan);
	queue_unblock_all(plan);
}

void plan_set_vm(struct plan *plan, const struct vm_record *record,
		 uint64_t now_us)
{
	struct plan_vm *vm = plan_vm(plan, record->name);
	struct task_size *largest = &plan->largest;
	bool was_quarantined = vm->record.quarantined;
	bool was_indexed = vm->indexed;
	bool was_known = vm->known;

	plan->now_us = now_us;
	if (!vm->known)
		plan->vm_added_us = now_us;
	vm->record = *record;
	vm->known = true;
	if (record->quarantined != was_quarantined)
		quarantine_changed(plan, vm, !was_known);
	vm->rack_nr = plan_rack_nr(plan, record);
	largest->cpu_millis = MAX(largest->cpu_millis, record->cpu_millis);
	largest->memory_mib = MAX(largest->memory_mib, record->memory_mib);
	largest->accelerators =
		MAX(largest->accelerators, record->accelerators);
	plan_zone_add_vm(plan_zone(plan, record->zone), vm);
	plan_zone_index_vm(vm);
	if (vm->indexed) {
		plan_capacity_freed(plan, vm, NULL);
		if (!was_indexed)
			move_start_rebalancing(plan);
		return;
	}
	plan_unhold_all(plan, vm);
	if (record->state == VM_LEAVING || vm->zone->out)
		move_drain_vm(plan, vm);
}

static bool same_group(const struct job_record *a, const struct job_record *b)
{
	return a->job_class == b->job_class && a->cpu_millis == b->cpu_millis &&
	       a->memory_mib == b->memory_mib &&
	       a->accelerators == b->accelerators &&
	       !strcmp(a->team, b->team) && !strcmp(a->kind, b->kind) &&
	       !strcmp(a->name, b->name);
}

/*
 * Removes the job's tasks from the per-kind counts of their VMs and from the
 * team's usage. Called before the job's team or kind changes or becomes known,
 * which may happen after the job's tasks were recorded; count_tasks() adds the
 * tasks again.
 */
static void uncount_tasks(struct plan_job *job)
{
	for (GList *link = job->tasks.head; link; link = link->next) {
		struct plan_task *task = link->data;

		if (!task->on_vm)
			continue;
		plan_vm_uncount_task(task->on_vm, task);
		if (task->charged_team)
			team_return(task->charged_team, &task->size);
		task->charged_team = NULL;
	}
}

static void count_tasks(struct plan_job *job)
{
	for (GList *link = job->tasks.head; link; link = link->next) {
		struct plan_task *task = link->data;

		if (!task->on_vm)
			continue;
		plan_vm_count_task(task->on_vm, task);
		task->charged_team = job->team;
		team_use(job->team, &task->size);
	}
}

void plan_set_job(struct plan *plan, const struct job_record *record,
		  uint64_t now_us)
{
	struct plan_job *job = plan_job(plan, record->job_id);
	bool first = !job->known;

	plan->now_us = now_us;
	if (first || !same_group(&job->record, record)) {
		queue_remove_job(plan, job);
		uncount_tasks(job);
		job->team = plan_team(plan, record->team);
		job->kind = learn_kind(plan->learn, record);
		job->known = true;
		job->record = *record;
		queue_group_unref(plan, job->group);
		job->group = queue_group(plan, job);
		count_tasks(job);
	}
	if (first) {
		if (record->job_class == JOB_SERVICE)
			g_ptr_array_add(plan->services, job);
	}
	queue_remove_job(plan, job);
	job->record = *record;
	queue_add_job(plan, job);
}

static bool holds_vm(uint32_t state)
{
	return state == TASK_PLACED || state == TASK_RUNNING ||
	       state == TASK_STOPPING;
}

static void set_place(struct plan *plan, struct plan_task *task,
		      const struct task_record *record)
{
	struct task_size size = { record->cpu_millis, record->memory_mib,
				  record->accelerators };
	struct plan_vm *vm = NULL;

	if (holds_vm(record->state) && *record->vm)
		vm = plan_vm(plan, record->vm);
	if (vm && vm == task->on_vm &&
	    !memcmp(&size, &task->size, sizeof(size))) {
		if (task->reserved) {
			plan_vm_unreserve(vm, &size);
			plan_vm_commit(vm, &size);
			task->reserved = false;
		}
		return;
	}
	plan_unaccount(plan, task);
	if (vm)
		plan_account(task, vm, &size, false);
}

static void set_running(struct plan_task *task, bool running, uint64_t now_us)
{
	struct plan_kind *kind = task->job->kind;

	if (running && !task->running_us) {
		task->running_us = now_us;
		plan_vm_throttle_task(task->on_vm, task, 1000000);
		if (kind)
			plan_vm_run_begin(task->on_vm, kind->nr, task->task_id,
					  1000000, now_us);
	} else if (!running && task->running_us) {
		if (task->on_vm)
			plan_vm_run_end(task->on_vm, task->task_id, now_us);
	}
}

/*
 * Puts a pending task into plan.waiting if capacity is held for it, else into
 * the queue. Removes a task that isn't pending from both.
 */
static void set_waiting(struct plan *plan, struct plan_task *task)
{
	if (task->state == TASK_PENDING && task->hold_vm) {
		plan_set_list(task, &plan->waiting);
		plan_capacity_freed(plan, task->hold_vm, NULL);
		return;
	}
	if (task->state == TASK_PENDING) {
		plan_set_list(task, NULL);
		queue_add_task(plan, task);
		return;
	}
	queue_remove_task(plan, task);
	if (holds_vm(task->state) && task->list != &plan->waiting &&
	    task->list != &plan->ready)
		return;
	/* The task ended, or was placed without using its capacity hold. */
	plan_set_list(task, NULL);
	plan_unhold(plan, task);
}

/*
 * Learns from an eviction whether checkpoints of the task's kind preserve
 * progress, and records whether a new run starts without a checkpoint.
 */
static void learn_from_change(struct plan_task *task,
			      const struct task_record *record)
{
	bool evicted = task->state == TASK_STOPPING &&
		       record->state == TASK_PENDING &&
		       record->nr_evictions > task->nr_evictions;

	if (evicted && task->job->known &&
	    task->progress_ppm >= PLAN_CHECKPOINT_PPM)
		task->job->kind->no_checkpoint = !*record->checkpoint;
	if (task->state == TASK_PENDING && record->state != TASK_PENDING)
		task->whole_run = !*record->checkpoint;
}

void plan_set_task(struct plan *plan, const struct task_record *record,
		   uint64_t now_us)
{
	struct plan_task *task =
		plan_task(plan, record->task_id, record->job_id);
	bool running = record->state == TASK_RUNNING ||
		       record->state == TASK_STOPPING;

	plan->now_us = now_us;
	learn_from_change(task, record);
	task->outstanding = 0;
	if (!running)
		set_running(task, false, now_us);
	if (task->state == TASK_PENDING && record->state != TASK_PENDING)
		task->placed_us = now_us;
	if (record->state == TASK_PENDING && task->state != TASK_PENDING) {
		task->pending_us = now_us;
		task->running_us = 0;
		task->drain_since_us = 0;
		task->nr_slow = 0;
	}
	task->state = record->state;
	task->progress_ppm = record->progress_ppm;
	task->nr_failures = record->nr_failures;
	task->nr_evictions = record->nr_evictions;
	task->has_checkpoint = *record->checkpoint != '\0';
	set_place(plan, task, record);
	if (running && task->on_vm)
		set_running(task, true, now_us);
	if (record->state != TASK_PENDING && record->state != TASK_PLACED &&
	    record->state != TASK_STOPPING)
		move_ended(task);
	set_waiting(plan, task);
	move_drain_task(plan, task);
}

static void drop_task(struct plan *plan, struct plan_task *task)
{
	queue_remove_task(plan, task);
	plan_set_list(task, NULL);
	set_running(task, false, plan->now_us);
	move_ended(task);
	plan_unhold(plan, task);
	plan_unaccount(plan, task);
	g_queue_unlink(&task->job->tasks, &task->job_link);
	g_hash_table_remove(plan->tasks, &task->task_id);
}

void plan_drop_job(struct plan *plan, uint64_t job_id)
{
	struct plan_job *job = g_hash_table_lookup(plan->jobs, &job_id);

	if (!job)
		return;
	while (job->tasks.head)
		drop_task(plan, job->tasks.head->data);
	queue_remove_job(plan, job);
	queue_group_unref(plan, job->group);
	g_queue_remove(&plan->failing_jobs, job);
	g_ptr_array_remove(plan->services, job);
	g_hash_table_remove(plan->jobs, &job_id);
}

/*
 * Counts a failure of the task's run for its job. Runs that fail at the same
 * time, as all those on a failing VM do, are one failure: a run counts only if
 * it was placed after the last one that counts had failed.
 */
static void count_failure(struct plan_job *job, const struct plan_task *task,
			  uint64_t now_us)
{
	if (job->nr_failures && task->placed_us < job->failed_us)
		return;
	job->nr_failures++;
	job->failed_us = now_us;
}

void plan_task_ended(struct plan *plan, uint64_t task_id, const char *vm_name,
		     bool failed, uint64_t now_us)
{
	struct plan_task *task = plan_find_task(plan, task_id);
	struct plan_vm *vm = plan_vm(plan, vm_name);
	struct plan_job *job;
	bool elsewhere;
	bool at_limit;

	plan->now_us = now_us;
	if (!task || !task->job->known)
		return;
	job = task->job;
	if (!failed) {
		if (task->running_us && task->whole_run)
			learn_run_time(job->kind,
				       (now_us - task->running_us) / 1000);
		job->failed.nr = 0;
		job->nr_failures = 0;
		quarantine_succeeded(vm);
		return;
	}
	count_failure(job, task, now_us);
	elsewhere = job->failed.nr > failed_vms_contains(&job->failed, vm);
	at_limit = learn_failure(job->kind, task->memory_used_mib, &task->size);
	if (!elsewhere && !at_limit)
		quarantine_failed(plan, vm, job);
	for (uint32_t i = 0; elsewhere && i < job->failed.nr; i++)
		quarantine_withdraw(job->failed.vms[i], job);
	failed_vms_add(&task->failed, vm);
	if (failed_vms_add(&job->failed, vm) >= JOB_MAX_FAILED_VMS ||
	    task->failed.nr >= JOB_MAX_FAILED_VMS ||
	    job->nr_failures >= JOB_MAX_FAILURES)
		plan_fail_job(plan, job, RESULT_JOB_FAILED);
}

/*
 * Returns true if the planner learns from the sample. It ignores samples of an
 * earlier run and, for batch tasks of a job kind with many samples, more than
 * one sample of a task in PLAN_KNOWN_SAMPLE_MS.
 */
static bool sample_counts(const struct plan_task *task,
			  const struct plan_vm *vm, uint64_t sample_us)
{
	uint64_t seen_us = MAX(task->sample_us, task->running_us);

	if (!task->job->known || task->on_vm != vm || !task->running_us)
		return false;
	if (plan_is_batch(task->job) &&
	    task->job->kind->nr_samples >= PLAN_KNOWN_SAMPLES &&
	    sample_us < task->sample_us + PLAN_KNOWN_SAMPLE_MS * 1000ull)
		return false;
	return sample_us > seen_us;
}

void plan_usage(struct plan *plan, const char *vm_name, uint32_t nr_tasks,
		const struct platform_task *samples, uint64_t now_us)
{
	struct plan_vm *vm = plan_vm(plan, vm_name);

	plan->now_us = now_us;
	/* The recorded lag decays once samples arrive sooner again. */
	vm->lag_us -= vm->lag_us / 16;
	for (uint32_t i = 0; i < nr_tasks; i++) {
		const struct platform_task *sample = &samples[i];
		struct plan_task *task = plan_find_task(plan, sample->task_id);
		uint64_t sample_us = now_us - sample->age_ms * 1000ull;

		vm->lag_us = MAX(vm->lag_us, sample->age_ms * 1000ull);
		if (!task || !sample_counts(task, vm, sample_us))
			continue;
		learn_sample(task->job->kind, sample, &task->size,
			     task->throttle_ppm, !task->sample_us);
		interference_sample(plan, vm, task, sample, sample_us);
		task->sample_us = sample_us;
		task->memory_used_mib = sample->memory_used_mib;
		task->progress_ppm = sample->progress_ppm;
	}
	interference_relax(plan, vm);
}

enum result plan_check_job(const struct plan *plan,
			   const struct job_record *job)
{
	struct task_size size = { job->cpu_millis, job->memory_mib,
				  job->accelerators };
	const struct team *team = g_hash_table_lookup(plan->teams, job->team);

	if (plan->largest.cpu_millis && !decide_ever_fits(plan, &size))
		return RESULT_NEVER_FITS;
	if (team && !team_ever_allows(team, &size))
		return RESULT_QUOTA;
	return RESULT_OK;
}
