#include "command.h"
#include "schema_tables.h"

static const struct field bundle_zone_fields[] = {
	F_STRING(bundle_zone, name),
	F_STRING(bundle_zone, region),
	F_U32(bundle_zone, cost_ppm),
};
static SCHEMA(bundle_zone_schema, "BundleZone", bundle_zone,
	      bundle_zone_fields);

static const struct field bundle_team_fields[] = {
	F_STRING(bundle_team, name),
	F_U32(bundle_team, quota_cpu_millis),
	F_U32(bundle_team, quota_memory_mib),
	F_U32(bundle_team, quota_accelerators),
};
static SCHEMA(bundle_team_schema, "BundleTeam", bundle_team,
	      bundle_team_fields);

static const struct field bundle_service_fields[] = {
	F_STRING(bundle_service, name),
	F_STRING(bundle_service, team),
	F_U32(bundle_service, replicas),
	F_U32(bundle_service, cpu_millis),
	F_U32(bundle_service, memory_mib),
	F_U32(bundle_service, accelerators),
	F_U32(bundle_service, deadline_ms),
	F_U32(bundle_service, target_p99_us),
	F_STRING(bundle_service, payload),
};
static SCHEMA(bundle_service_schema, "BundleService", bundle_service,
	      bundle_service_fields);

static const struct field bundle_fields[] = {
	F_U64(bundle, version),
	F_STRING(bundle, digest),
	F_STRING(bundle, submitted_by),
	F_STRING(bundle, signed_by),
	F_STRING(bundle, route_policy),
	F_STRING(bundle, place_policy),
	F_STRING(bundle, evict_policy),
	F_STRUCTS(bundle, zones, bundle_zone_schema),
	F_STRUCTS(bundle, teams, bundle_team_schema),
	F_STRUCTS(bundle, services, bundle_service_schema),
	F_STRUCTS(bundle, queues, bundle_queue_schema),
	F_STRUCTS(bundle, pools, bundle_pool_schema),
	F_BYTES(bundle, document),
};
SCHEMA(bundle_schema, "Bundle", bundle, bundle_fields);

static const struct field zone_record_fields[] = {
	F_STRING(zone_record, name),
	F_BOOL(zone_record, out),
	F_U64(zone_record, version),
	F_STRING(zone_record, changed_by),
};
SCHEMA(zone_record_schema, "ZoneRecord", zone_record, zone_record_fields);

static const struct field vm_record_fields[] = {
	F_STRING(vm_record, name),	F_STRING(vm_record, zone),
	F_STRING(vm_record, rack),	F_STRING(vm_record, address),
	F_U64(vm_record, node_id),	F_U32(vm_record, state),
	F_U32(vm_record, cpu_millis),	F_U32(vm_record, memory_mib),
	F_U32(vm_record, accelerators), F_BOOL(vm_record, quarantined),
};
SCHEMA(vm_record_schema, "VmRecord", vm_record, vm_record_fields);

static const struct field job_record_fields[] = {
	F_U64(job_record, job_id),	 F_STRING(job_record, key),
	F_STRING(job_record, name),	 F_STRING(job_record, team),
	F_STRING(job_record, kind),	 F_U32(job_record, job_class),
	F_U32(job_record, priority),	 F_U32(job_record, nr_wanted),
	F_U32(job_record, cpu_millis),	 F_U32(job_record, memory_mib),
	F_U32(job_record, accelerators), F_U32(job_record, declared_run_ms),
	F_STRING(job_record, payload),	 F_U32(job_record, state),
	F_U32(job_record, result),	 F_U64(job_record, submitted_ms),
	F_U64(job_record, finished_ms),
};
SCHEMA(job_record_schema, "JobRecord", job_record, job_record_fields);

static const struct field task_record_fields[] = {
	F_U64(task_record, task_id),	   F_U64(task_record, job_id),
	F_U32(task_record, state),	   F_U64(task_record, epoch),
	F_STRING(task_record, vm),	   F_U32(task_record, cpu_millis),
	F_U32(task_record, memory_mib),	   F_U32(task_record, accelerators),
	F_STRING(task_record, checkpoint), F_U32(task_record, progress_ppm),
	F_U32(task_record, nr_failures),   F_U32(task_record, nr_evictions),
	F_U64(task_record, started_ms),
};
SCHEMA(task_record_schema, "TaskRecord", task_record, task_record_fields);

static const struct field claim_record_fields[] = {
	F_STRING(claim_record, service), F_STRING(claim_record, key),
	F_STRING(claim_record, digest),	 F_U64(claim_record, agent_node),
	F_U64(claim_record, entry_node), F_U64(claim_record, request_nr),
	F_U32(claim_record, attempt),	 F_U32(claim_record, state),
	F_U32(claim_record, status),	 F_STRING(claim_record, content_type),
	F_BYTES(claim_record, body),	 F_BOOL(claim_record, body_kept),
	F_U64(claim_record, claimed_ms),
};
SCHEMA(claim_record_schema, "ClaimRecord", claim_record, claim_record_fields);

static const struct field state_counters_fields[] = {
	F_U64(state_counters, next_job_id),
	F_U64(state_counters, next_task_id),
	F_U64(state_counters, clock_ms),
};
static SCHEMA(state_counters_schema, "StateCounters", state_counters,
	      state_counters_fields);

static const struct field cmd_noop_fields[] = {
	F_U64(cmd_noop, leader),
};
static SCHEMA(cmd_noop_schema, "CmdNoop", cmd_noop, cmd_noop_fields);

static const struct field cmd_bundle_sign_fields[] = {
	F_U64(cmd_bundle_sign, version),
	F_STRING(cmd_bundle_sign, digest),
	F_STRING(cmd_bundle_sign, signed_by),
};
SCHEMA(cmd_bundle_sign_schema, "CmdBundleSign", cmd_bundle_sign,
       cmd_bundle_sign_fields);

static const struct field cmd_zone_set_fields[] = {
	F_STRING(cmd_zone_set, name),
	F_BOOL(cmd_zone_set, out),
	F_U64(cmd_zone_set, expected_version),
	F_STRING(cmd_zone_set, changed_by),
	F_BOOL(cmd_zone_set, any_version),
};
SCHEMA(cmd_zone_set_schema, "CmdZoneSet", cmd_zone_set, cmd_zone_set_fields);

static const struct field cmd_vm_lost_fields[] = {
	F_STRING(cmd_vm_lost, name),
	F_U64(cmd_vm_lost, node_id),
};
static SCHEMA(cmd_vm_lost_schema, "CmdVmLost", cmd_vm_lost, cmd_vm_lost_fields);

static const struct field cmd_vm_quarantine_fields[] = {
	F_STRING(cmd_vm_quarantine, name),
	F_BOOL(cmd_vm_quarantine, quarantined),
};
SCHEMA(cmd_vm_quarantine_schema, "CmdVmQuarantine", cmd_vm_quarantine,
       cmd_vm_quarantine_fields);

static const struct field cmd_job_cancel_fields[] = {
	F_U64S(cmd_job_cancel, job_ids),
	F_U32(cmd_job_cancel, result),
	F_U64(cmd_job_cancel, now_ms),
};
SCHEMA(cmd_job_cancel_schema, "CmdJobCancel", cmd_job_cancel,
       cmd_job_cancel_fields);

static const struct field cmd_task_place_fields[] = {
	F_U64(cmd_task_place, task_id),	     F_U64(cmd_task_place, epoch),
	F_STRING(cmd_task_place, vm),	     F_U64(cmd_task_place, vm_node),
	F_U32(cmd_task_place, cpu_millis),   F_U32(cmd_task_place, memory_mib),
	F_U32(cmd_task_place, accelerators), F_U64(cmd_task_place, now_ms),
};
static SCHEMA(cmd_task_place_schema, "CmdTaskPlace", cmd_task_place,
	      cmd_task_place_fields);

static const struct field cmd_task_set_fields[] = {
	F_U64(cmd_task_set, task_id),	   F_U64(cmd_task_set, epoch),
	F_U32(cmd_task_set, state),	   F_STRING(cmd_task_set, checkpoint),
	F_U32(cmd_task_set, progress_ppm), F_U32(cmd_task_set, result),
	F_BOOL(cmd_task_set, evicted),	   F_U64(cmd_task_set, now_ms),
};
static SCHEMA(cmd_task_set_schema, "CmdTaskSet", cmd_task_set,
	      cmd_task_set_fields);

static const struct field cmd_expire_fields[] = {
	F_U64(cmd_expire, claims_before_ms),
	F_U64(cmd_expire, jobs_before_ms),
};
static SCHEMA(cmd_expire_schema, "CmdExpire", cmd_expire, cmd_expire_fields);

const struct schema_entry schema_command[] = {
	{ CMD_NOOP, &cmd_noop_schema },
	{ CMD_BUNDLE_SUBMIT, &bundle_schema },
	{ CMD_BUNDLE_SIGN, &cmd_bundle_sign_schema },
	{ CMD_ZONE_SET, &cmd_zone_set_schema },
	{ CMD_VM_SET, &vm_record_schema },
	{ CMD_VM_LOST, &cmd_vm_lost_schema },
	{ CMD_VM_QUARANTINE, &cmd_vm_quarantine_schema },
	{ CMD_JOB_SUBMIT, &job_record_schema },
	{ CMD_JOB_CANCEL, &cmd_job_cancel_schema },
	{ CMD_TASK_PLACE, &cmd_task_place_schema },
	{ CMD_TASK_SET, &cmd_task_set_schema },
	{ CMD_CLAIM, &claim_record_schema },
	{ CMD_CLAIM_DONE, &claim_record_schema },
	{ CMD_EXPIRE, &cmd_expire_schema },
	{ REC_BUNDLE, &bundle_schema },
	{ REC_ZONE, &zone_record_schema },
	{ REC_VM, &vm_record_schema },
	{ REC_JOB, &job_record_schema },
	{ REC_TASK, &task_record_schema },
	{ REC_CLAIM, &claim_record_schema },
	{ REC_COUNTERS, &state_counters_schema },
	{ TYPE_NONE, NULL },
};
