#include "store_image.h"

#include <string.h>

#include "pbmap.h"
#include "store_file.h"

static void content_record_clear(void *data)
{
	record_unref(((struct snapshot_record *)data)->record);
}

static void content_entry_clear(void *data)
{
	record_unref(((struct log_entry *)data)->command);
}

void store_content_init(struct store_content *content)
{
	memset(content, 0, sizeof(*content));
	content->records =
		g_array_new(FALSE, FALSE, sizeof(struct snapshot_record));
	g_array_set_clear_func(content->records, content_record_clear);
	content->entries = g_array_new(FALSE, FALSE, sizeof(struct log_entry));
	g_array_set_clear_func(content->entries, content_entry_clear);
	content->slots = g_array_new(FALSE, FALSE, sizeof(struct store_slot));
}

void store_content_clear(struct store_content *content)
{
	g_array_unref(content->records);
	g_array_unref(content->entries);
	g_array_unref(content->slots);
}

/* Reads the record at @a *at; a body that can't be decoded is corrupt. */
static enum result content_read_record(const GByteArray *data, size_t *at,
				       struct record *record)
{
	struct store_record raw;

	if (!store_get(data->data + *at, data->len - *at, &raw) ||
	    pb_decode(raw.type, raw.body, raw.body_size, &record->body) !=
		    RESULT_OK)
		return RESULT_CORRUPT;
	record->type = raw.type;
	*at += raw.size;
	return RESULT_OK;
}

static enum result content_read_hard(struct store_content *content,
				     const GByteArray *data)
{
	struct record record = { 0 };
	size_t at = 0;
	enum result res;

	if (!data->len)
		return RESULT_OK;
	res = content_read_record(data, &at, &record);
	if (res == RESULT_OK && record.type != REC_HARD_STATE)
		res = RESULT_CORRUPT;
	if (res == RESULT_OK)
		content->hard_state = *(struct hard_state *)record.body;
	record_unref(record);
	return res;
}

static enum result content_read_snapshot(struct store_content *content,
					 const GByteArray *data)
{
	struct record head = { 0 };
	size_t at = 0;
	enum result res;

	if (!data->len)
		return RESULT_OK;
	res = content_read_record(data, &at, &head);
	if (res == RESULT_OK && head.type != REC_SNAPSHOT_HEAD)
		res = RESULT_CORRUPT;
	if (res == RESULT_OK)
		content->snapshot = *(struct snapshot_head *)head.body;
	record_unref(head);
	for (uint64_t i = 0;
	     res == RESULT_OK && i < content->snapshot.nr_records; i++) {
		struct snapshot_record record = { 0 };

		res = content_read_record(data, &at, &record.record);
		if (res == RESULT_OK)
			g_array_append_val(content->records, record);
	}
	if (res == RESULT_OK && (!content->records->len || at != data->len))
		res = RESULT_CORRUPT;
	return res;
}

static uint64_t content_u64(const uint8_t *at)
{
	uint64_t value;

	memcpy(&value, at, sizeof(value));
	return GUINT64_FROM_BE(value);
}

static gboolean content_is_batch(const struct store_content *content,
				 const struct store_record *raw)
{
	return raw->type == STORE_BATCH &&
	       raw->body_size == STORE_BATCH_BYTES &&
	       content_u64(raw->body) == content->salt;
}

/* Returns true if a batch starts anywhere at or after @a at. */
static gboolean content_batch_follows(const struct store_content *content,
				      const GByteArray *data, size_t at)
{
	static const uint8_t head[4] = { 0, 0, 0, STORE_BATCH_BYTES + 2 };
	struct store_record raw;

	for (; at + sizeof(head) < data->len; at++)
		if (!memcmp(data->data + at, head, sizeof(head)) &&
		    store_get(data->data + at, data->len - at, &raw) &&
		    content_is_batch(content, &raw))
			return TRUE;
	return FALSE;
}

/* Adds an entry, which replaces all entries from its index on. */
static enum result content_add_entry(struct store_content *content,
				     const struct log_entry *entry,
				     uint64_t offset)
{
	struct store_slot slot = { entry->term, offset };
	struct log_entry copy = *entry;
	uint64_t first = entry->index;

	if (content->entries->len)
		first = g_array_index(content->entries, struct log_entry, 0)
				.index;
	if (entry->index < first) {
		g_array_set_size(content->entries, 0);
		g_array_set_size(content->slots, 0);
		first = entry->index;
	}
	if (entry->index > first + content->entries->len)
		return RESULT_CORRUPT;
	g_array_set_size(content->entries, (guint)(entry->index - first));
	g_array_set_size(content->slots, (guint)(entry->index - first));
	record_ref(copy.command);
	g_array_append_val(content->entries, copy);
	g_array_append_val(content->slots, slot);
	return RESULT_OK;
}

static enum result content_read_batches(struct store_content *content,
					const GByteArray *data, size_t at)
{
	struct store_record raw;
	enum result res = RESULT_OK;

	while (res == RESULT_OK && at < data->len) {
		struct record record = { 0 };

		if (!store_get(data->data + at, data->len - at, &raw)) {
			if (content_batch_follows(content, data, at + 1))
				return RESULT_CORRUPT;
			break;
		}
		if (content_is_batch(content, &raw)) {
			uint64_t nr = content_u64(raw.body + 8);

			if (nr != content->batch_nr + 1)
				return RESULT_CORRUPT;
			content->batch_nr = nr;
		} else if (raw.type != REC_LOG_ENTRY ||
			   pb_decode(raw.type, raw.body, raw.body_size,
				     &record.body) != RESULT_OK) {
			return RESULT_CORRUPT;
		} else {
			res = content_add_entry(content, record.body, at);
			record.type = raw.type;
			record_unref(record);
		}
		at += raw.size;
	}
	content->log_size = at;
	content->truncated_bytes = data->len - at;
	return res;
}

static enum result content_read_log(struct store_content *content,
				    const GByteArray *data)
{
	struct store_record raw;
	size_t at = STORE_MAGIC_BYTES;

	if (!data->len)
		return RESULT_OK;
	/* These were written before the file's rename, so can't be torn. */
	if (data->len < at || memcmp(data->data, STORE_MAGIC, at) != 0 ||
	    !store_get(data->data + at, data->len - at, &raw) ||
	    raw.type != STORE_BATCH || raw.body_size != STORE_BATCH_BYTES)
		return RESULT_CORRUPT;
	content->salt = content_u64(raw.body);
	content->batch_nr = content_u64(raw.body + 8);
	return content_read_batches(content, data, at + raw.size);
}

/* Drops the entries that the snapshot includes or contradicts. */
static enum result content_match_snapshot(struct store_content *content)
{
	const struct log_entry *first = (void *)content->entries->data;
	uint64_t last_index = content->snapshot.last_index;
	guint covered;

	if (!content->entries->len || first->index == last_index + 1)
		return RESULT_OK;
	/*
	 * The log starts after the entry that follows the snapshot, so a later
	 * snapshot is missing.
	 */
	if (first->index > last_index)
		return RESULT_CORRUPT;
	covered = content->entries->len;
	if (last_index - first->index < covered &&
	    first[last_index - first->index].term ==
		    content->snapshot.last_term)
		covered = (guint)(last_index - first->index + 1);
	g_array_remove_range(content->entries, 0, covered);
	g_array_remove_range(content->slots, 0, covered);
	content->stale = TRUE;
	return RESULT_OK;
}

enum result store_content_read(struct store_content *content, int dir_fd)
{
	static const struct {
		const char *name;
		enum result (*read)(struct store_content *content,
				    const GByteArray *data);
	} files[] = {
		{ STORE_HARD, content_read_hard },
		{ STORE_SNAPSHOT, content_read_snapshot },
		{ STORE_LOG, content_read_log },
	};
	enum result res = RESULT_OK;

	for (size_t i = 0; res == RESULT_OK && i < G_N_ELEMENTS(files); i++) {
		GByteArray *data = g_byte_array_new();

		res = store_read_file(dir_fd, files[i].name, data);
		if (res == RESULT_OK)
			res = files[i].read(content, data);
		g_byte_array_unref(data);
	}
	if (res != RESULT_OK)
		return res;
	/* The hard state is written before anything else. */
	if (!content->hard_state.node_id &&
	    (content->entries->len || content->records->len))
		return RESULT_CORRUPT;
	return content_match_snapshot(content);
}
