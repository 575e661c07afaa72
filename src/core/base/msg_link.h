#ifndef MSG_LINK_H
#define MSG_LINK_H

/** @file msg_link.h Messages that open and monitor a link of two processes. */

#include <stdint.h>

#include "tunables.h"

enum node_role {
	ROLE_NONE = 0,
	ROLE_ENTRY = 1,
	ROLE_AGENT = 2,
	ROLE_CONTROL = 3,
};

/** First message in both directions of a connection. */
struct hello {
	uint32_t protocol_version;
	uint64_t node_id;
	uint32_t role; /* enum node_role */
	char name[NAME_BYTES]; /* of the VM */
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* where the sender listens, "": nowhere */
};

struct ping {
	uint64_t seq;
	uint64_t sent_us; /* sender's clock, echoed by the pong */
};

struct pong {
	uint64_t seq;
	uint64_t sent_us;
};

#endif /* MSG_LINK_H */
