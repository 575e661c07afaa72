#include "service.h"

#include <string.h>

#include "schema.h"
#include "tunables.h"

#define LATENCY_MIN_SAMPLES 50
#define LATENCY_MAX_SAMPLES 2000
#define LATENCY_BUCKETS_PER_DOUBLING 4

static uint32_t latency_bucket(uint64_t latency_us)
{
	uint32_t log2 = 0;
	uint32_t step;

	latency_us = MAX(latency_us, LATENCY_BUCKETS_PER_DOUBLING);
	while (latency_us >> (log2 + 1))
		log2++;
	step = (uint32_t)(latency_us >> (log2 - 2)) &
	       (LATENCY_BUCKETS_PER_DOUBLING - 1);
	return MIN((log2 - 2) * LATENCY_BUCKETS_PER_DOUBLING + step,
		   SERVICE_LATENCY_BUCKETS - 1);
}

/* Returns the upper end of a bucket in us. */
static uint64_t latency_of_bucket(uint32_t bucket)
{
	uint32_t log2 = bucket / LATENCY_BUCKETS_PER_DOUBLING + 2;
	uint64_t step = bucket % LATENCY_BUCKETS_PER_DOUBLING + 1;

	return (1ull << log2) + (step << (log2 - 2));
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

struct service *service_new(const char *name)
{
	struct service *service = g_new0(struct service, 1);

	TEXT_SET(service->name, name);
	service->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	service->waiting = g_sequence_new(NULL);
	budget_init(&service->retries, RETRY_SHARE_PPM, RETRY_BURST);
	budget_init(&service->hedges, HEDGE_SHARE_PPM, HEDGE_BURST);
	return service;
}

void service_free(void *data)
{
	struct service *service = data;

	if (!service)
		return;
	g_ptr_array_unref(service->upstreams);
	g_sequence_free(service->waiting);
	g_free(service);
}

struct upstream *service_find(const struct service *service,
			      uint64_t agent_node)
{
	for (uint32_t i = 0; i < service->upstreams->len; i++) {
		struct upstream *upstream =
			g_ptr_array_index(service->upstreams, i);

		if (upstream->agent_node == agent_node)
			return upstream;
	}
	return NULL;
}

struct upstream *service_add(struct service *service, uint64_t agent_node,
			     uint64_t now_us)
{
	struct upstream *upstream = service_find(service, agent_node);

	if (upstream)
		return upstream;
	upstream = upstream_new(agent_node);
	/*
	 * The new upstream gets a slow start if another one has had enough runs
	 * to carry the load.
	 */
	for (uint32_t i = 0; i < service->upstreams->len; i++) {
		const struct upstream *other =
			g_ptr_array_index(service->upstreams, i);

		if (other->nr_runs >= SLOW_START_WARM_RUNS)
			upstream->slow_start_us = now_us;
	}
	g_ptr_array_add(service->upstreams, upstream);
	return upstream;
}

void service_remove(struct service *service, uint64_t agent_node)
{
	struct upstream *upstream = service_find(service, agent_node);

	if (upstream)
		g_ptr_array_remove(service->upstreams, upstream);
}

uint32_t service_median_time(const struct service *service)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t median_us = 0;

	for (uint32_t i = 0; i < service->upstreams->len; i++) {
		const struct upstream *upstream =
			g_ptr_array_index(service->upstreams, i);

		if (upstream->load.service_time_us)
			g_array_append_val(times,
					   upstream->load.service_time_us);
	}
	g_array_sort(times, compare_u32);
	if (times->len)
		median_us = g_array_index(times, uint32_t, times->len / 2);
	g_array_unref(times);
	return median_us;
}

void service_record_latency(struct service *service, uint64_t latency_us)
{
	service->latency[latency_bucket(latency_us)]++;
	service->nr_latencies++;
	if (service->nr_latencies < LATENCY_MAX_SAMPLES)
		return;
	/* Halves the weight of old samples, so that the p95 follows changes. */
	service->nr_latencies = 0;
	for (uint32_t i = 0; i < SERVICE_LATENCY_BUCKETS; i++) {
		service->latency[i] /= 2;
		service->nr_latencies += service->latency[i];
	}
}

uint64_t service_p95(const struct service *service)
{
	uint32_t above = 0;

	if (service->nr_latencies < LATENCY_MIN_SAMPLES)
		return 0;
	for (uint32_t i = SERVICE_LATENCY_BUCKETS; i-- > 0;) {
		above += service->latency[i];
		if (above > service->nr_latencies / 20)
			return latency_of_bucket(i);
	}
	return 0;
}

bool service_check_health(struct service *service, struct upstream *upstream,
			  uint64_t now_us)
{
	uint32_t nr_ejected = 0;

	if (!upstream_should_eject(upstream))
		return false;
	for (uint32_t i = 0; i < service->upstreams->len; i++)
		if (upstream_is_ejected(
			    g_ptr_array_index(service->upstreams, i), now_us))
			nr_ejected++;
	/*
	 * If more than 1/EJECT_CAP_DIVISOR of the upstreams fail, the failures
	 * probably have a common cause, which ejections don't remove.
	 */
	if ((nr_ejected + 1) * EJECT_CAP_DIVISOR > service->upstreams->len)
		return false;
	upstream_eject(upstream, now_us);
	return true;
}
