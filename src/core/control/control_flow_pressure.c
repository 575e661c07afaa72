#include <string.h>

#include "control_flow_impl.h"
#include "pace.h"

/*
 * Learns from reports how much fillers, best-effort tasks on idle processors,
 * slow down serving tasks, which have a target for their tail latency. These
 * weights are used to place tasks, and are sent to agents with grants, so that
 * agents can throttle fillers. control_flow_impl.h defines the terms.
 */

#define MAX_IMAGES_SEEN 32 /* images on one VM; others are ignored */

/*
 * Shares of a VM are rounded up to multiples of this, so that fillers of
 * similar size use the same cached gain.
 */
#define GAIN_STEP_PERMILLE 25

/*
 * What fillers can use on a VM. Computed when placement first needs it after a
 * change of the VM.
 */
struct filler_capacity {
	GArray *servings; /* struct pace_serving, one for each image */
	/*
	 * struct pace_filler; the last element is set to the filler that is
	 * evaluated.
	 */
	GArray *fillers;
	/* Share of the VM's processors that its present fillers can use. */
	uint64_t work_permille;
	/*
	 * Share of the VM's processors that serving and other tasks leave to
	 * fillers.
	 */
	uint64_t unused_permille;
	GArray *gains; /* struct flow_gain, computed so far */
};

/* How much one more filler would add to the work of fillers on the VM. */
struct flow_gain {
	uint32_t image;
	uint32_t share_permille; /* a multiple of GAIN_STEP_PERMILLE */
	uint32_t gain_permille;
};

bool control_flow_is_serving(const struct flow_placement *placed)
{
	return placed->step->target_ms && !placed->step->filler;
}

static uint32_t vm_share(const struct flow_vm *vm, uint32_t cpu_millis)
{
	return (uint32_t)(cpu_millis * 1000ull / MAX(vm->worker.cpu_millis, 1));
}

/* ---- learning ---- */

/*
 * Returns true if the run's last figure is a measurement of the worker's
 * present incarnation. Runs of a former one stay on the VM until their ends are
 * committed, and the present one may not be described yet.
 */
static bool is_measured(const struct flow_placement *placed)
{
	return placed->listed && placed->figure &&
	       control_flow_is_current_incarnation(placed) &&
	       placed->vm->worker.cpu_millis;
}

/*
 * Returns the fillers on the VM, with their processor use in the last report,
 * to learn weights from.
 */
static GArray *vm_running_fillers(const struct flow_vm *vm)
{
	GArray *fillers =
		g_array_new(FALSE, FALSE, sizeof(struct pressure_filler));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;
		struct pressure_filler filler = { .image = placed->image };

		if (!placed->step->filler || !is_measured(placed))
			continue;
		filler.share_permille = vm_share(vm, placed->figure);
		g_array_append_val(fillers, filler);
	}
	return fillers;
}

uint32_t control_flow_excess_permille(const struct control_flow *flows,
				      const struct flow_placement *filler)
{
	struct pressure_filler used = { .image = filler->image };
	uint32_t worst = 0;
	GHashTableIter iter;
	void *key;

	if (!is_measured(filler))
		return 0;
	used.share_permille = vm_share(filler->vm, filler->figure);
	g_hash_table_iter_init(&iter, filler->vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;
		uint32_t utilization;

		if (!control_flow_is_serving(placed) || !is_measured(placed))
			continue;
		utilization = pressure_utilization(placed->figure,
						   placed->step->target_ms);
		if (utilization <= PACE_SETPOINT_PERMILLE)
			continue;
		worst = MAX(worst,
			    MIN(utilization - PACE_SETPOINT_PERMILLE,
				pressure_added(flows->pressure, placed->image,
					       &used, 1)));
	}
	return worst;
}

/*
 * Returns a hash of the fillers' images and processor use. Weights are learned
 * again only if these or the latency of a serving task have changed.
 */
static uint64_t fillers_hash(const GArray *running)
{
	uint64_t hash = 1;

	for (guint i = 0; i < running->len; i++) {
		const struct pressure_filler *filler =
			&g_array_index(running, struct pressure_filler, i);

		hash += ((uint64_t)filler->image + 1) * 1000003 *
			(filler->share_permille + 1);
	}
	return hash;
}

void control_flow_learn_weights(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GArray *running = vm_running_fillers(vm);
	uint64_t hash = fillers_hash(running);
	GHashTableIter iter;
	void *key;

	control_flow_vm_changed(flows, vm);
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *placed = key;
		uint64_t new_hash = hash * 31 + placed->figure;
		struct pressure_sample sample = {
			.workflow = placed->flow->record.id,
			.image = placed->image,
			.tail_ms = placed->figure,
			.target_ms = placed->step->target_ms,
			.fillers =
				(struct pressure_filler *)(void *)running->data,
			.nr_fillers = running->len,
			.now_us = now_us,
		};

		if (!control_flow_is_serving(placed) || !is_measured(placed) ||
		    placed->percent != 100 || placed->sample_hash == new_hash ||
		    now_us - placed->listed_us <
			    FLOW_MEASUREMENT_WARMUP_MS * 1000ull)
			continue;
		/*
		 * Learns from a measurement once, as reports repeat it until it
		 * changes.
		 */
		placed->sample_hash = new_hash;
		pressure_learn(flows->pressure, &sample);
	}
	g_array_unref(running);
}

static gboolean restore_pair(gpointer key, gpointer value, gpointer data)
{
	pressure_restore(data, value);
	return FALSE;
}

void control_flow_load_weights(struct control_flow *flows)
{
	g_tree_foreach(flows->control->state->pressures, restore_pair,
		       flows->pressure);
}

void control_flow_save_weights(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;
	struct cmd_pressure cmd = { 0 };
	GArray *pairs;

	if (now_us - flows->pressure_saved_us <
	    FLOW_PRESSURE_SAVE_INTERVAL_MS * 1000ull)
		return;
	flows->pressure_saved_us = now_us;
	pairs = g_array_new(FALSE, FALSE, sizeof(struct pressure_pair));
	pressure_collect_changed(flows->pressure, pairs,
				 FLOW_PRESSURE_SAVE_MAX_PAIRS);
	cmd.nr_pairs = pairs->len;
	cmd.pairs = (struct pressure_pair *)(void *)pairs->data;
	/*
	 * If the proposal is lost, a weight is proposed again once it changes
	 * further.
	 */
	if (pairs->len)
		control_propose(flows->control, CMD_PRESSURE, &cmd, NULL);
	g_array_unref(pairs);
}

/* ---- weights for agents ---- */

static void image_add(uint32_t *images, uint32_t *nr, uint32_t image)
{
	for (uint32_t i = 0; i < *nr; i++)
		if (images[i] == image)
			return;
	if (*nr < MAX_IMAGES_SEEN)
		images[(*nr)++] = image;
}

/*
 * Clears all but the four highest bits of a weight, which lowers it by less
 * than an eighth, so that agents aren't sent small changes.
 */
static uint32_t round_weight(uint32_t permille)
{
	uint32_t bits = (uint32_t)g_bit_storage(permille);
	uint32_t drop = bits > 4 ? bits - 4 : 0;

	return permille >> drop << drop;
}

GArray *control_flow_agent_weights(struct control_flow *flows,
				   struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct pressure_pair));
	uint32_t serving[MAX_IMAGES_SEEN];
	uint32_t fillers[MAX_IMAGES_SEEN];
	uint32_t nr_serving = 0;
	uint32_t nr_fillers = 0;
	uint64_t hash = vm->node_id;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		if (control_flow_is_serving(placed))
			image_add(serving, &nr_serving, placed->image);
		else if (placed->step->filler)
			image_add(fillers, &nr_fillers, placed->image);
	}
	for (uint32_t i = 0; i < nr_serving; i++)
		for (uint32_t j = 0; j < nr_fillers; j++) {
			struct pressure_pair pair;

			pressure_pair(flows->pressure, serving[i], fillers[j],
				      &pair);
			hash += ((uint64_t)serving[i] * 4099 + fillers[j] + 1) *
				(round_weight(pair.weight_permille +
					      pair.doubt_permille / 2) +
				 1) *
				1000003;
			g_array_append_val(pairs, pair);
		}
	if (hash == vm->pairs_hash &&
	    now_us - vm->pairs_sent_us < FLOW_PAIRS_REPEAT_MS * 1000ull)
		g_array_set_size(pairs, 0);
	if (!pairs->len)
		return pairs;
	vm->pairs_hash = hash;
	vm->pairs_sent_us = now_us;
	return pairs;
}

/* ---- capacity for placement ---- */

/*
 * Adds a serving task. Of several tasks of an image, the one with the least
 * headroom counts.
 */
static void capacity_add_serving(GArray *servings, uint32_t image,
				 uint32_t headroom_permille)
{
	struct pace_serving serving = { image, headroom_permille };

	for (guint i = 0; i < servings->len; i++) {
		struct pace_serving *known =
			&g_array_index(servings, struct pace_serving, i);

		if (known->image != image)
			continue;
		known->headroom_permille =
			MIN(known->headroom_permille, headroom_permille);
		return;
	}
	g_array_append_val(servings, serving);
}

/*
 * Returns the share of the VM's processors that the first @a nr fillers can
 * use.
 */
static uint64_t capacity_work(const struct control_flow *flows,
			      const struct filler_capacity *capacity, guint nr)
{
	struct pace_filler *fillers =
		(struct pace_filler *)(void *)capacity->fillers->data;
	struct pace_serving servings[MAX_IMAGES_SEEN];
	uint32_t nr_servings = MIN(capacity->servings->len, MAX_IMAGES_SEEN);
	uint64_t work = 0;

	/* The data of an empty array is NULL. */
	if (nr_servings)
		memcpy(servings, capacity->servings->data,
		       nr_servings * sizeof(*servings));
	pace_allocate(flows->pressure, servings, nr_servings, fillers, nr);
	for (guint i = 0; i < nr; i++)
		work += (uint64_t)fillers[i].share_permille *
			fillers[i].pace_permille / 1000;
	return MIN(work, capacity->unused_permille);
}

/*
 * Adds a run that isn't a filler; returns the processors, in millis, that it
 * takes from fillers. Serving tasks are counted by their load, which varies;
 * all others use all that they ask for, as their load isn't known.
 */
static uint64_t capacity_add_other(const struct control_flow *flows,
				   struct filler_capacity *capacity,
				   const struct flow_placement *placed)
{
	uint32_t load_permille;

	if (!control_flow_is_serving(placed))
		return placed->step->cpu_millis;
	load_permille = pressure_load(flows->pressure, placed->flow->record.id);
	capacity_add_serving(capacity->servings, placed->image,
			     pace_headroom(pressure_load_ahead(
				     flows->pressure, placed->flow->record.id,
				     flows->policy->load_ahead_ms,
				     flows->control->node->now_us)));
	return (uint64_t)placed->step->cpu_millis * load_permille / 1000;
}

static struct filler_capacity *capacity_new(const struct control_flow *flows,
					    const struct flow_vm *vm)
{
	struct filler_capacity *capacity = g_new0(struct filler_capacity, 1);
	uint64_t used_millis = 0;
	GHashTableIter iter;
	void *key;

	capacity->servings =
		g_array_new(FALSE, FALSE, sizeof(struct pace_serving));
	capacity->fillers =
		g_array_new(FALSE, FALSE, sizeof(struct pace_filler));
	capacity->gains = g_array_new(FALSE, FALSE, sizeof(struct flow_gain));
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;
		struct pace_filler filler = { .image = placed->image };

		if (!placed->step->filler) {
			used_millis +=
				capacity_add_other(flows, capacity, placed);
			continue;
		}
		if (placed->stopping)
			continue;
		filler.share_permille = vm_share(vm, placed->step->cpu_millis);
		g_array_append_val(capacity->fillers, filler);
	}
	used_millis = MIN(used_millis, vm->worker.cpu_millis);
	capacity->unused_permille =
		vm_share(vm, vm->worker.cpu_millis - (uint32_t)used_millis);
	capacity->work_permille =
		capacity_work(flows, capacity, capacity->fillers->len);
	g_array_set_size(capacity->fillers, capacity->fillers->len + 1);
	return capacity;
}

void control_flow_capacity_free(struct filler_capacity *capacity)
{
	if (!capacity)
		return;
	g_array_unref(capacity->servings);
	g_array_unref(capacity->fillers);
	g_array_unref(capacity->gains);
	g_free(capacity);
}

static uint32_t capacity_gain(const struct control_flow *flows,
			      struct filler_capacity *capacity,
			      const struct flow_gain *gain)
{
	guint last = capacity->fillers->len - 1;
	uint64_t work;

	g_array_index(capacity->fillers, struct pace_filler, last) =
		(struct pace_filler){ .image = gain->image,
				      .share_permille = gain->share_permille };
	work = capacity_work(flows, capacity, last + 1);
	return work > capacity->work_permille ?
		       (uint32_t)((work - capacity->work_permille) * 1000 /
				  gain->share_permille) :
		       0;
}

uint32_t control_flow_gain(struct control_flow *flows, struct flow_vm *vm,
			   const struct flow_step *step, uint32_t min_permille)
{
	uint32_t share_permille = vm_share(vm, step->cpu_millis);
	struct flow_gain gain = { 0 };
	struct filler_capacity *capacity;
	uint64_t bound_permille;

	if (vm->gains_stale)
		g_clear_pointer(&vm->capacity, control_flow_capacity_free);
	vm->gains_stale = false;
	if (!vm->capacity)
		vm->capacity = capacity_new(flows, vm);
	capacity = vm->capacity;
	gain.image = pressure_image(flows->pressure, step->image);
	gain.share_permille = MAX(share_permille + GAIN_STEP_PERMILLE - 1,
				  GAIN_STEP_PERMILLE) /
			      GAIN_STEP_PERMILLE * GAIN_STEP_PERMILLE;
	/* An upper bound below the minimum needs no exact computation. */
	bound_permille = (capacity->unused_permille - capacity->work_permille) *
			 1000 / gain.share_permille;
	if (bound_permille < min_permille)
		return (uint32_t)bound_permille;
	for (guint i = 0; i < capacity->gains->len; i++) {
		const struct flow_gain *known =
			&g_array_index(capacity->gains, struct flow_gain, i);

		if (known->image == gain.image &&
		    known->share_permille == gain.share_permille)
			return known->gain_permille;
	}
	counter_add(flows->control->node->counters, "gains_computed", 1);
	gain.gain_permille = capacity_gain(flows, capacity, &gain);
	g_array_append_val(capacity->gains, gain);
	return gain.gain_permille;
}

uint64_t control_flow_filler_room(struct control_flow *flows,
				  struct flow_vm *vm,
				  const struct flow_step *step)
{
	uint32_t min_permille = flows->policy->min_gain_permille;

	if (control_flow_gain(flows, vm, step, min_permille) < min_permille)
		return 0;
	return (vm->capacity->unused_permille - vm->capacity->work_permille) *
	       vm->worker.cpu_millis / 1000;
}

uint32_t control_flow_serving_images(const struct flow_vm *vm, uint32_t *images,
				     uint32_t max)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (nr < max && g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		if (control_flow_is_serving(placed))
			image_add(images, &nr, placed->image);
	}
	return nr;
}

uint32_t control_flow_other_images(const struct flow_vm *vm, uint32_t image)
{
	uint32_t images[MAX_IMAGES_SEEN];
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		if (control_flow_is_serving(placed) && placed->image != image)
			image_add(images, &nr, placed->image);
	}
	return nr;
}
