#ifndef RAFT_DISK_H
#define RAFT_DISK_H

/** @file raft_disk.h A replica's disk in memory, which keeps what was synced.
 */

#include "raft_world.h"

struct disk *disk_new(void);
void disk_free(struct disk *disk);
/** What a restart finds; borrowed. */
struct store_image disk_image(const struct disk *disk);
/** Drops the unsynced writes, but for a random part of them. */
void disk_crash(struct disk *disk, struct sim *sim);

/** The context is the replica. */
extern const struct store_ops disk_store_ops;

#endif /* RAFT_DISK_H */
