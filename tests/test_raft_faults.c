/**
 * @file test_raft_faults.c
 * The replicated log under random faults from a seed. raft_world.c checks after
 * every millisecond that committed entries agree, that a term has only one
 * leader, and that at most one replica may grant.
 */

#include <stdio.h>
#include <stdlib.h>

#include "raft_member.h"
#include "raft_world.h"
#include "suite.h"

#define FAULTS_MS 20000

struct faults {
	struct world *world;
	uint64_t restart_ms[WORLD_MAX_REPLICAS]; /* 0: running */
	uint64_t resume_ms[WORLD_MAX_REPLICAS]; /* 0: not paused */
	uint64_t
		disk_full_until_ms[WORLD_MAX_REPLICAS]; /* end of a full disk */
	uint64_t next_ms; /* time of the next fault */
	uint64_t now_ms;
	uint32_t disks_lost;
};

static struct sim_path *faults_path(struct faults *faults, uint32_t from,
				    uint32_t to)
{
	return sim_path_between(faults->world->replicas[from].machine,
				faults->world->replicas[to].machine);
}

static void faults_restore_paths(struct faults *faults)
{
	const struct sim_path good = { .delay_us = 3000, .jitter_us = 1000 };

	for (uint32_t i = 0; i < faults->world->nr_replicas; i++)
		for (uint32_t j = 0; j < faults->world->nr_replicas; j++)
			*faults_path(faults, i, j) = good;
}

static void faults_degrade_paths(struct faults *faults)
{
	struct world *world = faults->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++)
		for (uint32_t j = 0; j < world->nr_replicas; j++) {
			struct sim_path *path = faults_path(faults, i, j);

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

/* Returns true if all replicas are voters in every replica's configuration. */
static bool faults_group_is_complete(struct faults *faults)
{
	struct world *world = faults->world;

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

static void faults_crash(struct faults *faults, uint32_t i)
{
	struct world *world = faults->world;

	if (!world->replicas[i].node)
		return;
	/* Disks are only lost while all replicas are voters: one at a time. */
	if (world_random(world, 2) == 0 && faults_group_is_complete(faults)) {
		world_lose_disk(&world->replicas[i]);
		faults->disks_lost++;
	} else {
		world_crash(&world->replicas[i]);
	}
	faults->resume_ms[i] = 0;
	faults->restart_ms[i] = faults->now_ms + 1 + world_random(world, 3000);
}

static void faults_pause(struct faults *faults, uint32_t i)
{
	struct world *world = faults->world;

	if (!world->replicas[i].node)
		return;
	sim_pause(world->replicas[i].machine, true);
	faults->resume_ms[i] = faults->now_ms + 1 + world_random(world, 2500);
}

static void faults_inject(struct faults *faults)
{
	struct world *world = faults->world;
	uint32_t i = (uint32_t)world_random(world, world->nr_replicas);
	uint32_t j = (uint32_t)world_random(world, world->nr_replicas);
	struct replica *replica = &world->replicas[i];

	switch (world_random(world, 11)) {
	case 0:
		faults_degrade_paths(faults);
		break;
	case 1:
	case 2:
		faults_restore_paths(faults);
		break;
	case 3:
		world_isolate(replica, true);
		break;
	case 4: /* in one direction */
		faults_path(faults, i, j)->cut = true;
		break;
	case 5:
		if (i != j)
			sim_blackhole(replica->machine,
				      world->replicas[j].machine);
		break;
	case 6:
		faults_pause(faults, i);
		break;
	case 7:
		if (replica->node)
			replica->sync_result = RESULT_IO;
		break;
	case 8:
		replica->disk_full = true;
		faults->disk_full_until_ms[i] =
			faults->now_ms + 1 + world_random(world, 4000);
		break;
	default:
		faults_crash(faults, i);
	}
	faults->next_ms = faults->now_ms + 50 + world_random(world, 1500);
}

static void faults_repair(struct faults *faults, bool all)
{
	struct world *world = faults->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++) {
		struct replica *replica = &world->replicas[i];

		if (faults->resume_ms[i] &&
		    (all || faults->now_ms >= faults->resume_ms[i])) {
			faults->resume_ms[i] = 0;
			sim_pause(replica->machine, false);
		}
		if (all || faults->now_ms >= faults->disk_full_until_ms[i])
			replica->disk_full = false;
		/* A process whose store failed is restarted. */
		if (replica->raft && !faults->resume_ms[i] &&
		    raft_store_result(replica->raft) != RESULT_OK) {
			ck_assert_int_eq(raft_store_result(replica->raft),
					 RESULT_IO);
			world_crash(replica);
			world_boot(replica);
		}
		if (faults->restart_ms[i] &&
		    (all || faults->now_ms >= faults->restart_ms[i])) {
			faults->restart_ms[i] = 0;
			world_boot(replica);
		}
	}
}

static void faults_step(struct faults *faults)
{
	struct world *world = faults->world;

	for (uint32_t i = 0; i < world->nr_replicas; i++) {
		struct replica *replica = &world->replicas[i];

		if (replica->raft && !faults->resume_ms[i] &&
		    world_random(world, 3) == 0)
			world_propose(replica);
	}
	world_run_ms(world, 1);
	faults->now_ms++;
}

static void faults_run(uint64_t seed, uint32_t nr_replicas)
{
	struct world_opts opts = {
		.seed = seed,
		.nr_replicas = nr_replicas,
		.snapshot_entries = 100,
		.page_bytes = 3000,
	};
	struct faults faults = { .world = world_new(&opts) };
	uint32_t acknowledged;
	uint32_t before;

	ck_assert_msg(world_settle(faults.world, 20000), "seed %u",
		      (unsigned)seed);
	while (faults.now_ms < FAULTS_MS) {
		if (faults.now_ms >= faults.next_ms)
			faults_inject(&faults);
		faults_repair(&faults, false);
		faults_step(&faults);
	}
	acknowledged = faults.world->acknowledged;
	faults_restore_paths(&faults);
	for (uint32_t i = 0; i < nr_replicas; i++)
		faults.world->replicas[i].sync_result = RESULT_OK;
	faults_repair(&faults, true);
	ck_assert_msg(world_settle(faults.world, 30000),
		      "no progress after the faults, seed %u", (unsigned)seed);
	before = faults.world->acknowledged;
	for (uint32_t i = 0; i < 100; i++)
		faults_step(&faults);
	ck_assert(world_settle(faults.world, 5000));
	ck_assert_uint_gt(faults.world->acknowledged, before);
	world_check_values(faults.world);
	if (getenv("STORM_VERBOSE"))
		printf("seed=%u acknowledged=%u granted_ms=%u terms=%u "
		       "snapshots=%u installed=%u disks_lost=%u\n",
		       (unsigned)seed, acknowledged,
		       (unsigned)(faults.world->granted_us / 1000),
		       (unsigned)g_hash_table_size(faults.world->leaders),
		       sim_log_count(faults.world->sim, "raft-snapshot "),
		       sim_log_count(faults.world->sim,
				     "raft-snapshot-installed"),
		       faults.disks_lost);
	world_free(faults.world);
}

/*
 * Returns the number in an environment variable, @a value if it isn't set.
 * STORM_FIRST and STORM_SEEDS select the seeds, which are 1 to 15 by default.
 */
static uint32_t faults_setting(const char *name, uint32_t value)
{
	const char *text = getenv(name);

	return text ? (uint32_t)atoi(text) : value;
}

static void faults_run_all(uint64_t base, uint32_t nr_replicas)
{
	uint32_t first = faults_setting("STORM_FIRST", 1);
	uint32_t nr = faults_setting("STORM_SEEDS", 15);

	for (uint32_t i = 0; i < nr; i++)
		faults_run(base + first + i, nr_replicas);
}

/* Guards against committed entries lost or changed in a group of three. */
START_TEST(test_random_faults_in_three)
{
	faults_run_all(0, 3);
}
END_TEST

/* Guards against committed entries lost or changed in a group of five. */
START_TEST(test_random_faults_in_five)
{
	faults_run_all(1000, 5);
}
END_TEST

SUITE_MAIN("raft_faults", test_random_faults_in_three,
	   test_random_faults_in_five)
