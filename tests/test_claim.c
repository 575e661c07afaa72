/**
 * @file test_claim.c
 * Requests that aren't repeatable and have an idempotency key run under a
 * claim, control's record of the agent that may run them. A resend through any
 * entry must find the first run, whichever component fails in between.
 */

#include <stdio.h>

#include "request_harness.h"
#include "suite.h"
#include "tunables.h"

#define PATH "/plan"
#define RUN_MS 50

/* One request and its resend through the other entry. */
struct resend {
	struct harness *harness;
	struct request request;
	uint64_t first;
	uint64_t second;
};

struct resend_case {
	const char *name;
	uint32_t fault_at_ms; /* after the first send; the run takes RUN_MS */
	uint32_t resend_at_ms; /* after the fault */
	void (*fault)(struct resend *resend);
	enum run_state run; /* expected answer to the resend */
	uint32_t nr_runs;
};

static struct harness_agent *busy_agent(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		if (harness->agents[i].in_flight)
			return &harness->agents[i];
	return NULL;
}

static void fault_none(struct resend *resend)
{
}

static void fault_kill_entry(struct resend *resend)
{
	sim_kill(resend->harness->entries[0].machine);
}

static void fault_kill_agent(struct resend *resend)
{
	struct harness_agent *agent = busy_agent(resend->harness);

	ck_assert_ptr_nonnull(agent);
	sim_kill(agent->machine);
	agent->agent = NULL;
}

static void fault_agent_restarts(struct resend *resend)
{
	struct harness_agent *agent = busy_agent(resend->harness);

	fault_kill_agent(resend);
	harness_boot_agent(resend->harness,
			   (uint32_t)(agent - resend->harness->agents));
}

static void fault_kill_all_agents(struct resend *resend)
{
	for (uint32_t i = 1; i < resend->harness->opts.nr_agents; i++) {
		sim_kill(resend->harness->agents[i].machine);
		resend->harness->agents[i].agent = NULL;
	}
	sim_kill(resend->harness->agents[0].machine);
	harness_boot_agent(resend->harness, 0);
	sim_run_ms(resend->harness->sim, 3000);
}

static void fault_silence(struct resend *resend)
{
	for (uint32_t i = 0; i < resend->harness->opts.nr_agents; i++)
		sim_blackhole(resend->harness->entries[0].machine,
			      resend->harness->agents[i].machine);
}

static void fault_caller_leaves(struct resend *resend)
{
	entry_abandon(resend->harness->entries[0].entry, resend->first);
}

static void fault_no_claim_replies(struct resend *resend)
{
	resend->harness->control_drops_replies = true;
}

/* Kills the entry after its claim was committed, but before the dispatch. */
static void fault_kill_claiming_entry(struct resend *resend)
{
	resend->harness->control_drops_replies = false;
	fault_kill_entry(resend);
}

static void fault_other_work(struct resend *resend)
{
	TEXT_SET(resend->request.path, "/other");
}

static const struct resend_case resend_cases[] = {
	{ "resent at once", 0, 0, fault_none, RUN_DONE, 1 },
	{ "resent while it runs", 20, 0, fault_none, RUN_DONE, 1 },
	{ "resent after the response", 200, 0, fault_none, RUN_DONE, 1 },
	{ "resent an hour later", 200, 3600000, fault_none, RUN_DONE, 1 },
	{ "entry killed while it runs", 20, 0, fault_kill_entry, RUN_DONE, 1 },
	{ "entry killed, resent after the run", 20, 1000, fault_kill_entry,
	  RUN_DONE, 1 },
	{ "entry killed after the response", 200, 0, fault_kill_entry, RUN_DONE,
	  1 },
	{ "agent killed while it runs", 20, 0, fault_kill_agent, RUN_UNKNOWN,
	  1 },
	{ "agent restarts while it runs", 20, 1000, fault_agent_restarts,
	  RUN_UNKNOWN, 1 },
	{ "agents killed after the response", 200, 0, fault_kill_all_agents,
	  RUN_DONE, 1 },
	{ "connections go silent", 20, 0, fault_silence, RUN_DONE, 1 },
	{ "caller disconnects while it runs", 20, 100, fault_caller_leaves,
	  RUN_DONE, 1 },
	{ "key reused for other work", 20, 0, fault_other_work, RUN_NOT_RUN,
	  1 },
};

static void resend_start(struct resend *resend, uint64_t seed)
{
	struct harness_opts opts = {
		.seed = seed,
		.nr_agents = 3,
		.nr_entries = 2,
		.service_us = RUN_MS * 1000,
		.control = true,
	};

	resend->harness = harness_new(&opts);
	resend->request = harness_request(PATH, false, "order-7", 5000);
}

static void check_resend(const struct resend *resend, const char *name,
			 enum run_state run)
{
	const struct harness_answer *answer =
		harness_answer(resend->harness, resend->second);

	ck_assert_msg(answer->nr == 1, "%s: answered %u times", name,
		      answer->nr);
	ck_assert_msg(answer->run == run, "%s: run %u, %s", name, answer->run,
		      result_name(answer->result));
	if (run == RUN_DONE)
		ck_assert(
			harness_is_done(resend->harness, resend->second, PATH));
	ck_assert(harness_is_idle(resend->harness));
}

/* Guards against a second run, or a lost response, of a resent request. */
START_TEST(test_resend)
{
	const struct resend_case *resent = &resend_cases[_i];
	struct resend resend = { 0 };
	const struct harness_answer *first;

	resend_start(&resend, 30 + (uint64_t)_i);
	resend.first = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, resent->fault_at_ms);
	resent->fault(&resend);
	sim_run_ms(resend.harness->sim, resent->resend_at_ms);
	resend.second = harness_submit(resend.harness, 1, &resend.request);
	sim_run_ms(resend.harness->sim, 60000);
	check_resend(&resend, resent->name, resent->run);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), resent->nr_runs);
	ck_assert_uint_eq(harness_runs(resend.harness, "/other"), 0);
	first = harness_answer(resend.harness, resend.first);
	ck_assert_uint_le(first->nr, 1);
	ck_assert(!first->nr || first->run != RUN_NOT_RUN);
	harness_free(resend.harness);
}
END_TEST

/* Guards against a claim without a dispatch, which blocks its key forever. */
START_TEST(test_claim_without_dispatch)
{
	struct resend resend = { 0 };

	resend_start(&resend, 60);
	fault_no_claim_replies(&resend);
	resend.first = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 100);
	ck_assert_uint_eq(g_hash_table_size(resend.harness->claims), 1);
	fault_kill_claiming_entry(&resend);
	resend.second = harness_submit(resend.harness, 1, &resend.request);
	sim_run_ms(resend.harness->sim, 5000);
	check_resend(&resend, "claim without dispatch", RUN_DONE);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	harness_free(resend.harness);
}
END_TEST

/* Guards against a claim that stays with an agent that refused the request. */
START_TEST(test_claim_moves_after_refusal)
{
	struct resend resend = { 0 };

	resend_start(&resend, 61);
	/* All agents but one refuse; the routing policy decides the order. */
	resend.harness->agents[0].mode = HARNESS_REFUSE;
	fake_task_permit(sim_node(resend.harness->agents[1].machine), false);
	resend.second = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 5000);
	check_resend(&resend, "moved claim", RUN_DONE);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	ck_assert_uint_eq(resend.harness->agents[2].nr_calls, 1);
	harness_free(resend.harness);
}
END_TEST

/* Guards against a dispatch without a committed claim. */
START_TEST(test_no_claim_without_control)
{
	struct resend resend = { 0 };
	const struct harness_answer *answer;

	resend_start(&resend, 62);
	sim_kill(resend.harness->control);
	sim_run_ms(resend.harness->sim, 100);
	resend.second = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 10000);
	answer = harness_answer(resend.harness, resend.second);
	check_resend(&resend, "no control", RUN_NOT_RUN);
	ck_assert_uint_eq(answer->result, RESULT_NO_QUORUM);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 0);
	harness_free(resend.harness);
}
END_TEST

/* Guards against a claim query that is lost with the old leader. */
START_TEST(test_leader_change)
{
	struct resend resend = { 0 };
	uint64_t node_id;

	resend_start(&resend, 63);
	node_id = sim_node(resend.harness->control)->self.node_id;
	fault_no_claim_replies(&resend);
	resend.second = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 100);
	/* The claim is already committed for this request. */
	resend.harness->control_drops_replies = false;
	fake_site_leader(sim_node(resend.harness->entries[0].machine), 0);
	fake_site_leader(sim_node(resend.harness->entries[0].machine), node_id);
	sim_run_ms(resend.harness->sim, 100);
	check_resend(&resend, "leader change", RUN_DONE);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	ck_assert_uint_eq(g_hash_table_size(resend.harness->claims), 1);
	harness_free(resend.harness);
}
END_TEST

/* Guards against a response that is lost with the old leader and the agent. */
START_TEST(test_completion_lost_by_leader)
{
	struct resend resend = { 0 };
	uint64_t node_id;

	resend_start(&resend, 66);
	node_id = sim_node(resend.harness->control)->self.node_id;
	resend.first = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 20);
	resend.harness->control_drops_messages = true;
	sim_run_ms(resend.harness->sim, 1000);
	ck_assert(harness_is_done(resend.harness, resend.first, PATH));
	resend.harness->control_drops_messages = false;
	fake_site_leader(sim_node(resend.harness->entries[0].machine), 0);
	fake_site_leader(sim_node(resend.harness->entries[0].machine), node_id);
	fault_kill_all_agents(&resend);
	resend.second = harness_submit(resend.harness, 1, &resend.request);
	sim_run_ms(resend.harness->sim, 5000);
	check_resend(&resend, "completion lost", RUN_DONE);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	harness_free(resend.harness);
}
END_TEST

/* Guards against a response lost because its caller had disconnected. */
START_TEST(test_completion_after_caller_left)
{
	struct resend resend = { 0 };

	resend_start(&resend, 67);
	resend.first = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 20);
	fault_caller_leaves(&resend);
	sim_run_ms(resend.harness->sim, 200);
	fault_kill_all_agents(&resend);
	resend.second = harness_submit(resend.harness, 1, &resend.request);
	sim_run_ms(resend.harness->sim, 5000);
	check_resend(&resend, "caller left", RUN_DONE);
	ck_assert_uint_eq(harness_answer(resend.harness, resend.first)->nr, 0);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	harness_free(resend.harness);
}
END_TEST

/* Guards against the answer "not run" for a request that a resend has run. */
START_TEST(test_slow_entry_loses_its_claim)
{
	struct resend resend = { 0 };

	resend_start(&resend, 68);
	resend.request.deadline_ms = 1500;
	for (uint32_t i = 0; i < resend.harness->opts.nr_agents; i++)
		sim_path_between(resend.harness->entries[0].machine,
				 resend.harness->agents[i].machine)
			->delay_us = 600000;
	resend.first = harness_submit(resend.harness, 0, &resend.request);
	sim_run_ms(resend.harness->sim, 5);
	resend.second = harness_submit(resend.harness, 1, &resend.request);
	sim_run_ms(resend.harness->sim, 500);
	/* The first entry gets no reply that names the second claim. */
	resend.harness->control_drops_messages = true;
	sim_run_ms(resend.harness->sim, 5000);
	check_resend(&resend, "moved claim", RUN_DONE);
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	ck_assert_uint_eq(harness_answer(resend.harness, resend.first)->nr, 1);
	ck_assert_uint_eq(harness_answer(resend.harness, resend.first)->run,
			  RUN_UNKNOWN);
	harness_free(resend.harness);
}
END_TEST

/* Guards against two runs when many resends are in progress at once. */
START_TEST(test_racing_resends)
{
	struct resend resend = { 0 };
	uint32_t nr_done = 0;

	resend_start(&resend, 64 + (uint64_t)_i);
	/* Messages are duplicated, delayed and reordered. */
	sim_default_path(resend.harness->sim)->jitter_us = 20000;
	sim_default_path(resend.harness->sim)->duplicate_ppm = 100000;
	sim_default_path(resend.harness->sim)->unordered = true;
	for (uint32_t i = 0; i < 10; i++) {
		harness_submit(resend.harness, i % 2, &resend.request);
		sim_run_ms(resend.harness->sim, (uint64_t)_i % 20);
	}
	sim_run_ms(resend.harness->sim, 60000);
	for (uint32_t i = 0; i < 10; i++) {
		const struct harness_answer *answer =
			harness_answer(resend.harness, i);

		ck_assert_uint_eq(answer->nr, 1);
		if (answer->run == RUN_DONE)
			nr_done += harness_is_done(resend.harness, i, PATH);
	}
	ck_assert_uint_eq(harness_runs(resend.harness, PATH), 1);
	ck_assert_uint_eq(nr_done, 10);
	ck_assert(harness_is_idle(resend.harness));
	harness_free(resend.harness);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claim");
	TCase *tcase = tcase_create("claim");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 100);
	tcase_add_loop_test(tcase, test_resend, 0, G_N_ELEMENTS(resend_cases));
	tcase_add_test(tcase, test_claim_without_dispatch);
	tcase_add_test(tcase, test_claim_moves_after_refusal);
	tcase_add_test(tcase, test_no_claim_without_control);
	tcase_add_test(tcase, test_leader_change);
	tcase_add_test(tcase, test_completion_lost_by_leader);
	tcase_add_test(tcase, test_completion_after_caller_left);
	tcase_add_test(tcase, test_slow_entry_loses_its_claim);
	tcase_add_loop_test(tcase, test_racing_resends, 0, 60);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
