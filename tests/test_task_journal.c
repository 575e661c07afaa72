/**
 * @file test_task_journal.c
 * Tests the check of the journals of the stand-ins for the platform's workers.
 */

#include <string.h>

#include "suite.h"
#include "task_journal.h"

/* Journal lines in order. */
struct journal_case {
	const char *name;
	const char *lines[7];
	uint32_t nr_violations;
};

static void count_violation(void *ctx, const char *what,
			    const struct task_event *event)
{
	uint32_t *nr = ctx;

	(*nr)++;
}

static struct task_journal *case_journal(const struct journal_case *c)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < G_N_ELEMENTS(c->lines); i++)
		if (c->lines[i])
			g_ptr_array_add(lines, g_strdup(c->lines[i]));
	return task_journal_new(lines);
}

static void check_case(const struct journal_case *c, uint32_t nr_violations)
{
	ck_assert_msg(nr_violations == c->nr_violations, "%s: %u violations",
		      c->name, nr_violations);
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
		struct task_journal *journal = case_journal(&cases[i]);
		uint32_t nr_violations = 0;

		task_journal_check(journal, count_violation, &nr_violations);
		check_case(&cases[i], nr_violations);
		task_journal_free(journal);
	}
}
END_TEST

/* Steps of the workflows "few", "big" and "b". */
static const struct task_step few_steps[] = {
	{ 1000, 100, false, 1, NULL },
	{ 1000, 100, false, 2, NULL },
	{ 1000, 100, false, 0, NULL },
};
static const struct task_step big_steps[] = {
	{ 4000, 100, false, 0, NULL },
	{ 500, 8000, false, 0, NULL },
	{ 4000, 8000, true, 0, NULL },
};
static const struct task_step b_steps[] = {
	{ 1000, 100, false, 0, "b" },
};

/* Worker "j" has the label "b", the others have none. */
static const char *label_of(const char *worker)
{
	return strcmp(worker, "j") != 0 ? NULL : "b";
}

static void add_steps(GHashTable *steps, const char *id,
		      const struct task_step *first, guint nr)
{
	GArray *copy = g_array_new(FALSE, FALSE, sizeof(*first));

	g_array_append_vals(copy, first, nr);
	g_hash_table_insert(steps, (char *)id, copy);
}

static void check_worker_cases(const struct journal_case *cases, size_t nr)
{
	struct task_site site = { .cpu_millis = 8000,
				  .memory_mib = 16000,
				  .label_of = label_of };

	site.steps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   (GDestroyNotify)g_array_unref);
	add_steps(site.steps, "few", few_steps, G_N_ELEMENTS(few_steps));
	add_steps(site.steps, "big", big_steps, G_N_ELEMENTS(big_steps));
	add_steps(site.steps, "b", b_steps, G_N_ELEMENTS(b_steps));
	for (size_t i = 0; i < nr; i++) {
		struct task_journal *journal = case_journal(&cases[i]);
		uint32_t nr_violations = 0;

		task_journal_check_workers(journal, &site, count_violation,
					   &nr_violations);
		check_case(&cases[i], nr_violations);
		task_journal_free(journal);
	}
	g_hash_table_unref(site.steps);
}

/*
 * Guards against a task that starts beside others of its step, more than the
 * step allows on one worker, and isn't reported (issue 29), and against reports
 * for tasks of other workers, incarnations, occurrences or steps.
 */
START_TEST(test_tasks_of_a_step)
{
	static const struct journal_case cases[] = {
		{ "two at a time",
		  { "t=1 worker=i event=start task=few.0.0.0 run=1 born=5",
		    "t=2 worker=i event=start task=few.0.0.1 run=1 born=5" },
		  1 },
		{ "a late start",
		  { "t=1 worker=i event=start task=few.0.0.0 run=2 born=5",
		    "t=2 worker=i event=late-start task=few.0.0.1 run=1 born=5" },
		  1 },
		{ "beside a late start",
		  { "t=1 worker=i event=late-start task=few.0.0.1 run=1 born=5",
		    "t=2 worker=i event=start task=few.0.0.0 run=2 "
		    "born=5" },
		  1 },
		{ "before the end of the first",
		  { "t=1 worker=i event=start task=few.0.0.0 run=1 born=5",
		    "t=2 worker=i event=start task=few.0.0.1 run=1 born=5",
		    "t=3 worker=i event=end task=few.0.0.0 run=1 born=5" },
		  1 },
		{ "one after the other",
		  { "t=1 worker=i event=start task=few.0.0.0 run=1 born=5",
		    "t=2 worker=i event=end task=few.0.0.0 run=1 born=5",
		    "t=3 worker=i event=start task=few.0.0.1 run=1 born=5",
		    "t=4 worker=i event=failed task=few.0.0.1 run=1 born=5",
		    "t=5 worker=i event=start task=few.0.0.2 run=1 born=5",
		    "t=6 worker=i event=done task=few.0.0.2 run=1 born=5",
		    "t=7 worker=i event=start task=few.0.0.3 run=1 born=5" },
		  0 },
		{ "other workers, incarnations, occurrences and steps",
		  { "t=1 worker=i event=start task=few.0.0.0 run=1 born=5",
		    "t=2 worker=j event=start task=few.0.0.1 run=1 born=5",
		    "t=3 worker=i event=start task=few.0.0.2 run=1 born=6",
		    "t=4 worker=i event=start task=few.1.0.0 run=1 born=5",
		    "t=5 worker=i event=start task=few.0.1.0 run=1 born=5",
		    "t=6 worker=i event=start task=few.0.1.1 run=1 born=5" },
		  0 },
		{ "three of two",
		  { "t=1 worker=i event=start task=few.0.1.0 run=1 born=5",
		    "t=2 worker=i event=start task=few.0.1.1 run=1 born=5",
		    "t=3 worker=i event=start task=few.0.1.2 run=1 born=5" },
		  1 },
		{ "no limit",
		  { "t=1 worker=i event=start task=few.0.2.0 run=1 born=5",
		    "t=2 worker=i event=start task=few.0.2.1 run=1 born=5",
		    "t=3 worker=i event=start task=few.0.2.2 run=1 born=5" },
		  0 },
	};

	check_worker_cases(cases, G_N_ELEMENTS(cases));
}
END_TEST

/*
 * Guards against a start beyond a worker's processors or memory that isn't
 * reported, and against a report for fillers, whose processors don't count.
 */
START_TEST(test_capacity)
{
	static const struct journal_case cases[] = {
		{ "processors",
		  { "t=1 worker=i event=start task=big.0.0.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.0.1 run=1 born=5",
		    "t=3 worker=i event=start task=few.0.2.0 run=1 born=5" },
		  1 },
		{ "processors are used in full",
		  { "t=1 worker=i event=start task=big.0.0.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.0.1 run=1 born=5" },
		  0 },
		{ "processors of a run that is being stopped",
		  { "t=1 worker=i event=start task=big.0.0.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.0.1 run=1 born=5",
		    "t=3 worker=i event=start task=big.0.0.2 run=1 born=5",
		    "t=4 worker=i event=end task=big.0.0.0 run=1 born=5" },
		  1 },
		{ "memory",
		  { "t=1 worker=i event=start task=big.0.1.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.1.1 run=1 born=5",
		    "t=3 worker=i event=late-start task=few.0.2.0 run=1 born=5" },
		  1 },
		{ "memory becomes free",
		  { "t=1 worker=i event=start task=big.0.1.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.1.1 run=1 born=5",
		    "t=3 worker=i event=done task=big.0.1.0 run=1 born=5",
		    "t=4 worker=i event=start task=few.0.2.0 run=1 born=5" },
		  0 },
		{ "processors of fillers",
		  { "t=1 worker=i event=start task=big.0.2.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.0.0 run=1 born=5",
		    "t=3 worker=i event=start task=big.0.0.1 run=1 born=5" },
		  0 },
		{ "memory of fillers",
		  { "t=1 worker=i event=start task=big.0.2.0 run=1 born=5",
		    "t=2 worker=i event=start task=big.0.2.1 run=1 born=5",
		    "t=3 worker=i event=start task=big.0.2.2 run=1 born=5" },
		  1 },
	};

	check_worker_cases(cases, G_N_ELEMENTS(cases));
}
END_TEST

/* Guards against a start on a worker without the label that isn't reported. */
START_TEST(test_label)
{
	static const struct journal_case cases[] = {
		{ "without the label",
		  { "t=1 worker=i event=start task=b.0.0.0 run=1 born=5" },
		  1 },
		{ "with the label",
		  { "t=1 worker=j event=start task=b.0.0.0 run=1 born=5",
		    "t=2 worker=j event=start task=few.0.0.0 run=1 born=5" },
		  0 },
		{ "a workflow that wasn't submitted",
		  { "t=1 worker=i event=start task=other.0.0.0 run=1 born=5",
		    "t=2 worker=i event=start task=b.0.1.0 run=1 born=5" },
		  0 },
	};

	check_worker_cases(cases, G_N_ELEMENTS(cases));
}
END_TEST

SUITE_MAIN("task_journal", test_start_before_settled, test_tasks_of_a_step,
	   test_capacity, test_label)
