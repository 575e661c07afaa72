#ifndef STORE_FILE_H
#define STORE_FILE_H

/**
 * @file store_file.h
 * Records in files: a big-endian 32-bit length of type and body, their CRC-32,
 * a 16-bit type and the body.
 */

#include <glib.h>
#include <stdint.h>

#include "result.h"

#define STORE_HEAD_BYTES 10

struct store_record {
	uint32_t type;
	const uint8_t *body;
	uint32_t body_size;
	size_t size; /* of the whole record */
};

/** Appends a record with a raw body. */
void store_put_raw(GByteArray *out, uint32_t type, const void *body,
		   uint32_t size);
/** Appends a record with the protobuf encoding of a body. */
void store_put(GByteArray *out, uint32_t type, const void *body);
/** Reads the record at @a data; returns false if it isn't valid. */
gboolean store_get(const uint8_t *data, size_t size,
		   struct store_record *record);

/** Returns the code for an errno value. */
enum result store_errno_result(int error);
enum result store_write_all(int fd, const uint8_t *data, size_t size);
/** Reads a whole file; a missing one is empty. */
enum result store_read_file(int dir_fd, const char *name, GByteArray *out);
/** Replaces the file durably: temporary file, sync, rename, folder sync. */
enum result store_replace_file(int dir_fd, const char *name,
			       const uint8_t *data, size_t size);

#endif /* STORE_FILE_H */
