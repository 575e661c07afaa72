#include "reqbed.h"

#include <string.h>

#include "msg_control.h"
#include "schema.h"

#define BED_ANNOUNCE_US 1000000u

struct bed_call {
	struct bed_agent *agent;
	uint64_t agent_node; /* node_id of the agent that made the call */
	uint64_t call_nr;
	char path[PATH_BYTES];
	enum bed_mode mode;
	bool cancelled;
	bool done;
};

static const char *const bed_control_addresses[] = { "10.0.0.1:1", NULL };

/* ---- the upstream ---- */

static void bed_call_done(void *data)
{
	struct bed_call *call = data;
	struct bed_agent *agent = call->agent;
	struct upstream_result result = { 0 };
	char *body;

	if (call->done)
		return;
	call->done = true;
	if (call->mode != BED_REFUSE)
		agent->in_flight--;
	body = g_strconcat("response to ", call->path, NULL);
	result.connected = call->mode != BED_REFUSE;
	result.complete = !call->cancelled &&
			  (call->mode == BED_SERVE || call->mode == BED_FAIL);
	result.status = call->mode == BED_FAIL ? 500 : 200;
	TEXT_SET(result.content_type, "text/plain");
	result.body = g_bytes_new(body, strlen(body));
	agent_upstream_done(agent->agent, call->call_nr, &result);
	g_bytes_unref(result.body);
	g_free(body);
}

static uint64_t bed_service_us(struct bed_agent *agent)
{
	const struct bed_opts *opts = &agent->bed->opts;
	uint64_t spread_us =
		(uint64_t)opts->service_us * opts->spread_ppm / 1000000;
	uint64_t time_us = opts->service_us;

	if (spread_us)
		time_us += vhost_random(agent->bed->vhost) % (2 * spread_us) -
			   spread_us;
	return time_us * agent->slow_ppm / 1000000;
}

static void bed_upstream_call(void *ctx, uint64_t call_nr, const char *address,
			      const struct request *request)
{
	struct bed_agent *agent = ctx;
	struct bed *bed = agent->bed;
	struct bed_call *call = g_new0(struct bed_call, 1);
	uint64_t delay_us = 100;

	call->agent = agent;
	call->agent_node = vhost_node(agent->machine)->self.node_id;
	call->call_nr = call_nr;
	call->mode = agent->mode;
	TEXT_SET(call->path, request->path);
	g_ptr_array_add(bed->calls, call);
	g_hash_table_replace(agent->calls, &call->call_nr, call);
	agent->nr_calls++;
	if (call->mode != BED_REFUSE) {
		uintptr_t nr =
			(uintptr_t)g_hash_table_lookup(bed->runs, call->path);

		g_hash_table_insert(bed->runs, g_strdup(call->path),
				    (void *)(nr + 1));
		delay_us = bed_service_us(agent);
		agent->in_flight++;
		agent->max_in_flight =
			MAX(agent->max_in_flight, agent->in_flight);
	}
	vhost_after(agent->machine, delay_us, bed_call_done, call);
}

static void bed_upstream_cancel(void *ctx, uint64_t call_nr)
{
	struct bed_agent *agent = ctx;
	uint64_t node_id = vhost_node(agent->machine)->self.node_id;
	struct bed_call *call;

	call = g_hash_table_lookup(agent->calls, &call_nr);
	if (!call || call->done || call->agent_node != node_id)
		return;
	call->cancelled = true;
	agent->nr_cancelled++;
	vhost_after(agent->machine, 1, bed_call_done, call);
}

static const struct agent_host_ops bed_agent_ops = {
	.upstream_call = bed_upstream_call,
	.upstream_cancel = bed_upstream_cancel,
};

static void bed_announce(void *data)
{
	struct bed_agent *agent = data;
	struct platform_announce announce = { 0 };

	/* A call scheduled before a restart of the agent is dropped. */
	vhost_after(agent->machine, BED_ANNOUNCE_US, bed_announce, agent);
	if (agent->silent)
		return;
	TEXT_SET(announce.id, "executor");
	TEXT_SET(announce.service, BED_SERVICE);
	TEXT_SET(announce.address, "127.0.0.1:9");
	announce.slots = agent->slots;
	announce.connections = agent->connections;
	announce.leaving = agent->leaving;
	agent_announce(agent->agent, &announce);
}

/* ---- the caller ---- */

static void bed_respond(void *ctx, uint64_t ticket,
			const struct response *response)
{
	struct bed_entry *entry = ctx;
	struct bed_answer *answer =
		g_ptr_array_index(entry->bed->answers, ticket);
	gsize size = 0;
	const char *text = NULL;

	answer->nr++;
	answer->answered_us = vhost_now_us(entry->bed->vhost);
	answer->run = response->run;
	answer->result = response->result;
	answer->status = response->status;
	if (response->body)
		text = g_bytes_get_data(response->body, &size);
	g_free(answer->body);
	answer->body = text ? g_strndup(text, size) : NULL;
}

static const struct entry_host_ops bed_entry_ops = {
	.respond = bed_respond,
};

/* ---- control ---- */

static char *bed_claim_key(const struct claim_record *claim)
{
	return g_strconcat(claim->service, "/", claim->key, NULL);
}

static void bed_claim_free(void *data)
{
	record_unref((struct record){ REC_CLAIM, data });
}

static void bed_claim_query(struct bed *bed, uint64_t from,
			    const struct claim_query *query)
{
	char *key = bed_claim_key(&query->claim);
	struct claim_record *claim = g_hash_table_lookup(bed->claims, key);
	struct claim_reply reply = { .ticket = query->ticket };

	if (!claim || (claim->state == CLAIM_HELD &&
		       !strcmp(claim->digest, query->claim.digest) &&
		       query->claim.attempt == claim->attempt + 1)) {
		claim = schema_dup(REC_CLAIM, &query->claim);
		claim->state = CLAIM_HELD;
		g_hash_table_replace(bed->claims, g_strdup(key), claim);
		reply.result = RESULT_OK;
	} else if (strcmp(claim->digest, query->claim.digest) != 0) {
		reply.result = RESULT_CONFLICT;
	} else {
		reply.result = RESULT_IN_PROGRESS;
	}
	reply.claim = *claim;
	if (!bed->control_mute)
		node_send(vhost_node(bed->control), from, MSG_CLAIM_REPLY,
			  &reply);
	g_free(key);
}

static void bed_claim_done(struct bed *bed, const struct claim_done *done)
{
	char *key = bed_claim_key(&done->claim);
	struct claim_record *claim = g_hash_table_lookup(bed->claims, key);

	if (claim && claim->state == CLAIM_HELD) {
		claim = schema_dup(REC_CLAIM, &done->claim);
		claim->state = CLAIM_COMPLETE;
		g_hash_table_replace(bed->claims, g_strdup(key), claim);
	}
	g_free(key);
}

static void bed_control_message(void *role, uint64_t from, uint32_t type,
				const void *body)
{
	const struct bed *bed = role;

	if (bed->control_deaf)
		return;
	if (type == MSG_CLAIM_QUERY)
		bed_claim_query(role, from, body);
	if (type == MSG_CLAIM_DONE)
		bed_claim_done(role, body);
}

static const struct role_ops bed_control_ops = {
	.role = ROLE_CONTROL,
	.message = bed_control_message,
};

/* ---- the harness ---- */

static void bed_answer_free(void *data)
{
	struct bed_answer *answer = data;

	if (answer)
		g_free(answer->body);
	g_free(answer);
}

static void bed_tell_entries(struct bed *bed, uint64_t node_id,
			     const char *address, bool gone)
{
	for (uint32_t i = 0; i < bed->opts.nr_entries; i++) {
		const struct bed_entry *entry = &bed->entries[i];
		struct node *node =
			entry->machine ? vhost_node(entry->machine) : NULL;

		if (node)
			fake_site_agent(node, node_id, address, gone);
	}
}

void bed_boot_agent(struct bed *bed, uint32_t i)
{
	struct bed_agent *agent = &bed->agents[i];
	struct agent_opts opts = { 0 };
	struct node *node;

	node = vhost_boot(agent->machine, 0);
	opts.host = &bed_agent_ops;
	opts.host_ctx = agent;
	agent->agent = agent_new(node, &opts);
	/* The upstream's calls ended with the old agent's connections. */
	agent->in_flight = 0;
	fake_site_bundle(node, bed->opts.route_policy);
	vhost_start(agent->machine);
	bed_announce(agent);
	bed_tell_entries(bed, node->self.node_id, agent->address, false);
}

void bed_boot_entry(struct bed *bed, uint32_t i)
{
	struct bed_entry *entry = &bed->entries[i];
	struct entry_opts opts = { 0 };
	struct node *node = vhost_boot(entry->machine, 0);

	opts.host = &bed_entry_ops;
	opts.host_ctx = entry;
	if (bed->control)
		opts.control_addresses = bed_control_addresses;
	entry->entry = entry_new(node, &opts);
	entry->nr_boots++;
	fake_site_bundle(node, bed->opts.route_policy);
	vhost_start(entry->machine);
	for (uint32_t k = 0; k < bed->opts.nr_agents; k++) {
		const struct bed_agent *agent = &bed->agents[k];
		const struct node *peer =
			agent->machine ? vhost_node(agent->machine) : NULL;

		if (peer)
			fake_site_agent(node, peer->self.node_id,
					agent->address, false);
	}
}

struct bed *bed_new(const struct bed_opts *opts)
{
	static const char *const zones[] = { "veraval", "porbandar",
					     "mangrol" };
	struct bed *bed = g_new0(struct bed, 1);

	bed->opts = *opts;
	if (!bed->opts.route_policy)
		bed->opts.route_policy = "";
	bed->vhost = vhost_new(opts->seed);
	bed->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    bed_claim_free);
	bed->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bed->answers = g_ptr_array_new_with_free_func(bed_answer_free);
	bed->calls = g_ptr_array_new_with_free_func(g_free);
	if (opts->control) {
		bed->control = vhost_add(bed->vhost, "control", "veraval",
					 bed_control_addresses[0]);
		node_set_role(vhost_boot(bed->control, 0), &bed_control_ops,
			      bed);
		vhost_start(bed->control);
	}
	for (uint32_t i = 0; i < opts->nr_agents; i++) {
		struct bed_agent *agent = &bed->agents[i];

		agent->bed = bed;
		agent->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
		agent->slots = 8;
		agent->connections = 64;
		agent->slow_ppm = 1000000;
		g_snprintf(agent->address, sizeof(agent->address),
			   "10.0.1.%u:1", i + 1);
		TEXT_SET(agent->zone, zones[i % G_N_ELEMENTS(zones)]);
		agent->machine = vhost_add(bed->vhost, "agent", agent->zone,
					   agent->address);
		bed_boot_agent(bed, i);
	}
	for (uint32_t i = 0; i < opts->nr_entries; i++) {
		bed->entries[i].bed = bed;
		bed->entries[i].machine =
			vhost_add(bed->vhost, "entry", "veraval", "");
		bed_boot_entry(bed, i);
	}
	vhost_run_ms(bed->vhost, BED_WARM_UP_MS);
	return bed;
}

void bed_free(struct bed *bed)
{
	vhost_free(bed->vhost);
	for (uint32_t i = 0; i < bed->opts.nr_agents; i++)
		g_hash_table_unref(bed->agents[i].calls);
	g_hash_table_unref(bed->claims);
	g_hash_table_unref(bed->runs);
	g_ptr_array_unref(bed->answers);
	g_ptr_array_unref(bed->calls);
	g_free(bed);
}

struct request bed_request(const char *path, bool repeatable, const char *key,
			   uint32_t deadline_ms)
{
	struct request request = { 0 };

	TEXT_SET(request.service, BED_SERVICE);
	TEXT_SET(request.method, "POST");
	TEXT_SET(request.path, path);
	TEXT_SET(request.key, key);
	request.repeatable = repeatable;
	request.deadline_ms = deadline_ms;
	return request;
}

uint64_t bed_submit(struct bed *bed, uint32_t entry,
		    const struct request *request)
{
	struct bed_answer *answer = g_new0(struct bed_answer, 1);
	uint64_t ticket = bed->answers->len;
	uint64_t now_us = vhost_now_us(bed->vhost);

	answer->submitted_us = now_us;
	g_ptr_array_add(bed->answers, answer);
	node_set_time(vhost_node(bed->entries[entry].machine), now_us);
	entry_submit(bed->entries[entry].entry, ticket, request);
	return ticket;
}

const struct bed_answer *bed_answer(const struct bed *bed, uint64_t ticket)
{
	return g_ptr_array_index(bed->answers, ticket);
}

bool bed_is_done(const struct bed *bed, uint64_t ticket, const char *path)
{
	const struct bed_answer *answer = bed_answer(bed, ticket);
	char *text = g_strconcat("response to ", path, NULL);
	bool done = answer->nr == 1 && answer->run == RUN_DONE &&
		    answer->status == 200 && !g_strcmp0(answer->body, text);

	g_free(text);
	return done;
}

bool bed_is_refused(const struct bed *bed, uint64_t ticket, enum result result)
{
	const struct bed_answer *answer = bed_answer(bed, ticket);

	return answer->nr == 1 && answer->run == RUN_NOT_RUN &&
	       answer->result == result;
}

bool bed_is_idle(const struct bed *bed)
{
	for (uint32_t i = 0; i < bed->opts.nr_entries; i++) {
		const struct node *node = vhost_node(bed->entries[i].machine);

		if (node && !node_idle(node))
			return false;
	}
	for (uint32_t i = 0; i < bed->opts.nr_agents; i++) {
		const struct node *node = vhost_node(bed->agents[i].machine);

		if (node && (!node_idle(node) || bed->agents[i].in_flight))
			return false;
	}
	return true;
}

uint32_t bed_runs(const struct bed *bed, const char *path)
{
	return (uint32_t)(uintptr_t)g_hash_table_lookup(bed->runs, path);
}

uint64_t bed_entry_counter(const struct bed *bed, const char *name)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < bed->opts.nr_entries; i++) {
		const struct node *node = vhost_node(bed->entries[i].machine);

		if (node)
			sum += counter_get(node->counters, name);
	}
	return sum;
}
