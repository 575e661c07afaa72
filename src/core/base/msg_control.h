#ifndef MSG_CONTROL_H
#define MSG_CONTROL_H

/**
 * @file msg_control.h
 * Messages between control and the agents and entries: about jobs' tasks, views
 * of the site, and claims of requests. Messages about workflows are in flow.h.
 * In comments, the leader is the control replica that decides.
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
	uint64_t sent_us; /* agent's clock; the grant counts from this time */
	struct vm_record vm;
	uint64_t bundle_version; /* that is in force at the agent, 0: none */
	bool leaving; /* the agent shuts down */
	uint32_t nr_tasks;
	struct platform_task *tasks; /* all tasks that the worker has */
	uint32_t nr_services;
	struct report_service *services; /* upstreams announced on this VM */
};

/** A service's upstreams on one VM. */
struct report_service {
	char service[NAME_BYTES];
	uint32_t slots; /* requests that may run at a time */
	bool leaving; /* the upstreams accept no new requests */
	uint32_t service_time_us; /* moving average of one request's time */
};

/** The leader's reply to a report. */
struct grant {
	uint64_t seq;
	uint64_t sent_us; /* echoed from the report */
	uint64_t term; /* of the leader; an agent ignores older terms */
	uint32_t lease_ms; /* of the confirmed tasks, from sent_us on */
	uint32_t permit_ms; /* start permit from sent_us on, 0: none */
	bool zone_out; /* the VM's zone is out of service */
	uint64_t bundle_version; /* newest version that is signed off */
	uint32_t nr_confirmed;
	uint64_t *confirmed; /* task ids whose leases are renewed */
};

enum task_action {
	TASK_START = 1,
	TASK_STOP = 2, /* stop at once, without a checkpoint */
	TASK_CHECKPOINT_STOP = 3, /* save a checkpoint, then stop */
	TASK_CHECKPOINT = 4, /* save a checkpoint and continue */
	TASK_THROTTLE = 5, /* limit the task's CPU share to cpu_ppm */
};

/** Order of the leader to an agent about one task. */
struct task_order {
	uint64_t term; /* of the leader; an agent ignores older terms */
	uint64_t vm_node; /* incarnation of the agent it is meant for */
	uint32_t action; /* enum task_action */
	uint32_t cpu_ppm; /* TASK_THROTTLE: share of the task's processors */
	/** TASK_START: sent_us of the report from which the permit counts. */
	uint64_t permit_sent_us;
	/** Complete for TASK_START; else only task_id and epoch are set. */
	struct platform_start start;
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

/**
 * Requests the changes of the view since the given version. The view is a
 * process's copy of the site's zones, agents and bundle.
 */
struct view_query {
	uint64_t term; /* of the leader that assigned view_version */
	uint64_t view_version; /* that the sender has, 0: none */
	uint64_t bundle_version; /* that the sender has, 0: none */
};

struct view_agent {
	char vm[NAME_BYTES]; /* name of the agent's VM */
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint64_t node_id; /* incarnation of the agent */
	bool gone; /* the agent was removed from the view */
};

/** The site's zones, agents and bundle, or the changes of a view. */
struct view {
	uint64_t term; /* of the leader that assigned view_version */
	uint64_t view_version;
	bool whole; /* replaces the receiver's view, else contains changes */
	uint64_t base_version; /* !whole: view_version that is changed */
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

/**
 * Requests a claim, which grants the only run of a request that isn't
 * repeatable to one agent. Sent by an entry before it dispatches the request.
 */
struct claim_query {
	uint64_t ticket; /* chosen by the entry, echoed in the reply */
	struct claim_record claim;
};

struct claim_reply {
	uint64_t ticket;
	/**
	 * RESULT_OK: the entry has the claim and may dispatch the request.
	 * RESULT_IN_PROGRESS: the request was claimed before; claim names the
	 * agent of that run, or contains its response.
	 */
	uint32_t result;
	struct claim_record claim; /* as committed, else as in the query */
};

/** Completes a claim with the response of its run. */
struct claim_done {
	struct claim_record claim;
};

#endif /* MSG_CONTROL_H */
