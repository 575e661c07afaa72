#ifndef PLATFORM_TESTBED_H
#define PLATFORM_TESTBED_H

/**
 * @file platform_testbed.h
 * A small site (an installation with its VMs and processes) that uses the
 * platform's protocols. The processes of the site are real. The test sends the
 * HTTP requests of the operator and the clients. Stand-ins simulate the
 * platform's workers and write journals of the tasks' runs.
 */

#include "testbed.h"

#define NR_CONTROLS 3
#define NR_WORKERS 3

struct platform_testbed_opts {
	const char *program; /* argv[0] */
	uint32_t late_percent; /* of the calls, which workers carry out late */
	/* Of the starts, see struct tb_executor_opts. */
	uint32_t reset_percent;
	uint32_t odd_percent; /* of the rows in workers' lists, sent invalid */
	bool proxies; /* control processes are reached by fault proxies */
	uint32_t grace_s; /* setting --grace-s, 0: not set */
	/* Workers are cut off from their agents for this time after SIGUSR2. */
	uint32_t cut_ms;
	/* From SIGHUP to a worker to its next incarnation, see testbed.h. */
	uint32_t restart_ms;
	uint32_t first_heartbeat_ms; /* after the restart, see testbed.h */
	const char *waiting_calls; /* for the restart, see testbed.h */
	uint64_t seed; /* of random faults */
};

/** Starts a site and waits until it has a configuration with a queue /q/. */
struct testbed *platform_testbed_new(const struct platform_testbed_opts *opts);
/** Sends the configuration as @a version until a replica acknowledges it. */
void platform_testbed_config(struct testbed *tb, uint32_t version);
/**
 * Submits workflow @a nr, which has two steps of four tasks; a worker may run
 * two of the first step and one of the second at a time. Each task takes
 * @a run_ms, 0: it runs until cancelled. Returns the HTTP status, 0 if there
 * was no answer.
 */
guint platform_testbed_submit_once(struct testbed *tb, uint32_t nr,
				   uint32_t run_ms);
/** Repeats platform_testbed_submit_once() until the workflow is accepted. */
void platform_testbed_submit(struct testbed *tb, uint32_t nr, uint32_t run_ms);
/** Submits workflow @a nr with the first of the two steps only. */
void platform_testbed_submit_step(struct testbed *tb, uint32_t nr,
				  uint32_t run_ms);
/** Cancels workflow @a nr. */
void platform_testbed_cancel(struct testbed *tb, uint32_t nr);
/** Waits up to @a limit_ms until workflow @a nr is in the @a state. */
void platform_testbed_wait(struct testbed *tb, uint32_t nr, const char *state,
			   uint32_t limit_ms);
/**
 * Checks the workers' journals: no task may run twice at a time, nor again
 * after an end that was acknowledged, and no worker may run more tasks of a
 * step than it allows, nor more than its capacity. Returns the number of tasks
 * that ended as done.
 */
uint32_t platform_testbed_check(struct testbed *tb);

#endif /* PLATFORM_TESTBED_H */
