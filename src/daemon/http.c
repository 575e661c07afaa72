#include "http.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "http_conn.h"
#include "log.h"
#include "logline.h"
#include "loop.h"
#include "schema.h"

/*
 * The connection of a caller that sends more than this after its body was
 * refused is closed.
 */
#define HTTP_DISCARD_MAX_BYTES (UINT64_C(4) * BODY_MAX_BYTES)
#define HTTP_CALLER_GONE 499 /* never sent, as the caller has disconnected */
#define RETRY_AFTER_S "1"
#define RESERVED_PREFIX "/-/"

struct http_server {
	struct http_server_opts opts;
	SoupServer *soup;
	GSocketService *service;
	char address[ADDRESS_BYTES];
	GHashTable *by_msg; /* SoupServerMessage * -> struct http_request * */
	GHashTable *by_ticket; /* uint64_t * -> struct http_request * */
	uint64_t next_ticket;
	uint64_t bytes_sent;
	GHashTable *conns; /* set of struct http_conn *, owned */
	struct http_stats stats;
	bool stopping;
	bool freeing;
};

struct http_status_entry {
	enum result res;
	uint32_t status;
};

static const struct http_status_entry http_statuses[] = {
	{ RESULT_OK, 200 },
	{ RESULT_USAGE, 400 },
	{ RESULT_MALFORMED, 400 },
	{ RESULT_OUT_OF_RANGE, 422 },
	{ RESULT_TOO_LARGE, 413 },
	{ RESULT_UNKNOWN_OBJECT, 404 },
	{ RESULT_CONFLICT, 409 },
	{ RESULT_STALE, 409 },
	/*
	 * Not 421: libsoup as the caller would resend the request without its
	 * body.
	 */
	{ RESULT_NOT_LEADER, 503 },
	{ RESULT_NO_QUORUM, 503 },
	{ RESULT_NO_CAPACITY, 503 },
	{ RESULT_QUOTA, 403 },
	{ RESULT_NEVER_FITS, 422 },
	{ RESULT_ZONE_OUT, 503 },
	{ RESULT_NO_UPSTREAM, 503 },
	{ RESULT_OVERLOADED, 503 },
	{ RESULT_DEADLINE, 504 },
	{ RESULT_OUTCOME_UNKNOWN, 502 },
	{ RESULT_UPSTREAM_FAILED, 502 },
	{ RESULT_NO_PERMIT, 503 },
	{ RESULT_CANCELLED, 409 },
	{ RESULT_IN_PROGRESS, 409 },
	{ RESULT_LEAVING, 503 },
	{ RESULT_IO, 500 },
	{ RESULT_DISK_FULL, 507 },
	{ RESULT_CORRUPT, 500 },
	{ RESULT_VERSION, 505 },
	{ RESULT_NO_BUNDLE, 503 },
	{ RESULT_NOT_IN_TIME, 503 },
	{ RESULT_FINDINGS, 422 },
	{ RESULT_LEASE_EXPIRED, 409 },
	{ RESULT_TIMEOUT, 504 },
	{ RESULT_UNKNOWN_QUEUE, 404 },
};

uint32_t http_status_of(enum result res)
{
	for (size_t i = 0; i < G_N_ELEMENTS(http_statuses); i++)
		if (http_statuses[i].res == res)
			return http_statuses[i].status;
	return SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

static void http_request_free(void *data)
{
	struct http_request *request = data;

	g_clear_pointer(&request->body, g_bytes_unref);
	g_object_unref(request->msg);
	g_free(request);
}

static void http_request_unregister(struct http_request *request)
{
	if (!request->open)
		return;
	request->open = false;
	g_hash_table_remove(request->server->by_ticket, &request->ticket);
}

static void http_log_end(const struct http_request *request, const char *event,
			 const char *cause)
{
	uint64_t now_us = loop_now_us();
	GString *line = logline_new(event);

	logline_str(line, "method", request->method);
	logline_str(line, "path", request->path);
	logline_u64(line, "ticket", request->ticket);
	logline_str(line, "cause", cause);
	logline_u64(line, "read_ms_ago", (now_us - request->read_us) / 1000);
	if (request->answered_us)
		logline_u64(line, "answered_ms_ago",
			    (now_us - request->answered_us) / 1000);
	logline_str(line, "stopping", request->server->stopping ? "yes" : "no");
	log_line(line->str);
	g_string_free(line, TRUE);
}

/*
 * Reports to the role that the caller of an unanswered request has
 * disconnected.
 */
static void http_request_abandon(struct http_request *request,
				 const char *cause)
{
	struct http_server *server = request->server;
	uint64_t ticket = request->ticket;

	if (!request->open)
		return;
	server->stats.unanswered++;
	http_log_end(request, "request-unanswered", cause);
	http_request_unregister(request);
	if (server->opts.ops->gone)
		server->opts.ops->gone(server->opts.ctx, ticket);
}

static void http_request_end(struct http_request *request)
{
	SoupServerMessage *msg = request->msg;

	http_request_abandon(request, request->server->freeing ?
					      "process ends" :
					      "connection ended");
	if (request->answered_us && !request->written) {
		request->server->stats.cut++;
		http_log_end(request, "response-cut", "connection ended");
	}
	if (request->conn)
		request->conn->request = NULL;
	g_signal_handlers_disconnect_by_data(msg, request);
	g_hash_table_remove(request->server->by_msg, msg);
}

/* Closes a connection and resumes accepting if the limit was reached. */
static void http_conn_close(void *ctx, struct http_conn *conn)
{
	struct http_server *server = ctx;
	struct http_request *request = conn->request;

	/* libsoup doesn't report the end of an incomplete request. */
	if (request)
		http_request_end(request);
	g_hash_table_remove(server->conns, conn);
	http_conn_free(conn);
	if (!server->stopping && !g_socket_service_is_active(server->service))
		g_socket_service_start(server->service);
}

static void http_conn_arrived(void *ctx, struct http_conn *conn)
{
	struct http_server *server = ctx;

	http_conn_set_state(conn, CONN_READING);
	if (!soup_server_accept_iostream(server->soup,
					 G_IO_STREAM(conn->stream), conn->local,
					 conn->remote, NULL))
		http_conn_close(server, conn);
}

/*
 * Resumes the request, so that libsoup finds the broken connection and reports
 * the end of the request.
 */
static void http_conn_gone(void *ctx, struct http_conn *conn)
{
	struct http_request *request = conn->request;
	SoupServerMessage *msg = g_object_ref(request->msg);

	http_request_abandon(request, "caller closed");
	soup_server_message_set_status(msg, HTTP_CALLER_GONE, "Caller Gone");
	soup_server_message_unpause(msg);
	g_object_unref(msg);
}

static const struct http_conn_ops http_conn_ops = {
	.arrived = http_conn_arrived,
	.gone = http_conn_gone,
	.close = http_conn_close,
};

static void http_serve_reserved(struct http_server *server,
				struct http_request *request)
{
	const char *name = strrchr(request->path, '/') + 1;
	bool ready;
	GString *out;

	if (!strcmp(name, "healthz")) {
		http_respond_text(request, SOUP_STATUS_OK, "text/plain",
				  "ok\n");
	} else if (!strcmp(name, "readyz")) {
		ready = !server->stopping &&
			server->opts.ops->ready(server->opts.ctx);
		http_respond_text(request, ready ? 200 : 503, "text/plain",
				  ready ? "ready\n" : "not ready\n");
	} else if (!strcmp(name, "metrics")) {
		out = g_string_new(NULL);
		server->opts.ops->metrics(server->opts.ctx, out);
		http_respond_text(request, SOUP_STATUS_OK, "text/plain",
				  out->str);
		g_string_free(out, TRUE);
	} else {
		http_respond_problem(request, RESULT_UNKNOWN_OBJECT,
				     RUN_NOT_RUN, "no such path");
	}
}

static void http_handle(SoupServer *soup, SoupServerMessage *msg,
			const char *path, GHashTable *query, gpointer data)
{
	struct http_server *server = data;
	struct http_request *request = g_hash_table_lookup(server->by_msg, msg);
	GUri *uri = soup_server_message_get_uri(msg);

	g_assert(request);
	if (!request->conn)
		return;
	http_conn_set_state(request->conn, CONN_HANDLING);
	request->method = soup_server_message_get_method(msg);
	request->path = g_uri_get_path(uri);
	request->query = g_uri_get_query(uri);
	request->body =
		request->too_large ?
			g_bytes_new(NULL, 0) :
			soup_message_body_flatten(
				soup_server_message_get_request_body(msg));
	request->open = true;
	request->read_us = loop_now_us();
	server->stats.requests++;
	g_hash_table_insert(server->by_ticket, &request->ticket, request);
	soup_server_message_pause(msg);
	if (request->too_large)
		http_respond_problem(request, RESULT_TOO_LARGE, RUN_NOT_RUN,
				     "the body is too large");
	else if (g_str_has_prefix(request->path, RESERVED_PREFIX))
		http_serve_reserved(server, request);
	else if (server->stopping)
		http_respond_problem(request, RESULT_LEAVING, RUN_NOT_RUN,
				     result_summary(RESULT_LEAVING));
	else
		server->opts.ops->request(server->opts.ctx, request);
}

static void http_discard_body(struct http_request *request)
{
	SoupMessageBody *body =
		soup_server_message_get_request_body(request->msg);

	request->too_large = true;
	soup_message_body_set_accumulate(body, FALSE);
	soup_message_body_truncate(body);
}

static void http_got_headers(SoupServerMessage *msg, gpointer data)
{
	struct http_request *request = data;
	goffset size = soup_message_headers_get_content_length(
		soup_server_message_get_request_headers(msg));

	if (size > (goffset)BODY_MAX_BYTES)
		http_discard_body(request);
}

static void http_got_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
	struct http_request *request = data;

	request->body_bytes += g_bytes_get_size(chunk);
	if (request->body_bytes > BODY_MAX_BYTES && !request->too_large)
		http_discard_body(request);
	if (request->body_bytes > HTTP_DISCARD_MAX_BYTES && request->conn)
		http_conn_set_state(request->conn, CONN_BROKEN);
}

static void http_wrote_data(SoupServerMessage *msg, guint size, gpointer data)
{
	struct http_request *request = data;

	request->server->bytes_sent += size;
}

/* Returns true if the connection may carry another request. */
static bool http_can_keep_alive(const struct http_request *request)
{
	return request->conn && !request->server->stopping &&
	       !request->conn->pipelined &&
	       soup_server_message_get_http_version(request->msg) ==
		       SOUP_HTTP_1_1 &&
	       !soup_message_headers_header_contains(
		       soup_server_message_get_request_headers(request->msg),
		       "Connection", "close");
}

/* Takes the connection back from libsoup after a complete response. */
static void http_wrote_body(SoupServerMessage *msg, gpointer data)
{
	struct http_request *request = data;
	struct http_conn *conn = request->conn;
	GInputStream *input;
	GIOStream *stream;

	request->written = true;
	if (!http_can_keep_alive(request))
		return; /* libsoup closes the connection and reports the end */
	http_request_end(request);
	stream = soup_server_message_steal_connection(msg);
	input = g_io_stream_get_input_stream(stream);
	/*
	 * Bytes of a next request that libsoup has read ahead would be lost if
	 * the connection stayed open.
	 */
	if (G_IS_POLLABLE_INPUT_STREAM(input) &&
	    g_pollable_input_stream_is_readable(
		    G_POLLABLE_INPUT_STREAM(input)) &&
	    !g_socket_condition_check(conn->socket, G_IO_IN))
		http_conn_close(conn->ctx, conn);
	else
		http_conn_set_state(conn, CONN_IDLE);
	g_object_unref(stream);
}

static void http_started(SoupServer *soup, SoupServerMessage *msg,
			 gpointer data)
{
	struct http_server *server = data;
	struct http_request *request = g_new0(struct http_request, 1);
	GSocketAddress *remote = soup_server_message_get_remote_address(msg);

	request->server = server;
	request->msg = g_object_ref(msg);
	request->ticket = ++server->next_ticket;
	request->conn = http_conn_of(remote);
	if (request->conn)
		request->conn->request = request;
	g_hash_table_insert(server->by_msg, msg, request);
	g_signal_connect(msg, "got-headers", G_CALLBACK(http_got_headers),
			 request);
	g_signal_connect(msg, "got-chunk", G_CALLBACK(http_got_chunk), request);
	g_signal_connect(msg, "wrote-body-data", G_CALLBACK(http_wrote_data),
			 request);
	g_signal_connect(msg, "wrote-body", G_CALLBACK(http_wrote_body),
			 request);
}

static void http_ended(SoupServer *soup, SoupServerMessage *msg, gpointer data)
{
	struct http_server *server = data;
	struct http_request *request = g_hash_table_lookup(server->by_msg, msg);
	struct http_conn *conn;

	if (!request)
		return;
	conn = request->conn;
	http_request_end(request);
	if (conn)
		http_conn_close(server, conn);
}

/* Accepts a connection; those above the limit wait in the kernel's queue. */
static gboolean http_incoming(GSocketService *service,
			      GSocketConnection *stream, GObject *source,
			      gpointer data)
{
	struct http_server *server = data;
	struct http_conn *conn = http_conn_new(stream, &http_conn_ops, server);

	if (!conn)
		return TRUE;
	g_hash_table_add(server->conns, conn);
	if (g_hash_table_size(server->conns) >= server->opts.max_connections)
		g_socket_service_stop(service);
	return TRUE;
}

static enum result http_listen(struct http_server *server)
{
	GSocketConnectable *parsed =
		g_network_address_parse(server->opts.address, 0, NULL);
	GSocketAddress *inet = NULL;
	GSocketAddress *bound = NULL;
	enum result res = RESULT_USAGE;
	const char *host;

	if (!parsed)
		goto out;
	host = g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed));
	inet = g_inet_socket_address_new_from_string(
		host, g_network_address_get_port(G_NETWORK_ADDRESS(parsed)));
	if (!inet)
		goto out;
	res = RESULT_IO;
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(server->service),
					   inet, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, &bound,
					   NULL))
		goto out;
	g_snprintf(
		server->address, ADDRESS_BYTES,
		strchr(host, ':') ? "[%s]:%u" : "%s:%u", host,
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	res = RESULT_OK;
out:
	g_clear_object(&bound);
	g_clear_object(&inet);
	g_clear_object(&parsed);
	return res;
}

enum result http_server_new(const struct http_server_opts *opts,
			    struct http_server **out)
{
	struct http_server *server = g_new0(struct http_server, 1);
	enum result res;

	server->opts = *opts;
	server->by_msg =
		g_hash_table_new_full(NULL, NULL, NULL, http_request_free);
	server->by_ticket = g_hash_table_new(g_int64_hash, g_int64_equal);
	server->conns = g_hash_table_new(NULL, NULL);
	server->soup = soup_server_new("server-header", "masticreach", NULL);
	soup_server_add_handler(server->soup, NULL, http_handle, server, NULL);
	g_signal_connect(server->soup, "request-started",
			 G_CALLBACK(http_started), server);
	g_signal_connect(server->soup, "request-finished",
			 G_CALLBACK(http_ended), server);
	g_signal_connect(server->soup, "request-aborted",
			 G_CALLBACK(http_ended), server);
	server->service = g_socket_service_new();
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(server->service),
				      LISTEN_BACKLOG);
	g_signal_connect(server->service, "incoming", G_CALLBACK(http_incoming),
			 server);
	res = http_listen(server);
	if (res != RESULT_OK) {
		http_server_free(server);
		return res;
	}
	*out = server;
	return RESULT_OK;
}

static void http_close_all(struct http_server *server)
{
	GList *conns = g_hash_table_get_keys(server->conns);

	for (GList *item = conns; item; item = item->next)
		http_conn_close(server, item->data);
	g_list_free(conns);
}

void http_server_free(struct http_server *server)
{
	if (!server)
		return;
	http_server_stop(server);
	server->freeing = true;
	g_signal_handlers_disconnect_by_data(server->soup, server);
	http_close_all(server);
	g_hash_table_unref(server->conns);
	soup_server_disconnect(server->soup);
	g_hash_table_unref(server->by_ticket);
	g_hash_table_unref(server->by_msg);
	g_object_unref(server->soup);
	g_object_unref(server->service);
	g_free(server);
}

const char *http_server_address(const struct http_server *server)
{
	return server->address;
}

void http_server_stop(struct http_server *server)
{
	GHashTableIter iter;
	GString *line;
	void *key;

	if (server->stopping)
		return;
	server->stopping = true;
	line = logline_new("listener-closed");
	logline_str(line, "address", server->address);
	logline_u64(line, "connections", g_hash_table_size(server->conns));
	logline_u64(line, "requests_open",
		    g_hash_table_size(server->by_ticket));
	log_line(line->str);
	g_string_free(line, TRUE);
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
	g_hash_table_iter_init(&iter, server->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct http_conn *conn = key;

		if (conn->state == CONN_IDLE)
			http_conn_set_state(conn, CONN_DRAINING);
	}
}

struct http_stats http_server_stats(const struct http_server *server)
{
	struct http_stats stats = server->stats;

	stats.open = g_hash_table_size(server->by_ticket);
	return stats;
}

bool http_server_idle(const struct http_server *server)
{
	return !g_hash_table_size(server->conns);
}

uint32_t http_server_connections(const struct http_server *server)
{
	return g_hash_table_size(server->conns);
}

uint64_t http_server_bytes_sent(const struct http_server *server)
{
	return server->bytes_sent;
}

struct http_request *http_find(struct http_server *server, uint64_t ticket)
{
	return g_hash_table_lookup(server->by_ticket, &ticket);
}

const char *http_header(const struct http_request *request, const char *name)
{
	return soup_message_headers_get_one(
		soup_server_message_get_request_headers(request->msg), name);
}

void http_set_header(struct http_request *request, const char *name,
		     const char *value)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(request->msg), name,
		value);
}

void http_respond(struct http_request *request, uint32_t status,
		  const char *content_type, GBytes *body)
{
	SoupServerMessage *msg = request->msg;
	gsize size = 0;
	const char *data = body ? g_bytes_get_data(body, &size) : NULL;

	g_assert(request->open);
	http_request_unregister(request);
	request->answered_us = loop_now_us();
	soup_server_message_set_status(msg, status, NULL);
	if (!http_can_keep_alive(request))
		http_set_header(request, "Connection", "close");
	if (request->conn)
		http_conn_set_state(request->conn, CONN_WRITING);
	if (content_type && content_type[0])
		http_set_header(request, "Content-Type", content_type);
	if (size)
		soup_message_body_append(
			soup_server_message_get_response_body(msg),
			SOUP_MEMORY_COPY, data, size);
	soup_server_message_unpause(msg);
}

void http_respond_text(struct http_request *request, uint32_t status,
		       const char *content_type, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));

	http_respond(request, status, content_type, body);
	g_bytes_unref(body);
}

void http_respond_problem(struct http_request *request, enum result res,
			  enum run_state run, const char *detail)
{
	uint32_t status = http_status_of(res);
	JsonObject *problem = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *type =
		g_strconcat("urn:masticreach:result:", result_name(res), NULL);
	char *text;

	json_object_set_string_member(problem, "type", type);
	json_object_set_string_member(problem, "title", result_summary(res));
	json_object_set_int_member(problem, "status", status);
	json_object_set_string_member(problem, "detail", detail);
	json_object_set_int_member(problem, "code", res);
	json_object_set_string_member(problem, "name", result_name(res));
	if (run == RUN_UNKNOWN)
		json_object_set_null_member(problem, "not_run");
	else
		json_object_set_boolean_member(problem, "not_run",
					       run == RUN_NOT_RUN);
	json_node_take_object(node, problem);
	text = json_to_string(node, FALSE);
	if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
		http_set_header(request, "Retry-After", RETRY_AFTER_S);
	http_respond_text(request, status, "application/problem+json", text);
	g_free(text);
	g_free(type);
	json_node_unref(node);
}
