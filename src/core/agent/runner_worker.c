#include "runner_impl.h"

/* Calls to the worker: polls, their lists, and the renewal of its lease. */

bool runner_has_worker(const struct runner *runner)
{
	return runner->worker.id[0] && !runner->worker.ended;
}

uint64_t runner_deadline_ms(const struct runner *runner)
{
	uint64_t left_us;

	if (!runner->clock.read_ms ||
	    runner->lease_until_us <= runner->node->now_us)
		return 0;
	left_us = runner->lease_until_us - runner->clock.received_us;
	return runner->clock.read_ms +
	       left_us / 1000 * (1000 - WORKER_CLOCK_SLOW_PERMILLE) / 1000;
}

uint64_t runner_lease_left_ms(const struct runner *runner)
{
	return runner->lease_until_us > runner->node->now_us ?
		       (runner->lease_until_us - runner->node->now_us) / 1000 :
		       0;
}

uint32_t runner_late_ms(const struct runner *runner)
{
	uint64_t now_us = runner->node->now_us;
	uint64_t until_us = now_us;
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < runner->late_starts->len; i++)
		until_us =
			MAX(until_us, g_array_index(runner->late_starts,
						    struct runner_late_start, i)
					      .until_us);
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct runner_run *run = value;

		if (run->phase == RUNNER_STARTING || run->unattributed)
			until_us =
				MAX(until_us,
				    run->since_us +
					    WORKER_CALL_MAX_DELAY_MS * 1000ull);
	}
	return (uint32_t)((until_us - now_us) / 1000);
}

uint32_t runner_copy_late_ms(const struct runner *runner, const char *task)
{
	uint64_t now_us = runner->node->now_us;

	for (guint i = 0; i < runner->late_starts->len; i++) {
		const struct runner_late_start *start = &g_array_index(
			runner->late_starts, struct runner_late_start, i);

		if (start->has_copy && start->until_us > now_us &&
		    !strcmp(start->task, task))
			return (uint32_t)((start->until_us - now_us + 999) /
					  1000);
	}
	return 0;
}

bool runner_may_call(const struct runner *runner)
{
	return g_hash_table_size(runner->calls) - runner->poll_in_flight -
		       runner->probes_in_flight <
	       RUNNER_CALLS_MAX;
}

G_STATIC_ASSERT((uint64_t)
			WORKER_FENCE_LEADER_COUNTS *WORKER_FENCE_AGENT_COUNTS >=
		FLOW_FENCES_PER_TERM);

void runner_accept_fence(struct runner *runner, uint64_t fence)
{
	uint64_t term = fence / FLOW_FENCES_PER_TERM;
	uint64_t count = MIN(fence % FLOW_FENCES_PER_TERM,
			     WORKER_FENCE_LEADER_COUNTS - 1);
	uint64_t call_fence = (term * WORKER_FENCE_LEADER_COUNTS + count) *
			      WORKER_FENCE_AGENT_COUNTS;

	runner->fence = MAX(runner->fence, fence);
	runner->call_fence = MAX(runner->call_fence, call_fence);
}

void runner_bar_earlier_calls(struct runner *runner)
{
	if (runner->call_fence % WORKER_FENCE_AGENT_COUNTS <
	    WORKER_FENCE_AGENT_COUNTS - 1)
		runner->call_fence++;
}

/*
 * Handles a call after which the worker may have been restarted. If the token
 * has been raised since the call was sent, nothing is to be done.
 */
static void runner_contact_lost(struct runner *runner,
				const struct runner_call *call)
{
	if (call->fence == runner->call_fence)
		runner_bar_earlier_calls(runner);
}

static void runner_send(struct runner *runner, struct runner_call *pending,
			struct exec_call *call)
{
	call->fence = runner->call_fence;
	pending->call_nr = ++runner->call_nr;
	pending->kind = call->kind;
	pending->sent_us = runner->node->now_us;
	pending->fence = runner->call_fence;
	pending->leader_fence = runner->fence;
	pending->incarnation_nr = runner->incarnation_nr;
	pending->extends_lease = call->deadline_ms != 0;
	pending->deadline_ms = call->deadline_ms;
	pending->run = call->run;
	pending->percent = call->percent;
	TEXT_SET(pending->task, call->task ? call->task : "");
	runner_trace_call(runner, pending);
	g_hash_table_insert(runner->calls, &pending->call_nr, pending);
	runner->opts.host->call(runner->opts.host_ctx, pending->call_nr, call);
}

void runner_call(struct runner *runner, const struct runner_run *run,
		 struct exec_call *call)
{
	struct runner_call *pending = g_new0(struct runner_call, 1);

	call->address = runner->address;
	call->worker_id = runner->worker.id;
	pending->yields = run && run->yield_ms;
	runner->yielding_calls += pending->yields;
	runner_send(runner, pending, call);
}

void runner_probe(struct runner *runner, enum runner_probe_kind kind,
		  uint64_t candidate_nr, const char *id, const char *address)
{
	struct exec_call call = { .kind = EXEC_POLL };
	struct runner_call *pending = g_new0(struct runner_call, 1);

	call.address = address;
	call.worker_id = id;
	pending->probe_kind = kind;
	pending->candidate_nr = candidate_nr;
	runner->probes_in_flight++;
	runner_send(runner, pending, &call);
}

/*
 * Returns the number up to which the worker may drop ends, 0: none that it
 * lists. The worker must not drop an unreadable end: its run would be missing
 * in the next list, and be reported as never started. A later incarnation that
 * executes the call would drop ends of its own. So no poll has the number
 * unless an answer is surely of this incarnation and listed such ends.
 */
static uint64_t runner_ack_nr(const struct runner *runner)
{
	uint64_t nr = runner->settled_nr;

	if (runner->first_unreadable_nr)
		nr = MIN(nr, runner->first_unreadable_nr - 1);
	return runner->in_contact && runner->first_listed_nr &&
			       runner->first_listed_nr <= nr ?
		       nr :
		       0;
}

/* Returns true if a restarted worker may still accept earlier calls. */
static bool runner_accepts_earlier_calls(const struct runner *runner)
{
	return runner->earlier_fence &&
	       runner->answered_fence <= runner->earlier_fence;
}

void runner_poll(struct runner *runner)
{
	struct exec_call call = { .kind = EXEC_POLL };

	if (runner->poll_in_flight || !runner_has_worker(runner))
		return;
	timer_cancel(runner->node->timers, &runner->poll_timer);
	runner->poll_in_flight = true;
	/*
	 * The lease of a worker that doesn't answer must lapse, so this poll
	 * doesn't extend it, and a worker that didn't answer may have been
	 * restarted.
	 */
	if (runner->in_contact || !runner->listed)
		call.deadline_ms = runner_deadline_ms(runner);
	call.settled_nr = runner_ack_nr(runner);
	/*
	 * The worker must answer at once the first poll, a poll after a missed
	 * one or after another incarnation's answer, and one that acknowledges
	 * ends: a later incarnation might execute it while it waits. The answer
	 * to other polls may be delayed until a run ends. The leader waits
	 * until a restarted worker refuses earlier calls.
	 */
	if (runner->listed && runner->reachable && runner->in_contact &&
	    !call.settled_nr && !runner_accepts_earlier_calls(runner))
		call.wait_ms = runner_needs_pacing(runner) ? POLL_WAIT_PACE_MS :
							     POLL_WAIT_MS;
	runner_call(runner, NULL, &call);
}

void runner_poll_due(void *data, uint64_t now_us)
{
	runner_poll(data);
}

/* ---- replies ---- */

/*
 * Handles a start that the worker refused because it has had this run or a
 * later run of the task. The run may have succeeded at the worker; only a list
 * requested from now on shows whether it has.
 */
static void runner_start_conflict(struct runner *runner, struct runner_run *run)
{
	runner_set_phase(runner, run, RUNNER_UNCONFIRMED);
	run->stopped_us = runner->node->now_us;
	runner_log_run(runner, "run-barred", run->task, run->run,
		       "the worker had it", RESULT_CONFLICT);
	runner_poll(runner);
}

static void runner_start_done(struct runner *runner,
			      const struct runner_call *call,
			      const struct exec_reply *reply,
			      enum worker_clock_origin origin)
{
	struct runner_run *run = runner_find(runner, call->task, call->run);

	if (reply->resent || reply->verdict == EXEC_NO_ANSWER)
		runner_keep_late_start(runner, call->task, call->run,
				       reply->resent);
	if (!run)
		return; /* a list has shown its end */
	run->repeated = run->repeated || reply->resent;
	/* A list may have shown the run before this reply. */
	if (run->phase != RUNNER_STARTING)
		return;
	switch (reply->verdict) {
	case EXEC_DONE:
		counter_observe(runner->node->counters, "start_call_ms",
				(runner->node->now_us - run->since_us) / 1000);
		runner_set_phase(runner, run, RUNNER_RUNNING);
		run->unattributed = origin != WORKER_CLOCK_SAME;
		/* The leader was told that the start has no answer. */
		if (run->overdue)
			runner_report_soon(runner);
		runner_log_started(runner, call, run, reply);
		if (run->stop)
			runner_stop(runner, run);
		else if (run->filler)
			runner_pace(runner);
		break;
	case EXEC_REFUSED:
		if (reply->result == RESULT_CONFLICT && !run->repeated)
			runner_start_conflict(runner, run);
		else
			runner_start_failed(runner, run, reply->result);
		break;
	case EXEC_NOT_SENT:
		runner_start_failed(runner, run, RESULT_NO_UPSTREAM);
		break;
	case EXEC_OTHER_INCARNATION:
		runner_start_failed(runner, run, RESULT_OTHER_LIFE);
		break;
	default:
		runner_start_unconfirmed(runner, run, "no answer to the start",
					 RESULT_TIMEOUT);
		runner_report_soon(runner);
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
	run->stop_call_pending = false;
	if (reply->verdict == EXEC_DONE) {
		run->stopped_us = runner->node->now_us;
		runner_poll(runner);
		return;
	}
	run->stop_due_us = runner->node->now_us + STOP_REPEAT_MS * 1000ull;
	if (!timer_armed(&runner->run_timer))
		node_timer_ms(runner->node, &runner->run_timer, STOP_REPEAT_MS);
}

/*
 * Returns true if the agent has a record of a later run of the task than the
 * listed one. The leader has given up the listed run, so it is stopped. A
 * record of it would replace that of the later run, whose start may be in
 * flight. The leader is told of it, so that it doesn't place the task elsewhere
 * meanwhile.
 */
static bool runner_stop_superseded(struct runner *runner,
				   const struct flow_run *seen)
{
	const struct runner_run *run =
		g_hash_table_lookup(runner->runs, seen->task);
	struct exec_call call = { .kind = EXEC_STOP };

	if (!run || run->run <= seen->run)
		return false;
	g_array_append_vals(runner->superseded, seen, 1);
	runner_report_soon(runner);
	/* A stop that isn't called or has no answer is called after the next
	 * list. */
	if (runner_may_call(runner)) {
		call.task = seen->task;
		call.run = seen->run;
		counter_add(runner->node->counters, "stops_called", 1);
		runner_log_run(runner, "task-stopping", seen->task, seen->run,
			       "superseded", RESULT_OK);
		runner_call(runner, NULL, &call);
	}
	return true;
}

/*
 * Adds a record of a listed run that the agent doesn't know: an earlier agent
 * process must have started it. The leader answers the report with the run's
 * start order, which has the attributes of the run.
 */
static struct runner_run *runner_add_listed(struct runner *runner,
					    GHashTable *listed,
					    const struct flow_run *seen)
{
	struct runner_run *earlier =
		g_hash_table_lookup(runner->runs, seen->task);
	bool both = earlier && g_hash_table_remove(listed, earlier);
	struct flow_run superseded = { 0 };
	struct runner_run *run;

	if (both)
		superseded = earlier->seen;
	run = runner_add(runner, seen->task, seen->run, RUNNER_RUNNING);
	if (both)
		runner_stop_superseded(runner, &superseded);
	runner_report_soon(runner);
	return run;
}

/* Applies the runs that the worker lists, and adds them to @a listed. */
static void runner_apply_runs(struct runner *runner, GHashTable *listed,
			      const struct exec_reply *reply)
{
	g_array_set_size(runner->superseded, 0);
	for (uint32_t i = 0; i < reply->nr_runs; i++) {
		const struct flow_run *seen = &reply->runs[i];
		struct runner_run *run =
			runner_find(runner, seen->task, seen->run);

		if (!run && runner_stop_superseded(runner, seen))
			continue;
		if (!run)
			run = runner_add_listed(runner, listed, seen);
		if (run->phase != RUNNER_RUNNING)
			runner_set_phase(runner, run, RUNNER_RUNNING);
		run->unattributed = false;
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

/*
 * Applies the ends that the worker lists; returns true if any is new. An end
 * that is missing in a later list is kept until the leader acknowledges it: a
 * late call for an earlier incarnation may have made the worker drop the end.
 */
static bool runner_apply_ends(struct runner *runner,
			      const struct exec_reply *reply)
{
	bool changed = false;

	for (uint32_t i = 0; i < reply->nr_ends; i++) {
		const struct flow_run_end *end = &reply->ends[i];

		if (runner_find(runner, end->task, end->run))
			g_hash_table_remove(runner->runs, end->task);
		if (end->nr <= runner->settled_nr ||
		    runner_knows_end(runner, end->nr))
			continue;
		changed = true;
		runner_log_run(runner, "run-ended", end->task, end->run,
			       flow_end_name(end->end), RESULT_OK);
		g_array_append_val(runner->ends, *end);
	}
	return changed;
}

/*
 * Drops runs that are missing in the worker's list, and reports them as never
 * started. Must not be called for a list that is full or has unreadable rows,
 * as the worker may then have runs and ends that the list doesn't show.
 */
static void runner_drop_absent(struct runner *runner, const GHashTable *listed,
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
		/* A list that was requested before the run started, or before
		 * it was stopped, doesn't show that the run is missing. */
		if (run->stopped_us ? run->stopped_us <= call->sent_us :
				      run->phase == RUNNER_RUNNING &&
					      run->since_us <= call->sent_us)
			g_ptr_array_add(absent, run);
	}
	for (guint i = 0; i < absent->len; i++) {
		runner_log_absent(runner, absent->pdata[i]);
		runner_drop(runner, absent->pdata[i], RESULT_TIMEOUT);
	}
	g_ptr_array_unref(absent);
}

static void runner_schedule_poll(struct runner *runner, bool changed,
				 bool answered, bool restarted)
{
	uint32_t wait_ms = 0;

	/*
	 * A single poll may be lost on the way to a healthy worker, so the
	 * pause after the first missed poll is shorter than after others. So is
	 * the one after the first answer of another incarnation, at which the
	 * next poll bars the earlier calls.
	 */
	if (!answered)
		wait_ms = runner->missed_polls == 1 || restarted ?
				  POLL_FIRST_RETRY_MS :
				  POLL_RETRY_MS;
	/* While ends are listed, the worker answers polls without a delay, so
	 * the agent pauses between them. */
	else if (runner->ends->len || runner->nr_unreadable_ends ||
		 runner_accepts_earlier_calls(runner))
		wait_ms = POLL_UNACKED_ENDS_MS;
	node_timer_ms(runner->node, &runner->poll_timer, wait_ms);
	if (changed)
		runner_report_soon(runner);
}

bool runner_list_is_full(const struct exec_reply *reply)
{
	return reply->nr_ends + reply->nr_unreadable_ends >=
	       WORKER_LIST_MAX_ENDS;
}

/*
 * Records the unreadable ends. An unreadable end prevents the acknowledgement
 * of later ends, but only until the list is full: otherwise no further end of
 * this incarnation would ever be listed.
 */
static void runner_apply_unreadable(struct runner *runner,
				    const struct exec_reply *reply)
{
	runner->first_listed_nr = reply->first_unreadable_nr;
	if (reply->nr_ends && (!runner->first_listed_nr ||
			       reply->ends[0].nr < runner->first_listed_nr))
		runner->first_listed_nr = reply->ends[0].nr;
	runner->nr_unreadable_ends = reply->nr_unreadable_ends;
	runner->first_unreadable_nr =
		runner_list_is_full(reply) ? 0 : reply->first_unreadable_nr;
}

static void runner_poll_done(struct runner *runner,
			     const struct runner_call *call,
			     const struct exec_reply *reply)
{
	bool answered = reply->verdict == EXEC_DONE;
	bool was_reachable = runner->reachable;
	GHashTable *listed;
	bool changed = false;

	runner->poll_in_flight = false;
	if (reply->verdict == EXEC_NO_ANSWER)
		runner->missed_polls++;
	else
		runner->missed_polls = 0;
	if (!answered && reply->verdict != EXEC_REFUSED)
		runner_lose_contact(runner);
	/* A worker that refuses the fencing token is reachable, too. */
	runner->reachable = answered || reply->verdict == EXEC_REFUSED;
	/*
	 * The worker refuses the token, too, if the leader's count in it is
	 * used up and an earlier agent process had a higher agent's count.
	 */
	if (!runner->reachable ||
	    (reply->verdict == EXEC_REFUSED && reply->result == RESULT_STALE))
		runner_contact_lost(runner, call);
	if (answered) {
		listed = g_hash_table_new(NULL, NULL);
		runner_apply_runs(runner, listed, reply);
		changed = runner_apply_ends(runner, reply);
		runner_apply_unreadable(runner, reply);
		/* If the list is full or has unreadable rows, the worker may
		 * have runs and ends that the list doesn't show. */
		if (!runner_list_is_full(reply) && !reply->nr_unreadable_runs &&
		    !reply->nr_unreadable_ends)
			runner_drop_absent(runner, listed, call);
		g_hash_table_unref(listed);
		changed = changed || !runner->listed;
		runner->listed = true;
		runner_pace(runner);
	}
	if (was_reachable != runner->reachable) {
		runner_log_worker(runner, runner->reachable ?
						  "worker-reachable" :
						  "worker-unreachable");
		changed = true;
	}
	runner_schedule_poll(runner, changed, answered,
			     was_reachable &&
				     reply->verdict == EXEC_OTHER_INCARNATION);
}

static struct worker_clock runner_reply_clock(const struct runner *runner,
					      const struct runner_call *call,
					      const struct exec_reply *reply)
{
	return (struct worker_clock){ .read_ms = reply->clock_ms,
				      .sent_us = call->sent_us,
				      .received_us = runner->node->now_us };
}

/* Returns which incarnation has replied, by its name or else by its clock. */
static enum worker_clock_origin
runner_reply_origin(const struct runner *runner, const struct runner_call *call,
		    const struct exec_reply *reply)
{
	struct worker_clock clock = runner_reply_clock(runner, call, reply);

	/* A worker with another id executes none of this worker's calls. */
	if (reply->verdict == EXEC_OTHER_INCARNATION)
		return WORKER_CLOCK_UNKNOWN;
	if (reply->born_ms)
		return reply->born_ms == runner->worker.born_ms ?
			       WORKER_CLOCK_SAME :
			       WORKER_CLOCK_OTHER;
	return worker_clock_origin(&runner->clock, &clock);
}

/*
 * Returns true if a call for one incarnation was answered by another. The
 * worker's id in the call is that of both.
 */
static bool runner_is_misdirected(const struct runner *runner,
				  const struct runner_call *call,
				  const struct exec_reply *reply)
{
	if (call->probe_kind)
		return false;
	return call->incarnation_nr == runner->incarnation_nr ?
		       runner_reply_origin(runner, call, reply) ==
			       WORKER_CLOCK_OTHER :
		       reply->born_ms &&
			       reply->born_ms == runner->worker.born_ms;
}

/*
 * Returns what another incarnation's reply means for the call. A run that this
 * incarnation has started must be stopped there, so its start call counts as
 * unanswered, which leads to a stop.
 */
static struct exec_reply
runner_reply_of_other_incarnation(const struct runner_call *call,
				  const struct exec_reply *reply)
{
	struct exec_reply other = { .verdict = EXEC_OTHER_INCARNATION,
				    .resent = reply->resent };

	if (call->kind == EXEC_START && reply->verdict == EXEC_DONE)
		other.verdict = EXEC_NO_ANSWER;
	return other;
}

/*
 * Notes that the present incarnation has executed the call, so that it refuses
 * calls with a lower fencing token, or has refused it because of its token,
 * which proves that it has a higher one. A worker that isn't healthy refuses
 * calls without noting their tokens. The leader waits for this after a restart.
 */
static void runner_note_answered(struct runner *runner,
				 const struct runner_call *call,
				 const struct exec_reply *reply,
				 enum worker_clock_origin origin)
{
	bool answered = reply->verdict == EXEC_DONE ||
			(reply->verdict == EXEC_REFUSED &&
			 reply->result == RESULT_STALE);

	if (!answered || origin != WORKER_CLOCK_SAME || runner->restart_seen ||
	    call->leader_fence <= runner->answered_fence)
		return;
	runner->answered_fence = call->leader_fence;
	runner_report_soon(runner);
}

void runner_call_done(struct runner *runner, uint64_t call_nr,
		      const struct exec_reply *reply)
{
	struct runner_call *call = g_hash_table_lookup(runner->calls, &call_nr);
	enum worker_clock_origin origin;
	struct exec_reply other;

	if (!call)
		return;
	g_hash_table_steal(runner->calls, &call_nr);
	runner->yielding_calls -= call->yields;
	runner_trace_reply(runner, call, reply);
	if (runner_is_misdirected(runner, call, reply))
		runner_log_misdirected(runner, call, reply);
	if (call->probe_kind) {
		runner->probes_in_flight--;
		runner_probe_done(runner, call, reply);
		goto out;
	}
	if (call->incarnation_nr != runner->incarnation_nr)
		goto out; /* the call was made to an earlier incarnation */
	origin = runner_reply_origin(runner, call, reply);
	if (origin == WORKER_CLOCK_SAME && reply->born_ms)
		runner_clear_restart(runner, call);
	runner_note_answered(runner, call, reply, origin);
	if (origin == WORKER_CLOCK_OTHER) {
		runner_note_restart(runner, reply->born_ms);
		runner_contact_lost(runner, call);
		runner_poll(runner);
	}
	if (origin == WORKER_CLOCK_OTHER ||
	    (runner->restart_seen && origin != WORKER_CLOCK_SAME &&
	     (reply->verdict == EXEC_DONE || reply->verdict == EXEC_REFUSED))) {
		other = runner_reply_of_other_incarnation(call, reply);
		reply = &other;
	}
	/* The first list sets the clock that answers are compared with. */
	if (!runner->restart_seen &&
	    (origin == WORKER_CLOCK_SAME ||
	     (reply->verdict == EXEC_DONE && call->kind == EXEC_POLL &&
	      !runner->clock.read_ms))) {
		runner->clock = runner_reply_clock(runner, call, reply);
		if (call->call_nr > runner->contact_lost_nr)
			runner->in_contact = true;
	}
	if (reply->verdict == EXEC_NO_ANSWER)
		counter_add(runner->node->counters, "calls_unanswered", 1);
	switch (call->kind) {
	case EXEC_START:
		runner_start_done(runner, call, reply, origin);
		break;
	case EXEC_STOP:
		runner_stop_done(runner, call, reply);
		break;
	case EXEC_POLL:
		runner_poll_done(runner, call, reply);
		break;
	case EXEC_PACE:
		runner_pace_done(runner, call, reply);
		break;
	}
out:
	g_free(call);
	runner_call_deferred(runner);
}

void runner_call_resent(struct runner *runner, uint64_t call_nr)
{
	const struct runner_call *call =
		g_hash_table_lookup(runner->calls, &call_nr);

	if (!call || call->kind != EXEC_START)
		return;
	runner_keep_late_start(runner, call->task, call->run, true);
	/*
	 * The leader has to know of the copy before the worker is lost, also if
	 * this agent process ends. A list may have shown the run already.
	 */
	runner_report_soon(runner);
}

/*
 * Ends calls that the host hasn't answered within RUNNER_CALL_MAX_MS: a lost
 * poll would otherwise prevent all later polls.
 */
void runner_expire_calls(struct runner *runner)
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
