#ifndef FRAME_H
#define FRAME_H

/**
 * @file frame.h
 * Frames of the protocol between entry, agent and control processes. A frame is
 * a big-endian 32-bit length of the rest, a big-endian 16-bit type, and the
 * protobuf body.
 */

#include <glib.h>
#include <stdint.h>

#include "result.h"

#define FRAME_HEADER_BYTES 6

/** Appends a frame to @a out. @a body is a struct of the schema of @a type. */
void frame_append(GByteArray *out, uint32_t type, const void *body);

/**
 * Decodes the first frame of @a data. Returns RESULT_OK and sets @a type, @a
 * body (a new reference, released with record_unref()) and @a used, the size of
 * the frame; RESULT_IN_PROGRESS if the frame isn't complete; RESULT_TOO_LARGE,
 * RESULT_MALFORMED, RESULT_OUT_OF_RANGE or RESULT_VERSION if the frame is
 * invalid.
 */
enum result frame_read(const uint8_t *data, size_t size, size_t *used,
		       uint32_t *type, void **body);

#endif /* FRAME_H */
