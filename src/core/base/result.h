#ifndef RESULT_H
#define RESULT_H

/**
 * @file result.h
 * Numbered result codes. docs/errors.md lists them with causes and remedies; a
 * test compares the page with this table. The numbers are part of the
 * interface: they are the tool's exit codes and appear in problem documents.
 */

#include <stdint.h>

/* Rows: X(number, identifier, name, summary). */
#define RESULT_TABLE(X)                                                        \
	X(0, RESULT_OK, "ok", "success")                                       \
	X(2, RESULT_USAGE, "usage", "bad command line or setting")             \
	X(3, RESULT_MALFORMED, "malformed", "input can't be parsed")           \
	X(4, RESULT_OUT_OF_RANGE, "out-of-range", "a value is out of range")   \
	X(5, RESULT_TOO_LARGE, "too-large", "input exceeds a size limit")      \
	X(6, RESULT_UNKNOWN_OBJECT, "unknown-object", "no such object")        \
	X(7, RESULT_CONFLICT, "conflict", "same version, other content")       \
	X(8, RESULT_STALE, "stale", "version or epoch is too old")             \
	X(9, RESULT_NOT_LEADER, "not-leader",                                  \
	  "this replica is not the leader")                                    \
	X(10, RESULT_NO_QUORUM, "no-quorum", "no quorum of control replicas")  \
	X(11, RESULT_NO_CAPACITY, "no-capacity", "capacity is exhausted")      \
	X(12, RESULT_QUOTA, "quota", "the team's quota is exhausted")          \
	X(13, RESULT_NEVER_FITS, "never-fits", "no VM can ever run the job")   \
	X(14, RESULT_ZONE_OUT, "zone-out", "the availability zone is out")     \
	X(15, RESULT_NO_UPSTREAM, "no-upstream",                               \
	  "no upstream for the service")                                       \
	X(16, RESULT_OVERLOADED, "overloaded", "a queue or limit is full")     \
	X(17, RESULT_DEADLINE, "deadline", "the deadline can't be met")        \
	X(18, RESULT_OUTCOME_UNKNOWN, "outcome-unknown",                       \
	  "the work may or may not have run")                                  \
	X(19, RESULT_UPSTREAM_FAILED, "upstream-failed",                       \
	  "the upstream failed while it ran the request")                      \
	X(20, RESULT_NO_PERMIT, "no-permit", "no valid start permit")          \
	X(21, RESULT_CANCELLED, "cancelled", "cancelled by its owner")         \
	X(22, RESULT_IN_PROGRESS, "in-progress", "the first run is under way") \
	X(23, RESULT_LEAVING, "leaving", "the process is shutting down")       \
	X(24, RESULT_IO, "io", "an input or output operation failed")          \
	X(25, RESULT_DISK_FULL, "disk-full", "the data folder's disk is full") \
	X(26, RESULT_CORRUPT, "corrupt", "stored data fails its checksum")     \
	X(27, RESULT_VERSION, "version", "protocol version not supported")     \
	X(28, RESULT_NO_BUNDLE, "no-bundle", "no bundle is in force yet")      \
	X(29, RESULT_LEASE_EXPIRED, "lease-expired", "the lease ran out")      \
	X(30, RESULT_TIMEOUT, "timeout", "no answer within the time limit")    \
	X(31, RESULT_JOB_FAILED, "job-failed",                                 \
	  "the job failed on too many workers")                                \
	X(32, RESULT_UNKNOWN_QUEUE, "unknown-queue", "no such queue")          \
	X(33, RESULT_OTHER_LIFE, "other-life",                                 \
	  "another life of the worker answered")                               \
	X(34, RESULT_NOT_IN_TIME, "not-in-time",                               \
	  "the work can't complete in time")                                   \
	X(35, RESULT_FINDINGS, "findings", "the check found faults")

enum result {
#define RESULT_ENUM(number, identifier, name, summary) identifier = number,
	RESULT_TABLE(RESULT_ENUM)
#undef RESULT_ENUM
};

/** Returns the stable short name of @a code, or "unknown". */
const char *result_name(uint32_t code);

/** Returns a one-line English summary of @a code. */
const char *result_summary(uint32_t code);

#endif /* RESULT_H */
