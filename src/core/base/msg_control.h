#ifndef MSG_CONTROL_H
#define MSG_CONTROL_H

/**
 * @file msg_control.h
 * Messages between control and the agents and entries.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "tunables.h"
#include "platform.h"

/** Registration and status of an agent, sent every REPORT_INTERVAL_MS. */
struct report {
	uint64_t seq;
	uint64_t sent_us; /* agent's clock; leases and permits start here */
	struct vm_record vm;
	uint64_t bundle_version; /* in force at the agent */
	bool leaving; /* the agent shuts down */
	uint32_t nr_tasks;
	struct platform_task *tasks; /* every task of the worker */
	uint32_t nr_services;
	struct report_service *services; /* upstreams announced on this VM */
};

struct report_service {
	char service[NAME_BYTES];
	uint32_t slots; /* requests that may run at a time */
	bool leaving; /* accepts no new requests */
	uint32_t service_time_us; /* smoothed time of one run */
};

/** The leader's reply to a report. */
struct grant {
	uint64_t seq;
	uint64_t sent_us; /* echoed from the report */
	uint64_t term; /* of the leader; an agent ignores older terms */
	uint32_t lease_ms; /* of the confirmed tasks, from sent_us on */
	uint32_t permit_ms; /* start permit from sent_us on, 0: none */
	bool zone_out;
	uint64_t bundle_version; /* newest version that is signed off */
	uint32_t nr_confirmed;
	uint64_t *confirmed; /* task ids whose leases are renewed */
};

enum task_action {
	TASK_START = 1,
	TASK_STOP = 2, /* immediately, without a checkpoint */
	TASK_CHECKPOINT_STOP = 3, /* checkpoint, then stop */
	TASK_CHECKPOINT = 4, /* checkpoint and continue */
	TASK_THROTTLE = 5, /* limit the CPU share to cpu_ppm */
};

struct task_order {
	uint64_t term;
	uint64_t vm_node; /* agent incarnation the order is meant for */
	uint32_t action; /* enum task_action */
	uint32_t cpu_ppm; /* TASK_THROTTLE */
	/** sent_us of the report at which the order's start permit begins. */
	uint64_t permit_sent_us;
	struct platform_start start; /* task_id and epoch always set */
};

/** A change of a task's run that an agent reports to control. */
struct task_event {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t run; /* enum task_run_state */
	char checkpoint[NAME_BYTES];
	uint32_t progress_ppm;
	uint32_t result; /* enum result */
};

/** Asks control for the changes of the view after the given version. */
struct view_query {
	uint64_t term; /* of the leader that assigned view_version */
	uint64_t view_version; /* 0: the whole view */
	uint64_t bundle_version; /* that the sender has, 0: none */
};

struct view_agent {
	char vm[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint64_t node_id;
	bool gone; /* the agent was removed from the view */
};

/** Zones, agents and bundle of the site, for entries and agents. */
struct view {
	uint64_t term;
	uint64_t view_version;
	bool whole; /* replaces the receiver's view */
	uint64_t base_version; /* !whole: view_version the changes apply to */
	uint32_t nr_zones;
	struct zone_record *zones;
	uint32_t nr_agents;
	struct view_agent *agents;
	uint32_t nr_bundles; /* 0 or 1 */
	struct bundle *bundles; /* newest version that is signed off */
};

struct peer_address {
	char address[ADDRESS_BYTES];
};

/** Listen addresses of the members of the control group. */
struct peers {
	uint32_t nr_addresses;
	struct peer_address *addresses;
};

/** Claims a request that isn't repeatable before its first dispatch. */
struct claim_query {
	uint64_t ticket; /* chosen by the entry, echoed in the reply */
	struct claim_record claim;
};

struct claim_reply {
	uint64_t ticket;
	/** RESULT_OK: dispatch; RESULT_IN_PROGRESS: see claim. */
	uint32_t result;
	struct claim_record claim; /* as it is recorded */
};

/** Completes a claim with the response of its run. */
struct claim_done {
	struct claim_record claim;
};

#endif /* MSG_CONTROL_H */
