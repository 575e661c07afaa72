#include "share.h"

#include "tunables.h"

/* A use that is older than this is less than a millionth of what it was. */
#define SHARE_FORGET_US (20ull * SHARE_HALF_LIFE_TICKS * SHARE_TICK_US)

void share_use_init(struct share_use *use, uint64_t now_us,
		    uint64_t use_core_ms)
{
	*use = (struct share_use){ .core_us = use_core_ms * 1000,
				   .tick_us = now_us,
				   .counted_us = now_us };
}

void share_use_advance(struct share_use *use, uint64_t now_us)
{
	if (now_us <= use->counted_us)
		return;
	if (now_us - use->tick_us > SHARE_FORGET_US) {
		use->core_us = 0;
		use->open_millis_us = 0;
		use->tick_us = now_us - SHARE_FORGET_US;
		use->counted_us = MAX(use->counted_us, use->tick_us);
	}
	while (now_us - use->tick_us >= SHARE_TICK_US) {
		uint64_t end_us = use->tick_us + SHARE_TICK_US;

		use->open_millis_us +=
			use->running_millis * (end_us - use->counted_us);
		use->core_us = (use->core_us + use->open_millis_us / 1000) *
			       SHARE_TICK_KEEP_PPM / 1000000;
		use->open_millis_us = 0;
		use->tick_us = end_us;
		use->counted_us = end_us;
	}
	use->open_millis_us += use->running_millis * (now_us - use->counted_us);
	use->counted_us = now_us;
}

void share_use_run(struct share_use *use, uint64_t now_us, uint32_t cpu_millis,
		   bool starts)
{
	share_use_advance(use, now_us);
	if (starts)
		use->running_millis += cpu_millis;
	else
		use->running_millis -= MIN(use->running_millis, cpu_millis);
}

uint64_t share_use_core_ms(const struct share_use *use)
{
	return (use->core_us + use->open_millis_us / 1000) / 1000;
}

static uint64_t share_allowed_core_ms(const struct share_queue *queue)
{
	return queue->group->use_core_ms * queue->weight /
	       queue->group->weights;
}

static void share_sum(struct share_queue *const *queues, uint32_t nr_queues)
{
	for (uint32_t i = 0; i < nr_queues; i++)
		*queues[i]->group = (struct share_group){ 0 };
	for (uint32_t i = 0; i < nr_queues; i++) {
		struct share_queue *queue = queues[i];

		if (!queue->works)
			continue;
		queue->group->weights += queue->weight;
		queue->group->use_core_ms += queue->use_core_ms;
	}
}

/* Sets the queue's share and its excess. */
static void share_measure(struct share_queue *queue)
{
	uint64_t allowed_core_ms;

	queue->share_permille = 0;
	queue->excess_core_ms = 0;
	if (!queue->works)
		return;
	allowed_core_ms = share_allowed_core_ms(queue);
	queue->share_permille = (uint32_t)((uint64_t)queue->weight * 1000 /
					   queue->group->weights);
	if (queue->use_core_ms > allowed_core_ms)
		queue->excess_core_ms = queue->use_core_ms - allowed_core_ms;
	else if (queue->waits && queue->use_core_ms < allowed_core_ms)
		queue->group->waits_below = true;
}

/*
 * Returns the excess from which on the queue is over its share. A queue that is
 * over stays so until it is back at its share, so that the order doesn't change
 * with each start.
 */
static uint64_t share_margin_core_ms(const struct share_queue *queue)
{
	if (queue->over)
		return 1;
	return MAX(share_allowed_core_ms(queue) * SHARE_MARGIN_PERMILLE / 1000,
		   SHARE_MIN_CORE_MS);
}

void share_evaluate(struct share_queue *const *queues, uint32_t nr_queues)
{
	share_sum(queues, nr_queues);
	for (uint32_t i = 0; i < nr_queues; i++)
		share_measure(queues[i]);
	for (uint32_t i = 0; i < nr_queues; i++) {
		struct share_queue *queue = queues[i];

		queue->over = queue->works && queue->group->waits_below &&
			      queue->excess_core_ms >=
				      share_margin_core_ms(queue);
	}
}

bool share_use_changed(uint64_t stored_core_ms, uint64_t use_core_ms)
{
	uint64_t difference = stored_core_ms > use_core_ms ?
				      stored_core_ms - use_core_ms :
				      use_core_ms - stored_core_ms;

	if (use_core_ms < SHARE_MIN_CORE_MS)
		return stored_core_ms > 0;
	return difference >= SHARE_MIN_CORE_MS &&
	       difference > stored_core_ms / SHARE_SAVE_FRACTION;
}

bool share_defers(const struct share_queue *queue, uint64_t due_us,
		  uint64_t now_us)
{
	return queue->over && now_us < due_us;
}
