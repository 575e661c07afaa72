/**
 * @file test_raft_rules.c
 * One replica, number 1 of three voters, among scripted peers 2 and 3: each
 * test holds one rule that the storms of test_raft_faults.c may not reach.
 */

#include <string.h>

#include "raft.h"
#include "suite.h"

#define START_US UINT64_C(1000000)

struct sent {
	uint64_t to;
	struct record record;
};

struct lone {
	struct node *node;
	struct raft *raft;
	GArray *sent; /* of struct sent */
	uint64_t sync_nr; /* latest asked for */
	uint64_t applied;
	uint64_t now_us;
	struct store_image image;
	GArray *entries; /* of struct log_entry */
};

static const char *const lone_addresses[] = { "10.0.0.1:1", "10.0.0.2:1",
					      "10.0.0.3:1", NULL };

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

static void lone_leader_changed(void *ctx, bool leader)
{
}

static void lone_dropped(void *ctx, uint64_t tag)
{
}

static const struct raft_machine_ops lone_machine = {
	.apply = lone_apply,
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

static void lone_deliver(struct lone *lone, uint64_t from, uint32_t type,
			 const void *body)
{
	node_message(lone->node, from, type, body, lone->now_us);
}

static struct record lone_noop(void)
{
	return (struct record){ CMD_NOOP, schema_alloc(CMD_NOOP) };
}

static struct record lone_members(void)
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

/* Runs timers up to a later time. */
static void lone_wait_ms(struct lone *lone, uint64_t ms)
{
	uint64_t end_us = lone->now_us + ms * 1000;

	while (node_next_us(lone->node) <= end_us) {
		lone->now_us = MAX(lone->now_us, node_next_us(lone->node));
		node_run_timers(lone->node, lone->now_us);
	}
	lone->now_us = end_us;
	node_set_time(lone->node, end_us);
}

static void lone_synced(struct lone *lone)
{
	raft_synced(lone->raft, lone->sync_nr, RESULT_OK);
}

/* A replica in term 2 with entries 1 and 2 of term 1, or a fresh one. */
static void lone_new(struct lone *lone, bool fresh)
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
				  .control_addresses = lone_addresses };

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

static void lone_free(struct lone *lone)
{
	raft_free(lone->raft);
	node_free(lone->node);
	g_array_unref(lone->sent);
	g_array_unref(lone->entries);
}

static void lone_forget(struct lone *lone)
{
	g_array_set_size(lone->sent, 0);
}

/* Returns the latest message of the type sent to the peer, NULL if none. */
static const void *lone_last(const struct lone *lone, uint64_t to,
			     uint32_t type)
{
	for (guint i = lone->sent->len; i > 0; i--) {
		const struct sent *sent =
			&g_array_index(lone->sent, struct sent, i - 1);

		if (sent->to == to && sent->record.type == type)
			return sent->record.body;
	}
	return NULL;
}

static void lone_vote(struct lone *lone, struct vote vote)
{
	lone_forget(lone);
	lone_deliver(lone, 2, MSG_VOTE, &vote);
	lone_wait_ms(lone, 1);
}

static bool lone_granted(const struct lone *lone)
{
	const struct vote_reply *reply = lone_last(lone, 2, MSG_VOTE_REPLY);

	return reply && reply->granted;
}

/* Sends no-op entries of the term behind prev_index from peer 2. */
static void lone_receive(struct lone *lone, uint64_t term, uint64_t prev_index,
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

/* Returns the index the replica last acknowledged to peer 2, 0 if none. */
static uint64_t lone_acked(const struct lone *lone)
{
	const struct append_reply *reply = lone_last(lone, 2, MSG_APPEND_REPLY);

	return reply && reply->success ? reply->match_index : 0;
}

/* Makes the replica leader of term 3 with its no-op at index 3. */
static void lone_lead(struct lone *lone)
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

static void lone_acknowledge(struct lone *lone, uint64_t from,
			     uint64_t match_index, uint64_t sent_us)
{
	struct append_reply reply = { .term = 3,
				      .success = true,
				      .match_index = match_index,
				      .sent_us = sent_us };

	lone_deliver(lone, from, MSG_APPEND_REPLY, &reply);
}

/* Guards against a second vote in a term after a crash. */
START_TEST(test_vote_is_synced_first)
{
	struct lone lone;

	lone_new(&lone, false);
	lone_wait_ms(&lone, RAFT_ELECTION_MIN_MS);
	lone_vote(&lone, (struct vote){ 4, 2, 1, false, false });
	ck_assert_ptr_null(lone_last(&lone, 2, MSG_VOTE_REPLY));
	lone_synced(&lone);
	ck_assert(lone_granted(&lone));
	lone_free(&lone);
}
END_TEST

/* Guards against a candidacy that a crash forgets. */
START_TEST(test_candidacy_is_synced_first)
{
	struct lone lone;
	struct vote_reply pre = { .term = 3, .pre = true, .granted = true };

	lone_new(&lone, false);
	lone_wait_ms(&lone, RAFT_ELECTION_MIN_MS);
	lone_forget(&lone);
	lone_deliver(&lone, 2, MSG_VOTE_REPLY, &pre);
	lone_wait_ms(&lone, 1);
	ck_assert_ptr_null(lone_last(&lone, 3, MSG_VOTE));
	lone_synced(&lone);
	ck_assert_ptr_nonnull(lone_last(&lone, 3, MSG_VOTE));
	lone_free(&lone);
}
END_TEST

/* Guards against a new leader within the lease of the old one. */
START_TEST(test_no_vote_while_a_leader_is_heard)
{
	const struct vote vote = { 9, 9, 9, false, false };
	struct lone lone;

	lone_new(&lone, false);
	/* A restarted replica may have answered a leader just before. */
	lone_vote(&lone, vote);
	lone_synced(&lone);
	ck_assert(!lone_granted(&lone));
	ck_assert_uint_eq(raft_term(lone.raft), 2);
	lone_wait_ms(&lone, RAFT_ELECTION_MIN_MS - 10);
	lone_receive(&lone, 2, 2, 1, 0);
	lone_wait_ms(&lone, RAFT_ELECTION_MIN_MS - 5);
	lone_vote(&lone, vote);
	lone_synced(&lone);
	ck_assert(!lone_granted(&lone));
	lone_wait_ms(&lone, 5);
	lone_vote(&lone, vote);
	lone_synced(&lone);
	ck_assert(lone_granted(&lone));
	lone_free(&lone);
}
END_TEST

/* Guards against a leader without committed entries. */
START_TEST(test_no_vote_for_a_shorter_log)
{
	static const struct vote bad[] = {
		{ 5, 1, 1, false, false },
		{ 6, 9, 0, false, false },
		{ 7, 1, 1, true, false },
	};
	struct lone lone;

	lone_new(&lone, false);
	lone_wait_ms(&lone, RAFT_ELECTION_MIN_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		lone_vote(&lone, bad[i]);
		lone_synced(&lone);
		ck_assert(!lone_granted(&lone));
	}
	lone_vote(&lone, (struct vote){ 8, 2, 1, false, false });
	lone_synced(&lone);
	ck_assert(lone_granted(&lone));
	lone_free(&lone);
}
END_TEST

/* Guards against a replica with an empty disk that decides an election. */
START_TEST(test_fresh_replica_does_not_vote)
{
	struct lone lone;

	lone_new(&lone, true);
	lone_wait_ms(&lone, 2000);
	lone_vote(&lone, (struct vote){ 8, 2, 1, false, false });
	lone_synced(&lone);
	ck_assert_ptr_null(lone_last(&lone, 2, MSG_VOTE_REPLY));
	lone_free(&lone);
}
END_TEST

/* Guards against an acknowledged entry that a crash loses. */
START_TEST(test_entries_are_synced_first)
{
	struct lone lone;

	lone_new(&lone, false);
	lone_receive(&lone, 2, 2, 1, 3);
	ck_assert_uint_lt(lone_acked(&lone), 3);
	lone_synced(&lone);
	ck_assert_uint_eq(lone_acked(&lone), 5);
	lone_free(&lone);
}
END_TEST

/* Guards against syncs of replaced entries that count for the new ones. */
START_TEST(test_replaced_entries_are_synced_again)
{
	struct lone lone;

	lone_new(&lone, false);
	lone_receive(&lone, 2, 2, 1, 3);
	lone_synced(&lone);
	lone_receive(&lone, 3, 2, 1, 0);
	lone_synced(&lone);
	lone_receive(&lone, 3, 3, 2, 2);
	ck_assert_uint_lt(lone_acked(&lone), 4);
	lone_receive(&lone, 3, 5, 3, 0);
	ck_assert_uint_lt(lone_acked(&lone), 4);
	lone_synced(&lone);
	ck_assert_uint_eq(lone_acked(&lone), 5);
	lone_free(&lone);
}
END_TEST

/* Guards against the same while the first sync is under way. */
START_TEST(test_sync_under_way_covers_no_replaced_entries)
{
	struct lone lone;
	uint64_t old_nr;

	lone_new(&lone, false);
	lone_receive(&lone, 2, 2, 1, 3);
	lone_receive(&lone, 3, 2, 1, 0);
	old_nr = lone.sync_nr;
	lone_receive(&lone, 3, 3, 2, 2);
	ck_assert_uint_gt(lone.sync_nr, old_nr);
	raft_synced(lone.raft, old_nr, RESULT_OK);
	lone_receive(&lone, 3, 5, 3, 0);
	ck_assert_uint_lt(lone_acked(&lone), 4);
	lone_synced(&lone);
	ck_assert_uint_eq(lone_acked(&lone), 5);
	lone_free(&lone);
}
END_TEST

/* Guards against a commit that counts the leader's unsynced entries. */
START_TEST(test_leader_counts_its_own_sync)
{
	struct lone lone;

	lone_new(&lone, false);
	lone_lead(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	ck_assert_uint_eq(raft_commit_index(lone.raft), 0);
	lone_synced(&lone);
	ck_assert_uint_eq(raft_commit_index(lone.raft), 3);
	ck_assert_uint_eq(lone.applied, 3);
	lone_free(&lone);
}
END_TEST

/* Guards against a commit of an earlier term's entry that may be replaced. */
START_TEST(test_earlier_terms_do_not_commit_by_counting)
{
	struct lone lone;

	lone_new(&lone, false);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 2, lone.now_us);
	lone_acknowledge(&lone, 3, 2, lone.now_us);
	ck_assert_uint_eq(raft_commit_index(lone.raft), 0);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	ck_assert_uint_eq(raft_commit_index(lone.raft), 3);
	lone_free(&lone);
}
END_TEST

/* Guards against a lease counted from the arrival of a late answer. */
START_TEST(test_lease_counts_from_sending)
{
	struct lone lone;
	uint64_t sent_us;

	lone_new(&lone, false);
	lone_lead(&lone);
	lone_synced(&lone);
	sent_us = lone.now_us;
	lone_wait_ms(&lone, 300);
	lone_acknowledge(&lone, 2, 3, sent_us);
	ck_assert(raft_may_grant(lone.raft));
	lone_wait_ms(&lone, RAFT_LEADER_LEASE_MS - 301);
	ck_assert(raft_may_grant(lone.raft));
	lone_wait_ms(&lone, 1);
	ck_assert(!raft_may_grant(lone.raft));
	lone_free(&lone);
}
END_TEST

static void lone_form(struct lone *lone, uint64_t from, uint64_t vote_for,
		      uint64_t echo_us)
{
	struct form form = { .fresh = true,
			     .vote_for = vote_for,
			     .sent_us = 1,
			     .echo_us = echo_us };

	lone_deliver(lone, from, MSG_FORM, &form);
}

/* Guards against a second group while a vote for another one may count. */
START_TEST(test_formation_needs_every_vote_anew)
{
	struct lone lone;

	lone_new(&lone, true);
	for (uint32_t i = 0; i < 20; i++) {
		/* The last vote of replica 3 answers an old question. */
		lone_form(&lone, 2, 1, lone.now_us);
		lone_form(&lone, 3, 1, START_US);
		lone_wait_ms(&lone, RAFT_FORM_INTERVAL_MS);
		ck_assert_uint_eq(raft_members(lone.raft)->nr_members, 0);
	}
	for (uint32_t i = 0; i < 20; i++) {
		lone_form(&lone, 2, 1, lone.now_us);
		lone_form(&lone, 3, 3, lone.now_us);
		lone_wait_ms(&lone, RAFT_FORM_INTERVAL_MS);
		ck_assert_uint_eq(raft_members(lone.raft)->nr_members, 0);
	}
	for (uint32_t i = 0; i < 50; i++) {
		lone_form(&lone, 2, 1, lone.now_us);
		lone_form(&lone, 3, 1, lone.now_us);
		lone_wait_ms(&lone, RAFT_FORM_INTERVAL_MS);
	}
	ck_assert_uint_eq(raft_members(lone.raft)->nr_members, 1);
	/* One disk alone accepts nothing. */
	lone_synced(&lone);
	lone_wait_ms(&lone, 1);
	lone_synced(&lone);
	lone_wait_ms(&lone, 200);
	ck_assert(!raft_may_grant(lone.raft));
	lone_free(&lone);
}
END_TEST

/* Guards against a group that goes on with one disk after a second loss. */
START_TEST(test_voters_stay_a_majority_of_the_list)
{
	struct lone lone;
	struct hello stranger = { .node_id = 4, .role = ROLE_CONTROL };

	lone_new(&lone, false);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	/* The replica at the third address lost its disk... */
	node_peer_down(lone.node, 3, lone.now_us);
	TEXT_SET(stranger.address, lone_addresses[2]);
	node_peer_up(lone.node, &stranger, NULL, lone.now_us);
	lone_wait_ms(&lone, RAFT_HEARTBEAT_MS);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 4, lone.now_us);
	ck_assert_uint_eq(raft_commit_index(lone.raft), 4);
	/* ...and the one at the second address does before the repair ends. */
	node_peer_down(lone.node, 2, lone.now_us);
	stranger.node_id = 5;
	TEXT_SET(stranger.address, lone_addresses[1]);
	node_peer_up(lone.node, &stranger, NULL, lone.now_us);
	lone_wait_ms(&lone, RAFT_LEADER_LEASE_MS);
	for (uint32_t i = 0; i < 3; i++)
		ck_assert_uint_ne(raft_members(lone.raft)->members[i].node_id,
				  5);
	lone_free(&lone);
}
END_TEST

/* Puts another identity at the address of a peer. */
static void lone_replace_peer(struct lone *lone, uint64_t old_id,
			      uint64_t new_id)
{
	struct hello peer = { .node_id = new_id, .role = ROLE_CONTROL };

	TEXT_SET(peer.address, lone_addresses[old_id - 1]);
	node_peer_down(lone->node, old_id, lone->now_us);
	node_peer_up(lone->node, &peer, NULL, lone->now_us);
}

/* A leader with three voters and a committed log of three entries. */
static void lone_lead_all(struct lone *lone)
{
	lone_new(lone, false);
	lone_lead(lone);
	lone_synced(lone);
	lone_acknowledge(lone, 2, 3, lone->now_us);
	ck_assert_uint_eq(raft_commit_index(lone->raft), 3);
}

/* Guards against a voter that holds nothing of the log. */
START_TEST(test_learner_catches_up_first)
{
	struct lone lone;

	lone_lead_all(&lone);
	for (uint32_t i = 0; i < RAFT_CAUGHT_UP_ENTRIES; i++) {
		struct record noop = lone_noop();

		ck_assert_int_eq(raft_propose(lone.raft, noop, i + 1),
				 RESULT_OK);
		record_unref(noop);
	}
	lone_wait_ms(&lone, 1);
	lone_synced(&lone);
	lone_replace_peer(&lone, 3, 4);
	for (uint32_t i = 0; i < 10; i++) {
		lone_acknowledge(&lone, 2, 4 + RAFT_CAUGHT_UP_ENTRIES,
				 lone.now_us);
		lone_acknowledge(&lone, 4, 2, lone.now_us);
		lone_wait_ms(&lone, RAFT_HEARTBEAT_MS);
		lone_synced(&lone);
	}
	ck_assert_uint_eq(raft_commit_index(lone.raft),
			  4 + RAFT_CAUGHT_UP_ENTRIES);
	ck_assert(!raft_members(lone.raft)->members[2].voter);
	lone_acknowledge(&lone, 4, 4 + RAFT_CAUGHT_UP_ENTRIES, lone.now_us);
	lone_acknowledge(&lone, 2, 4 + RAFT_CAUGHT_UP_ENTRIES, lone.now_us);
	lone_wait_ms(&lone, RAFT_HEARTBEAT_MS);
	ck_assert(raft_members(lone.raft)->members[2].voter);
	ck_assert_uint_eq(raft_members(lone.raft)->members[2].node_id, 4);
	lone_free(&lone);
}
END_TEST

/* Guards against a change made before the one before it is committed. */
START_TEST(test_one_change_at_a_time)
{
	struct lone lone;

	lone_lead_all(&lone);
	lone_replace_peer(&lone, 3, 4);
	for (uint32_t i = 0; i < 10; i++) {
		/* The learner has all, but voter 2 lacks the change. */
		lone_acknowledge(&lone, 2, 3, lone.now_us);
		lone_acknowledge(&lone, 4, 4, lone.now_us);
		lone_wait_ms(&lone, RAFT_HEARTBEAT_MS);
		lone_synced(&lone);
	}
	ck_assert_uint_eq(raft_members(lone.raft)->members[2].node_id, 4);
	ck_assert(!raft_members(lone.raft)->members[2].voter);
	ck_assert_uint_eq(raft_match_index(lone.raft, 1), 4);
	lone_free(&lone);
}
END_TEST

static bool lone_page(struct lone *lone, uint32_t page, bool last)
{
	struct snapshot_record record = { lone_members() };
	struct snapshot_page body = { .term = 2,
				      .last_index = 50,
				      .last_term = 2,
				      .page = page,
				      .last = last,
				      .nr_records = page ? 0 : 1,
				      .records = &record };
	const struct snapshot_reply *reply;

	lone_forget(lone);
	lone_deliver(lone, 2, MSG_SNAPSHOT_PAGE, &body);
	record_unref(record.record);
	reply = lone_last(lone, 2, MSG_SNAPSHOT_REPLY);
	return reply && reply->accepted;
}

/* Guards against a snapshot put together without one of its pages. */
START_TEST(test_pages_are_in_order)
{
	struct lone lone;

	lone_new(&lone, false);
	ck_assert(!lone_page(&lone, 1, false));
	ck_assert(lone_page(&lone, 0, false));
	ck_assert(!lone_page(&lone, 2, true));
	ck_assert_uint_eq(raft_commit_index(lone.raft), 0);
	ck_assert(lone_page(&lone, 1, false));
	ck_assert(lone_page(&lone, 1, false)); /* a duplicate */
	ck_assert_uint_eq(raft_commit_index(lone.raft), 0);
	lone_free(&lone);
}
END_TEST

SUITE_MAIN("raft_rules", test_vote_is_synced_first,
	   test_candidacy_is_synced_first, test_no_vote_while_a_leader_is_heard,
	   test_no_vote_for_a_shorter_log, test_fresh_replica_does_not_vote,
	   test_entries_are_synced_first,
	   test_replaced_entries_are_synced_again,
	   test_sync_under_way_covers_no_replaced_entries,
	   test_leader_counts_its_own_sync,
	   test_earlier_terms_do_not_commit_by_counting,
	   test_lease_counts_from_sending, test_formation_needs_every_vote_anew,
	   test_voters_stay_a_majority_of_the_list,
	   test_learner_catches_up_first, test_one_change_at_a_time,
	   test_pages_are_in_order)
