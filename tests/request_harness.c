#include "request_harness.h"

#include <string.h>

#include "msg_control.h"
#include "schema.h"

#define HARNESS_ANNOUNCE_US 1000000u

struct harness_call {
	struct harness_agent *agent;
	uint64_t agent_node; /* node_id of the agent that made the call */
	uint64_t call_nr;
	char path[PATH_BYTES];
	enum harness_upstream_mode mode;
	bool cancelled;
	bool done;
};

static const char *const harness_control_addresses[] = { "10.0.0.1:1", NULL };

/* ---- the upstream ---- */

static void harness_call_done(void *data)
{
	struct harness_call *call = data;
	struct harness_agent *agent = call->agent;
	struct upstream_result result = { 0 };
	char *body;

	if (call->done)
		return;
	call->done = true;
	if (call->mode != HARNESS_REFUSE)
		agent->in_flight--;
	body = g_strconcat("response to ", call->path, NULL);
	result.connected = call->mode != HARNESS_REFUSE;
	result.complete = !call->cancelled && (call->mode == HARNESS_SERVE ||
					       call->mode == HARNESS_FAIL);
	result.status = call->mode == HARNESS_FAIL ? 500 : 200;
	TEXT_SET(result.content_type, "text/plain");
	result.body = g_bytes_new(body, strlen(body));
	agent_upstream_done(agent->agent, call->call_nr, &result);
	g_bytes_unref(result.body);
	g_free(body);
}

static uint64_t harness_service_us(struct harness_agent *agent)
{
	const struct harness_opts *opts = &agent->harness->opts;
	uint64_t spread_us =
		(uint64_t)opts->service_us * opts->spread_ppm / 1000000;
	uint64_t time_us = opts->service_us;

	if (spread_us)
		time_us += sim_random(agent->harness->sim) % (2 * spread_us) -
			   spread_us;
	return time_us * agent->slow_ppm / 1000000;
}

static void harness_upstream_call(void *ctx, uint64_t call_nr,
				  const char *address,
				  const struct request *request)
{
	struct harness_agent *agent = ctx;
	struct harness *harness = agent->harness;
	struct harness_call *call = g_new0(struct harness_call, 1);
	uint64_t delay_us = 100;

	call->agent = agent;
	call->agent_node = sim_node(agent->machine)->self.node_id;
	call->call_nr = call_nr;
	call->mode = agent->mode;
	TEXT_SET(call->path, request->path);
	g_ptr_array_add(harness->calls, call);
	g_hash_table_replace(agent->calls, &call->call_nr, call);
	agent->nr_calls++;
	if (call->mode != HARNESS_REFUSE) {
		uintptr_t nr = (uintptr_t)g_hash_table_lookup(harness->runs,
							      call->path);

		g_hash_table_insert(harness->runs, g_strdup(call->path),
				    (void *)(nr + 1));
		delay_us = harness_service_us(agent);
		agent->in_flight++;
		agent->max_in_flight =
			MAX(agent->max_in_flight, agent->in_flight);
	}
	sim_call_after(agent->machine, delay_us, harness_call_done, call);
}

static void harness_upstream_cancel(void *ctx, uint64_t call_nr)
{
	struct harness_agent *agent = ctx;
	uint64_t node_id = sim_node(agent->machine)->self.node_id;
	struct harness_call *call;

	call = g_hash_table_lookup(agent->calls, &call_nr);
	if (!call || call->done || call->agent_node != node_id)
		return;
	call->cancelled = true;
	agent->nr_cancelled++;
	sim_call_after(agent->machine, 1, harness_call_done, call);
}

static const struct agent_host_ops harness_agent_ops = {
	.upstream_call = harness_upstream_call,
	.upstream_cancel = harness_upstream_cancel,
};

static void harness_announce(void *data)
{
	struct harness_agent *agent = data;
	struct platform_announce announce = { 0 };

	/* A call scheduled before a restart of the agent is dropped. */
	sim_call_after(agent->machine, HARNESS_ANNOUNCE_US, harness_announce,
		       agent);
	if (agent->silent)
		return;
	TEXT_SET(announce.id, "executor");
	TEXT_SET(announce.service, HARNESS_SERVICE);
	TEXT_SET(announce.address, "127.0.0.1:9");
	announce.slots = agent->slots;
	announce.connections = agent->connections;
	announce.leaving = agent->leaving;
	agent_announce(agent->agent, &announce);
}

/* ---- the caller ---- */

static void harness_respond(void *ctx, uint64_t ticket,
			    const struct response *response)
{
	struct harness_entry *entry = ctx;
	struct harness_answer *answer =
		g_ptr_array_index(entry->harness->answers, ticket);
	gsize size = 0;
	const char *text = NULL;

	answer->nr++;
	answer->answered_us = sim_now_us(entry->harness->sim);
	answer->run = response->run;
	answer->result = response->result;
	answer->status = response->status;
	if (response->body)
		text = g_bytes_get_data(response->body, &size);
	g_free(answer->body);
	answer->body = text ? g_strndup(text, size) : NULL;
}

static const struct entry_host_ops harness_entry_ops = {
	.respond = harness_respond,
};

/* ---- control ---- */

static char *harness_claim_key(const struct claim_record *claim)
{
	return g_strconcat(claim->service, "/", claim->key, NULL);
}

static void harness_claim_free(void *data)
{
	record_unref((struct record){ REC_CLAIM, data });
}

static void harness_claim_query(struct harness *harness, uint64_t from,
				const struct claim_query *query)
{
	char *key = harness_claim_key(&query->claim);
	struct claim_record *claim = g_hash_table_lookup(harness->claims, key);
	struct claim_reply reply = { .ticket = query->ticket };

	if (!claim || (claim->state == CLAIM_HELD &&
		       !strcmp(claim->digest, query->claim.digest) &&
		       query->claim.attempt == claim->attempt + 1)) {
		claim = schema_dup(REC_CLAIM, &query->claim);
		claim->state = CLAIM_HELD;
		g_hash_table_replace(harness->claims, g_strdup(key), claim);
		reply.result = RESULT_OK;
	} else if (strcmp(claim->digest, query->claim.digest) != 0) {
		reply.result = RESULT_CONFLICT;
	} else {
		reply.result = RESULT_IN_PROGRESS;
	}
	reply.claim = *claim;
	if (!harness->control_drops_replies)
		node_send(sim_node(harness->control), from, MSG_CLAIM_REPLY,
			  &reply);
	g_free(key);
}

static void harness_claim_done(struct harness *harness,
			       const struct claim_done *done)
{
	char *key = harness_claim_key(&done->claim);
	struct claim_record *claim = g_hash_table_lookup(harness->claims, key);

	if (claim && claim->state == CLAIM_HELD) {
		claim = schema_dup(REC_CLAIM, &done->claim);
		claim->state = CLAIM_COMPLETE;
		g_hash_table_replace(harness->claims, g_strdup(key), claim);
	}
	g_free(key);
}

static void harness_control_message(void *role, uint64_t from, uint32_t type,
				    const void *body)
{
	const struct harness *harness = role;

	if (harness->control_drops_messages)
		return;
	if (type == MSG_CLAIM_QUERY)
		harness_claim_query(role, from, body);
	if (type == MSG_CLAIM_DONE)
		harness_claim_done(role, body);
}

static const struct role_ops harness_control_ops = {
	.role = ROLE_CONTROL,
	.message = harness_control_message,
};

/* ---- the harness ---- */

static void harness_answer_free(void *data)
{
	struct harness_answer *answer = data;

	if (answer)
		g_free(answer->body);
	g_free(answer);
}

static void harness_update_entries(struct harness *harness, uint64_t node_id,
				   const char *address, bool gone)
{
	for (uint32_t i = 0; i < harness->opts.nr_entries; i++) {
		const struct harness_entry *entry = &harness->entries[i];
		struct node *node = entry->machine ? sim_node(entry->machine) :
						     NULL;

		if (node)
			fake_site_agent(node, node_id, address, gone);
	}
}

void harness_boot_agent(struct harness *harness, uint32_t i)
{
	struct harness_agent *agent = &harness->agents[i];
	struct agent_opts opts = { 0 };
	struct node *node;

	node = sim_boot(agent->machine, 0);
	opts.host = &harness_agent_ops;
	opts.host_ctx = agent;
	agent->agent = agent_new(node, &opts);
	/* The upstream's calls ended with the old agent's connections. */
	agent->in_flight = 0;
	fake_site_bundle(node, harness->opts.route_policy);
	sim_start(agent->machine);
	harness_announce(agent);
	harness_update_entries(harness, node->self.node_id, agent->address,
			       false);
}

void harness_boot_entry(struct harness *harness, uint32_t i)
{
	struct harness_entry *entry = &harness->entries[i];
	struct entry_opts opts = { 0 };
	struct node *node = sim_boot(entry->machine, 0);

	opts.host = &harness_entry_ops;
	opts.host_ctx = entry;
	if (harness->control)
		opts.control_addresses = harness_control_addresses;
	entry->entry = entry_new(node, &opts);
	entry->nr_boots++;
	fake_site_bundle(node, harness->opts.route_policy);
	sim_start(entry->machine);
	for (uint32_t k = 0; k < harness->opts.nr_agents; k++) {
		const struct harness_agent *agent = &harness->agents[k];
		const struct node *peer =
			agent->machine ? sim_node(agent->machine) : NULL;

		if (peer)
			fake_site_agent(node, peer->self.node_id,
					agent->address, false);
	}
}

struct harness *harness_new(const struct harness_opts *opts)
{
	static const char *const zones[] = { "veraval", "porbandar",
					     "mangrol" };
	struct harness *harness = g_new0(struct harness, 1);

	harness->opts = *opts;
	if (!harness->opts.route_policy)
		harness->opts.route_policy = "";
	harness->sim = sim_new(opts->seed);
	harness->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						harness_claim_free);
	harness->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	harness->answers = g_ptr_array_new_with_free_func(harness_answer_free);
	harness->calls = g_ptr_array_new_with_free_func(g_free);
	if (opts->control) {
		harness->control =
			sim_add_machine(harness->sim, "control", "veraval",
					harness_control_addresses[0]);
		node_set_role(sim_boot(harness->control, 0),
			      &harness_control_ops, harness);
		sim_start(harness->control);
	}
	for (uint32_t i = 0; i < opts->nr_agents; i++) {
		struct harness_agent *agent = &harness->agents[i];

		agent->harness = harness;
		agent->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
		agent->slots = 8;
		agent->connections = 64;
		agent->slow_ppm = 1000000;
		g_snprintf(agent->address, sizeof(agent->address),
			   "10.0.1.%u:1", i + 1);
		TEXT_SET(agent->zone, zones[i % G_N_ELEMENTS(zones)]);
		agent->machine = sim_add_machine(harness->sim, "agent",
						 agent->zone, agent->address);
		harness_boot_agent(harness, i);
	}
	for (uint32_t i = 0; i < opts->nr_entries; i++) {
		harness->entries[i].harness = harness;
		harness->entries[i].machine =
			sim_add_machine(harness->sim, "entry", "veraval", "");
		harness_boot_entry(harness, i);
	}
	sim_run_ms(harness->sim, HARNESS_WARM_UP_MS);
	return harness;
}

void harness_free(struct harness *harness)
{
	sim_free(harness->sim);
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		g_hash_table_unref(harness->agents[i].calls);
	g_hash_table_unref(harness->claims);
	g_hash_table_unref(harness->runs);
	g_ptr_array_unref(harness->answers);
	g_ptr_array_unref(harness->calls);
	g_free(harness);
}

struct request harness_request(const char *path, bool repeatable,
			       const char *key, uint32_t deadline_ms)
{
	struct request request = { 0 };

	TEXT_SET(request.service, HARNESS_SERVICE);
	TEXT_SET(request.method, "POST");
	TEXT_SET(request.path, path);
	TEXT_SET(request.key, key);
	request.repeatable = repeatable;
	request.deadline_ms = deadline_ms;
	return request;
}

uint64_t harness_submit(struct harness *harness, uint32_t entry,
			const struct request *request)
{
	struct harness_answer *answer = g_new0(struct harness_answer, 1);
	uint64_t ticket = harness->answers->len;
	uint64_t now_us = sim_now_us(harness->sim);

	answer->submitted_us = now_us;
	g_ptr_array_add(harness->answers, answer);
	node_set_time(sim_node(harness->entries[entry].machine), now_us);
	entry_submit(harness->entries[entry].entry, ticket, request);
	return ticket;
}

const struct harness_answer *harness_answer(const struct harness *harness,
					    uint64_t ticket)
{
	return g_ptr_array_index(harness->answers, ticket);
}

bool harness_is_done(const struct harness *harness, uint64_t ticket,
		     const char *path)
{
	const struct harness_answer *answer = harness_answer(harness, ticket);
	char *text = g_strconcat("response to ", path, NULL);
	bool done = answer->nr == 1 && answer->run == RUN_DONE &&
		    answer->status == 200 && !g_strcmp0(answer->body, text);

	g_free(text);
	return done;
}

bool harness_is_refused(const struct harness *harness, uint64_t ticket,
			enum result result)
{
	const struct harness_answer *answer = harness_answer(harness, ticket);

	return answer->nr == 1 && answer->run == RUN_NOT_RUN &&
	       answer->result == result;
}

bool harness_is_idle(const struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_entries; i++) {
		const struct node *node = sim_node(harness->entries[i].machine);

		if (node && !node_idle(node))
			return false;
	}
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++) {
		const struct node *node = sim_node(harness->agents[i].machine);

		if (node && (!node_idle(node) || harness->agents[i].in_flight))
			return false;
	}
	return true;
}

uint32_t harness_runs(const struct harness *harness, const char *path)
{
	return (uint32_t)(uintptr_t)g_hash_table_lookup(harness->runs, path);
}

uint64_t harness_entry_counter(const struct harness *harness, const char *name)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < harness->opts.nr_entries; i++) {
		const struct node *node = sim_node(harness->entries[i].machine);

		if (node)
			sum += counter_get(node->counters, name);
	}
	return sum;
}
