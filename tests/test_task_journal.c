/**
 * @file test_task_journal.c
 * Tests the check of the journals of the stand-ins for the platform's workers.
 */

#include "suite.h"
#include "task_journal.h"

/* Journal lines of one worker and one task, in order. */
struct journal_case {
	const char *name;
	const char *lines[6];
	uint32_t nr_violations;
};

static void count_violation(void *ctx, const char *what,
			    const struct task_event *event)
{
	uint32_t *nr = ctx;

	(*nr)++;
}

/*
 * Guards against a task that starts between its end and the acknowledgement of
 * this end and isn't reported, and against a report for an end that was lost
 * with its incarnation: the next incarnation may start and end the same run,
 * and only that end is acknowledged (soak seed 728).
 */
START_TEST(test_start_before_settled)
{
	static const struct journal_case cases[] = {
		{ "one incarnation",
		  { "t=1 worker=i event=start task=a run=1 born=5",
		    "t=2 worker=i event=done task=a run=1 born=5",
		    "t=3 worker=i event=start task=a run=2 born=5",
		    "t=4 worker=i event=settled task=a run=1 born=5" },
		  1 },
		{ "end lost with its incarnation",
		  { "t=1 worker=i event=start task=a run=1 born=5",
		    "t=2 worker=i event=done task=a run=1 born=5",
		    "t=3 worker=i event=start task=a run=1 born=6",
		    "t=4 worker=i event=done task=a run=1 born=6",
		    "t=5 worker=i event=settled task=a run=1 born=6" },
		  0 },
		{ "second end",
		  { "t=1 worker=i event=start task=a run=1 born=5",
		    "t=2 worker=i event=done task=a run=1 born=5",
		    "t=3 worker=i event=start task=a run=1 born=6",
		    "t=4 worker=i event=done task=a run=1 born=6",
		    "t=5 worker=i event=start task=a run=2 born=6",
		    "t=6 worker=i event=settled task=a run=1 born=6" },
		  1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
		struct task_journal *journal;
		uint32_t nr_violations = 0;

		for (size_t j = 0; j < G_N_ELEMENTS(cases[i].lines); j++)
			if (cases[i].lines[j])
				g_ptr_array_add(lines,
						g_strdup(cases[i].lines[j]));
		journal = task_journal_new(lines);
		task_journal_check(journal, count_violation, &nr_violations);
		ck_assert_msg(nr_violations == cases[i].nr_violations,
			      "%s: %u violations", cases[i].name,
			      nr_violations);
		task_journal_free(journal);
	}
}
END_TEST

SUITE_MAIN("task_journal", test_start_before_settled)
