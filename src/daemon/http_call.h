#ifndef HTTP_CALL_H
#define HTTP_CALL_H

/**
 * @file http_call.h
 * HTTP requests to upstreams and workers, bounded in time and size.
 */

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "agent.h"

struct http_call;

/**
 * Called from the main loop when the request is about to be sent a second time
 * and the server may have received it the first time.
 */
typedef void http_call_resent(void *ctx, struct http_call *call);

/** Called once, from the main loop; the call is freed afterwards. */
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
	/**
	 * Further headers: name, value, name, value..., NULL-terminated; or
	 * NULL.
	 */
	const char *const *headers;
	uint32_t deadline_ms; /* sent to the server in a header; 0: none */
	uint32_t timeout_ms; /* the call is cancelled after this time */
	uint64_t max_bytes; /* longest body of a response */
	/**
	 * The request is sent at most once, on a connection of its own. Any
	 * other request is sent again if a reused connection turns out to be
	 * closed.
	 */
	bool once;
	uint64_t call_nr; /* chosen by the owner */
	http_call_resent *resent; /* may be NULL */
	http_call_done *done;
	void *ctx;
};

/**
 * Returns a session for calls. Responses are passed on as they are, without
 * authentication, proxies, redirects or decoding of their content.
 */
SoupSession *http_call_session(uint32_t max_connections);

struct http_call *http_call_new(const struct http_call_opts *opts);
/** Cancels the call; done() is still called. */
void http_call_cancel(struct http_call *call);
uint64_t http_call_nr(const struct http_call *call);

#endif /* HTTP_CALL_H */
