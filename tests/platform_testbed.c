#include "platform_testbed.h"

#include <string.h>

#include "suite.h"
#include "task_journal.h"

static const char config[] =
	"{\"version\":%u,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\","
	"\"pathPrefix\":\"/q/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,"
	"\"sloMs\":1000,\"priority\":0,\"service\":\"svc\",\"attempts\":3,"
	"\"slackFactor\":2.0}],\"services\":[{\"name\":\"svc\","
	"\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
	"\"tls\":false,\"coldStartS\":0.0,\"warmupPerS\":0.0,"
	"\"enforcesCapacity\":true,\"standby\":false}],\"limits\":"
	"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

void platform_testbed_config(struct testbed *tb, uint32_t version)
{
	char *text = g_strdup_printf(config, version);
	guint status = 0;

	for (uint32_t i = 0; i < 300 && status != 200; i++) {
		struct tb_proc *control = testbed_control(tb, i % NR_CONTROLS);

		status = tb_proc_pid(control) ?
				 tb_request(control, "POST", "/Config.Replace",
					    NULL, text, NULL) :
				 0;
		if (status != 200)
			testbed_wait_ms(50);
	}
	ck_assert_uint_eq(status, 200);
	g_free(text);
}

struct testbed *platform_testbed_new(const struct platform_testbed_opts *opts)
{
	struct testbed_opts tb_opts = { .name = "platform",
					.nr_controls = NR_CONTROLS,
					.proxy_controls = opts->proxies,
					.platform = true,
					.grace_s = opts->grace_s,
					.worker_lease_ms =
						TB_EXECUTOR_LEASE_MAX_MS,
					.seed = opts->seed };
	struct tb_executor_opts executor = {
		.late_percent = opts->late_percent,
		.reset_percent = opts->reset_percent,
		.malformed_percent = 10,
		.odd_percent = opts->odd_percent,
		.cut = opts->cut_ms > 0,
		.silent_ms = opts->cut_ms,
		.restart_ms = opts->restart_ms,
		.first_heartbeat_ms = opts->first_heartbeat_ms,
		.waiting_calls = opts->waiting_calls
	};
	struct testbed *tb = testbed_new(&tb_opts, opts->program);

	testbed_add_entry(tb, "veraval");
	for (uint32_t i = 0; i < NR_WORKERS; i++)
		testbed_add_executor(tb, &executor);
	platform_testbed_config(tb, 1);
	return tb;
}

/* The steps of each workflow. */
static const struct task_step steps[] = {
	{ .cpu_millis = 500, .memory_mib = 100, .max_per_worker = 2 },
	{ .cpu_millis = 500, .memory_mib = 100, .max_per_worker = 1 },
};

static char *path_of(uint32_t nr)
{
	return g_strdup_printf("/q/%016x", nr);
}

static char *steps_text(uint32_t nr_steps, uint32_t run_ms)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"spec\":\"%u\",\"steps\":[", run_ms);
	for (guint i = 0; i < nr_steps; i++) {
		g_string_append_printf(text,
				       "%s{\"count\":4,\"cpu\":%u,\"memMb\":%u,"
				       "\"maxPerServer\":%u,\"estimateMs\":%u",
				       i ? "," : "", steps[i].cpu_millis,
				       steps[i].memory_mib,
				       steps[i].max_per_worker, run_ms);
		if (i)
			g_string_append_printf(text, ",\"after\":[%u]", i - 1);
		g_string_append_c(text, '}');
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static guint submit_once(struct testbed *tb, uint32_t nr, uint32_t nr_steps,
			 uint32_t run_ms)
{
	char *path = path_of(nr);
	char *text = steps_text(nr_steps, run_ms);
	struct tb_proc *entry = testbed_entry(tb, 0);
	guint status = 0;

	if (tb_proc_pid(entry) && tb_proc_http(entry)[0])
		status = tb_request(entry, "POST", path, NULL, text, NULL);
	g_free(text);
	g_free(path);
	return status;
}

guint platform_testbed_submit_once(struct testbed *tb, uint32_t nr,
				   uint32_t run_ms)
{
	return submit_once(tb, nr, G_N_ELEMENTS(steps), run_ms);
}

static void submit(struct testbed *tb, uint32_t nr, uint32_t nr_steps,
		   uint32_t run_ms)
{
	guint status = 0;

	for (uint32_t i = 0; i < 100 && status != 200; i++) {
		status = submit_once(tb, nr, nr_steps, run_ms);
		if (status != 200)
			testbed_wait_ms(100);
	}
	ck_assert_uint_eq(status, 200);
}

void platform_testbed_submit(struct testbed *tb, uint32_t nr, uint32_t run_ms)
{
	submit(tb, nr, G_N_ELEMENTS(steps), run_ms);
}

void platform_testbed_submit_step(struct testbed *tb, uint32_t nr,
				  uint32_t run_ms)
{
	submit(tb, nr, 1, run_ms);
}

void platform_testbed_cancel(struct testbed *tb, uint32_t nr)
{
	char *path = path_of(nr);
	guint status = 0;

	for (uint32_t i = 0; i < 100 && status != 200; i++) {
		status = tb_request(testbed_entry(tb, 0), "DELETE", path, NULL,
				    NULL, NULL);
		if (status != 200)
			testbed_wait_ms(100);
	}
	ck_assert_uint_eq(status, 200);
	g_free(path);
}

void platform_testbed_wait(struct testbed *tb, uint32_t nr, const char *state,
			   uint32_t limit_ms)
{
	char *path = path_of(nr);
	char *answer = NULL;
	bool found = false;

	for (uint32_t ms = 0; ms < limit_ms && !found; ms += 100) {
		g_clear_pointer(&answer, g_free);
		tb_request(testbed_entry(tb, 0), "GET", path, NULL, NULL,
			   &answer);
		found = strstr(answer, state) != NULL;
		if (!found)
			testbed_wait_ms(100);
	}
	ck_assert_msg(found, "the state of %s isn't %s: %s", path, state,
		      answer);
	g_free(answer);
	g_free(path);
}

static void report_violation(void *ctx, const char *violation,
			     const struct task_event *event)
{
	ck_abort_msg("%s: %s", violation, event->line);
}

static const char *label_of(const char *worker)
{
	return NULL;
}

/* Returns the steps of all workflows that have started. */
static GHashTable *started_steps(const struct task_journal *journal)
{
	GHashTable *table = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);

	for (guint i = 0; i < journal->events->len; i++) {
		const char *task =
			g_array_index(journal->events, struct task_event, i)
				.task;
		char *id = g_strndup(task, strcspn(task, "."));
		GArray *copy = g_array_new(FALSE, FALSE, sizeof(steps[0]));

		g_array_append_vals(copy, steps, G_N_ELEMENTS(steps));
		g_hash_table_replace(table, id, copy);
	}
	return table;
}

uint32_t platform_testbed_check(struct testbed *tb)
{
	struct task_journal *journal = task_journal_new(testbed_lines(tb));
	struct task_site site = { .steps = started_steps(journal),
				  .cpu_millis = TB_EXECUTOR_CPU_MILLIS,
				  .memory_mib = TB_EXECUTOR_MEMORY_MIB,
				  .label_of = label_of };
	uint32_t nr_done = task_journal_check(journal, report_violation, NULL);

	task_journal_check_workers(journal, &site, report_violation, NULL);
	g_hash_table_unref(site.steps);
	task_journal_free(journal);
	return nr_done;
}
