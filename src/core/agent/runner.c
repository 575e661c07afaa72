#include "runner.h"

#include <string.h>

#include "runner_impl.h"

void runner_report_soon(struct runner *runner)
{
	uint64_t due_us =
		runner->node->now_us + RUNNER_REPORT_DELAY_MS * 1000ull;

	if (!timer_armed(&runner->report_timer) ||
	    runner->report_timer.due_us > due_us)
		timer_set(runner->node->timers, &runner->report_timer, due_us);
}

/* ---- the leader ---- */

static void runner_add_run(const struct runner *runner, GArray *runs,
			   const struct runner_run *run)
{
	struct flow_run item = run->seen;

	TEXT_SET(item.task, run->task);
	item.run = run->run;
	item.unconfirmed = run->phase != RUNNER_RUNNING || run->unattributed;
	item.starting = run->phase == RUNNER_NEW ||
			(run->phase == RUNNER_STARTING && !run->overdue) ||
			run->unattributed;
	item.unordered = !run->ordered && !run->stop;
	item.pace = run->pace;
	if (!item.unconfirmed)
		item.late_ms = runner_copy_late_ms(runner, run->task);
	g_array_append_val(runs, item);
}

/* Appends the listed runs that a later run of their task has superseded. */
static void runner_add_superseded(const struct runner *runner, GArray *runs)
{
	for (guint i = 0; i < runner->superseded->len; i++) {
		struct flow_run item =
			g_array_index(runner->superseded, struct flow_run, i);

		item.late_ms = runner_copy_late_ms(runner, item.task);
		g_array_append_val(runs, item);
	}
}

/*
 * Appends the listed ends that the leader hasn't acknowledged yet. Ends with a
 * higher number than an unreadable end are reported with the number 0: the
 * leader records them, but must not acknowledge any number above that of an end
 * that it hasn't received.
 */
static void runner_add_ends(const struct runner *runner, GArray *ends)
{
	for (guint i = 0; i < runner->ends->len; i++) {
		struct flow_run_end end =
			g_array_index(runner->ends, struct flow_run_end, i);

		if (runner->first_unreadable_nr &&
		    end.nr >= runner->first_unreadable_nr)
			end.nr = 0;
		g_array_append_val(ends, end);
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
	runner_trace_report(runner);
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
	report.looked = runner->listed;
	report.late_ms = runner_late_ms(runner);
	report.answered_fence = runner->answered_fence;
	report.reports_fence = true;
	report.restart_seen = runner->restart_seen;
	g_hash_table_iter_init(&iter, runner->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		runner_add_run(runner, runs, value);
	runner_add_superseded(runner, runs);
	if (runner->worker.ended)
		runner_add_late_starts(runner, runs);
	runner_add_ends(runner, ends);
	g_array_append_vals(ends, runner->unlisted_ends->data,
			    runner->unlisted_ends->len);
	g_array_set_size(runner->unlisted_ends, 0);
	report.nr_runs = runs->len;
	report.runs = (struct flow_run *)(void *)runs->data;
	report.nr_ends = ends->len;
	report.ends = (struct flow_run_end *)(void *)ends->data;
	node_send(runner->node, leader, MSG_FLOW_REPORT, &report);
	g_array_unref(runs);
	g_array_unref(ends);
}

void runner_report_now(struct runner *runner)
{
	runner_report(runner, runner->node->now_us);
}

static bool runner_accept_term(struct runner *runner, uint64_t term)
{
	if (term < runner->term) {
		counter_add(runner->node->counters, "orders_stale", 1);
		return false;
	}
	runner->term = term;
	runner_accept_fence(runner, term * FLOW_FENCES_PER_TERM);
	return true;
}

static bool runner_is_incarnation(const struct runner *runner, const char *id,
				  uint64_t born_ms)
{
	return !strcmp(runner->worker.id, id) &&
	       runner->worker.born_ms == born_ms;
}

static void runner_on_grant(struct runner *runner,
			    const struct flow_grant *grant)
{
	if (!runner_accept_term(runner, grant->term) ||
	    !runner_is_incarnation(runner, grant->worker, grant->born_ms))
		return;
	runner->trace.granted_us = runner->node->now_us;
	runner_accept_fence(runner, grant->fence);
	if (grant->lease_ms)
		runner->lease_until_us =
			MAX(runner->lease_until_us,
			    grant->sent_us + grant->lease_ms * 1000ull);
	for (uint32_t i = 0; i < grant->nr_pairs; i++)
		pressure_restore(runner->pressure, &grant->pairs[i]);
	if (!runner->listed)
		runner_poll(runner); /* with the grant's fencing token */
	if (grant->settled_nr <= runner->settled_nr)
		return;
	runner->settled_nr = grant->settled_nr;
	for (guint i = runner->ends->len; i-- > 0;)
		if (g_array_index(runner->ends, struct flow_run_end, i).nr <=
		    runner->settled_nr)
			g_array_remove_index(runner->ends, i);
	runner_poll(runner);
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
		/* Another call may start the run of a repeated order. The
		 * leader repeats the order until the other run has ended. */
		if (!order->repeated)
			runner_refuse(runner, order->task, order->run,
				      RESULT_IN_PROGRESS);
		return;
	}
	if (!run)
		run = runner_add(runner, order->task, order->run, RUNNER_NEW);
	run->ordered = true;
	run->order_fence = MAX(run->order_fence, order->fence);
	/* The grant with this token may have got lost. */
	runner_accept_fence(runner, order->fence);
	run->repeated = run->repeated || order->repeated;
	run->filler = order->filler;
	run->target_ms = order->target_ms;
	run->image = pressure_image(runner->pressure, order->image);
	run->cpu_millis = order->cpu_millis;
	run->yield_ms = order->yield_ms;
	if (known)
		return;
	run->spec = order->spec ? g_bytes_ref(order->spec) : NULL;
	TEXT_SET(run->checkpoint, order->checkpoint);
	TEXT_SET(run->ticket, order->ticket);
}

static void runner_on_stop(struct runner *runner,
			   const struct flow_order *order)
{
	struct runner_run *run = runner_find(runner, order->task, order->run);

	/* The worker may still receive a start call that an earlier agent
	 * process made, so a run without a record is stopped, too. */
	if (!run) {
		if (g_hash_table_contains(runner->runs, order->task))
			return;
		run = runner_add(runner, order->task, order->run,
				 RUNNER_UNCONFIRMED);
	}
	run->ordered = true;
	if (!run->stop)
		runner_log_run(runner, "task-stopping", run->task, run->run,
			       "ordered", RESULT_OK);
	runner_stop(runner, run);
}

/*
 * Handles an order for an earlier incarnation of the worker. If the run's start
 * may have been called, by this or an earlier agent process, and the current
 * incarnation has the same id, it may still carry out that call. The run is
 * then stopped at the current incarnation before it is reported as never
 * started. A stop order doesn't tell whether the start was called.
 */
static void runner_on_earlier_incarnation(struct runner *runner,
					  const char *worker,
					  const struct flow_order *order)
{
	struct runner_run *run = runner_find(runner, order->task, order->run);
	bool other_run = !run &&
			 g_hash_table_contains(runner->runs, order->task);
	bool never_called = !run && !order->repeated &&
			    order->action == FLOW_START;

	if (never_called || other_run || !runner_has_worker(runner) ||
	    strcmp(runner->worker.id, worker) != 0) {
		runner_refuse(runner, order->task, order->run,
			      RESULT_OTHER_LIFE);
		return;
	}
	if (!run)
		run = runner_add(runner, order->task, order->run,
				 RUNNER_UNCONFIRMED);
	run->ordered = true;
	runner_stop(runner, run);
}

static void runner_on_orders(struct runner *runner,
			     const struct flow_orders *orders)
{
	bool current;

	/* Orders for a later incarnation than the current one are ignored; the
	 * leader repeats its orders. */
	if (!runner_accept_term(runner, orders->term) ||
	    !runner->worker.id[0] || orders->born_ms > runner->worker.born_ms)
		return;
	current =
		runner_has_worker(runner) &&
		runner_is_incarnation(runner, orders->worker, orders->born_ms);
	/* The place of an order in the message doesn't decide its turn. */
	runner->calls_deferred = true;
	for (uint32_t i = 0; i < orders->nr_orders; i++) {
		const struct flow_order *order = &orders->orders[i];

		if (!current)
			runner_on_earlier_incarnation(runner, orders->worker,
						      order);
		else if (order->action == FLOW_START)
			runner_on_start(runner, order);
		else
			runner_on_stop(runner, order);
	}
	runner_queue_due(runner, runner->node->now_us);
}

/* ---- the role ---- */

static void runner_role_start(void *role)
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

/*
 * Returns true if no call but polls is in flight. The process may exit during a
 * poll: the worker continues its runs, and the next agent process lists them.
 */
static bool runner_idle(const void *role)
{
	const struct runner *runner = role;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, runner->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct runner_call *)value)->kind != EXEC_POLL)
			return false;
	return true;
}

static void runner_free(void *role)
{
	struct runner *runner = role;

	timer_cancel(runner->node->timers, &runner->report_timer);
	timer_cancel(runner->node->timers, &runner->poll_timer);
	timer_cancel(runner->node->timers, &runner->run_timer);
	timer_cancel(runner->node->timers, &runner->start_timer);
	timer_cancel(runner->node->timers, &runner->overdue_timer);
	timer_cancel(runner->node->timers, &runner->leaving_timer);
	site_free(runner->site);
	g_hash_table_unref(runner->runs);
	g_hash_table_unref(runner->calls);
	g_array_unref(runner->superseded);
	g_array_unref(runner->ends);
	g_array_unref(runner->unlisted_ends);
	g_array_unref(runner->late_starts);
	g_hash_table_unref(runner->refusals);
	pressure_free(runner->pressure);
	g_free(runner);
}

static const struct role_ops runner_role = {
	.role = ROLE_AGENT,
	.start = runner_role_start,
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
		.discover_controls = true,
	};

	runner->node = node;
	runner->opts = *opts;
	runner_trace_incarnation(runner);
	runner->pressure = pressure_new();
	runner->runs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     runner_run_free);
	runner->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	runner->superseded = g_array_new(FALSE, FALSE, sizeof(struct flow_run));
	runner->ends = g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	runner->unlisted_ends =
		g_array_new(FALSE, FALSE, sizeof(struct flow_run_end));
	runner->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	runner->late_starts =
		g_array_new(FALSE, FALSE, sizeof(struct runner_late_start));
	runner->report_timer = (struct timer){ runner_report, runner };
	runner->poll_timer = (struct timer){ runner_poll_due, runner };
	runner->run_timer = (struct timer){ runner_queue_due, runner };
	runner->start_timer = (struct timer){ runner_queue_due, runner };
	runner->overdue_timer = (struct timer){ runner_overdue_due, runner };
	runner->leaving_timer = (struct timer){ runner_leaving_due, runner };
	runner->site = site_new(node, &site_opts);
	node_set_role(node, &runner_role, runner);
	return runner;
}

const char *runner_leader_address(const struct runner *runner)
{
	return site_leader_address(runner->site);
}

void runner_add_controls(struct runner *runner, const char *const *addresses)
{
	site_add_controls(runner->site, addresses);
}
