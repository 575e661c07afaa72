#ifndef JSON_H
#define JSON_H

/**
 * @file json.h
 * Converts the core's structs to and from JSON by their schemas (field tables).
 * Fields of bytes are base64 text.
 */

#include <json-glib/json-glib.h>
#include <stdint.h>

#include "result.h"

/** Returns a body of @a type as a new JSON object node. */
JsonNode *json_from_body(uint32_t type, const void *body);

/** Returns a body of @a type as new JSON text, indented if @a pretty. */
char *json_text_from_body(uint32_t type, const void *body, gboolean pretty);

/**
 * Creates a body of @a type from a JSON object. Absent members are zero.
 * Returns RESULT_MALFORMED for unknown members and wrong types, and
 * RESULT_OUT_OF_RANGE for negative or too large values. In both cases @a error,
 * if not NULL, is set to a new message that names the invalid member.
 */
enum result json_to_body(uint32_t type, JsonNode *node, void **body,
			 char **error);

/**
 * As json_to_body(), from JSON text of @a size bytes; -1: the text ends with a
 * NUL.
 */
enum result json_text_to_body(uint32_t type, const char *text, gssize size,
			      void **body, char **error);

#endif /* JSON_H */
