#include "runner_impl.h"

#include <string.h>

/* The lives of the worker beside this agent. */

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
			    uint32_t run)
{
	struct runner_late_start unsure = { .run = run };

	/* The oldest stand first. */
	while (runner->unsure->len &&
	       g_array_index(runner->unsure, struct runner_late_start, 0)
			       .until_us <= runner->node->now_us)
		g_array_remove_index(runner->unsure, 0);
	TEXT_SET(unsure.task, task);
	unsure.until_us =
		runner->node->now_us + WORKER_CALL_MAX_DELAY_MS * 1000ull;
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
		    run->phase == RUNNER_UNCONFIRMED)
			runner_keep_late_start(runner, run->task, run->run);
	}
}

/* Forbids the new life what may still come of the earlier one. */
static void runner_stop_late_starts(struct runner *runner)
{
	for (guint i = 0; i < runner->unsure->len; i++) {
		const struct runner_late_start *unsure = &g_array_index(
			runner->unsure, struct runner_late_start, i);

		if (unsure->until_us > runner->node->now_us &&
		    !g_hash_table_contains(runner->runs, unsure->task))
			runner_stop(runner, runner_add(runner, unsure->task,
						       unsure->run,
						       RUNNER_UNCONFIRMED));
	}
}

/* Ends that a life has listed count after it, too. */
static void runner_keep_ends(struct runner *runner)
{
	for (guint i = 0; i < runner->ends->len; i++) {
		struct flow_run_end end =
			g_array_index(runner->ends, struct flow_run_end, i);

		end.nr = 0; /* numbers start anew with each life */
		g_array_append_val(runner->unlisted_ends, end);
	}
}

static void runner_reset_incarnation(struct runner *runner)
{
	runner_keep_ends(runner);
	runner->incarnation_nr++;
	runner_trace_incarnation(runner);
	runner->clock_ms = 0;
	runner->unanswered_us = 0;
	runner->looked = false;
	runner->reachable = false;
	runner->missed_polls = 0;
	runner->settled_nr = 0;
	runner->nr_unreadable_ends = 0;
	runner->first_unreadable_nr = 0;
	runner->poll_in_flight = false;
	runner->reported_draining = false;
	runner->leaving_us = 0;
	g_hash_table_remove_all(runner->runs);
	g_array_set_size(runner->ends, 0);
	timer_cancel(runner->node->timers, &runner->poll_timer);
	timer_cancel(runner->node->timers, &runner->leaving_timer);
}

/* ---- the present life ---- */

static bool worker_incarnation_equal(const struct worker_incarnation *life,
				     const struct worker_incarnation *other)
{
	return !strcmp(life->id, other->id) && life->born_ms == other->born_ms;
}

/* Takes what the present life says of itself, and where it is. */
static void runner_update_worker(struct runner *runner,
				 const struct worker_incarnation *life,
				 const char *address, uint64_t seq)
{
	runner->worker = *life;
	/* A worker that leaves doesn't come back in this life. */
	runner->reported_draining = runner->reported_draining || life->draining;
	runner->worker.draining = runner->reported_draining ||
				  runner->leaving_us;
	TEXT_SET(runner->address, address);
	runner->worker_seq = seq;
	runner->stale_seq = 0;
	runner->stale_increases = 0;
	runner->heartbeat_us = runner->node->now_us;
	counter_add(runner->node->counters, "heartbeats", 1);
}

/*
 * Any report of the life that says so counts, however late it comes and
 * whatever number it has.
 */
static void runner_mark_draining(struct runner *runner,
				 const struct worker_incarnation *life)
{
	if (!life->draining || runner->reported_draining ||
	    runner->worker.ended)
		return;
	runner->reported_draining = true;
	runner->worker.draining = true;
	runner->worker.remaining_ms = life->remaining_ms;
	runner_log_worker(runner, "worker-draining");
	runner_report_soon(runner);
}

/*
 * Returns false for a report that a later one has overtaken. A number that was
 * far too large doesn't hide the life for good.
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
	logline_str(line, "worker", candidate->life.id);
	logline_u64(line, "born_ms", candidate->life.born_ms);
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

	runner_probe(runner, RUNNER_PROBE_CANDIDATE, candidate->nr,
		     candidate->life.id, candidate->address);
}

/*
 * A report may come from another writer, and whoever forgets a sound worker
 * gives its runs up while they go on. So a life, or an address, has to answer
 * before it is used. A later one goes first: the one before may never answer.
 */
static enum result runner_add_candidate(struct runner *runner,
					const struct worker_incarnation *life,
					const char *address, uint64_t seq)
{
	struct runner_candidate *candidate = &runner->candidate;

	if (candidate->nr && worker_incarnation_equal(&candidate->life, life) &&
	    !strcmp(candidate->address, address)) {
		if (seq > candidate->seq) {
			candidate->life = *life;
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
	candidate->life = *life;
	TEXT_SET(candidate->address, address);
	candidate->seq = seq;
	candidate->since_us = runner->node->now_us;
	runner_probe_candidate(runner);
	return RESULT_OK;
}

/* Returns true if the reply says nothing about who is there. */
static bool reply_is_inconclusive(const struct exec_reply *reply)
{
	return reply->verdict == EXEC_NO_ANSWER ||
	       (reply->verdict == EXEC_NOT_SENT && !reply->closed);
}

/* Returns NULL if the candidate has answered, else why it hasn't. */
static const char *runner_candidate_fault(const struct runner *runner,
					  const struct exec_reply *reply)
{
	const struct worker_incarnation *life = &runner->candidate.life;

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
		return reply->born_ms == life->born_ms ? NULL : "other-life";
	/* Under one identity only this tells lives apart. */
	return strcmp(runner->worker.id, life->id) != 0 ? NULL :
							  "life-not-told";
}

/* Replaces the present worker; a look of its own tells what runs there. */
static void runner_switch_incarnation(struct runner *runner)
{
	const struct runner_candidate *candidate = &runner->candidate;
	bool reborn = !strcmp(runner->worker.id, candidate->life.id);

	if (reborn)
		runner_keep_starting(runner);
	runner_reset_incarnation(runner);
	runner_update_worker(runner, &candidate->life, candidate->address,
			     candidate->seq);
	if (reborn)
		runner_stop_late_starts(runner);
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
	/* Single calls are lost on the way to workers that are well. */
	if (reply_is_inconclusive(reply) &&
	    ++candidate->missed_polls < RUNNER_CANDIDATE_PROBES) {
		runner_probe_candidate(runner);
		return;
	}
	if (fault) {
		runner_drop_candidate(runner, fault);
		return;
	}
	if (worker_incarnation_equal(&runner->worker, &candidate->life) &&
	    !runner->worker.ended) {
		runner_log_candidate(runner, "taken", "new-address");
		runner_update_worker(runner, &candidate->life,
				     candidate->address, candidate->seq);
	} else {
		runner_log_candidate(runner, "taken", "new-life");
		runner_switch_incarnation(runner);
	}
	candidate->nr = 0;
}

/*
 * Returns true for a report of a life before the present one. Where another
 * life answers for the present one, the clock may have been set back, or the
 * present one was taken on the word of a refusal that told no life.
 */
static bool runner_is_earlier_incarnation(const struct runner *runner,
					  const struct worker_incarnation *life)
{
	return runner_has_worker(runner) && runner->reachable &&
	       life->born_ms < runner->worker.born_ms;
}

enum result runner_heartbeat(struct runner *runner,
			     const struct worker_incarnation *life,
			     const char *address, uint64_t seq)
{
	const struct worker_incarnation *worker = &runner->worker;

	if (!worker_incarnation_equal(worker, life))
		return runner_is_earlier_incarnation(runner, life) ?
			       runner_reject_stale(runner) :
			       runner_add_candidate(runner, life, address, seq);
	runner_mark_draining(runner, life);
	if (!runner_seq_is_new(runner, seq))
		return runner_reject_stale(runner);
	if (worker->ended || strcmp(runner->address, address) != 0)
		return runner_add_candidate(runner, life, address, seq);
	runner_update_worker(runner, life, address, seq);
	if (!timer_armed(&runner->poll_timer))
		runner_poll(runner);
	return RESULT_OK;
}

/* ---- the end of a life ---- */

static void runner_end_incarnation(struct runner *runner)
{
	runner_log_worker(runner, "worker-ended");
	runner_reset_incarnation(runner);
	runner->worker.ended = true;
	runner_report_soon(runner);
}

void runner_leaving_due(void *data, uint64_t now_us)
{
	struct runner *runner = data;

	runner_probe(runner, RUNNER_PROBE_LEAVING, 0, runner->worker.id,
		     runner->address);
}

/* The worker is there, though it was deregistered some time ago. */
static void runner_cancel_leaving(struct runner *runner)
{
	runner->leaving_us = 0;
	runner->worker.draining = runner->reported_draining;
	runner_log_worker(runner, "worker-stays");
	runner_report_soon(runner);
}

/*
 * Silence ends nothing: calls are lost on the way to sound workers, and the
 * runs of one that is gone are taken back with its lease.
 */
static void runner_leaving_done(struct runner *runner,
				const struct runner_call *call,
				const struct exec_reply *reply)
{
	bool gone =
		reply->closed || reply->verdict == EXEC_OTHER_INCARNATION ||
		(reply->born_ms && reply->born_ms != runner->worker.born_ms);

	if (!runner->leaving_us || call->life != runner->incarnation_nr)
		return;
	if (gone)
		runner_end_incarnation(runner);
	else if (!reply_is_inconclusive(reply) &&
		 call->sent_us - runner->leaving_us >=
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
	    runner->leaving_us)
		return;
	runner->leaving_us = runner->node->now_us;
	runner->worker.draining = true;
	runner_log_worker(runner, "worker-deregistered");
	runner_report_soon(runner);
	runner_leaving_due(runner, runner->node->now_us);
}

void runner_probe_done(struct runner *runner, const struct runner_call *call,
		       const struct exec_reply *reply)
{
	if (call->look == RUNNER_PROBE_CANDIDATE)
		runner_candidate_done(runner, call, reply);
	else
		runner_leaving_done(runner, call, reply);
}
