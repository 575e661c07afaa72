#include "pace.h"

#include <string.h>

#include "runner_impl.h"

/*
 * Serving tasks have a target for their tail latency; fillers are best-effort
 * tasks that use processors which others leave idle. Fillers add pressure, that
 * is utilization, to the serving tasks on the same VM. How much depends on the
 * images of both; the leader estimates a weight for each pair of images and
 * sends the weights with its grants. From the measurements in each list of the
 * worker, the agent estimates the utilization that each serving task would have
 * without fillers. The difference to the utilization at which the task meets
 * its target is the task's headroom. The agent then sets the pace of the
 * fillers, in percent of their full speed, as high as the headroom of all
 * serving tasks allows.
 */

static bool runner_is_serving(const struct runner_run *run)
{
	return run->target_ms && run->phase == RUNNER_RUNNING;
}

static bool runner_is_filler(const struct runner_run *run)
{
	return run->filler && run->phase == RUNNER_RUNNING && !run->stop;
}

bool runner_needs_pacing(const struct runner *runner)
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

static uint32_t runner_cpu_share_permille(const struct runner *runner,
					  uint32_t cpu_millis)
{
	return (uint32_t)(cpu_millis * 1000ull /
			  MAX(runner->worker.cpu_millis, 1));
}

/* Returns the running fillers, each with its measured share of the VM's CPU. */
static GArray *runner_active_fillers(const struct runner *runner)
{
	GArray *fillers =
		g_array_new(FALSE, FALSE, sizeof(struct pressure_filler));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;
		struct pressure_filler filler = { .image = run->image };

		if (!run->filler || run->phase != RUNNER_RUNNING)
			continue;
		filler.share_permille =
			runner_cpu_share_permille(runner, run->seen.figure);
		g_array_append_val(fillers, filler);
	}
	return fillers;
}

/*
 * Updates the estimate of the utilization that a serving task would have
 * without fillers.
 */
static void runner_update_load(struct runner *runner, struct runner_run *run,
			       const GArray *fillers)
{
	uint32_t measured =
		pressure_utilization(run->seen.figure, run->target_ms);
	uint32_t added = pressure_added(
		runner->pressure, run->image,
		(const struct pressure_filler *)(const void *)fillers->data,
		fillers->len);
	uint32_t alone = measured > added ? measured - added : 0;

	run->load_permille =
		run->load_updated_us ?
			pressure_limit_slew(run->load_permille, alone,
					    runner->node->now_us -
						    run->load_updated_us) :
			alone;
	run->load_updated_us = runner->node->now_us;
}

/*
 * Returns true if the tail latency of a serving task has been above
 * PACE_OVERSHOOT_PERCENT of its target for PACE_OVERSHOOT_MS. No filler may
 * then add pressure to the task, whatever the weights are. A single high
 * measurement isn't enough: it may have no lasting cause, and it also raises
 * the following measurements.
 */
static bool runner_is_far_over(const struct runner *runner,
			       struct runner_run *run)
{
	if (run->seen.figure * 100 < run->target_ms * PACE_OVERSHOOT_PERCENT)
		run->far_over_us = 0;
	else if (!run->far_over_us)
		run->far_over_us = runner->node->now_us;
	return run->far_over_us && runner->node->now_us - run->far_over_us >=
					   PACE_OVERSHOOT_MS * 1000ull;
}

/*
 * Appends the serving tasks with their headroom for fillers to @a servings.
 * Returns the highest tail latency among them, in percent of the task's target.
 */
static uint32_t runner_serving_headroom(struct runner *runner, GArray *servings)
{
	GArray *fillers = runner_active_fillers(runner);
	uint32_t worst_percent = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runner_run *run = value;
		struct pace_serving serving = { .image = run->image };

		if (!runner_is_serving(run))
			continue;
		if (run->seen.figure)
			runner_update_load(runner, run, fillers);
		if (!runner_is_far_over(runner, run))
			serving.headroom_permille = pace_headroom(
				run->load_updated_us ?
					run->load_permille :
					PACE_DEFAULT_LOAD_PERMILLE);
		worst_percent = MAX(worst_percent,
				    run->seen.figure * 100 / run->target_ms);
		g_array_append_val(servings, serving);
	}
	g_array_unref(fillers);
	return worst_percent;
}

static void runner_set_pace(struct runner *runner, struct runner_run *run,
			    uint32_t percent)
{
	struct exec_call call = { .kind = EXEC_PACE };

	/* If too many calls are in flight, the next poll sets the pace. */
	if (!runner_may_call(runner))
		return;
	call.task = run->task;
	call.run = run->run;
	call.percent = percent;
	run->pace_call_pending = true;
	counter_add(runner->node->counters, "pace_calls", 1);
	runner_call(runner, NULL, &call);
}

/*
 * Returns true if a change of pace is large enough for a call. Changes to 0 %
 * and 100 % always are.
 */
static bool pace_differs(uint32_t from, uint32_t to)
{
	uint32_t difference = from > to ? from - to : to - from;

	return difference &&
	       (to == 0 || to == 100 || difference >= PACE_MIN_STEP_PERCENT ||
		difference * 8 >= from);
}

static gint runner_compare_runs(gconstpointer a, gconstpointer b)
{
	const struct runner_run *x = *(const struct runner_run *const *)a;
	const struct runner_run *y = *(const struct runner_run *const *)b;

	if (x->since_us != y->since_us)
		return x->since_us < y->since_us ? -1 : 1;
	return strcmp(x->task, y->task);
}

/* Returns the running fillers, oldest first. */
static GPtrArray *runner_fillers(const struct runner *runner)
{
	GPtrArray *runs = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (runner_is_filler(value))
			g_ptr_array_add(runs, value);
	g_ptr_array_sort(runs, runner_compare_runs);
	return runs;
}

static void runner_log_pace(struct runner *runner, uint32_t worst_percent,
			    const struct runner_run *run, uint32_t percent)
{
	GString *line = logline_new("pace");

	logline_str(line, "task", run->task);
	logline_u64(line, "run", run->run);
	logline_u64(line, "worst_tail_percent", worst_percent);
	logline_u64(line, "from_percent", run->pace);
	logline_u64(line, "to_percent", percent);
	node_log(runner->node, line);
}

static void runner_set_paces(struct runner *runner, GPtrArray *runs,
			     const struct pace_filler *fillers,
			     uint32_t worst_percent)
{
	uint64_t over_us = runner->node->now_us - runner->over_since_us;
	/* After this time all fillers are halted, whatever the weights are: the
	 * platform allows a serving task to be above its target for 4 s at
	 * most. */
	bool halt = over_us >= PACE_OVER_TARGET_MAX_MS * 1000ull;

	for (guint i = 0; i < runs->len; i++) {
		struct runner_run *run = runs->pdata[i];
		uint32_t percent = halt ? 0 : fillers[i].pace_permille / 10;

		/* While a start waits for headroom, the pace of running
		 * fillers isn't raised. */
		if (run->pace_call_pending ||
		    !pace_differs(run->pace, percent) ||
		    (percent > run->pace && timer_armed(&runner->start_timer)))
			continue;
		runner_log_pace(runner, worst_percent, run, percent);
		runner_set_pace(runner, run, percent);
	}
}

/*
 * Calculates the pace of each filler in @a runs from the headroom of the
 * serving tasks.
 */
static void runner_divide_headroom(struct runner *runner, GPtrArray *runs,
				   struct pace_filler *fillers,
				   GArray *servings)
{
	for (guint i = 0; i < runs->len; i++) {
		const struct runner_run *run = runs->pdata[i];

		fillers[i].image = run->image;
		fillers[i].share_permille =
			runner_cpu_share_permille(runner, run->cpu_millis);
	}
	pace_allocate(runner->pressure,
		      (struct pace_serving *)(void *)servings->data,
		      servings->len, fillers, runs->len);
}

void runner_pace(struct runner *runner)
{
	GPtrArray *runs = runner_fillers(runner);
	GArray *servings =
		g_array_new(FALSE, FALSE, sizeof(struct pace_serving));
	struct pace_filler *fillers = g_new0(struct pace_filler, runs->len + 1);
	uint32_t worst_percent = runner_serving_headroom(runner, servings);

	if (worst_percent < 100)
		runner->over_since_us = runner->node->now_us;
	runner_divide_headroom(runner, runs, fillers, servings);
	runner_set_paces(runner, runs, fillers, worst_percent);
	g_free(fillers);
	g_array_unref(servings);
	g_ptr_array_unref(runs);
}

/* ---- starts ---- */

/*
 * Returns the highest pace, in percent, at which a filler may be working now:
 * a change of pace takes up to PACE_LAG_MS to take effect.
 */
static uint32_t runner_effective_pace(const struct runner *runner,
				      const struct runner_run *run)
{
	uint64_t since_us =
		runner->node->now_us - MAX(run->pace_changed_us, run->since_us);
	uint32_t before = run->pace_changed_us ? run->previous_pace : 100;

	return since_us < PACE_LAG_MS * 1000ull ? MAX(before, run->pace) :
						  run->pace;
}

/*
 * Returns the highest utilization, in permille, that the fillers whose start
 * was called may add to a serving task.
 */
static uint64_t runner_pressure_permille(const struct runner *runner,
					 const struct runner_run *serving)
{
	uint64_t added = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		if (!run->filler || run->phase == RUNNER_NEW)
			continue;
		added += (uint64_t)pressure_weight(runner->pressure,
						   serving->image, run->image) *
			 runner_cpu_share_permille(runner, run->cpu_millis) /
			 1000 * runner_effective_pace(runner, run) / 100;
	}
	return added;
}

/* Returns true if all serving tasks have headroom for a filler's full pace. */
static bool runner_has_headroom(const struct runner *runner,
				const struct runner_run *starting)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;
		uint64_t added;

		if (!runner_is_serving(run))
			continue;
		added = (uint64_t)pressure_weight(runner->pressure, run->image,
						  starting->image) *
			runner_cpu_share_permille(runner,
						  starting->cpu_millis) /
			1000;
		if (added &&
		    run->load_permille + added +
				    runner_pressure_permille(runner, run) >
			    PACE_START_PERMILLE)
			return false;
	}
	return true;
}

/*
 * Halts the fillers that add pressure to any serving task to which the starting
 * filler would add pressure, too.
 */
static void runner_slow_fillers(struct runner *runner,
				const struct runner_run *starting)
{
	GPtrArray *runs = runner_fillers(runner);

	for (guint i = 0; i < runs->len; i++) {
		struct runner_run *run = runs->pdata[i];
		GHashTableIter iter;
		void *value;
		bool adds_pressure = false;

		g_hash_table_iter_init(&iter, runner->runs);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct runner_run *serving = value;

			adds_pressure =
				adds_pressure ||
				(runner_is_serving(serving) &&
				 pressure_weight(runner->pressure,
						 serving->image,
						 starting->image) &&
				 pressure_weight(runner->pressure,
						 serving->image, run->image));
		}
		if (adds_pressure && run->pace && !run->pace_call_pending)
			runner_set_pace(runner, run, 0);
	}
	g_ptr_array_unref(runs);
}

void runner_start_paced(struct runner *runner, struct runner_run *run)
{
	uint64_t waited_us = runner->node->now_us - run->since_us;

	if (run->order_fence < runner->fence) {
		runner_start_failed(runner, run, RESULT_STALE);
		return;
	}
	if (!run->filler || runner_has_headroom(runner, run) ||
	    waited_us >= PACE_START_WAIT_MS * 1000ull) {
		runner_start(runner, run);
		return;
	}
	runner_log_start_wait(runner, run, "room");
	runner_slow_fillers(runner, run);
	if (!timer_armed(&runner->start_timer))
		node_timer_ms(runner->node, &runner->start_timer,
			      PACE_START_STEP_MS);
}

void runner_pace_done(struct runner *runner, const struct runner_call *call,
		      const struct exec_reply *reply)
{
	struct runner_run *run = g_hash_table_lookup(runner->runs, call->task);

	if (!run || run->run != call->run)
		return;
	run->pace_call_pending = false;
	/* After a failed call, the next poll sets the pace again. */
	if (reply->verdict != EXEC_DONE)
		return;
	run->previous_pace = run->pace;
	run->pace = call->percent;
	run->pace_changed_us = runner->node->now_us;
	/* The leader may move the filler to another VM. */
	if (run->pace <= FLOW_MOVE_PACE_PERCENT &&
	    run->previous_pace > FLOW_MOVE_PACE_PERCENT)
		runner_report_soon(runner);
}
