#ifndef SETTINGS_IMPL_H
#define SETTINGS_IMPL_H

/**
 * @file settings_impl.h
 * What settings.c, the settings and their sources, and settings_value.c, the
 * parsing of values, share. All errors are one-line messages that name the
 * flag, variable or key that set the value.
 */

#include "settings.h"

enum setting_index {
	SET_ROLE,
	SET_NAME,
	SET_ZONE,
	SET_RACK,
	SET_LISTEN,
	SET_ADVERTISE,
	SET_HTTP,
	SET_CONTROL,
	SET_DATA,
	SET_WORKER,
	SET_CPU_MILLIS,
	SET_MEMORY_MIB,
	SET_ACCELERATORS,
	SET_LOG_LEVEL,
	SET_PORT_FILE,
	SET_DRAIN_MS,
	SET_MAX_CONNECTIONS,
	SET_NODE_FILE,
	SET_FRONT_END,
	SET_CONTROL_PORT,
	SET_READY,
	SET_ZONES,
	SET_BOOTSTRAP,
	SET_WORKER_LEASE_MS,
	SET_WORKER_STOP_MS,
	SET_WORKER_SAVE_S,
	SET_WORKER_RESTORE_MS,
	SET_LOAD_POLICY,
	SET_GRACE_S,
	SET_REPLICA_LOSSES,
	SET_ADVISER,
	SET_METRICS,
	NR_SETTINGS,
};

struct setting_values {
	char *value[NR_SETTINGS];
	/* flag, variable or key of the file that set the value, interned */
	const char *source[NR_SETTINGS];
	const char *unexpected; /* first argument that is not a flag */
};

/** Sets @a error to the formatted message and returns @a res. */
enum result settings_fail(char **error, enum result res, const char *format,
			  ...) G_GNUC_PRINTF(3, 4);

/** Returns what set the value, or the setting's name if nothing has. */
const char *values_source(const struct setting_values *values, size_t i);

/**
 * Read the value of a setting, or its default. RESULT_MALFORMED: it can't be
 * parsed; RESULT_OUT_OF_RANGE: it is too long or too large.
 */
enum result values_text(const struct setting_values *values, size_t i, char *to,
			size_t capacity, char **error);
enum result values_number(const struct setting_values *values, size_t i,
			  uint32_t max, uint32_t *to, char **error);
enum result values_address(const struct setting_values *values, size_t i,
			   gboolean any_port, char *to, char **error);
/**
 * Reads a number of seconds with up to 3 decimals, like "0.5", as milliseconds.
 */
enum result values_decimal_s(const struct setting_values *values, size_t i,
			     uint32_t max_ms, uint32_t *to_ms, char **error);
/** Reads one of @a choices, NULL-terminated, as its index. */
enum result values_choice(const struct setting_values *values, size_t i,
			  const char *const *choices, uint32_t *to,
			  char **error);

#endif /* SETTINGS_IMPL_H */
