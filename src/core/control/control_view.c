#include "control_view.h"

#include <string.h>

#include "control_impl.h"

#define CONTROL_VIEW_RETRY_MS 100 /* delay while there is no quorum */

/*
 * A view that is being built, a copy of zones, agents and the bundle in force.
 */
struct control_view_build {
	struct control *control;
	struct view view;
	GArray *zones;
	GArray *agents;
	/* The parts of the bundle that agents and entries need; borrowed. */
	struct bundle bundle;
};

static void control_view_begin(struct control *control,
			       struct control_view_build *build)
{
	memset(build, 0, sizeof(*build));
	build->control = control;
	build->zones = g_array_new(FALSE, TRUE, sizeof(struct zone_record));
	build->agents = g_array_new(FALSE, TRUE, sizeof(struct view_agent));
	build->view.term = raft_term(control->raft);
	build->view.view_version = control->view_version;
}

static void control_view_add_bundle(struct control_view_build *build)
{
	const struct bundle *in_force = build->control->state->bundles.in_force;

	if (!in_force)
		return;
	/*
	 * Only the leader maps paths to queues, and there may be thousands of
	 * them.
	 */
	build->bundle = *in_force;
	build->bundle.nr_queues = 0;
	build->bundle.nr_pools = 0;
	build->bundle.document = NULL;
	build->view.bundles = &build->bundle;
	build->view.nr_bundles = 1;
}

static void control_view_send(struct control_view_build *build,
			      struct control_peer *peer)
{
	struct view *view = &build->view;

	view->base_version = peer->view_version;
	peer->view_version = view->view_version;

	view->zones = (struct zone_record *)(void *)build->zones->data;
	view->nr_zones = build->zones->len;
	view->agents = (struct view_agent *)(void *)build->agents->data;
	/* Agents don't need the list of agents. */
	view->nr_agents = peer->role == ROLE_ENTRY ? build->agents->len : 0;
	node_send(build->control->node, peer->node_id, MSG_VIEW, view);
	counter_add(build->control->node->counters, "views_sent", 1);
}

static void control_view_end(struct control_view_build *build)
{
	g_array_unref(build->zones);
	g_array_unref(build->agents);
}

static gboolean control_view_add_zone(gpointer key, gpointer value,
				      gpointer data)
{
	struct control_view_build *build = data;
	const struct zone_record *zone = value;

	g_array_append_vals(build->zones, zone, 1);
	return FALSE;
}

static void control_view_add_agent(struct control_view_build *build,
				   const struct state_vm *vm, uint64_t node_id,
				   bool gone)
{
	struct view_agent agent = { 0 };

	TEXT_SET(agent.vm, vm->record.name);
	TEXT_SET(agent.zone, vm->record.zone);
	TEXT_SET(agent.address, vm->record.address);
	agent.node_id = node_id;
	agent.gone = gone;
	g_array_append_val(build->agents, agent);
}

static void control_view_note_announced(struct control *control,
					const struct state_vm *vm)
{
	g_hash_table_replace(control->view_announced, g_strdup(vm->record.name),
			     g_memdup2(&vm->record.node_id,
				       sizeof(vm->record.node_id)));
}

static gboolean control_view_add_vm(gpointer key, gpointer value, gpointer data)
{
	struct control_view_build *build = data;
	const struct state_vm *vm = value;

	if (vm->record.state == VM_LOST)
		return FALSE;
	control_view_add_agent(build, vm, vm->record.node_id, false);
	control_view_note_announced(build->control, vm);
	return FALSE;
}

static void control_view_build_whole(struct control *control,
				     struct control_view_build *build)
{
	control_view_begin(control, build);
	build->view.whole = true;
	g_tree_foreach(control->state->zones, control_view_add_zone, build);
	g_tree_foreach(control->state->vms, control_view_add_vm, build);
	control_view_add_bundle(build);
}

static void control_view_send_all(struct control *control,
				  struct control_view_build *build)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, control->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_peer *peer = value;

		if (build->view.whole || peer->role == ROLE_ENTRY ||
		    build->zones->len || build->view.nr_bundles)
			control_view_send(build, peer);
	}
}

/*
 * Adds the agents of a changed VM: the former agent as gone, and the present
 * agent.
 */
static void control_view_add_change(struct control_view_build *build,
				    const char *name)
{
	struct control *control = build->control;
	const struct state_vm *vm = state_vm_find(control->state, name);
	const uint64_t *announced =
		g_hash_table_lookup(control->view_announced, name);

	if (announced &&
	    (*announced != vm->record.node_id || vm->record.state == VM_LOST)) {
		control_view_add_agent(build, vm, *announced, true);
		g_hash_table_remove(control->view_announced, name);
	}
	if (vm->record.state != VM_LOST)
		control_view_add_vm(NULL, (void *)vm, build);
}

static void control_view_soon(struct control *control)
{
	node_timer_ms(control->node, &control->view_timer, 0);
}

void control_view_zone(struct control *control, const char *name)
{
	g_hash_table_add(control->view_zones, g_strdup(name));
	control_view_soon(control);
}

void control_view_vm(struct control *control, const struct state_vm *vm)
{
	g_hash_table_add(control->view_vms, g_strdup(vm->record.name));
	if (!timer_armed(&control->view_timer))
		node_timer_ms(control->node, &control->view_timer,
			      VIEW_BATCH_MS);
}

void control_view_bundle(struct control *control)
{
	control->view_bundle = true;
	control_view_soon(control);
}

void control_view_flush(void *data, uint64_t now_us)
{
	struct control *control = data;
	struct control_view_build build;
	GHashTableIter iter;
	void *key;

	if (control_check_leader(control)) {
		node_timer_ms(control->node, &control->view_timer,
			      CONTROL_VIEW_RETRY_MS);
		return;
	}
	control_view_begin(control, &build);
	build.view.view_version = ++control->view_version;
	g_hash_table_iter_init(&iter, control->view_zones);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		control_view_add_zone(
			NULL, state_zone_find(control->state, key), &build);
	g_hash_table_iter_init(&iter, control->view_vms);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		control_view_add_change(&build, key);
	if (control->view_bundle)
		control_view_add_bundle(&build);
	control_view_send_all(control, &build);
	control_view_end(&build);
	g_hash_table_remove_all(control->view_zones);
	g_hash_table_remove_all(control->view_vms);
	control->view_bundle = false;
}

/* Sends a peer of an open group the replicas' addresses unless it has them. */
static void control_view_peers(struct control *control,
			       struct control_peer *peer)
{
	const struct members *members = raft_members(control->raft);
	GArray *addresses;
	struct peers body = { 0 };
	uint64_t sum = 0;

	for (uint32_t i = 0; i < members->nr_members; i++)
		sum += members->members[i].node_id;
	if (!control->opts.open || sum == peer->members_sum)
		return;
	peer->members_sum = sum;
	addresses = g_array_new(FALSE, TRUE, sizeof(struct peer_address));
	for (uint32_t i = 0; i < members->nr_members; i++) {
		struct peer_address item = { 0 };

		TEXT_SET(item.address, members->members[i].address);
		g_array_append_val(addresses, item);
	}
	body.nr_addresses = addresses->len;
	body.addresses = (struct peer_address *)(void *)addresses->data;
	node_send(control->node, peer->node_id, MSG_PEERS, &body);
	g_array_unref(addresses);
}

void control_view_query(struct control *control, uint64_t from,
			const struct view_query *query)
{
	const struct bundle *bundle = control->state->bundles.in_force;
	struct control_peer *peer = g_hash_table_lookup(control->peers, &from);
	struct control_view_build build;

	if (!peer)
		return;
	peer->bundle_version = query->bundle_version;
	control_view_peers(control, peer);
	if (control_check_leader(control))
		return;
	/* Sends pending changes first, or the peer would miss them. */
	if (timer_armed(&control->view_timer))
		control_view_flush(control, control->node->now_us);
	if (query->term == raft_term(control->raft) && peer->view_version &&
	    query->view_version == peer->view_version &&
	    (!bundle || query->bundle_version >= bundle->version)) {
		/*
		 * Nothing that this peer needs has changed since its last view.
		 */
		control_view_begin(control, &build);
		build.view.view_version = peer->view_version;
	} else {
		control_view_build_whole(control, &build);
	}
	control_view_send(&build, peer);
	control_view_end(&build);
}

void control_view_announce(struct control *control)
{
	struct control_view_build build;

	control_view_build_whole(control, &build);
	control_view_send_all(control, &build);
	control_view_end(&build);
}
