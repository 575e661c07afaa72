#ifndef TEAM_H
#define TEAM_H

/**
 * @file team.h
 * A team's quota and the sum of the sizes of its placed tasks.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "plan_vm.h"

struct team {
	char name[NAME_BYTES];
	struct task_size quota; /* 0 for a resource: no limit */
	struct task_size used; /* sum over reserved and committed tasks */
};

struct team *team_new(const char *name);
void team_free(struct team *team);

/** Sets the quota from the bundle; NULL: the team is not listed, no limit. */
void team_set_quota(struct team *team, const struct bundle_team *settings);

/** Returns true if the quota permits another task of @a size now. */
bool team_allows(const struct team *team, const struct task_size *size);
/** Returns true if the quota permits a task of @a size when none is placed. */
bool team_ever_allows(const struct team *team, const struct task_size *size);

void team_use(struct team *team, const struct task_size *size);
void team_return(struct team *team, const struct task_size *size);

#endif /* TEAM_H */
