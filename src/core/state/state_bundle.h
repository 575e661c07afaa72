#ifndef STATE_BUNDLE_H
#define STATE_BUNDLE_H

/**
 * @file state_bundle.h
 * The operators' versioned configuration, called bundle: the bundle in force
 * and a submitted one that awaits its sign-off, the approval of an operator. A
 * bundle has a version and a digest and lists zones, teams, services, pools and
 * queues. The version in force only rises.
 */

#include "command.h"
#include "result.h"

struct state;
struct state_outcome;

struct state_bundles {
	struct bundle *in_force; /* NULL before the first sign-off */
	struct bundle *submitted; /* awaits its sign-off; NULL: none */
};

void state_bundles_clear(struct state_bundles *store);

/**
 * Checks a bundle's contents. Returns RESULT_OK, RESULT_MALFORMED,
 * RESULT_OUT_OF_RANGE or RESULT_UNKNOWN_OBJECT. Sets @a message to a static
 * text, or to NULL if the bundle is valid.
 */
enum result state_bundle_check(const struct bundle *bundle,
			       const char **message);

/**
 * Compares a version with the stored bundles. Returns RESULT_STALE for an older
 * version, RESULT_CONFLICT for a known one with another digest, else RESULT_OK.
 */
enum result state_bundle_compare(const struct state_bundles *store,
				 uint64_t version, const char *digest);

bool state_bundle_has_team(const struct bundle *bundle, const char *name);

struct state_outcome state_bundle_submit(struct state *state, const void *body);
struct state_outcome state_bundle_sign(struct state *state, const void *body);
/**
 * Submits and signs off a bundle in one command. A version that isn't higher
 * than the one in force changes nothing and gives RESULT_OK.
 */
struct state_outcome state_bundle_put(struct state *state, const void *body);

/** Adds a bundle from a snapshot; it is in force if it is signed. */
void state_bundle_restore(struct state *state, const struct bundle *bundle);

#endif /* STATE_BUNDLE_H */
