#ifndef SETTINGS_H
#define SETTINGS_H

/**
 * @file settings.h
 * Settings of masticreachd. Each setting can be given as a flag, as an
 * environment variable (MASTICREACH_ and the flag's name in capitals) or in the
 * node file, the file that --node-file names. Flags take precedence over
 * variables, and variables over the file.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "load_policy.h"
#include "msg_link.h"
#include "result.h"
#include "tunables.h"

enum log_level {
	LOG_NONE = 0,
	LOG_EVENTS = 1, /* everything except decision lines */
	LOG_DECISIONS = 2, /* events, and one line for each decision */
};

/** Protocols that a process speaks with callers, workers and operators. */
enum front_end {
	FRONT_END_OWN = 0, /* the built-in protocols, see host_*.c */
	FRONT_END_PLATFORM = 1, /* the platform's protocols */
};

struct settings {
	enum node_role role;
	enum front_end front_end;
	char node_file[PATH_BYTES]; /* path, "": none */
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char rack[NAME_BYTES];
	char listen[ADDRESS_BYTES]; /* "": accepts no connections of peers */
	char advertise[ADDRESS_BYTES]; /* "": peers connect to listen */
	char http[ADDRESS_BYTES];
	char **control; /* control replicas, NULL-terminated, owned */
	uint16_t control_port; /* replaces the ports in control, 0: doesn't */
	char metrics[ADDRESS_BYTES]; /* of a server for counters only, or "" */
	char ready[ADDRESS_BYTES]; /* of a server for readiness only, or "" */
	char adviser[ADDRESS_BYTES]; /* "": none */
	char **zones; /* NULL-terminated, owned; may be empty */
	bool bootstrap; /* a new group may be formed */
	uint32_t worker_lease_ms; /* longest lease that workers accept */
	enum load_choice load_choice;
	struct load_limits load_limits;
	uint32_t replica_losses; /* tolerated; 0: fewer than half of control */
	char data[PATH_BYTES]; /* folder of the replicated state */
	char worker[ADDRESS_BYTES]; /* "": no tasks on this VM */
	uint32_t cpu_millis; /* processors for tasks, in thousandths */
	uint32_t memory_mib; /* for tasks */
	uint32_t accelerators; /* for tasks */
	enum log_level log_level;
	char port_file[PATH_BYTES]; /* for the bound addresses, "": none */
	uint32_t drain_ms; /* time limit of a graceful shutdown */
	uint32_t max_connections; /* HTTP connections at a time */
};

/** One setting, as documented in docs/settings.md. */
struct setting {
	const char *name; /* of the flag, without dashes */
	const char *arg; /* metavariable */
	const char *default_value; /* default value, "" if there is none */
	const char *roles; /* roles that accept it, "all" or a list */
	const char *required; /* roles that require it, "" if none does */
	const char *help;
};

/** Returns the table of all settings. */
const struct setting *settings_table(size_t *nr);

/** Returns the name of the setting's variable as a new string. */
char *setting_variable(const struct setting *setting);

/**
 * Reads flags, environment and node file. --help and --version print and exit.
 * On an error @a error is set to a new one-line message. The result is
 * RESULT_USAGE for an unknown, missing or contradictory setting,
 * RESULT_MALFORMED for a value that can't be parsed and RESULT_OUT_OF_RANGE for
 * a value outside its limits.
 */
enum result settings_read(struct settings *settings, int argc, char **argv,
			  char **environment, char **error);

/**
 * Reads all settings again, with the flags and variables of the start. Returns
 * only those that may change while the process runs, the control addresses:
 * RESULT_OK sets @a control to a new array. Errors are those of
 * settings_read().
 */
enum result settings_reload(int argc, char **argv, char **environment,
			    char ***control, char **error);

/** Frees the arrays of the settings. */
void settings_clear(struct settings *settings);

/**
 * Checks "ip:port" with a numeric address; port 0 is allowed only if
 * @a any_port.
 */
enum result settings_check_address(const char *text, gboolean any_port);

#endif /* SETTINGS_H */
