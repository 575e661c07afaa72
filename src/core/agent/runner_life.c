#include "runner_impl.h"

#include <string.h>

/* The lives of the worker beside this agent. */

void runner_log_worker(struct runner *runner, const char *event)
{
	const struct worker_life *worker = &runner->worker;
	GString *line = logline_new(event);

	logline_str(line, "worker", worker->id);
	logline_u64(line, "born_ms", worker->born_ms);
	logline_str(line, "service", worker->service);
	logline_u64(line, "cpu_millis", worker->cpu_millis);
	logline_u64(line, "memory_mib", worker->memory_mib);
	logline_str(line, "rack", worker->rack);
	logline_str(line, "state", worker->draining ? "draining" : "ready");
	logline_u64(line, "runs", g_hash_table_size(runner->runs));
	runner_log_looks(runner, line);
	node_log(runner->node, line);
}

void runner_keep_unsure(struct runner *runner, const char *task, uint32_t run)
{
	struct runner_unsure unsure = { .run = run };

	/* The oldest stand first. */
	while (runner->unsure->len &&
	       g_array_index(runner->unsure, struct runner_unsure, 0)
			       .until_us <= runner->node->now_us)
		g_array_remove_index(runner->unsure, 0);
	TEXT_SET(unsure.task, task);
	unsure.until_us = runner->node->now_us + LATE_CALL_MS * 1000ull;
	g_array_append_val(runner->unsure, unsure);
}

/* Keeps the starts that are under way to a life that is over. */
static void runner_keep_starting(struct runner *runner)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		if (run->phase == RUNNER_STARTING ||
		    run->phase == RUNNER_UNSURE)
			runner_keep_unsure(runner, run->task, run->run);
	}
}

/* Forbids the new life what may still come of the earlier one. */
static void runner_stop_unsure(struct runner *runner)
{
	for (guint i = 0; i < runner->unsure->len; i++) {
		const struct runner_unsure *unsure =
			&g_array_index(runner->unsure, struct runner_unsure, i);

		if (unsure->until_us > runner->node->now_us &&
		    !g_hash_table_contains(runner->runs, unsure->task))
			runner_stop(runner,
				    runner_add(runner, unsure->task,
					       unsure->run, RUNNER_UNSURE));
	}
}

/* Ends that a life has listed count after it, too. */
static void runner_keep_ends(struct runner *runner)
{
	for (guint i = 0; i < runner->ends->len; i++) {
		struct flow_run_end end =
			g_array_index(runner->ends, struct flow_run_end, i);

		end.nr = 0; /* numbers start anew with each life */
		g_array_append_val(runner->own_ends, end);
	}
}

static void runner_forget_life(struct runner *runner)
{
	runner_keep_ends(runner);
	runner->life_nr++;
	runner_trace_life(runner);
	runner->clock_ms = 0;
	runner->unanswered_us = 0;
	runner->looked = false;
	runner->reachable = false;
	runner->lost_looks = 0;
	runner->settled_nr = 0;
	runner->holding = false;
	g_hash_table_remove_all(runner->runs);
	g_array_set_size(runner->ends, 0);
	timer_cancel(runner->node->timers, &runner->hold_timer);
}

enum result runner_heartbeat(struct runner *runner,
			     const struct worker_life *life,
			     const char *address, uint64_t seq)
{
	struct worker_life *worker = &runner->worker;
	bool same = !strcmp(worker->id, life->id) &&
		    worker->born_ms == life->born_ms;
	bool was_draining = same && worker->draining;
	bool reborn;

	if (worker->id[0] &&
	    (same ? worker->ended || seq <= runner->worker_seq :
		    life->born_ms < worker->born_ms)) {
		counter_add(runner->node->counters, "heartbeats_stale", 1);
		return RESULT_STALE;
	}
	reborn = !same && !strcmp(worker->id, life->id);
	if (reborn)
		runner_keep_starting(runner);
	if (!same)
		runner_forget_life(runner);
	*worker = *life;
	/* A worker that leaves doesn't come back in this life. */
	worker->draining = worker->draining || was_draining;
	TEXT_SET(runner->address, address);
	runner->worker_seq = seq;
	runner->worker_heard_us = runner->node->now_us;
	counter_add(runner->node->counters, "heartbeats", 1);
	if (reborn)
		runner_stop_unsure(runner);
	if (!same || was_draining != worker->draining) {
		runner_log_worker(runner, same ? "worker-draining" :
						 "worker-registered");
		runner_report_soon(runner);
	}
	if (!timer_armed(&runner->hold_timer))
		runner_hold(runner);
	return RESULT_OK;
}

void runner_deregister(struct runner *runner, const char *id, uint64_t born_ms)
{
	if (!runner_has_worker(runner) || strcmp(runner->worker.id, id) != 0 ||
	    (born_ms && born_ms != runner->worker.born_ms))
		return;
	runner_log_worker(runner, "worker-deregistered");
	runner_forget_life(runner);
	runner->worker.ended = true;
	runner_report_soon(runner);
}
