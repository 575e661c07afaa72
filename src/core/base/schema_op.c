#include "op.h"
#include "msg_raft.h"
#include "schema_tables.h"

static const struct field op_query_fields[] = {
	F_U64(op_query, job_id),    F_STRING(op_query, flow_id),
	F_U64(op_query, after_id),  F_STRING(op_query, after_name),
	F_U32(op_query, max_items),
};
static SCHEMA(op_query_schema, "OpQuery", op_query, op_query_fields);

static const struct field op_reply_fields[] = {
	F_U32(op_reply, result),    F_STRING(op_reply, message),
	F_U64(op_reply, id),	    F_U64(op_reply, version),
	F_STRING(op_reply, leader),
};
static SCHEMA(op_reply_schema, "OpReply", op_reply, op_reply_fields);

static const struct field op_bundle_status_fields[] = {
	F_U64(op_bundle_status, in_force),
	F_STRING(op_bundle_status, digest),
	F_STRING(op_bundle_status, signed_by),
	F_U64(op_bundle_status, submitted),
	F_STRING(op_bundle_status, submitted_digest),
	F_U32(op_bundle_status, processes_in_force),
	F_U32(op_bundle_status, processes_known),
};
static SCHEMA(op_bundle_status_schema, "OpBundleStatus", op_bundle_status,
	      op_bundle_status_fields);

static const struct field op_zone_fields[] = {
	F_STRUCT(op_zone, zone, zone_record_schema),
	F_U32(op_zone, vms_live),
	F_U32(op_zone, tasks_running),
};
static SCHEMA(op_zone_schema, "OpZone", op_zone, op_zone_fields);

static const struct field op_zones_fields[] = {
	F_STRUCTS(op_zones, zones, op_zone_schema),
};
static SCHEMA(op_zones_schema, "OpZones", op_zones, op_zones_fields);

static const struct field op_vm_fields[] = {
	F_STRUCT(op_vm, vm, vm_record_schema),
	F_U32(op_vm, committed_cpu_millis),
	F_U32(op_vm, committed_memory_mib),
	F_U32(op_vm, committed_accelerators),
	F_U32(op_vm, tasks),
};
static SCHEMA(op_vm_schema, "OpVm", op_vm, op_vm_fields);

static const struct field op_vms_fields[] = {
	F_STRUCTS(op_vms, vms, op_vm_schema),
};
static SCHEMA(op_vms_schema, "OpVms", op_vms, op_vms_fields);

static const struct field op_job_fields[] = {
	F_STRUCT(op_job, job, job_record_schema),
	F_U32(op_job, pending),
	F_U32(op_job, running),
	F_U32(op_job, done),
	F_U32(op_job, failed),
	F_U32(op_job, evictions),
};
static SCHEMA(op_job_schema, "OpJob", op_job, op_job_fields);

static const struct field op_jobs_fields[] = {
	F_STRUCTS(op_jobs, jobs, op_job_schema),
};
static SCHEMA(op_jobs_schema, "OpJobs", op_jobs, op_jobs_fields);

static const struct field op_tasks_fields[] = {
	F_STRUCTS(op_tasks, tasks, task_record_schema),
};
static SCHEMA(op_tasks_schema, "OpTasks", op_tasks, op_tasks_fields);

static const struct field op_flow_step_fields[] = {
	F_U32(op_flow_step, occurrence),
	F_U32(op_flow_step, step),
	F_U32(op_flow_step, tasks),
	F_U32(op_flow_step, placed),
	F_U32(op_flow_step, done),
	F_U32(op_flow_step, failures),
	F_STRING(op_flow_step, state),
	F_STRING(op_flow_step, reason),
	F_U64(op_flow_step, waited_ms),
	F_U32(op_flow_step, reservations),
	F_STRING(op_flow_step, reserved_vm),
	F_U64(op_flow_step, reserved_in_ms),
};
static SCHEMA(op_flow_step_schema, "OpFlowStep", op_flow_step,
	      op_flow_step_fields);

static const struct field op_flow_run_fields[] = {
	F_STRING(op_flow_run, task), F_U32(op_flow_run, run),
	F_STRING(op_flow_run, vm),   F_STRING(op_flow_run, state),
	F_U32(op_flow_run, percent), F_U32(op_flow_run, pace),
	F_U64(op_flow_run, ran_ms),
};
static SCHEMA(op_flow_run_schema, "OpFlowRun", op_flow_run, op_flow_run_fields);

static const struct field op_flow_end_fields[] = {
	F_STRING(op_flow_end, task),	  F_U32(op_flow_end, run),
	F_STRING(op_flow_end, vm),	  F_STRING(op_flow_end, end),
	F_U64(op_flow_end, ended_ms_ago),
};
static SCHEMA(op_flow_end_schema, "OpFlowEnd", op_flow_end, op_flow_end_fields);

static const struct field op_flow_fields[] = {
	F_STRING(op_flow, id),
	F_STRING(op_flow, queue),
	F_STRING(op_flow, service),
	F_STRING(op_flow, state),
	F_U32(op_flow, priority),
	F_U32(op_flow, tasks),
	F_U32(op_flow, placed),
	F_U32(op_flow, done),
	F_U64(op_flow, submitted_ms),
	F_U64(op_flow, finished_ms),
	F_STRUCTS(op_flow, steps, op_flow_step_schema),
	F_STRUCTS(op_flow, runs, op_flow_run_schema),
	F_STRUCTS(op_flow, ends, op_flow_end_schema),
};
static SCHEMA(op_flow_schema, "OpFlow", op_flow, op_flow_fields);

static const struct field op_flows_fields[] = {
	F_STRUCTS(op_flows, flows, op_flow_schema),
};
static SCHEMA(op_flows_schema, "OpFlows", op_flows, op_flows_fields);

static const struct field op_share_fields[] = {
	F_U64(op_share, nr),
	F_STRING(op_share, queue),
	F_STRING(op_share, host),
	F_STRING(op_share, prefix),
	F_STRING(op_share, service),
	F_U32(op_share, priority),
	F_U32(op_share, weight),
	F_BOOL(op_share, weight_set),
	F_U32(op_share, share_permille),
	F_U64(op_share, use_core_ms),
	F_U64(op_share, excess_core_ms),
	F_BOOL(op_share, over),
	F_U32(op_share, workflows),
	F_U32(op_share, waiting),
};
static SCHEMA(op_share_schema, "OpShare", op_share, op_share_fields);

static const struct field op_shares_fields[] = {
	F_STRUCTS(op_shares, shares, op_share_schema),
};
static SCHEMA(op_shares_schema, "OpShares", op_shares, op_shares_fields);

static const struct field op_member_fields[] = {
	F_U64(op_member, node_id),    F_STRING(op_member, name),
	F_STRING(op_member, address), F_BOOL(op_member, voter),
	F_BOOL(op_member, leader),    F_U64(op_member, match_index),
};
static SCHEMA(op_member_schema, "OpMember", op_member, op_member_fields);

static const struct field op_status_fields[] = {
	F_U64(op_status, node_id),
	F_BOOL(op_status, leader),
	F_STRING(op_status, leader_address),
	F_U64(op_status, term),
	F_U64(op_status, commit_index),
	F_U64(op_status, bundle_version),
	F_U32(op_status, vms_live),
	F_U32(op_status, vms_lost),
	F_U32(op_status, tasks_pending),
	F_U32(op_status, tasks_running),
	F_U32(op_status, jobs_active),
	F_U64(op_status, evictions),
	F_STRUCTS(op_status, members, op_member_schema),
};
static SCHEMA(op_status_schema, "OpStatus", op_status, op_status_fields);

const struct schema_entry schema_op[] = {
	{ OP_BUNDLE_CHECK, &bundle_schema },
	{ OP_BUNDLE_SUBMIT, &bundle_schema },
	{ OP_BUNDLE_SIGN, &cmd_bundle_sign_schema },
	{ OP_BUNDLE_STATUS, &op_query_schema },
	{ OP_ZONE_SET, &cmd_zone_set_schema },
	{ OP_ZONE_LIST, &op_query_schema },
	{ OP_VM_LIST, &op_query_schema },
	{ OP_VM_SET, &cmd_vm_quarantine_schema },
	{ OP_JOB_SUBMIT, &job_record_schema },
	{ OP_JOB_CANCEL, &cmd_job_cancel_schema },
	{ OP_JOB_LIST, &op_query_schema },
	{ OP_TASK_LIST, &op_query_schema },
	{ OP_STATUS, &op_query_schema },
	{ OP_MEMBER_ADD, &member_schema },
	{ OP_MEMBER_REMOVE, &member_schema },
	{ OP_BUNDLE_PUT, &bundle_schema },
	{ OP_BUNDLE_SHOW, &op_query_schema },
	{ OP_ZONE_PUT, &cmd_zone_set_schema },
	{ OP_FLOW_LIST, &op_query_schema },
	{ OP_REPLY, &op_reply_schema },
	{ OP_BUNDLE_STATUS_REPLY, &op_bundle_status_schema },
	{ OP_ZONES, &op_zones_schema },
	{ OP_VMS, &op_vms_schema },
	{ OP_JOBS, &op_jobs_schema },
	{ OP_TASKS, &op_tasks_schema },
	{ OP_STATUS_REPLY, &op_status_schema },
	{ OP_BUNDLE, &bundle_schema },
	{ OP_FLOWS, &op_flows_schema },
	{ OP_SHARE_LIST, &op_query_schema },
	{ OP_SHARE_SET, &cmd_share_weight_schema },
	{ OP_SHARES, &op_shares_schema },
	{ TYPE_NONE, NULL },
};
