#include "raft_impl.h"

#include <stdlib.h>

#include "record_size.h"

/* Replication of log entries from the leader to the other members. */

/* ---- leader ---- */

/* Returns how many entries from @a index on fit into a message, at least 1. */
static uint32_t raft_batch(const struct raft *raft, uint64_t index)
{
	uint64_t last = raft_log_last_index(&raft->log);
	uint64_t size = 0;
	uint32_t nr = 0;

	while (index + nr <= last && nr < RAFT_APPEND_MAX_ENTRIES) {
		size += record_size(
			raft_log_at(&raft->log, index + nr)->command);
		if (nr && size > RAFT_APPEND_MAX_BYTES)
			break;
		nr++;
	}
	return nr;
}

static void raft_send_append(struct raft *raft, struct raft_peer *peer,
			     uint64_t prev_index, uint32_t nr)
{
	struct append append = {
		.term = raft->hard.term,
		.prev_index = prev_index,
		.commit_index = raft->commit_index,
		.sent_us = raft->node->now_us,
		.nr_entries = nr,
	};

	raft_log_term(&raft->log, prev_index, &append.prev_term);
	if (nr)
		append.entries = (struct log_entry *)raft_log_at(
			&raft->log, prev_index + 1);
	node_send(raft->node, peer->node_id, MSG_APPEND, &append);
}

void raft_replicate_to(struct raft *raft, struct raft_peer *peer,
		       bool heartbeat)
{
	uint64_t last = raft_log_last_index(&raft->log);
	uint32_t window = peer->probing ? 1 : RAFT_IN_FLIGHT_MAX;

	if (peer->snapshot || peer->next_index <= raft->log.base_index) {
		raft_snapshot_send(raft, peer);
		/* An empty append at 0 matches any log and renews the lease. */
		if (heartbeat)
			raft_send_append(raft, peer, 0, 0);
		return;
	}
	while (peer->next_index <= last && peer->nr_in_flight < window) {
		uint32_t nr = raft_batch(raft, peer->next_index);

		raft_send_append(raft, peer, peer->next_index - 1, nr);
		peer->next_index += nr;
		peer->in_flight[peer->nr_in_flight++] = peer->next_index - 1;
		heartbeat = false;
	}
	/* The answer to a heartbeat shows if an append was lost. */
	if (heartbeat)
		raft_send_append(raft, peer, peer->next_index - 1, 0);
}

void raft_replicate(struct raft *raft)
{
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		raft_replicate_to(raft, &raft->peers[i], false);
}

static int compare_u64_down(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

void raft_advance_commit(struct raft *raft)
{
	const struct members *members = raft_config(raft);
	uint64_t stored[RAFT_MEMBERS_MAX + 1] = { raft->synced_index };
	uint32_t nr = 1;
	uint64_t index;
	uint64_t term;

	for (uint32_t i = 0; i < raft->nr_peers; i++)
		if (members_is_voter(members, raft->peers[i].node_id))
			stored[nr++] = raft->peers[i].match_index;
	qsort(stored, nr, sizeof(stored[0]), compare_u64_down);
	index = stored[members_quorum(members) - 1];
	/* Commits entries of earlier terms only with one of this term. */
	if (raft_log_term(&raft->log, index, &term) && term == raft->hard.term)
		raft_commit(raft, index);
}

static void raft_advance_peer(struct raft *raft, struct raft_peer *peer,
			      uint64_t match_index)
{
	uint32_t done = 0;

	peer->probing = false;
	if (match_index > raft_log_last_index(&raft->log))
		return;
	peer->match_index = MAX(peer->match_index, match_index);
	peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	while (done < peer->nr_in_flight &&
	       peer->in_flight[done] <= peer->match_index)
		done++;
	peer->nr_in_flight -= done;
	for (uint32_t i = 0; i < peer->nr_in_flight; i++)
		peer->in_flight[i] = peer->in_flight[i + done];
}

void raft_on_append_reply(struct raft *raft, uint64_t from,
			  const struct append_reply *reply)
{
	struct raft_peer *peer = raft_peer(raft, from);

	if (reply->term > raft->hard.term) {
		raft_follow(raft, reply->term, 0);
		return;
	}
	if (raft->role != RAFT_LEADER || !peer || reply->term < raft->hard.term)
		return;
	peer->acked_us = MAX(peer->acked_us, reply->sent_us);
	if (reply->success) {
		raft_advance_peer(raft, peer, reply->match_index);
		raft_advance_commit(raft);
	} else if (reply->sent_us >= peer->reset_us) {
		peer->reset_us = raft->node->now_us;
		peer->probing = true;
		peer->nr_in_flight = 0;
		peer->next_index =
			MAX(peer->match_index,
			    MIN(peer->next_index - 1, reply->match_index)) +
			1;
	}
	/* A commit may have ended the leadership or changed the members. */
	peer = raft_peer(raft, from);
	if (raft->role == RAFT_LEADER && peer)
		raft_replicate_to(raft, peer, false);
}

/* ---- follower ---- */

static void raft_reply_append(struct raft *raft, bool success,
			      uint64_t match_index)
{
	struct append_reply reply = {
		.term = raft->hard.term,
		.success = success,
		.match_index = match_index,
		.sent_us = raft->echo_us,
	};

	node_send(raft->node, raft->leader_id, MSG_APPEND_REPLY, &reply);
}

void raft_acknowledge(struct raft *raft)
{
	if (!raft->ack_due || !raft->leader_id || !raft_hard_synced(raft))
		return;
	raft->ack_due = raft->synced_index < raft->verified_index;
	raft_reply_append(raft, true,
			  MIN(raft->synced_index, raft->verified_index));
}

/* Appends the entries that this log lacks; returns false if one is invalid. */
static bool raft_append_missing(struct raft *raft, const struct append *append)
{
	for (uint32_t i = 0; i < append->nr_entries; i++) {
		const struct log_entry *entry = &append->entries[i];
		uint64_t term;

		if (entry->index != append->prev_index + 1 + i ||
		    !entry->command.body)
			return false;
		if (entry->index <= raft->log.base_index)
			continue;
		if (raft_log_term(&raft->log, entry->index, &term)) {
			if (term == entry->term)
				continue;
			/* A committed entry differs: corruption. */
			if (entry->index <= raft->commit_index)
				return false;
			raft_truncate(raft, entry->index);
		}
		raft_write_entry(raft, entry);
	}
	return true;
}

void raft_on_append(struct raft *raft, uint64_t from,
		    const struct append *append)
{
	uint64_t last = raft_log_last_index(&raft->log);
	uint64_t term;

	if (append->term < raft->hard.term) {
		struct append_reply reply = { .term = raft->hard.term };

		node_send(raft->node, from, MSG_APPEND_REPLY, &reply);
		return;
	}
	if (raft->role == RAFT_LEADER && append->term == raft->hard.term) {
		raft_fail(raft, RESULT_CORRUPT);
		return;
	}
	if (append->term > raft->hard.term || raft->role != RAFT_FOLLOWER ||
	    raft->leader_id != from)
		raft_follow(raft, append->term, from);
	raft_note_leader(raft);
	raft->heard_us = raft->node->now_us;
	raft_arm_election(raft);
	raft->echo_us = append->sent_us;
	if (append->prev_index > last) {
		raft_reply_append(raft, false, last);
		return;
	}
	if (raft_log_term(&raft->log, append->prev_index, &term) &&
	    term != append->prev_term) {
		raft_reply_append(raft, false,
				  raft_log_skip_term(&raft->log,
						     append->prev_index,
						     raft->commit_index));
		return;
	}
	if (!raft_append_missing(raft, append)) {
		raft_fail(raft, RESULT_CORRUPT);
		return;
	}
	raft->verified_index = MAX(raft->verified_index,
				   append->prev_index + append->nr_entries);
	raft->ack_due = true;
	raft_acknowledge(raft);
	raft_commit(raft, MIN(append->commit_index, raft->verified_index));
}
