#ifndef SITE_DIAL_H
#define SITE_DIAL_H

/**
 * @file site_dial.h
 * The control addresses that an entry or an agent dials. They come from the
 * settings and from control replicas, whose list may be old, so an address
 * isn't dropped because a later list lacks it. If there are SITE_CONTROLS_MAX
 * of them, a new one replaces the one that was least recently named or
 * connected to a control replica.
 */

#include "node.h"

struct site_dial;

struct site_dial *site_dial_new(struct node *node);
void site_dial_free(struct site_dial *dials);
/**
 * Dials the address. It is ignored if all other addresses are connected to
 * control replicas.
 */
void site_dial_add(struct site_dial *dials, const char *address);
/** Records that the link to a control replica is, or was until now, up. */
void site_dial_used(struct site_dial *dials, const struct link *link);

#endif /* SITE_DIAL_H */
