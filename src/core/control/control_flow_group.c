#include "control_flow_impl.h"

/*
 * Serving tasks that the same fillers press belong on the same VMs: a VM is
 * open to the fillers that press none of its tasks. New tasks go where they
 * close least, and a few are moved once it is known which fillers press them.
 */

/* Weights of the fillers on the VM's most sensitive tasks, by filler. */
static void vm_max_weights(const struct control_flow *flows,
			   const struct flow_vm *vm, const uint32_t *without,
			   uint32_t *worst)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	GHashTableIter iter;
	void *key;

	for (guint i = 0; i < fillers->len; i++)
		worst[i] = 0;
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		if (!control_flow_is_serving(soft) || soft->stopping ||
		    (without && soft->image == *without))
			continue;
		for (guint i = 0; i < fillers->len; i++)
			worst[i] = MAX(
				worst[i],
				pressure_learned_weight(
					flows->pressure, soft->image,
					g_array_index(fillers, uint32_t, i)));
	}
}

/* How far a weight lets a filler work, in permille. */
static uint32_t filler_rate_permille(uint32_t weight)
{
	return 1000 * GROUP_HALVING_WEIGHT_PERMILLE /
	       (GROUP_HALVING_WEIGHT_PERMILLE + weight);
}

/* How far the VM would be closed to fillers by a task of the image. */
static uint64_t filler_loss_millis(const struct control_flow *flows,
				   const struct flow_vm *vm,
				   const uint32_t *worst, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	uint64_t lost = 0;

	for (guint i = 0; i < fillers->len; i++) {
		uint32_t weight = pressure_learned_weight(
			flows->pressure, image,
			g_array_index(fillers, uint32_t, i));

		if (weight > worst[i])
			lost += filler_rate_permille(worst[i]) -
				filler_rate_permille(weight);
	}
	return lost * vm->worker.cpu_millis / 1000 / MAX(fillers->len, 1);
}

uint64_t control_flow_filler_loss(const struct control_flow *flows,
				  const struct flow_vm *vm, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	uint32_t *worst = g_new0(uint32_t, fillers->len + 1);
	uint64_t lost;

	vm_max_weights(flows, vm, NULL, worst);
	lost = filler_loss_millis(flows, vm, worst, image);
	g_free(worst);
	return lost;
}

bool control_flow_knows_image(const struct control_flow *flows, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);

	for (guint i = 0; i < fillers->len; i++)
		if (pressure_learned_weight(flows->pressure, image,
					    g_array_index(fillers, uint32_t,
							  i)))
			return true;
	return false;
}

/* ---- moves ---- */

#define GROUP_IMAGES_MAX 32 /* serving images on one VM; more are left out */

/* Returns true if all tasks of the run's step are at work, and were lately. */
static bool step_is_settled(const struct control_flow *flows,
			    const struct flow_placement *soft)
{
	const struct state_flow *flow = soft->flow;
	uint32_t step = state_flow_step(flow, soft->task);
	uint64_t now_us = flows->control->node->now_us;

	for (uint32_t i = 0; i < flow->record.nr_tasks; i++) {
		const struct flow_placement *other;

		if (state_flow_step(flow, i) != step)
			continue;
		other = control_flow_placement(flows, flow, i);
		if (!other || !other->on || other->stopping || other->ending ||
		    other->percent != 100 ||
		    now_us - other->listed_us < GROUP_SETTLE_MS * 1000ull)
			return false;
	}
	return true;
}

static uint32_t image_count(const struct flow_vm *vm, uint32_t image)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		nr += control_flow_is_serving(soft) && soft->image == image;
	}
	return nr;
}

/* What each task of the image keeps closed on its VM. */
static uint64_t filler_loss_per_task(const struct control_flow *flows,
				     const struct flow_vm *vm, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	uint32_t *worst = g_new0(uint32_t, fillers->len + 1);
	uint32_t nr = image_count(vm, image);
	uint64_t lost;

	vm_max_weights(flows, vm, &image, worst);
	lost = filler_loss_millis(flows, vm, worst, image);
	g_free(worst);
	return nr ? lost / nr : 0;
}

/* Returns a task of the image that may be moved from the VM, NULL if none. */
static struct flow_placement *vm_find_movable(const struct control_flow *flows,
					      const struct flow_vm *vm,
					      uint32_t image)
{
	uint64_t now_us = flows->control->node->now_us;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *soft = key;

		if (soft->image == image && control_flow_is_serving(soft) &&
		    soft->on && !soft->stopping && !soft->ending &&
		    soft->step->lasting &&
		    (!soft->no_better_vm_us ||
		     now_us - soft->no_better_vm_us >=
			     GROUP_RETRY_MS * 1000ull) &&
		    step_is_settled(flows, soft))
			return soft;
	}
	return NULL;
}

/* Leaves the image's tasks on the VM alone for a while. */
static void vm_delay_moves(const struct control_flow *flows,
			   const struct flow_vm *vm, uint32_t image)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *soft = key;

		if (soft->image == image)
			soft->no_better_vm_us = flows->control->node->now_us;
	}
}

/* A task that may be moved, and what speaks for it. */
struct group_candidate {
	struct flow_placement *soft; /* NULL: none */
	uint64_t gain_cpu_millis;
	uint32_t nr_images; /* serving images on its VM */
};

/* Takes a task of the VM if its move may open more, or as much and the VM is
 * more mixed. */
static void vm_update_candidate(const struct control_flow *flows,
				const struct flow_vm *vm,
				struct group_candidate *best)
{
	uint32_t images[GROUP_IMAGES_MAX];
	uint32_t nr = control_flow_serving_images(vm, images, GROUP_IMAGES_MAX);
	uint64_t least = (uint64_t)vm->worker.cpu_millis *
			 GROUP_GAIN_MIN_PERMILLE / 1000;

	for (uint32_t i = 0; i < nr; i++) {
		uint64_t gain_cpu_millis =
			filler_loss_per_task(flows, vm, images[i]);
		struct flow_placement *soft;

		if (gain_cpu_millis <= least ||
		    gain_cpu_millis < best->gain_cpu_millis ||
		    (gain_cpu_millis == best->gain_cpu_millis &&
		     nr <= best->nr_images))
			continue;
		soft = vm_find_movable(flows, vm, images[i]);
		if (soft)
			*best = (struct group_candidate){ soft, gain_cpu_millis,
							  nr };
	}
}

/*
 * Finds a task whose move opens much; NULL if there is none. Only the one that
 * keeps most closed is held against all VMs, as a look at all tasks takes
 * longer than a leader may be silent. One that finds no better place is left
 * alone for a while, so that the next ones get their turn.
 */
static struct flow_placement *best_move(struct control_flow *flows)
{
	struct group_candidate best = { 0 };
	struct flow_vm *from;
	struct flow_vm *to;
	uint64_t least;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		vm_update_candidate(flows, value, &best);
	if (!best.soft)
		return NULL;
	from = best.soft->vm;
	vm_delay_moves(flows, from, best.soft->image);
	least = (uint64_t)from->worker.cpu_millis * GROUP_GAIN_MIN_PERMILLE /
		1000;
	to = control_flow_other_vm(flows, best.soft);
	if (!to ||
	    best.gain_cpu_millis <=
		    control_flow_filler_loss(flows, to, best.soft->image) +
			    least)
		return NULL;
	return best.soft;
}

void control_flow_group_serving(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;
	struct flow_placement *soft;

	if (now_us - flows->group_checked_us < GROUP_MOVE_INTERVAL_MS * 1000ull)
		return;
	flows->group_checked_us = now_us;
	soft = NULL;
	for (uint32_t i = 0; i < GROUP_TASKS_PER_ROUND && !soft; i++)
		soft = best_move(flows);
	if (!soft)
		return;
	counter_add(flows->control->node->counters, "runs_grouped", 1);
	control_flow_order_stop(flows, soft, "other neighbours");
}
