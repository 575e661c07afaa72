#ifndef NODE_H
#define NODE_H

/**
 * @file node.h
 * One process of the system: identity, time, timers, links and a role. A host
 * drives it through the node_*() calls below; every call carries the host's
 * monotonic time in microseconds, which must never go back.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "counter.h"
#include "host.h"
#include "link.h"
#include "schema.h"
#include "timer.h"

struct node;

/** What a role does with the node's events; unused entries may be NULL. */
struct role_ops {
	enum node_role role;
	void (*start)(void *role);
	/** A peer's first connection is open. */
	void (*peer_up)(void *role, const struct link *link);
	/** The peer has no open connection any more. */
	void (*peer_down)(void *role, const struct link *link);
	/** A silent connection was replaced; messages may have been lost. */
	void (*link_replaced)(void *role, const struct link *link);
	/** A message arrived; the body is borrowed for the call. */
	void (*message)(void *role, uint64_t from, uint32_t type,
			const void *body);
	/** Begins a graceful shutdown; done when role_ops.idle() is true. */
	void (*shutdown)(void *role);
	bool (*idle)(const void *role);
	void (*free)(void *role);
};

struct node_opts {
	const struct host_ops *host; /* borrowed, must outlive the node */
	void *host_ctx;
	uint64_t node_id; /* not 0 */
	char name[NAME_BYTES]; /* of the VM */
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* where this process listens, or "" */
	uint64_t now_us;
};

/** The node's fields are read by its role; only node.c writes them. */
struct node {
	const struct host_ops *host;
	void *host_ctx;
	struct hello self;
	uint64_t now_us;
	struct timers *timers;
	struct counters *counters;
	GHashTable *links; /* uint64_t * -> struct link *, by node_id */
	GHashTable *dials; /* char * -> struct node_dial *, by address */
	struct timer ping_timer;
	const struct role_ops *ops;
	void *role;
	bool stopping;
};

/** Returns a new node without a role. */
struct node *node_new(const struct node_opts *opts);

/** Takes over an identity kept on disk; only before a role is attached. */
void node_set_id(struct node *node, uint64_t node_id);

/** Frees the node and, through role_ops.free, its role. */
void node_free(struct node *node);

/** Attaches the role; the node owns @a role from now on. */
void node_set_role(struct node *node, const struct role_ops *ops, void *role);

/* ---- calls by the host ---- */

void node_start(struct node *node, uint64_t now_us);
/**
 * A handshake is complete. @a dialled is the address that this side dialled,
 * NULL if the peer opened the connection.
 */
void node_peer_up(struct node *node, const struct hello *peer,
		  const char *dialled, uint64_t now_us);
/** The last open connection to the peer is closed. */
void node_peer_down(struct node *node, uint64_t node_id, uint64_t now_us);
void node_dial_failed(struct node *node, const char *address, uint64_t now_us);
void node_message(struct node *node, uint64_t from, uint32_t type,
		  const void *body, uint64_t now_us);
void node_run_timers(struct node *node, uint64_t now_us);
/** Returns when node_run_timers() is due, TIMER_NEVER if never. */
uint64_t node_next_us(const struct node *node);
void node_shutdown(struct node *node, uint64_t now_us);
/** Returns true when a graceful shutdown has nothing left to finish. */
bool node_idle(const struct node *node);
/** Sets the time before a role's own entry point is called. */
void node_set_time(struct node *node, uint64_t now_us);

/* ---- calls by the role ---- */

/** Keeps a connection to @a address open, with backoff, until undialled. */
void node_dial(struct node *node, const char *address);
/** Stops keeping up connections to @a address and closes what is open. */
void node_stop_dial(struct node *node, const char *address);
void node_send(struct node *node, uint64_t to, uint32_t type, const void *body);
/**
 * Asks all peers that aren't control replicas where these are; they answer with
 * MSG_PEERS.
 */
void node_discover_controls(struct node *node);
/** Returns the link to a peer, NULL if there was never one. */
const struct link *node_link(const struct node *node, uint64_t node_id);
uint64_t node_random(struct node *node);
/** Returns a number below @a bound, which must not be 0. */
uint64_t node_random_below(struct node *node, uint64_t bound);
/** Writes and frees a line built with logline_new(). */
void node_log(struct node *node, GString *line);
/** Arms @a timer @a delay_ms from now. */
void node_timer_ms(struct node *node, struct timer *timer, uint64_t delay_ms);

#endif /* NODE_H */
