#ifndef TESTBED_IMPL_H
#define TESTBED_IMPL_H

/**
 * @file testbed_impl.h
 * Insides of the testbed, for its own files.
 */

#include <sys/types.h>

#include "testbed.h"

struct tb_addresses;

struct tb_proc {
	struct testbed *tb;
	char *name;
	GPtrArray *argv;
	char *port_file;
	char *data;
	char *node_file;
	char *listen; /* of an agent on the platform */
	char *http;
	pid_t pid; /* 0: not running */
	int exit_code;
	int stdin_fd; /* -1: none */
	struct tb_proc *proxy;
};

struct testbed {
	struct testbed_opts opts;
	char *bin; /* folder of the test programs */
	char *root; /* build folder */
	char *dir;
	char *control_list;
	struct tb_addresses *addresses;
	GPtrArray *procs; /* owns all */
	GPtrArray *controls;
	GPtrArray *entries;
	GPtrArray *agents;
	GPtrArray *standins;
	GPtrArray *notes;
	SoupSession *session;
};

#endif /* TESTBED_IMPL_H */
