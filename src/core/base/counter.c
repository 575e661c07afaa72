#include "counter.h"

struct counters {
	GTree *by_name; /* char * -> uint64_t * */
};

static gint counter_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return g_strcmp0(a, b);
}

static uint64_t *counter_slot(struct counters *counters, const char *name)
{
	uint64_t *value = g_tree_lookup(counters->by_name, name);

	if (!value) {
		value = g_new0(uint64_t, 1);
		g_tree_insert(counters->by_name, g_strdup(name), value);
	}
	return value;
}

static gboolean counter_print(gpointer key, gpointer value, gpointer data)
{
	const uint64_t *number = value;

	g_string_append_printf(data, "masticreach_%s %" G_GUINT64_FORMAT "\n",
			       (const char *)key, *number);
	return FALSE;
}

struct counters *counters_new(void)
{
	struct counters *counters = g_new0(struct counters, 1);

	counters->by_name =
		g_tree_new_full(counter_compare, NULL, g_free, g_free);
	return counters;
}

void counters_free(struct counters *counters)
{
	if (!counters)
		return;
	g_tree_unref(counters->by_name);
	g_free(counters);
}

void counter_add(struct counters *counters, const char *name, uint64_t amount)
{
	*counter_slot(counters, name) += amount;
}

void counter_set(struct counters *counters, const char *name, uint64_t value)
{
	*counter_slot(counters, name) = value;
}

uint64_t counter_get(const struct counters *counters, const char *name)
{
	const uint64_t *value = g_tree_lookup(counters->by_name, name);

	return value ? *value : 0;
}

void counters_print(const struct counters *counters, GString *out)
{
	g_tree_foreach(counters->by_name, counter_print, out);
}
