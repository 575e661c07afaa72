#ifndef PLACE_H
#define PLACE_H

/**
 * @file place.h
 * Placement policies: the order of jobs, the size (capacity of each resource)
 * to commit for a task and the choice of its VM.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan_state.h"

struct place_ops {
	const char *name;
	/** Returns the job's rank; jobs with lower ranks are placed first. */
	uint64_t (*order)(const struct plan_job *job);
	/** Returns the size to commit for a task of the group. */
	struct task_size (*size)(const struct plan *plan,
				 const struct plan_group *group);
	/**
	 * Returns the VM for a pending task; NULL if none is suitable now.
	 * Writes key=value pairs for the decision log to @a reason.
	 */
	struct plan_vm *(*choose)(struct plan *plan,
				  const struct plan_task *task,
				  const struct task_size *size, char *reason,
				  size_t reason_bytes);
	/**
	 * Returns true if the batch task would slow a service on the VM too
	 * much. The member is NULL if the policy ignores interference.
	 */
	bool (*slows_services)(const struct plan *plan,
			       const struct plan_task *task,
			       const struct plan_vm *vm);
};

/** Returns true if the VM has the capacity and may start the task now. */
bool place_allowed(const struct plan_task *task, const struct plan_vm *vm,
		   const struct task_size *size, uint64_t now_us);

/** Returns the policy of that name; NULL if there is none. */
const struct place_ops *place_find(const char *name);

extern const struct place_ops place_default;
extern const struct place_ops place_first_fit;

#endif /* PLACE_H */
