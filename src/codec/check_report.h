#ifndef CHECK_REPORT_H
#define CHECK_REPORT_H

/**
 * @file check_report.h
 * What a check of a bundle (the operators' versioned configuration) found, one
 * line for each finding.
 */

#include <glib.h>
#include <stdint.h>

/** Findings of one kind that are kept; more are only counted. */
#define CHECK_KIND_MAX 1000
/** Length of each part of a finding in characters; the rest is cut off. */
#define CHECK_TEXT_MAX 240

enum check_kind {
	CHECK_ERROR, /* control would refuse the bundle */
	CHECK_UNREACHABLE, /* an entry that can never match or be used */
	CHECK_CONFLICT, /* values that contradict each other */
	CHECK_ADDED, /* the next three: compared with another bundle */
	CHECK_REMOVED,
	CHECK_CHANGED,
	CHECK_NR_KINDS,
};

struct check_finding {
	enum check_kind kind;
	char *where; /* entry of the bundle */
	char *text;
};

struct check_report {
	GPtrArray *findings; /* struct check_finding *, owned */
	uint32_t nr[CHECK_NR_KINDS]; /* including those that aren't kept */
};

void check_report_init(struct check_report *report);
void check_report_clear(struct check_report *report);

/**
 * Adds a finding. Its texts become one line each: characters that can't be
 * printed are replaced.
 */
void check_report_add(struct check_report *report, enum check_kind kind,
		      const char *where, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/** Returns the number of errors, unreachable entries and conflicts. */
uint32_t check_report_faults(const struct check_report *report);
/** Returns the number of differences from the other bundle. */
uint32_t check_report_differences(const struct check_report *report);

/** Returns the word that a finding's line begins with. */
const char *check_kind_name(enum check_kind kind);

#endif /* CHECK_REPORT_H */
