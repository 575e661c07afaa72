#include "entry_flight.h"

#include "tunables.h"

static gint flight_by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct flight *x = a;
	const struct flight *y = b;

	(void)data;
	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return x->submitted_us < y->submitted_us ?
		       -1 :
		       x->submitted_us > y->submitted_us;
}

/* Returns true if it can be served in time after @a nr_ahead others. */
static bool flight_can_wait(const struct flight *flight, uint32_t nr_ahead,
			    uint32_t slots)
{
	uint64_t now_us = flight->entry->node->now_us;
	uint64_t run_us = service_usual_time(flight->service);

	if (nr_ahead >= slots * ENTRY_QUEUE_PER_SLOT)
		return false;
	return now_us + run_us + run_us * (nr_ahead + 1) / slots <=
	       flight->deadline_us;
}

bool flight_wait(struct flight *flight)
{
	struct attempt_room room = attempt_room(flight);
	GSequence *waiting = flight->service->waiting;
	uint32_t nr_waiting = (uint32_t)g_sequence_get_length(waiting);

	/* The end of any attempt and any load report wake the queue. */
	if (flight->attempts->len || !room.full_slots ||
	    !flight_can_wait(flight, nr_waiting, room.full_slots))
		return false;
	flight->waits_at = g_sequence_insert_sorted(waiting, flight,
						    flight_by_deadline, NULL);
	flight->entry->nr_waiting++;
	counter_add(flight->entry->node->counters, "entry_waits", 1);
	return true;
}

void flight_wait_end(struct flight *flight)
{
	if (!flight->waits_at)
		return;
	g_sequence_remove(flight->waits_at);
	flight->waits_at = NULL;
	flight->entry->nr_waiting--;
}

void entry_room_changed(struct entry *entry)
{
	if (entry->nr_waiting && !timer_armed(&entry->pump))
		node_timer_ms(entry->node, &entry->pump, 0);
}

static void service_pump(struct service *service)
{
	while (g_sequence_get_length(service->waiting)) {
		struct flight *flight = g_sequence_get(
			g_sequence_get_begin_iter(service->waiting));
		struct attempt_room room = attempt_room(flight);

		if (!room.nr_free && room.nr_full)
			break;
		flight_wait_end(flight);
		flight_dispatch(flight, "room");
	}
}

void entry_pump(void *data, uint64_t now_us)
{
	struct entry *entry = data;

	(void)now_us;
	for (uint32_t i = 0; i < entry->services->len; i++)
		service_pump(g_ptr_array_index(entry->services, i));
}
