/**
 * @file test_raft_replace.c
 * An open group whose machines are replaced, lost and restarted at random from
 * a seed, never more at a time than it must bear. A machine counts as lost
 * until it has been back, or its successor has run, for CATCH_UP_MS. At any
 * time the group must commit soon, and at last also after as many disks are
 * lost at once.
 */

#include <stdlib.h>

#include "raft_member.h"
#include "raft_world.h"
#include "suite.h"

#define PLAY_MS 40000
#define CATCH_UP_MS 4000
#define SUCCESSOR_MS 1000 /* from a loss to the start of the successor */
#define RESTART_MS 500
#define COMMIT_MS 5000 /* limit of the time without a commit */
#define MAX_PLANNED 3 /* replacements in progress at a time */
#define PROPOSE_MS 50 /* between two proposals */

/** A machine of the world, in the order in which they come. */
struct machine {
	bool leaving; /* has a successor, and stops at stop_ms or is gone */
	uint64_t boot_ms; /* 0: no start is due */
	uint64_t stop_ms;
	uint64_t lost_ms; /* counts as lost until then */
};

struct play {
	struct world *world;
	struct machine machines[WORLD_MAX_REPLICAS];
	uint32_t nr_used;
	uint32_t losses;
	uint64_t start_us; /* of the play, by the simulation's clock */
	uint64_t now_ms; /* since then */
	uint64_t next_ms; /* time of the next event */
	uint64_t propose_ms; /* time of the next proposal */
	uint64_t committed_ms; /* time of the last commit */
	uint32_t acknowledged; /* at that time */
};

static uint32_t play_nr_lost(const struct play *play)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < play->nr_used; i++)
		nr += play->machines[i].lost_ms > play->now_ms;
	return nr;
}

static uint32_t play_nr_planned(const struct play *play)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < play->nr_used; i++)
		nr += play->machines[i].stop_ms > 0;
	return nr;
}

/* Uses the next machine; its process starts after @a delay_ms. */
static void play_add(struct play *play, uint64_t delay_ms)
{
	play->machines[play->nr_used++].boot_ms = play->now_ms + delay_ms;
}

/* Returns a random running machine that is to stay, or -1. */
static int play_pick(struct play *play)
{
	uint32_t from = (uint32_t)world_random(play->world, play->nr_used);

	for (uint32_t j = 0; j < play->nr_used; j++) {
		uint32_t i = (from + j) % play->nr_used;
		const struct machine *machine = &play->machines[i];

		if (play->world->replicas[i].node && !machine->leaving &&
		    !machine->boot_ms && machine->lost_ms <= play->now_ms)
			return (int)i;
	}
	return -1;
}

static int play_pick_leader(struct play *play)
{
	struct replica *leader = world_leader(play->world);
	int i = leader ? (int)(leader - play->world->replicas) : -1;

	return i >= 0 && play->machines[i].lost_ms <= play->now_ms &&
			       !play->machines[i].leaving ?
		       i :
		       play_pick(play);
}

/* A machine is gone for good, and an empty one comes at another address. */
static void play_lose(struct play *play, int i)
{
	world_crash(&play->world->replicas[i]);
	play->machines[i].leaving = true;
	play->machines[i].lost_ms = play->now_ms + SUCCESSOR_MS + CATCH_UP_MS;
	play_add(play, SUCCESSOR_MS);
}

static void play_restart(struct play *play, int i, bool graceful)
{
	if (graceful)
		world_stop(&play->world->replicas[i]);
	else
		world_crash(&play->world->replicas[i]);
	play->machines[i].boot_ms = play->now_ms + RESTART_MS;
	play->machines[i].lost_ms = play->now_ms + RESTART_MS + CATCH_UP_MS;
}

static void play_event(struct play *play)
{
	bool room = play->nr_used < play->world->nr_replicas;
	bool may_lose = play_nr_lost(play) < play->losses;
	uint32_t kind = (uint32_t)world_random(play->world, 5);
	int i = kind == 4 ? play_pick_leader(play) : play_pick(play);

	play->next_ms = play->now_ms + 200 + world_random(play->world, 3000);
	if (i < 0)
		return;
	if (kind <= 1 && room && play_nr_planned(play) < MAX_PLANNED) {
		play->machines[i].leaving = true;
		play->machines[i].stop_ms = play->now_ms + CATCH_UP_MS;
		play_add(play, 0);
	} else if (kind == 2 && room && may_lose) {
		play_lose(play, i);
	} else if (kind >= 3 && may_lose) {
		play_restart(play, i, world_random(play->world, 2) > 0);
	}
}

/* Names up to three running machines in the settings of the next process. */
static void play_list(struct play *play)
{
	struct world *world = play->world;
	uint32_t nr = 0;

	for (uint32_t i = 0; i < play->nr_used && nr < 3; i++)
		if (world->replicas[i].node && !play->machines[i].leaving)
			world->listed[nr++] = world->addresses[i];
	world->listed[nr] = NULL;
}

static void play_due(struct play *play)
{
	for (uint32_t i = 0; i < play->nr_used; i++) {
		struct machine *machine = &play->machines[i];
		struct replica *replica = &play->world->replicas[i];

		if (machine->boot_ms && machine->boot_ms <= play->now_ms) {
			machine->boot_ms = 0;
			play_list(play);
			world_boot(replica);
		}
		if (machine->stop_ms && machine->stop_ms <= play->now_ms) {
			machine->stop_ms = 0;
			world_stop(replica);
		}
	}
}

static void play_step(struct play *play, uint64_t seed)
{
	struct replica *leader;

	play_due(play);
	leader = world_leader(play->world);
	if (leader && play->now_ms >= play->propose_ms) {
		world_propose(leader);
		play->propose_ms = play->now_ms + PROPOSE_MS;
	}
	world_run_ms(play->world, 1);
	play->now_ms = (sim_now_us(play->world->sim) - play->start_us) / 1000;
	if (play->world->acknowledged > play->acknowledged) {
		play->acknowledged = play->world->acknowledged;
		play->committed_ms = play->now_ms;
	}
	ck_assert_msg(play->now_ms - play->committed_ms < COMMIT_MS,
		      "no commit at %u ms, seed %u", (unsigned)play->now_ms,
		      (unsigned)seed);
}

/* Loses the disks of as many machines as the group must bear, at once. */
static void play_lose_disks(struct play *play)
{
	for (uint32_t n = 0; n < play->losses; n++) {
		int i = play_pick(play);

		ck_assert_int_ge(i, 0);
		world_lose_disk(&play->world->replicas[i]);
		play->machines[i].boot_ms = play->now_ms + SUCCESSOR_MS;
		play->machines[i].lost_ms =
			play->now_ms + SUCCESSOR_MS + CATCH_UP_MS;
	}
}

static void play_run(uint64_t seed, uint32_t nr, uint32_t losses)
{
	struct world_opts opts = {
		.seed = seed,
		.nr_replicas = WORLD_MAX_REPLICAS,
		.nr_spare = WORLD_MAX_REPLICAS - nr,
		.nr_listed = 3,
		.losses = losses,
		.snapshot_entries = 200,
	};
	struct play play = { .world = world_new(&opts),
			     .nr_used = nr,
			     .losses = losses };
	uint64_t end_ms;

	ck_assert(world_elect(play.world, 20000));
	world_run_ms(play.world, 3000);
	play.start_us = sim_now_us(play.world->sim);
	play.next_ms = 1000;
	while (play.now_ms < PLAY_MS) {
		if (play.now_ms >= play.next_ms)
			play_event(&play);
		play_step(&play, seed);
	}
	while (play_nr_lost(&play) || play_nr_planned(&play))
		play_step(&play, seed);
	play_lose_disks(&play);
	end_ms = play.now_ms + UINT64_C(2) * CATCH_UP_MS;
	while (play.now_ms < end_ms)
		play_step(&play, seed);
	world_free(play.world);
}

/* REPLACE_FIRST and REPLACE_SEEDS select the seeds, 1 to 12 by default. */
static uint32_t play_setting(const char *name, uint32_t value)
{
	const char *text = getenv(name);

	return text ? (uint32_t)atoi(text) : value;
}

static void play_all(uint32_t nr, uint32_t losses)
{
	uint32_t first = play_setting("REPLACE_FIRST", 1);
	uint32_t nr_seeds = play_setting("REPLACE_SEEDS", 12);

	for (uint32_t i = 0; i < nr_seeds; i++)
		play_run(first + i, nr, losses);
}

/* Guards against seats of replaced machines that stop a group of three. */
START_TEST(test_replacements_in_three)
{
	play_all(3, 1);
}
END_TEST

/* Guards against seats of replaced machines that stop a group of five. */
START_TEST(test_replacements_in_five)
{
	play_all(5, 2);
}
END_TEST

SUITE_MAIN("raft_replace", test_replacements_in_three,
	   test_replacements_in_five)
