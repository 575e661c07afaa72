#ifndef MSG_RAFT_H
#define MSG_RAFT_H

/**
 * @file msg_raft.h
 * Messages between control replicas and the records they keep on disk.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"
#include "schema.h"

struct vote {
	uint64_t term;
	uint64_t last_index;
	uint64_t last_term;
	bool pre; /* asks without binding anyone */
	bool transfer; /* the leader gave up; voters need not wait for it */
};

struct vote_reply {
	uint64_t term;
	bool pre;
	bool granted;
};

/** One entry of the replicated log; the command is shared and immutable. */
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
	uint64_t sent_us; /* leader's clock, echoed for its lease */
	uint32_t nr_entries;
	struct log_entry *entries;
};

struct append_reply {
	uint64_t term;
	bool success;
	uint64_t match_index; /* synced up to here; on failure a hint */
	uint64_t sent_us;
};

/** A page of a snapshot; pages are sent one at a time and acknowledged. */
struct snapshot_page {
	uint64_t term;
	uint64_t last_index; /* of the log, covered by the snapshot */
	uint64_t last_term;
	uint32_t page;
	bool last;
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
 * Sent by replicas without state to every other one. A group is formed by the
 * replica that all addresses of the list vote for at one time; replicas with
 * state answer with fresh = false.
 */
struct form {
	bool fresh;
	uint64_t vote_for; /* 0: none */
	uint64_t sent_us; /* sender's clock */
	uint64_t echo_us; /* sent_us of the receiver's last message */
};

/** The leader has given up; the receiver may start an election at once. */
struct transfer {
	uint64_t term;
};

/** Term and vote, on disk before any vote is given. */
struct hard_state {
	uint64_t node_id;
	uint64_t term;
	uint64_t voted_for;
};

/** Head of a stored snapshot; the records follow. */
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

/** CMD_MEMBERS: the whole new configuration; one change at a time. */
struct members {
	uint32_t nr_members;
	struct member *members;
};

#endif /* MSG_RAFT_H */
