/**
 * @file test_agent_task.c
 * How an agent runs tasks, with a scripted leader and a scripted worker; and
 * the view that agents and entries keep: their copy of the site's zones, agents
 * and bundle.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agent.h"
#include "msg_control.h"
#include "schema.h"
#include "site.h"
#include "suite.h"
#include "sim.h"

#define LEADER_ID 77
#define TERM 5

static struct sim *sim;
static struct sim_machine *leader;
static struct sim_machine *machine; /* runs the node under test */
static struct agent *agent;
static struct site *site; /* of the entry in tests of the view */

/* The last messages that the leader received. */
static struct report report;
static uint32_t nr_reports;
static struct platform_task reported; /* first task in the last report */
static struct task_event event;
static uint32_t nr_events;

/* A call to the worker that isn't answered yet. */
struct call {
	uint64_t call_nr;
	uint32_t type;
	void *body;
};

static GArray *calls; /* struct call */
static uint32_t nr_calls[PLATFORM_ANNOUNCE + 1]; /* calls so far, by type */
static struct platform_start last_start;
static struct platform_lease last_lease;
static bool answer_first_list = true; /* for set_up() */
static bool answer_lists; /* list calls are answered from worker_task */
static struct platform_task
	worker_task; /* the only task that the worker may have */
static uint32_t nr_worker_tasks; /* 0: the worker has no task */
static bool resent; /* the answers are to second copies of the calls */

static void leader_message(void *role, uint64_t from, uint32_t type,
			   const void *body)
{
	if (type == MSG_REPORT) {
		report = *(const struct report *)body;
		memset(&reported, 0, sizeof(reported));
		if (report.nr_tasks)
			reported = report.tasks[0];
		nr_reports++;
	} else if (type == MSG_TASK_EVENT) {
		event = *(const struct task_event *)body;
		nr_events++;
	}
}

static const struct role_ops leader_role = {
	.role = ROLE_CONTROL,
	.message = leader_message,
};

static void answer(size_t i, uint32_t type, const void *body)
{
	struct call call = g_array_index(calls, struct call, i);
	struct platform_answer platform_answer = { type, body, resent };

	g_array_remove_index(calls, (guint)i);
	node_set_time(sim_node(machine), sim_now_us(sim));
	agent_platform_done(agent, call.call_nr, &platform_answer);
	record_unref((struct record){ call.type, call.body });
}

/* Answers the oldest open call of a type; fails if there is none. */
static void answer_type(uint32_t call_type, uint32_t type, const void *body)
{
	for (guint i = 0; i < calls->len; i++) {
		if (g_array_index(calls, struct call, i).type != call_type)
			continue;
		answer(i, type, body);
		return;
	}
	ck_abort_msg("no open call of type %u", call_type);
}

static void reply_result(uint32_t call_type, enum result result)
{
	struct platform_reply reply = { .result = result };

	answer_type(call_type, PLATFORM_REPLY, &reply);
}

static void answer_list(void *data)
{
	struct platform_tasks tasks = { nr_worker_tasks, &worker_task };

	for (guint i = calls->len; i-- > 0;)
		if (g_array_index(calls, struct call, i).type == PLATFORM_LIST)
			answer(i, PLATFORM_TASKS, &tasks);
}

static void record_call(void *ctx, uint64_t call_nr, uint32_t type,
			const void *body)
{
	struct call call = { call_nr, type, schema_dup(type, body) };

	nr_calls[type]++;
	g_array_append_val(calls, call);
	if (type == PLATFORM_START)
		last_start = *(const struct platform_start *)body;
	if (type == PLATFORM_LEASE)
		last_lease = *(const struct platform_lease *)body;
	if (type == PLATFORM_LIST && answer_lists)
		sim_call_after(machine, 1000, answer_list, NULL);
}

static const struct agent_host_ops agent_host = {
	.platform_call = record_call,
};

static void send_to_agent(uint32_t type, const void *body)
{
	node_send(sim_node(leader), sim_node(machine)->self.node_id, type,
		  body);
	sim_run_ms(sim, 2);
}

static void send_view(uint64_t term, uint64_t zone_version, bool out,
		      uint64_t bundle_version)
{
	struct zone_record zone = { .name = "veraval" };
	struct bundle bundle = { .version = bundle_version };
	struct view view = { .term = term, .view_version = 1, .whole = true };

	zone.version = zone_version;
	zone.out = out;
	view.nr_zones = 1;
	view.zones = &zone;
	view.nr_bundles = 1;
	view.bundles = &bundle;
	send_to_agent(MSG_VIEW, &view);
}

/* Returns a grant that answers the last report. */
static struct grant make_grant(void)
{
	struct grant grant = { .term = TERM };

	grant.seq = report.seq;
	grant.sent_us = report.sent_us;
	grant.lease_ms = LEASE_TTL_MS;
	grant.permit_ms = PERMIT_TTL_MS;
	return grant;
}

static void send_grant(uint64_t confirmed)
{
	struct grant grant = make_grant();

	grant.nr_confirmed = confirmed ? 1 : 0;
	grant.confirmed = &confirmed;
	send_to_agent(MSG_GRANT, &grant);
}

static struct task_order make_order(uint32_t action, uint64_t epoch)
{
	struct task_order order = { .term = TERM, .action = action };

	order.vm_node = sim_node(machine)->self.node_id;
	order.permit_sent_us = report.sent_us;
	order.start.task_id = 1;
	order.start.epoch = epoch;
	return order;
}

static void send_order(uint32_t action, uint64_t epoch)
{
	struct task_order order = make_order(action, epoch);

	send_to_agent(MSG_TASK_ORDER, &order);
}

static void set_up(void)
{
	static const char *const addresses[] = { "10.0.0.1:7000", NULL };
	struct agent_opts opts = { .host = &agent_host };

	calls = g_array_new(FALSE, TRUE, sizeof(struct call));
	memset(nr_calls, 0, sizeof(nr_calls));
	nr_reports = nr_events = nr_worker_tasks = 0;
	resent = false;
	answer_lists = answer_first_list;
	sim = sim_new(1);
	leader = sim_add_machine(sim, "control0", "veraval", addresses[0]);
	node_set_role(sim_boot(leader, LEADER_ID), &leader_role, NULL);
	sim_start(leader);
	machine = sim_add_machine(sim, "vm0", "veraval", "10.0.0.2:7000");
	opts.control_addresses = addresses;
	TEXT_SET(opts.vm.name, "vm0");
	TEXT_SET(opts.vm.zone, "veraval");
	agent = agent_new(sim_boot(machine, 0), &opts);
	sim_start(machine);
	sim_run_ms(sim, 100);
	send_view(TERM, 1, false, 1);
	ck_assert_uint_eq(nr_reports, answer_first_list);
}

static void tear_down(void)
{
	sim_free(sim);
	for (guint i = 0; i < calls->len; i++)
		record_unref((struct record){
			g_array_index(calls, struct call, i).type,
			g_array_index(calls, struct call, i).body });
	g_array_unref(calls);
}

/* Sets up an agent whose last report contains task 1 as running, epoch 1. */
static void set_up_running(void)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	reply_result(PLATFORM_START, RESULT_OK);
	worker_task.task_id = 1;
	worker_task.epoch = 1;
	worker_task.run = TASK_RUN_RUNNING;
	nr_worker_tasks = 1;
	sim_run_ms(sim, 1000);
	send_grant(1);
}

/*
 * Guards against an empty report of a restarted agent that hasn't received a
 * list of the worker's tasks yet.
 */
START_TEST(test_no_report_before_list)
{
	struct platform_tasks tasks = { 1, &worker_task };

	answer_first_list = false;
	set_up();
	sim_run_ms(sim, 3000);
	ck_assert_uint_eq(nr_reports, 0);
	/* A list call with an unknown outcome isn't enough. */
	answer_type(PLATFORM_LIST, TYPE_NONE, NULL);
	sim_run_ms(sim, 100);
	ck_assert_uint_eq(nr_reports, 0);
	worker_task.task_id = 1;
	worker_task.epoch = 1;
	worker_task.run = TASK_RUN_RUNNING;
	answer_type(PLATFORM_LIST, PLATFORM_TASKS, &tasks);
	sim_run_ms(sim, 100);
	ck_assert_uint_eq(nr_reports, 1);
	ck_assert_uint_eq(report.nr_tasks, 1);
	ck_assert_uint_eq(reported.run, TASK_RUN_RUNNING);
	tear_down();
	answer_first_list = true;
}
END_TEST

/* Guards against starts without a valid permit. */
START_TEST(test_start_needs_permit)
{
	struct grant grant;
	struct task_order order;

	set_up();
	send_order(TASK_START, 1); /* no grant yet */
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	grant = make_grant();
	grant.permit_ms = 0;
	send_to_agent(MSG_GRANT, &grant);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	sim_run_ms(sim, 500);
	send_grant(0);
	sim_run_ms(sim, PERMIT_TTL_MS);
	order = make_order(TASK_START, 1);
	send_to_agent(MSG_TASK_ORDER,
		      &order); /* the agent's permit has ended */
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	send_grant(0);
	order.permit_sent_us = report.sent_us - PERMIT_TTL_MS * 1000ull;
	send_to_agent(MSG_TASK_ORDER,
		      &order); /* the order's permit has ended */
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 1);
	tear_down();
}
END_TEST

/*
 * Guards against leases and permits whose time counts from the arrival of the
 * grant instead of the report.
 */
START_TEST(test_times_count_from_report)
{
	struct grant grant;

	set_up();
	sim_run_ms(sim, 500);
	grant = make_grant();
	sim_run_ms(sim, 400);
	send_to_agent(MSG_GRANT, &grant);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 1);
	ck_assert_uint_le(last_start.lease_ms, LEASE_TTL_MS - 400);
	ck_assert_uint_ge(last_start.lease_ms, LEASE_TTL_MS - 1000);
	ck_assert_uint_le(last_start.start_within_ms, PERMIT_TTL_MS - 400);
	tear_down();
}
END_TEST

/* Guards against a task that is started after the VM's lease has ended. */
START_TEST(test_start_needs_lease)
{
	struct grant grant;

	set_up();
	grant = make_grant();
	grant.lease_ms = 0;
	send_to_agent(MSG_GRANT, &grant);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	tear_down();
}
END_TEST

/* Guards against starts after a view has shown that the VM's zone is out. */
START_TEST(test_start_in_zone_out)
{
	set_up();
	send_grant(0);
	send_view(TERM, 2, true, 1);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	/* An older state of the zone doesn't replace the newer one. */
	send_view(TERM, 1, false, 1);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	send_view(TERM, 3, false, 1);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 1);
	tear_down();
}
END_TEST

/*
 * Guards against orders that are carried out though they are of an earlier
 * leader or for an earlier agent process.
 */
START_TEST(test_stale_orders)
{
	struct task_order order;

	set_up();
	send_grant(0);
	order = make_order(TASK_START, 1);
	order.term = TERM - 1;
	send_to_agent(MSG_TASK_ORDER, &order);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	order.term = TERM;
	order.vm_node++;
	send_to_agent(MSG_TASK_ORDER, &order);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 0);
	tear_down();
}
END_TEST

/* Guards against leases renewed by an earlier leader. */
START_TEST(test_stale_grants)
{
	struct grant grant;
	uint64_t confirmed = 1;

	set_up_running();
	ck_assert_uint_eq(nr_calls[PLATFORM_LEASE], 1);
	ck_assert_uint_eq(last_lease.nr_tasks, 1);
	sim_run_ms(sim, 600);
	grant = make_grant();
	grant.term = TERM - 1;
	grant.nr_confirmed = 1;
	grant.confirmed = &confirmed;
	send_to_agent(MSG_GRANT, &grant);
	ck_assert_uint_eq(nr_calls[PLATFORM_LEASE], 1);
	/* A second grant for the same report is refused. */
	grant.term = TERM;
	send_to_agent(MSG_GRANT, &grant);
	send_to_agent(MSG_GRANT, &grant);
	ck_assert_uint_eq(nr_calls[PLATFORM_LEASE], 2);
	tear_down();
}
END_TEST

/*
 * Guards against tasks that continue to run though the leader, which has placed
 * them on another VM, doesn't confirm them.
 */
START_TEST(test_unconfirmed_is_stopped)
{
	set_up_running();
	sim_run_ms(sim, 600);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 0);
	send_grant(0);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_CHECKPOINT], 0);
	tear_down();
}
END_TEST

/*
 * Guards against a new task that is stopped by the grant of a report sent
 * before its start.
 */
START_TEST(test_grant_of_earlier_report)
{
	struct grant grant;

	set_up();
	send_grant(0);
	sim_run_ms(sim, 500);
	grant = make_grant();
	send_order(TASK_START, 1);
	reply_result(PLATFORM_START, RESULT_OK);
	send_to_agent(MSG_GRANT, &grant);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 0);
	tear_down();
}
END_TEST

/* Guards against an epoch that is started again after its reported end. */
START_TEST(test_ended_epoch_stays_ended)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	reply_result(PLATFORM_START, RESULT_NO_CAPACITY);
	sim_run_ms(sim, 2);
	ck_assert_uint_eq(nr_events, 1);
	ck_assert_uint_eq(event.run, TASK_RUN_FAILED);
	ck_assert_uint_eq(event.result, RESULT_NO_CAPACITY);
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 1);
	send_order(TASK_START, 2);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 2);
	/* A late order of the first epoch is refused. */
	send_order(TASK_START, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 2);
	tear_down();
}
END_TEST

/* Guards against two epochs of a task that run on one VM at a time. */
START_TEST(test_newer_epoch_waits_for_stop)
{
	set_up_running();
	send_order(TASK_START, 2);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 1);
	worker_task.run = TASK_RUN_STOPPED;
	reply_result(PLATFORM_STOP, RESULT_OK);
	sim_run_ms(sim, 600);
	send_grant(0);
	send_order(TASK_START, 2);
	ck_assert_uint_eq(nr_calls[PLATFORM_START], 2);
	tear_down();
}
END_TEST

/*
 * Guards against a task that is missing in the reports while its start call is
 * in flight: the leader would conclude that the task no longer exists.
 */
START_TEST(test_start_under_way_is_reported)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	sim_run_ms(sim, 500);
	ck_assert_uint_eq(report.nr_tasks, 1);
	ck_assert_uint_eq(reported.run, TASK_RUN_NONE);
	ck_assert_uint_eq(reported.epoch, 1);
	tear_down();
}
END_TEST

/*
 * Guards against an end that is reported because the reply to the start was
 * lost, while the worker may still start the task.
 */
START_TEST(test_unknown_start)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	answer_type(PLATFORM_START, TYPE_NONE, NULL);
	/* A list without the task isn't enough before start_until_us. */
	sim_run_ms(sim, 1000);
	ck_assert_uint_eq(nr_events, 0);
	ck_assert_uint_eq(reported.run, TASK_RUN_NONE);
	sim_run_ms(sim, 1500);
	ck_assert_uint_gt(nr_events, 0);
	ck_assert_uint_eq(event.run, TASK_RUN_STOPPED);
	ck_assert_uint_eq(event.result, RESULT_NO_PERMIT);
	tear_down();
}
END_TEST

/*
 * Guards against an end that is reported because the reply to the start was
 * lost, although the worker runs the task.
 */
START_TEST(test_unknown_start_that_ran)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	answer_type(PLATFORM_START, TYPE_NONE, NULL);
	worker_task.task_id = 1;
	worker_task.epoch = 1;
	worker_task.run = TASK_RUN_RUNNING;
	nr_worker_tasks = 1;
	sim_run_ms(sim, 1200);
	ck_assert_uint_eq(nr_events, 0);
	ck_assert_uint_eq(reported.run, TASK_RUN_RUNNING);
	tear_down();
}
END_TEST

/*
 * Guards against an end that is reported because the worker refused the second
 * copy of the start, while it may still carry out the first one.
 */
START_TEST(test_refused_copy_of_start)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	resent = true;
	reply_result(PLATFORM_START, RESULT_NO_CAPACITY);
	sim_run_ms(sim, 1000);
	ck_assert_uint_eq(nr_events, 0);
	ck_assert_uint_eq(reported.run, TASK_RUN_NONE);
	worker_task.task_id = 1;
	worker_task.epoch = 1;
	worker_task.run = TASK_RUN_RUNNING;
	nr_worker_tasks = 1;
	sim_run_ms(sim, 1200);
	ck_assert_uint_eq(nr_events, 0);
	ck_assert_uint_eq(reported.run, TASK_RUN_RUNNING);
	tear_down();
}
END_TEST

/* Guards against a start, refused after a resend, that never ends. */
START_TEST(test_refused_copies_of_start)
{
	set_up();
	send_grant(0);
	send_order(TASK_START, 1);
	resent = true;
	reply_result(PLATFORM_START, RESULT_NO_CAPACITY);
	sim_run_ms(sim, 2500);
	ck_assert_uint_gt(nr_events, 0);
	ck_assert_uint_eq(event.run, TASK_RUN_STOPPED);
	ck_assert_uint_eq(event.result, RESULT_NO_PERMIT);
	tear_down();
}
END_TEST

/* Guards against an end event that is sent before the stop is confirmed. */
START_TEST(test_checkpoint_stop)
{
	struct platform_reply reply = { .progress_ppm = 500000 };

	set_up_running();
	send_order(TASK_CHECKPOINT_STOP, 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_CHECKPOINT], 1);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 0);
	TEXT_SET(reply.checkpoint, "cp1");
	TEXT_SET(worker_task.checkpoint, "cp1");
	worker_task.progress_ppm = 500000;
	answer_type(PLATFORM_CHECKPOINT, PLATFORM_REPLY, &reply);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 1);
	answer_lists = false;
	sim_run_ms(sim, 100);
	reply_result(PLATFORM_STOP, RESULT_OK);
	sim_run_ms(sim, 100);
	ck_assert_uint_eq(nr_events, 0);
	worker_task.run = TASK_RUN_STOPPED;
	node_set_time(sim_node(machine), sim_now_us(sim));
	answer_list(NULL);
	answer_list(NULL);
	sim_run_ms(sim, 100);
	ck_assert_uint_eq(nr_events, 1);
	ck_assert_uint_eq(event.run, TASK_RUN_STOPPED);
	ck_assert_str_eq(event.checkpoint, "cp1");
	ck_assert_uint_eq(event.progress_ppm, 500000);
	tear_down();
}
END_TEST

/* Guards against an end event that is lost and not sent again. */
START_TEST(test_events_repeat)
{
	set_up_running();
	worker_task.run = TASK_RUN_DONE;
	sim_run_ms(sim, 3000);
	ck_assert_uint_ge(nr_events, 4);
	ck_assert_uint_eq(event.run, TASK_RUN_DONE);
	ck_assert_uint_eq(reported.run, TASK_RUN_DONE);
	/* As long as grants confirm the task, its end isn't acknowledged. */
	send_grant(1);
	nr_events = 0;
	sim_run_ms(sim, 1000);
	ck_assert_uint_gt(nr_events, 0);
	send_grant(0);
	nr_events = 0;
	sim_run_ms(sim, 2000);
	ck_assert_uint_eq(nr_events, 0);
	ck_assert_uint_eq(report.nr_tasks, 0);
	tear_down();
}
END_TEST

/* Guards against progress that is lost when no leader renews the lease. */
START_TEST(test_lease_ends)
{
	set_up_running();
	sim_run_ms(sim, LEASE_TTL_MS - LEASE_STOP_BEFORE_MS - 1000);
	ck_assert_uint_eq(nr_calls[PLATFORM_CHECKPOINT], 0);
	sim_run_ms(sim, 1500);
	ck_assert_uint_eq(nr_calls[PLATFORM_CHECKPOINT], 1);
	reply_result(PLATFORM_CHECKPOINT, RESULT_OK);
	ck_assert_uint_eq(nr_calls[PLATFORM_STOP], 1);
	tear_down();
}
END_TEST

/* ---- the view ---- */

static void view_start(void *role)
{
	site_start(site);
}

static void view_message(void *role, uint64_t from, uint32_t type,
			 const void *body)
{
	site_message(site, from, type, body);
}

static void view_free(void *role)
{
	site_free(site);
}

static const struct role_ops view_role = {
	.role = ROLE_ENTRY,
	.start = view_start,
	.message = view_message,
	.free = view_free,
};

static const struct site_ops view_site_ops = { 0 };

static void set_up_view(void)
{
	static const char *const addresses[] = { "10.0.0.1:7000", NULL };
	struct site_opts opts = { .ops = &view_site_ops };
	struct node *node;

	set_up();
	opts.control_addresses = addresses;
	/* send_to_agent() sends to this node from now on. */
	machine = sim_add_machine(sim, "entry0", "veraval", "");
	node = sim_boot(machine, 0);
	site = site_new(node, &opts);
	node_set_role(node, &view_role, NULL);
	sim_start(machine);
	sim_run_ms(sim, 100);
	send_view(TERM, 5, true, 5);
}

/*
 * Guards against an older bundle, zone state or leader that replaces a newer
 * one.
 */
START_TEST(test_view_never_reverts)
{
	static const struct {
		uint64_t term;
		uint64_t zone_version;
		uint64_t bundle_version;
		bool out; /* after the view */
		uint64_t bundle; /* in force after the view */
	} rows[] = {
		{ TERM, 4, 5, true, 5 },      { TERM, 5, 4, true, 5 },
		{ TERM - 1, 9, 9, true, 5 },  { TERM, 6, 6, false, 6 },
		{ TERM + 1, 5, 5, false, 6 },
	};

	set_up_view();
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		send_view(rows[i].term, rows[i].zone_version, false,
			  rows[i].bundle_version);
		ck_assert_int_eq(site_zone_is_out(site, "veraval"),
				 rows[i].out);
		ck_assert_uint_eq(site_bundle(site)->version, rows[i].bundle);
		ck_assert_uint_eq(site_leader(site), LEADER_ID);
	}
	tear_down();
}
END_TEST

static void send_view_agent(uint64_t version, uint64_t base, uint64_t node_id,
			    bool gone)
{
	struct view_agent item = { .vm = "vm0", .node_id = node_id };
	struct view view = { .term = TERM, .view_version = version };

	item.gone = gone;
	view.base_version = base;
	view.nr_agents = 1;
	view.agents = &item;
	send_to_agent(MSG_VIEW, &view);
}

/* Guards against a part of the view that is applied though one was lost. */
START_TEST(test_view_parts)
{
	set_up_view();
	send_view_agent(2, 1, 1, false);
	ck_assert_ptr_nonnull(site_agent(site, 1));
	send_view_agent(4, 3, 2, false); /* the previous part was lost */
	ck_assert_ptr_null(site_agent(site, 2));
	send_view_agent(3, 2, 1, true);
	ck_assert_ptr_null(site_agent(site, 1));
	send_view_agent(4, 3, 2, false);
	ck_assert_ptr_nonnull(site_agent(site, 2));
	tear_down();
}
END_TEST

SUITE_MAIN("agent_task", test_no_report_before_list, test_start_needs_permit,
	   test_times_count_from_report, test_start_needs_lease,
	   test_start_in_zone_out, test_stale_orders, test_stale_grants,
	   test_unconfirmed_is_stopped, test_grant_of_earlier_report,
	   test_ended_epoch_stays_ended, test_newer_epoch_waits_for_stop,
	   test_start_under_way_is_reported, test_unknown_start,
	   test_unknown_start_that_ran, test_refused_copy_of_start,
	   test_refused_copies_of_start, test_checkpoint_stop,
	   test_events_repeat, test_lease_ends, test_view_never_reverts,
	   test_view_parts)
