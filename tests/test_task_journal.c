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
static const struct task_step lasting_steps[] = {
	{ 4000, 100, false, 1, NULL, true },
	{ 4000, 100, false, 0, "b", true },
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

static void add_all_steps(struct task_site *site)
{
	site->steps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    (GDestroyNotify)g_array_unref);
	add_steps(site->steps, "few", few_steps, G_N_ELEMENTS(few_steps));
	add_steps(site->steps, "big", big_steps, G_N_ELEMENTS(big_steps));
	add_steps(site->steps, "b", b_steps, G_N_ELEMENTS(b_steps));
	add_steps(site->steps, "l", lasting_steps, G_N_ELEMENTS(lasting_steps));
}

static void check_worker_cases(const struct journal_case *cases, size_t nr)
{
	struct task_site site = { .cpu_millis = 8000,
				  .memory_mib = 16000,
				  .label_of = label_of };

	add_all_steps(&site);
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

/* Workers "i", "j" and "k"; times in microseconds. */
struct watch_case {
	struct journal_case journal;
	int64_t judged_from_us;
	int64_t judged_to_us;
	const char *unsound; /* worker, NULL: none */
	uint32_t nr_judged; /* ends whose first time is judged */
};

static const struct watch_case *watch_case;

static bool watch_is_judged(void *ctx, const char *task, int64_t from_us,
			    int64_t to_us)
{
	return watch_case->judged_from_us <= from_us &&
	       to_us <= watch_case->judged_to_us;
}

static bool watch_is_sound(void *ctx, const char *worker, int64_t from_us,
			   int64_t to_us)
{
	return g_strcmp0(worker, watch_case->unsound) != 0;
}

static const struct watch_case lost_cases[] = {
	{ { "no run for 9 s",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=11000001 worker=j event=start task=l.0.0.0 run=2 born=5" },
	    1 },
	  0,
	  30000000,
	  NULL,
	  1 },
	{ { "no further run",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5" },
	    1 },
	  0,
	  30000000,
	  "i",
	  1 },
	{ { "a run before 9 s have passed",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=10999999 worker=j event=late-start task=l.0.0.0 run=2 born=5" },
	    0 },
	  0,
	  30000000,
	  NULL,
	  1 },
	{ { "a run on a worker that it needs for the room",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=9000000 worker=j event=start task=l.0.0.0 run=2 born=5" },
	    0 },
	  0,
	  30000000,
	  "i",
	  1 },
	{ { "judged later",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=20000000 worker=j event=start task=l.0.0.0 run=2 born=5" },
	    1 },
	  15000000,
	  30000000,
	  NULL,
	  0 },
	{ { "judged for less than 3 s",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=20000000 worker=j event=start task=l.0.0.0 run=2 born=5" },
	    0 },
	  15000000,
	  17900000,
	  NULL,
	  0 },
	{ { "the task doesn't last",
	    { "t=1000000 worker=i event=start task=few.0.2.0 run=1 born=5",
	      "t=2000000 worker=i event=failed task=few.0.2.0 run=1 born=5" },
	    0 },
	  0,
	  30000000,
	  NULL,
	  0 },
	{ { "another run when the first one ends",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=1500000 worker=j event=start task=l.0.0.0 run=2 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5" },
	    0 },
	  0,
	  30000000,
	  NULL,
	  0 },
	{ { "one worker has another task of the step",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=1000000 worker=j event=start task=l.0.0.1 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5" },
	    0 },
	  0,
	  30000000,
	  "i",
	  0 },
	{ { "one worker is full for some time",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=1000000 worker=j event=start task=big.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=9000000 worker=j event=start task=few.0.2.0 run=1 born=5",
	      "t=9100000 worker=j event=done task=few.0.2.0 run=1 born=5",
	      "t=12200000 worker=k event=start task=l.0.0.0 run=2 born=5" },
	    1 },
	  0,
	  30000000,
	  "i",
	  0 },
	{ { "one worker is full again and again",
	    { "t=1000000 worker=i event=start task=l.0.0.0 run=1 born=5",
	      "t=1000000 worker=j event=start task=big.0.0.0 run=1 born=5",
	      "t=2000000 worker=i event=end task=l.0.0.0 run=1 born=5",
	      "t=9000000 worker=j event=start task=few.0.2.0 run=1 born=5",
	      "t=9100000 worker=j event=done task=few.0.2.0 run=1 born=5",
	      "t=12000000 worker=k event=start task=l.0.0.0 run=2 born=5" },
	    0 },
	  0,
	  30000000,
	  "i",
	  0 },
	{ { "one worker has the label",
	    { "t=1000000 worker=j event=start task=l.0.1.0 run=1 born=5",
	      "t=2000000 worker=j event=end task=l.0.1.0 run=1 born=5" },
	    0 },
	  0,
	  30000000,
	  NULL,
	  0 },
};

/*
 * Guards against a lasting task that isn't started again after its run has
 * ended, and isn't reported (issue 33), and against reports for times that
 * aren't judged, for a site without room and for tasks that don't last.
 */
START_TEST(test_lost)
{
	struct task_site site = { .cpu_millis = 8000,
				  .memory_mib = 16000,
				  .label_of = label_of };
	struct task_watch watch = { .workers = g_ptr_array_new(),
				    .until_us = 30000000,
				    .is_judged = watch_is_judged,
				    .is_sound = watch_is_sound };

	add_all_steps(&site);
	g_ptr_array_add(watch.workers, "i");
	g_ptr_array_add(watch.workers, "j");
	g_ptr_array_add(watch.workers, "k");
	for (size_t i = 0; i < G_N_ELEMENTS(lost_cases); i++) {
		struct task_journal *journal =
			case_journal(&lost_cases[i].journal);
		uint32_t nr_violations = 0;
		uint32_t nr_judged;

		watch_case = &lost_cases[i];
		nr_judged = task_journal_check_lost(journal, &site, &watch,
						    count_violation,
						    &nr_violations);
		check_case(&lost_cases[i].journal, nr_violations);
		ck_assert_msg(nr_judged == lost_cases[i].nr_judged,
			      "%s: %u ends judged", lost_cases[i].journal.name,
			      nr_judged);
		task_journal_free(journal);
	}
	g_ptr_array_unref(watch.workers);
	g_hash_table_unref(site.steps);
}
END_TEST

SUITE_MAIN("task_journal", test_start_before_settled, test_tasks_of_a_step,
	   test_capacity, test_label, test_lost)
