#include "gateway.h"

#include <string.h>

#include "logline.h"
#include "site.h"

/* A client's workflow call, until it is answered. */
struct gateway_call {
	struct gateway *gateway;
	uint64_t ticket; /* identifies the call, also in messages */
	struct record message; /* MSG_FLOW_CALL */
	uint64_t began_us;
	uint64_t deadline_us;
	uint64_t leader; /* node_id the call was last sent to, 0: not sent */
	uint32_t nr_sent;
	uint32_t nr_open; /* sends that a leader may have carried out */
	bool abandoned; /* the caller has disconnected */
	struct timer timer; /* sends the call again or fails it */
};

struct gateway {
	struct node *node;
	struct gateway_opts opts;
	struct site *site;
	GHashTable *calls; /* uint64_t * (ticket) -> struct gateway_call * */
	uint64_t stop_us; /* all calls end by then, TIMER_NEVER: no limit */
	bool stopping;
};

static const char *gateway_kind_name(uint32_t kind)
{
	static const char *const names[] = { "none", "submit", "state",
					     "cancel" };

	return kind < G_N_ELEMENTS(names) ? names[kind] : "unknown";
}

static void gateway_call_free(void *data)
{
	struct gateway_call *call = data;

	timer_cancel(call->gateway->node->timers, &call->timer);
	record_unref(call->message);
	g_free(call);
}

static void gateway_log(const struct gateway_call *call,
			const struct flow_reply *reply)
{
	const struct flow_call *message = call->message.body;
	uint64_t took_us = call->gateway->node->now_us - call->began_us;
	GString *line = logline_new("call");

	logline_str(line, "kind", gateway_kind_name(message->kind));
	logline_str(line, "host", message->host);
	logline_str(line, "path", message->path);
	logline_id(line, "leader", call->leader);
	logline_u64(line, "sent", call->nr_sent);
	logline_u64(line, "took_ms", took_us / 1000);
	logline_str(line, "result", result_name(reply->result));
	if (reply->state)
		logline_str(line, "state", flow_state_name(reply->state));
	if (reply->retry_after_ms)
		logline_u64(line, "retry_after_ms", reply->retry_after_ms);
	node_log(call->gateway->node, line);
}

static void gateway_call_finish(struct gateway_call *call,
				const struct flow_reply *reply)
{
	const struct flow_call *message = call->message.body;
	struct gateway *gateway = call->gateway;
	struct node *node = gateway->node;
	uint64_t took_ms = (node->now_us - call->began_us) / 1000;

	counter_add(node->counters,
		    reply->result ? "calls_refused" : "calls_answered", 1);
	counter_inc_label(node->counters, "call_results", "result",
			  result_name(reply->result));
	counter_observe(node->counters, "call_ms", took_ms);
	if (message->kind == FLOW_CALL_SUBMIT)
		counter_observe(node->counters, "submit_ms", took_ms);
	counter_set(node->counters, "calls_open",
		    g_hash_table_size(gateway->calls) - 1);
	gateway_log(call, reply);
	if (!call->abandoned)
		gateway->opts.host->respond(gateway->opts.host_ctx,
					    call->ticket, reply);
	g_hash_table_remove(gateway->calls, &call->ticket);
}

static void gateway_call_fail(struct gateway_call *call)
{
	struct flow_reply reply = { .ticket = call->ticket };

	/* A replica that isn't the leader has not carried out the call. */
	reply.result = call->nr_open ? RESULT_OUTCOME_UNKNOWN :
				       RESULT_NO_QUORUM;
	gateway_call_finish(call, &reply);
}

/*
 * A submission isn't sent again once its caller has left: the caller may be
 * refused at another entry meanwhile, and a later leader, which doesn't know of
 * that, would accept the copy.
 */
static void gateway_call_send(struct gateway_call *call)
{
	const struct flow_call *message = call->message.body;
	struct gateway *gateway = call->gateway;
	uint64_t leader = site_leader(gateway->site);

	if (!leader || (call->abandoned && message->kind == FLOW_CALL_SUBMIT))
		return;
	call->leader = leader;
	call->nr_sent++;
	call->nr_open++;
	node_send(gateway->node, leader, MSG_FLOW_CALL, call->message.body);
}

/*
 * Returns the time at which the call fails without a reply. It is earlier while
 * no leader has the call: the call is then refused as not carried out, and the
 * caller can retry at once.
 */
static uint64_t gateway_call_deadline_us(const struct gateway_call *call)
{
	uint64_t wait_us = call->began_us + GATEWAY_LEADER_WAIT_MS * 1000ull;
	uint64_t limit_us = MIN(call->deadline_us, call->gateway->stop_us);

	return call->nr_open ? limit_us : MIN(limit_us, wait_us);
}

static void gateway_call_due(void *data, uint64_t now_us)
{
	struct gateway_call *call = data;
	struct node *node = call->gateway->node;
	uint64_t next_us = now_us + GATEWAY_REPEAT_MS * 1000ull;

	if (now_us >= gateway_call_deadline_us(call)) {
		gateway_call_fail(call);
		return;
	}
	gateway_call_send(call);
	timer_set(node->timers, &call->timer,
		  MIN(next_us, gateway_call_deadline_us(call)));
}

void gateway_call(struct gateway *gateway, const struct flow_call *message,
		  uint32_t timeout_ms)
{
	uint64_t now_us = gateway->node->now_us;
	struct flow_reply reply = { .ticket = message->ticket };
	struct gateway_call *call;

	if (g_hash_table_size(gateway->calls) >= GATEWAY_CALLS_MAX) {
		counter_add(gateway->node->counters, "calls_refused", 1);
		counter_inc_label(gateway->node->counters, "call_results",
				  "result", result_name(RESULT_OVERLOADED));
		reply.result = RESULT_OVERLOADED;
		gateway->opts.host->respond(gateway->opts.host_ctx,
					    message->ticket, &reply);
		return;
	}
	call = g_new0(struct gateway_call, 1);
	call->gateway = gateway;
	call->ticket = message->ticket;
	call->message.type = MSG_FLOW_CALL;
	call->message.body = schema_dup(MSG_FLOW_CALL, message);
	call->began_us = now_us;
	call->deadline_us =
		now_us +
		(uint64_t)(timeout_ms ? timeout_ms : GATEWAY_TIMEOUT_MS) *
			GATEWAY_REPLY_WAIT_PERCENT * 10;
	call->timer = (struct timer){ gateway_call_due, call };
	g_hash_table_insert(gateway->calls, &call->ticket, call);
	counter_inc_label(gateway->node->counters, "calls", "kind",
			  gateway_kind_name(message->kind));
	counter_set(gateway->node->counters, "calls_open",
		    g_hash_table_size(gateway->calls));
	gateway_call_due(call, now_us);
}

void gateway_abandon(struct gateway *gateway, uint64_t ticket)
{
	struct gateway_call *call =
		g_hash_table_lookup(gateway->calls, &ticket);

	if (call)
		call->abandoned = true;
}

void gateway_stop_within(struct gateway *gateway, uint32_t limit_ms)
{
	struct node *node = gateway->node;
	GHashTableIter iter;
	void *value;

	gateway->stop_us = node->now_us + limit_ms * 1000ull;
	g_hash_table_iter_init(&iter, gateway->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gateway_call *call = value;
		uint64_t due_us = node->now_us + GATEWAY_REPEAT_MS * 1000ull;

		timer_set(node->timers, &call->timer,
			  MIN(due_us, gateway_call_deadline_us(call)));
	}
}

bool gateway_ready(const struct gateway *gateway)
{
	return !gateway->stopping && site_leader(gateway->site) &&
	       site_bundle(gateway->site);
}

/* ---- the role ---- */

static void gateway_start(void *role)
{
	struct gateway *gateway = role;

	site_start(gateway->site);
}

static void gateway_peer_up(void *role, const struct link *link)
{
	struct gateway *gateway = role;

	site_peer_up(gateway->site, link);
}

static void gateway_peer_down(void *role, const struct link *link)
{
	struct gateway *gateway = role;

	site_peer_down(gateway->site, link);
}

/*
 * Returns true if the reply to one copy of the call answers the call. A refusal
 * doesn't while other copies are open: the leader may refuse a copy and carry
 * out another one, and a refused submission must never run. A query changes
 * nothing, so its first answer is good.
 */
static bool gateway_reply_is_final(const struct gateway_call *call,
				   enum result result)
{
	const struct flow_call *message = call->message.body;

	switch (result) {
	case RESULT_OK:
	case RESULT_UNKNOWN_OBJECT:
	case RESULT_OUTCOME_UNKNOWN:
		return true;
	case RESULT_NOT_LEADER:
	case RESULT_NO_QUORUM:
		/* The call is sent again once the new leader is known. */
		return false;
	default:
		return call->nr_open <= 1 || message->kind == FLOW_CALL_STATE;
	}
}

static void gateway_on_reply(struct gateway *gateway,
			     const struct flow_reply *reply)
{
	struct gateway_call *call =
		g_hash_table_lookup(gateway->calls, &reply->ticket);

	if (!call)
		return;
	if (gateway_reply_is_final(call, reply->result)) {
		gateway_call_finish(call, reply);
		return;
	}
	if (call->nr_open)
		call->nr_open--;
	if (gateway->node->now_us >= gateway_call_deadline_us(call))
		gateway_call_fail(call);
}

static void gateway_message(void *role, uint64_t from, uint32_t type,
			    const void *body)
{
	struct gateway *gateway = role;

	if (site_message(gateway->site, from, type, body))
		return;
	if (type == MSG_FLOW_REPLY)
		gateway_on_reply(gateway, body);
	else
		counter_add(gateway->node->counters, "messages_unknown", 1);
}

static void gateway_shutdown(void *role)
{
	struct gateway *gateway = role;

	gateway->stopping = true;
}

static bool gateway_idle(const void *role)
{
	const struct gateway *gateway = role;

	return !g_hash_table_size(gateway->calls);
}

static void gateway_free(void *role)
{
	struct gateway *gateway = role;

	g_hash_table_unref(gateway->calls);
	site_free(gateway->site);
	g_free(gateway);
}

static const struct role_ops gateway_role = {
	.role = ROLE_ENTRY,
	.start = gateway_start,
	.peer_up = gateway_peer_up,
	.peer_down = gateway_peer_down,
	.message = gateway_message,
	.shutdown = gateway_shutdown,
	.idle = gateway_idle,
	.free = gateway_free,
};

/* Sends all calls without a reply to the new leader. */
static void gateway_leader_changed(void *ctx, uint64_t node_id)
{
	struct gateway *gateway = ctx;
	GHashTableIter iter;
	void *value;

	if (!node_id)
		return;
	g_hash_table_iter_init(&iter, gateway->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		gateway_call_send(value);
}

static const struct site_ops gateway_site_ops = {
	.leader_changed = gateway_leader_changed,
};

struct gateway *gateway_new(struct node *node, const struct gateway_opts *opts)
{
	struct gateway *gateway = g_new0(struct gateway, 1);
	struct site_opts site_opts = {
		.ops = &gateway_site_ops,
		.ctx = gateway,
		.control_addresses = opts->control_addresses,
		.discover_controls = true,
	};

	gateway->node = node;
	gateway->opts = *opts;
	gateway->stop_us = TIMER_NEVER;
	gateway->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, gateway_call_free);
	gateway->site = site_new(node, &site_opts);
	node_set_role(node, &gateway_role, gateway);
	return gateway;
}

void gateway_add_controls(struct gateway *gateway, const char *const *addresses)
{
	site_add_controls(gateway->site, addresses);
}
