/*
 * Members that stop or are absent. A replica that stops announces this to all
 * others. If there are more voters than the tolerated losses need, the leader
 * then removes it at once, so that its seat doesn't raise the quorum once it is
 * gone; it joins again if it was only restarted.
 */

#include "raft_impl.h"

/* ---- the replica that stops ---- */

static bool raft_has_spare_voter(const struct raft *raft)
{
	return members_nr_voters(raft_config(raft)) > raft_losses(raft) * 2 + 1;
}

bool raft_is_leaving(const struct raft *raft)
{
	return raft->leave_since_us && !raft->removed &&
	       raft->node->now_us - raft->leave_since_us <
		       RAFT_LEAVE_WAIT_MS * US_PER_MS &&
	       members_is_voter(raft_config(raft), raft_self(raft)) &&
	       raft_has_spare_voter(raft);
}

void raft_leave_due(void *data, uint64_t now_us)
{
	struct raft *raft = data;
	const struct leave leave = { .removed = false };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, raft->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->up && link->peer.role == ROLE_CONTROL)
			node_send(raft->node, link->peer.node_id, MSG_LEAVE,
				  &leave);
	}
	if (raft_is_leaving(raft))
		node_timer_ms(raft->node, &raft->leave_timer,
			      RAFT_LEAVE_INTERVAL_MS);
}

void raft_leave(struct raft *raft)
{
	if (!raft->open || raft->leave_since_us)
		return;
	raft->leave_since_us = raft->node->now_us;
	raft_emit_event(raft, "raft-leaving");
	raft_leave_due(raft, raft->node->now_us);
}

/* ---- the others ---- */

bool raft_peer_is_leaving(const struct raft *raft, uint64_t node_id)
{
	return g_hash_table_contains(raft->leaving, &node_id);
}

void raft_on_leave(struct raft *raft, uint64_t from, const struct leave *leave)
{
	const struct leave answer = { .removed = true };

	if (leave->removed) {
		raft->removed = true;
		return;
	}
	if (!raft->open)
		return;
	g_hash_table_add(raft->leaving, g_memdup2(&from, sizeof(from)));
	if (raft->role == RAFT_LEADER && !raft_change_is_pending(raft) &&
	    !members_find(raft_config(raft), from))
		node_send(raft->node, from, MSG_LEAVE, &answer);
}

/* An announcement is kept while the replica is a member or connected. */
static gboolean raft_leaving_is_over(gpointer key, gpointer value,
				     gpointer data)
{
	const struct raft *raft = data;
	uint64_t node_id = *(const uint64_t *)key;

	return !members_find(raft_config(raft), node_id) &&
	       !node_link(raft->node, node_id);
}

void raft_note_absences(struct raft *raft)
{
	uint64_t now_us = raft->node->now_us;
	bool paused = now_us - raft->absences_us >
		      UINT64_C(2) * RAFT_DIAL_INTERVAL_MS * US_PER_MS;

	for (uint32_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];
		const struct link *link = node_link(raft->node, peer->node_id);

		if (paused || !peer->seen_us ||
		    (link && raft_link_is_alive(raft, link)))
			peer->seen_us = now_us;
	}
	raft->absences_us = now_us;
	g_hash_table_foreach_remove(raft->leaving, raft_leaving_is_over, raft);
}

/*
 * Returns how long a member may be absent before it is removed. A voter that
 * the tolerated losses don't need only raises the quorum: four voters of which
 * one is absent don't survive another loss, three voters do.
 */
static uint64_t raft_absence_limit_ms(struct raft *raft, uint64_t node_id)
{
	return members_is_voter(raft_config(raft), node_id) &&
			       raft_healthy_voters_except(raft, node_id) >
				       raft_losses(raft) * 2 ?
		       RAFT_VOTER_REMOVE_AFTER_MS :
		       RAFT_MEMBER_REMOVE_AFTER_MS;
}

bool raft_has_left(struct raft *raft, const struct raft_peer *peer)
{
	uint64_t absent_us = raft->node->now_us - peer->seen_us;

	if (members_is_voter(raft_config(raft), peer->node_id) &&
	    !raft_has_spare_voter(raft))
		return false;
	return raft_peer_is_leaving(raft, peer->node_id) ||
	       absent_us >=
		       raft_absence_limit_ms(raft, peer->node_id) * US_PER_MS;
}
