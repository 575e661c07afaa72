#include "entry_flight.h"

#include "schema.h"
#include "tunables.h"

static uint64_t request_bytes(const struct request *request)
{
	return request->body ? g_bytes_get_size(request->body) : 0;
}

static void flight_deadline_due(void *data, uint64_t now_us)
{
	struct flight *flight = data;

	(void)now_us;
	if (flight->attempts->len)
		flight->may_have_run = true;
	flight_fail(flight, flight->claim.step == CLAIM_STEP_ASKED ?
				    RESULT_NO_QUORUM :
				    RESULT_DEADLINE);
}

/* Cancels the open attempts and removes the exchange, which frees it. */
static void flight_end(struct flight *flight)
{
	struct entry *entry = flight->entry;
	uint64_t ticket = flight->ticket;

	while (flight->attempts->len) {
		struct attempt *attempt =
			g_ptr_array_index(flight->attempts, 0);

		attempt_send_cancel(attempt);
		attempt_end(attempt, UPSTREAM_END_NEUTRAL, NULL);
	}
	if (flight->answered)
		g_hash_table_remove(entry->lingering, flight);
	else
		g_hash_table_remove(entry->flights, &ticket);
}

/*
 * Keeps the exchange without its caller, so that the response of a claimed
 * request is recorded for a resend. Returns false if no response can come.
 */
static bool flight_linger(struct flight *flight)
{
	struct entry *entry = flight->entry;

	if (flight->answered || !flight_needs_claim(flight) ||
	    !flight->attempts->len)
		return false;
	flight->answered = true;
	g_hash_table_steal(entry->flights, &flight->ticket);
	g_hash_table_add(entry->lingering, flight);
	node_timer_ms(entry->node, &flight->deadline, FLIGHT_LINGER_MS);
	return true;
}

/* Timer function: sends a second attempt because the first one is slow. */
static void flight_hedge_due(void *data, uint64_t now_us)
{
	struct flight *flight = data;
	struct route_candidate chosen;

	(void)now_us;
	if (!flight->attempts->len || !attempt_room(flight).nr_free ||
	    !budget_spend(&flight->service->hedges))
		return;
	if (attempt_pick(flight, "hedge", &chosen))
		return;
	counter_add(flight->entry->node->counters, "entry_hedges", 1);
	attempt_send(flight, chosen.upstream->agent_node,
		     entry_next_nr(flight->entry));
}

static void flight_arm_hedge(struct flight *flight)
{
	struct node *node = flight->entry->node;
	uint64_t p95_us = service_p95(flight->service);

	if (flight->request->repeatable && p95_us)
		timer_set(node->timers, &flight->hedge, node->now_us + p95_us);
}

struct flight *flight_new(struct entry *entry, struct service *service,
			  uint64_t ticket, const struct request *request)
{
	struct flight *flight = g_new0(struct flight, 1);
	const struct bundle_service *settings =
		site_service(entry->site, request->service);
	uint64_t deadline_ms = request->deadline_ms;

	if (!deadline_ms && settings)
		deadline_ms = settings->deadline_ms;
	if (!deadline_ms)
		deadline_ms = REQUEST_DEADLINE_MS;
	deadline_ms = MIN(deadline_ms, REQUEST_DEADLINE_MAX_MS);
	flight->entry = entry;
	flight->service = service;
	flight->ticket = ticket;
	flight->request = schema_dup(MSG_REQUEST, request);
	flight->submitted_us = entry->node->now_us;
	flight->deadline_us = flight->submitted_us + deadline_ms * 1000;
	flight->attempts = g_ptr_array_new_with_free_func(g_free);
	flight->tried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	flight->deadline.fn = flight_deadline_due;
	flight->deadline.data = flight;
	flight->hedge.fn = flight_hedge_due;
	flight->hedge.data = flight;
	timer_set(entry->node->timers, &flight->deadline, flight->deadline_us);
	entry->bytes += request_bytes(request);
	g_hash_table_insert(entry->flights, &flight->ticket, flight);
	return flight;
}

void flight_free(void *data)
{
	struct flight *flight = data;
	struct entry *entry = flight->entry;
	struct timers *timers = entry->node->timers;

	for (uint32_t i = 0; i < flight->attempts->len; i++) {
		struct attempt *attempt =
			g_ptr_array_index(flight->attempts, i);

		timer_cancel(timers, &attempt->lost);
		timer_cancel(timers, &attempt->arrival);
	}
	timer_cancel(timers, &flight->deadline);
	timer_cancel(timers, &flight->hedge);
	flight_claim_clear(flight);
	flight_wait_end(flight);
	entry->bytes -= request_bytes(flight->request);
	g_ptr_array_unref(flight->attempts);
	g_array_unref(flight->tried);
	record_unref((struct record){ MSG_REQUEST, flight->request });
	g_free(flight);
}

void flight_answer(struct flight *flight, const struct response *response)
{
	struct entry *entry = flight->entry;
	uint64_t ticket = flight->ticket;
	bool answered = flight->answered;
	const char *counter = "entry_unknown";

	/* An attempt that may still end has its response recorded. */
	if (response->run != RUN_UNKNOWN || !flight_linger(flight))
		flight_end(flight);
	if (answered)
		return;
	if (response->run == RUN_DONE)
		counter = "entry_done";
	else if (response->run == RUN_NOT_RUN)
		counter = "entry_not_run";
	counter_add(entry->node->counters, counter, 1);
	entry->host->respond(entry->host_ctx, ticket, response);
}

void flight_fail(struct flight *flight, enum result result)
{
	struct response response = { 0 };

	response.run = flight->may_have_run || flight->claim.shared ?
			       RUN_UNKNOWN :
			       RUN_NOT_RUN;
	response.result = result;
	flight_answer(flight, &response);
}

void flight_abandon(struct flight *flight)
{
	counter_add(flight->entry->node->counters, "entry_abandoned", 1);
	if (!flight_linger(flight)) {
		flight_end(flight);
		return;
	}
	for (uint32_t i = 0; i < flight->attempts->len; i++)
		attempt_send_cancel(g_ptr_array_index(flight->attempts, i));
}

void flight_dispatch(struct flight *flight, const char *reason)
{
	struct route_candidate chosen;
	enum result result = attempt_pick(flight, reason, &chosen);

	if (result == RESULT_OVERLOADED && flight_wait(flight))
		return;
	if (result) {
		/* The last attempt's result is more specific. */
		flight_fail(flight, flight->last ? flight->last : result);
		return;
	}
	if (flight_needs_claim(flight)) {
		flight_claim_ask(flight, chosen.upstream->agent_node);
		return;
	}
	if (!flight->nr_sent)
		flight_arm_hedge(flight);
	attempt_send(flight, chosen.upstream->agent_node,
		     entry_next_nr(flight->entry));
}

void flight_retry(struct flight *flight, enum result result)
{
	struct service *service = flight->service;

	flight->last = result;
	if (flight->attempts->len)
		return;
	if (flight->answered ||
	    (flight->may_have_run && !flight->request->repeatable) ||
	    flight->nr_sent >= REQUEST_ATTEMPTS_MAX ||
	    flight->deadline_us <= flight->entry->node->now_us ||
	    (flight->nr_sent && !budget_spend(&service->retries))) {
		flight_fail(flight, result);
		return;
	}
	counter_add(flight->entry->node->counters, "entry_retries", 1);
	flight_dispatch(flight, "retry");
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

void flight_response(struct attempt *attempt, const struct response *response)
{
	struct flight *flight = attempt->flight;
	uint64_t now_us = flight->entry->node->now_us;

	switch (response->run) {
	case RUN_DONE:
		if (flight_needs_claim(flight))
			flight_claim_done(flight, response);
		attempt_end(attempt,
			    response->status >= 500 ? UPSTREAM_END_FAILED :
						      UPSTREAM_END_OK,
			    response);
		service_learn_latency(flight->service,
				      now_us - flight->first_sent_us);
		flight_answer(flight, response);
		break;
	case RUN_NOT_RUN:
		attempt_end(attempt, end_of_refusal(response->result), NULL);
		if (flight_needs_claim(flight)) {
			flight->may_have_run = false;
			/* Refused through another entry with the same key. */
			if (response->result == RESULT_CANCELLED)
				flight->claim.shared = true;
		}
		flight_retry(flight, response->result);
		break;
	case RUN_QUEUED:
	case RUN_RUNNING:
		/* The response follows when the run ends. */
		break;
	default:
		if (attempt->patient &&
		    response->result == RESULT_UNKNOWN_OBJECT) {
			attempt_not_arrived(attempt);
			break;
		}
		flight->may_have_run = true;
		attempt_end(attempt, UPSTREAM_END_FAILED, NULL);
		flight_retry(flight, response->result);
	}
}
