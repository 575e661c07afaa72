#include "role_host.h"

#include "log.h"
#include "logline.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#define METRICS_CONNECTIONS 8 /* one collector and a few operators */

static uint64_t process_resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "re");
	unsigned long long total = 0;
	unsigned long long resident = 0;
	int got;

	if (!file)
		return 0;
	got = fscanf(file, "%llu %llu", &total, &resident);
	fclose(file);
	return got == 2 ? resident * (uint64_t)sysconf(_SC_PAGESIZE) : 0;
}

static uint64_t process_cpu_us(void)
{
	struct rusage usage = { 0 };

	getrusage(RUSAGE_SELF, &usage);
	return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
		       1000000 +
	       (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

void role_host_log_refused(struct loop *loop,
			   const struct http_request *request, enum result res,
			   const char *error)
{
	GString *line = logline_new("call-refused");

	logline_str(line, "method", request->method);
	logline_str(line, "path", request->path);
	logline_u64(line, "body_bytes", request->body_bytes);
	logline_str(line, "result", result_name(res));
	logline_str(line, "fault", error ? error : "");
	node_log(loop_node(loop), line);
}

void role_host_metrics(struct loop *loop, const struct http_server *server,
		       GString *out)
{
	struct counters *counters = loop_node(loop)->counters;
	struct http_stats stats = http_server_stats(server);

	counter_set(counters, "process_resident_bytes",
		    process_resident_bytes());
	counter_set_total(counters, "process_cpu_us", process_cpu_us());
	counter_set_total(counters, "link_bytes_sent", loop_bytes_sent(loop));
	counter_set_total(counters, "http_body_bytes_sent",
			  http_server_bytes_sent(server));
	counter_set(counters, "http_connections",
		    http_server_connections(server));
	counter_set_total(counters, "http_requests", stats.requests);
	counter_set(counters, "http_requests_open", stats.open);
	counter_set_total(counters, "http_requests_unanswered",
			  stats.unanswered);
	counter_set_total(counters, "http_responses_cut", stats.cut);
	counter_set_total(counters, "log_lines", log_lines());
	counter_set_total(counters, "log_bytes", log_bytes());
	counter_set_total(counters, "log_lines_dropped", log_dropped());
	counters_print(counters, out);
}

struct metrics_server {
	const struct role_host_ops *ops;
	void *host;
	struct http_server *http;
};

static void metrics_request(void *ctx, struct http_request *request)
{
	http_respond_problem(request, RESULT_UNKNOWN_OBJECT, RUN_NOT_RUN,
			     "only the counters are served here");
}

static bool metrics_ready(void *ctx)
{
	return true;
}

static void metrics_append(void *ctx, GString *out)
{
	struct metrics_server *server = ctx;

	server->ops->metrics(server->host, out);
}

static const struct http_server_ops metrics_ops = {
	.request = metrics_request,
	.ready = metrics_ready,
	.metrics = metrics_append,
};

enum result metrics_server_new(const struct role_host_ops *ops, void *host,
			       const char *address, struct metrics_server **out)
{
	struct metrics_server *server = g_new0(struct metrics_server, 1);
	struct http_server_opts opts = { .address = address };
	enum result res;

	server->ops = ops;
	server->host = host;
	opts.max_connections = METRICS_CONNECTIONS;
	opts.ops = &metrics_ops;
	opts.ctx = server;
	res = http_server_new(&opts, &server->http);
	if (res != RESULT_OK) {
		metrics_server_free(server);
		return res;
	}
	*out = server;
	return RESULT_OK;
}

void metrics_server_free(struct metrics_server *server)
{
	if (!server)
		return;
	http_server_free(server->http);
	g_free(server);
}
