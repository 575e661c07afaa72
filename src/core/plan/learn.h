#ifndef LEARN_H
#define LEARN_H

/**
 * @file learn.h
 * Sizes and run times learned for each job kind from usage samples.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "platform.h"
#include "plan_vm.h"

struct learn;

struct plan_kind {
	char name[NAME_BYTES];
	uint32_t nr;
	uint32_t nr_samples;
	uint32_t nr_tasks; /* that were sampled */
	uint32_t nr_ended; /* that ended well */
	uint32_t cpu_p95_millis; /* about the 95th percentile of use */
	uint32_t memory_peak_mib;
	uint32_t memory_floor_mib; /* raised when tasks fail near their limit */
	uint64_t run_ms; /* smoothed run time, 0: unknown */
	bool no_checkpoint; /* an evicted task lost its progress */
};

struct learn *learn_new(void);
void learn_free(struct learn *learn);

/** Returns the kind of a job; it lives as long as @a learn. */
struct plan_kind *learn_kind(struct learn *learn, const struct job_record *job);

/** Takes one usage sample of a task whose commitment is @a size. */
void learn_sample(struct plan_kind *kind, const struct platform_task *sample,
		  const struct task_size *size, uint32_t throttle_ppm,
		  bool first);
/** A task ended well after @a run_ms. */
void learn_run_time(struct plan_kind *kind, uint64_t run_ms);
/**
 * A task failed; @a used_mib is its last known memory, @a size its limit.
 * Returns true if it probably ran out of memory.
 */
bool learn_failure(struct plan_kind *kind, uint32_t used_mib,
		   const struct task_size *size);

/** Returns the size to commit for a task declared as @a declared. */
struct task_size learn_size(const struct plan_kind *kind,
			    const struct task_size *declared, bool service);

#endif /* LEARN_H */
