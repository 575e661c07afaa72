#ifndef BUNDLE_CHECK_H
#define BUNDLE_CHECK_H

/**
 * @file bundle_check.h
 * Checks a bundle before an operator sends it: what control would refuse,
 * entries that can never match, and values that contradict each other. Also
 * compares two bundles.
 */

#include <stdbool.h>

#include "command.h"

struct check_report;

/**
 * Reports the faults of a bundle that has its digest. @a own is true for a
 * bundle in the product's own form, false for a document of the platform, which
 * gets its zones from the settings of control.
 */
void bundle_check(const struct bundle *bundle, bool own,
		  struct check_report *report);

/**
 * Reports an error if @a bundle would not replace the one in force, @a current,
 * because of its version. An equal version is an error only if @a differs.
 */
void bundle_check_version(const struct bundle *bundle,
			  const struct bundle *current, bool differs,
			  struct check_report *report);

/**
 * Reports the differences of two bundles by entry and member. Digest, document
 * and operators' names aren't compared, and zones only if @a zones.
 */
void bundle_check_compare(const struct bundle *before,
			  const struct bundle *after, bool zones,
			  struct check_report *report);

#endif /* BUNDLE_CHECK_H */
