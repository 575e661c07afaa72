/**
 * @file demo.c
 * Runs a small site on loopback under load and prints a summary. The site has 3
 * control, 2 entry and 4 agent processes in 2 availability zones, and a
 * stand-in for the worker and upstream of each agent's VM.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "testbed.h"

#define DEMO_LOAD_MS 6000
#define DEMO_TASKS 24u

static const char demo_bundle[] =
	"{\"version\": 1,"
	" \"zones\": [{\"name\": \"veraval\", \"region\": \"saurashtra\"},"
	"             {\"name\": \"porbandar\", \"region\": \"saurashtra\"}],"
	" \"teams\": [{\"name\": \"watch\"}, {\"name\": \"lofts\"}],"
	" \"services\": [{\"name\": \"repair\", \"team\": \"lofts\","
	"   \"replicas\": 2, \"cpu_millis\": 1000, \"memory_mib\": 512,"
	"   \"deadline_ms\": 2000, \"payload\": \"service=repair\"}]}";

static void demo_fail(struct testbed *tb, const char *what)
{
	fprintf(stderr, "demo: %s\n", what);
	testbed_free(tb);
	exit(EXIT_FAILURE);
}

static struct testbed *demo_start(const char *program)
{
	struct testbed_opts opts = {
		.name = "demo",
		.nr_controls = 3,
		.cpu_millis = 8000,
		.memory_mib = 16384,
		.seed = 1,
	};
	struct tb_vm_opts vm = { .service = "estimate", .time_ms = 10 };
	struct testbed *tb = testbed_new(&opts, program);

	testbed_add_entry(tb, "veraval");
	testbed_add_entry(tb, "porbandar");
	for (uint32_t i = 0; i < 4; i++) {
		vm.zone = i < 2 ? "veraval" : "porbandar";
		vm.rack = i % 2 ? "rack-b" : "rack-a";
		testbed_add_vm(tb, &vm);
	}
	printf("started 3 control, 2 entry and 4 agent processes in 2 "
	       "availability zones\n");
	return tb;
}

static void demo_submit_jobs(struct testbed *tb)
{
	char *path = testbed_write(
		tb, "job.json",
		"{\"name\": \"stock-watch\", \"team\": \"watch\","
		" \"kind\": \"scan\", \"job_class\": 1, \"nr_wanted\": 24,"
		" \"cpu_millis\": 2000, \"memory_mib\": 1024,"
		" \"declared_run_ms\": 2000, \"payload\": \"run_ms=1500\"}");

	if (testbed_tool(tb, NULL, "job", "submit", path, NULL))
		demo_fail(tb, "the job was refused");
	g_free(path);
}

static void demo_report(struct testbed *tb, const struct tb_load_stats *load,
			const struct tb_load_stats *orders)
{
	printf("\nrequests     sent %u, answered %u, refused (not run) %u, "
	       "unknown %u, failed %u, wrong %u\n",
	       load->sent, load->answered, load->not_run, load->unknown,
	       load->failed, load->wrong);
	printf("latency      p50 %.1f ms, p99 %.1f ms, worst %.1f ms "
	       "(10 ms at the upstream)\n",
	       load->p50_us / 1000.0, load->p99_us / 1000.0,
	       load->max_us / 1000.0);
	printf("orders       sent %u with a key, answered %u, unknown %u\n",
	       orders->sent, orders->answered, orders->unknown);
	printf("batch tasks  finished %u of %u, evicted or stopped %u\n",
	       testbed_journal_count(tb, "ev=end", "how=done"), DEMO_TASKS,
	       testbed_journal_count(tb, "ev=end", "how=stopped"));
	printf("starts by VM ");
	for (uint32_t i = 0; i < testbed_nr_vms(tb); i++) {
		char *vm = g_strdup_printf("vm=vm-%u ", i + 1);

		printf(" vm-%u: %u", i + 1,
		       testbed_journal_count(tb, "ev=start", vm));
		g_free(vm);
	}
	printf("\n");
}

int main(int argc, char **argv)
{
	struct testbed *tb = demo_start(argv[0]);
	struct tb_load_opts estimates = { .service = "estimate",
					  .per_second = 200,
					  .deadline_ms = 1000 };
	struct tb_load_opts orders = { .service = "estimate",
				       .per_second = 20,
				       .deadline_ms = 3000,
				       .once = true,
				       .prefix = "order" };
	struct tb_load_stats load_stats;
	struct tb_load_stats order_stats;
	struct tb_load *load;
	struct tb_load *order_load;
	uint32_t violations;
	char *out;

	if (!testbed_bundle(tb, demo_bundle, 1))
		demo_fail(tb, "the bundle was not accepted");
	for (uint32_t i = 0; i < 2; i++)
		if (!testbed_wait_http(testbed_entry(tb, i), "/-/readyz",
				       10000))
			demo_fail(tb, "an entry did not become ready");
	if (!testbed_wait_tool(tb, "vm-4", 10000, "vm", "list", NULL))
		demo_fail(tb, "the VMs did not register");
	testbed_tool(tb, &out, "bundle", "status", NULL);
	printf("\n%s", out);
	g_free(out);
	demo_submit_jobs(tb);
	testbed_wait_ms(1000);
	load = tb_load_start(tb, &estimates);
	order_load = tb_load_start(tb, &orders);
	testbed_wait_ms(DEMO_LOAD_MS);
	load_stats = tb_load_stop(load);
	order_stats = tb_load_stop(order_load);
	testbed_wait_tool(tb, "finished", 20000, "job", "list", NULL);
	testbed_tool(tb, &out, "status", NULL);
	printf("%s", out);
	g_free(out);
	demo_report(tb, &load_stats, &order_stats);
	violations = testbed_check(tb, 2000);
	printf("violations   %u found by the checker in the stand-ins' "
	       "journals\n",
	       violations);
	testbed_free(tb);
	if (violations || load_stats.wrong ||
	    load_stats.answered < load_stats.sent / 2)
		return EXIT_FAILURE;
	return EXIT_SUCCESS;
}
