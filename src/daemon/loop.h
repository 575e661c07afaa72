#ifndef LOOP_H
#define LOOP_H

/**
 * @file loop.h
 * The daemon's host of a node: one GMainLoop, one timer source, a transport
 * and the log on standard error.
 */

#include <glib.h>
#include <stdint.h>

#include "node.h"
#include "result.h"

struct loop;

struct loop_opts {
	const char *listen; /* "ip:port", NULL for a node that only dials */
	const char *name;
	const char *zone;
	uint64_t node_id; /* 0: draw one */
};

/** Makes a node and its host; the role is attached with loop_node(). */
enum result loop_new(const struct loop_opts *opts, struct loop **loop);
void loop_free(struct loop *loop);
struct node *loop_node(struct loop *loop);

/** Sets the node's time; to be called before a role's own entry points. */
void loop_enter(struct loop *loop);
/** Rearms the timer source after the node may have set timers. */
void loop_leave(struct loop *loop);

/** Runs until a graceful shutdown, begun by SIGTERM or SIGINT, has ended. */
void loop_run(struct loop *loop);

/** Monotonic time in microseconds. */
uint64_t loop_now_us(void);
uint64_t loop_random_u64(void);
/** Writes one line with the time in front to standard error. */
void loop_log_line(const char *line);

#endif /* LOOP_H */
