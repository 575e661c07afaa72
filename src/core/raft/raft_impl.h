#ifndef RAFT_IMPL_H
#define RAFT_IMPL_H

/**
 * @file raft_impl.h
 * Internal declarations of the replicated log; only the raft*.c files include
 * this header.
 *   raft.c: state, storage, commit
 *   raft_role.c: follower and leader, the leader's lease
 *   raft_vote.c: elections
 *   raft_append.c: replication
 *   raft_snapshot.c: snapshots
 *   raft_dial.c: connections between the replicas
 *   raft_form.c: bootstrap of the group and changes of its members
 *   raft_leave.c: members that stop or are absent
 */

#include "msg_control.h"
#include "raft.h"
#include "raft_log.h"
#include "raft_member.h"

#define US_PER_MS UINT64_C(1000)

enum raft_role {
	RAFT_FOLLOWER, /* also a learner */
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

/** A snapshot in memory, shared by the transfers to several members. */
struct raft_snapshot {
	uint32_t refs;
	struct snapshot_head head;
	/* A CMD_MEMBERS record, then the records of the state machine. */
	struct snapshot_record *records;
};

/** Another member. Only voted and seen_us are used by all roles. */
struct raft_peer {
	uint64_t node_id;
	bool voted; /* granted its vote in this candidacy */
	bool probing; /* gets one append at a time until one matches */
	uint32_t nr_in_flight; /* unanswered appends with entries */
	uint64_t next_index; /* next entry to send */
	uint64_t match_index; /* last entry known to be stored */
	uint64_t acked_us; /* send time of the latest answered message */
	uint64_t seen_us; /* last check with a live connection, 0: none yet */
	uint64_t reset_us; /* ignores rejections of appends sent earlier */
	uint64_t in_flight[RAFT_IN_FLIGHT_MAX]; /* last index of each append */
	struct raft_snapshot *snapshot; /* being transferred, NULL: none */
	uint32_t page; /* number of the page in flight */
	uint32_t page_record; /* first record of the page */
	uint32_t page_records; /* records in the page */
	uint64_t page_sent_us;
};

/** A sync in progress and the writes that it makes durable. */
struct raft_sync {
	uint64_t nr;
	uint64_t last_index; /* last log entry covered */
	uint64_t hard_nr; /* last write of the hard state covered */
	uint64_t began_us;
};

struct raft_proposal {
	uint64_t index;
	uint64_t tag; /* as passed to raft_propose() */
	uint64_t size; /* in bytes */
};

/** Last MSG_FORM from a listed address, kept until this replica has a log. */
struct raft_form_peer {
	uint64_t node_id;
	bool fresh; /* the peer has no log either */
	bool unrecorded; /* as in struct form */
	uint64_t vote_for; /* node_id, 0: none */
	uint64_t echo_us; /* this replica's clock, echoed by the peer */
	uint64_t sent_us; /* the peer's clock, to be echoed */
	uint64_t heard_us; /* when its last message arrived */
};

/** A snapshot of which pages are being received. */
struct raft_incoming {
	uint64_t from; /* node_id of the sending leader */
	uint64_t last_index;
	uint64_t last_term;
	uint32_t next_page;
	GArray *records; /* struct snapshot_record, NULL: no transfer */
};

struct raft {
	struct node *node;
	const struct store_ops *store;
	void *store_ctx;
	const struct raft_machine_ops *machine;
	void *machine_ctx;
	char **addresses;
	uint32_t nr_addresses;
	bool open; /* see struct raft_opts */
	bool no_formation; /* by the settings, this isn't the first start */
	uint32_t losses;
	GHashTable *dialled; /* set of char * addresses */
	GHashTable *advertised; /* set of char * addresses from MSG_PEERS */
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
	uint64_t leader_id; /* 0: none is known */
	uint64_t heard_us; /* last message of a leader, or the start */
	uint64_t leader_known_us; /* when a leader was last known, for logs */
	bool leaderless; /* a log line has reported the leader's silence */
	struct timer election_timer;

	/* storage */
	struct timer flush_timer;
	uint64_t sync_nr; /* number of the last sync */
	GArray *syncs; /* struct raft_sync in progress, oldest first */
	uint64_t hard_nr; /* number of writes of the hard state */
	uint64_t synced_hard_nr;
	uint64_t synced_index; /* last entry durable on this replica */
	enum result store_result;
	bool dirty; /* there are writes since the last sync request */
	bool full; /* the disk is full */
	uint64_t full_us; /* when the disk became full */

	/* follower */
	bool ack_due; /* an append is still to be acknowledged */
	bool removed; /* the leader removed this replica, which stops */
	uint64_t verified_index; /* last entry that matches the leader's log */
	uint64_t echo_us; /* sent_us of the leader's last append */
	uint64_t vote_reply_to; /* candidate, until the sync; 0: none */
	struct raft_incoming incoming;

	/* candidate and leader */
	struct raft_peer peers[RAFT_MEMBERS_MAX];
	uint32_t nr_peers;
	bool votes_due; /* vote requests wait for the sync of the term */
	bool transfer; /* this candidacy was requested by the leader */
	bool announced; /* leader_changed(true) was called */
	bool resigned; /* never leads again, for a graceful stop */
	uint64_t handover_since_us; /* start of a handover, 0: none */
	struct timer heartbeat_timer;
	uint64_t leader_since_us;
	uint64_t noop_index; /* the first entry of the leader's term */
	uint32_t proposals_head; /* ring buffer of uncommitted proposals */
	uint32_t nr_proposals;
	uint64_t proposals_size; /* in bytes */
	struct raft_proposal proposals[RAFT_PROPOSALS_MAX];

	/* members that stop or are absent */
	GHashTable *leaving; /* set of uint64_t node_id that announced it */
	uint64_t absences_us; /* last raft_note_absences() */
	struct timer leave_timer;
	uint64_t leave_since_us; /* when this replica announced it, 0: never */

	/* bootstrap */
	struct timer form_timer;
	struct raft_form_peer form_peers[RAFT_MEMBERS_MAX]; /* by address */
	uint64_t form_vote; /* node_id, 0: none */
	uint64_t form_vote_us;
	uint64_t form_pause_us; /* no vote before this time */
};

/* ---- raft_dial.c ---- */

/** Timer function: maintains this replica's connections to the others. */
void raft_dial_due(void *data, uint64_t now_us);
void raft_on_peers(struct raft *raft, const struct peers *peers);
/** Returns how many replicas may be lost at a time. */
uint32_t raft_losses(const struct raft *raft);
/** Returns how many voters the group needs to accept commands. */
uint32_t raft_min_voters(const struct raft *raft);
/**
 * Returns how many voters the group needs to accept its first command: that
 * many less the tolerated losses are a quorum of them.
 */
uint32_t raft_first_voters(const struct raft *raft);
bool raft_is_listed(const struct raft *raft, const char *address);

/* ---- raft.c ---- */

uint64_t raft_self(const struct raft *raft);
const struct members *raft_config(const struct raft *raft);
/** Returns true while the log is empty: the replica is in no group yet. */
bool raft_is_fresh(const struct raft *raft);
struct raft_peer *raft_peer(struct raft *raft, uint64_t node_id);
void raft_emit_event(struct raft *raft, const char *event);
/** Records that a leader is known; logs this if the last one was silent. */
void raft_note_leader(struct raft *raft);
/** Records that the leader is silent; logs this once per silence. */
void raft_note_leader_silent(struct raft *raft);
void raft_write_hard_state(struct raft *raft, uint64_t term,
			   uint64_t voted_for);
void raft_write_entry(struct raft *raft, const struct log_entry *entry);
void raft_truncate(struct raft *raft, uint64_t index);
/** Appends a command as an entry of the current term; returns its index. */
uint64_t raft_append_command(struct raft *raft, struct record command);
/**
 * Reports the leadership to the state machine once it has applied the log and
 * the group may accept commands.
 */
void raft_announce(struct raft *raft);
/** Schedules one sync of all writes for the end of the loop's iteration. */
void raft_schedule_flush(struct raft *raft);
bool raft_hard_synced(const struct raft *raft);
/** Makes the replica inactive after a failure of the store. */
void raft_fail(struct raft *raft, enum result result);
/** Raises the commit index and applies the entries up to it. */
void raft_commit(struct raft *raft, uint64_t index);

/* ---- raft_role.c ---- */

/** Rebuilds the table of peers after a change of the configuration. */
void raft_reload_peers(struct raft *raft);
void raft_follow(struct raft *raft, uint64_t term, uint64_t leader_id);
void raft_lead(struct raft *raft);
/**
 * Returns the latest time such that a quorum has answered appends that the
 * leader sent then or later.
 */
uint64_t raft_quorum_acked_us(const struct raft *raft);
/**
 * Returns true if this leader has to record, for later ones, that more founders
 * have stored the log than disks may be lost. A second group is formed only if
 * the disks of all founders are empty.
 */
bool raft_must_record_founders(struct raft *raft);
/** Returns true while the group has enough voters to accept commands. */
bool raft_formed(const struct raft *raft);
/** Returns true while a quorum answered within RAFT_LEADER_LEASE_MS. */
bool raft_has_lease(const struct raft *raft);
void raft_heartbeat(void *data, uint64_t now_us);
/**
 * Hands over the leadership if this replica must give it up: as soon as all
 * proposals are committed, at the latest after RAFT_STEP_DOWN_MS.
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
/** Commits the entries that a quorum has stored. */
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
/** Restores the state machine from the latest snapshot. */
void raft_snapshot_restore(struct raft *raft);
/** Takes a snapshot if the log has grown enough since the last one. */
void raft_snapshot_if_due(struct raft *raft);
void raft_snapshot_send(struct raft *raft, struct raft_peer *peer);
void raft_incoming_clear(struct raft *raft);
void raft_on_page(struct raft *raft, uint64_t from,
		  const struct snapshot_page *page);
void raft_on_page_reply(struct raft *raft, uint64_t from,
			const struct snapshot_reply *reply);

/* ---- raft_leave.c ---- */

/** Announces to the other replicas that this one stops. */
void raft_leave(struct raft *raft);
/** Timer function: repeats the announcement until the seat was given up. */
void raft_leave_due(void *data, uint64_t now_us);
void raft_on_leave(struct raft *raft, uint64_t from, const struct leave *leave);
/** Returns true if the replica announced that it stops. */
bool raft_peer_is_leaving(const struct raft *raft, uint64_t node_id);
/**
 * Records which members are connected. Followers do so too: a member's absence
 * is not counted anew by each leader.
 */
void raft_note_absences(struct raft *raft);
/** Returns true if the member stops or is absent and can be removed. */
bool raft_has_left(struct raft *raft, const struct raft_peer *peer);

/* ---- raft_form.c ---- */

/**
 * Returns true if messages arrive on the link. Only the dialling side sends
 * pings and counts the unanswered ones; the accepting side checks when the last
 * message arrived.
 */
bool raft_link_is_alive(const struct raft *raft, const struct link *link);

/**
 * Returns true if the replica is known to be one of those that form the group:
 * it was listed in the same list of addresses, and the group had accepted
 * nothing, when its disk was first used.
 */
bool raft_is_founder(const struct raft *raft);
/** Begins to form a group, unless the replica has a log. */
void raft_form_start(struct raft *raft);
void raft_form_due(void *data, uint64_t now_us);
void raft_on_form(struct raft *raft, uint64_t from, const struct form *form);
/**
 * Checks a proposed configuration. Returns RESULT_IN_PROGRESS while another
 * change is not committed, or RESULT_OUT_OF_RANGE if it changes more than one
 * voter, removes the leader, or leaves too few voters or too many members.
 */
enum result raft_check_change(const struct raft *raft,
			      const struct members *members);
/**
 * Returns how many voters other than @a node_id, this replica included, have
 * caught up with the log and answer in time.
 */
uint32_t raft_healthy_voters_except(struct raft *raft, uint64_t node_id);
/** Called with each heartbeat; proposes the next due change of members. */
void raft_reconcile_members(struct raft *raft);

#endif /* RAFT_IMPL_H */
