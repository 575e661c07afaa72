#ifndef ROLE_HOST_H
#define ROLE_HOST_H

/**
 * @file role_host.h
 * The hosts of the three roles: HTTP towards callers, upstreams, workers and
 * operators, around the role in the core.
 */

#include <stdbool.h>

#include "http.h"
#include "loop.h"
#include "settings.h"

struct role_host_ops {
	/**
	 * Attaches the role to the loop's node and begins to listen. On a
	 * fault @a part names the setting that caused it.
	 */
	enum result (*open)(struct loop *loop, const struct settings *settings,
			    void **host, const char **part);
	/** Returns the bound address of the HTTP server. */
	const char *(*http_address)(const void *host);
	/** Begins a graceful shutdown: listeners stop accepting. */
	void (*stop)(void *host);
	/** Takes new control addresses, NULL-terminated; NULL if it can't. */
	void (*set_control_addresses)(void *host, const char *const *addresses);
	/** Appends the counters. */
	void (*metrics)(void *host, GString *out);
	/** Returns true if no request and no call is under way. */
	bool (*idle)(const void *host);
	/** Frees the host; the node and its role are still there. */
	void (*free)(void *host);
};

extern const struct role_host_ops host_entry_ops;
extern const struct role_host_ops host_agent_ops;
extern const struct role_host_ops host_control_ops;

/** Appends the node's counters and the process's own values. */
void role_host_metrics(struct loop *loop, const struct http_server *server,
		       GString *out);

/** Logs a call that is refused; @a error may be NULL. */
void role_host_log_refused(struct loop *loop,
			   const struct http_request *request, enum result res,
			   const char *error);

struct metrics_server;

/** Serves the host's counters on an address of their own. */
enum result metrics_server_new(const struct role_host_ops *ops, void *host,
			       const char *address,
			       struct metrics_server **out);
void metrics_server_free(struct metrics_server *server);

#endif /* ROLE_HOST_H */
