#ifndef RAFT_IMPL_H
#define RAFT_IMPL_H

/**
 * @file raft_impl.h
 * Shared by the files of the replicated log; nobody else includes it.
 * raft.c: state, storage, commit. raft_role.c: following and
 * leading. raft_vote.c: elections. raft_append.c:
 * replication. raft_snapshot.c: snapshots. raft_form.c: formation of the group
 * and changes of its members.
 */

#include "msg_control.h"
#include "raft.h"
#include "raft_log.h"
#include "raft_member.h"

#define US_PER_MS UINT64_C(1000)

enum raft_role {
	RAFT_FOLLOWER, /* learners too */
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

/** A snapshot in memory, shared by its transfers. */
struct raft_snapshot {
	uint32_t refs;
	struct snapshot_head head;
	/* The first record is CMD_MEMBERS, the machine's records follow. */
	struct snapshot_record *records;
};

/** Another member as this replica sees it; only a leader uses more than voted.
 */
struct raft_peer {
	uint64_t node_id;
	bool voted;
	bool probing; /* one append at a time until one matches */
	uint32_t nr_in_flight;
	uint64_t next_index;
	uint64_t match_index;
	uint64_t acked_us; /* latest sent_us that came back in this term */
	uint64_t seen_us; /* the leader had a connection to it */
	uint64_t reset_us; /* rejections of earlier appends are stale */
	uint64_t in_flight[RAFT_IN_FLIGHT_MAX]; /* last index of each append */
	struct raft_snapshot *snapshot; /* NULL: not in transfer */
	uint32_t page;
	uint32_t page_record; /* first record of the page */
	uint32_t page_records;
	uint64_t page_sent_us;
};

/** A sync under way and what it makes durable. */
struct raft_sync {
	uint64_t nr;
	uint64_t last_index;
	uint64_t hard_nr;
	uint64_t began_us;
};

struct raft_proposal {
	uint64_t index;
	uint64_t tag;
	uint64_t size;
};

/** What a fresh replica knows of the one at an address of the list. */
struct raft_form_peer {
	uint64_t node_id;
	bool fresh;
	uint64_t vote_for;
	uint64_t echo_us; /* of this replica's clock */
	uint64_t sent_us; /* of the peer's clock, to be echoed */
	uint64_t heard_us;
};

/** A snapshot that arrives in pages. */
struct raft_incoming {
	uint64_t from;
	uint64_t last_index;
	uint64_t last_term;
	uint32_t next_page;
	GArray *records; /* of struct snapshot_record, NULL: none */
};

struct raft {
	struct node *node;
	const struct store_ops *store;
	void *store_ctx;
	const struct raft_machine_ops *machine;
	void *machine_ctx;
	char **addresses;
	uint32_t nr_addresses;
	bool open;
	bool no_formation;
	uint32_t losses;
	GHashTable *dialled; /* set of addresses */
	GHashTable *told; /* set of addresses that a member named */
	struct timer dial_timer;
	uint32_t snapshot_entries;
	uint32_t page_bytes;

	enum raft_role role;
	struct hard_state hard;
	struct raft_log log;
	struct raft_configs configs;
	struct raft_snapshot *snapshot; /* latest, NULL: none */
	uint64_t log_bytes; /* written since the latest snapshot */
	uint64_t commit_index;
	uint64_t applied_index;
	uint64_t leader_id;
	uint64_t heard_us; /* from a leader, or start */
	uint64_t known_us; /* a leader was known; for the log */
	bool leaderless; /* the log was told so */
	struct timer election_timer;

	/* storage */
	struct timer flush_timer;
	uint64_t sync_nr;
	GArray *syncs; /* of struct raft_sync, oldest first */
	uint64_t hard_nr; /* counts writes of the hard state */
	uint64_t synced_hard_nr;
	uint64_t synced_index;
	enum result store_result;
	bool dirty; /* written since the last sync was asked for */
	bool full; /* the disk takes no more bytes */
	uint64_t full_us; /* since then */

	/* follower */
	bool ack_due;
	uint64_t verified_index; /* matches the leader's log of this term */
	uint64_t echo_us;
	uint64_t vote_reply_to; /* granted, waits for the sync */
	struct raft_incoming incoming;

	/* candidate and leader */
	struct raft_peer peers[RAFT_MEMBERS_MAX];
	uint32_t nr_peers;
	bool votes_due; /* candidacy waits for the sync */
	bool transfer; /* this candidacy follows a leader that gave up */
	bool announced; /* leader_changed(true) was called */
	bool resigned; /* leads no more, for a graceful stop */
	uint64_t leaving_us; /* leadership is handed over since, 0: it isn't */
	struct timer heartbeat_timer;
	uint64_t leader_since_us;
	uint64_t noop_index;
	uint32_t proposals_head;
	uint32_t nr_proposals;
	uint64_t proposals_size;
	struct raft_proposal proposals[RAFT_PROPOSALS_MAX];

	/* formation */
	struct timer form_timer;
	struct raft_form_peer form_peers[RAFT_MEMBERS_MAX]; /* by address */
	uint64_t form_vote;
	uint64_t form_vote_us;
	uint64_t form_pause_us; /* no vote before */
};

/* ---- raft_dial.c ---- */

/** Keeps up this replica's connections to the others. */
void raft_dial_due(void *data, uint64_t now_us);
void raft_on_peers(struct raft *raft, const struct peers *peers);
/** Voters without which the group takes no commands. */
uint32_t raft_min_voters(const struct raft *raft);
bool raft_is_listed(const struct raft *raft, const char *address);

/* ---- raft.c ---- */

uint64_t raft_self(const struct raft *raft);
const struct members *raft_config(const struct raft *raft);
/** True while the log is empty: the replica belongs to no group yet. */
bool raft_is_fresh(const struct raft *raft);
struct raft_peer *raft_peer(struct raft *raft, uint64_t node_id);
void raft_emit_event(struct raft *raft, const char *event);
/** A leader was heard, or this replica leads. */
void raft_note_leader(struct raft *raft);
/** No leader is heard any more; logged once. */
void raft_note_leader_silent(struct raft *raft);
void raft_write_hard_state(struct raft *raft, uint64_t term,
			   uint64_t voted_for);
void raft_write_entry(struct raft *raft, const struct log_entry *entry);
void raft_truncate(struct raft *raft, uint64_t index);
/** Adds an entry of the leader's own term; returns its index. */
uint64_t raft_append_command(struct raft *raft, struct record command);
/** Asks for a sync of what was written, at the end of the loop's turn. */
void raft_schedule_flush(struct raft *raft);
bool raft_hard_synced(const struct raft *raft);
/** Stops taking part after a failure of the store. */
void raft_fail(struct raft *raft, enum result result);
/** Raises the commit index and applies what it covers. */
void raft_commit(struct raft *raft, uint64_t index);

/* ---- raft_role.c ---- */

/** Rebuilds the table of peers after a change of the configuration. */
void raft_reload_peers(struct raft *raft);
void raft_follow(struct raft *raft, uint64_t term, uint64_t leader_id);
void raft_lead(struct raft *raft);
/** Returns when a quorum had answered the leader, by the sending time. */
uint64_t raft_quorum_acked_us(const struct raft *raft);
/** True once enough addresses of the list are voters to accept commands. */
bool raft_formed(const struct raft *raft);
/** True while a quorum answered the leader within RAFT_LEADER_LEASE_MS. */
bool raft_has_lease(const struct raft *raft);
void raft_heartbeat(void *data, uint64_t now_us);
/**
 * Hands leadership over if this replica has to leave it, once nothing waits for
 * its commit, or too long.
 */
void raft_hand_over(struct raft *raft);

/* ---- raft_vote.c ---- */

void raft_arm_election(struct raft *raft);
void raft_election_due(void *data, uint64_t now_us);
void raft_campaign(struct raft *raft, bool pre, bool transfer);
void raft_votes_synced(struct raft *raft);
void raft_on_vote(struct raft *raft, uint64_t from, const struct vote *vote);
void raft_on_vote_reply(struct raft *raft, uint64_t from,
			const struct vote_reply *reply);
void raft_on_transfer(struct raft *raft, const struct transfer *transfer);

/* ---- raft_append.c ---- */

void raft_replicate(struct raft *raft);
void raft_replicate_to(struct raft *raft, struct raft_peer *peer,
		       bool heartbeat);
/** Commits what a quorum has stored. */
void raft_advance_commit(struct raft *raft);
void raft_acknowledge(struct raft *raft);
void raft_on_append(struct raft *raft, uint64_t from,
		    const struct append *append);
void raft_on_append_reply(struct raft *raft, uint64_t from,
			  const struct append_reply *reply);

/* ---- raft_snapshot.c ---- */

struct raft_snapshot *raft_snapshot_new(const struct snapshot_head *head,
					const struct snapshot_record *records);
void raft_snapshot_unref(struct raft_snapshot *snapshot);
/** Hands the machine's part to the machine. */
void raft_snapshot_restore(struct raft *raft);
/** Takes a snapshot once enough was applied since the last one. */
void raft_snapshot_if_due(struct raft *raft);
void raft_snapshot_send(struct raft *raft, struct raft_peer *peer);
void raft_incoming_clear(struct raft *raft);
void raft_on_page(struct raft *raft, uint64_t from,
		  const struct snapshot_page *page);
void raft_on_page_reply(struct raft *raft, uint64_t from,
			const struct snapshot_reply *reply);

/* ---- raft_form.c ---- */

void raft_form_start(struct raft *raft);
void raft_form_due(void *data, uint64_t now_us);
void raft_on_form(struct raft *raft, uint64_t from, const struct form *form);
/**
 * Checks a change that operators ask for: RESULT_IN_PROGRESS while another one
 * is not committed, RESULT_OUT_OF_RANGE if it changes more than one voter,
 * removes the leader, or leaves too few voters or too many members.
 */
enum result raft_check_change(const struct raft *raft,
			      const struct members *members);
/** Returns how many voters apart from one hold the log and answer the leader.
 */
uint32_t raft_healthy_voters_except(struct raft *raft, uint64_t node_id);
/** Proposes the next change of the members, if one is due. */
void raft_reconcile_members(struct raft *raft);

#endif /* RAFT_IMPL_H */
