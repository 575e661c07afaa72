#ifndef AGENT_TASK_H
#define AGENT_TASK_H

/**
 * @file agent_task.h
 * The agent's part in running tasks: reports to the leader, leases, start
 * permits and the calls to the worker.
 */

#include "agent.h"
#include "msg_control.h"
#include "node.h"
#include "site.h"

struct agent_task;

struct agent_task_opts {
	const struct agent_host_ops *host; /* platform_call only */
	void *host_ctx;
	struct vm_record vm;
	struct site *site; /* borrowed */
};

struct agent_task *agent_task_new(struct node *node,
				  const struct agent_task_opts *opts);
void agent_task_free(struct agent_task *tasks);
/** Lists the worker's tasks, then begins to report. */
void agent_task_start(struct agent_task *tasks);
void agent_task_leader_changed(struct agent_task *tasks, uint64_t node_id);
/** Takes MSG_GRANT and MSG_TASK_ORDER; returns false for other types. */
bool agent_task_message(struct agent_task *tasks, uint64_t from, uint32_t type,
			const void *body);
void agent_task_platform_done(struct agent_task *tasks, uint64_t call_nr,
			      uint32_t type, const void *body);

/** Returns true while the start permit holds. */
bool agent_task_may_start(const struct agent_task *tasks);
/** Returns true if the leader said last that the VM's zone is out. */
bool agent_task_zone_is_out(const struct agent_task *tasks);
/** Sets what the next reports say of the VM's upstreams; copied. */
void agent_task_set_services(struct agent_task *tasks,
			     const struct report_service *services,
			     uint32_t nr_services);
/** Reports as leaving from now on; tasks are moved away by control. */
void agent_task_shutdown(struct agent_task *tasks);
/**
 * Returns true when no call to the worker is under way and, while the agent
 * shuts down, no task is left here whose end control doesn't know.
 */
bool agent_task_idle(const struct agent_task *tasks);

#endif /* AGENT_TASK_H */
