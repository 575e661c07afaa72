#ifndef STATE_BUNDLE_H
#define STATE_BUNDLE_H

/**
 * @file state_bundle.h
 * The operators' bundle: the one in force and the one that waits for its
 * sign-off. Versions only rise.
 */

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;

struct state_bundles {
	struct bundle *in_force; /* NULL before the first sign-off */
	struct bundle *submitted; /* NULL if none waits */
};

void state_bundles_clear(struct state_bundles *store);

/**
 * Checks a bundle's contents. Returns RESULT_OK, RESULT_MALFORMED,
 * RESULT_OUT_OF_RANGE or RESULT_UNKNOWN_OBJECT and sets @a message, static
 * text.
 */
enum result state_bundle_check(const struct bundle *bundle,
			       const char **message);

/** Compares with the versions known; RESULT_OK, _STALE or _CONFLICT. */
enum result state_bundle_compare(const struct state_bundles *store,
				 uint64_t version, const char *digest);

bool state_bundle_has_team(const struct bundle *bundle, const char *name);

struct state_outcome state_bundle_submit(struct state *state, const void *body);
struct state_outcome state_bundle_sign(struct state *state, const void *body);
/**
 * Submits and signs off in one operation. The highest version is in force; a
 * version that isn't higher changes nothing and is RESULT_OK as well.
 */
struct state_outcome state_bundle_put(struct state *state, const void *body);

/** Takes a record of a snapshot. */
void state_bundle_restore(struct state *state, const struct bundle *bundle);

#endif /* STATE_BUNDLE_H */
