#include <string.h>

#include "schema.h"
#include "settings_impl.h"

enum result settings_fail(char **error, enum result res, const char *format,
			  ...)
{
	va_list args;

	va_start(args, format);
	*error = g_strdup_vprintf(format, args);
	va_end(args);
	return res;
}

static const struct setting *values_setting(size_t i)
{
	size_t nr;

	return &settings_table(&nr)[i];
}

const char *values_source(const struct setting_values *values, size_t i)
{
	return values->source[i] ? values->source[i] : values_setting(i)->name;
}

enum result values_text(const struct setting_values *values, size_t i, char *to,
			size_t capacity, char **error)
{
	const char *value = values->value[i];

	if (!value)
		value = values_setting(i)->default_value;
	if (strlen(value) >= capacity)
		return settings_fail(error, RESULT_OUT_OF_RANGE,
				     "%s is longer than %zu bytes",
				     values_source(values, i), capacity - 1);
	text_set(to, capacity, value);
	return RESULT_OK;
}

enum result values_number(const struct setting_values *values, size_t i,
			  uint32_t max, uint32_t *to, char **error)
{
	const char *value = values->value[i];
	GError *gerror = NULL;
	enum result res;
	guint64 number;

	if (!value)
		value = values_setting(i)->default_value;
	if (g_ascii_string_to_unsigned(value, 10, 0, max, &number, &gerror)) {
		*to = (uint32_t)number;
		return RESULT_OK;
	}
	res = g_error_matches(gerror, G_NUMBER_PARSER_ERROR,
			      G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS) ?
		      RESULT_OUT_OF_RANGE :
		      RESULT_MALFORMED;
	g_clear_error(&gerror);
	return settings_fail(error, res,
			     "%s: \"%s\" is not a number from 0 to %u",
			     values_source(values, i), value, max);
}

enum result values_address(const struct setting_values *values, size_t i,
			   gboolean any_port, char *to, char **error)
{
	enum result res = values_text(values, i, to, ADDRESS_BYTES, error);

	if (res != RESULT_OK || !to[0])
		return res;
	res = settings_check_address(to, any_port);
	if (res != RESULT_OK)
		settings_fail(error, res, "%s: \"%s\" is not IP:PORT",
			      values_source(values, i), to);
	return res;
}

enum result values_decimal_s(const struct setting_values *values, size_t i,
			     uint32_t max_ms, uint32_t *to_ms, char **error)
{
	const char *value = values->value[i];
	char decimals[] = "000";
	guint64 whole_s = 0;
	guint64 part_ms = 0;
	const char *point;
	char *whole;
	bool valid;

	if (!value)
		value = values_setting(i)->default_value;
	point = strchr(value, '.');
	whole = point ? g_strndup(value, (gsize)(point - value)) :
			g_strdup(value);
	valid = g_ascii_string_to_unsigned(whole, 10, 0, G_MAXUINT32, &whole_s,
					   NULL);
	g_free(whole);
	if (point) {
		size_t nr = strlen(point + 1);

		valid = valid && nr && nr < sizeof(decimals);
		if (valid)
			memcpy(decimals, point + 1, nr);
		valid = valid && g_ascii_string_to_unsigned(
					 decimals, 10, 0, 999, &part_ms, NULL);
	}
	if (!valid)
		return settings_fail(error, RESULT_MALFORMED,
				     "%s: \"%s\" is no number of seconds",
				     values_source(values, i), value);
	if (whole_s * 1000 + part_ms > max_ms)
		return settings_fail(error, RESULT_OUT_OF_RANGE,
				     "%s: \"%s\" is above %u s",
				     values_source(values, i), value,
				     max_ms / 1000);
	*to_ms = (uint32_t)(whole_s * 1000 + part_ms);
	return RESULT_OK;
}

enum result values_choice(const struct setting_values *values, size_t i,
			  const char *const *choices, uint32_t *to,
			  char **error)
{
	const char *value = values->value[i];

	if (!value)
		value = values_setting(i)->default_value;
	for (uint32_t j = 0; choices[j]; j++) {
		if (value[0] && !strcmp(choices[j], value)) {
			*to = j;
			return RESULT_OK;
		}
	}
	return settings_fail(error, RESULT_MALFORMED,
			     "%s: \"%s\" is not one of: %s",
			     values_source(values, i), value,
			     values_setting(i)->help);
}
