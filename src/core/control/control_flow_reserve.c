#include "control_flow_impl.h"

#include "reserve.h"

/*
 * Reservations for tasks that find no VM with enough free capacity. reserve.h
 * has the decisions; this file gathers their input, keeps the reservations, and
 * tells placement what they bar. Fillers and gangs get none: fillers need no
 * free processors, and a gang would need several VMs at the same time.
 */

/* A VM that is reserved for one task of a stage. */
struct flow_reservation {
	const struct state_flow *flow;
	uint32_t stage;
	struct flow_vm *vm;
	uint64_t at_us; /* when the task is expected to fit */
	uint64_t until_us; /* it isn't kept for longer */
	uint64_t since_us;
	struct reserve_amount amount; /* of the task */
	/* What the VM's runs are expected to use at at_us. */
	struct reserve_amount used_at;
	/* This pass of placement has come to the workflow. */
	bool reached;
};

/* A stage that found no VM in this pass. */
struct flow_reserve_wait {
	struct state_flow *flow;
	uint32_t stage;
};

struct flow_reserve {
	GArray *held; /* struct flow_reservation */
	/* struct flow_reserve_wait, highest rank first */
	GArray *waits;
	uint64_t planned_us; /* time of the last plan, 0: none */
};

struct flow_reserve *control_flow_reserve_new(void)
{
	struct flow_reserve *reserve = g_new0(struct flow_reserve, 1);

	reserve->held =
		g_array_new(FALSE, FALSE, sizeof(struct flow_reservation));
	reserve->waits =
		g_array_new(FALSE, FALSE, sizeof(struct flow_reserve_wait));
	return reserve;
}

void control_flow_reserve_free(struct flow_reserve *reserve)
{
	if (!reserve)
		return;
	g_array_unref(reserve->held);
	g_array_unref(reserve->waits);
	g_free(reserve);
}

static struct flow_reservation *held_at(const struct flow_reserve *reserve,
					guint i)
{
	return &g_array_index(reserve->held, struct flow_reservation, i);
}

static struct reserve_amount task_amount(const struct flow_step *step)
{
	struct reserve_amount amount = {
		.cpu_millis = step->filler ? 0 : step->cpu_millis,
		.memory_mib = step->memory_mib,
		.accelerators = step->accelerators,
	};

	return amount;
}

/* Returns what may be placed on one VM at a time: all tasks of a gang. */
static struct reserve_amount demand_amount(const struct flow_step *step)
{
	struct reserve_amount one = task_amount(step);
	struct reserve_amount all = one;

	for (uint32_t i = 1; step->gang && i < step->count; i++)
		reserve_add(&all, &one);
	return all;
}

static struct reserve_amount vm_capacity(const struct flow_vm *vm)
{
	struct reserve_amount capacity = {
		.cpu_millis = vm->worker.cpu_millis,
		.memory_mib = vm->worker.memory_mib,
		.accelerators = vm->worker.accelerators,
	};

	return capacity;
}

static void log_reservation(const struct control_flow *flows,
			    const struct flow_reservation *held, GString *line)
{
	uint32_t nr_steps = held->flow->record.nr_steps;
	uint64_t now_us = flows->control->node->now_us;

	logline_str(line, "id", held->flow->record.id);
	logline_u64(line, "occurrence", held->stage / nr_steps);
	logline_u64(line, "step", held->stage % nr_steps);
	logline_str(line, "vm", held->vm->name);
	logline_u64(line, "cpu_millis", held->amount.cpu_millis);
	logline_u64(line, "memory_mib", held->amount.memory_mib);
	logline_u64(line, "in_ms",
		    held->at_us > now_us ? (held->at_us - now_us) / 1000 : 0);
	node_log(flows->control->node, line);
}

static void add_reservation(struct control_flow *flows,
			    const struct flow_reservation *held)
{
	g_array_append_val(flows->reserve->held, *held);
	held->vm->nr_reservations++;
	log_reservation(flows, held, logline_new("reserve"));
}

static void drop_reservation(struct control_flow *flows, guint i,
			     const char *reason)
{
	struct flow_reservation held = *held_at(flows->reserve, i);
	GString *line = logline_new("reserve-dropped");

	g_array_remove_index(flows->reserve->held, i);
	held.vm->nr_reservations--;
	/* Tasks that the reservation has barred may be placed there now. */
	control_flow_vm_changed(flows, held.vm);
	logline_str(line, "reason", reason);
	logline_u64(line, "held_ms",
		    (flows->control->node->now_us - held.since_us) / 1000);
	log_reservation(flows, &held, line);
}

/* ---- what placement asks ---- */

void control_flow_reserve_reach(struct control_flow *flows,
				const struct state_flow *flow)
{
	if (!flows->reserve)
		return;
	for (guint i = 0; i < flows->reserve->held->len; i++) {
		struct flow_reservation *held = held_at(flows->reserve, i);

		held->reached = held->reached || held->flow == flow;
	}
}

/*
 * Returns true if the reservation concerns the demanded task: it is for another
 * stage, of the same workflow or of one of higher rank. Between passes of
 * placement each reservation counts, as nothing is placed then but runs may be
 * stopped to be moved.
 */
static bool held_against(const struct flow_demand *demand,
			 const struct flow_reservation *held)
{
	if (held->flow == demand->flow)
		return held->stage < demand->stage;
	return held->reached || !demand->flows->placing;
}

/*
 * Returns true if the demanded task must not wait any longer: see
 * flow_is_starved(). A long-running task has some seconds more, unless it has
 * already been without a run until the lease of its last VM ended.
 */
static bool demand_is_exempt(const struct flow_demand *demand)
{
	if (demand->step->lasting && demand->resumes)
		return true;
	return demand->starved &&
	       (!demand->step->lasting ||
		demand->idle_us >= FLOW_RESERVE_LASTING_MS * 1000ull);
}

/* As control_flow_reserve_admits(), for a VM that has a reservation. */
static bool reserved_vm_admits(const struct flow_vm *vm,
			       const struct flow_demand *demand)
{
	const struct control_flow *flows = demand->flows;
	struct reserve_amount capacity = vm_capacity(vm);
	struct reserve_amount amount = demand_amount(demand->step);
	struct reserve_amount sum = { 0 };
	uint64_t end_us = reserve_safe_end_us(
		flows->control->node->now_us,
		control_flow_run_ms(flows, demand->flow, demand->step));

	for (guint i = 0; i < flows->reserve->held->len; i++) {
		const struct flow_reservation *held =
			held_at(flows->reserve, i);

		if (held->vm == vm && held_against(demand, held))
			reserve_add(&sum, &held->amount);
	}
	for (guint i = 0; i < flows->reserve->held->len; i++) {
		const struct flow_reservation *held =
			held_at(flows->reserve, i);

		if (held->vm == vm && held_against(demand, held) &&
		    !reserve_admits(&capacity, &held->used_at, &sum,
				    held->at_us, &amount, end_us))
			return false;
	}
	return true;
}

bool control_flow_reserve_admits(const struct flow_vm *vm,
				 const struct flow_demand *demand)
{
	return !vm->nr_reservations || demand_is_exempt(demand) ||
	       reserved_vm_admits(vm, demand);
}

void control_flow_reserve_placed(const struct flow_demand *demand,
				 struct flow_vm *vm)
{
	struct control_flow *flows = demand->flows;
	struct reserve_amount amount = task_amount(demand->step);
	bool backfilled = false;
	guint own = G_MAXUINT;
	uint64_t end_us;

	if (!vm->nr_reservations)
		return;
	end_us = reserve_safe_end_us(flows->control->node->now_us,
				     control_flow_run_ms(flows, demand->flow,
							 demand->step));
	for (guint i = 0; i < flows->reserve->held->len; i++) {
		struct flow_reservation *held = held_at(flows->reserve, i);

		if (held->vm != vm)
			continue;
		if (held->flow == demand->flow &&
		    held->stage == demand->stage && own == G_MAXUINT) {
			own = i;
			continue;
		}
		backfilled = backfilled || held_against(demand, held);
		if (end_us > held->at_us)
			reserve_add(&held->used_at, &amount);
	}
	if (own != G_MAXUINT)
		drop_reservation(flows, own, "placed");
	else if (backfilled && !demand->step->filler)
		counter_add(flows->control->node->counters, "backfilled", 1);
}

void control_flow_reserve_note(const struct flow_demand *demand)
{
	struct flow_reserve *reserve = demand->flows->reserve;
	struct flow_reserve_wait wait = { .flow = demand->flow,
					  .stage = demand->stage };

	if (reserve && !demand->step->filler && !demand->step->gang &&
	    reserve->waits->len < FLOW_RESERVE_WAITS_MAX)
		g_array_append_val(reserve->waits, wait);
}

void control_flow_reserve_ended(struct control_flow *flows,
				const struct state_flow *flow)
{
	if (!flows->reserve)
		return;
	for (guint i = flows->reserve->held->len; i-- > 0;)
		if (held_at(flows->reserve, i)->flow == flow)
			drop_reservation(flows, i, "ended");
}

uint32_t control_flow_reserve_count(const struct control_flow *flows)
{
	return flows->reserve ? flows->reserve->held->len : 0;
}

uint32_t control_flow_reserve_show(const struct control_flow *flows,
				   const struct state_flow *flow,
				   uint32_t stage, const char **vm,
				   uint64_t *in_ms)
{
	uint64_t now_us = flows->control->node->now_us;
	uint64_t first_us = UINT64_MAX;
	uint32_t nr = 0;

	for (guint i = 0; i < control_flow_reserve_count(flows); i++) {
		const struct flow_reservation *held =
			held_at(flows->reserve, i);

		if (held->flow != flow || held->stage != stage)
			continue;
		nr++;
		if (held->at_us >= first_us)
			continue;
		first_us = held->at_us;
		*vm = held->vm->name;
		*in_ms = first_us > now_us ? (first_us - now_us) / 1000 : 0;
	}
	return nr;
}

/* ---- planning ---- */

/* The input of a plan, and what its tasks and VMs stand for. */
struct flow_reserve_plan {
	struct control_flow *flows;
	GPtrArray *vms; /* struct flow_vm * */
	GArray *inputs; /* struct reserve_vm, in the order of vms */
	GPtrArray *runs; /* GArray of struct reserve_run, in that order, too */
	GArray *demands; /* struct flow_demand, one for each task */
	GArray *tasks; /* struct reserve_task, in the order of demands */
};

static gint run_compare(gconstpointer a, gconstpointer b)
{
	const struct reserve_run *x = a;
	const struct reserve_run *y = b;

	return x->end_us < y->end_us ? -1 : x->end_us > y->end_us;
}

/*
 * Updates when the run is expected to end. Its progress is as of the last
 * report, so the time is computed anew only if the progress has changed.
 */
static void update_end(const struct control_flow *flows,
		       struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	uint64_t remaining_ms;

	if (placed->listed && placed->end_from_us == placed->progress_us)
		return;
	placed->end_from_us = placed->progress_us;
	remaining_ms = control_flow_remaining_ms(flows, placed);
	placed->end_us = remaining_ms == UINT64_MAX ?
				 UINT64_MAX :
				 now_us + remaining_ms * 1000;
}

/*
 * Returns when the run is expected to end. One that has exceeded its time is
 * assumed to take as long again as it has exceeded it by, so that its VM isn't
 * expected to be free at any moment.
 */
static uint64_t run_end_us(const struct control_flow *flows,
			   struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	uint64_t stop_ms = flows->control->opts.load_limits.stop_ms;
	uint64_t soon_us = now_us + FLOW_RESERVE_PLAN_MS * 1000ull;

	update_end(flows, placed);
	if (placed->ending)
		return soon_us;
	if (placed->stopping && stop_ms)
		return MIN(placed->end_us, now_us + stop_ms * 1000);
	return MAX(placed->end_us > now_us ? placed->end_us :
					     2 * now_us - placed->end_us,
		   soon_us);
}

static void plan_add_vm(struct flow_reserve_plan *plan, struct flow_vm *vm)
{
	struct flow_demand none = { .flows = plan->flows };
	struct flow_load load = {
		.cpu_millis = vm->cpu_millis,
		.memory_mib = vm->memory_mib,
		.accelerators = vm->accelerators,
	};
	GArray *runs = g_array_new(FALSE, FALSE, sizeof(struct reserve_run));
	struct reserve_vm input = { .capacity = vm_capacity(vm) };
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, vm->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flow_placement *placed = key;
		struct reserve_run run = {
			.end_us = run_end_us(plan->flows, placed),
			.amount = task_amount(placed->step),
		};

		g_array_append_val(runs, run);
	}
	g_array_sort(runs, run_compare);
	control_flow_add_orphans(vm, &none, &load);
	input.used.cpu_millis = load.cpu_millis;
	input.used.memory_mib = load.memory_mib;
	input.used.accelerators = load.accelerators;
	input.runs = (struct reserve_run *)(void *)runs->data;
	input.nr_runs = runs->len;
	g_ptr_array_add(plan->vms, vm);
	g_ptr_array_add(plan->runs, runs);
	g_array_append_val(plan->inputs, input);
}

/* Returns how many tasks of the stage wait, at most FLOW_RESERVE_STAGE_MAX. */
static uint32_t count_waiting(const struct control_flow *flows,
			      const struct flow_reserve_wait *wait)
{
	const struct state_flow *flow = wait->flow;
	uint32_t first = state_flow_first_task(flow, wait->stage);
	uint32_t count = state_flow_stage_step(flow, wait->stage)->count;
	uint32_t nr = 0;

	for (uint32_t i = first;
	     i < first + count && nr < FLOW_RESERVE_STAGE_MAX; i++)
		nr += flow->record.tasks[i].state == FLOW_TASK_WAITING &&
		      !control_flow_placement(flows, flow, i);
	return nr;
}

/* Returns the index of the VM in the plan, RESERVE_NO_VM if it has none. */
static uint32_t plan_vm_index(const struct flow_reserve_plan *plan,
			      const struct flow_vm *vm)
{
	for (guint i = 0; i < plan->vms->len; i++)
		if (plan->vms->pdata[i] == vm)
			return i;
	return RESERVE_NO_VM;
}

/* Adds the stage's waiting tasks, as many as may get a reservation. */
static void plan_add_wait(struct flow_reserve_plan *plan,
			  const struct flow_reserve_wait *wait)
{
	uint32_t nr = count_waiting(plan->flows, wait);
	struct flow_demand demand = { .flows = plan->flows,
				      .flow = wait->flow,
				      .stage = wait->stage };

	demand.step = state_flow_stage_step(wait->flow, wait->stage);
	for (uint32_t i = 0; i < nr; i++) {
		struct reserve_task task = {
			.amount = task_amount(demand.step),
			.priority = wait->flow->record.priority,
			.same_step = i > 0,
			.kept_vm = RESERVE_NO_VM,
		};

		g_array_append_val(plan->demands, demand);
		g_array_append_val(plan->tasks, task);
	}
}

/* Returns true if the VM may take the task once it has capacity. */
static bool plan_eligible(void *ctx, uint32_t task, uint32_t vm)
{
	const struct flow_reserve_plan *plan = ctx;
	const struct flow_demand *demand =
		&g_array_index(plan->demands, struct flow_demand, task);

	return control_flow_vm_is_eligible(plan->vms->pdata[vm], demand);
}

/* Why a VM's reservations end; NULL: they don't. */
static const char *vm_drop_reason(const struct control_flow *flows,
				  const struct flow_vm *vm,
				  const struct state_flow *flow)
{
	if (control_flow_vm_usable(flows, vm, flow->record.service))
		return NULL;
	if (!state_zone_is_in(flows->control->state, vm->zone))
		return "zone-out";
	return vm->worker.draining || vm->worker.ended ? "leaving" : "vm-lost";
}

/*
 * Assigns the reservation to a task of the plan that has none yet; returns
 * false if there is no such task.
 */
static bool plan_keep(struct flow_reserve_plan *plan,
		      const struct flow_reservation *held)
{
	for (guint i = 0; i < plan->tasks->len; i++) {
		struct reserve_task *task =
			&g_array_index(plan->tasks, struct reserve_task, i);
		const struct flow_demand *demand =
			&g_array_index(plan->demands, struct flow_demand, i);

		if (demand->flow != held->flow ||
		    demand->stage != held->stage ||
		    task->kept_vm != RESERVE_NO_VM)
			continue;
		task->kept_vm = plan_vm_index(plan, held->vm);
		task->kept_at_us = held->at_us;
		task->kept_until_us = held->until_us;
		return true;
	}
	return false;
}

/* Drops reservations that end, and gives the others to the plan's tasks. */
static void plan_keep_all(struct flow_reserve_plan *plan)
{
	struct control_flow *flows = plan->flows;
	struct flow_reserve *reserve = flows->reserve;
	/* There may be more waiting stages than the plan considers. */
	bool full = reserve->waits->len == FLOW_RESERVE_WAITS_MAX;
	guint i = 0;

	while (i < reserve->held->len) {
		const struct flow_reservation *held = held_at(reserve, i);
		const char *reason =
			vm_drop_reason(flows, held->vm, held->flow);

		if (!reason && !plan_keep(plan, held))
			reason = full ? "outranked" : "elsewhere";
		if (reason)
			drop_reservation(flows, i, reason);
		else
			i++;
	}
}

/* Returns the index of the reservation that a task of the plan has kept. */
static guint plan_find_kept(const struct flow_reserve_plan *plan, guint task)
{
	const struct flow_reserve *reserve = plan->flows->reserve;
	const struct flow_demand *demand =
		&g_array_index(plan->demands, struct flow_demand, task);
	const struct reserve_task *input =
		&g_array_index(plan->tasks, struct reserve_task, task);
	guint i = 0;

	while (held_at(reserve, i)->flow != demand->flow ||
	       held_at(reserve, i)->stage != demand->stage ||
	       held_at(reserve, i)->vm != plan->vms->pdata[input->kept_vm] ||
	       held_at(reserve, i)->at_us != input->kept_at_us)
		i++;
	return i;
}

static void plan_apply(const struct flow_reserve_plan *plan,
		       const struct reserve_slot *slots)
{
	struct control_flow *flows = plan->flows;
	GArray *held = flows->reserve->held;

	for (guint i = 0; i < plan->tasks->len; i++)
		if (slots[i].drop)
			drop_reservation(flows, plan_find_kept(plan, i),
					 slots[i].drop == RESERVE_LATE ?
						 "late" :
						 "outranked");
	for (guint i = 0; i < plan->tasks->len; i++) {
		const struct flow_demand *demand =
			&g_array_index(plan->demands, struct flow_demand, i);
		const struct reserve_task *task =
			&g_array_index(plan->tasks, struct reserve_task, i);
		struct flow_reservation made = {
			.flow = demand->flow,
			.stage = demand->stage,
			.at_us = slots[i].at_us,
			.until_us = slots[i].until_us,
			.since_us = flows->control->node->now_us,
			.amount = task->amount,
			.reached = true,
		};

		if (slots[i].vm == RESERVE_NO_VM ||
		    (task->kept_vm != RESERVE_NO_VM && !slots[i].drop))
			continue;
		made.vm = plan->vms->pdata[slots[i].vm];
		add_reservation(flows, &made);
	}
	for (guint i = 0; i < held->len; i++) {
		struct flow_reservation *one = held_at(flows->reserve, i);

		one->used_at = reserve_used_at(
			&g_array_index(plan->inputs, struct reserve_vm,
				       plan_vm_index(plan, one->vm)),
			one->at_us);
	}
}

/* Returns how many reservations there may be. */
static uint32_t plan_max_slots(const struct flow_reserve_plan *plan)
{
	uint32_t nr = plan->vms->len * FLOW_RESERVE_VMS_PERCENT / 100;

	return MIN(MAX(nr, 1), plan->flows->policy->max_reservations);
}

static void plan_run(struct flow_reserve_plan *plan)
{
	struct reserve_slot *slots =
		g_new0(struct reserve_slot, MAX(plan->tasks->len, 1));
	struct reserve_input input = {
		.now_us = plan->flows->control->node->now_us,
		.horizon_us = FLOW_RESERVE_HORIZON_MS * 1000ull,
		.margin_us = FLOW_RESERVE_LATE_MS * 1000ull,
		.vms = (struct reserve_vm *)(void *)plan->inputs->data,
		.nr_vms = plan->inputs->len,
		.tasks = (struct reserve_task *)(void *)plan->tasks->data,
		.nr_tasks = plan->tasks->len,
		.max_slots = plan_max_slots(plan),
		.eligible = plan_eligible,
		.ctx = plan,
	};

	reserve_plan(&input, slots);
	plan_apply(plan, slots);
	g_free(slots);
}

static void runs_free(void *data)
{
	g_array_unref(data);
}

static void reserve_plan_all(struct control_flow *flows)
{
	const GArray *waits = flows->reserve->waits;
	struct flow_reserve_plan plan = {
		.flows = flows,
		.vms = g_ptr_array_new(),
		.inputs = g_array_new(FALSE, FALSE, sizeof(struct reserve_vm)),
		.runs = g_ptr_array_new_with_free_func(runs_free),
		.demands = g_array_new(FALSE, TRUE, sizeof(struct flow_demand)),
		.tasks = g_array_new(FALSE, FALSE, sizeof(struct reserve_task)),
	};
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;

		if (vm->takes_tasks)
			plan_add_vm(&plan, vm);
	}
	for (guint i = 0; i < waits->len; i++)
		plan_add_wait(&plan,
			      &g_array_index(waits, struct flow_reserve_wait,
					     i));
	plan_keep_all(&plan);
	plan_run(&plan);
	g_ptr_array_unref(plan.vms);
	g_array_unref(plan.inputs);
	g_ptr_array_unref(plan.runs);
	g_array_unref(plan.demands);
	g_array_unref(plan.tasks);
}

void control_flow_reserve_begin(struct control_flow *flows)
{
	if (!flows->reserve)
		return;
	g_array_set_size(flows->reserve->waits, 0);
	for (guint i = 0; i < flows->reserve->held->len; i++)
		held_at(flows->reserve, i)->reached = false;
}

void control_flow_reserve_update(struct control_flow *flows)
{
	struct flow_reserve *reserve = flows->reserve;
	uint64_t now_us = flows->control->node->now_us;

	if (!reserve || (!reserve->waits->len && !reserve->held->len) ||
	    (reserve->planned_us &&
	     now_us - reserve->planned_us < FLOW_RESERVE_PLAN_MS * 1000ull))
		return;
	reserve->planned_us = now_us;
	reserve_plan_all(flows);
}
