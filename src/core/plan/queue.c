#include "queue.h"

#include "place.h"
#include "plan_state.h"

struct queue {
	GHashTable *groups; /* key -> struct plan_group * */
	GPtrArray *active; /* struct plan_group with pending tasks */
};

static void group_free(void *data)
{
	struct plan_group *group = data;

	g_sequence_free(group->jobs);
	g_free(group->key);
	g_free(group);
}

struct queue *queue_new(void)
{
	struct queue *queue = g_new0(struct queue, 1);

	queue->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      group_free);
	queue->active = g_ptr_array_new();
	return queue;
}

void queue_free(struct queue *queue)
{
	if (!queue)
		return;
	g_ptr_array_free(queue->active, TRUE);
	g_hash_table_unref(queue->groups);
	g_free(queue);
}

struct plan_group *queue_group(struct plan *plan, const struct plan_job *job)
{
	const struct job_record *record = &job->record;
	struct plan_group *group;
	char *key = g_strdup_printf("%u/%u/%u/%u/%u/%s", job->kind->nr,
				    record->job_class, record->cpu_millis,
				    record->memory_mib, record->accelerators,
				    record->team);

	group = g_hash_table_lookup(plan->queue->groups, key);
	if (group) {
		g_free(key);
		group->nr_jobs++;
		return group;
	}
	group = g_new0(struct plan_group, 1);
	group->key = key;
	group->nr_jobs = 1;
	group->team = job->team;
	group->kind = job->kind;
	group->job_class = record->job_class;
	group->declared = (struct task_size){ record->cpu_millis,
					      record->memory_mib,
					      record->accelerators };
	group->jobs = g_sequence_new(NULL);
	g_hash_table_insert(plan->queue->groups, key, group);
	return group;
}

void queue_group_unref(struct plan *plan, struct plan_group *group)
{
	if (!group || --group->nr_jobs)
		return;
	g_assert(!group->slot);
	g_hash_table_remove(plan->queue->groups, group->key);
}

uint32_t queue_nr_groups(const struct plan *plan)
{
	return g_hash_table_size(plan->queue->groups);
}

static gint compare_jobs(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct plan *plan = data;
	const struct plan_job *left = a;
	const struct plan_job *right = b;
	uint64_t left_order = plan->place->order(left);
	uint64_t right_order = plan->place->order(right);

	if (left_order != right_order)
		return left_order < right_order ? -1 : 1;
	if (left->arrival_nr == right->arrival_nr)
		return 0;
	return left->arrival_nr < right->arrival_nr ? -1 : 1;
}

static void group_update(struct plan *plan, struct plan_group *group)
{
	GPtrArray *active = plan->queue->active;
	GSequenceIter *first = g_sequence_get_begin_iter(group->jobs);
	struct plan_group *last;

	if (!g_sequence_iter_is_end(first)) {
		group->head_order = plan->place->order(g_sequence_get(first));
		if (!group->slot) {
			g_ptr_array_add(active, group);
			group->slot = active->len;
			group->blocked = false;
			group->blocked_since_us = 0;
		}
	} else if (group->slot) {
		g_ptr_array_remove_index_fast(active, group->slot - 1);
		if (group->slot <= active->len) {
			last = g_ptr_array_index(active, group->slot - 1);
			last->slot = group->slot;
		}
		group->slot = 0;
	}
}

void queue_add_job(struct plan *plan, struct plan_job *job)
{
	if (job->position || !job->pending.length || !job->group ||
	    job->failing || job->record.state != JOB_ACTIVE)
		return;
	job->position = g_sequence_insert_sorted(job->group->jobs, job,
						 compare_jobs, plan);
	group_update(plan, job->group);
}

void queue_remove_job(struct plan *plan, struct plan_job *job)
{
	if (!job->position)
		return;
	g_sequence_remove(job->position);
	job->position = NULL;
	group_update(plan, job->group);
}

void queue_add_task(struct plan *plan, struct plan_task *task)
{
	if (task->pending)
		return;
	task->pending = true;
	g_queue_push_tail_link(&task->job->pending, &task->pending_link);
	queue_add_job(plan, task->job);
}

void queue_remove_task(struct plan *plan, struct plan_task *task)
{
	if (!task->pending)
		return;
	task->pending = false;
	g_queue_unlink(&task->job->pending, &task->pending_link);
	if (!task->job->pending.length)
		queue_remove_job(plan, task->job);
}

void queue_sort(struct plan *plan)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, plan->queue->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct plan_group *group = value;

		g_sequence_sort(group->jobs, compare_jobs, plan);
		group_update(plan, group);
	}
	queue_unblock_all(plan);
}

struct plan_task *queue_first(struct plan *plan)
{
	const GPtrArray *active = plan->queue->active;
	struct plan_group *best = NULL;
	const struct plan_job *job;

	for (uint32_t i = 0; i < active->len; i++) {
		struct plan_group *group = g_ptr_array_index(active, i);

		if (group->blocked && group->blocked_until_us > plan->now_us)
			continue;
		if (!best || group->head_order < best->head_order)
			best = group;
	}
	if (!best)
		return NULL;
	job = g_sequence_get(g_sequence_get_begin_iter(best->jobs));
	return job->pending.head->data;
}

void queue_block(struct plan *plan, struct plan_group *group,
		 const struct task_size *size, bool by_quota, uint64_t until_us)
{
	group->blocked = true;
	group->blocked_by_quota = by_quota;
	group->blocked_size = *size;
	group->blocked_until_us = until_us;
	if (!group->blocked_since_us)
		group->blocked_since_us = plan->now_us;
}

void queue_capacity_freed(struct plan *plan, const struct plan_vm *vm,
			  const struct team *team)
{
	const GPtrArray *active = plan->queue->active;

	for (uint32_t i = 0; i < active->len; i++) {
		struct plan_group *group = g_ptr_array_index(active, i);

		if (!group->blocked)
			continue;
		if (group->blocked_by_quota)
			group->blocked = group->team != team;
		else if (vm && vm->indexed)
			group->blocked =
				!plan_vm_fits(vm, &group->blocked_size);
	}
}

void queue_unblock_all(struct plan *plan)
{
	const GPtrArray *active = plan->queue->active;

	for (uint32_t i = 0; i < active->len; i++) {
		struct plan_group *group = g_ptr_array_index(active, i);

		group->blocked = false;
	}
}

uint64_t queue_next_us(const struct plan *plan)
{
	const GPtrArray *active = plan->queue->active;
	uint64_t next_us = UINT64_MAX;

	for (uint32_t i = 0; i < active->len; i++) {
		const struct plan_group *group = g_ptr_array_index(active, i);

		next_us = MIN(next_us, group->blocked ?
					       group->blocked_until_us :
					       plan->now_us);
	}
	return next_us;
}

bool queue_is_empty(const struct plan *plan)
{
	return !plan->queue->active->len;
}
