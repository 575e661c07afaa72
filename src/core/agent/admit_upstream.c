#include "admit_upstream.h"

#include "schema.h"
#include "tunables.h"

static struct admit_upstream *admit_upstream_at(const GPtrArray *upstreams,
						uint32_t i)
{
	return g_ptr_array_index(upstreams, i);
}

bool admit_upstream_is_open(const struct admit_upstream *upstream)
{
	return !upstream->leaving && !upstream->refused && !upstream->removed;
}

uint32_t admit_upstream_free_slots(const struct admit_upstream *upstream)
{
	uint32_t limit = MIN(upstream->slots, upstream->connections);

	if (!admit_upstream_is_open(upstream) || upstream->in_flight >= limit)
		return 0;
	return limit - upstream->in_flight;
}

void admit_upstream_announced(struct admit_upstream *upstream,
			      const struct platform_announce *announce,
			      uint64_t now_us)
{
	TEXT_SET(upstream->address, announce->address);
	upstream->slots = announce->slots;
	upstream->connections = announce->connections;
	upstream->leaving = announce->leaving;
	upstream->refused = false;
	upstream->removed = false;
	upstream->expires_us = now_us + UPSTREAM_ANNOUNCE_TTL_MS * 1000ull;
}

struct admit_upstream *admit_upstreams_find(const GPtrArray *upstreams,
					    const char *id)
{
	for (uint32_t i = 0; i < upstreams->len; i++) {
		struct admit_upstream *upstream =
			admit_upstream_at(upstreams, i);

		if (!upstream->removed && !g_strcmp0(upstream->id, id))
			return upstream;
	}
	return NULL;
}

struct admit_upstream *admit_upstreams_find_removed(const GPtrArray *upstreams,
						    const char *id,
						    const char *address)
{
	for (uint32_t i = 0; i < upstreams->len; i++) {
		struct admit_upstream *upstream =
			admit_upstream_at(upstreams, i);

		if (upstream->removed && !g_strcmp0(upstream->id, id) &&
		    !g_strcmp0(upstream->address, address))
			return upstream;
	}
	return NULL;
}

struct admit_upstream *admit_upstreams_most_free(const GPtrArray *upstreams)
{
	struct admit_upstream *best = NULL;

	for (uint32_t i = 0; i < upstreams->len; i++) {
		struct admit_upstream *upstream =
			admit_upstream_at(upstreams, i);

		if (admit_upstream_free_slots(upstream) >
		    (best ? admit_upstream_free_slots(best) : 0))
			best = upstream;
	}
	return best;
}

bool admit_upstreams_any_open(const GPtrArray *upstreams)
{
	for (uint32_t i = 0; i < upstreams->len; i++)
		if (admit_upstream_is_open(admit_upstream_at(upstreams, i)))
			return true;
	return false;
}

void admit_upstreams_expire(GPtrArray *upstreams, uint64_t now_us)
{
	for (uint32_t i = upstreams->len; i-- > 0;) {
		struct admit_upstream *upstream =
			admit_upstream_at(upstreams, i);

		if (upstream->expires_us <= now_us)
			upstream->removed = true;
		if (upstream->removed && !upstream->in_flight)
			g_ptr_array_remove_index(upstreams, i);
	}
}

uint64_t admit_upstreams_next_expiry_us(const GPtrArray *upstreams)
{
	uint64_t next_us = TIMER_NEVER;

	for (uint32_t i = 0; i < upstreams->len; i++) {
		const struct admit_upstream *upstream =
			admit_upstream_at(upstreams, i);

		if (!upstream->removed)
			next_us = MIN(next_us, upstream->expires_us);
	}
	return next_us;
}
