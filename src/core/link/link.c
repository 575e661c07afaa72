#include "link.h"

#include "tunables.h"

/* Smooths the delay and its deviation as TCP does with round trips. */
static void link_measure(struct link *link, uint32_t sample_us)
{
	uint32_t diff;

	if (!link->delay_us) {
		link->delay_us = sample_us ? sample_us : 1;
		link->delay_var_us = sample_us / 2;
		return;
	}
	diff = sample_us > link->delay_us ? sample_us - link->delay_us :
					    link->delay_us - sample_us;
	link->delay_var_us =
		link->delay_var_us - link->delay_var_us / 4 + diff / 4;
	link->delay_us = link->delay_us - link->delay_us / 8 + sample_us / 8;
}

static uint32_t link_sent(const struct link *link)
{
	return link->ping_seq < LINK_PING_HISTORY ? (uint32_t)link->ping_seq :
						    LINK_PING_HISTORY;
}

void link_next_ping(struct link *link, struct ping *ping, uint64_t now_us)
{
	link->ping_seq++;
	link->answered <<= 1;
	link->unanswered++;
	link->ping_due_us = now_us + LINK_PING_INTERVAL_MS * 1000ull;
	ping->seq = link->ping_seq;
	ping->sent_us = now_us;
}

void link_received(struct link *link, uint64_t now_us)
{
	link->heard_us = now_us;
	link->unanswered = 0;
	link->silent = false;
}

void link_pong(struct link *link, const struct pong *pong, uint64_t now_us)
{
	uint64_t age = link->ping_seq - pong->seq;

	if (pong->seq > link->ping_seq || pong->sent_us > now_us)
		return;
	if (age < LINK_PING_HISTORY)
		link->answered |= 1u << age;
	if (now_us - pong->sent_us <= UINT32_MAX)
		link_measure(link, (uint32_t)(now_us - pong->sent_us) / 2);
}

uint32_t link_loss_ppm(const struct link *link)
{
	uint32_t sent = link_sent(link);
	uint32_t lost = 0;

	/* Leaves out the newest ping, whose answer may still arrive. */
	for (uint32_t i = 1; i < sent; i++)
		if (!(link->answered >> i & 1))
			lost++;
	return sent > 1 ? (uint32_t)(lost * 1000000ull / (sent - 1)) : 0;
}

bool link_is_silent(const struct link *link)
{
	return link->unanswered > LINK_SILENT_PINGS;
}

void link_reset(struct link *link, uint64_t now_us)
{
	link->ping_seq = 0;
	link->answered = 0;
	link->unanswered = 0;
	link->silent = false;
	link->heard_us = now_us;
	link->ping_due_us = now_us;
}
