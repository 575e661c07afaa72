#ifndef LOGLINE_H
#define LOGLINE_H

/**
 * @file logline.h
 * Builds one log line of key=value pairs. Values that are empty or contain
 * blanks, quotes, '=', backslashes or control characters are quoted and
 * escaped.
 */

#include <glib.h>
#include <stdint.h>

/** Returns a new line that starts with "event=EVENT". */
GString *logline_new(const char *event);

/** Appends a key=value pair. */
void logline_str(GString *line, const char *key, const char *value);
void logline_u64(GString *line, const char *key, uint64_t value);
/** Appends a pair whose value is an id, as 16 hexadecimal digits. */
void logline_id(GString *line, const char *key, uint64_t value);

#endif /* LOGLINE_H */
