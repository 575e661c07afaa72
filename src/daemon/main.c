/** @file main.c Main program of masticreachd: one process with one role. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "platform_hosts.h"
#include "log.h"
#include "logline.h"
#include "role_host.h"

static const struct role_host_ops *const role_hosts[] = {
	[ROLE_ENTRY] = &host_entry_ops,
	[ROLE_AGENT] = &host_agent_ops,
	[ROLE_CONTROL] = &host_control_ops,
};

static enum result write_port_file(const struct settings *settings,
				   const char *listen, const char *http)
{
	char *text;
	gboolean written;

	if (!settings->port_file[0])
		return RESULT_OK;
	text = g_strdup_printf("listen=%s\nhttp=%s\n", listen, http);
	written = g_file_set_contents(settings->port_file, text, -1, NULL);
	g_free(text);
	return written ? RESULT_OK : RESULT_IO;
}

extern char **environ;

static void log_start(struct loop *loop, const struct settings *settings,
		      const char *http)
{
	static const char *const roles[] = { "", "entry", "agent", "control" };
	GString *line = logline_new("start");
	char *control = g_strjoinv(",", settings->control);

	logline_str(line, "version", MASTICREACH_VERSION);
	logline_str(line, "role", roles[settings->role]);
	logline_str(line, "name", settings->name);
	logline_str(line, "zone", settings->zone);
	logline_str(line, "front_end",
		    settings->front_end == FRONT_END_PLATFORM ? "platform" :
								"own");
	logline_str(line, "http", http);
	logline_str(line, "control", control);
	logline_u64(line, "worker_lease_ms", settings->worker_lease_ms);
	logline_str(line, "load_policy",
		    load_policy_choose(settings->load_choice,
				       &settings->load_limits)
			    ->name);
	logline_u64(line, "replica_losses", settings->replica_losses);
	logline_u64(line, "bootstrap", settings->bootstrap);
	logline_u64(line, "drain_ms", settings->drain_ms);
	logline_u64(line, "max_connections", settings->max_connections);
	node_log(loop_node(loop), line);
	g_free(control);
}

static void log_stop(struct loop *loop, enum result res)
{
	GString *line = logline_new("stop");

	logline_str(line, "result", result_name(res));
	node_log(loop_node(loop), line);
}

/** Arguments of a reload of the settings. */
struct reload {
	const struct role_host_ops *ops;
	void *host;
	struct loop *loop;
	const char *path; /* of the node file, "": none */
	struct timespec changed; /* modification time of the file read last */
	int argc;
	char **argv;
};

static void log_reload(const struct reload *reload, bool signal,
		       const char *outcome)
{
	GString *line = logline_new("reload");

	logline_str(line, "cause", signal ? "signal" : "file");
	logline_str(line, "outcome", outcome);
	loop_update_time(reload->loop);
	node_log(loop_node(reload->loop), line);
}

/*
 * Reads the node file (the file with settings) again and applies its control
 * addresses, after a signal or if the file has changed.
 */
static void run_reload(void *ctx, bool signal)
{
	struct reload *reload = ctx;
	struct stat now = { 0 };
	char **control = NULL;
	char *error = NULL;
	char *shown;

	/* A file that is being replaced is read at the next check. */
	if (!reload->path[0] || stat(reload->path, &now))
		return;
	if (!signal && now.st_mtim.tv_sec == reload->changed.tv_sec &&
	    now.st_mtim.tv_nsec == reload->changed.tv_nsec)
		return;
	reload->changed = now.st_mtim;
	if (settings_reload(reload->argc, reload->argv, environ, &control,
			    &error) != RESULT_OK) {
		log_reload(reload, signal, error);
		g_free(error);
		return;
	}
	shown = g_strjoinv(",", control);
	log_reload(reload, signal, shown);
	if (reload->ops->set_control_addresses)
		reload->ops->set_control_addresses(
			reload->host, (const char *const *)control);
	g_free(shown);
	g_strfreev(control);
}

/*
 * Opens the server for counters. An error is only logged, as the process can do
 * its work without this server.
 */
static struct metrics_server *open_metrics(struct loop *loop,
					   const struct settings *settings,
					   const struct role_host_ops *ops,
					   void *host)
{
	struct metrics_server *metrics = NULL;
	enum result res = RESULT_OK;
	GString *line;

	if (settings->metrics[0])
		res = metrics_server_new(ops, host, settings->metrics,
					 &metrics);
	if (res == RESULT_OK)
		return metrics;
	line = logline_new("metrics-failed");
	logline_str(line, "address", settings->metrics);
	logline_str(line, "result", result_name(res));
	node_log(loop_node(loop), line);
	return NULL;
}

/* Runs the process; @a part names the setting or phase that failed. */
static enum result run(const struct settings *settings, int argc, char **argv,
		       const char **part)
{
	struct reload reload = { .argc = argc, .argv = argv };
	struct stat file = { 0 };
	const struct role_host_ops *ops =
		settings->front_end == FRONT_END_PLATFORM ?
			platform_host_ops(settings->role) :
			role_hosts[settings->role];
	struct loop_opts opts = { 0 };
	struct metrics_server *metrics = NULL;
	struct loop *loop = NULL;
	void *host = NULL;
	enum result res;

	opts.listen = settings->listen[0] ? settings->listen : NULL;
	opts.advertise = settings->advertise[0] ? settings->advertise : NULL;
	opts.name = settings->name;
	opts.zone = settings->zone;
	opts.drain_ms = settings->drain_ms;
	*part = "--listen";
	res = loop_new(&opts, &loop);
	if (res != RESULT_OK)
		goto out;
	res = ops->open(loop, settings, &host, part);
	if (res != RESULT_OK)
		goto out;
	*part = "--port-file";
	res = write_port_file(settings, loop_node(loop)->self.address,
			      ops->http_address(host));
	if (res != RESULT_OK)
		goto out;
	loop_set_drain(loop, ops->stop, ops->idle, host);
	reload.ops = ops;
	reload.host = host;
	reload.loop = loop;
	reload.path = settings->node_file;
	if (reload.path[0] && !stat(reload.path, &file))
		reload.changed = file.st_mtim;
	loop_set_reload(loop, run_reload, &reload);
	*part = "drain";
	log_start(loop, settings, ops->http_address(host));
	metrics = open_metrics(loop, settings, ops, host);
	res = loop_run(loop);
	log_stop(loop, res);
out:
	loop_close(loop);
	metrics_server_free(metrics);
	if (host)
		ops->free(host);
	loop_free(loop);
	return res;
}

int main(int argc, char **argv)
{
	struct settings settings;
	const char *part = NULL;
	char *error = NULL;
	enum result res;

	/*
	 * SIGHUP reloads the settings once the loop runs. Before that it must
	 * not end the process.
	 */
	signal(SIGHUP, SIG_IGN);
	res = settings_read(&settings, argc, argv, environ, &error);
	if (res != RESULT_OK) {
		fprintf(stderr, "masticreachd: %s\n", error);
		g_free(error);
		return res;
	}
	log_level(settings.log_level);
	res = run(&settings, argc, argv, &part);
	if (res != RESULT_OK)
		fprintf(stderr, "masticreachd: %s: %s\n", part,
			result_summary(res));
	settings_clear(&settings);
	return res;
}
