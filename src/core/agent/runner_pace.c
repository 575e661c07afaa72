#include "runner_impl.h"

/*
 * Fillers disturb the serving tasks beside them by amounts that nobody knows
 * beforehand. One limit for all fillers of the VM follows the worst serving
 * task: it is cut sharply near the target and raised slowly below.
 */

/* Worst tail latency of a serving task, in percent of its target. */
static uint32_t runner_pressure(const struct runner *runner)
{
	uint32_t worst = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		if (run->target_ms && run->phase == RUNNER_ON)
			worst = MAX(worst,
				    run->seen.figure * 100 / run->target_ms);
	}
	return worst;
}

bool runner_pace_matters(const struct runner *runner)
{
	bool serving = false;
	bool filler = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		serving = serving || run->target_ms;
		filler = filler || run->filler;
	}
	return serving && filler;
}

/* The limit holds for the worst filler; others may do as much harm as it. */
static uint32_t runner_pace_of(const struct runner *runner,
			       const struct runner_run *run, uint32_t worst)
{
	uint64_t press = MAX(run->press_permille, 1);

	return (uint32_t)MIN((uint64_t)runner->pace_limit * worst / press, 100);
}

static uint32_t runner_worst_press(const struct runner *runner)
{
	uint32_t worst = 1;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		if (run->filler)
			worst = MAX(worst, run->press_permille);
	}
	return worst;
}

static void runner_set_pace(struct runner *runner, struct runner_run *run,
			    uint32_t percent)
{
	struct exec_call call = { .kind = EXEC_PACE };

	call.task = run->task;
	call.run = run->run;
	call.percent = percent;
	run->pacing = true;
	counter_add(runner->node->counters, "pace_calls", 1);
	runner_call(runner, &call);
}

static uint32_t pace_next(uint32_t pace, uint32_t pressure, uint64_t over_us)
{
	if (over_us >= PACE_OVER_MAX_MS * 1000ull)
		return 0;
	if (pressure >= PACE_OVER_PERCENT)
		return pace * PACE_OVER_KEEP / 100;
	if (pressure >= PACE_NEAR_PERCENT)
		return pace * PACE_NEAR_KEEP / 100;
	if (pressure < PACE_CLEAR_PERCENT)
		return MIN(pace + pace / 3 + PACE_STEP_PERCENT, 100);
	return pace;
}

void runner_pace(struct runner *runner)
{
	uint32_t pressure = runner_pressure(runner);
	uint32_t before = runner->pace_limit;
	uint32_t worst = runner_worst_press(runner);
	GHashTableIter iter;
	GString *line;
	void *value;

	if (pressure < PACE_OVER_PERCENT)
		runner->over_since_us = runner->node->now_us;
	/* Figures are means of the last while: an effect shows after it. */
	if (runner->node->now_us >= runner->pace_due_us) {
		runner->pace_limit =
			pace_next(before, pressure,
				  runner->node->now_us - runner->over_since_us);
		if (runner->pace_limit != before)
			runner->pace_due_us =
				runner->node->now_us + PACE_EFFECT_MS * 1000ull;
	}
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runner_run *run = value;
		uint32_t percent = runner_pace_of(runner, run, worst);

		if (run->filler && run->phase == RUNNER_ON && !run->pacing &&
		    !run->stop && run->pace != percent)
			runner_set_pace(runner, run, percent);
	}
	if (before == runner->pace_limit)
		return;
	line = logline_new("pace");
	logline_u64(line, "pressure_percent", pressure);
	logline_u64(line, "from_percent", before);
	logline_u64(line, "to_percent", runner->pace_limit);
	node_log(runner->node, line);
}

void runner_pace_done(struct runner *runner, const struct runner_call *call,
		      const struct exec_reply *reply)
{
	struct runner_run *run = g_hash_table_lookup(runner->runs, call->task);

	if (!run || run->run != call->run)
		return;
	run->pacing = false;
	/* Without an answer the next look repeats the call. */
	if (reply->verdict == EXEC_DONE)
		run->pace = call->percent;
}
