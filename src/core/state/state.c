#include "state.h"

#include <string.h>

#include "schema.h"
#include "schema_tables.h"
#include "state_flow_queue.h"

typedef struct state_outcome (*state_apply_fn)(struct state *state,
					       const void *body);

static const struct state_command {
	uint32_t type;
	state_apply_fn apply;
} state_commands[] = {
	{ CMD_BUNDLE_SUBMIT, state_bundle_submit },
	{ CMD_BUNDLE_SIGN, state_bundle_sign },
	{ CMD_ZONE_SET, state_zone_set },
	{ CMD_VM_SET, state_vm_set },
	{ CMD_VM_LOST, state_vm_lost },
	{ CMD_VM_QUARANTINE, state_vm_quarantine },
	{ CMD_JOB_SUBMIT, state_job_submit },
	{ CMD_JOB_CANCEL, state_job_cancel },
	{ CMD_TASK_PLACE, state_task_place },
	{ CMD_TASK_SET, state_task_set },
	{ CMD_CLAIM, claim_acquire },
	{ CMD_CLAIM_DONE, claim_complete },
	{ CMD_EXPIRE, state_job_expire },
	{ CMD_BUNDLE_PUT, state_bundle_put },
	{ CMD_FLOW_SUBMIT, state_flow_submit },
	{ CMD_FLOW_CANCEL, state_flow_cancel },
	{ CMD_FLOW_CHANGE, state_flow_change },
	{ CMD_FLOW_EXPIRE, state_flow_expire },
	{ CMD_PRESSURE, state_pressure_set },
	{ CMD_FLOW_WORKERS, state_worker_set },
	{ CMD_SHARE_WEIGHT, state_share_set },
	{ CMD_SHARE_USES, state_share_use },
};

static void state_add_record(uint32_t type, const void *body, GArray *out)
{
	struct snapshot_record item;

	item.record.type = type;
	item.record.body = schema_dup(type, body);
	g_array_append_val(out, item);
}

static gboolean state_add_vm(gpointer key, gpointer value, gpointer data)
{
	const struct state_vm *vm = value;

	state_add_record(REC_VM, &vm->record, data);
	return FALSE;
}

static gboolean state_add_zone(gpointer key, gpointer value, gpointer data)
{
	state_add_record(REC_ZONE, value, data);
	return FALSE;
}

static gboolean state_add_job(gpointer key, gpointer value, gpointer data)
{
	const struct state_job *job = value;

	state_add_record(REC_JOB, &job->record, data);
	return FALSE;
}

static gboolean state_add_task(gpointer key, gpointer value, gpointer data)
{
	const struct state_task *task = value;

	state_add_record(REC_TASK, &task->record, data);
	return FALSE;
}

static gboolean state_add_flow(gpointer key, gpointer value, gpointer data)
{
	const struct state_flow *flow = value;

	state_add_record(REC_FLOW, &flow->record, data);
	return FALSE;
}

static gboolean state_add_pressure(gpointer key, gpointer value, gpointer data)
{
	state_add_record(REC_PRESSURE, value, data);
	return FALSE;
}

static gboolean state_add_worker(gpointer key, gpointer value, gpointer data)
{
	state_add_record(REC_FLOW_WORKER, value, data);
	return FALSE;
}

static gboolean state_add_share(gpointer key, gpointer value, gpointer data)
{
	state_add_record(REC_SHARE, value, data);
	return FALSE;
}

static gint state_compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Sorts the claims, as equal states must give equal snapshots. */
static void state_add_claims(const struct state *state, GArray *out)
{
	guint nr;
	void **keys = g_hash_table_get_keys_as_array(state->claims, &nr);

	qsort(keys, nr, sizeof(*keys), state_compare_keys);
	for (guint i = 0; i < nr; i++)
		state_add_record(REC_CLAIM,
				 g_hash_table_lookup(state->claims, keys[i]),
				 out);
	g_free(keys);
}

static void state_add_bundle(const struct bundle *bundle, GArray *out)
{
	if (bundle)
		state_add_record(REC_BUNDLE, bundle, out);
}

static void state_clear(struct state *state)
{
	state_bundles_clear(&state->bundles);
	g_clear_pointer(&state->claims, g_hash_table_unref);
	g_clear_pointer(&state->flows, g_tree_unref);
	g_clear_pointer(&state->pressures, g_tree_unref);
	g_clear_pointer(&state->workers, g_tree_unref);
	g_clear_pointer(&state->shares, g_tree_unref);
	g_clear_pointer(&state->job_keys, g_hash_table_unref);
	g_clear_pointer(&state->tasks, g_tree_unref);
	g_clear_pointer(&state->jobs, g_tree_unref);
	g_clear_pointer(&state->vms, g_tree_unref);
	g_clear_pointer(&state->zones, g_tree_unref);
	memset(&state->counters, 0, sizeof(state->counters));
}

static void state_init(struct state *state)
{
	state->zones = g_tree_new_full(state_compare_names, NULL, NULL, g_free);
	state->vms =
		g_tree_new_full(state_compare_names, NULL, NULL, state_vm_free);
	state->jobs =
		g_tree_new_full(state_compare_ids, NULL, NULL, state_job_free);
	state->tasks = g_tree_new_full(state_compare_ids, NULL, NULL, g_free);
	state->flows = g_tree_new_full(state_compare_names, NULL, NULL,
				       state_flow_free);
	state->pressures =
		g_tree_new_full(state_compare_names, NULL, g_free, g_free);
	state->workers = g_tree_new_full(state_compare_names, NULL, NULL,
					 state_worker_free);
	state->shares =
		g_tree_new_full(state_compare_names, NULL, g_free, g_free);
	state->job_keys = g_hash_table_new(g_str_hash, g_str_equal);
	state->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      claim_free);
}

gint state_compare_ids(gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

gint state_compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

struct state *state_new(void)
{
	struct state *state = g_new0(struct state, 1);

	state_init(state);
	return state;
}

void state_free(struct state *state)
{
	if (!state)
		return;
	state_clear(state);
	g_free(state);
}

void state_watch(struct state *state, const struct state_watch_ops *ops,
		 void *ctx)
{
	state->watch = ops;
	state->watch_ctx = ctx;
}

struct state_outcome state_apply(struct state *state, struct record command)
{
	struct state_outcome outcome = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(state_commands); i++)
		if (state_commands[i].type == command.type)
			return state_commands[i].apply(state, command.body);
	/* CMD_NOOP and CMD_MEMBERS only concern the log. */
	if (command.type != CMD_NOOP && command.type != CMD_MEMBERS)
		outcome.result = RESULT_MALFORMED;
	return outcome;
}

struct snapshot_record *state_snapshot(const struct state *state,
				       uint32_t *nr_records)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct snapshot_record));

	state_add_record(REC_COUNTERS, &state->counters, out);
	state_add_bundle(state->bundles.in_force, out);
	state_add_bundle(state->bundles.submitted, out);
	g_tree_foreach(state->zones, state_add_zone, out);
	g_tree_foreach(state->vms, state_add_vm, out);
	g_tree_foreach(state->jobs, state_add_job, out);
	g_tree_foreach(state->tasks, state_add_task, out);
	g_tree_foreach(state->flows, state_add_flow, out);
	g_tree_foreach(state->pressures, state_add_pressure, out);
	g_tree_foreach(state->workers, state_add_worker, out);
	g_tree_foreach(state->shares, state_add_share, out);
	state_add_claims(state, out);
	*nr_records = out->len;
	return (struct snapshot_record *)(void *)g_array_free(out, FALSE);
}

void state_restore(struct state *state, const struct snapshot_record *records,
		   uint32_t nr_records)
{
	state_clear(state);
	state_init(state);
	for (uint32_t i = 0; i < nr_records; i++) {
		const void *body = records[i].record.body;

		switch (records[i].record.type) {
		case REC_COUNTERS:
			state->counters = *(const struct state_counters *)body;
			break;
		case REC_BUNDLE:
			state_bundle_restore(state, body);
			break;
		case REC_ZONE:
			state_zone_restore(state, body);
			break;
		case REC_VM:
			state_vm_restore(state, body);
			break;
		case REC_JOB:
			state_job_restore(state, body);
			break;
		case REC_TASK:
			state_task_restore(state, body);
			break;
		case REC_FLOW:
			state_flow_restore(state, body);
			break;
		case REC_PRESSURE:
			state_pressure_restore(state, body);
			break;
		case REC_FLOW_WORKER:
			state_worker_restore(state, body);
			break;
		case REC_SHARE:
			state_share_restore(state, body);
			break;
		case REC_CLAIM:
			claim_restore(state, body);
			break;
		default:
			break;
		}
	}
	/* Earlier versions stored queues' values as at the submission. */
	state_flow_apply_bundle(state);
}

static gboolean state_job_expired(gpointer key, gpointer value, gpointer data)
{
	const struct state_job *job = value;
	uint64_t *before_ms = data;

	if (!job->record.finished_ms || job->record.finished_ms >= *before_ms)
		return FALSE;
	*before_ms = 0;
	return TRUE;
}

bool state_has_expired(const struct state *state,
		       const struct cmd_expire *expire)
{
	uint64_t before_ms = expire->jobs_before_ms;
	GHashTableIter iter;
	void *value;

	if (!before_ms)
		return false;
	g_tree_foreach(state->jobs, state_job_expired, &before_ms);
	if (!before_ms)
		return true;
	g_hash_table_iter_init(&iter, state->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct claim_record *claim = value;

		if (claim->claimed_ms < expire->claims_before_ms)
			return true;
	}
	return false;
}

static gboolean state_verify_vm(gpointer key, gpointer value, gpointer data)
{
	const struct state_vm *vm = value;
	uint64_t cpu_millis = 0;
	uint64_t memory_mib = 0;
	uint64_t accelerators = 0;

	for (GTreeNode *node = g_tree_node_first(vm->tasks); node;
	     node = g_tree_node_next(node)) {
		const struct state_task *task = g_tree_node_value(node);

		g_assert(task->vm == vm &&
			 state_task_is_on_vm(task->record.state));
		g_assert(!strcmp(task->record.vm, vm->record.name));
		cpu_millis += task->record.cpu_millis;
		memory_mib += task->record.memory_mib;
		accelerators += task->record.accelerators;
	}
	g_assert(cpu_millis == vm->used_cpu_millis);
	g_assert(memory_mib == vm->used_memory_mib);
	g_assert(accelerators == vm->used_accelerators);
	g_assert(cpu_millis <= vm->record.cpu_millis);
	g_assert(memory_mib <= vm->record.memory_mib);
	g_assert(accelerators <= vm->record.accelerators);
	g_assert(vm->record.state != VM_LOST || !g_tree_nnodes(vm->tasks));
	return FALSE;
}

static gboolean state_verify_task(gpointer key, gpointer value, gpointer data)
{
	const struct state_task *task = value;
	const struct state *state = data;

	g_assert(state_task_is_on_vm(task->record.state) == (task->vm != NULL));
	g_assert((*task->record.vm != 0) == (task->vm != NULL));
	g_assert(task->job == state_job_find(state, task->record.job_id));
	g_assert(g_tree_lookup(task->job->tasks, &task->record.task_id) ==
		 task);
	if (task->vm)
		g_assert(g_tree_lookup(task->vm->tasks,
				       &task->record.task_id) == task);
	return FALSE;
}

static gboolean state_verify_job(gpointer key, gpointer value, gpointer data)
{
	const struct state_job *job = value;
	uint32_t nr_in_state[TASK_CANCELLED + 1] = { 0 };

	for (GTreeNode *node = g_tree_node_first(job->tasks); node;
	     node = g_tree_node_next(node)) {
		const struct state_task *task = g_tree_node_value(node);

		g_assert(task->job == job);
		nr_in_state[task->record.state]++;
	}
	g_assert(!memcmp(nr_in_state, job->nr_in_state, sizeof(nr_in_state)));
	g_assert(!job->record.finished_ms || !state_job_live_tasks(job));
	g_assert(job->record.state != JOB_FINISHED || job->record.finished_ms);
	return FALSE;
}

static gboolean state_verify_flow(gpointer key, gpointer value, gpointer data)
{
	state_flow_verify(value);
	return FALSE;
}

void state_verify(const struct state *state)
{
	g_tree_foreach(state->flows, state_verify_flow, NULL);
	g_tree_foreach(state->jobs, state_verify_job, NULL);
	g_tree_foreach(state->vms, state_verify_vm, NULL);
	g_tree_foreach(state->tasks, state_verify_task, (void *)state);
}

void state_set_clock(struct state *state, uint64_t now_ms)
{
	state->counters.clock_ms = MAX(state->counters.clock_ms, now_ms);
}

void state_bundle_changed(struct state *state, const struct bundle *bundle)
{
	if (state->watch && state->watch->bundle)
		state->watch->bundle(state->watch_ctx, bundle);
}

void state_zone_changed(struct state *state, const struct zone_record *zone)
{
	if (state->watch && state->watch->zone)
		state->watch->zone(state->watch_ctx, zone);
}

void state_vm_changed(struct state *state, const struct state_vm *vm)
{
	if (state->watch && state->watch->vm)
		state->watch->vm(state->watch_ctx, vm);
}

void state_job_changed(struct state *state, const struct state_job *job)
{
	if (state->watch && state->watch->job)
		state->watch->job(state->watch_ctx, job);
}

void state_task_changed(struct state *state, const struct state_task *task,
			const struct task_record *before)
{
	if (state->watch && state->watch->task)
		state->watch->task(state->watch_ctx, task, before);
}

void state_job_dropped(struct state *state, uint64_t job_id)
{
	if (state->watch && state->watch->job_dropped)
		state->watch->job_dropped(state->watch_ctx, job_id);
}

void state_flow_changed(struct state *state, const struct state_flow *flow)
{
	if (state->watch && state->watch->flow)
		state->watch->flow(state->watch_ctx, flow);
}

void state_flow_queue_changed(struct state *state,
			      const struct state_flow *flow)
{
	if (state->watch && state->watch->flow_queue)
		state->watch->flow_queue(state->watch_ctx, flow);
}

void state_flow_task_changed(struct state *state, struct state_flow *flow,
			     uint32_t task, enum flow_end end)
{
	if (state->watch && state->watch->flow_task)
		state->watch->flow_task(state->watch_ctx, flow, task, end);
}

void state_share_changed(struct state *state, const struct share_record *record)
{
	if (state->watch && state->watch->share)
		state->watch->share(state->watch_ctx, record);
}
