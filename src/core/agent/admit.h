#ifndef ADMIT_H
#define ADMIT_H

/**
 * @file admit.h
 * Admission of requests at one agent. Each service has a bounded queue, ordered
 * by deadline. An upstream announces slots, the number of requests that it runs
 * at a time, and connections; queued requests are sent to the service's
 * upstreams as both become free. The outcome of each request is recorded.
 */

#include "agent.h"
#include "msg_request.h"
#include "node.h"

struct admit;

/** Callbacks that admission needs from its agent. */
struct admit_ops {
	/** Returns RESULT_OK if a request may start now, else why not. */
	enum result (*may_start)(void *ctx, bool repeatable);
	/** Called after a change that the next load report must contain. */
	void (*changed)(void *ctx);
	void (*upstream_call)(void *ctx, uint64_t call_nr, const char *address,
			      const struct request *request);
	void (*upstream_cancel)(void *ctx, uint64_t call_nr);
};

struct admit *admit_new(struct node *node, const struct admit_ops *ops,
			void *ctx);
void admit_free(struct admit *admit);

enum result admit_announce(struct admit *admit,
			   const struct platform_announce *announce);
void admit_withdraw(struct admit *admit, const char *upstream_id);

/**
 * Handles a request of the entry with the node_id @a from. The entry is sent a
 * MSG_RESPONSE when the outcome is final.
 */
void admit_request(struct admit *admit, uint64_t from,
		   const struct request *request);
void admit_cancel(struct admit *admit, uint64_t from, uint64_t request_nr);
void admit_query(struct admit *admit, uint64_t from,
		 const struct outcome_query *query);
void admit_call_done(struct admit *admit, uint64_t call_nr,
		     const struct upstream_result *result);

/** Refuses all new requests from now on and reports all loads as leaving. */
void admit_leave(struct admit *admit);
/** Returns true if no request is queued or running. */
bool admit_idle(const struct admit *admit);

/**
 * Fills @a report with the load of each service. The loads belong to @a admit
 * and are valid until the next call.
 */
void admit_loads(struct admit *admit, struct load_report *report);

#endif /* ADMIT_H */
