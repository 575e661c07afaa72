/**
 * @file test_raft_faults.c
 * The replicated log under seeded storms of faults. raft_world.c checks after
 * every millisecond that committed entries agree, that a term has one leader
 * and that one replica at most may grant.
 */

#include <stdio.h>
#include <stdlib.h>

#include "raft_member.h"
#include "raft_world.h"
#include "suite.h"

#define STORM_MS 20000

struct storm {
	struct world *world;
	uint64_t restart_ms[WORLD_MAX_REPLICAS]; /* 0: running */
	uint64_t resume_ms[WORLD_MAX_REPLICAS]; /* 0: not paused */
	uint64_t room_ms[WORLD_MAX_REPLICAS]; /* of a full disk */
	uint64_t next_ms;
	uint64_t now_ms;
	uint32_t disks_lost;
};

static struct sim_path *storm_path(struct storm *storm, uint32_t from,
				   uint32_t to)
{
	return sim_path_between(storm->world->replicas[from].machine,
				storm->world->replicas[to].machine);
}

static void storm_heal_paths(struct storm *storm)
{
	const struct sim_path good = { .delay_us = 3000, .jitter_us = 1000 };

	for (uint32_t i = 0; i < storm->world->nr_replicas; i++)
		for (uint32_t j = 0; j < storm->world->nr_replicas; j++)
			*storm_path(storm, i, j) = good;
}

static void storm_spoil_paths(struct storm *storm)
{
	struct world *world = storm->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++)
		for (uint32_t j = 0; j < world->nr_replicas; j++) {
			struct sim_path *path = storm_path(storm, i, j);

			path->delay_us = (uint32_t)world_random(world, 40000);
			path->jitter_us = (uint32_t)world_random(world, 40000);
			path->drop_ppm = (uint32_t)world_random(world, 200000);
			path->duplicate_ppm =
				(uint32_t)world_random(world, 100000);
			path->unordered = world_random(world, 2);
			path->stall_ppm = (uint32_t)world_random(world, 30000);
			path->stall_us = 1500000;
		}
}

/* Every replica's log makes all replicas voters, under their identities. */
static bool storm_is_whole(struct storm *storm)
{
	struct world *world = storm->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++) {
		const struct members *members;

		if (!world->replicas[i].raft)
			return false;
		members = raft_members(world->replicas[i].raft);
		for (uint32_t j = 0; j < world->nr_replicas; j++) {
			const struct node *node = world->replicas[j].node;

			if (!node ||
			    !members_is_voter(members, node->self.node_id))
				return false;
		}
	}
	return true;
}

static void storm_crash(struct storm *storm, uint32_t i)
{
	struct world *world = storm->world;

	if (!world->replicas[i].node)
		return;
	/* One disk at a time, but the next one right after the repair. */
	if (world_random(world, 2) == 0 && storm_is_whole(storm)) {
		world_lose_disk(&world->replicas[i]);
		storm->disks_lost++;
	} else {
		world_crash(&world->replicas[i]);
	}
	storm->resume_ms[i] = 0;
	storm->restart_ms[i] = storm->now_ms + 1 + world_random(world, 3000);
}

static void storm_pause(struct storm *storm, uint32_t i)
{
	struct world *world = storm->world;

	if (!world->replicas[i].node)
		return;
	sim_pause(world->replicas[i].machine, true);
	storm->resume_ms[i] = storm->now_ms + 1 + world_random(world, 2500);
}

static void storm_strike(struct storm *storm)
{
	struct world *world = storm->world;
	uint32_t i = (uint32_t)world_random(world, world->nr_replicas);
	uint32_t j = (uint32_t)world_random(world, world->nr_replicas);
	struct replica *replica = &world->replicas[i];

	switch (world_random(world, 11)) {
	case 0:
		storm_spoil_paths(storm);
		break;
	case 1:
	case 2:
		storm_heal_paths(storm);
		break;
	case 3:
		world_isolate(replica, true);
		break;
	case 4: /* one way */
		storm_path(storm, i, j)->cut = true;
		break;
	case 5:
		if (i != j)
			sim_blackhole(replica->machine,
				      world->replicas[j].machine);
		break;
	case 6:
		storm_pause(storm, i);
		break;
	case 7:
		if (replica->node)
			replica->sync_result = RESULT_IO;
		break;
	case 8:
		replica->disk_full = true;
		storm->room_ms[i] =
			storm->now_ms + 1 + world_random(world, 4000);
		break;
	default:
		storm_crash(storm, i);
	}
	storm->next_ms = storm->now_ms + 50 + world_random(world, 1500);
}

static void storm_mend(struct storm *storm, bool all)
{
	struct world *world = storm->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++) {
		struct replica *replica = &world->replicas[i];

		if (storm->resume_ms[i] &&
		    (all || storm->now_ms >= storm->resume_ms[i])) {
			storm->resume_ms[i] = 0;
			sim_pause(replica->machine, false);
		}
		if (all || storm->now_ms >= storm->room_ms[i])
			replica->disk_full = false;
		/* A process whose store failed is restarted. */
		if (replica->raft && !storm->resume_ms[i] &&
		    raft_store_result(replica->raft) != RESULT_OK) {
			ck_assert_int_eq(raft_store_result(replica->raft),
					 RESULT_IO);
			world_crash(replica);
			world_boot(replica);
		}
		if (storm->restart_ms[i] &&
		    (all || storm->now_ms >= storm->restart_ms[i])) {
			storm->restart_ms[i] = 0;
			world_boot(replica);
		}
	}
}

static void storm_step(struct storm *storm)
{
	struct world *world = storm->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++) {
		struct replica *replica = &world->replicas[i];

		if (replica->raft && !storm->resume_ms[i] &&
		    world_random(world, 3) == 0)
			world_propose(replica);
	}
	world_run_ms(world, 1);
	storm->now_ms++;
}

static void storm_run(uint64_t seed, uint32_t nr_replicas)
{
	struct world_opts opts = {
		.seed = seed,
		.nr_replicas = nr_replicas,
		.snapshot_entries = 100,
		.page_bytes = 3000,
	};
	struct storm storm = { .world = world_new(&opts) };
	uint32_t acknowledged;
	uint32_t before;

	ck_assert_msg(world_settle(storm.world, 20000), "seed %u",
		      (unsigned)seed);
	while (storm.now_ms < STORM_MS) {
		if (storm.now_ms >= storm.next_ms)
			storm_strike(&storm);
		storm_mend(&storm, false);
		storm_step(&storm);
	}
	acknowledged = storm.world->acknowledged;
	storm_heal_paths(&storm);
	for (uint32_t i = 0; i < nr_replicas; i++)
		storm.world->replicas[i].sync_result = RESULT_OK;
	storm_mend(&storm, true);
	ck_assert_msg(world_settle(storm.world, 30000),
		      "no progress after the faults, seed %u", (unsigned)seed);
	before = storm.world->acknowledged;
	for (uint32_t i = 0; i < 100; i++)
		storm_step(&storm);
	ck_assert(world_settle(storm.world, 5000));
	ck_assert_uint_gt(storm.world->acknowledged, before);
	world_check_values(storm.world);
	if (getenv("STORM_VERBOSE"))
		printf("seed=%u acknowledged=%u granted_ms=%u terms=%u "
		       "snapshots=%u installed=%u disks_lost=%u\n",
		       (unsigned)seed, acknowledged,
		       (unsigned)(storm.world->granted_us / 1000),
		       (unsigned)g_hash_table_size(storm.world->leaders),
		       sim_log_count(storm.world->sim, "raft-snapshot "),
		       sim_log_count(storm.world->sim,
				     "raft-snapshot-installed"),
		       storm.disks_lost);
	world_free(storm.world);
}

/* STORM_FIRST and STORM_SEEDS choose other seeds than 1 to 15. */
static uint32_t storm_setting(const char *name, uint32_t value)
{
	const char *text = getenv(name);

	return text ? (uint32_t)atoi(text) : value;
}

static void storm_run_all(uint64_t base, uint32_t nr_replicas)
{
	uint32_t first = storm_setting("STORM_FIRST", 1);
	uint32_t nr = storm_setting("STORM_SEEDS", 15);

	for (uint32_t i = 0; i < nr; i++)
		storm_run(base + first + i, nr_replicas);
}

/* Guards against committed entries lost or changed in a group of three. */
START_TEST(test_random_faults_in_three)
{
	storm_run_all(0, 3);
}
END_TEST

/* Guards against the same in a group of five, where two may fail. */
START_TEST(test_random_faults_in_five)
{
	storm_run_all(1000, 5);
}
END_TEST

SUITE_MAIN("raft_faults", test_random_faults_in_three,
	   test_random_faults_in_five)
