#include "flow_log.h"

/* Counts the lines with an entry "INDEX/RUN@" followed by @a rest, a regex. */
static uint32_t count_entries(const struct sim *sim, const char *event,
			      const char *task, uint32_t run, const char *rest)
{
	char **parts = g_strsplit(task, ".", 4);
	char *regex;
	uint32_t nr;

	g_assert(g_strv_length(parts) == 4);
	regex = g_strdup_printf("^event=%s id=%s occurrence=%s step=%s nr=\\d+ "
				"tasks=(\\S+,)?%s/%u@%s(,| |$)",
				event, parts[0], parts[1], parts[2], parts[3],
				run, rest);
	nr = sim_log_matches(sim, regex);
	g_free(regex);
	g_strfreev(parts);
	return nr;
}

uint32_t flow_log_placed(const struct sim *sim, const char *task, uint32_t run,
			 const char *vm)
{
	return count_entries(sim, "place", task, run, vm ? vm : "[^, ]+");
}

uint32_t flow_log_ended(const struct sim *sim, const char *task, uint32_t run,
			const char *end)
{
	char *rest = g_strdup_printf("[^:, ]+:%s:\\d+(:\\d+)?", end);
	uint32_t nr = count_entries(sim, "task-ended", task, run, rest);

	g_free(rest);
	return nr;
}
