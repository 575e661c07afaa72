#ifndef JSON_TEXT_H
#define JSON_TEXT_H

/**
 * @file json_text.h
 * Parses JSON text from other processes. Text is checked before json-glib sees
 * it: json-glib 1.6 parses nested values recursively without a limit, and takes
 * comments, single quotes, octal numbers and other things that are not JSON.
 */

#include <json-glib/json-glib.h>
#include <stdint.h>

/**
 * Levels of arrays and objects in one document. Those of the interfaces have
 * less than 10; json-glib overflows a stack of 8 MiB at less than 100,000.
 */
#define JSON_NESTING_MAX 32

/** Why text is refused. */
struct json_parse_error {
	const char *what; /* static text */
	uint32_t line; /* both from 1 up */
	uint32_t column; /* in bytes */
};

/** Returns a new message that names the place. */
char *json_parse_error_text(const struct json_parse_error *fault);

/**
 * Parses one JSON document of @a size bytes, -1 for text that ends with a NUL.
 * Returns a new node, or NULL and sets @a fault: the text is no strict JSON, is
 * nested too deeply, or holds a value that json-glib would misread.
 */
JsonNode *json_parse(const char *text, gssize size,
		     struct json_parse_error *fault);

/**
 * As json_parse(), for documents that list what several writers said: a value
 * that can't be read (nested too deeply, text that is no valid UTF-8, a number
 * below the range of 64 bits) becomes null, and the rest stays. @a nr_replaced
 * counts these values.
 */
JsonNode *json_parse_list(const char *text, gssize size, uint32_t *nr_replaced,
			  struct json_parse_error *fault);

#endif /* JSON_TEXT_H */
