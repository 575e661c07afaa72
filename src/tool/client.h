#ifndef CLIENT_H
#define CLIENT_H

/**
 * @file client.h
 * HTTP client of the operators' tool. It sends calls to the control replicas,
 * finds the leader among them and repeats a call until it is answered or a time
 * limit has passed.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "result.h"

struct client;

struct client_opts {
	const char *const *addresses; /* HTTP "ip:port", NULL-terminated */
	uint32_t timeout_ms; /* for all calls of one command */
};

struct client *client_new(const struct client_opts *opts);
void client_free(struct client *client);

/** Result of a call to control. */
struct client_reply {
	enum result result;
	JsonNode *root; /* an object if result is RESULT_OK; may be NULL */
	uint32_t nr_unread; /* unreadable values of root, null in it */
	char *message; /* one line if result is not RESULT_OK */
	/** A request got no clear answer and may have been carried out. */
	bool lost;
};

/**
 * Sends a request until the leader answers or the time limit of the command
 * has passed. @a body may be NULL. The request must be safe to repeat. A change
 * whose last request was refused has an unknown outcome if reply.lost is set.
 */
void client_call(struct client *client, const char *method, const char *path,
		 const char *body, struct client_reply *reply);

/** Like client_call(), but returns as soon as reply.lost is set. */
void client_call_once(struct client *client, const char *method,
		      const char *path, const char *body,
		      struct client_reply *reply);

void client_reply_clear(struct client_reply *reply);

#endif /* CLIENT_H */
