/**
 * @file test_flow_unannounced.c
 * Workers that are restarted under their identity and cut off from their agents
 * before their first heartbeat. Calls that waited for them are executed by the
 * new incarnation, and only lists name the incarnation that answers: answers to
 * starts and stops have the worker's clock alone. The simulation asserts that
 * no task runs at two workers.
 */

#include <stdlib.h>

#include "control_impl.h"
#include "flow_world.h"
#include "suite.h"

#define SEEDS 6
#define COPY_SEEDS 12
#define TASKS 4 /* the other workers have room for all */
/* Longer than the longest lease. */
#define RUN_MS 14000
/* Until the workers' clocks are ahead of the longest lease. */
#define UPTIME_MS 15000
#define WORKER_DOWN_MS 300
/* From the crash: the agents take the workers for reachable. */
#define FIRST_SUBMIT_AFTER_MS 20
/* From the restart. */
#define SECOND_SUBMIT_AFTER_MS 200
#define LEADER_DOWN_MS 1000
#define CUT_MS 12000

/* The first VMs, those of a zone, whose workers are restarted. */
static const uint32_t restarted_vms[] = { 0, 2 };

/* Times are from the restart; 0: it doesn't happen. */
struct unannounced_case {
	uint32_t heartbeat_ms; /* the first heartbeat, unless cut off */
	uint32_t cut_ms; /* the worker is cut off from its agent */
	uint32_t freeze_ms; /* the agent's process is stopped */
	uint32_t agent_killed_ms; /* the agent is restarted at once */
	uint32_t leader_killed_ms;
	uint32_t unanswered_ms; /* calls get no answers until then */
	/* The calls that wait are executed at 0 ms on the new clock. */
	bool executed_at_once;
};

static void each_restarted(struct flow_world *fw,
			   void (*function)(struct fw_vm *vm))
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		function(&fw->vms[restarted_vms[i]]);
}

static void cut_worker(struct fw_vm *vm)
{
	fw_cut_worker(vm, true);
}

static void rejoin_worker(struct fw_vm *vm)
{
	fw_cut_worker(vm, false);
}

static void freeze_agent(struct fw_vm *vm)
{
	fw_freeze_agent(vm, true);
}

static void continue_agent(struct fw_vm *vm)
{
	if (vm->frozen)
		fw_freeze_agent(vm, false);
}

static void restart_agent(struct fw_vm *vm)
{
	fw_kill_agent(vm);
	fw_boot_agent(vm);
}

static void submit(struct flow_world *fw, const char *id)
{
	struct flow_step step = { .count = TASKS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS };
	enum result result = RESULT_NO_QUORUM;

	TEXT_SET(step.image, "f");
	/* The leader may be away. */
	for (uint32_t i = 0; i < 5 && result == RESULT_NO_QUORUM; i++)
		result = flow_world_submit(fw, id, &step, 1);
	ck_assert_int_eq(result, RESULT_OK);
}

/* Plays the faults of the case from the restart to the end of the cut. */
static void play_faults(struct flow_world *fw,
			const struct unannounced_case *test)
{
	struct world_control *killed = NULL;

	for (uint32_t ms = 0; ms < test->cut_ms + CUT_MS; ms += 20) {
		if (ms && ms == test->leader_killed_ms) {
			killed = world_leader_host(fw->base);
			ck_assert_ptr_nonnull(killed);
			world_kill_control(killed);
		}
		if (killed && ms == test->leader_killed_ms + LEADER_DOWN_MS)
			world_boot_control(killed);
		if (ms == SECOND_SUBMIT_AFTER_MS)
			submit(fw, "cc");
		if (ms == test->unanswered_ms)
			for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms);
			     i++)
				fw->vms[restarted_vms[i]].mute = false;
		if (ms && ms == test->agent_killed_ms)
			each_restarted(fw, restart_agent);
		if (ms && ms == test->freeze_ms)
			each_restarted(fw, freeze_agent);
		if (ms == test->cut_ms)
			each_restarted(fw, cut_worker);
		flow_world_run_ms(fw, 20);
	}
}

static void boot_at_tick(void *ctx)
{
	struct flow_world *fw = ctx;

	fw->tick = NULL;
	each_restarted(fw, fw_boot_worker);
}

/* Starts the workers at the next tick, in which calls are executed. */
static void boot_and_execute(struct flow_world *fw)
{
	fw->tick = boot_at_tick;
	fw->tick_ctx = fw;
	flow_world_run_ms(fw, 10);
}

static void play(const struct unannounced_case *test, uint64_t seed)
{
	struct flow_world *fw = flow_world_new(seed);
	uint64_t restart_us;

	if (getenv("FLOW_UNANNOUNCED_SEED")) {
		sim_set_verbose(fw->base->sim, true);
		fw->prints_runs = true;
	}
	fw->run_ms = RUN_MS;
	flow_world_run_ms(fw, UPTIME_MS);
	submit(fw, "aa");
	flow_world_run_ms(fw, 1000 + seed * 30);
	each_restarted(fw, fw_crash_worker);
	flow_world_run_ms(fw, FIRST_SUBMIT_AFTER_MS);
	submit(fw, "bb");
	flow_world_run_ms(fw, WORKER_DOWN_MS - FIRST_SUBMIT_AFTER_MS);
	if (test->executed_at_once)
		boot_and_execute(fw);
	else
		each_restarted(fw, fw_boot_worker);
	restart_us = sim_now_us(fw->base->sim);
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++) {
		struct fw_vm *vm = &fw->vms[restarted_vms[i]];

		vm->first_heartbeat_us =
			restart_us + test->heartbeat_ms * 1000ull;
		vm->mute = test->unanswered_ms > 0;
	}
	play_faults(fw, test);
	each_restarted(fw, continue_agent);
	each_restarted(fw, rejoin_worker);
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 60000));
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
	ck_assert(flow_world_wait(fw, "cc", FLOW_COMPLETED, 60000));
	flow_world_free(fw);
}

/* FLOW_UNANNOUNCED_SEED=N plays and logs one seed of each test. */
static void play_seeds(const struct unannounced_case *test)
{
	const char *one = getenv("FLOW_UNANNOUNCED_SEED");

	if (one) {
		play(test, strtoul(one, NULL, 10));
		return;
	}
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		play(test, seed);
}

/*
 * Guards against a run of the new incarnation that counts as one of the former,
 * as the answer to its start names no incarnation: it is taken for lost when
 * the former incarnation's lease ends.
 */
START_TEST(test_cut_at_once)
{
	static const struct unannounced_case test = { .heartbeat_ms = 1000,
						      .cut_ms = 100 };

	play_seeds(&test);
}
END_TEST

/* Guards against the same if polls have shown the new incarnation. */
START_TEST(test_cut_before_heartbeat)
{
	static const struct unannounced_case test = { .heartbeat_ms = 1000,
						      .cut_ms = 300 };

	play_seeds(&test);
}
END_TEST

/*
 * Guards against a start that is called for the former incarnation with a
 * deadline on the new one's clock, after an answer has shown that clock.
 */
START_TEST(test_late_heartbeat)
{
	static const struct unannounced_case test = { .heartbeat_ms = 3000,
						      .cut_ms = 2000 };

	play_seeds(&test);
}
END_TEST

/* Guards against the same if the first calls get no answers. */
START_TEST(test_unanswered_calls)
{
	static const struct unannounced_case test = { .heartbeat_ms = 2500,
						      .cut_ms = 2000,
						      .unanswered_ms = 40 };

	play_seeds(&test);
}
END_TEST

/* Guards against the same with an agent that stops instead of a cut. */
START_TEST(test_frozen_agent)
{
	static const struct unannounced_case test = { .heartbeat_ms = 3000,
						      .cut_ms = 2000,
						      .freeze_ms = 1000 };

	play_seeds(&test);
}
END_TEST

/* Guards against an agent that knew of the restart, and is replaced. */
START_TEST(test_agent_killed)
{
	static const struct unannounced_case test = { .heartbeat_ms = 3000,
						      .cut_ms = 500,
						      .agent_killed_ms = 500 };

	play_seeds(&test);
}
END_TEST

/* Guards against a leader that knew of the restart, and is replaced. */
START_TEST(test_leader_killed)
{
	static const struct unannounced_case tests[] = {
		{ .heartbeat_ms = 1000,
		  .cut_ms = 300,
		  .leader_killed_ms = 200 },
		{ .heartbeat_ms = 3000,
		  .cut_ms = 2000,
		  .leader_killed_ms = 1400 },
		{ .heartbeat_ms = 3000,
		  .cut_ms = 2000,
		  .leader_killed_ms = 2400 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		play_seeds(&tests[i]);
}
END_TEST

/*
 * Guards against an answer that counts as one without a clock, because the
 * clock of the new incarnation reads 0: the agent stops before its next poll,
 * and no leader knows that the start may have been executed after the restart.
 */
START_TEST(test_answered_at_zero)
{
	static const struct unannounced_case tests[] = {
		{ .heartbeat_ms = 3000,
		  .cut_ms = 2000,
		  .freeze_ms = 100,
		  .executed_at_once = true },
		{ .heartbeat_ms = 3000,
		  .cut_ms = 2000,
		  .freeze_ms = 100,
		  .leader_killed_ms = 600,
		  .executed_at_once = true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		play_seeds(&tests[i]);
}
END_TEST

static void set_mute(struct flow_world *fw, bool mute)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		fw->vms[restarted_vms[i]].mute = mute;
}

/*
 * Guards against an end that is lost: a poll for the former incarnation, which
 * acknowledges its ends, waits at the worker while that is restarted, and drops
 * an end of the new incarnation. The first calls get no answers. The task would
 * start again after it is done.
 */
START_TEST(test_poll_acknowledges_ends_of_next_incarnation)
{
	struct flow_step step = { .count = 8,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = 100 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct flow_world *fw = flow_world_new(seed);

		fw->run_ms = 100;
		flow_world_run_ms(fw, UPTIME_MS);
		/* Ends of the former incarnations are acknowledged. */
		ck_assert_int_eq(flow_world_submit(fw, "aa", &step, 1),
				 RESULT_OK);
		flow_world_run_ms(fw, 1000 + seed * 30);
		each_restarted(fw, fw_crash_worker);
		ck_assert_int_eq(flow_world_submit(fw, "bb", &step, 1),
				 RESULT_OK);
		flow_world_run_ms(fw, 200);
		each_restarted(fw, fw_boot_worker);
		set_mute(fw, true);
		flow_world_run_ms(fw, 300);
		set_mute(fw, false);
		ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 30000));
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against lasting tasks without a run for more than 9 s (rule LOST): an
 * answer has shown that the incarnation that ran them has ended, and the worker
 * is cut off then. Only runs whose start was sent twice, had no answer or one
 * of the new incarnation may be there.
 */
START_TEST(test_lasting_tasks_of_ended_incarnation)
{
	struct flow_step lasting = { .count = 4,
				     .cpu_millis = 1000,
				     .memory_mib = 500,
				     .lasting = true };
	struct flow_world *fw = flow_world_new(1);
	struct fw_vm *vm = &fw->vms[0];

	fw->judge_lasting = true;
	fw->lasting = "ll";
	flow_world_run_ms(fw, UPTIME_MS);
	ck_assert_int_eq(flow_world_submit(fw, "ll", &lasting, 1), RESULT_OK);
	flow_world_run_ms(fw, 4000);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (fw->vms[i].worker.runs->len)
			vm = &fw->vms[i];
	ck_assert_uint_gt(vm->worker.runs->len, 0);
	fw_crash_worker(vm);
	flow_world_run_ms(fw, WORKER_DOWN_MS);
	fw_boot_worker(vm);
	vm->first_heartbeat_us = UINT64_MAX;
	/* Two polls reach the new incarnation. */
	flow_world_run_ms(fw, 40);
	fw_cut_worker(vm, true);
	flow_world_run_ms(fw, 20000);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against the same for a task whose start a new incarnation has executed
 * and answered, as its clock shows: the call can't be executed again, so only
 * the lease counts, not the time for which a call may be late.
 */
START_TEST(test_lasting_task_started_by_next_incarnation)
{
	struct flow_step lasting = { .count = 4,
				     .cpu_millis = 1000,
				     .memory_mib = 500,
				     .max_per_vm = 2,
				     .lasting = true };
	struct flow_world *fw = flow_world_new(1);
	struct fw_vm *vm = &fw->vms[0];

	fw->judge_lasting = true;
	fw->lasting = "ll";
	flow_world_run_ms(fw, UPTIME_MS);
	fw_crash_worker(vm);
	ck_assert_int_eq(flow_world_submit(fw, "ll", &lasting, 1), RESULT_OK);
	flow_world_run_ms(fw, WORKER_DOWN_MS - 20);
	fw_boot_worker(vm);
	vm->first_heartbeat_us = UINT64_MAX;
	flow_world_run_ms(fw, 10);
	ck_assert_uint_eq(vm->worker.runs->len, 1);
	fw_cut_worker(vm, true);
	flow_world_run_ms(fw, 30000);
	flow_world_free(fw);
}
END_TEST

/* Times are from the first start; 0: it doesn't happen. */
struct copy_case {
	bool checkpoints;
	bool lasting;
	bool loses_starts; /* the start isn't sent twice, but has no answer */
	uint32_t agent_killed_ms; /* the agent is restarted at once */
	uint32_t leader_killed_ms;
	uint32_t crash_ms; /* of the worker, which is restarted */
	uint32_t second_crash_ms; /* the same, behind the cut */
	uint32_t cut_ms; /* the worker is cut off from its agent */
	/* From then on to the cut, calls have no answer and are executed late.
	 */
	uint32_t lose_calls_ms;
};

static void set_start_faults(struct flow_world *fw,
			     const struct copy_case *test, uint32_t ppm)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++) {
		struct fw_vm *vm = &fw->vms[restarted_vms[i]];

		if (test->loses_starts)
			vm->lose_ppm = ppm;
		else
			vm->resend_ppm = ppm;
	}
}

static void lose_calls(struct fw_vm *vm)
{
	vm->lose_ppm = 1000000;
}

static void stay_unannounced(struct fw_vm *vm)
{
	fw_boot_worker(vm);
	vm->first_heartbeat_us = UINT64_MAX;
}

static void play_copy(const struct copy_case *test, uint64_t seed)
{
	struct flow_step step = { .count = TASKS,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = RUN_MS,
				  .checkpoints = test->checkpoints,
				  .lasting = test->lasting };
	struct flow_world *fw = flow_world_new(seed);
	struct world_control *killed = NULL;

	if (getenv("FLOW_UNANNOUNCED_SEED")) {
		sim_set_verbose(fw->base->sim, true);
		fw->prints_runs = true;
	}
	fw->run_ms = RUN_MS;
	fw->lasting = test->lasting ? "aa" : NULL;
	fw->late_pass_cuts = true;
	flow_world_run_ms(fw, UPTIME_MS);
	set_start_faults(fw, test, 1000000);
	ck_assert_int_eq(flow_world_submit(fw, "aa", &step, 1), RESULT_OK);
	for (uint32_t ms = 0; ms < test->cut_ms + CUT_MS; ms += 20) {
		if (ms == (test->loses_starts ? 40 : 100))
			set_start_faults(fw, test, 0);
		if (ms && ms == test->agent_killed_ms)
			each_restarted(fw, restart_agent);
		if (ms && ms == test->leader_killed_ms) {
			killed = world_leader_host(fw->base);
			ck_assert_ptr_nonnull(killed);
			world_kill_control(killed);
		}
		if (killed && ms == test->leader_killed_ms + LEADER_DOWN_MS)
			world_boot_control(killed);
		if (ms && ms == test->lose_calls_ms)
			each_restarted(fw, lose_calls);
		if (ms == test->cut_ms)
			each_restarted(fw, cut_worker);
		if (ms && (ms == test->crash_ms || ms == test->second_crash_ms))
			each_restarted(fw, fw_crash_worker);
		if (ms > WORKER_DOWN_MS &&
		    (ms == test->crash_ms + WORKER_DOWN_MS ||
		     ms == test->second_crash_ms + WORKER_DOWN_MS))
			each_restarted(fw, stay_unannounced);
		flow_world_run_ms(fw, 20);
	}
	each_restarted(fw, rejoin_worker);
	flow_world_run_ms(fw, RUN_MS);
	flow_world_free(fw);
}

/* Plays each case with some seeds, or with FLOW_UNANNOUNCED_SEED. */
static void play_copies(const struct copy_case *tests, size_t nr)
{
	const char *one = getenv("FLOW_UNANNOUNCED_SEED");

	for (size_t i = 0; i < nr; i++) {
		if (one)
			play_copy(&tests[i], strtoul(one, NULL, 10));
		for (uint64_t seed = 1; !one && seed <= COPY_SEEDS; seed++)
			play_copy(&tests[i], seed);
	}
}

/*
 * Guards against a run that is given up with the granted lease, as its start
 * was answered: the start was sent twice, and the next incarnation executes the
 * first copy, with a deadline on the former one's clock, before it is cut off
 * or behind the cut.
 */
START_TEST(test_first_copy_in_next_incarnation)
{
	static const struct copy_case tests[] = {
		{ .crash_ms = 300, .cut_ms = 1000 },
		{ .cut_ms = 1000, .crash_ms = 1200 },
		{ .cut_ms = 3000, .crash_ms = 3200 },
		{ .checkpoints = true, .cut_ms = 1000, .crash_ms = 1200 },
		{ .lasting = true, .cut_ms = 1000, .crash_ms = 1200 },
		{ .cut_ms = 1000, .crash_ms = 1200, .second_crash_ms = 2000 },
	};

	play_copies(tests, G_N_ELEMENTS(tests));
}
END_TEST

/*
 * Guards against the same if the agent is replaced by one that doesn't know
 * which calls were sent twice, before or behind the cut, also together with the
 * leader that the former agent had told.
 */
START_TEST(test_first_copy_after_restart_of_agent)
{
	static const struct copy_case tests[] = {
		{ .agent_killed_ms = 500, .cut_ms = 1000, .crash_ms = 1200 },
		{ .agent_killed_ms = 500,
		  .lasting = true,
		  .cut_ms = 2000,
		  .crash_ms = 2200 },
		{ .cut_ms = 1000, .crash_ms = 1200, .agent_killed_ms = 1600 },
		{ .agent_killed_ms = 300,
		  .leader_killed_ms = 600,
		  .cut_ms = 3000,
		  .crash_ms = 3200 },
		{ .leader_killed_ms = 300, .cut_ms = 2000, .crash_ms = 2200 },
	};

	play_copies(tests, G_N_ELEMENTS(tests));
}
END_TEST

/*
 * Guards against the same if a poll with a deadline, sent after the start, has
 * no answer and reaches the next incarnation late: it extends the lease of the
 * run that the first copy has started.
 */
START_TEST(test_first_copy_and_late_poll)
{
	static const struct copy_case tests[] = {
		{ .lose_calls_ms = 4000, .cut_ms = 5000, .crash_ms = 5200 },
		{ .lose_calls_ms = 8000, .cut_ms = 9000, .crash_ms = 9200 },
		{ .lose_calls_ms = 8000,
		  .cut_ms = 9000,
		  .crash_ms = 9200,
		  .agent_killed_ms = 9600 },
		/* The agent's first report to its leader is that of the cut. */
		{ .lose_calls_ms = 6000,
		  .leader_killed_ms = 6200,
		  .cut_ms = 7000,
		  .crash_ms = 7200 },
	};

	play_copies(tests, G_N_ELEMENTS(tests));
}
END_TEST

/*
 * Guards against the same if two agent processes have called the start: the
 * call of the first one had no answer, and the second one's was answered.
 */
START_TEST(test_first_copy_of_former_agent)
{
	static const struct copy_case tests[] = {
		{ .loses_starts = true,
		  .agent_killed_ms = 40,
		  .cut_ms = 1500,
		  .crash_ms = 1600 },
		{ .loses_starts = true,
		  .agent_killed_ms = 20,
		  .cut_ms = 1500,
		  .crash_ms = 1600 },
		{ .loses_starts = true,
		  .agent_killed_ms = 40,
		  .leader_killed_ms = 600,
		  .cut_ms = 3000,
		  .crash_ms = 3200 },
	};

	play_copies(tests, G_N_ELEMENTS(tests));
}
END_TEST

/* The case answered_start is known as red; CK_RUN_CASE selects. */
int main(void)
{
	const TTest *const tests[] = {
		test_cut_at_once,
		test_cut_before_heartbeat,
		test_late_heartbeat,
		test_unanswered_calls,
		test_frozen_agent,
		test_agent_killed,
		test_leader_killed,
		test_answered_at_zero,
		test_poll_acknowledges_ends_of_next_incarnation,
		test_lasting_tasks_of_ended_incarnation,
	};
	const TTest *const first_copy[] = {
		test_first_copy_in_next_incarnation,
		test_first_copy_after_restart_of_agent,
		test_first_copy_and_late_poll,
		test_first_copy_of_former_agent,
	};
	const TTest *const answered_start[] = {
		test_lasting_task_started_by_next_incarnation
	};
	Suite *suite = suite_create("flow_unannounced");

	suite_add_case(suite, "flow_unannounced", tests, G_N_ELEMENTS(tests));
	suite_add_case(suite, "answered_start", answered_start,
		       G_N_ELEMENTS(answered_start));
	suite_add_case(suite, "first_copy", first_copy,
		       G_N_ELEMENTS(first_copy));
	return suite_run_all(suite);
}
