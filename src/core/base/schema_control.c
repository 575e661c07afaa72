#include "msg_control.h"
#include "schema_tables.h"

static const struct field report_service_fields[] = {
	F_STRING(report_service, service),
	F_U32(report_service, slots),
	F_BOOL(report_service, leaving),
	F_U32(report_service, service_time_us),
};
static SCHEMA(report_service_schema, "ReportService", report_service,
	      report_service_fields);

static const struct field report_fields[] = {
	F_U64(report, seq),
	F_U64(report, sent_us),
	F_STRUCT(report, vm, vm_record_schema),
	F_U64(report, bundle_version),
	F_BOOL(report, leaving),
	F_STRUCTS(report, tasks, platform_task_schema),
	F_STRUCTS(report, services, report_service_schema),
};
static SCHEMA(report_schema, "Report", report, report_fields);

static const struct field grant_fields[] = {
	F_U64(grant, seq),
	F_U64(grant, sent_us),
	F_U64(grant, term),
	F_U32(grant, lease_ms),
	F_U32(grant, permit_ms),
	F_BOOL(grant, zone_out),
	F_U64(grant, bundle_version),
	F_U64S(grant, confirmed),
};
static SCHEMA(grant_schema, "Grant", grant, grant_fields);

static const struct field task_order_fields[] = {
	F_U64(task_order, term),
	F_U64(task_order, vm_node),
	F_U32(task_order, action),
	F_U32(task_order, cpu_ppm),
	F_U64(task_order, permit_sent_us),
	F_STRUCT(task_order, start, platform_start_schema),
};
static SCHEMA(task_order_schema, "TaskOrder", task_order, task_order_fields);

static const struct field task_event_fields[] = {
	F_U64(task_event, task_id),	 F_U64(task_event, epoch),
	F_U32(task_event, run),		 F_STRING(task_event, checkpoint),
	F_U32(task_event, progress_ppm), F_U32(task_event, result),
};
static SCHEMA(task_event_schema, "TaskEvent", task_event, task_event_fields);

static const struct field view_query_fields[] = {
	F_U64(view_query, term),
	F_U64(view_query, view_version),
	F_U64(view_query, bundle_version),
};
static SCHEMA(view_query_schema, "ViewQuery", view_query, view_query_fields);

static const struct field view_agent_fields[] = {
	F_STRING(view_agent, vm),      F_STRING(view_agent, zone),
	F_STRING(view_agent, address), F_U64(view_agent, node_id),
	F_BOOL(view_agent, gone),
};
static SCHEMA(view_agent_schema, "ViewAgent", view_agent, view_agent_fields);

static const struct field view_fields[] = {
	F_U64(view, term),
	F_U64(view, view_version),
	F_BOOL(view, whole),
	F_U64(view, base_version),
	F_STRUCTS(view, zones, zone_record_schema),
	F_STRUCTS(view, agents, view_agent_schema),
	F_STRUCTS(view, bundles, bundle_schema),
};
static SCHEMA(view_schema, "View", view, view_fields);

static const struct field claim_query_fields[] = {
	F_U64(claim_query, ticket),
	F_STRUCT(claim_query, claim, claim_record_schema),
};
static SCHEMA(claim_query_schema, "ClaimQuery", claim_query,
	      claim_query_fields);

static const struct field claim_reply_fields[] = {
	F_U64(claim_reply, ticket),
	F_U32(claim_reply, result),
	F_STRUCT(claim_reply, claim, claim_record_schema),
};
static SCHEMA(claim_reply_schema, "ClaimReply", claim_reply,
	      claim_reply_fields);

static const struct field claim_done_fields[] = {
	F_STRUCT(claim_done, claim, claim_record_schema),
};
static SCHEMA(claim_done_schema, "ClaimDone", claim_done, claim_done_fields);

static const struct field peer_address_fields[] = {
	F_STRING(peer_address, address),
};
static SCHEMA(peer_address_schema, "PeerAddress", peer_address,
	      peer_address_fields);

static const struct field peers_fields[] = {
	F_STRUCTS(peers, addresses, peer_address_schema),
};
static SCHEMA(peers_schema, "Peers", peers, peers_fields);

const struct schema_entry schema_control[] = {
	{ MSG_REPORT, &report_schema },
	{ MSG_GRANT, &grant_schema },
	{ MSG_TASK_ORDER, &task_order_schema },
	{ MSG_TASK_EVENT, &task_event_schema },
	{ MSG_VIEW_QUERY, &view_query_schema },
	{ MSG_VIEW, &view_schema },
	{ MSG_CLAIM_QUERY, &claim_query_schema },
	{ MSG_CLAIM_REPLY, &claim_reply_schema },
	{ MSG_CLAIM_DONE, &claim_done_schema },
	{ MSG_PEERS, &peers_schema },
	{ TYPE_NONE, NULL },
};
