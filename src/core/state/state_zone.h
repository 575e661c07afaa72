#ifndef STATE_ZONE_H
#define STATE_ZONE_H

/**
 * @file state_zone.h
 * Availability zones. Each is in or out of service and has a version. A zone
 * that no bundle has named is unknown; one that a later bundle doesn't name is
 * taken out of service. A bundle is a version of the operators' configuration.
 */

#include "command.h"

struct state;
struct state_outcome;

/** Returns the zone; NULL if it is unknown. */
struct zone_record *state_zone_find(const struct state *state,
				    const char *name);

/** Returns true if the zone is known and in service. */
bool state_zone_is_in(const struct state *state, const char *name);

struct state_outcome state_zone_set(struct state *state, const void *body);

/**
 * Adds new zones of the bundle and takes zones that it doesn't name out of
 * service.
 */
void state_zone_apply_bundle(struct state *state, const struct bundle *bundle);

void state_zone_restore(struct state *state, const struct zone_record *record);

#endif /* STATE_ZONE_H */
