/**
 * @file soak_operator.c
 * Two operators that change the configuration concurrently and take zones out
 * and in. They repeat each order until it has a clear answer. A reader for each
 * replica compares the configuration that the replica shows with the versions
 * that were acknowledged.
 */

#include <string.h>

#include "soak.h"
#include "soak_conn.h"

#define NR_OPERATORS 2
#define MAX_OPEN 3 /* orders in progress of each operator */
#define ORDER_GAP_MIN_MS 200
#define ORDER_GAP_MAX_MS 1200
#define ANSWER_MAX_MS 1000 /* then the order goes to another replica */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 1000
#define MAX_HOPS 2 /* redirects that are followed in a row */
#define READ_GAP_MS 250
#define ZONE_GAP_MS 3000
#define ZONE_OUT_MS 8000 /* from the acknowledgement on */
#define LOST_PERCENT 25 /* of the acknowledgements are dropped */
#define VERSION_STEP_MAX 4
/*
 * Number of an invalid version above the last valid one: if it were accepted,
 * it would block all later versions.
 */
#define INVALID_STEP 100000

/* A version of the configuration that an operator has sent. */
struct version {
	uint64_t nr;
	char *text;
	bool invalid;
	int64_t sent_ms; /* time of the first attempt */
	int64_t acked_ms; /* time of the acknowledgement, 0: none yet */
};

enum order_kind { ORDER_CONFIG, ORDER_INVALID, ORDER_OUT, ORDER_IN };

struct order {
	struct soak *soak;
	enum order_kind kind;
	char *path;
	char *text; /* NULL: no body */
	struct version *version; /* created by the order, NULL: none */
	struct issuer *issuer;
	struct soak_conn *conn;
	guint timer;
	uint32_t target; /* index of the replica, modulo their number */
	uint32_t nr_hops;
	uint32_t backoff_ms;
	uint32_t last_status; /* of the last answer, 0: no answer */
	int64_t sent_ms; /* first attempt, or the first after a dropped ack */
	bool was_accepted; /* an acknowledgement was dropped */
};

/* Time that a valid order waited for its acknowledgement. */
struct wait {
	char what[80]; /* path and version */
	int64_t sent_us;
	int64_t ended_us;
};

/* An operator, who issues orders. */
struct issuer {
	struct soak *soak;
	GRand *random;
	uint32_t nr_open; /* orders in progress */
	guint timer;
};

/* Reads the configuration of a replica again and again. */
struct reader {
	struct soak *soak;
	struct soak_proc *proc;
	struct soak_conn *conn;
	guint timer;
	uint32_t nr_starts; /* nr_starts of the process at the last answer */
	uint64_t shown; /* last version of this incarnation */
	uint64_t last; /* version in the last answer, 0: none */
	uint32_t nr_hops;
};

/* Time for which a zone was taken out. */
struct outage {
	const char *zone;
	int64_t begin_us; /* the order to take the zone out was acknowledged */
	int64_t end_us; /* the zone was taken in, G_MAXINT64: not yet */
};

struct soak_operators {
	struct issuer operators[NR_OPERATORS];
	struct reader readers[TB_MAX_CONTROLS];
	GPtrArray *versions; /* struct version, in the order of sending */
	GPtrArray *open; /* struct order: in progress */
	GArray *outages; /* struct outage */
	GArray *waits; /* struct wait */
	uint64_t last_nr; /* highest number of a valid version */
	uint64_t nr_invalid;
	const char *zone; /* zone out, or ordered out or in; NULL: none */
	GArray *zone_changes; /* struct soak_span: zone wasn't NULL */
	guint zone_timer;
	bool stopped;
};

static const char *const zones[] = { "veraval", "porbandar", "mangrol" };

/* ---- versions that may be in force ---- */

static struct version *version_find(const struct soak_operators *all,
				    uint64_t nr)
{
	for (guint i = 0; i < all->versions->len; i++) {
		struct version *version = all->versions->pdata[i];

		if (version->nr == nr)
			return version;
	}
	return NULL;
}

/* Returns the newest version acknowledged until @a by_ms, or NULL. */
static struct version *version_newest_acked(const struct soak_operators *all,
					    int64_t by_ms)
{
	struct version *newest = NULL;

	for (guint i = 0; i < all->versions->len; i++) {
		struct version *version = all->versions->pdata[i];

		if (version->acked_ms && version->acked_ms <= by_ms &&
		    (!newest || version->nr > newest->nr))
			newest = version;
	}
	return newest;
}

int soak_route_expected(const struct soak *soak, uint32_t route,
			int64_t from_ms, int64_t to_ms)
{
	const struct soak_operators *all = soak->operators;
	const struct version *base =
		version_newest_acked(all, from_ms - SOAK_CONFIG_MS);
	uint32_t nr_with = 0;
	uint32_t nr_without = 0;

	for (guint i = 0; i < all->versions->len; i++) {
		const struct version *version = all->versions->pdata[i];

		if (version->invalid || version->sent_ms > to_ms ||
		    (base && version->nr < base->nr))
			continue;
		if (version->nr % SOAK_NR_ROUTES == route)
			nr_without++;
		else
			nr_with++;
	}
	if (!base || (nr_with && nr_without))
		return -1;
	return nr_with ? 1 : 0;
}

/* ---- documents ---- */

static void append_route(GString *text, const char *prefix, const char *service,
			 uint32_t timeout_ms)
{
	g_string_append_printf(
		text,
		"{\"name\":\"r-%s\",\"host\":\"127.0.0.1\","
		"\"pathPrefix\":\"/%s/\",\"kind\":\"unsafe\","
		"\"timeoutMs\":%u,\"sloMs\":1000,\"priority\":0,"
		"\"service\":\"%s\",\"attempts\":%d,\"slackFactor\":2.0}",
		prefix, prefix, timeout_ms, service, SOAK_ATTEMPTS);
}

/* The argument is the service's enforcesCapacity. */
static const char config_tail[] =
	"],\"services\":[{\"name\":\"svc\",\"healthPath\":\"/health\","
	"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
	"\"coldStartS\":0.0,\"warmupPerS\":0.0,\"enforcesCapacity\":%s,"
	"\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

static void append_tail(GString *text, const struct soak *soak)
{
	g_string_append_printf(text, config_tail,
			       soak_site_is_guarded(soak) ? "true" : "false");
}

static char *config_text(const struct soak *soak, uint64_t nr,
			 uint32_t timeout_ms)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
			nr);
	append_route(text, "q", "svc", timeout_ms);
	for (uint32_t i = 0; i < SOAK_NR_ROUTES; i++) {
		char prefix[8];

		if (nr % SOAK_NR_ROUTES == i)
			continue;
		g_snprintf(prefix, sizeof(prefix), "t%u", i);
		g_string_append_c(text, ',');
		append_route(text, prefix, "svc", 3000);
	}
	append_tail(text, soak);
	return g_string_free(text, FALSE);
}

/* Returns a configuration of one of the four kinds that control must reject. */
static char *invalid_text(const struct soak *soak, uint64_t nr, uint32_t kind)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[",
			nr);
	append_route(text, "q", kind == 0 ? "none" : "svc",
		     kind == 1 ? 0 : 3000);
	if (kind == 2) {
		g_string_append_c(text, ',');
		append_route(text, "q", "svc", 2000);
	}
	append_tail(text, soak);
	if (kind == 3)
		g_string_truncate(text, text->len / 2);
	return g_string_free(text, FALSE);
}

/* ---- orders ---- */

static gboolean order_send(gpointer data);

static void order_free(struct order *order)
{
	if (order->timer)
		g_source_remove(order->timer);
	soak_conn_free(order->conn);
	g_free(order->path);
	g_free(order->text);
	g_free(order);
}

static void order_close(struct order *order)
{
	struct soak_operators *all = order->soak->operators;

	order->issuer->nr_open--;
	g_ptr_array_remove_fast(all->open, order);
	order_free(order);
}

static void outage_begin(struct soak_operators *all)
{
	struct outage outage = { all->zone, g_get_monotonic_time(),
				 G_MAXINT64 };

	g_array_append_val(all->outages, outage);
}

static void wait_record(const struct order *order)
{
	struct soak_operators *all = order->soak->operators;
	struct wait wait = { .sent_us = order->sent_ms * 1000,
			     .ended_us = g_get_monotonic_time() };

	if (order->kind == ORDER_INVALID)
		return;
	g_snprintf(wait.what, sizeof(wait.what),
		   "%s (version %" G_GUINT64_FORMAT ")", order->path,
		   order->version ? order->version->nr : 0);
	g_array_append_val(all->waits, wait);
}

static void order_acknowledged(struct order *order)
{
	struct soak_operators *all = order->soak->operators;

	order->soak->stats.nr_acknowledged++;
	wait_record(order);
	switch (order->kind) {
	case ORDER_INVALID:
		soak_violation(order->soak,
			       "CONFIG: an invalid version is acknowledged: "
			       "%s",
			       order->text);
		break;
	case ORDER_CONFIG:
		if (order->version && !order->version->acked_ms)
			order->version->acked_ms = soak_now_ms();
		break;
	case ORDER_OUT:
		outage_begin(all);
		break;
	case ORDER_IN:
		all->zone = NULL;
		soak_span_end(all->zone_changes);
		break;
	}
	order_close(order);
}

static void order_refused(struct order *order, uint32_t status)
{
	if (order->kind != ORDER_INVALID)
		soak_violation(order->soak,
			       "CONFIG: %s (version %" G_GUINT64_FORMAT
			       ") is refused with %u%s",
			       order->path,
			       order->version ? order->version->nr : 0, status,
			       order->was_accepted ?
				       " after it was acknowledged" :
				       "");
	order_close(order);
}

static void order_retry(struct order *order)
{
	g_clear_pointer(&order->conn, soak_conn_free);
	order->target++;
	order->nr_hops = 0;
	order->timer = g_timeout_add(order->backoff_ms, order_send, order);
	order->backoff_ms = MIN(order->backoff_ms * 2, BACKOFF_MAX_MS);
}

static void order_answered(void *ctx, const struct soak_answer *answer);

static void order_call(struct order *order, const char *address)
{
	soak_conn_free(order->conn);
	order->conn = soak_conn_new(address);
	soak_conn_send(order->conn, "POST", order->path, order->text,
		       ANSWER_MAX_MS, ANSWER_MAX_MS, order_answered, order);
}

static char *address_of(const char *location)
{
	const char *at = g_str_has_prefix(location, "http://") ?
				 location + strlen("http://") :
				 location;

	return g_strndup(at, strcspn(at, "/"));
}

static void order_follow_redirect(struct order *order, const char *location)
{
	char *address = address_of(location);

	order->nr_hops++;
	order_call(order, address);
	g_free(address);
}

static void order_answered(void *ctx, const struct soak_answer *answer)
{
	struct order *order = ctx;
	bool answered = answer->outcome == CONN_ANSWERED;

	order->last_status = answered ? answer->status : 0;
	if (answered && answer->status == 307 && answer->location &&
	    order->nr_hops < MAX_HOPS) {
		order_follow_redirect(order, answer->location);
	} else if (answered && answer->status == 200) {
		if (!order->was_accepted && order->kind != ORDER_INVALID &&
		    soak_chance(order->issuer->random, LOST_PERCENT)) {
			order->was_accepted = true;
			wait_record(order);
			order->sent_ms = soak_now_ms();
			order_retry(order);
		} else {
			order_acknowledged(order);
		}
	} else if (answered && answer->status >= 400 && answer->status < 500 &&
		   answer->status != 408 && answer->status != 429) {
		order_refused(order, answer->status);
	} else {
		order_retry(order);
	}
}

static gboolean order_send(gpointer data)
{
	struct order *order = data;
	struct soak_proc *proc = soak_proc_at(
		order->soak, SOAK_CONTROL,
		order->target % soak_nr_procs(order->soak, SOAK_CONTROL));

	order->timer = 0;
	order_call(order, tb_proc_http(proc->handle));
	return G_SOURCE_REMOVE;
}

static struct order *order_new(struct issuer *issuer, enum order_kind kind,
			       char *path, char *text)
{
	struct order *order = g_new0(struct order, 1);

	order->soak = issuer->soak;
	order->kind = kind;
	order->issuer = issuer;
	order->path = path;
	order->text = text;
	order->target = (uint32_t)g_rand_int_range(issuer->random, 0, 1000);
	order->backoff_ms = BACKOFF_MIN_MS;
	order->sent_ms = soak_now_ms();
	issuer->nr_open++;
	issuer->soak->stats.nr_orders++;
	g_ptr_array_add(issuer->soak->operators->open, order);
	order->timer = g_timeout_add(1, order_send, order);
	return order;
}

static struct version *version_new(struct soak_operators *all, uint64_t nr,
				   const char *text, bool invalid)
{
	struct version *version = g_new0(struct version, 1);

	version->nr = nr;
	version->text = g_strdup(text);
	version->invalid = invalid;
	version->sent_ms = soak_now_ms();
	g_ptr_array_add(all->versions, version);
	return version;
}

static void send_config(struct issuer *issuer, struct version *again,
			uint32_t timeout_ms)
{
	struct soak_operators *all = issuer->soak->operators;
	struct order *order;
	char *text;

	if (!again)
		all->last_nr += (uint64_t)g_rand_int_range(issuer->random, 1,
							   VERSION_STEP_MAX);
	text = config_text(issuer->soak, again ? again->nr : all->last_nr,
			   timeout_ms);
	order = order_new(issuer, ORDER_CONFIG, g_strdup("/Config.Replace"),
			  text);
	if (!again)
		order->version = version_new(all, all->last_nr, text, false);
}

static void send_invalid(struct issuer *issuer)
{
	struct soak_operators *all = issuer->soak->operators;
	uint64_t nr = all->last_nr + INVALID_STEP + all->nr_invalid++;
	char *text =
		invalid_text(issuer->soak, nr,
			     (uint32_t)g_rand_int_range(issuer->random, 0, 4));

	version_new(all, nr, text, true);
	order_new(issuer, ORDER_INVALID, g_strdup("/Config.Replace"), text);
}

static gboolean operator_step(gpointer data)
{
	struct issuer *issuer = data;
	struct soak_operators *all = issuer->soak->operators;
	gint draw = g_rand_int_range(issuer->random, 0, 100);
	uint32_t timeout_ms =
		(uint32_t)g_rand_int_range(issuer->random, 2500, 4000);

	issuer->timer = 0;
	if (all->stopped)
		return G_SOURCE_REMOVE;
	issuer->timer = g_timeout_add((guint)g_rand_int_range(issuer->random,
							      ORDER_GAP_MIN_MS,
							      ORDER_GAP_MAX_MS),
				      operator_step, issuer);
	if (issuer->nr_open >= MAX_OPEN)
		return G_SOURCE_REMOVE;
	if (draw < 15)
		send_invalid(issuer);
	else if (draw < 25) /* other content with the newest version's number */
		send_config(issuer, version_newest_acked(all, G_MAXINT64),
			    timeout_ms);
	else
		send_config(issuer, NULL, timeout_ms);
	return G_SOURCE_REMOVE;
}

/* ---- zones ---- */

static void zone_order(struct soak *soak, enum order_kind kind)
{
	struct soak_operators *all = soak->operators;

	order_new(&all->operators[0], kind,
		  g_strdup_printf("/Drain.%s/%s",
				  kind == ORDER_OUT ? "Start" : "Finish",
				  all->zone),
		  NULL);
}

static gboolean zone_step(gpointer data)
{
	struct soak *soak = data;
	struct soak_operators *all = soak->operators;
	struct outage *last =
		all->outages->len ? &g_array_index(all->outages, struct outage,
						   all->outages->len - 1) :
				    NULL;

	if (!all->zone) {
		/* Control knows the zones from the first configuration on. */
		if (all->stopped || soak_faults_only_workers(soak) ||
		    !version_newest_acked(all, G_MAXINT64))
			return G_SOURCE_CONTINUE;
		all->zone = zones[g_rand_int_range(all->operators[0].random, 0,
						   G_N_ELEMENTS(zones))];
		soak_span_begin(all->zone_changes);
		zone_order(soak, ORDER_OUT);
	} else if (last && last->end_us == G_MAXINT64 &&
		   (all->stopped ||
		    g_get_monotonic_time() >=
			    last->begin_us + ZONE_OUT_MS * INT64_C(1000))) {
		last->end_us = g_get_monotonic_time();
		zone_order(soak, ORDER_IN);
	}
	return G_SOURCE_CONTINUE;
}

bool soak_zone_is_out(const struct soak *soak, const char *zone, int64_t t_us)
{
	const struct soak_operators *all = soak->operators;

	for (guint i = 0; i < all->outages->len; i++) {
		const struct outage *outage =
			&g_array_index(all->outages, struct outage, i);

		if (!strcmp(outage->zone, zone) &&
		    t_us > outage->begin_us +
				    SOAK_EVACUATE_MS * INT64_C(1000) &&
		    t_us < outage->end_us)
			return true;
	}
	return false;
}

bool soak_zones_changed(const struct soak *soak, int64_t from_us, int64_t to_us)
{
	return soak_spans_overlap(soak->operators->zone_changes, from_us,
				  to_us);
}

/* ---- readers ---- */

static void reader_check(struct reader *reader,
			 const struct soak_answer *answer)
{
	static const char field[] = "\"version\":";
	struct soak *soak = reader->soak;
	const struct soak_operators *all = soak->operators;
	const char *at = strstr(answer->text, field);
	uint64_t nr = at ? g_ascii_strtoull(at + strlen(field), NULL, 10) : 0;
	const struct version *version = version_find(all, nr);
	const struct version *newest =
		version_newest_acked(all, answer->sent_ms - SOAK_CONFIG_MS);
	const char *name = tb_proc_name(reader->proc->handle);

	soak->stats.nr_read_back++;
	reader->last = nr;
	if (!version || version->invalid)
		soak_violation(soak,
			       "CONFIG: %s shows a version that was refused "
			       "or never sent: %" G_GUINT64_FORMAT,
			       name, nr);
	else if (strcmp(version->text, answer->text))
		soak_violation(soak,
			       "CONFIG: %s shows other content as version "
			       "%" G_GUINT64_FORMAT,
			       name, nr);
	if (newest && nr < newest->nr)
		soak_violation(soak,
			       "CONFIG: %s shows version %" G_GUINT64_FORMAT
			       ", %" G_GUINT64_FORMAT
			       " was acknowledged %" G_GINT64_FORMAT
			       " ms before",
			       name, nr, newest->nr,
			       answer->sent_ms - newest->acked_ms);
	if (reader->nr_starts == reader->proc->nr_starts && nr < reader->shown)
		soak_violation(soak,
			       "CONFIG: %s went back from version "
			       "%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
			       name, reader->shown, nr);
	reader->nr_starts = reader->proc->nr_starts;
	reader->shown = nr;
}

static gboolean reader_step(gpointer data);
static void reader_answered(void *ctx, const struct soak_answer *answer);

static void reader_call(struct reader *reader)
{
	soak_conn_send(reader->conn, "GET", "/Config.Show", NULL, ANSWER_MAX_MS,
		       ANSWER_MAX_MS, reader_answered, reader);
}

static void reader_answered(void *ctx, const struct soak_answer *answer)
{
	struct reader *reader = ctx;
	bool answered = answer->outcome == CONN_ANSWERED;
	char *address;

	if (answered && answer->status == 307 && answer->location &&
	    reader->nr_hops++ < MAX_HOPS) {
		address = address_of(answer->location);
		soak_conn_free(reader->conn);
		reader->conn = soak_conn_new(address);
		g_free(address);
		reader_call(reader);
		return;
	}
	if (answered && answer->status == 200)
		reader_check(reader, answer);
	if (!answered || reader->nr_hops)
		g_clear_pointer(&reader->conn, soak_conn_free);
	reader->timer = g_timeout_add(READ_GAP_MS, reader_step, reader);
}

static gboolean reader_step(gpointer data)
{
	struct reader *reader = data;

	reader->timer = 0;
	reader->nr_hops = 0;
	if (reader->conn && !soak_conn_usable(reader->conn))
		g_clear_pointer(&reader->conn, soak_conn_free);
	if (!reader->conn)
		reader->conn =
			soak_conn_new(tb_proc_http(reader->proc->handle));
	reader_call(reader);
	return G_SOURCE_REMOVE;
}

/* ---- time limits ---- */

static gint span_compare(gconstpointer a, gconstpointer b)
{
	const struct soak_span *x = a;
	const struct soak_span *y = b;

	return x->begin_us < y->begin_us ? -1 : x->begin_us > y->begin_us;
}

/* Returns the longest part of the wait in which the core had no fault. */
static int64_t wait_stable_ms(const struct soak *soak, const struct wait *wait)
{
	int64_t from_us = wait->sent_us;
	int64_t longest_us = 0;

	for (guint i = 0; i < soak->core_faults->len; i++) {
		const struct soak_span *span =
			&g_array_index(soak->core_faults, struct soak_span, i);

		longest_us = MAX(longest_us,
				 MIN(span->begin_us, wait->ended_us) - from_us);
		if (span->begin_us >= wait->ended_us)
			break;
		if (span->end_us != G_MAXINT64)
			from_us = MAX(from_us,
				      span->end_us +
					      SOAK_CONTACT_MS * INT64_C(1000));
	}
	return MAX(longest_us, wait->ended_us - from_us) / 1000;
}

/* Reports valid orders that waited too long while the core had no fault. */
static void check_waits(struct soak *soak)
{
	const struct soak_operators *all = soak->operators;

	g_array_sort(soak->core_faults, span_compare);
	for (guint i = 0; i < all->waits->len; i++) {
		const struct wait *wait =
			&g_array_index(all->waits, struct wait, i);
		int64_t stable_ms = wait_stable_ms(soak, wait);

		if (stable_ms <= SOAK_ACK_MS)
			continue;
		soak_violation(soak,
			       "ACKS: %s, sent at %" G_GINT64_FORMAT
			       " us, was acknowledged %" G_GINT64_FORMAT
			       " ms later, in %" G_GINT64_FORMAT
			       " ms without a fault",
			       wait->what, wait->sent_us,
			       (wait->ended_us - wait->sent_us) / 1000,
			       stable_ms);
	}
}

void soak_operators_check_end(struct soak *soak)
{
	const struct soak_operators *all = soak->operators;
	const struct version *newest = version_newest_acked(all, G_MAXINT64);

	check_waits(soak);
	for (uint32_t i = 0; i < soak_nr_procs(soak, SOAK_CONTROL); i++) {
		const struct reader *reader = &all->readers[i];

		if (reader->last < newest->nr)
			soak_violation(soak,
				       "CONFIG: at the end %s shows version "
				       "%" G_GUINT64_FORMAT
				       ", %" G_GUINT64_FORMAT
				       " was acknowledged",
				       tb_proc_name(reader->proc->handle),
				       reader->last, newest->nr);
	}
}

/* ---- the set of operators ---- */

void soak_operators_start(struct soak *soak)
{
	struct soak_operators *all = g_new0(struct soak_operators, 1);

	soak->operators = all;
	all->versions = g_ptr_array_new();
	all->open = g_ptr_array_new();
	all->waits = g_array_new(FALSE, FALSE, sizeof(struct wait));
	all->outages = g_array_new(FALSE, FALSE, sizeof(struct outage));
	all->zone_changes = g_array_new(FALSE, FALSE, sizeof(struct soak_span));
	for (uint32_t i = 0; i < NR_OPERATORS; i++) {
		struct issuer *issuer = &all->operators[i];

		issuer->soak = soak;
		issuer->random =
			g_rand_new_with_seed((guint32)soak->seed * 31 + i + 1);
		send_config(issuer, NULL, 3000);
		issuer->timer =
			g_timeout_add(ORDER_GAP_MAX_MS, operator_step, issuer);
	}
	for (uint32_t i = 0; i < soak_nr_procs(soak, SOAK_CONTROL); i++) {
		struct reader *reader = &all->readers[i];

		reader->soak = soak;
		reader->proc = soak_proc_at(soak, SOAK_CONTROL, i);
		reader->timer = g_timeout_add(READ_GAP_MS, reader_step, reader);
	}
	all->zone_timer = g_timeout_add(ZONE_GAP_MS, zone_step, soak);
}

void soak_operators_stop(struct soak *soak)
{
	soak->operators->stopped = true;
}

bool soak_operators_idle(const struct soak *soak)
{
	return !soak->operators->open->len && !soak->operators->zone;
}

static void version_free(struct version *version)
{
	g_free(version->text);
	g_free(version);
}

void soak_operators_free(struct soak *soak)
{
	struct soak_operators *all = soak->operators;

	g_source_remove(all->zone_timer);
	for (uint32_t i = 0; i < NR_OPERATORS; i++) {
		if (all->operators[i].timer)
			g_source_remove(all->operators[i].timer);
		g_rand_free(all->operators[i].random);
	}
	for (uint32_t i = 0; i < TB_MAX_CONTROLS; i++) {
		if (all->readers[i].timer)
			g_source_remove(all->readers[i].timer);
		soak_conn_free(all->readers[i].conn);
	}
	for (guint i = 0; i < all->open->len; i++)
		order_free(all->open->pdata[i]);
	for (guint i = 0; i < all->versions->len; i++)
		version_free(all->versions->pdata[i]);
	g_ptr_array_unref(all->open);
	g_ptr_array_unref(all->versions);
	g_array_unref(all->outages);
	g_array_unref(all->zone_changes);
	g_array_unref(all->waits);
	g_free(all);
}
