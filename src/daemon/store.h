#ifndef STORE_H
#define STORE_H

/**
 * @file store.h
 * Files of one control replica in its data folder: "hard" (identity, term and
 * vote), "snapshot" and "log". The log is a header and batches of records; a
 * batch is written only after the one before it was synced, so a broken record
 * in the last batch is a torn write and cut off, and one in any earlier batch
 * is damage.
 *
 * What a full disk refuses is kept and written again until it is taken; the
 * sync is answered then.
 */

#include <stdbool.h>
#include <stdint.h>

#include "raft.h"

struct store;

struct store_opts {
	const char *path; /* of the folder, created if missing */
	/** Called from the main loop; the context of store_file_ops. */
	void (*synced)(void *ctx, uint64_t sync_nr, enum result result);
	/** The disk takes no more bytes, or takes them again. */
	void (*full)(void *ctx, bool full);
	void *ctx;
};

/**
 * Opens the folder and reads what it holds. Returns RESULT_CONFLICT if another
 * process has it open, RESULT_CORRUPT if stored data fails its checksum,
 * RESULT_DISK_FULL or RESULT_IO.
 */
enum result store_open(const struct store_opts *opts, struct store **store);
void store_close(struct store *store);

/** What was found at the opening; borrowed until store_drop_image(). */
const struct store_image *store_image(const struct store *store);
/** Frees the image once the replica has taken it. */
void store_drop_image(struct store *store);

/** Bytes cut off a torn log at the opening. */
uint64_t store_truncated_bytes(const struct store *store);

/** For raft_opts; the context is the store. */
extern const struct store_ops store_file_ops;

#endif /* STORE_H */
