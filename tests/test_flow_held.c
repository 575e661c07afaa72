/**
 * @file test_flow_held.c
 * Starts that are held back: a worker runs an orphan, a run that isn't placed
 * there, which its agent reports between the proposal of a placement and its
 * commit. At every start the simulation asserts that the task runs nowhere else
 * and what the worker may start beside its runs (flow_rules.h).
 */

#include "flow_log.h"
#include "flow_world.h"
#include "suite.h"

#define NR_SEEDS 8
#define RUN_MS 8000
#define STOP_MS 900
#define COMMIT_MS 400

/* Returns the VM whose worker runs the task, NULL if there is none. */
static struct fw_vm *vm_running(struct flow_world *fw, const char *task)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (fw_runs(&fw->vms[i], task))
			return &fw->vms[i];
	return NULL;
}

/* Returns the VM on which the run is placed, by the leader's log, or NULL. */
static struct fw_vm *vm_placed(struct flow_world *fw, const char *task,
			       uint32_t run)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (flow_log_placed(fw->base->sim, task, run, fw->vms[i].name))
			return &fw->vms[i];
	return NULL;
}

/* Returns a VM other than the two. */
static struct fw_vm *vm_except(struct flow_world *fw, const struct fw_vm *a,
			       const struct fw_vm *b)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (&fw->vms[i] != a && &fw->vms[i] != b)
			return &fw->vms[i];
	return NULL;
}

/*
 * Proposes to place task oo.0.0.1 on a VM again, then makes a worker run
 * @a orphan by a start that is carried out late: the worker of that VM, or of
 * another one if @a elsewhere is true. The run has @a left_ms to go. The agent
 * reports it before the placement is committed.
 */
static struct flow_world *world_with_late_orphan(uint64_t seed,
						 const char *orphan,
						 bool elsewhere,
						 uint32_t left_ms)
{
	struct flow_world *fw = flow_world_new(seed);
	struct flow_step step = { .count = 2,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS,
				  .max_per_vm = 1 };
	struct fw_vm *vm;

	fw->run_ms = RUN_MS;
	fw->stop_ms = STOP_MS;
	flow_world_submit(fw, "oo", &step, 1);
	step.count = FLOW_WORLD_VMS;
	flow_world_submit(fw, "zz", &step, 1);
	flow_world_run_ms(fw, 1000);
	ck_assert_uint_eq(fw_running(fw), 2 + FLOW_WORLD_VMS);
	vm = vm_running(fw, "oo.0.0.1");
	/* A commit takes twice the delay. */
	world_set_control_delay(fw->base, COMMIT_MS * 1000 / 2);
	fw_crash_worker(vm);
	fw_boot_worker(vm);
	for (uint32_t i = 0; i < 500 && !vm_placed(fw, "oo.0.0.1", 2); i++)
		flow_world_run_ms(fw, 10);
	vm = vm_placed(fw, "oo.0.0.1", 2);
	ck_assert_ptr_nonnull(vm);
	if (elsewhere)
		vm = vm_except(fw, vm, vm_running(fw, "oo.0.0.0"));
	/* The end of its other run makes the agent list the runs at once. */
	vm->fail_runs = true;
	flow_world_run_ms(fw, 10);
	vm->fail_runs = false;
	fw_add_run(vm, orphan, 1, RUN_MS - left_ms);
	flow_world_run_ms(fw, COMMIT_MS / 2);
	ck_assert(sim_log_has(fw->base->sim, "*event=orphan*"));
	ck_assert_uint_eq(fw->nr_starts, 2 + FLOW_WORLD_VMS);
	return fw;
}

/*
 * Guards against a start beside an orphan of the step that was reported after
 * the task's placement was proposed and before it was committed.
 */
START_TEST(test_orphan_before_commit)
{
	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw =
			world_with_late_orphan(seed, "oo.0.0.0", false, RUN_MS);

		flow_world_run_ms(fw, 4000);
		ck_assert_ptr_nonnull(vm_running(fw, "oo.0.0.1"));
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a start of a task of which an earlier run was reported
 * elsewhere after the new placement was proposed and before it was committed.
 */
START_TEST(test_earlier_run_before_commit)
{
	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw =
			world_with_late_orphan(seed, "oo.0.0.1", true, RUN_MS);

		flow_world_run_ms(fw, 4000);
		ck_assert_ptr_nonnull(vm_running(fw, "oo.0.0.1"));
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a start of a task that is done: an earlier run of it was
 * reported while the new placement was being committed, and ended as done
 * before it could be stopped.
 */
START_TEST(test_earlier_run_is_done)
{
	for (uint64_t seed = 1; seed <= NR_SEEDS; seed++) {
		struct flow_world *fw = world_with_late_orphan(
			seed, "oo.0.0.1", true, STOP_MS / 2);

		flow_world_run_ms(fw, 4000);
		ck_assert_ptr_null(vm_running(fw, "oo.0.0.1"));
		ck_assert(flow_log_ended(fw->base->sim, "oo.0.0.1", 2, "done"));
		ck_assert(!sim_log_has(fw->base->sim, "*event=done-ignored*"));
		flow_world_free(fw);
	}
}
END_TEST

SUITE_MAIN("flow_held", test_orphan_before_commit,
	   test_earlier_run_before_commit, test_earlier_run_is_done)
