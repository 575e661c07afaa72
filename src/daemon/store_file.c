#include "store_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>
#include <zlib.h>

#include "pbmap.h"
#include "tunables.h"

#define STORE_TYPE_BYTES 2

static void put_u32(uint8_t *at, uint32_t value)
{
	at[0] = (uint8_t)(value >> 24);
	at[1] = (uint8_t)(value >> 16);
	at[2] = (uint8_t)(value >> 8);
	at[3] = (uint8_t)value;
}

static uint32_t get_u32(const uint8_t *at)
{
	return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
	       (uint32_t)at[2] << 8 | at[3];
}

/* Fills the head of the record that begins at @a start. */
static void store_fill_header(GByteArray *out, guint start, uint32_t type)
{
	uint8_t *head = out->data + start;
	uint32_t length = out->len - start - 8;

	head[8] = (uint8_t)(type >> 8);
	head[9] = (uint8_t)type;
	put_u32(head, length);
	put_u32(head + 4, (uint32_t)crc32(0, head + 8, length));
}

void store_put_raw(GByteArray *out, uint32_t type, const void *body,
		   uint32_t size)
{
	guint start = out->len;

	g_byte_array_set_size(out, start + STORE_HEAD_BYTES);
	g_byte_array_append(out, body, size);
	store_fill_header(out, start, type);
}

void store_put(GByteArray *out, uint32_t type, const void *body)
{
	guint start = out->len;

	g_byte_array_set_size(out, start + STORE_HEAD_BYTES);
	pb_encode(out, type, body);
	store_fill_header(out, start, type);
}

gboolean store_get(const uint8_t *data, size_t size,
		   struct store_record *record)
{
	uint32_t length;

	if (size < STORE_HEAD_BYTES)
		return FALSE;
	length = get_u32(data);
	if (length < STORE_TYPE_BYTES || length > FRAME_MAX_BYTES ||
	    length > size - 8)
		return FALSE;
	if (get_u32(data + 4) != (uint32_t)crc32(0, data + 8, length))
		return FALSE;
	record->type = (uint32_t)data[8] << 8 | data[9];
	record->body = data + STORE_HEAD_BYTES;
	record->body_size = length - STORE_TYPE_BYTES;
	record->size = (size_t)length + 8;
	return TRUE;
}

enum result store_errno_result(int error)
{
	return error == ENOSPC || error == EDQUOT || error == EFBIG ?
		       RESULT_DISK_FULL :
		       RESULT_IO;
}

enum result store_write_all(int fd, const uint8_t *data, size_t size)
{
	while (size) {
		ssize_t nr = write(fd, data, size);

		if (nr < 0 && errno == EINTR)
			continue;
		if (nr < 0)
			return store_errno_result(errno);
		data += nr;
		size -= (size_t)nr;
	}
	return RESULT_OK;
}

enum result store_read_file(int dir_fd, const char *name, GByteArray *out)
{
	uint8_t block[65536];
	enum result res = RESULT_OK;
	int fd = openat(dir_fd, name, O_RDONLY | O_CLOEXEC);
	ssize_t nr;

	if (fd < 0)
		return errno == ENOENT ? RESULT_OK : store_errno_result(errno);
	while ((nr = read(fd, block, sizeof(block))) != 0) {
		if (nr > 0) {
			g_byte_array_append(out, block, (guint)nr);
		} else if (errno != EINTR) {
			res = store_errno_result(errno);
			break;
		}
	}
	close(fd);
	return res;
}

enum result store_replace_file(int dir_fd, const char *name,
			       const uint8_t *data, size_t size)
{
	char temporary[NAME_BYTES];
	enum result res;
	int fd;

	g_snprintf(temporary, sizeof(temporary), "%s.new", name);
	fd = openat(dir_fd, temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		    0600);
	if (fd < 0)
		return store_errno_result(errno);
	res = store_write_all(fd, data, size);
	if (res == RESULT_OK && fsync(fd))
		res = store_errno_result(errno);
	if (close(fd) && res == RESULT_OK)
		res = store_errno_result(errno);
	if (res != RESULT_OK) {
		unlinkat(dir_fd, temporary, 0);
		return res;
	}
	if (renameat(dir_fd, temporary, dir_fd, name) || fsync(dir_fd))
		return store_errno_result(errno);
	return RESULT_OK;
}
