#include "claim.h"

#include <string.h>

#include "schema.h"
#include "schema_tables.h"
#include "state.h"

/* Returns the key in state.claims; service names don't contain a newline. */
static char *claim_index(const char *service, const char *key)
{
	return g_strconcat(service, "\n", key, NULL);
}

static void claim_insert(struct state *state, const struct claim_record *record)
{
	struct claim_record *claim = g_new0(struct claim_record, 1);

	schema_copy(&claim_record_schema, claim, record);
	g_hash_table_replace(state->claims,
			     claim_index(claim->service, claim->key), claim);
}

static bool claim_same_run(const struct claim_record *a,
			   const struct claim_record *b)
{
	return a->agent_node == b->agent_node &&
	       a->entry_node == b->entry_node &&
	       a->request_nr == b->request_nr && a->attempt == b->attempt;
}

struct claim_record *claim_find(const struct state *state, const char *service,
				const char *key)
{
	char *index = claim_index(service, key);
	struct claim_record *claim = g_hash_table_lookup(state->claims, index);

	g_free(index);
	return claim;
}

void claim_free(void *claim)
{
	schema_clear(&claim_record_schema, claim);
	g_free(claim);
}

enum result claim_check(const struct claim_record *claim,
			const struct claim_record *record, bool *changes)
{
	*changes = false;
	if (!*record->service || !*record->key || !*record->digest ||
	    strchr(record->service, '\n') || record->state != CLAIM_HELD)
		return RESULT_MALFORMED;
	if (!claim) {
		/*
		 * Refuses a later attempt: the claim of an earlier one may have
		 * expired after that attempt ran.
		 */
		*changes = record->attempt == 1;
		return *changes ? RESULT_OK : RESULT_STALE;
	}
	if (strcmp(claim->digest, record->digest) != 0)
		return RESULT_CONFLICT;
	if (claim->state != CLAIM_HELD)
		return RESULT_IN_PROGRESS;
	if (claim_same_run(claim, record))
		return RESULT_OK;
	/*
	 * The next attempt is proposed only with proof that the attempt in the
	 * claim didn't run.
	 */
	*changes = record->attempt == claim->attempt + 1;
	return *changes ? RESULT_OK : RESULT_IN_PROGRESS;
}

struct state_outcome claim_acquire(struct state *state, const void *body)
{
	const struct claim_record *record = body;
	struct claim_record *claim =
		claim_find(state, record->service, record->key);
	struct state_outcome outcome = { 0 };
	bool changes;

	state_set_clock(state, record->claimed_ms);
	outcome.result = claim_check(claim, record, &changes);
	if (!changes)
		return outcome;
	if (!claim) {
		claim_insert(state, record);
		return outcome;
	}
	claim->agent_node = record->agent_node;
	claim->entry_node = record->entry_node;
	claim->request_nr = record->request_nr;
	claim->attempt = record->attempt;
	return outcome;
}

struct state_outcome claim_complete(struct state *state, const void *body)
{
	const struct claim_record *record = body;
	struct claim_record *claim =
		claim_find(state, record->service, record->key);
	struct state_outcome outcome = { 0 };

	if (!claim) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	if (strcmp(claim->digest, record->digest) != 0) {
		outcome.result = RESULT_CONFLICT;
		return outcome;
	}
	if (!claim_same_run(claim, record)) {
		outcome.result = RESULT_STALE;
		return outcome;
	}
	if (claim->state == CLAIM_COMPLETE)
		return outcome;
	claim->state = CLAIM_COMPLETE;
	claim->status = record->status;
	TEXT_SET(claim->content_type, record->content_type);
	if (record->body_kept &&
	    (!record->body ||
	     g_bytes_get_size(record->body) <= CLAIM_BODY_MAX_BYTES)) {
		claim->body = record->body ? g_bytes_ref(record->body) : NULL;
		claim->body_kept = true;
	}
	return outcome;
}

void claim_expire(struct state *state, uint64_t before_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, state->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct claim_record *claim = value;

		if (claim->claimed_ms < before_ms)
			g_hash_table_iter_remove(&iter);
	}
}

void claim_restore(struct state *state, const struct claim_record *record)
{
	claim_insert(state, record);
}
