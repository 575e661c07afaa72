#include <string.h>

#include "control_flow_impl.h"
#include "pace.h"

/*
 * Between reports, placement and grants: which fillers work beside which
 * serving tasks, and how fast they may.
 */

#define MAX_IMAGES_SEEN 32 /* on one VM; more are left out */

/* Shares of a VM are told apart in steps of this, upwards. */
#define GAIN_STEP_PERMILLE 25

/*
 * What fillers find on a VM, worked out when placement asks first after a
 * change.
 */
struct flow_room {
	GArray *servings; /* struct pace_serving, one for each image */
	GArray *fillers; /* struct pace_filler, and a free place */
	uint64_t work_permille; /* share of the processors that fillers use */
	uint64_t unused_permille; /* share that they may use */
	GArray *gains; /* struct flow_gain */
};

/* What one more filler would add to the work done on the VM. */
struct flow_gain {
	uint32_t image;
	uint32_t share_permille; /* in steps of GAIN_STEP_PERMILLE */
	uint32_t gain_permille;
};

bool control_flow_is_serving(const struct flow_placement *soft)
{
	return soft->step->target_ms && !soft->step->filler;
}

static uint32_t vm_share(const struct flow_vm *vm, uint32_t cpu_millis)
{
	return (uint32_t)(cpu_millis * 1000ull / MAX(vm->worker.cpu_millis, 1));
}

/* ---- learning ---- */

/* Fillers with the processors that they used while the figures were taken. */
static GArray *vm_running_fillers(const struct flow_vm *vm)
{
	GArray *fillers =
		g_array_new(FALSE, FALSE, sizeof(struct pressure_filler));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;
		struct pressure_filler filler = { .image = soft->image };

		if (!soft->step->filler || !soft->on || !soft->figure)
			continue;
		filler.share_permille = vm_share(vm, soft->figure);
		g_array_append_val(fillers, filler);
	}
	return fillers;
}

/* A number that changes with the figures. */
static uint64_t fillers_hash(const GArray *working)
{
	uint64_t mark = 1;

	for (guint i = 0; i < working->len; i++) {
		const struct pressure_filler *filler =
			&g_array_index(working, struct pressure_filler, i);

		mark += ((uint64_t)filler->image + 1) * 1000003 *
			(filler->share_permille + 1);
	}
	return mark;
}

void control_flow_learn_weights(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GArray *working = vm_running_fillers(vm);
	uint64_t mark = fillers_hash(working);
	GHashTableIter iter;
	void *key;

	control_flow_vm_changed(flows, vm);
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *soft = key;
		uint64_t seen = mark * 31 + soft->figure;
		struct pressure_sample sample = {
			.workflow = soft->flow->record.id,
			.image = soft->image,
			.tail_ms = soft->figure,
			.target_ms = soft->step->target_ms,
			.fillers =
				(struct pressure_filler *)(void *)working->data,
			.nr_fillers = working->len,
			.now_us = now_us,
		};

		if (!control_flow_is_serving(soft) || !soft->on ||
		    !soft->figure || soft->percent != 100 ||
		    soft->sample_hash == seen ||
		    now_us - soft->listed_us <
			    FLOW_MEASUREMENT_WARMUP_MS * 1000ull)
			continue;
		/* Reports come more often than figures change. */
		soft->sample_hash = seen;
		pressure_learn(flows->pressure, &sample);
	}
	g_array_unref(working);
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
	/* One that isn't committed is lost until the weight moves again. */
	if (pairs->len)
		control_propose(flows->control, CMD_PRESSURE, &cmd, NULL);
	g_array_unref(pairs);
}

/* ---- what agents are told ---- */

static void image_add(uint32_t *images, uint32_t *nr, uint32_t image)
{
	for (uint32_t i = 0; i < *nr; i++)
		if (images[i] == image)
			return;
	if (*nr < MAX_IMAGES_SEEN)
		images[(*nr)++] = image;
}

/* Weights in steps of an eighth, so that small changes aren't told. */
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
	uint64_t mark = vm->node_id;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		if (control_flow_is_serving(soft))
			image_add(serving, &nr_serving, soft->image);
		else if (soft->step->filler)
			image_add(fillers, &nr_fillers, soft->image);
	}
	for (uint32_t i = 0; i < nr_serving; i++)
		for (uint32_t j = 0; j < nr_fillers; j++) {
			struct pressure_pair pair;

			pressure_pair(flows->pressure, serving[i], fillers[j],
				      &pair);
			mark += ((uint64_t)serving[i] * 4099 + fillers[j] + 1) *
				(round_weight(pair.weight_permille +
					      pair.doubt_permille / 2) +
				 1) *
				1000003;
			g_array_append_val(pairs, pair);
		}
	if (mark == vm->pairs_hash &&
	    now_us - vm->pairs_sent_us < FLOW_PAIRS_REPEAT_MS * 1000ull)
		g_array_set_size(pairs, 0);
	if (!pairs->len)
		return pairs;
	vm->pairs_hash = mark;
	vm->pairs_sent_us = now_us;
	return pairs;
}

/* ---- what placement is told ---- */

/* Of an image's tasks the one with the least room decides. */
static void room_add_serving(GArray *servings, uint32_t image,
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

/* Share of the VM's processors at which the first @a nr fillers can work. */
static uint64_t room_work(const struct control_flow *flows,
			  const struct flow_room *room, guint nr)
{
	struct pace_filler *fillers =
		(struct pace_filler *)(void *)room->fillers->data;
	struct pace_serving servings[MAX_IMAGES_SEEN];
	uint32_t nr_servings = MIN(room->servings->len, MAX_IMAGES_SEEN);
	uint64_t work = 0;

	memcpy(servings, room->servings->data, nr_servings * sizeof(*servings));
	pace_allocate(flows->pressure, servings, nr_servings, fillers, nr);
	for (guint i = 0; i < nr; i++)
		work += (uint64_t)fillers[i].share_permille *
			fillers[i].pace_permille / 1000;
	return MIN(work, room->unused_permille);
}

/*
 * Adds a run that isn't a filler; returns the processors that it leaves to no
 * filler. A serving task uses its share by its load, which swings; nothing is
 * known of the others.
 */
static uint64_t room_add_other(const struct control_flow *flows,
			       struct flow_room *room,
			       const struct flow_placement *soft)
{
	uint32_t load_permille;

	if (!control_flow_is_serving(soft))
		return soft->step->cpu_millis;
	load_permille = pressure_load(flows->pressure, soft->flow->record.id);
	room_add_serving(room->servings, soft->image,
			 pace_headroom(load_permille));
	return (uint64_t)soft->step->cpu_millis * load_permille / 1000;
}

static struct flow_room *room_new(const struct control_flow *flows,
				  const struct flow_vm *vm)
{
	struct flow_room *room = g_new0(struct flow_room, 1);
	uint64_t used_millis = 0;
	GHashTableIter iter;
	void *key;

	room->servings = g_array_new(FALSE, FALSE, sizeof(struct pace_serving));
	room->fillers = g_array_new(FALSE, FALSE, sizeof(struct pace_filler));
	room->gains = g_array_new(FALSE, FALSE, sizeof(struct flow_gain));
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;
		struct pace_filler filler = { .image = soft->image };

		if (!soft->step->filler) {
			used_millis += room_add_other(flows, room, soft);
			continue;
		}
		if (soft->stopping)
			continue;
		filler.share_permille = vm_share(vm, soft->step->cpu_millis);
		g_array_append_val(room->fillers, filler);
	}
	used_millis = MIN(used_millis, vm->worker.cpu_millis);
	room->unused_permille =
		vm_share(vm, vm->worker.cpu_millis - (uint32_t)used_millis);
	room->work_permille = room_work(flows, room, room->fillers->len);
	g_array_set_size(room->fillers, room->fillers->len + 1);
	return room;
}

void control_flow_room_free(struct flow_room *room)
{
	if (!room)
		return;
	g_array_unref(room->servings);
	g_array_unref(room->fillers);
	g_array_unref(room->gains);
	g_free(room);
}

static uint32_t room_gain(const struct control_flow *flows,
			  struct flow_room *room, const struct flow_gain *gain)
{
	guint last = room->fillers->len - 1;
	uint64_t work;

	g_array_index(room->fillers, struct pace_filler, last) =
		(struct pace_filler){ .image = gain->image,
				      .share_permille = gain->share_permille };
	work = room_work(flows, room, last + 1);
	return work > room->work_permille ?
		       (uint32_t)((work - room->work_permille) * 1000 /
				  gain->share_permille) :
		       0;
}

uint32_t control_flow_gain(struct control_flow *flows, struct flow_vm *vm,
			   const struct flow_step *step)
{
	uint32_t share_permille = vm_share(vm, step->cpu_millis);
	struct flow_gain gain = { 0 };
	struct flow_room *room;
	uint64_t most;

	if (vm->gains_stale)
		g_clear_pointer(&vm->room, control_flow_room_free);
	vm->gains_stale = false;
	if (!vm->room)
		vm->room = room_new(flows, vm);
	room = vm->room;
	gain.image = pressure_image(flows->pressure, step->image);
	gain.share_permille = MAX(share_permille + GAIN_STEP_PERMILLE - 1,
				  GAIN_STEP_PERMILLE) /
			      GAIN_STEP_PERMILLE * GAIN_STEP_PERMILLE;
	/* A VM whose processors are in use needs no closer look. */
	most = (room->unused_permille - room->work_permille) * 1000 /
	       gain.share_permille;
	if (most < FLOW_FILLER_MIN_GAIN_PERMILLE)
		return (uint32_t)most;
	for (guint i = 0; i < room->gains->len; i++) {
		const struct flow_gain *known =
			&g_array_index(room->gains, struct flow_gain, i);

		if (known->image == gain.image &&
		    known->share_permille == gain.share_permille)
			return known->gain_permille;
	}
	counter_add(flows->control->node->counters, "gains_computed", 1);
	gain.gain_permille = room_gain(flows, room, &gain);
	g_array_append_val(room->gains, gain);
	return gain.gain_permille;
}

uint32_t control_flow_serving_images(const struct flow_vm *vm, uint32_t *images,
				     uint32_t max)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (nr < max && g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		if (control_flow_is_serving(soft))
			image_add(images, &nr, soft->image);
	}
	return nr;
}

uint32_t control_flow_other_images(const struct flow_vm *vm, uint32_t image)
{
	uint32_t seen[MAX_IMAGES_SEEN];
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		if (control_flow_is_serving(soft) && soft->image != image)
			image_add(seen, &nr, soft->image);
	}
	return nr;
}
