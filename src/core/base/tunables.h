#ifndef TUNABLES_H
#define TUNABLES_H

/**
 * @file tunables.h
 * Limits, intervals and defaults that are compiled in. "The platform" is the
 * system in which this program is deployed: its workers run the tasks, its
 * clients submit workflows, its operator sends configurations, and its advice
 * service names the workers that may run a step.
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

/* Largest frame between processes, HTTP body and bundle document. */
#define FRAME_MAX_BYTES (16u << 20)
#define BODY_MAX_BYTES (8u << 20)
/*
 * Orders for one VM are split into messages of this size. Far below
 * FRAME_MAX_BYTES, so that other messages don't wait behind a large one.
 */
#define FLOW_ORDERS_MAX_BYTES (1u << 20)
#define BUNDLE_MAX_BYTES (1u << 20)

/*
 * Connections that wait to be accepted by a listening socket. With GLib's
 * default of 10, a burst of callers would overflow the queue: some connections
 * are reset, and others are only attempted again after 1 s.
 */
#define LISTEN_BACKLOG 1024

/* Links: connections between entry, agent and control processes. */
/*
 * A link counts as silent if this many pings are unanswered when the next one
 * is due, so a peer that doesn't answer is detected within 1 s.
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
/* A disk sync that takes longer is logged; heartbeats go on during a sync. */
#define RAFT_SLOW_SYNC_MS 500
#define RAFT_ELECTION_MIN_MS 600
#define RAFT_ELECTION_MAX_MS 1200
/*
 * A leader that no majority has answered for this long grants no leases. This
 * is shorter than the shortest election timeout, so that an old leader stops
 * granting leases before a new one is elected.
 */
#define RAFT_LEADER_LEASE_MS 500
#define RAFT_MEMBERS_MAX 7
/* A leader that shuts down waits this long for its proposals to commit. */
#define RAFT_STEP_DOWN_MS 500
/* Limits of one append message, and of the messages in flight per follower. */
#define RAFT_APPEND_MAX_BYTES (256u << 10)
#define RAFT_APPEND_MAX_ENTRIES 512
#define RAFT_IN_FLIGHT_MAX 8
/* Limits of uncommitted proposals; further proposals are refused. */
#define RAFT_PROPOSALS_MAX 4096
#define RAFT_PROPOSALS_MAX_BYTES (12u << 20) /* below FRAME_MAX_BYTES */
/* A snapshot is taken when the log has this many entries or bytes. */
#define RAFT_SNAPSHOT_ENTRIES 4096
/* Bounds the memory of a log of large entries; the process may use 64 MB. */
#define RAFT_SNAPSHOT_BYTES (8u << 20)
/*
 * The log keeps 1/N of these entries and bytes after a snapshot, so that a
 * follower that lags a little doesn't need the snapshot.
 */
#define RAFT_LOG_KEEP_DIVISOR 4
/* Size and resend interval of the pages in which a snapshot is sent. */
#define RAFT_PAGE_MAX_BYTES (256u << 10)
#define RAFT_PAGE_RESEND_MS 500
/*
 * A learner (a replica that receives the log but has no vote) becomes a voter
 * when at most this many entries of the leader's log are missing in its own.
 */
#define RAFT_CAUGHT_UP_ENTRIES 64
/* Bootstrap of a control group by replicas without stored state. */
#define RAFT_FORM_INTERVAL_MS 200 /* of the messages (MSG_FORM) */
/*
 * A vote for a replica that bootstraps a group is valid for this long after
 * that replica has requested it.
 */
#define RAFT_FORM_VOTE_MS 1000
/*
 * A replica votes for nobody for this long after its start and after it has
 * withdrawn a vote: longer than a vote is valid, so that it never supports two
 * groups at a time.
 */
#define RAFT_FORM_PAUSE_MS 1500
/* A vote is withdrawn if no group has been formed after this time. */
#define RAFT_FORM_GIVE_UP_MS 5000

/* Interval at which a replica dials members to which it has no connection. */
#define RAFT_DIAL_INTERVAL_MS 1000
/*
 * A connection on which nothing has arrived for this long counts as lost: three
 * ping intervals (990 ms) and a margin.
 */
#define RAFT_LINK_TIMEOUT_MS 1100
/*
 * A control group that manages its own membership may remove a member that has
 * had no connection for this long. The platform's machines have outages of up
 * to 10 s, after which they come back.
 */
#define RAFT_MEMBER_REMOVE_AFTER_MS 12000
/* How long, and how often, a replica that stops asks to be removed. */
#define RAFT_LEAVE_WAIT_MS 1000
#define RAFT_LEAVE_INTERVAL_MS 100
/*
 * A voter without a connection is removed after this shorter time if the other
 * voters are enough, because one of them has replaced it: the absent voter only
 * raises the quorum. The platform may stop one more replica 4 s after the
 * replacement has started, and the group has to survive that.
 */
#define RAFT_VOTER_REMOVE_AFTER_MS 2000

/*
 * Tasks of jobs. A task may run while its lease lasts; a start is only valid
 * within a start permit. The leader's grants extend both, in reply to reports.
 */
#define REPORT_INTERVAL_MS 500 /* of an agent's reports to the leader */
#define LEASE_TTL_MS 6000
#define LEASE_MARGIN_MS 500 /* covers clock drift between VMs */
#define PERMIT_TTL_MS 1500
/* Repeat interval of an order or grant that may have been lost on a link. */
#define ORDER_REPEAT_MS 1000
/* Without grants, an agent stops its tasks this long before the leases end. */
#define LEASE_STOP_BEFORE_MS 1500
#define VM_CHECK_MS 250 /* interval at which the leader checks for lost VMs */
/*
 * An agent keeps the epoch of a finished task for this long, to ignore orders
 * for that epoch: longer than any order may be delayed.
 */
#define TASK_TOMBSTONE_MS 10000

/* Views: each process's copy of the site's zones, agents and bundle. */
/* Most control addresses a process connects to; a group has up to 7 members. */
#define SITE_CONTROLS_MAX 32
#define VIEW_QUERY_INTERVAL_MS 1000
/*
 * Changes of the view are collected for this long before they are sent: when a
 * site starts, all its VMs register at once.
 */
#define VIEW_BATCH_MS 20

/*
 * Limits and lifetimes of the state machine's records. A claim grants the only
 * run of a request that isn't repeatable to one agent.
 */
#define CLAIM_BODY_MAX_BYTES (16u << 10) /* of the response kept in a claim */
/*
 * Lifetime of a claim. A request that is resent after its claim has expired may
 * run again, so this exceeds the time for which any caller retries.
 */
#define CLAIM_TTL_MS 86400000u
#define JOB_TTL_MS 86400000u /* of a finished job */
#define EXPIRE_INTERVAL_MS 60000 /* at which expired records are dropped */
#define JOB_MAX_TASKS 10000
#define SERVICE_MAX_REPLICAS 10000
#define LIST_MAX_ITEMS 500 /* in one reply to an operator */
#define CONTROL_MAX_MEMBERS 7
/* Planner decisions that are carried out in one turn of the event loop. */
#define PLAN_DECISIONS_PER_TURN 64

/*
 * Workflows: jobs whose tasks are grouped in steps that depend on each other.
 * Serving tasks have a target for their tail latency. Fillers are best-effort
 * tasks on processors that other tasks leave idle. The weight of an image of
 * fillers on an image of serving tasks is the utilization that such a filler
 * adds to such a serving task if it uses the whole VM.
 */
#define FLOW_MAX_STEPS 256
#define FLOW_MAX_TASKS 20000 /* of all occurrences; bounds a record's size */
#define FLOW_SPEC_MAX_BYTES 4000
/* Pairs of a serving and a filler image with a weight: 64 images of each. */
#define FLOW_MAX_PRESSURE_PAIRS 4096
/* Interval at which weights that changed by a quarter are committed. */
#define FLOW_PRESSURE_SAVE_INTERVAL_MS 3000
#define FLOW_PRESSURE_SAVE_MAX_PAIRS 64 /* in one log entry */
/*
 * A finished workflow is kept for this long, which is longer than any client
 * retries, so that a repeated submission finds it.
 */
#define FLOW_TTL_MS 600000u

/*
 * Duration of a worker's lease, which covers all its runs. Long enough for a
 * failover of control (about 1.5 s) and a restart of an agent, short enough
 * that the tasks of a lost worker run elsewhere within 6 s.
 */
#define FLOW_LEASE_MAX_MS 5000
/*
 * Number of fencing tokens that a leader can use for one VM in its term, in
 * messages to the agent. A token is the term times this number plus a count.
 */
#define FLOW_FENCES_PER_TERM 65536u
/*
 * Numbers of the leader's and the agent's counts in the fencing token of a call
 * to the worker: (term x leader's counts + leader's count) x agent's counts +
 * agent's count. The token has to be below 2^53, up to which JSON carries
 * integers exactly, so terms may reach 2^28. The product has to be above
 * FLOW_FENCES_PER_TERM: earlier releases send the leader's token itself, and a
 * worker must not receive lower tokens after an upgrade.
 */
#define WORKER_FENCE_LEADER_COUNTS 16384u
#define WORKER_FENCE_AGENT_COUNTS 2048u
/* Margin for the drift between two processes' clocks during a lease. */
#define FLOW_LEASE_MARGIN_MS 300
/* The platform's workers may measure a lease with a clock that is 2 % slow. */
#define WORKER_CLOCK_SLOW_PERMILLE 20
/*
 * The record of a VM's worker expires once no report has come for this time.
 * Longer than any call is delayed and any lease lasts.
 */
#define FLOW_WORKER_EXPIRE_MS 600000u
#define FLOW_WORKER_EXPIRE_CHECK_MS 60000u
#define FLOW_WORKERS_MAX 256 /* records in one command */
/*
 * The platform may delay a call by this much, so a worker may carry out a call
 * that had no answer up to this long after the call was sent.
 */
#define WORKER_CALL_MAX_DELAY_MS 12000
/* Maximum number of ended runs that a worker reports in one list. */
#define WORKER_LIST_MAX_ENDS 500
/*
 * Time that the worker's lease must still last for an agent to start a run.
 * With less, the lease and so the run could end before the next renewal.
 */
#define RUNNER_START_MIN_LEASE_MS 1000
/*
 * An agent treats a call to its worker as unanswered if the program around the
 * core, which sends it, hasn't reported its end after this time. Longer than
 * the longest poll (POLL_WAIT_MS plus a call's time limit), shorter than a
 * lease.
 */
#define RUNNER_CALL_MAX_MS 3000
/*
 * Maximum number of start, stop and pace calls in flight to the worker. Below
 * the limit of 32 connections to the worker, so that a poll, which renews the
 * lease, never waits for a connection.
 */
#define RUNNER_CALLS_MAX 24
/*
 * So many of them are kept from starts and stops that yield to others. At a
 * worker that leaves calls unanswered, starts of a large batch step would soon
 * hold all calls until their time limit.
 */
#define RUNNER_CALLS_RESERVED 4
/*
 * A start that waits for a free call lets those pass that are more urgent and
 * were ordered at most this much later: the step for each priority, and the
 * maximum. Lasting tasks yield to none. As the time is limited, no start waits
 * for ever, however many urgent ones follow it.
 */
#define FLOW_START_YIELD_STEP_MS 2000
#define FLOW_START_YIELD_MAX_MS 6000
/*
 * The same for stops of tasks that don't last. They go before most starts: a
 * stop makes room, and after a start without an answer its task can't be placed
 * again before the stop.
 */
#define RUNNER_STOP_YIELD_MS 1000
/*
 * Maximum number of probes in flight, each of which ends within 300 ms. Probes
 * are sent to candidates: incarnations or addresses of the worker that
 * heartbeats have named and that are not confirmed yet.
 */
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
 * Number of consecutive heartbeats of one incarnation whose sequence numbers
 * rise but are below the highest number received. After this many, the highest
 * number is taken to be wrong and is dropped.
 */
#define RUNNER_SEQ_RESET_HEARTBEATS 3
/* Interval of an agent's reports: five renewals within a lease. */
#define RUNNER_REPORT_INTERVAL_MS 1000
/* A lease that wasn't renewed for this long (two reports) is logged. */
#define RUNNER_UNRENEWED_MS 2500
/* Delay of a report after a change, to cover runs that end close in time. */
#define RUNNER_REPORT_DELAY_MS 3
/*
 * A start that has had no answer for this time is reported, in case the agent
 * ends before the call times out. Workers on the same VM answer within a few
 * milliseconds.
 */
#define RUNNER_START_OVERDUE_MS 20
/* Time that a poll waits for a run to end; the platform allows 2,000 ms. */
#define POLL_WAIT_MS 1000
/*
 * Time that a poll waits while fillers run beside serving tasks: the
 * measurements by which the fillers are throttled change at this interval.
 */
#define POLL_WAIT_PACE_MS 250
/*
 * Pause after the first of several polls without an answer, and after each
 * following one.
 */
#define POLL_FIRST_RETRY_MS 10
#define POLL_RETRY_MS 300
/*
 * Pause between polls while the worker lists ends that aren't committed yet: a
 * worker with ends to list answers a poll at once.
 */
#define POLL_UNACKED_ENDS_MS 100
/*
 * An agent remembers for this long which runs it has reported as never started,
 * since the order of such a run may arrive a second time after a failover or a
 * network partition; partitions of 10 s are usual.
 */
#define RUNNER_REFUSAL_KEEP_MS 60000
#define RUNNER_REFUSALS_MAX 4096
#define STOP_REPEAT_MS 500 /* repeat interval of an unanswered stop call */
/* A VM whose agent has sent no report for this long gets no new tasks. */
#define FLOW_REPORT_STALE_MS 2500
/*
 * A VM gets no new tasks if nothing has arrived from its agent for this long;
 * agents ping every LINK_PING_INTERVAL_MS. Tasks that are placed on such a VM
 * can only be placed elsewhere once its lease has expired.
 */
#define FLOW_SILENT_MS 800
/* An order is sent again if no report shows its effect after this time. */
#define FLOW_ORDER_REPEAT_MS 1500
/* Interval of attempts to send orders while the leader lease isn't valid. */
#define FLOW_ORDER_RETRY_MS 50
/*
 * A workflow whose tasks have waited this long for a VM is logged, and again
 * each time the wait has doubled.
 */
#define FLOW_WAIT_LOG_MS 2000
/* Recent ends of runs kept for operators: about 2 s of a busy leader. */
#define FLOW_RECENT_ENDS_MAX 512
/*
 * Entries and bytes of them in one line of placements or ends. The logger cuts
 * lines of more than 4096 bytes; the other values of a line take less than 900.
 */
#define FLOW_ACCOUNT_ENTRIES_MAX 64
#define FLOW_ACCOUNT_BYTES_MAX 3000
/*
 * A placement round begins this long after a task has become ready, to cover
 * tasks that become ready together.
 */
#define FLOW_PLACE_DELAY_MS 2
/*
 * If no VM had free capacity for a workflow, all VMs are evaluated again after
 * this time, and until then only VMs that have changed.
 */
#define FLOW_EVALUATE_ALL_MS 250
/*
 * The failure rate of a worker is a moving average in which the last run that
 * ended counts 1/FLOW_FAIL_WEIGHT. From FLOW_BACKOFF_PERMILLE on, the worker
 * gets no tasks for FLOW_BACKOFF_MIN_MS; this time doubles with each backoff up
 * to FLOW_BACKOFF_MAX_MS. plan/reliability.h says which failures count.
 */
#define FLOW_FAIL_WEIGHT 4
#define FLOW_BACKOFF_PERMILLE 550
#define FLOW_REFUSED_MS 150 /* pause of placements after a refused start */
#define FLOW_BACKOFF_MIN_MS 2000
#define FLOW_BACKOFF_MAX_MS 16000
/*
 * A worker is only barred if its failure rate is this many times the mean of
 * the others of its service: failures on many workers point to what they ran.
 */
#define RELIABILITY_OUTLIER_FACTOR 2
/* At most 1/RELIABILITY_BARRED_PART of a service's workers are barred. */
#define RELIABILITY_BARRED_PART 4
/* Last ends that are kept when a worker is barred. */
#define RELIABILITY_KEPT_ENDS 2
/*
 * A run counts as a success if it has lasted this many times as long as the
 * longest failed run of its step, and at least RELIABILITY_OUTLIVES_MIN_MS:
 * reports show the age of a run up to a second late.
 */
#define RELIABILITY_OUTLIVES_FACTOR 2
#define RELIABILITY_OUTLIVES_MIN_MS 1500
/*
 * A long-running task that has been at work for this long shows that its worker
 * is sound: one that fails everything fails it within seconds. A later failure
 * of the task doesn't count against the worker.
 */
#define RELIABILITY_SOUND_MS 10000
/*
 * After this many failures of a step in a row its long-running tasks are
 * restarted after a pause, which doubles up to the maximum. Clients expect a
 * long-running task to be restarted within 3 s.
 */
#define RELIABILITY_PAUSE_FAILURES 3
#define RELIABILITY_PAUSE_MIN_MS 250u
#define RELIABILITY_PAUSE_MAX_MS 2000u
/*
 * A run is stopped and its task is placed elsewhere if the run has made no
 * progress for FLOW_STALL_MS and has lasted longer than FLOW_STALL_FACTOR times
 * its estimate.
 */
#define FLOW_STALL_MS 2500
#define FLOW_STALL_FACTOR 2
/*
 * With the contended load policy, a run has also to be without progress for
 * this many times the time that one percent has taken so far: one percent of a
 * long run takes longer than FLOW_STALL_MS.
 */
#define FLOW_STALL_STEPS 4
/*
 * Latency measurements of a serving task are ignored for this long after its
 * start: they are a moving average that takes in half of a change every 250 ms.
 */
#define FLOW_MEASUREMENT_WARMUP_MS 1200
/*
 * A filler is only placed on a VM where it may run at this share of its full
 * speed or more.
 */
#define FLOW_FILLER_MIN_GAIN_PERMILLE 500
/*
 * With the contended load policy: nearly its full speed, so that a run on the
 * critical path takes little longer than its work. The rest is the resolution
 * of learned weights.
 */
#define FLOW_FILLER_FULL_GAIN_PERMILLE 950
/*
 * How far ahead rising loads of serving tasks count when a filler starts: about
 * half of a filler's run. One that is throttled later holds its room for longer
 * than it would have waited.
 */
#define FLOW_LOAD_AHEAD_MS 1000
/*
 * A workflow that has had no task placed for this long no longer waits for full
 * speed. About the time by which a heavy workflow may exceed its work.
 */
#define FLOW_FULL_SPEED_WAIT_MS 5000
/*
 * A filler that has run at this pace (percent of its full speed) or below for
 * this long is moved if it can do more work on another VM; a move takes about
 * half a second for the stop and the start.
 */
#define FLOW_MOVE_PACE_PERCENT 40
#define FLOW_MOVE_AFTER_MS 600
/*
 * A filler without checkpoints isn't moved once it has done more than this
 * share of its work.
 */
#define FLOW_MOVE_LOSS_PERCENT 10
#define FLOW_MOVE_INTERVAL_MS 150 /* minimum time between moves to one VM */
/*
 * All VMs are evaluated again for a throttled filler after this time: at each
 * report of its VM, this took a quarter of the processor time of a leader with
 * 240 VMs.
 */
#define FLOW_MOVE_RETRY_MS 500
/* ---- whether a stop pays, with the contended load policy ---- */
/*
 * From the end of a stopped run until its task runs again: the report, the
 * commit of the end, the placement and its commit, and the start.
 */
#define STOP_RESTART_MS 200
/* Time of a stop if the settings don't give it, see FLOW_MOVE_AFTER_MS. */
#define STOP_DEFAULT_MS 500
/*
 * A stop has to gain this many times its cost if the remaining time is known
 * from a client's estimate only, which may be too long by 90 %: the run may
 * then end in a tenth of the time.
 */
#define STOP_UNSURE_FACTOR 10
/*
 * A run that has been all but halted, at STOP_HALTED_PERCENT of its speed or
 * below, for STOP_HALTED_MS is moved whatever work it loses: how long it stays
 * halted isn't known.
 */
#define STOP_HALTED_PERCENT 5
#define STOP_HALTED_MS 3000
/*
 * Time over which the move of a serving task has to gain more processor time
 * for fillers than the task loses by its stop. Loads that change more slowly
 * than this give the move its worth.
 */
#define STOP_SERVING_HORIZON_MS 10000
/*
 * Pairs of a queue and an image whose run times are learned; the least recently
 * used one is replaced. Sites have up to 18 queues for each of 3 kinds.
 */
#define RUN_TIME_PAIRS_MAX 256
/*
 * Runs that the learned time of a pair follows from, and how many of them are
 * needed before it is used. The high quantile is the 90th percentile.
 */
#define RUN_TIME_SAMPLES 32
#define RUN_TIME_MIN_SAMPLES 4
#define RUN_TIME_HIGH_PERCENT 90
/*
 * Grouping of serving tasks: those that the same fillers slow down share VMs,
 * so that the other VMs stay open to these fillers.
 */
/* At this weight a filler is expected to run at half of its full speed. */
#define GROUP_HALVING_WEIGHT_PERMILLE 300
#define GROUP_MOVE_INTERVAL_MS 500 /* minimum time between moves */
/* Serving tasks per round for which all VMs are evaluated. */
#define GROUP_TASKS_PER_ROUND 2
/*
 * A serving task for which no better VM was found is evaluated again after this
 * time.
 */
#define GROUP_RETRY_MS 3000
/*
 * A serving task may not serve requests yet if its agent has listed it for less
 * than this time.
 */
#define GROUP_SETTLE_MS 1500
/*
 * Share of a VM's processors that a move of a serving task must make available
 * to fillers. The task is stopped for about a second: 5 of 64 cores for some
 * time are worth more than one second of a 13-core task.
 */
#define GROUP_GAIN_MIN_PERMILLE 78
/* Weights are sent to an agent again after this time: messages may be lost. */
#define FLOW_PAIRS_REPEAT_MS 3000
/*
 * If a workflow has had no task placed for FLOW_IDLE_MAX_MS and less than
 * FLOW_IDLE_MAX_USED_PERCENT of its service's processors is in use, one of its
 * tasks is placed, even a filler that slows down serving tasks. The platform
 * requires a placement within 3 s if less than half of the processors is in
 * use, and within 9 s for each long-running task, however many are.
 */
#define FLOW_IDLE_MAX_MS 1200
#define FLOW_IDLE_MAX_USED_PERCENT 60
/*
 * Reservations of capacity for waiting tasks. Each of them keeps a VM from
 * others, so their number is limited, also by the number of VMs on a small site
 * and for each stage: many equal tasks of one stage would take all.
 */
#define FLOW_RESERVE_MAX 8
#define FLOW_RESERVE_STAGE_MAX 4
#define FLOW_RESERVE_WAITS_MAX 64 /* waiting stages that a plan considers */
#define FLOW_RESERVE_VMS_PERCENT 25
/*
 * Runs mostly take 0.5 to 2.5 s. Further ahead than this, estimates, which are
 * off by up to 90 %, say nothing of when capacity becomes free.
 */
#define FLOW_RESERVE_HORIZON_MS 10000
/*
 * Interval of planning. A plan reads the runs of all VMs: 2,000 runs, which
 * would take most of the leader's processor time at each pass of placement.
 */
#define FLOW_RESERVE_PLAN_MS 100
/* By which a reserved time may be exceeded. */
#define FLOW_RESERVE_LATE_MS 500
/*
 * A task ends before a reserved time if it would also do so when it starts this
 * late and runs this much longer than expected.
 */
#define FLOW_RESERVE_START_MS 100
#define FLOW_RESERVE_MARGIN_PERMILLE 500
/*
 * A long-running task that has waited this long ignores reservations. It has to
 * run within 9 s, and a start that isn't answered takes some seconds.
 */
#define FLOW_RESERVE_LASTING_MS 3000
/*
 * The platform assigns a workflow a value, which is lower if the workflow is
 * late, and 0 if the workflow takes longer than this many times its objective.
 */
#define FLOW_ZERO_VALUE_FACTOR 3
/*
 * The part of an average workflow's value that doesn't depend on its work, and
 * the part of the value that remains when the workflow is late.
 */
#define FLOW_VALUE_FIXED_PERMILLE 300
#define FLOW_VALUE_LATE_PERMILLE 150
/*
 * Admission control assumes half as much capacity again as it measures: a wrong
 * refusal costs a caller more than a late answer. Estimates of single tasks are
 * off by up to 90 %, but those of a queue's tasks balance each other.
 */
#define ADMISSION_MARGIN_PERMILLE 500
/*
 * Seconds over which capacity is measured; the largest value counts, as runs
 * and links may be interrupted for a moment. A new leader refuses nothing for
 * this long: agents report at least every second, and the runs of an earlier
 * leader end meanwhile.
 */
#define ADMISSION_WINDOW_S 5
#define ADMISSION_MIN_SAMPLED_S 2 /* within the window, before a refusal */
#define ADMISSION_SAMPLE_MS 500 /* interval between samples without calls */
/* Runs in the window from which on their yield counts if it is below 1000. */
#define ADMISSION_MIN_RUNS 20
/* Bounds of the yield, so that a few odd runs don't decide. */
#define ADMISSION_YIELD_MIN_PERMILLE 500
#define ADMISSION_YIELD_MAX_PERMILLE 4000
/*
 * Shortest time until a refused submission may come again, and for which its id
 * is refused. For calls with a longer time limit it is the time for which
 * entries send copies of a call, plus that for which a copy may be on its way:
 * a link goes silent after 1 s. So no earlier copy is accepted after a refusal.
 */
#define ADMISSION_RETRY_MIN_MS 3000
#define ADMISSION_FLIGHT_MS 1500
/* Longest such time: no estimate holds for longer, as loads change. */
#define ADMISSION_RETRY_MAX_MS 30000
/* Callers may come back by this much too early: clocks and links vary. */
#define ADMISSION_EARLY_MS 250
/* A refused caller that doesn't come back counts as waiting for this long. */
#define ADMISSION_RETURN_MS 2000
#define ADMISSION_WAITING_MAX 1024 /* refused callers that are remembered */
/* Accepted workflows that are checked against their estimates. */
#define ADMISSION_ACCEPTED_MAX 8192
/*
 * A refused submission is like a workflow of the same queue that was accepted
 * up to this long before and whose work differs by up to this much.
 */
#define ADMISSION_LIKE_MS 10000
#define ADMISSION_LIKE_PERCENT 25
/*
 * Assumed share of its value for a workflow that has no value any more, so that
 * workflows without value run last, smaller ones first.
 */
#define FLOW_VALUE_MIN_PERMILLE 10
/* Approximate number of workflows in the average work of a queue. */
#define FLOW_WORK_SAMPLES 64
#define FLOW_WORK_MAX_CORE_MS \
	UINT64_C(1000000000000) /* keeps sums within 64 bits */
/*
 * Runs that save checkpoints are stopped when their draining worker has this
 * much time left, so that the checkpoint saved by the stop is the last one.
 */
#define FLOW_DRAIN_STOP_BEFORE_MS 1500
/*
 * Maximum number of workers in a call to the advice service, which handles one
 * call at a time and needs some time for each worker. The platform's own time
 * estimate for a step assumes 30 workers.
 */
#define ADVICE_MAX_WORKERS 30
#define ADVICE_RETRY_MS 200 /* pause after a failed call to the service */
/*
 * A ticket that expires within this time isn't used: it has to be valid until
 * the placement is committed and the start call has arrived.
 */
#define ADVICE_MARGIN_MS 300

/* Costs that rank the VMs for a task, in permille of a VM's processors. */
/*
 * Cost of a VM that runs a serving task of another image. Serving tasks of an
 * image are kept together, so that fillers find more VMs without a serving task
 * that they slow down. Above the largest cost of a VM's load.
 */
#define FLOW_COST_IMAGE_PERMILLE 1200
/* Cost for each permille of the VM that fillers can't use beside the task. */
#define FLOW_COST_CLOSED_FACTOR 4
/* Cost for each permille of the VM that no task has reserved. */
#define FLOW_COST_UNUSED_FACTOR 2
/* Cost of each other image on the VM while fillers' weights aren't known. */
#define FLOW_COST_MIXED_PERMILLE 300
/* Cost of a filler for each permille that serving tasks have reserved. */
#define FLOW_COST_BESIDE_FACTOR 1
/*
 * Cost for each permille by which a filler would run below its full speed. This
 * counts more than an even load of the VMs.
 */
#define FLOW_COST_GAIN_FACTOR 4
#define FLOW_COST_REMOTE_PERMILLE 500 /* the task's data is on another rack */
#define FLOW_COST_FAILED_PERMILLE 2000 /* the task failed on this VM */
/* The worker has left a poll unanswered in the last FLOW_SILENCE_COUNTS_MS. */
#define FLOW_COST_SILENT_PERMILLE 2000
#define FLOW_SILENCE_COUNTS_MS 5000
#define FLOW_COST_COLD_PERMILLE 300 /* the VM's worker is still warming up */

/* Pace of fillers: the percentage of their full speed at which they may run. */
/*
 * Fillers may raise the utilization of a serving task up to this. The target is
 * 800, but the load changes by up to 100 within a second, and a measurement
 * takes in half of a change every 250 ms.
 */
#define PACE_SETPOINT_PERMILLE 750
/*
 * Utilization assumed for a serving task without a measurement: its usual value
 * on the platform.
 */
#define PACE_DEFAULT_LOAD_PERMILLE 450
/*
 * No filler may slow down a serving task whose tail latency has been above
 * this percentage of its target for this long (at least two measurements).
 */
#define PACE_OVERSHOOT_PERCENT 125
#define PACE_OVERSHOOT_MS 400
#define PACE_MIN_STEP_PERCENT 3 /* smaller changes aren't worth a call */
/* Time until a new pace takes effect: 100 ms in the worker, plus the call. */
#define PACE_LAG_MS 120
/*
 * Utilization of a serving task, its target, up to which a filler may start at
 * its full pace.
 */
#define PACE_START_PERMILLE 800
/*
 * The start of a filler is delayed by up to this time until other fillers have
 * slowed down, which is checked at this interval.
 */
#define PACE_START_WAIT_MS 400
#define PACE_START_STEP_MS 40
/*
 * All fillers on a VM are halted when the latency of a serving task has been
 * above its target for this long; the platform allows 4 s.
 */
#define PACE_OVER_TARGET_MAX_MS 1500

/*
 * Planner of jobs: places batch tasks, urgent tasks and replicas of services.
 * The planner learns from samples how fast the tasks of a kind of job run; jobs
 * of one kind have similar resource use.
 */
/* Time for which a VM's ended runs are kept: samples may arrive this late. */
#define PLAN_HISTORY_MS 20000
/* With this many samples of a kind, its batch tasks are sampled this often. */
#define PLAN_KNOWN_SAMPLES 500
#define PLAN_KNOWN_SAMPLE_MS 2000
/*
 * An evicted task that had made this progress shows whether tasks of its kind
 * save checkpoints.
 */
#define PLAN_CHECKPOINT_PPM 50000
/*
 * Maximum number of kinds of jobs with learned data. Users choose the names of
 * kinds, so their number has to be limited.
 */
#define PLAN_MAX_KINDS 1024
/*
 * Aging: a batch job is placed before another one whose priority is higher by 1
 * if the other one was submitted this much later, so that no job starves.
 */
#define PLAN_AGE_STEP_MS 30000
#define PLAN_MAX_PRIORITY 1000
/* Retry interval of tasks for which no VM with free capacity was found. */
#define PLAN_RETRY_MS 1000
#define PLAN_URGENT_RETRY_MS 100 /* for services and urgent tasks */
#define PLAN_CANDIDATES 24 /* VMs that are compared for one placement */
/*
 * A job that is too large for every VM is refused if no new VM has registered
 * for this long: the VMs of a new site register one after another.
 */
#define PLAN_NEVER_FITS_MS 10000

/*
 * A capacity hold keeps capacity of a VM free for one task before the task is
 * placed. This is its duration for a service or an urgent task.
 */
#define PLAN_HOLD_MS 5000
/*
 * A batch task that has waited PLAN_BATCH_HOLD_AFTER_MS may get a capacity
 * hold for PLAN_BATCH_HOLD_MS.
 */
#define PLAN_BATCH_HOLD_AFTER_MS 10000
#define PLAN_BATCH_HOLD_MS 120000
/*
 * Evictions of batch tasks. A task isn't evicted twice within
 * PLAN_EVICT_AGAIN_MS. PLAN_EVICTIONS_PER_MINUTE, plus one for each VM, limits
 * evictions of tasks that slow down services. PLAN_ROOM_EVICTIONS_PER_MINUTE,
 * plus ten for each VM, limits evictions that free capacity for services and
 * urgent tasks.
 */
#define PLAN_EVICT_AGAIN_MS 60000
#define PLAN_EVICTIONS_PER_MINUTE 30
#define PLAN_ROOM_EVICTIONS_PER_MINUTE 300
/*
 * When a zone is taken out of service, replicas of services are moved first,
 * and batch tasks after them or after PLAN_DRAIN_BATCH_MS at the latest. A
 * replica for which no other VM is found is stopped after PLAN_DRAIN_FORCE_MS.
 */
#define PLAN_DRAIN_BATCH_MS 2000
#define PLAN_DRAIN_FORCE_MS 30000
/*
 * When a zone is brought back, services are moved to spread over the zones
 * again: one move at this interval, for this long.
 */
#define PLAN_REBALANCE_MS 500
#define PLAN_REBALANCE_FOR_MS 120000
/* Limit of batch starts in a zone for PLAN_RETURN_MS after its return. */
#define PLAN_RETURN_STARTS_PER_S 20
#define PLAN_RETURN_MS 10000
/*
 * A VM on which tasks fail is quarantined: it gets no new tasks for the minimum
 * time, which doubles up to the maximum whenever the VM is quarantined again.
 * After a quarantine the VM is on probation for PLAN_PROBATION_TASKS tasks.
 */
#define PLAN_QUARANTINE_MIN_S 60
#define PLAN_QUARANTINE_MAX_S 960
#define PLAN_PROBATION_TASKS 3
/*
 * Batch tasks are placed beside a service if the predicted slowdown of the
 * service is at most PLAN_SLOWDOWN_PLACE_PPM, and throttled or moved if the
 * measured slowdown is PLAN_SLOWDOWN_LIMIT_PPM or more. The gap keeps the
 * planner from acting on tasks that it has just placed.
 */
#define PLAN_SLOWDOWN_PLACE_PPM 220000
#define PLAN_SLOWDOWN_LIMIT_PPM 320000
#define PLAN_NEGLIGIBLE_SLOWDOWN_PPM 10000 /* slowdown that needs no action */
/* A VM on which a service was slowed down gets no batch tasks for this long. */
#define PLAN_NO_BATCH_MS 30000
/*
 * A batch task that would slow down services by more than
 * PLAN_SLOWDOWN_PLACE_PPM on each VM waits this long for a better VM.
 */
#define PLAN_NOISY_WAIT_MS 60000
/*
 * After an urgent task was planned, capacity for another one is kept free for
 * this long.
 */
#define PLAN_URGENT_RESERVE_MS 600000

/* Upstreams, and the reports of their load that agents send to entries. */
/* An agent drops an upstream that hasn't been announced for this long. */
#define UPSTREAM_ANNOUNCE_TTL_MS 3000
#define LOAD_INTERVAL_MS 500 /* of load reports, if the load is unchanged */
#define LOAD_MIN_INTERVAL_MS 50 /* of load reports, if the load changes */
/*
 * An upstream whose last load report is older than this gets no new requests.
 * Below 2 s, after which an upstream that shuts down must get no new requests,
 * and above three report intervals.
 */
#define LOAD_TTL_MS 1800

/* Routing. */
#define ROUTE_DEFAULT_SERVICE_TIME_US 10000 /* assumed before any sample */
/* Delay above two round trips that counts as a stall by a lost packet. */
#define ROUTE_STALL_MIN_US 50000
/*
 * Penalty of a network path on which packet loss delays every attempt; with
 * less loss, the penalty is proportionally lower. Ten times the usual delay of
 * 200 ms, because these delays determine the tail latency and not the mean.
 */
#define ROUTE_LOSS_PENALTY_US 2000000
/*
 * A measured service time without newer samples is used unchanged for
 * SERVICE_TIME_FRESH_MS, and then decays within SERVICE_TIME_DECAY_MS.
 */
#define SERVICE_TIME_FRESH_MS 2000
#define SERVICE_TIME_DECAY_MS 10000
/*
 * An upstream whose agent had no start permit gets no requests for this long:
 * permits come with grants every REPORT_INTERVAL_MS.
 */
#define NO_PERMIT_PAUSE_MS 500
/*
 * Slow start: the concurrency limit of an upstream that is new, or whose
 * ejection has ended, rises from 0 for SLOW_START_MS. A new upstream has no
 * slow start unless another upstream of the service, which can carry the load,
 * has had SLOW_START_WARM_RUNS runs.
 */
#define SLOW_START_MS 5000
#define SLOW_START_WARM_RUNS 100
/*
 * The learned concurrency limit keeps at least a quarter of the slots: fewer
 * requests don't help an upstream that is slow for another reason than load.
 */
#define LIMIT_FLOOR_DIVISOR 4
/*
 * Ejection: an upstream that fails gets no requests for a time that doubles
 * with each ejection.
 */
#define EJECT_FAILURES 5 /* consecutive failed requests */
#define EJECT_BASE_MS 2000
#define EJECT_MAX_MS 60000
#define EJECT_MAX_DOUBLINGS 5
#define EJECT_CAP_DIVISOR 3 /* at most a third of the upstreams is ejected */

/* Requests at an entry. */
#define ENTRY_IN_FLIGHT_MAX 4096
#define ENTRY_IN_FLIGHT_MAX_BYTES (64u << 20)
/* Requests that wait in the entry for a free slot, per slot of an upstream. */
#define ENTRY_QUEUE_PER_SLOT 8
#define REQUEST_DEADLINE_MS 10000 /* where the bundle gives none */
#define REQUEST_DEADLINE_MAX_MS 600000
#define REQUEST_ATTEMPTS_MAX 4
/*
 * Retries and hedges (second attempts while the first one is slow): their share
 * of all requests, and the largest burst.
 */
#define RETRY_SHARE_PPM 100000
#define RETRY_BURST 20
#define HEDGE_SHARE_PPM 50000
#define HEDGE_BURST 5
/*
 * Once the caller of a claimed request needs no answer any more, the entry
 * still awaits the request's outcome for this long, to record it in the claim.
 */
#define OUTCOME_WAIT_MS 30000
#define CLAIM_REPEAT_MS 500 /* repeat interval of an unanswered claim query */
/*
 * Completions of claims are kept for this long and sent again to a new leader;
 * an election takes 1.5 s.
 */
#define CLAIM_DONE_KEEP_MS 10000
#define CLAIM_DONE_KEEP_MAX 256
/*
 * A request that another entry has claimed is refused for good if it hasn't
 * arrived at the agent after this time, which is longer than one stall of a
 * connection by a lost packet.
 */
#define CLAIM_ARRIVAL_MS 250
/* Time for a disconnected agent to reconnect and report an outcome. */
#define AGENT_RECONNECT_MS 1000

/* Gateway: the part of an entry that forwards workflow calls to the leader. */
/*
 * Time that a call waits for a leader before it is refused: longer than the
 * usual 0.8 s of a failover. A later refusal is of little use to callers.
 */
#define GATEWAY_LEADER_WAIT_MS 900
/*
 * If a leader may have received a call but hasn't replied, the caller is told
 * that the outcome is unknown after this percentage of its time limit, so that
 * it can retry.
 */
#define GATEWAY_REPLY_WAIT_PERCENT 45
/* Repeat interval of a call without a reply; calls are idempotent. */
#define GATEWAY_REPEAT_MS 400
#define GATEWAY_TIMEOUT_MS 3000 /* for callers that give no time limit */
#define GATEWAY_CALLS_MAX 2048

/* Admission of requests at the agent, and records of their outcomes. */
#define ADMIT_QUEUE_PER_SLOT 16 /* requests that wait, per upstream slot */
#define ADMIT_RESPONSE_TTL_MS 60000 /* of a response kept in a record */
#define ADMIT_RESPONSE_MAX_BYTES (16u << 20) /* of all kept responses */
/*
 * Lifetime of a repeatable request's record. Its outcome is only queried soon
 * after the link to the entry was replaced.
 */
#define ADMIT_REPEATABLE_TTL_MS 5000
#define ADMIT_RECORD_TTL_MS 600000 /* of other finished requests' records */
#define ADMIT_RECORDS_MAX 16384
/* A run that isn't repeatable may exceed its deadline by this much at most. */
#define ADMIT_OVERRUN_MS 30000

/*
 * Shares of queues, plan/share.h. A use counts half after 40 ticks of 100 ms:
 * as long as the two steps of a heavy workflow take, and less than half of its
 * objective, so that a queue which has used idle processors isn't kept behind
 * others for longer than its work may wait.
 */
#define SHARE_TICK_US 100000ull
#define SHARE_HALF_LIFE_TICKS 40
#define SHARE_TICK_KEEP_PPM 982820ull /* 0.5 to the power of 1/40 */
#define SHARE_WEIGHT_STANDARD 1000
#define SHARE_WEIGHT_MAX 1000000
/* Excess, relative to its share, at which a queue is over its share. */
#define SHARE_MARGIN_PERMILLE 100
/* A smaller use or excess counts as none: less than one run of a filler. */
#define SHARE_MIN_CORE_MS 1000
/* A use is stored again when it differs by more than this part, here 1/4. */
#define SHARE_SAVE_FRACTION 4
#define SHARE_SAVE_INTERVAL_MS 3000
#define SHARE_SAVE_MAX 256 /* uses in one log entry */
#define SHARE_LOG_INTERVAL_MS 1000 /* between two lines about a queue */
/*
 * Records of queues in the replicated state. Uses create fewer than weights
 * may, so that operators can always set some.
 */
#define SHARE_MAX_RECORDS 1024
#define SHARE_MAX_USE_RECORDS 512

#endif /* TUNABLES_H */
