/**
 * @file test_flow_account.c
 * The leader's lines `place` and `task-ended`, from which tools/account-flows
 * computes where the time of workflows went: every placement and every end is
 * listed once, in few enough lines for the logger.
 */

#include <string.h>

#include "control_flow_impl.h"
#include "flow_log.h"
#include "flow_world.h"
#include "suite.h"

/* The logger leaves out further lines of an event (src/daemon/log.h). */
#define EVENT_LINES_PER_S 500
/* The logger cuts longer lines; a time stamp of 33 bytes is in front. */
#define LINE_MAX_BYTES (4096 - 34)

/* ---- one account ---- */

/* An account, and a placement of a task of the workflow "aa" on one VM. */
struct fixture {
	struct sim *sim;
	struct node *node;
	struct flow_account *account;
	uint32_t first_task[2];
	struct flow_step steps[2];
	struct state_flow flow;
	struct flow_vm vm;
	struct flow_placement placed;
};

static struct fixture *fixture_new(void)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	fixture->sim = sim_new(1);
	fixture->node =
		sim_boot(sim_add_machine(fixture->sim, "core", "z", ""), 1);
	fixture->account = flow_account_new(fixture->node);
	fixture->first_task[1] = 1000;
	fixture->flow.first_task = fixture->first_task;
	fixture->flow.tasks_per_occurrence = 2000;
	TEXT_SET(fixture->flow.record.id, "aa");
	fixture->flow.record.nr_steps = 2;
	fixture->flow.record.steps = fixture->steps;
	fixture->steps[0].cpu_millis = 680;
	fixture->steps[1].cpu_millis = 3500;
	TEXT_SET(fixture->vm.name, "side0");
	TEXT_SET(fixture->vm.worker.id, "i-0");
	fixture->vm.worker.cpu_millis = 32000;
	fixture->vm.reported_us = fixture->node->now_us;
	fixture->vm.orphans =
		g_array_new(FALSE, FALSE, sizeof(struct flow_orphan));
	fixture->placed.flow = &fixture->flow;
	fixture->placed.vm = &fixture->vm;
	return fixture;
}

static void fixture_free(struct fixture *fixture)
{
	flow_account_free(fixture->account);
	g_array_unref(fixture->vm.orphans);
	sim_free(fixture->sim);
	g_free(fixture);
}

static const struct flow_placement *fixture_run(struct fixture *fixture,
						uint32_t task, uint32_t run)
{
	fixture->placed.task = task;
	fixture->placed.run = run;
	fixture->placed.step =
		&fixture->steps[state_flow_step(&fixture->flow, task)];
	return &fixture->placed;
}

static void fixture_place(struct fixture *fixture, uint32_t task, uint32_t run)
{
	const struct flow_account_choice choice = {
		.cost_permille = 300,
		.gain_permille = FLOW_ACCOUNT_NONE,
		.vm_step_runs = FLOW_ACCOUNT_NONE,
	};

	flow_account_place(fixture->account, fixture_run(fixture, task, run),
			   &choice);
}

static void fixture_end(struct fixture *fixture, uint32_t task, uint32_t run,
			enum flow_end end)
{
	flow_account_end(fixture->account, fixture_run(fixture, task, run),
			 end);
}

/* Checks that the tasks' first runs are listed once each as placed. */
static void check_placed(const struct fixture *fixture, const char *step,
			 uint32_t nr)
{
	for (uint32_t i = 0; i < nr; i++) {
		char task[NAME_BYTES];

		g_snprintf(task, sizeof(task), "aa.%s.%u", step, i);
		ck_assert_uint_eq(flow_log_placed(fixture->sim, task, 1, NULL),
				  1);
	}
}

/*
 * Guards against a line for each task, of which the logger leaves out those
 * beyond its limit, and against lists that end at the limit of one line.
 */
START_TEST(test_lines_of_a_step)
{
	struct fixture *fixture = fixture_new();

	for (uint32_t i = 0; i < 130; i++) {
		fixture->vm.cpu_millis += 680;
		fixture_place(fixture, i, 1);
	}
	fixture_place(fixture, 1000, 1);
	fixture_place(fixture, 2000, 1);
	ck_assert_uint_eq(sim_log_count(fixture->sim, "event=place "), 2);
	sim_run_us(fixture->sim, 0);
	ck_assert_uint_eq(sim_log_count(fixture->sim, "event=place "), 5);
	check_placed(fixture, "0.0", 130);
	check_placed(fixture, "0.1", 1);
	check_placed(fixture, "1.0", 1);
	ck_assert(sim_log_has(fixture->sim,
			      "event=place id=aa occurrence=0 step=0 nr=64 "
			      "tasks=0/1@side0,1/1@side0,* "
			      "workers=i-0,i-0,* cpu_millis=680 "
			      "vm_cpu_millis=680-43520 "
			      "vm_free_millis=0-31320 vm_filler_millis=0 "
			      "vm_memory_mib=0 cost_permille=300 "
			      "vm_orphans=0 reported_ms_ago=0"));
	ck_assert(sim_log_has(fixture->sim,
			      "event=place id=aa occurrence=0 step=0 nr=2 "
			      "tasks=128/1@side0,129/1@side0 "
			      "workers=i-0,i-0 *"));
	sim_run_ms(fixture->sim, 10);
	ck_assert_uint_eq(sim_log_count(fixture->sim, "event=place "), 5);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a placement that is logged before the end of the task's
 * earlier run, and against a run that is missing because it was placed and
 * ended in one iteration.
 */
START_TEST(test_order_within_a_step)
{
	struct fixture *fixture = fixture_new();

	fixture_place(fixture, 0, 1);
	fixture_end(fixture, 1, 1, FLOW_END_STOPPED);
	fixture_end(fixture, 0, 1, FLOW_END_REFUSED);
	fixture_place(fixture, 1, 2);
	fixture_end(fixture, 1000, 1, FLOW_END_DONE);
	ck_assert_uint_eq(sim_log_count(fixture->sim, "event=place "), 1);
	ck_assert(sim_log_has(fixture->sim,
			      "event=task-ended id=aa occurrence=0 step=0 nr=2 "
			      "tasks=1/1@side0:stopped:0,0/1@side0:refused:0"));
	sim_run_us(fixture->sim, 0);
	ck_assert_uint_eq(flow_log_placed(fixture->sim, "aa.0.0.1", 2, "side0"),
			  1);
	ck_assert_uint_eq(flow_log_ended(fixture->sim, "aa.0.1.0", 1, "done"),
			  1);
	fixture_free(fixture);
}
END_TEST

/*
 * Guards against a line that the logger cuts, and against names whose
 * characters separate the entries of a list: a worker chooses its own id.
 */
START_TEST(test_odd_names)
{
	struct fixture *fixture = fixture_new();

	TEXT_SET(fixture->vm.name, "s,1:x@y z");
	memset(fixture->vm.worker.id, ',', NAME_BYTES - 1);
	memset(fixture->flow.record.id, 'a', NAME_BYTES - 1);
	for (uint32_t i = 0; i < 64; i++)
		fixture_place(fixture, i, 4000000000u);
	sim_run_us(fixture->sim, 0);
	ck_assert_uint_eq(sim_log_matches(fixture->sim, "^event=place "),
			  sim_log_matches(fixture->sim,
					  "^event=place .* tasks=(\\d+/\\d+@"
					  "s%2C1%3Ax%40y%20z,?)+ "
					  "workers=[%2C,]+ "));
	ck_assert_uint_eq(sim_log_matches(fixture->sim, "tasks=\\S*\\b63/"), 1);
	for (uint32_t i = 0; i < 64; i++) {
		char entry[NAME_BYTES];

		g_snprintf(entry, sizeof(entry), "tasks=(\\S+,)?%u/", i);
		ck_assert_uint_eq(sim_log_matches(fixture->sim, entry), 1);
	}
	ck_assert_uint_eq(sim_log_matches(fixture->sim, "^.{4062}"), 0);
	fixture_free(fixture);
}
END_TEST

/* Guards against entries that get lost when the leader's term ends. */
START_TEST(test_free_writes)
{
	struct fixture *fixture = fixture_new();

	for (uint32_t i = 0; i < 20; i++)
		fixture_place(fixture, i, 1);
	fixture_end(fixture, 1000, 1, FLOW_END_LOST);
	g_clear_pointer(&fixture->account, flow_account_free);
	check_placed(fixture, "0.0", 20);
	ck_assert_uint_eq(flow_log_ended(fixture->sim, "aa.0.1.0", 1, "lost"),
			  1);
	/* The timer is gone with the account. */
	sim_run_ms(fixture->sim, 10);
	fixture_free(fixture);
}
END_TEST

/* ---- a leader ---- */

#define WAVE_FLOWS 30
#define WAVE_TASKS 20
#define WAVE_MS 2000 /* between waves: 300 tasks a second */
#define NR_WAVES 2
#define DONE_COUNTER "task_ends{end=\"done\"}"

/* Begins workflows of one step, each with the id "PREFIX-NR". */
static void submit_flows(struct flow_world *fw, const char *prefix, uint32_t nr)
{
	struct flow_step step = { .count = WAVE_TASKS,
				  .cpu_millis = 10,
				  .memory_mib = 10,
				  .estimate_ms = 640 };

	for (uint32_t i = 0; i < nr; i++) {
		char id[NAME_BYTES];

		g_snprintf(id, sizeof(id), "%s-%u", prefix, i);
		ck_assert_int_eq(flow_world_submit(fw, id, &step, 1),
				 RESULT_OK);
	}
}

static struct flow_world *world_of_small_tasks(uint64_t seed)
{
	struct flow_world *fw = flow_world_new(seed);

	fw->overcommitted = true; /* the tasks are smaller than it assumes */
	fw->run_ms = 640;
	fw->run_spread_ms = 200;
	flow_world_run_ms(fw, 1000);
	return fw;
}

/*
 * Checks how often the first run of each task is listed as placed, and as ended
 * as done.
 */
static void check_flows(const struct sim *sim, const char *prefix, uint32_t nr,
			uint32_t nr_ends_max)
{
	for (uint32_t i = 0; i < nr * WAVE_TASKS; i++) {
		char task[NAME_BYTES];
		uint32_t nr_ends;

		g_snprintf(task, sizeof(task), "%s-%u.0.0.%u", prefix,
			   i / WAVE_TASKS, i % WAVE_TASKS);
		ck_assert_uint_eq(flow_log_placed(sim, task, 1, NULL), 1);
		nr_ends = flow_log_ended(sim, task, 1, "done");
		ck_assert_uint_ge(nr_ends, 1);
		ck_assert_uint_le(nr_ends, nr_ends_max);
	}
}

/*
 * Guards against more lines in one second than the logger writes, at 300 starts
 * and 300 ends a second that come in waves. With a line for each task the
 * logger left out 1,444 placements of a heavy day, and 37 % of the time of its
 * heavy workflows was unaccounted for.
 */
START_TEST(test_lines_per_second)
{
	struct flow_world *fw = world_of_small_tasks(31);
	struct sim *sim = fw->base->sim;

	for (uint32_t wave = 0; wave < NR_WAVES; wave++) {
		uint64_t end_us = sim_now_us(sim) + WAVE_MS * 1000ull;
		uint32_t nr_placed = sim_log_count(sim, "event=place ");
		uint32_t nr_ended = sim_log_count(sim, "event=task-ended ");
		char prefix[NAME_BYTES];

		g_snprintf(prefix, sizeof(prefix), "w%u", wave);
		submit_flows(fw, prefix, WAVE_FLOWS);
		ck_assert_uint_lt(sim_now_us(sim), end_us);
		flow_world_run_ms(fw, (end_us - sim_now_us(sim)) / 1000);
		/* A second has lines of two waves at most. */
		nr_placed = sim_log_count(sim, "event=place ") - nr_placed;
		ck_assert_uint_ge(nr_placed, WAVE_FLOWS);
		ck_assert_uint_le(nr_placed, EVENT_LINES_PER_S / 2);
		nr_ended = sim_log_count(sim, "event=task-ended ") - nr_ended;
		ck_assert_uint_ge(nr_ended, WAVE_FLOWS);
		ck_assert_uint_le(nr_ended, EVENT_LINES_PER_S / 2);
		ck_assert_uint_eq(fw_running(fw), 0);
		check_flows(sim, prefix, WAVE_FLOWS, 1);
	}
	flow_world_free(fw);
}
END_TEST

/* Guards against a placement that is logged without what decided it. */
START_TEST(test_values_of_placements)
{
	struct flow_world *fw = world_of_small_tasks(32);
	struct flow_step step = { .count = FLOW_WORLD_VMS + 6,
				  .cpu_millis = 1000,
				  .memory_mib = 10,
				  .estimate_ms = 640,
				  .max_per_vm = 2,
				  .filler = true };

	flow_world_submit(fw, "ff", &step, 1);
	flow_world_run_ms(fw, 2000);
	ck_assert_uint_eq(
		sim_log_matches(fw->base->sim,
				"^event=place id=ff occurrence=0 step=0 nr=30 "
				"tasks=\\S+ workers=\\S+ cpu_millis=1000 "
				"vm_cpu_millis=0 vm_free_millis=8000 "
				"vm_filler_millis=1000-2000 "
				"vm_memory_mib=10-20 cost_permille=125-250 "
				"gain_permille=1000 vm_step_runs=1-2 "
				"max_per_vm=2 vm_orphans=0 "
				"reported_ms_ago=\\d+(-\\d+)?$"),
		1);
	flow_world_free(fw);
}
END_TEST

/* A leader's ends and lines of them as they were last looked at. */
struct leader_ends {
	const struct sim *sim;
	const struct counters *counters;
	uint64_t nr_ends;
	uint32_t nr_lines;
};

static void leader_ends_look(struct leader_ends *ends)
{
	ends->nr_ends = counter_get(ends->counters, DONE_COUNTER);
	ends->nr_lines = sim_log_count(ends->sim, "event=task-ended ");
}

/* Returns true if runs have ended since, of which no line is written yet. */
static bool has_unwritten_ends(void *data)
{
	const struct leader_ends *last = data;
	struct leader_ends now = *last;

	leader_ends_look(&now);
	return now.nr_ends > last->nr_ends && now.nr_lines == last->nr_lines;
}

/* Runs the world until the leader has ends of which no line is written yet. */
static bool wait_for_unwritten_ends(struct flow_world *fw)
{
	struct leader_ends ends = {
		.sim = fw->base->sim,
		.counters = world_leader(fw->base)->node->counters,
	};

	for (uint32_t i = 0; i < 200; i++) {
		flow_world_run_ms(fw, 10);
		leader_ends_look(&ends);
		if (sim_run_until(fw->base->sim, has_unwritten_ends, &ends, 10))
			return true;
	}
	return false;
}

/*
 * Guards against placements and ends that no line lists because the leader's
 * term ends before they are written.
 */
START_TEST(test_leader_change)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		struct flow_world *fw = world_of_small_tasks(seed);
		struct sim *sim = fw->base->sim;
		struct world_control *host = world_leader_host(fw->base);
		uint32_t nr_lines;

		submit_flows(fw, "aa", 2);
		ck_assert(wait_for_unwritten_ends(fw));
		nr_lines = sim_log_count(sim, "event=task-ended ");
		world_kill_control(host);
		ck_assert_uint_gt(sim_log_count(sim, "event=task-ended "),
				  nr_lines);
		flow_world_run_ms(fw, 8000);
		ck_assert_uint_eq(fw_running(fw), 0);
		/* The next leader may apply an end that this one applied. */
		check_flows(sim, "aa", 2, 2);
		flow_world_free(fw);
	}
}
END_TEST

SUITE_MAIN("flow_account", test_lines_of_a_step, test_order_within_a_step,
	   test_odd_names, test_free_writes, test_lines_per_second,
	   test_values_of_placements, test_leader_change)
