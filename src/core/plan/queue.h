#ifndef QUEUE_H
#define QUEUE_H

/**
 * @file queue.h
 * Order of work. Jobs of one team, kind, class and declared size form a group,
 * whose tasks need the same size: if the first doesn't fit, none does. So a
 * group that doesn't fit is set aside as a whole until room for it appears, and
 * the work behind it goes on.
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
	char *key;
	uint32_t nr_jobs; /* that hold a reference */
	struct team *team;
	struct plan_kind *kind;
	uint32_t job_class; /* enum job_class */
	struct task_size declared;
	GSequence *jobs; /* with pending tasks, by order of work */
	uint64_t head_order; /* of the first job */
	uint32_t slot; /* in the list of active groups, + 1; 0: inactive */
	bool blocked;
	bool blocked_by_quota;
	struct task_size blocked_size; /* what it waits for */
	uint64_t blocked_until_us; /* tried again at the latest */
	uint64_t started_us; /* last start of one of its tasks */
	uint64_t blocked_since_us; /* first failure in a row, 0: none */
};

struct queue *queue_new(void);
void queue_free(struct queue *queue);

/** Returns a new reference to the group of a job, made when needed. */
struct plan_group *queue_group(struct plan *plan, const struct plan_job *job);
/** Drops a reference; the group of no job is freed. NULL is allowed. */
void queue_group_unref(struct plan *plan, struct plan_group *group);
/** Returns how many groups there are, for tests. */
uint32_t queue_nr_groups(const struct plan *plan);

void queue_add_task(struct plan *plan, struct plan_task *task);
void queue_remove_task(struct plan *plan, struct plan_task *task);
/** Puts all pending tasks of the job in the queue, or takes them off it. */
void queue_add_job(struct plan *plan, struct plan_job *job);
void queue_remove_job(struct plan *plan, struct plan_job *job);
/** Sorts everything again after a change of the policy. */
void queue_sort(struct plan *plan);

/** Returns the first task that isn't set aside, NULL: none. */
struct plan_task *queue_first(struct plan *plan);
/** Sets the group aside until @a size may fit, at the latest @a until_us. */
void queue_block(struct plan *plan, struct plan_group *group,
		 const struct task_size *size, bool by_quota,
		 uint64_t until_us);

/** Room appeared on @a vm and in @a team's quota (both may be NULL). */
void queue_capacity_freed(struct plan *plan, const struct plan_vm *vm,
			  const struct team *team);
/** Much may have changed: nothing is set aside any more. */
void queue_unblock_all(struct plan *plan);

/** Returns the earliest time at which a group is tried again. */
uint64_t queue_next_us(const struct plan *plan);
bool queue_is_empty(const struct plan *plan);

#endif /* QUEUE_H */
