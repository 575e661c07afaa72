#include "log.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

/* A pipe that polls as writable accepts this much without blocking. */
#define LOG_LINE_MAX_BYTES 4096
#define LOG_EVENT_NAME_BYTES 48
/*
 * The sources name fewer events. Events beyond this number share the entry
 * logger.others.
 */
#define LOG_EVENTS_MAX 256
#define LOG_OTHERS_NAME "other"
#define LOG_WINDOW_US 1000000

/** Lines of one event in the current second. */
struct log_event {
	char name[LOG_EVENT_NAME_BYTES];
	uint32_t lines;
	uint32_t omitted;
};

bool log_write(void *ctx, const char *text, size_t size)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&out, 1, 0) == 1 && out.revents & POLLOUT &&
	       write(STDOUT_FILENO, text, size) == (ssize_t)size;
}

static uint64_t log_now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static struct {
	enum log_level level;
	struct log_opts opts;
	uint64_t dropped;
	uint64_t lines_total;
	uint64_t bytes_total;
	uint64_t window_start_us; /* start of the current second */
	uint64_t bytes; /* written in the current second */
	uint32_t nr_events;
	struct log_event events[LOG_EVENTS_MAX];
	struct log_event others; /* all events beyond LOG_EVENTS_MAX */
} logger = {
	.level = LOG_DECISIONS,
	.opts = { log_write, NULL, log_now_us },
	.others = { .name = LOG_OTHERS_NAME },
};

void log_setup(const struct log_opts *opts)
{
	logger.opts = *opts;
	logger.window_start_us = 0;
	logger.bytes = 0;
	logger.nr_events = 0;
	logger.others.lines = 0;
	logger.others.omitted = 0;
}

void log_level(enum log_level level)
{
	logger.level = level;
}

uint64_t log_lines(void)
{
	return logger.lines_total;
}

uint64_t log_bytes(void)
{
	return logger.bytes_total;
}

uint64_t log_dropped(void)
{
	return logger.dropped;
}

static bool log_is_enabled(const char *line)
{
	if (logger.level == LOG_EVENTS)
		return !g_str_has_prefix(line, "event=route ") &&
		       !g_str_has_prefix(line, "event=place ");
	return logger.level != LOG_NONE;
}

/* Returns the event of a line, logger.others if the table is full. */
static struct log_event *log_event_of(const char *line)
{
	const char *name = g_str_has_prefix(line, "event=") ? line + 6 : line;
	size_t size = MIN(strcspn(name, " "), LOG_EVENT_NAME_BYTES - 1);
	struct log_event *event;

	for (uint32_t i = 0; i < logger.nr_events; i++)
		if (!strncmp(logger.events[i].name, name, size) &&
		    !logger.events[i].name[size])
			return &logger.events[i];
	if (logger.nr_events == LOG_EVENTS_MAX)
		return &logger.others;
	event = &logger.events[logger.nr_events++];
	memset(event, 0, sizeof(*event));
	memcpy(event->name, name, size);
	return event;
}

/* Returns false if the line was dropped. */
static bool log_emit(const char *line)
{
	char text[LOG_LINE_MAX_BYTES];
	gint64 now_us = g_get_real_time();
	GDateTime *now = g_date_time_new_from_unix_utc(now_us / 1000000);
	char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	bool written;
	int size = g_snprintf(text, sizeof(text), "time=%s.%06dZ %s\n", stamp,
			      (int)(now_us % 1000000), line);

	if (size >= (int)sizeof(text)) {
		size = sizeof(text) - 1;
		text[size - 1] = '\n';
	}
	logger.bytes += (uint64_t)size;
	logger.bytes_total += (uint64_t)size;
	logger.lines_total++;
	written = logger.opts.write(logger.opts.ctx, text, (size_t)size);
	if (!written)
		logger.dropped++;
	g_free(stamp);
	g_date_time_unref(now);
	return written;
}

/*
 * Starts a new second of an event; logs the number of lines omitted so far. If
 * that line is dropped, the number is logged after a later second.
 */
static void log_next_event_window(struct log_event *event)
{
	char text[128];

	event->lines = 0;
	if (!event->omitted)
		return;
	g_snprintf(text, sizeof(text), "event=log-omitted of=%s lines=%u",
		   event->name, event->omitted);
	if (log_emit(text))
		event->omitted = 0;
}

static void log_next_window(uint64_t now_us)
{
	logger.window_start_us = now_us;
	logger.bytes = 0;
	for (uint32_t i = 0; i < logger.nr_events; i++)
		log_next_event_window(&logger.events[i]);
	log_next_event_window(&logger.others);
}

void log_line(const char *line)
{
	uint64_t now_us = logger.opts.now_us();
	struct log_event *event;

	if (!log_is_enabled(line))
		return;
	if (now_us - logger.window_start_us >= LOG_WINDOW_US)
		log_next_window(now_us);
	event = log_event_of(line);
	if (event->lines >= LOG_EVENT_LINES_PER_S ||
	    logger.bytes >= LOG_BYTES_PER_S) {
		logger.dropped++;
		event->omitted++;
		return;
	}
	event->lines++;
	log_emit(line);
}
