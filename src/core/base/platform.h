#ifndef PLATFORM_H
#define PLATFORM_H

/**
 * @file platform.h
 * Calls of an agent to the worker on its VM, which runs the tasks of jobs, and
 * announcements of upstreams to the agent. Both are JSON over HTTP whose member
 * names are those of the structs.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

enum task_run_state {
	TASK_RUN_NONE = 0,
	TASK_RUN_RUNNING = 1,
	TASK_RUN_STOPPED = 2, /* by a call, or as the task's lease expired */
	TASK_RUN_DONE = 3,
	TASK_RUN_FAILED = 4,
};

/**
 * POST /v1/tasks: starts a task. A second call with the same task_id and epoch
 * has no effect.
 */
struct platform_start {
	uint64_t task_id;
	uint64_t epoch; /* number of the task's placement */
	char job[NAME_BYTES]; /* name of the job */
	char kind[NAME_BYTES]; /* kind of the job */
	char payload[TEXT_BYTES]; /* passed to the worker unchanged */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	char checkpoint[NAME_BYTES]; /* to resume from, "" for a fresh start */
	uint32_t lease_ms; /* the task is stopped if the lease expires */
	uint32_t start_within_ms; /* start permit: later starts are refused */
	/**
	 * Time from which lease_ms and start_within_ms count, by the clock of
	 * the VM that starts at boot. 0: from the arrival of the call.
	 */
	uint64_t sent_us;
};

/** POST /v1/tasks/stop: stops a task at once. */
struct platform_stop {
	uint64_t task_id;
	uint64_t epoch;
};

/** POST /v1/tasks/checkpoint: saves a checkpoint; the reply has its name. */
struct platform_checkpoint {
	uint64_t task_id;
	uint64_t epoch;
};

/** POST /v1/tasks/throttle: limits the CPU use of a task. */
struct platform_throttle {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t cpu_ppm; /* share of its processors that the task may use */
};

struct platform_lease_item {
	uint64_t task_id;
	uint64_t epoch;
};

/** POST /v1/leases: sets the end of the tasks' leases to sent_us + lease_ms. */
struct platform_lease {
	uint32_t lease_ms;
	uint32_t nr_tasks;
	struct platform_lease_item *tasks;
	uint64_t sent_us; /* as in struct platform_start */
};

/** GET /v1/tasks: lists the worker's tasks. */
struct platform_list {
	bool with_finished;
};

/** A task in the worker's list. */
struct platform_task {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t run; /* enum task_run_state */
	uint32_t progress_ppm;
	char checkpoint[NAME_BYTES];
	uint32_t age_ms; /* time since the usage below was sampled */
	uint32_t cpu_used_millis;
	uint32_t memory_used_mib;
	uint32_t rate_ppm; /* speed relative to running alone on the VM */
	uint32_t service_time_us; /* of one request to a replica, else 0 */
};

struct platform_tasks {
	uint32_t nr_tasks;
	struct platform_task *tasks;
};

/** Reply to a call, except to GET /v1/tasks. */
struct platform_reply {
	uint32_t result; /* enum result */
	char checkpoint[NAME_BYTES];
	uint32_t progress_ppm;
};

/** PUT /v1/upstreams/{id}: sent to the agent by an upstream at intervals. */
struct platform_announce {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t slots; /* requests that may run at a time */
	uint32_t connections; /* that the upstream accepts */
	bool leaving; /* accepts no new requests */
};

#endif /* PLATFORM_H */
