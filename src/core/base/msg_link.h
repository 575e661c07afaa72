#ifndef MSG_LINK_H
#define MSG_LINK_H

/**
 * @file msg_link.h
 * Messages that open and monitor a link, the connection of two processes.
 */

#include <stdint.h>

#include "tunables.h"

enum node_role {
	ROLE_NONE = 0,
	ROLE_ENTRY = 1, /* takes callers' requests */
	ROLE_AGENT = 2, /* one on each VM */
	ROLE_CONTROL = 3, /* replica of the state */
};

/** First message in both directions of a connection. */
struct hello {
	uint32_t protocol_version;
	uint64_t node_id; /* of the sender */
	uint32_t role; /* enum node_role */
	char name[NAME_BYTES]; /* of the VM */
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* where the sender listens, "": nowhere */
};

struct ping {
	uint64_t seq;
	uint64_t sent_us; /* by the sender's clock */
};

struct pong {
	uint64_t seq; /* of the ping, as sent_us */
	uint64_t sent_us;
};

#endif /* MSG_LINK_H */
