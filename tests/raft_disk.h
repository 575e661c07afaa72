#ifndef RAFT_DISK_H
#define RAFT_DISK_H

/**
 * @file raft_disk.h
 * A simulated disk of a replica, on which unsynced writes may be lost.
 */

#include "raft_world.h"

struct disk *disk_new(void);
void disk_free(struct disk *disk);
/** Returns the contents that a restart reads; owned by the disk. */
struct store_image disk_image(const struct disk *disk);
/** Applies a random number of the unsynced writes and drops the rest. */
void disk_crash(struct disk *disk, struct sim *sim);

/** Stores to the disk; the context is a struct replica. */
extern const struct store_ops disk_store_ops;

#endif /* RAFT_DISK_H */
