/**
 * @file executor_standin.c
 * Stand-in for the platform's worker, which runs beside an agent. It follows
 * the published rules of the platform: one lease in time of its own clock,
 * fencing tokens, run numbers, and ends that it lists until they are
 * acknowledged. It writes all starts and ends to a journal.
 *
 * A task's spec is "MS [HOW [CPU [MEMORY]]]": its run time in milliseconds (0:
 * until it is stopped); "done", "fail" or "once" (only the first run fails);
 * its CPU use in thousandths of a core; and its memory in MiB. Starts that
 * don't fit are refused, unless --unguarded is given.
 *
 * After SIGUSR1 it is unhealthy for some seconds: it refuses half of the calls,
 * and connections of others are reset, which makes the agent send them again.
 *
 * After SIGUSR2 it leaves --silent-percent of the calls unanswered for
 * --silent-ms: their connections stay open, and the calls are carried out late
 * or not at all. With --cut it is cut off from its agent for that time instead:
 * no call is executed or answered, and no heartbeat is sent.
 *
 * SIGTERM ends the process at once, like the loss of a VM, after it has noted
 * the ends of its runs in the journal.
 *
 * SIGHUP ends this incarnation, with its connections, and starts another one
 * with the same name at the same address. With --restart-ms the next
 * incarnation starts after that time, and the listening socket stays open
 * meanwhile: calls wait there and reach the next incarnation before it sends a
 * heartbeat, like connection attempts that are sent again. --first-heartbeat-ms
 * sets the time from its start to its first heartbeat. --waiting-calls sets
 * what becomes of the calls that waited, which are executed in any case:
 * "answered", "held" (no answer, the connection stays open) or "closed" (no
 * answer, the connection is closed).
 */

#include <fcntl.h>
#include <glib-unix.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "testbed.h"

#define HEARTBEAT_MS 300
/* Delay of the first heartbeat if calls may have waited for the restart. */
#define RESTART_HEARTBEAT_MS 100
/* Calls that arrive within this time of the start have waited for it. */
#define WAITED_MS 50
#define TICK_MS 10
/* Delay after which an unanswered call may still be carried out. */
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define UNHEALTHY_MIN_MS 1000
#define UNHEALTHY_MAX_MS 5000
#define UNHEALTHY_REFUSED_PERCENT 50
#define UNHEALTHY_RESET_PERCENT 25
#define ENDS_PER_REPLY 500 /* limit of the protocol */
#define STOP_MAX_MS 900 /* until a run that is being stopped has ended */

struct standin {
	GMainLoop *loop;
	SoupServer *server;
	SoupSession *session;
	FILE *journal;
	char *name;
	char *agent;
	char *address; /* own HTTP address, NULL before the first start */
	char *zone;
	char *label; /* its kind, the first of its labels */
	gboolean unguarded; /* starts tasks that don't fit */
	char **argv;
	gint late_percent; /* of the calls: no answer, may run later */
	gint reset_percent; /* of the starts, see reset_start() */
	gint malformed_percent; /* of the heartbeats, sent in addition */
	gint odd_percent; /* of the rows of lists: invalid */
	gint silent_percent; /* of the calls after SIGUSR2: no answer */
	gint silent_ms; /* duration after SIGUSR2 */
	gboolean cut; /* cut off from its agent after SIGUSR2 */
	/* Time between two incarnations, 0: its address refuses connections */
	gint restart_ms;
	gint first_heartbeat_ms; /* after a restart with restart_ms */
	gint listen_fd; /* inherited listening socket, -1: none */
	const struct waiting_ops *waiting;
	GRand *random;
	gint64 unhealthy_until_us;
	gint64 silent_until_us;
	uint64_t born_ms; /* real time of the start: its incarnation */
	gint64 born_us; /* the start in monotonic time */
	uint64_t seq; /* of the last heartbeat */
	uint64_t fence; /* highest fencing token of a call */
	uint64_t lease_ms; /* end of the lease, see clock_ms() */
	uint64_t next_end; /* number of the last end */
	GHashTable *runs; /* task -> struct run * */
	GHashTable *barred; /* task -> highest run that must not start */
	GHashTable *resets; /* set of "TASK RUN", see reset_start() */
	GPtrArray *ends; /* struct end * that aren't acknowledged */
	GPtrArray *holds; /* struct hold * */
};

/* What becomes of a call that waited for the restart and was executed. */
struct waiting_ops {
	const char *name; /* value of --waiting-calls */
	void (*leave_unanswered)(SoupServerMessage *msg); /* NULL: answered */
};

struct run {
	char *task;
	uint64_t nr;
	uint64_t run_ms; /* 0: until it is stopped */
	bool fails;
	uint32_t cpu_millis;
	uint32_t memory_mib;
	gint64 began_us;
	gint64 stopped_us; /* when it ends as stopped, 0: it isn't stopped */
};

struct end {
	uint64_t nr;
	char *task;
	uint64_t run;
	const char *how;
	bool lapsed; /* the lease expired before the acknowledgement */
};

/* A long poll that waits for an end. */
struct hold {
	SoupServerMessage *msg;
	gint64 until_us;
};

/* A call without an answer that is carried out late. */
struct late_call {
	struct standin *standin;
	char *path;
	GBytes *body;
};

static void run_free(void *data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static void end_free(void *data)
{
	struct end *end = data;

	g_free(end->task);
	g_free(end);
}

static void journal_event(struct standin *standin, const char *what,
			  const char *task, uint64_t run)
{
	fprintf(standin->journal,
		"t=%" G_GINT64_FORMAT " worker=%s event=%s task=%s run=%" PRIu64
		" born=%" PRIu64 "\n",
		g_get_monotonic_time(), standin->name, what, task, run,
		standin->born_ms);
	fflush(standin->journal);
}

static uint64_t clock_ms(const struct standin *standin)
{
	return (uint64_t)(g_get_monotonic_time() - standin->born_us) / 1000 + 1;
}

/* Notes the ends of all runs, which end with this incarnation. */
static void end_life(struct standin *standin)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, standin->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		journal_event(standin, "end", ((struct run *)value)->task,
			      ((struct run *)value)->nr);
}

static void bar_runs(struct standin *standin, const char *task, uint64_t run)
{
	uint64_t known =
		GPOINTER_TO_SIZE(g_hash_table_lookup(standin->barred, task));

	g_hash_table_insert(standin->barred, g_strdup(task),
			    GSIZE_TO_POINTER(MAX(run, known)));
}

static const char *end_event(const char *how)
{
	return !strcmp(how, "done") || !strcmp(how, "failed") ? how : "end";
}

static void run_ended(struct standin *standin, struct run *run, const char *how)
{
	struct end *end = g_new0(struct end, 1);

	end->nr = ++standin->next_end;
	end->task = g_strdup(run->task);
	end->run = run->nr;
	end->how = how;
	g_ptr_array_add(standin->ends, end);
	journal_event(standin, end_event(how), run->task, run->nr);
	bar_runs(standin, run->task, run->nr);
	g_hash_table_remove(standin->runs, end->task);
}

/* ---- answers ---- */

/* Of the answers, only lists name the incarnation (born). */
static char *answer_text(const struct standin *standin, const char *reason)
{
	return reason ? g_strdup_printf("{\"serverTimeMs\":%" PRIu64
					",\"reason\":\"%s\"}",
					clock_ms(standin), reason) :
			g_strdup_printf("{\"serverTimeMs\":%" PRIu64 "}",
					clock_ms(standin));
}

static void send_answer(SoupServerMessage *msg, guint status, char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

/* Refuses a call with one of the two statuses of an unhealthy worker. */
static void refuse_unhealthy(struct standin *standin, SoupServerMessage *msg)
{
	send_answer(msg, g_rand_boolean(standin->random) ? 429 : 503,
		    answer_text(standin, NULL));
}

#define OPEN10 "[[[[[[[[[["
#define CLOSE10 "]]]]]]]]]]"

/* Returns an invalid row for odd_percent of the rows, NULL for the others. */
static const char *odd_row(const struct standin *standin)
{
	static const char *const rows[] = {
		"7",
		"null",
		"[]",
		"[\"x\",1e400,\"\",100,0]",
		"[18446744073709551617,\"x\",1,\"done\",\"\"]",
		"[\"\\ud800\",1,\"\",100,0]",
		OPEN10 OPEN10 OPEN10 OPEN10 CLOSE10 CLOSE10 CLOSE10 CLOSE10,
	};

	if (g_rand_int_range(standin->random, 0, 100) >= standin->odd_percent)
		return NULL;
	return rows[g_rand_int_range(standin->random, 0, G_N_ELEMENTS(rows))];
}

static char *lists_text(const struct standin *standin)
{
	const char *odd = standin->odd_percent ? "[{}]" : NULL;
	GString *text = g_string_new(NULL);
	const char *gap = "";
	GHashTableIter iter;
	void *value;

	g_string_printf(text,
			"{\"serverTimeMs\":%" PRIu64 ",\"born\":%" PRIu64
			",\"running\":[",
			clock_ms(standin), standin->born_ms);
	if (odd) {
		g_string_append(text, odd);
		gap = ",";
	}
	g_hash_table_iter_init(&iter, standin->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		g_string_append(text, gap);
		gap = ",";
		odd = odd_row(standin);
		if (odd)
			g_string_append(text, odd);
		else
			g_string_append_printf(text,
					       "[\"%s\",%" PRIu64
					       ",\"\",100,0]",
					       run->task, run->nr);
	}
	g_string_append(text, "],\"endedRuns\":[");
	gap = "";
	for (guint i = 0; i < MIN(standin->ends->len, ENDS_PER_REPLY); i++) {
		const struct end *end = standin->ends->pdata[i];

		g_string_append(text, gap);
		gap = ",";
		odd = odd_row(standin);
		if (odd)
			g_string_append(text, odd);
		else
			g_string_append_printf(text,
					       "[%" PRIu64 ",\"%s\",%" PRIu64
					       ",\"%s\",\"\"]",
					       end->nr, end->task, end->run,
					       end->how);
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

/* ---- calls ---- */

/* Returns true if the run fits beside those that the worker has. */
static bool run_fits(const struct standin *standin, const struct run *run)
{
	uint64_t cpu_millis = run->cpu_millis;
	uint64_t memory_mib = run->memory_mib;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, standin->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cpu_millis += ((struct run *)value)->cpu_millis;
		memory_mib += ((struct run *)value)->memory_mib;
	}
	return cpu_millis <= TB_EXECUTOR_CPU_MILLIS &&
	       memory_mib <= TB_EXECUTOR_MEMORY_MIB;
}

static struct run *run_new(const char *task, uint64_t nr, const char *spec)
{
	struct run *run = g_new0(struct run, 1);
	char **words = g_strsplit(spec, " ", -1);
	guint nr_words = g_strv_length(words);

	run->task = g_strdup(task);
	run->nr = nr;
	run->run_ms = g_ascii_strtoull(spec, NULL, 10);
	if (nr_words > 1)
		run->fails = !strcmp(words[1], "fail") ||
			     (!strcmp(words[1], "once") && nr == 1);
	if (nr_words > 2)
		run->cpu_millis =
			(uint32_t)g_ascii_strtoull(words[2], NULL, 10);
	if (nr_words > 3)
		run->memory_mib =
			(uint32_t)g_ascii_strtoull(words[3], NULL, 10);
	run->began_us = g_get_monotonic_time();
	g_strfreev(words);
	return run;
}

static const char *start_run(struct standin *standin, JsonObject *call,
			     bool late)
{
	const char *task = json_object_get_string_member(call, "task");
	uint64_t nr = (uint64_t)json_object_get_int_member(call, "run");
	const char *spec = json_object_get_string_member(call, "spec");
	const struct run *known = g_hash_table_lookup(standin->runs, task);
	struct run *run;

	if (known && known->nr == nr)
		return NULL;
	if (known ||
	    nr <= GPOINTER_TO_SIZE(g_hash_table_lookup(standin->barred, task)))
		return "old";
	if (standin->lease_ms <= clock_ms(standin))
		return "late";
	run = run_new(task, nr, spec);
	if (!standin->unguarded && !run_fits(standin, run)) {
		run_free(run);
		return "room";
	}
	g_hash_table_replace(standin->runs, run->task, run);
	journal_event(standin, late ? "late-start" : "start", task, nr);
	return NULL;
}

static void stop_run(struct standin *standin, JsonObject *call)
{
	const char *task = json_object_get_string_member(call, "task");
	uint64_t nr = (uint64_t)json_object_get_int_member(call, "run");
	struct run *run = g_hash_table_lookup(standin->runs, task);

	bar_runs(standin, task, nr);
	if (run && run->nr <= nr && !run->stopped_us)
		run->stopped_us =
			g_get_monotonic_time() +
			g_rand_int_range(standin->random, 0, STOP_MAX_MS) *
				INT64_C(1000);
}

static void settle(struct standin *standin, uint64_t nr)
{
	while (standin->ends->len) {
		const struct end *end = standin->ends->pdata[0];

		if (end->nr > nr)
			break;
		if (!end->lapsed && !strcmp(end->how, "done"))
			journal_event(standin, "settled", end->task, end->run);
		if (!end->lapsed && !strcmp(end->how, "failed"))
			journal_event(standin, "settled-failed", end->task,
				      end->run);
		g_ptr_array_remove_index(standin->ends, 0);
	}
}

/* Executes a call; returns the reason if it is refused, NULL otherwise. */
static const char *order_execute(struct standin *standin, const char *path,
				 JsonObject *call, bool late)
{
	uint64_t fence = (uint64_t)json_object_get_int_member_with_default(
		call, "fence", 0);
	uint64_t lease_ms = (uint64_t)json_object_get_int_member_with_default(
		call, "deadlineMs", 0);

	if (fence < standin->fence)
		return "fence";
	standin->fence = fence;
	if (lease_ms > clock_ms(standin) + TB_EXECUTOR_LEASE_MAX_MS) {
		lease_ms = clock_ms(standin) + TB_EXECUTOR_LEASE_MAX_MS;
		journal_event(standin, "longest-lease", "-", 0);
	}
	standin->lease_ms = MAX(standin->lease_ms, lease_ms);
	if (!strcmp(path, "/run-start"))
		return start_run(standin, call, late);
	if (!strcmp(path, "/run-stop"))
		stop_run(standin, call);
	if (!strcmp(path, "/hold"))
		settle(standin,
		       (uint64_t)json_object_get_int_member_with_default(
			       call, "ackCursor", 0));
	return NULL;
}

static gboolean order_execute_late(gpointer data)
{
	struct late_call *late_call = data;
	gsize size;
	const char *text = g_bytes_get_data(late_call->body, &size);
	JsonParser *parser = json_parser_new();

	if (json_parser_load_from_data(parser, text, (gssize)size, NULL))
		order_execute(
			late_call->standin, late_call->path,
			json_node_get_object(json_parser_get_root(parser)),
			true);
	g_object_unref(parser);
	g_bytes_unref(late_call->body);
	g_free(late_call->path);
	g_free(late_call);
	return G_SOURCE_REMOVE;
}

static void execute_later(struct standin *standin, SoupServerMessage *msg,
			  const char *path)
{
	struct late_call *late_call = g_new0(struct late_call, 1);

	late_call->standin = standin;
	late_call->path = g_strdup(path);
	late_call->body = soup_message_body_flatten(
		soup_server_message_get_request_body(msg));
	g_timeout_add((guint)g_rand_int_range(standin->random, LATE_MIN_MS,
					      LATE_MAX_MS),
		      order_execute_late, late_call);
}

/*
 * Executes a call that gets no answer: at once (one call in four), not at all
 * (one call in four) or late (the other calls).
 */
static void execute_unanswered(struct standin *standin, SoupServerMessage *msg,
			       const char *path, JsonObject *call)
{
	gint choice = g_rand_int_range(standin->random, 0, 4);

	if (choice == 0)
		order_execute(standin, path, call, false);
	else if (choice > 1)
		execute_later(standin, msg, path);
}

static bool is_cut_off(const struct standin *standin)
{
	return standin->cut &&
	       g_get_monotonic_time() < standin->silent_until_us;
}

/*
 * Leaves all calls to a worker that is cut off, and silent_percent of the calls
 * to a silent worker unanswered. None of the first and two in three of the
 * others are carried out. Returns false if the call is to be handled as usual.
 */
static bool leave_unanswered(struct standin *standin, SoupServerMessage *msg,
			     const char *path)
{
	if (is_cut_off(standin)) {
		soup_server_message_pause(msg);
		return true;
	}
	if (g_get_monotonic_time() >= standin->silent_until_us ||
	    g_rand_int_range(standin->random, 0, 100) >=
		    standin->silent_percent)
		return false;
	soup_server_message_pause(msg);
	if (g_rand_int_range(standin->random, 0, 3))
		execute_later(standin, msg, path);
	return true;
}

static void close_connection(SoupServerMessage *msg)
{
	GIOStream *stream = soup_server_message_steal_connection(msg);

	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static void reset_connection(SoupServerMessage *msg)
{
	GSocket *socket = soup_server_message_get_socket(msg);
	struct linger linger = { .l_onoff = 1 };

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	close_connection(msg);
}

static const struct waiting_ops waiting_ops[] = {
	{ .name = "answered" },
	{ .name = "held", .leave_unanswered = soup_server_message_pause },
	{ .name = "closed", .leave_unanswered = close_connection },
};

static const struct waiting_ops *waiting_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(waiting_ops); i++)
		if (!strcmp(waiting_ops[i].name, name))
			return &waiting_ops[i];
	return NULL;
}

/*
 * Executes a call that has waited for the restart, if such calls get no answer.
 * Returns false if the call is to be handled as usual.
 */
static bool execute_waiting(struct standin *standin, SoupServerMessage *msg,
			    const char *path, JsonObject *call)
{
	if (standin->listen_fd < 0 || !standin->waiting->leave_unanswered ||
	    clock_ms(standin) > WAITED_MS)
		return false;
	order_execute(standin, path, call, false);
	standin->waiting->leave_unanswered(msg);
	return true;
}

/*
 * Resets the connection of reset_percent of the starts, which may be executed
 * like other calls without an answer, and refuses the next copy of each such
 * start. Returns false if the call is to be handled as usual.
 */
static bool reset_start(struct standin *standin, SoupServerMessage *msg,
			const char *path, JsonObject *call)
{
	char *key;

	if (!standin->reset_percent || strcmp(path, "/run-start") != 0)
		return false;
	key = g_strdup_printf("%s %" G_GINT64_FORMAT,
			      json_object_get_string_member(call, "task"),
			      json_object_get_int_member(call, "run"));
	if (g_hash_table_remove(standin->resets, key)) {
		refuse_unhealthy(standin, msg);
		g_free(key);
		return true;
	}
	if (g_rand_int_range(standin->random, 0, 100) >=
	    standin->reset_percent) {
		g_free(key);
		return false;
	}
	g_hash_table_add(standin->resets, key);
	execute_unanswered(standin, msg, path, call);
	reset_connection(msg);
	return true;
}

/*
 * Refuses calls and resets connections of an unhealthy worker; a call on a
 * connection that is reset may be executed. Returns false if the call is to be
 * handled as usual.
 */
static bool disturb_call(struct standin *standin, SoupServerMessage *msg,
			 const char *path, JsonObject *call)
{
	gint draw;

	if (g_get_monotonic_time() >= standin->unhealthy_until_us)
		return false;
	draw = g_rand_int_range(standin->random, 0, 100);
	if (draw < UNHEALTHY_REFUSED_PERCENT) {
		refuse_unhealthy(standin, msg);
		return true;
	}
	if (draw >= UNHEALTHY_REFUSED_PERCENT + UNHEALTHY_RESET_PERCENT)
		return false;
	execute_unanswered(standin, msg, path, call);
	reset_connection(msg);
	return true;
}

static void hold_answer(struct standin *standin, SoupServerMessage *msg)
{
	send_answer(msg, 200, lists_text(standin));
}

static void hold_wait(struct standin *standin, SoupServerMessage *msg,
		      JsonObject *call)
{
	struct hold *hold;
	gint64 wait_ms =
		json_object_get_int_member_with_default(call, "waitMs", 0);

	if (standin->ends->len || !wait_ms) {
		hold_answer(standin, msg);
		return;
	}
	hold = g_new0(struct hold, 1);
	hold->msg = g_object_ref(msg);
	hold->until_us = g_get_monotonic_time() + wait_ms * 1000;
	g_ptr_array_add(standin->holds, hold);
	soup_server_message_pause(msg);
}

/* Leaves the waiting long polls unanswered. */
static void drop_holds(struct standin *standin)
{
	for (guint i = 0; i < standin->holds->len; i++) {
		struct hold *hold = standin->holds->pdata[i];

		g_object_unref(hold->msg);
		g_free(hold);
	}
	g_ptr_array_set_size(standin->holds, 0);
}

/* Returns true if the call names another worker than this one. */
static bool is_misdirected(const struct standin *standin,
			   SoupServerMessage *msg)
{
	const char *target = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg),
		"X-Masticreach-Target-Instance");

	return target && strcmp(target, standin->name) != 0;
}

static void on_call(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer data)
{
	struct standin *standin = data;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	JsonParser *parser = json_parser_new();
	const char *reason;
	JsonObject *call;

	if (!json_parser_load_from_data(parser, body->data,
					(gssize)body->length, NULL)) {
		send_answer(msg, 400, answer_text(standin, NULL));
		goto out;
	}
	call = json_node_get_object(json_parser_get_root(parser));
	if (!is_cut_off(standin) && is_misdirected(standin, msg)) {
		send_answer(msg, 421, answer_text(standin, NULL));
		goto out;
	}
	if (execute_waiting(standin, msg, path, call))
		goto out;
	if (!is_cut_off(standin) &&
	    g_rand_int_range(standin->random, 0, 100) < standin->late_percent) {
		soup_server_message_pause(msg);
		execute_unanswered(standin, msg, path, call);
		goto out;
	}
	if (leave_unanswered(standin, msg, path) ||
	    disturb_call(standin, msg, path, call) ||
	    reset_start(standin, msg, path, call))
		goto out;
	reason = order_execute(standin, path, call, false);
	if (!reason && !strcmp(path, "/hold"))
		hold_wait(standin, msg, call);
	else
		send_answer(msg, reason ? 409 : 200,
			    answer_text(standin, reason));
out:
	g_object_unref(parser);
}

/* ---- timers and heartbeats ---- */

static gboolean on_tick(gpointer data)
{
	struct standin *standin = data;
	gint64 now_us = g_get_monotonic_time();
	GList *runs = g_hash_table_get_values(standin->runs);
	bool lapsed = clock_ms(standin) > standin->lease_ms;

	for (guint i = 0; lapsed && i < standin->ends->len; i++)
		((struct end *)standin->ends->pdata[i])->lapsed = true;
	for (GList *item = runs; item; item = item->next) {
		struct run *run = item->data;

		if (lapsed)
			run_ended(standin, run, "lapsed");
		else if (run->stopped_us && now_us >= run->stopped_us)
			run_ended(standin, run, "stopped");
		else if (run->stopped_us)
			continue;
		else if (run->run_ms &&
			 now_us - run->began_us >= (gint64)run->run_ms * 1000)
			run_ended(standin, run, run->fails ? "failed" : "done");
	}
	g_list_free(runs);
	for (guint i = standin->holds->len; i-- > 0;) {
		struct hold *hold = standin->holds->pdata[i];

		if (!standin->ends->len && now_us < hold->until_us)
			continue;
		hold_answer(standin, hold->msg);
		soup_server_message_unpause(hold->msg);
		g_object_unref(hold->msg);
		g_free(hold);
		g_ptr_array_remove_index_fast(standin->holds, i);
	}
	return G_SOURCE_CONTINUE;
}

static void on_heartbeat_answered(GObject *session, GAsyncResult *res,
				  gpointer data)
{
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(session),
							  res, NULL);

	g_clear_pointer(&bytes, g_bytes_unref);
}

static void post_heartbeat(struct standin *standin, char *text)
{
	char *url = g_strdup_printf("http://%s/Instances.Heartbeat/%s",
				    standin->agent, standin->name);
	SoupMessage *msg = soup_message_new("POST", url);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	soup_message_set_request_body_from_bytes(msg, "application/json", body);
	soup_session_send_and_read_async(standin->session, msg,
					 G_PRIORITY_DEFAULT, NULL,
					 on_heartbeat_answered, NULL);
	g_bytes_unref(body);
	g_object_unref(msg);
	g_free(url);
}

static gboolean on_heartbeat(gpointer data)
{
	struct standin *standin = data;

	if (is_cut_off(standin))
		return G_SOURCE_CONTINUE;
	if (!standin->seq)
		journal_event(standin, "first-heartbeat", "-", 0);
	if (g_rand_int_range(standin->random, 0, 100) <
	    standin->malformed_percent)
		post_heartbeat(standin,
			       g_strdup("{\"service\":7,\"state\":\"odd\","
					"\"seq\":-1}"));
	post_heartbeat(
		standin,
		g_strdup_printf(
			"{\"service\":\"svc\",\"addr\":\"%s\","
			"\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
			"\"state\":\"ready\",\"warmupLeftMs\":0,\"capacity\":"
			"{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
			"\"labels\":[\"%s\",\"r1\"],\"machine\":\"m-%s\","
			"\"serverTimeMs\":%" PRIu64 ",\"born\":%" PRIu64
			",\"seq\":%" PRIu64 "}",
			standin->address, standin->zone, TB_EXECUTOR_CPU_MILLIS,
			TB_EXECUTOR_MEMORY_MIB,
			standin->label ? standin->label : "a", standin->name,
			clock_ms(standin), standin->born_ms, ++standin->seq));
	return G_SOURCE_CONTINUE;
}

static gboolean on_first_heartbeat(gpointer data)
{
	g_timeout_add(HEARTBEAT_MS, on_heartbeat, data);
	on_heartbeat(data);
	return G_SOURCE_REMOVE;
}

/* Lets the next incarnation inherit the listening socket, which it returns. */
static int keep_listening(const struct standin *standin)
{
	GSList *listeners = soup_server_get_listeners(standin->server);
	int fd = g_socket_get_fd(listeners->data);

	fcntl(fd, F_SETFD, 0);
	g_slist_free(listeners);
	return fd;
}

/* Executes the program anew. Sockets are closed on exec: connections end. */
static gboolean on_restart(gpointer data)
{
	struct standin *standin = data;
	char *address = g_strdup_printf("--address=%s", standin->address);
	GPtrArray *argv = g_ptr_array_new();

	end_life(standin);
	for (char **arg = standin->argv; *arg; arg++)
		if (!g_str_has_prefix(*arg, "--address=") &&
		    !g_str_has_prefix(*arg, "--listen-fd="))
			g_ptr_array_add(argv, *arg);
	g_ptr_array_add(argv, address);
	if (standin->restart_ms)
		g_ptr_array_add(argv, g_strdup_printf("--listen-fd=%d",
						      keep_listening(standin)));
	g_ptr_array_add(argv, NULL);
	/* Ignores further signals until the new incarnation has its handler. */
	signal(SIGHUP, SIG_IGN);
	signal(SIGUSR1, SIG_IGN);
	signal(SIGUSR2, SIG_IGN);
	execv("/proc/self/exe", (char **)argv->pdata);
	g_error("can't start another incarnation");
	return G_SOURCE_REMOVE;
}

static gboolean on_unhealthy(gpointer data)
{
	struct standin *standin = data;

	standin->unhealthy_until_us =
		g_get_monotonic_time() + g_rand_int_range(standin->random,
							  UNHEALTHY_MIN_MS,
							  UNHEALTHY_MAX_MS) *
						 INT64_C(1000);
	return G_SOURCE_CONTINUE;
}

static gboolean on_silent(gpointer data)
{
	struct standin *standin = data;

	standin->silent_until_us =
		g_get_monotonic_time() + standin->silent_ms * INT64_C(1000);
	if (standin->cut)
		drop_holds(standin);
	return G_SOURCE_CONTINUE;
}

static gboolean on_lost(gpointer data)
{
	end_life(data);
	_exit(0);
}

/* Listens at the inherited socket if there is one. */
static bool start_listening(struct standin *standin)
{
	const char *colon = standin->address ? strchr(standin->address, ':') :
					       NULL;
	guint port = colon ? (guint)g_ascii_strtoull(colon + 1, NULL, 10) : 0;
	GSocket *socket;
	bool listens;

	if (standin->listen_fd < 0)
		return soup_server_listen_local(standin->server, port,
						SOUP_SERVER_LISTEN_IPV4_ONLY,
						NULL);
	socket = g_socket_new_from_fd(standin->listen_fd, NULL);
	listens = socket &&
		  soup_server_listen_socket(standin->server, socket, 0, NULL);
	g_clear_object(&socket);
	return listens;
}

static bool serve(struct standin *standin, const char *port_file)
{
	GSList *uris;
	char *text;
	bool written;

	standin->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(standin->server, NULL, on_call, standin, NULL);
	if (!start_listening(standin))
		return false;
	uris = soup_server_get_uris(standin->server);
	standin->address =
		g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	text = g_strdup_printf("http=%s\n", standin->address);
	written = g_file_set_contents(port_file, text, -1, NULL);
	g_free(text);
	return written;
}

int main(int argc, char **argv)
{
	static struct standin standin = {
		.listen_fd = -1,
		.first_heartbeat_ms = RESTART_HEARTBEAT_MS,
	};
	bool inherits;
	char *waiting = NULL;
	char *port_file = NULL;
	char *journal = NULL;
	GOptionEntry entries[] = {
		{ "name", 0, 0, G_OPTION_ARG_STRING, &standin.name },
		{ "agent", 0, 0, G_OPTION_ARG_STRING, &standin.agent },
		{ "journal", 0, 0, G_OPTION_ARG_STRING, &journal },
		{ "zone", 0, 0, G_OPTION_ARG_STRING, &standin.zone },
		{ "label", 0, 0, G_OPTION_ARG_STRING, &standin.label },
		{ "unguarded", 0, 0, G_OPTION_ARG_NONE, &standin.unguarded },
		{ "address", 0, 0, G_OPTION_ARG_STRING, &standin.address },
		{ "port-file", 0, 0, G_OPTION_ARG_STRING, &port_file },
		{ "late-percent", 0, 0, G_OPTION_ARG_INT,
		  &standin.late_percent },
		{ "reset-percent", 0, 0, G_OPTION_ARG_INT,
		  &standin.reset_percent },
		{ "malformed-percent", 0, 0, G_OPTION_ARG_INT,
		  &standin.malformed_percent },
		{ "odd-percent", 0, 0, G_OPTION_ARG_INT, &standin.odd_percent },
		{ "silent-percent", 0, 0, G_OPTION_ARG_INT,
		  &standin.silent_percent },
		{ "silent-ms", 0, 0, G_OPTION_ARG_INT, &standin.silent_ms },
		{ "cut", 0, 0, G_OPTION_ARG_NONE, &standin.cut },
		{ "restart-ms", 0, 0, G_OPTION_ARG_INT, &standin.restart_ms },
		{ "first-heartbeat-ms", 0, 0, G_OPTION_ARG_INT,
		  &standin.first_heartbeat_ms },
		{ "waiting-calls", 0, 0, G_OPTION_ARG_STRING, &waiting },
		{ "listen-fd", 0, 0, G_OPTION_ARG_INT, &standin.listen_fd },
		{ NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);

	standin.argv = g_strdupv(argv);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !standin.name || !standin.agent || !standin.zone || !journal ||
	    !port_file)
		return 2;
	standin.waiting = waiting_find(waiting ? waiting : "answered");
	if (!standin.waiting)
		return 2;
	inherits = standin.listen_fd >= 0;
	/* The worker doesn't exist between its incarnations. */
	if (inherits)
		g_usleep((gulong)standin.restart_ms * 1000);
	standin.journal = fopen(journal, "ae");
	standin.born_ms = (uint64_t)g_get_real_time() / 1000;
	standin.born_us = g_get_monotonic_time();
	standin.random = g_rand_new_with_seed(g_str_hash(standin.name));
	standin.session = soup_session_new();
	standin.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	standin.barred =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin.resets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin.ends = g_ptr_array_new_with_free_func(end_free);
	standin.holds = g_ptr_array_new();
	if (!standin.journal || !serve(&standin, port_file))
		return 1;
	standin.loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGHUP, on_restart, &standin);
	g_unix_signal_add(SIGUSR1, on_unhealthy, &standin);
	g_unix_signal_add(SIGUSR2, on_silent, &standin);
	g_unix_signal_add(SIGTERM, on_lost, &standin);
	g_timeout_add(TICK_MS, on_tick, &standin);
	/* After a restart, calls arrive before the first heartbeat is sent. */
	g_timeout_add(inherits ? (guint)standin.first_heartbeat_ms :
				 (guint)g_random_int_range(1, HEARTBEAT_MS),
		      on_first_heartbeat, &standin);
	g_main_loop_run(standin.loop);
	return 0;
}
