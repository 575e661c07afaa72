/**
 * @file test_control.c
 * Control and agents together: leases, permits, epochs, lost processes.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "control_world.h"
#include "schema.h"
#include "suite.h"

/* Guards against a path from submission to the last end that is broken. */
START_TEST(test_job_runs)
{
	struct world *world = world_new(1, 3, 3);
	uint64_t job_id = world_submit(world, "job1", 6, 3000);

	ck_assert(world_wait_running(world, 6, 5000));
	ck_assert(world_wait_job(world, job_id, 20000));
	ck_assert_uint_eq(world->nr_starts, 6);
	world_free(world);
}
END_TEST

SUITE_MAIN("control", test_job_runs)
