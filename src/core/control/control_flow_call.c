#include "control_flow_impl.h"

#include <string.h>

#include "state_flow_queue.h"

/*
 * Calls about workflows, which entries forward to the leader. Only the leader
 * maps a call's path to a queue, so that a change of the bundle, the operators'
 * versioned configuration, takes effect for all entries at once.
 */

static void flow_call_reply(struct control *control, uint64_t to,
			    uint64_t ticket, enum result result,
			    const struct state_flow *flow)
{
	struct flow_reply reply = { .ticket = ticket, .result = result };

	counter_inc_label(control->node->counters, "flow_replies", "result",
			  result_name(result));
	if (flow)
		reply.state = flow->record.state;
	node_send(control->node, to, MSG_FLOW_REPLY, &reply);
}

static void flow_call_reply_later(struct control *control, uint64_t to,
				  uint64_t ticket, uint32_t retry_after_ms)
{
	struct flow_reply reply = { .ticket = ticket,
				    .result = RESULT_NOT_IN_TIME,
				    .retry_after_ms = retry_after_ms };

	counter_inc_label(control->node->counters, "flow_replies", "result",
			  result_name(reply.result));
	node_send(control->node, to, MSG_FLOW_REPLY, &reply);
}

static const struct bundle_queue *
flow_queue_of(const struct bundle *bundle, const char *host, const char *path)
{
	const struct bundle_queue *best = NULL;

	for (uint32_t i = 0; i < bundle->nr_queues; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];

		if (!strcmp(queue->host, host) &&
		    g_str_has_prefix(path, queue->prefix) &&
		    (!best || strlen(queue->prefix) > strlen(best->prefix)))
			best = queue;
	}
	return best;
}

/*
 * Replies to a call once the change that it asked for is committed or refused.
 */
static void flow_call_done(struct control *control,
			   const struct control_proposal *proposal,
			   const struct state_outcome *outcome)
{
	flow_call_reply(control, proposal->peer, proposal->ticket,
			outcome->result, NULL);
}

static void flow_call_propose(struct control *control, uint64_t from,
			      uint64_t ticket, uint32_t type, const void *body)
{
	struct control_proposal proposal = { .done = flow_call_done };
	enum result result;

	proposal.peer = from;
	proposal.ticket = ticket;
	result = control_propose(control, type, body, &proposal);
	if (result)
		flow_call_reply(control, from, ticket, result, NULL);
}

static void flow_call_submit(struct control *control, uint64_t from,
			     const struct flow_call *call,
			     const struct bundle_queue *queue, const char *id)
{
	struct state_flow *known = state_flow_find(control->state, id);
	const char *message = NULL;
	struct flow_record record;
	uint32_t retry_after_ms;
	enum result result;

	if (known) {
		flow_call_reply(control, from, call->ticket, RESULT_OK, known);
		return;
	}
	if (call->nr_flows != 1) {
		flow_call_reply(control, from, call->ticket, RESULT_MALFORMED,
				NULL);
		return;
	}
	/*
	 * Without an adviser there are no tickets, so no worker may start the
	 * queue's tasks.
	 */
	if (queue->ticket_ms && !control->opts.host->advise) {
		flow_call_reply(control, from, call->ticket, RESULT_NO_PERMIT,
				NULL);
		return;
	}
	record = call->flows[0];
	TEXT_SET(record.id, id);
	TEXT_SET(record.host, queue->host);
	TEXT_SET(record.prefix, queue->prefix);
	state_flow_set_queue(&record, queue);
	record.submitted_ms = control_wall_ms(control);
	record.finished_ms = 0;
	record.state = FLOW_QUEUED;
	record.nr_tasks = 0;
	record.tasks = NULL;
	result = state_flow_check(&record, &message);
	retry_after_ms = result ? 0 :
				  control_flow_admit(control->flows, &record,
						     queue->timeout_ms);
	if (result)
		flow_call_reply(control, from, call->ticket, result, NULL);
	else if (retry_after_ms)
		flow_call_reply_later(control, from, call->ticket,
				      retry_after_ms);
	else
		flow_call_propose(control, from, call->ticket, CMD_FLOW_SUBMIT,
				  &record);
}

static void flow_call_cancel(struct control *control, uint64_t from,
			     const struct flow_call *call,
			     const struct bundle_queue *queue, const char *id)
{
	const struct state_flow *flow = state_flow_find(control->state, id);
	struct cmd_flow_cancel cancel = { 0 };

	if (flow && !state_flow_is_active(flow)) {
		flow_call_reply(control, from, call->ticket, RESULT_OK, flow);
		return;
	}
	TEXT_SET(cancel.id, id);
	TEXT_SET(cancel.host, queue->host);
	TEXT_SET(cancel.prefix, queue->prefix);
	cancel.now_ms = control_wall_ms(control);
	flow_call_propose(control, from, call->ticket, CMD_FLOW_CANCEL,
			  &cancel);
}

static void flow_call_state(struct control *control, uint64_t from,
			    const struct flow_call *call,
			    const struct bundle_queue *queue, const char *id)
{
	const struct state_flow *flow = state_flow_find(control->state, id);

	flow_call_reply(control, from, call->ticket,
			flow ? RESULT_OK : RESULT_UNKNOWN_OBJECT, flow);
}

static void flow_call_count(struct control *control, uint64_t from,
			    const struct flow_call *call,
			    const struct bundle_queue *queue)
{
	struct flow_reply reply = { .ticket = call->ticket };

	for (GTreeNode *node = g_tree_node_first(control->state->flows); node;
	     node = g_tree_node_next(node)) {
		const struct state_flow *flow = g_tree_node_value(node);

		reply.nr_pending +=
			state_flow_is_active(flow) &&
			!control_flow_has_started(control->flows, flow) &&
			!strcmp(flow->record.host, queue->host) &&
			!strcmp(flow->record.prefix, queue->prefix);
	}
	node_send(control->node, from, MSG_FLOW_REPLY, &reply);
}

static const struct flow_call_entry {
	uint32_t kind;
	void (*handle)(struct control *control, uint64_t from,
		       const struct flow_call *call,
		       const struct bundle_queue *queue, const char *id);
} flow_calls[] = {
	{ FLOW_CALL_SUBMIT, flow_call_submit },
	{ FLOW_CALL_STATE, flow_call_state },
	{ FLOW_CALL_CANCEL, flow_call_cancel },
};

void control_flow_call(struct control *control, uint64_t from,
		       const struct flow_call *call)
{
	const struct bundle *bundle = control->state->bundles.in_force;
	enum result result = control_check_leader(control);
	const struct bundle_queue *queue;
	const char *id;

	counter_add(control->node->counters, "flow_calls", 1);
	if (!result && !bundle)
		result = RESULT_NO_BUNDLE;
	if (result) {
		flow_call_reply(control, from, call->ticket, result, NULL);
		return;
	}
	queue = flow_queue_of(bundle, call->host, call->path);
	if (!queue) {
		flow_call_reply(control, from, call->ticket,
				RESULT_UNKNOWN_QUEUE, NULL);
		return;
	}
	id = call->path + strlen(queue->prefix);
	if (!id[0]) {
		if (call->kind == FLOW_CALL_STATE)
			flow_call_count(control, from, call, queue);
		else
			flow_call_reply(control, from, call->ticket,
					RESULT_MALFORMED, NULL);
		return;
	}
	if (strlen(id) >= NAME_BYTES - 24 || strchr(id, '/') ||
	    strchr(id, '.')) {
		flow_call_reply(control, from, call->ticket, RESULT_MALFORMED,
				NULL);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(flow_calls); i++)
		if (flow_calls[i].kind == call->kind)
			flow_calls[i].handle(control, from, call, queue, id);
}
