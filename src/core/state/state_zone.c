#include "state_zone.h"

#include <string.h>

#include "schema.h"
#include "state.h"

static struct zone_record *state_zone_insert(struct state *state,
					     const struct zone_record *record)
{
	struct zone_record *zone = g_memdup2(record, sizeof(*record));

	g_tree_replace(state->zones, zone->name, zone);
	return zone;
}

static bool state_zone_in_bundle(const struct bundle *bundle, const char *name)
{
	for (uint32_t i = 0; i < bundle->nr_zones; i++)
		if (!strcmp(bundle->zones[i].name, name))
			return true;
	return false;
}

/* Returns the result when the expected version isn't the current one. */
static enum result state_zone_version_result(const struct zone_record *zone,
					     const struct cmd_zone_set *set)
{
	if (set->expected_version > zone->version)
		return RESULT_OUT_OF_RANGE;
	if (set->expected_version + 1 < zone->version)
		return RESULT_STALE;
	/*
	 * Two operators used this version; the one whose change was applied may
	 * send it again.
	 */
	if (zone->out == set->out && !strcmp(zone->changed_by, set->changed_by))
		return RESULT_OK;
	return RESULT_CONFLICT;
}

struct zone_record *state_zone_find(const struct state *state, const char *name)
{
	return g_tree_lookup(state->zones, name);
}

bool state_zone_is_in(const struct state *state, const char *name)
{
	const struct zone_record *zone = state_zone_find(state, name);

	return zone && !zone->out;
}

struct state_outcome state_zone_set(struct state *state, const void *body)
{
	const struct cmd_zone_set *set = body;
	struct zone_record *zone = state_zone_find(state, set->name);
	struct state_outcome outcome = { 0 };

	if (!zone) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		outcome.message = "no such zone in the bundle in force";
		return outcome;
	}
	if (set->any_version && set->out == zone->out) {
		outcome.version = zone->version;
		return outcome;
	}
	if (!set->any_version && set->expected_version != zone->version) {
		outcome.result = state_zone_version_result(zone, set);
		outcome.version = zone->version;
		return outcome;
	}
	if (!set->out && state->bundles.in_force &&
	    !state_zone_in_bundle(state->bundles.in_force, set->name)) {
		outcome.result = RESULT_UNKNOWN_OBJECT;
		outcome.message = "the bundle in force has no such zone";
		outcome.version = zone->version;
		return outcome;
	}
	zone->out = set->out;
	zone->version++;
	TEXT_SET(zone->changed_by, set->changed_by);
	outcome.version = zone->version;
	state_zone_changed(state, zone);
	return outcome;
}

static gboolean state_zone_take_out_if_absent(gpointer key, gpointer value,
					      gpointer data)
{
	struct zone_record *zone = value;
	struct state *state = data;
	const struct bundle *bundle = state->bundles.in_force;

	if (zone->out || state_zone_in_bundle(bundle, zone->name))
		return FALSE;
	zone->out = true;
	zone->version++;
	TEXT_SET(zone->changed_by, bundle->signed_by);
	state_zone_changed(state, zone);
	return FALSE;
}

void state_zone_apply_bundle(struct state *state, const struct bundle *bundle)
{
	for (uint32_t i = 0; i < bundle->nr_zones; i++) {
		struct zone_record record = { .version = 1 };

		if (state_zone_find(state, bundle->zones[i].name))
			continue;
		TEXT_SET(record.name, bundle->zones[i].name);
		TEXT_SET(record.changed_by, bundle->signed_by);
		state_zone_changed(state, state_zone_insert(state, &record));
	}
	g_tree_foreach(state->zones, state_zone_take_out_if_absent, state);
}

void state_zone_restore(struct state *state, const struct zone_record *record)
{
	state_zone_insert(state, record);
}
