#ifndef COMMAND_H
#define COMMAND_H

/**
 * @file command.h
 * Commands of the replicated state machine, and the objects it keeps. The
 * objects' structs are at the same time the records of a snapshot.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "tunables.h"

/* ---- objects ---- */

struct bundle_zone {
	char name[NAME_BYTES];
	char region[NAME_BYTES];
	uint32_t cost_ppm; /* extra cost of traffic from other zones */
};

struct bundle_team {
	char name[NAME_BYTES];
	uint32_t quota_cpu_millis; /* 0: no limit */
	uint32_t quota_memory_mib;
	uint32_t quota_accelerators;
};

/** A service whose replicas are placed as latency-critical tasks. */
struct bundle_service {
	char name[NAME_BYTES];
	char team[NAME_BYTES];
	uint32_t replicas;
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t deadline_ms; /* default of a request */
	uint32_t target_p99_us; /* 0: none */
	char payload[TEXT_BYTES];
};

/** The operators' versioned configuration. */
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
	GBytes *document; /* as submitted, if it has a form of its own */
};

/** Availability of a zone; its version is independent of the bundle's. */
struct zone_record {
	char name[NAME_BYTES];
	bool out;
	uint64_t version;
	char changed_by[NAME_BYTES];
};

enum vm_state {
	VM_LIVE = 1,
	VM_LOST = 2,
	VM_LEAVING = 3,
};

struct vm_record {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char rack[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* of its agent */
	uint64_t node_id; /* incarnation of its agent */
	uint32_t state; /* enum vm_state */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	bool quarantined;
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
	char key[KEY_BYTES]; /* operator's key; a resend finds the first job */
	char name[NAME_BYTES];
	char team[NAME_BYTES];
	char kind[NAME_BYTES]; /* jobs of one kind behave alike */
	uint32_t job_class; /* enum job_class */
	uint32_t priority; /* higher runs first */
	uint32_t nr_wanted; /* number of tasks */
	uint32_t cpu_millis; /* declared, a task */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint32_t declared_run_ms;
	char payload[TEXT_BYTES];
	uint32_t state; /* enum job_state */
	uint32_t result; /* enum result, why it failed */
	uint64_t submitted_ms; /* leader's wall clock */
	uint64_t finished_ms; /* end of the last task, 0 while active */
};

enum task_state {
	TASK_PENDING = 1, /* waits for a place */
	TASK_PLACED = 2, /* committed to a VM, start not confirmed */
	TASK_RUNNING = 3,
	TASK_STOPPING = 4, /* told to checkpoint and stop, still counted */
	TASK_DONE = 5,
	TASK_FAILED = 6,
	TASK_CANCELLED = 7,
};

struct task_record {
	uint64_t task_id;
	uint64_t job_id;
	uint32_t state; /* enum task_state */
	uint64_t epoch; /* rises with each placement */
	char vm[NAME_BYTES]; /* "" unless placed, running or stopping */
	uint32_t cpu_millis; /* committed */
	uint32_t memory_mib;
	uint32_t accelerators;
	char checkpoint[NAME_BYTES];
	uint32_t progress_ppm;
	uint32_t nr_failures;
	uint32_t nr_evictions;
	uint64_t started_ms; /* leader's wall clock */
};

enum claim_state {
	CLAIM_HELD = 1,
	CLAIM_COMPLETE = 2,
};

/** The one run of a request that is not repeatable. */
struct claim_record {
	char service[NAME_BYTES];
	char key[KEY_BYTES];
	char digest[DIGEST_BYTES]; /* of method, path and body */
	uint64_t agent_node; /* incarnation of the chosen agent */
	uint64_t entry_node;
	uint64_t request_nr;
	uint32_t attempt;
	uint32_t state; /* enum claim_state */
	uint32_t status; /* HTTP status once complete */
	char content_type[KEY_BYTES];
	GBytes *body; /* kept if small */
	bool body_kept;
	uint64_t claimed_ms; /* leader's wall clock, for expiry */
};

struct state_counters {
	uint64_t next_job_id;
	uint64_t next_task_id;
	uint64_t clock_ms;
};

/* ---- commands ---- */

struct cmd_noop {
	uint64_t leader;
};

struct cmd_bundle_sign {
	uint64_t version;
	char digest[DIGEST_BYTES];
	char signed_by[NAME_BYTES];
};

/** Moves a zone in or out if expected_version is its present version. */
struct cmd_zone_set {
	char name[NAME_BYTES];
	bool out;
	uint64_t expected_version;
	char changed_by[NAME_BYTES];
	bool any_version; /* whatever the present version is */
};

struct cmd_vm_lost {
	char name[NAME_BYTES];
	uint64_t node_id; /* incarnation that was lost */
};

struct cmd_vm_quarantine {
	char name[NAME_BYTES];
	bool quarantined;
};

struct cmd_job_cancel {
	uint32_t nr_job_ids;
	uint64_t *job_ids;
	uint32_t result; /* RESULT_CANCELLED, or why the jobs fail */
	uint64_t now_ms;
};

struct cmd_task_place {
	uint64_t task_id;
	uint64_t epoch; /* the new one: the task's present epoch + 1 */
	char vm[NAME_BYTES];
	uint64_t vm_node; /* incarnation the place was chosen for */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint64_t now_ms;
};

/** Moves a task on, if epoch is its present epoch. */
struct cmd_task_set {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t state; /* enum task_state */
	char checkpoint[NAME_BYTES];
	uint32_t progress_ppm;
	uint32_t result; /* enum result if it failed */
	bool evicted;
	uint64_t now_ms;
};

/** Drops finished jobs and claims older than the given times. */
struct cmd_expire {
	uint64_t claims_before_ms;
	uint64_t jobs_before_ms;
};

#endif /* COMMAND_H */
