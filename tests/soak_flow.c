/**
 * @file soak_flow.c
 * The kinds of submissions and their documents.
 */

#include "soak.h"

/*
 * Together these use most of the site's processors and memory at times, so that
 * tasks wait for room.
 */
static const struct soak_flow_kind kinds[] = {
	{ .name = "quick",
	  .nr_steps = 2,
	  .nr_tasks = 6,
	  .cpu_millis = 500,
	  .memory_mib = 10,
	  .run_ms = 300,
	  .weight = 30 },
	{ .name = "wide",
	  .nr_steps = 2,
	  .nr_tasks = 8,
	  .cpu_millis = 1000,
	  .memory_mib = 10,
	  .run_ms = 700,
	  .weight = 12 },
	{ .name = "apart",
	  .nr_steps = 2,
	  .nr_tasks = 5,
	  .cpu_millis = 500,
	  .memory_mib = 10,
	  .run_ms = 400,
	  .max_per_worker = 1,
	  .weight = 14 },
	{ .name = "large",
	  .nr_steps = 1,
	  .nr_tasks = 3,
	  .cpu_millis = 3000,
	  .memory_mib = 10,
	  .run_ms = 600,
	  .weight = 5 },
	{ .name = "memory",
	  .nr_steps = 1,
	  .nr_tasks = 4,
	  .cpu_millis = 300,
	  .memory_mib = 6000,
	  .run_ms = 500,
	  .weight = 5 },
	{ .name = "labelled",
	  .nr_steps = 1,
	  .nr_tasks = 3,
	  .cpu_millis = 500,
	  .memory_mib = 10,
	  .run_ms = 400,
	  .max_per_worker = 1,
	  .label = "b",
	  .weight = 5 },
	{ .name = "once",
	  .nr_steps = 1,
	  .nr_tasks = 4,
	  .cpu_millis = 500,
	  .memory_mib = 10,
	  .run_ms = 300,
	  .how = "once",
	  .weight = 10 },
	{ .name = "failing",
	  .nr_steps = 1,
	  .nr_tasks = 3,
	  .cpu_millis = 300,
	  .memory_mib = 10,
	  .run_ms = 200,
	  .how = "fail",
	  .weight = 6 },
	{ .name = "lasting",
	  .nr_steps = 1,
	  .nr_tasks = 4,
	  .cpu_millis = 300,
	  .memory_mib = 10,
	  .target_ms = 200,
	  .max_per_worker = 2,
	  .weight = 3 },
	/* Each sound worker has room for all of its tasks. */
	{ .name = "steady",
	  .nr_steps = 1,
	  .nr_tasks = 4,
	  .cpu_millis = 300,
	  .memory_mib = 10,
	  .target_ms = 200,
	  .weight = 2 },
	{ .name = "filler",
	  .nr_steps = 1,
	  .nr_tasks = 4,
	  .cpu_millis = 500,
	  .memory_mib = 10,
	  .run_ms = 500,
	  .fills = true,
	  .weight = 8 },
	/* A worker has more ended runs than one reply lists. */
	{ .name = "many",
	  .nr_steps = 1,
	  .nr_tasks = 2400,
	  .cpu_millis = 2,
	  .memory_mib = 1,
	  .run_ms = 1500,
	  .weight = 1 },
};

const struct soak_flow_kind *soak_flow_steady_kind(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!kinds[i].run_ms && !kinds[i].max_per_worker)
			return &kinds[i];
	return NULL;
}

const struct soak_flow_kind *soak_flow_draw_kind(GRand *random)
{
	uint32_t sum = 0;
	uint32_t at;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		sum += kinds[i].weight;
	at = (uint32_t)g_rand_int_range(random, 0, (gint)sum);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (at < kinds[i].weight)
			return &kinds[i];
		at -= kinds[i].weight;
	}
	return &kinds[0];
}

char *soak_flow_text(const struct soak_flow *flow)
{
	const struct soak_flow_kind *kind = flow->kind;
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"spec\":\"%u %s %u %u\",\"steps\":[",
			kind->run_ms, kind->how ? kind->how : "done",
			kind->fills ? 0 : kind->cpu_millis, kind->memory_mib);
	for (uint32_t i = 0; i < kind->nr_steps; i++) {
		g_string_append_printf(
			text,
			"%s{\"count\":%u,\"cpu\":%u,\"memMb\":%u,"
			"\"estimateMs\":%u",
			i ? "," : "", kind->nr_tasks, kind->cpu_millis,
			kind->memory_mib, kind->run_ms ? kind->run_ms : 1000);
		if (i)
			g_string_append_printf(text, ",\"after\":[%u]", i - 1);
		if (kind->max_per_worker)
			g_string_append_printf(text, ",\"maxPerServer\":%u",
					       kind->max_per_worker);
		if (kind->label)
			g_string_append_printf(
				text, ",\"requiredLabel\":\"%s\"", kind->label);
		if (!kind->run_ms)
			g_string_append_printf(text,
					       ",\"longRunning\":true,"
					       "\"image\":\"%s\","
					       "\"targetMs\":%u",
					       kind->name, kind->target_ms);
		if (kind->fills)
			g_string_append_printf(
				text, ",\"fills\":true,\"image\":\"%s\"",
				kind->name);
		g_string_append_c(text, '}');
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}
