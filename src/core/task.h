#ifndef TASK_H
#define TASK_H

/**
 * @file task.h
 * Tasks: each is in one state under one epoch, and on at most one VM.
 */

#include <glib.h>

#include "command.h"

struct job;
struct state;
struct state_outcome;
struct vm;

struct task {
	struct task_record record;
	struct job *job;
	struct vm *vm; /* NULL unless placed, running or stopping */
};

struct task *task_find(const struct state *state, uint64_t task_id);

/** Returns true if the task counts against a VM. */
bool task_is_on_vm(uint32_t task_state);
/** Returns true if the task has ended for good. */
bool task_has_ended(uint32_t task_state);

/** Adds a pending task to the job. */
void task_add(struct state *state, struct job *job);

struct state_outcome task_place(struct state *state, const void *body);
struct state_outcome task_set(struct state *state, const void *body);

/**
 * The task runs nowhere any more: it waits for a new place, or ends with its
 * job.
 */
void task_unplace(struct state *state, struct task *task);

/** The task's job ended: a task on a VM is stopped first. */
void task_cancel(struct state *state, struct task *task);

/** Removes the task from the state. */
void task_drop(struct state *state, struct task *task);

void task_restore(struct state *state, const struct task_record *record);

#endif /* TASK_H */
