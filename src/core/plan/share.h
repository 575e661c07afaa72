#ifndef SHARE_H
#define SHARE_H

/**
 * @file share.h
 * Shares of queues that compete for the processors of one service at one
 * priority; such queues form a group. A queue's share is its weight divided by
 * the weights of the group's queues that have work. Its use is the processor
 * time that its runs have occupied, which counts half after
 * SHARE_HALF_LIFE_TICKS. Pure decisions: no clock, no network.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The use of one queue up to a point in time. */
struct share_use {
	uint64_t core_us; /* decayed use up to tick_us */
	/* Use since tick_us, in thousandths of core-microseconds. */
	uint64_t open_millis_us;
	uint64_t tick_us; /* when the present tick of SHARE_TICK_US began */
	uint64_t counted_us; /* the use is counted up to here */
	uint64_t running_millis; /* processors that its runs occupy now */
};

/** Starts to count at @a now_us with an earlier use. */
void share_use_init(struct share_use *use, uint64_t now_us,
		    uint64_t use_core_ms);
/** Counts the use up to @a now_us, which never goes back. */
void share_use_advance(struct share_use *use, uint64_t now_us);
/** Counts a run that starts to occupy processors, or has stopped to. */
void share_use_run(struct share_use *use, uint64_t now_us, uint32_t cpu_millis,
		   bool starts);
/** Returns the decayed use as of the last advance. */
uint64_t share_use_core_ms(const struct share_use *use);

/** Sums over the queues of one group, set by share_evaluate(). */
struct share_group {
	uint64_t weights; /* of the queues that have work */
	uint64_t use_core_ms; /* of the same queues */
	bool waits_below; /* a queue below its share waits */
};

/** A queue: what decides about it, and the decision. */
struct share_queue {
	struct share_group *group;
	uint32_t weight; /* 1 to SHARE_WEIGHT_MAX */
	uint64_t use_core_ms;
	bool works; /* it has work, whether running or waiting */
	bool waits; /* part of its work waits for a VM */
	/* Set by share_evaluate(). */
	uint32_t share_permille; /* 0: it has no work */
	uint64_t excess_core_ms; /* its use above its share */
	/*
	 * It is over its share while another queue of its group waits below
	 * that one's; the previous value counts too.
	 */
	bool over;
};

/**
 * Decides for each queue whether it is over its share, and by how much. The
 * queues of a group have to be passed together.
 */
void share_evaluate(struct share_queue *const *queues, uint32_t nr_queues);

/**
 * Returns true if a queue's new use should be stored in place of the stored
 * one. A use below SHARE_MIN_CORE_MS is stored as 0.
 */
bool share_use_changed(uint64_t stored_core_ms, uint64_t use_core_ms);

/**
 * Returns true if a workflow of the queue is placed after those of queues
 * within their shares. This isn't so once it has waited for its whole
 * objective, which ends at @a due_us.
 */
bool share_defers(const struct share_queue *queue, uint64_t due_us,
		  uint64_t now_us);

#endif /* SHARE_H */
