/**
 * @file test_runner_start.c
 * Starts that the agent delays, and the pace of fillers. Fillers are
 * best-effort tasks that are slowed down in favour of serving tasks, which have
 * a target for their tail latency.
 */

#include <string.h>

#include "runner_fixture.h"
#include "suite.h"

/*
 * Answers the open poll with a serving task, whose tail latency is @a tail_ms,
 * and a filler.
 */
static void fixture_list(struct fixture *fixture, uint32_t tail_ms)
{
	struct flow_run runs[2] = { { .run = 1 }, { .run = 1 } };
	struct exec_reply list = fixture_done;

	TEXT_SET(runs[0].task, "ss.0.0.0");
	runs[0].figure = tail_ms;
	TEXT_SET(runs[1].task, TASK);
	list.nr_runs = 2;
	list.runs = runs;
	fixture_answer(fixture, EXEC_POLL, &list, NULL);
}

static void fixture_list_after_500_ms(struct fixture *fixture, uint32_t tail_ms)
{
	fixture_run_ms(fixture, 500);
	fixture_grant(fixture, 0);
	fixture_list(fixture, tail_ms);
}

/*
 * Answers the open pace calls. Returns the last pace in percent, UINT32_MAX if
 * there is no call.
 */
static uint32_t fixture_last_pace(struct fixture *fixture)
{
	struct fixture_call call = { 0 };
	uint32_t percent = UINT32_MAX;

	while (fixture_answer(fixture, EXEC_PACE, &fixture_done, &call))
		percent = call.percent;
	return percent;
}

/* Guards against fillers that run while a serving task misses its target. */
START_TEST(test_pace)
{
	struct fixture *fixture = fixture_ready(true);
	uint32_t percent = 100;

	fixture_order(fixture, FLOW_START, 1, false, 100);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	fixture_order(fixture, FLOW_START, 1, true, 0);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	/* After 2 s over the target, the pace must be 0. */
	for (uint32_t i = 0; i < 5; i++) {
		uint32_t next;

		fixture_list_after_500_ms(fixture, 150);
		next = fixture_last_pace(fixture);
		percent = next == UINT32_MAX ? percent : next;
	}
	ck_assert_uint_eq(percent, 0);
	for (uint32_t i = 0; i < 40; i++) {
		uint32_t next;

		fixture_list_after_500_ms(fixture, 40);
		next = fixture_last_pace(fixture);
		percent = next == UINT32_MAX ? percent : next;
	}
	ck_assert_uint_eq(percent, 100);
	fixture_free(fixture);
}
END_TEST

/* Orders the start of a filler that takes the whole VM. */
static void fixture_order_filler(struct fixture *fixture, const char *task)
{
	struct flow_order order = { .action = FLOW_START, .run = 1 };
	struct flow_orders orders = { .term = 4, .born_ms = 1, .nr_orders = 1 };

	TEXT_SET(order.task, task);
	TEXT_SET(order.image, "f");
	order.filler = true;
	order.cpu_millis = 1;
	order.fence = fixture->fence;
	TEXT_SET(orders.worker, "w");
	orders.orders = &order;
	fixture_message(fixture, MSG_FLOW_ORDERS, &orders);
}

/*
 * Returns a runner with a filler whose start waits for headroom of the serving
 * task, because a running filler uses the headroom.
 */
static struct fixture *fixture_with_waiting_start(void)
{
	struct fixture *fixture = fixture_ready(true);
	uint32_t starts;

	fixture_order(fixture, FLOW_START, 1, false, 100);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	fixture_order_filler(fixture, TASK);
	fixture_run_ms(fixture, 500);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	for (uint32_t i = 0; i < 3; i++) {
		fixture_list_after_500_ms(fixture, 30);
		fixture_last_pace(fixture);
	}
	starts = fixture->nr_starts;
	fixture_order_filler(fixture, "bb.0.0.0");
	ck_assert_uint_eq(fixture->nr_starts, starts);
	return fixture;
}

/*
 * Guards against a filler that starts at full pace while other fillers slow
 * down the same serving task: the others are halted first, and the start waits
 * 400 ms at most.
 */
START_TEST(test_start_waits_for_room)
{
	struct fixture *fixture = fixture_with_waiting_start();
	uint32_t starts = fixture->nr_starts;

	ck_assert_uint_eq(fixture_last_pace(fixture), 0);
	/* New measurements don't raise the halted filler's pace before the
	 * start. */
	fixture_run_ms(fixture, 200);
	fixture_list(fixture, 30);
	ck_assert_uint_eq(fixture_last_pace(fixture), UINT32_MAX);
	ck_assert_uint_eq(fixture->nr_starts, starts);
	fixture_run_ms(fixture, 300);
	ck_assert_uint_eq(fixture->nr_starts, starts + 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a leader that learns of a throttled filler only with the
 * agent's next regular report, up to RUNNER_REPORT_INTERVAL_MS later, and moves
 * it that much later.
 */
START_TEST(test_low_pace_is_reported_at_once)
{
	struct fixture *fixture = fixture_ready(true);
	uint64_t seq;

	fixture_order(fixture, FLOW_START, 1, false, 100);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	fixture_order_filler(fixture, TASK);
	fixture_run_ms(fixture, 500);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	fixture_list_after_500_ms(fixture, 150);
	fixture_list_after_500_ms(fixture, 150);
	seq = fixture->report.seq;
	ck_assert_uint_le(fixture_last_pace(fixture), FLOW_MOVE_PACE_PERCENT);
	fixture_run_ms(fixture, 2ull * RUNNER_REPORT_DELAY_MS);
	ck_assert_uint_gt(fixture->report.seq, seq);
	fixture_free(fixture);
}
END_TEST

/* Sends one start order each for @a nr tasks with the prefix. */
static void fixture_order_starts(struct fixture *fixture, const char *prefix,
				 uint32_t nr, uint32_t yield_ms)
{
	struct flow_order *many = g_new0(struct flow_order, nr);
	struct flow_orders orders = { .term = 4,
				      .born_ms = 1,
				      .nr_orders = nr };

	for (uint32_t i = 0; i < nr; i++) {
		many[i].action = FLOW_START;
		many[i].run = 1;
		many[i].fence = fixture->fence;
		many[i].yield_ms = yield_ms;
		g_snprintf(many[i].task, NAME_BYTES, "%s.0.0.%u", prefix, i);
	}
	TEXT_SET(orders.worker, "w");
	orders.orders = many;
	fixture_message(fixture, MSG_FLOW_ORDERS, &orders);
	g_free(many);
}

/* Returns true if the last call but polls is of this kind, for the task. */
static bool fixture_last_call_is(const struct fixture *fixture,
				 enum exec_call_kind kind, const char *task)
{
	const struct fixture_call *last = NULL;

	for (guint i = 0; i < fixture->calls->len; i++) {
		const struct fixture_call *call =
			&g_array_index(fixture->calls, struct fixture_call, i);

		if (call->kind != EXEC_POLL)
			last = call;
	}
	return last && last->kind == kind && !strcmp(last->task, task);
}

/*
 * Guards against the start of a lasting task that waits for a free call behind
 * all starts of a batch step that were ordered before it (LOST in the soak,
 * issue 33: more than 70 of them, 3.1 s).
 */
START_TEST(test_lasting_start_goes_first)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_order_starts(fixture, "bb", 100, FLOW_START_YIELD_MAX_MS);
	fixture_order_starts(fixture, "kk", RUNNER_CALLS_RESERVED, 0);
	fixture_run_ms(fixture, 600);
	fixture_order_starts(fixture, "ll", 1, 0);
	ck_assert_uint_eq(fixture->nr_starts, RUNNER_CALLS_MAX);
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	fixture_run_ms(fixture, 1);
	ck_assert_uint_eq(fixture->nr_starts, RUNNER_CALLS_MAX + 1);
	ck_assert(fixture_last_call_is(fixture, EXEC_START, "ll.0.0.0"));
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against the same wait for one of the calls that batch starts hold
 * until their time limit.
 */
START_TEST(test_batch_starts_leave_calls)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_order_starts(fixture, "bb", 100, FLOW_START_YIELD_MAX_MS);
	fixture_order_starts(fixture, "ll", RUNNER_CALLS_RESERVED, 0);
	ck_assert_uint_eq(fixture->nr_starts, RUNNER_CALLS_MAX);
	ck_assert(fixture_last_call_is(fixture, EXEC_START, "ll.0.0.3"));
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against the same wait behind the stops of batch runs whose starts had
 * no answer: each took the call that its start had just freed.
 */
START_TEST(test_lasting_start_goes_before_stops)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_order_starts(fixture, "bb", 100, FLOW_START_YIELD_MAX_MS);
	fixture_order_starts(fixture, "kk", RUNNER_CALLS_RESERVED, 0);
	fixture_order_starts(fixture, "ll", 1, 0);
	fixture_answer(fixture, EXEC_START, &fixture_no_answer, NULL);
	fixture_run_ms(fixture, 1);
	ck_assert(fixture_last_call_is(fixture, EXEC_START, "ll.0.0.0"));
	ck_assert_uint_eq(fixture->nr_stops, 0);
	/* The stop goes before the starts of the batch step. */
	fixture_answer(fixture, EXEC_START, &fixture_done, NULL);
	fixture_run_ms(fixture, 1);
	ck_assert(fixture_last_call_is(fixture, EXEC_STOP, "bb.0.0.0"));
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against the stop of a lasting run without an answer that waits behind
 * batch starts: the task can't be placed again before it.
 */
START_TEST(test_stop_of_lasting_run_goes_first)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_order_starts(fixture, "ll", RUNNER_CALLS_RESERVED, 0);
	fixture_order_starts(fixture, "bb", 100, FLOW_START_YIELD_MAX_MS);
	fixture_run_ms(fixture, 600);
	/* The oldest call is the lasting run's. */
	fixture_answer(fixture, EXEC_START, &fixture_no_answer, NULL);
	fixture_run_ms(fixture, 1);
	ck_assert(fixture_last_call_is(fixture, EXEC_STOP, "ll.0.0.0"));
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against an urgent start that is last in the leader's message, and
 * waits for a free call because of that.
 */
START_TEST(test_place_in_message_decides_no_turn)
{
	struct fixture *fixture = fixture_ready(true);
	struct flow_order many[RUNNER_CALLS_MAX + 1] = { { 0 } };
	struct flow_orders orders = { .term = 4,
				      .born_ms = 1,
				      .nr_orders = RUNNER_CALLS_MAX + 1 };
	bool called = false;

	for (uint32_t i = 0; i <= RUNNER_CALLS_MAX; i++) {
		many[i].action = FLOW_START;
		many[i].run = 1;
		many[i].fence = fixture->fence;
		many[i].yield_ms =
			i < RUNNER_CALLS_MAX ? FLOW_START_YIELD_MAX_MS : 0;
		g_snprintf(many[i].task, NAME_BYTES, "bb.0.0.%u", i);
	}
	TEXT_SET(orders.worker, "w");
	orders.orders = many;
	fixture_message(fixture, MSG_FLOW_ORDERS, &orders);
	for (guint i = 0; i < fixture->calls->len; i++)
		called = called || !strcmp(g_array_index(fixture->calls,
							 struct fixture_call, i)
						   .task,
					   many[RUNNER_CALLS_MAX].task);
	ck_assert(called);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against batch starts that are never called because urgent ones keep
 * following them: here one for each call that ends.
 */
START_TEST(test_batch_starts_are_not_starved)
{
	struct fixture *fixture = fixture_ready(true);
	uint32_t nr_batch = 0;
	uint32_t nr_urgent = 0;

	fixture_order_starts(fixture, "uu", RUNNER_CALLS_MAX, 0);
	fixture_order_starts(fixture, "bb", 10, FLOW_START_YIELD_MAX_MS);
	for (uint32_t ms = 0; ms < FLOW_START_YIELD_MAX_MS + 100; ms += 10) {
		struct fixture_call call = { 0 };
		char prefix[NAME_BYTES];

		if (ms % 1000 == 0)
			fixture_grant(fixture, 0);
		g_snprintf(prefix, sizeof(prefix), "v%u", ms);
		fixture_order_starts(fixture, prefix, 1, 0);
		ck_assert(fixture_answer(fixture, EXEC_START, &fixture_done,
					 &call));
		nr_batch += g_str_has_prefix(call.task, "bb.");
		nr_urgent += !g_str_has_prefix(call.task, "bb.");
		fixture_run_ms(fixture, 10);
	}
	for (guint i = 0; i < fixture->calls->len; i++)
		nr_batch += g_str_has_prefix(
			g_array_index(fixture->calls, struct fixture_call, i)
				.task,
			"bb.");
	ck_assert_uint_eq(nr_batch, 10);
	ck_assert_uint_gt(nr_urgent, 500);
	fixture_free(fixture);
}
END_TEST

/* Freezes the agent for 9 s, in which the leader revokes its runs. */
static void fixture_freeze(struct fixture *fixture)
{
	fixture->now_us += 9000000;
	fixture->fence++;
	fixture_grant(fixture, 0);
	fixture_run_ms(fixture, 1000);
}

/*
 * Guards against a start that waits for headroom, is revoked by the leader, and
 * is called under the next lease (issue 20: tasks ran twice).
 */
START_TEST(test_revoked_start_waits_for_room)
{
	struct fixture *fixture = fixture_with_waiting_start();
	uint32_t starts = fixture->nr_starts;

	fixture_freeze(fixture);
	ck_assert_uint_eq(fixture->nr_starts, starts);
	ck_assert_uint_eq(fixture->refused->len, 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a start that waits because too many calls are in flight, is
 * revoked by the leader, and is called all the same.
 */
START_TEST(test_revoked_start_waits_for_calls)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_run_ms(fixture, 20);
	fixture_order_many(fixture, FLOW_START, 200);
	ck_assert_uint_eq(fixture->nr_starts, RUNNER_CALLS_MAX);
	fixture_freeze(fixture);
	while (fixture_answer(fixture, EXEC_STOP, &fixture_done, NULL))
		fixture_run_ms(fixture, 20);
	ck_assert_uint_eq(fixture->nr_starts, RUNNER_CALLS_MAX);
	ck_assert_uint_eq(fixture->refused->len, 200 - RUNNER_CALLS_MAX);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a revoked order that is carried out because it arrives after
 * the grant of the next lease.
 */
START_TEST(test_revoked_order_comes_late)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_freeze(fixture);
	fixture->fence--;
	fixture_order(fixture, FLOW_START, 1, false, 0);
	fixture_run_ms(fixture, 20);
	ck_assert_uint_eq(fixture->nr_starts, 0);
	ck_assert_uint_eq(fixture->refused->len, 1);
	/* The leader's next order, with the new fencing token, is valid. */
	fixture->fence++;
	fixture_order(fixture, FLOW_START, 2, false, 0);
	ck_assert_uint_eq(fixture->nr_starts, 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a start that is called with an earlier fencing token than its
 * order's: the grant with the raised token got lost with a connection. A worker
 * that was restarted would go on accepting calls to its earlier incarnation.
 */
START_TEST(test_start_has_the_token_of_its_order)
{
	struct fixture *fixture = fixture_ready(true);
	struct fixture_call call = { 0 };

	fixture->fence++;
	fixture_order(fixture, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(fixture, EXEC_START, &fixture_done, &call));
	ck_assert_uint_eq(call.fence,
			  FIXTURE_CALL_FENCE + WORKER_FENCE_AGENT_COUNTS);
	fixture_free(fixture);
}
END_TEST

SUITE_MAIN("runner_start", test_pace, test_low_pace_is_reported_at_once,
	   test_start_waits_for_room, test_revoked_start_waits_for_room,
	   test_revoked_start_waits_for_calls, test_revoked_order_comes_late,
	   test_start_has_the_token_of_its_order, test_lasting_start_goes_first,
	   test_batch_starts_leave_calls, test_lasting_start_goes_before_stops,
	   test_stop_of_lasting_run_goes_first,
	   test_place_in_message_decides_no_turn,
	   test_batch_starts_are_not_starved)
