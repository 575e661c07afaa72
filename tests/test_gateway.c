/**
 * @file test_gateway.c
 * How an entry forwards workflow calls, with a scripted leader.
 */

#include <check.h>
#include <stdlib.h>

#include "gateway.h"
#include "msg_control.h"
#include "schema.h"
#include "sim.h"
#include "suite.h"

#define LEADER_ID 77
#define TICKET 1
#define CALL_MS 3000 /* the gateway gives up after less than half of it */

static struct sim *sim;
static struct sim_machine *leader;
static struct sim_machine *machine; /* runs the gateway */
static struct gateway *gateway;
static uint32_t nr_received; /* copies of the call at the leader */
static uint32_t nr_answers;
static uint32_t answer; /* result of the last answer to the caller */

static void leader_message(void *role, uint64_t from, uint32_t type,
			   const void *body)
{
	nr_received += type == MSG_FLOW_CALL;
}

static const struct role_ops leader_role = {
	.role = ROLE_CONTROL,
	.message = leader_message,
};

static void on_answer(void *ctx, uint64_t ticket,
		      const struct flow_reply *reply)
{
	ck_assert_uint_eq(ticket, TICKET);
	answer = reply->result;
	nr_answers++;
}

static const struct gateway_host_ops gateway_host = { .respond = on_answer };

static void send_to_gateway(uint32_t type, const void *body)
{
	node_send(sim_node(leader), sim_node(machine)->self.node_id, type,
		  body);
	sim_run_ms(sim, 2);
}

static void reply(enum result result)
{
	struct flow_reply flow_reply = { .ticket = TICKET, .result = result };

	send_to_gateway(MSG_FLOW_REPLY, &flow_reply);
}

/* Starts a call; the leader receives it but doesn't reply yet. */
static void set_up(enum flow_call_kind kind)
{
	static const char *const addresses[] = { "10.0.0.1:7000", NULL };
	struct gateway_opts opts = { .host = &gateway_host };
	struct view view = { .term = 1, .view_version = 1, .whole = true };
	struct flow_record record = { 0 };
	struct flow_call call = { .ticket = TICKET, .kind = kind };

	nr_received = nr_answers = 0;
	sim = sim_new(1);
	leader = sim_add_machine(sim, "control0", "veraval", addresses[0]);
	node_set_role(sim_boot(leader, LEADER_ID), &leader_role, NULL);
	sim_start(leader);
	machine = sim_add_machine(sim, "edge0", "veraval", "10.0.0.2:7000");
	opts.control_addresses = addresses;
	gateway = gateway_new(sim_boot(machine, 0), &opts);
	sim_start(machine);
	sim_run_ms(sim, 100);
	send_to_gateway(MSG_VIEW, &view);
	TEXT_SET(call.host, "nets.example");
	TEXT_SET(call.path, "/jobs/1");
	if (kind == FLOW_CALL_SUBMIT) {
		call.nr_flows = 1;
		call.flows = &record;
	}
	gateway_call(gateway, &call, CALL_MS);
	sim_run_ms(sim, 2);
	ck_assert_uint_eq(nr_received, 1);
}

static void tear_down(void)
{
	sim_free(sim);
}

/* Lets the gateway send the call once more. */
static void wait_for_copy(void)
{
	uint32_t before = nr_received;

	sim_run_ms(sim, GATEWAY_REPEAT_MS);
	ck_assert_uint_eq(nr_received, before + 1);
}

static void assert_answer(enum result result)
{
	ck_assert_uint_eq(nr_answers, 1);
	ck_assert_uint_eq(answer, result);
}

/*
 * Guards against a submission that is answered as refused, which means that it
 * never runs, because the leader refuses its second copy while the first one
 * is still being committed.
 */
START_TEST(test_refused_copy_is_no_refusal)
{
	set_up(FLOW_CALL_SUBMIT);
	wait_for_copy();
	reply(RESULT_OVERLOADED);
	ck_assert_uint_eq(nr_answers, 0);
	reply(RESULT_OK);
	assert_answer(RESULT_OK);
	tear_down();
}
END_TEST

/*
 * Guards against the same refusal when the reply to the other copy is lost with
 * the leader that may have committed it.
 */
START_TEST(test_refused_copy_beside_lost_one)
{
	set_up(FLOW_CALL_SUBMIT);
	wait_for_copy();
	reply(RESULT_OVERLOADED);
	for (int i = 0; i < 3; i++) {
		sim_run_ms(sim, GATEWAY_REPEAT_MS);
		reply(RESULT_UNKNOWN_QUEUE);
	}
	assert_answer(RESULT_OUTCOME_UNKNOWN);
	tear_down();
}
END_TEST

/* Guards against a refused call that waits though no other copy is open. */
START_TEST(test_all_copies_refused)
{
	set_up(FLOW_CALL_SUBMIT);
	reply(RESULT_OVERLOADED);
	assert_answer(RESULT_OVERLOADED);
	tear_down();
	set_up(FLOW_CALL_SUBMIT);
	wait_for_copy();
	reply(RESULT_MALFORMED);
	ck_assert_uint_eq(nr_answers, 0);
	reply(RESULT_MALFORMED);
	assert_answer(RESULT_MALFORMED);
	tear_down();
}
END_TEST

/* Guards against a query, which changes nothing, that waits for its copies. */
START_TEST(test_query_needs_one_answer)
{
	set_up(FLOW_CALL_STATE);
	wait_for_copy();
	reply(RESULT_UNKNOWN_OBJECT);
	assert_answer(RESULT_UNKNOWN_OBJECT);
	tear_down();
}
END_TEST

/* Names control addresses, three each second, at which nothing listens. */
static void name_addresses(uint32_t first, uint32_t nr)
{
	for (uint32_t i = 0; i < nr; i += 3) {
		char *addresses[4] = { NULL };

		for (uint32_t j = 0; j < 3; j++)
			addresses[j] = g_strdup_printf("10.1.0.%u:7000",
						       first + i + j);
		node_set_time(sim_node(machine), sim_now_us(sim));
		gateway_add_controls(gateway, (const char *const *)addresses);
		sim_run_ms(sim, 1000);
		for (uint32_t j = 0; j < 3; j++)
			g_free(addresses[j]);
	}
}

/*
 * Guards against an entry that reaches no new control replica after many
 * addresses were named, and one that drops a replica it is connected to.
 */
START_TEST(test_many_control_addresses)
{
	struct peer_address address = { "10.0.0.3:7000" };
	struct peers peers = { 1, &address };
	struct sim_machine *next;

	set_up(FLOW_CALL_STATE);
	name_addresses(1, 45);
	next = sim_add_machine(sim, "control1", "veraval", address.address);
	node_set_role(sim_boot(next, LEADER_ID + 1), &leader_role, NULL);
	sim_start(next);
	send_to_gateway(MSG_PEERS, &peers);
	sim_run_ms(sim, 100);
	ck_assert_ptr_nonnull(node_link(sim_node(machine), LEADER_ID));
	ck_assert_ptr_nonnull(node_link(sim_node(machine), LEADER_ID + 1));
	tear_down();
}
END_TEST

/*
 * Guards against an entry that drops the address of a control replica which is
 * down for some seconds while others are named.
 */
START_TEST(test_control_address_outlasts_its_replica)
{
	set_up(FLOW_CALL_STATE);
	name_addresses(1, 45);
	sim_kill(leader);
	name_addresses(101, 24);
	node_set_role(sim_boot(leader, LEADER_ID), &leader_role, NULL);
	sim_start(leader);
	sim_run_ms(sim, UINT64_C(2) * LINK_REDIAL_MAX_MS);
	ck_assert_ptr_nonnull(node_link(sim_node(machine), LEADER_ID));
	tear_down();
}
END_TEST

/*
 * Guards against a copy of a submission that is sent after its caller has left,
 * and that a later leader accepts although the caller has been refused at
 * another entry meanwhile.
 */
START_TEST(test_no_copy_after_caller_left)
{
	set_up(FLOW_CALL_SUBMIT);
	gateway_abandon(gateway, TICKET);
	sim_run_ms(sim, CALL_MS);
	ck_assert_uint_eq(nr_received, 1);
	ck_assert_uint_eq(nr_answers, 0);
	tear_down();
	/* A cancellation takes effect all the same. */
	set_up(FLOW_CALL_CANCEL);
	gateway_abandon(gateway, TICKET);
	wait_for_copy();
	tear_down();
}
END_TEST

SUITE_MAIN("gateway", test_no_copy_after_caller_left,
	   test_refused_copy_is_no_refusal, test_refused_copy_beside_lost_one,
	   test_all_copies_refused, test_query_needs_one_answer,
	   test_many_control_addresses,
	   test_control_address_outlasts_its_replica)
