#ifndef ROLE_HOST_H
#define ROLE_HOST_H

/**
 * @file role_host.h
 * Hosts of the three roles. A host connects a role of the core to the main loop
 * and to HTTP, which callers, upstreams, workers and operators speak.
 */

#include <stdbool.h>

#include "http.h"
#include "loop.h"
#include "settings.h"

struct role_host_ops {
	/**
	 * Attaches the role to the loop's node and starts to listen. On an
	 * error @a part names the setting that caused it.
	 */
	enum result (*open)(struct loop *loop, const struct settings *settings,
			    void **host, const char **part);
	/** Returns the bound address of the HTTP server. */
	const char *(*http_address)(const void *host);
	/** Starts a graceful shutdown: listeners stop accepting. */
	void (*stop)(void *host);
	/**
	 * Sets new control addresses, NULL-terminated. NULL if the role needs
	 * a restart for that.
	 */
	void (*set_control_addresses)(void *host, const char *const *addresses);
	/** Appends the counters. */
	void (*metrics)(void *host, GString *out);
	/** Returns true if no request and no call is in flight. */
	bool (*idle)(const void *host);
	/** Frees the host, before the node and its role are freed. */
	void (*free)(void *host);
};

extern const struct role_host_ops host_entry_ops;
extern const struct role_host_ops host_agent_ops;
extern const struct role_host_ops host_control_ops;

/** Appends the node's counters and those of the process. */
void role_host_metrics(struct loop *loop, const struct http_server *server,
		       GString *out);

/** Logs a request that is refused; @a error may be NULL. */
void role_host_log_refused(struct loop *loop,
			   const struct http_request *request, enum result res,
			   const char *error);

struct metrics_server;

/** Serves the host's counters on a separate address. */
enum result metrics_server_new(const struct role_host_ops *ops, void *host,
			       const char *address,
			       struct metrics_server **out);
void metrics_server_free(struct metrics_server *server);

#endif /* ROLE_HOST_H */
