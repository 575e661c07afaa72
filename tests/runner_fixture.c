#include "runner_fixture.h"

#include <check.h>
#include <string.h>

#define LEADER 7

static void bench_send(void *ctx, uint64_t node_id, uint32_t type,
		       const void *body)
{
	struct bench *bench = ctx;
	const struct flow_report *report = body;

	if (type != MSG_FLOW_REPORT)
		return;
	bench->report = *report;
	bench->ends_nr = 0;
	for (uint32_t i = 0; i < report->nr_ends; i++)
		bench->ends_nr = MAX(bench->ends_nr, report->ends[i].nr);
	for (uint32_t i = 0; i < report->nr_ends; i++)
		if (report->ends[i].end == FLOW_END_REFUSED)
			g_array_append_val(bench->refused, report->ends[i].run);
}

static void bench_dial(void *ctx, const char *address)
{
}

static void bench_close(void *ctx, uint64_t node_id)
{
}

static uint64_t bench_random(void *ctx)
{
	return 5;
}

static void bench_log(void *ctx, const char *line)
{
}

static const struct host_ops bench_host = {
	.send = bench_send,
	.dial = bench_dial,
	.close_peer = bench_close,
	.random_u64 = bench_random,
	.log_line = bench_log,
};

static void fixture_exec(void *ctx, uint64_t call_nr,
			 const struct exec_call *from)
{
	struct bench *bench = ctx;
	struct fixture_call call = { .nr = call_nr, .kind = from->kind };

	call.run = from->run;
	call.deadline_ms = from->deadline_ms;
	call.fence = from->fence;
	call.settled_nr = from->settled_nr;
	call.wait_ms = from->wait_ms;
	call.percent = from->percent;
	TEXT_SET(call.life, from->life);
	TEXT_SET(call.address, from->address);
	bench->nr_starts += from->kind == EXEC_START;
	bench->nr_stops += from->kind == EXEC_STOP;
	g_array_append_val(bench->calls, call);
}

static const struct runner_host_ops fixture_runner_ops = {
	.call = fixture_exec
};

void fixture_run_ms(struct bench *bench, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i++) {
		bench->now_us += 1000;
		node_run_timers(bench->node, bench->now_us);
	}
}

void bench_message(struct bench *bench, uint32_t type, const void *body)
{
	node_message(bench->node, LEADER, type, body, bench->now_us);
}

struct bench *fixture_new(void)
{
	static const char *const addresses[] = { "10.0.0.1:1", NULL };
	struct bench *bench = g_new0(struct bench, 1);
	struct node_opts node_opts = { .host = &bench_host,
				       .host_ctx = bench,
				       .node_id = 3,
				       .name = "side1",
				       .zone = "z" };
	struct runner_opts opts = { .host = &fixture_runner_ops,
				    .host_ctx = bench,
				    .control_addresses = addresses };
	struct hello leader = { .node_id = LEADER, .role = ROLE_CONTROL };
	struct view view = { .term = 4, .whole = true };

	bench->now_us = 1000000;
	bench->fence = FIXTURE_FENCE;
	bench->calls = g_array_new(FALSE, FALSE, sizeof(struct fixture_call));
	bench->refused = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	bench->node = node_new(&node_opts);
	bench->runner = runner_new(bench->node, &opts);
	node_start(bench->node, bench->now_us);
	node_peer_up(bench->node, &leader, addresses[0], bench->now_us);
	bench_message(bench, MSG_VIEW, &view);
	return bench;
}

void fixture_free(struct bench *bench)
{
	node_free(bench->node);
	g_array_unref(bench->calls);
	g_array_unref(bench->refused);
	g_free(bench);
}

enum result fixture_heartbeat_of(struct bench *bench,
				 const struct worker_incarnation *life,
				 const char *address, uint64_t seq)
{
	node_set_time(bench->node, bench->now_us);
	return runner_heartbeat(bench->runner, life, address, seq);
}

enum result fixture_heartbeat(struct bench *bench, uint64_t born_ms,
			      uint64_t seq, bool draining)
{
	struct worker_incarnation life = { .id = "w", .born_ms = born_ms };

	life.draining = draining;
	return fixture_heartbeat_of(bench, &life, FIXTURE_ADDRESS, seq);
}

/* Answers the call if it is of the kind. */
static bool fixture_answer_at(struct bench *bench, guint i,
			      enum exec_call_kind kind,
			      const struct exec_reply *reply,
			      struct fixture_call *taken)
{
	struct fixture_call call =
		g_array_index(bench->calls, struct fixture_call, i);

	if (call.kind != kind)
		return false;
	g_array_remove_index(bench->calls, i);
	if (taken)
		*taken = call;
	node_set_time(bench->node, bench->now_us);
	runner_call_done(bench->runner, call.nr, reply);
	return true;
}

bool fixture_answer(struct bench *bench, enum exec_call_kind kind,
		    const struct exec_reply *reply, struct fixture_call *taken)
{
	for (guint i = 0; i < bench->calls->len; i++)
		if (fixture_answer_at(bench, i, kind, reply, taken))
			return true;
	return false;
}

bool fixture_answer_last_poll(struct bench *bench,
			      const struct exec_reply *reply,
			      struct fixture_call *taken)
{
	for (guint i = bench->calls->len; i-- > 0;)
		if (fixture_answer_at(bench, i, EXEC_POLL, reply, taken))
			return true;
	return false;
}

guint fixture_open_polls(const struct bench *bench)
{
	guint nr = 0;

	for (guint i = 0; i < bench->calls->len; i++)
		nr += g_array_index(bench->calls, struct fixture_call, i)
			      .kind == EXEC_POLL;
	return nr;
}

void fixture_restart_worker(struct bench *bench, uint64_t born_ms)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100 };

	list.born_ms = born_ms;
	ck_assert_int_eq(fixture_heartbeat(bench, born_ms, 1, false),
			 RESULT_OK);
	ck_assert(fixture_answer_last_poll(bench, &list, NULL));
}

void fixture_grant(struct bench *bench, uint64_t settled_nr)
{
	struct flow_grant grant = { .term = 4,
				    .lease_ms = 5000,
				    .fence = bench->fence };

	grant.sent_us = bench->now_us;
	TEXT_SET(grant.worker, "w");
	grant.born_ms = 1;
	grant.settled_nr = settled_nr;
	bench_message(bench, MSG_FLOW_GRANT, &grant);
}

void fixture_order(struct bench *bench, uint32_t action, uint32_t run,
		   bool filler, uint32_t target_ms)
{
	struct flow_order order = { .action = action, .run = run };
	struct flow_orders orders = { .term = 4, .born_ms = 1, .nr_orders = 1 };

	TEXT_SET(order.task, target_ms ? "ss.0.0.0" : TASK);
	order.repeated = bench->repeated;
	order.fence = bench->fence;
	order.filler = filler;
	order.target_ms = target_ms;
	TEXT_SET(orders.worker, "w");
	orders.orders = &order;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
}

struct bench *fixture_ready(bool lease)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100000 };
	struct bench *bench = fixture_new();

	fixture_heartbeat(bench, 1, 1, false);
	/* It answers, so it is taken; the next look lists its runs. */
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	if (lease)
		fixture_grant(bench, 0);
	return bench;
}

const struct exec_reply fixture_done = { .verdict = EXEC_DONE,
					 .clock_ms = 100000 };
const struct exec_reply fixture_no_answer = { .verdict = EXEC_NO_ANSWER };

void fixture_order_many(struct bench *bench, uint32_t action, uint32_t nr)
{
	struct flow_order *many = g_new0(struct flow_order, nr);
	struct flow_orders orders = { .term = 4,
				      .born_ms = 1,
				      .nr_orders = nr };

	for (uint32_t i = 0; i < nr; i++) {
		many[i].action = action;
		many[i].run = 1;
		many[i].fence = bench->fence;
		g_snprintf(many[i].task, NAME_BYTES, "bb.0.0.%u", i);
	}
	TEXT_SET(orders.worker, "w");
	orders.orders = many;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
	g_free(many);
}

uint32_t fixture_answer_all(struct bench *bench, enum exec_call_kind kind)
{
	uint32_t nr = 0;

	for (uint32_t ms = 0; ms < 100; ms++) {
		ck_assert_uint_le(bench->calls->len, RUNNER_CALLS_MAX + 1);
		while (fixture_answer(bench, kind, &fixture_done, NULL))
			nr++;
		fixture_run_ms(bench, 1);
	}
	return nr;
}
