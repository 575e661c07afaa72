/**
 * @file test_docs.c
 * Checks that the pages for operators agree with the tables and names in the
 * sources.
 */

#include <string.h>

#include "http.h"
#include "settings.h"
#include "suite.h"

struct result_row {
	uint32_t number;
	const char *name;
	const char *summary;
};

static const struct result_row result_rows[] = {
#define RESULT_ROW(number, identifier, name, summary) { number, name, summary },
	RESULT_TABLE(RESULT_ROW)
#undef RESULT_ROW
};

static char *read_page(const char *name)
{
	char *path = g_build_filename(DOCS_DIR, name, NULL);
	char *text = NULL;

	ck_assert_msg(g_file_get_contents(path, &text, NULL, NULL), "%s", path);
	g_free(path);
	return text;
}

/* Counts the lines that begin with @a prefix. */
static size_t count_lines(const char *text, const char *prefix)
{
	char **lines = g_strsplit(text, "\n", -1);
	size_t nr = 0;

	for (char **line = lines; *line; line++)
		if (g_str_has_prefix(*line, prefix))
			nr++;
	g_strfreev(lines);
	return nr;
}

static size_t count_number_rows(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	size_t nr = 0;

	for (char **line = lines; *line; line++)
		if (g_str_has_prefix(*line, "| ") &&
		    g_ascii_isdigit((*line)[2]))
			nr++;
	g_strfreev(lines);
	return nr;
}

/* Guards against result codes that are missing from the page. */
START_TEST(test_errors_page)
{
	char *page = read_page("errors.md");

	for (size_t i = 0; i < G_N_ELEMENTS(result_rows); i++) {
		const struct result_row *row = &result_rows[i];
		char *line = g_strdup_printf(
			"\n| %u | `%s` | %s | %u |", row->number, row->name,
			row->summary, http_status_of((enum result)row->number));

		ck_assert_msg(strstr(page, line) != NULL, "missing:%s", line);
		g_free(line);
	}
	ck_assert_uint_eq(count_number_rows(page), G_N_ELEMENTS(result_rows));
	g_free(page);
}
END_TEST

/* Guards against settings that are missing from the page. */
START_TEST(test_settings_page)
{
	char *page = read_page("settings.md");
	size_t nr = 0;
	const struct setting *table = settings_table(&nr);

	for (size_t i = 0; i < nr; i++) {
		const struct setting *setting = &table[i];
		char *variable = setting_variable(setting);
		char *line = g_strdup_printf(
			"\n| `--%s %s` | `%s` | %s | %s | %s | %s |\n",
			setting->name, setting->arg, variable,
			setting->default_value[0] ? setting->default_value :
						    "—",
			setting->roles,
			setting->required[0] ? setting->required : "—",
			setting->help);

		ck_assert_msg(strstr(page, line) != NULL, "missing:%s", line);
		g_free(line);
		g_free(variable);
	}
	ck_assert_uint_eq(count_lines(page, "| `--"), nr);
	g_free(page);
}
END_TEST

/* Guards against an error code with status 200 or an invalid HTTP status. */
START_TEST(test_every_code_has_a_status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(result_rows); i++) {
		uint32_t status =
			http_status_of((enum result)result_rows[i].number);

		ck_assert_int_eq(status == 200,
				 result_rows[i].number == RESULT_OK);
		ck_assert_uint_lt(status, 600);
	}
}
END_TEST

/* Calls of functions whose first string literal is the name of an event. */
#define EVENT_CALL                                                               \
	"\\b(?:logline_new|runner_log_run|runner_log_worker|runner_log_reply|"   \
	"runner_log_lease|raft_emit_event|raft_emit_leader_event|node_log_link|" \
	"http_log_end|control_op_log)\\([^\"();]*\"([a-z][a-z-]*)\""             \
	"(?:\\s*:\\s*\"([a-z-]+)\")?"
#define METRIC_CALL                                                             \
	"(?:counter_(?:add|set|set_total|inc_label2?|observe)|flow_observe)\\(" \
	"[^\";]*\"([a-z0-9_]+)\""

/* Appends the text of all sources below @a folder, except generated sources. */
static void read_sources(const char *folder, GString *text)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	ck_assert_msg(dir != NULL, "%s", folder);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);
		char *file = NULL;

		if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
			read_sources(path, text);
		} else if (g_str_has_suffix(name, ".c") &&
			   !g_str_has_suffix(name, ".pb-c.c")) {
			ck_assert(g_file_get_contents(path, &file, NULL, NULL));
			g_string_append(text, file);
		}
		g_free(file);
		g_free(path);
	}
	g_dir_close(dir);
}

static GString *read_product(void)
{
	GString *text = g_string_new(NULL);

	read_sources(DOCS_DIR "/../src", text);
	read_sources(DOCS_DIR "/../platform", text);
	return text;
}

/* Checks that each name that @a pattern finds in the sources is on the page. */
static uint32_t check_names(const char *page, const char *sources,
			    const char *pattern)
{
	GRegex *regex = g_regex_new(pattern, G_REGEX_OPTIMIZE, 0, NULL);
	GMatchInfo *match = NULL;
	uint32_t nr = 0;

	g_assert(regex);
	g_regex_match(regex, sources, 0, &match);
	for (; g_match_info_matches(match); g_match_info_next(match, NULL)) {
		for (gint i = 1; i < g_match_info_get_match_count(match); i++) {
			char *name = g_match_info_fetch(match, i);
			char *cell = g_strdup_printf("`%s`", name);

			ck_assert_msg(strstr(page, cell) != NULL, "missing: %s",
				      name);
			nr++;
			g_free(cell);
			g_free(name);
		}
	}
	g_match_info_free(match);
	g_regex_unref(regex);
	return nr;
}

/* Checks that each name in the first column of a table is in the sources. */
static void check_rows(const char *page, const char *sources)
{
	const char *end = strstr(page, "\n\nReasons of");
	char *table = end ? g_strndup(page, (gsize)(end - page)) :
			    g_strdup(page);
	char **lines = g_strsplit(table, "\n", -1);

	for (char **line = lines; *line; line++) {
		char **names;
		char *cell;

		if (!g_str_has_prefix(*line, "| `"))
			continue;
		cell = g_strndup(*line + 2, (gsize)(strstr(*line + 2, " | ") -
						    (*line + 2)));
		names = g_strsplit(cell, ", ", -1);
		for (char **name = names; *name; name++) {
			char *bare = g_strndup(*name + 1, strlen(*name) - 2);
			char *quoted = g_strdup_printf("\"%s\"", bare);
			char *within = g_strdup_printf("event=%s ", bare);
			char *printed =
				g_strdup_printf("masticreach_%s ", bare);

			ck_assert_msg(strstr(sources, quoted) ||
					      strstr(sources, within) ||
					      strstr(sources, printed),
				      "not in the sources: %s", bare);
			g_free(printed);
			g_free(within);
			g_free(quoted);
			g_free(bare);
		}
		g_strfreev(names);
		g_free(cell);
	}
	g_strfreev(lines);
	g_free(table);
}

/* Guards against metrics that are missing from the page, and obsolete rows. */
START_TEST(test_metrics_page)
{
	char *page = read_page("metrics.md");
	GString *sources = read_product();

	ck_assert_uint_gt(check_names(page, sources->str, METRIC_CALL), 100);
	check_rows(page, sources->str);
	g_string_free(sources, TRUE);
	g_free(page);
}
END_TEST

/* Guards against events that are missing from the page, and obsolete rows. */
START_TEST(test_log_events_page)
{
	char *page = read_page("log-events.md");
	GString *sources = read_product();

	ck_assert_uint_gt(check_names(page, sources->str, EVENT_CALL), 60);
	check_rows(page, sources->str);
	g_string_free(sources, TRUE);
	g_free(page);
}
END_TEST

SUITE_MAIN("docs", test_errors_page, test_settings_page,
	   test_every_code_has_a_status, test_metrics_page,
	   test_log_events_page)
