#ifndef QUEUE_H
#define QUEUE_H

/**
 * @file queue.h
 * The queue of pending tasks. Jobs of one team, kind, class and declared size
 * form a group whose tasks need the same size: if the first task doesn't fit,
 * no other does. A group that doesn't fit is therefore blocked as a whole until
 * there may be capacity for it, while tasks of other groups are placed. A job's
 * rank is its place in the order of the placement policy; lower ranks are
 * first.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "plan_vm.h"

struct plan;
struct plan_job;
struct plan_task;
struct queue;
struct team;

struct plan_group {
	char *key; /* key of the group in the table of groups */
	uint32_t nr_jobs; /* jobs that belong to the group */
	struct team *team;
	struct plan_kind *kind;
	uint32_t job_class; /* enum job_class */
	struct task_size declared; /* size of each task */
	GSequence *jobs; /* struct plan_job with pending tasks, by rank */
	uint64_t head_order; /* rank of the first job */
	uint32_t slot; /* index in the list of active groups, + 1; or 0 */
	bool blocked; /* skipped until blocked_until_us */
	bool blocked_by_quota; /* by the team's quota, else by VM capacity */
	struct task_size blocked_size; /* size that didn't fit */
	uint64_t blocked_until_us; /* when to try it again at the latest */
	uint64_t started_us; /* when one of its tasks was last placed */
	/* When first blocked after the last placement; 0: not blocked since. */
	uint64_t blocked_since_us;
};

struct queue *queue_new(void);
void queue_free(struct queue *queue);

/** Returns a new reference to the job's group, which is created if needed. */
struct plan_group *queue_group(struct plan *plan, const struct plan_job *job);
/** Drops a reference and frees an unused group. @a group may be NULL. */
void queue_group_unref(struct plan *plan, struct plan_group *group);
/** Returns the number of groups; for tests. */
uint32_t queue_nr_groups(const struct plan *plan);

void queue_add_task(struct plan *plan, struct plan_task *task);
void queue_remove_task(struct plan *plan, struct plan_task *task);
/** Add the job's pending tasks to the queue, or remove them from the queue. */
void queue_add_job(struct plan *plan, struct plan_job *job);
void queue_remove_job(struct plan *plan, struct plan_job *job);
/** Sorts the jobs of all groups by the ranks of a new placement policy. */
void queue_sort(struct plan *plan);

/** Returns the first task of the groups that aren't blocked; NULL: none. */
struct plan_task *queue_first(struct plan *plan);
/**
 * Blocks the group until @a size may fit into the team's quota (@a by_quota) or
 * on a VM, but no longer than @a until_us.
 */
void queue_block(struct plan *plan, struct plan_group *group,
		 const struct task_size *size, bool by_quota,
		 uint64_t until_us);

/**
 * Unblocks groups after capacity became free on @a vm or in the quota of
 * @a team. Both may be NULL.
 */
void queue_capacity_freed(struct plan *plan, const struct plan_vm *vm,
			  const struct team *team);
/** Unblocks all groups. */
void queue_unblock_all(struct plan *plan);

/** Returns when a group is to be tried next; UINT64_MAX if there is none. */
uint64_t queue_next_us(const struct plan *plan);
bool queue_is_empty(const struct plan *plan);

#endif /* QUEUE_H */
