#include "json.h"

#include <stdbool.h>
#include <string.h>

#include "json_text.h"
#include "schema.h"

static JsonObject *json_object_from(const struct schema *schema,
				    const char *body);
static enum result json_object_to(const struct schema *schema,
				  JsonObject *object, char *body, char **error);

static JsonNode *json_from_bytes(GBytes *bytes)
{
	JsonNode *node = json_node_new(JSON_NODE_VALUE);
	gsize size = 0;
	const void *data = bytes ? g_bytes_get_data(bytes, &size) : NULL;
	char *text = g_base64_encode(data, size);

	json_node_set_string(node, text);
	g_free(text);
	return node;
}

static JsonNode *json_from_array(const struct field *field, const char *body)
{
	uint32_t nr =
		*(const uint32_t *)(const void *)(body + field->nr_offset);
	const char *items =
		*(char *const *)(const void *)(body + field->offset);
	JsonArray *array = json_array_sized_new(nr);
	JsonNode *node = json_node_new(JSON_NODE_ARRAY);

	for (uint32_t i = 0; i < nr; i++) {
		if (field->kind == FIELD_U64S)
			json_array_add_int_element(
				array, (gint64)((const uint64_t *)(const void *)
							items)[i]);
		else
			json_array_add_object_element(
				array,
				json_object_from(
					field->schema,
					items + (size_t)i *
							field->schema->size));
	}
	json_node_take_array(node, array);
	return node;
}

static JsonNode *json_from_field(const struct field *field, const char *body)
{
	const void *at = body + field->offset;
	JsonNode *node;

	switch (field->kind) {
	case FIELD_BYTES:
		return json_from_bytes(*(GBytes *const *)at);
	case FIELD_STRUCTS:
	case FIELD_U64S:
		return json_from_array(field, body);
	case FIELD_STRUCT:
		node = json_node_new(JSON_NODE_OBJECT);
		json_node_take_object(node,
				      json_object_from(field->schema, at));
		return node;
	default:
		break;
	}
	node = json_node_new(JSON_NODE_VALUE);
	if (field->kind == FIELD_BOOL)
		json_node_set_boolean(node, *(const bool *)at);
	else if (field->kind == FIELD_U32)
		json_node_set_int(node, *(const uint32_t *)at);
	else if (field->kind == FIELD_U64)
		json_node_set_int(node, (gint64) * (const uint64_t *)at);
	else
		json_node_set_string(node, at);
	return node;
}

static JsonObject *json_object_from(const struct schema *schema,
				    const char *body)
{
	JsonObject *object = json_object_new();

	for (uint32_t i = 0; i < schema->nr_fields; i++) {
		g_assert(schema->fields[i].kind != FIELD_RECORD);
		json_object_set_member(object, schema->fields[i].name,
				       json_from_field(&schema->fields[i],
						       body));
	}
	return object;
}

static enum result json_fail(char **error, enum result res, const char *name,
			     const char *problem)
{
	if (error && !*error)
		*error = g_strdup_printf("member \"%s\" %s", name, problem);
	return res;
}

static enum result json_to_number(const struct field *field, JsonNode *node,
				  uint64_t *value, char **error)
{
	gint64 number;

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return json_fail(error, RESULT_MALFORMED, field->name,
				 "is not an integer");
	number = json_node_get_int(node);
	if (number < 0)
		return json_fail(error, RESULT_OUT_OF_RANGE, field->name,
				 "is negative or too large");
	if (field->kind == FIELD_U32 && number > UINT32_MAX)
		return json_fail(error, RESULT_OUT_OF_RANGE, field->name,
				 "is too large");
	*value = (uint64_t)number;
	return RESULT_OK;
}

static enum result json_to_text(const struct field *field, JsonNode *node,
				void *to, char **error)
{
	const char *text;
	guchar *data;
	gsize size;

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return json_fail(error, RESULT_MALFORMED, field->name,
				 "is not a string");
	text = json_node_get_string(node);
	if (field->kind == FIELD_BYTES) {
		data = g_base64_decode(text, &size);
		*(GBytes **)to = g_bytes_new_take(data, size);
		return RESULT_OK;
	}
	if (strlen(text) >= field->capacity)
		return json_fail(error, RESULT_OUT_OF_RANGE, field->name,
				 "is too long");
	text_set(to, field->capacity, text);
	return RESULT_OK;
}

static enum result json_to_item(const struct field *field, JsonNode *item,
				char *items, uint32_t i, char **error)
{
	uint64_t *numbers = (uint64_t *)(void *)items;

	if (field->kind == FIELD_U64S)
		return json_to_number(field, item, &numbers[i], error);
	if (!JSON_NODE_HOLDS_OBJECT(item))
		return json_fail(error, RESULT_MALFORMED, field->name,
				 "holds something that is not an object");
	return json_object_to(field->schema, json_node_get_object(item),
			      items + (size_t)i * field->schema->size, error);
}

static enum result json_to_array(const struct field *field, JsonNode *node,
				 char *body, char **error)
{
	size_t item_size = field->schema ? field->schema->size :
					   sizeof(uint64_t);
	JsonArray *array;
	enum result res = RESULT_OK;
	char *items;
	uint32_t nr;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return json_fail(error, RESULT_MALFORMED, field->name,
				 "is not an array");
	array = json_node_get_array(node);
	nr = json_array_get_length(array);
	items = nr ? g_malloc0_n(nr, item_size) : NULL;
	*(char **)(void *)(body + field->offset) = items;
	*(uint32_t *)(void *)(body + field->nr_offset) = nr;
	for (uint32_t i = 0; i < nr && res == RESULT_OK; i++)
		res = json_to_item(field, json_array_get_element(array, i),
				   items, i, error);
	return res;
}

static enum result json_to_field(const struct field *field, JsonNode *node,
				 char *body, char **error)
{
	void *to = body + field->offset;
	uint64_t value = 0;
	enum result res;

	switch (field->kind) {
	case FIELD_BOOL:
		if (!JSON_NODE_HOLDS_VALUE(node) ||
		    json_node_get_value_type(node) != G_TYPE_BOOLEAN)
			return json_fail(error, RESULT_MALFORMED, field->name,
					 "is not a boolean");
		*(bool *)to = json_node_get_boolean(node);
		return RESULT_OK;
	case FIELD_U32:
		res = json_to_number(field, node, &value, error);
		*(uint32_t *)to = (uint32_t)value;
		return res;
	case FIELD_U64:
		return json_to_number(field, node, to, error);
	case FIELD_STRING:
	case FIELD_BYTES:
		return json_to_text(field, node, to, error);
	case FIELD_STRUCT:
		if (!JSON_NODE_HOLDS_OBJECT(node))
			return json_fail(error, RESULT_MALFORMED, field->name,
					 "is not an object");
		return json_object_to(field->schema, json_node_get_object(node),
				      to, error);
	case FIELD_STRUCTS:
	case FIELD_U64S:
		return json_to_array(field, node, body, error);
	default:
		return RESULT_MALFORMED;
	}
}

static const struct field *json_find_field(const struct schema *schema,
					   const char *name)
{
	for (uint32_t i = 0; i < schema->nr_fields; i++)
		if (!strcmp(schema->fields[i].name, name))
			return &schema->fields[i];
	return NULL;
}

static enum result json_object_to(const struct schema *schema,
				  JsonObject *object, char *body, char **error)
{
	const struct field *field;
	enum result res = RESULT_OK;
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, object);
	while (res == RESULT_OK && json_object_iter_next(&iter, &name, &node)) {
		field = json_find_field(schema, name);
		res = field ? json_to_field(field, node, body, error) :
			      json_fail(error, RESULT_MALFORMED, name,
					"is unknown");
	}
	return res;
}

JsonNode *json_from_body(uint32_t type, const void *body)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, json_object_from(schema_of(type), body));
	return node;
}

char *json_text_from_body(uint32_t type, const void *body, gboolean pretty)
{
	JsonNode *node = json_from_body(type, body);
	char *text = json_to_string(node, pretty);

	json_node_unref(node);
	return text;
}

enum result json_to_body(uint32_t type, JsonNode *node, void **body,
			 char **error)
{
	enum result res;

	*body = NULL;
	if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
		if (error)
			*error = g_strdup("not a JSON object");
		return RESULT_MALFORMED;
	}
	*body = schema_alloc(type);
	res = json_object_to(schema_of(type), json_node_get_object(node), *body,
			     error);
	if (res != RESULT_OK) {
		record_unref((struct record){ type, *body });
		*body = NULL;
	}
	return res;
}

enum result json_text_to_body(uint32_t type, const char *text, gssize size,
			      void **body, char **error)
{
	struct json_parse_error parse_error;
	JsonNode *root = json_parse(text, size, &parse_error);
	enum result res;

	*body = NULL;
	if (!root) {
		if (error)
			*error = json_parse_error_text(&parse_error);
		return RESULT_MALFORMED;
	}
	res = json_to_body(type, root, body, error);
	json_node_unref(root);
	return res;
}
