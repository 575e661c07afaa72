/**
 * @file test_worker_clock.c
 * Incarnations of a worker told apart by the clock in its answers.
 */

#include "suite.h"
#include "worker_clock.h"

#define S_US 1000000ull

/* Times from the start of the agent's clock, which the first call has. */
struct clock_case {
	const char *name;
	struct worker_clock known;
	struct worker_clock next;
	enum worker_clock_origin origin;
};

static const struct clock_case cases[] = {
	{ "no reading is known",
	  { 0 },
	  { 500, 1 * S_US, 1 * S_US },
	  WORKER_CLOCK_UNKNOWN },
	{ "the answer has no clock",
	  { 20000, 1 * S_US, 1 * S_US },
	  { 0, 2 * S_US, 2 * S_US },
	  WORKER_CLOCK_UNKNOWN },
	{ "the clock has gone on",
	  { 20000, 1 * S_US, 1 * S_US + 2000 },
	  { 21000, 2 * S_US, 2 * S_US + 2000 },
	  WORKER_CLOCK_SAME },
	{ "the clock is 2 % slow",
	  { 20000, 0, 0 },
	  { 29800, 10 * S_US, 10 * S_US },
	  WORKER_CLOCK_SAME },
	{ "the clock has gone back",
	  { 20000, 1 * S_US, 1 * S_US },
	  { 10, 2 * S_US, 2 * S_US },
	  WORKER_CLOCK_OTHER },
	{ "the clock has stood still",
	  { 20000, 1 * S_US, 1 * S_US },
	  { 20000, 2 * S_US, 2 * S_US },
	  WORKER_CLOCK_OTHER },
	{ "a later incarnation has outlived the known one",
	  { 3000, 1 * S_US, 1 * S_US },
	  { 8000, 10 * S_US, 10 * S_US },
	  WORKER_CLOCK_OTHER },
	{ "an answer to a poll is as old as its call",
	  { 20000, 1 * S_US, 2 * S_US },
	  { 20005, 2 * S_US, 2 * S_US + 1000 },
	  WORKER_CLOCK_SAME },
	{ "a young worker may have been restarted during the poll",
	  { 900, 1 * S_US, 2 * S_US },
	  { 905, 2 * S_US, 2 * S_US + 1000 },
	  WORKER_CLOCK_UNKNOWN },
	{ "a young worker's clock has gone back",
	  { 900, 1 * S_US, 2 * S_US },
	  { 5, 2 * S_US, 2 * S_US + 1000 },
	  WORKER_CLOCK_OTHER },
	{ "an answer is overtaken by that of a later call",
	  { 20000, 3 * S_US, 3 * S_US },
	  { 18500, 1 * S_US, 3 * S_US + 1000 },
	  WORKER_CLOCK_SAME },
	{ "the same with the answer of another incarnation",
	  { 20000, 3 * S_US, 3 * S_US },
	  { 30, 1 * S_US, 3 * S_US + 1000 },
	  WORKER_CLOCK_OTHER },
};

/*
 * Guards against an answer that counts as one of the known incarnation, or as
 * one of another, though the clock in it doesn't prove that.
 */
START_TEST(test_origins)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		ck_assert_msg(worker_clock_origin(&cases[i].known,
						  &cases[i].next) ==
				      cases[i].origin,
			      "%s", cases[i].name);
}
END_TEST

SUITE_MAIN("worker_clock", test_origins)
