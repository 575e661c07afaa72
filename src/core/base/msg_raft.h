#ifndef MSG_RAFT_H
#define MSG_RAFT_H

/**
 * @file msg_raft.h
 * Messages between control replicas, and their records on disk.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"
#include "schema.h"

struct vote {
	uint64_t term;
	uint64_t last_index;
	uint64_t last_term;
	bool pre; /* pre-vote: the answer commits the voter to nothing */
	bool transfer; /* leadership transfer: don't wait for the leader */
};

struct vote_reply {
	uint64_t term;
	bool pre;
	bool granted;
};

/** An entry of the replicated log. The command is shared and immutable. */
struct log_entry {
	uint64_t index;
	uint64_t term;
	struct record command;
};

struct append {
	uint64_t term;
	uint64_t prev_index;
	uint64_t prev_term;
	uint64_t commit_index;
	uint64_t sent_us; /* leader's clock, echoed to renew its lease */
	uint32_t nr_entries;
	struct log_entry *entries;
};

struct append_reply {
	uint64_t term;
	bool success;
	/** Log index synced to disk; on failure, a hint where to continue. */
	uint64_t match_index;
	uint64_t sent_us; /* echoed */
};

/** A page of a snapshot. Each is acknowledged before the next is sent. */
struct snapshot_page {
	uint64_t term;
	uint64_t last_index; /* last log entry that the snapshot covers */
	uint64_t last_term; /* term of that entry */
	uint32_t page; /* number of the page, from 0 */
	bool last; /* the snapshot ends with this page */
	uint64_t sent_us;
	uint32_t nr_records;
	struct snapshot_record *records;
};

struct snapshot_record {
	struct record record;
};

struct snapshot_reply {
	uint64_t term;
	uint64_t last_index;
	uint32_t page;
	bool accepted;
	uint64_t sent_us;
};

/**
 * Bootstrap of a group, sent between replicas without state. A replica forms
 * the group once it has votes from all addresses of the configured list at the
 * same time. Replicas with state answer with fresh = false.
 */
struct form {
	bool fresh; /* the sender has no state */
	uint64_t vote_for; /* node_id of a replica, 0: none */
	uint64_t sent_us; /* sender's clock */
	uint64_t echo_us; /* sent_us of the last message from the receiver */
};

/** The leader has stepped down; the receiver may start an election. */
struct transfer {
	uint64_t term;
};

/** Term and vote; written to disk before the replica votes. */
struct hard_state {
	uint64_t node_id;
	uint64_t term;
	uint64_t voted_for; /* node_id, 0: none */
};

/** Header of a stored snapshot. The records follow. */
struct snapshot_head {
	uint64_t last_index;
	uint64_t last_term;
	uint64_t nr_records;
};

/** One replica in the group's configuration. */
struct member {
	uint64_t node_id;
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	bool voter; /* false: learner */
};

/**
 * CMD_MEMBERS: the whole new configuration. Only one change is in progress at a
 * time.
 */
struct members {
	uint32_t nr_members;
	struct member *members;
};

#endif /* MSG_RAFT_H */
