#ifndef VHOST_H
#define VHOST_H

/**
 * @file vhost.h
 * A simulation of several nodes and their connections in one process under
 * virtual time, which is deterministic for a seed. Connections are reliable and
 * ordered like TCP, where packet loss only delays messages, unless other faults
 * are set on the path.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "node.h"

struct vhost;
struct vmachine;

/** One direction of the network path between two machines. */
struct vpath {
	uint32_t delay_us;
	uint32_t jitter_us; /* added to delay_us, uniform from 0 */
	uint32_t stall_ppm; /* share of messages delayed by stall_us */
	uint32_t stall_us;
	uint32_t drop_ppm; /* share of messages lost, unlike with TCP */
	uint32_t duplicate_ppm; /* share of messages that arrive twice */
	bool unordered; /* messages may overtake each other */
	bool cut; /* nothing arrives; connections stay open, dials fail */
};

struct vhost *vhost_new(uint64_t seed);
void vhost_free(struct vhost *vhost);
uint64_t vhost_now_us(const struct vhost *vhost);
uint64_t vhost_random(struct vhost *vhost);
/** Prints log lines to standard error while set. */
void vhost_set_verbose(struct vhost *vhost, bool verbose);
/** Returns the path used where none is set; its initial delay is 500 us. */
struct vpath *vhost_default_path(struct vhost *vhost);

/** Adds a machine that listens at @a address, "" if it doesn't listen. */
struct vmachine *vhost_add(struct vhost *vhost, const char *name,
			   const char *zone, const char *address);
/**
 * Creates a node without a role on the machine; with a @a node_id of 0, under a
 * random one. The test attaches a role, then calls vhost_start().
 */
struct node *vhost_boot(struct vmachine *machine, uint64_t node_id);
void vhost_start(struct vmachine *machine);
/** Kills the process; its peers see their connections closed. */
void vhost_kill(struct vmachine *machine);
/** Pauses or resumes a process; its events wait meanwhile. */
void vhost_pause(struct vmachine *machine, bool paused);
/** Returns the running node, NULL after vhost_kill(). */
struct node *vhost_node(struct vmachine *machine);
/** Begins a graceful shutdown. */
void vhost_shutdown(struct vmachine *machine);

/** Returns the path from one machine to another, on which faults can be set. */
struct vpath *vhost_path(struct vmachine *from, struct vmachine *to);
/** Starts or ends a partition between two machines, in both directions. */
void vhost_cut(struct vmachine *a, struct vmachine *b, bool cut);
/** Stops all messages on the open connections of both; new ones work. */
void vhost_silence(struct vmachine *a, struct vmachine *b);

/** Calls fn() after @a delay_us, unless the machine's node was killed. */
void vhost_after(struct vmachine *machine, uint64_t delay_us,
		 void (*fn)(void *data), void *data);

/** Handles all events and timers of the next time span. */
void vhost_run_us(struct vhost *vhost, uint64_t duration_us);
void vhost_run_ms(struct vhost *vhost, uint64_t duration_ms);
/** Runs until done() is true; returns false after @a limit_ms. */
bool vhost_run_until(struct vhost *vhost, bool (*done)(void *data), void *data,
		     uint64_t limit_ms);

/** Returns the number of log lines so far that contain @a text. */
uint32_t vhost_log_count(const struct vhost *vhost, const char *text);

/** Returns true if a log line so far matches @a pattern ('*', '?'). */
bool vhost_log_has(const struct vhost *vhost, const char *pattern);

#endif /* VHOST_H */
