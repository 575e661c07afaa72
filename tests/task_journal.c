#include "task_journal.h"

#include <string.h>

struct event_name {
	const char *name;
	enum task_event_kind kind;
	bool late;
};

static const struct event_name event_names[] = {
	{ "start", TASK_START, false },
	{ "late-start", TASK_START, true },
	{ "done", TASK_DONE, false },
	{ "failed", TASK_FAILED, false },
	{ "end", TASK_ENDED, false },
	{ "settled", TASK_SETTLED, false },
	{ "settled-failed", TASK_SETTLED_FAILED, false },
};

/* A line is "t=US worker=NAME event=NAME task=NAME run=NR born=MS". */
static void event_read(GArray *events, const char *line)
{
	struct task_event event = { .line = line };
	char **words = g_strsplit(line, " ", -1);
	const char *name;

	if (g_strv_length(words) != 6)
		goto out; /* a note of the test itself */
	event.t_us = g_ascii_strtoll(words[0] + strlen("t="), NULL, 10);
	event.run = g_ascii_strtoull(words[4] + strlen("run="), NULL, 10);
	event.born_ms = g_ascii_strtoull(words[5] + strlen("born="), NULL, 10);
	name = words[2] + strlen("event=");
	for (size_t i = 0; i < G_N_ELEMENTS(event_names); i++) {
		if (strcmp(name, event_names[i].name))
			continue;
		event.kind = event_names[i].kind;
		event.late = event_names[i].late;
		event.worker = g_strdup(words[1] + strlen("worker="));
		event.task = g_strdup(words[3] + strlen("task="));
		g_array_append_val(events, event);
	}
out:
	g_strfreev(words);
}

static void event_clear(void *data)
{
	struct task_event *event = data;

	g_free(event->worker);
	g_free(event->task);
}

static gint event_compare(gconstpointer a, gconstpointer b)
{
	const struct task_event *x = a;
	const struct task_event *y = b;

	return x->t_us < y->t_us ? -1 : x->t_us > y->t_us;
}

struct task_journal *task_journal_new(GPtrArray *lines)
{
	struct task_journal *journal = g_new0(struct task_journal, 1);

	journal->lines = lines;
	journal->events = g_array_new(FALSE, FALSE, sizeof(struct task_event));
	g_array_set_clear_func(journal->events, event_clear);
	for (guint i = 0; i < lines->len; i++)
		event_read(journal->events, lines->pdata[i]);
	g_array_sort(journal->events, event_compare);
	return journal;
}

void task_journal_free(struct task_journal *journal)
{
	if (!journal)
		return;
	g_array_unref(journal->events);
	g_ptr_array_unref(journal->lines);
	g_free(journal);
}

/* An end as done. A run may end once in each incarnation of a worker. */
struct task_end {
	const char *worker;
	uint64_t run;
	uint64_t born_ms;
	bool restarted; /* the task has started again since */
};

struct task_history {
	uint32_t nr_running;
	bool settled; /* an end as done was acknowledged */
	GArray *ends; /* struct task_end */
};

static void history_free(void *data)
{
	struct task_history *seen = data;

	g_array_unref(seen->ends);
	g_free(seen);
}

static void seen_start(struct task_history *seen,
		       const struct task_event *event,
		       task_violation_fn *report, void *ctx)
{
	if (seen->nr_running)
		report(ctx, "TWICE: a task runs twice at a time", event);
	if (seen->settled)
		report(ctx, "TWICE: a task starts after it was done", event);
	seen->nr_running++;
	for (guint i = 0; i < seen->ends->len; i++)
		g_array_index(seen->ends, struct task_end, i).restarted = true;
}

static void seen_done(struct task_history *seen, const struct task_event *event)
{
	struct task_end end = { event->worker, event->run, event->born_ms,
				false };

	g_array_append_val(seen->ends, end);
	seen->nr_running--;
}

static void seen_settled(struct task_history *seen,
			 const struct task_event *event,
			 task_violation_fn *report, void *ctx)
{
	seen->settled = true;
	for (guint i = 0; i < seen->ends->len; i++) {
		const struct task_end *end =
			&g_array_index(seen->ends, struct task_end, i);

		if (end->restarted && end->run == event->run &&
		    end->born_ms == event->born_ms &&
		    !strcmp(end->worker, event->worker))
			report(ctx,
			       "TWICE: a task started between its end and the "
			       "acknowledgement",
			       event);
	}
}

uint32_t task_journal_check(const struct task_journal *journal,
			    task_violation_fn *report, void *ctx)
{
	GHashTable *tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  history_free);
	uint32_t nr_done = 0;

	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		struct task_history *seen =
			g_hash_table_lookup(tasks, event->task);

		if (!seen) {
			seen = g_new0(struct task_history, 1);
			seen->ends = g_array_new(FALSE, FALSE,
						 sizeof(struct task_end));
			g_hash_table_insert(tasks, event->task, seen);
		}
		switch (event->kind) {
		case TASK_START:
			seen_start(seen, event, report, ctx);
			break;
		case TASK_SETTLED:
			seen_settled(seen, event, report, ctx);
			break;
		case TASK_SETTLED_FAILED:
			break;
		case TASK_DONE:
			nr_done += !seen->ends->len;
			seen_done(seen, event);
			break;
		case TASK_FAILED:
		case TASK_ENDED:
			seen->nr_running--;
			break;
		}
	}
	g_hash_table_unref(tasks);
	return nr_done;
}

/* What one incarnation of a worker runs. */
struct worker_load {
	uint64_t cpu_millis;
	uint64_t memory_mib;
	GHashTable *stages; /* "ID.OCCURRENCE.STEP" -> number of its runs */
};

static void worker_load_free(void *data)
{
	struct worker_load *load = data;

	g_hash_table_unref(load->stages);
	g_free(load);
}

static struct worker_load *worker_load(GHashTable *loads,
				       const struct task_event *event)
{
	char *key = g_strdup_printf("%s %" G_GUINT64_FORMAT, event->worker,
				    event->born_ms);
	struct worker_load *load = g_hash_table_lookup(loads, key);

	if (load) {
		g_free(key);
		return load;
	}
	load = g_new0(struct worker_load, 1);
	load->stages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(loads, key, load);
	return load;
}

/* Returns the step of a task "ID.OCCURRENCE.STEP.INDEX", NULL if unknown. */
static const struct task_step *step_of(const struct task_site *site,
				       const char *task)
{
	char **words = g_strsplit(task, ".", -1);
	const struct task_step *step = NULL;
	const GArray *steps = NULL;
	uint64_t nr;

	if (g_strv_length(words) == 4)
		steps = g_hash_table_lookup(site->steps, words[0]);
	if (steps) {
		nr = g_ascii_strtoull(words[2], NULL, 10);
		if (nr < steps->len)
			step = &g_array_index(steps, struct task_step, nr);
	}
	g_strfreev(words);
	return step;
}

/* Adds @a change to the worker's runs of the task's step; returns the sum. */
static uint32_t stage_add(struct worker_load *load, const char *task,
			  int32_t change)
{
	char *stage = g_strndup(task, (gsize)(strrchr(task, '.') - task));
	guint nr = GPOINTER_TO_UINT(g_hash_table_lookup(load->stages, stage)) +
		   (guint)change;

	g_hash_table_replace(load->stages, stage, GUINT_TO_POINTER(nr));
	return nr;
}

static void check_worker_start(const struct task_site *site,
			       struct worker_load *load,
			       const struct task_step *step,
			       const struct task_event *event,
			       task_violation_fn *report, void *ctx)
{
	uint32_t nr = stage_add(load, event->task, 1);

	load->cpu_millis += step->fills ? 0 : step->cpu_millis;
	load->memory_mib += step->memory_mib;
	if (step->label &&
	    g_strcmp0(step->label, site->label_of(event->worker)) != 0)
		report(ctx, "ROUTE: a task starts without the step's label",
		       event);
	if (step->max_per_worker && nr > step->max_per_worker)
		report(ctx,
		       "ROUTE: a task starts beyond the step's limit of tasks "
		       "on a worker",
		       event);
	if (load->cpu_millis > site->cpu_millis ||
	    load->memory_mib > site->memory_mib)
		report(ctx, "LIMIT: a task starts beyond the worker's capacity",
		       event);
}

void task_journal_check_workers(const struct task_journal *journal,
				const struct task_site *site,
				task_violation_fn *report, void *ctx)
{
	GHashTable *loads = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, worker_load_free);

	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		const struct task_step *step = step_of(site, event->task);
		struct worker_load *load = worker_load(loads, event);

		if (!step)
			continue;
		switch (event->kind) {
		case TASK_START:
			check_worker_start(site, load, step, event, report,
					   ctx);
			break;
		case TASK_DONE:
		case TASK_FAILED:
		case TASK_ENDED:
			stage_add(load, event->task, -1);
			load->cpu_millis -= step->fills ? 0 : step->cpu_millis;
			load->memory_mib -= step->memory_mib;
			break;
		case TASK_SETTLED:
		case TASK_SETTLED_FAILED:
			break;
		}
	}
	g_hash_table_unref(loads);
}

#define LOST_WORKERS_MIN 2 /* that have room for the task */
#define LOST_STEP_US INT64_C(100000) /* between the times that are judged */

/* The time of a lasting task from the end of its last run on. */
struct task_gap {
	const struct task_event *end;
	const struct task_step *step;
	char *stage; /* "ID.OCCURRENCE.STEP." */
	int64_t next_us; /* start of its next run, or the end of the journal */
};

static bool is_end(const struct task_event *event)
{
	return event->kind == TASK_DONE || event->kind == TASK_FAILED ||
	       event->kind == TASK_ENDED;
}

/* What a worker would run with the gap's task. */
struct task_room {
	int64_t cpu_millis;
	int64_t memory_mib;
	int64_t nr_of_stage;
};

static bool room_fits(const struct task_room *room,
		      const struct task_site *site,
		      const struct task_step *step)
{
	return room->cpu_millis <= site->cpu_millis &&
	       room->memory_mib <= site->memory_mib &&
	       (!step->max_per_worker ||
		room->nr_of_stage <= step->max_per_worker);
}

/*
 * Returns true if the worker has room for the gap's task throughout, whether or
 * not it runs there again.
 */
static bool worker_has_room(const struct task_journal *journal,
			    const struct task_site *site, const char *worker,
			    const struct task_gap *gap, int64_t from_us,
			    int64_t to_us)
{
	const struct task_step *step = gap->step;
	struct task_room room = { step->cpu_millis, step->memory_mib, 1 };

	if (step->label && g_strcmp0(step->label, site->label_of(worker)) != 0)
		return false;
	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		const struct task_step *other;
		int64_t sign = event->kind == TASK_START ? 1 : -1;

		if (event->t_us > to_us)
			break;
		if ((event->kind != TASK_START && !is_end(event)) ||
		    strcmp(event->worker, worker) != 0 ||
		    !strcmp(event->task, gap->end->task))
			continue;
		other = step_of(site, event->task);
		if (!other)
			continue;
		if (event->t_us > from_us && !room_fits(&room, site, step))
			return false;
		room.cpu_millis += other->fills ? 0 : sign * other->cpu_millis;
		room.memory_mib += sign * other->memory_mib;
		if (g_str_has_prefix(event->task, gap->stage))
			room.nr_of_stage += sign;
	}
	return room_fits(&room, site, step);
}

static bool gap_is_judged(const struct task_journal *journal,
			  const struct task_site *site,
			  const struct task_watch *watch,
			  const struct task_gap *gap, int64_t from_us,
			  void *ctx)
{
	int64_t to_us = from_us + TASK_LOST_MS * INT64_C(1000);
	uint32_t nr = 0;

	if (!watch->is_judged(ctx, gap->end->task, from_us, to_us))
		return false;
	for (guint i = 0; i < watch->workers->len && nr < LOST_WORKERS_MIN;
	     i++) {
		const char *worker = watch->workers->pdata[i];

		nr += watch->is_sound(ctx, worker, from_us, to_us) &&
		      worker_has_room(journal, site, worker, gap, from_us,
				      to_us);
	}
	return nr >= LOST_WORKERS_MIN;
}

/* Returns true if no other run of the task is in progress after its end. */
static bool gap_after(const struct task_journal *journal, guint at,
		      const struct task_watch *watch, struct task_gap *gap)
{
	uint32_t nr_running = 0;

	gap->end = &g_array_index(journal->events, struct task_event, at);
	gap->next_us = watch->until_us;
	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);

		if (strcmp(event->task, gap->end->task) != 0)
			continue;
		if (i > at && event->kind == TASK_START) {
			gap->next_us = MIN(event->t_us, watch->until_us);
			break;
		}
		if (i <= at && event->kind == TASK_START)
			nr_running++;
		else if (i <= at && is_end(event))
			nr_running--;
	}
	return !nr_running;
}

/* Returns true if the first time after the gap's end is judged. */
static bool gap_check(const struct task_journal *journal,
		      const struct task_site *site,
		      const struct task_watch *watch,
		      const struct task_gap *gap, task_violation_fn *report,
		      void *ctx)
{
	int64_t first_us = gap->end->t_us + TASK_LOST_AFTER_MS * INT64_C(1000);
	int64_t last_us = gap->next_us - TASK_LOST_MS * INT64_C(1000);
	bool first_is_judged =
		first_us + TASK_LOST_MS * INT64_C(1000) <= watch->until_us &&
		gap_is_judged(journal, site, watch, gap, first_us, ctx);
	char *what;

	for (int64_t from_us = first_us; from_us <= last_us;
	     from_us += LOST_STEP_US) {
		if (!gap_is_judged(journal, site, watch, gap, from_us, ctx))
			continue;
		what = g_strdup_printf(
			"LOST: a lasting task has no run for %" G_GINT64_FORMAT
			" ms",
			(from_us - gap->end->t_us) / 1000 + TASK_LOST_MS);
		report(ctx, what, gap->end);
		g_free(what);
		break;
	}
	return first_is_judged;
}

uint32_t task_journal_check_lost(const struct task_journal *journal,
				 const struct task_site *site,
				 const struct task_watch *watch,
				 task_violation_fn *report, void *ctx)
{
	uint32_t nr_judged = 0;

	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		struct task_gap gap = { .step = step_of(site, event->task) };

		if (!is_end(event) || !gap.step || !gap.step->lasts ||
		    !gap_after(journal, i, watch, &gap))
			continue;
		gap.stage = g_strndup(
			event->task,
			(gsize)(strrchr(event->task, '.') - event->task) + 1);
		nr_judged += gap_check(journal, site, watch, &gap, report, ctx);
		g_free(gap.stage);
	}
	return nr_judged;
}
