#include "bundle_doc.h"

#include <string.h>

#include "json.h"
#include "schema.h"

static enum result bundle_fail(char **error, enum result res,
			       const char *format, ...) G_GNUC_PRINTF(3, 4);

static enum result bundle_fail(char **error, enum result res,
			       const char *format, ...)
{
	va_list args;

	if (error) {
		va_start(args, format);
		*error = g_strdup_vprintf(format, args);
		va_end(args);
	}
	return res;
}

/*
 * Names are printable UTF-8 without '/', so that they can be path segments, and
 * don't begin or end with a blank.
 */
static bool name_is_valid(const char *name)
{
	if (!g_utf8_validate(name, -1, NULL))
		return false;
	for (const char *c = name; *c; c = g_utf8_next_char(c))
		if (*c == '/' || !g_unichar_isprint(g_utf8_get_char(c)))
			return false;
	return name[0] && name[0] != ' ' && name[strlen(name) - 1] != ' ';
}

/* Checks the name of an object and adds it to the set of names @a seen. */
static enum result check_name(GHashTable *seen, const char *kind,
			      const char *name, char **error)
{
	if (!name_is_valid(name))
		return bundle_fail(error, RESULT_OUT_OF_RANGE,
				   "%s \"%s\": the name is not valid", kind,
				   name);
	if (!g_hash_table_add(seen, (gpointer)name))
		return bundle_fail(error, RESULT_CONFLICT,
				   "%s \"%s\" is defined twice", kind, name);
	return RESULT_OK;
}

static enum result check_zones(const struct bundle *bundle, char **error)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	enum result res = RESULT_OK;

	for (uint32_t i = 0; i < bundle->nr_zones && res == RESULT_OK; i++) {
		const struct bundle_zone *zone = &bundle->zones[i];

		res = check_name(seen, "zone", zone->name, error);
		if (res == RESULT_OK && zone->region[0] &&
		    !name_is_valid(zone->region))
			res = bundle_fail(
				error, RESULT_OUT_OF_RANGE,
				"zone \"%s\": the region is not valid",
				zone->name);
	}
	g_hash_table_unref(seen);
	return res;
}

static const struct bundle_team *bundle_team_of(const struct bundle *bundle,
						const char *name)
{
	for (uint32_t i = 0; i < bundle->nr_teams; i++)
		if (!strcmp(bundle->teams[i].name, name))
			return &bundle->teams[i];
	return NULL;
}

static enum result check_teams(const struct bundle *bundle, char **error)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	enum result res = RESULT_OK;

	for (uint32_t i = 0; i < bundle->nr_teams && res == RESULT_OK; i++)
		res = check_name(seen, "team", bundle->teams[i].name, error);
	g_hash_table_unref(seen);
	return res;
}

static enum result check_service(const struct bundle *bundle,
				 const struct bundle_service *service,
				 char **error)
{
	if (service->team[0] && !bundle_team_of(bundle, service->team))
		return bundle_fail(error, RESULT_UNKNOWN_OBJECT,
				   "service \"%s\": unknown team \"%s\"",
				   service->name, service->team);
	if (service->replicas > SERVICE_MAX_REPLICAS)
		return bundle_fail(error, RESULT_OUT_OF_RANGE,
				   "service \"%s\": more than %u replicas",
				   service->name, SERVICE_MAX_REPLICAS);
	if (service->replicas && (!service->cpu_millis || !service->memory_mib))
		return bundle_fail(error, RESULT_OUT_OF_RANGE,
				   "service \"%s\": replicas need cpu_millis "
				   "and memory_mib",
				   service->name);
	if (service->deadline_ms > REQUEST_DEADLINE_MAX_MS)
		return bundle_fail(error, RESULT_OUT_OF_RANGE,
				   "service \"%s\": deadline_ms is larger than "
				   "%u",
				   service->name, REQUEST_DEADLINE_MAX_MS);
	return RESULT_OK;
}

static enum result check_quota(const struct bundle_team *team,
			       const char *resource, uint64_t used,
			       uint32_t quota, char **error)
{
	if (!quota || used <= quota)
		return RESULT_OK;
	return bundle_fail(error, RESULT_NEVER_FITS,
			   "team \"%s\": its services need %" G_GUINT64_FORMAT
			   " %s, the quota is %u",
			   team->name, used, resource, quota);
}

/* Checks that the quota of each team covers all replicas of its services. */
static enum result check_quotas(const struct bundle *bundle, char **error)
{
	enum result res = RESULT_OK;

	for (uint32_t i = 0; i < bundle->nr_teams && res == RESULT_OK; i++) {
		const struct bundle_team *team = &bundle->teams[i];
		uint64_t cpu = 0;
		uint64_t memory = 0;
		uint64_t accelerators = 0;

		for (uint32_t j = 0; j < bundle->nr_services; j++) {
			const struct bundle_service *service =
				&bundle->services[j];
			uint64_t replicas = service->replicas;

			if (strcmp(service->team, team->name) != 0)
				continue;
			cpu += replicas * service->cpu_millis;
			memory += replicas * service->memory_mib;
			accelerators += replicas * service->accelerators;
		}
		res = check_quota(team, "cpu_millis", cpu,
				  team->quota_cpu_millis, error);
		if (res == RESULT_OK)
			res = check_quota(team, "memory_mib", memory,
					  team->quota_memory_mib, error);
		if (res == RESULT_OK)
			res = check_quota(team, "accelerators", accelerators,
					  team->quota_accelerators, error);
	}
	return res;
}

static enum result check_services(const struct bundle *bundle, char **error)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	enum result res = RESULT_OK;

	for (uint32_t i = 0; i < bundle->nr_services && res == RESULT_OK; i++) {
		res = check_name(seen, "service", bundle->services[i].name,
				 error);
		if (res == RESULT_OK)
			res = check_service(bundle, &bundle->services[i],
					    error);
	}
	g_hash_table_unref(seen);
	return res;
}

enum result bundle_doc_check(const struct bundle *bundle, char **error)
{
	enum result res;

	if (!bundle->version)
		return bundle_fail(error, RESULT_OUT_OF_RANGE,
				   "version must be 1 or more");
	if (!bundle->nr_zones)
		return bundle_fail(error, RESULT_OUT_OF_RANGE,
				   "there must be at least one zone");
	if (bundle->nr_zones > BUNDLE_MAX_ZONES ||
	    bundle->nr_teams > BUNDLE_MAX_TEAMS ||
	    bundle->nr_services > BUNDLE_MAX_SERVICES)
		return bundle_fail(error, RESULT_TOO_LARGE,
				   "more than %u zones, %u teams or %u "
				   "services",
				   BUNDLE_MAX_ZONES, BUNDLE_MAX_TEAMS,
				   BUNDLE_MAX_SERVICES);
	res = check_zones(bundle, error);
	if (res == RESULT_OK)
		res = check_teams(bundle, error);
	if (res == RESULT_OK)
		res = check_services(bundle, error);
	if (res == RESULT_OK)
		res = check_quotas(bundle, error);
	return res;
}

/* Members that bundles of earlier releases didn't have. */
static const char *const added_members[] = { "queues", "pools", "document" };

static bool bundle_has_added_members(const struct bundle *bundle)
{
	return bundle->nr_queues || bundle->nr_pools ||
	       (bundle->document && g_bytes_get_size(bundle->document));
}

void bundle_doc_digest(const struct bundle *bundle, char digest[DIGEST_BYTES])
{
	struct bundle content = *bundle; /* borrows the arrays */
	JsonNode *node;
	char *hex;
	char *text;

	content.digest[0] = '\0';
	content.submitted_by[0] = '\0';
	content.signed_by[0] = '\0';
	node = json_from_body(CMD_BUNDLE_SUBMIT, &content);
	/*
	 * The digest of a bundle without these members has to be the one that
	 * earlier releases computed.
	 */
	for (size_t i = 0; i < G_N_ELEMENTS(added_members); i++)
		if (!bundle_has_added_members(bundle))
			json_object_remove_member(json_node_get_object(node),
						  added_members[i]);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	text_set(digest, DIGEST_BYTES, hex);
	g_free(hex);
	g_free(text);
}

enum result bundle_doc_check_digest(const struct bundle *bundle, char **error)
{
	char digest[DIGEST_BYTES];
	enum result res = bundle_doc_check(bundle, error);

	if (res != RESULT_OK)
		return res;
	bundle_doc_digest(bundle, digest);
	if (strcmp(digest, bundle->digest) != 0)
		return bundle_fail(error, RESULT_CORRUPT,
				   "the digest of the bundle is %s, not \"%s\"",
				   digest, bundle->digest);
	return RESULT_OK;
}

enum result bundle_doc_parse(const char *text, gsize size, struct bundle **out,
			     char **error)
{
	struct bundle *bundle = NULL;
	enum result res;

	*out = NULL;
	if (size > BUNDLE_MAX_BYTES)
		return bundle_fail(error, RESULT_TOO_LARGE,
				   "the bundle is larger than %u bytes",
				   BUNDLE_MAX_BYTES);
	res = json_text_to_body(CMD_BUNDLE_SUBMIT, text, (gssize)size,
				(void **)&bundle, error);
	if (res != RESULT_OK)
		return res;
	if (bundle->digest[0] || bundle->submitted_by[0] ||
	    bundle->signed_by[0]) {
		record_unref((struct record){ CMD_BUNDLE_SUBMIT, bundle });
		return bundle_fail(error, RESULT_MALFORMED,
				   "members digest, submitted_by and signed_by "
				   "are not part of the document");
	}
	bundle_doc_digest(bundle, bundle->digest);
	*out = bundle;
	return RESULT_OK;
}

enum result bundle_doc_read(const char *text, gsize size, struct bundle **out,
			    char **error)
{
	enum result res = bundle_doc_parse(text, size, out, error);

	if (!*out)
		return res;
	res = bundle_doc_check(*out, error);
	if (res != RESULT_OK) {
		record_unref((struct record){ CMD_BUNDLE_SUBMIT, *out });
		*out = NULL;
	}
	return res;
}
