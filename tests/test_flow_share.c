/**
 * @file test_flow_share.c
 * Shares of queues at the leader: the order of placement, the operators' calls,
 * and what a new leader has of weights and uses.
 */

#include <string.h>

#include "control_flow_impl.h"
#include "flow_rules.h"
#include "flow_world.h"
#include "suite.h"

#define RUN_MS 1000
#define SLOTS (FLOW_WORLD_VMS * 2) /* tasks that run at the same time */
#define BURST_FLOWS 60 /* run for 7.5 s */
#define LONG_SLO_MS 60000
#define SHORT_SLO_MS 3000

/* Puts the queues /q/ and /r/ of one service and priority in force. */
static void put_queues(struct flow_world *fw, uint32_t slo_ms)
{
	struct bundle_queue queues[] = { flow_world_queue, flow_world_queue };
	struct bundle_zone zones[] = { { "veraval", "", 0 },
				       { "porbandar", "", 0 } };
	struct bundle_pool pool = { FLOW_WORLD_SERVICE, true, false };
	struct bundle bundle = { .version = ++fw->bundle_version,
				 .digest = "d",
				 .signed_by = "test",
				 .nr_zones = G_N_ELEMENTS(zones),
				 .zones = zones,
				 .nr_queues = G_N_ELEMENTS(queues),
				 .queues = queues,
				 .nr_pools = 1,
				 .pools = &pool };

	TEXT_SET(queues[1].name, "r");
	TEXT_SET(queues[1].prefix, "/r/");
	queues[0].slo_ms = slo_ms;
	queues[1].slo_ms = slo_ms;
	ck_assert_int_eq(world_change(fw->base, OP_BUNDLE_PUT, &bundle),
			 RESULT_OK);
}

static struct flow_world *world_with_queues(uint64_t seed, bool contended,
					    uint32_t slo_ms)
{
	struct flow_world *fw = flow_world_new(seed);

	if (contended)
		flow_world_contend(fw);
	fw->run_ms = RUN_MS;
	put_queues(fw, slo_ms);
	return fw;
}

/* Submits a workflow of one task, which takes half of a VM. */
static void submit(struct flow_world *fw, const char *queue, const char *id)
{
	struct flow_step step = { .count = 1,
				  .cpu_millis = FLOW_WORLD_VM_CPU_MILLIS / 2,
				  .memory_mib = 100,
				  .estimate_ms = RUN_MS };
	struct flow_record record = { .nr_steps = 1, .steps = &step };
	char path[PATH_BYTES];

	g_snprintf(path, sizeof(path), "/%s/%s", queue, id);
	record.spec = g_bytes_new("x", 1);
	flow_rules_add(fw->rules, id, &step, 1);
	ck_assert_uint_eq(
		flow_world_call(fw, FLOW_CALL_SUBMIT, path, &record).result,
		RESULT_OK);
	g_bytes_unref(record.spec);
}

/* Submits workflows of the queue q with the numbers from @a first. */
static void submit_burst(struct flow_world *fw, uint32_t first, uint32_t nr)
{
	char id[NAME_BYTES];

	for (uint32_t i = first; i < first + nr; i++) {
		g_snprintf(id, sizeof(id), "q%03u", i);
		submit(fw, "q", id);
	}
}

/* Returns the row of the queue in the operators' list. */
static struct op_share list_share(struct flow_world *fw, const char *prefix)
{
	struct op_query query = { 0 };
	const struct op_shares *reply =
		world_op(fw->base, OP_SHARE_LIST, &query);

	ck_assert_uint_eq(fw->base->reply_type, OP_SHARES);
	for (uint32_t i = 0; i < reply->nr_shares; i++)
		if (!strcmp(reply->shares[i].prefix, prefix))
			return reply->shares[i];
	ck_abort_msg("no row of %s", prefix);
	return (struct op_share){ 0 };
}

static enum result set_weight(struct flow_world *fw, const char *queue,
			      uint32_t weight)
{
	struct cmd_share_weight set = { .weight = weight };

	TEXT_SET(set.queue, queue);
	return world_change(fw->base, OP_SHARE_SET, &set);
}

/*
 * Returns how long a workflow of the queue r takes that comes into a burst of
 * the queue q.
 */
static uint64_t ms_in_burst(struct flow_world *fw, uint32_t limit_ms)
{
	uint64_t from_us;

	submit_burst(fw, 0, BURST_FLOWS);
	flow_world_run_ms(fw, 1000);
	from_us = sim_now_us(fw->base->sim);
	submit(fw, "r", "r0");
	if (!flow_world_wait(fw, "r0", FLOW_COMPLETED, limit_ms))
		return UINT64_MAX;
	return (sim_now_us(fw->base->sim) - from_us) / 1000;
}

/*
 * The load: a burst of one queue, and one workflow of another queue with equal
 * work, which the present order places after the burst. Guards against a burst
 * that takes the capacity of the other queues, and with the standard policy
 * against any change of the order.
 */
START_TEST(test_burst_leaves_shares)
{
	struct flow_world *fw = world_with_queues(51, true, LONG_SLO_MS);
	uint64_t ms = ms_in_burst(fw, 20000);

	/* A slot becomes free within a run. */
	ck_assert_uint_le(ms, 2 * RUN_MS + 800);
	flow_world_free(fw);
	fw = world_with_queues(51, false, LONG_SLO_MS);
	ck_assert_int_eq(set_weight(fw, "r", 500000), RESULT_OK);
	ck_assert_uint_gt(ms_in_burst(fw, 20000), 3 * RUN_MS + 800);
	ck_assert_uint_eq(list_share(fw, "/r/").weight, 500000);
	flow_world_free(fw);
}
END_TEST

/* The load: one queue alone. Guards against slots that its share leaves idle.
 */
START_TEST(test_idle_capacity_is_borrowed)
{
	struct flow_world *fw = world_with_queues(52, true, LONG_SLO_MS);
	struct op_share share;

	submit_burst(fw, 0, BURST_FLOWS);
	for (uint32_t i = 0; i < 5; i++) {
		flow_world_run_ms(fw, 500);
		ck_assert_uint_ge(fw_running(fw), SLOTS - 2);
	}
	share = list_share(fw, "/q/");
	ck_assert(!share.over);
	ck_assert_uint_eq(share.share_permille, 1000);
	ck_assert_uint_gt(share.use_core_ms, 40000);
	ck_assert_uint_gt(share.waiting, 0);
	ck_assert_uint_ge(share.workflows, share.waiting);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a burst of one queue, and another queue whose work never ends.
 * Guards against work of the burst that has waited for its whole objective and
 * is still placed after the other queue.
 */
START_TEST(test_old_work_ages)
{
	struct flow_world *fw = world_with_queues(53, true, SHORT_SLO_MS);
	struct control *leader = world_leader(fw->base);
	char id[NAME_BYTES];
	bool both = false;

	ck_assert_int_eq(set_weight(fw, "r", 3000), RESULT_OK);
	submit_burst(fw, 0, BURST_FLOWS);
	for (uint32_t ms = 0; ms < 7000; ms += 100) {
		bool deferred = false;
		bool aged = false;

		/* Younger work of the same queue. */
		if (ms == 2000)
			submit_burst(fw, BURST_FLOWS, SLOTS);
		g_snprintf(id, sizeof(id), "r%u", ms);
		submit(fw, "r", id);
		flow_world_run_ms(fw, 100);
		control_flow_sort(leader->flows);
		for (guint i = 0; i < leader->flows->ranks->len; i++) {
			const struct flow_rank *rank = &g_array_index(
				leader->flows->ranks, struct flow_rank, i);
			bool is_aged = rank->due_us <= leader->node->now_us;

			ck_assert(!is_aged || !rank->deferred);
			if (rank->flow->record.id[0] != 'q')
				continue;
			deferred |= rank->deferred;
			aged |= is_aged;
		}
		/* The queue is over its share, but its old work isn't. */
		both |= deferred && aged;
	}
	ck_assert(both);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against an operator's change that is lost, that is made to no queue,
 * or whose effect waits for a restart.
 */
START_TEST(test_operators_set_weights)
{
	struct flow_world *fw = world_with_queues(54, true, LONG_SLO_MS);

	ck_assert_uint_eq(list_share(fw, "/q/").weight, SHARE_WEIGHT_STANDARD);
	ck_assert(!list_share(fw, "/q/").weight_set);
	ck_assert_int_eq(set_weight(fw, "none", 10), RESULT_UNKNOWN_QUEUE);
	ck_assert_int_eq(set_weight(fw, "q", SHARE_WEIGHT_MAX + 1),
			 RESULT_OUT_OF_RANGE);
	submit_burst(fw, 0, BURST_FLOWS);
	submit(fw, "r", "r0");
	ck_assert_int_eq(set_weight(fw, "q", 3000), RESULT_OK);
	ck_assert_uint_eq(list_share(fw, "/q/").share_permille, 750);
	ck_assert_int_eq(set_weight(fw, "shop/q/", 1), RESULT_OK);
	ck_assert_uint_eq(list_share(fw, "/q/").weight, 1);
	ck_assert(list_share(fw, "/q/").weight_set);
	ck_assert_uint_eq(list_share(fw, "/q/").share_permille, 0);
	ck_assert_int_eq(set_weight(fw, "q", 0), RESULT_OK);
	ck_assert_uint_eq(list_share(fw, "/q/").share_permille, 500);
	flow_world_free(fw);
}
END_TEST

static void kill_leader(struct flow_world *fw)
{
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		if (fw->base->controls[i].control == world_leader(fw->base)) {
			world_kill_control(&fw->base->controls[i]);
			return;
		}
	ck_abort_msg("no leader");
}

/*
 * The failure: the leader is lost in a burst, with the last commands of uses.
 * Guards against a new leader that counts from 0, so that the queue of the
 * burst is within its share again.
 */
START_TEST(test_new_leader_has_uses_and_weights)
{
	struct flow_world *fw = world_with_queues(55, true, LONG_SLO_MS);
	struct op_share before;
	struct op_share after;
	uint64_t from_us;

	ck_assert_int_eq(set_weight(fw, "r", 2000), RESULT_OK);
	submit_burst(fw, 0, 2 * BURST_FLOWS);
	flow_world_run_ms(fw, 6000);
	before = list_share(fw, "/q/");
	kill_leader(fw);
	after = list_share(fw, "/q/");
	/* Less than 3 s of its history are lost. */
	ck_assert_uint_gt(after.use_core_ms, before.use_core_ms / 2);
	ck_assert_uint_eq(list_share(fw, "/r/").weight, 2000);
	from_us = sim_now_us(fw->base->sim);
	submit(fw, "r", "r0");
	ck_assert(flow_world_wait(fw, "r0", FLOW_COMPLETED, 10000));
	ck_assert_uint_le((sim_now_us(fw->base->sim) - from_us) / 1000,
			  2 * RUN_MS + 800);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the leader is cut off in a burst, so that its commands are lost,
 * and comes back later. Guards against a new leader without the uses from
 * before the cut, and against a replica that keeps other weights or uses than
 * the others.
 */
START_TEST(test_cut_off_leader_catches_up)
{
	struct flow_world *fw = world_with_queues(57, true, LONG_SLO_MS);
	struct world_control *former;
	struct op_share before;

	submit_burst(fw, 0, 2 * BURST_FLOWS);
	flow_world_run_ms(fw, 6000);
	before = list_share(fw, "/q/");
	former = world_leader_host(fw->base);
	world_cut_control(former, true);
	for (uint32_t i = 0; i < 100 && (!world_leader(fw->base) ||
					 world_leader_host(fw->base) == former);
	     i++)
		flow_world_run_ms(fw, 100);
	ck_assert_ptr_ne(world_leader_host(fw->base), former);
	ck_assert_uint_gt(list_share(fw, "/q/").use_core_ms,
			  before.use_core_ms / 2);
	ck_assert_int_eq(set_weight(fw, "r", 4000), RESULT_OK);
	world_cut_control(former, false);
	flow_world_run_ms(fw, 3000);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++) {
		const struct state *state =
			fw->base->controls[i].control->state;
		const struct state *first =
			fw->base->controls[0].control->state;
		const struct share_record *record;

		record = state_share_find(state, "shop", "/r/");
		ck_assert_ptr_nonnull(record);
		ck_assert_uint_eq(record->weight, 4000);
		record = state_share_find(state, "shop", "/q/");
		ck_assert_ptr_nonnull(record);
		ck_assert_uint_eq(
			record->use_core_ms,
			state_share_find(first, "shop", "/q/")->use_core_ms);
	}
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: all replicas restart. Guards against weights that are lost, and
 * against the record of a use that stays after the use has decayed.
 */
START_TEST(test_restart_keeps_weights)
{
	struct flow_world *fw = world_with_queues(56, true, LONG_SLO_MS);
	const struct share_record *record;

	ck_assert_int_eq(set_weight(fw, "q", 70), RESULT_OK);
	submit_burst(fw, 0, 2 * SLOTS);
	flow_world_run_ms(fw, 3500);
	record = state_share_find(world_leader(fw->base)->state, "shop", "/q/");
	ck_assert_ptr_nonnull(record);
	ck_assert_uint_gt(record->use_core_ms, 0);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		world_kill_control(&fw->base->controls[i]);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		world_boot_control(&fw->base->controls[i]);
	ck_assert_uint_eq(list_share(fw, "/q/").weight, 70);
	flow_world_run_ms(fw, 60000);
	record = state_share_find(world_leader(fw->base)->state, "shop", "/q/");
	ck_assert_ptr_nonnull(record);
	ck_assert_uint_eq(record->weight, 70);
	ck_assert_uint_eq(record->use_core_ms, 0);
	flow_world_free(fw);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_burst_leaves_shares,
		test_idle_capacity_is_borrowed,
		test_old_work_ages,
		test_operators_set_weights,
		test_new_leader_has_uses_and_weights,
		test_cut_off_leader_catches_up,
		test_restart_keeps_weights,
	};

	return suite_run("flow_share", tests, G_N_ELEMENTS(tests));
}
