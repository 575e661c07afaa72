#include "transport.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>

#include "frame.h"
#include "poller.h"
#include "schema.h"
#include "tunables.h"

/* A peer with more unsent bytes than this gets no further frames. */
#define CONN_MAX_BACKLOG_BYTES (64u << 20)
#define CONN_READ_BYTES (64u << 10)

struct conn {
	struct transport *transport;
	GSocketConnection *stream; /* NULL while connecting */
	GSocket *socket;
	GSource *handshake_timeout;
	GCancellable *cancellable; /* of the connect, NULL: none in progress */
	GByteArray *in; /* bytes of an incomplete frame */
	GByteArray *out; /* frames to send */
	guint out_sent; /* bytes of out that were sent */
	struct hello peer; /* node_id 0 before the handshake */
	char dialled[ADDRESS_BYTES]; /* "": the peer dialled */
	bool dirty; /* in transport->dirty */
	bool blocked; /* the kernel's send buffer is full */
	bool closed; /* to be freed by the reaper */
};

struct transport {
	struct transport_opts opts;
	GSocketService *service;
	/* active connections: uint64_t * -> struct conn *, not owned */
	GHashTable *by_peer;
	GPtrArray *conns; /* all connections, owned */
	GPtrArray *dirty; /* connections with frames to send, not owned */
	struct poller *poller;
	GSource *reaper; /* frees closed connections, NULL: not scheduled */
	uint64_t bytes_sent;
	uint8_t buffer[CONN_READ_BYTES]; /* for the socket being read */
};

static void source_clear(GSource **source)
{
	if (*source) {
		g_source_destroy(*source);
		g_source_unref(*source);
	}
	*source = NULL;
}

static void conn_free(void *data)
{
	struct conn *conn = data;

	source_clear(&conn->handshake_timeout);
	g_clear_object(&conn->stream);
	g_clear_object(&conn->cancellable);
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->out);
	g_free(conn);
}

static gboolean transport_reap(gpointer data)
{
	struct transport *transport = data;

	source_clear(&transport->reaper);
	for (guint i = transport->conns->len; i-- > 0;) {
		struct conn *conn = g_ptr_array_index(transport->conns, i);

		if (conn->closed && (conn->stream || !conn->cancellable))
			g_ptr_array_remove_index_fast(transport->conns, i);
	}
	return G_SOURCE_REMOVE;
}

/*
 * Closes a connection. It is freed later from the main loop, as functions up
 * the call stack may still use it.
 */
static void conn_close(struct conn *conn)
{
	struct transport *transport = conn->transport;

	if (conn->closed)
		return;
	conn->closed = true;
	source_clear(&conn->handshake_timeout);
	if (conn->dirty)
		g_ptr_array_remove_fast(transport->dirty, conn);
	conn->dirty = false;
	if (conn->stream)
		poller_remove(transport->poller, g_socket_get_fd(conn->socket));
	if (conn->stream)
		g_io_stream_close(G_IO_STREAM(conn->stream), NULL, NULL);
	else if (conn->cancellable)
		g_cancellable_cancel(conn->cancellable);
	if (!transport->reaper) {
		transport->reaper = g_idle_source_new();
		g_source_set_callback(transport->reaper, transport_reap,
				      transport, NULL);
		g_source_attach(transport->reaper, NULL);
	}
}

/* Closes a connection that failed and reports the failure. */
static void conn_fail(struct conn *conn)
{
	struct transport *transport = conn->transport;
	uint64_t node_id = conn->peer.node_id;
	bool in_use = node_id &&
		      g_hash_table_lookup(transport->by_peer, &node_id) == conn;

	if (conn->closed)
		return;
	conn_close(conn);
	if (in_use) {
		g_hash_table_remove(transport->by_peer, &node_id);
		transport->opts.ops->peer_down(transport->opts.ctx, node_id);
	} else if (!node_id && conn->dialled[0]) {
		transport->opts.ops->dial_failed(transport->opts.ctx,
						 conn->dialled);
	}
}

static void conn_set_blocked(struct conn *conn, bool blocked)
{
	if (conn->blocked == blocked)
		return;
	conn->blocked = blocked;
	poller_set_writable(conn->transport->poller,
			    g_socket_get_fd(conn->socket), conn, blocked);
}

static void conn_flush(void *data)
{
	struct conn *conn = data;
	GError *error = NULL;
	bool blocked;
	gssize sent;

	if (conn->closed)
		return;
	while (conn->out_sent < conn->out->len) {
		sent = g_socket_send(conn->socket,
				     (char *)conn->out->data + conn->out_sent,
				     conn->out->len - conn->out_sent, NULL,
				     &error);
		if (sent < 0)
			break;
		conn->out_sent += (guint)sent;
		conn->transport->bytes_sent += (uint64_t)sent;
	}
	g_byte_array_remove_range(conn->out, 0, conn->out_sent);
	conn->out_sent = 0;
	blocked = error &&
		  g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
	if (error && !blocked)
		conn_fail(conn);
	else
		conn_set_blocked(conn, blocked);
	g_clear_error(&error);
}

/* Queues a frame; all frames of one iteration are sent in one write. */
static void conn_queue(struct conn *conn, uint32_t type, const void *body)
{
	frame_append(conn->out, type, body);
	if (conn->dirty || conn->blocked)
		return;
	conn->dirty = true;
	g_ptr_array_add(conn->transport->dirty, conn);
}

static gboolean transport_pending(void *ctx)
{
	struct transport *transport = ctx;

	return transport->dirty->len > 0;
}

static void transport_flush(void *ctx)
{
	struct transport *transport = ctx;

	while (transport->dirty->len) {
		struct conn *conn = g_ptr_array_remove_index_fast(
			transport->dirty, transport->dirty->len - 1);

		conn->dirty = false;
		conn_flush(conn);
	}
}

/* Makes a connection the active one; an older one to the peer is closed. */
static void conn_activate(struct conn *conn)
{
	struct transport *transport = conn->transport;
	struct conn *old =
		g_hash_table_lookup(transport->by_peer, &conn->peer.node_id);

	source_clear(&conn->handshake_timeout);
	g_hash_table_replace(transport->by_peer,
			     g_memdup2(&conn->peer.node_id, sizeof(uint64_t)),
			     conn);
	if (old)
		conn_close(old);
	transport->opts.ops->peer_up(transport->opts.ctx, &conn->peer,
				     conn->dialled[0] ? conn->dialled : NULL);
}

static void conn_handle_frame(struct conn *conn, uint32_t type,
			      const void *body)
{
	struct transport *transport = conn->transport;
	const struct hello *hello = body;

	if (conn->peer.node_id) {
		if (type != MSG_HELLO)
			transport->opts.ops->message(transport->opts.ctx,
						     conn->peer.node_id, type,
						     body);
		return;
	}
	if (type != MSG_HELLO || !hello->node_id ||
	    hello->protocol_version != PROTOCOL_VERSION ||
	    hello->node_id == transport->opts.self->node_id) {
		conn_fail(conn);
		return;
	}
	conn->peer = *hello;
	conn_activate(conn);
}

static void conn_parse(struct conn *conn)
{
	size_t pos = 0;
	size_t used;
	uint32_t type;
	void *body;
	enum result res;

	while (!conn->closed) {
		res = frame_read(conn->in->data + pos, conn->in->len - pos,
				 &used, &type, &body);
		if (res == RESULT_IN_PROGRESS)
			break;
		if (res != RESULT_OK) {
			conn_fail(conn);
			return;
		}
		pos += used;
		conn_handle_frame(conn, type, body);
		record_unref((struct record){ type, body });
	}
	if (pos)
		g_byte_array_remove_range(conn->in, 0, (guint)pos);
}

static void conn_readable(void *data)
{
	struct conn *conn = data;
	struct transport *transport = conn->transport;
	GError *error = NULL;
	gssize got;

	if (conn->closed)
		return;
	got = g_socket_receive(conn->socket, (char *)transport->buffer,
			       CONN_READ_BYTES, NULL, &error);
	if (got > 0) {
		g_byte_array_append(conn->in, transport->buffer, (guint)got);
		conn_parse(conn);
	} else if (!error || !g_error_matches(error, G_IO_ERROR,
					      G_IO_ERROR_WOULD_BLOCK)) {
		conn_fail(conn);
	}
	g_clear_error(&error);
}

static const struct poller_ops transport_poller_ops = {
	.readable = conn_readable,
	.writable = conn_flush,
	.pending = transport_pending,
	.flush = transport_flush,
};

static gboolean conn_handshake_timed_out(gpointer data)
{
	conn_fail(data);
	return G_SOURCE_REMOVE;
}

static struct conn *conn_new(struct transport *transport, const char *dialled)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->transport = transport;
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	TEXT_SET(conn->dialled, dialled);
	conn->handshake_timeout = g_timeout_source_new(LINK_DIAL_TIMEOUT_MS);
	g_source_set_callback(conn->handshake_timeout, conn_handshake_timed_out,
			      conn, NULL);
	g_source_attach(conn->handshake_timeout, NULL);
	g_ptr_array_add(transport->conns, conn);
	return conn;
}

static void conn_begin(struct conn *conn, GSocketConnection *stream)
{
	conn->stream = g_object_ref(stream);
	conn->socket = g_socket_connection_get_socket(stream);
	g_socket_set_blocking(conn->socket, FALSE);
	g_socket_set_option(conn->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	poller_add(conn->transport->poller, g_socket_get_fd(conn->socket),
		   conn);
	conn_queue(conn, MSG_HELLO, conn->transport->opts.self);
}

static gboolean transport_incoming(GSocketService *service,
				   GSocketConnection *stream, GObject *source,
				   gpointer data)
{
	conn_begin(conn_new(data, NULL), stream);
	return TRUE;
}

static void conn_connected(GObject *client, GAsyncResult *res, gpointer data)
{
	struct conn *conn = data;
	GSocketConnection *stream;

	stream = g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(client),
							res, NULL);
	g_clear_object(&conn->cancellable);
	if (conn->closed) {
		/*
		 * The connection was closed while connecting; the reaper
		 * couldn't free it then.
		 */
		g_clear_object(&stream);
		g_ptr_array_remove_fast(conn->transport->conns, conn);
		return;
	}
	if (!stream) {
		conn_fail(conn);
		return;
	}
	conn_begin(conn, stream);
	g_object_unref(stream);
}

struct transport *transport_new(const struct transport_opts *opts)
{
	struct transport *transport = g_new0(struct transport, 1);

	transport->opts = *opts;
	transport->by_peer = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	transport->conns = g_ptr_array_new_with_free_func(conn_free);
	transport->dirty = g_ptr_array_new();
	transport->poller = poller_new(&transport_poller_ops, transport);
	return transport;
}

void transport_free(struct transport *transport)
{
	if (!transport)
		return;
	if (transport->service) {
		g_socket_service_stop(transport->service);
		g_socket_listener_close(G_SOCKET_LISTENER(transport->service));
		g_object_unref(transport->service);
	}
	for (guint i = 0; i < transport->conns->len; i++)
		conn_close(g_ptr_array_index(transport->conns, i));
	/* Cancelled connects still run their callbacks from the main loop. */
	while (transport->reaper || transport->conns->len) {
		transport_reap(transport);
		if (transport->conns->len)
			g_main_context_iteration(NULL, TRUE);
	}
	source_clear(&transport->reaper);
	poller_free(transport->poller);
	g_ptr_array_unref(transport->dirty);
	g_ptr_array_unref(transport->conns);
	g_hash_table_unref(transport->by_peer);
	g_free(transport);
}

enum result transport_listen(struct transport *transport, const char *address,
			     char *bound)
{
	GSocketConnectable *parsed;
	GSocketAddress *inet = NULL;
	GSocketAddress *effective = NULL;
	GInetAddress *ip = NULL;
	enum result res = RESULT_USAGE;
	char *host = NULL;

	parsed = g_network_address_parse(address, 0, NULL);
	if (!parsed)
		goto out;
	ip = g_inet_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)));
	if (!ip)
		goto out;
	inet = g_inet_socket_address_new(
		ip, g_network_address_get_port(G_NETWORK_ADDRESS(parsed)));
	transport->service = g_socket_service_new();
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(transport->service),
				      LISTEN_BACKLOG);
	g_signal_connect(transport->service, "incoming",
			 G_CALLBACK(transport_incoming), transport);
	res = RESULT_IO;
	if (!g_socket_listener_add_address(
		    G_SOCKET_LISTENER(transport->service), inet,
		    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
		    &effective, NULL))
		goto out;
	host = g_inet_address_to_string(ip);
	g_snprintf(bound, ADDRESS_BYTES, "%s:%u", host,
		   g_inet_socket_address_get_port(
			   G_INET_SOCKET_ADDRESS(effective)));
	res = RESULT_OK;
out:
	g_free(host);
	g_clear_object(&effective);
	g_clear_object(&inet);
	g_clear_object(&ip);
	g_clear_object(&parsed);
	return res;
}

void transport_dial(struct transport *transport, const char *address)
{
	struct conn *conn = conn_new(transport, address);
	GSocketClient *client = g_socket_client_new();

	conn->cancellable = g_cancellable_new();
	g_socket_client_set_enable_proxy(client, FALSE);
	g_socket_client_connect_to_host_async(
		client, address, 0, conn->cancellable, conn_connected, conn);
	g_object_unref(client);
}

void transport_send(struct transport *transport, uint64_t node_id,
		    uint32_t type, const void *body)
{
	struct conn *conn = g_hash_table_lookup(transport->by_peer, &node_id);

	if (!conn || conn->closed)
		return;
	if (conn->out->len > CONN_MAX_BACKLOG_BYTES)
		return; /* pings are dropped as well, so the link is replaced */
	conn_queue(conn, type, body);
}

void transport_close_peer(struct transport *transport, uint64_t node_id)
{
	struct conn *conn = g_hash_table_lookup(transport->by_peer, &node_id);

	if (!conn)
		return;
	g_hash_table_remove(transport->by_peer, &node_id);
	conn_close(conn);
}

gboolean transport_flushed(const struct transport *transport)
{
	for (guint i = 0; i < transport->conns->len; i++) {
		const struct conn *conn =
			g_ptr_array_index(transport->conns, i);

		if (!conn->closed && conn->out->len)
			return FALSE;
	}
	return TRUE;
}

uint64_t transport_bytes_sent(const struct transport *transport)
{
	return transport->bytes_sent;
}
