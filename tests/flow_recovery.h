#ifndef FLOW_RECOVERY_H
#define FLOW_RECOVERY_H

/**
 * @file flow_recovery.h
 * Losses of workers in the simulation of flow_world.h while every worker leaves
 * some of its calls unanswered, and the time until the lost runs run elsewhere.
 */

#include "flow_world.h"

/* Share of calls of each worker that get no answer: 1 %. */
#define FLOW_RECOVERY_LOSE_PPM 10000
/*
 * Pause before each loss. The agents were started together and so report and
 * poll at the same times; the losses fall at different times of a second.
 */
#define FLOW_RECOVERY_PAUSE_MS(loss_nr) (1000 + (loss_nr)*130)

/** A way in which the runs of a VM are lost. */
struct flow_loss {
	const char *name;
	/*
	 * Longest time from the loss to the last report that renews the lease.
	 */
	uint32_t notice_ms;
	void (*lose)(struct fw_vm *vm);
};

/** The worker ends and isn't restarted; its agent continues. */
extern const struct flow_loss flow_loss_worker;
/** The agent ends; its worker continues until its lease expires. */
extern const struct flow_loss flow_loss_agent;

/** How the runs of one lost VM were recovered; times count from the loss. */
struct flow_recovery {
	uint32_t nr_runs; /* that the VM had */
	uint32_t nr_unplaced; /* not placed elsewhere within the limit */
	uint32_t nr_unstarted; /* not started elsewhere within the limit */
	/*
	 * Runs whose start elsewhere got no answer, so that it was carried out
	 * late or was called again.
	 */
	uint32_t nr_unanswered;
	uint32_t placed_ms; /* when the last run was placed, or the limit */
	uint32_t started_ms; /* when the last run started, or the limit */
	/* As started_ms, without the nr_unanswered runs. */
	uint32_t answered_ms;
};

/**
 * Creates the simulation with two lasting tasks for each VM on average, makes
 * workers leave calls unanswered, and runs on for a while.
 */
struct flow_world *flow_recovery_world(uint64_t seed);
/** Returns a VM with at least two runs that hasn't been lost. */
struct fw_vm *flow_recovery_vm(struct flow_world *fw);
/**
 * Loses the VM, and waits until all its runs have started elsewhere, or until
 * the limit.
 */
struct flow_recovery flow_recovery_measure(struct fw_vm *vm,
					   const struct flow_loss *loss,
					   uint32_t limit_ms);
/** Returns the number of unanswered calls of all agents that are running. */
uint64_t flow_recovery_unanswered(const struct flow_world *fw);

#endif /* FLOW_RECOVERY_H */
