#include "state_bundle.h"

#include <string.h>

#include "schema.h"
#include "schema_tables.h"
#include "state.h"
#include "state_flow_queue.h"

static void state_bundle_free(struct bundle *bundle)
{
	if (!bundle)
		return;
	schema_clear(&bundle_schema, bundle);
	g_free(bundle);
}

static struct bundle *state_bundle_dup(const struct bundle *bundle)
{
	struct bundle *copy = g_new0(struct bundle, 1);

	schema_copy(&bundle_schema, copy, bundle);
	return copy;
}

/*
 * Returns true if no name is empty or used twice. Each item is a struct of
 * @a size bytes whose first member is its name.
 */
static bool state_bundle_names_ok(const void *items, uint32_t nr, size_t size)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (uint32_t i = 0; i < nr && ok; i++) {
		const char *name = (const char *)items + i * size;

		ok = *name && g_hash_table_add(seen, (void *)name);
	}
	g_hash_table_unref(seen);
	return ok;
}

bool state_bundle_has_team(const struct bundle *bundle, const char *name)
{
	for (uint32_t i = 0; i < bundle->nr_teams; i++)
		if (!strcmp(bundle->teams[i].name, name))
			return true;
	return false;
}

static enum result
state_bundle_check_service(const struct bundle *bundle,
			   const struct bundle_service *service,
			   const char **message)
{
	if (*service->team && !state_bundle_has_team(bundle, service->team)) {
		*message = "a service names an unknown team";
		return RESULT_UNKNOWN_OBJECT;
	}
	if (service->replicas > SERVICE_MAX_REPLICAS) {
		*message = "a service has too many replicas";
		return RESULT_OUT_OF_RANGE;
	}
	if (service->replicas &&
	    (!service->cpu_millis || !service->memory_mib)) {
		*message = "a service needs processors and memory";
		return RESULT_OUT_OF_RANGE;
	}
	return RESULT_OK;
}

static bool state_bundle_has_pool(const struct bundle *bundle, const char *name)
{
	for (uint32_t i = 0; i < bundle->nr_pools; i++)
		if (!strcmp(bundle->pools[i].name, name))
			return true;
	return false;
}

static enum result state_bundle_check_queues(const struct bundle *bundle,
					     const char **message)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	enum result result = RESULT_OK;

	if (!state_bundle_names_ok(bundle->pools, bundle->nr_pools,
				   sizeof(*bundle->pools))) {
		*message = "a pool's name is empty or used twice";
		result = RESULT_MALFORMED;
	}
	for (uint32_t i = 0; i < bundle->nr_queues && !result; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];

		if (!state_bundle_has_pool(bundle, queue->service)) {
			*message = "a queue names an unknown service";
			result = RESULT_UNKNOWN_OBJECT;
		} else if (!queue->timeout_ms) {
			*message = "a queue's time limit is 0";
			result = RESULT_OUT_OF_RANGE;
		} else if (!g_hash_table_add(
				   seen, g_strconcat(queue->host, "\n",
						     queue->prefix, NULL))) {
			*message = "two queues have the same host and prefix";
			result = RESULT_MALFORMED;
		}
	}
	g_hash_table_unref(seen);
	return result;
}

void state_bundles_clear(struct state_bundles *store)
{
	state_bundle_free(store->in_force);
	state_bundle_free(store->submitted);
	memset(store, 0, sizeof(*store));
}

enum result state_bundle_check(const struct bundle *bundle,
			       const char **message)
{
	enum result result = RESULT_OK;

	*message = NULL;
	if (!bundle->version) {
		*message = "the version must be 1 or more";
		return RESULT_OUT_OF_RANGE;
	}
	if (!*bundle->digest) {
		*message = "the digest is missing";
		return RESULT_MALFORMED;
	}
	if (!state_bundle_names_ok(bundle->zones, bundle->nr_zones,
				   sizeof(*bundle->zones)) ||
	    !state_bundle_names_ok(bundle->teams, bundle->nr_teams,
				   sizeof(*bundle->teams)) ||
	    !state_bundle_names_ok(bundle->services, bundle->nr_services,
				   sizeof(*bundle->services))) {
		*message = "a name is empty or used twice";
		return RESULT_MALFORMED;
	}
	for (uint32_t i = 0; i < bundle->nr_services && !result; i++)
		result = state_bundle_check_service(
			bundle, &bundle->services[i], message);
	if (!result)
		result = state_bundle_check_queues(bundle, message);
	return result;
}

enum result state_bundle_compare(const struct state_bundles *store,
				 uint64_t version, const char *digest)
{
	const struct bundle *newest = store->submitted;

	if (!newest)
		newest = store->in_force;
	if (store->in_force && store->in_force->version == version)
		newest = store->in_force;
	if (!newest || version > newest->version)
		return RESULT_OK;
	if (version < newest->version)
		return RESULT_STALE;
	return strcmp(newest->digest, digest) ? RESULT_CONFLICT : RESULT_OK;
}

struct state_outcome state_bundle_submit(struct state *state, const void *body)
{
	struct state_bundles *store = &state->bundles;
	const struct bundle *bundle = body;
	struct state_outcome outcome = { 0 };
	bool known;

	outcome.result = state_bundle_check(bundle, &outcome.message);
	if (!outcome.result)
		outcome.result = state_bundle_compare(store, bundle->version,
						      bundle->digest);
	known = (store->in_force &&
		 store->in_force->version == bundle->version) ||
		(store->submitted &&
		 store->submitted->version == bundle->version);
	if (!outcome.result && !known) {
		state_bundle_free(store->submitted);
		store->submitted = state_bundle_dup(bundle);
		/* Only a sign-off may set the signer. */
		TEXT_SET(store->submitted->signed_by, "");
	}
	outcome.version = store->submitted ? store->submitted->version :
			  store->in_force  ? store->in_force->version :
					     0;
	return outcome;
}

/* Updates what depends on the bundle after another one came into force. */
static void state_bundle_enforce(struct state *state)
{
	const struct bundle *bundle = state->bundles.in_force;

	state_zone_apply_bundle(state, bundle);
	state_bundle_changed(state, bundle);
	state_job_apply_bundle(state, bundle);
	state_flow_apply_bundle(state);
}

struct state_outcome state_bundle_sign(struct state *state, const void *body)
{
	struct state_bundles *store = &state->bundles;
	const struct cmd_bundle_sign *sign = body;
	struct state_outcome outcome = { 0 };
	const struct bundle *in_force = store->in_force;

	outcome.version = in_force ? in_force->version : 0;
	if (in_force && sign->version <= in_force->version) {
		outcome.result = sign->version < in_force->version ?
					 RESULT_STALE :
				 strcmp(in_force->digest, sign->digest) ?
					 RESULT_CONFLICT :
					 RESULT_OK;
		return outcome;
	}
	if (!store->submitted || store->submitted->version != sign->version) {
		outcome.result =
			store->submitted && sign->version <
						    store->submitted->version ?
				RESULT_STALE :
				RESULT_UNKNOWN_OBJECT;
		return outcome;
	}
	if (strcmp(store->submitted->digest, sign->digest) != 0) {
		outcome.result = RESULT_CONFLICT;
		outcome.message = "the digest isn't that of the submission";
		return outcome;
	}
	if (!*sign->signed_by) {
		outcome.result = RESULT_MALFORMED;
		outcome.message = "the sign-off names nobody";
		return outcome;
	}
	state_bundle_free(store->in_force);
	store->in_force = store->submitted;
	store->submitted = NULL;
	TEXT_SET(store->in_force->signed_by, sign->signed_by);
	outcome.version = store->in_force->version;
	state_bundle_enforce(state);
	return outcome;
}

struct state_outcome state_bundle_put(struct state *state, const void *body)
{
	struct state_bundles *store = &state->bundles;
	const struct bundle *bundle = body;
	struct state_outcome outcome = { 0 };

	outcome.result = state_bundle_check(bundle, &outcome.message);
	if (!outcome.result && !*bundle->signed_by) {
		outcome.result = RESULT_MALFORMED;
		outcome.message = "the sign-off names nobody";
	}
	if (!outcome.result &&
	    (!store->in_force || bundle->version > store->in_force->version)) {
		state_bundle_free(store->in_force);
		store->in_force = state_bundle_dup(bundle);
		state_bundle_enforce(state);
	}
	outcome.version = store->in_force ? store->in_force->version : 0;
	return outcome;
}

void state_bundle_restore(struct state *state, const struct bundle *bundle)
{
	struct bundle **slot = *bundle->signed_by ? &state->bundles.in_force :
						    &state->bundles.submitted;

	state_bundle_free(*slot);
	*slot = state_bundle_dup(bundle);
}
