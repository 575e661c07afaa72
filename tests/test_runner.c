/**
 * @file test_runner.c
 * The agent's calls to its worker, the worker's lists and its ends.
 */

#include <string.h>

#include "runner_fixture.h"
#include "suite.h"

/* Guards against a duplicate order that starts what was refused before. */
START_TEST(test_refusal_is_kept)
{
	struct bench *bench = fixture_ready(false);

	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 0);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_grant(bench, 0);
	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 0);
	/* The next run may start. */
	fixture_order(bench, FLOW_START, 2, false, 0);
	ck_assert_uint_eq(bench->nr_starts, 1);
	fixture_free(bench);
}
END_TEST

/* Guards against an agent that refuses orders before it knows its worker. */
START_TEST(test_orders_before_heartbeat)
{
	struct bench *bench = fixture_new();

	fixture_order(bench, FLOW_STOP, 1, false, 0);
	fixture_order(bench, FLOW_START, 1, false, 0);
	fixture_run_ms(bench, 1100);
	ck_assert_uint_eq(bench->refused->len, 0);
	fixture_free(bench);
}
END_TEST

/* Guards against "never started" before the worker has forbidden the run. */
START_TEST(test_unanswered_start)
{
	struct bench *bench = fixture_ready(true);

	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_no_answer, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_stops, 1);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(fixture_answer(bench, EXEC_STOP, &fixture_no_answer, NULL));
	fixture_run_ms(bench, 600);
	ck_assert_uint_eq(bench->nr_stops, 2);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(fixture_answer(bench, EXEC_STOP, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	/* The look under way was sent before the stop: it proves nothing. */
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_free(bench);
}
END_TEST

/* Guards against a lease on a slow clock that outlives the grant. */
START_TEST(test_deadline_on_slow_clock)
{
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };

	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_done, &call));
	ck_assert_uint_eq(call.fence, FIXTURE_FENCE);
	/* 5,000 ms of lease from the clock 100,000, which may be 2 % slow. */
	ck_assert_uint_le(call.deadline_ms, 100000 + 4900);
	ck_assert_uint_ge(call.deadline_ms, 100000 + 4000);
	/* Without another grant, the lease isn't extended. */
	fixture_run_ms(bench, 4500);
	fixture_order(bench, FLOW_START, 2, false, 0);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a call that the host never answers: the agent looked no more,
 * and its worker's lease lapsed (Dorado, hunt-b2b8-35).
 */
START_TEST(test_call_never_answered)
{
	struct bench *bench = fixture_ready(true);
	guint holds = 0;

	fixture_run_ms(bench, 20);
	for (guint i = 0; i < bench->calls->len; i++)
		holds += g_array_index(bench->calls, struct fixture_call, i)
				 .kind == EXEC_POLL;
	ck_assert_uint_eq(holds, 1);
	fixture_run_ms(bench, 4500);
	ck_assert(!bench->report.reachable);
	/* It looks again, and the worker answers. */
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert(bench->report.reachable);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a VM without grants and new tasks for 300 ms after each lost
 * call (Dorado, scale-1).
 */
START_TEST(test_one_missed_poll)
{
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };

	fixture_run_ms(bench, 1600);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_no_answer, NULL));
	fixture_run_ms(bench, 20);
	ck_assert(!bench->report.reachable);
	/* The next look doesn't wait for an end, and extends nothing. */
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, &call));
	ck_assert_uint_eq(call.wait_ms, 0);
	ck_assert_uint_eq(call.deadline_ms, 0);
	fixture_run_ms(bench, 20);
	ck_assert(bench->report.reachable);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, &call));
	ck_assert_uint_gt(call.wait_ms, 0);
	fixture_free(bench);
}
END_TEST

/* Guards against a stream of calls to a worker that is gone. */
START_TEST(test_missed_polls_back_off)
{
	struct bench *bench = fixture_ready(true);

	fixture_run_ms(bench, 1600);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_no_answer, NULL));
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_no_answer, NULL));
	fixture_run_ms(bench, 200);
	ck_assert(!fixture_answer(bench, EXEC_POLL, &fixture_no_answer, NULL));
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_no_answer, NULL));
	ck_assert(!bench->report.reachable);
	fixture_free(bench);
}
END_TEST

/* Guards against ends that the worker forgets before the log has them. */
START_TEST(test_ends_wait_for_the_log)
{
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
	ck_assert_uint_eq(call.settled_nr, 0);
	fixture_run_ms(bench, 200);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
	ck_assert_uint_eq(call.settled_nr, 0);
	fixture_run_ms(bench, 20);
	fixture_grant(bench, 5);
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, &call));
	ck_assert_uint_eq(call.settled_nr, 5);
	fixture_free(bench);
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
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	fixture_run_ms(bench, 20);
	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &old, NULL));
	/* A look that was asked for before says nothing. */
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	/* A run that is on neither list was stopped before it came. */
	fixture_order(bench, FLOW_START, 2, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &old, NULL));
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	ck_assert_uint_eq(bench->nr_stops, 0);
	fixture_free(bench);
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
		struct bench *bench = fixture_ready(true);

		bench->repeated = true;
		fixture_order(bench, FLOW_START, 1, false, 0);
		ck_assert(
			fixture_answer(bench, EXEC_START, &refusals[i], NULL));
		fixture_run_ms(bench, 20);
		ck_assert_uint_eq(bench->refused->len, 0);
		ck_assert_uint_eq(bench->nr_stops, 1);
		/* The stop forbids the run, and a look shows that it isn't
		 * there. */
		ck_assert(
			fixture_answer(bench, EXEC_STOP, &fixture_done, NULL));
		fixture_answer(bench, EXEC_POLL, &fixture_done, NULL);
		fixture_run_ms(bench, 20);
		ck_assert(
			fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
		fixture_run_ms(bench, 20);
		ck_assert_uint_eq(bench->refused->len, 1);
		fixture_free(bench);
	}
}
END_TEST

/*
 * Guards against calls by the thousand that keep a look, and with it the
 * renewal of the lease, waiting for a connection (soak 5, small: 27,600 calls
 * stuck).
 */
START_TEST(test_calls_are_bounded)
{
	struct bench *bench = fixture_ready(true);

	fixture_run_ms(bench, 20);
	fixture_order_many(bench, FLOW_START, 200);
	ck_assert_uint_eq(fixture_answer_all(bench, EXEC_START), 200);
	fixture_order_many(bench, FLOW_STOP, 200);
	ck_assert_uint_eq(fixture_answer_all(bench, EXEC_STOP), 200);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against "never started" for a run whose end doesn't fit the list: a
 * worker lists 500 ends at a time.
 */
START_TEST(test_full_list_of_ends)
{
	struct flow_run_end *ends = g_new0(struct flow_run_end, 500);
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);

	for (uint32_t i = 0; i < 500; i++) {
		ends[i].nr = i + 1;
		ends[i].run = 1;
		ends[i].end = FLOW_END_DONE;
		g_snprintf(ends[i].task, NAME_BYTES, "bb.0.0.%u", i);
	}
	list.nr_ends = 500;
	list.ends = ends;
	fixture_run_ms(bench, 20);
	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_done, NULL));
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	list.nr_ends = 499;
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_free(bench);
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
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };

	TEXT_SET(end.task, "bb.0.0.0");
	list.nr_ends = 1;
	list.ends = &end;
	fixture_run_ms(bench, 20);
	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_done, NULL));
	list.nr_unreadable_runs = 1;
	for (uint32_t i = 0; i < 3; i++) {
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
		fixture_run_ms(bench, 200);
	}
	list.nr_unreadable_runs = 0;
	list.nr_unreadable_ends = 1;
	list.first_unreadable_nr = 2;
	for (uint32_t i = 0; i < 3; i++) {
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
		fixture_run_ms(bench, 200);
	}
	ck_assert_uint_ne(call.deadline_ms, 0);
	ck_assert_uint_eq(bench->refused->len, 0);
	fixture_run_ms(bench, 1000);
	ck_assert(bench->report.reachable);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	list.nr_unreadable_ends = 0;
	list.first_unreadable_nr = 0;
	for (uint32_t i = 0; i < 2; i++) {
		fixture_answer(bench, EXEC_POLL, &list, NULL);
		fixture_run_ms(bench, 200);
	}
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_free(bench);
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
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };
	uint32_t nr_looks = 0;

	fill_ends(ends, 2);
	list.ends = ends;
	list.nr_ends = 2;
	list.nr_unreadable_ends = 1;
	list.first_unreadable_nr = 58;
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 200);
	/* The leader takes both ends and can settle neither. */
	ck_assert_uint_eq(bench->report.nr_ends, 2);
	ck_assert_uint_eq(bench->ends_nr, 0);
	fixture_grant(bench, 60);
	for (uint32_t ms = 0; ms < 1000; ms++) {
		fixture_run_ms(bench, 1);
		nr_looks += fixture_answer(bench, EXEC_POLL, &list, &call);
		ck_assert_uint_le(call.settled_nr, 57);
	}
	ck_assert_uint_ge(nr_looks, 5);
	ck_assert_uint_le(nr_looks, 1000 / POLL_UNACKED_ENDS_MS + 1);
	fixture_free(bench);
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
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };

	fill_ends(ends, 499);
	list.ends = ends;
	list.nr_ends = 498;
	list.nr_unreadable_ends = 1;
	list.first_unreadable_nr = 58;
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 200);
	ck_assert_uint_eq(bench->ends_nr, 0);
	list.nr_ends = 499;
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 1000);
	ck_assert_uint_eq(bench->report.nr_ends, 499);
	ck_assert_uint_eq(bench->ends_nr, 557);
	fixture_grant(bench, 557);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, &call));
	ck_assert_uint_eq(call.settled_nr, 557);
	fixture_free(bench);
	g_free(ends);
}
END_TEST

/*
 * Guards against an end that the worker forgets on a late call's word before
 * the leader has settled it.
 */
START_TEST(test_ends_are_kept)
{
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 200);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 1000);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	fixture_grant(bench, 5);
	fixture_run_ms(bench, 1000);
	ck_assert_uint_eq(bench->report.nr_ends, 0);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against ends of a new life that are settled by the numbers of the one
 * before: a call without an answer may be the first sign of another life.
 */
START_TEST(test_cursor_after_missed_poll)
{
	struct bench *bench = fixture_ready(true);
	struct fixture_call call = { 0 };

	fixture_run_ms(bench, 20);
	fixture_grant(bench, 5);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_no_answer, &call));
	ck_assert_uint_eq(call.settled_nr, 5);
	fixture_run_ms(bench, 400);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, &call));
	ck_assert_uint_eq(call.settled_nr, 0);
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, &call));
	ck_assert_uint_eq(call.settled_nr, 5);
	fixture_free(bench);
}
END_TEST

SUITE_MAIN("runner", test_refusal_is_kept, test_orders_before_heartbeat,
	   test_unanswered_start, test_deadline_on_slow_clock,
	   test_call_never_answered, test_one_missed_poll,
	   test_missed_polls_back_off, test_ends_wait_for_the_log,
	   test_old_run_is_settled_by_lists, test_repeated_start_is_stopped,
	   test_calls_are_bounded, test_full_list_of_ends,
	   test_rows_that_cannot_be_read, test_end_that_cannot_be_read,
	   test_unreadable_end_in_full_list, test_ends_are_kept,
	   test_cursor_after_missed_poll)
