#include "pbmap.h"

#include <stdbool.h>
#include <string.h>

#include "masticreach.pb-c.h"
#include "schema.h"

/*
 * Maximum nesting of records in records. A record of a snapshot may be a log
 * entry, which contains a command; no other record is nested more deeply.
 */
#define PB_MAX_DEPTH 3

struct pb_type {
	uint32_t type;
	const ProtobufCMessageDescriptor *descriptor;
};

static const struct pb_type pb_types[] = {
#include "pb_types.inc"
};

static const ProtobufCMessageDescriptor *pb_descriptor(uint32_t type)
{
	for (size_t i = 0; i < G_N_ELEMENTS(pb_types); i++)
		if (pb_types[i].type == type)
			return pb_types[i].descriptor;
	return NULL;
}

static ProtobufCMessage *pb_build(GPtrArray *arena, const struct schema *schema,
				  const ProtobufCMessageDescriptor *descriptor,
				  const void *body);

static void *pb_arena_alloc(GPtrArray *arena, size_t size)
{
	void *mem = g_malloc0(size ? size : 1);

	g_ptr_array_add(arena, mem);
	return mem;
}

static void pb_build_bytes(ProtobufCBinaryData *out, GBytes *bytes)
{
	gsize size;

	if (!bytes)
		return;
	out->data = (uint8_t *)g_bytes_get_data(bytes, &size);
	out->len = size;
}

static void pb_build_structs(GPtrArray *arena, const struct field *field,
			     const ProtobufCFieldDescriptor *pb,
			     const char *body, char *out)
{
	uint32_t nr =
		*(const uint32_t *)(const void *)(body + field->nr_offset);
	const char *items =
		*(char *const *)(const void *)(body + field->offset);
	ProtobufCMessage **list = pb_arena_alloc(arena, nr * sizeof(*list));

	for (uint32_t i = 0; i < nr; i++)
		list[i] = pb_build(arena, field->schema, pb->descriptor,
				   items + (size_t)i * field->schema->size);
	*(size_t *)(void *)(out + pb->quantifier_offset) = nr;
	*(ProtobufCMessage ***)(void *)(out + pb->offset) = list;
}

static void pb_build_record(GPtrArray *arena, const struct record *record,
			    Masticreach__Record **out)
{
	Masticreach__Record *message;
	GByteArray *packed;

	if (!record->body)
		return;
	message = pb_arena_alloc(arena, sizeof(*message));
	masticreach__record__init(message);
	message->type = record->type;
	packed = g_byte_array_new();
	message->body.len = pb_encode(packed, record->type, record->body);
	message->body.data = g_byte_array_free(packed, FALSE);
	g_ptr_array_add(arena, message->body.data);
	*out = message;
}

static void pb_build_field(GPtrArray *arena, const struct field *field,
			   const ProtobufCFieldDescriptor *pb, const char *body,
			   char *out)
{
	const void *at = body + field->offset;
	void *to = out + pb->offset;

	switch (field->kind) {
	case FIELD_BOOL:
		*(protobuf_c_boolean *)to = *(const bool *)at;
		break;
	case FIELD_U32:
		*(uint32_t *)to = *(const uint32_t *)at;
		break;
	case FIELD_U64:
		*(uint64_t *)to = *(const uint64_t *)at;
		break;
	case FIELD_STRING:
		*(const char **)to = at;
		break;
	case FIELD_BYTES:
		pb_build_bytes(to, *(GBytes *const *)at);
		break;
	case FIELD_STRUCT:
		*(ProtobufCMessage **)to =
			pb_build(arena, field->schema, pb->descriptor, at);
		break;
	case FIELD_STRUCTS:
		pb_build_structs(arena, field, pb, body, out);
		break;
	case FIELD_U64S:
		*(size_t *)(void *)(out + pb->quantifier_offset) =
			*(const uint32_t *)(const void *)(body +
							  field->nr_offset);
		*(uint64_t **)to = *(uint64_t *const *)at;
		break;
	case FIELD_RECORD:
		pb_build_record(arena, at, to);
		break;
	}
}

static ProtobufCMessage *pb_build(GPtrArray *arena, const struct schema *schema,
				  const ProtobufCMessageDescriptor *descriptor,
				  const void *body)
{
	ProtobufCMessage *message =
		pb_arena_alloc(arena, descriptor->sizeof_message);

	g_assert(descriptor->n_fields == schema->nr_fields);
	protobuf_c_message_init(descriptor, message);
	for (uint32_t i = 0; i < schema->nr_fields; i++)
		pb_build_field(arena, &schema->fields[i],
			       &descriptor->fields[i], body, (char *)message);
	return message;
}

static enum result pb_read(const struct schema *schema,
			   const ProtobufCMessage *message, void *body,
			   uint32_t depth);

static enum result pb_decode_at(uint32_t type, const uint8_t *data, size_t size,
				uint32_t depth, void **body)
{
	const struct schema *schema = schema_of(type);
	const ProtobufCMessageDescriptor *descriptor = pb_descriptor(type);
	ProtobufCMessage *message;
	enum result res;

	if (!schema || !descriptor)
		return RESULT_VERSION;
	if (depth > PB_MAX_DEPTH)
		return RESULT_MALFORMED;
	message = protobuf_c_message_unpack(descriptor, NULL, size, data);
	if (!message)
		return RESULT_MALFORMED;
	*body = schema_alloc(type);
	res = pb_read(schema, message, *body, depth);
	if (res != RESULT_OK) {
		record_unref((struct record){ type, *body });
		*body = NULL;
	}
	protobuf_c_message_free_unpacked(message, NULL);
	return res;
}

static enum result pb_read_structs(const struct field *field,
				   const ProtobufCFieldDescriptor *pb,
				   const char *from, char *body, uint32_t depth)
{
	size_t nr =
		*(const size_t *)(const void *)(from + pb->quantifier_offset);
	ProtobufCMessage **list =
		*(ProtobufCMessage * *const *)(const void *)(from + pb->offset);
	char *items = nr ? g_malloc0_n(nr, field->schema->size) : NULL;
	enum result res = RESULT_OK;

	*(char **)(void *)(body + field->offset) = items;
	*(uint32_t *)(void *)(body + field->nr_offset) = (uint32_t)nr;
	for (size_t i = 0; i < nr && res == RESULT_OK; i++)
		res = pb_read(field->schema, list[i],
			      items + i * field->schema->size, depth);
	return res;
}

static enum result pb_read_record(const Masticreach__Record *from,
				  struct record *record, uint32_t depth)
{
	if (!from)
		return RESULT_OK;
	record->type = from->type;
	return pb_decode_at(from->type, from->body.data, from->body.len,
			    depth + 1, &record->body);
}

static enum result pb_read_field(const struct field *field,
				 const ProtobufCFieldDescriptor *pb,
				 const char *from, char *body, uint32_t depth)
{
	const void *at = from + pb->offset;
	void *to = body + field->offset;
	const ProtobufCBinaryData *bytes = at;
	size_t nr;

	switch (field->kind) {
	case FIELD_BOOL:
		*(bool *)to = *(const protobuf_c_boolean *)at != 0;
		break;
	case FIELD_U32:
		*(uint32_t *)to = *(const uint32_t *)at;
		break;
	case FIELD_U64:
		*(uint64_t *)to = *(const uint64_t *)at;
		break;
	case FIELD_STRING:
		if (strlen(*(char *const *)at) >= field->capacity)
			return RESULT_OUT_OF_RANGE;
		text_set(to, field->capacity, *(char *const *)at);
		break;
	case FIELD_BYTES:
		if (bytes->len)
			*(GBytes **)to = g_bytes_new(bytes->data, bytes->len);
		break;
	case FIELD_STRUCT:
		if (!*(ProtobufCMessage *const *)at)
			break;
		return pb_read(field->schema, *(ProtobufCMessage *const *)at,
			       to, depth);
	case FIELD_STRUCTS:
		return pb_read_structs(field, pb, from, body, depth);
	case FIELD_U64S:
		nr = *(const size_t *)(const void *)(from +
						     pb->quantifier_offset);
		*(uint32_t *)(void *)(body + field->nr_offset) = (uint32_t)nr;
		*(void **)to = nr ? g_memdup2(*(void *const *)at,
					      nr * sizeof(uint64_t)) :
				    NULL;
		break;
	case FIELD_RECORD:
		return pb_read_record(*(Masticreach__Record *const *)at, to,
				      depth);
	}
	return RESULT_OK;
}

static enum result pb_read(const struct schema *schema,
			   const ProtobufCMessage *message, void *body,
			   uint32_t depth)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;
	enum result res = RESULT_OK;

	for (uint32_t i = 0; i < schema->nr_fields && res == RESULT_OK; i++)
		res = pb_read_field(&schema->fields[i], &descriptor->fields[i],
				    (const char *)message, body, depth);
	return res;
}

uint32_t pb_encode(GByteArray *out, uint32_t type, const void *body)
{
	const struct schema *schema = schema_of(type);
	const ProtobufCMessageDescriptor *descriptor = pb_descriptor(type);
	GPtrArray *arena = g_ptr_array_new_with_free_func(g_free);
	ProtobufCMessage *message;
	guint old = out->len;
	size_t size;

	g_assert(schema && descriptor);
	message = pb_build(arena, schema, descriptor, body);
	size = protobuf_c_message_get_packed_size(message);
	g_byte_array_set_size(out, old + (guint)size);
	protobuf_c_message_pack(message, out->data + old);
	g_ptr_array_free(arena, TRUE);
	return (uint32_t)size;
}

enum result pb_decode(uint32_t type, const uint8_t *data, size_t size,
		      void **body)
{
	*body = NULL;
	return pb_decode_at(type, data, size, 0, body);
}
