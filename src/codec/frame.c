#include "frame.h"

#include "tunables.h"
#include "pbmap.h"

#define FRAME_TYPE_BYTES 2

void frame_append(GByteArray *out, uint32_t type, const void *body)
{
	guint start = out->len;
	uint32_t size;
	uint8_t *head;

	g_byte_array_set_size(out, start + FRAME_HEADER_BYTES);
	size = pb_encode(out, type, body) + FRAME_TYPE_BYTES;
	head = out->data + start;
	head[0] = (uint8_t)(size >> 24);
	head[1] = (uint8_t)(size >> 16);
	head[2] = (uint8_t)(size >> 8);
	head[3] = (uint8_t)size;
	head[4] = (uint8_t)(type >> 8);
	head[5] = (uint8_t)type;
}

enum result frame_read(const uint8_t *data, size_t size, size_t *used,
		       uint32_t *type, void **body)
{
	uint32_t length;
	enum result res;

	*used = 0;
	*body = NULL;
	if (size < 4)
		return RESULT_IN_PROGRESS;
	length = (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
		 (uint32_t)data[2] << 8 | data[3];
	if (length > FRAME_MAX_BYTES)
		return RESULT_TOO_LARGE;
	if (length < FRAME_TYPE_BYTES)
		return RESULT_MALFORMED;
	if (size - 4 < length)
		return RESULT_IN_PROGRESS;
	*type = (uint32_t)data[4] << 8 | data[5];
	res = pb_decode(*type, data + FRAME_HEADER_BYTES,
			length - FRAME_TYPE_BYTES, body);
	if (res == RESULT_OK)
		*used = 4 + (size_t)length;
	return res;
}
