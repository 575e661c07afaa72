#include "logline.h"

#include <stdbool.h>

static bool logline_is_plain(const char *value)
{
	if (!*value)
		return false;
	for (; *value; value++)
		if (*value <= ' ' || *value == '"' || *value == '=' ||
		    *value == '\\' || *value == 0x7f)
			return false;
	return true;
}

GString *logline_new(const char *event)
{
	GString *line = g_string_new("event=");

	g_string_append(line, event);
	return line;
}

void logline_str(GString *line, const char *key, const char *value)
{
	char *escaped;

	g_string_append_printf(line, " %s=", key);
	if (logline_is_plain(value)) {
		g_string_append(line, value);
		return;
	}
	escaped = g_strescape(value, NULL);
	g_string_append_printf(line, "\"%s\"", escaped);
	g_free(escaped);
}

void logline_u64(GString *line, const char *key, uint64_t value)
{
	g_string_append_printf(line, " %s=%" G_GUINT64_FORMAT, key, value);
}

void logline_id(GString *line, const char *key, uint64_t value)
{
	g_string_append_printf(line, " %s=%016" G_GINT64_MODIFIER "x", key,
			       value);
}
