#ifndef RELIABILITY_H
#define RELIABILITY_H

/**
 * @file reliability.h
 * Decides whether failures of runs point to the VM or to what it ran. Some
 * workers fail everything that they start, and get no more tasks for a while.
 * Some submissions fail everywhere, and must not take the VMs from others.
 *
 * A step that fails on several VMs, and has not succeeded since, fails because
 * of itself: its failures count against no VM, and those that have been counted
 * count no longer. A VM is barred only if its failures come from several steps,
 * or from one that succeeds elsewhere, if it fails far more than the other VMs
 * of its service, and as long as few of them are barred.
 */

#include <stdbool.h>
#include <stdint.h>

/** Ends of runs that are remembered for each VM. */
#define RELIABILITY_ENDS 8

struct reliability_vm;

/**
 * A step of a submission, of which a run has failed. Its runs run the same
 * program.
 */
struct reliability_step {
	uint32_t refs;
	bool proven; /* a run has succeeded */
	/* VMs on which runs have failed since one last succeeded. */
	const struct reliability_vm *failed_vms[2];
	uint32_t nr_failed_vms;
	/* Since a run last succeeded; a gang's run counts once. */
	uint32_t nr_failures;
	uint64_t gang_run; /* the last one that failed, 0: none */
	/* Longest time after which a run has failed since then. */
	uint64_t failed_after_ms;
	uint32_t nr_pauses; /* since a run last succeeded */
	uint64_t paused_until_us; /* no run starts before this time */
};

struct reliability_end {
	struct reliability_step *step; /* of a failed run, NULL: it succeeded */
	uint64_t gang_run; /* as in reliability_failed() */
};

/** The last ends of runs at a VM's worker. */
struct reliability_vm {
	struct reliability_end ends[RELIABILITY_ENDS]; /* oldest first */
	uint32_t nr_ends;
};

/** The other VMs of a VM's service. */
struct reliability_others {
	uint32_t nr_vms;
	uint32_t nr_barred;
	uint64_t sum_fail_permille;
};

struct reliability_step *reliability_step_new(void);
/** Drops a reference; @a step may be NULL. */
void reliability_step_unref(struct reliability_step *step);

/**
 * Counts a run of the step that failed on the VM after @a ran_ms. @a gang_run
 * is a number that the tasks of a gang have in common in one run, and no other
 * runs of the step have; 0: the step isn't a gang. Failures of one run of a
 * gang count once for the step and once for each VM. Returns true if this shows
 * that the step fails because of itself.
 */
bool reliability_failed(struct reliability_vm *vm,
			struct reliability_step *step, uint64_t gang_run,
			uint64_t ran_ms);

/** Counts a success on the VM; @a step is NULL if no run of it has failed. */
void reliability_succeeded(struct reliability_vm *vm,
			   struct reliability_step *step);

/**
 * Returns true if a run that has run for @a ran_ms counts as a success, as it
 * has far outlived those that have failed.
 */
bool reliability_outlives(const struct reliability_step *step, uint64_t ran_ms);

/** Returns true if the step fails because of itself. */
bool reliability_is_faulty(const struct reliability_step *step);

/**
 * Returns the share of the VM's runs that failed because of the VM, a moving
 * average.
 */
uint32_t reliability_fail_permille(const struct reliability_vm *vm);

/** Returns true if the VM should get no tasks for a while. */
bool reliability_should_bar(const struct reliability_vm *vm,
			    const struct reliability_others *others);

/**
 * Notes that the VM is barred: one more failure after that bars it again.
 */
void reliability_barred(struct reliability_vm *vm);

/** Forgets the ends, as the VM has another incarnation of its worker. */
void reliability_reset(struct reliability_vm *vm);

/**
 * Begins a pause before the next runs of a step whose long-running tasks fail
 * again and again. A failure during a pause doesn't extend it.
 */
void reliability_delay_restart(struct reliability_step *step, uint64_t now_us);

/** Lets no run of the step start before @a until_us. */
void reliability_pause(struct reliability_step *step, uint64_t until_us);

/** Returns true if the step's tasks wait for the end of a pause. */
bool reliability_is_paused(const struct reliability_step *step,
			   uint64_t now_us);

#endif /* RELIABILITY_H */
