#ifndef FAKE_SITE_H
#define FAKE_SITE_H

/**
 * @file fake_site.h
 * Test doubles of site.h and agent_task.h: the test sets the values that the
 * real modules receive from control.
 */

#include "agent_task.h"
#include "site.h"

/** Sets the node's bundle with this policy; "" is the default policy. */
void fake_site_bundle(struct node *node, const char *route_policy);
/** Adds or removes an agent in the node's view. */
void fake_site_agent(struct node *node, uint64_t node_id, const char *address,
		     bool gone);
void fake_site_zone(struct node *node, const char *zone, bool out);
/** Sets the node_id of the leader, 0 for none. */
void fake_site_leader(struct node *node, uint64_t node_id);

/** Grants or withdraws the permit of the agent on the node. */
void fake_task_permit(struct node *node, bool permit);
void fake_task_zone_out(struct node *node, bool out);

#endif /* FAKE_SITE_H */
