#ifndef BUNDLE_H
#define BUNDLE_H

/**
 * @file bundle.h
 * The operators' bundle: the one in force and the one that waits for its
 * sign-off. Versions only rise.
 */

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;

struct bundle_store {
	struct bundle *in_force; /* NULL before the first sign-off */
	struct bundle *submitted; /* NULL if none waits */
};

void bundle_store_clear(struct bundle_store *store);

/**
 * Checks a bundle's contents. Returns RESULT_OK, RESULT_MALFORMED,
 * RESULT_OUT_OF_RANGE or RESULT_UNKNOWN_OBJECT and sets @a message, static
 * text.
 */
enum result bundle_check(const struct bundle *bundle, const char **message);

/** Compares with the versions known; RESULT_OK, _STALE or _CONFLICT. */
enum result bundle_compare(const struct bundle_store *store, uint64_t version,
			   const char *digest);

struct state_outcome bundle_submit(struct state *state, const void *body);
struct state_outcome bundle_sign(struct state *state, const void *body);

/** Takes a record of a snapshot. */
void bundle_restore(struct state *state, const struct bundle *bundle);

#endif /* BUNDLE_H */
