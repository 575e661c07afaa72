#ifndef HOST_H
#define HOST_H

/**
 * @file host.h
 * Functions that a host (the daemon or a test) provides to the core. The core
 * does no I/O itself, reads no clock and has no source of randomness: it calls
 * these functions, and the host calls the node with messages, completions and
 * the time. A host must not call the node from within one of these functions.
 */

#include <stdint.h>

/** Functions of every host; @a ctx is the host's own pointer. */
struct host_ops {
	/**
	 * Sends message @a body of @a type (enum schema_type) to the peer. The
	 * body is only valid during the call. Drops messages to a peer without
	 * an open connection; senders recover through timeouts.
	 */
	void (*send)(void *ctx, uint64_t node_id, uint32_t type,
		     const void *body);
	/**
	 * Opens a connection to @a address ("ip:port"). The host answers with
	 * node_peer_up() after the handshake, or node_dial_failed(). A second
	 * connection to a known peer replaces the first one.
	 */
	void (*dial)(void *ctx, const char *address);
	/**
	 * Closes all connections to the peer. The host doesn't report this with
	 * node_peer_down().
	 */
	void (*close_peer)(void *ctx, uint64_t node_id);
	/** Returns 64 random bits. */
	uint64_t (*random_u64)(void *ctx);
	/** Writes one finished log line without a newline. */
	void (*log_line)(void *ctx, const char *line);
};

#endif /* HOST_H */
