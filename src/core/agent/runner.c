#include "runner.h"

#include <string.h>

#include "runner_impl.h"

static bool runner_has_worker(const struct runner *runner)
{
	return runner->worker.id[0] && !runner->worker.ended;
}

void runner_report_soon(struct runner *runner)
{
	uint64_t due_us =
		runner->node->now_us + RUNNER_REPORT_SOON_MS * 1000ull;

	if (!timer_armed(&runner->report_timer) ||
	    runner->report_timer.due_us > due_us)
		timer_set(runner->node->timers, &runner->report_timer, due_us);
}

static void runner_run_free(void *data)
{
	struct runner_run *run = data;

	if (run->spec)
		g_bytes_unref(run->spec);
	g_free(run);
}

static struct runner_run *runner_find(const struct runner *runner,
				      const char *task, uint32_t nr)
{
	struct runner_run *run = g_hash_table_lookup(runner->runs, task);

	return run && run->run == nr ? run : NULL;
}

static struct runner_run *runner_add(struct runner *runner, const char *task,
				     uint32_t nr, enum runner_phase phase)
{
	struct runner_run *run = g_new0(struct runner_run, 1);

	TEXT_SET(run->task, task);
	run->run = nr;
	run->phase = phase;
	run->since_us = runner->node->now_us;
	run->pace = 100;
	g_hash_table_replace(runner->runs, run->task, run);
	return run;
}

static void runner_set_phase(struct runner *runner, struct runner_run *run,
			     enum runner_phase phase)
{
	run->phase = phase;
	run->since_us = runner->node->now_us;
}

static void runner_log_run(struct runner *runner, const char *event,
			   const char *task, uint32_t run, const char *outcome,
			   enum result result)
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

/* An order may come twice; the second must not start what was refused. */
static void runner_keep_refusal(struct runner *runner, const char *task,
				uint32_t run)
{
	struct runner_refusal *refusal = g_new0(struct runner_refusal, 1);

	if (g_hash_table_size(runner->refusals) >= RUNNER_REFUSALS_MAX)
		g_hash_table_foreach_remove(runner->refusals,
					    runner_refusal_is_old, runner);
	TEXT_SET(refusal->task, task);
	refusal->run = run;
	refusal->at_us = runner->node->now_us;
	g_hash_table_replace(runner->refusals, refusal->task, refusal);
}

static bool runner_has_refused(const struct runner *runner, const char *task,
			       uint32_t run)
{
	const struct runner_refusal *refusal =
		g_hash_table_lookup(runner->refusals, task);

	return refusal && run <= refusal->run;
}

/* The run never started and never will: the leader may place it anew. */
static void runner_refuse(struct runner *runner, const char *task, uint32_t run,
			  enum result result)
{
	struct flow_run_end end = { 0 };

	TEXT_SET(end.task, task);
	end.run = run;
	end.end = FLOW_END_REFUSED;
	end.result = result;
	g_array_append_val(runner->own_ends, end);
	runner_keep_refusal(runner, task, run);
	counter_add(runner->node->counters, "runs_refused", 1);
	runner_log_run(runner, "run-refused", task, run, "not started", result);
	runner_report_soon(runner);
}

static void runner_drop(struct runner *runner, struct runner_run *run,
			enum result result)
{
	char task[NAME_BYTES];
	uint32_t nr = run->run;

	TEXT_SET(task, run->task);
	g_hash_table_remove(runner->runs, task);
	runner_refuse(runner, task, nr, result);
}

/* ---- the worker's lease ---- */

/*
 * A deadline on the worker's clock that passes before our lease ends, though
 * that clock may run slow; 0 if there is none.
 */
static uint64_t runner_deadline_ms(const struct runner *runner)
{
	uint64_t left_us;

	if (!runner->clock_ms || runner->lease_until_us <= runner->node->now_us)
		return 0;
	left_us = runner->lease_until_us - runner->clock_us;
	return runner->clock_ms +
	       left_us / 1000 * (1000 - WORKER_CLOCK_SLOW_PERMILLE) / 1000;
}

/* How long the worker's lease still runs by our grant. */
static uint64_t runner_lease_left_ms(const struct runner *runner)
{
	return runner->lease_until_us > runner->node->now_us ?
		       (runner->lease_until_us - runner->node->now_us) / 1000 :
		       0;
}

static uint32_t runner_late_ms(const struct runner *runner)
{
	uint64_t until_us = runner->unanswered_us +
			    (LATE_CALL_MS + FLOW_LEASE_MAX_MS) * 1000ull;

	/* A worker that is silent altogether carries nothing out. */
	if (!runner->unanswered_us ||
	    runner->worker_heard_us <= runner->unanswered_us ||
	    until_us <= runner->node->now_us)
		return 0;
	return (uint32_t)((until_us - runner->node->now_us) / 1000);
}

/* ---- calls ---- */

void runner_call(struct runner *runner, struct exec_call *call)
{
	struct runner_call *kept = g_new0(struct runner_call, 1);

	call->address = runner->address;
	call->life = runner->worker.id;
	call->fence = runner->term;
	kept->call_nr = ++runner->call_nr;
	kept->kind = call->kind;
	kept->sent_us = runner->node->now_us;
	kept->life = runner->life_nr;
	kept->extends = call->deadline_ms != 0;
	kept->run = call->run;
	kept->percent = call->percent;
	TEXT_SET(kept->task, call->task ? call->task : "");
	g_hash_table_insert(runner->calls, &kept->call_nr, kept);
	runner->opts.host->call(runner->opts.host_ctx, kept->call_nr, call);
}

static void runner_hold(struct runner *runner)
{
	struct exec_call call = { .kind = EXEC_HOLD };

	if (runner->holding || !runner_has_worker(runner))
		return;
	timer_cancel(runner->node->timers, &runner->hold_timer);
	runner->holding = true;
	/* A worker that doesn't answer must let its lease lapse. */
	if (runner->reachable || !runner->looked)
		call.deadline_ms = runner_deadline_ms(runner);
	call.settled_nr = runner->settled_nr;
	/* The first look is wanted at once. */
	if (runner->looked)
		call.wait_ms = runner_pace_matters(runner) ? HOLD_WAIT_PACE_MS :
							     HOLD_WAIT_MS;
	runner_call(runner, &call);
}

static void runner_hold_due(void *data, uint64_t now_us)
{
	runner_hold(data);
}

static void runner_start(struct runner *runner, struct runner_run *run)
{
	struct exec_call call = { .kind = EXEC_START };

	if (runner->worker.draining) {
		runner_drop(runner, run, RESULT_LEAVING);
		return;
	}
	call.deadline_ms = runner_deadline_ms(runner);
	if (!call.deadline_ms ||
	    runner_lease_left_ms(runner) < RUNNER_START_LEASE_MS) {
		runner_drop(runner, run, RESULT_LEASE_EXPIRED);
		return;
	}
	call.task = run->task;
	call.run = run->run;
	call.spec = run->spec;
	call.checkpoint = run->checkpoint;
	call.ticket = run->ticket;
	runner_set_phase(runner, run, RUNNER_STARTING);
	counter_add(runner->node->counters, "starts_called", 1);
	runner_call(runner, &call);
}

static void runner_stop(struct runner *runner, struct runner_run *run)
{
	struct exec_call call = { .kind = EXEC_STOP };

	run->stop = true;
	if (run->phase == RUNNER_NEW) {
		runner_drop(runner, run, RESULT_CANCELLED);
		return;
	}
	if (run->stop_calling || run->stopped_us ||
	    run->phase == RUNNER_STARTING)
		return;
	call.task = run->task;
	call.run = run->run;
	run->stop_calling = true;
	counter_add(runner->node->counters, "stops_called", 1);
	runner_call(runner, &call);
}

/* Repeats stops that had no answer. */
static void runner_run_due(void *data, uint64_t now_us)
{
	struct runner *runner = data;
	GHashTableIter iter;
	bool again = false;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runner_run *run = value;

		if (!run->stop || run->stopped_us || run->stop_calling)
			continue;
		if (run->stop_due_us <= now_us)
			runner_stop(runner, run);
		again = true;
	}
	if (again)
		node_timer_ms(runner->node, &runner->run_timer, STOP_REPEAT_MS);
}

/* ---- lives of the worker ---- */

static void runner_log_worker(struct runner *runner, const char *event)
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
	node_log(runner->node, line);
}

/*
 * A start without an answer may still be carried out by a later life under the
 * same identity.
 */
static void runner_keep_unsure(struct runner *runner)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;
		struct runner_unsure unsure = { .run = run->run };

		if (run->phase != RUNNER_STARTING &&
		    run->phase != RUNNER_UNSURE)
			continue;
		TEXT_SET(unsure.task, run->task);
		unsure.until_us = runner->node->now_us + LATE_CALL_MS * 1000ull;
		g_array_append_val(runner->unsure, unsure);
	}
}

static void runner_forget_life(struct runner *runner)
{
	runner->life_nr++;
	runner->clock_ms = 0;
	runner->unanswered_us = 0;
	runner->looked = false;
	runner->reachable = false;
	runner->settled_nr = 0;
	runner->holding = false;
	runner->pace_limit = 100;
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

	if (worker->id[0] &&
	    (same ? worker->ended || seq <= runner->worker_seq :
		    life->born_ms < worker->born_ms)) {
		counter_add(runner->node->counters, "heartbeats_stale", 1);
		return RESULT_STALE;
	}
	if (!same && !strcmp(worker->id, life->id))
		runner_keep_unsure(runner);
	if (!same)
		runner_forget_life(runner);
	*worker = *life;
	/* A worker that leaves doesn't come back in this life. */
	worker->draining = worker->draining || was_draining;
	TEXT_SET(runner->address, address);
	runner->worker_seq = seq;
	runner->worker_heard_us = runner->node->now_us;
	counter_add(runner->node->counters, "heartbeats", 1);
	if (!same || was_draining != worker->draining) {
		runner_log_worker(runner, same ? "worker-draining" :
						 "worker-registered");
		runner_report_soon(runner);
	}
	if (!timer_armed(&runner->hold_timer))
		runner_hold(runner);
	return RESULT_OK;
}

void runner_deregister(struct runner *runner, const char *id)
{
	if (!runner_has_worker(runner) || strcmp(runner->worker.id, id) != 0)
		return;
	runner_log_worker(runner, "worker-deregistered");
	runner_forget_life(runner);
	runner->worker.ended = true;
	runner_report_soon(runner);
}

/* ---- replies ---- */

static void runner_start_done(struct runner *runner,
			      const struct runner_call *call,
			      const struct exec_reply *reply)
{
	struct runner_run *run = runner_find(runner, call->task, call->run);

	if (!run || run->phase != RUNNER_STARTING)
		return;
	switch (reply->verdict) {
	case EXEC_DONE:
		runner_set_phase(runner, run, RUNNER_ON);
		runner_log_run(runner, "task-started", run->task, run->run,
			       "started", RESULT_OK);
		if (run->stop)
			runner_stop(runner, run);
		else if (run->filler)
			runner_pace(runner);
		break;
	case EXEC_NOT_SENT:
	case EXEC_REFUSED:
	case EXEC_OTHER_LIFE:
		runner_drop(
			runner, run,
			reply->verdict == EXEC_REFUSED	? reply->result :
			reply->verdict == EXEC_NOT_SENT ? RESULT_NO_UPSTREAM :
							  RESULT_OTHER_LIFE);
		break;
	default:
		/* It may come later; a stop makes sure that it doesn't. */
		runner_set_phase(runner, run, RUNNER_UNSURE);
		runner_log_run(runner, "run-unsure", run->task, run->run,
			       "no answer to the start", RESULT_TIMEOUT);
		runner_report_soon(runner);
		runner_stop(runner, run);
		break;
	}
}

static void runner_stop_done(struct runner *runner,
			     const struct runner_call *call,
			     const struct exec_reply *reply)
{
	struct runner_run *run = runner_find(runner, call->task, call->run);

	if (!run)
		return;
	run->stop_calling = false;
	if (reply->verdict == EXEC_DONE) {
		run->stopped_us = runner->node->now_us;
		runner_hold(runner);
		return;
	}
	run->stop_due_us = runner->node->now_us + STOP_REPEAT_MS * 1000ull;
	if (!timer_armed(&runner->run_timer))
		node_timer_ms(runner->node, &runner->run_timer, STOP_REPEAT_MS);
}

/* Takes the runs that the worker lists. */
static void runner_take_runs(struct runner *runner, GHashTable *listed,
			     const struct exec_reply *reply)
{
	for (uint32_t i = 0; i < reply->nr_runs; i++) {
		const struct flow_run *seen = &reply->runs[i];
		struct runner_run *run =
			runner_find(runner, seen->task, seen->run);

		if (!run) {
			run = runner_add(runner, seen->task, seen->run,
					 RUNNER_ON);
			/* Whoever ordered it; the leader says what it is. */
			runner_report_soon(runner);
		}
		if (run->phase != RUNNER_ON)
			runner_set_phase(runner, run, RUNNER_ON);
		run->seen = *seen;
		g_hash_table_add(listed, run);
	}
}

static bool runner_knows_end(const struct runner *runner, uint64_t nr)
{
	for (guint i = 0; i < runner->ends->len; i++)
		if (g_array_index(runner->ends, struct flow_run_end, i).nr ==
		    nr)
			return true;
	return false;
}

/* Takes the ends that the worker lists; returns true if any is new. */
static bool runner_take_ends(struct runner *runner,
			     const struct exec_reply *reply)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	bool fresh = false;

	for (uint32_t i = 0; i < reply->nr_ends; i++) {
		const struct flow_run_end *end = &reply->ends[i];

		if (runner_find(runner, end->task, end->run))
			g_hash_table_remove(runner->runs, end->task);
		if (end->nr <= runner->settled_nr)
			continue;
		if (!runner_knows_end(runner, end->nr)) {
			fresh = true;
			runner_log_run(runner, "run-ended", end->task, end->run,
				       flow_end_name(end->end), RESULT_OK);
		}
		g_array_append_val(ends, *end);
	}
	g_array_unref(runner->ends);
	runner->ends = ends;
	return fresh;
}

/* Settles the runs that the worker was asked about and doesn't have. */
static void runner_sweep(struct runner *runner, const GHashTable *listed,
			 const struct runner_call *call)
{
	GPtrArray *absent = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct runner_run *run = value;

		if (g_hash_table_contains((GHashTable *)listed, run))
			continue;
		/* A list that was asked for before proves nothing. */
		if (run->stopped_us ? run->stopped_us <= call->sent_us :
				      run->phase == RUNNER_ON &&
					      run->since_us <= call->sent_us)
			g_ptr_array_add(absent, run);
	}
	for (guint i = 0; i < absent->len; i++)
		runner_drop(runner, absent->pdata[i], RESULT_TIMEOUT);
	g_ptr_array_unref(absent);
}

static void runner_hold_next(struct runner *runner, bool fresh, bool answered)
{
	uint32_t wait_ms = 0;

	/* Ends that are listed again and again answer the hold at once. */
	if (!answered)
		wait_ms = HOLD_RETRY_MS;
	else if (runner->ends->len)
		wait_ms = HOLD_ENDS_MS;
	node_timer_ms(runner->node, &runner->hold_timer, wait_ms);
	if (fresh)
		runner_report_soon(runner);
}

static void runner_hold_done(struct runner *runner,
			     const struct runner_call *call,
			     const struct exec_reply *reply)
{
	bool answered = reply->verdict == EXEC_DONE;
	bool was_reachable = runner->reachable;
	GHashTable *listed;
	bool fresh = false;

	runner->holding = false;
	/* A refusal by the fence is an answer, too. */
	runner->reachable = answered || reply->verdict == EXEC_REFUSED;
	if (answered) {
		listed = g_hash_table_new(NULL, NULL);
		runner_take_runs(runner, listed, reply);
		fresh = runner_take_ends(runner, reply);
		runner_sweep(runner, listed, call);
		g_hash_table_unref(listed);
		fresh = fresh || !runner->looked;
		runner->looked = true;
		runner_pace(runner);
	}
	if (was_reachable != runner->reachable) {
		runner_log_worker(runner, runner->reachable ?
						  "worker-reachable" :
						  "worker-unreachable");
		fresh = true;
	}
	runner_hold_next(runner, fresh, answered);
}

void runner_call_done(struct runner *runner, uint64_t call_nr,
		      const struct exec_reply *reply)
{
	struct runner_call *call = g_hash_table_lookup(runner->calls, &call_nr);

	if (!call)
		return;
	g_hash_table_steal(runner->calls, &call_nr);
	if (call->life != runner->life_nr)
		goto out; /* it concerned an earlier life */
	if (reply->clock_ms) {
		runner->clock_ms = reply->clock_ms;
		runner->clock_us = runner->node->now_us;
	}
	if (reply->verdict == EXEC_NO_ANSWER) {
		counter_add(runner->node->counters, "calls_unanswered", 1);
		if (call->extends)
			runner->unanswered_us =
				MAX(runner->unanswered_us, call->sent_us);
	}
	switch (call->kind) {
	case EXEC_START:
		runner_start_done(runner, call, reply);
		break;
	case EXEC_STOP:
		runner_stop_done(runner, call, reply);
		break;
	case EXEC_HOLD:
		runner_hold_done(runner, call, reply);
		break;
	case EXEC_PACE:
		runner_pace_done(runner, call, reply);
		break;
	}
out:
	g_free(call);
}

/* A host that loses a call must not keep the worker from being looked at. */
static void runner_expire_calls(struct runner *runner)
{
	static const struct exec_reply none = { .verdict = EXEC_NO_ANSWER };
	GArray *stuck = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_call *call = value;

		if (runner->node->now_us - call->sent_us >
		    RUNNER_CALL_MAX_MS * 1000ull)
			g_array_append_val(stuck, call->call_nr);
	}
	for (guint i = 0; i < stuck->len; i++) {
		uint64_t call_nr = g_array_index(stuck, uint64_t, i);
		GString *line = logline_new("call-stuck");

		logline_u64(line, "call", call_nr);
		logline_str(line, "worker", runner->worker.id);
		node_log(runner->node, line);
		counter_add(runner->node->counters, "calls_stuck", 1);
		runner_call_done(runner, call_nr, &none);
	}
	g_array_unref(stuck);
}

/* ---- the leader ---- */

static void runner_add_run(GArray *runs, const struct runner_run *run)
{
	struct flow_run item = run->seen;

	TEXT_SET(item.task, run->task);
	item.run = run->run;
	item.unconfirmed = run->phase != RUNNER_ON;
	item.unordered = !run->ordered && !run->stop;
	item.pace = run->pace;
	g_array_append_val(runs, item);
}

static void runner_add_unsure(struct runner *runner, GArray *runs)
{
	for (guint i = runner->unsure->len; i-- > 0;) {
		const struct runner_unsure *unsure =
			&g_array_index(runner->unsure, struct runner_unsure, i);
		struct flow_run item = { 0 };

		if (unsure->until_us <= runner->node->now_us) {
			g_array_remove_index_fast(runner->unsure, i);
			continue;
		}
		TEXT_SET(item.task, unsure->task);
		item.run = unsure->run;
		item.unconfirmed = true;
		g_array_append_val(runs, item);
	}
}

static void runner_report(void *data, uint64_t now_us)
{
	struct runner *runner = data;
	uint64_t leader = site_leader(runner->site);
	struct flow_report report = { 0 };
	GArray *runs;
	GArray *ends;
	GHashTableIter iter;
	void *value;

	runner_expire_calls(runner);
	node_timer_ms(runner->node, &runner->report_timer,
		      RUNNER_REPORT_INTERVAL_MS);
	if (!leader)
		return;
	runs = g_array_new(FALSE, FALSE, sizeof(struct flow_run));
	ends = g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	report.seq = ++runner->report_seq;
	report.sent_us = now_us;
	TEXT_SET(report.vm, runner->node->self.name);
	TEXT_SET(report.zone, runner->node->self.zone);
	report.worker = runner->worker;
	report.reachable = runner->reachable;
	report.looked = runner->looked;
	report.late_ms = runner_late_ms(runner);
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		runner_add_run(runs, value);
	runner_add_unsure(runner, runs);
	g_array_append_vals(ends, runner->ends->data, runner->ends->len);
	g_array_append_vals(ends, runner->own_ends->data,
			    runner->own_ends->len);
	g_array_set_size(runner->own_ends, 0);
	report.nr_runs = runs->len;
	report.runs = (struct flow_run *)(void *)runs->data;
	report.nr_ends = ends->len;
	report.ends = (struct flow_run_end *)(void *)ends->data;
	node_send(runner->node, leader, MSG_FLOW_REPORT, &report);
	g_array_unref(runs);
	g_array_unref(ends);
}

static bool runner_take_term(struct runner *runner, uint64_t term)
{
	if (term < runner->term) {
		counter_add(runner->node->counters, "orders_stale", 1);
		return false;
	}
	runner->term = term;
	return true;
}

static bool runner_is_life(const struct runner *runner, const char *id,
			   uint64_t born_ms)
{
	return !strcmp(runner->worker.id, id) &&
	       runner->worker.born_ms == born_ms;
}

static void runner_on_grant(struct runner *runner,
			    const struct flow_grant *grant)
{
	if (!runner_take_term(runner, grant->term) ||
	    !runner_is_life(runner, grant->worker, grant->born_ms))
		return;
	if (grant->lease_ms)
		runner->lease_until_us =
			MAX(runner->lease_until_us,
			    grant->sent_us + grant->lease_ms * 1000ull);
	if (!runner->looked)
		runner_hold(runner); /* the term is known now */
	if (grant->settled_nr <= runner->settled_nr)
		return;
	runner->settled_nr = grant->settled_nr;
	for (guint i = runner->ends->len; i-- > 0;)
		if (g_array_index(runner->ends, struct flow_run_end, i).nr <=
		    runner->settled_nr)
			g_array_remove_index(runner->ends, i);
	runner_hold(runner);
}

static void runner_on_start(struct runner *runner,
			    const struct flow_order *order)
{
	struct runner_run *run = g_hash_table_lookup(runner->runs, order->task);
	bool known = run != NULL;

	if (!run && runner_has_refused(runner, order->task, order->run)) {
		runner_refuse(runner, order->task, order->run, RESULT_STALE);
		return;
	}
	if (run && run->run != order->run) {
		runner_refuse(runner, order->task, order->run,
			      RESULT_IN_PROGRESS);
		return;
	}
	if (!run)
		run = runner_add(runner, order->task, order->run, RUNNER_NEW);
	run->ordered = true;
	run->filler = order->filler;
	run->target_ms = order->target_ms;
	run->press_permille = order->press_permille;
	if (known)
		return;
	run->spec = order->spec ? g_bytes_ref(order->spec) : NULL;
	TEXT_SET(run->checkpoint, order->checkpoint);
	TEXT_SET(run->ticket, order->ticket);
	runner_start(runner, run);
}

static void runner_on_stop(struct runner *runner,
			   const struct flow_order *order)
{
	struct runner_run *run = runner_find(runner, order->task, order->run);

	/* A start that is still under way to the worker must find the stop. */
	if (!run) {
		if (g_hash_table_contains(runner->runs, order->task))
			return;
		run = runner_add(runner, order->task, order->run,
				 RUNNER_UNSURE);
	}
	run->ordered = true;
	if (!run->stop)
		runner_log_run(runner, "task-stopping", run->task, run->run,
			       "ordered", RESULT_OK);
	runner_stop(runner, run);
}

static void runner_on_orders(struct runner *runner,
			     const struct flow_orders *orders)
{
	bool life;

	/* Before its worker's first heartbeat, this agent can't tell lives
	 * apart; the leader repeats its orders. */
	if (!runner_take_term(runner, orders->term) || !runner->worker.id[0])
		return;
	life = runner_has_worker(runner) &&
	       runner_is_life(runner, orders->worker, orders->born_ms);
	for (uint32_t i = 0; i < orders->nr_orders; i++) {
		const struct flow_order *order = &orders->orders[i];

		if (!life)
			runner_refuse(runner, order->task, order->run,
				      RESULT_OTHER_LIFE);
		else if (order->action == FLOW_START)
			runner_on_start(runner, order);
		else
			runner_on_stop(runner, order);
	}
}

/* ---- the role ---- */

static void runner_begin(void *role)
{
	struct runner *runner = role;

	site_start(runner->site);
	runner_report(runner, runner->node->now_us);
}

static void runner_peer_up(void *role, const struct link *link)
{
	struct runner *runner = role;

	site_peer_up(runner->site, link);
}

static void runner_peer_down(void *role, const struct link *link)
{
	struct runner *runner = role;

	site_peer_down(runner->site, link);
}

static void runner_message(void *role, uint64_t from, uint32_t type,
			   const void *body)
{
	struct runner *runner = role;

	if (site_message(runner->site, from, type, body))
		return;
	if (type == MSG_FLOW_GRANT)
		runner_on_grant(runner, body);
	else if (type == MSG_FLOW_ORDERS)
		runner_on_orders(runner, body);
	else
		counter_add(runner->node->counters, "messages_unknown", 1);
}

/* The worker goes on; another agent process finds its runs. */
static bool runner_idle(const void *role)
{
	const struct runner *runner = role;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct runner_call *)value)->kind != EXEC_HOLD)
			return false;
	return true;
}

static void runner_free(void *role)
{
	struct runner *runner = role;

	timer_cancel(runner->node->timers, &runner->report_timer);
	timer_cancel(runner->node->timers, &runner->hold_timer);
	timer_cancel(runner->node->timers, &runner->run_timer);
	site_free(runner->site);
	g_hash_table_unref(runner->runs);
	g_hash_table_unref(runner->calls);
	g_array_unref(runner->ends);
	g_array_unref(runner->own_ends);
	g_array_unref(runner->unsure);
	g_hash_table_unref(runner->refusals);
	g_free(runner);
}

static const struct role_ops runner_role = {
	.role = ROLE_AGENT,
	.start = runner_begin,
	.peer_up = runner_peer_up,
	.peer_down = runner_peer_down,
	.message = runner_message,
	.idle = runner_idle,
	.free = runner_free,
};

static void runner_leader_changed(void *ctx, uint64_t node_id)
{
	struct runner *runner = ctx;

	if (node_id)
		runner_report_soon(runner);
}

static const struct site_ops runner_site_ops = {
	.leader_changed = runner_leader_changed,
};

struct runner *runner_new(struct node *node, const struct runner_opts *opts)
{
	struct runner *runner = g_new0(struct runner, 1);
	struct site_opts site_opts = {
		.ops = &runner_site_ops,
		.ctx = runner,
		.control_addresses = opts->control_addresses,
	};

	runner->node = node;
	runner->opts = *opts;
	runner->pace_limit = 100;
	runner->runs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     runner_run_free);
	runner->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	runner->ends = g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	runner->own_ends =
		g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	runner->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	runner->unsure =
		g_array_new(FALSE, FALSE, sizeof(struct runner_unsure));
	runner->report_timer = (struct timer){ runner_report, runner };
	runner->hold_timer = (struct timer){ runner_hold_due, runner };
	runner->run_timer = (struct timer){ runner_run_due, runner };
	runner->site = site_new(node, &site_opts);
	node_set_role(node, &runner_role, runner);
	return runner;
}

void runner_add_controls(struct runner *runner, const char *const *addresses)
{
	site_add_controls(runner->site, addresses);
}
