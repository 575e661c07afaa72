#include "plan_model.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plan.h"
#include "schema.h"

#define TICK_US 100000ull
#define REPORT_TICKS 5
#define MAX_VMS 16
#define MAX_LAG_REPORTS 16
#define SERVICE_KIND 0
#define START_TICKS 2 /* from the decision until the task runs */
#define STOP_TICKS 5 /* for a checkpoint and a stop */

/*
 * Kinds of tasks: some declare too much or too little, some slow their
 * neighbours, some are large, and some fail. With sizes declared nearly right,
 * the policy first-fit uses 72 % of the processors, so that another policy can
 * hardly do more than 1.3 times its work. Some simulations therefore use the
 * member cpu, others far_cpu.
 */
const struct kind kinds[NR_KINDS] = {
	{ "service", 8000, 16384, 5000, 5000, 12000, 0, 0, 0, false, false },
	{ "net-scan", 8000, 8192, 2000, 2000, 3072, 40, 4000, 10, false,
	  false },
	{ "plan-fit", 4000, 16384, 3000, 1500, 6144, 60, 8000, 10, false,
	  false },
	{ "stock", 2000, 4096, 500, 500, 1024, 30, 2000, 12, false, false },
	{ "thumbs", 1000, 2048, 1000, 1800, 1536, 15, 5000, 12, false, false },
	{ "mesh", 4000, 8192, 6000, 6000, 7168, 60, 120000, 6, false, false },
	{ "index", 2000, 2048, 2000, 1000, 2800, 45, 6000, 8, false, false },
	{ "render", 16000, 32768, 12000, 7000, 20480, 90, 250000, 3, false,
	  false },
	{ "compress", 4000, 4096, 4000, 4000, 3072, 30, 90000, 8, false,
	  false },
	{ "big-plan", 40000, 122880, 32000, 20000, 92160, 90, 15000, 1, false,
	  false },
	{ "report", 1000, 1024, 300, 300, 800, 20, 1000, 12, false, false },
	{ "train", 8000, 65536, 8000, 5000, 30720, 100, 40000, 3, true, false },
	{ "crash", 1000, 1024, 500, 500, 500, 5, 1000, 1, false, true },
};

struct job {
	struct job_record record;
	uint32_t kind; /* index in kinds */
	uint64_t arrival_us;
	uint32_t nr_open; /* tasks that have not ended */
};

struct task {
	struct task_record record;
	struct job *job;
	uint64_t wait_ticks; /* until the next change of state */
	uint64_t work_us; /* work done, as run time without neighbours */
	uint64_t saved_us; /* work_us at the last checkpoint */
	uint32_t throttle_ppm; /* usable share of its cores; 1000000: all */
	uint64_t rate_ppm; /* speed; 1000000: as if it ran alone */
	int vm; /* index in model.vms; -1: none */
	uint64_t pending_us; /* when it last became pending */
	uint64_t started_us; /* time of the first start; 0: none yet */
};

struct model_vm {
	struct vm_record record;
	GPtrArray *tasks; /* struct task */
	struct platform_tasks samples[MAX_LAG_REPORTS]; /* ring buffer */
	uint64_t sampled_us[MAX_LAG_REPORTS]; /* times of the samples */
	uint32_t lag_reports; /* age of reported samples, in reports */
	uint32_t lost; /* not used */
};

struct model {
	uint32_t seed;
	bool far; /* tasks use far_cpu instead of cpu */
	const struct profile *profile;
	struct plan *plan;
	uint64_t now_us;
	uint64_t tick;
	struct model_vm vms[MAX_VMS];
	GPtrArray *jobs;
	GPtrArray *arrivals; /* struct job, by time */
	uint32_t next_arrival;
	GHashTable *tasks;
	uint64_t next_task_id;
	GArray *slowdowns; /* of the service's tasks, uint32_t in ppm */
	bool zone_out;
	uint64_t committed_sum; /* millis over all ticks */
	uint64_t used_sum; /* the same for used processors */
	struct outcome out;
};

static uint32_t scaled(const struct model *model, uint32_t value)
{
	return value / model->profile->divisor;
}

/* Returns the cores that a task of the kind actually uses, in millis. */
static uint32_t true_cpu(const struct model *model, uint32_t kind)
{
	return scaled(model,
		      model->far ? kinds[kind].far_cpu : kinds[kind].cpu);
}

/* Returns the slowdown of a task of one kind by a task of another kind. */
static uint64_t pair_ppm(uint32_t victim, uint32_t aggressor)
{
	uint64_t spread = (victim * 7 + aggressor * 5) % 5 + 8; /* 0.8 to 1.2 */

	if (victim == aggressor && victim == SERVICE_KIND)
		return 10000;
	if (victim == SERVICE_KIND)
		return kinds[aggressor].noise;
	/* Batch tasks are slowed by a tenth as much as a service. */
	return kinds[aggressor].noise * spread / 100;
}

static void set_task(struct model *model, struct task *task, uint32_t state)
{
	task->record.state = state;
	if (state == TASK_PENDING)
		task->pending_us = model->now_us;
	plan_set_task(model->plan, &task->record, model->now_us);
}

static void leave_vm(struct model *model, struct task *task)
{
	struct model_vm *vm = &model->vms[task->vm];

	g_ptr_array_remove(vm->tasks, task);
	task->vm = -1;
	task->record.vm[0] = '\0';
}

static void end_job_task(struct model *model, struct task *task, uint32_t state)
{
	struct job *job = task->job;

	set_task(model, task, state);
	if (--job->nr_open == 0 && job->record.state == JOB_ACTIVE) {
		job->record.state = JOB_FINISHED;
		plan_set_job(model->plan, &job->record, model->now_us);
	}
}

static void fail_job(struct model *model, uint64_t job_id)
{
	struct job *job = g_ptr_array_index(model->jobs, job_id - 1);
	GHashTableIter iter;
	void *value;

	model->out.failed_jobs++;
	job->record.state = JOB_FAILED;
	plan_set_job(model->plan, &job->record, model->now_us);
	g_hash_table_iter_init(&iter, model->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct task *task = value;

		if (task->job != job || task->record.state >= TASK_DONE)
			continue;
		if (task->vm >= 0)
			leave_vm(model, task);
		set_task(model, task, TASK_CANCELLED);
	}
}

static void check_ledger(const struct model_vm *vm)
{
	uint64_t cpu = 0;
	uint64_t memory = 0;

	g_assert(vm->tasks);
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		const struct task *task = g_ptr_array_index(vm->tasks, i);

		cpu += task->record.cpu_millis;
		memory += task->record.memory_mib;
	}
	if (cpu > vm->record.cpu_millis || memory > vm->record.memory_mib) {
		printf("error=overcommitted vm=%s\n", vm->record.name);
		exit(EXIT_FAILURE);
	}
}

static int find_vm(const struct model *model, const char *name)
{
	for (uint32_t i = 0; i < model->profile->nr_vms; i++) {
		if (!strcmp(model->vms[i].record.name, name))
			return (int)i;
	}
	return -1;
}

static bool vm_is_out(const struct model *model, const struct model_vm *vm)
{
	return model->zone_out && !strcmp(vm->record.zone, "zone-0");
}

static void carry_out(struct model *model, const struct plan_decision *decision)
{
	struct task *task =
		g_hash_table_lookup(model->tasks, &decision->task_id);
	struct model_vm *vm;

	switch (decision->action) {
	case PLAN_PLACE:
		task->vm = find_vm(model, decision->vm);
		vm = &model->vms[task->vm];
		TEXT_SET(task->record.vm, decision->vm);
		task->record.epoch++;
		task->record.cpu_millis = decision->cpu_millis;
		task->record.memory_mib = decision->memory_mib;
		task->throttle_ppm = PPM;
		task->wait_ticks = START_TICKS;
		g_ptr_array_add(vm->tasks, task);
		check_ledger(vm);
		model->out.late_starts += vm_is_out(model, vm);
		set_task(model, task, TASK_PLACED);
		break;
	case PLAN_EVICT:
		model->out.evictions += task->job->kind != SERVICE_KIND;
		task->wait_ticks = STOP_TICKS;
		set_task(model, task, TASK_STOPPING);
		break;
	case PLAN_THROTTLE:
		model->out.throttles += decision->cpu_ppm < PPM;
		task->throttle_ppm = decision->cpu_ppm;
		break;
	case PLAN_FAIL_JOB:
		fail_job(model, decision->job_id);
		break;
	case PLAN_QUARANTINE:
		vm = &model->vms[find_vm(model, decision->vm)];
		vm->record.quarantined = decision->quarantined;
		plan_set_vm(model->plan, &vm->record, model->now_us);
		break;
	}
}

static void finish_task(struct model *model, struct task *task)
{
	const struct kind *kind = &kinds[task->job->kind];
	const char *vm = model->vms[task->vm].record.name;

	plan_task_ended(model->plan, task->record.task_id, vm, false,
			model->now_us);
	leave_vm(model, task);
	model->out.finished++;
	model->out.work_core_s +=
		(uint64_t)kind->run_s * true_cpu(model, task->job->kind) / 100;
	end_job_task(model, task, TASK_DONE);
}

static void fail_task(struct model *model, struct task *task)
{
	const char *vm = model->vms[task->vm].record.name;

	model->out.failures++;
	plan_task_ended(model->plan, task->record.task_id, vm, true,
			model->now_us);
	leave_vm(model, task);
	task->work_us = task->saved_us;
	task->record.nr_failures++;
	set_task(model, task, TASK_PENDING);
}

static void stop_task(struct model *model, struct task *task)
{
	const struct kind *kind = &kinds[task->job->kind];

	leave_vm(model, task);
	if (kind->no_checkpoint)
		task->work_us = 0;
	else
		TEXT_SET(task->record.checkpoint, "saved");
	task->saved_us = task->work_us;
	task->record.nr_evictions++;
	set_task(model, task, TASK_PENDING);
}

static uint64_t progress_ppm(const struct task *task)
{
	const struct kind *kind = &kinds[task->job->kind];

	return kind->run_s ? MIN(task->work_us / kind->run_s, PPM) : 0;
}

static uint32_t memory_used(const struct model *model, const struct task *task)
{
	uint32_t whole = scaled(model, kinds[task->job->kind].memory);
	uint64_t share = MIN(PPM * 3 / 10 + progress_ppm(task), PPM);

	return (uint32_t)(whole * share / PPM);
}

/* Returns the share of its demand that the task's CPU limit permits. */
static uint64_t cpu_limit_ppm(const struct model *model,
			      const struct task *task)
{
	uint64_t demand = true_cpu(model, task->job->kind);
	uint64_t limit =
		(uint64_t)task->record.cpu_millis * task->throttle_ppm / PPM;

	return MIN(limit * PPM / demand, PPM);
}

static bool runs(const struct task *task)
{
	return task->record.state == TASK_RUNNING;
}

static void set_rates(struct model *model, struct model_vm *vm)
{
	uint64_t shares[NR_KINDS] = { 0 };

	g_assert(vm->tasks);
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		const struct task *task = g_ptr_array_index(vm->tasks, i);

		if (runs(task))
			shares[task->job->kind] += cpu_limit_ppm(model, task);
	}
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		struct task *task = g_ptr_array_index(vm->tasks, i);
		uint64_t slowdown = 0;
		uint64_t limit;
		uint32_t ppm;

		model->committed_sum += task->record.cpu_millis;
		if (!runs(task))
			continue;
		limit = cpu_limit_ppm(model, task);
		model->used_sum +=
			true_cpu(model, task->job->kind) * limit / PPM;
		for (uint32_t kind = 0; kind < NR_KINDS; kind++) {
			uint64_t share = shares[kind];

			if (kind == task->job->kind)
				share -= limit;
			slowdown +=
				pair_ppm(task->job->kind, kind) * share / PPM;
		}
		task->rate_ppm = limit * PPM / (PPM + slowdown);
		ppm = (uint32_t)(PPM * PPM / task->rate_ppm - PPM);
		if (task->job->kind == SERVICE_KIND)
			g_array_append_val(model->slowdowns, ppm);
	}
}

static void run_task(struct model *model, struct task *task)
{
	const struct kind *kind = &kinds[task->job->kind];

	switch (task->record.state) {
	case TASK_PLACED:
		if (--task->wait_ticks)
			return;
		if (!task->started_us)
			task->started_us = model->now_us;
		set_task(model, task, TASK_RUNNING);
		return;
	case TASK_STOPPING:
		if (!--task->wait_ticks)
			stop_task(model, task);
		return;
	default:
		break;
	}
	task->work_us += TICK_US * task->rate_ppm / PPM;
	if (kind->run_s && task->work_us >= kind->run_s * PPM) {
		if (kind->fails)
			fail_task(model, task);
		else
			finish_task(model, task);
	} else if (memory_used(model, task) > task->record.memory_mib) {
		fail_task(model, task);
	}
}

static void sample_worker(struct model *model, struct model_vm *vm)
{
	uint32_t slot =
		(uint32_t)(model->tick / REPORT_TICKS % MAX_LAG_REPORTS);
	struct platform_tasks *samples = &vm->samples[slot];

	g_assert(vm->tasks);
	g_free(samples->tasks);
	samples->tasks = g_new0(struct platform_task, vm->tasks->len);
	samples->nr_tasks = 0;
	vm->sampled_us[slot] = model->now_us;
	for (uint32_t i = 0; i < vm->tasks->len; i++) {
		const struct task *task = g_ptr_array_index(vm->tasks, i);
		struct platform_task *sample;

		if (!runs(task))
			continue;
		sample = &samples->tasks[samples->nr_tasks++];
		sample->task_id = task->record.task_id;
		sample->epoch = task->record.epoch;
		sample->run = TASK_RUN_RUNNING;
		sample->progress_ppm = (uint32_t)progress_ppm(task);
		sample->cpu_used_millis =
			(uint32_t)(true_cpu(model, task->job->kind) *
				   cpu_limit_ppm(model, task) / PPM);
		sample->memory_used_mib = memory_used(model, task);
		sample->rate_ppm = (uint32_t)task->rate_ppm;
	}
}

/* Passes the samples from lag_reports reports ago to the planner. */
static void report_vm(struct model *model, struct model_vm *vm)
{
	uint64_t report = model->tick / REPORT_TICKS;
	struct platform_tasks *samples;
	uint32_t slot;

	if (report < vm->lag_reports)
		return;
	slot = (uint32_t)((report - vm->lag_reports) % MAX_LAG_REPORTS);
	samples = &vm->samples[slot];
	if (!samples->tasks)
		return;
	for (uint32_t i = 0; i < samples->nr_tasks; i++)
		samples->tasks[i].age_ms =
			(uint32_t)((model->now_us - vm->sampled_us[slot]) /
				   1000);
	plan_usage(model->plan, vm->record.name, samples->nr_tasks,
		   samples->tasks, model->now_us);
}

static void submit(struct model *model, struct job *job)
{
	g_ptr_array_add(model->jobs, job);
	job->record.job_id = model->jobs->len;
	job->record.submitted_ms = model->now_us / 1000;
	job->nr_open = job->record.nr_wanted;
	plan_set_job(model->plan, &job->record, model->now_us);
	for (uint32_t i = 0; i < job->record.nr_wanted; i++) {
		struct task *task = g_new0(struct task, 1);

		task->job = job;
		task->vm = -1;
		task->record.task_id = ++model->next_task_id;
		task->record.job_id = job->record.job_id;
		g_hash_table_insert(model->tasks, &task->record.task_id, task);
		set_task(model, task, TASK_PENDING);
	}
}

static struct job *make_job(const struct model *model, uint32_t kind,
			    uint32_t job_class, uint32_t nr_tasks)
{
	struct job *job = g_new0(struct job, 1);

	job->kind = kind;
	TEXT_SET(job->record.kind, kinds[kind].name);
	TEXT_SET(job->record.team, "bench");
	job->record.state = JOB_ACTIVE;
	job->record.job_class = job_class;
	job->record.nr_wanted = nr_tasks;
	job->record.cpu_millis = scaled(model, kinds[kind].declared_cpu);
	job->record.memory_mib = scaled(model, kinds[kind].declared_memory);
	job->record.declared_run_ms = 60000;
	return job;
}

static uint32_t draw_kind(GRand *rand, bool wave)
{
	uint32_t total = 0;
	uint32_t drawn;
	uint32_t kind = 1;

	for (uint32_t pass = 0; pass < 2; pass++) {
		drawn = pass ? (uint32_t)g_rand_int_range(rand, 0,
							  (gint32)total) :
			       UINT32_MAX;
		for (kind = 1; kind < NR_KINDS; kind++) {
			uint32_t weight = kinds[kind].weight;

			if (wave && kinds[kind].noise >= 90000)
				weight *= 3;
			if (!pass)
				total += weight;
			else if (drawn < weight)
				return kind;
			else
				drawn -= weight;
		}
	}
	return kind - 1;
}

/*
 * Draws the arrivals of batch jobs at random, the same for every policy: 1.5
 * times the work that the site can do, with waves of jobs that slow services.
 */
static void make_arrivals(struct model *model)
{
	GRand *rand = g_rand_new_with_seed(model->seed);
	uint64_t capacity = (uint64_t)model->profile->nr_vms *
			    model->profile->cpu_millis * (RUN_US / PPM);
	uint64_t offered = 0;
	uint64_t at_us = 0;

	while (offered < capacity * 3 / 2) {
		uint32_t kind = draw_kind(rand, at_us % (240 * PPM) < 60 * PPM);
		uint32_t nr = (uint32_t)g_rand_int_range(rand, 1, 9);
		struct job *job = make_job(model, kind, JOB_BATCH, nr);

		job->arrival_us = at_us;
		offered += (uint64_t)nr * true_cpu(model, kind) *
			   kinds[kind].run_s;
		at_us = MIN(offered * 2 / 3 * RUN_US / capacity, RUN_US);
		g_ptr_array_add(model->arrivals, job);
	}
	g_rand_free(rand);
}

static void make_urgent(struct model *model)
{
	/* Kinds thumbs and plan-fit, submitted as urgent jobs. */
	uint32_t kind = model->tick % 400 ? 4 : 2;

	if (model->tick % 200 == 100)
		submit(model, make_job(model, kind, JOB_URGENT, 4));
}

static void model_tick(struct model *model)
{
	struct plan_decision decision;

	while (model->next_arrival < model->arrivals->len) {
		struct job *job =
			g_ptr_array_index(model->arrivals, model->next_arrival);

		if (job->arrival_us > model->now_us)
			break;
		model->next_arrival++;
		submit(model, job);
	}
	make_urgent(model);
	while (plan_next(model->plan, model->now_us, &decision))
		carry_out(model, &decision);
	for (uint32_t i = 0; i < model->profile->nr_vms; i++) {
		struct model_vm *vm = &model->vms[i];

		set_rates(model, vm);
		for (uint32_t j = vm->tasks->len; j > 0; j--)
			run_task(model, g_ptr_array_index(vm->tasks, j - 1));
		if (model->tick % REPORT_TICKS)
			continue;
		sample_worker(model, vm);
		report_vm(model, vm);
	}
	model->tick++;
	model->now_us += TICK_US;
}

static void set_zone_out(struct model *model, bool out)
{
	struct zone_record zone = { .out = out, .version = 1 + out };

	TEXT_SET(zone.name, "zone-0");
	model->zone_out = out;
	plan_set_zone(model->plan, &zone, model->now_us);
}

static void model_start(struct model *model, const struct profile *profile,
			bool far, const char *place, const char *evict,
			uint32_t seed)
{
	struct plan_opts opts = { place, evict, seed };

	memset(model, 0, sizeof(*model));
	model->seed = seed;
	model->profile = profile;
	model->far = far;
	model->plan = plan_new(&opts);
	model->jobs = g_ptr_array_new_with_free_func(g_free);
	model->arrivals = g_ptr_array_new();
	model->tasks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	model->slowdowns = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	model->now_us = 1000 * PPM;
	for (uint32_t i = 0; i < profile->nr_vms; i++) {
		struct model_vm *vm = &model->vms[i];

		g_snprintf(vm->record.name, NAME_BYTES, "vm-%02u", i);
		g_snprintf(vm->record.zone, NAME_BYTES, "zone-%u",
			   i * profile->nr_zones / profile->nr_vms);
		g_snprintf(vm->record.rack, NAME_BYTES, "rack-%u", i / 3);
		vm->record.state = VM_LIVE;
		vm->record.cpu_millis = profile->cpu_millis;
		vm->record.memory_mib = profile->memory_mib;
		vm->tasks = g_ptr_array_new();
		vm->lag_reports = 4 + i % 5; /* 2 to 4 s */
		plan_set_vm(model->plan, &vm->record, model->now_us);
	}
	submit(model, make_job(model, SERVICE_KIND, JOB_SERVICE, 11));
	make_arrivals(model);
	for (uint32_t i = 0; i < model->arrivals->len; i++) {
		struct job *job = g_ptr_array_index(model->arrivals, i);

		job->arrival_us += model->now_us + 5 * PPM;
	}
}

static gint compare_u32(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return (left > right) - (left < right);
}

static void model_end(struct model *model)
{
	struct outcome *out = &model->out;
	GArray *slowdowns = model->slowdowns;
	GHashTableIter iter;
	void *value;

	g_array_sort(slowdowns, compare_u32);
	out->p50_ppm = g_array_index(slowdowns, uint32_t, slowdowns->len / 2);
	out->p99_ppm = g_array_index(slowdowns, uint32_t,
				     (size_t)slowdowns->len / 100 * 99);
	g_hash_table_iter_init(&iter, model->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct task *task = value;
		uint64_t start_us = task->started_us ? task->started_us :
						       model->now_us;
		uint64_t waited_us =
			start_us - task->job->record.submitted_ms * 1000;

		if (task->job->record.job_class == JOB_URGENT) {
			out->urgent_max_ms =
				MAX(out->urgent_max_ms, waited_us / 1000);
			out->urgent_late += waited_us > 2800000;
		}
		if (!strcmp(kinds[task->job->kind].name, "big-plan"))
			out->big_max_wait_s =
				MAX(out->big_max_wait_s, waited_us / PPM);
	}
	out->committed_percent = model->committed_sum * 100 /
				 ((uint64_t)model->profile->nr_vms *
				  model->profile->cpu_millis * model->tick);
	out->used_percent = model->used_sum * 100 /
			    ((uint64_t)model->profile->nr_vms *
			     model->profile->cpu_millis * model->tick);
	out->service_down_s = (RUN_US / TICK_US * 11 - slowdowns->len) / 10;
	for (uint32_t i = 0; i < model->profile->nr_vms; i++) {
		g_ptr_array_free(model->vms[i].tasks, TRUE);
		for (uint32_t j = 0; j < MAX_LAG_REPORTS; j++)
			g_free(model->vms[i].samples[j].tasks);
	}
	for (uint32_t i = model->next_arrival; i < model->arrivals->len; i++)
		g_free(g_ptr_array_index(model->arrivals, i));
	g_array_free(slowdowns, TRUE);
	g_hash_table_unref(model->tasks);
	g_ptr_array_free(model->arrivals, TRUE);
	g_ptr_array_free(model->jobs, TRUE);
	plan_free(model->plan);
}

struct outcome run_model(const struct profile *profile, bool far,
			 const char *place, const char *evict, bool with_zone,
			 uint32_t seed)
{
	struct model model;
	uint64_t end_us;
	uint64_t start_us;

	model_start(&model, profile, far, place, evict, seed);
	start_us = model.now_us;
	end_us = start_us + RUN_US;
	while (model.now_us < end_us) {
		if (with_zone && model.now_us == start_us + RUN_US / 3)
			set_zone_out(&model, true);
		if (with_zone && model.now_us == start_us + RUN_US * 2 / 3)
			set_zone_out(&model, false);
		model_tick(&model);
	}
	model_end(&model);
	printf("profile=%s declared=%s policy=%s evict=%s zone_leaves=%d finished=%" G_GUINT64_FORMAT
	       " work_core_ds=%" G_GUINT64_FORMAT
	       " failed_jobs=%" G_GUINT64_FORMAT " failures=%" G_GUINT64_FORMAT
	       " evictions=%" G_GUINT64_FORMAT " throttles=%" G_GUINT64_FORMAT
	       " slowdown_p50_ppm=%" G_GUINT64_FORMAT
	       " slowdown_p99_ppm=%" G_GUINT64_FORMAT
	       " urgent_max_ms=%" G_GUINT64_FORMAT
	       " urgent_late=%" G_GUINT64_FORMAT
	       " big_max_wait_s=%" G_GUINT64_FORMAT
	       " service_down_s=%" G_GUINT64_FORMAT
	       " committed_percent=%" G_GUINT64_FORMAT
	       " used_percent=%" G_GUINT64_FORMAT
	       " starts_in_zone_out=%" G_GUINT64_FORMAT "\n",
	       profile->name, far ? "far" : "near", place, evict, with_zone,
	       model.out.finished, model.out.work_core_s, model.out.failed_jobs,
	       model.out.failures, model.out.evictions, model.out.throttles,
	       model.out.p50_ppm, model.out.p99_ppm, model.out.urgent_max_ms,
	       model.out.urgent_late, model.out.big_max_wait_s,
	       model.out.service_down_s, model.out.committed_percent,
	       model.out.used_percent, model.out.late_starts);
	return model.out;
}
