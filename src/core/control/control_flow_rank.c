#include "control_flow_impl.h"

#include <string.h>

/*
 * The order in which workflows are placed: by priority, then those of queues
 * within their shares first, then by the value of their result divided by the
 * work that remains, then by the end of their service level objective.
 */

/*
 * Returns the estimated length of the longest chain of steps that aren't done.
 */
static uint64_t flow_chain_ms(const struct state_flow *flow)
{
	const struct flow_record *record = &flow->record;
	uint64_t *chain_ms = g_new0(uint64_t, record->nr_steps);
	uint64_t longest_ms = 0;

	for (uint32_t i = 0; i < record->nr_steps; i++) {
		const struct flow_step *step = &record->steps[i];
		/*
		 * Occurrences run at the same time; the first occurrence
		 * stands for all.
		 */
		bool done = flow->stages[i].nr_done == step->count;

		for (uint32_t j = 0; j < step->nr_after; j++)
			chain_ms[i] =
				MAX(chain_ms[i], chain_ms[step->after[j]]);
		chain_ms[i] += step->lasting || done ? 0 : step->estimate_ms;
		longest_ms = MAX(longest_ms, chain_ms[i]);
	}
	g_free(chain_ms);
	return longest_ms;
}

/*
 * Returns the estimated work, in core-milliseconds, of all tasks or of those
 * that aren't done.
 */
static uint64_t flow_estimated_core_ms(const struct state_flow *flow,
				       bool remaining)
{
	uint64_t work_core_ms = 0;

	for (uint32_t i = 0; i < flow->nr_stages; i++) {
		const struct flow_step *step = state_flow_stage_step(flow, i);
		uint32_t nr =
			step->count - (remaining ? flow->stages[i].nr_done : 0);
		uint64_t each_core_ms =
			(uint64_t)step->cpu_millis * step->estimate_ms / 1000;

		work_core_ms += MIN(each_core_ms, FLOW_WORK_MAX_CORE_MS) * nr;
		if (work_core_ms >= FLOW_WORK_MAX_CORE_MS)
			return FLOW_WORK_MAX_CORE_MS;
	}
	return work_core_ms;
}

/*
 * Adds a workflow to the mean of its queue. The sums are halved after every
 * FLOW_WORK_SAMPLES workflows, so that older workflows count less.
 */
static struct flow_work_mean *
flow_work_mean_add(struct control_flow *flows, const struct flow_record *record,
		   uint64_t work_core_ms)
{
	char *queue = g_strconcat(record->host, " ", record->prefix, NULL);
	struct flow_work_mean *mean =
		g_hash_table_lookup(flows->work_means, queue);

	if (!mean) {
		mean = g_new0(struct flow_work_mean, 1);
		g_hash_table_insert(flows->work_means, g_strdup(queue), mean);
	}
	g_free(queue);
	mean->sum_core_ms += work_core_ms;
	if (++mean->nr >= FLOW_WORK_SAMPLES * 2) {
		mean->nr /= 2;
		mean->sum_core_ms /= 2;
	}
	return mean;
}

/*
 * Returns the value of the workflow's result divided by its remaining work. In
 * an overload, earliest deadline first would make all workflows late, while the
 * highest value for the remaining work first yields the most value in total. So
 * workflows near their end go first, then small ones, and late ones only if
 * little work is left.
 */
static uint64_t flow_value_density(const struct flow_rank *rank)
{
	static const uint64_t value_permille[] = {
		[FLOW_ON_TIME] = 1000,
		[FLOW_LATE] = FLOW_VALUE_LATE_PERMILLE,
		[FLOW_ABANDONED] = FLOW_VALUE_MIN_PERMILLE,
	};
	uint64_t mean_core_ms = rank->mean->sum_core_ms / rank->mean->nr;
	uint64_t value =
		mean_core_ms * FLOW_VALUE_FIXED_PERMILLE / 1000 +
		rank->work_core_ms * (1000 - FLOW_VALUE_FIXED_PERMILLE) / 1000;

	return value * value_permille[rank->forecast] /
	       (flow_estimated_core_ms(rank->flow, true) + 1);
}

/* Updates the forecast and the value density. */
static void flow_rank_update(struct flow_rank *rank, uint64_t now_us)
{
	uint64_t end_us = now_us + flow_chain_ms(rank->flow) * 1000;

	/* Long-running tasks are never late and never done. */
	if (rank->flow->record.steps[0].lasting) {
		rank->forecast = FLOW_ON_TIME;
		rank->value_density = UINT64_MAX;
		return;
	}
	rank->forecast = end_us <= rank->due_us	      ? FLOW_ON_TIME :
			 end_us <= rank->abandoned_us ? FLOW_LATE :
							FLOW_ABANDONED;
	rank->value_density = flow_value_density(rank);
}

static gint flow_rank_compare(gconstpointer a, gconstpointer b)
{
	const struct flow_rank *x = a;
	const struct flow_rank *y = b;
	uint32_t priority_x = x->flow->record.priority;
	uint32_t priority_y = y->flow->record.priority;

	if (priority_x != priority_y)
		return priority_x < priority_y ? -1 : 1;
	if (x->deferred != y->deferred)
		return x->deferred ? 1 : -1;
	if (x->value_density != y->value_density)
		return x->value_density > y->value_density ? -1 : 1;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	return strcmp(x->flow->record.id, y->flow->record.id);
}

uint64_t control_flow_objective_ms(const struct state_flow *flow)
{
	return flow->record.slo_ms +
	       flow_chain_ms(flow) * flow->record.slack_permille / 1000;
}

/* Sets when the objective ends, from the time of the submission. */
static void flow_rank_set_due(struct control_flow *flows,
			      struct flow_rank *rank)
{
	const struct flow_record *record = &rank->flow->record;
	struct control *control = flows->control;
	uint64_t start_ms = MAX(record->submitted_ms, record->first_ms);
	uint64_t now_ms = control_wall_ms(control);
	uint64_t objective_us = control_flow_objective_ms(rank->flow) * 1000;

	/*
	 * From here on only monotonic time is used, as the time of day may
	 * jump.
	 */
	rank->due_us = control->node->now_us + objective_us;
	if (start_ms > now_ms)
		rank->due_us += (start_ms - now_ms) * 1000;
	else
		rank->due_us -= MIN((now_ms - start_ms) * 1000, rank->due_us);
	rank->abandoned_us =
		rank->due_us + objective_us * (FLOW_ZERO_VALUE_FACTOR - 1);
	if (!objective_us)
		rank->abandoned_us = UINT64_MAX;
}

/* Returns the workflow's index in the ranks, their number if it has none. */
static guint flow_rank_index(const struct control_flow *flows,
			     const struct state_flow *flow)
{
	guint i = 0;

	while (i < flows->ranks->len &&
	       g_array_index(flows->ranks, struct flow_rank, i).flow != flow)
		i++;
	return i;
}

void control_flow_rank_change(struct control_flow *flows,
			      const struct state_flow *flow)
{
	guint i = flow_rank_index(flows, flow);
	struct flow_rank *rank;

	if (i == flows->ranks->len)
		return;
	rank = &g_array_index(flows->ranks, struct flow_rank, i);
	flow_rank_set_due(flows, rank);
	control_flow_share_regroup(flows, rank->share, flow);
	/* Other VMs may take its tasks now. */
	rank->evaluated_change_nr = 0;
}

void control_flow_rank_add(struct control_flow *flows, struct state_flow *flow)
{
	const struct flow_record *record = &flow->record;
	struct flow_rank rank = { .flow = flow };

	flow_rank_set_due(flows, &rank);
	rank.work_core_ms = flow_estimated_core_ms(flow, false);
	rank.mean = flow_work_mean_add(flows, record, rank.work_core_ms);
	rank.share = control_flow_share_join(flows, flow);
	g_array_append_val(flows->ranks, rank);
}

void control_flow_rank_remove(struct control_flow *flows,
			      const struct state_flow *flow)
{
	guint i = flow_rank_index(flows, flow);

	if (i == flows->ranks->len)
		return;
	control_flow_share_leave(
		g_array_index(flows->ranks, struct flow_rank, i).share);
	g_array_remove_index(flows->ranks, i);
}

void control_flow_sort(struct control_flow *flows)
{
	uint64_t now_us = flows->control->node->now_us;

	for (guint i = 0; i < flows->ranks->len; i++)
		flow_rank_update(&g_array_index(flows->ranks, struct flow_rank,
						i),
				 now_us);
	control_flow_share_rank(flows);
	g_array_sort(flows->ranks, flow_rank_compare);
}

guint control_flow_ranks_before(struct control_flow *flows,
				struct state_flow *flow)
{
	const struct flow_record *record = &flow->record;
	char *queue = g_strconcat(record->host, " ", record->prefix, NULL);
	struct flow_work_mean own = { .nr = 1 };
	struct flow_rank rank = { .flow = flow };
	guint nr = 0;

	flow_rank_set_due(flows, &rank);
	rank.work_core_ms = flow_estimated_core_ms(flow, false);
	own.sum_core_ms = rank.work_core_ms;
	rank.mean = g_hash_table_lookup(flows->work_means, queue);
	if (!rank.mean)
		rank.mean = &own;
	g_free(queue);
	flow_rank_update(&rank, flows->control->node->now_us);
	control_flow_sort(flows);
	while (nr < flows->ranks->len &&
	       flow_rank_compare(&g_array_index(flows->ranks, struct flow_rank,
						nr),
				 &rank) < 0)
		nr++;
	return nr;
}
