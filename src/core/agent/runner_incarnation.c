#include "runner_impl.h"

#include <string.h>

/*
 * Incarnations of the worker, that is executions of its process: heartbeats,
 * candidates (see struct runner_candidate) and deregistration.
 */

void runner_log_worker(struct runner *runner, const char *event)
{
	const struct worker_incarnation *worker = &runner->worker;
	GString *line = logline_new(event);

	logline_str(line, "worker", worker->id);
	logline_u64(line, "born_ms", worker->born_ms);
	logline_str(line, "service", worker->service);
	logline_u64(line, "cpu_millis", worker->cpu_millis);
	logline_u64(line, "memory_mib", worker->memory_mib);
	logline_str(line, "rack", worker->rack);
	logline_str(line, "state", worker->draining ? "draining" : "ready");
	logline_u64(line, "runs", g_hash_table_size(runner->runs));
	runner_log_polls(runner, line);
	node_log(runner->node, line);
}

void runner_keep_late_start(struct runner *runner, const char *task,
			    uint32_t run, bool has_copy)
{
	struct runner_late_start start = { .run = run, .has_copy = has_copy };

	/*
	 * Drops expired records, and the task's earlier one: a stop of its
	 * highest run bars the lower ones, too.
	 */
	for (guint i = runner->late_starts->len; i-- > 0;) {
		const struct runner_late_start *known = &g_array_index(
			runner->late_starts, struct runner_late_start, i);
		bool same = !strcmp(known->task, task);
		bool expired = known->until_us <= runner->node->now_us;

		if (same)
			start.run = MAX(start.run, known->run);
		if (same && !expired)
			start.has_copy = start.has_copy || known->has_copy;
		if (same || expired)
			g_array_remove_index(runner->late_starts, i);
	}
	TEXT_SET(start.task, task);
	start.until_us =
		runner->node->now_us + WORKER_CALL_MAX_DELAY_MS * 1000ull;
	g_array_append_val(runner->late_starts, start);
}

/* Records the start calls that the ended incarnation hasn't answered. */
static void runner_keep_unanswered_starts(struct runner *runner)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		if (run->phase == RUNNER_STARTING ||
		    run->phase == RUNNER_UNCONFIRMED || run->unattributed)
			runner_keep_late_start(runner, run->task, run->run,
					       run->repeated);
	}
}

void runner_add_late_starts(const struct runner *runner, GArray *runs)
{
	for (guint i = 0; i < runner->late_starts->len; i++) {
		const struct runner_late_start *start = &g_array_index(
			runner->late_starts, struct runner_late_start, i);
		struct flow_run run = { .run = start->run,
					.unconfirmed = true };

		/* A worker that has ended may be restarted under its id. */
		if (start->until_us <= runner->node->now_us ||
		    !(runner->restarted || start->has_copy))
			continue;
		TEXT_SET(run.task, start->task);
		g_array_append_val(runs, run);
	}
}

/*
 * Stops the runs that the new incarnation may start because it may still carry
 * out calls that the earlier one hasn't answered.
 */
static void runner_stop_late_starts(struct runner *runner)
{
	for (guint i = 0; i < runner->late_starts->len; i++) {
		const struct runner_late_start *start = &g_array_index(
			runner->late_starts, struct runner_late_start, i);

		if (start->until_us > runner->node->now_us &&
		    !g_hash_table_contains(runner->runs, start->task))
			runner_stop(runner,
				    runner_add(runner, start->task, start->run,
					       RUNNER_UNCONFIRMED));
	}
}

/*
 * Copies the listed ends that aren't acknowledged to the unlisted ends: they
 * remain valid though the incarnation that listed them has ended.
 */
static void runner_keep_ends(struct runner *runner)
{
	for (guint i = 0; i < runner->ends->len; i++) {
		struct flow_run_end end =
			g_array_index(runner->ends, struct flow_run_end, i);

		end.nr = 0; /* each incarnation has its own numbers */
		g_array_append_val(runner->unlisted_ends, end);
	}
}

static void runner_reset_incarnation(struct runner *runner)
{
	runner_keep_ends(runner);
	runner_keep_unanswered_starts(runner);
	runner->incarnation_nr++;
	runner_trace_incarnation(runner);
	memset(&runner->clock, 0, sizeof(runner->clock));
	runner->answered_fence = 0;
	runner->earlier_fence = 0;
	runner->listed = false;
	runner->reachable = false;
	runner->in_contact = false;
	runner->missed_polls = 0;
	runner->settled_nr = 0;
	runner->first_listed_nr = 0;
	runner->nr_unreadable_ends = 0;
	runner->first_unreadable_nr = 0;
	runner->poll_in_flight = false;
	runner->reported_draining = false;
	runner->deregistered_us = 0;
	runner->restarted = false;
	runner->restart_seen = false;
	g_hash_table_remove_all(runner->runs);
	g_array_set_size(runner->superseded, 0);
	g_array_set_size(runner->ends, 0);
	timer_cancel(runner->node->timers, &runner->poll_timer);
	timer_cancel(runner->node->timers, &runner->leaving_timer);
}

/* ---- the current incarnation ---- */

static bool
worker_incarnation_equal(const struct worker_incarnation *incarnation,
			 const struct worker_incarnation *other)
{
	return !strcmp(incarnation->id, other->id) &&
	       incarnation->born_ms == other->born_ms;
}

/* Applies a heartbeat of the current incarnation. */
static void runner_update_worker(struct runner *runner,
				 const struct worker_incarnation *incarnation,
				 const char *address, uint64_t seq)
{
	runner->worker = *incarnation;
	/* An incarnation that drains never becomes ready again. */
	runner->reported_draining = runner->reported_draining ||
				    incarnation->draining;
	runner->worker.draining = runner->reported_draining ||
				  runner->deregistered_us;
	TEXT_SET(runner->address, address);
	runner->worker_seq = seq;
	runner->stale_seq = 0;
	runner->stale_increases = 0;
	runner->heartbeat_us = runner->node->now_us;
	counter_add(runner->node->counters, "heartbeats", 1);
}

/*
 * Marks the worker as draining if the heartbeat of the current incarnation says
 * so. The heartbeat may be late or have an implausible sequence number: an
 * incarnation that drains never becomes ready again.
 */
static void runner_mark_draining(struct runner *runner,
				 const struct worker_incarnation *incarnation)
{
	if (!incarnation->draining || runner->reported_draining ||
	    runner->worker.ended)
		return;
	runner->reported_draining = true;
	runner->worker.draining = true;
	runner->worker.remaining_ms = incarnation->remaining_ms;
	runner_log_worker(runner, "worker-draining");
	runner_report_soon(runner);
}

/*
 * Returns false for a heartbeat whose number isn't above that of the last
 * accepted one. If the number accepted last was far too large, heartbeats are
 * accepted again once RUNNER_SEQ_RESET_HEARTBEATS stale heartbeats in a row
 * have had increasing numbers.
 */
static bool runner_seq_is_new(struct runner *runner, uint64_t seq)
{
	if (seq > runner->worker_seq)
		return true;
	runner->stale_increases =
		seq > runner->stale_seq ? runner->stale_increases + 1 : 1;
	runner->stale_seq = seq;
	return runner->stale_increases >= RUNNER_SEQ_RESET_HEARTBEATS;
}

static enum result runner_reject_stale(struct runner *runner)
{
	counter_add(runner->node->counters, "heartbeats_stale", 1);
	return RESULT_STALE;
}

/* ---- candidates ---- */

static void runner_log_candidate(struct runner *runner, const char *outcome,
				 const char *reason)
{
	const struct runner_candidate *candidate = &runner->candidate;
	GString *line = logline_new("worker-candidate");

	counter_inc_label2(runner->node->counters, "worker_candidates",
			   "outcome", outcome, "reason", reason);
	logline_str(line, "worker", candidate->incarnation.id);
	logline_u64(line, "born_ms", candidate->incarnation.born_ms);
	logline_str(line, "address", candidate->address);
	logline_u64(line, "seq", candidate->seq);
	logline_str(line, "outcome", outcome);
	logline_str(line, "reason", reason);
	logline_u64(line, "took_ms",
		    (runner->node->now_us - candidate->since_us) / 1000);
	logline_str(line, "present", runner->worker.id);
	logline_u64(line, "present_born_ms", runner->worker.born_ms);
	logline_u64(line, "runs", g_hash_table_size(runner->runs));
	node_log(runner->node, line);
}

static void runner_drop_candidate(struct runner *runner, const char *reason)
{
	if (!runner->candidate.nr)
		return;
	runner_log_candidate(runner, "dropped", reason);
	runner->candidate.nr = 0;
}

static void runner_probe_candidate(struct runner *runner)
{
	const struct runner_candidate *candidate = &runner->candidate;

	/* A worker with another id refuses all calls for the current one. */
	if (!strcmp(runner->worker.id, candidate->incarnation.id))
		runner_bar_earlier_calls(runner);
	runner_probe(runner, RUNNER_PROBE_CANDIDATE, candidate->nr,
		     candidate->incarnation.id, candidate->address);
}

/*
 * Makes an incarnation or an address the candidate. A process that isn't the
 * VM's worker may send heartbeats, too. If such a heartbeat replaced a healthy
 * worker at once, the worker's runs would be revoked while they continue, so a
 * candidate has to answer a probe first. A new candidate replaces the previous
 * one, which might never answer.
 */
static enum result
runner_add_candidate(struct runner *runner,
		     const struct worker_incarnation *incarnation,
		     const char *address, uint64_t seq)
{
	struct runner_candidate *candidate = &runner->candidate;

	if (candidate->nr &&
	    worker_incarnation_equal(&candidate->incarnation, incarnation) &&
	    !strcmp(candidate->address, address)) {
		if (seq > candidate->seq) {
			candidate->incarnation = *incarnation;
			candidate->seq = seq;
		}
		return RESULT_OK;
	}
	if (runner->probes_in_flight >= RUNNER_CANDIDATES_MAX) {
		counter_inc_label2(runner->node->counters, "worker_candidates",
				   "outcome", "dropped", "reason", "too-many");
		return RESULT_OK;
	}
	runner_drop_candidate(runner, "replaced");
	memset(candidate, 0, sizeof(*candidate));
	candidate->nr = ++runner->candidate_nr;
	candidate->incarnation = *incarnation;
	TEXT_SET(candidate->address, address);
	candidate->seq = seq;
	candidate->since_us = runner->node->now_us;
	runner_probe_candidate(runner);
	return RESULT_OK;
}

/*
 * Makes the incarnation that an answer of the worker's address has named the
 * candidate. Only a heartbeat describes it; until then it has no service, so
 * that the leader places no tasks on it.
 */
static void runner_add_named_candidate(struct runner *runner, uint64_t born_ms)
{
	struct worker_incarnation incarnation = { .born_ms = born_ms };

	TEXT_SET(incarnation.id, runner->worker.id);
	if (runner->candidate.nr &&
	    worker_incarnation_equal(&runner->candidate.incarnation,
				     &incarnation))
		return;
	runner_add_candidate(runner, &incarnation, runner->address, 0);
}

void runner_lose_contact(struct runner *runner)
{
	runner->in_contact = false;
	runner->contact_lost_nr = runner->call_nr;
}

void runner_note_restart(struct runner *runner, uint64_t born_ms)
{
	bool known = runner->restart_seen;

	runner->restart_seen = true;
	runner->restart_seen_nr = runner->call_nr;
	runner_lose_contact(runner);
	runner->answered_fence = 0;
	memset(&runner->clock, 0, sizeof(runner->clock));
	if (!known) {
		runner_log_worker(runner, "worker-restart-seen");
		counter_add(runner->node->counters, "worker_restarts_seen", 1);
		/* The new incarnation may answer its probe very soon. */
		runner_report_now(runner);
	}
	if (born_ms)
		runner_add_named_candidate(runner, born_ms);
}

void runner_clear_restart(struct runner *runner, const struct runner_call *call)
{
	/* An earlier list may have been sent before the restart. */
	if (!runner->restart_seen || call->call_nr <= runner->restart_seen_nr)
		return;
	runner->restart_seen = false;
	runner_log_worker(runner, "worker-restart-refuted");
	runner_report_soon(runner);
}

/* Returns true if the reply doesn't show which worker, if any, is there. */
static bool reply_is_inconclusive(const struct exec_reply *reply)
{
	return reply->verdict == EXEC_NO_ANSWER ||
	       (reply->verdict == EXEC_NOT_SENT && !reply->closed);
}

/* Returns NULL if the candidate itself has answered, else the fault. */
static const char *runner_candidate_fault(const struct runner *runner,
					  const struct exec_reply *reply)
{
	const struct worker_incarnation *incarnation =
		&runner->candidate.incarnation;

	switch (reply->verdict) {
	case EXEC_NO_ANSWER:
		return "no-answer";
	case EXEC_NOT_SENT:
		return "not-sent";
	case EXEC_OTHER_INCARNATION:
		return "other-life";
	default:
		break;
	}
	if (reply->born_ms)
		return reply->born_ms == incarnation->born_ms ? NULL :
								"other-life";
	/* Without born_ms, the reply may be of the current incarnation if the
	 * candidate has the same id. */
	return strcmp(runner->worker.id, incarnation->id) != 0 ?
		       NULL :
		       "life-not-told";
}

/* Returns true if a later incarnation may still execute a start of the task. */
static bool runner_may_start_late(const struct runner *runner, const char *task)
{
	for (guint i = 0; i < runner->late_starts->len; i++) {
		const struct runner_late_start *start = &g_array_index(
			runner->late_starts, struct runner_late_start, i);

		if (start->until_us > runner->node->now_us &&
		    !strcmp(start->task, task))
			return true;
	}
	return false;
}

static bool reply_lists_task(const struct exec_reply *reply, const char *task)
{
	for (uint32_t i = 0; i < reply->nr_runs; i++)
		if (!strcmp(reply->runs[i].task, task))
			return true;
	for (uint32_t i = 0; i < reply->nr_ends; i++)
		if (!strcmp(reply->ends[i].task, task))
			return true;
	return false;
}

/*
 * Reports the runs that have ended with an incarnation whose successor has the
 * same id and has sent the list @a reply, so that the leader needs to wait for
 * no lease. A run is left out if the successor has it, or if a copy of its
 * start, or the call of an earlier agent process, may still be executed.
 */
static void runner_report_runs_lost(struct runner *runner,
				    const struct exec_reply *reply)
{
	GHashTableIter iter;
	void *value;

	if (reply->verdict != EXEC_DONE || runner_list_is_full(reply) ||
	    reply->nr_unreadable_runs || reply->nr_unreadable_ends)
		return;
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;
		struct flow_run_end end = { .run = run->run,
					    .end = FLOW_END_LOST };

		if (run->phase != RUNNER_RUNNING || run->unattributed ||
		    run->repeated || !run->ordered ||
		    runner_may_start_late(runner, run->task) ||
		    reply_lists_task(reply, run->task))
			continue;
		TEXT_SET(end.task, run->task);
		TEXT_SET(end.checkpoint, run->seen.checkpoint);
		g_array_append_val(runner->unlisted_ends, end);
		runner_log_run(runner, "run-ended", run->task, run->run,
			       flow_end_name(end.end), RESULT_OK);
	}
}

/*
 * Replaces the current worker by the candidate, which has sent @a reply, and
 * polls it for its runs.
 */
static void runner_switch_incarnation(struct runner *runner,
				      const struct exec_reply *reply)
{
	const struct runner_candidate *candidate = &runner->candidate;
	bool restarted = !strcmp(runner->worker.id, candidate->incarnation.id);

	if (restarted)
		runner_report_runs_lost(runner, reply);
	runner_reset_incarnation(runner);
	runner_update_worker(runner, &candidate->incarnation,
			     candidate->address, candidate->seq);
	if (restarted) {
		runner->earlier_fence = runner->fence;
		runner_stop_late_starts(runner);
	}
	runner_log_worker(runner, "worker-registered");
	runner_report_soon(runner);
	runner_poll(runner);
}

static void runner_candidate_done(struct runner *runner,
				  const struct runner_call *call,
				  const struct exec_reply *reply)
{
	struct runner_candidate *candidate = &runner->candidate;
	const char *fault;

	if (!candidate->nr || call->candidate_nr != candidate->nr)
		return;
	fault = runner_candidate_fault(runner, reply);
	/* A single probe may also be lost on the way to a healthy worker. */
	if (reply_is_inconclusive(reply) &&
	    ++candidate->missed_polls < RUNNER_CANDIDATE_PROBES) {
		runner_probe_candidate(runner);
		return;
	}
	if (fault) {
		runner_drop_candidate(runner, fault);
		return;
	}
	if (worker_incarnation_equal(&runner->worker,
				     &candidate->incarnation) &&
	    !runner->worker.ended) {
		runner_log_candidate(runner, "taken", "new-address");
		runner_update_worker(runner, &candidate->incarnation,
				     candidate->address, candidate->seq);
	} else {
		runner_log_candidate(runner, "taken", "new-life");
		runner_switch_incarnation(runner, reply);
	}
	candidate->nr = 0;
}

/*
 * Returns true for a heartbeat of an incarnation before the current one. If the
 * current one isn't reachable, an earlier born_ms may still belong to a new
 * incarnation: the VM's clock may have been set back, or the current
 * incarnation may have been accepted because of a refusal without born_ms.
 */
static bool
runner_is_earlier_incarnation(const struct runner *runner,
			      const struct worker_incarnation *incarnation)
{
	return runner_has_worker(runner) && runner->reachable &&
	       incarnation->born_ms < runner->worker.born_ms;
}

enum result runner_heartbeat(struct runner *runner,
			     const struct worker_incarnation *incarnation,
			     const char *address, uint64_t seq)
{
	const struct worker_incarnation *worker = &runner->worker;
	bool described;

	if (!worker_incarnation_equal(worker, incarnation))
		return runner_is_earlier_incarnation(runner, incarnation) ?
			       runner_reject_stale(runner) :
			       runner_add_candidate(runner, incarnation,
						    address, seq);
	runner_mark_draining(runner, incarnation);
	if (!runner_seq_is_new(runner, seq))
		return runner_reject_stale(runner);
	if (worker->ended || strcmp(runner->address, address) != 0)
		return runner_add_candidate(runner, incarnation, address, seq);
	described = !worker->service[0] && incarnation->service[0];
	runner_update_worker(runner, incarnation, address, seq);
	if (described) {
		runner_log_worker(runner, "worker-registered");
		runner_report_soon(runner);
	}
	if (!timer_armed(&runner->poll_timer))
		runner_poll(runner);
	return RESULT_OK;
}

/* ---- the end of an incarnation ---- */

static void runner_end_incarnation(struct runner *runner, bool restarted)
{
	runner_log_worker(runner, "worker-ended");
	runner_reset_incarnation(runner);
	runner->worker.ended = true;
	runner->restarted = restarted;
	runner_report_soon(runner);
}

void runner_leaving_due(void *data, uint64_t now_us)
{
	struct runner *runner = data;

	/* The worker may have been restarted instead. */
	runner_bar_earlier_calls(runner);
	runner_probe(runner, RUNNER_PROBE_LEAVING, 0, runner->worker.id,
		     runner->address);
}

/* Handles a worker that still answers some time after it was deregistered. */
static void runner_cancel_leaving(struct runner *runner)
{
	runner->deregistered_us = 0;
	runner->worker.draining = runner->reported_draining;
	runner_log_worker(runner, "worker-stays");
	runner_report_soon(runner);
}

/*
 * Handles the reply to a probe of a deregistered worker. After a missing reply
 * the worker doesn't count as ended: calls to a healthy worker may be lost, and
 * the runs of a terminated one are revoked when its lease ends.
 */
static void runner_leaving_done(struct runner *runner,
				const struct runner_call *call,
				const struct exec_reply *reply)
{
	bool restarted = reply->born_ms &&
			 reply->born_ms != runner->worker.born_ms;
	bool terminated = reply->closed || restarted ||
			  reply->verdict == EXEC_OTHER_INCARNATION;

	if (!runner->deregistered_us ||
	    call->incarnation_nr != runner->incarnation_nr)
		return;
	if (terminated)
		runner_end_incarnation(runner, restarted);
	else if (!reply_is_inconclusive(reply) &&
		 call->sent_us - runner->deregistered_us >=
			 RUNNER_LEAVING_MS * 1000ull)
		runner_cancel_leaving(runner);
	else
		node_timer_ms(runner->node, &runner->leaving_timer,
			      RUNNER_LEAVING_PROBE_MS);
}

void runner_deregister(struct runner *runner, const char *id, uint64_t born_ms)
{
	if (!runner_has_worker(runner) || strcmp(runner->worker.id, id) != 0 ||
	    (born_ms && born_ms != runner->worker.born_ms) ||
	    runner->deregistered_us)
		return;
	runner->deregistered_us = runner->node->now_us;
	runner->worker.draining = true;
	runner_log_worker(runner, "worker-deregistered");
	runner_report_soon(runner);
	runner_leaving_due(runner, runner->node->now_us);
}

void runner_probe_done(struct runner *runner, const struct runner_call *call,
		       const struct exec_reply *reply)
{
	if (call->probe_kind == RUNNER_PROBE_CANDIDATE)
		runner_candidate_done(runner, call, reply);
	else
		runner_leaving_done(runner, call, reply);
}
