#ifndef LOAD_POLICY_H
#define LOAD_POLICY_H

/**
 * @file load_policy.h
 * Decisions about workflows when there is less room than work. A policy is a
 * table of functions and values; the settings of a deployment choose one. The
 * standard policy starts work wherever there is room and corrects a poor choice
 * by moving the run. The contended policy expects that to cost more than it
 * gains, and makes the choice when the run starts.
 *
 * Serving tasks are latency-critical, fillers use processors that others leave
 * idle, see pressure.h.
 */

#include <stdbool.h>
#include <stdint.h>

/** Times that workers need, from the settings; 0: not known. */
struct load_limits {
	uint32_t stop_ms; /* longest time that a worker takes to stop a run */
	uint32_t save_ms; /* work of a run between two checkpoints */
	uint32_t restore_ms; /* for a run to resume from a checkpoint */
};

/** Which policy a deployment asks for. */
enum load_choice {
	LOAD_AUTO = 0, /* contended if corrections are slow */
	LOAD_STANDARD = 1,
	LOAD_CONTENDED = 2,
};

/** A VM as a place for one serving task more. */
struct load_serving_place {
	/* Used share of the processors with the task, fillers included. */
	uint64_t load_permille;
	/* The same without fillers. */
	uint64_t reserved_permille;
	/* Share of the processors that fillers would lose by the task. */
	uint64_t filler_loss_permille;
	bool image_known; /* filler_loss_permille is learned */
	uint32_t nr_other_images; /* of serving tasks on the VM */
	bool serves; /* the VM has a serving task */
};

struct load_policy {
	const char *name;
	/** Least share of its full speed at which a filler starts. */
	uint32_t min_gain_permille;
	/**
	 * By how much the load of a serving task is expected to rise while a
	 * filler runs.
	 */
	uint32_t load_rise_permille;
	/**
	 * Number of waiting tasks for which capacity is reserved at a time, see
	 * reserve.h; 0: none.
	 */
	uint32_t max_reservations;
	/** Returns the cost of the place; the cheapest one is chosen. */
	uint64_t (*serving_cost)(const struct load_serving_place *place);
	/**
	 * Returns the cost of placing a filler on a VM of whose processors
	 * serving tasks have reserved this share.
	 */
	uint64_t (*filler_cost)(uint64_t serving_permille);
};

extern const struct load_policy load_standard;
extern const struct load_policy load_contended;

/**
 * Returns the policy of a deployment. LOAD_AUTO is the contended policy if a
 * stop takes longer than the work between two checkpoints: room that was given
 * to the wrong run then comes back later than the run's work would be saved.
 */
const struct load_policy *load_policy_choose(enum load_choice choice,
					     const struct load_limits *limits);

#endif /* LOAD_POLICY_H */
