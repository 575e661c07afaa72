#ifndef NODE_H
#define NODE_H

/**
 * @file node.h
 * One process of the system: its identity, time, timers, links and role. Its
 * host (the daemon or a test, see host.h) drives the node through the node_*()
 * functions below and passes a monotonic time in microseconds, which must never
 * go back.
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

/** A role's handlers of the node's events; unused ones may be NULL. */
struct role_ops {
	enum node_role role;
	void (*start)(void *role);
	/** A connection has opened to a peer that had none. */
	void (*peer_up)(void *role, const struct link *link);
	/** The last connection to a peer is closed. */
	void (*peer_down)(void *role, const struct link *link);
	/** A new connection replaced the old one; messages may be lost. */
	void (*link_replaced)(void *role, const struct link *link);
	/** A message arrived; the body is only valid during the call. */
	void (*message)(void *role, uint64_t from, uint32_t type,
			const void *body);
	/** Begins a graceful shutdown; it is complete once idle() is true. */
	void (*shutdown)(void *role);
	/** Returns true if no work is in progress; NULL: always true. */
	bool (*idle)(const void *role);
	void (*free)(void *role);
};

struct node_opts {
	const struct host_ops *host; /* borrowed, must outlive the node */
	void *host_ctx;
	uint64_t node_id; /* not 0 */
	char name[NAME_BYTES]; /* of the VM */
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* listening address, "": doesn't listen */
	uint64_t now_us; /* monotonic time */
};

/** A role may read the node's fields, but only node.c writes them. */
struct node {
	const struct host_ops *host;
	void *host_ctx;
	struct hello self; /* sent to peers in the handshake */
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

/** Sets the node_id to one read from disk, before a role is attached. */
void node_set_id(struct node *node, uint64_t node_id);

/** Frees the node and, through role_ops.free, its role. */
void node_free(struct node *node);

/** Attaches a role; the node then owns @a role. */
void node_set_role(struct node *node, const struct role_ops *ops, void *role);

/* ---- calls by the host ---- */

void node_start(struct node *node, uint64_t now_us);
/**
 * A handshake with the peer is complete. @a dialled is the address that this
 * side dialled, or NULL if the peer opened the connection.
 */
void node_peer_up(struct node *node, const struct hello *peer,
		  const char *dialled, uint64_t now_us);
/** The last open connection to the peer is closed. */
void node_peer_down(struct node *node, uint64_t node_id, uint64_t now_us);
void node_dial_failed(struct node *node, const char *address, uint64_t now_us);
void node_message(struct node *node, uint64_t from, uint32_t type,
		  const void *body, uint64_t now_us);
void node_run_timers(struct node *node, uint64_t now_us);
/** Returns the time of the next timer, TIMER_NEVER if none is armed. */
uint64_t node_next_us(const struct node *node);
void node_shutdown(struct node *node, uint64_t now_us);
/** Returns true if a graceful shutdown has no work left to finish. */
bool node_idle(const struct node *node);
/** Sets the time; the host calls it before a role's own functions. */
void node_set_time(struct node *node, uint64_t now_us);

/* ---- calls by the role ---- */

/** Keeps a connection to @a address open; dials again with backoff. */
void node_dial(struct node *node, const char *address);
/** Closes the connection to @a address and doesn't open it again. */
void node_stop_dial(struct node *node, const char *address);
void node_send(struct node *node, uint64_t to, uint32_t type, const void *body);
/**
 * Queries all connected peers that aren't control replicas for the addresses of
 * the control replicas; those that know any answer with MSG_PEERS.
 */
void node_discover_controls(struct node *node);
/** Returns the link to a peer, NULL if the peer isn't connected. */
const struct link *node_link(const struct node *node, uint64_t node_id);
uint64_t node_random(struct node *node);
/** Returns a number below @a bound, which must not be 0. */
uint64_t node_random_below(struct node *node, uint64_t bound);
/** Writes and frees a line built with logline_new(). */
void node_log(struct node *node, GString *line);
/** Arms @a timer @a delay_ms from now. */
void node_timer_ms(struct node *node, struct timer *timer, uint64_t delay_ms);

#endif /* NODE_H */
