/**
 * @file test_route.c
 * Unit tests of the routing policies, budgets, an entry's statistics of
 * upstreams, and an agent's records of outcomes.
 */

#include "budget.h"
#include "outcome.h"
#include "route.h"
#include "schema.h"
#include "service.h"
#include "suite.h"
#include "tunables.h"

#define SECOND_US 1000000ull

/* Guards against extra sends beyond the share and the burst. */
START_TEST(test_budget)
{
	struct budget budget;
	uint32_t nr_spent = 0;

	budget_init(&budget, 100000, 5);
	for (uint32_t i = 0; i < 1000; i++) {
		budget_earn(&budget);
		nr_spent += budget_spend(&budget);
	}
	/* The first request earns nothing: the burst is full. */
	ck_assert_uint_eq(nr_spent, 5 + 999 / 10);
	/* Credit beyond the burst isn't saved. */
	for (uint32_t i = 0; i < 1000; i++)
		budget_earn(&budget);
	for (nr_spent = 0; budget_spend(&budget);)
		nr_spent++;
	ck_assert_uint_eq(nr_spent, 5);
}
END_TEST

static struct load load_of(uint32_t slots, uint32_t in_flight,
			   uint32_t service_time_us)
{
	struct load load = { 0 };

	load.slots = slots;
	load.connections = 64;
	load.in_flight = in_flight;
	load.service_time_us = service_time_us;
	return load;
}

struct estimate_case {
	const char *name;
	uint32_t delay_us;
	uint32_t loss_ppm;
	uint32_t cost_ppm;
	uint32_t service_time_us;
	uint32_t load;
};

/* Guards against a worse upstream that is preferred to a good one. */
START_TEST(test_estimate)
{
	static const struct estimate_case good = {
		"good", 500, 0, 0, 10000, 2
	};
	static const struct estimate_case worse[] = {
		{ "longer path", 3500, 0, 0, 10000, 2 },
		{ "losing packets", 500, 20000, 0, 10000, 2 },
		{ "costly zone", 500, 0, 200000, 10000, 2 },
		{ "slower", 500, 0, 0, 50000, 0 },
		{ "busier", 500, 0, 0, 10000, 3 },
		{ "overloaded", 500, 0, 0, 10000, 20 },
	};
	struct upstream *upstream = upstream_new(1);
	struct load load = load_of(8, 0, 10000);
	struct route_candidate pair[2] = { 0 };
	struct route_query query = { pair, 2, 0, NULL };

	upstream_report(upstream, &load, 0, SECOND_US);
	for (size_t i = 0; i < G_N_ELEMENTS(worse); i++) {
		const struct estimate_case *item[2] = { &worse[i], &good };

		for (uint32_t k = 0; k < 2; k++) {
			pair[k].upstream = upstream;
			pair[k].delay_us = item[k]->delay_us;
			pair[k].loss_ppm = item[k]->loss_ppm;
			pair[k].cost_ppm = item[k]->cost_ppm;
			pair[k].service_time_us = item[k]->service_time_us;
			pair[k].load = item[k]->load;
			route_estimate(&pair[k]);
		}
		ck_assert_msg(route_find("")->pick(&query) == 1, "%s",
			      worse[i].name);
	}
	upstream_free(upstream);
}
END_TEST

/* Guards against all entries choosing the same upstream, the best one. */
START_TEST(test_better_half)
{
	struct upstream *upstream = upstream_new(1);
	struct route_candidate candidates[6] = { 0 };
	struct route_query query = { candidates, 6, 0, NULL };
	uint32_t nr_picked[6] = { 0 };
	GRand *rand = g_rand_new_with_seed(5);

	for (uint32_t i = 0; i < 6; i++) {
		candidates[i].upstream = upstream;
		candidates[i].cost_us = 1000ull * (6 - i);
	}
	for (uint32_t i = 0; i < 9000; i++) {
		query.random = (uint64_t)g_rand_int(rand) << 32 |
			       g_rand_int(rand);
		nr_picked[route_find("")->pick(&query)]++;
	}
	/* The better of two draws from three: 5/9, 3/9 and 1/9. */
	ck_assert_uint_eq(nr_picked[0] + nr_picked[1] + nr_picked[2], 0);
	ck_assert(nr_picked[5] > 4700 && nr_picked[5] < 5300);
	ck_assert(nr_picked[4] > 2700 && nr_picked[4] < 3300);
	ck_assert(nr_picked[3] > 800 && nr_picked[3] < 1200);
	g_rand_free(rand);
	upstream_free(upstream);
}
END_TEST

/*
 * Guards against a round robin policy that doesn't take candidates in turn, and
 * against an unknown policy name that doesn't select the default.
 */
START_TEST(test_policies)
{
	struct route_candidate candidates[3] = { 0 };
	uint32_t cursor = 0;
	struct route_query query = { candidates, 3, 0, &cursor };
	const struct route_ops *turns = route_find("round-robin");

	for (uint32_t i = 0; i < 9; i++)
		ck_assert_uint_eq(turns->pick(&query), i % 3);
	ck_assert_str_eq(route_find("nonsense")->name, "expected-completion");
}
END_TEST

/* Guards against a load that omits attempts sent since the last report. */
START_TEST(test_load_counts_own_sends)
{
	struct upstream *upstream = upstream_new(1);
	struct load load = load_of(8, 3, 10000);

	upstream_report(upstream, &load, 2000, SECOND_US);
	ck_assert_uint_eq(upstream_load(upstream), 3);
	upstream_sent(upstream, SECOND_US + 1000);
	upstream_sent(upstream, SECOND_US + 5000);
	ck_assert_uint_eq(upstream_load(upstream), 5);
	/* The first send has arrived by now, the second one has not. */
	load.in_flight = 4;
	upstream_report(upstream, &load, 2000, SECOND_US + 6000);
	ck_assert_uint_eq(upstream_load(upstream), 5);
	upstream_free(upstream);
}
END_TEST

/* Guards against a limit that ignores rising service times or stays low. */
START_TEST(test_learned_limit)
{
	struct upstream *upstream = upstream_new(1);
	struct load load = load_of(8, 0, 10000);
	struct upstream_sample sample = { .end = UPSTREAM_END_OK };
	uint64_t now_us = SECOND_US;

	upstream_report(upstream, &load, 0, now_us);
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 8);
	for (uint32_t i = 0; i < 800; i++) {
		/* Four times slower from run 300 to 359. */
		sample.run_us = i < 300 || i >= 360 ? 10000 : 40000;
		upstream_sent(upstream, now_us);
		upstream_ended(upstream, &sample, now_us);
		if (i == 299)
			ck_assert_uint_eq(upstream_limit(upstream, now_us), 8);
		if (i == 359)
			ck_assert_uint_le(upstream_limit(upstream, now_us), 4);
	}
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 8);
	/* Fewer slots lower the limit at once. */
	load.slots = 2;
	upstream_report(upstream, &load, 0, now_us);
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 2);
	load.slots = 8;
	load.connections = 1;
	upstream_report(upstream, &load, 0, now_us);
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 1);
	upstream_free(upstream);
}
END_TEST

/* Guards against new requests on the basis of an outdated load report. */
START_TEST(test_old_report)
{
	struct upstream *upstream = upstream_new(1);
	struct load load = load_of(8, 0, 10000);
	uint64_t now_us = SECOND_US;

	ck_assert(!upstream_is_open(upstream, now_us));
	upstream_report(upstream, &load, 0, now_us);
	ck_assert(upstream_is_open(upstream, now_us));
	ck_assert(upstream_is_open(upstream,
				   now_us + LOAD_INTERVAL_MS * 3000ull));
	ck_assert(!upstream_is_open(upstream, now_us + 2 * SECOND_US));
	load.leaving = true;
	upstream_report(upstream, &load, 0, now_us);
	ck_assert(!upstream_is_open(upstream, now_us));
	upstream_free(upstream);
}
END_TEST

/* Guards against an upstream that is never tried again after it was slow. */
START_TEST(test_learned_values_decay)
{
	struct upstream *upstream = upstream_new(1);
	struct load load = load_of(8, 0, 50000);
	struct upstream_sample sample = {
		.end = UPSTREAM_END_OK,
		.run_us = 50000,
		.path_us = 200000,
		.path_rtt_us = 1000,
	};
	uint64_t now_us = SECOND_US;

	upstream_report(upstream, &load, 0, now_us);
	upstream_sent(upstream, now_us);
	upstream_ended(upstream, &sample, now_us);
	ck_assert_uint_gt(upstream_stall_ppm(upstream, now_us), 0);
	ck_assert_uint_eq(upstream_service_time(upstream, 10000, now_us),
			  50000);
	now_us += (SERVICE_TIME_FRESH_MS + SERVICE_TIME_DECAY_MS / 2) * 1000ull;
	ck_assert_uint_eq(upstream_service_time(upstream, 10000, now_us),
			  30000);
	now_us += SERVICE_TIME_DECAY_MS * 1000ull;
	ck_assert_uint_eq(upstream_service_time(upstream, 10000, now_us),
			  10000);
	ck_assert_uint_eq(upstream_stall_ppm(upstream, now_us), 0);
	upstream_free(upstream);
}
END_TEST

/* Guards against an upstream that gets its full share after an ejection. */
START_TEST(test_slow_start)
{
	struct upstream *upstream = upstream_new(1);
	struct load load = load_of(8, 0, 10000);
	uint64_t now_us = SECOND_US;

	upstream_report(upstream, &load, 0, now_us);
	upstream_eject(upstream, now_us);
	ck_assert(upstream_is_ejected(upstream, now_us));
	now_us += EJECT_BASE_MS * 1000ull;
	ck_assert(!upstream_is_ejected(upstream, now_us));
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 1);
	now_us += SLOW_START_MS * 500ull;
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 4);
	now_us += SLOW_START_MS * 500ull;
	ck_assert_uint_eq(upstream_limit(upstream, now_us), 8);
	/* A second ejection lasts longer. */
	upstream_eject(upstream, now_us);
	ck_assert(upstream_is_ejected(upstream,
				      now_us + EJECT_BASE_MS * 1500ull));
	upstream_free(upstream);
}
END_TEST

/* Guards against a wrong p95, with which hedges are too early or too late. */
START_TEST(test_learned_p95)
{
	struct service *service = service_new("loft repair desk");

	ck_assert_uint_eq(service_p95(service), 0);
	/* One request of ten takes ten times as long. */
	for (uint32_t i = 0; i < 5000; i++)
		service_record_latency(service, i % 10 ? 10000 : 100000);
	ck_assert_uint_ge(service_p95(service), 100000);
	ck_assert_uint_le(service_p95(service), 125000);
	/* One request of fifty is as slow: too few to raise the p95. */
	for (uint32_t i = 0; i < 20000; i++)
		service_record_latency(service, i % 50 ? 10000 : 100000);
	ck_assert_uint_ge(service_p95(service), 10000);
	ck_assert_uint_le(service_p95(service), 12500);
	service_free(service);
}
END_TEST

static struct outcome *finished(struct outcome_table *table,
				const struct outcome_id *id, bool repeatable,
				uint64_t now_us, size_t body_bytes)
{
	struct outcome *outcome = outcome_table_add(table, id, repeatable,
						    "loft repair desk",
						    repeatable ? "" : "key");

	outcome->state = RUN_DONE;
	outcome->response.body =
		g_bytes_new_take(g_malloc0(body_bytes), body_bytes);
	outcome_table_finish(table, outcome, now_us);
	return outcome;
}

/* Guards against a dropped record that counts as proof of "not run". */
START_TEST(test_dropped_records)
{
	struct outcome_table *table = outcome_table_new();
	const struct outcome_id once = { 1, 7 };
	const struct outcome_id again = { 1, 8 };
	const struct outcome_id other = { 2, 7 };
	uint64_t now_us = SECOND_US;

	finished(table, &once, false, now_us, 10);
	finished(table, &again, true, now_us, 10);
	ck_assert(!outcome_table_may_have_dropped(table, &once, false));
	now_us += ADMIT_REPEATABLE_TTL_MS * 1000ull;
	outcome_table_expire(table, now_us);
	ck_assert_ptr_null(outcome_table_find(table, &again));
	ck_assert(outcome_table_may_have_dropped(table, &again, true));
	/*
	 * Outcomes of requests that aren't repeatable are kept longer, first
	 * with the response, then without.
	 */
	ck_assert(!outcome_table_may_have_dropped(table, &once, false));
	ck_assert(outcome_table_find(table, &once)->response_kept);
	now_us += ADMIT_RESPONSE_TTL_MS * 1000ull;
	outcome_table_expire(table, now_us);
	ck_assert(!outcome_table_find(table, &once)->response_kept);
	ck_assert_ptr_nonnull(
		outcome_table_find_key(table, "loft repair desk", "key"));
	now_us += ADMIT_RECORD_TTL_MS * 1000ull;
	outcome_table_expire(table, now_us);
	ck_assert_ptr_null(outcome_table_find(table, &once));
	ck_assert_ptr_null(
		outcome_table_find_key(table, "loft repair desk", "key"));
	ck_assert(outcome_table_may_have_dropped(table, &once, false));
	ck_assert(!outcome_table_may_have_dropped(table, &other, false));
	outcome_table_free(table);
}
END_TEST

/* Guards against kept responses and records that grow without bound. */
START_TEST(test_outcome_bounds)
{
	struct outcome_table *table = outcome_table_new();
	struct outcome_id id = { 1, 0 };
	uint32_t nr_kept = 0;
	uint32_t nr_found = 0;

	for (id.request_nr = 1; id.request_nr <= 40; id.request_nr++)
		finished(table, &id, true, SECOND_US, 1u << 20);
	for (id.request_nr = 1; id.request_nr <= 40; id.request_nr++)
		nr_kept += outcome_table_find(table, &id)->response_kept;
	ck_assert_uint_eq(nr_kept, (ADMIT_RESPONSE_MAX_BYTES >> 20) - 1);
	for (; id.request_nr <= 2ull * ADMIT_RECORDS_MAX; id.request_nr++)
		finished(table, &id, true, SECOND_US, 1);
	for (id.request_nr = 1; id.request_nr <= 2ull * ADMIT_RECORDS_MAX;
	     id.request_nr++)
		nr_found += outcome_table_find(table, &id) != NULL;
	ck_assert_uint_eq(nr_found, ADMIT_RECORDS_MAX);
	outcome_table_free(table);
}
END_TEST

SUITE_MAIN("route", test_budget, test_estimate, test_better_half, test_policies,
	   test_load_counts_own_sends, test_learned_limit, test_old_report,
	   test_learned_values_decay, test_slow_start, test_learned_p95,
	   test_dropped_records, test_outcome_bounds)
