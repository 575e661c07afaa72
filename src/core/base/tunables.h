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

/*
 * Connections that wait to be accepted. GLib's default of 10 lets a burst of
 * callers run into resets and into connects repeated after 1 s.
 */
#define LISTEN_BACKLOG 1024

/* Links between our processes. */
/* Two unanswered pings and the next one due: silence is found within 1 s. */
#define LINK_PING_INTERVAL_MS 330
#define LINK_SILENT_PINGS 2
#define LINK_ACCEPTED_TIMEOUT_MS \
	10000 /* an accepted link is given up after this */
#define LINK_DIAL_TIMEOUT_MS 2000
#define LINK_REDIAL_MIN_MS 100
#define LINK_REDIAL_MAX_MS 2000

/* Replicated log. */
#define RAFT_HEARTBEAT_MS 150
#define RAFT_SLOW_SYNC_MS 500 /* a log line; heartbeats go on meanwhile */
#define RAFT_ELECTION_MIN_MS 600
#define RAFT_ELECTION_MAX_MS 1200
/* Shorter than the shortest election, so an old leader stops granting first. */
#define RAFT_LEADER_LEASE_MS 500
#define RAFT_MEMBERS_MAX 7
/* A leader that stops gives its proposals this long to commit. */
#define RAFT_STEP_DOWN_MS 500
/* One append message; several may be under way to a follower. */
#define RAFT_APPEND_MAX_BYTES (256u << 10)
#define RAFT_APPEND_MAX_ENTRIES 512
#define RAFT_IN_FLIGHT_MAX 8
/* Proposals that wait for their commit; more are refused. */
#define RAFT_PROPOSALS_MAX 4096
#define RAFT_PROPOSALS_MAX_BYTES (12u << 20) /* below FRAME_MAX_BYTES */
#define RAFT_SNAPSHOT_ENTRIES 4096
/* Large entries reach this first; the process has 64 MB in all. */
#define RAFT_SNAPSHOT_BYTES (8u << 20)
/*
 * One in so many of these entries and bytes stays in memory behind a snapshot,
 * so that followers that lag a little don't need the snapshot.
 */
#define RAFT_LOG_KEEP_DIVISOR 4
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

#define RAFT_DIAL_INTERVAL_MS 1000 /* looks for members to dial */
/* A connection on which nothing comes for three pings and a little is lost. */
#define RAFT_LINK_TIMEOUT_MS 1100
/*
 * A member of an open group without a connection for this long may be removed;
 * above the longest outage that machines come back from on the platform (10 s).
 */
#define RAFT_MEMBER_REMOVE_AFTER_MS 12000
/*
 * The same for a voter that a new one has replaced, so that the group survives
 * another loss 4 s after the new one has started (platform).
 */
#define RAFT_VOTER_REMOVE_AFTER_MS 2000

/* Leases and permits. */
#define REPORT_INTERVAL_MS 500
#define LEASE_TTL_MS 6000
#define LEASE_MARGIN_MS 500 /* covers clock drift between VMs */
#define PERMIT_TTL_MS 1500
/* An order or grant lost on a link is repeated after this. */
#define ORDER_REPEAT_MS 1000
/* An agent that gets no grants stops its tasks this long before the end. */
#define LEASE_STOP_BEFORE_MS 1500
#define VM_CHECK_MS 250 /* how often the leader looks for lost VMs */
/* A settled task's epoch is remembered longer than any order may be late. */
#define TASK_TOMBSTONE_MS 10000

/* Views of the site. */
/* Control addresses that a process dials; a group has 7 members at most. */
#define SITE_CONTROLS_MAX 32
#define VIEW_QUERY_INTERVAL_MS 1000
/* Changes of VMs are sent together; at a start, all VMs come at once. */
#define VIEW_BATCH_MS 20

/* Records of the state machine. */
#define CLAIM_BODY_MAX_BYTES (16u << 10)
/* A resend after this may run again, so it exceeds any caller's retries. */
#define CLAIM_TTL_MS 86400000u
#define JOB_TTL_MS 86400000u /* of a finished job */
#define EXPIRE_INTERVAL_MS 60000
#define JOB_MAX_TASKS 10000
#define SERVICE_MAX_REPLICAS 10000
#define LIST_MAX_ITEMS 500
#define CONTROL_MAX_MEMBERS 7
/* Decisions carried out before the loop gets a turn. */
#define PLAN_DECISIONS_PER_TURN 64

/* Workflows. */
#define FLOW_MAX_STEPS 256
#define FLOW_MAX_TASKS 20000 /* of all occurrences; bounds a record's size */
#define FLOW_SPEC_MAX_BYTES 4000
/* Learned pairs of images in the state: 64 images of either kind. */
#define FLOW_MAX_PRESSURE_PAIRS 4096
/* Learned weights go to the log this often, if they moved by a quarter. */
#define FLOW_PRESSURE_SAVE_INTERVAL_MS 3000
#define FLOW_PRESSURE_SAVE_MAX_PAIRS 64 /* in one entry */
/*
 * An ended workflow is remembered this long, so that a late resend of its
 * submission finds it. Above any client's series of retries.
 */
#define FLOW_TTL_MS 600000u

/*
 * A worker's one lease. Long enough for a failover of control (about 1.5 s) and
 * a restart of an agent, short enough that the tasks of a worker that is gone
 * run elsewhere within 6 s.
 */
#define FLOW_LEASE_MAX_MS 5000
/* Fences that one term has for a VM; 2^53 is the limit of JSON's numbers. */
#define FLOW_FENCES_PER_TERM 65536u
/* Between processes; covers what a clock gains over a lease. */
#define FLOW_LEASE_MARGIN_MS 300
/* The platform's workers may measure a lease on a clock that is 2 % slow. */
#define WORKER_CLOCK_SLOW_PERMILLE 20
/* A call without an answer may be carried out this much later (platform). */
#define WORKER_CALL_MAX_DELAY_MS 12000
#define WORKER_LIST_MAX_ENDS \
	500 /* a worker lists this many at most (platform) */
/* A start needs this much lease, or it would lapse before the next renewal. */
#define RUNNER_START_MIN_LEASE_MS 1000
/* Above the longest wait of a call and its time limit; a lease lasts longer. */
#define RUNNER_CALL_MAX_MS 3000
/*
 * Starts, stops and paces under way to the worker. Below the connections that
 * hosts open to it (32), so that a look, which renews the lease, never waits.
 */
#define RUNNER_CALLS_MAX 24
/* Looks at candidates under way; each has its answer or none after 300 ms. */
#define RUNNER_CANDIDATES_MAX 4
/* A candidate is dropped after as many looks without an answer. */
#define RUNNER_CANDIDATE_PROBES 2
/* A worker ends right after it has said so; one that answers later goes on. */
#define RUNNER_LEAVING_MS 2000
#define RUNNER_LEAVING_PROBE_MS 100
/*
 * As many reports of one life in a row whose numbers rise, but stay below the
 * highest one, show that the highest one was wrong.
 */
#define RUNNER_SEQ_RESET_HEARTBEATS 3
#define RUNNER_REPORT_INTERVAL_MS 1000 /* five renewals within a lease */
/* A lease is renewed each second; without two of these it gets a log line. */
#define RUNNER_UNRENEWED_MS 2500
#define RUNNER_REPORT_DELAY_MS 3 /* collects what ends together */
/* A look at the worker waits this long for an end; 2,000 at most (platform). */
#define POLL_WAIT_MS 1000
#define POLL_WAIT_PACE_MS 250 /* figures change that often */
#define POLL_FIRST_RETRY_MS 10 /* after the first look without an answer */
#define POLL_RETRY_MS 300 /* after the next ones */
#define POLL_UNACKED_ENDS_MS 100 /* while ends wait for the log */
/* Orders come twice within a failover or a cut; cuts of 10 s are usual. */
#define RUNNER_REFUSAL_KEEP_MS 60000
#define RUNNER_REFUSALS_MAX 4096
#define STOP_REPEAT_MS 500 /* of a stop without an answer */
/* A VM whose agent didn't report for this long gets nothing new. */
#define FLOW_REPORT_STALE_MS 2500
/*
 * A VM whose agent was silent for this long gets nothing new; agents ping each
 * LINK_PING_INTERVAL_MS. What was placed waits there until the lease lapses.
 */
#define FLOW_SILENT_MS 800
/* An order that no report shows is sent again after this. */
#define FLOW_ORDER_REPEAT_MS 1500
#define FLOW_ORDER_RETRY_MS 50 /* while the leader may not grant */
/* Work that has found no place for so long gets a log line, then another each
 * time the wait has doubled. */
#define FLOW_WAIT_LOG_MS 2000
#define FLOW_RECENT_ENDS_MAX                            \
	512 /* kept for operators; 2 s of a busy leader \
	     */
#define FLOW_PLACE_DELAY_MS 2 /* collects what becomes ready together */
/* A workflow that found no room is held against all VMs again after this; in
 * between, against those that have changed. */
#define FLOW_EVALUATE_ALL_MS 250
/* A worker is shunned when failures are this share of its last ends. */
#define FLOW_FAIL_WEIGHT 4
#define FLOW_BACKOFF_PERMILLE 550
#define FLOW_REFUSED_MS 150 /* pause after a worker refused a start */
#define FLOW_BACKOFF_MIN_MS 2000
#define FLOW_BACKOFF_MAX_MS 16000
/*
 * A run that makes no progress for this long, and ran several times as long as
 * estimated, is stopped and placed elsewhere.
 */
#define FLOW_STALL_MS 2500
#define FLOW_STALL_FACTOR 2
/* A task's first figures tell of its start: each takes half of a change, 250 ms
 * after the one before. */
#define FLOW_MEASUREMENT_WARMUP_MS 1200
/* A filler waits for a VM on which it gets this share of its processors. */
#define FLOW_FILLER_MIN_GAIN_PERMILLE 500
/* A filler at this pace or below for this long is moved if it can work better
 * elsewhere; a stop and a start cost about half a second. */
#define FLOW_MOVE_PACE_PERCENT 40
#define FLOW_MOVE_AFTER_MS 600
#define FLOW_MOVE_LOSS_PERCENT 10 /* of work that isn't saved */
#define FLOW_MOVE_INTERVAL_MS 150 /* between moves to one VM */
/* Grouping of serving tasks. */
#define GROUP_HALVING_WEIGHT_PERMILLE \
	300 /* a weight that halves a filler's work */
#define GROUP_MOVE_INTERVAL_MS 500 /* between moves */
#define GROUP_TASKS_PER_ROUND 2 /* tasks held against all VMs each time */
#define GROUP_RETRY_MS 3000 /* a task that found no better VM is left alone */
/* A task that has just come back may not be counted as at work yet. */
#define GROUP_SETTLE_MS 1500
/* Share of a VM that a move must open: 5 of 64 cores for some time, against a
 * second of a task of 13. */
#define GROUP_GAIN_MIN_PERMILLE 78
/* Weights are sent again after this, in case a message was lost. */
#define FLOW_PAIRS_REPEAT_MS 3000
/*
 * A workflow of which nothing runs gets a task after this while less than this
 * share of the processors is taken; the platform's rule: 3 s and a half.
 */
#define FLOW_IDLE_MAX_MS 1200
#define FLOW_IDLE_MAX_USED_PERCENT 60
/* After this many times its objective, a workflow is worth nothing (platform).
 */
#define FLOW_ZERO_VALUE_FACTOR 3
/* Part of an average workflow's worth that doesn't grow with its work, and
 * what is left of the worth when it comes late (platform). */
#define FLOW_VALUE_FIXED_PERMILLE 300
#define FLOW_VALUE_LATE_PERMILLE 150
/* What nobody waits for is done last, smaller ones first. */
#define FLOW_VALUE_MIN_PERMILLE 10
/* An average work is taken over about so many workflows of a queue. */
#define FLOW_WORK_SAMPLES 64
#define FLOW_WORK_MAX_CORE_MS \
	UINT64_C(1000000000000) /* keeps sums in 64 bits */
/* Work left undone for a moment, so that a draining worker's checkpoint of it
 * is the last one. */
#define FLOW_DRAIN_STOP_BEFORE_MS 1500
/*
 * The adviser takes one call at a time and some time for each worker named;
 * the platform's own estimate of a step counts 30.
 */
#define ADVICE_MAX_WORKERS 30
#define ADVICE_RETRY_MS 200 /* after a call that failed */
/* A ticket is used up to this long before its end: a commit and a start. */
#define ADVICE_MARGIN_MS 300

/* Costs of a VM, in thousandths of its processors. */
/*
 * Another serving image: fillers find fewer VMs without a sensitive neighbour.
 * Above the whole spread of load.
 */
#define FLOW_COST_IMAGE_PERMILLE 1200
#define FLOW_COST_CLOSED_FACTOR 4 /* for each permille closed to fillers */
/* A filler that can work is worth more than an even load. */
#define FLOW_COST_GAIN_FACTOR 4
#define FLOW_COST_REMOTE_PERMILLE 500 /* the data is on another rack */
#define FLOW_COST_FAILED_PERMILLE 2000 /* the task failed there */
#define FLOW_COST_COLD_PERMILLE 300 /* its worker has just started */

/* Pace of fillers. */
/*
 * Utilization up to which fillers may press serving tasks; 800 is the target.
 * Loads swing by 100 in a second, and a figure takes 250 ms for half of a
 * change.
 */
#define PACE_SETPOINT_PERMILLE 750
/* A serving task without a figure yet; the platform's usual load. */
#define PACE_DEFAULT_LOAD_PERMILLE 450
#define PACE_OVERSHOOT_PERCENT                         \
	125 /* of the target: no filler may press more \
	     */
#define PACE_OVERSHOOT_MS 400 /* two figures at least */
#define PACE_MIN_STEP_PERCENT 3 /* smaller changes aren't worth a call */
/* Until a pace acts: 100 ms (platform) and a call. */
#define PACE_LAG_MS 120
/* Utilization up to which a filler may start at its full pace: the target. */
#define PACE_START_PERMILLE 800
#define PACE_START_WAIT_MS 400 /* at most, for others to slow down */
#define PACE_START_STEP_MS 40
/* Over the target for this long, fillers stop; 4 s break the platform's rule.
 */
#define PACE_OVER_TARGET_MAX_MS 1500

/* Planner. */
#define PLAN_HISTORY_MS 20000 /* what ran on a VM, longest lag of a sample */
/* From so many samples of a kind on, batch tasks are looked at this seldom. */
#define PLAN_KNOWN_SAMPLES 500
#define PLAN_KNOWN_SAMPLE_MS 2000
/* Progress from which on a checkpoint of an evicted task is to be expected. */
#define PLAN_CHECKPOINT_PPM 50000
/* Kinds that are learned; their names are chosen by the users. */
#define PLAN_MAX_KINDS 1024
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
#define PLAN_SLOWDOWN_PLACE_PPM 220000
#define PLAN_SLOWDOWN_LIMIT_PPM 320000
#define PLAN_NEGLIGIBLE_SLOWDOWN_PPM \
	10000 /* a slowdown that is not worth a step */
#define PLAN_NO_BATCH_MS 30000 /* a VM with a slow service takes no batch */
/* Batch that would slow a service beyond the limit waits this long for a better
 * VM. */
#define PLAN_NOISY_WAIT_MS 60000
/* Room for one urgent task is kept while one came within this time. */
#define PLAN_URGENT_RESERVE_MS 600000

/* Upstreams. */
#define UPSTREAM_ANNOUNCE_TTL_MS 3000
#define LOAD_INTERVAL_MS 500 /* of load reports without change */
#define LOAD_MIN_INTERVAL_MS 50 /* of load reports that tell a change */
/* An upstream without a newer report gets nothing new. Below the bound of 2 s
 * for a leaving upstream, and above three reports. */
#define LOAD_TTL_MS 1800

/* Routing. */
#define ROUTE_DEFAULT_SERVICE_TIME_US 10000 /* before anything is known */
#define ROUTE_STALL_MIN_US 50000 /* extra delay that counts as a loss */
/* Charge for a path that stalls each attempt. Ten times the usual stall of
 * 200 ms, because stalls decide the tail and not the mean. */
#define ROUTE_LOSS_PENALTY_US 2000000
/* A learned service time is taken as it is for this long, then fades. */
#define SERVICE_TIME_FRESH_MS 2000
#define SERVICE_TIME_DECAY_MS 10000
/* Grants come every REPORT_INTERVAL_MS; asking more often finds no permit. */
#define NO_PERMIT_PAUSE_MS 500
#define SLOW_START_MS 5000
#define SLOW_START_WARM_RUNS 100
/* The learned limit keeps a quarter of the slots: runs that are slow for
 * another cause than load aren't cured by fewer requests. */
#define LIMIT_FLOOR_DIVISOR 4
#define EJECT_FAILURES 5 /* in a row */
#define EJECT_BASE_MS 2000
#define EJECT_MAX_MS 60000
#define EJECT_MAX_DOUBLINGS 5
#define EJECT_CAP_DIVISOR 3 /* at most a third is ejected */

/* Entry. */
#define ENTRY_IN_FLIGHT_MAX 4096
#define ENTRY_IN_FLIGHT_MAX_BYTES (64u << 20)
/* Requests that wait in the entry for room at an upstream, for each slot. */
#define ENTRY_QUEUE_PER_SLOT 8
#define REQUEST_DEADLINE_MS 10000 /* where the bundle gives none */
#define REQUEST_DEADLINE_MAX_MS 600000
#define REQUEST_ATTEMPTS_MAX 4
#define RETRY_SHARE_PPM 100000
#define RETRY_BURST 20
#define HEDGE_SHARE_PPM 50000
#define HEDGE_BURST 5
/* How long an answered request's outcome is awaited, to record its response. */
#define OUTCOME_WAIT_MS 30000
#define CLAIM_REPEAT_MS 500 /* a claim query without a reply is sent again */
/* Completions are told again to a new leader; an election takes 1.5 s. */
#define CLAIM_DONE_KEEP_MS 10000
#define CLAIM_DONE_KEEP_MAX 256
/* How long another entry's request may take to arrive before it is refused for
 * good: above one stall of a path that lost a packet. */
#define CLAIM_ARRIVAL_MS 250
/* How long a lost agent may take to come back and tell an outcome. */
#define AGENT_RECONNECT_MS 1000

/* Submissions of workflows at the entry. */
/*
 * A call waits this long for a leader: above a failover's usual 0.8 s. What is
 * refused later than that is of little use to callers.
 */
#define GATEWAY_LEADER_WAIT_MS 900
/*
 * A call that a leader may have is answered as unknown after this share of the
 * caller's own limit, so that there is time to ask again.
 */
#define GATEWAY_REPLY_WAIT_PERCENT 45
#define GATEWAY_REPEAT_MS 400 /* of a call without a reply; calls repeat */
#define GATEWAY_TIMEOUT_MS 3000 /* where the caller gives no limit */
#define GATEWAY_CALLS_MAX 2048

/* Admission at the agent. */
#define ADMIT_QUEUE_PER_SLOT 16
#define ADMIT_RESPONSE_TTL_MS 60000
#define ADMIT_RESPONSE_MAX_BYTES (16u << 20)
/* Repeatable requests are asked about only when a link has been replaced. */
#define ADMIT_REPEATABLE_TTL_MS 5000
#define ADMIT_RECORD_TTL_MS 600000
#define ADMIT_RECORDS_MAX 16384
/* A run that isn't repeatable may go on past its deadline, but not forever. */
#define ADMIT_OVERRUN_MS 30000

#endif /* TUNABLES_H */
