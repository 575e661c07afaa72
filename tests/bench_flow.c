/**
 * @file bench_flow.c
 * Processor time of the leader with many VMs and a backlog of workflows.
 */

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "flow_world.h"
#include "suite.h"

#define NR_SERVING 40
#define NR_BACKLOG 300

static uint64_t cpu_us(void)
{
	struct timespec now = { 0 };

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

START_TEST(test_backlog)
{
	struct flow_world *fw = flow_world_new(1);
	GRand *random = g_rand_new_with_seed(1);
	uint64_t before_us;
	char id[NAME_BYTES];

	fw->run_ms = 2700;
	fw->tail_ms = 60;
	fw->lasting = "s";
	fw->overcommitted = true;
	for (uint32_t i = 0; i < NR_SERVING; i++) {
		struct flow_step step = { .count = 8,
					  .cpu_millis = 800,
					  .memory_mib = 400,
					  .lasting = true,
					  .target_ms = 100 };

		g_snprintf(step.image, sizeof(step.image), "s%u", i % 4);
		g_snprintf(id, sizeof(id), "s%u", i);
		flow_world_submit(fw, id, &step, 1);
	}
	flow_world_run_ms(fw, 2000);
	printf("serving: %u running\n", fw_running(fw));
	for (uint32_t i = 0; i < NR_BACKLOG; i++) {
		struct flow_step step = { .count = 20,
					  .memory_mib = 300,
					  .filler = true,
					  .estimate_ms = 2700 };

		step.cpu_millis = (uint32_t)g_rand_int_range(random, 300, 1500);
		g_snprintf(step.image, sizeof(step.image), "f%u", i % 8);
		g_snprintf(id, sizeof(id), "f%u", i);
		flow_world_submit(fw, id, &step, 1);
	}
	before_us = cpu_us();
	flow_world_run_ms(fw, 5000);
	printf("backlog of %u: %u running, %.1f ms of processor a second\n",
	       NR_BACKLOG, fw_running(fw),
	       (double)(cpu_us() - before_us) / 5000.0);
	g_rand_free(random);
	flow_world_free(fw);
}
END_TEST

int main(void)
{
	SRunner *runner = srunner_create(suite_create("bench_flow"));
	TCase *backlog = tcase_create("backlog");
	Suite *suite = suite_create("flow");
	int nr_failed;

	tcase_set_timeout(backlog, 0);
	tcase_add_test(backlog, test_backlog);
	suite_add_tcase(suite, backlog);
	srunner_add_suite(runner, suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	nr_failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return nr_failed != 0;
}
