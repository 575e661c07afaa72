/**
 * @file test_runner_fence.c
 * The fencing tokens of the agent's calls to its worker. A worker refuses calls
 * with a lower token than the highest one it has received, and a restarted
 * worker has received none. The agent raises its part of the token when it may
 * have lost contact with the worker's incarnation, so that the next call that
 * is executed bars all earlier ones.
 */

#include <string.h>

#include "runner_fixture.h"
#include "suite.h"

#define FENCE_LIMIT (1ull << 53) /* JSON carries integers exactly below it */

static const struct exec_reply connection_refused = {
	.verdict = EXEC_NOT_SENT,
	.closed = true,
};
static const struct exec_reply fence_refused = {
	.verdict = EXEC_REFUSED,
	.result = RESULT_STALE,
	.clock_ms = 100000,
};

/* Answers the open poll, or the next one. */
static struct fixture_call answer_poll(struct fixture *fixture,
				       const struct exec_reply *reply)
{
	struct fixture_call call = { 0 };

	for (uint32_t ms = 0; !fixture_open_polls(fixture); ms++) {
		ck_assert_uint_lt(ms, 1000);
		fixture_run_ms(fixture, 1);
	}
	ck_assert(fixture_answer(fixture, EXEC_POLL, reply, &call));
	return call;
}

/* Answers the next poll; returns its token. */
static uint64_t next_poll_fence(struct fixture *fixture)
{
	return answer_poll(fixture, &fixture_done).fence;
}

/* Returns a runner whose next poll is in flight. */
static struct fixture *fixture_polling(void)
{
	struct fixture *fixture = fixture_ready(true);

	fixture_run_ms(fixture, 5);
	ck_assert_uint_eq(next_poll_fence(fixture), FIXTURE_CALL_FENCE);
	fixture_run_ms(fixture, 5);
	ck_assert_uint_eq(fixture_open_polls(fixture), 1);
	return fixture;
}

static uint64_t start_fence(struct fixture *fixture, uint32_t run)
{
	struct fixture_call call = { 0 };

	fixture_order(fixture, FLOW_START, run, false, 0);
	ck_assert(fixture_answer(fixture, EXEC_START, &fixture_done, &call));
	return call.fence;
}

/*
 * Guards against a restarted worker that executes calls from before a poll
 * that was missed: all later calls, which the leader's present orders still
 * allow, have a higher token.
 */
START_TEST(test_missed_poll)
{
	static const struct exec_reply *const missed[] = {
		&fixture_no_answer, /* no answer, or the connection was reset */
		&connection_refused,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(missed); i++) {
		struct fixture *fixture = fixture_polling();

		answer_poll(fixture, missed[i]);
		ck_assert_uint_eq(next_poll_fence(fixture),
				  FIXTURE_CALL_FENCE + 1);
		ck_assert_uint_eq(start_fence(fixture, 1),
				  FIXTURE_CALL_FENCE + 1);
		/* Answered polls leave the token as it is. */
		ck_assert_uint_eq(next_poll_fence(fixture),
				  FIXTURE_CALL_FENCE + 1);
		answer_poll(fixture, missed[i]);
		ck_assert_uint_eq(next_poll_fence(fixture),
				  FIXTURE_CALL_FENCE + 2);
		fixture_free(fixture);
	}
}
END_TEST

/*
 * Guards against a restarted worker that executes earlier calls, because the
 * first poll that it has answered had the same token as they. The next poll is
 * sent at once, and so is a probe of the named incarnation.
 */
START_TEST(test_poll_answered_by_other_incarnation)
{
	struct fixture *fixture = fixture_polling();
	struct exec_reply other = fixture_done;
	struct fixture_call call = { 0 };

	other.born_ms = 2;
	answer_poll(fixture, &other);
	ck_assert_uint_eq(fixture_open_polls(fixture), 1);
	fixture_run_ms(fixture, POLL_FIRST_RETRY_MS + 1);
	ck_assert_uint_eq(fixture_open_polls(fixture), 2);
	ck_assert(fixture_answer_last_poll(fixture, &other, &call));
	ck_assert_uint_eq(call.fence, FIXTURE_CALL_FENCE + 1);
	ck_assert_uint_eq(call.deadline_ms, 0);
	/* Further polls wait as they do for a worker that doesn't answer. */
	fixture_run_ms(fixture, POLL_RETRY_MS - 10);
	ck_assert_uint_eq(fixture_open_polls(fixture), 1);
	ck_assert_uint_eq(answer_poll(fixture, &fixture_no_answer).fence,
			  FIXTURE_CALL_FENCE + 1);
	fixture_free(fixture);
}
END_TEST

/* Guards against the same with an answer to another call than a poll. */
START_TEST(test_start_answered_by_other_incarnation)
{
	struct fixture *fixture = fixture_polling();
	struct exec_reply other = fixture_done;

	other.born_ms = 2;
	fixture_order(fixture, FLOW_START, 1, false, 0);
	ck_assert(fixture_answer(fixture, EXEC_START, &other, NULL));
	answer_poll(fixture, &fixture_done);
	ck_assert_uint_eq(next_poll_fence(fixture), FIXTURE_CALL_FENCE + 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a restarted worker that executes earlier calls after it has
 * answered the probe that its first heartbeat leads to. Workers with another
 * id refuse these calls, so that a probe of one raises nothing.
 */
START_TEST(test_probe_of_candidate)
{
	struct fixture *fixture = fixture_polling();
	const struct worker_incarnation foreign = { .id = "x", .born_ms = 2 };
	struct fixture_call call = { 0 };

	fixture_heartbeat_of(fixture, &foreign, "10.0.0.9:2", 1);
	ck_assert(
		fixture_answer_last_poll(fixture, &connection_refused, &call));
	ck_assert_str_eq(call.worker, "x");
	ck_assert_uint_eq(call.fence, FIXTURE_CALL_FENCE);
	fixture_heartbeat(fixture, 2, 1, false);
	ck_assert(fixture_answer_last_poll(fixture, &fixture_no_answer, &call));
	ck_assert_uint_eq(call.fence, FIXTURE_CALL_FENCE + 1);
	ck_assert(fixture_answer_last_poll(fixture, &fixture_done, &call));
	ck_assert_uint_eq(call.fence, FIXTURE_CALL_FENCE + 2);
	fixture_free(fixture);
}
END_TEST

/* Guards against the same with the probe of a worker that has deregistered. */
START_TEST(test_probe_of_leaving_worker)
{
	struct fixture *fixture = fixture_polling();
	struct fixture_call call = { 0 };

	runner_deregister(fixture->runner, "w", 0);
	ck_assert(fixture_answer_last_poll(fixture, &fixture_done, &call));
	ck_assert_uint_eq(call.fence, FIXTURE_CALL_FENCE + 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against an agent's part that is soon used up: each start without an
 * answer is stopped, so that it needs no higher token.
 */
START_TEST(test_unanswered_start)
{
	struct fixture *fixture = fixture_polling();

	fixture_order(fixture, FLOW_START, 1, false, 0);
	ck_assert(
		fixture_answer(fixture, EXEC_START, &fixture_no_answer, NULL));
	answer_poll(fixture, &fixture_done);
	ck_assert_uint_eq(next_poll_fence(fixture), FIXTURE_CALL_FENCE);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a token that falls, or an agent's part that isn't renewed,
 * when the leader's token rises.
 */
START_TEST(test_next_grant)
{
	struct fixture *fixture = fixture_polling();

	answer_poll(fixture, &fixture_no_answer);
	fixture_grant(fixture, 0);
	ck_assert_uint_eq(next_poll_fence(fixture), FIXTURE_CALL_FENCE + 1);
	fixture->fence++;
	fixture_grant(fixture, 0);
	ck_assert_uint_eq(start_fence(fixture, 1),
			  FIXTURE_CALL_FENCE + WORKER_FENCE_AGENT_COUNTS);
	/* A grant that arrives late lowers nothing. */
	fixture->fence--;
	fixture_grant(fixture, 0);
	next_poll_fence(fixture);
	ck_assert_uint_eq(next_poll_fence(fixture),
			  FIXTURE_CALL_FENCE + WORKER_FENCE_AGENT_COUNTS);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against an order of an earlier leader's token that is executed
 * because the agent's part makes the call's token the highest one.
 */
START_TEST(test_order_under_lower_token)
{
	struct fixture *fixture = fixture_polling();

	answer_poll(fixture, &fixture_no_answer);
	fixture->fence++;
	fixture_grant(fixture, 0);
	fixture->fence--;
	fixture_order(fixture, FLOW_START, 1, false, 0);
	fixture_run_ms(fixture, 20);
	ck_assert_uint_eq(fixture->nr_starts, 0);
	ck_assert_uint_eq(fixture->refused->len, 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against an agent's part that overflows into the leader's part: an
 * agent that the leader has replaced would bar its successor.
 */
START_TEST(test_part_is_used_up)
{
	struct fixture *fixture = fixture_polling();

	answer_poll(fixture, &fixture_no_answer);
	for (uint32_t i = 0; i < WORKER_FENCE_AGENT_COUNTS + 10; i++)
		answer_poll(fixture, &fixture_no_answer);
	ck_assert_uint_eq(next_poll_fence(fixture),
			  FIXTURE_CALL_FENCE + WORKER_FENCE_AGENT_COUNTS - 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a start that a poll with a higher token has overtaken, and
 * that is taken for never started although it was sent twice: the worker may
 * have executed the first copy. Sent once, its refusal proves it.
 */
START_TEST(test_overtaken_start)
{
	for (uint32_t resent = 0; resent < 2; resent++) {
		struct fixture *fixture = fixture_polling();
		struct exec_reply refused = fence_refused;

		refused.resent = resent;
		fixture_order(fixture, FLOW_START, 1, false, 0);
		answer_poll(fixture, &fixture_no_answer);
		ck_assert_uint_eq(next_poll_fence(fixture),
				  FIXTURE_CALL_FENCE + 1);
		ck_assert(fixture_answer(fixture, EXEC_START, &refused, NULL));
		fixture_run_ms(fixture, 20);
		ck_assert_uint_eq(fixture->refused->len, !resent);
		ck_assert_uint_eq(fixture->nr_stops, resent);
		fixture_free(fixture);
	}
}
END_TEST

/*
 * Guards against a token that falls when the leader's count is above what a
 * call's token holds, and against a restarted agent that its worker refuses
 * then for good: the agent's part, which is 0 in a new process, isn't above
 * that of the former process under the same leader's part.
 */
START_TEST(test_high_leader_count)
{
	const uint64_t highest = (FIXTURE_TERM + 1) *
				 WORKER_FENCE_LEADER_COUNTS *
				 WORKER_FENCE_AGENT_COUNTS;
	struct fixture *fixture = fixture_polling();

	fixture->fence = FIXTURE_TERM * FLOW_FENCES_PER_TERM +
			 WORKER_FENCE_LEADER_COUNTS;
	fixture_grant(fixture, 0);
	answer_poll(fixture, &fixture_done);
	ck_assert_uint_eq(answer_poll(fixture, &fence_refused).fence,
			  highest - WORKER_FENCE_AGENT_COUNTS);
	fixture->fence++;
	fixture_grant(fixture, 0);
	ck_assert_uint_eq(next_poll_fence(fixture),
			  highest - WORKER_FENCE_AGENT_COUNTS + 1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against tokens that fall when an agent is upgraded: earlier releases
 * send the leader's token itself, and the leader may be of either release.
 */
START_TEST(test_upgrade)
{
	static const uint64_t terms[] = { FIXTURE_TERM, 1 << 25,
					  (1 << 28) - 1 };

	for (size_t i = 0; i < G_N_ELEMENTS(terms); i++) {
		struct fixture *fixture = fixture_polling();
		/* The highest token of earlier releases in a far later term. */
		uint64_t released =
			(terms[i] * 511 + 1) * FLOW_FENCES_PER_TERM - 1;
		uint64_t fence;

		fixture->fence =
			terms[i] * FLOW_FENCES_PER_TERM + FIXTURE_COUNT;
		fixture_grant(fixture, 0);
		fence = start_fence(fixture, 1);
		ck_assert_uint_gt(fence, released);
		ck_assert_uint_lt(fence, FENCE_LIMIT);
		fixture_free(fixture);
	}
}
END_TEST

SUITE_MAIN("runner_fence", test_missed_poll,
	   test_poll_answered_by_other_incarnation,
	   test_start_answered_by_other_incarnation, test_probe_of_candidate,
	   test_probe_of_leaving_worker, test_unanswered_start, test_next_grant,
	   test_order_under_lower_token, test_part_is_used_up,
	   test_overtaken_start, test_high_leader_count, test_upgrade)
