#include "run_time.h"

#include <glib.h>

#include "tunables.h"

/* The last runs of a queue and an image. */
struct run_time_pair {
	uint64_t samples_ms[RUN_TIME_SAMPLES]; /* a ring buffer */
	uint64_t nr_added;
	uint64_t used_nr; /* value of run_times.use_nr at the last use */
	struct run_time time; /* of the samples */
};

struct run_times {
	/* "QUEUE IMAGE" -> struct run_time_pair * */
	GHashTable *pairs;
	uint64_t use_nr; /* counts uses of all pairs */
};

struct run_times *run_times_new(void)
{
	struct run_times *times = g_new0(struct run_times, 1);

	times->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return times;
}

void run_times_free(struct run_times *times)
{
	if (!times)
		return;
	g_hash_table_unref(times->pairs);
	g_free(times);
}

static struct run_time_pair *pair_find(struct run_times *times,
				       const char *queue, const char *image)
{
	char *key = g_strconcat(queue, " ", image, NULL);
	struct run_time_pair *pair = g_hash_table_lookup(times->pairs, key);

	g_free(key);
	if (pair)
		pair->used_nr = ++times->use_nr;
	return pair;
}

static void drop_least_recently_used(struct run_times *times)
{
	const void *oldest = NULL;
	uint64_t oldest_nr = UINT64_MAX;
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, times->pairs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct run_time_pair *pair = value;

		if (pair->used_nr >= oldest_nr)
			continue;
		oldest_nr = pair->used_nr;
		oldest = key;
	}
	g_hash_table_remove(times->pairs, oldest);
}

static struct run_time_pair *pair_add(struct run_times *times,
				      const char *queue, const char *image)
{
	struct run_time_pair *pair = g_new0(struct run_time_pair, 1);

	if (g_hash_table_size(times->pairs) >= RUN_TIME_PAIRS_MAX)
		drop_least_recently_used(times);
	pair->used_nr = ++times->use_nr;
	g_hash_table_insert(times->pairs, g_strconcat(queue, " ", image, NULL),
			    pair);
	return pair;
}

static gint compare_ms(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void pair_update(struct run_time_pair *pair)
{
	guint nr = (guint)MIN(pair->nr_added, RUN_TIME_SAMPLES);
	GArray *sorted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t sum_ms = 0;

	g_assert(nr > 0);
	g_array_append_vals(sorted, pair->samples_ms, nr);
	g_array_sort(sorted, compare_ms);
	for (guint i = 0; i < nr; i++)
		sum_ms += g_array_index(sorted, uint64_t, i);
	pair->time.mean_ms = sum_ms / nr;
	pair->time.high_ms = g_array_index(
		sorted, uint64_t, (nr - 1) * RUN_TIME_HIGH_PERCENT / 100);
	g_array_unref(sorted);
}

void run_times_add(struct run_times *times, const char *queue,
		   const char *image, uint64_t full_ms)
{
	struct run_time_pair *pair = pair_find(times, queue, image);

	if (!pair)
		pair = pair_add(times, queue, image);
	pair->samples_ms[pair->nr_added++ % RUN_TIME_SAMPLES] = full_ms;
	pair_update(pair);
}

bool run_times_get(struct run_times *times, const char *queue,
		   const char *image, struct run_time *time)
{
	const struct run_time_pair *pair = pair_find(times, queue, image);

	if (!pair || pair->nr_added < RUN_TIME_MIN_SAMPLES)
		return false;
	*time = pair->time;
	return true;
}

uint32_t run_times_nr(const struct run_times *times)
{
	return g_hash_table_size(times->pairs);
}
