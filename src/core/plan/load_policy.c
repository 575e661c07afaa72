#include "load_policy.h"

#include <glib.h>

#include "tunables.h"

/*
 * Serving tasks of one image fill VM after VM, so that for each filler image
 * there are VMs without a serving task that fillers of the image slow down.
 */
static uint64_t standard_serving_cost(const struct load_serving_place *place)
{
	uint64_t load_permille = place->load_permille;

	if (place->image_known)
		return place->filler_loss_permille * FLOW_COST_CLOSED_FACTOR +
		       load_permille / 2;
	if (place->nr_other_images)
		return (uint64_t)place->nr_other_images *
			       FLOW_COST_IMAGE_PERMILLE +
		       load_permille;
	if (!place->serves)
		return FLOW_COST_IMAGE_PERMILLE / 2;
	return (FLOW_COST_IMAGE_PERMILLE -
		MIN(load_permille, FLOW_COST_IMAGE_PERMILLE)) /
	       4;
}

static uint64_t standard_filler_cost(uint64_t serving_permille)
{
	return 0;
}

/* A step without checkpoints is moved only early in its run. */
static struct stop_verdict
standard_filler_stop(const struct stop_run *run,
		     const struct load_limits *limits)
{
	return (struct stop_verdict){
		.pays = run->checkpoints ||
			run->percent <= FLOW_MOVE_LOSS_PERCENT,
	};
}

static struct stop_verdict
standard_serving_stop(const struct stop_serving *serving,
		      const struct load_limits *limits)
{
	return (struct stop_verdict){ .pays = true };
}

static bool standard_is_stalled(const struct stop_progress *progress)
{
	return progress->pace_percent >= 100 &&
	       progress->idle_us >= FLOW_STALL_MS * 1000ull &&
	       progress->ran_us >=
		       progress->estimate_ms * FLOW_STALL_FACTOR * 1000;
}

/*
 * The fullest VM first, so that whole VMs stay without serving tasks. Fillers
 * run at full speed there, whatever their image.
 */
static uint64_t contended_serving_cost(const struct load_serving_place *place)
{
	uint64_t unused_permille = 1000 - MIN(place->reserved_permille, 1000);

	return unused_permille * FLOW_COST_UNUSED_FACTOR +
	       (place->image_known ? place->filler_loss_permille :
				     (uint64_t)place->nr_other_images *
					     FLOW_COST_MIXED_PERMILLE);
}

/* VMs without serving tasks first: a load that rises slows no run down there.
 */
static uint64_t contended_filler_cost(uint64_t serving_permille)
{
	return serving_permille * FLOW_COST_BESIDE_FACTOR;
}

const struct load_policy load_standard = {
	.name = "standard",
	.min_gain_permille = FLOW_FILLER_MIN_GAIN_PERMILLE,
	.serving_cost = standard_serving_cost,
	.filler_cost = standard_filler_cost,
	.filler_stop = standard_filler_stop,
	.serving_stop = standard_serving_stop,
	.is_stalled = standard_is_stalled,
};

const struct load_policy load_contended = {
	.name = "contended",
	.min_gain_permille = FLOW_FILLER_FULL_GAIN_PERMILLE,
	.load_ahead_ms = FLOW_LOAD_AHEAD_MS,
	.admission_margin_permille = ADMISSION_MARGIN_PERMILLE,
	.max_reservations = FLOW_RESERVE_MAX,
	.serving_cost = contended_serving_cost,
	.filler_cost = contended_filler_cost,
	.learns_run_times = true,
	.weighs_stops = true,
	.filler_stop = stop_weigh_filler,
	.serving_stop = stop_weigh_serving,
	.is_stalled = stop_is_stalled,
	.shares = true,
};

const struct load_policy *load_policy_choose(enum load_choice choice,
					     const struct load_limits *limits)
{
	bool slow_stops = limits->stop_ms && limits->save_ms &&
			  limits->stop_ms > limits->save_ms;

	if (choice == LOAD_AUTO)
		choice = slow_stops ? LOAD_CONTENDED : LOAD_STANDARD;
	return choice == LOAD_CONTENDED ? &load_contended : &load_standard;
}
