#include "entry_exchange.h"

#include "tunables.h"

static gint exchange_compare_deadlines(gconstpointer a, gconstpointer b,
				       gpointer data)
{
	const struct exchange *x = a;
	const struct exchange *y = b;

	(void)data;
	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return x->submitted_us < y->submitted_us ?
		       -1 :
		       x->submitted_us > y->submitted_us;
}

/*
 * Returns true if the exchange is expected to be served by its deadline when
 * @a nr_ahead queued exchanges are served before it. @a slots is the sum of the
 * concurrency limits of the full upstreams.
 */
static bool exchange_can_wait(const struct exchange *exchange,
			      uint32_t nr_ahead, uint32_t slots)
{
	uint64_t now_us = exchange->entry->node->now_us;
	uint64_t run_us = service_median_time(exchange->service);

	if (nr_ahead >= slots * ENTRY_QUEUE_PER_SLOT)
		return false;
	return now_us + run_us + run_us * (nr_ahead + 1) / slots <=
	       exchange->deadline_us;
}

bool exchange_wait(struct exchange *exchange)
{
	struct attempt_capacity capacity = attempt_capacity(exchange);
	GSequence *waiting = exchange->service->waiting;
	uint32_t nr_waiting = (uint32_t)g_sequence_get_length(waiting);

	/*
	 * Queued exchanges are dispatched when an attempt ends or a load report
	 * arrives, as either may free a slot.
	 */
	if (exchange->attempts->len || !capacity.full_slots ||
	    !exchange_can_wait(exchange, nr_waiting, capacity.full_slots))
		return false;
	exchange->wait_iter = g_sequence_insert_sorted(
		waiting, exchange, exchange_compare_deadlines, NULL);
	exchange->entry->nr_waiting++;
	counter_add(exchange->entry->node->counters, "entry_waits", 1);
	return true;
}

void exchange_wait_end(struct exchange *exchange)
{
	if (!exchange->wait_iter)
		return;
	g_sequence_remove(exchange->wait_iter);
	exchange->wait_iter = NULL;
	exchange->entry->nr_waiting--;
}

void entry_capacity_changed(struct entry *entry)
{
	if (entry->nr_waiting && !timer_armed(&entry->wait_timer))
		node_timer_ms(entry->node, &entry->wait_timer, 0);
}

static void service_send_waiting(struct service *service)
{
	while (g_sequence_get_length(service->waiting)) {
		struct exchange *exchange = g_sequence_get(
			g_sequence_get_begin_iter(service->waiting));
		struct attempt_capacity capacity = attempt_capacity(exchange);

		if (!capacity.nr_free && capacity.nr_full)
			break;
		exchange_wait_end(exchange);
		exchange_dispatch(exchange, "room");
	}
}

void entry_send_waiting(void *data, uint64_t now_us)
{
	struct entry *entry = data;

	(void)now_us;
	for (uint32_t i = 0; i < entry->services->len; i++)
		service_send_waiting(g_ptr_array_index(entry->services, i));
}
