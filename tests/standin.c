/**
 * @file standin.c
 * Stand-in for the worker and the upstreams of one VM. It runs tasks under
 * leases like the platform's worker, serves requests like an upstream, and
 * writes all starts, ends and requests to a journal. The checker relies on the
 * journals alone and not on the system's own data.
 *
 * A task's payload holds words separated by blanks: run_ms=N (actual run time),
 * fail=1 (fails after half of its run time), service=NAME (announces an
 * upstream while it runs).
 */

#include <glib-unix.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "json.h"
#include "platform.h"
#include "schema.h"

#define ANNOUNCE_INTERVAL_MS 500
#define PROGRESS_FULL_PPM 1000000u

struct standin {
	GMainLoop *loop;
	SoupServer *server;
	SoupSession *session;
	GHashTable *tasks; /* uint64_t * -> struct work * */
	FILE *journal;
	char *vm;
	char *zone;
	char *agent_file; /* port file of the agent, NULL: no agent */
	char *service; /* of the upstream that always runs, NULL: none */
	char *address; /* own HTTP address */
	gint time_ms; /* service time of a request */
	gint lag_ms; /* age of the reported progress */
	gint slots; /* announced concurrency of an upstream */
	gint fail_all; /* every running task fails */
	uint32_t in_flight;
	gboolean leaving; /* upstreams are announced as leaving */
};

/* A task that this worker runs or has run. */
struct work {
	struct standin *standin;
	struct platform_start start;
	uint32_t run; /* enum task_run_state */
	uint32_t run_ms; /* 0: runs until stopped */
	uint32_t resumed_ppm; /* progress of the checkpoint that it resumed */
	gint64 began_us;
	gint64 lease_end_us;
	uint32_t speed_ppm; /* share of the full speed, set by throttling */
	uint32_t progress_ppm;
	gint64 progress_us; /* time of the last update of progress_ppm */
	char checkpoint[NAME_BYTES];
	char service[NAME_BYTES];
	gboolean fails;
	guint tick;
};

static void journal(struct standin *standin, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void journal(struct standin *standin, const char *format, ...)
{
	va_list args;

	fprintf(standin->journal, "t=%" G_GINT64_FORMAT " vm=%s zone=%s ",
		g_get_monotonic_time(), standin->vm, standin->zone);
	va_start(args, format);
	vfprintf(standin->journal, format, args);
	va_end(args);
	fputc('\n', standin->journal);
	fflush(standin->journal);
}

static uint32_t payload_number(const char *payload, const char *name,
			       uint32_t missing)
{
	char **words = g_strsplit(payload, " ", -1);
	uint32_t value = missing;
	size_t len = strlen(name);

	for (char **w = words; *w; w++)
		if (!strncmp(*w, name, len) && (*w)[len] == '=')
			value = (uint32_t)strtoul(*w + len + 1, NULL, 10);
	g_strfreev(words);
	return value;
}

static void payload_text(const char *payload, const char *name, char *out,
			 size_t size)
{
	char **words = g_strsplit(payload, " ", -1);
	size_t len = strlen(name);

	out[0] = '\0';
	for (char **w = words; *w; w++)
		if (!strncmp(*w, name, len) && (*w)[len] == '=')
			g_strlcpy(out, *w + len + 1, size);
	g_strfreev(words);
}

/* ---- worker ---- */

/* The agent's clock, which goes on while the VM is suspended. */
static gint64 boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (gint64)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns when the call was sent, in time of the monotonic clock. */
static gint64 call_sent_us(uint64_t sent_us)
{
	gint64 age_us = sent_us ? boot_us() - (gint64)sent_us : 0;

	return g_get_monotonic_time() - MAX(age_us, 0);
}

static void work_update_progress(struct work *work)
{
	gint64 now_us = g_get_monotonic_time();
	uint64_t gain;

	if (work->run == TASK_RUN_RUNNING && work->run_ms) {
		gain = (uint64_t)(now_us - work->progress_us) *
		       work->speed_ppm / 1000 / work->run_ms;
		work->progress_ppm = (uint32_t)MIN(work->progress_ppm + gain,
						   PROGRESS_FULL_PPM);
	}
	work->progress_us = now_us;
}

static void work_end(struct work *work, uint32_t run, const char *how)
{
	work_update_progress(work);
	work->run = run;
	if (work->tick)
		g_source_remove(work->tick);
	work->tick = 0;
	journal(work->standin,
		"ev=end task=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
		" how=%s progress=%u",
		work->start.task_id, work->start.epoch, how,
		work->progress_ppm);
}

static gboolean work_tick(gpointer data)
{
	struct work *work = data;

	work_update_progress(work);
	if (g_get_monotonic_time() >= work->lease_end_us)
		work_end(work, TASK_RUN_STOPPED, "expired");
	else if ((work->fails && work->progress_ppm >= PROGRESS_FULL_PPM / 2) ||
		 work->standin->fail_all)
		work_end(work, TASK_RUN_FAILED, "failed");
	else if (work->run_ms && work->progress_ppm >= PROGRESS_FULL_PPM)
		work_end(work, TASK_RUN_DONE, "done");
	if (work->run != TASK_RUN_RUNNING) {
		work->tick = 0;
		return G_SOURCE_REMOVE;
	}
	return G_SOURCE_CONTINUE;
}

static struct work *work_find(struct standin *standin, uint64_t task_id,
			      uint64_t epoch)
{
	struct work *work = g_hash_table_lookup(standin->tasks, &task_id);

	return work && work->start.epoch == epoch ? work : NULL;
}

static void work_free(void *data)
{
	struct work *work = data;

	if (work->tick)
		g_source_remove(work->tick);
	g_free(work);
}

static enum result worker_start(struct standin *standin,
				const struct platform_start *start,
				struct platform_reply *reply)
{
	struct work *work =
		g_hash_table_lookup(standin->tasks, &start->task_id);
	gint64 now_us = g_get_monotonic_time();
	gint64 sent_us = call_sent_us(start->sent_us);

	if (work && work->start.epoch == start->epoch)
		return RESULT_OK;
	if (work && work->start.epoch > start->epoch)
		return RESULT_STALE;
	if (work && work->run == TASK_RUN_RUNNING)
		return RESULT_CONFLICT;
	if (now_us >= sent_us + (gint64)start->start_within_ms * 1000)
		return RESULT_NO_PERMIT;
	work = g_new0(struct work, 1);
	work->standin = standin;
	work->start = *start;
	work->run = TASK_RUN_RUNNING;
	work->run_ms = payload_number(start->payload, "run_ms", 0);
	work->fails = payload_number(start->payload, "fail", 0) != 0;
	payload_text(start->payload, "service", work->service,
		     sizeof(work->service));
	if (start->checkpoint[0])
		work->resumed_ppm =
			(uint32_t)strtoul(start->checkpoint, NULL, 10);
	work->progress_ppm = work->resumed_ppm;
	work->speed_ppm = PROGRESS_FULL_PPM;
	work->began_us = work->progress_us = now_us;
	work->lease_end_us = sent_us + (gint64)start->lease_ms * 1000;
	g_hash_table_replace(standin->tasks,
			     g_memdup2(&start->task_id, sizeof(uint64_t)),
			     work);
	work->tick = g_timeout_add(10, work_tick, work);
	journal(standin,
		"ev=start task=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
		" from=%u cpu=%u mem=%u acc=%u",
		start->task_id, start->epoch, work->resumed_ppm,
		start->cpu_millis, start->memory_mib, start->accelerators);
	return RESULT_OK;
}

static enum result worker_stop(struct standin *standin,
			       const struct platform_stop *stop,
			       struct platform_reply *reply)
{
	struct work *work = work_find(standin, stop->task_id, stop->epoch);

	if (!work)
		return RESULT_UNKNOWN_OBJECT;
	if (work->run == TASK_RUN_RUNNING)
		work_end(work, TASK_RUN_STOPPED, "stopped");
	TEXT_SET(reply->checkpoint, work->checkpoint);
	reply->progress_ppm = work->progress_ppm;
	return RESULT_OK;
}

static enum result worker_checkpoint(struct standin *standin,
				     const struct platform_checkpoint *request,
				     struct platform_reply *reply)
{
	struct work *work =
		work_find(standin, request->task_id, request->epoch);

	if (!work)
		return RESULT_UNKNOWN_OBJECT;
	work_update_progress(work);
	g_snprintf(work->checkpoint, sizeof(work->checkpoint), "%u",
		   work->progress_ppm);
	TEXT_SET(reply->checkpoint, work->checkpoint);
	reply->progress_ppm = work->progress_ppm;
	journal(standin,
		"ev=checkpoint task=%" G_GUINT64_FORMAT
		" epoch=%" G_GUINT64_FORMAT " progress=%u",
		request->task_id, request->epoch, work->progress_ppm);
	return RESULT_OK;
}

static enum result worker_throttle(struct standin *standin,
				   const struct platform_throttle *request,
				   struct platform_reply *reply)
{
	struct work *work =
		work_find(standin, request->task_id, request->epoch);

	if (!work)
		return RESULT_UNKNOWN_OBJECT;
	work_update_progress(work);
	work->speed_ppm = request->cpu_ppm;
	return RESULT_OK;
}

static enum result worker_lease(struct standin *standin,
				const struct platform_lease *lease,
				struct platform_reply *reply)
{
	gint64 end_us =
		call_sent_us(lease->sent_us) + (gint64)lease->lease_ms * 1000;

	for (uint32_t i = 0; i < lease->nr_tasks; i++) {
		struct work *work = work_find(standin, lease->tasks[i].task_id,
					      lease->tasks[i].epoch);

		if (work && work->run == TASK_RUN_RUNNING)
			work->lease_end_us = MAX(work->lease_end_us, end_us);
	}
	return RESULT_OK;
}

typedef enum result (*worker_fn)(struct standin *standin, const void *body,
				 struct platform_reply *reply);

struct worker_route {
	const char *path;
	uint32_t type;
	worker_fn fn;
};

static const struct worker_route worker_routes[] = {
	{ "/v1/tasks", PLATFORM_START, (worker_fn)worker_start },
	{ "/v1/tasks/stop", PLATFORM_STOP, (worker_fn)worker_stop },
	{ "/v1/tasks/checkpoint", PLATFORM_CHECKPOINT,
	  (worker_fn)worker_checkpoint },
	{ "/v1/tasks/throttle", PLATFORM_THROTTLE, (worker_fn)worker_throttle },
	{ "/v1/leases", PLATFORM_LEASE, (worker_fn)worker_lease },
};

static void reply_json(SoupServerMessage *msg, guint status, uint32_t type,
		       const void *body)
{
	char *text = json_text_from_body(type, body, FALSE);

	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

static void worker_list(struct standin *standin, SoupServerMessage *msg)
{
	struct platform_tasks tasks = { 0 };
	GHashTableIter iter;
	void *value;

	tasks.tasks =
		g_new0(struct platform_task, g_hash_table_size(standin->tasks));
	g_hash_table_iter_init(&iter, standin->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct work *work = value;
		struct platform_task *task = &tasks.tasks[tasks.nr_tasks++];

		work_update_progress(work);
		task->task_id = work->start.task_id;
		task->epoch = work->start.epoch;
		task->run = work->run;
		task->progress_ppm = work->progress_ppm;
		TEXT_SET(task->checkpoint, work->checkpoint);
		task->age_ms = (uint32_t)standin->lag_ms;
		task->cpu_used_millis = work->start.cpu_millis / 2;
		task->memory_used_mib = work->start.memory_mib / 2;
		task->rate_ppm = work->speed_ppm;
		if (work->service[0])
			task->service_time_us =
				(uint32_t)standin->time_ms * 1000;
	}
	reply_json(msg, 200, PLATFORM_TASKS, &tasks);
	g_free(tasks.tasks);
}

static void worker_request(SoupServer *server, SoupServerMessage *msg,
			   const char *path, GHashTable *query, gpointer data)
{
	struct standin *standin = data;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct platform_reply reply = { 0 };
	void *decoded = NULL;

	if (soup_server_message_get_method(msg) == SOUP_METHOD_GET) {
		worker_list(standin, msg);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(worker_routes); i++) {
		const struct worker_route *route = &worker_routes[i];

		if (strcmp(route->path, path))
			continue;
		reply.result = json_text_to_body(route->type, body->data,
						 body->length, &decoded, NULL);
		if (reply.result == RESULT_OK)
			reply.result = route->fn(standin, decoded, &reply);
		record_unref((struct record){ route->type, decoded });
		reply_json(msg, 200, PLATFORM_REPLY, &reply);
		return;
	}
	soup_server_message_set_status(msg, 404, NULL);
}

/* ---- upstream ---- */

struct run {
	struct standin *standin;
	SoupServer *server;
	SoupServerMessage *msg;
	char *id;
};

static gboolean upstream_done(gpointer data)
{
	struct run *run = data;
	SoupMessageBody *body = soup_server_message_get_request_body(run->msg);
	char *text = g_strdup_printf("vm=%s body=%.*s", run->standin->vm,
				     (int)body->length, body->data);

	run->standin->in_flight--;
	journal(run->standin, "ev=ran id=%s", run->id);
	soup_server_message_set_status(run->msg, 200, NULL);
	soup_server_message_set_response(run->msg, "text/plain",
					 SOUP_MEMORY_TAKE, text, strlen(text));
	soup_server_message_unpause(run->msg);
	g_object_unref(run->msg);
	g_free(run->id);
	g_free(run);
	return G_SOURCE_REMOVE;
}

static void upstream_request(SoupServer *server, SoupServerMessage *msg,
			     const char *path, GHashTable *query, gpointer data)
{
	struct standin *standin = data;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct run *run = g_new0(struct run, 1);

	run->standin = standin;
	run->server = server;
	run->msg = g_object_ref(msg);
	/* The checker identifies a request by its body. */
	run->id = g_strndup(body->length ? body->data : "-",
			    body->length ? MIN(body->length, 64) : 1);
	standin->in_flight++;
	journal(standin, "ev=run id=%s in_flight=%u", run->id,
		standin->in_flight);
	soup_server_message_pause(msg);
	g_timeout_add((guint)standin->time_ms, upstream_done, run);
}

/* Reads the agent's HTTP address, which may change when it restarts. */
static char *standin_agent_url(struct standin *standin, const char *path)
{
	char *text = NULL;
	char *url = NULL;
	char **lines;

	if (!standin->agent_file ||
	    !g_file_get_contents(standin->agent_file, &text, NULL, NULL))
		return NULL;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		if (g_str_has_prefix(*l, "http="))
			url = g_strdup_printf("http://%s%s", *l + 5, path);
	g_strfreev(lines);
	g_free(text);
	return url;
}

static void announce_done(GObject *session, GAsyncResult *res, gpointer data)
{
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session),
							 res, NULL);

	if (body)
		g_bytes_unref(body);
}

static void announce(struct standin *standin, const char *id,
		     const char *service)
{
	struct platform_announce body = { 0 };
	char *path = g_strdup_printf("/v1/upstreams/%s", id);
	char *url = standin_agent_url(standin, path);
	SoupMessage *msg;
	GBytes *bytes;
	char *text;

	g_free(path);
	if (!url)
		return;
	TEXT_SET(body.id, id);
	TEXT_SET(body.service, service);
	TEXT_SET(body.address, standin->address);
	body.slots = (uint32_t)standin->slots;
	body.connections = 64;
	body.leaving = standin->leaving;
	text = json_text_from_body(PLATFORM_ANNOUNCE, &body, FALSE);
	bytes = g_bytes_new_take(text, strlen(text));
	msg = soup_message_new("PUT", url);
	soup_message_set_request_body_from_bytes(msg, "application/json",
						 bytes);
	soup_session_send_and_read_async(standin->session, msg,
					 G_PRIORITY_DEFAULT, NULL,
					 announce_done, NULL);
	g_bytes_unref(bytes);
	g_object_unref(msg);
	g_free(url);
}

static gboolean announce_all(gpointer data)
{
	struct standin *standin = data;
	GHashTableIter iter;
	void *value;
	char *id;

	if (standin->service) {
		id = g_strdup_printf("%s-static", standin->vm);
		announce(standin, id, standin->service);
		g_free(id);
	}
	g_hash_table_iter_init(&iter, standin->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct work *work = value;

		if (!work->service[0] || work->run != TASK_RUN_RUNNING)
			continue;
		id = g_strdup_printf("task-%" G_GUINT64_FORMAT,
				     work->start.task_id);
		announce(standin, id, work->service);
		g_free(id);
	}
	return G_SOURCE_CONTINUE;
}

/* SIGUSR1: announces all upstreams as leaving. */
static gboolean standin_leave(gpointer data)
{
	struct standin *standin = data;

	standin->leaving = TRUE;
	journal(standin, "ev=leaving");
	announce_all(standin);
	return G_SOURCE_CONTINUE;
}

/* SIGUSR2: begins to fail all tasks, or stops doing so. */
static gboolean standin_fail(gpointer data)
{
	struct standin *standin = data;

	standin->fail_all = !standin->fail_all;
	return G_SOURCE_CONTINUE;
}

static gboolean standin_quit(gpointer data)
{
	struct standin *standin = data;

	g_main_loop_quit(standin->loop);
	return G_SOURCE_CONTINUE;
}

/* Listens with a larger backlog: libsoup's default of 10 drops bursts. */
static int standin_listen(struct standin *standin, const char *http,
			  const char *port_file)
{
	char **parts = g_strsplit(http, ":", 2);
	GSocketAddress *wanted = g_inet_socket_address_new_from_string(
		parts[0], (guint)strtoul(parts[1], NULL, 10));
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	GError *error = NULL;
	GSList *uris;
	char *text;
	int res = -1;

	g_socket_set_listen_backlog(socket, 1024);
	if (!g_socket_bind(socket, wanted, TRUE, &error) ||
	    !g_socket_listen(socket, &error) ||
	    !soup_server_listen_socket(standin->server, socket, 0, &error)) {
		fprintf(stderr, "standin: %s\n", error->message);
		g_clear_error(&error);
		goto out;
	}
	uris = soup_server_get_uris(standin->server);
	standin->address =
		g_strdup_printf("%s:%d", parts[0], g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	text = g_strdup_printf("http=%s\n", standin->address);
	if (!port_file || g_file_set_contents(port_file, text, -1, NULL))
		res = 0;
	g_free(text);
out:
	g_object_unref(wanted);
	g_object_unref(socket);
	g_strfreev(parts);
	return res;
}

int main(int argc, char **argv)
{
	struct standin standin = { .time_ms = 20, .lag_ms = 500, .slots = 8 };
	char *journal_path = NULL;
	char *http = g_strdup("127.0.0.1:0");
	char *port_file = NULL;
	GOptionEntry entries[] = {
		{ "vm", 0, 0, G_OPTION_ARG_STRING, &standin.vm, NULL, NULL },
		{ "zone", 0, 0, G_OPTION_ARG_STRING, &standin.zone, NULL,
		  NULL },
		{ "agent-port-file", 0, 0, G_OPTION_ARG_STRING,
		  &standin.agent_file, NULL, NULL },
		{ "journal", 0, 0, G_OPTION_ARG_STRING, &journal_path, NULL,
		  NULL },
		{ "http", 0, 0, G_OPTION_ARG_STRING, &http, NULL, NULL },
		{ "port-file", 0, 0, G_OPTION_ARG_STRING, &port_file, NULL,
		  NULL },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &standin.service, NULL,
		  NULL },
		{ "time-ms", 0, 0, G_OPTION_ARG_INT, &standin.time_ms, NULL,
		  NULL },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &standin.lag_ms, NULL,
		  NULL },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &standin.slots, NULL, NULL },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    !standin.vm || !standin.zone || !journal_path) {
		fprintf(stderr, "standin: %s\n",
			error ? error->message : "missing option");
		return EXIT_FAILURE;
	}
	g_option_context_free(context);
	standin.journal = fopen(journal_path, "a");
	standin.loop = g_main_loop_new(NULL, FALSE);
	standin.session = soup_session_new();
	standin.tasks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, work_free);
	standin.server = soup_server_new("server-header", "standin", NULL);
	soup_server_add_handler(standin.server, "/v1", worker_request, &standin,
				NULL);
	soup_server_add_handler(standin.server, NULL, upstream_request,
				&standin, NULL);
	if (!standin.journal || standin_listen(&standin, http, port_file))
		return EXIT_FAILURE;
	g_unix_signal_add(SIGUSR1, standin_leave, &standin);
	g_unix_signal_add(SIGUSR2, standin_fail, &standin);
	g_unix_signal_add(SIGTERM, standin_quit, &standin);
	g_timeout_add(ANNOUNCE_INTERVAL_MS, announce_all, &standin);
	announce_all(&standin);
	g_main_loop_run(standin.loop);
	g_hash_table_unref(standin.tasks);
	g_object_unref(standin.server);
	g_object_unref(standin.session);
	g_main_loop_unref(standin.loop);
	fclose(standin.journal);
	g_free(standin.address);
	return EXIT_SUCCESS;
}
