#include <string.h>

#include "control_flow_impl.h"
#include "control_list.h"
#include "control_op.h"

/* Answers to operators who list workflows or query one of them. */

static void show_summary(struct op_flow *item, const struct state_flow *flow)
{
	TEXT_SET(item->id, flow->record.id);
	TEXT_SET(item->queue, flow->record.prefix);
	TEXT_SET(item->service, flow->record.service);
	TEXT_SET(item->state, flow_state_name(flow->record.state));
	item->priority = flow->record.priority;
	item->tasks = flow->record.nr_tasks;
	item->placed = flow->nr_placed;
	item->done = flow->nr_done;
	item->submitted_ms = flow->record.submitted_ms;
	item->finished_ms = flow->record.finished_ms;
}

static const char *stage_state(const struct flow_demand *demand)
{
	const struct state_flow_stage *stage =
		&demand->flow->stages[demand->stage];

	if (stage->nr_done == demand->step->count)
		return "done";
	if (!state_flow_is_active(demand->flow))
		return "ended";
	if (!state_flow_stage_ready(demand->flow, demand->stage))
		return "before";
	if (!control_flow_stage_due(demand->flows, demand->flow, demand->stage))
		return "not-due";
	return stage->nr_placed + stage->nr_done == demand->step->count ?
		       "placed" :
		       "waiting";
}

static void show_step(GArray *steps, struct control_flow *flows,
		      struct state_flow *flow, uint32_t nr)
{
	const struct state_flow_stage *stage = &flow->stages[nr];
	const struct flow_wait *wait =
		g_hash_table_lookup(flows->waits, flow->record.id);
	struct flow_demand demand = {
		.flows = flows,
		.flow = flow,
		.stage = nr,
		.min_gain_permille = flows->policy->min_gain_permille
	};
	struct op_flow_step item = { 0 };
	const char *reserved_vm = "";

	demand.step = state_flow_stage_step(flow, nr);
	item.occurrence = nr / flow->record.nr_steps;
	item.step = nr % flow->record.nr_steps;
	item.tasks = demand.step->count;
	item.placed = stage->nr_placed;
	item.done = stage->nr_done;
	item.failures = stage->nr_failures;
	TEXT_SET(item.state, stage_state(&demand));
	if (!strcmp(item.state, "waiting"))
		TEXT_SET(item.reason, control_flow_wait_reason(&demand));
	if (wait && wait->stage == nr)
		item.waited_ms =
			(flows->control->node->now_us - wait->since_us) / 1000;
	item.reservations = control_flow_reserve_show(
		flows, flow, nr, &reserved_vm, &item.reserved_in_ms);
	TEXT_SET(item.reserved_vm, reserved_vm);
	g_array_append_val(steps, item);
}

static const char *run_state(const struct flow_placement *placed)
{
	return placed->ending	? "ending" :
	       placed->stopping ? "stopping" :
	       placed->listed	? "running" :
				  "ordered";
}

static void show_runs(GArray *runs, const struct control_flow *flows,
		      const struct state_flow *flow)
{
	for (uint32_t i = 0;
	     i < flow->record.nr_tasks && runs->len < LIST_MAX_ITEMS; i++) {
		const struct flow_placement *placed =
			flow->record.tasks[i].state == FLOW_TASK_PLACED ?
				control_flow_placement(flows, flow, i) :
				NULL;
		struct op_flow_run item = { 0 };

		if (!placed)
			continue;
		TEXT_SET(item.task, placed->name);
		TEXT_SET(item.vm, placed->vm->name);
		TEXT_SET(item.state, run_state(placed));
		item.run = placed->run;
		item.percent = placed->percent;
		item.pace = placed->pace;
		if (placed->listed)
			item.ran_ms = (flows->control->node->now_us -
				       placed->listed_us) /
				      1000;
		g_array_append_val(runs, item);
	}
}

/* Adds the workflow's recent ends, the newest first. */
static void show_ends(GArray *ends, const struct control_flow *flows,
		      const struct state_flow *flow)
{
	uint64_t nr = MIN(flows->nr_past, FLOW_RECENT_ENDS_MAX);
	char *prefix = g_strconcat(flow->record.id, ".", NULL);

	for (uint64_t i = 1; i <= nr; i++) {
		const struct flow_past_end *past =
			&flows->past[(flows->nr_past - i) %
				     FLOW_RECENT_ENDS_MAX];
		struct op_flow_end item = { .run = past->run };

		if (!g_str_has_prefix(past->task, prefix))
			continue;
		TEXT_SET(item.task, past->task);
		TEXT_SET(item.vm, past->vm);
		TEXT_SET(item.end, flow_end_name(past->end));
		item.ended_ms_ago =
			(flows->control->node->now_us - past->at_us) / 1000;
		g_array_append_val(ends, item);
	}
	g_free(prefix);
}

static void show_one(struct control *control, uint64_t ticket,
		     struct state_flow *flow)
{
	GArray *steps = g_array_new(FALSE, TRUE, sizeof(struct op_flow_step));
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct op_flow_run));
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(struct op_flow_end));
	struct op_flow item = { 0 };
	struct op_flows reply = { .nr_flows = 1, .flows = &item };

	show_summary(&item, flow);
	/* The record of a workflow that has ended has no tasks. */
	for (uint32_t i = 0; i < flow->nr_stages && flow->record.nr_tasks &&
			     steps->len < LIST_MAX_ITEMS;
	     i++)
		show_step(steps, control->flows, flow, i);
	show_runs(runs, control->flows, flow);
	show_ends(ends, control->flows, flow);
	item.nr_steps = steps->len;
	item.steps = (struct op_flow_step *)(void *)steps->data;
	item.nr_runs = runs->len;
	item.runs = (struct op_flow_run *)(void *)runs->data;
	item.nr_ends = ends->len;
	item.ends = (struct op_flow_end *)(void *)ends->data;
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_FLOWS, &reply);
	g_array_unref(steps);
	g_array_unref(runs);
	g_array_unref(ends);
}

static void show_all(struct control *control, uint64_t ticket,
		     const struct op_query *query)
{
	GTree *flows = control->state->flows;
	uint32_t limit = query->max_items ?
				 MIN(query->max_items, LIST_MAX_ITEMS) :
				 LIST_MAX_ITEMS;
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct op_flow));
	struct op_flows reply = { 0 };

	for (GTreeNode *node =
		     query->after_name[0] ?
			     g_tree_upper_bound(flows, query->after_name) :
			     g_tree_node_first(flows);
	     node && items->len < limit; node = g_tree_node_next(node)) {
		struct op_flow item = { 0 };

		show_summary(&item, g_tree_node_value(node));
		g_array_append_val(items, item);
	}
	reply.nr_flows = items->len;
	reply.flows = (struct op_flow *)(void *)items->data;
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_FLOWS, &reply);
	g_array_unref(items);
}

void control_list_flows(struct control *control, uint64_t ticket,
			const void *body)
{
	const struct op_query *query = body;
	struct state_flow *flow =
		state_flow_find(control->state, query->flow_id);

	if (!query->flow_id[0])
		show_all(control, ticket, query);
	else if (flow)
		show_one(control, ticket, flow);
	else
		control_op_reply(control, ticket, RESULT_UNKNOWN_OBJECT,
				 "no such workflow");
}
