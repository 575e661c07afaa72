#ifndef RAFT_H
#define RAFT_H

/**
 * @file raft.h
 * The replicated log of the control replicas, after the Raft protocol:
 * elections, replication, snapshots and changes of the members. Storage is
 * behind store_ops, and the state machine behind raft_machine_ops. "The host"
 * is the program that embeds raft and provides both: the daemon or a test.
 */

#include "msg_raft.h"
#include "node.h"
#include "result.h"

struct raft;

/**
 * Storage of one replica. Writes are buffered until sync(). The host answers
 * sync() with raft_synced(), never from within the call; the answer covers all
 * earlier writes. After a failed write or sync, the answer has an error code
 * and the replica stops acknowledging and leading. A full disk is no failure:
 * the store keeps the refused writes, calls raft_store_full(), and answers once
 * the disk has accepted them.
 */
struct store_ops {
	void (*write_hard_state)(void *ctx, const struct hard_state *state);
	void (*append)(void *ctx, const struct log_entry *entry);
	/** Removes the entries at @a index and above. */
	void (*truncate)(void *ctx, uint64_t index);
	/** Writes a complete snapshot and drops the entries it covers. */
	void (*write_snapshot)(void *ctx, const struct snapshot_head *head,
			       const struct snapshot_record *records);
	/**
	 * Requests a sync. raft_synced() with a number also answers the earlier
	 * requests, which have lower numbers.
	 */
	void (*sync)(void *ctx, uint64_t sync_nr);
};

/** The data that a store read from disk at its start; owned by the store. */
struct store_image {
	struct hard_state hard_state; /* node_id 0: the disk is empty */
	struct snapshot_head snapshot;
	const struct snapshot_record *records;
	uint32_t nr_entries;
	const struct log_entry *entries;
};

/** The state machine that applies the log's commands. */
struct raft_machine_ops {
	/**
	 * Applies a committed command. @a tag is the one passed to
	 * raft_propose() if the command was proposed at this replica since it
	 * became the leader, else 0. Called for CMD_NOOP and CMD_MEMBERS too.
	 */
	void (*apply)(void *ctx, const struct log_entry *entry, uint64_t tag);
	/** Returns the state as a new array of records, which raft frees. */
	struct snapshot_record *(*snapshot)(void *ctx, uint32_t *nr_records);
	/** Replaces the complete state. */
	void (*restore)(void *ctx, const struct snapshot_record *records,
			uint32_t nr_records);
	/**
	 * Called with true once this replica leads, has applied the log up to
	 * its own term, and the group has enough voters; with false when it has
	 * lost the leadership.
	 */
	void (*leader_changed)(void *ctx, bool leader);
	/** This leader didn't commit the proposal; a later leader still may. */
	void (*dropped)(void *ctx, uint64_t tag);
};

struct raft_opts {
	const struct store_ops *store;
	void *store_ctx;
	const struct raft_machine_ops *machine;
	void *machine_ctx;
	const struct store_image *image;
	/** Addresses of all control replicas, this one included. */
	const char *const *control_addresses;
	/**
	 * If true, replicas that control_addresses doesn't list may join, and
	 * an absent voter is removed once another replica has replaced it. The
	 * list then only contains the first addresses to connect to.
	 */
	bool open;
	/**
	 * Number of replicas that may be lost, with their disks, at a time; 0:
	 * any minority of control_addresses.
	 */
	uint32_t losses;
	/**
	 * This isn't the first start of the whole group. If the disk is empty,
	 * it may have been lost: the replica helps to form a group only with
	 * one whose disk shows that the group has accepted nothing.
	 */
	bool no_formation;
	/** Log entries between snapshots; 0: RAFT_SNAPSHOT_ENTRIES. */
	uint32_t snapshot_entries;
	/** Size of a page of a snapshot transfer; 0: RAFT_PAGE_MAX_BYTES. */
	uint32_t page_bytes;
};

struct raft *raft_new(struct node *node, const struct raft_opts *opts);
void raft_free(struct raft *raft);
void raft_start(struct raft *raft);
/** Replaces the list of control addresses; ignored unless opts.open is set. */
void raft_set_addresses(struct raft *raft, const char *const *addresses);
void raft_peer_up(struct raft *raft, const struct link *link);
void raft_peer_down(struct raft *raft, const struct link *link);
/**
 * Handles MSG_PEERS and the types from MSG_VOTE to MSG_LEAVE; returns false
 * for any other type.
 */
bool raft_message(struct raft *raft, uint64_t from, uint32_t type,
		  const void *body);
/** Called by the host when sync @a sync_nr is complete or has failed. */
void raft_synced(struct raft *raft, uint64_t sync_nr, enum result result);
/**
 * Called by the host when the disk is full, or has free space again. While it
 * is full, the replica acknowledges no new entries, doesn't stand for election,
 * and hands over its leadership if the other voters are a quorum without it.
 */
void raft_store_full(struct raft *raft, bool full);

/**
 * Proposes a command on the leader and takes a reference to the record. Returns
 * RESULT_OK, RESULT_NOT_LEADER, RESULT_NO_QUORUM, RESULT_OVERLOADED, or
 * RESULT_TOO_LARGE for a command above RAFT_PROPOSALS_MAX_BYTES; for
 * CMD_MEMBERS also RESULT_IN_PROGRESS while another change is not committed, or
 * RESULT_OUT_OF_RANGE if it changes more than one voter, removes the leader, or
 * leaves fewer voters than the group needs. After RESULT_OK, either apply()
 * with this tag or dropped() is called, exactly once.
 */
enum result raft_propose(struct raft *raft, struct record command,
			 uint64_t tag);

bool raft_is_leader(const struct raft *raft);
/**
 * Returns true while this replica leads and a quorum has acknowledged it within
 * RAFT_LEADER_LEASE_MS, so that no other replica can lead.
 */
bool raft_may_grant(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
/** Returns the leader's address, "" if none is known. */
const char *raft_leader_address(const struct raft *raft);
uint64_t raft_leader_id(const struct raft *raft);
/** Returns the current configuration, valid until the next call to raft. */
const struct members *raft_members(const struct raft *raft);
/** Returns true if the current configuration is not committed yet. */
bool raft_change_is_pending(const struct raft *raft);
/**
 * Returns the index of the last entry that the member is known to have stored,
 * 0 if unknown. Only a leader knows it of other members.
 */
uint64_t raft_match_index(const struct raft *raft, uint64_t node_id);
/**
 * Returns RESULT_OK, or why the store failed. A replica with a failed store is
 * inactive until its process is restarted.
 */
enum result raft_store_result(const struct raft *raft);
/**
 * Prepares a graceful stop: refuses new proposals, waits up to
 * RAFT_STEP_DOWN_MS for those in progress, then hands leadership to the voter
 * with the most complete log. This replica doesn't lead again. In an open group
 * it also announces that it stops.
 */
void raft_step_down(struct raft *raft);
/**
 * Returns true while a replica that stops, for at most RAFT_LEAVE_WAIT_MS,
 * waits for the leader to give up its seat. It doesn't wait if the group has no
 * more voters than the tolerated losses need.
 */
bool raft_is_leaving(const struct raft *raft);

#endif /* RAFT_H */
