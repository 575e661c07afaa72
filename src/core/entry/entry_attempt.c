#include "entry_exchange.h"

#include "logline.h"
#include "schema.h"
#include "tunables.h"

static uint64_t exchange_time_left_us(const struct exchange *exchange)
{
	uint64_t now_us = exchange->entry->node->now_us;

	return exchange->deadline_us > now_us ? exchange->deadline_us - now_us :
						0;
}

static bool exchange_has_tried(const struct exchange *exchange,
			       uint64_t agent_node)
{
	for (uint32_t i = 0; i < exchange->tried->len; i++)
		if (g_array_index(exchange->tried, uint64_t, i) == agent_node)
			return true;
	return false;
}

static uint32_t entry_zone_cost_ppm(const struct entry *entry, const char *zone)
{
	const struct bundle *bundle = site_bundle(entry->site);

	if (!bundle || !g_strcmp0(zone, entry->node->self.zone))
		return 0;
	for (uint32_t i = 0; i < bundle->nr_zones; i++)
		if (!g_strcmp0(bundle->zones[i].name, zone))
			return bundle->zones[i].cost_ppm;
	return 0;
}

/* Fills @a out and returns true if the upstream may get requests now. */
static bool attempt_candidate(const struct exchange *exchange,
			      struct upstream *upstream, uint32_t median_us,
			      struct route_candidate *out)
{
	const struct entry *entry = exchange->entry;
	uint64_t now_us = entry->node->now_us;
	const struct link *link = node_link(entry->node, upstream->agent_node);

	if (!link || !link->up || link->silent)
		return false;
	if (!upstream_is_open(upstream, now_us) ||
	    upstream_is_ejected(upstream, now_us) ||
	    site_zone_is_out(entry->site, link->peer.zone))
		return false;
	if (!exchange->request->repeatable &&
	    now_us < upstream->no_permit_until_us)
		return false;
	out->upstream = upstream;
	out->delay_us = link->delay_us + link->delay_var_us;
	out->loss_ppm =
		MAX(link_loss_ppm(link), upstream_stall_ppm(upstream, now_us));
	out->cost_ppm = entry_zone_cost_ppm(entry, link->peer.zone);
	out->service_time_us =
		upstream_service_time(upstream, median_us, now_us);
	out->load = upstream_load(upstream);
	out->full = upstream->own_open >= upstream_limit(upstream, now_us);
	route_estimate(out);
	return true;
}

/*
 * Appends upstreams with a free slot to @a candidates and counts free and full
 * ones. Skips agents that the request was already sent to, unless @a tried
 * is true.
 */
static void attempt_collect(const struct exchange *exchange, bool tried,
			    GArray *candidates,
			    struct attempt_capacity *capacity)
{
	const GPtrArray *upstreams = exchange->service->upstreams;
	uint32_t median_us = service_median_time(exchange->service);

	if (!median_us)
		median_us = ROUTE_DEFAULT_SERVICE_TIME_US;
	for (uint32_t i = 0; i < upstreams->len; i++) {
		struct upstream *upstream = g_ptr_array_index(upstreams, i);
		struct route_candidate candidate = { 0 };

		if (!tried &&
		    exchange_has_tried(exchange, upstream->agent_node))
			continue;
		if (!attempt_candidate(exchange, upstream, median_us,
				       &candidate))
			continue;
		if (!candidate.full) {
			capacity->nr_free++;
			g_array_append_val(candidates, candidate);
			continue;
		}
		capacity->nr_full++;
		capacity->full_slots +=
			upstream_limit(upstream, exchange->entry->node->now_us);
	}
}

/*
 * Collects upstreams that the request wasn't sent to yet. If there are none and
 * no attempt is open, collects those that it was sent to before.
 */
static void attempt_collect_any(const struct exchange *exchange,
				GArray *candidates,
				struct attempt_capacity *capacity)
{
	attempt_collect(exchange, false, candidates, capacity);
	if (!capacity->nr_free && !capacity->nr_full &&
	    !exchange->attempts->len)
		attempt_collect(exchange, true, candidates, capacity);
}

/* Returns true if no upstream is expected to answer before the deadline. */
static bool attempt_is_too_late(const struct exchange *exchange,
				const GArray *candidates)
{
	const struct route_candidate *best = NULL;
	uint64_t now_us = exchange->entry->node->now_us;

	for (uint32_t i = 0; i < candidates->len; i++) {
		const struct route_candidate *candidate =
			&g_array_index(candidates, struct route_candidate, i);

		if (!best || candidate->wait_us < best->wait_us)
			best = candidate;
	}
	if (!best || !exchange_time_left_us(exchange))
		return true;
	/*
	 * A request isn't refused because of an outdated estimate: its run will
	 * update the estimate.
	 */
	return best->upstream->sampled_us + SERVICE_TIME_FRESH_MS * 1000ull >
		       now_us &&
	       best->wait_us > exchange_time_left_us(exchange);
}

static void attempt_log_pick(const struct exchange *exchange,
			     const char *reason,
			     const struct route_candidate *chosen,
			     uint32_t nr_candidates, uint32_t nr_full,
			     enum result result)
{
	const struct entry *entry = exchange->entry;
	GString *line = logline_new("route");

	logline_u64(line, "ticket", exchange->ticket);
	logline_str(line, "service", exchange->service->name);
	logline_str(line, "reason", reason);
	logline_str(line, "policy", entry->policy->name);
	logline_u64(line, "candidates", nr_candidates);
	logline_u64(line, "full", nr_full);
	logline_u64(line, "left_us", exchange_time_left_us(exchange));
	logline_str(line, "result", result_name(result));
	if (chosen) {
		logline_id(line, "agent", chosen->upstream->agent_node);
		logline_u64(line, "delay_us", chosen->delay_us);
		logline_u64(line, "loss_ppm", chosen->loss_ppm);
		logline_u64(line, "cost_ppm", chosen->cost_ppm);
		logline_u64(line, "load", chosen->load);
		logline_u64(line, "slots", chosen->upstream->load.slots);
		logline_u64(line, "service_us", chosen->service_time_us);
		logline_u64(line, "expected_us", chosen->cost_us);
	}
	node_log(entry->node, line);
}

static struct upstream *attempt_upstream(const struct attempt *attempt)
{
	return service_find(attempt->exchange->service, attempt->agent_node);
}

/* Timer function: the agent didn't reconnect in time. */
static void attempt_lost_due(void *data, uint64_t now_us)
{
	struct attempt *attempt = data;
	struct exchange *exchange = attempt->exchange;

	(void)now_us;
	exchange->may_have_run = true;
	attempt_end(attempt, UPSTREAM_END_NEUTRAL, NULL);
	exchange_retry(exchange, RESULT_OUTCOME_UNKNOWN);
}

/*
 * Timer function: queries the outcome again. If another entry's request has not
 * arrived by now, this query makes the agent refuse it on arrival.
 */
static void attempt_arrival_due(void *data, uint64_t now_us)
{
	struct attempt *attempt = data;

	(void)now_us;
	attempt->await_arrival = false;
	attempt_query_outcome(attempt);
}

static struct attempt *attempt_new(struct exchange *exchange,
				   uint64_t agent_node, uint64_t request_nr)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	struct node *node = exchange->entry->node;

	attempt->exchange = exchange;
	attempt->request_nr = request_nr;
	attempt->agent_node = agent_node;
	attempt->sent_us = node->now_us;
	attempt->origin_node = node->self.node_id;
	attempt->origin_nr = request_nr;
	attempt->lost.fn = attempt_lost_due;
	attempt->lost.data = attempt;
	attempt->arrival.fn = attempt_arrival_due;
	attempt->arrival.data = attempt;
	g_ptr_array_add(exchange->attempts, attempt);
	g_hash_table_insert(exchange->entry->attempts, &attempt->request_nr,
			    attempt);
	return attempt;
}

static bool attempt_agent_is_up(const struct exchange *exchange,
				uint64_t agent_node)
{
	const struct link *link = node_link(exchange->entry->node, agent_node);

	return link && link->up;
}

uint64_t entry_next_nr(struct entry *entry)
{
	return ++entry->next_request_nr;
}

enum result attempt_pick(struct exchange *exchange, const char *reason,
			 struct route_candidate *chosen)
{
	struct entry *entry = exchange->entry;
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct route_candidate));
	struct route_query query = { 0 };
	enum result result = RESULT_OK;
	struct attempt_capacity capacity = { 0 };

	attempt_collect_any(exchange, candidates, &capacity);
	if (!candidates->len) {
		result = capacity.nr_full ? RESULT_OVERLOADED :
					    RESULT_NO_UPSTREAM;
		goto out;
	}
	if (attempt_is_too_late(exchange, candidates)) {
		result = RESULT_DEADLINE;
		goto out;
	}
	query.candidates = (struct route_candidate *)(void *)candidates->data;
	query.nr_candidates = candidates->len;
	query.random = node_random(entry->node);
	query.cursor = &exchange->service->cursor;
	*chosen = query.candidates[entry->policy->pick(&query)];
out:
	attempt_log_pick(exchange, reason, result ? NULL : chosen,
			 candidates->len, capacity.nr_full, result);
	g_array_unref(candidates);
	return result;
}

struct attempt_capacity attempt_capacity(const struct exchange *exchange)
{
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct route_candidate));
	struct attempt_capacity capacity = { 0 };

	attempt_collect_any(exchange, candidates, &capacity);
	g_array_unref(candidates);
	return capacity;
}

bool attempt_may_send(const struct exchange *exchange, uint64_t agent_node)
{
	struct upstream *upstream = service_find(exchange->service, agent_node);
	struct route_candidate candidate = { 0 };

	return upstream && attempt_candidate(exchange, upstream, 0, &candidate);
}

void attempt_send(struct exchange *exchange, uint64_t agent_node,
		  uint64_t request_nr)
{
	struct node *node = exchange->entry->node;
	const struct link *link = node_link(node, agent_node);
	struct attempt *attempt = attempt_new(exchange, agent_node, request_nr);
	struct upstream *upstream = attempt_upstream(attempt);
	struct request request = *exchange->request;
	uint64_t left_us = exchange_time_left_us(exchange);
	uint64_t back_us = link ? 2ull * link->delay_us : 0;

	g_array_append_val(exchange->tried, agent_node);
	if (upstream) {
		upstream_sent(upstream, node->now_us);
		attempt->counted = true;
	}
	if (!exchange->nr_sent++)
		exchange->first_sent_us = node->now_us;
	request.request_nr = request_nr;
	request.target_node = agent_node;
	request.attempt = exchange->nr_sent;
	/* Leaves time for an agent's refusal to get here by the deadline. */
	left_us = left_us > back_us ? left_us - back_us : 0;
	request.deadline_ms = (uint32_t)MAX(left_us / 1000, 1);
	node_send(node, agent_node, MSG_REQUEST, &request);
}

void attempt_query_claim(struct exchange *exchange,
			 const struct claim_record *claim)
{
	struct attempt *attempt = attempt_new(exchange, claim->agent_node,
					      entry_next_nr(exchange->entry));

	attempt->origin_node = claim->entry_node;
	attempt->origin_nr = claim->request_nr;
	attempt->queried = true;
	attempt->await_arrival = true;
	if (attempt_agent_is_up(exchange, claim->agent_node))
		attempt_query_outcome(attempt);
	else
		attempt_peer_lost(attempt);
}

void attempt_end(struct attempt *attempt, enum upstream_end end,
		 const struct response *response)
{
	struct exchange *exchange = attempt->exchange;
	struct entry *entry = exchange->entry;
	struct upstream *upstream = attempt_upstream(attempt);
	const struct link *link = node_link(entry->node, attempt->agent_node);
	struct upstream_sample sample = { .end = end };
	uint64_t now_us = entry->node->now_us;
	uint64_t total_us = now_us - attempt->sent_us;

	if (response) {
		uint64_t used_us =
			(uint64_t)response->run_us + response->wait_us;

		sample.run_us = response->run_us;
		if (total_us > used_us && !attempt->queried)
			sample.path_us =
				(uint32_t)MIN(total_us - used_us, UINT32_MAX);
	}
	if (link)
		sample.path_rtt_us = 2 * link->delay_us;
	if (upstream && attempt->counted) {
		upstream_ended(upstream, &sample, now_us);
		if (service_check_health(exchange->service, upstream, now_us)) {
			GString *line = logline_new("eject");

			logline_str(line, "service", exchange->service->name);
			logline_id(line, "agent", upstream->agent_node);
			logline_u64(line, "for_us",
				    upstream->ejected_until_us - now_us);
			node_log(entry->node, line);
			counter_add(entry->node->counters, "entry_ejections",
				    1);
		}
	}
	timer_cancel(entry->node->timers, &attempt->lost);
	timer_cancel(entry->node->timers, &attempt->arrival);
	entry_capacity_changed(entry);
	g_hash_table_remove(entry->attempts, &attempt->request_nr);
	g_ptr_array_remove(exchange->attempts, attempt);
}

void attempt_send_cancel(const struct attempt *attempt)
{
	struct cancel cancel = { .request_nr = attempt->request_nr };

	/* This entry must not cancel a request that another entry sent. */
	if (attempt->origin_nr == attempt->request_nr)
		node_send(attempt->exchange->entry->node, attempt->agent_node,
			  MSG_CANCEL, &cancel);
}

void attempt_query_outcome(struct attempt *attempt)
{
	const struct exchange *exchange = attempt->exchange;
	struct node *node = exchange->entry->node;
	struct outcome_query query = { 0 };

	query.origin_node = attempt->origin_node;
	query.request_nr = attempt->origin_nr;
	query.reply_nr = attempt->request_nr;
	TEXT_SET(query.service, exchange->service->name);
	TEXT_SET(query.key, exchange->request->key);
	query.repeatable = exchange->request->repeatable;
	query.refuse = !attempt->await_arrival;
	attempt->queried = true;
	timer_cancel(node->timers, &attempt->lost);
	node_send(node, attempt->agent_node, MSG_OUTCOME_QUERY, &query);
}

void attempt_not_arrived(struct attempt *attempt)
{
	node_timer_ms(attempt->exchange->entry->node, &attempt->arrival,
		      CLAIM_ARRIVAL_MS);
}

void attempt_peer_lost(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;

	if (!exchange->request->repeatable) {
		/*
		 * The agent may still run the request and reconnect. Its
		 * upstream, with the count of open attempts, is removed
		 * together with the link.
		 */
		attempt->counted = false;
		timer_cancel(exchange->entry->node->timers, &attempt->arrival);
		node_timer_ms(exchange->entry->node, &attempt->lost,
			      AGENT_RECONNECT_MS);
		return;
	}
	exchange->may_have_run = true;
	attempt_end(attempt, UPSTREAM_END_FAILED, NULL);
	exchange_retry(exchange, RESULT_OUTCOME_UNKNOWN);
}
