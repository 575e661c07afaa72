#include "soak_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536

struct soak_conn {
	int fd;
	bool connected;
	bool broken; /* failed, or the server asked to close it */
	guint watch; /* source of the socket, 0: none */
	guint timeout; /* source of the time limit, 0: none */
	GString *out; /* unsent bytes */
	GString *in; /* received bytes of the current answer */
	soak_conn_done *done; /* NULL: no request in progress */
	void *ctx;
	int64_t sent_ms;
	bool freed; /* soak_conn_free() was called by the callback */
	bool calling; /* the callback runs */
};

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void conn_unwatch(struct soak_conn *conn)
{
	if (conn->watch)
		g_source_remove(conn->watch);
	conn->watch = 0;
}

static void conn_delete(struct soak_conn *conn)
{
	conn_unwatch(conn);
	if (conn->timeout)
		g_source_remove(conn->timeout);
	if (conn->fd >= 0)
		close(conn->fd);
	g_string_free(conn->out, TRUE);
	g_string_free(conn->in, TRUE);
	g_free(conn);
}

static void conn_finish(struct soak_conn *conn, struct soak_answer *answer)
{
	soak_conn_done *done = conn->done;

	conn_unwatch(conn);
	if (conn->timeout)
		g_source_remove(conn->timeout);
	conn->timeout = 0;
	conn->done = NULL;
	if (answer->outcome != CONN_ANSWERED)
		conn->broken = true;
	if (!answer->text)
		answer->text = "";
	answer->sent_ms = conn->sent_ms;
	answer->ended_ms = now_ms();
	conn->calling = true;
	done(conn->ctx, answer);
	conn->calling = false;
	if (conn->freed)
		conn_delete(conn);
}

static void conn_end(struct soak_conn *conn, enum soak_outcome outcome)
{
	struct soak_answer answer = { .outcome = outcome };

	conn_finish(conn, &answer);
}

static gboolean conn_timed_out(gpointer data)
{
	struct soak_conn *conn = data;

	conn->timeout = 0;
	conn_end(conn, conn->connected ? CONN_TIMED_OUT : CONN_NOT_SENT);
	return G_SOURCE_REMOVE;
}

/* Returns a copy of a header's value, NULL if there is none. */
static char *header_copy(const char *head, const char *name)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	size_t len = strlen(name);
	char *value = NULL;

	for (char **l = lines; *l && !value; l++)
		if (!g_ascii_strncasecmp(*l, name, len) && (*l)[len] == ':')
			value = g_strdup(g_strstrip(*l + len + 1));
	g_strfreev(lines);
	return value;
}

/* Passes the response to the caller and returns true once it is complete. */
static bool conn_parse(struct soak_conn *conn)
{
	const char *end = strstr(conn->in->str, "\r\n\r\n");
	struct soak_answer answer = { .outcome = CONN_ANSWERED };
	char *head;
	char *length;
	char *location;
	char *retry_after;
	char *closing;
	char *text;
	size_t size;
	size_t at;

	if (!end)
		return false;
	at = (size_t)(end - conn->in->str) + 4;
	head = g_strndup(conn->in->str, at);
	length = header_copy(head, "Content-Length");
	size = length ? strtoul(length, NULL, 10) : 0;
	g_free(length);
	if (conn->in->len < at + size) {
		g_free(head);
		return false;
	}
	location = header_copy(head, "Location");
	retry_after = header_copy(head, "Retry-After");
	closing = header_copy(head, "Connection");
	if (closing && !g_ascii_strcasecmp(closing, "close"))
		conn->broken = true;
	text = g_strndup(conn->in->str + at, size);
	answer.status = (uint32_t)strtoul(head + strlen("HTTP/1.1 "), NULL, 10);
	answer.text = text;
	answer.location = location;
	answer.retry_after = retry_after;
	g_free(head);
	g_string_truncate(conn->in, 0);
	conn_finish(conn, &answer);
	g_free(text);
	g_free(location);
	g_free(retry_after);
	g_free(closing);
	return true;
}

/*
 * Returns how the peer closed the connection. If a reset followed the end of
 * the stream, the socket has a pending error.
 */
static enum soak_outcome conn_close_outcome(const struct soak_conn *conn)
{
	int error = 0;
	socklen_t size = sizeof(error);

	getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	return error ? CONN_RESET : CONN_CLOSED;
}

static gboolean conn_readable(gint fd, GIOCondition condition, gpointer data)
{
	struct soak_conn *conn = data;
	char bytes[READ_BYTES];
	ssize_t got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return G_SOURCE_CONTINUE;
	if (got > 0) {
		g_string_append_len(conn->in, bytes, got);
		return conn_parse(conn) ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
	}
	conn_end(conn, got ? CONN_RESET : conn_close_outcome(conn));
	return G_SOURCE_REMOVE;
}

static void conn_watch(struct soak_conn *conn, GIOCondition condition,
		       GUnixFDSourceFunc fn)
{
	conn_unwatch(conn);
	conn->watch = g_unix_fd_add(conn->fd, condition, fn, conn);
}

static gboolean conn_writable(gint fd, GIOCondition condition, gpointer data)
{
	struct soak_conn *conn = data;
	int error = 0;
	socklen_t size = sizeof(error);
	ssize_t put;
	char byte;

	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		conn_end(conn, conn->connected ? CONN_RESET : CONN_NOT_SENT);
		return G_SOURCE_REMOVE;
	}
	conn->connected = true;
	/* The peer closed the connection before the request was sent. */
	if (!recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT)) {
		conn_end(conn, CONN_NOT_SENT);
		return G_SOURCE_REMOVE;
	}
	put = send(fd, conn->out->str, conn->out->len,
		   MSG_DONTWAIT | MSG_NOSIGNAL);
	if (put < 0 && (errno == EAGAIN || errno == EINTR))
		return G_SOURCE_CONTINUE;
	if (put < 0) {
		conn_end(conn, CONN_RESET);
		return G_SOURCE_REMOVE;
	}
	g_string_erase(conn->out, 0, put);
	if (conn->out->len)
		return G_SOURCE_CONTINUE;
	conn->sent_ms = now_ms();
	conn_watch(conn, G_IO_IN | G_IO_HUP | G_IO_ERR, conn_readable);
	return G_SOURCE_REMOVE;
}

struct soak_conn *soak_conn_new(const char *address)
{
	struct soak_conn *conn = g_new0(struct soak_conn, 1);
	struct sockaddr_in to = { .sin_family = AF_INET };
	char **parts = g_strsplit(address, ":", 2);

	conn->out = g_string_new(NULL);
	conn->in = g_string_new(NULL);
	conn->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert(conn->fd >= 0);
	if (parts[0] && parts[1]) {
		inet_pton(AF_INET, parts[0], &to.sin_addr);
		to.sin_port = htons((uint16_t)strtoul(parts[1], NULL, 10));
	}
	if (connect(conn->fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS)
		conn->broken = true;
	g_strfreev(parts);
	return conn;
}

void soak_conn_free(struct soak_conn *conn)
{
	if (!conn)
		return;
	if (conn->calling)
		conn->freed = true;
	else
		conn_delete(conn);
}

bool soak_conn_usable(const struct soak_conn *conn)
{
	char byte;

	if (conn->broken)
		return false;
	if (!conn->connected)
		return true;
	return recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

static gboolean conn_refused(gpointer data)
{
	struct soak_conn *conn = data;

	conn->timeout = 0;
	conn_end(conn, CONN_NOT_SENT);
	return G_SOURCE_REMOVE;
}

void soak_conn_send(struct soak_conn *conn, const char *method,
		    const char *path, const char *body, uint32_t timeout_ms,
		    uint32_t limit_ms, soak_conn_done *done, void *ctx)
{
	g_assert(!conn->done);
	conn->done = done;
	conn->ctx = ctx;
	conn->sent_ms = now_ms();
	if (conn->broken) {
		conn->timeout = g_timeout_add(1, conn_refused, conn);
		return;
	}
	g_string_printf(conn->out,
			"%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			"X-Masticreach-Timeout-Ms: %u\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, path, timeout_ms, body ? strlen(body) : 0,
			body ? body : "");
	conn->timeout = g_timeout_add(limit_ms, conn_timed_out, conn);
	conn_watch(conn, G_IO_OUT | G_IO_ERR | G_IO_HUP, conn_writable);
}
