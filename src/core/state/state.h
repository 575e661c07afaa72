#ifndef STATE_H
#define STATE_H

/**
 * @file state.h
 * The replicated state machine of the control group. Commands are applied in
 * log order and have the same result on every replica. Each command is checked
 * against the state before it, so that a stale decision, or one that conflicts
 * with another, is refused here, whichever replica proposed it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state_bundle.h"
#include "claim.h"
#include "command.h"
#include "state_flow.h"
#include "state_job.h"
#include "msg_raft.h"
#include "result.h"
#include "state_share.h"
#include "state_task.h"
#include "state_vm.h"
#include "state_worker.h"
#include "state_zone.h"

/** The outcome of a command. */
struct state_outcome {
	enum result result;
	const char *message; /* static text, reason for a refusal; or NULL */
	uint64_t id; /* id of the job that was created or found; or 0 */
	uint64_t version; /* new version of the bundle or zone; or 0 */
};

/** Callbacks after each change of the state; members may be NULL. */
struct state_watch_ops {
	void (*bundle)(void *ctx, const struct bundle *bundle);
	void (*zone)(void *ctx, const struct zone_record *zone);
	void (*vm)(void *ctx, const struct state_vm *vm);
	void (*job)(void *ctx, const struct state_job *job);
	/** @a before is the task's record before the change. */
	void (*task)(void *ctx, const struct state_task *task,
		     const struct task_record *before);
	void (*job_dropped)(void *ctx, uint64_t job_id);
	/** A workflow was accepted or ended. */
	void (*flow)(void *ctx, const struct state_flow *flow);
	/** A bundle has changed the values of a workflow's queue. */
	void (*flow_queue)(void *ctx, const struct state_flow *flow);
	/** A task was placed (@a end is FLOW_END_NONE), or its run ended. */
	void (*flow_task)(void *ctx, struct state_flow *flow, uint32_t task,
			  enum flow_end end);
	/** An operator has changed a queue's weight. */
	void (*share)(void *ctx, const struct share_record *record);
};

struct state {
	struct state_counters counters;
	struct state_bundles bundles;
	GTree *zones; /* name -> struct zone_record * */
	GTree *vms; /* name -> struct state_vm * */
	GTree *jobs; /* job_id -> struct state_job * */
	GTree *tasks; /* task_id -> struct state_task * */
	GHashTable *job_keys; /* key -> struct state_job *, borrowed */
	GTree *flows; /* id -> struct state_flow * */
	GTree *pressures; /* "SERVING\nFILLER" -> struct pressure_pair * */
	GTree *workers; /* VM name -> struct flow_worker * */
	GTree *shares; /* "HOST\nPREFIX" -> struct share_record * */
	GHashTable *claims; /* service and key -> struct claim_record * */
	const struct state_watch_ops *watch;
	void *watch_ctx;
};

struct state *state_new(void);
void state_free(struct state *state);

/** Sets the callbacks for changes; NULL for none. */
void state_watch(struct state *state, const struct state_watch_ops *ops,
		 void *ctx);

/** Applies one committed command (CMD_*). */
struct state_outcome state_apply(struct state *state, struct record command);

/** Returns the state as a new array of records with copied bodies. */
struct snapshot_record *state_snapshot(const struct state *state,
				       uint32_t *nr_records);

/** Replaces the whole state, without callbacks for changes. */
void state_restore(struct state *state, const struct snapshot_record *records,
		   uint32_t nr_records);

/** Returns true if CMD_EXPIRE with these times would drop a job or claim. */
bool state_has_expired(const struct state *state,
		       const struct cmd_expire *expire);

/** Asserts that sums and indexes agree with the objects; for tests. */
void state_verify(const struct state *state);

/** Advances the state's clock to @a now_ms; an earlier time has no effect. */
void state_set_clock(struct state *state, uint64_t now_ms);

/** Compare keys of the trees, which are uint64_t * or char *. */
gint state_compare_ids(gconstpointer a, gconstpointer b, gpointer data);
gint state_compare_names(gconstpointer a, gconstpointer b, gpointer data);

/* Call the callback in state.watch, if it is set. */
void state_bundle_changed(struct state *state, const struct bundle *bundle);
void state_zone_changed(struct state *state, const struct zone_record *zone);
void state_vm_changed(struct state *state, const struct state_vm *vm);
void state_job_changed(struct state *state, const struct state_job *job);
void state_task_changed(struct state *state, const struct state_task *task,
			const struct task_record *before);
void state_job_dropped(struct state *state, uint64_t job_id);
void state_flow_changed(struct state *state, const struct state_flow *flow);
void state_flow_queue_changed(struct state *state,
			      const struct state_flow *flow);
void state_flow_task_changed(struct state *state, struct state_flow *flow,
			     uint32_t task, enum flow_end end);
void state_share_changed(struct state *state,
			 const struct share_record *record);

#endif /* STATE_H */
