#ifndef STATE_TASK_H
#define STATE_TASK_H

/**
 * @file state_task.h
 * Tasks: each is in one state under one epoch, and on at most one VM.
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

/** Returns true if the task counts against a VM. */
bool state_task_is_on_vm(uint32_t task_state);
/** Returns true if the task has ended for good. */
bool state_task_has_ended(uint32_t task_state);

/** Adds a pending task to the job. */
void state_task_add(struct state *state, struct state_job *job);

struct state_outcome state_task_place(struct state *state, const void *body);
struct state_outcome state_task_set(struct state *state, const void *body);

/**
 * The task runs nowhere any more: it waits for a new place, or ends with its
 * job.
 */
void state_task_unplace(struct state *state, struct state_task *task);

/** The task's job ended: a task on a VM is stopped first. */
void state_task_cancel(struct state *state, struct state_task *task);

/** Removes the task from the state. */
void state_task_drop(struct state *state, struct state_task *task);

void state_task_restore(struct state *state, const struct task_record *record);

#endif /* STATE_TASK_H */
