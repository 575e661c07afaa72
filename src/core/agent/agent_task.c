#include "agent_task.h"

#include <string.h>

#include "lease.h"
#include "logline.h"
#include "permit.h"
#include "result.h"
#include "schema.h"
#include "worker.h"

struct agent_task {
	struct node *node;
	struct agent_task_opts opts;
	struct worker *worker;
	struct timer tick;
	uint64_t started_us; /* when this agent process started */
	bool report_due; /* a report waits for a list */
	uint64_t leader; /* node_id, 0 if none is known */
	uint64_t term; /* highest leader term seen in a message */
	uint64_t seq; /* sequence number of the last report, 0: none yet */
	uint64_t granted_seq; /* highest seq of a report that was granted */
	struct lease lease; /* the VM's; no task is started with a longer one */
	struct permit permit;
	bool zone_out; /* the last grant reported the VM's zone as out */
	uint32_t nr_services;
	struct report_service *services;
};

/* Context of a traversal of the runs: builds a report or applies a grant. */
struct agent_walk {
	struct agent_task *tasks;
	const struct grant *grant; /* NULL while a report is built */
	GArray *items; /* struct platform_task or platform_lease_item */
};

static gboolean agent_task_append_run(gpointer key, gpointer value,
				      gpointer data)
{
	struct agent_walk *walk = data;
	struct agent_task *tasks = walk->tasks;
	struct worker_run *run = value;
	struct platform_task item = run->seen;
	uint64_t age_ms = (tasks->node->now_us - run->seen_us) / 1000;

	if (run->end_acked_us)
		return FALSE;
	item.age_ms += (uint32_t)age_ms;
	switch (run->phase) {
	case PHASE_STARTING:
		item.run = TASK_RUN_NONE;
		break;
	case PHASE_ENDED:
		item.run = run->end;
		break;
	default:
		/* A stopping task counts as running until the worker has
		 * confirmed the stop. */
		item.run = TASK_RUN_RUNNING;
	}
	if (!run->reported_seq)
		run->reported_seq = tasks->seq;
	g_array_append_val(walk->items, item);
	return FALSE;
}

static void agent_task_send_event(struct agent_task *tasks,
				  const struct worker_run *run)
{
	struct task_event event = { 0 };

	event.task_id = run->task_id;
	event.epoch = run->epoch;
	event.run = run->phase == PHASE_ENDED ? run->end : TASK_RUN_RUNNING;
	TEXT_SET(event.checkpoint, run->seen.checkpoint);
	event.progress_ppm = run->seen.progress_ppm;
	event.result = run->phase == PHASE_ENDED ? run->result : RESULT_OK;
	if (tasks->leader)
		node_send(tasks->node, tasks->leader, MSG_TASK_EVENT, &event);
}

static gboolean agent_task_repeat_event(gpointer key, gpointer value,
					gpointer data)
{
	const struct worker_run *run = value;

	if (run->phase == PHASE_ENDED && !run->end_acked_us)
		agent_task_send_event(data, run);
	return FALSE;
}

/*
 * Returns true once a list shows all runs that earlier agent processes have
 * started: the permits of their start calls have expired by then.
 */
static bool agent_task_knows_runs(const struct agent_task *tasks)
{
	return tasks->worker->listed &&
	       tasks->worker->listed_us >=
		       tasks->started_us + PERMIT_TTL_MS * 1000ull;
}

/*
 * Returns true if a run that isn't in the list counts as absent at the time of
 * a report. Until agent_task_knows_runs() does, this takes a recent list. The
 * leader waits LEASE_MARGIN_MS longer than a permit before it gives up a run
 * that isn't reported.
 */
static bool agent_task_may_report(const struct agent_task *tasks)
{
	return agent_task_knows_runs(tasks) ||
	       (tasks->worker->listed &&
		tasks->node->now_us - tasks->worker->listed_us <=
			LEASE_MARGIN_MS * 1000ull);
}

static void agent_task_report(struct agent_task *tasks)
{
	struct report report = { 0 };
	struct agent_walk walk = { tasks, NULL, NULL };
	const struct bundle *bundle = site_bundle(tasks->opts.site);

	/* Before the worker's first list the report would be empty, and the
	 * leader would conclude that the VM's tasks no longer exist. */
	tasks->report_due = !agent_task_may_report(tasks);
	if (!tasks->leader || tasks->report_due)
		return;
	/* Events are sent before the report, as only events contain the
	 * result codes of ended tasks. */
	g_tree_foreach(tasks->worker->runs, agent_task_repeat_event, tasks);
	walk.items = g_array_new(FALSE, FALSE, sizeof(struct platform_task));
	report.seq = ++tasks->seq;
	report.sent_us = tasks->node->now_us;
	report.vm = tasks->opts.vm;
	report.vm.node_id = tasks->node->self.node_id;
	report.vm.state = tasks->node->stopping ? VM_LEAVING : VM_LIVE;
	TEXT_SET(report.vm.address, tasks->node->self.address);
	report.leaving = tasks->node->stopping;
	report.bundle_version = bundle ? bundle->version : 0;
	g_tree_foreach(tasks->worker->runs, agent_task_append_run, &walk);
	report.nr_tasks = walk.items->len;
	report.tasks = (struct platform_task *)(void *)walk.items->data;
	report.nr_services = tasks->nr_services;
	report.services = tasks->services;
	node_send(tasks->node, tasks->leader, MSG_REPORT, &report);
	counter_add(tasks->node->counters, "reports_sent", 1);
	g_array_unref(walk.items);
}

static gboolean agent_task_check_lease(gpointer key, gpointer value,
				       gpointer data)
{
	struct agent_task *tasks = data;
	struct worker_run *run = value;
	uint32_t left_ms = lease_left_ms(&run->lease, tasks->node->now_us);

	if (run->phase != PHASE_RUNNING || left_ms > LEASE_STOP_BEFORE_MS)
		return FALSE;
	counter_add(tasks->node->counters, "leases_ending", 1);
	/* The worker must make the checkpoint while it still runs the task,
	 * that is before the lease ends. */
	worker_stop(tasks->worker, run, true);
	return FALSE;
}

static void agent_task_tick(void *data, uint64_t now_us)
{
	struct agent_task *tasks = data;

	node_timer_ms(tasks->node, &tasks->tick, REPORT_INTERVAL_MS);
	g_tree_foreach(tasks->worker->runs, agent_task_check_lease, tasks);
	worker_list(tasks->worker);
	agent_task_report(tasks);
}

static bool agent_task_confirms(const struct grant *grant, uint64_t task_id)
{
	for (uint32_t i = 0; i < grant->nr_confirmed; i++)
		if (grant->confirmed[i] == task_id)
			return true;
	return false;
}

static void agent_task_stop_unconfirmed(struct agent_task *tasks,
					struct worker_run *run)
{
	GString *line;

	if (run->phase == PHASE_ENDED) {
		run->end_acked_us = MAX(tasks->node->now_us, 1);
		return;
	}
	if (run->phase == PHASE_STOPPING)
		return;
	line = logline_new("task-unconfirmed");
	logline_u64(line, "task", run->task_id);
	logline_u64(line, "epoch", run->epoch);
	node_log(tasks->node, line);
	counter_add(tasks->node->counters, "tasks_unconfirmed", 1);
	worker_stop(tasks->worker, run, false);
}

static gboolean agent_task_apply_confirmed(gpointer key, gpointer value,
					   gpointer data)
{
	struct agent_walk *walk = data;
	const struct grant *grant = walk->grant;
	struct worker_run *run = value;
	struct platform_lease_item item = { run->task_id, run->epoch };

	/* The grant only covers runs that were in the report that the grant
	 * answers. */
	if (!run->reported_seq || run->reported_seq > grant->seq)
		return FALSE;
	if (!agent_task_confirms(grant, run->task_id)) {
		agent_task_stop_unconfirmed(walk->tasks, run);
		return FALSE;
	}
	lease_renew(&run->lease, grant->sent_us, grant->lease_ms);
	if (run->phase != PHASE_ENDED)
		g_array_append_val(walk->items, item);
	return FALSE;
}

static void agent_task_handle_grant(struct agent_task *tasks, uint64_t from,
				    const struct grant *grant)
{
	struct agent_walk walk = { tasks, grant, NULL };
	uint64_t now_us = tasks->node->now_us;

	if (grant->term < tasks->term || grant->seq <= tasks->granted_seq ||
	    grant->seq > tasks->seq) {
		counter_add(tasks->node->counters, "grants_refused", 1);
		return;
	}
	tasks->term = grant->term;
	tasks->granted_seq = grant->seq;
	lease_renew(&tasks->lease, grant->sent_us, grant->lease_ms);
	permit_set(&tasks->permit, grant->sent_us,
		   MIN(grant->permit_ms, PERMIT_TTL_MS));
	tasks->zone_out = grant->zone_out;
	walk.items =
		g_array_new(FALSE, FALSE, sizeof(struct platform_lease_item));
	g_tree_foreach(tasks->worker->runs, agent_task_apply_confirmed, &walk);
	worker_renew_leases(tasks->worker, lease_left_ms(&tasks->lease, now_us),
			    (void *)walk.items->data, walk.items->len);
	g_array_unref(walk.items);
}

static void agent_task_log_order(struct agent_task *tasks,
				 const struct task_order *order,
				 enum result result)
{
	GString *line = logline_new("order");

	logline_u64(line, "task", order->start.task_id);
	logline_u64(line, "epoch", order->start.epoch);
	logline_u64(line, "action", order->action);
	logline_u64(line, "term", order->term);
	logline_str(line, "result", result_name(result));
	node_log(tasks->node, line);
	counter_add(tasks->node->counters,
		    result ? "orders_refused" : "orders_taken", 1);
}

/* Returns RESULT_OK if the task may be started now, else why not. */
static enum result agent_task_check_start(struct agent_task *tasks,
					  const struct task_order *order)
{
	const struct worker_run *run =
		worker_find(tasks->worker, order->start.task_id);

	if (run && run->epoch > order->start.epoch)
		return RESULT_STALE;
	if (run && run->epoch < order->start.epoch && run->phase != PHASE_ENDED)
		return RESULT_IN_PROGRESS;
	if (tasks->node->stopping)
		return RESULT_LEAVING;
	if (agent_task_zone_is_out(tasks))
		return RESULT_ZONE_OUT;
	/* Until the worker's first list, an earlier epoch of the task may
	 * still run on this VM. */
	if (!tasks->worker->listed ||
	    !permit_left_ms(&tasks->permit, order->permit_sent_us,
			    tasks->node->now_us))
		return RESULT_NO_PERMIT;
	if (!lease_left_ms(&tasks->lease, tasks->node->now_us))
		return RESULT_LEASE_EXPIRED;
	return RESULT_OK;
}

static enum result agent_task_order_start(struct agent_task *tasks,
					  const struct task_order *order)
{
	struct worker_run *run =
		worker_find(tasks->worker, order->start.task_id);
	enum result result = agent_task_check_start(tasks, order);
	struct platform_start start = order->start;

	if (result == RESULT_IN_PROGRESS)
		worker_stop(tasks->worker, run, false);
	if (result)
		return result;
	/* The order is a duplicate: an ended epoch is never started again. */
	if (run && run->epoch == order->start.epoch)
		return RESULT_OK;
	start.lease_ms = lease_left_ms(&tasks->lease, tasks->node->now_us);
	start.start_within_ms = permit_left_ms(
		&tasks->permit, order->permit_sent_us, tasks->node->now_us);
	start.sent_us = tasks->node->now_us;
	worker_start(tasks->worker, &start);
	counter_add(tasks->node->counters, "task_starts", 1);
	return RESULT_OK;
}

static void agent_task_handle_order(struct agent_task *tasks,
				    const struct task_order *order)
{
	struct worker_run *run =
		worker_find(tasks->worker, order->start.task_id);
	enum result result = RESULT_OK;

	if (order->term < tasks->term ||
	    order->vm_node != tasks->node->self.node_id) {
		result = RESULT_STALE;
		goto out;
	}
	tasks->term = order->term;
	if (order->action == TASK_START) {
		result = agent_task_order_start(tasks, order);
		goto out;
	}
	if (!run || run->epoch != order->start.epoch) {
		result = run && run->epoch > order->start.epoch ?
				 RESULT_STALE :
				 RESULT_UNKNOWN_OBJECT;
		goto out;
	}
	switch (order->action) {
	case TASK_STOP:
		worker_stop(tasks->worker, run, false);
		break;
	case TASK_CHECKPOINT_STOP:
		worker_stop(tasks->worker, run, true);
		break;
	case TASK_CHECKPOINT:
		worker_checkpoint(tasks->worker, run);
		break;
	case TASK_THROTTLE:
		worker_throttle(tasks->worker, run, order->cpu_ppm);
		break;
	default:
		result = RESULT_MALFORMED;
	}
out:
	agent_task_log_order(tasks, order, result);
}

static void agent_task_listed(void *ctx)
{
	struct agent_task *tasks = ctx;

	/* A report that had to wait for this list is sent at once instead of
	 * at the next tick. */
	if (!tasks->seq || tasks->report_due)
		agent_task_report(tasks);
}

static void agent_task_ended(void *ctx, struct worker_run *run)
{
	agent_task_send_event(ctx, run);
}

static void agent_task_checkpointed(void *ctx, struct worker_run *run)
{
	agent_task_send_event(ctx, run);
}

static const struct worker_ops agent_task_worker_ops = {
	.listed = agent_task_listed,
	.ended = agent_task_ended,
	.checkpointed = agent_task_checkpointed,
};

struct agent_task *agent_task_new(struct node *node,
				  const struct agent_task_opts *opts)
{
	struct agent_task *tasks = g_new0(struct agent_task, 1);
	struct worker_opts worker_opts = {
		.host = opts->host,
		.host_ctx = opts->host_ctx,
		.ops = &agent_task_worker_ops,
		.ctx = tasks,
	};

	tasks->node = node;
	tasks->opts = *opts;
	tasks->worker = worker_new(node, &worker_opts);
	tasks->tick.fn = agent_task_tick;
	tasks->tick.data = tasks;
	return tasks;
}

void agent_task_free(struct agent_task *tasks)
{
	if (!tasks)
		return;
	timer_cancel(tasks->node->timers, &tasks->tick);
	worker_free(tasks->worker);
	g_free(tasks->services);
	g_free(tasks);
}

void agent_task_start(struct agent_task *tasks)
{
	tasks->started_us = tasks->node->now_us;
	agent_task_tick(tasks, tasks->started_us);
}

void agent_task_leader_changed(struct agent_task *tasks, uint64_t node_id)
{
	tasks->leader = node_id;
	agent_task_report(tasks);
}

bool agent_task_message(struct agent_task *tasks, uint64_t from, uint32_t type,
			const void *body)
{
	switch (type) {
	case MSG_GRANT:
		agent_task_handle_grant(tasks, from, body);
		return true;
	case MSG_TASK_ORDER:
		agent_task_handle_order(tasks, body);
		return true;
	default:
		return false;
	}
}

void agent_task_platform_done(struct agent_task *tasks, uint64_t call_nr,
			      const struct platform_answer *answer)
{
	worker_call_done(tasks->worker, call_nr, answer);
}

bool agent_task_may_start(const struct agent_task *tasks)
{
	return permit_holds(&tasks->permit, tasks->node->now_us) &&
	       !agent_task_zone_is_out(tasks);
}

bool agent_task_zone_is_out(const struct agent_task *tasks)
{
	return tasks->zone_out ||
	       site_zone_is_out(tasks->opts.site, tasks->opts.vm.zone);
}

void agent_task_set_services(struct agent_task *tasks,
			     const struct report_service *services,
			     uint32_t nr_services)
{
	g_free(tasks->services);
	tasks->services = g_memdup2(services, nr_services * sizeof(*services));
	tasks->nr_services = nr_services;
}

void agent_task_shutdown(struct agent_task *tasks)
{
	permit_set(&tasks->permit, 0, 0);
	agent_task_report(tasks);
}

static gboolean agent_task_is_unacked(gpointer key, gpointer value,
				      gpointer data)
{
	const struct worker_run *run = value;

	if (run->end_acked_us)
		return FALSE;
	*(bool *)data = true;
	return TRUE;
}

bool agent_task_idle(const struct agent_task *tasks)
{
	bool unacked = false;

	if (tasks->node->stopping)
		g_tree_foreach(tasks->worker->runs, agent_task_is_unacked,
			       &unacked);
	return !tasks->worker->nr_calls && !unacked;
}
