/**
 * @file test_grants.c
 * The leader's grants, orders and decisions for a scripted agent. A grant
 * renews the agent's leases, which let tasks run, and its permit to start
 * tasks. An epoch numbers the placements of a task.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "control_world.h"
#include "schema.h"
#include "suite.h"

/* An agent that reports what the test sets and does nothing else. */
struct script {
	struct world *world;
	struct node *node;
	uint64_t seq;
	bool reporting; /* sends a report every REPORT_INTERVAL_MS */
	uint32_t nr_runs;
	struct platform_task run;
	struct timer timer;
	/* messages received from control */
	uint32_t nr_grants;
	struct grant grant;
	uint64_t confirmed; /* first task confirmed by the last grant, or 0 */
	uint32_t nr_orders[TASK_THROTTLE + 1]; /* numbered by action */
	struct task_order order; /* the last order received */
};

static struct script script;
static struct world *world;

static void script_report(void)
{
	struct report report = { .seq = ++script.seq };

	report.sent_us = script.node->now_us;
	TEXT_SET(report.vm.name, "vm0");
	TEXT_SET(report.vm.zone, "veraval");
	TEXT_SET(report.vm.address, "10.0.1.0:7000");
	report.vm.node_id = script.node->self.node_id;
	report.vm.cpu_millis = 4000;
	report.vm.memory_mib = 8000;
	report.nr_tasks = script.nr_runs;
	report.tasks = &script.run;
	node_send(script.node, world->controls[0].node_id, MSG_REPORT, &report);
}

static void script_tick(void *data, uint64_t now_us)
{
	node_timer_ms(script.node, &script.timer, REPORT_INTERVAL_MS);
	if (script.reporting)
		script_report();
}

static void script_start(void *role)
{
	node_dial(script.node, world->addresses[0]);
	node_timer_ms(script.node, &script.timer, REPORT_INTERVAL_MS);
}

static void script_message(void *role, uint64_t from, uint32_t type,
			   const void *body)
{
	if (type == MSG_GRANT) {
		script.grant = *(const struct grant *)body;
		script.confirmed = script.grant.nr_confirmed ?
					   script.grant.confirmed[0] :
					   0;
		script.nr_grants++;
	} else if (type == MSG_TASK_ORDER) {
		script.order = *(const struct task_order *)body;
		script.nr_orders[script.order.action]++;
	}
}

static const struct role_ops script_role = {
	.role = ROLE_AGENT,
	.start = script_start,
	.message = script_message,
};

static void script_boot(struct sim_machine *machine)
{
	memset(&script, 0, sizeof(script));
	script.reporting = true;
	script.timer.fn = script_tick;
	script.node = sim_boot(machine, 0);
	node_set_role(script.node, &script_role, NULL);
	sim_start(machine);
}

static void set_up(void)
{
	world = world_new(50, 1, 0);
	script_boot(
		sim_add_machine(world->sim, "vm0", "veraval", "10.0.1.0:7000"));
	sim_run_ms(world->sim, 2000);
	ck_assert_uint_gt(script.nr_grants, 0);
}

static void tear_down(void)
{
	world_free(world);
}

static const struct task_record *task(uint64_t task_id)
{
	return &state_task_find(world_leader(world)->state, task_id)->record;
}

static void report_run(uint64_t task_id, uint64_t epoch, uint32_t run)
{
	memset(&script.run, 0, sizeof(script.run));
	script.nr_runs = 1;
	script.run.task_id = task_id;
	script.run.epoch = epoch;
	script.run.run = run;
}

/* Starts with a task that is committed and reported as running. */
static void set_up_running(void)
{
	set_up();
	world_submit(world, "job1", 1, 60000);
	sim_run_ms(world->sim, 200);
	ck_assert_uint_eq(script.nr_orders[TASK_START], 1);
	report_run(1, 1, TASK_RUN_RUNNING);
	sim_run_ms(world->sim, 1000);
	ck_assert_uint_eq(task(1)->state, TASK_RUNNING);
}

/* Guards against permits in a zone that is out. */
START_TEST(test_permit_follows_zone)
{
	set_up();
	ck_assert_uint_eq(script.grant.permit_ms, PERMIT_TTL_MS);
	ck_assert_int_eq(world_set_zone(world, "veraval", true), RESULT_OK);
	sim_run_ms(world->sim, 600);
	ck_assert_uint_eq(script.grant.permit_ms, 0);
	ck_assert(script.grant.zone_out);
	ck_assert_uint_eq(script.grant.lease_ms, LEASE_TTL_MS);
	ck_assert_int_eq(world_set_zone(world, "veraval", false), RESULT_OK);
	sim_run_ms(world->sim, 600);
	ck_assert_uint_eq(script.grant.permit_ms, PERMIT_TTL_MS);
	tear_down();
}
END_TEST

/* Guards against orders to start in a zone that is out. */
START_TEST(test_no_order_into_zone_out)
{
	uint32_t nr_orders;

	set_up();
	world_submit(world, "job1", 1, 60000);
	sim_run_ms(world->sim, 200);
	ck_assert_uint_eq(script.nr_orders[TASK_START], 1);
	/*
	 * The planner isn't informed, or it would revoke the placement at once.
	 */
	state_zone_find(world_leader(world)->state, "veraval")->out = true;
	nr_orders = script.nr_orders[TASK_START];
	sim_run_ms(world->sim, 1500);
	ck_assert_uint_eq(script.nr_orders[TASK_START], nr_orders);
	tear_down();
}
END_TEST

/*
 * Guards against a task that stays placed in a zone that is out, though it
 * never started.
 */
START_TEST(test_place_is_taken_back)
{
	set_up();
	world_submit(world, "job1", 1, 60000);
	sim_run_ms(world->sim, 200);
	ck_assert_int_eq(world_set_zone(world, "veraval", true), RESULT_OK);
	sim_run_ms(world->sim, 6000);
	ck_assert_uint_eq(task(1)->state, TASK_PENDING);
	tear_down();
}
END_TEST

/* Guards against leases for runs under another epoch than the committed one. */
START_TEST(test_only_the_epoch_is_confirmed)
{
	set_up_running();
	ck_assert_uint_eq(script.confirmed, 1);
	ck_assert_uint_eq(script.nr_orders[TASK_STOP], 0);
	report_run(1, 2, TASK_RUN_RUNNING);
	sim_run_ms(world->sim, 600);
	ck_assert_uint_eq(script.confirmed, 0);
	ck_assert_uint_gt(script.nr_orders[TASK_STOP], 0);
	ck_assert_uint_eq(script.order.start.epoch, 2);
	report_run(99, 1, TASK_RUN_RUNNING);
	sim_run_ms(world->sim, 600);
	ck_assert_uint_eq(script.confirmed, 0);
	ck_assert_uint_eq(script.order.start.task_id, 99);
	tear_down();
}
END_TEST

/*
 * Guards against a second placement of a task whose start isn't reported yet.
 */
START_TEST(test_start_under_way)
{
	set_up();
	world_submit(world, "job1", 1, 60000);
	sim_run_ms(world->sim, 200);
	ck_assert_uint_eq(script.nr_orders[TASK_START], 1);
	/* The order is repeated; the permit of the last order counts. */
	sim_run_ms(world->sim, 5000);
	ck_assert_uint_gt(script.nr_orders[TASK_START], 1);
	ck_assert_uint_eq(task(1)->epoch, 1);
	ck_assert_uint_eq(task(1)->state, TASK_PLACED);
	sim_run_ms(world->sim, 5000);
	ck_assert_uint_ge(task(1)->epoch, 2);
	tear_down();
}
END_TEST

/*
 * Guards against a second placement while the agent reports that the start is
 * in progress.
 */
START_TEST(test_slow_start_is_kept)
{
	set_up();
	world_submit(world, "job1", 1, 60000);
	sim_run_ms(world->sim, 200);
	report_run(1, 1, TASK_RUN_NONE);
	sim_run_ms(world->sim, 20000);
	ck_assert_uint_eq(task(1)->epoch, 1);
	ck_assert_uint_eq(script.nr_orders[TASK_START], 1);
	tear_down();
}
END_TEST

/*
 * Guards against tasks that a restarted worker has lost and that nobody starts
 * again.
 */
START_TEST(test_vanished_task)
{
	set_up_running();
	script.nr_runs = 0;
	sim_run_ms(world->sim, 4000);
	ck_assert_uint_ge(task(1)->epoch, 2);
	tear_down();
}
END_TEST

/*
 * Guards against tasks that are revoked because a restarted agent doesn't list
 * them in its first reports.
 */
START_TEST(test_new_incarnation_waits)
{
	struct sim_machine *machine;

	set_up_running();
	/* The new incarnation doesn't report the task at first. */
	machine =
		sim_add_machine(world->sim, "vm0b", "veraval", "10.0.1.0:7001");
	script.reporting = false;
	sim_run_ms(world->sim, 1500);
	script_boot(machine);
	sim_run_ms(world->sim, 1500);
	ck_assert_uint_gt(script.nr_grants, 0);
	ck_assert_uint_eq(task(1)->epoch, 1);
	report_run(1, 1, TASK_RUN_RUNNING);
	sim_run_ms(world->sim, 5000);
	ck_assert_uint_eq(task(1)->epoch, 1);
	ck_assert_uint_eq(task(1)->state, TASK_RUNNING);
	ck_assert_uint_eq(script.confirmed, 1);
	tear_down();
}
END_TEST

/*
 * Guards against two processes with the same VM name that replace each other.
 */
START_TEST(test_duplicate_vm)
{
	struct sim_machine *machine;
	uint64_t first_id;

	set_up();
	first_id = script.node->self.node_id;
	machine =
		sim_add_machine(world->sim, "vm0b", "veraval", "10.0.1.0:7001");
	/*
	 * Timers of the first process continue, as they are part of its node.
	 */
	for (uint32_t i = 0; i < 10; i++) {
		struct node *second;
		struct report report = { .seq = i + 1 };

		if (!i) {
			static const struct role_ops silent = {
				.role = ROLE_AGENT
			};

			second = sim_boot(machine, 0);
			node_set_role(second, &silent, NULL);
			sim_start(machine);
			node_dial(second, world->addresses[0]);
			sim_run_ms(world->sim, 100);
		}
		second = sim_node(machine);
		TEXT_SET(report.vm.name, "vm0");
		TEXT_SET(report.vm.zone, "veraval");
		report.vm.node_id = second->self.node_id;
		report.vm.cpu_millis = 4000;
		node_send(second, world->controls[0].node_id, MSG_REPORT,
			  &report);
		sim_run_ms(world->sim, 300);
	}
	ck_assert_uint_eq(state_vm_find(world_leader(world)->state, "vm0")
				  ->record.node_id,
			  first_id);
	tear_down();
}
END_TEST

/* Guards against leases granted while the VM's loss is proposed. */
START_TEST(test_no_grant_while_losing)
{
	struct control *control;
	struct control_vm *tracked;
	uint32_t nr_grants;

	set_up_running();
	sim_run_ms(world->sim, LEASE_TTL_MS + LEASE_MARGIN_MS);
	script.reporting = false;
	sim_run_ms(world->sim, 1000);
	control = world_leader(world);
	tracked = control_vm_track(control, "vm0");
	/* As if no report had arrived for the length of a lease. */
	tracked->heard_us = 0;
	node_set_time(control->node, sim_now_us(world->sim));
	control_vm_check(control, sim_now_us(world->sim));
	ck_assert(tracked->loss_pending);
	nr_grants = script.nr_grants;
	node_set_time(script.node, sim_now_us(world->sim));
	script_report();
	sim_run_ms(world->sim, 2);
	ck_assert_uint_eq(script.nr_grants, nr_grants);
	tear_down();
}
END_TEST

/* Guards against leases for a VM that is recorded as lost. */
START_TEST(test_no_grant_to_lost_vm)
{
	uint32_t nr_grants;

	set_up_running();
	script.reporting = false;
	sim_run_ms(world->sim, LEASE_TTL_MS + LEASE_MARGIN_MS + 500);
	ck_assert_uint_eq(task(1)->state, TASK_PENDING);
	nr_grants = script.nr_grants;
	node_set_time(script.node, sim_now_us(world->sim));
	script_report();
	sim_run_ms(world->sim, 100);
	/* The first report only makes control record the VM as live again. */
	ck_assert_uint_eq(script.nr_grants, nr_grants);
	ck_assert_uint_eq(
		state_vm_find(world_leader(world)->state, "vm0")->record.state,
		VM_LIVE);
	script.reporting = true;
	sim_run_ms(world->sim, 600);
	ck_assert_uint_gt(script.nr_grants, nr_grants);
	/* The run under the old epoch is refused. */
	ck_assert_uint_eq(script.confirmed, 0);
	ck_assert_uint_gt(script.nr_orders[TASK_STOP], 0);
	tear_down();
}
END_TEST

/* Guards against an order that is sent before its placement is committed. */
START_TEST(test_order_after_commit)
{
	set_up();
	world_submit(world, "job1", 1, 60000);
	for (uint32_t i = 0; i < 400; i++) {
		sim_run_ms(world->sim, 1);
		if (script.nr_orders[TASK_START])
			ck_assert_uint_eq(task(1)->state, TASK_PLACED);
	}
	ck_assert_uint_eq(script.nr_orders[TASK_START], 1);
	ck_assert_uint_eq(script.order.start.epoch, 1);
	ck_assert_uint_eq(script.order.start.cpu_millis, task(1)->cpu_millis);
	tear_down();
}
END_TEST

SUITE_MAIN("grants", test_permit_follows_zone, test_no_order_into_zone_out,
	   test_place_is_taken_back, test_only_the_epoch_is_confirmed,
	   test_start_under_way, test_slow_start_is_kept, test_vanished_task,
	   test_new_incarnation_waits, test_duplicate_vm,
	   test_no_grant_while_losing, test_no_grant_to_lost_vm,
	   test_order_after_commit)
