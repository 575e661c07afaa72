/**
 * @file bench_plan.c
 * Compares the planner with baseline policies in a simulation in virtual time,
 * measures the real time of its decisions, and prints key=value lines.
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "plan.h"
#include "plan_model.h"
#include "schema.h"

static uint32_t seed = 20261204; /* the first argument replaces it */

static const struct profile profiles[] = {
	{ "jaldhara", 3, 11, 64000, 256000, 1 },
	{ "dorado", 4, 11, 32000, 128000, 2 },
};

static void print_target(const char *profile, const char *declared,
			 const char *name, uint64_t value, uint64_t target,
			 bool met)
{
	printf("profile=%s declared=%s measure=%s value=%" G_GUINT64_FORMAT
	       " target=%" G_GUINT64_FORMAT " met=%s\n",
	       profile, declared, name, value, target, met ? "yes" : "no");
}

static void compare(const struct profile *profile, bool far)
{
	const char *declared = far ? "far" : "near";
	struct outcome best =
		run_model(profile, far, "default", "least-lost", false, seed);
	struct outcome base =
		run_model(profile, far, "first-fit", "newest", false, seed);
	struct outcome zone =
		run_model(profile, far, "default", "least-lost", true, seed);
	uint64_t out_vms = 0;
	uint64_t allowed;

	g_assert(profile->nr_vms);
	for (uint32_t i = 0; i < profile->nr_vms; i++)
		out_vms += (uint64_t)i * profile->nr_zones < profile->nr_vms;
	/* The zone is out of service for a third of the time. */
	allowed = best.work_core_s * (3ull * profile->nr_vms - out_vms) /
		  (3ull * profile->nr_vms);
	print_target(profile->name, declared, "batch_work_percent_of_first_fit",
		     best.work_core_s * 100 / base.work_core_s, 130,
		     best.work_core_s * 100 >= base.work_core_s * 130);
	print_target(profile->name, declared, "evictions_percent_of_baseline",
		     best.evictions * 100 / MAX(base.evictions, 1), 50,
		     best.evictions * 2 <= base.evictions);
	print_target(profile->name, declared,
		     "slowdown_p99_percent_of_first_fit",
		     best.p99_ppm * 100 / MAX(base.p99_ppm, 1), 50,
		     best.p99_ppm * 2 <= base.p99_ppm);
	print_target(profile->name, declared, "zone_work_percent_of_allowed",
		     zone.work_core_s * 100 / allowed, 90,
		     zone.work_core_s * 100 >= allowed * 90);
	print_target(profile->name, declared, "urgent_max_ms",
		     best.urgent_max_ms, 2800, best.urgent_max_ms <= 2800);
}

static uint64_t real_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000ull + (uint64_t)now.tv_nsec;
}

static gint compare_u64(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}

struct load {
	struct plan *plan;
	GRand *rand;
	uint64_t now_us;
	uint64_t next_id;
	GPtrArray *running; /* struct task_record, owned */
};

static void load_submit(struct load *load)
{
	uint64_t id = ++load->next_id;
	uint32_t kind = (uint32_t)g_rand_int_range(load->rand, 0, NR_KINDS);
	struct job_record job = { .job_id = id, .state = JOB_ACTIVE };
	struct task_record task = { .task_id = id, .job_id = id };

	TEXT_SET(job.kind, kinds[kind].name);
	g_snprintf(job.team, sizeof(job.team), "team-%u",
		   (uint32_t)g_rand_int_range(load->rand, 0, 26));
	job.job_class = kind ? JOB_BATCH : JOB_SERVICE;
	job.nr_wanted = 1;
	job.cpu_millis = kinds[kind].declared_cpu / 4;
	job.memory_mib = kinds[kind].declared_memory / 4;
	job.submitted_ms = load->now_us / 1000;
	task.state = TASK_PENDING;
	plan_set_job(load->plan, &job, load->now_us);
	plan_set_task(load->plan, &task, load->now_us);
}

static void load_run(struct load *load, const struct plan_decision *decision)
{
	struct task_record *task = g_new0(struct task_record, 1);

	task->task_id = decision->task_id;
	task->job_id = decision->job_id;
	task->state = TASK_RUNNING;
	TEXT_SET(task->vm, decision->vm);
	task->cpu_millis = decision->cpu_millis;
	task->memory_mib = decision->memory_mib;
	plan_set_task(load->plan, task, load->now_us);
	g_ptr_array_add(load->running, task);
}

static void load_end_one(struct load *load)
{
	uint32_t i = (uint32_t)g_rand_int_range(load->rand, 0,
						(gint32)load->running->len);
	struct task_record *task =
		g_ptr_array_steal_index_fast(load->running, i);

	task->state = TASK_DONE;
	plan_set_task(load->plan, task, load->now_us);
	plan_drop_job(load->plan, task->job_id);
	g_free(task);
}

static void load_sample_one(struct load *load)
{
	uint32_t i = (uint32_t)g_rand_int_range(load->rand, 0,
						(gint32)load->running->len);
	const struct task_record *task = g_ptr_array_index(load->running, i);
	struct platform_task sample = { .task_id = task->task_id };

	sample.age_ms = 100;
	sample.cpu_used_millis = task->cpu_millis / 2;
	sample.memory_used_mib = task->memory_mib / 2;
	sample.rate_ppm =
		(uint32_t)g_rand_int_range(load->rand, 900000, 1000000);
	plan_usage(load->plan, task->vm, 1, &sample, load->now_us);
}

/*
 * Returns the mean time in ns that plan_usage() takes for a sample, with one
 * report for each VM.
 */
static uint64_t time_usage(struct load *load)
{
	GHashTable *by_vm = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	GHashTableIter iter;
	void *name;
	void *value;
	uint64_t begin_ns;
	uint64_t took_ns = 0;

	for (uint32_t i = 0; i < load->running->len; i++) {
		struct task_record *task = g_ptr_array_index(load->running, i);
		struct platform_task sample = { .task_id = task->task_id };
		GArray *samples = g_hash_table_lookup(by_vm, task->vm);

		if (!samples) {
			samples = g_array_new(FALSE, FALSE, sizeof(sample));
			g_hash_table_insert(by_vm, task->vm, samples);
		}
		sample.age_ms = 10;
		sample.cpu_used_millis = task->cpu_millis / 2;
		sample.memory_used_mib = task->memory_mib / 2;
		sample.rate_ppm = 950000;
		g_array_append_val(samples, sample);
	}
	load->now_us += PPM;
	g_hash_table_iter_init(&iter, by_vm);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const GArray *samples = value;

		begin_ns = real_ns();
		plan_usage(load->plan, name, samples->len,
			   (const struct platform_task *)(void *)samples->data,
			   load->now_us);
		took_ns += real_ns() - begin_ns;
	}
	g_hash_table_unref(by_vm);
	return took_ns / MAX(load->running->len, 1);
}

/* Returns the median time in ns of a placement with 10 tasks on each VM. */
static uint64_t time_decisions(uint32_t nr_vms)
{
	struct plan_opts opts = { NULL, NULL, seed };
	struct load load = { plan_new(&opts), g_rand_new_with_seed(seed),
			     1000 * PPM, 0, g_ptr_array_new() };
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct plan_decision decision;
	uint64_t median;
	uint64_t p99;

	for (uint32_t i = 0; i < nr_vms; i++) {
		struct vm_record vm = { .state = VM_LIVE };

		g_snprintf(vm.name, sizeof(vm.name), "vm-%03u", i);
		g_snprintf(vm.zone, sizeof(vm.zone), "zone-%u", i % 7);
		g_snprintf(vm.rack, sizeof(vm.rack), "rack-%u", i / 20);
		vm.cpu_millis = 64000;
		vm.memory_mib = 256000;
		plan_set_vm(load.plan, &vm, load.now_us);
	}
	for (uint32_t i = 0; i < 20000; i++) {
		uint64_t begin_ns;
		uint64_t took_ns;
		bool decided;

		load.now_us += 1000;
		if (load.running->len >= nr_vms * 10)
			load_end_one(&load);
		load_submit(&load);
		begin_ns = real_ns();
		decided = plan_next(load.plan, load.now_us, &decision);
		took_ns = real_ns() - begin_ns;
		if (decided && decision.action == PLAN_PLACE) {
			load_run(&load, &decision);
			if (load.running->len >= nr_vms * 10)
				g_array_append_val(times, took_ns);
		}
		if (load.running->len)
			load_sample_one(&load);
	}
	g_array_sort(times, compare_u64);
	median = g_array_index(times, uint64_t, times->len / 2);
	p99 = g_array_index(times, uint64_t, (size_t)times->len / 100 * 99);
	printf("measure=decision vms=%u tasks=%u decisions=%u median_ns=%" G_GUINT64_FORMAT
	       " p99_ns=%" G_GUINT64_FORMAT "\n",
	       nr_vms, load.running->len, times->len, median, p99);
	printf("measure=usage vms=%u mean_ns_per_sample=%" G_GUINT64_FORMAT
	       "\n",
	       nr_vms, time_usage(&load));
	for (uint32_t i = 0; i < load.running->len; i++)
		g_free(g_ptr_array_index(load.running, i));
	g_ptr_array_free(load.running, TRUE);
	g_array_free(times, TRUE);
	g_rand_free(load.rand);
	plan_free(load.plan);
	return median;
}

int main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 60, 200, 620 };
	uint64_t median_ns = 0;

	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	printf("seed=%u\n", seed);
	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		compare(&profiles[i], true);
		compare(&profiles[i], false);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		median_ns = time_decisions(sizes[i]);
	print_target("620-vms", "-", "decision_median_ns", median_ns, 50000,
		     median_ns <= 50000);
	return EXIT_SUCCESS;
}
