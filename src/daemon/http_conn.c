#include "http_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define CONN_KEY "masticreach-http-conn"
#define KEEPALIVE_S 5 /* probes detect callers that crashed */
#define KEEPALIVE_PROBES 3

struct conn_state_limits {
	guint timeout_ms; /* 0: none */
	bool watch; /* polls for bytes and the end of the stream */
};

static const struct conn_state_limits state_limits[] = {
	[CONN_IDLE] = { 60000, true },
	/* Long enough to refuse requests that are in transit at a shutdown. */
	[CONN_DRAINING] = { 250, true },
	[CONN_READING] = { 30000, true },
	/* No limit: the role decides when it answers a request. */
	[CONN_HANDLING] = { 0, true },
	[CONN_WRITING] = { 60000, false },
	/* libsoup must notice the shutdown before the socket is closed. */
	[CONN_BROKEN] = { 1000, false },
};

static void source_clear(GSource **source)
{
	if (*source) {
		g_source_destroy(*source);
		g_source_unref(*source);
	}
	*source = NULL;
}

static gboolean conn_timed_out(gpointer data)
{
	struct http_conn *conn = data;

	switch (conn->state) {
	case CONN_IDLE:
	case CONN_DRAINING:
	case CONN_BROKEN:
		conn->ops->close(conn->ctx, conn);
		break;
	default:
		http_conn_set_state(conn, CONN_BROKEN);
	}
	return G_SOURCE_REMOVE;
}

/* Handles the end of the caller's stream. */
static void conn_ended(struct http_conn *conn)
{
	switch (conn->state) {
	case CONN_IDLE:
	case CONN_DRAINING:
		conn->ops->close(conn->ctx, conn);
		break;
	case CONN_HANDLING:
		http_conn_set_state(conn, CONN_BROKEN);
		conn->ops->gone(conn->ctx, conn);
		break;
	default:
		http_conn_set_state(conn, CONN_BROKEN);
	}
}

static gboolean conn_readable(GSocket *socket, GIOCondition condition,
			      gpointer data)
{
	struct http_conn *conn = data;
	char byte;
	ssize_t got = recv(g_socket_get_fd(socket), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return G_SOURCE_CONTINUE;
	if (got <= 0) {
		conn_ended(conn);
		return G_SOURCE_REMOVE;
	}
	/*
	 * libsoup reads the request's bytes in the same iteration of the loop.
	 */
	if (conn->state == CONN_READING)
		return G_SOURCE_CONTINUE;
	source_clear(&conn->watch);
	if (conn->state == CONN_HANDLING)
		conn->pipelined = true;
	else
		conn->ops->arrived(conn->ctx, conn);
	return G_SOURCE_REMOVE;
}

void http_conn_set_state(struct http_conn *conn, enum http_conn_state state)
{
	const struct conn_state_limits *limits = &state_limits[state];

	conn->state = state;
	source_clear(&conn->watch);
	source_clear(&conn->timeout);
	if (state == CONN_BROKEN)
		shutdown(g_socket_get_fd(conn->socket), SHUT_RDWR);
	if (limits->watch) {
		conn->watch =
			g_socket_create_source(conn->socket, G_IO_IN, NULL);
		g_source_set_callback(conn->watch, G_SOURCE_FUNC(conn_readable),
				      conn, NULL);
		g_source_attach(conn->watch, NULL);
	}
	if (limits->timeout_ms) {
		conn->timeout = g_timeout_source_new(limits->timeout_ms);
		g_source_set_callback(conn->timeout, conn_timed_out, conn,
				      NULL);
		g_source_attach(conn->timeout, NULL);
	}
}

static void conn_configure_socket(GSocket *socket)
{
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES,
			    NULL);
}

struct http_conn *http_conn_new(GSocketConnection *stream,
				const struct http_conn_ops *ops, void *ctx)
{
	struct http_conn *conn = g_new0(struct http_conn, 1);

	conn->ops = ops;
	conn->ctx = ctx;
	conn->stream = g_object_ref(stream);
	conn->socket = g_socket_connection_get_socket(stream);
	conn->local = g_socket_connection_get_local_address(stream, NULL);
	conn->remote = g_socket_connection_get_remote_address(stream, NULL);
	if (!conn->local || !conn->remote) {
		http_conn_free(conn);
		return NULL;
	}
	g_object_set_data(G_OBJECT(conn->remote), CONN_KEY, conn);
	conn_configure_socket(conn->socket);
	http_conn_set_state(conn, CONN_IDLE);
	return conn;
}

void http_conn_free(struct http_conn *conn)
{
	if (!conn)
		return;
	source_clear(&conn->watch);
	source_clear(&conn->timeout);
	/* libsoup may keep a reference to the address. */
	if (conn->remote)
		g_object_set_data(G_OBJECT(conn->remote), CONN_KEY, NULL);
	g_io_stream_close(G_IO_STREAM(conn->stream), NULL, NULL);
	g_object_unref(conn->stream);
	g_clear_object(&conn->local);
	g_clear_object(&conn->remote);
	g_free(conn);
}

struct http_conn *http_conn_of(GSocketAddress *remote)
{
	return remote ? g_object_get_data(G_OBJECT(remote), CONN_KEY) : NULL;
}
