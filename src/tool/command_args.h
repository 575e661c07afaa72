#ifndef COMMAND_ARGS_H
#define COMMAND_ARGS_H

/** @file command_args.h Parsed command line and commands of the tool. */

#include <stdbool.h>
#include <stdint.h>

#include "result.h"

struct client;

struct command_args {
	const char *control; /* comma-separated HTTP addresses, NULL: not set */
	uint32_t timeout_ms; /* for one command */
	bool json; /* print JSON instead of tables */
	const char *by; /* operator who makes the change, or NULL */
	const char *key; /* idempotency key of a submitted job, or NULL */
	const char *digest; /* of the bundle that is signed off, or NULL */
	uint64_t version; /* of that bundle, 0: not given */
	const char *against; /* file or version to compare with, or NULL */
	uint64_t job_id; /* lists tasks of this job only, 0: of all jobs */
	const char **rest; /* positional arguments after object and verb */
	uint32_t nr_rest;
};

/** One subcommand of the tool, as listed in commands.c. */
struct command {
	const char *object; /* first word, such as "zone" */
	const char *verb; /* second word, such as "out"; NULL: there is none */
	const char *args; /* as shown by --help */
	const char *help;
	uint32_t min_rest; /* number of positional arguments */
	uint32_t max_rest;
	enum result (*run)(const struct command *command,
			   const struct command_args *args);
};

/** Returns all commands; the last entry has a NULL object. */
const struct command *commands_table(void);

/**
 * Prints an error and returns @a res. Line breaks and control sequences in the
 * message are not replaced.
 */
enum result command_fail(enum result res, const char *message);

/**
 * Creates the client of the control replicas; invalid addresses show when it
 * connects. Prints an error if there is no address.
 */
enum result command_client(const struct command_args *args,
			   struct client **client);

#endif /* COMMAND_ARGS_H */
