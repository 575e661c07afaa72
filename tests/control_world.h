#ifndef CONTROL_WORLD_H
#define CONTROL_WORLD_H

/**
 * @file control_world.h
 * A simulated site in virtual time for tests: control replicas with disks, and
 * VMs, each with an agent and a worker. At every start the simulation asserts
 * that the task runs at no other worker and that the worker's VM has enough
 * processors. It also asserts that a task completes a second time only if,
 * since the first time, control declared the VM of the first run lost or the
 * test took that VM down.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "agent.h"
#include "control.h"
#include "control_impl.h"
#include "sim.h"

#define WORLD_MAX_CONTROLS 3
#define WORLD_MAX_VMS 8

struct world;

struct world_control {
	struct world *world;
	struct sim_machine *machine;
	struct control *control; /* NULL: the process isn't running */
	uint64_t node_id;
	/* the replica's disk */
	struct hard_state hard;
	struct snapshot_head snapshot;
	GArray *records; /* struct snapshot_record */
	GArray *entries; /* struct log_entry */
};

/** A run of a task at a worker. */
struct world_run {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t run; /* enum task_run_state */
	uint32_t cpu_millis;
	uint64_t lease_until_us; /* the run stops at this time */
	uint64_t started_us; /* when the run started */
	/* Work done in earlier runs, restored from a checkpoint. */
	uint64_t resumed_work_us;
	uint64_t total_work_us; /* work of the whole task */
	uint64_t checkpoint_us; /* work done at the last checkpoint */
	char checkpoint[NAME_BYTES];
};

struct world_vm {
	struct world *world;
	char name[NAME_BYTES];
	const char *zone;
	struct sim_machine *machine; /* where the agent runs */
	/* Where the worker runs, a process of its own. */
	struct sim_machine *worker;
	struct agent *agent; /* NULL: the process isn't running */
	uint32_t agent_start_nr; /* number of starts of the agent's process */
	GHashTable *runs; /* task_id -> struct world_run * */
	/* How long a call takes to the worker, and its reply back. */
	uint64_t call_delay_us;
	uint64_t start_delay_us; /* added to call_delay_us for a start call */
	/* Share of calls that are carried out but get no reply. */
	uint32_t lose_reply_ppm;
	bool lose_starts; /* starts are neither carried out nor answered */
	bool fail_starts; /* every task fails right after its start */
	bool dead; /* the whole VM is down */
	uint32_t nr_lost; /* number of calls of world_lose_vm() */
};

struct world {
	struct sim *sim;
	const char *addresses[WORLD_MAX_CONTROLS + 1];
	uint32_t nr_controls;
	struct world_control controls[WORLD_MAX_CONTROLS];
	uint32_t nr_vms;
	struct world_vm vms[WORLD_MAX_VMS];
	/*
	 * Calls to all workers in the order of arrival: "start TASK
	 * CHECKPOINT;stop TASK;"...
	 */
	GString *calls;
	GHashTable *completed; /* task_id -> struct world_end * */
	/* Checkpoint name -> work done when it was taken, uint64_t * */
	GHashTable *work;
	uint64_t last_start_us; /* last start of a task in watched_zone */
	const char *watched_zone;
	uint32_t nr_starts;
	uint32_t next_checkpoint;
	uint64_t wall_skew_ms; /* added to the replicas' wall clocks */
	/*
	 * struct world_call * or struct disk_sync * -> function that frees it
	 */
	GHashTable *in_flight;
	/* the adviser; replicas have one if advised is set before they start */
	bool advised;
	/* policy of the replicas that start from now on */
	enum load_choice load_choice;
	uint64_t advice_nr; /* number of the call to answer, 0: none */
	struct control *advice_from;
	char advice_step[NAME_BYTES];
	uint32_t nr_advice; /* number of calls so far */
	/* answer to the last operator's request */
	uint64_t ticket;
	uint32_t reply_type;
	void *reply;
};

/* Longest lease that workers accept, as at site jaldhara-loft. */
#define WORLD_WORKER_LEASE_MS 10000
/* Times of workers, for which LOAD_AUTO is the contended policy. */
#define WORLD_STOP_MS 900
#define WORLD_SAVE_MS 500
#define WORLD_RESTORE_MS 100

/**
 * Starts the replicas and VMs, spreads the VMs over three zones, and puts a
 * bundle in force.
 */
struct world *world_new(uint64_t seed, uint32_t nr_controls, uint32_t nr_vms);
void world_free(struct world *world);

/** Submits and signs a bundle that has the simulated zones. */
void world_sign_bundle(struct world *world, uint64_t version,
		       uint32_t replicas);

/** Returns the leader if it may grant leases now, NULL if there is none. */
struct control *world_leader(struct world *world);
struct world_control *world_leader_host(struct world *world);
/** Sets the delay of messages between the replicas, one way. */
void world_set_control_delay(struct world *world, uint32_t delay_us);

/**
 * Sends an operator's request, repeatedly if it fails for lack of a leader.
 * Returns the answer, which is borrowed.
 */
const void *world_op(struct world *world, uint32_t type, const void *body);
/** Sends a request that changes something; returns its result. */
enum result world_change(struct world *world, uint32_t type, const void *body);

/** Submits a job; returns its id. */
uint64_t world_submit(struct world *world, const char *key, uint32_t nr_tasks,
		      uint32_t run_ms);
enum result world_set_zone(struct world *world, const char *zone, bool out);

/** Evicts a task as if the planner had decided so. */
void world_evict(struct world *world, uint64_t task_id);

/** Waits until all tasks of the job are done; false after the limit. */
bool world_wait_job(struct world *world, uint64_t job_id, uint64_t limit_ms);
/** Waits until exactly @a nr tasks run; false after the limit. */
bool world_wait_running(struct world *world, uint32_t nr, uint64_t limit_ms);
uint32_t world_running(struct world *world);

void world_kill_control(struct world_control *host);
void world_boot_control(struct world_control *host);
void world_kill_agent(struct world_vm *vm);
void world_boot_agent(struct world_vm *vm);
/** Takes down the VM: the agent, the worker and its runs. */
void world_lose_vm(struct world_vm *vm);
/** Brings the VM back with an agent and no runs. */
void world_return_vm(struct world_vm *vm);
/** Cuts the links of the VM's agent to all replicas, or restores them. */
void world_cut_vm(struct world_vm *vm, bool cut);
/** Cuts all links of a replica, or restores them. */
void world_cut_control(struct world_control *host, bool cut);

/** Returns the VM that runs the task, NULL if none does. */
struct world_vm *world_place(struct world *world, uint64_t task_id);

#endif /* CONTROL_WORLD_H */
