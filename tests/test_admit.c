/**
 * @file test_admit.c
 * An agent that gets requests from a scripted peer: which requests it admits,
 * in which order, and what it answers about known and unknown request numbers
 * and keys.
 */

#include "request_harness.h"
#include "schema.h"
#include "suite.h"
#include "tunables.h"

#define RUN_MS 50
#define PROBE_ANSWERS 256

/*
 * A peer in the role of an entry, with the last answer to each request number.
 */
struct probe {
	struct harness *harness;
	struct sim_machine *machine;
	uint64_t agent_node;
	uint32_t nr_answers[PROBE_ANSWERS];
	uint32_t run[PROBE_ANSWERS]; /* enum run_state */
	uint32_t result[PROBE_ANSWERS]; /* enum result */
	uint64_t answered_us[PROBE_ANSWERS];
};

static void probe_message(void *role, uint64_t from, uint32_t type,
			  const void *body)
{
	struct probe *probe = role;
	const struct response *response = body;
	uint64_t nr;

	if (type != MSG_RESPONSE)
		return;
	nr = response->request_nr;
	ck_assert_uint_lt(nr, PROBE_ANSWERS);
	ck_assert_uint_eq(response->origin_node,
			  sim_node(probe->machine)->self.node_id);
	probe->nr_answers[nr]++;
	probe->run[nr] = response->run;
	probe->result[nr] = response->result;
	probe->answered_us[nr] = sim_now_us(probe->harness->sim);
}

static const struct role_ops probe_ops = {
	.role = ROLE_ENTRY,
	.message = probe_message,
};

static struct harness_agent *probe_agent(const struct probe *probe)
{
	return &probe->harness->agents[0];
}

static void probe_start(struct probe *probe, uint32_t slots)
{
	struct harness_opts opts = {
		.seed = 40,
		.nr_agents = 1,
		.service_us = RUN_MS * 1000,
	};

	probe->harness = harness_new(&opts);
	probe_agent(probe)->slots = slots;
	probe->machine =
		sim_add_machine(probe->harness->sim, "probe", "veraval", "");
	node_set_role(sim_boot(probe->machine, 0), &probe_ops, probe);
	sim_start(probe->machine);
	node_dial(sim_node(probe->machine), probe_agent(probe)->address);
	sim_run_ms(probe->harness->sim, 1500);
	probe->agent_node = sim_node(probe_agent(probe)->machine)->self.node_id;
}

static void probe_run_ms(const struct probe *probe, uint64_t duration_ms)
{
	sim_run_ms(probe->harness->sim, duration_ms);
}

static void probe_send(const struct probe *probe, uint32_t type,
		       const void *body)
{
	node_send(sim_node(probe->machine), probe->agent_node, type, body);
}

static void probe_request(const struct probe *probe, uint64_t nr,
			  bool repeatable, const char *key,
			  uint32_t deadline_ms)
{
	char path[32];
	struct request request;

	g_snprintf(path, sizeof(path), "/nr/%u", (uint32_t)nr);
	request = harness_request(path, repeatable, key, deadline_ms);
	request.request_nr = nr;
	request.target_node = probe->agent_node;
	probe_send(probe, MSG_REQUEST, &request);
}

static void probe_query(const struct probe *probe, uint64_t nr,
			uint64_t reply_nr, bool refuse)
{
	struct outcome_query query = { 0 };

	query.origin_node = sim_node(probe->machine)->self.node_id;
	query.request_nr = nr;
	query.reply_nr = reply_nr;
	query.refuse = refuse;
	TEXT_SET(query.service, HARNESS_SERVICE);
	probe_send(probe, MSG_OUTCOME_QUERY, &query);
}

static void check_answer(const struct probe *probe, uint64_t nr,
			 enum run_state run, enum result result)
{
	ck_assert_uint_ge(probe->nr_answers[nr], 1);
	ck_assert_msg(probe->run[nr] == run && probe->result[nr] == result,
		      "request %u: run %u, %s", (uint32_t)nr, probe->run[nr],
		      result_name(probe->result[nr]));
}

/*
 * Guards against a request that arrives and runs after a query has refused it
 * for good.
 */
START_TEST(test_refused_before_arrival)
{
	struct probe probe = { 0 };

	probe_start(&probe, 8);
	probe_query(&probe, 1, 101, false);
	probe_query(&probe, 2, 102, true);
	probe_run_ms(&probe, 10);
	check_answer(&probe, 101, RUN_UNKNOWN, RESULT_UNKNOWN_OBJECT);
	check_answer(&probe, 102, RUN_NOT_RUN, RESULT_CANCELLED);
	probe_request(&probe, 1, false, "", 1000);
	probe_request(&probe, 2, false, "", 1000);
	probe_run_ms(&probe, 1000);
	check_answer(&probe, 1, RUN_DONE, RESULT_OK);
	check_answer(&probe, 2, RUN_NOT_RUN, RESULT_CANCELLED);
	ck_assert_uint_eq(harness_runs(probe.harness, "/nr/1"), 1);
	ck_assert_uint_eq(harness_runs(probe.harness, "/nr/2"), 0);
	harness_free(probe.harness);
}
END_TEST

/*
 * Guards against a duplicate request, or a second request with the same key,
 * that runs too.
 */
START_TEST(test_doubled_requests)
{
	struct probe probe = { 0 };

	probe_start(&probe, 8);
	probe_request(&probe, 1, false, "", 1000);
	probe_request(&probe, 1, false, "", 1000);
	probe_request(&probe, 2, false, "key", 1000);
	probe_request(&probe, 3, false, "key", 1000);
	probe_run_ms(&probe, 200);
	probe_request(&probe, 1, false, "", 1000);
	probe_request(&probe, 4, false, "key", 1000);
	/* Keys are ignored for repeatable requests. */
	probe_request(&probe, 5, true, "key", 1000);
	probe_run_ms(&probe, 200);
	for (uint64_t nr = 1; nr <= 5; nr++)
		check_answer(&probe, nr, RUN_DONE, RESULT_OK);
	ck_assert_uint_eq(probe_agent(&probe)->nr_calls, 3);
	harness_free(probe.harness);
}
END_TEST

/*
 * Guards against the answer "not run" about a request that has run, but whose
 * record was dropped.
 */
START_TEST(test_query_after_record)
{
	struct probe probe = { 0 };

	probe_start(&probe, 8);
	probe_request(&probe, 5, false, "", 1000);
	probe_run_ms(&probe, 200);
	probe_query(&probe, 5, 101, true);
	probe_run_ms(&probe, 10);
	check_answer(&probe, 101, RUN_DONE, RESULT_OK);
	probe_run_ms(&probe, ADMIT_RESPONSE_TTL_MS + 2000);
	probe_query(&probe, 5, 102, true);
	probe_run_ms(&probe, 10);
	check_answer(&probe, 102, RUN_UNKNOWN, RESULT_OUTCOME_UNKNOWN);
	probe_run_ms(&probe, ADMIT_RECORD_TTL_MS);
	probe_query(&probe, 5, 103, true);
	probe_query(&probe, 6, 104, true);
	probe_request(&probe, 5, false, "", 1000);
	probe_run_ms(&probe, 1000);
	check_answer(&probe, 103, RUN_UNKNOWN, RESULT_OUTCOME_UNKNOWN);
	check_answer(&probe, 104, RUN_NOT_RUN, RESULT_CANCELLED);
	check_answer(&probe, 5, RUN_UNKNOWN, RESULT_OUTCOME_UNKNOWN);
	ck_assert_uint_eq(harness_runs(probe.harness, "/nr/5"), 1);
	harness_free(probe.harness);
}
END_TEST

/* Guards against requests for an earlier agent process that run in this one. */
START_TEST(test_other_incarnation)
{
	struct probe probe = { 0 };
	struct request request;

	probe_start(&probe, 8);
	request = harness_request("/nr/1", false, "", 1000);
	request.request_nr = 1;
	request.target_node = probe.agent_node + 1;
	probe_send(&probe, MSG_REQUEST, &request);
	probe_run_ms(&probe, 500);
	check_answer(&probe, 1, RUN_NOT_RUN, RESULT_STALE);
	ck_assert_uint_eq(harness_runs(probe.harness, "/nr/1"), 0);
	harness_free(probe.harness);
}
END_TEST

/* Guards against a queue that ignores deadlines or grows without bound. */
START_TEST(test_queue)
{
	struct probe probe = { 0 };
	uint32_t nr_queue = ADMIT_QUEUE_PER_SLOT;

	probe_start(&probe, 1);
	probe_request(&probe, 1, true, "", 20000);
	/* Later numbers have earlier deadlines. */
	for (uint64_t nr = 2; nr < 2 + nr_queue; nr++)
		probe_request(&probe, nr, true, "", 20000 - (uint32_t)nr * 10);
	/* Two more than the queue holds, one with the earliest and one with
	 * the latest deadline. */
	probe_request(&probe, 50, true, "", 10000);
	probe_request(&probe, 51, true, "", 30000);
	probe_run_ms(&probe, 20);
	check_answer(&probe, 2, RUN_NOT_RUN, RESULT_OVERLOADED);
	check_answer(&probe, 51, RUN_NOT_RUN, RESULT_OVERLOADED);
	probe_run_ms(&probe, 2000);
	check_answer(&probe, 1, RUN_DONE, RESULT_OK);
	check_answer(&probe, 50, RUN_DONE, RESULT_OK);
	for (uint64_t nr = 3; nr < 1 + nr_queue; nr++) {
		check_answer(&probe, nr, RUN_DONE, RESULT_OK);
		ck_assert_uint_gt(probe.answered_us[nr],
				  probe.answered_us[nr + 1]);
	}
	ck_assert_uint_gt(probe.answered_us[1 + nr_queue],
			  probe.answered_us[50]);
	ck_assert_uint_eq(probe_agent(&probe)->max_in_flight, 1);
	harness_free(probe.harness);
}
END_TEST

/* Guards against a queued request that runs after its cancellation. */
START_TEST(test_cancel)
{
	struct probe probe = { 0 };
	struct cancel cancel = { 0 };

	probe_start(&probe, 1);
	probe_request(&probe, 1, false, "", 1000);
	probe_request(&probe, 2, false, "", 1000);
	probe_run_ms(&probe, 10);
	for (cancel.request_nr = 1; cancel.request_nr <= 3; cancel.request_nr++)
		probe_send(&probe, MSG_CANCEL, &cancel);
	probe_run_ms(&probe, 1000);
	check_answer(&probe, 1, RUN_DONE, RESULT_OK);
	check_answer(&probe, 2, RUN_NOT_RUN, RESULT_CANCELLED);
	ck_assert_uint_eq(harness_runs(probe.harness, "/nr/2"), 0);
	harness_free(probe.harness);
}
END_TEST

/*
 * Guards against requests that an agent accepts while it shuts down, and
 * against running ones that it cuts short.
 */
START_TEST(test_leave)
{
	struct probe probe = { 0 };

	probe_start(&probe, 1);
	probe_request(&probe, 1, false, "", 1000);
	probe_request(&probe, 2, false, "", 1000);
	probe_run_ms(&probe, 10);
	sim_shutdown(probe_agent(&probe)->machine);
	probe_request(&probe, 3, false, "", 1000);
	probe_run_ms(&probe, 1000);
	check_answer(&probe, 1, RUN_DONE, RESULT_OK);
	check_answer(&probe, 2, RUN_DONE, RESULT_OK);
	check_answer(&probe, 3, RUN_NOT_RUN, RESULT_LEAVING);
	ck_assert(node_idle(sim_node(probe_agent(&probe)->machine)));
	harness_free(probe.harness);
}
END_TEST

/* Guards against further calls to an upstream that has refused a connection. */
START_TEST(test_refused_connection)
{
	struct probe probe = { 0 };

	probe_start(&probe, 8);
	probe_agent(&probe)->mode = HARNESS_REFUSE;
	probe_request(&probe, 1, false, "", 1000);
	probe_run_ms(&probe, 10);
	probe_request(&probe, 2, false, "", 1000);
	probe_run_ms(&probe, 10);
	check_answer(&probe, 1, RUN_NOT_RUN, RESULT_UPSTREAM_FAILED);
	check_answer(&probe, 2, RUN_NOT_RUN, RESULT_NO_UPSTREAM);
	/* The upstream is called again after its next announcement. */
	probe_agent(&probe)->mode = HARNESS_SERVE;
	probe_run_ms(&probe, 1000);
	probe_request(&probe, 3, false, "", 1000);
	probe_run_ms(&probe, 200);
	check_answer(&probe, 3, RUN_DONE, RESULT_OK);
	harness_free(probe.harness);
}
END_TEST

/* Guards against the answer "not run" after an incomplete response. */
START_TEST(test_broken_response)
{
	struct probe probe = { 0 };

	probe_start(&probe, 8);
	probe_agent(&probe)->mode = HARNESS_BREAK;
	probe_request(&probe, 1, false, "key", 1000);
	probe_run_ms(&probe, 200);
	check_answer(&probe, 1, RUN_UNKNOWN, RESULT_UPSTREAM_FAILED);
	/* No other request with this key runs. */
	probe_request(&probe, 2, false, "key", 1000);
	probe_run_ms(&probe, 200);
	check_answer(&probe, 2, RUN_UNKNOWN, RESULT_UPSTREAM_FAILED);
	ck_assert_uint_eq(probe_agent(&probe)->nr_calls, 1);
	harness_free(probe.harness);
}
END_TEST

SUITE_MAIN("admit", test_refused_before_arrival, test_doubled_requests,
	   test_query_after_record, test_other_incarnation, test_queue,
	   test_cancel, test_leave, test_refused_connection,
	   test_broken_response)
