/**
 * @file test_flow_report.c
 * What the leader orders after reports that tests write themselves: the VMs
 * have scripted agents instead of runners. All tests are about runs of one task
 * that isn't placed where they run (orphans), and about how long they keep the
 * task from being started elsewhere.
 */

#include <string.h>

#include "flow_log.h"
#include "flow_world.h"
#include "site.h"
#include "suite.h"

#define TASK "tt.0.0.0"
#define REPORT_MS 500
/* Longer than a lease and its margin. */
#define LOST_MS 7000

/** An agent that reports what the test says, and carries out no order. */
struct scripted_agent {
	struct fw_vm *vm;
	struct node *node;
	struct site *site;
	uint64_t seq;
	bool silent;
	bool looked; /* it has listed its worker's runs */
	bool unreachable;
	bool restart_seen; /* as in struct flow_report, like the next ones */
	bool reports_fence;
	uint64_t answered_fence;
	bool draining;
	bool has_run; /* reports the run */
	struct flow_run run;
	bool has_end; /* reports the end, once */
	struct flow_run_end end;
	uint32_t nr_starts; /* number of orders to start a run */
	uint32_t stopped_run; /* number of the run in the last order to stop */
};

struct script {
	struct flow_world *fw;
	struct scripted_agent agents[FLOW_WORLD_VMS];
	uint32_t last; /* number of the agent that reports after the others */
};

static void agent_start(void *role)
{
	struct scripted_agent *agent = role;

	site_start(agent->site);
}

static void agent_peer_up(void *role, const struct link *link)
{
	struct scripted_agent *agent = role;

	site_peer_up(agent->site, link);
}

static void agent_peer_down(void *role, const struct link *link)
{
	struct scripted_agent *agent = role;

	site_peer_down(agent->site, link);
}

static void agent_message(void *role, uint64_t from, uint32_t type,
			  const void *body)
{
	struct scripted_agent *agent = role;
	const struct flow_orders *orders = body;

	if (site_message(agent->site, from, type, body) ||
	    type != MSG_FLOW_ORDERS)
		return;
	for (uint32_t i = 0; i < orders->nr_orders; i++) {
		const struct flow_order *order = &orders->orders[i];

		if (order->action == FLOW_STOP)
			agent->stopped_run = order->run;
		if (order->action != FLOW_START)
			continue;
		agent->nr_starts++;
		agent->has_run = true;
		memset(&agent->run, 0, sizeof(agent->run));
		TEXT_SET(agent->run.task, order->task);
		agent->run.run = order->run;
	}
}

static void agent_free(void *role)
{
	struct scripted_agent *agent = role;

	site_free(agent->site);
}

static const struct role_ops scripted_role = {
	.role = ROLE_AGENT,
	.start = agent_start,
	.peer_up = agent_peer_up,
	.peer_down = agent_peer_down,
	.message = agent_message,
	.free = agent_free,
};

static void agent_boot(struct scripted_agent *agent)
{
	static const struct site_ops ops = { 0 };
	struct site_opts opts = { .ops = &ops };

	opts.control_addresses = agent->vm->world->base->addresses;
	fw_kill_agent(agent->vm);
	agent->node = sim_boot(agent->vm->machine, 0);
	agent->site = site_new(agent->node, &opts);
	agent->seq = 0;
	agent->looked = false;
	node_set_role(agent->node, &scripted_role, agent);
	sim_start(agent->vm->machine);
}

static void agent_report(struct scripted_agent *agent)
{
	const struct flow_world *fw = agent->vm->world;
	uint64_t leader = site_leader(agent->site);
	struct flow_report report = { 0 };

	if (agent->silent || !leader)
		return;
	node_set_time(agent->node, sim_now_us(fw->base->sim));
	report.seq = ++agent->seq;
	report.sent_us = agent->node->now_us;
	TEXT_SET(report.vm, agent->vm->name);
	TEXT_SET(report.zone, agent->vm->zone);
	report.looked = agent->looked;
	report.reachable = agent->looked && !agent->unreachable;
	report.restart_seen = agent->restart_seen;
	report.reports_fence = agent->reports_fence;
	report.answered_fence = agent->answered_fence;
	if (agent->looked) {
		TEXT_SET(report.worker.id, agent->vm->name);
		TEXT_SET(report.worker.service, "svc");
		report.worker.born_ms = agent->vm->worker.born_ms;
		report.worker.cpu_millis = FLOW_WORLD_VM_CPU_MILLIS;
		report.worker.memory_mib = FLOW_WORLD_VM_MEMORY_MIB;
		report.worker.draining = agent->draining;
		report.nr_runs = agent->has_run;
		report.nr_ends = agent->has_end;
		agent->has_end = false;
	}
	report.runs = &agent->run;
	report.ends = &agent->end;
	node_send(agent->node, leader, MSG_FLOW_REPORT, &report);
}

static void script_run_ms(struct script *script, uint32_t ms)
{
	for (uint32_t spent_ms = 0; spent_ms < ms; spent_ms += REPORT_MS) {
		for (uint32_t i = 1; i <= FLOW_WORLD_VMS; i++) {
			uint32_t nr = (script->last + i) % FLOW_WORLD_VMS;

			agent_report(&script->agents[nr]);
			flow_world_run_ms(script->fw,
					  REPORT_MS / FLOW_WORLD_VMS);
		}
	}
}

static uint32_t script_starts(const struct script *script)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		nr += script->agents[i].nr_starts;
	return nr;
}

/* Returns the agent that got the last order to start a run. */
static struct scripted_agent *script_started(struct script *script)
{
	struct scripted_agent *last = NULL;

	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		struct scripted_agent *agent = &script->agents[i];

		if (agent->has_run && (!last || agent->run.run > last->run.run))
			last = agent;
	}
	ck_assert_ptr_nonnull(last);
	return last;
}

/* Makes all VMs but this one drain, or ready again. */
static void script_drain_others(struct script *script,
				const struct scripted_agent *agent, bool drain)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (&script->agents[i] != agent)
			script->agents[i].draining = drain;
}

/* Submits a workflow of one task, which starts. */
static struct script *script_new(uint64_t seed)
{
	struct script *script = g_new0(struct script, 1);
	struct flow_step step = { .count = 1,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = 30000 };

	script->fw = flow_world_new(seed);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		struct scripted_agent *agent = &script->agents[i];

		agent->vm = &script->fw->vms[i];
		agent_boot(agent);
		agent->looked = true;
	}
	script_run_ms(script, 3000);
	flow_world_submit(script->fw, "tt", &step, 1);
	script_run_ms(script, 1000);
	ck_assert_uint_eq(script_starts(script), 1);
	return script;
}

static void script_free(struct script *script)
{
	flow_world_free(script->fw);
	g_free(script);
}

/*
 * Makes the leader take the agent's run for lost while no VM may take the task.
 * The agent then reports the run again, and that its worker drains.
 */
static void script_lose_run(struct script *script, struct scripted_agent *agent)
{
	uint32_t nr_starts = script_starts(script);

	script_drain_others(script, agent, true);
	script_run_ms(script, REPORT_MS);
	agent->silent = true;
	script_run_ms(script, LOST_MS);
	ck_assert(sim_log_has(script->fw->base->sim, "*event=vm-lost*"));
	ck_assert_uint_eq(script_starts(script), nr_starts);
	agent->silent = false;
	agent->draining = true;
}

/* Asserts that the task isn't started within the time. */
static void expect_no_start(struct script *script, uint32_t ms)
{
	uint32_t nr_starts = script_starts(script);

	script_run_ms(script, ms);
	ck_assert_msg(script_starts(script) == nr_starts,
		      "a task is started beside an earlier run");
}

/* Asserts that the task is started within the time. */
static void expect_start(struct script *script, uint32_t ms)
{
	uint32_t nr_starts = script_starts(script);

	script_run_ms(script, ms);
	ck_assert_msg(script_starts(script) == nr_starts + 1,
		      TASK " isn't started");
}

/*
 * Guards against a second run of a task whose lost run may still start: the
 * agent reports that the start call had no answer.
 */
START_TEST(test_unconfirmed_run_bars_task)
{
	struct script *script = script_new(1);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	agent->run.unconfirmed = true;
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	expect_no_start(script, 3000);
	agent->has_run = false;
	expect_start(script, 1500);
	script_free(script);
}
END_TEST

/*
 * Guards against a task that waits forever for an unconfirmed run whose agent
 * is gone.
 */
START_TEST(test_silent_agent_ends_bar)
{
	struct script *script = script_new(2);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	agent->run.unconfirmed = true;
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	agent->silent = true;
	expect_no_start(script, 4000);
	expect_start(script, 2500);
	script_free(script);
}
END_TEST

/*
 * Guards against a task that waits forever for an unconfirmed run whose worker
 * doesn't answer its agent.
 */
START_TEST(test_unreachable_worker_ends_bar)
{
	struct script *script = script_new(3);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	agent->run.unconfirmed = true;
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	agent->unreachable = true;
	expect_no_start(script, 4000);
	expect_start(script, 2500);
	script_free(script);
}
END_TEST

/*
 * Guards against a run beside the first of two earlier runs at different VMs:
 * the leader forgot the first one's report when the second one had ended.
 */
START_TEST(test_two_orphans_of_task)
{
	struct script *script = script_new(4);
	struct scripted_agent *first = script_started(script);
	struct scripted_agent *second;
	uint32_t nr;

	script_lose_run(script, first);
	first->silent = true;
	script_drain_others(script, first, false);
	expect_start(script, 1500);
	second = script_started(script);
	ck_assert_ptr_ne(first, second);
	nr = (uint32_t)(second - script->agents);
	script->last = nr;
	script_lose_run(script, second);
	first->silent = false;
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, first, false);
	expect_no_start(script, 1000);
	/* The next report after that of the second VM is its own again. */
	script->last = (nr + FLOW_WORLD_VMS - 1) % FLOW_WORLD_VMS;
	second->has_run = false;
	expect_no_start(script, 3000);
	first->has_run = false;
	expect_start(script, 1500);
	script_free(script);
}
END_TEST

/*
 * Guards against a run beside one that continues at its worker while the agent
 * restarts: the new agent process first reports that it knows no runs.
 */
START_TEST(test_restarted_agent_keeps_bar)
{
	struct script *script = script_new(5);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	agent_boot(agent);
	expect_no_start(script, 2000);
	agent->looked = true;
	expect_no_start(script, 2000);
	agent->has_run = false;
	expect_start(script, 1500);
	script_free(script);
}
END_TEST

/*
 * Guards against a run beside one that may still start although it has ended:
 * a worker that was restarted under its identity may carry out the start again.
 * Its agent reports the end and the unconfirmed run together.
 */
START_TEST(test_ended_run_that_may_start_again)
{
	struct script *script = script_new(6);
	struct scripted_agent *agent = script_started(script);

	agent->run.unconfirmed = true;
	agent->has_end = true;
	TEXT_SET(agent->end.task, TASK);
	agent->end.run = agent->run.run;
	agent->end.end = FLOW_END_FAILED;
	expect_no_start(script, 3000);
	agent->has_run = false;
	expect_start(script, 1500);
	script_free(script);
}
END_TEST

/* Returns an agent on whose VM no task is placed, by the leader's log. */
static struct scripted_agent *script_unused(struct script *script)
{
	char regex[2 * NAME_BYTES];

	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		struct scripted_agent *agent = &script->agents[i];

		g_snprintf(regex, sizeof(regex),
			   "^event=place .*tasks=[^ ]*@%s[, ]",
			   agent->vm->name);
		if (!sim_log_matches(script->fw->base->sim, regex))
			return agent;
	}
	ck_abort_msg("all VMs are used");
	return NULL;
}

/*
 * Guards against a gang of which one task starts while an orphan holds the
 * start of another: the worker ends a run that waits too long for the others.
 */
START_TEST(test_gang_starts_together)
{
	struct script *script = script_new(7);
	struct flow_step step = { .count = 2,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .estimate_ms = 30000,
				  .max_per_vm = 1,
				  .gang = true };
	struct scripted_agent *agent;
	uint32_t nr_starts;

	script_started(script)->draining = true;
	script_run_ms(script, REPORT_MS);
	nr_starts = script_starts(script);
	/* A commit takes twice the delay. */
	world_set_control_delay(script->fw->base, 200000);
	flow_world_submit(script->fw, "gg", &step, 1);
	for (uint32_t i = 0; i < 100 && !flow_log_placed(script->fw->base->sim,
							 "gg.0.0.1", 1, NULL);
	     i++)
		flow_world_run_ms(script->fw, 10);
	ck_assert_uint_eq(script_starts(script), nr_starts);
	agent = script_unused(script);
	agent->has_run = true;
	TEXT_SET(agent->run.task, "gg.0.0.1");
	agent->run.run = 9;
	agent->run.unconfirmed = true;
	agent_report(agent);
	expect_no_start(script, 3000);
	agent->has_run = false;
	script_run_ms(script, 2000);
	ck_assert_uint_eq(script_starts(script), nr_starts + 2);
	script_free(script);
}
END_TEST

/*
 * Guards against a run beside an earlier one that the previous leader knew of:
 * the VM hasn't reported to the new leader yet.
 */
START_TEST(test_new_leader_awaits_report)
{
	struct script *script = script_new(8);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	expect_no_start(script, 1000);
	agent->silent = true;
	world_kill_control(world_leader_host(script->fw->base));
	expect_no_start(script, 5500);
	expect_start(script, 3000);
	script_free(script);
}
END_TEST

/*
 * Guards against a new leader that takes the first report of a restarted agent,
 * which knows no runs yet, for the list of the runs at its VM.
 */
START_TEST(test_new_leader_awaits_list)
{
	struct script *script = script_new(10);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	expect_no_start(script, 1000);
	world_kill_control(world_leader_host(script->fw->base));
	agent_boot(agent);
	expect_no_start(script, 2500);
	agent->looked = true;
	expect_no_start(script, 2000);
	agent->has_run = false;
	expect_start(script, 1500);
	script_free(script);
}
END_TEST

/*
 * Guards against a new leader that takes a run for lost too early because it
 * doesn't know that the worker was restarted under its identity: a late start
 * then gets the longest lease that workers accept.
 */
START_TEST(test_new_leader_knows_restart)
{
	struct script *script = script_new(9);
	struct scripted_agent *agent = script_started(script);

	agent->silent = true;
	world_kill_control(world_leader_host(script->fw->base));
	agent->vm->worker.born_ms += 5000;
	script_run_ms(script, 2000);
	agent->silent = false;
	agent->run.unconfirmed = true;
	script_run_ms(script, REPORT_MS);
	agent->silent = true;
	expect_no_start(script, WORLD_WORKER_LEASE_MS - 1500);
	expect_start(script, 3000);
	script_free(script);
}
END_TEST

/*
 * Guards against a task that is placed elsewhere although a later incarnation
 * of the worker carries out its start. The incarnation that the start was
 * called for has deregistered; the agent's probe shows that it has ended while
 * the start is in flight, and the leader takes the run for lost at once. First
 * seen with flow_random, foreign reports, seed 9051.
 */
START_TEST(test_start_in_flight_at_end_of_incarnation)
{
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 1000,
				  .memory_mib = 500 };
	struct flow_world *fw = flow_world_new(1);
	struct fw_vm *vm = &fw->vms[0];
	uint64_t before;

	step.estimate_ms = 30000;
	fw->run_ms = 30000;
	before = counter_get(sim_node(vm->machine)->counters, "starts_called");
	fw_crash_worker(vm);
	flow_world_submit(fw, "ss", &step, 1);
	for (uint32_t i = 0; i < 10; i++) {
		if (counter_get(sim_node(vm->machine)->counters,
				"starts_called") > before)
			break;
		flow_world_run_ms(fw, 10);
	}
	fw_boot_worker(vm);
	fw_foreign_report(vm, FW_FOREIGN_DEREGISTERED);
	flow_world_run_ms(fw, 3000);
	ck_assert(sim_log_has(fw->base->sim, "*event=worker-ended*"));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a task that runs on after its cancellation: its start was
 * carried out by a later incarnation of the worker, which lists the run, and
 * the leader neither stopped nor ended it (soak seed 821).
 */
START_TEST(test_run_of_later_incarnation_is_cancelled)
{
	struct flow_step step = { .count = 1,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .lasting = true };
	struct flow_world *fw = flow_world_new(1);
	struct fw_vm *vm = NULL;

	fw->lasting = "cc";
	flow_world_submit(fw, "cc", &step, 1);
	flow_world_run_ms(fw, 2000);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (fw_runs(&fw->vms[i], "cc.0.0.0"))
			vm = &fw->vms[i];
	ck_assert_ptr_nonnull(vm);
	fw_freeze_agent(vm, true);
	fw_crash_worker(vm);
	fw_boot_worker(vm);
	/* The late start brings the incarnation its first lease. */
	vm->worker.lease_ms = 3000;
	fw_add_run(vm, "cc.0.0.0", 1, 0);
	fw_freeze_agent(vm, false);
	flow_world_run_ms(fw, 2000);
	ck_assert(fw_runs(vm, "cc.0.0.0"));
	ck_assert_int_eq(
		flow_world_call(fw, FLOW_CALL_CANCEL, "/q/cc", NULL).result,
		RESULT_OK);
	flow_world_run_ms(fw, 2000);
	ck_assert_uint_eq(fw_running(fw), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a task that starts again after it is done. Its first run
 * counted as refused, and was carried out late by the next incarnation of the
 * worker, whose restart ended the second run. First seen with flow_random,
 * faults, seed 1027.
 */
START_TEST(test_done_by_later_incarnation)
{
	struct script *script = script_new(10);
	struct scripted_agent *agent = script_started(script);
	uint32_t run = agent->run.run;

	script_drain_others(script, agent, true);
	script_run_ms(script, REPORT_MS);
	agent->has_run = false;
	agent->has_end = true;
	TEXT_SET(agent->end.task, TASK);
	agent->end.run = run;
	agent->end.end = FLOW_END_REFUSED;
	expect_start(script, 1500);
	script_drain_others(script, agent, false);
	agent->vm->worker.born_ms += 5000;
	agent->has_run = false;
	agent->has_end = true;
	agent->end.nr = 1;
	agent->end.end = FLOW_END_DONE;
	expect_no_start(script, 5000);
	ck_assert(flow_log_ended(script->fw->base->sim, TASK, 2, "done"));
	/* The second run's start may be carried out late, too. */
	ck_assert_uint_eq(agent->stopped_run, run + 1);
	script_free(script);
}
END_TEST

/*
 * Guards against a task that starts again after it is done: as in
 * test_done_by_later_incarnation, but the second run was given up with its VM,
 * so the task waits for a placement when the end of the first run is listed.
 */
START_TEST(test_done_by_later_incarnation_of_lost_vm)
{
	struct script *script = script_new(10);
	struct scripted_agent *agent = script_started(script);
	uint32_t run = agent->run.run;

	script_drain_others(script, agent, true);
	script_run_ms(script, REPORT_MS);
	agent->has_run = false;
	agent->has_end = true;
	TEXT_SET(agent->end.task, TASK);
	agent->end.run = run;
	agent->end.end = FLOW_END_REFUSED;
	expect_start(script, 1500);
	agent->silent = true;
	script_run_ms(script, LOST_MS);
	ck_assert(sim_log_has(script->fw->base->sim, "*event=vm-lost*"));
	agent->silent = false;
	agent->vm->worker.born_ms += 5000;
	agent->has_run = false;
	agent->has_end = true;
	agent->end.nr = 1;
	agent->end.end = FLOW_END_DONE;
	expect_no_start(script, 5000);
	script_free(script);
}
END_TEST

/*
 * Guards against a task that waits forever for an unconfirmed run: its worker
 * was restarted under its identity and doesn't respond, and each report of that
 * extends the time until which the leader takes the lease to last.
 */
START_TEST(test_unreachable_restarted_worker_ends_bar)
{
	struct script *script = script_new(3);
	struct scripted_agent *agent = script_started(script);

	script_lose_run(script, agent);
	agent->run.unconfirmed = true;
	agent->vm->worker.born_ms += 5000;
	script_run_ms(script, REPORT_MS);
	script_drain_others(script, agent, false);
	agent->unreachable = true;
	expect_start(script, WORLD_WORKER_LEASE_MS + 3000);
	script_free(script);
}
END_TEST

/*
 * Guards against a run that is taken for lost when the former incarnation's
 * lease ends: the worker was cut off as soon as its agent knew of the restart,
 * so no report says that the new incarnation responds.
 */
START_TEST(test_unreachable_worker_was_restarted)
{
	struct script *script = script_new(9);
	struct scripted_agent *agent = script_started(script);

	agent->vm->worker.born_ms += 5000;
	agent->unreachable = true;
	expect_no_start(script, WORLD_WORKER_LEASE_MS - 1500);
	expect_start(script, 3000);
	script_free(script);
}
END_TEST

/*
 * Guards against the same if the agent knows of the restart, but not of the new
 * incarnation.
 */
START_TEST(test_restart_without_incarnation)
{
	struct script *script = script_new(9);
	struct scripted_agent *agent = script_started(script);

	agent->restart_seen = true;
	agent->unreachable = true;
	expect_no_start(script, WORLD_WORKER_LEASE_MS - 1500);
	expect_start(script, 3000);
	script_free(script);
}
END_TEST

/* Guards against a new leader that doesn't know of such a restart. */
START_TEST(test_new_leader_knows_restart_without_incarnation)
{
	struct script *script = script_new(9);
	struct scripted_agent *agent = script_started(script);

	agent->restart_seen = true;
	agent->unreachable = true;
	script_run_ms(script, 2 * REPORT_MS);
	agent->silent = true;
	world_kill_control(world_leader_host(script->fw->base));
	expect_no_start(script, WORLD_WORKER_LEASE_MS - 1500);
	expect_start(script, 5000);
	script_free(script);
}
END_TEST

/*
 * Guards against a worker that gets no tasks any more after its clock has stood
 * still, as it seemed to have been restarted.
 */
START_TEST(test_restart_is_refuted)
{
	struct script *script = script_new(9);
	struct scripted_agent *agent = script_started(script);
	struct flow_step step = { .count = FLOW_WORLD_VMS,
				  .cpu_millis = 5000,
				  .memory_mib = 500,
				  .estimate_ms = 30000 };
	uint32_t nr_starts;

	agent->reports_fence = true;
	agent->restart_seen = true;
	script_run_ms(script, REPORT_MS);
	nr_starts = agent->nr_starts;
	flow_world_submit(script->fw, "uu", &step, 1);
	script_run_ms(script, 2000);
	ck_assert_uint_eq(agent->nr_starts, nr_starts);
	agent->restart_seen = false;
	/* Above the tokens of all terms of the test. */
	agent->answered_fence = 1000ull * FLOW_FENCES_PER_TERM;
	script_run_ms(script, 2000);
	ck_assert_uint_gt(agent->nr_starts, nr_starts);
	script_free(script);
}
END_TEST

/*
 * Guards against a VM whose reports are ignored until the longest lease has
 * passed: the worker was restarted after its clock had been set back, so the
 * new incarnation seems to be an earlier one. The agent has reported the
 * restart before it knew the incarnation.
 */
START_TEST(test_restart_with_earlier_start_time)
{
	struct script *script = script_new(9);
	struct scripted_agent *agent = script_started(script);
	uint32_t nr_starts;

	agent->reports_fence = true;
	agent->answered_fence = 1000ull * FLOW_FENCES_PER_TERM;
	agent->vm->worker.born_ms += 50000;
	script_run_ms(script, WORLD_WORKER_LEASE_MS + 3000);
	nr_starts = script_starts(script);
	agent->restart_seen = true;
	agent->answered_fence = 0;
	script_run_ms(script, REPORT_MS);
	agent->restart_seen = false;
	agent->vm->worker.born_ms -= 5000;
	agent->has_run = false;
	script_run_ms(script, 7000);
	ck_assert_msg(agent->stopped_run || script_starts(script) > nr_starts,
		      "the reports of the new incarnation are ignored");
	script_free(script);
}
END_TEST

SUITE_MAIN("flow_report", test_unconfirmed_run_bars_task,
	   test_silent_agent_ends_bar, test_unreachable_worker_ends_bar,
	   test_two_orphans_of_task, test_restarted_agent_keeps_bar,
	   test_ended_run_that_may_start_again, test_gang_starts_together,
	   test_new_leader_awaits_report, test_new_leader_awaits_list,
	   test_new_leader_knows_restart,
	   test_start_in_flight_at_end_of_incarnation,
	   test_run_of_later_incarnation_is_cancelled,
	   test_done_by_later_incarnation,
	   test_done_by_later_incarnation_of_lost_vm,
	   test_unreachable_restarted_worker_ends_bar,
	   test_unreachable_worker_was_restarted,
	   test_restart_without_incarnation,
	   test_new_leader_knows_restart_without_incarnation,
	   test_restart_is_refuted, test_restart_with_earlier_start_time)
