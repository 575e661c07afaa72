#include "runner_fixture.h"

#include <check.h>
#include <string.h>

#define LEADER 7

static void fixture_send(void *ctx, uint64_t node_id, uint32_t type,
			 const void *body)
{
	struct fixture *fixture = ctx;
	const struct flow_report *report = body;

	if (type != MSG_FLOW_REPORT)
		return;
	fixture->report = *report;
	fixture->ends_nr = 0;
	for (uint32_t i = 0; i < report->nr_ends; i++)
		fixture->ends_nr = MAX(fixture->ends_nr, report->ends[i].nr);
	for (uint32_t i = 0; i < report->nr_ends; i++)
		if (report->ends[i].end == FLOW_END_REFUSED)
			g_array_append_val(fixture->refused,
					   report->ends[i].run);
	if (report->nr_runs)
		fixture->first_run = report->runs[0];
	for (uint32_t i = 0; i < report->nr_ends; i++)
		fixture->nr_lost += report->ends[i].end == FLOW_END_LOST;
}

static void fixture_dial(void *ctx, const char *address)
{
}

static void fixture_close(void *ctx, uint64_t node_id)
{
}

static uint64_t fixture_random(void *ctx)
{
	return 5;
}

static void fixture_log(void *ctx, const char *line)
{
}

static const struct host_ops fixture_host = {
	.send = fixture_send,
	.dial = fixture_dial,
	.close_peer = fixture_close,
	.random_u64 = fixture_random,
	.log_line = fixture_log,
};

static void fixture_record_call(void *ctx, uint64_t call_nr,
				const struct exec_call *from)
{
	struct fixture *fixture = ctx;
	struct fixture_call call = { .nr = call_nr, .kind = from->kind };

	TEXT_SET(call.task, from->task ? from->task : "");
	call.run = from->run;
	call.deadline_ms = from->deadline_ms;
	call.fence = from->fence;
	call.settled_nr = from->settled_nr;
	call.wait_ms = from->wait_ms;
	call.percent = from->percent;
	TEXT_SET(call.worker, from->worker_id);
	TEXT_SET(call.address, from->address);
	fixture->nr_starts += from->kind == EXEC_START;
	fixture->nr_stops += from->kind == EXEC_STOP;
	g_array_append_val(fixture->calls, call);
}

static const struct runner_host_ops fixture_runner_ops = {
	.call = fixture_record_call
};

void fixture_run_ms(struct fixture *fixture, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i++) {
		fixture->now_us += 1000;
		node_run_timers(fixture->node, fixture->now_us);
	}
}

void fixture_message(struct fixture *fixture, uint32_t type, const void *body)
{
	node_message(fixture->node, LEADER, type, body, fixture->now_us);
}

struct fixture *fixture_new(void)
{
	static const char *const addresses[] = { "10.0.0.1:1", NULL };
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct node_opts node_opts = { .host = &fixture_host,
				       .host_ctx = fixture,
				       .node_id = 3,
				       .name = "side1",
				       .zone = "z" };
	struct runner_opts opts = { .host = &fixture_runner_ops,
				    .host_ctx = fixture,
				    .control_addresses = addresses };
	struct hello leader = { .node_id = LEADER, .role = ROLE_CONTROL };
	struct view view = { .term = 4, .whole = true };

	fixture->now_us = FIXTURE_START_US;
	fixture->fence = FIXTURE_FENCE;
	fixture->calls = g_array_new(FALSE, FALSE, sizeof(struct fixture_call));
	fixture->refused = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	fixture->node = node_new(&node_opts);
	fixture->runner = runner_new(fixture->node, &opts);
	node_start(fixture->node, fixture->now_us);
	node_peer_up(fixture->node, &leader, addresses[0], fixture->now_us);
	fixture_message(fixture, MSG_VIEW, &view);
	return fixture;
}

void fixture_free(struct fixture *fixture)
{
	node_free(fixture->node);
	g_array_unref(fixture->calls);
	g_array_unref(fixture->refused);
	g_free(fixture);
}

enum result fixture_heartbeat_of(struct fixture *fixture,
				 const struct worker_incarnation *incarnation,
				 const char *address, uint64_t seq)
{
	node_set_time(fixture->node, fixture->now_us);
	return runner_heartbeat(fixture->runner, incarnation, address, seq);
}

enum result fixture_heartbeat(struct fixture *fixture, uint64_t born_ms,
			      uint64_t seq, bool draining)
{
	struct worker_incarnation incarnation = { .id = "w",
						  .born_ms = born_ms };

	incarnation.draining = draining;
	return fixture_heartbeat_of(fixture, &incarnation, FIXTURE_ADDRESS,
				    seq);
}

/* Answers the call at index @a i if it is of this kind; else returns false. */
static bool fixture_answer_at(struct fixture *fixture, guint i,
			      enum exec_call_kind kind,
			      const struct exec_reply *reply,
			      struct fixture_call *answered)
{
	struct fixture_call call =
		g_array_index(fixture->calls, struct fixture_call, i);
	struct exec_reply advanced = *reply;

	if (call.kind != kind)
		return false;
	/* The agent tells incarnations apart by a clock that goes on. */
	if (reply->clock_ms == FIXTURE_CLOCK_MS)
		advanced.clock_ms +=
			(fixture->now_us - FIXTURE_START_US) / 1000;
	g_array_remove_index(fixture->calls, i);
	if (answered)
		*answered = call;
	node_set_time(fixture->node, fixture->now_us);
	runner_call_done(fixture->runner, call.nr, &advanced);
	return true;
}

bool fixture_answer(struct fixture *fixture, enum exec_call_kind kind,
		    const struct exec_reply *reply,
		    struct fixture_call *answered)
{
	for (guint i = 0; i < fixture->calls->len; i++)
		if (fixture_answer_at(fixture, i, kind, reply, answered))
			return true;
	return false;
}

bool fixture_answer_last_poll(struct fixture *fixture,
			      const struct exec_reply *reply,
			      struct fixture_call *answered)
{
	for (guint i = fixture->calls->len; i-- > 0;)
		if (fixture_answer_at(fixture, i, EXEC_POLL, reply, answered))
			return true;
	return false;
}

guint fixture_open_polls(const struct fixture *fixture)
{
	guint nr = 0;

	for (guint i = 0; i < fixture->calls->len; i++)
		nr += g_array_index(fixture->calls, struct fixture_call, i)
			      .kind == EXEC_POLL;
	return nr;
}

void fixture_restart_worker(struct fixture *fixture, uint64_t born_ms)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100 };

	list.born_ms = born_ms;
	ck_assert_int_eq(fixture_heartbeat(fixture, born_ms, 1, false),
			 RESULT_OK);
	ck_assert(fixture_answer_last_poll(fixture, &list, NULL));
}

void fixture_grant(struct fixture *fixture, uint64_t settled_nr)
{
	struct flow_grant grant = { .term = 4,
				    .lease_ms = 5000,
				    .fence = fixture->fence };

	grant.sent_us = fixture->now_us;
	TEXT_SET(grant.worker, "w");
	grant.born_ms = 1;
	grant.settled_nr = settled_nr;
	fixture_message(fixture, MSG_FLOW_GRANT, &grant);
}

void fixture_order(struct fixture *fixture, uint32_t action, uint32_t run,
		   bool filler, uint32_t target_ms)
{
	struct flow_order order = { .action = action, .run = run };
	struct flow_orders orders = { .term = 4, .born_ms = 1, .nr_orders = 1 };

	TEXT_SET(order.task, target_ms ? "ss.0.0.0" : TASK);
	order.repeated = fixture->repeated;
	order.fence = fixture->fence;
	order.filler = filler;
	order.target_ms = target_ms;
	TEXT_SET(orders.worker, "w");
	orders.orders = &order;
	fixture_message(fixture, MSG_FLOW_ORDERS, &orders);
}

struct fixture *fixture_ready(bool lease)
{
	struct exec_reply list = { .verdict = EXEC_DONE,
				   .clock_ms = FIXTURE_CLOCK_MS };
	struct fixture *fixture = fixture_new();

	fixture_heartbeat(fixture, 1, 1, false);
	/* The worker answers the probe; the first poll then lists its runs. */
	ck_assert(fixture_answer(fixture, EXEC_POLL, &list, NULL));
	ck_assert(fixture_answer(fixture, EXEC_POLL, &list, NULL));
	if (lease)
		fixture_grant(fixture, 0);
	return fixture;
}

const struct exec_reply fixture_done = { .verdict = EXEC_DONE,
					 .clock_ms = FIXTURE_CLOCK_MS };
const struct exec_reply fixture_no_answer = { .verdict = EXEC_NO_ANSWER };

void fixture_order_many(struct fixture *fixture, uint32_t action, uint32_t nr)
{
	struct flow_order *many = g_new0(struct flow_order, nr);
	struct flow_orders orders = { .term = 4,
				      .born_ms = 1,
				      .nr_orders = nr };

	for (uint32_t i = 0; i < nr; i++) {
		many[i].action = action;
		many[i].run = 1;
		many[i].fence = fixture->fence;
		g_snprintf(many[i].task, NAME_BYTES, "bb.0.0.%u", i);
	}
	TEXT_SET(orders.worker, "w");
	orders.orders = many;
	fixture_message(fixture, MSG_FLOW_ORDERS, &orders);
	g_free(many);
}

uint32_t fixture_answer_all(struct fixture *fixture, enum exec_call_kind kind)
{
	uint32_t nr = 0;

	for (uint32_t ms = 0; ms < 100; ms++) {
		ck_assert_uint_le(fixture->calls->len, RUNNER_CALLS_MAX + 1);
		while (fixture_answer(fixture, kind, &fixture_done, NULL))
			nr++;
		fixture_run_ms(fixture, 1);
	}
	return nr;
}
