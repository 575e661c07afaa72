#include "control_flow_impl.h"

/*
 * How long runs will still take. Clients' estimates may be far off, so a run's
 * own progress counts as soon as it shows.
 */

/* Progress below this, in percent, says too little about the run's speed. */
#define TIME_MIN_PERCENT 10

uint64_t control_flow_run_ms(const struct control_flow *flows,
			     const struct state_flow *flow,
			     const struct flow_step *step)
{
	return step->lasting ? UINT64_MAX : step->estimate_ms;
}

uint64_t control_flow_remaining_ms(const struct control_flow *flows,
				   const struct flow_placement *placed)
{
	uint64_t run_ms =
		control_flow_run_ms(flows, placed->flow, placed->step);
	uint64_t ran_ms;

	if (run_ms == UINT64_MAX || !placed->listed)
		return run_ms;
	ran_ms = (flows->control->node->now_us - placed->listed_us) / 1000;
	if (placed->percent >= TIME_MIN_PERCENT)
		return ran_ms * (100 - MIN(placed->percent, 100)) /
		       placed->percent;
	return run_ms > ran_ms ? run_ms - ran_ms : 0;
}
