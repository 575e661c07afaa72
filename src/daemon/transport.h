#ifndef TRANSPORT_H
#define TRANSPORT_H

/**
 * @file transport.h
 * TCP connections between our processes: handshake, framing, one connection in
 * use for each peer. Events are delivered from the main loop only.
 */

#include <glib.h>
#include <stdint.h>

#include "msg_link.h"
#include "result.h"

struct transport;

struct transport_ops {
	void (*peer_up)(void *ctx, const struct hello *peer,
			const char *dialled);
	void (*peer_down)(void *ctx, uint64_t node_id);
	void (*dial_failed)(void *ctx, const char *address);
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
 * Listens on "ip:port"; port 0 takes a free one. On RESULT_OK @a bound
 * (ADDRESS_BYTES) holds the address in use.
 */
enum result transport_listen(struct transport *transport, const char *address,
			     char *bound);

void transport_dial(struct transport *transport, const char *address);
void transport_send(struct transport *transport, uint64_t node_id,
		    uint32_t type, const void *body);
void transport_close_peer(struct transport *transport, uint64_t node_id);
/** Returns true when everything sent has been handed to the kernel. */
gboolean transport_flushed(const struct transport *transport);
uint64_t transport_bytes_sent(const struct transport *transport);

#endif /* TRANSPORT_H */
