#ifndef JSON_DIFF_H
#define JSON_DIFF_H

/** @file json_diff.h Compares two JSON objects by entry and member. */

#include <json-glib/json-glib.h>

struct check_report;

/** An array of the compared objects whose elements have an identity. */
struct json_diff_list {
	const char *member; /* name of the array; NULL ends a table */
	const char *entry; /* what an element is called in findings */
	const char *keys[2]; /* members that identify an element, or NULL */
};

/**
 * Reports what was added, removed and changed between @a before and @a after.
 * The order of the elements of @a lists doesn't matter.
 */
void json_diff(JsonObject *before, JsonObject *after,
	       const struct json_diff_list *lists, struct check_report *report);

#endif /* JSON_DIFF_H */
