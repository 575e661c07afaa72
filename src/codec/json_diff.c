#include "json_diff.h"

#include <stdbool.h>
#include <string.h>

#include "check_report.h"

#define DIFF_VALUE_MAX 60 /* bytes of a value that are shown */

static bool is_number(JsonNode *node)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       (json_node_get_value_type(node) == G_TYPE_INT64 ||
		json_node_get_value_type(node) == G_TYPE_DOUBLE);
}

/* Returns true for equal values; 2 and 2.0 are equal. */
static bool nodes_equal(JsonNode *a, JsonNode *b)
{
	if (!a || !b)
		return a == b;
	if (is_number(a) && is_number(b) &&
	    json_node_get_value_type(a) != json_node_get_value_type(b))
		return json_node_get_double(a) == json_node_get_double(b);
	return json_node_equal(a, b);
}

static char *node_shown(JsonNode *node)
{
	char *text = node ? json_to_string(node, FALSE) : g_strdup("none");
	char *shown;

	if (strlen(text) <= DIFF_VALUE_MAX)
		return text;
	shown = g_strdup_printf("%.*s...", DIFF_VALUE_MAX, text);
	g_free(text);
	return shown;
}

static void diff_member(const char *where, const char *path, JsonNode *before,
			JsonNode *after, struct check_report *report);

static void diff_object(const char *where, const char *path, JsonObject *before,
			JsonObject *after, struct check_report *report)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;
	char *inner;

	json_object_iter_init(&iter, after);
	while (json_object_iter_next(&iter, &name, &node)) {
		inner = g_strconcat(path, *path ? "." : "", name, NULL);
		diff_member(where, inner, json_object_get_member(before, name),
			    node, report);
		g_free(inner);
	}
	json_object_iter_init(&iter, before);
	while (json_object_iter_next(&iter, &name, &node)) {
		if (json_object_has_member(after, name))
			continue;
		inner = g_strconcat(path, *path ? "." : "", name, NULL);
		diff_member(where, inner, node, NULL, report);
		g_free(inner);
	}
}

static void diff_member(const char *where, const char *path, JsonNode *before,
			JsonNode *after, struct check_report *report)
{
	char *from;
	char *to;

	if (nodes_equal(before, after))
		return;
	if (before && after && JSON_NODE_HOLDS_OBJECT(before) &&
	    JSON_NODE_HOLDS_OBJECT(after)) {
		diff_object(where, path, json_node_get_object(before),
			    json_node_get_object(after), report);
		return;
	}
	from = node_shown(before);
	to = node_shown(after);
	check_report_add(report, CHECK_CHANGED, where, "%s: %s -> %s", path,
			 from, to);
	g_free(from);
	g_free(to);
}

/* Returns the text by which an element is identified and shown. */
static char *row_name(const struct json_diff_list *list, JsonNode *row)
{
	GString *name = g_string_new(list->entry);

	for (size_t i = 0; i < G_N_ELEMENTS(list->keys) && list->keys[i]; i++) {
		JsonNode *key = JSON_NODE_HOLDS_OBJECT(row) ?
					json_object_get_member(
						json_node_get_object(row),
						list->keys[i]) :
					NULL;
		char *text = key ? json_to_string(key, FALSE) : NULL;

		g_string_append_printf(name, " %s", text ? text : "none");
		g_free(text);
	}
	return g_string_free(name, FALSE);
}

/* Returns the elements of a list by name; of equal names, the first. */
static GHashTable *rows_by_name(const struct json_diff_list *list,
				JsonArray *rows)
{
	GHashTable *table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; rows && i < json_array_get_length(rows); i++) {
		JsonNode *row = json_array_get_element(rows, i);
		char *name = row_name(list, row);

		if (g_hash_table_contains(table, name))
			g_free(name);
		else
			g_hash_table_insert(table, name, row);
	}
	return table;
}

static JsonArray *member_array(JsonObject *object, const char *member)
{
	JsonNode *node = json_object_get_member(object, member);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

/* Reports the names of @a rows that @a others lacks, in order of the list. */
static void diff_missing(const struct json_diff_list *list, JsonArray *rows,
			 GHashTable *others, enum check_kind kind,
			 struct check_report *report)
{
	for (guint i = 0; rows && i < json_array_get_length(rows); i++) {
		char *name = row_name(list, json_array_get_element(rows, i));

		if (!g_hash_table_contains(others, name))
			check_report_add(report, kind, name, "%s",
					 kind == CHECK_ADDED ?
						 "only in the checked file" :
						 "not in the checked file");
		g_free(name);
	}
}

static void diff_list(const struct json_diff_list *list, JsonObject *before,
		      JsonObject *after, struct check_report *report)
{
	JsonArray *old_rows = member_array(before, list->member);
	JsonArray *new_rows = member_array(after, list->member);
	GHashTable *old_names = rows_by_name(list, old_rows);
	GHashTable *new_names = rows_by_name(list, new_rows);

	diff_missing(list, new_rows, old_names, CHECK_ADDED, report);
	diff_missing(list, old_rows, new_names, CHECK_REMOVED, report);
	for (guint i = 0; new_rows && i < json_array_get_length(new_rows);
	     i++) {
		JsonNode *row = json_array_get_element(new_rows, i);
		char *name = row_name(list, row);
		JsonNode *old = g_hash_table_lookup(old_names, name);

		if (old && g_hash_table_lookup(new_names, name) == row &&
		    JSON_NODE_HOLDS_OBJECT(old) && JSON_NODE_HOLDS_OBJECT(row))
			diff_object(name, "", json_node_get_object(old),
				    json_node_get_object(row), report);
		g_free(name);
	}
	g_hash_table_unref(old_names);
	g_hash_table_unref(new_names);
}

static bool is_list(const struct json_diff_list *lists, const char *member)
{
	for (; lists->member; lists++)
		if (!strcmp(lists->member, member))
			return true;
	return false;
}

/* Returns a new object with the members that aren't lists. */
static JsonObject *without_lists(JsonObject *object,
				 const struct json_diff_list *lists)
{
	JsonObject *rest = json_object_new();
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &name, &node))
		if (!is_list(lists, name))
			json_object_set_member(rest, name, json_node_ref(node));
	return rest;
}

void json_diff(JsonObject *before, JsonObject *after,
	       const struct json_diff_list *lists, struct check_report *report)
{
	JsonObject *old_rest = without_lists(before, lists);
	JsonObject *new_rest = without_lists(after, lists);

	diff_object("bundle", "", old_rest, new_rest, report);
	for (const struct json_diff_list *list = lists; list->member; list++)
		diff_list(list, before, after, report);
	json_object_unref(old_rest);
	json_object_unref(new_rest);
}
