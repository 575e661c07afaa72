/**
 * @file test_flow_orphan.c
 * Workers that run tasks which aren't placed there (orphans): the leader has
 * taken the runs for lost, and the agents report them again. A stop takes
 * STOP_MS. At every start the simulation asserts what the worker may start
 * beside its runs (flow_rules.h).
 */

#include <string.h>

#include "control_flow_impl.h"
#include "flow_world.h"
#include "suite.h"

#define NR_SEEDS 8
#define RUN_MS 30000
#define STOP_MS 900
/* Longer than a lease of the new leader and its margin. */
#define AWAY_MS 6800
#define AGENTS_BEFORE_LOSS_MS 300

/*
 * Makes the workers continue runs that the leader has taken for lost: their
 * leases last longer than it assumes, and the agents are down until the
 * runs are lost.
 *
 * Submits a workflow of one task on each VM, whose last one ends with its
 * worker. Returns when the agents and the leader are down.
 */
static struct flow_world *world_without_agents(uint64_t seed,
					       const struct flow_step *step)
{
	struct flow_world *fw = flow_world_new(seed);
	struct fw_vm *last = &fw->vms[FLOW_WORLD_VMS - 1];

	fw->run_ms = RUN_MS;
	fw->stop_ms = STOP_MS;
	flow_world_run_ms(fw, 6000 + seed * 60);
	flow_world_submit(fw, "oo", step, 1);
	flow_world_run_ms(fw, 100);
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw_kill_agent(&fw->vms[i]);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw_extend_lease(&fw->vms[i]);
	fw_crash_worker(last);
	world_kill_control(world_leader_host(fw->base));
	return fw;
}

/*
 * Returns a world after the agents have started again; the workers have the
 * tasks, except the last one, as orphans.
 */
static struct flow_world *world_with_orphans(uint64_t seed,
					     const struct flow_step *step)
{
	struct flow_world *fw = world_without_agents(seed, step);

	flow_world_run_ms(fw, AWAY_MS);
	ck_assert(sim_log_has(fw->base->sim, "*event=vm-lost*"));
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS - 1);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw_boot_agent(&fw->vms[i]);
	return fw;
}

/*
 * Makes the worker list a later run of each of its tasks, too. Workers accept a
 * start of a task beside another run of it.
 */
static void fw_add_later_run(struct fw_vm *vm)
{
	GArray *runs = vm->worker.runs;

	for (guint i = runs->len; i-- > 0;) {
		struct fw_run run = g_array_index(runs, struct fw_run, i);

		run.run++;
		g_array_prepend_val(runs, run);
	}
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

/*
 * Guards against a task that is placed beside two runs of another task of its
 * step, of which the leader counts one: it keeps the orphans of a VM by task.
 */
START_TEST(test_orphans_of_one_task_count_each)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS,
				  .max_per_vm = 2 };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_orphans(seed, &step);

		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
			fw_add_later_run(&fw->vms[i]);
		flow_world_run_ms(fw, 1500);
		ck_assert(sim_log_has(fw->base->sim, "*event=orphan*"));
		flow_world_free(fw);
	}
}
END_TEST

/* Cuts the leader's links to the other replicas, so that it can't commit. */
static void cut_followers(struct flow_world *fw, bool cut)
{
	struct world_control *leader = world_leader_host(fw->base);

	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		if (&fw->base->controls[i] != leader)
			sim_partition(leader->machine,
				      fw->base->controls[i].machine, cut);
}

/*
 * Guards against tasks that are placed elsewhere, or beside another run of
 * their step, although the last report lists their run: it arrived while the
 * run's end as lost was being committed, so it doesn't list the run as an
 * orphan.
 */
START_TEST(test_lost_run_counts_until_next_report)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS,
				  .max_per_vm = 1 };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_without_agents(seed, &step);
		struct control *leader;
		uint64_t nr_checks;
		uint64_t lost_ms;

		flow_world_run_ms(fw, 3000);
		leader = world_leader(fw->base);
		ck_assert_ptr_nonnull(leader);
		/* The first check after the leases have certainly expired. */
		nr_checks = (leader->flows->lease_ms + FLOW_LEASE_MARGIN_MS) /
				    VM_CHECK_MS +
			    1;
		lost_ms = leader->leader_since_us / 1000 +
			  nr_checks * VM_CHECK_MS;
		flow_world_run_ms(fw, lost_ms - AGENTS_BEFORE_LOSS_MS -
					      sim_now_us(fw->base->sim) / 1000);
		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
			fw_boot_agent(&fw->vms[i]);
		flow_world_run_ms(fw, AGENTS_BEFORE_LOSS_MS - 20);
		cut_followers(fw, true);
		flow_world_run_ms(fw, 30);
		ck_assert(sim_log_has(fw->base->sim, "*event=vm-lost*"));
		for (uint32_t i = 0; i < FLOW_WORLD_VMS - 1; i++)
			fw_heartbeat(&fw->vms[i], fw->vms[i].worker.born_ms,
				     ++fw->vms[i].worker.seq);
		flow_world_run_ms(fw, 60);
		ck_assert(control_flow_vm(leader->flows, "side0")->looked);
		ck_assert(!sim_log_has(fw->base->sim, "*event=task-ended*"));
		cut_followers(fw, false);
		flow_world_run_ms(fw, 1500);
		ck_assert_ptr_eq(world_leader(fw->base), leader);
		flow_world_free(fw);
	}
}
END_TEST

/* Waits until the leader knows of @a nr orphans at the VM. */
static void wait_for_orphans(struct flow_world *fw, const char *vm, uint32_t nr)
{
	struct control *leader = world_leader(fw->base);
	struct flow_vm *known;

	ck_assert_ptr_nonnull(leader);
	known = control_flow_vm(leader->flows, vm);
	for (uint32_t i = 0; i < 300 && known->orphans->len < nr; i++)
		flow_world_run_ms(fw, 10);
	ck_assert_uint_eq(known->orphans->len, nr);
}

/*
 * Guards against a task that is placed elsewhere while an orphan of it runs:
 * the agent that reported the orphan is started again, and its first report
 * comes before it has fetched the worker's list.
 */
START_TEST(test_orphan_counts_until_next_agent_looks)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_orphans(seed, &step);

		wait_for_orphans(fw, "side0", 1);
		fw_kill_agent(&fw->vms[0]);
		fw_boot_agent(&fw->vms[0]);
		flow_world_run_ms(fw, STOP_MS);
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a task that is placed again while an orphan of it runs: the
 * leader kept one VM a task, and forgot the orphan once another VM's orphan of
 * the task had ended.
 */
START_TEST(test_orphans_at_two_vms_bar_their_task)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_orphans(seed, &step);
		GArray *runs = fw->vms[0].worker.runs;
		GArray *other_runs = fw->vms[1].worker.runs;
		struct fw_run run = g_array_index(runs, struct fw_run, 0);

		run.run++;
		g_array_append_val(other_runs, run);
		/* So the task would be placed on another VM. */
		fw->vms[0].draining = true;
		fw->vms[1].draining = true;
		wait_for_orphans(fw, "side0", 1);
		wait_for_orphans(fw, "side1", 2);
		/* Ends either run. */
		if (seed % 2)
			g_array_index(runs, struct fw_run, 0).stop_us = 1;
		else
			g_array_index(other_runs, struct fw_run, 1).stop_us = 1;
		flow_world_run_ms(fw, STOP_MS);
		flow_world_free(fw);
	}
}
END_TEST

/* Makes the worker list a run, and answer the poll in flight at once. */
static void fw_list_run(struct fw_vm *vm, const char *task, uint32_t nr)
{
	struct fw_run run = { .run = nr };
	struct fw_run ended = { .task = "zz.0.0.0", .run = 1, .stop_us = 1 };

	TEXT_SET(run.task, task);
	run.started_us = sim_now_us(vm->world->base->sim);
	ended.started_us = run.started_us;
	g_array_append_val(vm->worker.runs, run);
	g_array_append_val(vm->worker.runs, ended);
}

/* Stops within half a millisecond of the line. */
static void run_until_logged(struct flow_world *fw, const char *pattern)
{
	for (uint32_t i = 0; i < 300; i++) {
		for (uint32_t j = 0; j < 20; j++) {
			if (sim_log_has(fw->base->sim, pattern))
				return;
			sim_run_us(fw->base->sim, 500);
		}
		flow_world_run_ms(fw, 10);
	}
	ck_abort_msg("%s isn't logged", pattern);
}

/*
 * Guards against a start that is ordered beside an orphan that a report has
 * shown after the VM was chosen but before the placement was committed.
 */
START_TEST(test_orphan_listed_before_commit)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = FLOW_WORLD_VM_MEMORY_MIB,
				  .estimate_ms = RUN_MS };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = flow_world_new(seed);

		/* The tasks of aa are placed as those of bb end. */
		flow_world_submit(fw, "bb", &step, 1);
		flow_world_submit(fw, "aa", &step, 1);
		fw->stop_ms = STOP_MS;
		run_until_logged(fw, "*event=place id=aa *");
		fw->run_ms = RUN_MS;
		cut_followers(fw, true);
		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
			char task[NAME_BYTES];

			g_snprintf(task, sizeof(task), "bb.0.0.%u", i);
			fw_list_run(&fw->vms[i], task, 2);
		}
		flow_world_run_ms(fw, 60);
		ck_assert(sim_log_has(fw->base->sim, "*event=orphan*"));
		ck_assert_uint_eq(fw->nr_starts, FLOW_WORLD_VMS);
		cut_followers(fw, false);
		flow_world_run_ms(fw, STOP_MS / 2);
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a task that is placed elsewhere while an orphan of it runs:
 * only the earlier leader knew of the orphan, and its VM is cut off from the
 * new one.
 */
START_TEST(test_orphan_counts_at_new_leader)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS };

	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_orphans(seed, &step);

		for (uint32_t i = 0; i < fw->base->nr_controls; i++)
			if (!fw->base->controls[i].control)
				world_boot_control(&fw->base->controls[i]);
		/* Agents list the runs after their workers' heartbeats. */
		flow_world_run_ms(fw, 1030 - sim_now_us(fw->base->sim) / 1000 %
						      1000);
		run_until_logged(fw, "*event=orphan*vm=side0 *");
		fw_cut(&fw->vms[0], true);
		world_kill_control(world_leader_host(fw->base));
		flow_world_run_ms(fw, 4000);
		flow_world_free(fw);
	}
}
END_TEST

SUITE_MAIN("flow_orphan", test_orphan_counts_for_step_limit,
	   test_orphan_uses_capacity, test_orphans_of_one_task_count_each,
	   test_lost_run_counts_until_next_report,
	   test_orphan_counts_until_next_agent_looks,
	   test_orphans_at_two_vms_bar_their_task,
	   test_orphan_listed_before_commit, test_orphan_counts_at_new_leader)
