#include "intake.h"

#include <string.h>

#include "logline.h"
#include "site.h"

/* A caller's request, until it is answered. */
struct intake_call {
	struct intake *intake;
	uint64_t ticket; /* of the caller and of the message */
	struct record message; /* MSG_FLOW_CALL */
	uint64_t began_us;
	uint64_t deadline_us;
	uint64_t leader; /* node_id it was last sent to, 0: not sent */
	uint32_t nr_sent;
	uint32_t nr_open; /* sends without a "not the leader" reply */
	bool abandoned; /* the caller has disconnected */
	struct timer timer; /* sends the call again or fails it */
};

struct intake {
	struct node *node;
	struct intake_opts opts;
	struct site *site;
	GHashTable *calls; /* uint64_t * (ticket) -> struct gateway_call * */
	uint64_t stop_us; /* no call waits longer, TIMER_NEVER: no limit */
	bool stopping;
};

static const char *intake_kind_name(uint32_t kind)
{
	static const char *const names[] = { "none", "submit", "state",
					     "cancel" };

	return kind < G_N_ELEMENTS(names) ? names[kind] : "unknown";
}

static void intake_call_free(void *data)
{
	struct intake_call *call = data;

	timer_cancel(call->intake->node->timers, &call->timer);
	record_unref(call->message);
	g_free(call);
}

static void intake_log(const struct intake_call *call,
		       const struct flow_reply *reply)
{
	const struct flow_call *message = call->message.body;
	uint64_t took_us = call->intake->node->now_us - call->began_us;
	GString *line = logline_new("call");

	logline_str(line, "kind", intake_kind_name(message->kind));
	logline_str(line, "host", message->host);
	logline_str(line, "path", message->path);
	logline_id(line, "leader", call->leader);
	logline_u64(line, "sent", call->nr_sent);
	logline_u64(line, "took_ms", took_us / 1000);
	logline_str(line, "result", result_name(reply->result));
	if (reply->state)
		logline_str(line, "state", flow_state_name(reply->state));
	node_log(call->intake->node, line);
}

static void intake_finish(struct intake_call *call,
			  const struct flow_reply *reply)
{
	const struct flow_call *message = call->message.body;
	struct intake *intake = call->intake;
	struct node *node = intake->node;
	uint64_t took_ms = (node->now_us - call->began_us) / 1000;

	counter_add(node->counters,
		    reply->result ? "calls_refused" : "calls_answered", 1);
	counter_count(node->counters, "call_results", "result",
		      result_name(reply->result));
	counter_observe(node->counters, "call_ms", took_ms);
	if (message->kind == FLOW_CALL_SUBMIT)
		counter_observe(node->counters, "submit_ms", took_ms);
	counter_set(node->counters, "calls_open",
		    g_hash_table_size(intake->calls) - 1);
	intake_log(call, reply);
	if (!call->abandoned)
		intake->opts.host->respond(intake->opts.host_ctx, call->ticket,
					   reply);
	g_hash_table_remove(intake->calls, &call->ticket);
}

static void intake_give_up(struct intake_call *call)
{
	struct flow_reply reply = { .ticket = call->ticket };

	/* A replica that isn't the leader has not carried out the call. */
	reply.result = call->nr_open ? RESULT_OUTCOME_UNKNOWN :
				       RESULT_NO_QUORUM;
	intake_finish(call, &reply);
}

static void intake_send(struct intake_call *call)
{
	struct intake *intake = call->intake;
	uint64_t leader = site_leader(intake->site);

	if (!leader)
		return;
	call->leader = leader;
	call->nr_sent++;
	call->nr_open++;
	node_send(intake->node, leader, MSG_FLOW_CALL, call->message.body);
}

/*
 * Returns when the call is given up. The limit is shorter while no leader has
 * the call, as the caller can retry at once after a refusal.
 */
static uint64_t intake_limit_us(const struct intake_call *call)
{
	uint64_t wait_us = call->began_us + INTAKE_LEADER_WAIT_MS * 1000ull;
	uint64_t limit_us = MIN(call->deadline_us, call->intake->stop_us);

	return call->nr_open ? limit_us : MIN(limit_us, wait_us);
}

static void intake_due(void *data, uint64_t now_us)
{
	struct intake_call *call = data;
	struct node *node = call->intake->node;
	uint64_t next_us = now_us + INTAKE_REPEAT_MS * 1000ull;

	if (now_us >= intake_limit_us(call)) {
		intake_give_up(call);
		return;
	}
	intake_send(call);
	timer_set(node->timers, &call->timer,
		  MIN(next_us, intake_limit_us(call)));
}

void intake_call(struct intake *intake, const struct flow_call *message,
		 uint32_t timeout_ms)
{
	uint64_t now_us = intake->node->now_us;
	struct flow_reply reply = { .ticket = message->ticket };
	struct intake_call *call;

	if (g_hash_table_size(intake->calls) >= INTAKE_CALLS_MAX) {
		counter_add(intake->node->counters, "calls_refused", 1);
		counter_count(intake->node->counters, "call_results", "result",
			      result_name(RESULT_OVERLOADED));
		reply.result = RESULT_OVERLOADED;
		intake->opts.host->respond(intake->opts.host_ctx,
					   message->ticket, &reply);
		return;
	}
	call = g_new0(struct intake_call, 1);
	call->intake = intake;
	call->ticket = message->ticket;
	call->message.type = MSG_FLOW_CALL;
	call->message.body = schema_dup(MSG_FLOW_CALL, message);
	call->began_us = now_us;
	call->deadline_us =
		now_us +
		(uint64_t)(timeout_ms ? timeout_ms : INTAKE_TIMEOUT_MS) *
			INTAKE_HOLD_PERCENT * 10;
	call->timer = (struct timer){ intake_due, call };
	g_hash_table_insert(intake->calls, &call->ticket, call);
	counter_count(intake->node->counters, "calls", "kind",
		      intake_kind_name(message->kind));
	counter_set(intake->node->counters, "calls_open",
		    g_hash_table_size(intake->calls));
	intake_due(call, now_us);
}

void intake_abandon(struct intake *intake, uint64_t ticket)
{
	struct intake_call *call = g_hash_table_lookup(intake->calls, &ticket);

	if (call)
		call->abandoned = true;
}

void intake_stop_within(struct intake *intake, uint32_t limit_ms)
{
	struct node *node = intake->node;
	GHashTableIter iter;
	void *value;

	intake->stop_us = node->now_us + limit_ms * 1000ull;
	g_hash_table_iter_init(&iter, intake->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct intake_call *call = value;
		uint64_t due_us = node->now_us + INTAKE_REPEAT_MS * 1000ull;

		timer_set(node->timers, &call->timer,
			  MIN(due_us, intake_limit_us(call)));
	}
}

bool intake_ready(const struct intake *intake)
{
	return !intake->stopping && site_leader(intake->site) &&
	       site_bundle(intake->site);
}

/* ---- the role ---- */

static void intake_start(void *role)
{
	struct intake *intake = role;

	site_start(intake->site);
}

static void intake_peer_up(void *role, const struct link *link)
{
	struct intake *intake = role;

	site_peer_up(intake->site, link);
}

static void intake_peer_down(void *role, const struct link *link)
{
	struct intake *intake = role;

	site_peer_down(intake->site, link);
}

static void intake_on_reply(struct intake *intake,
			    const struct flow_reply *reply)
{
	struct intake_call *call =
		g_hash_table_lookup(intake->calls, &reply->ticket);

	if (!call)
		return;
	/* Another replica leads; the call is sent to it once it is known. */
	if (reply->result != RESULT_NOT_LEADER &&
	    reply->result != RESULT_NO_QUORUM) {
		intake_finish(call, reply);
		return;
	}
	if (call->nr_open)
		call->nr_open--;
	if (intake->node->now_us >= intake_limit_us(call))
		intake_give_up(call);
}

static void intake_message(void *role, uint64_t from, uint32_t type,
			   const void *body)
{
	struct intake *intake = role;

	if (site_message(intake->site, from, type, body))
		return;
	if (type == MSG_FLOW_REPLY)
		intake_on_reply(intake, body);
	else
		counter_add(intake->node->counters, "messages_unknown", 1);
}

static void intake_shutdown(void *role)
{
	struct intake *intake = role;

	intake->stopping = true;
}

static bool intake_idle(const void *role)
{
	const struct intake *intake = role;

	return !g_hash_table_size(intake->calls);
}

static void intake_free(void *role)
{
	struct intake *intake = role;

	g_hash_table_unref(intake->calls);
	site_free(intake->site);
	g_free(intake);
}

static const struct role_ops intake_role = {
	.role = ROLE_ENTRY,
	.start = intake_start,
	.peer_up = intake_peer_up,
	.peer_down = intake_peer_down,
	.message = intake_message,
	.shutdown = intake_shutdown,
	.idle = intake_idle,
	.free = intake_free,
};

/* Sends all calls without a reply to the new leader. */
static void intake_leader_changed(void *ctx, uint64_t node_id)
{
	struct intake *intake = ctx;
	GHashTableIter iter;
	void *value;

	if (!node_id)
		return;
	g_hash_table_iter_init(&iter, intake->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		intake_send(value);
}

static const struct site_ops intake_site_ops = {
	.leader_changed = intake_leader_changed,
};

struct intake *intake_new(struct node *node, const struct intake_opts *opts)
{
	struct intake *intake = g_new0(struct intake, 1);
	struct site_opts site_opts = {
		.ops = &intake_site_ops,
		.ctx = intake,
		.control_addresses = opts->control_addresses,
		.asks = true,
	};

	intake->node = node;
	intake->opts = *opts;
	intake->stop_us = TIMER_NEVER;
	intake->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      intake_call_free);
	intake->site = site_new(node, &site_opts);
	node_set_role(node, &intake_role, intake);
	return intake;
}

void intake_add_controls(struct intake *intake, const char *const *addresses)
{
	site_add_controls(intake->site, addresses);
}
