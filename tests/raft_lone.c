#include "raft_lone.h"

#include <check.h>
#include <string.h>

const char *const lone_addresses[] = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1",
				       NULL };

static void sent_clear(void *data)
{
	record_unref(((struct sent *)data)->record);
}

static void entry_clear(void *data)
{
	record_unref(((struct log_entry *)data)->command);
}

static void lone_send(void *ctx, uint64_t node_id, uint32_t type,
		      const void *body)
{
	struct lone *lone = ctx;
	struct sent sent = { node_id, { type, schema_dup(type, body) } };

	g_array_append_val(lone->sent, sent);
}

static void lone_dial(void *ctx, const char *address)
{
}

static void lone_close_peer(void *ctx, uint64_t node_id)
{
}

static uint64_t lone_random(void *ctx)
{
	return 0;
}

static void lone_log(void *ctx, const char *line)
{
}

static const struct host_ops lone_host = {
	.send = lone_send,
	.dial = lone_dial,
	.close_peer = lone_close_peer,
	.random_u64 = lone_random,
	.log_line = lone_log,
};

static void lone_write_hard(void *ctx, const struct hard_state *state)
{
}

static void lone_append(void *ctx, const struct log_entry *entry)
{
}

static void lone_truncate(void *ctx, uint64_t index)
{
}

static void lone_write_snapshot(void *ctx, const struct snapshot_head *head,
				const struct snapshot_record *records)
{
	((struct lone *)ctx)->nr_snapshots++;
}

static void lone_sync(void *ctx, uint64_t sync_nr)
{
	((struct lone *)ctx)->sync_nr = sync_nr;
}

static const struct store_ops lone_store = {
	.write_hard_state = lone_write_hard,
	.append = lone_append,
	.truncate = lone_truncate,
	.write_snapshot = lone_write_snapshot,
	.sync = lone_sync,
};

static void lone_apply(void *ctx, const struct log_entry *entry, uint64_t tag)
{
	((struct lone *)ctx)->applied = entry->index;
}

static struct snapshot_record *lone_snapshot(void *ctx, uint32_t *nr)
{
	*nr = 0;
	return NULL;
}

static void lone_leader_changed(void *ctx, bool leader)
{
}

static void lone_dropped(void *ctx, uint64_t tag)
{
}

static const struct raft_machine_ops lone_machine = {
	.apply = lone_apply,
	.snapshot = lone_snapshot,
	.leader_changed = lone_leader_changed,
	.dropped = lone_dropped,
};

static void lone_start_role(void *role)
{
	raft_start(((struct lone *)role)->raft);
}

static void lone_message(void *role, uint64_t from, uint32_t type,
			 const void *body)
{
	raft_message(((struct lone *)role)->raft, from, type, body);
}

static void lone_peer_down(void *role, const struct link *link)
{
	raft_peer_down(((struct lone *)role)->raft, link);
}

static const struct role_ops lone_role = {
	.role = ROLE_CONTROL,
	.start = lone_start_role,
	.peer_down = lone_peer_down,
	.message = lone_message,
};

void lone_deliver(struct lone *lone, uint64_t from, uint32_t type,
		  const void *body)
{
	node_message(lone->node, from, type, body, lone->now_us);
}

struct record lone_noop(void)
{
	return (struct record){ CMD_NOOP, schema_alloc(CMD_NOOP) };
}

struct record lone_members(void)
{
	struct members *members = schema_alloc(CMD_MEMBERS);

	members->nr_members = 3;
	members->members = g_new0(struct member, 3);
	for (uint32_t i = 0; i < 3; i++) {
		members->members[i].node_id = i + 1;
		members->members[i].voter = true;
		TEXT_SET(members->members[i].address, lone_addresses[i]);
	}
	return (struct record){ CMD_MEMBERS, members };
}

static void lone_put(struct lone *lone, uint64_t term, struct record command)
{
	struct log_entry entry = { lone->entries->len + 1, term, command };

	g_array_append_val(lone->entries, entry);
}

void lone_wait_ms(struct lone *lone, uint64_t ms)
{
	uint64_t end_us = lone->now_us + ms * 1000;

	while (node_next_us(lone->node) <= end_us) {
		lone->now_us = MAX(lone->now_us, node_next_us(lone->node));
		node_run_timers(lone->node, lone->now_us);
	}
	lone->now_us = end_us;
	node_set_time(lone->node, end_us);
}

void lone_synced(struct lone *lone)
{
	raft_synced(lone->raft, lone->sync_nr, RESULT_OK);
}

static void lone_boot(struct lone *lone, bool fresh, uint32_t losses)
{
	struct node_opts node_opts = { .host = &lone_host,
				       .host_ctx = lone,
				       .node_id = 1,
				       .now_us = START_US };
	struct raft_opts opts = { .store = &lone_store,
				  .store_ctx = lone,
				  .machine = &lone_machine,
				  .machine_ctx = lone,
				  .image = &lone->image,
				  .control_addresses = lone_addresses,
				  .open = losses > 0,
				  .losses = losses };

	memset(lone, 0, sizeof(*lone));
	lone->now_us = START_US;
	lone->sent = g_array_new(FALSE, FALSE, sizeof(struct sent));
	g_array_set_clear_func(lone->sent, sent_clear);
	lone->entries = g_array_new(FALSE, FALSE, sizeof(struct log_entry));
	g_array_set_clear_func(lone->entries, entry_clear);
	if (!fresh) {
		lone_put(lone, 1, lone_members());
		lone_put(lone, 1, lone_noop());
		lone->image.hard_state = (struct hard_state){ 1, 2, 0 };
		lone->image.nr_entries = lone->entries->len;
		lone->image.entries = (void *)lone->entries->data;
	}
	TEXT_SET(node_opts.address, lone_addresses[0]);
	lone->node = node_new(&node_opts);
	lone->raft = raft_new(lone->node, &opts);
	node_set_role(lone->node, &lone_role, lone);
	node_start(lone->node, START_US);
	for (uint32_t i = 1; i < 3; i++) {
		struct hello peer = { .node_id = i + 1, .role = ROLE_CONTROL };

		TEXT_SET(peer.address, lone_addresses[i]);
		node_peer_up(lone->node, &peer, NULL, START_US);
	}
	lone_wait_ms(lone, 1);
	lone_synced(lone);
}

void lone_new(struct lone *lone, bool fresh)
{
	lone_boot(lone, fresh, 0);
}

void lone_new_open(struct lone *lone, uint32_t losses)
{
	lone_boot(lone, false, losses);
}

void lone_free(struct lone *lone)
{
	raft_free(lone->raft);
	node_free(lone->node);
	g_array_unref(lone->sent);
	g_array_unref(lone->entries);
}

void lone_forget(struct lone *lone)
{
	g_array_set_size(lone->sent, 0);
}

const void *lone_last(const struct lone *lone, uint64_t to, uint32_t type)
{
	for (guint i = lone->sent->len; i > 0; i--) {
		const struct sent *sent =
			&g_array_index(lone->sent, struct sent, i - 1);

		if (sent->to == to && sent->record.type == type)
			return sent->record.body;
	}
	return NULL;
}

void lone_vote(struct lone *lone, struct vote vote)
{
	lone_forget(lone);
	lone_deliver(lone, 2, MSG_VOTE, &vote);
	lone_wait_ms(lone, 1);
}

bool lone_granted(const struct lone *lone)
{
	const struct vote_reply *reply = lone_last(lone, 2, MSG_VOTE_REPLY);

	return reply && reply->granted;
}

void lone_receive(struct lone *lone, uint64_t term, uint64_t prev_index,
		  uint64_t prev_term, uint32_t nr)
{
	struct log_entry entries[8];
	struct append append = { .term = term,
				 .prev_index = prev_index,
				 .prev_term = prev_term,
				 .sent_us = lone->now_us,
				 .nr_entries = nr,
				 .entries = entries };

	for (uint32_t i = 0; i < nr; i++)
		entries[i] = (struct log_entry){ prev_index + 1 + i, term,
						 lone_noop() };
	lone_forget(lone);
	lone_deliver(lone, 2, MSG_APPEND, &append);
	lone_wait_ms(lone, 1);
	for (uint32_t i = 0; i < nr; i++)
		record_unref(entries[i].command);
}

uint64_t lone_acked(const struct lone *lone)
{
	const struct append_reply *reply = lone_last(lone, 2, MSG_APPEND_REPLY);

	return reply && reply->success ? reply->match_index : 0;
}

void lone_lead(struct lone *lone)
{
	struct vote_reply pre = { .term = 3, .pre = true, .granted = true };
	struct vote_reply vote = { .term = 3, .granted = true };

	lone_wait_ms(lone, RAFT_ELECTION_MIN_MS);
	lone_deliver(lone, 2, MSG_VOTE_REPLY, &pre);
	lone_wait_ms(lone, 1);
	lone_synced(lone);
	lone_forget(lone);
	lone_deliver(lone, 2, MSG_VOTE_REPLY, &vote);
	lone_wait_ms(lone, 1);
	ck_assert_ptr_nonnull(lone_last(lone, 2, MSG_APPEND));
}

void lone_acknowledge(struct lone *lone, uint64_t from, uint64_t match_index,
		      uint64_t sent_us)
{
	struct append_reply reply = { .term = 3,
				      .success = true,
				      .match_index = match_index,
				      .sent_us = sent_us };

	lone_deliver(lone, from, MSG_APPEND_REPLY, &reply);
}
