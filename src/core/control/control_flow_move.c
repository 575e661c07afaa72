#include "control_flow_impl.h"

/*
 * Fillers, which use idle processors, are throttled so that the serving tasks
 * on their VM meet their targets. Fillers with a low pace are moved to VMs on
 * which they may run faster, if the load policy finds that this pays: the
 * worker takes a checkpoint when it stops a run, but a stop and a start take
 * time, and a step without checkpoints loses its work. A long-running filler
 * whose step limits unavailable tasks is moved only while all tasks of its step
 * are running.
 */

/* Returns true if the run may be stopped to move it to another VM. */
static bool flow_is_movable(const struct control_flow *flows,
			    const struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;

	if (!placed->step->filler || !placed->listed || placed->stopping ||
	    placed->ending || placed->step->gang || !placed->committed)
		return false;
	if (!placed->throttled_since_us ||
	    now_us - placed->throttled_since_us < FLOW_MOVE_AFTER_MS * 1000ull)
		return false;
	if (placed->no_better_vm_us &&
	    now_us - placed->no_better_vm_us < FLOW_MOVE_RETRY_MS * 1000ull)
		return false;
	return !placed->step->lasting || !placed->step->max_unavailable ||
	       control_flow_step_is_settled(flows, placed);
}

/* Describes the run as if another VM would let it run at full speed. */
static struct stop_run flow_stop_run(const struct control_flow *flows,
				     const struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	struct stop_run run = {
		/* A long-running task does no work again. */
		.done_ms = placed->step->lasting ? 0 : placed->full_us / 1000,
		.checkpoints = placed->step->checkpoints,
		.percent = placed->percent,
		.pace_percent = placed->pace,
		.next_pace_percent = 100,
	};

	run.left_ms =
		control_flow_remaining_full_ms(flows, placed, &run.unsure);
	run.excess_permille = control_flow_excess_permille(flows, placed);
	if (placed->halted_since_us)
		run.halted_ms = (now_us - placed->halted_since_us) / 1000;
	return run;
}

static uint64_t flow_low_since_us(uint64_t since_us, uint32_t pace,
				  uint32_t limit, uint64_t now_us)
{
	if (pace > limit)
		return 0;
	return since_us ? since_us : now_us;
}

void control_flow_note_pace(struct control_flow *flows,
			    struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;

	placed->throttled_since_us =
		flow_low_since_us(placed->throttled_since_us, placed->pace,
				  FLOW_MOVE_PACE_PERCENT, now_us);
	placed->halted_since_us =
		flow_low_since_us(placed->halted_since_us, placed->pace,
				  STOP_HALTED_PERCENT, now_us);
}

static void flow_move_filler(struct control_flow *flows,
			     struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	const struct load_limits *limits = &flows->control->opts.load_limits;
	struct stop_run run = flow_stop_run(flows, placed);
	struct stop_verdict verdict = flows->policy->filler_stop(&run, limits);
	struct flow_vm *to;

	/* All VMs are evaluated only for a run that gains at full speed. */
	if (!verdict.pays)
		goto out;
	to = control_flow_other_vm(flows, placed);
	/*
	 * Just after a move, the measurements of its target VM don't show the
	 * moved filler's effect yet.
	 */
	if (!to ||
	    now_us - to->filler_moved_us < FLOW_MOVE_INTERVAL_MS * 1000ull) {
		placed->no_better_vm_us = now_us;
		return;
	}
	run.next_pace_percent =
		MIN(control_flow_gain(flows, to, placed->step,
				      FLOW_FILLER_MIN_GAIN_PERMILLE) /
			    10,
		    100);
	verdict = flows->policy->filler_stop(&run, limits);
	if (!verdict.pays) {
		placed->no_better_vm_us = now_us;
		goto out;
	}
	to->filler_moved_us = now_us;
	counter_add(flows->control->node->counters, "runs_moved", 1);
	g_hash_table_replace(flows->left_vms, g_strdup(placed->name),
			     placed->vm);
	control_flow_preempt(flows, placed, "held back", &verdict);
out:
	if (!verdict.pays)
		counter_add(flows->control->node->counters, "moves_declined",
			    1);
}

void control_flow_move_fillers(struct control_flow *flows, struct flow_vm *vm)
{
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next)
		if (flow_is_movable(flows, item->data))
			flow_move_filler(flows, item->data);
	g_list_free(runs);
}

static bool flow_is_stalled(const struct control_flow *flows,
			    const struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	struct stop_progress progress = {
		.pace_percent = placed->pace,
		.percent = placed->percent,
		.run = placed->run,
		.estimate_ms = placed->step->estimate_ms,
		.ran_us = now_us - placed->listed_us,
		.idle_us = now_us - placed->progress_us,
		.full_us = placed->full_us,
		.full_idle_us = placed->full_us - placed->progress_full_us,
	};

	if (!placed->listed || placed->stopping || placed->ending ||
	    placed->step->lasting || progress.idle_us < FLOW_STALL_MS * 1000ull)
		return false;
	progress.high_ms = control_flow_high_run_ms(
		flows, placed->flow, placed->step, &progress.unsure);
	return flows->policy->is_stalled(&progress);
}

void control_flow_stop_stalled(struct control_flow *flows, struct flow_vm *vm)
{
	GList *runs = g_hash_table_get_keys(vm->runs);

	for (GList *item = runs; item; item = item->next) {
		struct flow_placement *placed = item->data;
		struct stop_run run;
		struct stop_verdict verdict;

		if (!flow_is_stalled(flows, placed))
			continue;
		/* It gains at least the time during which nothing was done. */
		run = flow_stop_run(flows, placed);
		verdict = flows->policy->filler_stop(
			&run, &flows->control->opts.load_limits);
		verdict.gain_ms =
			(flows->control->node->now_us - placed->progress_us) /
			1000;
		counter_add(flows->control->node->counters, "runs_stalled", 1);
		control_flow_preempt(flows, placed, "stalled", &verdict);
	}
	g_list_free(runs);
}
