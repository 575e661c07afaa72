#include <string.h>

#include "control_flow_impl.h"

/*
 * Log lines and gauges about workflows, and the reasons why their tasks wait.
 */

#define LOST_TASKS_SHOWN 3

/* Why a VM takes no task of a stage. */
enum wait_reason {
	WAIT_GANG, /* a task fits, but others of its gang find no VM */
	WAIT_NO_ROOM,
	WAIT_RESERVED,
	WAIT_NO_GAIN,
	WAIT_NO_TICKET,
	WAIT_LABEL,
	WAIT_VM_LIMIT,
	WAIT_ZONE_OUT,
	WAIT_BACKOFF,
	WAIT_UNREACHABLE,
	WAIT_SILENT,
	WAIT_LEAVING,
	WAIT_LOST,
	NR_WAIT_REASONS,
};

static const char *const wait_names[] = {
	[WAIT_GANG] = "gang",		[WAIT_NO_ROOM] = "no_room",
	[WAIT_RESERVED] = "reserved",	[WAIT_NO_GAIN] = "no_gain",
	[WAIT_NO_TICKET] = "no_ticket", [WAIT_LABEL] = "label",
	[WAIT_VM_LIMIT] = "vm_limit",	[WAIT_ZONE_OUT] = "zone_out",
	[WAIT_BACKOFF] = "shunned",	[WAIT_UNREACHABLE] = "unreachable",
	[WAIT_SILENT] = "silent",	[WAIT_LEAVING] = "leaving",
	[WAIT_LOST] = "lost",
};

static uint64_t ms_since(const struct control_flow *flows, uint64_t since_us)
{
	return (flows->control->node->now_us - since_us) / 1000;
}

/* ---- why tasks wait ---- */

static enum wait_reason unusable_reason(const struct control_flow *flows,
					const struct flow_vm *vm)
{
	if (!state_zone_is_in(flows->control->state, vm->zone))
		return WAIT_ZONE_OUT;
	if (vm->worker.draining || vm->worker.ended)
		return WAIT_LEAVING;
	if (vm->loss_pending)
		return WAIT_LOST;
	if (!vm->reachable || !vm->looked)
		return WAIT_UNREACHABLE;
	if (flows->control->node->now_us < vm->backoff_until_us ||
	    control_flow_vm_is_barred(flows, vm))
		return WAIT_BACKOFF;
	return WAIT_SILENT;
}

static enum wait_reason unfit_reason(const struct flow_vm *vm,
				     const struct flow_demand *demand)
{
	const struct flow_step *step = demand->step;

	if (step->label[0] && strcmp(vm->worker.kind, step->label) != 0 &&
	    strcmp(vm->worker.rack, step->label) != 0)
		return WAIT_LABEL;
	if (demand->flow->record.ticket_ms &&
	    !flow_advice_ticket(demand->flows, demand->flow, demand->stage, vm))
		return WAIT_NO_TICKET;
	if (control_flow_vm_is_full(vm, demand))
		return WAIT_NO_ROOM;
	if (!control_flow_reserve_admits(vm, demand))
		return WAIT_RESERVED;
	return step->filler ? WAIT_NO_GAIN : WAIT_VM_LIMIT;
}

/* Counts the service's VMs by reason; returns their number. */
static uint32_t count_reasons(const struct flow_demand *demand,
			      uint32_t counts[NR_WAIT_REASONS])
{
	const char *service = demand->flow->record.service;
	uint32_t nr_vms = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, demand->flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;
		enum wait_reason reason = WAIT_GANG;

		if (strcmp(vm->worker.service, service) != 0)
			continue;
		if (!control_flow_vm_usable(demand->flows, vm, service))
			reason = unusable_reason(demand->flows, vm);
		else if (!control_flow_vm_fits(vm, demand))
			reason = unfit_reason(vm, demand);
		counts[reason]++;
		nr_vms++;
	}
	return nr_vms;
}

/* Returns the most frequent reason, no_worker without VMs. */
static const char *wait_reason(const uint32_t counts[NR_WAIT_REASONS],
			       uint32_t nr_vms)
{
	uint32_t most = 0;

	for (uint32_t i = 1; i < NR_WAIT_REASONS; i++)
		if (counts[i] > counts[most])
			most = i;
	return nr_vms ? wait_names[most] : "no_worker";
}

const char *control_flow_wait_reason(const struct flow_demand *demand)
{
	uint32_t counts[NR_WAIT_REASONS] = { 0 };
	uint32_t nr_vms = count_reasons(demand, counts);

	return wait_reason(counts, nr_vms);
}

static void log_wait(const struct flow_demand *demand,
		     const struct flow_wait *wait)
{
	struct control_flow *flows = demand->flows;
	const struct state_flow *flow = demand->flow;
	const struct state_flow_stage *stage = &flow->stages[demand->stage];
	uint32_t counts[NR_WAIT_REASONS] = { 0 };
	uint32_t nr_vms = count_reasons(demand, counts);
	const char *reason = wait_reason(counts, nr_vms);
	GString *line = logline_new("waiting");

	counter_inc_label(flows->control->node->counters, "waits", "reason",
			  reason);
	logline_str(line, "id", flow->record.id);
	logline_u64(line, "occurrence", demand->stage / flow->record.nr_steps);
	logline_u64(line, "step", demand->stage % flow->record.nr_steps);
	logline_u64(line, "tasks",
		    demand->step->count - stage->nr_placed - stage->nr_done);
	logline_u64(line, "priority", flow->record.priority);
	logline_u64(line, "cpu_millis", demand->step->cpu_millis);
	logline_u64(line, "waited_ms", ms_since(flows, wait->since_us));
	logline_str(line, "reason", reason);
	logline_u64(line, "vms", nr_vms);
	for (uint32_t i = 0; i < NR_WAIT_REASONS; i++)
		if (counts[i])
			logline_u64(line, wait_names[i], counts[i]);
	node_log(flows->control->node, line);
}

void control_flow_note_wait(const struct flow_demand *demand)
{
	struct control_flow *flows = demand->flows;
	const char *id = demand->flow->record.id;
	struct flow_wait *wait = g_hash_table_lookup(flows->waits, id);
	uint64_t now_us = flows->control->node->now_us;

	if (!wait) {
		wait = g_new0(struct flow_wait, 1);
		wait->stage = demand->stage;
		wait->since_us = now_us;
		wait->next_log_us = now_us + FLOW_WAIT_LOG_MS * 1000ull;
		g_hash_table_insert(flows->waits, g_strdup(id), wait);
	}
	if (wait->stage != demand->stage || now_us < wait->next_log_us)
		return;
	log_wait(demand, wait);
	wait->next_log_us = now_us + (now_us - wait->since_us);
}

void control_flow_note_placed(const struct flow_demand *demand)
{
	const char *id = demand->flow->record.id;
	const struct flow_wait *wait =
		g_hash_table_lookup(demand->flows->waits, id);

	if (wait && wait->stage == demand->stage)
		g_hash_table_remove(demand->flows->waits, id);
}

/* ---- ends and lost VMs ---- */

static void log_ignored(struct control_flow *flows, const struct flow_vm *vm,
			const struct flow_run_end *end,
			const struct flow_task *task)
{
	static const char *const states[] = {
		[FLOW_TASK_WAITING] = "waiting",
		[FLOW_TASK_PLACED] = "placed",
		[FLOW_TASK_DONE] = "done",
	};
	GString *line = logline_new("done-ignored");

	/*
	 * lapsed=yes: the worker's lease had expired, so the task was allowed
	 * to run again.
	 */
	counter_inc_label(flows->control->node->counters, "done_ignored",
			  "lapsed", vm->lost_us ? "yes" : "no");
	logline_str(line, "task", end->task);
	logline_u64(line, "run", end->run);
	logline_str(line, "vm", vm->name);
	logline_str(line, "worker", vm->worker.id);
	logline_u64(line, "end", end->nr);
	logline_str(line, "lapsed", vm->lost_us ? "yes" : "no");
	if (vm->lost_us)
		logline_u64(line, "lost_ms_ago", ms_since(flows, vm->lost_us));
	logline_str(line, "state", states[task->state]);
	logline_u64(line, "last_run", task->run);
	logline_str(line, "last_vm", task->vm);
	node_log(flows->control->node, line);
}

/* Returns true if the task's record has the end already or still accepts it. */
static bool end_is_accepted(const struct state_flow *flow, uint32_t nr,
			    const struct flow_run_end *end,
			    const struct flow_vm *vm)
{
	const struct flow_task *task = &flow->record.tasks[nr];

	if (control_flow_late_done_run(vm, flow, nr, end))
		return true;
	if (task->state == FLOW_TASK_WAITING || task->run != end->run)
		return false;
	return task->state == FLOW_TASK_DONE || !strcmp(task->vm, vm->name);
}

/* Returns true if several runs of a task may end as done. */
static bool step_may_repeat(const struct flow_step *step)
{
	return step->lasting || step->gang || step->copies;
}

void control_flow_log_ignored_ends(struct control_flow *flows,
				   struct flow_vm *vm,
				   const struct flow_report *report)
{
	uint64_t checked_nr = vm->checked_end_nr;

	for (uint32_t i = 0; i < report->nr_ends; i++) {
		const struct flow_run_end *end = &report->ends[i];
		struct state_flow *flow;
		uint32_t nr;

		if (end->nr <= vm->checked_end_nr)
			continue;
		checked_nr = MAX(checked_nr, end->nr);
		if (end->end != FLOW_END_DONE ||
		    !state_flow_task_find(flows->control->state, end->task,
					  &flow, &nr) ||
		    !state_flow_is_active(flow) ||
		    step_may_repeat(
			    &flow->record.steps[state_flow_step(flow, nr)]) ||
		    end_is_accepted(flow, nr, end, vm) ||
		    control_flow_end_is_earlier(
			    vm, control_flow_placement(flows, flow, nr), end))
			continue;
		log_ignored(flows, vm, end, &flow->record.tasks[nr]);
	}
	vm->checked_end_nr = checked_nr;
}

/* Logs what the runs' loss has waited for, and since when that has passed. */
static void log_bound(struct control_flow *flows, const struct flow_vm *vm,
		      GList *runs, GString *line)
{
	static const char *const bounds[] = {
		[FLOW_BOUND_LEADER] = "new-leader",
		[FLOW_BOUND_GRANT] = "grant",
		[FLOW_BOUND_RESTART] = "restart",
	};
	const char *bound = bounds[vm->bound];
	uint64_t until_us = vm->lapse_us;

	for (GList *item = runs; item; item = item->next) {
		uint64_t late_us = control_flow_late_start_us(item->data);
		uint64_t lapsed_us =
			control_flow_run_lapsed_us(flows, vm, late_us) -
			FLOW_LEASE_MARGIN_MS * 1000ull;

		if (lapsed_us <= until_us)
			continue;
		bound = "late-start";
		until_us = lapsed_us;
	}
	logline_str(line, "bound", bound);
	logline_u64(line, "bound_ms_ago", ms_since(flows, until_us));
}

void control_flow_log_lost_vm(struct control_flow *flows,
			      const struct flow_vm *vm, GList *runs)
{
	GString *line = logline_new("vm-lost");
	GString *tasks = g_string_new(NULL);
	uint64_t now_us = flows->control->node->now_us;
	uint32_t shown = 0;
	uint32_t nr_confirmed = 0;

	for (GList *item = runs; item; item = item->next) {
		const struct flow_placement *placed = item->data;

		nr_confirmed += control_flow_is_at_worker(placed);
		if (shown == LOST_TASKS_SHOWN)
			continue;
		g_string_append_printf(tasks, "%s%s/%u", shown ? "," : "",
				       placed->name, placed->run);
		shown++;
	}
	logline_str(line, "vm", vm->name);
	logline_str(line, "worker", vm->worker.id);
	logline_u64(line, "runs", g_list_length(runs));
	logline_u64(line, "runs_kept",
		    g_hash_table_size(vm->runs) - g_list_length(runs));
	logline_u64(line, "runs_confirmed", nr_confirmed);
	logline_str(line, "tasks", tasks->str);
	log_bound(flows, vm, runs, line);
	logline_u64(line, "late_start_left_ms",
		    vm->late_start_us > now_us ?
			    (vm->late_start_us - now_us) / 1000 :
			    0);
	logline_str(line, "restarted", vm->restarted ? "yes" : "no");
	logline_u64(line, "reachable_ms_ago",
		    ms_since(flows, vm->reachable_us));
	logline_u64(line, "lapsed_ms_ago", ms_since(flows, vm->lapse_us));
	/*
	 * If there was no grant or report, time is counted from the start of
	 * this leader's term.
	 */
	logline_str(line, "granted", vm->granted_us ? "yes" : "no");
	logline_u64(line, "granted_ms_ago",
		    ms_since(flows, vm->granted_us ?
					    vm->granted_us :
					    flows->control->leader_since_us));
	logline_str(line, "reported", vm->reported ? "yes" : "no");
	logline_u64(line, "reported_ms_ago",
		    ms_since(flows, vm->reported ?
					    vm->reported_us :
					    flows->control->leader_since_us));
	logline_str(line, "reachable", vm->reachable ? "yes" : "no");
	logline_str(line, "looked", vm->looked ? "yes" : "no");
	node_log(flows->control->node, line);
	g_string_free(tasks, TRUE);
}

void control_flow_record_end(struct control_flow *flows,
			     const struct flow_placement *placed,
			     enum flow_end end)
{
	struct flow_past_end *past =
		&flows->past[flows->nr_past++ % FLOW_RECENT_ENDS_MAX];

	TEXT_SET(past->task, placed->name);
	TEXT_SET(past->vm, placed->vm->name);
	past->run = placed->run;
	past->end = end;
	past->at_us = flows->control->node->now_us;
}

/* ---- gauges ---- */

static void set_work_gauges(const struct control_flow *flows)
{
	struct counters *counters = flows->control->node->counters;
	uint64_t nr_queued = 0;
	uint64_t nr_placed = 0;
	uint64_t nr_waiting = 0;

	for (guint i = 0; i < flows->ranks->len; i++) {
		const struct state_flow *flow =
			g_array_index(flows->ranks, struct flow_rank, i).flow;

		nr_queued += !flow->has_started;
		nr_placed += flow->nr_placed;
		nr_waiting +=
			flow->record.nr_tasks - flow->nr_placed - flow->nr_done;
	}
	counter_set(counters, "workflows_active", flows->ranks->len);
	counter_set(counters, "workflows_queued", nr_queued);
	counter_set(counters, "tasks_running", nr_placed);
	counter_set(counters, "tasks_waiting", nr_waiting);
	counter_set(counters, "workflows_without_place",
		    g_hash_table_size(flows->waits));
}

void control_flow_set_gauges(struct control_flow *flows)
{
	struct counters *counters = flows->control->node->counters;
	uint64_t now_us = flows->control->node->now_us;
	uint64_t nr_usable = 0;
	uint64_t nr_leased = 0;
	uint64_t cpu_millis = 0;
	uint64_t taken_millis = 0;
	uint64_t filler_millis = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;

		nr_leased += vm->lapse_us > now_us;
		nr_usable +=
			control_flow_vm_usable(flows, vm, vm->worker.service);
		if (!vm->reported || vm->worker.ended)
			continue;
		cpu_millis += vm->worker.cpu_millis;
		taken_millis += vm->cpu_millis;
		filler_millis += vm->filler_cpu_millis;
	}
	counter_set(counters, "workers", g_hash_table_size(flows->vms));
	counter_set(counters, "workers_usable", nr_usable);
	counter_set(counters, "workers_leased", nr_leased);
	counter_set(counters, "cpu_millis", cpu_millis);
	counter_set(counters, "cpu_taken_millis", taken_millis);
	counter_set(counters, "cpu_filler_millis", filler_millis);
	counter_set(counters, "run_times_learned",
		    run_times_nr(flows->run_times));
	counter_set(counters, "reservations",
		    control_flow_reserve_count(flows));
	set_work_gauges(flows);
}
