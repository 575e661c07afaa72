#include "node.h"

#include <string.h>

#include "msg_control.h"
#include "tunables.h"
#include "logline.h"

/* An address to which this process keeps a connection. */
struct node_dial {
	char address[ADDRESS_BYTES];
	struct node *node;
	struct timer retry;
	uint32_t backoff_ms;
	uint64_t node_id; /* of the peer, 0: not known yet */
	bool pending; /* the host is connecting */
};

static void node_dial_free(void *data)
{
	struct node_dial *dial = data;

	timer_cancel(dial->node->timers, &dial->retry);
	g_free(dial);
}

static void node_dial_now(struct node_dial *dial)
{
	if (dial->pending)
		return;
	dial->pending = true;
	dial->node->host->dial(dial->node->host_ctx, dial->address);
}

static void node_dial_retry(void *data, uint64_t now_us)
{
	(void)now_us;
	node_dial_now(data);
}

static void node_dial_backoff(struct node_dial *dial)
{
	struct node *node = dial->node;
	uint32_t jitter_ms;

	if (!dial->backoff_ms)
		dial->backoff_ms = LINK_REDIAL_MIN_MS;
	jitter_ms = (uint32_t)node_random_below(node, dial->backoff_ms / 2 + 1);
	node_timer_ms(node, &dial->retry, dial->backoff_ms + jitter_ms);
	dial->backoff_ms = MIN(dial->backoff_ms * 2, LINK_REDIAL_MAX_MS);
}

static struct node_dial *node_find_dial(struct node *node, uint64_t node_id)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->dials);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct node_dial *dial = value;

		if (dial->node_id == node_id)
			return dial;
	}
	return NULL;
}

static struct link *node_find_link(const struct node *node, uint64_t node_id)
{
	return g_hash_table_lookup(node->links, &node_id);
}

static void node_log_link(struct node *node, const char *event,
			  const struct link *link)
{
	GString *line = logline_new(event);

	logline_id(line, "peer", link->peer.node_id);
	logline_str(line, "vm", link->peer.name);
	logline_u64(line, "role", link->peer.role);
	node_log(node, line);
}

/* Marks the link as silent and dials a connection that replaces it. */
static void node_link_silent(struct node *node, struct link *link)
{
	struct node_dial *dial = node_find_dial(node, link->peer.node_id);

	if (!link->silent) {
		link->silent = true;
		counter_add(node->counters, "links_silent", 1);
		node_log_link(node, "link-silent", link);
	}
	if (dial && !timer_armed(&dial->retry))
		node_dial_now(dial);
}

/* Only the dialling side sends pings, as only it can reconnect. */
static void node_ping_link(struct node *node, struct link *link)
{
	struct ping ping;

	if (!link->dialled || link->ping_due_us > node->now_us)
		return;
	link_next_ping(link, &ping, node->now_us);
	node_send(node, link->peer.node_id, MSG_PING, &ping);
	if (link_is_silent(link))
		node_link_silent(node, link);
}

/*
 * Returns true if the dialling side's pings, which arrive at a fixed interval,
 * have stopped. Only the side that accepted the connection checks this.
 */
static bool node_link_is_dead(const struct link *link, uint64_t now_us)
{
	return !link->dialled &&
	       now_us - link->heard_us > LINK_ACCEPTED_TIMEOUT_MS * 1000ull;
}

static void node_ping_links(void *data, uint64_t now_us)
{
	struct node *node = data;
	GHashTableIter iter;
	void *value;
	uint64_t dead = 0;
	bool any = false;

	g_hash_table_iter_init(&iter, node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct link *link = value;

		if (!link->up)
			continue;
		any = true;
		node_ping_link(node, link);
		if (node_link_is_dead(link, now_us))
			dead = link->peer.node_id;
	}
	if (dead) {
		/*
		 * Closing removes the link, which the loop above doesn't allow.
		 * Other dead links are closed at the next intervals.
		 */
		node->host->close_peer(node->host_ctx, dead);
		node_peer_down(node, dead, now_us);
	}
	if (any)
		node_timer_ms(node, &node->ping_timer, LINK_PING_INTERVAL_MS);
}

struct node *node_new(const struct node_opts *opts)
{
	struct node *node = g_new0(struct node, 1);

	g_assert(opts->node_id);
	node->host = opts->host;
	node->host_ctx = opts->host_ctx;
	node->now_us = opts->now_us;
	node->self.protocol_version = PROTOCOL_VERSION;
	node->self.node_id = opts->node_id;
	TEXT_SET(node->self.name, opts->name);
	TEXT_SET(node->self.zone, opts->zone);
	TEXT_SET(node->self.address, opts->address);
	node->timers = timers_new();
	node->counters = counters_new();
	node->links = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	node->dials = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    node_dial_free);
	node->ping_timer.fn = node_ping_links;
	node->ping_timer.data = node;
	return node;
}

void node_set_id(struct node *node, uint64_t node_id)
{
	g_assert(!node->ops && node_id);
	node->self.node_id = node_id;
}

void node_free(struct node *node)
{
	if (!node)
		return;
	if (node->ops && node->ops->free)
		node->ops->free(node->role);
	g_hash_table_unref(node->dials);
	g_hash_table_unref(node->links);
	counters_free(node->counters);
	timers_free(node->timers);
	g_free(node);
}

void node_set_role(struct node *node, const struct role_ops *ops, void *role)
{
	g_assert(!node->ops);
	node->ops = ops;
	node->role = role;
	node->self.role = ops->role;
}

void node_start(struct node *node, uint64_t now_us)
{
	node->now_us = now_us;
	if (node->ops->start)
		node->ops->start(node->role);
}

void node_peer_down(struct node *node, uint64_t node_id, uint64_t now_us)
{
	struct link *link = node_find_link(node, node_id);
	struct node_dial *dial = node_find_dial(node, node_id);

	node->now_us = now_us;
	if (!link || !link->up)
		return;
	link->up = false;
	node_log_link(node, "link-down", link);
	if (dial && !dial->pending)
		node_dial_backoff(dial);
	if (node->ops->peer_down)
		node->ops->peer_down(node->role, link);
	/* A restarted peer has another node_id and gets a new link. */
	g_hash_table_remove(node->links, &node_id);
}

/*
 * Records that a dial succeeded, and closes the link to an earlier process at
 * the address.
 */
static void node_dial_connected(struct node *node, struct node_dial *dial,
				uint64_t node_id)
{
	uint64_t old_id = dial->node_id;

	dial->pending = false;
	dial->backoff_ms = 0;
	dial->node_id = node_id;
	if (old_id && old_id != node_id && node_find_link(node, old_id)) {
		node->host->close_peer(node->host_ctx, old_id);
		node_peer_down(node, old_id, node->now_us);
	}
}

void node_peer_up(struct node *node, const struct hello *peer,
		  const char *dialled, uint64_t now_us)
{
	struct link *link = node_find_link(node, peer->node_id);
	struct node_dial *dial = NULL;
	bool replaced = link && link->up;

	node->now_us = now_us;
	if (dialled)
		dial = g_hash_table_lookup(node->dials, dialled);
	if (dial)
		node_dial_connected(node, dial, peer->node_id);
	if (!link) {
		link = g_new0(struct link, 1);
		g_hash_table_insert(node->links,
				    g_memdup2(&peer->node_id, sizeof(uint64_t)),
				    link);
	}
	link->peer = *peer;
	link->dialled = dialled != NULL;
	link->up = true;
	link_reset(link, now_us);
	if (!timer_armed(&node->ping_timer))
		node_timer_ms(node, &node->ping_timer, 0);
	node_log_link(node, replaced ? "link-replaced" : "link-up", link);
	if (!replaced && node->ops->peer_up)
		node->ops->peer_up(node->role, link);
	if (replaced && node->ops->link_replaced)
		node->ops->link_replaced(node->role, link);
}

void node_dial_failed(struct node *node, const char *address, uint64_t now_us)
{
	struct node_dial *dial = g_hash_table_lookup(node->dials, address);

	node->now_us = now_us;
	if (!dial)
		return;
	dial->pending = false;
	node_dial_backoff(dial);
}

void node_message(struct node *node, uint64_t from, uint32_t type,
		  const void *body, uint64_t now_us)
{
	struct link *link = node_find_link(node, from);
	const struct ping *ping = body;
	struct pong pong;

	node->now_us = now_us;
	if (!link)
		return;
	link_received(link, now_us);
	switch (type) {
	case MSG_PING:
		pong.seq = ping->seq;
		pong.sent_us = ping->sent_us;
		node_send(node, from, MSG_PONG, &pong);
		break;
	case MSG_PONG:
		link_pong(link, body, now_us);
		break;
	default:
		if (node->ops->message)
			node->ops->message(node->role, from, type, body);
	}
}

void node_run_timers(struct node *node, uint64_t now_us)
{
	node->now_us = now_us;
	timers_run(node->timers, now_us);
}

uint64_t node_next_us(const struct node *node)
{
	return timers_next_us(node->timers);
}

void node_shutdown(struct node *node, uint64_t now_us)
{
	node->now_us = now_us;
	if (node->stopping)
		return;
	node->stopping = true;
	if (node->ops->shutdown)
		node->ops->shutdown(node->role);
}

bool node_idle(const struct node *node)
{
	return !node->ops->idle || node->ops->idle(node->role);
}

void node_set_time(struct node *node, uint64_t now_us)
{
	node->now_us = now_us;
}

void node_dial(struct node *node, const char *address)
{
	struct node_dial *dial = g_hash_table_lookup(node->dials, address);

	if (dial)
		return;
	dial = g_new0(struct node_dial, 1);
	TEXT_SET(dial->address, address);
	dial->node = node;
	dial->retry.fn = node_dial_retry;
	dial->retry.data = dial;
	g_hash_table_insert(node->dials, dial->address, dial);
	node_dial_now(dial);
}

void node_stop_dial(struct node *node, const char *address)
{
	struct node_dial *dial = g_hash_table_lookup(node->dials, address);
	uint64_t node_id;

	if (!dial)
		return;
	node_id = dial->node_id;
	g_hash_table_remove(node->dials, address);
	if (node_id && node_find_link(node, node_id)) {
		node->host->close_peer(node->host_ctx, node_id);
		node_peer_down(node, node_id, node->now_us);
	}
}

void node_send(struct node *node, uint64_t to, uint32_t type, const void *body)
{
	node->host->send(node->host_ctx, to, type, body);
}

void node_discover_controls(struct node *node)
{
	struct peers question = { 0 };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->up && link->peer.role != ROLE_CONTROL)
			node_send(node, link->peer.node_id, MSG_PEERS,
				  &question);
	}
}

const struct link *node_link(const struct node *node, uint64_t node_id)
{
	return node_find_link(node, node_id);
}

uint64_t node_random(struct node *node)
{
	return node->host->random_u64(node->host_ctx);
}

uint64_t node_random_below(struct node *node, uint64_t bound)
{
	return node_random(node) % bound;
}

void node_log(struct node *node, GString *line)
{
	node->host->log_line(node->host_ctx, line->str);
	g_string_free(line, TRUE);
}

void node_timer_ms(struct node *node, struct timer *timer, uint64_t delay_ms)
{
	timer_set(node->timers, timer, node->now_us + delay_ms * 1000);
}
