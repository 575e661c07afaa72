#include "evict.h"

#include <string.h>

/* What a checkpoint, a stop and a new start cost in run time. */
#define EVICT_OVERHEAD_US 2000000ull

/* Processor time that is lost; without a checkpoint all that was done. */
static uint64_t lost_work(const struct plan_task *task, uint64_t now_us)
{
	uint64_t lost_us = EVICT_OVERHEAD_US;

	if (task->job->kind->no_checkpoint && task->running_us)
		lost_us += now_us - task->running_us;
	return lost_us / 1000 * task->size.cpu_millis;
}

static uint64_t newest(const struct plan_task *task, uint64_t now_us)
{
	return task->running_us ? now_us - task->running_us : 0;
}

const struct evict_ops evict_least_lost = {
	.name = "least-lost",
	.cost = lost_work,
	.stepwise = true,
};

const struct evict_ops evict_newest = {
	.name = "newest",
	.cost = newest,
	.stepwise = false,
};

static const struct evict_ops *const policies[] = {
	&evict_least_lost,
	&evict_newest,
};

const struct evict_ops *evict_find(const char *name)
{
	if (!strcmp(name, "default"))
		return &evict_least_lost;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	}
	return NULL;
}
