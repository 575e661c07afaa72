#ifndef HTTP_CONN_H
#define HTTP_CONN_H

/**
 * @file http_conn.h
 * Connection of a caller to the HTTP server: its states with their time limits,
 * and detection of a caller that disconnects. libsoup gets the connection for
 * one request at a time: libsoup 3.2 never closes its side of a connection that
 * ends between two requests.
 */

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

enum http_conn_state {
	CONN_IDLE, /* waits for a request */
	CONN_DRAINING, /* waits for a request during a shutdown */
	CONN_READING, /* libsoup reads a request */
	CONN_HANDLING, /* the request is complete and not answered */
	CONN_WRITING, /* libsoup writes the response */
	CONN_BROKEN, /* socket is shut down, but libsoup may still poll it */
};

struct http_conn;

struct http_conn_ops {
	/** A request begins to arrive on an idle connection. */
	void (*arrived)(void *ctx, struct http_conn *conn);
	/** The caller closed its side while its request was handled. */
	void (*gone)(void *ctx, struct http_conn *conn);
	/** Frees the connection with http_conn_free(). */
	void (*close)(void *ctx, struct http_conn *conn);
};

struct http_conn {
	const struct http_conn_ops *ops;
	void *ctx;
	GSocketConnection *stream;
	GSocket *socket;
	GSocketAddress *local;
	GSocketAddress *remote; /* refers to the connection, http_conn_of() */
	enum http_conn_state state;
	bool pipelined; /* the next request came before the response */
	void *request; /* set by the owner, NULL: none */
	GSource *watch;
	GSource *timeout;
};

/** Returns a new idle connection, NULL if the caller has disconnected. */
struct http_conn *http_conn_new(GSocketConnection *stream,
				const struct http_conn_ops *ops, void *ctx);
void http_conn_free(struct http_conn *conn);
/** Changes the state and starts the timeout of the new state. */
void http_conn_set_state(struct http_conn *conn, enum http_conn_state state);
/** Returns the connection of a remote address, NULL if it is closed. */
struct http_conn *http_conn_of(GSocketAddress *remote);

#endif /* HTTP_CONN_H */
