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

void control_flow_add_orphans(const struct flow_vm *vm,
			      const struct flow_demand *demand,
			      struct flow_load *load)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->orphans);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_step *step;
		struct state_flow *flow;
		uint32_t stage;

		if (!state_flow_stage_find(demand->flows->control->state, key,
					   &flow, &stage))
			continue;
		step = state_flow_stage_step(flow, stage);
		load->cpu_millis += step->filler ? 0 : step->cpu_millis;
		load->memory_mib += step->memory_mib;
		load->accelerators += step->accelerators;
		load->stage_orphans += flow == demand->flow &&
				       stage == demand->stage;
	}
}

static void orphan_log(struct control_flow *flows, const struct flow_vm *vm,
		       const char *task, const struct flow_orphan *orphan,
		       const char *change)
{
	GString *line = logline_new("orphan");
	const struct flow_task *record = NULL;
	struct state_flow *flow;
	uint32_t nr;

	if (state_flow_task_find(flows->control->state, task, &flow, &nr))
		record = &flow->record.tasks[nr];
	logline_str(line, "task", task);
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
		       GHashTable *before, const struct flow_run *run)
{
	const struct flow_orphan *known =
		g_hash_table_lookup(before, run->task);
	struct flow_orphan *orphan = g_new0(struct flow_orphan, 1);
	bool same = known && known->run == run->run;

	orphan->run = run->run;
	orphan->unconfirmed = run->unconfirmed;
	orphan->since_us = same ? known->since_us :
				  flows->control->node->now_us;
	g_hash_table_replace(vm->orphans, g_strdup(run->task), orphan);
	if (same && known->unconfirmed == orphan->unconfirmed)
		return;
	if (!same)
		counter_add(flows->control->node->counters, "orphans", 1);
	orphan_log(flows, vm, run->task, orphan, "listed");
}

void control_flow_update_orphans(struct control_flow *flows, struct flow_vm *vm,
				 const struct flow_report *report)
{
	GHashTable *before = vm->orphans;
	GHashTableIter iter;
	void *key;
	void *value;

	vm->orphans =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (uint32_t i = 0; i < report->nr_runs; i++)
		if (!control_flow_placed_run(flows, vm, &report->runs[i]))
			orphan_add(flows, vm, before, &report->runs[i]);
	g_hash_table_iter_init(&iter, before);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (g_hash_table_contains(vm->orphans, key))
			continue;
		orphan_log(flows, vm, key, value, "gone");
		control_flow_vm_changed(flows, vm);
		control_flow_place_soon(flows);
	}
	g_hash_table_unref(before);
}
