/**
 * @file test_site.c
 * Tests whole sites of real processes under faults. Cases that run tasks end
 * with the checker, which verifies the journals of the stand-ins.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "result.h"
#include "suite.h"
#include "testbed.h"

static const char *program;

static const char site_bundle[] =
	"{\"version\": 1,"
	" \"zones\": [{\"name\": \"veraval\", \"region\": \"saurashtra\"},"
	"             {\"name\": \"porbandar\", \"region\": \"saurashtra\"},"
	"             {\"name\": \"mangrol\", \"region\": \"saurashtra\"}],"
	" \"teams\": [{\"name\": \"watch\"}]}";

static const char job_text[] =
	"{\"name\": \"plans\", \"team\": \"watch\", \"kind\": \"plan\","
	" \"job_class\": 1, \"nr_wanted\": %u, \"cpu_millis\": 1000,"
	" \"memory_mib\": 256, \"declared_run_ms\": %u,"
	" \"payload\": \"run_ms=%u\"}";

static struct testbed *site_start(uint32_t nr_entries, uint32_t nr_vms,
				  bool proxies)
{
	static const char *const zones[] = { "veraval", "porbandar",
					     "mangrol" };
	struct testbed_opts opts = {
		.name = "site",
		.nr_controls = 3,
		.cpu_millis = 4000,
		.memory_mib = 4096,
		.proxy_controls = proxies,
		.proxy_agents = proxies,
		.seed = 7,
	};
	struct tb_vm_opts vm = { .service = "estimate", .time_ms = 20 };
	struct testbed *tb = testbed_new(&opts, program);

	for (uint32_t i = 0; i < nr_entries; i++)
		testbed_add_entry(tb, zones[i % 3]);
	for (uint32_t i = 0; i < nr_vms; i++) {
		vm.zone = zones[i % 3];
		testbed_add_vm(tb, &vm);
	}
	ck_assert(testbed_bundle(tb, site_bundle, 1));
	for (uint32_t i = 0; i < nr_entries; i++)
		ck_assert(testbed_wait_http(testbed_entry(tb, i), "/-/readyz",
					    10000));
	for (uint32_t i = 0; i < nr_vms; i++) {
		char *name = g_strdup_printf("vm-%u", i + 1);

		ck_assert(
			testbed_wait_tool(tb, name, 10000, "vm", "list", NULL));
		g_free(name);
	}
	testbed_wait_ms(500);
	return tb;
}

static void site_job(struct testbed *tb, uint32_t nr_tasks, uint32_t run_ms)
{
	char *text = g_strdup_printf(job_text, nr_tasks, run_ms, run_ms);
	char *path = testbed_write(tb, "job.json", text);

	ck_assert_int_eq(testbed_tool(tb, NULL, "job", "submit", path, NULL),
			 0);
	g_free(path);
	g_free(text);
}

/* Waits until the journals show every task done, then checks them. */
static void site_end(struct testbed *tb, uint32_t nr_tasks, uint32_t limit_ms)
{
	for (uint32_t i = 0; i < limit_ms / 200; i++) {
		if (testbed_journal_count(tb, "ev=end", "how=done") >= nr_tasks)
			break;
		testbed_wait_ms(200);
	}
	ck_assert_uint_eq(testbed_journal_count(tb, "ev=end", "how=done"),
			  nr_tasks);
	ck_assert_uint_eq(testbed_check(tb, 2000), 0);
	testbed_free(tb);
}

static struct tb_load *site_load(struct testbed *tb, bool once)
{
	struct tb_load_opts opts = { .service = "estimate",
				     .per_second = 100,
				     .deadline_ms = 2000,
				     .once = once,
				     .prefix = once ? "order" : "estimate" };

	return tb_load_start(tb, &opts);
}

static void site_print(const struct tb_load_stats *stats)
{
	fprintf(stderr,
		"sent=%u answered=%u not_run=%u unknown=%u failed=%u wrong=%u "
		"p50_us=%u p99_us=%u\n",
		stats->sent, stats->answered, stats->not_run, stats->unknown,
		stats->failed, stats->wrong, stats->p50_us, stats->p99_us);
}

/* Guards against tasks or requests lost or run twice when a leader dies. */
START_TEST(test_control_leader_killed)
{
	struct testbed *tb = site_start(2, 3, false);
	struct tb_load *load = site_load(tb, true);
	struct tb_load_stats stats;

	site_job(tb, 12, 3000);
	testbed_wait_ms(1000);
	for (uint32_t i = 0; i < 3; i++) {
		tb_proc_signal(testbed_control(tb, i), SIGKILL);
		testbed_wait_ms(3000);
		tb_proc_restart(testbed_control(tb, i));
		testbed_wait_ms(3000);
	}
	stats = tb_load_stop(load);
	site_print(&stats);
	ck_assert_uint_eq(stats.wrong, 0);
	ck_assert_uint_gt(stats.answered, stats.sent / 2);
	site_end(tb, 12, 60000);
}
END_TEST

/* Guards against tasks that are lost with a VM, or that run in two places. */
START_TEST(test_vm_killed)
{
	struct testbed *tb = site_start(1, 3, false);

	site_job(tb, 9, 5000);
	testbed_wait_ms(3000);
	testbed_kill_vm(tb, 0);
	site_end(tb, 9, 60000);
}
END_TEST

/* Guards against tasks that a restarted agent starts twice or drops. */
START_TEST(test_agent_killed)
{
	struct testbed *tb = site_start(1, 3, false);

	site_job(tb, 9, 6000);
	testbed_wait_ms(2500);
	tb_proc_signal(testbed_agent(tb, 0), SIGKILL);
	testbed_wait_ms(1000);
	tb_proc_restart(testbed_agent(tb, 0));
	site_end(tb, 9, 60000);
}
END_TEST

/*
 * Guards against starts in a zone that is taken out, and against tasks that
 * keep waiting for this zone.
 */
START_TEST(test_zone_out_and_back)
{
	struct testbed *tb = site_start(1, 3, false);
	struct tb_load *load = site_load(tb, false);
	struct tb_load_stats stats;

	site_job(tb, 24, 3000);
	testbed_wait_ms(2000);
	ck_assert_int_eq(testbed_tool(tb, NULL, "zone", "out", "porbandar",
				      "--by", "operator", NULL),
			 0);
	testbed_note(tb, "zone=porbandar ev=zone-out");
	testbed_wait_ms(6000);
	testbed_note(tb, "zone=porbandar ev=zone-in");
	ck_assert_int_eq(testbed_tool(tb, NULL, "zone", "in", "porbandar",
				      "--by", "operator", NULL),
			 0);
	stats = tb_load_stop(load);
	site_print(&stats);
	ck_assert_uint_eq(stats.wrong, 0);
	ck_assert_uint_ge((uint64_t)stats.answered * 100,
			  (uint64_t)stats.sent * 99);
	site_end(tb, 24, 60000);
}
END_TEST

/* Guards against connections that stay in use though they drop all data. */
START_TEST(test_silent_connections)
{
	struct testbed *tb = site_start(1, 3, true);
	struct tb_load *load = site_load(tb, true);
	struct tb_load_stats stats;

	site_job(tb, 6, 3000);
	testbed_wait_ms(1500);
	for (uint32_t i = 0; i < 3; i++) {
		tb_proc_fault(testbed_agent(tb, i), "silence");
		tb_proc_fault(testbed_control(tb, i), "silence");
	}
	testbed_wait_ms(4000);
	stats = tb_load_stop(load);
	site_print(&stats);
	ck_assert_uint_eq(stats.wrong, 0);
	ck_assert_uint_gt(stats.answered, stats.sent / 2);
	site_end(tb, 6, 60000);
}
END_TEST

/* Guards against a graceful shutdown that aborts requests in progress. */
START_TEST(test_graceful_shutdown)
{
	struct testbed *tb = site_start(1, 3, false);
	struct tb_load *load = site_load(tb, false);
	struct tb_load_stats stats;

	testbed_wait_ms(1000);
	tb_proc_signal(testbed_agent(tb, 1), SIGTERM);
	ck_assert_int_eq(tb_proc_wait(testbed_agent(tb, 1), 40000), 0);
	testbed_wait_ms(500);
	stats = tb_load_stop(load);
	site_print(&stats);
	ck_assert_uint_eq(stats.answered, stats.sent);
	ck_assert_uint_eq(stats.wrong, 0);
	testbed_free(tb);
}
END_TEST

/* Guards against new requests to an upstream that announced it is leaving. */
START_TEST(test_upstream_leaves)
{
	struct testbed *tb = site_start(1, 3, false);
	struct tb_load *load = site_load(tb, false);
	struct tb_load_stats stats;
	uint32_t before;

	testbed_wait_ms(1000);
	tb_proc_signal(testbed_standin(tb, 2), SIGUSR1);
	testbed_wait_ms(2000);
	before = testbed_journal_count(tb, "ev=run", "vm=vm-3 ");
	testbed_wait_ms(2000);
	ck_assert_uint_eq(testbed_journal_count(tb, "ev=run", "vm=vm-3 "),
			  before);
	stats = tb_load_stop(load);
	site_print(&stats);
	ck_assert_uint_eq(stats.answered, stats.sent);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against a replica that lost its disk and, once it is restored, doesn't
 * count towards the quorum when the next replica is lost.
 */
START_TEST(test_disk_lost_then_second_loss)
{
	struct testbed *tb = site_start(1, 2, false);

	tb_proc_signal(testbed_control(tb, 0), SIGKILL);
	tb_proc_wipe_disk(testbed_control(tb, 0));
	tb_proc_restart(testbed_control(tb, 0));
	testbed_wait_ms(8000);
	tb_proc_signal(testbed_control(tb, 1), SIGKILL);
	tb_proc_wipe_disk(testbed_control(tb, 1));
	testbed_wait_ms(4000);
	ck_assert(testbed_wait_tool(tb, "\"in_force\":1", 20000, "--json",
				    "bundle", "status", NULL));
	site_job(tb, 4, 500);
	site_end(tb, 4, 60000);
}
END_TEST

/*
 * Guards against two bundles with one version, and against a bundle that isn't
 * in force any more after the entry and the control processes have restarted.
 */
START_TEST(test_bundle_race)
{
	struct testbed *tb = site_start(1, 1, false);
	char **parts = g_strsplit(site_bundle, "watch", 2);
	char *other = g_strjoinv("lofts", parts);
	char *path;

	g_strfreev(parts);
	path = testbed_write(tb, "other.json", other);
	ck_assert_int_eq(testbed_tool(tb, NULL, "bundle", "submit", path,
				      "--by", "rival", NULL),
			 7);
	g_free(path);
	path = testbed_write(tb, "same.json", site_bundle);
	ck_assert_int_eq(testbed_tool(tb, NULL, "bundle", "submit", path,
				      "--by", "operator", NULL),
			 0);
	tb_proc_signal(testbed_entry(tb, 0), SIGKILL);
	tb_proc_restart(testbed_entry(tb, 0));
	for (uint32_t i = 0; i < 3; i++) {
		tb_proc_signal(testbed_control(tb, i), SIGKILL);
		tb_proc_restart(testbed_control(tb, i));
	}
	ck_assert(testbed_wait_tool(tb, "\"in_force\":1", 20000, "--json",
				    "bundle", "status", NULL));
	g_free(path);
	g_free(other);
	testbed_free(tb);
}
END_TEST

/* Waits for a leader and returns the index of its control process. */
static uint32_t site_leader(struct testbed *tb)
{
	for (uint32_t i = 0; i < 300; i++) {
		struct tb_proc *control = testbed_control(tb, i % 3);
		bool leads;
		char *text;

		tb_request(control, "GET", "/v1/status", NULL, NULL, &text);
		leads = strstr(text, "\"leader\":true,\"leader_address\"");
		g_free(text);
		if (leads)
			return i % 3;
		testbed_wait_ms(100);
	}
	ck_abort_msg("no control process leads");
	return 0;
}

/* Guards against decisions of a former leader that was frozen and resumes. */
START_TEST(test_leader_paused)
{
	struct testbed *tb = site_start(2, 3, false);
	struct tb_load *load = site_load(tb, true);
	uint32_t leader = site_leader(tb);
	struct tb_load_stats stats;

	site_job(tb, 12, 4000);
	testbed_wait_ms(1000);
	tb_proc_signal(testbed_control(tb, leader), SIGSTOP);
	testbed_wait_ms(10000);
	tb_proc_signal(testbed_control(tb, leader), SIGCONT);
	testbed_wait_ms(2000);
	stats = tb_load_stop(load);
	site_print(&stats);
	ck_assert_uint_eq(stats.wrong, 0);
	ck_assert_uint_gt(stats.answered, stats.sent / 2);
	site_end(tb, 12, 60000);
}
END_TEST

/* Guards against tasks that keep running in parallel on a frozen agent's VM. */
START_TEST(test_agent_paused)
{
	struct testbed *tb = site_start(1, 3, false);

	site_job(tb, 9, 12000);
	testbed_wait_ms(3000);
	tb_proc_signal(testbed_agent(tb, 0), SIGSTOP);
	testbed_wait_ms(12000);
	tb_proc_signal(testbed_agent(tb, 0), SIGCONT);
	site_end(tb, 9, 90000);
}
END_TEST

/* Guards against jobs that don't complete since one worker fails all tasks. */
START_TEST(test_worker_fails_everything)
{
	struct testbed *tb = site_start(1, 3, false);

	tb_proc_signal(testbed_standin(tb, 1), SIGUSR2);
	for (uint32_t i = 0; i < 4; i++)
		site_job(tb, 4, 800);
	site_end(tb, 16, 60000);
}
END_TEST

/* Guards against tasks that keep running after many jobs are cancelled. */
START_TEST(test_cancellation_wave)
{
	struct testbed *tb = site_start(1, 3, false);

	for (uint32_t i = 0; i < 5; i++)
		site_job(tb, 20, 60000);
	testbed_wait_ms(2000);
	ck_assert_uint_gt(testbed_journal_count(tb, "ev=start", NULL), 0);
	ck_assert_int_eq(testbed_tool(tb, NULL, "job", "cancel", "1", "2", "3",
				      "4", "5", NULL),
			 0);
	ck_assert(testbed_wait_tool(tb, "\"tasks_running\":0", 15000, "--json",
				    "status", NULL));
	testbed_wait_ms(1000);
	ck_assert_uint_eq(testbed_journal_count(tb, "ev=end", "how=stopped"),
			  testbed_journal_count(tb, "ev=start", NULL));
	site_end(tb, 0, 200);
}
END_TEST

/* Guards against accepting a job that fits on no VM. */
START_TEST(test_job_never_fits)
{
	static const char text[] =
		"{\"name\": \"big\", \"team\": \"watch\", \"kind\": \"big\","
		" \"job_class\": 1, \"nr_wanted\": 1, \"cpu_millis\": 64000,"
		" \"memory_mib\": 256, \"declared_run_ms\": 1000}";
	struct testbed *tb = site_start(1, 1, false);
	char *path = testbed_write(tb, "big.json", text);

	ck_assert_int_eq(testbed_tool(tb, NULL, "job", "submit", path, NULL),
			 RESULT_NEVER_FITS);
	g_free(path);
	testbed_free(tb);
}
END_TEST

/* test_site [CASE]: runs one case, or all of them. */
int main(int argc, char **argv)
{
	const TTest *const tests[] = {
		test_control_leader_killed, test_vm_killed,
		test_agent_killed,	    test_zone_out_and_back,
		test_silent_connections,    test_graceful_shutdown,
		test_upstream_leaves,	    test_disk_lost_then_second_loss,
		test_bundle_race,	    test_leader_paused,
		test_agent_paused,	    test_worker_fails_everything,
		test_cancellation_wave,	    test_job_never_fits,
	};
	size_t nr = sizeof(tests) / sizeof(tests[0]);

	program = argv[0];
	if (argc < 2)
		return suite_run("site", tests, nr);
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(tests[i]->name + strlen("test_"), argv[1]))
			return suite_run("site", &tests[i], 1);
	return EXIT_FAILURE;
}
