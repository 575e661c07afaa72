#include "raft_impl.h"

#include "record_size.h"

/* Snapshots of the state machine and their transfer in pages. */

struct raft_snapshot *raft_snapshot_new(const struct snapshot_head *head,
					const struct snapshot_record *records)
{
	struct raft_snapshot *snapshot = g_new0(struct raft_snapshot, 1);

	g_assert(head->nr_records && records[0].record.type == CMD_MEMBERS);
	snapshot->refs = 1;
	snapshot->head = *head;
	snapshot->records = g_new0(struct snapshot_record, head->nr_records);
	for (uint64_t i = 0; i < head->nr_records; i++)
		snapshot->records[i].record = record_ref(records[i].record);
	return snapshot;
}

void raft_snapshot_unref(struct raft_snapshot *snapshot)
{
	if (!snapshot || --snapshot->refs)
		return;
	for (uint64_t i = 0; i < snapshot->head.nr_records; i++)
		record_unref(snapshot->records[i].record);
	g_free(snapshot->records);
	g_free(snapshot);
}

void raft_snapshot_restore(struct raft *raft)
{
	const struct raft_snapshot *snapshot = raft->snapshot;

	raft->machine->restore(raft->machine_ctx, snapshot->records + 1,
			       (uint32_t)snapshot->head.nr_records - 1);
}

static void raft_snapshot_store(struct raft *raft,
				struct raft_snapshot *snapshot)
{
	raft_snapshot_unref(raft->snapshot);
	raft->snapshot = snapshot;
	raft->log_bytes = 0;
	raft->store->write_snapshot(raft->store_ctx, &snapshot->head,
				    snapshot->records);
	raft_schedule_flush(raft);
}

/*
 * Returns the new base index of the log in memory after a snapshot at @a index.
 * Retains some of the covered entries for followers that are only a little
 * behind.
 */
static uint64_t raft_retained_base(const struct raft *raft, uint64_t index)
{
	uint64_t floor = raft->snapshot_entries / RAFT_LOG_KEEP_DIVISOR;
	uint64_t bytes = 0;

	floor = MAX(raft->log.base_index, index - MIN(index, floor));
	while (index > floor) {
		bytes += record_size(raft_log_at(&raft->log, index)->command);
		if (bytes > RAFT_SNAPSHOT_BYTES / RAFT_LOG_KEEP_DIVISOR)
			break;
		index--;
	}
	return index;
}

void raft_snapshot_if_due(struct raft *raft)
{
	uint64_t index = raft->applied_index;
	uint64_t covered = raft->snapshot ? raft->snapshot->head.last_index : 0;
	struct raft_snapshot *snapshot;
	struct snapshot_record *records;
	uint32_t nr = 0;

	if (index == covered || (index - covered < raft->snapshot_entries &&
				 raft->log_bytes < RAFT_SNAPSHOT_BYTES))
		return;
	records = raft->machine->snapshot(raft->machine_ctx, &nr);
	snapshot = g_new0(struct raft_snapshot, 1);
	snapshot->refs = 1;
	snapshot->head.last_index = index;
	raft_log_term(&raft->log, index, &snapshot->head.last_term);
	snapshot->head.nr_records = (uint64_t)nr + 1;
	snapshot->records = g_new0(struct snapshot_record, (size_t)nr + 1);
	snapshot->records[0].record =
		record_ref(raft_configs_at(&raft->configs, index)->members);
	for (uint32_t i = 0; i < nr; i++)
		snapshot->records[i + 1] = records[i];
	g_free(records);
	raft_snapshot_store(raft, snapshot);
	raft_log_compact(&raft->log, raft_retained_base(raft, index));
	raft_configs_compact(&raft->configs, raft->log.base_index);
	counter_add(raft->node->counters, "raft_snapshots", 1);
	raft_emit_event(raft, "raft-snapshot");
}

/* ---- leader ---- */

static void raft_send_page(struct raft *raft, struct raft_peer *peer)
{
	const struct raft_snapshot *snapshot = peer->snapshot;
	uint64_t left = snapshot->head.nr_records - peer->page_record;
	struct snapshot_page page = {
		.term = raft->hard.term,
		.last_index = snapshot->head.last_index,
		.last_term = snapshot->head.last_term,
		.page = peer->page,
		.sent_us = raft->node->now_us,
		.records = snapshot->records + peer->page_record,
	};
	uint64_t size = 0;

	while (page.nr_records < left) {
		size += record_size(page.records[page.nr_records].record);
		if (page.nr_records && size > raft->page_bytes)
			break;
		page.nr_records++;
	}
	page.last = page.nr_records == left;
	peer->page_records = page.nr_records;
	peer->page_sent_us = raft->node->now_us;
	node_send(raft->node, peer->node_id, MSG_SNAPSHOT_PAGE, &page);
}

static void raft_transfer_begin(struct raft *raft, struct raft_peer *peer)
{
	raft_snapshot_unref(peer->snapshot);
	peer->snapshot = raft->snapshot;
	peer->snapshot->refs++;
	peer->page = 0;
	peer->page_record = 0;
	raft_send_page(raft, peer);
}

void raft_snapshot_send(struct raft *raft, struct raft_peer *peer)
{
	if (!peer->snapshot)
		raft_transfer_begin(raft, peer);
	else if (raft->node->now_us - peer->page_sent_us >=
		 RAFT_PAGE_RESEND_MS * US_PER_MS)
		raft_send_page(raft, peer);
}

void raft_on_page_reply(struct raft *raft, uint64_t from,
			const struct snapshot_reply *reply)
{
	struct raft_peer *peer = raft_peer(raft, from);

	if (reply->term > raft->hard.term) {
		raft_follow(raft, reply->term, 0);
		return;
	}
	if (raft->role != RAFT_LEADER || !peer || reply->term < raft->hard.term)
		return;
	peer->acked_us = MAX(peer->acked_us, reply->sent_us);
	if (!peer->snapshot ||
	    reply->last_index != peer->snapshot->head.last_index)
		return;
	if (!reply->accepted) {
		/* The receiver lacks earlier pages, e.g. after a restart. */
		if (peer->page)
			raft_transfer_begin(raft, peer);
		return;
	}
	if (reply->page != peer->page)
		return;
	peer->page++;
	peer->page_record += peer->page_records;
	if (peer->page_record < peer->snapshot->head.nr_records) {
		raft_send_page(raft, peer);
		return;
	}
	peer->next_index = peer->snapshot->head.last_index + 1;
	peer->nr_in_flight = 0;
	peer->probing = true;
	peer->reset_us = raft->node->now_us;
	g_clear_pointer(&peer->snapshot, raft_snapshot_unref);
	raft_replicate_to(raft, peer, true);
}

/* ---- follower ---- */

static void raft_incoming_record_clear(void *data)
{
	struct snapshot_record *record = data;

	record_unref(record->record);
}

void raft_incoming_clear(struct raft *raft)
{
	g_clear_pointer(&raft->incoming.records, g_array_unref);
}

static void raft_install_snapshot(struct raft *raft)
{
	struct raft_incoming *in = &raft->incoming;
	struct snapshot_head head = { in->last_index, in->last_term,
				      in->records->len };
	struct raft_snapshot *snapshot;
	uint64_t term;

	snapshot = raft_snapshot_new(&head, (void *)in->records->data);
	if (raft_log_term(&raft->log, head.last_index, &term) &&
	    term == head.last_term) {
		raft_log_compact(&raft->log, head.last_index);
		raft_configs_compact(&raft->configs, head.last_index);
	} else {
		raft_log_reset(&raft->log, head.last_index, head.last_term);
		raft_configs_reset(&raft->configs, head.last_index,
				   snapshot->records[0].record);
		/* Syncs in progress cover entries that were just dropped. */
		for (uint32_t i = 0; i < raft->syncs->len; i++)
			g_array_index(raft->syncs, struct raft_sync, i)
				.last_index = 0;
		raft->synced_index = 0;
	}
	raft->commit_index = raft->applied_index = head.last_index;
	raft->verified_index = MAX(raft->verified_index, head.last_index);
	raft_snapshot_store(raft, snapshot);
	raft_snapshot_restore(raft);
	raft_reload_peers(raft);
	raft->ack_due = true;
	raft_emit_event(raft, "raft-snapshot-installed");
}

static bool raft_accept_page(struct raft *raft, uint64_t from,
			     const struct snapshot_page *page)
{
	struct raft_incoming *in = &raft->incoming;

	if (page->last_index <= raft->commit_index)
		return true;
	if (page->page == 0) {
		raft_incoming_clear(raft);
		in->from = from;
		in->last_index = page->last_index;
		in->last_term = page->last_term;
		in->next_page = 0;
		in->records = g_array_new(FALSE, FALSE,
					  sizeof(struct snapshot_record));
		g_array_set_clear_func(in->records, raft_incoming_record_clear);
	}
	if (!in->records || in->from != from ||
	    in->last_index != page->last_index)
		return false;
	if (page->page < in->next_page)
		return true;
	if (page->page > in->next_page)
		return false;
	in->next_page++;
	for (uint32_t i = 0; i < page->nr_records; i++) {
		struct snapshot_record record = page->records[i];

		record_ref(record.record);
		g_array_append_val(in->records, record);
	}
	if (!page->last)
		return true;
	if (in->records->len &&
	    g_array_index(in->records, struct snapshot_record, 0).record.type ==
		    CMD_MEMBERS)
		raft_install_snapshot(raft);
	raft_incoming_clear(raft);
	return true;
}

void raft_on_page(struct raft *raft, uint64_t from,
		  const struct snapshot_page *page)
{
	struct snapshot_reply reply = {
		.last_index = page->last_index,
		.page = page->page,
		.sent_us = page->sent_us,
	};

	if (page->term >= raft->hard.term && raft->role != RAFT_LEADER) {
		if (page->term > raft->hard.term ||
		    raft->role != RAFT_FOLLOWER || raft->leader_id != from)
			raft_follow(raft, page->term, from);
		raft_note_leader(raft);
		raft->heard_us = raft->node->now_us;
		raft_arm_election(raft);
		reply.accepted = raft_accept_page(raft, from, page);
	}
	reply.term = raft->hard.term;
	node_send(raft->node, from, MSG_SNAPSHOT_REPLY, &reply);
}
