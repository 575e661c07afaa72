#include <string.h>

#include "control_flow_impl.h"

/*
 * What ends of runs tell of the VMs and of the steps that they ran, see
 * reliability.h. All of this is known to the leader only, and is lost with it.
 */

static void failed_step_free(void *data)
{
	reliability_step_unref(data);
}

GHashTable *control_flow_failed_steps_new(void)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     failed_step_free);
}

void control_flow_forget_steps(struct control_flow *flows,
			       const struct state_flow *flow)
{
	for (uint32_t i = 0; i < flow->record.nr_steps; i++)
		g_hash_table_remove(flows->failed_steps,
				    &flow->record.steps[i]);
}

/* Returns the step's record, NULL if none of its runs has failed. */
static struct reliability_step *failed_step(const struct control_flow *flows,
					    const struct flow_step *step)
{
	return g_hash_table_lookup(flows->failed_steps, step);
}

bool control_flow_step_is_paused(const struct control_flow *flows,
				 const struct flow_step *step)
{
	const struct reliability_step *failed = failed_step(flows, step);

	return failed &&
	       reliability_is_paused(failed, flows->control->node->now_us);
}

/* ---- VMs that are barred ---- */

bool control_flow_vm_is_barred(const struct control_flow *flows,
			       const struct flow_vm *vm)
{
	return flows->control->node->now_us < vm->barred_until_us;
}

/* Sums up the other VMs of the VM's service that are in use. */
static struct reliability_others sum_others(const struct control_flow *flows,
					    const struct flow_vm *vm)
{
	struct reliability_others others = { 0 };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *other = value;

		if (other == vm || !other->reported || other->worker.ended ||
		    strcmp(other->worker.service, vm->worker.service) != 0)
			continue;
		others.nr_vms++;
		others.nr_barred += control_flow_vm_is_barred(flows, other);
		others.sum_fail_permille +=
			reliability_fail_permille(&other->reliability);
	}
	return others;
}

static void log_shunned(struct control_flow *flows, const struct flow_vm *vm,
			const struct reliability_others *others,
			const char *task)
{
	GString *line = logline_new("worker-shunned");

	logline_str(line, "vm", vm->name);
	logline_str(line, "worker", vm->worker.id);
	logline_str(line, "task", task);
	logline_u64(line, "for_ms", vm->barred_ms);
	logline_u64(line, "service_shunned", others->nr_barred + 1);
	logline_u64(line, "fail_permille",
		    reliability_fail_permille(&vm->reliability));
	logline_u64(line, "others_fail_permille",
		    others->sum_fail_permille / MAX(others->nr_vms, 1));
	node_log(flows->control->node, line);
}

/* Bars the VM for a while if too many runs have failed because of it. */
static void bar_if_unreliable(struct control_flow *flows, struct flow_vm *vm,
			      const char *task)
{
	uint64_t now_us = flows->control->node->now_us;
	struct reliability_others others;

	if (control_flow_vm_is_barred(flows, vm) ||
	    reliability_fail_permille(&vm->reliability) < FLOW_BACKOFF_PERMILLE)
		return;
	others = sum_others(flows, vm);
	if (!reliability_should_bar(&vm->reliability, &others))
		return;
	vm->barred_ms = CLAMP(vm->barred_ms * 2, FLOW_BACKOFF_MIN_MS,
			      FLOW_BACKOFF_MAX_MS);
	vm->barred_until_us = now_us + vm->barred_ms * 1000ull;
	log_shunned(flows, vm, &others, task);
	counter_add(flows->control->node->counters, "workers_shunned", 1);
	reliability_barred(&vm->reliability);
}

void control_flow_update_bar(struct control_flow *flows, struct flow_vm *vm)
{
	GString *line;

	vm->fail_permille = reliability_fail_permille(&vm->reliability);
	if (vm->fail_permille || !control_flow_vm_is_barred(flows, vm))
		return;
	/* What failed there has failed elsewhere since. */
	vm->barred_until_us = 0;
	vm->barred_ms = 0;
	line = logline_new("worker-restored");
	logline_str(line, "vm", vm->name);
	logline_str(line, "worker", vm->worker.id);
	node_log(flows->control->node, line);
}

/* ---- ends of runs ---- */

static void log_faulty(struct control_flow *flows,
		       const struct flow_placement *placed,
		       const struct reliability_step *step)
{
	GString *line = logline_new("step-faulty");

	logline_str(line, "id", placed->flow->record.id);
	logline_u64(line, "step", placed->step - placed->flow->record.steps);
	logline_str(line, "task", placed->name);
	logline_str(line, "vm", placed->vm->name);
	logline_u64(line, "failures", step->nr_failures);
	logline_u64(line, "failed_after_ms", step->failed_after_ms);
	counter_add(flows->control->node->counters, "steps_faulty", 1);
	node_log(flows->control->node, line);
}

/* Logs the failed end of a gang's task, and how often the gang has failed. */
static void log_gang_failure(struct control_flow *flows,
			     const struct flow_placement *placed, bool counts)
{
	const struct state_flow *flow = placed->flow;
	uint32_t stage = state_flow_stage_of(flow, placed->task);
	GString *line = logline_new("gang-run-failed");

	logline_str(line, "id", flow->record.id);
	logline_u64(line, "occurrence", stage / flow->record.nr_steps);
	logline_u64(line, "step", stage % flow->record.nr_steps);
	logline_u64(line, "run", placed->run);
	logline_str(line, "task", placed->name);
	logline_str(line, "vm", placed->vm->name);
	logline_str(line, "counts", counts ? "yes" : "no");
	logline_u64(line, "failures", flow->stages[stage].nr_failures);
	logline_u64(line, "attempts", flow->record.attempts);
	if (counts)
		counter_add(flows->control->node->counters, "gang_runs_failed",
			    1);
	node_log(flows->control->node, line);
}

static uint64_t ran_ms(const struct control_flow *flows,
		       const struct flow_placement *placed)
{
	return placed->listed_us ?
		       (flows->control->node->now_us - placed->listed_us) /
			       1000 :
		       0;
}

static void note_success(struct control_flow *flows,
			 struct flow_placement *placed)
{
	reliability_succeeded(&placed->vm->reliability,
			      failed_step(flows, placed->step));
	placed->vm->barred_ms = 0;
}

/* Returns the step's record; creates it if there is none. */
static struct reliability_step *
get_failed_step(struct control_flow *flows, const struct flow_placement *placed)
{
	struct reliability_step *step = failed_step(flows, placed->step);

	if (step)
		return step;
	step = reliability_step_new();
	step->proven = placed->flow->nr_done > 0;
	g_hash_table_insert(flows->failed_steps, (gpointer)placed->step, step);
	return step;
}

/*
 * Returns a number for the run that the tasks of its gang have in common, 0 for
 * a task that isn't of a gang.
 */
static uint64_t gang_run(const struct flow_placement *placed)
{
	uint64_t stage = state_flow_stage_of(placed->flow, placed->task);

	return placed->step->gang ? (stage + 1) << 32 | placed->run : 0;
}

static void note_failure(struct control_flow *flows,
			 struct flow_placement *placed)
{
	uint64_t now_us = flows->control->node->now_us;
	struct reliability_step *step;

	/* Failures of workflows that have ended are forgotten. */
	if (!state_flow_is_active(placed->flow))
		return;
	/* Its worker is sound, and so is the step. */
	if (placed->step->lasting &&
	    ran_ms(flows, placed) >= RELIABILITY_SOUND_MS)
		return;
	step = get_failed_step(flows, placed);
	if (reliability_failed(&placed->vm->reliability, step, gang_run(placed),
			       ran_ms(flows, placed)))
		log_faulty(flows, placed, step);
	if (placed->step->lasting)
		reliability_delay_restart(step, now_us);
	bar_if_unreliable(flows, placed->vm, placed->name);
}

/*
 * After a refused start there is a pause: for the VM if its worker would refuse
 * other starts, too, or for the step if other workers would refuse it.
 */
static void note_refusal(struct control_flow *flows,
			 struct flow_placement *placed)
{
	uint64_t until_us =
		flows->control->node->now_us + FLOW_REFUSED_MS * 1000ull;

	switch (placed->refusal) {
	case RESULT_NO_PERMIT: /* the ticket is forgotten */
	case RESULT_CONFLICT: /* the next run has a higher number */
	case RESULT_CANCELLED:
		break;
	case RESULT_MALFORMED:
		if (state_flow_is_active(placed->flow))
			reliability_pause(get_failed_step(flows, placed),
					  until_us);
		break;
	default:
		placed->vm->backoff_until_us =
			MAX(placed->vm->backoff_until_us, until_us);
		break;
	}
}

void control_flow_note_end(struct control_flow *flows,
			   struct flow_placement *placed, enum flow_end end)
{
	if (end == FLOW_END_REFUSED)
		note_refusal(flows, placed);
	else if (end == FLOW_END_DONE)
		note_success(flows, placed);
	else if (flow_end_is_failure(end))
		note_failure(flows, placed);
	if (flow_end_is_failure(end) && placed->step->gang)
		log_gang_failure(flows, placed, end == FLOW_END_FAILED);
}

void control_flow_note_running(struct control_flow *flows,
			       struct flow_placement *placed)
{
	const struct reliability_step *step;
	uint64_t age_ms = ran_ms(flows, placed);

	if (placed->sound)
		return;
	step = failed_step(flows, placed->step);
	if (!(placed->step->lasting && age_ms >= RELIABILITY_SOUND_MS) &&
	    !(step && reliability_outlives(step, age_ms)))
		return;
	placed->sound = true;
	note_success(flows, placed);
}
