#include "control_flow_impl.h"

#include <string.h>

/*
 * Admission of workflows under a policy that refuses those that can't complete
 * in time, see admission.h. All of this is known to the leader only, and is
 * lost with it.
 */

/* The tasks of one kind of a service, with what decides about a submission. */
struct flow_admit {
	struct control_flow *flows;
	const char *service;
	enum admission_kind kind;
	uint64_t copies_ms; /* admission_request.copies_ms */
	/* admission_request.limit_ms, UINT64_MAX without a submission. */
	uint64_t limit_ms;
};

static enum admission_kind flow_step_kind(const struct flow_step *step)
{
	return step->filler ? ADMISSION_FILLERS : ADMISSION_OTHERS;
}

/* Returns the expected work of one task of the step within the limit. */
static uint64_t flow_task_core_ms(const struct control_flow *flows,
				  const struct state_flow *flow,
				  const struct flow_step *step,
				  uint64_t limit_ms)
{
	uint64_t run_ms = control_flow_run_ms(flows, flow, step);

	return step->lasting ?
		       0 :
		       MIN(step->cpu_millis * MIN(run_ms, limit_ms) / 1000,
			   FLOW_WORK_MAX_CORE_MS);
}

/*
 * Returns true if any VM could take a task of the step if it were empty. Work
 * that waits for a VM with its label or of its size takes no capacity.
 */
static bool flow_step_suits(const struct flow_admit *admit,
			    const struct flow_step *step)
{
	struct control_flow *flows = admit->flows;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;

		if (control_flow_vm_suits(vm, step) &&
		    control_flow_vm_usable(flows, vm, admit->service))
			return true;
	}
	return false;
}

/*
 * Returns the expected work of the workflow's tasks that aren't done, of each
 * task what it can do within the limit. Steps that no VM could take don't
 * count.
 */
static uint64_t flow_remaining_core_ms(const struct flow_admit *admit,
				       const struct state_flow *flow,
				       uint64_t limit_ms)
{
	uint64_t sum_core_ms = 0;

	for (uint32_t i = 0; i < flow->nr_stages; i++) {
		const struct flow_step *step = state_flow_stage_step(flow, i);

		if (flow_step_kind(step) == admit->kind &&
		    (flow->stages[i].nr_placed || flow_step_suits(admit, step)))
			sum_core_ms += flow_task_core_ms(admit->flows, flow,
							 step, limit_ms) *
				       (step->count - flow->stages[i].nr_done);
	}
	return MIN(sum_core_ms, FLOW_WORK_MAX_CORE_MS);
}

static bool flow_has_lasting_step(const struct flow_record *record)
{
	for (uint32_t i = 0; i < record->nr_steps; i++)
		if (record->steps[i].lasting)
			return true;
	return false;
}

/*
 * Returns true if the workflow may be refused, and its estimates are checked.
 * Long-running and scheduled workflows are always accepted.
 */
static bool flow_is_subject(const struct flow_record *record)
{
	return !record->repeats && !flow_has_lasting_step(record);
}

/* ---- capacity ---- */

static bool flow_admit_counts(const struct flow_admit *admit,
			      const struct flow_placement *placed)
{
	return !placed->step->lasting &&
	       flow_step_kind(placed->step) == admit->kind &&
	       !strcmp(placed->flow->record.service, admit->service);
}

/*
 * Sums up the runs: the processors they use, and the work they have done. Of a
 * run that ends after the limit, only what is missing within it counts, as
 * flow_remaining_core_ms() has no more of it.
 */
static void flow_sum_runs(const struct flow_admit *admit,
			  uint64_t *running_millis, uint64_t *done_core_ms)
{
	GHashTableIter iter;
	void *value;

	*running_millis = *done_core_ms = 0;
	g_hash_table_iter_init(&iter, admit->flows->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_placement *placed = value;
		uint64_t run_ms;
		uint64_t left_ms;
		bool unsure;

		if (!flow_admit_counts(admit, placed))
			continue;
		run_ms = MIN(control_flow_run_ms(admit->flows, placed->flow,
						 placed->step),
			     admit->limit_ms);
		/* The measured yield has the throttling already. */
		left_ms = control_flow_remaining_full_ms(admit->flows, placed,
							 &unsure);
		*running_millis += placed->step->cpu_millis;
		*done_core_ms += placed->step->cpu_millis *
				 (run_ms - MIN(left_ms, run_ms)) / 1000;
	}
}

/* Returns the processors on which more tasks like the step's could start. */
static uint64_t flow_free_millis(const struct flow_admit *admit,
				 const struct flow_step *step)
{
	struct control_flow *flows = admit->flows;
	uint64_t sum_millis = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flow_vm *vm = value;

		if (!control_flow_vm_usable(flows, vm, admit->service))
			continue;
		if (step->filler)
			sum_millis += control_flow_filler_room(flows, vm, step);
		else if (vm->worker.cpu_millis > vm->cpu_millis)
			sum_millis += vm->worker.cpu_millis - vm->cpu_millis;
	}
	return sum_millis;
}

/*
 * Only the service of the workflow that is placed first is sampled here; others
 * are when submissions come.
 */
void control_flow_admit_sample(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;
	bool sampled[ADMISSION_KINDS] = { false };

	if (!flows->admission || now_us - flows->admission_sampled_us <
					 ADMISSION_SAMPLE_MS * 1000ull)
		return;
	flows->admission_sampled_us = now_us;
	for (guint i = 0; i < flows->ranks->len; i++) {
		const struct flow_record *record =
			&g_array_index(flows->ranks, struct flow_rank, i)
				 .flow->record;
		const struct flow_step *step = &record->steps[0];
		struct flow_admit admit = { flows, record->service,
					    flow_step_kind(step), 0,
					    UINT64_MAX };
		uint64_t running_millis;
		uint64_t done_core_ms;

		if (sampled[admit.kind] || !flow_is_subject(record))
			continue;
		sampled[admit.kind] = true;
		flow_sum_runs(&admit, &running_millis, &done_core_ms);
		admission_sample(flows->admission, admit.service, admit.kind,
				 running_millis +
					 flow_free_millis(&admit, step),
				 now_us);
	}
}

/*
 * Records a run that has ended. Its task may be done although the run ended
 * otherwise, as another task of its gang was done.
 */
void control_flow_admit_ran(struct control_flow *flows,
			    const struct flow_placement *placed)
{
	const struct flow_step *step = placed->step;
	const struct flow_record *record = &placed->flow->record;
	bool done = record->nr_tasks &&
		    record->tasks[placed->task].state == FLOW_TASK_DONE;
	uint64_t now_us = flows->control->node->now_us;
	uint64_t ran_ms = (now_us - placed->reserved_us) / 1000;

	/* The start of an inherited run isn't known. */
	if (!flows->admission || step->lasting || placed->inherited)
		return;
	admission_ran(flows->admission, placed->flow->record.service,
		      flow_step_kind(step), step->cpu_millis * ran_ms / 1000,
		      done ? flow_task_core_ms(flows, placed->flow, step,
					       UINT64_MAX) :
			     0,
		      now_us);
}

/* ---- the decision ---- */

/* Returns true if a submission with the id is proposed but not committed. */
static bool flow_is_proposed(const struct control *control, const char *id)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, control->proposals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control_proposal *proposal = value;
		const struct flow_record *record = proposal->command.body;

		if (proposal->type == CMD_FLOW_SUBMIT &&
		    !strcmp(record->id, id))
			return true;
	}
	return false;
}

/* Returns the work of the first @a nr ranks, struct admission_ahead. */
static GArray *flow_work_ahead(const struct flow_admit *admit, guint nr)
{
	uint64_t now_us = admit->flows->control->node->now_us;
	GArray *ahead =
		g_array_new(FALSE, FALSE, sizeof(struct admission_ahead));

	for (guint i = 0; i < nr; i++) {
		const struct flow_rank *rank = &g_array_index(
			admit->flows->ranks, struct flow_rank, i);
		struct admission_ahead work = { .left_ms = UINT64_MAX };

		if (rank->flow->record.repeats ||
		    strcmp(rank->flow->record.service, admit->service) != 0)
			continue;
		work.work_core_ms = flow_remaining_core_ms(admit, rank->flow,
							   admit->limit_ms);
		if (rank->abandoned_us != UINT64_MAX)
			work.left_ms = (rank->abandoned_us -
					MIN(now_us, rank->abandoned_us)) /
				       1000;
		if (work.work_core_ms)
			g_array_append_val(ahead, work);
	}
	return ahead;
}

static void flow_log_refusal(const struct control_flow *flows,
			     const struct flow_record *record,
			     const struct admission_request *request,
			     const struct admission_answer *answer)
{
	GString *line = logline_new("admission");

	logline_str(line, "id", record->id);
	logline_str(line, "reason", admission_verdict_name(answer->verdict));
	logline_str(line, "service", request->service);
	logline_str(line, "kind",
		    request->kind == ADMISSION_FILLERS ? "fillers" : "others");
	logline_u64(line, "priority", record->priority);
	logline_u64(line, "work_core_ms", request->work_core_ms);
	logline_u64(line, "limit_ms", request->limit_ms);
	logline_u64(line, "ahead", request->nr_ahead);
	logline_u64(line, "ahead_core_ms", answer->ahead_core_ms);
	logline_u64(line, "done_core_ms", request->done_core_ms);
	logline_u64(line, "running_millis", request->running_millis);
	logline_u64(line, "free_millis", request->free_millis);
	logline_u64(line, "yield_permille", answer->yield_permille);
	logline_u64(line, "capacity_millis", answer->capacity_millis);
	logline_u64(line, "margin_permille", request->margin_permille);
	logline_u64(line, "finish_ms", answer->finish_ms);
	logline_u64(line, "waiting", answer->nr_waiting);
	logline_u64(line, "retry_after_ms", answer->retry_after_ms);
	node_log(flows->control->node, line);
}

/*
 * Decides about the tasks of one kind; returns the retry time of a refusal, or
 * 0.
 */
static uint32_t flow_admit_kind(const struct flow_admit *admit,
				struct state_flow *flow,
				const struct flow_step *step, guint nr_before)
{
	struct control_flow *flows = admit->flows;
	const struct flow_record *record = &flow->record;
	char *queue = g_strconcat(record->host, " ", record->prefix, NULL);
	GArray *ahead = flow_work_ahead(admit, nr_before);
	struct admission_request request = {
		.id = record->id,
		.queue = queue,
		.service = admit->service,
		.kind = admit->kind,
		.work_core_ms = flow_remaining_core_ms(admit, flow, UINT64_MAX),
		.limit_ms = admit->limit_ms,
		.copies_ms = admit->copies_ms,
		.ahead = (const struct admission_ahead *)(void *)ahead->data,
		.nr_ahead = ahead->len,
		.free_millis = flow_free_millis(admit, step),
		.margin_permille = flows->policy->admission_margin_permille,
		.proposed = flow_is_proposed(flows->control, record->id),
	};
	struct admission_answer answer;

	flow_sum_runs(admit, &request.running_millis, &request.done_core_ms);
	admission_decide(flows->admission, &request,
			 flows->control->node->now_us, &answer);
	if (answer.retry_after_ms) {
		counter_inc_label(flows->control->node->counters,
				  "admission_refused", "reason",
				  admission_verdict_name(answer.verdict));
		flow_log_refusal(flows, record, &request, &answer);
	}
	g_array_unref(ahead);
	g_free(queue);
	return (uint32_t)answer.retry_after_ms;
}

uint32_t control_flow_admit(struct control_flow *flows,
			    const struct flow_record *record,
			    uint32_t timeout_ms)
{
	uint64_t copies_ms =
		(uint64_t)timeout_ms * GATEWAY_REPLY_WAIT_PERCENT / 100 +
		ADMISSION_FLIGHT_MS;
	struct state_flow flow = { .record = *record };
	uint32_t retry_after_ms = 0;
	uint64_t limit_ms;
	guint nr_before;

	if (!flows->admission || !flow_is_subject(record))
		return 0;
	/* As the workflow will be once it is accepted. */
	flow.nr_stages = record->nr_steps;
	flow.stages = g_new0(struct state_flow_stage, flow.nr_stages);
	limit_ms = control_flow_objective_ms(&flow) * FLOW_ZERO_VALUE_FACTOR;
	/* A queue without an objective has no limit. */
	if (!limit_ms)
		limit_ms = UINT64_MAX;
	nr_before = control_flow_ranks_before(flows, &flow);
	for (uint32_t kind = 0; kind < ADMISSION_KINDS; kind++) {
		struct flow_admit admit = { flows, record->service, kind,
					    copies_ms, limit_ms };
		uint32_t i = 0;

		while (i < record->nr_steps &&
		       flow_step_kind(&record->steps[i]) != kind)
			i++;
		if (i < record->nr_steps && !retry_after_ms)
			retry_after_ms = flow_admit_kind(
				&admit, &flow, &record->steps[i], nr_before);
	}
	g_free(flow.stages);
	return retry_after_ms;
}

/* ---- the check of estimates ---- */

void control_flow_admit_changed(struct control_flow *flows,
				const struct state_flow *flow)
{
	const struct flow_record *record = &flow->record;
	struct counters *counters = flows->control->node->counters;
	uint64_t now_us = flows->control->node->now_us;
	struct admission_accepted accepted = { .id = record->id };
	struct admission_outcome outcome;
	char *queue;

	if (!flows->admission || !flow_is_subject(record))
		return;
	if (!state_flow_is_active(flow)) {
		outcome = admission_end(flows->admission, record->id,
					record->state == FLOW_COMPLETED,
					now_us);
		counter_add(counters, "admission_late", outcome.late);
		counter_add(counters, "admission_spare", outcome.nr_spare);
		return;
	}
	queue = g_strconcat(record->host, " ", record->prefix, NULL);
	accepted.queue = queue;
	for (uint32_t kind = 0; kind < ADMISSION_KINDS; kind++) {
		struct flow_admit admit = { flows, record->service, kind, 0,
					    UINT64_MAX };

		accepted.work_core_ms +=
			flow_remaining_core_ms(&admit, flow, UINT64_MAX);
	}
	accepted.due_us = now_us + control_flow_objective_ms(flow) * 1000;
	admission_accept(flows->admission, &accepted, now_us);
	g_free(queue);
}
