#ifndef BUNDLE_DOC_H
#define BUNDLE_DOC_H

/**
 * @file bundle_doc.h
 * The bundle as a JSON document: parsing, checks and digest. The operators'
 * tool checks a bundle before it sends it, and control's host when it receives
 * it.
 */

#include <glib.h>

#include "command.h"
#include "result.h"

#define BUNDLE_MAX_ZONES 64
#define BUNDLE_MAX_TEAMS 1024
#define BUNDLE_MAX_SERVICES 4096

/**
 * Parses and checks a document that an operator wrote, and computes its digest.
 * The document must not contain the members digest, submitted_by and signed_by.
 * On RESULT_OK, @a bundle is a new body of type CMD_BUNDLE_SUBMIT; otherwise
 * @a error is a new one-line message.
 */
enum result bundle_doc_read(const char *text, gsize size,
			    struct bundle **bundle, char **error);

/**
 * Checks version, names, duplicates, references and sizes. Returns
 * RESULT_OUT_OF_RANGE for an invalid value, RESULT_CONFLICT for a duplicate,
 * RESULT_UNKNOWN_OBJECT for an unknown team, RESULT_NEVER_FITS for services
 * that exceed their team's quota, RESULT_TOO_LARGE for too many objects.
 */
enum result bundle_doc_check(const struct bundle *bundle, char **error);

/** As bundle_doc_check(), but also returns RESULT_CORRUPT for a bad digest. */
enum result bundle_doc_check_digest(const struct bundle *bundle, char **error);

/**
 * Computes the SHA-256 of the canonical form: JSON text without blanks, with
 * all members in the order of the field table, and with empty digest,
 * submitted_by and signed_by.
 */
void bundle_doc_digest(const struct bundle *bundle, char digest[DIGEST_BYTES]);

#endif /* BUNDLE_DOC_H */
