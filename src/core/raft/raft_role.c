#include "raft_impl.h"

#include <stdlib.h>
#include <string.h>

/* The roles of a replica: follower and leader, and the leader's lease. */

void raft_reload_peers(struct raft *raft)
{
	const struct members *members = raft_config(raft);
	struct raft_peer old[RAFT_MEMBERS_MAX];
	uint32_t nr_old = raft->nr_peers;

	memcpy(old, raft->peers, sizeof(old));
	memset(raft->peers, 0, sizeof(raft->peers));
	raft->nr_peers = 0;
	for (uint32_t i = 0; i < members->nr_members; i++) {
		struct raft_peer *peer = &raft->peers[raft->nr_peers];

		if (members->members[i].node_id == raft_self(raft) ||
		    raft->nr_peers == RAFT_MEMBERS_MAX)
			continue;
		peer->node_id = members->members[i].node_id;
		peer->next_index = raft_log_last_index(&raft->log) + 1;
		peer->probing = true;
		raft->nr_peers++;
		for (uint32_t j = 0; j < nr_old; j++) {
			if (old[j].node_id != peer->node_id)
				continue;
			*peer = old[j];
			old[j].snapshot = NULL;
		}
	}
	for (uint32_t j = 0; j < nr_old; j++)
		raft_snapshot_unref(old[j].snapshot);
}

static void raft_drop_proposals(struct raft *raft)
{
	while (raft->nr_proposals) {
		uint64_t tag = raft->proposals[raft->proposals_head].tag;

		raft->proposals_head =
			(raft->proposals_head + 1) % RAFT_PROPOSALS_MAX;
		raft->nr_proposals--;
		raft->machine->dropped(raft->machine_ctx, tag);
	}
	raft->proposals_size = 0;
}

void raft_follow(struct raft *raft, uint64_t term, uint64_t leader_id)
{
	enum raft_role old = raft->role;
	bool announced = raft->announced;

	if (term > raft->hard.term) {
		raft_write_hard_state(raft, term, 0);
		raft->verified_index = raft->commit_index;
		raft->ack_due = false;
		raft->vote_reply_to = 0;
	}
	raft->role = RAFT_FOLLOWER;
	raft->leader_id = leader_id;
	raft->announced = false;
	raft->votes_due = false;
	raft->handover_since_us = 0;
	if (old != RAFT_LEADER)
		return;
	raft_emit_event(raft, "raft-leader-lost");
	raft->leader_known_us = raft->node->now_us;
	timer_cancel(raft->node->timers, &raft->heartbeat_timer);
	raft->verified_index = raft->commit_index;
	raft_arm_election(raft);
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		g_clear_pointer(&raft->peers[i].snapshot, raft_snapshot_unref);
	raft_drop_proposals(raft);
	if (announced)
		raft->machine->leader_changed(raft->machine_ctx, false);
}

void raft_lead(struct raft *raft)
{
	struct record noop = { CMD_NOOP, schema_alloc(CMD_NOOP) };
	uint64_t next_index = raft_log_last_index(&raft->log) + 1;

	raft_note_leader(raft);
	raft->role = RAFT_LEADER;
	raft->leader_id = raft_self(raft);
	raft->leader_since_us = raft->node->now_us;
	timer_cancel(raft->node->timers, &raft->election_timer);
	for (uint32_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];

		raft_snapshot_unref(peer->snapshot);
		*peer = (struct raft_peer){
			.node_id = peer->node_id,
			.next_index = next_index,
			.seen_us = peer->seen_us,
		};
	}
	raft_emit_event(raft, "raft-leader");
	raft->noop_index = raft_append_command(raft, noop);
	record_unref(noop);
	node_timer_ms(raft->node, &raft->heartbeat_timer, 0);
}

static int compare_u64_down(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

uint64_t raft_quorum_acked_us(const struct raft *raft)
{
	const struct members *members = raft_config(raft);
	uint64_t times[RAFT_MEMBERS_MAX + 1] = { raft->node->now_us };
	uint32_t nr = 1;

	for (uint32_t i = 0; i < raft->nr_peers; i++)
		if (members_is_voter(members, raft->peers[i].node_id))
			times[nr++] = raft->peers[i].acked_us;
	qsort(times, nr, sizeof(times[0]), compare_u64_down);
	return times[members_quorum(members) - 1];
}

/*
 * Returns true if a leader has accepted a command. Before that the log has
 * no-ops and configurations only, and there is no snapshot.
 */
static bool raft_has_accepted(const struct raft *raft)
{
	uint64_t last = raft_log_last_index(&raft->log);

	if (raft->log.base_index)
		return true;
	for (uint64_t i = 1; i <= last; i++) {
		uint32_t type = raft_log_at(&raft->log, i)->command.type;

		if (type != CMD_NOOP && type != CMD_MEMBERS)
			return true;
	}
	return false;
}

/* Returns true if the voter, or one that replaced it, has stored the log. */
static bool raft_seat_has_log(struct raft *raft, const struct member *founder)
{
	const struct raft_peer *peer = raft_peer(raft, founder->node_id);
	const struct member *now =
		members_find_address(raft_config(raft), founder->address);

	if (founder->node_id == raft_self(raft))
		return raft->synced_index > 0;
	if (peer)
		return peer->match_index > 0;
	return now && now->voter;
}

/* Returns the first configuration; its members are the founders. */
static const struct members *raft_founders(const struct raft *raft)
{
	return raft_log_at(&raft->log, 1)->command.body;
}

/*
 * Returns true if it is certain that more founders have stored the log than
 * disks may be lost. A quorum of them has, as the leader has committed entries.
 */
static bool raft_founders_suffice(const struct raft *raft)
{
	return raft_config(raft)->founded ||
	       members_quorum(raft_founders(raft)) > raft_losses(raft);
}

bool raft_must_record_founders(struct raft *raft)
{
	uint32_t nr = 0;

	if (raft_has_accepted(raft) || raft_founders_suffice(raft))
		return false;
	for (uint32_t i = 0; i < raft_founders(raft)->nr_members; i++)
		nr += raft_seat_has_log(raft, &raft_founders(raft)->members[i]);
	return nr >=
	       MIN(raft_losses(raft) + 1, raft_founders(raft)->nr_members);
}

/*
 * The first command waits until the group has all voters that the tolerated
 * losses need. Later a voter may be missing for a while, as it is replaced
 * after a loss; then the group must not wait for one that doesn't come back.
 */
bool raft_formed(const struct raft *raft)
{
	uint32_t nr_voters = members_nr_voters(raft_config(raft));

	if (raft_has_accepted(raft))
		return nr_voters >= raft_min_voters(raft);
	return nr_voters >= raft_first_voters(raft) &&
	       raft_founders_suffice(raft);
}

bool raft_has_lease(const struct raft *raft)
{
	return raft->role == RAFT_LEADER &&
	       raft->node->now_us - raft_quorum_acked_us(raft) <
		       RAFT_LEADER_LEASE_MS * US_PER_MS;
}

/*
 * Returns true if this replica must give up its leadership: for a graceful
 * stop, or if its disk is full and the other voters can commit without it.
 */
static bool raft_must_hand_over(struct raft *raft)
{
	uint64_t self = raft_self(raft);

	return raft->resigned ||
	       (raft->full && raft_healthy_voters_except(raft, self) >=
				      members_quorum(raft_config(raft)));
}

void raft_hand_over(struct raft *raft)
{
	uint64_t now_us = raft->node->now_us;
	struct transfer transfer = { raft->hard.term };
	const struct raft_peer *best = NULL;

	if (raft->role != RAFT_LEADER || !raft_must_hand_over(raft)) {
		raft->handover_since_us = 0;
		return;
	}
	if (!raft->handover_since_us)
		raft->handover_since_us = now_us;
	if (raft->nr_proposals &&
	    now_us - raft->handover_since_us < RAFT_STEP_DOWN_MS * US_PER_MS)
		return;
	for (uint32_t i = 0; i < raft->nr_peers; i++) {
		const struct raft_peer *peer = &raft->peers[i];
		const struct link *link = node_link(raft->node, peer->node_id);

		if (link && link->up &&
		    members_is_voter(raft_config(raft), peer->node_id) &&
		    !raft_peer_is_leaving(raft, peer->node_id) &&
		    (!best || peer->match_index > best->match_index))
			best = peer;
	}
	/* The lease ends here, so voters need not wait for its expiry. */
	if (best)
		node_send(raft->node, best->node_id, MSG_TRANSFER, &transfer);
	raft_follow(raft, raft->hard.term, 0);
}

void raft_heartbeat(void *data, uint64_t now_us)
{
	struct raft *raft = data;
	uint64_t heard_us =
		MAX(raft_quorum_acked_us(raft), raft->leader_since_us);

	if (now_us - heard_us >= RAFT_ELECTION_MAX_MS * US_PER_MS) {
		raft_emit_event(raft, "raft-no-quorum");
		counter_add(raft->node->counters, "quorums_lost", 1);
		raft_follow(raft, raft->hard.term, 0);
		return;
	}
	raft_hand_over(raft);
	if (raft->role != RAFT_LEADER)
		return;
	node_timer_ms(raft->node, &raft->heartbeat_timer, RAFT_HEARTBEAT_MS);
	raft_announce(raft);
	if (raft->applied_index >= raft->noop_index && raft_has_lease(raft))
		raft_reconcile_members(raft);
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		raft_replicate_to(raft, &raft->peers[i], true);
}
