#include "entry_exchange.h"

#include "schema.h"
#include "tunables.h"

static struct service *entry_find_service(const struct entry *entry,
					  const char *name)
{
	for (uint32_t i = 0; i < entry->services->len; i++) {
		struct service *service = g_ptr_array_index(entry->services, i);

		if (!g_strcmp0(service->name, name))
			return service;
	}
	return NULL;
}

static struct service *entry_add_service(struct entry *entry, const char *name)
{
	struct service *service = entry_find_service(entry, name);

	if (!service) {
		service = service_new(name);
		g_ptr_array_add(entry->services, service);
	}
	return service;
}

/* Answers a request that is refused before its exchange is created. */
static void entry_refuse(struct entry *entry, uint64_t ticket,
			 enum result result)
{
	struct response response = { 0 };

	response.run = RUN_NOT_RUN;
	response.result = result;
	counter_add(entry->node->counters, "entry_not_run", 1);
	if (result == RESULT_OVERLOADED)
		counter_add(entry->node->counters, "entry_shed", 1);
	entry->host->respond(entry->host_ctx, ticket, &response);
}

static enum result entry_check(const struct entry *entry,
			       const struct request *request)
{
	uint64_t bytes = request->body ? g_bytes_get_size(request->body) : 0;

	if (entry->node->stopping)
		return RESULT_LEAVING;
	if (!entry_ready(entry))
		return RESULT_NO_BUNDLE;
	if (bytes > BODY_MAX_BYTES)
		return RESULT_TOO_LARGE;
	if (g_hash_table_size(entry->exchanges) +
			    g_hash_table_size(entry->awaiting_outcome) >=
		    ENTRY_IN_FLIGHT_MAX ||
	    entry->bytes + bytes > ENTRY_IN_FLIGHT_MAX_BYTES)
		return RESULT_OVERLOADED;
	if (!entry_find_service(entry, request->service))
		return RESULT_NO_UPSTREAM;
	return RESULT_OK;
}

static void entry_handle_load(struct entry *entry, uint64_t agent_node,
			      const struct load *load)
{
	const struct link *link = node_link(entry->node, agent_node);
	struct service *service = entry_add_service(entry, load->service);
	struct upstream *upstream =
		service_add(service, agent_node, entry->node->now_us);

	upstream_report(upstream, load, link ? 2 * link->delay_us : 0,
			entry->node->now_us);
	entry_capacity_changed(entry);
}

static void entry_handle_response(struct entry *entry, uint64_t from,
				  const struct response *response)
{
	struct attempt *attempt;

	if (*response->load.service)
		entry_handle_load(entry, from, &response->load);
	attempt = g_hash_table_lookup(entry->attempts, &response->request_nr);
	/* The attempt may have been closed before this late response. */
	if (!attempt || attempt->agent_node != from ||
	    response->origin_node != entry->node->self.node_id)
		return;
	exchange_response(attempt, response);
}

static void entry_handle_claim_reply(struct entry *entry,
				     const struct claim_reply *reply)
{
	struct exchange *exchange =
		g_hash_table_lookup(entry->claims, &reply->ticket);

	if (exchange)
		exchange_claim_reply(exchange, reply);
}

/* Calls fn() for every open attempt at the agent; fn() may end any attempt. */
static void entry_each_attempt(struct entry *entry, uint64_t agent_node,
			       void (*fn)(struct attempt *attempt))
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, entry->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct attempt *attempt = value;

		if (attempt->agent_node == agent_node)
			g_array_append_val(numbers, attempt->request_nr);
	}
	for (uint32_t i = 0; i < numbers->len; i++) {
		struct attempt *attempt = g_hash_table_lookup(
			entry->attempts, &g_array_index(numbers, uint64_t, i));

		if (attempt)
			fn(attempt);
	}
	g_array_unref(numbers);
}

static bool entry_is_dialled(const struct entry *entry, const char *address)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, entry->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!g_strcmp0(value, address))
			return true;
	return false;
}

static void entry_agent_changed(void *ctx, const struct view_agent *agent)
{
	struct entry *entry = ctx;
	char *old =
		g_strdup(g_hash_table_lookup(entry->agents, &agent->node_id));

	if (agent->gone || !*agent->address) {
		g_hash_table_remove(entry->agents, &agent->node_id);
	} else {
		g_hash_table_replace(entry->agents,
				     g_memdup2(&agent->node_id,
					       sizeof(uint64_t)),
				     g_strdup(agent->address));
		node_dial(entry->node, agent->address);
	}
	/* A restarted agent keeps its address under a new node_id. */
	if (old && !entry_is_dialled(entry, old))
		node_stop_dial(entry->node, old);
	g_free(old);
}

static void entry_bundle_changed(void *ctx, const struct bundle *bundle)
{
	struct entry *entry = ctx;

	entry->policy = route_find(bundle->route_policy);
}

/*
 * Sends claim queries and completions to the new leader again, as the old one
 * may have lost them.
 */
static void entry_leader_changed(void *ctx, uint64_t node_id)
{
	struct entry *entry = ctx;
	GHashTableIter iter;
	void *value;

	if (!node_id)
		return;
	g_hash_table_iter_init(&iter, entry->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		exchange_claim_repeat(value);
	entry_claims_resend(entry);
}

static const struct site_ops entry_site_ops = {
	.bundle_changed = entry_bundle_changed,
	.agent_changed = entry_agent_changed,
	.leader_changed = entry_leader_changed,
};

static void entry_start(void *role)
{
	struct entry *entry = role;

	site_start(entry->site);
}

static void entry_peer_up(void *role, const struct link *link)
{
	struct entry *entry = role;

	if (link->peer.role == ROLE_CONTROL)
		site_peer_up(entry->site, link);
	/*
	 * Attempts at this process that are open already may have lost their
	 * responses with an earlier connection.
	 */
	entry_each_attempt(entry, link->peer.node_id, attempt_query_outcome);
}

static void entry_peer_down(void *role, const struct link *link)
{
	struct entry *entry = role;
	uint64_t node_id = link->peer.node_id;

	if (link->peer.role == ROLE_CONTROL)
		site_peer_down(entry->site, link);
	entry_each_attempt(entry, node_id, attempt_peer_lost);
	for (uint32_t i = 0; i < entry->services->len; i++)
		service_remove(g_ptr_array_index(entry->services, i), node_id);
	entry_capacity_changed(entry);
}

static void entry_link_replaced(void *role, const struct link *link)
{
	struct entry *entry = role;

	entry_each_attempt(entry, link->peer.node_id, attempt_query_outcome);
}

static void entry_message(void *role, uint64_t from, uint32_t type,
			  const void *body)
{
	struct entry *entry = role;
	const struct load_report *report = body;

	switch (type) {
	case MSG_RESPONSE:
		entry_handle_response(entry, from, body);
		break;
	case MSG_CLAIM_REPLY:
		entry_handle_claim_reply(entry, body);
		break;
	case MSG_LOAD:
		for (uint32_t i = 0; i < report->nr_loads; i++)
			entry_handle_load(entry, from, &report->loads[i]);
		break;
	default:
		site_message(entry->site, from, type, body);
	}
}

static bool entry_idle(const void *role)
{
	const struct entry *entry = role;

	return g_hash_table_size(entry->exchanges) == 0 &&
	       g_hash_table_size(entry->awaiting_outcome) == 0;
}

static void entry_free(void *role)
{
	struct entry *entry = role;

	timer_cancel(entry->node->timers, &entry->wait_timer);
	g_hash_table_unref(entry->exchanges);
	g_hash_table_unref(entry->awaiting_outcome);
	g_hash_table_unref(entry->attempts);
	g_hash_table_unref(entry->claims);
	entry_claims_free(entry);
	g_hash_table_unref(entry->agents);
	g_ptr_array_unref(entry->services);
	site_free(entry->site);
	g_free(entry);
}

static const struct role_ops entry_role_ops = {
	.role = ROLE_ENTRY,
	.start = entry_start,
	.peer_up = entry_peer_up,
	.peer_down = entry_peer_down,
	.link_replaced = entry_link_replaced,
	.message = entry_message,
	.idle = entry_idle,
	.free = entry_free,
};

struct entry *entry_new(struct node *node, const struct entry_opts *opts)
{
	struct entry *entry = g_new0(struct entry, 1);
	struct site_opts site_opts = {
		.ops = &entry_site_ops,
		.ctx = entry,
		.control_addresses = opts->control_addresses,
	};

	entry->node = node;
	entry->host = opts->host;
	entry->host_ctx = opts->host_ctx;
	entry->policy = route_find("");
	entry->services = g_ptr_array_new_with_free_func(service_free);
	entry->agents = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	entry->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, exchange_free);
	entry->awaiting_outcome =
		g_hash_table_new_full(NULL, NULL, exchange_free, NULL);
	entry->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->wait_timer.fn = entry_send_waiting;
	entry->wait_timer.data = entry;
	entry->site = site_new(node, &site_opts);
	node_set_role(node, &entry_role_ops, entry);
	return entry;
}

void entry_submit(struct entry *entry, uint64_t ticket,
		  const struct request *request)
{
	enum result result = entry_check(entry, request);
	struct service *service;
	struct exchange *exchange;

	counter_add(entry->node->counters, "entry_requests", 1);
	if (result) {
		entry_refuse(entry, ticket, result);
		return;
	}
	g_assert(!g_hash_table_contains(entry->exchanges, &ticket));
	service = entry_find_service(entry, request->service);
	budget_earn(&service->retries);
	budget_earn(&service->hedges);
	exchange = exchange_new(entry, service, ticket, request);
	exchange_dispatch(exchange, "first");
}

void entry_abandon(struct entry *entry, uint64_t ticket)
{
	struct exchange *exchange =
		g_hash_table_lookup(entry->exchanges, &ticket);

	if (exchange)
		exchange_abandon(exchange);
}

bool entry_ready(const struct entry *entry)
{
	return site_bundle(entry->site) != NULL;
}
