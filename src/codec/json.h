#ifndef JSON_H
#define JSON_H

/**
 * @file json.h
 * Converts the core's structs to and from JSON by their field tables. Byte
 * fields are base64 text.
 */

#include <json-glib/json-glib.h>
#include <stdint.h>

#include "result.h"

/** Returns the body as a new JSON object node. */
JsonNode *json_from_body(uint32_t type, const void *body);

/** Returns the body as new JSON text, indented if @a pretty. */
char *json_text_from_body(uint32_t type, const void *body, gboolean pretty);

/**
 * Creates a body of @a type from a JSON object. Absent members are zero.
 * Returns RESULT_MALFORMED for unknown members and wrong types,
 * RESULT_OUT_OF_RANGE for negative or too large values; @a error, if not NULL,
 * is then set to a new message that names the member.
 */
enum result json_to_body(uint32_t type, JsonNode *node, void **body,
			 char **error);

/** As json_to_body(), from @a size bytes of text, -1: NUL-terminated. */
enum result json_text_to_body(uint32_t type, const char *text, gssize size,
			      void **body, char **error);

#endif /* JSON_H */
