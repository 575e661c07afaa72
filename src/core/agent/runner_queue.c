#include <string.h>

#include "runner_impl.h"

/*
 * The order in which starts and stops that wait for a free call are made. Each
 * has a time by which its turn has come: when it was ordered or is to be
 * repeated, and the time for which it yields to others. The earliest goes
 * first. So urgent ones pass others, but only those that were ordered shortly
 * before them, and none waits for ever.
 */

bool runner_is_turn(struct runner *runner, const struct runner_run *run)
{
	bool free = runner_may_call(runner) &&
		    (!run->yield_ms ||
		     runner->yielding_calls <
			     RUNNER_CALLS_MAX - RUNNER_CALLS_RESERVED);

	if (free && (runner->queue_running || !runner->calls_deferred))
		return true;
	runner->calls_deferred = true;
	if (!runner->queue_running)
		runner_call_deferred(runner);
	return false;
}

void runner_call_deferred(struct runner *runner)
{
	if (runner->calls_deferred && runner_may_call(runner))
		node_timer_ms(runner->node, &runner->run_timer, 0);
}

static bool runner_waits_for_stop(const struct runner_run *run)
{
	return run->stop && !run->stopped_us && !run->stop_call_pending;
}

static uint64_t runner_turn_us(const struct runner_run *run)
{
	uint32_t stop_yield_ms = MIN(run->yield_ms, RUNNER_STOP_YIELD_MS);

	return run->stop ? run->stop_due_us + stop_yield_ms * 1000ull :
			   run->since_us + run->yield_ms * 1000ull;
}

static gint runner_compare_turns(gconstpointer a, gconstpointer b)
{
	const struct runner_run *x = *(const struct runner_run *const *)a;
	const struct runner_run *y = *(const struct runner_run *const *)b;
	uint64_t turn_x_us = runner_turn_us(x);
	uint64_t turn_y_us = runner_turn_us(y);

	if (turn_x_us != turn_y_us)
		return turn_x_us < turn_y_us ? -1 : 1;
	return strcmp(x->task, y->task);
}

void runner_queue_due(void *data, uint64_t now_us)
{
	struct runner *runner = data;
	GPtrArray *runs = g_ptr_array_new();
	bool has_stops = false;
	GHashTableIter iter;
	void *value;

	runner->calls_deferred = false;
	runner->queue_running = true;
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		has_stops = has_stops || runner_waits_for_stop(run);
		if (run->stop ? runner_waits_for_stop(run) &&
					run->stop_due_us <= now_us :
				run->phase == RUNNER_NEW)
			g_ptr_array_add(runs, value);
	}
	g_ptr_array_sort(runs, runner_compare_turns);
	/* Each call may remove its own run from the table iterated above. Each
	 * start of a filler reduces the headroom for those after it. */
	for (guint i = 0; i < runs->len; i++) {
		struct runner_run *run = runs->pdata[i];

		if (run->stop)
			runner_stop(runner, run);
		else
			runner_start_paced(runner, run);
	}
	runner->queue_running = false;
	if (has_stops)
		node_timer_ms(runner->node, &runner->run_timer, STOP_REPEAT_MS);
	g_ptr_array_unref(runs);
}
