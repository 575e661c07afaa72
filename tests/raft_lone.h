#ifndef RAFT_LONE_H
#define RAFT_LONE_H

/**
 * @file raft_lone.h
 * A single replica of the replicated log, number 1 of three voters. The test
 * sends the messages of the peers 2 and 3, completes syncs and sets the clock.
 */

#include <glib.h>

#include "raft.h"

#define START_US UINT64_C(1000000)

struct sent {
	uint64_t to;
	struct record record;
};

struct lone {
	struct node *node;
	struct raft *raft;
	GArray *sent; /* struct sent: messages of the replica */
	uint64_t sync_nr; /* of the last sync request */
	uint64_t applied; /* index of the last applied entry */
	uint32_t nr_snapshots;
	uint64_t now_us;
	struct store_image image;
	GArray *entries; /* struct log_entry, on the disk at the start */
};

extern const char *const lone_addresses[];

/** Returns a new CMD_NOOP record. */
struct record lone_noop(void);
/** Returns a new CMD_MEMBERS record of the three voters. */
struct record lone_members(void);
/** Advances the time and runs the timers that become due. */
void lone_wait_ms(struct lone *lone, uint64_t ms);
/** Completes the last requested sync. */
void lone_synced(struct lone *lone);
/** Starts a replica in term 2 with entries 1 and 2 of term 1, or without. */
void lone_new(struct lone *lone, bool fresh);
/** Starts the replica with entries in an open group. */
void lone_new_open(struct lone *lone, uint32_t losses);
void lone_free(struct lone *lone);
/** Clears the list of sent messages. */
void lone_forget(struct lone *lone);
/** Returns the last message of the type sent to the peer, NULL if none. */
const void *lone_last(const struct lone *lone, uint64_t to, uint32_t type);
/** Delivers a vote request from peer 2. */
void lone_vote(struct lone *lone, struct vote vote);
/** Returns true if a vote was granted to peer 2. */
bool lone_granted(const struct lone *lone);
/** Delivers @a nr no-op entries of the term after prev_index from peer 2. */
void lone_receive(struct lone *lone, uint64_t term, uint64_t prev_index,
		  uint64_t prev_term, uint32_t nr);
/** Returns the last index acknowledged to peer 2, 0 if none. */
uint64_t lone_acked(const struct lone *lone);
/** Makes the replica the leader of term 3, with its no-op at index 3. */
void lone_lead(struct lone *lone);
/** Delivers an acknowledgement of term 3 to the replica. */
void lone_acknowledge(struct lone *lone, uint64_t from, uint64_t match_index,
		      uint64_t sent_us);
/** Delivers a message. */
void lone_deliver(struct lone *lone, uint64_t from, uint32_t type,
		  const void *body);

#endif /* RAFT_LONE_H */
