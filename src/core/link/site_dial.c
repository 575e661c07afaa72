#include "site_dial.h"

#include <string.h>

#include "logline.h"
#include "tunables.h"

struct site_dial {
	struct node *node;
	/* address -> uint64_t *, when it was last named or connected, in us */
	GHashTable *used;
};

struct site_dial *site_dial_new(struct node *node)
{
	struct site_dial *dials = g_new0(struct site_dial, 1);

	dials->node = node;
	dials->used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return dials;
}

void site_dial_free(struct site_dial *dials)
{
	if (!dials)
		return;
	g_hash_table_unref(dials->used);
	g_free(dials);
}

void site_dial_used(struct site_dial *dials, const struct link *link)
{
	uint64_t *used_us =
		g_hash_table_lookup(dials->used, link->peer.address);

	if (used_us && link->peer.role == ROLE_CONTROL)
		*used_us = dials->node->now_us;
}

/* Returns true if a control replica is connected from the address. */
static bool dial_is_connected(const struct site_dial *dials,
			      const char *address)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dials->node->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		if (link->up && link->peer.role == ROLE_CONTROL &&
		    !strcmp(link->peer.address, address))
			return true;
	}
	return false;
}

/* Returns the address to be replaced, NULL if all are connected. */
static const char *dial_least_used(const struct site_dial *dials)
{
	const char *least = NULL;
	uint64_t least_us = 0;
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, dials->used);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t used_us = *(const uint64_t *)value;

		if ((least && used_us >= least_us) ||
		    dial_is_connected(dials, key))
			continue;
		least = key;
		least_us = used_us;
	}
	return least;
}

/* Makes room for one more address; returns false if there is none. */
static bool dial_make_room(struct site_dial *dials, const char *address)
{
	const char *least;
	GString *line;

	if (g_hash_table_size(dials->used) < SITE_CONTROLS_MAX)
		return true;
	least = dial_least_used(dials);
	line = logline_new("control-address-dropped");
	logline_str(line, "address", least ? least : address);
	logline_str(line, "reason", least ? "replaced" : "all connected");
	node_log(dials->node, line);
	if (!least)
		return false;
	node_stop_dial(dials->node, least);
	g_hash_table_remove(dials->used, least);
	return true;
}

void site_dial_add(struct site_dial *dials, const char *address)
{
	uint64_t now_us = dials->node->now_us;
	uint64_t *used_us = g_hash_table_lookup(dials->used, address);

	if (!strcmp(address, dials->node->self.address))
		return;
	if (used_us) {
		*used_us = now_us;
		return;
	}
	if (!dial_make_room(dials, address))
		return;
	g_hash_table_insert(dials->used, g_strdup(address),
			    g_memdup2(&now_us, sizeof(now_us)));
	node_dial(dials->node, address);
}
