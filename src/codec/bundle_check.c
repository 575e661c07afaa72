#include "bundle_check.h"

#include <string.h>

#include "bundle_doc.h"
#include "check_report.h"
#include "evict.h"
#include "json.h"
#include "json_diff.h"
#include "place.h"
#include "route.h"
#include "schema.h"
#include "state_bundle.h"

/* Paths that each process answers itself, so that no queue gets them. */
#define RESERVED_PREFIX "/-/"

struct bundle_checker {
	const struct bundle *bundle;
	struct check_report *report;
	GHashTable *pools; /* name -> const struct bundle_pool * */
	GHashTable *used; /* set of the names of pools that queues name */
	GHashTable
		*addresses; /* host and prefix -> index of the queue, from 1 */
	GHashTable *names; /* name -> index of the queue, from 1 */
};

static void check_pools(struct bundle_checker *checker)
{
	const struct bundle *bundle = checker->bundle;

	for (uint32_t i = 0; i < bundle->nr_pools; i++) {
		const struct bundle_pool *pool = &bundle->pools[i];
		char *where =
			g_strdup_printf("pool %u \"%s\"", i + 1, pool->name);

		if (!*pool->name)
			check_report_add(checker->report, CHECK_ERROR, where,
					 "the name is empty");
		else if (!g_hash_table_insert(checker->pools,
					      (void *)pool->name, (void *)pool))
			check_report_add(checker->report, CHECK_ERROR, where,
					 "the name is used twice");
		g_free(where);
	}
}

/* A pool that no queue names gets no task. */
static void check_pools_used(struct bundle_checker *checker)
{
	const struct bundle *bundle = checker->bundle;

	for (uint32_t i = 0; i < bundle->nr_pools; i++) {
		const char *name = bundle->pools[i].name;
		char *where;

		if (!*name || g_hash_table_contains(checker->used, name))
			continue;
		where = g_strdup_printf("pool %u \"%s\"", i + 1, name);
		check_report_add(checker->report, CHECK_UNREACHABLE, where,
				 "no queue names it as its service");
		g_free(where);
	}
}

/* Returns why no call can match, as static text, or NULL. */
static const char *unreachable_reason(const struct bundle_queue *queue)
{
	if (!*queue->host)
		return "the host is empty, which no call has";
	/* The port of a Host header isn't compared. */
	if (strpbrk(queue->host, ":/ "))
		return "no host contains ':', '/' or a blank";
	if (*queue->prefix && *queue->prefix != '/')
		return "the prefix doesn't begin with '/', as all paths do";
	if (strpbrk(queue->prefix, "?# "))
		return "no path contains '?', '#' or a blank";
	if (g_str_has_prefix(queue->prefix, RESERVED_PREFIX))
		return "paths below " RESERVED_PREFIX
		       " are answered by the process itself";
	return NULL;
}

static void check_queue_match(struct bundle_checker *checker,
			      const struct bundle_queue *queue, uint32_t nr,
			      const char *where)
{
	char *address = g_strconcat(queue->host, "\n", queue->prefix, NULL);
	uint32_t first = GPOINTER_TO_UINT(
		g_hash_table_lookup(checker->addresses, address));
	const char *reason = unreachable_reason(queue);

	if (reason)
		check_report_add(checker->report, CHECK_UNREACHABLE, where,
				 "%s", reason);
	if (first) {
		check_report_add(checker->report, CHECK_ERROR, where,
				 "host and prefix are those of queue %u, which "
				 "hides this one",
				 first);
		g_free(address);
		return;
	}
	g_hash_table_insert(checker->addresses, address, GUINT_TO_POINTER(nr));
}

static void check_queue_limits(struct bundle_checker *checker,
			       const struct bundle_queue *queue,
			       const char *where)
{
	struct check_report *report = checker->report;

	if (!queue->timeout_ms)
		check_report_add(report, CHECK_ERROR, where,
				 "the time-out is 0");
	if (!queue->attempts)
		check_report_add(report, CHECK_CONFLICT, where,
				 "0 attempts are allowed; control allows 1");
	if (!queue->slack_permille && !queue->slo_ms)
		check_report_add(report, CHECK_CONFLICT, where,
				 "the objective is 0 ms, so all work is late");
	/*
	 * With a slack, the objective covers the run time of the workflow,
	 * which goes on after its call.
	 */
	if (!queue->slack_permille && queue->timeout_ms &&
	    queue->slo_ms > queue->timeout_ms)
		check_report_add(report, CHECK_CONFLICT, where,
				 "the objective of %u ms has no slack and is "
				 "above the time-out of %u ms",
				 queue->slo_ms, queue->timeout_ms);
}

static void check_queue_service(struct bundle_checker *checker,
				const struct bundle_queue *queue,
				const char *where)
{
	const struct bundle_pool *pool =
		g_hash_table_lookup(checker->pools, queue->service);

	g_hash_table_add(checker->used, (void *)queue->service);
	if (!pool)
		check_report_add(checker->report, CHECK_ERROR, where,
				 "unknown service \"%s\"", queue->service);
	else if (pool->standby)
		check_report_add(checker->report, CHECK_CONFLICT, where,
				 "service \"%s\" is on standby, so its VMs "
				 "take no work",
				 queue->service);
}

static void check_queue_name(struct bundle_checker *checker,
			     const struct bundle_queue *queue, uint32_t nr,
			     const char *where)
{
	uint32_t first = GPOINTER_TO_UINT(
		g_hash_table_lookup(checker->names, queue->name));

	if (!*queue->name)
		return;
	if (first)
		check_report_add(checker->report, CHECK_CONFLICT, where,
				 "queue %u has the same name \"%s\", so no "
				 "weight can be set by name",
				 first, queue->name);
	else
		g_hash_table_insert(checker->names, (void *)queue->name,
				    GUINT_TO_POINTER(nr));
}

static void check_queues(struct bundle_checker *checker)
{
	const struct bundle *bundle = checker->bundle;

	for (uint32_t i = 0; i < bundle->nr_queues; i++) {
		const struct bundle_queue *queue = &bundle->queues[i];
		char *where = g_strdup_printf("queue %u \"%s%s\"", i + 1,
					      queue->host, queue->prefix);

		check_queue_match(checker, queue, i + 1, where);
		check_queue_service(checker, queue, where);
		check_queue_limits(checker, queue, where);
		check_queue_name(checker, queue, i + 1, where);
		g_free(where);
	}
}

static void check_services(struct bundle_checker *checker)
{
	const struct bundle *bundle = checker->bundle;

	for (uint32_t i = 0; i < bundle->nr_services; i++) {
		const struct bundle_service *service = &bundle->services[i];
		char *where;

		if (!service->deadline_ms ||
		    service->target_p99_us <= service->deadline_ms * 1000ull)
			continue;
		where = g_strdup_printf("service %u \"%s\"", i + 1,
					service->name);
		check_report_add(checker->report, CHECK_CONFLICT, where,
				 "target_p99_us is above deadline_ms, at which "
				 "requests end");
		g_free(where);
	}
}

static void check_policies(const struct bundle *bundle,
			   struct check_report *report)
{
	if (*bundle->route_policy && !route_find(bundle->route_policy))
		check_report_add(report, CHECK_ERROR, "route_policy",
				 "no such policy: \"%s\"",
				 bundle->route_policy);
	if (*bundle->place_policy && !place_find(bundle->place_policy))
		check_report_add(report, CHECK_ERROR, "place_policy",
				 "no such policy: \"%s\"",
				 bundle->place_policy);
	if (*bundle->evict_policy && !evict_find(bundle->evict_policy))
		check_report_add(report, CHECK_ERROR, "evict_policy",
				 "no such policy: \"%s\"",
				 bundle->evict_policy);
}

void bundle_check(const struct bundle *bundle, bool own,
		  struct check_report *report)
{
	struct bundle_checker checker = { .bundle = bundle, .report = report };
	const char *message = NULL;
	char *error = NULL;

	checker.pools = g_hash_table_new(g_str_hash, g_str_equal);
	checker.used = g_hash_table_new(g_str_hash, g_str_equal);
	checker.names = g_hash_table_new(g_str_hash, g_str_equal);
	checker.addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	check_policies(bundle, report);
	if (own && bundle_doc_check(bundle, &error) != RESULT_OK)
		check_report_add(report, CHECK_ERROR, "bundle", "%s", error);
	check_pools(&checker);
	check_queues(&checker);
	check_pools_used(&checker);
	check_services(&checker);
	/* Whatever the state machine refuses, there has to be an error. */
	if (!report->nr[CHECK_ERROR] &&
	    state_bundle_check(bundle, &message) != RESULT_OK)
		check_report_add(report, CHECK_ERROR, "bundle", "%s", message);
	g_hash_table_unref(checker.pools);
	g_hash_table_unref(checker.used);
	g_hash_table_unref(checker.names);
	g_hash_table_unref(checker.addresses);
	g_free(error);
}

void bundle_check_version(const struct bundle *bundle,
			  const struct bundle *current, bool differs,
			  struct check_report *report)
{
	if (bundle->version > current->version ||
	    (bundle->version == current->version && !differs))
		return;
	check_report_add(report, CHECK_ERROR, "bundle",
			 "version %" G_GUINT64_FORMAT " would not replace "
			 "version %" G_GUINT64_FORMAT ", which is in force",
			 bundle->version, current->version);
}

/* Returns the members of a bundle that are compared. */
static JsonNode *compared_members(const struct bundle *bundle, bool zones)
{
	static const char *const others[] = { "digest", "submitted_by",
					      "signed_by", "document" };
	JsonNode *node = json_from_body(CMD_BUNDLE_SUBMIT, bundle);

	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		json_object_remove_member(json_node_get_object(node),
					  others[i]);
	if (!zones)
		json_object_remove_member(json_node_get_object(node), "zones");
	return node;
}

void bundle_check_compare(const struct bundle *before,
			  const struct bundle *after, bool zones,
			  struct check_report *report)
{
	static const struct json_diff_list lists[] = {
		{ "zones", "zone", { "name", NULL } },
		{ "teams", "team", { "name", NULL } },
		{ "services", "service", { "name", NULL } },
		{ "queues", "queue", { "host", "prefix" } },
		{ "pools", "pool", { "name", NULL } },
		{ NULL, NULL, { NULL, NULL } },
	};
	JsonNode *old_node = compared_members(before, zones);
	JsonNode *new_node = compared_members(after, zones);

	json_diff(json_node_get_object(old_node),
		  json_node_get_object(new_node), lists, report);
	json_node_unref(old_node);
	json_node_unref(new_node);
}
