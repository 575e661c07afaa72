#include "state_flow.h"

#include <string.h>

#include "schema.h"
#include "schema_tables.h"
#include "state.h"
#include "state_flow_queue.h"

struct state_flow *state_flow_find(const struct state *state, const char *id)
{
	return g_tree_lookup(state->flows, id);
}

void state_flow_free(void *data)
{
	struct state_flow *flow = data;

	if (!flow)
		return;
	schema_clear(&flow_record_schema, &flow->record);
	g_free(flow->first_task);
	g_free(flow->stages);
	g_free(flow);
}

bool state_flow_is_active(const struct state_flow *flow)
{
	return flow->record.state == FLOW_QUEUED ||
	       flow->record.state == FLOW_RUNNING;
}

uint32_t state_flow_occurrence(const struct state_flow *flow, uint32_t task)
{
	return task / flow->tasks_per_occurrence;
}

uint32_t state_flow_step(const struct state_flow *flow, uint32_t task)
{
	uint32_t within = task % flow->tasks_per_occurrence;
	uint32_t step = flow->record.nr_steps - 1;

	while (flow->first_task[step] > within)
		step--;
	return step;
}

uint32_t state_flow_first_task(const struct state_flow *flow, uint32_t stage)
{
	return stage / flow->record.nr_steps * flow->tasks_per_occurrence +
	       flow->first_task[stage % flow->record.nr_steps];
}

const struct flow_step *state_flow_stage_step(const struct state_flow *flow,
					      uint32_t stage)
{
	return &flow->record.steps[stage % flow->record.nr_steps];
}

uint32_t state_flow_stage_of(const struct state_flow *flow, uint32_t task)
{
	return state_flow_occurrence(flow, task) * flow->record.nr_steps +
	       state_flow_step(flow, task);
}

bool state_flow_stage_ready(const struct state_flow *flow, uint32_t stage)
{
	const struct flow_step *step = state_flow_stage_step(flow, stage);
	uint32_t occurrence = stage / flow->record.nr_steps;

	for (uint32_t i = 0; i < step->nr_after; i++) {
		uint32_t before = (uint32_t)step->after[i];

		if (flow->stages[occurrence * flow->record.nr_steps + before]
			    .nr_done < flow->record.steps[before].count)
			return false;
	}
	return true;
}

void state_flow_task_name(const struct state_flow *flow, uint32_t task,
			  char *name)
{
	uint32_t step = state_flow_step(flow, task);

	g_snprintf(name, NAME_BYTES, "%s.%u.%u.%u", flow->record.id,
		   state_flow_occurrence(flow, task), step,
		   task % flow->tasks_per_occurrence - flow->first_task[step]);
}

/* Parses a number that ends at '.' or at the end; moves @a text behind it. */
static bool parse_index(const char **text, uint32_t *number)
{
	char *end = NULL;
	guint64 value;

	if (!g_ascii_isdigit(**text))
		return false;
	value = g_ascii_strtoull(*text, &end, 10);
	if (value > UINT32_MAX || (*end && *end != '.'))
		return false;
	*number = (uint32_t)value;
	*text = *end ? end + 1 : end;
	return true;
}

/* Parses "FLOW.OCCURRENCE.STEP.INDEX"; returns false for other names. */
static bool parse_task_name(const struct state *state, const char *name,
			    struct state_flow **flow, uint32_t *stage,
			    uint32_t *index)
{
	const char *dot = strchr(name, '.');
	char id[NAME_BYTES];
	uint32_t occurrence;
	uint32_t step;

	if (!dot || dot - name >= NAME_BYTES)
		return false;
	text_set(id, (size_t)(dot - name) + 1, name);
	*flow = state_flow_find(state, id);
	dot++;
	if (!*flow || !parse_index(&dot, &occurrence) ||
	    !parse_index(&dot, &step) || !parse_index(&dot, index) ||
	    step >= (*flow)->record.nr_steps ||
	    occurrence >= (*flow)->nr_stages / (*flow)->record.nr_steps ||
	    *index >= (*flow)->record.steps[step].count)
		return false;
	*stage = occurrence * (*flow)->record.nr_steps + step;
	return true;
}

bool state_flow_stage_find(const struct state *state, const char *name,
			   struct state_flow **flow, uint32_t *stage)
{
	uint32_t index;

	return parse_task_name(state, name, flow, stage, &index);
}

bool state_flow_task_find(const struct state *state, const char *name,
			  struct state_flow **flow, uint32_t *task)
{
	uint32_t stage;
	uint32_t index;

	if (!parse_task_name(state, name, flow, &stage, &index) ||
	    !(*flow)->record.nr_tasks)
		return false;
	*task = state_flow_first_task(*flow, stage) + index;
	return true;
}

static enum result check_step(const struct flow_record *record, uint32_t i,
			      const char **message)
{
	const struct flow_step *step = &record->steps[i];

	if (!step->count || step->count > FLOW_MAX_TASKS) {
		*message = "a step needs 1 to FLOW_MAX_TASKS tasks";
		return RESULT_OUT_OF_RANGE;
	}
	for (uint32_t j = 0; j < step->nr_after; j++) {
		if (step->after[j] >= i) {
			*message = "a step depends on itself or a later one";
			return RESULT_MALFORMED;
		}
	}
	return RESULT_OK;
}

enum result state_flow_check(const struct flow_record *record,
			     const char **message)
{
	uint64_t nr_tasks = 0;
	enum result result = RESULT_OK;

	*message = NULL;
	if (!record->id[0] || strchr(record->id, '.')) {
		*message = "the workflow's id is empty or has a dot";
		return RESULT_MALFORMED;
	}
	if (!record->nr_steps || record->nr_steps > FLOW_MAX_STEPS) {
		*message = "a workflow needs 1 to FLOW_MAX_STEPS steps";
		return RESULT_OUT_OF_RANGE;
	}
	for (uint32_t i = 0; i < record->nr_steps && !result; i++) {
		result = check_step(record, i, message);
		nr_tasks += record->steps[i].count;
	}
	if (!result && nr_tasks * MAX(record->repeats, 1) > FLOW_MAX_TASKS) {
		*message = "a workflow has too many tasks";
		result = RESULT_OUT_OF_RANGE;
	}
	return result;
}

/* Creates a workflow and computes its other members from the record. */
static struct state_flow *state_flow_new(const struct flow_record *record)
{
	struct state_flow *flow = g_new0(struct state_flow, 1);
	uint32_t occurrences = MAX(record->repeats, 1);

	schema_copy(&flow_record_schema, &flow->record, record);
	flow->first_task = g_new0(uint32_t, MAX(record->nr_steps, 1));
	for (uint32_t i = 0; i < record->nr_steps; i++) {
		flow->first_task[i] = flow->tasks_per_occurrence;
		flow->tasks_per_occurrence += record->steps[i].count;
	}
	flow->nr_stages = occurrences * record->nr_steps;
	flow->stages = g_new0(struct state_flow_stage, MAX(flow->nr_stages, 1));
	if (state_flow_is_active(flow) && !flow->record.nr_tasks) {
		flow->record.nr_tasks =
			occurrences * flow->tasks_per_occurrence;
		flow->record.tasks =
			g_new0(struct flow_task, flow->record.nr_tasks);
	}
	for (uint32_t i = 0; i < flow->record.nr_tasks; i++) {
		const struct flow_task *task = &flow->record.tasks[i];
		struct state_flow_stage *stage =
			&flow->stages[state_flow_stage_of(flow, i)];

		stage->nr_placed += task->state == FLOW_TASK_PLACED;
		stage->nr_done += task->state == FLOW_TASK_DONE;
		stage->nr_failures += task->nr_failures;
		stage->last_run = MAX(stage->last_run, task->run);
		stage->failed_run = MAX(stage->failed_run, task->failed_run);
		flow->nr_placed += task->state == FLOW_TASK_PLACED;
		flow->nr_done += task->state == FLOW_TASK_DONE;
		flow->has_started = flow->has_started || task->run;
	}
	return flow;
}

static struct state_flow *state_flow_insert(struct state *state,
					    const struct flow_record *record)
{
	struct state_flow *flow = state_flow_new(record);

	g_tree_replace(state->flows, flow->record.id, flow);
	return flow;
}

/*
 * Frees the specification and the tasks of a workflow that has ended and has no
 * placed task.
 */
static void state_flow_trim(struct state_flow *flow)
{
	if (state_flow_is_active(flow) || flow->nr_placed)
		return;
	g_clear_pointer(&flow->record.spec, g_bytes_unref);
	g_clear_pointer(&flow->record.tasks, g_free);
	flow->record.nr_tasks = 0;
}

static void state_flow_end(struct state *state, struct state_flow *flow,
			   enum flow_state end, uint64_t now_ms)
{
	flow->record.state = end;
	flow->record.finished_ms = MAX(now_ms, 1);
	state_flow_changed(state, flow);
}

struct state_outcome state_flow_submit(struct state *state, const void *body)
{
	const struct flow_record *record = body;
	struct state_outcome outcome = { 0 };
	const struct bundle_queue *queue;
	struct state_flow *flow;

	if (state_flow_find(state, record->id))
		return outcome;
	outcome.result = state_flow_check(record, &outcome.message);
	if (outcome.result)
		return outcome;
	flow = state_flow_insert(state, record);
	/* The bundle may have changed since the submission was proposed. */
	queue = state_flow_queue(state, record);
	if (queue)
		state_flow_set_queue(&flow->record, queue);
	state_flow_changed(state, flow);
	return outcome;
}

struct state_outcome state_flow_cancel(struct state *state, const void *body)
{
	const struct cmd_flow_cancel *cancel = body;
	struct state_flow *flow = state_flow_find(state, cancel->id);
	struct state_outcome outcome = { 0 };
	struct flow_record record = { 0 };

	if (!flow) {
		/*
		 * A submission that arrives later finds this record and has no
		 * effect.
		 */
		TEXT_SET(record.id, cancel->id);
		TEXT_SET(record.host, cancel->host);
		TEXT_SET(record.prefix, cancel->prefix);
		record.state = FLOW_CANCELLED;
		record.submitted_ms = cancel->now_ms;
		record.finished_ms = MAX(cancel->now_ms, 1);
		state_flow_insert(state, &record);
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	if (!state_flow_is_active(flow))
		return outcome;
	state_flow_end(state, flow, FLOW_CANCELLED, cancel->now_ms);
	state_flow_trim(flow);
	return outcome;
}

static void change_place(struct state *state, struct state_flow *flow,
			 const struct flow_change *change)
{
	uint32_t nr = state_flow_stage_of(flow, change->task);
	struct state_flow_stage *stage = &flow->stages[nr];
	struct flow_task *task = &flow->record.tasks[change->task];

	if (!state_flow_is_active(flow) || task->state != FLOW_TASK_WAITING ||
	    change->run <= task->run || !state_flow_stage_ready(flow, nr))
		return;
	task->state = FLOW_TASK_PLACED;
	task->run = change->run;
	TEXT_SET(task->vm, change->vm);
	TEXT_SET(task->worker, change->worker);
	task->born_ms = change->born_ms;
	stage->nr_placed++;
	stage->last_run = MAX(stage->last_run, change->run);
	flow->nr_placed++;
	flow->has_started = true;
	if (flow->record.state == FLOW_QUEUED)
		flow->record.state = FLOW_RUNNING;
	state_flow_task_changed(state, flow, change->task, FLOW_END_NONE);
}

static void task_done(struct state *state, struct state_flow *flow, uint32_t nr,
		      uint64_t now_ms)
{
	flow->record.tasks[nr].state = FLOW_TASK_DONE;
	flow->stages[state_flow_stage_of(flow, nr)].nr_done++;
	flow->nr_done++;
	if (state_flow_is_active(flow) &&
	    flow->nr_done == flow->record.nr_tasks)
		state_flow_end(state, flow, FLOW_COMPLETED, now_ms);
}

/*
 * Completes a gang of which one task is done: its waiting tasks become done
 * here, its placed tasks when their runs end.
 */
static void gang_done(struct state *state, struct state_flow *flow,
		      uint32_t stage, uint64_t now_ms)
{
	uint32_t first = state_flow_first_task(flow, stage);
	uint32_t count = state_flow_stage_step(flow, stage)->count;

	for (uint32_t i = first; i < first + count; i++)
		if (flow->record.tasks[i].state == FLOW_TASK_WAITING)
			task_done(state, flow, i, now_ms);
}

static bool task_has_failed(const struct state_flow *flow, uint32_t nr)
{
	uint32_t stage = state_flow_stage_of(flow, nr);
	const struct flow_step *step = state_flow_stage_step(flow, stage);

	if (step->lasting)
		return false;
	return (step->gang ? flow->stages[stage].nr_failures :
			     flow->record.tasks[nr].nr_failures) >=
	       flow->record.attempts;
}

void state_flow_check_attempts(struct state *state, struct state_flow *flow)
{
	for (uint32_t i = 0; i < flow->record.nr_tasks; i++) {
		if (flow->record.tasks[i].state == FLOW_TASK_DONE ||
		    !task_has_failed(flow, i))
			continue;
		state_flow_end(state, flow, FLOW_FAILED,
			       state->counters.clock_ms);
		state_flow_trim(flow);
		return;
	}
}

bool state_flow_accepts_late_done(const struct state_flow *flow, uint32_t task,
				  uint32_t run, const char *vm)
{
	const struct flow_task *record = &flow->record.tasks[task];
	const struct flow_step *step =
		&flow->record.steps[state_flow_step(flow, task)];

	return state_flow_is_active(flow) &&
	       record->state == FLOW_TASK_WAITING && record->run == run &&
	       !strcmp(record->vm, vm) && !step->lasting && !step->gang;
}

/*
 * Handles FLOW_END_DONE of a run for which another end was recorded before, for
 * example that the run was lost.
 */
static void change_done_late(struct state *state, struct state_flow *flow,
			     const struct flow_change *change, uint64_t now_ms)
{
	if (change->end != FLOW_END_DONE ||
	    !state_flow_accepts_late_done(flow, change->task, change->run,
					  change->vm))
		return;
	task_done(state, flow, change->task, now_ms);
	state_flow_task_changed(state, flow, change->task, change->end);
	state_flow_trim(flow);
}

/*
 * Counts a run of the task that has failed. The leader decides which end of a
 * gang's run counts (control_flow_attempt.c): replicas of earlier builds count
 * each FLOW_END_FAILED, too, and have to come to the same number.
 */
static void count_failure(struct state_flow *flow, uint32_t nr,
			  enum flow_end end)
{
	uint32_t stage_nr = state_flow_stage_of(flow, nr);
	struct state_flow_stage *stage = &flow->stages[stage_nr];
	struct flow_task *task = &flow->record.tasks[nr];

	if (end == FLOW_END_FAILED) {
		task->nr_failures++;
		stage->nr_failures++;
	}
	if (state_flow_stage_step(flow, stage_nr)->gang) {
		task->failed_run = task->run;
		stage->failed_run = MAX(stage->failed_run, task->run);
	}
}

static void change_end(struct state *state, struct state_flow *flow,
		       const struct flow_change *change, uint64_t now_ms)
{
	uint32_t nr = state_flow_stage_of(flow, change->task);
	struct state_flow_stage *stage = &flow->stages[nr];
	struct flow_task *task = &flow->record.tasks[change->task];
	const struct flow_step *step = state_flow_stage_step(flow, nr);
	bool done = change->end == FLOW_END_DONE && !step->lasting;

	if (task->state != FLOW_TASK_PLACED || change->run != task->run) {
		change_done_late(state, flow, change, now_ms);
		return;
	}
	task->state = FLOW_TASK_WAITING;
	if (change->checkpoint[0])
		TEXT_SET(task->checkpoint, change->checkpoint);
	stage->nr_placed--;
	flow->nr_placed--;
	if (flow_end_is_failure(change->end))
		count_failure(flow, change->task, change->end);
	/* One task that is done completes its whole gang. */
	if (done || (step->gang && stage->nr_done))
		task_done(state, flow, change->task, now_ms);
	if (done && step->gang)
		gang_done(state, flow, nr, now_ms);
	state_flow_task_changed(state, flow, change->task, change->end);
	if (state_flow_is_active(flow) && change->end == FLOW_END_FAILED &&
	    task_has_failed(flow, change->task))
		state_flow_end(state, flow, FLOW_FAILED, now_ms);
	state_flow_trim(flow);
}

static void change_save(struct state_flow *flow,
			const struct flow_change *change)
{
	struct flow_task *task = &flow->record.tasks[change->task];

	if (task->state == FLOW_TASK_PLACED && change->run == task->run)
		TEXT_SET(task->checkpoint, change->checkpoint);
}

struct state_outcome state_flow_change(struct state *state, const void *body)
{
	const struct cmd_flow_change *cmd = body;
	struct state_outcome outcome = { 0 };

	for (uint32_t i = 0; i < cmd->nr_changes; i++) {
		const struct flow_change *change = &cmd->changes[i];
		struct state_flow *flow = state_flow_find(state, change->id);

		if (!flow || change->task >= flow->record.nr_tasks)
			continue;
		if (change->kind == FLOW_CHANGE_PLACE)
			change_place(state, flow, change);
		else if (change->kind == FLOW_CHANGE_END)
			change_end(state, flow, change, cmd->now_ms);
		else if (change->kind == FLOW_CHANGE_SAVE)
			change_save(flow, change);
	}
	return outcome;
}

static bool flow_has_expired(const struct state_flow *flow, uint64_t before_ms)
{
	return flow->record.finished_ms &&
	       flow->record.finished_ms < before_ms && !flow->nr_placed;
}

static GPtrArray *expired_ids(const struct state *state, uint64_t before_ms)
{
	GPtrArray *ids = g_ptr_array_new();

	for (GTreeNode *node = g_tree_node_first(state->flows); node;
	     node = g_tree_node_next(node))
		if (flow_has_expired(g_tree_node_value(node), before_ms))
			g_ptr_array_add(ids, g_tree_node_key(node));
	return ids;
}

struct state_outcome state_flow_expire(struct state *state, const void *body)
{
	const struct cmd_flow_expire *expire = body;
	GPtrArray *ids = expired_ids(state, expire->before_ms);
	struct state_outcome outcome = { 0 };

	for (guint i = 0; i < ids->len; i++)
		g_tree_remove(state->flows, ids->pdata[i]);
	g_ptr_array_unref(ids);
	return outcome;
}

bool state_flow_has_expired(const struct state *state, uint64_t before_ms)
{
	GPtrArray *ids = expired_ids(state, before_ms);
	bool any = ids->len > 0;

	g_ptr_array_unref(ids);
	return any;
}

void state_flow_restore(struct state *state, const struct flow_record *record)
{
	state_flow_insert(state, record);
}

void state_pressure_restore(struct state *state,
			    const struct pressure_pair *pair)
{
	char *key = g_strconcat(pair->serving, "\n", pair->filler, NULL);

	if (g_tree_lookup(state->pressures, key) ||
	    g_tree_nnodes(state->pressures) < FLOW_MAX_PRESSURE_PAIRS)
		g_tree_replace(state->pressures, key,
			       g_memdup2(pair, sizeof(*pair)));
	else
		g_free(key);
}

struct state_outcome state_pressure_set(struct state *state, const void *body)
{
	const struct cmd_pressure *cmd = body;
	struct state_outcome outcome = { 0 };

	for (uint32_t i = 0; i < cmd->nr_pairs; i++)
		state_pressure_restore(state, &cmd->pairs[i]);
	return outcome;
}

void state_flow_verify(const struct state_flow *flow)
{
	struct state_flow *fresh = state_flow_new(&flow->record);

	g_assert(fresh->nr_placed == flow->nr_placed);
	for (uint32_t i = 0; i < flow->nr_stages && flow->record.nr_tasks;
	     i++) {
		g_assert(fresh->stages[i].nr_placed ==
			 flow->stages[i].nr_placed);
		g_assert(fresh->stages[i].nr_done == flow->stages[i].nr_done);
		g_assert(fresh->stages[i].nr_failures ==
			 flow->stages[i].nr_failures);
		g_assert(fresh->stages[i].failed_run ==
			 flow->stages[i].failed_run);
	}
	state_flow_free(fresh);
}
