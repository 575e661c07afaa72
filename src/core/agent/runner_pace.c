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

static void runner_set_pace(struct runner *runner, struct runner_run *run)
{
	struct exec_call call = { .kind = EXEC_PACE };

	call.task = run->task;
	call.run = run->run;
	call.percent = runner->pace_limit;
	run->pacing = true;
	counter_add(runner->node->counters, "pace_calls", 1);
	runner_call(runner, &call);
}

void runner_pace(struct runner *runner)
{
	uint32_t pressure = runner_pressure(runner);
	uint32_t before = runner->pace_limit;
	GHashTableIter iter;
	GString *line;
	void *value;

	if (pressure >= PACE_CUT_PERCENT)
		runner->pace_limit = before > PACE_LOW_PERCENT ? before / 3 : 0;
	else if (pressure >= PACE_EASE_PERCENT)
		runner->pace_limit = before > PACE_STEP_PERCENT ?
					     before - PACE_STEP_PERCENT :
					     before;
	else if (pressure <= PACE_RAISE_PERCENT)
		runner->pace_limit = MIN(before + PACE_STEP_PERCENT, 100);
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runner_run *run = value;

		if (run->filler && run->phase == RUNNER_ON && !run->pacing &&
		    !run->stop && run->pace != runner->pace_limit)
			runner_set_pace(runner, run);
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
