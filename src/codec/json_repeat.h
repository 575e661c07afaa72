#ifndef JSON_REPEAT_H
#define JSON_REPEAT_H

/** @file json_repeat.h Finds members that occur twice in one JSON object. */

#include <glib.h>

struct check_report;

/**
 * Reports each member whose name its object has already; json-glib keeps only
 * the last of them. The text must have been accepted by json_parse().
 */
void json_repeat_check(const char *text, gsize size,
		       struct check_report *report);

#endif /* JSON_REPEAT_H */
