#ifndef ADMIT_H
#define ADMIT_H

/**
 * @file admit.h
 * Admission of requests at one agent: a bounded queue for each service ordered
 * by deadline, slots and connections of the announced upstreams, and the record
 * of what became of each request.
 */

#include "agent.h"
#include "msg_request.h"
#include "node.h"

struct admit;

/** What admission needs from its agent. */
struct admit_ops {
	/** Returns RESULT_OK if a request may begin now, else the reason. */
	enum result (*may_start)(void *ctx, bool repeatable);
	/** Something changed that the entries' next load report must tell. */
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

/** Takes a request from the entry @a from; the answer is sent by message. */
void admit_request(struct admit *admit, uint64_t from,
		   const struct request *request);
void admit_cancel(struct admit *admit, uint64_t from, uint64_t request_nr);
void admit_query(struct admit *admit, uint64_t from,
		 const struct outcome_query *query);
void admit_call_done(struct admit *admit, uint64_t call_nr,
		     const struct upstream_result *result);

/** Refuses new requests from now on; all loads are reported as leaving. */
void admit_leave(struct admit *admit);
/** Returns true when nothing is queued or running. */
bool admit_idle(const struct admit *admit);

/** Fills @a report with the load of each service; the loads are borrowed. */
void admit_loads(struct admit *admit, struct load_report *report);

#endif /* ADMIT_H */
