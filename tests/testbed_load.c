/**
 * @file testbed_load.c
 * Generates load: an open loop that sends requests to the entries at a constant
 * rate, and a closed loop with a fixed number of requests in flight.
 */

#include "testbed_impl.h"

#include <stdio.h>
#include <string.h>

struct tb_load {
	struct testbed *tb;
	struct tb_load_opts opts;
	char *prefix;
	char *path;
	gint64 began_us;
	uint32_t open;
	guint tick;
	GArray *times_us;
	struct tb_load_stats stats;
};

struct tb_load_request {
	struct tb_load *load;
	SoupMessage *msg;
	char *id;
	gint64 sent_us;
};

static void load_request_count(struct tb_load_request *shot, const char *text)
{
	struct tb_load_stats *stats = &shot->load->stats;
	guint status = soup_message_get_status(shot->msg);
	uint32_t took_us = (uint32_t)(g_get_monotonic_time() - shot->sent_us);

	if (status == 200) {
		stats->answered++;
		if (!g_str_has_suffix(text, shot->id))
			stats->wrong++;
		g_array_append_val(shot->load->times_us, took_us);
	} else if (strstr(text, "\"not_run\":true")) {
		stats->not_run++;
	} else if (strstr(text, "\"not_run\":")) {
		stats->unknown++;
	} else {
		stats->failed++;
	}
	if (status != 200 && g_getenv("TB_VERBOSE"))
		fprintf(stderr, "%s: %u %s\n", shot->id, status, text);
	if (status != 200 && shot->load->opts.once &&
	    strstr(text, "\"not_run\":true"))
		testbed_note(shot->load->tb, "ev=refused id=%s", shot->id);
}

static void load_request_done(GObject *session, GAsyncResult *res,
			      gpointer data)
{
	struct tb_load_request *shot = data;
	GError *error = NULL;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session),
							 res, &error);
	char *text;

	if (body) {
		text = g_strndup(g_bytes_get_data(body, NULL),
				 g_bytes_get_size(body));
		load_request_count(shot, text);
		g_free(text);
		g_bytes_unref(body);
	} else {
		shot->load->stats.failed++;
		fprintf(stderr, "%s: no answer: %s\n", shot->id,
			error->message);
		g_clear_error(&error);
	}
	shot->load->open--;
	g_object_unref(shot->msg);
	g_free(shot->id);
	g_free(shot);
}

#define LOAD_BURST_MAX 16 /* requests in one iteration of the main loop */

static void load_send(struct tb_load *load)
{
	struct testbed *tb = load->tb;
	struct tb_proc *entry =
		testbed_entry(tb, load->stats.sent % tb->entries->len);
	const char *http = tb_proc_http(entry);
	struct tb_load_request *shot;
	SoupMessageHeaders *headers;
	char number[16];
	GBytes *body;
	char *url;

	load->stats.sent++;
	if (!entry->pid || !http[0]) {
		load->stats.failed++;
		return;
	}
	shot = g_new0(struct tb_load_request, 1);
	url = g_strdup_printf("http://%s%s", http, load->path);
	shot->load = load;
	shot->id = g_strdup_printf("%s-%u", load->prefix, load->stats.sent);
	shot->sent_us = g_get_monotonic_time();
	shot->msg = soup_message_new("POST", url);
	headers = soup_message_get_request_headers(shot->msg);
	/* libsoup never reuses a connection for POST; open ones would count
	 * against the session's limit of connections. */
	soup_message_headers_append(headers, "Connection", "close");
	body = g_bytes_new(shot->id, strlen(shot->id));
	soup_message_set_request_body_from_bytes(shot->msg, "text/plain", body);
	g_snprintf(number, sizeof(number), "%u", load->opts.deadline_ms);
	if (load->opts.deadline_ms)
		soup_message_headers_append(headers, "Masticreach-Deadline-Ms",
					    number);
	soup_message_headers_append(headers, "Masticreach-Repeatable",
				    load->opts.once ? "no" : "yes");
	if (load->opts.once) {
		soup_message_headers_append(headers, "Idempotency-Key",
					    shot->id);
		testbed_note(tb, "ev=once id=%s", shot->id);
	}
	load->open++;
	soup_session_send_and_read_async(tb->session, shot->msg,
					 G_PRIORITY_DEFAULT, NULL,
					 load_request_done, shot);
	g_bytes_unref(body);
	g_free(url);
}

/*
 * Sends a bounded burst, so that answers are handled in between: libsoup walks
 * over all open requests for each new one, so on a busy machine requests can
 * become due faster than they are sent, and an unbounded loop would not end.
 */
static gboolean load_tick(gpointer data)
{
	struct tb_load *load = data;
	uint64_t due = (uint64_t)(g_get_monotonic_time() - load->began_us) *
		       load->opts.per_second / 1000000;

	for (uint32_t i = 0; i < LOAD_BURST_MAX && load->stats.sent < due; i++)
		load_send(load);
	return G_SOURCE_CONTINUE;
}

struct tb_load *tb_load_start(struct testbed *tb,
			      const struct tb_load_opts *opts)
{
	struct tb_load *load = g_new0(struct tb_load, 1);
	char *service = g_uri_escape_string(opts->service, NULL, FALSE);

	load->tb = tb;
	load->opts = *opts;
	load->prefix = g_strdup(opts->prefix ? opts->prefix : "r");
	load->path = g_strdup_printf("/%s/estimate", service);
	load->began_us = g_get_monotonic_time();
	load->times_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	load->tick = g_timeout_add(1, load_tick, load);
	g_free(service);
	return load;
}

struct tb_closed_loop {
	struct testbed *tb;
	char *url;
	GArray *times_us;
	struct tb_load_stats stats;
	uint32_t open;
	uint32_t nr_unsent;
	gint64 end_us;
};

struct tb_closed_request {
	struct tb_closed_loop *closed;
	SoupMessage *msg;
	gint64 sent_us;
};

static void closed_send(struct tb_closed_loop *closed);

static void closed_answered(GObject *session, GAsyncResult *res, gpointer data)
{
	struct tb_closed_request *turn = data;
	struct tb_closed_loop *closed = turn->closed;
	uint32_t took_us = (uint32_t)(g_get_monotonic_time() - turn->sent_us);
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session),
							 res, NULL);

	if (body && soup_message_get_status(turn->msg) == 200) {
		closed->stats.answered++;
		g_array_append_val(closed->times_us, took_us);
	} else {
		closed->stats.failed++;
	}
	g_clear_pointer(&body, g_bytes_unref);
	g_object_unref(turn->msg);
	g_free(turn);
	closed->open--;
	closed_send(closed);
}

static void closed_send(struct tb_closed_loop *closed)
{
	struct tb_closed_request *turn;

	if (!closed->nr_unsent || g_get_monotonic_time() >= closed->end_us)
		return;
	closed->nr_unsent--;
	closed->open++;
	closed->stats.sent++;
	turn = g_new0(struct tb_closed_request, 1);
	turn->closed = closed;
	turn->msg = soup_message_new("GET", closed->url);
	turn->sent_us = g_get_monotonic_time();
	soup_session_send_and_read_async(closed->tb->session, turn->msg,
					 G_PRIORITY_DEFAULT, NULL,
					 closed_answered, turn);
}

static gint time_compare(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void stats_times(struct tb_load_stats *stats, GArray *times)
{
	g_array_sort(times, time_compare);
	if (!times->len)
		return;
	stats->p50_us = g_array_index(times, uint32_t, times->len / 2);
	stats->p99_us = g_array_index(times, uint32_t, times->len * 99 / 100);
	stats->max_us = g_array_index(times, uint32_t, times->len - 1);
}

struct tb_load_stats tb_load_closed_loop(struct testbed *tb, const char *http,
					 const char *path, uint32_t nr_open,
					 uint32_t nr_requests,
					 uint32_t duration_ms)
{
	struct tb_closed_loop closed = {
		.tb = tb,
		.url = g_strdup_printf("http://%s%s", http, path),
		.times_us = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.nr_unsent = nr_requests ? nr_requests : UINT32_MAX,
		.end_us = duration_ms ? g_get_monotonic_time() +
						(gint64)duration_ms * 1000 :
					G_MAXINT64,
	};

	for (uint32_t i = 0; i < nr_open; i++)
		closed_send(&closed);
	while (closed.open)
		g_main_context_iteration(NULL, TRUE);
	stats_times(&closed.stats, closed.times_us);
	g_array_unref(closed.times_us);
	g_free(closed.url);
	return closed.stats;
}

struct tb_load_stats tb_load_stop(struct tb_load *load)
{
	struct tb_load_stats stats;

	g_source_remove(load->tick);
	while (load->open)
		g_main_context_iteration(NULL, TRUE);
	stats = load->stats;
	stats_times(&stats, load->times_us);
	g_array_unref(load->times_us);
	g_free(load->prefix);
	g_free(load->path);
	g_free(load);
	return stats;
}
