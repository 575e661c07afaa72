#include "control_flow_impl.h"

#include <string.h>

/*
 * Between reports and placement: which fillers work beside which serving tasks.
 */

#define MAX_FILLERS 32 /* at work on one VM; more are left out of a sample */

static bool soft_serves(const struct flow_soft *soft)
{
	return soft->step->target_ms && !soft->step->filler;
}

static uint32_t soft_working_millis(const struct flow_soft *soft)
{
	return (uint32_t)((uint64_t)soft->step->cpu_millis * soft->pace / 100);
}

/* A number that changes when other fillers work, or at another pace. */
static uint64_t fillers_mark(const struct flow_vm *vm)
{
	uint64_t mark = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;

		if (soft->step->filler && soft->on)
			mark += (uint64_t)g_str_hash(soft->name) *
				(soft->pace + 1);
	}
	return mark;
}

static uint32_t fillers_of(const struct flow_vm *vm,
			   struct pressure_filler *fillers)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (nr < MAX_FILLERS && g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;

		if (!soft->step->filler || !soft->on ||
		    !soft_working_millis(soft))
			continue;
		fillers[nr].image = soft->step->image;
		fillers[nr++].cpu_millis = soft_working_millis(soft);
	}
	return nr;
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

void control_flow_learn(struct control_flow *flows, struct flow_vm *vm)
{
	uint64_t now_us = flows->control->node->now_us;
	uint64_t mark = fillers_mark(vm);
	struct pressure_filler fillers[MAX_FILLERS];
	uint32_t nr;
	GHashTableIter iter;
	void *key;

	if (mark != vm->fillers_mark) {
		vm->fillers_mark = mark;
		vm->fillers_us = now_us;
	}
	/* Figures are means of a while in which nothing else may change. */
	if (now_us - vm->fillers_us < PACE_EFFECT_MS * 1000ull)
		return;
	nr = fillers_of(vm, fillers);
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;

		if (soft_serves(soft) && soft->on && soft->figure &&
		    soft->percent == 100)
			pressure_sample(flows->pressure, soft->step->image,
					soft->figure * 1000 /
						soft->step->target_ms,
					fillers, nr);
	}
}

/* What fillers that started lately will add to the figures. */
static uint32_t pending_permille(const struct control_flow *flows,
				 const struct flow_vm *vm, const char *serving)
{
	uint64_t now_us = flows->control->node->now_us;
	uint32_t permille = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;
		struct pressure_filler filler = { soft->step->image,
						  soft->step->cpu_millis };

		if (soft->step->filler &&
		    (!soft->on ||
		     now_us - soft->on_us < PACE_EFFECT_MS * 2000ull))
			permille += pressure_predict(flows->pressure, serving,
						     &filler);
	}
	return permille;
}

/* Worst pressure on a serving task, by the filler alone or in all. */
static uint32_t worst_permille(const struct control_flow *flows,
			       const struct flow_vm *vm,
			       const struct flow_step *step, bool in_all)
{
	struct pressure_filler filler = { step->image, step->cpu_millis };
	uint32_t worst = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;
		uint32_t permille;

		if (!soft_serves(soft))
			continue;
		permille = pressure_predict(flows->pressure, soft->step->image,
					    &filler);
		if (in_all)
			permille +=
				soft->figure * 1000 / soft->step->target_ms +
				pending_permille(flows, vm, soft->step->image);
		worst = MAX(worst, permille);
	}
	return worst;
}

uint32_t control_flow_press(const struct control_flow *flows,
			    const struct flow_vm *vm,
			    const struct flow_step *step)
{
	return worst_permille(flows, vm, step, false);
}

uint32_t control_flow_pressure(const struct control_flow *flows,
			       const struct flow_vm *vm,
			       const struct flow_step *step)
{
	return worst_permille(flows, vm, step, true);
}

uint32_t control_flow_other_images(const struct flow_vm *vm,
				   const struct flow_step *step)
{
	const char *seen[MAX_FILLERS];
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (nr < MAX_FILLERS && g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_soft *soft = key;
		const char *image = soft->step->image;
		uint32_t i = 0;

		if (!soft_serves(soft) || !strcmp(image, step->image))
			continue;
		while (i < nr && strcmp(seen[i], image) != 0)
			i++;
		if (i == nr)
			seen[nr++] = image;
	}
	return nr;
}
