#ifndef CONFIG_CHECK_COMMAND_H
#define CONFIG_CHECK_COMMAND_H

/** @file config_check_command.h The command "config check". */

#include "command_args.h"

/**
 * Checks the bundle in a file, compares it if args->against is set, and prints
 * one line for each finding. Sends no change. Returns RESULT_OK if there are no
 * faults, RESULT_FINDINGS if there are, and another code if one of the two
 * bundles can't be read.
 */
enum result config_check_run(const struct command *command,
			     const struct command_args *args);

#endif /* CONFIG_CHECK_COMMAND_H */
