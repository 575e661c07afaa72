/**
 * @file bench_site.c
 * Measures real processes on loopback: the latency that the path through entry
 * and agent adds to a direct request, the requests per second through one entry
 * and one agent, and the resources that a process of each role uses with 10 to
 * 200 idle agents. Prints key=value lines.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "testbed.h"

#define PATH_ROUNDS 5
#define PATH_REQUESTS 400
#define RATE_MS 4000
#define RATE_OPEN 64 /* requests in flight */
#define IDLE_MS 10000

static const char bench_bundle[] =
	"{\"version\": 1,"
	" \"zones\": [{\"name\": \"veraval\", \"region\": \"saurashtra\"}],"
	" \"teams\": [{\"name\": \"watch\"}]}";

static struct testbed *bench_start(const char *program, uint32_t nr_entries)
{
	struct testbed_opts opts = { .name = "bench",
				     .nr_controls = 3,
				     .cpu_millis = 4000,
				     .memory_mib = 4096 };
	struct testbed *tb = testbed_new(&opts, program);

	for (uint32_t i = 0; i < nr_entries; i++)
		testbed_add_entry(tb, "veraval");
	if (!testbed_bundle(tb, bench_bundle, 1)) {
		fprintf(stderr, "bench: the bundle was not accepted\n");
		testbed_free(tb);
		exit(EXIT_FAILURE);
	}
	return tb;
}

/* Alternates direct and routed requests, so that machine load affects both. */
static void bench_path(struct testbed *tb, const char *direct,
		       const char *entry)
{
	for (uint32_t i = 0; i < PATH_ROUNDS; i++) {
		struct tb_load_stats a = tb_load_closed_loop(
			tb, direct, "/estimate", 1, PATH_REQUESTS, 0);
		struct tb_load_stats b = tb_load_closed_loop(
			tb, entry, "/estimate/x", 1, PATH_REQUESTS, 0);

		printf("measure=path round=%u direct_p50_us=%u "
		       "direct_p99_us=%u routed_p50_us=%u routed_p99_us=%u "
		       "added_p50_us=%d target_us=1000 failed=%u\n",
		       i, a.p50_us, a.p99_us, b.p50_us, b.p99_us,
		       (int)b.p50_us - (int)a.p50_us, a.failed + b.failed);
	}
}

static void bench_rate(struct testbed *tb, const char *name, const char *http,
		       const char *path)
{
	struct tb_load_stats stats =
		tb_load_closed_loop(tb, http, path, RATE_OPEN, 0, RATE_MS);

	printf("measure=rate path=%s requests_per_s=%u target=2000 p50_us=%u "
	       "p99_us=%u failed=%u\n",
	       name, stats.answered * 1000 / RATE_MS, stats.p50_us,
	       stats.p99_us, stats.failed);
}

static void bench_requests(const char *program)
{
	struct tb_vm_opts vm = { .zone = "veraval", .service = "estimate" };
	struct testbed *tb = bench_start(program, 1);
	const char *direct;
	const char *entry;

	vm.time_ms = 1;
	vm.slots = RATE_OPEN; /* so that no request waits for a slot */
	testbed_add_vm(tb, &vm);
	direct = tb_proc_http(testbed_standin(tb, 0));
	entry = tb_proc_http(testbed_entry(tb, 0));
	testbed_wait_http(testbed_entry(tb, 0), "/estimate/x", 10000);
	bench_path(tb, direct, entry);
	bench_rate(tb, "direct", direct, "/estimate");
	bench_rate(tb, "routed", entry, "/estimate/x");
	testbed_free(tb);
}

static void bench_print_usage(const char *role, uint32_t nr_agents,
			      struct tb_usage a, struct tb_usage b)
{
	printf("measure=idle role=%s agents=%u cpu_ppm=%" G_GUINT64_FORMAT
	       " resident_kib=%" G_GUINT64_FORMAT
	       " link_bytes_per_s=%" G_GUINT64_FORMAT "\n",
	       role, nr_agents, (b.cpu_us - a.cpu_us) * 1000 / IDLE_MS,
	       b.resident_kib, (b.link_bytes - a.link_bytes) * 1000 / IDLE_MS);
}

static bool bench_is_leader(struct tb_proc *control)
{
	char *text;
	bool leads;

	tb_request(control, "GET", "/v1/status", NULL, NULL, &text);
	leads = strstr(text, "\"leader\":true,\"leader_address\"") != NULL;
	g_free(text);
	return leads;
}

static void bench_idle_at(struct testbed *tb, uint32_t nr_agents)
{
	struct tb_proc *procs[4];
	struct tb_usage before[4];
	static const char *const roles[] = { "leader", "follower", "entry",
					     "agent" };
	struct tb_vm_opts vm = { .zone = "veraval" };

	/* The measured agent has a worker, as in real use. */
	while (testbed_nr_vms(tb) < nr_agents) {
		vm.agent_only = testbed_nr_vms(tb) > 0;
		testbed_add_vm(tb, &vm);
	}
	testbed_wait_ms(8000);
	procs[0] = procs[1] = NULL;
	for (uint32_t i = 0; i < 3; i++)
		procs[bench_is_leader(testbed_control(tb, i)) ? 0 : 1] =
			testbed_control(tb, i);
	procs[2] = testbed_entry(tb, 0);
	procs[3] = testbed_agent(tb, 0);
	if (!procs[0] || !procs[1])
		return;
	for (uint32_t i = 0; i < 4; i++)
		before[i] = tb_proc_usage(procs[i]);
	testbed_wait_ms(IDLE_MS);
	for (uint32_t i = 0; i < 4; i++)
		bench_print_usage(roles[i], nr_agents, before[i],
				  tb_proc_usage(procs[i]));
}

static void bench_idle(const char *program)
{
	static const uint32_t sizes[] = { 10, 50, 100, 200 };
	struct testbed *tb = bench_start(program, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_idle_at(tb, sizes[i]);
	testbed_free(tb);
}

/* bench_site [requests|idle]: runs one part, or both. */
int main(int argc, char **argv)
{
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (argc < 2 || !strcmp(argv[1], "requests"))
		bench_requests(argv[0]);
	if (argc < 2 || !strcmp(argv[1], "idle"))
		bench_idle(argv[0]);
	return EXIT_SUCCESS;
}
