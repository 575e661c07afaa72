#include "flow_play.h"

#include <check.h>

/* Until the workers' clocks are ahead of the longest lease. */
#define UPTIME_MS 7000
#define FAULTS_MS 60000
#define SETTLE_MS 60000
#define LASTING "ee"
#define LASTING_TASKS 6
#define RUN_MIN_MS 1000
#define RUN_MAX_MS 12000
/* Few enough that a zone has room for them. */
#define RUNS_MAX 14
#define TASKS_MAX 6 /* of a step */
#define SUBMIT_MAX_MS 800 /* from one workflow to the next */
#define HASTENED_SUBMIT_MAX_MS 120

#define NEXT_SERIES_MIN_MS 3000
#define NEXT_SERIES_MAX_MS 14000
#define CUT_MIN_MS 5000 /* duration, also of a freeze */
#define CUT_MAX_MS 12000
#define LEADER_DOWN_MS 1000
#define SECOND_KILL_MIN_MS 1200 /* from the first one */
#define SECOND_KILL_MAX_MS 3000
#define LEADER_PAUSE_MIN_MS 2000
#define LEADER_PAUSE_MAX_MS 8000
#define AGENT_DOWN_MIN_MS 50
#define AGENT_DOWN_MAX_MS 1500
/* Late calls: until that long after the restart. */
#define LATE_AFTER_MS 3000
#define LATE_MIN_PPM 30000
#define LATE_MAX_PPM 80000
/* Only every fourth seed has late calls. */
#define LATE_SEEDS 4

uint32_t play_random(struct play *play, uint32_t from, uint32_t to)
{
	return (uint32_t)g_rand_int_range(play->rand, (gint32)from, (gint32)to);
}

void play_add(struct play *play, uint32_t after_ms, const char *name,
	      void (*happen)(struct play *play, uint32_t target),
	      uint32_t target)
{
	struct play_event event = { .name = name,
				    .happen = happen,
				    .target = target };

	event.due_us = sim_now_us(play->fw->base->sim) + after_ms * 1000ull;
	g_array_append_val(play->events, event);
}

void play_add_cut(struct play *play, uint32_t after_ms, const char *name,
		  void (*begin)(struct play *play, uint32_t target),
		  void (*end)(struct play *play, uint32_t target),
		  uint32_t target)
{
	play_add(play, after_ms, name, begin, target);
	play_add(play, after_ms + play_random(play, CUT_MIN_MS, CUT_MAX_MS),
		 "it ends", end, target);
}

void play_set_next(struct play *play, uint32_t restart_ms)
{
	uint32_t next_ms =
		play_random(play, NEXT_SERIES_MIN_MS, NEXT_SERIES_MAX_MS);

	play->series_us = sim_now_us(play->fw->base->sim) +
			  (restart_ms + next_ms) * 1000ull;
}

/* ---- faults of a worker ---- */

void play_crash_worker(struct play *play, uint32_t target)
{
	struct fw_vm *vm = &play->fw->vms[target];

	if (vm->worker.up)
		fw_crash_worker(vm);
}

static void send_first_heartbeat(struct play *play, uint32_t target)
{
	struct fw_vm *vm = &play->fw->vms[target];

	/* Another incarnation may have been started since. */
	if (sim_now_us(play->fw->base->sim) < vm->first_heartbeat_us)
		return;
	if (vm->runner && vm->worker.up && !vm->frozen && !vm->worker_cut)
		fw_heartbeat(vm, vm->worker.born_ms, ++vm->worker.seq);
}

void play_boot_worker(struct play *play, uint32_t target)
{
	struct fw_vm *vm = &play->fw->vms[target];
	uint32_t heartbeat_ms = play_random(play,
					    play->ops->first_heartbeat_min_ms,
					    play->ops->first_heartbeat_max_ms);

	if (vm->worker.up)
		return;
	fw_boot_worker(vm);
	vm->first_heartbeat_us =
		sim_now_us(play->fw->base->sim) + heartbeat_ms * 1000ull;
	play_add(play, heartbeat_ms, "first heartbeat", send_first_heartbeat,
		 target);
}

void play_cut_worker(struct play *play, uint32_t target)
{
	fw_cut_worker(&play->fw->vms[target], true);
}

void play_restore_worker(struct play *play, uint32_t target)
{
	fw_cut_worker(&play->fw->vms[target], false);
}

static void delay_calls(struct play *play, uint32_t target)
{
	play->fw->vms[target].lose_ppm =
		play_random(play, LATE_MIN_PPM, LATE_MAX_PPM);
}

static void end_delays(struct play *play, uint32_t target)
{
	play->fw->vms[target].lose_ppm = 0;
}

void play_add_late_calls(struct play *play, uint32_t restart_ms,
			 uint32_t target)
{
	play_add(play, 0, "calls are late", delay_calls, target);
	play_add(play, restart_ms + LATE_AFTER_MS, "no calls are late",
		 end_delays, target);
}

/* ---- faults of an agent ---- */

static void kill_agent(struct play *play, uint32_t target)
{
	if (play->fw->vms[target].runner)
		fw_kill_agent(&play->fw->vms[target]);
}

static void boot_agent(struct play *play, uint32_t target)
{
	if (!play->fw->vms[target].runner)
		fw_boot_agent(&play->fw->vms[target]);
}

void play_add_agent_kill(struct play *play, uint32_t at_ms, uint32_t target)
{
	play_add(play, at_ms, "agent is killed", kill_agent, target);
	play_add(play,
		 at_ms + play_random(play, AGENT_DOWN_MIN_MS,
				     AGENT_DOWN_MAX_MS),
		 "agent starts", boot_agent, target);
}

void play_freeze_agent(struct play *play, uint32_t target)
{
	if (play->fw->vms[target].runner)
		fw_freeze_agent(&play->fw->vms[target], true);
}

void play_continue_agent(struct play *play, uint32_t target)
{
	if (play->fw->vms[target].frozen)
		fw_freeze_agent(&play->fw->vms[target], false);
}

void play_cut_agent(struct play *play, uint32_t target)
{
	fw_cut(&play->fw->vms[target], true);
}

void play_restore_agent(struct play *play, uint32_t target)
{
	fw_cut(&play->fw->vms[target], false);
}

/* ---- faults of the leader ---- */

static void boot_control(struct play *play, uint32_t target)
{
	if (!play->fw->base->controls[target].control)
		world_boot_control(&play->fw->base->controls[target]);
}

/* A paused replica would still take itself for the leader. */
static struct world_control *find_leader(const struct play *play)
{
	struct world *base = play->fw->base;

	for (uint32_t i = 0; i < base->nr_controls; i++) {
		struct world_control *host = &base->controls[i];

		if (host->control && !play->paused[i] &&
		    control_check_leader(host->control) == RESULT_OK)
			return host;
	}
	return NULL;
}

static void kill_leader(struct play *play, uint32_t target)
{
	struct world_control *host = find_leader(play);

	(void)target;
	if (!host)
		return;
	world_kill_control(host);
	play_add(play, LEADER_DOWN_MS, "control starts", boot_control,
		 (uint32_t)(host - play->fw->base->controls));
}

static void continue_control(struct play *play, uint32_t target)
{
	play->paused[target] = false;
	sim_pause(play->fw->base->controls[target].machine, false);
}

static void pause_leader(struct play *play, uint32_t target)
{
	struct world_control *host = find_leader(play);
	uint32_t pause_ms =
		play_random(play, LEADER_PAUSE_MIN_MS, LEADER_PAUSE_MAX_MS);

	if (!host)
		return;
	target = (uint32_t)(host - play->fw->base->controls);
	play->paused[target] = true;
	sim_pause(host->machine, true);
	play_add(play, pause_ms, "control continues", continue_control, target);
}

void play_add_leader_faults(struct play *play, uint32_t at_ms)
{
	switch (play_random(play, 0, 6)) {
	case 0:
		break;
	case 1:
		play_add(play, at_ms, "leader pauses", pause_leader, 0);
		break;
	case 2:
	case 3:
		play_add(play, at_ms, "leader is killed", kill_leader, 0);
		play_add(play,
			 at_ms + play_random(play, SECOND_KILL_MIN_MS,
					     SECOND_KILL_MAX_MS),
			 "leader is killed", kill_leader, 0);
		break;
	default:
		play_add(play, at_ms, "leader is killed", kill_leader, 0);
		break;
	}
}

/* Makes all events happen that are due, and starts a series if one is due. */
static void play_events(void *ctx)
{
	struct play *play = ctx;
	uint64_t now_us = sim_now_us(play->fw->base->sim);

	if (play->series_us && now_us >= play->series_us)
		play->ops->start_series(play);
	for (guint i = 0; i < play->events->len;) {
		struct play_event event =
			g_array_index(play->events, struct play_event, i);

		if (event.due_us > now_us) {
			i++;
			continue;
		}
		g_array_remove_index(play->events, i);
		if (play->verbose)
			g_printerr("%10" G_GUINT64_FORMAT " FAULT %u %s\n",
				   now_us, event.target, event.name);
		event.happen(play, event.target);
	}
}

/* ---- workflows ---- */

static bool submit(struct play *play, const char *id, uint32_t nr_tasks,
		   bool lasting)
{
	struct flow_step step = { .count = nr_tasks,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .lasting = lasting,
				  .estimate_ms = RUN_MAX_MS / 2 };

	return flow_world_submit(play->fw, id, &step, 1) == RESULT_OK;
}

/* Submits a workflow if there is a leader, few runs, and no limit is reached.
 */
static void submit_next(struct play *play)
{
	uint32_t nr = play->nr_flows;

	if (nr == play->ops->flows_max || !find_leader(play) ||
	    fw_running(play->fw) > RUNS_MAX)
		return;
	play->nr_flows++;
	g_snprintf(play->ids[nr], sizeof(play->ids[nr]), "f%u", nr);
	play->accepted[nr] = submit(play, play->ids[nr],
				    play_random(play, 1, TASKS_MAX + 1), false);
}

static void end_faults(struct play *play)
{
	struct flow_world *fw = play->fw;

	play->series_us = 0;
	g_array_set_size(play->events, 0);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++) {
		boot_control(play, i);
		continue_control(play, i);
	}
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		struct fw_vm *vm = &fw->vms[i];

		play_continue_agent(play, i);
		play_restore_agent(play, i);
		play_restore_worker(play, i);
		end_delays(play, i);
		vm->mute = false;
		vm->delay_answers_ppm = 0;
		if (vm->suspended)
			fw_suspend_worker(vm, false);
		boot_agent(play, i);
		if (!vm->worker.up)
			fw_boot_worker(vm);
	}
}

static uint32_t lasting_runs(const struct flow_world *fw)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		const GArray *runs = fw->vms[i].worker.runs;

		for (guint j = 0; j < runs->len; j++)
			nr += g_str_has_prefix(
				g_array_index(runs, struct fw_run, j).task,
				LASTING);
	}
	return nr;
}

static void check_end(struct play *play, uint32_t seed)
{
	for (uint32_t i = 0; i < play->nr_flows; i++)
		ck_assert_msg(
			!play->accepted[i] ||
				flow_world_wait(play->fw, play->ids[i],
						FLOW_COMPLETED, SETTLE_MS),
			"seed %u: %s isn't completed", seed, play->ids[i]);
	flow_world_run_ms(play->fw, 7000);
	ck_assert_msg(lasting_runs(play->fw) == LASTING_TASKS,
		      "seed %u: %u lasting tasks run", seed,
		      lasting_runs(play->fw));
}

static uint32_t submit_max_ms(const struct play *play)
{
	return sim_now_us(play->fw->base->sim) < play->hasten_until_us ?
		       HASTENED_SUBMIT_MAX_MS :
		       SUBMIT_MAX_MS;
}

void play_run(const struct play_ops *ops, uint32_t seed, bool verbose)
{
	struct flow_world *fw = flow_world_new(seed);
	struct play play = {
		.ops = ops,
		.fw = fw,
		.rand = g_rand_new_with_seed(seed + ops->random_seed),
		.events = g_array_new(FALSE, FALSE, sizeof(struct play_event)),
		.late_calls = seed % LATE_SEEDS == 0,
		.verbose = verbose,
	};
	uint64_t end_us;

	sim_set_verbose(fw->base->sim, verbose);
	fw->prints_runs = verbose;
	fw->lasting = LASTING;
	fw->run_ms = RUN_MIN_MS;
	fw->run_spread_ms = RUN_MAX_MS - RUN_MIN_MS;
	ops->prepare(&play, seed);
	ck_assert(submit(&play, LASTING, LASTING_TASKS, true));
	flow_world_run_ms(fw, UPTIME_MS);
	end_us = sim_now_us(fw->base->sim) + FAULTS_MS * 1000ull;
	play.series_us = sim_now_us(fw->base->sim) + 1000000;
	fw->tick = play_events;
	fw->tick_ctx = &play;
	while (sim_now_us(fw->base->sim) < end_us) {
		submit_next(&play);
		flow_world_run_ms(fw,
				  play_random(&play, 10, submit_max_ms(&play)));
	}
	end_faults(&play);
	flow_world_run_ms(fw, 3000);
	check_end(&play, seed);
	g_array_unref(play.events);
	g_rand_free(play.rand);
	flow_world_free(fw);
}
