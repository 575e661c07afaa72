#include "control_flow_account.h"

#include "control_flow_impl.h"
#include "logline.h"

/*
 * Values that are logged for a line as one number if they are the same for all
 * its entries, otherwise as the range MIN-MAX.
 */
enum account_value {
	ACCOUNT_CPU = 0,
	ACCOUNT_VM_CPU = 1,
	ACCOUNT_VM_FREE = 2,
	ACCOUNT_VM_FILLER = 3,
	ACCOUNT_VM_MEMORY = 4,
	ACCOUNT_COST = 5,
	ACCOUNT_GAIN = 6,
	ACCOUNT_STEP_RUNS = 7,
	ACCOUNT_STEP_LIMIT = 8,
	ACCOUNT_ORPHANS = 9,
	ACCOUNT_REPORT_AGE = 10,
	NR_ACCOUNT_VALUES = 11,
};

static const char *const value_names[NR_ACCOUNT_VALUES] = {
	[ACCOUNT_CPU] = "cpu_millis",
	[ACCOUNT_VM_CPU] = "vm_cpu_millis",
	[ACCOUNT_VM_FREE] = "vm_free_millis",
	[ACCOUNT_VM_FILLER] = "vm_filler_millis",
	[ACCOUNT_VM_MEMORY] = "vm_memory_mib",
	[ACCOUNT_COST] = "cost_permille",
	[ACCOUNT_GAIN] = "gain_permille",
	[ACCOUNT_STEP_RUNS] = "vm_step_runs",
	[ACCOUNT_STEP_LIMIT] = "max_per_vm",
	[ACCOUNT_ORPHANS] = "vm_orphans",
	[ACCOUNT_REPORT_AGE] = "reported_ms_ago",
};

/** A line that isn't written yet. */
struct account_line {
	const struct account_ops *ops;
	/*
	 * Copied, as the workflow may be freed before the line is written. Id,
	 * occurrence and step are the key in flow_account.by_step.
	 */
	char id[NAME_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t nr; /* number of entries */
	GString *tasks; /* the entries, separated by commas */
	GString *workers; /* of the entries, "" in lines of ends */
	uint64_t low[NR_ACCOUNT_VALUES];
	uint64_t high[NR_ACCOUNT_VALUES];
};

/** What differs between the lines of placements and those of ends. */
struct account_ops {
	GString *(*begin)(void);
	void (*finish)(const struct account_line *line, GString *text);
};

struct flow_account {
	struct node *node;
	GPtrArray *lines; /* struct account_line, in the order of creation */
	GHashTable *by_step; /* set of the same lines */
	struct timer timer; /* due at the end of the iteration */
};

/* ---- lines ---- */

static guint line_hash(gconstpointer key)
{
	const struct account_line *line = key;

	return (g_str_hash(line->id) * 31 + line->occurrence) * 31 + line->step;
}

static gboolean line_equal(gconstpointer a, gconstpointer b)
{
	const struct account_line *one = a;
	const struct account_line *other = b;

	return one->occurrence == other->occurrence &&
	       one->step == other->step && g_str_equal(one->id, other->id);
}

static struct account_line *line_new(const struct account_line *key)
{
	struct account_line *line = g_new0(struct account_line, 1);

	*line = *key;
	line->tasks = g_string_new(NULL);
	line->workers = g_string_new(NULL);
	for (uint32_t i = 0; i < NR_ACCOUNT_VALUES; i++)
		line->low[i] = UINT64_MAX;
	return line;
}

static void line_free(void *data)
{
	struct account_line *line = data;

	g_string_free(line->tasks, TRUE);
	g_string_free(line->workers, TRUE);
	g_free(line);
}

static void line_add_values(struct account_line *line, const uint64_t *values)
{
	for (uint32_t i = 0; i < NR_ACCOUNT_VALUES; i++) {
		if (values[i] == FLOW_ACCOUNT_NONE)
			continue;
		line->low[i] = MIN(line->low[i], values[i]);
		line->high[i] = MAX(line->high[i], values[i]);
	}
}

static GString *place_begin(void)
{
	return logline_new("place");
}

static void place_finish(const struct account_line *line, GString *text)
{
	logline_str(text, "workers", line->workers->str);
	for (uint32_t i = 0; i < NR_ACCOUNT_VALUES; i++) {
		if (line->low[i] > line->high[i])
			continue;
		logline_u64(text, value_names[i], line->low[i]);
		if (line->low[i] < line->high[i])
			g_string_append_printf(text, "-%" G_GUINT64_FORMAT,
					       line->high[i]);
	}
}

static const struct account_ops place_ops = { place_begin, place_finish };

static GString *end_begin(void)
{
	return logline_new("task-ended");
}

static void end_finish(const struct account_line *line, GString *text)
{
}

static const struct account_ops end_ops = { end_begin, end_finish };

static void line_write(struct node *node, const struct account_line *line)
{
	GString *text = line->ops->begin();

	logline_str(text, "id", line->id);
	logline_u64(text, "occurrence", line->occurrence);
	logline_u64(text, "step", line->step);
	logline_u64(text, "nr", line->nr);
	logline_str(text, "tasks", line->tasks->str);
	line->ops->finish(line, text);
	node_log(node, text);
}

/* ---- the account ---- */

static void account_flush(struct flow_account *account)
{
	for (guint i = 0; i < account->lines->len; i++)
		line_write(account->node, account->lines->pdata[i]);
	g_hash_table_remove_all(account->by_step);
	g_ptr_array_set_size(account->lines, 0);
}

static void account_timer(void *data, uint64_t now_us)
{
	account_flush(data);
}

static void account_drop(struct flow_account *account,
			 struct account_line *line)
{
	g_hash_table_remove(account->by_step, line);
	g_ptr_array_remove(account->lines, line);
}

/*
 * Returns the line for an entry of @a size bytes. The step's line is written
 * first if it is full, or if it is of the other event: so the lines of one step
 * are in the order of what they tell.
 */
static struct account_line *account_line(struct flow_account *account,
					 const struct account_ops *ops,
					 const struct flow_placement *placed,
					 size_t size)
{
	struct account_line key = { .ops = ops };
	struct account_line *line;

	TEXT_SET(key.id, placed->flow->record.id);
	key.occurrence = state_flow_occurrence(placed->flow, placed->task);
	key.step = state_flow_step(placed->flow, placed->task);
	line = g_hash_table_lookup(account->by_step, &key);
	if (line && (line->ops != ops || line->nr == FLOW_ACCOUNT_ENTRIES_MAX ||
		     line->tasks->len + line->workers->len + size >
			     FLOW_ACCOUNT_BYTES_MAX)) {
		line_write(account->node, line);
		account_drop(account, line);
		line = NULL;
	}
	if (line)
		return line;
	line = line_new(&key);
	g_ptr_array_add(account->lines, line);
	g_hash_table_add(account->by_step, line);
	if (!timer_armed(&account->timer))
		node_timer_ms(account->node, &account->timer, 0);
	return line;
}

/* Returns "INDEX/RUN@VM". */
static GString *account_entry(const struct flow_placement *placed)
{
	GString *entry = g_string_new(NULL);
	uint32_t first = state_flow_first_task(
		placed->flow, state_flow_stage_of(placed->flow, placed->task));

	g_string_append_printf(entry, "%u/%u@", placed->task - first,
			       placed->run);
	/* Percent-encoded: separators of the list can't be part of a name. */
	g_string_append_uri_escaped(entry, placed->vm->name, NULL, FALSE);
	return entry;
}

/* Appends the entry, and its worker unless that is NULL, and frees both. */
static void line_append(struct account_line *line, GString *entry,
			GString *worker)
{
	const char *separator = line->nr ? "," : "";

	line->nr++;
	g_string_append_printf(line->tasks, "%s%s", separator, entry->str);
	g_string_free(entry, TRUE);
	if (!worker)
		return;
	g_string_append_printf(line->workers, "%s%s", separator, worker->str);
	g_string_free(worker, TRUE);
}

/* ---- interface ---- */

struct flow_account *flow_account_new(struct node *node)
{
	struct flow_account *account = g_new0(struct flow_account, 1);

	account->node = node;
	account->lines = g_ptr_array_new_with_free_func(line_free);
	account->by_step = g_hash_table_new(line_hash, line_equal);
	account->timer = (struct timer){ account_timer, account };
	return account;
}

void flow_account_free(struct flow_account *account)
{
	if (!account)
		return;
	timer_cancel(account->node->timers, &account->timer);
	account_flush(account);
	g_hash_table_unref(account->by_step);
	g_ptr_array_unref(account->lines);
	g_free(account);
}

void flow_account_place(struct flow_account *account,
			const struct flow_placement *placed,
			const struct flow_account_choice *choice)
{
	const struct flow_vm *vm = placed->vm;
	const struct flow_step *step = placed->step;
	uint64_t reported_us = account->node->now_us - vm->reported_us;
	const uint64_t values[NR_ACCOUNT_VALUES] = {
		[ACCOUNT_CPU] = step->cpu_millis,
		[ACCOUNT_VM_CPU] = vm->cpu_millis,
		[ACCOUNT_VM_FREE] =
			vm->worker.cpu_millis > vm->cpu_millis ?
				vm->worker.cpu_millis - vm->cpu_millis :
				0,
		[ACCOUNT_VM_FILLER] = vm->filler_cpu_millis,
		[ACCOUNT_VM_MEMORY] = vm->memory_mib,
		[ACCOUNT_COST] = choice->cost_permille,
		[ACCOUNT_GAIN] = choice->gain_permille,
		[ACCOUNT_STEP_RUNS] = choice->vm_step_runs,
		[ACCOUNT_STEP_LIMIT] = step->max_per_vm ? step->max_per_vm :
							  FLOW_ACCOUNT_NONE,
		[ACCOUNT_ORPHANS] = vm->orphans->len,
		[ACCOUNT_REPORT_AGE] = reported_us / 1000,
	};
	GString *entry = account_entry(placed);
	GString *worker = g_string_new(NULL);
	struct account_line *line;

	g_string_append_uri_escaped(worker, vm->worker.id, ":/", FALSE);
	line = account_line(account, &place_ops, placed,
			    entry->len + worker->len);
	line_add_values(line, values);
	line_append(line, entry, worker);
}

/*
 * Returns the number that counts against the queue's attempts: failed runs of
 * the task, or of its gang. 0 for a single task of a workflow that has ended,
 * which has no records of its tasks.
 */
static uint32_t failures_of(const struct flow_placement *placed)
{
	const struct state_flow *flow = placed->flow;
	uint32_t stage = state_flow_stage_of(flow, placed->task);

	if (placed->step->gang)
		return flow->stages[stage].nr_failures;
	return flow->record.nr_tasks ?
		       flow->record.tasks[placed->task].nr_failures :
		       0;
}

void flow_account_end(struct flow_account *account,
		      const struct flow_placement *placed, enum flow_end end)
{
	uint32_t nr_failures = failures_of(placed);
	uint64_t ran_us =
		placed->listed ? account->node->now_us - placed->listed_us : 0;
	GString *entry = account_entry(placed);

	g_string_append_printf(entry, ":%s:%" G_GUINT64_FORMAT,
			       flow_end_name(end), ran_us / 1000);
	if (nr_failures)
		g_string_append_printf(entry, ":%u", nr_failures);
	line_append(account_line(account, &end_ops, placed, entry->len), entry,
		    NULL);
}
