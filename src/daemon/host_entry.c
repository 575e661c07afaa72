#include <string.h>

#include "entry.h"
#include "role_host.h"

struct host_entry {
	struct loop *loop;
	struct entry *entry;
	struct http_server *http;
};

static void host_entry_respond(void *ctx, uint64_t ticket,
			       const struct response *response)
{
	struct host_entry *host = ctx;
	struct http_request *request = http_find(host->http, ticket);

	if (!request)
		return;
	if (response->run != RUN_DONE)
		http_respond_problem(request, (enum result)response->result,
				     (enum run_state)response->run,
				     result_summary(response->result));
	else if (response->status < 200 || response->status > 599)
		http_respond_problem(request, RESULT_UPSTREAM_FAILED, RUN_DONE,
				     "the upstream's status is not valid");
	else
		http_respond(request, response->status, response->content_type,
			     response->body);
}

static const struct entry_host_ops host_entry_host_ops = {
	.respond = host_entry_respond,
};

/* Splits "/{service}/rest?query" and decodes the service. */
static enum result request_set_path(struct request *to,
				    const struct http_request *from)
{
	const char *rest = strchr(from->path + 1, '/');
	size_t len = rest ? (size_t)(rest - from->path - 1) :
			    strlen(from->path + 1);
	char *service = g_uri_unescape_segment(from->path + 1,
					       from->path + 1 + len, NULL);
	enum result res = RESULT_MALFORMED;
	int size;

	if (!service || !service[0] || !g_utf8_validate(service, -1, NULL))
		goto out;
	res = RESULT_TOO_LARGE;
	if (strlen(service) >= NAME_BYTES)
		goto out;
	size = g_snprintf(to->path, sizeof(to->path), "%s%s%s",
			  rest ? rest : "/", from->query ? "?" : "",
			  from->query ? from->query : "");
	if (size < 0 || (size_t)size >= sizeof(to->path))
		goto out;
	TEXT_SET(to->service, service);
	res = RESULT_OK;
out:
	g_free(service);
	return res;
}

static bool method_is_repeatable(const char *method)
{
	static const char *const methods[] = { "GET", "HEAD", "PUT", "DELETE" };

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++)
		if (!strcmp(method, methods[i]))
			return true;
	return false;
}

/* Copies a header into a text field; an absent header leaves it empty. */
static enum result request_set_header(char *to, size_t capacity,
				      const struct http_request *from,
				      const char *name)
{
	const char *value = http_header(from, name);

	if (!value)
		return RESULT_OK;
	if (strlen(value) >= capacity)
		return RESULT_TOO_LARGE;
	text_set(to, capacity, value);
	return RESULT_OK;
}

static enum result request_set_deadline(struct request *to,
					const struct http_request *from)
{
	const char *value = http_header(from, "Masticreach-Deadline-Ms");
	guint64 number = 0;

	if (!value)
		return RESULT_OK;
	if (!g_ascii_string_to_unsigned(value, 10, 1, UINT32_MAX, &number,
					NULL))
		return RESULT_OUT_OF_RANGE;
	to->deadline_ms = (uint32_t)number;
	return RESULT_OK;
}

static enum result request_set_repeatable(struct request *to,
					  const struct http_request *from)
{
	const char *value = http_header(from, "Masticreach-Repeatable");

	to->repeatable = method_is_repeatable(from->method);
	if (!value)
		return RESULT_OK;
	if (g_ascii_strcasecmp(value, "no") && g_ascii_strcasecmp(value, "yes"))
		return RESULT_MALFORMED;
	to->repeatable = !g_ascii_strcasecmp(value, "yes");
	return RESULT_OK;
}

/* Fills a request; on a fault @a part names what is wrong. */
static enum result request_fill(struct request *to,
				const struct http_request *from,
				const char **part)
{
	enum result res;

	*part = "the path";
	res = request_set_path(to, from);
	if (res != RESULT_OK)
		return res;
	*part = "the method";
	if (strlen(from->method) >= sizeof(to->method))
		return RESULT_TOO_LARGE;
	TEXT_SET(to->method, from->method);
	*part = "the Content-Type header";
	res = request_set_header(to->content_type, sizeof(to->content_type),
				 from, "Content-Type");
	if (res != RESULT_OK)
		return res;
	*part = "the Idempotency-Key header";
	res = request_set_header(to->key, sizeof(to->key), from,
				 "Idempotency-Key");
	if (res != RESULT_OK)
		return res;
	*part = "the Masticreach-Deadline-Ms header";
	res = request_set_deadline(to, from);
	if (res != RESULT_OK)
		return res;
	*part = "the Masticreach-Repeatable header";
	return request_set_repeatable(to, from);
}

static void host_entry_request(void *ctx, struct http_request *from)
{
	struct host_entry *host = ctx;
	struct request *request = schema_alloc(MSG_REQUEST);
	const char *part = NULL;
	enum result res = request_fill(request, from, &part);
	char *detail;

	if (res == RESULT_OK) {
		request->body = g_bytes_ref(from->body);
		loop_update_time(host->loop);
		entry_submit(host->entry, from->ticket, request);
	} else {
		detail = g_strdup_printf("%s: %s", part, result_summary(res));
		http_respond_problem(from, res, RUN_NOT_RUN, detail);
		g_free(detail);
	}
	record_unref((struct record){ MSG_REQUEST, request });
}

static void host_entry_gone(void *ctx, uint64_t ticket)
{
	struct host_entry *host = ctx;

	loop_update_time(host->loop);
	entry_abandon(host->entry, ticket);
}

static bool host_entry_ready(void *ctx)
{
	struct host_entry *host = ctx;

	return entry_ready(host->entry);
}

static void host_entry_metrics(void *ctx, GString *out)
{
	struct host_entry *host = ctx;

	role_host_metrics(host->loop, host->http, out);
}

static const struct http_server_ops host_entry_http_ops = {
	.request = host_entry_request,
	.gone = host_entry_gone,
	.ready = host_entry_ready,
	.metrics = host_entry_metrics,
};

static void host_entry_free(void *data)
{
	struct host_entry *host = data;

	if (!host)
		return;
	http_server_free(host->http);
	g_free(host);
}

static enum result host_entry_open(struct loop *loop,
				   const struct settings *settings, void **out,
				   const char **part)
{
	struct host_entry *host = g_new0(struct host_entry, 1);
	struct http_server_opts http_opts = { 0 };
	struct entry_opts opts = { 0 };
	enum result res;

	host->loop = loop;
	http_opts.address = settings->http;
	http_opts.max_connections = settings->max_connections;
	http_opts.ops = &host_entry_http_ops;
	http_opts.ctx = host;
	*part = "--http";
	res = http_server_new(&http_opts, &host->http);
	if (res != RESULT_OK) {
		host_entry_free(host);
		return res;
	}
	opts.host = &host_entry_host_ops;
	opts.host_ctx = host;
	opts.control_addresses = (const char *const *)settings->control;
	host->entry = entry_new(loop_node(loop), &opts);
	*out = host;
	return RESULT_OK;
}

static const char *host_entry_http_address(const void *data)
{
	const struct host_entry *host = data;

	return http_server_address(host->http);
}

static void host_entry_stop(void *data)
{
	struct host_entry *host = data;

	http_server_stop(host->http);
}

static bool host_entry_idle(const void *data)
{
	const struct host_entry *host = data;

	return http_server_idle(host->http);
}

const struct role_host_ops host_entry_ops = {
	.open = host_entry_open,
	.http_address = host_entry_http_address,
	.stop = host_entry_stop,
	.metrics = host_entry_metrics,
	.idle = host_entry_idle,
	.free = host_entry_free,
};
