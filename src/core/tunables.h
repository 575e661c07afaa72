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

/* Leases and permits. */
#define REPORT_INTERVAL_MS 500
#define LEASE_TTL_MS 6000
#define LEASE_MARGIN_MS 500 /* covers clock drift between VMs */
#define PERMIT_TTL_MS 1500

/* Planner. */
#define PLAN_HISTORY_MS 20000 /* what ran on a VM, longest lag of a sample */
/* A batch job overtakes one of a priority higher by 1 that came this much
 * later, so that no priority starves another. */
#define PLAN_AGE_STEP_MS 30000
#define PLAN_MAX_PRIORITY 1000
#define PLAN_RETRY_MS 1000 /* a group that didn't fit is tried again */
#define PLAN_URGENT_RETRY_MS 100 /* the same for services and urgent work */
#define PLAN_CANDIDATES 24 /* VMs compared for one placement */
/* A job is refused for good only after this time without a new VM, as the VMs
 * of a fresh site announce themselves one by one. */
#define PLAN_NEVER_FITS_MS 10000

#define PLAN_HOLD_MS 5000 /* a place held for a service or urgent task */
/* A batch group that found no room for this long gets a VM kept free. */
#define PLAN_BATCH_HOLD_AFTER_MS 10000
#define PLAN_BATCH_HOLD_MS 120000
/* Evictions: never the same task again within the first time. At most this many
 * a minute against interference, plus one for each VM, and this many to make
 * room for services and urgent work, plus ten for each VM. */
#define PLAN_EVICT_AGAIN_MS 60000
#define PLAN_EVICTIONS_PER_MINUTE 30
#define PLAN_ROOM_EVICTIONS_PER_MINUTE 300
/* Zone out: batch follows the services after this time at the latest, and a
 * service that finds no other place is stopped after the second time. */
#define PLAN_DRAIN_BATCH_MS 2000
#define PLAN_DRAIN_FORCE_MS 30000
/* Zone back: time between two moves, and how long the spread is watched. */
#define PLAN_REBALANCE_MS 500
#define PLAN_REBALANCE_FOR_MS 120000
/* Starts of batch in a zone that came back, a second, for the first time. */
#define PLAN_RETURN_STARTS_PER_S 20
#define PLAN_RETURN_MS 10000
/* Quarantine doubles from the first to the second time. */
#define PLAN_QUARANTINE_MIN_S 60
#define PLAN_QUARANTINE_MAX_S 960
#define PLAN_PROBATION_TASKS 3
/* Predicted slowdown of a service up to which batch is placed beside it, and
 * measured slowdown that the planner acts against; the gap keeps it from acting
 * on what it placed itself. */
#define PLAN_SLOWDOWN_PLACE_PPM 250000
#define PLAN_SLOWDOWN_LIMIT_PPM 350000
#define PLAN_HARMLESS_PPM 10000 /* a slowdown that is not worth a step */
#define PLAN_CLOSED_MS 30000 /* a VM with a slow service takes no batch */
/* Batch that would slow a service beyond the limit waits this long for a better
 * VM. */
#define PLAN_NOISY_WAIT_MS 60000
/* Room for one urgent task is kept while one came within this time. */
#define PLAN_SLACK_MS 600000

/* Upstreams. */
#define UPSTREAM_ANNOUNCE_TTL_MS 3000

#endif /* TUNABLES_H */
