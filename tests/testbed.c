#define _GNU_SOURCE /* prlimit() */

#include "testbed_impl.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "checker.h"
#include "testbed_address.h"

#define POLL_MS 20
#define START_LIMIT_MS 10000

extern char **environ;

/* ---- processes ---- */

static char *proc_log_path(const struct tb_proc *proc)
{
	return g_strdup_printf("%s/%s.log", proc->tb->dir, proc->name);
}

static void proc_spawn(struct tb_proc *proc)
{
	char *log = proc_log_path(proc);
	posix_spawn_file_actions_t actions;
	int fds[2] = { -1, -1 };

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 2, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, 2, 1);
	if (proc->stdin_fd != -1) {
		g_assert(!socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0,
				     fds));
		posix_spawn_file_actions_adddup2(&actions, fds[0], 0);
	}
	if (posix_spawn(&proc->pid, g_ptr_array_index(proc->argv, 0), &actions,
			NULL, (char **)proc->argv->pdata, environ))
		g_error("can't start %s", proc->name);
	if (proc->stdin_fd != -1) {
		close(fds[0]);
		proc->stdin_fd = fds[1];
	}
	posix_spawn_file_actions_destroy(&actions);
	g_free(log);
}

static struct tb_proc *proc_new(struct testbed *tb, const char *name,
				const char *program)
{
	struct tb_proc *proc = g_new0(struct tb_proc, 1);

	proc->tb = tb;
	proc->name = g_strdup(name);
	proc->argv = g_ptr_array_new_with_free_func(g_free);
	proc->stdin_fd = -1;
	g_ptr_array_add(proc->argv, g_strdup(program));
	g_ptr_array_add(tb->procs, proc);
	return proc;
}

static void proc_arg(struct tb_proc *proc, const char *flag, const char *value)
{
	g_ptr_array_add(proc->argv, g_strdup(flag));
	g_ptr_array_add(proc->argv, g_strdup(value));
}

static void proc_arg_number(struct tb_proc *proc, const char *flag,
			    uint32_t value)
{
	g_ptr_array_add(proc->argv, g_strdup(flag));
	g_ptr_array_add(proc->argv, g_strdup_printf("%u", value));
}

static void proc_start(struct tb_proc *proc)
{
	g_ptr_array_add(proc->argv, NULL);
	proc_spawn(proc);
}

static void proc_reaped(struct tb_proc *proc, int status)
{
	proc->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	proc->pid = 0;
	g_clear_pointer(&proc->http, g_free);
	if (proc->port_file)
		g_unlink(proc->port_file);
}

static void proc_free(void *data)
{
	struct tb_proc *proc = data;

	if (proc->pid)
		tb_proc_signal(proc, SIGKILL);
	if (proc->stdin_fd >= 0)
		close(proc->stdin_fd);
	g_ptr_array_unref(proc->argv);
	g_free(proc->name);
	g_free(proc->port_file);
	g_free(proc->data);
	g_free(proc->node_file);
	g_free(proc->listen);
	g_free(proc->http);
	g_free(proc);
}

void tb_proc_signal(struct tb_proc *proc, int signal_nr)
{
	int status = 0;

	if (!proc->pid)
		return;
	kill(proc->pid, signal_nr);
	if (signal_nr != SIGKILL)
		return;
	while (waitpid(proc->pid, &status, 0) < 0 && errno == EINTR)
		;
	proc_reaped(proc, status);
}

/* A restarted replica must not bootstrap a group of its own. */
static void proc_forbid_bootstrap(struct tb_proc *proc)
{
	for (guint i = 0; i + 2 < proc->argv->len; i++) {
		char **value = (char **)&proc->argv->pdata[i + 1];

		if (strcmp(proc->argv->pdata[i], "--bootstrap"))
			continue;
		g_free(*value);
		*value = g_strdup("false");
	}
}

void tb_proc_restart(struct tb_proc *proc)
{
	g_assert(!proc->pid);
	proc_forbid_bootstrap(proc);
	proc_spawn(proc);
}

bool tb_proc_ended(struct tb_proc *proc, int *exit_code)
{
	int status;

	if (proc->pid && waitpid(proc->pid, &status, WNOHANG) == proc->pid)
		proc_reaped(proc, status);
	*exit_code = proc->exit_code;
	return !proc->pid;
}

const char *tb_proc_name(const struct tb_proc *proc)
{
	return proc->name;
}

void tb_proc_limit_files(struct tb_proc *proc, uint64_t bytes)
{
	struct rlimit limit;

	if (prlimit(proc->pid, RLIMIT_FSIZE, NULL, &limit))
		return;
	limit.rlim_cur = bytes ? bytes : limit.rlim_max;
	prlimit(proc->pid, RLIMIT_FSIZE, &limit, NULL);
}

static void node_file_write(const struct tb_proc *proc, const char *list,
			    uint32_t first)
{
	char **addresses = g_strsplit(list, ",", -1);
	guint nr = g_strv_length(addresses);
	GString *text = g_string_new("[masticreach]\ncontrol=");

	for (guint i = 0; i < nr; i++)
		g_string_append_printf(text, "%s%s", i ? "," : "",
				       addresses[(first + i) % nr]);
	g_string_append_c(text, '\n');
	g_assert(g_file_set_contents(proc->node_file, text->str, -1, NULL));
	g_string_free(text, TRUE);
	g_strfreev(addresses);
}

void tb_proc_rotate_controls(struct tb_proc *proc, uint32_t first)
{
	node_file_write(proc, proc->tb->control_list, first);
}

void tb_proc_set_controls(struct tb_proc *proc, const char *list)
{
	node_file_write(proc, list, 0);
}

char *tb_proc_log(const struct tb_proc *proc)
{
	char *path = proc_log_path(proc);
	char *text = NULL;

	g_assert(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

const char *tb_proc_listen(const struct tb_proc *proc)
{
	return proc->listen;
}

int tb_proc_wait(struct tb_proc *proc, uint32_t limit_ms)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)limit_ms * 1000;
	int status;

	while (proc->pid) {
		if (waitpid(proc->pid, &status, WNOHANG) == proc->pid) {
			proc_reaped(proc, status);
			break;
		}
		if (g_get_monotonic_time() > end_us)
			return -1;
		testbed_wait_ms(POLL_MS);
	}
	return proc->exit_code;
}

int tb_proc_pid(const struct tb_proc *proc)
{
	return proc->pid;
}

void tb_proc_wipe_disk(struct tb_proc *proc)
{
	GDir *dir = g_dir_open(proc->data, 0, NULL);
	const char *name;

	g_assert(!proc->pid);
	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(proc->data, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
}

uint64_t tb_proc_metric(struct tb_proc *proc, const char *name)
{
	char *line = g_strdup_printf("\nmasticreach_%s ", name);
	char *text = NULL;
	uint64_t value = 0;
	char *at;

	tb_request(proc, "GET", "/-/metrics", NULL, NULL, &text);
	at = strstr(text, line);
	if (at)
		value = strtoull(at + strlen(line), NULL, 10);
	g_free(text);
	g_free(line);
	return value;
}

struct tb_usage tb_proc_usage(struct tb_proc *proc)
{
	struct tb_usage usage = {
		.cpu_us = tb_proc_metric(proc, "process_cpu_us"),
		.resident_kib =
			tb_proc_metric(proc, "process_resident_bytes") / 1024,
		.link_bytes = tb_proc_metric(proc, "link_bytes_sent"),
	};

	return usage;
}

const char *tb_proc_http(struct tb_proc *proc)
{
	char *text = NULL;
	char **lines;

	if (proc->http)
		return proc->http;
	if (!g_file_get_contents(proc->port_file, &text, NULL, NULL))
		return "";
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		if (g_str_has_prefix(*l, "http="))
			proc->http = g_strdup(*l + 5);
	g_strfreev(lines);
	g_free(text);
	return proc->http ? proc->http : "";
}

void tb_proc_fault(struct tb_proc *proc, const char *command)
{
	char *line = g_strdup_printf("%s\n", command);

	g_assert(proc->proxy);
	g_assert(write(proc->proxy->stdin_fd, line, strlen(line)) ==
		 (gssize)strlen(line));
	g_free(line);
}

/* ---- the site ---- */

/* Starts a fault proxy from @a listen to @a target and returns @a listen. */
static char *tb_add_proxy(struct testbed *tb, struct tb_proc *proc,
			  const char *target, char *listen)
{
	char *program = g_build_filename(tb->bin, "faultproxy", NULL);
	char *name = g_strdup_printf("proxy-%s", proc->name);

	proc->proxy = proc_new(tb, name, program);
	proc->proxy->stdin_fd = -2;
	g_ptr_array_add(proc->proxy->argv, g_strdup(listen));
	g_ptr_array_add(proc->proxy->argv, g_strdup(target));
	g_ptr_array_add(proc->proxy->argv,
			g_strdup_printf("%u", (uint32_t)tb->opts.seed));
	proc_start(proc->proxy);
	g_free(program);
	g_free(name);
	return listen;
}

/* Prepares a daemon to start; @a http is its HTTP address, NULL: any port. */
static struct tb_proc *tb_add_daemon(struct testbed *tb, const char *role,
				     const char *name, const char *zone,
				     const char *http)
{
	char *program = g_build_filename(tb->root, "masticreachd", NULL);
	struct tb_proc *proc = proc_new(tb, name, program);

	proc->port_file = g_strdup_printf("%s/%s.ports", tb->dir, name);
	proc_arg(proc, "--role", role);
	proc_arg(proc, "--name", name);
	proc_arg(proc, "--zone", zone);
	proc_arg(proc, "--http", http ? http : "127.0.0.1:0");
	proc_arg(proc, "--port-file", proc->port_file);
	if (tb->opts.platform) {
		proc->node_file = g_strdup_printf("%s/%s.conf", tb->dir, name);
		node_file_write(proc, tb->control_list, 0);
		proc_arg(proc, "--node-file", proc->node_file);
	} else {
		proc_arg(proc, "--control", tb->control_list);
	}
	if (tb->opts.platform && tb->opts.grace_s)
		proc_arg_number(proc, "--grace-s", tb->opts.grace_s);
	if (tb->opts.platform && tb->opts.worker_lease_ms)
		proc_arg_number(proc, "--worker-lease-ms",
				tb->opts.worker_lease_ms);
	if (tb->opts.platform) {
		proc_arg(proc, "--front-end", "platform");
		proc_arg(proc, "--zones", "veraval,porbandar,mangrol");
	}
	g_free(program);
	return proc;
}

static void tb_wait_port(struct tb_proc *proc)
{
	gint64 end_us = g_get_monotonic_time() + START_LIMIT_MS * 1000ll;

	while (!tb_proc_http(proc)[0]) {
		if (g_get_monotonic_time() > end_us)
			g_error("%s did not start; see %s", proc->name,
				proc->tb->dir);
		testbed_wait_ms(POLL_MS);
	}
}

/* Prepares a control process with an empty data folder to start. */
static struct tb_proc *tb_prepare_control(struct testbed *tb, const char *zone,
					  const char *listen, const char *http)
{
	char *name = g_strdup_printf("control-%u", tb->controls->len + 1);
	struct tb_proc *proc = tb_add_daemon(tb, "control", name, zone, http);

	proc->data = g_strdup_printf("%s/%s.data", tb->dir, name);
	g_mkdir(proc->data, 0755);
	proc_arg(proc, "--listen", listen);
	proc_arg(proc, "--data", proc->data);
	g_ptr_array_add(tb->controls, proc);
	g_free(name);
	return proc;
}

static void tb_start_controls(struct testbed *tb)
{
	static const char *const zones[] = { "veraval", "porbandar",
					     "mangrol" };
	char *listen[TB_MAX_CONTROLS] = { NULL };
	char *advertised[TB_MAX_CONTROLS + 1] = { NULL };
	char *http_addresses[TB_MAX_CONTROLS] = { NULL };

	for (uint32_t i = 0; i < tb->opts.nr_controls; i++) {
		uint32_t host = tb->opts.platform ? i + 1 : 0;

		listen[i] = tb_address(tb->addresses, host);
		advertised[i] = tb->opts.proxy_controls ?
					tb_address(tb->addresses, host) :
					g_strdup(listen[i]);
		if (!tb->opts.platform)
			continue;
		/* The platform's machines use the same port, each on its own
		 * address; redirects to the leader rely on that. */
		http_addresses[i] = i ? tb_address_like(tb->addresses, host,
							http_addresses[0]) :
					tb_address(tb->addresses, host);
	}
	tb->control_list = g_strjoinv(",", advertised);
	for (uint32_t i = 0; i < tb->opts.nr_controls; i++) {
		struct tb_proc *proc = tb_prepare_control(
			tb, zones[i % 3], listen[i], http_addresses[i]);

		if (tb->opts.platform)
			proc_arg(proc, "--bootstrap", "true");
		if (tb->opts.proxy_controls) {
			tb_add_proxy(tb, proc, listen[i], advertised[i]);
			proc_arg(proc, "--advertise", advertised[i]);
		}
		proc_start(proc);
	}
	for (uint32_t i = 0; i < tb->opts.nr_controls; i++) {
		tb_wait_port(testbed_control(tb, i));
		g_free(listen[i]);
		g_free(advertised[i]);
		g_free(http_addresses[i]);
	}
}

/* Testbed that tb_exit() frees when a failed check calls exit(). */
static struct testbed *tb_current;

static void tb_exit(void)
{
	if (tb_current)
		testbed_free(tb_current);
}

struct testbed *testbed_new(const struct testbed_opts *opts,
			    const char *program)
{
	struct testbed *tb = g_new0(struct testbed, 1);
	char *dir = g_path_get_dirname(program);
	char *absolute = g_canonicalize_filename(dir, NULL);

	signal(SIGPIPE, SIG_IGN);
	tb_current = tb;
	atexit(tb_exit);
	tb->opts = *opts;
	tb->addresses = tb_addresses_new();
	tb->bin = absolute;
	tb->root = g_path_get_dirname(absolute);
	tb->dir = g_dir_make_tmp("masticreach-XXXXXX", NULL);
	tb->procs = g_ptr_array_new_with_free_func(proc_free);
	tb->controls = g_ptr_array_new();
	tb->entries = g_ptr_array_new();
	tb->agents = g_ptr_array_new();
	tb->standins = g_ptr_array_new();
	tb->notes = g_ptr_array_new_with_free_func(g_free);
	tb->session = soup_session_new_with_options(
		"max-conns", 1000, "max-conns-per-host", 64, NULL);
	g_free(dir);
	tb_start_controls(tb);
	return tb;
}

static void tb_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *child = g_build_filename(path, name, NULL);

		tb_remove(child);
		g_free(child);
	}
	if (dir)
		g_dir_close(dir);
	g_remove(path);
}

void testbed_free(struct testbed *tb)
{
	tb_current = NULL;
	g_ptr_array_unref(tb->procs);
	if (g_getenv("TB_KEEP"))
		fprintf(stderr, "kept %s\n", tb->dir);
	else
		tb_remove(tb->dir);
	g_ptr_array_unref(tb->controls);
	g_ptr_array_unref(tb->entries);
	g_ptr_array_unref(tb->agents);
	g_ptr_array_unref(tb->standins);
	g_ptr_array_unref(tb->notes);
	g_object_unref(tb->session);
	tb_addresses_free(tb->addresses);
	g_free(tb->control_list);
	g_free(tb->bin);
	g_free(tb->root);
	g_free(tb->dir);
	g_free(tb);
}

struct tb_proc *testbed_add_control(struct testbed *tb, const char *zone)
{
	uint32_t host = tb->controls->len + 1;
	char *listen = tb_address(tb->addresses, host);
	char *http = tb_address_like(tb->addresses, host,
				     tb_proc_http(testbed_control(tb, 0)));
	struct tb_proc *proc = tb_prepare_control(tb, zone, listen, http);

	proc_arg(proc, "--bootstrap", "false");
	proc_start(proc);
	tb_wait_port(proc);
	g_free(http);
	g_free(listen);
	return proc;
}

struct tb_proc *testbed_add_entry(struct testbed *tb, const char *zone)
{
	char *name = g_strdup_printf("entry-%u", tb->entries->len + 1);
	char *http = tb->opts.platform ? tb_address(tb->addresses, 0) : NULL;
	struct tb_proc *proc = tb_add_daemon(tb, "entry", name, zone, http);

	proc_start(proc);
	g_ptr_array_add(tb->entries, proc);
	tb_wait_port(proc);
	g_free(http);
	g_free(name);
	return proc;
}

static struct tb_proc *tb_add_standin(struct testbed *tb, const char *vm,
				      const struct tb_vm_opts *opts)
{
	char *program = g_build_filename(tb->bin, "standin", NULL);
	char *name = g_strdup_printf("worker-%s", vm);
	char *journal = g_strdup_printf("%s/%s.journal", tb->dir, vm);
	char *agent_file = g_strdup_printf("%s/%s.ports", tb->dir, vm);
	char *http = tb_address(tb->addresses, 0);
	struct tb_proc *proc = proc_new(tb, name, program);

	proc->port_file = g_strdup_printf("%s/%s.ports", tb->dir, name);
	proc_arg(proc, "--vm", vm);
	proc_arg(proc, "--zone", opts->zone);
	proc_arg(proc, "--journal", journal);
	proc_arg(proc, "--agent-port-file", agent_file);
	proc_arg(proc, "--port-file", proc->port_file);
	/* The agent keeps using this address after the worker restarts. */
	proc_arg(proc, "--http", http);
	proc_arg_number(proc, "--time-ms", opts->time_ms ? opts->time_ms : 20);
	proc_arg_number(proc, "--slots", opts->slots ? opts->slots : 8);
	if (opts->service)
		proc_arg(proc, "--service", opts->service);
	proc_start(proc);
	tb_wait_port(proc);
	g_free(program);
	g_free(name);
	g_free(journal);
	g_free(agent_file);
	g_free(http);
	return proc;
}

struct tb_proc *testbed_add_vm(struct testbed *tb,
			       const struct tb_vm_opts *opts)
{
	char *name = g_strdup_printf("vm-%u", tb->agents->len + 1);
	struct tb_proc *proc =
		tb_add_daemon(tb, "agent", name, opts->zone, NULL);
	struct tb_proc *standin = NULL;
	char *listen = tb_address(tb->addresses, 0);
	char *advertised =
		tb->opts.proxy_agents ? tb_address(tb->addresses, 0) : NULL;

	proc_arg(proc, "--rack", opts->rack ? opts->rack : "rack-1");
	proc_arg(proc, "--listen", listen);
	if (!opts->agent_only) {
		proc_arg_number(proc, "--cpu-millis", tb->opts.cpu_millis);
		proc_arg_number(proc, "--memory-mib", tb->opts.memory_mib);
		proc_arg_number(proc, "--accelerators", tb->opts.accelerators);
		standin = tb_add_standin(tb, name, opts);
		proc_arg(proc, "--worker", tb_proc_http(standin));
	}
	if (advertised) {
		tb_add_proxy(tb, proc, listen, advertised);
		proc_arg(proc, "--advertise", advertised);
	}
	proc_start(proc);
	g_ptr_array_add(tb->agents, proc);
	g_ptr_array_add(tb->standins, standin);
	if (standin)
		tb_wait_port(proc);
	g_free(listen);
	g_free(advertised);
	g_free(name);
	return proc;
}

struct tb_proc *testbed_add_executor(struct testbed *tb,
				     const struct tb_executor_opts *opts)
{
	const char *zone = opts->zone ? opts->zone : "veraval";
	char *name = g_strdup_printf("vm-%u", tb->agents->len + 1);
	char *worker = g_strdup_printf("i-%u", tb->agents->len + 1);
	char *program = g_build_filename(tb->bin, "executor_standin", NULL);
	char *journal = g_strdup_printf("%s/%s.journal", tb->dir, name);
	char *listen = tb_address(tb->addresses, 0);
	/* The worker keeps using this address after the agent restarts. */
	char *http = tb_address(tb->addresses, 0);
	struct tb_proc *agent = tb_add_daemon(tb, "agent", name, zone, http);
	struct tb_proc *standin = proc_new(tb, worker, program);

	proc_arg(agent, "--listen", listen);
	agent->listen = g_strdup(listen);
	proc_start(agent);
	tb_wait_port(agent);
	standin->port_file = g_strdup_printf("%s/%s.ports", tb->dir, worker);
	proc_arg(standin, "--name", worker);
	proc_arg(standin, "--agent", tb_proc_http(agent));
	proc_arg(standin, "--journal", journal);
	proc_arg(standin, "--port-file", standin->port_file);
	proc_arg(standin, "--zone", zone);
	proc_arg(standin, "--label", opts->label ? opts->label : "a");
	if (opts->unguarded)
		g_ptr_array_add(standin->argv, g_strdup("--unguarded"));
	proc_arg_number(standin, "--late-percent", opts->late_percent);
	proc_arg_number(standin, "--reset-percent", opts->reset_percent);
	proc_arg_number(standin, "--malformed-percent",
			opts->malformed_percent);
	proc_arg_number(standin, "--odd-percent", opts->odd_percent);
	proc_arg_number(standin, "--silent-percent", opts->silent_percent);
	proc_arg_number(standin, "--silent-ms", opts->silent_ms);
	proc_arg_number(standin, "--restart-ms", opts->restart_ms);
	if (opts->first_heartbeat_ms)
		proc_arg_number(standin, "--first-heartbeat-ms",
				opts->first_heartbeat_ms);
	if (opts->waiting_calls)
		proc_arg(standin, "--waiting-calls", opts->waiting_calls);
	if (opts->cut)
		g_ptr_array_add(standin->argv, g_strdup("--cut"));
	proc_start(standin);
	tb_wait_port(standin);
	g_ptr_array_add(tb->agents, agent);
	g_ptr_array_add(tb->standins, standin);
	g_free(http);
	g_free(listen);
	g_free(journal);
	g_free(program);
	g_free(worker);
	g_free(name);
	return agent;
}

char *testbed_path(struct testbed *tb, const char *name)
{
	return g_build_filename(tb->dir, name, NULL);
}

struct tb_proc *testbed_add_probe(struct testbed *tb)
{
	char *program = g_build_filename(tb->bin, "soak_probe", NULL);
	struct tb_proc *proc = proc_new(tb, "probe", program);

	g_ptr_array_add(proc->argv, testbed_path(tb, "probe.data"));
	g_ptr_array_add(proc->argv, testbed_path(tb, "probe.journal"));
	proc_start(proc);
	g_free(program);
	return proc;
}

struct tb_proc *testbed_control(struct testbed *tb, uint32_t i)
{
	return g_ptr_array_index(tb->controls, i);
}

struct tb_proc *testbed_entry(struct testbed *tb, uint32_t i)
{
	return g_ptr_array_index(tb->entries, i);
}

struct tb_proc *testbed_agent(struct testbed *tb, uint32_t i)
{
	return g_ptr_array_index(tb->agents, i);
}

struct tb_proc *testbed_standin(struct testbed *tb, uint32_t i)
{
	return g_ptr_array_index(tb->standins, i);
}

uint32_t testbed_nr_vms(const struct testbed *tb)
{
	return tb->agents->len;
}

void testbed_kill_vm(struct testbed *tb, uint32_t i)
{
	tb_proc_signal(testbed_standin(tb, i), SIGKILL);
	testbed_note(tb, "vm=%s ev=dead", testbed_agent(tb, i)->name);
	tb_proc_signal(testbed_agent(tb, i), SIGKILL);
}

void testbed_restart_vm(struct testbed *tb, uint32_t i)
{
	tb_proc_restart(testbed_standin(tb, i));
	tb_wait_port(testbed_standin(tb, i));
	tb_proc_restart(testbed_agent(tb, i));
}

/* ---- the tool ---- */

static int tb_run_tool(struct testbed *tb, char **out, va_list args)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	GString *http_addresses = g_string_new(NULL);
	const char *word;
	int status = 0;
	char *text = NULL;

	for (guint i = 0; i < tb->controls->len; i++) {
		const char *http = tb_proc_http(testbed_control(tb, i));

		if (http[0])
			g_string_append_printf(http_addresses, "%s%s",
					       http_addresses->len ? "," : "",
					       http);
	}
	g_ptr_array_add(argv, g_build_filename(tb->root, "src", "tool",
					       "masticreach", NULL));
	g_ptr_array_add(argv, g_strdup("--control"));
	g_ptr_array_add(argv, g_string_free(http_addresses, FALSE));
	while ((word = va_arg(args, const char *)))
		g_ptr_array_add(argv, g_strdup(word));
	g_ptr_array_add(argv, NULL);
	if (!g_spawn_sync(NULL, (char **)argv->pdata, NULL,
			  out ? G_SPAWN_DEFAULT : G_SPAWN_STDOUT_TO_DEV_NULL,
			  NULL, NULL, out ? &text : NULL, NULL, &status, NULL))
		status = -1;
	if (out)
		*out = text ? text : g_strdup("");
	g_ptr_array_unref(argv);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int testbed_tool(struct testbed *tb, char **out, ...)
{
	va_list args;
	int res;

	va_start(args, out);
	res = tb_run_tool(tb, out, args);
	va_end(args);
	return res;
}

char *testbed_write(struct testbed *tb, const char *name, const char *text)
{
	char *path = g_build_filename(tb->dir, name, NULL);

	g_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

/* Returns the digest of the bundle that awaits its sign-off, or "". */
static char *tb_submitted_digest(struct testbed *tb)
{
	static const char name[] = "submitted_digest";
	char *digest = NULL;
	char **parts;
	char *out;

	testbed_tool(tb, &out, "--json", "bundle", "status", NULL);
	parts = g_strsplit(out, "\"", -1);
	for (char **p = parts; *p && !digest; p++)
		if (!strcmp(*p, name) && p[1] && p[2])
			digest = g_strdup(p[2]);
	g_strfreev(parts);
	g_free(out);
	return digest ? digest : g_strdup("");
}

bool testbed_bundle(struct testbed *tb, const char *text, uint32_t version)
{
	char *path = testbed_write(tb, "bundle.json", text);
	char *number = g_strdup_printf("%u", version);
	char *digest = NULL;
	int res = -1;

	for (int i = 0; i < 40 && res; i++) {
		if (i)
			testbed_wait_ms(500);
		res = testbed_tool(tb, NULL, "bundle", "submit", path, "--by",
				   "operator", NULL);
	}
	if (!res) {
		digest = tb_submitted_digest(tb);
		res = testbed_tool(tb, NULL, "bundle", "sign-off",
				   "--bundle-version", number, "--digest",
				   digest, "--by", "operator", NULL);
	}
	g_free(path);
	g_free(number);
	g_free(digest);
	return !res;
}

bool testbed_wait_tool(struct testbed *tb, const char *text, uint32_t limit_ms,
		       ...)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)limit_ms * 1000;
	bool found = false;
	va_list args;
	char *out;

	for (;;) {
		va_start(args, limit_ms);
		tb_run_tool(tb, &out, args);
		va_end(args);
		found = strstr(out, text) != NULL;
		if (found || g_get_monotonic_time() > end_us)
			break;
		g_free(out);
		testbed_wait_ms(200);
	}
	if (!found)
		fprintf(stderr, "waited for \"%s\", last saw:\n%s\n", text,
			out);
	g_free(out);
	return found;
}

/* ---- journals ---- */

void testbed_note(struct testbed *tb, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(tb->notes,
			g_strdup_printf("t=%" G_GINT64_FORMAT " %s",
					g_get_monotonic_time(), text));
	g_free(text);
}

GPtrArray *testbed_lines(struct testbed *tb)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < tb->agents->len; i++) {
		char *path = g_strdup_printf("%s/%s.journal", tb->dir,
					     testbed_agent(tb, i)->name);

		checker_read(lines, path);
		g_free(path);
	}
	for (guint i = 0; i < tb->notes->len; i++)
		g_ptr_array_add(lines,
				g_strdup(g_ptr_array_index(tb->notes, i)));
	return lines;
}

uint32_t testbed_check(struct testbed *tb, uint64_t zone_grace_ms)
{
	struct checker_opts opts = { tb->opts.cpu_millis, tb->opts.memory_mib,
				     tb->opts.accelerators, zone_grace_ms };
	GPtrArray *lines = testbed_lines(tb);
	GPtrArray *faults = checker_run(&opts, lines);
	uint32_t nr = faults->len;

	for (guint i = 0; i < faults->len; i++)
		fprintf(stderr, "violation: %s\n",
			(char *)g_ptr_array_index(faults, i));
	g_ptr_array_unref(faults);
	g_ptr_array_unref(lines);
	return nr;
}

uint32_t testbed_journal_count(struct testbed *tb, const char *text,
			       const char *also)
{
	GPtrArray *lines = testbed_lines(tb);
	uint32_t nr = 0;

	for (guint i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (strstr(line, text) && (!also || strstr(line, also)))
			nr++;
	}
	g_ptr_array_unref(lines);
	return nr;
}

/* ---- waiting and HTTP ---- */

static gboolean tb_wake(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

void testbed_wait_ms(uint32_t duration_ms)
{
	bool done = false;

	g_timeout_add(duration_ms, tb_wake, &done);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
}

struct tb_call {
	bool done;
	GBytes *body;
};

static void tb_called(GObject *session, GAsyncResult *res, gpointer data)
{
	struct tb_call *call = data;

	call->body = soup_session_send_and_read_finish(SOUP_SESSION(session),
						       res, NULL);
	call->done = true;
}

guint tb_request(struct tb_proc *entry, const char *method, const char *path,
		 const char *key, const char *body, char **answer)
{
	char *url = g_strdup_printf("http://%s%s", tb_proc_http(entry), path);
	SoupMessage *msg = soup_message_new(method, url);
	SoupMessageHeaders *headers;
	struct tb_call call = { 0 };
	guint status = 0;
	GBytes *bytes;
	gsize size;

	if (!msg)
		g_error("%s has no HTTP address", entry->name);
	headers = soup_message_get_request_headers(msg);
	/* Tests on the platform configure their queues for this host. */
	if (entry->tb->opts.platform)
		soup_message_headers_replace(headers, "Host", "127.0.0.1");
	if (key)
		soup_message_headers_append(headers, "Idempotency-Key", key);
	if (body) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(msg, "text/plain",
							 bytes);
		g_bytes_unref(bytes);
	}
	soup_session_send_and_read_async(entry->tb->session, msg,
					 G_PRIORITY_DEFAULT, NULL, tb_called,
					 &call);
	while (!call.done)
		g_main_context_iteration(NULL, TRUE);
	if (call.body) {
		status = soup_message_get_status(msg);
		size = g_bytes_get_size(call.body);
		if (answer)
			*answer = g_strndup(g_bytes_get_data(call.body, NULL),
					    size);
		g_bytes_unref(call.body);
	} else if (answer) {
		*answer = g_strdup("");
	}
	g_object_unref(msg);
	g_free(url);
	return status;
}

bool testbed_wait_http(struct tb_proc *proc, const char *path,
		       uint32_t limit_ms)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)limit_ms * 1000;

	while (tb_request(proc, "GET", path, NULL, NULL, NULL) != 200) {
		if (g_get_monotonic_time() > end_us)
			return false;
		testbed_wait_ms(50);
	}
	return true;
}
