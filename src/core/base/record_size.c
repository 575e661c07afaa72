#include "record_size.h"

#include <string.h>

/* Maximum encoded size of a tag and a length, or of a tag and a number. */
#define FIELD_OVERHEAD_BYTES 12

static uint64_t body_size(const struct schema *schema, const void *body);

static uint64_t structs_size(const struct field *field, const char *body)
{
	uint32_t nr =
		*(const uint32_t *)(const void *)(body + field->nr_offset);
	const char *items =
		*(char *const *)(const void *)(body + field->offset);
	uint64_t size = 0;

	for (uint32_t i = 0; i < nr; i++)
		size += FIELD_OVERHEAD_BYTES +
			body_size(field->schema,
				  items + (size_t)i * field->schema->size);
	return size;
}

static uint64_t field_size(const struct field *field, const char *body)
{
	const void *at = body + field->offset;
	GBytes *bytes;
	uint32_t nr;

	switch (field->kind) {
	case FIELD_STRING:
		return strlen(at);
	case FIELD_BYTES:
		bytes = *(GBytes *const *)at;
		return bytes ? g_bytes_get_size(bytes) : 0;
	case FIELD_STRUCT:
		return body_size(field->schema, at);
	case FIELD_STRUCTS:
		return structs_size(field, body);
	case FIELD_U64S:
		nr = *(const uint32_t *)(const void *)(body + field->nr_offset);
		return (uint64_t)nr * FIELD_OVERHEAD_BYTES;
	case FIELD_RECORD:
		return FIELD_OVERHEAD_BYTES +
		       record_size(*(const struct record *)at);
	default:
		return 0;
	}
}

static uint64_t body_size(const struct schema *schema, const void *body)
{
	uint64_t size = 0;

	for (uint32_t i = 0; i < schema->nr_fields; i++)
		size += FIELD_OVERHEAD_BYTES +
			field_size(&schema->fields[i], body);
	return size;
}

uint64_t record_size(struct record record)
{
	return record.body ? body_size(schema_of(record.type), record.body) : 0;
}
