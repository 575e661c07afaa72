/**
 * @file test_run_time.c
 * Run times that are learned by queue and image.
 */

#include "run_time.h"
#include "suite.h"
#include "tunables.h"

#include <glib.h>

/*
 * The load: runs whose estimates are off by 90 %. Guards against a mean or a
 * high quantile that isn't that of the runs, and against using too few of them.
 */
START_TEST(test_times_follow_runs)
{
	struct run_times *times = run_times_new();
	struct run_time time = { 0 };

	ck_assert(!run_times_get(times, "q", "i", &time));
	for (uint32_t i = 0; i < RUN_TIME_SAMPLES; i++) {
		ck_assert(run_times_get(times, "q", "i", &time) ==
			  (i >= RUN_TIME_MIN_SAMPLES));
		run_times_add(times, "q", "i", 1000 + 100 * (i % 8));
	}
	ck_assert(run_times_get(times, "q", "i", &time));
	ck_assert_uint_eq(time.mean_ms, 1350);
	/* Four of 32 runs took 1,700 ms, so 90 % took 1,600 ms or less. */
	ck_assert_uint_eq(time.high_ms, 1600);
	ck_assert(!run_times_get(times, "q", "j", &time));
	ck_assert(!run_times_get(times, "p", "i", &time));
	run_times_free(times);
}
END_TEST

/*
 * The load: waves, after which the same queue sends other work. Guards against
 * old runs that count for ever.
 */
START_TEST(test_old_runs_are_forgotten)
{
	struct run_times *times = run_times_new();
	struct run_time time = { 0 };

	for (uint32_t i = 0; i < 1000; i++)
		run_times_add(times, "q", "i", 9000);
	for (uint32_t i = 0; i < RUN_TIME_SAMPLES; i++)
		run_times_add(times, "q", "i", 600);
	ck_assert(run_times_get(times, "q", "i", &time));
	ck_assert_uint_eq(time.mean_ms, 600);
	ck_assert_uint_eq(time.high_ms, 600);
	run_times_free(times);
}
END_TEST

/*
 * The load: callers that give each submission an image of its own. Guards
 * against memory that grows with their number, and against dropping a pair that
 * is in use.
 */
START_TEST(test_pairs_are_bounded)
{
	struct run_times *times = run_times_new();
	struct run_time time = { 0 };
	char image[16];

	for (uint32_t i = 0; i < RUN_TIME_MIN_SAMPLES; i++)
		run_times_add(times, "q", "used", 700);
	for (uint32_t i = 0; i < 4 * RUN_TIME_PAIRS_MAX; i++) {
		g_snprintf(image, sizeof(image), "image-%u", i);
		run_times_add(times, "q", image, 100);
		ck_assert(run_times_get(times, "q", "used", &time));
		ck_assert_uint_le(run_times_nr(times), RUN_TIME_PAIRS_MAX);
	}
	ck_assert_uint_eq(time.mean_ms, 700);
	run_times_free(times);
}
END_TEST

SUITE_MAIN("run_time", test_times_follow_runs, test_old_runs_are_forgotten,
	   test_pairs_are_bounded)
