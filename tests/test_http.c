/**
 * @file test_http.c
 * Tests the daemon's HTTP server and its calls to upstreams against raw sockets
 * in this process.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"
#include "http_call.h"
#include "schema.h"
#include "suite.h"

#define WAIT_MS 5000 /* a test that waits this long fails */

/* ---- a scripted server: one thread, one script for each connection ---- */

enum step {
	STEP_END = 0,
	STEP_READ, /* reads one request */
	STEP_ANSWER, /* sends a complete response */
	STEP_PART, /* sends the first part of a response */
	STEP_CHUNKS, /* sends a complete response in chunks */
	STEP_CHUNK, /* sends all of its chunks but the last */
	STEP_CLOSING_CHUNK, /* as STEP_CHUNK, with Connection: close */
	STEP_UNTIL_CLOSED, /* sends a response that ends with the connection */
	STEP_EMPTY, /* sends a response without a body */
	STEP_BIG, /* sends a body above the caller's limit */
	STEP_MISDIRECTED, /* sends a response with status 421 */
	STEP_SILENT, /* sends nothing until the caller closes */
};

#define MAX_STEPS 8
#define MAX_CONNS 4

struct peer {
	int fd;
	char address[ADDRESS_BYTES];
	enum step scripts[MAX_CONNS][MAX_STEPS];
	volatile gint nr_requests;
	GThread *thread;
};

static void peer_send(int fd, const char *text)
{
	ck_assert_int_ge(send(fd, text, strlen(text), MSG_NOSIGNAL), 0);
}

/* Reads up to the blank line; the tests send no request bodies. */
static bool peer_read(int fd)
{
	char text[4096] = "";
	size_t size = 0;
	ssize_t got;

	while (!strstr(text, "\r\n\r\n")) {
		got = recv(fd, text + size, sizeof(text) - 1 - size, 0);
		if (got <= 0)
			return false;
		size += (size_t)got;
		text[size] = '\0';
	}
	return true;
}

static void peer_step(struct peer *peer, int fd, enum step step)
{
	char byte;

	switch (step) {
	case STEP_READ:
		if (peer_read(fd))
			g_atomic_int_inc(&peer->nr_requests);
		break;
	case STEP_ANSWER:
		peer_send(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n"
			      "Content-Type: text/x-note\r\n\r\nhello");
		break;
	case STEP_PART:
		peer_send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
			      "half");
		break;
	case STEP_CHUNKS:
	case STEP_CHUNK:
		peer_send(fd, "HTTP/1.1 404 Not Found\r\n"
			      "Content-Type: text/x-note\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "5\r\nhello\r\n");
		if (step == STEP_CHUNKS)
			peer_send(fd, "0\r\n\r\n");
		break;
	case STEP_CLOSING_CHUNK:
		peer_send(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "5\r\nhello\r\n");
		break;
	case STEP_UNTIL_CLOSED:
		peer_send(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
			      "perhaps whole");
		break;
	case STEP_EMPTY:
		peer_send(fd, "HTTP/1.1 204 No Content\r\n\r\n");
		break;
	case STEP_BIG:
		peer_send(fd,
			  "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
		for (int i = 0; i < 500; i++)
			if (send(fd, "0123456789", 10, MSG_NOSIGNAL) < 0)
				break;
		break;
	case STEP_MISDIRECTED:
		peer_send(fd, "HTTP/1.1 421 Misdirected Request\r\n"
			      "Content-Length: 0\r\n\r\n");
		break;
	case STEP_SILENT:
		while (recv(fd, &byte, 1, 0) > 0)
			;
		break;
	case STEP_END:
		break;
	}
}

static gpointer peer_run(gpointer data)
{
	struct peer *peer = data;

	for (int c = 0; c < MAX_CONNS; c++) {
		int fd = accept(peer->fd, NULL, NULL);

		if (fd < 0)
			break;
		for (int i = 0; i < MAX_STEPS; i++)
			peer_step(peer, fd, peer->scripts[c][i]);
		close(fd);
	}
	return NULL;
}

static void peer_open(struct peer *peer)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	peer->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(peer->fd, (struct sockaddr *)&in, sizeof(in)), 0);
	ck_assert_int_eq(getsockname(peer->fd, (struct sockaddr *)&in, &size),
			 0);
	g_snprintf(peer->address, ADDRESS_BYTES, "127.0.0.1:%u",
		   ntohs(in.sin_port));
}

static void peer_start(struct peer *peer)
{
	peer_open(peer);
	ck_assert_int_eq(listen(peer->fd, 16), 0);
	peer->thread = g_thread_new("peer", peer_run, peer);
}

static void peer_stop(struct peer *peer)
{
	shutdown(peer->fd, SHUT_RDWR);
	close(peer->fd);
	if (peer->thread)
		g_thread_join(peer->thread);
}

/* ---- calls ---- */

struct outcome {
	bool done;
	struct upstream_result result;
	char body[64];
};

static void call_done(void *ctx, struct http_call *call,
		      const struct upstream_result *result)
{
	struct outcome *outcome = ctx;
	gsize size;
	const char *data = g_bytes_get_data(result->body, &size);

	ck_assert(!outcome->done);
	outcome->done = true;
	outcome->result = *result;
	if (size && size < sizeof(outcome->body))
		memcpy(outcome->body, data, size);
}

static gboolean wait_expired(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the loop until the flag is set; fails the test after WAIT_MS. */
static void wait_for(const bool *flag)
{
	bool over = false;
	guint timer = g_timeout_add(WAIT_MS, wait_expired, &over);

	while (!*flag && !over)
		g_main_context_iteration(NULL, TRUE);
	ck_assert(*flag);
	if (!over)
		g_source_remove(timer);
}

static struct http_call_opts
call_opts(struct outcome *outcome, SoupSession *session, const char *address)
{
	struct http_call_opts opts = { 0 };

	memset(outcome, 0, sizeof(*outcome));
	opts.session = session;
	opts.method = "PUT";
	opts.address = address;
	opts.path = "/a%2Fb?c=%20d";
	opts.timeout_ms = WAIT_MS * 2;
	opts.max_bytes = 1000;
	opts.done = call_done;
	opts.ctx = outcome;
	return opts;
}

static void run_call(struct outcome *outcome, SoupSession *session,
		     const char *address, bool once)
{
	struct http_call_opts opts = call_opts(outcome, session, address);

	opts.once = once;
	http_call_new(&opts);
	wait_for(&outcome->done);
}

struct call_case {
	const char *name;
	enum step script[MAX_STEPS];
	bool complete;
	guint status;
};

/* Guards against incomplete or changed responses reported as complete. */
START_TEST(test_call_outcomes)
{
	static const struct call_case cases[] = {
		{ "complete", { STEP_READ, STEP_ANSWER }, true, 404 },
		{ "chunks",
		  { STEP_READ, STEP_CHUNKS, STEP_SILENT },
		  true,
		  404 },
		{ "half of the chunks", { STEP_READ, STEP_CHUNK }, false },
		{ "half, closing", { STEP_READ, STEP_CLOSING_CHUNK }, false },
		{ "no length", { STEP_READ, STEP_UNTIL_CLOSED }, false },
		{ "no body", { STEP_READ, STEP_EMPTY }, true, 204 },
		{ "closed unread", { STEP_END }, false },
		{ "closed before the response", { STEP_READ }, false },
		{ "half of a response", { STEP_READ, STEP_PART }, false },
		{ "too large", { STEP_READ, STEP_BIG }, false },
		{ "misdirected", { STEP_READ, STEP_MISDIRECTED }, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		SoupSession *session = http_call_session(64);
		struct peer peer = { 0 };
		struct outcome outcome;

		for (int c = 0; c < MAX_CONNS; c++)
			memcpy(peer.scripts[c], cases[i].script,
			       sizeof(cases[i].script));
		peer_start(&peer);
		run_call(&outcome, session, peer.address, true);
		ck_assert_msg(outcome.result.complete == cases[i].complete,
			      "%s", cases[i].name);
		ck_assert_msg(outcome.result.connected, "%s", cases[i].name);
		ck_assert_msg(peer.nr_requests <= 1, "%s", cases[i].name);
		ck_assert_uint_eq(outcome.result.status, cases[i].status);
		if (cases[i].status == 404) {
			ck_assert_str_eq(outcome.result.content_type,
					 "text/x-note");
			ck_assert_str_eq(outcome.body, "hello");
		}
		g_object_unref(session);
		peer_stop(&peer);
	}
}
END_TEST

/* Guards against a refused connection that counts as an unknown outcome. */
START_TEST(test_refused_connection_is_not_sent)
{
	SoupSession *session = http_call_session(64);
	struct peer peer = { 0 };
	struct outcome outcome;

	peer_open(&peer); /* bound, so no other process gets the port */
	run_call(&outcome, session, peer.address, true);
	ck_assert(!outcome.result.connected);
	ck_assert(outcome.result.refused);
	ck_assert(!outcome.result.complete);
	run_call(&outcome, session, "not an address", true);
	ck_assert(!outcome.result.connected);
	/* No server has refused a connection. */
	ck_assert(!outcome.result.refused);
	g_object_unref(session);
	peer_stop(&peer);
}
END_TEST

/*
 * Guards against a request that is sent a second time after the reused
 * connection was closed. The same sequence with a repeatable request shows that
 * the test detects a second attempt.
 */
START_TEST(test_no_second_run)
{
	for (int once = 0; once < 2; once++) {
		SoupSession *session = http_call_session(64);
		struct peer peer = { .scripts = {
					     { STEP_READ, STEP_ANSWER,
					       STEP_READ },
					     { STEP_READ, STEP_ANSWER },
				     } };
		struct outcome outcome;

		if (once) {
			peer.scripts[0][2] = STEP_END;
			peer.scripts[1][1] = STEP_END;
		}
		peer_start(&peer);
		run_call(&outcome, session, peer.address, once);
		ck_assert(outcome.result.complete);
		run_call(&outcome, session, peer.address, once);
		ck_assert_int_eq(outcome.result.complete, !once);
		ck_assert(outcome.result.connected);
		ck_assert_int_eq(outcome.result.resent, !once);
		ck_assert_int_eq(g_atomic_int_get(&peer.nr_requests),
				 once ? 2 : 3);
		g_object_unref(session);
		peer_stop(&peer);
	}
}
END_TEST

/*
 * Guards against a crash or a call that never ends when a delayed main loop
 * reuses a connection whose idle timeout has expired (issue 20).
 */
START_TEST(test_reuse_after_idle_time)
{
	for (int held_up_first = 0; held_up_first < 2; held_up_first++) {
		SoupSession *session = http_call_session(64);
		struct peer peer = { .scripts = {
					     { STEP_READ, STEP_ANSWER,
					       STEP_READ },
					     { STEP_READ, STEP_ANSWER,
					       STEP_SILENT },
				     } };
		struct outcome outcome;
		struct http_call_opts opts;

		g_object_set(session, "idle-timeout", 1, NULL);
		peer_start(&peer);
		run_call(&outcome, session, peer.address, false);
		ck_assert(outcome.result.complete);
		while (g_main_context_iteration(NULL, FALSE))
			;
		opts = call_opts(&outcome, session, peer.address);
		opts.body = g_bytes_new_static("body", 4);
		if (held_up_first)
			g_usleep(1100000);
		http_call_new(&opts);
		if (!held_up_first)
			g_usleep(1100000);
		wait_for(&outcome.done);
		ck_assert(outcome.result.connected);
		ck_assert(outcome.result.complete);
		/* Nothing was written on the connection that had expired. */
		ck_assert(!outcome.result.resent);
		ck_assert_int_eq(g_atomic_int_get(&peer.nr_requests), 2);
		g_bytes_unref(opts.body);
		g_object_unref(session);
		peer_stop(&peer);
	}
}
END_TEST

/* Guards against a server that never responds and occupies a slot for ever. */
START_TEST(test_silent_upstream_times_out)
{
	SoupSession *session = http_call_session(64);
	struct peer peer = { .scripts = { { STEP_READ, STEP_SILENT } } };
	struct outcome outcome;
	struct http_call_opts opts;
	struct http_call *call;

	peer_start(&peer);
	opts = call_opts(&outcome, session, peer.address);
	opts.timeout_ms = 50;
	http_call_new(&opts);
	wait_for(&outcome.done);
	ck_assert(outcome.result.connected);
	ck_assert(!outcome.result.complete);

	/* A call that is cancelled before it was sent also ends. */
	opts = call_opts(&outcome, session, peer.address);
	call = http_call_new(&opts);
	http_call_cancel(call);
	wait_for(&outcome.done);
	ck_assert(!outcome.result.connected);
	ck_assert(!outcome.result.refused);
	g_object_unref(session);
	peer_stop(&peer);
}
END_TEST

/*
 * Guards against a call that waits past its time limit for the rest of a
 * response. A worker's lease was not renewed any more because of such a call
 * (hunt-b2b8-35).
 */
START_TEST(test_stalled_response_times_out)
{
	static const enum step parts[] = { STEP_PART, STEP_CHUNK,
					   STEP_CLOSING_CHUNK };

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		SoupSession *session = http_call_session(64);
		struct peer peer = {
			.scripts = { { STEP_READ, parts[i], STEP_SILENT },
				     { STEP_READ, STEP_ANSWER } }
		};
		struct outcome outcome;
		struct http_call_opts opts;

		peer_start(&peer);
		opts = call_opts(&outcome, session, peer.address);
		opts.timeout_ms = 50;
		http_call_new(&opts);
		wait_for(&outcome.done);
		ck_assert(outcome.result.connected);
		ck_assert(!outcome.result.complete);
		/* The session uses another connection for the next call. */
		run_call(&outcome, session, peer.address, false);
		ck_assert(outcome.result.complete);
		g_object_unref(session);
		peer_stop(&peer);
	}
}
END_TEST

/* ---- server ---- */

struct test_server {
	struct http_server *http;
	uint64_t last_ticket; /* of the latest request to /wait */
	uint32_t nr_requests;
	bool gone; /* a caller has disconnected */
	uint64_t gone_ticket;
	bool requested; /* a request has arrived */
};

/* Requests to /wait are answered later, by the test. */
static void server_request(void *ctx, struct http_request *request)
{
	struct test_server *server = ctx;

	server->nr_requests++;
	server->requested = true;
	if (!strcmp(request->path, "/wait"))
		server->last_ticket = request->ticket;
	else
		http_respond(request, 200, "text/x-note", request->body);
}

static void server_gone(void *ctx, uint64_t ticket)
{
	struct test_server *server = ctx;

	ck_assert(!server->gone);
	server->gone = true;
	server->gone_ticket = ticket;
}

static bool server_ready(void *ctx)
{
	return true;
}

static void server_metrics(void *ctx, GString *out)
{
	g_string_append(out, "masticreach_test 1\n");
}

static const struct http_server_ops server_ops = {
	.request = server_request,
	.gone = server_gone,
	.ready = server_ready,
	.metrics = server_metrics,
};

static void server_open(struct test_server *server, uint32_t max_connections)
{
	struct http_server_opts opts = { 0 };

	memset(server, 0, sizeof(*server));
	opts.address = "127.0.0.1:0";
	opts.max_connections = max_connections;
	opts.ops = &server_ops;
	opts.ctx = server;
	ck_assert_int_eq(http_server_new(&opts, &server->http), RESULT_OK);
}

static struct sockaddr_in server_sockaddr(const struct test_server *server)
{
	const char *address = http_server_address(server->http);
	struct sockaddr_in in = { .sin_family = AF_INET };

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	in.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	return in;
}

static int server_connect(const struct test_server *server)
{
	struct sockaddr_in in = server_sockaddr(server);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	return fd;
}

/* Runs the loop until the response in @a text contains @a part. */
static void expect_response(int fd, char *text, size_t capacity,
			    const char *part)
{
	bool over = false;
	guint timer = g_timeout_add(WAIT_MS, wait_expired, &over);
	size_t size = 0;
	ssize_t got;

	text[0] = '\0';
	while (!over && !strstr(text, part)) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		got = recv(fd, text + size, capacity - 1 - size, MSG_DONTWAIT);
		if (got > 0) {
			size += (size_t)got;
			text[size] = '\0';
		} else {
			g_usleep(1000);
		}
	}
	ck_assert_msg(!over, "no \"%s\" in: %s", part, text);
	g_source_remove(timer);
}

/* Guards against unlimited bodies, and refusals without a problem document. */
START_TEST(test_body_limit)
{
	static char chunk[65536];
	char text[4096];
	struct test_server server;
	GString *send_buffer = g_string_new(NULL);
	int fd;

	server_open(&server, 16);
	fd = server_connect(&server);
	peer_send(fd, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: "
		      "8388609\r\n\r\n");
	g_string_append_printf(send_buffer, "%x\r\n", (guint)sizeof(chunk));
	for (size_t sent = 0; sent < 8388609;) {
		size_t part = MIN(sizeof(chunk), 8388609 - sent);
		ssize_t got =
			send(fd, chunk, part, MSG_DONTWAIT | MSG_NOSIGNAL);

		if (got > 0)
			sent += (size_t)got;
		while (g_main_context_iteration(NULL, FALSE))
			;
	}
	expect_response(fd, text, sizeof(text), "\"not_run\":true");
	ck_assert(strstr(text, "HTTP/1.1 413 ") != NULL);
	ck_assert(strstr(text, "\"code\":5,") != NULL);
	ck_assert(strstr(text, "application/problem+json") != NULL);
	close(fd);

	/* Chunked, so the size isn't known in advance. */
	fd = server_connect(&server);
	peer_send(fd, "POST /x HTTP/1.1\r\nHost: x\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t i = 0; i < 130; i++) {
		size_t sent = 0;

		peer_send(fd, send_buffer->str);
		while (sent < sizeof(chunk)) {
			ssize_t got = send(fd, chunk + sent,
					   sizeof(chunk) - sent,
					   MSG_DONTWAIT | MSG_NOSIGNAL);

			if (got > 0)
				sent += (size_t)got;
			while (g_main_context_iteration(NULL, FALSE))
				;
		}
		peer_send(fd, "\r\n");
	}
	peer_send(fd, "0\r\n\r\n");
	expect_response(fd, text, sizeof(text), "\"not_run\":true");
	ck_assert(strstr(text, "HTTP/1.1 413 ") != NULL);
	ck_assert_uint_eq(server.nr_requests, 0);
	close(fd);
	g_string_free(send_buffer, TRUE);
	http_server_free(server.http);
}
END_TEST

/* Guards against work for callers that have disconnected. */
START_TEST(test_caller_disconnects)
{
	struct test_server server;
	int fd;

	server_open(&server, 16);
	fd = server_connect(&server);
	peer_send(fd, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
	wait_for(&server.requested);
	ck_assert_ptr_nonnull(http_find(server.http, server.last_ticket));
	close(fd);
	wait_for(&server.gone);
	ck_assert_uint_eq(server.gone_ticket, server.last_ticket);
	ck_assert_ptr_null(http_find(server.http, server.last_ticket));
	ck_assert_uint_eq(http_server_stats(server.http).requests, 1);
	ck_assert_uint_eq(http_server_stats(server.http).unanswered, 1);
	ck_assert_uint_eq(http_server_stats(server.http).open, 0);
	for (int i = 0; i < 1000 && !http_server_idle(server.http); i++)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(1000);
	ck_assert(http_server_idle(server.http));
	http_server_free(server.http);
}
END_TEST

/* Guards against connections that stay open after the caller disconnected. */
START_TEST(test_no_connection_is_leaked)
{
	static const char *const last[] = {
		"",
		"GET /x HTT",
		"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\npart",
		"no request at all\r\n\r\n",
	};
	char text[4096];
	struct test_server server;

	server_open(&server, 64);
	for (size_t i = 0; i < 10 * G_N_ELEMENTS(last); i++) {
		int fd = server_connect(&server);

		for (int request = 0; request < 2; request++) {
			peer_send(fd, "PUT /echo HTTP/1.1\r\nHost: x\r\n"
				      "Content-Length: 2\r\n\r\nhi");
			expect_response(fd, text, sizeof(text), "\r\n\r\nhi");
		}
		peer_send(fd, last[i % G_N_ELEMENTS(last)]);
		close(fd);
	}
	ck_assert_uint_eq(server.nr_requests, 20 * G_N_ELEMENTS(last));
	for (int i = 0; i < 3000 && http_server_connections(server.http); i++)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(1000);
	ck_assert_uint_eq(http_server_connections(server.http), 0);
	http_server_free(server.http);
}
END_TEST

/* Guards against a second request on a connection that gets no response. */
START_TEST(test_pipelined_request_closes)
{
	char text[8192];
	struct test_server server;
	char byte;
	int fd;

	server_open(&server, 64);
	fd = server_connect(&server);
	peer_send(fd, "PUT /echo HTTP/1.1\r\nHost: x\r\n"
		      "Content-Length: 2\r\n\r\nhi"
		      "PUT /echo HTTP/1.1\r\nHost: x\r\n"
		      "Content-Length: 2\r\n\r\nho");
	expect_response(fd, text, sizeof(text), "\r\n\r\nhi");
	for (int i = 0; i < 3000 && http_server_connections(server.http); i++)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(1000);
	ck_assert_int_le(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
	ck_assert_uint_eq(server.nr_requests, 1);
	close(fd);
	http_server_free(server.http);
}
END_TEST

/* Guards against a late response that is sent for the wrong request. */
START_TEST(test_late_answers_by_ticket)
{
	char text[4096];
	struct test_server server;
	GBytes *first = g_bytes_new("first", 5);
	uint64_t tickets[2];
	int fds[2];

	server_open(&server, 16);
	for (int i = 0; i < 2; i++) {
		fds[i] = server_connect(&server);
		server.requested = false;
		peer_send(fds[i], "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
		wait_for(&server.requested);
		tickets[i] = server.last_ticket;
	}
	http_respond_text(http_find(server.http, tickets[1]), 201, "a/b",
			  "second");
	ck_assert_ptr_null(http_find(server.http, tickets[1]));
	expect_response(fds[1], text, sizeof(text), "\r\n\r\nsecond");
	ck_assert(strstr(text, "HTTP/1.1 201 ") != NULL);
	http_respond(http_find(server.http, tickets[0]), 200, "a/b", first);
	expect_response(fds[0], text, sizeof(text), "\r\n\r\nfirst");
	g_bytes_unref(first);
	close(fds[0]);
	close(fds[1]);
	http_server_free(server.http);
}
END_TEST

/* Guards against an unlimited number of connections. */
START_TEST(test_connection_limit)
{
	char text[4096];
	struct test_server server;
	int fds[3];

	server_open(&server, 2);
	for (int i = 0; i < 3; i++) {
		fds[i] = server_connect(&server);
		peer_send(fds[i], "PUT /echo HTTP/1.1\r\nHost: x\r\n"
				  "Content-Length: 2\r\n\r\nhi");
	}
	expect_response(fds[0], text, sizeof(text), "\r\n\r\nhi");
	expect_response(fds[1], text, sizeof(text), "\r\n\r\nhi");
	for (int i = 0; i < 50; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	ck_assert_uint_eq(server.nr_requests, 2);
	close(fds[0]);
	expect_response(fds[2], text, sizeof(text), "\r\n\r\nhi");
	close(fds[1]);
	close(fds[2]);
	http_server_free(server.http);
}
END_TEST

/*
 * Guards against an accept queue that is too short for a burst of callers: the
 * kernel then drops connection requests, which are retried after 1 s, or resets
 * the connections. The loop doesn't run here, as if it were handling other
 * events.
 */
START_TEST(test_burst_of_connects)
{
	struct pollfd fds[200];
	struct sockaddr_in address;
	struct test_server server;

	server_open(&server, 1000);
	address = server_sockaddr(&server);
	for (int i = 0; i < 200; i++) {
		fds[i].fd = socket(
			AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		fds[i].events = POLLOUT;
		ck_assert(!connect(fds[i].fd, (struct sockaddr *)&address,
				   sizeof(address)) ||
			  errno == EINPROGRESS);
	}
	for (int i = 0; i < 200; i++) {
		ck_assert_int_eq(poll(&fds[i], 1, WAIT_MS), 1);
		ck_assert_int_eq(fds[i].revents, POLLOUT);
	}
	/* A dropped connect shows only as a missing connection. */
	for (int i = 0; i < 2000 && http_server_connections(server.http) < 200;
	     i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	ck_assert_uint_eq(http_server_connections(server.http), 200);
	for (int i = 0; i < 200; i++)
		close(fds[i].fd);
	http_server_free(server.http);
}
END_TEST

/* Guards against a graceful shutdown that aborts requests in progress. */
START_TEST(test_stop_finishes_requests)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	char text[4096];
	struct test_server server;
	int kept;
	int fd;

	server_open(&server, 16);
	kept = server_connect(&server);
	peer_send(kept, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
	expect_response(kept, text, sizeof(text), "\r\n\r\nready");
	fd = server_connect(&server);
	peer_send(fd, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
	wait_for(&server.requested);
	http_server_stop(server.http);
	ck_assert(!http_server_idle(server.http));

	/* New connections are refused. */
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	in.sin_port = htons((uint16_t)atoi(
		strchr(http_server_address(server.http), ':') + 1));
	{
		int late = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		ck_assert_int_ne(
			connect(late, (struct sockaddr *)&in, sizeof(in)), 0);
		close(late);
	}
	/* New requests on open connections are refused as not run. */
	peer_send(kept, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
	expect_response(kept, text, sizeof(text), "\"not_run\":true");
	ck_assert(strstr(text, "Connection: close") != NULL);
	ck_assert(strstr(text, "Retry-After: ") != NULL);

	http_respond_text(http_find(server.http, server.last_ticket), 200,
			  "a/b", "whole");
	expect_response(fd, text, sizeof(text), "\r\n\r\nwhole");
	for (int i = 0; i < 1000 && !http_server_idle(server.http); i++)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(1000);
	ck_assert_uint_eq(http_server_stats(server.http).unanswered, 0);
	ck_assert_uint_eq(http_server_stats(server.http).cut, 0);
	ck_assert(http_server_idle(server.http));
	close(fd);
	close(kept);
	http_server_free(server.http);
}
END_TEST

SUITE_MAIN("http", test_call_outcomes, test_refused_connection_is_not_sent,
	   test_no_second_run, test_reuse_after_idle_time,
	   test_silent_upstream_times_out, test_stalled_response_times_out,
	   test_body_limit, test_caller_disconnects,
	   test_late_answers_by_ticket, test_no_connection_is_leaked,
	   test_pipelined_request_closes, test_connection_limit,
	   test_burst_of_connects, test_stop_finishes_requests)
