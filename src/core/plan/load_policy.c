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
};

const struct load_policy load_contended = {
	.name = "contended",
	.min_gain_permille = FLOW_FILLER_FULL_GAIN_PERMILLE,
	.load_rise_permille = FLOW_LOAD_RISE_PERMILLE,
	.max_reservations = FLOW_RESERVE_MAX,
	.serving_cost = contended_serving_cost,
	.filler_cost = contended_filler_cost,
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
