/**
 * @file test_claim.c
 * Requests that aren't repeatable and have a key: a resend through any entry
 * must find the first run, whichever component fails in between.
 */

#include <stdio.h>

#include "reqbed.h"
#include "suite.h"
#include "tunables.h"

#define PATH "/plan"
#define RUN_MS 50

/* One request and its resend through the other entry. */
struct resend {
	struct bed *bed;
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

static struct bed_agent *busy_agent(struct bed *bed)
{
	for (uint32_t i = 0; i < bed->opts.nr_agents; i++)
		if (bed->agents[i].in_flight)
			return &bed->agents[i];
	return NULL;
}

static void fault_none(struct resend *resend)
{
}

static void fault_entry_dies(struct resend *resend)
{
	vhost_kill(resend->bed->entries[0].machine);
}

static void fault_agent_dies(struct resend *resend)
{
	struct bed_agent *agent = busy_agent(resend->bed);

	ck_assert_ptr_nonnull(agent);
	vhost_kill(agent->machine);
	agent->agent = NULL;
}

static void fault_agent_restarts(struct resend *resend)
{
	struct bed_agent *agent = busy_agent(resend->bed);

	fault_agent_dies(resend);
	bed_boot_agent(resend->bed, (uint32_t)(agent - resend->bed->agents));
}

static void fault_all_agents_die(struct resend *resend)
{
	for (uint32_t i = 1; i < resend->bed->opts.nr_agents; i++) {
		vhost_kill(resend->bed->agents[i].machine);
		resend->bed->agents[i].agent = NULL;
	}
	vhost_kill(resend->bed->agents[0].machine);
	bed_boot_agent(resend->bed, 0);
	vhost_run_ms(resend->bed->vhost, 3000);
}

static void fault_silence(struct resend *resend)
{
	for (uint32_t i = 0; i < resend->bed->opts.nr_agents; i++)
		vhost_silence(resend->bed->entries[0].machine,
			      resend->bed->agents[i].machine);
}

static void fault_caller_leaves(struct resend *resend)
{
	entry_abandon(resend->bed->entries[0].entry, resend->first);
}

static void fault_control_mute(struct resend *resend)
{
	resend->bed->control_mute = true;
}

/* Kills the entry after its claim was committed, but before the dispatch. */
static void fault_dies_with_claim(struct resend *resend)
{
	resend->bed->control_mute = false;
	fault_entry_dies(resend);
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
	{ "entry killed while it runs", 20, 0, fault_entry_dies, RUN_DONE, 1 },
	{ "entry killed, resent after the run", 20, 1000, fault_entry_dies,
	  RUN_DONE, 1 },
	{ "entry killed after the response", 200, 0, fault_entry_dies, RUN_DONE,
	  1 },
	{ "agent killed while it runs", 20, 0, fault_agent_dies, RUN_UNKNOWN,
	  1 },
	{ "agent restarts while it runs", 20, 1000, fault_agent_restarts,
	  RUN_UNKNOWN, 1 },
	{ "agents killed after the response", 200, 0, fault_all_agents_die,
	  RUN_DONE, 1 },
	{ "connections go silent", 20, 0, fault_silence, RUN_DONE, 1 },
	{ "caller disconnects while it runs", 20, 100, fault_caller_leaves,
	  RUN_DONE, 1 },
	{ "key reused for other work", 20, 0, fault_other_work, RUN_NOT_RUN,
	  1 },
};

static void resend_start(struct resend *resend, uint64_t seed)
{
	struct bed_opts opts = {
		.seed = seed,
		.nr_agents = 3,
		.nr_entries = 2,
		.service_us = RUN_MS * 1000,
		.control = true,
	};

	resend->bed = bed_new(&opts);
	resend->request = bed_request(PATH, false, "order-7", 5000);
}

static void check_resend(const struct resend *resend, const char *name,
			 enum run_state run)
{
	const struct bed_answer *answer =
		bed_answer(resend->bed, resend->second);

	ck_assert_msg(answer->nr == 1, "%s: answered %u times", name,
		      answer->nr);
	ck_assert_msg(answer->run == run, "%s: run %u, %s", name, answer->run,
		      result_name(answer->result));
	if (run == RUN_DONE)
		ck_assert(bed_is_done(resend->bed, resend->second, PATH));
	ck_assert(bed_is_idle(resend->bed));
}

/* Guards against a second run, or a lost response, of a resent request. */
START_TEST(test_resend)
{
	const struct resend_case *resent = &resend_cases[_i];
	struct resend resend = { 0 };
	const struct bed_answer *first;

	resend_start(&resend, 30 + (uint64_t)_i);
	resend.first = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, resent->fault_at_ms);
	resent->fault(&resend);
	vhost_run_ms(resend.bed->vhost, resent->resend_at_ms);
	resend.second = bed_submit(resend.bed, 1, &resend.request);
	vhost_run_ms(resend.bed->vhost, 60000);
	check_resend(&resend, resent->name, resent->run);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), resent->nr_runs);
	ck_assert_uint_eq(bed_runs(resend.bed, "/other"), 0);
	first = bed_answer(resend.bed, resend.first);
	ck_assert_uint_le(first->nr, 1);
	ck_assert(!first->nr || first->run != RUN_NOT_RUN);
	bed_free(resend.bed);
}
END_TEST

/* Guards against a claim without a dispatch that blocks its key forever. */
START_TEST(test_claim_without_dispatch)
{
	struct resend resend = { 0 };

	resend_start(&resend, 60);
	fault_control_mute(&resend);
	resend.first = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 100);
	ck_assert_uint_eq(g_hash_table_size(resend.bed->claims), 1);
	fault_dies_with_claim(&resend);
	resend.second = bed_submit(resend.bed, 1, &resend.request);
	vhost_run_ms(resend.bed->vhost, 5000);
	check_resend(&resend, "claim without dispatch", RUN_DONE);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	bed_free(resend.bed);
}
END_TEST

/* Guards against a claim that stays with an agent that refused to run it. */
START_TEST(test_claim_moves_after_refusal)
{
	struct resend resend = { 0 };

	resend_start(&resend, 61);
	/* All but one refuse; the routing policy chooses the first one. */
	resend.bed->agents[0].mode = BED_REFUSE;
	fake_task_permit(vhost_node(resend.bed->agents[1].machine), false);
	resend.second = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 5000);
	check_resend(&resend, "moved claim", RUN_DONE);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	ck_assert_uint_eq(resend.bed->agents[2].nr_calls, 1);
	bed_free(resend.bed);
}
END_TEST

/* Guards against a dispatch without a committed claim. */
START_TEST(test_no_claim_without_control)
{
	struct resend resend = { 0 };
	const struct bed_answer *answer;

	resend_start(&resend, 62);
	vhost_kill(resend.bed->control);
	vhost_run_ms(resend.bed->vhost, 100);
	resend.second = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 10000);
	answer = bed_answer(resend.bed, resend.second);
	check_resend(&resend, "no control", RUN_NOT_RUN);
	ck_assert_uint_eq(answer->result, RESULT_NO_QUORUM);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 0);
	bed_free(resend.bed);
}
END_TEST

/* Guards against a claim query that is lost with the old leader. */
START_TEST(test_leader_change)
{
	struct resend resend = { 0 };
	uint64_t node_id;

	resend_start(&resend, 63);
	node_id = vhost_node(resend.bed->control)->self.node_id;
	fault_control_mute(&resend);
	resend.second = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 100);
	/* The claim is already committed for this request. */
	resend.bed->control_mute = false;
	fake_site_leader(vhost_node(resend.bed->entries[0].machine), 0);
	fake_site_leader(vhost_node(resend.bed->entries[0].machine), node_id);
	vhost_run_ms(resend.bed->vhost, 100);
	check_resend(&resend, "leader change", RUN_DONE);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	ck_assert_uint_eq(g_hash_table_size(resend.bed->claims), 1);
	bed_free(resend.bed);
}
END_TEST

/* Guards against a response that is lost with the old leader and its agent. */
START_TEST(test_completion_lost_by_leader)
{
	struct resend resend = { 0 };
	uint64_t node_id;

	resend_start(&resend, 66);
	node_id = vhost_node(resend.bed->control)->self.node_id;
	resend.first = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 20);
	resend.bed->control_deaf = true;
	vhost_run_ms(resend.bed->vhost, 1000);
	ck_assert(bed_is_done(resend.bed, resend.first, PATH));
	resend.bed->control_deaf = false;
	fake_site_leader(vhost_node(resend.bed->entries[0].machine), 0);
	fake_site_leader(vhost_node(resend.bed->entries[0].machine), node_id);
	fault_all_agents_die(&resend);
	resend.second = bed_submit(resend.bed, 1, &resend.request);
	vhost_run_ms(resend.bed->vhost, 5000);
	check_resend(&resend, "completion lost", RUN_DONE);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	bed_free(resend.bed);
}
END_TEST

/* Guards against a response that isn't recorded as its caller disconnected. */
START_TEST(test_completion_after_caller_left)
{
	struct resend resend = { 0 };

	resend_start(&resend, 67);
	resend.first = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 20);
	fault_caller_leaves(&resend);
	vhost_run_ms(resend.bed->vhost, 200);
	fault_all_agents_die(&resend);
	resend.second = bed_submit(resend.bed, 1, &resend.request);
	vhost_run_ms(resend.bed->vhost, 5000);
	check_resend(&resend, "caller left", RUN_DONE);
	ck_assert_uint_eq(bed_answer(resend.bed, resend.first)->nr, 0);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	bed_free(resend.bed);
}
END_TEST

/* Guards against "not run" for a request that a resend has run meanwhile. */
START_TEST(test_slow_entry_loses_its_claim)
{
	struct resend resend = { 0 };

	resend_start(&resend, 68);
	resend.request.deadline_ms = 1500;
	for (uint32_t i = 0; i < resend.bed->opts.nr_agents; i++)
		vhost_path(resend.bed->entries[0].machine,
			   resend.bed->agents[i].machine)
			->delay_us = 600000;
	resend.first = bed_submit(resend.bed, 0, &resend.request);
	vhost_run_ms(resend.bed->vhost, 5);
	resend.second = bed_submit(resend.bed, 1, &resend.request);
	vhost_run_ms(resend.bed->vhost, 500);
	/* The first entry gets no reply that names the second claim. */
	resend.bed->control_deaf = true;
	vhost_run_ms(resend.bed->vhost, 5000);
	check_resend(&resend, "moved claim", RUN_DONE);
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	ck_assert_uint_eq(bed_answer(resend.bed, resend.first)->nr, 1);
	ck_assert_uint_eq(bed_answer(resend.bed, resend.first)->run,
			  RUN_UNKNOWN);
	bed_free(resend.bed);
}
END_TEST

/* Guards against two runs when many resends are in progress at a time. */
START_TEST(test_racing_resends)
{
	struct resend resend = { 0 };
	uint32_t nr_done = 0;

	resend_start(&resend, 64 + (uint64_t)_i);
	/* Messages are duplicated, delayed and reordered. */
	vhost_default_path(resend.bed->vhost)->jitter_us = 20000;
	vhost_default_path(resend.bed->vhost)->duplicate_ppm = 100000;
	vhost_default_path(resend.bed->vhost)->unordered = true;
	for (uint32_t i = 0; i < 10; i++) {
		bed_submit(resend.bed, i % 2, &resend.request);
		vhost_run_ms(resend.bed->vhost, (uint64_t)_i % 20);
	}
	vhost_run_ms(resend.bed->vhost, 60000);
	for (uint32_t i = 0; i < 10; i++) {
		const struct bed_answer *answer = bed_answer(resend.bed, i);

		ck_assert_uint_eq(answer->nr, 1);
		if (answer->run == RUN_DONE)
			nr_done += bed_is_done(resend.bed, i, PATH);
	}
	ck_assert_uint_eq(bed_runs(resend.bed, PATH), 1);
	ck_assert_uint_eq(nr_done, 10);
	ck_assert(bed_is_idle(resend.bed));
	bed_free(resend.bed);
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
