#ifndef LOOP_H
#define LOOP_H

/**
 * @file loop.h
 * Host of a node in the daemon: runs the node on one GMainLoop with one timer
 * source, and connects the node to the transport and the log. A node is one
 * process of the site, see node.h.
 */

#include <glib.h>
#include <stdint.h>

#include "node.h"
#include "result.h"
#include "settings.h"

struct loop;

struct loop_opts {
	const char *listen; /* "ip:port", NULL: accepts no connections */
	const char *advertise; /* address for peers, NULL: the bound one */
	const char *name;
	const char *zone;
	uint64_t node_id; /* 0: a random one */
	uint32_t drain_ms; /* time limit of a graceful shutdown */
};

/** Creates a node and its host; the role is attached to loop_node(). */
enum result loop_new(const struct loop_opts *opts, struct loop **loop);
/** Stops timers and connections, so that nothing calls the node any more. */
void loop_close(struct loop *loop);
void loop_free(struct loop *loop);
struct node *loop_node(struct loop *loop);

/** Updates the node's time; to be called before any function of the role. */
void loop_update_time(struct loop *loop);

/**
 * Sets the callbacks of a graceful shutdown: @a stop is called once at its
 * start. The shutdown ends when the node and its connections are idle and
 * @a idle returns true.
 */
void loop_set_drain(struct loop *loop, void (*stop)(void *ctx),
		    bool (*idle)(const void *ctx), void *ctx);
/**
 * Sets the callback for SIGHUP. It is also called every LOOP_RELOAD_MS, as the
 * file with settings (--node-file) may change without a signal.
 */
void loop_set_reload(struct loop *loop, void (*reload)(void *ctx, bool signal),
		     void *ctx);
/**
 * Runs until a graceful shutdown, begun by SIGTERM or SIGINT, has ended.
 * Returns RESULT_TIMEOUT if drain_ms ran out first.
 */
enum result loop_run(struct loop *loop);
/** Ends loop_run() with @a result, after an error that needs a restart. */
void loop_end(struct loop *loop, enum result result);
/** Bytes sent on links to other processes. */
uint64_t loop_bytes_sent(const struct loop *loop);

/** Monotonic time in microseconds; advances while the VM is suspended. */
uint64_t loop_now_us(void);
uint64_t loop_random_u64(void);
#endif /* LOOP_H */
