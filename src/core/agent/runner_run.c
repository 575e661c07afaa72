#include "runner_impl.h"

#include <string.h>

/* Runs that the worker has or may still get: starts, stops, refusals. */

void runner_run_free(void *data)
{
	struct runner_run *run = data;

	if (run->spec)
		g_bytes_unref(run->spec);
	g_free(run);
}

struct runner_run *runner_find(const struct runner *runner, const char *task,
			       uint32_t nr)
{
	struct runner_run *run = g_hash_table_lookup(runner->runs, task);

	return run && run->run == nr ? run : NULL;
}

struct runner_run *runner_add(struct runner *runner, const char *task,
			      uint32_t nr, enum runner_phase phase)
{
	struct runner_run *run = g_new0(struct runner_run, 1);

	TEXT_SET(run->task, task);
	run->run = nr;
	run->phase = phase;
	run->added_us = runner->node->now_us;
	run->since_us = run->added_us;
	run->pace = 100;
	g_hash_table_replace(runner->runs, run->task, run);
	return run;
}

void runner_set_phase(struct runner *runner, struct runner_run *run,
		      enum runner_phase phase)
{
	run->phase = phase;
	run->since_us = runner->node->now_us;
}

void runner_log_run(struct runner *runner, const char *event, const char *task,
		    uint32_t run, const char *outcome, enum result result)
{
	GString *line = logline_new(event);

	logline_str(line, "task", task);
	logline_u64(line, "run", run);
	logline_str(line, "worker", runner->worker.id);
	logline_u64(line, "term", runner->term);
	logline_str(line, "outcome", outcome);
	if (result)
		logline_str(line, "result", result_name(result));
	node_log(runner->node, line);
}

static gboolean runner_refusal_is_old(gpointer key, gpointer value,
				      gpointer data)
{
	const struct runner_refusal *refusal = value;
	const struct runner *runner = data;

	return runner->node->now_us - refusal->at_us >
	       RUNNER_REFUSAL_KEEP_MS * 1000ull;
}

/* Records a refused run, so that a duplicate of its order doesn't start it. */
static void runner_keep_refusal(struct runner *runner, const char *task,
				uint32_t run)
{
	struct runner_refusal *refusal = g_new0(struct runner_refusal, 1);
	const struct runner_refusal *known =
		g_hash_table_lookup(runner->refusals, task);

	refusal->run = known ? MAX(known->run, run) : run;
	if (g_hash_table_size(runner->refusals) >= RUNNER_REFUSALS_MAX)
		g_hash_table_foreach_remove(runner->refusals,
					    runner_refusal_is_old, runner);
	TEXT_SET(refusal->task, task);
	refusal->at_us = runner->node->now_us;
	g_hash_table_replace(runner->refusals, refusal->task, refusal);
}

bool runner_has_refused(const struct runner *runner, const char *task,
			uint32_t run)
{
	const struct runner_refusal *refusal =
		g_hash_table_lookup(runner->refusals, task);

	return refusal && run <= refusal->run;
}

void runner_refuse(struct runner *runner, const char *task, uint32_t run,
		   enum result result)
{
	struct flow_run_end end = { 0 };

	TEXT_SET(end.task, task);
	end.run = run;
	end.end = FLOW_END_REFUSED;
	end.result = result;
	g_array_append_val(runner->unlisted_ends, end);
	runner_keep_refusal(runner, task, run);
	counter_add(runner->node->counters, "runs_refused", 1);
	counter_inc_label(runner->node->counters, "run_refusals", "result",
			  result_name(result));
	runner_log_run(runner, "run-refused", task, run, "not started", result);
	runner_report_soon(runner);
}

void runner_drop(struct runner *runner, struct runner_run *run,
		 enum result result)
{
	char task[NAME_BYTES];
	uint32_t nr = run->run;

	TEXT_SET(task, run->task);
	g_hash_table_remove(runner->runs, task);
	runner_refuse(runner, task, nr, result);
}

void runner_start_unconfirmed(struct runner *runner, struct runner_run *run,
			      const char *outcome, enum result result)
{
	runner_set_phase(runner, run, RUNNER_UNCONFIRMED);
	runner_log_run(runner, "run-unsure", run->task, run->run, outcome,
		       result);
	runner_stop(runner, run);
}

void runner_start_failed(struct runner *runner, struct runner_run *run,
			 enum result result)
{
	if (run->repeated)
		runner_start_unconfirmed(runner, run,
					 "another call may start it", result);
	else
		runner_drop(runner, run, result);
}

void runner_start(struct runner *runner, struct runner_run *run)
{
	struct exec_call call = { .kind = EXEC_START };

	if (runner->worker.draining) {
		runner_start_failed(runner, run, RESULT_LEAVING);
		return;
	}
	call.deadline_ms = runner_deadline_ms(runner);
	if (!call.deadline_ms ||
	    runner_lease_left_ms(runner) < RUNNER_START_MIN_LEASE_MS) {
		runner_start_failed(runner, run, RESULT_LEASE_EXPIRED);
		return;
	}
	if (!runner_is_turn(runner, run)) {
		runner_log_start_wait(runner, run, "calls");
		return; /* the run stays in RUNNER_NEW */
	}
	call.task = run->task;
	call.run = run->run;
	call.spec = run->spec;
	call.checkpoint = run->checkpoint;
	call.ticket = run->ticket;
	runner_set_phase(runner, run, RUNNER_STARTING);
	counter_add(runner->node->counters, "starts_called", 1);
	runner_call(runner, run, &call);
	if (!timer_armed(&runner->overdue_timer))
		node_timer_ms(runner->node, &runner->overdue_timer,
			      RUNNER_START_OVERDUE_MS);
}

void runner_overdue_due(void *data, uint64_t now_us)
{
	struct runner *runner = data;
	uint64_t next_us = UINT64_MAX;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runner_run *run = value;
		uint64_t due_us =
			run->since_us + RUNNER_START_OVERDUE_MS * 1000ull;

		if (run->phase != RUNNER_STARTING || run->overdue)
			continue;
		if (due_us > now_us) {
			next_us = MIN(next_us, due_us);
			continue;
		}
		run->overdue = true;
		runner_report_soon(runner);
	}
	if (next_us != UINT64_MAX)
		timer_set(runner->node->timers, &runner->overdue_timer,
			  next_us);
}

void runner_stop(struct runner *runner, struct runner_run *run)
{
	struct exec_call call = { .kind = EXEC_STOP };

	if (!run->stop)
		run->stop_due_us = runner->node->now_us;
	run->stop = true;
	if (run->phase == RUNNER_NEW && !run->repeated) {
		runner_drop(runner, run, RESULT_CANCELLED);
		return;
	}
	if (run->phase == RUNNER_NEW)
		runner_set_phase(runner, run, RUNNER_UNCONFIRMED);
	if (run->stop_call_pending || run->stopped_us ||
	    run->phase == RUNNER_STARTING || !runner_is_turn(runner, run))
		return;
	call.task = run->task;
	call.run = run->run;
	run->stop_call_pending = true;
	counter_add(runner->node->counters, "stops_called", 1);
	runner_call(runner, run, &call);
}
