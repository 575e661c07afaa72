#ifndef TESTBED_H
#define TESTBED_H

/**
 * @file testbed.h
 * Starts the real processes of one small site on loopback, for integration
 * tests, the demo and the benchmark. All functions that wait run the main
 * context, so that generated load continues.
 *
 * A process "on the platform" uses the platform's protocol. It reads its
 * settings from a node file, which the testbed writes for each process. Here
 * the file holds only the addresses of the control processes.
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
	bool proxy_controls; /* a fault proxy for each control process */
	bool proxy_agents; /* a fault proxy for each agent */
	bool platform; /* the processes use the platform's protocol */
	uint32_t grace_s; /* --grace-s of the processes, 0: the default */
	/* --worker-lease-ms of the processes, 0: the default */
	uint32_t worker_lease_ms;
	uint64_t seed; /* of the fault proxies */
};

struct tb_vm_opts {
	const char *zone;
	const char *rack;
	const char *service; /* of an upstream that always runs, NULL: none */
	uint32_t time_ms; /* service time of its requests, 0: 20 ms */
	uint32_t slots; /* its concurrent requests, 0: 8 */
	bool agent_only; /* has no stand-in; doesn't wait for the start */
};

/** Starts the control processes. Finds the binaries beside the test program. */
struct testbed *testbed_new(const struct testbed_opts *opts,
			    const char *program);
/** Kills all processes and removes their files, unless TB_KEEP is set. */
void testbed_free(struct testbed *tb);

/**
 * Starts a control process with an empty disk at an address that the others
 * don't know. Only on the platform.
 */
struct tb_proc *testbed_add_control(struct testbed *tb, const char *zone);
struct tb_proc *testbed_add_entry(struct testbed *tb, const char *zone);
/** Starts a stand-in and its agent; returns the agent. */
struct tb_proc *testbed_add_vm(struct testbed *tb,
			       const struct tb_vm_opts *opts);

/* Capacity of the worker of testbed_add_executor(). */
#define TB_EXECUTOR_CPU_MILLIS 8000
#define TB_EXECUTOR_MEMORY_MIB 16000
#define TB_EXECUTOR_LEASE_MAX_MS 10000 /* longest lease that it accepts */

struct tb_executor_opts {
	const char *zone; /* NULL: veraval */
	const char *label; /* of the worker, NULL: a */
	bool unguarded; /* the worker starts tasks that don't fit */
	uint32_t late_percent; /* of the calls: no answer, may run later */
	/*
	 * Of the starts: the connection is reset, the call may be carried out,
	 * and a copy of the call is refused.
	 */
	uint32_t reset_percent;
	uint32_t malformed_percent; /* of the heartbeats */
	uint32_t odd_percent; /* of the rows of lists: invalid */
	/* Of the calls, for silent_ms after SIGUSR2: no answer, may run late */
	uint32_t silent_percent;
	uint32_t silent_ms;
	bool cut; /* for silent_ms after SIGUSR2 it is cut off from its agent */
	/*
	 * From the end of an incarnation by SIGHUP to the start of the next
	 * one, which calls wait for; 0: calls are refused meanwhile.
	 */
	uint32_t restart_ms;
	/* From such a restart to the first heartbeat, 0: 0.1 s. */
	uint32_t first_heartbeat_ms;
	/*
	 * What becomes of the calls that waited for the restart: "answered",
	 * "held" or "closed" (executed without an answer), NULL: answered.
	 */
	const char *waiting_calls;
};

/** Starts an agent and a stand-in for the platform's worker on its VM. */
struct tb_proc *testbed_add_executor(struct testbed *tb,
				     const struct tb_executor_opts *opts);
/** Starts soak_probe, which writes to the file "probe.journal". */
struct tb_proc *testbed_add_probe(struct testbed *tb);
/** Returns the path of a file in the testbed's folder, to be freed. */
char *testbed_path(struct testbed *tb, const char *name);
/** Returns the lines of all journals and notes, to be unreferenced. */
GPtrArray *testbed_lines(struct testbed *tb);

struct tb_proc *testbed_control(struct testbed *tb, uint32_t i);
struct tb_proc *testbed_entry(struct testbed *tb, uint32_t i);
struct tb_proc *testbed_agent(struct testbed *tb, uint32_t i);
struct tb_proc *testbed_standin(struct testbed *tb, uint32_t i);
uint32_t testbed_nr_vms(const struct testbed *tb);

/** Sends a signal. After a SIGKILL, waits until the process has ended. */
void tb_proc_signal(struct tb_proc *proc, int signal_nr);
/** Restarts an ended process with the same settings. */
void tb_proc_restart(struct tb_proc *proc);
/**
 * Waits for the process to end by itself. Returns its exit code; -1 if a signal
 * ended it or the limit has passed.
 */
int tb_proc_wait(struct tb_proc *proc, uint32_t limit_ms);
/** Returns true and sets the exit code (-1: a signal) if it has ended. */
bool tb_proc_ended(struct tb_proc *proc, int *exit_code);
int tb_proc_pid(const struct tb_proc *proc);
const char *tb_proc_name(const struct tb_proc *proc);
/** Limits the size of files that the running process writes; 0: no limit. */
void tb_proc_limit_files(struct tb_proc *proc, uint64_t bytes);
/**
 * Rewrites the node file of a process on the platform, so that its list of
 * control addresses begins with the control process of index @a first.
 */
void tb_proc_rotate_controls(struct tb_proc *proc, uint32_t first);
/** Returns the log of all incarnations of the process, to be freed. */
char *tb_proc_log(const struct tb_proc *proc);
/** Returns the link address of an agent of testbed_add_executor(). */
const char *tb_proc_listen(const struct tb_proc *proc);
/** Rewrites the node file with a comma-separated list of control addresses. */
void tb_proc_set_controls(struct tb_proc *proc, const char *list);
/** Empties the data folder of a stopped control process. */
void tb_proc_wipe_disk(struct tb_proc *proc);
/** Resources that a process has used since its start. */
struct tb_usage {
	uint64_t cpu_us;
	uint64_t resident_kib; /* now */
	uint64_t link_bytes; /* sent to other processes of the system */
};

struct tb_usage tb_proc_usage(struct tb_proc *proc);
/** Returns a counter from /-/metrics, 0 if there is none of that name. */
uint64_t tb_proc_metric(struct tb_proc *proc, const char *name);
/** Returns the HTTP address of the process, "" until it listens. */
const char *tb_proc_http(struct tb_proc *proc);
/** Sends a command line to the fault proxy in front of the process. */
void tb_proc_fault(struct tb_proc *proc, const char *command);

/** Kills the stand-in and the agent of a VM and notes this for the checker. */
void testbed_kill_vm(struct testbed *tb, uint32_t i);
void testbed_restart_vm(struct testbed *tb, uint32_t i);

/** Runs the operators' tool; returns its exit code and, in *out, its output. */
int testbed_tool(struct testbed *tb, char **out, ...) G_GNUC_NULL_TERMINATED;
/** Writes a file into the testbed's folder; returns its path, to be freed. */
char *testbed_write(struct testbed *tb, const char *name, const char *text);
/** Submits a bundle (configuration) until the site is up and signs it off. */
bool testbed_bundle(struct testbed *tb, const char *text, uint32_t version);

/** Adds a journal line for the checker, preceded by the time. */
void testbed_note(struct testbed *tb, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/** Runs the checker on all journals; prints and counts the violations. */
uint32_t testbed_check(struct testbed *tb, uint64_t zone_grace_ms);
/** Counts the journal lines that contain both texts; @a also may be NULL. */
uint32_t testbed_journal_count(struct testbed *tb, const char *text,
			       const char *also);

void testbed_wait_ms(uint32_t duration_ms);
/**
 * Runs the tool with the arguments until its output contains the text. Returns
 * false if the limit passes first.
 */
bool testbed_wait_tool(struct testbed *tb, const char *text, uint32_t limit_ms,
		       ...) G_GNUC_NULL_TERMINATED;
/** Waits until the process answers GET @a path with 200. */
bool testbed_wait_http(struct tb_proc *proc, const char *path,
		       uint32_t limit_ms);

/* ---- load ---- */

struct tb_load_opts {
	const char *service;
	uint32_t per_second;
	uint32_t deadline_ms; /* of each request, 0: none is sent */
	bool once; /* not repeatable, with an Idempotency-Key */
	const char *prefix; /* of request ids, NULL: "r" */
};

struct tb_load_stats {
	uint32_t sent;
	uint32_t answered; /* 200 */
	uint32_t not_run; /* refused, and certainly not run */
	uint32_t unknown; /* refused or failed, and may have run */
	uint32_t failed; /* no answer, or an answer of another kind */
	uint32_t wrong; /* answered with another request's answer */
	uint32_t p50_us; /* latency of answered requests */
	uint32_t p99_us;
	uint32_t max_us;
};

struct tb_load;

/** Sends requests at a constant rate to the entries in turn, until stopped. */
struct tb_load *tb_load_start(struct testbed *tb,
			      const struct tb_load_opts *opts);
/** Stops sending, waits for the answers and frees the load. */
struct tb_load_stats tb_load_stop(struct tb_load *load);

/**
 * Keeps @a nr_open requests to "ip:port" in flight, for @a duration_ms or until
 * @a nr_requests have been sent; 0 means no limit.
 */
struct tb_load_stats tb_load_closed_loop(struct testbed *tb, const char *http,
					 const char *path, uint32_t nr_open,
					 uint32_t nr_requests,
					 uint32_t duration_ms);

/** Sends one request; returns the HTTP status, 0 if there was no answer. */
guint tb_request(struct tb_proc *entry, const char *method, const char *path,
		 const char *key, const char *body, char **answer);

#endif /* TESTBED_H */
