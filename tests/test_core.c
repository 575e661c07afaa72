/**
 * @file test_core.c
 * Tests of timers, field tables, codecs and counters.
 */

#include <string.h>

#include "counter.h"
#include "frame.h"
#include "json.h"
#include "msg_raft.h"
#include "msg_request.h"
#include "pbmap.h"
#include "platform.h"
#include "schema.h"
#include "schema_tables.h"
#include "suite.h"
#include "timer.h"

static uint32_t nr_fired;

static void count_fired(void *data, uint64_t now_us)
{
	nr_fired++;
}

/* Guards against timers that aren't called, or early, after heap changes. */
START_TEST(test_timer_order)
{
	struct timers *timers = timers_new();
	struct timer timer[50] = { 0 };

	nr_fired = 0;
	for (uint32_t i = 0; i < 50; i++) {
		timer[i].fn = count_fired;
		timer_set(timers, &timer[i], (i * 37) % 50 + 1);
	}
	for (uint32_t i = 0; i < 50; i += 2)
		timer_cancel(timers, &timer[i]);
	for (uint64_t now_us = 1; now_us <= 50; now_us++) {
		timers_run(timers, now_us);
		for (uint32_t i = 1; i < 50; i += 2)
			ck_assert_int_eq(timer_armed(&timer[i]),
					 timer[i].due_us > now_us);
	}
	ck_assert_uint_eq(nr_fired, 25);
	timers_free(timers);
}
END_TEST

/* Guards against a field table that doesn't match its protobuf message. */
START_TEST(test_every_type_round_trips)
{
	for (uint32_t type = 1; type < OP_FIRST; type++) {
		GByteArray *out;
		uint32_t got_type;
		void *got = NULL;
		void *body;
		size_t used;

		if (!schema_of(type))
			continue;
		out = g_byte_array_new();
		body = schema_alloc(type);
		frame_append(out, type, body);
		ck_assert_int_eq(frame_read(out->data, out->len, &used,
					    &got_type, &got),
				 RESULT_OK);
		ck_assert_uint_eq(got_type, type);
		ck_assert_uint_eq(used, out->len);
		record_unref((struct record){ type, body });
		record_unref((struct record){ type, got });
		g_byte_array_unref(out);
	}
}
END_TEST

/* Guards against the loss of a command in a log entry of an append message. */
START_TEST(test_nested_record)
{
	struct request *command = schema_alloc(MSG_REQUEST);
	struct append *append = schema_alloc(MSG_APPEND);
	struct append *got = NULL;
	GByteArray *out = g_byte_array_new();
	const struct request *copy;

	command->body = g_bytes_new("photo", 5);
	TEXT_SET(command->service, "loft repair desk");
	append->nr_entries = 1;
	append->entries = g_new0(struct log_entry, 1);
	append->entries[0].index = 7;
	append->entries[0].command = (struct record){ MSG_REQUEST, command };
	pb_encode(out, MSG_APPEND, append);
	ck_assert_int_eq(pb_decode(MSG_APPEND, out->data, out->len,
				   (void **)&got),
			 RESULT_OK);
	ck_assert_uint_eq(got->entries[0].index, 7);
	copy = got->entries[0].command.body;
	ck_assert_str_eq(copy->service, "loft repair desk");
	ck_assert(g_bytes_equal(copy->body, command->body));
	record_unref((struct record){ MSG_APPEND, append });
	record_unref((struct record){ MSG_APPEND, got });
	g_byte_array_unref(out);
}
END_TEST

struct json_case {
	const char *text;
	enum result result;
};

/* Guards against JSON members that are accepted with invalid values. */
START_TEST(test_json_input)
{
	static const struct json_case cases[] = {
		{ "{\"task_id\": 3, \"cpu_millis\": 500}", RESULT_OK },
		{ "{\"task_id\": -3}", RESULT_OUT_OF_RANGE },
		{ "{\"cpu_millis\": 4294967296}", RESULT_OUT_OF_RANGE },
		{ "{\"cpu_millis\": \"5\"}", RESULT_MALFORMED },
		{ "{\"cpus\": 5}", RESULT_MALFORMED },
		{ "[]", RESULT_MALFORMED },
		{ "{", RESULT_MALFORMED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *body = NULL;

		ck_assert_int_eq(json_text_to_body(PLATFORM_START,
						   cases[i].text, -1, &body,
						   NULL),
				 cases[i].result);
		record_unref((struct record){ PLATFORM_START, body });
	}
}
END_TEST

#define DEEP_LEVELS 1000000

/* Returns @a head, @a open and @a close DEEP_LEVELS times each, and @a tail. */
static char *deep_text(const char *head, const char *open, const char *close,
		       const char *tail)
{
	GString *text = g_string_new(head);

	for (uint32_t i = 0; i < DEEP_LEVELS; i++)
		g_string_append(text, open);
	for (uint32_t i = 0; i < DEEP_LEVELS; i++)
		g_string_append(text, close);
	g_string_append(text, tail);
	return g_string_free(text, FALSE);
}

/*
 * Guards against a stack overflow in json-glib by text that is nested a million
 * levels deep.
 */
START_TEST(test_json_nested_deeply)
{
	static const char *const parts[][4] = {
		{ "", "[", "]", "" },
		{ "{\"task_id\":", "[", "]", "}" },
		{ "", "{\"a\":", "}", "" },
		{ "", "[", "", "" },
		{ "", "{\"a\":", "", "" },
		{ "\n\n", "[{\"a\":", "}]", "" },
		/*
		 * Brackets after text that isn't JSON, in which a scanner might
		 * not count them: a comment, a string in single quotes, an
		 * unpaired surrogate.
		 */
		{ "/*\"*/", "[", "]", "" },
		{ "{'a\"':", "[", "]", "}" },
		{ "//\"\n", "[", "]", "" },
		{ "[\"\\ud800\\\"\",", "[", "]", "]" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		char *text = deep_text(parts[i][0], parts[i][1], parts[i][2],
				       parts[i][3]);
		char *error = NULL;
		void *body = NULL;

		ck_assert_int_eq(json_text_to_body(PLATFORM_START, text, -1,
						   &body, &error),
				 RESULT_MALFORMED);
		ck_assert_ptr_nonnull(error);
		if (i < 6)
			ck_assert_msg(strstr(error, "nested") != NULL, "%s",
				      error);
		if (i == 5)
			ck_assert_ptr_nonnull(strstr(error, "line 3"));
		g_free(error);
		g_free(text);
	}
}
END_TEST

/*
 * Guards against text that isn't JSON but is accepted by json-glib, which reads
 * 010 as 8, only the first of two documents, and a string up to a NUL.
 */
START_TEST(test_json_misread)
{
	static const char *const texts[] = {
		"{\"cpu_millis\":/*x*/3}",
		"{'cpu_millis':3}",
		"var x={\"cpu_millis\":3};",
		"{\"cpu_millis\":010}",
		"{\"cpu_millis\":0x10}",
		"{\"cpu_millis\":$10}",
		"{\"cpu_millis\":0b1}",
		"{\"cpu_millis\":- 3}",
		"{\"cpu_millis\":3}{}",
		"\xef\xbb\xbf{\"cpu_millis\":3}",
		"{\"cpu_millis\":-18446744073709551615}",
		"{\"cpu_millis\":3,}",
		"{\"kind\":\"a\\u0000b\"}",
		"{\"kind\":\"a\\000b\"}",
		"{\"kind\":\"a\\xb\"}",
		"{\"kind\":\"a\\udc00b\"}",
		"{\"kind\":\"a\xc3\"}",
		"{\"kind\":\"a",
		"",
		" ",
		"{\"cpu_millis\":tru}",
		"]",
	};
	static const char good[] =
		"{\"kind\":\"\\ud83d\\ude00 [{\\\"\\\\\",\r\n\t"
		"\"cpu_millis\" : 0 }\n";
	void *body = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char *error = NULL;

		ck_assert_msg(json_text_to_body(PLATFORM_START, texts[i], -1,
						&body,
						&error) == RESULT_MALFORMED,
			      "%s", texts[i]);
		ck_assert_ptr_nonnull(error);
		g_free(error);
	}
	ck_assert_int_eq(json_text_to_body(PLATFORM_START, good, -1, &body,
					   NULL),
			 RESULT_OK);
	ck_assert_str_eq(((struct platform_start *)body)->kind,
			 "\xf0\x9f\x98\x80 [{\"\\");
	record_unref((struct record){ PLATFORM_START, body });
}
END_TEST

/* Guards against decoders that read beyond their input or never return. */
START_TEST(test_random_bytes)
{
	GRand *rand = g_rand_new_with_seed(20261204);
	uint8_t data[64];

	for (uint32_t round = 0; round < 20000; round++) {
		size_t size = (size_t)g_rand_int_range(rand, 0, sizeof(data));
		uint32_t type;
		void *body = NULL;
		size_t used;

		for (size_t i = 0; i < size; i++)
			data[i] = (uint8_t)g_rand_int(rand);
		if (size > 5) {
			data[0] = data[1] = data[2] = data[4] = 0;
			data[3] = (uint8_t)(size - 4);
			data[5] %= 157;
		}
		if (frame_read(data, size, &used, &type, &body) == RESULT_OK)
			record_unref((struct record){ type, body });
	}
	g_rand_free(rand);
}
END_TEST

/* Guards against durations that are counted twice or in the wrong bucket. */
START_TEST(test_histogram)
{
	static const uint32_t durations_ms[] = { 0, 5, 6, 1000, 30001 };
	struct counters *counters = counters_new();
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(durations_ms); i++)
		counter_observe(counters, "x_ms", durations_ms[i]);
	counters_print(counters, out);
	ck_assert(strstr(out->str, "masticreach_x_ms_bucket{le=\"5\"} 2\n"));
	ck_assert(strstr(out->str, "masticreach_x_ms_bucket{le=\"10\"} 3\n"));
	ck_assert(strstr(out->str, "masticreach_x_ms_bucket{le=\"500\"} 3\n"));
	ck_assert(strstr(out->str, "masticreach_x_ms_bucket{le=\"1000\"} 4\n"));
	ck_assert(strstr(out->str, "masticreach_x_ms_bucket{le=\"+Inf\"} 5\n"));
	ck_assert(strstr(out->str, "masticreach_x_ms_sum 31012\n"));
	ck_assert(strstr(out->str, "masticreach_x_ms_count 5\n"));
	g_string_free(out, TRUE);
	counters_free(counters);
}
END_TEST

/* Guards against printed counters without a # TYPE line or with several. */
START_TEST(test_exposition)
{
	static const char *const expected =
		"# TYPE masticreach_a counter\n"
		"masticreach_a 2\n"
		"# TYPE masticreach_a_x gauge\n"
		"masticreach_a_x 7\n"
		"# TYPE masticreach_b counter\n"
		"masticreach_b{how=\"x\"} 1\n"
		"masticreach_b{how=\"y\"} 2\n"
		"# TYPE masticreach_c counter\n"
		"masticreach_c{how=\"x\",why=\"z\"} 1\n"
		"# TYPE masticreach_d counter\n"
		"masticreach_d 9\n";
	struct counters *counters = counters_new();
	GString *out = g_string_new(NULL);

	counter_add(counters, "a", 2);
	counter_set(counters, "a_x", 7);
	counter_inc_label(counters, "b", "how", "y");
	counter_inc_label(counters, "b", "how", "x");
	counter_inc_label(counters, "b", "how", "y");
	counter_inc_label2(counters, "c", "how", "x", "why", "z");
	counter_set_total(counters, "d", 9);
	counters_print(counters, out);
	ck_assert_str_eq(out->str, expected);
	g_string_free(out, TRUE);
	counters_free(counters);
}
END_TEST

/*
 * Guards against counters that use memory without a limit, and against changes
 * of counters that are neither recorded nor counted as omitted.
 */
START_TEST(test_counters_are_bounded)
{
	struct counters *counters = counters_new();
	GString *out = g_string_new(NULL);
	char name[32];

	for (uint32_t i = 0; i < 2000; i++) {
		g_snprintf(name, sizeof(name), "n%u", i);
		counter_add(counters, name, 1);
	}
	counter_add(counters, "n0", 1);
	ck_assert_uint_eq(counter_get(counters, "n0"), 2);
	counters_print(counters, out);
	ck_assert(strstr(out->str, "masticreach_counters_omitted 1488\n"));
	g_string_free(out, TRUE);
	counters_free(counters);
}
END_TEST

SUITE_MAIN("core", test_timer_order, test_every_type_round_trips,
	   test_nested_record, test_json_input, test_json_nested_deeply,
	   test_json_misread, test_random_bytes, test_histogram,
	   test_exposition, test_counters_are_bounded)
