#ifndef LINK_H
#define LINK_H

/**
 * @file link.h
 * The path between this process and one peer: its delay, loss and silence as
 * measured by pings. Pure bookkeeping; the node sends and dials.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_link.h"

#define LINK_PING_HISTORY 32 /* pings over which loss is measured */

struct link {
	struct hello peer;
	bool dialled; /* this side opened it and reopens it */
	bool up; /* a connection is open */
	bool silent;
	uint64_t ping_seq;
	uint64_t ping_due_us;
	uint32_t unanswered; /* pings since the last message from the peer */
	uint32_t answered; /* bit i: ping (ping_seq - i) was answered */
	uint32_t delay_us; /* smoothed one-way delay, half a round trip */
	uint32_t delay_var_us;
	uint64_t heard_us; /* time of the last message from the peer */
};

/** Fills @a ping for sending at @a now_us and counts it as unanswered. */
void link_next_ping(struct link *link, struct ping *ping, uint64_t now_us);

/** Records any message from the peer. */
void link_received(struct link *link, uint64_t now_us);

/** Records a pong; late pongs count as answered but not towards the delay. */
void link_pong(struct link *link, const struct pong *pong, uint64_t now_us);

/** Returns the share of recent pings without an answer, in ppm. */
uint32_t link_loss_ppm(const struct link *link);

/** Returns true once LINK_SILENT_PINGS pings stay unanswered. */
bool link_is_silent(const struct link *link);

/** Forgets what was measured on a connection that has been replaced. */
void link_reset(struct link *link, uint64_t now_us);

#endif /* LINK_H */
