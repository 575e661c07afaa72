#ifndef HTTP_CONN_H
#define HTTP_CONN_H

/**
 * @file http_conn.h
 * One caller's connection to the HTTP server: its states, their time limits,
 * and the end of the caller's stream. libsoup gets the connection for one
 * request at a time, as libsoup 3.2 never closes one that ends while it waits
 * for the next request.
 */

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

enum http_conn_state {
	CONN_IDLE, /* waits for a request */
	CONN_DRAINING, /* as idle, during a shutdown */
	CONN_READING, /* libsoup reads a request */
	CONN_HANDLING, /* the request is whole and not answered */
	CONN_WRITING, /* libsoup writes the response */
	CONN_BROKEN, /* shut down; libsoup may still poll it */
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
	GSocketAddress *remote; /* leads back here, http_conn_of() */
	enum http_conn_state state;
	bool pipelined; /* the next request came before the answer */
	void *request; /* of the owner */
	GSource *watch;
	GSource *timeout;
};

/** Returns a new idle connection, NULL if the caller has left already. */
struct http_conn *http_conn_new(GSocketConnection *stream,
				const struct http_conn_ops *ops, void *ctx);
void http_conn_free(struct http_conn *conn);
/** Changes the state and begins its time limit. */
void http_conn_set_state(struct http_conn *conn, enum http_conn_state state);
/** Returns the connection of a remote address, NULL if it is closed. */
struct http_conn *http_conn_of(GSocketAddress *remote);

#endif /* HTTP_CONN_H */
