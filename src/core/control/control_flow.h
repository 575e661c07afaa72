#ifndef CONTROL_FLOW_H
#define CONTROL_FLOW_H

/**
 * @file control_flow.h
 * The leader's handling of workflows: entries' calls about them, agents'
 * reports, placement, orders to agents and ends of runs. A workflow has steps
 * that may depend on each other, each with a number of equal tasks. A struct
 * control_flow is kept in memory only; each leader rebuilds it from the
 * committed state and the agents' reports.
 */

#include "control.h"
#include "flow.h"
#include "state.h"

struct control_flow;

/**
 * Creates a new leader's tracked state and reserves resources for the committed
 * placements.
 */
struct control_flow *control_flow_new(struct control *control);
void control_flow_free(struct control_flow *flows);

/**
 * Handles MSG_FLOW_CALL. Replicas that aren't the leader reply with an error.
 */
void control_flow_call(struct control *control, uint64_t from,
		       const struct flow_call *call);

/** Handles MSG_FLOW_REPORT. */
void control_flow_report(struct control_flow *flows, uint64_t from,
			 const struct flow_report *report);

/** Handles the adviser's answer; see control_advised(). */
void control_flow_advised(struct control_flow *flows, uint64_t call_nr,
			  enum result result, const struct advice *advice,
			  uint32_t nr_advice);

/*
 * Handle a committed change: of a workflow, of the values of its queue, of a
 * task that was placed (then @a end is FLOW_END_NONE) or has ended, or of a
 * zone.
 */
void control_flow_changed(struct control_flow *flows,
			  const struct state_flow *flow);
void control_flow_queue_changed(struct control_flow *flows,
				const struct state_flow *flow);
void control_flow_task_changed(struct control_flow *flows,
			       struct state_flow *flow, uint32_t task,
			       enum flow_end end);
void control_flow_zone_changed(struct control_flow *flows);

#endif /* CONTROL_FLOW_H */
