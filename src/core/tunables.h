#ifndef TUNABLES_H
#define TUNABLES_H

/**
 * @file tunables.h
 * Tunable limits and defaults, each with its unit in the name.
 */

/* Sizes of fixed text fields, including the terminating NUL. */
#define NAME_BYTES 64
#define ADDRESS_BYTES 64
#define KEY_BYTES 128
#define TEXT_BYTES 256
#define PATH_BYTES 1024
#define DIGEST_BYTES 65 /* SHA-256 in hexadecimal */

/* Version of the protocol between the system's own processes. */
#define PROTOCOL_VERSION 1

/* Frames and bodies. */
#define FRAME_MAX_BYTES (16u << 20)
#define BODY_MAX_BYTES (8u << 20)
#define BUNDLE_MAX_BYTES (1u << 20)

/* Links between our processes. */
#define LINK_PING_INTERVAL_MS 250
#define LINK_SILENT_PINGS 3 /* unanswered pings before a link is silent */
#define LINK_DEAD_MS 10000 /* an accepted link is given up after this */
#define LINK_DIAL_TIMEOUT_MS 2000
#define LINK_REDIAL_MIN_MS 100
#define LINK_REDIAL_MAX_MS 2000

/* Replicated log. */
#define RAFT_HEARTBEAT_MS 100
#define RAFT_ELECTION_MIN_MS 600
#define RAFT_ELECTION_MAX_MS 1200
/* Shorter than the shortest election, so an old leader stops granting first. */
#define RAFT_LEADER_LEASE_MS 500
#define RAFT_MEMBERS_MAX 7
/* One append message; several may be under way to a follower. */
#define RAFT_APPEND_MAX_BYTES (256u << 10)
#define RAFT_APPEND_MAX_ENTRIES 512
#define RAFT_IN_FLIGHT_MAX 8
/* Proposals that wait for their commit; more are refused. */
#define RAFT_PROPOSALS_MAX 4096
#define RAFT_PROPOSALS_MAX_BYTES (12u << 20) /* below FRAME_MAX_BYTES */
#define RAFT_SNAPSHOT_ENTRIES 4096
/*
 * One in so many of these entries stays in memory behind a snapshot, so that
 * followers that lag a little don't need the snapshot.
 */
#define RAFT_LOG_KEEP_SHARE 4
#define RAFT_PAGE_MAX_BYTES (256u << 10)
#define RAFT_PAGE_RESEND_MS 500
/* A learner this close to the leader's log becomes a voter. */
#define RAFT_CAUGHT_UP_ENTRIES 64
#define RAFT_FORM_INTERVAL_MS 200
/* Votes for a new group count this long after they were asked for. */
#define RAFT_FORM_VOTE_MS 1000
/* Longer than a vote counts, so no replica supports two groups at a time. */
#define RAFT_FORM_PAUSE_MS 1500
/* A vote for a replica that doesn't form a group is withdrawn after this. */
#define RAFT_FORM_GIVE_UP_MS 5000

/* Leases and permits. */
#define REPORT_INTERVAL_MS 500
#define LEASE_TTL_MS 6000
#define LEASE_MARGIN_MS 500 /* covers clock drift between VMs */
#define PERMIT_TTL_MS 1500

/* Upstreams. */
#define UPSTREAM_ANNOUNCE_TTL_MS 3000

#endif /* TUNABLES_H */
