#include "state_job.h"

#include <string.h>

#include "schema.h"
#include "state.h"

static struct state_job *state_job_insert(struct state *state,
					  const struct job_record *record)
{
	struct state_job *job = g_new0(struct state_job, 1);

	job->record = *record;
	job->tasks = g_tree_new_full(state_compare_ids, NULL, NULL, NULL);
	g_tree_replace(state->jobs, &job->record.job_id, job);
	if (*job->record.key)
		g_hash_table_replace(state->job_keys, job->record.key, job);
	return job;
}

static gboolean state_job_append(gpointer key, gpointer value, gpointer data)
{
	g_ptr_array_add(data, value);
	return FALSE;
}

static GPtrArray *state_job_tasks(const struct state_job *job)
{
	GPtrArray *tasks = g_ptr_array_new();

	g_tree_foreach(job->tasks, state_job_append, tasks);
	return tasks;
}

/* Returns true if two records with the same key describe the same job. */
static bool state_job_same(const struct job_record *a,
			   const struct job_record *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->team, b->team) &&
	       !strcmp(a->kind, b->kind) && !strcmp(a->payload, b->payload) &&
	       a->job_class == b->job_class && a->priority == b->priority &&
	       a->nr_wanted == b->nr_wanted && a->cpu_millis == b->cpu_millis &&
	       a->memory_mib == b->memory_mib &&
	       a->accelerators == b->accelerators &&
	       a->declared_run_ms == b->declared_run_ms;
}

static struct state_job *state_job_create(struct state *state,
					  const struct job_record *record)
{
	struct state_job *job = state_job_insert(state, record);

	state_job_changed(state, job);
	for (uint32_t i = 0; i < job->record.nr_wanted; i++)
		state_task_add(state, job);
	return job;
}

static void state_job_end(struct state *state, struct state_job *job,
			  uint32_t job_state, uint32_t result)
{
	GPtrArray *tasks = state_job_tasks(job);

	job->record.state = job_state;
	job->record.result = result;
	state_job_changed(state, job);
	for (uint32_t i = 0; i < tasks->len; i++)
		state_task_cancel(state, g_ptr_array_index(tasks, i));
	g_ptr_array_unref(tasks);
	state_job_finish_if_done(state, job);
}

static void state_job_drop(struct state *state, struct state_job *job)
{
	GPtrArray *tasks = state_job_tasks(job);
	uint64_t job_id = job->record.job_id;

	for (uint32_t i = 0; i < tasks->len; i++)
		state_task_drop(state, g_ptr_array_index(tasks, i));
	g_ptr_array_unref(tasks);
	if (g_hash_table_lookup(state->job_keys, job->record.key) == job)
		g_hash_table_remove(state->job_keys, job->record.key);
	g_tree_remove(state->jobs, &job_id);
	state_job_dropped(state, job_id);
}

struct state_job *state_job_find(const struct state *state, uint64_t job_id)
{
	return g_tree_lookup(state->jobs, &job_id);
}

void state_job_free(void *data)
{
	struct state_job *job = data;

	g_tree_unref(job->tasks);
	g_free(job);
}

uint32_t state_job_live_tasks(const struct state_job *job)
{
	return job->nr_in_state[TASK_PENDING] + job->nr_in_state[TASK_PLACED] +
	       job->nr_in_state[TASK_RUNNING] + job->nr_in_state[TASK_STOPPING];
}

enum result state_job_check(const struct job_record *record,
			    const char **message)
{
	if (!*record->name) {
		*message = "the job's name is missing";
		return RESULT_MALFORMED;
	}
	if (record->job_class != JOB_BATCH && record->job_class != JOB_URGENT) {
		*message = "the class must be batch or urgent";
		return RESULT_OUT_OF_RANGE;
	}
	if (g_str_has_prefix(record->key, JOB_SERVICE_KEY)) {
		*message = "the key's prefix belongs to services";
		return RESULT_OUT_OF_RANGE;
	}
	if (!record->nr_wanted || record->nr_wanted > JOB_MAX_TASKS) {
		*message = "the number of tasks is out of range";
		return RESULT_OUT_OF_RANGE;
	}
	if (!record->cpu_millis || !record->memory_mib) {
		*message = "a task needs processors and memory";
		return RESULT_OUT_OF_RANGE;
	}
	return RESULT_OK;
}

struct state_outcome state_job_submit(struct state *state, const void *body)
{
	const struct job_record *submitted = body;
	struct state_outcome outcome = { 0 };
	struct job_record record = *submitted;
	struct state_job *job = NULL;

	state_set_clock(state, submitted->submitted_ms);
	outcome.result = state_job_check(submitted, &outcome.message);
	if (outcome.result)
		return outcome;
	if (*record.key)
		job = g_hash_table_lookup(state->job_keys, record.key);
	if (job) {
		outcome.id = job->record.job_id;
		if (!state_job_same(&job->record, &record)) {
			outcome.result = RESULT_CONFLICT;
			outcome.message = "the key belongs to another job";
		}
		return outcome;
	}
	/* A team that the bundle in force doesn't list would have no quota. */
	if (*record.team &&
	    (!state->bundles.in_force ||
	     !state_bundle_has_team(state->bundles.in_force, record.team))) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		outcome.message = "no such team in the bundle in force";
		return outcome;
	}
	record.job_id = ++state->counters.next_job_id;
	record.state = JOB_ACTIVE;
	record.result = RESULT_OK;
	record.finished_ms = 0;
	outcome.id = record.job_id;
	state_job_create(state, &record);
	return outcome;
}

struct state_outcome state_job_cancel(struct state *state, const void *body)
{
	const struct cmd_job_cancel *cancel = body;
	struct state_outcome outcome = { 0 };
	bool failed = cancel->result && cancel->result != RESULT_CANCELLED;
	uint32_t nr_found = 0;

	state_set_clock(state, cancel->now_ms);
	for (uint32_t i = 0; i < cancel->nr_job_ids; i++) {
		struct state_job *job =
			state_job_find(state, cancel->job_ids[i]);

		/* Only a bundle can end the job of a service. */
		if (!job || job->record.job_class == JOB_SERVICE)
			continue;
		nr_found++;
		if (job->record.state == JOB_ACTIVE)
			state_job_end(
				state, job, failed ? JOB_FAILED : JOB_CANCELLED,
				failed ? cancel->result : RESULT_CANCELLED);
	}
	if (!nr_found && cancel->nr_job_ids)
		outcome.result = RESULT_UNKNOWN_OBJECT;
	return outcome;
}

static gboolean state_job_append_expired(gpointer key, gpointer value,
					 gpointer data)
{
	GPtrArray *jobs = data;
	struct state_job *job = value;
	/*
	 * The first item is the time limit; the other items are expired jobs.
	 */
	const uint64_t *before_ms = g_ptr_array_index(jobs, 0);

	if (job->record.finished_ms && job->record.finished_ms < *before_ms)
		g_ptr_array_add(jobs, job);
	return FALSE;
}

struct state_outcome state_job_expire(struct state *state, const void *body)
{
	const struct cmd_expire *expire = body;
	struct state_outcome outcome = { 0 };
	GPtrArray *jobs = g_ptr_array_new();

	g_ptr_array_add(jobs, (void *)&expire->jobs_before_ms);
	g_tree_foreach(state->jobs, state_job_append_expired, jobs);
	for (uint32_t i = 1; i < jobs->len; i++)
		state_job_drop(state, g_ptr_array_index(jobs, i));
	g_ptr_array_unref(jobs);
	claim_expire(state, expire->claims_before_ms);
	return outcome;
}

static void state_job_shrink(struct state *state, struct state_job *job)
{
	GPtrArray *tasks = state_job_tasks(job);
	uint32_t surplus = state_job_live_tasks(job);
	struct state_task *task;

	surplus -= MIN(surplus, job->record.nr_wanted);
	/* Cancels pending replicas first, then the newest ones. */
	for (uint32_t i = tasks->len; i-- > 0 && surplus;) {
		task = g_ptr_array_index(tasks, i);
		if (task->record.state != TASK_PENDING)
			continue;
		surplus--;
		state_task_cancel(state, task);
		g_ptr_array_index(tasks, i) = NULL;
	}
	surplus -= MIN(surplus, job->nr_in_state[TASK_STOPPING]);
	for (uint32_t i = tasks->len; i-- > 0 && surplus;) {
		task = g_ptr_array_index(tasks, i);
		if (!task || (task->record.state != TASK_PLACED &&
			      task->record.state != TASK_RUNNING))
			continue;
		surplus--;
		state_task_cancel(state, task);
	}
	g_ptr_array_unref(tasks);
}

static void state_job_apply_service(struct state *state,
				    const struct bundle_service *service)
{
	struct job_record record = { 0 };
	char key[KEY_BYTES];
	struct state_job *job;

	g_snprintf(key, sizeof(key), "%s%s", JOB_SERVICE_KEY, service->name);
	job = g_hash_table_lookup(state->job_keys, key);
	if (job && job->record.state == JOB_ACTIVE)
		record = job->record;
	else
		job = NULL;
	TEXT_SET(record.key, key);
	TEXT_SET(record.name, service->name);
	TEXT_SET(record.team, service->team);
	TEXT_SET(record.kind, service->name);
	TEXT_SET(record.payload, service->payload);
	record.job_class = JOB_SERVICE;
	record.nr_wanted = service->replicas;
	record.cpu_millis = service->cpu_millis;
	record.memory_mib = service->memory_mib;
	record.accelerators = service->accelerators;
	record.state = JOB_ACTIVE;
	if (!job) {
		if (!service->replicas)
			return;
		record.job_id = ++state->counters.next_job_id;
		record.submitted_ms = state->counters.clock_ms;
		state_job_create(state, &record);
		return;
	}
	job->record = record;
	state_job_changed(state, job);
	while (state_job_live_tasks(job) < job->record.nr_wanted)
		state_task_add(state, job);
	state_job_shrink(state, job);
}

static bool state_job_in_bundle(const struct state_job *job,
				const struct bundle *bundle)
{
	for (uint32_t i = 0; i < bundle->nr_services; i++)
		if (!strcmp(bundle->services[i].name, job->record.name))
			return true;
	return false;
}

void state_job_apply_bundle(struct state *state, const struct bundle *bundle)
{
	GPtrArray *jobs = g_ptr_array_new();

	g_tree_foreach(state->jobs, state_job_append, jobs);
	for (uint32_t i = 0; i < jobs->len; i++) {
		struct state_job *job = g_ptr_array_index(jobs, i);

		if (job->record.job_class == JOB_SERVICE &&
		    job->record.state == JOB_ACTIVE &&
		    !state_job_in_bundle(job, bundle))
			state_job_end(state, job, JOB_CANCELLED,
				      RESULT_CANCELLED);
	}
	g_ptr_array_unref(jobs);
	for (uint32_t i = 0; i < bundle->nr_services; i++)
		state_job_apply_service(state, &bundle->services[i]);
}

void state_job_finish_if_done(struct state *state, struct state_job *job)
{
	if (state_job_live_tasks(job) || job->record.finished_ms)
		return;
	if (job->record.state == JOB_ACTIVE) {
		if (job->record.job_class == JOB_SERVICE)
			return;
		job->record.state = JOB_FINISHED;
	}
	/* 0 would mean that some tasks haven't ended. */
	job->record.finished_ms = MAX(state->counters.clock_ms, 1);
	state_job_changed(state, job);
}

void state_job_restore(struct state *state, const struct job_record *record)
{
	state_job_insert(state, record);
}
