#include "json_repeat.h"

#include <string.h>

#include "check_report.h"
#include "json_text.h"

struct repeat_scan {
	const char *at;
	const char *end;
	const char *line_start;
	guint line; /* from 1 */
	GPtrArray *names; /* GHashTable * by nesting, NULL: an array */
};

static void names_free(void *names)
{
	if (names)
		g_hash_table_unref(names);
}

/* Returns the content of the string token, which includes its quotes. */
static char *string_value(const char *token, gsize size)
{
	GString *list = g_string_new("[");
	struct json_parse_error error;
	char *value = NULL;
	JsonNode *node;

	if (!memchr(token, '\\', size)) {
		g_string_free(list, TRUE);
		return g_strndup(token + 1, size - 2);
	}
	g_string_append_len(list, token, (gssize)size);
	g_string_append_c(list, ']');
	node = json_parse(list->str, (gssize)list->len, &error);
	if (node) {
		value = g_strdup(json_array_get_string_element(
			json_node_get_array(node), 0));
		json_node_unref(node);
	}
	g_string_free(list, TRUE);
	return value;
}

/* Moves behind the string at scan->at. */
static void skip_string(struct repeat_scan *scan)
{
	for (scan->at++; scan->at < scan->end && *scan->at != '"'; scan->at++)
		if (*scan->at == '\\')
			scan->at++;
	scan->at = MIN(scan->at + 1, scan->end);
}

static void scan_string(struct repeat_scan *scan, struct check_report *report)
{
	GHashTable *names = scan->names->len ?
				    scan->names->pdata[scan->names->len - 1] :
				    NULL;
	const char *token = scan->at;
	const char *next;
	char *where;
	char *name;

	skip_string(scan);
	for (next = scan->at; next < scan->end && g_ascii_isspace(*next);)
		next++;
	if (!names || next >= scan->end || *next != ':')
		return;
	name = string_value(token, (gsize)(scan->at - token));
	if (!name)
		return;
	if (g_hash_table_contains(names, name)) {
		where = g_strdup_printf("line %u, column %u", scan->line,
					(guint)(token - scan->line_start) + 1);
		check_report_add(report, CHECK_CONFLICT, where,
				 "member \"%s\" is repeated; only the last "
				 "value counts",
				 name);
		g_free(where);
	}
	g_hash_table_add(names, name);
}

void json_repeat_check(const char *text, gsize size,
		       struct check_report *report)
{
	struct repeat_scan scan = { text, text + size, text, 1, NULL };

	scan.names = g_ptr_array_new_with_free_func(names_free);
	while (scan.at < scan.end) {
		char c = *scan.at;

		if (c == '"') {
			scan_string(&scan, report);
			continue;
		}
		scan.at++;
		if (c == '{')
			g_ptr_array_add(scan.names,
					g_hash_table_new_full(g_str_hash,
							      g_str_equal,
							      g_free, NULL));
		else if (c == '[')
			g_ptr_array_add(scan.names, NULL);
		else if ((c == '}' || c == ']') && scan.names->len)
			g_ptr_array_set_size(scan.names,
					     (gint)scan.names->len - 1);
		else if (c == '\n') {
			scan.line++;
			scan.line_start = scan.at;
		}
	}
	g_ptr_array_unref(scan.names);
}
