#include "settings.h"

#include <argp.h>
#include <gio/gio.h>
#include <stdbool.h>
#include <string.h>

#include "schema.h"
#include "settings_impl.h"

#define VARIABLE_PREFIX "MASTICREACH_"
#define FIRST_OPTION_KEY 256 /* larger than any character: no short options */
#define DRAIN_MAX_MS 3600000
#define CONNECTIONS_MAX 100000
#define GRACE_MAX_S 3600
#define WORKER_TIME_MAX_MS 3600000
#define REPLICA_LOSSES_MAX ((CONTROL_MAX_MEMBERS - 1) / 2)
#define NODE_FILE_GROUP "masticreach"

static const struct setting setting_table[NR_SETTINGS] = {
	[SET_ROLE] = { "role", "ROLE", "", "all", "all",
		       "entry, agent or control" },
	[SET_NAME] = { "name", "NAME", "", "all", "all", "name of this VM" },
	[SET_ZONE] = { "zone", "ZONE", "", "all", "all",
		       "availability zone of this VM" },
	[SET_RACK] = { "rack", "RACK", "", "all", "", "rack of this VM" },
	[SET_LISTEN] = { "listen", "IP:PORT", "", "all", "agent, control",
			 "address for other processes of the system; port 0 "
			 "takes a free one" },
	[SET_ADVERTISE] = { "advertise", "IP:PORT", "", "agent, control", "",
			    "address that others dial, if it is not --listen" },
	[SET_HTTP] = { "http", "IP:PORT", "", "all", "all",
		       "address of the HTTP server; port 0 takes a free one" },
	[SET_CONTROL] = { "control", "IP:PORT,...", "", "all", "all",
			  "listen addresses of all control replicas" },
	[SET_DATA] = { "data", "DIR", "", "control", "control",
		       "directory of the replicated state" },
	[SET_WORKER] = { "worker", "IP:PORT", "", "agent", "",
			 "HTTP address of the worker on this VM; without it "
			 "the VM runs no tasks" },
	[SET_CPU_MILLIS] = { "cpu-millis", "N", "0", "agent", "",
			     "processors for tasks, in thousandths" },
	[SET_MEMORY_MIB] = { "memory-mib", "N", "0", "agent", "",
			     "memory for tasks, in MiB" },
	[SET_ACCELERATORS] = { "accelerators", "N", "0", "agent", "",
			       "accelerators for tasks" },
	[SET_LOG_LEVEL] = { "log-level", "LEVEL", "decisions", "all", "",
			    "none, events, or decisions (events and one line "
			    "for each decision)" },
	[SET_PORT_FILE] = { "port-file", "FILE", "", "all", "",
			    "file for the bound addresses, written after the "
			    "start" },
	[SET_DRAIN_MS] = { "drain-ms", "MS", "30000", "all", "",
			   "time limit of a graceful shutdown" },
	[SET_MAX_CONNECTIONS] = { "max-connections", "N", "4096", "all", "",
				  "HTTP connections accepted at a time" },
	[SET_NODE_FILE] = { "node-file", "FILE", "", "all", "",
			    "file with settings, one NAME=VALUE a line under "
			    "[masticreach]" },
	[SET_FRONT_END] = { "front-end", "KIND", "own", "all", "",
			    "own or platform: whose protocols callers, workers "
			    "and operators speak" },
	[SET_CONTROL_PORT] = { "control-port", "PORT", "0", "all", "",
			       "takes the place of the ports in --control" },
	[SET_READY] = { "ready", "IP:PORT", "", "entry", "",
			"address of a second HTTP server that only tells "
			"whether the entry is ready" },
	[SET_ZONES] = { "zones", "ZONE,...", "", "all", "",
			"availability zones, where the bundle doesn't list "
			"them" },
	[SET_BOOTSTRAP] = { "bootstrap", "BOOL", "true", "all", "",
			    "true or false: whether this is the first start of "
			    "the whole group; with false, an empty disk may be "
			    "a lost one" },
	[SET_WORKER_LEASE_MS] = { "worker-lease-ms", "MS", "5000", "all", "",
				  "longest lease that workers take" },
	[SET_WORKER_STOP_MS] = { "worker-stop-ms", "MS", "0", "all", "",
				 "longest time that a worker takes to stop a "
				 "run; 0: not known" },
	[SET_WORKER_SAVE_S] = { "worker-save-s", "S", "0", "all", "",
				"work of a run between two checkpoints, with "
				"up to 3 decimals; 0: not known" },
	[SET_WORKER_RESTORE_MS] = { "worker-restore-ms", "MS", "0", "all", "",
				    "time that a run takes to resume from a "
				    "checkpoint" },
	[SET_LOAD_POLICY] = { "load-policy", "KIND", "auto", "all", "",
			      "auto, standard or contended: how workflows are "
			      "placed when there is less room than work; auto: "
			      "contended if a stop takes longer than the work "
			      "between two checkpoints" },
	[SET_GRACE_S] = { "grace-s", "S", "0", "all", "",
			  "time until the process is killed after SIGTERM; "
			  "bounds --drain-ms" },
	[SET_REPLICA_LOSSES] = { "replica-losses", "N", "0", "all", "",
				 "control replicas that may be lost at a time; "
				 "0: fewer than half of --control" },
	[SET_ADVISER] = { "adviser", "IP:PORT", "", "all", "",
			  "service that says which workers may run the steps "
			  "of some queues" },
	[SET_METRICS] = { "metrics", "IP:PORT", "", "all", "",
			  "address of a second HTTP server that only serves "
			  "the counters" },
};

/* Variables of the command-line tool, which may be set on the same VM. */
static const char *const tool_variables[] = {
	"MASTICREACH_CONTROL_HTTP",
	"MASTICREACH_TIMEOUT_MS",
};

const struct setting *settings_table(size_t *nr)
{
	*nr = NR_SETTINGS;
	return setting_table;
}

char *setting_variable(const struct setting *setting)
{
	char *upper = g_ascii_strup(setting->name, -1);
	char *name = g_strconcat(VARIABLE_PREFIX, upper, NULL);

	g_strdelimit(name, "-", '_');
	g_free(upper);
	return name;
}

static void values_set(struct setting_values *values, size_t i,
		       const char *source, const char *value)
{
	g_free(values->value[i]);
	values->value[i] = g_strdup(value);
	values->source[i] = g_intern_string(source);
}

static error_t settings_parse_option(int key, char *arg,
				     struct argp_state *state)
{
	struct setting_values *values = state->input;
	char *source;

	if (key < FIRST_OPTION_KEY || key >= FIRST_OPTION_KEY + NR_SETTINGS)
		return ARGP_ERR_UNKNOWN;
	source = g_strconcat("--", setting_table[key - FIRST_OPTION_KEY].name,
			     NULL);
	values_set(values, (size_t)(key - FIRST_OPTION_KEY), source, arg);
	g_free(source);
	return 0;
}

static bool setting_is_help(const char *flag)
{
	static const char *const flags[] = { "--help", "--usage", "--version",
					     "-?", "-V" };

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
		if (!strcmp(flag, flags[i]))
			return true;
	return false;
}

/*
 * Checks the flags before argp parses them: argp reports an unknown flag in two
 * lines and accepts abbreviations, whose meaning could change when a setting is
 * added.
 */
static enum result settings_check_flags(int argc, char **argv, char **error)
{
	for (int i = 1; i < argc; i++) {
		const char *equals = strchr(argv[i], '=');
		size_t len = equals ? (size_t)(equals - argv[i]) :
				      strlen(argv[i]);
		size_t found = NR_SETTINGS;

		if (setting_is_help(argv[i]))
			return RESULT_OK;
		if (!g_str_has_prefix(argv[i], "--"))
			return settings_fail(error, RESULT_USAGE,
					     "unexpected argument \"%s\"",
					     argv[i]);
		for (size_t j = 0; j < NR_SETTINGS; j++)
			if (strlen(setting_table[j].name) == len - 2 &&
			    !strncmp(setting_table[j].name, argv[i] + 2,
				     len - 2))
				found = j;
		if (found == NR_SETTINGS)
			return settings_fail(error, RESULT_USAGE,
					     "unknown setting %.*s", (int)len,
					     argv[i]);
		if (!equals && ++i == argc)
			return settings_fail(error, RESULT_USAGE,
					     "--%s needs a value",
					     setting_table[found].name);
	}
	return RESULT_OK;
}

static bool settings_is_tool_variable(const char *name, size_t len)
{
	for (size_t i = 0; i < G_N_ELEMENTS(tool_variables); i++)
		if (strlen(tool_variables[i]) == len &&
		    !strncmp(tool_variables[i], name, len))
			return true;
	return false;
}

static enum result settings_read_variable(struct setting_values *values,
					  const char *entry, char **error)
{
	const char *equals = strchr(entry, '=');
	enum result res = RESULT_USAGE;
	size_t len;

	if (!g_str_has_prefix(entry, VARIABLE_PREFIX) || !equals)
		return RESULT_OK;
	len = (size_t)(equals - entry);
	if (settings_is_tool_variable(entry, len))
		return RESULT_OK;
	for (size_t i = 0; i < NR_SETTINGS && res != RESULT_OK; i++) {
		char *name = setting_variable(&setting_table[i]);

		if (strlen(name) == len && !strncmp(name, entry, len)) {
			res = RESULT_OK;
			if (equals[1])
				values_set(values, i, name, equals + 1);
		}
		g_free(name);
	}
	if (res != RESULT_OK)
		return settings_fail(error, res, "unknown setting %.*s",
				     (int)len, entry);
	return RESULT_OK;
}

static enum result settings_parse_flags(struct setting_values *values, int argc,
					char **argv)
{
	struct argp_option options[NR_SETTINGS + 1] = { 0 };
	struct argp argp = { 0 };

	for (size_t i = 0; i < NR_SETTINGS; i++) {
		options[i].name = setting_table[i].name;
		options[i].key = FIRST_OPTION_KEY + (int)i;
		options[i].arg = setting_table[i].arg;
		options[i].doc = setting_table[i].help;
	}
	argp.options = options;
	argp.parser = settings_parse_option;
	argp.doc = "One process of masticreach, a scheduler for "
		   "latency-critical services and batch jobs.\v"
		   "Every flag can also be given as an environment variable: "
		   "--cpu-millis is MASTICREACH_CPU_MILLIS. The flag takes "
		   "precedence. docs/settings.md lists defaults and roles, "
		   "docs/errors.md the exit codes.";
	argp_program_version = "masticreachd " MASTICREACH_VERSION;
	argp_err_exit_status = RESULT_USAGE;
	return argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, values) ?
		       RESULT_USAGE :
		       RESULT_OK;
}

enum result settings_check_address(const char *text, gboolean any_port)
{
	GSocketConnectable *parsed = g_network_address_parse(text, 0, NULL);
	enum result res = RESULT_MALFORMED;
	GNetworkAddress *address;

	if (!parsed)
		return RESULT_MALFORMED;
	address = G_NETWORK_ADDRESS(parsed);
	if (strlen(text) >= ADDRESS_BYTES || !strrchr(text, ':') ||
	    !g_hostname_is_ip_address(g_network_address_get_hostname(address)))
		goto out;
	if (!g_network_address_get_port(address) &&
	    (!any_port || !g_str_has_suffix(text, ":0")))
		goto out;
	res = RESULT_OK;
out:
	g_object_unref(parsed);
	return res;
}

/* Other processes connect to this address, so 0.0.0.0 or [::] is an error. */
static enum result check_listen(const struct settings *settings, char **error)
{
	GSocketConnectable *parsed;
	GInetAddress *ip;
	gboolean any;

	if (!settings->listen[0])
		return RESULT_OK;
	parsed = g_network_address_parse(settings->listen, 0, NULL);
	ip = g_inet_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)));
	any = g_inet_address_get_is_any(ip);
	g_object_unref(ip);
	g_object_unref(parsed);
	if (any)
		return settings_fail(error, RESULT_OUT_OF_RANGE,
				     "--listen %s: others can't connect to it",
				     settings->listen);
	return RESULT_OK;
}

/* Replaces the port of each control address. */
static void control_set_port(struct settings *settings)
{
	for (uint32_t i = 0; settings->control[i]; i++) {
		char *colon = strrchr(settings->control[i], ':');
		char *address = g_strdup_printf(
			"%.*s:%u", (int)(colon - settings->control[i]),
			settings->control[i], settings->control_port);

		g_free(settings->control[i]);
		settings->control[i] = address;
	}
}

/*
 * Reads the control addresses. A control replica's own entry may have port 0,
 * as in --listen.
 */
static enum result values_control(const struct setting_values *values,
				  struct settings *settings, char **error)
{
	const char *value = values->value[SET_CONTROL];
	const char *own_address = settings->advertise[0] ? settings->advertise :
							   settings->listen;
	bool listed = false;

	settings->control = g_strsplit(value, ",", -1);
	for (uint32_t i = 0; settings->control[i]; i++) {
		const char *address = settings->control[i];
		bool own = settings->role == ROLE_CONTROL &&
			   !strcmp(address, own_address);

		if (settings_check_address(address, own) != RESULT_OK)
			return settings_fail(error, RESULT_MALFORMED,
					     "%s: \"%s\" is not IP:PORT",
					     values_source(values, SET_CONTROL),
					     address);
		for (uint32_t j = 0; j < i; j++)
			if (!strcmp(settings->control[j], address))
				return settings_fail(error, RESULT_USAGE,
						     "%s names %s twice",
						     values_source(values,
								   SET_CONTROL),
						     address);
		listed = listed || own;
	}
	if (settings->control_port) {
		control_set_port(settings);
		return RESULT_OK;
	}
	/*
	 * With the platform's protocols, a replica that isn't listed joins the
	 * group later.
	 */
	if (settings->role == ROLE_CONTROL && !listed &&
	    settings->front_end != FRONT_END_PLATFORM)
		return settings_fail(error, RESULT_USAGE,
				     "%s lacks this replica's own address %s",
				     values_source(values, SET_CONTROL),
				     own_address);
	return RESULT_OK;
}

static bool roles_include(const char *roles, const char *role)
{
	return !strcmp(roles, "all") || strstr(roles, role);
}

/*
 * Checks that all settings that the role requires are given, and none that only
 * other roles accept.
 */
static enum result values_check_role(const struct setting_values *values,
				     enum node_role role, char **error)
{
	static const char *const role_names[] = { "", "entry", "agent",
						  "control" };

	for (size_t i = 0; i < NR_SETTINGS; i++) {
		const struct setting *setting = &setting_table[i];

		if (roles_include(setting->required, role_names[role]) &&
		    !values->value[i])
			return settings_fail(error, RESULT_USAGE,
					     "--%s is missing (role %s)",
					     setting->name, role_names[role]);
		if (!roles_include(setting->roles, role_names[role]) &&
		    values->value[i])
			return settings_fail(error, RESULT_USAGE,
					     "%s contradicts --role %s",
					     values->source[i],
					     role_names[role]);
	}
	return RESULT_OK;
}

static enum result fill_identity(struct settings *to,
				 const struct setting_values *values,
				 char **error)
{
	enum result res =
		values_text(values, SET_NAME, to->name, NAME_BYTES, error);

	if (res == RESULT_OK)
		res = values_text(values, SET_ZONE, to->zone, NAME_BYTES,
				  error);
	if (res == RESULT_OK)
		res = values_text(values, SET_RACK, to->rack, NAME_BYTES,
				  error);
	if (res == RESULT_OK)
		res = values_text(values, SET_DATA, to->data, PATH_BYTES,
				  error);
	if (res == RESULT_OK)
		res = values_text(values, SET_PORT_FILE, to->port_file,
				  PATH_BYTES, error);
	if (res == RESULT_OK)
		res = values_text(values, SET_NODE_FILE, to->node_file,
				  PATH_BYTES, error);
	to->zones = g_strsplit(
		values->value[SET_ZONES] ? values->value[SET_ZONES] : "", ",",
		-1);
	return res;
}

static enum result fill_addresses(struct settings *to,
				  const struct setting_values *values,
				  char **error)
{
	uint32_t port = 0;
	enum result res =
		values_address(values, SET_LISTEN, TRUE, to->listen, error);

	if (res == RESULT_OK)
		res = check_listen(to, error);
	if (res == RESULT_OK)
		res = values_address(values, SET_ADVERTISE, FALSE,
				     to->advertise, error);
	if (res == RESULT_OK)
		res = values_address(values, SET_HTTP, TRUE, to->http, error);
	if (res == RESULT_OK)
		res = values_address(values, SET_READY, FALSE, to->ready,
				     error);
	if (res == RESULT_OK)
		res = values_address(values, SET_ADVISER, FALSE, to->adviser,
				     error);
	if (res == RESULT_OK)
		res = values_address(values, SET_METRICS, TRUE, to->metrics,
				     error);
	if (res == RESULT_OK)
		res = values_address(values, SET_WORKER, FALSE, to->worker,
				     error);
	if (res == RESULT_OK)
		res = values_number(values, SET_CONTROL_PORT, UINT16_MAX, &port,
				    error);
	to->control_port = (uint16_t)port;
	if (res == RESULT_OK)
		res = values_control(values, to, error);
	return res;
}

static enum result fill_choices(struct settings *to,
				const struct setting_values *values,
				char **error)
{
	static const char *const levels[] = { "none", "events", "decisions",
					      NULL };
	static const char *const front_ends[] = { "own", "platform", NULL };
	static const char *const bools[] = { "false", "true", NULL };
	static const char *const policies[] = { "auto", "standard", "contended",
						NULL };
	uint32_t level = 0;
	uint32_t front_end = 0;
	uint32_t bootstrap = 0;
	uint32_t policy = 0;
	enum result res =
		values_choice(values, SET_LOG_LEVEL, levels, &level, error);

	if (res == RESULT_OK)
		res = values_choice(values, SET_FRONT_END, front_ends,
				    &front_end, error);
	if (res == RESULT_OK)
		res = values_choice(values, SET_BOOTSTRAP, bools, &bootstrap,
				    error);
	if (res == RESULT_OK)
		res = values_choice(values, SET_LOAD_POLICY, policies, &policy,
				    error);
	to->load_choice = (enum load_choice)policy;
	to->log_level = (enum log_level)level;
	to->front_end = (enum front_end)front_end;
	to->bootstrap = bootstrap == 1;
	return res;
}

static enum result fill_numbers(struct settings *to,
				const struct setting_values *values,
				char **error)
{
	const struct {
		enum setting_index index;
		uint32_t max;
		uint32_t *to;
	} numbers[] = {
		{ SET_CPU_MILLIS, UINT32_MAX, &to->cpu_millis },
		{ SET_MEMORY_MIB, UINT32_MAX, &to->memory_mib },
		{ SET_ACCELERATORS, UINT32_MAX, &to->accelerators },
		{ SET_DRAIN_MS, DRAIN_MAX_MS, &to->drain_ms },
		{ SET_WORKER_LEASE_MS, UINT32_MAX, &to->worker_lease_ms },
		{ SET_WORKER_STOP_MS, WORKER_TIME_MAX_MS,
		  &to->load_limits.stop_ms },
		{ SET_WORKER_RESTORE_MS, WORKER_TIME_MAX_MS,
		  &to->load_limits.restore_ms },
		{ SET_REPLICA_LOSSES, REPLICA_LOSSES_MAX, &to->replica_losses },
		{ SET_MAX_CONNECTIONS, CONNECTIONS_MAX, &to->max_connections },
	};
	uint32_t grace_s = 0;
	enum result res = values_number(values, SET_GRACE_S, GRACE_MAX_S,
					&grace_s, error);

	for (size_t i = 0; i < G_N_ELEMENTS(numbers) && res == RESULT_OK; i++)
		res = values_number(values, numbers[i].index, numbers[i].max,
				    numbers[i].to, error);
	if (res == RESULT_OK)
		res = values_decimal_s(values, SET_WORKER_SAVE_S,
				       WORKER_TIME_MAX_MS,
				       &to->load_limits.save_ms, error);
	/* The last fifth of the time is left for the process to exit. */
	if (grace_s)
		to->drain_ms = MIN(to->drain_ms, grace_s * 1000 * 4 / 5);
	if (res == RESULT_OK && !to->max_connections)
		res = settings_fail(error, RESULT_OUT_OF_RANGE,
				    "--max-connections must not be 0");
	if (res == RESULT_OK && !to->worker[0] &&
	    (to->cpu_millis || to->memory_mib || to->accelerators))
		res = settings_fail(error, RESULT_USAGE,
				    "capacity for tasks needs --worker");
	return res;
}

/*
 * The losses could include all replicas that form the group: what they have
 * accepted would be lost, and a second group could be formed.
 */
static enum result check_founders(const struct settings *settings, char **error)
{
	uint32_t nr = settings->control ? g_strv_length(settings->control) : 0;

	if (settings->role != ROLE_CONTROL || !settings->bootstrap ||
	    nr > settings->replica_losses)
		return RESULT_OK;
	return settings_fail(error, RESULT_USAGE,
			     "--control names %u replicas, --replica-losses "
			     "%u needs %u or more at the first start",
			     nr, settings->replica_losses,
			     settings->replica_losses + 1);
}

static enum result settings_fill(struct settings *to,
				 const struct setting_values *values,
				 char **error)
{
	static const char *const roles[] = { "", "entry", "agent", "control",
					     NULL };
	uint32_t role = 0;
	enum result res;

	if (!values->value[SET_ROLE])
		return settings_fail(error, RESULT_USAGE, "--role is missing");
	res = values_choice(values, SET_ROLE, roles, &role, error);
	to->role = (enum node_role)role;
	if (res == RESULT_OK)
		res = values_check_role(values, to->role, error);
	if (res == RESULT_OK)
		res = fill_identity(to, values, error);
	if (res == RESULT_OK)
		res = fill_choices(to, values, error);
	if (res == RESULT_OK)
		res = fill_addresses(to, values, error);
	if (res == RESULT_OK)
		res = fill_numbers(to, values, error);
	if (res == RESULT_OK)
		res = check_founders(to, error);
	return res;
}

/* Sets the values of the node file that no flag or variable has set. */
static enum result settings_merge_file(struct setting_values *values,
				       GKeyFile *file, const char *path,
				       char **error)
{
	char **keys = g_key_file_get_keys(file, NODE_FILE_GROUP, NULL, NULL);
	enum result res = RESULT_OK;

	if (!keys)
		return settings_fail(error, RESULT_MALFORMED,
				     "%s has no group [" NODE_FILE_GROUP "]",
				     path);
	for (char **key = keys; *key && res == RESULT_OK; key++) {
		size_t i = 0;
		char *value;

		while (i < NR_SETTINGS &&
		       strcmp(setting_table[i].name, *key) != 0)
			i++;
		if (i == NR_SETTINGS || i == SET_NODE_FILE) {
			res = settings_fail(error, RESULT_USAGE,
					    "%s: unknown setting %s", path,
					    *key);
			break;
		}
		value = g_key_file_get_value(file, NODE_FILE_GROUP, *key, NULL);
		if (!values->value[i] && value && value[0])
			values_set(values, i, *key, value);
		g_free(value);
	}
	g_strfreev(keys);
	return res;
}

static enum result settings_read_file(struct setting_values *values,
				      char **error)
{
	const char *path = values->value[SET_NODE_FILE];
	enum result res = RESULT_OK;
	GError *gerror = NULL;
	GKeyFile *file;

	if (!path)
		return RESULT_OK;
	file = g_key_file_new();
	if (g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &gerror))
		res = settings_merge_file(values, file, path, error);
	else
		res = settings_fail(error, RESULT_MALFORMED, "%s: %s", path,
				    gerror->message);
	g_clear_error(&gerror);
	g_key_file_free(file);
	return res;
}

enum result settings_read(struct settings *settings, int argc, char **argv,
			  char **environment, char **error)
{
	struct setting_values values = { 0 };
	enum result res;

	memset(settings, 0, sizeof(*settings));
	res = settings_check_flags(argc, argv, error);
	for (char **entry = environment; res == RESULT_OK && *entry; entry++)
		res = settings_read_variable(&values, *entry, error);
	if (res == RESULT_OK)
		res = settings_parse_flags(&values, argc, argv);
	if (res == RESULT_OK)
		res = settings_read_file(&values, error);
	if (res == RESULT_OK)
		res = settings_fill(settings, &values, error);
	if (res != RESULT_OK)
		settings_clear(settings);
	for (size_t i = 0; i < NR_SETTINGS; i++)
		g_free(values.value[i]);
	return res;
}

enum result settings_reload(int argc, char **argv, char **environment,
			    char ***control, char **error)
{
	struct settings settings;
	enum result res =
		settings_read(&settings, argc, argv, environment, error);

	if (res != RESULT_OK)
		return res;
	*control = g_steal_pointer(&settings.control);
	settings_clear(&settings);
	return RESULT_OK;
}

void settings_clear(struct settings *settings)
{
	g_strfreev(settings->control);
	settings->control = NULL;
	g_strfreev(settings->zones);
	settings->zones = NULL;
}
