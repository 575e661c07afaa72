#ifndef CONTROL_WORLD_H
#define CONTROL_WORLD_H

/**
 * @file control_world.h
 * A site under virtual time: control replicas with disks, and VMs, each with an
 * agent and a worker. The world asserts at every start that no task runs at two
 * workers and that no worker holds more than its VM. A task may complete twice
 * only if the VM of its first end was lost before control could hear of it.
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
	struct control *control; /* NULL while dead */
	uint64_t node_id;
	/* disk */
	struct hard_state hard;
	struct snapshot_head snapshot;
	GArray *records; /* struct snapshot_record */
	GArray *entries; /* struct log_entry */
};

/** What a worker holds of a task. */
struct world_run {
	uint64_t task_id;
	uint64_t epoch;
	uint32_t run; /* enum task_run_state */
	uint32_t cpu_millis;
	uint64_t lease_until_us;
	uint64_t since_us; /* progress is counted from here */
	uint64_t from_us; /* work done before since_us */
	uint64_t needs_us; /* work of the whole task */
	uint64_t checkpoint_us; /* work at the last checkpoint */
	char checkpoint[NAME_BYTES];
};

struct world_vm {
	struct world *world;
	char name[NAME_BYTES];
	const char *zone;
	struct sim_machine *machine; /* of the agent */
	struct sim_machine *worker; /* the worker's own process */
	struct agent *agent; /* NULL while dead */
	uint32_t agent_life; /* rises with each start of the agent */
	GHashTable *runs; /* task_id -> struct world_run * */
	uint64_t call_delay_us;
	uint64_t start_delay_us; /* added to a start call */
	uint32_t lose_reply_ppm; /* calls whose outcome stays unknown */
	bool lose_starts; /* no start arrives, its outcome is unknown */
	bool fail_starts; /* fails every task right after its start */
	bool dead; /* the whole VM */
	uint32_t nr_lost; /* calls of world_lose_vm() */
};

struct world {
	struct sim *sim;
	const char *addresses[WORLD_MAX_CONTROLS + 1];
	uint32_t nr_controls;
	struct world_control controls[WORLD_MAX_CONTROLS];
	uint32_t nr_vms;
	struct world_vm vms[WORLD_MAX_VMS];
	GString *calls; /* "start 1.1 vm1;" and so on, in order */
	GHashTable *completed; /* task_id -> struct world_end * */
	GHashTable *work; /* checkpoint name -> work in it */
	uint64_t last_start_us; /* of the zone watched_zone */
	const char *watched_zone;
	uint32_t nr_starts;
	uint32_t next_checkpoint;
	uint64_t wall_skew_ms; /* added to the replicas' wall clocks */
	GHashTable *in_flight; /* set of struct world_call * and disk_sync * */
	/* the adviser: takes calls while advised is set before the start */
	bool advised;
	uint64_t advice_nr; /* call under way, 0: none */
	struct control *advice_from;
	char advice_step[NAME_BYTES];
	uint32_t nr_advice; /* calls so far */
	/* answer to the last operator's request */
	uint64_t ticket;
	uint32_t reply_type;
	void *reply;
};

/** Starts the replicas and VMs; the VMs are spread over three zones. */
struct world *world_new(uint64_t seed, uint32_t nr_controls, uint32_t nr_vms);
void world_free(struct world *world);

/** Signs a bundle with the world's zones off. */
void world_sign_bundle(struct world *world, uint64_t version,
		       uint32_t replicas);

/** Returns the leader that may grant, NULL if there is none. */
struct control *world_leader(struct world *world);
struct world_control *world_leader_host(struct world *world);

/** Sends an operator's request until a leader answers; borrowed reply. */
const void *world_op(struct world *world, uint32_t type, const void *body);
/** The same for a change; returns the result. */
enum result world_change(struct world *world, uint32_t type, const void *body);

/** Submits a job; returns its id. */
uint64_t world_submit(struct world *world, const char *key, uint32_t nr_tasks,
		      uint32_t run_ms);
enum result world_set_zone(struct world *world, const char *zone, bool out);

/** Commits the eviction of a task, as the planner's decision does. */
void world_evict(struct world *world, uint64_t task_id);

/** Waits until all tasks of the job are done. */
bool world_wait_job(struct world *world, uint64_t job_id, uint64_t limit_ms);
/** Waits until so many tasks run at workers. */
bool world_wait_running(struct world *world, uint32_t nr, uint64_t limit_ms);
uint32_t world_running(struct world *world);

void world_kill_control(struct world_control *host);
void world_boot_control(struct world_control *host);
void world_kill_agent(struct world_vm *vm);
void world_boot_agent(struct world_vm *vm);
/** Loses the VM: agent, worker and what ran there. */
void world_lose_vm(struct world_vm *vm);
/** Brings the VM back, empty. */
void world_return_vm(struct world_vm *vm);
/** Cuts the VM's agent off from every replica, or lifts that. */
void world_cut_vm(struct world_vm *vm, bool cut);
/** Cuts a replica off from everybody, or lifts that. */
void world_cut_control(struct world_control *host, bool cut);

/** The VM that runs the task, NULL if none does. */
struct world_vm *world_place(struct world *world, uint64_t task_id);

#endif /* CONTROL_WORLD_H */
