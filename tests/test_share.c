/**
 * @file test_share.c
 * Shares of queues: the decayed use, who is over its share, and the weights and
 * uses in the replicated state.
 */

#include <string.h>

#include "schema.h"
#include "share.h"
#include "state.h"
#include "suite.h"
#include "tunables.h"

#define MS 1000ull
#define HALF_LIFE_US (SHARE_HALF_LIFE_TICKS * SHARE_TICK_US)

/*
 * Guards against a use that depends on how often it is updated, and against a
 * wrong half-life.
 */
START_TEST(test_use_decays)
{
	struct share_use often;
	struct share_use once;

	share_use_init(&often, 1000, 0);
	share_use_init(&once, 1000, 0);
	share_use_run(&often, 1000, 4000, true);
	share_use_run(&once, 1000, 4000, true);
	for (uint64_t us = 1000; us <= 1000 + 3000 * MS; us += 7 * MS)
		share_use_advance(&often, us);
	share_use_run(&often, 1000 + 3000 * MS, 4000, false);
	share_use_run(&once, 1000 + 3000 * MS, 4000, false);
	ck_assert_uint_eq(share_use_core_ms(&often), share_use_core_ms(&once));
	/* 12 core-seconds, of which the first have decayed by 40 %. */
	ck_assert_uint_gt(share_use_core_ms(&once), 9000);
	ck_assert_uint_lt(share_use_core_ms(&once), 12000);
	share_use_init(&once, 0, 80000);
	share_use_advance(&once, HALF_LIFE_US);
	ck_assert_uint_ge(share_use_core_ms(&once), 39900);
	ck_assert_uint_le(share_use_core_ms(&once), 40100);
	share_use_advance(&once, 100 * HALF_LIFE_US);
	ck_assert_uint_eq(share_use_core_ms(&once), 0);
	/* A run that lasts through a long pause counts as before. */
	share_use_run(&once, 100 * HALF_LIFE_US, 1000, true);
	share_use_advance(&once, 200 * HALF_LIFE_US);
	ck_assert_uint_gt(share_use_core_ms(&once), 5600);
	ck_assert_uint_lt(share_use_core_ms(&once), 5900);
}
END_TEST

#define SIM_QUEUES 3
#define SIM_SLOTS 8 /* of one core */
#define SIM_RUN_MS 500
#define SIM_STEP_MS 10

/* Queues that compete for SIM_SLOTS; queue 0 is the first in the order. */
struct sim_shares {
	struct share_group group;
	struct share_queue queues[SIM_QUEUES];
	struct share_use uses[SIM_QUEUES];
	uint64_t waiting_since_ms[SIM_QUEUES]; /* oldest task, if any waits */
	uint32_t waiting[SIM_QUEUES];
	uint64_t longest_ms[SIM_QUEUES]; /* wait until a start */
	uint32_t started[SIM_QUEUES];
	uint32_t running_queue[SIM_SLOTS];
	uint64_t ends_ms[SIM_SLOTS]; /* 0: the slot is free */
	bool ignores_shares; /* as with the standard policy */
};

static void sim_init(struct sim_shares *sim)
{
	memset(sim, 0, sizeof(*sim));
	for (uint32_t i = 0; i < SIM_QUEUES; i++) {
		sim->queues[i].group = &sim->group;
		sim->queues[i].weight = SHARE_WEIGHT_STANDARD;
		share_use_init(&sim->uses[i], 0, 0);
	}
}

static void sim_evaluate(struct sim_shares *sim, uint64_t now_ms)
{
	struct share_queue *queues[SIM_QUEUES];

	for (uint32_t i = 0; i < SIM_QUEUES; i++) {
		share_use_advance(&sim->uses[i], now_ms * MS);
		queues[i] = &sim->queues[i];
		queues[i]->use_core_ms = share_use_core_ms(&sim->uses[i]);
		queues[i]->waits = sim->waiting[i] > 0;
		queues[i]->works = queues[i]->waits ||
				   sim->uses[i].running_millis > 0;
	}
	share_evaluate(queues, SIM_QUEUES);
}

/* Returns the queue whose task starts next, SIM_QUEUES if none waits. */
static uint32_t sim_next(const struct sim_shares *sim)
{
	for (uint32_t over = 0; over < 2; over++)
		for (uint32_t i = 0; i < SIM_QUEUES; i++)
			if (sim->waiting[i] && (sim->ignores_shares || over ||
						!sim->queues[i].over))
				return i;
	return SIM_QUEUES;
}

static void sim_start(struct sim_shares *sim, uint32_t slot, uint64_t now_ms)
{
	uint32_t next = sim_next(sim);

	if (next == SIM_QUEUES)
		return;
	sim->longest_ms[next] = MAX(sim->longest_ms[next],
				    now_ms - sim->waiting_since_ms[next]);
	sim->waiting_since_ms[next] = now_ms;
	sim->waiting[next]--;
	sim->started[next]++;
	sim->running_queue[slot] = next;
	sim->ends_ms[slot] = now_ms + SIM_RUN_MS;
	share_use_run(&sim->uses[next], now_ms * MS, 1000, true);
}

static void sim_arrive(struct sim_shares *sim, uint32_t queue, uint32_t nr,
		       uint64_t now_ms)
{
	if (!sim->waiting[queue])
		sim->waiting_since_ms[queue] = now_ms;
	sim->waiting[queue] += nr;
}

/*
 * Runs from one time to another. Every 250 ms a task arrives for each of the
 * queues from @a first_steady on.
 */
static void sim_run(struct sim_shares *sim, uint64_t from_ms, uint64_t to_ms,
		    uint32_t first_steady)
{
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += SIM_STEP_MS) {
		for (uint32_t i = first_steady;
		     i < SIM_QUEUES && now_ms % 250 == 0; i++)
			sim_arrive(sim, i, 1, now_ms);
		for (uint32_t slot = 0; slot < SIM_SLOTS; slot++) {
			if (!sim->ends_ms[slot] || sim->ends_ms[slot] > now_ms)
				continue;
			sim->ends_ms[slot] = 0;
			share_use_run(&sim->uses[sim->running_queue[slot]],
				      now_ms * MS, 1000, false);
		}
		sim_evaluate(sim, now_ms);
		for (uint32_t slot = 0; slot < SIM_SLOTS; slot++)
			if (!sim->ends_ms[slot])
				sim_start(sim, slot, now_ms);
	}
}

/*
 * The load: a burst of one queue, whose work comes first in the order, beside
 * two queues that steadily need a quarter of the capacity each. Guards against
 * a burst that keeps the steady queues from their shares.
 */
START_TEST(test_burst_beside_steady_queues)
{
	struct sim_shares sim;
	struct sim_shares plain;

	sim_init(&sim);
	sim_arrive(&sim, 0, 10000, 0);
	sim_run(&sim, 0, 20000, 1);
	/* A steady task starts when the next run ends, or soon after. */
	for (uint32_t i = 1; i < SIM_QUEUES; i++) {
		ck_assert_uint_ge(sim.started[i], 78);
		ck_assert_uint_le(sim.longest_ms[i], 2ul * SIM_RUN_MS);
	}
	/* The burst gets all that is left: half of the capacity. */
	ck_assert_uint_ge(sim.started[0], 150);
	sim_init(&plain);
	plain.ignores_shares = true;
	sim_arrive(&plain, 0, 10000, 0);
	sim_run(&plain, 0, 20000, 1);
	ck_assert_uint_eq(plain.started[1], 0);
}
END_TEST

/*
 * The load: a queue alone, which others join later. Guards against capacity
 * that stays unused because a queue is over its share, and against a borrower
 * that is kept behind for longer than its objective of some seconds.
 */
START_TEST(test_idle_shares_are_borrowed)
{
	struct sim_shares sim;
	uint32_t before;

	sim_init(&sim);
	sim_arrive(&sim, 0, 10000, 0);
	sim_run(&sim, 0, 10000, SIM_QUEUES);
	ck_assert_uint_eq(sim.started[0], SIM_SLOTS * 10000 / SIM_RUN_MS);
	ck_assert(!sim.queues[0].over);
	ck_assert_uint_eq(sim.queues[0].share_permille, 1000);
	/* Two other queues ask for everything. */
	sim_arrive(&sim, 1, 10000, 10000);
	sim_arrive(&sim, 2, 10000, 10000);
	sim_run(&sim, 10000, 11000, SIM_QUEUES);
	ck_assert(sim.queues[0].over);
	before = sim.started[0];
	sim_run(&sim, 11000, 20000, SIM_QUEUES);
	/* About a third of the starts of 9 s, less what it had borrowed. */
	ck_assert_uint_ge(sim.started[0] - before, 20);
	ck_assert_uint_le(sim.started[0] - before, 52);
}
END_TEST

/* The load: queues of weights 3, 1 and 1 that all ask for everything. */
START_TEST(test_weights_divide_capacity)
{
	struct sim_shares sim;
	uint32_t total = SIM_SLOTS * 60000 / SIM_RUN_MS;

	sim_init(&sim);
	sim.queues[0].weight = 3 * SHARE_WEIGHT_STANDARD;
	for (uint32_t i = 0; i < SIM_QUEUES; i++)
		sim_arrive(&sim, i, 10000, 0);
	sim_run(&sim, 0, 60000, SIM_QUEUES);
	ck_assert_uint_eq(sim.queues[0].share_permille, 600);
	/* The margin allows a tenth more than the share. */
	ck_assert_uint_ge(sim.started[0], total * 55 / 100);
	ck_assert_uint_le(sim.started[0], total * 68 / 100);
	ck_assert_uint_ge(sim.started[2], total * 14 / 100);
}
END_TEST

/*
 * Guards against a queue that is placed after others although none of its group
 * waits, or although the waiting one has used more than its own share, and
 * against queues of other groups that count.
 */
START_TEST(test_over_only_if_another_waits)
{
	struct share_group groups[2];
	struct share_queue a = { &groups[0], 1000, 90000, true, true };
	struct share_queue b = { &groups[0], 1000, 10000, true, false };
	struct share_queue c = { &groups[1], 1000, 0, true, true };
	struct share_queue *queues[] = { &a, &b, &c };

	share_evaluate(queues, 3);
	ck_assert(!a.over);
	ck_assert_uint_eq(a.excess_core_ms, 40000);
	b.waits = true;
	share_evaluate(queues, 3);
	ck_assert(a.over && !b.over && !c.over);
	/* A queue without work doesn't take part of the shares. */
	b.works = false;
	share_evaluate(queues, 3);
	ck_assert(!a.over);
	ck_assert_uint_eq(b.share_permille, 0);
	/* No more than the margin over the share. */
	b.works = true;
	a.use_core_ms = 54000;
	b.use_core_ms = 46000;
	share_evaluate(queues, 3);
	ck_assert(!a.over);
	/* Once over, it is so until it is back at its share. */
	a.use_core_ms = 60000;
	share_evaluate(queues, 3);
	ck_assert(a.over);
	a.use_core_ms = 50000;
	share_evaluate(queues, 3);
	ck_assert(a.over);
	a.use_core_ms = 46000;
	share_evaluate(queues, 3);
	ck_assert(!a.over);
}
END_TEST

/*
 * The load: a workflow of a queue that stays over its share. Guards against one
 * that waits without end: after its objective it isn't placed after others.
 */
START_TEST(test_waiting_work_ages)
{
	struct share_queue queue = { .over = true };

	ck_assert(share_defers(&queue, 5000, 4999));
	ck_assert(!share_defers(&queue, 5000, 5000));
	queue.over = false;
	ck_assert(!share_defers(&queue, 5000, 0));
}
END_TEST

/* Guards against a command for each small change of a use, or for none. */
START_TEST(test_uses_are_stored_seldom)
{
	ck_assert(!share_use_changed(0, SHARE_MIN_CORE_MS - 1));
	ck_assert(share_use_changed(0, SHARE_MIN_CORE_MS));
	ck_assert(!share_use_changed(100000, 80000));
	ck_assert(!share_use_changed(100000, 120000));
	ck_assert(share_use_changed(100000, 70000));
	ck_assert(share_use_changed(100000, 130000));
	ck_assert(share_use_changed(1200, SHARE_MIN_CORE_MS - 1));
}
END_TEST

static struct state *state_with_queues(void)
{
	struct bundle_queue queues[] = {
		{ "q", "shop", "/q/", "s", .timeout_ms = 1, .attempts = 1 },
		{ "r", "shop", "/r/", "s", .timeout_ms = 1, .attempts = 1 },
		{ "r", "shop", "/r2/", "s", .timeout_ms = 1, .attempts = 1 },
	};
	struct bundle_pool pool = { .name = "s" };
	struct bundle bundle = { .version = 1,
				 .digest = "d",
				 .signed_by = "test",
				 .nr_queues = G_N_ELEMENTS(queues),
				 .queues = queues,
				 .nr_pools = 1,
				 .pools = &pool };
	struct state *state = state_new();

	ck_assert_int_eq(state_bundle_put(state, &bundle).result, RESULT_OK);
	return state;
}

static enum result set_weight(struct state *state, const char *queue,
			      uint32_t weight)
{
	struct cmd_share_weight cmd = { .weight = weight };
	struct record command = { CMD_SHARE_WEIGHT, &cmd };

	TEXT_SET(cmd.queue, queue);
	return state_apply(state, command).result;
}

static void set_use(struct state *state, const char *prefix,
		    uint64_t use_core_ms)
{
	struct share_record use = { .host = "shop",
				    .use_core_ms = use_core_ms };
	struct cmd_share_uses cmd = { 1, &use };
	struct record command = { CMD_SHARE_USES, &cmd };

	TEXT_SET(use.prefix, prefix);
	ck_assert_int_eq(state_apply(state, command).result, RESULT_OK);
}

/*
 * Guards against weights of queues that don't exist or that are not the one
 * meant, and against a weight that can't be removed once its queue is gone.
 */
START_TEST(test_weight_rules)
{
	struct state *state = state_with_queues();
	struct bundle empty = { .version = 2,
				.digest = "e",
				.signed_by = "test" };

	ck_assert_int_eq(set_weight(state, "none", 5), RESULT_UNKNOWN_QUEUE);
	ck_assert_int_eq(set_weight(state, "", 5), RESULT_UNKNOWN_QUEUE);
	ck_assert_int_eq(set_weight(state, "r", 5), RESULT_UNKNOWN_QUEUE);
	ck_assert_int_eq(set_weight(state, "q", SHARE_WEIGHT_MAX + 1),
			 RESULT_OUT_OF_RANGE);
	ck_assert_uint_eq(g_tree_nnodes(state->shares), 0);
	ck_assert_int_eq(set_weight(state, "q", SHARE_WEIGHT_MAX), RESULT_OK);
	ck_assert_int_eq(set_weight(state, "shop/r2/", 5), RESULT_OK);
	ck_assert_uint_eq(state_share_find(state, "shop", "/r2/")->weight, 5);
	ck_assert_ptr_null(state_share_find(state, "shop", "/r/"));
	ck_assert_int_eq(set_weight(state, "shop/r2/", 0), RESULT_OK);
	ck_assert_ptr_null(state_share_find(state, "shop", "/r2/"));
	ck_assert_int_eq(state_bundle_put(state, &empty).result, RESULT_OK);
	ck_assert_int_eq(set_weight(state, "q", 5), RESULT_UNKNOWN_QUEUE);
	ck_assert_uint_eq(state_share_find(state, "shop", "/q/")->weight,
			  SHARE_WEIGHT_MAX);
	ck_assert_int_eq(set_weight(state, "q", 0), RESULT_OK);
	ck_assert_uint_eq(g_tree_nnodes(state->shares), 0);
	state_free(state);
}
END_TEST

/*
 * The failure: a replica that is restored from a snapshot becomes the leader.
 * Guards against weights or uses that it lacks, and against a use that removes
 * a weight.
 */
START_TEST(test_snapshot_has_weights_and_uses)
{
	struct state *state = state_with_queues();
	struct state *copy = state_new();
	const struct share_record *record;
	struct snapshot_record *records;
	uint32_t nr = 0;

	set_use(state, "/q/", 7000);
	ck_assert_int_eq(set_weight(state, "q", 30), RESULT_OK);
	set_use(state, "/q/", 9000);
	set_use(state, "/r/", 4000);
	set_use(state, "/r2/", 4000);
	set_use(state, "/r2/", 0);
	records = state_snapshot(state, &nr);
	state_restore(copy, records, nr);
	record = state_share_find(copy, "shop", "/q/");
	ck_assert_ptr_nonnull(record);
	ck_assert_uint_eq(record->weight, 30);
	ck_assert_uint_eq(record->use_core_ms, 9000);
	ck_assert_str_eq(record->name, "q");
	record = state_share_find(copy, "shop", "/r/");
	ck_assert_ptr_nonnull(record);
	ck_assert_uint_eq(record->use_core_ms, 4000);
	ck_assert_ptr_null(state_share_find(copy, "shop", "/r2/"));
	/* A decayed use leaves the weight. */
	set_use(copy, "/q/", 0);
	ck_assert_uint_eq(state_share_find(copy, "shop", "/q/")->weight, 30);
	for (uint32_t i = 0; i < nr; i++)
		record_unref(records[i].record);
	g_free(records);
	state_free(state);
	state_free(copy);
}
END_TEST

/* Guards against a state that grows without limit, and lacks room for weights.
 */
START_TEST(test_records_are_limited)
{
	struct state *state = state_with_queues();

	for (uint32_t i = 0; i < 2 * SHARE_MAX_RECORDS; i++) {
		char prefix[NAME_BYTES];

		g_snprintf(prefix, sizeof(prefix), "/p%u/", i);
		set_use(state, prefix, 5000);
	}
	ck_assert_uint_eq(g_tree_nnodes(state->shares), SHARE_MAX_USE_RECORDS);
	ck_assert_int_eq(set_weight(state, "q", 5), RESULT_OK);
	ck_assert_uint_eq(g_tree_nnodes(state->shares),
			  SHARE_MAX_USE_RECORDS + 1);
	state_free(state);
}
END_TEST

SUITE_MAIN("share", test_use_decays, test_burst_beside_steady_queues,
	   test_idle_shares_are_borrowed, test_weights_divide_capacity,
	   test_over_only_if_another_waits, test_waiting_work_ages,
	   test_uses_are_stored_seldom, test_weight_rules,
	   test_snapshot_has_weights_and_uses, test_records_are_limited)
