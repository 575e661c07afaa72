#ifndef RECORD_SIZE_H
#define RECORD_SIZE_H

/** @file record_size.h Sizes of records, to limit messages before encoding. */

#include <stdint.h>

#include "schema.h"

/** Returns an upper bound of the encoded size in bytes, 0 without a body. */
uint64_t record_size(struct record record);

#endif /* RECORD_SIZE_H */
