#ifndef STORE_H
#define STORE_H

/**
 * @file store.h
 * Storage of one control replica in its data folder: the files "hard"
 * (identity, term and vote), "snapshot" and "log". The log is a header and
 * batches of records. A batch is written only after the previous one was
 * synced, so an invalid record in the last batch is a torn write and is
 * truncated, while one in an earlier batch is corruption.
 *
 * Writes that fail on a full disk are kept in memory and retried until they
 * succeed; synced() is called then.
 */

#include <stdbool.h>
#include <stdint.h>

#include "raft.h"

struct store;

struct store_opts {
	const char *path; /* of the folder, created if missing */
	/** Called from the main loop when a sync has ended. */
	void (*synced)(void *ctx, uint64_t sync_nr, enum result result);
	/** Called when the disk becomes full or has free space again. */
	void (*full)(void *ctx, bool full);
	void *ctx;
};

/**
 * Opens the folder and reads its files. Returns RESULT_CONFLICT if another
 * process has it open, RESULT_CORRUPT if stored data fails its checksum,
 * RESULT_DISK_FULL or RESULT_IO.
 */
enum result store_open(const struct store_opts *opts, struct store **store);
void store_close(struct store *store);

/** Returns the state read by store_open(), valid until store_drop_image(). */
const struct store_image *store_image(const struct store *store);
/** Frees the image; to be called once the replica has loaded it. */
void store_drop_image(struct store *store);

/** Returns the bytes of torn writes that store_open() found in the log. */
uint64_t store_truncated_bytes(const struct store *store);

/** Operations for the raft code; their context is the store. */
extern const struct store_ops store_file_ops;

#endif /* STORE_H */
