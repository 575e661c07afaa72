#include "msg_request.h"
#include "schema_tables.h"

static const struct field request_fields[] = {
	F_U64(request, request_nr),  F_U64(request, target_node),
	F_STRING(request, service),  F_STRING(request, method),
	F_STRING(request, path),     F_STRING(request, content_type),
	F_BYTES(request, body),	     F_U32(request, deadline_ms),
	F_BOOL(request, repeatable), F_STRING(request, key),
	F_U32(request, attempt),
};
static SCHEMA(request_schema, "Request", request, request_fields);

static const struct field load_fields[] = {
	F_STRING(load, service),  F_U32(load, slots),
	F_U32(load, connections), F_U32(load, in_flight),
	F_U32(load, queued),	  F_U32(load, service_time_us),
	F_BOOL(load, leaving),
};
static SCHEMA(load_schema, "Load", load, load_fields);

static const struct field load_report_fields[] = {
	F_U64(load_report, seq),
	F_STRUCTS(load_report, loads, load_schema),
};
static SCHEMA(load_report_schema, "LoadReport", load_report,
	      load_report_fields);

static const struct field response_fields[] = {
	F_U64(response, origin_node), F_U64(response, request_nr),
	F_U32(response, run),	      F_U32(response, result),
	F_U32(response, status),      F_STRING(response, content_type),
	F_BYTES(response, body),      F_U32(response, run_us),
	F_U32(response, wait_us),     F_STRUCT(response, load, load_schema),
};
static SCHEMA(response_schema, "Response", response, response_fields);

static const struct field cancel_fields[] = {
	F_U64(cancel, request_nr),
};
static SCHEMA(cancel_schema, "Cancel", cancel, cancel_fields);

static const struct field outcome_query_fields[] = {
	F_U64(outcome_query, origin_node), F_U64(outcome_query, request_nr),
	F_U64(outcome_query, reply_nr),	   F_STRING(outcome_query, service),
	F_STRING(outcome_query, key),	   F_BOOL(outcome_query, repeatable),
	F_BOOL(outcome_query, refuse),
};
static SCHEMA(outcome_query_schema, "OutcomeQuery", outcome_query,
	      outcome_query_fields);

const struct schema_entry schema_request[] = {
	{ MSG_REQUEST, &request_schema },
	{ MSG_RESPONSE, &response_schema },
	{ MSG_CANCEL, &cancel_schema },
	{ MSG_OUTCOME_QUERY, &outcome_query_schema },
	{ MSG_LOAD, &load_report_schema },
	{ TYPE_NONE, NULL },
};
