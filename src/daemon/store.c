#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "loop.h"
#include "store_file.h"
#include "store_image.h"

struct store {
	void (*synced)(void *ctx, uint64_t sync_nr, enum result result);
	void *ctx;
	int dir_fd;
	int lock_fd;
	int log_fd;
	GSource *sync; /* pending, NULL: none */
	uint64_t sync_nr;
	enum result result; /* the first failure; nothing is written after it */
	struct store_content content;
	struct store_image image;

	/* written since the last sync */
	GByteArray *hard;
	GByteArray *batch;

	/* the log file, with the batch that goes to its end */
	uint64_t first_index; /* of slots[0] */
	GArray *slots; /* of struct store_slot */
	uint64_t log_size;
	uint64_t salt;
	uint64_t batch_nr;
};

static struct store_slot *store_slot(struct store *store, uint64_t index)
{
	if (index < store->first_index ||
	    index - store->first_index >= store->slots->len)
		return NULL;
	return &g_array_index(store->slots, struct store_slot,
			      index - store->first_index);
}

static void store_put_batch(const struct store *store, GByteArray *out)
{
	uint64_t body[2] = { GUINT64_TO_BE(store->salt),
			     GUINT64_TO_BE(store->batch_nr) };

	store_put_raw(out, STORE_BATCH, body, sizeof(body));
}

static enum result store_open_log(struct store *store)
{
	if (store->log_fd >= 0)
		close(store->log_fd);
	store->log_fd =
		openat(store->dir_fd, STORE_LOG, O_RDWR | O_APPEND | O_CLOEXEC);
	return store->log_fd < 0 ? store_errno_result(errno) : RESULT_OK;
}

static enum result store_read_tail(const struct store *store, uint64_t offset,
				   GByteArray *out)
{
	size_t done = 0;

	g_byte_array_set_size(out, (guint)(store->log_size - offset));
	while (done < out->len) {
		ssize_t nr = pread(store->log_fd, out->data + done,
				   out->len - done, (off_t)(offset + done));

		if (nr < 0 && errno == EINTR)
			continue;
		if (nr <= 0)
			return RESULT_IO;
		done += (size_t)nr;
	}
	return RESULT_OK;
}

/* Writes a new log file with the entries that have a slot. */
static enum result store_rewrite_log(struct store *store)
{
	GByteArray *tail = g_byte_array_new();
	GByteArray *out = g_byte_array_new();
	uint64_t start = store->log_size;
	enum result res = RESULT_OK;

	if (store->slots->len) {
		start = g_array_index(store->slots, struct store_slot, 0)
				.offset;
		res = store_read_tail(store, start, tail);
	}
	g_byte_array_append(out, (const uint8_t *)STORE_MAGIC,
			    STORE_MAGIC_BYTES);
	store->salt = loop_random_u64();
	store_put_batch(store, out);
	for (guint i = 0; res == RESULT_OK && i < store->slots->len; i++) {
		struct store_slot *slot =
			&g_array_index(store->slots, struct store_slot, i);
		const uint8_t *at = tail->data + (slot->offset - start);
		struct store_record raw;

		if (!store_get(at, tail->len - (slot->offset - start), &raw)) {
			res = RESULT_CORRUPT;
			break;
		}
		slot->offset = out->len;
		g_byte_array_append(out, at, (guint)raw.size);
	}
	if (res == RESULT_OK)
		res = store_replace_file(store->dir_fd, STORE_LOG, out->data,
					 out->len);
	if (res == RESULT_OK)
		res = store_open_log(store);
	store->log_size = out->len;
	g_byte_array_unref(tail);
	g_byte_array_unref(out);
	return res;
}

/* Appends the batch; what a failed write left behind is cut off again. */
static enum result store_write_batch(struct store *store)
{
	enum result res = store_write_all(store->log_fd, store->batch->data,
					  store->batch->len);

	if (res != RESULT_OK) {
		if (ftruncate(store->log_fd, (off_t)store->log_size))
			return RESULT_IO;
		return res;
	}
	if (fdatasync(store->log_fd))
		return store_errno_result(errno);
	store->log_size += store->batch->len;
	g_byte_array_set_size(store->batch, 0);
	return RESULT_OK;
}

/* The hard state goes first: no entry may be of a term it doesn't know. */
static void store_flush(struct store *store)
{
	if (store->result == RESULT_OK && store->hard->len)
		store->result = store_replace_file(store->dir_fd, STORE_HARD,
						   store->hard->data,
						   store->hard->len);
	g_byte_array_set_size(store->hard, 0);
	if (store->result == RESULT_OK && store->batch->len)
		store->result = store_write_batch(store);
}

static void store_write_hard_state(void *ctx, const struct hard_state *state)
{
	struct store *store = ctx;

	g_byte_array_set_size(store->hard, 0);
	store_put(store->hard, REC_HARD_STATE, state);
}

static void store_truncate(void *ctx, uint64_t index)
{
	struct store *store = ctx;

	/* On disk, the entry that follows replaces those behind it. */
	g_assert(index >= store->first_index);
	if (index - store->first_index < store->slots->len)
		g_array_set_size(store->slots,
				 (guint)(index - store->first_index));
}

static void store_append(void *ctx, const struct log_entry *entry)
{
	struct store *store = ctx;
	struct store_slot slot = { .term = entry->term };

	g_assert(entry->index == store->first_index + store->slots->len);
	if (!store->batch->len) {
		store->batch_nr++;
		store_put_batch(store, store->batch);
	}
	slot.offset = store->log_size + store->batch->len;
	store_put(store->batch, REC_LOG_ENTRY, entry);
	g_array_append_val(store->slots, slot);
}

static void store_write_snapshot(void *ctx, const struct snapshot_head *head,
				 const struct snapshot_record *records)
{
	struct store *store = ctx;
	GByteArray *out = g_byte_array_new();
	const struct store_slot *slot;
	uint64_t covered = store->slots->len;

	store_put(out, REC_SNAPSHOT_HEAD, head);
	for (uint64_t i = 0; i < head->nr_records; i++)
		store_put(out, records[i].record.type, records[i].record.body);
	/* Entries behind a snapshot must not be on disk before it. */
	store_flush(store);
	if (store->result == RESULT_OK)
		store->result = store_replace_file(
			store->dir_fd, STORE_SNAPSHOT, out->data, out->len);
	g_byte_array_unref(out);
	/* The log goes on behind the snapshot only if it holds its last entry.
	 */
	slot = store_slot(store, head->last_index);
	if (slot && slot->term == head->last_term)
		covered = head->last_index - store->first_index + 1;
	g_array_remove_range(store->slots, 0, (guint)covered);
	store->first_index = head->last_index + 1;
	if (store->result == RESULT_OK)
		store->result = store_rewrite_log(store);
}

static gboolean store_sync_now(gpointer data)
{
	struct store *store = data;

	g_clear_pointer(&store->sync, g_source_unref);
	store_flush(store);
	store->synced(store->ctx, store->sync_nr, store->result);
	return G_SOURCE_REMOVE;
}

static void store_sync(void *ctx, uint64_t sync_nr)
{
	struct store *store = ctx;

	store->sync_nr = sync_nr;
	if (store->sync)
		return;
	/* As urgent as messages, which would keep a lower priority waiting. */
	store->sync = g_idle_source_new();
	g_source_set_priority(store->sync, G_PRIORITY_DEFAULT);
	g_source_set_callback(store->sync, store_sync_now, store, NULL);
	g_source_attach(store->sync, NULL);
}

const struct store_ops store_file_ops = {
	.write_hard_state = store_write_hard_state,
	.append = store_append,
	.truncate = store_truncate,
	.write_snapshot = store_write_snapshot,
	.sync = store_sync,
};

static enum result store_lock(struct store *store, const char *path)
{
	if (mkdir(path, 0700) && errno != EEXIST)
		return store_errno_result(errno);
	store->dir_fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->dir_fd < 0)
		return store_errno_result(errno);
	store->lock_fd = openat(store->dir_fd, "lock",
				O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (store->lock_fd < 0)
		return store_errno_result(errno);
	if (flock(store->lock_fd, LOCK_EX | LOCK_NB))
		return errno == EWOULDBLOCK ? RESULT_CONFLICT : RESULT_IO;
	return RESULT_OK;
}

static enum result store_load(struct store *store)
{
	struct store_content *content = &store->content;
	enum result res = store_content_read(content, store->dir_fd);

	if (res != RESULT_OK)
		return res;
	store->image.hard_state = content->hard_state;
	store->image.snapshot = content->snapshot;
	store->image.records = (void *)content->records->data;
	store->image.nr_entries = content->entries->len;
	store->image.entries = (void *)content->entries->data;
	store->slots = g_array_ref(content->slots);
	store->first_index = content->snapshot.last_index + 1;
	store->batch_nr = content->batch_nr;
	store->log_size = content->log_size;
	store->salt = content->salt;
	if (!store->salt)
		return store_rewrite_log(store);
	res = store_open_log(store);
	if (res == RESULT_OK && content->cut_bytes &&
	    (ftruncate(store->log_fd, (off_t)store->log_size) ||
	     fsync(store->log_fd)))
		res = store_errno_result(errno);
	/* Else a later reading would match the snapshot with old entries. */
	if (res == RESULT_OK && content->stale)
		res = store_rewrite_log(store);
	return res;
}

enum result store_open(const struct store_opts *opts, struct store **out)
{
	struct store *store = g_new0(struct store, 1);
	enum result res;

	*out = NULL;
	store->synced = opts->synced;
	store->ctx = opts->ctx;
	store->dir_fd = store->lock_fd = store->log_fd = -1;
	store->hard = g_byte_array_new();
	store->batch = g_byte_array_new();
	store_content_init(&store->content);
	res = store_lock(store, opts->path);
	if (res == RESULT_OK)
		res = store_load(store);
	if (res != RESULT_OK)
		store_close(store);
	else
		*out = store;
	return res;
}

void store_close(struct store *store)
{
	if (!store)
		return;
	if (store->sync)
		g_source_destroy(store->sync);
	g_clear_pointer(&store->sync, g_source_unref);
	store_drop_image(store);
	if (store->slots)
		g_array_unref(store->slots);
	g_byte_array_unref(store->hard);
	g_byte_array_unref(store->batch);
	if (store->log_fd >= 0)
		close(store->log_fd);
	if (store->lock_fd >= 0)
		close(store->lock_fd);
	if (store->dir_fd >= 0)
		close(store->dir_fd);
	g_free(store);
}

const struct store_image *store_image(const struct store *store)
{
	return &store->image;
}

void store_drop_image(struct store *store)
{
	memset(&store->image, 0, sizeof(store->image));
	if (store->content.records)
		store_content_clear(&store->content);
	memset(&store->content, 0, sizeof(store->content));
}

uint64_t store_cut_bytes(const struct store *store)
{
	return store->content.cut_bytes;
}
