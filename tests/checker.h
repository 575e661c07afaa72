#ifndef CHECKER_H
#define CHECKER_H

/**
 * @file checker.h
 * Checks the journals that the stand-ins write for violations of the system's
 * guarantees, without any data from the system itself.
 */

#include <glib.h>
#include <stdint.h>

struct checker_opts {
	uint32_t cpu_millis; /* capacity of every VM */
	uint32_t memory_mib;
	uint32_t accelerators;
	uint64_t zone_grace_ms; /* after zone-out, when tasks may still start */
};

/**
 * Checks the lines of all journals together. Lines are
 * "t=US vm=NAME zone=NAME ev=EVENT ...". Events from stand-ins: start, end and
 * checkpoint of a task; run and ran, the start and the end of a request. Events
 * from the test: dead (a VM), zone-out, zone-in, once (a request id that must
 * not run twice), submitted and finished (a task).
 * Returns a new array of new messages, one for each violation.
 */
GPtrArray *checker_run(const struct checker_opts *opts, GPtrArray *lines);

/** Appends the lines of a file, in any order; checker_run() sorts them. */
void checker_read(GPtrArray *lines, const char *path);

#endif /* CHECKER_H */
