/**
 * @file soak_site.c
 * The soak's site: real processes, with the times of the faults of each.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define SILENT_PERCENT 40 /* of the calls to a silent worker */

static const char *const zones[] = { "veraval", "porbandar", "mangrol" };

static struct soak_proc *proc_add(struct soak *soak, enum soak_role role,
				  struct tb_proc *handle)
{
	struct soak_proc *proc = g_new0(struct soak_proc, 1);

	proc->handle = handle;
	proc->role = role;
	proc->nr_starts = 1;
	proc->downtime = g_array_new(FALSE, FALSE, sizeof(struct soak_span));
	proc->disturbances =
		g_array_new(FALSE, FALSE, sizeof(struct soak_span));
	g_ptr_array_add(soak->procs, proc);
	return proc;
}

static void proc_free(void *data)
{
	struct soak_proc *proc = data;

	g_array_unref(proc->downtime);
	g_array_unref(proc->disturbances);
	g_free(proc);
}

bool soak_site_is_guarded(const struct soak *soak)
{
	return soak->seed % 2 == 0;
}

const char *soak_worker_label(const char *worker)
{
	return atoi(worker + strlen("i-")) % 2 ? "a" : "b";
}

void soak_site_start(struct soak *soak, const char *program)
{
	const struct soak_shape *shape = soak->shape;
	struct testbed_opts opts = { .name = "soak",
				     .nr_controls = shape->nr_controls,
				     .proxy_controls = true,
				     .platform = true,
				     .grace_s = SOAK_GRACE_S,
				     .seed = soak->seed };
	struct tb_executor_opts executor = {
		.unguarded = !soak_site_is_guarded(soak),
		.late_percent = shape->late_percent,
		.malformed_percent = 10,
		.silent_percent = SILENT_PERCENT,
		.silent_ms = shape->silent_ms,
	};

	/* In the children, writes beyond a file size limit return an error. */
	signal(SIGXFSZ, SIG_IGN);
	soak->procs = g_ptr_array_new_with_free_func(proc_free);
	soak->core_faults = g_array_new(FALSE, FALSE, sizeof(struct soak_span));
	soak->tb = testbed_new(&opts, program);
	testbed_add_probe(soak->tb);
	for (uint32_t i = 0; i < shape->nr_controls; i++)
		proc_add(soak, SOAK_CONTROL, testbed_control(soak->tb, i));
	for (uint32_t i = 0; i < shape->nr_entries; i++)
		proc_add(soak, SOAK_ENTRY,
			 testbed_add_entry(soak->tb,
					   zones[i % G_N_ELEMENTS(zones)]));
	for (uint32_t i = 0; i < shape->nr_workers; i++) {
		char *worker = g_strdup_printf("i-%u", i + 1);
		struct soak_proc *proc;

		executor.label = soak_worker_label(worker);
		executor.zone = zones[i % G_N_ELEMENTS(zones)];
		proc = proc_add(soak, SOAK_AGENT,
				testbed_add_executor(soak->tb, &executor));
		proc->zone = executor.zone;
		g_free(worker);
	}
	for (uint32_t i = 0; i < shape->nr_workers; i++)
		proc_add(soak, SOAK_WORKER, testbed_standin(soak->tb, i));
}

void soak_site_free(struct soak *soak)
{
	testbed_free(soak->tb);
	g_ptr_array_unref(soak->procs);
	g_array_unref(soak->core_faults);
}

struct soak_proc *soak_proc_at(const struct soak *soak, enum soak_role role,
			       uint32_t i)
{
	for (guint v = 0; v < soak->procs->len; v++) {
		struct soak_proc *proc = soak->procs->pdata[v];

		if (proc->role == role && i-- == 0)
			return proc;
	}
	return NULL;
}

uint32_t soak_nr_procs(const struct soak *soak, enum soak_role role)
{
	uint32_t nr = 0;

	for (guint v = 0; v < soak->procs->len; v++)
		nr += ((struct soak_proc *)soak->procs->pdata[v])->role == role;
	return nr;
}

void soak_span_begin(GArray *spans)
{
	struct soak_span span = { g_get_monotonic_time(), G_MAXINT64 };

	g_array_append_val(spans, span);
}

void soak_span_end(GArray *spans)
{
	for (guint i = 0; i < spans->len; i++) {
		struct soak_span *span =
			&g_array_index(spans, struct soak_span, i);

		if (span->end_us == G_MAXINT64)
			span->end_us = g_get_monotonic_time();
	}
}

bool soak_spans_overlap(const GArray *spans, int64_t from_us, int64_t to_us)
{
	for (guint i = 0; i < spans->len; i++) {
		const struct soak_span *span =
			&g_array_index(spans, struct soak_span, i);

		if (span->begin_us <= to_us && span->end_us >= from_us)
			return true;
	}
	return false;
}

/* Returns the stalls that the probe has found so far, as struct soak_span. */
static GArray *read_stalls(const struct soak *soak)
{
	GArray *spans = g_array_new(FALSE, FALSE, sizeof(struct soak_span));
	char *path = testbed_path(soak->tb, "probe.journal");
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("the probe wrote nothing");
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l && **l; l++) {
		struct soak_span span;
		char *end;

		span.begin_us = g_ascii_strtoll(*l, &end, 10);
		span.end_us = g_ascii_strtoll(end, NULL, 10);
		g_array_append_val(spans, span);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return spans;
}

uint32_t soak_site_stalled_ms(const struct soak *soak, int64_t since_ms)
{
	GArray *spans = read_stalls(soak);
	int64_t sum_us = 0;

	for (guint i = 0; i < spans->len; i++) {
		const struct soak_span *span =
			&g_array_index(spans, struct soak_span, i);

		if (span->end_us > since_ms * 1000)
			sum_us += span->end_us -
				  MAX(span->begin_us, since_ms * 1000);
	}
	g_array_unref(spans);
	return (uint32_t)(sum_us / 1000);
}

void soak_site_add_stalls(struct soak *soak)
{
	GArray *spans = read_stalls(soak);

	g_array_append_vals(soak->core_faults, spans->data, spans->len);
	soak->stats.stalled_ms = soak_site_stalled_ms(soak, 0);
	g_array_unref(spans);
}

int64_t soak_core_fault_free_ms(const struct soak *soak)
{
	int64_t end_us = 0;

	for (guint i = 0; i < soak->core_faults->len; i++) {
		const struct soak_span *span =
			&g_array_index(soak->core_faults, struct soak_span, i);

		end_us = MAX(end_us, span->end_us);
	}
	return end_us == G_MAXINT64 ? 0 :
				      (g_get_monotonic_time() - end_us) / 1000;
}

bool soak_core_stable(const struct soak *soak, int64_t from_us, int64_t to_us)
{
	return !soak_spans_overlap(soak->core_faults,
				   from_us - SOAK_CONTACT_MS * INT64_C(1000),
				   to_us);
}
