#ifndef JSON_H
#define JSON_H

/**
 * @file json.h
 * JSON encoding of the core's structs, driven by their field tables. Byte
 * fields are base64 text.
 */

#include <json-glib/json-glib.h>
#include <stdint.h>

#include "result.h"

/** Returns a new node for the body. */
JsonNode *json_from_body(uint32_t type, const void *body);

/** Returns the body as new text, indented if @a pretty. */
char *json_text_from_body(uint32_t type, const void *body, gboolean pretty);

/**
 * Fills a new body of @a type from a JSON object. Absent members are zero;
 * unknown members and wrong types are RESULT_MALFORMED, negative or too large
 * values RESULT_OUT_OF_RANGE. @a error, if not NULL, is set to a new message
 * that names the member.
 */
enum result json_to_body(uint32_t type, JsonNode *node, void **body,
			 char **error);

/** As json_to_body(), from text. */
enum result json_text_to_body(uint32_t type, const char *text, gssize size,
			      void **body, char **error);

#endif /* JSON_H */
