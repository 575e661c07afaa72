#ifndef RAFT_LOG_H
#define RAFT_LOG_H

/**
 * @file raft_log.h
 * Log entries in memory, above the snapshot they start from.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "msg_raft.h"

struct raft_log {
	uint64_t base_index; /* the entry before the first one kept */
	uint64_t base_term;
	GArray *entries; /* of struct log_entry */
};

void raft_log_init(struct raft_log *log);
void raft_log_clear(struct raft_log *log);
uint64_t raft_log_last_index(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);
/** Returns false if the term of @a index is not known. */
bool raft_log_term(const struct raft_log *log, uint64_t index, uint64_t *term);
/** Returns the entry, which must be above the base and not beyond the end. */
const struct log_entry *raft_log_at(const struct raft_log *log, uint64_t index);
/** Appends the next entry and takes a reference to its command. */
void raft_log_append(struct raft_log *log, const struct log_entry *entry);
/** Removes the entries from @a index on. */
void raft_log_truncate(struct raft_log *log, uint64_t index);
/** Drops the entries up to @a index, which becomes the base. */
void raft_log_compact(struct raft_log *log, uint64_t index);
/** Drops all entries and starts behind a snapshot. */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);
/**
 * Returns the last index before @a index with another term than the entry at
 * @a index, not below @a floor; where a follower's log may match the leader's.
 */
uint64_t raft_log_skip_term(const struct raft_log *log, uint64_t index,
			    uint64_t floor);

#endif /* RAFT_LOG_H */
