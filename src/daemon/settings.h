#ifndef SETTINGS_H
#define SETTINGS_H

/**
 * @file settings.h
 * Settings of masticreachd. Each one is a flag and an environment variable
 * (MASTICREACH_ and the flag's name in capitals), and may stand in the node
 * file; flags take precedence over variables, and these over the file.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "msg_link.h"
#include "result.h"
#include "tunables.h"

enum log_level {
	LOG_NONE = 0,
	LOG_EVENTS = 1, /* everything except decision lines */
	LOG_DECISIONS = 2, /* also one line for each decision */
};

/** Whose protocols a process speaks towards callers, workers and operators. */
enum front_end {
	FRONT_END_OWN = 0,
	FRONT_END_PLATFORM = 1,
};

struct settings {
	enum node_role role;
	enum front_end front_end;
	char node_file[PATH_BYTES]; /* "": none */
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char rack[NAME_BYTES];
	char listen[ADDRESS_BYTES]; /* "" for an entry that only dials */
	char advertise[ADDRESS_BYTES]; /* "": others dial listen */
	char http[ADDRESS_BYTES];
	char **control; /* NULL-terminated, owned */
	uint16_t control_port; /* 0: the ports in control */
	char metrics[ADDRESS_BYTES]; /* of a server for counters only, or "" */
	char ready[ADDRESS_BYTES]; /* of a server for readiness only, or "" */
	char adviser[ADDRESS_BYTES]; /* "": there is none */
	char **zones; /* NULL-terminated, owned; may be empty */
	bool bootstrap; /* a new group may be formed */
	uint32_t worker_lease_ms; /* longest lease that workers take */
	uint32_t replica_losses; /* control replicas, 0: by the list */
	char data[PATH_BYTES];
	char worker[ADDRESS_BYTES]; /* "": no tasks on this VM */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	enum log_level log_level;
	char port_file[PATH_BYTES];
	uint32_t drain_ms;
	uint32_t max_connections;
};

/** One setting, as documented in docs/settings.md. */
struct setting {
	const char *name; /* of the flag, without dashes */
	const char *arg; /* metavariable */
	const char *default_value; /* default value, "" if there is none */
	const char *roles; /* roles that take it, "all" or a list */
	const char *required; /* roles that need it, "" if none does */
	const char *help;
};

/** Returns the table of all settings. */
const struct setting *settings_table(size_t *nr);

/** Returns a new string with the name of the setting's variable. */
char *setting_variable(const struct setting *setting);

/**
 * Reads flags and environment. --help and --version print and exit. On a fault
 * @a error is set to a new one-line message. The result is RESULT_USAGE for an
 * unknown, missing or contradictory setting, RESULT_MALFORMED for a value that
 * can't be parsed and RESULT_OUT_OF_RANGE for one outside its limits.
 */
enum result settings_read(struct settings *settings, int argc, char **argv,
			  char **environment, char **error);

/**
 * Reads the node file of settings that are in force again, over the flags and
 * variables of the start. Takes only what may change while the process runs:
 * the control addresses. Returns RESULT_OK and sets @a control to a new array,
 * or an error as settings_read().
 */
enum result settings_reload(int argc, char **argv, char **environment,
			    char ***control, char **error);

/** Releases what the settings own. */
void settings_clear(struct settings *settings);

/**
 * Checks "ip:port" with a numeric address; port 0 is allowed only if
 * @a any_port.
 */
enum result settings_check_address(const char *text, gboolean any_port);

#endif /* SETTINGS_H */
