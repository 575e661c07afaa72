#include "pressure.h"

#include <stdbool.h>
#include <string.h>

#include "schema.h"

/*
 * The weights on each serving image are estimated by a Kalman filter with a
 * diagonal covariance matrix, so that an error mostly corrects the least
 * certain weights. Loads and weights are in permille of the utilization,
 * variances in permille squared.
 */

/* Weight and standard deviation of a pair of images never sampled. */
#define PRIOR_PERMILLE 600
#define PRIOR_DEVIATION_PERMILLE 1000
#define PRIOR_VARIANCE \
	(INT64_C(1) * PRIOR_DEVIATION_PERMILLE * PRIOR_DEVIATION_PERMILLE)
#define WEIGHT_MAX_PERMILLE 8000
/* pressure_weight() adds this fraction of the standard deviation. */
#define DEVIATION_DIVISOR 4
/* Added to a weight's variance with each sample: weights change over a day. */
#define DRIFT_VARIANCE 500
/* Samples vary by 40 permille, loads by 100 permille a second. */
#define NOISE_VARIANCE 10000
/* Weights below this can't be distinguished from the noise of the samples. */
#define NEGLIGIBLE_PERMILLE 120
/*
 * Tail latency without load, in permille of the target. It only sets the scale
 * of the utilization: another value scales loads and weights alike.
 */
#define IDLE_TAIL_PERMILLE 200
#define LOAD_MAX_PERMILLE 970 /* above this, requests queue up */
#define LOAD_FIRST_PERMILLE 450 /* average load, before the first sample */
/*
 * Largest changes of a load in a second. Loads change by 100 permille; a rise
 * may be 1.5 times that, and a fall twice as large as a rise, because outliers
 * are high, never low.
 */
#define LOAD_RISE_PERMILLE 150
#define LOAD_FALL_PERMILLE 300
/*
 * Time between the samples that a load's slope follows from: samples vary by
 * nearly half of what a load changes in a second.
 */
#define SLOPE_MIN_MS 1000
/*
 * A slope without a new sample for this long no longer counts: measurements
 * that don't change aren't passed as samples, so the load has settled.
 */
#define SLOPE_KEPT_MS 3000
/* Loads change by this in a second at most. */
#define LOAD_SLOPE_MAX_PERMILLE 100
/* Share of a sample's error by which a load is corrected if no filler runs. */
#define LOAD_GAIN_PERMILLE 500
#define LOAD_VARIANCE 2500 /* variance of a sample without pressure */
#define LOAD_PRESSED_VARIANCE 20 /* added for each permille of pressure */
/*
 * A limit, because users choose the names: the table of weights has at most the
 * square of it, 8 MiB of pointers.
 */
#define MAX_IMAGES 1024

struct weight {
	int64_t permille;
	int64_t variance;
	uint32_t deviation_permille; /* square root of the variance */
	int64_t reported_permille; /* last value exported or imported */
};

/* The load of a workflow's tasks without pressure. */
struct load {
	uint32_t permille;
	uint64_t at_us; /* time of the last sample */
	/*
	 * Change in a second, between the last two samples that are at least
	 * SLOPE_MIN_MS apart; the second one is the next one's base.
	 */
	int64_t slope_permille_s;
	int64_t base_permille;
	uint64_t base_us;
};

struct pressure {
	GHashTable *images; /* name -> number + 1 */
	GPtrArray *names; /* names of images, by number */
	GArray *fillers; /* uint32_t, numbers of images seen as fillers */
	/*
	 * One GPtrArray of struct weight * by filler image for each serving
	 * image; NULL: no weight. Placement reads weights so often that a hash
	 * table took a third of the processor time of a leader with 240 VMs.
	 */
	GPtrArray *weights;
	uint32_t nr_weights;
	GHashTable *loads; /* workflow id -> struct load * */
};

static void weights_row_free(void *row)
{
	if (row)
		g_ptr_array_unref(row);
}

struct pressure *pressure_new(void)
{
	struct pressure *pressure = g_new0(struct pressure, 1);

	pressure->images =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	pressure->names = g_ptr_array_new_with_free_func(g_free);
	pressure->fillers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	pressure->weights = g_ptr_array_new_with_free_func(weights_row_free);
	pressure->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pressure;
}

void pressure_free(struct pressure *pressure)
{
	if (!pressure)
		return;
	g_hash_table_unref(pressure->images);
	g_ptr_array_unref(pressure->names);
	g_array_unref(pressure->fillers);
	g_ptr_array_unref(pressure->weights);
	g_hash_table_unref(pressure->loads);
	g_free(pressure);
}

uint32_t pressure_image(struct pressure *pressure, const char *name)
{
	void *known = g_hash_table_lookup(pressure->images, name);
	char *kept;

	if (known)
		return GPOINTER_TO_UINT(known) - 1;
	/* Images beyond the limit share one number, and so their weights. */
	if (pressure->names->len >= MAX_IMAGES)
		return MAX_IMAGES - 1;
	kept = g_strdup(name);
	g_ptr_array_add(pressure->names, kept);
	g_hash_table_insert(pressure->images, kept,
			    GUINT_TO_POINTER(pressure->names->len));
	return pressure->names->len - 1;
}

static struct weight *weight_find(const struct pressure *pressure,
				  uint32_t serving, uint32_t filler)
{
	const GPtrArray *row = serving < pressure->weights->len ?
				       pressure->weights->pdata[serving] :
				       NULL;

	return row && filler < row->len ? row->pdata[filler] : NULL;
}

/* Stores the weight; the pair must have none yet. */
static void weight_insert(struct pressure *pressure, uint32_t serving,
			  uint32_t filler, struct weight *weight)
{
	GPtrArray *row;

	if (serving >= pressure->weights->len)
		g_ptr_array_set_size(pressure->weights, (gint)serving + 1);
	row = pressure->weights->pdata[serving];
	if (!row) {
		row = g_ptr_array_new_with_free_func(g_free);
		pressure->weights->pdata[serving] = row;
	}
	if (filler >= row->len)
		g_ptr_array_set_size(row, (gint)filler + 1);
	row->pdata[filler] = weight;
	pressure->nr_weights++;
}

static void filler_add(struct pressure *pressure, uint32_t filler)
{
	for (guint i = 0; i < pressure->fillers->len; i++)
		if (g_array_index(pressure->fillers, uint32_t, i) == filler)
			return;
	g_array_append_val(pressure->fillers, filler);
}

const GArray *pressure_fillers(const struct pressure *pressure)
{
	return pressure->fillers;
}

uint32_t pressure_learned_weight(const struct pressure *pressure,
				 uint32_t serving, uint32_t filler)
{
	const struct weight *weight = weight_find(pressure, serving, filler);

	return weight ? (uint32_t)weight->permille : 0;
}

/* Returns the integer square root, by Newton's method. */
static int64_t integer_sqrt(int64_t variance)
{
	int64_t root = variance;
	int64_t next = (variance + 1) / 2;

	while (next < root) {
		root = next;
		next = (root + variance / root) / 2;
	}
	return root;
}

/*
 * Also stores the square root, because placement reads it far more often than
 * the variance changes.
 */
static void weight_set_variance(struct weight *weight, int64_t variance)
{
	weight->variance = variance;
	weight->deviation_permille = (uint32_t)integer_sqrt(variance);
}

/* Returns the pair's weight, created if needed; NULL if there are too many. */
static struct weight *weight_get(struct pressure *pressure, uint32_t serving,
				 uint32_t filler)
{
	struct weight *weight = weight_find(pressure, serving, filler);

	if (weight || pressure->nr_weights >= FLOW_MAX_PRESSURE_PAIRS)
		return weight;
	weight = g_new0(struct weight, 1);
	weight->permille = PRIOR_PERMILLE;
	weight->reported_permille = PRIOR_PERMILLE;
	weight_set_variance(weight, PRIOR_VARIANCE);
	weight_insert(pressure, serving, filler, weight);
	filler_add(pressure, filler);
	return weight;
}

static int64_t weight_permille(const struct pressure *pressure,
			       uint32_t serving, uint32_t filler)
{
	const struct weight *weight = weight_find(pressure, serving, filler);

	return weight ? weight->permille : PRIOR_PERMILLE;
}

uint32_t pressure_weight(const struct pressure *pressure, uint32_t serving,
			 uint32_t filler)
{
	const struct weight *weight = weight_find(pressure, serving, filler);

	int64_t permille = weight ? weight->permille : PRIOR_PERMILLE;

	permille += (weight ? weight->deviation_permille :
			      PRIOR_DEVIATION_PERMILLE) /
		    DEVIATION_DIVISOR;
	return permille < NEGLIGIBLE_PERMILLE ? 0 : (uint32_t)permille;
}

uint32_t pressure_added(const struct pressure *pressure, uint32_t serving,
			const struct pressure_filler *fillers,
			uint32_t nr_fillers)
{
	int64_t added = 0;

	for (uint32_t i = 0; i < nr_fillers; i++)
		added += weight_permille(pressure, serving, fillers[i].image) *
			 fillers[i].share_permille / 1000;
	return (uint32_t)added;
}

uint32_t pressure_utilization(uint32_t tail_ms, uint32_t target_ms)
{
	uint64_t idle =
		(uint64_t)target_ms * IDLE_TAIL_PERMILLE / MAX(tail_ms, 1);

	return idle < 1000 ? MIN(1000 - (uint32_t)idle, LOAD_MAX_PERMILLE) : 0;
}

uint32_t pressure_limit_slew(uint32_t load_permille, uint32_t measured_permille,
			     uint64_t elapsed_us)
{
	uint64_t second_us = MIN(elapsed_us, 1000000);
	uint32_t rise = (uint32_t)(second_us * LOAD_RISE_PERMILLE / 1000000);
	uint32_t fall = (uint32_t)(second_us * LOAD_FALL_PERMILLE / 1000000);
	uint32_t least = load_permille > fall ? load_permille - fall : 0;

	return CLAMP(measured_permille, least, load_permille + rise);
}

/* ---- learning ---- */

/* Returns the variance of the pressure due to uncertain weights. */
static int64_t added_variance(struct pressure *pressure,
			      const struct pressure_sample *sample)
{
	int64_t variance = 0;

	for (uint32_t i = 0; i < sample->nr_fillers; i++) {
		const struct pressure_filler *filler = &sample->fillers[i];
		const struct weight *weight =
			weight_get(pressure, sample->image, filler->image);
		int64_t share = filler->share_permille;

		if (weight)
			variance +=
				weight->variance * share / 1000 * share / 1000;
	}
	return variance;
}

static void learn_weights(struct pressure *pressure,
			  const struct pressure_sample *sample,
			  int64_t variance, int64_t error)
{
	int64_t total = variance + NOISE_VARIANCE;

	for (uint32_t i = 0; i < sample->nr_fillers; i++) {
		const struct pressure_filler *filler = &sample->fillers[i];
		struct weight *weight =
			weight_find(pressure, sample->image, filler->image);
		int64_t covariance;

		if (!weight)
			continue;
		covariance = weight->variance * filler->share_permille / 1000;
		weight->permille += covariance * error / total;
		weight->permille =
			CLAMP(weight->permille, 0, WEIGHT_MAX_PERMILLE);
		weight_set_variance(
			weight, CLAMP(weight->variance -
					      covariance * covariance / total +
					      DRIFT_VARIANCE,
				      DRIFT_VARIANCE, PRIOR_VARIANCE));
	}
}

static struct load *load_get(struct pressure *pressure,
			     const struct pressure_sample *sample)
{
	struct load *load =
		g_hash_table_lookup(pressure->loads, sample->workflow);

	if (load)
		return load;
	load = g_new0(struct load, 1);
	load->permille = LOAD_FIRST_PERMILLE;
	load->at_us = sample->now_us;
	load->base_permille = load->permille;
	load->base_us = sample->now_us;
	g_hash_table_insert(pressure->loads, g_strdup(sample->workflow), load);
	return load;
}

static void update_slope(struct load *load, uint64_t now_us)
{
	int64_t elapsed_ms = (int64_t)(now_us - load->base_us) / 1000;

	if (elapsed_ms < SLOPE_MIN_MS)
		return;
	load->slope_permille_s =
		CLAMP(((int64_t)load->permille - load->base_permille) * 1000 /
			      elapsed_ms,
		      -LOAD_SLOPE_MAX_PERMILLE, LOAD_SLOPE_MAX_PERMILLE);
	load->base_permille = load->permille;
	load->base_us = now_us;
}

/*
 * Corrects a load by a sample. The correction is smaller if the pressure is
 * higher or less certain.
 */
static void learn_load(struct load *load, const struct pressure_sample *sample,
		       int64_t error, int64_t variance, int64_t added)
{
	int64_t gain_permille =
		(int64_t)LOAD_GAIN_PERMILLE * LOAD_VARIANCE /
		(LOAD_VARIANCE + variance + LOAD_PRESSED_VARIANCE * added);
	int64_t next = load->permille + error * gain_permille / 1000;

	load->permille = pressure_limit_slew(load->permille,
					     (uint32_t)CLAMP(next, 0, 1000),
					     sample->now_us - load->at_us);
	load->at_us = sample->now_us;
}

void pressure_learn(struct pressure *pressure,
		    const struct pressure_sample *sample)
{
	struct load *load = load_get(pressure, sample);
	int64_t variance = added_variance(pressure, sample);
	int64_t added = pressure_added(pressure, sample->image, sample->fillers,
				       sample->nr_fillers);
	int64_t error =
		pressure_utilization(sample->tail_ms, sample->target_ms) -
		(load->permille + added);

	learn_weights(pressure, sample, variance, error);
	learn_load(load, sample, error, variance, added);
	update_slope(load, sample->now_us);
}

uint32_t pressure_load(const struct pressure *pressure, const char *workflow)
{
	const struct load *load =
		g_hash_table_lookup(pressure->loads, workflow);

	return load ? load->permille : LOAD_FIRST_PERMILLE;
}

uint32_t pressure_load_ahead(const struct pressure *pressure,
			     const char *workflow, uint32_t ahead_ms,
			     uint64_t now_us)
{
	const struct load *load =
		g_hash_table_lookup(pressure->loads, workflow);
	int64_t rise;

	if (!load)
		return LOAD_FIRST_PERMILLE;
	if (now_us - load->base_us > SLOPE_KEPT_MS * 1000ull)
		return load->permille;
	rise = load->slope_permille_s * ahead_ms / 1000;
	return (uint32_t)(load->permille + MAX(rise, 0));
}

void pressure_forget(struct pressure *pressure, const char *workflow)
{
	g_hash_table_remove(pressure->loads, workflow);
}

/* ---- export and import of weights ---- */

void pressure_restore(struct pressure *pressure,
		      const struct pressure_pair *pair)
{
	struct weight *weight =
		weight_get(pressure, pressure_image(pressure, pair->serving),
			   pressure_image(pressure, pair->filler));

	if (!weight)
		return;
	weight->permille = MIN(pair->weight_permille, WEIGHT_MAX_PERMILLE);
	weight->reported_permille = weight->permille;
	weight_set_variance(weight, CLAMP((int64_t)pair->doubt_permille *
						  pair->doubt_permille,
					  DRIFT_VARIANCE, PRIOR_VARIANCE));
}

void pressure_pair(const struct pressure *pressure, uint32_t serving,
		   uint32_t filler, struct pressure_pair *pair)
{
	const struct weight *weight;

	memset(pair, 0, sizeof(*pair));
	TEXT_SET(pair->serving, pressure->names->pdata[serving]);
	TEXT_SET(pair->filler, pressure->names->pdata[filler]);
	pair->weight_permille =
		(uint32_t)weight_permille(pressure, serving, filler);
	weight = weight_find(pressure, serving, filler);
	pair->doubt_permille = weight ? weight->deviation_permille :
					PRIOR_DEVIATION_PERMILLE;
}

static bool has_changed(const struct weight *weight)
{
	int64_t change = ABS(weight->permille - weight->reported_permille);

	return change > NEGLIGIBLE_PERMILLE &&
	       change > weight->reported_permille / 4;
}

static void collect_changed_row(struct pressure *pressure, uint32_t serving,
				GArray *pairs, uint32_t max)
{
	const GPtrArray *row = pressure->weights->pdata[serving];

	for (uint32_t filler = 0; row && filler < row->len; filler++) {
		struct weight *weight = row->pdata[filler];
		struct pressure_pair pair;

		if (pairs->len >= max || !weight || !has_changed(weight))
			continue;
		weight->reported_permille = weight->permille;
		pressure_pair(pressure, serving, filler, &pair);
		g_array_append_val(pairs, pair);
	}
}

void pressure_collect_changed(struct pressure *pressure, GArray *pairs,
			      uint32_t max)
{
	for (uint32_t serving = 0; serving < pressure->weights->len; serving++)
		collect_changed_row(pressure, serving, pairs, max);
}
