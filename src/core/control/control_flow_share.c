#include "control_flow_share.h"

#include <string.h>

#include "control_flow_impl.h"
#include "control_list.h"
#include "share.h"

/* Of a queue's key "HOST\nPREFIX". */
#define SHARE_KEY_BYTES (NAME_BYTES * 2ul)

/* A queue with runs, workflows or a recent use. */
struct flow_share {
	char host[NAME_BYTES];
	char prefix[NAME_BYTES];
	struct share_queue queue;
	struct share_use use;
	uint32_t nr_flows; /* that have not ended and have a share */
	uint32_t nr_waiting; /* of these, with tasks that wait for a VM */
	bool logged_over; /* share_queue.over in the last line of the log */
	uint64_t logged_us; /* time of that line, 0: none */
};

struct flow_shares {
	GHashTable *by_key; /* "HOST\nPREFIX" -> struct flow_share * */
	GPtrArray *queues; /* struct share_queue * of the same */
	/* "PRIORITY SERVICE" -> struct share_group *, kept for the term */
	GHashTable *groups;
	uint64_t saved_us; /* when uses were last proposed, 0: never */
};

struct flow_shares *flow_shares_new(void)
{
	struct flow_shares *shares = g_new0(struct flow_shares, 1);

	shares->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shares->queues = g_ptr_array_new();
	shares->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return shares;
}

void flow_shares_free(struct flow_shares *shares)
{
	if (!shares)
		return;
	g_ptr_array_unref(shares->queues);
	g_hash_table_unref(shares->by_key);
	g_hash_table_unref(shares->groups);
	g_free(shares);
}

/* ---- queues and groups ---- */

static struct share_group *share_group_of(struct flow_shares *shares,
					  uint32_t priority,
					  const char *service)
{
	char key[NAME_BYTES + 16];
	struct share_group *group;

	g_snprintf(key, sizeof(key), "%u %s", priority, service);
	group = g_hash_table_lookup(shares->groups, key);
	if (!group) {
		group = g_new0(struct share_group, 1);
		g_hash_table_insert(shares->groups, g_strdup(key), group);
	}
	return group;
}

static void share_key(char *key, const char *host, const char *prefix)
{
	g_snprintf(key, SHARE_KEY_BYTES, "%s\n%s", host, prefix);
}

static struct flow_share *share_find(const struct flow_shares *shares,
				     const char *host, const char *prefix)
{
	char key[SHARE_KEY_BYTES];

	share_key(key, host, prefix);
	return g_hash_table_lookup(shares->by_key, key);
}

static uint32_t share_weight(const struct share_record *record)
{
	return record && record->weight ? record->weight :
					  SHARE_WEIGHT_STANDARD;
}

/* Returns the queue, with its weight and use in the state if it is new. */
static struct flow_share *share_get(struct control_flow *flows,
				    const char *host, const char *prefix)
{
	struct flow_shares *shares = flows->shares;
	struct flow_share *share = share_find(shares, host, prefix);
	const struct share_record *record;
	char key[SHARE_KEY_BYTES];

	if (share)
		return share;
	record = state_share_find(flows->control->state, host, prefix);
	share = g_new0(struct flow_share, 1);
	TEXT_SET(share->host, host);
	TEXT_SET(share->prefix, prefix);
	share->queue.group = share_group_of(shares, 0, "");
	share->queue.weight = share_weight(record);
	share_use_init(&share->use, flows->control->node->now_us,
		       record ? record->use_core_ms : 0);
	share_key(key, host, prefix);
	g_hash_table_insert(shares->by_key, g_strdup(key), share);
	g_ptr_array_add(shares->queues, &share->queue);
	return share;
}

void control_flow_share_load(struct control_flow *flows)
{
	GTree *records = flows->control->state->shares;

	for (GTreeNode *node = g_tree_node_first(records); node;
	     node = g_tree_node_next(node)) {
		const struct share_record *record = g_tree_node_value(node);

		if (record->use_core_ms)
			share_get(flows, record->host, record->prefix);
	}
}

/* Returns true if the workflow doesn't end by itself. */
static bool share_exempts(const struct state_flow *flow)
{
	return flow->record.steps[0].lasting;
}

struct flow_share *control_flow_share_join(struct control_flow *flows,
					   const struct state_flow *flow)
{
	struct flow_share *share;

	if (share_exempts(flow))
		return NULL;
	share = share_get(flows, flow->record.host, flow->record.prefix);
	share->nr_flows++;
	control_flow_share_regroup(flows, share, flow);
	return share;
}

void control_flow_share_leave(struct flow_share *share)
{
	if (share)
		share->nr_flows--;
}

void control_flow_share_regroup(struct control_flow *flows,
				struct flow_share *share,
				const struct state_flow *flow)
{
	if (share)
		share->queue.group = share_group_of(flows->shares,
						    flow->record.priority,
						    flow->record.service);
}

void control_flow_share_run(struct control_flow *flows,
			    const struct flow_placement *placed, bool reserved)
{
	const struct flow_record *record = &placed->flow->record;

	if (share_exempts(placed->flow))
		return;
	share_use_run(&share_get(flows, record->host, record->prefix)->use,
		      flows->control->node->now_us, placed->step->cpu_millis,
		      reserved);
}

void control_flow_share_changed(struct control_flow *flows,
				const struct share_record *record)
{
	struct flow_share *share =
		share_find(flows->shares, record->host, record->prefix);

	if (!share)
		return;
	share->queue.weight = share_weight(record);
	control_flow_place_soon(flows);
}

/* ---- the order of workflows ---- */

/*
 * Returns true if a task of the workflow waits for a VM: the last pass of
 * placement found none for it, or no pass has tried since the workflow came or
 * its last step was done.
 */
static bool share_rank_waits(const struct control_flow *flows,
			     const struct flow_rank *rank)
{
	const struct state_flow *flow = rank->flow;

	if (flow->nr_placed + flow->nr_done >= flow->record.nr_tasks)
		return false;
	if (rank->evaluated_change_nr)
		return true;
	if (flow->nr_placed)
		return false;
	if (flow->nr_done)
		return !flow->record.repeats;
	return control_flow_stage_due(flows, flow, 0);
}

/*
 * Updates all queues and decides about them. One step for each workflow and
 * one for each queue, as a pass of placement may follow every 2 ms.
 */
static void share_update(struct control_flow *flows)
{
	GPtrArray *queues = flows->shares->queues;
	uint64_t now_us = flows->control->node->now_us;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->shares->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct flow_share *)value)->nr_waiting = 0;
	for (guint i = 0; i < flows->ranks->len; i++) {
		const struct flow_rank *rank =
			&g_array_index(flows->ranks, struct flow_rank, i);

		if (rank->share && share_rank_waits(flows, rank))
			rank->share->nr_waiting++;
	}
	g_hash_table_iter_init(&iter, flows->shares->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_share *share = value;

		share_use_advance(&share->use, now_us);
		share->queue.use_core_ms = share_use_core_ms(&share->use);
		share->queue.waits = share->nr_waiting > 0;
		share->queue.works = share->queue.waits ||
				     share->use.running_millis > 0;
	}
	share_evaluate((struct share_queue *const *)(void *)queues->pdata,
		       queues->len);
}

/* Logs that the queue went over its share, or is back. */
static void share_log(struct control_flow *flows, struct flow_share *share)
{
	uint64_t now_us = flows->control->node->now_us;
	GString *line;

	if (share->queue.over == share->logged_over ||
	    (share->logged_us &&
	     now_us - share->logged_us < SHARE_LOG_INTERVAL_MS * 1000ull))
		return;
	share->logged_over = share->queue.over;
	share->logged_us = now_us;
	line = logline_new("share");
	logline_str(line, "host", share->host);
	logline_str(line, "prefix", share->prefix);
	logline_str(line, "state", share->queue.over ? "over" : "within");
	logline_u64(line, "weight", share->queue.weight);
	logline_u64(line, "share_permille", share->queue.share_permille);
	logline_u64(line, "use_core_ms", share->queue.use_core_ms);
	logline_u64(line, "excess_core_ms", share->queue.excess_core_ms);
	logline_u64(line, "group_use_core_ms", share->queue.group->use_core_ms);
	logline_u64(line, "waiting", share->nr_waiting);
	node_log(flows->control->node, line);
}

void control_flow_share_rank(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;
	GHashTableIter iter;
	void *value;

	if (!flows->policy->shares)
		return;
	share_update(flows);
	for (guint i = 0; i < flows->ranks->len; i++) {
		struct flow_rank *rank =
			&g_array_index(flows->ranks, struct flow_rank, i);

		rank->deferred =
			rank->share &&
			share_defers(&rank->share->queue, rank->due_us, now_us);
	}
	g_hash_table_iter_init(&iter, flows->shares->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		share_log(flows, value);
}

/* ---- the replicated state ---- */

/*
 * Adds the queue's use to the command if the stored one is out of date. With a
 * policy without shares, stored uses are dropped.
 */
static void share_collect(const struct control_flow *flows,
			  const struct flow_share *share, GArray *uses)
{
	const struct share_record *stored = state_share_find(
		flows->control->state, share->host, share->prefix);
	uint64_t use_core_ms =
		flows->policy->shares ? share_use_core_ms(&share->use) : 0;
	struct share_record record = { 0 };

	if (uses->len >= SHARE_SAVE_MAX ||
	    !share_use_changed(stored ? stored->use_core_ms : 0, use_core_ms))
		return;
	TEXT_SET(record.host, share->host);
	TEXT_SET(record.prefix, share->prefix);
	record.use_core_ms = use_core_ms < SHARE_MIN_CORE_MS ? 0 : use_core_ms;
	g_array_append_val(uses, record);
}

/* Returns true if nothing would be lost without the queue's object. */
static bool share_is_idle(const struct control_flow *flows,
			  const struct flow_share *share)
{
	const struct share_record *stored = state_share_find(
		flows->control->state, share->host, share->prefix);

	return !share->nr_flows && !share->use.running_millis &&
	       !share->logged_over &&
	       share_use_core_ms(&share->use) < SHARE_MIN_CORE_MS &&
	       !(stored && stored->use_core_ms);
}

void control_flow_share_save(struct control_flow *flows)
{
	struct flow_shares *shares = flows->shares;
	struct counters *counters = flows->control->node->counters;
	uint64_t now_us = flows->control->node->now_us;
	struct cmd_share_uses cmd = { 0 };
	uint64_t nr_over = 0;
	GHashTableIter iter;
	GArray *uses;
	void *value;

	if (shares->saved_us &&
	    now_us - shares->saved_us < SHARE_SAVE_INTERVAL_MS * 1000ull)
		return;
	shares->saved_us = now_us;
	uses = g_array_new(FALSE, FALSE, sizeof(struct share_record));
	g_hash_table_iter_init(&iter, shares->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_share *share = value;

		share_use_advance(&share->use, now_us);
		nr_over += share->queue.over;
		share_collect(flows, share, uses);
		if (!share_is_idle(flows, share))
			continue;
		g_ptr_array_remove_fast(shares->queues, &share->queue);
		g_hash_table_iter_remove(&iter);
	}
	counter_set(counters, "queues_over_share", nr_over);
	counter_add(counters, "share_uses_stored", uses->len);
	cmd.nr_uses = uses->len;
	cmd.uses = (struct share_record *)(void *)uses->data;
	/*
	 * A lost proposal is made up for by the next one, as each compares with
	 * the committed state.
	 */
	if (uses->len)
		control_propose(flows->control, CMD_SHARE_USES, &cmd, NULL);
	g_array_unref(uses);
}

/* ---- the operators' list ---- */

static void share_fill_item(const struct control *control,
			    struct op_share *item)
{
	const struct share_record *record =
		state_share_find(control->state, item->host, item->prefix);
	const struct flow_share *share =
		share_find(control->flows->shares, item->host, item->prefix);

	item->weight = share_weight(record);
	item->weight_set = record && record->weight;
	if (!share)
		return;
	item->share_permille = share->queue.share_permille;
	item->use_core_ms = share->queue.use_core_ms;
	item->excess_core_ms = share->queue.excess_core_ms;
	item->over = share->queue.over;
	item->workflows = share->nr_flows;
	item->waiting = share->nr_waiting;
}

/* Appends the queues of the bundle in force; @a keys gets their keys. */
static void share_list_bundle(const struct bundle *bundle, GHashTable *keys,
			      GArray *items)
{
	for (uint32_t i = 0; bundle && i < bundle->nr_queues; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];
		struct op_share item = { .nr = items->len + 1 };
		char key[SHARE_KEY_BYTES];

		TEXT_SET(item.queue, queue->name);
		TEXT_SET(item.host, queue->host);
		TEXT_SET(item.prefix, queue->prefix);
		TEXT_SET(item.service, queue->service);
		item.priority = queue->priority;
		share_key(key, item.host, item.prefix);
		g_hash_table_add(keys, g_strdup(key));
		g_array_append_val(items, item);
	}
}

/* Appends queues that aren't in the bundle but have a weight or a use. */
static void share_list_records(const struct state *state, GHashTable *keys,
			       GArray *items)
{
	for (GTreeNode *node = g_tree_node_first(state->shares); node;
	     node = g_tree_node_next(node)) {
		const struct share_record *record = g_tree_node_value(node);
		struct op_share item = { .nr = items->len + 1 };

		if (g_hash_table_contains(keys, g_tree_node_key(node)))
			continue;
		TEXT_SET(item.queue, record->name);
		TEXT_SET(item.host, record->host);
		TEXT_SET(item.prefix, record->prefix);
		g_array_append_val(items, item);
	}
}

void control_list_shares(struct control *control, uint64_t ticket,
			 const void *body)
{
	const struct op_query *query = body;
	uint32_t limit = query->max_items ?
				 MIN(query->max_items, LIST_MAX_ITEMS) :
				 LIST_MAX_ITEMS;
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct op_share));
	struct op_shares reply = { 0 };

	share_list_bundle(control->state->bundles.in_force, keys, items);
	share_list_records(control->state, keys, items);
	share_update(control->flows);
	g_array_remove_range(items, 0, (guint)MIN(query->after_id, items->len));
	g_array_set_size(items, MIN(items->len, limit));
	for (guint i = 0; i < items->len; i++)
		share_fill_item(control,
				&g_array_index(items, struct op_share, i));
	reply.nr_shares = items->len;
	reply.shares = (struct op_share *)(void *)items->data;
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_SHARES, &reply);
	g_array_unref(items);
	g_hash_table_unref(keys);
}
