#ifndef LOGLINE_H
#define LOGLINE_H

/**
 * @file logline.h
 * Builds one log line of key=value pairs. Values with blanks, quotes or
 * control characters are quoted and escaped.
 */

#include <glib.h>
#include <stdint.h>

/** Starts a line: "event=EVENT". */
GString *logline_new(const char *event);

void logline_str(GString *line, const char *key, const char *value);
void logline_u64(GString *line, const char *key, uint64_t value);
/** Writes an identifier as 16 hexadecimal digits. */
void logline_id(GString *line, const char *key, uint64_t value);

#endif /* LOGLINE_H */
