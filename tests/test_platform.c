/**
 * @file test_platform.c
 * Tests of the decoders of the platform's messages, with valid and invalid
 * messages and random bytes.
 */

#include <string.h>

#include "adviser.h"
#include "config_doc.h"
#include "executor_doc.h"
#include "op.h"
#include "schema.h"
#include "submission_doc.h"
#include "suite.h"

#define RANDOM_ROUNDS 3000

struct text_case {
	const char *text;
	enum result result;
};

#define STEP "{\"count\":2,\"cpu\":500,\"memMb\":256}"

static const struct text_case submissions[] = {
	{ "{\"spec\":\"x\",\"steps\":[" STEP "]}", RESULT_OK },
	{ "{\"steps\":[" STEP "," STEP "],\"more\":1}", RESULT_OK },
	{ "", RESULT_MALFORMED },
	{ "[]", RESULT_MALFORMED },
	{ "{\"steps\":[" STEP "]", RESULT_MALFORMED },
	{ "{\"spec\":\"x\"}", RESULT_MALFORMED },
	{ "{\"steps\":[]}", RESULT_MALFORMED },
	{ "{\"steps\":[7]}", RESULT_MALFORMED },
	{ "{\"steps\":[{}]}", RESULT_MALFORMED },
	{ "{\"steps\":[{\"count\":-1}]}", RESULT_MALFORMED },
	{ "{\"steps\":[{\"count\":1.5}]}", RESULT_MALFORMED },
	{ "{\"steps\":[{\"count\":\"2\"}]}", RESULT_MALFORMED },
	{ "{\"steps\":[{\"count\":1,\"cpu\":99999999999}]}", RESULT_MALFORMED },
	{ "{\"steps\":[{\"count\":1,\"after\":[-1]}]}", RESULT_MALFORMED },
	{ "{\"steps\":[{\"count\":1,\"gang\":1}]}", RESULT_MALFORMED },
	{ "{\"spec\":7,\"steps\":[" STEP "]}", RESULT_MALFORMED },
};

/*
 * Guards against invalid submissions that are accepted, and against valid ones
 * that are refused.
 */
START_TEST(test_submissions)
{
	for (size_t i = 0; i < G_N_ELEMENTS(submissions); i++) {
		const struct text_case *c = &submissions[i];
		struct flow_record record;
		const char *fault = NULL;

		ck_assert_msg(submission_read(c->text, strlen(c->text), &record,
					      &fault) == c->result,
			      "%s", c->text);
		ck_assert_msg((fault != NULL) == (c->result != RESULT_OK), "%s",
			      c->text);
		submission_clear(&record);
	}
}
END_TEST

/* Guards against fields of a submission that are stored in a wrong member. */
START_TEST(test_submission_fields)
{
	static const char text[] =
		"{\"spec\":\"s\",\"repeats\":3,\"firstMs\":5,\"intervalMs\":7,"
		"\"steps\":[{\"count\":1},{\"count\":4,\"cpu\":500,"
		"\"memMb\":256,\"gpu\":1,\"estimateMs\":900,\"after\":[0],"
		"\"savesProgress\":true,\"gang\":true,\"sameRack\":true,"
		"\"speculative\":true,\"longRunning\":true,\"fills\":true,"
		"\"image\":\"im\",\"requiredLabel\":\"l\","
		"\"dataRack\":\"r1\",\"maxPerServer\":2,\"targetMs\":125,"
		"\"maxUnavailable\":3}]}";
	struct flow_record record;
	const struct flow_step *step;
	const char *fault;

	ck_assert_int_eq(submission_read(text, strlen(text), &record, &fault),
			 RESULT_OK);
	ck_assert_uint_eq(record.nr_steps, 2);
	ck_assert_uint_eq(record.repeats, 3);
	ck_assert_uint_eq(record.first_ms, 5);
	ck_assert_uint_eq(record.interval_ms, 7);
	ck_assert_uint_eq(g_bytes_get_size(record.spec), 1);
	step = &record.steps[1];
	ck_assert_uint_eq(step->count, 4);
	ck_assert_uint_eq(step->cpu_millis, 500);
	ck_assert_uint_eq(step->memory_mib, 256);
	ck_assert_uint_eq(step->accelerators, 1);
	ck_assert_uint_eq(step->estimate_ms, 900);
	ck_assert_uint_eq(step->nr_after, 1);
	ck_assert(step->checkpoints && step->gang && step->same_rack);
	ck_assert(step->copies && step->lasting && step->filler);
	ck_assert_str_eq(step->image, "im");
	ck_assert_str_eq(step->label, "l");
	ck_assert_str_eq(step->data_rack, "r1");
	ck_assert_uint_eq(step->max_per_vm, 2);
	ck_assert_uint_eq(step->target_ms, 125);
	ck_assert_uint_eq(step->max_unavailable, 3);
	submission_clear(&record);
}
END_TEST

#define ROUTE                                                    \
	"{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\"," \
	"\"kind\":\"unsafe\",\"service\":\"s\","                 \
	"\"timeoutMs\":3000,\"sloMs\":250,\"priority\":2,"       \
	"\"attempts\":4,\"slackFactor\":1.5}"
#define SERVICE                                              \
	"{\"name\":\"s\",\"healthPath\":\"/health\","        \
	"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false," \
	"\"coldStartS\":0.0,\"warmupPerS\":0.0,"             \
	"\"enforcesCapacity\":true,\"standby\":false}"
#define LIMITS                                                          \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144," \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"

static const struct text_case configs[] = {
	{ "{\"version\":7,\"routes\":[" ROUTE "],\"services\":[" SERVICE
	  "]," LIMITS "}",
	  RESULT_OK },
	{ "{\"version\":7,\"routes\":[" ROUTE "],\"services\":[" SERVICE
	  "]," LIMITS,
	  RESULT_MALFORMED },
	{ "{\"routes\":[],\"services\":[]," LIMITS "}", RESULT_MALFORMED },
	{ "{\"version\":-1,\"routes\":[],\"services\":[]," LIMITS "}",
	  RESULT_MALFORMED },
	{ "{\"version\":\"7\",\"routes\":[],\"services\":[]," LIMITS "}",
	  RESULT_MALFORMED },
	{ "{\"version\":7,\"services\":[]," LIMITS "}", RESULT_MALFORMED },
	{ "{\"version\":7,\"routes\":{},\"services\":[]," LIMITS "}",
	  RESULT_MALFORMED },
	{ "{\"version\":7,\"routes\":[{\"host\":\"h\"}],\"services\":[]," LIMITS
	  "}",
	  RESULT_MALFORMED },
};

/* Guards against an invalid configuration that is accepted. */
START_TEST(test_configs)
{
	static const char *const zones[] = { "z1", "z2", NULL };

	for (size_t i = 0; i < G_N_ELEMENTS(configs); i++) {
		const struct text_case *c = &configs[i];
		GBytes *text = g_bytes_new_static(c->text, strlen(c->text));
		struct bundle *bundle = NULL;
		const char *fault = NULL;

		ck_assert_msg(config_read(text, zones, "op", &bundle, &fault) ==
				      c->result,
			      "%s", c->text);
		if (bundle) {
			ck_assert_uint_eq(bundle->version, 7);
			ck_assert_uint_eq(bundle->nr_zones, 2);
			ck_assert_uint_eq(bundle->queues[0].slack_permille,
					  1500);
			ck_assert_uint_eq(bundle->queues[0].slo_ms, 250);
			ck_assert(bundle->pools[0].enforces_capacity);
			ck_assert(g_bytes_equal(bundle->document, text));
			record_unref((struct record){ OP_BUNDLE_PUT, bundle });
		}
		g_bytes_unref(text);
	}
}
END_TEST

#define HEARTBEAT_AT(addr)                                         \
	"\"service\":\"s\",\"addr\":\"" addr "\",\"zone\":\"z1\"," \
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","      \
	"\"warmupLeftMs\":0,"                                      \
	"\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":1},"  \
	"\"labels\":[\"a\",\"r1-3\"],\"serverTimeMs\":482113"
#define HEARTBEAT HEARTBEAT_AT("10.0.0.9:80")

static const struct text_case heartbeats[] = {
	{ "{" HEARTBEAT ",\"seq\":4,\"born\":9}", RESULT_OK },
	{ "{" HEARTBEAT ",\"seq\":4}", RESULT_MALFORMED },
	{ "{" HEARTBEAT ",\"born\":9}", RESULT_MALFORMED },
	{ "{" HEARTBEAT ",\"seq\":\"4\",\"born\":9}", RESULT_MALFORMED },
	{ "{\"seq\":4,\"born\":9}", RESULT_MALFORMED },
	{ "nonsense", RESULT_MALFORMED },
};

/* Guards against incomplete or malformed heartbeats that are accepted. */
START_TEST(test_heartbeats)
{
	for (size_t i = 0; i < G_N_ELEMENTS(heartbeats); i++) {
		const struct text_case *c = &heartbeats[i];
		struct executor_heartbeat heartbeat;
		const char *fault = NULL;

		ck_assert_msg(executor_heartbeat_read(c->text, strlen(c->text),
						      &heartbeat,
						      &fault) == c->result,
			      "%s", c->text);
		if (c->result != RESULT_OK)
			continue;
		ck_assert_uint_eq(heartbeat.seq, 4);
		ck_assert_uint_eq(heartbeat.worker.born_ms, 9);
		ck_assert_uint_eq(heartbeat.worker.cpu_millis, 16000);
		ck_assert_str_eq(heartbeat.worker.kind, "a");
		ck_assert_str_eq(heartbeat.worker.rack, "r1-3");
	}
}
END_TEST

#define NUMBERS ",\"seq\":4,\"born\":9}"

/* Heartbeats that have to be refused, and the member that is invalid. */
static const struct fault_case {
	const char *text;
	const char *fault;
} invalid_heartbeats[] = {
	{ "{" HEARTBEAT_AT("127.0.0.1:70000") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:65536") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:0") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:-1") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:+80") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:80x") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:http") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1:") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("127.0.0.1") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("host:80") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("http://127.0.0.1:80") NUMBERS, "addr" },
	{ "{" HEARTBEAT_AT("") NUMBERS, "addr" },
	{ "{" HEARTBEAT ",\"seq\":9007199254740993,\"born\":9}", "seq" },
	{ "{" HEARTBEAT ",\"seq\":4,\"born\":9007199254740993}", "born" },
	{ "{" HEARTBEAT ",\"seq\":9223372036854775807,\"born\":9}", "seq" },
};

/*
 * Guards against the use of a heartbeat that the worker didn't send, with an
 * address that can't be connected to or with numbers that JSON can't represent
 * exactly (issue 20: no call reached the worker, or all its later heartbeats
 * were outdated).
 */
START_TEST(test_invalid_heartbeats)
{
	static const char *const good[] = {
		"{" HEARTBEAT_AT("[::1]:65535") NUMBERS,
		"{" HEARTBEAT_AT("10.0.0.9:1") NUMBERS,
		"{" HEARTBEAT ",\"seq\":9007199254740992,\"born\":9}",
	};
	struct executor_heartbeat heartbeat;
	const char *fault;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_heartbeats); i++) {
		const struct fault_case *c = &invalid_heartbeats[i];

		fault = NULL;
		ck_assert_msg(executor_heartbeat_read(c->text, strlen(c->text),
						      &heartbeat, &fault) ==
				      RESULT_MALFORMED,
			      "%s", c->text);
		ck_assert_str_eq(fault, c->fault);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(good); i++)
		ck_assert_msg(executor_heartbeat_read(good[i], strlen(good[i]),
						      &heartbeat,
						      &fault) == RESULT_OK,
			      "%s", good[i]);
}
END_TEST

/* Guards against answers with invalid parts that are used as complete ones. */
START_TEST(test_replies)
{
	static const char list[] =
		"{\"serverTimeMs\":50,\"born\":9,"
		"\"running\":[[\"a.0.0.1\",2,\"c\",41,7]],"
		"\"endedRuns\":[[58,\"a.0.0.9\",1,\"done\",\"\"]]}";
	static const char truncated[] =
		"{\"serverTimeMs\":50,\"born\":9,\"running\":[[\"a\",2]";
	static const char wrong_born[] =
		"{\"serverTimeMs\":50,\"born\":\"9\",\"running\":[],"
		"\"endedRuns\":[]}";
	static const char wrong_reason[] = "{\"serverTimeMs\":50,\"reason\":7}";
	static const char large_clock[] =
		"{\"serverTimeMs\":9007199254740993,\"born\":9,"
		"\"running\":[],\"endedRuns\":[]}";
	static const char fence[] =
		"{\"serverTimeMs\":50,\"reason\":\"fence\"}";
	static const char first_ms[] = "{\"serverTimeMs\":0}";
	struct exec_reply reply;

	executor_reply_read(EXEC_POLL, 200, list, strlen(list), &reply);
	ck_assert_int_eq(reply.verdict, EXEC_DONE);
	ck_assert_uint_eq(reply.clock_ms, 50);
	ck_assert_uint_eq(reply.nr_runs, 1);
	ck_assert_uint_eq(reply.runs[0].run, 2);
	ck_assert_uint_eq(reply.runs[0].percent, 41);
	ck_assert_uint_eq(reply.runs[0].figure, 7);
	ck_assert_uint_eq(reply.nr_ends, 1);
	ck_assert_uint_eq(reply.ends[0].nr, 58);
	ck_assert_uint_eq(reply.ends[0].end, FLOW_END_DONE);
	ck_assert_uint_eq(reply.nr_unreadable_runs, 0);
	ck_assert_uint_eq(reply.nr_unreadable_ends, 0);
	ck_assert_ptr_null(reply.fault);
	executor_reply_clear(&reply);
	executor_reply_read(EXEC_POLL, 200, truncated, strlen(truncated),
			    &reply);
	ck_assert_int_eq(reply.verdict, EXEC_NO_ANSWER);
	ck_assert_ptr_nonnull(reply.fault);
	executor_reply_clear(&reply);
	executor_reply_read(EXEC_POLL, 200, wrong_born, strlen(wrong_born),
			    &reply);
	ck_assert_int_eq(reply.verdict, EXEC_NO_ANSWER);
	ck_assert_uint_eq(reply.clock_ms, 0);
	ck_assert_str_eq(reply.fault, "born");
	executor_reply_clear(&reply);
	executor_reply_read(EXEC_START, 409, wrong_reason, strlen(wrong_reason),
			    &reply);
	ck_assert_int_eq(reply.verdict, EXEC_REFUSED);
	ck_assert_uint_eq(reply.result, RESULT_CONFLICT);
	ck_assert_str_eq(reply.fault, "reason");
	executor_reply_clear(&reply);
	/* No deadline can be calculated from a clock above 2^53. */
	executor_reply_read(EXEC_POLL, 200, large_clock, strlen(large_clock),
			    &reply);
	ck_assert_int_eq(reply.verdict, EXEC_NO_ANSWER);
	ck_assert_uint_eq(reply.clock_ms, 0);
	executor_reply_clear(&reply);
	/* A restarted worker's clock isn't taken for a missing one. */
	executor_reply_read(EXEC_START, 200, first_ms, strlen(first_ms),
			    &reply);
	ck_assert_int_eq(reply.verdict, EXEC_DONE);
	ck_assert_uint_eq(reply.clock_ms, 1);
	executor_reply_clear(&reply);
	executor_reply_read(EXEC_START, 409, fence, strlen(fence), &reply);
	ck_assert_int_eq(reply.verdict, EXEC_REFUSED);
	ck_assert_uint_eq(reply.result, RESULT_STALE);
	executor_reply_clear(&reply);
	executor_reply_read(EXEC_START, 500, "", 0, &reply);
	ck_assert_int_eq(reply.verdict, EXEC_NO_ANSWER);
	executor_reply_clear(&reply);
	executor_reply_read(EXEC_START, 421, "", 0, &reply);
	ck_assert_int_eq(reply.verdict, EXEC_OTHER_INCARNATION);
	executor_reply_clear(&reply);
}
END_TEST

/* Replaces the "@" in a text by a 0 that is nested @a levels deep. */
static char *nest(const char *text, uint32_t levels, const char *open,
		  const char *close)
{
	const char *at = strchr(text, '@');
	GString *out = g_string_new_len(text, at - text);

	for (uint32_t i = 0; i < levels; i++)
		g_string_append(out, open);
	g_string_append(out, "0");
	for (uint32_t i = 0; i < levels; i++)
		g_string_append(out, close);
	g_string_append(out, at + 1);
	return g_string_free(out, FALSE);
}

#define RUN1 "[\"a.0.0.1\",2,\"c\",41,7]"
#define RUN2 "[\"a.0.0.2\",3,\"\",0,0]"
#define END1 "[58,\"a.0.0.9\",1,\"done\",\"\"]"
#define END2 "[61,\"a.0.0.8\",1,\"failed\",\"\"]"
#define NAME127                                                            \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define OPEN10 "[[[[[[[[[["
#define CLOSE10 "]]]]]]]]]]"
#define DEEP40 \
	OPEN10 OPEN10 OPEN10 OPEN10 "\"[\"" CLOSE10 CLOSE10 CLOSE10 CLOSE10

/* Rows that aren't a run: wrong types, too large, too long or unreadable. */
static const char *const invalid_rows[] = {
	"7",
	"null",
	"{\"a\":1}",
	"[]",
	"[7,2,\"c\",41,7]",
	"[\"a.0.0.3\",\"2\",\"c\",41,7]",
	"[\"a.0.0.3\",-1,\"c\",41,7]",
	"[\"a.0.0.3\",1.5,\"c\",41,7]",
	"[\"a.0.0.3\",1e400,\"c\",41,7]",
	"[\"a.0.0.3\",4294967296,\"c\",41,7]",
	"[\"a.0.0.3\",18446744073709551617,\"c\",41,7]",
	"[\"a.0.0.3\",-18446744073709551615,\"c\",41,7]",
	"[\"" NAME127 "\",2,\"c\",41,7]",
	"[\"a.0.0.1\\u0000\",2,\"c\",41,7]",
	"[\"\\ud800\\\"\",2,\"c\",41,7]",
	"[\"a.0.0.3\xff\",2,\"c\",41,7]",
	DEEP40,
	"{\"x\\u0000\" :" DEEP40 "}",
};

/* Rows that aren't an end, and the lowest number that the end may have. */
static const struct {
	const char *row;
	uint64_t nr;
} invalid_ends[] = {
	{ "7", 59 },
	{ "[]", 59 },
	{ DEEP40, 59 },
	{ "[60,7,1,\"done\",\"\"]", 60 },
	{ "[60,\"a.0.0.7\",\"1\",\"done\",\"\"]", 60 },
	{ "[60,\"a.0.0.7\",4294967296,\"done\",\"\"]", 60 },
	{ "[60,\"" NAME127 "\",1,\"done\",\"\"]", 60 },
	{ "[60,\"a.0.0.7\",1,\"exploded\",\"\"]", 60 },
	{ "[60,\"a.0.0.7\",1," DEEP40 ",\"\"]", 60 },
	{ "[0,\"a.0.0.7\",1,\"done\",\"\"]", 59 },
	{ "[\"60\",\"a.0.0.7\",1,\"done\",\"\"]", 59 },
	{ "[9007199254740993,\"a.0.0.7\",1,\"done\",\"\"]", 59 },
	{ "[18446744073709551617,\"a.0.0.7\",1,\"done\",\"\"]", 59 },
};

static void read_poll(const char *runs, const char *ends,
		      struct exec_reply *reply)
{
	char *text = g_strdup_printf("{\"serverTimeMs\":50,\"born\":9,"
				     "\"running\":%s,\"endedRuns\":%s}",
				     runs, ends);

	executor_reply_read(EXEC_POLL, 200, text, strlen(text), reply);
	ck_assert_msg(reply->verdict == EXEC_DONE, "%s: %s", text,
		      reply->fault);
	ck_assert_uint_eq(reply->clock_ms, 50);
	ck_assert_uint_eq(reply->born_ms, 9);
	g_free(text);
}

/* Guards against a list that isn't read because of one invalid row. */
START_TEST(test_odd_rows)
{
	struct exec_reply reply;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_rows); i++) {
		char *runs = g_strdup_printf("[" RUN1 ",%s," RUN2 "]",
					     invalid_rows[i]);

		read_poll(runs, "[" END1 "]", &reply);
		ck_assert_msg(reply.nr_runs == 2, "%s", runs);
		ck_assert_str_eq(reply.runs[0].task, "a.0.0.1");
		ck_assert_str_eq(reply.runs[0].checkpoint, "c");
		ck_assert_str_eq(reply.runs[1].task, "a.0.0.2");
		ck_assert_uint_eq(reply.runs[1].run, 3);
		ck_assert_str_eq(reply.runs[1].checkpoint, "");
		ck_assert_uint_eq(reply.nr_unreadable_runs, 1);
		ck_assert_uint_eq(reply.nr_ends, 1);
		ck_assert_uint_eq(reply.nr_unreadable_ends, 0);
		executor_reply_clear(&reply);
		g_free(runs);
	}
	read_poll("{}", "7", &reply);
	ck_assert_uint_eq(reply.nr_unreadable_runs, 1);
	ck_assert_uint_eq(reply.nr_unreadable_ends, 1);
	ck_assert_uint_eq(reply.first_unreadable_nr, 1);
	executor_reply_clear(&reply);
}
END_TEST

/* Guards against an end that is acknowledged though it couldn't be read. */
START_TEST(test_invalid_ends)
{
	struct exec_reply reply;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_ends); i++) {
		char *ends = g_strdup_printf("[" END1 ",%s," END2 ",7]",
					     invalid_ends[i].row);

		read_poll("[" RUN1 "]", ends, &reply);
		ck_assert_uint_eq(reply.nr_runs, 1);
		ck_assert_msg(reply.nr_ends == 2, "%s", ends);
		ck_assert_uint_eq(reply.ends[0].nr, 58);
		ck_assert_uint_eq(reply.ends[1].nr, 61);
		ck_assert_uint_eq(reply.ends[1].end, FLOW_END_FAILED);
		ck_assert_str_eq(reply.ends[1].task, "a.0.0.8");
		ck_assert_uint_eq(reply.nr_unreadable_ends, 2);
		ck_assert_msg(reply.first_unreadable_nr == invalid_ends[i].nr,
			      "%s", ends);
		executor_reply_clear(&reply);
		g_free(ends);
	}
}
END_TEST

static const char *const invalid_advice[] = {
	"7",
	"[]",
	"[\"w3\"]",
	"[\"w3\",7]",
	"[18446744073709551617,\"t3\"]",
	"[\"w3\",1e400]",
	"[\"" NAME127 "\",\"t3\"]",
	"[\"w3\",\"" NAME127 "\"]",
	"[\"w3\xff\",\"t3\"]",
	"[\"w3\",\"t3\\u0000\"]",
	"{\"w3\":\"t3\"}",
	DEEP40,
};

static enum result read_advice(const char *rows, struct adviser_reply *reply)
{
	char *text = g_strdup_printf("{\"good\":%s,\"validMs\":3000}", rows);
	enum result res;

	memset(reply, 0, sizeof(*reply));
	reply->advice = g_array_new(FALSE, TRUE, sizeof(struct advice));
	res = adviser_reply_read(text, strlen(text), reply);
	g_free(text);
	return res;
}

/* Guards against advice that isn't used because of one invalid row. */
START_TEST(test_invalid_advice)
{
	struct adviser_reply reply;
	const struct advice *advice;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_advice); i++) {
		char *rows = g_strdup_printf(
			"[[\"w1\",\"t1\"],%s,[\"w2\",\"t2\",5]]",
			invalid_advice[i]);

		ck_assert_msg(read_advice(rows, &reply) == RESULT_OK, "%s",
			      rows);
		ck_assert_uint_eq(reply.advice->len, 2);
		ck_assert_uint_eq(reply.nr_unreadable, 1);
		advice = &g_array_index(reply.advice, struct advice, 1);
		ck_assert_str_eq(advice->worker, "w2");
		ck_assert_str_eq(advice->ticket, "t2");
		g_array_unref(reply.advice);
		g_free(rows);
	}
	ck_assert_int_eq(read_advice("[]", &reply), RESULT_OK);
	g_array_unref(reply.advice);
	/* Unlike [], this isn't advice that selects no worker. */
	ck_assert_int_eq(read_advice("[7]", &reply), RESULT_MALFORMED);
	ck_assert_str_eq(reply.fault, "good");
	g_array_unref(reply.advice);
	ck_assert_int_eq(read_advice("7", &reply), RESULT_MALFORMED);
	g_array_unref(reply.advice);
	ck_assert_int_eq(read_advice("[", &reply), RESULT_MALFORMED);
	ck_assert_ptr_nonnull(reply.fault);
	g_array_unref(reply.advice);
}
END_TEST

#define DEEP_LEVELS 1000000
#define NESTED_SUBMISSION "{\"x\":@,\"steps\":[" STEP "]}"
#define NESTED_CONFIG \
	"{\"x\":@,\"version\":7,\"routes\":[],\"services\":[]," LIMITS "}"
#define NESTED_HEARTBEAT "{\"x\":@," HEARTBEAT ",\"seq\":4,\"born\":9}"

/* Reads each kind of document with a nested member; checks the results. */
static void check_nested(uint32_t levels, const char *open, const char *close,
			 enum result result)
{
	char *submission = nest(NESTED_SUBMISSION, levels, open, close);
	char *config = nest(NESTED_CONFIG, levels, open, close);
	char *heartbeat = nest(NESTED_HEARTBEAT, levels, open, close);
	GBytes *bytes = g_bytes_new_take(config, strlen(config));
	const char *const zones[] = { NULL };
	struct flow_record record;
	struct executor_heartbeat read;
	struct bundle *bundle = NULL;
	const char *faults[3];

	ck_assert_int_eq(submission_read(submission, strlen(submission),
					 &record, &faults[0]),
			 result);
	submission_clear(&record);
	ck_assert_int_eq(config_read(bytes, zones, "op", &bundle, &faults[1]),
			 result);
	record_unref((struct record){ OP_BUNDLE_PUT, bundle });
	ck_assert_int_eq(executor_heartbeat_read(heartbeat, strlen(heartbeat),
						 &read, &faults[2]),
			 result);
	for (size_t i = 0; i < G_N_ELEMENTS(faults) && result; i++)
		ck_assert_ptr_nonnull(strstr(faults[i], "nested"));
	g_bytes_unref(bytes);
	g_free(submission);
	g_free(heartbeat);
}

/* Guards against a stack overflow by a deeply nested document. */
START_TEST(test_nested_documents)
{
	/* The document itself is one of at most 32 levels. */
	check_nested(31, "[", "]", RESULT_OK);
	check_nested(32, "[", "]", RESULT_MALFORMED);
	check_nested(32, "{\"a\":", "}", RESULT_MALFORMED);
	check_nested(DEEP_LEVELS, "[", "]", RESULT_MALFORMED);
	check_nested(DEEP_LEVELS, "{\"a\":", "}", RESULT_MALFORMED);
	check_nested(DEEP_LEVELS, "[", "", RESULT_MALFORMED);
}
END_TEST

/* Guards against a valid document that is refused for brackets in a string. */
START_TEST(test_brackets_in_text)
{
	static const char *const brackets[] = { "[", "{", "]", "\\\"[{",
						"\\\\[" };

	for (size_t i = 0; i < G_N_ELEMENTS(brackets); i++) {
		GString *text = g_string_new("{\"spec\":\"");
		struct flow_record record;
		const char *fault = NULL;

		for (uint32_t j = 0; j < FLOW_SPEC_MAX_BYTES / 4; j++)
			g_string_append(text, brackets[i]);
		g_string_append(text, "\",\"steps\":[" STEP "]}");
		ck_assert_msg(submission_read(text->str, text->len, &record,
					      &fault) == RESULT_OK,
			      "%s: %s", brackets[i], fault);
		ck_assert_uint_ge(g_bytes_get_size(record.spec),
				  FLOW_SPEC_MAX_BYTES / 4);
		submission_clear(&record);
		g_string_free(text, TRUE);
	}
}
END_TEST

/* Returns a copy of a valid text with one to five random bytes. */
static char *mangle(const char *text, GRand *rand)
{
	char *copy = g_strdup(text);
	size_t size = strlen(copy);

	for (int i = g_rand_int_range(rand, 1, 6); i > 0 && size; i--)
		copy[g_rand_int_range(rand, 0, (gint32)size)] =
			(char)g_rand_int_range(rand, 0, 256);
	return copy;
}

/* Guards against bytes that crash a decoder; run with sanitizers as well. */
START_TEST(test_random_bytes)
{
	GRand *rand = g_rand_new_with_seed(20261204);

	for (int i = 0; i < RANDOM_ROUNDS; i++) {
		char *one = mangle(submissions[0].text, rand);
		char *two = mangle(configs[0].text, rand);
		char *three = mangle(heartbeats[0].text, rand);
		GBytes *bytes = g_bytes_new_static(two, strlen(two));
		const char *const zones[] = { NULL };
		struct flow_record record;
		struct executor_heartbeat heartbeat;
		struct exec_reply reply;
		struct bundle *bundle = NULL;
		const char *fault;

		submission_read(one, strlen(one), &record, &fault);
		submission_clear(&record);
		config_read(bytes, zones, "op", &bundle, &fault);
		record_unref((struct record){ OP_BUNDLE_PUT, bundle });
		executor_heartbeat_read(three, strlen(three), &heartbeat,
					&fault);
		executor_reply_read(EXEC_POLL, 200, three, strlen(three),
				    &reply);
		executor_reply_clear(&reply);
		g_bytes_unref(bytes);
		g_free(one);
		g_free(two);
		g_free(three);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against a deregistration that is applied to another incarnation of the
 * worker, or that is applied though it is unreadable.
 */
START_TEST(test_deregistration)
{
	static const struct {
		const char *text;
		enum result result;
		uint64_t born_ms;
	} cases[] = {
		{ "", RESULT_OK, 0 },
		{ "{}", RESULT_OK, 0 },
		{ "{\"born\":1775350000123,\"seq\":9}", RESULT_OK,
		  1775350000123 },
		{ "[7]", RESULT_MALFORMED, 0 },
		{ "nonsense", RESULT_MALFORMED, 0 },
		{ "{\"born\":\"x\"}", RESULT_MALFORMED, 0 },
		{ "{\"born\":99999999999999999999}", RESULT_MALFORMED, 0 },
		{ "{\"born\":1e400}", RESULT_MALFORMED, 0 },
		{ "{\"born\":9007199254740993}", RESULT_MALFORMED, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *fault = NULL;
		uint64_t born_ms = 1;

		ck_assert_msg(executor_deregistration_read(
				      cases[i].text, strlen(cases[i].text),
				      &born_ms, &fault) == cases[i].result,
			      "%s", cases[i].text);
		ck_assert_msg((fault != NULL) == (cases[i].result != RESULT_OK),
			      "%s", cases[i].text);
		ck_assert_uint_eq(born_ms, cases[i].born_ms);
	}
}
END_TEST

SUITE_MAIN("platform", test_submissions, test_submission_fields, test_configs,
	   test_heartbeats, test_invalid_heartbeats, test_replies,
	   test_odd_rows, test_invalid_ends, test_invalid_advice,
	   test_nested_documents, test_brackets_in_text, test_random_bytes,
	   test_deregistration)
