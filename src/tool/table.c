#include "table.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define MAX_COLUMNS 16

static char *table_number(const struct column *column, gint64 number)
{
	if (column->names && number >= 0 &&
	    number < g_strv_length((char **)column->names))
		return g_strdup(column->names[number]);
	return g_strdup_printf("%" G_GINT64_FORMAT, number);
}

/* Returns the text of a member, which may be nested, as a new string. */
static char *table_cell(JsonObject *object, const struct column *column)
{
	char **path = g_strsplit(column->member, ".", -1);
	JsonNode *node = NULL;
	char *text = NULL;

	for (uint32_t i = 0; path[i]; i++) {
		node = object ? json_object_get_member(object, path[i]) : NULL;
		object = node && JSON_NODE_HOLDS_OBJECT(node) ?
				 json_node_get_object(node) :
				 NULL;
	}
	g_strfreev(path);
	if (!node || !JSON_NODE_HOLDS_VALUE(node))
		return g_strdup("-");
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		text = g_strdup(json_node_get_string(node));
	else if (json_node_get_value_type(node) == G_TYPE_BOOLEAN)
		text = g_strdup(json_node_get_boolean(node) ? "yes" : "no");
	else if (json_node_get_value_type(node) == G_TYPE_DOUBLE)
		text = g_strdup_printf("%g", json_node_get_double(node));
	else
		text = table_number(column, json_node_get_int(node));
	if (!text[0]) {
		g_free(text);
		text = g_strdup("-");
	}
	return text;
}

static void table_print_row(char *const *cells, const int *widths,
			    uint32_t nr_columns)
{
	for (uint32_t i = 0; i < nr_columns; i++) {
		/* The last column needs no padding. */
		if (i + 1 == nr_columns)
			printf("%s\n", cells[i]);
		else
			printf("%s%*s", cells[i],
			       widths[i] + 2 - (int)g_utf8_strlen(cells[i], -1),
			       "");
	}
}

JsonObject *table_row(JsonArray *items, guint i)
{
	JsonNode *node = json_array_get_element(items, i);

	return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}

void table_print(const struct column *columns, JsonArray *items)
{
	guint nr_rows = json_array_get_length(items) + 1;
	int widths[MAX_COLUMNS] = { 0 };
	uint32_t nr_columns = 0;
	char **cells;

	while (columns[nr_columns].title)
		nr_columns++;
	g_assert(nr_columns && nr_columns <= MAX_COLUMNS);
	cells = g_new0(char *, (gsize)nr_rows *nr_columns);
	for (guint row = 0; row < nr_rows; row++) {
		for (uint32_t i = 0; i < nr_columns; i++) {
			char *cell = row ? table_cell(table_row(items, row - 1),
						      &columns[i]) :
					   g_strdup(columns[i].title);

			cells[(gsize)row * nr_columns + i] = cell;
			widths[i] =
				MAX(widths[i], (int)g_utf8_strlen(cell, -1));
		}
	}
	for (guint row = 0; row < nr_rows; row++)
		table_print_row(&cells[(gsize)row * nr_columns], widths,
				nr_columns);
	for (gsize i = 0; i < (gsize)nr_rows * nr_columns; i++)
		g_free(cells[i]);
	g_free(cells);
}
