#ifndef COMMAND_ARGS_H
#define COMMAND_ARGS_H

/** @file command_args.h What the command line of the tool says. */

#include <stdbool.h>
#include <stdint.h>

#include "result.h"

struct client;

struct command_args {
	const char *control; /* comma-separated HTTP addresses */
	uint32_t timeout_ms;
	bool json;
	const char *by; /* who makes the change */
	const char *key; /* of a submitted job */
	const char *digest;
	uint64_t version; /* 0: not given */
	uint64_t job_id; /* 0: not given */
	const char **rest; /* arguments of the command */
	uint32_t nr_rest;
};

/** One subcommand; the table of all is in commands.c. */
struct command {
	const char *object; /* "zone" */
	const char *verb; /* "out", NULL if the object has none */
	const char *args; /* as shown by --help */
	const char *help;
	uint32_t min_rest;
	uint32_t max_rest;
	enum result (*run)(const struct command *command,
			   const struct command_args *args);
};

/** Returns the table; the last entry has no object. */
const struct command *commands_table(void);

#endif /* COMMAND_ARGS_H */
