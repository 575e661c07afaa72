#ifndef STATE_TASK_H
#define STATE_TASK_H

/**
 * @file state_task.h
 * Tasks of jobs. A task is on at most one VM. Each placement raises the task's
 * epoch, so that reports of earlier runs are recognized as stale.
 */

#include <glib.h>

#include "command.h"

struct state_job;
struct state;
struct state_outcome;
struct state_vm;

struct state_task {
	struct task_record record;
	struct state_job *job;
	struct state_vm *vm; /* NULL unless placed, running or stopping */
};

struct state_task *state_task_find(const struct state *state, uint64_t task_id);

/** Returns true if a task in this state counts against its VM's capacity. */
bool state_task_is_on_vm(uint32_t task_state);
/** Returns true if a task in this state never runs again. */
bool state_task_has_ended(uint32_t task_state);

/** Adds a pending task to the job. */
void state_task_add(struct state *state, struct state_job *job);

struct state_outcome state_task_place(struct state *state, const void *body);
struct state_outcome state_task_set(struct state *state, const void *body);

/**
 * Records that the task no longer runs. The task becomes pending, or ends if
 * its job has ended or needs no more replicas.
 */
void state_task_unplace(struct state *state, struct state_task *task);

/** Ends the task; one on a VM becomes TASK_STOPPING, as it must stop first. */
void state_task_cancel(struct state *state, struct state_task *task);

/** Removes the task from the state. */
void state_task_drop(struct state *state, struct state_task *task);

void state_task_restore(struct state *state, const struct task_record *record);

#endif /* STATE_TASK_H */
