#include "schema.h"

#include <stdbool.h>
#include <string.h>

#include "schema_tables.h"

static const struct schema_entry *const schema_groups[] = {
	schema_link,	schema_request, schema_control,	 schema_raft,
	schema_command, schema_op,	schema_platform, schema_flow,
};

/*
 * Precedes every body that schema_alloc() returns. The size of 16 bytes keeps
 * the body aligned.
 */
struct body_header {
	uint64_t refs; /* number of references */
	uint64_t type; /* as in struct record */
};

static struct body_header *body_header(void *body)
{
	return (struct body_header *)body - 1;
}

static void *field_at(const struct field *field, void *body)
{
	return (char *)body + field->offset;
}

static uint32_t *field_count(const struct field *field, void *body)
{
	return (uint32_t *)(void *)((char *)body + field->nr_offset);
}

static void field_clear(const struct field *field, void *body)
{
	void *at = field_at(field, body);
	char *items;

	switch (field->kind) {
	case FIELD_BYTES:
		g_clear_pointer((GBytes **)at, g_bytes_unref);
		break;
	case FIELD_STRUCT:
		schema_clear(field->schema, at);
		break;
	case FIELD_STRUCTS:
		items = *(char **)at;
		for (uint32_t i = 0; i < *field_count(field, body); i++)
			schema_clear(field->schema,
				     items + (size_t)i * field->schema->size);
		g_free(items);
		break;
	case FIELD_U64S:
		g_free(*(void **)at);
		break;
	case FIELD_RECORD:
		record_unref(*(struct record *)at);
		break;
	default:
		break;
	}
}

/*
 * Completes the copy of a field in @a dst, which is a bitwise copy of another
 * body: copies arrays and adds references, so that @a dst owns its arrays and
 * references.
 */
static void field_deep_copy(const struct field *field, void *dst)
{
	void *at = field_at(field, dst);
	uint32_t nr;
	char *items;
	char *copy;

	switch (field->kind) {
	case FIELD_BYTES:
		if (*(GBytes **)at)
			g_bytes_ref(*(GBytes **)at);
		break;
	case FIELD_STRUCT:
		for (uint32_t i = 0; i < field->schema->nr_fields; i++)
			field_deep_copy(&field->schema->fields[i], at);
		break;
	case FIELD_STRUCTS:
		nr = *field_count(field, dst);
		items = *(char **)at;
		copy = nr ? g_malloc0_n(nr, field->schema->size) : NULL;
		for (uint32_t i = 0; i < nr; i++)
			schema_copy(field->schema,
				    copy + (size_t)i * field->schema->size,
				    items + (size_t)i * field->schema->size);
		*(char **)at = copy;
		break;
	case FIELD_U64S:
		nr = *field_count(field, dst);
		*(void **)at = g_memdup2(*(void **)at, nr * sizeof(uint64_t));
		break;
	case FIELD_RECORD:
		*(struct record *)at = record_ref(*(struct record *)at);
		break;
	default:
		break;
	}
}

const struct schema *schema_of(uint32_t type)
{
	for (size_t i = 0; i < G_N_ELEMENTS(schema_groups); i++)
		for (const struct schema_entry *e = schema_groups[i]; e->schema;
		     e++)
			if (e->type == type)
				return e->schema;
	return NULL;
}

void schema_clear(const struct schema *schema, void *body)
{
	for (uint32_t i = 0; i < schema->nr_fields; i++)
		field_clear(&schema->fields[i], body);
	memset(body, 0, schema->size);
}

void schema_copy(const struct schema *schema, void *dst, const void *src)
{
	memcpy(dst, src, schema->size);
	for (uint32_t i = 0; i < schema->nr_fields; i++)
		field_deep_copy(&schema->fields[i], dst);
}

void *schema_alloc(uint32_t type)
{
	const struct schema *schema = schema_of(type);
	struct body_header *head;

	g_assert(schema);
	head = g_malloc0(sizeof(*head) + schema->size);
	head->refs = 1;
	head->type = type;
	return head + 1;
}

void *schema_dup(uint32_t type, const void *body)
{
	void *copy = schema_alloc(type);

	schema_copy(schema_of(type), copy, body);
	return copy;
}

struct record record_ref(struct record record)
{
	if (record.body)
		body_header(record.body)->refs++;
	return record;
}

void record_unref(struct record record)
{
	struct body_header *head;

	if (!record.body)
		return;
	head = body_header(record.body);
	g_assert(head->refs > 0);
	if (--head->refs)
		return;
	schema_clear(schema_of(head->type), record.body);
	g_free(head);
}

void text_set(char *dst, size_t capacity, const char *src)
{
	g_strlcpy(dst, src ? src : "", capacity);
}
