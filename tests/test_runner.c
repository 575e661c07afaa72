/**
 * @file test_runner.c
 * The agent's part in workflows, call by call: the test plays the leader and
 * the worker.
 */

#include <string.h>

#include "msg_control.h"
#include "runner.h"
#include "suite.h"
#include "tunables.h"

#define LEADER 7
#define TASK "aa.0.0.0"
#define BENCH_FENCE (4 * FLOW_FENCES_PER_TERM + 3)

/* What the runner did last. */
struct bench {
	struct node *node;
	struct runner *runner;
	uint64_t now_us;
	GArray *calls; /* struct bench_call not answered yet */
	struct flow_report report; /* the last one */
	uint64_t ends_nr; /* highest number of an end in it */
	GArray *refused; /* run numbers that reports said not to start */
	uint32_t nr_starts;
	uint32_t nr_stops;
	bool repeated; /* orders say that an earlier agent may have had them */
	uint64_t fence; /* of the leader's grants and orders */
};

struct bench_call {
	uint64_t nr;
	enum exec_call_kind kind;
	uint32_t run;
	uint64_t deadline_ms;
	uint64_t fence;
	uint64_t settled_nr;
	uint32_t wait_ms;
	uint32_t percent;
	char life[NAME_BYTES];
	char address[ADDRESS_BYTES];
};

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

static void bench_exec(void *ctx, uint64_t call_nr,
		       const struct exec_call *from)
{
	struct bench *bench = ctx;
	struct bench_call call = { .nr = call_nr, .kind = from->kind };

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

static const struct runner_host_ops bench_runner_ops = { .call = bench_exec };

static void bench_run_ms(struct bench *bench, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i++) {
		bench->now_us += 1000;
		node_run_timers(bench->node, bench->now_us);
	}
}

static void bench_message(struct bench *bench, uint32_t type, const void *body)
{
	node_message(bench->node, LEADER, type, body, bench->now_us);
}

static struct bench *bench_new(void)
{
	static const char *const addresses[] = { "10.0.0.1:1", NULL };
	struct bench *bench = g_new0(struct bench, 1);
	struct node_opts node_opts = { .host = &bench_host,
				       .host_ctx = bench,
				       .node_id = 3,
				       .name = "side1",
				       .zone = "z" };
	struct runner_opts opts = { .host = &bench_runner_ops,
				    .host_ctx = bench,
				    .control_addresses = addresses };
	struct hello leader = { .node_id = LEADER, .role = ROLE_CONTROL };
	struct view view = { .term = 4, .whole = true };

	bench->now_us = 1000000;
	bench->fence = BENCH_FENCE;
	bench->calls = g_array_new(FALSE, FALSE, sizeof(struct bench_call));
	bench->refused = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	bench->node = node_new(&node_opts);
	bench->runner = runner_new(bench->node, &opts);
	node_start(bench->node, bench->now_us);
	node_peer_up(bench->node, &leader, addresses[0], bench->now_us);
	bench_message(bench, MSG_VIEW, &view);
	return bench;
}

static void bench_free(struct bench *bench)
{
	node_free(bench->node);
	g_array_unref(bench->calls);
	g_array_unref(bench->refused);
	g_free(bench);
}

#define BENCH_ADDRESS "10.0.0.9:1"

static enum result bench_beat_of(struct bench *bench,
				 const struct worker_life *life,
				 const char *address, uint64_t seq)
{
	node_set_time(bench->node, bench->now_us);
	return runner_heartbeat(bench->runner, life, address, seq);
}

static enum result bench_beat(struct bench *bench, uint64_t born_ms,
			      uint64_t seq, bool draining)
{
	struct worker_life life = { .id = "w", .born_ms = born_ms };

	life.draining = draining;
	return bench_beat_of(bench, &life, BENCH_ADDRESS, seq);
}

/* Answers the oldest call of a kind; false if there is none. */
static bool bench_answer(struct bench *bench, enum exec_call_kind kind,
			 const struct exec_reply *reply,
			 struct bench_call *taken)
{
	for (guint i = 0; i < bench->calls->len; i++) {
		struct bench_call call =
			g_array_index(bench->calls, struct bench_call, i);

		if (call.kind != kind)
			continue;
		g_array_remove_index(bench->calls, i);
		if (taken)
			*taken = call;
		node_set_time(bench->node, bench->now_us);
		runner_call_done(bench->runner, call.nr, reply);
		return true;
	}
	return false;
}

/* Answers the last look; false if there is none. */
static bool bench_answer_last(struct bench *bench,
			      const struct exec_reply *reply,
			      struct bench_call *taken)
{
	for (guint i = bench->calls->len; i-- > 0;) {
		struct bench_call call =
			g_array_index(bench->calls, struct bench_call, i);

		if (call.kind != EXEC_HOLD)
			continue;
		g_array_remove_index(bench->calls, i);
		if (taken)
			*taken = call;
		node_set_time(bench->node, bench->now_us);
		runner_call_done(bench->runner, call.nr, reply);
		return true;
	}
	return false;
}

/* Number of looks without an answer so far. */
static guint bench_looks(const struct bench *bench)
{
	guint nr = 0;

	for (guint i = 0; i < bench->calls->len; i++)
		nr += g_array_index(bench->calls, struct bench_call, i).kind ==
		      EXEC_HOLD;
	return nr;
}

/* A later life under the same identity reports and answers the look at it. */
static void bench_reborn(struct bench *bench, uint64_t born_ms)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100 };

	list.born_ms = born_ms;
	ck_assert_int_eq(bench_beat(bench, born_ms, 1, false), RESULT_OK);
	ck_assert(bench_answer_last(bench, &list, NULL));
}

static void bench_grant(struct bench *bench, uint64_t settled_nr)
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

static void bench_order(struct bench *bench, uint32_t action, uint32_t run,
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

/* A worker that has been looked at, with or without a lease. */
static struct bench *bench_ready(bool lease)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100000 };
	struct bench *bench = bench_new();

	bench_beat(bench, 1, 1, false);
	/* It answers, so it is taken; the next look lists its runs. */
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	if (lease)
		bench_grant(bench, 0);
	return bench;
}

static const struct exec_reply done = { .verdict = EXEC_DONE,
					.clock_ms = 100000 };
static const struct exec_reply silence = { .verdict = EXEC_NO_ANSWER };

/* Guards against a duplicate order that starts what was refused before. */
START_TEST(test_refusal_is_kept)
{
	struct bench *bench = bench_ready(false);

	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 0);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_grant(bench, 0);
	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 0);
	/* The next run may start. */
	bench_order(bench, FLOW_START, 2, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 1);
	bench_free(bench);
}
END_TEST

/* Guards against an agent that refuses orders before it knows its worker. */
START_TEST(test_orders_before_heartbeat)
{
	struct bench *bench = bench_new();

	bench_order(bench, FLOW_STOP, 1, false, 0);
	bench_order(bench, FLOW_START, 1, false, 0);
	bench_run_ms(bench, 1100);
	ck_assert_uint_eq(bench->refused->len, 0);
	bench_free(bench);
}
END_TEST

/* Guards against "never started" before the worker has forbidden the run. */
START_TEST(test_unanswered_start)
{
	struct bench *bench = bench_ready(true);

	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &silence, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_stops, 1);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(bench_answer(bench, EXEC_STOP, &silence, NULL));
	bench_run_ms(bench, 600);
	ck_assert_uint_eq(bench->nr_stops, 2);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(bench_answer(bench, EXEC_STOP, &done, NULL));
	bench_run_ms(bench, 20);
	/* The look under way was sent before the stop: it proves nothing. */
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_free(bench);
}
END_TEST

/* Guards against a lease on a slow clock that outlives the grant. */
START_TEST(test_deadline_on_slow_clock)
{
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };

	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &done, &call));
	ck_assert_uint_eq(call.fence, BENCH_FENCE);
	/* 5,000 ms of lease from the clock 100,000, which may be 2 % slow. */
	ck_assert_uint_le(call.deadline_ms, 100000 + 4900);
	ck_assert_uint_ge(call.deadline_ms, 100000 + 4000);
	/* Without another grant, the lease isn't extended. */
	bench_run_ms(bench, 4500);
	bench_order(bench, FLOW_START, 2, false, 0);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a call that the host never answers: the agent looked no more,
 * and its worker's lease lapsed (Dorado, hunt-b2b8-35).
 */
START_TEST(test_call_without_end)
{
	struct bench *bench = bench_ready(true);
	guint holds = 0;

	bench_run_ms(bench, 20);
	for (guint i = 0; i < bench->calls->len; i++)
		holds += g_array_index(bench->calls, struct bench_call, i)
				 .kind == EXEC_HOLD;
	ck_assert_uint_eq(holds, 1);
	bench_run_ms(bench, 4500);
	ck_assert(!bench->report.reachable);
	/* It looks again, and the worker answers. */
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert(bench->report.reachable);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a VM without grants and new tasks for 300 ms after each lost
 * call (Dorado, scale-1).
 */
START_TEST(test_one_look_without_answer)
{
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };

	bench_run_ms(bench, 1600);
	ck_assert(bench_answer(bench, EXEC_HOLD, &silence, NULL));
	bench_run_ms(bench, 20);
	ck_assert(!bench->report.reachable);
	/* The next look doesn't wait for an end, and extends nothing. */
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, &call));
	ck_assert_uint_eq(call.wait_ms, 0);
	ck_assert_uint_eq(call.deadline_ms, 0);
	bench_run_ms(bench, 20);
	ck_assert(bench->report.reachable);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, &call));
	ck_assert_uint_gt(call.wait_ms, 0);
	bench_free(bench);
}
END_TEST

/* Guards against a stream of calls to a worker that is gone. */
START_TEST(test_looks_without_answers)
{
	struct bench *bench = bench_ready(true);

	bench_run_ms(bench, 1600);
	ck_assert(bench_answer(bench, EXEC_HOLD, &silence, NULL));
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &silence, NULL));
	bench_run_ms(bench, 200);
	ck_assert(!bench_answer(bench, EXEC_HOLD, &silence, NULL));
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &silence, NULL));
	ck_assert(!bench->report.reachable);
	bench_free(bench);
}
END_TEST

/* Guards against reports of an earlier life or an overtaken one. */
START_TEST(test_stale_heartbeats)
{
	struct bench *bench = bench_ready(true);

	ck_assert_int_eq(bench_beat(bench, 1, 1, false), RESULT_STALE);
	ck_assert_int_eq(bench_beat(bench, 0, 9, false), RESULT_STALE);
	ck_assert_int_eq(bench_beat(bench, 1, 2, true), RESULT_OK);
	/* A worker that leaves doesn't come back in this life. */
	ck_assert_int_eq(bench_beat(bench, 1, 3, false), RESULT_OK);
	bench_order(bench, FLOW_START, 1, false, 0);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 1);
	ck_assert(bench->report.worker.draining);
	bench_free(bench);
}
END_TEST

/* Guards against ends that the worker forgets before the log has them. */
START_TEST(test_ends_wait_for_the_log)
{
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
	ck_assert_uint_eq(call.settled_nr, 0);
	bench_run_ms(bench, 200);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
	ck_assert_uint_eq(call.settled_nr, 0);
	bench_run_ms(bench, 20);
	bench_grant(bench, 5);
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, &call));
	ck_assert_uint_eq(call.settled_nr, 5);
	bench_free(bench);
}
END_TEST

/*
 * Guards against "never started" for a run that the worker refuses as old: it
 * may have ended as done there, so its end decides.
 */
START_TEST(test_old_run_is_settled_by_lists)
{
	static const struct exec_reply old = { .verdict = EXEC_REFUSED,
					       .result = RESULT_CONFLICT };
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	bench_run_ms(bench, 20);
	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &old, NULL));
	/* A look that was asked for before says nothing. */
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	/* A run that is on neither list was stopped before it came. */
	bench_order(bench, FLOW_START, 2, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &old, NULL));
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	ck_assert_uint_eq(bench->nr_stops, 0);
	bench_free(bench);
}
END_TEST

/*
 * Guards against "never started" for a run whose start an earlier agent has
 * called: the worker may carry that call out later (soak 33, small).
 */
START_TEST(test_repeated_start_is_stopped)
{
	static const struct exec_reply refusals[] = {
		{ .verdict = EXEC_NOT_SENT },
		{ .verdict = EXEC_REFUSED, .result = RESULT_NO_CAPACITY },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct bench *bench = bench_ready(true);

		bench->repeated = true;
		bench_order(bench, FLOW_START, 1, false, 0);
		ck_assert(bench_answer(bench, EXEC_START, &refusals[i], NULL));
		bench_run_ms(bench, 20);
		ck_assert_uint_eq(bench->refused->len, 0);
		ck_assert_uint_eq(bench->nr_stops, 1);
		/* The stop forbids the run, and a look shows that it isn't
		 * there. */
		ck_assert(bench_answer(bench, EXEC_STOP, &done, NULL));
		bench_answer(bench, EXEC_HOLD, &done, NULL);
		bench_run_ms(bench, 20);
		ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
		bench_run_ms(bench, 20);
		ck_assert_uint_eq(bench->refused->len, 1);
		bench_free(bench);
	}
}
END_TEST

/* A worker with one run, whose look waits for an end. */
static struct bench *bench_busy(void)
{
	struct bench *bench = bench_ready(true);

	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	return bench;
}

/* The present worker is known, keeps its run, and its lease is renewed. */
static void check_busy(struct bench *bench)
{
	struct flow_run run = { .run = 1, .percent = 50 };
	struct exec_reply list = done;
	struct bench_call call = { 0 };

	TEXT_SET(run.task, TASK);
	list.born_ms = 1;
	list.nr_runs = 1;
	list.runs = &run;
	bench_grant(bench, 0);
	bench_run_ms(bench, 20);
	/* The first may have been asked for before the grant. */
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
		bench_run_ms(bench, 20);
	}
	ck_assert_str_eq(call.life, "w");
	ck_assert_str_eq(call.address, BENCH_ADDRESS);
	ck_assert_uint_gt(call.deadline_ms, 100000 + 4000);
	bench_run_ms(bench, 1100);
	ck_assert_str_eq(bench->report.worker.id, "w");
	ck_assert_uint_eq(bench->report.worker.born_ms, 1);
	ck_assert(!bench->report.worker.ended);
	ck_assert(bench->report.reachable && bench->report.looked);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	ck_assert_uint_eq(bench->refused->len, 0);
}

/*
 * Guards against a status report of another writer that makes the agent forget
 * a sound worker and its runs: the leader placed them elsewhere while they went
 * on, and no later report of the worker was heard (issue 20, TWICE).
 */
START_TEST(test_odd_report_of_other_life)
{
	static const struct worker_life lives[] = {
		{ .id = "other", .born_ms = 2 },
		{ .id = "other", .born_ms = 9007199254740992 },
		{ .id = "w", .born_ms = 2 },
		{ .id = "w", .born_ms = 9007199254740992 },
	};
	static const struct exec_reply replies[] = {
		{ .verdict = EXEC_NOT_SENT, .closed = true },
		{ .verdict = EXEC_OTHER_LIFE },
		{ .verdict = EXEC_DONE, .clock_ms = 5, .born_ms = 1 },
		{ .verdict = EXEC_REFUSED, .born_ms = 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lives); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(replies); j++) {
			struct bench *bench = bench_busy();
			struct bench_call call = { 0 };
			uint64_t seq = 1;

			bench_beat_of(bench, &lives[i], "10.0.0.7:5", 9);
			ck_assert_uint_eq(bench_looks(bench), 2);
			ck_assert(bench_answer_last(bench, &replies[j], &call));
			ck_assert_str_eq(call.life, lives[i].id);
			ck_assert_str_eq(call.address, "10.0.0.7:5");
			ck_assert_uint_eq(call.deadline_ms, 0);
			ck_assert_uint_eq(call.settled_nr, 0);
			ck_assert_uint_eq(call.wait_ms, 0);
			check_busy(bench);
			/* The worker is heard as before. */
			ck_assert_int_eq(bench_beat(bench, 1, ++seq, true),
					 RESULT_OK);
			bench_run_ms(bench, 20);
			ck_assert(bench->report.worker.draining);
			bench_free(bench);
		}
	}
}
END_TEST

/* Guards against a refusal without a life that is taken for the new one. */
START_TEST(test_refusal_names_no_life)
{
	static const struct exec_reply refused = {
		.verdict = EXEC_REFUSED, .result = RESULT_OVERLOADED
	};
	struct bench *bench = bench_busy();

	bench_beat(bench, 2, 1, false);
	ck_assert(bench_answer_last(bench, &refused, NULL));
	check_busy(bench);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a silent candidate that ends the present worker, and against
 * a new life that is left out since one call to it was lost.
 */
START_TEST(test_silent_candidate)
{
	struct worker_life other = { .id = "other", .born_ms = 2 };
	struct bench *bench = bench_busy();
	struct exec_reply list = done;

	bench_beat_of(bench, &other, "10.0.0.7:5", 1);
	ck_assert(bench_answer_last(bench, &silence, NULL));
	ck_assert_uint_eq(bench_looks(bench), 2);
	ck_assert(bench_answer_last(bench, &silence, NULL));
	ck_assert_uint_eq(bench_looks(bench), 1);
	check_busy(bench);
	/* The next report brings it again. */
	bench_beat_of(bench, &other, "10.0.0.7:5", 2);
	ck_assert(bench_answer_last(bench, &silence, NULL));
	list.born_ms = 2;
	ck_assert(bench_answer_last(bench, &list, NULL));
	ck_assert(bench_answer_last(bench, &list, NULL));
	bench_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "other");
	ck_assert(bench->report.reachable && bench->report.looked);
	ck_assert_uint_eq(bench->report.nr_runs, 0);
	bench_free(bench);
}
END_TEST

/* Guards against a new life that waits for the look at an odd candidate. */
START_TEST(test_later_candidate_goes_first)
{
	struct worker_life odd = { .id = "odd", .born_ms = 9007199254740992 };
	struct worker_life real = { .id = "v", .born_ms = 7 };
	struct exec_reply list = done;
	struct bench *bench = bench_busy();
	struct bench_call call = { 0 };

	bench_beat_of(bench, &odd, "10.0.0.7:5", 1);
	bench_beat_of(bench, &real, "10.0.0.8:1", 1);
	list.born_ms = 7;
	ck_assert(bench_answer_last(bench, &list, &call));
	ck_assert_str_eq(call.life, "v");
	bench_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "v");
	/* What comes of the earlier one changes nothing. */
	list.born_ms = odd.born_ms;
	while (bench_answer(bench, EXEC_HOLD, &list, &call) &&
	       strcmp(call.life, "odd") != 0)
		;
	bench_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "v");
	/* Reports without number leave the calls bounded. */
	for (uint32_t i = 0; i < 100; i++) {
		odd.born_ms--;
		bench_beat_of(bench, &odd, "10.0.0.7:5", 1);
	}
	ck_assert_uint_le(bench_looks(bench), 1 + RUNNER_CANDIDATES_MAX);
	bench_free(bench);
}
END_TEST

/* Guards against traffic that waits for the second report of a worker. */
START_TEST(test_first_life)
{
	struct exec_reply list = done;
	struct bench *bench = bench_new();
	struct bench_call call = { 0 };

	ck_assert_int_eq(bench_beat(bench, 1, 1, false), RESULT_OK);
	list.born_ms = 1;
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
	ck_assert_str_eq(call.life, "w");
	ck_assert_uint_eq(call.deadline_ms, 0);
	/* The next one lists its runs, and goes out at once. */
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
	ck_assert_uint_eq(call.deadline_ms, 0);
	ck_assert_uint_eq(call.wait_ms, 0);
	bench_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "w");
	ck_assert(bench->report.reachable && bench->report.looked);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a sound worker whose reports are stale for good, as an odd
 * life was taken first or as its clock was set back: nothing is started there.
 */
START_TEST(test_earlier_life_that_answers)
{
	static const struct exec_reply refused = { .verdict = EXEC_REFUSED,
						   .result = RESULT_STALE };

	for (uint32_t odd = 0; odd < 2; odd++) {
		struct bench *bench = bench_new();
		struct exec_reply list = done;
		struct exec_reply first = odd ? refused : done;
		uint64_t born_ms = odd ? 9007199254740992 : 5;

		/* A worker refuses the look of an agent that knows no term. */
		bench_beat(bench, born_ms, 1, false);
		ck_assert(bench_answer(bench, EXEC_HOLD, &first, NULL));
		ck_assert(bench_answer(bench, EXEC_HOLD, &first, NULL));
		ck_assert_int_eq(bench_beat(bench, 3, 1, false), RESULT_STALE);
		bench_run_ms(bench, 310);
		ck_assert_uint_eq(bench->report.worker.born_ms, born_ms);
		list.born_ms = 3;
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
		ck_assert_int_eq(bench_beat(bench, 3, 2, false), RESULT_OK);
		ck_assert(bench_answer_last(bench, &list, NULL));
		ck_assert(bench_answer_last(bench, &list, NULL));
		bench_run_ms(bench, 5);
		ck_assert_uint_eq(bench->report.worker.born_ms, 3);
		ck_assert(bench->report.reachable && bench->report.looked);
		/* One that doesn't answer is left where it is. */
		ck_assert(bench_answer_last(bench, &silence, NULL));
		ck_assert_int_eq(bench_beat(bench, 2, 9, false), RESULT_OK);
		ck_assert(bench_answer_last(bench, &list, NULL));
		bench_run_ms(bench, 20);
		ck_assert_uint_eq(bench->report.worker.born_ms, 3);
		bench_free(bench);
	}
}
END_TEST

/*
 * Guards against calls that go to an address which another writer has named for
 * the present worker.
 */
START_TEST(test_odd_address)
{
	static const struct exec_reply closed = { .verdict = EXEC_NOT_SENT,
						  .closed = true };
	struct worker_life life = { .id = "w", .born_ms = 1 };
	struct exec_reply list = done;
	struct bench *bench = bench_busy();
	struct bench_call call = { 0 };

	bench_beat_of(bench, &life, "10.0.0.7:5", 9);
	ck_assert(bench_answer_last(bench, &closed, &call));
	ck_assert_str_eq(call.address, "10.0.0.7:5");
	check_busy(bench);
	ck_assert_int_eq(bench_beat(bench, 1, 2, false), RESULT_OK);
	/* One where the worker answers is taken, and its runs go on. */
	bench_beat_of(bench, &life, "10.0.0.7:6", 10);
	list.born_ms = 1;
	ck_assert(bench_answer_last(bench, &list, &call));
	bench_order(bench, FLOW_STOP, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_STOP, &done, &call));
	ck_assert_str_eq(call.address, "10.0.0.7:6");
	ck_assert_uint_eq(bench->refused->len, 0);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a number far too large that makes all later reports of the
 * life stale, whether the first report heard has it or a later one.
 */
START_TEST(test_odd_seq)
{
	for (uint32_t first = 0; first < 2; first++) {
		struct exec_reply list = done;
		struct bench *bench = bench_new();
		struct worker_life life = { .id = "w", .born_ms = 1 };
		uint64_t seq = first ? 1 : 5;

		list.born_ms = 1;
		if (!first)
			bench_beat(bench, 1, 4, false);
		else
			bench_beat(bench, 1, 9007199254740992, false);
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
		if (!first)
			ck_assert_int_eq(bench_beat(bench, 1, 9007199254740992,
						    false),
					 RESULT_OK);
		life.cpu_millis = 7000;
		/* Late ones that are overtaken again don't count. */
		for (uint32_t i = 0; i < 9; i++)
			ck_assert_int_eq(bench_beat(bench, 1, 3 - i % 2, false),
					 RESULT_STALE);
		for (uint32_t i = 0; i < HEARTBEATS_RISING; i++)
			bench_beat_of(bench, &life, BENCH_ADDRESS, seq++);
		ck_assert_int_eq(bench_beat_of(bench, &life, BENCH_ADDRESS,
					       seq),
				 RESULT_OK);
		bench_run_ms(bench, 1100);
		ck_assert_uint_eq(bench->report.worker.cpu_millis, 7000);
		/* An overtaken report stays one. */
		ck_assert_int_eq(bench_beat(bench, 1, seq - 1, false),
				 RESULT_STALE);
		bench_free(bench);
	}
}
END_TEST

/*
 * Guards against a worker that leaves and isn't heard, as its reports count as
 * overtaken: it got new tasks (DRAIN).
 */
START_TEST(test_stale_report_of_draining)
{
	struct bench *bench = bench_ready(true);

	bench_beat(bench, 1, 9007199254740992, false);
	ck_assert_int_eq(bench_beat(bench, 1, 3, true), RESULT_STALE);
	bench_run_ms(bench, 5);
	ck_assert(bench->report.worker.draining);
	bench_order(bench, FLOW_START, 1, false, 0);
	bench_run_ms(bench, 5);
	ck_assert_uint_eq(bench->nr_starts, 0);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a deregistration by another writer that ends a sound worker:
 * its runs were placed elsewhere while they went on (TWICE).
 */
START_TEST(test_odd_deregistration)
{
	static const struct exec_reply cut = { .verdict = EXEC_NOT_SENT };
	struct bench *bench = bench_busy();
	struct exec_reply list = done;
	struct flow_run run = { .run = 1, .percent = 50 };

	TEXT_SET(run.task, TASK);
	list.born_ms = 1;
	list.nr_runs = 1;
	list.runs = &run;
	runner_deregister(bench->runner, "w", 0);
	bench_run_ms(bench, 5);
	/* Nothing is started there until it is known to go on. */
	ck_assert(bench->report.worker.draining);
	ck_assert(!bench->report.worker.ended);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	/* Calls are lost on the way to a sound worker, too. */
	for (uint32_t i = 0; i < 6; i++) {
		ck_assert(bench_answer_last(bench, i % 2 ? &silence : &cut,
					    NULL));
		bench_run_ms(bench, 110);
	}
	for (uint32_t ms = 0; ms < 3000; ms += 10) {
		if (ms % 1000 == 0)
			bench_grant(bench, 0);
		while (bench_answer_last(bench, &list, NULL))
			;
		bench_run_ms(bench, 10);
		ck_assert(!bench->report.worker.ended);
	}
	ck_assert(!bench->report.worker.draining);
	check_busy(bench);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a worker that ends right after it has said so and whose tasks
 * wait for its lease.
 */
START_TEST(test_deregistration)
{
	static const struct exec_reply replies[] = {
		{ .verdict = EXEC_NOT_SENT, .closed = true },
		{ .verdict = EXEC_OTHER_LIFE },
		{ .verdict = EXEC_DONE, .clock_ms = 5, .born_ms = 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		struct bench *bench = bench_busy();
		struct exec_reply list = done;

		bench_beat(bench, 1, 2, true);
		list.born_ms = 1;
		runner_deregister(bench->runner, "w", 1);
		/* It may answer once more before it ends. */
		ck_assert(bench_answer_last(bench, &list, NULL));
		ck_assert(!bench->report.worker.ended);
		bench_run_ms(bench, 110);
		ck_assert(bench_answer_last(bench, &replies[i], NULL));
		bench_run_ms(bench, 5);
		ck_assert(bench->report.worker.ended);
		ck_assert_uint_eq(bench->report.nr_runs, 0);
		/* A report of it that was held up brings nothing back. */
		ck_assert_int_eq(bench_beat(bench, 1, 1, false), RESULT_STALE);
		bench_free(bench);
	}
}
END_TEST

/* Sends @a nr orders in one message, each for a task of its own. */
static void bench_order_many(struct bench *bench, uint32_t action, uint32_t nr)
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

/* Answers calls of the kind until no more come; checks how many are open. */
static uint32_t bench_answer_all(struct bench *bench, enum exec_call_kind kind)
{
	uint32_t nr = 0;

	for (uint32_t ms = 0; ms < 100; ms++) {
		ck_assert_uint_le(bench->calls->len, RUNNER_CALLS_MAX + 1);
		while (bench_answer(bench, kind, &done, NULL))
			nr++;
		bench_run_ms(bench, 1);
	}
	return nr;
}

/*
 * Guards against calls by the thousand that keep a look, and with it the
 * renewal of the lease, waiting for a connection (soak 5, small: 27,600 calls
 * stuck).
 */
START_TEST(test_calls_are_bounded)
{
	struct bench *bench = bench_ready(true);

	bench_run_ms(bench, 20);
	bench_order_many(bench, FLOW_START, 200);
	ck_assert_uint_eq(bench_answer_all(bench, EXEC_START), 200);
	bench_order_many(bench, FLOW_STOP, 200);
	ck_assert_uint_eq(bench_answer_all(bench, EXEC_STOP), 200);
	bench_free(bench);
}
END_TEST

/*
 * Guards against "never started" for a run whose end doesn't fit the list: a
 * worker lists 500 ends at a time.
 */
START_TEST(test_full_list_of_ends)
{
	struct flow_run_end *ends = g_new0(struct flow_run_end, 500);
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);

	for (uint32_t i = 0; i < 500; i++) {
		ends[i].nr = i + 1;
		ends[i].run = 1;
		ends[i].end = FLOW_END_DONE;
		g_snprintf(ends[i].task, NAME_BYTES, "bb.0.0.%u", i);
	}
	list.nr_ends = 500;
	list.ends = ends;
	bench_run_ms(bench, 20);
	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &done, NULL));
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	list.nr_ends = 499;
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_free(bench);
	g_free(ends);
}
END_TEST

/*
 * Guards against "never started" for a run that a row hides which can't be
 * read, and against a lease that isn't renewed because of such a row.
 */
START_TEST(test_rows_that_cannot_be_read)
{
	struct flow_run_end end = { .nr = 1, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };

	TEXT_SET(end.task, "bb.0.0.0");
	list.nr_ends = 1;
	list.ends = &end;
	bench_run_ms(bench, 20);
	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &done, NULL));
	list.nr_unread_runs = 1;
	for (uint32_t i = 0; i < 3; i++) {
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
		bench_run_ms(bench, 200);
	}
	list.nr_unread_runs = 0;
	list.nr_unread_ends = 1;
	list.unread_nr = 2;
	for (uint32_t i = 0; i < 3; i++) {
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, &call));
		bench_run_ms(bench, 200);
	}
	ck_assert_uint_ne(call.deadline_ms, 0);
	ck_assert_uint_eq(bench->refused->len, 0);
	bench_run_ms(bench, 1000);
	ck_assert(bench->report.reachable);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	list.nr_unread_ends = 0;
	list.unread_nr = 0;
	for (uint32_t i = 0; i < 2; i++) {
		bench_answer(bench, EXEC_HOLD, &list, NULL);
		bench_run_ms(bench, 200);
	}
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_free(bench);
}
END_TEST

/* Ends from number 59 on. */
static void fill_ends(struct flow_run_end *ends, uint32_t nr)
{
	for (uint32_t i = 0; i < nr; i++) {
		ends[i].nr = i + 59;
		ends[i].run = 1;
		ends[i].end = FLOW_END_DONE;
		g_snprintf(ends[i].task, NAME_BYTES, "bb.0.0.%u", i);
	}
}

/*
 * Guards against an end that the worker is told to forget though it couldn't be
 * read, by the leader's number of a later one, and against looks without a
 * pause while it is listed.
 */
START_TEST(test_end_that_cannot_be_read)
{
	struct flow_run_end *ends = g_new0(struct flow_run_end, 2);
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };
	uint32_t nr_looks = 0;

	fill_ends(ends, 2);
	list.ends = ends;
	list.nr_ends = 2;
	list.nr_unread_ends = 1;
	list.unread_nr = 58;
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 200);
	/* The leader takes both ends and can settle neither. */
	ck_assert_uint_eq(bench->report.nr_ends, 2);
	ck_assert_uint_eq(bench->ends_nr, 0);
	bench_grant(bench, 60);
	for (uint32_t ms = 0; ms < 1000; ms++) {
		bench_run_ms(bench, 1);
		nr_looks += bench_answer(bench, EXEC_HOLD, &list, &call);
		ck_assert_uint_le(call.settled_nr, 57);
	}
	ck_assert_uint_ge(nr_looks, 5);
	ck_assert_uint_le(nr_looks, 1000 / HOLD_ENDS_MS + 1);
	bench_free(bench);
	g_free(ends);
}
END_TEST

/*
 * Guards against a worker whose ends aren't heard of any more, as one that
 * can't be read keeps its list full.
 */
START_TEST(test_unreadable_end_in_full_list)
{
	struct flow_run_end *ends = g_new0(struct flow_run_end, 499);
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };

	fill_ends(ends, 499);
	list.ends = ends;
	list.nr_ends = 498;
	list.nr_unread_ends = 1;
	list.unread_nr = 58;
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 200);
	ck_assert_uint_eq(bench->ends_nr, 0);
	list.nr_ends = 499;
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 1000);
	ck_assert_uint_eq(bench->report.nr_ends, 499);
	ck_assert_uint_eq(bench->ends_nr, 557);
	bench_grant(bench, 557);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, &call));
	ck_assert_uint_eq(call.settled_nr, 557);
	bench_free(bench);
	g_free(ends);
}
END_TEST

/*
 * Guards against "never started" for orders of a life that has not announced
 * itself to an agent that hears a late heartbeat of an earlier one.
 */
START_TEST(test_orders_of_later_life)
{
	struct flow_order order = { .action = FLOW_START, .run = 1 };
	struct flow_orders orders = { .term = 4, .born_ms = 2, .nr_orders = 1 };
	struct bench *bench = bench_ready(true);

	order.fence = bench->fence;
	TEXT_SET(order.task, TASK);
	TEXT_SET(orders.worker, "w");
	orders.orders = &order;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 0);
	/* Those of an earlier life will never start. */
	orders.born_ms = 0;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_free(bench);
}
END_TEST

/*
 * Guards against lists of another life under the same identity, which lack the
 * runs of the present one.
 */
START_TEST(test_lists_of_other_life)
{
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);

	bench_run_ms(bench, 20);
	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &done, NULL));
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 200);
	list.born_ms = 2;
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	list.born_ms = 1;
	bench_run_ms(bench, 500);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_free(bench);
}
END_TEST

/*
 * Guards against an end that is forgotten with the life that listed it, before
 * the leader has heard of it.
 */
START_TEST(test_ends_outlive_the_life)
{
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_reborn(bench, 2);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->report.worker.born_ms, 2);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	bench_free(bench);
}
END_TEST

/* Guards against a late deregistration of an earlier life that ends the present
 * one.
 */
START_TEST(test_late_deregistration)
{
	static const struct exec_reply closed = { .verdict = EXEC_NOT_SENT,
						  .closed = true };
	struct bench *bench = bench_ready(true);

	bench_reborn(bench, 2);
	runner_deregister(bench->runner, "w", 1);
	bench_run_ms(bench, 20);
	ck_assert(!bench->report.worker.draining);
	ck_assert(!bench->report.worker.ended);
	runner_deregister(bench->runner, "w", 2);
	ck_assert(bench_answer_last(bench, &closed, NULL));
	bench_run_ms(bench, 20);
	ck_assert(bench->report.worker.ended);
	bench_free(bench);
}
END_TEST

/*
 * Guards against a start without answer that a later life under the same
 * identity carries out: that life knows of no stop.
 */
START_TEST(test_late_start_in_later_life)
{
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);

	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &silence, NULL));
	ck_assert(bench_answer(bench, EXEC_STOP, &done, NULL));
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	/* Looks at the earlier life are under way. */
	bench_reborn(bench, 2);
	ck_assert_uint_eq(bench->nr_stops, 2);
	list.born_ms = 2;
	ck_assert(bench_answer(bench, EXEC_STOP, &list, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
		bench_run_ms(bench, 20);
	}
	ck_assert_uint_eq(bench->refused->len, 2);
	bench_free(bench);
}
END_TEST

/* Guards against "not started" for a run that another life has started. */
START_TEST(test_start_by_other_life)
{
	struct exec_reply reply = done;
	struct bench *bench = bench_ready(true);

	reply.born_ms = 2;
	bench_order(bench, FLOW_START, 1, false, 0);
	ck_assert(bench_answer(bench, EXEC_START, &reply, NULL));
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert_uint_eq(bench->nr_stops, 1);
	bench_free(bench);
}
END_TEST

/*
 * Guards against an end that the worker forgets on a late call's word before
 * the leader has settled it.
 */
START_TEST(test_ends_are_kept)
{
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = done;
	struct bench *bench = bench_ready(true);

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &list, NULL));
	bench_run_ms(bench, 200);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 1000);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	bench_grant(bench, 5);
	bench_run_ms(bench, 1000);
	ck_assert_uint_eq(bench->report.nr_ends, 0);
	bench_free(bench);
}
END_TEST

/*
 * Guards against ends of a new life that are settled by the numbers of the one
 * before: a call without an answer may be the first sign of another life.
 */
START_TEST(test_cursor_after_silence)
{
	struct bench *bench = bench_ready(true);
	struct bench_call call = { 0 };

	bench_run_ms(bench, 20);
	bench_grant(bench, 5);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, NULL));
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &silence, &call));
	ck_assert_uint_eq(call.settled_nr, 5);
	bench_run_ms(bench, 400);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, &call));
	ck_assert_uint_eq(call.settled_nr, 0);
	bench_run_ms(bench, 20);
	ck_assert(bench_answer(bench, EXEC_HOLD, &done, &call));
	ck_assert_uint_eq(call.settled_nr, 5);
	bench_free(bench);
}
END_TEST

static void bench_list(struct bench *bench, uint32_t tail_ms)
{
	struct flow_run runs[2] = { { .run = 1 }, { .run = 1 } };
	struct exec_reply list = done;

	TEXT_SET(runs[0].task, "ss.0.0.0");
	runs[0].figure = tail_ms;
	TEXT_SET(runs[1].task, TASK);
	list.nr_runs = 2;
	list.runs = runs;
	bench_answer(bench, EXEC_HOLD, &list, NULL);
}

static void bench_figures(struct bench *bench, uint32_t tail_ms)
{
	bench_run_ms(bench, 500);
	bench_grant(bench, 0);
	bench_list(bench, tail_ms);
}

static uint32_t bench_pace(struct bench *bench)
{
	struct bench_call call = { 0 };
	uint32_t percent = UINT32_MAX;

	while (bench_answer(bench, EXEC_PACE, &done, &call))
		percent = call.percent;
	return percent;
}

/* Guards against fillers that work on while a neighbour is over its target. */
START_TEST(test_pace)
{
	struct bench *bench = bench_ready(true);
	uint32_t percent = 100;

	bench_order(bench, FLOW_START, 1, false, 100);
	bench_answer(bench, EXEC_START, &done, NULL);
	bench_order(bench, FLOW_START, 1, true, 0);
	bench_answer(bench, EXEC_START, &done, NULL);
	/* 2 s over the target: nothing may be left of the pace. */
	for (uint32_t i = 0; i < 5; i++) {
		uint32_t next;

		bench_figures(bench, 150);
		next = bench_pace(bench);
		percent = next == UINT32_MAX ? percent : next;
	}
	ck_assert_uint_eq(percent, 0);
	for (uint32_t i = 0; i < 40; i++) {
		uint32_t next;

		bench_figures(bench, 40);
		next = bench_pace(bench);
		percent = next == UINT32_MAX ? percent : next;
	}
	ck_assert_uint_eq(percent, 100);
	bench_free(bench);
}
END_TEST

/* Orders the start of a filler that takes the whole VM. */
static void bench_order_filler(struct bench *bench, const char *task)
{
	struct flow_order order = { .action = FLOW_START, .run = 1 };
	struct flow_orders orders = { .term = 4, .born_ms = 1, .nr_orders = 1 };

	TEXT_SET(order.task, task);
	TEXT_SET(order.image, "f");
	order.filler = true;
	order.cpu_millis = 1;
	order.fence = bench->fence;
	TEXT_SET(orders.worker, "w");
	orders.orders = &order;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
}

/*
 * Guards against a start at full pace beside others that press the same serving
 * task: they are slowed first, and the start waits 400 ms at most.
 */
START_TEST(test_start_waits_for_room)
{
	struct bench *bench = bench_ready(true);
	uint32_t starts;

	bench_order(bench, FLOW_START, 1, false, 100);
	bench_answer(bench, EXEC_START, &done, NULL);
	bench_order_filler(bench, TASK);
	bench_run_ms(bench, 500);
	bench_answer(bench, EXEC_START, &done, NULL);
	for (uint32_t i = 0; i < 3; i++) {
		bench_figures(bench, 30);
		bench_pace(bench);
	}
	starts = bench->nr_starts;
	bench_order_filler(bench, "bb.0.0.0");
	ck_assert_uint_eq(bench->nr_starts, starts);
	ck_assert_uint_eq(bench_pace(bench), 0);
	/* New figures don't give that room back before the start. */
	bench_run_ms(bench, 200);
	bench_list(bench, 30);
	ck_assert_uint_eq(bench_pace(bench), UINT32_MAX);
	ck_assert_uint_eq(bench->nr_starts, starts);
	bench_run_ms(bench, 300);
	ck_assert_uint_eq(bench->nr_starts, starts + 1);
	bench_free(bench);
}
END_TEST

/* Runs 9 s without the agent; the leader has given up its VM meanwhile. */
static void bench_freeze(struct bench *bench)
{
	bench->now_us += 9000000;
	bench->fence++;
	bench_grant(bench, 0);
	bench_run_ms(bench, 1000);
}

/*
 * Guards against a start that waits for room, is given up by the leader, and
 * starts under the next lease (issue 20, TWICE).
 */
START_TEST(test_void_start_waits_for_room)
{
	struct bench *bench = bench_ready(true);
	uint32_t starts;

	bench_order(bench, FLOW_START, 1, false, 100);
	bench_answer(bench, EXEC_START, &done, NULL);
	bench_order_filler(bench, TASK);
	bench_run_ms(bench, 500);
	bench_answer(bench, EXEC_START, &done, NULL);
	for (uint32_t i = 0; i < 3; i++) {
		bench_figures(bench, 30);
		bench_pace(bench);
	}
	starts = bench->nr_starts;
	bench_order_filler(bench, "bb.0.0.0");
	ck_assert_uint_eq(bench->nr_starts, starts);
	bench_freeze(bench);
	ck_assert_uint_eq(bench->nr_starts, starts);
	ck_assert_uint_eq(bench->refused->len, 1);
	bench_free(bench);
}
END_TEST

/* Guards against the same with a start that waits for a free call. */
START_TEST(test_void_start_waits_for_calls)
{
	struct bench *bench = bench_ready(true);

	bench_run_ms(bench, 20);
	bench_order_many(bench, FLOW_START, 200);
	ck_assert_uint_eq(bench->nr_starts, RUNNER_CALLS_MAX);
	bench_freeze(bench);
	while (bench_answer(bench, EXEC_STOP, &done, NULL))
		bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, RUNNER_CALLS_MAX);
	ck_assert_uint_eq(bench->refused->len, 200 - RUNNER_CALLS_MAX);
	bench_free(bench);
}
END_TEST

/* Guards against the same with an order that is read after the next lease. */
START_TEST(test_void_order_comes_late)
{
	struct bench *bench = bench_ready(true);

	bench_freeze(bench);
	bench->fence--;
	bench_order(bench, FLOW_START, 1, false, 0);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 1);
	/* The leader's next order may start. */
	bench->fence++;
	bench_order(bench, FLOW_START, 2, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 1);
	bench_free(bench);
}
END_TEST

/*
 * Guards against "never started" for a run that an earlier agent has called at
 * an earlier life: a later life under the same identity may carry the start out
 * late, so it is stopped there first.
 */
START_TEST(test_repeated_order_of_earlier_life)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100 };
	struct bench *bench = bench_ready(true);

	bench_beat(bench, 2, 1, false);
	list.born_ms = 2;
	while (bench_answer(bench, EXEC_HOLD, &list, NULL) &&
	       !bench->report.looked)
		bench_run_ms(bench, 20);
	bench->repeated = true;
	bench_order(bench, FLOW_START, 1, false, 0);
	bench_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert_uint_eq(bench->nr_stops, 1);
	bench_free(bench);
}
END_TEST

SUITE_MAIN("runner", test_refusal_is_kept, test_orders_before_heartbeat,
	   test_unanswered_start, test_deadline_on_slow_clock,
	   test_call_without_end, test_one_look_without_answer,
	   test_looks_without_answers, test_stale_heartbeats,
	   test_ends_wait_for_the_log, test_old_run_is_settled_by_lists,
	   test_repeated_start_is_stopped, test_odd_report_of_other_life,
	   test_refusal_names_no_life, test_silent_candidate,
	   test_later_candidate_goes_first, test_first_life,
	   test_earlier_life_that_answers, test_odd_address, test_odd_seq,
	   test_stale_report_of_draining, test_odd_deregistration,
	   test_deregistration, test_calls_are_bounded, test_full_list_of_ends,
	   test_rows_that_cannot_be_read, test_end_that_cannot_be_read,
	   test_unreadable_end_in_full_list, test_orders_of_later_life,
	   test_lists_of_other_life, test_ends_outlive_the_life,
	   test_late_deregistration, test_late_start_in_later_life,
	   test_start_by_other_life, test_ends_are_kept,
	   test_cursor_after_silence, test_pace, test_start_waits_for_room,
	   test_void_start_waits_for_room, test_void_start_waits_for_calls,
	   test_void_order_comes_late, test_repeated_order_of_earlier_life)
