#include "admit_service.h"

#include <string.h>

#include "schema.h"
#include "tunables.h"

/* Requests over which the service time is averaged. */
#define ADMIT_SMOOTHING_RUNS 16

static gint admit_compare_deadlines(gconstpointer a, gconstpointer b,
				    gpointer data)
{
	const struct outcome *x = a;
	const struct outcome *y = b;

	(void)data;
	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return x->arrived_us < y->arrived_us ? -1 :
					       x->arrived_us > y->arrived_us;
}

struct admit_service *admit_service_new(struct admit *admit, const char *name)
{
	struct admit_service *service = g_new0(struct admit_service, 1);

	service->admit = admit;
	TEXT_SET(service->name, name);
	service->upstreams = g_ptr_array_new_with_free_func(g_free);
	service->queue = g_sequence_new(NULL);
	return service;
}

void admit_service_free(void *data)
{
	struct admit_service *service = data;

	if (!service)
		return;
	g_assert(!timer_armed(&service->expiry));
	g_ptr_array_unref(service->upstreams);
	g_sequence_free(service->queue);
	g_free(service);
}

uint32_t admit_service_queued(const struct admit_service *service)
{
	return (uint32_t)g_sequence_get_length(service->queue);
}

uint32_t admit_service_slots(const struct admit_service *service)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < service->upstreams->len; i++) {
		const struct admit_upstream *upstream =
			g_ptr_array_index(service->upstreams, i);

		if (admit_upstream_is_open(upstream))
			slots += MIN(upstream->slots, upstream->connections);
	}
	return slots;
}

void admit_service_load(const struct admit_service *service, bool closed,
			struct load *load)
{
	memset(load, 0, sizeof(*load));
	TEXT_SET(load->service, service->name);
	load->queued = admit_service_queued(service);
	load->service_time_us = service->service_time_us;
	load->leaving = closed || !admit_upstreams_any_open(service->upstreams);
	for (uint32_t i = 0; i < service->upstreams->len; i++) {
		const struct admit_upstream *upstream =
			g_ptr_array_index(service->upstreams, i);

		load->in_flight += upstream->in_flight;
		if (!admit_upstream_is_open(upstream))
			continue;
		load->slots += upstream->slots;
		load->connections += upstream->connections;
	}
}

void admit_service_record_run(struct admit_service *service, uint32_t run_us)
{
	int64_t old_us = service->service_time_us;

	if (!old_us)
		old_us = run_us;
	service->service_time_us = (uint32_t)MAX(
		old_us + ((int64_t)run_us - old_us) / ADMIT_SMOOTHING_RUNS, 1);
}

void admit_service_push(struct admit_service *service, struct outcome *outcome)
{
	outcome->queue_iter = g_sequence_insert_sorted(
		service->queue, outcome, admit_compare_deadlines, NULL);
}

bool admit_service_is_too_late(const struct admit_service *service,
			       const struct outcome *outcome)
{
	uint32_t slots = admit_service_slots(service);
	uint32_t position;
	uint64_t wait_us;

	if (!slots || admit_upstreams_most_free(service->upstreams))
		return false;
	position = (uint32_t)g_sequence_iter_get_position(outcome->queue_iter);
	wait_us = (uint64_t)service->service_time_us * (position + 1) / slots;
	return outcome->arrived_us + wait_us + service->service_time_us >
	       outcome->deadline_us;
}

struct outcome *admit_service_first(const struct admit_service *service)
{
	if (!admit_service_queued(service))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(service->queue));
}

struct outcome *admit_service_last(const struct admit_service *service)
{
	if (!admit_service_queued(service))
		return NULL;
	return g_sequence_get(
		g_sequence_iter_prev(g_sequence_get_end_iter(service->queue)));
}
