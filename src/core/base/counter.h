#ifndef COUNTER_H
#define COUNTER_H

/**
 * @file counter.h
 * Named 64-bit counters and histograms of durations of one node, served as
 * plain text at /metrics.
 */

#include <glib.h>
#include <stdint.h>

struct counters;

struct counters *counters_new(void);
void counters_free(struct counters *counters);

/** Adds @a amount to the counter @a name, which is created on first use. */
void counter_add(struct counters *counters, const char *name, uint64_t amount);

/**
 * Adds 1 to the counter @a name with the label @a key="@a value". Values come
 * from tables of the program, never from callers, so that their number is
 * bounded; a name is used with or without labels, not both.
 */
void counter_inc_label(struct counters *counters, const char *name,
		       const char *key, const char *value);

/** As counter_inc_label(), with a second label. */
void counter_inc_label2(struct counters *counters, const char *name,
			const char *key, const char *value, const char *key2,
			const char *value2);

/** Sets a gauge. */
void counter_set(struct counters *counters, const char *name, uint64_t value);

/** Sets a counter that is counted elsewhere. */
void counter_set_total(struct counters *counters, const char *name,
		       uint64_t value);

/** Returns the value of @a name, 0 if it was never touched. */
uint64_t counter_get(const struct counters *counters, const char *name);

/**
 * Counts a duration in the histogram @a name, which should end with "_ms". Its
 * lines are NAME_bucket{le="MS"}, each with all durations up to MS, NAME_sum
 * and NAME_count.
 */
void counter_observe(struct counters *counters, const char *name,
		     uint64_t duration_ms);

/**
 * Appends "masticreach_NAME VALUE" lines to @a out, sorted by name, each name
 * after its "# TYPE" line.
 */
void counters_print(const struct counters *counters, GString *out);

#endif /* COUNTER_H */
