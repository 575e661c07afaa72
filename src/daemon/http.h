#ifndef HTTP_H
#define HTTP_H

/**
 * @file http.h
 * HTTP server of all roles. It limits the number of connections and the size of
 * bodies, lets a role answer a request later, responds to errors with problem
 * documents (RFC 9457) and serves health and counters under /-/.
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
	struct http_conn *conn; /* NULL once the connection is closed */
	uint64_t ticket; /* unique within the server, not 0 */
	SoupServerMessage *msg;
	const char *method;
	const char *path; /* percent-encoded */
	const char *query; /* percent-encoded, NULL if there is none */
	GBytes *body;
	uint64_t body_bytes;
	bool too_large; /* the body exceeds BODY_MAX_BYTES and was dropped */
	bool open; /* passed to the role and not answered yet */
	uint64_t read_us; /* when the request was complete */
	uint64_t answered_us; /* when the role answered, 0: not yet */
	bool written; /* the response was written completely */
};

/** Numbers of requests since the server's start; open: at present. */
struct http_stats {
	uint64_t requests; /* received completely */
	uint64_t unanswered; /* connection closed before the response */
	uint64_t cut; /* connection closed during the response */
	uint64_t open; /* not answered yet */
};

struct http_server_ops {
	/** Answers the request now, or later by its ticket, exactly once. */
	void (*request)(void *ctx, struct http_request *request);
	/** The caller has disconnected; the request must not be answered. */
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

/** Returns the unanswered request with the ticket, NULL if there is none. */
struct http_request *http_find(struct http_server *server, uint64_t ticket);
/** Returns a header of the request, NULL if there is none. */
const char *http_header(const struct http_request *request, const char *name);
/** Sets a header of the response; to be called before the answer. */
void http_set_header(struct http_request *request, const char *name,
		     const char *value);
/** Answers the request; @a body may be NULL. */
void http_respond(struct http_request *request, uint32_t status,
		  const char *content_type, GBytes *body);
/** Answers with a text as the body. */
void http_respond_text(struct http_request *request, uint32_t status,
		       const char *content_type, const char *text);
/**
 * Answers with an application/problem+json document. Its member "not_run" is
 * true if @a run is RUN_NOT_RUN, null if RUN_UNKNOWN, and false otherwise.
 */
void http_respond_problem(struct http_request *request, enum result res,
			  enum run_state run, const char *detail);

/** Returns the HTTP status for a result code. */
uint32_t http_status_of(enum result res);

#endif /* HTTP_H */
