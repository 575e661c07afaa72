#include "pressure.h"

#include <stdbool.h>
#include <string.h>

#include "schema.h"

/* Weights are ppm of the target for each core. */
#define PRIOR_PPM 25000 /* a pair that was never seen: some disturbance */
#define WEIGHT_MAX_PPM 2000000
/* Beyond this a figure tells of a queue, not of its neighbours' share. */
#define SAMPLE_MAX_PERMILLE 3000
#define PRIOR_BASE_PERMILLE 350 /* tail alone, before the first figure */
#define BASE_WEIGHT 8 /* a new figure's part of the base is one of these */
#define LEARN_PERCENT 30 /* of the error, as load changes it too */
#define MAX_IMAGES 4096 /* pairs and bases; names come from users */

struct pressure {
	GHashTable *weights; /* "serving\nfiller" -> int64_t * ppm */
	GHashTable *given; /* the same, as told by pressure_moved() */
	GHashTable *bases; /* serving -> int64_t * permille */
};

struct pressure *pressure_new(void)
{
	struct pressure *pressure = g_new0(struct pressure, 1);

	pressure->weights =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pressure->given =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pressure->bases =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pressure;
}

void pressure_free(struct pressure *pressure)
{
	if (!pressure)
		return;
	g_hash_table_unref(pressure->weights);
	g_hash_table_unref(pressure->given);
	g_hash_table_unref(pressure->bases);
	g_free(pressure);
}

static char *pair_key(const char *serving, const char *filler)
{
	return g_strconcat(serving, "\n", filler, NULL);
}

/* Returns the number under the key, made with a first value; takes the key. */
static int64_t *number_at(GHashTable *table, char *key, int64_t first)
{
	int64_t *number = g_hash_table_lookup(table, key);

	if (number || g_hash_table_size(table) >= MAX_IMAGES) {
		g_free(key);
		return number;
	}
	number = g_new(int64_t, 1);
	*number = first;
	g_hash_table_insert(table, key, number);
	return number;
}

static int64_t weight_ppm(const struct pressure *pressure, const char *serving,
			  const char *filler)
{
	char *key = pair_key(serving, filler);
	const int64_t *number = g_hash_table_lookup(pressure->weights, key);

	g_free(key);
	return number ? *number : PRIOR_PPM;
}

uint32_t pressure_predict(const struct pressure *pressure, const char *serving,
			  const struct pressure_filler *filler)
{
	int64_t ppm = weight_ppm(pressure, serving, filler->image);

	return (uint32_t)(ppm * filler->cpu_millis / 1000000);
}

/* Spreads the error over the fillers by their squared share of the cores. */
static void learn(struct pressure *pressure, const char *serving,
		  int64_t error_permille, const struct pressure_filler *fillers,
		  uint32_t nr_fillers)
{
	int64_t power = 0;

	for (uint32_t i = 0; i < nr_fillers; i++)
		power += (int64_t)fillers[i].cpu_millis * fillers[i].cpu_millis;
	for (uint32_t i = 0; i < nr_fillers && power; i++) {
		int64_t *weight = number_at(pressure->weights,
					    pair_key(serving, fillers[i].image),
					    PRIOR_PPM);
		int64_t step = error_permille * fillers[i].cpu_millis *
			       1000000 / power * LEARN_PERCENT / 100;

		if (weight)
			*weight = CLAMP(*weight + step, 0, WEIGHT_MAX_PPM);
	}
}

void pressure_sample(struct pressure *pressure, const char *serving,
		     uint32_t permille, const struct pressure_filler *fillers,
		     uint32_t nr_fillers)
{
	int64_t seen = MIN(permille, SAMPLE_MAX_PERMILLE);
	int64_t *base = number_at(pressure->bases, g_strdup(serving),
				  PRIOR_BASE_PERMILLE);
	int64_t expected = base ? *base : PRIOR_BASE_PERMILLE;

	if (!nr_fillers) {
		if (base)
			*base += (seen - *base) / BASE_WEIGHT;
		return;
	}
	for (uint32_t i = 0; i < nr_fillers; i++)
		expected += pressure_predict(pressure, serving, &fillers[i]);
	learn(pressure, serving, seen - expected, fillers, nr_fillers);
}

void pressure_restore(struct pressure *pressure,
		      const struct pressure_pair *pair)
{
	int64_t *weight = number_at(pressure->weights,
				    pair_key(pair->serving, pair->filler), 0);
	int64_t *given = number_at(pressure->given,
				   pair_key(pair->serving, pair->filler), 0);

	if (weight)
		*weight = MIN(pair->weight_ppm, WEIGHT_MAX_PPM);
	if (given)
		*given = pair->weight_ppm;
}

static bool has_moved(int64_t weight, int64_t given)
{
	int64_t by = weight > given ? weight - given : given - weight;

	return by > PRIOR_PPM / 2 && by > given / 4;
}

static void pair_set(struct pressure_pair *pair, const char *key,
		     int64_t weight)
{
	const char *split = strchr(key, '\n');

	memset(pair, 0, sizeof(*pair));
	text_set(pair->serving,
		 MIN((size_t)(split - key) + 1, sizeof(pair->serving)), key);
	TEXT_SET(pair->filler, split + 1);
	pair->weight_ppm = (uint32_t)weight;
}

void pressure_moved(struct pressure *pressure, GArray *pairs, uint32_t max)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, pressure->weights);
	while (pairs->len < max &&
	       g_hash_table_iter_next(&iter, &key, &value)) {
		int64_t weight = *(int64_t *)value;
		int64_t *given =
			number_at(pressure->given, g_strdup(key), PRIOR_PPM);
		struct pressure_pair pair;

		if (!given || !has_moved(weight, *given))
			continue;
		*given = weight;
		pair_set(&pair, key, weight);
		g_array_append_val(pairs, pair);
	}
}
