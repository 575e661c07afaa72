#include "admit.h"

#include "admit_service.h"
#include "logline.h"
#include "outcome.h"
#include "schema.h"
#include "tunables.h"

/* Interval at which old records are dropped. */
#define ADMIT_EXPIRE_INTERVAL_MS 1000

struct admit {
	struct node *node;
	const struct admit_ops *ops;
	void *ctx;
	GPtrArray *services; /* struct admit_service *, owned */
	struct outcome_table *runs; /* records of all requests */
	GHashTable *calls; /* uint64_t * -> struct outcome *, by call_nr */
	uint64_t next_call_nr;
	struct timer expiry;
	GArray *loads; /* struct load, filled by admit_loads() */
	bool leaving;
};

/*
 * Returns true if the agent refuses all requests for now. It then reports its
 * loads as leaving, as the low load of an agent that refuses requests would
 * otherwise make entries send it more of them.
 */
static bool admit_is_closed(const struct admit *admit)
{
	return admit->leaving || admit->ops->may_start(admit->ctx, true);
}

/* Sends one entry the state of a request, and its response if it is kept. */
static void admit_send_outcome(const struct admit *admit,
			       const struct outcome *outcome,
			       const struct outcome_waiter *waiter)
{
	struct response response = outcome->response;

	response.origin_node = waiter->node_id;
	response.request_nr = waiter->request_nr;
	response.run = outcome->state;
	if (outcome->state == RUN_DONE && !outcome->response_kept) {
		/* The request was executed, but its response was dropped. */
		response.run = RUN_UNKNOWN;
		response.result = RESULT_OUTCOME_UNKNOWN;
	}
	if (outcome->service)
		admit_service_load(outcome->service, admit_is_closed(admit),
				   &response.load);
	node_send(admit->node, waiter->node_id, MSG_RESPONSE, &response);
}

/* Sends one entry the answer about a request that has no record. */
static void admit_send_no_record(const struct admit *admit,
				 const struct outcome_waiter *waiter,
				 enum run_state state, enum result result)
{
	struct response response = { 0 };

	response.origin_node = waiter->node_id;
	response.request_nr = waiter->request_nr;
	response.run = state;
	response.result = result;
	node_send(admit->node, waiter->node_id, MSG_RESPONSE, &response);
}

static void admit_finish(struct admit *admit, struct outcome *outcome,
			 enum run_state state, enum result result)
{
	timer_cancel(admit->node->timers, &outcome->timer);
	outcome->state = state;
	outcome->response.result = result;
	outcome_table_finish(admit->runs, outcome, admit->node->now_us);
	for (uint32_t i = 0; i < outcome->waiters->len; i++)
		admit_send_outcome(admit, outcome,
				   &g_array_index(outcome->waiters,
						  struct outcome_waiter, i));
	g_array_set_size(outcome->waiters, 0);
}

/* Refuses a request that hasn't been sent to an upstream, for good. */
static void admit_refuse(struct admit *admit, struct outcome *outcome,
			 enum result result)
{
	g_assert(outcome->state == RUN_QUEUED && !outcome->upstream);
	if (outcome->queue_iter)
		g_sequence_remove(outcome->queue_iter);
	outcome->queue_iter = NULL;
	counter_add(admit->node->counters, "agent_refused", 1);
	admit_finish(admit, outcome, RUN_NOT_RUN, result);
}

static void admit_start(struct admit *admit, struct outcome *outcome,
			struct admit_upstream *upstream)
{
	uint64_t now_us = admit->node->now_us;

	g_assert(admit_upstream_free_slots(upstream));
	outcome->state = RUN_RUNNING;
	outcome->upstream = upstream;
	outcome->started_us = now_us;
	outcome->call_nr = ++admit->next_call_nr;
	outcome->response.wait_us =
		(uint32_t)MIN(now_us - outcome->arrived_us, UINT32_MAX);
	upstream->in_flight++;
	g_hash_table_insert(admit->calls, &outcome->call_nr, outcome);
	counter_add(admit->node->counters, "agent_started", 1);
	admit->ops->upstream_call(admit->ctx, outcome->call_nr,
				  upstream->address, outcome->request);
}

/* Sends queued requests to upstreams as long as one has a free slot. */
static void admit_dispatch(struct admit *admit, struct admit_service *service)
{
	struct outcome *outcome;

	while ((outcome = admit_service_first(service))) {
		struct admit_upstream *upstream =
			admit_upstreams_most_free(service->upstreams);
		enum result result = RESULT_NO_UPSTREAM;

		if (!upstream && admit_upstreams_any_open(service->upstreams))
			break;
		if (upstream)
			result = admit->ops->may_start(admit->ctx,
						       outcome->repeatable);
		if (result) {
			admit_refuse(admit, outcome, result);
			continue;
		}
		g_sequence_remove(outcome->queue_iter);
		outcome->queue_iter = NULL;
		admit_start(admit, outcome, upstream);
	}
}

/*
 * Timer function: the request's deadline has passed, or ADMIT_OVERRUN_MS after
 * the deadline of a request that can't be repeated.
 */
static void admit_run_timeout(void *data, uint64_t now_us)
{
	struct outcome *outcome = data;
	struct admit *admit = outcome->service->admit;

	(void)now_us;
	if (outcome->state == RUN_QUEUED) {
		admit_refuse(admit, outcome, RESULT_DEADLINE);
		return;
	}
	if (!outcome->repeatable && !outcome->overrun) {
		/* As the request can't be repeated, the upstream gets
		 * some more time to finish it. */
		outcome->overrun = true;
		node_timer_ms(admit->node, &outcome->timer, ADMIT_OVERRUN_MS);
		return;
	}
	outcome->cancelled = RESULT_DEADLINE;
	admit->ops->upstream_cancel(admit->ctx, outcome->call_nr);
}

static void admit_service_expire(struct admit_service *service)
{
	struct admit *admit = service->admit;
	uint64_t next_us;

	admit_upstreams_expire(service->upstreams, admit->node->now_us);
	next_us = admit_upstreams_next_expiry_us(service->upstreams);
	if (next_us != TIMER_NEVER)
		timer_set(admit->node->timers, &service->expiry, next_us);
	admit_dispatch(admit, service);
	admit->ops->changed(admit->ctx);
}

static void admit_service_due(void *data, uint64_t now_us)
{
	(void)now_us;
	admit_service_expire(data);
}

static struct admit_service *admit_find_service(const struct admit *admit,
						const char *name)
{
	for (uint32_t i = 0; i < admit->services->len; i++) {
		struct admit_service *service =
			g_ptr_array_index(admit->services, i);

		if (!g_strcmp0(service->name, name))
			return service;
	}
	return NULL;
}

static struct admit_service *admit_add_service(struct admit *admit,
					       const char *name)
{
	struct admit_service *service = admit_find_service(admit, name);

	if (service)
		return service;
	service = admit_service_new(admit, name);
	service->expiry.fn = admit_service_due;
	service->expiry.data = service;
	g_ptr_array_add(admit->services, service);
	return service;
}

/*
 * Queues a request. If the queue is full, the request with the latest deadline
 * in it is refused.
 */
static void admit_enqueue(struct admit *admit, struct admit_service *service,
			  struct outcome *outcome)
{
	uint32_t max = admit_service_slots(service) * ADMIT_QUEUE_PER_SLOT;

	admit_service_push(service, outcome);
	if (admit_service_is_too_late(service, outcome)) {
		admit_refuse(admit, outcome, RESULT_DEADLINE);
		return;
	}
	if (admit_service_queued(service) > MAX(max, 1))
		admit_refuse(admit, admit_service_last(service),
			     RESULT_OVERLOADED);
	admit_dispatch(admit, service);
}

static struct outcome *admit_add_run(struct admit *admit,
				     const struct outcome_id *id,
				     const struct request *request)
{
	const char *key = request->repeatable ? "" : request->key;
	struct outcome *outcome = outcome_table_add(
		admit->runs, id, request->repeatable, request->service, key);

	outcome->request = schema_dup(MSG_REQUEST, request);
	outcome->arrived_us = admit->node->now_us;
	outcome->deadline_us =
		outcome->arrived_us + request->deadline_ms * 1000ull;
	outcome->timer.fn = admit_run_timeout;
	outcome->timer.data = outcome;
	return outcome;
}

static enum result admit_check(const struct admit *admit,
			       const struct admit_service *service,
			       const struct request *request)
{
	if (request->target_node != admit->node->self.node_id)
		return RESULT_STALE;
	if (admit->leaving)
		return RESULT_LEAVING;
	if (!service || !admit_upstreams_any_open(service->upstreams))
		return RESULT_NO_UPSTREAM;
	return admit->ops->may_start(admit->ctx, request->repeatable);
}

static void admit_expiry_due(void *data, uint64_t now_us)
{
	struct admit *admit = data;

	outcome_table_expire(admit->runs, now_us);
	node_timer_ms(admit->node, &admit->expiry, ADMIT_EXPIRE_INTERVAL_MS);
}

struct admit *admit_new(struct node *node, const struct admit_ops *ops,
			void *ctx)
{
	struct admit *admit = g_new0(struct admit, 1);

	admit->node = node;
	admit->ops = ops;
	admit->ctx = ctx;
	admit->services = g_ptr_array_new_with_free_func(admit_service_free);
	admit->runs = outcome_table_new();
	admit->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	admit->loads = g_array_new(FALSE, FALSE, sizeof(struct load));
	admit->expiry.fn = admit_expiry_due;
	admit->expiry.data = admit;
	node_timer_ms(node, &admit->expiry, ADMIT_EXPIRE_INTERVAL_MS);
	return admit;
}

void admit_free(struct admit *admit)
{
	if (!admit)
		return;
	timer_cancel(admit->node->timers, &admit->expiry);
	outcome_table_stop_timers(admit->runs, admit->node->timers);
	g_hash_table_unref(admit->calls);
	outcome_table_free(admit->runs);
	for (uint32_t i = 0; i < admit->services->len; i++) {
		struct admit_service *service =
			g_ptr_array_index(admit->services, i);

		timer_cancel(admit->node->timers, &service->expiry);
	}
	g_ptr_array_unref(admit->services);
	g_array_unref(admit->loads);
	g_free(admit);
}

enum result admit_announce(struct admit *admit,
			   const struct platform_announce *announce)
{
	struct admit_service *service;
	struct admit_upstream *upstream;

	if (!*announce->id || !*announce->service || !*announce->address)
		return RESULT_MALFORMED;
	if (!announce->slots || !announce->connections)
		return RESULT_OUT_OF_RANGE;
	service = admit_add_service(admit, announce->service);
	upstream = admit_upstreams_find(service->upstreams, announce->id);
	/* The requests in flight still use its slots. */
	if (!upstream)
		upstream = admit_upstreams_find_removed(
			service->upstreams, announce->id, announce->address);
	if (!upstream) {
		upstream = g_new0(struct admit_upstream, 1);
		TEXT_SET(upstream->id, announce->id);
		g_ptr_array_add(service->upstreams, upstream);
	}
	admit_upstream_announced(upstream, announce, admit->node->now_us);
	admit_service_expire(service);
	return RESULT_OK;
}

void admit_withdraw(struct admit *admit, const char *upstream_id)
{
	for (uint32_t i = 0; i < admit->services->len; i++) {
		struct admit_service *service =
			g_ptr_array_index(admit->services, i);
		struct admit_upstream *upstream =
			admit_upstreams_find(service->upstreams, upstream_id);

		if (!upstream)
			continue;
		upstream->removed = true;
		admit_service_expire(service);
	}
}

void admit_request(struct admit *admit, uint64_t from,
		   const struct request *request)
{
	struct outcome_id id = { from, request->request_nr };
	struct outcome_waiter waiter = { from, request->request_nr };
	struct admit_service *service =
		admit_find_service(admit, request->service);
	const char *key = request->repeatable ? "" : request->key;
	struct outcome *outcome = outcome_table_find(admit->runs, &id);
	enum result result;

	if (!outcome && outcome_table_may_have_dropped(admit->runs, &id,
						       request->repeatable)) {
		admit_send_no_record(admit, &waiter, RUN_UNKNOWN,
				     RESULT_OUTCOME_UNKNOWN);
		return;
	}
	if (!outcome) {
		outcome = outcome_table_find_key(admit->runs, request->service,
						 key);
		/* A key whose earlier request never ran may be used
		 * again. */
		if (outcome && outcome->state == RUN_NOT_RUN)
			outcome = NULL;
	}
	if (outcome) {
		/* A duplicate gets the outcome of the request that arrived
		 * first, or the refusal that a query has recorded before any
		 * arrival. */
		if (!outcome->finished_us)
			outcome_add_waiter(outcome, from, request->request_nr);
		else
			admit_send_outcome(admit, outcome, &waiter);
		return;
	}
	result = admit_check(admit, service, request);
	outcome = admit_add_run(admit, &id, request);
	outcome->service = service;
	outcome_add_waiter(outcome, from, request->request_nr);
	if (result) {
		admit_refuse(admit, outcome, result);
		return;
	}
	timer_set(admit->node->timers, &outcome->timer, outcome->deadline_us);
	admit_enqueue(admit, service, outcome);
}

void admit_cancel(struct admit *admit, uint64_t from, uint64_t request_nr)
{
	struct outcome_id id = { from, request_nr };
	struct outcome *outcome = outcome_table_find(admit->runs, &id);

	if (!outcome || outcome->finished_us)
		return;
	if (outcome->state == RUN_QUEUED) {
		admit_refuse(admit, outcome, RESULT_CANCELLED);
	} else if (outcome->repeatable && !outcome->cancelled) {
		outcome->cancelled = RESULT_CANCELLED;
		admit->ops->upstream_cancel(admit->ctx, outcome->call_nr);
	}
}

void admit_query(struct admit *admit, uint64_t from,
		 const struct outcome_query *query)
{
	struct outcome_id id = { query->origin_node, query->request_nr };
	struct outcome_waiter waiter = { from, query->reply_nr };
	const char *key = query->repeatable ? "" : query->key;
	struct outcome *outcome = outcome_table_find(admit->runs, &id);

	if (!outcome) {
		outcome = outcome_table_find_key(admit->runs, query->service,
						 key);
		if (outcome && outcome->state == RUN_NOT_RUN)
			outcome = NULL;
	}
	if (!outcome && (!query->refuse ||
			 outcome_table_may_have_dropped(admit->runs, &id,
							query->repeatable))) {
		/* RESULT_UNKNOWN_OBJECT means that the request may still
		 * arrive and run. */
		admit_send_no_record(admit, &waiter, RUN_UNKNOWN,
				     query->refuse ? RESULT_OUTCOME_UNKNOWN :
						     RESULT_UNKNOWN_OBJECT);
		return;
	}
	if (!outcome) {
		/* Because of this record, the request is refused if it
		 * arrives later. */
		outcome = outcome_table_add(admit->runs, &id, query->repeatable,
					    query->service, "");
		admit_finish(admit, outcome, RUN_NOT_RUN, RESULT_CANCELLED);
	}
	if (!outcome->finished_us)
		outcome_add_waiter(outcome, from, query->reply_nr);
	admit_send_outcome(admit, outcome, &waiter);
}

void admit_call_done(struct admit *admit, uint64_t call_nr,
		     const struct upstream_result *result)
{
	struct outcome *outcome = g_hash_table_lookup(admit->calls, &call_nr);
	struct admit_upstream *upstream;
	struct admit_service *service;

	if (!outcome)
		return;
	g_hash_table_remove(admit->calls, &call_nr);
	upstream = outcome->upstream;
	service = outcome->service;
	g_assert(upstream->in_flight > 0);
	upstream->in_flight--;
	outcome->upstream = NULL;
	if (!result->connected) {
		/* A call cancelled while connecting doesn't show whether
		 * the upstream refuses connections. */
		if (!outcome->cancelled)
			upstream->refused = true;
		admit_finish(admit, outcome, RUN_NOT_RUN,
			     outcome->cancelled ? outcome->cancelled :
						  RESULT_UPSTREAM_FAILED);
	} else if (!result->complete) {
		admit_finish(admit, outcome, RUN_UNKNOWN,
			     outcome->cancelled ? outcome->cancelled :
						  RESULT_UPSTREAM_FAILED);
	} else {
		uint64_t run_us = admit->node->now_us - outcome->started_us;

		outcome->response.run_us = (uint32_t)MIN(run_us, UINT32_MAX);
		outcome->response.status = result->status;
		TEXT_SET(outcome->response.content_type, result->content_type);
		if (result->body)
			outcome->response.body = g_bytes_ref(result->body);
		admit_service_record_run(service, outcome->response.run_us);
		admit_finish(admit, outcome, RUN_DONE, RESULT_OK);
	}
	admit_upstreams_expire(service->upstreams, admit->node->now_us);
	admit_dispatch(admit, service);
	admit->ops->changed(admit->ctx);
}

void admit_leave(struct admit *admit)
{
	admit->leaving = true;
	admit->ops->changed(admit->ctx);
}

bool admit_idle(const struct admit *admit)
{
	return outcome_table_nr_active(admit->runs) == 0;
}

void admit_loads(struct admit *admit, struct load_report *report)
{
	g_array_set_size(admit->loads, 0);
	for (uint32_t i = 0; i < admit->services->len; i++) {
		struct load load;

		admit_service_load(g_ptr_array_index(admit->services, i),
				   admit_is_closed(admit), &load);
		g_array_append_val(admit->loads, load);
	}
	report->nr_loads = admit->loads->len;
	report->loads = (struct load *)(void *)admit->loads->data;
}
