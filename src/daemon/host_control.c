#include <stdlib.h>
#include <string.h>

#include "bundle_doc.h"
#include "control.h"
#include "json.h"
#include "json_text.h"
#include "host_control.h"
#include "logline.h"
#include "store.h"

struct host_control {
	struct loop *loop;
	struct control *control;
	struct http_server *http;
	struct store *store;
	const struct control_front_ops *front; /* NULL: no front end */
	void *front_ctx;
};

/**
 * HTTP method and path of an operation. If the path ends in '/', one more
 * segment follows it in a request.
 */
struct route {
	const char *method;
	const char *path;
	uint32_t type;
	const char *segment; /* body member set from that segment, or NULL */
};

static const struct route routes[] = {
	{ "GET", "/v1/status", OP_STATUS, NULL },
	{ "GET", "/v1/bundle", OP_BUNDLE_STATUS, NULL },
	{ "GET", "/v1/bundle/in-force", OP_BUNDLE_SHOW, NULL },
	{ "POST", "/v1/bundle", OP_BUNDLE_SUBMIT, NULL },
	{ "POST", "/v1/bundle/check", OP_BUNDLE_CHECK, NULL },
	{ "POST", "/v1/bundle/sign-off", OP_BUNDLE_SIGN, NULL },
	{ "GET", "/v1/zones", OP_ZONE_LIST, NULL },
	{ "PUT", "/v1/zones/", OP_ZONE_SET, "name" },
	{ "GET", "/v1/vms", OP_VM_LIST, NULL },
	{ "PUT", "/v1/vms/", OP_VM_SET, "name" },
	{ "GET", "/v1/jobs", OP_JOB_LIST, NULL },
	{ "POST", "/v1/jobs", OP_JOB_SUBMIT, NULL },
	{ "POST", "/v1/jobs/cancel", OP_JOB_CANCEL, NULL },
	{ "GET", "/v1/tasks", OP_TASK_LIST, NULL },
	{ "GET", "/v1/workflows", OP_FLOW_LIST, NULL },
	{ "GET", "/v1/workflows/", OP_FLOW_LIST, "flow_id" },
	{ "GET", "/v1/shares", OP_SHARE_LIST, NULL },
	{ "PUT", "/v1/shares", OP_SHARE_SET, NULL },
	{ "POST", "/v1/members", OP_MEMBER_ADD, NULL },
	{ "DELETE", "/v1/members/", OP_MEMBER_REMOVE, "node_id" },
};

/* Responds to a request with an error and doesn't pass it to the core. */
static void host_control_refuse(struct http_request *request, enum result res,
				const char *message)
{
	struct op_reply reply = { 0 };
	char *text;

	reply.result = res;
	TEXT_SET(reply.message, message ? message : result_summary(res));
	text = json_text_from_body(OP_REPLY, &reply, FALSE);
	http_respond_text(request, http_status_of(res), "application/json",
			  text);
	g_free(text);
}

static void host_control_respond(void *ctx, uint64_t ticket, uint32_t type,
				 const void *body)
{
	struct host_control *host = ctx;
	struct http_request *request = http_find(host->http, ticket);
	const struct op_reply *reply = body;
	uint32_t status = SOUP_STATUS_OK;
	char *text;

	if (!request)
		return;
	if (host->front &&
	    host->front->respond(host->front_ctx, request, type, body))
		return;
	if (type == OP_REPLY)
		status = http_status_of((enum result)reply->result);
	text = json_text_from_body(type, body, FALSE);
	http_respond_text(request, status, "application/json", text);
	g_free(text);
}

static uint64_t host_control_wall_ms(void *ctx)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

static void host_control_advise(void *ctx, uint64_t call_nr, const char *step,
				const char *const *workers, uint32_t nr_workers)
{
	struct host_control *host = ctx;

	host->front->advise(host->front_ctx, call_nr, step, workers,
			    nr_workers);
}

static const struct control_host_ops host_control_host_ops = {
	.operator_respond = host_control_respond,
	.wall_ms = host_control_wall_ms,
};

/* Used if the process has an adviser, which the front end calls. */
static const struct control_host_ops host_control_adviser_ops = {
	.operator_respond = host_control_respond,
	.wall_ms = host_control_wall_ms,
	.advise = host_control_advise,
};

/*
 * Returns the segment after the route's path, "" if the route has none, and
 * NULL if the path doesn't match.
 */
static const char *route_match(const struct route *route, const char *path)
{
	size_t len = strlen(route->path);

	if (!route->segment)
		return strcmp(route->path, path) ? NULL : "";
	if (!g_str_has_prefix(path, route->path) || !path[len] ||
	    strchr(path + len, '/'))
		return NULL;
	return path + len;
}

static const struct field *schema_find(uint32_t type, const char *name)
{
	const struct schema *schema = schema_of(type);

	for (uint32_t i = 0; i < schema->nr_fields; i++)
		if (!strcmp(schema->fields[i].name, name))
			return &schema->fields[i];
	return NULL;
}

/* Sets a member from a text in the path or query, as a number if it is one. */
static enum result object_set_text(JsonObject *object, uint32_t type,
				   const char *name, const char *text,
				   char **error)
{
	const struct field *field = schema_find(type, name);
	guint64 number = 0;

	if (field && (field->kind == FIELD_U32 || field->kind == FIELD_U64)) {
		if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64,
						&number, NULL)) {
			*error = g_strdup_printf("\"%s\" is no number", name);
			return RESULT_MALFORMED;
		}
		json_object_set_int_member(object, name, (gint64)number);
	} else {
		json_object_set_string_member(object, name, text);
	}
	return RESULT_OK;
}

static enum result object_set_query(JsonObject *object, uint32_t type,
				    const char *query, char **error)
{
	GHashTable *params = query ? g_uri_parse_params(query, -1, "&",
							G_URI_PARAMS_WWW_FORM,
							NULL) :
				     NULL;
	enum result res = RESULT_OK;
	GHashTableIter iter;
	void *name;
	void *value;

	if (!params)
		return query ? RESULT_MALFORMED : RESULT_OK;
	g_hash_table_iter_init(&iter, params);
	while (res == RESULT_OK && g_hash_table_iter_next(&iter, &name, &value))
		res = object_set_text(object, type, name, value, error);
	g_hash_table_unref(params);
	return res;
}

static enum result object_set_segment(JsonObject *object,
				      const struct route *route,
				      const char *segment, char **error)
{
	char *text = g_uri_unescape_string(segment, NULL);
	enum result res = RESULT_MALFORMED;

	if (!text || !g_utf8_validate(text, -1, NULL))
		*error = g_strdup("the path is not valid");
	else
		res = object_set_text(object, route->type, route->segment, text,
				      error);
	g_free(text);
	return res;
}

/* Builds the operation's body from the JSON body, the path and the query. */
static enum result route_body(const struct route *route,
			      const struct http_request *request,
			      const char *segment, void **body, char **error)
{
	struct json_parse_error fault;
	enum result res = RESULT_MALFORMED;
	const char *text;
	JsonNode *root;
	gsize size;

	text = g_bytes_get_data(request->body, &size);
	root = size ? json_parse(text, (gssize)size, &fault) :
		      json_parse("{}", -1, &fault);
	if (!root) {
		*error = json_parse_error_text(&fault);
		goto out;
	}
	if (!JSON_NODE_HOLDS_OBJECT(root)) {
		*error = g_strdup("the body is no JSON object");
		goto out;
	}
	res = object_set_query(json_node_get_object(root), route->type,
			       request->query, error);
	if (res == RESULT_OK && route->segment)
		res = object_set_segment(json_node_get_object(root), route,
					 segment, error);
	if (res == RESULT_OK)
		res = json_to_body(route->type, root, body, error);
out:
	if (root)
		json_node_unref(root);
	return res;
}

/*
 * Checks the size and the digest of a bundle. The core can't do that, as both
 * depend on the JSON encoding.
 */
static enum result route_check(const struct route *route, gsize size,
			       const void *body, char **error)
{
	if (route->type != OP_BUNDLE_SUBMIT && route->type != OP_BUNDLE_CHECK)
		return RESULT_OK;
	if (size > BUNDLE_MAX_BYTES)
		return RESULT_TOO_LARGE;
	return bundle_doc_check_digest(body, error);
}

void host_control_submit(struct host_control *host, uint64_t ticket,
			 uint32_t type, const void *body)
{
	loop_update_time(host->loop);
	control_operate(host->control, ticket, type, body);
}

static void host_control_operate(struct host_control *host,
				 const struct route *route, const char *segment,
				 struct http_request *request)
{
	void *body = NULL;
	char *error = NULL;
	enum result res = route_body(route, request, segment, &body, &error);

	if (res == RESULT_OK)
		res = route_check(route, g_bytes_get_size(request->body), body,
				  &error);
	if (res == RESULT_OK) {
		host_control_submit(host, request->ticket, route->type, body);
	} else {
		role_host_log_refused(host->loop, request, res, error);
		host_control_refuse(request, res, error);
	}
	record_unref((struct record){ route->type, body });
	g_free(error);
}

static void host_control_request(void *ctx, struct http_request *request)
{
	struct host_control *host = ctx;

	if (host->front && host->front->request(host->front_ctx, request))
		return;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const char *segment = route_match(&routes[i], request->path);

		if (segment && !strcmp(request->method, routes[i].method)) {
			host_control_operate(host, &routes[i], segment,
					     request);
			return;
		}
	}
	host_control_refuse(request, RESULT_UNKNOWN_OBJECT,
			    "no such method and path");
}

static void host_control_gone(void *ctx, uint64_t ticket)
{
	struct host_control *host = ctx;

	if (host->front)
		host->front->gone(host->front_ctx, ticket);
}

static bool host_control_ready(void *ctx)
{
	return true;
}

static void host_control_metrics(void *ctx, GString *out)
{
	struct host_control *host = ctx;

	role_host_metrics(host->loop, host->http, out);
}

static const struct http_server_ops host_control_http_ops = {
	.request = host_control_request,
	.gone = host_control_gone,
	.ready = host_control_ready,
	.metrics = host_control_metrics,
};

static void host_control_free(void *data)
{
	struct host_control *host = data;

	if (!host)
		return;
	http_server_free(host->http);
	store_close(host->store);
	g_free(host);
}

static void host_control_synced(void *ctx, uint64_t sync_nr, enum result res)
{
	struct host_control *host = ctx;

	loop_update_time(host->loop);
	control_synced(host->control, sync_nr, res);
	/*
	 * After a disk error the replica must not take part in the group until
	 * a restart has opened the store again.
	 */
	if (res != RESULT_OK)
		loop_end(host->loop, res);
}

static void host_control_full(void *ctx, bool full)
{
	struct host_control *host = ctx;

	loop_update_time(host->loop);
	control_store_full(host->control, full);
}

/*
 * Opens the store and uses the node id in it, so that a replica keeps its
 * identity for as long as its disk.
 */
static enum result host_control_open_store(struct host_control *host,
					   const struct settings *settings)
{
	struct node *node = loop_node(host->loop);
	struct store_opts opts = { 0 };
	const struct store_image *image;
	enum result res;

	opts.path = settings->data;
	opts.synced = host_control_synced;
	opts.full = host_control_full;
	opts.ctx = host;
	res = store_open(&opts, &host->store);
	if (res != RESULT_OK)
		return res;
	image = store_image(host->store);
	if (image->hard_state.node_id)
		node_set_id(node, image->hard_state.node_id);
	return RESULT_OK;
}

/* Replaces the address of --listen in --control, as its port may be 0. */
static void host_control_bind_self(const struct settings *settings,
				   const char *bound)
{
	for (uint32_t i = 0; settings->control[i]; i++) {
		if (strcmp(settings->control[i], settings->listen) != 0)
			continue;
		g_free(settings->control[i]);
		settings->control[i] = g_strdup(bound);
	}
}

static enum result host_control_open(struct loop *loop,
				     const struct settings *settings,
				     void **out, const char **part)
{
	struct host_control *host = g_new0(struct host_control, 1);
	struct http_server_opts http_opts = { 0 };
	struct control_opts opts = { 0 };
	enum result res;

	host->loop = loop;
	host_control_bind_self(settings, loop_node(loop)->self.address);
	http_opts.address = settings->http;
	http_opts.max_connections = settings->max_connections;
	http_opts.ops = &host_control_http_ops;
	http_opts.ctx = host;
	*part = "--http";
	res = http_server_new(&http_opts, &host->http);
	if (res == RESULT_OK) {
		res = host_control_open_store(host, settings);
		*part = res == RESULT_CONFLICT ?
				"--data is in use by another process" :
				"--data";
	}
	if (res != RESULT_OK) {
		host_control_free(host);
		return res;
	}
	opts.store = &store_file_ops;
	opts.store_ctx = host->store;
	opts.image = store_image(host->store);
	opts.host = settings->adviser[0] ? &host_control_adviser_ops :
					   &host_control_host_ops;
	opts.host_ctx = host;
	opts.control_addresses = (const char *const *)settings->control;
	opts.worker_lease_ms = settings->worker_lease_ms;
	opts.no_formation = !settings->bootstrap;
	opts.open = settings->front_end == FRONT_END_PLATFORM;
	opts.losses = settings->replica_losses;
	opts.load_choice = settings->load_choice;
	opts.load_limits = settings->load_limits;
	host->control = control_new(loop_node(loop), &opts);
	store_drop_image(host->store);
	*out = host;
	return RESULT_OK;
}

void host_control_advised(struct host_control *host, uint64_t call_nr,
			  enum result result, const struct advice *advice,
			  uint32_t nr_advice)
{
	loop_update_time(host->loop);
	control_advised(host->control, call_nr, result, advice, nr_advice);
}

void host_control_set_front(struct host_control *host,
			    const struct control_front_ops *ops, void *ctx)
{
	host->front = ops;
	host->front_ctx = ctx;
}

static const char *host_control_http_address(const void *data)
{
	const struct host_control *host = data;

	return http_server_address(host->http);
}

static void host_control_stop(void *data)
{
	struct host_control *host = data;

	http_server_stop(host->http);
}

static void host_control_set_addresses(void *data, const char *const *addresses)
{
	struct host_control *host = data;

	loop_update_time(host->loop);
	control_set_addresses(host->control, addresses);
}

static bool host_control_idle(const void *data)
{
	const struct host_control *host = data;

	return http_server_idle(host->http);
}

const struct role_host_ops host_control_ops = {
	.open = host_control_open,
	.http_address = host_control_http_address,
	.stop = host_control_stop,
	.set_control_addresses = host_control_set_addresses,
	.metrics = host_control_metrics,
	.idle = host_control_idle,
	.free = host_control_free,
};
