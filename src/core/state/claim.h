#ifndef CLAIM_H
#define CLAIM_H

/**
 * @file claim.h
 * Claims: the one run of a request that is not repeatable. The first claim
 * wins; a later one finds it.
 */

#include <glib.h>

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;

/** Returns the claim, NULL if there is none. */
struct claim_record *claim_find(const struct state *state, const char *service,
				const char *key);
void claim_free(void *claim);

/**
 * Compares a new claim with the present one, NULL if there is none. @a changes
 * tells whether it would take the claim.
 */
enum result claim_check(const struct claim_record *claim,
			const struct claim_record *record, bool *changes);

/**
 * RESULT_OK: the request may be dispatched; RESULT_IN_PROGRESS: another claim
 * stands; RESULT_CONFLICT: the key was used for another request.
 */
struct state_outcome claim_acquire(struct state *state, const void *body);

/** Records the response of the run that holds the claim. */
struct state_outcome claim_complete(struct state *state, const void *body);

/** Drops claims made before @a before_ms. */
void claim_expire(struct state *state, uint64_t before_ms);

void claim_restore(struct state *state, const struct claim_record *record);

#endif /* CLAIM_H */
