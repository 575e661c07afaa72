/**
 * @file test_docs.c
 * Keeps the pages for operators in step with the tables in the code.
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

/* Guards against codes that operators can't look up. */
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

/* Guards against settings that operators can't look up. */
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
			setting->fallback[0] ? setting->fallback : "—",
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

/* Guards against a result code without an HTTP status of its own. */
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

SUITE_MAIN("docs", test_errors_page, test_settings_page,
	   test_every_code_has_a_status)
