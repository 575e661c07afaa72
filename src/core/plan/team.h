#ifndef TEAM_H
#define TEAM_H

/**
 * @file team.h
 * One team's quota and what its placed tasks have committed.
 */

#include <stdbool.h>
#include <stdint.h>

#include "command.h"
#include "plan_vm.h"

struct team {
	char name[NAME_BYTES];
	struct task_size quota; /* 0 in a resource: no limit */
	struct task_size used;
};

struct team *team_new(const char *name);
void team_free(struct team *team);

/** Takes the quota from the bundle; NULL: the bundle has no such team. */
void team_set_quota(struct team *team, const struct bundle_team *settings);

/** Returns true if the team may place another task of @a size. */
bool team_allows(const struct team *team, const struct task_size *size);
/** Returns true if an idle team could place a task of @a size. */
bool team_ever_allows(const struct team *team, const struct task_size *size);

void team_use(struct team *team, const struct task_size *size);
void team_return(struct team *team, const struct task_size *size);

#endif /* TEAM_H */
