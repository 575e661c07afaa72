#include "control_flow_impl.h"

#include <string.h>

/*
 * Placement: goes through the workflows by priority and puts each waiting task
 * on the VM with the lowest cost among those with enough free capacity.
 * control_flow_impl.h defines stages, serving tasks and fillers.
 */

/* ---- choice of a VM ---- */

static bool flow_vm_has_label(const struct flow_vm *vm, const char *label)
{
	return !strcmp(vm->worker.kind, label) ||
	       !strcmp(vm->worker.rack, label);
}

/*
 * Returns true if nothing was received from the VM's agent for FLOW_SILENT_MS.
 * Agents ping their links, so this one is cut off or its VM is down.
 */
static bool flow_vm_is_cut_off(const struct control_flow *flows,
			       const struct flow_vm *vm)
{
	const struct node *node = flows->control->node;
	const struct link *link = node_link(node, vm->node_id);

	return !link || !link->up ||
	       node->now_us - link->heard_us > FLOW_SILENT_MS * 1000ull;
}

bool control_flow_vm_keeps_runs(const struct control_flow *flows,
				const struct flow_vm *vm)
{
	return control_flow_vm_is_reporting(flows, vm) &&
	       !vm->worker.draining && !vm->worker.ended && !vm->loss_pending &&
	       !flow_vm_is_cut_off(flows, vm);
}

/*
 * Returns true if the VM may take tasks of its worker's service now, or could
 * if it weren't barred because of failures.
 */
static bool flow_vm_would_take_tasks(const struct control_flow *flows,
				     const struct flow_vm *vm)
{
	return control_flow_vm_keeps_runs(flows, vm) &&
	       control_flow_worker_takes_tasks(flows, vm) &&
	       flows->control->node->now_us >= vm->backoff_until_us &&
	       state_zone_is_in(flows->control->state, vm->zone);
}

static bool flow_vm_takes_tasks(const struct control_flow *flows,
				const struct flow_vm *vm)
{
	return !control_flow_vm_is_barred(flows, vm) &&
	       flow_vm_would_take_tasks(flows, vm);
}

bool control_flow_vm_usable(const struct control_flow *flows,
			    const struct flow_vm *vm, const char *service)
{
	return (flows->placing ? vm->takes_tasks :
				 flow_vm_takes_tasks(flows, vm)) &&
	       !strcmp(vm->worker.service, service);
}

/*
 * Begins a pass of placement, in which each VM is evaluated for many tasks.
 * Nothing that decides whether a VM takes tasks changes during the pass.
 */
static void flow_pass_begin(struct control_flow *flows)
{
	GHashTableIter iter;
	void *value;

	flows->any_barred = false;
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;

		control_flow_update_bar(flows, vm);
		flows->any_barred = flows->any_barred ||
				    control_flow_vm_is_barred(flows, vm);
		vm->would_take_tasks = flow_vm_would_take_tasks(flows, vm);
		vm->takes_tasks = vm->would_take_tasks &&
				  !control_flow_vm_is_barred(flows, vm);
	}
	flows->placing = true;
}

static uint32_t flow_vm_stage_runs(const struct flow_vm *vm,
				   const struct flow_demand *demand)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *placed = key;

		nr += placed->flow == demand->flow &&
		      placed->step == demand->step &&
		      state_flow_occurrence(placed->flow, placed->task) ==
			      demand->stage / demand->flow->record.nr_steps;
	}
	return nr;
}

/*
 * Returns what the VM's worker runs or may run: the runs that are placed there,
 * and the orphans, which use their resources until they have ended.
 */
static struct flow_load flow_vm_load(const struct flow_vm *vm,
				     const struct flow_demand *demand)
{
	struct flow_load load = {
		.cpu_millis = vm->cpu_millis,
		.memory_mib = vm->memory_mib,
		.accelerators = vm->accelerators,
	};

	control_flow_add_orphans(vm, demand, &load);
	return load;
}

/*
 * Returns true if the load is more than the VM has. The processors that fillers
 * use are no limit.
 */
static bool flow_load_exceeds(const struct flow_load *load,
			      const struct flow_vm *vm,
			      const struct flow_step *step)
{
	return load->memory_mib > vm->worker.memory_mib ||
	       load->accelerators > vm->worker.accelerators ||
	       (!step->filler && load->cpu_millis > vm->worker.cpu_millis);
}

bool control_flow_vm_suits(const struct flow_vm *vm,
			   const struct flow_step *step)
{
	struct flow_load load = { 0 };

	if (step->label[0] && !flow_vm_has_label(vm, step->label))
		return false;
	control_flow_load_add(&load, step);
	return !flow_load_exceeds(&load, vm, step);
}

bool control_flow_vm_is_full(const struct flow_vm *vm,
			     const struct flow_demand *demand)
{
	struct flow_load load = flow_vm_load(vm, demand);

	control_flow_load_add(&load, demand->step);
	return flow_load_exceeds(&load, vm, demand->step);
}

bool control_flow_vm_is_over(const struct flow_vm *vm,
			     const struct flow_demand *demand)
{
	struct flow_load load = flow_vm_load(vm, demand);
	uint32_t max_per_vm = demand->step->max_per_vm;

	return flow_load_exceeds(&load, vm, demand->step) ||
	       (max_per_vm &&
		load.stage_orphans + flow_vm_stage_runs(vm, demand) >
			max_per_vm);
}

/* Returns true if the VM has the label and ticket that the stage requires. */
static bool flow_vm_is_suitable(const struct flow_vm *vm,
				const struct flow_demand *demand)
{
	const struct flow_step *step = demand->step;

	if (step->label[0] && !flow_vm_has_label(vm, step->label))
		return false;
	return !demand->flow->record.ticket_ms ||
	       flow_advice_ticket(demand->flows, demand->flow, demand->stage,
				  vm);
}

bool control_flow_vm_is_eligible(const struct flow_vm *vm,
				 const struct flow_demand *demand)
{
	uint32_t max_per_vm = demand->step->max_per_vm;

	if (!control_flow_vm_usable(demand->flows, vm,
				    demand->flow->record.service) ||
	    !flow_vm_is_suitable(vm, demand))
		return false;
	return !max_per_vm || flow_vm_load(vm, demand).stage_orphans +
					      flow_vm_stage_runs(vm, demand) <
				      max_per_vm;
}

/* Returns the gain of the VM for the demand's step, see control_flow_gain(). */
static uint32_t flow_demand_gain(const struct flow_demand *demand,
				 struct flow_vm *vm)
{
	uint32_t min_permille = demand->min_gain_permille;

	/* A filler that may start anywhere starts where it gains most. */
	if (demand->starved)
		min_permille = MIN(min_permille, FLOW_FILLER_MIN_GAIN_PERMILLE);
	return control_flow_gain(demand->flows, vm, demand->step, min_permille);
}

bool control_flow_vm_fits(struct flow_vm *vm, const struct flow_demand *demand)
{
	const struct flow_step *step = demand->step;
	struct flow_load load;

	if (!flow_vm_is_suitable(vm, demand))
		return false;
	load = flow_vm_load(vm, demand);
	control_flow_load_add(&load, step);
	if (flow_load_exceeds(&load, vm, step) ||
	    !control_flow_reserve_admits(vm, demand))
		return false;
	if (step->filler && !demand->starved &&
	    flow_demand_gain(demand, vm) < demand->min_gain_permille)
		return false;
	return !step->max_per_vm ||
	       load.stage_orphans + flow_vm_stage_runs(vm, demand) <
		       step->max_per_vm;
}

/* Returns the cost of placing a serving task on a VM with this load. */
static uint64_t flow_cost_serving(const struct flow_demand *demand,
				  const struct flow_vm *vm, uint64_t load)
{
	uint64_t capacity = MAX(vm->worker.cpu_millis, 1);
	uint32_t image =
		pressure_image(demand->flows->pressure, demand->step->image);
	struct load_serving_place place = {
		.load_permille = load,
		.reserved_permille =
			((uint64_t)vm->cpu_millis + demand->step->cpu_millis) *
			1000 / capacity,
		.image_known = control_flow_knows_image(demand->flows, image),
		.nr_other_images = control_flow_other_images(vm, image),
		.serves = vm->lasting_cpu_millis > 0,
	};

	if (place.image_known)
		place.filler_loss_permille =
			control_flow_filler_loss(demand->flows, vm, image) *
			1000 / capacity;
	return demand->flows->policy->serving_cost(&place);
}

/*
 * Returns true if the worker has left a poll unanswered lately. A start that it
 * leaves unanswered takes seconds to resolve.
 */
static bool flow_vm_was_silent(const struct control_flow *flows,
			       const struct flow_vm *vm)
{
	return vm->unreachable_us &&
	       flows->control->node->now_us - vm->unreachable_us <
		       FLOW_SILENCE_COUNTS_MS * 1000ull;
}

/*
 * Returns the cost of placing a task on the VM, in permille of the VM's
 * processors. The VM with the lowest cost is chosen.
 */
static uint64_t flow_vm_cost(struct flow_vm *vm,
			     const struct flow_demand *demand)
{
	const struct flow_step *step = demand->step;
	uint64_t capacity = MAX(vm->worker.cpu_millis, 1);
	uint64_t cost = (vm->cpu_millis + vm->filler_cpu_millis +
			 (uint64_t)step->cpu_millis) *
			1000 / capacity;

	if (step->filler)
		cost += (1000ull - MIN(flow_demand_gain(demand, vm), 1000)) *
				FLOW_COST_GAIN_FACTOR +
			demand->flows->policy->filler_cost(
				vm->lasting_cpu_millis * 1000ull / capacity);
	else if (step->target_ms)
		cost = flow_cost_serving(demand, vm, cost);
	if (step->data_rack[0] && strcmp(vm->worker.rack, step->data_rack) != 0)
		cost += FLOW_COST_REMOTE_PERMILLE;
	if (vm == demand->avoid ||
	    (demand->avoid_vms && g_hash_table_contains(demand->avoid_vms, vm)))
		cost += FLOW_COST_FAILED_PERMILLE;
	if (flow_vm_was_silent(demand->flows, vm))
		cost += FLOW_COST_SILENT_PERMILLE;
	if (vm->worker.warmup_ms)
		cost += FLOW_COST_COLD_PERMILLE;
	return cost + vm->fail_permille;
}

/*
 * Returns true if all VMs that could take a task of the step are barred because
 * of failures. Better one of them than none.
 */
static bool flow_suits_only_barred(const struct control_flow *flows,
				   const struct flow_demand *demand)
{
	const char *service = demand->flow->record.service;
	bool found = false;
	GHashTableIter iter;
	void *value;

	if (!flows->any_barred)
		return false;
	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;

		if (!vm->would_take_tasks ||
		    strcmp(vm->worker.service, service) != 0 ||
		    !control_flow_vm_suits(vm, demand->step))
			continue;
		if (vm->takes_tasks)
			return false;
		found = true;
	}
	return found;
}

/* Like control_flow_vm_usable(), for the demand. */
static bool flow_vm_is_open(const struct flow_vm *vm,
			    const struct flow_demand *demand)
{
	const char *service = demand->flow->record.service;

	return control_flow_vm_usable(demand->flows, vm, service) ||
	       (demand->ignores_bar && vm->would_take_tasks &&
		!strcmp(vm->worker.service, service));
}

static struct flow_vm *flow_choose_vm(const struct flow_demand *demand,
				      const char *rack)
{
	struct control_flow *flows = demand->flows;
	struct flow_vm *best = NULL;
	uint64_t best_cost = 0;
	uint32_t nr_evaluated = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;
		uint64_t cost;

		if (vm->changed_nr <= demand->evaluated_change_nr &&
		    demand->evaluated_change_nr)
			continue;
		nr_evaluated++;
		if (vm == demand->except || !flow_vm_is_open(vm, demand) ||
		    !control_flow_vm_fits(vm, demand) ||
		    (rack && strcmp(rack, vm->worker.rack) != 0))
			continue;
		cost = flow_vm_cost(vm, demand);
		if (best && cost >= best_cost)
			continue;
		best = vm;
		best_cost = cost;
	}
	counter_add(flows->control->node->counters, "vms_weighed",
		    nr_evaluated);
	return best;
}

/*
 * Returns the least share of its full speed that a filler has to get on another
 * VM to be moved there. One that has been halted for FLOW_FULL_SPEED_WAIT_MS no
 * longer waits for full speed, as one that isn't placed: no VM may offer it.
 */
static uint32_t flow_min_gain_elsewhere(const struct control_flow *flows,
					const struct flow_placement *placed)
{
	uint32_t min_permille = flows->policy->min_gain_permille;
	uint64_t halted_us =
		placed->halted_since_us ?
			flows->control->node->now_us - placed->halted_since_us :
			0;

	return halted_us > FLOW_FULL_SPEED_WAIT_MS * 1000ull ?
		       MIN(min_permille, FLOW_FILLER_MIN_GAIN_PERMILLE) :
		       min_permille;
}

struct flow_vm *control_flow_other_vm(struct control_flow *flows,
				      const struct flow_placement *placed)
{
	struct flow_demand demand = {
		.flows = flows,
		.flow = placed->flow,
		.step = placed->step,
		.except = placed->vm,
		.min_gain_permille = flow_min_gain_elsewhere(flows, placed)
	};

	demand.stage = state_flow_stage_of(placed->flow, placed->task);
	return flow_choose_vm(&demand, NULL);
}

/* ---- placing ---- */

/*
 * Returns what the VM is chosen by, before the task's resources are reserved
 * there.
 */
static struct flow_account_choice
flow_choice_of(const struct flow_demand *demand, struct flow_vm *vm)
{
	struct flow_account_choice choice = {
		.cost_permille = flow_vm_cost(vm, demand),
		.gain_permille = FLOW_ACCOUNT_NONE,
		.vm_step_runs = FLOW_ACCOUNT_NONE,
	};

	if (demand->step->filler)
		choice.gain_permille = flow_demand_gain(demand, vm);
	if (demand->step->max_per_vm)
		choice.vm_step_runs = flow_vm_stage_runs(vm, demand) + 1;
	return choice;
}

static struct flow_placement *flow_place_on(const struct flow_demand *demand,
					    uint32_t task, uint32_t run,
					    struct flow_vm *vm)
{
	struct flow_change change = { .kind = FLOW_CHANGE_PLACE };
	struct flow_account_choice choice = flow_choice_of(demand, vm);
	struct flow_placement *placed = control_flow_reserve(
		demand->flows, demand->flow, task, run, vm);

	if (demand->flow->record.ticket_ms)
		TEXT_SET(placed->ticket,
			 flow_advice_ticket(demand->flows, demand->flow,
					    demand->stage, vm));
	TEXT_SET(change.id, demand->flow->record.id);
	change.task = task;
	change.run = run;
	TEXT_SET(change.vm, vm->name);
	TEXT_SET(change.worker, vm->worker.id);
	change.born_ms = vm->worker.born_ms;
	flow_account_place(demand->flows->account, placed, &choice);
	control_flow_reserve_placed(demand, vm);
	counter_add(demand->flows->control->node->counters, "tasks_placed", 1);
	control_flow_propose(demand->flows, &change);
	return placed;
}

/*
 * Returns true if no report to this leader had the list of the runs at the VM
 * of the task's last run, and its worker may hold a lease of an earlier leader:
 * the run may be an orphan that only that leader knew of.
 */
static bool flow_last_vm_is_unknown(const struct control_flow *flows,
				    const struct flow_task *task)
{
	const struct flow_vm *vm = g_hash_table_lookup(flows->vms, task->vm);
	uint64_t until_us = control_flow_inherited_lapsed_us(flows, task->vm);

	return task->run && !(vm && vm->listed) &&
	       flows->control->node->now_us <= until_us;
}

static bool flow_task_waits(const struct flow_demand *demand, uint32_t task)
{
	const struct flow_task *record = &demand->flow->record.tasks[task];

	return record->state == FLOW_TASK_WAITING &&
	       !control_flow_placement(demand->flows, demand->flow, task) &&
	       !control_flow_has_orphan(demand->flows, demand->flow, task) &&
	       !flow_last_vm_is_unknown(demand->flows, record);
}

/*
 * Returns true if all tasks of the gang wait. A gang is a step whose tasks run
 * together or not at all, so it is placed as a whole.
 */
static bool flow_gang_waits(const struct flow_demand *demand, uint32_t first)
{
	for (uint32_t i = 0; i < demand->step->count; i++)
		if (!flow_task_waits(demand, first + i))
			return false;
	return true;
}

static bool flow_gang_on_rack(const struct flow_demand *demand, uint32_t first,
			      const char *rack)
{
	uint32_t run = demand->flow->stages[demand->stage].last_run + 1;
	const char *checkpoint = control_flow_gang_checkpoint(
		demand->flows, demand->flow, demand->stage);
	GPtrArray *reserved = g_ptr_array_new();
	bool all = true;

	/*
	 * Each task's resources are reserved before a VM is chosen for the next
	 * task, so that no two tasks use the same free capacity.
	 */
	for (uint32_t i = 0; i < demand->step->count && all; i++) {
		struct flow_vm *vm = flow_choose_vm(demand, rack);

		all = vm != NULL;
		if (all)
			g_ptr_array_add(reserved,
					control_flow_reserve(
						demand->flows, demand->flow,
						first + i, run, vm));
	}
	for (guint i = 0; i < reserved->len; i++) {
		struct flow_placement *placed = reserved->pdata[i];
		struct flow_vm *vm = placed->vm;

		control_flow_unreserve(demand->flows, placed);
		if (!all)
			continue;
		placed = flow_place_on(demand, first + i, run, vm);
		control_flow_set_checkpoint(demand->flows, placed, checkpoint);
	}
	g_ptr_array_unref(reserved);
	return all;
}

/*
 * Returns the set of the VMs on which tasks of the gang failed in its last run,
 * NULL if none did.
 */
static GHashTable *flow_gang_failed_vms(const struct flow_demand *demand,
					uint32_t first)
{
	const struct state_flow_stage *stage =
		&demand->flow->stages[demand->stage];
	GHashTable *vms;

	if (!stage->failed_run || stage->failed_run != stage->last_run)
		return NULL;
	vms = g_hash_table_new(NULL, NULL);
	for (uint32_t i = first; i < first + demand->step->count; i++) {
		const struct flow_task *task = &demand->flow->record.tasks[i];
		struct flow_vm *vm =
			g_hash_table_lookup(demand->flows->vms, task->vm);

		if (vm && task->failed_run == stage->failed_run)
			g_hash_table_add(vms, vm);
	}
	return vms;
}

/*
 * Places a gang on one rack if the step asks for that and a rack has enough
 * free capacity, otherwise on any VMs.
 */
static bool flow_place_gang(struct flow_demand *demand, uint32_t first)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	bool placed = false;
	void *key;
	void *value;

	demand->avoid_vms = flow_gang_failed_vms(demand, first);
	g_hash_table_iter_init(&iter, demand->flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_add(racks, ((struct flow_vm *)value)->worker.rack);
	g_hash_table_iter_init(&iter, racks);
	while (demand->step->same_rack && !placed &&
	       g_hash_table_iter_next(&iter, &key, NULL))
		placed = flow_gang_on_rack(demand, first, key);
	if (!placed)
		placed = flow_gang_on_rack(demand, first, NULL);
	g_hash_table_unref(racks);
	g_clear_pointer(&demand->avoid_vms, g_hash_table_unref);
	return placed;
}

/*
 * Returns the VM on which the task failed or which it was moved from, NULL if
 * there is none.
 */
static const struct flow_vm *
flow_task_avoided_vm(const struct flow_demand *demand, uint32_t task)
{
	const struct flow_task *record = &demand->flow->record.tasks[task];
	char name[NAME_BYTES];

	if (record->nr_failures)
		return g_hash_table_lookup(demand->flows->vms, record->vm);
	state_flow_task_name(demand->flow, task, name);
	return g_hash_table_lookup(demand->flows->left_vms, name);
}

/*
 * Places the waiting tasks of one stage; returns false if a task finds no VM.
 */
static bool flow_place_stage(struct flow_demand *demand)
{
	uint32_t first = state_flow_first_task(demand->flow, demand->stage);

	if (demand->step->gang)
		return !flow_gang_waits(demand, first) ||
		       flow_place_gang(demand, first);
	for (uint32_t i = first; i < first + demand->step->count; i++) {
		const struct flow_task *task = &demand->flow->record.tasks[i];
		struct flow_vm *vm;

		if (!flow_task_waits(demand, i))
			continue;
		demand->avoid = flow_task_avoided_vm(demand, i);
		demand->resumes = task->run > 0;
		vm = flow_choose_vm(demand, NULL);
		if (!vm)
			return false;
		flow_place_on(demand, i, task->run + 1, vm);
		/* One placed task is enough, but long-running ones all run. */
		demand->starved = demand->starved && demand->step->lasting;
	}
	return true;
}

bool control_flow_stage_due(const struct control_flow *flows,
			    const struct state_flow *flow, uint32_t stage)
{
	const struct flow_record *record = &flow->record;
	const struct control_opts *opts = &flows->control->opts;
	uint64_t due_ms = record->first_ms +
			  stage / record->nr_steps * record->interval_ms;

	/*
	 * Start times are times of day, so this decision alone uses the wall
	 * clock, which may jump.
	 */
	return !record->repeats ||
	       opts->host->wall_ms(opts->host_ctx) >= due_ms;
}

/* Processors of the reporting VMs of a service, not counting fillers. */
struct flow_service_cpu {
	uint64_t capacity_millis;
	uint64_t taken_millis;
};

/* Returns struct flow_service_cpu by the service's name. */
static GHashTable *flow_sum_services(const struct control_flow *flows)
{
	GHashTable *services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;
		struct flow_service_cpu *cpu;

		if (!vm->reported || vm->worker.ended)
			continue;
		cpu = g_hash_table_lookup(services, vm->worker.service);
		if (!cpu) {
			cpu = g_new0(struct flow_service_cpu, 1);
			g_hash_table_insert(services, vm->worker.service, cpu);
		}
		cpu->capacity_millis += vm->worker.cpu_millis;
		cpu->taken_millis += vm->cpu_millis;
	}
	return services;
}

/*
 * Returns true if less than FLOW_IDLE_MAX_USED_PERCENT of the service's
 * processors is taken.
 */
static bool flow_has_free_cpu(GHashTable *services, const char *service)
{
	const struct flow_service_cpu *cpu =
		g_hash_table_lookup(services, service);

	return cpu && cpu->taken_millis * 100 <
			      cpu->capacity_millis * FLOW_IDLE_MAX_USED_PERCENT;
}

/*
 * Returns true if a filler may be placed although it slows down serving tasks,
 * or gets few processors. Fillers wait for a better VM, but no longer than
 * FLOW_IDLE_MAX_MS: then a workflow without a placed task gets one, while most
 * processors of its service are free. Long-running tasks free no processors by
 * their end, so each of them is placed then.
 */
static bool flow_is_starved(const struct control_flow *flows,
			    struct flow_rank *rank, GHashTable *services)
{
	const struct flow_record *record = &rank->flow->record;
	uint64_t now_us = flows->control->node->now_us;
	bool lasting = record->steps[0].lasting;

	if (rank->flow->nr_placed && !lasting) {
		rank->idle_us = 0;
		return false;
	}
	if (!rank->idle_us)
		rank->idle_us = now_us;
	return now_us - rank->idle_us > FLOW_IDLE_MAX_MS * 1000ull &&
	       (lasting || flow_has_free_cpu(services, record->service));
}

/* Returns the time since flow_rank.idle_us. */
static uint64_t flow_idle_us(const struct control_flow *flows,
			     const struct flow_rank *rank)
{
	return rank->idle_us ? flows->control->node->now_us - rank->idle_us : 0;
}

/*
 * Returns the least share of its full speed at which a filler of the workflow
 * may start. A policy that waits for full speed gives it up for a workflow that
 * has had no task placed for FLOW_FULL_SPEED_WAIT_MS: a filler whose weights
 * are high on all VMs would never start.
 */
static uint32_t flow_min_gain(const struct control_flow *flows,
			      const struct flow_rank *rank)
{
	uint32_t min_permille = flows->policy->min_gain_permille;

	return flow_idle_us(flows, rank) > FLOW_FULL_SPEED_WAIT_MS * 1000ull ?
		       MIN(min_permille, FLOW_FILLER_MIN_GAIN_PERMILLE) :
		       min_permille;
}

/*
 * Places the waiting tasks of the workflow's due stages; returns false if a
 * task finds no VM.
 */
static bool flow_place_all(struct control_flow *flows,
			   const struct flow_rank *rank, bool starved,
			   uint64_t evaluated_change_nr)
{
	struct state_flow *flow = rank->flow;
	uint32_t min_gain_permille = flow_min_gain(flows, rank);
	bool all = true;

	control_flow_reserve_reach(flows, flow);
	for (uint32_t i = 0; i < flow->nr_stages; i++) {
		const struct state_flow_stage *stage = &flow->stages[i];
		struct flow_demand demand = {
			.flows = flows,
			.flow = flow,
			.starved = starved,
			.min_gain_permille = min_gain_permille,
			.idle_us = flow_idle_us(flows, rank),
			.evaluated_change_nr = evaluated_change_nr
		};

		demand.stage = i;
		demand.step = state_flow_stage_step(flow, i);
		if (stage->nr_placed + stage->nr_done == demand.step->count ||
		    !state_flow_stage_ready(flow, i))
			continue;
		if (!control_flow_stage_due(flows, flow, i))
			break; /* later occurrences aren't due either */
		if (control_flow_step_is_paused(flows, demand.step))
			continue;
		demand.ignores_bar = flow_suits_only_barred(flows, &demand);
		if (flow_place_stage(&demand)) {
			control_flow_note_placed(&demand);
			continue;
		}
		all = false;
		control_flow_note_wait(&demand);
		control_flow_reserve_note(&demand);
		if (flow->record.ticket_ms)
			flow_advice_request(flows, flow, i);
	}
	return all;
}

/*
 * Returns the change number up to which no VM can take the workflow's next
 * task, 0 if all VMs have to be evaluated. Some conditions depend on time alone
 * and a gang needs several VMs at once, so all VMs are evaluated from time to
 * time. For a queue with tickets all VMs are always evaluated, as a new ticket
 * doesn't count as a change of a VM.
 */
static uint64_t flow_rank_evaluated_nr(const struct control_flow *flows,
				       const struct flow_rank *rank,
				       bool starved)
{
	const struct state_flow *flow = rank->flow;
	uint64_t now_us = flows->control->node->now_us;
	/*
	 * The waiting tasks aren't the ones that found no VM, or they require
	 * less now.
	 */
	bool differs = flow->nr_done != rank->nr_done ||
		       flow->nr_placed < rank->nr_placed ||
		       (starved && !rank->starved);

	if (differs || flow->record.ticket_ms ||
	    now_us - rank->all_evaluated_us >= FLOW_EVALUATE_ALL_MS * 1000ull)
		return 0;
	return rank->evaluated_change_nr;
}

static void flow_rank_place(struct control_flow *flows, struct flow_rank *rank,
			    GHashTable *services)
{
	struct state_flow *flow = rank->flow;
	bool starved = flow_is_starved(flows, rank, services);
	uint64_t evaluated_change_nr =
		flow_rank_evaluated_nr(flows, rank, starved);
	/* VM changes during this pass are considered in the next pass. */
	uint64_t change_nr = flows->change_nr;

	if (flow_place_all(flows, rank, starved, evaluated_change_nr)) {
		rank->evaluated_change_nr = 0;
		return;
	}
	if (!evaluated_change_nr)
		rank->all_evaluated_us = flows->control->node->now_us;
	rank->evaluated_change_nr = change_nr;
	rank->starved = starved;
	rank->nr_placed = flow->nr_placed;
	rank->nr_done = flow->nr_done;
}

void control_flow_place(void *data, uint64_t now_us)
{
	struct control_flow *flows = data;
	struct control *control = flows->control;
	GHashTable *services;

	if (!raft_may_grant(control->raft)) {
		control_flow_place_soon(flows);
		return;
	}
	control_flow_sort(flows);
	flow_pass_begin(flows);
	control_flow_reserve_begin(flows);
	services = flow_sum_services(flows);
	for (guint i = 0; i < flows->ranks->len; i++) {
		struct flow_rank *rank =
			&g_array_index(flows->ranks, struct flow_rank, i);
		const struct state_flow *flow = rank->flow;

		if (flow->nr_placed + flow->nr_done < flow->record.nr_tasks)
			flow_rank_place(flows, rank, services);
		else
			rank->idle_us = 0;
	}
	control_flow_reserve_update(flows);
	flows->placing = false;
	g_hash_table_unref(services);
}

void control_flow_place_soon(struct control_flow *flows)
{
	if (!timer_armed(&flows->place_timer))
		node_timer_ms(flows->control->node, &flows->place_timer,
			      FLOW_PLACE_DELAY_MS);
}
