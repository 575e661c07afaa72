#ifndef RAFT_WORLD_H
#define RAFT_WORLD_H

/**
 * @file raft_world.h
 * A control group under virtual time for tests: replicas with disks that lose
 * unsynced writes, a state machine that keeps every value it was given, and
 * checks of the group's safety after every millisecond.
 */

#include <glib.h>

#include "raft.h"
#include "sim.h"

#define WORLD_MAX_REPLICAS 5

struct disk;
struct world;

struct replica {
	struct world *world;
	struct sim_machine *machine;
	struct node *node; /* NULL while down */
	struct raft *raft;
	struct disk *disk;
	GArray *values; /* uint64_t, one for each applied index, 0: no value */
	uint32_t leader_changes;
	uint32_t sync_delay_us; /* upper bound */
	enum result sync_result; /* answer of the next syncs */
	bool disk_full; /* syncs wait until there is room */
};

struct world_opts {
	uint64_t seed;
	uint32_t nr_replicas;
	uint32_t nr_listed; /* of an open group; 0: all, and it isn't open */
	uint32_t losses;
	uint32_t snapshot_entries;
	uint32_t page_bytes;
};

struct world {
	struct world_opts opts;
	struct sim *sim;
	uint32_t nr_replicas;
	struct replica replicas[WORLD_MAX_REPLICAS];
	const char *addresses[WORLD_MAX_REPLICAS];
	const char *listed[WORLD_MAX_REPLICAS + 1];
	GArray *committed; /* struct world_entry, by index - 1 */
	GHashTable *leaders; /* term -> node_id */
	GArray *proposals; /* enum world_proposal, by tag - 1 */
	uint32_t acknowledged;
	uint32_t syncs;
	uint64_t granted_us; /* time for which some replica could grant */
};

struct world_entry {
	uint64_t term;
	uint64_t value;
};

enum world_proposal {
	PROPOSAL_PENDING,
	PROPOSAL_APPLIED,
	PROPOSAL_DROPPED,
};

struct world *world_new(const struct world_opts *opts);
void world_free(struct world *world);
/** Starts a replica from its disk; an empty disk means a new identity. */
void world_boot(struct replica *replica);
/** Kills the process; a part of the unsynced writes may be on the disk. */
void world_crash(struct replica *replica);
/** As world_crash(), and empties the disk. */
void world_lose_disk(struct replica *replica);
uint64_t world_random(struct world *world, uint64_t bound);
/** Runs and checks safety each millisecond. */
void world_run_ms(struct world *world, uint64_t duration_ms);
/** Returns the replica that is leader in the highest term, NULL if none. */
struct replica *world_leader(struct world *world);
/** Proposes a new value at the replica. */
enum result world_propose(struct replica *replica);
/** Runs until all replicas are voters and hold the same log, or the limit. */
bool world_settle(struct world *world, uint64_t limit_ms);
/** Runs until there is a leader. */
bool world_elect(struct world *world, uint64_t limit_ms);
/** Every acknowledged value is in every replica's state. */
void world_check_values(struct world *world);
/** Cuts the replica off from all others, or lifts the cuts. */
void world_isolate(struct replica *replica, bool cut);

#endif /* RAFT_WORLD_H */
