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

/* A line is "t=US worker=NAME event=NAME task=NAME run=NR". */
static void event_read(GArray *events, const char *line)
{
	struct task_event event = { .line = line };
	char **words = g_strsplit(line, " ", -1);
	const char *name;

	if (g_strv_length(words) != 5)
		goto out; /* a note of the test itself */
	event.t_us = g_ascii_strtoll(words[0] + strlen("t="), NULL, 10);
	event.run = g_ascii_strtoull(words[4] + strlen("run="), NULL, 10);
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

struct task_history {
	uint32_t nr_running;
	bool done;
	bool settled; /* an end as done was acknowledged */
	uint64_t restarted_run; /* first run after an end as done, 0: none */
	uint64_t done_run; /* first run that ended as done, 0: none */
};

static void seen_start(struct task_history *seen,
		       const struct task_event *event,
		       task_violation_fn *report, void *ctx)
{
	if (seen->nr_running)
		report(ctx, "TWICE: a task runs twice at a time", event);
	if (seen->settled)
		report(ctx, "TWICE: a task starts after it was done", event);
	seen->nr_running++;
	if (seen->done && !seen->restarted_run)
		seen->restarted_run = event->run;
}

uint32_t task_journal_check(const struct task_journal *journal,
			    task_violation_fn *report, void *ctx)
{
	GHashTable *tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	uint32_t nr_done = 0;

	for (guint i = 0; i < journal->events->len; i++) {
		const struct task_event *event =
			&g_array_index(journal->events, struct task_event, i);
		struct task_history *seen =
			g_hash_table_lookup(tasks, event->task);

		if (!seen) {
			seen = g_new0(struct task_history, 1);
			g_hash_table_insert(tasks, event->task, seen);
		}
		switch (event->kind) {
		case TASK_START:
			seen_start(seen, event, report, ctx);
			break;
		case TASK_SETTLED:
			if (seen->restarted_run && seen->done_run == event->run)
				report(ctx,
				       "TWICE: a task started between its end "
				       "and the acknowledgement",
				       event);
			seen->settled = true;
			break;
		case TASK_SETTLED_FAILED:
			break;
		case TASK_DONE:
			nr_done += !seen->done;
			if (!seen->done)
				seen->done_run = event->run;
			seen->done = true;
			seen->nr_running--;
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
