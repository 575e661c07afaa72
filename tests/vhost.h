#ifndef VHOST_H
#define VHOST_H

/**
 * @file vhost.h
 * A host of several nodes in one process under virtual time, deterministic
 * from its seed. Connections are reliable and ordered like TCP: loss shows as a
 * stall, unless a fault is set on the path.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "node.h"

struct vhost;
struct vmachine;

/** One direction of the path between two machines. */
struct vpath {
	uint32_t delay_us;
	uint32_t jitter_us;
	uint32_t stall_ppm; /* share of messages delayed by stall_us */
	uint32_t stall_us;
	uint32_t drop_ppm; /* share lost, which TCP itself never does */
	uint32_t duplicate_ppm;
	bool unordered;
	bool cut; /* nothing arrives, connections stay open, dials fail */
};

struct vhost *vhost_new(uint64_t seed);
void vhost_free(struct vhost *vhost);
uint64_t vhost_now_us(const struct vhost *vhost);
uint64_t vhost_random(struct vhost *vhost);
/** Prints log lines to standard error while set. */
void vhost_set_verbose(struct vhost *vhost, bool verbose);
/** Path used where none is set; its initial delay is 500 us. */
struct vpath *vhost_default_path(struct vhost *vhost);

/** Adds a machine that listens at @a address ("" if it only dials). */
struct vmachine *vhost_add(struct vhost *vhost, const char *name,
			   const char *zone, const char *address);
/**
 * Makes a node without a role on the machine; @a node_id 0 draws one. The test
 * attaches a role, then calls vhost_start().
 */
struct node *vhost_boot(struct vmachine *machine, uint64_t node_id);
void vhost_start(struct vmachine *machine);
/** Kills the process at once; peers see their connections closed. */
void vhost_kill(struct vmachine *machine);
/** Pauses or resumes a process: events wait for it. */
void vhost_pause(struct vmachine *machine, bool paused);
/** The running node, NULL after vhost_kill(). */
struct node *vhost_node(struct vmachine *machine);
/** Begins a graceful shutdown. */
void vhost_shutdown(struct vmachine *machine);

/** The path from one machine to another, for faults; both directions exist. */
struct vpath *vhost_path(struct vmachine *from, struct vmachine *to);
/** Sets or lifts a cut in both directions. */
void vhost_cut(struct vmachine *a, struct vmachine *b, bool cut);
/** The open connections between both go silent for good; new ones work. */
void vhost_silence(struct vmachine *a, struct vmachine *b);

/** Calls fn after @a delay_us unless the node of @a machine has died by then.
 */
void vhost_after(struct vmachine *machine, uint64_t delay_us,
		 void (*fn)(void *data), void *data);

void vhost_run_us(struct vhost *vhost, uint64_t duration_us);
void vhost_run_ms(struct vhost *vhost, uint64_t duration_ms);
/** Runs until done() is true; returns false after @a limit_ms. */
bool vhost_run_until(struct vhost *vhost, bool (*done)(void *data), void *data,
		     uint64_t limit_ms);

/** Number of log lines so far whose text contains @a text. */
uint32_t vhost_log_count(const struct vhost *vhost, const char *text);

/** Returns true if a log line so far matches @a pattern, with '*' and '?'. */
bool vhost_log_has(const struct vhost *vhost, const char *pattern);

#endif /* VHOST_H */
