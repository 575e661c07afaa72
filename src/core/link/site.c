#include "site.h"

#include <string.h>

#include "logline.h"
#include "schema.h"
#include "schema_tables.h"
#include "site_dial.h"

struct site {
	struct node *node;
	struct site_opts opts;
	struct site_dial *dials;
	struct timer query_timer;
	uint64_t leader; /* node_id, 0 if none is known */
	uint64_t changed_us; /* last change of the leader */
	uint64_t term; /* of the newest view */
	uint64_t view_version; /* of the agents, within the term */
	struct bundle *bundle; /* NULL before the first one */
	GHashTable *zones; /* name -> struct zone_record * */
	GHashTable *agents; /* node_id -> struct view_agent * */
};

static void site_query(struct site *site, uint64_t node_id)
{
	struct view_query query = { 0 };

	query.term = site->term;
	query.view_version = site->view_version;
	query.bundle_version = site->bundle ? site->bundle->version : 0;
	node_send(site->node, node_id, MSG_VIEW_QUERY, &query);
}

/*
 * Queries all connected control replicas for the view, more often while no
 * leader is known. If all configured addresses belong to agents, a starting
 * process reaches no control replica; it then queries the connected processes
 * for the control addresses.
 */
static void site_query_all(void *data, uint64_t now_us)
{
	struct site *site = data;
	GHashTableIter iter;
	void *value;

	node_timer_ms(site->node, &site->query_timer,
		      site->leader ? VIEW_QUERY_INTERVAL_MS :
				     REPORT_INTERVAL_MS);
	g_hash_table_iter_init(&iter, site->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->peer.role == ROLE_CONTROL && link->up)
			site_query(site, link->peer.node_id);
	}
	if (site->opts.discover_controls && !site->leader)
		node_discover_controls(site->node);
}

static void site_set_leader(struct site *site, uint64_t node_id)
{
	uint64_t since_ms = (site->node->now_us - site->changed_us) / 1000;
	bool lost = !node_id;
	bool found = !site->leader;
	GString *line;

	if (site->leader == node_id)
		return;
	line = logline_new(lost ? "leader-lost" : "leader");
	logline_id(line, "leader", lost ? site->leader : node_id);
	logline_u64(line, "term", site->term);
	logline_u64(line, found ? "away_ms" : "known_ms", since_ms);
	node_log(site->node, line);
	if (lost)
		counter_add(site->node->counters, "leaders_lost", 1);
	else if (found)
		counter_observe(site->node->counters, "leader_away_ms",
				since_ms);
	site->leader = node_id;
	site->changed_us = site->node->now_us;
	if (site->opts.ops->leader_changed)
		site->opts.ops->leader_changed(site->opts.ctx, node_id);
}

static void site_apply_bundle(struct site *site, const struct bundle *bundle)
{
	GString *line;

	if (site->bundle && bundle->version <= site->bundle->version)
		return;
	if (site->bundle)
		schema_clear(&bundle_schema, site->bundle);
	else
		site->bundle = g_new0(struct bundle, 1);
	schema_copy(&bundle_schema, site->bundle, bundle);
	line = logline_new("bundle");
	logline_u64(line, "version", bundle->version);
	logline_str(line, "digest", bundle->digest);
	node_log(site->node, line);
	counter_set(site->node->counters, "bundle_version", bundle->version);
	if (site->opts.ops->bundle_changed)
		site->opts.ops->bundle_changed(site->opts.ctx, site->bundle);
	if (site->leader)
		site_query(site, site->leader);
}

static void site_apply_zone(struct site *site, const struct zone_record *zone)
{
	struct zone_record *known =
		g_hash_table_lookup(site->zones, zone->name);

	if (known && zone->version <= known->version)
		return;
	known = g_memdup2(zone, sizeof(*zone));
	g_hash_table_replace(site->zones, known->name, known);
	if (site->opts.ops->zone_changed)
		site->opts.ops->zone_changed(site->opts.ctx, known);
}

static void site_remove_agent(struct site *site, uint64_t node_id)
{
	struct view_agent *known = g_hash_table_lookup(site->agents, &node_id);
	struct view_agent gone;

	if (!known)
		return;
	gone = *known;
	gone.gone = true;
	g_hash_table_remove(site->agents, &node_id);
	if (site->opts.ops->agent_changed)
		site->opts.ops->agent_changed(site->opts.ctx, &gone);
}

static bool site_same_agent(const struct view_agent *a,
			    const struct view_agent *b)
{
	return a->node_id == b->node_id && !strcmp(a->vm, b->vm) &&
	       !strcmp(a->zone, b->zone) && !strcmp(a->address, b->address);
}

static void site_apply_agent(struct site *site, const struct view_agent *agent)
{
	struct view_agent *known =
		g_hash_table_lookup(site->agents, &agent->node_id);

	if (agent->gone) {
		site_remove_agent(site, agent->node_id);
		return;
	}
	if (known && site_same_agent(known, agent))
		return;
	known = g_memdup2(agent, sizeof(*agent));
	g_hash_table_replace(site->agents, &known->node_id, known);
	if (site->opts.ops->agent_changed)
		site->opts.ops->agent_changed(site->opts.ctx, known);
}

/* Removes the agents that a complete view doesn't list. */
static void site_remove_absent_agents(struct site *site,
				      const struct view *view)
{
	GHashTable *named = g_hash_table_new(g_int64_hash, g_int64_equal);
	GArray *absent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	void *key;

	for (uint32_t i = 0; i < view->nr_agents; i++)
		g_hash_table_add(named, &view->agents[i].node_id);
	g_hash_table_iter_init(&iter, site->agents);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(named, key))
			g_array_append_val(absent, *(uint64_t *)key);
	for (uint32_t i = 0; i < absent->len; i++)
		site_remove_agent(site, g_array_index(absent, uint64_t, i));
	g_array_unref(absent);
	g_hash_table_unref(named);
}

static void site_apply_view(struct site *site, uint64_t from,
			    const struct view *view)
{
	bool newer_term = view->term > site->term;

	if (view->term < site->term) {
		counter_add(site->node->counters, "views_refused", 1);
		return;
	}
	if (newer_term) {
		site->term = view->term;
		site->view_version = 0;
	}
	/* Bundles and zones are compared by their own versions. */
	for (uint32_t i = 0; i < view->nr_bundles; i++)
		site_apply_bundle(site, &view->bundles[i]);
	for (uint32_t i = 0; i < view->nr_zones; i++)
		site_apply_zone(site, &view->zones[i]);
	if (view->whole ?
		    newer_term || view->view_version >= site->view_version :
		    view->base_version == site->view_version) {
		for (uint32_t i = 0; i < view->nr_agents; i++)
			site_apply_agent(site, &view->agents[i]);
		if (view->whole)
			site_remove_absent_agents(site, view);
		site->view_version = view->view_version;
	} else if (view->view_version > site->view_version) {
		/* An earlier incremental view was lost. */
		counter_add(site->node->counters, "views_incomplete", 1);
		site_query(site, from);
	}
	site_set_leader(site, from);
}

/* Lists the connected control replicas; returns false if there are none. */
static bool site_list_controls(const struct site *site, struct peers *peers)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, site->node->links);
	while (peers->nr_addresses < SITE_CONTROLS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (!link->up || link->peer.role != ROLE_CONTROL)
			continue;
		TEXT_SET(peers->addresses[peers->nr_addresses].address,
			 link->peer.address);
		peers->nr_addresses++;
	}
	return peers->nr_addresses > 0;
}

/* Dials the listed addresses, or answers a query, which has an empty list. */
static void site_handle_peers(struct site *site, uint64_t from,
			      const struct peers *peers)
{
	struct peer_address addresses[SITE_CONTROLS_MAX] = { 0 };
	struct peers known = { 0, addresses };

	for (uint32_t i = 0; i < peers->nr_addresses; i++)
		site_dial_add(site->dials, peers->addresses[i].address);
	if (!peers->nr_addresses && site_list_controls(site, &known))
		node_send(site->node, from, MSG_PEERS, &known);
}

void site_add_controls(struct site *site, const char *const *addresses)
{
	for (uint32_t i = 0; addresses[i]; i++)
		site_dial_add(site->dials, addresses[i]);
}

struct site *site_new(struct node *node, const struct site_opts *opts)
{
	struct site *site = g_new0(struct site, 1);

	site->node = node;
	site->opts = *opts;
	site->changed_us = node->now_us;
	site->dials = site_dial_new(node);
	site->query_timer.fn = site_query_all;
	site->query_timer.data = site;
	site->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	site->agents = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	return site;
}

void site_free(struct site *site)
{
	if (!site)
		return;
	timer_cancel(site->node->timers, &site->query_timer);
	site_dial_free(site->dials);
	g_hash_table_unref(site->agents);
	g_hash_table_unref(site->zones);
	if (site->bundle)
		schema_clear(&bundle_schema, site->bundle);
	g_free(site->bundle);
	g_free(site);
}

void site_start(struct site *site)
{
	site_add_controls(site, site->opts.control_addresses);
	site_query_all(site, site->node->now_us);
}

void site_peer_up(struct site *site, const struct link *link)
{
	if (link->peer.role == ROLE_CONTROL)
		site_query(site, link->peer.node_id);
}

void site_peer_down(struct site *site, const struct link *link)
{
	site_dial_used(site->dials, link);
	if (link->peer.node_id == site->leader)
		site_set_leader(site, 0);
}

bool site_message(struct site *site, uint64_t from, uint32_t type,
		  const void *body)
{
	if (type == MSG_VIEW)
		site_apply_view(site, from, body);
	else if (type == MSG_PEERS)
		site_handle_peers(site, from, body);
	else
		return false;
	return true;
}

const struct bundle *site_bundle(const struct site *site)
{
	return site->bundle;
}

const struct bundle_service *site_service(const struct site *site,
					  const char *name)
{
	for (uint32_t i = 0; site->bundle && i < site->bundle->nr_services; i++)
		if (!strcmp(site->bundle->services[i].name, name))
			return &site->bundle->services[i];
	return NULL;
}

bool site_zone_is_out(const struct site *site, const char *zone)
{
	const struct zone_record *known =
		g_hash_table_lookup(site->zones, zone);

	return known && known->out;
}

const struct view_agent *site_agent(const struct site *site, uint64_t node_id)
{
	return g_hash_table_lookup(site->agents, &node_id);
}

uint64_t site_leader(const struct site *site)
{
	return site->leader;
}

const char *site_leader_address(const struct site *site)
{
	const struct link *link = node_link(site->node, site->leader);

	return link && link->up ? link->peer.address : "";
}
