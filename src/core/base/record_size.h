#ifndef RECORD_SIZE_H
#define RECORD_SIZE_H

/**
 * @file record_size.h
 * Estimates encoded sizes of records, to limit messages before they are
 * encoded.
 */

#include <stdint.h>

#include "schema.h"

/**
 * Returns an upper bound of the record's encoded size in bytes, 0 if the record
 * has no body.
 */
uint64_t record_size(struct record record);

#endif /* RECORD_SIZE_H */
