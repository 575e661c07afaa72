#include "loop.h"

#include <errno.h>
#include <glib-unix.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "log.h"
#include "logline.h"
#include "transport.h"
#include "tunables.h"

/* Identifiers fit a JSON number without loss. */
#define NODE_ID_MASK ((UINT64_C(1) << 52) - 1)
#define SHUTDOWN_POLL_MS 20
#define LOOP_RELOAD_MS 2000 /* looks at the file of settings */

struct loop {
	GMainLoop *main;
	struct node *node;
	struct transport *transport;
	GSource *timer;
	GSource *drain;
	void (*stop)(void *ctx);
	bool (*idle)(const void *ctx);
	void *drain_ctx;
	void (*reload)(void *ctx, bool signal);
	void *reload_ctx;
	uint32_t drain_ms;
	uint64_t drain_end_us;
	enum result result;
};

static void loop_send(void *ctx, uint64_t node_id, uint32_t type,
		      const void *body)
{
	struct loop *loop = ctx;

	if (loop->transport)
		transport_send(loop->transport, node_id, type, body);
}

static void loop_dial(void *ctx, const char *address)
{
	struct loop *loop = ctx;

	if (loop->transport)
		transport_dial(loop->transport, address);
}

static void loop_close_peer(void *ctx, uint64_t node_id)
{
	struct loop *loop = ctx;

	if (loop->transport)
		transport_close_peer(loop->transport, node_id);
}

static uint64_t loop_host_random(void *ctx)
{
	return loop_random_u64();
}

static void loop_host_log(void *ctx, const char *line)
{
	log_line(line);
}

static const struct host_ops loop_host_ops = {
	.send = loop_send,
	.dial = loop_dial,
	.close_peer = loop_close_peer,
	.random_u64 = loop_host_random,
	.log_line = loop_host_log,
};

static void loop_peer_up(void *ctx, const struct hello *peer,
			 const char *dialled)
{
	struct loop *loop = ctx;

	node_peer_up(loop->node, peer, dialled, loop_now_us());
}

static void loop_peer_down(void *ctx, uint64_t node_id)
{
	struct loop *loop = ctx;

	node_peer_down(loop->node, node_id, loop_now_us());
}

static void loop_dial_failed(void *ctx, const char *address)
{
	struct loop *loop = ctx;

	node_dial_failed(loop->node, address, loop_now_us());
}

static void loop_message(void *ctx, uint64_t from, uint32_t type,
			 const void *body)
{
	struct loop *loop = ctx;

	node_message(loop->node, from, type, body, loop_now_us());
}

static const struct transport_ops loop_transport_ops = {
	.peer_up = loop_peer_up,
	.peer_down = loop_peer_down,
	.dial_failed = loop_dial_failed,
	.message = loop_message,
};

/*
 * The node's timers. A GLib timeout source doesn't serve: it sets its ready
 * time anew after the callback, so one with interval 0 would run for ever.
 */
/* Asks the node at each turn, so that nobody has to tell of new timers. */
struct loop_timer {
	GSource source;
	struct loop *loop;
};

static gboolean loop_timer_prepare(GSource *source, gint *timeout_ms)
{
	const struct loop *loop = ((struct loop_timer *)source)->loop;
	uint64_t next_us = node_next_us(loop->node);
	uint64_t now_us = loop_now_us();

	*timeout_ms = -1;
	if (next_us <= now_us)
		return TRUE;
	if (next_us != TIMER_NEVER)
		*timeout_ms = (gint)MIN((next_us - now_us + 999) / 1000,
					(uint64_t)G_MAXINT);
	return FALSE;
}

static gboolean loop_timer_check(GSource *source)
{
	const struct loop *loop = ((struct loop_timer *)source)->loop;

	return node_next_us(loop->node) <= loop_now_us();
}

static gboolean loop_timer_dispatch(GSource *source, GSourceFunc callback,
				    gpointer data)
{
	struct loop *loop = ((struct loop_timer *)source)->loop;

	node_run_timers(loop->node, loop_now_us());
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs loop_timer_funcs = {
	.prepare = loop_timer_prepare,
	.check = loop_timer_check,
	.dispatch = loop_timer_dispatch,
};

/* Tells what a shutdown still waited for when its time was up. */
static void loop_log_drain_timeout(struct loop *loop)
{
	GString *line = logline_new("drain-ended");

	logline_u64(line, "drain_ms", loop->drain_ms);
	logline_str(line, "role", node_idle(loop->node) ? "idle" : "busy");
	logline_str(line, "links",
		    transport_flushed(loop->transport) ? "idle" : "busy");
	logline_str(line, "http",
		    !loop->idle || loop->idle(loop->drain_ctx) ? "idle" :
								 "busy");
	log_line(line->str);
	g_string_free(line, TRUE);
}

static gboolean loop_drain(gpointer data)
{
	struct loop *loop = data;
	bool idle = node_idle(loop->node) &&
		    transport_flushed(loop->transport) &&
		    (!loop->idle || loop->idle(loop->drain_ctx));

	if (!idle && loop_now_us() < loop->drain_end_us)
		return G_SOURCE_CONTINUE;
	if (!idle)
		loop_log_drain_timeout(loop);
	loop->result = idle ? RESULT_OK : RESULT_TIMEOUT;
	g_main_loop_quit(loop->main);
	return G_SOURCE_CONTINUE;
}

static gboolean loop_signal(gpointer data)
{
	struct loop *loop = data;
	GString *line;

	if (loop->drain)
		return G_SOURCE_CONTINUE;
	line = logline_new("stopping");
	logline_u64(line, "drain_ms", loop->drain_ms);
	log_line(line->str);
	g_string_free(line, TRUE);
	loop->drain_end_us = loop_now_us() + loop->drain_ms * 1000ull;
	if (loop->stop)
		loop->stop(loop->drain_ctx);
	node_shutdown(loop->node, loop_now_us());
	loop->drain = g_timeout_source_new(SHUTDOWN_POLL_MS);
	g_source_set_callback(loop->drain, loop_drain, loop, NULL);
	g_source_attach(loop->drain, NULL);
	return G_SOURCE_CONTINUE;
}

static gboolean loop_hangup(gpointer data)
{
	struct loop *loop = data;

	if (loop->reload)
		loop->reload(loop->reload_ctx, true);
	return G_SOURCE_CONTINUE;
}

static gboolean loop_reload_due(gpointer data)
{
	struct loop *loop = data;

	if (loop->reload)
		loop->reload(loop->reload_ctx, false);
	return G_SOURCE_CONTINUE;
}

static GSource *loop_attach(struct loop *loop, GSource *source, GSourceFunc fn)
{
	g_source_set_callback(source, fn, loop, NULL);
	g_source_attach(source, NULL);
	return source;
}

static void loop_detach(GSource *source)
{
	g_source_destroy(source);
	g_source_unref(source);
}

enum result loop_new(const struct loop_opts *opts, struct loop **out)
{
	struct loop *loop = g_new0(struct loop, 1);
	struct transport_opts transport_opts = { 0 };
	struct node_opts node_opts = { 0 };
	enum result res = RESULT_OK;

	node_opts.host = &loop_host_ops;
	node_opts.host_ctx = loop;
	node_opts.node_id = opts->node_id;
	while (!node_opts.node_id)
		node_opts.node_id = loop_random_u64() & NODE_ID_MASK;
	TEXT_SET(node_opts.name, opts->name);
	TEXT_SET(node_opts.zone, opts->zone);
	node_opts.now_us = loop_now_us();
	loop->drain_ms = opts->drain_ms;
	loop->main = g_main_loop_new(NULL, FALSE);
	loop->node = node_new(&node_opts);
	transport_opts.ops = &loop_transport_ops;
	transport_opts.ctx = loop;
	transport_opts.self = &loop->node->self;
	loop->transport = transport_new(&transport_opts);
	if (opts->listen)
		res = transport_listen(loop->transport, opts->listen,
				       loop->node->self.address);
	if (res != RESULT_OK) {
		loop_free(loop);
		return res;
	}
	if (opts->advertise)
		TEXT_SET(loop->node->self.address, opts->advertise);
	loop->timer =
		g_source_new(&loop_timer_funcs, sizeof(struct loop_timer));
	((struct loop_timer *)loop->timer)->loop = loop;
	g_source_attach(loop->timer, NULL);
	*out = loop;
	return RESULT_OK;
}

void loop_close(struct loop *loop)
{
	struct transport *transport;

	if (!loop)
		return;
	transport = loop->transport;
	loop->transport = NULL;
	if (loop->timer) {
		g_source_destroy(loop->timer);
		g_source_unref(loop->timer);
	}
	loop->timer = NULL;
	if (loop->drain) {
		g_source_destroy(loop->drain);
		g_source_unref(loop->drain);
	}
	loop->drain = NULL;
	transport_free(transport);
}

void loop_free(struct loop *loop)
{
	if (!loop)
		return;
	loop_close(loop);
	node_free(loop->node);
	g_main_loop_unref(loop->main);
	g_free(loop);
}

struct node *loop_node(struct loop *loop)
{
	return loop->node;
}

void loop_update_time(struct loop *loop)
{
	node_set_time(loop->node, loop_now_us());
}

void loop_set_drain(struct loop *loop, void (*stop)(void *ctx),
		    bool (*idle)(const void *ctx), void *ctx)
{
	loop->stop = stop;
	loop->idle = idle;
	loop->drain_ctx = ctx;
}

void loop_set_reload(struct loop *loop, void (*reload)(void *ctx, bool signal),
		     void *ctx)
{
	loop->reload = reload;
	loop->reload_ctx = ctx;
}

void loop_end(struct loop *loop, enum result result)
{
	loop->result = result;
	g_main_loop_quit(loop->main);
}

uint64_t loop_bytes_sent(const struct loop *loop)
{
	return transport_bytes_sent(loop->transport);
}

enum result loop_run(struct loop *loop)
{
	GSource *sources[] = {
		loop_attach(loop, g_unix_signal_source_new(SIGTERM),
			    loop_signal),
		loop_attach(loop, g_unix_signal_source_new(SIGINT),
			    loop_signal),
		loop_attach(loop, g_unix_signal_source_new(SIGHUP),
			    loop_hangup),
		loop_attach(loop, g_timeout_source_new(LOOP_RELOAD_MS),
			    loop_reload_due),
	};

	node_start(loop->node, loop_now_us());
	g_main_loop_run(loop->main);
	for (size_t i = 0; i < G_N_ELEMENTS(sources); i++)
		loop_detach(sources[i]);
	return loop->result;
}

/*
 * Not the monotonic clock, which stands still while a VM is suspended: leases
 * would seem to hold after they ended elsewhere.
 */
uint64_t loop_now_us(void)
{
	struct timespec now = { 0 };

	if (clock_gettime(CLOCK_BOOTTIME, &now))
		g_error("clock_gettime: %s", g_strerror(errno));
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t loop_random_u64(void)
{
	uint64_t value = 0;

	while (getrandom(&value, sizeof(value), 0) != sizeof(value))
		if (errno != EINTR)
			g_error("getrandom: %s", g_strerror(errno));
	return value;
}
