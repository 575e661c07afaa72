/**
 * @file test_flow_restart.c
 * Workers that are restarted under their identity, and processes that don't
 * remember their former incarnation. A call that was meant for it has a
 * deadline on its clock, which is far ahead of the new one: the lease gets the
 * longest length that workers accept. The simulation asserts that no task runs
 * at two workers.
 */

#include <string.h>

#include "control_impl.h"
#include "flow_world.h"
#include "suite.h"

#define SEEDS 12
#define TASKS 12
#define RUN_MS 9000
/* Until the workers' clocks are ahead of the longest lease. */
#define UPTIME_MS 15000
#define WORKER_DOWN_MS 300
/* From the restart, as the next ones. */
#define FIRST_HEARTBEAT_MS 100
#define SUBMITTED_AFTER_MS 200
#define LEADER_KILLED_AFTER_MS 2200
#define CUT_AFTER_MS 2600
#define CUT_MS 9000

/* The first VMs, those of a zone, whose workers are restarted. */
static const uint32_t restarted_vms[] = { 0, 2 };

/* What happens to the restarted VMs and to the core, beside the restart. */
struct restart_case {
	void (*cut)(struct fw_vm *vm, bool cut);
	bool agents_restarted; /* just before the cut */
	/* Times at which the leader is killed, from the restart; 0: none. */
	uint32_t kills_ms[2];
	uint32_t kill_before_ms; /* from the kill to the restart, 0: none */
	uint32_t cut_ms; /* time of the cut, from the restart */
};

static void each_restarted(struct flow_world *fw,
			   void (*function)(struct fw_vm *vm))
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		function(&fw->vms[restarted_vms[i]]);
}

/* The first heartbeat of the new incarnation. */
static void send_heartbeat(struct fw_vm *vm)
{
	fw_heartbeat(vm, vm->worker.born_ms, ++vm->worker.seq);
}

static void restart_agent(struct fw_vm *vm)
{
	fw_kill_agent(vm);
	fw_boot_agent(vm);
}

static void set_cut(struct flow_world *fw, const struct restart_case *test,
		    bool cut)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		test->cut(&fw->vms[restarted_vms[i]], cut);
}

/* Kills the leader; the replica is restarted after a second. */
static struct world_control *kill_leader(struct flow_world *fw)
{
	struct world_control *host = world_leader_host(fw->base);

	ck_assert_ptr_nonnull(host);
	world_kill_control(host);
	return host;
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

/* Plays the events of the case from the restart to the end of the cut. */
static void play_cut(struct flow_world *fw, const struct restart_case *test)
{
	struct world_control *killed = NULL;
	uint32_t killed_ms = 0;

	for (uint32_t ms = 0; ms < test->cut_ms + CUT_MS; ms += 20) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(test->kills_ms); i++) {
			if (!test->kills_ms[i] || test->kills_ms[i] != ms)
				continue;
			killed = kill_leader(fw);
			killed_ms = ms;
		}
		if (killed && ms == killed_ms + 1000) {
			world_boot_control(killed);
			killed = NULL;
		}
		if (ms == FIRST_HEARTBEAT_MS)
			each_restarted(fw, send_heartbeat);
		if (ms == SUBMITTED_AFTER_MS)
			submit(fw, "bb");
		if (ms == test->cut_ms) {
			if (test->agents_restarted)
				each_restarted(fw, restart_agent);
			set_cut(fw, test, true);
		}
		flow_world_run_ms(fw, 20);
	}
	if (killed)
		world_boot_control(killed);
	set_cut(fw, test, false);
}

static void play(const struct restart_case *test, uint64_t seed)
{
	struct flow_world *fw = flow_world_new(seed);
	struct world_control *killed = NULL;

	fw->run_ms = RUN_MS;
	flow_world_run_ms(fw, UPTIME_MS);
	submit(fw, "aa");
	flow_world_run_ms(fw, 1000 + seed * 30);
	if (test->kill_before_ms) {
		killed = kill_leader(fw);
		flow_world_run_ms(fw, test->kill_before_ms);
	}
	each_restarted(fw, fw_crash_worker);
	/* Calls to the workers wait until they are back. */
	flow_world_run_ms(fw, WORKER_DOWN_MS);
	each_restarted(fw, fw_boot_worker);
	if (killed)
		world_boot_control(killed);
	play_cut(fw, test);
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 60000));
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
	flow_world_free(fw);
}

static void play_seeds(const struct restart_case *test)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		play(test, seed);
}

/*
 * Guards against a new leader that gives up the runs of a restarted worker
 * while the worker's lease lasts: it hasn't seen the restart, and no run of the
 * former incarnation is placed any more. The worker is cut off from its agent.
 */
START_TEST(test_new_leader_beside_cut_worker)
{
	static const struct restart_case test = {
		.cut = fw_cut_worker,
		.kills_ms = { LEADER_KILLED_AFTER_MS },
		.cut_ms = CUT_AFTER_MS,
	};

	play_seeds(&test);
}
END_TEST

/* Guards against the same with an agent that doesn't report any more. */
START_TEST(test_new_leader_beside_frozen_agent)
{
	static const struct restart_case test = {
		.cut = fw_freeze_agent,
		.kills_ms = { LEADER_KILLED_AFTER_MS },
		.cut_ms = CUT_AFTER_MS,
	};

	play_seeds(&test);
}
END_TEST

/* Guards against the same with an agent that is cut off from the replicas. */
START_TEST(test_new_leader_beside_cut_agent)
{
	static const struct restart_case test = {
		.cut = fw_cut,
		.kills_ms = { LEADER_KILLED_AFTER_MS },
		.cut_ms = CUT_AFTER_MS,
	};

	play_seeds(&test);
}
END_TEST

/* Guards against the same with an agent that knows no worker. */
START_TEST(test_new_leader_beside_new_agent)
{
	static const struct restart_case test = {
		.cut = fw_cut_worker,
		.agents_restarted = true,
		.kills_ms = { LEADER_KILLED_AFTER_MS },
		.cut_ms = CUT_AFTER_MS,
	};

	play_seeds(&test);
}
END_TEST

/* Guards against the same after two changes of the leader. */
START_TEST(test_second_leader_beside_cut_worker)
{
	static const struct restart_case test = {
		.cut = fw_cut_worker,
		.kills_ms = { 600, 2400 },
		.cut_ms = CUT_AFTER_MS,
	};

	play_seeds(&test);
}
END_TEST

/*
 * Guards against the same if the restart happens while there is no leader, and
 * the first leader that hears of it is killed, too.
 */
START_TEST(test_restart_without_leader)
{
	static const struct restart_case test = {
		.cut = fw_cut_worker,
		.kills_ms = { LEADER_KILLED_AFTER_MS + 800 },
		.cut_ms = CUT_AFTER_MS,
		.kill_before_ms = 400,
	};

	play_seeds(&test);
}
END_TEST

/*
 * Guards against a task that is placed on the restarted worker before later
 * leaders can know of the restart: the leader is killed at any time after it.
 */
START_TEST(test_leader_killed_at_any_time)
{
	for (uint32_t ms = 100; ms < 1500; ms += 20) {
		const struct restart_case test = {
			.cut = fw_cut_worker,
			.kills_ms = { ms },
			.cut_ms = ms + 400,
		};

		play(&test, 1 + ms / 20 % SEEDS);
	}
}
END_TEST

/* The leader that has seen the restart assumes the longest lease. */
START_TEST(test_same_leader_beside_cut_worker)
{
	static const struct restart_case test = {
		.cut = fw_cut_worker,
		.cut_ms = CUT_AFTER_MS,
	};

	play_seeds(&test);
}
END_TEST

/* ---- calls to the former incarnation that arrive late, and no record ---- */

#define LATE_RUN_MS 14000
#define FROZEN_MS 3600 /* a grant of 5 s still allows a start after it */
#define LATE_CUT_MS 12000
#define GRANT_DELAY_US 25000

static void cut_worker(struct fw_vm *vm)
{
	fw_cut_worker(vm, true);
}

static void rejoin_worker(struct fw_vm *vm)
{
	fw_cut_worker(vm, false);
}

/* Calls to the worker wait until it is back. */
static void restart_worker(struct fw_vm *vm)
{
	fw_crash_worker(vm);
	fw_boot_worker(vm);
}

static void set_frozen(struct flow_world *fw, bool frozen)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		fw_freeze_agent(&fw->vms[restarted_vms[i]], frozen);
}

/*
 * Delays messages to the agent, so that it polls the new incarnation before it
 * has the raised fencing token.
 */
static void slow_grants(struct fw_vm *vm)
{
	const struct world *base = vm->world->base;

	for (uint32_t i = 0; i < base->nr_controls; i++)
		sim_path_between(base->controls[i].machine, vm->machine)
			->delay_us = GRANT_DELAY_US;
}

/*
 * Makes the restarted workers execute a call to their former incarnation that
 * was delayed by less than the platform's 12 s. They accept it: they have seen
 * no fencing token above the former one.
 */
static void execute_former_calls(struct flow_world *fw,
				 const uint64_t *former_fences)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++) {
		struct fw_vm *vm = &fw->vms[restarted_vms[i]];

		if (vm->worker.fence <= former_fences[i])
			fw_extend_lease(vm);
	}
}

/*
 * The agents of the restarted workers are frozen just after they have reported
 * the restart, and continue when a start that was ordered meanwhile is still
 * allowed. They are cut off from the replicas by then.
 */
static void play_late_starts(uint64_t seed, uint32_t report_ms, bool kill)
{
	struct flow_world *fw = flow_world_new(seed);
	uint64_t former_fences[G_N_ELEMENTS(restarted_vms)];
	struct world_control *killed = NULL;

	fw->run_ms = LATE_RUN_MS;
	flow_world_run_ms(fw, UPTIME_MS);
	each_restarted(fw, slow_grants);
	/* All tasks go to the restarted workers. */
	flow_world_set_zone(fw, fw->vms[1].zone, true);
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		former_fences[i] = fw->vms[restarted_vms[i]].worker.fence;
	each_restarted(fw, fw_crash_worker);
	flow_world_run_ms(fw, WORKER_DOWN_MS);
	each_restarted(fw, fw_boot_worker);
	flow_world_run_ms(fw, FIRST_HEARTBEAT_MS);
	each_restarted(fw, send_heartbeat);
	flow_world_run_ms(fw, report_ms);
	set_frozen(fw, true);
	submit(fw, "bb");
	flow_world_run_ms(fw, 100);
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		fw_cut(&fw->vms[restarted_vms[i]], true);
	if (kill) {
		killed = kill_leader(fw);
		flow_world_run_ms(fw, 1000);
		world_boot_control(killed);
		flow_world_run_ms(fw, FROZEN_MS - 1100);
	} else {
		flow_world_run_ms(fw, FROZEN_MS - 100);
	}
	execute_former_calls(fw, former_fences);
	set_frozen(fw, false);
	flow_world_set_zone(fw, fw->vms[1].zone, false);
	flow_world_run_ms(fw, LATE_CUT_MS);
	for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
		fw_cut(&fw->vms[restarted_vms[i]], false);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
	flow_world_free(fw);
}

/*
 * Guards against a leader that assumes the longest lease from the last
 * report. Until the worker has seen the raised fencing token, a call to the
 * former incarnation gives it that lease at a later time.
 */
START_TEST(test_former_call_before_late_start)
{
	for (uint32_t ms = 10; ms <= 100; ms += 10)
		play_late_starts(1 + ms / 10 % SEEDS, ms, false);
}
END_TEST

/* Guards against the same with a new leader, from the start of its term. */
START_TEST(test_former_call_before_late_start_new_leader)
{
	for (uint32_t ms = 10; ms <= 100; ms += 10)
		play_late_starts(1 + ms / 10 % SEEDS, ms, true);
}
END_TEST

static void drop_record(struct state *state, const char *vm)
{
	struct flow_worker worker = { 0 };
	struct cmd_flow_workers cmd = { 1, &worker };
	struct record command = { CMD_FLOW_WORKERS, &cmd };

	TEXT_SET(worker.vm, vm);
	ck_assert_int_eq(state_apply(state, command).result, RESULT_OK);
}

/*
 * Guards against a restart of which no leader can know: the replicated state
 * has no record of the worker, as an earlier version wrote it or the record was
 * dropped, and no run is placed there. The leader doesn't change any more.
 */
START_TEST(test_restart_without_record)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct flow_world *fw = flow_world_new(seed);
		struct world_control *killed;

		fw->run_ms = RUN_MS;
		flow_world_run_ms(fw, UPTIME_MS + seed * 30);
		killed = kill_leader(fw);
		for (uint32_t i = 0; i < fw->base->nr_controls; i++)
			for (uint32_t j = 0; j < G_N_ELEMENTS(restarted_vms);
			     j++)
				if (fw->base->controls[i].control)
					drop_record(
						fw->base->controls[i]
							.control->state,
						fw->vms[restarted_vms[j]].name);
		flow_world_run_ms(fw, 400);
		each_restarted(fw, fw_crash_worker);
		flow_world_run_ms(fw, WORKER_DOWN_MS);
		each_restarted(fw, fw_boot_worker);
		flow_world_run_ms(fw, FIRST_HEARTBEAT_MS);
		each_restarted(fw, send_heartbeat);
		flow_world_run_ms(fw, 2500);
		submit(fw, "bb");
		flow_world_run_ms(fw, 500);
		each_restarted(fw, cut_worker);
		flow_world_run_ms(fw, CUT_MS);
		each_restarted(fw, rejoin_worker);
		world_boot_control(killed);
		ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a leader that knows only of one of three restarts in a row:
 * the second and third happen while the leader changes.
 */
START_TEST(test_restarts_in_a_row)
{
	for (uint32_t ms = 100; ms < 2000; ms += 100) {
		struct flow_world *fw = flow_world_new(1 + ms / 100);
		struct world_control *killed;

		fw->run_ms = RUN_MS;
		flow_world_run_ms(fw, UPTIME_MS);
		submit(fw, "aa");
		flow_world_run_ms(fw, 1000);
		each_restarted(fw, restart_worker);
		flow_world_run_ms(fw, ms);
		killed = kill_leader(fw);
		flow_world_run_ms(fw, 300);
		each_restarted(fw, restart_worker);
		flow_world_run_ms(fw, 1000);
		world_boot_control(killed);
		submit(fw, "bb");
		flow_world_run_ms(fw, 300);
		each_restarted(fw, restart_worker);
		flow_world_run_ms(fw, 600);
		killed = kill_leader(fw);
		flow_world_run_ms(fw, 400);
		each_restarted(fw, cut_worker);
		flow_world_run_ms(fw, CUT_MS + 3000);
		each_restarted(fw, rejoin_worker);
		world_boot_control(killed);
		ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 60000));
		ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a leader that is paused while another one takes over, and
 * continues with what it knew of the restart.
 */
START_TEST(test_paused_leader_continues)
{
	for (uint32_t ms = 100; ms < 1500; ms += 100) {
		struct flow_world *fw = flow_world_new(1 + ms / 100);
		struct world_control *host;

		fw->run_ms = RUN_MS;
		fw->core_faulty = true;
		flow_world_run_ms(fw, UPTIME_MS);
		submit(fw, "aa");
		flow_world_run_ms(fw, 1000);
		each_restarted(fw, restart_worker);
		submit(fw, "bb");
		flow_world_run_ms(fw, ms);
		host = world_leader_host(fw->base);
		ck_assert_ptr_nonnull(host);
		sim_pause(host->machine, true);
		flow_world_run_ms(fw, 400);
		each_restarted(fw, cut_worker);
		flow_world_run_ms(fw, 3000);
		sim_pause(host->machine, false);
		flow_world_run_ms(fw, CUT_MS);
		each_restarted(fw, rejoin_worker);
		ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 60000));
		ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
		flow_world_free(fw);
	}
}
END_TEST

/*
 * Guards against a new leader that doesn't know of a start without an answer:
 * the agent reported it to the former leader only and is frozen, and the worker
 * is restarted and carries the start out late.
 */
START_TEST(test_unanswered_start_known_to_former_leader)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct flow_world *fw = flow_world_new(seed);
		struct world_control *killed;

		fw->run_ms = LATE_RUN_MS;
		flow_world_run_ms(fw, UPTIME_MS);
		flow_world_set_zone(fw, fw->vms[1].zone, true);
		for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
			fw->vms[restarted_vms[i]].lose_ppm = 1000000;
		submit(fw, "bb");
		flow_world_run_ms(fw, 100);
		each_restarted(fw, fw_crash_worker);
		/*
		 * The agents report that the starts had no answer. They stop
		 * the runs, but some stops arrive after the starts.
		 */
		flow_world_run_ms(fw, FLOW_WORLD_CALL_LIMIT_MS + 100);
		for (uint32_t i = 0; i < G_N_ELEMENTS(restarted_vms); i++)
			fw->vms[restarted_vms[i]].lose_ppm = 0;
		each_restarted(fw, fw_boot_worker);
		set_frozen(fw, true);
		killed = kill_leader(fw);
		flow_world_run_ms(fw, 2500);
		flow_world_set_zone(fw, fw->vms[1].zone, false);
		flow_world_run_ms(fw, LATE_CUT_MS);
		world_boot_control(killed);
		set_frozen(fw, false);
		ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 60000));
		flow_world_free(fw);
	}
}
END_TEST

SUITE_MAIN("flow_restart", test_new_leader_beside_cut_worker,
	   test_new_leader_beside_frozen_agent,
	   test_new_leader_beside_cut_agent, test_new_leader_beside_new_agent,
	   test_second_leader_beside_cut_worker, test_restart_without_leader,
	   test_leader_killed_at_any_time, test_same_leader_beside_cut_worker,
	   test_former_call_before_late_start,
	   test_former_call_before_late_start_new_leader,
	   test_restart_without_record, test_restarts_in_a_row,
	   test_paused_leader_continues,
	   test_unanswered_start_known_to_former_leader)
