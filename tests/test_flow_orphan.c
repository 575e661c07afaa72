/**
 * @file test_flow_orphan.c
 * Workers that run tasks which aren't placed there (orphans): the leader has
 * taken the runs for lost, and the agents report them again. A stop takes
 * STOP_MS. At every start the simulation asserts what the worker may start
 * beside its runs (flow_rules.h).
 */

#include <string.h>

#include "flow_world.h"
#include "suite.h"

#define NR_SEEDS 8
#define RUN_MS 30000
#define STOP_MS 900
/* Longer than a lease of the new leader and its margin. */
#define AWAY_MS 6800

/*
 * Makes the workers continue runs that the leader has taken for lost: the
 * workers were restarted under their identities and accept a longer lease than
 * a new leader counts with (docs/incidents/2026-12-05-twice-resent.md), and the
 * agents are down until the runs are lost.
 *
 * Submits a workflow of one task on each VM, whose last one ends with its
 * worker. Returns after the agents have started again; the workers have the
 * other tasks as orphans.
 */
static struct flow_world *world_with_orphans(uint64_t seed,
					     const struct flow_step *step)
{
	struct flow_world *fw = flow_world_new(seed);
	struct fw_vm *last = &fw->vms[FLOW_WORLD_VMS - 1];

	fw->run_ms = RUN_MS;
	fw->stop_ms = STOP_MS;
	flow_world_run_ms(fw, 6000 + seed * 60);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		fw_crash_worker(&fw->vms[i]);
		fw_boot_worker(&fw->vms[i]);
	}
	flow_world_run_ms(fw, 1500);
	flow_world_submit(fw, "oo", step, 1);
	flow_world_run_ms(fw, 100);
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw_kill_agent(&fw->vms[i]);
	fw_crash_worker(last);
	world_kill_control(world_leader_host(fw->base));
	flow_world_run_ms(fw, AWAY_MS);
	ck_assert(sim_log_has(fw->base->sim, "*event=vm-lost*"));
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS - 1);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw_boot_agent(&fw->vms[i]);
	return fw;
}

/* Waits until all tasks run again. */
static void expect_all_run(struct flow_world *fw)
{
	fw_boot_worker(&fw->vms[FLOW_WORLD_VMS - 1]);
	flow_world_run_ms(fw, 6000);
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	flow_world_free(fw);
}

/*
 * Guards against a task that is placed beside an orphan of its step although
 * the step allows one task a VM. The leader counted only placed tasks. First
 * seen at site dorado-taller with resets and refusals, seed 8, on e20ebee.
 */
START_TEST(test_orphan_counts_for_step_limit)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS,
				  .max_per_vm = 1 };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_orphans(seed, &step);

		flow_world_run_ms(fw, 4000);
		ck_assert(sim_log_has(fw->base->sim, "*event=orphan*"));
		expect_all_run(fw);
	}
}
END_TEST

/*
 * Guards against a task that is placed on a VM whose capacity an orphan still
 * uses. The leader counted only what placed tasks use.
 */
START_TEST(test_orphan_uses_capacity)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = FLOW_WORLD_VM_MEMORY_MIB,
				  .estimate_ms = RUN_MS };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_orphans(seed, &step);

		flow_world_run_ms(fw, 4000);
		ck_assert(sim_log_has(fw->base->sim, "*event=orphan*"));
		expect_all_run(fw);
	}
}
END_TEST

SUITE_MAIN("flow_orphan", test_orphan_counts_for_step_limit,
	   test_orphan_uses_capacity)
