#ifndef CONTROL_IMPL_H
#define CONTROL_IMPL_H

/**
 * @file control_impl.h
 * What the files of the control role share. The soft state in here belongs to
 * the leader and is made anew with each leadership.
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

/** Called once with the committed outcome or why there is none. */
typedef void (*control_done_fn)(struct control *control,
				const struct control_proposal *proposal,
				const struct state_outcome *outcome);

/** A command on its way through the log, and whom to answer. */
struct control_proposal {
	control_done_fn done;
	uint32_t type; /* CMD_* */
	uint64_t proposed_us;
	uint64_t ticket; /* of an operator or of an entry's claim */
	uint64_t peer; /* entry that claims */
	uint64_t task_id;
	char vm[NAME_BYTES];
	struct record command; /* referenced */
	struct plan_decision decision;
	uint32_t plan_generation;
};

/** What the leader knows of a VM beyond the state. */
struct control_vm {
	char name[NAME_BYTES];
	uint64_t node_id; /* incarnation that the rest is about */
	uint64_t heard_us; /* time of the last report that got a grant */
	uint64_t reported_us; /* time of the last report */
	uint64_t report_seq;
	uint64_t first_sent_us; /* agent's clock, first report taken */
	uint64_t report_sent_us; /* agent's clock, newest report taken */
	bool setting; /* CMD_VM_SET is under way */
	bool loss_pending; /* CMD_VM_LOST is under way: no grants */
};

/** What the leader knows of a task that is on a VM. */
struct control_task {
	uint64_t task_id;
	uint64_t epoch;
	uint64_t ordered_us; /* time of the last order, 0: none */
	uint64_t permit_sent_us; /* agent's clock: the last start counts from */
	uint32_t nr_starts; /* orders to start under this epoch */
	bool proposing; /* CMD_TASK_SET is under way */
};

/** An agent or entry with an open link. */
struct control_peer {
	uint64_t node_id;
	uint32_t role; /* enum node_role */
	uint64_t bundle_version; /* in force there, as last heard */
	uint64_t view_version; /* of the last view sent there, 0: none */
	uint64_t members_sum; /* of the members told last, to see a change */
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
	/* soft state of the leader */
	struct control_flow *flows; /* NULL unless leader */
	struct plan *plan; /* NULL unless leader */
	uint32_t plan_generation;
	bool plan_stale; /* fill a new one: the policies changed */
	char place_policy[NAME_BYTES]; /* of the plan */
	char evict_policy[NAME_BYTES];
	GHashTable *vms; /* name -> struct control_vm * */
	GHashTable *tasks; /* task_id -> struct control_task * */
	struct timer plan_timer;
	struct timer vm_timer;
	struct timer expire_timer;
	/* changes of the view that are not sent yet */
	uint64_t view_version;
	GHashTable *view_zones; /* set of names */
	GHashTable *view_vms; /* set of names */
	GHashTable *view_announced; /* name -> node_id * that peers know */
	bool view_bundle;
	struct timer view_timer;
};

/** Returns the wall clock, never before the state's clock. */
uint64_t control_wall_ms(const struct control *control);

/** RESULT_OK if this replica may answer and grant as the leader. */
enum result control_check_leader(const struct control *control);

/**
 * Proposes a command; the body is copied. @a proposal is copied too and
 * answered once through done (which may be NULL) unless this returns an error.
 */
enum result control_propose(struct control *control, uint32_t type,
			    const void *body,
			    const struct control_proposal *proposal);

#endif /* CONTROL_IMPL_H */
