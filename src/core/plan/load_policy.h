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

#include "stop.h"

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
	 * How far ahead the load of a serving task counts where it rises.
	 */
	uint32_t load_ahead_ms;
	/**
	 * A submission is refused if it couldn't complete in time even with
	 * this much more capacity than measured, 0: none is refused.
	 */
	uint32_t admission_margin_permille;
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
	/** Run times are learned, and used instead of clients' estimates. */
	bool learns_run_times;
	/** The log gives the gain and the cost of a stop. */
	bool weighs_stops;
	/** Decides whether a throttled filler is moved to a better VM. */
	struct stop_verdict (*filler_stop)(const struct stop_run *run,
					   const struct load_limits *limits);
	/** Decides whether a serving task is moved to better neighbours. */
	struct stop_verdict (*serving_stop)(const struct stop_serving *serving,
					    const struct load_limits *limits);
	/** Returns true if the run is stopped as it makes no progress. */
	bool (*is_stalled)(const struct stop_progress *progress);
	/** Queues over their share are placed after others, see share.h. */
	bool shares;
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
