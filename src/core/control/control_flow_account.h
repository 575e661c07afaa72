#ifndef CONTROL_FLOW_ACCOUNT_H
#define CONTROL_FLOW_ACCOUNT_H

/**
 * @file control_flow_account.h
 * The log lines `place` and `task-ended`: where tasks of workflows were placed
 * and how their runs ended. One line has the entries of one step of one
 * occurrence from one iteration of the event loop, as a leader may place
 * hundreds of tasks at once and the logger limits the lines of one event. See
 * docs/design/account.md.
 */

#include "flow.h"
#include "node.h"

/** A value of struct flow_account_choice that doesn't apply. */
#define FLOW_ACCOUNT_NONE UINT64_MAX

struct flow_account;
struct flow_placement;

/** What decided a placement, apart from what the VM's record still shows. */
struct flow_account_choice {
	uint64_t cost_permille; /* as compared with the costs of other VMs */
	/* See control_flow_gain(); FLOW_ACCOUNT_NONE: the task isn't a filler
	 */
	uint64_t gain_permille;
	/*
	 * Tasks of the stage on the VM, this one included; FLOW_ACCOUNT_NONE:
	 * the step has no limit for each VM.
	 */
	uint64_t vm_step_runs;
};

struct flow_account *flow_account_new(struct node *node);
/** Writes the entries that aren't written yet, and frees the account. */
void flow_account_free(struct flow_account *account);

/** Adds a placement whose resources are reserved on its VM. */
void flow_account_place(struct flow_account *account,
			const struct flow_placement *placed,
			const struct flow_account_choice *choice);
/** Adds a committed end of a run; its placement is still in place. */
void flow_account_end(struct flow_account *account,
		      const struct flow_placement *placed, enum flow_end end);

#endif /* CONTROL_FLOW_ACCOUNT_H */
