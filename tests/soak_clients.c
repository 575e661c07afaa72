/**
 * @file soak_clients.c
 * Clients that keep a connection to an entry open until its process ends. Each
 * request that was sent completely must be answered, and the answers about a
 * submission must be consistent with each other.
 */

#include <stdio.h>
#include <string.h>

#include "soak.h"
#include "soak_conn.h"

/* Added to a client's timeout before an answer counts as missing, since a busy
 * machine delays answers. */
#define ANSWER_SLACK_MS 2500
/* Submissions at the start whose tasks last, so that lost workers run some. */
#define NR_FIRST_STEADY 4
#define SPARED_PERCENT 90 /* of the submissions while workers are lost */
#define NR_ATTEMPTS 4 /* to submit, as the sites' clients do */
#define GAP_MIN_MS 5
#define GAP_MAX_MS 120
#define RETRY_MAX_MS 600
/* Time after a SIGTERM during which new connections still reach an entry. */
#define ROTATION_DELAY_MS 2000
/* Refusals that come later than this after a fault are counted. */
#define STABLE_MIN_MS 5000

/* Timeouts of the clients; the sites' clients wait for 3 s. */
static const uint32_t client_timeouts_ms[] = { 3000, 3000, 3000, 1000, 10000 };

enum mode { MODE_LOAD, MODE_STOP, MODE_CANCEL, MODE_POLL };

struct client;

/* A kind of call. */
struct client_call {
	const char *method;
	uint32_t weight; /* probability in percent */
	/* Returns the path, or NULL if this call has no subject now. */
	char *(*begin)(struct client *client);
	void (*answered)(struct client *client,
			 const struct soak_answer *answer);
};

struct client {
	struct soak *soak;
	struct soak_clients *all;
	GRand *random;
	struct soak_conn *conn;
	struct soak_proc *entry; /* to which conn leads */
	const struct client_call *call; /* NULL: none in progress */
	struct soak_flow *flow; /* subject of the call, NULL: none */
	struct soak_flow *retry; /* submission without a clear answer */
	uint32_t nr_unclear; /* attempts of retry without a clear answer */
	uint32_t nr_rejected; /* attempts of retry with answer 429 or 503 */
	bool is_undisturbed; /* no fault was near any of its attempts */
	int64_t began_us; /* STABLE_MIN_MS before its first attempt */
	uint32_t route; /* index of the route that a route call probes */
	guint timer;
};

struct soak_clients {
	struct soak *soak;
	GPtrArray *flows; /* struct soak_flow */
	GHashTable *by_id; /* the same flows by their ids */
	struct client *clients;
	uint32_t nr_clients;
	enum mode mode;
	guint next; /* index of the next flow to poll or cancel */
	GRand *ids; /* source of the flows' ids */
};

static void client_next(struct client *client, uint32_t wait_ms);

/* ---- submissions ---- */

static char *flow_path(const struct soak_flow *flow)
{
	return g_strdup_printf("/q/%s", flow->id);
}

static struct soak_flow *flow_new(struct client *client)
{
	struct soak_clients *all = client->all;
	struct soak_flow *flow = g_new0(struct soak_flow, 1);

	g_snprintf(flow->id, sizeof(flow->id), "%08x%08x", all->flows->len + 1,
		   g_rand_int(all->ids));
	flow->kind = all->flows->len < NR_FIRST_STEADY ?
			     soak_flow_steady_kind() :
			     soak_flow_draw_kind(client->random);
	g_ptr_array_add(all->flows, flow);
	g_hash_table_insert(all->by_id, flow->id, flow);
	all->soak->stats.nr_submitted++;
	return flow;
}

static bool flow_is_final(const struct soak_flow *flow)
{
	return flow->shown != NULL;
}

/* Draws an accepted submission; NULL if 10 draws find none. */
static struct soak_flow *draw_accepted(struct client *client)
{
	GPtrArray *flows = client->all->flows;

	for (uint32_t i = 0; i < 10 && flows->len; i++) {
		/* Prefers recent submissions. */
		gint low = soak_chance(client->random, 70) ?
				   MAX(0, (gint)flows->len - 30) :
				   0;
		struct soak_flow *flow = flows->pdata[g_rand_int_range(
			client->random, low, (gint)flows->len)];

		if (flow->state == SOAK_ACCEPTED)
			return flow;
	}
	return NULL;
}

/* ---- calls ---- */

/* Returns true if no recent fault justifies that the entry refuses a call. */
static bool client_is_undisturbed(const struct client *client)
{
	int64_t now_us = g_get_monotonic_time();

	return soak_core_fault_free_ms(client->soak) >= STABLE_MIN_MS &&
	       !soak_spans_overlap(client->entry->disturbances,
				   now_us - STABLE_MIN_MS * INT64_C(1000),
				   now_us);
}

/* LOST is judged while two workers without a fault have room. */
static bool client_spares_room(struct client *client)
{
	return client->all->flows->len >= NR_FIRST_STEADY &&
	       soak_faults_only_workers(client->soak) &&
	       soak_chance(client->random, SPARED_PERCENT);
}

static char *submit_begin(struct client *client)
{
	if (!client->retry && client_spares_room(client))
		return NULL;
	if (!client->retry) {
		client->retry = flow_new(client);
		client->nr_unclear = client->nr_rejected = 0;
		client->is_undisturbed = true;
		client->began_us =
			g_get_monotonic_time() - STABLE_MIN_MS * INT64_C(1000);
	}
	client->flow = client->retry;
	return flow_path(client->flow);
}

static void submit_refused(struct client *client,
			   const struct soak_answer *answer)
{
	client->nr_rejected++;
	if (!client_is_undisturbed(client)) {
		client->is_undisturbed = false;
		return;
	}
	client->soak->stats.nr_stable_refusals++;
	soak_note("%s refused %s with %u without a fault: %s",
		  tb_proc_name(client->entry->handle), client->flow->id,
		  answer->status, answer->text);
}

static void submit_answered(struct client *client,
			    const struct soak_answer *answer)
{
	struct soak_flow *flow = client->flow;
	bool done = false;

	if (answer->outcome == CONN_NOT_SENT)
		return; /* not an attempt, and repeated later */
	flow->nr_attempts++;
	if (answer->outcome != CONN_ANSWERED) {
		client->nr_unclear++;
	} else if (answer->status == 200) {
		flow->state = SOAK_ACCEPTED;
		flow->accepted_ms = answer->ended_ms;
		client->soak->stats.nr_accepted++;
		done = true;
	} else if (answer->status == 429 || answer->status == 503) {
		submit_refused(client, answer);
	} else {
		client->nr_unclear++;
		if (answer->status != 502 && answer->status != 504)
			soak_violation(client->soak,
				       "ROUTE: submission %s was answered %u",
				       flow->id, answer->status);
	}
	if (!done && flow->nr_attempts < NR_ATTEMPTS)
		return;
	if (!done && !client->nr_unclear) {
		flow->state = SOAK_REJECTED;
		client->soak->stats.nr_rejected++;
		if (client->is_undisturbed)
			soak_violation_if_stable(
				client->soak, client->began_us,
				"SHORT: %s is refused %u times without a fault",
				flow->id, client->nr_rejected);
	}
	client->retry = NULL;
}

/* Sends an accepted submission again, seconds after its answer. */
static char *resubmit_begin(struct client *client)
{
	client->flow = draw_accepted(client);
	return client->flow ? flow_path(client->flow) : NULL;
}

static void resubmit_answered(struct client *client,
			      const struct soak_answer *answer)
{
	if (answer->outcome == CONN_ANSWERED && answer->status >= 400 &&
	    answer->status < 500 && answer->status != 429)
		soak_violation(client->soak,
			       "LOST: accepted %s was answered %u when sent "
			       "again",
			       client->flow->id, answer->status);
}

static char *state_begin(struct client *client)
{
	client->flow = draw_accepted(client);
	return client->flow ? flow_path(client->flow) : NULL;
}

static const char *state_of(const char *text)
{
	static const char *const states[] = { "queued", "running", "completed",
					      "failed", "cancelled" };

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++)
		if (strstr(text, states[i]))
			return states[i];
	return NULL;
}

static bool state_is_allowed(const struct soak_flow *flow, const char *state)
{
	if (!strcmp(state, "cancelled"))
		return flow->cancel_sent_ms;
	if (!strcmp(state, "failed"))
		return !g_strcmp0(flow->kind->how, "fail");
	if (!strcmp(state, "completed"))
		return flow->kind->run_ms && g_strcmp0(flow->kind->how, "fail");
	return true;
}

static void flow_shown(struct soak *soak, struct soak_flow *flow,
		       const char *state, const struct soak_answer *answer)
{
	bool final = strcmp(state, "queued") && strcmp(state, "running");
	int64_t sent_us = answer->sent_ms * 1000;

	if (!state_is_allowed(flow, state))
		soak_violation(soak, "LOST: %s (%s) is shown as %s", flow->id,
			       flow->kind->name, state);
	if (flow->shown && sent_us > flow->final_us &&
	    strcmp(flow->shown, state))
		soak_violation(soak, "MIXED: %s was %s and is shown as %s",
			       flow->id, flow->shown, state);
	if (flow->cancelled_us && sent_us > flow->cancelled_us && !final)
		soak_violation(soak,
			       "UNASKED: %s was cancelled and is shown as %s",
			       flow->id, state);
	if (final && !flow->shown) {
		flow->shown = state;
		flow->final_us = g_get_monotonic_time();
	}
}

static void state_answered(struct client *client,
			   const struct soak_answer *answer)
{
	struct soak_flow *flow = client->flow;
	const char *state;

	if (answer->outcome != CONN_ANSWERED)
		return;
	if (answer->status == 410 || answer->status == 404)
		soak_violation(client->soak,
			       "LOST: accepted %s was answered %u by %s",
			       flow->id, answer->status,
			       tb_proc_name(client->entry->handle));
	if (answer->status != 200)
		return;
	state = state_of(answer->text);
	if (state)
		flow_shown(client->soak, flow, state, answer);
	else
		soak_violation(client->soak, "MIXED: %s has no state: %s",
			       flow->id, answer->text);
}

static char *cancel_begin(struct client *client)
{
	struct soak_flow *flow = NULL;

	for (uint32_t i = 0; i < 6 && !flow; i++) {
		flow = draw_accepted(client);
		/* Mostly long-running ones: other submissions should end. */
		if (flow && flow->kind->run_ms &&
		    !soak_chance(client->random, 20))
			flow = NULL;
		/* LOST is judged on them. */
		if (flow && !flow->kind->run_ms &&
		    soak_faults_only_workers(client->soak))
			flow = NULL;
	}
	client->flow = flow;
	if (!flow || flow_is_final(flow))
		return NULL;
	if (!flow->cancel_sent_ms)
		flow->cancel_sent_ms = soak_now_ms();
	return flow_path(flow);
}

static void cancel_answered(struct client *client,
			    const struct soak_answer *answer)
{
	struct soak_flow *flow = client->flow;

	if (answer->outcome != CONN_ANSWERED)
		return;
	if (answer->status == 200 && !flow->cancelled_us)
		flow->cancelled_us = g_get_monotonic_time();
	if (answer->status == 410 && flow->state == SOAK_ACCEPTED)
		soak_violation(client->soak,
			       "LOST: cancelling accepted %s was answered 410",
			       flow->id);
	/* A submission without a clear answer may not have been accepted. */
	if (answer->status == 410 && flow->state != SOAK_ACCEPTED)
		flow->shown = "unknown";
}

static char *pending_begin(struct client *client)
{
	return g_strdup("/q/");
}

static void pending_answered(struct client *client,
			     const struct soak_answer *answer)
{
	if (answer->outcome == CONN_ANSWERED && answer->status != 200 &&
	    answer->status != 503 && answer->status != 504)
		soak_violation(client->soak, "CONFIG: /q/ was answered %u",
			       answer->status);
}

static char *route_begin(struct client *client)
{
	client->route =
		(uint32_t)g_rand_int_range(client->random, 0, SOAK_NR_ROUTES);
	return g_strdup_printf("/t%u/", client->route);
}

static void route_answered(struct client *client,
			   const struct soak_answer *answer)
{
	int expected;

	if (answer->outcome != CONN_ANSWERED ||
	    (answer->status != 200 && answer->status != 404))
		return;
	expected = soak_route_expected(client->soak, client->route,
				       answer->sent_ms, answer->ended_ms);
	if ((answer->status == 404 && expected == 1) ||
	    (answer->status == 200 && expected == 0))
		soak_violation(client->soak,
			       "CONFIG: route %u was answered %u by %s",
			       client->route, answer->status,
			       tb_proc_name(client->entry->handle));
}

static const struct client_call submit_call = { "POST", 0, submit_begin,
						submit_answered };

static const struct client_call calls[] = {
	{ "POST", 7, submit_begin, submit_answered },
	{ "POST", 4, resubmit_begin, resubmit_answered },
	{ "GET", 60, state_begin, state_answered },
	{ "DELETE", 2, cancel_begin, cancel_answered },
	{ "GET", 10, pending_begin, pending_answered },
	{ "GET", 17, route_begin, route_answered },
};

/* ---- after the faults ---- */

/* Returns the path of the next submission to cancel or to query. */
static char *sweep_begin(struct client *client, bool cancel)
{
	struct soak_clients *all = client->all;

	for (guint i = 0; i < all->flows->len; i++) {
		guint at = all->next++ % all->flows->len;
		struct soak_flow *flow = all->flows->pdata[at];
		bool lasts = !flow->kind->run_ms;

		if (flow_is_final(flow) || flow->state == SOAK_REJECTED)
			continue;
		if (cancel ? (!lasts || flow->cancelled_us) :
			     flow->state != SOAK_ACCEPTED)
			continue;
		client->flow = flow;
		if (cancel && !flow->cancel_sent_ms)
			flow->cancel_sent_ms = soak_now_ms();
		return flow_path(flow);
	}
	return NULL;
}

static char *sweep_cancel_begin(struct client *client)
{
	return sweep_begin(client, true);
}

static char *sweep_state_begin(struct client *client)
{
	return sweep_begin(client, false);
}

static const struct client_call sweep_calls[] = {
	[MODE_CANCEL] = { "DELETE", 0, sweep_cancel_begin, cancel_answered },
	[MODE_POLL] = { "GET", 0, sweep_state_begin, state_answered },
};

/* ---- connections ---- */

static bool entry_takes_connections(const struct soak_proc *proc)
{
	return proc->state == PROC_RUNNING || proc->state == PROC_PAUSED ||
	       (proc->state == PROC_TERMINATING &&
		soak_now_ms() < proc->sigterm_ms + ROTATION_DELAY_MS);
}

static struct soak_proc *draw_entry(struct client *client)
{
	uint32_t nr = soak_nr_procs(client->soak, SOAK_ENTRY);
	uint32_t first =
		(uint32_t)g_rand_int_range(client->random, 0, (gint)nr);

	for (uint32_t i = 0; i < nr; i++) {
		struct soak_proc *proc = soak_proc_at(client->soak, SOAK_ENTRY,
						      (first + i) % nr);

		if (entry_takes_connections(proc) &&
		    tb_proc_http(proc->handle)[0])
			return proc;
	}
	return NULL;
}

static void client_disconnect(struct client *client)
{
	g_clear_pointer(&client->conn, soak_conn_free);
}

/* Reports a request without an answer, unless the entry had a fault. */
static void client_check_unanswered(struct client *client, const char *path,
				    const struct soak_answer *answer)
{
	static const char *const what[] = {
		[CONN_CLOSED] = "the connection ended without an answer",
		[CONN_RESET] = "the connection was reset",
	};
	struct soak *soak = client->soak;
	const struct soak_proc *proc = client->entry;
	int64_t from_us = answer->sent_ms * 1000;
	int64_t to_us = g_get_monotonic_time();

	if (soak_spans_overlap(proc->downtime, from_us, to_us)) {
		soak->stats.nr_excused++;
		return;
	}
	if (answer->outcome == CONN_TIMED_OUT) {
		soak_violation_if_stable(
			soak, from_us - SOAK_CONTACT_MS * INT64_C(1000),
			"LOST: %s %s at %s: no answer in %" G_GINT64_FORMAT
			" ms",
			client->call->method, path, tb_proc_name(proc->handle),
			answer->ended_ms - answer->sent_ms);
		return;
	}
	/* A terminating process may close connections with unread requests. */
	if (answer->outcome == CONN_RESET &&
	    soak_spans_overlap(proc->disturbances, from_us, to_us)) {
		soak->stats.nr_unread++;
		return;
	}
	soak_violation(
		soak,
		"LOST: %s %s at %s: %s, sent %" G_GINT64_FORMAT
		" ms ago, %" G_GINT64_FORMAT " ms after a SIGTERM",
		client->call->method, path, tb_proc_name(proc->handle),
		what[answer->outcome], answer->ended_ms - answer->sent_ms,
		proc->sigterm_ms ? answer->sent_ms - proc->sigterm_ms : -1);
}

static void client_done(void *ctx, const struct soak_answer *answer)
{
	struct client *client = ctx;
	const struct client_call *call = client->call;
	bool is_retry;

	client->soak->stats.nr_calls++;
	if (answer->outcome != CONN_ANSWERED) {
		if (answer->outcome != CONN_NOT_SENT)
			client_check_unanswered(
				client, client->flow ? client->flow->id : "",
				answer);
		client_disconnect(client);
	}
	call->answered(client, answer);
	client->call = NULL;
	client->flow = NULL;
	is_retry = client->retry && call->begin == submit_begin;
	/* Half of the retries go to a newly drawn entry. */
	if (is_retry && client->conn && soak_chance(client->random, 50))
		client_disconnect(client);
	client_next(client, (uint32_t)g_rand_int_range(
				    client->random, GAP_MIN_MS,
				    is_retry ? RETRY_MAX_MS : GAP_MAX_MS));
}

static const struct client_call *draw_call(struct client *client)
{
	uint32_t at;

	if (client->all->mode >= MODE_CANCEL)
		return &sweep_calls[client->all->mode];
	if (client->all->flows->len < NR_FIRST_STEADY ||
	    (client->retry && soak_chance(client->random, 50)))
		return &submit_call;
	at = (uint32_t)g_rand_int_range(client->random, 0, 100);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (at < calls[i].weight)
			return &calls[i];
		at -= calls[i].weight;
	}
	return &submit_call;
}

static bool client_connect(struct client *client)
{
	if (client->conn && !soak_conn_usable(client->conn))
		client_disconnect(client);
	if (client->conn)
		return true;
	client->entry = draw_entry(client);
	if (!client->entry)
		return false;
	client->conn = soak_conn_new(tb_proc_http(client->entry->handle));
	return true;
}

static gboolean client_step(gpointer data)
{
	struct client *client = data;
	uint32_t timeout_ms = client_timeouts_ms[g_rand_int_range(
		client->random, 0, G_N_ELEMENTS(client_timeouts_ms))];
	char *text = NULL;
	char *path;

	client->timer = 0;
	if (client->all->mode == MODE_STOP && !client->retry) {
		client_next(client, GAP_MAX_MS);
		return G_SOURCE_REMOVE;
	}
	if (!client_connect(client)) {
		client_next(client, RETRY_MAX_MS);
		return G_SOURCE_REMOVE;
	}
	client->call = client->all->mode == MODE_STOP ? &submit_call :
							draw_call(client);
	path = client->call->begin(client);
	if (!path) {
		client->call = NULL;
		client_next(client, GAP_MAX_MS);
		return G_SOURCE_REMOVE;
	}
	if (!strcmp(client->call->method, "POST"))
		text = soak_flow_text(client->flow);
	soak_conn_send(client->conn, client->call->method, path, text,
		       timeout_ms, timeout_ms + ANSWER_SLACK_MS, client_done,
		       client);
	g_free(text);
	g_free(path);
	return G_SOURCE_REMOVE;
}

static void client_next(struct client *client, uint32_t wait_ms)
{
	client->timer = g_timeout_add(wait_ms, client_step, client);
}

/* ---- the set of clients ---- */

void soak_clients_start(struct soak *soak)
{
	struct soak_clients *all = g_new0(struct soak_clients, 1);

	all->soak = soak;
	all->flows = g_ptr_array_new_with_free_func(g_free);
	all->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	all->nr_clients = soak->shape->nr_clients;
	all->clients = g_new0(struct client, all->nr_clients);
	all->ids = g_rand_new_with_seed((guint32)soak->seed + 7919);
	soak->clients = all;
	for (uint32_t i = 0; i < all->nr_clients; i++) {
		struct client *client = &all->clients[i];

		client->soak = soak;
		client->all = all;
		client->random = g_rand_new_with_seed(
			(guint32)soak->seed * 1009 + i + 1);
		client_next(client, GAP_MAX_MS);
	}
}

void soak_clients_stop(struct soak *soak)
{
	soak->clients->mode = MODE_STOP;
}

bool soak_clients_idle(const struct soak *soak)
{
	const struct soak_clients *all = soak->clients;

	for (uint32_t i = 0; i < all->nr_clients; i++)
		if (all->clients[i].call || all->clients[i].retry)
			return false;
	return true;
}

void soak_clients_cancel_lasting(struct soak *soak)
{
	soak->clients->mode = MODE_CANCEL;
}

uint32_t soak_clients_poll(struct soak *soak)
{
	struct soak_clients *all = soak->clients;
	uint32_t nr = 0;

	all->mode = MODE_POLL;
	for (guint i = 0; i < all->flows->len; i++) {
		const struct soak_flow *flow = all->flows->pdata[i];

		if (flow->state == SOAK_ACCEPTED && !flow_is_final(flow) &&
		    (flow->kind->run_ms || flow->cancelled_us))
			nr++;
	}
	return nr;
}

struct soak_flow *soak_flow_find(const struct soak *soak, const char *id)
{
	return g_hash_table_lookup(soak->clients->by_id, id);
}

GPtrArray *soak_flows(const struct soak *soak)
{
	return soak->clients->flows;
}

void soak_clients_free(struct soak *soak)
{
	struct soak_clients *all = soak->clients;

	for (uint32_t i = 0; i < all->nr_clients; i++) {
		struct client *client = &all->clients[i];

		if (client->timer)
			g_source_remove(client->timer);
		soak_conn_free(client->conn);
		g_rand_free(client->random);
	}
	g_free(all->clients);
	g_hash_table_unref(all->by_id);
	g_ptr_array_unref(all->flows);
	g_rand_free(all->ids);
	g_free(all);
}
