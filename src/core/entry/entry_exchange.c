#include "entry_exchange.h"

#include "schema.h"
#include "tunables.h"

static uint64_t request_bytes(const struct request *request)
{
	return request->body ? g_bytes_get_size(request->body) : 0;
}

static void exchange_deadline_due(void *data, uint64_t now_us)
{
	struct exchange *exchange = data;

	(void)now_us;
	if (exchange->attempts->len)
		exchange->may_have_run = true;
	exchange_fail(exchange, exchange->claim.step == CLAIM_STEP_PENDING ?
					RESULT_NO_QUORUM :
					RESULT_DEADLINE);
}

/* Cancels the open attempts, then removes and frees the exchange. */
static void exchange_end(struct exchange *exchange)
{
	struct entry *entry = exchange->entry;
	uint64_t ticket = exchange->ticket;

	while (exchange->attempts->len) {
		struct attempt *attempt =
			g_ptr_array_index(exchange->attempts, 0);

		attempt_send_cancel(attempt);
		attempt_end(attempt, UPSTREAM_END_NEUTRAL, NULL);
	}
	if (exchange->answered)
		g_hash_table_remove(entry->awaiting_outcome, exchange);
	else
		g_hash_table_remove(entry->exchanges, &ticket);
}

/*
 * Keeps an exchange under a claim after its caller was answered or has
 * disconnected, so that a late response is recorded for a resend. Returns false
 * if the exchange isn't under a claim, or if no response can arrive.
 */
static bool exchange_await_outcome(struct exchange *exchange)
{
	struct entry *entry = exchange->entry;

	if (exchange->answered || !exchange_needs_claim(exchange) ||
	    !exchange->attempts->len)
		return false;
	exchange->answered = true;
	g_hash_table_steal(entry->exchanges, &exchange->ticket);
	g_hash_table_add(entry->awaiting_outcome, exchange);
	node_timer_ms(entry->node, &exchange->deadline, OUTCOME_WAIT_MS);
	return true;
}

/* Timer function: sends a second attempt because the first one is slow. */
static void exchange_hedge_due(void *data, uint64_t now_us)
{
	struct exchange *exchange = data;
	struct route_candidate chosen;

	(void)now_us;
	if (!exchange->attempts->len || !attempt_capacity(exchange).nr_free ||
	    !budget_spend(&exchange->service->hedges))
		return;
	if (attempt_pick(exchange, "hedge", &chosen))
		return;
	counter_add(exchange->entry->node->counters, "entry_hedges", 1);
	attempt_send(exchange, chosen.upstream->agent_node,
		     entry_next_nr(exchange->entry));
}

static void exchange_arm_hedge(struct exchange *exchange)
{
	struct node *node = exchange->entry->node;
	uint64_t p95_us = service_p95(exchange->service);

	if (exchange->request->repeatable && p95_us)
		timer_set(node->timers, &exchange->hedge,
			  node->now_us + p95_us);
}

struct exchange *exchange_new(struct entry *entry, struct service *service,
			      uint64_t ticket, const struct request *request)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	const struct bundle_service *settings =
		site_service(entry->site, request->service);
	uint64_t deadline_ms = request->deadline_ms;

	if (!deadline_ms && settings)
		deadline_ms = settings->deadline_ms;
	if (!deadline_ms)
		deadline_ms = REQUEST_DEADLINE_MS;
	deadline_ms = MIN(deadline_ms, REQUEST_DEADLINE_MAX_MS);
	exchange->entry = entry;
	exchange->service = service;
	exchange->ticket = ticket;
	exchange->request = schema_dup(MSG_REQUEST, request);
	exchange->submitted_us = entry->node->now_us;
	exchange->deadline_us = exchange->submitted_us + deadline_ms * 1000;
	exchange->attempts = g_ptr_array_new_with_free_func(g_free);
	exchange->tried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	exchange->deadline.fn = exchange_deadline_due;
	exchange->deadline.data = exchange;
	exchange->hedge.fn = exchange_hedge_due;
	exchange->hedge.data = exchange;
	timer_set(entry->node->timers, &exchange->deadline,
		  exchange->deadline_us);
	entry->bytes += request_bytes(request);
	g_hash_table_insert(entry->exchanges, &exchange->ticket, exchange);
	return exchange;
}

void exchange_free(void *data)
{
	struct exchange *exchange = data;
	struct entry *entry = exchange->entry;
	struct timers *timers = entry->node->timers;

	for (uint32_t i = 0; i < exchange->attempts->len; i++) {
		struct attempt *attempt =
			g_ptr_array_index(exchange->attempts, i);

		timer_cancel(timers, &attempt->lost);
		timer_cancel(timers, &attempt->arrival);
	}
	timer_cancel(timers, &exchange->deadline);
	timer_cancel(timers, &exchange->hedge);
	exchange_claim_clear(exchange);
	exchange_wait_end(exchange);
	entry->bytes -= request_bytes(exchange->request);
	g_ptr_array_unref(exchange->attempts);
	g_array_unref(exchange->tried);
	record_unref((struct record){ MSG_REQUEST, exchange->request });
	g_free(exchange);
}

void exchange_answer(struct exchange *exchange, const struct response *response)
{
	struct entry *entry = exchange->entry;
	uint64_t ticket = exchange->ticket;
	bool answered = exchange->answered;
	const char *counter = "entry_unknown";

	/* The response of an open attempt may still have to be recorded. */
	if (response->run != RUN_UNKNOWN || !exchange_await_outcome(exchange))
		exchange_end(exchange);
	if (answered)
		return;
	if (response->run == RUN_DONE)
		counter = "entry_done";
	else if (response->run == RUN_NOT_RUN)
		counter = "entry_not_run";
	counter_add(entry->node->counters, counter, 1);
	entry->host->respond(entry->host_ctx, ticket, response);
}

void exchange_fail(struct exchange *exchange, enum result result)
{
	struct response response = { 0 };

	response.run = exchange->may_have_run || exchange->claim.shared ?
			       RUN_UNKNOWN :
			       RUN_NOT_RUN;
	response.result = result;
	exchange_answer(exchange, &response);
}

void exchange_abandon(struct exchange *exchange)
{
	counter_add(exchange->entry->node->counters, "entry_abandoned", 1);
	if (!exchange_await_outcome(exchange)) {
		exchange_end(exchange);
		return;
	}
	for (uint32_t i = 0; i < exchange->attempts->len; i++)
		attempt_send_cancel(g_ptr_array_index(exchange->attempts, i));
}

void exchange_dispatch(struct exchange *exchange, const char *reason)
{
	struct route_candidate chosen;
	enum result result = attempt_pick(exchange, reason, &chosen);

	if (result == RESULT_OVERLOADED && exchange_wait(exchange))
		return;
	if (result) {
		/* The result of an earlier attempt is more specific. */
		exchange_fail(exchange,
			      exchange->last ? exchange->last : result);
		return;
	}
	if (exchange_needs_claim(exchange)) {
		exchange_claim_request(exchange, chosen.upstream->agent_node);
		return;
	}
	if (!exchange->nr_sent)
		exchange_arm_hedge(exchange);
	attempt_send(exchange, chosen.upstream->agent_node,
		     entry_next_nr(exchange->entry));
}

void exchange_retry(struct exchange *exchange, enum result result)
{
	struct service *service = exchange->service;

	exchange->last = result;
	if (exchange->attempts->len)
		return;
	if (exchange->answered ||
	    (exchange->may_have_run && !exchange->request->repeatable) ||
	    exchange->nr_sent >= REQUEST_ATTEMPTS_MAX ||
	    exchange->deadline_us <= exchange->entry->node->now_us ||
	    (exchange->nr_sent && !budget_spend(&service->retries))) {
		exchange_fail(exchange, result);
		return;
	}
	counter_add(exchange->entry->node->counters, "entry_retries", 1);
	exchange_dispatch(exchange, "retry");
}

/* Maps the result of a refusal to its effect on the upstream's health. */
static enum upstream_end end_of_refusal(uint32_t result)
{
	switch (result) {
	case RESULT_OVERLOADED:
	case RESULT_DEADLINE:
		return UPSTREAM_END_BUSY;
	case RESULT_UPSTREAM_FAILED:
		return UPSTREAM_END_NO_CONNECTION;
	case RESULT_NO_PERMIT:
		return UPSTREAM_END_NO_PERMIT;
	default:
		return UPSTREAM_END_NEUTRAL;
	}
}

void exchange_response(struct attempt *attempt, const struct response *response)
{
	struct exchange *exchange = attempt->exchange;
	uint64_t now_us = exchange->entry->node->now_us;

	switch (response->run) {
	case RUN_DONE:
		if (exchange_needs_claim(exchange))
			exchange_claim_done(exchange, response);
		attempt_end(attempt,
			    response->status >= 500 ? UPSTREAM_END_FAILED :
						      UPSTREAM_END_OK,
			    response);
		service_record_latency(exchange->service,
				       now_us - exchange->first_sent_us);
		exchange_answer(exchange, response);
		break;
	case RUN_NOT_RUN:
		attempt_end(attempt, end_of_refusal(response->result), NULL);
		if (exchange_needs_claim(exchange)) {
			exchange->may_have_run = false;
			/* A resend at another entry made the agent refuse. */
			if (response->result == RESULT_CANCELLED)
				exchange->claim.shared = true;
		}
		exchange_retry(exchange, response->result);
		break;
	case RUN_QUEUED:
	case RUN_RUNNING:
		/* The response follows when the run ends. */
		break;
	default:
		if (attempt->await_arrival &&
		    response->result == RESULT_UNKNOWN_OBJECT) {
			attempt_not_arrived(attempt);
			break;
		}
		exchange->may_have_run = true;
		attempt_end(attempt, UPSTREAM_END_FAILED, NULL);
		exchange_retry(exchange, response->result);
	}
}
