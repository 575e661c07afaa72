#include "admit_upstream.h"

#include "schema.h"
#include "tunables.h"

static struct executor *admit_upstream_at(const GPtrArray *executors,
					  uint32_t i)
{
	return g_ptr_array_index(executors, i);
}

bool admit_upstream_is_open(const struct executor *executor)
{
	return !executor->leaving && !executor->refused && !executor->gone;
}

uint32_t admit_upstream_free_slots(const struct executor *executor)
{
	uint32_t limit = MIN(executor->slots, executor->connections);

	if (!admit_upstream_is_open(executor) || executor->in_flight >= limit)
		return 0;
	return limit - executor->in_flight;
}

void admit_upstream_announced(struct executor *executor,
			      const struct platform_announce *announce,
			      uint64_t now_us)
{
	TEXT_SET(executor->address, announce->address);
	executor->slots = announce->slots;
	executor->connections = announce->connections;
	executor->leaving = announce->leaving;
	executor->refused = false;
	executor->expires_us = now_us + UPSTREAM_ANNOUNCE_TTL_MS * 1000ull;
}

struct executor *admit_upstreams_find(const GPtrArray *executors,
				      const char *id)
{
	for (uint32_t i = 0; i < executors->len; i++) {
		struct executor *executor = admit_upstream_at(executors, i);

		if (!executor->gone && !g_strcmp0(executor->id, id))
			return executor;
	}
	return NULL;
}

struct executor *admit_upstreams_most_free(const GPtrArray *executors)
{
	struct executor *best = NULL;

	for (uint32_t i = 0; i < executors->len; i++) {
		struct executor *executor = admit_upstream_at(executors, i);

		if (admit_upstream_free_slots(executor) >
		    (best ? admit_upstream_free_slots(best) : 0))
			best = executor;
	}
	return best;
}

bool admit_upstreams_any_open(const GPtrArray *executors)
{
	for (uint32_t i = 0; i < executors->len; i++)
		if (admit_upstream_is_open(admit_upstream_at(executors, i)))
			return true;
	return false;
}

void admit_upstreams_expire(GPtrArray *executors, uint64_t now_us)
{
	for (uint32_t i = executors->len; i-- > 0;) {
		struct executor *executor = admit_upstream_at(executors, i);

		if (executor->expires_us <= now_us)
			executor->gone = true;
		if (executor->gone && !executor->in_flight)
			g_ptr_array_remove_index(executors, i);
	}
}

uint64_t admit_upstreams_next_expiry_us(const GPtrArray *executors)
{
	uint64_t next_us = TIMER_NEVER;

	for (uint32_t i = 0; i < executors->len; i++) {
		const struct executor *executor =
			admit_upstream_at(executors, i);

		if (!executor->gone)
			next_us = MIN(next_us, executor->expires_us);
	}
	return next_us;
}
