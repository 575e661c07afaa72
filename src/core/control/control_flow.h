#ifndef CONTROL_FLOW_H
#define CONTROL_FLOW_H

/**
 * @file control_flow.h
 * The leader's dealings with workflows: clients' calls, workers' reports,
 * placement, orders and ends. All of it is soft state, made anew by each leader
 * from the committed state and the agents' reports.
 */

#include "control.h"
#include "flow.h"
#include "state.h"

struct control_flow;

/** Becomes the leader's soft state; committed placements are taken over. */
struct control_flow *control_flow_new(struct control *control);
void control_flow_free(struct control_flow *flows);

/** Takes MSG_FLOW_CALL; any replica answers, only the leader with more. */
void control_flow_call(struct control *control, uint64_t from,
		       const struct flow_call *call);

/** Takes MSG_FLOW_REPORT. */
void control_flow_report(struct control_flow *flows, uint64_t from,
			 const struct flow_report *report);

/** Takes the adviser's answer; see control_advised(). */
void control_flow_advised(struct control_flow *flows, uint64_t call_nr,
			  enum result result, const struct advice *advice,
			  uint32_t nr_advice);

/* Committed changes. */
void control_flow_changed(struct control_flow *flows,
			  const struct state_flow *flow);
void control_flow_task_changed(struct control_flow *flows,
			       struct state_flow *flow, uint32_t task,
			       enum flow_end end);
void control_flow_zone_changed(struct control_flow *flows);

#endif /* CONTROL_FLOW_H */
