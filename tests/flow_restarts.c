#include "flow_restarts.h"

#include "flow_play.h"

/* Times of a series; those without another origin start at the restart. */
#define DOWN_MIN_MS 200
#define DOWN_MAX_MS 1000
#define FAULT_MIN_MS 200
#define FAULT_MAX_MS 3000
#define LATE_BEFORE_MS 2000 /* late calls begin before the crash */

static uint32_t fault_ms(struct play *play, uint32_t restart_ms)
{
	return restart_ms + play_random(play, FAULT_MIN_MS, FAULT_MAX_MS);
}

static void add_agent_fault(struct play *play, uint32_t restart_ms,
			    uint32_t target)
{
	uint32_t at_ms = fault_ms(play, restart_ms);

	switch (play_random(play, 0, 6)) {
	case 0:
		play_add_agent_kill(play, at_ms, target);
		break;
	case 1:
		play_add_cut(play, at_ms, "agent freezes", play_freeze_agent,
			     play_continue_agent, target);
		break;
	case 2:
		play_add_cut(play, at_ms, "agent is cut off", play_cut_agent,
			     play_restore_agent, target);
		break;
	default:
		break;
	}
}

static void add_worker_faults(struct play *play, uint32_t crash_ms,
			      uint32_t restart_ms, bool late, uint32_t target)
{
	if (late)
		play_add_late_calls(play, restart_ms, target);
	play_add(play, crash_ms, "worker crashes", play_crash_worker, target);
	play_add(play, restart_ms, "worker starts", play_boot_worker, target);
	if (play_random(play, 0, 2))
		play_add_cut(play, fault_ms(play, restart_ms),
			     "worker is cut off", play_cut_worker,
			     play_restore_worker, target);
	add_agent_fault(play, restart_ms, target);
}

/* One worker, or those of a zone, which is every second VM. */
static void start_series(struct play *play)
{
	bool zone = play_random(play, 0, 2);
	uint32_t first = play_random(play, 0, zone ? 2 : FLOW_WORLD_VMS);
	bool late = play->late_calls && play_random(play, 0, 2);
	uint32_t crash_ms = late ? play_random(play, 0, LATE_BEFORE_MS) : 0;
	uint32_t restart_ms =
		crash_ms + play_random(play, DOWN_MIN_MS, DOWN_MAX_MS);

	for (uint32_t i = first; i < FLOW_WORLD_VMS; i += 2) {
		add_worker_faults(play, crash_ms, restart_ms, late, i);
		if (!zone)
			break;
	}
	play_add_leader_faults(play, fault_ms(play, restart_ms));
	play_set_next(play, restart_ms);
}

static void prepare(struct play *play, uint32_t seed)
{
	(void)seed;
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		play->fw->vms[i].slow_permille = i % 2 ? 20 : 0;
}

void flow_restarts_play(uint32_t seed, bool verbose)
{
	static const struct play_ops ops = {
		.random_seed = 48000000,
		.flows_max = 64,
		.first_heartbeat_min_ms = 20,
		.first_heartbeat_max_ms = 1500,
		.prepare = prepare,
		.start_series = start_series,
	};

	play_run(&ops, seed, verbose);
}
