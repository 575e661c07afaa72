#ifndef LOOP_H
#define LOOP_H

/**
 * @file loop.h
 * The daemon's host of a node: one GMainLoop, one timer source, a transport
 * and the log.
 */

#include <glib.h>
#include <stdint.h>

#include "node.h"
#include "result.h"
#include "settings.h"

struct loop;

struct loop_opts {
	const char *listen; /* "ip:port", NULL for a node that only dials */
	const char *advertise; /* what others dial, NULL: the bound address */
	const char *name;
	const char *zone;
	uint64_t node_id; /* 0: draw one */
	uint32_t drain_ms; /* time limit of a graceful shutdown */
};

/** Makes a node and its host; the role is attached with loop_node(). */
enum result loop_new(const struct loop_opts *opts, struct loop **loop);
/** Ends timers and connections: nothing calls the node from now on. */
void loop_close(struct loop *loop);
void loop_free(struct loop *loop);
struct node *loop_node(struct loop *loop);

/** Sets the node's time; to be called before a role's own entry points. */
void loop_update_time(struct loop *loop);

/**
 * Sets what takes part in a graceful shutdown besides the node: @a stop is
 * called once at its start, and it ends when @a idle is true as well.
 */
void loop_set_drain(struct loop *loop, void (*stop)(void *ctx),
		    bool (*idle)(const void *ctx), void *ctx);
/**
 * Sets what SIGHUP calls; it is also called every LOOP_RELOAD_MS, as a file of
 * settings may change without a signal.
 */
void loop_set_reload(struct loop *loop, void (*reload)(void *ctx, bool signal),
		     void *ctx);
/**
 * Runs until a graceful shutdown, begun by SIGTERM or SIGINT, has ended.
 * Returns RESULT_TIMEOUT if drain_ms ran out first.
 */
enum result loop_run(struct loop *loop);
/** Ends loop_run() with @a result, after a fault that only a restart repairs.
 */
void loop_end(struct loop *loop, enum result result);
/** Bytes sent on links to other processes. */
uint64_t loop_bytes_sent(const struct loop *loop);

/** Monotonic time in microseconds that goes on while the VM is suspended. */
uint64_t loop_now_us(void);
uint64_t loop_random_u64(void);
#endif /* LOOP_H */
