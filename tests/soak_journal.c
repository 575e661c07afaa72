/**
 * @file soak_journal.c
 * Checks the workers' journals against the answers that clients and operators
 * received.
 */

#include <stdlib.h>
#include <string.h>

#include "soak.h"
#include "task_journal.h"

/* State of a task after the journal events so far. */
struct task_view {
	bool done;
	GArray *failures; /* struct failure, by time */
	uint32_t nr_failed_before_start; /* before the last start */
};

/* A failed run. It counts only if its end is acknowledged at some time. */
struct failure {
	uint64_t run;
	bool settled; /* its end was acknowledged */
};

/* State of a submission after the journal events so far. */
struct flow_view {
	uint32_t *nr_done; /* completed tasks of each step */
	uint32_t nr_done_shown; /* completed until flow->final_us */
	uint32_t nr_running;
};

struct view {
	struct soak *soak;
	GHashTable *tasks; /* name -> struct task_view */
	GHashTable *flows; /* struct soak_flow -> struct flow_view */
};

static void flow_view_free(void *data)
{
	struct flow_view *view = data;

	g_free(view->nr_done);
	g_free(view);
}

static void task_view_free(void *data)
{
	struct task_view *view = data;

	g_array_unref(view->failures);
	g_free(view);
}

static struct task_view *task_view(struct view *view, const char *task)
{
	struct task_view *seen = g_hash_table_lookup(view->tasks, task);

	if (!seen) {
		seen = g_new0(struct task_view, 1);
		seen->failures =
			g_array_new(FALSE, FALSE, sizeof(struct failure));
		g_hash_table_insert(view->tasks, g_strdup(task), seen);
	}
	return seen;
}

static struct flow_view *flow_view(struct view *view, struct soak_flow *flow)
{
	struct flow_view *seen = g_hash_table_lookup(view->flows, flow);

	if (!seen) {
		seen = g_new0(struct flow_view, 1);
		seen->nr_done = g_new0(uint32_t, flow->kind->nr_steps);
		g_hash_table_insert(view->flows, flow, seen);
	}
	return seen;
}

static void report_event(void *ctx, const char *what,
			 const struct task_event *event)
{
	soak_violation(ctx, "%s: %s", what, event->line);
}

static struct soak_proc *agent_of(const struct soak *soak, const char *worker)
{
	return soak_proc_at(soak, SOAK_AGENT,
			    (uint32_t)atoi(worker + strlen("i-")) - 1);
}

/* Returns true if the agent and the core had no recent fault. */
static bool is_in_touch(const struct soak *soak, const struct task_event *event)
{
	const struct soak_proc *agent = agent_of(soak, event->worker);
	int64_t from_us = event->t_us - SOAK_CONTACT_MS * INT64_C(1000);

	return soak_core_stable(soak, event->t_us, event->t_us) &&
	       !soak_spans_overlap(agent->disturbances, from_us, event->t_us);
}

/*
 * Reports a start after SOAK_ATTEMPTS failures. Failures count if their ends
 * have been acknowledged, before the start or after it.
 */
static void check_budget(struct soak *soak, const struct task_view *task,
			 const struct task_event *event)
{
	uint32_t nr_settled = 0;

	for (uint32_t i = 0; i < task->nr_failed_before_start; i++)
		nr_settled += g_array_index(task->failures, struct failure, i)
				      .settled;
	if (nr_settled >= SOAK_ATTEMPTS)
		report_event(soak, "BUDGET: a start after all attempts failed",
			     event);
}

static void failure_settled(struct task_view *task, uint64_t run)
{
	for (guint i = 0; i < task->failures->len; i++) {
		struct failure *failure =
			&g_array_index(task->failures, struct failure, i);

		if (failure->run == run)
			failure->settled = true;
	}
}

static void check_start(struct view *view, struct soak_flow *flow,
			uint32_t step, const struct task_event *event)
{
	struct soak *soak = view->soak;
	const struct flow_view *seen = flow_view(view, flow);
	struct task_view *task = task_view(view, event->task);

	if (flow->state == SOAK_REJECTED)
		report_event(soak,
			     "REFUSED: a task of a refused submission starts",
			     event);
	if (step && seen->nr_done[step - 1] < flow->kind->nr_tasks)
		report_event(soak,
			     "ORDER: a step starts before the one it follows",
			     event);
	task->nr_failed_before_start = task->failures->len;
	check_budget(soak, task, event);
	if (event->late || !is_in_touch(soak, event))
		return;
	if (flow->cancelled_us &&
	    event->t_us > flow->cancelled_us + SOAK_CANCEL_MS * INT64_C(1000))
		report_event(soak, "UNASKED: a start after a cancellation",
			     event);
	if (soak_zone_is_out(soak, agent_of(soak, event->worker)->zone,
			     event->t_us))
		report_event(soak, "EVAC: a start in a zone that is out",
			     event);
}

static void check_event(struct view *view, struct soak_flow *flow,
			uint32_t step, const struct task_event *event)
{
	struct flow_view *seen = flow_view(view, flow);
	struct task_view *task = task_view(view, event->task);
	struct failure failure = { .run = event->run };

	switch (event->kind) {
	case TASK_START:
		check_start(view, flow, step, event);
		seen->nr_running++;
		break;
	case TASK_DONE:
		seen->nr_running--;
		if (task->done)
			break;
		task->done = true;
		seen->nr_done[step]++;
		if (event->t_us <= flow->final_us)
			seen->nr_done_shown++;
		break;
	case TASK_FAILED:
		g_array_append_val(task->failures, failure);
		seen->nr_running--;
		break;
	case TASK_ENDED:
		seen->nr_running--;
		break;
	case TASK_SETTLED:
		break;
	case TASK_SETTLED_FAILED:
		failure_settled(task, event->run);
		check_budget(view->soak, task, event);
		break;
	}
}

static void check_flows(struct view *view)
{
	GPtrArray *flows = soak_flows(view->soak);

	for (guint i = 0; i < flows->len; i++) {
		struct soak_flow *flow = flows->pdata[i];
		const struct flow_view *seen = flow_view(view, flow);
		uint32_t nr_tasks = flow->kind->nr_steps * flow->kind->nr_tasks;

		if (!g_strcmp0(flow->shown, "completed") &&
		    seen->nr_done_shown < nr_tasks)
			soak_violation(view->soak,
				       "MIXED: %s (%s) was shown as completed "
				       "with %u of %u tasks done",
				       flow->id, flow->kind->name,
				       seen->nr_done_shown, nr_tasks);
		if (seen->nr_running)
			soak_violation(view->soak,
				       "UNASKED: %u tasks of %s (%s) run at "
				       "the end",
				       seen->nr_running, flow->id,
				       flow->kind->name);
	}
}

/* Returns the submission and the step of a task "ID.K.STEP.INDEX", or NULL. */
static struct soak_flow *flow_of(struct soak *soak, const char *task,
				 uint32_t *step)
{
	char **parts = g_strsplit(task, ".", -1);
	struct soak_flow *flow = NULL;

	if (g_strv_length(parts) == 4) {
		flow = soak_flow_find(soak, parts[0]);
		*step = (uint32_t)g_ascii_strtoull(parts[2], NULL, 10);
	}
	g_strfreev(parts);
	return flow && *step < flow->kind->nr_steps ? flow : NULL;
}

/* Returns the steps of all submissions, see struct task_site. */
static GHashTable *submitted_steps(const struct soak *soak)
{
	GHashTable *table = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	GPtrArray *flows = soak_flows(soak);

	for (guint i = 0; i < flows->len; i++) {
		struct soak_flow *flow = flows->pdata[i];
		const struct soak_flow_kind *kind = flow->kind;
		struct task_step step = {
			.cpu_millis = kind->cpu_millis,
			.memory_mib = kind->memory_mib,
			.fills = kind->fills,
			.max_per_worker = kind->max_per_worker,
			.label = kind->label,
			.lasts = !kind->run_ms,
		};
		GArray *steps = g_array_new(FALSE, FALSE, sizeof(step));

		for (uint32_t j = 0; j < kind->nr_steps; j++)
			g_array_append_val(steps, step);
		g_hash_table_insert(table, flow->id, steps);
	}
	return table;
}

/*
 * Returns true if the task wasn't cancelled, and neither the core had a fault
 * nor a zone was out, in the time and SOAK_HARM_MS before it.
 */
static bool lost_is_judged(void *ctx, const char *task, int64_t from_us,
			   int64_t to_us)
{
	struct soak *soak = ctx;
	uint32_t step = 0;
	const struct soak_flow *flow = flow_of(soak, task, &step);
	int64_t before_us = from_us - SOAK_HARM_MS * INT64_C(1000);

	return flow &&
	       (!flow->cancel_sent_ms || to_us < flow->cancel_sent_ms * 1000) &&
	       !soak_spans_overlap(soak->core_faults, before_us, to_us) &&
	       !soak_zones_changed(soak, before_us, to_us);
}

static bool worker_is_sound(void *ctx, const char *worker, int64_t from_us,
			    int64_t to_us)
{
	struct soak *soak = ctx;
	uint32_t i = (uint32_t)atoi(worker + strlen("i-")) - 1;
	int64_t before_us = from_us - SOAK_HARM_MS * INT64_C(1000);

	return !soak_spans_overlap(
		       soak_proc_at(soak, SOAK_AGENT, i)->disturbances,
		       before_us, to_us) &&
	       !soak_spans_overlap(
		       soak_proc_at(soak, SOAK_WORKER, i)->disturbances,
		       before_us, to_us);
}

static void check_lost(struct soak *soak, const struct task_journal *journal,
		       const struct task_site *site)
{
	struct task_watch watch = {
		.workers = g_ptr_array_new(),
		.until_us = g_get_monotonic_time(),
		.is_judged = lost_is_judged,
		.is_sound = worker_is_sound,
	};

	for (uint32_t i = 0; i < soak_nr_procs(soak, SOAK_WORKER); i++)
		g_ptr_array_add(
			watch.workers,
			(char *)tb_proc_name(
				soak_proc_at(soak, SOAK_WORKER, i)->handle));
	soak->stats.nr_lost_judged = task_journal_check_lost(
		journal, site, &watch, report_event, soak);
	g_ptr_array_unref(watch.workers);
}

void soak_journal_check(struct soak *soak)
{
	struct task_journal *journal =
		task_journal_new(testbed_lines(soak->tb));
	struct task_site site = {
		.steps = submitted_steps(soak),
		.cpu_millis = TB_EXECUTOR_CPU_MILLIS,
		.memory_mib = TB_EXECUTOR_MEMORY_MIB,
		.label_of = soak_worker_label,
	};
	struct view view = { .soak = soak };

	view.tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   task_view_free);
	view.flows = g_hash_table_new_full(NULL, NULL, NULL, flow_view_free);
	task_journal_check(journal, report_event, soak);
	task_journal_check_workers(journal, &site, report_event, soak);
	check_lost(soak, journal, &site);
	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		uint32_t step = 0;
		struct soak_flow *flow = flow_of(soak, event->task, &step);

		if (flow)
			check_event(&view, flow, step, event);
		else
			report_event(soak,
				     "UNASKED: the task was never submitted",
				     event);
	}
	check_flows(&view);
	g_hash_table_unref(view.tasks);
	g_hash_table_unref(view.flows);
	g_hash_table_unref(site.steps);
	task_journal_free(journal);
}

uint32_t soak_journal_running(struct soak *soak, const char *id)
{
	struct task_journal *journal =
		task_journal_new(testbed_lines(soak->tb));
	uint32_t nr = 0;

	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);

		if (id && !g_str_has_prefix(event->task, id))
			continue;
		if (event->kind == TASK_START)
			nr++;
		else if (event->kind < TASK_SETTLED)
			nr--;
	}
	task_journal_free(journal);
	return nr;
}

GHashTable *soak_journal_steady(struct soak *soak)
{
	GHashTable *steady =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct task_journal *journal =
		task_journal_new(testbed_lines(soak->tb));

	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		guint nr = GPOINTER_TO_UINT(
			g_hash_table_lookup(steady, event->worker));
		uint32_t step = 0;
		const struct soak_flow *flow =
			flow_of(soak, event->task, &step);

		if (!flow || flow->kind->run_ms || flow->kind->max_per_worker ||
		    event->kind >= TASK_SETTLED)
			continue;
		nr += event->kind == TASK_START ? 1 : (guint)-1;
		g_hash_table_replace(steady, g_strdup(event->worker),
				     GUINT_TO_POINTER(nr));
	}
	task_journal_free(journal);
	return steady;
}
