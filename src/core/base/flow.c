#include "flow.h"

uint32_t flow_retry_after_s(const struct flow_reply *reply)
{
	return reply->retry_after_ms / 1000 +
	       (reply->retry_after_ms % 1000 != 0);
}

bool flow_end_is_failure(uint32_t end)
{
	return end == FLOW_END_FAILED || end == FLOW_END_ALSO_FAILED;
}

const char *flow_end_name(uint32_t end)
{
	static const char *const names[] = {
		"none",	  "done",  "failed", "stopped", "lapsed",
		"broken", "alone", "lost",   "refused", "failed",
	};

	return end < G_N_ELEMENTS(names) ? names[end] : "unknown";
}

const char *flow_state_name(uint32_t state)
{
	static const char *const names[] = {
		"none", "queued", "running", "completed", "failed", "cancelled",
	};

	return state < G_N_ELEMENTS(names) ? names[state] : "unknown";
}
