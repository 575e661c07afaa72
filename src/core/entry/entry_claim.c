#include "entry_flight.h"

#include <string.h>

#include "schema.h"
#include "tunables.h"

/* A MSG_CLAIM_DONE sent recently; control doesn't acknowledge it. */
struct claim_note {
	uint64_t told_us;
	struct claim_done *done; /* owned */
};

static void claim_note_free(void *data)
{
	struct claim_note *note = data;

	record_unref((struct record){ MSG_CLAIM_DONE, note->done });
	g_free(note);
}

/* Drops completions that are old enough to be committed, or too many. */
static void claim_notes_trim(struct entry *entry)
{
	const struct claim_note *note;
	uint64_t keep_us = CLAIM_DONE_KEEP_MS * 1000ull;

	while ((note = g_queue_peek_head(&entry->done)) &&
	       (note->told_us + keep_us <= entry->node->now_us ||
		entry->done.length > CLAIM_DONE_KEEP_MAX))
		claim_note_free(g_queue_pop_head(&entry->done));
}

static void claim_note_send(const struct entry *entry,
			    const struct claim_note *note)
{
	uint64_t leader = site_leader(entry->site);

	if (leader)
		node_send(entry->node, leader, MSG_CLAIM_DONE, note->done);
}

/* Identifies the work: reusing a key for other work is a conflict. */
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

static void claim_send(const struct flight *flight)
{
	const struct entry *entry = flight->entry;
	struct claim_query query = { 0 };
	uint64_t leader = site_leader(entry->site);

	query.ticket = flight->claim.record.request_nr;
	query.claim = flight->claim.record;
	if (leader)
		node_send(entry->node, leader, MSG_CLAIM_QUERY, &query);
}

static void claim_repeat_due(void *data, uint64_t now_us)
{
	(void)now_us;
	flight_claim_repeat(data);
}

static bool claim_is_same_run(const struct claim_record *a,
			      const struct claim_record *b)
{
	return a->agent_node == b->agent_node &&
	       a->entry_node == b->entry_node &&
	       a->request_nr == b->request_nr && a->attempt == b->attempt;
}

/* Copies the record that names the run, without its response body. */
static void claim_set_record(struct flight *flight,
			     const struct claim_record *record)
{
	flight->claim.record = *record;
	flight->claim.record.body = NULL;
	flight->claim.record.body_kept = false;
}

/* Control granted the claim to this exchange: sends the request, once. */
static void claim_granted(struct flight *flight)
{
	const struct claim_record *record = &flight->claim.record;

	if (attempt_may_send(flight, record->agent_node)) {
		attempt_send(flight, record->agent_node, record->request_nr);
		return;
	}
	/* The request was not sent, so another agent may take the claim. */
	flight_retry(flight, RESULT_NO_UPSTREAM);
}

/* Another dispatch holds the claim or has completed it. */
static void claim_found(struct flight *flight, const struct claim_record *claim)
{
	struct response response = { 0 };

	counter_add(flight->entry->node->counters, "entry_claims_found", 1);
	flight->may_have_run = true;
	flight->claim.shared = true;
	if (claim->state == CLAIM_COMPLETE && claim->body_kept) {
		response.run = RUN_DONE;
		response.result = RESULT_OK;
		response.status = claim->status;
		TEXT_SET(response.content_type, claim->content_type);
		response.body = claim->body;
		flight_answer(flight, &response);
		return;
	}
	claim_set_record(flight, claim);
	attempt_query(flight, claim);
}

bool flight_needs_claim(const struct flight *flight)
{
	return !flight->request->repeatable && *flight->request->key;
}

void flight_claim_ask(struct flight *flight, uint64_t agent_node)
{
	struct entry *entry = flight->entry;
	struct claim_record *record = &flight->claim.record;

	/*
	 * The claim only moves after proof that the last agent did not run the
	 * request; this bounds the number of moves.
	 */
	if (flight->claim.nr_asked++ >= REQUEST_ATTEMPTS_MAX) {
		flight_fail(flight, RESULT_OVERLOADED);
		return;
	}
	TEXT_SET(record->service, flight->service->name);
	TEXT_SET(record->key, flight->request->key);
	claim_digest(flight->request, record->digest, sizeof(record->digest));
	record->agent_node = agent_node;
	record->entry_node = entry->node->self.node_id;
	record->request_nr = entry_next_nr(entry);
	record->attempt++;
	record->state = CLAIM_HELD;
	flight->claim.step = CLAIM_STEP_ASKED;
	flight->claim.repeat.fn = claim_repeat_due;
	flight->claim.repeat.data = flight;
	g_hash_table_insert(entry->claims, &record->request_nr, flight);
	counter_add(entry->node->counters, "entry_claims", 1);
	flight_claim_repeat(flight);
}

void flight_claim_repeat(struct flight *flight)
{
	claim_send(flight);
	node_timer_ms(flight->entry->node, &flight->claim.repeat,
		      CLAIM_REPEAT_MS);
}

void flight_claim_reply(struct flight *flight, const struct claim_reply *reply)
{
	bool ours = claim_is_same_run(&reply->claim, &flight->claim.record);

	switch (reply->result) {
	case RESULT_NOT_LEADER:
	case RESULT_NO_QUORUM:
	case RESULT_TIMEOUT:
		/* Sent again by the timer or after a leader change. */
		return;
	default:
		break;
	}
	flight_claim_clear(flight);
	flight->claim.step = CLAIM_STEP_KNOWN;
	if ((!reply->result || reply->result == RESULT_IN_PROGRESS) && ours &&
	    reply->claim.state == CLAIM_HELD) {
		claim_granted(flight);
	} else if (reply->result == RESULT_IN_PROGRESS) {
		claim_found(flight, &reply->claim);
	} else {
		/* Earlier runs under an expired claim can't be excluded. */
		if (reply->result == RESULT_STALE)
			flight->may_have_run = true;
		flight_fail(flight, reply->result);
	}
}

void flight_claim_done(struct flight *flight, const struct response *response)
{
	struct entry *entry = flight->entry;
	struct claim_note *note = g_new0(struct claim_note, 1);
	struct claim_done done = { .claim = flight->claim.record };
	gsize size = response->body ? g_bytes_get_size(response->body) : 0;

	done.claim.state = CLAIM_COMPLETE;
	done.claim.status = response->status;
	TEXT_SET(done.claim.content_type, response->content_type);
	done.claim.body_kept = size <= CLAIM_BODY_MAX_BYTES;
	done.claim.body = done.claim.body_kept ? response->body : NULL;
	note->told_us = entry->node->now_us;
	note->done = schema_dup(MSG_CLAIM_DONE, &done);
	g_queue_push_tail(&entry->done, note);
	claim_notes_trim(entry);
	claim_note_send(entry, note);
}

void entry_claims_retell(struct entry *entry)
{
	claim_notes_trim(entry);
	for (const GList *item = entry->done.head; item; item = item->next)
		claim_note_send(entry, item->data);
}

void entry_claims_free(struct entry *entry)
{
	g_queue_clear_full(&entry->done, claim_note_free);
}

void flight_claim_clear(struct flight *flight)
{
	if (flight->claim.step != CLAIM_STEP_ASKED)
		return;
	timer_cancel(flight->entry->node->timers, &flight->claim.repeat);
	g_hash_table_remove(flight->entry->claims,
			    &flight->claim.record.request_nr);
	flight->claim.step = CLAIM_STEP_NONE;
}
