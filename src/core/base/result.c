#include "result.h"

#include <stddef.h>

struct result_entry {
	uint32_t code;
	const char *name;
	const char *summary;
};

static const struct result_entry result_entries[] = {
#define RESULT_ENTRY(number, identifier, name, summary) \
	{ number, name, summary },
	RESULT_TABLE(RESULT_ENTRY)
#undef RESULT_ENTRY
};

static const struct result_entry *result_find(uint32_t code)
{
	size_t nr = sizeof(result_entries) / sizeof(result_entries[0]);

	for (size_t i = 0; i < nr; i++)
		if (result_entries[i].code == code)
			return &result_entries[i];
	return NULL;
}

const char *result_name(uint32_t code)
{
	const struct result_entry *entry = result_find(code);

	return entry ? entry->name : "unknown";
}

const char *result_summary(uint32_t code)
{
	const struct result_entry *entry = result_find(code);

	return entry ? entry->summary : "unknown result code";
}
