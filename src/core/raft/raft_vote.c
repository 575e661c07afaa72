#include "raft_impl.h"

/*
 * Elections. A voter grants no vote until RAFT_ELECTION_MIN_MS after it
 * received the last message of a leader. A leader's lease is shorter and counts
 * from the time at which the leader sent that message, so the lease ends before
 * a quorum can elect another leader. A candidate first asks for promises of
 * votes in a pre-vote, which changes no term, so a partitioned replica disturbs
 * no leader.
 */

static bool raft_heard_leader_recently(const struct raft *raft)
{
	return raft->role == RAFT_LEADER ||
	       raft->node->now_us - raft->heard_us <
		       RAFT_ELECTION_MIN_MS * US_PER_MS;
}

static bool raft_vote_is_up_to_date(const struct raft *raft,
				    const struct vote *vote)
{
	uint64_t last_term = raft_log_last_term(&raft->log);

	if (vote->last_term != last_term)
		return vote->last_term > last_term;
	return vote->last_index >= raft_log_last_index(&raft->log);
}

static void raft_send_votes(struct raft *raft)
{
	bool pre = raft->role == RAFT_PRE_CANDIDATE;
	struct vote vote = {
		.term = raft->hard.term + pre,
		.last_index = raft_log_last_index(&raft->log),
		.last_term = raft_log_last_term(&raft->log),
		.pre = pre,
		.transfer = raft->transfer,
	};

	raft->votes_due = false;
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		if (members_is_voter(raft_config(raft), raft->peers[i].node_id))
			node_send(raft->node, raft->peers[i].node_id, MSG_VOTE,
				  &vote);
}

static void raft_count_votes(struct raft *raft)
{
	const struct members *members = raft_config(raft);
	uint32_t nr = 1; /* its own vote */

	if (raft->votes_due)
		return;
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		nr += raft->peers[i].voted &&
		      members_is_voter(members, raft->peers[i].node_id);
	if (nr < members_quorum(members))
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		raft_campaign(raft, false, false);
	else
		raft_lead(raft);
}

static void raft_reply_vote(struct raft *raft, uint64_t to, uint64_t term,
			    bool pre, bool granted)
{
	struct vote_reply reply = { term, pre, granted };

	node_send(raft->node, to, MSG_VOTE_REPLY, &reply);
}

void raft_arm_election(struct raft *raft)
{
	uint64_t spread_ms = RAFT_ELECTION_MAX_MS - RAFT_ELECTION_MIN_MS;

	node_timer_ms(raft->node, &raft->election_timer,
		      RAFT_ELECTION_MIN_MS +
			      node_random_below(raft->node, spread_ms));
}

void raft_campaign(struct raft *raft, bool pre, bool transfer)
{
	raft->role = pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	raft->leader_id = 0;
	raft->transfer = transfer;
	raft->votes_due = !pre;
	raft->vote_reply_to = 0;
	raft->ack_due = false;
	raft_incoming_clear(raft);
	for (uint32_t i = 0; i < raft->nr_peers; i++)
		raft->peers[i].voted = false;
	raft_arm_election(raft);
	if (!pre) {
		raft->verified_index = raft->commit_index;
		counter_add(raft->node->counters, "raft_elections", 1);
		raft_write_hard_state(raft, raft->hard.term + 1,
				      raft_self(raft));
		return;
	}
	raft_send_votes(raft);
	raft_count_votes(raft);
}

void raft_election_due(void *data, uint64_t now_us)
{
	struct raft *raft = data;

	raft_arm_election(raft);
	if (raft->role == RAFT_LEADER)
		return;
	if (raft->resigned || raft->full ||
	    !members_is_voter(raft_config(raft), raft_self(raft))) {
		/* This replica must not redirect callers to a silent leader. */
		raft->leader_id = 0;
		return;
	}
	raft_note_leader_silent(raft);
	raft_campaign(raft, true, false);
}

void raft_votes_synced(struct raft *raft)
{
	if (!raft_hard_synced(raft))
		return;
	if (raft->vote_reply_to) {
		raft_reply_vote(raft, raft->vote_reply_to, raft->hard.term,
				false, true);
		raft->vote_reply_to = 0;
	}
	if (raft->role == RAFT_CANDIDATE && raft->votes_due) {
		raft_send_votes(raft);
		raft_count_votes(raft);
	}
}

void raft_on_vote(struct raft *raft, uint64_t from, const struct vote *vote)
{
	bool has_leader = raft_heard_leader_recently(raft);

	/*
	 * A voter of the first configuration that hasn't received it yet. Its
	 * terms and votes are on its disk, as the record is.
	 */
	if (raft_is_fresh(raft) && !raft_is_founder(raft))
		return;
	/* After a transfer, no earlier leader has a lease to wait for. */
	if (vote->transfer && raft->role != RAFT_LEADER &&
	    vote->term > raft->hard.term)
		has_leader = false;
	if (has_leader || vote->term < raft->hard.term) {
		raft_reply_vote(raft, from, raft->hard.term, vote->pre, false);
		return;
	}
	if (vote->pre) {
		bool granted = vote->term > raft->hard.term &&
			       raft_vote_is_up_to_date(raft, vote);

		raft_reply_vote(raft, from,
				granted ? vote->term : raft->hard.term, true,
				granted);
		return;
	}
	if (vote->term > raft->hard.term)
		raft_follow(raft, vote->term, 0);
	if (!raft_vote_is_up_to_date(raft, vote) ||
	    raft->role > RAFT_PRE_CANDIDATE ||
	    (raft->hard.voted_for && raft->hard.voted_for != from)) {
		raft_reply_vote(raft, from, raft->hard.term, false, false);
		return;
	}
	if (!raft->hard.voted_for)
		raft_write_hard_state(raft, raft->hard.term, from);
	raft_arm_election(raft);
	raft->vote_reply_to = from;
	raft_votes_synced(raft);
}

void raft_on_vote_reply(struct raft *raft, uint64_t from,
			const struct vote_reply *reply)
{
	struct raft_peer *peer = raft_peer(raft, from);
	uint64_t term = raft->hard.term + reply->pre;
	enum raft_role role = reply->pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;

	if (!reply->granted) {
		if (reply->term > raft->hard.term)
			raft_follow(raft, reply->term, 0);
		return;
	}
	if (!peer || raft->role != role || reply->term != term)
		return;
	peer->voted = true;
	raft_count_votes(raft);
}

void raft_on_transfer(struct raft *raft, const struct transfer *transfer)
{
	if (transfer->term != raft->hard.term || raft->role != RAFT_FOLLOWER ||
	    raft->resigned || raft->full ||
	    !members_is_voter(raft_config(raft), raft_self(raft)))
		return;
	raft_campaign(raft, false, true);
}
