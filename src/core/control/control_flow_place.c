#include "control_flow_impl.h"

#include <string.h>

/*
 * Placement: workflows in the order of work; each waiting task goes to the VM
 * with the lowest cost that has room.
 */

/* ---- choice of a VM ---- */

static bool flow_vm_has_label(const struct flow_vm *vm, const char *label)
{
	return !strcmp(vm->worker.kind, label) ||
	       !strcmp(vm->worker.rack, label);
}

/* Agents ping their links, so a silent one is cut off or gone. */
static bool flow_vm_silent(const struct control_flow *flows,
			   const struct flow_vm *vm)
{
	const struct node *node = flows->control->node;
	const struct link *link = node_link(node, vm->node_id);

	return !link || !link->up ||
	       node->now_us - link->heard_us > FLOW_SILENT_MS * 1000ull;
}

bool control_flow_vm_usable(const struct control_flow *flows,
			    const struct flow_vm *vm, const char *service)
{
	uint64_t now_us = flows->control->node->now_us;

	return vm->reported && vm->reachable && vm->looked &&
	       !vm->worker.draining && !vm->worker.ended && !vm->loss_pending &&
	       !strcmp(vm->worker.service, service) &&
	       now_us - vm->reported_us < FLOW_REPORT_STALE_MS * 1000ull &&
	       now_us >= vm->backoff_until_us && !flow_vm_silent(flows, vm) &&
	       state_zone_is_in(flows->control->state, vm->zone);
}

static uint32_t flow_vm_stage_runs(const struct flow_vm *vm,
				   const struct flow_demand *need)
{
	uint32_t nr = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct flow_placement *soft = key;

		nr += soft->flow == need->flow && soft->step == need->step &&
		      state_flow_occurrence(soft->flow, soft->task) ==
			      need->stage / need->flow->record.nr_steps;
	}
	return nr;
}

bool control_flow_vm_fits(struct flow_vm *vm, const struct flow_demand *need)
{
	const struct flow_step *step = need->step;

	if (step->label[0] && !flow_vm_has_label(vm, step->label))
		return false;
	if (need->flow->record.ticket_ms &&
	    !flow_advice_ticket(need->flows, need->flow, need->stage, vm))
		return false;
	if (vm->memory_mib + step->memory_mib > vm->worker.memory_mib ||
	    vm->accelerators + step->accelerators > vm->worker.accelerators)
		return false;
	if (!step->filler &&
	    vm->cpu_millis + step->cpu_millis > vm->worker.cpu_millis)
		return false;
	if (step->filler && !need->starved &&
	    control_flow_gain(need->flows, vm, step) <
		    FLOW_FILLER_MIN_GAIN_PERMILLE)
		return false;
	return !step->max_per_vm ||
	       flow_vm_stage_runs(vm, need) < step->max_per_vm;
}

/*
 * Serving tasks of one image fill VM after VM, so that each filler image finds
 * some without a neighbour that it presses.
 */
static uint64_t flow_cost_serving(const struct flow_demand *need,
				  const struct flow_vm *vm, uint64_t load)
{
	uint32_t image =
		pressure_image(need->flows->pressure, need->step->image);
	uint32_t others = control_flow_other_images(vm, image);

	if (control_flow_knows_image(need->flows, image))
		return control_flow_filler_loss(need->flows, vm, image) * 1000 /
			       MAX(vm->worker.cpu_millis, 1) *
			       FLOW_COST_CLOSED_FACTOR +
		       load / 2;
	if (others)
		return (uint64_t)others * FLOW_COST_IMAGE_PERMILLE + load;
	if (!vm->lasting_cpu_millis)
		return FLOW_COST_IMAGE_PERMILLE / 2;
	return (FLOW_COST_IMAGE_PERMILLE -
		MIN(load, FLOW_COST_IMAGE_PERMILLE)) /
	       4;
}

/* Lower is better; thousandths of the VM's processors. */
static uint64_t flow_vm_cost(struct flow_vm *vm, const struct flow_demand *need)
{
	const struct flow_step *step = need->step;
	uint64_t capacity = MAX(vm->worker.cpu_millis, 1);
	uint64_t cost = (vm->cpu_millis + vm->filler_cpu_millis +
			 (uint64_t)step->cpu_millis) *
			1000 / capacity;

	if (step->filler)
		cost += (1000ull -
			 MIN(control_flow_gain(need->flows, vm, step), 1000)) *
			FLOW_COST_GAIN_FACTOR;
	else if (step->target_ms)
		cost = flow_cost_serving(need, vm, cost);
	if (step->data_rack[0] && strcmp(vm->worker.rack, step->data_rack) != 0)
		cost += FLOW_COST_REMOTE_PERMILLE;
	if (vm == need->avoid)
		cost += FLOW_COST_FAILED_PERMILLE;
	if (vm->worker.warmup_ms)
		cost += FLOW_COST_COLD_PERMILLE;
	return cost + vm->fail_permille;
}

static struct flow_vm *flow_choose_vm(const struct flow_demand *need,
				      const char *rack)
{
	struct control_flow *flows = need->flows;
	const char *service = need->flow->record.service;
	struct flow_vm *best = NULL;
	uint64_t best_cost = 0;
	uint32_t nr_weighed = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;
		uint64_t cost;

		if (vm->changed_nr <= need->evaluated_change_nr &&
		    need->evaluated_change_nr)
			continue;
		nr_weighed++;
		if (vm == need->except ||
		    !control_flow_vm_usable(flows, vm, service) ||
		    !control_flow_vm_fits(vm, need) ||
		    (rack && strcmp(rack, vm->worker.rack) != 0))
			continue;
		cost = flow_vm_cost(vm, need);
		if (best && cost >= best_cost)
			continue;
		best = vm;
		best_cost = cost;
	}
	counter_add(flows->control->node->counters, "vms_weighed", nr_weighed);
	return best;
}

struct flow_vm *control_flow_other_vm(struct control_flow *flows,
				      const struct flow_placement *soft)
{
	uint32_t occurrence = state_flow_occurrence(soft->flow, soft->task);
	struct flow_demand need = { .flows = flows,
				    .flow = soft->flow,
				    .step = soft->step,
				    .except = soft->vm };

	need.stage = occurrence * soft->flow->record.nr_steps +
		     state_flow_step(soft->flow, soft->task);
	return flow_choose_vm(&need, NULL);
}

/* ---- placing ---- */

static void flow_log_place(const struct flow_demand *need,
			   const struct flow_placement *soft)
{
	const struct flow_vm *vm = soft->vm;
	GString *line = logline_new("place");

	logline_str(line, "task", soft->name);
	logline_u64(line, "run", soft->run);
	logline_str(line, "vm", vm->name);
	logline_str(line, "worker", vm->worker.id);
	logline_u64(line, "cpu_millis", need->step->cpu_millis);
	logline_u64(line, "vm_cpu_millis", vm->cpu_millis);
	logline_u64(line, "vm_filler_millis", vm->filler_cpu_millis);
	logline_u64(line, "vm_memory_mib", vm->memory_mib);
	logline_u64(line, "reported_ms_ago",
		    (need->flows->control->node->now_us - vm->reported_us) /
			    1000);
	node_log(need->flows->control->node, line);
}

static struct flow_placement *flow_place_on(const struct flow_demand *need,
					    uint32_t task, uint32_t run,
					    struct flow_vm *vm)
{
	struct flow_change change = { .kind = FLOW_CHANGE_PLACE };
	struct flow_placement *soft =
		control_flow_reserve(need->flows, need->flow, task, run, vm);

	if (need->flow->record.ticket_ms)
		TEXT_SET(soft->ticket,
			 flow_advice_ticket(need->flows, need->flow,
					    need->stage, vm));
	TEXT_SET(change.id, need->flow->record.id);
	change.task = task;
	change.run = run;
	TEXT_SET(change.vm, vm->name);
	TEXT_SET(change.worker, vm->worker.id);
	change.born_ms = vm->worker.born_ms;
	flow_log_place(need, soft);
	counter_add(need->flows->control->node->counters, "tasks_placed", 1);
	control_flow_propose(need->flows, &change);
	return soft;
}

static bool flow_task_waits(const struct flow_demand *need, uint32_t task)
{
	return need->flow->record.tasks[task].state == FLOW_TASK_WAITING &&
	       !control_flow_placement(need->flows, need->flow, task);
}

/* Returns true if all tasks of the stage wait, as a gang must. */
static bool flow_gang_waits(const struct flow_demand *need, uint32_t first)
{
	for (uint32_t i = 0; i < need->step->count; i++)
		if (!flow_task_waits(need, first + i))
			return false;
	return true;
}

static bool flow_gang_on_rack(const struct flow_demand *need, uint32_t first,
			      const char *rack)
{
	uint32_t run = need->flow->stages[need->stage].last_run + 1;
	GPtrArray *taken = g_ptr_array_new();
	bool all = true;

	/* Room is taken one by one, so that members count for each other. */
	for (uint32_t i = 0; i < need->step->count && all; i++) {
		struct flow_vm *vm = flow_choose_vm(need, rack);

		all = vm != NULL;
		if (all)
			g_ptr_array_add(taken, control_flow_reserve(
						       need->flows, need->flow,
						       first + i, run, vm));
	}
	for (guint i = 0; i < taken->len; i++) {
		struct flow_placement *soft = taken->pdata[i];
		struct flow_vm *vm = soft->vm;

		control_flow_unreserve(need->flows, soft);
		if (all)
			flow_place_on(need, first + i, run, vm);
	}
	g_ptr_array_unref(taken);
	return all;
}

/* Places a gang on one rack if it must be or can be, else anywhere. */
static bool flow_place_gang(const struct flow_demand *need, uint32_t first)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	bool placed = false;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, need->flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_add(racks, ((struct flow_vm *)value)->worker.rack);
	g_hash_table_iter_init(&iter, racks);
	while (need->step->same_rack && !placed &&
	       g_hash_table_iter_next(&iter, &key, NULL))
		placed = flow_gang_on_rack(need, first, key);
	if (!placed)
		placed = flow_gang_on_rack(need, first, NULL);
	g_hash_table_unref(racks);
	return placed;
}

/* Returns the VM that the task left last, if it had a reason. */
static const struct flow_vm *
flow_task_avoided_vm(const struct flow_demand *need, uint32_t task)
{
	const struct flow_task *record = &need->flow->record.tasks[task];
	char name[NAME_BYTES];

	if (record->nr_failures)
		return g_hash_table_lookup(need->flows->vms, record->vm);
	state_flow_task_name(need->flow, task, name);
	return g_hash_table_lookup(need->flows->held, name);
}

/* Places what waits of one stage; returns false if something finds no room. */
static bool flow_place_stage(struct flow_demand *need)
{
	uint32_t first = state_flow_first_task(need->flow, need->stage);

	if (need->step->gang)
		return !flow_gang_waits(need, first) ||
		       flow_place_gang(need, first);
	for (uint32_t i = first; i < first + need->step->count; i++) {
		const struct flow_task *task = &need->flow->record.tasks[i];
		struct flow_vm *vm;

		if (!flow_task_waits(need, i))
			continue;
		need->avoid = flow_task_avoided_vm(need, i);
		vm = flow_choose_vm(need, NULL);
		if (!vm)
			return false;
		flow_place_on(need, i, task->run + 1, vm);
		need->starved = false; /* one task is enough */
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

	/* The only use of the time of day, which may jump. */
	return !record->repeats ||
	       opts->host->wall_ms(opts->host_ctx) >= due_ms;
}

/*
 * Fillers wait for a place where they press nobody, but not for ever: with most
 * of the room free, each workflow gets a task to work.
 */
static bool flow_is_starved(const struct control_flow *flows,
			    struct flow_rank *rank, bool room)
{
	uint64_t now_us = flows->control->node->now_us;

	if (rank->flow->nr_placed) {
		rank->idle_us = 0;
		return false;
	}
	if (!rank->idle_us)
		rank->idle_us = now_us;
	return room && now_us - rank->idle_us > FLOW_IDLE_MAX_MS * 1000ull;
}

/* Returns true if little of the processors that count is taken. */
static bool flow_has_free_cpu(const struct control_flow *flows)
{
	uint64_t capacity = 0;
	uint64_t taken = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;

		if (!vm->reported || vm->worker.ended)
			continue;
		capacity += vm->worker.cpu_millis;
		taken += vm->cpu_millis;
	}
	return taken * 100 < capacity * FLOW_IDLE_MAX_USED_PERCENT;
}

/* Returns false if something of the workflow finds no room. */
static bool flow_place_all(struct control_flow *flows, struct state_flow *flow,
			   bool starved, uint64_t evaluated_change_nr)
{
	bool all = true;

	for (uint32_t i = 0; i < flow->nr_stages; i++) {
		const struct state_flow_stage *stage = &flow->stages[i];
		struct flow_demand need = { .flows = flows,
					    .flow = flow,
					    .starved = starved,
					    .evaluated_change_nr =
						    evaluated_change_nr };

		need.stage = i;
		need.step = state_flow_stage_step(flow, i);
		if (stage->nr_placed + stage->nr_done == need.step->count ||
		    !state_flow_stage_ready(flow, i))
			continue;
		if (!control_flow_stage_due(flows, flow, i))
			break; /* later occurrences come later */
		if (flow_place_stage(&need)) {
			control_flow_note_placed(&need);
			continue;
		}
		all = false;
		control_flow_note_wait(&need);
		if (flow->record.ticket_ms)
			flow_advice_request(flows, flow, i);
	}
	return all;
}

/*
 * Returns the number of the change up to which no VM has room for the workflow,
 * 0 if all have to be weighed. Some conditions change with time alone and a
 * gang needs several VMs at once, so all are weighed again after a while.
 * Tickets come without a change of a VM.
 */
static uint64_t flow_rank_evaluated_nr(const struct control_flow *flows,
				       const struct flow_rank *rank,
				       bool starved)
{
	const struct state_flow *flow = rank->flow;
	uint64_t now_us = flows->control->node->now_us;
	/* Other tasks wait than those that found no room, or they ask for less.
	 */
	bool other = flow->nr_done != rank->nr_done ||
		     flow->nr_placed < rank->nr_placed ||
		     (starved && !rank->starved);

	if (other || flow->record.ticket_ms ||
	    now_us - rank->all_evaluated_us >= FLOW_EVALUATE_ALL_MS * 1000ull)
		return 0;
	return rank->evaluated_change_nr;
}

static void flow_rank_place(struct control_flow *flows, struct flow_rank *rank,
			    bool room)
{
	struct state_flow *flow = rank->flow;
	bool starved = flow_is_starved(flows, rank, room);
	uint64_t evaluated_change_nr =
		flow_rank_evaluated_nr(flows, rank, starved);
	/* What changes from here on is looked at next time. */
	uint64_t change_nr = flows->change_nr;

	if (flow_place_all(flows, flow, starved, evaluated_change_nr)) {
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
	bool room = flow_has_free_cpu(flows);

	if (!raft_may_grant(control->raft)) {
		control_flow_place_soon(flows);
		return;
	}
	control_flow_sort(flows);
	for (guint i = 0; i < flows->ranks->len; i++) {
		struct flow_rank *rank =
			&g_array_index(flows->ranks, struct flow_rank, i);
		const struct state_flow *flow = rank->flow;

		if (flow->nr_placed + flow->nr_done < flow->record.nr_tasks)
			flow_rank_place(flows, rank, room);
	}
}

void control_flow_place_soon(struct control_flow *flows)
{
	if (!timer_armed(&flows->place_timer))
		node_timer_ms(flows->control->node, &flows->place_timer,
			      FLOW_PLACE_DELAY_MS);
}
