/**
 * @file test_node.c
 * Links between nodes under virtual time: dialling, silence, restart.
 */

#include "suite.h"
#include "vhost.h"

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
	struct vhost *vhost;
	struct vmachine *a;
	struct vmachine *b;
	struct peer_log log_a;
	struct peer_log log_b;
};

static void pair_start(struct pair *pair)
{
	pair->vhost = vhost_new(1);
	pair->a = vhost_add(pair->vhost, "a", "veraval", "10.0.0.1:1");
	pair->b = vhost_add(pair->vhost, "b", "veraval", "10.0.0.2:1");
	node_set_role(vhost_boot(pair->b, 0), &log_ops, &pair->log_b);
	vhost_start(pair->b);
	node_set_role(vhost_boot(pair->a, 0), &log_ops, &pair->log_a);
	vhost_start(pair->a);
	node_dial(vhost_node(pair->a), "10.0.0.2:1");
	vhost_run_ms(pair->vhost, 1000);
	ck_assert_uint_eq(pair->log_a.ups, 1);
	ck_assert_uint_eq(pair->log_b.ups, 1);
}

/* Guards against a wrong measured delay of a network path. */
START_TEST(test_link_delay)
{
	struct pair pair = { 0 };
	const struct link *link;

	pair_start(&pair);
	link = node_link(vhost_node(pair.a), vhost_node(pair.b)->self.node_id);
	ck_assert_uint_ge(link->delay_us, 450);
	ck_assert_uint_le(link->delay_us, 550);
	ck_assert_uint_eq(link_loss_ppm(link), 0);
	vhost_free(pair.vhost);
}
END_TEST

/* Guards against a connection that stays in use although it is silent. */
START_TEST(test_silent_connection_is_replaced)
{
	struct pair pair = { 0 };

	pair_start(&pair);
	vhost_silence(pair.a, pair.b);
	vhost_run_ms(pair.vhost, 1100);
	ck_assert_uint_eq(pair.log_a.replaced, 1);
	ck_assert_uint_eq(pair.log_b.replaced, 1);
	ck_assert_uint_eq(pair.log_a.downs, 0);
	vhost_run_ms(pair.vhost, 3000);
	ck_assert_uint_eq(pair.log_a.replaced, 1);
	vhost_free(pair.vhost);
}
END_TEST

/* Guards against a restarted peer that is not dialled again. */
START_TEST(test_restarted_peer)
{
	struct pair pair = { 0 };

	pair_start(&pair);
	vhost_kill(pair.b);
	vhost_run_ms(pair.vhost, 500);
	ck_assert_uint_eq(pair.log_a.downs, 1);
	node_set_role(vhost_boot(pair.b, 0), &log_ops, &pair.log_b);
	vhost_start(pair.b);
	vhost_run_ms(pair.vhost, 3000);
	ck_assert_uint_eq(pair.log_a.ups, 2);
	vhost_free(pair.vhost);
}
END_TEST

/* Guards against nodes that don't reconnect after a partition. */
START_TEST(test_partition_heals)
{
	struct pair pair = { 0 };

	pair_start(&pair);
	vhost_cut(pair.a, pair.b, true);
	vhost_run_ms(pair.vhost, 60000);
	vhost_cut(pair.a, pair.b, false);
	vhost_run_ms(pair.vhost, 5000);
	ck_assert(
		node_link(vhost_node(pair.a), vhost_node(pair.b)->self.node_id)
			->up);
	ck_assert(
		node_link(vhost_node(pair.b), vhost_node(pair.a)->self.node_id)
			->up);
	vhost_free(pair.vhost);
}
END_TEST

SUITE_MAIN("node", test_link_delay, test_silent_connection_is_replaced,
	   test_restarted_peer, test_partition_heals)
