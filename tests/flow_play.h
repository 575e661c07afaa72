#ifndef FLOW_PLAY_H
#define FLOW_PLAY_H

/**
 * @file flow_play.h
 * Random plays of workflows beside series of faults, in the simulation of
 * flow_world.h. All of a play follows from its seed. What a series consists of
 * varies (struct play_ops).
 */

#include <glib.h>

#include "flow_world.h"

#define PLAY_FLOWS_MAX 160

struct play;
struct play_ops;

/** A fault or the end of one, at a VM or in the core. */
struct play_event {
	uint64_t due_us;
	const char *name; /* for the log */
	void (*happen)(struct play *play, uint32_t target);
	uint32_t target; /* index of the VM or the replica */
};

struct play {
	const struct play_ops *ops;
	struct flow_world *fw;
	GRand *rand;
	GArray *events; /* struct play_event that are still to happen */
	uint64_t series_us; /* time of the next series, 0: there is none */
	/* Until then, workflows are submitted at short intervals. */
	uint64_t hasten_until_us;
	bool late_calls; /* some series have late calls */
	bool suspends; /* the next series is to suspend a worker */
	bool paused[WORLD_MAX_CONTROLS];
	bool verbose;
	uint32_t nr_flows;
	char ids[PLAY_FLOWS_MAX][8];
	bool accepted[PLAY_FLOWS_MAX];
};

struct play_ops {
	uint32_t random_seed; /* differs, so that cases have other numbers */
	uint32_t flows_max; /* at most PLAY_FLOWS_MAX */
	/* Of a new incarnation, after its start. */
	uint32_t first_heartbeat_min_ms;
	uint32_t first_heartbeat_max_ms;
	/** Called before the first workflow; @a seed is that of the play. */
	void (*prepare)(struct play *play, uint32_t seed);
	/** Adds the events of a series and sets the time of the next one. */
	void (*start_series)(struct play *play);
};

/**
 * Plays a seed, and asserts that all workflows complete after the faults.
 * Prints logs and the faults if @a verbose is set.
 */
void play_run(const struct play_ops *ops, uint32_t seed, bool verbose);

/** Draws a number from @a from on and below @a to. */
uint32_t play_random(struct play *play, uint32_t from, uint32_t to);
void play_add(struct play *play, uint32_t after_ms, const char *name,
	      void (*happen)(struct play *play, uint32_t target),
	      uint32_t target);
/** Adds a fault that lasts for 5 to 12 s, and its end. */
void play_add_cut(struct play *play, uint32_t after_ms, const char *name,
		  void (*begin)(struct play *play, uint32_t target),
		  void (*end)(struct play *play, uint32_t target),
		  uint32_t target);
/** Sets the time of the next series, which is 3 to 14 s after the restart. */
void play_set_next(struct play *play, uint32_t restart_ms);
/** Adds a kill of the leader, or two, or a pause, or nothing. */
void play_add_leader_faults(struct play *play, uint32_t at_ms);
/** Adds a kill of the agent at the time, and its restart. */
void play_add_agent_kill(struct play *play, uint32_t at_ms, uint32_t target);
/** Makes some of the worker's calls late, until some time after the restart. */
void play_add_late_calls(struct play *play, uint32_t restart_ms,
			 uint32_t target);

/* Events. */
void play_crash_worker(struct play *play, uint32_t target);
void play_boot_worker(struct play *play, uint32_t target);
void play_cut_worker(struct play *play, uint32_t target);
void play_restore_worker(struct play *play, uint32_t target);
void play_freeze_agent(struct play *play, uint32_t target);
void play_continue_agent(struct play *play, uint32_t target);
void play_cut_agent(struct play *play, uint32_t target);
void play_restore_agent(struct play *play, uint32_t target);

#endif /* FLOW_PLAY_H */
