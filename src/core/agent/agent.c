#include "agent.h"

#include "admit.h"
#include "agent_task.h"
#include "logline.h"
#include "site.h"
#include "tunables.h"

struct agent {
	struct node *node;
	const struct agent_host_ops *host;
	void *host_ctx;
	struct site *site;
	struct agent_task *tasks;
	struct admit *admit;
	GArray *entries; /* uint64_t, node_ids of connected entries */
	GArray *services; /* struct report_service, set by each load report */
	struct timer load_timer;
	uint64_t load_seq; /* sequence number of the last load report */
	uint64_t load_sent_us; /* time of the last load report, 0: none */
};

static enum result agent_may_start(void *ctx, bool repeatable)
{
	const struct agent *agent = ctx;

	if (!site_bundle(agent->site))
		return RESULT_NO_BUNDLE;
	if (agent_task_zone_is_out(agent->tasks))
		return RESULT_ZONE_OUT;
	if (!repeatable && !agent_task_may_start(agent->tasks))
		return RESULT_NO_PERMIT;
	return RESULT_OK;
}

/* Sets the services that the next reports to the leader contain. */
static void agent_report_services(struct agent *agent,
				  const struct load_report *report)
{
	g_array_set_size(agent->services, 0);
	for (uint32_t i = 0; i < report->nr_loads; i++) {
		const struct load *load = &report->loads[i];
		struct report_service service = { 0 };

		if (!load->slots)
			continue;
		TEXT_SET(service.service, load->service);
		service.slots = load->slots;
		service.leaving = load->leaving;
		service.service_time_us = load->service_time_us;
		g_array_append_val(agent->services, service);
	}
	agent_task_set_services(
		agent->tasks,
		(struct report_service *)(void *)agent->services->data,
		agent->services->len);
}

static void agent_send_loads(void *data, uint64_t now_us)
{
	struct agent *agent = data;
	struct load_report report = { 0 };

	report.seq = ++agent->load_seq;
	admit_loads(agent->admit, &report);
	for (uint32_t i = 0; i < agent->entries->len; i++)
		node_send(agent->node,
			  g_array_index(agent->entries, uint64_t, i), MSG_LOAD,
			  &report);
	agent_report_services(agent, &report);
	agent->load_sent_us = now_us;
	node_timer_ms(agent->node, &agent->load_timer, LOAD_INTERVAL_MS);
}

/* Schedules a load report as early as LOAD_MIN_INTERVAL_MS allows. */
static void agent_load_changed(void *ctx)
{
	struct agent *agent = ctx;
	uint64_t due_us = agent->load_sent_us + LOAD_MIN_INTERVAL_MS * 1000ull;

	due_us = MAX(due_us, agent->node->now_us);
	if (timer_armed(&agent->load_timer) &&
	    agent->load_timer.due_us <= due_us)
		return;
	timer_set(agent->node->timers, &agent->load_timer, due_us);
}

static void agent_upstream_call(void *ctx, uint64_t call_nr,
				const char *address,
				const struct request *request)
{
	const struct agent *agent = ctx;

	agent->host->upstream_call(agent->host_ctx, call_nr, address, request);
}

static void agent_upstream_cancel(void *ctx, uint64_t call_nr)
{
	const struct agent *agent = ctx;

	agent->host->upstream_cancel(agent->host_ctx, call_nr);
}

static const struct admit_ops agent_admit_ops = {
	.may_start = agent_may_start,
	.changed = agent_load_changed,
	.upstream_call = agent_upstream_call,
	.upstream_cancel = agent_upstream_cancel,
};

static void agent_leader_changed(void *ctx, uint64_t node_id)
{
	struct agent *agent = ctx;

	agent_task_leader_changed(agent->tasks, node_id);
}

/*
 * The agent accepts requests once it has a bundle, the operators' versioned
 * configuration. The first bundle thus changes the reported loads.
 */
static void agent_bundle_changed(void *ctx, const struct bundle *bundle)
{
	(void)bundle;
	agent_load_changed(ctx);
}

static const struct site_ops agent_site_ops = {
	.bundle_changed = agent_bundle_changed,
	.leader_changed = agent_leader_changed,
};

static void agent_start(void *role)
{
	struct agent *agent = role;

	site_start(agent->site);
	agent_task_start(agent->tasks);
	node_timer_ms(agent->node, &agent->load_timer, LOAD_INTERVAL_MS);
}

static void agent_peer_up(void *role, const struct link *link)
{
	struct agent *agent = role;

	if (link->peer.role == ROLE_CONTROL)
		site_peer_up(agent->site, link);
	if (link->peer.role != ROLE_ENTRY)
		return;
	g_array_append_val(agent->entries, link->peer.node_id);
	agent_load_changed(agent);
}

static void agent_peer_down(void *role, const struct link *link)
{
	struct agent *agent = role;

	if (link->peer.role == ROLE_CONTROL)
		site_peer_down(agent->site, link);
	for (uint32_t i = agent->entries->len; i-- > 0;)
		if (g_array_index(agent->entries, uint64_t, i) ==
		    link->peer.node_id)
			g_array_remove_index_fast(agent->entries, i);
}

static void agent_message(void *role, uint64_t from, uint32_t type,
			  const void *body)
{
	struct agent *agent = role;
	const struct cancel *cancel = body;

	switch (type) {
	case MSG_REQUEST:
		admit_request(agent->admit, from, body);
		break;
	case MSG_CANCEL:
		admit_cancel(agent->admit, from, cancel->request_nr);
		break;
	case MSG_OUTCOME_QUERY:
		admit_query(agent->admit, from, body);
		break;
	default:
		if (!site_message(agent->site, from, type, body))
			agent_task_message(agent->tasks, from, type, body);
	}
}

static void agent_shutdown(void *role)
{
	struct agent *agent = role;

	admit_leave(agent->admit);
	agent_task_shutdown(agent->tasks);
	/* Reports the leaving now, so that entries send no more requests. */
	agent_send_loads(agent, agent->node->now_us);
}

static bool agent_idle(const void *role)
{
	const struct agent *agent = role;

	return admit_idle(agent->admit) && agent_task_idle(agent->tasks);
}

static void agent_free(void *role)
{
	struct agent *agent = role;

	timer_cancel(agent->node->timers, &agent->load_timer);
	admit_free(agent->admit);
	agent_task_free(agent->tasks);
	site_free(agent->site);
	g_array_unref(agent->entries);
	g_array_unref(agent->services);
	g_free(agent);
}

static const struct role_ops agent_role_ops = {
	.role = ROLE_AGENT,
	.start = agent_start,
	.peer_up = agent_peer_up,
	.peer_down = agent_peer_down,
	.message = agent_message,
	.shutdown = agent_shutdown,
	.idle = agent_idle,
	.free = agent_free,
};

struct agent *agent_new(struct node *node, const struct agent_opts *opts)
{
	struct agent *agent = g_new0(struct agent, 1);
	struct site_opts site_opts = {
		.ops = &agent_site_ops,
		.ctx = agent,
		.control_addresses = opts->control_addresses,
	};
	struct agent_task_opts task_opts = {
		.host = opts->host,
		.host_ctx = opts->host_ctx,
		.vm = opts->vm,
	};

	agent->node = node;
	agent->host = opts->host;
	agent->host_ctx = opts->host_ctx;
	agent->entries = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	agent->services =
		g_array_new(FALSE, FALSE, sizeof(struct report_service));
	agent->load_timer.fn = agent_send_loads;
	agent->load_timer.data = agent;
	agent->site = site_new(node, &site_opts);
	task_opts.site = agent->site;
	agent->tasks = agent_task_new(node, &task_opts);
	agent->admit = admit_new(node, &agent_admit_ops, agent);
	node_set_role(node, &agent_role_ops, agent);
	return agent;
}

enum result agent_announce(struct agent *agent,
			   const struct platform_announce *announce)
{
	return admit_announce(agent->admit, announce);
}

void agent_withdraw(struct agent *agent, const char *upstream_id)
{
	admit_withdraw(agent->admit, upstream_id);
}

void agent_upstream_done(struct agent *agent, uint64_t call_nr,
			 const struct upstream_result *result)
{
	admit_call_done(agent->admit, call_nr, result);
}

void agent_platform_done(struct agent *agent, uint64_t call_nr,
			 const struct platform_answer *answer)
{
	agent_task_platform_done(agent->tasks, call_nr, answer);
}
