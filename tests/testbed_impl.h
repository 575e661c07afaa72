#ifndef TESTBED_IMPL_H
#define TESTBED_IMPL_H

/**
 * @file testbed_impl.h
 * Internal structures of the testbed, shared by its source files.
 */

#include <sys/types.h>

#include "testbed.h"

struct tb_addresses;

struct tb_proc {
	struct testbed *tb;
	char *name;
	GPtrArray *argv; /* NULL-terminated once it has been started */
	char *port_file; /* to which the process writes its addresses */
	char *data; /* data folder of a control process, or NULL */
	char *node_file; /* settings of a process on the platform, or NULL */
	char *listen; /* of an agent on the platform, or NULL */
	char *http; /* address, NULL: not known yet */
	pid_t pid; /* 0: not running */
	int exit_code; /* of the last run, -1: ended by a signal */
	int stdin_fd; /* -1: none */
	struct tb_proc *proxy; /* fault proxy in front of it, or NULL */
};

struct testbed {
	struct testbed_opts opts;
	char *bin; /* folder of the test programs */
	char *root; /* build folder */
	char *dir; /* folder of the site's files */
	char *control_list; /* comma-separated control addresses */
	struct tb_addresses *addresses;
	GPtrArray *procs; /* owns all processes in the lists below */
	GPtrArray *controls;
	GPtrArray *entries;
	GPtrArray *agents;
	GPtrArray *standins; /* of each agent, NULL if it has none */
	GPtrArray *notes; /* journal lines of the test itself */
	SoupSession *session;
};

#endif /* TESTBED_IMPL_H */
