#include "flow_unannounced.h"

#include "flow_play.h"

/* Times of a series; those without another origin start at the restart. */
#define DOWN_MIN_MS 20
#define DOWN_MAX_MS 1000
#define SHORT_LIVES_MAX 3
#define SHORT_LIFE_MIN_MS 5
#define SHORT_LIFE_MAX_MS 200
#define SHORT_DOWN_MIN_MS 10
#define SHORT_DOWN_MAX_MS 300
#define MUTE_MIN_MS 10
#define MUTE_MAX_MS 400
#define CUT_MIN_MS 50
#define EARLY_CUT_MAX_MS 600
#define CUT_MAX_MS 3000
#define AGENT_FAULT_MAX_MS 500
#define LEADER_FAULT_MAX_MS 3000
#define HASTEN_AFTER_MS 500
#define DELAYS_AFTER_MS 3000 /* of answers */
#define DELAY_ANSWERS_PPM 200000
#define LATE_BEFORE_MS 1500 /* late calls begin before the crash */

#define SLOW_MAX_PERMILLE 20 /* by the platform's pages */
/*
 * A run of a suspended worker outlives the lease by the time of the suspension.
 * So the time is short enough that the lease is renewed before the leader gives
 * the runs up, and the next series begins when all deadlines that were
 * calculated meanwhile have passed.
 */
#define SUSPEND_MIN_MS 20
#define SUSPEND_MAX_MS 1500
#define SUSPEND_CALM_MIN_MS 8000
#define SUSPEND_CALM_MAX_MS 12000
#define SUSPEND_WAIT_MS 300 /* until faults of earlier series have ended */

/* ---- events ---- */

static void mute_worker(struct play *play, uint32_t target)
{
	play->fw->vms[target].mute = true;
}

static void unmute_worker(struct play *play, uint32_t target)
{
	play->fw->vms[target].mute = false;
}

static void delay_answers(struct play *play, uint32_t target)
{
	play->fw->vms[target].delay_answers_ppm = DELAY_ANSWERS_PPM;
}

static void end_answer_delays(struct play *play, uint32_t target)
{
	play->fw->vms[target].delay_answers_ppm = 0;
}

static void suspend_worker(struct play *play, uint32_t target)
{
	fw_suspend_worker(&play->fw->vms[target], true);
}

static void resume_worker(struct play *play, uint32_t target)
{
	fw_suspend_worker(&play->fw->vms[target], false);
}

/* ---- series ---- */

/*
 * Adds a crash and some restarts, of which all but the last one crash soon.
 * Returns the time of the last restart.
 */
static uint32_t add_restarts(struct play *play, uint32_t crash_ms,
			     uint32_t target)
{
	uint32_t nr_short = play_random(play, 0, 2) ?
				    0 :
				    play_random(play, 1, SHORT_LIVES_MAX + 1);
	uint32_t at_ms = crash_ms;

	play_add(play, at_ms, "worker crashes", play_crash_worker, target);
	at_ms += play_random(play, DOWN_MIN_MS, DOWN_MAX_MS);
	for (uint32_t i = 0; i < nr_short; i++) {
		play_add(play, at_ms, "worker starts", play_boot_worker,
			 target);
		at_ms +=
			play_random(play, SHORT_LIFE_MIN_MS, SHORT_LIFE_MAX_MS);
		play_add(play, at_ms, "worker crashes", play_crash_worker,
			 target);
		at_ms +=
			play_random(play, SHORT_DOWN_MIN_MS, SHORT_DOWN_MAX_MS);
	}
	play_add(play, at_ms, "worker starts", play_boot_worker, target);
	return at_ms;
}

static void add_answer_faults(struct play *play, uint32_t restart_ms,
			      uint32_t target)
{
	if (!play_random(play, 0, 3)) {
		play_add(play, 0, "answers are lost", mute_worker, target);
		play_add(play,
			 restart_ms +
				 play_random(play, MUTE_MIN_MS, MUTE_MAX_MS),
			 "answers arrive", unmute_worker, target);
	}
	if (!play_random(play, 0, 4)) {
		play_add(play, 0, "answers are delayed", delay_answers, target);
		play_add(play, restart_ms + DELAYS_AFTER_MS,
			 "no answers are delayed", end_answer_delays, target);
	}
}

static void add_agent_fault(struct play *play, uint32_t restart_ms,
			    uint32_t target)
{
	uint32_t at_ms = restart_ms + play_random(play, 0, AGENT_FAULT_MAX_MS);

	switch (play_random(play, 0, 8)) {
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

/* Returns the time of the last restart. */
static uint32_t add_worker_faults(struct play *play, uint32_t crash_ms,
				  bool late, uint32_t target)
{
	uint32_t restart_ms = add_restarts(play, crash_ms, target);
	uint32_t cut_max_ms = play_random(play, 0, 2) ? EARLY_CUT_MAX_MS :
							CUT_MAX_MS;

	if (late)
		play_add_late_calls(play, restart_ms, target);
	add_answer_faults(play, restart_ms, target);
	if (play_random(play, 0, 3))
		play_add_cut(play,
			     restart_ms +
				     play_random(play, CUT_MIN_MS, cut_max_ms),
			     "worker is cut off", play_cut_worker,
			     play_restore_worker, target);
	add_agent_fault(play, restart_ms, target);
	return restart_ms;
}

/* Restarts one worker, or those of a zone, which is every second VM. */
static void restart_workers(struct play *play)
{
	bool zone = play_random(play, 0, 2);
	uint32_t first = play_random(play, 0, zone ? 2 : FLOW_WORLD_VMS);
	bool late = play->late_calls && play_random(play, 0, 2);
	uint32_t crash_ms = late ? play_random(play, 0, LATE_BEFORE_MS) : 0;
	uint32_t restart_ms = 0;

	for (uint32_t i = first; i < FLOW_WORLD_VMS; i += 2) {
		uint32_t last_ms = add_worker_faults(play, crash_ms, late, i);

		restart_ms = MAX(restart_ms, last_ms);
		if (!zone)
			break;
	}
	if (play_random(play, 0, 2))
		play_add_leader_faults(
			play,
			restart_ms + play_random(play, 0, LEADER_FAULT_MAX_MS));
	play->hasten_until_us = sim_now_us(play->fw->base->sim) +
				(restart_ms + HASTEN_AFTER_MS) * 1000ull;
	play_set_next(play, restart_ms);
}

/*
 * Suspends a worker, alone or together with its agent. Waits until no fault of
 * an earlier series is left: one beside a suspension may keep the lease from
 * being renewed.
 */
static void suspend_workers(struct play *play)
{
	uint32_t target = play_random(play, 0, FLOW_WORLD_VMS);
	uint32_t for_ms = play_random(play, SUSPEND_MIN_MS, SUSPEND_MAX_MS);
	bool with_agent = play_random(play, 0, 2);
	uint32_t next_ms = for_ms + play_random(play, SUSPEND_CALM_MIN_MS,
						SUSPEND_CALM_MAX_MS);

	if (play->events->len) {
		play->series_us = sim_now_us(play->fw->base->sim) +
				  SUSPEND_WAIT_MS * 1000ull;
		return;
	}
	play->suspends = false;
	play_add(play, 0, "worker is suspended", suspend_worker, target);
	play_add(play, for_ms, "worker resumes", resume_worker, target);
	if (with_agent) {
		play_add(play, 0, "agent freezes", play_freeze_agent, target);
		play_add(play, for_ms, "agent continues", play_continue_agent,
			 target);
	}
	play->series_us = sim_now_us(play->fw->base->sim) + next_ms * 1000ull;
}

static void start_series(struct play *play)
{
	if (!play->suspends)
		play->suspends = !play_random(play, 0, 6);
	if (play->suspends)
		suspend_workers(play);
	else
		restart_workers(play);
}

static void prepare(struct play *play, uint32_t seed)
{
	(void)seed;
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		play->fw->vms[i].slow_permille =
			play_random(play, 0, SLOW_MAX_PERMILLE + 1);
}

void flow_unannounced_play(uint32_t seed, bool verbose)
{
	static const struct play_ops ops = {
		.random_seed = 51000000,
		.flows_max = PLAY_FLOWS_MAX,
		.first_heartbeat_min_ms = 20,
		.first_heartbeat_max_ms = 4000,
		.prepare = prepare,
		.start_series = start_series,
	};

	play_run(&ops, seed, verbose);
}
