/**
 * @file bench_commit.c
 * Measures commits per second of three replicas in one process with file
 * stores, with group commit and with one sync for each proposal. All three sync
 * on one thread and one disk, so a group on three machines is faster, and only
 * the ratio of the two rates is meaningful. Usage: bench_commit [FOLDER
 * [SECONDS]]. Prints key=value lines.
 */

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>

#include "command.h"
#include "loop.h"
#include "raft.h"
#include "store.h"

#define NR_REPLICAS 3
#define WINDOW 256 /* uncommitted proposals */
#define CONTENT_BYTES 200

struct bench;

/* A write that waits for the syncs of earlier writes. */
struct bench_write {
	bool is_sync; /* answers raft's sync sync_nr, else appends the entry */
	uint64_t sync_nr;
	struct log_entry entry;
};

struct bench_replica {
	struct bench *bench;
	struct node *node;
	struct raft *raft;
	struct store *store;
	char *path;
	GQueue writes; /* struct bench_write, one sync each */
	bool syncing;
	uint64_t answer_nr; /* raft's sync in progress, 0: none */
};

struct bench_message {
	uint32_t to;
	uint64_t from;
	struct record record;
};

struct bench {
	bool group; /* group commit, else one sync for each entry */
	struct bench_replica replicas[NR_REPLICAS];
	GQueue messages;
	GArray *latencies_us; /* uint64_t */
	GHashTable *sent_us; /* uint64_t * (tag) -> uint64_t * (time) */
	uint64_t next_tag;
	uint64_t proposals;
	uint64_t syncs;
};

static const char *const bench_addresses[] = { "10.0.0.1:1", "10.0.0.2:1",
					       "10.0.0.3:1", NULL };

/* ---- host ---- */

static void bench_send(void *ctx, uint64_t node_id, uint32_t type,
		       const void *body)
{
	struct bench_replica *replica = ctx;
	struct bench_message *message = g_new0(struct bench_message, 1);

	message->to = (uint32_t)node_id - 1;
	message->from = replica->node->self.node_id;
	message->record.type = type;
	message->record.body = schema_dup(type, body);
	g_queue_push_tail(&replica->bench->messages, message);
}

static void bench_dial(void *ctx, const char *address)
{
}

static void bench_close_peer(void *ctx, uint64_t node_id)
{
}

static uint64_t bench_random(void *ctx)
{
	return loop_random_u64();
}

static void bench_log(void *ctx, const char *line)
{
}

static const struct host_ops bench_host = {
	.send = bench_send,
	.dial = bench_dial,
	.close_peer = bench_close_peer,
	.random_u64 = bench_random,
	.log_line = bench_log,
};

/* ---- store ---- */

/* Starts the replica's next write and its sync, without group commit. */
static void bench_next_write(struct bench_replica *replica)
{
	struct bench_write *write = g_queue_pop_head(&replica->writes);

	if (!write)
		return;
	replica->syncing = true;
	if (write->is_sync)
		replica->answer_nr = write->sync_nr;
	else
		store_file_ops.append(replica->store, &write->entry);
	store_file_ops.sync(replica->store, 1);
	replica->bench->syncs += !write->is_sync;
	record_unref(write->entry.command);
	g_free(write);
}

static void bench_full(void *ctx, bool full)
{
	g_error("the disk is full");
}

static void bench_synced(void *ctx, uint64_t sync_nr, enum result result)
{
	struct bench_replica *replica = ctx;
	uint64_t answer_nr = replica->answer_nr;

	g_assert(result == RESULT_OK);
	node_set_time(replica->node, loop_now_us());
	if (replica->bench->group) {
		raft_synced(replica->raft, sync_nr, result);
		return;
	}
	replica->syncing = false;
	replica->answer_nr = 0;
	if (answer_nr)
		raft_synced(replica->raft, answer_nr, result);
	if (!replica->syncing)
		bench_next_write(replica);
}

static void bench_push_write(struct bench_replica *replica,
			     const struct log_entry *entry, uint64_t sync_nr)
{
	struct bench_write *write = g_new0(struct bench_write, 1);

	write->is_sync = !entry;
	write->sync_nr = sync_nr;
	if (entry) {
		write->entry = *entry;
		record_ref(entry->command);
	}
	g_queue_push_tail(&replica->writes, write);
	if (!replica->syncing)
		bench_next_write(replica);
}

static void bench_write_hard_state(void *ctx, const struct hard_state *state)
{
	store_file_ops.write_hard_state(((struct bench_replica *)ctx)->store,
					state);
}

static void bench_append(void *ctx, const struct log_entry *entry)
{
	struct bench_replica *replica = ctx;

	if (replica->bench->group)
		store_file_ops.append(replica->store, entry);
	else
		bench_push_write(replica, entry, 0);
}

static void bench_truncate(void *ctx, uint64_t index)
{
	g_assert_not_reached();
}

static void bench_write_snapshot(void *ctx, const struct snapshot_head *head,
				 const struct snapshot_record *records)
{
	struct bench_replica *replica = ctx;

	/* Without group commit, the log stays too short for a snapshot. */
	g_assert(replica->bench->group);
	store_file_ops.write_snapshot(replica->store, head, records);
}

static void bench_sync(void *ctx, uint64_t sync_nr)
{
	struct bench_replica *replica = ctx;

	if (!replica->bench->group) {
		bench_push_write(replica, NULL, sync_nr);
		return;
	}
	replica->bench->syncs++;
	store_file_ops.sync(replica->store, sync_nr);
}

static const struct store_ops bench_store = {
	.write_hard_state = bench_write_hard_state,
	.append = bench_append,
	.truncate = bench_truncate,
	.write_snapshot = bench_write_snapshot,
	.sync = bench_sync,
};

/* ---- state machine ---- */

static void bench_apply(void *ctx, const struct log_entry *entry, uint64_t tag)
{
	struct bench_replica *replica = ctx;
	const uint64_t *sent_us;
	uint64_t latency_us;

	if (!tag)
		return;
	sent_us = g_hash_table_lookup(replica->bench->sent_us, &tag);
	latency_us = loop_now_us() - *sent_us;
	g_array_append_val(replica->bench->latencies_us, latency_us);
	g_hash_table_remove(replica->bench->sent_us, &tag);
}

static struct snapshot_record *bench_snapshot(void *ctx, uint32_t *nr)
{
	*nr = 0;
	return NULL;
}

static void bench_leader_changed(void *ctx, bool leader)
{
}

static void bench_dropped(void *ctx, uint64_t tag)
{
	struct bench_replica *replica = ctx;

	g_hash_table_remove(replica->bench->sent_us, &tag);
}

static const struct raft_machine_ops bench_machine = {
	.apply = bench_apply,
	.snapshot = bench_snapshot,
	.leader_changed = bench_leader_changed,
	.dropped = bench_dropped,
};

/* ---- role ---- */

static void bench_start(void *role)
{
	raft_start(((struct bench_replica *)role)->raft);
}

static void bench_message(void *role, uint64_t from, uint32_t type,
			  const void *body)
{
	raft_message(((struct bench_replica *)role)->raft, from, type, body);
}

static const struct role_ops bench_role = {
	.role = ROLE_CONTROL,
	.start = bench_start,
	.message = bench_message,
};

/* ---- runs ---- */

static void bench_open(struct bench *bench, uint32_t i, const char *folder)
{
	struct bench_replica *replica = &bench->replicas[i];
	struct store_opts store_opts = { .synced = bench_synced,
					 .full = bench_full,
					 .ctx = replica };
	struct node_opts node_opts = { .host = &bench_host,
				       .host_ctx = replica,
				       .node_id = i + 1,
				       .now_us = loop_now_us() };
	struct raft_opts raft_opts = { .store = &bench_store,
				       .store_ctx = replica,
				       .machine = &bench_machine,
				       .machine_ctx = replica,
				       .control_addresses = bench_addresses,
				       .snapshot_entries = UINT32_MAX };

	replica->bench = bench;
	replica->path = g_build_filename(folder, "bench-commit-XXXXXX", NULL);
	if (!g_mkdtemp(replica->path))
		g_error("can't create a folder in %s", folder);
	store_opts.path = replica->path;
	if (store_open(&store_opts, &replica->store) != RESULT_OK)
		g_error("can't open %s", replica->path);
	raft_opts.image = store_image(replica->store);
	TEXT_SET(node_opts.address, bench_addresses[i]);
	replica->node = node_new(&node_opts);
	replica->raft = raft_new(replica->node, &raft_opts);
	node_set_role(replica->node, &bench_role, replica);
}

static void bench_close(struct bench_replica *replica)
{
	static const char *const names[] = { "hard", "log", "lock",
					     "snapshot" };

	raft_free(replica->raft);
	node_free(replica->node);
	store_close(replica->store);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(replica->path, names[i], NULL);

		g_unlink(path);
		g_free(path);
	}
	g_rmdir(replica->path);
	g_free(replica->path);
	while (!g_queue_is_empty(&replica->writes)) {
		struct bench_write *write = g_queue_pop_head(&replica->writes);

		record_unref(write->entry.command);
		g_free(write);
	}
}

static void bench_deliver(struct bench *bench)
{
	struct bench_message *message;

	while ((message = g_queue_pop_head(&bench->messages))) {
		node_message(bench->replicas[message->to].node, message->from,
			     message->record.type, message->record.body,
			     loop_now_us());
		record_unref(message->record);
		g_free(message);
	}
}

/* Handles messages and timers, then syncs and other events of the main loop. */
static void bench_turn(struct bench *bench)
{
	bench_deliver(bench);
	for (uint32_t i = 0; i < NR_REPLICAS; i++)
		node_run_timers(bench->replicas[i].node, loop_now_us());
	g_main_context_iteration(NULL, FALSE);
}

static struct bench_replica *bench_leader(struct bench *bench)
{
	for (uint32_t i = 0; i < NR_REPLICAS; i++) {
		struct bench_replica *replica = &bench->replicas[i];

		node_set_time(replica->node, loop_now_us());
		if (raft_may_grant(replica->raft))
			return replica;
	}
	return NULL;
}

static void bench_propose(struct bench *bench, struct bench_replica *leader)
{
	struct claim_record *claim = schema_alloc(CMD_CLAIM);
	struct record command = { CMD_CLAIM, claim };
	uint64_t tag = ++bench->next_tag;
	uint64_t now_us = loop_now_us();

	TEXT_SET(claim->service, "workshop ledger");
	g_snprintf(claim->key, sizeof(claim->key), "intake-%" G_GUINT64_FORMAT,
		   tag);
	claim->body = g_bytes_new_take(g_malloc0(CONTENT_BYTES), CONTENT_BYTES);
	if (raft_propose(leader->raft, command, tag) == RESULT_OK)
		g_hash_table_insert(bench->sent_us,
				    g_memdup2(&tag, sizeof(tag)),
				    g_memdup2(&now_us, sizeof(now_us)));
	record_unref(command);
}

static int compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static double bench_run(const char *folder, uint64_t duration_us, bool group)
{
	struct bench *bench = g_new0(struct bench, 1);
	const char *name = group ? "group" : "single";
	struct bench_replica *leader;
	uint64_t start_us;
	uint64_t end_us;
	double rate;

	bench->group = group;
	bench->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bench->sent_us = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	g_queue_init(&bench->messages);
	for (uint32_t i = 0; i < NR_REPLICAS; i++)
		bench_open(bench, i, folder);
	for (uint32_t i = 0; i < NR_REPLICAS; i++)
		node_start(bench->replicas[i].node, loop_now_us());
	for (uint32_t i = 0; i < NR_REPLICAS; i++)
		for (uint32_t j = 0; j < NR_REPLICAS; j++)
			if (i != j)
				node_peer_up(bench->replicas[i].node,
					     &bench->replicas[j].node->self,
					     NULL, loop_now_us());
	/* All three replicas are voters before the measurement starts. */
	while (!(leader = bench_leader(bench)) ||
	       raft_commit_index(leader->raft) < 2 * (uint64_t)NR_REPLICAS) {
		bench_turn(bench);
		g_usleep(100);
	}
	bench->syncs = 0;
	start_us = loop_now_us();
	end_us = start_us + duration_us;
	while (loop_now_us() < end_us) {
		leader = bench_leader(bench);
		while (leader && g_hash_table_size(bench->sent_us) < WINDOW)
			bench_propose(bench, leader);
		bench_turn(bench);
	}
	end_us = loop_now_us();
	g_array_sort(bench->latencies_us, compare_u64);
	rate = bench->latencies_us->len * 1e6 / (double)(end_us - start_us);
	printf("%s_commits_per_s=%.0f\n", name, rate);
	printf("%s_syncs_per_replica_per_commit=%.3f\n", name,
	       (double)bench->syncs / NR_REPLICAS /
		       MAX(bench->latencies_us->len, 1));
	if (bench->latencies_us->len)
		printf("%s_commit_median_us=%" G_GUINT64_FORMAT "\n", name,
		       g_array_index(bench->latencies_us, uint64_t,
				     bench->latencies_us->len / 2));
	for (uint32_t i = 0; i < NR_REPLICAS; i++)
		bench_close(&bench->replicas[i]);
	g_array_unref(bench->latencies_us);
	g_hash_table_unref(bench->sent_us);
	while (!g_queue_is_empty(&bench->messages)) {
		struct bench_message *message =
			g_queue_pop_head(&bench->messages);

		record_unref(message->record);
		g_free(message);
	}
	g_free(bench);
	return rate;
}

int main(int argc, char **argv)
{
	const char *folder = argc > 1 ? argv[1] : g_get_tmp_dir();
	uint64_t duration_us =
		(argc > 2 ? strtoull(argv[2], NULL, 10) : 2) * 1000000;
	double group;
	double single;

	printf("replicas=%d\nwindow=%d\n", NR_REPLICAS, WINDOW);
	group = bench_run(folder, duration_us, true);
	single = bench_run(folder, duration_us, false);
	printf("group_over_single=%.1f\n", single > 0 ? group / single : 0.0);
	return 0;
}
