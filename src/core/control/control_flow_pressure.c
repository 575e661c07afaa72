#include <string.h>

#include "control_flow_impl.h"
#include "pace.h"

/*
 * Between reports, placement and grants: which fillers work beside which
 * serving tasks, and how fast they may.
 */

#define MAX_IMAGES_SEEN 32 /* on one VM; more are left out */

/* What a filler would add to the work done on a VM, as worked out last. */
struct flow_gain {
	uint32_t image;
	uint32_t cpu_millis;
	uint32_t gain_permille;
};

bool control_flow_serves(const struct flow_soft *soft)
{
	return soft->step->target_ms && !soft->step->filler;
}

static uint32_t vm_share(const struct flow_vm *vm, uint32_t cpu_millis)
{
	return (uint32_t)(cpu_millis * 1000ull / MAX(vm->worker.cpu_millis, 1));
}

/* ---- learning ---- */

/* Fillers with the processors that they used while the figures were taken. */
static GArray *vm_working(const struct flow_vm *vm)
{
	GArray *fillers =
		g_array_new(FALSE, FALSE, sizeof(struct pressure_filler));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;
		struct pressure_filler filler = { .image = soft->image };

		if (!soft->step->filler || !soft->on || !soft->figure)
			continue;
		filler.share_permille = vm_share(vm, soft->figure);
		g_array_append_val(fillers, filler);
	}
	return fillers;
}

/* A number that changes with the figures. */
static uint64_t working_mark(const GArray *working)
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

void control_flow_learn(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	GArray *working = vm_working(vm);
	uint64_t mark = working_mark(working);
	GHashTableIter iter;
	void *key;

	control_flow_vm_changed(flows, vm);
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_soft *soft = key;
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

		if (!control_flow_serves(soft) || !soft->on || !soft->figure ||
		    soft->percent != 100 || soft->sample_mark == seen ||
		    now_us - soft->on_us < FLOW_FIGURE_WARM_MS * 1000ull)
			continue;
		/* Reports come more often than figures change. */
		soft->sample_mark = seen;
		pressure_learn(flows->pressure, &sample);
	}
	g_array_unref(working);
}

static gboolean recall_pair(gpointer key, gpointer value, gpointer data)
{
	pressure_restore(data, value);
	return FALSE;
}

void control_flow_recall(struct control_flow *flows)
{
	g_tree_foreach(flows->control->state->pressures, recall_pair,
		       flows->pressure);
}

void control_flow_save(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;
	struct cmd_pressure cmd = { 0 };
	GArray *pairs;

	if (now_us - flows->pressure_us < FLOW_PRESSURE_SAVE_MS * 1000ull)
		return;
	flows->pressure_us = now_us;
	pairs = g_array_new(FALSE, FALSE, sizeof(struct pressure_pair));
	pressure_moved(flows->pressure, pairs, FLOW_PRESSURE_SAVE_MAX);
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
static uint32_t weight_step(uint32_t permille)
{
	uint32_t bits = (uint32_t)g_bit_storage(permille);
	uint32_t drop = bits > 4 ? bits - 4 : 0;

	return permille >> drop << drop;
}

GArray *control_flow_pairs(struct control_flow *flows, struct flow_vm *vm)
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
		const struct flow_soft *soft = key;

		if (control_flow_serves(soft))
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
				(weight_step(pair.weight_permille +
					     pair.doubt_permille / 2) +
				 1) *
				1000003;
			g_array_append_val(pairs, pair);
		}
	if (mark == vm->pairs_mark &&
	    now_us - vm->pairs_us < FLOW_PAIRS_REPEAT_MS * 1000ull)
		g_array_set_size(pairs, 0);
	if (!pairs->len)
		return pairs;
	vm->pairs_mark = mark;
	vm->pairs_us = now_us;
	return pairs;
}

/* ---- what placement is told ---- */

static GArray *vm_servings(const struct control_flow *flows,
			   const struct flow_vm *vm)
{
	GArray *servings =
		g_array_new(FALSE, FALSE, sizeof(struct pace_serving));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;
		struct pace_serving serving = { .image = soft->image };

		if (!control_flow_serves(soft))
			continue;
		serving.room_permille = pace_room(
			pressure_load(flows->pressure, soft->flow->record.id));
		g_array_append_val(servings, serving);
	}
	return servings;
}

static GArray *vm_fillers(const struct flow_vm *vm)
{
	GArray *fillers = g_array_new(FALSE, FALSE, sizeof(struct pace_filler));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;
		struct pace_filler filler = { .image = soft->image };

		if (!soft->step->filler || soft->stopping)
			continue;
		filler.share_permille = vm_share(vm, soft->step->cpu_millis);
		g_array_append_val(fillers, filler);
	}
	return fillers;
}

/* Share of the VM's processors at which its fillers can work. */
static uint64_t vm_filler_work(const struct control_flow *flows,
			       const struct flow_vm *vm, const GArray *servings,
			       GArray *fillers)
{
	GArray *rooms = g_array_copy((GArray *)servings);
	uint64_t work = 0;

	pace_share(flows->pressure, (struct pace_serving *)(void *)rooms->data,
		   rooms->len, (struct pace_filler *)(void *)fillers->data,
		   fillers->len);
	for (guint i = 0; i < fillers->len; i++) {
		const struct pace_filler *filler =
			&g_array_index(fillers, struct pace_filler, i);

		work += (uint64_t)filler->share_permille *
			filler->pace_permille / 1000;
	}
	g_array_unref(rooms);
	return MIN(work, vm_share(vm, control_flow_unused_cpu(vm)));
}

static uint32_t vm_gain(const struct control_flow *flows,
			const struct flow_vm *vm, uint32_t image,
			uint32_t cpu_millis)
{
	struct pace_filler filler = { .image = image };
	GArray *servings = vm_servings(flows, vm);
	GArray *fillers = vm_fillers(vm);
	uint64_t before = vm_filler_work(flows, vm, servings, fillers);
	uint64_t after;

	filler.share_permille = MAX(vm_share(vm, cpu_millis), 1);
	g_array_append_val(fillers, filler);
	after = vm_filler_work(flows, vm, servings, fillers);
	g_array_unref(servings);
	g_array_unref(fillers);
	return after > before ? (uint32_t)((after - before) * 1000 /
					   filler.share_permille) :
				0;
}

uint32_t control_flow_gain(struct control_flow *flows, struct flow_vm *vm,
			   const struct flow_step *step)
{
	struct flow_gain gain = {
		.image = pressure_image(flows->pressure, step->image),
		.cpu_millis = step->cpu_millis,
	};

	if (!vm->gains)
		vm->gains = g_array_new(FALSE, FALSE, sizeof(gain));
	if (vm->gains_stale)
		g_array_set_size(vm->gains, 0);
	vm->gains_stale = false;
	for (guint i = 0; i < vm->gains->len; i++) {
		const struct flow_gain *known =
			&g_array_index(vm->gains, struct flow_gain, i);

		if (known->image == gain.image &&
		    known->cpu_millis == gain.cpu_millis)
			return known->gain_permille;
	}
	gain.gain_permille = vm_gain(flows, vm, gain.image, gain.cpu_millis);
	g_array_append_val(vm->gains, gain);
	return gain.gain_permille;
}

uint32_t control_flow_other_images(const struct flow_vm *vm, uint32_t image)
{
	uint32_t seen[MAX_IMAGES_SEEN];
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;

		if (control_flow_serves(soft) && soft->image != image)
			image_add(seen, &nr, soft->image);
	}
	return nr;
}
