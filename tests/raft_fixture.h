#ifndef RAFT_FIXTURE_H
#define RAFT_FIXTURE_H

/**
 * @file raft_fixture.h
 * One replica of the replicated log, number 1 of three voters; a test plays
 * the peers 2 and 3, the disk and the clock.
 */

#include <glib.h>

#include "raft.h"

#define START_US UINT64_C(1000000)

struct sent {
	uint64_t to;
	struct record record;
};

struct fixture {
	struct node *node;
	struct raft *raft;
	GArray *sent; /* of struct sent */
	uint64_t sync_nr; /* latest asked for */
	uint64_t applied;
	uint32_t nr_snapshots;
	uint64_t now_us;
	struct store_image image;
	GArray *entries; /* of struct log_entry */
};

extern const char *const raft_fixture_addresses[];

/** Returns a new CMD_NOOP record. */
struct record raft_fixture_noop(void);
/** Returns a new CMD_MEMBERS record of the three voters. */
struct record raft_fixture_members(void);
/** Runs timers up to a later time. */
void raft_fixture_run_ms(struct fixture *fixture, uint64_t ms);
/** Answers the latest sync. */
void raft_fixture_synced(struct fixture *fixture);
/** Makes a replica in term 2 with entries 1 and 2 of term 1, or a fresh one. */
void raft_fixture_new(struct fixture *fixture, bool fresh);
/** As raft_fixture_new() with entries, in an open group. */
void raft_fixture_new_open(struct fixture *fixture, uint32_t losses);
void raft_fixture_free(struct fixture *fixture);
/** Forgets what was sent so far. */
void raft_fixture_forget(struct fixture *fixture);
/** Returns the latest message of the type sent to the peer, NULL if none. */
const void *raft_fixture_last(const struct fixture *fixture, uint64_t to,
			      uint32_t type);
/** Delivers a vote request from peer 2. */
void raft_fixture_vote(struct fixture *fixture, struct vote vote);
/** True if a vote was granted to peer 2. */
bool raft_fixture_granted(const struct fixture *fixture);
/** Delivers no-op entries of the term behind prev_index from peer 2. */
void raft_fixture_receive(struct fixture *fixture, uint64_t term,
			  uint64_t prev_index, uint64_t prev_term, uint32_t nr);
/** Returns the index last acknowledged to peer 2, 0 if none. */
uint64_t raft_fixture_acked(const struct fixture *fixture);
/** Makes the replica leader of term 3 with its no-op at index 3. */
void raft_fixture_elect(struct fixture *fixture);
/** Delivers an acknowledgement to the leader of term 3. */
void raft_fixture_acknowledge(struct fixture *fixture, uint64_t from,
			      uint64_t match_index, uint64_t sent_us);
/** Delivers a message. */
void raft_fixture_deliver(struct fixture *fixture, uint64_t from, uint32_t type,
			  const void *body);

#endif /* RAFT_FIXTURE_H */
