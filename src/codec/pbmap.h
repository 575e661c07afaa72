#ifndef PBMAP_H
#define PBMAP_H

/**
 * @file pbmap.h
 * Encodes and decodes the core's structs as protobuf messages by their schemas
 * (field tables).
 */

#include <glib.h>
#include <stdint.h>

#include "result.h"

/** Appends an encoded body of @a type to @a out; returns its encoded size. */
uint32_t pb_encode(GByteArray *out, uint32_t type, const void *body);

/**
 * Decodes a body of @a type. On RESULT_OK, @a body is a new reference that the
 * caller releases with record_unref(). Returns RESULT_VERSION for an unknown
 * type, RESULT_MALFORMED for data that isn't valid protobuf, or
 * RESULT_OUT_OF_RANGE for a text that is too long for its field.
 */
enum result pb_decode(uint32_t type, const uint8_t *data, size_t size,
		      void **body);

#endif /* PBMAP_H */
