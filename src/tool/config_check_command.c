#include "config_check_command.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "bundle_check.h"
#include "bundle_doc.h"
#include "check_report.h"
#include "client.h"
#include "config_check.h"
#include "config_doc.h"
#include "json.h"
#include "json_repeat.h"
#include "json_text.h"
#include "schema.h"
#include "tunables.h"

/* A bundle and the form in which it was written. */
struct config {
	struct bundle *bundle; /* NULL: not read */
	JsonNode *document; /* in the platform's form, or NULL */
};

static void config_clear(struct config *config)
{
	record_unref((struct record){ CMD_BUNDLE_SUBMIT, config->bundle });
	if (config->document)
		json_node_unref(config->document);
	memset(config, 0, sizeof(*config));
}

/* Prints why @a source can't be read, in one line. */
static enum result config_fail(enum result res, const char *source,
			       const char *reason)
{
	struct check_report line;
	const struct check_finding *finding;
	char *message;

	check_report_init(&line);
	check_report_add(&line, CHECK_ERROR, source, "%s", reason);
	finding = line.findings->pdata[0];
	message = g_strdup_printf("%s: %s", finding->where, finding->text);
	command_fail(res, message);
	g_free(message);
	check_report_clear(&line);
	return res;
}

/* Reads a file of at most BODY_MAX_BYTES, which control accepts. */
static enum result file_read(const char *path, GByteArray *text)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	guint8 buffer[65536];
	ssize_t nr = 0;
	int error = errno;

	if (fd < 0)
		return config_fail(RESULT_IO, path, g_strerror(error));
	while (text->len <= BODY_MAX_BYTES) {
		nr = read(fd, buffer, sizeof(buffer));
		error = errno;
		if (nr < 0 && error == EINTR)
			continue;
		if (nr <= 0)
			break;
		g_byte_array_append(text, buffer, (guint)nr);
	}
	close(fd);
	if (nr < 0)
		return config_fail(RESULT_IO, path, g_strerror(error));
	if (text->len > BODY_MAX_BYTES)
		return config_fail(RESULT_TOO_LARGE, path,
				   "the file is larger than 8 MiB");
	return RESULT_OK;
}

/*
 * Reads a document of the platform. Its faulty entries are findings; then no
 * bundle is read.
 */
static enum result document_read(GBytes *bytes, struct config *config,
				 struct check_report *report,
				 const char **fault)
{
	static const char *const no_zones[] = { NULL };
	JsonObject *object = json_node_get_object(config->document);

	config_check_document(object, report);
	return config_read(bytes, no_zones, "", &config->bundle, fault);
}

/* Reads a bundle in either form and adds what is found on the way. */
static enum result config_parse(const char *source, GBytes *bytes,
				struct config *config,
				struct check_report *report)
{
	struct json_parse_error parse_error;
	const char *fault = NULL;
	char *error = NULL;
	gsize size = 0;
	const char *text = g_bytes_get_data(bytes, &size);
	JsonNode *root = json_parse(text, (gssize)size, &parse_error);
	enum result res = RESULT_MALFORMED;

	if (!root) {
		error = json_parse_error_text(&parse_error);
	} else if (!JSON_NODE_HOLDS_OBJECT(root)) {
		error = g_strdup("not a JSON object");
	} else {
		json_repeat_check(text, size, report);
		if (config_check_matches(json_node_get_object(root))) {
			config->document = json_node_ref(root);
			res = document_read(bytes, config, report, &fault);
		} else {
			res = bundle_doc_parse(text, size, &config->bundle,
					       &error);
		}
	}
	if (fault)
		error = g_strdup_printf("member \"%s\" is missing or has a "
					"wrong type or value",
					fault);
	if (res != RESULT_OK)
		config_fail(res, source, error);
	if (root)
		json_node_unref(root);
	g_free(error);
	return res;
}

static enum result config_load(const char *path, struct config *config,
			       struct check_report *report)
{
	GByteArray *text = g_byte_array_new();
	enum result res = file_read(path, text);
	GBytes *bytes = g_byte_array_free_to_bytes(text);

	if (res == RESULT_OK)
		res = config_parse(path, bytes, config, report);
	g_bytes_unref(bytes);
	return res;
}

/* Reads the answer to a request for the bundle in force. */
static enum result in_force_read(const struct client_reply *reply,
				 struct config *config)
{
	struct json_parse_error parse_error;
	char *error = NULL;
	const char *text;
	enum result res;
	gsize size = 0;

	if (reply->result != RESULT_OK)
		return config_fail(reply->result, "version in force",
				   reply->message);
	if (reply->nr_unread)
		return config_fail(RESULT_MALFORMED, "version in force",
				   "the answer has unreadable values");
	res = json_to_body(CMD_BUNDLE_SUBMIT, reply->root,
			   (void **)&config->bundle, &error);
	if (res != RESULT_OK) {
		config_fail(res, "version in force", error);
		g_free(error);
		return res;
	}
	if (!config->bundle->document)
		return RESULT_OK;
	text = g_bytes_get_data(config->bundle->document, &size);
	config->document = size ? json_parse(text, (gssize)size, &parse_error) :
				  NULL;
	if (config->document &&
	    (!JSON_NODE_HOLDS_OBJECT(config->document) ||
	     !config_check_matches(json_node_get_object(config->document))))
		g_clear_pointer(&config->document, json_node_unref);
	return RESULT_OK;
}

/* Fetches the bundle in force; control keeps no other signed-off version. */
static enum result in_force_load(const struct command_args *args,
				 uint64_t version, struct config *config)
{
	struct client_reply reply = { 0 };
	struct client *client = NULL;
	enum result res = command_client(args, &client);
	char *reason;

	if (res != RESULT_OK)
		return res;
	client_call(client, "GET", "/v1/bundle/in-force", NULL, &reply);
	res = in_force_read(&reply, config);
	if (res == RESULT_OK && config->bundle->version != version) {
		reason = g_strdup_printf("can't be fetched: only the version "
					 "in force can, which is "
					 "%" G_GUINT64_FORMAT,
					 config->bundle->version);
		res = config_fail(RESULT_UNKNOWN_OBJECT, args->against, reason);
		g_free(reason);
	}
	client_reply_clear(&reply);
	client_free(client);
	return res;
}

/* Compares in the words of the form that both bundles have. */
static void config_compare(const struct config *before,
			   const struct config *after,
			   struct check_report *report)
{
	if (before->document && after->document)
		json_diff(json_node_get_object(before->document),
			  json_node_get_object(after->document),
			  config_check_lists, report);
	else
		bundle_check_compare(before->bundle, after->bundle,
				     !before->document && !after->document,
				     report);
}

static enum result compare_against(const struct command_args *args,
				   const struct config *config,
				   struct check_report *report)
{
	struct config other = { 0 };
	struct check_report ignored; /* faults of the other bundle */
	guint64 version = 0;
	bool is_version = g_ascii_string_to_unsigned(
		args->against, 10, 0, G_MAXUINT64, &version, NULL);
	enum result res;

	check_report_init(&ignored);
	res = is_version ? in_force_load(args, version, &other) :
			   config_load(args->against, &other, &ignored);
	if (res == RESULT_OK) {
		config_compare(&other, config, report);
		if (is_version)
			bundle_check_version(config->bundle, other.bundle,
					     check_report_differences(report),
					     report);
	}
	check_report_clear(&ignored);
	config_clear(&other);
	return res;
}

static void print_findings(const struct check_report *report)
{
	for (guint i = 0; i < report->findings->len; i++) {
		const struct check_finding *finding =
			report->findings->pdata[i];

		printf("%s %s: %s\n", check_kind_name(finding->kind),
		       finding->where, finding->text);
	}
	for (uint32_t i = 0; i < CHECK_NR_KINDS; i++)
		if (report->nr[i] > CHECK_KIND_MAX)
			printf("%s: %u more are not shown\n",
			       check_kind_name(i),
			       report->nr[i] - CHECK_KIND_MAX);
	printf("faults=%u differences=%u\n", check_report_faults(report),
	       check_report_differences(report));
}

static void print_findings_json(const struct check_report *report)
{
	JsonArray *rows = json_array_new();
	JsonNode *root = json_node_new(JSON_NODE_ARRAY);
	char *text;

	for (guint i = 0; i < report->findings->len; i++) {
		const struct check_finding *finding =
			report->findings->pdata[i];
		JsonObject *row = json_object_new();

		json_object_set_string_member(row, "kind",
					      check_kind_name(finding->kind));
		json_object_set_string_member(row, "where", finding->where);
		json_object_set_string_member(row, "text", finding->text);
		json_array_add_object_element(rows, row);
	}
	json_node_take_array(root, rows);
	text = json_to_string(root, FALSE);
	printf("%s\n", text);
	g_free(text);
	json_node_unref(root);
}

enum result config_check_run(const struct command *command,
			     const struct command_args *args)
{
	struct config config = { 0 };
	struct check_report report;
	enum result res;

	check_report_init(&report);
	res = config_load(args->rest[0], &config, &report);
	if (res == RESULT_OK) {
		bundle_check(config.bundle, !config.document, &report);
		if (args->against)
			res = compare_against(args, &config, &report);
	}
	if (args->json)
		print_findings_json(&report);
	else if (res == RESULT_OK || report.findings->len)
		print_findings(&report);
	if (res == RESULT_OK && check_report_faults(&report))
		res = RESULT_FINDINGS;
	check_report_clear(&report);
	config_clear(&config);
	return res;
}
