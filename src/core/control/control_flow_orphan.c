#include <string.h>

#include "control_flow_impl.h"

/*
 * Orphans: runs that an agent reports although they aren't placed at its VM,
 * for example because they were taken for lost or never started.
 */

static const char *const task_states[] = {
	[FLOW_TASK_WAITING] = "waiting",
	[FLOW_TASK_PLACED] = "placed",
	[FLOW_TASK_DONE] = "done",
};

struct flow_placement *control_flow_placed_run(const struct control_flow *flows,
					       const struct flow_vm *vm,
					       const struct flow_run *run)
{
	struct flow_placement *placed =
		g_hash_table_lookup(flows->runs, run->task);

	return placed && placed->committed && placed->run == run->run &&
			       placed->vm == vm ?
		       placed :
		       NULL;
}

void control_flow_load_add(struct flow_load *load, const struct flow_step *step)
{
	load->cpu_millis += step->filler ? 0 : step->cpu_millis;
	load->memory_mib += step->memory_mib;
	load->accelerators += step->accelerators;
}

static struct flow_orphan *orphan_at(const GArray *orphans, guint i)
{
	return &g_array_index(orphans, struct flow_orphan, i);
}

/* Returns the orphan with the task and run, NULL if there is none. */
static const struct flow_orphan *orphan_find(const GArray *orphans,
					     const char *task, uint32_t run)
{
	for (guint i = 0; i < orphans->len; i++) {
		const struct flow_orphan *orphan = orphan_at(orphans, i);

		if (orphan->run == run && !strcmp(orphan->task, task))
			return orphan;
	}
	return NULL;
}

/*
 * Returns true if the run was placed on an incarnation of the VM's worker that
 * a later one has replaced.
 */
static bool is_of_earlier_incarnation(const struct flow_placement *placed)
{
	const struct flow_task *task =
		&placed->flow->record.tasks[placed->task];

	return task->born_ms < placed->vm->worker.born_ms;
}

bool control_flow_end_is_earlier(const struct flow_vm *vm,
				 const struct flow_placement *placed,
				 const struct flow_run_end *end)
{
	if (!placed || end->end != FLOW_END_DONE || end->run >= placed->run ||
	    placed->step->lasting || placed->step->gang)
		return false;
	return (!placed->ordered_us && !placed->inherited) ||
	       (placed->committed && placed->vm == vm &&
		is_of_earlier_incarnation(placed));
}

uint32_t control_flow_late_done_run(const struct flow_vm *vm,
				    const struct state_flow *flow,
				    uint32_t task,
				    const struct flow_run_end *end)
{
	const struct flow_task *record = &flow->record.tasks[task];
	uint32_t run = end->run;

	if (end->end != FLOW_END_DONE)
		return 0;
	if (run < record->run && record->born_ms < vm->worker.born_ms)
		run = record->run;
	return state_flow_accepts_late_done(flow, task, run, vm->name) ? run :
									 0;
}

const struct flow_orphan *control_flow_vm_orphan(const struct flow_vm *vm,
						 const char *task)
{
	const struct flow_orphan *found = NULL;

	for (guint i = 0; i < vm->orphans->len; i++) {
		const struct flow_orphan *orphan = orphan_at(vm->orphans, i);

		if (!strcmp(orphan->task, task) &&
		    (!found || orphan->unconfirmed))
			found = orphan;
	}
	return found;
}

void control_flow_add_orphans(const struct flow_vm *vm,
			      const struct flow_demand *demand,
			      struct flow_load *load)
{
	for (guint i = 0; i < vm->orphans->len; i++) {
		struct state_flow *flow;
		uint32_t stage;

		if (!state_flow_stage_find(demand->flows->control->state,
					   orphan_at(vm->orphans, i)->task,
					   &flow, &stage))
			continue;
		control_flow_load_add(load, state_flow_stage_step(flow, stage));
		load->stage_orphans += flow == demand->flow &&
				       stage == demand->stage;
	}
}

/* Like control_flow_start_is_barred(), for one task of a gang. */
static bool start_is_barred(struct control_flow *flows,
			    const struct flow_placement *placed)
{
	struct flow_demand demand = { .flows = flows,
				      .flow = placed->flow,
				      .step = placed->step };

	if (control_flow_has_orphan(flows, placed->flow, placed->task))
		return true;
	if (!placed->vm->orphans->len)
		return false;
	demand.stage = state_flow_stage_of(placed->flow, placed->task);
	return control_flow_vm_is_over(placed->vm, &demand);
}

bool control_flow_start_is_barred(struct control_flow *flows,
				  const struct flow_placement *placed)
{
	const struct state_flow *flow = placed->flow;
	uint32_t first;

	if (!flows->nr_orphans)
		return false;
	if (!placed->step->gang)
		return start_is_barred(flows, placed);
	first = state_flow_first_task(flow,
				      state_flow_stage_of(flow, placed->task));
	for (uint32_t i = first; i < first + placed->step->count; i++) {
		const struct flow_placement *other =
			control_flow_placement(flows, flow, i);

		if (other && !other->listed && start_is_barred(flows, other))
			return true;
	}
	return false;
}

static void orphan_log(struct control_flow *flows, const struct flow_vm *vm,
		       const struct flow_orphan *orphan, const char *change)
{
	GString *line = logline_new("orphan");
	const struct flow_task *record = NULL;
	struct state_flow *flow;
	uint32_t nr;

	if (state_flow_task_find(flows->control->state, orphan->task, &flow,
				 &nr))
		record = &flow->record.tasks[nr];
	logline_str(line, "task", orphan->task);
	logline_u64(line, "run", orphan->run);
	logline_str(line, "vm", vm->name);
	logline_str(line, "worker", vm->worker.id);
	logline_str(line, "change", change);
	logline_str(line, "unconfirmed", orphan->unconfirmed ? "yes" : "no");
	logline_u64(line, "since_ms",
		    (flows->control->node->now_us - orphan->since_us) / 1000);
	logline_str(line, "state",
		    record ? task_states[record->state] : "unknown");
	if (record) {
		logline_u64(line, "last_run", record->run);
		logline_str(line, "last_vm", record->vm);
	}
	node_log(flows->control->node, line);
}

/* Adds a reported run to the VM's orphans; @a before has the previous ones. */
static void orphan_add(struct control_flow *flows, struct flow_vm *vm,
		       const GArray *before, const struct flow_run *run)
{
	const struct flow_orphan *known =
		orphan_find(before, run->task, run->run);
	struct flow_orphan orphan = { .run = run->run };

	TEXT_SET(orphan.task, run->task);
	orphan.born_ms = vm->worker.born_ms;
	orphan.unconfirmed = run->unconfirmed;
	orphan.copy_late_us = known ? known->copy_late_us : 0;
	if (run->late_ms)
		orphan.copy_late_us = MAX(orphan.copy_late_us,
					  flows->control->node->now_us +
						  run->late_ms * 1000ull);
	orphan.since_us = known ? known->since_us :
				  flows->control->node->now_us;
	g_array_append_val(vm->orphans, orphan);
	if (known && known->unconfirmed == orphan.unconfirmed)
		return;
	if (!known)
		counter_add(flows->control->node->counters, "orphans", 1);
	orphan_log(flows, vm, &orphan, "listed");
}

void control_flow_orphan_lost_run(struct control_flow *flows,
				  const struct flow_placement *placed)
{
	struct flow_vm *vm = placed->vm;
	struct flow_run run = { .run = placed->run, .unconfirmed = true };

	if (!control_flow_vm_is_reporting(flows, vm) ||
	    !control_flow_is_current_incarnation(placed) ||
	    orphan_find(vm->orphans, placed->name, placed->run))
		return;
	TEXT_SET(run.task, placed->name);
	orphan_add(flows, vm, vm->orphans, &run);
	flows->nr_orphans++;
}

/*
 * Keeps the orphans of the present incarnation if the agent hasn't listed its
 * runs yet: an agent process that has just started knows none.
 */
static void orphans_keep_unlisted(struct flow_vm *vm, const GArray *before)
{
	if (vm->looked || vm->worker.ended)
		return;
	for (guint i = 0; i < before->len; i++) {
		const struct flow_orphan *orphan = orphan_at(before, i);

		if (orphan->born_ms == vm->worker.born_ms &&
		    !orphan_find(vm->orphans, orphan->task, orphan->run))
			g_array_append_vals(vm->orphans, orphan, 1);
	}
}

/*
 * Returns true if the report also has the run's end, from before the worker was
 * restarted under its identity or from a refused start: another start call for
 * the run may be, or have been, carried out since.
 */
static bool report_has_end(const struct flow_report *report,
			   const struct flow_run *run)
{
	for (uint32_t i = 0; i < report->nr_ends; i++) {
		const struct flow_run_end *end = &report->ends[i];

		if (!end->nr && end->run == run->run &&
		    !strcmp(end->task, run->task))
			return true;
	}
	return false;
}

void control_flow_update_orphans(struct control_flow *flows, struct flow_vm *vm,
				 const struct flow_report *report)
{
	GArray *before = vm->orphans;

	vm->orphans = g_array_new(FALSE, FALSE, sizeof(struct flow_orphan));
	for (uint32_t i = 0; i < report->nr_runs; i++) {
		const struct flow_run *run = &report->runs[i];

		if (!control_flow_placed_run(flows, vm, run) ||
		    report_has_end(report, run))
			orphan_add(flows, vm, before, run);
	}
	orphans_keep_unlisted(vm, before);
	flows->nr_orphans += vm->orphans->len - before->len;
	for (guint i = 0; i < before->len; i++) {
		const struct flow_orphan *orphan = orphan_at(before, i);

		if (orphan_find(vm->orphans, orphan->task, orphan->run))
			continue;
		orphan_log(flows, vm, orphan, "gone");
		control_flow_vm_changed(flows, vm);
		control_flow_place_soon(flows);
	}
	g_array_unref(before);
}
