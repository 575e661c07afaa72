#ifndef TUNABLES_H
#define TUNABLES_H

/**
 * @file tunables.h
 * Limits, intervals and defaults that are compiled in. "The platform" is the
 * system around this one: its workers, clients, operator and advice service.
 */

/* Sizes of fixed text fields, including the terminating NUL. */
#define NAME_BYTES 64
#define ADDRESS_BYTES 64
#define KEY_BYTES 128
#define TEXT_BYTES 256
#define PATH_BYTES 1024
#define DIGEST_BYTES 65 /* SHA-256 in hexadecimal */

/* Version of the protocol between entry, agent and control processes. */
#define PROTOCOL_VERSION 1

/* Frames and bodies. */
#define FRAME_MAX_BYTES (16u << 20)
#define BODY_MAX_BYTES (8u << 20)
#define BUNDLE_MAX_BYTES (1u << 20)

/*
 * Connections that wait to be accepted. With GLib's default of 10, a burst of
 * callers gets resets, and connection attempts that are repeated after 1 s.
 */
#define LISTEN_BACKLOG 1024

/* Links between entry, agent and control processes. */
/*
 * A link is silent after this many unanswered pings, when the next ping is due:
 * silence is detected within 1 s.
 */
#define LINK_PING_INTERVAL_MS 330
#define LINK_SILENT_PINGS 2
/* An accepted link on which nothing arrived for this long is closed. */
#define LINK_ACCEPTED_TIMEOUT_MS 10000
#define LINK_DIAL_TIMEOUT_MS 2000
#define LINK_REDIAL_MIN_MS 100
#define LINK_REDIAL_MAX_MS 2000

/* Replicated log. */
#define RAFT_HEARTBEAT_MS 150
/* A slower disk sync is logged; heartbeats continue during a sync. */
#define RAFT_SLOW_SYNC_MS 500
#define RAFT_ELECTION_MIN_MS 600
#define RAFT_ELECTION_MAX_MS 1200
/*
 * Shorter than the shortest election timeout, so that an old leader stops
 * granting leases before a new one is elected.
 */
#define RAFT_LEADER_LEASE_MS 500
#define RAFT_MEMBERS_MAX 7
/* Time that a leader that shuts down gives its proposals to commit. */
#define RAFT_STEP_DOWN_MS 500
/* Limits of one append message; a follower may have several in flight. */
#define RAFT_APPEND_MAX_BYTES (256u << 10)
#define RAFT_APPEND_MAX_ENTRIES 512
#define RAFT_IN_FLIGHT_MAX 8
/* Proposals that wait for their commit; further ones are refused. */
#define RAFT_PROPOSALS_MAX 4096
#define RAFT_PROPOSALS_MAX_BYTES (12u << 20) /* below FRAME_MAX_BYTES */
/* A snapshot is taken after this many entries or bytes of the log. */
#define RAFT_SNAPSHOT_ENTRIES 4096
/* Large entries reach this limit first; the process has 64 MB in all. */
#define RAFT_SNAPSHOT_BYTES (8u << 20)
/*
 * This fraction (1/N) of the entries and bytes above stays in memory after a
 * snapshot, so that followers that lag a little don't need the snapshot.
 */
#define RAFT_LOG_KEEP_DIVISOR 4
#define RAFT_PAGE_MAX_BYTES (256u << 10)
#define RAFT_PAGE_RESEND_MS 500
/* A learner that lags the leader's log by at most this becomes a voter. */
#define RAFT_CAUGHT_UP_ENTRIES 64
#define RAFT_FORM_INTERVAL_MS 200
/* A vote for a new group counts this long after it was asked for. */
#define RAFT_FORM_VOTE_MS 1000
/*
 * A replica waits this long at its start and after it has withdrawn a vote:
 * longer than a vote counts, so that it never supports two groups at a time.
 */
#define RAFT_FORM_PAUSE_MS 1500
/* A vote for a replica that forms no group is withdrawn after this time. */
#define RAFT_FORM_GIVE_UP_MS 5000

/* Interval at which a replica looks for members to connect to. */
#define RAFT_DIAL_INTERVAL_MS 1000
/*
 * A connection on which nothing arrives for three ping intervals and a little
 * more counts as lost.
 */
#define RAFT_LINK_TIMEOUT_MS 1100
/*
 * A group that manages its own membership may remove a member that has had no
 * connection for this long. Machines of the platform come back from outages of
 * up to 10 s.
 */
#define RAFT_MEMBER_REMOVE_AFTER_MS 12000
/*
 * The same for a voter that another voter has replaced. The platform may take
 * down another replica 4 s after the replacement has started, and the group
 * has to survive that.
 */
#define RAFT_VOTER_REMOVE_AFTER_MS 2000

/* Leases and permits. */
#define REPORT_INTERVAL_MS 500
#define LEASE_TTL_MS 6000
#define LEASE_MARGIN_MS 500 /* covers clock drift between VMs */
#define PERMIT_TTL_MS 1500
/* Repeat interval of an order or grant that a link may have lost. */
#define ORDER_REPEAT_MS 1000
/* An agent without grants stops its tasks this long before their leases end. */
#define LEASE_STOP_BEFORE_MS 1500
#define VM_CHECK_MS 250 /* interval at which the leader checks for lost VMs */
/* Time for which a finished task's epoch is kept: above any order's delay. */
#define TASK_TOMBSTONE_MS 10000

/* Views of the site. */
/* Control addresses that a process connects to; a group has up to 7 members. */
#define SITE_CONTROLS_MAX 32
#define VIEW_QUERY_INTERVAL_MS 1000
/* Changes of VMs are sent in batches: at a start all VMs register at once. */
#define VIEW_BATCH_MS 20

/* Records of the state machine. */
#define CLAIM_BODY_MAX_BYTES (16u << 10)
/*
 * A request that is resent after its claim has expired may run again, so this
 * exceeds the time for which any caller retries.
 */
#define CLAIM_TTL_MS 86400000u
#define JOB_TTL_MS 86400000u /* of a finished job */
#define EXPIRE_INTERVAL_MS 60000
#define JOB_MAX_TASKS 10000
#define SERVICE_MAX_REPLICAS 10000
#define LIST_MAX_ITEMS 500
#define CONTROL_MAX_MEMBERS 7
/* Planner decisions that are carried out before the event loop continues. */
#define PLAN_DECISIONS_PER_TURN 64

/* Workflows. */
#define FLOW_MAX_STEPS 256
#define FLOW_MAX_TASKS 20000 /* of all occurrences; bounds a record's size */
#define FLOW_SPEC_MAX_BYTES 4000
/* Learned pairs of images in the state: 64 serving and 64 filler images. */
#define FLOW_MAX_PRESSURE_PAIRS 4096
/* Interval at which weights that changed by a quarter are committed. */
#define FLOW_PRESSURE_SAVE_INTERVAL_MS 3000
#define FLOW_PRESSURE_SAVE_MAX_PAIRS 64 /* in one log entry */
/*
 * An ended workflow is kept this long, so that a late resend of its submission
 * finds it. Longer than any client retries.
 */
#define FLOW_TTL_MS 600000u

/*
 * The one lease of a worker, which covers all its runs. Long enough for a
 * failover of control (about 1.5 s) and a restart of an agent, short enough
 * that the tasks of a lost worker run elsewhere within 6 s.
 */
#define FLOW_LEASE_MAX_MS 5000
/*
 * Fencing tokens that one term has for a VM. A token is made of the term and
 * this factor, and JSON carries integers up to 2^53 exactly.
 */
#define FLOW_FENCES_PER_TERM 65536u
/* Margin for the difference that clocks of two processes gain in a lease. */
#define FLOW_LEASE_MARGIN_MS 300
/* The platform's workers may measure a lease with a clock that is 2 % slow. */
#define WORKER_CLOCK_SLOW_PERMILLE 20
/*
 * The platform may delay a call by this much: a worker may still carry out a
 * call without an answer until then.
 */
#define WORKER_CALL_MAX_DELAY_MS 12000
/* The platform's limit of ends in one list of a worker. */
#define WORKER_LIST_MAX_ENDS 500
/*
 * Lease time that must be left for a start. With less, the run would lapse
 * before the next renewal.
 */
#define RUNNER_START_MIN_LEASE_MS 1000
/*
 * Longer than the longest wait of a call plus its time limit, and shorter than
 * a lease.
 */
#define RUNNER_CALL_MAX_MS 3000
/*
 * Start, stop and pace calls in flight to the worker. Below the 32 connections
 * that the host opens to it, so that a poll, which renews the lease, never
 * waits for a connection.
 */
#define RUNNER_CALLS_MAX 24
/* Probes of candidate workers in flight; each ends after 300 ms at most. */
#define RUNNER_CANDIDATES_MAX 4
/* A candidate is dropped after this many probes without an answer. */
#define RUNNER_CANDIDATE_PROBES 2
/*
 * A worker that has deregistered terminates at once. One that still answers
 * probes after this time is treated as running.
 */
#define RUNNER_LEAVING_MS 2000
#define RUNNER_LEAVING_PROBE_MS 100 /* interval of the probes */
/*
 * Heartbeats of one incarnation in a row whose sequence numbers rise but stay
 * below the highest number received. After this many the highest number is
 * taken to be wrong and dropped.
 */
#define RUNNER_SEQ_RESET_HEARTBEATS 3
#define RUNNER_REPORT_INTERVAL_MS 1000 /* five renewals within a lease */
/* A lease is renewed each second; it is logged when two renewals are missed. */
#define RUNNER_UNRENEWED_MS 2500
/* Delay of a report after an event, so that it covers ends close in time. */
#define RUNNER_REPORT_DELAY_MS 3
/* Time that a poll waits for an end; the platform allows 2,000. */
#define POLL_WAIT_MS 1000
/* The same while fillers are paced: measurements change at this interval. */
#define POLL_WAIT_PACE_MS 250
/*
 * Pause after the first poll without an answer, and after each following one.
 */
#define POLL_FIRST_RETRY_MS 10
#define POLL_RETRY_MS 300
/*
 * Pause while ends wait to be committed: the worker answers such polls at once.
 */
#define POLL_UNACKED_ENDS_MS 100
/*
 * Time for which refused runs are kept, since orders may arrive twice within a
 * failover or a network partition; partitions of 10 s are usual.
 */
#define RUNNER_REFUSAL_KEEP_MS 60000
#define RUNNER_REFUSALS_MAX 4096
#define STOP_REPEAT_MS 500 /* repeat interval of a stop without an answer */
/* A VM without a report from its agent for this long gets no new tasks. */
#define FLOW_REPORT_STALE_MS 2500
/*
 * A VM whose agent's link was silent for this long gets no new tasks; agents
 * ping every LINK_PING_INTERVAL_MS. Tasks placed there wait until the lease
 * expires.
 */
#define FLOW_SILENT_MS 800
/* An order is repeated if no report shows its effect after this time. */
#define FLOW_ORDER_REPEAT_MS 1500
/* Retry interval of orders while the leader has no valid leader lease. */
#define FLOW_ORDER_RETRY_MS 50
/*
 * A workflow whose tasks have waited this long for a VM is logged, and again
 * each time the wait has doubled.
 */
#define FLOW_WAIT_LOG_MS 2000
/* Recent ends that are kept for operators: about 2 s of a busy leader. */
#define FLOW_RECENT_ENDS_MAX 512
/*
 * Delay of a placement round, so that it covers tasks that become ready
 * together.
 */
#define FLOW_PLACE_DELAY_MS 2
/*
 * A workflow for which no VM had free capacity is evaluated against all VMs
 * again after this time; in between only against VMs that have changed.
 */
#define FLOW_EVALUATE_ALL_MS 250
/*
 * The failure rate of a worker is a moving average in which its last end counts
 * 1/FLOW_FAIL_WEIGHT. From FLOW_BACKOFF_PERMILLE on, the worker gets no tasks
 * for a time that doubles from the minimum to the maximum.
 */
#define FLOW_FAIL_WEIGHT 4
#define FLOW_BACKOFF_PERMILLE 550
#define FLOW_REFUSED_MS 150 /* pause after a worker refused a start */
#define FLOW_BACKOFF_MIN_MS 2000
#define FLOW_BACKOFF_MAX_MS 16000
/*
 * A run that has made no progress for FLOW_STALL_MS and has taken more than
 * FLOW_STALL_FACTOR times its estimate is stopped and placed elsewhere.
 */
#define FLOW_STALL_MS 2500
#define FLOW_STALL_FACTOR 2
/*
 * A serving run's measurements are ignored for this long after its start: they
 * are a moving average that takes in half of a change every 250 ms.
 */
#define FLOW_MEASUREMENT_WARMUP_MS 1200
/*
 * A filler is only placed on a VM where it gets this share of its processors.
 */
#define FLOW_FILLER_MIN_GAIN_PERMILLE 500
/*
 * A filler at this pace or below for this long is moved if it can do more work
 * elsewhere; a stop and a start cost about half a second.
 */
#define FLOW_MOVE_PACE_PERCENT 40
#define FLOW_MOVE_AFTER_MS 600
/* Share of the work that a move may lose because no checkpoint has it. */
#define FLOW_MOVE_LOSS_PERCENT 10
#define FLOW_MOVE_INTERVAL_MS 150 /* minimum time between moves to one VM */
/*
 * Grouping of serving tasks: those that the same fillers slow down share VMs,
 * so that the other VMs stay open to these fillers.
 */
/* The weight at which a filler can do half of its work. */
#define GROUP_HALVING_WEIGHT_PERMILLE 300
#define GROUP_MOVE_INTERVAL_MS 500 /* minimum time between moves */
/* Tasks that are evaluated against all VMs in each round. */
#define GROUP_TASKS_PER_ROUND 2
/*
 * A task for which no better VM was found is evaluated again after this time.
 */
#define GROUP_RETRY_MS 3000
/* A serving task that restarted less than this ago may not count as at work. */
#define GROUP_SETTLE_MS 1500
/*
 * Share of a VM's processors that a move must open to fillers: 5 of 64 cores
 * for some time outweigh a second of a 13-core task.
 */
#define GROUP_GAIN_MIN_PERMILLE 78
/* Weights are sent again after this time, in case a message was lost. */
#define FLOW_PAIRS_REPEAT_MS 3000
/*
 * A workflow without a running task gets one after this time while less than
 * the given percentage of the processors is in use. The platform requires it
 * within 3 s while less than half is in use.
 */
#define FLOW_IDLE_MAX_MS 1200
#define FLOW_IDLE_MAX_USED_PERCENT 60
/*
 * Value of a workflow to the platform. It is 0 once the workflow takes more
 * than this many times its objective.
 */
#define FLOW_ZERO_VALUE_FACTOR 3
/*
 * The part of an average workflow's value that doesn't depend on its work, and
 * the part of the value that remains when the workflow is late.
 */
#define FLOW_VALUE_FIXED_PERMILLE 300
#define FLOW_VALUE_LATE_PERMILLE 150
/*
 * Used for a workflow without any value left: such workflows run last, smaller
 * ones first.
 */
#define FLOW_VALUE_MIN_PERMILLE 10
/* Workflows of a queue over which the average work is taken, approximately. */
#define FLOW_WORK_SAMPLES 64
#define FLOW_WORK_MAX_CORE_MS \
	UINT64_C(1000000000000) /* keeps sums within 64 bits */
/*
 * A draining worker's runs that save checkpoints are stopped when this much of
 * its time is left, so that the checkpoint of the stop is the last one.
 */
#define FLOW_DRAIN_STOP_BEFORE_MS 1500
/*
 * Workers named in one call to the adviser, which handles one call at a time
 * and needs some time for each worker. The platform's own estimate of a step
 * assumes 30.
 */
#define ADVICE_MAX_WORKERS 30
#define ADVICE_RETRY_MS 200 /* pause after a call that failed */
/*
 * A ticket isn't used within this time of its end: a commit and a start call
 * have to fit.
 */
#define ADVICE_MARGIN_MS 300

/* Costs of placing a task on a VM, in permille of the VM's processors. */
/*
 * A serving task of another image on the VM: mixed VMs leave fillers fewer VMs
 * without a sensitive neighbour. Above the whole range of the load term.
 */
#define FLOW_COST_IMAGE_PERMILLE 1200
/* For each permille of the VM that the task closes to fillers. */
#define FLOW_COST_CLOSED_FACTOR 4
/*
 * For each permille of a filler's work that the VM doesn't allow. This counts
 * more than an even load.
 */
#define FLOW_COST_GAIN_FACTOR 4
#define FLOW_COST_REMOTE_PERMILLE 500 /* the task's data is on another rack */
#define FLOW_COST_FAILED_PERMILLE 2000 /* the task failed on this VM */
#define FLOW_COST_COLD_PERMILLE 300 /* the VM's worker is still warming up */

/* Pace of fillers: the percentage of their full speed at which they may run. */
/*
 * Utilization up to which fillers may raise that of a serving task. The target
 * is 800, but load changes by up to 100 within a second, and a measurement
 * takes in half of a change every 250 ms.
 */
#define PACE_SETPOINT_PERMILLE 750
/*
 * Assumed load of a serving task without a measurement: the platform's usual
 * load.
 */
#define PACE_DEFAULT_LOAD_PERMILLE 450
/*
 * No filler may add to the load of a serving task whose latency has been above
 * this percentage of its target for this long (at least two measurements).
 */
#define PACE_OVERSHOOT_PERCENT 125
#define PACE_OVERSHOOT_MS 400
#define PACE_MIN_STEP_PERCENT 3 /* smaller changes aren't worth a call */
/* Time until a pace takes effect: 100 ms at the worker, and the call. */
#define PACE_LAG_MS 120
/* Utilization up to which a filler may start at its full pace: the target. */
#define PACE_START_PERMILLE 800
/*
 * A start waits up to this time for other fillers to slow down, and checks at
 * this interval.
 */
#define PACE_START_WAIT_MS 400
#define PACE_START_STEP_MS 40
/*
 * All fillers are stopped when a serving task was above its target this long;
 * the platform allows 4 s.
 */
#define PACE_OVER_TARGET_MAX_MS 1500

/* Planner. */
/* Time for which runs on a VM are remembered: the longest lag of a sample. */
#define PLAN_HISTORY_MS 20000
/* Batch tasks of a kind with this many samples are sampled at this interval. */
#define PLAN_KNOWN_SAMPLES 500
#define PLAN_KNOWN_SAMPLE_MS 2000
/* From this progress on, an evicted task is expected to have a checkpoint. */
#define PLAN_CHECKPOINT_PPM 50000
/*
 * Kinds of jobs that are learned; users choose the names, so their number is
 * limited here.
 */
#define PLAN_MAX_KINDS 1024
/*
 * Aging: a batch job goes before one with a priority higher by 1 that was
 * submitted this much later, so that no priority starves another.
 */
#define PLAN_AGE_STEP_MS 30000
#define PLAN_MAX_PRIORITY 1000
/* A group that found no free capacity is tried again after this time. */
#define PLAN_RETRY_MS 1000
#define PLAN_URGENT_RETRY_MS 100 /* the same for services and urgent tasks */
#define PLAN_CANDIDATES 24 /* VMs that are compared for one placement */
/*
 * A job that fits no VM is refused once no VM has registered for this long: the
 * VMs of a new site register one after another.
 */
#define PLAN_NEVER_FITS_MS 10000

/* Duration of a capacity hold for a service or an urgent task. */
#define PLAN_HOLD_MS 5000
/* A batch group that has waited this long gets a capacity hold on a VM. */
#define PLAN_BATCH_HOLD_AFTER_MS 10000
#define PLAN_BATCH_HOLD_MS 120000
/*
 * Evictions. A task isn't evicted twice within the first time. The numbers of
 * evictions in a minute limit those against interference (plus one for each
 * VM) and those that free capacity for services and urgent tasks (plus ten for
 * each VM).
 */
#define PLAN_EVICT_AGAIN_MS 60000
#define PLAN_EVICTIONS_PER_MINUTE 30
#define PLAN_ROOM_EVICTIONS_PER_MINUTE 300
/*
 * Taking a zone out: batch tasks are moved after the services, but after the
 * first time at the latest. A service that finds no other VM is stopped after
 * the second time.
 */
#define PLAN_DRAIN_BATCH_MS 2000
#define PLAN_DRAIN_FORCE_MS 30000
/*
 * Bringing a zone back: time between two moves, and time for which the spread
 * of services is rebalanced.
 */
#define PLAN_REBALANCE_MS 500
#define PLAN_REBALANCE_FOR_MS 120000
/* Limit of batch starts in a zone for the given time after its return. */
#define PLAN_RETURN_STARTS_PER_S 20
#define PLAN_RETURN_MS 10000
/* The time in quarantine doubles from the minimum to the maximum. */
#define PLAN_QUARANTINE_MIN_S 60
#define PLAN_QUARANTINE_MAX_S 960
#define PLAN_PROBATION_TASKS 3
/*
 * Predicted slowdown of a service up to which batch tasks are placed beside it,
 * and measured slowdown from which the planner acts. The gap keeps the planner
 * from acting on its own placements.
 */
#define PLAN_SLOWDOWN_PLACE_PPM 220000
#define PLAN_SLOWDOWN_LIMIT_PPM 320000
#define PLAN_NEGLIGIBLE_SLOWDOWN_PPM 10000 /* slowdown that needs no action */
/* Time for which a VM with a slowed service takes no batch tasks. */
#define PLAN_NO_BATCH_MS 30000
/*
 * A batch task that would slow a service beyond the limit waits this long for a
 * better VM.
 */
#define PLAN_NOISY_WAIT_MS 60000
/* Capacity for an urgent task is kept free this long after the last one. */
#define PLAN_URGENT_RESERVE_MS 600000

/* Upstreams. */
#define UPSTREAM_ANNOUNCE_TTL_MS 3000
#define LOAD_INTERVAL_MS 500 /* of load reports without a change */
#define LOAD_MIN_INTERVAL_MS 50 /* of load reports with a change */
/*
 * An upstream without a newer load report gets no new requests. Below the limit
 * of 2 s for an upstream that shuts down, and above three report intervals.
 */
#define LOAD_TTL_MS 1800

/* Routing. */
#define ROUTE_DEFAULT_SERVICE_TIME_US 10000 /* before any sample */
/* Extra delay from which an attempt counts as stalled by a packet loss. */
#define ROUTE_STALL_MIN_US 50000
/*
 * Penalty of a network path that stalls each attempt. Ten times the usual stall
 * of 200 ms, because stalls determine the tail latency and not the mean.
 */
#define ROUTE_LOSS_PENALTY_US 2000000
/* A learned service time is used unchanged for this long, then decays. */
#define SERVICE_TIME_FRESH_MS 2000
#define SERVICE_TIME_DECAY_MS 10000
/*
 * Permits come with grants, every REPORT_INTERVAL_MS; an earlier retry finds
 * none.
 */
#define NO_PERMIT_PAUSE_MS 500
#define SLOW_START_MS 5000
#define SLOW_START_WARM_RUNS 100
/*
 * The learned concurrency limit keeps at least a quarter of the slots: fewer
 * requests don't help an upstream that is slow for another reason than load.
 */
#define LIMIT_FLOOR_DIVISOR 4
#define EJECT_FAILURES 5 /* in a row */
#define EJECT_BASE_MS 2000
#define EJECT_MAX_MS 60000
#define EJECT_MAX_DOUBLINGS 5
#define EJECT_CAP_DIVISOR 3 /* at most a third of the upstreams is ejected */

/* Entry. */
#define ENTRY_IN_FLIGHT_MAX 4096
#define ENTRY_IN_FLIGHT_MAX_BYTES (64u << 20)
/* Requests that wait in the entry for a free slot, per slot of an upstream. */
#define ENTRY_QUEUE_PER_SLOT 8
#define REQUEST_DEADLINE_MS 10000 /* where the bundle gives none */
#define REQUEST_DEADLINE_MAX_MS 600000
#define REQUEST_ATTEMPTS_MAX 4
#define RETRY_SHARE_PPM 100000
#define RETRY_BURST 20
#define HEDGE_SHARE_PPM 50000
#define HEDGE_BURST 5
/*
 * Time for which an entry awaits the outcome of a request whose caller already
 * has an answer, to record the response.
 */
#define OUTCOME_WAIT_MS 30000
#define CLAIM_REPEAT_MS 500 /* repeat interval of an unanswered claim query */
/* Completions are sent again to a new leader; an election takes 1.5 s. */
#define CLAIM_DONE_KEEP_MS 10000
#define CLAIM_DONE_KEEP_MAX 256
/*
 * Time that a request of another entry has to arrive at the agent before it is
 * refused for good: longer than one stall of a path that lost a packet.
 */
#define CLAIM_ARRIVAL_MS 250
/* Time that an agent has to reconnect and report an outcome. */
#define AGENT_RECONNECT_MS 1000

/* Submissions of workflows at the entry. */
/*
 * A call waits this long for a leader: longer than a failover's usual 0.8 s.
 * A later refusal is of little use to callers.
 */
#define GATEWAY_LEADER_WAIT_MS 900
/*
 * A call that a leader may have received is answered as unknown after this
 * percentage of the caller's time limit, so that the caller can retry.
 */
#define GATEWAY_REPLY_WAIT_PERCENT 45
/* Repeat interval of a call without a reply; calls are idempotent. */
#define GATEWAY_REPEAT_MS 400
#define GATEWAY_TIMEOUT_MS 3000 /* where the caller gives no limit */
#define GATEWAY_CALLS_MAX 2048

/* Admission at the agent. */
#define ADMIT_QUEUE_PER_SLOT 16
#define ADMIT_RESPONSE_TTL_MS 60000
#define ADMIT_RESPONSE_MAX_BYTES (16u << 20)
/*
 * Outcomes of repeatable requests are only queried after a link was replaced.
 */
#define ADMIT_REPEATABLE_TTL_MS 5000
#define ADMIT_RECORD_TTL_MS 600000
#define ADMIT_RECORDS_MAX 16384
/* A run that isn't repeatable may exceed its deadline by this much at most. */
#define ADMIT_OVERRUN_MS 30000

#endif /* TUNABLES_H */
