#include "http.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "schema.h"

#define HTTP_IDLE_S 60 /* a connection without traffic is closed */
#define HTTP_KEEPALIVE_S 5 /* probes find callers that vanished */
#define HTTP_KEEPALIVE_PROBES 3
/* A caller that goes on sending after its body was refused is cut off. */
#define HTTP_DISCARD_MAX_BYTES (4u * BODY_MAX_BYTES)
#define RETRY_AFTER_S "1"
#define RESERVED_PREFIX "/-/"
#define CONN_KEY "masticreach-http-conn"

/* Lives as long as the remote address object that libsoup holds. */
struct http_conn {
	GSocket *socket;
};

struct http_server {
	struct http_server_opts opts;
	SoupServer *soup;
	GSocketService *service;
	char address[ADDRESS_BYTES];
	GHashTable *by_msg; /* SoupServerMessage * -> struct http_request * */
	GHashTable *by_ticket; /* uint64_t * -> struct http_request * */
	uint64_t next_ticket;
	uint64_t bytes_sent;
	GHashTable *streams; /* open connections, not referenced */
	bool stopping;
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
	{ RESULT_NOT_LEADER, 421 },
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
	{ RESULT_LEASE_EXPIRED, 409 },
	{ RESULT_TIMEOUT, 504 },
};

uint32_t http_status_of(enum result res)
{
	for (size_t i = 0; i < G_N_ELEMENTS(http_statuses); i++)
		if (http_statuses[i].res == res)
			return http_statuses[i].status;
	return SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

static void http_conn_free(void *data)
{
	struct http_conn *conn = data;

	g_object_unref(conn->socket);
	g_free(conn);
}

static void http_unwatch(struct http_request *request)
{
	if (request->watch) {
		g_source_destroy(request->watch);
		g_source_unref(request->watch);
	}
	request->watch = NULL;
}

static void http_request_free(void *data)
{
	struct http_request *request = data;

	http_unwatch(request);
	g_clear_pointer(&request->body, g_bytes_unref);
	g_free(request);
}

static GSocket *http_socket(const struct http_request *request)
{
	GSocketAddress *remote =
		soup_server_message_get_remote_address(request->msg);
	struct http_conn *conn =
		remote ? g_object_get_data(G_OBJECT(remote), CONN_KEY) : NULL;

	return conn ? conn->socket : NULL;
}

static void http_forget(struct http_request *request)
{
	http_unwatch(request);
	if (!request->open)
		return;
	request->open = false;
	g_hash_table_remove(request->server->by_ticket, &request->ticket);
}

/* Ends an unanswered request whose caller has gone. */
static void http_gone(struct http_request *request)
{
	struct http_server *server = request->server;
	uint64_t ticket = request->ticket;

	if (!request->open)
		return;
	http_forget(request);
	if (server->opts.ops->gone)
		server->opts.ops->gone(server->opts.ctx, ticket);
}

/*
 * libsoup doesn't read while a request is paused, so the end of the caller's
 * stream is looked for here. Bytes of a pipelined request end the watch.
 */
static gboolean http_peek(GSocket *socket, GIOCondition condition,
			  gpointer data)
{
	struct http_request *request = data;
	SoupServerMessage *msg = request->msg;
	char byte;
	ssize_t got = recv(g_socket_get_fd(socket), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return G_SOURCE_CONTINUE;
	http_unwatch(request);
	if (got > 0)
		return G_SOURCE_REMOVE;
	g_object_ref(msg);
	http_gone(request);
	/* Lets libsoup find the closed connection and clean up. */
	soup_server_message_set_status(msg, 499, "Caller Gone");
	shutdown(g_socket_get_fd(socket), SHUT_RDWR);
	soup_server_message_unpause(msg);
	g_object_unref(msg);
	return G_SOURCE_REMOVE;
}

static void http_watch(struct http_request *request)
{
	GSocket *socket = http_socket(request);

	if (!socket)
		return;
	request->watch = g_socket_create_source(
		socket, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
	g_source_set_callback(request->watch, G_SOURCE_FUNC(http_peek), request,
			      NULL);
	g_source_attach(request->watch, NULL);
}

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
	request->method = soup_server_message_get_method(msg);
	request->path = g_uri_get_path(uri);
	request->query = g_uri_get_query(uri);
	request->body = soup_message_body_flatten(
		soup_server_message_get_request_body(msg));
	request->open = true;
	g_hash_table_insert(server->by_ticket, &request->ticket, request);
	soup_server_message_pause(msg);
	http_watch(request);
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

static void http_refuse_body(struct http_request *request)
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
		http_refuse_body(request);
}

static void http_got_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
	struct http_request *request = data;
	GSocket *socket = http_socket(request);

	request->body_bytes += g_bytes_get_size(chunk);
	if (request->body_bytes > BODY_MAX_BYTES && !request->too_large)
		http_refuse_body(request);
	if (request->body_bytes > HTTP_DISCARD_MAX_BYTES && socket)
		shutdown(g_socket_get_fd(socket), SHUT_RDWR);
}

static void http_wrote_data(SoupServerMessage *msg, guint size, gpointer data)
{
	struct http_request *request = data;

	request->server->bytes_sent += size;
}

static void http_started(SoupServer *soup, SoupServerMessage *msg,
			 gpointer data)
{
	struct http_server *server = data;
	struct http_request *request = g_new0(struct http_request, 1);

	request->server = server;
	request->msg = msg;
	request->ticket = ++server->next_ticket;
	g_hash_table_insert(server->by_msg, msg, request);
	g_signal_connect(msg, "got-headers", G_CALLBACK(http_got_headers),
			 request);
	g_signal_connect(msg, "got-chunk", G_CALLBACK(http_got_chunk), request);
	g_signal_connect(msg, "wrote-body-data", G_CALLBACK(http_wrote_data),
			 request);
}

static void http_ended(SoupServer *soup, SoupServerMessage *msg, gpointer data)
{
	struct http_server *server = data;
	struct http_request *request = g_hash_table_lookup(server->by_msg, msg);

	if (!request)
		return;
	http_gone(request);
	g_signal_handlers_disconnect_by_data(msg, request);
	g_hash_table_remove(server->by_msg, msg);
}

static void http_conn_ended(gpointer data, GObject *stream)
{
	struct http_server *server = data;

	g_hash_table_remove(server->streams, stream);
	if (!server->stopping && !g_socket_service_is_active(server->service))
		g_socket_service_start(server->service);
}

static void http_tune_socket(GSocket *socket)
{
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_timeout(socket, HTTP_IDLE_S);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, HTTP_KEEPALIVE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
			    HTTP_KEEPALIVE_S, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT,
			    HTTP_KEEPALIVE_PROBES, NULL);
}

/* Connections above the limit wait in the kernel's queue. */
static gboolean http_incoming(GSocketService *service,
			      GSocketConnection *stream, GObject *source,
			      gpointer data)
{
	struct http_server *server = data;
	GSocketAddress *local =
		g_socket_connection_get_local_address(stream, NULL);
	GSocketAddress *remote =
		g_socket_connection_get_remote_address(stream, NULL);
	struct http_conn *conn;

	if (!local || !remote)
		goto out;
	conn = g_new0(struct http_conn, 1);
	conn->socket = g_object_ref(g_socket_connection_get_socket(stream));
	http_tune_socket(conn->socket);
	g_object_set_data_full(G_OBJECT(remote), CONN_KEY, conn,
			       http_conn_free);
	g_hash_table_add(server->streams, stream);
	g_object_weak_ref(G_OBJECT(stream), http_conn_ended, server);
	if (g_hash_table_size(server->streams) >= server->opts.max_connections)
		g_socket_service_stop(service);
	soup_server_accept_iostream(server->soup, G_IO_STREAM(stream), local,
				    remote, NULL);
out:
	g_clear_object(&local);
	g_clear_object(&remote);
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
	server->streams = g_hash_table_new(NULL, NULL);
	server->soup = soup_server_new("server-header", "masticreach", NULL);
	soup_server_add_handler(server->soup, NULL, http_handle, server, NULL);
	g_signal_connect(server->soup, "request-started",
			 G_CALLBACK(http_started), server);
	g_signal_connect(server->soup, "request-finished",
			 G_CALLBACK(http_ended), server);
	g_signal_connect(server->soup, "request-aborted",
			 G_CALLBACK(http_ended), server);
	server->service = g_socket_service_new();
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

void http_server_free(struct http_server *server)
{
	GHashTableIter iter;
	void *stream;

	if (!server)
		return;
	http_server_stop(server);
	g_hash_table_iter_init(&iter, server->streams);
	while (g_hash_table_iter_next(&iter, &stream, NULL))
		g_object_weak_unref(stream, http_conn_ended, server);
	g_hash_table_unref(server->streams);
	g_signal_handlers_disconnect_by_data(server->soup, server);
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
	if (server->stopping)
		return;
	server->stopping = true;
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
}

bool http_server_idle(const struct http_server *server)
{
	return !g_hash_table_size(server->by_msg);
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
	http_forget(request);
	soup_server_message_set_status(msg, status, NULL);
	if (request->server->stopping)
		http_set_header(request, "Connection", "close");
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
