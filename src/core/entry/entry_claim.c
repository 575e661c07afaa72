/*
 * Claims. Control records, under the idempotency key of a request that isn't
 * repeatable, which agent may run it, so that a resend through any entry finds
 * the first run. The entry requests a claim before it dispatches the request,
 * and sends control a completion with the response.
 */

#include "entry_exchange.h"

#include <string.h>

#include "schema.h"
#include "tunables.h"

/*
 * A MSG_CLAIM_DONE sent recently, kept for a new leader, because control sends
 * no acknowledgement.
 */
struct claim_completion {
	uint64_t sent_us;
	struct claim_done *done; /* owned */
};

static void claim_completion_free(void *data)
{
	struct claim_completion *completion = data;

	record_unref((struct record){ MSG_CLAIM_DONE, completion->done });
	g_free(completion);
}

/*
 * Drops the oldest completions: those sent long enough ago to be committed, and
 * those above CLAIM_DONE_KEEP_MAX.
 */
static void claim_completions_trim(struct entry *entry)
{
	const struct claim_completion *completion;
	uint64_t keep_us = CLAIM_DONE_KEEP_MS * 1000ull;

	while ((completion = g_queue_peek_head(&entry->done)) &&
	       (completion->sent_us + keep_us <= entry->node->now_us ||
		entry->done.length > CLAIM_DONE_KEEP_MAX))
		claim_completion_free(g_queue_pop_head(&entry->done));
}

static void claim_completion_send(const struct entry *entry,
				  const struct claim_completion *completion)
{
	uint64_t leader = site_leader(entry->site);

	if (leader)
		node_send(entry->node, leader, MSG_CLAIM_DONE,
			  completion->done);
}

/*
 * Computes the digest of the request's method, path and body, by which control
 * detects that a key is reused for a different request.
 */
static void claim_digest(const struct request *request, char *digest,
			 size_t digest_size)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = 0;
	const guchar *body = NULL;

	/* The terminating NULs separate method, path and body. */
	g_checksum_update(sum, (const guchar *)request->method,
			  (gssize)strlen(request->method) + 1);
	g_checksum_update(sum, (const guchar *)request->path,
			  (gssize)strlen(request->path) + 1);
	if (request->body)
		body = g_bytes_get_data(request->body, &size);
	if (size)
		g_checksum_update(sum, body, (gssize)size);
	g_strlcpy(digest, g_checksum_get_string(sum), digest_size);
	g_checksum_free(sum);
}

static void claim_query_send(const struct exchange *exchange)
{
	const struct entry *entry = exchange->entry;
	struct claim_query query = { 0 };
	uint64_t leader = site_leader(entry->site);

	query.ticket = exchange->claim.record.request_nr;
	query.claim = exchange->claim.record;
	if (leader)
		node_send(entry->node, leader, MSG_CLAIM_QUERY, &query);
}

static void claim_repeat_due(void *data, uint64_t now_us)
{
	(void)now_us;
	exchange_claim_repeat(data);
}

static bool claim_is_same_run(const struct claim_record *a,
			      const struct claim_record *b)
{
	return a->agent_node == b->agent_node &&
	       a->entry_node == b->entry_node &&
	       a->request_nr == b->request_nr && a->attempt == b->attempt;
}

/* Stores control's claim record, without the response body. */
static void claim_set_record(struct exchange *exchange,
			     const struct claim_record *record)
{
	exchange->claim.record = *record;
	exchange->claim.record.body = NULL;
	exchange->claim.record.body_kept = false;
}

/* Sends the request, once, after control granted the claim to this exchange. */
static void claim_granted(struct exchange *exchange)
{
	const struct claim_record *record = &exchange->claim.record;

	if (attempt_may_send(exchange, record->agent_node)) {
		attempt_send(exchange, record->agent_node, record->request_nr);
		return;
	}
	/* The request was not sent, so the claim may move to another agent. */
	exchange_retry(exchange, RESULT_NO_UPSTREAM);
}

/*
 * Handles a claim that control granted to another dispatch of the request:
 * answers with the recorded response, or queries that dispatch's agent.
 */
static void claim_held_elsewhere(struct exchange *exchange,
				 const struct claim_record *claim)
{
	struct response response = { 0 };

	counter_add(exchange->entry->node->counters, "entry_claims_found", 1);
	exchange->may_have_run = true;
	exchange->claim.shared = true;
	if (claim->state == CLAIM_COMPLETE && claim->body_kept) {
		response.run = RUN_DONE;
		response.result = RESULT_OK;
		response.status = claim->status;
		TEXT_SET(response.content_type, claim->content_type);
		response.body = claim->body;
		exchange_answer(exchange, &response);
		return;
	}
	claim_set_record(exchange, claim);
	attempt_query_claim(exchange, claim);
}

bool exchange_needs_claim(const struct exchange *exchange)
{
	return !exchange->request->repeatable && *exchange->request->key;
}

void exchange_claim_request(struct exchange *exchange, uint64_t agent_node)
{
	struct entry *entry = exchange->entry;
	struct claim_record *record = &exchange->claim.record;

	/*
	 * Another claim is only requested after proof that the last agent did
	 * not run the request. The limit bounds how often the claim moves.
	 */
	if (exchange->claim.nr_queries++ >= REQUEST_ATTEMPTS_MAX) {
		exchange_fail(exchange, RESULT_OVERLOADED);
		return;
	}
	TEXT_SET(record->service, exchange->service->name);
	TEXT_SET(record->key, exchange->request->key);
	claim_digest(exchange->request, record->digest, sizeof(record->digest));
	record->agent_node = agent_node;
	record->entry_node = entry->node->self.node_id;
	record->request_nr = entry_next_nr(entry);
	record->attempt++;
	record->state = CLAIM_HELD;
	exchange->claim.step = CLAIM_STEP_PENDING;
	exchange->claim.repeat.fn = claim_repeat_due;
	exchange->claim.repeat.data = exchange;
	g_hash_table_insert(entry->claims, &record->request_nr, exchange);
	counter_add(entry->node->counters, "entry_claims", 1);
	exchange_claim_repeat(exchange);
}

void exchange_claim_repeat(struct exchange *exchange)
{
	claim_query_send(exchange);
	node_timer_ms(exchange->entry->node, &exchange->claim.repeat,
		      CLAIM_REPEAT_MS);
}

void exchange_claim_reply(struct exchange *exchange,
			  const struct claim_reply *reply)
{
	bool ours = claim_is_same_run(&reply->claim, &exchange->claim.record);

	switch (reply->result) {
	case RESULT_NOT_LEADER:
	case RESULT_NO_QUORUM:
	case RESULT_TIMEOUT:
		/* The timer or a leader change sends the query again. */
		return;
	default:
		break;
	}
	exchange_claim_clear(exchange);
	exchange->claim.step = CLAIM_STEP_RESOLVED;
	if ((!reply->result || reply->result == RESULT_IN_PROGRESS) && ours &&
	    reply->claim.state == CLAIM_HELD) {
		claim_granted(exchange);
	} else if (reply->result == RESULT_IN_PROGRESS) {
		claim_held_elsewhere(exchange, &reply->claim);
	} else {
		/*
		 * RESULT_STALE: the claim expired, so an earlier run of the
		 * request can't be excluded.
		 */
		if (reply->result == RESULT_STALE)
			exchange->may_have_run = true;
		exchange_fail(exchange, reply->result);
	}
}

void exchange_claim_done(struct exchange *exchange,
			 const struct response *response)
{
	struct entry *entry = exchange->entry;
	struct claim_completion *completion =
		g_new0(struct claim_completion, 1);
	struct claim_done done = { .claim = exchange->claim.record };
	gsize size = response->body ? g_bytes_get_size(response->body) : 0;

	done.claim.state = CLAIM_COMPLETE;
	done.claim.status = response->status;
	TEXT_SET(done.claim.content_type, response->content_type);
	done.claim.body_kept = size <= CLAIM_BODY_MAX_BYTES;
	done.claim.body = done.claim.body_kept ? response->body : NULL;
	completion->sent_us = entry->node->now_us;
	completion->done = schema_dup(MSG_CLAIM_DONE, &done);
	g_queue_push_tail(&entry->done, completion);
	claim_completions_trim(entry);
	claim_completion_send(entry, completion);
}

void entry_claims_resend(struct entry *entry)
{
	claim_completions_trim(entry);
	for (const GList *item = entry->done.head; item; item = item->next)
		claim_completion_send(entry, item->data);
}

void entry_claims_free(struct entry *entry)
{
	g_queue_clear_full(&entry->done, claim_completion_free);
}

void exchange_claim_clear(struct exchange *exchange)
{
	if (exchange->claim.step != CLAIM_STEP_PENDING)
		return;
	timer_cancel(exchange->entry->node->timers, &exchange->claim.repeat);
	g_hash_table_remove(exchange->entry->claims,
			    &exchange->claim.record.request_nr);
	exchange->claim.step = CLAIM_STEP_NONE;
}
