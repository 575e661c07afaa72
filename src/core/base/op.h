#ifndef OP_H
#define OP_H

/**
 * @file op.h
 * Operators' requests to control, and the replies. The HTTP front end encodes
 * them as JSON under /v1 by their schemas; the core doesn't depend on HTTP.
 * Bundles (the operators' versioned configuration), zones, VMs, jobs and tasks
 * are those of command.h, workflows those of flow.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "tunables.h"

/**
 * Types of requests and replies. The comment at a request names the struct of
 * its body and, after the arrow, the struct of the reply.
 */
enum op_type {
	OP_BUNDLE_CHECK = 200, /* struct bundle -> op_reply */
	OP_BUNDLE_SUBMIT = 201, /* struct bundle -> op_reply */
	OP_BUNDLE_SIGN = 202, /* struct cmd_bundle_sign -> op_reply */
	OP_BUNDLE_STATUS = 203, /* op_query -> op_bundle_status */
	OP_ZONE_SET = 204, /* struct cmd_zone_set -> op_reply */
	OP_ZONE_LIST = 205, /* op_query -> op_zones */
	OP_VM_LIST = 206, /* op_query -> op_vms */
	OP_VM_SET = 207, /* struct cmd_vm_quarantine -> op_reply */
	OP_JOB_SUBMIT = 208, /* struct job_record -> op_reply */
	OP_JOB_CANCEL = 209, /* struct cmd_job_cancel -> op_reply */
	OP_JOB_LIST = 210, /* op_query -> op_jobs */
	OP_TASK_LIST = 211, /* op_query -> op_tasks */
	OP_STATUS = 212, /* op_query -> op_status */
	OP_MEMBER_ADD = 213, /* struct member -> op_reply */
	OP_MEMBER_REMOVE = 214, /* struct member -> op_reply */
	OP_BUNDLE_PUT = 215, /* struct bundle, in force at once -> op_reply */
	OP_BUNDLE_SHOW = 216, /* op_query -> struct bundle in force */
	/** struct cmd_zone_set, whose expected_version is ignored -> op_reply
	 */
	OP_ZONE_PUT = 217,
	OP_FLOW_LIST = 218, /* op_query -> op_flows */
	OP_SHARE_LIST = 219, /* op_query -> op_shares */
	OP_SHARE_SET = 220, /* struct cmd_share_weight -> op_reply */
	/* replies, each with the struct of its name if none is given */
	OP_REPLY = 230,
	OP_BUNDLE_STATUS_REPLY = 231, /* struct op_bundle_status */
	OP_ZONES = 232,
	OP_VMS = 233,
	OP_JOBS = 234,
	OP_TASKS = 235,
	OP_STATUS_REPLY = 236, /* struct op_status */
	OP_BUNDLE = 237, /* struct bundle */
	OP_FLOWS = 238,
	OP_SHARES = 239,
};

/** Requests one page of a list. */
struct op_query {
	uint64_t job_id; /* OP_TASK_LIST: job of the tasks, 0: all jobs */
	/** OP_FLOW_LIST: one workflow with details, "": all without them. */
	char flow_id[NAME_BYTES];
	uint64_t after_id; /* last id of the previous page, 0: first page */
	char after_name[NAME_BYTES]; /* the same for lists sorted by name */
	uint32_t max_items; /* in the page, 0: LIST_MAX_ITEMS */
};

/** Result of a request that changes something. */
struct op_reply {
	uint32_t result; /* enum result */
	char message[TEXT_BYTES];
	uint64_t id; /* of the created object, 0 if none */
	uint64_t version; /* of the object after the change */
	char leader[ADDRESS_BYTES]; /* RESULT_NOT_LEADER: the leader's, or "" */
};

struct op_bundle_status {
	uint64_t in_force; /* last version signed off, 0 if none */
	char digest[DIGEST_BYTES]; /* of that version, as signed_by */
	char signed_by[NAME_BYTES];
	uint64_t submitted; /* version waiting for sign-off, 0 if none */
	char submitted_digest[DIGEST_BYTES];
	uint32_t processes_in_force; /* processes that have that version */
	uint32_t processes_known; /* processes connected to the leader */
};

struct op_zone {
	struct zone_record zone;
	uint32_t vms_live;
	uint32_t tasks_running;
};

struct op_zones {
	uint32_t nr_zones;
	struct op_zone *zones;
};

struct op_vm {
	struct vm_record vm;
	uint32_t committed_cpu_millis;
	uint32_t committed_memory_mib;
	uint32_t committed_accelerators;
	uint32_t tasks; /* committed to the VM */
};

struct op_vms {
	uint32_t nr_vms;
	struct op_vm *vms;
};

struct op_job {
	struct job_record job;
	uint32_t pending; /* number of tasks, as the next three */
	uint32_t running;
	uint32_t done;
	uint32_t failed;
	uint32_t evictions; /* of all the job's tasks */
};

struct op_jobs {
	uint32_t nr_jobs;
	struct op_job *jobs;
};

struct op_tasks {
	uint32_t nr_tasks;
	struct task_record *tasks;
};

/** One step of one occurrence of a workflow. */
struct op_flow_step {
	uint32_t occurrence;
	uint32_t step;
	uint32_t tasks; /* of the step in the occurrence */
	uint32_t placed;
	uint32_t done;
	uint32_t failures; /* failed runs of its tasks, or of its gang */
	char state[NAME_BYTES]; /* done, placed, before, not-due, waiting */
	char reason[NAME_BYTES]; /* waiting: as in the log line, or "" */
	uint64_t waited_ms; /* waiting: time without a placement, 0: unknown */
	uint32_t reservations; /* number of VMs reserved for its tasks */
	char reserved_vm[NAME_BYTES]; /* the first to be free, "": none */
	uint64_t reserved_in_ms; /* time until it is expected to be free */
};

/** The run of a placed task. */
struct op_flow_run {
	char task[NAME_BYTES];
	uint32_t run;
	char vm[NAME_BYTES];
	char state[NAME_BYTES]; /* ordered, running, stopping, ending */
	uint32_t percent; /* share of the task's work that is done */
	uint32_t pace; /* allowed speed in percent of the full speed */
	uint64_t ran_ms; /* time since the start */
};

/** The end of a run, if this leader has committed it recently. */
struct op_flow_end {
	char task[NAME_BYTES];
	uint32_t run;
	char vm[NAME_BYTES];
	char end[NAME_BYTES]; /* name of enum flow_end */
	uint64_t ended_ms_ago;
};

struct op_flow {
	char id[NAME_BYTES];
	char queue[NAME_BYTES]; /* path prefix of the queue */
	char service[NAME_BYTES];
	char state[NAME_BYTES]; /* name of enum flow_state */
	uint32_t priority;
	uint32_t tasks;
	uint32_t placed;
	uint32_t done;
	uint64_t submitted_ms; /* wall clock */
	uint64_t finished_ms; /* 0 while active */
	/* The rest is set if a single workflow was requested. */
	uint32_t nr_steps;
	struct op_flow_step *steps;
	uint32_t nr_runs;
	struct op_flow_run *runs;
	uint32_t nr_ends;
	struct op_flow_end *ends;
};

struct op_flows {
	uint32_t nr_flows;
	struct op_flow *flows;
};

/** A queue's share of its service's processors, see plan/share.h. */
struct op_share {
	uint64_t nr; /* number of the row, from 1, for op_query.after_id */
	char queue[NAME_BYTES]; /* its name */
	char host[NAME_BYTES];
	char prefix[NAME_BYTES];
	char service[NAME_BYTES]; /* "": not in the bundle in force */
	uint32_t priority;
	uint32_t weight; /* the standard one if none is set */
	bool weight_set; /* an operator has set the weight */
	uint32_t share_permille; /* 0: the queue has no work */
	uint64_t use_core_ms; /* decayed */
	uint64_t excess_core_ms; /* use above the share */
	bool over; /* over its share while another queue waits */
	uint32_t workflows; /* that have not ended, without long-running ones */
	uint32_t waiting; /* of these, with tasks that wait for a VM */
};

struct op_shares {
	uint32_t nr_shares;
	struct op_share *shares;
};

struct op_member {
	uint64_t node_id;
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	bool voter;
	bool leader;
	uint64_t match_index; /* last log entry the member is known to have */
};

struct op_status {
	uint64_t node_id; /* of the replica that answers */
	bool leader;
	char leader_address[ADDRESS_BYTES];
	uint64_t term;
	uint64_t commit_index;
	uint64_t bundle_version;
	uint32_t vms_live;
	uint32_t vms_lost;
	uint32_t tasks_pending;
	uint32_t tasks_running;
	uint32_t jobs_active;
	uint64_t evictions;
	uint32_t nr_members;
	struct op_member *members;
};

#endif /* OP_H */
