#include "outcome.h"

#include "schema.h"
#include "tunables.h"

/* Highest numbers among an entry's requests whose records were dropped. */
struct outcome_watermark {
	uint64_t origin_node;
	uint64_t repeatable_nr;
	uint64_t unrepeatable_nr;
};

struct outcome_table {
	GHashTable *by_id; /* struct outcome_id * -> struct outcome * */
	GHashTable *by_key; /* char * -> struct outcome * */
	GHashTable *watermarks; /* uint64_t * -> struct outcome_watermark * */
	GQueue finished_repeatable; /* struct outcome *, oldest first */
	GQueue finished_unrepeatable;
	GQueue kept; /* struct outcome * whose response is kept, oldest first */
	uint64_t kept_bytes; /* total size of the kept responses */
	uint32_t nr_active; /* requests queued or running */
};

static guint outcome_id_hash(gconstpointer key)
{
	const struct outcome_id *id = key;

	return g_int64_hash(&id->origin_node) ^
	       (guint)(id->request_nr * 2654435761u);
}

static gboolean outcome_id_equal(gconstpointer a, gconstpointer b)
{
	const struct outcome_id *x = a;
	const struct outcome_id *y = b;

	return x->origin_node == y->origin_node &&
	       x->request_nr == y->request_nr;
}

static char *outcome_key(const char *service, const char *key)
{
	return *key ? g_strconcat(service, "\n", key, NULL) : NULL;
}

static void outcome_free(void *data)
{
	struct outcome *outcome = data;

	g_array_unref(outcome->waiters);
	g_clear_pointer(&outcome->response.body, g_bytes_unref);
	record_unref((struct record){ MSG_REQUEST, outcome->request });
	g_free(outcome->key);
	g_free(outcome);
}

static uint64_t outcome_response_bytes(const struct outcome *outcome)
{
	return sizeof(outcome->response) +
	       (outcome->response.body ?
			g_bytes_get_size(outcome->response.body) :
			0);
}

static void outcome_drop_response(struct outcome_table *table,
				  struct outcome *outcome)
{
	g_assert(outcome->response_kept);
	table->kept_bytes -= outcome_response_bytes(outcome);
	g_clear_pointer(&outcome->response.body, g_bytes_unref);
	outcome->response_kept = false;
	g_queue_delete_link(&table->kept, outcome->kept_link);
}

static GQueue *outcome_finished_queue(struct outcome_table *table,
				      const struct outcome *outcome)
{
	return outcome->repeatable ? &table->finished_repeatable :
				     &table->finished_unrepeatable;
}

/*
 * Drops a record and raises the watermark of its entry: from now on, the record
 * of any request with this number or a lower one may have been dropped.
 */
static void outcome_drop(struct outcome_table *table, struct outcome *outcome)
{
	struct outcome_watermark *watermark = g_hash_table_lookup(
		table->watermarks, &outcome->id.origin_node);

	if (!watermark) {
		watermark = g_new0(struct outcome_watermark, 1);
		watermark->origin_node = outcome->id.origin_node;
		g_hash_table_insert(table->watermarks, &watermark->origin_node,
				    watermark);
	}
	if (outcome->repeatable)
		watermark->repeatable_nr =
			MAX(watermark->repeatable_nr, outcome->id.request_nr);
	else
		watermark->unrepeatable_nr =
			MAX(watermark->unrepeatable_nr, outcome->id.request_nr);
	if (outcome->response_kept)
		outcome_drop_response(table, outcome);
	if (outcome->key &&
	    g_hash_table_lookup(table->by_key, outcome->key) == outcome)
		g_hash_table_remove(table->by_key, outcome->key);
	g_queue_delete_link(outcome_finished_queue(table, outcome),
			    outcome->finished_link);
	g_hash_table_remove(table->by_id, &outcome->id);
}

static void outcome_drop_expired(struct outcome_table *table, GQueue *queue,
				 uint64_t ttl_ms, uint64_t now_us)
{
	const struct outcome *outcome;

	while ((outcome = g_queue_peek_head(queue)) &&
	       (outcome->finished_us + ttl_ms * 1000 <= now_us ||
		queue->length > ADMIT_RECORDS_MAX))
		outcome_drop(table, g_queue_peek_head(queue));
}

struct outcome_table *outcome_table_new(void)
{
	struct outcome_table *table = g_new0(struct outcome_table, 1);

	table->by_id = g_hash_table_new_full(outcome_id_hash, outcome_id_equal,
					     NULL, outcome_free);
	table->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	table->watermarks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	return table;
}

void outcome_table_free(struct outcome_table *table)
{
	if (!table)
		return;
	g_queue_clear(&table->kept);
	g_queue_clear(&table->finished_repeatable);
	g_queue_clear(&table->finished_unrepeatable);
	g_hash_table_unref(table->by_key);
	g_hash_table_unref(table->by_id);
	g_hash_table_unref(table->watermarks);
	g_free(table);
}

struct outcome *outcome_table_add(struct outcome_table *table,
				  const struct outcome_id *id, bool repeatable,
				  const char *service, const char *key)
{
	struct outcome *outcome = g_new0(struct outcome, 1);

	g_assert(!outcome_table_find(table, id));
	outcome->id = *id;
	outcome->repeatable = repeatable;
	outcome->key = outcome_key(service, key);
	outcome->state = RUN_QUEUED;
	outcome->waiters =
		g_array_new(FALSE, FALSE, sizeof(struct outcome_waiter));
	g_hash_table_insert(table->by_id, &outcome->id, outcome);
	if (outcome->key)
		g_hash_table_replace(table->by_key, outcome->key, outcome);
	table->nr_active++;
	return outcome;
}

struct outcome *outcome_table_find(const struct outcome_table *table,
				   const struct outcome_id *id)
{
	return g_hash_table_lookup(table->by_id, id);
}

struct outcome *outcome_table_find_key(const struct outcome_table *table,
				       const char *service, const char *key)
{
	char *text = outcome_key(service, key);
	struct outcome *outcome = NULL;

	if (text)
		outcome = g_hash_table_lookup(table->by_key, text);
	g_free(text);
	return outcome;
}

bool outcome_table_may_have_dropped(const struct outcome_table *table,
				    const struct outcome_id *id,
				    bool repeatable)
{
	const struct outcome_watermark *watermark =
		g_hash_table_lookup(table->watermarks, &id->origin_node);

	if (!watermark)
		return false;
	return id->request_nr <= (repeatable ? watermark->repeatable_nr :
					       watermark->unrepeatable_nr);
}

void outcome_table_finish(struct outcome_table *table, struct outcome *outcome,
			  uint64_t now_us)
{
	GQueue *queue = outcome_finished_queue(table, outcome);

	g_assert(!outcome->finished_us && table->nr_active > 0);
	table->nr_active--;
	outcome->finished_us = now_us;
	record_unref((struct record){ MSG_REQUEST, outcome->request });
	outcome->request = NULL;
	g_queue_push_tail(queue, outcome);
	outcome->finished_link = queue->tail;
	if (outcome->state == RUN_DONE) {
		outcome->response_kept = true;
		table->kept_bytes += outcome_response_bytes(outcome);
		g_queue_push_tail(&table->kept, outcome);
		outcome->kept_link = table->kept.tail;
	}
	outcome_table_expire(table, now_us);
}

void outcome_table_expire(struct outcome_table *table, uint64_t now_us)
{
	const struct outcome *outcome;

	while ((outcome = g_queue_peek_head(&table->kept)) &&
	       (outcome->finished_us + ADMIT_RESPONSE_TTL_MS * 1000ull <=
			now_us ||
		table->kept_bytes > ADMIT_RESPONSE_MAX_BYTES))
		outcome_drop_response(table, g_queue_peek_head(&table->kept));
	outcome_drop_expired(table, &table->finished_repeatable,
			     ADMIT_REPEATABLE_TTL_MS, now_us);
	outcome_drop_expired(table, &table->finished_unrepeatable,
			     ADMIT_RECORD_TTL_MS, now_us);
}

void outcome_table_stop_timers(struct outcome_table *table,
			       struct timers *timers)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct outcome *outcome = value;

		timer_cancel(timers, &outcome->timer);
	}
}

uint32_t outcome_table_nr_active(const struct outcome_table *table)
{
	return table->nr_active;
}

void outcome_add_waiter(struct outcome *outcome, uint64_t node_id,
			uint64_t request_nr)
{
	struct outcome_waiter waiter = { node_id, request_nr };

	for (uint32_t i = 0; i < outcome->waiters->len; i++) {
		const struct outcome_waiter *known = &g_array_index(
			outcome->waiters, struct outcome_waiter, i);

		if (known->node_id == node_id &&
		    known->request_nr == request_nr)
			return;
	}
	g_array_append_val(outcome->waiters, waiter);
}
