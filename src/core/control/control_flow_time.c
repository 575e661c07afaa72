#include "control_flow_impl.h"

/*
 * How long runs take, and how long they will still take. Clients' estimates may
 * be off by 90 %, so a run's own progress counts as soon as it shows, and times
 * of earlier runs of the same queue and image before that. A new leader knows
 * no earlier runs; it uses estimates until enough runs have ended.
 */

/* Progress below this, in percent, says too little about the run's speed. */
#define TIME_MIN_PERCENT 10
/* Reported progress may be behind by this, in percent. */
#define TIME_RESOLUTION_PERCENT 5
/*
 * If a run was first listed with more progress than this, in percent, the rest
 * says too little about the whole.
 */
#define TIME_MAX_FROM_PERCENT 50

void control_flow_time_begin(struct control_flow *flows,
			     struct flow_placement *placed, uint32_t percent)
{
	placed->full_us = 0;
	placed->progress_full_us = 0;
	placed->timed_us = flows->control->node->now_us;
	placed->from_percent = MIN(percent, 100);
}

/* Returns the time since the run was first listed as time at full pace. */
static uint64_t flow_full_us(const struct control_flow *flows,
			     const struct flow_placement *placed)
{
	uint64_t since_us = flows->control->node->now_us - placed->timed_us;

	return placed->full_us + since_us * MIN(placed->pace, 100) / 100;
}

void control_flow_time_update(struct control_flow *flows,
			      struct flow_placement *placed)
{
	placed->full_us = flow_full_us(flows, placed);
	placed->timed_us = flows->control->node->now_us;
}

static char *flow_queue_name(const struct state_flow *flow)
{
	return g_strconcat(flow->record.host, " ", flow->record.prefix, NULL);
}

/*
 * Returns how long the run that has ended would have taken at full pace, 0: not
 * known. Agents report about once a second, so a run may have begun well before
 * it was first listed: its progress at that time says how much of it is
 * missing. A short run may never be listed, and some runs report no progress;
 * these are counted from the order to start.
 */
static uint64_t flow_whole_ms(const struct control_flow *flows,
			      const struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	uint64_t full_us = placed->listed ? flow_full_us(flows, placed) : 0;
	uint64_t listed_us = placed->listed ? placed->listed_us : now_us;

	if (placed->listed && placed->from_percent <= TIME_MAX_FROM_PERCENT &&
	    placed->percent > placed->from_percent)
		return full_us / (100 - placed->from_percent) / 10;
	/* A run from a checkpoint isn't whole, and a stop is an order, too. */
	if (!placed->ordered_us || placed->inherited || placed->stopping ||
	    placed->flow->record.tasks[placed->task].checkpoint[0] ||
	    listed_us < placed->ordered_us)
		return 0;
	return (full_us + listed_us - placed->ordered_us) / 1000;
}

void control_flow_time_learn(struct control_flow *flows,
			     struct flow_placement *placed)
{
	char *queue;
	uint64_t whole_ms;

	if (!flows->policy->learns_run_times || placed->step->lasting)
		return;
	whole_ms = flow_whole_ms(flows, placed);
	if (!whole_ms)
		return;
	queue = flow_queue_name(placed->flow);
	run_times_add(flows->run_times, queue, placed->step->image, whole_ms);
	g_free(queue);
}

/* Returns false if the run time follows from the client's estimate only. */
static bool flow_run_time(const struct control_flow *flows,
			  const struct state_flow *flow,
			  const struct flow_step *step, struct run_time *time)
{
	char *queue;
	bool learned;

	time->mean_ms = step->estimate_ms;
	time->high_ms = step->estimate_ms;
	if (!flows->policy->learns_run_times)
		return false;
	queue = flow_queue_name(flow);
	learned = run_times_get(flows->run_times, queue, step->image, time);
	g_free(queue);
	return learned;
}

uint64_t control_flow_run_ms(const struct control_flow *flows,
			     const struct state_flow *flow,
			     const struct flow_step *step)
{
	struct run_time time;

	if (step->lasting)
		return UINT64_MAX;
	flow_run_time(flows, flow, step, &time);
	return time.mean_ms;
}

uint64_t control_flow_high_run_ms(const struct control_flow *flows,
				  const struct state_flow *flow,
				  const struct flow_step *step, bool *unsure)
{
	struct run_time time;

	*unsure = false;
	if (step->lasting)
		return UINT64_MAX;
	*unsure = !flow_run_time(flows, flow, step, &time);
	return time.high_ms;
}

/*
 * Returns the remaining time of a run that has taken @a full_ms. One that takes
 * longer than nearly all others is expected to take as much longer again.
 */
static uint64_t flow_time_left_ms(const struct run_time *time, uint64_t full_ms)
{
	if (full_ms < time->mean_ms)
		return time->mean_ms - full_ms;
	if (full_ms < time->high_ms)
		return time->high_ms - full_ms;
	return full_ms - time->mean_ms;
}

/* Returns the remaining time by the progress since the run was first listed. */
static uint64_t flow_progress_left_us(const struct control_flow *flows,
				      const struct flow_placement *placed)
{
	uint32_t percent = MIN(placed->percent, 100);
	uint64_t left_us = placed->progress_full_us * (100 - percent) /
			   (percent - placed->from_percent);
	uint64_t since_us =
		flow_full_us(flows, placed) - placed->progress_full_us;

	return left_us > since_us ? left_us - since_us : 0;
}

/*
 * Returns the least remaining time that the little progress since the run was
 * first listed allows, 0 if the run reports no progress.
 */
static uint64_t flow_least_left_us(const struct flow_placement *placed)
{
	uint32_t percent = MIN(placed->percent, 100);
	uint32_t done = percent > placed->from_percent ?
				percent - placed->from_percent :
				0;

	return percent ? placed->full_us * (100 - percent) /
				 (done + TIME_RESOLUTION_PERCENT) :
			 0;
}

uint64_t control_flow_remaining_full_ms(const struct control_flow *flows,
					const struct flow_placement *placed,
					bool *unsure)
{
	struct run_time time;
	uint64_t full_us;
	uint64_t least_ms;
	uint64_t left_ms;

	*unsure = false;
	if (placed->step->lasting)
		return UINT64_MAX;
	if (placed->listed && MIN(placed->percent, 100) >=
				      placed->from_percent + TIME_MIN_PERCENT)
		return flow_progress_left_us(flows, placed) / 1000;
	*unsure = !flow_run_time(flows, placed->flow, placed->step, &time);
	if (!placed->listed)
		return time.mean_ms;
	/* What it did before it was listed counts by its progress. */
	full_us = flow_full_us(flows, placed) +
		  placed->from_percent * time.mean_ms * 10;
	left_ms = flow_time_left_ms(&time, full_us / 1000);
	least_ms = flow_least_left_us(placed) / 1000;
	if (least_ms < left_ms)
		return left_ms;
	*unsure = false;
	return least_ms;
}

uint64_t control_flow_remaining_ms(const struct control_flow *flows,
				   const struct flow_placement *placed)
{
	bool unsure;
	uint64_t left_ms =
		control_flow_remaining_full_ms(flows, placed, &unsure);

	if (left_ms == UINT64_MAX || !placed->listed)
		return left_ms;
	/* A halted run ends late, but not never. */
	return left_ms * 100 / CLAMP(placed->pace, 1, 100);
}
