#ifndef COMMAND_H
#define COMMAND_H

/**
 * @file command.h
 * Commands of the replicated state machine and the objects in its state. The
 * structs of the objects are also the records of a snapshot. An incarnation of
 * an agent or entry is one run of its process from start to end; each has
 * another node_id.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "tunables.h"

/* ---- objects ---- */

struct bundle_zone {
	char name[NAME_BYTES];
	char region[NAME_BYTES]; /* "": none */
	uint32_t cost_ppm; /* added cost of requests from other zones */
};

struct bundle_team {
	char name[NAME_BYTES];
	uint32_t quota_cpu_millis; /* 0: no limit */
	uint32_t quota_memory_mib; /* 0: no limit */
	uint32_t quota_accelerators; /* 0: no limit */
};

/** A service; its replicas are placed as latency-critical tasks. */
struct bundle_service {
	char name[NAME_BYTES];
	char team[NAME_BYTES]; /* "": none */
	uint32_t replicas;
	uint32_t cpu_millis; /* of one replica, as the next two */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t deadline_ms; /* of requests that give none, 0: the default */
	uint32_t target_p99_us; /* target of the p99 latency, 0: none */
	char payload[TEXT_BYTES]; /* passed to the workers unchanged */
};

/** The operators' versioned configuration, in force once it is signed off. */
struct bundle {
	uint64_t version;
	char digest[DIGEST_BYTES]; /* of the submitted document */
	char submitted_by[NAME_BYTES];
	char signed_by[NAME_BYTES]; /* "" until signed off */
	char route_policy[NAME_BYTES];
	char place_policy[NAME_BYTES];
	char evict_policy[NAME_BYTES];
	uint32_t nr_zones;
	struct bundle_zone *zones;
	uint32_t nr_teams;
	struct bundle_team *teams;
	uint32_t nr_services;
	struct bundle_service *services;
	uint32_t nr_queues;
	struct bundle_queue *queues;
	uint32_t nr_pools;
	struct bundle_pool *pools;
	GBytes *document; /* the platform's document as submitted, or NULL */
};

/** State of a zone, which operators change independently of the bundle. */
struct zone_record {
	char name[NAME_BYTES];
	bool out; /* taken out of service */
	uint64_t version; /* incremented by each change of the zone's state */
	char changed_by[NAME_BYTES];
};

enum vm_state {
	VM_LIVE = 1,
	VM_LOST = 2, /* the agent's reports have stopped */
	VM_LEAVING = 3, /* the agent shuts down */
};

struct vm_record {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char rack[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* of the VM's agent */
	uint64_t node_id; /* incarnation of the VM's agent */
	uint32_t state; /* enum vm_state */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	bool quarantined; /* the VM gets no new tasks */
};

enum job_class {
	JOB_BATCH = 1,
	JOB_URGENT = 2,
	JOB_SERVICE = 3, /* replicas of a service */
};

enum job_state {
	JOB_ACTIVE = 1,
	JOB_FINISHED = 2,
	JOB_FAILED = 3,
	JOB_CANCELLED = 4,
};

struct job_record {
	uint64_t job_id;
	/** Chosen by the operator; a resend with the same key returns the job.
	 */
	char key[KEY_BYTES];
	char name[NAME_BYTES];
	char team[NAME_BYTES];
	char kind[NAME_BYTES]; /* jobs of a kind have similar resource use */
	uint32_t job_class; /* enum job_class */
	uint32_t priority; /* higher values run first */
	uint32_t nr_wanted; /* number of tasks */
	uint32_t cpu_millis; /* declared for one task, as the next three */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t declared_run_ms;
	char payload[TEXT_BYTES]; /* passed to the workers unchanged */
	uint32_t state; /* enum job_state */
	uint32_t result; /* enum result: why the job failed */
	uint64_t submitted_ms; /* leader's wall clock */
	uint64_t finished_ms; /* end of the last task, 0 while active */
};

enum task_state {
	TASK_PENDING = 1, /* not placed on a VM */
	TASK_PLACED = 2, /* committed to a VM, start not confirmed */
	TASK_RUNNING = 3,
	TASK_STOPPING = 4, /* stop was ordered, resources are still in use */
	TASK_DONE = 5,
	TASK_FAILED = 6,
	TASK_CANCELLED = 7,
};

struct task_record {
	uint64_t task_id;
	uint64_t job_id;
	uint32_t state; /* enum task_state */
	uint64_t epoch; /* number of placements; identifies the last one */
	char vm[NAME_BYTES]; /* "" unless placed, running or stopping */
	uint32_t cpu_millis; /* committed on the VM, as the next two */
	uint32_t memory_mib;
	uint32_t accelerators;
	char checkpoint[NAME_BYTES]; /* last one saved, "": none */
	uint32_t progress_ppm;
	uint32_t nr_failures;
	uint32_t nr_evictions;
	uint64_t started_ms; /* last placement, by the leader's wall clock */
};

enum claim_state {
	CLAIM_HELD = 1, /* the request may be running */
	CLAIM_COMPLETE = 2, /* the response is known */
};

/**
 * Claim of a request that isn't repeatable: grants the only run of the request
 * to one agent.
 */
struct claim_record {
	char service[NAME_BYTES];
	char key[KEY_BYTES];
	char digest[DIGEST_BYTES]; /* of method, path and body */
	uint64_t agent_node; /* incarnation of the chosen agent */
	uint64_t entry_node; /* incarnation of the entry that sent the claim */
	uint64_t request_nr; /* number that the entry gave the request */
	uint32_t attempt; /* number of the entry's dispatch, from 1 */
	uint32_t state; /* enum claim_state */
	uint32_t status; /* HTTP status once complete */
	char content_type[KEY_BYTES];
	GBytes *body; /* of the response, up to CLAIM_BODY_MAX_BYTES */
	bool body_kept; /* false: the body was too large to store */
	uint64_t claimed_ms; /* leader's wall clock, for expiry */
};

struct state_counters {
	uint64_t next_job_id;
	uint64_t next_task_id;
	uint64_t clock_ms; /* latest wall clock time in a command */
};

/* ---- commands ---- */

struct cmd_noop {
	uint64_t leader; /* node_id of the leader that starts its term */
};

struct cmd_bundle_sign {
	uint64_t version;
	char digest[DIGEST_BYTES];
	char signed_by[NAME_BYTES];
};

/**
 * Takes a zone out of service or brings it back, if the zone has the expected
 * version.
 */
struct cmd_zone_set {
	char name[NAME_BYTES];
	bool out;
	uint64_t expected_version;
	char changed_by[NAME_BYTES];
	bool any_version; /* expected_version is ignored */
};

struct cmd_vm_lost {
	char name[NAME_BYTES];
	uint64_t node_id; /* incarnation of the VM's agent that was lost */
};

struct cmd_vm_quarantine {
	char name[NAME_BYTES];
	bool quarantined;
};

struct cmd_job_cancel {
	uint32_t nr_job_ids;
	uint64_t *job_ids;
	uint32_t result; /* RESULT_CANCELLED, or why the jobs failed */
	uint64_t now_ms;
};

struct cmd_task_place {
	uint64_t task_id;
	uint64_t epoch; /* of the new placement: the task's epoch + 1 */
	char vm[NAME_BYTES];
	uint64_t vm_node; /* incarnation of the VM's agent */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint64_t now_ms;
};

/** Changes the state of a task, if epoch is the task's current epoch. */
struct cmd_task_set {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t state; /* enum task_state */
	char checkpoint[NAME_BYTES];
	uint32_t progress_ppm;
	uint32_t result; /* enum result, if the task failed */
	bool evicted; /* the task was evicted */
	uint64_t now_ms;
};

/** Drops claims and finished jobs that are older than the given times. */
struct cmd_expire {
	uint64_t claims_before_ms;
	uint64_t jobs_before_ms;
};

#endif /* COMMAND_H */
