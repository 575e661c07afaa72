#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "loop.h"
#include "store_file.h"
#include "store_image.h"

/* Interval of retries on a full disk; a write that fails costs little. */
#define STORE_RETRY_MS 200

struct store {
	void (*synced)(void *ctx, uint64_t sync_nr, enum result result);
	void (*full)(void *ctx, bool full);
	void *ctx;
	int dir_fd;
	int lock_fd;
	int log_fd; /* -1: there is no log yet */
	GSource *sync; /* scheduled write and sync, NULL: none */
	uint64_t sync_nr; /* of the latest request */
	enum result result; /* first error; nothing is written after it */
	bool is_full; /* writes wait for free space on the disk */
	struct store_content content;
	struct store_image image;

	/* pending writes, done in this order */
	GByteArray *hard; /* encoded hard state, empty: none */
	GByteArray *snapshot; /* encoded records, empty: none */
	bool stale; /* the log is missing or starts before the snapshot's end */
	GByteArray *batch; /* encoded entries to append to the log */

	/* the log file */
	uint64_t first_index; /* of the entry of slots[0] */
	GArray *slots; /* struct store_slot of each entry, by index */
	guint nr_written; /* entries in the file; the rest is in the batch */
	uint64_t log_size; /* bytes of complete batches */
	bool torn; /* a failed write may have left bytes after log_size */
	uint64_t salt; /* random, identifies the batches of this file */
	uint64_t batch_nr; /* of the last batch in the file */
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

/* Copies the record at @a data to the end of @a out and updates its slot. */
static enum result store_copy_record(const uint8_t *data, size_t size,
				     struct store_slot *slot, GByteArray *out)
{
	struct store_record raw;

	if (!store_get(data, size, &raw))
		return RESULT_CORRUPT;
	slot->offset = out->len;
	g_byte_array_append(out, data, (guint)raw.size);
	return RESULT_OK;
}

/* Copies the log's records with a slot to @a out and updates the slots. */
static enum result store_copy_log(const struct store *store, GArray *slots,
				  GByteArray *out)
{
	GByteArray *tail = g_byte_array_new();
	enum result res = RESULT_OK;
	uint64_t start = 0;

	if (store->nr_written) {
		start = g_array_index(slots, struct store_slot, 0).offset;
		res = store_read_tail(store, start, tail);
	}
	for (guint i = 0; res == RESULT_OK && i < store->nr_written; i++) {
		struct store_slot *slot =
			&g_array_index(slots, struct store_slot, i);
		uint64_t at = slot->offset - start;

		res = store_copy_record(tail->data + at, tail->len - at, slot,
					out);
	}
	g_byte_array_unref(tail);
	return res;
}

/*
 * Drops entries without a slot from the batch: in a log that now starts at a
 * later index, they would leave a gap.
 */
static void store_prune_batch(struct store *store)
{
	GByteArray *old = store->batch;

	store->batch = g_byte_array_new();
	for (guint i = store->nr_written; i < store->slots->len; i++) {
		struct store_slot *slot =
			&g_array_index(store->slots, struct store_slot, i);
		uint64_t at = slot->offset;
		enum result res = store_copy_record(
			old->data + at, old->len - at, slot, store->batch);

		g_assert(res == RESULT_OK);
	}
	g_byte_array_unref(old);
}

/*
 * Replaces the log by a new file with the entries that have a slot. The members
 * that describe the file change only after the replacement.
 */
static enum result store_rewrite_log(struct store *store)
{
	GArray *slots = g_array_copy(store->slots);
	GByteArray *out = g_byte_array_new();
	uint64_t old_salt = store->salt;
	enum result res;

	g_byte_array_append(out, (const uint8_t *)STORE_MAGIC,
			    STORE_MAGIC_BYTES);
	store->salt = loop_random_u64();
	store_put_batch(store, out);
	res = store_copy_log(store, slots, out);
	if (res == RESULT_OK)
		res = store_replace_file(store->dir_fd, STORE_LOG, out->data,
					 out->len);
	if (res == RESULT_OK)
		res = store_open_log(store);
	if (res == RESULT_OK) {
		store->log_size = out->len;
		store->torn = false;
		store->stale = false;
		g_array_unref(store->slots);
		store->slots = g_array_ref(slots);
		store_prune_batch(store);
	} else {
		store->salt = old_salt;
	}
	g_array_unref(slots);
	g_byte_array_unref(out);
	return res;
}

/* Truncates bytes that a failed write left at the end of the log. */
static enum result store_truncate_tail(struct store *store)
{
	if (!store->torn)
		return RESULT_OK;
	if (ftruncate(store->log_fd, (off_t)store->log_size))
		return store_errno_result(errno);
	store->torn = false;
	return RESULT_OK;
}

static enum result store_write_batch(struct store *store)
{
	GByteArray *out = g_byte_array_new();
	enum result res = store_truncate_tail(store);
	uint64_t start;

	store->batch_nr++;
	store_put_batch(store, out);
	start = store->log_size + out->len;
	g_byte_array_append(out, store->batch->data, store->batch->len);
	if (res == RESULT_OK) {
		store->torn = true;
		res = store_write_all(store->log_fd, out->data, out->len);
		if (res == RESULT_OK && fdatasync(store->log_fd))
			res = store_errno_result(errno);
	}
	if (res != RESULT_OK) {
		store->batch_nr--;
		/* If this fails, it is retried before the next write. */
		store_truncate_tail(store);
		goto out;
	}
	store->torn = false;
	store->log_size += out->len;
	for (guint i = store->nr_written; i < store->slots->len; i++)
		g_array_index(store->slots, struct store_slot, i).offset +=
			start;
	store->nr_written = store->slots->len;
	g_byte_array_set_size(store->batch, 0);
out:
	g_byte_array_unref(out);
	return res;
}

static enum result store_replace(const struct store *store, const char *name,
				 GByteArray *content)
{
	enum result res = store_replace_file(store->dir_fd, name, content->data,
					     content->len);

	if (res == RESULT_OK)
		g_byte_array_set_size(content, 0);
	return res;
}

/*
 * Does all pending writes. The hard state is first, as the term of an entry on
 * disk must not exceed its term. The snapshot must be on disk before the
 * entries that follow it. Writes that fail on a full disk stay pending.
 */
static enum result store_flush(struct store *store)
{
	enum result res = store->result;

	if (res == RESULT_OK && store->hard->len)
		res = store_replace(store, STORE_HARD, store->hard);
	if (res == RESULT_OK && store->snapshot->len)
		res = store_replace(store, STORE_SNAPSHOT, store->snapshot);
	if (res == RESULT_OK && store->stale)
		res = store_rewrite_log(store);
	if (res == RESULT_OK && store->batch->len)
		res = store_write_batch(store);
	if (res != RESULT_DISK_FULL)
		store->result = res;
	return res;
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

	/*
	 * Entries from the index on stay in the file until the next appended
	 * entry, which replaces them when the file is read.
	 */
	g_assert(index >= store->first_index);
	if (index - store->first_index >= store->slots->len)
		return;
	g_array_set_size(store->slots, (guint)(index - store->first_index));
	store->nr_written = MIN(store->nr_written, store->slots->len);
}

static void store_append(void *ctx, const struct log_entry *entry)
{
	struct store *store = ctx;
	struct store_slot slot = { .term = entry->term,
				   .offset = store->batch->len };

	g_assert(entry->index == store->first_index + store->slots->len);
	store_put(store->batch, REC_LOG_ENTRY, entry);
	g_array_append_val(store->slots, slot);
}

static void store_write_snapshot(void *ctx, const struct snapshot_head *head,
				 const struct snapshot_record *records)
{
	struct store *store = ctx;
	const struct store_slot *slot;
	uint64_t covered = store->slots->len;

	g_byte_array_set_size(store->snapshot, 0);
	store_put(store->snapshot, REC_SNAPSHOT_HEAD, head);
	for (uint64_t i = 0; i < head->nr_records; i++)
		store_put(store->snapshot, records[i].record.type,
			  records[i].record.body);
	/* Later entries stay only if the log has the snapshot's last entry. */
	slot = store_slot(store, head->last_index);
	if (slot && slot->term == head->last_term)
		covered = head->last_index - store->first_index + 1;
	g_array_remove_range(store->slots, 0, (guint)covered);
	store->nr_written -= MIN(store->nr_written, (guint)covered);
	store->first_index = head->last_index + 1;
	store->stale = true;
	store_flush(store);
}

static void store_set_full(struct store *store, bool full)
{
	if (store->is_full == full)
		return;
	store->is_full = full;
	store->full(store->ctx, full);
}

static void store_schedule_sync(struct store *store, GSource *source);

static gboolean store_sync_now(gpointer data)
{
	struct store *store = data;
	enum result res;

	g_clear_pointer(&store->sync, g_source_unref);
	res = store_flush(store);
	store_set_full(store, res == RESULT_DISK_FULL);
	if (res == RESULT_DISK_FULL)
		store_schedule_sync(store,
				    g_timeout_source_new(STORE_RETRY_MS));
	else
		store->synced(store->ctx, store->sync_nr, res);
	return G_SOURCE_REMOVE;
}

static void store_schedule_sync(struct store *store, GSource *source)
{
	store->sync = source;
	g_source_set_callback(source, store_sync_now, store, NULL);
	g_source_attach(source, NULL);
}

static void store_sync(void *ctx, uint64_t sync_nr)
{
	struct store *store = ctx;
	GSource *source;

	store->sync_nr = sync_nr;
	if (store->sync)
		return;
	/*
	 * With the default priority of an idle source, which is lower, messages
	 * would starve the sync.
	 */
	source = g_idle_source_new();
	g_source_set_priority(source, G_PRIORITY_DEFAULT);
	store_schedule_sync(store, source);
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
	store->nr_written = store->slots->len;
	store->first_index = content->snapshot.last_index + 1;
	store->batch_nr = content->batch_nr;
	store->log_size = content->log_size;
	store->salt = content->salt;
	/* Otherwise a later start would match the snapshot with old entries. */
	store->stale = !store->salt || content->stale;
	store->torn = content->truncated_bytes > 0;
	if (store->salt)
		res = store_open_log(store);
	if (res == RESULT_OK)
		res = store_truncate_tail(store);
	if (res == RESULT_OK)
		res = store_flush(store);
	/* Writes that fail on a full disk are retried with the first sync. */
	return res == RESULT_DISK_FULL ? RESULT_OK : res;
}

enum result store_open(const struct store_opts *opts, struct store **out)
{
	struct store *store = g_new0(struct store, 1);
	enum result res;

	*out = NULL;
	store->synced = opts->synced;
	store->full = opts->full;
	store->ctx = opts->ctx;
	store->dir_fd = store->lock_fd = store->log_fd = -1;
	store->hard = g_byte_array_new();
	store->snapshot = g_byte_array_new();
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
	g_byte_array_unref(store->snapshot);
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

uint64_t store_truncated_bytes(const struct store *store)
{
	return store->content.truncated_bytes;
}
