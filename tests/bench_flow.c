/**
 * @file bench_flow.c
 * Measures the processor time that a simulation of three replicas, many VMs
 * with agents and workers, and a backlog of workflows takes. Prints key=value
 * lines.
 */

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "flow_world.h"
#include "suite.h"

#define NR_SERVING 40
#define NR_WAITING 300
#define CPU_STEP_MILLIS 4 /* tasks request 300 to 1,496 */
#define MEASURED_S 5

static uint64_t cpu_us(void)
{
	struct timespec now = { 0 };

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

START_TEST(test_backlog)
{
	struct flow_world *fw = flow_world_new(1);
	uint64_t before_us;

	flow_world_load(fw, NR_SERVING, NR_WAITING, CPU_STEP_MILLIS);
	before_us = cpu_us();
	flow_world_run_ms(fw, UINT64_C(1000) * MEASURED_S);
	printf("vms=%d workflows=%d running=%u cpu_us_per_s=%" PRIu64 "\n",
	       FLOW_WORLD_VMS, NR_WAITING, fw_running(fw),
	       (cpu_us() - before_us) / MEASURED_S);
	flow_world_free(fw);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("bench_flow");
	TCase *backlog = tcase_create("backlog");
	SRunner *runner;
	int nr_failed;

	tcase_set_timeout(backlog, 0);
	tcase_add_test(backlog, test_backlog);
	suite_add_tcase(suite, backlog);
	runner = srunner_create(suite);
	/* The simulation uses assertions, which need a runner of check. */
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_SILENT);
	nr_failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return nr_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
