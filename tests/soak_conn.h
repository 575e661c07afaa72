#ifndef SOAK_CONN_H
#define SOAK_CONN_H

/**
 * @file soak_conn.h
 * A caller's HTTP/1.1 connection that is kept open. It tells a request that was
 * read in whole and never answered from one that its receiver never read: the
 * system sends a reset for unread bytes, else an end of the stream.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum soak_outcome {
	CONN_ANSWERED,
	CONN_CLOSED, /* the request was read; the stream ended without answer */
	CONN_RESET, /* the request, or part of it, was not read */
	CONN_TIMED_OUT, /* nothing within the time limit */
	CONN_NOT_SENT, /* not connected */
};

struct soak_answer {
	enum soak_outcome outcome;
	uint32_t status;
	const char *text; /* of the body, "" for none */
	const char *location; /* NULL: none */
	int64_t sent_ms;
	int64_t ended_ms;
};

struct soak_conn;

typedef void soak_conn_done(void *ctx, const struct soak_answer *answer);

/** Dials "ip:port"; the address is copied. */
struct soak_conn *soak_conn_new(const char *address);
void soak_conn_free(struct soak_conn *conn);
/** Returns false if the peer has closed it or it must not be used again. */
bool soak_conn_usable(const struct soak_conn *conn);
/**
 * Sends one request. @a done may send the next one, or free the connection.
 * @a patience_ms goes into the request; the wait for the answer ends after
 * @a limit_ms.
 */
void soak_conn_send(struct soak_conn *conn, const char *method,
		    const char *path, const char *body, uint32_t patience_ms,
		    uint32_t limit_ms, soak_conn_done *done, void *ctx);

#endif /* SOAK_CONN_H */
