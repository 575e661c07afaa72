/**
 * @file test_store.c
 * Tests the store of a control replica: restarts, torn writes, corruption and a
 * full disk.
 */

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "command.h"
#include "store.h"
#include "suite.h"

/* A data folder and the store that is open on it. */
struct folder {
	char *path;
	struct store *store;
	uint64_t synced_nr; /* of the last sync */
	uint32_t nr_synced; /* number of syncs that ended */
	enum result result; /* of the last sync */
	bool is_full; /* as the store reported */
	uint64_t limit_bytes; /* largest size of a file, 0: no limit */
};

/*
 * Simulates a full disk by a limit on the size of files. It is set only while
 * the store writes, as the test's own files grow as well.
 */
static void folder_limit(const struct folder *folder, bool on)
{
	struct rlimit limit;

	signal(SIGXFSZ, SIG_IGN);
	g_assert(!getrlimit(RLIMIT_FSIZE, &limit));
	limit.rlim_cur = on && folder->limit_bytes ? folder->limit_bytes :
						     limit.rlim_max;
	g_assert(!setrlimit(RLIMIT_FSIZE, &limit));
}

static void folder_synced(void *ctx, uint64_t sync_nr, enum result result)
{
	struct folder *folder = ctx;

	folder->synced_nr = sync_nr;
	folder->nr_synced++;
	folder->result = result;
}

static void folder_full(void *ctx, bool full)
{
	struct folder *folder = ctx;

	folder->is_full = full;
}

static enum result folder_open(struct folder *folder)
{
	struct store_opts opts = { folder->path, folder_synced, folder_full,
				   folder };
	enum result res;

	folder_limit(folder, true);
	res = store_open(&opts, &folder->store);
	folder_limit(folder, false);
	return res;
}

static void folder_close(struct folder *folder)
{
	store_close(folder->store);
	folder->store = NULL;
}

static void folder_reopen(struct folder *folder)
{
	folder_close(folder);
	ck_assert_int_eq(folder_open(folder), RESULT_OK);
}

static void folder_make(struct folder *folder)
{
	GError *error = NULL;

	*folder = (struct folder){ 0 };
	folder->path = g_dir_make_tmp("masticreach-store-XXXXXX", &error);
	ck_assert(folder->path);
	ck_assert_int_eq(folder_open(folder), RESULT_OK);
}

static void folder_remove(struct folder *folder)
{
	static const char *const names[] = { "hard",	 "snapshot",
					     "log",	 "lock",
					     "hard.new", "snapshot.new",
					     "log.new" };

	folder_close(folder);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(folder->path, names[i], NULL);

		g_unlink(path);
		g_free(path);
	}
	ck_assert_int_eq(g_rmdir(folder->path), 0);
	g_free(folder->path);
}

static char *folder_file(const struct folder *folder, const char *name)
{
	return g_build_filename(folder->path, name, NULL);
}

static void folder_read(const struct folder *folder, const char *name,
			char **data, gsize *size)
{
	char *path = folder_file(folder, name);

	ck_assert(g_file_get_contents(path, data, size, NULL));
	g_free(path);
}

/* Doesn't use g_file_set_contents(), whose syncs would slow down the tests. */
static void folder_write(const struct folder *folder, const char *name,
			 const char *data, gsize size)
{
	char *path = folder_file(folder, name);
	FILE *file = fopen(path, "wb");

	ck_assert(file);
	ck_assert_uint_eq(fwrite(data, 1, size, file), size);
	ck_assert_int_eq(fclose(file), 0);
	g_free(path);
}

static enum result folder_sync(struct folder *folder)
{
	uint32_t before = folder->nr_synced;

	store_file_ops.sync(folder->store, folder->synced_nr + 1);
	ck_assert_uint_eq(folder->nr_synced, before);
	while (folder->nr_synced == before)
		g_main_context_iteration(NULL, TRUE);
	return folder->result;
}

static struct record value_record(uint64_t value)
{
	struct cmd_expire *expire = schema_alloc(CMD_EXPIRE);

	expire->claims_before_ms = value;
	return (struct record){ CMD_EXPIRE, expire };
}

static uint64_t record_value(struct record record)
{
	ck_assert_uint_eq(record.type, CMD_EXPIRE);
	return ((struct cmd_expire *)record.body)->claims_before_ms;
}

static void put_entry(struct folder *folder, uint64_t index, uint64_t term,
		      uint64_t value)
{
	struct log_entry entry = { index, term, value_record(value) };

	store_file_ops.append(folder->store, &entry);
	record_unref(entry.command);
}

static void put_hard(struct folder *folder, uint64_t term)
{
	struct hard_state hard = { .node_id = 77,
				   .term = term,
				   .voted_for = 5 };

	store_file_ops.write_hard_state(folder->store, &hard);
}

static void put_snapshot(struct folder *folder, uint64_t last_index,
			 uint64_t last_term, uint64_t nr)
{
	struct snapshot_head head = { last_index, last_term, nr };
	struct snapshot_record *records = g_new0(struct snapshot_record, nr);

	for (uint64_t i = 0; i < nr; i++)
		records[i].record = value_record(last_index * 1000 + i);
	folder_limit(folder, true);
	store_file_ops.write_snapshot(folder->store, &head, records);
	folder_limit(folder, false);
	for (uint64_t i = 0; i < nr; i++)
		record_unref(records[i].record);
	g_free(records);
}

/* Writes three batches of term 1 with the entries 1 to 3, 4 to 6, 7 to 9. */
static void put_three_batches(struct folder *folder)
{
	put_hard(folder, 1);
	for (uint64_t index = 1; index <= 9; index++) {
		put_entry(folder, index, 1, index * 10);
		if (index % 3 == 0)
			ck_assert_int_eq(folder_sync(folder), RESULT_OK);
	}
}

static void check_entries(const struct folder *folder, uint64_t first,
			  uint32_t nr)
{
	const struct store_image *image = store_image(folder->store);

	ck_assert_uint_eq(image->nr_entries, nr);
	for (uint32_t i = 0; i < nr; i++) {
		ck_assert_uint_eq(image->entries[i].index, first + i);
		ck_assert_uint_eq(record_value(image->entries[i].command),
				  (first + i) * 10);
	}
}

/* Guards against a restart that loses state. */
START_TEST(test_reopen)
{
	struct folder folder;
	const struct store_image *image;

	folder_make(&folder);
	image = store_image(folder.store);
	ck_assert_uint_eq(image->hard_state.node_id, 0);
	ck_assert_uint_eq(image->nr_entries, 0);
	put_three_batches(&folder);
	folder_reopen(&folder);
	image = store_image(folder.store);
	ck_assert_uint_eq(image->hard_state.node_id, 77);
	ck_assert_uint_eq(image->hard_state.term, 1);
	ck_assert_uint_eq(image->hard_state.voted_for, 5);
	check_entries(&folder, 1, 9);
	folder_remove(&folder);
}
END_TEST

/* Guards against a sync for each request, and syncs reported too early. */
START_TEST(test_one_sync_for_many)
{
	struct folder folder;

	folder_make(&folder);
	for (uint64_t nr = 1; nr <= 50; nr++) {
		put_entry(&folder, nr, 1, nr * 10);
		store_file_ops.sync(folder.store, nr);
	}
	ck_assert_uint_eq(folder.nr_synced, 0);
	while (g_main_context_iteration(NULL, FALSE))
		;
	ck_assert_uint_eq(folder.nr_synced, 1);
	ck_assert_uint_eq(folder.synced_nr, 50);
	folder_remove(&folder);
}
END_TEST

/* Guards against replaced entries that reappear after a restart. */
START_TEST(test_truncate)
{
	struct folder folder;
	const struct store_image *image;

	folder_make(&folder);
	put_three_batches(&folder);
	store_file_ops.truncate(folder.store, 5);
	put_entry(&folder, 5, 2, 50);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	check_entries(&folder, 1, 5);
	image = store_image(folder.store);
	ck_assert_uint_eq(image->entries[4].term, 2);
	folder_remove(&folder);
}
END_TEST

/* Guards against a torn write that prevents a start or loses synced entries. */
START_TEST(test_torn_tail)
{
	struct folder folder;
	char *data;
	gsize size;
	gsize synced_size;

	folder_make(&folder);
	put_three_batches(&folder);
	folder_read(&folder, "log", &data, &synced_size);
	g_free(data);
	for (uint64_t index = 10; index <= 12; index++)
		put_entry(&folder, index, 1, index * 10);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_read(&folder, "log", &data, &size);
	for (gsize length = synced_size; length < size; length++) {
		folder_close(&folder);
		folder_write(&folder, "log", data, length);
		ck_assert_int_eq(folder_open(&folder), RESULT_OK);
		ck_assert_uint_ge(store_image(folder.store)->nr_entries, 9);
		check_entries(&folder, 1,
			      store_image(folder.store)->nr_entries);
	}
	/* The truncated log accepts new entries. */
	put_entry(&folder, store_image(folder.store)->nr_entries + 1, 1,
		  (store_image(folder.store)->nr_entries + 1) * 10ull);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	check_entries(&folder, 1, store_image(folder.store)->nr_entries);
	g_free(data);
	folder_remove(&folder);
}
END_TEST

/*
 * Guards against a failed start after a crash in which only later pages of a
 * batch were written.
 */
START_TEST(test_hole_in_the_last_batch)
{
	struct folder folder;
	char *data;
	gsize size;
	gsize synced_size;

	folder_make(&folder);
	put_three_batches(&folder);
	folder_read(&folder, "log", &data, &synced_size);
	g_free(data);
	for (uint64_t index = 10; index <= 12; index++)
		put_entry(&folder, index, 1, index * 10);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_read(&folder, "log", &data, &size);
	memset(data + synced_size, 0, 30);
	folder_close(&folder);
	folder_write(&folder, "log", data, size);
	ck_assert_int_eq(folder_open(&folder), RESULT_OK);
	check_entries(&folder, 1, 9);
	g_free(data);
	folder_remove(&folder);
}
END_TEST

/* Guards against corrupt synced records that are treated as a torn write. */
START_TEST(test_corruption)
{
	static const char *const names[] = { "log", "hard", "snapshot" };
	struct folder folder;
	gsize first_size;
	char *data;
	gsize size;

	folder_make(&folder);
	put_three_batches(&folder);
	put_snapshot(&folder, 2, 1, 3);
	put_entry(&folder, 10, 1, 100);
	folder_read(&folder, "log", &data, &first_size);
	g_free(data);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_close(&folder);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		folder_read(&folder, names[i], &data, &size);
		/* Only the last batch of the log may be torn. */
		for (gsize at = 0; at < (i ? size : first_size); at++) {
			data[at] ^= 0x10;
			folder_write(&folder, names[i], data, size);
			ck_assert_int_eq(folder_open(&folder), RESULT_CORRUPT);
			data[at] ^= 0x10;
		}
		folder_write(&folder, names[i], data, size);
		g_free(data);
	}
	ck_assert_int_eq(folder_open(&folder), RESULT_OK);
	check_entries(&folder, 3, 8);
	folder_remove(&folder);
}
END_TEST

/* Guards against a start with files removed from the folder. */
START_TEST(test_missing_files)
{
	static const char *const names[] = { "hard", "snapshot" };
	struct folder folder;
	char *data;
	gsize size;

	folder_make(&folder);
	put_three_batches(&folder);
	put_snapshot(&folder, 2, 1, 3);
	folder_close(&folder);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = folder_file(&folder, names[i]);

		folder_read(&folder, names[i], &data, &size);
		g_unlink(path);
		ck_assert_int_eq(folder_open(&folder), RESULT_CORRUPT);
		folder_write(&folder, names[i], data, size);
		g_free(data);
		g_free(path);
	}
	ck_assert_int_eq(folder_open(&folder), RESULT_OK);
	folder_remove(&folder);
}
END_TEST

/* Guards against a snapshot that keeps or drops the wrong entries. */
START_TEST(test_snapshot)
{
	struct folder folder;
	const struct store_image *image;

	folder_make(&folder);
	put_three_batches(&folder);
	put_entry(&folder, 10, 1, 100);
	put_snapshot(&folder, 7, 1, 500);
	put_entry(&folder, 11, 1, 110);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	check_entries(&folder, 8, 4);
	image = store_image(folder.store);
	ck_assert_uint_eq(image->snapshot.last_index, 7);
	ck_assert_uint_eq(image->snapshot.nr_records, 500);
	ck_assert_uint_eq(record_value(image->records[499].record), 7499);
	/*
	 * A leader's snapshot may contradict the log. Here, the term of entry
	 * 10 is 2 in the snapshot and 1 in the log.
	 */
	put_snapshot(&folder, 10, 2, 1);
	put_entry(&folder, 11, 2, 110);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	check_entries(&folder, 11, 1);
	folder_remove(&folder);
}
END_TEST

/* Guards against a crash between the renames of the snapshot and the log. */
START_TEST(test_crash_between_renames)
{
	struct folder folder;
	char *data;
	gsize size;

	for (uint64_t term = 1; term <= 2; term++) {
		folder_make(&folder);
		put_three_batches(&folder);
		folder_read(&folder, "log", &data, &size);
		put_snapshot(&folder, 7, term, 1);
		folder_close(&folder);
		folder_write(&folder, "log", data, size);
		g_free(data);
		ck_assert_int_eq(folder_open(&folder), RESULT_OK);
		check_entries(&folder, 8, term == 1 ? 2 : 0);
		put_entry(&folder, term == 1 ? 10 : 8, 2, term == 1 ? 100 : 80);
		ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
		folder_reopen(&folder);
		check_entries(&folder, 8, term == 1 ? 3 : 1);
		folder_remove(&folder);
	}
}
END_TEST

/* Guards against two processes that write to one folder. */
START_TEST(test_lock)
{
	struct folder folder;
	struct store_opts opts = { 0 };
	struct store *second;

	folder_make(&folder);
	opts.path = folder.path;
	ck_assert_int_eq(store_open(&opts, &second), RESULT_CONFLICT);
	ck_assert_ptr_null(second);
	folder_reopen(&folder);
	folder_remove(&folder);
}
END_TEST

/* Requests a sync; returns false if the disk is full. */
static bool folder_try_sync(struct folder *folder)
{
	uint32_t before = folder->nr_synced;

	folder_limit(folder, true);
	store_file_ops.sync(folder->store, folder->synced_nr + 1);
	while (folder->nr_synced == before && !folder->is_full)
		g_main_context_iteration(NULL, TRUE);
	folder_limit(folder, false);
	ck_assert(folder->is_full || folder->result == RESULT_OK);
	return folder->nr_synced != before;
}

/* Fills the disk; returns the index of the first entry that doesn't fit. */
static uint64_t fill_disk(struct folder *folder)
{
	uint64_t index = 10;

	put_three_batches(folder);
	folder->limit_bytes = 1500;
	for (; index < 200; index++) {
		put_entry(folder, index, 1, index * 10);
		if (!folder_try_sync(folder))
			break;
	}
	ck_assert_uint_lt(index, 200);
	return index;
}

/*
 * Guards against a full disk that corrupts the log, against failed writes that
 * are reported as synced, and against a store that accepts nothing after space
 * was freed.
 */
START_TEST(test_full_disk)
{
	struct folder folder;
	uint64_t index;

	folder_make(&folder);
	index = fill_disk(&folder);
	/* Further writes stay pending together with the writes that failed. */
	put_hard(&folder, 7);
	index++;
	put_entry(&folder, index, 7, index * 10);
	ck_assert(!folder_try_sync(&folder));
	folder.limit_bytes = 0;
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	ck_assert(!folder.is_full);
	index++;
	put_entry(&folder, index, 7, index * 10);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	ck_assert_uint_eq(store_image(folder.store)->hard_state.term, 7);
	check_entries(&folder, 1, (uint32_t)index);
	ck_assert_uint_eq(store_truncated_bytes(folder.store), 0);
	folder_remove(&folder);
}
END_TEST

/* Guards against bytes of a failed write that corrupt the log after a crash. */
START_TEST(test_crash_with_full_disk)
{
	struct folder folder;
	uint64_t index;

	folder_make(&folder);
	index = fill_disk(&folder);
	/* The store opens although the disk is still full. */
	folder_reopen(&folder);
	check_entries(&folder, 1, (uint32_t)index - 1);
	folder.limit_bytes = 0;
	folder_remove(&folder);
}
END_TEST

/*
 * Guards against a full disk at any step of writing a snapshot, and against
 * entries after the snapshot that leave a gap in the log on disk.
 */
START_TEST(test_snapshot_with_full_disk)
{
	for (uint64_t limit = 1; limit < 1000; limit += 13) {
		struct folder folder;

		folder_make(&folder);
		put_three_batches(&folder);
		folder.limit_bytes = limit;
		/* The snapshot is from a leader; entries 10 to 99 are missing.
		 */
		put_snapshot(&folder, 100, 2, 3);
		put_entry(&folder, 101, 2, 1010);
		folder_try_sync(&folder);
		put_entry(&folder, 102, 2, 1020);
		put_snapshot(&folder, 101, 2, 3);
		folder_try_sync(&folder);
		folder.limit_bytes = 0;
		ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
		folder_reopen(&folder);
		ck_assert_uint_eq(
			store_image(folder.store)->snapshot.last_index, 101);
		check_entries(&folder, 102, 1);
		folder_remove(&folder);
	}
}
END_TEST

/*
 * Guards against a log that can't be read any more after entries were replaced
 * while the log after a snapshot couldn't be written on a full disk.
 */
START_TEST(test_truncate_with_full_disk)
{
	struct folder folder;

	folder_make(&folder);
	put_three_batches(&folder);
	/* There is space for the snapshot but not for the longer log. */
	folder.limit_bytes = 130;
	put_snapshot(&folder, 2, 1, 1);
	put_entry(&folder, 10, 1, 100);
	ck_assert(!folder_try_sync(&folder));
	store_file_ops.truncate(folder.store, 5);
	put_hard(&folder, 2);
	put_entry(&folder, 5, 2, 50);
	folder.limit_bytes = 0;
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	ck_assert_uint_eq(store_image(folder.store)->snapshot.last_index, 2);
	check_entries(&folder, 3, 3);
	folder_remove(&folder);
}
END_TEST

/* Guards against a new replica that exits because its disk is full. */
START_TEST(test_start_with_full_disk)
{
	struct folder folder;

	folder_make(&folder);
	folder_close(&folder);
	folder.limit_bytes = 1;
	ck_assert_int_eq(folder_open(&folder), RESULT_OK);
	put_hard(&folder, 3);
	ck_assert(!folder_try_sync(&folder));
	folder.limit_bytes = 0;
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	put_entry(&folder, 1, 3, 10);
	ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
	folder_reopen(&folder);
	check_entries(&folder, 1, 1);
	folder_remove(&folder);
}
END_TEST

/* Expected content of the store. */
struct model {
	uint64_t last_index; /* of the snapshot */
	uint64_t last_term; /* of the snapshot */
	GArray *terms; /* uint64_t, of the entries after the snapshot */
	uint64_t term; /* current term */
};

static void model_step(struct model *model, struct folder *folder, GRand *rand)
{
	uint64_t nr = model->terms->len;
	uint64_t index = model->last_index + nr + 1;

	switch (g_rand_int_range(rand, 0, 12)) {
	case 0:
		model->term++;
		put_hard(folder, model->term);
		break;
	case 1:
		if (!nr)
			break;
		index -= g_rand_int_range(rand, 1, (gint)nr + 1);
		store_file_ops.truncate(folder->store, index);
		g_array_set_size(model->terms,
				 (guint)(index - model->last_index - 1));
		/* A truncation is always followed by a replacing entry. */
		model->term++;
		put_hard(folder, model->term);
		put_entry(folder, index, model->term, index * 10);
		g_array_append_val(model->terms, model->term);
		break;
	case 2:
		if (!nr)
			break;
		nr = (uint64_t)g_rand_int_range(rand, 1, (gint)nr + 1);
		model->last_index += nr;
		model->last_term =
			g_array_index(model->terms, uint64_t, nr - 1);
		g_array_remove_range(model->terms, 0, (guint)nr);
		put_snapshot(folder, model->last_index, model->last_term, 3);
		break;
	default:
		put_entry(folder, index, model->term, index * 10);
		g_array_append_val(model->terms, model->term);
	}
}

/* Guards against random sequences of writes that are read back differently. */
START_TEST(test_random_writes)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct model model = { .term = 1 };
		struct folder folder;

		folder_make(&folder);
		model.terms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		put_hard(&folder, 1);
		for (uint32_t round = 0; round < 20; round++) {
			const struct store_image *image;

			for (uint32_t i = 0; i < 15; i++) {
				model_step(&model, &folder, rand);
				if (g_rand_int_range(rand, 0, 8) == 0)
					folder.limit_bytes =
						(uint64_t)g_rand_int_range(
							rand, 1, 3000);
				if (g_rand_int_range(rand, 0, 5) == 0)
					folder_try_sync(&folder);
			}
			folder.limit_bytes = 0;
			ck_assert_int_eq(folder_sync(&folder), RESULT_OK);
			folder_reopen(&folder);
			image = store_image(folder.store);
			ck_assert_uint_eq(image->hard_state.term, model.term);
			ck_assert_uint_eq(image->snapshot.last_index,
					  model.last_index);
			check_entries(&folder, model.last_index + 1,
				      model.terms->len);
			for (guint i = 0; i < model.terms->len; i++)
				ck_assert_uint_eq(image->entries[i].term,
						  g_array_index(model.terms,
								uint64_t, i));
		}
		folder_remove(&folder);
		g_array_unref(model.terms);
		g_rand_free(rand);
	}
}
END_TEST

SUITE_MAIN("store", test_reopen, test_one_sync_for_many, test_truncate,
	   test_torn_tail, test_hole_in_the_last_batch, test_corruption,
	   test_missing_files, test_snapshot, test_crash_between_renames,
	   test_lock, test_full_disk, test_crash_with_full_disk,
	   test_snapshot_with_full_disk, test_truncate_with_full_disk,
	   test_start_with_full_disk, test_random_writes)
