#ifndef HTTP_H
#define HTTP_H

/**
 * @file http.h
 * The HTTP server of every role: bounded connections and bodies, requests that
 * are answered later, problem documents, health and counters under /-/.
 */

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "msg_request.h"
#include "result.h"
#include "tunables.h"

struct http_server;
struct http_conn;

/** One request; valid until it is answered. */
struct http_request {
	struct http_server *server;
	struct http_conn *conn; /* NULL once it is closed */
	uint64_t ticket; /* unique within the server, not 0 */
	SoupServerMessage *msg;
	const char *method;
	const char *path; /* percent-encoded */
	const char *query; /* percent-encoded, NULL if there is none */
	GBytes *body;
	uint64_t body_bytes;
	bool too_large;
	bool open; /* handed to the role and not answered yet */
	uint64_t read_us; /* when it was whole */
	uint64_t answered_us; /* 0: not yet */
	bool written; /* the response has left */
};

/** Counts since the server's start, but for open. */
struct http_stats {
	uint64_t requests; /* read whole */
	uint64_t unanswered; /* their connection ended before the answer */
	uint64_t cut; /* their connection ended within the answer */
	uint64_t open; /* not answered yet */
};

struct http_server_ops {
	/** Answers now, or later by its ticket, exactly once. */
	void (*request)(void *ctx, struct http_request *request);
	/** The caller of an unanswered request has gone; don't answer it. */
	void (*gone)(void *ctx, uint64_t ticket);
	/** Returns true if the process can do its work; for /-/readyz. */
	bool (*ready)(void *ctx);
	/** Appends the counters; for /-/metrics. */
	void (*metrics)(void *ctx, GString *out);
};

struct http_server_opts {
	const char *address; /* "ip:port" */
	uint32_t max_connections;
	const struct http_server_ops *ops;
	void *ctx;
};

enum result http_server_new(const struct http_server_opts *opts,
			    struct http_server **server);
void http_server_free(struct http_server *server);
/** Returns the bound "ip:port". */
const char *http_server_address(const struct http_server *server);
/** Stops accepting connections; new requests are refused as not run. */
void http_server_stop(struct http_server *server);
/** After http_server_stop(): returns true once all connections are closed. */
bool http_server_idle(const struct http_server *server);
struct http_stats http_server_stats(const struct http_server *server);
uint32_t http_server_connections(const struct http_server *server);
/** Bytes of response bodies. */
uint64_t http_server_bytes_sent(const struct http_server *server);

/** Returns the unanswered request of @a ticket, NULL if it has gone. */
struct http_request *http_find(struct http_server *server, uint64_t ticket);
/** Returns a header of the request, NULL if there is none. */
const char *http_header(const struct http_request *request, const char *name);
/** Sets a header of the response, before it is answered. */
void http_set_header(struct http_request *request, const char *name,
		     const char *value);
/** Answers the request; @a body may be NULL. */
void http_respond(struct http_request *request, uint32_t status,
		  const char *content_type, GBytes *body);
/** Answers with text. */
void http_respond_text(struct http_request *request, uint32_t status,
		       const char *content_type, const char *text);
/**
 * Answers with an application/problem+json document. @a run is RUN_NOT_RUN for
 * "not_run": true, RUN_UNKNOWN for null, anything else for false.
 */
void http_respond_problem(struct http_request *request, enum result res,
			  enum run_state run, const char *detail);

/** Returns the HTTP status that stands for a result code. */
uint32_t http_status_of(enum result res);

#endif /* HTTP_H */
