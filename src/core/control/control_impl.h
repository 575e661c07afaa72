#ifndef CONTROL_IMPL_H
#define CONTROL_IMPL_H

/**
 * @file control_impl.h
 * Types and functions that the files of the control role share. They include
 * the leader's tracked state, which is kept in memory only and which each new
 * leader rebuilds.
 */

#include "control.h"
#include "control_claim.h"
#include "control_flow.h"
#include "control_op.h"
#include "control_plan.h"
#include "control_task.h"
#include "control_view.h"
#include "control_vm.h"
#include "logline.h"
#include "plan.h"
#include "state.h"

struct control_proposal;

/**
 * Called once with the committed outcome, or with the reason why there is none.
 */
typedef void (*control_done_fn)(struct control *control,
				const struct control_proposal *proposal,
				const struct state_outcome *outcome);

/**
 * A proposed command and what is needed to answer the operator or entry that
 * caused it.
 */
struct control_proposal {
	control_done_fn done;
	uint32_t type; /* CMD_* */
	uint64_t proposed_us;
	/* Identifies the request of the operator or entry to answer. */
	uint64_t ticket;
	uint64_t peer; /* node id of the entry to answer, if an entry asked */
	uint64_t task_id;
	char vm[NAME_BYTES];
	struct record command; /* holds a reference */
	struct plan_decision decision;
	uint32_t plan_generation;
};

/** What the leader knows of a VM beyond the committed state. */
struct control_vm {
	char name[NAME_BYTES];
	/* The agent's incarnation that the other members are about. */
	uint64_t node_id;
	/* Time of the last report that was answered with a grant. */
	uint64_t heard_us;
	uint64_t reported_us; /* time of the last report */
	uint64_t report_seq;
	/* Agent's clock when it sent its first report to this leader. */
	uint64_t first_sent_us;
	/* Agent's clock when it sent the newest report. */
	uint64_t report_sent_us;
	bool set_pending; /* CMD_VM_SET is proposed */
	bool loss_pending; /* CMD_VM_LOST is proposed; no grants are sent */
};

/** What the leader knows of a task on a VM beyond the committed state. */
struct control_task {
	uint64_t task_id;
	uint64_t epoch; /* number of the task's placement */
	uint64_t ordered_us; /* time of the last order, 0: none */
	/*
	 * Time by the agent's clock from which the permit in the last order to
	 * start counts.
	 */
	uint64_t permit_sent_us;
	uint32_t nr_starts; /* number of orders to start under this epoch */
	bool proposing; /* CMD_TASK_SET is proposed */
};

/** An agent or entry that this replica has a link to. */
struct control_peer {
	uint64_t node_id;
	uint32_t role; /* enum node_role */
	uint64_t bundle_version; /* in force there, by its last message */
	uint64_t view_version; /* of the last view sent there, 0: none */
	/*
	 * Sum of the node ids of the replicas whose addresses it was last sent,
	 * 0: none.
	 */
	uint64_t members_sum;
};

struct control {
	struct node *node;
	struct control_opts opts;
	struct raft *raft;
	struct state *state;
	bool leader;
	uint64_t leader_since_us;
	uint64_t next_tag;
	GHashTable *proposals; /* tag -> struct control_proposal * */
	GHashTable *peers; /* node_id -> struct control_peer * */
	/* tracked state of the leader, unused on other replicas */
	struct control_flow *flows; /* NULL: not the leader */
	struct plan *plan; /* NULL: not the leader */
	uint32_t plan_generation;
	/* A new plan must be built, as the policies have changed. */
	bool plan_stale;
	char place_policy[NAME_BYTES]; /* of the plan */
	char evict_policy[NAME_BYTES];
	GHashTable *vms; /* name -> struct control_vm * */
	GHashTable *tasks; /* task_id -> struct control_task * */
	struct timer plan_timer;
	struct timer vm_timer;
	struct timer expire_timer;
	/*
	 * The view is the copy of zones, agents and bundle that agents and
	 * entries have. The sets hold changes that haven't been sent yet.
	 */
	uint64_t view_version; /* of the last view that was sent */
	GHashTable *view_zones; /* set of names */
	GHashTable *view_vms; /* set of names */
	GHashTable
		*view_announced; /* name -> node_id * as last sent to peers */
	bool view_bundle; /* the bundle has changed */
	struct timer view_timer;
};

/**
 * Returns the wall clock in milliseconds, but never less than the state's
 * clock, the latest time in a committed command.
 */
uint64_t control_wall_ms(const struct control *control);

/** Returns RESULT_OK if this replica may answer requests and grant leases. */
enum result control_check_leader(const struct control *control);

/**
 * Proposes a command; the body is copied. @a proposal is copied too. Its member
 * done, if it isn't NULL, is called once unless this function returns an error.
 */
enum result control_propose(struct control *control, uint32_t type,
			    const void *body,
			    const struct control_proposal *proposal);

#endif /* CONTROL_IMPL_H */
