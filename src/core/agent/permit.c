#include "permit.h"

#include "tunables.h"

void permit_set(struct permit *permit, uint64_t sent_us, uint32_t ttl_ms)
{
	permit->until_us = ttl_ms ? sent_us + ttl_ms * 1000ull : 0;
}

bool permit_holds(const struct permit *permit, uint64_t now_us)
{
	return now_us < permit->until_us;
}

uint32_t permit_left_ms(const struct permit *permit, uint64_t order_sent_us,
			uint64_t now_us)
{
	uint64_t until_us = order_sent_us + PERMIT_TTL_MS * 1000ull;

	if (permit->until_us < until_us)
		until_us = permit->until_us;
	return now_us < until_us ? (uint32_t)((until_us - now_us) / 1000) : 0;
}
