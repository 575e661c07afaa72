#include "checker.h"

#include <stdlib.h>
#include <string.h>

/* State of a task after the journal lines so far. */
struct seen_task {
	char *vm; /* on which it runs, NULL: it doesn't run */
	uint64_t epoch; /* of its last start, 0: never started */
	uint64_t cpu;
	uint64_t mem;
	uint64_t acc;
	uint64_t saved_ppm; /* highest progress of its checkpoints */
	gboolean done;
};

/* Resources of the tasks that run on a VM. */
struct seen_vm {
	uint64_t cpu;
	uint64_t mem;
	uint64_t acc;
};

struct checker {
	const struct checker_opts *opts;
	GHashTable *tasks; /* id -> struct seen_task */
	GHashTable *vms; /* name -> struct seen_vm */
	GHashTable *outs; /* zone -> uint64_t time in us when it went out */
	GHashTable *once; /* ids of requests that must not run twice */
	GHashTable *runs; /* request id -> number of runs */
	GPtrArray *faults; /* messages of the violations */
};

static const char *line_value(const char *line, const char *name, char *out,
			      size_t size)
{
	size_t len = strlen(name);
	const char *at = line;
	size_t n = 0;

	while (at && !(g_str_has_prefix(at, name) && at[len] == '=')) {
		at = strchr(at, ' ');
		at = at ? at + 1 : NULL;
	}
	out[0] = '\0';
	if (!at)
		return NULL;
	for (at += len + 1; *at && *at != ' ' && n + 1 < size; at++)
		out[n++] = *at;
	out[n] = '\0';
	return out;
}

static uint64_t line_number(const char *line, const char *name)
{
	char text[32];

	return line_value(line, name, text, sizeof(text)) ?
		       strtoull(text, NULL, 10) :
		       0;
}

static void checker_report(struct checker *checker, const char *what,
			   const char *line)
{
	g_ptr_array_add(checker->faults, g_strdup_printf("%s: %s", what, line));
}

static void seen_task_free(void *data)
{
	struct seen_task *task = data;

	g_free(task->vm);
	g_free(task);
}

static struct seen_task *checker_task(struct checker *checker, const char *line)
{
	char id[32];
	struct seen_task *task;

	line_value(line, "task", id, sizeof(id));
	task = g_hash_table_lookup(checker->tasks, id);
	if (!task) {
		task = g_new0(struct seen_task, 1);
		g_hash_table_insert(checker->tasks, g_strdup(id), task);
	}
	return task;
}

static struct seen_vm *checker_vm(struct checker *checker, const char *name)
{
	struct seen_vm *vm = g_hash_table_lookup(checker->vms, name);

	if (!vm) {
		vm = g_new0(struct seen_vm, 1);
		g_hash_table_insert(checker->vms, g_strdup(name), vm);
	}
	return vm;
}

static void checker_release(struct checker *checker, struct seen_task *task)
{
	struct seen_vm *vm = checker_vm(checker, task->vm);

	vm->cpu -= task->cpu;
	vm->mem -= task->mem;
	vm->acc -= task->acc;
	g_clear_pointer(&task->vm, g_free);
}

static void checker_start(struct checker *checker, const char *line)
{
	const struct checker_opts *opts = checker->opts;
	struct seen_task *task = checker_task(checker, line);
	uint64_t *out_us;
	struct seen_vm *vm;
	char zone[64];
	char name[64];

	line_value(line, "vm", name, sizeof(name));
	line_value(line, "zone", zone, sizeof(zone));
	if (task->vm) {
		checker_report(checker, "task runs in two places", line);
		checker_release(checker, task);
	}
	if (task->done)
		checker_report(checker, "finished task runs again", line);
	if (line_number(line, "epoch") <= task->epoch)
		checker_report(checker, "epoch did not rise", line);
	if (line_number(line, "from") > task->saved_ppm)
		checker_report(checker, "resumed from work never done", line);
	out_us = g_hash_table_lookup(checker->outs, zone);
	if (out_us &&
	    line_number(line, "t") > *out_us + opts->zone_grace_ms * 1000)
		checker_report(checker, "start in a zone that is out", line);
	task->vm = g_strdup(name);
	task->epoch = line_number(line, "epoch");
	task->cpu = line_number(line, "cpu");
	task->mem = line_number(line, "mem");
	task->acc = line_number(line, "acc");
	vm = checker_vm(checker, name);
	vm->cpu += task->cpu;
	vm->mem += task->mem;
	vm->acc += task->acc;
	if (vm->cpu > opts->cpu_millis || vm->mem > opts->memory_mib ||
	    vm->acc > opts->accelerators)
		checker_report(checker, "VM is overcommitted", line);
}

static void checker_end(struct checker *checker, const char *line)
{
	struct seen_task *task = checker_task(checker, line);
	char how[16];

	line_value(line, "how", how, sizeof(how));
	if (task->vm)
		checker_release(checker, task);
	if (!strcmp(how, "done")) {
		if (task->done)
			checker_report(checker, "task finished twice", line);
		task->done = TRUE;
	}
}

static void checker_checkpoint(struct checker *checker, const char *line)
{
	struct seen_task *task = checker_task(checker, line);

	task->saved_ppm = MAX(task->saved_ppm, line_number(line, "progress"));
}

static void checker_vm_dead(struct checker *checker, const char *line)
{
	GHashTableIter iter;
	char name[64];
	void *value;

	line_value(line, "vm", name, sizeof(name));
	g_hash_table_iter_init(&iter, checker->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct seen_task *task = value;

		if (task->vm && !strcmp(task->vm, name))
			checker_release(checker, task);
	}
}

static void checker_request(struct checker *checker, const char *line)
{
	char id[80];
	uintptr_t runs;

	line_value(line, "id", id, sizeof(id));
	runs = (uintptr_t)g_hash_table_lookup(checker->runs, id) + 1;
	g_hash_table_insert(checker->runs, g_strdup(id), (gpointer)runs);
	if (runs > 1 && g_hash_table_contains(checker->once, id))
		checker_report(checker, "request ran twice", line);
}

static void checker_zone_out(struct checker *checker, const char *line)
{
	uint64_t t_us = line_number(line, "t");
	char zone[64];

	line_value(line, "zone", zone, sizeof(zone));
	g_hash_table_insert(checker->outs, g_strdup(zone),
			    g_memdup2(&t_us, sizeof(t_us)));
}

static void checker_zone_in(struct checker *checker, const char *line)
{
	char zone[64];

	line_value(line, "zone", zone, sizeof(zone));
	g_hash_table_remove(checker->outs, zone);
}

static void checker_finished(struct checker *checker, const char *line)
{
	if (!checker_task(checker, line)->done)
		checker_report(checker, "task reported finished is lost", line);
}

struct checker_event {
	const char *name;
	void (*fn)(struct checker *checker, const char *line);
};

static const struct checker_event checker_events[] = {
	{ "start", checker_start },	      { "end", checker_end },
	{ "checkpoint", checker_checkpoint }, { "dead", checker_vm_dead },
	{ "run", checker_request },	      { "zone-out", checker_zone_out },
	{ "zone-in", checker_zone_in },	      { "finished", checker_finished },
};

static gint line_compare(gconstpointer a, gconstpointer b)
{
	uint64_t x = line_number(*(char *const *)a, "t");
	uint64_t y = line_number(*(char *const *)b, "t");

	return x < y ? -1 : x > y;
}

void checker_read(GPtrArray *lines, const char *path)
{
	char *text = NULL;
	char **split;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	split = g_strsplit(text, "\n", -1);
	for (char **l = split; *l; l++)
		if (**l)
			g_ptr_array_add(lines, g_strdup(*l));
	g_strfreev(split);
	g_free(text);
}

GPtrArray *checker_run(const struct checker_opts *opts, GPtrArray *lines)
{
	struct checker checker = { .opts = opts };
	char event[32];
	char id[80];

	checker.tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      seen_task_free);
	checker.vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	checker.outs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	checker.once =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	checker.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	checker.faults = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_sort(lines, line_compare);
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		line_value(line, "ev", event, sizeof(event));
		if (!strcmp(event, "once") &&
		    line_value(line, "id", id, sizeof(id)))
			g_hash_table_add(checker.once, g_strdup(id));
	}
	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		line_value(line, "ev", event, sizeof(event));
		for (size_t e = 0; e < G_N_ELEMENTS(checker_events); e++)
			if (!strcmp(checker_events[e].name, event))
				checker_events[e].fn(&checker, line);
	}
	g_hash_table_unref(checker.tasks);
	g_hash_table_unref(checker.vms);
	g_hash_table_unref(checker.outs);
	g_hash_table_unref(checker.once);
	g_hash_table_unref(checker.runs);
	return checker.faults;
}
