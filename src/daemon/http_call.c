#include "http_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "schema.h"

#define CALL_READ_BYTES (64u << 10)
#define CALL_IDLE_TIMEOUT_S 10 /* an unused connection is closed after this */
#define CALL_CONNECTIONS_KEY "masticreach-connections"
#define CALL_MAX_CONNECTIONS 8192 /* of a session, to all servers */
/*
 * The kernel closes a connection whose peer acknowledges neither data nor
 * keepalive probes.
 */
#define CALL_KEEPALIVE_S 1
#define CALL_KEEPALIVE_PROBES 3
#define CALL_UNACKNOWLEDGED_MS 3000

/* A connection of a session, kept for the calls that reuse it. */
struct call_connection {
	uint64_t id; /* assigned by libsoup */
	GSocket *socket;
	/* when the headers of the last response arrived, 0: none yet */
	uint64_t answered_us;
};

struct http_call {
	uint64_t call_nr;
	uint64_t max_bytes;
	http_call_resent *resent; /* may be NULL */
	http_call_done *done;
	void *ctx;
	SoupSession *session;
	GUri *uri; /* NULL: the address is not valid */
	char *method;
	GBytes *request_body;
	SoupMessageHeaders *headers;
	bool once;
	bool retried;
	bool given_up; /* cancelled by the owner or the time limit */
	bool new_connection; /* msg opened a connection */
	bool closed_early; /* a reused connection failed or may be closed */
	GSocket *socket; /* of the connection that msg opened, or NULL */
	SoupMessage *msg;
	GCancellable *cancellable; /* of msg */
	GSource *timeout;
	GInputStream *stream;
	GByteArray *body;
	struct upstream_result result;
};

static void call_drop_message(struct http_call *call)
{
	if (call->msg)
		g_signal_handlers_disconnect_by_data(call->msg, call);
	g_clear_object(&call->msg);
	g_clear_object(&call->socket);
}

static void call_free(struct http_call *call)
{
	if (call->timeout) {
		g_source_destroy(call->timeout);
		g_source_unref(call->timeout);
	}
	call_drop_message(call);
	g_clear_object(&call->stream);
	g_clear_pointer(&call->uri, g_uri_unref);
	g_clear_pointer(&call->request_body, g_bytes_unref);
	soup_message_headers_unref(call->headers);
	g_object_unref(call->session);
	g_clear_object(&call->cancellable);
	g_byte_array_unref(call->body);
	g_free(call->method);
	g_free(call);
}

static void call_finish(struct http_call *call)
{
	call->result.body =
		g_byte_array_free_to_bytes(g_steal_pointer(&call->body));
	call->body = g_byte_array_new();
	if (call->result.complete) {
		call->result.status = soup_message_get_status(call->msg);
		TEXT_SET(call->result.content_type,
			 soup_message_headers_get_one(
				 soup_message_get_response_headers(call->msg),
				 "Content-Type"));
	}
	call->done(call->ctx, call, &call->result);
	g_bytes_unref(call->result.body);
	call_free(call);
}

static void connection_free(void *data)
{
	struct call_connection *connection = data;

	g_object_unref(connection->socket);
	g_free(connection);
}

static gboolean connection_is_closed(gpointer key, gpointer value,
				     gpointer data)
{
	const struct call_connection *connection = value;

	return g_socket_is_closed(connection->socket);
}

/* Records a new connection for the calls that reuse it. */
static void call_track_connection(struct http_call *call)
{
	GHashTable *connections = g_object_get_data(G_OBJECT(call->session),
						    CALL_CONNECTIONS_KEY);
	struct call_connection *connection = g_new0(struct call_connection, 1);

	connection->id = soup_message_get_connection_id(call->msg);
	connection->socket = g_object_ref(call->socket);
	g_hash_table_foreach_remove(connections, connection_is_closed, NULL);
	g_hash_table_replace(connections, &connection->id, connection);
}

/* Returns the connection of the call, NULL if it wasn't recorded. */
static struct call_connection *call_connection(const struct http_call *call)
{
	GHashTable *connections = g_object_get_data(G_OBJECT(call->session),
						    CALL_CONNECTIONS_KEY);
	uint64_t id = soup_message_get_connection_id(call->msg);

	return g_hash_table_lookup(connections, &id);
}

/* Returns true if the server has not closed the connection. */
static bool call_is_connected(const struct http_call *call)
{
	const struct call_connection *connection = call_connection(call);
	char byte;

	return connection && !g_socket_is_closed(connection->socket) &&
	       recv(g_socket_get_fd(connection->socket), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) < 0;
}

/*
 * Returns true if the idle timeout of the reused connection may have expired.
 * When the main loop handles a request and the timeout in the same iteration,
 * libsoup 3.2 assigns the connection to the request, closes it nevertheless and
 * uses its freed memory later.
 */
static bool call_connection_is_stale(const struct http_call *call)
{
	const struct call_connection *connection = call_connection(call);

	if (call->new_connection)
		return false;
	return !connection || !connection->answered_us ||
	       (uint64_t)g_get_monotonic_time() - connection->answered_us >=
		       soup_session_get_idle_timeout(call->session) *
			       1000000ull;
}

/*
 * Returns true if the body, which was read to its end, is complete. libsoup 3.2
 * also reports the end of a chunked body when the connection ends before the
 * last chunk, so such a body counts as complete only if the connection is still
 * open. A body with neither a length nor chunks is never complete, because its
 * end can't be told from a crash of the server.
 */
static bool call_is_complete(const struct http_call *call)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(call->msg);
	guint status = soup_message_get_status(call->msg);

	if (!g_strcmp0(call->method, "HEAD") ||
	    status == SOUP_STATUS_NO_CONTENT ||
	    status == SOUP_STATUS_NOT_MODIFIED)
		return true;
	switch (soup_message_headers_get_encoding(headers)) {
	case SOUP_ENCODING_CONTENT_LENGTH:
		return soup_message_headers_get_content_length(headers) ==
		       (goffset)call->body->len;
	case SOUP_ENCODING_CHUNKED:
		return call_is_connected(call);
	default:
		return false;
	}
}

static void call_closed(GObject *stream, GAsyncResult *res, gpointer data)
{
	g_input_stream_close_finish(G_INPUT_STREAM(stream), res, NULL);
	call_finish(data);
}

static void call_read(GObject *stream, GAsyncResult *res, gpointer data)
{
	struct http_call *call = data;
	GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream),
							 res, NULL);
	gsize size = bytes ? g_bytes_get_size(bytes) : 0;

	if (size && call->body->len + size <= call->max_bytes) {
		g_byte_array_append(call->body, g_bytes_get_data(bytes, NULL),
				    (guint)size);
		g_input_stream_read_bytes_async(call->stream, CALL_READ_BYTES,
						G_PRIORITY_DEFAULT,
						call->cancellable, call_read,
						call);
	} else {
		call->result.complete = bytes && !size &&
					call_is_complete(call);
		/* Closing an unread response also closes its connection. */
		g_input_stream_close_async(call->stream, G_PRIORITY_DEFAULT,
					   NULL, call_closed, call);
	}
	g_clear_pointer(&bytes, g_bytes_unref);
}

static void call_send(struct http_call *call);

static void call_answered(GObject *session, GAsyncResult *res, gpointer data)
{
	struct http_call *call = data;
	GError *error = NULL;

	call->stream =
		soup_session_send_finish(SOUP_SESSION(session), res, &error);
	call->result.refused = !call->result.connected &&
			       g_error_matches(error, G_IO_ERROR,
					       G_IO_ERROR_CONNECTION_REFUSED);
	g_clear_error(&error);
	if (call->stream) {
		g_input_stream_read_bytes_async(call->stream, CALL_READ_BYTES,
						G_PRIORITY_DEFAULT,
						call->cancellable, call_read,
						call);
		return;
	}
	/* The server may have closed the idle connection before its reuse. */
	if (!call->once && !call->retried && !call->given_up &&
	    (call->closed_early || !call->new_connection)) {
		call->retried = true;
		call->result.resent = call->result.connected;
		if (call->result.resent && call->resent)
			call->resent(call->ctx, call);
		call_send(call);
		return;
	}
	call_finish(call);
}

/* Called before the request is written: from now on it may reach the server. */
static void call_starting(SoupMessage *msg, gpointer data)
{
	struct http_call *call = data;

	if (call->socket)
		call_track_connection(call);
	/* Nothing is written yet, so another connection can be used. */
	if (call_connection_is_stale(call)) {
		call->closed_early = true;
		g_cancellable_cancel(call->cancellable);
		return;
	}
	call->result.connected = true;
}

/* Records when the headers arrived; the idle time starts after that. */
static void call_got_headers(SoupMessage *msg, gpointer data)
{
	struct call_connection *connection = call_connection(data);

	if (connection)
		connection->answered_us = (uint64_t)g_get_monotonic_time();
}

/*
 * Ends a call whose request libsoup is about to send again. libsoup does so for
 * an idempotent method if the reused connection was closed, and for every
 * response with status 421, then without the request's body.
 */
static void call_restarted(SoupMessage *msg, gpointer data)
{
	struct http_call *call = data;

	call->closed_early = !call->new_connection;
	g_cancellable_cancel(call->cancellable);
}

static void call_configure_socket(GSocket *socket)
{
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, CALL_KEEPALIVE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
			    CALL_KEEPALIVE_S, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT,
			    CALL_KEEPALIVE_PROBES, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    CALL_UNACKNOWLEDGED_MS, NULL);
}

static void call_network_event(SoupMessage *msg, GSocketClientEvent event,
			       GIOStream *stream, gpointer data)
{
	struct http_call *call = data;

	call->new_connection = true;
	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(stream))
		return;
	g_set_object(&call->socket, g_socket_connection_get_socket(
					    G_SOCKET_CONNECTION(stream)));
	call_configure_socket(call->socket);
}

static gboolean call_timed_out(gpointer data)
{
	http_call_cancel(data);
	return G_SOURCE_CONTINUE;
}

static gboolean call_bad_address(gpointer data)
{
	call_finish(data);
	return G_SOURCE_REMOVE;
}

static SoupMessageHeaders *call_headers(const struct http_call_opts *opts)
{
	SoupMessageHeaders *headers =
		soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
	char *deadline;

	if (opts->key && opts->key[0])
		soup_message_headers_replace(headers, "Idempotency-Key",
					     opts->key);
	if (opts->deadline_ms) {
		deadline = g_strdup_printf("%u", opts->deadline_ms);
		soup_message_headers_replace(headers, "Masticreach-Deadline-Ms",
					     deadline);
		g_free(deadline);
	}
	if (opts->content_type && opts->content_type[0])
		soup_message_headers_replace(headers, "Content-Type",
					     opts->content_type);
	for (size_t i = 0; opts->headers && opts->headers[i]; i += 2)
		soup_message_headers_replace(headers, opts->headers[i],
					     opts->headers[i + 1]);
	return headers;
}

static void call_copy_header(const char *name, const char *value, gpointer data)
{
	soup_message_headers_replace(data, name, value);
}

/* Sends the request; only the first attempt may reuse a connection. */
static void call_send(struct http_call *call)
{
	SoupMessageFlags flags = SOUP_MESSAGE_NO_REDIRECT |
				 SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE;

	call_drop_message(call);
	g_clear_object(&call->cancellable);
	call->cancellable = g_cancellable_new();
	call->new_connection = false;
	call->msg = soup_message_new_from_uri(call->method, call->uri);
	/* Without the IDEMPOTENT flag libsoup reuses no connection for POST. */
	if (call->once || call->retried)
		flags |= SOUP_MESSAGE_NEW_CONNECTION;
	else
		flags |= SOUP_MESSAGE_IDEMPOTENT;
	soup_message_set_flags(call->msg, flags);
	soup_message_headers_foreach(
		call->headers, call_copy_header,
		soup_message_get_request_headers(call->msg));
	if (call->request_body)
		soup_message_set_request_body_from_bytes(call->msg, NULL,
							 call->request_body);
	g_signal_connect(call->msg, "starting", G_CALLBACK(call_starting),
			 call);
	g_signal_connect(call->msg, "got-headers", G_CALLBACK(call_got_headers),
			 call);
	g_signal_connect(call->msg, "restarted", G_CALLBACK(call_restarted),
			 call);
	g_signal_connect(call->msg, "network-event",
			 G_CALLBACK(call_network_event), call);
	soup_session_send_async(call->session, call->msg, G_PRIORITY_DEFAULT,
				call->cancellable, call_answered, call);
}

SoupSession *http_call_session(uint32_t max_connections)
{
	SoupSession *session = soup_session_new_with_options(
		"max-conns", CALL_MAX_CONNECTIONS, "max-conns-per-host",
		max_connections, "idle-timeout", CALL_IDLE_TIMEOUT_S, "timeout",
		0, "proxy-resolver", NULL, NULL);

	soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
	g_object_set_data_full(G_OBJECT(session), CALL_CONNECTIONS_KEY,
			       g_hash_table_new_full(g_int64_hash,
						     g_int64_equal, NULL,
						     connection_free),
			       (GDestroyNotify)g_hash_table_unref);
	return session;
}

struct http_call *http_call_new(const struct http_call_opts *opts)
{
	struct http_call *call = g_new0(struct http_call, 1);
	char *text = g_strconcat("http://", opts->address, opts->path, NULL);

	call->call_nr = opts->call_nr;
	call->max_bytes = opts->max_bytes;
	call->resent = opts->resent;
	call->done = opts->done;
	call->ctx = opts->ctx;
	/*
	 * A connection that is used once would stay open and count towards the
	 * session's limit, so it gets a session of its own that ends with the
	 * call. The header "Connection: close" is no alternative: with it,
	 * libsoup reports a truncated response as complete.
	 */
	call->session = opts->once ? http_call_session(1) :
				     g_object_ref(opts->session);
	call->uri = g_uri_parse(text, SOUP_HTTP_URI_FLAGS, NULL);
	call->method = g_strdup(opts->method);
	if (opts->body && g_bytes_get_size(opts->body))
		call->request_body = g_bytes_ref(opts->body);
	call->headers = call_headers(opts);
	call->once = opts->once;
	call->body = g_byte_array_new();
	g_free(text);
	if (!call->uri) {
		g_idle_add(call_bad_address, call);
		return call;
	}
	call->timeout = g_timeout_source_new(opts->timeout_ms);
	g_source_set_callback(call->timeout, call_timed_out, call, NULL);
	g_source_attach(call->timeout, NULL);
	call_send(call);
	return call;
}

void http_call_cancel(struct http_call *call)
{
	call->given_up = true;
	if (call->cancellable)
		g_cancellable_cancel(call->cancellable);
}

uint64_t http_call_nr(const struct http_call *call)
{
	return call->call_nr;
}
