#include "control_flow_impl.h"

#include <string.h>

/*
 * Tickets for queues whose steps only some workers may run. The adviser, an
 * outside service, says which workers may run a step and issues their tickets.
 * It is slow and handles one call at a time, so steps wait in waiting_steps.
 * Answers are cached as long as their tickets are valid.
 */

/** The adviser's answer about one worker and one step. */
struct advice_row {
	/* Start time of the worker's incarnation that the ticket is for. */
	uint64_t born_ms;
	uint64_t until_us; /* the answer is valid before this time */
	char ticket[NAME_BYTES]; /* "": the worker may not run the step */
};

struct flow_advice {
	GHashTable *rows; /* "STEP WORKER" -> struct advice_row * */
	GQueue waiting_steps; /* names of steps to ask about, char * */
	/* Name of the step that the present call is about, NULL: no call. */
	char *asked_step;
	GPtrArray *asked_workers; /* names, for the present call */
	GArray *asked_born_ms; /* uint64_t, of the same workers */
	uint32_t ticket_ms; /* lifetime of the tickets in the present call */
	uint64_t asked_us; /* start of the present call */
	uint64_t call_nr;
	uint64_t retry_us; /* no call is made before this time */
};

struct flow_advice *flow_advice_new(void)
{
	struct flow_advice *advice = g_new0(struct flow_advice, 1);

	advice->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	advice->asked_workers = g_ptr_array_new_with_free_func(g_free);
	advice->asked_born_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&advice->waiting_steps);
	return advice;
}

void flow_advice_free(struct flow_advice *advice)
{
	if (!advice)
		return;
	g_hash_table_unref(advice->rows);
	g_queue_clear_full(&advice->waiting_steps, g_free);
	g_ptr_array_unref(advice->asked_workers);
	g_array_unref(advice->asked_born_ms);
	g_free(advice->asked_step);
	g_free(advice);
}

static char *stage_name(const struct state_flow *flow, uint32_t stage)
{
	return g_strdup_printf("%s.%u.%u", flow->record.id,
			       stage / flow->record.nr_steps,
			       stage % flow->record.nr_steps);
}

static const struct advice_row *advice_find(const struct flow_advice *advice,
					    const char *step,
					    const char *worker)
{
	char *key = g_strconcat(step, " ", worker, NULL);
	const struct advice_row *row = g_hash_table_lookup(advice->rows, key);

	g_free(key);
	return row;
}

/*
 * Returns the valid answer about the VM's present worker, NULL if there is
 * none.
 */
static const struct advice_row *advice_for_vm(const struct control_flow *flows,
					      const char *step,
					      const struct flow_vm *vm)
{
	const struct advice_row *row =
		advice_find(flows->advice, step, vm->worker.id);

	return row && row->born_ms == vm->worker.born_ms &&
			       row->until_us > flows->control->node->now_us ?
		       row :
		       NULL;
}

const char *flow_advice_ticket(const struct control_flow *flows,
			       const struct state_flow *flow, uint32_t stage,
			       const struct flow_vm *vm)
{
	char *step = stage_name(flow, stage);
	const struct advice_row *row = advice_for_vm(flows, step, vm);

	g_free(step);
	return row && row->ticket[0] ? row->ticket : NULL;
}

/*
 * Fills asked_workers with the service's workers about which there is no valid
 * answer.
 */
static void advice_candidates(struct control_flow *flows, const char *step,
			      const char *service)
{
	struct flow_advice *advice = flows->advice;
	GHashTableIter iter;
	void *value;

	g_ptr_array_set_size(advice->asked_workers, 0);
	g_array_set_size(advice->asked_born_ms, 0);
	g_hash_table_iter_init(&iter, flows->vms);
	while (advice->asked_workers->len < ADVICE_MAX_WORKERS &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;

		if (!vm->reported || !vm->worker.id[0] || vm->worker.ended ||
		    vm->worker.draining ||
		    strcmp(vm->worker.service, service) != 0 ||
		    advice_for_vm(flows, step, vm))
			continue;
		g_ptr_array_add(advice->asked_workers, g_strdup(vm->worker.id));
		g_array_append_val(advice->asked_born_ms, vm->worker.born_ms);
	}
}

/* Returns the workflow of a step, NULL if it has ended. */
static const struct state_flow *advice_flow(const struct control_flow *flows,
					    const char *step)
{
	char id[NAME_BYTES];
	const struct state_flow *flow;

	text_set(id, MIN(strcspn(step, ".") + 1, sizeof(id)), step);
	flow = state_flow_find(flows->control->state, id);
	return flow && state_flow_is_active(flow) ? flow : NULL;
}

static void advice_call(struct control_flow *flows)
{
	struct flow_advice *advice = flows->advice;
	struct control *control = flows->control;

	while (!advice->asked_step &&
	       !g_queue_is_empty(&advice->waiting_steps)) {
		char *step = g_queue_pop_head(&advice->waiting_steps);
		const struct state_flow *flow = advice_flow(flows, step);

		if (flow)
			advice_candidates(flows, step, flow->record.service);
		if (!flow || !advice->asked_workers->len) {
			g_free(step);
			continue;
		}
		advice->asked_step = step;
		advice->ticket_ms = flow->record.ticket_ms;
		advice->asked_us = control->node->now_us;
		counter_add(control->node->counters, "advice_calls", 1);
		control->opts.host->advise(
			control->opts.host_ctx, ++advice->call_nr, step,
			(const char *const *)advice->asked_workers->pdata,
			advice->asked_workers->len);
	}
}

void flow_advice_request(struct control_flow *flows,
			 const struct state_flow *flow, uint32_t stage)
{
	struct flow_advice *advice = flows->advice;
	char *step = stage_name(flow, stage);

	if (flows->control->node->now_us < advice->retry_us ||
	    !g_strcmp0(advice->asked_step, step) ||
	    g_queue_find_custom(&advice->waiting_steps, step,
				(GCompareFunc)strcmp))
		g_free(step);
	else
		g_queue_push_tail(&advice->waiting_steps, step);
	if (flows->control->opts.host->advise)
		advice_call(flows);
}

static const struct flow_vm *
advice_vm_of_worker(const struct control_flow *flows, const char *worker)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, flows->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_vm *vm = value;

		if (!strcmp(vm->worker.id, worker))
			return vm;
	}
	return NULL;
}

static const char *advice_ticket_in(const struct advice *rows, uint32_t nr,
				    const char *worker)
{
	for (uint32_t i = 0; i < nr; i++)
		if (!strcmp(rows[i].worker, worker))
			return rows[i].ticket;
	return "";
}

static void advice_log(struct control_flow *flows, enum result result,
		       uint32_t nr_good)
{
	const struct flow_advice *advice = flows->advice;
	uint64_t took_us = flows->control->node->now_us - advice->asked_us;
	GString *line = logline_new("advice");

	logline_str(line, "step", advice->asked_step);
	logline_u64(line, "workers", advice->asked_workers->len);
	logline_u64(line, "good", nr_good);
	logline_u64(line, "took_ms", took_us / 1000);
	logline_str(line, "result", result_name(result));
	node_log(flows->control->node, line);
}

/*
 * Returns true if an answer is no longer valid. Such rows are removed, so that
 * the table stays bounded.
 */
static gboolean advice_is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct advice_row *row = value;
	const struct control_flow *flows = data;

	return row->until_us <= flows->control->node->now_us;
}

void control_flow_advised(struct control_flow *flows, uint64_t call_nr,
			  enum result result, const struct advice *rows,
			  uint32_t nr_rows)
{
	struct flow_advice *advice = flows->advice;
	/*
	 * A ticket's lifetime is counted from the start of the call, as the
	 * adviser may have issued the ticket at any time during the call.
	 */
	uint64_t until_us = advice->asked_us + advice->ticket_ms * 1000ull;

	if (!advice->asked_step || call_nr != advice->call_nr)
		return;
	advice_log(flows, result, nr_rows);
	g_hash_table_foreach_remove(advice->rows, advice_is_expired, flows);
	for (guint i = 0; i < advice->asked_workers->len && !result; i++) {
		const char *worker = advice->asked_workers->pdata[i];
		struct advice_row *row;

		if (!advice_vm_of_worker(flows, worker))
			continue;
		row = g_new0(struct advice_row, 1);
		/* A ticket is valid for the incarnation that was asked for. */
		row->born_ms =
			g_array_index(advice->asked_born_ms, uint64_t, i);
		row->until_us =
			until_us - MIN(until_us, ADVICE_MARGIN_MS * 1000ull);
		TEXT_SET(row->ticket, advice_ticket_in(rows, nr_rows, worker));
		g_hash_table_replace(advice->rows,
				     g_strconcat(advice->asked_step, " ",
						 worker, NULL),
				     row);
	}
	if (result)
		advice->retry_us = flows->control->node->now_us +
				   ADVICE_RETRY_MS * 1000ull;
	g_clear_pointer(&advice->asked_step, g_free);
	control_flow_place_soon(flows);
	advice_call(flows);
}

void flow_advice_forget(struct control_flow *flows,
			const struct flow_placement *placed)
{
	char *step;
	char *key;

	if (!placed->ticket[0])
		return;
	step = stage_name(placed->flow,
			  state_flow_occurrence(placed->flow, placed->task) *
					  placed->flow->record.nr_steps +
				  state_flow_step(placed->flow, placed->task));
	key = g_strconcat(step, " ", placed->vm->worker.id, NULL);
	g_hash_table_remove(flows->advice->rows, key);
	g_free(key);
	g_free(step);
}
