/**
 * @file faultproxy.c
 * A TCP proxy that injects faults. It reads commands from standard input:
 *   delay MS       delays every byte in both directions
 *   stall PPM MS   delays PPM millionths of the chunks by MS more, like packet
 *                  losses
 *   silence        open connections drop all data from now on, new
 *                  connections work
 *   cut in|out|both  drops all data of a direction; connections stay open
 *   heal           ends cut, stall and delay
 *   reset          resets every connection
 */

#include <gio/gio.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define CHUNK_BYTES 65536

enum direction { DIRECTION_IN = 0, DIRECTION_OUT = 1 };

struct proxy {
	GMainLoop *loop;
	char *target;
	GList *pairs;
	guint delay_ms;
	guint stall_ppm;
	guint stall_ms;
	gboolean cut[2];
	GRand *rand;
};

/* An incoming connection and the one to the target. */
struct pair {
	struct proxy *proxy;
	GSocketConnection *side[2]; /* 0: incoming, 1: to the target */
	gint64 due_us[2]; /* delivery of the last chunk of each direction */
	gboolean silent; /* drops all data */
	gboolean closed;
};

/* Data on its way from one connection of a pair to the other. */
struct chunk {
	struct pair *pair;
	enum direction direction;
	GBytes *bytes; /* NULL: end of stream */
};

static void pair_clear(void *data)
{
	struct pair *pair = data;

	for (int i = 0; i < 2; i++)
		g_clear_object(&pair->side[i]);
}

static void pair_unref(struct pair *pair)
{
	g_rc_box_release_full(pair, pair_clear);
}

static void pair_close(struct pair *pair)
{
	if (pair->closed)
		return;
	pair->closed = TRUE;
	pair->proxy->pairs = g_list_remove(pair->proxy->pairs, pair);
	for (int i = 0; i < 2; i++)
		if (pair->side[i])
			g_io_stream_close(G_IO_STREAM(pair->side[i]), NULL,
					  NULL);
	pair_unref(pair);
}

static gboolean chunk_deliver(gpointer data)
{
	struct chunk *chunk = data;
	struct pair *pair = chunk->pair;
	GOutputStream *out;
	gsize size;
	const void *bytes;

	if (!pair->closed && !pair->silent &&
	    !pair->proxy->cut[chunk->direction]) {
		if (!chunk->bytes) {
			pair_close(pair);
		} else {
			out = g_io_stream_get_output_stream(
				G_IO_STREAM(pair->side[!chunk->direction]));
			bytes = g_bytes_get_data(chunk->bytes, &size);
			if (!g_output_stream_write_all(out, bytes, size, NULL,
						       NULL, NULL))
				pair_close(pair);
		}
	}
	if (chunk->bytes)
		g_bytes_unref(chunk->bytes);
	pair_unref(pair);
	g_free(chunk);
	return G_SOURCE_REMOVE;
}

static void pair_read(struct pair *pair, enum direction direction);

static void pair_got(GObject *stream, GAsyncResult *res, gpointer data)
{
	struct chunk *chunk = data;
	struct pair *pair = chunk->pair;
	struct proxy *proxy = pair->proxy;
	gint64 now_us = g_get_monotonic_time();
	guint wait_ms = proxy->delay_ms;

	chunk->bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream),
							res, NULL);
	if (chunk->bytes && !g_bytes_get_size(chunk->bytes)) {
		g_bytes_unref(chunk->bytes);
		chunk->bytes = NULL;
	}
	if (proxy->stall_ppm &&
	    (guint)g_rand_int_range(proxy->rand, 0, 1000000) < proxy->stall_ppm)
		wait_ms += proxy->stall_ms;
	pair->due_us[chunk->direction] = MAX(pair->due_us[chunk->direction],
					     now_us + (gint64)wait_ms * 1000);
	if (chunk->bytes && !pair->closed)
		pair_read(pair, chunk->direction);
	if (pair->due_us[chunk->direction] <= now_us) {
		chunk_deliver(chunk);
		return;
	}
	g_timeout_add(
		(guint)((pair->due_us[chunk->direction] - now_us + 999) / 1000),
		chunk_deliver, chunk);
}

static void pair_read(struct pair *pair, enum direction direction)
{
	GInputStream *in = g_io_stream_get_input_stream(
		G_IO_STREAM(pair->side[direction]));
	struct chunk *chunk = g_new0(struct chunk, 1);

	chunk->pair = g_rc_box_acquire(pair);
	chunk->direction = direction;
	g_input_stream_read_bytes_async(in, CHUNK_BYTES, G_PRIORITY_DEFAULT,
					NULL, pair_got, chunk);
}

static void pair_connected(GObject *client, GAsyncResult *res, gpointer data)
{
	struct pair *pair = data;

	pair->side[1] = g_socket_client_connect_to_host_finish(
		G_SOCKET_CLIENT(client), res, NULL);
	if (!pair->side[1]) {
		pair_close(pair);
		pair_unref(pair);
		return;
	}
	for (int i = 0; i < 2; i++)
		g_tcp_connection_set_graceful_disconnect(
			G_TCP_CONNECTION(pair->side[i]), FALSE);
	pair_read(pair, DIRECTION_IN);
	pair_read(pair, DIRECTION_OUT);
	pair_unref(pair);
}

static gboolean proxy_incoming(GSocketService *service, GSocketConnection *conn,
			       GObject *source, gpointer data)
{
	struct proxy *proxy = data;
	struct pair *pair = g_rc_box_new0(struct pair);
	GSocketClient *client = g_socket_client_new();

	pair->proxy = proxy;
	g_rc_box_acquire(pair); /* for the list and for pair_connected() */
	pair->side[0] = g_object_ref(conn);
	proxy->pairs = g_list_prepend(proxy->pairs, pair);
	g_socket_client_set_enable_proxy(client, FALSE);
	g_socket_client_connect_to_host_async(client, proxy->target, 0, NULL,
					      pair_connected, pair);
	g_object_unref(client);
	return TRUE;
}

static void proxy_silence(struct proxy *proxy)
{
	for (GList *l = proxy->pairs; l; l = l->next)
		((struct pair *)l->data)->silent = TRUE;
}

static void proxy_reset(struct proxy *proxy)
{
	struct linger linger = { 1, 0 };

	while (proxy->pairs) {
		struct pair *pair = proxy->pairs->data;

		for (int i = 0; i < 2; i++) {
			GSocket *socket;

			if (!pair->side[i])
				continue;
			socket = g_socket_connection_get_socket(pair->side[i]);
			setsockopt(g_socket_get_fd(socket), SOL_SOCKET,
				   SO_LINGER, &linger, sizeof(linger));
		}
		pair_close(pair);
	}
}

static void proxy_command(struct proxy *proxy, char **words)
{
	guint nr = g_strv_length(words);

	if (nr == 2 && !strcmp(words[0], "delay")) {
		proxy->delay_ms = (guint)strtoul(words[1], NULL, 10);
	} else if (nr == 3 && !strcmp(words[0], "stall")) {
		proxy->stall_ppm = (guint)strtoul(words[1], NULL, 10);
		proxy->stall_ms = (guint)strtoul(words[2], NULL, 10);
	} else if (nr == 1 && !strcmp(words[0], "silence")) {
		proxy_silence(proxy);
	} else if (nr == 1 && !strcmp(words[0], "reset")) {
		proxy_reset(proxy);
	} else if (nr == 1 && !strcmp(words[0], "heal")) {
		proxy->cut[DIRECTION_IN] = proxy->cut[DIRECTION_OUT] = FALSE;
		proxy->delay_ms = proxy->stall_ppm = 0;
	} else if (nr == 2 && !strcmp(words[0], "cut")) {
		proxy->cut[DIRECTION_IN] = !!strcmp(words[1], "out");
		proxy->cut[DIRECTION_OUT] = !!strcmp(words[1], "in");
	} else {
		fprintf(stderr, "faultproxy: unknown command %s\n", words[0]);
	}
}

static gboolean proxy_input(GIOChannel *channel, GIOCondition condition,
			    gpointer data)
{
	struct proxy *proxy = data;
	char *line = NULL;
	char **words;

	if (g_io_channel_read_line(channel, &line, NULL, NULL, NULL) !=
	    G_IO_STATUS_NORMAL) {
		g_main_loop_quit(proxy->loop);
		return G_SOURCE_REMOVE;
	}
	words = g_strsplit(g_strstrip(line), " ", -1);
	if (words[0])
		proxy_command(proxy, words);
	g_strfreev(words);
	g_free(line);
	return G_SOURCE_CONTINUE;
}

/* faultproxy LISTEN_IP:PORT TARGET_IP:PORT SEED */
int main(int argc, char **argv)
{
	struct proxy proxy = { 0 };
	GSocketService *service = g_socket_service_new();
	GSocketAddress *address;
	GIOChannel *input;
	GError *error = NULL;
	char **parts;

	if (argc != 4)
		return EXIT_FAILURE;
	parts = g_strsplit(argv[1], ":", 2);
	address = g_inet_socket_address_new_from_string(
		parts[0], (guint)strtoul(parts[1], NULL, 10));
	proxy.target = argv[2];
	proxy.rand = g_rand_new_with_seed((guint32)strtoul(argv[3], NULL, 10));
	proxy.loop = g_main_loop_new(NULL, FALSE);
	if (!g_socket_listener_add_address(
		    G_SOCKET_LISTENER(service), address, G_SOCKET_TYPE_STREAM,
		    G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error)) {
		fprintf(stderr, "faultproxy: %s\n", error->message);
		return EXIT_FAILURE;
	}
	g_signal_connect(service, "incoming", G_CALLBACK(proxy_incoming),
			 &proxy);
	input = g_io_channel_unix_new(0);
	g_io_add_watch(input, G_IO_IN | G_IO_HUP, proxy_input, &proxy);
	g_main_loop_run(proxy.loop);
	proxy_reset(&proxy);
	g_io_channel_unref(input);
	g_main_loop_unref(proxy.loop);
	g_object_unref(service);
	g_object_unref(address);
	g_strfreev(parts);
	g_rand_free(proxy.rand);
	return EXIT_SUCCESS;
}
