#include "check_report.h"

#include <string.h>

static void finding_free(void *data)
{
	struct check_finding *finding = data;

	g_free(finding->where);
	g_free(finding->text);
	g_free(finding);
}

/* Returns a copy without line breaks and control sequences of terminals. */
static char *printable(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	GString *out = g_string_new(NULL);
	uint32_t nr = 0;

	for (const char *c = valid; *c && nr < CHECK_TEXT_MAX; nr++) {
		gunichar code = g_utf8_get_char(c);

		g_string_append_unichar(out,
					g_unichar_isprint(code) ? code : '?');
		c = g_utf8_next_char(c);
	}
	if (nr == CHECK_TEXT_MAX)
		g_string_append(out, "...");
	g_free(valid);
	return g_string_free(out, FALSE);
}

void check_report_init(struct check_report *report)
{
	memset(report, 0, sizeof(*report));
	report->findings = g_ptr_array_new_with_free_func(finding_free);
}

void check_report_clear(struct check_report *report)
{
	g_clear_pointer(&report->findings, g_ptr_array_unref);
}

void check_report_add(struct check_report *report, enum check_kind kind,
		      const char *where, const char *format, ...)
{
	struct check_finding *finding;
	va_list args;
	char *text;

	if (report->nr[kind]++ >= CHECK_KIND_MAX)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	finding = g_new0(struct check_finding, 1);
	finding->kind = kind;
	finding->where = printable(where);
	finding->text = printable(text);
	g_ptr_array_add(report->findings, finding);
	g_free(text);
}

uint32_t check_report_faults(const struct check_report *report)
{
	return report->nr[CHECK_ERROR] + report->nr[CHECK_UNREACHABLE] +
	       report->nr[CHECK_CONFLICT];
}

uint32_t check_report_differences(const struct check_report *report)
{
	return report->nr[CHECK_ADDED] + report->nr[CHECK_REMOVED] +
	       report->nr[CHECK_CHANGED];
}

const char *check_kind_name(enum check_kind kind)
{
	static const char *const names[CHECK_NR_KINDS] = {
		[CHECK_ERROR] = "error",
		[CHECK_UNREACHABLE] = "unreachable",
		[CHECK_CONFLICT] = "conflict",
		[CHECK_ADDED] = "added",
		[CHECK_REMOVED] = "removed",
		[CHECK_CHANGED] = "changed",
	};

	return names[kind];
}
