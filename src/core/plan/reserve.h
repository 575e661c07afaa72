#ifndef RESERVE_H
#define RESERVE_H

/**
 * @file reserve.h
 * Reservations of capacity that runs are expected to release. Small tasks use
 * each gap as soon as it appears, so a large task would wait until enough gaps
 * appear on one VM at the same time. A reservation holds the capacity for it:
 * other tasks may use the VM only if the reserved task still fits at the
 * reserved time, or if they end before (backfill).
 *
 * The decisions are pure: times and capacities are given, nothing is stored.
 */

#include <stdbool.h>
#include <stdint.h>

/** Capacity of a VM, or what a task requires. */
struct reserve_amount {
	uint64_t cpu_millis; /* 0 for fillers, which use idle processors */
	uint64_t memory_mib;
	uint64_t accelerators;
};

/** A run whose end releases capacity. */
struct reserve_run {
	uint64_t end_us; /* expected; UINT64_MAX: it doesn't end */
	struct reserve_amount amount;
};

struct reserve_vm {
	struct reserve_amount capacity;
	struct reserve_amount used; /* now, by all runs */
	const struct reserve_run *runs; /* sorted by end_us */
	uint32_t nr_runs;
};

/** Index of no VM. */
#define RESERVE_NO_VM UINT32_MAX

/** A waiting task. */
struct reserve_task {
	struct reserve_amount amount;
	uint32_t priority;
	/** It belongs to the same step as the task before it. */
	bool same_step;
	/** Index of the VM that is reserved for it so far, or RESERVE_NO_VM. */
	uint32_t kept_vm;
	uint64_t kept_at_us; /* the time of that reservation */
	uint64_t kept_until_us; /* its reserve_slot.until_us */
};

/** Why a task's earlier reservation is given up. */
enum reserve_drop {
	RESERVE_KEPT = 0, /* it isn't, or there was none */
	/* Its time is exceeded, or will be while another VM is free before. */
	RESERVE_LATE = 1,
	/* Tasks of higher priority have all reservations that are allowed. */
	RESERVE_OUTRANKED = 2,
};

/** The decision for a waiting task. */
struct reserve_slot {
	/** Index, RESERVE_NO_VM: none is needed now or none can be made. */
	uint32_t vm;
	uint64_t at_us; /* when the task is expected to fit */
	uint64_t until_us; /* the reservation isn't kept for longer */
	enum reserve_drop drop;
};

struct reserve_input {
	uint64_t now_us;
	uint64_t horizon_us; /* no reservation is further ahead than this */
	/*
	 * By which the time of a reservation may be exceeded, besides half of
	 * the time until then: the further ahead, the less is known of it.
	 */
	uint64_t margin_us;
	const struct reserve_vm *vms;
	uint32_t nr_vms;
	/* Highest rank first, so tasks of one priority follow each other. */
	const struct reserve_task *tasks;
	uint32_t nr_tasks;
	uint32_t max_slots; /* number of reservations */
	/** Returns true if the VM may take the task once it has capacity. */
	bool (*eligible)(void *ctx, uint32_t task, uint32_t vm);
	void *ctx;
};

/**
 * Decides on a reservation for each of the tasks, in the order of their
 * priorities. Of one priority, reservations that still hold stay; then the
 * others follow in the order of their rank, each on the VM that has enough
 * capacity first. Ranks within a priority change from second to second, and a
 * reservation that moved with them would give up the gap that has grown. A task
 * of higher rank may use the VM anyway.
 *
 * A task that fits now or once a single run has ended gets none: by its rank it
 * takes that capacity anyway. Writes one slot for each task.
 */
void reserve_plan(const struct reserve_input *input,
		  struct reserve_slot *slots);

/**
 * Returns when the VM has @a amount free besides what is @a held for others,
 * at the earliest @a now_us; UINT64_MAX: not by the ends of its runs.
 */
uint64_t reserve_earliest_us(const struct reserve_vm *vm,
			     const struct reserve_amount *held,
			     const struct reserve_amount *amount,
			     uint64_t now_us);

/** Returns what the VM's present runs are expected to use at a time. */
struct reserve_amount reserve_used_at(const struct reserve_vm *vm,
				      uint64_t at_us);

/**
 * Returns when a task that is placed now has ended even if it runs longer than
 * the @a run_ms that are expected; UINT64_MAX for UINT64_MAX.
 */
uint64_t reserve_safe_end_us(uint64_t now_us, uint64_t run_ms);

/**
 * Returns true if a task may be placed on a reserved VM: it ends by @a at_us,
 * or the VM then has enough capacity for the task and for all that is @a held
 * there. Only what the task itself uses counts, so a filler needs no free
 * processors.
 */
bool reserve_admits(const struct reserve_amount *capacity,
		    const struct reserve_amount *used_at,
		    const struct reserve_amount *held, uint64_t at_us,
		    const struct reserve_amount *amount, uint64_t end_us);

void reserve_add(struct reserve_amount *sum,
		 const struct reserve_amount *amount);

#endif /* RESERVE_H */
