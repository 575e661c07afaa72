#ifndef LOG_H
#define LOG_H

/**
 * @file log.h
 * Log of the process on standard output: one line of key=value pairs for each
 * event. Lines and bytes per second are limited, and the process never blocks
 * on a full pipe.
 */

#include <stdint.h>

#include "settings.h"

/* A leader under full load logs 300 lines/s of its most frequent event. */
#define LOG_EVENT_LINES_PER_S 500
#define LOG_BYTES_PER_S (256u << 10)

/** Writes a finished line; returns false if it would block. */
typedef bool log_write_fn(void *ctx, const char *text, size_t size);

struct log_opts {
	log_write_fn *write;
	void *ctx;
	uint64_t (*now_us)(void); /* monotonic */
};

/** Writes to standard output; returns false if that would block. */
bool log_write(void *ctx, const char *text, size_t size);

void log_setup(const struct log_opts *opts);
void log_level(enum log_level level);
/**
 * Writes one line, "event=NAME ...", with the time in front. A line beyond the
 * limit of its event or of the process is omitted. The first line of a later
 * second is preceded by one log-omitted line for each event with omitted lines,
 * with their number. A line that would block is dropped; log_dropped() counts
 * it.
 */
void log_line(const char *line);
/** Number of lines and bytes passed to the writer, dropped ones included. */
uint64_t log_lines(void);
uint64_t log_bytes(void);
/** Number of lines that were dropped or omitted. */
uint64_t log_dropped(void);

#endif /* LOG_H */
