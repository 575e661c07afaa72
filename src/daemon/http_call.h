#ifndef HTTP_CALL_H
#define HTTP_CALL_H

/**
 * @file http_call.h
 * One HTTP request to an upstream or a worker, bounded in time and size.
 */

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "agent.h"

struct http_call;

/** Answers once, from the loop; the call is freed afterwards. */
typedef void http_call_done(void *ctx, struct http_call *call,
			    const struct upstream_result *result);

struct http_call_opts {
	SoupSession *session;
	const char *method;
	const char *address; /* "ip:port" */
	const char *path; /* percent-encoded, with the query */
	const char *content_type; /* "" or NULL: none */
	GBytes *body; /* may be NULL */
	const char *key; /* Idempotency-Key; "" or NULL: none */
	/** More headers: names and values by turns, NULL-terminated; or NULL.
	 */
	const char *const *headers;
	uint32_t deadline_ms; /* told to the server; 0: not told */
	uint32_t timeout_ms; /* the call is given up after this */
	uint64_t max_bytes; /* of the response's body */
	/**
	 * Sent at most once, on a connection of its own. Any other call is sent
	 * again if a reused connection turns out to be closed.
	 */
	bool once;
	uint64_t call_nr; /* for the owner */
	http_call_done *done;
	void *ctx;
};

/** Returns a session for calls, without retries, redirects or decoding. */
SoupSession *http_call_session(uint32_t max_connections);

struct http_call *http_call_new(const struct http_call_opts *opts);
/** Gives up; done() still follows. */
void http_call_cancel(struct http_call *call);
uint64_t http_call_nr(const struct http_call *call);

#endif /* HTTP_CALL_H */
