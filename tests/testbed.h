#ifndef TESTBED_H
#define TESTBED_H

/**
 * @file testbed.h
 * Real processes of one small site on loopback, for integration tests, the demo
 * and the bench. Waiting runs the main context, so that load keeps flowing.
 */

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#define TB_MAX_CONTROLS 5

struct testbed;
struct tb_proc;

struct testbed_opts {
	const char *name;
	uint32_t nr_controls;
	uint32_t cpu_millis; /* of each VM */
	uint32_t memory_mib;
	uint32_t accelerators;
	bool proxy_controls; /* a fault proxy in front of each control VM */
	bool proxy_agents; /* and of each agent */
	bool platform; /* the processes speak the platform's protocol */
	uint32_t grace_s; /* given to the processes, 0: not */
	uint64_t seed;
};

struct tb_vm_opts {
	const char *zone;
	const char *rack;
	const char *service; /* of a permanently running upstream, or NULL */
	uint32_t time_ms; /* of one request there */
	uint32_t slots; /* 0: 8 */
	bool agent_only; /* no stand-in; the start is not waited for */
};

/** Starts the control processes. Binaries are looked up beside the program. */
struct testbed *testbed_new(const struct testbed_opts *opts,
			    const char *program);
/** Ends every process and removes the files; keeps them if TB_KEEP is set. */
void testbed_free(struct testbed *tb);

struct tb_proc *testbed_add_entry(struct testbed *tb, const char *zone);
/** Starts a stand-in and its agent; returns the agent. */
struct tb_proc *testbed_add_vm(struct testbed *tb,
			       const struct tb_vm_opts *opts);

struct tb_executor_opts {
	const char *zone; /* NULL: veraval */
	uint32_t late_percent; /* of the orders: no answer, or carried out late
				*/
	uint32_t malformed_percent; /* of the reports */
	uint32_t odd_percent; /* of the rows of lists: can't be read */
};

/** Starts an agent and, beside it, the stand-in of the platform's worker. */
struct tb_proc *testbed_add_executor(struct testbed *tb,
				     const struct tb_executor_opts *opts);
/** Starts soak_probe, which writes to "probe.journal". */
struct tb_proc *testbed_add_probe(struct testbed *tb);
/** Returns the path of a file in the testbed's folder; free it. */
char *testbed_path(struct testbed *tb, const char *name);
/** Returns the lines of all journals by time; free with g_ptr_array_unref(). */
GPtrArray *testbed_lines(struct testbed *tb);

struct tb_proc *testbed_control(struct testbed *tb, uint32_t i);
struct tb_proc *testbed_entry(struct testbed *tb, uint32_t i);
struct tb_proc *testbed_agent(struct testbed *tb, uint32_t i);
struct tb_proc *testbed_standin(struct testbed *tb, uint32_t i);
uint32_t testbed_nr_vms(const struct testbed *tb);

/** Sends a signal; SIGKILL also waits for the end. */
void tb_proc_signal(struct tb_proc *proc, int signal_nr);
/** Starts an ended process again with the same settings. */
void tb_proc_restart(struct tb_proc *proc);
/** Waits for the process to end by itself; returns its exit code or -1. */
int tb_proc_wait(struct tb_proc *proc, uint32_t limit_ms);
/** Returns true, and the exit code or -1, once the process has ended. */
bool tb_proc_ended(struct tb_proc *proc, int *exit_code);
int tb_proc_pid(const struct tb_proc *proc);
const char *tb_proc_name(const struct tb_proc *proc);
/** Bounds the files that the running process can write; 0: no bound. */
void tb_proc_limit_files(struct tb_proc *proc, uint64_t bytes);
/**
 * Rewrites the node file of a process of the platform: it names the control VMs
 * in another order, from the one with this index on.
 */
void tb_proc_rotate_controls(struct tb_proc *proc, uint32_t first);
/** What the process has logged so far, over all its lives; to be freed. */
char *tb_proc_log(const struct tb_proc *proc);
/** The address for links, of an agent. */
const char *tb_proc_listen(const struct tb_proc *proc);
/** Writes other control addresses, in a comma list, to the node file. */
void tb_proc_set_controls(struct tb_proc *proc, const char *list);
/** Empties the data folder of a stopped control process. */
void tb_proc_wipe_disk(struct tb_proc *proc);
/** What a process has used so far. */
struct tb_usage {
	uint64_t cpu_us;
	uint64_t resident_kib;
	uint64_t link_bytes; /* sent to other processes of the system */
};

struct tb_usage tb_proc_usage(struct tb_proc *proc);
/** Returns a counter of /-/metrics, 0 if it is not there. */
uint64_t tb_proc_metric(struct tb_proc *proc, const char *name);
/** Returns the process's HTTP address, "" before it has one. */
const char *tb_proc_http(struct tb_proc *proc);
/** Sends a command line to the fault proxy in front of the process. */
void tb_proc_fault(struct tb_proc *proc, const char *command);

/** Kills stand-in and agent of a VM and notes the death for the checker. */
void testbed_kill_vm(struct testbed *tb, uint32_t i);
void testbed_restart_vm(struct testbed *tb, uint32_t i);

/** Runs the operators' tool; returns its exit code, *out its output. */
int testbed_tool(struct testbed *tb, char **out, ...) G_GNUC_NULL_TERMINATED;
/** Writes a bundle document and returns its path; free it. */
char *testbed_write(struct testbed *tb, const char *name, const char *text);
/** Submits and signs a bundle off, retrying until the site is up. */
bool testbed_bundle(struct testbed *tb, const char *text, uint32_t version);

/** Adds a line for the checker, with the time in front. */
void testbed_note(struct testbed *tb, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/** Runs the checker over all journals; prints and counts the violations. */
uint32_t testbed_check(struct testbed *tb, uint64_t zone_grace_ms);
/** Counts journal lines that contain both texts (the second may be NULL). */
uint32_t testbed_journal_count(struct testbed *tb, const char *text,
			       const char *also);

void testbed_wait_ms(uint32_t duration_ms);
/** Waits until the tool's output for the words holds the text. */
bool testbed_wait_tool(struct testbed *tb, const char *text, uint32_t limit_ms,
		       ...) G_GNUC_NULL_TERMINATED;
/** Waits until GET path on the process answers 200. */
bool testbed_wait_http(struct tb_proc *proc, const char *path,
		       uint32_t limit_ms);

/* ---- load ---- */

struct tb_load_opts {
	const char *service;
	uint32_t per_second;
	uint32_t deadline_ms;
	bool once; /* not repeatable, with an Idempotency-Key */
	const char *prefix; /* of request ids */
};

struct tb_load_stats {
	uint32_t sent;
	uint32_t answered; /* 200 */
	uint32_t not_run;
	uint32_t unknown;
	uint32_t failed; /* no answer, or one that is none of the above */
	uint32_t wrong; /* another request's answer */
	uint32_t p50_us;
	uint32_t p99_us;
	uint32_t max_us;
};

struct tb_load;

/** Sends requests to the entries in turn until it is stopped. */
struct tb_load *tb_load_start(struct testbed *tb,
			      const struct tb_load_opts *opts);
/** Stops sending, waits for the answers and frees the load. */
struct tb_load_stats tb_load_stop(struct tb_load *load);

/**
 * Sends requests in turn, @a nr_open at a time, to "ip:port" for a while or
 * until @a nr_requests are answered; 0 means no bound.
 */
struct tb_load_stats tb_load_closed_loop(struct testbed *tb, const char *http,
					 const char *path, uint32_t nr_open,
					 uint32_t nr_requests,
					 uint32_t duration_ms);

/** One request; returns the HTTP status, 0 without an answer. */
guint tb_request(struct tb_proc *entry, const char *method, const char *path,
		 const char *key, const char *body, char **answer);

#endif /* TESTBED_H */
