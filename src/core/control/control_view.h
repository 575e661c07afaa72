#ifndef CONTROL_VIEW_H
#define CONTROL_VIEW_H

/**
 * @file control_view.h
 * The view, a copy of the zones, the agents and the bundle (the operators'
 * versioned configuration), which the leader sends to entries and agents.
 */

#include <stdbool.h>
#include <stdint.h>

#include "msg_control.h"
#include "state_vm.h"

struct control;

/* Note a committed change, which is sent with the next view. */
void control_view_zone(struct control *control, const char *name);
void control_view_vm(struct control *control, const struct state_vm *vm);
void control_view_bundle(struct control *control);

/** Handles MSG_VIEW_QUERY. */
void control_view_query(struct control *control, uint64_t from,
			const struct view_query *query);

/** Sends the whole view to every agent and entry. */
void control_view_announce(struct control *control);

/** Timer function: sends the changes since the last view. */
void control_view_flush(void *data, uint64_t now_us);

#endif /* CONTROL_VIEW_H */
