/**
 * @file test_plan_policy.c
 * Tests of the planner's policies: zones that go out of service and return,
 * slow services, learned sizes, and a random run that is checked independently.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "interference.h"
#include "plan_fixture.h"
#include "plan_state.h"
#include "schema.h"

/* Sets up two zones of two VMs, a service of 6 replicas and 4 batch tasks. */
static void set_up_zones(void)
{
	set_up();
	add_vm("a1", "z1", "r1", 16000, 32000);
	add_vm("a2", "z1", "r2", 16000, 32000);
	add_vm("b1", "z2", "r3", 16000, 32000);
	add_vm("b2", "z2", "r4", 16000, 32000);
	add_job(make_job(1, JOB_SERVICE, 1000, 1000), 6);
	add_job(make_job(2, JOB_BATCH, 1000, 1000), 4);
	while (next())
		run_decided();
}

static const struct plan_vm *vm_of(uint64_t task_id)
{
	const struct plan_task *task = plan_find_task(plan, task_id);

	ck_assert_ptr_nonnull(task);
	return task->on_vm;
}

static uint32_t replicas_in(const char *zone)
{
	uint32_t nr = 0;

	for (uint64_t id = 1000; id < 1006; id++)
		nr += vm_of(id) && !strcmp(vm_of(id)->zone->name, zone);
	return nr;
}

/* Guards against a service with all its replicas in one zone or on one VM. */
START_TEST(test_service_is_spread)
{
	ck_assert_uint_eq(replicas_in("z1"), 3);
	ck_assert_uint_eq(replicas_in("z2"), 3);
	for (uint64_t id = 1001; id < 1006; id++)
		ck_assert(vm_of(id) != vm_of(1000) ||
			  vm_of(1000)->nr_services <= 2);
}
END_TEST

/*
 * Guards against tasks that stay in a zone that is out of service, batch tasks
 * that move before services, and a service whose replicas stop all at once.
 */
START_TEST(test_zone_out_moves_services_first)
{
	uint32_t stopped = 0;
	uint32_t most_stopped = 0;
	bool batch_moved = false;

	set_zone("z1", true);
	for (uint32_t i = 0; i < 100; i++) {
		now_us += SECOND_US / 10;
		while (next()) {
			if (decision.action == PLAN_PLACE) {
				ck_assert_int_eq(decision.vm[0], 'b');
				stopped -= decision.job_id == 1;
				run_decided();
			} else {
				ck_assert_int_eq(decision.action, PLAN_EVICT);
				ck_assert_int_eq(decision.vm[0], 'a');
				ck_assert(decision.job_id == 2 || !batch_moved);
				batch_moved |= decision.job_id == 2;
				stopped += decision.job_id == 1;
				most_stopped = MAX(most_stopped, stopped);
				confirm_stop();
			}
		}
	}
	ck_assert_uint_eq(replicas_in("z2"), 6);
	ck_assert_uint_le(most_stopped, 2);
	for (uint64_t id = 2000; id < 2004; id++)
		ck_assert_int_eq(vm_of(id)->record.name[0], 'b');
}
END_TEST

/* Guards against a replica that is stopped before another VM can run it. */
START_TEST(test_zone_out_without_capacity)
{
	uint32_t nr_evicted = 0;

	/* One replica fits on each VM, so none can move to another VM. */
	add_job(make_job(3, JOB_SERVICE, 12000, 1000), 4);
	while (next()) {
		if (decision.action == PLAN_EVICT)
			confirm_stop();
		else
			run_decided();
	}
	for (uint64_t id = 3000; id < 3004; id++)
		ck_assert_ptr_nonnull(vm_of(id));
	set_zone("z1", true);
	for (uint32_t i = 0; i < 20; i++) {
		now_us += SECOND_US;
		while (next()) {
			ck_assert(decision.job_id != 3);
			nr_evicted += decision.action == PLAN_EVICT;
			if (decision.action == PLAN_EVICT)
				confirm_stop();
			else
				run_decided();
		}
	}
	ck_assert_uint_gt(nr_evicted, 0);
	/* After PLAN_DRAIN_FORCE_MS a replica is stopped in any case. */
	now_us += 15 * SECOND_US;
	ck_assert(next());
	ck_assert_uint_eq(decision.job_id, 3);
	ck_assert_int_eq(decision.action, PLAN_EVICT);
}
END_TEST

/*
 * Guards against many moves at once into a zone that is back in service, batch
 * tasks evicted only for balance, and a service that stays unevenly spread.
 */
START_TEST(test_rebalancing_is_gradual)
{
	uint32_t moves_in_second[60] = { 0 };

	set_zone("z1", true);
	for (uint32_t i = 0; i < 100; i++) {
		now_us += SECOND_US / 10;
		while (next()) {
			if (decision.action == PLAN_EVICT)
				confirm_stop();
			else
				run_decided();
		}
	}
	ck_assert_uint_eq(replicas_in("z1"), 0);
	set_zone("z1", false);
	for (uint32_t i = 0; i < 600; i++) {
		now_us += SECOND_US / 10;
		while (next()) {
			if (decision.action == PLAN_PLACE) {
				run_decided();
				continue;
			}
			ck_assert_uint_eq(decision.job_id, 1);
			moves_in_second[i / 10]++;
			confirm_stop();
		}
	}
	for (uint32_t i = 0; i < 60; i++)
		ck_assert_uint_le(moves_in_second[i], 3);
	ck_assert_uint_eq(replicas_in("z1"), 3);
}
END_TEST

/*
 * Guards against starting all pending batch tasks at once in a zone that is
 * back in service.
 */
START_TEST(test_returned_zone_limits_starts)
{
	uint32_t nr = 0;

	set_up();
	add_vm("a", "z1", "r1", 16000, 32000);
	set_zone("z1", true);
	add_job(make_job(3, JOB_BATCH, 100, 100), 100);
	ck_assert(!next());
	set_zone("z1", false);
	while (next())
		nr++;
	ck_assert_uint_le(nr, 20);
	for (uint32_t i = 0; i < 20; i++) {
		now_us += SECOND_US / 10;
		while (next())
			nr++;
	}
	ck_assert_uint_le(nr, 60);
	ck_assert_uint_ge(nr, 40);
}
END_TEST

static void sample(const char *vm, uint64_t task_id, uint32_t cpu_used,
		   uint32_t memory_used, uint32_t rate_ppm, uint32_t age_ms)
{
	struct platform_task task = { .task_id = task_id };

	task.age_ms = age_ms;
	task.cpu_used_millis = cpu_used;
	task.memory_used_mib = memory_used;
	task.rate_ppm = rate_ppm;
	plan_usage(plan, vm, 1, &task, now_us);
}

struct size_case {
	uint32_t cpu_used; /* in millis */
	uint32_t memory_used; /* in MiB */
	uint32_t nr_ended; /* runs that ended successfully */
	/* Bounds of the size that is committed next. */
	uint32_t cpu_min;
	uint32_t cpu_max;
	uint32_t memory_min;
	uint32_t memory_max;
};

/*
 * Guards against sizes that don't follow the measured use, and against memory
 * below the declared size after too few runs. 1000 millis and 1000 MiB are
 * declared.
 */
START_TEST(test_learned_sizes)
{
	static const struct size_case cases[] = {
		{ 200, 300, 0, 200, 300, 1000, 1000 }, /* no run ended */
		{ 200, 300, 6, 200, 300, 300, 500 }, /* with a margin */
		{ 999, 990, 6, 1200, 1500, 1100, 1400 }, /* at its limit */
		{ 800, 900, 0, 800, 900, 1000, 1400 },
		{ 200, 0, 6, 1000, 1000, 1000, 1000 }, /* not measured */
	};
	const struct size_case *sizes = &cases[_i];

	add_vm("a", "z1", "r1", 64000, 64000);
	add_job(make_job(1, JOB_BATCH, 1000, 1000), 20);
	for (uint32_t i = 0; i < 10; i++) {
		ck_assert(next());
		run_decided();
	}
	for (uint32_t i = 0; i < 40; i++) {
		now_us += SECOND_US;
		for (uint64_t id = 1000; id < 1010; id++)
			sample("a", id, sizes->cpu_used, sizes->memory_used,
			       1000000, 100);
	}
	for (uint32_t i = 0; i < sizes->nr_ended; i++) {
		plan_task_ended(plan, 1000 + i, "a", false, now_us);
		set_task_on(1000 + i, 1, TASK_DONE, "", 0, 0);
	}
	ck_assert(next());
	ck_assert_uint_ge(decision.cpu_millis, sizes->cpu_min);
	ck_assert_uint_le(decision.cpu_millis, sizes->cpu_max);
	ck_assert_uint_ge(decision.memory_mib, sizes->memory_min);
	ck_assert_uint_le(decision.memory_mib, sizes->memory_max);
}
END_TEST

/*
 * Guards against a task that runs out of memory and is placed again with the
 * same limit, and against counting the failure against the VM.
 */
START_TEST(test_memory_failure_raises_the_limit)
{
	struct task_record task = make_task(1000, 1, TASK_PENDING);

	add_vm("a", "z1", "r1", 8000, 8192);
	add_job(make_job(1, JOB_BATCH, 1000, 1000), 1);
	expect_place(1000);
	run_decided();
	now_us += SECOND_US;
	sample("a", 1000, 500, 950, 1000000, 100);
	plan_task_ended(plan, 1000, "a", true, now_us);
	plan_set_task(plan, &task, now_us);
	expect_place(1000);
	ck_assert_uint_ge(decision.memory_mib, 1500);
	ck_assert_uint_eq(plan_vm(plan, "a")->nr_failed_jobs, 0);
}
END_TEST

/* Guards against memory use that grows with the number of past jobs. */
START_TEST(test_memory_is_bounded)
{
	struct job_record job = make_job(1, JOB_BATCH, 1000, 100);
	uint32_t last_nr = 0;

	for (uint64_t id = 1; id <= 5000; id++) {
		job = make_job(id, JOB_BATCH, 1000, 100);
		g_snprintf(job.kind, sizeof(job.kind), "kind-%u", (uint32_t)id);
		add_job(job, 1);
		last_nr = learn_kind(plan->learn, &job)->nr;
		plan_drop_job(plan, id);
	}
	ck_assert_uint_eq(last_nr, PLAN_MAX_KINDS);
	ck_assert_uint_eq(queue_nr_groups(plan), 0);
	ck_assert_uint_eq(g_hash_table_size(plan->tasks), 0);
	ck_assert_uint_eq(g_hash_table_size(plan->jobs), 0);
}
END_TEST

/*
 * Guards against not noticing job kinds whose checkpoints fail, so that their
 * tasks lose their work again and again, and against learning run times from
 * partial runs.
 */
START_TEST(test_runs_and_checkpoints_are_learned)
{
	struct task_record task = make_task(1000, 1, TASK_PENDING);
	const struct plan_kind *kind;

	add_vm("a", "z1", "r1", 8000, 8192);
	add_job(make_job(1, JOB_BATCH, 1000, 100), 3);
	kind = plan_find_task(plan, 1000)->job->kind;
	set_task_on(1000, 1, TASK_PLACED, "a", 1000, 100);
	set_task_on(1000, 1, TASK_RUNNING, "a", 1000, 100);
	/* The planner first sees this task when it is already running. */
	set_task_on(1005, 1, TASK_RUNNING, "a", 1000, 100);
	now_us += 10 * SECOND_US;
	plan_task_ended(plan, 1005, "a", false, now_us);
	ck_assert_uint_eq(kind->run_ms, 0);
	sample("a", 1000, 500, 50, 1000000, 100);
	plan_find_task(plan, 1000)->progress_ppm = 500000;
	set_task_on(1000, 1, TASK_STOPPING, "a", 1000, 100);
	plan_find_task(plan, 1000)->progress_ppm = 500000;
	task.nr_evictions = 1;
	plan_set_task(plan, &task, now_us);
	ck_assert(kind->no_checkpoint);
	set_task_on(1002, 1, TASK_PLACED, "a", 1000, 100);
	set_task_on(1002, 1, TASK_RUNNING, "a", 1000, 100);
	now_us += 20 * SECOND_US;
	plan_task_ended(plan, 1002, "a", false, now_us);
	ck_assert_uint_eq(kind->run_ms, 20000);
}
END_TEST

/*
 * Sets up a VM with a replica (task 1000), a noisy batch task (2000) and a
 * quiet one (3000), each of another kind.
 */
static void set_up_slow_service(const char *evict)
{
	struct job_record noisy = make_job(2, JOB_BATCH, 1000, 100);
	struct job_record quiet = make_job(3, JOB_BATCH, 1000, 100);

	set_up_policies(NULL, evict);
	TEXT_SET(noisy.kind, "noisy");
	TEXT_SET(quiet.kind, "quiet");
	add_vm("a", "z1", "r1", 8000, 8192);
	add_job(make_job(1, JOB_SERVICE, 1000, 100), 1);
	add_job(noisy, 1);
	add_job(quiet, 1);
	for (uint32_t i = 0; i < 3; i++) {
		expect_place((i + 1) * 1000ull);
		run_decided();
	}
}

/* Returns the learned slowdown of the service by a kind, in ppm. */
static uint32_t pair(const char *aggressor)
{
	struct job_record victim = make_job(1, JOB_SERVICE, 0, 0);
	struct job_record other = make_job(2, JOB_BATCH, 0, 0);

	TEXT_SET(other.kind, aggressor);
	return interference_pair_ppm(plan->interference,
				     learn_kind(plan->learn, &victim),
				     learn_kind(plan->learn, &other));
}

/*
 * Guards against attributing the slowdown in a sample to the tasks that run
 * when the sample arrives instead of those that ran when it was taken.
 */
START_TEST(test_samples_are_attributed_by_time)
{
	set_up_slow_service(NULL);
	set_task_on(3000, 3, TASK_DONE, "", 0, 0);
	now_us += 10 * SECOND_US;
	set_task_on(2000, 2, TASK_DONE, "", 0, 0);
	add_job(make_job(4, JOB_BATCH, 1000, 100), 1);
	now_us += SECOND_US;
	/* Taken while only the noisy task ran, but reported after its end. */
	for (uint32_t age_ms = 9000; age_ms > 1000; age_ms -= 200)
		sample("a", 1000, 500, 50, 600000, age_ms);
	ck_assert_uint_gt(pair("noisy"), 500000);
	ck_assert_uint_lt(pair("quiet"), 60000);
}
END_TEST

struct step_case {
	const char *evict;
	enum plan_action first; /* action of the first decision */
};

/*
 * Guards against an eviction before milder steps, steps taken before samples
 * can show the effect of the last one, and steps against the wrong task. The
 * policy "newest" evicts at once.
 */
START_TEST(test_steps_against_interference)
{
	static const struct step_case cases[] = {
		{ "least-lost", PLAN_THROTTLE },
		{ "newest", PLAN_EVICT },
	};
	uint64_t last_us = 0;
	uint32_t nr = 0;

	set_up_slow_service(cases[_i].evict);
	/* Ends the quiet task, so that only the noisy one can be the cause. */
	set_task_on(3000, 3, TASK_DONE, "", 0, 0);
	for (uint32_t i = 0; i < 100 && nr < 2; i++) {
		now_us += SECOND_US / 2;
		sample("a", 1000, 500, 50, 500000, 3000);
		if (!next())
			continue;
		if (!nr++)
			ck_assert_int_eq(decision.action, cases[_i].first);
		ck_assert_uint_eq(decision.task_id, 2000);
		ck_assert(!last_us || now_us - last_us >= 3 * SECOND_US);
		last_us = now_us;
		if (decision.action == PLAN_EVICT)
			break;
	}
	ck_assert_uint_ge(nr, 1);
}
END_TEST

/*
 * Guards against placing a noisy batch task beside a service that its kind is
 * known to slow down.
 */
START_TEST(test_noisy_kind_avoids_services)
{
	struct job_record noisy = make_job(4, JOB_BATCH, 1000, 100);

	set_up_slow_service(NULL);
	TEXT_SET(noisy.kind, "noisy");
	set_task_on(3000, 3, TASK_DONE, "", 0, 0);
	for (uint32_t i = 0; i < 10; i++) {
		now_us += SECOND_US / 2;
		sample("a", 1000, 500, 50, 600000, 100);
	}
	set_task_on(2000, 2, TASK_DONE, "", 0, 0);
	add_job(noisy, 1);
	while (next())
		ck_assert(decision.action != PLAN_PLACE);
	add_vm("b", "z1", "r1", 8000, 8192);
	expect_place(4000);
	ck_assert_str_eq(decision.vm, "b");
}
END_TEST

/*
 * Guards against times from plan_next_us() that cause calls without a decision
 * all the time, or that are too late for the next decision.
 */
START_TEST(test_next_time)
{
	set_up();
	ck_assert(!next());
	ck_assert(plan_next_us(plan) == UINT64_MAX);
	add_vm("a", "z1", "r1", 1000, 8192);
	add_job(make_job(1, JOB_BATCH, 1000, 100), 2);
	expect_place(1000);
	run_decided();
	ck_assert(!next());
	ck_assert_uint_gt(plan_next_us(plan), now_us);
	ck_assert_uint_le(plan_next_us(plan), now_us + 2 * SECOND_US);
}
END_TEST

#define RANDOM_VMS 12
#define RANDOM_TASKS 400

/* The commitments, tracked independently of the planner. */
struct ledger {
	struct task_record tasks[RANDOM_TASKS];
	bool zone_out[3];
	bool lost[RANDOM_VMS];
};

static uint32_t vm_nr(const char *name)
{
	return (uint32_t)atoi(name + 1);
}

static void check_ledger(const struct ledger *ledger)
{
	uint32_t cpu[RANDOM_VMS] = { 0 };

	for (uint32_t i = 0; i < RANDOM_TASKS; i++) {
		const struct task_record *task = &ledger->tasks[i];

		if (*task->vm)
			cpu[vm_nr(task->vm)] += task->cpu_millis;
	}
	for (uint32_t i = 0; i < RANDOM_VMS; i++)
		ck_assert_uint_le(cpu[i], 8000);
}

static void ledger_set(struct ledger *ledger, uint32_t i, uint32_t state)
{
	struct task_record *task = &ledger->tasks[i];

	task->state = state;
	if (state == TASK_PENDING || state >= TASK_DONE)
		task->vm[0] = '\0';
	plan_set_task(plan, task, now_us);
}

static void ledger_carry_out(struct ledger *ledger, GRand *rand)
{
	uint32_t i = (uint32_t)decision.task_id;
	struct task_record *task = &ledger->tasks[i];

	if (g_rand_int_range(rand, 0, 10) == 0) {
		plan_undo(plan, &decision);
		return;
	}
	switch (decision.action) {
	case PLAN_PLACE:
		ck_assert_uint_eq(task->state, TASK_PENDING);
		ck_assert(!ledger->zone_out[vm_nr(decision.vm) % 3]);
		ck_assert(!ledger->lost[vm_nr(decision.vm)]);
		TEXT_SET(task->vm, decision.vm);
		task->cpu_millis = decision.cpu_millis;
		task->memory_mib = decision.memory_mib;
		ledger_set(ledger, i, TASK_PLACED);
		check_ledger(ledger);
		break;
	case PLAN_EVICT:
		ck_assert(*task->vm);
		ledger_set(ledger, i, TASK_STOPPING);
		break;
	case PLAN_FAIL_JOB:
		plan_drop_job(plan, decision.job_id);
		for (uint32_t j = 0; j < RANDOM_TASKS; j++) {
			if (ledger->tasks[j].job_id == decision.job_id)
				ledger->tasks[j].vm[0] = '\0';
			if (ledger->tasks[j].job_id == decision.job_id)
				ledger->tasks[j].state = TASK_CANCELLED;
		}
		break;
	default:
		break;
	}
}

static void ledger_vm(struct ledger *ledger, uint32_t nr, bool lost)
{
	struct vm_record vm = { .cpu_millis = 8000, .memory_mib = 8192 };

	g_snprintf(vm.name, sizeof(vm.name), "v%u", nr);
	g_snprintf(vm.zone, sizeof(vm.zone), "z%u", nr % 3);
	g_snprintf(vm.rack, sizeof(vm.rack), "r%u", nr / 3);
	vm.state = lost ? VM_LOST : VM_LIVE;
	ledger->lost[nr] = lost;
	plan_set_vm(plan, &vm, now_us);
	for (uint32_t i = 0; lost && i < RANDOM_TASKS; i++) {
		if (!strcmp(ledger->tasks[i].vm, vm.name))
			ledger_set(ledger, i, TASK_PENDING);
	}
}

static void ledger_task_event(struct ledger *ledger, GRand *rand)
{
	uint32_t i = (uint32_t)g_rand_int_range(rand, 0, RANDOM_TASKS);
	struct task_record *task = &ledger->tasks[i];
	bool failed = g_rand_int_range(rand, 0, 8) == 0;

	switch (task->state) {
	case TASK_PLACED:
		ledger_set(ledger, i, TASK_RUNNING);
		break;
	case TASK_RUNNING:
		sample(task->vm, i, 300, 100, 900000, 1000);
		if (g_rand_int_range(rand, 0, 4))
			break;
		plan_task_ended(plan, i, task->vm, failed, now_us);
		ledger_set(ledger, i, failed ? TASK_PENDING : TASK_DONE);
		break;
	case TASK_STOPPING:
		ledger_set(ledger, i, TASK_PENDING);
		break;
	default:
		break;
	}
}

static void ledger_site_event(struct ledger *ledger, GRand *rand)
{
	uint32_t vm = (uint32_t)g_rand_int_range(rand, 0, RANDOM_VMS);
	uint32_t zone = vm % 3;
	char name[NAME_BYTES];

	g_snprintf(name, sizeof(name), "z%u", zone);
	switch (g_rand_int_range(rand, 0, 200)) {
	case 0:
		ledger->zone_out[zone] = !ledger->zone_out[zone];
		set_zone(name, ledger->zone_out[zone]);
		break;
	case 1:
		ledger_vm(ledger, vm, !ledger->lost[vm]);
		break;
	default:
		break;
	}
}

/*
 * Guards against an overcommitted VM, a task placed where none is allowed, and
 * capacity that is never released, for random events and refused proposals.
 */
START_TEST(test_random_run)
{
	static const char *const policies[] = { "default", "first-fit" };
	static struct ledger ledger;
	GRand *rand = g_rand_new_with_seed(20261204 + (guint32)_i);

	memset(&ledger, 0, sizeof(ledger));
	set_up_policies(policies[_i % 2], NULL);
	for (uint32_t i = 0; i < RANDOM_VMS; i++)
		ledger_vm(&ledger, i, false);
	for (uint32_t i = 0; i < RANDOM_TASKS; i++) {
		uint32_t job_class = i % 20 ? JOB_BATCH : JOB_URGENT;
		struct job_record job =
			make_job(1 + i / 4, i < 20 ? JOB_SERVICE : job_class,
				 200 + 300 * (i / 4 % 9), 100);

		g_snprintf(job.kind, sizeof(job.kind), "kind-%u", i / 4 % 9);
		plan_set_job(plan, &job, now_us);
		ledger.tasks[i] = make_task(i, 1 + i / 4, TASK_PENDING);
		plan_set_task(plan, &ledger.tasks[i], now_us);
	}
	for (uint32_t round = 0; round < 20000; round++) {
		now_us += 20000;
		ledger_task_event(&ledger, rand);
		ledger_site_event(&ledger, rand);
		for (uint32_t i = 0; i < 20 && next(); i++)
			ledger_carry_out(&ledger, rand);
	}
	for (uint32_t i = 0; i < RANDOM_TASKS; i++)
		plan_drop_job(plan, 1 + i / 4);
	for (uint32_t i = 0; i < plan->vm_list->len; i++) {
		const struct plan_vm *vm = g_ptr_array_index(plan->vm_list, i);
		struct task_size spare = plan_vm_available(vm);

		ck_assert_uint_eq(vm->tasks->len, 0);
		ck_assert_uint_eq(vm->nr_kinds, 0);
		ck_assert_uint_eq(spare.cpu_millis, 8000);
	}
	ck_assert(queue_is_empty(plan));
	ck_assert_uint_eq(plan->nr_batch_holds, 0);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("plan_policy");
	TCase *zones = tcase_create("zones");
	TCase *learning = tcase_create("learning");
	TCase *others = tcase_create("others");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(zones, set_up_zones, tear_down);
	tcase_add_test(zones, test_service_is_spread);
	tcase_add_test(zones, test_zone_out_moves_services_first);
	tcase_add_test(zones, test_zone_out_without_capacity);
	tcase_add_test(zones, test_rebalancing_is_gradual);
	tcase_add_checked_fixture(learning, set_up, tear_down);
	tcase_add_loop_test(learning, test_learned_sizes, 0, 5);
	tcase_add_test(learning, test_memory_failure_raises_the_limit);
	tcase_add_test(learning, test_memory_is_bounded);
	tcase_add_test(learning, test_runs_and_checkpoints_are_learned);
	tcase_add_checked_fixture(others, NULL, tear_down);
	tcase_add_test(others, test_samples_are_attributed_by_time);
	tcase_add_loop_test(others, test_steps_against_interference, 0, 2);
	tcase_add_test(others, test_noisy_kind_avoids_services);
	tcase_add_test(others, test_returned_zone_limits_starts);
	tcase_add_test(others, test_next_time);
	tcase_add_loop_test(others, test_random_run, 0, 12);
	tcase_set_timeout(others, 60);
	suite_add_tcase(suite, zones);
	suite_add_tcase(suite, learning);
	suite_add_tcase(suite, others);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
