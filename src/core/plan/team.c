#include "team.h"

#include "schema.h"

struct team *team_new(const char *name)
{
	struct team *team = g_new0(struct team, 1);

	TEXT_SET(team->name, name);
	return team;
}

void team_free(struct team *team)
{
	g_free(team);
}

void team_set_quota(struct team *team, const struct bundle_team *settings)
{
	team->quota = (struct task_size){ 0 };
	if (!settings)
		return;
	team->quota.cpu_millis = settings->quota_cpu_millis;
	team->quota.memory_mib = settings->quota_memory_mib;
	team->quota.accelerators = settings->quota_accelerators;
}

static bool within(uint32_t quota, uint64_t used)
{
	return !quota || used <= quota;
}

static bool quota_holds(const struct team *team, const struct task_size *used,
			const struct task_size *size)
{
	const struct task_size *quota = &team->quota;

	return within(quota->cpu_millis,
		      (uint64_t)used->cpu_millis + size->cpu_millis) &&
	       within(quota->memory_mib,
		      (uint64_t)used->memory_mib + size->memory_mib) &&
	       within(quota->accelerators,
		      (uint64_t)used->accelerators + size->accelerators);
}

bool team_allows(const struct team *team, const struct task_size *size)
{
	return quota_holds(team, &team->used, size);
}

bool team_ever_allows(const struct team *team, const struct task_size *size)
{
	const struct task_size idle = { 0 };

	return quota_holds(team, &idle, size);
}

void team_use(struct team *team, const struct task_size *size)
{
	size_add(&team->used, size);
}

void team_return(struct team *team, const struct task_size *size)
{
	size_sub(&team->used, size);
}
