#ifndef LEARN_H
#define LEARN_H

/**
 * @file learn.h
 * Resource use and run times of each job kind, learned from usage samples and
 * from the ends of runs. A kind is the set of jobs with the same kind in their
 * records; a job without one belongs to the kind named like the job.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "platform.h"
#include "plan_vm.h"

struct learn;

struct plan_kind {
	char name[NAME_BYTES];
	uint32_t nr; /* index; PLAN_MAX_KINDS: all further kinds, not learned */
	uint32_t nr_samples;
	uint32_t nr_tasks; /* tasks that were sampled */
	uint32_t nr_ended; /* runs that ended successfully */
	uint32_t cpu_p95_millis; /* about the 95th percentile of CPU use */
	uint32_t memory_peak_mib; /* largest memory use in a sample */
	uint32_t memory_floor_mib; /* least size, raised when memory ran out */
	uint64_t run_ms; /* smoothed run time; 0: unknown */
	bool no_checkpoint; /* the last evicted task lost its progress */
};

struct learn *learn_new(void);
void learn_free(struct learn *learn);

/** Returns the kind of a job, valid until learn_free(). */
struct plan_kind *learn_kind(struct learn *learn, const struct job_record *job);

/**
 * Updates the kind from one usage sample of a task to which @a size is
 * committed. @a first is true for the task's first sample.
 */
void learn_sample(struct plan_kind *kind, const struct platform_task *sample,
		  const struct task_size *size, uint32_t throttle_ppm,
		  bool first);
/** Updates the run time after a run that ended successfully. */
void learn_run_time(struct plan_kind *kind, uint64_t run_ms);
/**
 * Updates the least memory size after a task failed. @a used_mib is its memory
 * use in the last sample, @a size the size committed to it. Returns true if the
 * task probably ran out of memory.
 */
bool learn_failure(struct plan_kind *kind, uint32_t used_mib,
		   const struct task_size *size);

/**
 * Returns the size to commit for a task whose declared size is given. For a
 * service, it is never below the declared size.
 */
struct task_size learn_size(const struct plan_kind *kind,
			    const struct task_size *declared, bool service);

#endif /* LEARN_H */
