#include <string.h>

#include "control_flow_impl.h"

/*
 * Records of workers in the replicated state. A worker that was restarted under
 * its identity may have accepted a call to its earlier incarnation, whose
 * deadline gives it the longest lease, and may still execute starts that had
 * no answer. A new leader has to know that, also if neither the worker nor its
 * agent can tell it any more.
 */

static bool is_incarnation(const struct flow_worker *record,
			   const struct worker_incarnation *worker)
{
	return !strcmp(record->id, worker->id) &&
	       record->born_ms == worker->born_ms;
}

/*
 * Returns true if the worker's lease may be longer than the granted one because
 * it was restarted, by what is known of it from before this leader's term. A
 * state that an earlier version wrote has no records.
 */
static bool was_restarted(const struct control_flow *flows,
			  const struct flow_worker *record)
{
	return record ? record->restarted : flows->had_bundle;
}

static uint64_t inherited_lapse_us(const struct control_flow *flows,
				   const struct flow_worker *record)
{
	return flows->control->leader_since_us +
	       (was_restarted(flows, record) ?
			control_flow_longest_lease_us(flows) :
			flows->lease_ms * 1000ull);
}

uint64_t control_flow_inherited_lapsed_us(const struct control_flow *flows,
					  const char *vm)
{
	return inherited_lapse_us(
		       flows, state_worker_find(flows->control->state, vm)) +
	       FLOW_LEASE_MARGIN_MS * 1000ull;
}

static void log_inherited(const struct control_flow *flows,
			  const struct flow_worker *record)
{
	GString *line = logline_new("worker-inherited");

	logline_str(line, "vm", record->vm);
	logline_str(line, "worker", record->id);
	logline_u64(line, "born_ms", record->born_ms);
	logline_str(line, "restarted", record->restarted ? "yes" : "no");
	logline_u64(line, "unconfirmed", record->nr_unconfirmed);
	node_log(flows->control->node, line);
}

void control_flow_worker_inherit(struct control_flow *flows, struct flow_vm *vm)
{
	const struct flow_worker *record =
		state_worker_find(flows->control->state, vm->name);

	if (record && (record->restarted || record->nr_unconfirmed))
		log_inherited(flows, record);
	vm->lapse_us = inherited_lapse_us(flows, record);
	if (!was_restarted(flows, record))
		return;
	vm->restarted = true;
	vm->restart_lapse_us = vm->lapse_us;
	vm->bound = FLOW_BOUND_RESTART;
}

bool control_flow_worker_is_restarted(const struct control_flow *flows,
				      const struct flow_vm *vm,
				      const struct worker_incarnation *worker)
{
	const struct flow_worker *record =
		state_worker_find(flows->control->state, vm->name);

	if (vm->worker.id[0])
		return !strcmp(vm->worker.id, worker->id);
	if (!record || is_incarnation(record, worker))
		return was_restarted(flows, record);
	return !strcmp(record->id, worker->id);
}

bool control_flow_worker_is_recorded(const struct control_flow *flows,
				     const struct flow_vm *vm)
{
	const struct flow_worker *record =
		state_worker_find(flows->control->state, vm->name);

	return record && is_incarnation(record, &vm->worker) &&
	       (record->restarted || !vm->restarted);
}

bool control_flow_worker_takes_tasks(const struct control_flow *flows,
				     const struct flow_vm *vm)
{
	/* Agents of an earlier version report no answered token. */
	return control_flow_worker_is_recorded(flows, vm) &&
	       (!vm->restarted || !vm->reports_fence);
}

/* ---- starts that the worker may still execute ---- */

/* Returns the record's entry of the run, NULL if there is none. */
static const struct flow_unconfirmed *
find_unconfirmed(const struct flow_worker *record, const char *task,
		 uint32_t run)
{
	for (uint32_t i = 0; i < record->nr_unconfirmed; i++)
		if (record->unconfirmed[i].run == run &&
		    !strcmp(record->unconfirmed[i].task, task))
			return &record->unconfirmed[i];
	return NULL;
}

/*
 * Returns the time until which a start that an earlier leader has recorded may
 * be executed; it was called before this leader's term.
 */
static uint64_t inherited_late_us(const struct control_flow *flows)
{
	return flows->control->leader_since_us +
	       WORKER_CALL_MAX_DELAY_MS * 1000ull;
}

void control_flow_worker_inherit_run(const struct control_flow *flows,
				     struct flow_placement *placed)
{
	const struct flow_worker *record =
		state_worker_find(flows->control->state, placed->vm->name);
	const struct flow_unconfirmed *start =
		record ? find_unconfirmed(record, placed->name, placed->run) :
			 NULL;

	if (!start)
		return;
	placed->inherited_late_us = inherited_late_us(flows);
	if (start->has_copy)
		placed->copy_late_us = placed->inherited_late_us;
}

static bool has_copy(const struct control_flow *flows,
		     const struct flow_placement *placed)
{
	return placed->copy_late_us > flows->control->node->now_us;
}

/*
 * Returns true if a later leader has to know that the worker may still
 * execute the run's start. Most starts that are waiting for their answers get
 * them soon.
 */
static bool is_unconfirmed(const struct control_flow *flows,
			   const struct flow_placement *placed)
{
	if (!placed->committed || placed->ending)
		return false;
	if (has_copy(flows, placed))
		return true;
	return !control_flow_is_at_worker(placed) &&
	       ((placed->unconfirmed && !placed->starting) ||
		placed->inherited_late_us);
}

/* Returns the VM's runs that the worker may still start. */
static GArray *vm_unconfirmed(const struct control_flow *flows,
			      const struct flow_vm *vm)
{
	GArray *starts =
		g_array_new(FALSE, FALSE, sizeof(struct flow_unconfirmed));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;
		struct flow_unconfirmed start = { .run = placed->run };

		if (!is_unconfirmed(flows, placed))
			continue;
		TEXT_SET(start.task, placed->name);
		start.has_copy = has_copy(flows, placed);
		g_array_append_val(starts, start);
	}
	return starts;
}

/* ---- changes of the records ---- */

/*
 * Returns true if the record lacks one of the starts, or has some though there
 * are none any more. One that is confirmed beside others stays in the record
 * until then, to save commands.
 */
static bool starts_differ(const struct flow_worker *record,
			  const GArray *starts)
{
	for (guint i = 0; i < starts->len; i++) {
		const struct flow_unconfirmed *start =
			&g_array_index(starts, struct flow_unconfirmed, i);
		const struct flow_unconfirmed *recorded =
			find_unconfirmed(record, start->task, start->run);

		if (!recorded || (start->has_copy && !recorded->has_copy))
			return true;
	}
	return !starts->len && record->nr_unconfirmed;
}

/* Adds the VM's record to @a changes if the replicated one isn't up to date. */
static void add_record_change(const struct control_flow *flows,
			      const struct flow_vm *vm, GArray *changes)
{
	const struct flow_worker *record =
		state_worker_find(flows->control->state, vm->name);
	struct flow_worker change = { 0 };
	GArray *starts;

	if (!vm->worker.id[0])
		return;
	TEXT_SET(change.vm, vm->name);
	TEXT_SET(change.id, vm->worker.id);
	change.born_ms = vm->worker.born_ms;
	change.restarted =
		vm->restarted ||
		flows->control->node->now_us <=
			vm->restart_lapse_us + FLOW_LEASE_MARGIN_MS * 1000ull;
	starts = vm_unconfirmed(flows, vm);
	if (!record || !is_incarnation(record, &vm->worker) ||
	    record->restarted != change.restarted ||
	    starts_differ(record, starts)) {
		change.nr_unconfirmed = starts->len;
		change.unconfirmed =
			(struct flow_unconfirmed *)(void *)g_array_steal(starts,
									 NULL);
		g_array_append_val(changes, change);
	}
	g_array_unref(starts);
}

static void change_clear(void *data)
{
	g_free(((struct flow_worker *)data)->unconfirmed);
}

struct expiry_search {
	const struct control_flow *flows;
	GArray *changes;
};

/* Adds a change that drops the record if its VM hasn't reported for
 * FLOW_WORKER_EXPIRE_MS. */
static gboolean add_if_expired(gpointer key, gpointer value, gpointer data)
{
	const struct flow_worker *record = value;
	struct expiry_search *search = data;
	const struct control *control = search->flows->control;
	const struct flow_vm *vm =
		g_hash_table_lookup(search->flows->vms, record->vm);
	uint64_t since_us = vm && vm->reported ? vm->reported_us :
						 control->leader_since_us;
	struct flow_worker change = { 0 };

	if (control->node->now_us - since_us <
		    FLOW_WORKER_EXPIRE_MS * 1000ull ||
	    (vm && g_hash_table_size(vm->runs)))
		return FALSE;
	TEXT_SET(change.vm, record->vm);
	g_array_append_val(search->changes, change);
	return FALSE;
}

static void add_expired(struct control_flow *flows, GArray *changes)
{
	struct expiry_search search = { flows, changes };
	uint64_t now_us = flows->control->node->now_us;

	if (now_us - flows->workers_expired_us <
	    FLOW_WORKER_EXPIRE_CHECK_MS * 1000ull)
		return;
	flows->workers_expired_us = now_us;
	g_tree_foreach(flows->control->state->workers, add_if_expired, &search);
}

static void records_done(struct control *control,
			 const struct control_proposal *proposal,
			 const struct state_outcome *outcome)
{
	struct control_flow *flows = control->flows;
	GHashTableIter iter;
	void *value;

	if (!flows)
		return;
	flows->workers_proposed = false;
	if (outcome->result)
		return;
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;

		if (vm->lease_due)
			control_flow_grant(flows, vm);
	}
	control_flow_place_soon(flows);
	/* Workers may have changed, or been too many for the command. */
	node_timer_ms(control->node, &flows->worker_timer, 0);
}

void control_flow_record_workers(void *data, uint64_t now_us)
{
	struct control_flow *flows = data;
	struct control_proposal proposal = { .done = records_done };
	struct cmd_flow_workers cmd = { 0 };
	GHashTableIter iter;
	GArray *changes;
	void *value;

	if (flows->workers_proposed)
		return;
	changes = g_array_new(FALSE, FALSE, sizeof(struct flow_worker));
	g_array_set_clear_func(changes, change_clear);
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_record_change(flows, value, changes);
	add_expired(flows, changes);
	cmd.nr_workers = MIN(changes->len, FLOW_WORKERS_MAX);
	cmd.workers = (struct flow_worker *)(void *)changes->data;
	counter_add(flows->control->node->counters, "worker_records",
		    cmd.nr_workers);
	if (changes->len)
		flows->workers_proposed = !control_propose(
			flows->control, CMD_FLOW_WORKERS, &cmd, &proposal);
	g_array_unref(changes);
}
