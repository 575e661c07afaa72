#ifndef CONTROL_FLOW_SHARE_H
#define CONTROL_FLOW_SHARE_H

/**
 * @file control_flow_share.h
 * The leader's tracked uses of queues, and the order of workflows by the shares
 * of their queues, see plan/share.h. Long-running workflows have no share: they
 * are neither counted nor placed after others.
 */

#include <stdbool.h>

#include "flow.h"

struct control_flow;
struct flow_placement;
struct flow_rank;
struct flow_share;
struct flow_shares;
struct state_flow;

struct flow_shares *flow_shares_new(void);
void flow_shares_free(struct flow_shares *shares);

/** Takes over the weights and uses in the replicated state. */
void control_flow_share_load(struct control_flow *flows);

/**
 * Counts the workflow for its queue, and returns the queue; NULL if the
 * workflow has no share.
 */
struct flow_share *control_flow_share_join(struct control_flow *flows,
					   const struct state_flow *flow);
/** Undoes control_flow_share_join(); @a share may be NULL. */
void control_flow_share_leave(struct flow_share *share);
/** Takes over the queue's service and priority from one of its workflows. */
void control_flow_share_regroup(struct control_flow *flows,
				struct flow_share *share,
				const struct state_flow *flow);

/** Counts a run whose resources are reserved, or were released. */
void control_flow_share_run(struct control_flow *flows,
			    const struct flow_placement *placed, bool reserved);

/**
 * Sets flow_rank.deferred of all ranks, to false if the policy has no shares.
 */
void control_flow_share_rank(struct control_flow *flows);

/**
 * Proposes the uses that have changed much, if the last proposal is
 * SHARE_SAVE_INTERVAL_MS old, and forgets queues without work and use.
 */
void control_flow_share_save(struct control_flow *flows);

/** Handles a committed change of a queue's weight. */
void control_flow_share_changed(struct control_flow *flows,
				const struct share_record *record);

#endif /* CONTROL_FLOW_SHARE_H */
