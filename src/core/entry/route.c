#include "route.h"

#include <glib.h>

#include "tunables.h"

#define PPM 1000000ull

/* Compares by cost, then by load. */
static bool route_is_better(const struct route_candidate *a,
			    const struct route_candidate *b)
{
	if (a->cost_us != b->cost_us)
		return a->cost_us < b->cost_us;
	return a->load < b->load;
}

/* Returns the number of candidates that are better than candidate @a i. */
static uint32_t route_rank(const struct route_query *query, uint32_t i)
{
	uint32_t rank = 0;

	for (uint32_t k = 0; k < query->nr_candidates; k++)
		if (k != i && route_is_better(&query->candidates[k],
					      &query->candidates[i]))
			rank++;
	return rank;
}

/* Returns the index of the @a nth candidate of the @a half best ones. */
static uint32_t route_nth_of_half(const struct route_query *query,
				  uint32_t half, uint32_t nth)
{
	uint32_t last = 0;

	for (uint32_t i = 0; i < query->nr_candidates; i++) {
		if (route_rank(query, i) >= half)
			continue;
		last = i;
		if (!nth--)
			return i;
	}
	return last;
}

/*
 * Draws two candidates of the better half at random and takes the better one.
 * If every entry took the best candidate, all entries would send to the same
 * idle upstream until its next load report.
 */
static uint32_t route_pick_expected(const struct route_query *query)
{
	uint32_t half = (query->nr_candidates + 1) / 2;
	uint32_t a = (uint32_t)(query->random >> 32) % half;
	uint32_t b = (uint32_t)query->random % half;

	a = route_nth_of_half(query, half, a);
	b = route_nth_of_half(query, half, b);
	return route_is_better(&query->candidates[b], &query->candidates[a]) ?
		       b :
		       a;
}

/* Takes the candidates in turn, regardless of their load. */
static uint32_t route_pick_round_robin(const struct route_query *query)
{
	return (*query->cursor)++ % query->nr_candidates;
}

static const struct route_ops route_table[] = {
	{ "expected-completion", route_pick_expected },
	{ "round-robin", route_pick_round_robin },
};

void route_estimate(struct route_candidate *candidate)
{
	uint32_t slots = MAX(candidate->upstream->load.slots, 1);
	uint64_t run_us = candidate->service_time_us;

	/*
	 * A request on a free slot takes one service time, so wait_us only
	 * counts the load above the number of slots. cost_us counts all load,
	 * so that otherwise equal upstreams are ordered by load.
	 */
	candidate->wait_us = 2ull * candidate->delay_us + run_us;
	if (candidate->load >= slots)
		candidate->wait_us +=
			run_us * (candidate->load + 1 - slots) / slots;
	candidate->cost_us = 2ull * candidate->delay_us + run_us +
			     run_us * candidate->load / slots;
	candidate->cost_us += candidate->cost_us * candidate->cost_ppm / PPM;
	candidate->cost_us +=
		ROUTE_LOSS_PENALTY_US * (uint64_t)candidate->loss_ppm / PPM;
}

const struct route_ops *route_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route_table); i++)
		if (!g_strcmp0(route_table[i].name, name))
			return &route_table[i];
	return &route_table[0];
}
