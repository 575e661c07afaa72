#ifndef LINK_H
#define LINK_H

/**
 * @file link.h
 * The network path between this process and one peer: its delay and packet
 * loss, measured by pings, and whether the peer still answers. This module only
 * keeps the measurements; the node sends the pings and opens connections.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_link.h"

#define LINK_PING_HISTORY 32 /* pings over which loss is measured */

struct link {
	struct hello peer; /* as received in the handshake */
	bool dialled; /* this side opened the connection and redials */
	bool up; /* a connection is open */
	bool silent; /* more than LINK_SILENT_PINGS pings are unanswered */
	uint64_t ping_seq; /* number of the last ping, 0: none sent */
	uint64_t ping_due_us; /* when the next ping is due */
	uint32_t unanswered; /* pings since the last message from the peer */
	uint32_t answered; /* bit i: ping (ping_seq - i) was answered */
	uint32_t delay_us; /* smoothed, half a round trip, 0: no sample */
	uint32_t delay_var_us; /* smoothed deviation of delay_us */
	uint64_t heard_us; /* time of the last message from the peer */
};

/** Fills @a ping, which is sent at @a now_us, and counts it as unanswered. */
void link_next_ping(struct link *link, struct ping *ping, uint64_t now_us);

/** Records that a message of any type arrived from the peer. */
void link_received(struct link *link, uint64_t now_us);

/** Records the round trip of a pong, and that its ping was not lost. */
void link_pong(struct link *link, const struct pong *pong, uint64_t now_us);

/** Returns the share of the recent pings that were unanswered, in ppm. */
uint32_t link_loss_ppm(const struct link *link);

/**
 * Returns true if more than LINK_SILENT_PINGS pings were sent since the last
 * message from the peer.
 */
bool link_is_silent(const struct link *link);

/** Resets the measurements, because the connection has been replaced. */
void link_reset(struct link *link, uint64_t now_us);

#endif /* LINK_H */
