#include "pace.h"

#include "tunables.h"

uint32_t pace_headroom(uint32_t load_permille)
{
	return PACE_SETPOINT_PERMILLE > load_permille ?
		       PACE_SETPOINT_PERMILLE - load_permille :
		       0;
}

/*
 * Returns how much of the scarcest headroom the filler would use on all of the
 * VM's processors, in permille.
 */
static uint64_t filler_cost(const struct pressure *pressure,
			    const struct pace_serving *servings,
			    uint32_t nr_servings, uint32_t image)
{
	uint64_t worst = 0;

	for (uint32_t i = 0; i < nr_servings; i++) {
		uint64_t weight =
			pressure_weight(pressure, servings[i].image, image);

		worst = MAX(worst, weight * 1000 /
					   (servings[i].headroom_permille + 1));
	}
	return worst;
}

/* Sets the filler's pace and takes what it adds from the servings' headroom. */
static void filler_allocate(const struct pressure *pressure,
			    struct pace_serving *servings, uint32_t nr_servings,
			    struct pace_filler *filler)
{
	uint64_t pace = 1000;

	for (uint32_t i = 0; i < nr_servings; i++) {
		uint64_t added_permille =
			(uint64_t)pressure_weight(pressure, servings[i].image,
						  filler->image) *
			filler->share_permille / 1000;

		if (added_permille)
			pace = MIN(pace, servings[i].headroom_permille *
						 1000ull / added_permille);
	}
	filler->pace_permille = (uint32_t)pace;
	for (uint32_t i = 0; i < nr_servings; i++) {
		uint64_t added_permille =
			(uint64_t)pressure_weight(pressure, servings[i].image,
						  filler->image) *
			filler->share_permille / 1000 * pace / 1000;

		servings[i].headroom_permille -= (uint32_t)MIN(
			added_permille, servings[i].headroom_permille);
	}
}

void pace_allocate(const struct pressure *pressure,
		   struct pace_serving *servings, uint32_t nr_servings,
		   struct pace_filler *fillers, uint32_t nr_fillers)
{
	uint64_t *costs = g_new(uint64_t, nr_fillers + 1);
	uint32_t *order = g_new(uint32_t, nr_fillers + 1);

	/* Insertion sort is stable, and a VM has few fillers. */
	for (uint32_t i = 0; i < nr_fillers; i++) {
		uint32_t at = i;

		costs[i] = filler_cost(pressure, servings, nr_servings,
				       fillers[i].image);
		for (; at > 0 && costs[order[at - 1]] > costs[i]; at--)
			order[at] = order[at - 1];
		order[at] = i;
	}
	for (uint32_t i = 0; i < nr_fillers; i++)
		filler_allocate(pressure, servings, nr_servings,
				&fillers[order[i]]);
	g_free(order);
	g_free(costs);
}
