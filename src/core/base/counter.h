#ifndef COUNTER_H
#define COUNTER_H

/**
 * @file counter.h
 * Named 64-bit counters, gauges and histograms of durations of one process.
 * They are served as plain text at /metrics.
 */

#include <glib.h>
#include <stdint.h>

struct counters;

struct counters *counters_new(void);
void counters_free(struct counters *counters);

/** Adds @a amount to the counter @a name, which is created on first use. */
void counter_add(struct counters *counters, const char *name, uint64_t amount);

/**
 * Adds 1 to the counter @a name with the label @a key="@a value". Label values
 * have to come from tables of the program and never from callers' requests, so
 * that their number is bounded. A name must not be used both with and without
 * labels.
 */
void counter_inc_label(struct counters *counters, const char *name,
		       const char *key, const char *value);

/** As counter_inc_label(), with a second label. */
void counter_inc_label2(struct counters *counters, const char *name,
			const char *key, const char *value, const char *key2,
			const char *value2);

/** Sets the gauge @a name, which is created on first use. */
void counter_set(struct counters *counters, const char *name, uint64_t value);

/** Sets the counter @a name to a total that the caller counts itself. */
void counter_set_total(struct counters *counters, const char *name,
		       uint64_t value);

/** Returns the value of the counter or gauge @a name, 0 if there is none. */
uint64_t counter_get(const struct counters *counters, const char *name);

/**
 * Adds a duration to the histogram @a name, which is created on first use and
 * whose name should end with "_ms". The histogram is printed as
 * NAME_bucket{le="MS"} lines, each with the number of durations up to MS
 * milliseconds, and as NAME_sum and NAME_count.
 */
void counter_observe(struct counters *counters, const char *name,
		     uint64_t duration_ms);

/**
 * Appends "masticreach_NAME VALUE" lines to @a out, sorted by name. A "# TYPE"
 * line precedes the first line of each name.
 */
void counters_print(const struct counters *counters, GString *out);

#endif /* COUNTER_H */
