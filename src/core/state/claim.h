#ifndef CLAIM_H
#define CLAIM_H

/**
 * @file claim.h
 * Claims. A claim grants one attempt the only run of a request that must not
 * run twice; the request is identified by its service and key. The first claim
 * for a request is stored, and later claims are checked against it.
 */

#include <glib.h>

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;

/** Returns the claim; NULL if there is none. */
struct claim_record *claim_find(const struct state *state, const char *service,
				const char *key);
void claim_free(void *claim);

/**
 * Checks a new claim, @a record, against the existing one, @a claim, which is
 * NULL if there is none. Sets @a changes if the new claim would be stored.
 */
enum result claim_check(const struct claim_record *claim,
			const struct claim_record *record, bool *changes);

/**
 * Applies CMD_CLAIM. RESULT_OK: the request may be dispatched;
 * RESULT_IN_PROGRESS: another run has the claim or has completed the request;
 * RESULT_CONFLICT: the key was used for a different request; RESULT_STALE: the
 * attempt isn't the first, but no claim is stored.
 */
struct state_outcome claim_acquire(struct state *state, const void *body);

/** Applies CMD_CLAIM_DONE: stores the response of the run with the claim. */
struct state_outcome claim_complete(struct state *state, const void *body);

/** Drops claims made before @a before_ms. */
void claim_expire(struct state *state, uint64_t before_ms);

/** Adds a claim from a snapshot. */
void claim_restore(struct state *state, const struct claim_record *record);

#endif /* CLAIM_H */
