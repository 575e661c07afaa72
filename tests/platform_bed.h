#ifndef PLATFORM_BED_H
#define PLATFORM_BED_H

/**
 * @file platform_bed.h
 * A small site on the platform's protocol: real processes, an operator and
 * clients that speak HTTP, and stand-ins of the platform's workers whose
 * journals show what ran.
 */

#include "testbed.h"

#define NR_CONTROLS 3
#define NR_WORKERS 3

struct platform_bed_opts {
	const char *program; /* argv[0] */
	uint32_t late_percent; /* of the orders to workers */
	uint32_t odd_percent; /* of the rows of workers' lists */
	bool proxies; /* before control VMs */
	uint32_t grace_s; /* from SIGTERM on, 0: not given */
	uint64_t seed;
};

/** Starts a site with one queue at /q/ and waits for its configuration. */
struct testbed *platform_bed_new(const struct platform_bed_opts *opts);
/** Sends the configuration until it is acknowledged. */
void platform_bed_config(struct testbed *tb, uint32_t version);
/** Submits two steps of four tasks; returns the HTTP status, 0 for none. */
guint platform_bed_submit_once(struct testbed *tb, uint32_t nr,
			       uint32_t run_ms);
/** The same until it is accepted. */
void platform_bed_submit(struct testbed *tb, uint32_t nr, uint32_t run_ms);
/** Waits until the submission is in the state. */
void platform_bed_wait(struct testbed *tb, uint32_t nr, const char *state,
		       uint32_t limit_ms);
/**
 * Returns the number of tasks that ended done. No task may run twice at a time,
 * nor after an end that was taken note of.
 */
uint32_t platform_bed_check(struct testbed *tb);

#endif /* PLATFORM_BED_H */
