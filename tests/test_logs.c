/**
 * @file test_logs.c
 * The log lines of decisions, with which engineers on call find the cause of a
 * failure.
 */

#include <string.h>

#include "flow_world.h"
#include "suite.h"

#define LINES_MAX 9
#define RUNS_MAX 2
/* Beginnings of lines, followed by an entry of a run. */
#define PLACED "^event=place id=aa occurrence=0 step=0 nr=\\d+ tasks=(\\S+,)?"
#define ENDED \
	"^event=task-ended id=aa occurrence=0 step=0 nr=\\d+ tasks=(\\S+,)?"
/* End of an entry of an end. */
#define ENTRY_END "(,|$)"

static struct flow_step step_of(uint32_t count, uint32_t cpu_millis)
{
	struct flow_step step = { .count = count, .cpu_millis = cpu_millis };

	step.memory_mib = 500;
	step.estimate_ms = 500;
	return step;
}

static void submit(struct flow_world *fw, uint32_t count, uint32_t cpu_millis)
{
	struct flow_step step = step_of(count, cpu_millis);

	flow_world_submit(fw, "aa", &step, 1);
}

/*
 * Makes a share of the calls to the workers get no answer and be carried out
 * late.
 */
static void lose_calls(struct flow_world *fw, uint32_t lose_ppm)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw->vms[i].lose_ppm = lose_ppm;
}

/* ---- scenarios ---- */

static void serve(struct flow_world *fw)
{
	submit(fw, 2, 1000);
	flow_world_wait(fw, "aa", FLOW_COMPLETED, 5000);
	flow_world_run_ms(fw, 2000);
}

static void call_unknown_queue(struct flow_world *fw)
{
	flow_world_call(fw, FLOW_CALL_STATE, "/none/aa", NULL);
}

static void lose_control(struct flow_world *fw)
{
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		world_kill_control(&fw->base->controls[i]);
	flow_world_run_ms(fw, 500);
	submit(fw, 1, 1000);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		world_boot_control(&fw->base->controls[i]);
	flow_world_run_ms(fw, 5000);
}

static void request_too_much(struct flow_world *fw)
{
	submit(fw, 1, 9000);
	flow_world_run_ms(fw, 2500);
}

static void drain_all(struct flow_world *fw)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw->vms[i].draining = true;
	flow_world_run_ms(fw, 2000);
	submit(fw, 1, 1000);
	flow_world_run_ms(fw, 2500);
}

static void lose_start(struct flow_world *fw)
{
	lose_calls(fw, 1000000);
	submit(fw, 1, 1000);
	flow_world_run_ms(fw, 700);
	lose_calls(fw, 0);
	flow_world_run_ms(fw, 5000);
}

static void lose_answers(struct flow_world *fw)
{
	fw->run_ms = 60000;
	submit(fw, 8, 1000);
	flow_world_run_ms(fw, 1000);
	lose_calls(fw, 1000000);
	flow_world_run_ms(fw, 9000);
	lose_calls(fw, 0);
	flow_world_run_ms(fw, 20000);
}

/* Leases expire, but the workers answer before their VMs count as lost. */
static void lose_answers_briefly(struct flow_world *fw)
{
	fw->run_ms = 60000;
	submit(fw, 8, 1000);
	flow_world_run_ms(fw, 1000);
	lose_calls(fw, 1000000);
	flow_world_run_ms(fw, FLOW_LEASE_MAX_MS - 100);
	lose_calls(fw, 0);
	flow_world_run_ms(fw, 5000);
}

static void cut_agent(struct flow_world *fw)
{
	fw->run_ms = 2000;
	submit(fw, 8, 1000);
	flow_world_run_ms(fw, 500);
	fw_cut(&fw->vms[0], true);
	fw->run_ms = 60000;
	flow_world_run_ms(fw, 1000);
	fw->run_ms = 2000;
	flow_world_run_ms(fw, 1000);
	fw->run_ms = 60000;
	flow_world_run_ms(fw, 6000);
	fw_cut(&fw->vms[0], false);
	flow_world_run_ms(fw, 5000);
}

static void refuse_starts(struct flow_world *fw)
{
	flow_world_advise(fw, "side1");
	submit(fw, 1, 1000);
	fw->valid_ticket = "ticket-2";
	flow_world_run_ms(fw, 2000);
}

static void fail_runs(struct flow_world *fw)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw->vms[i].fail_runs = true;
	submit(fw, 8, 1000);
	flow_world_wait(fw, "aa", FLOW_FAILED, 10000);
}

/*
 * One worker fails everything. The submissions need so much that it gets tasks
 * though it fails them.
 */
static void fail_runs_of_worker(struct flow_world *fw)
{
	struct flow_step step = step_of(1, 5000);
	char id[NAME_BYTES];

	fw->vms[0].fail_runs = true;
	fw->run_ms = 300;
	for (uint32_t i = 0; i < 20; i++) {
		g_snprintf(id, sizeof(id), "w%u", i);
		flow_world_submit(fw, id, &step, 1);
	}
	flow_world_run_ms(fw, 8000);
}

static void cancel(struct flow_world *fw)
{
	fw->run_ms = 60000;
	submit(fw, 2, 1000);
	flow_world_run_ms(fw, 500);
	flow_world_call(fw, FLOW_CALL_CANCEL, "/q/aa", NULL);
	flow_world_run_ms(fw, 1000);
}

static void kill_worker(struct flow_world *fw)
{
	fw->run_ms = 60000;
	submit(fw, 8, 1000);
	flow_world_run_ms(fw, 500);
	fw_crash_worker(&fw->vms[0]);
	flow_world_run_ms(fw, 500);
	fw_boot_worker(&fw->vms[0]);
	flow_world_run_ms(fw, 3000);
}

static void kill_leader(struct flow_world *fw)
{
	struct world_control *leader = world_leader_host(fw->base);

	world_kill_control(leader);
	flow_world_run_ms(fw, 5000);
}

static const struct decision {
	const char *title;
	void (*run)(struct flow_world *fw);
	const char *lines[LINES_MAX]; /* patterns; all must match */
	/*
	 * Regular expressions for lines that list several runs; all must match.
	 */
	const char *runs[RUNS_MAX];
} decisions[] = {
	{ "a workflow is served",
	  serve,
	  { "event=call kind=submit *path=/q/aa *result=ok*",
	    "event=workflow id=aa state=queued *",
	    "event=task-started task=aa.0.0.0 run=1 worker=side* term=*",
	    "event=run-ended task=aa.0.0.0 run=1 *outcome=done*",
	    "event=workflow id=aa state=completed *",
	    "event=ends-settled worker=side* from=0 to=*" },
	  { PLACED "0/1@side\\d(,\\S+)? workers=side.* cpu_millis=1000 "
		   "vm_cpu_millis=\\S+ vm_free_millis=\\S+ "
		   "vm_filler_millis=0 vm_memory_mib=\\S+ "
		   "cost_permille=\\S+ vm_orphans=0 reported_ms_ago=",
	    ENDED "0/1@side\\d:done:\\d+" ENTRY_END } },
	{ "a bundle is put in force",
	  call_unknown_queue,
	  { "event=operation-proposed ticket=* command=* term=*",
	    "event=operation-committed ticket=* result=ok version=100 *",
	    "event=bundle version=100 *" } },
	{ "a call names an unknown queue",
	  call_unknown_queue,
	  { "event=call kind=state *path=/none/aa *result=unknown-queue*" } },
	{ "there is no leader",
	  lose_control,
	  { "event=leader-lost leader=* known_ms=*",
	    "event=call kind=submit *path=/q/aa *sent=0 *result=no-quorum*",
	    "event=leader leader=* away_ms=*" } },
	{ "the leader is replaced",
	  kill_leader,
	  { "event=raft-leader-silent term=* silent_ms=*",
	    "event=raft-leader-heard term=* away_ms=*", "event=leading *" } },
	{ "no VM has room",
	  request_too_much,
	  { "event=waiting id=aa *step=0 tasks=1 *waited_ms=2* "
	    "reason=no_room vms=4 no_room=4" } },
	{ "all workers drain",
	  drain_all,
	  { "event=worker-draining worker=side0 *",
	    "event=worker vm=side0 *change=draining",
	    "event=waiting id=aa *reason=leaving vms=4 leaving=4" } },
	{ "the answer to a start is lost",
	  lose_start,
	  { "event=call-unanswered kind=start task=aa.0.0.0 run=1 "
	    "*outcome=no-answer *took_ms=* lease_left_ms=*",
	    "event=run-unsure task=aa.0.0.0 run=1 *result=timeout",
	    "event=run-absent task=aa.0.0.0 run=1 phase=unsure *stopped=yes *",
	    "event=run-refused task=aa.0.0.0 run=1 *result=timeout" } },
	{ "a worker's answers are lost",
	  lose_answers,
	  { "event=call-unanswered kind=look worker=side* took_ms=*",
	    "event=worker-unreachable *looks_unanswered=* silent_ms=*",
	    "event=lease-unrenewed *cause=\"worker unreachable\" *task=aa*",
	    "event=lease-lapsed worker=side* *runs=*",
	    "event=vm-lost * bound=grant bound_ms_ago=* *reachable=no *",
	    "event=run-ended task=aa.0.0.* run=1 *outcome=lapsed",
	    "event=worker-reachable *looks_unanswered=* silent_ms=*",
	    "event=lease-renewed *away_ms=* lapsed=yes *" },
	  { ENDED "\\d+/\\d+@side\\d:lost:\\d+" } },
	{ "a worker's answers are lost until its lease expires",
	  lose_answers_briefly,
	  { "event=run-ended task=aa.0.0.* run=1 *outcome=lapsed" },
	  { ENDED "\\d+/1@side\\d:lapsed:\\d+" } },
	{ "an agent is cut off",
	  cut_agent,
	  { "event=lease-unrenewed worker=side0 cause=\"leader silent\" *",
	    "event=vm-lost vm=side0 *",
	    "event=done-ignored task=aa.0.0.* run=1 vm=side0 *lapsed=yes "
	    "*last_run=*" } },
	{ "a worker refuses a start",
	  refuse_starts,
	  { "event=worker-refused kind=start task=aa.0.0.0 * "
	    "result=no-permit reason=\"the ticket is not valid\" *",
	    "event=run-refused task=aa.0.0.0 *result=no-permit" } },
	{ "a task fails too often",
	  fail_runs,
	  { "event=step-faulty id=aa step=0 task=aa.0.0.* failures=*",
	    "event=workflow id=aa state=failed *" },
	  { ENDED "\\d+/\\d+@side\\d:failed:\\d+:2" ENTRY_END } },
	{ "a worker fails everything",
	  fail_runs_of_worker,
	  { "event=worker-shunned vm=side0 *for_ms=* service_shunned=1 "
	    "fail_permille=* others_fail_permille=*" } },
	{ "a workflow is cancelled",
	  cancel,
	  { "event=call kind=cancel *path=/q/aa *result=ok*",
	    "event=task-stop task=aa.0.0.0 *reason=cancelled",
	    "event=task-stopping task=aa.0.0.0 run=1 *" },
	  { ENDED "0/\\d+@side\\d:stopped:\\d+" ENTRY_END } },
	{ "a worker restarts",
	  kill_worker,
	  { "event=worker-registered worker=side0 *",
	    "event=worker vm=side0 *change=\"new life\"",
	    "event=run-ended task=aa.0.0.* worker=side0 *outcome=lost" },
	  { ENDED "\\d+/\\d+@side0:lost:\\d+" } },
};

/*
 * Guards against a decision that isn't logged, or is logged without its
 * reasons.
 */
START_TEST(test_decision)
{
	const struct decision *decision = &decisions[_i];
	struct flow_world *fw = flow_world_new(100 + (uint64_t)_i);

	decision->run(fw);
	for (size_t i = 0; i < LINES_MAX && decision->lines[i]; i++)
		ck_assert_msg(sim_log_has(fw->base->sim, decision->lines[i]),
			      "%s: no line %s", decision->title,
			      decision->lines[i]);
	for (size_t i = 0; i < RUNS_MAX && decision->runs[i]; i++)
		ck_assert_msg(sim_log_matches(fw->base->sim, decision->runs[i]),
			      "%s: no line %s", decision->title,
			      decision->runs[i]);
	flow_world_free(fw);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("logs");
	TCase *tcase = tcase_create("decisions");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 100);
	tcase_add_loop_test(tcase, test_decision, 0, G_N_ELEMENTS(decisions));
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
