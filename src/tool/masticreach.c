/** @file masticreach.c The operators' tool: command line and exit codes. */

#include <argp.h>
#include <glib.h>
#include <locale.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command_args.h"

#define DEFAULT_TIMEOUT_MS 15000

enum option_key {
	OPT_CONTROL = 256, /* not a character: there are no short options */
	OPT_TIMEOUT,
	OPT_JSON,
	OPT_BY,
	OPT_KEY,
	OPT_DIGEST,
	OPT_BUNDLE_VERSION,
	OPT_JOB,
	OPT_AGAINST,
};

static const struct argp_option options[] = {
	{ "control", OPT_CONTROL, "IP:PORT,...", 0,
	  "HTTP addresses of the control replicas (MASTICREACH_CONTROL_HTTP)",
	  0 },
	{ "timeout-ms", OPT_TIMEOUT, "MS", 0,
	  "time limit, repeats included (MASTICREACH_TIMEOUT_MS, 15000)", 0 },
	{ "json", OPT_JSON, NULL, 0, "print JSON", 0 },
	{ "by", OPT_BY, "NAME", 0, "who makes the change", 0 },
	{ "key", OPT_KEY, "KEY", 0,
	  "key of a job; submitted again with it, it is the same job", 0 },
	{ "digest", OPT_DIGEST, "HEX", 0, "digest of the bundle", 0 },
	{ "bundle-version", OPT_BUNDLE_VERSION, "N", 0, "version of the bundle",
	  0 },
	{ "job", OPT_JOB, "ID", 0, "only tasks of this job", 0 },
	{ "against", OPT_AGAINST, "VERSION|FILE", 0,
	  "compare with the version in force or with a file", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

static uint64_t parse_number(struct argp_state *state, const char *text,
			     uint64_t max)
{
	guint64 number = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, max, &number, NULL))
		argp_error(state, "\"%s\" is not a number in range", text);
	return number;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct command_args *args = state->input;

	switch (key) {
	case OPT_CONTROL:
		args->control = arg;
		return 0;
	case OPT_TIMEOUT:
		args->timeout_ms =
			(uint32_t)parse_number(state, arg, UINT32_MAX);
		return 0;
	case OPT_JSON:
		args->json = true;
		return 0;
	case OPT_BY:
		args->by = arg;
		return 0;
	case OPT_KEY:
		args->key = arg;
		return 0;
	case OPT_DIGEST:
		args->digest = arg;
		return 0;
	case OPT_BUNDLE_VERSION:
		args->version = parse_number(state, arg, G_MAXINT64);
		return 0;
	case OPT_JOB:
		args->job_id = parse_number(state, arg, G_MAXINT64);
		return 0;
	case OPT_AGAINST:
		args->against = arg;
		return 0;
	case ARGP_KEY_ARG:
		args->rest[args->nr_rest++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Appends the list of commands to the help text. */
static char *help_filter(int key, const char *text, void *input)
{
	GString *help;

	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	help = g_string_new("Commands:\n");
	for (const struct command *c = commands_table(); c->object; c++)
		g_string_append_printf(help, "  %s %s %s\n      %s\n",
				       c->object, c->verb ? c->verb : "",
				       c->args, c->help);
	g_string_append(help, "\nExit codes are the result codes in "
			      "docs/errors.md.");
	/* argp passes the text to free(), which g_free() uses as well. */
	return g_string_free(help, FALSE);
}

static const struct command *find_command(struct command_args *args)
{
	for (const struct command *c = commands_table(); c->object; c++) {
		uint32_t words = c->verb ? 2 : 1;

		if (args->nr_rest < words ||
		    strcmp(args->rest[0], c->object) != 0 ||
		    (c->verb && strcmp(args->rest[1], c->verb) != 0))
			continue;
		args->rest += words;
		args->nr_rest -= words;
		return c;
	}
	return NULL;
}

static uint32_t default_timeout_ms(void)
{
	const char *text = getenv("MASTICREACH_TIMEOUT_MS");
	guint64 number = 0;

	if (!text || !text[0])
		return DEFAULT_TIMEOUT_MS;
	if (!g_ascii_string_to_unsigned(text, 10, 1, UINT32_MAX, &number,
					NULL)) {
		fprintf(stderr,
			"masticreach: MASTICREACH_TIMEOUT_MS is malformed\n");
		exit(RESULT_MALFORMED);
	}
	return (uint32_t)number;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "COMMAND [ARG...]",
		.doc = "Controls a masticreach site.\vx",
		.help_filter = help_filter,
	};
	struct command_args args = { 0 };
	const char **words = g_new0(const char *, (gsize)argc + 1);
	const struct command *command;
	enum result res = RESULT_USAGE;

	setlocale(LC_ALL, "");
	argp_program_version = "masticreach " MASTICREACH_VERSION;
	argp_err_exit_status = RESULT_USAGE;
	args.rest = words;
	args.control = getenv("MASTICREACH_CONTROL_HTTP");
	args.timeout_ms = default_timeout_ms();
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	command = find_command(&args);
	if (!command)
		fprintf(stderr,
			"masticreach: usage: no such command; see --help\n");
	else if (args.nr_rest < command->min_rest ||
		 args.nr_rest > command->max_rest)
		fprintf(stderr, "masticreach: usage: masticreach %s %s %s\n",
			command->object, command->verb ? command->verb : "",
			command->args);
	else
		res = command->run(command, &args);
	g_free(words);
	return res;
}
