#include "counter.h"

#include <stdbool.h>
#include <string.h>

/*
 * Upper bounds of a histogram's buckets. One more bucket counts durations above
 * the last bound.
 */
static const uint32_t bounds_ms[] = { 5,   10,	 25,   50,   100,   250,
				      500, 1000, 2500, 5000, 10000, 30000 };

#define COUNTER_NAME_BYTES 96 /* of a name with its labels */
#define COUNTERS_MAX 512 /* a process uses fewer than 150 */

#define NR_BOUNDS G_N_ELEMENTS(bounds_ms)

struct histogram {
	uint64_t nr[NR_BOUNDS + 1]; /* durations per bucket, not cumulative */
	uint64_t sum_ms;
};

struct counter {
	uint64_t value;
	bool gauge;
};

struct counters {
	GTree *by_name; /* char *, labels included -> struct counter * */
	GTree *histograms; /* char * -> struct histogram * */
	uint64_t nr_omitted; /* changes not counted because of COUNTERS_MAX */
};

static gint counter_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return g_strcmp0(a, b);
}

/* Returns NULL if there are COUNTERS_MAX other counters already. */
static struct counter *counter_find_or_add(struct counters *counters,
					   const char *name)
{
	struct counter *counter = g_tree_lookup(counters->by_name, name);

	if (counter)
		return counter;
	if ((uint32_t)g_tree_nnodes(counters->by_name) >= COUNTERS_MAX) {
		counters->nr_omitted++;
		return NULL;
	}
	counter = g_new0(struct counter, 1);
	g_tree_insert(counters->by_name, g_strdup(name), counter);
	return counter;
}

/* Context of counter_print(). */
struct counter_printer {
	GString *out;
	char name[COUNTER_NAME_BYTES]; /* printed last, without labels */
};

static gboolean counter_print(gpointer key, gpointer value, gpointer data)
{
	const struct counter *counter = value;
	struct counter_printer *printer = data;
	const char *name = key;
	size_t size = MIN(strcspn(name, "{"), sizeof(printer->name) - 1);

	if (strncmp(printer->name, name, size) != 0 || printer->name[size]) {
		memcpy(printer->name, name, size);
		printer->name[size] = 0;
		g_string_append_printf(printer->out,
				       "# TYPE masticreach_%s %s\n",
				       printer->name,
				       counter->gauge ? "gauge" : "counter");
	}
	g_string_append_printf(printer->out,
			       "masticreach_%s %" G_GUINT64_FORMAT "\n", name,
			       counter->value);
	return FALSE;
}

static gboolean histogram_print(gpointer key, gpointer value, gpointer data)
{
	const struct histogram *histogram = value;
	const char *name = key;
	uint64_t nr = 0;

	g_string_append_printf(data, "# TYPE masticreach_%s histogram\n", name);
	for (size_t i = 0; i < NR_BOUNDS; i++) {
		nr += histogram->nr[i];
		g_string_append_printf(data,
				       "masticreach_%s_bucket{le=\"%u\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       name, bounds_ms[i], nr);
	}
	nr += histogram->nr[NR_BOUNDS];
	g_string_append_printf(data,
			       "masticreach_%s_bucket{le=\"+Inf\"} "
			       "%" G_GUINT64_FORMAT "\n"
			       "masticreach_%s_sum %" G_GUINT64_FORMAT "\n"
			       "masticreach_%s_count %" G_GUINT64_FORMAT "\n",
			       name, nr, name, histogram->sum_ms, name, nr);
	return FALSE;
}

struct counters *counters_new(void)
{
	struct counters *counters = g_new0(struct counters, 1);

	counters->by_name =
		g_tree_new_full(counter_compare, NULL, g_free, g_free);
	counters->histograms =
		g_tree_new_full(counter_compare, NULL, g_free, g_free);
	return counters;
}

void counters_free(struct counters *counters)
{
	if (!counters)
		return;
	g_tree_unref(counters->by_name);
	g_tree_unref(counters->histograms);
	g_free(counters);
}

void counter_add(struct counters *counters, const char *name, uint64_t amount)
{
	struct counter *counter = counter_find_or_add(counters, name);

	if (counter)
		counter->value += amount;
}

void counter_inc_label(struct counters *counters, const char *name,
		       const char *key, const char *value)
{
	char labelled[COUNTER_NAME_BYTES];

	g_snprintf(labelled, sizeof(labelled), "%s{%s=\"%s\"}", name, key,
		   value);
	counter_add(counters, labelled, 1);
}

void counter_inc_label2(struct counters *counters, const char *name,
			const char *key, const char *value, const char *key2,
			const char *value2)
{
	char labelled[COUNTER_NAME_BYTES];

	g_snprintf(labelled, sizeof(labelled), "%s{%s=\"%s\",%s=\"%s\"}", name,
		   key, value, key2, value2);
	counter_add(counters, labelled, 1);
}

void counter_set(struct counters *counters, const char *name, uint64_t value)
{
	struct counter *counter = counter_find_or_add(counters, name);

	if (!counter)
		return;
	counter->value = value;
	counter->gauge = true;
}

void counter_set_total(struct counters *counters, const char *name,
		       uint64_t value)
{
	struct counter *counter = counter_find_or_add(counters, name);

	if (counter)
		counter->value = value;
}

uint64_t counter_get(const struct counters *counters, const char *name)
{
	const struct counter *counter = g_tree_lookup(counters->by_name, name);

	return counter ? counter->value : 0;
}

void counter_observe(struct counters *counters, const char *name,
		     uint64_t duration_ms)
{
	struct histogram *histogram = g_tree_lookup(counters->histograms, name);
	size_t i = 0;

	if (!histogram) {
		histogram = g_new0(struct histogram, 1);
		g_tree_insert(counters->histograms, g_strdup(name), histogram);
	}
	while (i < NR_BOUNDS && duration_ms > bounds_ms[i])
		i++;
	histogram->nr[i]++;
	histogram->sum_ms += duration_ms;
}

void counters_print(const struct counters *counters, GString *out)
{
	struct counter_printer printer = { .out = out };

	g_tree_foreach(counters->by_name, counter_print, &printer);
	if (counters->nr_omitted)
		g_string_append_printf(out,
				       "# TYPE masticreach_counters_omitted "
				       "counter\nmasticreach_counters_omitted "
				       "%" G_GUINT64_FORMAT "\n",
				       counters->nr_omitted);
	g_tree_foreach(counters->histograms, histogram_print, out);
}
