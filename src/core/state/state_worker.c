#include "state_worker.h"

#include "schema.h"
#include "schema_tables.h"
#include "state.h"

const struct flow_worker *state_worker_find(const struct state *state,
					    const char *vm)
{
	return g_tree_lookup(state->workers, vm);
}

void state_worker_free(void *data)
{
	if (!data)
		return;
	schema_clear(&flow_worker_schema, data);
	g_free(data);
}

void state_worker_restore(struct state *state, const struct flow_worker *worker)
{
	struct flow_worker *copy;

	if (!worker->id[0]) {
		g_tree_remove(state->workers, worker->vm);
		return;
	}
	copy = g_new0(struct flow_worker, 1);
	schema_copy(&flow_worker_schema, copy, worker);
	g_tree_replace(state->workers, copy->vm, copy);
}

struct state_outcome state_worker_set(struct state *state, const void *body)
{
	const struct cmd_flow_workers *cmd = body;
	struct state_outcome outcome = { 0 };

	for (uint32_t i = 0; i < cmd->nr_workers; i++)
		state_worker_restore(state, &cmd->workers[i]);
	return outcome;
}
