/**
 * @file test_raft_rules.c
 * One replica, number 1 of three voters, with scripted peers 2 and 3. Each test
 * checks a rule that the random faults of test_raft_faults.c may not exercise.
 */

#include "command.h"
#include "raft_lone.h"
#include "suite.h"

/* Guards against a second vote in the same term after a crash. */
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

/* Guards against a candidate whose vote for itself is lost in a crash. */
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

/* Guards against a new leader during the lease of the old one. */
START_TEST(test_no_vote_while_a_leader_is_heard)
{
	const struct vote vote = { 9, 9, 9, false, false };
	struct lone lone;

	lone_new(&lone, false);
	/* The replica may have answered a leader just before its restart. */
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

/* Guards against a leader that lacks committed entries. */
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

/* Guards against a vote by a replica with an empty disk. */
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

/* Guards against an acknowledged entry that is lost in a crash. */
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

/* Guards against a sync of replaced entries that counts for the new ones. */
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

/* Guards against the same while the first sync is in progress. */
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

/* Guards against a lease that is counted from the arrival of a late answer. */
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

/* Guards against a second group formed with a vote for another candidate. */
START_TEST(test_formation_needs_every_vote_anew)
{
	struct lone lone;

	lone_new(&lone, true);
	for (uint32_t i = 0; i < 20; i++) {
		/* Replica 3 echoes an old message, so its vote is outdated. */
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
	/* A group with a single disk accepts no commands. */
	lone_synced(&lone);
	lone_wait_ms(&lone, 1);
	lone_synced(&lone);
	lone_wait_ms(&lone, 200);
	ck_assert(!raft_may_grant(lone.raft));
	lone_free(&lone);
}
END_TEST

/* Guards against a group that continues with one disk after a second loss. */
START_TEST(test_voters_stay_a_majority_of_the_list)
{
	struct lone lone;
	struct hello stranger = { .node_id = 4, .role = ROLE_CONTROL };

	lone_new(&lone, false);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	/* The replica at the third address loses its disk. */
	node_peer_down(lone.node, 3, lone.now_us);
	TEXT_SET(stranger.address, lone_addresses[2]);
	node_peer_up(lone.node, &stranger, NULL, lone.now_us);
	lone_wait_ms(&lone, RAFT_HEARTBEAT_MS);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 4, lone.now_us);
	ck_assert_uint_eq(raft_commit_index(lone.raft), 4);
	/* The one at the second address does too, before the third rejoins. */
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

/* Connects a replica with another node_id from the address of a peer. */
static void lone_replace_peer(struct lone *lone, uint64_t old_id,
			      uint64_t new_id)
{
	struct hello peer = { .node_id = new_id, .role = ROLE_CONTROL };

	TEXT_SET(peer.address, lone_addresses[old_id - 1]);
	node_peer_down(lone->node, old_id, lone->now_us);
	node_peer_up(lone->node, &peer, NULL, lone->now_us);
}

/* Makes the replica a leader with three voters and three committed entries. */
static void lone_lead_all(struct lone *lone)
{
	lone_new(lone, false);
	lone_lead(lone);
	lone_synced(lone);
	lone_acknowledge(lone, 2, 3, lone->now_us);
	ck_assert_uint_eq(raft_commit_index(lone->raft), 3);
}

/* Guards against a learner that becomes a voter without the log. */
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

/* Guards against a change of members before the last one is committed. */
START_TEST(test_one_change_at_a_time)
{
	struct lone lone;

	lone_lead_all(&lone);
	lone_replace_peer(&lone, 3, 4);
	for (uint32_t i = 0; i < 10; i++) {
		/* The learner has all entries, but voter 2 lacks the change. */
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

/* Lets time pass while the given peers acknowledge all entries. */
static void lone_run_with(struct lone *lone, const uint64_t *peers,
			  uint32_t nr_peers, uint64_t ms)
{
	uint64_t end_us = lone->now_us + ms * 1000;

	while (lone->now_us < end_us) {
		lone_wait_ms(lone, RAFT_HEARTBEAT_MS);
		lone_synced(lone);
		for (uint32_t i = 0; i < nr_peers; i++) {
			lone_acknowledge(lone, peers[i],
					 raft_match_index(lone->raft, 1),
					 lone->now_us);
		}
	}
}

/* Connects a replica from an address that isn't listed. */
static void lone_add_peer(struct lone *lone, uint64_t node_id)
{
	struct hello peer = { .node_id = node_id, .role = ROLE_CONTROL };

	TEXT_SET(peer.address, "10.0.0.4:1");
	node_peer_up(lone->node, &peer, NULL, lone->now_us);
}

static bool lone_votes(const struct lone *lone, uint64_t node_id)
{
	const struct members *members = raft_members(lone->raft);

	for (uint32_t i = 0; i < members->nr_members; i++)
		if (members->members[i].node_id == node_id)
			return members->members[i].voter;
	return false;
}

/*
 * Connects replica 4 one second after replica 3 was lost, and checks that it is
 * a voter in its place within 4 s, after which another may be lost.
 */
static void lone_replaced(struct lone *lone)
{
	const uint64_t peers[] = { 2, 4 };

	lone_run_with(lone, peers, 1, 1000);
	lone_add_peer(lone, 4);
	lone_run_with(lone, peers, 2, 3500);
	ck_assert(lone_votes(lone, 4));
	ck_assert(!lone_votes(lone, 3));
	ck_assert_uint_eq(raft_members(lone->raft)->nr_members, 3);
}

/*
 * Guards against a lost voter that stays in the group after a new one has
 * joined: with one of four voters absent, another loss stops the group.
 */
START_TEST(test_replaced_voter_leaves)
{
	struct lone lone;

	lone_new_open(&lone, 1);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	node_peer_down(lone.node, 3, lone.now_us);
	lone_replaced(&lone);
	lone_free(&lone);
}
END_TEST

/*
 * Guards against the same if the old voter has lost power: nothing closes the
 * connection that it had opened.
 */
START_TEST(test_replaced_silent_voter_leaves)
{
	struct lone lone;

	lone_new_open(&lone, 1);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	lone_replaced(&lone);
	lone_free(&lone);
}
END_TEST

/*
 * Guards against a voter that lost power and its disk, and can't rejoin until
 * its old connection, which nothing closes, has timed out.
 */
START_TEST(test_wiped_voter_rejoins_at_once)
{
	struct hello peer = { .node_id = 4, .role = ROLE_CONTROL };
	const uint64_t peers[] = { 2, 4 };
	struct lone lone;

	lone_new_open(&lone, 1);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	lone_run_with(&lone, peers, 1, 2000);
	TEXT_SET(peer.address, lone_addresses[2]);
	node_peer_up(lone.node, &peer, NULL, lone.now_us);
	lone_run_with(&lone, peers, 2, 1000);
	ck_assert(lone_votes(&lone, 4));
	ck_assert_uint_eq(raft_members(lone.raft)->nr_members, 3);
	lone_free(&lone);
}
END_TEST

/*
 * Guards against entries that are acknowledged on no more disks than may be
 * lost: of five voters, two were lost, and a quorum of the other three is two.
 */
START_TEST(test_commit_outlives_the_losses)
{
	struct record noop;
	struct lone lone;

	lone_new_open(&lone, 2);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	lone_acknowledge(&lone, 3, 3, lone.now_us);
	noop = lone_noop();
	if (raft_propose(lone.raft, noop, 1) == RESULT_OK) {
		lone_wait_ms(&lone, 1);
		lone_synced(&lone);
		lone_acknowledge(&lone, 2, 4, lone.now_us);
		ck_assert_uint_lt(raft_commit_index(lone.raft), 4);
	}
	record_unref(noop);
	lone_free(&lone);
}
END_TEST

/* Guards against an absent voter that is removed without a replacement. */
START_TEST(test_lone_absent_voter_stays)
{
	const uint64_t peers[] = { 2 };
	struct lone lone;

	lone_new_open(&lone, 1);
	lone_lead(&lone);
	lone_synced(&lone);
	lone_acknowledge(&lone, 2, 3, lone.now_us);
	node_peer_down(lone.node, 3, lone.now_us);
	lone_run_with(&lone, peers, 1, UINT64_C(2) * RAFT_MEMBER_GONE_MS);
	ck_assert(lone_votes(&lone, 3));
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

/* Guards against a snapshot that is installed without one of its pages. */
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

/* Guards against a log of large entries that uses too much memory. */
START_TEST(test_large_entries_bring_a_snapshot)
{
	const uint32_t entry_bytes = 1u << 20;
	struct lone lone;

	lone_new(&lone, false);
	for (uint64_t index = 3; index < 30; index++) {
		struct claim_record *claim = schema_alloc(CMD_CLAIM);
		struct log_entry entry = { index, 2, { CMD_CLAIM, claim } };
		struct append append = { .term = 2,
					 .prev_index = index - 1,
					 .prev_term = index == 3 ? 1 : 2,
					 .commit_index = index,
					 .nr_entries = 1,
					 .entries = &entry };

		claim->body =
			g_bytes_new_take(g_malloc0(entry_bytes), entry_bytes);
		lone_deliver(&lone, 2, MSG_APPEND, &append);
		record_unref(entry.command);
	}
	ck_assert_uint_eq(raft_commit_index(lone.raft), 29);
	ck_assert_uint_eq(lone.nr_snapshots,
			  27 * entry_bytes / RAFT_SNAPSHOT_BYTES);
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
	   test_commit_outlives_the_losses, test_replaced_voter_leaves,
	   test_replaced_silent_voter_leaves, test_wiped_voter_rejoins_at_once,
	   test_lone_absent_voter_stays, test_pages_are_in_order,
	   test_large_entries_bring_a_snapshot)
