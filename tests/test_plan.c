/**
 * @file test_plan.c
 * The planner behind plan.h: each test drives it as the control leader does.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "plan.h"
#include "schema.h"

#define SECOND_US 1000000ull

static struct plan *plan;
static uint64_t now_us;
static struct plan_decision decision;

static void set_up_policies(const char *place, const char *evict)
{
	struct plan_opts opts = { place, evict, 7 };

	plan = plan_new(&opts);
	now_us = 100 * SECOND_US;
}

static void set_up(void)
{
	set_up_policies(NULL, NULL);
}

static void tear_down(void)
{
	plan_free(plan);
	plan = NULL;
}

static void add_vm(const char *name, const char *zone, const char *rack,
		   uint32_t cpu_millis, uint32_t memory_mib)
{
	struct vm_record vm = { .state = VM_LIVE };

	TEXT_SET(vm.name, name);
	TEXT_SET(vm.zone, zone);
	TEXT_SET(vm.rack, rack);
	vm.cpu_millis = cpu_millis;
	vm.memory_mib = memory_mib;
	plan_set_vm(plan, &vm, now_us);
}

static void set_zone(const char *name, bool out)
{
	struct zone_record zone = { .out = out, .version = 1 };

	TEXT_SET(zone.name, name);
	plan_set_zone(plan, &zone, now_us);
}

static struct job_record make_job(uint64_t job_id, uint32_t job_class,
				  uint32_t cpu_millis, uint32_t memory_mib)
{
	struct job_record job = { .job_id = job_id, .job_class = job_class };

	g_snprintf(job.kind, sizeof(job.kind), "kind-%u", job_class);
	TEXT_SET(job.team, "lofts");
	job.state = JOB_ACTIVE;
	job.nr_wanted = 1;
	job.cpu_millis = cpu_millis;
	job.memory_mib = memory_mib;
	job.submitted_ms = 1000000 + job_id;
	return job;
}

static struct task_record make_task(uint64_t task_id, uint64_t job_id,
				    uint32_t state)
{
	struct task_record task = { .task_id = task_id, .job_id = job_id };

	task.state = state;
	task.epoch = 1;
	return task;
}

/* Adds a job with nr_tasks pending tasks numbered job_id * 1000 + i. */
static void add_job(struct job_record job, uint32_t nr_tasks)
{
	job.nr_wanted = nr_tasks;
	plan_set_job(plan, &job, now_us);
	for (uint32_t i = 0; i < nr_tasks; i++) {
		struct task_record task = make_task(job.job_id * 1000 + i,
						    job.job_id, TASK_PENDING);

		plan_set_task(plan, &task, now_us);
	}
}

static void set_task_on(uint64_t task_id, uint64_t job_id, uint32_t state,
			const char *vm, uint32_t cpu_millis,
			uint32_t memory_mib)
{
	struct task_record task = make_task(task_id, job_id, state);

	TEXT_SET(task.vm, vm);
	task.cpu_millis = cpu_millis;
	task.memory_mib = memory_mib;
	plan_set_task(plan, &task, now_us);
}

/* Commits the last decision, PLAN_PLACE, as running. */
static void run_decided(void)
{
	set_task_on(decision.task_id, decision.job_id, TASK_RUNNING,
		    decision.vm, decision.cpu_millis, decision.memory_mib);
}

static bool next(void)
{
	return plan_next(plan, now_us, &decision);
}

static void expect_place(uint64_t task_id)
{
	ck_assert(next());
	ck_assert_int_eq(decision.action, PLAN_PLACE);
	ck_assert_uint_eq(decision.task_id, task_id);
}

/* Guards against a VM committed beyond its capacity, under either policy. */
START_TEST(test_capacity_holds)
{
	static const char *const policies[] = { "default", "first-fit" };
	uint32_t placed = 0;

	set_up_policies(policies[_i], NULL);
	add_vm("a", "z1", "r1", 4000, 8192);
	add_vm("b", "z1", "r1", 4000, 8192);
	add_job(make_job(1, JOB_BATCH, 1500, 1000), 9);
	while (next()) {
		ck_assert_int_eq(decision.action, PLAN_PLACE);
		placed++;
	}
	/* Two of 1500 millis on each VM of 4000. */
	ck_assert_uint_eq(placed, 4);
}
END_TEST

/* Guards against capacity that leaks when a proposal is refused or a task
 * ends. */
START_TEST(test_room_comes_back)
{
	add_vm("a", "z1", "r1", 4000, 8192);
	add_job(make_job(1, JOB_BATCH, 4000, 1000), 2);
	expect_place(1000);
	ck_assert(!next());
	plan_undo(plan, &decision);
	now_us += SECOND_US;
	ck_assert(next());
	run_decided();
	ck_assert(!next());
	set_task_on(decision.task_id, 1, TASK_DONE, "", 0, 0);
	ck_assert(next());
}
END_TEST

/* Guards against a start in a zone that is out or on a VM that is not live. */
START_TEST(test_zone_out_takes_no_work)
{
	add_vm("a", "z1", "r1", 4000, 8192);
	add_job(make_job(1, JOB_BATCH, 1000, 1000), 1);
	set_zone("z1", true);
	ck_assert(!next());
	set_zone("z1", false);
	expect_place(1000);
}
END_TEST

/* Guards against batch placed before services and urgent work. */
START_TEST(test_order_of_classes)
{
	add_vm("a", "z1", "r1", 8000, 8192);
	add_job(make_job(1, JOB_BATCH, 1000, 100), 1);
	add_job(make_job(2, JOB_URGENT, 1000, 100), 1);
	add_job(make_job(3, JOB_SERVICE, 1000, 100), 1);
	expect_place(3000);
	expect_place(2000);
	expect_place(1000);
}
END_TEST

/* Guards against a planner that depends on the order it is filled in. */
START_TEST(test_tasks_before_their_jobs_and_vms)
{
	struct task_record task = make_task(1000, 1, TASK_PENDING);

	set_task_on(1001, 1, TASK_RUNNING, "a", 3000, 1000);
	plan_set_task(plan, &task, now_us);
	ck_assert(!next());
	add_job(make_job(1, JOB_BATCH, 2000, 1000), 0);
	ck_assert(!next());
	add_vm("a", "z1", "r1", 4000, 8192);
	ck_assert(!next());
	add_vm("b", "z1", "r1", 4000, 8192);
	expect_place(1000);
	ck_assert_str_eq(decision.vm, "b");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("plan");
	TCase *tcase = tcase_create("plan");
	TCase *policies = tcase_create("policies");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_checked_fixture(policies, NULL, tear_down);
	tcase_add_loop_test(policies, test_capacity_holds, 0, 2);
	tcase_add_test(tcase, test_room_comes_back);
	tcase_add_test(tcase, test_zone_out_takes_no_work);
	tcase_add_test(tcase, test_order_of_classes);
	tcase_add_test(tcase, test_tasks_before_their_jobs_and_vms);
	suite_add_tcase(suite, tcase);
	suite_add_tcase(suite, policies);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
