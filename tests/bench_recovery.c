/**
 * @file bench_recovery.c
 * Measures the time from the loss of a VM's runs to their start elsewhere, in a
 * simulation in which each worker leaves 1 % of its calls unanswered, and the
 * processor time of the simulation. The time of a loss is that of its last run.
 * starts_unanswered counts runs whose start elsewhere got no answer, which
 * answered_max_ms leaves out; calls_unanswered counts the calls without an
 * answer in the 10 s before the first loss. Prints key=value lines.
 */

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "flow_recovery.h"
#include "suite.h"

#define NR_LOSSES 9
#define LIMIT_MS 30000 /* after which a run counts as not recovered */

static uint64_t cpu_us(void)
{
	struct timespec now = { 0 };

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void measure(const struct flow_loss *loss)
{
	uint64_t created_us = cpu_us();
	struct flow_world *fw = flow_recovery_world(1);
	uint32_t started_ms[NR_LOSSES];
	struct flow_recovery sum = { 0 };
	uint64_t nr_unanswered;
	uint64_t begin_us;
	uint64_t cpu;

	created_us = cpu_us() - created_us;
	nr_unanswered = flow_recovery_unanswered(fw);
	begin_us = sim_now_us(fw->base->sim);
	cpu = cpu_us();
	for (uint32_t i = 0; i < NR_LOSSES; i++) {
		struct flow_recovery recovery;

		flow_world_run_ms(fw, FLOW_RECOVERY_PAUSE_MS(i));
		recovery = flow_recovery_measure(flow_recovery_vm(fw), loss,
						 LIMIT_MS);
		started_ms[i] = recovery.started_ms;
		sum.nr_runs += recovery.nr_runs;
		sum.nr_unplaced += recovery.nr_unplaced;
		sum.nr_unstarted += recovery.nr_unstarted;
		sum.nr_unanswered += recovery.nr_unanswered;
		sum.placed_ms = MAX(sum.placed_ms, recovery.placed_ms);
		sum.answered_ms = MAX(sum.answered_ms, recovery.answered_ms);
	}
	cpu = cpu_us() - cpu;
	begin_us = sim_now_us(fw->base->sim) - begin_us;
	qsort(started_ms, NR_LOSSES, sizeof(*started_ms), compare_u32);
	printf("vms=%d lost=%s losses=%d runs=%u not_placed=%u not_started=%u"
	       " started_median_ms=%u started_max_ms=%u"
	       " starts_unanswered=%u answered_max_ms=%u placed_max_ms=%u"
	       " calls_unanswered=%" PRIu64 " cpu_us_per_s=%" PRIu64
	       " create_cpu_ms=%" PRIu64 "\n",
	       FLOW_WORLD_VMS, loss->name, NR_LOSSES, sum.nr_runs,
	       sum.nr_unplaced, sum.nr_unstarted, started_ms[NR_LOSSES / 2],
	       started_ms[NR_LOSSES - 1], sum.nr_unanswered, sum.answered_ms,
	       sum.placed_ms, nr_unanswered, cpu * 1000000 / begin_us,
	       created_us / 1000);
	fflush(stdout);
	flow_world_free(fw);
}

START_TEST(test_lost_workers)
{
	measure(&flow_loss_worker);
}
END_TEST

START_TEST(test_lost_agents)
{
	measure(&flow_loss_agent);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("bench_recovery");
	TCase *tcase = tcase_create("recovery");
	SRunner *runner;
	int nr_failed;

	tcase_set_timeout(tcase, 0);
	tcase_add_test(tcase, test_lost_workers);
	tcase_add_test(tcase, test_lost_agents);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	/* The simulation uses assertions, which need a runner of check. */
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_SILENT);
	nr_failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return nr_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
