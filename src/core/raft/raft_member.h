#ifndef RAFT_MEMBER_H
#define RAFT_MEMBER_H

/**
 * @file raft_member.h
 * Configurations of the control group: which replicas are members, and which of
 * them are voters. The other members are learners, which get the log but don't
 * vote. A configuration is an immutable CMD_MEMBERS record; each change makes a
 * new record that differs in at most one voter.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "link.h"
#include "msg_raft.h"

/** One configuration and the log entry that holds it. */
struct raft_config {
	uint64_t index; /* of the entry; 0: the empty initial configuration */
	struct record members; /* CMD_MEMBERS */
};

/** The configurations in the log; the last one is in force. */
struct raft_configs {
	GArray *list; /* struct raft_config, never empty */
};

void raft_configs_init(struct raft_configs *configs);
void raft_configs_clear(struct raft_configs *configs);
/** Takes a reference to @a members. */
void raft_configs_push(struct raft_configs *configs, uint64_t index,
		       struct record members);
/** Drops the configurations at @a index and above, but never the first. */
void raft_configs_truncate(struct raft_configs *configs, uint64_t index);
/** Drops the configurations that are no longer in force at @a index. */
void raft_configs_compact(struct raft_configs *configs, uint64_t index);
/** Replaces all configurations by that of a snapshot up to @a index. */
void raft_configs_reset(struct raft_configs *configs, uint64_t index,
			struct record members);
const struct raft_config *raft_configs_last(const struct raft_configs *configs);
/** Returns the configuration in force at @a index. */
const struct raft_config *raft_configs_at(const struct raft_configs *configs,
					  uint64_t index);

const struct member *members_find(const struct members *members,
				  uint64_t node_id);
const struct member *members_find_address(const struct members *members,
					  const char *address);
bool members_is_voter(const struct members *members, uint64_t node_id);
uint32_t members_nr_voters(const struct members *members);
/** Returns how many voters are a majority. */
uint32_t members_quorum(const struct members *members);
/** Returns a configuration with the peer added as a voter or a learner. */
struct record members_add(const struct members *members,
			  const struct hello *peer, bool voter);
/**
 * Returns a configuration in which the peer, as a learner, replaces the member
 * that had its address.
 */
struct record members_replace(const struct members *members,
			      const struct hello *peer);
/** Returns a configuration without the member. */
struct record members_remove(const struct members *members, uint64_t node_id);
/** Returns the configuration with members.founded set. */
struct record members_found(const struct members *members);
/** Returns a configuration in which the learner is a voter. */
struct record members_promote(const struct members *members, uint64_t node_id);

#endif /* RAFT_MEMBER_H */
