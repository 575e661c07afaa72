#ifndef SOAK_CONN_H
#define SOAK_CONN_H

/**
 * @file soak_conn.h
 * A caller's HTTP/1.1 connection that is kept open. If a request gets no
 * answer, the outcome tells whether the receiver had read the request: the
 * kernel closes a connection with unread bytes by a reset, and a connection
 * without unread bytes by an end of the stream.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum soak_outcome {
	CONN_ANSWERED,
	CONN_CLOSED, /* the request was read; the stream ended */
	CONN_RESET, /* the request was not, or not fully, read */
	CONN_TIMED_OUT, /* no answer within the time limit */
	CONN_NOT_SENT, /* the connection could not be opened, or was closed */
};

struct soak_answer {
	enum soak_outcome outcome;
	uint32_t status;
	const char *text; /* of the body, "" for none */
	const char *location; /* header of a redirect, NULL: none */
	const char *retry_after; /* header of a refusal, NULL: none */
	int64_t sent_ms;
	int64_t ended_ms; /* time of the outcome */
};

struct soak_conn;

typedef void soak_conn_done(void *ctx, const struct soak_answer *answer);

/** Connects to "ip:port"; the address is copied. */
struct soak_conn *soak_conn_new(const char *address);
void soak_conn_free(struct soak_conn *conn);
/** Returns false if the peer has closed the connection or a request failed. */
bool soak_conn_usable(const struct soak_conn *conn);
/**
 * Sends one request. @a done may send the next one, or free the connection. The
 * request names @a timeout_ms as the caller's time limit; the connection itself
 * waits for the answer for up to @a limit_ms.
 */
void soak_conn_send(struct soak_conn *conn, const char *method,
		    const char *path, const char *body, uint32_t timeout_ms,
		    uint32_t limit_ms, soak_conn_done *done, void *ctx);

#endif /* SOAK_CONN_H */
