#ifndef SIM_H
#define SIM_H

/**
 * @file sim.h
 * A simulation of several nodes and their connections in one process under
 * virtual time, which is deterministic for a seed. Connections are reliable and
 * ordered like TCP, where packet loss only delays messages, unless other faults
 * are set on the path.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "node.h"

struct sim;
struct sim_machine;

/** One direction of the network path between two machines. */
struct sim_path {
	uint32_t delay_us;
	uint32_t jitter_us; /* added to delay_us, uniform from 0 */
	uint32_t stall_ppm; /* share of messages delayed by stall_us */
	uint32_t stall_us;
	uint32_t drop_ppm; /* share of messages lost, unlike with TCP */
	uint32_t duplicate_ppm; /* share of messages that arrive twice */
	bool unordered; /* messages may overtake each other */
	bool cut; /* nothing arrives; connections stay open, dials fail */
};

struct sim *sim_new(uint64_t seed);
void sim_free(struct sim *sim);
uint64_t sim_now_us(const struct sim *sim);
uint64_t sim_random(struct sim *sim);
/** Prints log lines to standard error while set. */
void sim_set_verbose(struct sim *sim, bool verbose);
/** Returns the path of pairs for which none is set; delay_us starts at 500. */
struct sim_path *sim_default_path(struct sim *sim);

/** Adds a machine that listens at @a address, "" if it doesn't listen. */
struct sim_machine *sim_add_machine(struct sim *sim, const char *name,
				    const char *zone, const char *address);
/**
 * Creates a node without a role on the machine; a @a node_id of 0 gives it a
 * random node_id. The test attaches a role, then calls sim_start().
 */
struct node *sim_boot(struct sim_machine *machine, uint64_t node_id);
void sim_start(struct sim_machine *machine);
/** Kills the process; its peers see their connections closed. */
void sim_kill(struct sim_machine *machine);
/** Pauses or resumes a process; its events wait until it is resumed. */
void sim_pause(struct sim_machine *machine, bool paused);
/** Returns the running node, NULL after sim_kill(). */
struct node *sim_node(struct sim_machine *machine);
/** Begins a graceful shutdown. */
void sim_shutdown(struct sim_machine *machine);

/** Returns the path from one machine to another, on which faults can be set. */
struct sim_path *sim_path_between(struct sim_machine *from,
				  struct sim_machine *to);
/** Starts or ends a partition between two machines, in both directions. */
void sim_partition(struct sim_machine *a, struct sim_machine *b, bool cut);
/** Stops all messages on the open connections of the two; new ones work. */
void sim_blackhole(struct sim_machine *a, struct sim_machine *b);

/** Calls fn() after @a delay_us, unless the machine's node was killed. */
void sim_call_after(struct sim_machine *machine, uint64_t delay_us,
		    void (*fn)(void *data), void *data);

/** Handles all events and timers of the next time span. */
void sim_run_us(struct sim *sim, uint64_t duration_us);
void sim_run_ms(struct sim *sim, uint64_t duration_ms);
/** Runs until done() is true; returns false after @a limit_ms. */
bool sim_run_until(struct sim *sim, bool (*done)(void *data), void *data,
		   uint64_t limit_ms);

/** Returns the number of log lines so far that contain @a text. */
uint32_t sim_log_count(const struct sim *sim, const char *text);

/** Returns true if a log line so far matches @a pattern ('*', '?'). */
bool sim_log_has(const struct sim *sim, const char *pattern);

/** Returns the number of log lines so far that match the regular expression. */
uint32_t sim_log_matches(const struct sim *sim, const char *regex);

#endif /* SIM_H */
