/**
 * @file test_platform_site.c
 * End-to-end tests of the platform's protocols with real processes.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "platform_testbed.h"
#include "result.h"
#include "soak_conn.h"
#include "suite.h"

static const char *program;

static struct testbed *site_start(uint32_t late_percent)
{
	struct platform_testbed_opts opts = { .program = program,
					      .late_percent = late_percent,
					      .seed = 1 };

	return platform_testbed_new(&opts);
}

/* Checks that at least one replica shows @a version and none another one. */
static void check_config(struct testbed *tb, uint32_t version)
{
	char *wanted = g_strdup_printf("\"version\":%u", version);
	uint32_t nr_shown = 0;

	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		char *answer = NULL;
		guint status = tb_request(testbed_control(tb, i), "GET",
					  "/Config.Show", NULL, NULL, &answer);

		if (status == 200) {
			ck_assert_ptr_nonnull(strstr(answer, wanted));
			nr_shown++;
		}
		g_free(answer);
	}
	ck_assert_uint_ge(nr_shown, 1);
	g_free(wanted);
}

/* Checks that the operators' tool shows a done and a running workflow. */
static void check_tool(struct testbed *tb)
{
	static const char *const done = "0000000000000001";
	static const char *const running = "0000000000000002";
	char *text = NULL;

	ck_assert_int_eq(testbed_tool(tb, &text, "workflow", "list", NULL), 0);
	ck_assert_ptr_nonnull(strstr(text, done));
	ck_assert_ptr_nonnull(strstr(text, running));
	g_clear_pointer(&text, g_free);
	ck_assert_int_eq(testbed_tool(tb, &text, "job", "show", running, NULL),
			 0);
	ck_assert_ptr_nonnull(strstr(text, "0000000000000002.0.0.3"));
	ck_assert_ptr_nonnull(strstr(text, "before"));
	g_clear_pointer(&text, g_free);
	ck_assert_int_eq(testbed_tool(tb, &text, "why", done, "--json", NULL),
			 0);
	ck_assert_ptr_nonnull(strstr(text, "\"state\":\"completed\""));
	ck_assert_ptr_nonnull(strstr(text, "\"end\":\"done\""));
	g_clear_pointer(&text, g_free);
	ck_assert_int_eq(testbed_tool(tb, NULL, "why", "none", NULL),
			 RESULT_UNKNOWN_OBJECT);
}

/* Guards against failures when no fault is injected. */
START_TEST(test_calm)
{
	struct testbed *tb = site_start(0);
	struct tb_proc *entry = testbed_entry(tb, 0);

	platform_testbed_submit(tb, 1, 200);
	platform_testbed_submit(tb, 1, 200);
	platform_testbed_wait(tb, 1, "completed", 10000);
	ck_assert_uint_eq(platform_testbed_check(tb), 8);
	/*
	 * A workflow that was never submitted, and one that runs until
	 * cancelled.
	 */
	ck_assert_uint_eq(tb_request(entry, "GET", "/q/00000000000000ff", NULL,
				     NULL, NULL),
			  410);
	ck_assert_uint_eq(tb_request(entry, "GET", "/none/1", NULL, NULL, NULL),
			  404);
	platform_testbed_submit(tb, 2, 0);
	platform_testbed_wait(tb, 2, "running", 5000);
	check_tool(tb);
	ck_assert_uint_eq(tb_request(entry, "DELETE", "/q/0000000000000002",
				     NULL, NULL, NULL),
			  200);
	platform_testbed_wait(tb, 2, "cancelled", 5000);
	platform_testbed_config(tb, 3);
	check_config(tb, 3);
	testbed_free(tb);
}
END_TEST

/*
 * Returns true if a line of the process's log matches the pattern; @a from is
 * the offset in bytes at which the search begins.
 */
static bool logged(const struct tb_proc *proc, size_t from, const char *pattern)
{
	char *text = tb_proc_log(proc);
	char **lines = g_strsplit(text + MIN(from, strlen(text)), "\n", -1);
	bool found = false;

	for (uint32_t i = 0; lines[i] && !found; i++)
		found = g_pattern_match_simple(pattern, lines[i]);
	g_strfreev(lines);
	g_free(text);
	return found;
}

/*
 * Waits until the replica has logged that all replicas are voters; @a from is
 * the offset in the log in bytes at which the search begins.
 */
static void wait_for_voters(const struct tb_proc *control, size_t from)
{
	char *wanted = g_strdup_printf("*voters=%d members=%d*", NR_CONTROLS,
				       NR_CONTROLS);

	for (uint32_t ms = 0; ms < 20000 && !logged(control, from, wanted);
	     ms += 100)
		testbed_wait_ms(100);
	ck_assert_msg(logged(control, from, wanted), "%s doesn't log %s",
		      tb_proc_name(control), wanted);
	g_free(wanted);
}

/*
 * Starts a site and waits until all replicas are voters, which is later than
 * the first configuration is accepted.
 */
static struct testbed *site_start_whole(void)
{
	struct testbed *tb = site_start(0);

	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		wait_for_voters(testbed_control(tb, i), 0);
	return tb;
}

static size_t log_size(const struct tb_proc *proc)
{
	char *text = tb_proc_log(proc);
	size_t size = strlen(text);

	g_free(text);
	return size;
}

/* Kills and restarts all replicas. */
static void restart_controls(struct testbed *tb)
{
	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		if (tb_proc_pid(testbed_control(tb, i)))
			tb_proc_signal(testbed_control(tb, i), SIGKILL);
	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		tb_proc_restart(testbed_control(tb, i));
}

/* Ends the leader, which is the replica with the most grants, by a signal. */
static struct tb_proc *end_leader(struct testbed *tb, int signal_nr)
{
	struct tb_proc *leader = testbed_control(tb, 0);

	for (uint32_t i = 1; i < NR_CONTROLS; i++)
		if (tb_proc_metric(testbed_control(tb, i), "flow_grants") >
		    tb_proc_metric(leader, "flow_grants"))
			leader = testbed_control(tb, i);
	tb_proc_signal(leader, signal_nr);
	return leader;
}

/*
 * Guards against submissions or ends that are lost when the leader is killed.
 */
START_TEST(test_leader_killed)
{
	struct testbed *tb = site_start(0);
	struct tb_proc *leader;

	for (uint32_t i = 1; i <= 4; i++)
		platform_testbed_submit(tb, i, 700);
	testbed_wait_ms(300);
	leader = end_leader(tb, SIGKILL);
	platform_testbed_submit(tb, 5, 300);
	tb_proc_restart(leader);
	for (uint32_t i = 1; i <= 5; i++)
		platform_testbed_wait(tb, i, "completed", 20000);
	ck_assert_uint_eq(platform_testbed_check(tb), 40);
	testbed_free(tb);
}
END_TEST

/* Guards against a restarted agent that treats its worker's runs as lost. */
START_TEST(test_agents_restarted)
{
	struct testbed *tb = site_start(0);

	for (uint32_t i = 1; i <= 4; i++)
		platform_testbed_submit(tb, i, 900);
	for (uint32_t i = 0; i < NR_WORKERS; i++) {
		testbed_wait_ms(250);
		tb_proc_signal(testbed_agent(tb, i), SIGKILL);
		testbed_wait_ms(150);
		tb_proc_restart(testbed_agent(tb, i));
	}
	for (uint32_t i = 1; i <= 4; i++)
		platform_testbed_wait(tb, i, "completed", 20000);
	ck_assert_uint_eq(platform_testbed_check(tb), 32);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against two faults after agents were frozen (issue 20: tasks ran
 * twice): agents carry out orders that they read after the leader has revoked
 * their VMs' runs, and tasks run again though workers list their ends.
 */
START_TEST(test_agents_frozen)
{
	const uint32_t frozen_ms = 8000; /* longer than a lease and margins */
	struct testbed *tb = site_start(0);

	for (uint32_t i = 1; i <= 3; i++)
		platform_testbed_submit(tb, i, 900);
	tb_proc_signal(testbed_agent(tb, 0), SIGSTOP);
	tb_proc_signal(testbed_agent(tb, 1), SIGSTOP);
	/* The leader places tasks on the VMs of these agents for 0.8 s. */
	for (uint32_t i = 4; i <= 6; i++)
		platform_testbed_submit(tb, i, 900);
	testbed_wait_ms(frozen_ms);
	tb_proc_signal(testbed_agent(tb, 0), SIGCONT);
	tb_proc_signal(testbed_agent(tb, 1), SIGCONT);
	for (uint32_t i = 1; i <= 6; i++)
		platform_testbed_wait(tb, i, "completed", 30000);
	ck_assert_uint_eq(platform_testbed_check(tb), 48);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against tasks that run twice when workers carry out calls long after
 * their time limit.
 */
START_TEST(test_late_orders)
{
	struct testbed *tb = site_start(8);

	for (uint32_t i = 1; i <= 6; i++)
		platform_testbed_submit(tb, i, 300);
	for (uint32_t i = 1; i <= 6; i++)
		platform_testbed_wait(tb, i, "completed", 40000);
	testbed_wait_ms(2500);
	ck_assert_uint_eq(platform_testbed_check(tb), 48);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against a task that runs twice because the connection of its start
 * call was reset: the call is sent again, and the refusal of its second copy
 * doesn't prove that the first one isn't carried out (issue 26).
 */
START_TEST(test_resent_starts)
{
	struct platform_testbed_opts opts = { .program = program,
					      .reset_percent = 40,
					      .seed = 1 };
	struct testbed *tb = platform_testbed_new(&opts);
	uint64_t nr_resent = 0;

	for (uint32_t i = 1; i <= 6; i++)
		platform_testbed_submit(tb, i, 300);
	for (uint32_t i = 1; i <= 6; i++)
		platform_testbed_wait(tb, i, "completed", 40000);
	testbed_wait_ms(2500);
	for (uint32_t i = 0; i < NR_WORKERS; i++)
		nr_resent += tb_proc_metric(testbed_agent(tb, i),
					    "calls_resent{kind=\"start\"}");
	ck_assert_uint_gt(nr_resent, 0);
	ck_assert_uint_eq(platform_testbed_check(tb), 48);
	testbed_free(tb);
}
END_TEST

/* Guards against runs that aren't ended when their worker has restarted. */
START_TEST(test_worker_reborn)
{
	struct testbed *tb = site_start(0);

	for (uint32_t i = 1; i <= 4; i++)
		platform_testbed_submit(tb, i, 800);
	for (uint32_t i = 0; i < NR_WORKERS; i++) {
		testbed_wait_ms(300);
		tb_proc_signal(testbed_standin(tb, i), SIGHUP);
	}
	for (uint32_t i = 1; i <= 4; i++)
		platform_testbed_wait(tb, i, "completed", 30000);
	ck_assert_uint_eq(platform_testbed_check(tb), 32);
	testbed_free(tb);
}
END_TEST

/* The restarted worker and its agent. */
#define RESTARTED 0
#define WORKER_DOWN_MS 600
/*
 * With a granted lease of 5 s, the deadlines of calls at this time are beyond
 * the longest lease on the clock of the next incarnation.
 */
#define UPTIME_MS 6000
/* From the restart. */
#define LEADER_ENDS_AFTER_MS 1400
#define CUT_AFTER_MS 2000
#define LEADER_BACK_AFTER_MS 2400
#define CUT_MS 9000
/*
 * Twelve workflows of four tasks fill all workers, so the tasks that the
 * restart has ended can only run at the restarted worker. The first ones are
 * cancelled after that, which gives the other workers free capacity.
 */
#define NR_LASTING 6
#define NR_WORKFLOWS 12
/*
 * Of the lasting tasks. A task whose estimate is shorter would be stopped as
 * stalled before the restart, as stand-ins report no progress.
 */
#define LASTING_MS 60000
/* Longer than the lease of the restarted worker. */
#define RUN_MS 16000

struct restart_case {
	int leader_signal; /* that ends the leader */
	bool freeze_agent; /* in place of the cut between worker and agent */
};

static void wait_until(gint64 since_us, uint32_t ms)
{
	gint64 left_ms = ms - (g_get_monotonic_time() - since_us) / 1000;

	if (left_ms > 0)
		testbed_wait_ms((uint32_t)left_ms);
}

/* Counts the starts at the worker of tasks that aren't lasting. */
static uint32_t nr_starts(struct testbed *tb, const struct tb_proc *worker)
{
	char *start =
		g_strdup_printf("worker=%s event=start", tb_proc_name(worker));
	uint32_t nr = 0;

	for (uint32_t i = NR_LASTING + 1; i < NR_WORKFLOWS; i++) {
		char *task = g_strdup_printf("task=%016x.", i);

		nr += testbed_journal_count(tb, start, task);
		g_free(task);
	}
	g_free(start);
	return nr;
}

/* Waits until the restarted worker runs tasks again. */
static void wait_for_starts(struct testbed *tb, uint32_t nr_before)
{
	const struct tb_proc *worker = testbed_standin(tb, RESTARTED);

	for (uint32_t ms = 0; ms < 10000 && nr_starts(tb, worker) <= nr_before;
	     ms += 20)
		testbed_wait_ms(20);
	ck_assert_uint_gt(nr_starts(tb, worker), nr_before);
}

/*
 * Restarts a worker while calls wait at its address. Soon after that the leader
 * ends, and the worker is cut off from its agent or the agent is frozen.
 */
static void play_restart(const struct restart_case *test)
{
	struct platform_testbed_opts opts = { .program = program,
					      .cut_ms = CUT_MS,
					      .restart_ms = WORKER_DOWN_MS,
					      .seed = 1 };
	struct testbed *tb = platform_testbed_new(&opts);
	struct tb_proc *worker = testbed_standin(tb, RESTARTED);
	struct tb_proc *agent = testbed_agent(tb, RESTARTED);
	struct tb_proc *cut = test->freeze_agent ? agent : worker;
	uint32_t nr_tasks = (NR_WORKFLOWS - NR_LASTING) * 4;
	struct tb_proc *leader;
	uint32_t nr_before;
	gint64 restart_us;

	for (uint32_t i = 1; i < NR_WORKFLOWS; i++)
		platform_testbed_submit_step(
			tb, i, i <= NR_LASTING ? LASTING_MS : RUN_MS);
	testbed_wait_ms(UPTIME_MS);
	nr_before = nr_starts(tb, worker);
	tb_proc_signal(worker, SIGHUP);
	restart_us = g_get_monotonic_time() + WORKER_DOWN_MS * INT64_C(1000);
	/* Starts of this workflow's tasks may wait at the worker, too. */
	platform_testbed_submit_step(tb, NR_WORKFLOWS, RUN_MS);
	wait_for_starts(tb, nr_before);
	ck_assert_uint_gt(testbed_journal_count(tb, "event=longest-lease",
						tb_proc_name(worker)),
			  0);
	for (uint32_t i = 1; i <= NR_LASTING; i++)
		platform_testbed_cancel(tb, i);
	wait_until(restart_us, LEADER_ENDS_AFTER_MS);
	leader = end_leader(tb, test->leader_signal);
	wait_until(restart_us, CUT_AFTER_MS);
	tb_proc_signal(cut, test->freeze_agent ? SIGSTOP : SIGUSR2);
	wait_until(restart_us, LEADER_BACK_AFTER_MS);
	ck_assert_int_eq(tb_proc_wait(leader, 10000),
			 test->leader_signal == SIGTERM ? 0 : -1);
	tb_proc_restart(leader);
	wait_until(restart_us, CUT_AFTER_MS + CUT_MS);
	if (test->freeze_agent)
		tb_proc_signal(agent, SIGCONT);
	for (uint32_t i = NR_LASTING + 1; i <= NR_WORKFLOWS; i++)
		platform_testbed_wait(tb, i, "completed", 40000);
	ck_assert_uint_eq(platform_testbed_check(tb), nr_tasks);
	testbed_free(tb);
}

/*
 * Guards against a new leader that gives up the runs of a restarted worker
 * before its lease has expired, so that tasks run twice (issue 48): the worker
 * got the longest lease from a call to its former incarnation, and has been cut
 * off from its agent.
 */
START_TEST(test_worker_restarted)
{
	static const struct restart_case test = { .leader_signal = SIGKILL };

	play_restart(&test);
}
END_TEST

/* Guards against the same with an agent that doesn't report any more. */
START_TEST(test_worker_restarted_frozen)
{
	static const struct restart_case test = { .leader_signal = SIGKILL,
						  .freeze_agent = true };

	play_restart(&test);
}
END_TEST

/* Guards against the same after a leader that has handed over its role. */
START_TEST(test_worker_restarted_sigterm)
{
	static const struct restart_case test = { .leader_signal = SIGTERM };

	play_restart(&test);
}
END_TEST

/* Longer than the longest lease of the restarted worker. */
#define UNANNOUNCED_RUN_MS (TB_EXECUTOR_LEASE_MAX_MS + 500)
#define NR_UNANNOUNCED_WORKFLOWS 13
/*
 * Less than the 300 ms for which agents wait for an answer, so that the next
 * incarnation answers starts which are called meanwhile.
 */
#define UNANNOUNCED_DOWN_MS 200
/* From the crash, when workflows are submitted whose starts wait. */
static const uint32_t submit_after_ms[] = { 50, 120 };

struct unannounced_case {
	bool kill_leader;
	/* Times from the restart; the heartbeat would be sent after the cut. */
	uint32_t cut_after_ms;
	uint32_t first_heartbeat_ms;
	const char *waiting_calls; /* see struct tb_executor_opts */
};

static uint32_t nr_journaled(struct testbed *tb, const struct tb_proc *worker,
			     const char *event)
{
	char *text = g_strdup_printf("worker=%s event=%s ",
				     tb_proc_name(worker), event);
	uint32_t nr = testbed_journal_count(tb, text, NULL);

	g_free(text);
	return nr;
}

/* Restarts the worker while starts wait; returns the time of the restart. */
static gint64 restart_unannounced(struct testbed *tb, uint32_t first_nr)
{
	struct tb_proc *worker = testbed_standin(tb, RESTARTED);
	uint32_t nr_before = nr_journaled(tb, worker, "start");
	gint64 crash_us = g_get_monotonic_time();
	gint64 restart_us = crash_us + UNANNOUNCED_DOWN_MS * INT64_C(1000);

	tb_proc_signal(worker, SIGHUP);
	for (uint32_t i = 0; i < G_N_ELEMENTS(submit_after_ms); i++) {
		wait_until(crash_us, submit_after_ms[i]);
		platform_testbed_submit_step(tb, first_nr + i,
					     UNANNOUNCED_RUN_MS);
	}
	wait_until(crash_us, UNANNOUNCED_DOWN_MS);
	for (uint32_t ms = 0;
	     ms < 500 && nr_journaled(tb, worker, "start") <= nr_before;
	     ms += 10)
		testbed_wait_ms(10);
	ck_assert_uint_gt(nr_journaled(tb, worker, "start"), nr_before);
	ck_assert_uint_gt(nr_journaled(tb, worker, "longest-lease"), 0);
	return restart_us;
}

/*
 * Restarts a worker while starts wait at its address, and cuts it off from its
 * agent before it has sent a heartbeat, so that only answers to calls show that
 * it has restarted. Its lease is the longest from the beginning, as the
 * deadlines of these starts are on the clock of the former incarnation.
 */
static void play_unannounced(const struct unannounced_case *test)
{
	struct platform_testbed_opts opts = {
		.program = program,
		.cut_ms = CUT_MS,
		.restart_ms = UNANNOUNCED_DOWN_MS,
		.first_heartbeat_ms = test->first_heartbeat_ms,
		.waiting_calls = test->waiting_calls,
		.seed = 1
	};
	struct testbed *tb = platform_testbed_new(&opts);
	struct tb_proc *worker = testbed_standin(tb, RESTARTED);
	const uint32_t last_nr = NR_UNANNOUNCED_WORKFLOWS;
	const uint32_t nr_before = last_nr - G_N_ELEMENTS(submit_after_ms) - 1;
	struct tb_proc *leader = NULL;
	gint64 restart_us;

	for (uint32_t i = 1; i <= nr_before; i++)
		platform_testbed_submit_step(
			tb, i,
			i <= NR_LASTING ? LASTING_MS : UNANNOUNCED_RUN_MS);
	testbed_wait_ms(UPTIME_MS);
	restart_us = restart_unannounced(tb, nr_before + 1);
	/* Starts of this workflow's tasks are called after the restart. */
	platform_testbed_submit_step(tb, last_nr, UNANNOUNCED_RUN_MS);
	if (test->kill_leader) {
		wait_until(restart_us, LEADER_ENDS_AFTER_MS);
		leader = end_leader(tb, SIGKILL);
	}
	wait_until(restart_us, test->cut_after_ms);
	tb_proc_signal(worker, SIGUSR2);
	testbed_wait_ms(50);
	/* The only heartbeats have been those of the former incarnation. */
	ck_assert_uint_eq(nr_journaled(tb, worker, "first-heartbeat"), 1);
	if (leader) {
		wait_until(restart_us, LEADER_BACK_AFTER_MS);
		tb_proc_restart(leader);
	}
	/* Gives the other workers free capacity for the lost tasks. */
	for (uint32_t i = 1; i <= NR_LASTING; i++)
		platform_testbed_cancel(tb, i);
	for (uint32_t i = NR_LASTING + 1; i <= last_nr; i++)
		platform_testbed_wait(tb, i, "completed", 40000);
	ck_assert_uint_eq(platform_testbed_check(tb),
			  (last_nr - NR_LASTING) * 4ull);
	testbed_free(tb);
}

/*
 * Guards against a leader that gives up runs of a restarted worker before its
 * lease has expired, so that tasks run twice (issue 51): the worker has
 * executed starts that were called for its former incarnation, and is cut off
 * before it has sent a heartbeat. The leader stays the same.
 */
START_TEST(test_unannounced_300)
{
	static const struct unannounced_case test = {
		.cut_after_ms = 300, .first_heartbeat_ms = 1000
	};

	play_unannounced(&test);
}
END_TEST

/*
 * Guards against the same if only the answers to the starts have arrived, which
 * don't name the incarnation.
 */
START_TEST(test_unannounced_0)
{
	static const struct unannounced_case test = { .first_heartbeat_ms =
							      1000 };

	play_unannounced(&test);
}
END_TEST

/* Guards against the same with more calls between restart and cut. */
START_TEST(test_unannounced_600)
{
	static const struct unannounced_case test = {
		.cut_after_ms = 600, .first_heartbeat_ms = 1000
	};

	play_unannounced(&test);
}
END_TEST

/* Guards against the same after about one poll. */
START_TEST(test_unannounced_1000)
{
	static const struct unannounced_case test = {
		.cut_after_ms = 1000, .first_heartbeat_ms = 1500
	};

	play_unannounced(&test);
}
END_TEST

/* Guards against the same after several polls. */
START_TEST(test_unannounced_2000)
{
	static const struct unannounced_case test = {
		.cut_after_ms = 2000, .first_heartbeat_ms = 3000
	};

	play_unannounced(&test);
}
END_TEST

/* Guards against the same when a new leader has only the agents' reports. */
START_TEST(test_unannounced_leader_killed)
{
	static const struct unannounced_case test = { .kill_leader = true,
						      .cut_after_ms = 2000,
						      .first_heartbeat_ms =
							      3000 };

	play_unannounced(&test);
}
END_TEST

/*
 * Guards against the same if the calls that waited get no answer; the worker is
 * cut off before its agent has stopped these runs.
 */
START_TEST(test_unannounced_held)
{
	static const struct unannounced_case test = { .cut_after_ms = 100,
						      .first_heartbeat_ms =
							      1000,
						      .waiting_calls = "held" };

	play_unannounced(&test);
}
END_TEST

/* Guards against the same if the connections of these calls are closed. */
START_TEST(test_unannounced_closed)
{
	static const struct unannounced_case test = {
		.cut_after_ms = 2000,
		.first_heartbeat_ms = 3000,
		.waiting_calls = "closed"
	};

	play_unannounced(&test);
}
END_TEST

/* Guards against the loss of acknowledged changes if all replicas fail. */
START_TEST(test_power_lost)
{
	struct testbed *tb = site_start(0);

	platform_testbed_submit(tb, 1, 500);
	platform_testbed_config(tb, 9);
	restart_controls(tb);
	platform_testbed_wait(tb, 1, "completed", 30000);
	check_config(tb, 9);
	ck_assert_uint_eq(platform_testbed_check(tb), 8);
	testbed_free(tb);
}
END_TEST

/* Checks that no control process has ended. */
static void check_running(struct testbed *tb)
{
	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		int exit_code = 0;

		ck_assert_msg(!tb_proc_ended(testbed_control(tb, i),
					     &exit_code),
			      "%s ended with code %d",
			      tb_proc_name(testbed_control(tb, i)), exit_code);
	}
}

/*
 * The disks of the replicas are full one after another. Guards against replicas
 * that end then, and against changes that are refused after all disks have free
 * space again.
 */
START_TEST(test_full_disks_in_turn)
{
	struct testbed *tb;
	uint32_t version = 10;

	/*
	 * The processes inherit this: a write beyond their size limit fails
	 * with an error.
	 */
	signal(SIGXFSZ, SIG_IGN);
	tb = site_start_whole();
	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		struct tb_proc *control = testbed_control(tb, i);

		tb_proc_limit_files(control, 1);
		platform_testbed_config(tb, version++);
		platform_testbed_submit(tb, i + 1, 200);
		testbed_wait_ms(2000);
		check_running(tb);
		platform_testbed_config(tb, version++);
		tb_proc_limit_files(control, 0);
		testbed_wait_ms(500);
	}
	testbed_wait_ms(5000);
	platform_testbed_config(tb, version);
	check_config(tb, version);
	check_running(tb);
	for (uint32_t i = 1; i <= NR_CONTROLS; i++)
		platform_testbed_wait(tb, i, "completed", 10000);
	/* After the restart, replicas only have what is on their disks. */
	restart_controls(tb);
	platform_testbed_wait(tb, NR_CONTROLS, "completed", 10000);
	check_config(tb, version);
	ck_assert_uint_eq(platform_testbed_check(tb), 24);
	testbed_free(tb);
}
END_TEST

/* Returns an object with a member that is nested a million levels deep. */
static char *deep_member(const char *open, const char *close)
{
	GString *text = g_string_new("{\"x\":");

	for (uint32_t i = 0; i < 1000000; i++)
		g_string_append(text, open);
	for (uint32_t i = 0; i < 1000000; i++)
		g_string_append(text, close);
	g_string_append(text, "}");
	return g_string_free(text, FALSE);
}

/* Sends an invalid text to all kinds of processes, which have to refuse it. */
static void send_invalid(struct testbed *tb, const char *text)
{
	static const char path[] = "/q/00000000000000aa";
	struct tb_proc *entry = testbed_entry(tb, 0);
	struct tb_proc *agent = testbed_agent(tb, 0);

	ck_assert_uint_eq(tb_request(entry, "POST", path, NULL, text, NULL),
			  400);
	ck_assert_uint_eq(tb_request(agent, "POST", "/Instances.Heartbeat/i-1",
				     NULL, text, NULL),
			  400);
	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		struct tb_proc *control = testbed_control(tb, i);

		ck_assert_uint_eq(tb_request(control, "POST", "/Config.Replace",
					     NULL, text, NULL),
				  400);
		ck_assert_uint_eq(tb_request(control, "POST",
					     "/v1/bundle/check", NULL, text,
					     NULL),
				  400);
	}
}

static void check_running_and_logged(struct tb_proc *proc, const char *pattern)
{
	int code = 0;

	ck_assert_msg(!tb_proc_ended(proc, &code), "%s ended, code %d",
		      tb_proc_name(proc), code);
	ck_assert_msg(logged(proc, 0, pattern), "%s doesn't log %s",
		      tb_proc_name(proc), pattern);
}

/*
 * Guards against a deeply nested document that makes an agent, an entry or a
 * control process crash, or that is refused without a log line.
 */
START_TEST(test_nested_documents)
{
	static const char *const brackets[][2] = {
		{ "[", "]" },
		{ "{\"a\":", "}" },
		{ "[", "" },
	};
	struct testbed *tb = site_start(0);

	platform_testbed_submit(tb, 1, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(brackets); i++) {
		char *text = deep_member(brackets[i][0], brackets[i][1]);

		send_invalid(tb, text);
		g_free(text);
	}
	check_running_and_logged(testbed_entry(tb, 0),
				 "*event=call-refused*nested*");
	check_running_and_logged(testbed_agent(tb, 0),
				 "*event=heartbeat-refused*nested*");
	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		check_running_and_logged(testbed_control(tb, i),
					 "*event=operator-call*nested*");
		check_running_and_logged(testbed_control(tb, i),
					 "*event=call-refused*nested*");
	}
	platform_testbed_submit(tb, 2, 200);
	platform_testbed_wait(tb, 1, "completed", 10000);
	platform_testbed_config(tb, 3);
	check_config(tb, 3);
	platform_testbed_wait(tb, 2, "completed", 10000);
	ck_assert_uint_eq(platform_testbed_check(tb), 16);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against an unreadable deregistration that is applied: the worker's
 * runs would continue, and their tasks would be placed on other VMs as well.
 */
START_TEST(test_odd_deregistrations)
{
	static const char *const texts[] = { "nonsense", "[7]",
					     "{\"born\":\"x\"}",
					     "{\"born\":1e400}" };
	struct testbed *tb = site_start(0);

	platform_testbed_submit(tb, 1, 3000);
	platform_testbed_wait(tb, 1, "running", 5000);
	for (uint32_t i = 0; i < NR_WORKERS; i++) {
		struct tb_proc *agent = testbed_agent(tb, i);
		char *path =
			g_strdup_printf("/Instances.Deregister/i-%u", i + 1);

		for (size_t j = 0; j < G_N_ELEMENTS(texts); j++)
			ck_assert_uint_eq(tb_request(agent, "POST", path, NULL,
						     texts[j], NULL),
					  400);
		ck_assert(logged(agent, 0, "*event=deregistration-refused*"));
		ck_assert(!logged(agent, 0, "*event=worker-deregistered*"));
		g_free(path);
	}
	platform_testbed_wait(tb, 1, "completed", 15000);
	ck_assert_uint_eq(platform_testbed_check(tb), 8);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against two effects of an unreadable row in a worker's list. The whole
 * poll is treated as failed, so the worker's lease isn't renewed and the worker
 * gets no tasks. Or the run in the row is treated as ended, so its task is
 * placed on another VM while the run continues.
 */
START_TEST(test_odd_rows)
{
	struct platform_testbed_opts opts = { .program = program,
					      .odd_percent = 30,
					      .seed = 1 };
	struct testbed *tb = platform_testbed_new(&opts);

	for (uint32_t nr = 1; nr <= 3; nr++)
		platform_testbed_submit(tb, nr, 1500);
	for (uint32_t nr = 1; nr <= 3; nr++)
		platform_testbed_wait(tb, nr, "completed", 20000);
	ck_assert_uint_eq(platform_testbed_check(tb), 24);
	for (uint32_t i = 0; i < NR_WORKERS; i++) {
		check_running_and_logged(testbed_agent(tb, i),
					 "*event=rows-unreadable*");
		ck_assert(!logged(testbed_agent(tb, i), 0,
				  "*event=worker-unreachable*"));
		ck_assert(
			!logged(testbed_agent(tb, i), 0, "*event=run-absent*"));
	}
	testbed_free(tb);
}
END_TEST

static void store_answer(void *ctx, const struct soak_answer *answer)
{
	*(struct soak_answer *)ctx = *answer;
}

/* Sends a request without a body. Returns the status, 0 if unanswered. */
static uint32_t send_request(struct soak_conn *conn, const char *method,
			     const char *path)
{
	struct soak_answer answer = { .outcome = CONN_NOT_SENT };

	soak_conn_send(conn, method, path, NULL, 1000, 1000, store_answer,
		       &answer);
	for (uint32_t ms = 0; ms < 2000 && !answer.ended_ms; ms += 20)
		testbed_wait_ms(20);
	return answer.outcome == CONN_ANSWERED ? answer.status : 0;
}

/*
 * Guards against agents that don't redirect the operator's calls to the leader.
 * The operator could only call the few control replicas, of which one may not
 * answer.
 */
START_TEST(test_operator_at_agents)
{
	struct testbed *tb = site_start(0);
	const char *http = tb_proc_http(testbed_agent(tb, 0));
	struct soak_conn *conn = soak_conn_new(http);
	uint32_t status = 0;

	ck_assert_uint_eq(send_request(conn, "GET", "/Config.Show"), 307);
	ck_assert_uint_eq(send_request(conn, "POST", "/Drain.Start/mangrol"),
			  307);
	ck_assert_uint_eq(send_request(conn, "GET", "/none"), 404);
	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		tb_proc_signal(testbed_control(tb, i), SIGKILL);
	/* An agent has no leader once its links to control are closed. */
	for (uint32_t ms = 0; ms < 5000 && status != 503; ms += 100) {
		testbed_wait_ms(100);
		status = send_request(conn, "GET", "/Config.Show");
	}
	ck_assert_uint_eq(status, 503);
	soak_conn_free(conn);
	testbed_free(tb);
}
END_TEST

/* Waits until at least @a nr_wanted processes have logged the pattern. */
static void check_logged(struct tb_proc *const *procs, uint32_t nr_procs,
			 uint32_t nr_wanted, const char *pattern)
{
	uint32_t nr = 0;

	for (uint32_t ms = 0; ms < 3000 && nr < nr_wanted; ms += 100) {
		if (ms)
			testbed_wait_ms(100);
		nr = 0;
		for (uint32_t i = 0; i < nr_procs; i++)
			nr += logged(procs[i], 0, pattern);
	}
	ck_assert_msg(nr >= nr_wanted, "%u processes logged %s", nr, pattern);
}

/* Returns the start time of the agent's worker, which the agent has logged. */
static uint64_t worker_born_ms(const struct tb_proc *agent)
{
	static const char mark[] = "event=worker-registered ";
	uint64_t born_ms = 0;
	char *text = tb_proc_log(agent);
	const char *at = strstr(text, mark);

	at = at ? strstr(at, "born_ms=") : NULL;
	if (at)
		born_ms = g_ascii_strtoull(at + strlen("born_ms="), NULL, 10);
	g_free(text);
	ck_assert_uint_gt(born_ms, 0);
	return born_ms;
}

/* Heartbeats that are sent to an agent, but not by its worker. */
static const struct heartbeat_case {
	const char *id; /* NULL: that of the agent's worker */
	const char *address; /* NULL: that of the agent's worker */
	uint64_t later_ms; /* start time minus that of the agent's worker */
	uint64_t born_ms; /* start time, 0: given by later_ms */
	uint64_t seq;
	guint status; /* expected HTTP status */
} heartbeat_cases[] = {
	{ "i-odd", "127.0.0.1:70000", 1, 0, 9, 400 },
	{ "i-odd", "127.0.0.1", 1, 0, 9, 400 },
	{ "i-odd", NULL, 0, 9007199254740993, 9, 400 },
	{ NULL, NULL, 0, 0, 9007199254740993, 400 },
	{ "i-odd", "127.0.0.1:1", 1, 0, 9, 200 },
	{ "i-odd", NULL, 1, 0, 9, 200 },
	{ "i-odd", NULL, 0, 9007199254740992, 9, 200 },
	{ NULL, "127.0.0.1:1", 1, 0, 9, 200 },
	{ NULL, NULL, 1, 0, 9, 200 },
	{ NULL, NULL, 0, 9007199254740992, 9, 200 },
	{ NULL, "127.0.0.1:1", 0, 0, 1000, 200 },
	{ NULL, NULL, 0, 0, 9007199254740992, 200 },
};

static void send_heartbeat(struct testbed *tb, uint32_t i,
			   const struct heartbeat_case *c)
{
	struct tb_proc *agent = testbed_agent(tb, i);
	const char *worker = tb_proc_name(testbed_standin(tb, i));
	uint64_t born_ms = c->born_ms ? c->born_ms :
					worker_born_ms(agent) + c->later_ms;
	char *path = g_strdup_printf("/Instances.Heartbeat/%s",
				     c->id ? c->id : worker);
	char *text = g_strdup_printf(
		"{\"service\":\"svc\",\"addr\":\"%s\",\"zone\":\"veraval\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"warmupLeftMs\":0,\"capacity\":{\"cpu\":8000,"
		"\"memMb\":16000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
		"\"serverTimeMs\":1,\"born\":%" G_GUINT64_FORMAT
		",\"seq\":%" G_GUINT64_FORMAT "}",
		c->address ? c->address : tb_proc_http(testbed_standin(tb, i)),
		born_ms, c->seq);

	ck_assert_uint_eq(tb_request(agent, "POST", path, NULL, text, NULL),
			  c->status);
	g_free(text);
	g_free(path);
}

/*
 * Guards against an agent that drops its healthy worker because of heartbeats
 * or a deregistration that the worker didn't send (issue 20: tasks ran twice at
 * a time, and the worker got no more calls).
 */
START_TEST(test_odd_reports)
{
	struct testbed *tb = site_start(0);

	platform_testbed_submit(tb, 1, 5000);
	platform_testbed_wait(tb, 1, "running", 5000);
	testbed_wait_ms(500);
	for (size_t i = 0; i < G_N_ELEMENTS(heartbeat_cases); i++) {
		for (uint32_t j = 0; j < NR_WORKERS; j++)
			send_heartbeat(tb, j, &heartbeat_cases[i]);
		testbed_wait_ms(150);
	}
	for (uint32_t i = 0; i < NR_WORKERS; i++)
		ck_assert_uint_eq(tb_request(testbed_agent(tb, i), "POST",
					     "/Instances.Deregister/i-odd",
					     NULL, "{}", NULL),
				  200);
	ck_assert_uint_eq(tb_request(testbed_agent(tb, 0), "POST",
				     "/Instances.Deregister/i-1", NULL, "{}",
				     NULL),
			  200);
	platform_testbed_wait(tb, 1, "completed", 20000);
	ck_assert_uint_eq(platform_testbed_check(tb), 8);
	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		ck_assert(!logged(testbed_control(tb, i), 0,
				  "*event=task-ended *:lost:*"));
	for (uint32_t i = 0; i < NR_WORKERS; i++) {
		struct tb_proc *agent = testbed_agent(tb, i);

		ck_assert(!logged(agent, 0, "*event=worker-ended *"));
		check_logged(&agent, 1, 1,
			     "*event=worker-candidate worker=i-odd "
			     "*outcome=dropped *");
		/* A real restart of the worker has to be detected. */
		tb_proc_signal(testbed_standin(tb, i), SIGHUP);
		check_logged(&agent, 1, 1,
			     "*event=worker-candidate *reason=new-life "
			     "*present=i-*");
	}
	platform_testbed_submit(tb, 2, 200);
	platform_testbed_wait(tb, 2, "completed", 10000);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against logs that lack a line by which docs/OPERATIONS.md explains how
 * to find the cause of a failure from an id.
 */
START_TEST(test_walk_from_an_id)
{
	struct testbed *tb = site_start_whole();
	struct tb_proc *entry = testbed_entry(tb, 0);
	struct tb_proc *controls[NR_CONTROLS];

	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		controls[i] = testbed_control(tb, i);
	/*
	 * A configuration: its arrival, its commit, and the processes that have
	 * it in force.
	 */
	platform_testbed_config(tb, 7);
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=operator-received*version=7 *");
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=operation-committed*version=7 *");
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=operator-call*version=7 *status=200*");
	check_logged(controls, NR_CONTROLS, NR_CONTROLS,
		     "*event=bundle version=7 *");
	/*
	 * An accepted workflow: its call at the entry, its placement, its end.
	 */
	platform_testbed_submit(tb, 1, 200);
	platform_testbed_wait(tb, 1, "completed", 10000);
	check_logged(&entry, 1, 1,
		     "*event=call kind=submit*/q/0000000000000001*result=ok*");
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=workflow id=0000000000000001 state=queued*");
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=place id=0000000000000001 occurrence=0 step=0 "
		     "nr=* tasks=0/1@*");
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=task-ended id=0000000000000001 occurrence=0 "
		     "step=0 nr=* tasks=*0/1@*:done:*");
	check_logged(controls, NR_CONTROLS, 1,
		     "*event=workflow id=0000000000000001 state=completed*");
	/* A refused call. */
	ck_assert_uint_eq(tb_request(entry, "GET", "/none/1", NULL, NULL, NULL),
			  404);
	check_logged(&entry, 1, 1, "*event=call*/none/1*result=unknown-queue*");
	testbed_free(tb);
}
END_TEST

/*
 * Guards against processes that find no control replica when all addresses in
 * --control are agents: a restarted entry, a replica without its disk, then all
 * processes at once.
 */
START_TEST(test_seeds_are_agents)
{
	struct testbed *tb = site_start_whole();
	struct tb_proc *entry = testbed_entry(tb, 0);
	struct tb_proc *control = testbed_control(tb, 1);
	char *seeds = g_strjoin(",", tb_proc_listen(testbed_agent(tb, 0)),
				tb_proc_listen(testbed_agent(tb, 1)), NULL);
	size_t from;

	tb_proc_set_controls(entry, seeds);
	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		tb_proc_set_controls(testbed_control(tb, i), seeds);
	for (uint32_t i = 0; i < NR_WORKERS; i++)
		tb_proc_set_controls(testbed_agent(tb, i), seeds);
	testbed_wait_ms(2500);
	tb_proc_signal(entry, SIGKILL);
	tb_proc_restart(entry);
	tb_proc_signal(control, SIGKILL);
	from = log_size(control);
	tb_proc_wipe_disk(control);
	tb_proc_restart(control);
	platform_testbed_submit(tb, 1, 200);
	platform_testbed_wait(tb, 1, "completed", 10000);
	/* The replica without a disk has to be a voter before the next kill. */
	wait_for_voters(control, from);
	tb_proc_signal(testbed_control(tb, 0), SIGKILL);
	platform_testbed_config(tb, 2);
	/* After this, no running process has a replica's address. */
	for (uint32_t i = 0; i < NR_WORKERS; i++)
		tb_proc_signal(testbed_agent(tb, i), SIGKILL);
	tb_proc_signal(entry, SIGKILL);
	restart_controls(tb);
	for (uint32_t i = 0; i < NR_WORKERS; i++)
		tb_proc_restart(testbed_agent(tb, i));
	tb_proc_restart(entry);
	platform_testbed_submit(tb, 2, 0);
	check_config(tb, 2);
	g_free(seeds);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against control processes that are replaced as planned and stay
 * voters: the new ones start first, then the old ones get SIGTERM in turn, and
 * the new ones have no leader. Also guards against a stop that isn't graceful
 * any more.
 */
START_TEST(test_controls_replaced)
{
	struct testbed *tb = site_start_whole();

	platform_testbed_submit(tb, 1, 200);
	platform_testbed_wait(tb, 1, "completed", 10000);
	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		struct tb_proc *control = testbed_add_control(tb, "veraval");
		uint32_t nr = NR_CONTROLS + i + 1;
		char *wanted = g_strdup_printf("*event=raft-members *voters=%u "
					       "members=%u*",
					       nr, nr);

		for (uint32_t ms = 0; ms < 10000 && !logged(control, 0, wanted);
		     ms += 100)
			testbed_wait_ms(100);
		ck_assert(logged(control, 0, wanted));
		g_free(wanted);
	}
	for (uint32_t i = 0; i < NR_CONTROLS; i++) {
		tb_proc_signal(testbed_control(tb, i), SIGTERM);
		ck_assert_int_eq(tb_proc_wait(testbed_control(tb, i), 5000), 0);
	}
	platform_testbed_submit(tb, 2, 200);
	platform_testbed_wait(tb, 2, "completed", 10000);
	ck_assert_uint_eq(platform_testbed_check(tb), 16);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against a request that gets no answer because its entry ends: the
 * entry gets SIGTERM while no leader replies, and the client's time limit is
 * longer than the time until the entry's end.
 */
START_TEST(test_entry_leaves)
{
	struct platform_testbed_opts opts = { .program = program,
					      .grace_s = 6,
					      .seed = 1 };
	struct testbed *tb = platform_testbed_new(&opts);
	struct tb_proc *entry = testbed_entry(tb, 0);
	struct soak_conn *conn = soak_conn_new(tb_proc_http(entry));
	struct soak_answer answer = { .outcome = CONN_NOT_SENT };

	platform_testbed_submit(tb, 1, 200);
	for (uint32_t i = 0; i < NR_CONTROLS; i++)
		tb_proc_signal(testbed_control(tb, i), SIGSTOP);
	tb_proc_signal(entry, SIGTERM);
	testbed_wait_ms(1500);
	soak_conn_send(conn, "GET", "/q/0000000000000001", NULL, 20000, 10000,
		       store_answer, &answer);
	for (uint32_t ms = 0; ms < 10000 && !answer.ended_ms; ms += 100)
		testbed_wait_ms(100);
	ck_assert_int_eq(answer.outcome, CONN_ANSWERED);
	ck_assert_uint_eq(answer.status, 504);
	ck_assert_int_eq(tb_proc_wait(entry, 6000), 0);
	soak_conn_free(conn);
	testbed_free(tb);
}
END_TEST

struct refusal {
	uint32_t status; /* 0: no answer yet */
	uint64_t retry_after_s;
	bool not_in_time;
};

static void store_refusal(void *ctx, const struct soak_answer *answer)
{
	struct refusal *refusal = ctx;

	refusal->status = answer->status;
	if (answer->status != 503 || !answer->retry_after)
		return;
	refusal->retry_after_s =
		g_ascii_strtoull(answer->retry_after, NULL, 10);
	refusal->not_in_time = strstr(answer->text, "\"not-in-time\"") != NULL;
}

/*
 * The load: more heavy workflows than complete in time. Guards against a
 * refusal whose time the front end doesn't pass on: its callers would all come
 * back after 1 s.
 */
START_TEST(test_overload_refused)
{
	struct refusal refusal = { 0 };
	struct soak_conn *conn;
	struct testbed *tb;

	g_setenv("MASTICREACH_LOAD_POLICY", "contended", TRUE);
	tb = site_start(0);
	conn = soak_conn_new(tb_proc_http(testbed_entry(tb, 0)));
	for (uint32_t i = 0; i < 100 && !refusal.not_in_time; i++) {
		char *path = g_strdup_printf("/q/%016x", i);

		refusal.status = 0;
		soak_conn_send(conn, "POST", path,
			       "{\"spec\":\"1000\",\"steps\":[{\"count\":20,"
			       "\"cpu\":2000,\"memMb\":100,"
			       "\"estimateMs\":1000}]}",
			       3000, 3000, store_refusal, &refusal);
		for (uint32_t ms = 0; ms < 3000 && !refusal.status; ms += 20)
			testbed_wait_ms(20);
		testbed_wait_ms(100);
		g_free(path);
	}
	ck_assert(refusal.not_in_time);
	ck_assert_uint_ge(refusal.retry_after_s, 3);
	ck_assert_uint_le(refusal.retry_after_s, 30);
	g_unsetenv("MASTICREACH_LOAD_POLICY");
	soak_conn_free(conn);
	testbed_free(tb);
}
END_TEST

/* Usage: test_platform_site [CASE]. Runs all cases by default. */
int main(int argc, char **argv)
{
	const TTest *const tests[] = {
		test_calm,
		test_leader_killed,
		test_nested_documents,
		test_odd_deregistrations,
		test_odd_rows,
		test_agents_restarted,
		test_agents_frozen,
		test_late_orders,
		test_resent_starts,
		test_worker_reborn,
		test_worker_restarted,
		test_worker_restarted_frozen,
		test_worker_restarted_sigterm,
		test_unannounced_0,
		test_unannounced_300,
		test_unannounced_600,
		test_unannounced_1000,
		test_unannounced_2000,
		test_unannounced_leader_killed,
		test_unannounced_held,
		test_unannounced_closed,
		test_power_lost,
		test_entry_leaves,
		test_controls_replaced,
		test_full_disks_in_turn,
		test_operator_at_agents,
		test_seeds_are_agents,
		test_walk_from_an_id,
		test_odd_reports,
		test_overload_refused,
	};
	size_t nr = sizeof(tests) / sizeof(tests[0]);

	program = argv[0];
	if (argc < 2)
		return suite_run("platform", tests, nr);
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(tests[i]->name + strlen("test_"), argv[1]))
			return suite_run("platform", &tests[i], 1);
	return EXIT_FAILURE;
}
