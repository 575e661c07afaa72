#ifndef RAFT_H
#define RAFT_H

/**
 * @file raft.h
 * The replicated log of the control replicas. Decides; the store keeps.
 */

#include "msg_raft.h"
#include "node.h"
#include "result.h"

struct raft;

/**
 * Storage of one replica. Writes are buffered until sync(); the host answers
 * with raft_synced(), never from within the call, and covers everything that
 * was written before. A failed write or sync is answered with an error code;
 * the replica then stops acknowledging and leading. A full disk is no failure:
 * the store keeps what was refused, tells raft_store_full(), and answers once
 * the disk has taken it.
 */
struct store_ops {
	void (*write_hard_state)(void *ctx, const struct hard_state *state);
	void (*append)(void *ctx, const struct log_entry *entry);
	/** Removes the entries from @a index on. */
	void (*truncate)(void *ctx, uint64_t index);
	/** Writes a whole snapshot and drops the entries it covers. */
	void (*write_snapshot)(void *ctx, const struct snapshot_head *head,
			       const struct snapshot_record *records);
	/** Asks for one sync; batches are answered by their highest number. */
	void (*sync)(void *ctx, uint64_t sync_nr);
};

/** What a store found on disk at start; everything is borrowed. */
struct store_image {
	struct hard_state hard_state; /* node_id 0: an empty disk */
	struct snapshot_head snapshot;
	const struct snapshot_record *records;
	uint32_t nr_entries;
	const struct log_entry *entries;
};

/** The state machine above the log. */
struct raft_machine_ops {
	/**
	 * Applies a committed command; @a tag is that of raft_propose(), or 0.
	 * CMD_NOOP and CMD_MEMBERS pass here too.
	 */
	void (*apply)(void *ctx, const struct log_entry *entry, uint64_t tag);
	/** Returns a new array of snapshot_record, freed by raft. */
	struct snapshot_record *(*snapshot)(void *ctx, uint32_t *nr_records);
	/** Replaces the whole state. */
	void (*restore)(void *ctx, const struct snapshot_record *records,
			uint32_t nr_records);
	/**
	 * Leadership was won (the log is applied up to this term, and enough
	 * of the listed replicas are voters) or lost.
	 */
	void (*leader_changed)(void *ctx, bool leader);
	/** The proposal was not committed by this leader; it may still be. */
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
	 * Replicas outside the list may join, and a voter that is gone is
	 * removed once another took its place. The list then says where to
	 * begin.
	 */
	bool open;
	/** Replicas that may be lost at a time; 0: less than half of the list.
	 */
	uint32_t losses;
	bool no_formation; /* a fresh replica waits to be added to a group */
	uint32_t snapshot_entries; /* 0: RAFT_SNAPSHOT_ENTRIES */
	uint32_t page_bytes; /* 0: RAFT_PAGE_MAX_BYTES */
};

struct raft *raft_new(struct node *node, const struct raft_opts *opts);
void raft_free(struct raft *raft);
void raft_start(struct raft *raft);
/** Replaces the list of control addresses of an open group. */
void raft_set_addresses(struct raft *raft, const char *const *addresses);
void raft_peer_up(struct raft *raft, const struct link *link);
void raft_peer_down(struct raft *raft, const struct link *link);
/** Takes MSG_VOTE to MSG_TRANSFER; returns false for other types. */
bool raft_message(struct raft *raft, uint64_t from, uint32_t type,
		  const void *body);
void raft_synced(struct raft *raft, uint64_t sync_nr, enum result result);
/**
 * The store takes no more bytes, or takes them again. Meanwhile the replica
 * acknowledges nothing new, doesn't stand for election, and hands leadership
 * over if a quorum does without it.
 */
void raft_store_full(struct raft *raft, bool full);

/**
 * Proposes a command on the leader; the record is referenced. Returns
 * RESULT_OK, RESULT_NOT_LEADER, RESULT_NO_QUORUM, RESULT_OVERLOADED, or
 * RESULT_TOO_LARGE for a command beyond RAFT_PROPOSALS_MAX_BYTES; for
 * CMD_MEMBERS also RESULT_IN_PROGRESS while another change is not committed, or
 * RESULT_OUT_OF_RANGE if it changes more than one voter, removes the leader, or
 * leaves fewer voters than a majority of the control addresses. After
 * RESULT_OK exactly one of apply (with this tag) or dropped follows.
 */
enum result raft_propose(struct raft *raft, struct record command,
			 uint64_t tag);

bool raft_is_leader(const struct raft *raft);
/** True while a quorum acknowledged the leader within RAFT_LEADER_LEASE_MS. */
bool raft_may_grant(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
/** Address of the leader as far as known, "" otherwise. */
const char *raft_leader_address(const struct raft *raft);
uint64_t raft_leader_id(const struct raft *raft);
/** The configuration in force; borrowed until the next call. */
const struct members *raft_members(const struct raft *raft);
uint64_t raft_match_index(const struct raft *raft, uint64_t node_id);
/**
 * RESULT_OK, or why the store failed. The replica takes no further part then;
 * it recovers by a restart of the process.
 */
enum result raft_store_result(const struct raft *raft);
/**
 * For a graceful stop: takes no more proposals, waits up to RAFT_STEP_DOWN_MS
 * for those under way, then hands leadership to the voter that has caught up
 * most. This replica does not lead again.
 */
void raft_step_down(struct raft *raft);

#endif /* RAFT_H */
