#ifndef MSG_RAFT_H
#define MSG_RAFT_H

/**
 * @file msg_raft.h
 * Messages between control replicas, which elect a leader and replicate its log
 * by the Raft algorithm, and their records on disk.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"
#include "schema.h"

/** Request for a vote. */
struct vote {
	uint64_t term;
	uint64_t last_index; /* of the candidate's log, as last_term */
	uint64_t last_term;
	bool pre; /* pre-vote: a granted vote isn't recorded */
	bool transfer; /* the candidate follows a struct transfer */
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

/** Entries of the leader's log; a heartbeat if there are none. */
struct append {
	uint64_t term;
	uint64_t prev_index; /* entry before the first one, as prev_term */
	uint64_t prev_term;
	uint64_t commit_index;
	uint64_t sent_us; /* leader's clock; the echo renews its leader lease */
	uint32_t nr_entries;
	struct log_entry *entries;
};

struct append_reply {
	uint64_t term;
	bool success;
	/**
	 * Last entry that matches the leader's log and is synced to disk. On
	 * failure, the entry after which the leader should continue.
	 */
	uint64_t match_index;
	uint64_t sent_us; /* echoed from the append */
};

/** A page of a snapshot; sent once the previous page is acknowledged. */
struct snapshot_page {
	uint64_t term;
	uint64_t last_index; /* last log entry that the snapshot covers */
	uint64_t last_term; /* term of that entry */
	uint32_t page; /* number of the page, from 0 */
	bool last; /* the snapshot ends with this page */
	uint64_t sent_us; /* as in struct append */
	uint32_t nr_records;
	struct snapshot_record *records;
};

/** A record of the state machine. */
struct snapshot_record {
	struct record record;
};

struct snapshot_reply {
	uint64_t term;
	uint64_t last_index;
	uint32_t page; /* number of the acknowledged page */
	bool accepted;
	uint64_t sent_us; /* echoed from the page */
};

/**
 * Bootstrap of a control group, sent between replicas without stored state. A
 * replica creates the group once it has the votes of the replicas at all
 * configured addresses at the same time. Replicas with state answer with
 * fresh = false.
 */
struct form {
	bool fresh; /* the sender has no state */
	uint64_t vote_for; /* node_id of the sender's choice, 0: none */
	uint64_t sent_us; /* sender's clock */
	uint64_t echo_us; /* sent_us of the receiver's last message, 0: none */
	/* The sender's disk has no hard_state.formation: it may be a new one.
	 */
	bool unrecorded;
};

/** Sent by a leader that has stepped down: the receiver starts an election. */
struct transfer {
	uint64_t term;
};

/**
 * Sent by a replica that stops, to all others; the leader answers once the
 * sender is no member any more.
 */
struct leave {
	bool removed; /* true in the answer */
};

/** A replica's term and vote, written to disk before it votes. */
struct hard_state {
	uint64_t node_id;
	uint64_t term;
	uint64_t voted_for; /* node_id voted for in the term, 0: none */
	/*
	 * Identifies the list of addresses with which the replica was started
	 * before the group had accepted anything, 0: there is no such record.
	 */
	uint64_t formation;
};

/** Header of a stored snapshot; the records follow in the file. */
struct snapshot_head {
	uint64_t last_index; /* last log entry that the snapshot covers */
	uint64_t last_term; /* term of that entry */
	uint64_t nr_records;
};

/** One replica in the group's configuration. */
struct member {
	uint64_t node_id;
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	bool voter; /* false: a learner, which has no vote */
};

/**
 * CMD_MEMBERS: all members of the group after the change. Only one change is in
 * progress at a time.
 */
struct members {
	uint32_t nr_members;
	struct member *members;
	/* More of the first voters have stored the log than disks may be lost.
	 */
	bool founded;
};

#endif /* MSG_RAFT_H */
