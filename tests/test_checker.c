/**
 * @file test_checker.c
 * Tests that the checker finds each kind of violation in a faulty journal, and
 * none in a correct one.
 */

#include "checker.h"
#include "suite.h"

#include <string.h>

struct checker_case {
	const char *fault; /* start of the message, NULL if none is expected */
	const char *lines[8];
};

static const struct checker_case cases[] = {
	{ NULL,
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=600 mem=6",
	    "t=2 vm=a zone=z ev=checkpoint task=1 epoch=1 progress=500",
	    "t=3 vm=a zone=z ev=end task=1 epoch=1 how=stopped progress=500",
	    "t=4 vm=b zone=z ev=start task=1 epoch=2 from=500 cpu=600 mem=6",
	    "t=5 vm=b zone=z ev=end task=1 epoch=2 how=done progress=1000",
	    "t=6 ev=finished task=1" } },
	{ "task runs in two places",
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=1 mem=1",
	    "t=2 vm=b zone=z ev=start task=1 epoch=2 from=0 cpu=1 mem=1" } },
	{ "VM is overcommitted",
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=600 mem=1",
	    "t=2 vm=a zone=z ev=start task=2 epoch=1 from=0 cpu=600 mem=1" } },
	{ "VM is overcommitted",
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=1 acc=2" } },
	{ "finished task runs again",
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=1 mem=1",
	    "t=2 vm=a zone=z ev=end task=1 epoch=1 how=done",
	    "t=3 vm=b zone=z ev=start task=1 epoch=2 from=0 cpu=1 mem=1" } },
	{ "resumed from work never done",
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=9 cpu=1 mem=1" } },
	{ "start in a zone that is out",
	  { "t=1 zone=z ev=zone-out",
	    "t=3000000 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=1" } },
	{ NULL,
	  { "t=1 zone=z ev=zone-out", "t=2 zone=z ev=zone-in",
	    "t=3000000 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=1" } },
	{ "request ran twice",
	  { "t=9 ev=once id=order-1", "t=1 vm=a zone=z ev=run id=order-1",
	    "t=2 vm=b zone=z ev=run id=order-1" } },
	{ "task reported finished is lost", { "t=1 ev=finished task=4" } },
	{ NULL,
	  { "t=1 vm=a zone=z ev=start task=1 epoch=1 from=0 cpu=1 mem=1",
	    "t=2 vm=a ev=dead",
	    "t=3 vm=b zone=z ev=start task=1 epoch=2 from=0 cpu=1 mem=1" } },
};

/* Guards against a checker that misses violations. */
START_TEST(test_checker_finds_each_fault)
{
	struct checker_opts opts = { 1000, 10, 1, 2000 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *lines = g_ptr_array_new();
		GPtrArray *faults;

		for (size_t l = 0; l < 8 && cases[i].lines[l]; l++)
			g_ptr_array_add(lines, (gpointer)cases[i].lines[l]);
		faults = checker_run(&opts, lines);
		ck_assert_uint_eq(faults->len, cases[i].fault ? 1 : 0);
		if (cases[i].fault)
			ck_assert(g_str_has_prefix(g_ptr_array_index(faults, 0),
						   cases[i].fault));
		g_ptr_array_unref(faults);
		g_ptr_array_unref(lines);
	}
}
END_TEST

SUITE_MAIN("checker", test_checker_finds_each_fault)
