#include "run.h"

#include "schema.h"
#include "tunables.h"

/* Highest request numbers of an entry whose records were dropped. */
struct run_horizon {
	uint64_t origin_node;
	uint64_t repeatable_nr;
	uint64_t once_nr;
};

struct run_table {
	GHashTable *by_id; /* struct run_id * -> struct run * */
	GHashTable *by_key; /* char * -> struct run * */
	GHashTable *horizons; /* uint64_t * -> struct run_horizon * */
	GQueue finished_repeatable; /* struct run *, oldest first */
	GQueue finished_once;
	GQueue kept; /* struct run * with a response, oldest first */
	uint64_t kept_bytes;
	uint32_t nr_active;
};

static guint run_id_hash(gconstpointer key)
{
	const struct run_id *id = key;

	return g_int64_hash(&id->origin_node) ^
	       (guint)(id->request_nr * 2654435761u);
}

static gboolean run_id_equal(gconstpointer a, gconstpointer b)
{
	const struct run_id *x = a;
	const struct run_id *y = b;

	return x->origin_node == y->origin_node &&
	       x->request_nr == y->request_nr;
}

static char *run_key(const char *service, const char *key)
{
	return *key ? g_strconcat(service, "\n", key, NULL) : NULL;
}

static void run_free(void *data)
{
	struct run *run = data;

	g_array_unref(run->askers);
	g_clear_pointer(&run->response.body, g_bytes_unref);
	record_unref((struct record){ MSG_REQUEST, run->request });
	g_free(run->key);
	g_free(run);
}

static uint64_t run_response_bytes(const struct run *run)
{
	return sizeof(run->response) +
	       (run->response.body ? g_bytes_get_size(run->response.body) : 0);
}

static void run_drop_response(struct run_table *table, struct run *run)
{
	g_assert(run->response_kept);
	table->kept_bytes -= run_response_bytes(run);
	g_clear_pointer(&run->response.body, g_bytes_unref);
	run->response_kept = false;
	g_queue_delete_link(&table->kept, run->kept_at);
}

static GQueue *run_finished_queue(struct run_table *table,
				  const struct run *run)
{
	return run->repeatable ? &table->finished_repeatable :
				 &table->finished_once;
}

/* Drops the record; from now on the number's outcome isn't known here. */
static void run_forget(struct run_table *table, struct run *run)
{
	struct run_horizon *horizon =
		g_hash_table_lookup(table->horizons, &run->id.origin_node);

	if (!horizon) {
		horizon = g_new0(struct run_horizon, 1);
		horizon->origin_node = run->id.origin_node;
		g_hash_table_insert(table->horizons, &horizon->origin_node,
				    horizon);
	}
	if (run->repeatable)
		horizon->repeatable_nr =
			MAX(horizon->repeatable_nr, run->id.request_nr);
	else
		horizon->once_nr = MAX(horizon->once_nr, run->id.request_nr);
	if (run->response_kept)
		run_drop_response(table, run);
	if (run->key && g_hash_table_lookup(table->by_key, run->key) == run)
		g_hash_table_remove(table->by_key, run->key);
	g_queue_delete_link(run_finished_queue(table, run), run->finished_at);
	g_hash_table_remove(table->by_id, &run->id);
}

static void run_forget_old(struct run_table *table, GQueue *queue,
			   uint64_t ttl_ms, uint64_t now_us)
{
	const struct run *run;

	while ((run = g_queue_peek_head(queue)) &&
	       (run->finished_us + ttl_ms * 1000 <= now_us ||
		queue->length > ADMIT_RECORDS_MAX))
		run_forget(table, g_queue_peek_head(queue));
}

struct run_table *run_table_new(void)
{
	struct run_table *table = g_new0(struct run_table, 1);

	table->by_id = g_hash_table_new_full(run_id_hash, run_id_equal, NULL,
					     run_free);
	table->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	table->horizons = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	return table;
}

void run_table_free(struct run_table *table)
{
	if (!table)
		return;
	g_queue_clear(&table->kept);
	g_queue_clear(&table->finished_repeatable);
	g_queue_clear(&table->finished_once);
	g_hash_table_unref(table->by_key);
	g_hash_table_unref(table->by_id);
	g_hash_table_unref(table->horizons);
	g_free(table);
}

struct run *run_table_add(struct run_table *table, const struct run_id *id,
			  bool repeatable, const char *service, const char *key)
{
	struct run *run = g_new0(struct run, 1);

	g_assert(!run_table_find(table, id));
	run->id = *id;
	run->repeatable = repeatable;
	run->key = run_key(service, key);
	run->state = RUN_QUEUED;
	run->askers = g_array_new(FALSE, FALSE, sizeof(struct run_asker));
	g_hash_table_insert(table->by_id, &run->id, run);
	if (run->key)
		g_hash_table_replace(table->by_key, run->key, run);
	table->nr_active++;
	return run;
}

struct run *run_table_find(const struct run_table *table,
			   const struct run_id *id)
{
	return g_hash_table_lookup(table->by_id, id);
}

struct run *run_table_find_key(const struct run_table *table,
			       const char *service, const char *key)
{
	char *text = run_key(service, key);
	struct run *run = NULL;

	if (text)
		run = g_hash_table_lookup(table->by_key, text);
	g_free(text);
	return run;
}

bool run_table_may_have_forgotten(const struct run_table *table,
				  const struct run_id *id, bool repeatable)
{
	const struct run_horizon *horizon =
		g_hash_table_lookup(table->horizons, &id->origin_node);

	if (!horizon)
		return false;
	return id->request_nr <=
	       (repeatable ? horizon->repeatable_nr : horizon->once_nr);
}

void run_table_finish(struct run_table *table, struct run *run, uint64_t now_us)
{
	GQueue *queue = run_finished_queue(table, run);

	g_assert(!run->finished_us && table->nr_active > 0);
	table->nr_active--;
	run->finished_us = now_us;
	record_unref((struct record){ MSG_REQUEST, run->request });
	run->request = NULL;
	g_queue_push_tail(queue, run);
	run->finished_at = queue->tail;
	if (run->state == RUN_DONE) {
		run->response_kept = true;
		table->kept_bytes += run_response_bytes(run);
		g_queue_push_tail(&table->kept, run);
		run->kept_at = table->kept.tail;
	}
	run_table_expire(table, now_us);
}

void run_table_expire(struct run_table *table, uint64_t now_us)
{
	const struct run *run;

	while ((run = g_queue_peek_head(&table->kept)) &&
	       (run->finished_us + ADMIT_RESPONSE_TTL_MS * 1000ull <= now_us ||
		table->kept_bytes > ADMIT_RESPONSE_MAX_BYTES))
		run_drop_response(table, g_queue_peek_head(&table->kept));
	run_forget_old(table, &table->finished_repeatable,
		       ADMIT_REPEATABLE_TTL_MS, now_us);
	run_forget_old(table, &table->finished_once, ADMIT_RECORD_TTL_MS,
		       now_us);
}

uint32_t run_table_nr_active(const struct run_table *table)
{
	return table->nr_active;
}

void run_add_asker(struct run *run, uint64_t node_id, uint64_t request_nr)
{
	struct run_asker asker = { node_id, request_nr };

	for (uint32_t i = 0; i < run->askers->len; i++) {
		const struct run_asker *known =
			&g_array_index(run->askers, struct run_asker, i);

		if (known->node_id == node_id &&
		    known->request_nr == request_nr)
			return;
	}
	g_array_append_val(run->askers, asker);
}
