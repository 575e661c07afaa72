/**
 * @file test_node.c
 * Links between nodes under virtual time: dialling, silent connections,
 * restarts and partitions.
 */

#include "suite.h"
#include "sim.h"

struct peer_log {
	uint32_t ups;
	uint32_t downs;
	uint32_t replaced;
};

static void log_up(void *role, const struct link *link)
{
	((struct peer_log *)role)->ups++;
}

static void log_down(void *role, const struct link *link)
{
	((struct peer_log *)role)->downs++;
}

static void log_replaced(void *role, const struct link *link)
{
	((struct peer_log *)role)->replaced++;
}

static const struct role_ops log_ops = {
	.role = ROLE_ENTRY,
	.peer_up = log_up,
	.peer_down = log_down,
	.link_replaced = log_replaced,
};

struct pair {
	struct sim *sim;
	struct sim_machine *a;
	struct sim_machine *b;
	struct peer_log log_a;
	struct peer_log log_b;
};

static void pair_start(struct pair *pair)
{
	pair->sim = sim_new(1);
	pair->a = sim_add_machine(pair->sim, "a", "veraval", "10.0.0.1:1");
	pair->b = sim_add_machine(pair->sim, "b", "veraval", "10.0.0.2:1");
	node_set_role(sim_boot(pair->b, 0), &log_ops, &pair->log_b);
	sim_start(pair->b);
	node_set_role(sim_boot(pair->a, 0), &log_ops, &pair->log_a);
	sim_start(pair->a);
	node_dial(sim_node(pair->a), "10.0.0.2:1");
	sim_run_ms(pair->sim, 1000);
	ck_assert_uint_eq(pair->log_a.ups, 1);
	ck_assert_uint_eq(pair->log_b.ups, 1);
}

/* Guards against a wrong measured delay of a network path. */
START_TEST(test_link_delay)
{
	struct pair pair = { 0 };
	const struct link *link;

	pair_start(&pair);
	link = node_link(sim_node(pair.a), sim_node(pair.b)->self.node_id);
	ck_assert_uint_ge(link->delay_us, 450);
	ck_assert_uint_le(link->delay_us, 550);
	ck_assert_uint_eq(link_loss_ppm(link), 0);
	sim_free(pair.sim);
}
END_TEST

/* Guards against a connection that stays in use although it is silent. */
START_TEST(test_silent_connection_is_replaced)
{
	struct pair pair = { 0 };

	pair_start(&pair);
	sim_blackhole(pair.a, pair.b);
	sim_run_ms(pair.sim, 1100);
	ck_assert_uint_eq(pair.log_a.replaced, 1);
	ck_assert_uint_eq(pair.log_b.replaced, 1);
	ck_assert_uint_eq(pair.log_a.downs, 0);
	sim_run_ms(pair.sim, 3000);
	ck_assert_uint_eq(pair.log_a.replaced, 1);
	sim_free(pair.sim);
}
END_TEST

/* Guards against a restarted peer that is not dialled again. */
START_TEST(test_restarted_peer)
{
	struct pair pair = { 0 };

	pair_start(&pair);
	sim_kill(pair.b);
	sim_run_ms(pair.sim, 500);
	ck_assert_uint_eq(pair.log_a.downs, 1);
	node_set_role(sim_boot(pair.b, 0), &log_ops, &pair.log_b);
	sim_start(pair.b);
	sim_run_ms(pair.sim, 3000);
	ck_assert_uint_eq(pair.log_a.ups, 2);
	sim_free(pair.sim);
}
END_TEST

/* Guards against nodes that don't reconnect after a partition. */
START_TEST(test_partition_heals)
{
	struct pair pair = { 0 };

	pair_start(&pair);
	sim_partition(pair.a, pair.b, true);
	sim_run_ms(pair.sim, 60000);
	sim_partition(pair.a, pair.b, false);
	sim_run_ms(pair.sim, 5000);
	ck_assert(node_link(sim_node(pair.a), sim_node(pair.b)->self.node_id)
			  ->up);
	ck_assert(node_link(sim_node(pair.b), sim_node(pair.a)->self.node_id)
			  ->up);
	sim_free(pair.sim);
}
END_TEST

SUITE_MAIN("node", test_link_delay, test_silent_connection_is_replaced,
	   test_restarted_peer, test_partition_heals)
