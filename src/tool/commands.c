#include "command_args.h"

#include <stdio.h>
#include <string.h>

#include "bundle_doc.h"
#include "client.h"
#include "command.h"
#include "config_check_command.h"
#include "json.h"
#include "msg_raft.h"
#include "op.h"
#include "schema.h"
#include "table.h"

/* A list that control returns in pages: path, parameters and columns. */
struct list {
	const char *object; /* first word of the command */
	const char *path;
	const char *items; /* member of the answer that holds the array */
	const char *after; /* query parameter that requests the next page */
	const char *last; /* member of a page's last item, its value */
	struct column columns[12];
};

/* Names that are printed for the enum values in core/base/command.h. */
static const char *const vm_states[] = { "-", "live", "lost", "leaving", NULL };
static const char *const job_states[] = { "-",	    "active",	 "finished",
					  "failed", "cancelled", NULL };
static const char *const job_classes[] = { "-", "batch", "urgent", "service",
					   NULL };
static const char *const task_states[] = { "-",	      "pending",   "placed",
					   "running", "stopping",  "done",
					   "failed",  "cancelled", NULL };

static const struct list lists[] = {
	{ "zone",
	  "/v1/zones",
	  "zones",
	  "after_name",
	  "zone.name",
	  { { "ZONE", "zone.name", NULL },
	    { "OUT", "zone.out", NULL },
	    { "VERSION", "zone.version", NULL },
	    { "CHANGED BY", "zone.changed_by", NULL },
	    { "VMS LIVE", "vms_live", NULL },
	    { "TASKS", "tasks_running", NULL } } },
	{ "vm",
	  "/v1/vms",
	  "vms",
	  "after_name",
	  "vm.name",
	  { { "VM", "vm.name", NULL },
	    { "ZONE", "vm.zone", NULL },
	    { "RACK", "vm.rack", NULL },
	    { "STATE", "vm.state", vm_states },
	    { "QUARANTINED", "vm.quarantined", NULL },
	    { "CPU", "vm.cpu_millis", NULL },
	    { "CPU COMMITTED", "committed_cpu_millis", NULL },
	    { "MIB", "vm.memory_mib", NULL },
	    { "MIB COMMITTED", "committed_memory_mib", NULL },
	    { "TASKS", "tasks", NULL } } },
	{ "job",
	  "/v1/jobs",
	  "jobs",
	  "after_id",
	  "job.job_id",
	  { { "JOB", "job.job_id", NULL },
	    { "NAME", "job.name", NULL },
	    { "TEAM", "job.team", NULL },
	    { "CLASS", "job.job_class", job_classes },
	    { "STATE", "job.state", job_states },
	    { "PENDING", "pending", NULL },
	    { "RUNNING", "running", NULL },
	    { "DONE", "done", NULL },
	    { "FAILED", "failed", NULL },
	    { "EVICTIONS", "evictions", NULL } } },
	{ "workflow",
	  "/v1/workflows",
	  "flows",
	  "after_name",
	  "id",
	  { { "WORKFLOW", "id", NULL },
	    { "QUEUE", "queue", NULL },
	    { "SERVICE", "service", NULL },
	    { "STATE", "state", NULL },
	    { "PRIORITY", "priority", NULL },
	    { "TASKS", "tasks", NULL },
	    { "PLACED", "placed", NULL },
	    { "DONE", "done", NULL } } },
	{ "share",
	  "/v1/shares",
	  "shares",
	  "after_id",
	  "nr",
	  { { "QUEUE", "queue", NULL },
	    { "HOST", "host", NULL },
	    { "PREFIX", "prefix", NULL },
	    { "SERVICE", "service", NULL },
	    { "PRIORITY", "priority", NULL },
	    { "WEIGHT", "weight", NULL },
	    { "SHARE PERMILLE", "share_permille", NULL },
	    { "USE CORE MS", "use_core_ms", NULL },
	    { "OVER", "over", NULL },
	    { "WORKFLOWS", "workflows", NULL },
	    { "WAITING", "waiting", NULL } } },
	{ "task",
	  "/v1/tasks",
	  "tasks",
	  "after_id",
	  "task_id",
	  { { "TASK", "task_id", NULL },
	    { "JOB", "job_id", NULL },
	    { "STATE", "state", task_states },
	    { "EPOCH", "epoch", NULL },
	    { "VM", "vm", NULL },
	    { "CPU", "cpu_millis", NULL },
	    { "MIB", "memory_mib", NULL },
	    { "PROGRESS PPM", "progress_ppm", NULL },
	    { "EVICTIONS", "nr_evictions", NULL } } },
};

static const struct column member_columns[] = {
	{ "NODE", "node_id", NULL },	{ "VM", "name", NULL },
	{ "ADDRESS", "address", NULL }, { "VOTER", "voter", NULL },
	{ "LEADER", "leader", NULL },	{ "MATCH INDEX", "match_index", NULL },
	{ NULL, NULL, NULL },
};

static const struct column status_columns[] = {
	{ "LEADER", "leader_address", NULL },
	{ "TERM", "term", NULL },
	{ "COMMIT", "commit_index", NULL },
	{ "BUNDLE", "bundle_version", NULL },
	{ "VMS LIVE", "vms_live", NULL },
	{ "VMS LOST", "vms_lost", NULL },
	{ "PENDING", "tasks_pending", NULL },
	{ "RUNNING", "tasks_running", NULL },
	{ "JOBS", "jobs_active", NULL },
	{ "EVICTIONS", "evictions", NULL },
	{ NULL, NULL, NULL },
};

static const struct column bundle_columns[] = {
	{ "IN FORCE", "in_force", NULL },
	{ "SIGNED BY", "signed_by", NULL },
	{ "PROCESSES IN FORCE", "processes_in_force", NULL },
	{ "PROCESSES KNOWN", "processes_known", NULL },
	{ "SUBMITTED", "submitted", NULL },
	{ "SUBMITTED DIGEST", "submitted_digest", NULL },
	{ NULL, NULL, NULL },
};

static const struct column flow_step_columns[] = {
	{ "OCCURRENCE", "occurrence", NULL },
	{ "STEP", "step", NULL },
	{ "TASKS", "tasks", NULL },
	{ "PLACED", "placed", NULL },
	{ "DONE", "done", NULL },
	{ "FAILURES", "failures", NULL },
	{ "STATE", "state", NULL },
	{ "REASON", "reason", NULL },
	{ "WAITED MS", "waited_ms", NULL },
	{ "RESERVED VM", "reserved_vm", NULL },
	{ "IN MS", "reserved_in_ms", NULL },
	{ NULL, NULL, NULL },
};

static const struct column flow_run_columns[] = {
	{ "TASK", "task", NULL },     { "RUN", "run", NULL },
	{ "VM", "vm", NULL },	      { "STATE", "state", NULL },
	{ "RAN MS", "ran_ms", NULL }, { "PERCENT", "percent", NULL },
	{ "PACE", "pace", NULL },     { NULL, NULL, NULL },
};

static const struct column flow_end_columns[] = {
	{ "TASK", "task", NULL },
	{ "RUN", "run", NULL },
	{ "VM", "vm", NULL },
	{ "END", "end", NULL },
	{ "MS AGO", "ended_ms_ago", NULL },
	{ NULL, NULL, NULL },
};

enum result command_fail(enum result res, const char *message)
{
	fprintf(stderr, "masticreach: %s: %s\n", result_name(res), message);
	return res;
}

enum result command_client(const struct command_args *args,
			   struct client **client)
{
	struct client_opts opts = { 0 };
	char **addresses;

	if (!args->control || !args->control[0])
		return command_fail(RESULT_USAGE,
				    "--control or MASTICREACH_CONTROL_HTTP is "
				    "missing");
	addresses = g_strsplit(args->control, ",", -1);
	opts.addresses = (const char *const *)addresses;
	opts.timeout_ms = args->timeout_ms;
	*client = client_new(&opts);
	g_strfreev(addresses);
	return RESULT_OK;
}

static void print_json(JsonNode *root)
{
	char *text = json_to_string(root, FALSE);

	printf("%s\n", text);
	g_free(text);
}

/* Warns the operator that some values of an answer could not be read. */
static void warn_unreadable(const struct client_reply *reply)
{
	if (reply->nr_unread)
		fprintf(stderr,
			"masticreach: %u values of the answer are unreadable\n",
			reply->nr_unread);
}

static bool node_is(JsonNode *node, GType type)
{
	return node && JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

/* Returns a member that is an array, NULL if there is no such array. */
static JsonArray *object_array(JsonObject *object, const char *member)
{
	JsonNode *node = json_object_get_member(object, member);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

static enum result fail_missing_list(const char *member)
{
	char *message =
		g_strdup_printf("the answer has no list \"%s\"", member);

	command_fail(RESULT_MALFORMED, message);
	g_free(message);
	return RESULT_MALFORMED;
}

/* Prints an op_reply. */
static void print_change(const struct command_args *args, JsonNode *root)
{
	JsonObject *object = json_node_get_object(root);
	gint64 id = json_object_get_int_member_with_default(object, "id", 0);
	gint64 version =
		json_object_get_int_member_with_default(object, "version", 0);

	if (args->json) {
		print_json(root);
		return;
	}
	printf("ok");
	if (id)
		printf(" id=%" G_GINT64_FORMAT, id);
	if (version)
		printf(" version=%" G_GINT64_FORMAT, version);
	printf("\n");
}

/* Sends one change to control and prints the reply. */
static enum result command_change(const struct command_args *args,
				  const char *method, const char *path,
				  uint32_t type, const void *body)
{
	struct client *client = NULL;
	struct client_reply reply = { 0 };
	enum result res = command_client(args, &client);
	char *text = NULL;

	if (res != RESULT_OK)
		return res;
	if (body)
		text = json_text_from_body(type, body, FALSE);
	client_call(client, method, path, text, &reply);
	res = reply.result;
	if (res == RESULT_OK)
		print_change(args, reply.root);
	else
		command_fail(res, reply.message);
	client_reply_clear(&reply);
	client_free(client);
	g_free(text);
	return res;
}

/* Shows the object at @a path as one row, or its member @a items as a table. */
static enum result command_show(const struct command_args *args,
				const char *path, const struct column *columns,
				const char *items)
{
	struct client *client = NULL;
	struct client_reply reply = { 0 };
	enum result res = command_client(args, &client);
	JsonArray *rows = NULL;

	if (res != RESULT_OK)
		return res;
	client_call(client, "GET", path, NULL, &reply);
	res = reply.result;
	if (res != RESULT_OK) {
		command_fail(res, reply.message);
		goto out;
	}
	warn_unreadable(&reply);
	if (args->json && !items) {
		print_json(reply.root);
		goto out;
	}
	if (items) {
		rows = object_array(json_node_get_object(reply.root), items);
		if (!rows) {
			res = fail_missing_list(items);
			goto out;
		}
		json_array_ref(rows);
	} else {
		rows = json_array_new();
		json_array_add_element(rows, json_node_ref(reply.root));
	}
	if (args->json) {
		JsonNode *node = json_node_new(JSON_NODE_ARRAY);

		json_node_set_array(node, rows);
		print_json(node);
		json_node_unref(node);
	} else {
		table_print(columns, rows);
	}
out:
	if (rows)
		json_array_unref(rows);
	client_reply_clear(&reply);
	client_free(client);
	return res;
}

/* Returns a member of an object, which may be nested; NULL if it is missing. */
static JsonNode *object_find(JsonObject *object, const char *member)
{
	const char *dot = strchr(member, '.');
	JsonNode *node;
	char *first;

	if (!dot)
		return json_object_get_member(object, member);
	first = g_strndup(member, (gsize)(dot - member));
	node = json_object_get_member(object, first);
	g_free(first);
	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return NULL;
	return object_find(json_node_get_object(node), dot + 1);
}

/* Returns the key of the last row with a key on the page, or NULL. */
static JsonNode *list_last_key(const struct list *list, JsonArray *page)
{
	for (guint i = json_array_get_length(page); i-- > 0;) {
		JsonObject *row = table_row(page, i);
		JsonNode *key = row ? object_find(row, list->last) : NULL;

		if (node_is(key, G_TYPE_STRING) || node_is(key, G_TYPE_INT64))
			return key;
	}
	return NULL;
}

/* Returns the path of the page after @a key, or of the first page for NULL. */
static char *list_next_path(const struct list *list, JsonNode *key,
			    uint64_t job_id)
{
	GString *path = g_string_new(list->path);
	char separator = '?';

	if (job_id) {
		g_string_append_printf(path, "?job_id=%" G_GUINT64_FORMAT,
				       job_id);
		separator = '&';
	}
	if (!key)
		return g_string_free(path, FALSE);
	g_string_append_printf(path, "%c%s=", separator, list->after);
	if (json_node_get_value_type(key) == G_TYPE_STRING)
		g_string_append_uri_escaped(path, json_node_get_string(key),
					    NULL, FALSE);
	else
		g_string_append_printf(path, "%" G_GINT64_FORMAT,
				       json_node_get_int(key));
	return g_string_free(path, FALSE);
}

/* Appends a page's rows to @a items and sets @a key to the page's last key. */
static enum result list_append_page(const struct list *list,
				    const struct client_reply *reply,
				    JsonArray *items, JsonNode **key, guint *nr)
{
	JsonArray *page =
		object_array(json_node_get_object(reply->root), list->items);

	if (!page)
		return fail_missing_list(list->items);
	*nr = json_array_get_length(page);
	for (guint i = 0; i < *nr; i++)
		json_array_add_element(
			items, json_node_ref(json_array_get_element(page, i)));
	*key = list_last_key(list, page);
	if (*nr && !*key)
		return command_fail(RESULT_MALFORMED,
				    "all rows of a page are unreadable");
	return RESULT_OK;
}

/*
 * Reads all pages of a list into one array. After RESULT_MALFORMED the array
 * holds the rows before the first unreadable page.
 */
static enum result list_read(struct client *client, const struct list *list,
			     uint64_t job_id, JsonArray *items)
{
	JsonNode *key = NULL;
	enum result res;
	guint nr = 0;

	do {
		char *path = list_next_path(list, key, job_id);
		struct client_reply reply = { 0 };

		client_call(client, "GET", path, NULL, &reply);
		g_free(path);
		warn_unreadable(&reply);
		res = reply.result;
		if (res != RESULT_OK)
			command_fail(res, reply.message);
		else
			res = list_append_page(list, &reply, items, &key, &nr);
		/* The array holds references to the rows and thus to key. */
		client_reply_clear(&reply);
	} while (res == RESULT_OK && nr);
	return res;
}

static const struct list *list_find(const char *object)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		if (!strcmp(lists[i].object, object))
			return &lists[i];
	return NULL;
}

static enum result run_list(const struct command *command,
			    const struct command_args *args)
{
	const struct list *list = list_find(command->object);
	struct client *client = NULL;
	enum result res = command_client(args, &client);
	JsonArray *items;
	JsonNode *node;

	g_assert(list);
	if (res != RESULT_OK)
		return res;
	items = json_array_new();
	res = list_read(client, list, args->job_id, items);
	if (res != RESULT_OK && !json_array_get_length(items))
		goto out;
	if (args->json) {
		node = json_node_new(JSON_NODE_ARRAY);
		json_node_set_array(node, items);
		print_json(node);
		json_node_unref(node);
	} else {
		table_print(list->columns, items);
	}
out:
	json_array_unref(items);
	client_free(client);
	return res;
}

static enum result read_bundle(const char *file, struct bundle **bundle)
{
	char *text = NULL;
	char *error = NULL;
	GError *gerror = NULL;
	enum result res;
	gsize size;

	if (!g_file_get_contents(file, &text, &size, &gerror)) {
		res = command_fail(RESULT_IO, gerror->message);
		g_clear_error(&gerror);
		return res;
	}
	res = bundle_doc_read(text, size, bundle, &error);
	if (res != RESULT_OK)
		command_fail(res, error);
	g_free(error);
	g_free(text);
	return res;
}

/* Checks the bundle locally and, if control's address is given, at control. */
static enum result run_bundle_check(const struct command *command,
				    const struct command_args *args)
{
	struct bundle *bundle = NULL;
	enum result res = read_bundle(args->rest[0], &bundle);

	if (res != RESULT_OK)
		return res;
	if (args->control && args->control[0])
		res = command_change(args, "POST", "/v1/bundle/check",
				     OP_BUNDLE_CHECK, bundle);
	if (res == RESULT_OK && !args->json)
		printf("version=%" G_GUINT64_FORMAT " digest=%s\n",
		       bundle->version, bundle->digest);
	record_unref((struct record){ CMD_BUNDLE_SUBMIT, bundle });
	return res;
}

static enum result require_by(const struct command_args *args)
{
	if (!args->by || !args->by[0])
		return command_fail(RESULT_USAGE, "--by is missing");
	if (strlen(args->by) >= NAME_BYTES)
		return command_fail(RESULT_OUT_OF_RANGE, "--by is too long");
	return RESULT_OK;
}

static enum result run_bundle_submit(const struct command *command,
				     const struct command_args *args)
{
	struct bundle *bundle = NULL;
	enum result res = require_by(args);

	if (res == RESULT_OK)
		res = read_bundle(args->rest[0], &bundle);
	if (res != RESULT_OK)
		return res;
	TEXT_SET(bundle->submitted_by, args->by);
	res = command_change(args, "POST", "/v1/bundle", OP_BUNDLE_SUBMIT,
			     bundle);
	if (res == RESULT_OK && !args->json)
		printf("digest=%s\n", bundle->digest);
	record_unref((struct record){ CMD_BUNDLE_SUBMIT, bundle });
	return res;
}

static enum result run_bundle_sign(const struct command *command,
				   const struct command_args *args)
{
	struct cmd_bundle_sign sign = { 0 };
	enum result res = require_by(args);

	if (res != RESULT_OK)
		return res;
	if (!args->version || !args->digest)
		return command_fail(RESULT_USAGE,
				    "--bundle-version and --digest are needed");
	sign.version = args->version;
	TEXT_SET(sign.digest, args->digest);
	TEXT_SET(sign.signed_by, args->by);
	return command_change(args, "POST", "/v1/bundle/sign-off",
			      OP_BUNDLE_SIGN, &sign);
}

static enum result run_bundle_status(const struct command *command,
				     const struct command_args *args)
{
	return command_show(args, "/v1/bundle", bundle_columns, NULL);
}

static enum result run_status(const struct command *command,
			      const struct command_args *args)
{
	return command_show(args, "/v1/status", status_columns, NULL);
}

static enum result run_member_list(const struct command *command,
				   const struct command_args *args)
{
	return command_show(args, "/v1/status", member_columns, "members");
}

static char *escaped_path(const char *prefix, const char *name)
{
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	char *path = g_strconcat(prefix, escaped, NULL);

	g_free(escaped);
	return path;
}

/*
 * Reads a row of the list of zones into @a zone. Returns false if the row isn't
 * the one of the zone @a name.
 */
static bool zone_read_row(JsonObject *row, const char *name,
			  struct zone_record *zone, enum result *res)
{
	JsonNode *key = row ? object_find(row, "zone.name") : NULL;
	JsonNode *out = row ? object_find(row, "zone.out") : NULL;
	JsonNode *version = row ? object_find(row, "zone.version") : NULL;
	JsonNode *by = row ? object_find(row, "zone.changed_by") : NULL;

	if (!node_is(key, G_TYPE_STRING) ||
	    strcmp(json_node_get_string(key), name) != 0)
		return false;
	*res = RESULT_OK;
	if (!node_is(out, G_TYPE_BOOLEAN) || !node_is(version, G_TYPE_INT64) ||
	    json_node_get_int(version) < 0) {
		*res = command_fail(RESULT_MALFORMED,
				    "the zone's record is unreadable");
		return true;
	}
	zone->out = json_node_get_boolean(out);
	zone->version = (uint64_t)json_node_get_int(version);
	if (node_is(by, G_TYPE_STRING))
		TEXT_SET(zone->changed_by, json_node_get_string(by));
	return true;
}

/*
 * Reads a zone's record. A zone without a record gets version 0 and counts as
 * in service.
 */
static enum result zone_read(struct client *client, const char *name,
			     struct zone_record *zone)
{
	JsonArray *items = json_array_new();
	enum result res = list_read(client, list_find("zone"), 0, items);

	memset(zone, 0, sizeof(*zone));
	for (guint i = 0; i < json_array_get_length(items); i++)
		if (zone_read_row(table_row(items, i), name, zone, &res))
			break;
	json_array_unref(items);
	return res;
}

/*
 * Sets a zone's state, on condition that its version is still the one that was
 * read. If a request gets no clear answer, reads the zone again and repeats the
 * change only if the version is unchanged.
 */
static enum result zone_set(struct client *client,
			    const struct command_args *args,
			    struct cmd_zone_set *set)
{
	char *path = escaped_path("/v1/zones/", set->name);
	struct client_reply reply = { 0 };
	struct zone_record zone;
	enum result res;
	char *text;

	res = zone_read(client, set->name, &zone);
	if (res != RESULT_OK)
		goto out;
	set->expected_version = zone.version;
	text = json_text_from_body(OP_ZONE_SET, set, FALSE);
	for (;;) {
		client_call_once(client, "PUT", path, text, &reply);
		res = reply.result;
		if (!reply.lost)
			break;
		client_reply_clear(&reply);
		res = zone_read(client, set->name, &zone);
		if (res != RESULT_OK || zone.version != set->expected_version)
			break;
	}
	g_free(text);
	if (res == RESULT_OK && reply.root) {
		print_change(args, reply.root);
	} else if (res == RESULT_OK && zone.out == set->out &&
		   zone.version == set->expected_version + 1 &&
		   !strcmp(zone.changed_by, set->changed_by)) {
		printf(args->json ?
			       "{\"result\": 0, \"version\": %" G_GUINT64_FORMAT
			       "}\n" :
			       "ok version=%" G_GUINT64_FORMAT "\n",
		       zone.version);
	} else if (res == RESULT_OK &&
		   zone.version > set->expected_version + 1) {
		res = command_fail(RESULT_OUTCOME_UNKNOWN,
				   "the zone has changed more than once; this "
				   "change may be one of them");
	} else if (res == RESULT_OK) {
		res = command_fail(RESULT_STALE,
				   "another change to the zone came first");
	} else if (reply.message) {
		command_fail(res, reply.message);
	}
out:
	client_reply_clear(&reply);
	g_free(path);
	return res;
}

static enum result run_zone_set(const struct command *command,
				const struct command_args *args)
{
	struct cmd_zone_set set = { 0 };
	struct client *client = NULL;
	enum result res = require_by(args);

	if (res == RESULT_OK && strlen(args->rest[0]) >= NAME_BYTES)
		res = command_fail(RESULT_OUT_OF_RANGE,
				   "the zone's name is too long");
	if (res == RESULT_OK)
		res = command_client(args, &client);
	if (res != RESULT_OK)
		return res;
	TEXT_SET(set.name, args->rest[0]);
	TEXT_SET(set.changed_by, args->by);
	set.out = !strcmp(command->verb, "out");
	res = zone_set(client, args, &set);
	client_free(client);
	return res;
}

static enum result run_vm_set(const struct command *command,
			      const struct command_args *args)
{
	struct cmd_vm_quarantine set = { 0 };
	enum result res;
	char *path;

	if (strlen(args->rest[0]) >= NAME_BYTES)
		return command_fail(RESULT_OUT_OF_RANGE,
				    "the VM's name is too long");
	TEXT_SET(set.name, args->rest[0]);
	set.quarantined = !strcmp(command->verb, "quarantine");
	path = escaped_path("/v1/vms/", set.name);
	res = command_change(args, "PUT", path, OP_VM_SET, &set);
	g_free(path);
	return res;
}

/* Submits the job in a JSON file. Its key makes repeated calls idempotent. */
static enum result run_job_submit(const struct command *command,
				  const struct command_args *args)
{
	struct job_record *job = NULL;
	char *text = NULL;
	char *error = NULL;
	GError *gerror = NULL;
	enum result res = RESULT_IO;
	char *key;
	gsize size;

	if (!g_file_get_contents(args->rest[0], &text, &size, &gerror)) {
		res = command_fail(RESULT_IO, gerror->message);
		g_clear_error(&gerror);
		return res;
	}
	res = json_text_to_body(OP_JOB_SUBMIT, text, (gssize)size,
				(void **)&job, &error);
	if (res != RESULT_OK) {
		command_fail(res, error);
		goto out;
	}
	if (args->key && strlen(args->key) >= KEY_BYTES) {
		res = command_fail(RESULT_OUT_OF_RANGE, "--key is too long");
		goto out;
	}
	if (args->key) {
		TEXT_SET(job->key, args->key);
	} else if (!job->key[0]) {
		key = g_uuid_string_random();
		TEXT_SET(job->key, key);
		g_free(key);
	}
	res = command_change(args, "POST", "/v1/jobs", OP_JOB_SUBMIT, job);
	if (res != RESULT_OK)
		fprintf(stderr, "masticreach: submit again with --key %s\n",
			job->key);
out:
	record_unref((struct record){ OP_JOB_SUBMIT, job });
	g_free(error);
	g_free(text);
	return res;
}

/* Prints the table of a member's items, and nothing if there are none. */
static void print_section(JsonObject *flow, const char *member,
			  const struct column *columns)
{
	JsonArray *items = object_array(flow, member);

	if (!items || !json_array_get_length(items))
		return;
	printf("\n");
	table_print(columns, items);
}

static void print_flow(JsonArray *flows, bool runs)
{
	JsonObject *flow = table_row(flows, 0);

	table_print(list_find("workflow")->columns, flows);
	if (!flow)
		return;
	print_section(flow, "steps", flow_step_columns);
	if (runs)
		print_section(flow, "runs", flow_run_columns);
	print_section(flow, "ends", flow_end_columns);
}

/*
 * Shows a workflow's steps with the reasons why they wait, its runs and the
 * last ends of runs.
 */
static enum result run_flow_show(const struct command *command,
				 const struct command_args *args)
{
	char *path = escaped_path("/v1/workflows/", args->rest[0]);
	struct client *client = NULL;
	struct client_reply reply = { 0 };
	enum result res = command_client(args, &client);
	JsonArray *flows;

	if (res != RESULT_OK)
		goto out;
	client_call(client, "GET", path, NULL, &reply);
	res = reply.result;
	if (res != RESULT_OK) {
		command_fail(res, reply.message);
		goto out;
	}
	warn_unreadable(&reply);
	flows = object_array(json_node_get_object(reply.root), "flows");
	if (!flows)
		res = fail_missing_list("flows");
	else if (args->json)
		print_json(reply.root);
	else if (json_array_get_length(flows))
		print_flow(flows, !strcmp(command->object, "job"));
out:
	client_reply_clear(&reply);
	client_free(client);
	g_free(path);
	return res;
}

static enum result parse_id(const char *text, uint64_t *id)
{
	guint64 number = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT64, &number, NULL))
		return command_fail(RESULT_MALFORMED, "an id must be a number");
	*id = number;
	return RESULT_OK;
}

static enum result run_job_cancel(const struct command *command,
				  const struct command_args *args)
{
	struct cmd_job_cancel cancel = { 0 };
	enum result res = RESULT_OK;

	cancel.nr_job_ids = args->nr_rest;
	cancel.job_ids = g_new0(uint64_t, args->nr_rest);
	for (uint32_t i = 0; i < args->nr_rest && res == RESULT_OK; i++)
		res = parse_id(args->rest[i], &cancel.job_ids[i]);
	if (res == RESULT_OK)
		res = command_change(args, "POST", "/v1/jobs/cancel",
				     OP_JOB_CANCEL, &cancel);
	g_free(cancel.job_ids);
	return res;
}

static enum result run_member_add(const struct command *command,
				  const struct command_args *args)
{
	struct member member = { 0 };
	enum result res = parse_id(args->rest[0], &member.node_id);

	if (res != RESULT_OK)
		return res;
	if (strlen(args->rest[1]) >= ADDRESS_BYTES ||
	    strlen(args->rest[2]) >= NAME_BYTES)
		return command_fail(RESULT_OUT_OF_RANGE,
				    "the address or name is too long");
	TEXT_SET(member.address, args->rest[1]);
	TEXT_SET(member.name, args->rest[2]);
	return command_change(args, "POST", "/v1/members", OP_MEMBER_ADD,
			      &member);
}

static enum result run_member_remove(const struct command *command,
				     const struct command_args *args)
{
	uint64_t id = 0;
	enum result res = parse_id(args->rest[0], &id);
	char *path;

	if (res != RESULT_OK)
		return res;
	path = g_strdup_printf("/v1/members/%" G_GUINT64_FORMAT, id);
	res = command_change(args, "DELETE", path, OP_MEMBER_REMOVE, NULL);
	g_free(path);
	return res;
}

/* Sets the weight of a queue, given by its name or its host and prefix. */
static enum result run_share_set(const struct command *command,
				 const struct command_args *args)
{
	struct cmd_share_weight set = { 0 };
	guint64 weight = 0;

	if (strlen(args->rest[0]) >= sizeof(set.queue))
		return command_fail(RESULT_OUT_OF_RANGE,
				    "the queue's name is too long");
	if (!g_ascii_string_to_unsigned(args->rest[1], 10, 0, G_MAXUINT64,
					&weight, NULL))
		return command_fail(RESULT_MALFORMED,
				    "a weight must be a number from 0");
	if (weight > SHARE_WEIGHT_MAX)
		return command_fail(RESULT_OUT_OF_RANGE,
				    "a weight is at most 1000000");
	TEXT_SET(set.queue, args->rest[0]);
	set.weight = (uint32_t)weight;
	return command_change(args, "PUT", "/v1/shares", OP_SHARE_SET, &set);
}

static const struct command commands[] = {
	{ "bundle", "check", "FILE", "check a bundle", 1, 1, run_bundle_check },
	{ "bundle", "submit", "FILE", "submit a bundle (--by)", 1, 1,
	  run_bundle_submit },
	{ "bundle", "sign-off", "", "sign off (--bundle-version --digest --by)",
	  0, 0, run_bundle_sign },
	{ "bundle", "status", "", "show what is in force where", 0, 0,
	  run_bundle_status },
	{ "config", "check", "FILE",
	  "check a bundle and compare it (--against), send nothing", 1, 1,
	  config_check_run },
	{ "zone", "list", "", "list the zones", 0, 0, run_list },
	{ "zone", "out", "ZONE", "take a zone out (--by)", 1, 1, run_zone_set },
	{ "zone", "in", "ZONE", "bring a zone back (--by)", 1, 1,
	  run_zone_set },
	{ "vm", "list", "", "list the VMs", 0, 0, run_list },
	{ "vm", "quarantine", "VM", "place nothing more on a VM", 1, 1,
	  run_vm_set },
	{ "vm", "release", "VM", "end a quarantine", 1, 1, run_vm_set },
	{ "job", "submit", "FILE", "submit a job (--key)", 1, 1,
	  run_job_submit },
	{ "job", "list", "", "list the jobs", 0, 0, run_list },
	{ "job", "show", "ID", "show a workflow: steps, runs, last ends", 1, 1,
	  run_flow_show },
	{ "why", NULL, "ID", "show why a workflow waits, and its last ends", 1,
	  1, run_flow_show },
	{ "workflow", "list", "", "list the workflows", 0, 0, run_list },
	{ "job", "cancel", "ID...", "cancel jobs", 1, UINT32_MAX,
	  run_job_cancel },
	{ "task", "list", "", "list the tasks (--job)", 0, 0, run_list },
	{ "share", "list", "", "list the shares of queues", 0, 0, run_list },
	{ "share", "set", "QUEUE WEIGHT", "set a queue's weight, 0: none", 2, 2,
	  run_share_set },
	{ "member", "list", "", "list the control replicas", 0, 0,
	  run_member_list },
	{ "member", "add", "ID ADDRESS VM", "add a replica as a learner", 3, 3,
	  run_member_add },
	{ "member", "remove", "ID", "remove a replica", 1, 1,
	  run_member_remove },
	{ "status", NULL, "", "show the state of control", 0, 0, run_status },
	{ NULL, NULL, NULL, NULL, 0, 0, NULL },
};

const struct command *commands_table(void)
{
	return commands;
}
