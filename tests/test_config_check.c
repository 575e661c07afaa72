/**
 * @file test_config_check.c
 * The check of a bundle before it is sent: faults by entry, differences, and
 * the tool's exit codes for files that are broken or hostile.
 */

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string.h>

#include "bundle_check.h"
#include "bundle_doc.h"
#include "check_report.h"
#include "config_check.h"
#include "json_repeat.h"
#include "json_text.h"
#include "schema.h"
#include "state_bundle.h"
#include "suite.h"

static char *program; /* argv[0], from which the tool's path follows */

#define POOLS "\"pools\":[{\"name\":\"s\"},{\"name\":\"off\",\"standby\":true}]"
#define QUEUE(host, prefix, service, rest)                        \
	"{\"host\":\"" host "\",\"prefix\":\"" prefix             \
	"\",\"service\":\"" service "\",\"slack_permille\":1500," \
	"\"attempts\":2,\"timeout_ms\":3000" rest "}"
#define GOOD QUEUE("h", "/a/", "s", "") "," QUEUE("h", "/b/", "off", "")
#define OWN(version, queues)                                           \
	"{\"version\":" version ",\"zones\":[{\"name\":\"z\"}]," POOLS \
	",\"queues\":[" queues "]}"

static struct bundle *own_bundle(const char *text)
{
	struct bundle *bundle = NULL;
	char *error = NULL;

	ck_assert_msg(bundle_doc_parse(text, strlen(text), &bundle, &error) ==
			      RESULT_OK,
		      "%s", error);
	return bundle;
}

static void own_free(struct bundle *bundle)
{
	record_unref((struct record){ CMD_BUNDLE_SUBMIT, bundle });
}

/* Returns all findings as one text; it and the report are released. */
static char *report_text(struct check_report *report)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < report->findings->len; i++) {
		const struct check_finding *finding =
			report->findings->pdata[i];

		g_string_append_printf(text, "%s %s: %s\n",
				       check_kind_name(finding->kind),
				       finding->where, finding->text);
	}
	check_report_clear(report);
	return g_string_free(text, FALSE);
}

static JsonNode *parsed(const char *text)
{
	struct json_parse_error error;
	JsonNode *node = json_parse(text, -1, &error);

	ck_assert_ptr_nonnull(node);
	return node;
}

/* Guards against faults that are missed or blamed on another entry. */
START_TEST(test_faults)
{
	static const struct {
		const char *queue;
		const char *line;
	} cases[] = {
		{ QUEUE("h", "/a/", "s", ""),
		  "error queue 3 \"h/a/\": host and prefix are those of queue "
		  "1" },
		{ QUEUE("h", "/c/", "none", ""),
		  "error queue 3 \"h/c/\": unknown service \"none\"" },
		{ QUEUE("h", "/c/", "s", ",\"timeout_ms\":0"),
		  "error queue 3 \"h/c/\": the time-out is 0" },
		{ QUEUE("", "/c/", "s", ""), "unreachable queue 3 \"/c/\"" },
		{ QUEUE("h:80", "/", "s", ""),
		  "unreachable queue 3 \"h:80/\"" },
		{ QUEUE("h", "c/", "s", ""), "unreachable queue 3 \"hc/\"" },
		{ QUEUE("h", "/c?x", "s", ""), "unreachable queue 3" },
		{ QUEUE("h", "/-/c", "s", ""), "unreachable queue 3" },
		{ QUEUE("h", "/c/", "off", ""),
		  "conflict queue 3 \"h/c/\": service \"off\" is on standby" },
		{ QUEUE("h", "/c/", "s", ",\"attempts\":0"),
		  "conflict queue 3 \"h/c/\": 0 attempts" },
		{ QUEUE("h", "/c/", "s", ",\"slack_permille\":0"),
		  "conflict queue 3 \"h/c/\": the objective is 0 ms" },
		{ QUEUE("h", "/c/", "s",
			",\"slack_permille\":0,\"slo_ms\":3001"),
		  "conflict queue 3 \"h/c/\": the objective of 3001 ms" },
		{ QUEUE("h", "/c/", "s", ",\"name\":\"n\"") "," QUEUE(
			  "h", "/d/", "s", ",\"name\":\"n\""),
		  "conflict queue 4 \"h/d/\": queue 3 has the same name" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(OWN("1", "%s,%s"), GOOD,
					     cases[i].queue);
		struct bundle *bundle = own_bundle(text);
		struct check_report report;
		const char *message;
		bool refused = state_bundle_check(bundle, &message) !=
			       RESULT_OK;
		char *lines;

		check_report_init(&report);
		bundle_check(bundle, true, &report);
		ck_assert_int_eq(report.nr[CHECK_ERROR] > 0, refused);
		lines = report_text(&report);
		ck_assert_msg(strstr(lines, cases[i].line) != NULL,
			      "no \"%s\" in:\n%s", cases[i].line, lines);
		g_free(lines);
		g_free(text);
		own_free(bundle);
	}
}
END_TEST

/*
 * Guards against findings for valid bundles: an objective above the time-out
 * with a slack, a prefix of another one, an empty prefix. A shorter prefix
 * after a longer one is reachable.
 */
START_TEST(test_valid)
{
	static const char queues[] =
		QUEUE("h", "/a/b", "s", ",\"slo_ms\":9000") "," QUEUE(
			"h", "/a", "s", "") "," QUEUE("h", "", "off2", "");
	char *text = g_strdup_printf(
		"{\"version\":1,\"zones\":[{\"name\":\"z\"}],\"pools\":"
		"[{\"name\":\"s\"},{\"name\":\"off2\"}],\"queues\":[%s]}",
		queues);
	struct bundle *bundle = own_bundle(text);
	struct check_report report;
	char *lines;

	check_report_init(&report);
	bundle_check(bundle, true, &report);
	bundle_check_version(bundle, bundle, false, &report);
	bundle_check_compare(bundle, bundle, true, &report);
	lines = report_text(&report);
	ck_assert_str_eq(lines, "");
	g_free(lines);
	g_free(text);
	own_free(bundle);
}
END_TEST

/*
 * Guards against differences that are missed or that only the order makes, and
 * against a version that control would ignore.
 */
START_TEST(test_differences)
{
	struct bundle *before = own_bundle(OWN("7", GOOD));
	struct bundle *after = own_bundle(
		OWN("7", QUEUE("h", "/c/", "s", "") "," QUEUE(
				 "h", "/a/", "s", ",\"timeout_ms\":5000")));
	struct check_report report;
	char *lines;

	check_report_init(&report);
	bundle_check_compare(before, after, true, &report);
	bundle_check_version(after, before, true, &report);
	ck_assert_uint_eq(check_report_faults(&report), 1);
	lines = report_text(&report);
	ck_assert_str_eq(
		lines,
		"added queue \"h\" \"/c/\": only in the checked file\n"
		"removed queue \"h\" \"/b/\": not in the checked file\n"
		"changed queue \"h\" \"/a/\": timeout_ms: 3000 -> 5000\n"
		"error bundle: version 7 would not replace version 7, which "
		"is in force\n");
	g_free(lines);
	own_free(before);
	own_free(after);
}
END_TEST

#define ROUTE(rest)                                              \
	"{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\"," \
	"\"service\":\"s\",\"attempts\":4,\"slackFactor\":2" rest "}"
#define DOCUMENT(routes, header_bytes)                                    \
	"{\"version\":7,\"routes\":[" routes "],\"services\":[{\"name\":" \
	"\"s\"}],\"limits\":{\"maxHeaderBytes\":" header_bytes            \
	",\"maxBodyBytes\":1000}}"

/* Guards against a row's fault that is blamed on no row, and unread limits. */
START_TEST(test_document)
{
	JsonNode *before = parsed(DOCUMENT(ROUTE(",\"timeoutMs\":3000"), "10"));
	JsonNode *after =
		parsed(DOCUMENT(ROUTE(",\"timeoutMs\":3000") ",7," ROUTE(
					",\"timeoutMs\":\"x\""),
				"2000"));
	struct check_report report;
	char *lines;

	check_report_init(&report);
	ck_assert(config_check_matches(json_node_get_object(after)));
	config_check_document(json_node_get_object(after), &report);
	lines = report_text(&report);
	ck_assert_str_eq(lines,
			 "error routes[1]: not an object\n"
			 "error routes[2]: member \"timeoutMs\" is missing or "
			 "has a wrong type or value\n"
			 "conflict limits: maxHeaderBytes is larger than "
			 "maxBodyBytes\n");
	g_free(lines);
	json_node_unref(after);
	after = parsed(DOCUMENT(ROUTE(".0,\"timeoutMs\":3000"), "20"));
	check_report_init(&report);
	json_diff(json_node_get_object(before), json_node_get_object(after),
		  config_check_lists, &report);
	lines = report_text(&report);
	ck_assert_str_eq(lines,
			 "changed bundle: limits.maxHeaderBytes: 10 -> 20\n");
	g_free(lines);
	json_node_unref(before);
	json_node_unref(after);
}
END_TEST

/* Guards against repeated members, also escaped ones, that go unnoticed. */
START_TEST(test_repeated_members)
{
	static const char text[] =
		"{\"a\":{\"a\":\"a\"},\n \"b\":[{\"a\":1},{\"a\":2}],"
		"\"\\u0061\":\"\\\"a\\\":\"}";
	struct check_report report;
	char *lines;

	check_report_init(&report);
	json_repeat_check(text, sizeof(text) - 1, &report);
	lines = report_text(&report);
	ck_assert_str_eq(lines, "conflict line 2, column 24: member \"a\" is "
				"repeated; only the last value counts\n");
	g_free(lines);
}
END_TEST

/* Runs the tool on a file; returns its exit code and both outputs. */
static int tool_check(const char *path, const char *against, char **out)
{
	char *folder = g_path_get_dirname(program);
	char *tool = g_build_filename(folder, "../src/tool/masticreach", NULL);
	GSubprocess *process =
		g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					 G_SUBPROCESS_FLAGS_STDERR_MERGE,
				 NULL, tool, "config", "check", path,
				 against ? "--against" : NULL, against, NULL);
	int code;

	ck_assert_ptr_nonnull(process);
	ck_assert(g_subprocess_communicate_utf8(process, NULL, NULL, out, NULL,
						NULL));
	code = g_subprocess_get_if_exited(process) ?
		       g_subprocess_get_exit_status(process) :
		       -1;
	g_object_unref(process);
	g_free(tool);
	g_free(folder);
	return code;
}

/*
 * Guards against files that crash the tool, pass as valid, or print more than
 * one line or control sequences of a terminal.
 */
START_TEST(test_tool_files)
{
	static const char nul[] =
		"{\"version\":1,\"zones\":[{\"name\":\"\0\"}]}";
	char *deep = g_strnfill(200000, '[');
	char *huge = g_strnfill((8u << 20) + 1, ' ');
	const struct {
		const char *text;
		gssize size;
		int code;
		const char *shown;
	} cases[] = {
		{ OWN("1", QUEUE("h", "/a/", "s", "")), -1, RESULT_FINDINGS,
		  "unreachable pool 2 \"off\"" },
		{ DOCUMENT(ROUTE(",\"timeoutMs\":3000"), "10"), -1, RESULT_OK,
		  "faults=0 differences=0\n" },
		{ DOCUMENT(ROUTE(""), "10"), -1, RESULT_MALFORMED,
		  "error routes[0]: member \"timeoutMs\"" },
		{ "", 0, RESULT_MALFORMED, "malformed" },
		{ "7", -1, RESULT_MALFORMED, "not a JSON object" },
		{ "{\"colour\":1}", -1, RESULT_MALFORMED, "colour" },
		{ "{\"version\":\"1\"}", -1, RESULT_MALFORMED, "version" },
		{ "{\"x\\n\\u001b[2J\":1}", -1, RESULT_MALFORMED, "x??[2J" },
		{ nul, sizeof(nul) - 1, RESULT_MALFORMED, "malformed" },
		{ "\x7f\x45\x4c\x46\xff\xfe", -1, RESULT_MALFORMED, "line 1" },
		{ deep, -1, RESULT_MALFORMED, "nested" },
		{ huge, -1, RESULT_TOO_LARGE, "too-large" },
	};
	char *folder = g_dir_make_tmp("config_check-XXXXXX", NULL);
	char *path = g_build_filename(folder, "file", NULL);
	char *out;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ck_assert(g_file_set_contents(path, cases[i].text,
					      cases[i].size, NULL));
		ck_assert_msg(tool_check(path, NULL, &out) == cases[i].code &&
				      strstr(out, cases[i].shown) != NULL,
			      "case %zu: %s", i, out);
		if (cases[i].code == RESULT_MALFORMED && i > 2)
			ck_assert_ptr_eq(strchr(out, '\n') + 1,
					 out + strlen(out));
		g_free(out);
	}
	ck_assert_int_eq(tool_check(folder, NULL, &out), RESULT_IO);
	g_free(out);
	ck_assert(g_file_set_contents(
		path, DOCUMENT(ROUTE(",\"timeoutMs\":3000"), "10"), -1, NULL));
	ck_assert_int_eq(tool_check(path, path, &out), RESULT_OK);
	g_free(out);
	g_unlink(path);
	ck_assert_int_eq(tool_check(path, NULL, &out), RESULT_IO);
	g_free(out);
	g_rmdir(folder);
	g_free(path);
	g_free(folder);
	g_free(deep);
	g_free(huge);
}
END_TEST

int main(int argc, char **argv)
{
	const TTest *const tests[] = { test_faults,	      test_valid,
				       test_differences,      test_document,
				       test_repeated_members, test_tool_files };

	program = argv[0];
	return suite_run("config_check", tests, G_N_ELEMENTS(tests));
}
