/**
 * @file test_request.c
 * Requests through real entries and agents under virtual time: under each
 * failure, the answer to a caller must agree with what the upstreams ran.
 */

#include <stdio.h>

#include "request_harness.h"
#include "suite.h"
#include "tunables.h"

#define LOAD_GAP_MS 2

/* One request of the load; the load is sent at a steady rate. */
struct load_item {
	uint64_t ticket;
	char path[32];
	bool repeatable;
	uint32_t entry;
};

struct mixed_load {
	struct harness *harness;
	GArray *items; /* struct load_item */
};

/* One third each: repeatable, not repeatable, not repeatable with a key. */
static void load_submit(struct mixed_load *load)
{
	struct load_item item = { 0 };
	struct request request;
	uint32_t nr = load->items->len;
	char key[32] = "";

	g_snprintf(item.path, sizeof(item.path), "/load/%u", nr);
	if (nr % 3 == 2)
		g_snprintf(key, sizeof(key), "key-%u", nr);
	item.repeatable = nr % 3 == 0;
	item.entry = nr % load->harness->opts.nr_entries;
	request = harness_request(item.path, item.repeatable, key, 2000);
	if (!sim_node(load->harness->entries[item.entry].machine))
		item.entry = !item.entry;
	item.ticket = harness_submit(load->harness, item.entry, &request);
	g_array_append_val(load->items, item);
}

static void load_run_ms(struct mixed_load *load, uint32_t duration_ms)
{
	for (uint32_t ms = 0; ms < duration_ms; ms += LOAD_GAP_MS) {
		load_submit(load);
		sim_run_ms(load->harness->sim, LOAD_GAP_MS);
	}
}

/* Checks that every answer agrees with the runs of its request. */
static void load_check_answers(const struct mixed_load *load)
{
	for (uint32_t i = 0; i < load->items->len; i++) {
		const struct load_item *item =
			&g_array_index(load->items, struct load_item, i);
		const struct harness_answer *answer =
			harness_answer(load->harness, item->ticket);
		uint32_t nr_runs = harness_runs(load->harness, item->path);

		/* The callers of a killed entry got no answer. */
		if (!answer->nr &&
		    load->harness->entries[item->entry].nr_boots > 1)
			continue;
		ck_assert_msg(answer->nr == 1, "%s answered %u times",
			      item->path, answer->nr);
		if (answer->run == RUN_DONE)
			ck_assert_msg(harness_is_done(load->harness,
						      item->ticket, item->path),
				      "%s got another response", item->path);
		else
			ck_assert(answer->result != RESULT_OK);
		ck_assert_msg(answer->run != RUN_NOT_RUN || !nr_runs,
			      "%s was answered as not run (%s), but ran",
			      item->path, result_name(answer->result));
		ck_assert_msg(item->repeatable || nr_runs <= 1,
			      "%s isn't repeatable and ran %u times",
			      item->path, nr_runs);
	}
}

static uint32_t load_count(const struct mixed_load *load, bool repeatable,
			   enum run_state run)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < load->items->len; i++) {
		const struct load_item *item =
			&g_array_index(load->items, struct load_item, i);
		const struct harness_answer *answer =
			harness_answer(load->harness, item->ticket);

		if (item->repeatable == repeatable && answer->nr &&
		    answer->run == run)
			nr++;
	}
	return nr;
}

/* ---- failures under load ---- */

static void fault_none(struct harness *harness)
{
}

static void fault_kill_agent(struct harness *harness)
{
	sim_kill(harness->agents[0].machine);
	harness->agents[0].agent = NULL;
}

static void heal_boot_agent(struct harness *harness)
{
	harness_boot_agent(harness, 0);
}

static void fault_restart_agent(struct harness *harness)
{
	fault_kill_agent(harness);
	heal_boot_agent(harness);
}

static void fault_pause_agent(struct harness *harness)
{
	sim_pause(harness->agents[0].machine, true);
}

static void heal_resume_agent(struct harness *harness)
{
	sim_pause(harness->agents[0].machine, false);
}

static void fault_silence(struct harness *harness)
{
	sim_blackhole(harness->entries[0].machine, harness->agents[0].machine);
	sim_blackhole(harness->entries[1].machine, harness->agents[1].machine);
}

static void fault_cut(struct harness *harness)
{
	sim_partition(harness->entries[0].machine, harness->agents[0].machine,
		      true);
}

static void heal_cut(struct harness *harness)
{
	sim_partition(harness->entries[0].machine, harness->agents[0].machine,
		      false);
}

static void fault_bad_path(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		for (uint32_t k = 0; k < harness->opts.nr_entries; k++) {
			struct sim_path *to =
				sim_path_between(harness->entries[k].machine,
						 harness->agents[i].machine);
			struct sim_path *back =
				sim_path_between(harness->agents[i].machine,
						 harness->entries[k].machine);

			to->duplicate_ppm = back->duplicate_ppm = 100000;
			to->unordered = back->unordered = true;
			to->jitter_us = back->jitter_us = 20000;
		}
}

static void fault_dropping_path(struct harness *harness)
{
	fault_bad_path(harness);
	for (uint32_t k = 0; k < harness->opts.nr_entries; k++) {
		sim_path_between(harness->entries[k].machine,
				 harness->agents[0].machine)
			->drop_ppm = 200000;
		sim_path_between(harness->agents[1].machine,
				 harness->entries[k].machine)
			->drop_ppm = 200000;
	}
}

static void fault_refuse(struct harness *harness)
{
	harness->agents[0].mode = HARNESS_REFUSE;
}

static void fault_break(struct harness *harness)
{
	harness->agents[0].mode = HARNESS_BREAK;
}

static void heal_serve(struct harness *harness)
{
	harness->agents[0].mode = HARNESS_SERVE;
}

static void fault_leave(struct harness *harness)
{
	harness->agents[0].leaving = true;
}

static void fault_stop_announcing(struct harness *harness)
{
	harness->agents[0].silent = true;
}

static void fault_zone_out(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_entries; i++)
		fake_site_zone(sim_node(harness->entries[i].machine),
			       harness->agents[0].zone, true);
	fake_task_zone_out(sim_node(harness->agents[0].machine), true);
}

static void fault_agent_zone_out(struct harness *harness)
{
	fake_task_zone_out(sim_node(harness->agents[0].machine), true);
}

static void fault_no_permit(struct harness *harness)
{
	fake_task_permit(sim_node(harness->agents[0].machine), false);
}

static void fault_shutdown_agent(struct harness *harness)
{
	sim_shutdown(harness->agents[0].machine);
}

static void fault_restart_entry(struct harness *harness)
{
	sim_kill(harness->entries[0].machine);
	harness_boot_entry(harness, 0);
}

static void fault_drop_claim_replies(struct harness *harness)
{
	harness->control_drops_replies = true;
}

static void heal_claim_replies(struct harness *harness)
{
	harness->control_drops_replies = false;
}

static void fault_slow_upstream(struct harness *harness)
{
	harness->agents[0].slow_ppm = 20000000;
}

struct fault_case {
	const char *name;
	void (*fault)(struct harness *harness);
	void (*heal)(struct harness *harness);
	/* How many of the 900 requests may get no response, at most. */
	uint32_t max_lost;
};

/*
 * Two of the three upstreams can serve the whole load, so only requests that
 * were in progress at the fault, or that need the failed component, may be
 * lost.
 */
static const struct fault_case fault_cases[] = {
	{ "none", fault_none, fault_none, 0 },
	{ "agent is killed", fault_kill_agent, heal_boot_agent, 20 },
	{ "agent restarts", fault_restart_agent, fault_none, 20 },
	{ "agent pauses", fault_pause_agent, heal_resume_agent, 20 },
	{ "connections go silent", fault_silence, fault_none, 20 },
	{ "partition", fault_cut, heal_cut, 20 },
	{ "duplicated and unordered messages", fault_bad_path, fault_none, 0 },
	{ "lost messages", fault_dropping_path, fault_none, 900 },
	{ "upstream refuses connections", fault_refuse, heal_serve, 0 },
	{ "upstream closes in the response", fault_break, heal_serve, 40 },
	{ "upstream leaves", fault_leave, fault_none, 0 },
	{ "upstream stops announcing", fault_stop_announcing, fault_none, 0 },
	{ "zone goes out", fault_zone_out, fault_none, 0 },
	{ "zone is out at the agent only", fault_agent_zone_out, fault_none,
	  0 },
	{ "permit is lost", fault_no_permit, fault_none, 0 },
	{ "agent shuts down", fault_shutdown_agent, fault_none, 0 },
	{ "entry restarts", fault_restart_entry, fault_none, 20 },
	{ "claims get no reply", fault_drop_claim_replies, heal_claim_replies,
	  0 },
	{ "upstream is 20 times slower", fault_slow_upstream, fault_none, 20 },
};

/* Guards against answers that don't agree with what ran, for each failure. */
START_TEST(test_answers_match_runs)
{
	const struct fault_case *fault = &fault_cases[_i];
	struct harness_opts opts = {
		.seed = 7 + (uint64_t)_i,
		.nr_agents = 3,
		.nr_entries = 2,
		.service_us = 10000,
		.spread_ppm = 500000,
		.control = true,
	};
	struct mixed_load load = { 0 };
	uint32_t nr_done;

	load.harness = harness_new(&opts);
	load.items = g_array_new(FALSE, FALSE, sizeof(struct load_item));
	load_run_ms(&load, 400);
	fault->fault(load.harness);
	load_run_ms(&load, 1000);
	fault->heal(load.harness);
	load_run_ms(&load, 400);
	sim_run_ms(load.harness->sim, 60000);
	load_check_answers(&load);
	ck_assert(harness_is_idle(load.harness));
	for (uint32_t i = 0; i < opts.nr_agents; i++)
		ck_assert_uint_le(load.harness->agents[i].max_in_flight, 8);
	nr_done = load_count(&load, true, RUN_DONE) +
		  load_count(&load, false, RUN_DONE);
	ck_assert_msg(nr_done + fault->max_lost >= load.items->len,
		      "%s: %u of %u done", fault->name, nr_done,
		      load.items->len);
	if (g_getenv("REQUEST_VERBOSE"))
		fprintf(stderr, "%s: done=%u of %u\n", fault->name, nr_done,
			load.items->len);
	g_array_unref(load.items);
	harness_free(load.harness);
}
END_TEST

/* ---- single requests ---- */

static struct harness *small_harness(uint64_t seed, uint32_t nr_agents)
{
	struct harness_opts opts = {
		.seed = seed,
		.nr_agents = nr_agents,
		.nr_entries = 2,
		.service_us = 50000,
		.control = true,
	};

	return harness_new(&opts);
}

static uint64_t submit(struct harness *harness, uint32_t entry,
		       const char *path, bool repeatable, uint32_t deadline_ms)
{
	struct request request =
		harness_request(path, repeatable, "", deadline_ms);

	return harness_submit(harness, entry, &request);
}

/* Returns an agent whose upstream runs a request, NULL if there is none. */
static struct harness_agent *busy_agent(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		if (harness->agents[i].in_flight)
			return &harness->agents[i];
	return NULL;
}

struct refusal_case {
	const char *name;
	void (*fault)(struct harness *harness);
	uint32_t deadline_ms;
	bool repeatable;
	enum result result; /* RESULT_OK: the request is served */
};

static void fault_no_permits(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		fake_task_permit(sim_node(harness->agents[i].machine), false);
}

static void fault_all_zones_out(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		fake_task_zone_out(sim_node(harness->agents[i].machine), true);
}

/* Only the entry knows that the zone is out; the agents accept requests. */
static void fault_zones_out_at_entry(struct harness *harness)
{
	harness->agents[1].leaving = true;
	sim_run_ms(harness->sim, 2000);
	fake_site_zone(sim_node(harness->entries[0].machine),
		       harness->agents[0].zone, true);
}

static void fault_all_leave(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		harness->agents[i].leaving = true;
	sim_run_ms(harness->sim, 2000);
}

static void fault_all_refuse(struct harness *harness)
{
	for (uint32_t i = 0; i < harness->opts.nr_agents; i++)
		harness->agents[i].mode = HARNESS_REFUSE;
}

static void fault_entry_leaves(struct harness *harness)
{
	sim_shutdown(harness->entries[0].machine);
}

static void fault_new_entry(struct harness *harness)
{
	sim_kill(harness->entries[0].machine);
	harness_boot_entry(harness, 0);
}

static const struct refusal_case refusal_cases[] = {
	{ "none", fault_none, 1000, false, RESULT_OK },
	{ "no permit, once", fault_no_permits, 1000, false, RESULT_NO_PERMIT },
	{ "no permit, repeatable", fault_no_permits, 1000, true, RESULT_OK },
	{ "zone out, once", fault_all_zones_out, 1000, false, RESULT_ZONE_OUT },
	{ "zone out, repeatable", fault_all_zones_out, 1000, true,
	  RESULT_ZONE_OUT },
	{ "zone out at the entry", fault_zones_out_at_entry, 1000, true,
	  RESULT_NO_UPSTREAM },
	{ "all upstreams leave", fault_all_leave, 1000, true,
	  RESULT_NO_UPSTREAM },
	{ "no connection", fault_all_refuse, 1000, false,
	  RESULT_UPSTREAM_FAILED },
	{ "entry shuts down", fault_entry_leaves, 1000, true, RESULT_LEAVING },
	{ "entry just started", fault_new_entry, 1000, true,
	  RESULT_NO_UPSTREAM },
};

/* Guards against a run of a request that was refused. */
START_TEST(test_refusals)
{
	const struct refusal_case *refusal = &refusal_cases[_i];
	struct harness *harness = small_harness(100 + (uint64_t)_i, 2);
	uint64_t ticket;

	refusal->fault(harness);
	ticket = submit(harness, 0, "/boat", refusal->repeatable,
			refusal->deadline_ms);
	sim_run_ms(harness->sim, 30000);
	if (refusal->result == RESULT_OK) {
		ck_assert(harness_is_done(harness, ticket, "/boat"));
		ck_assert_uint_eq(harness_runs(harness, "/boat"), 1);
	} else {
		const struct harness_answer *answer =
			harness_answer(harness, ticket);

		ck_assert_msg(
			harness_is_refused(harness, ticket, refusal->result),
			"%s: answered %u times, run %u, %s", refusal->name,
			answer->nr, answer->run, result_name(answer->result));
		ck_assert_uint_eq(harness_runs(harness, "/boat"), 0);
	}
	harness_free(harness);
}
END_TEST

struct leave_case {
	const char *name;
	void (*fault)(struct harness *harness);
	uint32_t detect_ms; /* until the entries notice; then 2 s are left */
};

static const struct leave_case leave_cases[] = {
	{ "upstream announces it", fault_leave, 1000 /* next announcement */ },
	{ "announcements stop", fault_stop_announcing,
	  UPSTREAM_ANNOUNCE_TTL_MS },
	{ "agent shuts down", fault_shutdown_agent, 0 },
	{ "zone goes out", fault_zone_out, 0 },
	{ "agent is partitioned", fault_cut, 0 },
};

/* Guards against new requests for an upstream 2 s after it began to leave. */
START_TEST(test_leaving_upstream_gets_nothing_new)
{
	const struct leave_case *leave = &leave_cases[_i];
	struct harness_opts opts = {
		.seed = 200 + (uint64_t)_i,
		.nr_agents = 3,
		.nr_entries = 2,
		.service_us = 10000,
		.control = true,
	};
	struct mixed_load load = { 0 };
	uint32_t nr_calls;

	load.harness = harness_new(&opts);
	load.items = g_array_new(FALSE, FALSE, sizeof(struct load_item));
	load_run_ms(&load, 500);
	ck_assert_uint_gt(load.harness->agents[0].nr_calls, 0);
	leave->fault(load.harness);
	if (leave->fault == fault_cut)
		sim_partition(load.harness->entries[1].machine,
			      load.harness->agents[0].machine, true);
	load_run_ms(&load, leave->detect_ms + 2000);
	nr_calls = load.harness->agents[0].nr_calls;
	load_run_ms(&load, 3000);
	ck_assert_uint_eq(load.harness->agents[0].nr_calls, nr_calls);
	sim_run_ms(load.harness->sim, 10000);
	load_check_answers(&load);
	g_array_unref(load.items);
	harness_free(load.harness);
}
END_TEST

/* Guards against a shutdown that interrupts requests in progress. */
START_TEST(test_graceful_shutdown)
{
	struct harness *harness = small_harness(300, 1);
	bool agent_side = _i == 0;
	struct sim_machine *leaving = agent_side ? harness->agents[0].machine :
						   harness->entries[0].machine;
	char path[32];

	/* More requests than slots, so that some are queued at the agent. */
	for (uint32_t i = 0; i < 16; i++) {
		g_snprintf(path, sizeof(path), "/boat/%u", i);
		submit(harness, i % 2, path, i % 3 == 0, 5000);
	}
	sim_run_ms(harness->sim, 10);
	ck_assert_uint_eq(harness->agents[0].in_flight, 8);
	sim_shutdown(leaving);
	ck_assert(!node_idle(sim_node(leaving)));
	submit(harness, 0, "/late", true, 1000);
	sim_run_ms(harness->sim, 500);
	ck_assert(node_idle(sim_node(leaving)));
	for (uint32_t i = 0; i < 16; i++) {
		g_snprintf(path, sizeof(path), "/boat/%u", i);
		ck_assert_msg(harness_is_done(harness, i, path), "%s", path);
	}
	ck_assert_uint_eq(harness_answer(harness, 16)->run, RUN_NOT_RUN);
	ck_assert_uint_eq(harness_runs(harness, "/late"), 0);
	ck_assert_uint_eq(harness->agents[0].nr_cancelled, 0);
	harness_free(harness);
}
END_TEST

/* Guards against a replaced connection that loses or repeats a request. */
START_TEST(test_replaced_link)
{
	struct harness *harness = small_harness(400 + (uint64_t)_i, 1);
	struct sim_machine *entry = harness->entries[0].machine;
	struct sim_machine *agent = harness->agents[0].machine;
	/* Before the request arrives, in the run, before the response does. */
	static const uint32_t lost_at_ms[] = { 0, 10, 51 };
	uint64_t ticket = submit(harness, 0, "/boat", false, 5000);

	sim_run_ms(harness->sim, lost_at_ms[_i]);
	sim_blackhole(entry, agent);
	sim_run_ms(harness->sim, 4000);
	ck_assert_uint_ge(sim_log_count(harness->sim, "link-replaced"), 1);
	ck_assert(harness_is_done(harness, ticket, "/boat"));
	ck_assert_uint_eq(harness_runs(harness, "/boat"), 1);
	harness_free(harness);
}
END_TEST

/* Guards against a reset connection that loses a running request. */
START_TEST(test_reset_connection)
{
	struct harness *harness = small_harness(450, 1);
	struct node *agent = sim_node(harness->agents[0].machine);
	uint64_t ticket = submit(harness, 0, "/boat", false, 5000);

	sim_run_ms(harness->sim, 10);
	agent->host->close_peer(
		agent->host_ctx,
		sim_node(harness->entries[0].machine)->self.node_id);
	sim_run_ms(harness->sim, 4000);
	ck_assert_uint_ge(sim_log_count(harness->sim, "link-down"), 1);
	ck_assert(harness_is_done(harness, ticket, "/boat"));
	ck_assert_uint_eq(harness_runs(harness, "/boat"), 1);
	harness_free(harness);
}
END_TEST

/*
 * Guards against a request that is run again although it isn't repeatable, or
 * answered with "not run", after its agent was killed.
 */
START_TEST(test_agent_dies_with_request)
{
	struct harness *harness = small_harness(500 + (uint64_t)_i, 2);
	bool repeatable = _i % 2;
	bool reboot = _i / 2;
	uint64_t ticket = submit(harness, 0, "/boat", repeatable, 5000);
	struct harness_agent *busy;

	sim_run_ms(harness->sim, 10);
	busy = busy_agent(harness);
	ck_assert_ptr_nonnull(busy);
	sim_kill(busy->machine);
	busy->agent = NULL;
	if (reboot)
		harness_boot_agent(harness, (uint32_t)(busy - harness->agents));
	sim_run_ms(harness->sim, 10000);
	if (repeatable) {
		ck_assert(harness_is_done(harness, ticket, "/boat"));
		ck_assert_uint_eq(harness_runs(harness, "/boat"), 2);
	} else {
		ck_assert_uint_eq(harness_answer(harness, ticket)->nr, 1);
		ck_assert_uint_eq(harness_answer(harness, ticket)->run,
				  RUN_UNKNOWN);
		ck_assert_uint_eq(harness_runs(harness, "/boat"), 1);
	}
	harness_free(harness);
}
END_TEST

/* Guards against runs and memory leaked by callers that disconnected. */
START_TEST(test_abandoned_request)
{
	struct harness *harness = small_harness(600 + (uint64_t)_i, 1);
	bool repeatable = _i == 0;
	uint64_t ticket;

	for (uint32_t i = 0; i < 8; i++)
		submit(harness, 1, "/other", true, 5000);
	sim_run_ms(harness->sim, 10);
	ticket = submit(harness, 0, "/queued", repeatable, 5000);
	sim_run_ms(harness->sim, 10);
	entry_abandon(harness->entries[0].entry, ticket);
	sim_run_ms(harness->sim, 50);
	ticket = submit(harness, 0, "/boat", repeatable, 5000);
	sim_run_ms(harness->sim, 10);
	entry_abandon(harness->entries[0].entry, ticket);
	/* A second call for the same ticket has no effect. */
	entry_abandon(harness->entries[0].entry, ticket);
	sim_run_ms(harness->sim, 10);
	ck_assert_uint_eq(harness->agents[0].nr_cancelled, repeatable);
	sim_run_ms(harness->sim, 1000);
	ck_assert_uint_eq(harness_answer(harness, ticket)->nr, 0);
	ck_assert_uint_eq(harness_runs(harness, "/queued"), 0);
	ck_assert_uint_eq(harness_runs(harness, "/boat"), 1);
	ck_assert(harness_is_idle(harness));
	harness_free(harness);
}
END_TEST

struct deadline_case {
	const char *name;
	uint32_t nr_ahead;
	uint32_t deadline_ms;
	bool repeatable;
	enum run_state run;
	uint32_t nr_runs;
	uint32_t nr_cancelled;
};

static const struct deadline_case deadline_cases[] = {
	{ "enough time", 0, 1000, true, RUN_DONE, 1, 0 },
	{ "too little time from the start", 0, 20, true, RUN_NOT_RUN, 0, 0 },
	{ "too little time in the queue", 1, 80, true, RUN_NOT_RUN, 0, 0 },
};

/* Guards against a run after the caller was answered with "not run". */
START_TEST(test_deadlines)
{
	const struct deadline_case *deadline = &deadline_cases[_i];
	struct harness *harness = small_harness(700 + (uint64_t)_i, 1);
	const struct harness_answer *answer;
	uint64_t ticket;

	/* Entry and agent measure the service time. */
	submit(harness, 0, "/first", true, 1000);
	sim_run_ms(harness->sim, 200);
	harness->agents[0].slots = 1;
	sim_run_ms(harness->sim, 1500);
	/* Requests of the other entry are queued first. */
	for (uint32_t i = 0; i < deadline->nr_ahead; i++)
		submit(harness, 1, "/ahead", true, 1000);
	sim_run_ms(harness->sim, 2);
	ticket = submit(harness, 0, "/boat", deadline->repeatable,
			deadline->deadline_ms);
	sim_run_ms(harness->sim, 5000);
	answer = harness_answer(harness, ticket);
	ck_assert_uint_eq(answer->nr, 1);
	ck_assert_msg(answer->run == deadline->run, "%s: run %u, %s",
		      deadline->name, answer->run, result_name(answer->result));
	ck_assert_uint_le(answer->answered_us - answer->submitted_us,
			  deadline->deadline_ms * 1000ull);
	ck_assert_uint_eq(harness_runs(harness, "/boat"), deadline->nr_runs);
	ck_assert(harness_is_idle(harness));
	harness_free(harness);
}
END_TEST

/* Guards against a run that goes on forever after the caller's deadline. */
START_TEST(test_overrun)
{
	struct harness *harness = small_harness(750, 1);
	bool repeatable = _i == 0;
	uint64_t ticket;

	harness->agents[0].slow_ppm = 2000000000;
	ticket = submit(harness, 0, "/boat", repeatable, 500);
	sim_run_ms(harness->sim, 600);
	ck_assert_uint_eq(harness_answer(harness, ticket)->nr, 1);
	ck_assert_uint_eq(harness_answer(harness, ticket)->run, RUN_UNKNOWN);
	ck_assert_uint_eq(harness->agents[0].nr_cancelled, repeatable);
	sim_run_ms(harness->sim, ADMIT_OVERRUN_MS + 1000);
	ck_assert_uint_eq(harness->agents[0].nr_cancelled, 1);
	ck_assert_uint_eq(harness_answer(harness, ticket)->nr, 1);
	ck_assert(harness_is_idle(harness));
	harness_free(harness);
}
END_TEST

/* Guards against overload beyond the limits of an upstream or an entry. */
START_TEST(test_overload)
{
	struct harness *harness = small_harness(800, 2);
	uint32_t nr_refused = 0;
	uint32_t nr_done = 0;

	/* One upstream is limited by its connections, not by its slots. */
	harness->agents[1].connections = 3;
	sim_run_ms(harness->sim, 1500);
	for (uint32_t i = 0; i < 2000; i++) {
		submit(harness, i % 2, "/boat", i % 4 != 0, 1000);
		sim_run_ms(harness->sim, 1);
	}
	sim_run_ms(harness->sim, 5000);
	for (uint32_t i = 0; i < 2000; i++) {
		const struct harness_answer *answer =
			harness_answer(harness, i);

		ck_assert_uint_eq(answer->nr, 1);
		nr_done += answer->run == RUN_DONE;
		nr_refused += answer->run == RUN_NOT_RUN;
	}
	ck_assert_uint_eq(nr_done + nr_refused, 2000);
	/* 11 slots at 50 ms carry 220 requests per second. */
	ck_assert_uint_ge(nr_done, 400);
	ck_assert_uint_le(harness->agents[0].max_in_flight, 8);
	ck_assert_uint_le(harness->agents[1].max_in_flight, 3);
	ck_assert_uint_eq(harness_runs(harness, "/boat"), nr_done);
	harness_free(harness);
}
END_TEST

/*
 * Guards against a burst that is refused although it could be served in time,
 * and against a queue that is unbounded or not ordered by deadline.
 */
START_TEST(test_burst)
{
	struct harness *harness = small_harness(850, 1);
	uint32_t nr_served = 8 + 8 * ENTRY_QUEUE_PER_SLOT;
	char path[32];

	/* The entry measures the service time. */
	submit(harness, 0, "/boat/0", true, 1000);
	sim_run_ms(harness->sim, 200);
	for (uint32_t i = 1; i <= 100; i++) {
		g_snprintf(path, sizeof(path), "/boat/%u", i);
		/* The last two to fit the queue have the earliest deadlines. */
		submit(harness, 0, path, i % 2, i > 70 ? 2000 : 3000);
	}
	entry_abandon(harness->entries[0].entry, 20);
	sim_run_ms(harness->sim, 60);
	ck_assert_uint_eq(harness->agents[0].in_flight, 8);
	ck_assert_uint_eq(harness_runs(harness, "/boat/71"), 1);
	ck_assert_uint_eq(harness_runs(harness, "/boat/72"), 1);
	ck_assert_uint_eq(harness_runs(harness, "/boat/14"), 1);
	ck_assert_uint_eq(harness_runs(harness, "/boat/15"), 0);
	sim_run_ms(harness->sim, 5000);
	for (uint32_t i = 1; i <= 100; i++) {
		g_snprintf(path, sizeof(path), "/boat/%u", i);
		if (i == 20)
			ck_assert_uint_eq(harness_runs(harness, path), 0);
		else if (i <= nr_served)
			ck_assert_msg(harness_is_done(harness, i, path), "%s",
				      path);
		else
			ck_assert(harness_is_refused(harness, i,
						     RESULT_OVERLOADED));
	}
	ck_assert_uint_le(harness->agents[0].max_in_flight, 8);
	ck_assert(harness_is_idle(harness));
	harness_free(harness);
}
END_TEST

/* Guards against a failing upstream that still gets its share of requests. */
START_TEST(test_ejection)
{
	/* How many of six upstreams fail, and how many may be ejected. */
	static const uint32_t nr_bad[] = { 1, 2, 6 };
	static const uint32_t nr_ejected[] = { 1, 2, 2 };
	struct harness_opts opts = {
		.seed = 900 + (uint64_t)_i,
		.nr_agents = 6,
		.nr_entries = 1,
		.service_us = 10000,
	};
	struct harness *harness = harness_new(&opts);
	uint32_t nr_bad_calls = 0;

	for (uint32_t i = 0; i < nr_bad[_i]; i++)
		harness->agents[i].mode = HARNESS_FAIL;
	for (uint32_t i = 0; i < 1000; i++) {
		submit(harness, 0, "/boat", false, 1000);
		sim_run_ms(harness->sim, 1);
	}
	ck_assert_uint_eq(harness_entry_counter(harness, "entry_ejections"),
			  nr_ejected[_i]);
	for (uint32_t i = 0; i < nr_ejected[_i]; i++)
		nr_bad_calls += harness->agents[i].nr_calls;
	if (nr_bad[_i] < 6)
		ck_assert_uint_le(nr_bad_calls, 20ull * nr_bad[_i]);
	/* After ejection and slow start, healthy upstreams get requests. */
	for (uint32_t i = 0; i < 6; i++)
		harness->agents[i].mode = HARNESS_SERVE;
	sim_run_ms(harness->sim, EJECT_BASE_MS + SLOW_START_MS);
	nr_bad_calls = harness->agents[0].nr_calls;
	for (uint32_t i = 0; i < 1000; i++) {
		submit(harness, 0, "/boat", false, 1000);
		sim_run_ms(harness->sim, 1);
	}
	ck_assert_uint_ge(harness->agents[0].nr_calls - nr_bad_calls, 50);
	harness_free(harness);
}
END_TEST

/* Guards against retries that multiply the load on a failing service. */
START_TEST(test_retry_budget)
{
	struct harness *harness = small_harness(1000, 2);
	uint32_t nr_calls;

	harness->agents[0].mode = HARNESS_BREAK;
	harness->agents[1].mode = HARNESS_BREAK;
	for (uint32_t i = 0; i < 1000; i++) {
		submit(harness, 0, "/boat", true, 1000);
		sim_run_ms(harness->sim, 10);
	}
	sim_run_ms(harness->sim, 2000);
	nr_calls = harness->agents[0].nr_calls + harness->agents[1].nr_calls;
	ck_assert_uint_gt(nr_calls, 1000);
	ck_assert_uint_le(nr_calls, 1000 + 100 + RETRY_BURST);
	harness_free(harness);
}
END_TEST

/*
 * Guards against single slow runs that determine the tail latency, against
 * hedges of requests that aren't repeatable, and against hedges beyond their
 * budget.
 */
START_TEST(test_hedging)
{
	bool repeatable = _i == 0;
	struct harness *harness = small_harness(1100, 3);
	uint32_t nr_slow = 0;

	for (uint32_t i = 0; i < 1000; i++) {
		/* Every fiftieth run takes a second, once p95 is known. */
		for (uint32_t k = 0; k < 3; k++)
			harness->agents[k].slow_ppm =
				i % 50 == 24 && i >= 100 ? 20000000 : 1000000;
		submit(harness, 0, "/boat", repeatable, 5000);
		sim_run_ms(harness->sim, 5);
	}
	sim_run_ms(harness->sim, 5000);
	for (uint32_t i = 0; i < 1000; i++) {
		const struct harness_answer *answer =
			harness_answer(harness, i);

		ck_assert(harness_is_done(harness, i, "/boat"));
		if (answer->answered_us - answer->submitted_us > 500000)
			nr_slow++;
	}
	ck_assert_uint_le(harness_entry_counter(harness, "entry_hedges"),
			  1000 / 20 + HEDGE_BURST);
	if (repeatable) {
		ck_assert_uint_eq(nr_slow, 0);
		ck_assert_uint_ge(
			harness_entry_counter(harness, "entry_hedges"), 18);
		ck_assert(harness_is_idle(harness));
	} else {
		ck_assert_uint_eq(nr_slow, 18);
		ck_assert_uint_eq(harness_runs(harness, "/boat"), 1000);
	}
	harness_free(harness);
}
END_TEST

/* Guards against hedges that double the load when all upstreams slow down. */
START_TEST(test_hedge_budget)
{
	struct harness *harness = small_harness(1150, 3);
	uint64_t nr_hedges;

	/* Enough runs at full speed that the p95 lags behind the change. */
	for (uint32_t i = 0; i < 1900; i++) {
		submit(harness, 0, "/boat", true, 5000);
		sim_run_ms(harness->sim, 10);
	}
	nr_hedges = harness_entry_counter(harness, "entry_hedges");
	for (uint32_t k = 0; k < 3; k++)
		harness->agents[k].slow_ppm = 3000000;
	for (uint32_t i = 0; i < 100; i++) {
		submit(harness, 0, "/boat", true, 5000);
		sim_run_ms(harness->sim, 20);
	}
	nr_hedges = harness_entry_counter(harness, "entry_hedges") - nr_hedges;
	ck_assert_uint_ge(nr_hedges, HEDGE_BURST);
	ck_assert_uint_le(nr_hedges, HEDGE_BURST + 100 / 20);
	harness_free(harness);
}
END_TEST

#define LOOP(test, nr) tcase_add_loop_test(tcase, test, 0, nr)

int main(void)
{
	Suite *suite = suite_create("request");
	TCase *tcase = tcase_create("request");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 100);
	LOOP(test_answers_match_runs, G_N_ELEMENTS(fault_cases));
	LOOP(test_refusals, G_N_ELEMENTS(refusal_cases));
	LOOP(test_leaving_upstream_gets_nothing_new, G_N_ELEMENTS(leave_cases));
	LOOP(test_graceful_shutdown, 2);
	LOOP(test_replaced_link, 3);
	tcase_add_test(tcase, test_reset_connection);
	LOOP(test_agent_dies_with_request, 4);
	LOOP(test_abandoned_request, 2);
	LOOP(test_deadlines, G_N_ELEMENTS(deadline_cases));
	LOOP(test_overrun, 2);
	tcase_add_test(tcase, test_overload);
	tcase_add_test(tcase, test_burst);
	LOOP(test_ejection, 3);
	tcase_add_test(tcase, test_retry_budget);
	LOOP(test_hedging, 2);
	tcase_add_test(tcase, test_hedge_budget);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
