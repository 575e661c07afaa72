/* Connections between the replicas, and how replicas find each other. */

#include "raft_impl.h"

#include <string.h>

bool raft_is_listed(const struct raft *raft, const char *address)
{
	for (uint32_t i = 0; i < raft->nr_addresses; i++)
		if (!strcmp(raft->addresses[i], address))
			return true;
	return false;
}

uint32_t raft_losses(const struct raft *raft)
{
	return raft->losses ? raft->losses : (raft->nr_addresses - 1) / 2;
}

/*
 * With fewer voters, the tolerated losses could include every disk of a quorum,
 * and a committed entry would be lost with them.
 */
uint32_t raft_min_voters(const struct raft *raft)
{
	return raft->losses ? MAX(raft->losses * 2, 2) :
			      raft->nr_addresses / 2 + 1;
}

uint32_t raft_first_voters(const struct raft *raft)
{
	return raft->losses ? raft->losses * 2 + 1 : raft_min_voters(raft);
}

static bool raft_is_linked(const struct raft *raft, const char *address)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, raft->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->up && !strcmp(link->peer.address, address))
			return true;
	}
	return false;
}

/*
 * Each pair of replicas has one connection. Of two listed replicas, the one
 * with the lower address dials. A replica that isn't listed is unknown to the
 * listed ones, so it dials them.
 */
static bool raft_should_dial(const struct raft *raft, const char *address)
{
	const char *self = raft->node->self.address;

	if (!strcmp(self, address))
		return false;
	if (raft_is_listed(raft, self))
		return strcmp(self, address) < 0;
	return raft_is_listed(raft, address) || strcmp(self, address) < 0;
}

static void raft_dial(struct raft *raft, const char *address)
{
	if (!raft_should_dial(raft, address) ||
	    g_hash_table_contains(raft->dialled, address))
		return;
	/* The other replica may have another list and have dialled this one. */
	if (!raft_is_listed(raft, address) && raft_is_linked(raft, address))
		return;
	g_hash_table_add(raft->dialled, g_strdup(address));
	node_dial(raft->node, address);
}

static gboolean raft_close_unlisted(gpointer key, gpointer value, gpointer data)
{
	struct raft *raft = data;

	if (raft_is_listed(raft, key) ||
	    members_find_address(raft_config(raft), key) ||
	    g_hash_table_contains(raft->advertised, key))
		return FALSE;
	node_stop_dial(raft->node, key);
	return TRUE;
}

static void raft_send_members(struct raft *raft, uint64_t node_id)
{
	const struct members *members = raft_config(raft);
	struct peer_address addresses[RAFT_MEMBERS_MAX] = { 0 };
	struct peers body = { members->nr_members, addresses };

	for (uint32_t i = 0; i < members->nr_members; i++)
		TEXT_SET(addresses[i].address, members->members[i].address);
	node_send(raft->node, node_id, MSG_PEERS, &body);
}

/*
 * Sends the members' addresses to connected replicas that aren't members. A
 * replica that isn't a member may be connected to followers only, but must
 * reach the leader, which alone adds members.
 */
static void raft_advertise_members(struct raft *raft)
{
	GHashTableIter iter;
	void *value;

	if (!raft->leader_id)
		return;
	g_hash_table_iter_init(&iter, raft->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->up && link->peer.role == ROLE_CONTROL &&
		    !members_find(raft_config(raft), link->peer.node_id))
			raft_send_members(raft, link->peer.node_id);
	}
}

static bool raft_is_disconnected(const struct raft *raft)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, raft->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->up && link->peer.role == ROLE_CONTROL)
			return false;
	}
	return true;
}

void raft_on_peers(struct raft *raft, const struct peers *peers)
{
	if (!raft->open || raft->leader_id)
		return;
	g_hash_table_remove_all(raft->advertised);
	for (uint32_t i = 0; i < peers->nr_addresses; i++) {
		const char *address = peers->addresses[i].address;

		/* Of each pair of listed replicas, one dials anyway. */
		if (raft_is_listed(raft, address))
			continue;
		g_hash_table_add(raft->advertised, g_strdup(address));
		if (strcmp(raft->node->self.address, address) != 0 &&
		    !raft_is_linked(raft, address) &&
		    g_hash_table_add(raft->dialled, g_strdup(address)))
			node_dial(raft->node, address);
	}
}

void raft_dial_due(void *data, uint64_t now_us)
{
	struct raft *raft = data;
	const struct members *members = raft_config(raft);

	for (uint32_t i = 0; i < raft->nr_addresses; i++)
		raft_dial(raft, raft->addresses[i]);
	if (!raft->open)
		return;
	raft_note_absences(raft);
	for (uint32_t i = 0; i < members->nr_members; i++)
		raft_dial(raft, members->members[i].address);
	raft_advertise_members(raft);
	/*
	 * A replica that lost its disk only has its list, whose addresses may
	 * all belong to agents.
	 */
	if (!raft->leader_id && raft_is_disconnected(raft))
		node_discover_controls(raft->node);
	if (raft->leader_id)
		g_hash_table_remove_all(raft->advertised);
	g_hash_table_foreach_remove(raft->dialled, raft_close_unlisted, raft);
	node_timer_ms(raft->node, &raft->dial_timer, RAFT_DIAL_INTERVAL_MS);
}

void raft_set_addresses(struct raft *raft, const char *const *addresses)
{
	uint32_t nr = g_strv_length((char **)addresses);

	if (!raft->open || !nr || nr > RAFT_MEMBERS_MAX)
		return;
	g_strfreev(raft->addresses);
	raft->addresses = g_strdupv((char **)addresses);
	raft->nr_addresses = nr;
	memset(raft->form_peers, 0, sizeof(raft->form_peers));
	raft_dial_due(raft, raft->node->now_us);
}
