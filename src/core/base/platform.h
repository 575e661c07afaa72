#ifndef PLATFORM_H
#define PLATFORM_H

/**
 * @file platform.h
 * Calls of an agent to the worker on its VM, and announcements of upstreams to
 * the agent. Both are JSON over HTTP with the names of the fields below.
 */

#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

enum task_run_state {
	TASK_RUN_NONE = 0,
	TASK_RUN_RUNNING = 1,
	TASK_RUN_STOPPED = 2, /* by a call, or because its lease expired */
	TASK_RUN_DONE = 3,
	TASK_RUN_FAILED = 4,
};

/** POST /v1/tasks: starts a task; has no effect if repeated for an epoch. */
struct platform_start {
	uint64_t task_id;
	uint64_t epoch;
	char job[NAME_BYTES];
	char kind[NAME_BYTES];
	char payload[TEXT_BYTES]; /* passed to the worker unchanged */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	char checkpoint[NAME_BYTES]; /* to resume from, "" for a fresh start */
	uint32_t lease_ms; /* time left of the lease */
	uint32_t start_within_ms; /* start permit; a later start is refused */
	/**
	 * Time by the VM's clock since boot from which lease_ms and
	 * start_within_ms count, 0: from the arrival of the call.
	 */
	uint64_t sent_us;
};

/** POST /v1/tasks/stop */
struct platform_stop {
	uint64_t task_id;
	uint64_t epoch;
};

/** POST /v1/tasks/checkpoint: the reply carries the checkpoint's name. */
struct platform_checkpoint {
	uint64_t task_id;
	uint64_t epoch;
};

/** POST /v1/tasks/throttle */
struct platform_throttle {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t cpu_ppm; /* share of its processors that the task may use */
};

struct platform_lease_item {
	uint64_t task_id;
	uint64_t epoch;
};

/** POST /v1/leases: sets the leases' end to sent_us + lease_ms. */
struct platform_lease {
	uint32_t lease_ms;
	uint32_t nr_tasks;
	struct platform_lease_item *tasks;
	uint64_t sent_us; /* as in struct platform_start */
};

/** GET /v1/tasks */
struct platform_list {
	bool with_finished;
};

/** A task in the worker's list. Usage was sampled age_ms ago. */
struct platform_task {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t run; /* enum task_run_state */
	uint32_t progress_ppm;
	char checkpoint[NAME_BYTES];
	uint32_t age_ms;
	uint32_t cpu_used_millis;
	uint32_t memory_used_mib;
	uint32_t rate_ppm; /* speed relative to running alone on the VM */
	uint32_t service_time_us; /* of a latency-critical task, else 0 */
};

struct platform_tasks {
	uint32_t nr_tasks;
	struct platform_task *tasks;
};

/** Reply to every call but the list. */
struct platform_reply {
	uint32_t result; /* enum result */
	char checkpoint[NAME_BYTES];
	uint32_t progress_ppm;
};

/** PUT /v1/upstreams/{id} on the agent, repeated at intervals. */
struct platform_announce {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t slots;
	uint32_t connections;
	bool leaving;
};

#endif /* PLATFORM_H */
