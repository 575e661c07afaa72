#include "timer.h"

#include <glib.h>

struct timers {
	GPtrArray *heap; /* struct timer *, binary heap, earliest first */
};

static struct timer *timer_at(const struct timers *timers, uint32_t i)
{
	return g_ptr_array_index(timers->heap, i);
}

static void timer_put(struct timers *timers, uint32_t i, struct timer *timer)
{
	timers->heap->pdata[i] = timer;
	timer->slot = i + 1;
}

static void timer_sift_up(struct timers *timers, uint32_t i)
{
	struct timer *timer = timer_at(timers, i);

	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (timer_at(timers, parent)->due_us <= timer->due_us)
			break;
		timer_put(timers, i, timer_at(timers, parent));
		i = parent;
	}
	timer_put(timers, i, timer);
}

static void timer_sift_down(struct timers *timers, uint32_t i)
{
	struct timer *timer = timer_at(timers, i);
	uint32_t nr = timers->heap->len;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= nr)
			break;
		if (child + 1 < nr && timer_at(timers, child + 1)->due_us <
					      timer_at(timers, child)->due_us)
			child++;
		if (timer->due_us <= timer_at(timers, child)->due_us)
			break;
		timer_put(timers, i, timer_at(timers, child));
		i = child;
	}
	timer_put(timers, i, timer);
}

struct timers *timers_new(void)
{
	struct timers *timers = g_new0(struct timers, 1);

	timers->heap = g_ptr_array_new();
	return timers;
}

void timers_free(struct timers *timers)
{
	if (!timers)
		return;
	g_ptr_array_free(timers->heap, TRUE);
	g_free(timers);
}

void timer_cancel(struct timers *timers, struct timer *timer)
{
	uint32_t i = timer->slot - 1;
	uint32_t last = timers->heap->len - 1;
	struct timer *moved;

	if (!timer->slot)
		return;
	g_assert(timer_at(timers, i) == timer);
	moved = timer_at(timers, last);
	g_ptr_array_set_size(timers->heap, (gint)last);
	timer->slot = 0;
	if (moved == timer)
		return;
	timer_put(timers, i, moved);
	timer_sift_up(timers, i);
	timer_sift_down(timers, moved->slot - 1);
}

void timer_set(struct timers *timers, struct timer *timer, uint64_t due_us)
{
	timer_cancel(timers, timer);
	timer->due_us = due_us;
	g_ptr_array_add(timers->heap, timer);
	timer_sift_up(timers, timers->heap->len - 1);
}

bool timer_armed(const struct timer *timer)
{
	return timer->slot != 0;
}

void timers_run(struct timers *timers, uint64_t now_us)
{
	while (timers->heap->len && timer_at(timers, 0)->due_us <= now_us) {
		struct timer *timer = timer_at(timers, 0);

		timer_cancel(timers, timer);
		timer->fn(timer->data, now_us);
	}
}

uint64_t timers_next_us(const struct timers *timers)
{
	return timers->heap->len ? timer_at(timers, 0)->due_us : TIMER_NEVER;
}
