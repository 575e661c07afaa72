#include "learn.h"

#include <glib.h>

#include "plan_state.h"
#include "schema.h"

/*
 * Numbers of samples and of sampled tasks of a kind that are needed before the
 * learned CPU size is used.
 */
#define CPU_MIN_SAMPLES 12
#define CPU_MIN_TASKS 2
/*
 * The memory size is reduced only after this many successful runs, as memory
 * use may grow until a run ends.
 */
#define MEMORY_MIN_RUNS 5
#define MEMORY_MARGIN_PERCENT 130
#define CPU_MARGIN_PERCENT 105
/* A task that uses this share of its cores is assumed to need more. */
#define AT_LIMIT_PERCENT 98
/* A task that fails above this share of its memory probably ran out of it. */
#define NEAR_LIMIT_PERCENT 70
#define PROBE_PERCENT 130 /* next size to try for a task at its limit */
#define CPU_MIN_MILLIS 100

struct learn {
	GHashTable *by_name; /* struct plan_kind */
	struct plan_kind others; /* for kinds beyond PLAN_MAX_KINDS */
};

struct learn *learn_new(void)
{
	struct learn *learn = g_new0(struct learn, 1);

	TEXT_SET(learn->others.name, "others");
	learn->others.nr = PLAN_MAX_KINDS;
	learn->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return learn;
}

void learn_free(struct learn *learn)
{
	if (!learn)
		return;
	g_hash_table_unref(learn->by_name);
	g_free(learn);
}

struct plan_kind *learn_kind(struct learn *learn, const struct job_record *job)
{
	const char *name = *job->kind ? job->kind : job->name;
	struct plan_kind *kind = g_hash_table_lookup(learn->by_name, name);

	if (kind)
		return kind;
	if (g_hash_table_size(learn->by_name) >= PLAN_MAX_KINDS)
		return &learn->others;
	kind = g_new0(struct plan_kind, 1);
	TEXT_SET(kind->name, name);
	kind->nr = g_hash_table_size(learn->by_name);
	g_hash_table_insert(learn->by_name, kind->name, kind);
	return kind;
}

void learn_sample(struct plan_kind *kind, const struct platform_task *sample,
		  const struct task_size *size, uint32_t throttle_ppm,
		  bool first)
{
	uint64_t used = sample->cpu_used_millis;
	uint32_t step;

	if (kind->nr == PLAN_MAX_KINDS)
		return;
	/* 0 means not measured yet, since every running task uses memory. */
	if (!sample->memory_used_mib)
		return;
	if (first)
		kind->nr_tasks++;
	kind->nr_samples++;
	kind->memory_peak_mib =
		MAX(kind->memory_peak_mib, sample->memory_used_mib);
	if (throttle_ppm < 1000000)
		return;
	/*
	 * A task at its limit may need more. The sample is ignored if the kind
	 * is already known to need more; otherwise a larger size is tried.
	 */
	if (used * 100 >= (uint64_t)size->cpu_millis * AT_LIMIT_PERCENT) {
		if (kind->cpu_p95_millis > used)
			return;
		used = used * PROBE_PERCENT / 100;
	}
	if (kind->nr_samples == 1)
		kind->cpu_p95_millis = (uint32_t)used;
	/*
	 * Steps up that are 19 times as large as steps down converge to the
	 * 95th percentile.
	 */
	step = MAX(kind->cpu_p95_millis / 100, 1);
	if (used > kind->cpu_p95_millis)
		kind->cpu_p95_millis += (uint32_t)MIN(
			step * 19ull, used - kind->cpu_p95_millis);
	else
		kind->cpu_p95_millis -=
			(uint32_t)MIN(step, kind->cpu_p95_millis - used);
}

void learn_run_time(struct plan_kind *kind, uint64_t run_ms)
{
	if (kind->nr == PLAN_MAX_KINDS)
		return;
	kind->nr_ended++;
	if (!kind->run_ms)
		kind->run_ms = run_ms;
	else
		kind->run_ms = (kind->run_ms * 7 + run_ms) / 8;
}

bool learn_failure(struct plan_kind *kind, uint32_t used_mib,
		   const struct task_size *size)
{
	/* Memory use may have grown between the last sample and the failure. */
	if ((uint64_t)used_mib * 100 <
	    (uint64_t)size->memory_mib * NEAR_LIMIT_PERCENT)
		return false;
	if (kind->nr == PLAN_MAX_KINDS)
		return true;
	kind->memory_floor_mib = MAX(kind->memory_floor_mib,
				     size->memory_mib + size->memory_mib / 2);
	return true;
}

struct task_size learn_size(const struct plan_kind *kind,
			    const struct task_size *declared, bool service)
{
	struct task_size size = *declared;
	uint64_t cpu =
		(uint64_t)kind->cpu_p95_millis * CPU_MARGIN_PERCENT / 100;
	uint64_t memory =
		(uint64_t)kind->memory_peak_mib * MEMORY_MARGIN_PERCENT / 100;

	if (kind->nr_samples >= CPU_MIN_SAMPLES &&
	    kind->nr_tasks >= CPU_MIN_TASKS &&
	    (!service || cpu > size.cpu_millis))
		size.cpu_millis = (uint32_t)MAX(cpu, CPU_MIN_MILLIS);
	if (memory > size.memory_mib || (!service && kind->memory_peak_mib &&
					 kind->nr_ended >= MEMORY_MIN_RUNS))
		size.memory_mib = (uint32_t)memory;
	size.memory_mib = MAX(size.memory_mib, kind->memory_floor_mib);
	return size;
}
