#include "control_flow_impl.h"

/*
 * Grouping of serving tasks, which have a target for their tail latency. A
 * filler, which uses idle processors, can use a VM if it slows down none of the
 * VM's serving tasks. So serving tasks that are sensitive to the same fillers
 * are grouped on the same VMs: new serving tasks are placed where fillers lose
 * the least capacity, and some are moved once it is known which fillers slow
 * them down.
 */

/*
 * Sets @a max_weights to the highest weight of each known filler image on any
 * serving task of the VM. Tasks of the image @a without are left out; NULL:
 * none are.
 */
static void vm_max_weights(const struct control_flow *flows,
			   const struct flow_vm *vm, const uint32_t *without,
			   uint32_t *max_weights)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	GHashTableIter iter;
	void *key;

	for (guint i = 0; i < fillers->len; i++)
		max_weights[i] = 0;
	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		if (!control_flow_is_serving(placed) || placed->stopping ||
		    (without && placed->image == *without))
			continue;
		for (guint i = 0; i < fillers->len; i++)
			max_weights[i] = MAX(
				max_weights[i],
				pressure_learned_weight(
					flows->pressure, placed->image,
					g_array_index(fillers, uint32_t, i)));
	}
}

/*
 * Returns the estimated speed at which a filler may run next to a serving task
 * on which it has the weight, in permille of its full speed.
 */
static uint32_t filler_rate_permille(uint32_t weight)
{
	return 1000 * GROUP_HALVING_WEIGHT_PERMILLE /
	       (GROUP_HALVING_WEIGHT_PERMILLE + weight);
}

/*
 * Returns how much processor capacity of the VM, in millis, a task of the image
 * takes from fillers beyond what tasks with @a max_weights take, averaged over
 * all known fillers.
 */
static uint64_t filler_loss_millis(const struct control_flow *flows,
				   const struct flow_vm *vm,
				   const uint32_t *max_weights, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	uint64_t lost = 0;

	for (guint i = 0; i < fillers->len; i++) {
		uint32_t weight = pressure_learned_weight(
			flows->pressure, image,
			g_array_index(fillers, uint32_t, i));

		if (weight > max_weights[i])
			lost += filler_rate_permille(max_weights[i]) -
				filler_rate_permille(weight);
	}
	return lost * vm->worker.cpu_millis / 1000 / MAX(fillers->len, 1);
}

uint64_t control_flow_filler_loss(const struct control_flow *flows,
				  const struct flow_vm *vm, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	uint32_t *max_weights = g_new0(uint32_t, fillers->len + 1);
	uint64_t lost;

	vm_max_weights(flows, vm, NULL, max_weights);
	lost = filler_loss_millis(flows, vm, max_weights, image);
	g_free(max_weights);
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

/* Maximum number of serving images evaluated on one VM; others are ignored. */
#define GROUP_IMAGES_MAX 32

bool control_flow_step_is_settled(const struct control_flow *flows,
				  const struct flow_placement *placed)
{
	const struct state_flow *flow = placed->flow;
	uint32_t step = state_flow_step(flow, placed->task);
	uint64_t now_us = flows->control->node->now_us;

	for (uint32_t i = 0; i < flow->record.nr_tasks; i++) {
		const struct flow_placement *other;

		if (state_flow_step(flow, i) != step)
			continue;
		other = control_flow_placement(flows, flow, i);
		if (!other || !other->listed || other->stopping ||
		    other->ending || other->percent != 100 ||
		    now_us - other->listed_us < GROUP_SETTLE_MS * 1000ull ||
		    !control_flow_vm_keeps_runs(flows, other->vm) ||
		    !control_flow_is_current_incarnation(other))
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
		const struct flow_placement *placed = key;

		nr += control_flow_is_serving(placed) && placed->image == image;
	}
	return nr;
}

/*
 * Returns how much processor capacity of the VM, in millis, fillers would gain
 * if all tasks of the image left the VM, divided by the number of these tasks.
 */
static uint64_t filler_loss_per_task(const struct control_flow *flows,
				     const struct flow_vm *vm, uint32_t image)
{
	const GArray *fillers = pressure_fillers(flows->pressure);
	uint32_t *max_weights = g_new0(uint32_t, fillers->len + 1);
	uint32_t nr = image_count(vm, image);
	uint64_t lost;

	vm_max_weights(flows, vm, &image, max_weights);
	lost = filler_loss_millis(flows, vm, max_weights, image);
	g_free(max_weights);
	return nr ? lost / nr : 0;
}

/*
 * Returns a task of the image that may be moved off the VM, NULL if there is
 * none.
 */
static struct flow_placement *vm_find_movable(const struct control_flow *flows,
					      const struct flow_vm *vm,
					      uint32_t image)
{
	uint64_t now_us = flows->control->node->now_us;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *placed = key;

		if (placed->image == image && control_flow_is_serving(placed) &&
		    placed->listed && !placed->stopping && !placed->ending &&
		    placed->step->lasting &&
		    (!placed->no_better_vm_us ||
		     now_us - placed->no_better_vm_us >=
			     GROUP_RETRY_MS * 1000ull) &&
		    control_flow_step_is_settled(flows, placed))
			return placed;
	}
	return NULL;
}

/* Excludes the image's tasks on the VM from moves for a while. */
static void vm_delay_moves(const struct control_flow *flows,
			   const struct flow_vm *vm, uint32_t image)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *placed = key;

		if (placed->image == image)
			placed->no_better_vm_us = flows->control->node->now_us;
	}
}

/* A task that may be moved, and how much its move would gain. */
struct group_candidate {
	struct flow_placement *placed; /* NULL: none */
	uint64_t gain_cpu_millis;
	uint32_t nr_images; /* number of serving images on its VM */
};

/*
 * Replaces the candidate by a task of this VM if moving that task may gain
 * more, or as much and this VM has more serving images.
 */
static void vm_update_candidate(const struct control_flow *flows,
				const struct flow_vm *vm,
				struct group_candidate *best)
{
	uint32_t images[GROUP_IMAGES_MAX];
	uint32_t nr = control_flow_serving_images(vm, images, GROUP_IMAGES_MAX);
	uint64_t min_gain_millis = (uint64_t)vm->worker.cpu_millis *
				   GROUP_GAIN_MIN_PERMILLE / 1000;

	for (uint32_t i = 0; i < nr; i++) {
		uint64_t gain_cpu_millis =
			filler_loss_per_task(flows, vm, images[i]);
		struct flow_placement *placed;

		if (gain_cpu_millis <= min_gain_millis ||
		    gain_cpu_millis < best->gain_cpu_millis ||
		    (gain_cpu_millis == best->gain_cpu_millis &&
		     nr <= best->nr_images))
			continue;
		placed = vm_find_movable(flows, vm, images[i]);
		if (placed)
			*best = (struct group_candidate){ placed,
							  gain_cpu_millis, nr };
	}
}

/*
 * Returns a task whose move gains enough capacity for fillers, and sets the
 * verdict on its stop; NULL if there is none. All VMs are evaluated only for
 * the candidate with the highest possible gain: doing this for all tasks would
 * take longer than a leader may go without sending heartbeats. The candidate is
 * then excluded for a while, so that other candidates are evaluated next.
 */
static struct flow_placement *best_move(struct control_flow *flows,
					struct stop_verdict *verdict)
{
	struct group_candidate best = { 0 };
	struct stop_serving serving = { 0 };
	struct flow_vm *from;
	struct flow_vm *to;
	uint64_t min_gain_millis;
	uint64_t lost_millis;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		vm_update_candidate(flows, value, &best);
	if (!best.placed)
		return NULL;
	from = best.placed->vm;
	vm_delay_moves(flows, from, best.placed->image);
	min_gain_millis = (uint64_t)from->worker.cpu_millis *
			  GROUP_GAIN_MIN_PERMILLE / 1000;
	to = control_flow_other_vm(flows, best.placed);
	if (!to)
		return NULL;
	lost_millis = control_flow_filler_loss(flows, to, best.placed->image);
	if (best.gain_cpu_millis <= lost_millis + min_gain_millis)
		return NULL;
	serving.cpu_millis = best.placed->step->cpu_millis;
	serving.gain_cpu_millis = best.gain_cpu_millis - lost_millis;
	*verdict = flows->policy->serving_stop(
		&serving, &flows->control->opts.load_limits);
	return verdict->pays ? best.placed : NULL;
}

void control_flow_group_serving(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;
	struct stop_verdict verdict = { 0 };
	struct flow_placement *placed;

	if (now_us - flows->group_checked_us < GROUP_MOVE_INTERVAL_MS * 1000ull)
		return;
	flows->group_checked_us = now_us;
	placed = NULL;
	for (uint32_t i = 0; i < GROUP_TASKS_PER_ROUND && !placed; i++)
		placed = best_move(flows, &verdict);
	if (!placed)
		return;
	counter_add(flows->control->node->counters, "runs_grouped", 1);
	control_flow_preempt(flows, placed, "other neighbours", &verdict);
}
