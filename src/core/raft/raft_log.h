#ifndef RAFT_LOG_H
#define RAFT_LOG_H

/**
 * @file raft_log.h
 * The part of the replicated log that is in memory: the entries above a base
 * index, which a snapshot covers.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "msg_raft.h"

struct raft_log {
	uint64_t base_index; /* index before the first entry, 0: none */
	uint64_t base_term; /* term of the entry at base_index */
	GArray *entries; /* struct log_entry */
};

void raft_log_init(struct raft_log *log);
void raft_log_clear(struct raft_log *log);
uint64_t raft_log_last_index(const struct raft_log *log);
uint64_t raft_log_last_term(const struct raft_log *log);
/** Gets the term of entry @a index; returns false if it isn't in memory. */
bool raft_log_term(const struct raft_log *log, uint64_t index, uint64_t *term);
/** Returns entry @a index, which must be above the base and in the log. */
const struct log_entry *raft_log_at(const struct raft_log *log, uint64_t index);
/** Appends the entry at the next index; takes a reference to its command. */
void raft_log_append(struct raft_log *log, const struct log_entry *entry);
/** Removes the entries at @a index and above. */
void raft_log_truncate(struct raft_log *log, uint64_t index);
/** Drops the entries up to @a index, which becomes the base. */
void raft_log_compact(struct raft_log *log, uint64_t index);
/** Drops all entries and starts after the snapshot that ends at @a index. */
void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term);
/**
 * Returns the last index before @a index whose entry has another term than the
 * one at @a index, or @a floor if that is higher. A follower sends it as a hint
 * where its log may match the leader's.
 */
uint64_t raft_log_skip_term(const struct raft_log *log, uint64_t index,
			    uint64_t floor);

#endif /* RAFT_LOG_H */
