/**
 * @file test_preemption.c
 * Stops of throttled fillers under heavy load, and the run times that decide on
 * them. A filler uses idle processors and is throttled for the serving tasks on
 * its VM, which have a target for their tail latency.
 */

#include <string.h>

#include "control_flow_impl.h"
#include "control_impl.h"
#include "flow_world.h"
#include "suite.h"

#define IDLE_TAIL_MS 20
/* The load that this stands for leaves a filler a sixth of its speed. */
#define BUSY_TAIL_MS 60
/* Fillers are halted on a VM with this tail latency; the target is 100 ms. */
#define OVER_TAIL_MS 130
/* Leaves a filler of half a VM 60 % of its speed. */
#define MEDIUM_TAIL_MS 30
#define WEIGHT_PERMILLE 1000

static struct flow_step serving_step(void)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 2000,
				  .memory_mib = 500,
				  .estimate_ms = 500,
				  .lasting = true,
				  .target_ms = 100,
				  .max_per_vm = 1 };

	TEXT_SET(step.image, "s");
	return step;
}

static struct flow_step filler_step(uint32_t count, uint32_t estimate_ms)
{
	struct flow_step step = { .count = count,
				  .cpu_millis = 4000,
				  .memory_mib = 100,
				  .estimate_ms = estimate_ms,
				  .checkpoints = true,
				  .filler = true };

	TEXT_SET(step.image, "f");
	return step;
}

/* Latencies vary, as the leader learns only when one changes. */
static void run_ms(struct flow_world *fw, uint32_t ms)
{
	for (uint32_t i = 0; i < ms / 100; i++) {
		fw->tail_ms = IDLE_TAIL_MS + i % 3;
		flow_world_run_ms(fw, 100);
	}
}

/* Kills the leader and boots it again once there is another one. */
static void change_leader(struct flow_world *fw)
{
	struct world_control *leader = world_leader_host(fw->base);

	world_kill_control(leader);
	run_ms(fw, 2000);
	world_boot_control(leader);
	run_ms(fw, 1000);
}

/* Commits the weight of fillers on serving tasks; the next leader has it. */
static void commit_weight(struct flow_world *fw)
{
	struct pressure_pair pair = { .weight_permille = WEIGHT_PERMILLE };
	struct cmd_pressure cmd = { .nr_pairs = 1, .pairs = &pair };
	struct control *leader = world_leader(fw->base);

	TEXT_SET(pair.serving, "s");
	TEXT_SET(pair.filler, "f");
	ck_assert_int_eq(control_propose(leader, CMD_PRESSURE, &cmd, NULL),
			 RESULT_OK);
	run_ms(fw, 500);
	change_leader(fw);
}

/* A serving task with little load on each VM; fillers take @a fillers_ms. */
static struct flow_world *world_with_serving(uint64_t seed, uint32_t fillers_ms)
{
	struct flow_world *fw = flow_world_new(seed);
	struct flow_step serving = serving_step();

	flow_world_contend(fw);
	fw->run_ms = fillers_ms;
	fw->stop_ms = 900;
	fw->obeys_pace = true;
	fw->lasting = "aa";
	fw->overcommitted = true;
	commit_weight(fw);
	flow_world_submit(fw, "aa", &serving, 1);
	run_ms(fw, 9000);
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	return fw;
}

static struct fw_vm *vm_of(struct flow_world *fw, const char *task)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (fw_runs(&fw->vms[i], task))
			return &fw->vms[i];
	return NULL;
}

/* Starts a filler and returns its VM, on which the load then rises. */
static struct fw_vm *start_throttled(struct flow_world *fw, uint32_t tail_ms)
{
	struct flow_step filler = filler_step(1, 500);
	struct fw_vm *vm;

	flow_world_submit(fw, "bb", &filler, 1);
	run_ms(fw, 300);
	vm = vm_of(fw, "bb.0.0.0");
	ck_assert_ptr_nonnull(vm);
	vm->tail_ms = tail_ms;
	return vm;
}

static uint32_t count_stops(const struct flow_world *fw)
{
	return sim_log_count(fw->base->sim, "reason=\"held back\"");
}

/*
 * The load: runs near their end that are stopped again and again. Guards
 * against a filler that is slowed down in its last tenth and stopped, although
 * it ends sooner than it could start again.
 */
START_TEST(test_near_its_end)
{
	struct flow_world *fw = world_with_serving(51, 3000);
	struct fw_vm *vm = start_throttled(fw, BUSY_TAIL_MS);
	const struct fw_run *run = NULL;
	uint32_t least_pace = 100;

	for (uint32_t i = 0; i < 150 && vm_of(fw, "bb.0.0.0"); i++) {
		run = fw_find_run(vm, "bb.0.0.0");
		if (run)
			least_pace = MIN(least_pace, run->pace);
		run_ms(fw, 100);
	}
	/* It was slow enough for a move. */
	ck_assert_uint_le(least_pace, FLOW_MOVE_PACE_PERCENT);
	ck_assert_uint_eq(count_stops(fw), 0);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 2000));
	flow_world_free(fw);
}
END_TEST

/*
 * The load: heavy fillers that are slowed down with most of their work ahead.
 * Guards against a filler that stays, and against a line without the gain and
 * the cost of the stop.
 */
START_TEST(test_most_of_it_left)
{
	struct flow_world *fw = world_with_serving(52, 30000);
	struct fw_vm *vm = start_throttled(fw, BUSY_TAIL_MS);

	run_ms(fw, 15000);
	ck_assert_uint_eq(count_stops(fw), 1);
	ck_assert(sim_log_has(fw->base->sim,
			      "*event=task-stop task=bb.0.0.0 *gain_ms=* "
			      "cost_ms=*"));
	ck_assert(!fw_runs(vm, "bb.0.0.0"));
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 30000));
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a serving task over its target beside a filler with little work
 * left. Guards against a filler that is halted for it and never moved.
 */
START_TEST(test_halted)
{
	struct flow_world *fw = world_with_serving(53, 1500);
	struct fw_vm *vm = start_throttled(fw, OVER_TAIL_MS);

	run_ms(fw, 6000);
	ck_assert_uint_eq(count_stops(fw), 1);
	ck_assert(!fw_runs(vm, "bb.0.0.0"));
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 3000));
	flow_world_free(fw);
}
END_TEST

/*
 * The load: all serving tasks over their targets for a while, beside a long run
 * whose estimate is off by 90 %. Guards against a run that is stopped as
 * stalled when it goes on: it had no chance to make progress.
 */
START_TEST(test_halted_everywhere)
{
	struct flow_world *fw = world_with_serving(56, 400000);
	struct flow_step filler = filler_step(1, 20000);
	struct fw_vm *vm;

	flow_world_submit(fw, "bb", &filler, 1);
	run_ms(fw, 45000);
	vm = vm_of(fw, "bb.0.0.0");
	ck_assert_ptr_nonnull(vm);
	for (uint32_t ms = 0; ms < 18000; ms += 100) {
		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
			fw->vms[i].tail_ms = OVER_TAIL_MS + ms / 100 % 3;
		if (ms >= 8000)
			vm->tail_ms = 0;
		run_ms(fw, 100);
		ck_assert_msg(fw_runs(vm, "bb.0.0.0"), "ended after %u ms", ms);
	}
	ck_assert_uint_eq(fw_find_run(vm, "bb.0.0.0")->pace, 100);
	ck_assert_uint_eq(sim_log_count(fw->base->sim, "reason=stalled"), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a serving task over its target beside a long filler, while no VM
 * offers full speed, but all others more than half of it. Guards against a
 * filler that stays halted for as long as that lasts, as only VMs with full
 * speed are considered for a move.
 */
START_TEST(test_halted_without_full_speed_elsewhere)
{
	struct flow_world *fw = flow_world_new(57);
	struct flow_step serving = serving_step();
	struct flow_step filler = filler_step(1, 60000);
	char id[NAME_BYTES];
	struct fw_vm *vm;

	flow_world_contend(fw);
	fw->run_ms = 60000;
	fw->stop_ms = 900;
	fw->obeys_pace = true;
	fw->lasting = "aa";
	fw->overcommitted = true;
	commit_weight(fw);
	/* Each VM has one, and each a load of its own. */
	serving.count = 1;
	serving.cpu_millis = 5000;
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		g_snprintf(id, sizeof(id), "aa%u", i);
		flow_world_submit(fw, id, &serving, 1);
	}
	run_ms(fw, 9000);
	flow_world_submit(fw, "bb", &filler, 1);
	run_ms(fw, 2000);
	vm = vm_of(fw, "bb.0.0.0");
	ck_assert_ptr_nonnull(vm);
	for (uint32_t ms = 0; ms < 30000; ms += 100) {
		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
			fw->vms[i].tail_ms = MEDIUM_TAIL_MS + ms / 100 % 3;
		vm->tail_ms = OVER_TAIL_MS + ms / 100 % 3;
		run_ms(fw, 100);
	}
	ck_assert_uint_eq(count_stops(fw), 1);
	ck_assert_ptr_nonnull(vm_of(fw, "bb.0.0.0"));
	ck_assert(!fw_runs(vm, "bb.0.0.0"));
	flow_world_free(fw);
}
END_TEST

static uint64_t leader_run_ms(struct flow_world *fw, const char *id,
			      const struct flow_step *step)
{
	const struct control *leader = world_leader(fw->base);
	const struct state_flow *flow = g_tree_lookup(leader->state->flows, id);

	ck_assert_ptr_nonnull(flow);
	return control_flow_run_ms(leader->flows, flow, step);
}

/*
 * The load: estimates that are off by 90 %. Guards against run times that stay
 * those of the estimates. The failure: the leader is lost, and the new one has
 * no learned times; it uses the estimates, loses no work and learns again.
 */
START_TEST(test_new_leader_learns_again)
{
	struct flow_world *fw = world_with_serving(54, 1000);
	struct flow_step filler = filler_step(8, 10000);

	flow_world_submit(fw, "bb", &filler, 1);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 20000));
	ck_assert_uint_ge(leader_run_ms(fw, "bb", &filler), 800);
	ck_assert_uint_le(leader_run_ms(fw, "bb", &filler), 1400);
	flow_world_submit(fw, "cc", &filler, 1);
	run_ms(fw, 300);
	change_leader(fw);
	ck_assert(flow_world_wait(fw, "cc", FLOW_COMPLETED, 20000));
	flow_world_submit(fw, "dd", &filler, 1);
	ck_assert(flow_world_wait(fw, "dd", FLOW_COMPLETED, 20000));
	ck_assert_uint_ge(leader_run_ms(fw, "dd", &filler), 800);
	ck_assert_uint_le(leader_run_ms(fw, "dd", &filler), 1400);
	ck_assert_uint_eq(count_stops(fw), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the leader is lost while a filler is throttled. Guards against a
 * new leader that never moves it, as it hasn't seen the beginning of the run.
 */
START_TEST(test_new_leader_moves)
{
	struct flow_world *fw = world_with_serving(55, 40000);
	struct fw_vm *vm = start_throttled(fw, BUSY_TAIL_MS);

	run_ms(fw, 3000);
	change_leader(fw);
	run_ms(fw, 15000);
	ck_assert_uint_eq(count_stops(fw), 1);
	ck_assert(!fw_runs(vm, "bb.0.0.0"));
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: a faulty agent lists a run with more than 100 % of its work
 * done. Guards against a division by zero, which ends the leader.
 */
START_TEST(test_more_than_all_done)
{
	struct node node = { .now_us = 2000000 };
	struct control control = { .node = &node };
	struct control_flow flows = { .control = &control,
				      .policy = &load_contended };
	struct flow_step step = filler_step(1, 500);
	struct flow_placement placed = {
		.step = &step, .listed = true, .percent = 120, .pace = 100
	};
	bool unsure;

	flows.run_times = run_times_new();
	control_flow_time_begin(&flows, &placed, placed.percent);
	placed.flow = g_new0(struct state_flow, 1);
	ck_assert_uint_le(
		control_flow_remaining_full_ms(&flows, &placed, &unsure), 500);
	g_free(placed.flow);
	run_times_free(flows.run_times);
}
END_TEST

/*
 * The load: a throttled filler that has done part of its work. Guards against
 * admission that counts the throttling twice, in the work that is left and in
 * the measured capacity, and refuses what could complete.
 */
START_TEST(test_throttled_work_counts_as_done)
{
	struct flow_world *fw = world_with_serving(57, 20000);
	struct flow_step filler = filler_step(1, 20000);
	struct flow_step burst = filler_step(500, 20000);
	struct fw_vm *vm;

	flow_world_submit(fw, "bb", &filler, 1);
	run_ms(fw, 8000);
	vm = vm_of(fw, "bb.0.0.0");
	ck_assert_ptr_nonnull(vm);
	vm->tail_ms = OVER_TAIL_MS;
	run_ms(fw, 2000);
	ck_assert_uint_lt(fw_find_run(vm, "bb.0.0.0")->pace, 50);
	ck_assert_int_eq(flow_world_submit(fw, "cc", &burst, 1),
			 RESULT_NOT_IN_TIME);
	ck_assert(sim_log_has(fw->base->sim, "*event=admission id=cc *"));
	/* 8 s on 4 processors, less what no report has shown yet. */
	ck_assert_uint_eq(
		sim_log_matches(fw->base->sim,
				"event=admission id=cc .*done_core_ms="
				"(2[4-9]|3[0-9])[0-9]{3} "),
		1);
	flow_world_free(fw);
}
END_TEST

SUITE_MAIN("preemption", test_near_its_end, test_most_of_it_left, test_halted,
	   test_halted_everywhere, test_halted_without_full_speed_elsewhere,
	   test_new_leader_learns_again, test_new_leader_moves,
	   test_more_than_all_done, test_throttled_work_counts_as_done)
