#ifndef TRANSPORT_H
#define TRANSPORT_H

/**
 * @file transport.h
 * TCP connections between the processes of a site: handshake, framing, and one
 * active connection for each peer. Callbacks run from the main loop only.
 */

#include <glib.h>
#include <stdint.h>

#include "msg_link.h"
#include "result.h"

struct transport;

struct transport_ops {
	/** A handshake is complete; @a dialled is NULL if the peer dialled. */
	void (*peer_up)(void *ctx, const struct hello *peer,
			const char *dialled);
	/** The active connection to a peer has failed. */
	void (*peer_down)(void *ctx, uint64_t node_id);
	/** A dialled connection failed before the end of its handshake. */
	void (*dial_failed)(void *ctx, const char *address);
	/** A message has arrived from the peer with the node id @a from. */
	void (*message)(void *ctx, uint64_t from, uint32_t type,
			const void *body);
};

struct transport_opts {
	const struct transport_ops *ops;
	void *ctx;
	const struct hello *self; /* borrowed; read at each handshake */
};

struct transport *transport_new(const struct transport_opts *opts);
void transport_free(struct transport *transport);

/**
 * Listens on "ip:port"; port 0 selects a free port. On RESULT_OK @a bound
 * (ADDRESS_BYTES) holds the bound address.
 */
enum result transport_listen(struct transport *transport, const char *address,
			     char *bound);

void transport_dial(struct transport *transport, const char *address);
void transport_send(struct transport *transport, uint64_t node_id,
		    uint32_t type, const void *body);
void transport_close_peer(struct transport *transport, uint64_t node_id);
/** Returns true if the kernel has accepted all frames. */
gboolean transport_flushed(const struct transport *transport);
uint64_t transport_bytes_sent(const struct transport *transport);

#endif /* TRANSPORT_H */
