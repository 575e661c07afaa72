/**
 * @file test_log.c
 * Tests the limits of the log and its behaviour when the pipe is full.
 */

#include <string.h>
#include <unistd.h>

#include "log.h"
#include "suite.h"

struct sink {
	uint32_t lines;
	uint64_t bytes;
	uint64_t omitted; /* sum of lines= of the log-omitted lines */
	bool full; /* accepts no lines */
	char last[256]; /* the last line, truncated */
};

static uint64_t test_now_us = 5000000;

static uint64_t test_clock(void)
{
	return test_now_us;
}

static bool sink_write(void *ctx, const char *text, size_t size)
{
	struct sink *sink = ctx;
	const char *omitted;

	if (sink->full)
		return false;
	sink->lines++;
	sink->bytes += size;
	omitted = strstr(text, "event=log-omitted of=");
	if (omitted)
		sink->omitted += g_ascii_strtoull(
			strstr(omitted, " lines=") + 7, NULL, 10);
	g_strlcpy(sink->last, text, sizeof(sink->last));
	return true;
}

static struct sink *sink_new(void)
{
	static struct sink sink;
	struct log_opts opts = { sink_write, &sink, test_clock };

	memset(&sink, 0, sizeof(sink));
	log_setup(&opts);
	return &sink;
}

/* Guards against a frequent event that floods the reader of the log. */
START_TEST(test_event_limit)
{
	struct sink *sink = sink_new();

	for (int i = 0; i < 20000; i++)
		log_line("event=storm n=1");
	ck_assert_uint_eq(sink->lines, LOG_EVENT_LINES_PER_S);
	/* Other events are still written. */
	log_line("event=rare n=1");
	ck_assert_uint_eq(sink->lines, LOG_EVENT_LINES_PER_S + 1);
	test_now_us += 1000000;
	log_line("event=rare n=2");
	ck_assert_uint_eq(sink->lines, LOG_EVENT_LINES_PER_S + 3);
	log_line("event=storm n=2");
	ck_assert_uint_eq(sink->lines, LOG_EVENT_LINES_PER_S + 4);
}
END_TEST

/* Guards against many events that together flood the reader of the log. */
START_TEST(test_byte_limit)
{
	struct sink *sink = sink_new();
	char line[600];

	for (int i = 0; i < 100000; i++) {
		g_snprintf(line, sizeof(line), "event=kind%d %0500d", i % 20,
			   i);
		log_line(line);
	}
	ck_assert_uint_le(sink->bytes, LOG_BYTES_PER_S + sizeof(line) + 64);
}
END_TEST

#define MANY_EVENTS 400 /* more than the log tracks */

/*
 * Guards against lines of an event that the log doesn't track which are dropped
 * without a log-omitted line.
 */
START_TEST(test_many_events)
{
	struct sink *sink = sink_new();
	uint64_t dropped = log_dropped();
	char line[64];

	for (uint32_t i = 0; i < MANY_EVENTS; i++) {
		g_snprintf(line, sizeof(line), "event=many%u n=1", i);
		log_line(line);
	}
	ck_assert_uint_eq(sink->lines, MANY_EVENTS);
	for (uint32_t i = 0; i < LOG_EVENT_LINES_PER_S * 2; i++)
		log_line(line);
	ck_assert_uint_lt(sink->lines, MANY_EVENTS + LOG_EVENT_LINES_PER_S + 1);
	ck_assert_uint_eq(sink->lines + log_dropped() - dropped,
			  MANY_EVENTS + LOG_EVENT_LINES_PER_S * 2);
	test_now_us += 1000000;
	log_line("event=many0 n=2");
	ck_assert_uint_eq(sink->omitted, log_dropped() - dropped);
	/* An event that isn't tracked is written again in the next second. */
	log_line(line);
	ck_assert(strstr(sink->last, line) != NULL);
}
END_TEST

/* Guards against a log-omitted line that is lost because the pipe is full. */
START_TEST(test_omitted_line_repeated)
{
	struct sink *sink = sink_new();

	for (uint32_t i = 0; i < LOG_EVENT_LINES_PER_S + 7; i++)
		log_line("event=storm n=1");
	sink->full = true;
	test_now_us += 1000000;
	log_line("event=rare n=1");
	sink->full = false;
	test_now_us += 1000000;
	log_line("event=rare n=2");
	ck_assert_uint_eq(sink->omitted, 7);
	test_now_us += 1000000;
	log_line("event=rare n=3");
	ck_assert_uint_eq(sink->omitted, 7);
}
END_TEST

/* Guards against a slow reader that blocks the process. */
START_TEST(test_full_pipe)
{
	struct sink *sink = sink_new();
	uint64_t before = log_dropped();

	sink->full = true;
	log_line("event=a");
	ck_assert_uint_eq(log_dropped(), before + 1);
	sink->full = false;
	log_line("event=a");
	ck_assert(strstr(sink->last, "event=a\n") != NULL);
}
END_TEST

/*
 * Guards against requests that wait for the log while the reader of a real pipe
 * is stopped. Uses log_write(), the writer of the daemon.
 */
START_TEST(test_stopped_reader)
{
	struct log_opts opts = { log_write, NULL, test_clock };
	uint64_t before = log_dropped();
	uint64_t bytes = log_bytes();
	int saved = dup(STDOUT_FILENO);
	int ends[2];

	ck_assert_int_eq(pipe(ends), 0);
	ck_assert_int_ge(dup2(ends[1], STDOUT_FILENO), 0);
	log_setup(&opts);
	/* More bytes than a pipe holds, within the limits of each second. */
	for (int i = 0; i < 20000; i++) {
		test_now_us += 10000;
		log_line("event=stopped-reader text=0123456789012345678901234");
	}
	ck_assert_int_ge(dup2(saved, STDOUT_FILENO), 0);
	close(saved);
	close(ends[0]);
	close(ends[1]);
	ck_assert_uint_gt(log_dropped(), before + 10000);
	ck_assert_uint_gt(log_bytes(), bytes);
}
END_TEST

SUITE_MAIN("log", test_event_limit, test_byte_limit, test_many_events,
	   test_omitted_line_repeated, test_full_pipe, test_stopped_reader)
