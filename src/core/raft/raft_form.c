#include "raft_impl.h"

#include <stdlib.h>
#include <string.h>

#include "logline.h"

/* ---- bootstrap of a group by replicas without state ---- */

bool raft_link_is_alive(const struct raft *raft, const struct link *link)
{
	return link->up && !link_is_silent(link) &&
	       raft->node->now_us - link->heard_us <
		       RAFT_LINK_TIMEOUT_MS * US_PER_MS;
}

/*
 * Returns the link to the control replica at the address, NULL if none is
 * alive; @a node_id 0 matches any replica.
 */
static const struct link *raft_link_at(const struct raft *raft,
				       const char *address, uint64_t node_id)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, raft->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (raft_link_is_alive(raft, link) &&
		    link->peer.role == ROLE_CONTROL &&
		    (!node_id || link->peer.node_id == node_id) &&
		    !strcmp(link->peer.address, address))
			return link;
	}
	return NULL;
}

static bool raft_is_self(const struct raft *raft, const char *address)
{
	return !strcmp(raft->node->self.address, address);
}

static int compare_addresses(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns a number for the list of addresses in any order, never 0. */
static uint64_t raft_list_number(const struct raft *raft)
{
	char **sorted = g_strdupv(raft->addresses);
	uint64_t number;
	char *joined;
	char *digest;

	qsort(sorted, raft->nr_addresses, sizeof(*sorted), compare_addresses);
	joined = g_strjoinv(",", sorted);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, joined, -1);
	digest[sizeof(number) * 2] = '\0';
	number = g_ascii_strtoull(digest, NULL, 16);
	g_free(digest);
	g_free(joined);
	g_strfreev(sorted);
	return MAX(number, 1);
}

bool raft_is_founder(const struct raft *raft)
{
	return raft->hard.formation == raft_list_number(raft) &&
	       raft_is_listed(raft, raft->node->self.address);
}

/*
 * Records that the group has accepted nothing yet. The record is on the disk
 * before any vote, as that is synced after it.
 */
static void raft_form_record(struct raft *raft)
{
	if (raft_is_founder(raft) ||
	    !raft_is_listed(raft, raft->node->self.address))
		return;
	raft->hard.formation = raft_list_number(raft);
	raft_write_hard_state(raft, raft->hard.term, raft->hard.voted_for);
}

/*
 * Returns true if this replica or another one is known not to have lost its
 * disk. New replicas of a later list alone form no group beside the existing
 * one.
 */
static bool raft_form_has_founder(const struct raft *raft)
{
	if (raft_is_founder(raft))
		return true;
	for (uint32_t i = 0; i < raft->nr_addresses; i++)
		if (!raft_is_self(raft, raft->addresses[i]) &&
		    !raft->form_peers[i].unrecorded)
			return true;
	return false;
}

/*
 * Returns true if the replica at address @a i sent MSG_FORM recently, is
 * connected and has no log.
 */
static bool raft_form_peer_alive(const struct raft *raft, uint32_t i)
{
	const struct raft_form_peer *peer = &raft->form_peers[i];

	return peer->node_id && peer->fresh &&
	       raft->node->now_us - peer->heard_us <
		       RAFT_FORM_VOTE_MS * US_PER_MS &&
	       raft_link_at(raft, raft->addresses[i], peer->node_id);
}

static bool raft_form_all_alive(const struct raft *raft)
{
	for (uint32_t i = 0; i < raft->nr_addresses; i++)
		if (!raft_is_self(raft, raft->addresses[i]) &&
		    !raft_form_peer_alive(raft, i))
			return false;
	return true;
}

static bool raft_form_is_known(const struct raft *raft, uint64_t node_id)
{
	if (node_id == raft_self(raft))
		return true;
	for (uint32_t i = 0; i < raft->nr_addresses; i++)
		if (raft->form_peers[i].node_id == node_id)
			return true;
	return false;
}

/*
 * Returns the lowest node_id that another replica votes for; without any vote,
 * the lowest node_id of all listed replicas.
 */
static uint64_t raft_form_choose_candidate(const struct raft *raft)
{
	uint64_t lowest = raft_self(raft);
	uint64_t voted = 0;

	for (uint32_t i = 0; i < raft->nr_addresses; i++) {
		const struct raft_form_peer *peer = &raft->form_peers[i];

		if (raft_is_self(raft, raft->addresses[i]))
			continue;
		lowest = MIN(lowest, peer->node_id);
		if (peer->vote_for &&
		    raft_form_is_known(raft, peer->vote_for) &&
		    (!voted || peer->vote_for < voted))
			voted = peer->vote_for;
	}
	return voted ? voted : lowest;
}

/*
 * Casts this replica's vote for the one that forms the group. Withdraws the
 * vote if its candidate doesn't form the group in time or is unknown. This
 * replica then pauses before its next vote, so that it doesn't support two
 * groups at a time.
 */
static void raft_form_vote(struct raft *raft)
{
	uint64_t now_us = raft->node->now_us;
	bool expired = now_us - raft->form_vote_us >=
		       RAFT_FORM_GIVE_UP_MS * US_PER_MS;

	if (raft->form_vote &&
	    (expired || !raft_form_is_known(raft, raft->form_vote))) {
		raft->form_vote = 0;
		raft->form_pause_us = now_us + RAFT_FORM_PAUSE_MS * US_PER_MS;
	}
	if (raft->form_vote || now_us < raft->form_pause_us ||
	    !raft_is_listed(raft, raft->node->self.address) ||
	    !raft_form_all_alive(raft) || !raft_form_has_founder(raft))
		return;
	raft->form_vote = raft_form_choose_candidate(raft);
	raft->form_vote_us = now_us;
	raft_form_record(raft);
}

static bool raft_form_elected(const struct raft *raft)
{
	if (raft->form_vote != raft_self(raft) || !raft_form_all_alive(raft))
		return false;
	for (uint32_t i = 0; i < raft->nr_addresses; i++) {
		const struct raft_form_peer *peer = &raft->form_peers[i];

		if (raft_is_self(raft, raft->addresses[i]))
			continue;
		if (peer->vote_for != raft_self(raft) ||
		    raft->node->now_us - peer->echo_us >=
			    RAFT_FORM_VOTE_MS * US_PER_MS)
			return false;
	}
	return true;
}

/*
 * Forms the group with all replicas that have voted for it as voters, so that
 * the others can elect a leader without this one.
 */
static void raft_form_group(struct raft *raft)
{
	struct record members =
		members_add(raft_config(raft), &raft->node->self, true);

	g_assert(raft_is_fresh(raft) && raft_form_has_founder(raft));
	for (uint32_t i = 0; i < raft->nr_addresses; i++) {
		const char *address = raft->addresses[i];
		const struct link *link;
		struct record next;

		if (raft_is_self(raft, address))
			continue;
		link = raft_link_at(raft, address, raft->form_peers[i].node_id);
		next = members_add(members.body, &link->peer, true);
		record_unref(members);
		members = next;
	}
	raft_write_hard_state(raft, raft->hard.term + 1, raft_self(raft));
	raft_append_command(raft, members);
	record_unref(members);
	raft_emit_event(raft, "raft-formed");
	raft_campaign(raft, false, false);
}

void raft_form_due(void *data, uint64_t now_us)
{
	struct raft *raft = data;

	if (!raft_is_fresh(raft))
		return;
	raft_form_vote(raft);
	if (raft_form_elected(raft)) {
		raft_form_group(raft);
		return;
	}
	node_timer_ms(raft->node, &raft->form_timer, RAFT_FORM_INTERVAL_MS);
	for (uint32_t i = 0; i < raft->nr_addresses; i++) {
		const struct raft_form_peer *peer = &raft->form_peers[i];
		const struct link *link;
		struct form form = {
			.fresh = true,
			.vote_for = raft->form_vote,
			.sent_us = now_us,
			.unrecorded = !raft_is_founder(raft),
		};

		if (raft_is_self(raft, raft->addresses[i]))
			continue;
		link = raft_link_at(raft, raft->addresses[i], 0);
		if (!link)
			continue;
		if (peer->node_id == link->peer.node_id)
			form.echo_us = peer->sent_us;
		node_send(raft->node, link->peer.node_id, MSG_FORM, &form);
	}
}

void raft_form_start(struct raft *raft)
{
	uint64_t pause_ms = raft->nr_addresses > 1 ? RAFT_FORM_PAUSE_MS : 0;

	if (!raft_is_fresh(raft))
		return;
	if (!raft->no_formation)
		raft_form_record(raft);
	/* Another replica may still count a vote from before the restart. */
	raft->form_pause_us = raft->node->now_us + pause_ms * US_PER_MS;
	node_timer_ms(raft->node, &raft->form_timer, 0);
}

void raft_on_form(struct raft *raft, uint64_t from, const struct form *form)
{
	const struct link *link = node_link(raft->node, from);
	struct form answer = { .fresh = false };

	if (!raft_is_fresh(raft)) {
		if (form->fresh)
			node_send(raft->node, from, MSG_FORM, &answer);
		return;
	}
	for (uint32_t i = 0; link && i < raft->nr_addresses; i++) {
		if (strcmp(raft->addresses[i], link->peer.address) != 0)
			continue;
		raft->form_peers[i] = (struct raft_form_peer){
			.node_id = from,
			.fresh = form->fresh,
			.unrecorded = form->unrecorded,
			.vote_for = form->vote_for,
			.echo_us = form->echo_us,
			.sent_us = form->sent_us,
			.heard_us = raft->node->now_us,
		};
	}
}

/* ---- changes of the members by the leader ---- */

/*
 * Returns how many voters of @a from aren't voters in @a to. If a change adds
 * or removes a single voter, any old and any new quorum share a voter.
 */
static uint32_t members_count_removed_voters(const struct members *from,
					     const struct members *to)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < from->nr_members; i++)
		nr += from->members[i].voter &&
		      !members_is_voter(to, from->members[i].node_id);
	return nr;
}

static bool members_are_distinct(const struct members *members)
{
	for (uint32_t i = 0; i < members->nr_members; i++) {
		const struct member *member = &members->members[i];

		if (!member->node_id ||
		    members_find(members, member->node_id) != member ||
		    members_find_address(members, member->address) != member)
			return false;
	}
	return true;
}

bool raft_change_is_pending(const struct raft *raft)
{
	return raft_configs_last(&raft->configs)->index > raft->commit_index;
}

enum result raft_check_change(const struct raft *raft,
			      const struct members *members)
{
	const struct members *now = raft_config(raft);

	if (raft_change_is_pending(raft))
		return RESULT_IN_PROGRESS;
	if (members->nr_members > RAFT_MEMBERS_MAX ||
	    !members_are_distinct(members) ||
	    !members_is_voter(members, raft_self(raft)) ||
	    members_nr_voters(members) < raft_min_voters(raft) ||
	    members_count_removed_voters(now, members) +
			    members_count_removed_voters(members, now) >
		    1)
		return RESULT_OUT_OF_RANGE;
	return RESULT_OK;
}

static void raft_append_members(struct raft *raft, struct record members)
{
	raft_append_command(raft, members);
	record_unref(members);
}

static bool raft_has_caught_up(struct raft *raft, uint64_t node_id)
{
	const struct raft_peer *peer = raft_peer(raft, node_id);

	return peer && !peer->snapshot &&
	       peer->match_index + RAFT_CAUGHT_UP_ENTRIES >=
		       raft_log_last_index(&raft->log) &&
	       raft->node->now_us - peer->acked_us <
		       RAFT_LEADER_LEASE_MS * US_PER_MS;
}

/*
 * Proposes to add, replace or promote the replica connected from the address,
 * if needed; returns true if it proposed a change.
 */
static bool raft_reconcile_address(struct raft *raft, const char *address)
{
	const struct members *members = raft_config(raft);
	const struct member *member = members_find_address(members, address);
	const struct link *link;

	if (member && raft_link_at(raft, address, member->node_id)) {
		if (member->voter ||
		    raft_peer_is_leaving(raft, member->node_id) ||
		    !raft_has_caught_up(raft, member->node_id))
			return false;
		raft_append_members(raft,
				    members_promote(members, member->node_id));
		return true;
	}
	link = raft_link_at(raft, address, 0);
	if (!link || raft_peer_is_leaving(raft, link->peer.node_id))
		return false;
	if (!member && members->nr_members == RAFT_MEMBERS_MAX)
		return false;
	if (!member) {
		raft_append_members(raft,
				    members_add(members, &link->peer, false));
		return true;
	}
	/*
	 * With fewer voters than the minimum, a committed entry could be on a
	 * single disk.
	 */
	if (member->voter &&
	    members_nr_voters(members) - 1 < raft_min_voters(raft))
		return false;
	raft_append_members(raft, members_replace(members, &link->peer));
	return true;
}

/*
 * Proposes to add, replace or promote a connected replica whose address isn't
 * listed; returns true if it proposed a change.
 */
static bool raft_add_unlisted_member(struct raft *raft)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, raft->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->peer.role == ROLE_CONTROL && link->up &&
		    link->peer.address[0] &&
		    !raft_is_listed(raft, link->peer.address) &&
		    raft_reconcile_address(raft, link->peer.address))
			return true;
	}
	return false;
}

uint32_t raft_healthy_voters_except(struct raft *raft, uint64_t node_id)
{
	uint32_t nr = node_id != raft_self(raft); /* this replica itself */

	for (uint32_t i = 0; i < raft->nr_peers; i++) {
		uint64_t other_id = raft->peers[i].node_id;

		nr += other_id != node_id &&
		      members_is_voter(raft_config(raft), other_id) &&
		      raft_has_caught_up(raft, other_id);
	}
	return nr;
}

/* Proposes to remove a member that stops or is absent, if there is one. */
static void raft_remove_left_member(struct raft *raft)
{
	for (uint32_t i = 0; i < raft->nr_peers; i++) {
		const struct raft_peer *peer = &raft->peers[i];

		if (!raft_has_left(raft, peer))
			continue;
		raft_append_members(raft, members_remove(raft_config(raft),
							 peer->node_id));
		return;
	}
}

void raft_reconcile_members(struct raft *raft)
{
	if (raft->open)
		raft_note_absences(raft);
	if (raft_change_is_pending(raft))
		return; /* one change at a time */
	if (raft_must_record_founders(raft)) {
		raft_append_members(raft, members_found(raft_config(raft)));
		return;
	}
	for (uint32_t i = 0; i < raft->nr_addresses; i++)
		if (!raft_is_self(raft, raft->addresses[i]) &&
		    raft_reconcile_address(raft, raft->addresses[i]))
			return;
	if (!raft->open || raft_add_unlisted_member(raft))
		return;
	raft_remove_left_member(raft);
}
