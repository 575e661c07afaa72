#include "state_share.h"

#include <string.h>

#include "state.h"

static char *share_key(const char *host, const char *prefix)
{
	return g_strconcat(host, "\n", prefix, NULL);
}

/* Returns true if @a text is "HOSTPREFIX", which starts with a '/' in PREFIX.
 */
static bool share_is_path(const char *text, const char *host,
			  const char *prefix)
{
	size_t len = strlen(host);

	return len + strlen(prefix) && !strncmp(text, host, len) &&
	       !strcmp(text + len, prefix);
}

/*
 * Sets the host, prefix and name of the queue that the text denotes. A path
 * denotes one queue at the most; a name may be that of several.
 */
static enum result share_resolve(const struct state *state, const char *text,
				 struct share_record *found,
				 const char **message)
{
	const struct bundle *bundle = state->bundles.in_force;
	uint32_t nr = 0;

	for (uint32_t i = 0; bundle && i < bundle->nr_queues; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];
		bool path = share_is_path(text, queue->host, queue->prefix);

		if (!path && (!*text || strcmp(text, queue->name) != 0))
			continue;
		TEXT_SET(found->host, queue->host);
		TEXT_SET(found->prefix, queue->prefix);
		TEXT_SET(found->name, queue->name);
		nr++;
		if (path) {
			nr = 1;
			break;
		}
	}
	if (nr > 1)
		*message = "several queues have this name; give the host and "
			   "the path prefix";
	return nr == 1 ? RESULT_OK : RESULT_UNKNOWN_QUEUE;
}

/* As share_resolve(), among the records with a weight. */
static enum result share_resolve_record(const struct state *state,
					const char *text,
					struct share_record *found,
					const char **message)
{
	uint32_t nr = 0;

	for (GTreeNode *node = g_tree_node_first(state->shares); node;
	     node = g_tree_node_next(node)) {
		const struct share_record *record = g_tree_node_value(node);
		bool path = share_is_path(text, record->host, record->prefix);

		if (!record->weight ||
		    (!path && (!*text || strcmp(text, record->name) != 0)))
			continue;
		*found = *record;
		nr++;
		if (path) {
			nr = 1;
			break;
		}
	}
	if (nr > 1)
		*message = "several queues have this name; give the host and "
			   "the path prefix";
	return nr == 1 ? RESULT_OK : RESULT_UNKNOWN_QUEUE;
}

/* Checks the change and finds its queue. */
static enum result share_find_queue(const struct state *state,
				    const struct cmd_share_weight *cmd,
				    struct share_record *found,
				    const char **message)
{
	enum result result;

	if (cmd->weight > SHARE_WEIGHT_MAX) {
		*message = "a weight is at most 1000000";
		return RESULT_OUT_OF_RANGE;
	}
	result = share_resolve(state, cmd->queue, found, message);
	if (result && !*message && !cmd->weight)
		result =
			share_resolve_record(state, cmd->queue, found, message);
	if (!result && cmd->weight &&
	    !state_share_find(state, found->host, found->prefix) &&
	    g_tree_nnodes(state->shares) >= SHARE_MAX_RECORDS) {
		*message = "too many queues have a weight; remove one";
		return RESULT_OVERLOADED;
	}
	return result;
}

const struct share_record *state_share_find(const struct state *state,
					    const char *host,
					    const char *prefix)
{
	char *key = share_key(host, prefix);
	const struct share_record *record = g_tree_lookup(state->shares, key);

	g_free(key);
	return record;
}

enum result state_share_check(const struct state *state,
			      const struct cmd_share_weight *cmd,
			      const char **message)
{
	struct share_record found = { 0 };

	return share_find_queue(state, cmd, &found, message);
}

void state_share_restore(struct state *state, const struct share_record *record)
{
	char *key = share_key(record->host, record->prefix);

	if (record->weight || record->use_core_ms) {
		g_tree_replace(state->shares, key,
			       g_memdup2(record, sizeof(*record)));
		return;
	}
	g_tree_remove(state->shares, key);
	g_free(key);
}

struct state_outcome state_share_set(struct state *state, const void *body)
{
	const struct cmd_share_weight *cmd = body;
	struct state_outcome outcome = { 0 };
	struct share_record record = { 0 };
	const struct share_record *stored;

	outcome.result =
		share_find_queue(state, cmd, &record, &outcome.message);
	if (outcome.result)
		return outcome;
	stored = state_share_find(state, record.host, record.prefix);
	record.use_core_ms = stored ? stored->use_core_ms : 0;
	record.weight = cmd->weight;
	state_share_restore(state, &record);
	state_share_changed(state, &record);
	return outcome;
}

struct state_outcome state_share_use(struct state *state, const void *body)
{
	const struct cmd_share_uses *cmd = body;
	struct state_outcome outcome = { 0 };

	for (uint32_t i = 0; i < cmd->nr_uses; i++) {
		struct share_record record = cmd->uses[i];
		const struct share_record *stored =
			state_share_find(state, record.host, record.prefix);

		/* Without a record, the next leader counts from 0. */
		if (!stored &&
		    g_tree_nnodes(state->shares) >= SHARE_MAX_USE_RECORDS)
			continue;
		record.weight = stored ? stored->weight : 0;
		TEXT_SET(record.name, stored ? stored->name : "");
		state_share_restore(state, &record);
	}
	return outcome;
}
