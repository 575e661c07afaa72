#ifndef CLIENT_H
#define CLIENT_H

/**
 * @file client.h
 * Calls of the operators' tool to control: follows the leader and repeats a
 * call within a time limit.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "result.h"

struct client;

struct client_opts {
	const char *const *addresses; /* HTTP "ip:port", NULL-terminated */
	uint32_t timeout_ms; /* for one command */
};

struct client *client_new(const struct client_opts *opts);
void client_free(struct client *client);

/** What came back from control. */
struct client_reply {
	enum result result;
	JsonNode *root; /* an object if result is RESULT_OK, or NULL */
	uint32_t nr_unread; /* values in it that can't be read, now null */
	char *message; /* one line if result is not RESULT_OK */
	/** A request was sent whose answer was lost; it may have been done. */
	bool lost;
};

/**
 * Sends a request until the leader answers or the time is up. @a body may be
 * NULL. The request must be safe to repeat.
 */
void client_call(struct client *client, const char *method, const char *path,
		 const char *body, struct client_reply *reply);

/** As client_call(), but returns with reply.lost after a lost answer. */
void client_call_once(struct client *client, const char *method,
		      const char *path, const char *body,
		      struct client_reply *reply);

void client_reply_clear(struct client_reply *reply);

#endif /* CLIENT_H */
