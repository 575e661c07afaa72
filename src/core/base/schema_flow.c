#include "command.h"
#include "flow.h"
#include "schema_tables.h"

static const struct field flow_step_fields[] = {
	F_U32(flow_step, count),	F_U32(flow_step, cpu_millis),
	F_U32(flow_step, memory_mib),	F_U32(flow_step, accelerators),
	F_U32(flow_step, estimate_ms),	F_U64S(flow_step, after),
	F_BOOL(flow_step, checkpoints), F_BOOL(flow_step, gang),
	F_BOOL(flow_step, same_rack),	F_BOOL(flow_step, copies),
	F_BOOL(flow_step, lasting),	F_BOOL(flow_step, filler),
	F_STRING(flow_step, image),	F_STRING(flow_step, label),
	F_STRING(flow_step, data_rack), F_U32(flow_step, max_per_vm),
	F_U32(flow_step, target_ms),	F_U32(flow_step, max_unavailable),
};
static SCHEMA(flow_step_schema, "FlowStep", flow_step, flow_step_fields);

static const struct field flow_task_fields[] = {
	F_U32(flow_task, state),	 F_U32(flow_task, run),
	F_U32(flow_task, nr_failures),	 F_STRING(flow_task, vm),
	F_STRING(flow_task, worker),	 F_U64(flow_task, born_ms),
	F_STRING(flow_task, checkpoint), F_U32(flow_task, failed_run),
};
static SCHEMA(flow_task_schema, "FlowTask", flow_task, flow_task_fields);

static const struct field flow_record_fields[] = {
	F_STRING(flow_record, id),
	F_STRING(flow_record, host),
	F_STRING(flow_record, prefix),
	F_STRING(flow_record, service),
	F_U32(flow_record, priority),
	F_U32(flow_record, attempts),
	F_U32(flow_record, slack_permille),
	F_U32(flow_record, slo_ms),
	F_U32(flow_record, ticket_ms),
	F_BYTES(flow_record, spec),
	F_STRUCTS(flow_record, steps, flow_step_schema),
	F_U32(flow_record, repeats),
	F_U64(flow_record, first_ms),
	F_U64(flow_record, interval_ms),
	F_U64(flow_record, submitted_ms),
	F_U64(flow_record, finished_ms),
	F_U32(flow_record, state),
	F_STRUCTS(flow_record, tasks, flow_task_schema),
};
SCHEMA(flow_record_schema, "FlowRecord", flow_record, flow_record_fields);

static const struct field bundle_queue_fields[] = {
	F_STRING(bundle_queue, name),	     F_STRING(bundle_queue, host),
	F_STRING(bundle_queue, prefix),	     F_STRING(bundle_queue, service),
	F_U32(bundle_queue, priority),	     F_U32(bundle_queue, attempts),
	F_U32(bundle_queue, slack_permille), F_U32(bundle_queue, slo_ms),
	F_U32(bundle_queue, timeout_ms),     F_U32(bundle_queue, ticket_ms),
};
SCHEMA(bundle_queue_schema, "BundleQueue", bundle_queue, bundle_queue_fields);

static const struct field bundle_pool_fields[] = {
	F_STRING(bundle_pool, name),
	F_BOOL(bundle_pool, enforces_capacity),
	F_BOOL(bundle_pool, standby),
};
SCHEMA(bundle_pool_schema, "BundlePool", bundle_pool, bundle_pool_fields);

static const struct field flow_change_fields[] = {
	F_STRING(flow_change, id),	   F_U32(flow_change, task),
	F_U32(flow_change, kind),	   F_U32(flow_change, run),
	F_U32(flow_change, end),	   F_STRING(flow_change, vm),
	F_STRING(flow_change, worker),	   F_U64(flow_change, born_ms),
	F_STRING(flow_change, checkpoint),
};
static SCHEMA(flow_change_schema, "FlowChange", flow_change,
	      flow_change_fields);

static const struct field cmd_flow_change_fields[] = {
	F_U64(cmd_flow_change, now_ms),
	F_STRUCTS(cmd_flow_change, changes, flow_change_schema),
};
static SCHEMA(cmd_flow_change_schema, "CmdFlowChange", cmd_flow_change,
	      cmd_flow_change_fields);

static const struct field cmd_flow_cancel_fields[] = {
	F_STRING(cmd_flow_cancel, id),
	F_STRING(cmd_flow_cancel, host),
	F_STRING(cmd_flow_cancel, prefix),
	F_U64(cmd_flow_cancel, now_ms),
};
static SCHEMA(cmd_flow_cancel_schema, "CmdFlowCancel", cmd_flow_cancel,
	      cmd_flow_cancel_fields);

static const struct field cmd_flow_expire_fields[] = {
	F_U64(cmd_flow_expire, before_ms),
};
static SCHEMA(cmd_flow_expire_schema, "CmdFlowExpire", cmd_flow_expire,
	      cmd_flow_expire_fields);

static const struct field pressure_pair_fields[] = {
	F_STRING(pressure_pair, serving),
	F_STRING(pressure_pair, filler),
	F_U32(pressure_pair, weight_permille),
	F_U32(pressure_pair, doubt_permille),
};
static SCHEMA(pressure_pair_schema, "PressurePair", pressure_pair,
	      pressure_pair_fields);

static const struct field cmd_pressure_fields[] = {
	F_STRUCTS(cmd_pressure, pairs, pressure_pair_schema),
};
static SCHEMA(cmd_pressure_schema, "CmdPressure", cmd_pressure,
	      cmd_pressure_fields);

static const struct field flow_unconfirmed_fields[] = {
	F_STRING(flow_unconfirmed, task),
	F_U32(flow_unconfirmed, run),
	F_BOOL(flow_unconfirmed, has_copy),
};
static SCHEMA(flow_unconfirmed_schema, "FlowUnconfirmed", flow_unconfirmed,
	      flow_unconfirmed_fields);

static const struct field flow_worker_fields[] = {
	F_STRING(flow_worker, vm),
	F_STRING(flow_worker, id),
	F_U64(flow_worker, born_ms),
	F_BOOL(flow_worker, restarted),
	F_STRUCTS(flow_worker, unconfirmed, flow_unconfirmed_schema),
};
SCHEMA(flow_worker_schema, "FlowWorker", flow_worker, flow_worker_fields);

static const struct field cmd_flow_workers_fields[] = {
	F_STRUCTS(cmd_flow_workers, workers, flow_worker_schema),
};
static SCHEMA(cmd_flow_workers_schema, "CmdFlowWorkers", cmd_flow_workers,
	      cmd_flow_workers_fields);

static const struct field flow_call_fields[] = {
	F_U64(flow_call, ticket),
	F_U32(flow_call, kind),
	F_STRING(flow_call, host),
	F_STRING(flow_call, path),
	F_STRUCTS(flow_call, flows, flow_record_schema),
};
static SCHEMA(flow_call_schema, "FlowCall", flow_call, flow_call_fields);

static const struct field flow_reply_fields[] = {
	F_U64(flow_reply, ticket),	   F_U32(flow_reply, result),
	F_U32(flow_reply, state),	   F_U64(flow_reply, nr_pending),
	F_U32(flow_reply, retry_after_ms),
};
static SCHEMA(flow_reply_schema, "FlowReply", flow_reply, flow_reply_fields);

static const struct field worker_life_fields[] = {
	F_STRING(worker_incarnation, id),
	F_U64(worker_incarnation, born_ms),
	F_STRING(worker_incarnation, service),
	F_STRING(worker_incarnation, machine),
	F_U32(worker_incarnation, cpu_millis),
	F_U32(worker_incarnation, memory_mib),
	F_U32(worker_incarnation, accelerators),
	F_STRING(worker_incarnation, kind),
	F_STRING(worker_incarnation, rack),
	F_BOOL(worker_incarnation, draining),
	F_BOOL(worker_incarnation, ended),
	F_U32(worker_incarnation, remaining_ms),
	F_U32(worker_incarnation, warmup_ms),
};
static SCHEMA(worker_life_schema, "WorkerLife", worker_incarnation,
	      worker_life_fields);

static const struct field flow_run_fields[] = {
	F_STRING(flow_run, task),	F_U32(flow_run, run),
	F_BOOL(flow_run, unconfirmed),	F_BOOL(flow_run, unordered),
	F_STRING(flow_run, checkpoint), F_U32(flow_run, percent),
	F_U32(flow_run, figure),	F_U32(flow_run, pace),
	F_BOOL(flow_run, starting),	F_U32(flow_run, late_ms),
};
static SCHEMA(flow_run_schema, "FlowRun", flow_run, flow_run_fields);

static const struct field flow_run_end_fields[] = {
	F_U64(flow_run_end, nr),     F_STRING(flow_run_end, task),
	F_U32(flow_run_end, run),    F_U32(flow_run_end, end),
	F_U32(flow_run_end, result), F_STRING(flow_run_end, checkpoint),
};
static SCHEMA(flow_run_end_schema, "FlowRunEnd", flow_run_end,
	      flow_run_end_fields);

static const struct field flow_report_fields[] = {
	F_U64(flow_report, seq),
	F_U64(flow_report, sent_us),
	F_STRING(flow_report, vm),
	F_STRING(flow_report, zone),
	F_STRUCT(flow_report, worker, worker_life_schema),
	F_BOOL(flow_report, reachable),
	F_BOOL(flow_report, looked),
	F_U32(flow_report, late_ms),
	F_STRUCTS(flow_report, runs, flow_run_schema),
	F_STRUCTS(flow_report, ends, flow_run_end_schema),
	F_U64(flow_report, answered_fence),
	F_BOOL(flow_report, reports_fence),
	F_BOOL(flow_report, restart_seen),
};
static SCHEMA(flow_report_schema, "FlowReport", flow_report,
	      flow_report_fields);

static const struct field flow_grant_fields[] = {
	F_U64(flow_grant, seq),
	F_U64(flow_grant, sent_us),
	F_U64(flow_grant, term),
	F_U32(flow_grant, lease_ms),
	F_STRING(flow_grant, worker),
	F_U64(flow_grant, born_ms),
	F_U64(flow_grant, settled_nr),
	F_STRUCTS(flow_grant, pairs, pressure_pair_schema),
	F_U64(flow_grant, fence),
};
static SCHEMA(flow_grant_schema, "FlowGrant", flow_grant, flow_grant_fields);

static const struct field flow_order_fields[] = {
	F_U32(flow_order, action),	  F_STRING(flow_order, task),
	F_U32(flow_order, run),		  F_BYTES(flow_order, spec),
	F_STRING(flow_order, checkpoint), F_BOOL(flow_order, filler),
	F_STRING(flow_order, image),	  F_U32(flow_order, cpu_millis),
	F_U32(flow_order, target_ms),	  F_STRING(flow_order, ticket),
	F_BOOL(flow_order, repeated),	  F_U64(flow_order, fence),
	F_U32(flow_order, yield_ms),
};
static SCHEMA(flow_order_schema, "FlowOrder", flow_order, flow_order_fields);

static const struct field flow_orders_fields[] = {
	F_U64(flow_orders, term),
	F_STRING(flow_orders, worker),
	F_U64(flow_orders, born_ms),
	F_STRUCTS(flow_orders, orders, flow_order_schema),
};
static SCHEMA(flow_orders_schema, "FlowOrders", flow_orders,
	      flow_orders_fields);

static const struct field share_record_fields[] = {
	F_STRING(share_record, host),	  F_STRING(share_record, prefix),
	F_STRING(share_record, name),	  F_U32(share_record, weight),
	F_U64(share_record, use_core_ms),
};
static SCHEMA(share_record_schema, "ShareRecord", share_record,
	      share_record_fields);

static const struct field cmd_share_weight_fields[] = {
	F_STRING(cmd_share_weight, queue),
	F_U32(cmd_share_weight, weight),
};
SCHEMA(cmd_share_weight_schema, "CmdShareWeight", cmd_share_weight,
       cmd_share_weight_fields);

static const struct field cmd_share_uses_fields[] = {
	F_STRUCTS(cmd_share_uses, uses, share_record_schema),
};
static SCHEMA(cmd_share_uses_schema, "CmdShareUses", cmd_share_uses,
	      cmd_share_uses_fields);

const struct schema_entry schema_flow[] = {
	{ MSG_FLOW_CALL, &flow_call_schema },
	{ MSG_FLOW_REPLY, &flow_reply_schema },
	{ MSG_FLOW_REPORT, &flow_report_schema },
	{ MSG_FLOW_GRANT, &flow_grant_schema },
	{ MSG_FLOW_ORDERS, &flow_orders_schema },
	{ CMD_FLOW_SUBMIT, &flow_record_schema },
	{ CMD_FLOW_CANCEL, &cmd_flow_cancel_schema },
	{ CMD_FLOW_CHANGE, &cmd_flow_change_schema },
	{ CMD_FLOW_EXPIRE, &cmd_flow_expire_schema },
	{ CMD_BUNDLE_PUT, &bundle_schema },
	{ CMD_PRESSURE, &cmd_pressure_schema },
	{ CMD_FLOW_WORKERS, &cmd_flow_workers_schema },
	{ REC_FLOW, &flow_record_schema },
	{ REC_PRESSURE, &pressure_pair_schema },
	{ REC_FLOW_WORKER, &flow_worker_schema },
	{ CMD_SHARE_WEIGHT, &cmd_share_weight_schema },
	{ CMD_SHARE_USES, &cmd_share_uses_schema },
	{ REC_SHARE, &share_record_schema },
	{ TYPE_NONE, NULL },
};
