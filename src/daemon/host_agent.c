#include <string.h>

#include "agent.h"
#include "http_call.h"
#include "json.h"
#include "logline.h"
#include "role_host.h"

#define UPSTREAM_PATH "/v1/upstreams/"
#define UPSTREAM_MAX_CONNECTIONS 64
#define WORKER_MAX_CONNECTIONS 16
#define WORKER_CALL_TIMEOUT_MS 2000
#define WORKER_REPLY_MAX_BYTES (4u << 20)
/*
 * Time from the deadline of a repeatable request to the cancellation of its
 * call: nobody waits for the response any more.
 */
#define UPSTREAM_GRACE_MS 1000
/*
 * Time limit of all other calls to upstreams. A call for a request that isn't
 * repeatable may outlast the deadline, because its outcome is still recorded,
 * but must not occupy a slot for ever.
 */
#define UPSTREAM_CALL_MAX_MS 60000

struct host_agent {
	struct loop *loop;
	struct agent *agent;
	struct http_server *http;
	char worker[ADDRESS_BYTES];
	SoupSession *upstreams;
	SoupSession *workers;
	GHashTable *calls; /* uint64_t * -> struct http_call *, to upstreams */
	GHashTable *worker_calls; /* struct http_call * -> reply type */
	bool freeing; /* results of cancelled calls are ignored */
};

/* HTTP method and path that carry a platform call to the worker. */
struct worker_route {
	const char *method;
	const char *path;
	uint32_t type; /* of the call's body */
	uint32_t reply; /* type of the reply's body */
};

static const struct worker_route worker_routes[] = {
	{ "POST", "/v1/tasks", PLATFORM_START, PLATFORM_REPLY },
	{ "POST", "/v1/tasks/stop", PLATFORM_STOP, PLATFORM_REPLY },
	{ "POST", "/v1/tasks/checkpoint", PLATFORM_CHECKPOINT, PLATFORM_REPLY },
	{ "POST", "/v1/tasks/throttle", PLATFORM_THROTTLE, PLATFORM_REPLY },
	{ "POST", "/v1/leases", PLATFORM_LEASE, PLATFORM_REPLY },
	{ "GET", "/v1/tasks", PLATFORM_LIST, PLATFORM_TASKS },
};

static void host_agent_upstream_done(void *ctx, struct http_call *call,
				     const struct upstream_result *result)
{
	struct host_agent *host = ctx;
	uint64_t call_nr = http_call_nr(call);

	g_hash_table_remove(host->calls, &call_nr);
	if (host->freeing)
		return;
	loop_update_time(host->loop);
	agent_upstream_done(host->agent, call_nr, result);
}

static uint32_t upstream_timeout_ms(const struct request *request)
{
	if (!request->repeatable || !request->deadline_ms ||
	    request->deadline_ms > UPSTREAM_CALL_MAX_MS - UPSTREAM_GRACE_MS)
		return UPSTREAM_CALL_MAX_MS;
	return request->deadline_ms + UPSTREAM_GRACE_MS;
}

static void host_agent_upstream_call(void *ctx, uint64_t call_nr,
				     const char *address,
				     const struct request *request)
{
	struct host_agent *host = ctx;
	struct http_call_opts opts = { 0 };

	opts.session = host->upstreams;
	opts.method = request->method;
	opts.address = address;
	opts.path = request->path;
	opts.content_type = request->content_type;
	opts.body = request->body;
	opts.key = request->key;
	opts.deadline_ms = request->deadline_ms;
	opts.timeout_ms = upstream_timeout_ms(request);
	opts.max_bytes = BODY_MAX_BYTES;
	opts.once = !request->repeatable;
	opts.call_nr = call_nr;
	opts.done = host_agent_upstream_done;
	opts.ctx = host;
	g_hash_table_insert(host->calls, g_memdup2(&call_nr, sizeof(call_nr)),
			    http_call_new(&opts));
}

static void host_agent_upstream_cancel(void *ctx, uint64_t call_nr)
{
	struct host_agent *host = ctx;
	struct http_call *call = g_hash_table_lookup(host->calls, &call_nr);

	if (call)
		http_call_cancel(call);
}

static void host_agent_log_unreadable(struct host_agent *host, gsize size,
				      const char *error)
{
	GString *line = logline_new("reply-unreadable");

	logline_str(line, "worker", host->worker);
	logline_u64(line, "body_bytes", size);
	logline_str(line, "fault", error);
	node_log(loop_node(host->loop), line);
}

static void host_agent_worker_done(void *ctx, struct http_call *call,
				   const struct upstream_result *result)
{
	struct host_agent *host = ctx;
	uint32_t type =
		GPOINTER_TO_UINT(g_hash_table_lookup(host->worker_calls, call));
	struct platform_answer answer = { .resent = result->resent };
	char *error = NULL;
	void *body = NULL;
	const char *text;
	gsize size;

	g_hash_table_remove(host->worker_calls, call);
	if (host->freeing)
		return;
	text = g_bytes_get_data(result->body, &size);
	if (!result->complete || result->status != SOUP_STATUS_OK) {
		type = TYPE_NONE;
	} else if (json_text_to_body(type, text, (gssize)size, &body, &error) !=
		   RESULT_OK) {
		type = TYPE_NONE;
		host_agent_log_unreadable(host, size, error);
		g_free(error);
	}
	loop_update_time(host->loop);
	answer.type = type;
	answer.body = body;
	agent_platform_done(host->agent, http_call_nr(call), &answer);
	record_unref((struct record){ type, body });
}

/*
 * A platform call on a VM without a worker. It is answered from the main loop:
 * a request for the list of tasks with an empty list, any other request with
 * RESULT_NO_CAPACITY.
 */
struct no_worker {
	struct host_agent *host;
	uint64_t call_nr;
	uint32_t type;
};

static gboolean no_worker_answer(gpointer data)
{
	const struct no_worker *call = data;
	struct host_agent *host = call->host;
	struct platform_reply reply = { .result = RESULT_NO_CAPACITY };
	struct platform_tasks tasks = { 0 };
	struct platform_answer answer = { PLATFORM_REPLY, &reply, false };

	if (call->type == PLATFORM_LIST)
		answer = (struct platform_answer){ PLATFORM_TASKS, &tasks,
						   false };
	loop_update_time(host->loop);
	agent_platform_done(host->agent, call->call_nr, &answer);
	return G_SOURCE_REMOVE;
}

static void no_worker_call(struct host_agent *host, uint64_t call_nr,
			   uint32_t type)
{
	struct no_worker *call = g_new0(struct no_worker, 1);

	call->host = host;
	call->call_nr = call_nr;
	call->type = type;
	g_idle_add_full(G_PRIORITY_DEFAULT, no_worker_answer, call, g_free);
}

static const struct worker_route *worker_route_find(uint32_t type)
{
	for (size_t i = 0; i < G_N_ELEMENTS(worker_routes); i++)
		if (worker_routes[i].type == type)
			return &worker_routes[i];
	return NULL;
}

static void host_agent_platform_call(void *ctx, uint64_t call_nr, uint32_t type,
				     const void *body)
{
	struct host_agent *host = ctx;
	const struct worker_route *route = worker_route_find(type);
	const struct platform_list *list = body;
	struct http_call_opts opts = { 0 };
	char *text = NULL;

	g_assert(route);
	if (!host->worker[0]) {
		no_worker_call(host, call_nr, type);
		return;
	}
	opts.session = host->workers;
	opts.method = route->method;
	opts.address = host->worker;
	opts.path = route->path;
	if (type == PLATFORM_LIST) {
		if (list->with_finished)
			opts.path = "/v1/tasks?with_finished=true";
	} else {
		text = json_text_from_body(type, body, FALSE);
		opts.content_type = "application/json";
		opts.body = g_bytes_new_take(text, strlen(text));
	}
	opts.timeout_ms = WORKER_CALL_TIMEOUT_MS;
	opts.max_bytes = WORKER_REPLY_MAX_BYTES;
	opts.call_nr = call_nr;
	opts.done = host_agent_worker_done;
	opts.ctx = host;
	g_hash_table_insert(host->worker_calls, http_call_new(&opts),
			    GUINT_TO_POINTER(route->reply));
	g_clear_pointer(&opts.body, g_bytes_unref);
}

static const struct agent_host_ops host_agent_host_ops = {
	.upstream_call = host_agent_upstream_call,
	.upstream_cancel = host_agent_upstream_cancel,
	.platform_call = host_agent_platform_call,
};

static void host_agent_announce(struct host_agent *host,
				struct http_request *request, const char *id)
{
	struct platform_announce *announce = NULL;
	char *error = NULL;
	const char *text;
	enum result res;
	gsize size;

	text = g_bytes_get_data(request->body, &size);
	res = json_text_to_body(PLATFORM_ANNOUNCE, text ? text : "",
				(gssize)size, (void **)&announce, &error);
	if (res != RESULT_OK)
		goto out;
	res = RESULT_CONFLICT;
	if (announce->id[0] && strcmp(announce->id, id) != 0) {
		error = g_strdup("member \"id\" differs from the path");
		goto out;
	}
	TEXT_SET(announce->id, id);
	res = settings_check_address(announce->address, FALSE);
	if (res != RESULT_OK) {
		error = g_strdup("member \"address\" is no IP:PORT");
		goto out;
	}
	loop_update_time(host->loop);
	res = agent_announce(host->agent, announce);
out:
	if (res != RESULT_OK && !error)
		error = g_strdup(result_summary(res));
	if (res == RESULT_OK) {
		http_respond(request, SOUP_STATUS_NO_CONTENT, NULL, NULL);
	} else {
		role_host_log_refused(host->loop, request, res, error);
		http_respond_problem(request, res, RUN_NOT_RUN, error);
	}
	record_unref((struct record){ PLATFORM_ANNOUNCE, announce });
	g_free(error);
}

static void host_agent_withdraw(struct host_agent *host,
				struct http_request *request, const char *id)
{
	loop_update_time(host->loop);
	agent_withdraw(host->agent, id);
	http_respond(request, SOUP_STATUS_NO_CONTENT, NULL, NULL);
}

static void host_agent_request(void *ctx, struct http_request *request)
{
	struct host_agent *host = ctx;
	char *id = NULL;

	if (g_str_has_prefix(request->path, UPSTREAM_PATH))
		id = g_uri_unescape_string(
			request->path + strlen(UPSTREAM_PATH), NULL);
	if (!id || !id[0])
		http_respond_problem(request, RESULT_UNKNOWN_OBJECT,
				     RUN_NOT_RUN, "no such path");
	else if (strlen(id) >= NAME_BYTES || !g_utf8_validate(id, -1, NULL))
		http_respond_problem(request, RESULT_OUT_OF_RANGE, RUN_NOT_RUN,
				     "the upstream's id is not valid");
	else if (!strcmp(request->method, "PUT"))
		host_agent_announce(host, request, id);
	else if (!strcmp(request->method, "DELETE"))
		host_agent_withdraw(host, request, id);
	else
		http_respond_problem(request, RESULT_MALFORMED, RUN_NOT_RUN,
				     "the method must be PUT or DELETE");
	g_free(id);
}

static bool host_agent_ready(void *ctx)
{
	return true;
}

static void host_agent_metrics(void *ctx, GString *out)
{
	struct host_agent *host = ctx;

	role_host_metrics(host->loop, host->http, out);
}

static const struct http_server_ops host_agent_http_ops = {
	.request = host_agent_request,
	.ready = host_agent_ready,
	.metrics = host_agent_metrics,
};

static void host_agent_cancel_all(struct host_agent *host)
{
	GHashTableIter iter;
	void *call;

	g_hash_table_iter_init(&iter, host->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call))
		http_call_cancel(call);
	g_hash_table_iter_init(&iter, host->worker_calls);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		http_call_cancel(call);
}

static bool host_agent_idle(const void *data)
{
	const struct host_agent *host = data;

	return http_server_idle(host->http) &&
	       !g_hash_table_size(host->calls) &&
	       !g_hash_table_size(host->worker_calls);
}

static void host_agent_free(void *data)
{
	struct host_agent *host = data;

	if (!host)
		return;
	host->freeing = true;
	host_agent_cancel_all(host);
	/* Cancelled calls still run their callbacks from the main loop. */
	while (g_hash_table_size(host->calls) ||
	       g_hash_table_size(host->worker_calls))
		g_main_context_iteration(NULL, TRUE);
	http_server_free(host->http);
	g_object_unref(host->upstreams);
	g_object_unref(host->workers);
	g_hash_table_unref(host->calls);
	g_hash_table_unref(host->worker_calls);
	g_free(host);
}

static void host_agent_fill_vm(struct vm_record *vm, const struct node *node,
			       const struct settings *settings)
{
	TEXT_SET(vm->name, settings->name);
	TEXT_SET(vm->zone, settings->zone);
	TEXT_SET(vm->rack, settings->rack);
	TEXT_SET(vm->address, node->self.address);
	vm->node_id = node->self.node_id;
	vm->state = VM_LIVE;
	vm->cpu_millis = settings->cpu_millis;
	vm->memory_mib = settings->memory_mib;
	vm->accelerators = settings->accelerators;
}

static enum result host_agent_open(struct loop *loop,
				   const struct settings *settings, void **out,
				   const char **part)
{
	struct host_agent *host = g_new0(struct host_agent, 1);
	struct http_server_opts http_opts = { 0 };
	struct agent_opts opts = { 0 };
	enum result res;

	host->loop = loop;
	TEXT_SET(host->worker, settings->worker);
	host->upstreams = http_call_session(UPSTREAM_MAX_CONNECTIONS);
	host->workers = http_call_session(WORKER_MAX_CONNECTIONS);
	host->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	host->worker_calls = g_hash_table_new(NULL, NULL);
	http_opts.address = settings->http;
	http_opts.max_connections = settings->max_connections;
	http_opts.ops = &host_agent_http_ops;
	http_opts.ctx = host;
	*part = "--http";
	res = http_server_new(&http_opts, &host->http);
	if (res != RESULT_OK) {
		host_agent_free(host);
		return res;
	}
	opts.host = &host_agent_host_ops;
	opts.host_ctx = host;
	opts.control_addresses = (const char *const *)settings->control;
	host_agent_fill_vm(&opts.vm, loop_node(loop), settings);
	host->agent = agent_new(loop_node(loop), &opts);
	*out = host;
	return RESULT_OK;
}

static const char *host_agent_http_address(const void *data)
{
	const struct host_agent *host = data;

	return http_server_address(host->http);
}

static void host_agent_stop(void *data)
{
	struct host_agent *host = data;

	http_server_stop(host->http);
}

const struct role_host_ops host_agent_ops = {
	.open = host_agent_open,
	.http_address = host_agent_http_address,
	.stop = host_agent_stop,
	.metrics = host_agent_metrics,
	.idle = host_agent_idle,
	.free = host_agent_free,
};
