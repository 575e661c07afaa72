#include "lease.h"

void lease_renew(struct lease *lease, uint64_t sent_us, uint32_t ttl_ms)
{
	uint64_t until_us = sent_us + ttl_ms * 1000ull;

	if (until_us > lease->until_us)
		lease->until_us = until_us;
}

bool lease_holds(const struct lease *lease, uint64_t now_us)
{
	return now_us < lease->until_us;
}

uint32_t lease_left_ms(const struct lease *lease, uint64_t now_us)
{
	if (!lease_holds(lease, now_us))
		return 0;
	return (uint32_t)((lease->until_us - now_us) / 1000);
}
