#ifndef JSON_TEXT_H
#define JSON_TEXT_H

/**
 * @file json_text.h
 * Parses JSON text from other processes. The text is checked before json-glib
 * parses it: json-glib 1.6 parses nested values recursively without a limit,
 * and accepts comments, single quotes, octal numbers and other text that isn't
 * JSON.
 */

#include <json-glib/json-glib.h>
#include <stdint.h>

/**
 * Maximum nesting of arrays and objects in a document. Documents of the
 * interfaces have fewer than 10 levels; json-glib overflows a stack of 8 MiB at
 * fewer than 100,000.
 */
#define JSON_NESTING_MAX 32

/** Why and at which position a text was refused. */
struct json_parse_error {
	const char *reason; /* static text */
	uint32_t line; /* from 1 */
	uint32_t column; /* in bytes, from 1 */
};

/** Returns a new message that contains the position and the reason. */
char *json_parse_error_text(const struct json_parse_error *error);

/**
 * Parses a JSON document of @a size bytes; -1: the text ends with a NUL.
 * Returns a new node, or NULL and sets @a error if the text isn't strict JSON,
 * is nested too deeply, or contains a value that json-glib would misread.
 */
JsonNode *json_parse(const char *text, gssize size,
		     struct json_parse_error *error);

/**
 * As json_parse(), for documents with data from several sources: a value that
 * json_parse() would refuse (nested too deeply, a string that isn't valid
 * UTF-8, a number below the range of 64 bits) is replaced by null, and the rest
 * of the document is kept. Sets @a nr_replaced to the number of these values.
 */
JsonNode *json_parse_list(const char *text, gssize size, uint32_t *nr_replaced,
			  struct json_parse_error *error);

#endif /* JSON_TEXT_H */
