/**
 * @file test_runner_start.c
 * Starts that wait in the agent, and the pace of fillers.
 */

#include <string.h>

#include "runner_fixture.h"
#include "suite.h"

static void fixture_list(struct bench *bench, uint32_t tail_ms)
{
	struct flow_run runs[2] = { { .run = 1 }, { .run = 1 } };
	struct exec_reply list = fixture_done;

	TEXT_SET(runs[0].task, "ss.0.0.0");
	runs[0].figure = tail_ms;
	TEXT_SET(runs[1].task, TASK);
	list.nr_runs = 2;
	list.runs = runs;
	fixture_answer(bench, EXEC_POLL, &list, NULL);
}

static void fixture_list_after_500_ms(struct bench *bench, uint32_t tail_ms)
{
	fixture_run_ms(bench, 500);
	fixture_grant(bench, 0);
	fixture_list(bench, tail_ms);
}

static uint32_t fixture_last_pace(struct bench *bench)
{
	struct fixture_call call = { 0 };
	uint32_t percent = UINT32_MAX;

	while (fixture_answer(bench, EXEC_PACE, &fixture_done, &call))
		percent = call.percent;
	return percent;
}

/* Guards against fillers that work on while a neighbour is over its target. */
START_TEST(test_pace)
{
	struct bench *bench = fixture_ready(true);
	uint32_t percent = 100;

	fixture_order(bench, FLOW_START, 1, false, 100);
	fixture_answer(bench, EXEC_START, &fixture_done, NULL);
	fixture_order(bench, FLOW_START, 1, true, 0);
	fixture_answer(bench, EXEC_START, &fixture_done, NULL);
	/* 2 s over the target: nothing may be left of the pace. */
	for (uint32_t i = 0; i < 5; i++) {
		uint32_t next;

		fixture_list_after_500_ms(bench, 150);
		next = fixture_last_pace(bench);
		percent = next == UINT32_MAX ? percent : next;
	}
	ck_assert_uint_eq(percent, 0);
	for (uint32_t i = 0; i < 40; i++) {
		uint32_t next;

		fixture_list_after_500_ms(bench, 40);
		next = fixture_last_pace(bench);
		percent = next == UINT32_MAX ? percent : next;
	}
	ck_assert_uint_eq(percent, 100);
	fixture_free(bench);
}
END_TEST

/* Orders the start of a filler that takes the whole VM. */
static void fixture_order_filler(struct bench *bench, const char *task)
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

/* A start waits for room that a filler beside the same serving task has. */
static struct bench *fixture_with_waiting_start(void)
{
	struct bench *bench = fixture_ready(true);
	uint32_t starts;

	fixture_order(bench, FLOW_START, 1, false, 100);
	fixture_answer(bench, EXEC_START, &fixture_done, NULL);
	fixture_order_filler(bench, TASK);
	fixture_run_ms(bench, 500);
	fixture_answer(bench, EXEC_START, &fixture_done, NULL);
	for (uint32_t i = 0; i < 3; i++) {
		fixture_list_after_500_ms(bench, 30);
		fixture_last_pace(bench);
	}
	starts = bench->nr_starts;
	fixture_order_filler(bench, "bb.0.0.0");
	ck_assert_uint_eq(bench->nr_starts, starts);
	return bench;
}

/*
 * Guards against a start at full pace beside others that press the same serving
 * task: they are slowed first, and the start waits 400 ms at most.
 */
START_TEST(test_start_waits_for_room)
{
	struct bench *bench = fixture_with_waiting_start();
	uint32_t starts = bench->nr_starts;

	ck_assert_uint_eq(fixture_last_pace(bench), 0);
	/* New figures don't give that room back before the start. */
	fixture_run_ms(bench, 200);
	fixture_list(bench, 30);
	ck_assert_uint_eq(fixture_last_pace(bench), UINT32_MAX);
	ck_assert_uint_eq(bench->nr_starts, starts);
	fixture_run_ms(bench, 300);
	ck_assert_uint_eq(bench->nr_starts, starts + 1);
	fixture_free(bench);
}
END_TEST

/* Runs 9 s without the agent; the leader has given up its VM meanwhile. */
static void fixture_freeze(struct bench *bench)
{
	bench->now_us += 9000000;
	bench->fence++;
	fixture_grant(bench, 0);
	fixture_run_ms(bench, 1000);
}

/*
 * Guards against a start that waits for room, is given up by the leader, and
 * starts under the next lease (issue 20, TWICE).
 */
START_TEST(test_revoked_start_waits_for_room)
{
	struct bench *bench = fixture_with_waiting_start();
	uint32_t starts = bench->nr_starts;

	fixture_freeze(bench);
	ck_assert_uint_eq(bench->nr_starts, starts);
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_free(bench);
}
END_TEST

/* Guards against the same with a start that waits for a free call. */
START_TEST(test_revoked_start_waits_for_calls)
{
	struct bench *bench = fixture_ready(true);

	fixture_run_ms(bench, 20);
	fixture_order_many(bench, FLOW_START, 200);
	ck_assert_uint_eq(bench->nr_starts, RUNNER_CALLS_MAX);
	fixture_freeze(bench);
	while (fixture_answer(bench, EXEC_STOP, &fixture_done, NULL))
		fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, RUNNER_CALLS_MAX);
	ck_assert_uint_eq(bench->refused->len, 200 - RUNNER_CALLS_MAX);
	fixture_free(bench);
}
END_TEST

/* Guards against the same with an order that is read after the next lease. */
START_TEST(test_revoked_order_comes_late)
{
	struct bench *bench = fixture_ready(true);

	fixture_freeze(bench);
	bench->fence--;
	fixture_order(bench, FLOW_START, 1, false, 0);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 1);
	/* The leader's next order may start. */
	bench->fence++;
	fixture_order(bench, FLOW_START, 2, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 1);
	fixture_free(bench);
}
END_TEST

SUITE_MAIN("runner_start", test_pace, test_start_waits_for_room,
	   test_revoked_start_waits_for_room,
	   test_revoked_start_waits_for_calls, test_revoked_order_comes_late)
