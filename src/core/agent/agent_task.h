#ifndef AGENT_TASK_H
#define AGENT_TASK_H

/**
 * @file agent_task.h
 * The agent's handling of tasks: it reports the VM's tasks to the leader, keeps
 * the leases (permissions to keep tasks running) and the permit (permission to
 * start tasks) that the leader grants, and has the worker start and stop tasks.
 */

#include "agent.h"
#include "msg_control.h"
#include "node.h"
#include "site.h"

struct agent_task;

struct agent_task_opts {
	const struct agent_host_ops *host; /* only platform_call is used */
	void *host_ctx;
	struct vm_record vm;
	struct site *site; /* borrowed */
};

struct agent_task *agent_task_new(struct node *node,
				  const struct agent_task_opts *opts);
void agent_task_free(struct agent_task *tasks);
/** Requests a list of the worker's tasks; the first report needs a list. */
void agent_task_start(struct agent_task *tasks);
void agent_task_leader_changed(struct agent_task *tasks, uint64_t node_id);
/** Handles MSG_GRANT and MSG_TASK_ORDER; returns false for other types. */
bool agent_task_message(struct agent_task *tasks, uint64_t from, uint32_t type,
			const void *body);
void agent_task_platform_done(struct agent_task *tasks, uint64_t call_nr,
			      const struct platform_answer *answer);

/** Returns true while the permit is valid and the VM's zone isn't out. */
bool agent_task_may_start(const struct agent_task *tasks);
/**
 * Returns true if the VM's zone is out of service according to the last grant
 * or to the site's view of zones.
 */
bool agent_task_zone_is_out(const struct agent_task *tasks);
/** Sets the services in the next reports; @a services is copied. */
void agent_task_set_services(struct agent_task *tasks,
			     const struct report_service *services,
			     uint32_t nr_services);
/**
 * Drops the permit and reports the VM as leaving, so that the leader moves the
 * VM's tasks to other VMs.
 */
void agent_task_shutdown(struct agent_task *tasks);
/**
 * Returns true if no call to the worker is in flight and, while the agent shuts
 * down, the leader has acknowledged the end of every task on this VM.
 */
bool agent_task_idle(const struct agent_task *tasks);

#endif /* AGENT_TASK_H */
