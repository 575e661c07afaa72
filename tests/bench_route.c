/**
 * @file bench_route.c
 * Measures the tail latency of the routing policies under virtual time, where
 * one of 11 upstreams is five times slower than the others and one link loses
 * packets. Both policies run with the same seeds and arrivals. Prints key=value
 * lines.
 */

#include <stdio.h>
#include <stdlib.h>

#include "request_harness.h"

#define NR_AGENTS 11
#define NR_ENTRIES 2
#define SLOTS 8
#define SERVICE_US 20000
#define SLOW_AGENT 3
#define LOSSY_AGENT 7
#define LOSS_PPM 20000 /* share of messages that stall, each way */
#define STALL_US 200000
#define LOAD_PPM 600000 /* of all slots, at the mean service time */
#define DEADLINE_MS 10000u
#define WARM_UP_MS 5000u
#define MEASURED_MS 15000ull

struct variant {
	const char *policy;
	bool repeatable; /* only repeatable requests are hedged and retried */
};

struct outcome_counts {
	uint64_t p50_us;
	uint64_t p99_us;
	uint64_t max_us;
	uint32_t nr;
	uint32_t nr_failed;
};

static const struct variant variants[] = {
	{ "round-robin", false },
	{ "expected-completion", false },
	{ "round-robin", true },
	{ "expected-completion", true },
};

static const uint64_t seeds[] = { 11, 12 };

static gint compare_u64(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void degrade_paths(struct harness *harness)
{
	harness->agents[SLOW_AGENT].slow_ppm = 5000000;
	for (uint32_t i = 0; i < NR_ENTRIES; i++) {
		struct sim_machine *entry = harness->entries[i].machine;
		struct sim_machine *agent =
			harness->agents[LOSSY_AGENT].machine;

		sim_path_between(entry, agent)->stall_ppm = LOSS_PPM;
		sim_path_between(entry, agent)->stall_us = STALL_US;
		sim_path_between(agent, entry)->stall_ppm = LOSS_PPM;
		sim_path_between(agent, entry)->stall_us = STALL_US;
	}
}

/* Submits a request; the gaps are uniform from 0 to twice the mean. */
static void submit_one(struct harness *harness, GRand *rand, bool repeatable)
{
	static const uint64_t gap_us = (uint64_t)SERVICE_US * 1000000 /
				       ((uint64_t)NR_AGENTS * SLOTS * LOAD_PPM);
	struct request request =
		harness_request("/estimate", repeatable, "", DEADLINE_MS);

	harness_submit(harness, (uint32_t)g_rand_int_range(rand, 0, NR_ENTRIES),
		       &request);
	sim_run_us(harness->sim, (uint64_t)g_rand_int_range(
					 rand, 0, (gint32)(2 * gap_us + 1)));
}

static void measure(const struct harness *harness, uint32_t first, uint32_t end,
		    GArray *times, struct outcome_counts *counts)
{
	for (uint32_t i = first; i < end; i++) {
		const struct harness_answer *answer =
			harness_answer(harness, i);
		uint64_t time_us = DEADLINE_MS * 1000ull;

		counts->nr++;
		/*
		 * The latency of a request without a response counts as
		 * DEADLINE_MS.
		 */
		if (answer->nr && answer->run == RUN_DONE)
			time_us = answer->answered_us - answer->submitted_us;
		else
			counts->nr_failed++;
		g_array_append_val(times, time_us);
	}
}

static struct outcome_counts run_variant(const struct variant *variant)
{
	struct outcome_counts counts = { 0 };
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t nr_below;

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
		struct harness_opts opts = {
			.seed = seeds[i],
			.nr_agents = NR_AGENTS,
			.nr_entries = NR_ENTRIES,
			.service_us = SERVICE_US,
			.spread_ppm = 500000,
			.route_policy = variant->policy,
		};
		GRand *rand = g_rand_new_with_seed((guint32)seeds[i]);
		struct harness *harness = harness_new(&opts);
		uint64_t start_us = sim_now_us(harness->sim);
		uint32_t first;

		degrade_paths(harness);
		while (sim_now_us(harness->sim) <
		       start_us + WARM_UP_MS * 1000ull)
			submit_one(harness, rand, variant->repeatable);
		first = harness->answers->len;
		while (sim_now_us(harness->sim) <
		       start_us + (WARM_UP_MS + MEASURED_MS) * 1000)
			submit_one(harness, rand, variant->repeatable);
		sim_run_ms(harness->sim, 2ull * DEADLINE_MS);
		measure(harness, first, harness->answers->len, times, &counts);
		harness_free(harness);
		g_rand_free(rand);
	}
	g_array_sort(times, compare_u64);
	nr_below = (uint64_t)times->len * 99 / 100;
	counts.p50_us = g_array_index(times, uint64_t, times->len / 2);
	counts.p99_us = g_array_index(times, uint64_t, nr_below);
	counts.max_us = g_array_index(times, uint64_t, times->len - 1);
	g_array_unref(times);
	return counts;
}

int main(void)
{
	uint64_t p99_us[G_N_ELEMENTS(variants)];
	bool met = true;

	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		struct outcome_counts counts = run_variant(&variants[i]);

		p99_us[i] = counts.p99_us;
		printf("policy=%s repeatable=%d requests=%u failed=%u "
		       "p50_us=%" G_GUINT64_FORMAT " p99_us=%" G_GUINT64_FORMAT
		       " max_us=%" G_GUINT64_FORMAT "\n",
		       variants[i].policy, variants[i].repeatable, counts.nr,
		       counts.nr_failed, counts.p50_us, counts.p99_us,
		       counts.max_us);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(variants); i += 2) {
		uint64_t share_ppm = p99_us[i + 1] * 1000000 / p99_us[i];

		printf("repeatable=%d p99_share_of_round_robin_ppm=%" G_GUINT64_FORMAT
		       " target_ppm=500000\n",
		       variants[i].repeatable, share_ppm);
		met = met && share_ppm <= 500000;
	}
	printf("target_met=%d\n", met);
	return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
