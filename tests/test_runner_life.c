/**
 * @file test_runner_life.c
 * Lives of the worker beside an agent: which reports are believed, and what
 * outlives a life.
 */

#include <string.h>

#include "runner_fixture.h"
#include "suite.h"

/* Guards against reports of an earlier life or an overtaken one. */
START_TEST(test_stale_heartbeats)
{
	struct bench *bench = fixture_ready(true);

	ck_assert_int_eq(fixture_heartbeat(bench, 1, 1, false), RESULT_STALE);
	ck_assert_int_eq(fixture_heartbeat(bench, 0, 9, false), RESULT_STALE);
	ck_assert_int_eq(fixture_heartbeat(bench, 1, 2, true), RESULT_OK);
	/* A worker that leaves doesn't come back in this life. */
	ck_assert_int_eq(fixture_heartbeat(bench, 1, 3, false), RESULT_OK);
	fixture_order(bench, FLOW_START, 1, false, 0);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 1);
	ck_assert(bench->report.worker.draining);
	fixture_free(bench);
}
END_TEST

/* A worker with one run, whose look waits for an end. */
static struct bench *fixture_with_run(void)
{
	struct bench *bench = fixture_ready(true);

	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	return bench;
}

/* The present worker is known, keeps its run, and its lease is renewed. */
static void check_run_unaffected(struct bench *bench)
{
	struct flow_run run = { .run = 1, .percent = 50 };
	struct exec_reply list = fixture_done;
	struct fixture_call call = { 0 };

	TEXT_SET(run.task, TASK);
	list.born_ms = 1;
	list.nr_runs = 1;
	list.runs = &run;
	fixture_grant(bench, 0);
	fixture_run_ms(bench, 20);
	/* The first may have been asked for before the grant. */
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
		fixture_run_ms(bench, 20);
	}
	ck_assert_str_eq(call.life, "w");
	ck_assert_str_eq(call.address, FIXTURE_ADDRESS);
	ck_assert_uint_gt(call.deadline_ms, 100000 + 4000);
	fixture_run_ms(bench, 1100);
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
START_TEST(test_heartbeat_of_foreign_worker)
{
	static const struct worker_incarnation lives[] = {
		{ .id = "other", .born_ms = 2 },
		{ .id = "other", .born_ms = 9007199254740992 },
		{ .id = "w", .born_ms = 2 },
		{ .id = "w", .born_ms = 9007199254740992 },
	};
	static const struct exec_reply replies[] = {
		{ .verdict = EXEC_NOT_SENT, .closed = true },
		{ .verdict = EXEC_OTHER_INCARNATION },
		{ .verdict = EXEC_DONE, .clock_ms = 5, .born_ms = 1 },
		{ .verdict = EXEC_REFUSED, .born_ms = 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lives); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(replies); j++) {
			struct bench *bench = fixture_with_run();
			struct fixture_call call = { 0 };
			uint64_t seq = 1;

			fixture_heartbeat_of(bench, &lives[i], "10.0.0.7:5", 9);
			ck_assert_uint_eq(fixture_open_polls(bench), 2);
			ck_assert(fixture_answer_last_poll(bench, &replies[j],
							   &call));
			ck_assert_str_eq(call.life, lives[i].id);
			ck_assert_str_eq(call.address, "10.0.0.7:5");
			ck_assert_uint_eq(call.deadline_ms, 0);
			ck_assert_uint_eq(call.settled_nr, 0);
			ck_assert_uint_eq(call.wait_ms, 0);
			check_run_unaffected(bench);
			/* The worker is heard as before. */
			ck_assert_int_eq(fixture_heartbeat(bench, 1, ++seq,
							   true),
					 RESULT_OK);
			fixture_run_ms(bench, 20);
			ck_assert(bench->report.worker.draining);
			fixture_free(bench);
		}
	}
}
END_TEST

/* Guards against a refusal without a life that is taken for the new one. */
START_TEST(test_refusal_without_incarnation)
{
	static const struct exec_reply refused = {
		.verdict = EXEC_REFUSED, .result = RESULT_OVERLOADED
	};
	struct bench *bench = fixture_with_run();

	fixture_heartbeat(bench, 2, 1, false);
	ck_assert(fixture_answer_last_poll(bench, &refused, NULL));
	check_run_unaffected(bench);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a silent candidate that ends the present worker, and against
 * a new life that is left out since one call to it was lost.
 */
START_TEST(test_unanswered_candidate)
{
	struct worker_incarnation other = { .id = "other", .born_ms = 2 };
	struct bench *bench = fixture_with_run();
	struct exec_reply list = fixture_done;

	fixture_heartbeat_of(bench, &other, "10.0.0.7:5", 1);
	ck_assert(fixture_answer_last_poll(bench, &fixture_no_answer, NULL));
	ck_assert_uint_eq(fixture_open_polls(bench), 2);
	ck_assert(fixture_answer_last_poll(bench, &fixture_no_answer, NULL));
	ck_assert_uint_eq(fixture_open_polls(bench), 1);
	check_run_unaffected(bench);
	/* The next report brings it again. */
	fixture_heartbeat_of(bench, &other, "10.0.0.7:5", 2);
	ck_assert(fixture_answer_last_poll(bench, &fixture_no_answer, NULL));
	list.born_ms = 2;
	ck_assert(fixture_answer_last_poll(bench, &list, NULL));
	ck_assert(fixture_answer_last_poll(bench, &list, NULL));
	fixture_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "other");
	ck_assert(bench->report.reachable && bench->report.looked);
	ck_assert_uint_eq(bench->report.nr_runs, 0);
	fixture_free(bench);
}
END_TEST

/* Guards against a new life that waits for the look at an odd candidate. */
START_TEST(test_later_candidate_goes_first)
{
	struct worker_incarnation odd = { .id = "odd",
					  .born_ms = 9007199254740992 };
	struct worker_incarnation real = { .id = "v", .born_ms = 7 };
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_with_run();
	struct fixture_call call = { 0 };

	fixture_heartbeat_of(bench, &odd, "10.0.0.7:5", 1);
	fixture_heartbeat_of(bench, &real, "10.0.0.8:1", 1);
	list.born_ms = 7;
	ck_assert(fixture_answer_last_poll(bench, &list, &call));
	ck_assert_str_eq(call.life, "v");
	fixture_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "v");
	/* What comes of the earlier one changes nothing. */
	list.born_ms = odd.born_ms;
	while (fixture_answer(bench, EXEC_POLL, &list, &call) &&
	       strcmp(call.life, "odd") != 0)
		;
	fixture_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "v");
	/* Reports without number leave the calls bounded. */
	for (uint32_t i = 0; i < 100; i++) {
		odd.born_ms--;
		fixture_heartbeat_of(bench, &odd, "10.0.0.7:5", 1);
	}
	ck_assert_uint_le(fixture_open_polls(bench), 1 + RUNNER_CANDIDATES_MAX);
	fixture_free(bench);
}
END_TEST

/* Guards against traffic that waits for the second report of a worker. */
START_TEST(test_first_incarnation)
{
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_new();
	struct fixture_call call = { 0 };

	ck_assert_int_eq(fixture_heartbeat(bench, 1, 1, false), RESULT_OK);
	list.born_ms = 1;
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
	ck_assert_str_eq(call.life, "w");
	ck_assert_uint_eq(call.deadline_ms, 0);
	/* The next one lists its runs, and goes out at once. */
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, &call));
	ck_assert_uint_eq(call.deadline_ms, 0);
	ck_assert_uint_eq(call.wait_ms, 0);
	fixture_run_ms(bench, 5);
	ck_assert_str_eq(bench->report.worker.id, "w");
	ck_assert(bench->report.reachable && bench->report.looked);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a sound worker whose reports are stale for good, as an odd
 * life was taken first or as its clock was set back: nothing is started there.
 */
START_TEST(test_earlier_incarnation_answers)
{
	static const struct exec_reply refused = { .verdict = EXEC_REFUSED,
						   .result = RESULT_STALE };

	for (uint32_t odd = 0; odd < 2; odd++) {
		struct bench *bench = fixture_new();
		struct exec_reply list = fixture_done;
		struct exec_reply first = odd ? refused : fixture_done;
		uint64_t born_ms = odd ? 9007199254740992 : 5;

		/* A worker refuses the look of an agent that knows no term. */
		fixture_heartbeat(bench, born_ms, 1, false);
		ck_assert(fixture_answer(bench, EXEC_POLL, &first, NULL));
		ck_assert(fixture_answer(bench, EXEC_POLL, &first, NULL));
		ck_assert_int_eq(fixture_heartbeat(bench, 3, 1, false),
				 RESULT_STALE);
		fixture_run_ms(bench, 310);
		ck_assert_uint_eq(bench->report.worker.born_ms, born_ms);
		list.born_ms = 3;
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
		ck_assert_int_eq(fixture_heartbeat(bench, 3, 2, false),
				 RESULT_OK);
		ck_assert(fixture_answer_last_poll(bench, &list, NULL));
		ck_assert(fixture_answer_last_poll(bench, &list, NULL));
		fixture_run_ms(bench, 5);
		ck_assert_uint_eq(bench->report.worker.born_ms, 3);
		ck_assert(bench->report.reachable && bench->report.looked);
		/* One that doesn't answer is left where it is. */
		ck_assert(fixture_answer_last_poll(bench, &fixture_no_answer,
						   NULL));
		ck_assert_int_eq(fixture_heartbeat(bench, 2, 9, false),
				 RESULT_OK);
		ck_assert(fixture_answer_last_poll(bench, &list, NULL));
		fixture_run_ms(bench, 20);
		ck_assert_uint_eq(bench->report.worker.born_ms, 3);
		fixture_free(bench);
	}
}
END_TEST

/*
 * Guards against calls that go to an address which another writer has named for
 * the present worker.
 */
START_TEST(test_foreign_address)
{
	static const struct exec_reply closed = { .verdict = EXEC_NOT_SENT,
						  .closed = true };
	struct worker_incarnation life = { .id = "w", .born_ms = 1 };
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_with_run();
	struct fixture_call call = { 0 };

	fixture_heartbeat_of(bench, &life, "10.0.0.7:5", 9);
	ck_assert(fixture_answer_last_poll(bench, &closed, &call));
	ck_assert_str_eq(call.address, "10.0.0.7:5");
	check_run_unaffected(bench);
	ck_assert_int_eq(fixture_heartbeat(bench, 1, 2, false), RESULT_OK);
	/* One where the worker answers is taken, and its runs go on. */
	fixture_heartbeat_of(bench, &life, "10.0.0.7:6", 10);
	list.born_ms = 1;
	ck_assert(fixture_answer_last_poll(bench, &list, &call));
	fixture_order(bench, FLOW_STOP, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_STOP, &fixture_done, &call));
	ck_assert_str_eq(call.address, "10.0.0.7:6");
	ck_assert_uint_eq(bench->refused->len, 0);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a number far too large that makes all later reports of the
 * life stale, whether the first report heard has it or a later one.
 */
START_TEST(test_oversized_seq)
{
	for (uint32_t first = 0; first < 2; first++) {
		struct exec_reply list = fixture_done;
		struct bench *bench = fixture_new();
		struct worker_incarnation life = { .id = "w", .born_ms = 1 };
		uint64_t seq = first ? 1 : 5;

		list.born_ms = 1;
		if (!first)
			fixture_heartbeat(bench, 1, 4, false);
		else
			fixture_heartbeat(bench, 1, 9007199254740992, false);
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
		if (!first)
			ck_assert_int_eq(fixture_heartbeat(bench, 1,
							   9007199254740992,
							   false),
					 RESULT_OK);
		life.cpu_millis = 7000;
		/* Late ones that are overtaken again don't count. */
		for (uint32_t i = 0; i < 9; i++)
			ck_assert_int_eq(fixture_heartbeat(bench, 1, 3 - i % 2,
							   false),
					 RESULT_STALE);
		for (uint32_t i = 0; i < RUNNER_SEQ_RESET_HEARTBEATS; i++)
			fixture_heartbeat_of(bench, &life, FIXTURE_ADDRESS,
					     seq++);
		ck_assert_int_eq(fixture_heartbeat_of(bench, &life,
						      FIXTURE_ADDRESS, seq),
				 RESULT_OK);
		fixture_run_ms(bench, 1100);
		ck_assert_uint_eq(bench->report.worker.cpu_millis, 7000);
		/* An overtaken report stays one. */
		ck_assert_int_eq(fixture_heartbeat(bench, 1, seq - 1, false),
				 RESULT_STALE);
		fixture_free(bench);
	}
}
END_TEST

/*
 * Guards against a worker that leaves and isn't heard, as its reports count as
 * overtaken: it got new tasks (DRAIN).
 */
START_TEST(test_stale_report_of_draining)
{
	struct bench *bench = fixture_ready(true);

	fixture_heartbeat(bench, 1, 9007199254740992, false);
	ck_assert_int_eq(fixture_heartbeat(bench, 1, 3, true), RESULT_STALE);
	fixture_run_ms(bench, 5);
	ck_assert(bench->report.worker.draining);
	fixture_order(bench, FLOW_START, 1, false, 0);
	fixture_run_ms(bench, 5);
	ck_assert_uint_eq(bench->nr_starts, 0);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a deregistration by another writer that ends a sound worker:
 * its runs were placed elsewhere while they went on (TWICE).
 */
START_TEST(test_foreign_deregistration)
{
	static const struct exec_reply cut = { .verdict = EXEC_NOT_SENT };
	struct bench *bench = fixture_with_run();
	struct exec_reply list = fixture_done;
	struct flow_run run = { .run = 1, .percent = 50 };

	TEXT_SET(run.task, TASK);
	list.born_ms = 1;
	list.nr_runs = 1;
	list.runs = &run;
	runner_deregister(bench->runner, "w", 0);
	fixture_run_ms(bench, 5);
	/* Nothing is started there until it is known to go on. */
	ck_assert(bench->report.worker.draining);
	ck_assert(!bench->report.worker.ended);
	ck_assert_uint_eq(bench->report.nr_runs, 1);
	/* Calls are lost on the way to a sound worker, too. */
	for (uint32_t i = 0; i < 6; i++) {
		ck_assert(fixture_answer_last_poll(
			bench, i % 2 ? &fixture_no_answer : &cut, NULL));
		fixture_run_ms(bench, 110);
	}
	for (uint32_t ms = 0; ms < 3000; ms += 10) {
		if (ms % 1000 == 0)
			fixture_grant(bench, 0);
		while (fixture_answer_last_poll(bench, &list, NULL))
			;
		fixture_run_ms(bench, 10);
		ck_assert(!bench->report.worker.ended);
	}
	ck_assert(!bench->report.worker.draining);
	check_run_unaffected(bench);
	fixture_free(bench);
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
		{ .verdict = EXEC_OTHER_INCARNATION },
		{ .verdict = EXEC_DONE, .clock_ms = 5, .born_ms = 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		struct bench *bench = fixture_with_run();
		struct exec_reply list = fixture_done;

		fixture_heartbeat(bench, 1, 2, true);
		list.born_ms = 1;
		runner_deregister(bench->runner, "w", 1);
		/* It may answer once more before it ends. */
		ck_assert(fixture_answer_last_poll(bench, &list, NULL));
		ck_assert(!bench->report.worker.ended);
		fixture_run_ms(bench, 110);
		ck_assert(fixture_answer_last_poll(bench, &replies[i], NULL));
		fixture_run_ms(bench, 5);
		ck_assert(bench->report.worker.ended);
		ck_assert_uint_eq(bench->report.nr_runs, 0);
		/* A report of it that was held up brings nothing back. */
		ck_assert_int_eq(fixture_heartbeat(bench, 1, 1, false),
				 RESULT_STALE);
		fixture_free(bench);
	}
}
END_TEST

/*
 * Guards against "never started" for orders of a life that has not announced
 * itself to an agent that hears a late heartbeat of an earlier one.
 */
START_TEST(test_orders_for_later_incarnation)
{
	struct flow_order order = { .action = FLOW_START, .run = 1 };
	struct flow_orders orders = { .term = 4, .born_ms = 2, .nr_orders = 1 };
	struct bench *bench = fixture_ready(true);

	order.fence = bench->fence;
	TEXT_SET(order.task, TASK);
	TEXT_SET(orders.worker, "w");
	orders.orders = &order;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 0);
	/* Those of an earlier life will never start. */
	orders.born_ms = 0;
	bench_message(bench, MSG_FLOW_ORDERS, &orders);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against lists of another life under the same identity, which lack the
 * runs of the present one.
 */
START_TEST(test_lists_of_other_incarnation)
{
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);

	fixture_run_ms(bench, 20);
	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_done, NULL));
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 200);
	list.born_ms = 2;
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	list.born_ms = 1;
	fixture_run_ms(bench, 500);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against an end that is forgotten with the life that listed it, before
 * the leader has heard of it.
 */
START_TEST(test_ends_survive_incarnation)
{
	struct flow_run_end end = { .nr = 5, .run = 1, .end = FLOW_END_DONE };
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);

	TEXT_SET(end.task, TASK);
	list.nr_ends = 1;
	list.ends = &end;
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
	fixture_restart_worker(bench, 2);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->report.worker.born_ms, 2);
	ck_assert_uint_eq(bench->report.nr_ends, 1);
	fixture_free(bench);
}
END_TEST

/* Guards against a late deregistration of an earlier life that ends the present
 * one.
 */
START_TEST(test_late_deregistration)
{
	static const struct exec_reply closed = { .verdict = EXEC_NOT_SENT,
						  .closed = true };
	struct bench *bench = fixture_ready(true);

	fixture_restart_worker(bench, 2);
	runner_deregister(bench->runner, "w", 1);
	fixture_run_ms(bench, 20);
	ck_assert(!bench->report.worker.draining);
	ck_assert(!bench->report.worker.ended);
	runner_deregister(bench->runner, "w", 2);
	ck_assert(fixture_answer_last_poll(bench, &closed, NULL));
	fixture_run_ms(bench, 20);
	ck_assert(bench->report.worker.ended);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against a start without answer that a later life under the same
 * identity carries out: that life knows of no stop.
 */
START_TEST(test_late_start_in_later_incarnation)
{
	struct exec_reply list = fixture_done;
	struct bench *bench = fixture_ready(true);

	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &fixture_no_answer, NULL));
	ck_assert(fixture_answer(bench, EXEC_STOP, &fixture_done, NULL));
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert(fixture_answer(bench, EXEC_POLL, &fixture_done, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	/* Looks at the earlier life are under way. */
	fixture_restart_worker(bench, 2);
	ck_assert_uint_eq(bench->nr_stops, 2);
	list.born_ms = 2;
	ck_assert(fixture_answer(bench, EXEC_STOP, &list, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 1);
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert(fixture_answer(bench, EXEC_POLL, &list, NULL));
		fixture_run_ms(bench, 20);
	}
	ck_assert_uint_eq(bench->refused->len, 2);
	fixture_free(bench);
}
END_TEST

/* Guards against "not started" for a run that another life has started. */
START_TEST(test_start_by_other_incarnation)
{
	struct exec_reply reply = fixture_done;
	struct bench *bench = fixture_ready(true);

	reply.born_ms = 2;
	fixture_order(bench, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(bench, EXEC_START, &reply, NULL));
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert_uint_eq(bench->nr_stops, 1);
	fixture_free(bench);
}
END_TEST

/*
 * Guards against "never started" for a run that an earlier agent has called at
 * an earlier life: a later life under the same identity may carry the start out
 * late, so it is stopped there first.
 */
START_TEST(test_repeated_order_for_earlier_incarnation)
{
	struct exec_reply list = { .verdict = EXEC_DONE, .clock_ms = 100 };
	struct bench *bench = fixture_ready(true);

	fixture_heartbeat(bench, 2, 1, false);
	list.born_ms = 2;
	while (fixture_answer(bench, EXEC_POLL, &list, NULL) &&
	       !bench->report.looked)
		fixture_run_ms(bench, 20);
	bench->repeated = true;
	fixture_order(bench, FLOW_START, 1, false, 0);
	fixture_run_ms(bench, 20);
	ck_assert_uint_eq(bench->nr_starts, 0);
	ck_assert_uint_eq(bench->refused->len, 0);
	ck_assert_uint_eq(bench->nr_stops, 1);
	fixture_free(bench);
}
END_TEST

SUITE_MAIN("runner_life", test_stale_heartbeats,
	   test_heartbeat_of_foreign_worker, test_refusal_without_incarnation,
	   test_unanswered_candidate, test_later_candidate_goes_first,
	   test_first_incarnation, test_earlier_incarnation_answers,
	   test_foreign_address, test_oversized_seq,
	   test_stale_report_of_draining, test_foreign_deregistration,
	   test_deregistration, test_orders_for_later_incarnation,
	   test_lists_of_other_incarnation, test_ends_survive_incarnation,
	   test_late_deregistration, test_late_start_in_later_incarnation,
	   test_start_by_other_incarnation,
	   test_repeated_order_for_earlier_incarnation)
