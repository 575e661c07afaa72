/**
 * @file test_reserve.c
 * Reservations for tasks that find no VM with enough free capacity, and what
 * may be placed on reserved VMs.
 */

#include <string.h>

#include "control_flow_impl.h"
#include "flow_world.h"
#include "reserve.h"
#include "suite.h"
#include "tunables.h"

/* ---- decisions ---- */

#define VM_CPU 8000
#define VM_MEMORY 16000
#define VMS_MAX 3

#define NOW_US 1000000ull
#define MS 1000ull

/* Of a VM that none of the tests makes ineligible. */
#define NO_VM RESERVE_NO_VM

struct plan {
	struct reserve_vm vms[VMS_MAX];
	struct reserve_run runs[VMS_MAX][64];
	struct reserve_task tasks[8];
	struct reserve_slot slots[8];
	uint32_t ineligible; /* index of a VM that takes no task */
	struct reserve_input input;
};

static bool vm_eligible(void *ctx, uint32_t task, uint32_t vm)
{
	const struct plan *plan = ctx;

	return vm != plan->ineligible;
}

static void plan_init(struct plan *plan, uint32_t nr_vms)
{
	memset(plan, 0, sizeof(*plan));
	plan->ineligible = NO_VM;
	for (uint32_t i = 0; i < nr_vms; i++) {
		plan->vms[i].capacity.cpu_millis = VM_CPU;
		plan->vms[i].capacity.memory_mib = VM_MEMORY;
		plan->vms[i].runs = plan->runs[i];
	}
	plan->input.now_us = NOW_US;
	plan->input.horizon_us = 10000 * MS;
	plan->input.margin_us = 500 * MS;
	plan->input.max_slots = 8;
	plan->input.vms = plan->vms;
	plan->input.nr_vms = nr_vms;
	plan->input.tasks = plan->tasks;
	plan->input.eligible = vm_eligible;
	plan->input.ctx = plan;
}

/* Adds a run that ends after @a ms; a VM's runs are added in this order. */
static void add_run(struct plan *plan, uint32_t vm, uint64_t cpu_millis,
		    uint64_t ms)
{
	struct reserve_vm *to = &plan->vms[vm];
	struct reserve_run *run = &plan->runs[vm][to->nr_runs++];

	run->amount.cpu_millis = cpu_millis;
	run->amount.memory_mib = 500;
	run->end_us = ms == UINT64_MAX ? UINT64_MAX : NOW_US + ms * MS;
	reserve_add(&to->used, &run->amount);
}

/* Adds two runs that end after @a ms and leave no gap of their sum before. */
static void add_pair(struct plan *plan, uint32_t vm, uint64_t ms)
{
	add_run(plan, vm, VM_CPU / 2, ms);
	add_run(plan, vm, VM_CPU / 2, ms);
}

static struct reserve_task *add_task(struct plan *plan, uint64_t cpu_millis)
{
	struct reserve_task *task = &plan->tasks[plan->input.nr_tasks++];

	task->amount.cpu_millis = cpu_millis;
	task->amount.memory_mib = 500;
	task->kept_vm = NO_VM;
	return task;
}

static const struct reserve_slot *decide(struct plan *plan)
{
	reserve_plan(&plan->input, plan->slots);
	return plan->slots;
}

/*
 * The load: all VMs are full of small tasks that end one after the other, so
 * that no gap is large enough. Guards against a large task on the VM with the
 * first gap instead of the one that has enough capacity first, and against a
 * reservation on a VM that long-running tasks never leave.
 */
START_TEST(test_first_vm_with_enough)
{
	struct plan plan;

	plan_init(&plan, 3);
	for (uint32_t i = 0; i < 8; i++) {
		add_run(&plan, 0, 1000, 10 + 300 * i);
		add_run(&plan, 1, 1000, 400 + i);
	}
	/* Four of its processors are never free. */
	add_run(&plan, 2, 4000, 5);
	add_run(&plan, 2, 4000, UINT64_MAX);
	add_task(&plan, 5000);
	ck_assert_uint_eq(decide(&plan)->vm, 1);
	ck_assert_uint_eq(plan.slots[0].at_us, NOW_US + 404 * MS);
}
END_TEST

/* Guards against a reservation on a VM that may not take the task. */
START_TEST(test_ineligible_vm)
{
	struct plan plan;

	plan_init(&plan, 2);
	add_pair(&plan, 0, 100);
	add_pair(&plan, 1, 900);
	plan.ineligible = 0;
	add_task(&plan, 5000);
	ck_assert_uint_eq(decide(&plan)->vm, 1);
}
END_TEST

/*
 * Guards against reservations that say nothing: for a task that fits now, or
 * that no end within the horizon makes fit.
 */
START_TEST(test_no_reservation)
{
	struct plan plan;

	plan_init(&plan, 2);
	add_run(&plan, 0, 5000, 100);
	add_pair(&plan, 1, 10001);
	add_task(&plan, 3000);
	ck_assert_uint_eq(decide(&plan)->vm, NO_VM);
	/* Once one of the runs has ended. */
	plan_init(&plan, 1);
	add_pair(&plan, 0, 100);
	add_task(&plan, VM_CPU / 2);
	ck_assert_uint_eq(decide(&plan)->vm, NO_VM);
	plan_init(&plan, 2);
	add_run(&plan, 0, 8000, UINT64_MAX);
	add_pair(&plan, 1, 10001);
	add_task(&plan, 3000);
	ck_assert_uint_eq(decide(&plan)->vm, NO_VM);
}
END_TEST

/*
 * The load: several large tasks wait. Guards against two reservations of the
 * same capacity, and against more than are allowed.
 */
START_TEST(test_several_tasks)
{
	struct plan plan;

	plan_init(&plan, 3);
	add_pair(&plan, 0, 100);
	add_pair(&plan, 1, 200);
	add_pair(&plan, 2, 300);
	for (uint32_t i = 0; i < 3; i++)
		add_task(&plan, 5000);
	add_task(&plan, 2000);
	plan.input.max_slots = 2;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[0].vm, 0);
	ck_assert_uint_eq(plan.slots[1].vm, 1);
	ck_assert_uint_eq(plan.slots[2].vm, NO_VM);
	plan.input.max_slots = 4;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[2].vm, 2);
	/* One run's end is enough for it. */
	ck_assert_uint_eq(plan.slots[3].vm, NO_VM);
}
END_TEST

/*
 * The load: many small tasks wait before a large one. Guards against a large
 * task that isn't considered because of them.
 */
START_TEST(test_small_tasks_first)
{
	struct plan plan;

	plan_init(&plan, 2);
	add_pair(&plan, 0, 100);
	add_pair(&plan, 1, 200);
	for (uint32_t i = 0; i < 7; i++)
		add_task(&plan, 500)->same_step = i > 0;
	add_task(&plan, 8000);
	plan.input.max_slots = 1;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[6].vm, NO_VM);
	/* The first VM to be free is for the small tasks. */
	ck_assert_uint_eq(plan.slots[7].vm, 1);
}
END_TEST

/*
 * Guards against reservations that move at each plan, against one that is kept
 * after its time, and against one that moves although that gains nothing.
 */
START_TEST(test_kept_until_late)
{
	struct plan plan;
	struct reserve_task *task;

	plan_init(&plan, 2);
	add_pair(&plan, 0, 1600);
	add_pair(&plan, 1, 550);
	task = add_task(&plan, 8000);
	task->kept_vm = 0;
	task->kept_at_us = NOW_US + 200 * MS;
	task->kept_until_us = NOW_US + 1600 * MS;
	ck_assert_uint_eq(decide(&plan)->vm, 0);
	ck_assert_uint_eq(plan.slots[0].at_us, NOW_US + 200 * MS);
	ck_assert_int_eq(plan.slots[0].drop, RESERVE_KEPT);
	/* It will be late, and the other VM is free much earlier. */
	task->kept_until_us = NOW_US + 1599 * MS;
	ck_assert_uint_eq(decide(&plan)->vm, 1);
	ck_assert_int_eq(plan.slots[0].drop, RESERVE_LATE);
	/* The other VM is hardly free earlier. */
	plan.input.margin_us = 1050 * MS;
	ck_assert_uint_eq(decide(&plan)->vm, 0);
	/* There is no other VM. */
	plan.ineligible = 1;
	ck_assert_uint_eq(decide(&plan)->vm, 0);
	/* Its time is exceeded: not on the same VM again at once. */
	task->kept_until_us = NOW_US - 1;
	ck_assert_uint_eq(decide(&plan)->vm, NO_VM);
	ck_assert_int_eq(plan.slots[0].drop, RESERVE_LATE);
}
END_TEST

/*
 * Guards against a reservation that a task of higher priority has to wait for:
 * it holds the VM, or is the last one that is allowed.
 */
START_TEST(test_higher_priority_first)
{
	struct plan plan;
	struct reserve_task *task;

	plan_init(&plan, 2);
	add_pair(&plan, 0, 100);
	add_pair(&plan, 1, 5000);
	add_task(&plan, 8000);
	task = add_task(&plan, 8000);
	task->priority = 2;
	task->kept_vm = 0;
	task->kept_at_us = NOW_US + 100 * MS;
	task->kept_until_us = NOW_US + 600 * MS;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[0].vm, 0);
	ck_assert_uint_eq(plan.slots[1].vm, 1);
	ck_assert_int_eq(plan.slots[1].drop, RESERVE_LATE);
	plan.input.max_slots = 1;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[1].vm, NO_VM);
	ck_assert_int_eq(plan.slots[1].drop, RESERVE_OUTRANKED);
}
END_TEST

/*
 * The load: several large tasks of one priority, whose ranks change all the
 * time. Guards against reservations that change with them, so that no VM gets
 * free for any of the tasks.
 */
START_TEST(test_rank_within_priority)
{
	struct plan plan;
	struct reserve_task *task;

	plan_init(&plan, 2);
	add_pair(&plan, 0, 100);
	add_pair(&plan, 1, 5000);
	add_task(&plan, 8000);
	task = add_task(&plan, 8000);
	task->kept_vm = 0;
	task->kept_at_us = NOW_US + 100 * MS;
	task->kept_until_us = NOW_US + 600 * MS;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[0].vm, 1);
	ck_assert_uint_eq(plan.slots[1].vm, 0);
	plan.input.max_slots = 1;
	decide(&plan);
	ck_assert_uint_eq(plan.slots[0].vm, NO_VM);
	ck_assert_int_eq(plan.slots[1].drop, RESERVE_KEPT);
}
END_TEST

/*
 * The load: small tasks arrive while a large one waits for a VM with a gap of
 * 3 processors, which 5 more leave at 400 ms. Guards against small tasks that
 * delay it, and against an idle gap that they could use in time.
 */
START_TEST(test_backfill)
{
	struct plan plan;
	struct reserve_amount held = { 6000, 500, 0 };
	struct reserve_amount small = { 1000, 500, 0 };
	struct reserve_amount two = { 2000, 500, 0 };
	struct reserve_amount three = { 3000, 500, 0 };
	struct reserve_amount filler = { 0, 500, 0 };
	struct reserve_amount large_filler = { 0, 15500, 0 };
	struct reserve_amount at;
	uint64_t at_us = NOW_US + 400 * MS;
	const struct reserve_amount *capacity;

	plan_init(&plan, 1);
	capacity = &plan.vms[0].capacity;
	add_run(&plan, 0, 5000, 400);
	at = reserve_used_at(&plan.vms[0], at_us);
	ck_assert_uint_eq(at.cpu_millis, 0);
	/* It ends before, or leaves enough. */
	ck_assert(reserve_admits(capacity, &at, &held, at_us, &three, at_us));
	ck_assert(
		reserve_admits(capacity, &at, &held, at_us, &two, UINT64_MAX));
	ck_assert(!reserve_admits(capacity, &at, &held, at_us, &three,
				  at_us + 1));
	/* Each one that was placed beside the reservation counts. */
	reserve_add(&at, &two);
	ck_assert(!reserve_admits(capacity, &at, &held, at_us, &small,
				  UINT64_MAX));
	/* A filler needs memory only. */
	ck_assert(reserve_admits(capacity, &at, &held, at_us, &filler,
				 UINT64_MAX));
	ck_assert(!reserve_admits(capacity, &at, &held, at_us, &large_filler,
				  UINT64_MAX));
}
END_TEST

/*
 * Guards against a backfilled task that runs somewhat longer than estimated,
 * and against one whose estimate is too large to be of use.
 */
START_TEST(test_safe_end)
{
	ck_assert_uint_ge(reserve_safe_end_us(NOW_US, 200), NOW_US + 300 * MS);
	ck_assert_uint_le(reserve_safe_end_us(NOW_US, 200), NOW_US + 500 * MS);
	ck_assert(reserve_safe_end_us(NOW_US, UINT64_MAX) == UINT64_MAX);
	ck_assert(reserve_safe_end_us(NOW_US, UINT64_MAX / 2) == UINT64_MAX);
}
END_TEST

/* ---- in a simulated world ---- */

static struct flow_step step_of(uint32_t count, uint32_t cpu_millis,
				uint32_t estimate_ms)
{
	struct flow_step step = { .count = count,
				  .cpu_millis = cpu_millis,
				  .memory_mib = 100,
				  .estimate_ms = estimate_ms };

	return step;
}

static void submit(struct flow_world *fw, const char *id, uint32_t count,
		   uint32_t cpu_millis, uint32_t estimate_ms)
{
	struct flow_step step = step_of(count, cpu_millis, estimate_ms);

	flow_world_submit(fw, id, &step, 1);
}

static void submit_lasting(struct flow_world *fw, const char *id,
			   uint32_t cpu_millis)
{
	struct flow_step step = step_of(1, cpu_millis, 500);

	step.lasting = true;
	flow_world_submit(fw, id, &step, 1);
}

static uint64_t count_of(const struct flow_world *fw, const char *counter)
{
	const struct control *leader = world_leader(fw->base);

	return counter_get(leader->node->counters, counter);
}

/* Returns the workflow's first step, as operators see it. */
static struct op_flow_step show(struct flow_world *fw, const char *id)
{
	struct op_query query = { 0 };
	const struct op_flows *reply;

	TEXT_SET(query.flow_id, id);
	reply = world_op(fw->base, OP_FLOW_LIST, &query);
	ck_assert_uint_eq(reply->nr_flows, 1);
	ck_assert_uint_eq(reply->flows->nr_steps, 1);
	return reply->flows->steps[0];
}

/* Returns the VM that is reserved for the workflow, after some time at most. */
static struct fw_vm *reserved_vm(struct flow_world *fw, const char *id)
{
	for (uint32_t spent_ms = 0; spent_ms < 1000; spent_ms += 50) {
		struct op_flow_step step = show(fw, id);

		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
			if (!strcmp(step.reserved_vm, fw->vms[i].name))
				return &fw->vms[i];
		flow_world_run_ms(fw, 50);
	}
	return NULL;
}

/*
 * The load: small tasks keep all gaps small while a large one, which needs a
 * whole VM, waits. Returns how long it takes in ms, at most @a limit_ms.
 */
static uint32_t time_of_large(bool contended, uint32_t limit_ms)
{
	struct flow_world *fw = flow_world_new(51);
	uint32_t ms = 0;

	if (contended)
		flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = 300;
	fw->run_spread_ms = 400;
	submit(fw, "small", 300, 1000, 500);
	flow_world_run_ms(fw, 500);
	submit(fw, "large", 1, FLOW_WORLD_VM_CPU_MILLIS, 500);
	while (ms < limit_ms &&
	       !flow_world_wait(fw, "large", FLOW_COMPLETED, 100))
		ms += 100;
	ck_assert(sim_log_has(fw->base->sim, "*event=reserve id=large *") ==
		  contended);
	ck_assert(flow_world_wait(fw, "small", FLOW_COMPLETED, 20000));
	flow_world_free(fw);
	return ms;
}

/*
 * Guards against small tasks that use each gap at once while the large task
 * waits until they are all done, and against a standard policy that reserves.
 */
START_TEST(test_large_task_among_small)
{
	uint32_t with_ms = time_of_large(true, 4000);

	ck_assert_uint_lt(with_ms, 2500);
	ck_assert_uint_gt(time_of_large(false, 4000), with_ms + 1000);
}
END_TEST

/*
 * Starts 4 tasks that leave 3 processors on each VM, and then a task that has
 * to wait for one of them to end. They run for @a run_ms.
 */
static struct flow_world *world_with_waiting(uint64_t seed, uint32_t run_ms,
					     uint32_t cpu_millis)
{
	struct flow_world *fw = flow_world_new(seed);

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = run_ms;
	submit(fw, "aa", FLOW_WORLD_VMS, 5000, run_ms);
	flow_world_run_ms(fw, 500);
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	submit(fw, "bb", 1, cpu_millis, 500);
	ck_assert_ptr_nonnull(reserved_vm(fw, "bb"));
	return fw;
}

/* Reserves a whole VM. */
static struct flow_world *world_with_reservation(uint64_t seed, uint32_t run_ms)
{
	return world_with_waiting(seed, run_ms, FLOW_WORLD_VM_CPU_MILLIS);
}

/*
 * The load: small tasks that arrive together while a task waits that leaves two
 * processors of its VM free. Guards against a gap of which nothing is used, and
 * against tasks that each fit beside the reserved one, but not all.
 */
START_TEST(test_tasks_beside_reserved_one)
{
	struct flow_world *fw = world_with_waiting(61, 2500, 6000);

	submit(fw, "fill", 30, 1000, 2500);
	flow_world_run_ms(fw, 300);
	ck_assert_uint_eq(reserved_vm(fw, "bb")->worker.runs->len, 3);
	ck_assert_uint_eq(count_of(fw, "backfilled"), 2);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: tasks of lower rank that fit the gaps. Guards against those that
 * the reserved task would have to wait for, and against a gap that stays
 * unused although tasks would end in time.
 */
START_TEST(test_reserved_vm_is_backfilled)
{
	struct flow_world *fw = world_with_reservation(52, 2500);
	const struct fw_vm *vm = reserved_vm(fw, "bb");
	struct op_flow_step step;

	submit(fw, "fill", 30, 1000, 2500);
	flow_world_run_ms(fw, 300);
	/* All but the reserved VM are full. */
	ck_assert_uint_eq(vm->worker.runs->len, 1);
	ck_assert_uint_eq(fw_running(fw), 4u * (FLOW_WORLD_VMS - 1) + 1);
	step = show(fw, "bb");
	ck_assert_str_eq(step.reason, "no_room");
	ck_assert_uint_eq(step.reservations, 1);
	ck_assert_uint_gt(step.reserved_in_ms, 0);
	ck_assert_uint_le(step.reserved_in_ms, 2500);
	/* Much work in all, so it ranks below the reserved task. */
	submit(fw, "short", 100, 1000, 100);
	flow_world_run_ms(fw, 300);
	ck_assert_uint_eq(vm->worker.runs->len, 4);
	ck_assert_uint_eq(count_of(fw, "backfilled"), 3);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: fillers, which use idle processors, while a VM is reserved. Guards
 * against fillers that stay away from it, and against one that takes the memory
 * which the reserved task needs.
 */
START_TEST(test_fillers_on_reserved_vm)
{
	struct flow_world *fw = flow_world_new(62);
	struct flow_step filler = step_of(FLOW_WORLD_VMS, 1000, 2500);
	struct flow_step large = step_of(1, FLOW_WORLD_VM_CPU_MILLIS, 500);
	const struct fw_vm *vm;

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->overcommitted = true;
	fw->run_ms = 2500;
	submit(fw, "aa", FLOW_WORLD_VMS, 5000, 2500);
	flow_world_run_ms(fw, 500);
	large.memory_mib = FLOW_WORLD_VM_MEMORY_MIB / 2;
	flow_world_submit(fw, "bb", &large, 1);
	vm = reserved_vm(fw, "bb");
	ck_assert_ptr_nonnull(vm);
	filler.filler = true;
	filler.memory_mib = FLOW_WORLD_VM_MEMORY_MIB / 2 + 1000;
	TEXT_SET(filler.image, "f");
	flow_world_submit(fw, "cc", &filler, 1);
	flow_world_run_ms(fw, 300);
	ck_assert_uint_eq(show(fw, "cc").placed, FLOW_WORLD_VMS - 1);
	ck_assert_uint_eq(vm->worker.runs->len, 1);
	filler.memory_mib = 100;
	flow_world_submit(fw, "dd", &filler, 1);
	flow_world_run_ms(fw, 300);
	ck_assert_uint_eq(show(fw, "dd").placed, FLOW_WORLD_VMS);
	ck_assert_uint_gt(vm->worker.runs->len, 1);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a long-running task arrives while a VM is reserved for a workflow
 * of lower rank. Guards against a reservation that delays it.
 */
START_TEST(test_higher_rank_is_not_delayed)
{
	struct flow_world *fw = world_with_reservation(60, 2500);

	fw->lasting = "l";
	submit(fw, "fill", 30, 1000, 2500);
	flow_world_run_ms(fw, 300);
	ck_assert_uint_eq(reserved_vm(fw, "bb")->worker.runs->len, 1);
	submit_lasting(fw, "l0", 3000);
	flow_world_run_ms(fw, 200);
	ck_assert_uint_eq(show(fw, "l0").placed, 1);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a reservation that ends with its workflow or its use but is
 * kept, so that its VM stays empty.
 */
START_TEST(test_reservation_ends)
{
	struct flow_world *fw = world_with_reservation(53, 2000);

	ck_assert_uint_eq(
		flow_world_call(fw, FLOW_CALL_CANCEL, "/q/bb", NULL).result,
		RESULT_OK);
	ck_assert(sim_log_has(fw->base->sim,
			      "*event=reserve-dropped reason=ended * id=bb *"));
	flow_world_run_ms(fw, 500);
	ck_assert_uint_eq(count_of(fw, "reservations"), 0);
	submit(fw, "cc", UINT64_C(3) * FLOW_WORLD_VMS, 1000, 2000);
	flow_world_run_ms(fw, 300);
	ck_assert_uint_eq(fw_running(fw), UINT64_C(4) * FLOW_WORLD_VMS);
	ck_assert(flow_world_wait(fw, "cc", FLOW_COMPLETED, 5000));
	submit(fw, "dd", FLOW_WORLD_VMS, 5000, 2000);
	flow_world_run_ms(fw, 300);
	submit(fw, "ee", 1, FLOW_WORLD_VM_CPU_MILLIS, 500);
	ck_assert(flow_world_wait(fw, "ee", FLOW_COMPLETED, 6000));
	ck_assert(
		sim_log_has(fw->base->sim,
			    "*event=reserve-dropped reason=placed * id=ee *"));
	flow_world_run_ms(fw, 500);
	ck_assert_uint_eq(count_of(fw, "reservations"), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: estimates that are far too low. Guards against a reservation that
 * waits for a VM that isn't free when it should be.
 */
START_TEST(test_late_vm_is_given_up)
{
	struct flow_world *fw = flow_world_new(54);

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = 8000;
	submit(fw, "aa", FLOW_WORLD_VMS, 5000, 800);
	flow_world_run_ms(fw, 500);
	submit(fw, "bb", 1, FLOW_WORLD_VM_CPU_MILLIS, 500);
	ck_assert_ptr_nonnull(reserved_vm(fw, "bb"));
	/* An agent reports the progress, which shows the true run time. */
	flow_world_run_ms(fw, 2500);
	ck_assert_uint_gt(show(fw, "bb").reserved_in_ms, 1500);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 16000));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a long-running task that waits for 9 s because the VM that
 * would take it is held for another one.
 */
START_TEST(test_lasting_task_is_not_kept_waiting)
{
	struct flow_world *fw = flow_world_new(55);
	struct flow_step step = step_of(FLOW_WORLD_VMS, 5000, 8000);

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = 8000;
	fw->lasting = "l";
	flow_world_submit(fw, "aa", &step, 1);
	flow_world_run_ms(fw, 500);
	submit(fw, "bb", FLOW_WORLD_VMS - 1, 3000, 20000);
	flow_world_run_ms(fw, 500);
	submit_lasting(fw, "l0", FLOW_WORLD_VM_CPU_MILLIS);
	ck_assert_ptr_nonnull(reserved_vm(fw, "l0"));
	submit_lasting(fw, "l1", 3000);
	flow_world_run_ms(fw, 2000);
	ck_assert_uint_eq(fw_running(fw), UINT64_C(2) * FLOW_WORLD_VMS - 1);
	ck_assert_uint_eq(show(fw, "l1").placed, 0);
	flow_world_run_ms(fw, 1500);
	ck_assert_uint_eq(show(fw, "l1").placed, 1);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the VM of a long-running task is lost while another VM is held
 * for a task of higher rank. Guards against a wait for that task which begins
 * only when the lost VM's lease has ended: both together take 9 s.
 */
START_TEST(test_lost_lasting_task_is_not_kept_waiting)
{
	struct flow_world *fw = flow_world_new(62);
	struct fw_vm *lost = NULL;

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = 14000;
	fw->lasting = "l";
	submit(fw, "aa", FLOW_WORLD_VMS, 5000, 14000);
	flow_world_run_ms(fw, 500);
	submit(fw, "bb", FLOW_WORLD_VMS - 2, 3000, 20000);
	flow_world_run_ms(fw, 500);
	submit_lasting(fw, "l0", FLOW_WORLD_VM_CPU_MILLIS);
	flow_world_run_ms(fw, 200);
	submit_lasting(fw, "l1", 3000);
	flow_world_run_ms(fw, 4000);
	ck_assert_ptr_nonnull(reserved_vm(fw, "l0"));
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (fw_runs(&fw->vms[i], "l1.0.0.0"))
			lost = &fw->vms[i];
	ck_assert_ptr_nonnull(lost);
	fw_crash_worker(lost);
	fw_kill_agent(lost);
	flow_world_run_ms(fw, FLOW_LEASE_MAX_MS + FLOW_LEASE_MARGIN_MS + 1000);
	ck_assert_ptr_nonnull(reserved_vm(fw, "l0"));
	ck_assert_uint_eq(show(fw, "l1").placed, 1);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: runs that a new leader has inherited, whose estimate is far too
 * high. Guards against a reserved time by the estimate although the progress
 * that the new leader has seen shows the true run time.
 */
START_TEST(test_inherited_runs_are_timed_by_progress)
{
	struct flow_world *fw = flow_world_new(63);

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = 8000;
	submit(fw, "aa", FLOW_WORLD_VMS, 5000, 20000);
	flow_world_run_ms(fw, 500);
	world_kill_control(world_leader_host(fw->base));
	flow_world_run_ms(fw, 5000);
	submit(fw, "bb", 1, FLOW_WORLD_VM_CPU_MILLIS, 500);
	ck_assert_ptr_nonnull(reserved_vm(fw, "bb"));
	ck_assert_uint_lt(show(fw, "bb").reserved_in_ms, 5000);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a workflow none of whose tasks runs while most processors are free.
 * Guards against a reservation that keeps it waiting for 3 s.
 */
START_TEST(test_idle_workflow_is_not_kept_waiting)
{
	struct flow_world *fw = flow_world_new(56);
	struct flow_step step = step_of(1, 2000, 500);
	struct flow_step memory = step_of(FLOW_WORLD_VMS, 1000, 9000);

	flow_world_contend(fw);
	fw->obeys_pace = true;
	fw->run_ms = 20000;
	/* Memory is short, processors aren't. */
	memory.memory_mib = 9000;
	flow_world_submit(fw, "aa", &memory, 1);
	flow_world_run_ms(fw, 500);
	memory.count = FLOW_WORLD_VMS - 1;
	memory.estimate_ms = 20000;
	memory.memory_mib = 7000;
	flow_world_submit(fw, "bb", &memory, 1);
	flow_world_run_ms(fw, 300);
	memory.count = 1;
	memory.memory_mib = 16000;
	memory.estimate_ms = 500;
	flow_world_submit(fw, "cc", &memory, 1);
	ck_assert_ptr_nonnull(reserved_vm(fw, "cc"));
	step.memory_mib = 7000;
	step.estimate_ms = 20000;
	flow_world_submit(fw, "dd", &step, 1);
	flow_world_run_ms(fw, 600);
	ck_assert_uint_eq(show(fw, "dd").placed, 0);
	flow_world_run_ms(fw, 1400);
	ck_assert_uint_eq(show(fw, "dd").placed, 1);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the leader is lost while a VM is reserved. Guards against a new
 * leader that lets small tasks in, as reservations aren't replicated.
 */
START_TEST(test_new_leader_reserves)
{
	struct flow_world *fw = world_with_reservation(57, 4000);

	world_kill_control(world_leader_host(fw->base));
	flow_world_run_ms(fw, 1500);
	ck_assert_ptr_nonnull(reserved_vm(fw, "bb"));
	submit(fw, "cc", 40, 1000, 4000);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 10000));
	ck_assert_uint_lt(show(fw, "cc").done, 40);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the reserved VM's worker is gone. Guards against a task that
 * waits for it.
 */
START_TEST(test_lost_vm_is_replaced)
{
	struct flow_world *fw = world_with_reservation(58, 3000);
	struct fw_vm *vm = reserved_vm(fw, "bb");
	struct fw_vm *other;

	fw_crash_worker(vm);
	flow_world_run_ms(fw, 1500);
	other = reserved_vm(fw, "bb");
	ck_assert_ptr_nonnull(other);
	ck_assert_ptr_ne(other, vm);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 9000));
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: an operator takes the reserved VM's zone out. Guards against a
 * reservation there, and against one that isn't made elsewhere.
 */
START_TEST(test_zone_out)
{
	struct flow_world *fw = world_with_reservation(59, 4000);
	struct fw_vm *vm = reserved_vm(fw, "bb");
	const char *zone = vm->zone;

	flow_world_set_zone(fw, zone, true);
	flow_world_run_ms(fw, 500);
	vm = reserved_vm(fw, "bb");
	ck_assert_ptr_nonnull(vm);
	ck_assert_str_ne(vm->zone, zone);
	ck_assert(flow_world_wait(fw, "bb", FLOW_COMPLETED, 9000));
	flow_world_free(fw);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_first_vm_with_enough,
		test_ineligible_vm,
		test_no_reservation,
		test_several_tasks,
		test_small_tasks_first,
		test_kept_until_late,
		test_higher_priority_first,
		test_rank_within_priority,
		test_backfill,
		test_safe_end,
		test_large_task_among_small,
		test_tasks_beside_reserved_one,
		test_reserved_vm_is_backfilled,
		test_fillers_on_reserved_vm,
		test_higher_rank_is_not_delayed,
		test_reservation_ends,
		test_late_vm_is_given_up,
		test_lasting_task_is_not_kept_waiting,
		test_lost_lasting_task_is_not_kept_waiting,
		test_inherited_runs_are_timed_by_progress,
		test_idle_workflow_is_not_kept_waiting,
		test_new_leader_reserves,
		test_lost_vm_is_replaced,
		test_zone_out,
	};

	return suite_run("reserve", tests, G_N_ELEMENTS(tests));
}
