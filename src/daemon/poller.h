#ifndef POLLER_H
#define POLLER_H

/**
 * @file poller.h
 * One source of the main loop for all sockets of the transport. GLib's loop
 * visits every source in each iteration, which costs a leader with hundreds of
 * peers more than their messages; with epoll the cost of an iteration doesn't
 * depend on the number of peers.
 */

#include <glib.h>
#include <stdint.h>

struct poller;

struct poller_ops {
	/** The socket added with @a conn is readable or has failed. */
	void (*readable)(void *conn);
	/** The socket added with @a conn is writable. */
	void (*writable)(void *conn);
	/** Returns TRUE if flush() has something to do. */
	gboolean (*pending)(void *ctx);
	/** Called once per iteration after all events, if pending() is TRUE. */
	void (*flush)(void *ctx);
};

struct poller *poller_new(const struct poller_ops *ops, void *ctx);
void poller_free(struct poller *poller);
/**
 * Polls the socket for reading. @a conn must stay valid until the end of the
 * iteration in which the socket is removed.
 */
void poller_add(struct poller *poller, int fd, void *conn);
/** Starts or stops polling the socket for writing as well. */
void poller_set_writable(struct poller *poller, int fd, void *conn,
			 gboolean wanted);
void poller_remove(struct poller *poller, int fd);

#endif /* POLLER_H */
