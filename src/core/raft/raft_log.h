#ifndef RAFT_LOG_H
#define RAFT_LOG_H

/**
 * @file raft_log.h
 * The log entries in memory, which follow the entries covered by a snapshot.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "msg_raft.h"

struct raft_log {
	uint64_t base_index; /* of the entry before the first one in memory */
	uint64_t base_term;
	GArray *entries; /* struct log_entry */
};

void raft_log_init(struct raft_log *log);
void raft_log_clear(struct raft_log *log);
uint64_t raft_log_last_index(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);
/** Stores the term of entry @a index, or returns false if it isn't known. */
bool raft_log_term(const struct raft_log *log, uint64_t index, uint64_t *term);
/** Returns the entry, which must be above the base and not above the last. */
const struct log_entry *raft_log_at(const struct raft_log *log, uint64_t index);
/** Appends the next entry and takes a reference to its command. */
void raft_log_append(struct raft_log *log, const struct log_entry *entry);
/** Removes the entries at @a index and above. */
void raft_log_truncate(struct raft_log *log, uint64_t index);
/** Drops the entries up to @a index, which becomes the base. */
void raft_log_compact(struct raft_log *log, uint64_t index);
/** Drops all entries and starts after the snapshot that ends at @a index. */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);
/**
 * Returns the last index, not below @a floor, whose term differs from that of
 * the entry at @a index: a hint where the follower's log may match the
 * leader's.
 */
uint64_t raft_log_skip_term(const struct raft_log *log, uint64_t index,
			    uint64_t floor);

#endif /* RAFT_LOG_H */
