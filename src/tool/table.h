#ifndef TABLE_H
#define TABLE_H

/** @file table.h Prints JSON objects as a table with aligned columns. */

#include <json-glib/json-glib.h>

struct column {
	const char *title; /* printed in the first line */
	const char *member; /* of the item; "zone.name" is a nested member */
	const char *const *names; /* printed for 0, 1, ...; NULL: the number */
};

/** Prints a row for each item; @a columns ends with a NULL title. */
void table_print(const struct column *columns, JsonArray *items);

/** Returns item @a i if it is an object, NULL otherwise. */
JsonObject *table_row(JsonArray *items, guint i);

#endif /* TABLE_H */
