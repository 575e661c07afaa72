#ifndef TABLE_H
#define TABLE_H

/** @file table.h Prints JSON objects as a table of aligned columns. */

#include <json-glib/json-glib.h>

struct column {
	const char *title;
	const char *member; /* "zone.name" names a nested member */
	const char *const *names; /* of numbers from 0 on, NULL-terminated */
};

/** Prints the items; @a columns ends with a NULL title. */
void table_print(const struct column *columns, JsonArray *items);

/** Returns a row that is an object, NULL if it is none. */
JsonObject *table_row(JsonArray *items, guint i);

#endif /* TABLE_H */
