#include "runner_impl.h"

#include <string.h>

/* Log lines and counters for calls to the worker and for the worker's lease. */

static const char *const call_names[] = {
	[EXEC_START] = "start",
	[EXEC_STOP] = "stop",
	[EXEC_POLL] = "look",
	[EXEC_PACE] = "pace",
};

static const char *const verdict_names[] = {
	[EXEC_NO_ANSWER] = "no-answer",
	[EXEC_NOT_SENT] = "not-sent",
	[EXEC_DONE] = "done",
	[EXEC_REFUSED] = "refused",
	[EXEC_OTHER_INCARNATION] = "other-life",
};

/* Explains the results with which a worker refuses calls. */
static const struct refusal_reason {
	enum result result;
	const char *reason;
} refusal_reasons[] = {
	{ RESULT_STALE, "a newer term has called" },
	{ RESULT_CONFLICT, "the run is not newer than one that ended there" },
	{ RESULT_LEASE_EXPIRED, "the call's deadline has passed" },
	{ RESULT_NO_CAPACITY, "no room" },
	{ RESULT_NO_PERMIT, "the ticket is not valid" },
	{ RESULT_MALFORMED, "the call is malformed" },
	{ RESULT_OVERLOADED, "the worker is not healthy" },
};

static const char *refusal_reason(uint32_t result)
{
	for (size_t i = 0; i < G_N_ELEMENTS(refusal_reasons); i++)
		if (refusal_reasons[i].result == result)
			return refusal_reasons[i].reason;
	return "unknown";
}

static uint64_t ms_since(const struct runner *runner, uint64_t since_us)
{
	return (runner->node->now_us - since_us) / 1000;
}

static uint64_t ms_until(const struct runner *runner, uint64_t until_us)
{
	return until_us > runner->node->now_us ?
		       (until_us - runner->node->now_us) / 1000 :
		       0;
}

void runner_trace_incarnation(struct runner *runner)
{
	memset(&runner->trace, 0, sizeof(runner->trace));
	runner->trace.answered_us = runner->node->now_us;
	runner->trace.renewed_us = runner->node->now_us;
	runner->trace.granted_us = runner->node->now_us;
}

void runner_trace_call(struct runner *runner, struct runner_call *call)
{
	struct runner_trace *trace = &runner->trace;

	if (!call->extends_lease)
		return;
	call->lease_until_us = runner->lease_until_us;
	trace->sent_until_us = MAX(trace->sent_until_us, call->lease_until_us);
}

/* ---- replies ---- */

static void runner_log_reply(struct runner *runner, const char *event,
			     const struct runner_call *call,
			     const struct exec_reply *reply)
{
	GString *line = logline_new(event);

	logline_str(line, "kind", call_names[call->kind]);
	if (call->task[0]) {
		logline_str(line, "task", call->task);
		logline_u64(line, "run", call->run);
	}
	logline_str(line, "worker", runner->worker.id);
	logline_u64(line, "life", call->incarnation_nr);
	logline_u64(line, "term", runner->term);
	logline_str(line, "outcome", verdict_names[reply->verdict]);
	if (reply->verdict == EXEC_REFUSED) {
		logline_str(line, "result", result_name(reply->result));
		logline_str(line, "reason", refusal_reason(reply->result));
	}
	if (reply->fault)
		logline_str(line, "fault", reply->fault);
	logline_u64(line, "call", call->call_nr);
	logline_str(line, "resent", reply->resent ? "yes" : "no");
	logline_u64(line, "took_ms", ms_since(runner, call->sent_us));
	logline_u64(line, "lease_left_ms", runner_lease_left_ms(runner));
	node_log(runner->node, line);
}

void runner_log_misdirected(struct runner *runner,
			    const struct runner_call *call,
			    const struct exec_reply *reply)
{
	GString *line = logline_new("call-misdirected");

	counter_inc_label2(runner->node->counters, "calls_misdirected", "kind",
			   call_names[call->kind], "outcome",
			   verdict_names[reply->verdict]);
	logline_str(line, "kind", call_names[call->kind]);
	if (call->task[0]) {
		logline_str(line, "task", call->task);
		logline_u64(line, "run", call->run);
	}
	logline_str(line, "worker", runner->worker.id);
	logline_u64(line, "answered_born_ms", reply->born_ms);
	logline_u64(line, "present_born_ms", runner->worker.born_ms);
	logline_str(line, "outcome", verdict_names[reply->verdict]);
	logline_u64(line, "deadline_ms", call->deadline_ms);
	logline_u64(line, "clock_ms", reply->clock_ms);
	logline_u64(line, "clock_min_ms",
		    worker_clock_min_ms(&runner->clock, call->sent_us));
	logline_u64(line, "fence", call->leader_fence);
	logline_u64(line, "call_fence", call->fence);
	logline_u64(line, "took_ms", ms_since(runner, call->sent_us));
	node_log(runner->node, line);
}

/*
 * Returns true if the worker has accepted the lease's deadline in the call. A
 * refusal because of the run or of missing capacity accepts the deadline, too.
 */
static bool reply_accepts_deadline(const struct exec_reply *reply)
{
	return reply->verdict == EXEC_DONE ||
	       (reply->verdict == EXEC_REFUSED &&
		(reply->result == RESULT_CONFLICT ||
		 reply->result == RESULT_NO_CAPACITY));
}

static void runner_trace_renewed(struct runner *runner,
				 const struct runner_call *call)
{
	struct runner_trace *trace = &runner->trace;
	uint64_t unrenewed_ms = ms_since(runner, trace->renewed_us);
	GString *line;

	if (call->lease_until_us <= trace->accepted_until_us)
		return;
	trace->accepted_until_us = call->lease_until_us;
	counter_observe(runner->node->counters, "lease_renewal_ms",
			unrenewed_ms);
	trace->renewed_us = runner->node->now_us;
	if (trace->unrenewed_logged) {
		line = logline_new("lease-renewed");
		logline_str(line, "worker", runner->worker.id);
		logline_u64(line, "away_ms", unrenewed_ms);
		logline_str(line, "lapsed", trace->lapse_logged ? "yes" : "no");
		logline_u64(line, "runs", g_hash_table_size(runner->runs));
		node_log(runner->node, line);
	}
	trace->unrenewed_logged = false;
	trace->lapse_logged = false;
}

/* Logs the unreadable rows of a list if they differ from the last list's. */
static void runner_trace_unreadable(struct runner *runner,
				    const struct exec_reply *reply)
{
	struct runner_trace *trace = &runner->trace;
	bool full = runner_list_is_full(reply);
	GString *line;

	if (reply->nr_unreadable_runs || reply->nr_unreadable_ends)
		counter_add(runner->node->counters, "looks_partial", 1);
	if (trace->unreadable_runs == reply->nr_unreadable_runs &&
	    trace->unreadable_ends == reply->nr_unreadable_ends &&
	    trace->first_unreadable_nr == reply->first_unreadable_nr &&
	    (trace->list_full == full || !reply->nr_unreadable_ends))
		return;
	trace->unreadable_runs = reply->nr_unreadable_runs;
	trace->unreadable_ends = reply->nr_unreadable_ends;
	trace->first_unreadable_nr = reply->first_unreadable_nr;
	trace->list_full = full;
	line = logline_new("rows-unreadable");
	logline_str(line, "worker", runner->worker.id);
	logline_u64(line, "runs", reply->nr_unreadable_runs);
	logline_u64(line, "ends", reply->nr_unreadable_ends);
	logline_u64(line, "from_nr", reply->first_unreadable_nr);
	logline_u64(line, "settled", runner->settled_nr);
	logline_str(line, "passed",
		    full && reply->first_unreadable_nr ? "yes" : "no");
	node_log(runner->node, line);
}

static void runner_trace_poll(struct runner *runner,
			      const struct exec_reply *reply)
{
	struct runner_trace *trace = &runner->trace;
	bool answered = reply->verdict == EXEC_DONE ||
			reply->verdict == EXEC_REFUSED;

	/* The first answer after unanswered polls keeps their number, for the
	 * log line "worker-reachable". */
	if (!trace->poll_missed)
		trace->unanswered_polls = 0;
	trace->unanswered_ms = ms_since(runner, trace->answered_us);
	trace->poll_missed = !answered;
	if (answered)
		trace->answered_us = runner->node->now_us;
	else
		trace->unanswered_polls++;
	if (reply->verdict == EXEC_DONE)
		runner_trace_unreadable(runner, reply);
}

void runner_trace_reply(struct runner *runner, const struct runner_call *call,
			const struct exec_reply *reply)
{
	struct counters *counters = runner->node->counters;

	if (call->probe_kind) {
		counter_inc_label2(counters, "worker_calls", "kind", "check",
				   "outcome", verdict_names[reply->verdict]);
		return;
	}
	if (call->incarnation_nr != runner->incarnation_nr) {
		counter_inc_label2(counters, "worker_calls", "kind",
				   call_names[call->kind], "outcome",
				   "earlier-life");
		return;
	}
	counter_inc_label2(counters, "worker_calls", "kind",
			   call_names[call->kind], "outcome",
			   verdict_names[reply->verdict]);
	if (reply->resent)
		counter_inc_label(counters, "calls_resent", "kind",
				  call_names[call->kind]);
	if (call->kind == EXEC_POLL)
		runner_trace_poll(runner, reply);
	if (reply->verdict == EXEC_REFUSED) {
		counter_inc_label(counters, "worker_refusals", "result",
				  result_name(reply->result));
		runner_log_reply(runner, "worker-refused", call, reply);
	} else if (reply->verdict != EXEC_DONE) {
		runner_log_reply(runner, "call-unanswered", call, reply);
	} else if (reply->fault) {
		runner_log_reply(runner, "reply-unreadable", call, reply);
	} else if (reply->resent) {
		runner_log_reply(runner, "call-resent", call, reply);
	}
	if (call->extends_lease && reply_accepts_deadline(reply))
		runner_trace_renewed(runner, call);
}

void runner_log_polls(const struct runner *runner, GString *line)
{
	const struct runner_trace *trace = &runner->trace;

	logline_u64(line, "looks_unanswered", trace->unanswered_polls);
	logline_u64(line, "silent_ms", trace->unanswered_ms);
	logline_u64(line, "lease_left_ms", runner_lease_left_ms(runner));
}

/* ---- the lease ---- */

/* Returns why the worker's lease isn't renewed. */
static const char *unrenewed_cause(const struct runner *runner)
{
	if (!runner_has_worker(runner))
		return "no worker";
	if (!runner->reachable)
		return "worker unreachable";
	if (!runner->listed)
		return "not looked yet";
	if (!site_leader(runner->site))
		return "no leader";
	if (ms_since(runner, runner->trace.granted_us) >= RUNNER_UNRENEWED_MS)
		return "leader silent";
	if (!runner_lease_left_ms(runner))
		return "no grant of a lease";
	return runner->poll_in_flight ? "look under way" : "look waits";
}

static void runner_log_lease(struct runner *runner, const char *event)
{
	const struct runner_trace *trace = &runner->trace;
	GString *line = logline_new(event);
	GHashTableIter iter;
	void *task = "";

	g_hash_table_iter_init(&iter, runner->runs);
	g_hash_table_iter_next(&iter, &task, NULL);
	logline_str(line, "worker", runner->worker.id);
	logline_str(line, "cause", unrenewed_cause(runner));
	logline_u64(line, "unrenewed_ms", ms_since(runner, trace->renewed_us));
	logline_u64(line, "heard_ms_ago", ms_since(runner, trace->granted_us));
	logline_u64(line, "granted_left_ms", runner_lease_left_ms(runner));
	logline_u64(line, "sent_left_ms",
		    ms_until(runner, trace->sent_until_us));
	logline_u64(line, "looks_unanswered", trace->unanswered_polls);
	logline_u64(line, "runs", g_hash_table_size(runner->runs));
	logline_str(line, "task", task);
	logline_u64(line, "ends", runner->ends->len);
	logline_id(line, "leader", site_leader(runner->site));
	logline_u64(line, "term", runner->term);
	node_log(runner->node, line);
}

static void runner_trace_lease(struct runner *runner)
{
	struct counters *counters = runner->node->counters;
	struct runner_trace *trace = &runner->trace;

	if (!g_hash_table_size(runner->runs) && !runner->ends->len)
		return;
	if (!trace->unrenewed_logged &&
	    ms_since(runner, trace->renewed_us) >= RUNNER_UNRENEWED_MS) {
		trace->unrenewed_logged = true;
		counter_add(counters, "leases_unrenewed", 1);
		runner_log_lease(runner, "lease-unrenewed");
	}
	if (trace->unrenewed_logged && !trace->lapse_logged &&
	    trace->sent_until_us &&
	    trace->sent_until_us <= runner->node->now_us) {
		trace->lapse_logged = true;
		counter_add(counters, "leases_lapsed", 1);
		runner_log_lease(runner, "lease-lapsed");
	}
}

/* ---- runs and ends ---- */

static void runner_trace_settled(struct runner *runner)
{
	GString *line;

	if (runner->settled_nr == runner->trace.settled_nr)
		return;
	line = logline_new("ends-settled");
	logline_str(line, "worker", runner->worker.id);
	logline_u64(line, "from", runner->trace.settled_nr);
	logline_u64(line, "to", runner->settled_nr);
	logline_u64(line, "listed", runner->ends->len);
	logline_u64(line, "term", runner->term);
	node_log(runner->node, line);
	runner->trace.settled_nr = runner->settled_nr;
}

void runner_log_start_wait(struct runner *runner, struct runner_run *run,
			   const char *reason)
{
	GString *line;

	if (run->wait_logged)
		return;
	run->wait_logged = true;
	counter_inc_label(runner->node->counters, "starts_waiting", "reason",
			  reason);
	line = logline_new("start-waits");
	logline_str(line, "task", run->task);
	logline_u64(line, "run", run->run);
	logline_str(line, "reason", reason);
	logline_u64(line, "term", runner->term);
	logline_u64(line, "fence", runner->fence);
	logline_u64(line, "lease_left_ms", runner_lease_left_ms(runner));
	node_log(runner->node, line);
}

void runner_log_started(struct runner *runner, const struct runner_call *call,
			const struct runner_run *run,
			const struct exec_reply *reply)
{
	GString *line = logline_new("task-started");

	logline_str(line, "task", run->task);
	logline_u64(line, "run", run->run);
	logline_str(line, "worker", runner->worker.id);
	logline_u64(line, "term", runner->term);
	logline_str(line, "outcome", "started");
	logline_u64(line, "fence", call->leader_fence);
	logline_u64(line, "call_fence", call->fence);
	logline_u64(line, "deadline_ms", call->deadline_ms);
	logline_u64(line, "clock_ms", reply->clock_ms);
	logline_u64(line, "ordered_ms_ago", ms_since(runner, run->added_us));
	logline_u64(line, "took_ms", ms_since(runner, call->sent_us));
	node_log(runner->node, line);
}

void runner_log_absent(struct runner *runner, const struct runner_run *run)
{
	static const char *const phases[] = {
		[RUNNER_NEW] = "new",
		[RUNNER_STARTING] = "starting",
		[RUNNER_UNCONFIRMED] = "unsure",
		[RUNNER_RUNNING] = "on",
	};
	GString *line = logline_new("run-absent");

	counter_inc_label(runner->node->counters, "runs_absent", "phase",
			  phases[run->phase]);
	logline_str(line, "task", run->task);
	logline_u64(line, "run", run->run);
	logline_str(line, "phase", phases[run->phase]);
	logline_u64(line, "phase_ms", ms_since(runner, run->since_us));
	logline_str(line, "stopped", run->stopped_us ? "yes" : "no");
	logline_u64(line, "ends_listed", runner->ends->len);
	logline_u64(line, "settled", runner->settled_nr);
	node_log(runner->node, line);
}

void runner_trace_report(struct runner *runner)
{
	struct counters *counters = runner->node->counters;

	counter_set(counters, "lease_left_ms", runner_lease_left_ms(runner));
	counter_set(counters, "runs", g_hash_table_size(runner->runs));
	counter_set(counters, "ends_unsettled", runner->ends->len);
	counter_set(counters, "call_fence_count",
		    runner->call_fence % WORKER_FENCE_AGENT_COUNTS);
	counter_set(counters, "worker_calls_open",
		    g_hash_table_size(runner->calls));
	if (ms_since(runner, runner->trace.acks_logged_us) >=
	    RUNNER_REPORT_INTERVAL_MS) {
		runner->trace.acks_logged_us = runner->node->now_us;
		runner_trace_settled(runner);
	}
	runner_trace_lease(runner);
}
