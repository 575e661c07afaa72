#include "plan_fixture.h"

#include <check.h>
#include <glib.h>

#include "schema.h"

struct plan *plan;
uint64_t now_us;
struct plan_decision decision;

void set_up_policies(const char *place, const char *evict)
{
	struct plan_opts opts = { place, evict, 7 };

	plan = plan_new(&opts);
	now_us = 100 * SECOND_US;
}

void set_up(void)
{
	set_up_policies(NULL, NULL);
}

void tear_down(void)
{
	plan_free(plan);
	plan = NULL;
}

void add_vm(const char *name, const char *zone, const char *rack,
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

void set_zone(const char *name, bool out)
{
	struct zone_record zone = { .out = out, .version = 1 };

	TEXT_SET(zone.name, name);
	plan_set_zone(plan, &zone, now_us);
}

struct job_record make_job(uint64_t job_id, uint32_t job_class,
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

struct task_record make_task(uint64_t task_id, uint64_t job_id, uint32_t state)
{
	struct task_record task = { .task_id = task_id, .job_id = job_id };

	task.state = state;
	task.epoch = 1;
	return task;
}

void add_job(struct job_record job, uint32_t nr_tasks)
{
	job.nr_wanted = nr_tasks;
	plan_set_job(plan, &job, now_us);
	for (uint32_t i = 0; i < nr_tasks; i++) {
		struct task_record task = make_task(job.job_id * 1000 + i,
						    job.job_id, TASK_PENDING);

		plan_set_task(plan, &task, now_us);
	}
}

void set_task_on(uint64_t task_id, uint64_t job_id, uint32_t state,
		 const char *vm, uint32_t cpu_millis, uint32_t memory_mib)
{
	struct task_record task = make_task(task_id, job_id, state);

	TEXT_SET(task.vm, vm);
	task.cpu_millis = cpu_millis;
	task.memory_mib = memory_mib;
	plan_set_task(plan, &task, now_us);
}

void run_decided(void)
{
	set_task_on(decision.task_id, decision.job_id, TASK_RUNNING,
		    decision.vm, decision.cpu_millis, decision.memory_mib);
}

bool next(void)
{
	return plan_next(plan, now_us, &decision);
}

void expect_place(uint64_t task_id)
{
	ck_assert(next());
	ck_assert_int_eq(decision.action, PLAN_PLACE);
	ck_assert_uint_eq(decision.task_id, task_id);
}

void fill_with_batch(void)
{
	add_vm("a", "z1", "r1", 8000, 8192);
	add_job(make_job(1, JOB_BATCH, 1000, 100), 8);
	for (uint32_t i = 0; i < 8; i++) {
		ck_assert(next());
		run_decided();
	}
}

void confirm_stop(void)
{
	struct task_record task =
		make_task(decision.task_id, decision.job_id, TASK_PENDING);

	task.nr_evictions = 1;
	plan_set_task(plan, &task, now_us);
}
