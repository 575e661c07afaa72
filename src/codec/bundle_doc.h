#ifndef BUNDLE_DOC_H
#define BUNDLE_DOC_H

/**
 * @file bundle_doc.h
 * The bundle (the operators' versioned configuration) as a JSON document:
 * parsing, checks and digest. A bundle is checked by the operators' tool before
 * the tool sends it, and by the control process that receives it.
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
 * On RESULT_OK, @a bundle is a new body of type CMD_BUNDLE_SUBMIT, which the
 * caller releases with record_unref(); otherwise @a error is a new one-line
 * message.
 */
enum result bundle_doc_read(const char *text, gsize size,
			    struct bundle **bundle, char **error);

/** As bundle_doc_read(), but without bundle_doc_check(). */
enum result bundle_doc_parse(const char *text, gsize size,
			     struct bundle **bundle, char **error);

/**
 * Checks version, names, values and references. Returns RESULT_OUT_OF_RANGE for
 * an invalid name or value, RESULT_CONFLICT for a name that two objects of a
 * kind have, RESULT_UNKNOWN_OBJECT for a service of an unknown team,
 * RESULT_NEVER_FITS for services that exceed their team's quota, and
 * RESULT_TOO_LARGE for too many objects. In all these
 * cases, @a error is a new message.
 */
enum result bundle_doc_check(const struct bundle *bundle, char **error);

/** As bundle_doc_check(); also returns RESULT_CORRUPT for a wrong digest. */
enum result bundle_doc_check_digest(const struct bundle *bundle, char **error);

/**
 * Computes the SHA-256 of the bundle's canonical form: JSON text without
 * blanks, with all members in the order of the field table, and with empty
 * digest, submitted_by and signed_by. The members queues, pools and document
 * are left out if the bundle has none of them.
 */
void bundle_doc_digest(const struct bundle *bundle, char digest[DIGEST_BYTES]);

#endif /* BUNDLE_DOC_H */
