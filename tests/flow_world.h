#ifndef FLOW_WORLD_H
#define FLOW_WORLD_H

/**
 * @file flow_world.h
 * Workflows under virtual time: control replicas, one entry, and VMs with an
 * agent and a worker. The worker keeps the platform's rules: one lease on its
 * own clock, fences, run numbers, ends that are listed until they are settled.
 * The world asserts at every start that the task runs nowhere else, that it is
 * not done, and that the VM has room.
 */

#include "control_world.h"
#include "gateway.h"
#include "runner.h"

/* Programs that measure compile the world with as many VMs as a site has. */
#ifndef FLOW_WORLD_VMS
#define FLOW_WORLD_VMS 4
#endif
#define FLOW_WORLD_FILLER_IMAGES 8 /* of flow_world_load() */

struct flow_world;

struct fw_run {
	char task[NAME_BYTES];
	uint32_t run;
	uint64_t started_us;
};

struct fw_worker {
	bool up;
	uint64_t born_ms;
	uint64_t seq;
	uint64_t fence;
	uint64_t lease_ms; /* worker's clock */
	uint64_t next_end;
	GArray *runs; /* struct fw_run */
	GArray *ends; /* struct flow_run_end */
	GHashTable *barred; /* task -> highest run that may not start */
};

struct fw_vm {
	struct flow_world *world;
	char name[NAME_BYTES];
	const char *zone;
	struct sim_machine *machine;
	struct runner *runner; /* NULL while the agent is dead */
	const char *const *seeds; /* NULL: the control replicas */
	struct fw_worker worker;
	uint32_t lose_ppm; /* calls without answer, carried out late */
	bool late_lease; /* a late call's lease time counts from its arrival */
	uint32_t slow_permille; /* of the worker's clock; set before its life */
	bool frozen; /* the agent; its worker goes on */
	bool fail_runs; /* every run fails at once */
	uint32_t tail_ms; /* figure of its runs, 0: the world's */
	bool draining;
};

struct flow_world {
	struct world *base;
	struct sim_machine *entry;
	struct gateway *gateway;
	struct fw_vm vms[FLOW_WORLD_VMS];
	GHashTable *done; /* tasks that must not start again, a set of names */
	GHashTable *ended; /* tasks that ever ended done, a set of names */
	GPtrArray *pending; /* struct fw_call * under way */
	uint32_t nr_starts;
	uint64_t last_start_us; /* in the zone below */
	const char *watched_zone;
	const char
		*permit; /* ticket of the only worker that may start, or NULL */
	const char *good; /* its name */
	uint32_t run_ms; /* of every run */
	uint32_t tail_ms; /* figure of every run */
	const char *lasting; /* prefix of tasks that don't end, or NULL */
	bool overcommitted; /* fillers come on top of the processors */
	uint64_t ticket;
	struct flow_reply reply;
	bool answered;
};

struct flow_world *flow_world_new(uint64_t seed);
/** The queue's tasks need a ticket, which only one worker has. */
void flow_world_advise(struct flow_world *fw, const char *good);
void flow_world_free(struct flow_world *fw);
void flow_world_run_ms(struct flow_world *fw, uint64_t ms);

/** Makes a call and waits for the answer, which is returned. */
struct flow_reply flow_world_call(struct flow_world *fw, uint32_t kind,
				  const char *path, struct flow_record *record);
/** Submits @a id with steps that follow each other. */
enum result flow_world_submit(struct flow_world *fw, const char *id,
			      const struct flow_step *steps, uint32_t nr_steps);
/**
 * Submits workflows of 8 serving tasks each, then fillers of which most find no
 * room; each filler workflow asks for @a cpu_step_millis more than the one
 * before.
 */
void flow_world_load(struct flow_world *fw, uint32_t nr_serving,
		     uint32_t nr_fillers, uint32_t cpu_step_millis);
/** Waits until the workflow is in the state. */
bool flow_world_wait(struct flow_world *fw, const char *id,
		     enum flow_state state, uint64_t limit_ms);

void fw_kill_agent(struct fw_vm *vm);
void fw_boot_agent(struct fw_vm *vm);
/**
 * The agent stands still: what reaches it waits. When it goes on, it finds
 * answers of its worker, or takes the calls for unanswered.
 */
void fw_freeze_agent(struct fw_vm *vm, bool frozen);
/** The worker ends with all it runs; another life may come. */
void fw_crash_worker(struct fw_vm *vm);
void fw_boot_worker(struct fw_vm *vm);
/** A heartbeat of this life arrives at the agent, which must run. */
void fw_heartbeat(struct fw_vm *vm, uint64_t born_ms, uint64_t seq);
/** A status report, or the last call, of another writer. */
enum fw_odd {
	FW_ODD_ID, /* another worker, a little later */
	FW_ODD_BORN, /* a little later life of this one */
	FW_ODD_BORN_FAR, /* the same with a number far too large */
	FW_ODD_ADDRESS, /* of the present life, nothing listens there */
	FW_ODD_SEQ, /* a number far too large */
	FW_ODD_DEREGISTERED, /* the present life leaves */
	FW_ODD_KINDS,
};
/** It arrives at the agent, which must run. */
void fw_odd_report(struct fw_vm *vm, enum fw_odd odd);
void fw_cut(struct fw_vm *vm, bool cut);
/**
 * Returns a VM whose agent has called more starts than counted before, NULL if
 * there is none.
 */
struct fw_vm *fw_starting_vm(struct flow_world *fw,
			     const uint64_t before[FLOW_WORLD_VMS]);
/** Number of runs at all workers. */
uint32_t fw_running(const struct flow_world *fw);

#endif /* FLOW_WORLD_H */
