#ifndef SITE_H
#define SITE_H

/**
 * @file site.h
 * What an entry or agent knows of the site: zones, agents, the bundle in force
 * and which control replica leads. Fed by MSG_VIEW; never takes an older view,
 * bundle or zone version than it has.
 */

#include "command.h"
#include "msg_control.h"
#include "node.h"

struct site;

/** Told of changes; entries may be NULL. */
struct site_ops {
	void (*bundle_changed)(void *ctx, const struct bundle *bundle);
	void (*zone_changed)(void *ctx, const struct zone_record *zone);
	void (*agent_changed)(void *ctx, const struct view_agent *agent);
	/** A leader is known anew, or none is (0). */
	void (*leader_changed)(void *ctx, uint64_t node_id);
};

struct site_opts {
	const struct site_ops *ops;
	void *ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
	bool discover_controls; /* any process where the control replicas are */
};

struct site *site_new(struct node *node, const struct site_opts *opts);
void site_free(struct site *site);
/** Dials every control replica and begins to ask for views. */
void site_start(struct site *site);
void site_peer_up(struct site *site, const struct link *link);
void site_peer_down(struct site *site, const struct link *link);
/** Dials these control addresses as well. */
void site_add_controls(struct site *site, const char *const *addresses);
/** Takes MSG_VIEW and MSG_PEERS; returns false for other types. */
bool site_message(struct site *site, uint64_t from, uint32_t type,
		  const void *body);

/** Returns the bundle in force, NULL before the first one. */
const struct bundle *site_bundle(const struct site *site);
/** Returns the service's settings, NULL if the bundle has none. */
const struct bundle_service *site_service(const struct site *site,
					  const char *name);
/** Returns true if the zone is known to be out. */
bool site_zone_is_out(const struct site *site, const char *zone);
/** Returns the agent's entry in the view, NULL if unknown or gone. */
const struct view_agent *site_agent(const struct site *site, uint64_t node_id);
/** Returns the leader's node_id, 0 if none is known. */
uint64_t site_leader(const struct site *site);
/** Returns the leader's address, "" if none is connected. */
const char *site_leader_address(const struct site *site);

#endif /* SITE_H */
