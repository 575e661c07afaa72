#include "pressure.h"

#include <glib.h>

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
	GHashTable *bases; /* serving -> int64_t * permille */
};

struct pressure *pressure_new(void)
{
	struct pressure *pressure = g_new0(struct pressure, 1);

	pressure->weights =
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
