#ifndef FRAME_H
#define FRAME_H

/**
 * @file frame.h
 * Frames of the protocol between our processes: a big-endian 32-bit length of
 * what follows, a big-endian 16-bit type, and the protobuf body.
 */

#include <glib.h>
#include <stdint.h>

#include "result.h"

#define FRAME_HEADER_BYTES 6

/** Appends one frame to @a out. */
void frame_append(GByteArray *out, uint32_t type, const void *body);

/**
 * Reads the first frame of @a data. Returns RESULT_OK with the type, a new
 * reference to the body and the bytes used; RESULT_IN_PROGRESS if the frame is
 * not complete; RESULT_TOO_LARGE, RESULT_MALFORMED, RESULT_OUT_OF_RANGE or
 * RESULT_VERSION if it can't be read.
 */
enum result frame_read(const uint8_t *data, size_t size, size_t *used,
		       uint32_t *type, void **body);

#endif /* FRAME_H */
