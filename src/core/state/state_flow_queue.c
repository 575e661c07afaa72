/*
 * The values of a queue that its workflows follow. A workflow's record holds a
 * copy of them, so that the workflow goes on if its queue is removed. The copy
 * is renewed by each bundle that comes into force.
 */

#include "state_flow_queue.h"

#include <string.h>

#include "state.h"

bool state_flow_set_queue(struct flow_record *record,
			  const struct bundle_queue *queue)
{
	uint32_t attempts = MAX(queue->attempts, 1);
	bool same = !strcmp(record->service, queue->service) &&
		    record->priority == queue->priority &&
		    record->attempts == attempts &&
		    record->slack_permille == queue->slack_permille &&
		    record->slo_ms == queue->slo_ms &&
		    record->ticket_ms == queue->ticket_ms;

	TEXT_SET(record->service, queue->service);
	record->priority = queue->priority;
	record->attempts = attempts;
	record->slack_permille = queue->slack_permille;
	record->slo_ms = queue->slo_ms;
	record->ticket_ms = queue->ticket_ms;
	return !same;
}

static char *queue_key(const char *host, const char *prefix)
{
	return g_strconcat(host, "\n", prefix, NULL);
}

/* Returns the bundle's queues by host and prefix. */
static GHashTable *queue_table(const struct bundle *bundle)
{
	GHashTable *queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; i < bundle->nr_queues; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];

		g_hash_table_insert(queues,
				    queue_key(queue->host, queue->prefix),
				    (struct bundle_queue *)queue);
	}
	return queues;
}

const struct bundle_queue *state_flow_queue(const struct state *state,
					    const struct flow_record *record)
{
	const struct bundle *bundle = state->bundles.in_force;

	for (uint32_t i = 0; bundle && i < bundle->nr_queues; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];

		if (!strcmp(queue->host, record->host) &&
		    !strcmp(queue->prefix, record->prefix))
			return queue;
	}
	return NULL;
}

/* Returns the workflows that have not ended; ending one may free its tasks. */
static GPtrArray *active_flows(const struct state *state)
{
	GPtrArray *flows = g_ptr_array_new();

	for (GTreeNode *node = g_tree_node_first(state->flows); node;
	     node = g_tree_node_next(node))
		if (state_flow_is_active(g_tree_node_value(node)))
			g_ptr_array_add(flows, g_tree_node_value(node));
	return flows;
}

void state_flow_apply_bundle(struct state *state)
{
	const struct bundle *bundle = state->bundles.in_force;
	GPtrArray *flows = active_flows(state);
	GHashTable *queues = NULL;

	if (bundle && flows->len)
		queues = queue_table(bundle);
	for (guint i = 0; queues && i < flows->len; i++) {
		struct state_flow *flow = flows->pdata[i];
		char *key = queue_key(flow->record.host, flow->record.prefix);
		const struct bundle_queue *queue =
			g_hash_table_lookup(queues, key);

		g_free(key);
		if (!queue || !state_flow_set_queue(&flow->record, queue))
			continue;
		state_flow_queue_changed(state, flow);
		state_flow_check_attempts(state, flow);
	}
	if (queues)
		g_hash_table_unref(queues);
	g_ptr_array_unref(flows);
}
