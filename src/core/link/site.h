#ifndef SITE_H
#define SITE_H

/**
 * @file site.h
 * The view of the site that an entry or an agent keeps. A site is one
 * installation of the system. The view has the site's zones and agents, the
 * bundle in force (the operators' versioned configuration) and the leading
 * control replica. MSG_VIEW from the leader updates the view; a view, bundle or
 * zone that is older than the current one is ignored.
 */

#include "command.h"
#include "msg_control.h"
#include "node.h"

struct site;

/** Handlers of changes of the view; unused ones may be NULL. */
struct site_ops {
	void (*bundle_changed)(void *ctx, const struct bundle *bundle);
	void (*zone_changed)(void *ctx, const struct zone_record *zone);
	void (*agent_changed)(void *ctx, const struct view_agent *agent);
	/** The known leader has changed; @a node_id 0: none is known. */
	void (*leader_changed)(void *ctx, uint64_t node_id);
};

struct site_opts {
	const struct site_ops *ops;
	void *ctx;
	const char *const *control_addresses; /* NULL-terminated, borrowed */
	/*
	 * While no leader is known, queries the connected processes for the
	 * addresses of the control replicas.
	 */
	bool discover_controls;
};

struct site *site_new(struct node *node, const struct site_opts *opts);
void site_free(struct site *site);
/** Dials the control addresses and starts to query them for the view. */
void site_start(struct site *site);
void site_peer_up(struct site *site, const struct link *link);
void site_peer_down(struct site *site, const struct link *link);
/** Dials more control addresses (NULL-terminated). */
void site_add_controls(struct site *site, const char *const *addresses);
/** Handles MSG_VIEW and MSG_PEERS; returns false for any other type. */
bool site_message(struct site *site, uint64_t from, uint32_t type,
		  const void *body);

/** Returns the bundle in force, NULL before the first one. */
const struct bundle *site_bundle(const struct site *site);
/** Returns the service's settings, NULL if the bundle has none. */
const struct bundle_service *site_service(const struct site *site,
					  const char *name);
/** Returns true if the zone is known to be out of service. */
bool site_zone_is_out(const struct site *site, const char *zone);
/** Returns the agent's record in the view, NULL if it isn't listed. */
const struct view_agent *site_agent(const struct site *site, uint64_t node_id);
/** Returns the leader's node_id, 0 if none is known. */
uint64_t site_leader(const struct site *site);
/** Returns the leader's address, "" if no leader is connected. */
const char *site_leader_address(const struct site *site);

#endif /* SITE_H */
