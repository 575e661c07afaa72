#ifndef STATE_ZONE_H
#define STATE_ZONE_H

/**
 * @file state_zone.h
 * Availability zones: in or out, with a version for each zone. A zone that no
 * bundle names is unknown; one that a later bundle drops is taken out.
 */

#include "command.h"

struct state;
struct state_outcome;

/** Returns the zone, NULL if unknown. */
struct zone_record *state_zone_find(const struct state *state,
				    const char *name);

/** Returns true if the zone is known and in. */
bool state_zone_is_in(const struct state *state, const char *name);

struct state_outcome state_zone_set(struct state *state, const void *body);

/** Adds the zones of a bundle in force and takes those it drops out. */
void state_zone_apply_bundle(struct state *state, const struct bundle *bundle);

void state_zone_restore(struct state *state, const struct zone_record *record);

#endif /* STATE_ZONE_H */
