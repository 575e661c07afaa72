#ifndef STOP_H
#define STOP_H

/**
 * @file stop.h
 * Whether it pays to stop a run so that its task continues on another VM. A
 * filler uses processors that others leave idle, at a pace that is a percentage
 * of its full speed; a serving task is latency-critical. The gain of a stop is
 * the time by which the rest of the run is shorter elsewhere, its cost the time
 * during which the task doesn't run and the time of the work that is lost.
 */

#include <stdbool.h>
#include <stdint.h>

struct load_limits;

/** A throttled filler. */
struct stop_run {
	uint64_t left_ms; /* remaining time at full pace */
	bool unsure; /* left_ms follows from the client's estimate only */
	uint64_t done_ms; /* its work so far, as time at full pace */
	bool checkpoints; /* it continues from where it was stopped */
	uint32_t percent; /* its progress */
	uint32_t pace_percent;
	uint32_t next_pace_percent; /* expected on the other VM, above 0 */
	uint64_t halted_ms; /* time at STOP_HALTED_PERCENT or below */
	/*
	 * How much of the utilization by which a serving task beside it exceeds
	 * its setpoint is due to the run; the highest of all serving tasks.
	 */
	uint32_t excess_permille;
};

/** A serving task that would fit better to the serving tasks of another VM. */
struct stop_serving {
	uint32_t cpu_millis; /* of the task, above 0 */
	uint64_t gain_cpu_millis; /* processors that fillers gain by its move */
};

/** The progress of a run that may have stalled. */
struct stop_progress {
	uint32_t pace_percent;
	uint32_t percent;
	uint64_t estimate_ms; /* by its client */
	uint64_t high_ms; /* learned high run time, or the estimate */
	bool unsure; /* high_ms is the estimate */
	uint32_t run; /* number of the task's run, from 1 on */
	uint64_t ran_us;
	uint64_t idle_us; /* the last part of ran_us, without progress */
	/* The same as time at full pace. */
	uint64_t full_us;
	uint64_t full_idle_us;
};

struct stop_verdict {
	bool pays;
	uint64_t gain_ms;
	uint64_t cost_ms;
};

/** Decides whether to move a throttled filler. */
struct stop_verdict stop_weigh_filler(const struct stop_run *run,
				      const struct load_limits *limits);

/** Decides whether to move a serving task. */
struct stop_verdict stop_weigh_serving(const struct stop_serving *serving,
				       const struct load_limits *limits);

/**
 * Returns true if the run has made no progress for long, by its own speed. Time
 * during which it was throttled counts in proportion to its pace. If only the
 * client's estimate is known, a run that is throttled now isn't stalled.
 */
bool stop_is_stalled(const struct stop_progress *progress);

#endif /* STOP_H */
