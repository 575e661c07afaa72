#include "control_vm.h"

#include <string.h>

#include "control_impl.h"

#define CONTROL_LOST_US ((LEASE_TTL_MS + LEASE_MARGIN_MS) * 1000ull)

struct control_vm *control_vm_track(struct control *control, const char *name)
{
	struct control_vm *tracked = g_hash_table_lookup(control->vms, name);

	if (tracked)
		return tracked;
	tracked = g_new0(struct control_vm, 1);
	TEXT_SET(tracked->name, name);
	/* Earlier leaders may have granted leases until this time. */
	tracked->heard_us = control->leader_since_us;
	g_hash_table_replace(control->vms, tracked->name, tracked);
	return tracked;
}

static gboolean control_vm_append_task(gpointer key, gpointer value,
				       gpointer data)
{
	g_ptr_array_add(data, value);
	return FALSE;
}

static GPtrArray *control_vm_tasks(const struct state_vm *vm)
{
	GPtrArray *tasks = g_ptr_array_new();

	g_tree_foreach(vm->tasks, control_vm_append_task, tasks);
	return tasks;
}

/*
 * Fills @a confirmed with the ids and @a seen with the tasks of reported runs
 * that are committed to the VM.
 */
static void control_vm_handle_runs(struct control *control,
				   const struct state_vm *vm,
				   const struct report *report,
				   GArray *confirmed, GHashTable *seen)
{
	for (uint32_t i = 0; i < report->nr_tasks; i++) {
		const struct platform_task *run = &report->tasks[i];

		if (!control_task_reported(control, vm, run))
			continue;
		g_array_append_val(confirmed, run->task_id);
		g_hash_table_add(seen,
				 state_task_find(control->state, run->task_id));
	}
}

static void control_vm_send_grant(struct control *control, uint64_t from,
				  const struct state_vm *vm,
				  const struct report *report,
				  const GArray *confirmed)
{
	const struct bundle *bundle = control->state->bundles.in_force;
	bool in = state_zone_is_in(control->state, vm->record.zone);
	struct grant grant = { 0 };

	grant.seq = report->seq;
	grant.sent_us = report->sent_us;
	grant.term = raft_term(control->raft);
	grant.lease_ms = LEASE_TTL_MS;
	if (in && vm->record.state == VM_LIVE)
		grant.permit_ms = PERMIT_TTL_MS;
	grant.zone_out = !in;
	grant.bundle_version = bundle ? bundle->version : 0;
	grant.nr_confirmed = confirmed->len;
	grant.confirmed = (uint64_t *)(void *)confirmed->data;
	node_send(control->node, from, MSG_GRANT, &grant);
	counter_add(control->node->counters, "grants_sent", 1);
}

static void control_vm_set_done(struct control *control,
				const struct control_proposal *proposal,
				const struct state_outcome *outcome)
{
	struct control_vm *tracked =
		g_hash_table_lookup(control->vms, proposal->vm);

	if (!tracked)
		return;
	tracked->set_pending = false;
	/*
	 * A VM that was just recorded as live isn't declared lost again before
	 * it had the time of a lease to report.
	 */
	if (!outcome->result)
		tracked->heard_us = control->node->now_us;
}

static bool control_vm_same(const struct vm_record *a,
			    const struct vm_record *b)
{
	return a->node_id == b->node_id && a->state == b->state &&
	       !strcmp(a->zone, b->zone) && !strcmp(a->rack, b->rack) &&
	       !strcmp(a->address, b->address) &&
	       a->cpu_millis == b->cpu_millis &&
	       a->memory_mib == b->memory_mib &&
	       a->accelerators == b->accelerators;
}

/* Proposes the reported description of the VM if it has changed. */
static void control_vm_register(struct control *control,
				const struct report *report,
				const struct state_vm *vm)
{
	struct control_vm *tracked = control_vm_track(control, report->vm.name);
	struct control_proposal proposal = { .done = control_vm_set_done };
	struct vm_record record = report->vm;
	struct state_outcome check;

	record.state = report->leaving ? VM_LEAVING : VM_LIVE;
	record.quarantined = false;
	if (tracked->set_pending ||
	    (vm && control_vm_same(&vm->record, &record)))
		return;
	check = state_vm_check_set(control->state, &record);
	if (check.result) {
		/*
		 * Without grants the VM's tasks stop, after which the state
		 * accepts the change.
		 */
		counter_add(control->node->counters, "vms_refused", 1);
		return;
	}
	TEXT_SET(proposal.vm, record.name);
	tracked->set_pending =
		!control_propose(control, CMD_VM_SET, &record, &proposal);
}

/*
 * Resets the tracked state of a VM when a new incarnation of its agent reports
 * for the first time.
 */
static void control_vm_new_incarnation(struct control *control,
				       const struct state_vm *vm,
				       struct control_vm *tracked,
				       const struct report *report)
{
	GPtrArray *tasks = control_vm_tasks(vm);

	tracked->node_id = report->vm.node_id;
	tracked->report_seq = 0;
	tracked->first_sent_us = report->sent_us;
	for (uint32_t i = 0; i < tasks->len; i++) {
		struct control_task *task = control_task_track(
			control, g_ptr_array_index(tasks, i));

		/*
		 * Times by the clocks of two incarnations of the agent can't be
		 * compared.
		 */
		task->permit_sent_us = report->sent_us;
		task->nr_starts = 0;
	}
	g_ptr_array_unref(tasks);
}

/*
 * Returns true if a second agent process reports under the VM's name. The first
 * process stays valid as long as it reports.
 */
static bool control_vm_is_duplicate(const struct control *control,
				    const struct state_vm *vm,
				    const struct control_vm *tracked,
				    const struct report *report)
{
	return vm && vm->record.state != VM_LOST &&
	       vm->record.node_id != report->vm.node_id &&
	       tracked->node_id == vm->record.node_id && tracked->report_seq &&
	       node_link(control->node, vm->record.node_id) &&
	       control->node->now_us <
		       tracked->reported_us + REPORT_INTERVAL_MS * 2000ull;
}

void control_vm_report(struct control *control, uint64_t from,
		       const struct report *report)
{
	const struct state_vm *vm =
		state_vm_find(control->state, report->vm.name);
	struct control_peer *peer = g_hash_table_lookup(control->peers, &from);
	struct control_vm *tracked;
	GPtrArray *tasks;
	GArray *confirmed;
	GHashTable *seen;

	if (peer)
		peer->bundle_version = report->bundle_version;
	if (control_check_leader(control) || report->vm.node_id != from)
		return;
	tracked = control_vm_track(control, report->vm.name);
	if (control_vm_is_duplicate(control, vm, tracked, report)) {
		counter_add(control->node->counters, "vm_duplicates", 1);
		return;
	}
	control_vm_register(control, report, vm);
	/*
	 * Tasks of a lost VM may be placed elsewhere, so it gets no leases
	 * until it is recorded as live.
	 */
	if (!vm || vm->record.node_id != from || vm->record.state == VM_LOST ||
	    tracked->loss_pending ||
	    vm->record.cpu_millis > report->vm.cpu_millis ||
	    vm->record.memory_mib > report->vm.memory_mib ||
	    vm->record.accelerators > report->vm.accelerators)
		return;
	if (tracked->node_id != from)
		control_vm_new_incarnation(control, vm, tracked, report);
	if (report->seq <= tracked->report_seq)
		return;
	tracked->report_seq = report->seq;
	tracked->report_sent_us = report->sent_us;
	tracked->reported_us = control->node->now_us;
	tracked->heard_us = control->node->now_us;
	confirmed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	seen = g_hash_table_new(NULL, NULL);
	control_vm_handle_runs(control, vm, report, confirmed, seen);
	control_vm_send_grant(control, from, vm, report, confirmed);
	tasks = control_vm_tasks(vm);
	for (uint32_t i = 0; i < tasks->len; i++)
		if (!g_hash_table_contains(seen, g_ptr_array_index(tasks, i)))
			control_task_not_reported(
				control, g_ptr_array_index(tasks, i), report);
	g_ptr_array_unref(tasks);
	g_hash_table_unref(seen);
	g_array_unref(confirmed);
	plan_usage(control->plan, vm->record.name, report->nr_tasks,
		   report->tasks, control->node->now_us);
	control_plan_soon(control);
}

static void control_vm_lost_done(struct control *control,
				 const struct control_proposal *proposal,
				 const struct state_outcome *outcome)
{
	struct control_vm *tracked =
		g_hash_table_lookup(control->vms, proposal->vm);

	if (tracked)
		tracked->loss_pending = false;
}

void control_vm_check(void *data, uint64_t now_us)
{
	struct control *control = data;

	node_timer_ms(control->node, &control->vm_timer, VM_CHECK_MS);
	for (GTreeNode *node = g_tree_node_first(control->state->vms); node;
	     node = g_tree_node_next(node)) {
		const struct state_vm *vm = g_tree_node_value(node);
		struct control_proposal proposal = { 0 };
		struct cmd_vm_lost lost = { 0 };
		struct control_vm *tracked;
		GString *line;

		if (vm->record.state == VM_LOST)
			continue;
		tracked = control_vm_track(control, vm->record.name);
		if (tracked->loss_pending ||
		    now_us - tracked->heard_us <= CONTROL_LOST_US)
			continue;
		TEXT_SET(lost.name, vm->record.name);
		lost.node_id = vm->record.node_id;
		proposal.done = control_vm_lost_done;
		TEXT_SET(proposal.vm, lost.name);
		tracked->loss_pending = !control_propose(control, CMD_VM_LOST,
							 &lost, &proposal);
		line = logline_new("vm-silent");
		logline_str(line, "vm", lost.name);
		logline_u64(line, "silent_ms",
			    (now_us - tracked->heard_us) / 1000);
		node_log(control->node, line);
		counter_add(control->node->counters, "vms_silent", 1);
	}
}
