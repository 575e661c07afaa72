#ifndef PBMAP_H
#define PBMAP_H

/**
 * @file pbmap.h
 * Encodes and decodes the core's structs as protobuf messages by their field
 * tables.
 */

#include <glib.h>
#include <stdint.h>

#include "result.h"

/** Appends the encoded body to @a out and returns its size in bytes. */
uint32_t pb_encode(GByteArray *out, uint32_t type, const void *body);

/**
 * Decodes a body of @a type. On RESULT_OK, @a body is a new reference that the
 * caller releases with record_unref(). Returns RESULT_VERSION for an unknown
 * type, RESULT_MALFORMED for invalid protobuf, or RESULT_OUT_OF_RANGE for text
 * that is too long for its field.
 */
enum result pb_decode(uint32_t type, const uint8_t *data, size_t size,
		      void **body);

#endif /* PBMAP_H */
