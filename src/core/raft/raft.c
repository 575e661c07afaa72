#include "raft_impl.h"

#include <string.h>

#include "logline.h"
#include "record_size.h"

uint64_t raft_self(const struct raft *raft)
{
	return raft->node->self.node_id;
}

const struct members *raft_config(const struct raft *raft)
{
	return raft_configs_last(&raft->configs)->members.body;
}

bool raft_is_fresh(const struct raft *raft)
{
	return raft_log_last_index(&raft->log) == 0;
}

struct raft_peer *raft_peer(struct raft *raft, uint64_t node_id)
{
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		if (raft->peers[i].node_id == node_id)
			return &raft->peers[i];
	return NULL;
}

void raft_emit_event(struct raft *raft, const char *event)
{
	GString *line = logline_new(event);

	logline_u64(line, "term", raft->hard.term);
	logline_u64(line, "last", raft_log_last_index(&raft->log));
	logline_u64(line, "commit", raft->commit_index);
	logline_id(line, "leader", raft->leader_id);
	logline_u64(line, "voters", members_nr_voters(raft_config(raft)));
	logline_u64(line, "members", raft_config(raft)->nr_members);
	node_log(raft->node, line);
}

static void raft_emit_leader_event(struct raft *raft, const char *event,
				   const char *key)
{
	GString *line = logline_new(event);

	logline_u64(line, "term", raft->hard.term);
	logline_id(line, "leader", raft->leader_id);
	logline_u64(line, key,
		    (raft->node->now_us - raft->leader_known_us) / 1000);
	node_log(raft->node, line);
}

void raft_note_leader(struct raft *raft)
{
	if (raft->leaderless)
		raft_emit_leader_event(raft, "raft-leader-heard", "away_ms");
	raft->leaderless = false;
	raft->leader_known_us = raft->node->now_us;
	counter_set(raft->node->counters, "raft_leaderless", 0);
}

void raft_note_leader_silent(struct raft *raft)
{
	if (!raft->leaderless)
		raft_emit_leader_event(raft, "raft-leader-silent", "silent_ms");
	raft->leaderless = true;
	counter_set(raft->node->counters, "raft_leaderless", 1);
}

/* ---- storage ---- */

bool raft_hard_synced(const struct raft *raft)
{
	return raft->synced_hard_nr == raft->hard_nr;
}

void raft_schedule_flush(struct raft *raft)
{
	raft->dirty = true;
	if (!timer_armed(&raft->flush_timer))
		node_timer_ms(raft->node, &raft->flush_timer, 0);
}

/* Requests one sync for all writes of this iteration of the event loop. */
static void raft_flush(void *data, uint64_t now_us)
{
	struct raft *raft = data;
	struct raft_sync sync = {
		.last_index = raft_log_last_index(&raft->log),
		.hard_nr = raft->hard_nr,
	};

	if (raft->store_result != RESULT_OK)
		return;
	if (raft->role == RAFT_LEADER)
		raft_replicate(raft);
	if (!raft->dirty)
		return;
	raft->dirty = false;
	sync.nr = ++raft->sync_nr;
	sync.began_us = raft->node->now_us;
	g_array_append_val(raft->syncs, sync);
	counter_add(raft->node->counters, "raft_syncs", 1);
	raft->store->sync(raft->store_ctx, sync.nr);
}

void raft_write_hard_state(struct raft *raft, uint64_t term, uint64_t voted_for)
{
	raft->hard.node_id = raft_self(raft);
	raft->hard.term = term;
	raft->hard.voted_for = voted_for;
	raft->hard_nr++;
	raft->store->write_hard_state(raft->store_ctx, &raft->hard);
	raft_schedule_flush(raft);
}

void raft_write_entry(struct raft *raft, const struct log_entry *entry)
{
	raft_log_append(&raft->log, entry);
	raft->store->append(raft->store_ctx, entry);
	raft->log_bytes += record_size(entry->command);
	if (entry->command.type == CMD_MEMBERS) {
		raft_configs_push(&raft->configs, entry->index, entry->command);
		raft_reload_peers(raft);
		raft_emit_event(raft, "raft-members");
	}
	raft_schedule_flush(raft);
}

void raft_truncate(struct raft *raft, uint64_t index)
{
	raft_log_truncate(&raft->log, index);
	raft_configs_truncate(&raft->configs, index);
	raft_reload_peers(raft);
	raft->store->truncate(raft->store_ctx, index);
	raft->synced_index = MIN(raft->synced_index, index - 1);
	for (uint32_t i = 0; i < raft->syncs->len; i++) {
		struct raft_sync *sync =
			&g_array_index(raft->syncs, struct raft_sync, i);

		sync->last_index = MIN(sync->last_index, index - 1);
	}
	raft_schedule_flush(raft);
}

uint64_t raft_append_command(struct raft *raft, struct record command)
{
	struct log_entry entry = {
		.index = raft_log_last_index(&raft->log) + 1,
		.term = raft->hard.term,
		.command = command,
	};

	raft_write_entry(raft, &entry);
	return entry.index;
}

void raft_fail(struct raft *raft, enum result result)
{
	GString *line = logline_new("raft-store-failed");

	raft->store_result = result;
	logline_str(line, "result", result_name(result));
	node_log(raft->node, line);
	raft_follow(raft, raft->hard.term, raft->leader_id);
	raft->vote_reply_to = 0;
	raft->ack_due = false;
	timer_cancel(raft->node->timers, &raft->election_timer);
	timer_cancel(raft->node->timers, &raft->form_timer);
}

void raft_store_full(struct raft *raft, bool full)
{
	GString *line;

	if (raft->full == full)
		return;
	raft->full = full;
	counter_set(raft->node->counters, "store_full", full);
	line = logline_new(full ? "store-full" : "store-room");
	logline_u64(line, "term", raft->hard.term);
	logline_u64(line, "last", raft_log_last_index(&raft->log));
	logline_u64(line, "synced", raft->synced_index);
	if (full)
		raft->full_us = raft->node->now_us;
	else
		logline_u64(line, "away_ms",
			    (raft->node->now_us - raft->full_us) / 1000);
	node_log(raft->node, line);
	raft_hand_over(raft);
}

/*
 * Logs a slow sync. If one answer completes several syncs, only the first one
 * is logged, as it took the longest.
 */
static void raft_observe_sync(struct raft *raft, const struct raft_sync *sync,
			      bool first)
{
	uint64_t took_ms = (raft->node->now_us - sync->began_us) / 1000;
	GString *line;

	counter_observe(raft->node->counters, "sync_ms", took_ms);
	if (!first || took_ms < RAFT_SLOW_SYNC_MS)
		return;
	line = logline_new("store-slow");
	logline_u64(line, "took_ms", took_ms);
	logline_u64(line, "last", sync->last_index);
	node_log(raft->node, line);
	counter_add(raft->node->counters, "slow_syncs", 1);
}

void raft_synced(struct raft *raft, uint64_t sync_nr, enum result result)
{
	uint32_t nr = 0;

	if (raft->store_result != RESULT_OK)
		return;
	if (result != RESULT_OK) {
		raft_fail(raft, result);
		return;
	}
	while (nr < raft->syncs->len) {
		const struct raft_sync *sync =
			&g_array_index(raft->syncs, struct raft_sync, nr);

		if (sync->nr > sync_nr)
			break;
		raft->synced_index = sync->last_index;
		raft->synced_hard_nr = sync->hard_nr;
		raft_observe_sync(raft, sync, !nr);
		nr++;
	}
	if (!nr)
		return;
	g_array_remove_range(raft->syncs, 0, nr);
	raft_votes_synced(raft);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft);
	else
		raft_acknowledge(raft);
}

/* ---- commit ---- */

static uint64_t raft_pop_proposal(struct raft *raft, uint64_t index)
{
	const struct raft_proposal *proposal =
		&raft->proposals[raft->proposals_head];

	if (!raft->nr_proposals || proposal->index != index)
		return 0;
	raft->proposals_head = (raft->proposals_head + 1) % RAFT_PROPOSALS_MAX;
	raft->nr_proposals--;
	raft->proposals_size -= proposal->size;
	return proposal->tag;
}

void raft_announce(struct raft *raft)
{
	if (raft->role != RAFT_LEADER || raft->announced ||
	    raft->applied_index < raft->noop_index || !raft_formed(raft))
		return;
	raft->announced = true;
	raft->machine->leader_changed(raft->machine_ctx, true);
}

void raft_commit(struct raft *raft, uint64_t index)
{
	if (index <= raft->commit_index)
		return;
	raft->commit_index = index;
	while (raft->applied_index < raft->commit_index) {
		struct log_entry entry =
			*raft_log_at(&raft->log, raft->applied_index + 1);

		raft->applied_index++;
		record_ref(entry.command);
		raft->machine->apply(raft->machine_ctx, &entry,
				     raft_pop_proposal(raft, entry.index));
		record_unref(entry.command);
	}
	raft_announce(raft);
	raft_hand_over(raft);
	raft_snapshot_if_due(raft);
}

/* ---- interface ---- */

static void raft_load(struct raft *raft, const struct store_image *image)
{
	raft->hard = image->hard_state;
	if (image->snapshot.last_index) {
		raft->snapshot =
			raft_snapshot_new(&image->snapshot, image->records);
		raft_log_reset(&raft->log, image->snapshot.last_index,
			       image->snapshot.last_term);
		raft_configs_reset(&raft->configs, image->snapshot.last_index,
				   image->records[0].record);
	}
	for (uint32_t i = 0; i < image->nr_entries; i++) {
		const struct log_entry *entry = &image->entries[i];

		raft_log_append(&raft->log, entry);
		raft->log_bytes += record_size(entry->command);
		if (entry->command.type == CMD_MEMBERS)
			raft_configs_push(&raft->configs, entry->index,
					  entry->command);
	}
	raft->commit_index = raft->applied_index = raft->log.base_index;
	raft->verified_index = raft->commit_index;
	raft->synced_index = raft_log_last_index(&raft->log);
	raft_reload_peers(raft);
}

struct raft *raft_new(struct node *node, const struct raft_opts *opts)
{
	struct raft *raft = g_new0(struct raft, 1);

	raft->node = node;
	raft->store = opts->store;
	raft->store_ctx = opts->store_ctx;
	raft->machine = opts->machine;
	raft->machine_ctx = opts->machine_ctx;
	raft->addresses = g_strdupv((char **)opts->control_addresses);
	raft->nr_addresses = g_strv_length(raft->addresses);
	raft->open = opts->open;
	raft->no_formation = opts->no_formation;
	raft->losses = opts->losses;
	raft->dialled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	raft->advertised =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	raft->leaving = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	raft->snapshot_entries = opts->snapshot_entries ?
					 opts->snapshot_entries :
					 RAFT_SNAPSHOT_ENTRIES;
	raft->page_bytes = opts->page_bytes ? opts->page_bytes :
					      RAFT_PAGE_MAX_BYTES;
	g_assert(raft->nr_addresses && raft->nr_addresses <= RAFT_MEMBERS_MAX);
	raft_log_init(&raft->log);
	raft_configs_init(&raft->configs);
	raft->syncs = g_array_new(FALSE, FALSE, sizeof(struct raft_sync));
	raft->election_timer = (struct timer){ raft_election_due, raft };
	raft->flush_timer = (struct timer){ raft_flush, raft };
	raft->heartbeat_timer = (struct timer){ raft_heartbeat, raft };
	raft->form_timer = (struct timer){ raft_form_due, raft };
	raft->dial_timer = (struct timer){ raft_dial_due, raft };
	raft->leave_timer = (struct timer){ raft_leave_due, raft };
	/* The host has set the node_id to the one in the store's image. */
	g_assert(!opts->image->hard_state.node_id ||
		 opts->image->hard_state.node_id == raft_self(raft));
	raft_load(raft, opts->image);
	return raft;
}

void raft_free(struct raft *raft)
{
	if (!raft)
		return;
	timer_cancel(raft->node->timers, &raft->election_timer);
	timer_cancel(raft->node->timers, &raft->flush_timer);
	timer_cancel(raft->node->timers, &raft->heartbeat_timer);
	timer_cancel(raft->node->timers, &raft->form_timer);
	timer_cancel(raft->node->timers, &raft->dial_timer);
	timer_cancel(raft->node->timers, &raft->leave_timer);
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		raft_snapshot_unref(raft->peers[i].snapshot);
	raft_snapshot_unref(raft->snapshot);
	raft_incoming_clear(raft);
	raft_configs_clear(&raft->configs);
	raft_log_clear(&raft->log);
	g_array_unref(raft->syncs);
	g_hash_table_unref(raft->dialled);
	g_hash_table_unref(raft->advertised);
	g_hash_table_unref(raft->leaving);
	g_strfreev(raft->addresses);
	g_free(raft);
}

void raft_start(struct raft *raft)
{
	/*
	 * The replica may have acknowledged a leader just before its restart,
	 * so it must not vote within that leader's lease.
	 */
	raft->heard_us = raft->node->now_us;
	raft->leader_known_us = raft->node->now_us;
	if (raft->snapshot)
		raft_snapshot_restore(raft);
	raft_dial_due(raft, raft->node->now_us);
	raft_arm_election(raft);
	raft_form_start(raft);
	if (!raft->hard.node_id)
		raft_write_hard_state(raft, 0, 0);
}

void raft_peer_up(struct raft *raft, const struct link *link)
{
	struct raft_peer *peer = raft_peer(raft, link->peer.node_id);

	/* A replica that only restarted joins again. */
	g_hash_table_remove(raft->leaving, &link->peer.node_id);
	if (peer && raft->role == RAFT_LEADER)
		raft_replicate_to(raft, peer, true);
}

void raft_peer_down(struct raft *raft, const struct link *link)
{
	struct raft_peer *peer = raft_peer(raft, link->peer.node_id);

	if (!peer)
		return;
	/* Appends in flight are lost; a probe finds the next entry to send. */
	peer->nr_in_flight = 0;
	if (peer->match_index)
		peer->next_index = peer->match_index + 1;
	peer->probing = true;
}

bool raft_message(struct raft *raft, uint64_t from, uint32_t type,
		  const void *body)
{
	bool failed = raft->store_result != RESULT_OK;

	if (type == MSG_PEERS) {
		raft_on_peers(raft, body);
		return true;
	}
	if (type < MSG_VOTE || type > MSG_LEAVE)
		return false;
	if (failed)
		return true;
	switch (type) {
	case MSG_VOTE:
		raft_on_vote(raft, from, body);
		break;
	case MSG_VOTE_REPLY:
		raft_on_vote_reply(raft, from, body);
		break;
	case MSG_APPEND:
		raft_on_append(raft, from, body);
		break;
	case MSG_APPEND_REPLY:
		raft_on_append_reply(raft, from, body);
		break;
	case MSG_SNAPSHOT_PAGE:
		raft_on_page(raft, from, body);
		break;
	case MSG_SNAPSHOT_REPLY:
		raft_on_page_reply(raft, from, body);
		break;
	case MSG_FORM:
		raft_on_form(raft, from, body);
		break;
	case MSG_LEAVE:
		raft_on_leave(raft, from, body);
		break;
	default:
		raft_on_transfer(raft, body);
		break;
	}
	return true;
}

enum result raft_propose(struct raft *raft, struct record command, uint64_t tag)
{
	uint64_t size = record_size(command);
	enum result res;
	uint32_t slot;

	if (raft->role != RAFT_LEADER || raft->resigned)
		return RESULT_NOT_LEADER;
	if (raft->handover_since_us || !raft->announced ||
	    !raft_has_lease(raft))
		return RESULT_NO_QUORUM;
	if (command.type == CMD_MEMBERS) {
		res = raft_check_change(raft, command.body);
		if (res != RESULT_OK)
			return res;
	}
	if (size > RAFT_PROPOSALS_MAX_BYTES)
		return RESULT_TOO_LARGE;
	if (raft->nr_proposals == RAFT_PROPOSALS_MAX ||
	    raft->proposals_size + size > RAFT_PROPOSALS_MAX_BYTES)
		return RESULT_OVERLOADED;
	slot = (raft->proposals_head + raft->nr_proposals) % RAFT_PROPOSALS_MAX;
	raft->nr_proposals++;
	raft->proposals_size += size;
	raft->proposals[slot] = (struct raft_proposal){
		.index = raft_append_command(raft, command),
		.tag = tag,
		.size = size,
	};
	return RESULT_OK;
}

bool raft_is_leader(const struct raft *raft)
{
	return raft->role == RAFT_LEADER && raft->announced;
}

bool raft_may_grant(const struct raft *raft)
{
	return raft_is_leader(raft) && raft_has_lease(raft);
}

uint64_t raft_term(const struct raft *raft)
{
	return raft->hard.term;
}

uint64_t raft_commit_index(const struct raft *raft)
{
	return raft->commit_index;
}

uint64_t raft_leader_id(const struct raft *raft)
{
	return raft->leader_id;
}

const char *raft_leader_address(const struct raft *raft)
{
	const struct member *member;

	member = members_find(raft_config(raft), raft->leader_id);
	return member ? member->address : "";
}

const struct members *raft_members(const struct raft *raft)
{
	return raft_config(raft);
}

uint64_t raft_match_index(const struct raft *raft, uint64_t node_id)
{
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		if (raft->peers[i].node_id == node_id)
			return raft->peers[i].match_index;
	return node_id == raft_self(raft) ? raft->synced_index : 0;
}

enum result raft_store_result(const struct raft *raft)
{
	return raft->store_result;
}

void raft_step_down(struct raft *raft)
{
	raft->resigned = true;
	raft_leave(raft);
	raft_hand_over(raft);
}
