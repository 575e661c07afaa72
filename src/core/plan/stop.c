#include "stop.h"

#include <glib.h>

#include "load_policy.h"
#include "tunables.h"

/* Limits products of times, which come from clients' estimates. */
#define LEFT_MAX_MS (24ull * 3600 * 1000)

static uint64_t at_pace(uint64_t full_ms, uint32_t percent)
{
	return MIN(full_ms, LEFT_MAX_MS) * 100 / CLAMP(percent, 1, 100);
}

/* Returns how long a task doesn't run if its run is stopped. */
static uint64_t pause_ms(const struct load_limits *limits, bool restores)
{
	return (limits->stop_ms ? limits->stop_ms : STOP_DEFAULT_MS) +
	       STOP_RESTART_MS + (restores ? limits->restore_ms : 0);
}

/*
 * Returns how much longer the run takes if it stays. How long a run stays
 * halted isn't known; if it is moved once it has been halted for as long as a
 * move takes, it loses at most twice the time that was lost at the least.
 */
static uint64_t stay_gain_ms(const struct stop_run *run)
{
	uint64_t stay_ms = at_pace(run->left_ms, run->pace_percent);
	uint64_t move_ms = at_pace(run->left_ms, run->next_pace_percent);

	if (run->pace_percent <= STOP_HALTED_PERCENT)
		return run->halted_ms;
	/* While the run stays, a serving task beside it is too slow. */
	return (stay_ms > move_ms ? stay_ms - move_ms : 0) +
	       stay_ms * run->excess_permille / 1000;
}

struct stop_verdict stop_weigh_filler(const struct stop_run *run,
				      const struct load_limits *limits)
{
	bool halted = run->pace_percent <= STOP_HALTED_PERCENT;
	struct stop_verdict verdict = { 0 };

	verdict.gain_ms = stay_gain_ms(run);
	verdict.cost_ms = pause_ms(limits, run->checkpoints);
	if (!run->checkpoints)
		verdict.cost_ms +=
			at_pace(run->done_ms, run->next_pace_percent);
	verdict.pays = run->unsure && !halted ?
			       verdict.gain_ms >
				       verdict.cost_ms * STOP_UNSURE_FACTOR :
			       verdict.gain_ms > verdict.cost_ms;
	verdict.pays = verdict.pays || run->halted_ms >= STOP_HALTED_MS;
	return verdict;
}

struct stop_verdict stop_weigh_serving(const struct stop_serving *serving,
				       const struct load_limits *limits)
{
	struct stop_verdict verdict = { 0 };

	verdict.cost_ms = pause_ms(limits, true);
	verdict.gain_ms = serving->gain_cpu_millis * STOP_SERVING_HORIZON_MS /
			  MAX(serving->cpu_millis, 1);
	verdict.pays = verdict.gain_ms > verdict.cost_ms;
	return verdict;
}

/*
 * Each run of a task may take longer than the one before: a run that shows no
 * progress and takes longer than others would otherwise be stopped each time,
 * and its time would never be learned.
 */
bool stop_is_stalled(const struct stop_progress *progress)
{
	uint64_t moved_us = progress->full_us - progress->full_idle_us;
	uint64_t step_us = progress->percent ? moved_us / progress->percent : 0;
	uint64_t idle_max_us =
		MAX(FLOW_STALL_MS * 1000ull, step_us * FLOW_STALL_STEPS);
	uint64_t limit_us = MIN(progress->high_ms, LEFT_MAX_MS) *
			    FLOW_STALL_FACTOR * progress->run * 1000;

	if (progress->unsure && progress->pace_percent < 100)
		return false;
	return progress->full_idle_us >= idle_max_us &&
	       progress->full_us >= limit_us;
}
