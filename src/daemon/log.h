#ifndef LOG_H
#define LOG_H

/**
 * @file log.h
 * The process's log on standard output: one line of key=value pairs for each
 * event, bounded in lines and bytes a second, and never waited for.
 */

#include <stdint.h>

#include "settings.h"

/* A leader at its busiest writes 300 lines of its most frequent event. */
#define LOG_EVENT_LINES_PER_S 500
#define LOG_BYTES_PER_S (256u << 10)

/** Writes a finished line; false if there is no room for it now. */
typedef bool log_write_fn(void *ctx, const char *text, size_t size);

struct log_opts {
	log_write_fn *write;
	void *ctx;
	uint64_t (*now_us)(void); /* monotonic */
};

/** Writes to standard output if that takes it at once. */
bool log_write(void *ctx, const char *text, size_t size);

void log_setup(const struct log_opts *opts);
void log_level(enum log_level level);
/**
 * Writes one line, "event=NAME ...", with the time in front. A line beyond the
 * budget of its event or of the process is left out; once a second, a line
 * tells how many were. A line that the reader has no room for is dropped.
 */
void log_line(const char *line);
/** Number of lines and of bytes that were written, or tried to. */
uint64_t log_lines(void);
uint64_t log_bytes(void);
/** Number of lines that were dropped or left out. */
uint64_t log_dropped(void);

#endif /* LOG_H */
