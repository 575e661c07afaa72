/**
 * @file test_request.c
 * The path of a request through real entries and agents under virtual time.
 */

#include <stdio.h>

#include "bed.h"
#include "suite.h"

/* Checks that a caller got the whole response to its own request, once. */
static void check_done(const struct bed *bed, uint64_t ticket, const char *path)
{
	const struct bed_answer *answer = bed_answer(bed, ticket);
	char text[PATH_BYTES];

	g_snprintf(text, sizeof(text), "response to %s", path);
	ck_assert_uint_eq(answer->nr, 1);
	ck_assert_uint_eq(answer->run, RUN_DONE);
	ck_assert_uint_eq(answer->status, 200);
	ck_assert_str_eq(answer->body, text);
}

/* Guards against responses that are mixed up, lost or doubled. */
START_TEST(test_each_caller_gets_its_own_response)
{
	struct bed_opts opts = {
		.seed = 1,
		.nr_agents = 3,
		.nr_entries = 2,
		.service_us = 20000,
		.spread_ppm = 500000,
	};
	struct bed *bed = bed_new(&opts);
	char path[32];

	for (uint32_t i = 0; i < 200; i++) {
		struct request request;

		g_snprintf(path, sizeof(path), "/boat/%u", i);
		request = bed_request(path, i % 2, "", 5000);
		ck_assert_uint_eq(bed_submit(bed, i % 2, &request), i);
		vhost_run_ms(bed->vhost, 3);
	}
	vhost_run_ms(bed->vhost, 5000);
	for (uint32_t i = 0; i < 200; i++) {
		g_snprintf(path, sizeof(path), "/boat/%u", i);
		check_done(bed, i, path);
	}
	for (uint32_t i = 0; i < opts.nr_agents; i++)
		ck_assert_uint_le(bed->agents[i].max_in_flight, 8);
	ck_assert_uint_eq(vhost_log_count(bed->vhost, "event=route"),
			  200 + bed_entry_counter(bed, "entry_hedges") +
				  bed_entry_counter(bed, "entry_retries"));
	bed_free(bed);
}
END_TEST

SUITE_MAIN("request", test_each_caller_gets_its_own_response)
