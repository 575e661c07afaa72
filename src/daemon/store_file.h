#ifndef STORE_FILE_H
#define STORE_FILE_H

/**
 * @file store_file.h
 * Records in files. A record is the length of type and body (32 bits, big
 * endian, as all numbers), the CRC-32 of type and body, the type (16 bits) and
 * the body.
 */

#include <glib.h>
#include <stdint.h>

#include "result.h"

#define STORE_HEAD_BYTES 10 /* length, CRC and type */

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

/** Returns RESULT_DISK_FULL or RESULT_IO for an errno value. */
enum result store_errno_result(int error);
enum result store_write_all(int fd, const uint8_t *data, size_t size);
/** Reads a whole file; a missing file reads as an empty one. */
enum result store_read_file(int dir_fd, const char *name, GByteArray *out);
/**
 * Replaces a file so that a crash leaves the old or the new content: writes and
 * syncs a temporary file, renames it and syncs the folder.
 */
enum result store_replace_file(int dir_fd, const char *name,
			       const uint8_t *data, size_t size);

#endif /* STORE_FILE_H */
