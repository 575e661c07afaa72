#ifndef PLATFORM_TESTBED_H
#define PLATFORM_TESTBED_H

/**
 * @file platform_testbed.h
 * A small site that uses the platform's protocols: real processes, an operator
 * and clients that send HTTP requests, and stand-ins of the platform's workers,
 * which write journals of the runs.
 */

#include "testbed.h"

#define NR_CONTROLS 3
#define NR_WORKERS 3

struct platform_testbed_opts {
	const char *program; /* argv[0] */
	uint32_t late_percent; /* of the calls to workers, carried out late */
	uint32_t odd_percent; /* of the rows in workers' lists, made invalid */
	bool proxies; /* fault proxies in front of control VMs */
	uint32_t grace_s; /* --grace-s: time from SIGTERM on, 0: not set */
	uint64_t seed;
};

/** Starts a site with a queue at /q/ and waits until it is configured. */
struct testbed *platform_testbed_new(const struct platform_testbed_opts *opts);
/** Sends the configuration as @a version until it is acknowledged. */
void platform_testbed_config(struct testbed *tb, uint32_t version);
/**
 * Submits workflow @a nr, two steps of four tasks that take @a run_ms, 0:
 * without end. Returns the HTTP status, 0 if there was no answer.
 */
guint platform_testbed_submit_once(struct testbed *tb, uint32_t nr,
				   uint32_t run_ms);
/** Repeats platform_testbed_submit_once() until the workflow is accepted. */
void platform_testbed_submit(struct testbed *tb, uint32_t nr, uint32_t run_ms);
/** Waits up to @a limit_ms until workflow @a nr is in the @a state. */
void platform_testbed_wait(struct testbed *tb, uint32_t nr, const char *state,
			   uint32_t limit_ms);
/**
 * Checks the workers' journals: no task may run twice at a time, nor again
 * after an end that was acknowledged. Returns the number of tasks that ended as
 * done.
 */
uint32_t platform_testbed_check(struct testbed *tb);

#endif /* PLATFORM_TESTBED_H */
