#ifndef POLLER_H
#define POLLER_H

/**
 * @file poller.h
 * One source of the main loop for all sockets of the transport. GLib's loop
 * walks every source at each turn, which costs a leader with hundreds of peers
 * more than its messages; epoll keeps a turn's cost independent of them.
 */

#include <glib.h>
#include <stdint.h>

struct poller;

struct poller_ops {
	/** The socket added with @a conn can be read, or failed. */
	void (*readable)(void *conn);
	/** The socket added with @a conn can be written again. */
	void (*writable)(void *conn);
	/** Returns TRUE if something waits for flush(). */
	gboolean (*pending)(void *ctx);
	/** Called once a turn after all events, if something is pending. */
	void (*flush)(void *ctx);
};

struct poller *poller_new(const struct poller_ops *ops, void *ctx);
void poller_free(struct poller *poller);
/** Watches the socket for reading; @a conn must live until the turn's end. */
void poller_add(struct poller *poller, int fd, void *conn);
/** Watches the socket for writing as well, or no longer. */
void poller_set_writable(struct poller *poller, int fd, void *conn,
			 gboolean wanted);
void poller_remove(struct poller *poller, int fd);

#endif /* POLLER_H */
