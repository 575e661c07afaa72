#include "fake_site.h"

#include "schema.h"

#define FAKE_ZONES 4

struct site {
	struct node *node;
	struct site_opts opts;
	struct bundle bundle;
	struct bundle_zone zones[FAKE_ZONES];
	bool has_bundle;
	char out[NAME_BYTES]; /* the zone out of service, "": none */
	uint64_t leader;
};

struct agent_task {
	struct node *node;
	bool permit;
	bool zone_out;
};

static GHashTable *sites; /* struct node * -> struct site * */
static GHashTable *tasks; /* struct node * -> struct agent_task * */

static struct site *site_of(struct node *node)
{
	struct site *site = g_hash_table_lookup(sites, node);

	g_assert(site);
	return site;
}

struct site *site_new(struct node *node, const struct site_opts *opts)
{
	struct site *site = g_new0(struct site, 1);

	site->node = node;
	site->opts = *opts;
	if (!sites)
		sites = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(sites, node, site);
	return site;
}

void site_free(struct site *site)
{
	g_hash_table_remove(sites, site->node);
	g_free(site);
}

void site_start(struct site *site)
{
	for (const char *const *address = site->opts.control_addresses;
	     address && *address; address++)
		node_dial(site->node, *address);
}

void site_peer_up(struct site *site, const struct link *link)
{
	fake_site_leader(site->node, link->peer.node_id);
}

void site_peer_down(struct site *site, const struct link *link)
{
	if (site->leader == link->peer.node_id)
		fake_site_leader(site->node, 0);
}

bool site_message(struct site *site, uint64_t from, uint32_t type,
		  const void *body)
{
	return false;
}

const struct bundle *site_bundle(const struct site *site)
{
	return site->has_bundle ? &site->bundle : NULL;
}

const struct bundle_service *site_service(const struct site *site,
					  const char *name)
{
	return NULL;
}

bool site_zone_is_out(const struct site *site, const char *zone)
{
	return *zone && !g_strcmp0(site->out, zone);
}

const struct view_agent *site_agent(const struct site *site, uint64_t node_id)
{
	return NULL;
}

uint64_t site_leader(const struct site *site)
{
	return site->leader;
}

void fake_site_bundle(struct node *node, const char *route_policy)
{
	struct site *site = site_of(node);

	site->has_bundle = true;
	TEXT_SET(site->bundle.route_policy, route_policy);
	site->bundle.zones = site->zones;
	if (site->opts.ops->bundle_changed)
		site->opts.ops->bundle_changed(site->opts.ctx, &site->bundle);
}

void fake_site_agent(struct node *node, uint64_t node_id, const char *address,
		     bool gone)
{
	struct site *site = site_of(node);
	struct view_agent agent = { .node_id = node_id, .gone = gone };

	TEXT_SET(agent.address, address);
	site->opts.ops->agent_changed(site->opts.ctx, &agent);
}

void fake_site_zone(struct node *node, const char *zone, bool out)
{
	TEXT_SET(site_of(node)->out, out ? zone : "");
}

void fake_site_leader(struct node *node, uint64_t node_id)
{
	struct site *site = site_of(node);

	site->leader = node_id;
	if (site->opts.ops->leader_changed)
		site->opts.ops->leader_changed(site->opts.ctx, node_id);
}

struct agent_task *agent_task_new(struct node *node,
				  const struct agent_task_opts *opts)
{
	struct agent_task *task = g_new0(struct agent_task, 1);

	task->node = node;
	task->permit = true;
	if (!tasks)
		tasks = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(tasks, node, task);
	return task;
}

void agent_task_free(struct agent_task *task)
{
	g_hash_table_remove(tasks, task->node);
	g_free(task);
}

void agent_task_start(struct agent_task *task)
{
}

void agent_task_leader_changed(struct agent_task *task, uint64_t node_id)
{
}

bool agent_task_message(struct agent_task *task, uint64_t from, uint32_t type,
			const void *body)
{
	return false;
}

void agent_task_platform_done(struct agent_task *task, uint64_t call_nr,
			      const struct platform_answer *answer)
{
}

bool agent_task_may_start(const struct agent_task *task)
{
	return task->permit && !task->zone_out;
}

bool agent_task_zone_is_out(const struct agent_task *task)
{
	return task->zone_out;
}

void agent_task_set_services(struct agent_task *task,
			     const struct report_service *services,
			     uint32_t nr_services)
{
}

void agent_task_shutdown(struct agent_task *task)
{
}

bool agent_task_idle(const struct agent_task *task)
{
	return true;
}

void fake_task_permit(struct node *node, bool permit)
{
	((struct agent_task *)g_hash_table_lookup(tasks, node))->permit =
		permit;
}

void fake_task_zone_out(struct node *node, bool out)
{
	((struct agent_task *)g_hash_table_lookup(tasks, node))->zone_out = out;
}
