/**
 * @file test_admit.c
 * An agent that gets requests from a scripted entry: which requests the agent
 * admits, in which order, and what it answers about request numbers and keys
 * with and without a record.
 */

#include "request_harness.h"
#include "schema.h"
#include "suite.h"
#include "tunables.h"

#define RUN_MS 50 /* time that the upstream takes for a request */
#define PEER_ANSWERS 256

/* A scripted entry, with the agent's last answer to each request number. */
struct peer {
	struct harness *harness;
	struct sim_machine *machine;
	uint64_t agent_node;
	uint32_t nr_answers[PEER_ANSWERS];
	uint32_t run[PEER_ANSWERS]; /* enum run_state */
	uint32_t result[PEER_ANSWERS]; /* enum result */
	uint64_t answered_us[PEER_ANSWERS];
};

static void peer_message(void *role, uint64_t from, uint32_t type,
			 const void *body)
{
	struct peer *peer = role;
	const struct response *response = body;
	uint64_t nr;

	if (type != MSG_RESPONSE)
		return;
	nr = response->request_nr;
	ck_assert_uint_lt(nr, PEER_ANSWERS);
	ck_assert_uint_eq(response->origin_node,
			  sim_node(peer->machine)->self.node_id);
	peer->nr_answers[nr]++;
	peer->run[nr] = response->run;
	peer->result[nr] = response->result;
	peer->answered_us[nr] = sim_now_us(peer->harness->sim);
}

static const struct role_ops peer_ops = {
	.role = ROLE_ENTRY,
	.message = peer_message,
};

static struct harness_agent *peer_agent(const struct peer *peer)
{
	return &peer->harness->agents[0];
}

static void peer_start(struct peer *peer, uint32_t slots)
{
	struct harness_opts opts = {
		.seed = 40,
		.nr_agents = 1,
		.service_us = RUN_MS * 1000,
	};

	peer->harness = harness_new(&opts);
	peer_agent(peer)->slots = slots;
	peer->machine =
		sim_add_machine(peer->harness->sim, "probe", "veraval", "");
	node_set_role(sim_boot(peer->machine, 0), &peer_ops, peer);
	sim_start(peer->machine);
	node_dial(sim_node(peer->machine), peer_agent(peer)->address);
	sim_run_ms(peer->harness->sim, 1500);
	peer->agent_node = sim_node(peer_agent(peer)->machine)->self.node_id;
}

static void peer_run_ms(const struct peer *peer, uint64_t duration_ms)
{
	sim_run_ms(peer->harness->sim, duration_ms);
}

static void peer_send(const struct peer *peer, uint32_t type, const void *body)
{
	node_send(sim_node(peer->machine), peer->agent_node, type, body);
}

static void peer_request(const struct peer *peer, uint64_t nr, bool repeatable,
			 const char *key, uint32_t deadline_ms)
{
	char path[32];
	struct request request;

	g_snprintf(path, sizeof(path), "/nr/%u", (uint32_t)nr);
	request = harness_request(path, repeatable, key, deadline_ms);
	request.request_nr = nr;
	request.target_node = peer->agent_node;
	peer_send(peer, MSG_REQUEST, &request);
}

static void peer_query(const struct peer *peer, uint64_t nr, uint64_t reply_nr,
		       bool refuse)
{
	struct outcome_query query = { 0 };

	query.origin_node = sim_node(peer->machine)->self.node_id;
	query.request_nr = nr;
	query.reply_nr = reply_nr;
	query.refuse = refuse;
	TEXT_SET(query.service, HARNESS_SERVICE);
	peer_send(peer, MSG_OUTCOME_QUERY, &query);
}

static void check_answer(const struct peer *peer, uint64_t nr,
			 enum run_state run, enum result result)
{
	ck_assert_uint_ge(peer->nr_answers[nr], 1);
	ck_assert_msg(peer->run[nr] == run && peer->result[nr] == result,
		      "request %u: run %u, %s", (uint32_t)nr, peer->run[nr],
		      result_name(peer->result[nr]));
}

/*
 * Guards against a request that runs when it arrives, although a query has
 * refused it before.
 */
START_TEST(test_refused_before_arrival)
{
	struct peer peer = { 0 };

	peer_start(&peer, 8);
	peer_query(&peer, 1, 101, false);
	peer_query(&peer, 2, 102, true);
	peer_run_ms(&peer, 10);
	check_answer(&peer, 101, RUN_UNKNOWN, RESULT_UNKNOWN_OBJECT);
	check_answer(&peer, 102, RUN_NOT_RUN, RESULT_CANCELLED);
	peer_request(&peer, 1, false, "", 1000);
	peer_request(&peer, 2, false, "", 1000);
	peer_run_ms(&peer, 1000);
	check_answer(&peer, 1, RUN_DONE, RESULT_OK);
	check_answer(&peer, 2, RUN_NOT_RUN, RESULT_CANCELLED);
	ck_assert_uint_eq(harness_runs(peer.harness, "/nr/1"), 1);
	ck_assert_uint_eq(harness_runs(peer.harness, "/nr/2"), 0);
	harness_free(peer.harness);
}
END_TEST

/*
 * Guards against a second run because of a duplicate request or of another
 * request with the same key.
 */
START_TEST(test_doubled_requests)
{
	struct peer peer = { 0 };

	peer_start(&peer, 8);
	peer_request(&peer, 1, false, "", 1000);
	peer_request(&peer, 1, false, "", 1000);
	peer_request(&peer, 2, false, "key", 1000);
	peer_request(&peer, 3, false, "key", 1000);
	peer_run_ms(&peer, 200);
	peer_request(&peer, 1, false, "", 1000);
	peer_request(&peer, 4, false, "key", 1000);
	/* Keys are ignored for repeatable requests. */
	peer_request(&peer, 5, true, "key", 1000);
	peer_run_ms(&peer, 200);
	for (uint64_t nr = 1; nr <= 5; nr++)
		check_answer(&peer, nr, RUN_DONE, RESULT_OK);
	ck_assert_uint_eq(peer_agent(&peer)->nr_calls, 3);
	harness_free(peer.harness);
}
END_TEST

/*
 * Guards against the answer RUN_NOT_RUN about a request that has run and whose
 * record was dropped.
 */
START_TEST(test_query_after_record)
{
	struct peer peer = { 0 };

	peer_start(&peer, 8);
	peer_request(&peer, 5, false, "", 1000);
	peer_run_ms(&peer, 200);
	peer_query(&peer, 5, 101, true);
	peer_run_ms(&peer, 10);
	check_answer(&peer, 101, RUN_DONE, RESULT_OK);
	peer_run_ms(&peer, ADMIT_RESPONSE_TTL_MS + 2000);
	peer_query(&peer, 5, 102, true);
	peer_run_ms(&peer, 10);
	check_answer(&peer, 102, RUN_UNKNOWN, RESULT_OUTCOME_UNKNOWN);
	peer_run_ms(&peer, ADMIT_RECORD_TTL_MS);
	peer_query(&peer, 5, 103, true);
	peer_query(&peer, 6, 104, true);
	peer_request(&peer, 5, false, "", 1000);
	peer_run_ms(&peer, 1000);
	check_answer(&peer, 103, RUN_UNKNOWN, RESULT_OUTCOME_UNKNOWN);
	check_answer(&peer, 104, RUN_NOT_RUN, RESULT_CANCELLED);
	check_answer(&peer, 5, RUN_UNKNOWN, RESULT_OUTCOME_UNKNOWN);
	ck_assert_uint_eq(harness_runs(peer.harness, "/nr/5"), 1);
	harness_free(peer.harness);
}
END_TEST

/* Guards against requests that run though meant for an earlier agent process.
 */
START_TEST(test_other_incarnation)
{
	struct peer peer = { 0 };
	struct request request;

	peer_start(&peer, 8);
	request = harness_request("/nr/1", false, "", 1000);
	request.request_nr = 1;
	request.target_node = peer.agent_node + 1;
	peer_send(&peer, MSG_REQUEST, &request);
	peer_run_ms(&peer, 500);
	check_answer(&peer, 1, RUN_NOT_RUN, RESULT_STALE);
	ck_assert_uint_eq(harness_runs(peer.harness, "/nr/1"), 0);
	harness_free(peer.harness);
}
END_TEST

/* Guards against a queue that ignores deadlines or has no bound. */
START_TEST(test_queue)
{
	struct peer peer = { 0 };
	uint32_t nr_queue = ADMIT_QUEUE_PER_SLOT;

	peer_start(&peer, 1);
	peer_request(&peer, 1, true, "", 20000);
	/* Later numbers have earlier deadlines. */
	for (uint64_t nr = 2; nr < 2 + nr_queue; nr++)
		peer_request(&peer, nr, true, "", 20000 - (uint32_t)nr * 10);
	/* The queue is full. One more request has the earliest deadline of
	 * all, another one the latest. */
	peer_request(&peer, 50, true, "", 10000);
	peer_request(&peer, 51, true, "", 30000);
	peer_run_ms(&peer, 20);
	check_answer(&peer, 2, RUN_NOT_RUN, RESULT_OVERLOADED);
	check_answer(&peer, 51, RUN_NOT_RUN, RESULT_OVERLOADED);
	peer_run_ms(&peer, 2000);
	check_answer(&peer, 1, RUN_DONE, RESULT_OK);
	check_answer(&peer, 50, RUN_DONE, RESULT_OK);
	for (uint64_t nr = 3; nr < 1 + nr_queue; nr++) {
		check_answer(&peer, nr, RUN_DONE, RESULT_OK);
		ck_assert_uint_gt(peer.answered_us[nr],
				  peer.answered_us[nr + 1]);
	}
	ck_assert_uint_gt(peer.answered_us[1 + nr_queue], peer.answered_us[50]);
	ck_assert_uint_eq(peer_agent(&peer)->max_in_flight, 1);
	harness_free(peer.harness);
}
END_TEST

/* Guards against a queued request that runs after its cancellation. */
START_TEST(test_cancel)
{
	struct peer peer = { 0 };
	struct cancel cancel = { 0 };

	peer_start(&peer, 1);
	peer_request(&peer, 1, false, "", 1000);
	peer_request(&peer, 2, false, "", 1000);
	peer_run_ms(&peer, 10);
	for (cancel.request_nr = 1; cancel.request_nr <= 3; cancel.request_nr++)
		peer_send(&peer, MSG_CANCEL, &cancel);
	peer_run_ms(&peer, 1000);
	check_answer(&peer, 1, RUN_DONE, RESULT_OK);
	check_answer(&peer, 2, RUN_NOT_RUN, RESULT_CANCELLED);
	ck_assert_uint_eq(harness_runs(peer.harness, "/nr/2"), 0);
	harness_free(peer.harness);
}
END_TEST

/*
 * Guards against an agent that accepts requests while it shuts down, or that
 * ends its accepted requests early.
 */
START_TEST(test_leave)
{
	struct peer peer = { 0 };

	peer_start(&peer, 1);
	peer_request(&peer, 1, false, "", 1000);
	peer_request(&peer, 2, false, "", 1000);
	peer_run_ms(&peer, 10);
	sim_shutdown(peer_agent(&peer)->machine);
	peer_request(&peer, 3, false, "", 1000);
	peer_run_ms(&peer, 1000);
	check_answer(&peer, 1, RUN_DONE, RESULT_OK);
	check_answer(&peer, 2, RUN_DONE, RESULT_OK);
	check_answer(&peer, 3, RUN_NOT_RUN, RESULT_LEAVING);
	ck_assert(node_idle(sim_node(peer_agent(&peer)->machine)));
	harness_free(peer.harness);
}
END_TEST

/* Guards against further calls to an upstream that has refused a connection. */
START_TEST(test_refused_connection)
{
	struct peer peer = { 0 };

	peer_start(&peer, 8);
	peer_agent(&peer)->mode = HARNESS_REFUSE;
	peer_request(&peer, 1, false, "", 1000);
	peer_run_ms(&peer, 10);
	peer_request(&peer, 2, false, "", 1000);
	peer_run_ms(&peer, 10);
	check_answer(&peer, 1, RUN_NOT_RUN, RESULT_UPSTREAM_FAILED);
	check_answer(&peer, 2, RUN_NOT_RUN, RESULT_NO_UPSTREAM);
	/* The upstream is called again after its next announcement. */
	peer_agent(&peer)->mode = HARNESS_SERVE;
	peer_run_ms(&peer, 1000);
	peer_request(&peer, 3, false, "", 1000);
	peer_run_ms(&peer, 200);
	check_answer(&peer, 3, RUN_DONE, RESULT_OK);
	harness_free(peer.harness);
}
END_TEST

/*
 * Guards against more calls than an upstream has slots after its announcement
 * had expired while it was working: the agent forgot its calls in flight.
 */
START_TEST(test_announced_again)
{
	struct peer peer = { 0 };

	peer_start(&peer, 2);
	peer_agent(&peer)->slow_ppm = 120000000;
	peer_request(&peer, 1, false, "", 10000);
	peer_request(&peer, 2, false, "", 10000);
	peer_run_ms(&peer, 100);
	ck_assert_uint_eq(peer_agent(&peer)->in_flight, 2);
	peer_agent(&peer)->silent = true;
	peer_run_ms(&peer, UPSTREAM_ANNOUNCE_TTL_MS + 100);
	peer_agent(&peer)->silent = false;
	peer_run_ms(&peer, 1500);
	peer_request(&peer, 3, false, "", 20000);
	peer_run_ms(&peer, 100);
	ck_assert_uint_eq(peer_agent(&peer)->in_flight, 2);
	peer_run_ms(&peer, 15000);
	check_answer(&peer, 1, RUN_DONE, RESULT_OK);
	check_answer(&peer, 2, RUN_DONE, RESULT_OK);
	check_answer(&peer, 3, RUN_DONE, RESULT_OK);
	ck_assert_uint_eq(peer_agent(&peer)->max_in_flight, 2);
	harness_free(peer.harness);
}
END_TEST

/* Guards against the answer RUN_NOT_RUN after an incomplete response. */
START_TEST(test_broken_response)
{
	struct peer peer = { 0 };

	peer_start(&peer, 8);
	peer_agent(&peer)->mode = HARNESS_BREAK;
	peer_request(&peer, 1, false, "key", 1000);
	peer_run_ms(&peer, 200);
	check_answer(&peer, 1, RUN_UNKNOWN, RESULT_UPSTREAM_FAILED);
	/* A second request with the same key doesn't run. */
	peer_request(&peer, 2, false, "key", 1000);
	peer_run_ms(&peer, 200);
	check_answer(&peer, 2, RUN_UNKNOWN, RESULT_UPSTREAM_FAILED);
	ck_assert_uint_eq(peer_agent(&peer)->nr_calls, 1);
	harness_free(peer.harness);
}
END_TEST

SUITE_MAIN("admit", test_refused_before_arrival, test_doubled_requests,
	   test_query_after_record, test_other_incarnation, test_queue,
	   test_cancel, test_leave, test_refused_connection,
	   test_announced_again, test_broken_response)
