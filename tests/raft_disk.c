#include "raft_disk.h"

#include <check.h>

#define DISK_RETRY_US 200000 /* between attempts on a full disk */

enum disk_op_kind {
	DISK_HARD, /* writes the hard state: term and vote */
	DISK_APPEND,
	DISK_TRUNCATE,
	DISK_SNAPSHOT,
	DISK_SYNC,
};

struct disk_snapshot {
	struct snapshot_head head;
	GArray *records; /* struct snapshot_record */
};

struct disk_op {
	enum disk_op_kind kind;
	struct hard_state hard;
	struct log_entry entry;
	/* DISK_TRUNCATE: first index removed. DISK_SYNC: number of the sync. */
	uint64_t nr;
	struct disk_snapshot snapshot;
};

struct disk {
	struct hard_state hard;
	struct disk_snapshot snapshot;
	GArray *entries; /* struct log_entry */
	GQueue *pending; /* struct disk_op *, not synced yet, oldest first */
};

static void entry_clear(void *data)
{
	record_unref(((struct log_entry *)data)->command);
}

static void snapshot_record_clear(void *data)
{
	record_unref(((struct snapshot_record *)data)->record);
}

static void disk_op_free(void *data)
{
	struct disk_op *op = data;

	record_unref(op->entry.command);
	if (op->snapshot.records)
		g_array_unref(op->snapshot.records);
	g_free(op);
}

struct disk *disk_new(void)
{
	struct disk *disk = g_new0(struct disk, 1);

	disk->entries = g_array_new(FALSE, FALSE, sizeof(struct log_entry));
	g_array_set_clear_func(disk->entries, entry_clear);
	disk->pending = g_queue_new();
	return disk;
}

void disk_free(struct disk *disk)
{
	g_array_unref(disk->entries);
	g_queue_free_full(disk->pending, disk_op_free);
	if (disk->snapshot.records)
		g_array_unref(disk->snapshot.records);
	g_free(disk);
}

struct store_image disk_image(const struct disk *disk)
{
	struct store_image image = {
		.hard_state = disk->hard,
		.snapshot = disk->snapshot.head,
		.nr_entries = disk->entries->len,
		.entries = (void *)disk->entries->data,
	};

	if (disk->snapshot.records)
		image.records = (void *)disk->snapshot.records->data;
	return image;
}

static void disk_truncate(struct disk *disk, uint64_t index)
{
	uint64_t first = disk->snapshot.head.last_index + 1;

	ck_assert_uint_ge(index, first);
	if (index - first < disk->entries->len)
		g_array_set_size(disk->entries, (guint)(index - first));
}

static void disk_put_snapshot(struct disk *disk, struct disk_op *op)
{
	uint64_t first = disk->snapshot.head.last_index + 1;
	uint64_t last = op->snapshot.head.last_index;
	guint covered = disk->entries->len;

	ck_assert_uint_ge(last, first);
	if (last - first < covered &&
	    g_array_index(disk->entries, struct log_entry, last - first).term ==
		    op->snapshot.head.last_term)
		covered = (guint)(last - first + 1);
	g_array_remove_range(disk->entries, 0, covered);
	if (disk->snapshot.records)
		g_array_unref(disk->snapshot.records);
	disk->snapshot = op->snapshot;
	op->snapshot.records = NULL;
}

static void disk_put_entry(struct disk *disk, const struct log_entry *entry)
{
	struct log_entry copy = *entry;

	ck_assert_uint_eq(entry->index, disk->snapshot.head.last_index + 1 +
						disk->entries->len);
	record_ref(copy.command);
	g_array_append_val(disk->entries, copy);
}

/* Applies the oldest pending write or sync; returns a sync's number, else 0. */
static uint64_t disk_apply_oldest(struct disk *disk)
{
	struct disk_op *op = g_queue_pop_head(disk->pending);
	uint64_t sync_nr = 0;

	switch (op->kind) {
	case DISK_HARD:
		disk->hard = op->hard;
		break;
	case DISK_APPEND:
		disk_put_entry(disk, &op->entry);
		break;
	case DISK_TRUNCATE:
		disk_truncate(disk, op->nr);
		break;
	case DISK_SNAPSHOT:
		disk_put_snapshot(disk, op);
		break;
	case DISK_SYNC:
		sync_nr = op->nr;
		break;
	}
	disk_op_free(op);
	return sync_nr;
}

void disk_crash(struct disk *disk, struct sim *sim)
{
	uint64_t kept =
		sim_random(sim) % (g_queue_get_length(disk->pending) + 1);

	while (kept--)
		disk_apply_oldest(disk);
	g_queue_clear_full(disk->pending, disk_op_free);
}

static struct disk_op *disk_push(void *ctx, enum disk_op_kind kind)
{
	struct replica *replica = ctx;
	struct disk_op *op = g_new0(struct disk_op, 1);

	op->kind = kind;
	g_queue_push_tail(replica->disk->pending, op);
	return op;
}

static void disk_write_hard_state(void *ctx, const struct hard_state *state)
{
	disk_push(ctx, DISK_HARD)->hard = *state;
}

static void disk_append(void *ctx, const struct log_entry *entry)
{
	struct disk_op *op = disk_push(ctx, DISK_APPEND);

	op->entry = *entry;
	record_ref(entry->command);
}

static void disk_write_truncate(void *ctx, uint64_t index)
{
	disk_push(ctx, DISK_TRUNCATE)->nr = index;
}

static void disk_write_snapshot(void *ctx, const struct snapshot_head *head,
				const struct snapshot_record *records)
{
	struct disk_op *op = disk_push(ctx, DISK_SNAPSHOT);

	op->snapshot.head = *head;
	op->snapshot.records =
		g_array_new(FALSE, FALSE, sizeof(struct snapshot_record));
	g_array_set_clear_func(op->snapshot.records, snapshot_record_clear);
	for (uint64_t i = 0; i < head->nr_records; i++) {
		struct snapshot_record record = records[i];

		record_ref(record.record);
		g_array_append_val(op->snapshot.records, record);
	}
}

static void disk_synced(void *data)
{
	struct replica *replica = data;
	uint64_t sync_nr = 0;

	raft_store_full(replica->raft, replica->disk_full);
	if (replica->disk_full) {
		sim_call_after(replica->machine, DISK_RETRY_US, disk_synced,
			       replica);
		return;
	}
	if (replica->sync_result == RESULT_OK)
		while (!sync_nr)
			sync_nr = disk_apply_oldest(replica->disk);
	raft_synced(replica->raft, sync_nr, replica->sync_result);
}

static void disk_sync(void *ctx, uint64_t sync_nr)
{
	struct replica *replica = ctx;

	disk_push(ctx, DISK_SYNC)->nr = sync_nr;
	replica->world->syncs++;
	sim_call_after(replica->machine,
		       1 + world_random(replica->world, replica->sync_delay_us),
		       disk_synced, replica);
}

const struct store_ops disk_store_ops = {
	.write_hard_state = disk_write_hard_state,
	.append = disk_append,
	.truncate = disk_write_truncate,
	.write_snapshot = disk_write_snapshot,
	.sync = disk_sync,
};
